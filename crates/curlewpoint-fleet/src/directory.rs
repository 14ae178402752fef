//! A directory of copies, held by few for each function and asked at a miss, so that what one instance sends does not grow
//! with the number of instances. It decides who holds what, what is told to whom and what is left out; it has no I/O.
//!
//! Functions and members stand in columns, by fixed hashes; within a column three hold a function, by rendezvous order.
//! Whoever is of another column speaks to one contact there, which hands on; so two steps reach any holder, and one
//! instance speaks to about twice the root of all.

mod copies;
pub mod frames;
mod queue;
mod round;
mod view;

use std::collections::{BTreeMap, BTreeSet};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};

use crate::hints::Observation;
use crate::members::{MemberId, Run};
use copies::Copies;
pub use queue::Batch;
use queue::{Item, Queue, ANSWERS, NEWS, REFRESH, WARM};
pub(crate) use round::{Rank, Round};
use view::View;

/// Rows held for all functions, and of one: beyond it the oldest go.
const ROWS: usize = 65_536;
const ROWS_EACH: usize = 64;
/// Rows in one answer.
const ANSWER_ROWS: usize = 8;
/// Rows that one is told that has just started, by each that it meets.
const NEWCOMER_ROWS: usize = 64;
/// Those who are told of changes, of one function and in all: beyond it an answer is all that one gets.
const SUBSCRIBERS_EACH: usize = 128;
const SUBSCRIBERS: usize = 16_384;
/// Whoever asked is told of changes for so long; it asks again a while before, where it has RPCs of the function then.
const SUBSCRIBED: Time = Time(300_000);
const RENEW: Time = Time(200_000);
/// Between two questions for a function of which no copy is known.
const ASK_AGAIN: Time = Time(20_000);
/// Functions that were asked for lately, and questions that wait for an answer.
const INTERESTS: usize = 8_192;
const OPEN: usize = 256;
/// A question has no answer for so long: the next one is asked. Twice in a row: that one is not asked for a while.
const ANSWER_IN: Time = Time(3_000);
const STRIKES: u8 = 2;
const AVOIDED: Time = Time(100_000);
/// What has changed is told no sooner than this, but for a copy that has come up; the same again no sooner than the
/// second, or a quarter of the time for which it counts.
const MOVED: Time = Time(5_000);
const AGAIN: Time = Time(20_000);
/// Between two looks for what is over.
const SWEEP: Time = Time(10_000);
/// Of the bytes that may be saved up so many are the directory's alone: what goes round the rings leaves them.
const RESERVE: f64 = 0.5;
/// What was heard of a function round the rings so lately is heard on: it need not be asked for.
const HEARD: Time = Time(40_000);
/// Functions of which is known when they were heard of so.
const HEARD_OF: usize = 8_192;
/// While less may be sent than this time brings, what there is leaves together, once in so long: by the byte it would be a
/// frame for each row.
const TOGETHER: Time = Time(1_000);

/// On what terms an instance takes part.
#[derive(Clone, Copy, Debug)]
pub struct DirectorySettings {
    /// Bytes a second that are sent for the directory at most, over any while and one burst of a second.
    pub bytes_per_second: u64,
    /// How long what was seen counts for anything.
    pub observation_lifetime: Time,
    /// Whether this instance asks and takes what it is told; it holds and hands on for others all the same.
    pub exchange_hints: bool,
    /// Whether what the directory leaves of the bytes is used to tell all, round the rings.
    pub gossips: bool,
}

/// Whom to speak to is asked; where its answer is awaited since it was sent.
struct Open {
    to: MemberId,
    sent: Option<Time>,
    queued: Time,
    tries: usize,
}

struct Interest {
    asked: Time,
    /// Questions so far: the next goes to another, where the last one knew nothing.
    turn: usize,
}

/// What came of the directory so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectoryCounts {
    pub questions: u64,
    pub answers: u64,
    /// Questions that nobody answered in time, each try counted.
    pub unanswered: u64,
    pub bytes: u64,
    /// Rows, questions and answers that the budget or a bound left out.
    pub dropped: u64,
    /// What peers sent beyond what is read of one.
    pub ignored: u64,
    /// Rows that were not sent on round a ring, as the directory left no room for them.
    pub not_gossiped: u64,
}

/// One instance's part of it.
pub struct CopyDirectory {
    me: MemberId,
    settings: DirectorySettings,
    view: View,
    /// Members that take no part: an earlier release, or a configuration without it.
    strangers: BTreeSet<MemberId>,
    copies: Copies,
    subscribers: BTreeMap<FunctionId, BTreeMap<MemberId, Time>>,
    subscribed: usize,
    interests: BTreeMap<FunctionId, Interest>,
    open: BTreeMap<FunctionId, Open>,
    /// When a copy or a load of a function was last told of round the rings.
    heard_of: BTreeMap<FunctionId, Time>,
    /// Members that did not answer, how often in a row, and when last.
    strikes: BTreeMap<MemberId, (u8, Time)>,
    queue: Queue,
    /// Bytes that may be sent now; below nought after a frame that took more.
    allowance: f64,
    filled: Time,
    gathered: Time,
    next: u64,
    swept: Time,
    counts: DirectoryCounts,
}

/// A short mark of a run: with a number it tells one sight from another, in three bytes.
fn mark(run: Run) -> Run {
    Run(run.0 >> 48)
}

impl CopyDirectory {
    pub fn new(now: Time, me: MemberId, settings: DirectorySettings) -> CopyDirectory {
        CopyDirectory {
            me,
            settings,
            view: View::new(me, std::iter::empty()),
            strangers: BTreeSet::new(),
            copies: Copies::new(settings.observation_lifetime, ROWS, ROWS_EACH),
            subscribers: BTreeMap::new(),
            subscribed: 0,
            interests: BTreeMap::new(),
            open: BTreeMap::new(),
            heard_of: BTreeMap::new(),
            strikes: BTreeMap::new(),
            queue: Queue::default(),
            allowance: settings.bytes_per_second as f64,
            filled: now,
            gathered: Time(0),
            next: 0,
            swept: now,
            counts: DirectoryCounts::default(),
        }
    }

    pub fn counts(&self) -> DirectoryCounts {
        DirectoryCounts { dropped: self.counts.dropped + self.queue.left_out(), ..self.counts }
    }

    /// Rows held.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    pub fn is_empty(&self) -> bool {
        self.copies.len() == 0
    }

    /// The row held of a function at a worker.
    pub fn copy(&self, function: FunctionId, worker: WorkerId) -> Option<&Observation> {
        self.copies.get(function, worker)
    }

    /// Those who are told of changes, over all functions.
    pub fn subscriber_count(&self) -> usize {
        self.subscribed
    }

    /// Who is being asked for a function.
    pub fn asked_member(&self, function: FunctionId) -> Option<MemberId> {
        self.open.get(&function).map(|o| o.to)
    }

    pub fn open_question_count(&self) -> usize {
        self.open.len()
    }

    /// Those who hold a function, or whom this instance would ask for it, in its order.
    pub fn contacts_for(&self, function: FunctionId) -> Vec<MemberId> {
        self.view.towards(function)
    }

    /// Of a column's function, those three who hold it; none where this instance is of another column.
    pub fn holders(&self, function: FunctionId) -> Option<Vec<MemberId>> {
        self.view.is_ours(function).then(|| self.view.holders(function))
    }

    /// Who lives, as far as is known here.
    pub fn update_members(&mut self, me: MemberId, living: impl Iterator<Item = MemberId>) {
        self.me = me;
        let strangers = &self.strangers;
        self.view = View::new(me, living.filter(|m| !strangers.contains(m)));
    }

    /// A member takes no part; true: that is news.
    pub fn mark_non_participant(&mut self, member: MemberId) -> bool {
        self.strangers.insert(member)
    }

    /// A member is heard: it speaks for itself.
    pub fn clear_strikes(&mut self, member: MemberId) {
        self.strikes.remove(&member);
    }

    /// A member could not be reached, or said nothing when it had to.
    pub fn unreachable(&mut self, now: Time, member: MemberId) {
        self.strikes.insert(member, (STRIKES, now));
        self.link_lost(now, member);
    }

    /// A link to a member has ended: what it was asked goes to another.
    pub fn link_lost(&mut self, now: Time, member: MemberId) {
        let asked: Vec<FunctionId> =
            self.open.iter().filter(|(_, o)| o.to == member).map(|(f, _)| *f).collect();
        asked.into_iter().for_each(|f| self.ask_next(now, f));
    }

    /// A question is not answered: it goes to another, a few times.
    fn ask_next(&mut self, now: Time, function: FunctionId) {
        let Some(o) = self.open.remove(&function) else { return };
        if o.sent.is_some() {
            self.counts.unanswered += 1;
        }
        if o.tries + 1 < view::HOLDERS {
            self.question(now, function, o.tries + 1);
        }
    }

    /// This instance stood still: others have heard what it has not, so it forgets what it held and asks anew.
    ///
    /// Guards against telling of copies that are long gone to all who ask. Harms until it is asked: the other holders know.
    pub fn reset_after_stall(&mut self) {
        self.copies.clear();
        self.open.clear();
        self.interests.clear();
        self.heard_of.clear();
    }

    /// A member said nothing when it had to, a while ago at most.
    pub(crate) fn is_avoided(&self, now: Time, member: MemberId) -> bool {
        self.strikes.get(&member).is_some_and(|(n, at)| *n >= STRIKES && now - *at < AVOIDED)
    }

    /// Whom to speak to of a function: those who are not known to say nothing first.
    fn candidates(&self, now: Time, function: FunctionId) -> Vec<MemberId> {
        let mut all = self.view.towards(function);
        all.sort_by_key(|m| self.is_avoided(now, *m));
        all
    }

    // The scheduler here.

    /// The scheduler here has seen something of a function at a worker.
    pub fn observe(&mut self, now: Time, worker: WorkerId, function: FunctionId, hint: Hint, held: u64) {
        let known = self.copies.get(function, worker);
        // That nothing is there is news only to those who think that something is.
        let news = known.map_or(hint != Hint::Gone, |k| {
            let (age, far) = (now - k.observed_at, held.abs_diff(k.held_rpcs) >= 2 + k.held_rpcs / 2);
            let differs = k.hint != hint && (hint == Hint::Warm || age >= MOVED);
            differs
                || age >= AGAIN.max(Time(self.settings.observation_lifetime.0 / 4))
                || (far && age >= MOVED)
        });
        if !news {
            return;
        }
        self.next += 1;
        let seen = Observation {
            worker,
            function,
            hint,
            held_rpcs: held,
            observed_at: now,
            run: mark(self.me.run),
            seq: self.next,
        };
        let Some(changed) = self.copies.put(seen) else { return };
        self.tell_up(now, &seen, changed, None);
        self.tell_subscribers(now, &seen, changed, None);
    }

    /// The scheduler here has an RPC of a function.
    pub fn request(&mut self, now: Time, function: FunctionId) {
        let heard = self.heard_of.get(&function).is_some_and(|at| now - *at < HEARD);
        if self.settings.exchange_hints && !heard {
            self.ask(now, function);
        }
    }

    /// A row has come round a ring.
    pub fn gossip_received(&mut self, now: Time, seen: &Observation) {
        let stands = matches!(seen.hint, Hint::Warm | Hint::Loading);
        let fits = self.heard_of.len() < HEARD_OF || self.heard_of.contains_key(&seen.function);
        if stands && fits {
            self.heard_of.insert(seen.function, now);
        }
    }

    /// Asks for a function, one question at a time, where nothing is known of it or what is known is old.
    fn ask(&mut self, now: Time, function: FunctionId) {
        let known = self.copies.is_known(now, function);
        let pause = if known { RENEW } else { ASK_AGAIN };
        if self.open.contains_key(&function) {
            return;
        }
        if let Some(i) = self.interests.get(&function) {
            if now - i.asked < pause {
                return;
            }
        } else if self.interests.len() >= INTERESTS {
            self.counts.dropped += 1;
            return;
        }
        let first = Interest { asked: now, turn: 0 };
        let i = self.interests.entry(function).or_insert(first);
        i.asked = now;
        if !known {
            i.turn = i.turn.wrapping_add(1);
        }
        self.question(now, function, 0);
    }

    /// Puts a question to the next of those whom this instance would ask, so many tries on.
    fn question(&mut self, now: Time, function: FunctionId, tries: usize) {
        let mut all = self.candidates(now, function);
        all.retain(|m| !self.is_avoided(now, *m));
        if all.is_empty() {
            return;
        }
        let turn = self.interests.get(&function).map_or(0, |i| i.turn);
        let to = all[turn.wrapping_add(tries) % all.len()];
        if self.open.len() >= OPEN {
            self.counts.dropped += 1;
            return;
        }
        self.open.insert(function, Open { to, sent: None, queued: now, tries });
        self.queue.push(now, ANSWERS, to, Item::Ask(function));
    }

    // What peers say.

    /// A peer asks for functions, and is told of their changes for a while.
    pub fn question_received(&mut self, now: Time, from: MemberId, functions: &[FunctionId]) {
        self.clear_strikes(from);
        for f in functions {
            self.subscribe(now, from, *f);
            self.queue.push(now, ANSWERS, from, Item::Answer(*f));
            // One of another column does not know the holders; and a holder that is new, or was blind, knows no more.
            let known = self.copies.is_known(now, *f);
            if self.view.is_ours(*f) && !self.view.is_mate(from) && !(known && self.view.holds(*f)) {
                self.ask(now, *f);
            }
        }
    }

    fn subscribe(&mut self, now: Time, who: MemberId, function: FunctionId) {
        let all = self.subscribers.entry(function).or_default();
        let new = !all.contains_key(&who);
        if new && (all.len() >= SUBSCRIBERS_EACH || self.subscribed >= SUBSCRIBERS) {
            if all.is_empty() {
                self.subscribers.remove(&function);
            }
            self.counts.dropped += 1;
            return;
        }
        self.subscribed += usize::from(new);
        all.insert(who, now);
    }

    /// A member knows few others: it has just started, and is told some of the latest that is known here, where the budget
    /// allows. Guards against one that finds each copy anew, one RPC after the other. Harms nobody: it leaves last.
    pub fn push_to_newcomer(&mut self, now: Time, who: MemberId) {
        let latest: Vec<(FunctionId, WorkerId)> = self.copies.latest(NEWCOMER_ROWS);
        for (f, w) in latest {
            self.queue.push(now, REFRESH, who, Item::Down(f, w));
        }
    }

    /// A peer answers for some functions, and tells rows of these and of others. Returns those for the scheduler here.
    pub fn answer_received(
        &mut self, now: Time, from: MemberId, answered: &[FunctionId], rows: Vec<Observation>,
    ) -> Vec<Observation> {
        self.clear_strikes(from);
        for f in answered {
            if self.open.get(f).is_some_and(|o| o.to == from) {
                self.open.remove(f);
                self.counts.answers += 1;
            }
        }
        self.take(now, from, rows, false)
    }

    /// A peer tells what it has seen, or what was seen by those for whom it is the contact. Returns rows for the
    /// scheduler here.
    pub fn observations_received(
        &mut self, now: Time, from: MemberId, rows: Vec<Observation>,
    ) -> Vec<Observation> {
        self.clear_strikes(from);
        self.take(now, from, rows, true)
    }

    fn take(&mut self, now: Time, from: MemberId, rows: Vec<Observation>, up: bool) -> Vec<Observation> {
        let mine = mark(self.me.run);
        let mut news = Vec::new();
        for seen in rows {
            if seen.run == mine || now - seen.observed_at >= self.settings.observation_lifetime {
                continue;
            }
            let Some(changed) = self.copies.put(seen) else { continue };
            // From a mate it has come to all who hold it; from elsewhere this one is the contact.
            if up && self.view.is_ours(seen.function) && !self.view.is_mate(from) {
                self.tell_up(now, &seen, changed, Some(from));
            }
            self.tell_subscribers(now, &seen, changed, Some(from));
            if self.settings.exchange_hints {
                news.push(seen);
            }
        }
        news
    }

    fn class(seen: &Observation, changed: bool) -> usize {
        match (changed, seen.hint) {
            (false, _) => REFRESH,
            (true, Hint::Warm) => WARM,
            (true, _) => NEWS,
        }
    }

    fn tell_up(&mut self, now: Time, seen: &Observation, changed: bool, from: Option<MemberId>) {
        let mut to = self.candidates(now, seen.function);
        if !self.view.is_ours(seen.function) {
            to.truncate(1);
        }
        for member in to.into_iter().filter(|m| Some(*m) != from) {
            let item = Item::Up(seen.function, seen.worker);
            self.queue.push(now, Self::class(seen, changed), member, item);
        }
    }

    fn tell_subscribers(&mut self, now: Time, seen: &Observation, changed: bool, from: Option<MemberId>) {
        let Some(all) = self.subscribers.get(&seen.function) else { return };
        for (member, since) in all {
            if Some(*member) != from && now - *since < SUBSCRIBED {
                let item = Item::Down(seen.function, seen.worker);
                self.queue.push(now, Self::class(seen, changed), *member, item);
            }
        }
    }

    /// A peer sent so many rows or questions more than is read of one.
    pub fn count_ignored(&mut self, rows: usize) {
        self.counts.ignored += rows as u64;
    }

    // Time.

    /// Time has passed: questions without an answer go to the next one, what is over is forgotten.
    pub fn advance(&mut self, now: Time) {
        let late = |o: &Open| o.sent.map_or(now - o.queued >= queue::LIFE, |at| now - at >= ANSWER_IN);
        let over: Vec<FunctionId> = self.open.iter().filter(|(_, o)| late(o)).map(|(f, _)| *f).collect();
        for f in over {
            let Some(o) = self.open.get(&f).filter(|o| o.sent.is_some()) else {
                // It never left: there was no room for it, and there is none for another.
                self.open.remove(&f);
                continue;
            };
            let (n, at) = self.strikes.entry(o.to).or_insert((0, now));
            (*n, *at) = (n.saturating_add(1), now);
            self.ask_next(now, f);
        }
        self.queue.expire(now);
        if now - self.swept < SWEEP {
            return;
        }
        self.swept = now;
        self.copies.sweep(now);
        self.interests.retain(|_, i| now - i.asked < SUBSCRIBED);
        self.heard_of.retain(|_, at| now - *at < HEARD);
        self.strikes.retain(|_, (_, at)| now - *at < AVOIDED);
        let mut left = 0;
        self.subscribers.retain(|_, all| {
            all.retain(|_, since| now - *since < SUBSCRIBED);
            left += all.len();
            !all.is_empty()
        });
        self.subscribed = left;
    }

    /// Those known as living have changed: marks of others are of no use.
    pub fn retain_non_participants(&mut self, lives: impl Fn(MemberId) -> bool) {
        self.strangers.retain(|m| lives(*m));
    }

    // What is sent.

    fn refill(&mut self, now: Time) {
        let (rate, span) = (self.settings.bytes_per_second as f64, (now - self.filled).ms() / 1000.0);
        self.allowance = (self.allowance + rate * span).min(rate);
        self.filled = now;
    }

    /// What leaves now, by member, the most useful first and as much as the budget allows; and those for whom something
    /// waits and to whom no link is up. `linked`: to whom one is.
    pub fn take_batches(
        &mut self, now: Time, linked: impl Fn(MemberId) -> bool,
    ) -> (BTreeMap<MemberId, Batch>, Vec<MemberId>) {
        if self.queue.is_empty() {
            return Default::default();
        }
        self.refill(now);
        let little = self.allowance < self.settings.bytes_per_second as f64 * TOGETHER.ms() / 1000.0;
        if self.allowance <= 0.0 || (little && now - self.gathered < TOGETHER) {
            return Default::default();
        }
        let (copies, open) = (&self.copies, &mut self.open);
        let rows = |f: FunctionId| copies.best(now, f, ANSWER_ROWS);
        let one = |f: FunctionId, w: WorkerId| copies.get(f, w).copied();
        let (parcels, unlinked) = self.queue.gather(now, self.allowance, linked, rows, one);
        for (to, parcel) in &parcels {
            self.gathered = now;
            for f in &parcel.asked {
                self.counts.questions += 1;
                open.get_mut(f).filter(|o| o.to == *to).into_iter().for_each(|o| o.sent = Some(now));
            }
        }
        (parcels, unlinked)
    }

    /// So many bytes were sent for it.
    pub fn charge(&mut self, bytes: usize) {
        self.counts.bytes += bytes as u64;
        self.allowance -= bytes as f64;
    }

    /// Whether what the directory leaves is used to tell all, round the rings.
    pub fn gossips(&self) -> bool {
        self.settings.gossips
    }

    /// Bytes that may go round the rings now.
    pub fn gossip_allowance(&mut self, now: Time) -> usize {
        self.refill(now);
        (self.allowance - RESERVE * self.settings.bytes_per_second as f64).max(0.0) as usize
    }

    /// So many rows were not sent on round a ring.
    pub fn count_not_gossiped(&mut self, rows: u64) {
        self.counts.not_gossiped += rows;
    }

    /// Whether anything may be sent now.
    pub fn may_send(&mut self, now: Time) -> bool {
        self.refill(now);
        self.allowance > 0.0
    }

    /// A link to a member is up.
    pub fn link_up(&mut self, member: MemberId) {
        self.queue.linked(member, true);
    }

    /// Those for whom something waits and to whom no link is up, the most useful first.
    pub fn unlinked_members(&self) -> Vec<MemberId> {
        self.queue.apart()
    }
}
