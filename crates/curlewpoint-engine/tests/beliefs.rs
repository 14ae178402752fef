//! What the module believes out at each worker is what the pool has open there, and each upstream request ends once; and nothing
//! that is kept grows with what has passed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{
    Answer, ClientId, ConnId, Engine, EngineDriver, Pool, PoolDriver, PoolLimits, RequestId, UpstreamRequest,
};
use proptest::prelude::*;
use serde_json::{json, Map, Value};

/// Sockets that do nothing by themselves.
#[derive(Default)]
struct Sockets {
    dialled: Vec<ConnId>,
    up: BTreeSet<ConnId>,
    /// What is on each connection, as its own book has it.
    out: BTreeMap<RequestId, ConnId>,
    full: bool,
    untouched: bool,
    ends: VecDeque<(RequestId, Outcome)>,
}

impl PoolDriver<()> for Sockets {
    fn dial(&mut self, conn: ConnId, _: WorkerId, _: &str) {
        self.dialled.push(conn);
    }
    fn send(&mut self, conn: ConnId, request: RequestId, _: &()) -> bool {
        let sent = self.up.contains(&conn) && !self.full;
        if sent {
            assert!(self.out.insert(request, conn).is_none(), "sent twice");
        }
        sent
    }
    fn withdraw(&mut self, _: ConnId, request: RequestId) -> bool {
        self.untouched && self.out.contains_key(&request)
    }
    fn send_withdraw(&mut self, _: ConnId, _: RequestId) {}
    fn close(&mut self, conn: ConnId) {
        assert!(self.up.remove(&conn), "closed twice, or never up");
    }
    fn ended_locally(&mut self, request: RequestId, outcome: Outcome) {
        self.ends.push_back((request, outcome));
    }
}

/// The engine's world around a pool, as the shells build it.
struct Around {
    pool: Pool<()>,
    sockets: Sockets,
    begun: BTreeSet<RequestId>,
    over: BTreeSet<RequestId>,
}

impl Around {
    fn is_over(&mut self, id: RequestId) {
        assert!(self.over.insert(id), "{id:?} ended twice");
        self.sockets.out.remove(&id);
    }
}

impl EngineDriver for Around {
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, _: UpstreamRequest<'_>) {
        assert!(self.begun.insert(id));
        self.pool.request(now, &mut self.sockets, worker, id, ());
    }
    fn withdraw(&mut self, now: Time, id: RequestId) -> bool {
        let untouched = self.pool.withdraw(now, &mut self.sockets, id);
        self.is_over(id);
        untouched
    }
    fn answer(&mut self, _: RpcId, _: ClientId, _: u64, _: Answer, _: &str, _: Time, _: Bytes) {}
    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)> {
        let end = self.sockets.ends.pop_front()?;
        self.is_over(end.0);
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

struct Day {
    engine: Engine<Around>,
    now: Time,
    version: u64,
    tag: u64,
}

impl Day {
    fn new() -> Day {
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
        let (begun, over, sockets) = Default::default();
        let world = Around { pool: Pool::new(limits, 3), sockets, begun, over };
        let now = Time(1_000_000);
        Day { engine: Engine::start(now, world, 7, settings), now, version: 0, tag: 0 }
    }

    /// A whole list: names, their addresses and whether they drain.
    fn list(&mut self, workers: impl Iterator<Item = (String, String, bool)>) {
        self.version += 1;
        self.engine.list_begins(0, self.version, None);
        for (name, address, drains) in workers {
            let standing = if drains { Lifecycle::Draining } else { Lifecycle::Ready };
            self.engine.list_row(self.now, &name, &address, standing, 1, None, "z", "c", 1.0);
        }
        self.engine.list_ends(self.now);
    }

    fn rpc(&mut self, method: &str, model: &str) {
        self.tag += 1;
        let from = (CLIENT, self.tag);
        let taken =
            self.engine.submit_rpc(self.now, from, method, model, "", Time(10_000), None, None, Bytes::new());
        assert!(taken.is_ok(), "{taken:?}");
    }

    fn conn(&mut self, conn: ConnId, what: fn(&mut Pool<()>, Time, &mut Sockets, ConnId)) {
        let world = self.engine.driver();
        what(&mut world.pool, self.now, &mut world.sockets, conn);
        self.engine.process_ends(self.now);
    }

    fn dialled(&mut self, comes: bool) {
        let sockets = &mut self.engine.driver().sockets;
        let Some(conn) = sockets.dialled.pop() else { return };
        if comes {
            sockets.up.insert(conn);
        }
        self.conn(conn, if comes { Pool::conn_up } else { |p, now, w, c| p.conn_failed(now, w, c, false) });
    }

    fn breaks(&mut self, which: usize) {
        let up = &mut self.engine.driver().sockets.up;
        let Some(conn) = up.iter().nth(which % up.len().max(1)).copied() else { return };
        up.remove(&conn);
        self.conn(conn, Pool::conn_broken);
    }

    /// A worker's word for what is out; it comes twice, and the second is nothing.
    fn answers(&mut self, which: usize, outcome: Outcome) {
        let world = self.engine.driver();
        let Some(id) = world.sockets.out.keys().nth(which % world.sockets.out.len().max(1)).copied() else {
            return;
        };
        world.is_over(id);
        world.pool.answered(self.now, &mut world.sockets, id);
        for _ in 0..2 {
            let (copy, body) = (CopyReport::Warm, Bytes::new());
            self.engine.request_ended(self.now, id, outcome, copy, 0, 1, vec![0.5], body);
        }
    }

    fn pass(&mut self, span: u64) {
        self.now = self.now + Time(span);
        self.engine.advance(self.now);
        let (now, world) = (self.now, self.engine.driver());
        world.pool.close_idle(now, &mut world.sockets);
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
    Answers(usize, usize),
    Pass(u64),
    Cancel(u64),
    Leaves,
    Full(bool),
    Untouched(bool),
    /// Which workers a list names, which of them drain, and under which addresses.
    List(u8, u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<bool>(), 0u8..6).prop_map(|(issue, model)| Step::Rpc(issue, model)),
        6 => prop::bool::weighted(0.8).prop_map(Step::Dialled),
        2 => (0usize..9).prop_map(Step::Breaks),
        8 => (0usize..20, 0usize..ENDS.len()).prop_map(|(which, end)| Step::Answers(which, end)),
        4 => (1u64..5_000).prop_map(Step::Pass),
        2 => (0u64..150).prop_map(Step::Cancel),
        1 => Just(Step::Leaves),
        1 => any::<bool>().prop_map(Step::Full),
        1 => any::<bool>().prop_map(Step::Untouched),
        2 => (any::<u8>(), any::<u8>(), 0u8..3).prop_map(|(named, drain, at)| Step::List(named, drain, at)),
    ]
}

const ENDS: [Outcome; 5] = [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Miss];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn what_is_believed_out_is_what_is_open_and_each_request_ends_once(
        steps in prop::collection::vec(step(), 1..150)
    ) {
        let mut day = Day::new();
        let workers = |named: u8, drain: u8, at: u8| (0..8)
            .filter(move |no| named >> no & 1 == 1)
            .map(move |no| (format!("w{no}"), format!("10.0.0.{}:{at}", no % 3), drain >> no & 1 == 1));
        day.list(workers(0b1111, 0, 0));
        for step in steps {
            match step.clone() {
                Step::Rpc(issue, model) => day.rpc(if issue { "issue" } else { "read" }, &format!("m{model}")),
                Step::Dialled(comes) => day.dialled(comes),
                Step::Breaks(which) => day.breaks(which),
                Step::Answers(which, end) => day.answers(which, ENDS[end]),
                Step::Pass(span) => day.pass(span),
                Step::Cancel(tag) => day.engine.cancel(day.now, CLIENT, tag),
                Step::Leaves => day.engine.client_gone(day.now, CLIENT),
                Step::Full(full) => day.engine.driver().sockets.full = full,
                Step::Untouched(untouched) => day.engine.driver().sockets.untouched = untouched,
                Step::List(named, drain, at) => day.list(workers(named, drain, at)),
            }
            prop_assert_eq!(day.mismatch(), None, "after {:?}", step);
        }
        for _ in 0..30 {
            day.pass(10_000);
        }
        prop_assert_eq!(day.mismatch(), None);
        let world = day.engine.driver();
        prop_assert_eq!(&world.begun, &world.over, "each ended, and once");
    }
}

/// Guards against a scheduler that fills over months, or that a bad client fills with functions it invents.
#[test]
fn nothing_kept_grows_with_workers_and_functions_that_have_passed() {
    let mut day = Day::new();
    let (rounds, workers, functions) = (200, 50, 100);
    let mut most: BTreeMap<&str, usize> = BTreeMap::new();
    for round in 0..rounds {
        day.list(
            (0..workers).map(|no| (format!("w{}", round * workers + no), format!("10.0.0.{no}:1"), false)),
        );
        for no in 0..functions {
            day.rpc("read", &format!("{:016x}", round * functions + no));
            while !day.engine.driver().sockets.dialled.is_empty() {
                day.dialled(true);
            }
            while !day.engine.driver().sockets.out.is_empty() {
                day.answers(0, Outcome::Ok);
            }
            // In steps that the module does not take for a stall of its own; a round is ten seconds.
            day.pass(500);
            day.pass(500);
        }
        day.engine.driver().begun.clear();
        day.engine.driver().over.clear();
        let world = day.engine.driver();
        let sizes: Vec<_> = world.pool.sizes().into_iter().chain(day.engine.sizes()).collect();
        for (what, size) in sizes {
            let seen = most.entry(what).or_default();
            *seen = size.max(*seen);
        }
    }
    // Names of workers stay for ten minutes after they have gone, the module's records for half a minute; beliefs fade
    // with the copies.
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
    let over: Vec<_> = bounds.iter().filter(|(what, bound)| most[what] > *bound).collect();
    assert!(over.is_empty(), "{over:?} of {most:?}");
    assert_eq!(bounds.len(), most.len(), "each collection has its bound: {most:?}");
}
