use std::collections::{BTreeMap, BTreeSet, VecDeque};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use oorandom::Rand64;

use crate::book::{Book, Entry, Source, Taken};
use crate::hints::{Hints, Seen, Untold};
use crate::members::{InstanceId, Member, MemberId, Refused, Run, Standing, Table};
use crate::number::Number;
use crate::rings::{observed, rank, RINGS, SALT_WATCH};

/// A connection to a peer, opened from here or by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What a fleet acts through.
pub trait Outside {
    /// Opens a link; `link_up` or `link_down` follows within the dial time-out.
    fn dial(&mut self, link: LinkId, address: &str);
    fn close(&mut self, link: LinkId);
    /// Says why, and closes.
    fn refuse(&mut self, link: LinkId, why: &str);
    /// First on every link: who speaks, and how many members it knows.
    fn join(&mut self, link: LinkId, fleet: &str, me: MemberId, member: &Member, known: u64);
    fn member(&mut self, link: LinkId, id: MemberId, member: &Member);
    /// `tags`: this beat's own, and the last that came on this link; `age`: how long ago the list held was known
    /// to be the newest.
    fn beat(
        &mut self, link: LinkId, tags: (u64, u64), digest: u64, held: Option<(u64, u64)>, age: Option<Time>,
        sure: bool, answer: bool,
    );
    /// Asks a peer for the list.
    fn ask_list(&mut self, link: LinkId, held: Option<(u64, u64)>);
    /// Tells a peer of the list.
    fn list_begins(&mut self, link: LinkId, version: (u64, u64), from: Option<u64>);
    fn list_row(&mut self, link: LinkId, name: &str, entry: &Entry);
    fn list_ends(&mut self, link: LinkId);
    /// Whether this instance is to be connected to the list service; off and on again: by another connection.
    fn watch(&mut self, on: bool);
    fn ask_service(&mut self, held: Option<(u64, u64)>);
    /// A newer list for the scheduler.
    fn take_begins(&mut self, version: (u64, u64), from: Option<u64>);
    fn take_row(&mut self, name: &str, entry: &Entry);
    fn take_ends(&mut self);
    /// Tells a peer what some instances have seen of functions at workers, some hundreds of rows at most.
    fn hints(&mut self, link: LinkId, seen: &[Seen]);
    /// For the scheduler: another one has seen this.
    fn take_hint(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, held: u64, age: Time);
    /// So many instances are to be reckoned with from here on.
    fn instances(&mut self, number: u64);
    fn log(&mut self, line: &str);
}

/// What a fleet may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Instances that live at a time.
    pub instances: usize,
    /// Links opened by peers.
    pub links: usize,
    /// Instances that watch the list.
    pub watchers: usize,
    /// How long before its client's time is up the scheduler answers what it gives up on.
    pub slack: Time,
    /// How long what an instance has seen of a function at a worker counts for anything.
    pub hints: Time,
    /// Whether this instance tells what it sees and takes what others saw; it hands that on all the same, as it stands on
    /// the rings like any other.
    pub hinted: bool,
}

/// Rings round which hints go: a hint that is lost costs little, and all of them would tell everyone four times.
const HINT_RINGS: u8 = 2;
/// What is kept of functions at workers, at most.
const HINTS: usize = 65_536;
/// Records of members that are kept, those that ended included, for each instance that may live.
const RECORDS: usize = 4;
/// Rows of a list that are taken.
const WORKERS: usize = 100_000;

/// Between two looks at what has passed; records wait for each other so long before they are handed on.
const TICK: Time = Time(1_000);
/// While no list is held there is nothing to do but to get one.
const HASTE: Time = Time(200);
/// Between two beats on a link; a link that brings nothing for the second time is given up and dialled anew.
const BEAT: Time = Time(3_000);
const SILENT: Time = Time(12_000);
/// One whom enough others doubt has so long to speak for itself.
const SUSPICION: Time = Time(15_000);
/// More time than this between two ticks: this instance stood still, and judges nobody by that.
const STALL: Time = Time(8_000);
/// Records differ between two that have heard nothing new for so long: they are told each other's whole.
const SETTLED: Time = Time(5_000);
/// The pause after a failed dial, which doubles up to the second.
const BACK_OFF: (Time, Time) = (Time(2_500), Time(20_000));
/// A link that was opened to meet somebody, and that no ring needs, is kept for so long.
const MET: Time = Time(20_000);
/// What one more instance adds to the first of these, where many start together on one machine.
const KNOWN_AFTER: Time = Time(30);
/// One that has only one peer's word for a list far on asks the list service itself after this, and up to so much later
/// for each instance: where the service began anew the few who watch it are next to few, all others are in this place
/// together, and once some have looked two of them are next to everybody.
const OWN_LOOK: Time = Time(10_000);
const LOOK_EACH: Time = Time(200);
/// Peers to begin with that are met or missed before this instance believes that nobody is sure of the number.
const INTRODUCED: usize = 3;
/// Between two tries to meet one that was given up, who may be behind a cut; and where there is none, one of the peers
/// to begin with.
const REACH_OUT: (Time, Time) = (Time(20_000), Time(300_000));
/// One that has begun watches the list no sooner than this after its first link, as it may know few as yet; one without
/// any link after the second. Each is drawn between the time and twice the time.
const WATCH_AFTER: (Time, Time) = (Time(1_500), Time(7_000));
/// How much longer one without any link waits while not all peers to begin with have been tried.
const SLOW: Time = Time(20_000);
/// Where the number in the file is true, so many times the watchers that are wanted go without waiting.
const AT_ONCE: f64 = 2.0;
/// One that is no longer asked to watch goes on for so long.
const WATCH_ON: Time = Time(10_000);
/// The list service has not answered for so long: this instance is blind.
const BLIND_AFTER: Time = Time(10_000);
/// How long one that is blind waits until it tries again; drawn between the time and twice the time.
const TRY_AGAIN: Time = Time(20_000);

enum Purpose {
    /// To be looked after.
    Ring(MemberId),
    /// To be met: a peer to begin with, or one that was given up.
    Meet,
    /// Opened by the peer.
    Theirs,
}

struct Link {
    purpose: Purpose,
    up: bool,
    /// Who is at the other end, once it has said so.
    peer: Option<MemberId>,
    since: Time,
    heard: Time,
    /// The tags sent last, and when.
    tags: VecDeque<(u64, Time)>,
    beat_at: Time,
    /// What was heard last: tag, records, list, whether it is sure.
    echo: u64,
    digest: Option<u64>,
    held: Option<(u64, u64)>,
    sure: bool,
    /// It has answered a beat that was sent after the last stall.
    answered: bool,
    asked_list: Time,
    /// Records that it is to be told.
    untold: BTreeSet<MemberId>,
    told_at: Time,
    hints: Untold,
    hinted_at: Time,
    synced: Time,
}

/// A member that cannot be reached from here.
struct Unheard {
    failures: u32,
    retry_at: Time,
    dialling: bool,
}

/// One instance among others.
pub struct Fleet {
    fleet: String,
    name: String,
    address: String,
    me: MemberId,
    bounds: Bounds,
    rng: Rand64,
    /// Those in the file, and after them those remembered from an earlier run.
    peers: Vec<String>,
    told_peers: usize,
    table: Table,
    number: Number,
    book: Book,
    hints: Hints,
    /// Those whom this instance looks after, and the records and the silent ones by which they were found.
    wanted: BTreeSet<MemberId>,
    wanted_by: (u64, Vec<MemberId>),
    /// Those of them whom it tells hints.
    hinted: BTreeSet<MemberId>,
    links: BTreeMap<LinkId, Link>,
    next_link: u64,
    next_tag: u64,
    unheard: BTreeMap<MemberId, Unheard>,
    /// Since when enough others doubt a member.
    suspects: BTreeMap<MemberId, Time>,
    ticked: Time,
    changed: Time,
    /// When it last tried to meet somebody, and a draw for the next time.
    reached: (Time, f64),
    /// Peers to begin with that were met or missed, one after the other, when this instance began.
    introduced: usize,
    /// When this instance may watch the list: linked, and alone.
    watch_from: (Option<Time>, Time),
    watching: bool,
    unasked_since: Option<Time>,
    service: Option<Time>,
    service_tried: Time,
    asked_service: Option<Time>,
    answered_service: Time,
    try_again: Time,
    fresh_at: Option<Time>,
    woke: Option<Time>,
    left: bool,
    refusals: u64,
    /// Members heard of since the last look, by what became of them: how many, and the first.
    heard_of: BTreeMap<&'static str, (usize, String)>,
    /// From when on a list of the snapshot is used, if there is one and nobody has told another.
    remembered_at: Option<Time>,
    /// One peer alone speaks of a list far on: when this instance looks for itself, and the list.
    look_at: Option<(Time, (u64, u64))>,
}

/// The list service's connection, as the book knows it, and the disk.
const SERVICE: u64 = u64::MAX;
const DISK: u64 = u64::MAX - 1;
/// Addresses remembered from an earlier run that are tried beside the peers to begin with.
const REMEMBERED: usize = 16;
/// So long after its start an instance that has heard no list from anybody uses that of its snapshot.
const REMEMBER_AFTER: Time = Time(20_000);

impl Fleet {
    /// `run` is another for each start of the process, also where the seed is the same; `address` is where peers reach
    /// this instance, `peers` some of them to begin with, `told` the number of instances in the file.
    pub fn start(
        now: Time, fleet: &str, (name, run): (&str, Run), address: &str, peers: Vec<String>, told: u64,
        bounds: Bounds, seed: u128,
    ) -> Fleet {
        let mut rng = Rand64::new(seed);
        let me = MemberId { instance: InstanceId::of(name), run };
        let mut table = Table::new(bounds.instances * RECORDS);
        let _ = table.merge(now, me, name, address, Standing::default());
        let peers: Vec<String> = peers.into_iter().filter(|p| p != address).collect();
        let alone = now + stretch(&mut rng, WATCH_AFTER.1);
        let number = Number::new(told, !peers.is_empty());
        Fleet {
            fleet: fleet.to_owned(),
            name: name.to_owned(),
            address: address.to_owned(),
            me,
            bounds,
            rng,
            table,
            number,
            book: Book::new(WORKERS),
            hints: Hints::new(now, bounds.hints, HINTS),
            wanted: BTreeSet::new(),
            wanted_by: (0, Vec::new()),
            hinted: BTreeSet::new(),
            links: BTreeMap::new(),
            next_link: 0,
            next_tag: 0,
            unheard: BTreeMap::new(),
            suspects: BTreeMap::new(),
            ticked: now,
            changed: now,
            reached: (Time(0), 0.0),
            introduced: 0,
            watch_from: (None, if peers.is_empty() { now } else { alone }),
            told_peers: peers.len(),
            peers,
            watching: false,
            unasked_since: None,
            service: None,
            service_tried: now,
            asked_service: None,
            answered_service: Time(0),
            try_again: Time(0),
            fresh_at: None,
            woke: None,
            left: false,
            refusals: 0,
            heard_of: BTreeMap::new(),
            remembered_at: None,
            look_at: None,
        }
    }

    pub fn me(&self) -> MemberId {
        self.me
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    pub fn book(&self) -> &Book {
        &self.book
    }

    pub fn hints(&self) -> &Hints {
        &self.hints
    }

    pub fn number(&self) -> &Number {
        &self.number
    }

    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Those who are asked to watch the list, as seen from here.
    pub fn watchers(&self) -> BTreeSet<MemberId> {
        self.first(true)
    }

    /// Those who come first in an order that all reckon alike, among those who live and are not suspect; `seeing`: and
    /// reach the list service.
    fn first(&self, seeing: bool) -> BTreeSet<MemberId> {
        let unfit = |s: Standing| s.is_suspect() || (seeing && s.blind);
        let fit = self.table.living().filter(|(_, m)| !unfit(m.standing)).map(|(id, _)| id);
        let mut first = BTreeSet::new();
        for id in fit {
            first.insert((rank(SALT_WATCH, id), id));
            if first.len() > self.bounds.watchers {
                first.pop_last();
            }
        }
        first.into_iter().map(|(_, id)| id).collect()
    }

    /// Links that are up.
    pub fn links(&self) -> usize {
        self.links.values().filter(|l| l.up).count()
    }

    /// Who is at the other end of each link.
    pub fn peers(&self) -> impl Iterator<Item = (LinkId, MemberId)> + '_ {
        self.links.iter().filter_map(|(id, l)| Some((*id, l.peer?)))
    }

    /// Members that cannot be reached from here.
    pub fn unheard(&self) -> usize {
        self.unheard.len()
    }

    /// Records, links and lists that were not taken.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// How long ago the list held was known to be the newest.
    pub fn age(&self, now: Time) -> Option<Time> {
        self.fresh_at.map(|at| now - at)
    }

    /// This instance stood still and has not heard yet what has passed meanwhile: nothing new may be sent.
    ///
    /// Guards against one that was stopped and goes on with the workers of an old list. Harms for the time of one
    /// question and answer, after a pause that is none of its own.
    pub fn holds(&self, now: Time) -> bool {
        self.woke.is_some_and(|at| now - at < self.hold())
    }

    /// After standing still nothing new is sent until a peer or the list service has told of the list, for this time at
    /// most: half of the slack is left for the way of answers that are due meanwhile.
    fn hold(&self) -> Time {
        Time(self.bounds.slack.0 / 2)
    }

    /// When the clock is wanted next.
    pub fn next_wake(&self) -> Time {
        self.ticked + self.tick()
    }

    fn tick(&self) -> Time {
        if self.book.held().is_none() {
            HASTE
        } else {
            TICK
        }
    }

    // What an earlier run of this instance has left on disk.

    /// Somebody lived there.
    pub fn remember(&mut self, address: &str) {
        if self.peers.len() < REMEMBERED
            && address != self.address
            && !self.peers.iter().any(|p| p == address)
        {
            self.peers.push(address.to_owned());
        }
    }

    /// The list that was held begins.
    pub fn remember_list(&mut self, now: Time, epoch: u64, version: u64) {
        self.book.begins(DISK, epoch, version, None);
        self.remembered_at = Some(now + REMEMBER_AFTER);
    }

    pub fn remember_row(&mut self, name: &str, entry: Entry) {
        self.book.row(DISK, name, entry);
    }

    /// Guards against a start while neither list service nor peers can be reached: what was held before is better than
    /// nothing. Harms where workers were replaced meanwhile: attempts to them fail to connect, which proves that they
    /// never ran. A drain that was not heard of cannot be known; the first list that anybody tells replaces it.
    fn use_remembered(&mut self, now: Time, out: &mut impl Outside) {
        if self.remembered_at.is_none_or(|at| now < at) {
            return;
        }
        self.remembered_at = None;
        if self.book.ends(DISK, Source::Disk) == Taken::New(None) {
            out.log(&format!(
                "fleet: nobody told a list: that of the snapshot is used, {} workers",
                self.book.len()
            ));
            self.hand_over(out, None, None);
        }
    }

    // Links.

    /// A link that was opened from here is up.
    pub fn link_up(&mut self, now: Time, out: &mut impl Outside, link: LinkId) {
        let Some(l) = self.links.get_mut(&link) else { return out.close(link) };
        (l.up, l.heard, l.since) = (true, now, now);
        self.join(out, link);
    }

    /// A peer has opened a link.
    pub fn link_in(&mut self, now: Time, out: &mut impl Outside, link: LinkId) {
        let theirs = self.links.values().filter(|l| matches!(l.purpose, Purpose::Theirs)).count();
        if theirs >= self.bounds.links {
            self.refusals += 1;
            return out.refuse(link, "as many peers are connected as are taken: try another");
        }
        self.links.insert(link, new_link(now, Purpose::Theirs));
        self.links.get_mut(&link).into_iter().for_each(|l| l.up = true);
        self.join(out, link);
    }

    fn join(&mut self, out: &mut impl Outside, link: LinkId) {
        if let Some(me) = self.table.get(self.me) {
            out.join(link, &self.fleet, self.me, me, self.table.len() as u64);
        }
    }

    /// A link has ended, or could not be opened.
    pub fn link_down(&mut self, now: Time, out: &mut impl Outside, link: LinkId) {
        self.book.broke(link.0);
        let Some(l) = self.links.remove(&link) else { return };
        if matches!(l.purpose, Purpose::Meet) && l.peer.is_none() {
            self.introduced += 1;
        }
        if let Purpose::Ring(member) = l.purpose {
            if l.up {
                // It may have been restarted, or the link alone has broken: one more dial tells.
                self.dial(now, out, Purpose::Ring(member));
            } else {
                self.not_reached(now, member);
                self.doubt(now, out);
            }
        }
    }

    fn not_reached(&mut self, now: Time, member: MemberId) {
        let chance = self.rng.rand_float();
        let u = self.unheard.entry(member).or_insert(Unheard { failures: 0, retry_at: now, dialling: false });
        let pause = Time(BACK_OFF.0 .0 << u.failures.min(10)).min(BACK_OFF.1);
        u.failures += 1;
        u.dialling = false;
        u.retry_at = now + Time((pause.0 as f64 * (0.5 + 0.5 * chance)) as u64);
    }

    fn dial(&mut self, now: Time, out: &mut impl Outside, purpose: Purpose) {
        let address = match &purpose {
            Purpose::Ring(member) => self.table.get(*member).map(|m| m.address.clone()),
            _ => self.someone(),
        };
        let Some(address) = address else { return };
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.links.insert(link, new_link(now, purpose));
        out.dial(link, &address);
    }

    /// Whom to meet first: those in the file, where it names any; what is remembered may be long gone.
    fn introducers(&self) -> &[String] {
        if self.told_peers > 0 {
            &self.peers[..self.told_peers]
        } else {
            &self.peers
        }
    }

    fn to_introduce(&self) -> bool {
        self.introduced < self.introducers().len().min(INTRODUCED)
    }

    /// Where somebody may be whom this instance does not know as living: those given up, and peers to begin with.
    fn unmet(&self) -> Vec<String> {
        let living: BTreeSet<&str> = self.table.living().map(|(_, m)| m.address.as_str()).collect();
        let dead = |m: &Member| m.standing.dead && !m.standing.left;
        let dead = self.table.iter().filter(|(_, m)| dead(m)).map(|(_, m)| &m.address);
        let all: BTreeSet<&String> =
            dead.chain(&self.peers).filter(|a| !living.contains(a.as_str())).collect();
        all.into_iter().cloned().collect()
    }

    /// An address at which to meet somebody.
    fn someone(&mut self) -> Option<String> {
        if self.to_introduce() {
            // One after the other, from a place of one's own.
            let all = self.introducers();
            let no = (self.me.run.0 as usize).wrapping_add(self.introduced) % all.len();
            return Some(all[no].clone());
        }
        let mut all = self.unmet();
        if all.is_empty() {
            all.clone_from(&self.peers);
        }
        let no = self.rng.rand_range(0..all.len().max(1) as u64) as usize;
        all.into_iter().nth(no)
    }

    // What peers say.

    /// Who is at the other end.
    pub fn joined(
        &mut self, now: Time, out: &mut impl Outside, link: LinkId, fleet: &str, id: MemberId, name: &str,
        address: &str, standing: Standing, known: u64,
    ) {
        if fleet != self.fleet {
            return self.refuse(out, link, &format!("this is fleet '{}', not '{fleet}'", self.fleet));
        }
        if known > (self.bounds.instances * RECORDS) as u64 {
            return self.refuse(out, link, &format!("it knows {known} members, more than are kept"));
        }
        if id == self.me {
            // A peer to begin with that is this instance itself.
            self.links.remove(&link);
            return out.close(link);
        }
        if !self.learn(now, out, Some(link), id, name, address, standing) {
            return;
        }
        let Some(l) = self.links.get_mut(&link) else { return };
        (l.peer, l.heard) = (Some(id), now);
        self.introduced += usize::from(matches!(l.purpose, Purpose::Meet));
        let looked_for = if let Purpose::Ring(member) = l.purpose { Some(member) } else { None };
        // What others believe of it, that it may speak for itself.
        l.untold.insert(id);
        if known * 2 <= self.table.len() as u64 {
            l.untold.extend(self.table.spoken_of().map(|(id, _)| id));
            self.hints.whole().into_iter().for_each(|seen| l.hints.push(seen));
        }
        self.unheard.remove(&id);
        if looked_for.is_some_and(|m| m != id) {
            // Another run answers where that one was: it is not there any more.
            let gone = looked_for.expect("just seen");
            l.purpose = Purpose::Meet;
            if let Some(m) = self.table.get(gone).filter(|m| m.standing.lives()).cloned() {
                let standing = Standing { doubts: (1 << RINGS) - 1, ..m.standing };
                self.learn(now, out, None, gone, &m.name, &m.address, standing);
            }
        }
        if self.watch_from.0.is_none() {
            // Among as many as the file tells, those few would come first: they need not know the others for that.
            let place = rank(SALT_WATCH, self.me) as f64 / u64::MAX as f64;
            let few = AT_ONCE * self.bounds.watchers as f64 / self.number.told() as f64;
            // The more start at once, the longer it takes until all know all.
            let most = WATCH_AFTER.0 + Time(KNOWN_AFTER.0 * self.number.told());
            let wait = if place < few { Time(0) } else { stretch(&mut self.rng, most) };
            self.watch_from.0 = Some(now + wait);
        }
        self.number.linked(now);
        if known <= 1 {
            // One that has just started can serve by the list; records of members, hundreds of them, come behind it.
            self.tell_list(out, link, None);
        }
        self.flush(now, out, link);
        self.flush_hints(now, out, link);
        self.beat(now, out, link, true);
        self.settle_rings(now, out);
        if self.to_introduce() {
            self.reach_out(now, out);
        }
    }

    /// A record of a member.
    pub fn member(
        &mut self, now: Time, out: &mut impl Outside, link: LinkId, id: MemberId, name: &str, address: &str,
        standing: Standing,
    ) {
        // What a peer sent before it was refused is void with it.
        if self.links.get(&link).is_some_and(|l| l.peer.is_some()) {
            self.heard(now, link);
            self.learn(now, out, Some(link), id, name, address, standing);
        }
    }

    fn heard(&mut self, now: Time, link: LinkId) {
        self.links.get_mut(&link).into_iter().for_each(|l| l.heard = now);
    }

    /// Takes a record and hands on what is new; false: it was refused, and its link with it.
    fn learn(
        &mut self, now: Time, out: &mut impl Outside, from: Option<LinkId>, id: MemberId, name: &str,
        address: &str, standing: Standing,
    ) -> bool {
        if id == self.me {
            self.of_me(now, out, standing);
            return true;
        }
        let before = self.table.get(id).map(|m| m.standing);
        match self.table.merge(now, id, name, address, standing) {
            Ok(false) => {
                // Who tells it needs not be told it.
                if let Some(l) = from.and_then(|link| self.links.get_mut(&link)) {
                    if before == Some(standing) {
                        l.untold.remove(&id);
                    }
                }
            }
            Ok(true) => {
                self.changed = now;
                let after = self.table.get(id).map(|m| m.standing).unwrap_or_default();
                let told = match before {
                    None if after.lives() => Some("joins"),
                    Some(b) if b.lives() && after.left => Some("leaves"),
                    Some(b) if b.lives() && after.dead => Some("is given up"),
                    Some(b) if b.dead && after.lives() => Some("is back"),
                    _ => None,
                };
                if let Some(what) = told {
                    self.heard_of.entry(what).or_insert((0, name.to_owned())).0 += 1;
                }
                self.spread(now, out, from, id);
            }
            Err(why) => {
                let why = match why {
                    Refused::TooMany => "more members than are kept",
                    Refused::BadName => "a member whose name is not its own",
                };
                if let Some(link) = from {
                    self.refuse(out, link, why);
                }
                return false;
            }
        }
        true
    }

    /// One line for all that was heard of one kind since the last look, however many start or die together.
    fn tell_of_members(&mut self, out: &mut impl Outside) {
        for (what, (n, first)) in std::mem::take(&mut self.heard_of) {
            let others = if n > 1 { format!(" and {} others", n - 1) } else { String::new() };
            let (live, known) = (self.table.living().count(), self.table.len());
            out.log(&format!("fleet: {first}{others}: {what}, {live} live of {known} known"));
        }
    }

    /// What others believe of this instance; where it is wrong it speaks for itself.
    fn of_me(&mut self, now: Time, out: &mut impl Outside, said: Standing) {
        let mine = self.table.get(self.me).map(|m| m.standing).unwrap_or_default();
        if self.left {
            return;
        }
        if said.left {
            // Nobody but this run can have said so: it has to be another one from here on, as a goodbye is for good.
            out.log("fleet: a peer says that this run has left; it goes on as another run");
            self.me.run = Run(self.rng.rand_u64());
            let _ = self.table.merge(now, self.me, &self.name, &self.address, Standing::default());
            return self.spread(now, out, None, self.me);
        }
        let merged = mine.merge(said);
        if said.incarnation > mine.incarnation || merged.dead || merged.is_suspect() {
            let incarnation = merged.incarnation + 1;
            self.speak(now, out, Standing { incarnation, dead: false, doubts: 0, ..mine });
        } else if merged != mine {
            // One alone who hears nothing is let be, and believed alike everywhere.
            let _ = self.table.merge(now, self.me, &self.name, &self.address, merged);
        }
    }

    /// Says something new of this instance.
    fn speak(&mut self, now: Time, out: &mut impl Outside, standing: Standing) {
        if self.table.merge(now, self.me, &self.name, &self.address, standing) == Ok(true) {
            self.changed = now;
            self.spread(now, out, None, self.me);
        }
    }

    fn spread(&mut self, now: Time, out: &mut impl Outside, from: Option<LinkId>, id: MemberId) {
        let to: Vec<LinkId> = self.links.iter().filter(|(l, _)| Some(**l) != from).map(|(l, _)| *l).collect();
        for link in to {
            let l = self.links.get_mut(&link).expect("just listed");
            // Round the rings, each in one direction: over both, everyone would be told everything eight times.
            if l.peer.is_some() && !matches!(l.purpose, Purpose::Theirs) {
                l.untold.insert(id);
                if now - l.told_at >= TICK {
                    self.flush(now, out, link);
                }
            }
        }
    }

    fn flush(&mut self, now: Time, out: &mut impl Outside, link: LinkId) {
        let Some(l) = self.links.get_mut(&link) else { return };
        l.told_at = now;
        for id in std::mem::take(&mut l.untold) {
            if let Some(member) = self.table.get(id) {
                out.member(link, id, member);
            }
        }
    }

    // What is seen of functions at workers. It travels as records do, round fewer rings.

    /// The scheduler here has seen something; others are told where it is news.
    pub fn saw(
        &mut self, now: Time, out: &mut impl Outside, worker: WorkerId, function: FunctionId, hint: Hint,
        held: u64,
    ) {
        if !self.bounds.hinted {
            return;
        }
        if let Some(seen) = self.hints.saw(now, self.me.run, worker, function, hint, held) {
            self.spread_hints(now, out, None, &[seen]);
        }
    }

    /// A peer tells what some instances have seen.
    pub fn hinted(&mut self, now: Time, out: &mut impl Outside, link: LinkId, all: Vec<Seen>) {
        if self.links.get(&link).is_none_or(|l| l.peer.is_none()) {
            return;
        }
        self.heard(now, link);
        let new: Vec<Seen> =
            all.into_iter().filter(|s| s.run != self.me.run && self.hints.told(now, *s)).collect();
        for s in new.iter().filter(|_| self.bounds.hinted) {
            out.take_hint(s.worker, s.function, s.hint, s.held, now - s.at);
        }
        self.spread_hints(now, out, Some(link), &new);
    }

    fn spread_hints(&mut self, now: Time, out: &mut impl Outside, from: Option<LinkId>, new: &[Seen]) {
        let wanted = |l: &Link| matches!(l.purpose, Purpose::Ring(m) if self.hinted.contains(&m));
        let on = |(id, l): &(&LinkId, &Link)| Some(**id) != from && l.peer.is_some() && wanted(l);
        let to: Vec<LinkId> = self.links.iter().filter(on).map(|(id, _)| *id).collect();
        for link in to {
            let l = self.links.get_mut(&link).expect("just listed");
            new.iter().for_each(|seen| l.hints.push(*seen));
            if now - l.hinted_at >= TICK {
                self.flush_hints(now, out, link);
            }
        }
    }

    fn flush_hints(&mut self, now: Time, out: &mut impl Outside, link: LinkId) {
        let Some(l) = self.links.get_mut(&link).filter(|l| !l.hints.is_empty()) else { return };
        l.hinted_at = now;
        out.hints(link, &l.hints.take());
    }

    fn refuse(&mut self, out: &mut impl Outside, link: LinkId, why: &str) {
        self.refusals += 1;
        out.log(&format!("fleet: a peer is refused: {why}"));
        self.book.broke(link.0);
        self.links.remove(&link);
        out.refuse(link, why);
    }

    fn beat(&mut self, now: Time, out: &mut impl Outside, link: LinkId, answer: bool) {
        let age = self.age(now);
        let sure = self.number.is_sure() || self.links.values().any(|l| l.sure);
        let Some(l) = self.links.get_mut(&link).filter(|l| l.peer.is_some()) else { return };
        self.next_tag += 1;
        l.tags.push_back((self.next_tag, now));
        if l.tags.len() > 16 {
            l.tags.pop_front();
        }
        l.beat_at = now;
        let (digest, held) = (self.table.digest(), self.book.held());
        out.beat(link, (self.next_tag, l.echo), digest, held, age, sure, answer);
    }

    /// A peer's beat.
    pub fn beaten(
        &mut self, now: Time, out: &mut impl Outside, link: LinkId, (tag, echo): (u64, u64), digest: u64,
        held: Option<(u64, u64)>, age: Option<Time>, sure: bool, answer: bool,
    ) {
        let Some(l) = self.links.get_mut(&link).filter(|l| l.peer.is_some()) else { return };
        l.heard = now;
        (l.echo, l.digest, l.held, l.sure) = (tag, Some(digest), held, sure);
        let asked = l.tags.iter().find(|(t, _)| *t == echo).map(|(_, at)| *at);
        // It was written after my beat was read, so what it says held at that time or later, however long it lay.
        if let (Some(asked), Some(age)) = (asked, age) {
            if held <= self.book.held() {
                self.fresh_at = self.fresh_at.max(Some(asked - age));
            }
        }
        // One that tells no age has not heard itself how old its list is. Guards against the word of one that stood still
        // as well. Harms where nobody knows: then the time for it runs out.
        l.answered |= age.is_some() && asked.is_some_and(|at| self.woke.is_some_and(|woke| at >= woke));
        let (answered, behind) = (l.answered, held > self.book.held());
        if behind && now - l.asked_list >= BEAT {
            l.asked_list = now;
            out.ask_list(link, self.book.held());
        }
        if answered && !behind && self.woke.is_some() {
            self.awake(out, "a peer has told what is new");
        }
        if answer {
            self.beat(now, out, link, false);
        }
    }

    fn awake(&mut self, out: &mut impl Outside, by: &str) {
        self.woke = None;
        out.log(&format!("fleet: going on after standing still: {by}"));
    }

    // The list.

    /// A peer asks for the list.
    pub fn list_asked(&mut self, now: Time, out: &mut impl Outside, link: LinkId, held: Option<(u64, u64)>) {
        self.heard(now, link);
        if self.links.get(&link).is_some_and(|l| l.peer.is_some()) {
            self.tell_list(out, link, held);
        }
    }

    fn tell_list(&mut self, out: &mut impl Outside, link: LinkId, held: Option<(u64, u64)>) {
        let Some(version) = self.book.held().filter(|v| held.is_none_or(|h| h < *v)) else { return };
        let from = held.filter(|_| self.book.knows_since(held)).map(|(_, v)| v);
        out.list_begins(link, version, from);
        for (name, entry) in self.book.since(held) {
            out.list_row(link, name, entry);
        }
        out.list_ends(link);
        self.links.get_mut(&link).into_iter().for_each(|l| l.held = Some(version));
    }

    pub fn list_begins(&mut self, on: Option<LinkId>, epoch: u64, version: u64, from: Option<u64>) {
        self.book.begins(on.map_or(SERVICE, |l| l.0), epoch, version, from);
    }

    pub fn list_row(&mut self, on: Option<LinkId>, name: &str, entry: Entry) {
        self.book.row(on.map_or(SERVICE, |l| l.0), name, entry);
    }

    /// A list has come to its end, from a peer or (none) from the list service.
    pub fn list_ends(&mut self, now: Time, out: &mut impl Outside, on: Option<LinkId>) {
        let (on_book, by) = match on {
            None => (SERVICE, Some(Source::Service)),
            Some(link) => {
                self.heard(now, link);
                (link.0, self.links.get(&link).and_then(|l| l.peer).map(|p| Source::Peer(p.instance)))
            }
        };
        let Some(by) = by else { return self.book.broke(on_book) };
        let before = self.book.held();
        let taken = self.book.ends(on_book, by);
        if on.is_none() {
            self.service_told(now, out, taken);
        }
        match taken {
            Taken::New(from) => {
                let version = self.book.held().expect("just taken");
                // Another peer has vouched for it meanwhile.
                self.look_at = self.look_at.filter(|(_, of)| *of > version);
                self.hand_over(out, from, before);
                // As records: one way round the rings. Whoever is left behind by a cut asks at the next beat.
                let theirs = |l: &Link| matches!(l.purpose, Purpose::Theirs);
                let behind = |l: &Link| l.peer.is_some() && !theirs(l) && l.held.is_none_or(|h| h < version);
                let to: Vec<LinkId> = self
                    .links
                    .iter()
                    .filter(|(id, l)| Some(**id) != on && behind(l))
                    .map(|(l, _)| *l)
                    .collect();
                if let Some(l) = on.and_then(|on| self.links.get_mut(&on)) {
                    l.held = l.held.max(Some(version));
                }
                for link in to {
                    let held = self.links[&link].held;
                    self.tell_list(out, link, held);
                }
                if self.woke.is_some() && self.links.values().any(|l| l.answered && l.held <= Some(version)) {
                    self.awake(out, "the newest list has come");
                }
            }
            Taken::Gap => match on {
                Some(link) => out.ask_list(link, None),
                None => out.ask_service(None),
            },
            Taken::Unvouched(epoch, version) => {
                let most = LOOK_EACH.0 as f64 * self.table.living().count() as f64;
                let wait = OWN_LOOK + Time((most * self.rng.rand_float()) as u64);
                let (_, of) = self.look_at.get_or_insert((now + wait, (epoch, version)));
                *of = (*of).max((epoch, version));
                self.refusals += 1;
                out.log("fleet: one peer alone speaks of a list far on; it is not taken on its word");
            }
            Taken::Old | Taken::Stray => {}
        }
    }

    /// Hands the list that was just taken to the scheduler: the changes since `before`, or the whole.
    fn hand_over(&self, out: &mut impl Outside, from: Option<u64>, before: Option<(u64, u64)>) {
        let Some(version) = self.book.held() else { return };
        out.take_begins(version, from);
        for (name, entry) in self.book.since(from.and(before)) {
            out.take_row(name, entry);
        }
        out.take_ends();
    }

    // The list service.

    /// The list service has told a list. What it says when asked has no mark that tells it from what it says on its own,
    /// but only an answer can hold nothing new: that one counts, from the moment at which it was asked for. Guards against
    /// taking what has lain in a socket for what holds now.
    fn service_told(&mut self, now: Time, out: &mut impl Outside, taken: Taken) {
        self.answered_service = now;
        // Whatever a peer said, this is the truth.
        self.look_at = None;
        match (taken, self.asked_service) {
            (Taken::Old, Some(asked)) => {
                self.asked_service = None;
                self.fresh_at = self.fresh_at.max(Some(asked));
                if self.woke.is_some_and(|woke| asked >= woke) {
                    self.awake(out, "the list service has answered");
                }
            }
            // It may have been the answer: once more, that one with nothing new comes.
            (Taken::New(_), Some(_)) => out.ask_service(self.book.held()),
            _ => {}
        }
        self.see(now, out, true);
    }

    /// Whether this instance reaches the list service; it says so when that changes.
    fn see(&mut self, now: Time, out: &mut impl Outside, sees: bool) {
        let mine = self.table.get(self.me).map(|m| m.standing).unwrap_or_default();
        if mine.blind == sees {
            let age = self.age(now).map_or(-1.0, Time::ms);
            out.log(&format!(
                "fleet: the list service is {}, list {age:.0} ms old",
                if sees { "seen" } else { "not seen" }
            ));
            self.speak(
                now,
                out,
                Standing { incarnation: mine.incarnation + 1, blind: !sees, dead: false, doubts: 0, ..mine },
            );
        }
        if !sees {
            self.try_again = now + stretch(&mut self.rng, TRY_AGAIN);
        }
    }

    pub fn service_up(&mut self, now: Time, out: &mut impl Outside) {
        self.service = Some(now);
        self.ask_service(now, out);
    }

    fn ask_service(&mut self, now: Time, out: &mut impl Outside) {
        self.asked_service = Some(now);
        out.ask_service(self.book.held());
    }

    pub fn service_down(&mut self, now: Time) {
        self.book.broke(SERVICE);
        (self.service, self.asked_service, self.service_tried) = (None, None, now);
    }

    /// Whether this instance is one of the few that watch the list, or has to look for itself: it has no peers, or one
    /// peer's word alone for a list far on.
    fn is_asked_to_watch(&self, now: Time) -> bool {
        let (linked, alone) = self.watch_from;
        if self.links.values().all(|l| l.peer.is_none()) {
            // No peers: as without a fleet. While some are still being tried it waits longer: they may be slow.
            let wait = if self.to_introduce() && linked.is_none() { SLOW } else { Time(0) };
            return now >= linked.unwrap_or(alone).max(alone + wait);
        }
        if linked.is_none_or(|at| now < at) {
            return false;
        }
        let blind = self.table.get(self.me).is_some_and(|m| m.standing.blind);
        let doubts = self.look_at.is_some_and(|(at, _)| now >= at);
        (doubts || self.first(!blind).contains(&self.me)) && (!blind || now >= self.try_again)
    }

    fn settle_watch(&mut self, now: Time, out: &mut impl Outside) {
        let asked = !self.left && self.is_asked_to_watch(now);
        if asked {
            self.unasked_since = None;
        }
        let over = !asked && now - *self.unasked_since.get_or_insert(now) >= WATCH_ON;
        if asked && !self.watching {
            (self.watching, self.service_tried) = (true, now);
            out.log("fleet: watching the list from here on");
            out.watch(true);
        } else if self.watching && (over || self.left) {
            self.watching = false;
            self.service_down(now);
            out.log("fleet: others watch the list from here on");
            out.watch(false);
        }
        if !self.watching {
            return;
        }
        let waited = self.asked_service.or(self.service.is_none().then_some(self.service_tried));
        let peers = self.links.values().any(|l| l.peer.is_some());
        if waited.is_some_and(|at| now - at >= BLIND_AFTER) {
            self.see(now, out, false);
            if peers {
                self.watching = false;
                self.service_down(now);
                out.watch(false);
            } else {
                // Nobody else can tell: it goes on trying, and is said once.
                (self.service_tried, self.asked_service) = (now, self.asked_service.and(Some(now)));
            }
        } else if self.service.is_some()
            && self.asked_service.is_none()
            && now - self.answered_service >= BEAT
        {
            self.ask_service(now, out);
        }
    }

    // Time.

    /// Time has passed.
    pub fn advance(&mut self, now: Time, out: &mut impl Outside) {
        if now - self.ticked < self.tick() || self.left {
            return;
        }
        if now - self.ticked >= STALL {
            self.stood_still(now, out);
        }
        self.ticked = now;
        if self.woke.is_some_and(|at| now - at >= self.hold()) {
            self.awake(out, "nobody told anything in time");
        }
        self.use_remembered(now, out);
        self.give_up_links(now, out);
        self.settle_rings(now, out);
        self.retry(now, out);
        self.doubt(now, out);
        self.judge(now);
        self.table.sweep(now);
        self.hints.sweep(now);
        let all: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| l.peer.is_some()).map(|(id, _)| *id).collect();
        for link in all {
            let l = &self.links[&link];
            let differs = l.digest.is_some_and(|d| d != self.table.digest());
            if differs && now - self.changed >= SETTLED && now - l.synced >= SETTLED {
                let rows: Vec<MemberId> = self.table.spoken_of().map(|(id, _)| id).collect();
                let l = self.links.get_mut(&link).expect("just listed");
                l.synced = now;
                l.untold.extend(rows);
            }
            let l = &self.links[&link];
            let due = now - l.beat_at >= BEAT;
            if !l.untold.is_empty() {
                self.flush(now, out, link);
            }
            self.flush_hints(now, out, link);
            if due {
                self.beat(now, out, link, false);
            }
        }
        self.settle_watch(now, out);
        self.tell_of_members(out);
        // A peer to begin with of whom nobody knows may be behind a cut, with a fleet of its own.
        let known = |p: &String| self.table.iter().any(|(_, m)| m.address == *p);
        let alike = self.links.values().any(|l| l.digest == Some(self.table.digest()))
            && (self.number.is_sure() || self.peers.iter().take(self.told_peers).all(known));
        let among_sure = self.among_sure(now);
        if let Some(number) = self.number.look(now, &self.table, alike, among_sure) {
            out.log(&format!(
                "fleet: {number} instances are reckoned with, {} live",
                self.table.living().count()
            ));
            out.instances(number);
        }
    }

    /// Whether a peer is sure of the number, or knows one that is; none: not all have said, and one of them may.
    fn among_sure(&self, now: Time) -> Option<bool> {
        let mut said = self.links.values().filter(|l| l.digest.is_some()).peekable();
        if said.peek().is_none() {
            return (!self.to_introduce() && now >= self.watch_from.1).then_some(false);
        }
        let sure = said.any(|l| l.sure);
        let unsaid = self.links.values().any(|l| matches!(l.purpose, Purpose::Meet) && l.digest.is_none());
        (sure || !(unsaid || self.to_introduce())).then_some(sure)
    }

    /// Guards against judging others by one's own pause, and against going on with what was true before it.
    fn stood_still(&mut self, now: Time, out: &mut impl Outside) {
        let span = now - self.ticked;
        out.log(&format!("fleet: stood still for {:.0} ms", span.ms()));
        self.suspects.clear();
        self.fresh_at = None;
        let peers = self.links.values().any(|l| l.peer.is_some());
        self.woke = (peers || self.watching).then_some(now);
        for l in self.links.values_mut() {
            (l.heard, l.answered) = (now, false);
            // What answers a beat of before may lie in the connection: it tells nothing of the time since.
            l.tags.clear();
        }
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        for link in all {
            self.beat(now, out, link, true);
        }
        if self.watching {
            // An answer to a question of before may lie in the connection; on a new one it cannot.
            self.service_down(now);
            out.watch(false);
            out.watch(true);
        }
    }

    fn give_up_links(&mut self, now: Time, out: &mut impl Outside) {
        let silent = |l: &Link| l.up && now - l.heard >= SILENT;
        // One that met somebody whom no ring needs.
        let met = |l: &Link| matches!(l.purpose, Purpose::Meet) && l.up && now - l.since >= MET;
        let over: Vec<(LinkId, bool)> =
            self.links.iter().filter(|(_, l)| silent(l) || met(l)).map(|(id, l)| (*id, silent(l))).collect();
        for (link, silent) in over {
            let joined = self.links.values().filter(|l| l.peer.is_some()).count();
            if silent {
                out.close(link);
                self.link_down(now, out, link);
            } else if joined > 1 {
                out.close(link);
                self.book.broke(link.0);
                self.links.remove(&link);
            }
        }
    }

    /// Members that live and are not known to be out of reach from here.
    fn heard_from(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.table.living().map(|(id, _)| id).filter(|id| !self.unheard.contains_key(id))
    }

    /// Links to those whom this instance looks after, and to nobody else.
    fn settle_rings(&mut self, now: Time, out: &mut impl Outside) {
        let by = (self.table.digest(), self.unheard.keys().copied().collect());
        if by != self.wanted_by {
            let mut wanted = BTreeSet::new();
            for ring in 0..RINGS {
                wanted.extend(observed(ring, self.me, self.heard_from()));
                if ring + 1 == HINT_RINGS {
                    self.hinted.clone_from(&wanted);
                }
            }
            (self.wanted, self.wanted_by) = (wanted, by);
        }
        let wanted = &self.wanted;
        let mut linked = BTreeSet::new();
        let mut over = Vec::new();
        for (id, l) in &mut self.links {
            match l.purpose {
                Purpose::Ring(member) if wanted.contains(&member) => drop(linked.insert(member)),
                // It is being looked into: see `retry`.
                Purpose::Ring(member) if self.unheard.contains_key(&member) => {}
                Purpose::Ring(_) => over.push(*id),
                Purpose::Meet | Purpose::Theirs => {}
            }
            if let (Purpose::Meet, Some(peer)) = (&l.purpose, l.peer) {
                if wanted.contains(&peer) && linked.insert(peer) {
                    l.purpose = Purpose::Ring(peer);
                }
            }
        }
        for link in over {
            self.links.remove(&link);
            self.book.broke(link.0);
            out.close(link);
        }
        for member in wanted.difference(&linked).copied().collect::<Vec<_>>() {
            self.dial(now, out, Purpose::Ring(member));
        }
    }

    /// Dials those anew that were not reached, and now and then somebody beyond.
    fn retry(&mut self, now: Time, out: &mut impl Outside) {
        let table = &self.table;
        self.unheard.retain(|id, _| table.get(*id).is_some_and(|m| m.standing.lives()));
        let due: Vec<MemberId> = self
            .unheard
            .iter_mut()
            .filter(|(_, u)| !u.dialling && u.retry_at <= now)
            .map(|(id, u)| {
                u.dialling = true;
                *id
            })
            .collect();
        for member in due {
            self.dial(now, out, Purpose::Ring(member));
        }
        self.reach_out(now, out);
    }

    /// Tries to meet somebody: at the start the peers to begin with, one after the other; later those who were given up
    /// and may be behind a cut; and while all is well, now and then, one of the peers.
    fn reach_out(&mut self, now: Time, out: &mut impl Outside) {
        if self.links.values().any(|l| matches!(l.purpose, Purpose::Meet) && l.peer.is_none()) {
            return;
        }
        let (reached, chance) = self.reached;
        let alone = self.links.values().all(|l| l.peer.is_none());
        if !alone && !self.to_introduce() && now - reached < REACH_OUT.0 {
            return;
        }
        let pause = match (alone, self.unmet().is_empty()) {
            _ if self.to_introduce() => Time(0),
            (true, _) => BACK_OFF.0,
            (false, false) => REACH_OUT.0,
            (false, true) => REACH_OUT.1,
        };
        if now - reached >= Time((pause.0 as f64 * (1.0 + chance)) as u64) {
            self.reached = (now, self.rng.rand_float());
            self.dial(now, out, Purpose::Meet);
        }
    }

    /// Says of whom it hears nothing, on the rings on which it would be the one to hear.
    fn doubt(&mut self, now: Time, out: &mut impl Outside) {
        if self.unheard.is_empty() {
            return;
        }
        let mut doubts: BTreeMap<MemberId, u8> = BTreeMap::new();
        for ring in 0..RINGS {
            let place = |id: MemberId| rank(u64::from(ring), id).wrapping_sub(rank(u64::from(ring), self.me));
            let next = observed(ring, self.me, self.heard_from()).map_or(u64::MAX, place);
            for id in self.unheard.keys().filter(|id| place(**id) < next) {
                *doubts.entry(*id).or_default() |= 1 << ring;
            }
        }
        for (id, bits) in doubts {
            // A suspect needs no more doubt; each change of a record goes to everybody.
            let new = |m: &&Member| m.standing.doubts & bits != bits && !m.standing.is_suspect();
            let Some(m) = self.table.get(id).filter(new).cloned() else {
                continue;
            };
            let standing = Standing { doubts: m.standing.doubts | bits, ..m.standing };
            self.learn(now, out, None, id, &m.name, &m.address, standing);
        }
    }

    /// Gives up those whom enough others have doubted for long enough.
    fn judge(&mut self, now: Time) {
        let suspect: Vec<MemberId> = self
            .table
            .living()
            .filter(|(id, m)| *id != self.me && m.standing.is_suspect())
            .map(|(id, _)| id)
            .collect();
        self.suspects.retain(|id, _| suspect.binary_search(id).is_ok());
        for id in suspect {
            let since = *self.suspects.entry(id).or_insert(now);
            if now - since < SUSPICION {
                continue;
            }
            // All come to the same verdict by the same doubts: nobody has to be told of it.
            if let Some(m) = self.table.get(id).cloned() {
                let standing = Standing { dead: true, ..m.standing };
                if self.table.merge(now, id, &m.name, &m.address, standing) == Ok(true) {
                    self.changed = now;
                    self.heard_of.entry("is given up").or_insert((0, m.name)).0 += 1;
                }
            }
        }
    }

    /// This instance ends: nothing of this run is sent any more.
    pub fn leave(&mut self, now: Time, out: &mut impl Outside) {
        let mine = self.table.get(self.me).map(|m| m.standing).unwrap_or_default();
        self.speak(now, out, Standing { left: true, ..mine });
        self.left = true;
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        for link in all {
            self.flush(now, out, link);
        }
        self.settle_watch(now, out);
    }
}

fn new_link(now: Time, purpose: Purpose) -> Link {
    Link {
        purpose,
        up: false,
        peer: None,
        since: now,
        heard: now,
        tags: VecDeque::new(),
        beat_at: Time(0),
        echo: 0,
        digest: None,
        held: None,
        sure: false,
        answered: false,
        asked_list: Time(0),
        untold: BTreeSet::new(),
        told_at: Time(0),
        hints: Untold::default(),
        hinted_at: Time(0),
        synced: Time(0),
    }
}

/// Between the time and twice the time.
fn stretch(rng: &mut Rand64, least: Time) -> Time {
    Time((least.0 as f64 * (1.0 + rng.rand_float())) as u64)
}
