use std::collections::{BTreeMap, BTreeSet, VecDeque};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use oorandom::Rand64;

use crate::book::{EndpointEntry, EndpointTable, ListOutcome, ListSource};
use crate::hints::{HintTable, Observation, Untold};
use crate::members::{InstanceId, Member, MemberId, MemberState, MemberTable, RecordError, Run};
use crate::number::InstanceCount;
use crate::outside::{FleetDriver, FleetLimits, LinkId};
use crate::rings::{monitored_member, order_key, RING_COUNT, WATCHER_SALT};

mod asks;
mod beats;
mod links;
mod list;
mod records;
mod service;
mod sights;

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
    /// It is asked for a list no sooner.
    ask_from: Time,
    /// It reads rows of a list many to a frame.
    reads_rows: bool,
    /// Records that it is to be told.
    untold: BTreeSet<MemberId>,
    told_at: Time,
    hints: Untold,
    hinted_at: Time,
    synced: Time,
    /// It takes part in the directory of copies.
    takes: bool,
    /// It has just started.
    starts: bool,
    intake: asks::Meter,
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
    limits: FleetLimits,
    rng: Rand64,
    /// Those in the file, and after them those remembered from an earlier run.
    peers: Vec<String>,
    told_peers: usize,
    members: MemberTable,
    instance_count: InstanceCount,
    endpoints: EndpointTable,
    hints: HintTable,
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
    members_changed_at: Time,
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
    /// The list that is on its way, and those who are told one.
    coming: Option<list::Coming>,
    tellings: BTreeMap<LinkId, list::Telling>,
    list_budget: list::Budget,
    /// The directory of copies, where this instance takes part in it.
    asks: Option<asks::Asks>,
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
        limits: FleetLimits, seed: u128,
    ) -> Fleet {
        let mut rng = Rand64::new(seed);
        let me = MemberId { instance: InstanceId::of(name), run };
        let mut members = MemberTable::new(limits.max_instances * RECORDS);
        let _ = members.merge(now, me, name, address, MemberState::default());
        let peers: Vec<String> = peers.into_iter().filter(|p| p != address).collect();
        let alone = now + stretch(&mut rng, WATCH_AFTER.1);
        let instance_count = InstanceCount::new(told, !peers.is_empty());
        Fleet {
            fleet: fleet.to_owned(),
            name: name.to_owned(),
            address: address.to_owned(),
            me,
            limits,
            rng,
            members,
            instance_count,
            endpoints: EndpointTable::new(WORKERS),
            hints: HintTable::new(now, limits.hint_lifetime, HINTS),
            wanted: BTreeSet::new(),
            wanted_by: (0, Vec::new()),
            hinted: BTreeSet::new(),
            links: BTreeMap::new(),
            next_link: 0,
            next_tag: 0,
            unheard: BTreeMap::new(),
            suspects: BTreeMap::new(),
            ticked: now,
            members_changed_at: now,
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
            coming: None,
            tellings: BTreeMap::new(),
            list_budget: list::Budget::new(now),
            asks: None,
        }
    }

    pub fn own_id(&self) -> MemberId {
        self.me
    }

    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    pub fn hints(&self) -> &HintTable {
        &self.hints
    }

    pub fn instance_count(&self) -> &InstanceCount {
        &self.instance_count
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
        let unfit = |s: MemberState| s.is_suspect() || (seeing && s.list_service_lost);
        let fit = self.members.alive().filter(|(_, m)| !unfit(m.state)).map(|(id, _)| id);
        let mut first = BTreeSet::new();
        for id in fit {
            first.insert((order_key(WATCHER_SALT, id), id));
            if first.len() > self.limits.watchers {
                first.pop_last();
            }
        }
        first.into_iter().map(|(_, id)| id).collect()
    }

    /// Links that are up.
    pub fn link_count(&self) -> usize {
        self.links.values().filter(|l| l.up).count()
    }

    /// Who is at the other end of each link.
    pub fn peer_links(&self) -> impl Iterator<Item = (LinkId, MemberId)> + '_ {
        self.links.iter().filter_map(|(id, l)| Some((*id, l.peer?)))
    }

    /// Members that cannot be reached from here.
    pub fn unreachable_count(&self) -> usize {
        self.unheard.len()
    }

    /// Records, links and lists that were not taken.
    pub fn refusal_count(&self) -> u64 {
        self.refusals
    }

    /// How long ago the list held was known to be the newest.
    pub fn list_age(&self, now: Time) -> Option<Time> {
        self.fresh_at.map(|at| now - at)
    }

    /// This instance stood still and has not heard yet what has passed meanwhile: nothing new may be sent.
    ///
    /// Guards against one that was stopped and goes on with the workers of an old list. Harms for the time of one
    /// question and answer, after a pause that is none of its own.
    pub fn is_holding(&self, now: Time) -> bool {
        self.woke.is_some_and(|at| now - at < self.hold())
    }

    /// After standing still nothing new is sent until a peer or the list service has told of the list, for this time at
    /// most: half of the slack is left for the way of answers that are due meanwhile.
    fn hold(&self) -> Time {
        Time(self.limits.answer_slack.0 / 2)
    }

    /// When the clock is wanted next.
    pub fn next_wake(&self) -> Time {
        self.ticked + self.tick()
    }

    fn tick(&self) -> Time {
        if self.endpoints.held().is_none() {
            HASTE
        } else {
            TICK
        }
    }

    /// Time has passed.
    pub fn advance(&mut self, now: Time, out: &mut impl FleetDriver) {
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
        self.members.sweep(now);
        self.hints.sweep(now);
        let all: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| l.peer.is_some()).map(|(id, _)| *id).collect();
        for link in all {
            let l = &self.links[&link];
            let differs = l.digest.is_some_and(|d| d != self.members.digest());
            if differs && now - self.members_changed_at >= SETTLED && now - l.synced >= SETTLED {
                let rows: Vec<MemberId> = self.members.gossiped().map(|(id, _)| id).collect();
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
        self.settle_list(now, out);
        self.settle_asks(now, out);
        self.settle_watch(now, out);
        self.tell_of_members(out);
        // A peer to begin with of whom nobody knows may be behind a cut, with a fleet of its own.
        let known = |p: &String| self.members.iter().any(|(_, m)| m.address == *p);
        let alike = self.links.values().any(|l| l.digest == Some(self.members.digest()))
            && (self.instance_count.is_confirmed() || self.peers.iter().take(self.told_peers).all(known));
        let among_sure = self.among_sure(now);
        if let Some(number) = self.instance_count.update(now, &self.members, alike, among_sure) {
            out.log(&format!(
                "fleet: {number} instances are reckoned with, {} live",
                self.members.alive().count()
            ));
            out.set_instance_count(number);
        }
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
        ask_from: Time(0),
        reads_rows: false,
        untold: BTreeSet::new(),
        told_at: Time(0),
        hints: Untold::default(),
        hinted_at: Time(0),
        synced: Time(0),
        takes: false,
        starts: false,
        intake: asks::intake(now),
    }
}

/// Between the time and twice the time.
fn stretch(rng: &mut Rand64, least: Time) -> Time {
    Time((least.0 as f64 * (1.0 + rng.rand_float())) as u64)
}
