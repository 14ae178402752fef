//! Measures the processor time that a call costs the real decision module, by number of workers and functions.

use std::time::Duration;

use curlewpoint::host::Host;
use curlewpoint::scheduler::Scheduler;
use curlewpoint::types::*;
use oorandom::Rand64;
use serde_json::json;

use crate::scale::plan;
use crate::scale::tally::{resident, Meter};

const TICK_TIMER: TimerId = TimerId(u64::MAX >> 1);
/// Interval of the module's ticks.
const TICK_INTERVAL: Time = Time(200);
/// Time from an attempt to its answer.
const ANSWER_DELAY: Time = Time(400);

/// Records the actions that the module requests.
#[derive(Default)]
struct RecordingHost {
    attempts: Vec<(RpcId, WorkerId)>,
    probes: Vec<WorkerId>,
    loads: Vec<(WorkerId, FunctionId)>,
    seen: u64,
}

impl Host for RecordingHost {
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, _: Time, _: Time) {
        self.attempts.push((rpc, worker));
    }
    fn cancel(&mut self, _: RpcId, _: AttemptNumber) {}
    fn deny(&mut self, _: RpcId, _: Time) {}
    fn abort(&mut self, _: RpcId) {}
    fn load(&mut self, worker: WorkerId, function: FunctionId, _: u64, _: Time) {
        self.loads.push((worker, function));
    }
    fn unload(&mut self, _: WorkerId, _: FunctionId) {}
    fn probe(&mut self, worker: WorkerId) {
        self.probes.push(worker);
    }
    fn set_timer(&mut self, _: Time, _: TimerId) {}
    fn watch_list(&mut self) {}
    fn observed(&mut self, _: WorkerId, _: FunctionId, _: Hint, _: u64) {
        self.seen += 1;
    }
    fn log(&mut self, _: &str) {}
}

/// Cost of calls in the module.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub workers: usize,
    pub functions: usize,
    pub calls: u64,
    /// Processor time of receiving RPCs and choosing their workers.
    pub choice: Duration,
    /// Processor time of everything else: ends of attempts, probes and loads, and ticks.
    pub rest: Duration,
    /// Growth of the resident size, in bytes.
    pub memory: Option<u64>,
    pub probes: u64,
    pub loads: u64,
    pub seen: u64,
}

impl Cost {
    /// Microseconds per call, with and without choosing the worker.
    pub fn us(&self) -> (f64, f64) {
        let each = |d: Duration| d.as_secs_f64() * 1e6 / self.calls.max(1) as f64;
        (each(self.choice + self.rest), each(self.rest))
    }
}

fn id(no: u64, salt: u64) -> u64 {
    no.wrapping_add(1).wrapping_mul(salt)
}

/// Drives one module with `workers` in its list and `functions` requested by a power law, at the plan's call rate, each call
/// answered from a warm copy. Measures `calls` calls after half as many for warm-up.
pub fn module_cost(seed: u64, schedulers: usize, workers: usize, functions: usize, calls: u64) -> Cost {
    let meter = Meter::new();
    let before = resident();
    let method =
        json!({"aim": 600.0, "effect": "read_like", "group": "all", "gain": 2.0, "memorySpan": 5000.0});
    let settings = json!({
        "instances": schedulers, "requestClasses": [method], "weightKind": "rough",
        "contract": {"warmWithin": 18000.0, "fall": 2000.0, "fallMultiple": 2.0, "startCapacity": 0.2},
        "familyInfo": {"keepAlive": 8400.0, "mayOrder": true, "whenAbsent": "load", "loadFloor": 6.0, "loadShare": 0.2, "loadsWithin": 5000.0},
        "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true, "probes": true},
        "loadInfo": {"how": "pull", "names": ["utilization", "outstanding", "x0"]},
    });
    let settings = settings.as_object().cloned().unwrap_or_default();
    let mut module = Scheduler::start(RecordingHost::default(), u128::from(seed), settings);
    let mut now = Time(1_000_000);
    for no in 0..workers as u64 {
        let worker = WorkerId(id(no, 0x9e37_79b9_7f4a_7c15));
        module.worker_listed(now, worker, Lifecycle::Ready, Time(0), ZoneId(0), CellId(0), 1.0);
    }
    module.list_received(now, None);
    // All workers have been up for a minute.
    for _ in 0..3_000 {
        now = now + TICK_INTERVAL;
        module.timer_fired(now, TICK_TIMER);
    }
    let mut rng = Rand64::new(u128::from(seed) + 2);
    let mut cost = Cost { workers, functions, ..Cost::default() };
    let between = Time((10_000.0 / plan::calls_each()) as u64);
    let mut ticked = now;
    let report = [0.4, 3.0, 0.3];
    for no in 0..calls + calls / 2 {
        if no == calls / 2 {
            cost = Cost { workers, functions, ..Cost::default() };
        }
        now = now + between;
        let mut rest = Duration::ZERO;
        if now - ticked >= TICK_INTERVAL {
            ticked = now;
            rest += meter.time(|| module.timer_fired(now, TICK_TIMER)).1;
        }
        let rank = (functions as f64).powf(rng.rand_float()) as u64;
        let function = FunctionId(id(rank, 0xbf58_476d_1ce4_e5b9));
        let rpc = RpcId(no + 1);
        let taken = || module.rpc_received(now, rpc, MethodId(0), function, TenantId(0), Time(50_000), 2.0);
        cost.choice += meter.time(taken).1;
        cost.calls += 1;
        let attempts = std::mem::take(&mut module.host().attempts);
        let probes = std::mem::take(&mut module.host().probes);
        let loads = std::mem::take(&mut module.host().loads);
        (cost.probes, cost.loads) = (cost.probes + probes.len() as u64, cost.loads + loads.len() as u64);
        rest += meter
            .time(|| {
                for (rpc, _) in attempts {
                    let (no, ok, warm) = (AttemptNumber(0), Outcome::Ok, CopyReport::Warm);
                    module.attempt_ended(now, rpc, no, ok, ANSWER_DELAY, true, warm, 1, &report);
                }
                probes.into_iter().for_each(|worker| module.load_report_received(now, worker, &report));
                for (worker, function) in loads {
                    module.load_ended(now, worker, function, Outcome::Ok, 1);
                }
            })
            .1;
        cost.rest += rest;
        cost.seen += std::mem::take(&mut module.host().seen);
    }
    cost.memory = resident().zip(before).map(|(now, then)| now.saturating_sub(then));
    cost
}
