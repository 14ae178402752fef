use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use bytes::BytesMut;
use curlewpoint::types::{FunctionId, Hint, Lifecycle as Ready, Time, WorkerId};
use curlewpoint_fleet::{
    frames, EndpointEntry, Fleet, FleetDriver, FleetLimits, LinkId, Member, MemberId, MemberState,
    Observation, RunId,
};
use curlewpoint_wire::{Codec, Field, Frame, Kind, VERSION};
use oorandom::Rand64;
use tokio_util::codec::Decoder;

use crate::scale::place;
use crate::scale::tally::{Meter, Tally};

/// First id of links opened by peers.
const FIRST_PEER_LINK: u64 = 1 << 63;
const FLEET: &str = "scale";
/// As the gateway's.
const MAX_FRAME_BYTES: usize = 64 << 10;
/// Peers to begin with.
const SEED_PEERS: usize = 3;
const TICK: Time = Time(1_000);
/// Tenths of a millisecond in a second.
const SECOND: u64 = 10_000;
/// Default link rate in bytes per second: 100 Mbit/s.
pub const DEFAULT_LINK_RATE: u64 = 12_500_000;
/// As the gateway's `dial-limit`.
const DIAL_LIMIT: Time = Time(2_500);
/// One way to the list service.
const SERVICE_LATENCY: Time = Time(20);
const EPOCH: u64 = 1;

/// Limits of a simulated instance: the settings' defaults, except that the numbers of members and links fit the planned size.
pub const BOUNDS: FleetLimits = FleetLimits {
    max_instances: 8_192,
    max_inbound_links: 4_096,
    watchers: 3,
    answer_slack: Time(1_500),
    hint_lifetime: Time(80_000),
    exchange_hints: true,
};

enum DriverAction {
    Dial(LinkId, String),
    Close(LinkId),
    Say(LinkId, BytesMut),
    Watch(bool),
    AskService(BytesMut),
}

/// Driver of one simulated fleet member: encodes its frames as the gateway does, and counts them.
#[derive(Default)]
struct SimulatedDriver {
    now: Time,
    actions: Vec<DriverAction>,
    sent: Tally,
    /// Links on which directory frames were sent.
    directory: BTreeSet<LinkId>,
    list: Option<(u64, u64)>,
    rows: u64,
    hints: u64,
}

impl SimulatedDriver {
    fn say(&mut self, link: LinkId, frame: &Frame) {
        if !matches!(self.actions.last(), Some(DriverAction::Say(on, _)) if *on == link) {
            self.actions.push(DriverAction::Say(link, BytesMut::new()));
        }
        let Some(DriverAction::Say(_, bytes)) = self.actions.last_mut() else { return };
        let before = bytes.len();
        Codec::encode_header(frame, bytes);
        bytes.extend_from_slice(&frame.body);
        self.sent.add(frame.kind, bytes.len() - before);
    }
}

impl FleetDriver for SimulatedDriver {
    fn dial(&mut self, link: LinkId, address: &str) {
        self.actions.push(DriverAction::Dial(link, address.to_owned()));
    }
    fn close(&mut self, link: LinkId) {
        self.actions.push(DriverAction::Close(link));
    }
    fn refuse(&mut self, link: LinkId, why: &str) {
        self.say(link, &Frame::new(Kind::FAULT).text(Field::REASON, why));
        self.close(link);
    }
    fn send_join(&mut self, link: LinkId, fleet: &str, me: MemberId, member: &Member, known: u64) {
        self.say(link, &frames::join_frame(fleet, me, member, known));
    }
    fn send_member(&mut self, link: LinkId, id: MemberId, member: &Member) {
        self.say(link, &frames::member_frame(id, member));
    }
    fn send_heartbeat(
        &mut self, link: LinkId, tags: (u64, u64), digest: u64, held: Option<(u64, u64)>, age: Option<Time>,
        sure: bool, answer: bool,
    ) {
        self.say(link, &frames::heartbeat_frame(tags, digest, held, age, sure, answer));
    }
    fn request_list(&mut self, link: LinkId, held: Option<(u64, u64)>) {
        self.say(link, &frames::list_request_frame(held));
    }
    fn send_list_begin(&mut self, link: LinkId, version: (u64, u64), from: Option<u64>) {
        self.say(link, &frames::list_begin_frame(version, from));
    }
    fn send_list_entry(&mut self, link: LinkId, name: &str, entry: &EndpointEntry) {
        self.say(link, &frames::entry_frame(self.now, name, entry));
    }
    fn send_list_entries(&mut self, link: LinkId, rows: &[(&str, &EndpointEntry)]) {
        self.say(link, &frames::entries_frame(self.now, rows));
    }
    fn send_list_end(&mut self, link: LinkId) {
        self.say(link, &frames::list_end_frame());
    }
    fn set_watching(&mut self, on: bool) {
        self.actions.push(DriverAction::Watch(on));
    }
    fn request_service_list(&mut self, held: Option<(u64, u64)>) {
        let mut bytes = BytesMut::new();
        Codec::encode_header(&frames::list_request_frame(held), &mut bytes);
        self.actions.push(DriverAction::AskService(bytes));
    }
    fn deliver_list_begin(&mut self, version: (u64, u64), _: Option<u64>) {
        self.list = Some(version);
    }
    fn deliver_list_entry(&mut self, _: &str, _: &EndpointEntry) {
        self.rows += 1;
    }
    fn deliver_list_end(&mut self) {}
    fn send_hints(&mut self, link: LinkId, seen: &[Observation]) {
        self.say(link, &frames::hints_frame(self.now, seen));
    }
    fn send_directory_frame(&mut self, link: LinkId, frame: Frame) {
        self.directory.insert(link);
        self.say(link, &frame);
    }
    fn deliver_hint(&mut self, _: WorkerId, _: FunctionId, _: Hint, _: u64, _: Time) {
        self.hints += 1;
    }
    fn set_instance_count(&mut self, _: u64) {}
    fn log(&mut self, _: &str) {}
}

/// What a simulated instance sent and received, and the processor time of its state machine and frame codec.
#[derive(Clone, Debug, Default)]
pub struct Spent {
    pub sent: Tally,
    pub got: Tally,
    /// To and from the list service.
    pub service: Tally,
    pub cpu: Duration,
    pub hints_taken: u64,
    /// Peers to which something of the directory was sent.
    pub directory_peers: usize,
}

struct SimulatedInstance {
    fleet: Fleet,
    driver: SimulatedDriver,
    /// Incremented with each start.
    start_number: u64,
    alive: bool,
    /// The remote end of each link: instance, its start number and its link id.
    links: BTreeMap<LinkId, (usize, u64, LinkId)>,
    /// When each link has transmitted everything sent so far.
    busy: BTreeMap<LinkId, Time>,
    serial: u64,
    watching: bool,
    connection: u64,
    spent: Spent,
}

enum What {
    Tick,
    Dialled(LinkId, String),
    In(LinkId, usize, u64, LinkId),
    Up(LinkId),
    Down(LinkId),
    Bytes(LinkId, BytesMut),
    ServiceUp(u64),
    Service(u64, BytesMut),
    /// At the service: asked on a connection.
    Asked(u64, BytesMut),
}

struct Event {
    at: Time,
    no: u64,
    to: usize,
    start_number: u64,
    what: What,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        (self.at, self.no) == (other.at, other.no)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.at, self.no).cmp(&(other.at, other.no))
    }
}

/// Many simulated instances in a simulated network with one event queue. The same seed gives the same events.
pub struct Simulation {
    pub now: Time,
    all: Vec<SimulatedInstance>,
    addresses: BTreeMap<String, usize>,
    events: BinaryHeap<Reverse<Event>>,
    next: u64,
    rng: Rand64,
    configured_instances: u64,
    /// Instances on different sides cannot reach each other.
    sides: Vec<u8>,
    /// The list service: names and rows, its version, and what changed with each.
    rows: Vec<(String, EndpointEntry)>,
    version: u64,
    changes: Vec<(u64, usize)>,
    pub service: Tally,
    terms: SimulationSettings,
    meter: Meter,
}

/// Settings of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SimulationSettings {
    /// Bytes per second that a link carries in each direction.
    pub link_rate: u64,
    /// Bytes per second that each instance may send for the copy directory; `None` sends hints round the rings.
    pub directory_budget: Option<u64>,
}

impl Default for SimulationSettings {
    fn default() -> SimulationSettings {
        SimulationSettings { link_rate: DEFAULT_LINK_RATE, directory_budget: None }
    }
}

fn name_of(instance: usize) -> String {
    format!("sched-{:02}-{instance:04}", place::zone_of(instance))
}

fn address_of(instance: usize) -> String {
    let zone = place::zone_of(instance);
    format!("10.{zone}.{}.{}:7100", instance >> 8, instance & 255)
}

/// A simulated list row with names and addresses of realistic length.
pub(crate) fn row_of(worker: usize, start: u64) -> (String, EndpointEntry) {
    let zone = place::zone_of(worker);
    let entry = EndpointEntry {
        address: format!("10.{}.{}.{}:9000", 100 + zone, worker >> 8, worker & 255),
        lifecycle: Ready::Ready,
        start_id: start << 32 | worker as u64,
        started_at: None,
        zone: format!("zone-{zone:02}"),
        cell: format!("cell-{:04}", worker / 20),
        size: 1.0,
    };
    (format!("worker-{zone:02}-{worker:05}"), entry)
}

impl Simulation {
    /// No instance yet; a list of so many workers at the service. `configured_instances`: the number of instances in the files.
    pub fn new(seed: u64, configured_instances: u64, rows: usize, terms: SimulationSettings) -> Simulation {
        Simulation {
            now: Time(10_000_000),
            all: Vec::new(),
            addresses: BTreeMap::new(),
            events: BinaryHeap::new(),
            next: 0,
            rng: Rand64::new(u128::from(seed)),
            configured_instances,
            sides: Vec::new(),
            rows: (0..rows).map(|w| row_of(w, 1)).collect(),
            version: 1,
            changes: Vec::new(),
            service: Tally::default(),
            terms,
            meter: Meter::new(),
        }
    }

    fn plan(&mut self, delay: Time, to: usize, what: What) {
        let start_number = self.all[to].start_number;
        self.plan_for(delay, to, start_number, what);
    }

    fn plan_for(&mut self, delay: Time, to: usize, start_number: u64, what: What) {
        self.next += 1;
        self.events.push(Reverse(Event { at: self.now + delay, no: self.next, to, start_number, what }));
    }

    fn begin(&mut self, instance: usize) -> Fleet {
        let peers: Vec<String> = (0..SEED_PEERS).map(address_of).collect();
        let (run, seed) = (RunId(self.rng.rand_u64()), u128::from(self.rng.rand_u64()));
        let (name, address) = (name_of(instance), address_of(instance));
        let mut fleet = Fleet::start(
            self.now,
            FLEET,
            (&name, run),
            &address,
            peers,
            self.configured_instances,
            BOUNDS,
            seed,
        );
        if let Some(bytes) = self.terms.directory_budget {
            fleet.enable_directory(self.now, bytes);
        }
        fleet
    }

    /// Adds an instance without knowledge that starts after `delay`.
    pub fn add(&mut self, delay: Time) -> usize {
        let no = self.all.len();
        let fleet = self.begin(no);
        let (driver, links, busy, spent) = Default::default();
        self.all.push(SimulatedInstance {
            fleet,
            driver,
            start_number: 1,
            alive: true,
            links,
            busy,
            serial: 0,
            watching: false,
            connection: 0,
            spent,
        });
        self.sides.push(0);
        self.addresses.insert(address_of(no), no);
        self.plan(delay, no, What::Tick);
        no
    }

    /// Creates `n` instances that already know each other, as after hours; links are not open yet.
    pub fn settled(seed: u64, n: usize, rows: usize, terms: SimulationSettings) -> Simulation {
        let mut world = Simulation::new(seed, n as u64, rows, terms);
        for _ in 0..n {
            let delay = Time(world.rng.rand_range(0..TICK.0));
            world.add(delay);
        }
        let all: Vec<(MemberId, String, String)> =
            (0..n).map(|i| (world.all[i].fleet.own_id(), name_of(i), address_of(i))).collect();
        let now = world.now;
        for no in 0..n {
            let SimulatedInstance { fleet, driver, .. } = &mut world.all[no];
            driver.now = now;
            let (link, known) = (LinkId(FIRST_PEER_LINK), n as u64);
            fleet.link_accepted(now, driver, link);
            // It has learned of all members from another instance over a link that is closed by now.
            let (id, name, address) = &all[(no + 1) % n];
            if world.terms.directory_budget.is_some() {
                fleet.directory_join_received(now, driver, link, false);
            }
            fleet.join_received(now, driver, link, FLEET, *id, name, address, MemberState::default(), known);
            for (id, name, address) in &all {
                fleet.member_received(now, driver, link, *id, name, address, MemberState::default());
            }
            fleet.link_down(now, driver, link);
            driver.actions.clear();
            driver.sent = Tally::default();
        }
        world
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns what each instance used since the last call and resets the counts.
    pub fn take_spent(&mut self) -> Vec<Spent> {
        self.service = Tally::default();
        let take = |h: &mut SimulatedInstance| {
            let mut spent = std::mem::take(&mut h.spent);
            spent.sent.merge(&std::mem::take(&mut h.driver.sent));
            spent.hints_taken = std::mem::take(&mut h.driver.hints);
            spent.directory_peers = std::mem::take(&mut h.driver.directory).len();
            spent
        };
        self.all.iter_mut().map(take).collect()
    }

    fn call(&mut self, to: usize, work: impl FnOnce(&mut Fleet, Time, &mut SimulatedDriver)) {
        let now = self.now;
        let h = &mut self.all[to];
        h.driver.now = now;
        let ((), cpu) = self.meter.time(|| work(&mut h.fleet, now, &mut h.driver));
        h.spent.cpu += cpu;
        let actions = std::mem::take(&mut h.driver.actions);
        for act in actions {
            self.act(to, act);
        }
    }

    /// Returns when `bytes` more have been transmitted on a link.
    fn out_by(&mut self, from: usize, link: LinkId, bytes: usize) -> Time {
        let (now, span) = (self.now, bytes as u64 * SECOND / self.terms.link_rate.max(1));
        let busy = self.all[from].busy.entry(link).or_insert(now);
        *busy = (*busy).max(now) + Time(span);
        *busy
    }

    fn act(&mut self, from: usize, act: DriverAction) {
        match act {
            DriverAction::Dial(link, address) => {
                // TCP handshake there and back, then the HELLO frames.
                let far = self.addresses.get(&address).copied();
                let way = far.map_or(Time(0), |far| place::way(from, far, link.0));
                self.plan(Time(3 * way.0), from, What::Dialled(link, address));
            }
            DriverAction::Close(link) => {
                if let Some((peer, start_number, far)) = self.all[from].links.remove(&link) {
                    // The close arrives after everything sent on the link.
                    let out = self.out_by(from, link, 0) - self.now;
                    self.all[from].busy.remove(&link);
                    let way = place::way(from, peer, link.0 ^ far.0);
                    self.plan_for(out + way, peer, start_number, What::Down(far));
                }
            }
            DriverAction::Say(link, bytes) => {
                let Some(&(peer, start_number, far)) = self.all[from].links.get(&link) else { return };
                // Bytes sent into a cut are dropped: the link is given up before the cut heals.
                if self.sides[from] == self.sides[peer] {
                    let out = self.out_by(from, link, bytes.len()) - self.now;
                    let way = place::way(from, peer, link.0 ^ far.0);
                    self.plan_for(out + way, peer, start_number, What::Bytes(far, bytes));
                }
            }
            DriverAction::Watch(on) => {
                let h = &mut self.all[from];
                h.watching = on;
                h.connection += 1;
                let connection = h.connection;
                if on {
                    self.plan(SERVICE_LATENCY, from, What::ServiceUp(connection));
                }
            }
            DriverAction::AskService(bytes) => {
                self.all[from].spent.service.add(Kind::WATCH, bytes.len());
                let connection = self.all[from].connection;
                self.plan(SERVICE_LATENCY, from, What::Asked(connection, bytes));
            }
        }
    }

    /// Advances the simulation by `span`.
    pub fn run(&mut self, span: Time) {
        let until = self.now + span;
        while self.events.peek().is_some_and(|Reverse(e)| e.at <= until) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = event.at;
            self.step(event);
        }
        self.now = until;
    }

    fn step(&mut self, Event { to, start_number, what, .. }: Event) {
        let h = &self.all[to];
        if !h.alive || h.start_number != start_number {
            if let What::In(_, dialler, their_life, theirs) = what {
                self.plan_for(DIAL_LIMIT, dialler, their_life, What::Down(theirs));
            }
            return;
        }
        match what {
            What::Tick => {
                self.call(to, |f, now, out| f.advance(now, out));
                self.plan(TICK, to, What::Tick);
            }
            What::Dialled(link, address) => self.dialled(to, link, &address),
            What::In(link, dialler, their_life, theirs) => {
                self.all[to].links.insert(link, (dialler, their_life, theirs));
                self.call(to, |f, now, out| f.link_accepted(now, out, link));
            }
            What::Up(link) => self.call(to, |f, now, out| f.link_up(now, out, link)),
            What::Down(link) => {
                self.all[to].links.remove(&link);
                self.all[to].busy.remove(&link);
                self.call(to, |f, now, out| f.link_down(now, out, link));
            }
            What::Bytes(link, bytes) => {
                if self.all[to].links.contains_key(&link) {
                    let got = self.receive(to, Some(link), bytes);
                    self.all[to].spent.got.merge(&got);
                }
            }
            What::ServiceUp(connection) => {
                if self.all[to].connection == connection {
                    self.call(to, |f, now, out| f.service_up(now, out));
                }
            }
            What::Asked(connection, bytes) => self.asked(to, connection, bytes),
            What::Service(connection, bytes) => {
                if self.all[to].connection == connection && self.all[to].watching {
                    let got = self.receive(to, None, bytes);
                    self.all[to].spent.service.merge(&got);
                }
            }
        }
    }

    /// Decodes received bytes with the real decoder; an invalid frame closes the link.
    fn receive(&mut self, to: usize, on: Option<LinkId>, mut bytes: BytesMut) -> Tally {
        let mut got = Tally::default();
        self.call(to, |fleet, now, out| {
            let mut codec = Codec { max_frame_bytes: MAX_FRAME_BYTES };
            loop {
                let before = bytes.len();
                let Ok(Some(f)) = codec.decode(&mut bytes) else { break };
                got.add(f.kind, before - bytes.len());
                let read = match on {
                    Some(link) => frames::dispatch(fleet, now, out, link, &f),
                    None => frames::dispatch_list(fleet, now, out, None, &f),
                };
                if let (Err(why), Some(link)) = (read, on) {
                    out.refuse(link, &why.to_string());
                    fleet.link_down(now, out, link);
                    break;
                }
            }
        });
        got
    }

    fn dialled(&mut self, from: usize, link: LinkId, address: &str) {
        let far = self.addresses.get(address).copied().filter(|far| {
            let h = &self.all[*far];
            h.alive && self.sides[*far] == self.sides[from]
        });
        let Some(far) = far else {
            return self.plan(DIAL_LIMIT, from, What::Down(link));
        };
        let h = &mut self.all[far];
        h.serial += 1;
        let theirs = LinkId(FIRST_PEER_LINK | h.serial);
        let far_life = h.start_number;
        let start_number = self.all[from].start_number;
        self.all[from].links.insert(link, (far, far_life, theirs));
        // Both sides send HELLO; later frames follow it on the same path.
        for (a, b) in [(from, far), (far, from)] {
            let hello =
                Frame::new(Kind::HELLO).int(Field::VERSION, VERSION).text(Field::INSTANCE, &name_of(a));
            let mut bytes = BytesMut::new();
            Codec::encode_header(&hello, &mut bytes);
            self.all[a].spent.sent.add(Kind::HELLO, bytes.len());
            self.all[b].spent.got.add(Kind::HELLO, bytes.len());
        }
        self.plan(Time(0), far, What::In(theirs, from, start_number, link));
        self.plan(Time(0), from, What::Up(link));
    }

    // The list service.

    fn asked(&mut self, from: usize, connection: u64, mut bytes: BytesMut) {
        if self.all[from].connection != connection {
            return;
        }
        let mut codec = Codec { max_frame_bytes: MAX_FRAME_BYTES };
        let Ok(Some(f)) = codec.decode(&mut bytes) else { return };
        let held = f.maybe_int(Field::LIST_VERSION).ok().flatten();
        self.tell(from, connection, held);
    }

    fn tell(&mut self, to: usize, connection: u64, held: Option<u64>) {
        let (mut bytes, mut said) = (BytesMut::new(), Tally::default());
        let mut say = |frame: Frame| {
            let before = bytes.len();
            Codec::encode_header(&frame, &mut bytes);
            said.add(frame.kind, bytes.len() - before);
        };
        say(frames::list_begin_frame((EPOCH, self.version), held));
        match held {
            None => {
                self.rows.iter().for_each(|(name, e)| say(frames::entry_frame(self.now, name, e)));
            }
            Some(held) => {
                let newer = self.changes.iter().filter(|(v, _)| *v > held);
                newer.for_each(|(_, row)| {
                    say(frames::entry_frame(self.now, &self.rows[*row].0, &self.rows[*row].1));
                });
            }
        }
        say(frames::list_end_frame());
        self.service.merge(&said);
        self.plan(SERVICE_LATENCY, to, What::Service(connection, bytes));
    }

    /// Changes one row of the list and notifies all watchers.
    pub fn change(&mut self) {
        self.version += 1;
        let row = self.rng.rand_range(0..self.rows.len().max(1) as u64) as usize;
        let held = self.version - 1;
        if let Some(at) = self.rows.get_mut(row) {
            *at = row_of(row, self.version);
            self.changes.push((self.version, row));
        }
        for no in 0..self.all.len() {
            if self.all[no].alive && self.all[no].watching {
                let connection = self.all[no].connection;
                self.tell(no, connection, Some(held));
            }
        }
    }

    // Faults and load.

    /// Reports an observation by an instance's scheduler; ignored if the instance is down.
    pub fn saw(&mut self, no: usize, worker: WorkerId, function: FunctionId, hint: Hint) {
        if !self.all[no].alive {
            return;
        }
        self.call(no, |f, now, out| f.observe(now, out, worker, function, hint, 1));
    }

    pub fn keeps_directory(&self) -> bool {
        self.terms.directory_budget.is_some()
    }

    /// Bytes per second that each instance may send for the copy directory.
    pub fn directory(&self) -> Option<u64> {
        self.terms.directory_budget
    }

    /// An instance's scheduler receives an RPC of a function.
    pub fn wants(&mut self, no: usize, function: FunctionId) {
        if self.terms.directory_budget.is_some() && self.all[no].alive {
            self.call(no, |f, now, out| f.function_requested(now, out, function));
        }
    }

    /// An instance's process ends at once.
    pub fn kill(&mut self, no: usize) {
        let h = &mut self.all[no];
        (h.alive, h.watching) = (false, false);
        h.connection += 1;
        for (link, (peer, start_number, far)) in std::mem::take(&mut h.links) {
            let way = place::way(no, peer, link.0 ^ far.0);
            self.plan_for(way, peer, start_number, What::Down(far));
        }
    }

    /// Restarts an instance as a new run without knowledge.
    pub fn restart(&mut self, no: usize) {
        self.kill(no);
        let fleet = self.begin(no);
        let h = &mut self.all[no];
        h.spent.sent.merge(&h.driver.sent);
        h.fleet = fleet;
        h.driver = SimulatedDriver::default();
        h.start_number += 1;
        h.alive = true;
        h.links.clear();
        h.busy.clear();
        self.plan(Time(1), no, What::Tick);
    }

    /// Splits the instances into sides that cannot reach each other.
    pub fn sides(&mut self, of: impl Fn(usize) -> u8) {
        self.sides = (0..self.all.len()).map(of).collect();
    }

    // Checks of convergence.

    fn living(&self) -> impl Iterator<Item = &SimulatedInstance> {
        self.all.iter().filter(|h| h.alive)
    }

    /// Whether all live instances hold the same member records and as many live members as there are.
    pub fn alike(&self) -> bool {
        let n = self.living().count();
        let mut digests = self.living().map(|h| h.fleet.members().digest());
        let first = digests.next();
        digests.all(|d| Some(d) == first)
            && self.living().next().is_none_or(|h| h.fleet.members().alive().count() == n)
    }

    /// Whether all live instances hold the newest list.
    pub fn listed(&self) -> bool {
        self.living().all(|h| h.fleet.endpoints().held() == Some((EPOCH, self.version)))
    }

    /// Whether all live instances have confirmed the number of instances.
    pub fn sure(&self) -> bool {
        self.living().all(|h| h.fleet.instance_count().is_confirmed())
    }

    /// Whether an instance watches the list.
    pub fn is_watching(&self, no: usize) -> bool {
        self.all[no].alive && self.all[no].watching
    }

    pub fn watchers(&self) -> usize {
        self.living().filter(|h| h.watching).count()
    }

    /// Mean number of open links per instance.
    pub fn links(&self) -> f64 {
        self.living().map(|h| h.fleet.link_count()).sum::<usize>() as f64
            / self.living().count().max(1) as f64
    }

    /// Links, records and lists that were refused.
    pub fn refused(&self) -> u64 {
        self.living().map(|h| h.fleet.refusal_count()).sum()
    }

    /// Advances the simulation until `good` holds, checking every `step`; `None` if it does not within `most`.
    pub fn until(&mut self, step: Time, most: Time, good: impl Fn(&Simulation) -> bool) -> Option<Time> {
        let began = self.now;
        while self.now - began < most {
            if good(self) {
                return Some(self.now - began);
            }
            self.run(step);
        }
        good(self).then(|| self.now - began)
    }
}
