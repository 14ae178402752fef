//! The one fake host: it writes down what the module does, in its own words.

use std::cell::RefCell;
use std::rc::Rc;

use curlewpoint::host::Host;
use curlewpoint::scheduler::Scheduler;
use curlewpoint::types::*;
use serde_json::{json, Map, Value};

type Deeds = Rc<RefCell<Vec<String>>>;

pub struct Fake(Deeds);

impl Fake {
    fn did(&self, deed: String) {
        self.0.borrow_mut().push(deed);
    }
}

impl Host for Fake {
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, _limit: Time) {
        self.did(format!("call {} {}", rpc.0, worker.0));
    }
    fn cancel(&mut self, rpc: RpcId, no: AttemptNumber) {
        self.did(format!("cancel {} {}", rpc.0, no.0));
    }
    fn deny(&mut self, rpc: RpcId, _retry_after: Time) {
        self.did(format!("deny {}", rpc.0));
    }
    fn abort(&mut self, rpc: RpcId) {
        self.did(format!("abort {}", rpc.0));
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, _copies: u64) {
        self.did(format!("load {} {}", worker.0, function.0));
    }
    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.did(format!("unload {} {}", worker.0, function.0));
    }
    fn probe(&mut self, worker: WorkerId) {
        self.did(format!("probe {}", worker.0));
    }
    fn set_timer(&mut self, _delay: Time, id: TimerId) {
        self.did(format!("wake {}", id.0));
    }
    fn watch_list(&mut self) {
        self.did("watch".into());
    }
    fn observed(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, _held: u64) {
        self.did(format!("seen {} {} {hint:?}", worker.0, function.0));
    }
    fn log(&mut self, line: &str) {
        self.did(format!("log {line}"));
    }
}

/// A scheduler with its fake host and a clock in milliseconds.
pub struct Story {
    pub srv: Scheduler<Fake>,
    deeds: Deeds,
    pub ms: u64,
    /// RPCs of the function that answers say the worker held.
    pub held: u64,
    /// How long answers take, in milliseconds.
    pub took: u64,
    next: u64,
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

pub const IDEMPOTENT: usize = 0;
pub const SIDE_EFFECTING: usize = 1;
pub const TOKENED: usize = 2;

impl Story {
    /// A scheduler with these settings and so many ready workers, numbered from 1, long up.
    pub fn with(settings: Value, workers: u64) -> Story {
        let deeds = Deeds::default();
        let settings: Map<String, Value> = settings.as_object().expect("an object").clone();
        let srv = Scheduler::start(Fake(Rc::clone(&deeds)), 7, settings);
        let mut story = Story { srv, deeds, ms: 100_000, held: 0, took: 50, next: 0 };
        (1..=workers).for_each(|w| story.list(w, Lifecycle::Ready, 0));
        story
    }

    pub fn new(workers: u64) -> Story {
        Story::with(settings(), workers)
    }

    pub fn now(&self) -> Time {
        Time(self.ms * 10)
    }

    pub fn list(&mut self, worker: u64, standing: Lifecycle, since_ms: u64) {
        let (zone, since) = (ZoneId(worker as usize % 2), Time(since_ms * 10));
        self.srv.worker_listed(self.now(), WorkerId(worker), standing, since, zone, CellId(0), 1.0);
        self.srv.list_received(self.now(), None);
    }

    /// Takes an RPC with 2 s left and returns its number.
    pub fn rpc(&mut self, method: usize, function: u64) -> u64 {
        self.next += 1;
        let (id, left) = (RpcId(self.next), Time(20_000));
        self.srv.rpc_received(self.now(), id, MethodId(method), FunctionId(function), TenantId(0), left, 4.0);
        self.next
    }

    /// Ends an attempt at the present clock.
    pub fn end(&mut self, rpc: u64, no: usize, outcome: Outcome, copy: CopyReport) {
        let (now, done) = (self.now(), outcome == Outcome::Ok);
        let (rpc, no, took) = (RpcId(rpc), AttemptNumber(no), Time(self.took * 10));
        self.srv.attempt_ended(now, rpc, no, outcome, took, done, copy, self.held, &[]);
    }

    /// An RPC that is answered from a warm copy; returns the worker it went to.
    pub fn served(&mut self, function: u64) -> u64 {
        let rpc = self.rpc(IDEMPOTENT, function);
        let worker = self.calls(rpc)[0];
        self.ms += 50;
        self.end(rpc, 0, Outcome::Ok, CopyReport::Warm);
        worker
    }

    /// Lets time pass in ticks of the module.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.ms += 20;
            self.srv.timer_fired(self.now(), TimerId(u64::MAX >> 1));
        }
    }

    pub fn deeds(&self, word: &str) -> Vec<String> {
        self.deeds.borrow().iter().filter(|d| d.starts_with(word)).cloned().collect()
    }

    /// The workers an RPC was sent to, in order.
    pub fn calls(&self, rpc: u64) -> Vec<u64> {
        let head = format!("call {rpc} ");
        let tail = |d: String| d[head.len()..].parse().expect("a worker");
        self.deeds(&head).into_iter().map(tail).collect()
    }
}
