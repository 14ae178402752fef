//! Measures the load on one worker from all schedulers: real engines, modules and pools, simulated workers and network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use bytes::{Bytes, BytesMut};
use curlewpoint::types::*;
use curlewpoint_engine::{
    id_of, Answer, ClientId, ConnId, Engine, EngineDriver, Pool, PoolDriver, PoolLimits, RequestId,
    UpstreamRequest,
};
use curlewpoint_fleet::{HintTable, RunId};
use curlewpoint_wire::{Codec, Field, Frame, Kind};
use oorandom::Rand64;
use serde_json::json;

use crate::scale::plan;
use crate::scale::simulation::BOUNDS;

/// One-way latency between a scheduler and a worker, within a zone and across zones.
const LATENCY: [Time; 2] = [Time(3), Time(100)];
/// Assumed durations of a call to a warm copy and of a load.
const WORK_TIME: Time = Time(1_000);
const LOAD_TIME: Time = Time(4_000);
const TICK: Time = Time(10_000);
/// As the settings' defaults.
const LIMITS: PoolLimits = PoolLimits {
    requests_per_conn: 32,
    conns_per_worker: 4,
    total_conns: usize::MAX,
    idle_timeout: Time(150_000),
    back_off: (Time(1_000), Time(20_000)),
};

/// The workers in a scheduler's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// All.
    Flat,
    /// Those of its own zone, one of 16 zones.
    Zone,
}

/// Settings of the simulation: some or all of the schedulers that share the workers.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub choice: Choice,
    /// Schedulers that share these workers, and how many of them are simulated.
    pub sharing: usize,
    pub played: usize,
    pub workers: usize,
    pub functions: usize,
    pub warm: Time,
    pub span: Time,
}

/// Above this number of schedulers only a sample is simulated, and its result scaled up.
const MAX_SIMULATED: usize = 130;
const SAMPLE_SCHEDULERS: usize = 12;

impl Scene {
    /// The settings for a fleet of `n` schedulers, in proportion to the plan.
    pub fn of(choice: Choice, n: usize) -> Scene {
        let zones = if choice == Choice::Flat { 1 } else { crate::scale::place::ZONES };
        let sharing = n.div_ceil(zones);
        let played = if sharing > MAX_SIMULATED { SAMPLE_SCHEDULERS } else { sharing };
        let (workers, functions) = (plan::workers(n).div_ceil(zones), plan::functions(n));
        Scene { choice, sharing, played, workers, functions, warm: Time(250_000), span: Time(100_000) }
    }

    pub fn is_whole(&self) -> bool {
        self.played == self.sharing
    }
}

/// Mean load per second on one worker from all schedulers that share it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Borne {
    pub connections: f64,
    pub dials: f64,
    pub attempts: f64,
    pub probes: f64,
    pub loads: f64,
    pub reports: f64,
    /// Bytes of probes, load orders and their answers; calls don't count as control traffic.
    pub bytes: f64,
    /// Share of attempts that found no warm copy and began a load or waited for one.
    pub cold: f64,
    /// Of one scheduler: connections, and observations per second that it would send to others.
    pub open: f64,
    pub sights: f64,
    pub denied: f64,
}

#[derive(Clone, Copy)]
enum Asked {
    Attempt(FunctionId),
    Load(FunctionId),
    Probe,
}

enum PoolAction {
    Dial(ConnId, WorkerId),
    Send(ConnId, RequestId, Asked, usize),
    Close(ConnId),
}

/// The connections of one scheduler, driven by its pool.
#[derive(Default)]
struct Sockets {
    actions: Vec<PoolAction>,
    ended: VecDeque<(RequestId, Outcome)>,
}

/// The request, and the bytes of its frame if it is control traffic.
type Payload = (Asked, usize);

impl PoolDriver<Payload> for Sockets {
    fn dial(&mut self, conn: ConnId, worker: WorkerId, _: &str) {
        self.actions.push(PoolAction::Dial(conn, worker));
    }
    fn send(&mut self, conn: ConnId, request: RequestId, (asked, bytes): &Payload) -> bool {
        self.actions.push(PoolAction::Send(conn, request, *asked, *bytes));
        true
    }
    fn withdraw(&mut self, _: ConnId, _: RequestId) -> bool {
        false
    }
    fn send_withdraw(&mut self, _: ConnId, _: RequestId) {}
    fn close(&mut self, conn: ConnId) {
        self.actions.push(PoolAction::Close(conn));
    }
    fn ended_locally(&mut self, request: RequestId, outcome: Outcome) {
        self.ended.push_back((request, outcome));
    }
}

/// Driver of one engine.
struct SimulatedDriver {
    pool: Pool<Payload>,
    sockets: Sockets,
    seen: Vec<(WorkerId, FunctionId, Hint, u64)>,
    denied: u64,
}

fn length(frame: &Frame) -> usize {
    let mut bytes = BytesMut::new();
    Codec::encode_header(frame, &mut bytes);
    bytes.len()
}

impl EngineDriver for SimulatedDriver {
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>) {
        let payload = match request {
            UpstreamRequest::Attempt { model, .. } => (Asked::Attempt(FunctionId(id_of(model))), 0),
            UpstreamRequest::Load { model, copies, .. } => {
                let f = Frame::new(Kind::LOAD).int(Field::TAG, id.0).text(Field::MODEL, model);
                (Asked::Load(FunctionId(id_of(model))), length(&f.int(Field::COPIES, copies)))
            }
            // The simulated schedulers have no lease on their list.
            UpstreamRequest::DrainQuery { .. } | UpstreamRequest::Probe => {
                (Asked::Probe, length(&Frame::new(Kind::PROBE).int(Field::TAG, id.0)))
            }
        };
        self.pool.request(now, &mut self.sockets, worker, id, payload);
    }
    fn withdraw(&mut self, now: Time, id: RequestId) -> bool {
        self.pool.withdraw(now, &mut self.sockets, id)
    }
    fn answer(&mut self, _: RpcId, _: ClientId, _: u64, answer: Answer, _: &str, _: Time, _: Bytes) {
        self.denied += u64::from(answer != Answer::Ok);
    }
    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)> {
        self.sockets.ended.pop_front()
    }
    fn unload(&mut self, _: Time, _: WorkerId, _: &str) {}
    fn watch_list(&mut self, _: Option<(u64, u64)>) {}
    fn set_worker_address(&mut self, now: Time, worker: WorkerId, _: &str, address: &str, since: Time) {
        self.pool.set_worker_address(now, &mut self.sockets, worker, address, since);
    }
    fn worker_draining(&mut self, _: Time, _: WorkerId) {}
    fn worker_gone(&mut self, _: Time, _: WorkerId) {}
    fn observed(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, held: u64) {
        self.seen.push((worker, function, hint, held));
    }
    fn rpc_accepted(&mut self, _: RpcId) {}
    fn rpc_forgotten(&mut self, _: RpcId) {}
    fn log(&mut self, _: Option<RpcId>, _: &str) {}
}

struct Scheduler {
    engine: Engine<SimulatedDriver>,
    hints: HintTable,
    run: RunId,
    tag: u64,
    conns: BTreeMap<ConnId, WorkerId>,
    /// When the next wake-up is planned.
    wake: Option<Time>,
}

/// Copies by function: when each is up, and when it was last used.
#[derive(Default)]
struct Worker {
    copies: BTreeMap<FunctionId, (Time, Time)>,
}

impl Worker {
    /// Returns when the copy is up and whether this call began its load; `None` if the worker is full and no copy is idle.
    fn copy(&mut self, now: Time, function: FunctionId) -> Option<(Time, bool)> {
        if let Some((up, used)) = self.copies.get_mut(&function) {
            *used = now;
            return Some((*up, false));
        }
        if self.copies.len() as f64 >= plan::COPIES_A_WORKER {
            let idle = self.copies.iter().filter(|(_, (up, used))| *up <= now && now - *used >= WORK_TIME);
            let oldest = *idle.min_by_key(|(f, (_, used))| (*used, **f))?.0;
            self.copies.remove(&oldest);
        }
        let up = now + LOAD_TIME;
        self.copies.insert(function, (up, now));
        Some((up, true))
    }
}

enum WorkerEvent {
    Call(usize),
    Wake(usize),
    Sweep(usize),
    Up(usize, ConnId),
    AtWorker(usize, ConnId, RequestId, Asked, usize),
    Told(usize, ConnId, RequestId, Outcome, CopyReport, u64),
}

struct Event(Time, u64, WorkerEvent);

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        (self.0, self.1) == (other.0, other.1)
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
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct WorkerSimulation {
    scene: Scene,
    now: Time,
    events: BinaryHeap<Reverse<Event>>,
    next: u64,
    rng: Rand64,
    schedulers: Vec<Scheduler>,
    workers: Vec<Worker>,
    by_id: BTreeMap<WorkerId, usize>,
    /// Totals over all workers; `bytes` in both directions.
    dials: u64,
    attempts: u64,
    probes: u64,
    loads: u64,
    reports: u64,
    bytes: u64,
    cold: u64,
    sights: u64,
}

fn worker_name(no: usize) -> String {
    format!("worker-{no:05}")
}

fn settings(schedulers: usize) -> serde_json::Map<String, serde_json::Value> {
    let method = json!({"name": "m", "aim": 600.0, "effect": "read_like", "group": "all", "gain": 2.0,
        "memorySpan": 5000.0, "lanes": 2.0});
    let settings = json!({
        "instances": schedulers, "requestClasses": [method], "weightKind": "rough",
        "contract": {"warmWithin": 18000.0, "fall": 2000.0, "fallMultiple": 2.0, "startCapacity": 0.2},
        "familyInfo": {"keepAlive": 8400.0, "mayOrder": true, "whenAbsent": "load", "loadFloor": 6.0, "loadShare": 0.2, "loadsWithin": 5000.0},
        "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true, "probes": true},
        "loadInfo": {"how": "pull", "names": ["utilization", "outstanding", "x0"]},
    });
    settings.as_object().cloned().unwrap_or_default()
}

impl WorkerSimulation {
    fn new(scene: Scene, seed: u64) -> WorkerSimulation {
        let mut play = WorkerSimulation {
            scene,
            now: Time(10_000_000),
            events: BinaryHeap::new(),
            next: 0,
            rng: Rand64::new(u128::from(seed) + 11),
            schedulers: Vec::new(),
            workers: (0..scene.workers).map(|_| Worker::default()).collect(),
            by_id: (0..scene.workers).map(|no| (WorkerId(id_of(&worker_name(no))), no)).collect(),
            dials: 0,
            attempts: 0,
            probes: 0,
            loads: 0,
            reports: 0,
            bytes: 0,
            cold: 0,
            sights: 0,
        };
        for no in 0..scene.played {
            let seed = u128::from(play.rng.rand_u64());
            let pool = Pool::new(LIMITS, seed);
            let desk = SimulatedDriver { pool, sockets: Sockets::default(), seen: Vec::new(), denied: 0 };
            let mut engine = Engine::start(play.now, desk, seed, settings(scene.sharing));
            engine.list_begin_received(1, 1, None);
            for worker in 0..scene.workers {
                let (name, address) =
                    (worker_name(worker), format!("10.0.{}.{}:9000", worker >> 8, worker & 255));
                engine.list_entry_received(play.now, &name, &address, Lifecycle::Ready, 1, None, "", "", 1.0);
            }
            engine.list_end_received(play.now);
            let (hints, run) = (HintTable::new(play.now, BOUNDS.hint_lifetime, usize::MAX), RunId(no as u64));
            let (conns, wake) = (BTreeMap::new(), None);
            play.schedulers.push(Scheduler { engine, hints, run, tag: 0, conns, wake });
            let (first, sweep) = (play.rng.rand_range(0..TICK.0), play.rng.rand_range(0..TICK.0));
            play.plan(Time(first), WorkerEvent::Call(no));
            play.plan(Time(sweep), WorkerEvent::Sweep(no));
            play.settle(no);
        }
        play
    }

    fn plan(&mut self, delay: Time, what: WorkerEvent) {
        self.next += 1;
        self.events.push(Reverse(Event(self.now + delay, self.next, what)));
    }

    /// Latency between a worker and a scheduler: within a zone if lists are by zone or the two happen to share one.
    fn way(&self, worker: usize, scheduler: usize) -> Time {
        let near = self.scene.choice == Choice::Zone || worker % crate::scale::place::ZONES == scheduler % 16;
        LATENCY[usize::from(!near)]
    }

    /// Executes the actions of a scheduler's pool and plans its next wake-up.
    fn settle(&mut self, no: usize) {
        let s = &mut self.schedulers[no];
        for (worker, function, hint, held) in std::mem::take(&mut s.engine.driver().seen) {
            self.sights +=
                u64::from(s.hints.observe(self.now, s.run, worker, function, hint, held).is_some());
        }
        let actions = std::mem::take(&mut s.engine.driver().sockets.actions);
        let wake = s.engine.next_wake().filter(|at| s.wake.is_none_or(|planned| *at < planned));
        if let Some(at) = wake {
            s.wake = Some(at);
            let delay = at - self.now;
            self.plan(delay, WorkerEvent::Wake(no));
        }
        for act in actions {
            match act {
                PoolAction::Dial(conn, worker) => {
                    self.dials += 1;
                    let worker_no = self.by_id[&worker];
                    self.schedulers[no].conns.insert(conn, worker);
                    let way = self.way(worker_no, no);
                    self.plan(Time(3 * way.0), WorkerEvent::Up(no, conn));
                }
                PoolAction::Send(conn, request, asked, bytes) => {
                    let Some(worker) = self.schedulers[no].conns.get(&conn) else { continue };
                    let way = self.way(self.by_id[worker], no);
                    self.plan(way, WorkerEvent::AtWorker(no, conn, request, asked, bytes));
                }
                PoolAction::Close(conn) => drop(self.schedulers[no].conns.remove(&conn)),
            }
        }
    }

    fn at_worker(&mut self, no: usize, conn: ConnId, request: RequestId, asked: Asked, bytes: usize) {
        let Some(worker) = self.schedulers[no].conns.get(&conn).map(|w| self.by_id[w]) else { return };
        let (now, whole) = (self.now, self.scene.is_whole());
        let mut copy = |function| {
            // In a sample, each function counts as warm, because the schedulers left out would have requested it.
            if whole {
                self.workers[worker].copy(now, function)
            } else {
                Some((now, false))
            }
        };
        let (delay, outcome, word) = match asked {
            Asked::Probe => {
                self.probes += 1;
                (Time(0), Outcome::Ok, CopyReport::Unreported)
            }
            Asked::Load(function) => {
                self.loads += 1;
                let at = copy(function);
                (at.map_or(Time(0), |(up, _)| up - now), Outcome::Ok, CopyReport::Unreported)
            }
            Asked::Attempt(function) => {
                self.attempts += 1;
                match copy(function) {
                    Some((up, begun)) => {
                        let waited = up > now;
                        self.cold += u64::from(waited);
                        let met = if begun { CopyReport::BeganLoad } else { CopyReport::WaitedForLoad };
                        (
                            up.max(now) - now + WORK_TIME,
                            Outcome::Ok,
                            if waited { met } else { CopyReport::Warm },
                        )
                    }
                    None => (Time(0), Outcome::Full, CopyReport::Unreported),
                }
            }
        };
        self.reports += 1;
        let report = Frame::new(Kind::REPORT).int(Field::TAG, request.0).floats(Field::REPORT, &REPORT);
        if bytes > 0 {
            self.bytes += (bytes + length(&report)) as u64;
        }
        let held = 1;
        let way = self.way(worker, no);
        self.plan(delay + way, WorkerEvent::Told(no, conn, request, outcome, word, held));
    }

    fn step(&mut self, what: WorkerEvent) {
        let now = self.now;
        match what {
            WorkerEvent::Call(no) => {
                let rank = (self.scene.functions as f64).powf(self.rng.rand_float()) as u64;
                let s = &mut self.schedulers[no];
                s.tag += 1;
                let (model, from) = (format!("function-{rank:05}"), (ClientId(1), s.tag));
                let _ =
                    s.engine.submit_rpc(now, from, "m", &model, "", Time(50_000), None, None, Bytes::new());
                self.settle(no);
                let mean = 10_000.0 / plan::calls_each();
                let pause = -(1.0 - self.rng.rand_float()).ln() * mean;
                self.plan(Time(pause as u64), WorkerEvent::Call(no));
            }
            WorkerEvent::Wake(no) => {
                let s = &mut self.schedulers[no];
                s.wake = s.wake.filter(|at| *at > now);
                s.engine.advance(now);
                self.settle(no);
            }
            WorkerEvent::Sweep(no) => {
                let desk = self.schedulers[no].engine.driver();
                desk.pool.close_idle(now, &mut desk.sockets);
                self.settle(no);
                self.schedulers[no].hints.sweep(now);
                self.plan(TICK, WorkerEvent::Sweep(no));
            }
            WorkerEvent::Up(no, conn) => {
                let desk = self.schedulers[no].engine.driver();
                desk.pool.conn_up(now, &mut desk.sockets, conn);
                self.schedulers[no].engine.process_ends(now);
                self.settle(no);
            }
            WorkerEvent::AtWorker(no, conn, request, asked, bytes) => {
                self.at_worker(no, conn, request, asked, bytes)
            }
            WorkerEvent::Told(no, conn, request, outcome, copy, held) => {
                let s = &mut self.schedulers[no];
                let desk = s.engine.driver();
                if desk.pool.is_open_on(request, conn) {
                    desk.pool.answered(now, &mut desk.sockets, request);
                    let (report, body) = (REPORT.to_vec(), Bytes::new());
                    s.engine.request_ended(now, request, outcome, copy, held, 1, report, body);
                    self.settle(no);
                }
            }
        }
    }

    fn run(&mut self, span: Time) {
        let until = self.now + span;
        while self.events.peek().is_some_and(|Reverse(e)| e.0 <= until) {
            let Some(Reverse(Event(at, _, what))) = self.events.pop() else { break };
            self.now = at;
            self.step(what);
        }
        self.now = until;
    }

    fn denied(&mut self) -> u64 {
        self.schedulers.iter_mut().map(|s| s.engine.driver().denied).sum()
    }
}

/// What a worker reports.
const REPORT: [f64; 3] = [0.4, 3.0, 0.3];

/// Plays a scene; what one worker bears from all that share it, the share of those not played put up.
pub fn borne(scene: Scene, seed: u64) -> Borne {
    let mut play = WorkerSimulation::new(scene, seed);
    play.run(scene.warm);
    let before = play.denied();
    (play.dials, play.attempts, play.probes, play.loads, play.reports) = (0, 0, 0, 0, 0);
    (play.bytes, play.cold, play.sights) = (0, 0, 0);
    play.run(scene.span);
    let seconds = scene.span.ms() / 1000.0;
    let up = scene.sharing as f64 / scene.played as f64;
    let each = |x: u64| x as f64 * up / scene.workers as f64 / seconds;
    let one = |x: u64| x as f64 / scene.played as f64 / seconds;
    let open = play.schedulers.iter().map(|s| s.conns.len()).sum::<usize>() as f64;
    Borne {
        connections: open * up / scene.workers as f64,
        dials: each(play.dials),
        attempts: each(play.attempts),
        probes: each(play.probes),
        loads: each(play.loads),
        reports: each(play.reports),
        bytes: each(play.bytes),
        cold: play.cold as f64 / play.attempts.max(1) as f64,
        open: open / scene.played as f64,
        sights: one(play.sights),
        denied: one(play.denied() - before),
    }
}
