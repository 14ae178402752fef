use std::collections::{BTreeMap, BTreeSet, VecDeque};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use oorandom::Rand64;

use crate::driver::{FleetDriver, FleetLimits, LinkId};
use crate::endpoint_table::{EndpointEntry, EndpointTable, ListOutcome, ListSource};
use crate::hints::{HintTable, Observation, PendingHints};
use crate::instance_count::InstanceCount;
use crate::members::{InstanceId, Member, MemberId, MemberState, MemberTable, RecordError, RunId};
use crate::rings::{monitored_member, order_key, RING_COUNT, WATCHER_SALT};

mod directory_links;
mod heartbeats;
mod links;
mod list;
mod list_service;
mod observations;
mod records;

/// Number of rings along which hints are gossiped. Losing a hint costs little, and gossiping along all rings
/// would deliver every hint to every instance four times.
const HINT_RING_COUNT: u8 = 2;
/// Maximum number of rows in the hint table.
const MAX_HINT_ROWS: usize = 65_536;
/// Member records kept, including those of runs that have ended, per instance that may be alive.
const RECORDS_PER_INSTANCE: usize = 4;
/// Maximum number of entries accepted in an endpoint list.
const MAX_LIST_ENTRIES: usize = 100_000;

/// Interval between ticks, and minimum interval between two batches of member records on one link. All times
/// below are in tenths of a millisecond, see [`Time`].
const TICK_INTERVAL: Time = Time(1_000);
/// Tick interval while no endpoint list is held: the only work then is to get one.
const TICK_INTERVAL_WITHOUT_LIST: Time = Time(200);
/// Interval between heartbeats on a link. A link on which nothing arrives for `LINK_TIMEOUT` is closed and
/// dialled again.
const HEARTBEAT_INTERVAL: Time = Time(3_000);
const LINK_TIMEOUT: Time = Time(12_000);
/// Time in which a suspected member can refute the suspicion before it is declared dead.
const SUSPICION_TIMEOUT: Time = Time(15_000);
/// A longer gap between two ticks means that this instance was paused; other members are then not judged by
/// their silence.
const STALL_THRESHOLD: Time = Time(8_000);
/// If a peer's record digest differs and no record has changed for this long, all records are sent to it.
const RESYNC_DELAY: Time = Time(5_000);
/// Pause after the first failed dial, doubled after each further failure up to the second value.
const DIAL_BACK_OFF: (Time, Time) = (Time(2_500), Time(20_000));
/// Lifetime of an introduction link that no ring needs.
const INTRODUCTION_LINK_LIFETIME: Time = Time(20_000);
/// Added per configured instance to the first value of `WATCH_DELAY`: where many instances start together on
/// one machine, learning about all of them takes longer.
const WATCH_DELAY_PER_INSTANCE: Time = Time(30);
/// An instance that learns of a list far ahead from a single peer asks the list service itself after
/// `LIST_CHECK_DELAY` plus a random delay of up to `LIST_CHECK_SPREAD_PER_INSTANCE` for each live instance. If
/// the list service was restarted, almost no instance has a watcher as neighbour, so all others are in this
/// situation at once; after some of them have asked, each of the rest has two neighbours that confirm the list.
const LIST_CHECK_DELAY: Time = Time(10_000);
const LIST_CHECK_SPREAD_PER_INSTANCE: Time = Time(200);
/// Seed peers that have to be met, or found unreachable, before this instance concludes that no instance has
/// confirmed the instance count.
const REQUIRED_INTRODUCTIONS: usize = 3;
/// Interval between attempts to reach a member that was declared dead and may be behind a network partition;
/// and, where there is none, between attempts to reach a seed peer.
const REACH_OUT_INTERVAL: (Time, Time) = (Time(20_000), Time(300_000));
/// A started instance watches the list no sooner than the first value after its first link is up, because it
/// may know only a few members at that point; without any link, no sooner than the second value. The delay is
/// drawn between one and two times the value.
const WATCH_DELAY: (Time, Time) = (Time(1_500), Time(7_000));
/// Additional wait of an instance without any link while it has not yet tried all seed peers: they may be slow.
const SLOW_INTRODUCTION_DELAY: Time = Time(20_000);
/// If the configured instance count is right, this multiple of the required watchers starts to watch without
/// delay.
const IMMEDIATE_WATCHER_FACTOR: f64 = 2.0;
/// An instance that is no longer needed as a watcher keeps watching for this long.
const WATCH_LINGER: Time = Time(10_000);
/// If the list service has not answered for this long, it counts as unreachable from this instance.
const LIST_SERVICE_TIMEOUT: Time = Time(10_000);
/// Wait before the next attempt to reach the list service; drawn between one and two times the value.
const LIST_SERVICE_RETRY: Time = Time(20_000);

enum LinkPurpose {
    /// Monitors the member on one of the rings.
    Ring(MemberId),
    /// Makes contact with a seed peer or with a member that was declared dead.
    Introduction,
    /// Opened by the peer.
    Inbound,
}

struct Link {
    purpose: LinkPurpose,
    up: bool,
    /// The peer, known once its join frame has arrived.
    peer: Option<MemberId>,
    since: Time,
    last_received: Time,
    /// Tags of the last heartbeats sent, and when each was sent.
    sent_tags: VecDeque<(u64, Time)>,
    heartbeat_sent_at: Time,
    /// From the last heartbeat received: its tag, the record digest, the list version held, and whether the
    /// peer has confirmed the instance count or knows an instance that has.
    received_tag: u64,
    digest: Option<u64>,
    held: Option<(u64, u64)>,
    confirmed: bool,
    /// The peer has answered a heartbeat that was sent after this instance resumed from a pause.
    answered_since_stall: bool,
    /// The peer is not asked for a list before this time.
    ask_list_from: Time,
    /// The peer accepts frames that hold several list entries.
    accepts_list_entries: bool,
    /// Member records to be sent to the peer.
    pending_records: BTreeSet<MemberId>,
    records_sent_at: Time,
    pending_hints: PendingHints,
    hints_sent_at: Time,
    synced_at: Time,
    /// The peer takes part in the copy directory.
    in_directory: bool,
    /// The peer has reported that it has just started.
    just_started: bool,
    intake: directory_links::TokenBucket,
}

/// A member to which dialling from here has failed.
struct Unreachable {
    failures: u32,
    retry_at: Time,
    dialling: bool,
}

/// The state machine of one instance within a fleet of schedulers.
pub struct Fleet {
    fleet: String,
    name: String,
    address: String,
    me: MemberId,
    limits: FleetLimits,
    rng: Rand64,
    /// The configured seed peers, followed by addresses remembered from an earlier run.
    peer_addresses: Vec<String>,
    configured_peer_count: usize,
    members: MemberTable,
    instance_count: InstanceCount,
    endpoints: EndpointTable,
    hints: HintTable,
    /// The members monitored by this instance, and the record digest and the unreachable members from which
    /// they were computed.
    monitored: BTreeSet<MemberId>,
    monitored_inputs: (u64, Vec<MemberId>),
    /// The monitored members to which hints are gossiped.
    hint_targets: BTreeSet<MemberId>,
    links: BTreeMap<LinkId, Link>,
    next_link: u64,
    next_tag: u64,
    unreachable: BTreeMap<MemberId, Unreachable>,
    /// Members under enough suspicion to be declared dead, and since when.
    suspected_since: BTreeMap<MemberId, Time>,
    last_tick: Time,
    members_changed_at: Time,
    /// Time of the last attempt to make contact outside the rings, and the random factor for the next pause.
    last_reach_out: (Time, f64),
    /// Seed peers met or found unreachable since the start.
    introductions: usize,
    /// When this instance may watch the list: if it is linked to a peer, and if it is not.
    watch_from: (Option<Time>, Time),
    watching: bool,
    watch_unneeded_since: Option<Time>,
    service_connected_at: Option<Time>,
    service_tried_at: Time,
    service_asked_at: Option<Time>,
    service_answered_at: Time,
    service_retry_at: Time,
    list_fresh_at: Option<Time>,
    /// When this instance noticed that it had been paused; cleared once it has learned the current list.
    resumed_at: Option<Time>,
    left: bool,
    refused: u64,
    /// Membership events to be logged with the next tick, by kind: how many, and the name of the first member.
    member_events: BTreeMap<&'static str, (usize, String)>,
    /// When the list of the snapshot comes into use, if there is one and no other list has arrived.
    snapshot_use_at: Option<Time>,
    /// A single peer has reported a list far ahead: when this instance asks the list service itself, and the
    /// version.
    list_check: Option<(Time, (u64, u64))>,
    /// The list that is being received, and the lists that are being sent to peers.
    incoming_list: Option<list::IncomingList>,
    transfers: BTreeMap<LinkId, list::Transfer>,
    transfer_budget: list::TransferBudget,
    /// This instance's node of the copy directory, if it takes part.
    directory_node: Option<directory_links::DirectoryNode>,
}

/// Connection ids in the endpoint table for the list service and for the snapshot on disk.
const SERVICE_CONNECTION: u64 = u64::MAX;
const SNAPSHOT_CONNECTION: u64 = u64::MAX - 1;
/// Maximum number of remembered addresses that are tried in addition to the seed peers.
const MAX_REMEMBERED_PEERS: usize = 16;
/// An instance that has received no list by this time after its start uses the one of its snapshot.
const SNAPSHOT_USE_DELAY: Time = Time(20_000);

impl Fleet {
    /// Starts an instance. `run` must differ at each start of the process, even with the same seed; `address`
    /// is where peers reach this instance, `peers` are the addresses of the seed peers, and `configured` is the
    /// instance count from the configuration.
    pub fn start(
        now: Time, fleet: &str, (name, run): (&str, RunId), address: &str, peers: Vec<String>,
        configured: u64, limits: FleetLimits, seed: u128,
    ) -> Fleet {
        let mut rng = Rand64::new(seed);
        let me = MemberId { instance: InstanceId::of(name), run };
        let mut members = MemberTable::new(limits.max_instances * RECORDS_PER_INSTANCE);
        let _ = members.merge(now, me, name, address, MemberState::default());
        let peers: Vec<String> = peers.into_iter().filter(|p| p != address).collect();
        let alone = now + jittered(&mut rng, WATCH_DELAY.1);
        let instance_count = InstanceCount::new(configured, !peers.is_empty());
        Fleet {
            fleet: fleet.to_owned(),
            name: name.to_owned(),
            address: address.to_owned(),
            me,
            limits,
            rng,
            members,
            instance_count,
            endpoints: EndpointTable::new(MAX_LIST_ENTRIES),
            hints: HintTable::new(now, limits.hint_lifetime, MAX_HINT_ROWS),
            monitored: BTreeSet::new(),
            monitored_inputs: (0, Vec::new()),
            hint_targets: BTreeSet::new(),
            links: BTreeMap::new(),
            next_link: 0,
            next_tag: 0,
            unreachable: BTreeMap::new(),
            suspected_since: BTreeMap::new(),
            last_tick: now,
            members_changed_at: now,
            last_reach_out: (Time(0), 0.0),
            introductions: 0,
            watch_from: (None, if peers.is_empty() { now } else { alone }),
            configured_peer_count: peers.len(),
            peer_addresses: peers,
            watching: false,
            watch_unneeded_since: None,
            service_connected_at: None,
            service_tried_at: now,
            service_asked_at: None,
            service_answered_at: Time(0),
            service_retry_at: Time(0),
            list_fresh_at: None,
            resumed_at: None,
            left: false,
            refused: 0,
            member_events: BTreeMap::new(),
            snapshot_use_at: None,
            list_check: None,
            incoming_list: None,
            transfers: BTreeMap::new(),
            transfer_budget: list::TransferBudget::new(now),
            directory_node: None,
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

    /// The members that should watch the list, as computed from the records held here.
    pub fn watchers(&self) -> BTreeSet<MemberId> {
        self.watcher_candidates(true)
    }

    /// The first `limits.watchers` members that are alive and not suspected, in an order that is the same at
    /// all instances. With `reaching_service`, only members that reach the list service are considered.
    fn watcher_candidates(&self, reaching_service: bool) -> BTreeSet<MemberId> {
        let excluded = |s: MemberState| s.is_suspect() || (reaching_service && s.list_service_lost);
        let candidates = self.members.alive().filter(|(_, m)| !excluded(m.state)).map(|(id, _)| id);
        let mut first = BTreeSet::new();
        for id in candidates {
            first.insert((order_key(WATCHER_SALT, id), id));
            if first.len() > self.limits.watchers {
                first.pop_last();
            }
        }
        first.into_iter().map(|(_, id)| id).collect()
    }

    /// Number of links that are up.
    pub fn link_count(&self) -> usize {
        self.links.values().filter(|l| l.up).count()
    }

    /// The peer at the other end of each link.
    pub fn peer_links(&self) -> impl Iterator<Item = (LinkId, MemberId)> + '_ {
        self.links.iter().filter_map(|(id, l)| Some((*id, l.peer?)))
    }

    /// Number of members that cannot be reached from here.
    pub fn unreachable_count(&self) -> usize {
        self.unreachable.len()
    }

    /// Number of records, links and lists that were refused.
    pub fn refusal_count(&self) -> u64 {
        self.refused
    }

    /// Time since the list held was last known to be the newest.
    pub fn list_age(&self, now: Time) -> Option<Time> {
        self.list_fresh_at.map(|at| now - at)
    }

    /// Whether new RPCs must not be sent: this instance was paused and has not yet learned what has happened
    /// meanwhile.
    ///
    /// This keeps a resumed instance from sending to the workers of an outdated list. The cost is one round
    /// trip of waiting after each pause.
    pub fn is_holding(&self, now: Time) -> bool {
        self.resumed_at.is_some_and(|at| now - at < self.hold_timeout())
    }

    /// How long to hold after a pause at most, until a peer or the list service has reported the current list.
    /// Half of the answer slack remains for delivering answers that fall due meanwhile.
    fn hold_timeout(&self) -> Time {
        Time(self.limits.answer_slack.0 / 2)
    }

    /// When `advance` is to be called next.
    pub fn next_wake(&self) -> Time {
        self.last_tick + self.tick_interval()
    }

    fn tick_interval(&self) -> Time {
        if self.endpoints.held().is_none() {
            TICK_INTERVAL_WITHOUT_LIST
        } else {
            TICK_INTERVAL
        }
    }

    /// Does all periodic work.
    pub fn advance(&mut self, now: Time, driver: &mut impl FleetDriver) {
        if now - self.last_tick < self.tick_interval() || self.left {
            return;
        }
        if now - self.last_tick >= STALL_THRESHOLD {
            self.handle_stall(now, driver);
        }
        self.last_tick = now;
        if self.resumed_at.is_some_and(|at| now - at >= self.hold_timeout()) {
            self.resume(driver, "no report of the current list within the hold time");
        }
        self.use_snapshot_list(now, driver);
        self.close_unused_links(now, driver);
        self.update_ring_links(now, driver);
        self.retry_dials(now, driver);
        self.raise_suspicions(now, driver);
        self.declare_dead(now);
        self.members.sweep(now);
        self.hints.sweep(now);
        let all: Vec<LinkId> =
            self.links.iter().filter(|(_, l)| l.peer.is_some()).map(|(id, _)| *id).collect();
        for link in all {
            let l = &self.links[&link];
            let differs = l.digest.is_some_and(|d| d != self.members.digest());
            if differs && now - self.members_changed_at >= RESYNC_DELAY && now - l.synced_at >= RESYNC_DELAY {
                let rows: Vec<MemberId> = self.members.gossiped().map(|(id, _)| id).collect();
                let l = self.links.get_mut(&link).expect("just listed");
                l.synced_at = now;
                l.pending_records.extend(rows);
            }
            let l = &self.links[&link];
            let due = now - l.heartbeat_sent_at >= HEARTBEAT_INTERVAL;
            if !l.pending_records.is_empty() {
                self.flush_records(now, driver, link);
            }
            self.flush_hints(now, driver, link);
            if due {
                self.heartbeat(now, driver, link, false);
            }
        }
        self.advance_lists(now, driver);
        self.advance_directory(now, driver);
        self.update_watching(now, driver);
        self.log_member_events(driver);
        // A seed peer that no instance knows may be on the other side of a network partition, in a fleet of its
        // own.
        let is_member = |p: &String| self.members.iter().any(|(_, m)| m.address == *p);
        let converged = self.links.values().any(|l| l.digest == Some(self.members.digest()))
            && (self.instance_count.is_confirmed()
                || self.peer_addresses.iter().take(self.configured_peer_count).all(is_member));
        let peer_confirmed = self.peer_confirmed(now);
        if let Some(number) = self.instance_count.update(now, &self.members, converged, peer_confirmed) {
            driver.log(&format!(
                "fleet: instance count is now {number}, {} members alive",
                self.members.alive().count()
            ));
            driver.set_instance_count(number);
        }
    }
}

fn new_link(now: Time, purpose: LinkPurpose) -> Link {
    Link {
        purpose,
        up: false,
        peer: None,
        since: now,
        last_received: now,
        sent_tags: VecDeque::new(),
        heartbeat_sent_at: Time(0),
        received_tag: 0,
        digest: None,
        held: None,
        confirmed: false,
        answered_since_stall: false,
        ask_list_from: Time(0),
        accepts_list_entries: false,
        pending_records: BTreeSet::new(),
        records_sent_at: Time(0),
        pending_hints: PendingHints::default(),
        hints_sent_at: Time(0),
        synced_at: Time(0),
        in_directory: false,
        just_started: false,
        intake: directory_links::intake(now),
    }
}

/// A random time between `min` and twice `min`.
fn jittered(rng: &mut Rand64, min: Time) -> Time {
    Time((min.0 as f64 * (1.0 + rng.rand_float())) as u64)
}
