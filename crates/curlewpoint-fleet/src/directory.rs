//! A copy directory that is held by a few members for each function and queried on a miss, so that what one
//! instance sends does not grow with the number of instances. It decides which members hold what, what is sent
//! to which member and what is dropped; it performs no I/O.
//!
//! Functions and members are assigned to columns by fixed hashes; within a column three members hold a
//! function, chosen by rendezvous hashing. A member of another column talks to one contact in the function's
//! column, which passes on; so any holder is two hops away, and one instance talks to about twice the square
//! root of all members.

mod copies;
pub mod frames;
mod gossip_queue;
mod queue;
mod topology;

use std::collections::{BTreeMap, BTreeSet};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};

use crate::hints::Observation;
use crate::members::{MemberId, RunId};
use copies::CopyTable;
pub(crate) use gossip_queue::{GossipPriority, GossipQueue};
pub use queue::Batch;
use queue::{Queue, QueueItem, CLASS_COPY_READY, CLASS_QUERY, CLASS_REFRESH, CLASS_STATUS};
use topology::Topology;

/// Maximum number of rows held for all functions, and for one function. Beyond it the oldest are removed.
const MAX_ROWS: usize = 65_536;
const MAX_ROWS_PER_FUNCTION: usize = 64;
/// Maximum number of rows in one answer.
const MAX_ANSWER_ROWS: usize = 8;
/// Maximum number of rows that a newly started member is sent by each member it meets.
const MAX_NEWCOMER_ROWS: usize = 64;
/// Maximum number of subscriptions to changes, per function and in total. Beyond it a member gets an answer,
/// but no updates.
const MAX_SUBSCRIBERS_PER_FUNCTION: usize = 128;
const MAX_SUBSCRIPTIONS: usize = 16_384;
/// A member that asked is sent changes for this long. It asks again a while before the subscription ends, if it
/// then has RPCs for the function.
const SUBSCRIPTION_LIFETIME: Time = Time(300_000);
const SUBSCRIPTION_RENEWAL: Time = Time(200_000);
/// Interval between two questions for a function of which no copy is known.
const QUESTION_INTERVAL: Time = Time(20_000);
/// Maximum number of functions with a recent question, and of questions that wait for an answer.
const MAX_INTERESTS: usize = 8_192;
const MAX_OPEN_QUESTIONS: usize = 256;
/// If a question has no answer within this time, the next member is asked. A member that leaves two questions
/// in a row unanswered is not asked for a while.
const ANSWER_TIMEOUT: Time = Time(3_000);
const STRIKE_LIMIT: u8 = 2;
const AVOIDANCE_PERIOD: Time = Time(100_000);
/// Minimum time between two reports of a changed row, except for a copy that has become ready; and of an
/// unchanged row, unless a quarter of the observation lifetime is longer.
const CHANGE_INTERVAL: Time = Time(5_000);
const REPEAT_INTERVAL: Time = Time(20_000);
/// Interval between removals of expired state.
const SWEEP_INTERVAL: Time = Time(10_000);
/// Share of the byte budget that gossip along the rings leaves for the directory.
const RESERVED_SHARE: f64 = 0.5;
/// If gossip about a function arrived within this time, more is expected, and the function need not be asked
/// for.
const GOSSIP_MEMORY: Time = Time(40_000);
/// Maximum number of functions for which the time of the last gossip is kept.
const MAX_GOSSIPED_FUNCTIONS: usize = 8_192;
/// While the budget holds less than this time's worth of bytes, queued items are sent together once per this
/// interval; otherwise each row would take a frame of its own.
const BATCHING_INTERVAL: Time = Time(1_000);

/// Settings with which an instance takes part in the directory.
#[derive(Clone, Copy, Debug)]
pub struct DirectorySettings {
    /// Maximum rate for the directory, with a burst of one second's worth.
    pub bytes_per_second: u64,
    /// How long an observation remains valid.
    pub observation_lifetime: Time,
    /// Whether this instance asks questions and uses answers. It holds rows and passes them on for others in
    /// any case.
    pub exchange_hints: bool,
    /// Whether the bytes left by the directory are used to gossip observations along the rings.
    pub gossips: bool,
}

/// A question to a member, sent or queued.
struct OpenQuestion {
    to: MemberId,
    sent_at: Option<Time>,
    queued_at: Time,
    tries: usize,
}

struct Interest {
    asked_at: Time,
    /// Number of questions so far. The next goes to another member if the last one knew nothing.
    questions_sent: usize,
}

/// Counters of the directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectoryCounts {
    pub questions: u64,
    pub answers: u64,
    /// Questions not answered in time, each try counted.
    pub unanswered: u64,
    pub bytes: u64,
    /// Rows, questions and answers dropped because of the budget or a limit.
    pub dropped: u64,
    /// Rows and questions that exceeded the intake limit of a peer and were ignored.
    pub ignored: u64,
    /// Rows not gossiped along a ring because the directory left no budget for them.
    pub not_gossiped: u64,
}

/// One instance's part of the copy directory.
pub struct CopyDirectory {
    me: MemberId,
    settings: DirectorySettings,
    topology: Topology,
    /// Members that take no part: they run an earlier release or have no directory configured.
    non_participants: BTreeSet<MemberId>,
    copies: CopyTable,
    subscribers: BTreeMap<FunctionId, BTreeMap<MemberId, Time>>,
    subscription_count: usize,
    interests: BTreeMap<FunctionId, Interest>,
    open_questions: BTreeMap<FunctionId, OpenQuestion>,
    /// When gossip about a copy or a load of a function last arrived.
    last_gossip: BTreeMap<FunctionId, Time>,
    /// Members that did not answer: how often in a row, and when last.
    strikes: BTreeMap<MemberId, (u8, Time)>,
    queue: Queue,
    /// Bytes that may be sent now; negative after a frame that took more.
    allowance: f64,
    refilled_at: Time,
    batched_at: Time,
    next_seq: u64,
    swept_at: Time,
    counts: DirectoryCounts,
}

/// A shortened run id, three bytes on the wire. With a sequence number it identifies an observation.
fn short_run_id(run: RunId) -> RunId {
    RunId(run.0 >> 48)
}

impl CopyDirectory {
    pub fn new(now: Time, me: MemberId, settings: DirectorySettings) -> CopyDirectory {
        CopyDirectory {
            me,
            settings,
            topology: Topology::new(me, std::iter::empty()),
            non_participants: BTreeSet::new(),
            copies: CopyTable::new(settings.observation_lifetime, MAX_ROWS, MAX_ROWS_PER_FUNCTION),
            subscribers: BTreeMap::new(),
            subscription_count: 0,
            interests: BTreeMap::new(),
            open_questions: BTreeMap::new(),
            last_gossip: BTreeMap::new(),
            strikes: BTreeMap::new(),
            queue: Queue::default(),
            allowance: settings.bytes_per_second as f64,
            refilled_at: now,
            batched_at: Time(0),
            next_seq: 0,
            swept_at: now,
            counts: DirectoryCounts::default(),
        }
    }

    pub fn counts(&self) -> DirectoryCounts {
        DirectoryCounts { dropped: self.counts.dropped + self.queue.dropped(), ..self.counts }
    }

    /// Number of rows held.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    pub fn is_empty(&self) -> bool {
        self.copies.len() == 0
    }

    /// The row held for a function at a worker.
    pub fn copy(&self, function: FunctionId, worker: WorkerId) -> Option<&Observation> {
        self.copies.get(function, worker)
    }

    /// Number of subscriptions over all functions.
    pub fn subscriber_count(&self) -> usize {
        self.subscription_count
    }

    /// The member that is being asked for a function.
    pub fn asked_member(&self, function: FunctionId) -> Option<MemberId> {
        self.open_questions.get(&function).map(|o| o.to)
    }

    pub fn open_question_count(&self) -> usize {
        self.open_questions.len()
    }

    /// The other holders of a function, or the members that this instance would ask for it, in order of
    /// preference.
    pub fn contacts_for(&self, function: FunctionId) -> Vec<MemberId> {
        self.topology.contacts_for(function)
    }

    /// The members that hold a function, or `None` if it belongs to another column.
    pub fn holders(&self, function: FunctionId) -> Option<Vec<MemberId>> {
        self.topology.is_own_column(function).then(|| self.topology.holders(function))
    }

    /// Updates the members that are known to be alive.
    pub fn update_members(&mut self, me: MemberId, living: impl Iterator<Item = MemberId>) {
        self.me = me;
        let non_participants = &self.non_participants;
        self.topology = Topology::new(me, living.filter(|m| !non_participants.contains(m)));
    }

    /// Records that a member takes no part; true if that was not known.
    pub fn mark_non_participant(&mut self, member: MemberId) -> bool {
        self.non_participants.insert(member)
    }

    /// Frames from a member have arrived, so it responds.
    pub fn clear_strikes(&mut self, member: MemberId) {
        self.strikes.remove(&member);
    }

    /// A member could not be reached, or did not respond when it had to.
    pub fn member_unreachable(&mut self, now: Time, member: MemberId) {
        self.strikes.insert(member, (STRIKE_LIMIT, now));
        self.link_lost(now, member);
    }

    /// A link to a member has ended: its open questions go to another member.
    pub fn link_lost(&mut self, now: Time, member: MemberId) {
        let asked: Vec<FunctionId> =
            self.open_questions.iter().filter(|(_, o)| o.to == member).map(|(f, _)| *f).collect();
        asked.into_iter().for_each(|f| self.retry_question(now, f));
    }

    /// Passes an unanswered question to another member, a few times.
    fn retry_question(&mut self, now: Time, function: FunctionId) {
        let Some(o) = self.open_questions.remove(&function) else { return };
        if o.sent_at.is_some() {
            self.counts.unanswered += 1;
        }
        if o.tries + 1 < topology::HOLDER_COUNT {
            self.queue_question(now, function, o.tries + 1);
        }
    }

    /// This instance was paused and has missed updates, so it forgets what it holds and asks again.
    ///
    /// Otherwise it would report copies that are long gone. Until it has asked, the other holders answer.
    pub fn reset_after_stall(&mut self) {
        self.copies.clear();
        self.open_questions.clear();
        self.interests.clear();
        self.last_gossip.clear();
    }

    /// Whether a member has recently failed to respond.
    pub(crate) fn is_avoided(&self, now: Time, member: MemberId) -> bool {
        self.strikes.get(&member).is_some_and(|(n, at)| *n >= STRIKE_LIMIT && now - *at < AVOIDANCE_PERIOD)
    }

    /// The members to contact for a function, unresponsive ones last.
    fn candidates(&self, now: Time, function: FunctionId) -> Vec<MemberId> {
        let mut all = self.topology.contacts_for(function);
        all.sort_by_key(|m| self.is_avoided(now, *m));
        all
    }

    // Calls from the local scheduler.

    /// The local scheduler has observed something of a function at a worker.
    pub fn observe(&mut self, now: Time, worker: WorkerId, function: FunctionId, hint: Hint, rpcs_held: u64) {
        let known = self.copies.get(function, worker);
        // An absent copy is news only to members that expect one.
        let is_news = known.map_or(hint != Hint::Gone, |k| {
            let (age, differs_much) =
                (now - k.observed_at, rpcs_held.abs_diff(k.rpcs_held) >= 2 + k.rpcs_held / 2);
            let differs = k.hint != hint && (hint == Hint::Warm || age >= CHANGE_INTERVAL);
            differs
                || age >= REPEAT_INTERVAL.max(Time(self.settings.observation_lifetime.0 / 4))
                || (differs_much && age >= CHANGE_INTERVAL)
        });
        if !is_news {
            return;
        }
        self.next_seq += 1;
        let observation = Observation {
            worker,
            function,
            hint,
            rpcs_held,
            observed_at: now,
            run: short_run_id(self.me.run),
            seq: self.next_seq,
        };
        let Some(changed) = self.copies.insert(observation) else { return };
        self.queue_for_holders(now, &observation, changed, None);
        self.queue_for_subscribers(now, &observation, changed, None);
    }

    /// The local scheduler has an RPC for a function.
    pub fn request(&mut self, now: Time, function: FunctionId) {
        let recently_gossiped = self.last_gossip.get(&function).is_some_and(|at| now - *at < GOSSIP_MEMORY);
        if self.settings.exchange_hints && !recently_gossiped {
            self.ask_if_needed(now, function);
        }
    }

    /// A row has arrived along a ring.
    pub fn gossip_received(&mut self, now: Time, observation: &Observation) {
        let is_present = matches!(observation.hint, Hint::Warm | Hint::Loading);
        let fits = self.last_gossip.len() < MAX_GOSSIPED_FUNCTIONS
            || self.last_gossip.contains_key(&observation.function);
        if is_present && fits {
            self.last_gossip.insert(observation.function, now);
        }
    }

    /// Asks for a function, one question at a time, if nothing is known of it or what is known is old.
    fn ask_if_needed(&mut self, now: Time, function: FunctionId) {
        let known = self.copies.is_known(now, function);
        let pause = if known { SUBSCRIPTION_RENEWAL } else { QUESTION_INTERVAL };
        if self.open_questions.contains_key(&function) {
            return;
        }
        if let Some(i) = self.interests.get(&function) {
            if now - i.asked_at < pause {
                return;
            }
        } else if self.interests.len() >= MAX_INTERESTS {
            self.counts.dropped += 1;
            return;
        }
        let first = Interest { asked_at: now, questions_sent: 0 };
        let i = self.interests.entry(function).or_insert(first);
        i.asked_at = now;
        if !known {
            i.questions_sent = i.questions_sent.wrapping_add(1);
        }
        self.queue_question(now, function, 0);
    }

    /// Queues a question to the next candidate, `tries` positions on.
    fn queue_question(&mut self, now: Time, function: FunctionId, tries: usize) {
        let mut all = self.candidates(now, function);
        all.retain(|m| !self.is_avoided(now, *m));
        if all.is_empty() {
            return;
        }
        let questions_sent = self.interests.get(&function).map_or(0, |i| i.questions_sent);
        let to = all[questions_sent.wrapping_add(tries) % all.len()];
        if self.open_questions.len() >= MAX_OPEN_QUESTIONS {
            self.counts.dropped += 1;
            return;
        }
        self.open_questions.insert(function, OpenQuestion { to, sent_at: None, queued_at: now, tries });
        self.queue.push(now, CLASS_QUERY, to, QueueItem::Ask(function));
    }

    // Frames from peers.

    /// A peer asks for functions and subscribes to their changes for a while.
    pub fn question_received(&mut self, now: Time, from: MemberId, functions: &[FunctionId]) {
        self.clear_strikes(from);
        for f in functions {
            self.subscribe(now, from, *f);
            self.queue.push(now, CLASS_QUERY, from, QueueItem::Answer(*f));
            // A member of another column does not know the holders; and a holder that is new, or was cut off,
            // may know nothing.
            let known = self.copies.is_known(now, *f);
            if self.topology.is_own_column(*f)
                && !self.topology.is_column_member(from)
                && !(known && self.topology.holds(*f))
            {
                self.ask_if_needed(now, *f);
            }
        }
    }

    fn subscribe(&mut self, now: Time, member: MemberId, function: FunctionId) {
        let all = self.subscribers.entry(function).or_default();
        let new = !all.contains_key(&member);
        if new && (all.len() >= MAX_SUBSCRIBERS_PER_FUNCTION || self.subscription_count >= MAX_SUBSCRIPTIONS)
        {
            if all.is_empty() {
                self.subscribers.remove(&function);
            }
            self.counts.dropped += 1;
            return;
        }
        self.subscription_count += usize::from(new);
        all.insert(member, now);
    }

    /// A member has just started: queues some of the latest rows for it, where the budget allows. Without them
    /// it would have to find each copy through an RPC of its own. They are sent last.
    pub fn push_to_newcomer(&mut self, now: Time, member: MemberId) {
        let latest: Vec<(FunctionId, WorkerId)> = self.copies.latest(MAX_NEWCOMER_ROWS);
        for (f, w) in latest {
            self.queue.push(now, CLASS_REFRESH, member, QueueItem::ToSubscriber(f, w));
        }
    }

    /// Handles a peer's answer for some functions, with rows of these and of others. Returns the rows for the
    /// local scheduler.
    pub fn answer_received(
        &mut self, now: Time, from: MemberId, answered: &[FunctionId], rows: Vec<Observation>,
    ) -> Vec<Observation> {
        self.clear_strikes(from);
        for f in answered {
            if self.open_questions.get(f).is_some_and(|o| o.to == from) {
                self.open_questions.remove(f);
                self.counts.answers += 1;
            }
        }
        self.merge_rows(now, from, rows, false)
    }

    /// Handles observations of the peer, or of members for which it is the contact. Returns the rows for the
    /// local scheduler.
    pub fn observations_received(
        &mut self, now: Time, from: MemberId, rows: Vec<Observation>,
    ) -> Vec<Observation> {
        self.clear_strikes(from);
        self.merge_rows(now, from, rows, true)
    }

    fn merge_rows(
        &mut self, now: Time, from: MemberId, rows: Vec<Observation>, towards_holders: bool,
    ) -> Vec<Observation> {
        let own_run = short_run_id(self.me.run);
        let mut new_rows = Vec::new();
        for observation in rows {
            if observation.run == own_run
                || now - observation.observed_at >= self.settings.observation_lifetime
            {
                continue;
            }
            let Some(changed) = self.copies.insert(observation) else { continue };
            // A member of this column has sent it to all holders itself; for members of other columns this
            // instance is the contact.
            if towards_holders
                && self.topology.is_own_column(observation.function)
                && !self.topology.is_column_member(from)
            {
                self.queue_for_holders(now, &observation, changed, Some(from));
            }
            self.queue_for_subscribers(now, &observation, changed, Some(from));
            if self.settings.exchange_hints {
                new_rows.push(observation);
            }
        }
        new_rows
    }

    fn queue_class(observation: &Observation, changed: bool) -> usize {
        match (changed, observation.hint) {
            (false, _) => CLASS_REFRESH,
            (true, Hint::Warm) => CLASS_COPY_READY,
            (true, _) => CLASS_STATUS,
        }
    }

    fn queue_for_holders(
        &mut self, now: Time, observation: &Observation, changed: bool, from: Option<MemberId>,
    ) {
        let mut to = self.candidates(now, observation.function);
        if !self.topology.is_own_column(observation.function) {
            to.truncate(1);
        }
        for member in to.into_iter().filter(|m| Some(*m) != from) {
            let item = QueueItem::ToHolder(observation.function, observation.worker);
            self.queue.push(now, Self::queue_class(observation, changed), member, item);
        }
    }

    fn queue_for_subscribers(
        &mut self, now: Time, observation: &Observation, changed: bool, from: Option<MemberId>,
    ) {
        let Some(all) = self.subscribers.get(&observation.function) else { return };
        for (member, since) in all {
            if Some(*member) != from && now - *since < SUBSCRIPTION_LIFETIME {
                let item = QueueItem::ToSubscriber(observation.function, observation.worker);
                self.queue.push(now, Self::queue_class(observation, changed), *member, item);
            }
        }
    }

    /// Counts rows or questions of a peer that exceeded its intake limit.
    pub fn count_ignored(&mut self, rows: usize) {
        self.counts.ignored += rows as u64;
    }

    // Periodic work.

    /// Passes unanswered questions on and removes what has expired.
    pub fn advance(&mut self, now: Time) {
        let is_late = |o: &OpenQuestion| {
            o.sent_at.map_or(now - o.queued_at >= queue::MAX_QUEUE_AGE, |at| now - at >= ANSWER_TIMEOUT)
        };
        let overdue: Vec<FunctionId> =
            self.open_questions.iter().filter(|(_, o)| is_late(o)).map(|(f, _)| *f).collect();
        for f in overdue {
            let Some(o) = self.open_questions.get(&f).filter(|o| o.sent_at.is_some()) else {
                // The question was never sent for lack of budget, so another one would not be sent either.
                self.open_questions.remove(&f);
                continue;
            };
            let (n, at) = self.strikes.entry(o.to).or_insert((0, now));
            (*n, *at) = (n.saturating_add(1), now);
            self.retry_question(now, f);
        }
        self.queue.expire(now);
        if now - self.swept_at < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.copies.sweep(now);
        self.interests.retain(|_, i| now - i.asked_at < SUBSCRIPTION_LIFETIME);
        self.last_gossip.retain(|_, at| now - *at < GOSSIP_MEMORY);
        self.strikes.retain(|_, (_, at)| now - *at < AVOIDANCE_PERIOD);
        let mut remaining = 0;
        self.subscribers.retain(|_, all| {
            all.retain(|_, since| now - *since < SUBSCRIPTION_LIFETIME);
            remaining += all.len();
            !all.is_empty()
        });
        self.subscription_count = remaining;
    }

    /// Forgets non-participants for which `is_alive` is false.
    pub fn retain_non_participants(&mut self, is_alive: impl Fn(MemberId) -> bool) {
        self.non_participants.retain(|m| is_alive(*m));
    }

    // Sending.

    fn refill(&mut self, now: Time) {
        let (rate, span) = (self.settings.bytes_per_second as f64, (now - self.refilled_at).ms() / 1000.0);
        self.allowance = (self.allowance + rate * span).min(rate);
        self.refilled_at = now;
    }

    /// What is to be sent now, by member, the most useful first and as much as the budget allows; and the
    /// members for which something is queued but to which no link is up. `linked`: whether a link to a member
    /// is up.
    pub fn take_batches(
        &mut self, now: Time, linked: impl Fn(MemberId) -> bool,
    ) -> (BTreeMap<MemberId, Batch>, Vec<MemberId>) {
        if self.queue.is_empty() {
            return Default::default();
        }
        self.refill(now);
        let is_low = self.allowance < self.settings.bytes_per_second as f64 * BATCHING_INTERVAL.ms() / 1000.0;
        if self.allowance <= 0.0 || (is_low && now - self.batched_at < BATCHING_INTERVAL) {
            return Default::default();
        }
        let (copies, open_questions) = (&self.copies, &mut self.open_questions);
        let rows = |f: FunctionId| copies.best(now, f, MAX_ANSWER_ROWS);
        let single_row = |f: FunctionId, w: WorkerId| copies.get(f, w).copied();
        let (batches, unlinked) = self.queue.take_batches(now, self.allowance, linked, rows, single_row);
        for (to, batch) in &batches {
            self.batched_at = now;
            for f in &batch.questions {
                self.counts.questions += 1;
                open_questions
                    .get_mut(f)
                    .filter(|o| o.to == *to)
                    .into_iter()
                    .for_each(|o| o.sent_at = Some(now));
            }
        }
        (batches, unlinked)
    }

    /// Charges bytes that were sent to the budget.
    pub fn charge(&mut self, bytes: usize) {
        self.counts.bytes += bytes as u64;
        self.allowance -= bytes as f64;
    }

    /// Whether the bytes left by the directory are used for gossip along the rings.
    pub fn gossips(&self) -> bool {
        self.settings.gossips
    }

    /// Bytes that may be spent on gossip now.
    pub fn gossip_allowance(&mut self, now: Time) -> usize {
        self.refill(now);
        (self.allowance - RESERVED_SHARE * self.settings.bytes_per_second as f64).max(0.0) as usize
    }

    /// Counts rows that were not gossiped.
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
        self.queue.set_linked(member, true);
    }

    /// Members for which something is queued and to which no link is up, the most useful first.
    pub fn unlinked_members(&self) -> Vec<MemberId> {
        self.queue.unlinked_members()
    }
}
