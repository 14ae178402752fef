//! The module, the engine and the pool agree on the open requests at each worker, each upstream request ends once,
//! and no collection grows with past workers or functions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{
    Answer, ClientId, ConnId, Engine, EngineDriver, Pool, PoolDriver, PoolLimits, RequestId, UpstreamRequest,
};
use proptest::prelude::*;
use serde_json::{json, Map, Value};

/// Connections that change state only when the test says so.
#[derive(Default)]
struct FakeSockets {
    dialled: Vec<ConnId>,
    up: BTreeSet<ConnId>,
    /// The connection of each open request, recorded independently of the pool.
    open: BTreeMap<RequestId, ConnId>,
    /// Outboxes accept nothing.
    full: bool,
    /// Withdrawn requests count as unsent.
    unsent: bool,
    ends: VecDeque<(RequestId, Outcome)>,
}

impl PoolDriver<()> for FakeSockets {
    fn dial(&mut self, conn: ConnId, _: WorkerId, _: &str) {
        self.dialled.push(conn);
    }
    fn send(&mut self, conn: ConnId, request: RequestId, _: &()) -> bool {
        let sent = self.up.contains(&conn) && !self.full;
        if sent {
            assert!(self.open.insert(request, conn).is_none(), "sent twice");
        }
        sent
    }
    fn withdraw(&mut self, _: ConnId, request: RequestId) -> bool {
        self.unsent && self.open.contains_key(&request)
    }
    fn send_withdraw(&mut self, _: ConnId, _: RequestId) {}
    fn close(&mut self, conn: ConnId) {
        assert!(self.up.remove(&conn), "closed twice, or never established");
    }
    fn ended_locally(&mut self, request: RequestId, outcome: Outcome) {
        self.ends.push_back((request, outcome));
    }
}

/// An engine driver around a pool, as in the gateway and the node.
struct PoolEngineDriver {
    pool: Pool<()>,
    sockets: FakeSockets,
    started: BTreeSet<RequestId>,
    ended: BTreeSet<RequestId>,
}

impl PoolEngineDriver {
    fn record_end(&mut self, id: RequestId) {
        assert!(self.ended.insert(id), "{id:?} ended twice");
        self.sockets.open.remove(&id);
    }
}

impl EngineDriver for PoolEngineDriver {
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, _: UpstreamRequest<'_>) {
        assert!(self.started.insert(id));
        self.pool.request(now, &mut self.sockets, worker, id, ());
    }
    fn withdraw(&mut self, now: Time, id: RequestId) -> bool {
        let unsent = self.pool.withdraw(now, &mut self.sockets, id);
        self.record_end(id);
        unsent
    }
    fn answer(&mut self, _: RpcId, _: ClientId, _: u64, _: Answer, _: &str, _: Time, _: Bytes) {}
    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)> {
        let end = self.sockets.ends.pop_front()?;
        self.record_end(end.0);
        Some(end)
    }
    fn unload(&mut self, _: Time, _: WorkerId, _: &str) {}
    fn watch_list(&mut self, _: Option<(u64, u64)>) {}
    fn set_worker_address(&mut self, now: Time, worker: WorkerId, _: &str, address: &str, since: Time) {
        self.pool.set_worker_address(now, &mut self.sockets, worker, address, since);
    }
    fn worker_draining(&mut self, now: Time, worker: WorkerId) {
        self.pool.withdraw_unsent(now, &mut self.sockets, worker);
    }
    fn worker_gone(&mut self, now: Time, worker: WorkerId) {
        self.pool.worker_gone(now, &mut self.sockets, worker);
    }
    fn rpc_accepted(&mut self, _: RpcId) {}
    fn rpc_forgotten(&mut self, _: RpcId) {}
    fn log(&mut self, _: Option<RpcId>, _: &str) {}
}

const CLIENT: ClientId = ClientId(1);

struct Harness {
    engine: Engine<PoolEngineDriver>,
    now: Time,
    version: u64,
    tag: u64,
}

impl Harness {
    fn new() -> Harness {
        let method = |name, effect| json!({"name": name, "effect": effect, "group": "all", "aim": 300.0, "giveUp": 2000.0, "gain": 1.0, "lanes": 2.0});
        let settings: Map<String, Value> = serde_json::from_value(json!({
            "instances": 1,
            "requestClasses": [method("read", "read_like"), method("issue", "non_idempotent")],
            "contract": {"answerSlack": 20.0},
            "familyInfo": {"keepAlive": 8000.0, "mayOrder": true, "whenAbsent": "load", "loadFloor": 5.0},
            "limits": {"maxAttempts": 4, "mayCancel": true, "secondCopies": true, "probes": true},
            "loadInfo": {"how": "pull", "names": ["utilization"]},
        }))
        .expect("an object");
        let limits = PoolLimits {
            requests_per_conn: 4,
            conns_per_worker: 2,
            total_conns: 64,
            idle_timeout: Time(90_000),
            back_off: (Time(500), Time(10_000)),
        };
        let (started, ended, sockets) = Default::default();
        let driver = PoolEngineDriver { pool: Pool::new(limits, 3), sockets, started, ended };
        let now = Time(1_000_000);
        Harness { engine: Engine::start(now, driver, 7, settings), now, version: 0, tag: 0 }
    }

    /// Delivers a full list: names, addresses, and whether each worker drains.
    fn list(&mut self, workers: impl Iterator<Item = (String, String, bool)>) {
        self.version += 1;
        self.engine.list_begin_received(0, self.version, None);
        for (name, address, drains) in workers {
            let lifecycle = if drains { Lifecycle::Draining } else { Lifecycle::Ready };
            self.engine.list_entry_received(self.now, &name, &address, lifecycle, 1, None, "z", "c", 1.0);
        }
        self.engine.list_end_received(self.now);
    }

    fn rpc(&mut self, method: &str, model: &str) {
        self.tag += 1;
        let from = (CLIENT, self.tag);
        let result =
            self.engine.submit_rpc(self.now, from, method, model, "", Time(10_000), None, None, Bytes::new());
        assert!(result.is_ok(), "{result:?}");
    }

    fn with_pool(&mut self, conn: ConnId, call: fn(&mut Pool<()>, Time, &mut FakeSockets, ConnId)) {
        let driver = self.engine.driver();
        call(&mut driver.pool, self.now, &mut driver.sockets, conn);
        self.engine.process_ends(self.now);
    }

    fn finish_dial(&mut self, succeeds: bool) {
        let sockets = &mut self.engine.driver().sockets;
        let Some(conn) = sockets.dialled.pop() else { return };
        if succeeds {
            sockets.up.insert(conn);
        }
        self.with_pool(
            conn,
            if succeeds {
                Pool::conn_up
            } else {
                |pool, now, driver, conn| pool.conn_failed(now, driver, conn, false)
            },
        );
    }

    fn break_conn(&mut self, index: usize) {
        let up = &mut self.engine.driver().sockets.up;
        let Some(conn) = up.iter().nth(index % up.len().max(1)).copied() else { return };
        up.remove(&conn);
        self.with_pool(conn, Pool::conn_broken);
    }

    /// A worker's answer to an open request. It arrives twice; the second one must be ignored.
    fn answer_request(&mut self, index: usize, outcome: Outcome) {
        let driver = self.engine.driver();
        let Some(id) = driver.sockets.open.keys().nth(index % driver.sockets.open.len().max(1)).copied()
        else {
            return;
        };
        driver.record_end(id);
        driver.pool.answered(self.now, &mut driver.sockets, id);
        for _ in 0..2 {
            let (copy, body) = (CopyReport::Warm, Bytes::new());
            self.engine.request_ended(self.now, id, outcome, copy, 0, 1, vec![0.5], body);
        }
    }

    fn advance(&mut self, span: u64) {
        self.now = self.now + Time(span);
        self.engine.advance(self.now);
        let (now, driver) = (self.now, self.engine.driver());
        driver.pool.close_idle(now, &mut driver.sockets);
    }

    fn mismatch(&mut self) -> Option<String> {
        let open = self.engine.driver().pool.open_requests().collect();
        self.engine.find_mismatch(&open)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Rpc(bool, u8),
    Dialled(bool),
    Breaks(usize),
    Answer(usize, usize),
    Advance(u64),
    Cancel(u64),
    ClientGone,
    Full(bool),
    Unsent(bool),
    /// A list: a bit mask of the workers named, one of those that drain, and a number that selects their addresses.
    List(u8, u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<bool>(), 0u8..6).prop_map(|(issue, model)| Step::Rpc(issue, model)),
        6 => prop::bool::weighted(0.8).prop_map(Step::Dialled),
        2 => (0usize..9).prop_map(Step::Breaks),
        8 => (0usize..20, 0usize..OUTCOMES.len()).prop_map(|(index, outcome)| Step::Answer(index, outcome)),
        4 => (1u64..5_000).prop_map(Step::Advance),
        2 => (0u64..150).prop_map(Step::Cancel),
        1 => Just(Step::ClientGone),
        1 => any::<bool>().prop_map(Step::Full),
        1 => any::<bool>().prop_map(Step::Unsent),
        2 => (any::<u8>(), any::<u8>(), 0u8..3).prop_map(|(named, drain, at)| Step::List(named, drain, at)),
    ]
}

const OUTCOMES: [Outcome; 5] = [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Miss];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn module_engine_and_pool_agree_and_each_request_ends_once(
        steps in prop::collection::vec(step(), 1..150)
    ) {
        let mut harness = Harness::new();
        let workers = |named: u8, drain: u8, at: u8| (0..8)
            .filter(move |w| named >> w & 1 == 1)
            .map(move |w| (format!("w{w}"), format!("10.0.0.{}:{at}", w % 3), drain >> w & 1 == 1));
        harness.list(workers(0b1111, 0, 0));
        for step in steps {
            match step.clone() {
                Step::Rpc(issue, model) => harness.rpc(if issue { "issue" } else { "read" }, &format!("m{model}")),
                Step::Dialled(succeeds) => harness.finish_dial(succeeds),
                Step::Breaks(index) => harness.break_conn(index),
                Step::Answer(index, outcome) => harness.answer_request(index, OUTCOMES[outcome]),
                Step::Advance(span) => harness.advance(span),
                Step::Cancel(tag) => harness.engine.cancel(harness.now, CLIENT, tag),
                Step::ClientGone => harness.engine.client_gone(harness.now, CLIENT),
                Step::Full(full) => harness.engine.driver().sockets.full = full,
                Step::Unsent(unsent) => harness.engine.driver().sockets.unsent = unsent,
                Step::List(named, drain, at) => harness.list(workers(named, drain, at)),
            }
            prop_assert_eq!(harness.mismatch(), None, "after {:?}", step);
        }
        for _ in 0..30 {
            harness.advance(10_000);
        }
        prop_assert_eq!(harness.mismatch(), None);
        let driver = harness.engine.driver();
        prop_assert_eq!(&driver.started, &driver.ended, "each request ended");
    }
}

/// Guards against a scheduler whose memory grows over months, or with functions that a faulty client invents.
#[test]
fn collections_do_not_grow_with_past_workers_and_functions() {
    let mut harness = Harness::new();
    let (rounds, workers, functions) = (200, 50, 100);
    let mut max_sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for round in 0..rounds {
        harness.list(
            (0..workers).map(|w| (format!("w{}", round * workers + w), format!("10.0.0.{w}:1"), false)),
        );
        for function in 0..functions {
            harness.rpc("read", &format!("{:016x}", round * functions + function));
            while !harness.engine.driver().sockets.dialled.is_empty() {
                harness.finish_dial(true);
            }
            while !harness.engine.driver().sockets.open.is_empty() {
                harness.answer_request(0, Outcome::Ok);
            }
            // In steps too short for the module to detect a stall; a round takes ten seconds.
            harness.advance(500);
            harness.advance(500);
        }
        harness.engine.driver().started.clear();
        harness.engine.driver().ended.clear();
        let driver = harness.engine.driver();
        let sizes: Vec<_> = driver.pool.sizes().into_iter().chain(harness.engine.sizes()).collect();
        for (kind, size) in sizes {
            let max = max_sizes.entry(kind).or_default();
            *max = size.max(*max);
        }
    }
    // Names of workers are kept for ten minutes after they have gone, the module's records for half a minute; beliefs
    // expire with the copies.
    let bounds = [
        ("connections", 2 * workers),
        ("requests open", 1),
        ("workers dialled", workers),
        ("rpcs", 1),
        ("requests", 1),
        ("wake-ups", 100),
        ("function names", 1),
        ("worker names", 62 * workers),
        ("workers", 5 * workers),
        ("beliefs", 400),
        ("moments", 1_000),
        ("lines", 1),
    ];
    let exceeded: Vec<_> = bounds.iter().filter(|(kind, bound)| max_sizes[kind] > *bound).collect();
    assert!(exceeded.is_empty(), "{exceeded:?} of {max_sizes:?}");
    assert_eq!(bounds.len(), max_sizes.len(), "each collection has a bound: {max_sizes:?}");
}
