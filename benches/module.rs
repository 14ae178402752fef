//! Time that the scheduler spends on one RPC, from arrival to answer, by the number of workers, of workers long gone
//! and of other open RPCs.

use std::collections::BTreeSet;

use criterion::{criterion_group, criterion_main, Criterion};
use curlewpoint::host::Host;
use curlewpoint::scheduler::Scheduler;
use curlewpoint::types::*;
use oorandom::Rand64;
use serde_json::json;

/// Records attempts until the workload takes them.
#[derive(Default)]
struct RecordingHost {
    attempts: Vec<(RpcId, WorkerId)>,
}

impl Host for RecordingHost {
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, _: Time, _: Time) {
        self.attempts.push((rpc, worker));
    }
    fn cancel(&mut self, _: RpcId, _: AttemptNumber) {}
    fn deny(&mut self, _: RpcId, _: Time) {}
    fn abort(&mut self, _: RpcId) {}
    fn load(&mut self, _: WorkerId, _: FunctionId, _: u64, _: Time) {}
    fn unload(&mut self, _: WorkerId, _: FunctionId) {}
    fn probe(&mut self, _: WorkerId) {}
    fn set_timer(&mut self, _: Time, _: TimerId) {}
    fn watch_list(&mut self) {}
    fn log(&mut self, _: &str) {}
}

const TICK_TIMER: TimerId = TimerId(u64::MAX >> 1);
const FUNCTIONS: u64 = 300;

/// A scheduler under a steady load of RPCs, each answered from a warm copy.
struct Workload {
    scheduler: Scheduler<RecordingHost>,
    rng: Rand64,
    now: Time,
    last_rpc: u64,
}

impl Workload {
    fn new(workers: u64, gone: u64) -> Workload {
        let method =
            json!({"aim": 600.0, "effect": "read_like", "group": "all", "gain": 2.0, "memorySpan": 5000.0});
        let settings = json!({
            "instances": 100, "requestClasses": [method], "weightKind": "rough",
            "contract": {"warmWithin": 18000.0, "fall": 2000.0, "fallMultiple": 2.0, "startCapacity": 0.2},
            "familyInfo": {"keepAlive": 8400.0, "mayOrder": true, "whenAbsent": "load", "loadFloor": 6.0, "loadShare": 0.2, "loadsWithin": 5000.0},
            "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true, "probes": true},
            "loadInfo": {"how": "pull", "names": ["utilization", "outstanding", "x0"]},
        });
        let settings = settings.as_object().expect("an object").clone();
        let mut scheduler = Scheduler::start(RecordingHost::default(), 1, settings);
        let mut now = Time(1_000_000);
        for id in 0..workers + gone {
            let id = WorkerId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            scheduler.worker_listed(now, id, Lifecycle::Ready, Time(0), ZoneId(0), CellId(0), 1.0);
        }
        let remaining: BTreeSet<_> =
            (0..workers).map(|id| WorkerId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect();
        scheduler.list_received(now, Some(&remaining));
        // Ten minutes pass after the other workers have gone.
        for _ in 0..30_000 {
            now = now + Time(200);
            scheduler.timer_fired(now, TICK_TIMER);
        }
        let mut workload = Workload { scheduler, rng: Rand64::new(3), now, last_rpc: 0 };
        (0..20_000).for_each(|_| workload.rpc());
        workload
    }

    fn submit(&mut self) {
        self.last_rpc += 1;
        // Functions are called with frequencies that follow a power law.
        let rank = (FUNCTIONS as f64).powf(self.rng.rand_float()) as u64;
        let function = FunctionId(rank.wrapping_mul(0xbf58_476d_1ce4_e5b9));
        self.scheduler.rpc_received(
            self.now,
            RpcId(self.last_rpc),
            MethodId(0),
            function,
            TenantId(0),
            Time(50_000),
            2.0,
        );
    }

    /// Submits an RPC and answers all open attempts.
    fn rpc(&mut self) {
        self.now = self.now + Time(20);
        if self.last_rpc.is_multiple_of(10) {
            self.scheduler.timer_fired(self.now, TICK_TIMER);
        }
        self.submit();
        for (rpc, worker) in std::mem::take(&mut self.scheduler.host().attempts) {
            let (number, elapsed) = (AttemptNumber(0), Time(400));
            let load_report = [0.4, 3.0, 0.3];
            self.scheduler.attempt_ended(
                self.now,
                rpc,
                number,
                Outcome::Ok,
                elapsed,
                true,
                CopyReport::Warm,
                1,
                &load_report,
            );
            let _ = worker;
        }
    }
}

fn rpcs(c: &mut Criterion) {
    let mut group = c.benchmark_group("an RPC");
    for (name, workers, gone) in
        [("87 workers", 87, 0), ("870 workers", 870, 0), ("87 workers, 5000 long gone", 87, 5_000)]
    {
        let mut workload = Workload::new(workers, gone);
        group.bench_function(name, |b| b.iter(|| workload.rpc()));
    }
    for open in [0, 10_000] {
        let mut workload = Workload::new(870, 0);
        (0..open).for_each(|_| workload.submit());
        workload.scheduler.host().attempts.clear();
        group.bench_function(format!("870 workers, {open} open besides"), |b| b.iter(|| workload.rpc()));
    }
    group.finish();
}

criterion_group!(benches, rpcs);
criterion_main!(benches);
