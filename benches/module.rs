//! What one RPC costs the decision module, from its arrival to its answer: by workers, by workers long gone, by RPCs
//! that are open besides.

use std::collections::BTreeSet;

use criterion::{criterion_group, criterion_main, Criterion};
use curlewpoint::host::Host;
use curlewpoint::scheduler::Scheduler;
use curlewpoint::types::*;
use oorandom::Rand64;
use serde_json::json;

/// Remembers where the last attempt went.
#[derive(Default)]
struct Last {
    calls: Vec<(RpcId, WorkerId)>,
}

impl Host for Last {
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, _: Time) {
        self.calls.push((rpc, worker));
    }
    fn cancel(&mut self, _: RpcId, _: AttemptNumber) {}
    fn deny(&mut self, _: RpcId, _: Time) {}
    fn abort(&mut self, _: RpcId) {}
    fn load(&mut self, _: WorkerId, _: FunctionId, _: u64) {}
    fn unload(&mut self, _: WorkerId, _: FunctionId) {}
    fn probe(&mut self, _: WorkerId) {}
    fn set_timer(&mut self, _: Time, _: TimerId) {}
    fn watch_list(&mut self) {}
    fn log(&mut self, _: &str) {}
}

const TICK: TimerId = TimerId(u64::MAX >> 1);
const FUNCTIONS: u64 = 300;

struct Day {
    module: Scheduler<Last>,
    rng: Rand64,
    now: Time,
    next: u64,
}

impl Day {
    fn new(workers: u64, gone: u64) -> Day {
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
        let mut module = Scheduler::start(Last::default(), 1, settings);
        let mut now = Time(1_000_000);
        for id in 0..workers + gone {
            let id = WorkerId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            module.worker_listed(now, id, Lifecycle::Ready, Time(0), ZoneId(0), CellId(0), 1.0);
        }
        let left: BTreeSet<_> =
            (0..workers).map(|id| WorkerId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect();
        module.list_received(now, Some(&left));
        // Those gone have been so for ten minutes.
        for _ in 0..30_000 {
            now = now + Time(200);
            module.timer_fired(now, TICK);
        }
        let mut day = Day { module, rng: Rand64::new(3), now, next: 0 };
        (0..20_000).for_each(|_| day.rpc());
        day
    }

    fn ask(&mut self) {
        self.next += 1;
        // Functions are asked for unevenly, as a power law has it.
        let rank = (FUNCTIONS as f64).powf(self.rng.rand_float()) as u64;
        let function = FunctionId(rank.wrapping_mul(0xbf58_476d_1ce4_e5b9));
        self.module.rpc_received(
            self.now,
            RpcId(self.next),
            MethodId(0),
            function,
            TenantId(0),
            Time(50_000),
            2.0,
        );
    }

    fn rpc(&mut self) {
        self.now = self.now + Time(20);
        if self.next.is_multiple_of(10) {
            self.module.timer_fired(self.now, TICK);
        }
        self.ask();
        for (rpc, worker) in std::mem::take(&mut self.module.host().calls) {
            let (no, elapsed) = (AttemptNumber(0), Time(400));
            let report = [0.4, 3.0, 0.3];
            self.module.attempt_ended(
                self.now,
                rpc,
                no,
                Outcome::Ok,
                elapsed,
                true,
                CopyReport::Warm,
                1,
                &report,
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
        let mut day = Day::new(workers, gone);
        group.bench_function(name, |b| b.iter(|| day.rpc()));
    }
    for open in [0, 10_000] {
        let mut day = Day::new(870, 0);
        (0..open).for_each(|_| day.ask());
        day.module.host().calls.clear();
        group.bench_function(format!("870 workers, {open} open besides"), |b| b.iter(|| day.rpc()));
    }
    group.finish();
}

criterion_group!(benches, rpcs);
criterion_main!(benches);
