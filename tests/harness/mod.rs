//! A scheduler with a fake host, which records the scheduler's actions as text, and a simulated clock.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use curlewpoint::host::Host;
use curlewpoint::scheduler::Scheduler;
use curlewpoint::types::*;
use serde_json::{json, Map, Value};

type Actions = Rc<RefCell<Vec<String>>>;

pub struct FakeHost {
    actions: Actions,
    /// Old connections to workers are up.
    connected: Rc<Cell<bool>>,
}

impl FakeHost {
    fn record(&self, action: String) {
        self.actions.borrow_mut().push(action);
    }
}

impl Host for FakeHost {
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, _limit: Time, _send_by: Time) {
        self.record(format!("attempt {} {}", rpc.0, worker.0));
    }
    fn cancel(&mut self, rpc: RpcId, number: AttemptNumber) {
        self.record(format!("cancel {} {}", rpc.0, number.0));
    }
    fn deny(&mut self, rpc: RpcId, _retry_after: Time) {
        self.record(format!("deny {}", rpc.0));
    }
    fn abort(&mut self, rpc: RpcId) {
        self.record(format!("abort {}", rpc.0));
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, _copies: u64, _send_by: Time) {
        self.record(format!("load {} {}", worker.0, function.0));
    }
    fn is_connected_since(&self, _worker: WorkerId, _established_by: Time) -> bool {
        self.connected.get()
    }
    fn query_drain(&mut self, worker: WorkerId, function: FunctionId, _established_by: Time) {
        self.record(format!("query_drain {} {}", worker.0, function.0));
    }
    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.record(format!("unload {} {}", worker.0, function.0));
    }
    fn probe(&mut self, worker: WorkerId) {
        self.record(format!("probe {}", worker.0));
    }
    fn set_timer(&mut self, _delay: Time, id: TimerId) {
        self.record(format!("set_timer {}", id.0));
    }
    fn watch_list(&mut self) {
        self.record("watch_list".into());
    }
    fn observed(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, _rpcs_held: u64) {
        self.record(format!("observed {} {} {hint:?}", worker.0, function.0));
    }
    fn log(&mut self, line: &str) {
        self.record(format!("log {line}"));
    }
}

pub struct Harness {
    pub scheduler: Scheduler<FakeHost>,
    actions: Actions,
    pub connected: Rc<Cell<bool>>,
    pub now_ms: u64,
    /// RPCs of the function that the worker holds, as answers report.
    pub rpcs_held: u64,
    /// Time that attempts take, in milliseconds.
    pub elapsed_ms: u64,
    last_rpc: u64,
}

pub fn settings() -> Value {
    let method = |effect: &str, group: &str| json!({"aim": 500.0, "effect": effect, "group": group, "memorySpan": 800.0, "gain": 1.0});
    json!({
        "instances": 3,
        "requestClasses": [method("read_like", "all"), method("non_idempotent", "all"),
            method("idempotency_key", "zone")],
        "contract": {"warmWithin": 10000.0, "fall": 2000.0, "fallMultiple": 2.0, "startCapacity": 0.2},
        "familyInfo": {"keepAlive": 8000.0, "mayOrder": true, "whenAbsent": "load", "loadFloor": 2.0,
            "loadShare": 0.0, "loadsWithin": 5000.0},
        "limits": {"maxAttempts": 4, "mayCancel": true, "secondCopies": true, "probes": true},
        "loadInfo": {"how": "pull", "names": ["utilization"]},
    })
}

// Indices of the methods in `settings`.
pub const IDEMPOTENT: usize = 0;
pub const SIDE_EFFECTING: usize = 1;
pub const TOKENED: usize = 2;

impl Harness {
    /// A scheduler with these settings and this number of ready, warm workers, numbered from 1.
    pub fn with_settings(settings: Value, workers: u64) -> Harness {
        let actions = Actions::default();
        let settings: Map<String, Value> = settings.as_object().expect("an object").clone();
        let connected = Rc::new(Cell::new(true));
        let host = FakeHost { actions: Rc::clone(&actions), connected: Rc::clone(&connected) };
        let scheduler = Scheduler::start(host, 7, settings);
        let (now_ms, rpcs_held, elapsed_ms, last_rpc) = (100_000, 0, 50, 0);
        let mut harness = Harness { scheduler, actions, connected, now_ms, rpcs_held, elapsed_ms, last_rpc };
        (1..=workers).for_each(|w| harness.list_worker(w, Lifecycle::Ready, 0));
        harness
    }

    pub fn new(workers: u64) -> Harness {
        Harness::with_settings(settings(), workers)
    }

    pub fn now(&self) -> Time {
        Time(self.now_ms * 10)
    }

    pub fn list_worker(&mut self, worker: u64, lifecycle: Lifecycle, since_ms: u64) {
        let (zone, since) = (ZoneId(worker as usize % 2), Time(since_ms * 10));
        self.scheduler.worker_listed(self.now(), WorkerId(worker), lifecycle, since, zone, CellId(0), 1.0);
        self.scheduler.list_received(self.now(), None);
    }

    /// Submits an RPC with 2 s left and returns its number.
    pub fn rpc(&mut self, method: usize, function: u64) -> u64 {
        self.last_rpc += 1;
        let (id, time_left) = (RpcId(self.last_rpc), Time(20_000));
        self.scheduler.rpc_received(
            self.now(),
            id,
            MethodId(method),
            FunctionId(function),
            TenantId(0),
            time_left,
            4.0,
        );
        self.last_rpc
    }

    /// Ends an attempt now.
    pub fn end_attempt(&mut self, rpc: u64, number: usize, outcome: Outcome, copy: CopyReport) {
        let (now, done) = (self.now(), outcome == Outcome::Ok);
        let (rpc, number, elapsed) = (RpcId(rpc), AttemptNumber(number), Time(self.elapsed_ms * 10));
        self.scheduler.attempt_ended(now, rpc, number, outcome, elapsed, done, copy, self.rpcs_held, &[]);
    }

    /// Submits an RPC, answers it from a warm copy, and returns the worker that it was sent to.
    pub fn answered_rpc(&mut self, function: u64) -> u64 {
        let rpc = self.rpc(IDEMPOTENT, function);
        let worker = self.workers_tried(rpc)[0];
        self.now_ms += 50;
        self.end_attempt(rpc, 0, Outcome::Ok, CopyReport::Warm);
        worker
    }

    /// Advances the clock with the scheduler's ticks.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now_ms += 20;
            self.scheduler.timer_fired(self.now(), TimerId(u64::MAX >> 1));
        }
    }

    /// The recorded actions that begin with `prefix`.
    pub fn actions(&self, prefix: &str) -> Vec<String> {
        self.actions.borrow().iter().filter(|a| a.starts_with(prefix)).cloned().collect()
    }

    /// The workers that an RPC was sent to, in order.
    pub fn workers_tried(&self, rpc: u64) -> Vec<u64> {
        let prefix = format!("attempt {rpc} ");
        let worker = |a: String| a[prefix.len()..].parse().expect("a worker");
        self.actions(&prefix).into_iter().map(worker).collect()
    }
}
