//! Cold workers under the combined load of many schedulers: what all of them send to a worker that has just started,
//! in any window given by the settings, is within its budget and uses a good part of it.

mod recording_driver;

use std::collections::BTreeMap;

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{ClientId, Engine, RequestId};
use oorandom::Rand64;
use recording_driver::{RecordingDriver, RequestKind};
use serde_json::{json, Map, Value};
use test_case::test_case;

const WORKERS: usize = 12;
const WARM_WITHIN_MS: f64 = 10_000.0;
const FALL_WINDOW_MS: f64 = 2_000.0;
const FALL_MULTIPLE: f64 = 2.0;
const START_CAPACITY: f64 = 0.2;
/// The time at which the cold workers start.
const COLD_START_MS: u64 = 12_000;
const END_MS: u64 = 24_000;
const STEP_MS: u64 = 10;

fn settings(instances: usize) -> Map<String, Value> {
    let all = json!({
        "instances": instances,
        "requestClasses": [{"name": "read", "effect": "read_like", "group": "all", "aim": 1000.0, "giveUp": 3000.0,
            "gain": 1.0, "lanes": 4.0}],
        "contract": {"warmWithin": WARM_WITHIN_MS, "fall": FALL_WINDOW_MS, "fallMultiple": FALL_MULTIPLE, "startCapacity": START_CAPACITY},
        "familyInfo": {"keepAlive": 8000.0, "mayOrder": true, "whenAbsent": "load"},
        "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true, "probes": true},
        "loadInfo": {"how": "pull", "names": ["utilization"]},
    });
    all.as_object().expect("an object").clone()
}

/// One of the simulated schedulers.
struct SimScheduler {
    engine: Engine<RecordingDriver>,
    /// Ends of requests to be delivered, by time.
    pending_ends: BTreeMap<(Time, RequestId), Outcome>,
    /// It has received the list with the cold workers' start.
    notified: bool,
}

fn at(ms: u64) -> Time {
    Time(1_000_000 + ms * 10)
}

impl SimScheduler {
    fn start(ms: u64, instances: usize, seed: u64, cold: usize) -> SimScheduler {
        let engine = Engine::start(at(ms), RecordingDriver::default(), u128::from(seed), settings(instances));
        let mut scheduler = SimScheduler { engine, pending_ends: BTreeMap::new(), notified: false };
        scheduler.list(ms, 1, if ms >= COLD_START_MS { cold } else { 0 }, false);
        scheduler
    }

    /// Delivers a full list in which the first `cold` workers started at `COLD_START_MS`.
    fn list(&mut self, ms: u64, version: u64, cold: usize, others_drain: bool) {
        self.notified = cold > 0;
        self.engine.list_begin_received(1, version, None);
        for index in 0..WORKERS {
            let age = (index < cold).then(|| at(ms) - at(COLD_START_MS));
            let (name, start) = (format!("w{index}"), u64::from(index < cold));
            let lifecycle =
                if others_drain && index >= cold { Lifecycle::Draining } else { Lifecycle::Ready };
            self.engine.list_entry_received(at(ms), &name, "addr", lifecycle, start, age, "z", "c", 1.0);
        }
        self.engine.list_end_received(at(ms));
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    AllNotifiedAtOnce,
    SomeNotifiedLate,
    AllRestarted,
    /// The other workers drain, so that all demand goes to the cold ones at once.
    OthersDrain,
}

/// Simulates `instances` schedulers that together accept `rpcs_per_s` RPCs per second. Each RPC asks for another
/// function, so that a cold worker is preferred as often as any. Returns for each cold worker the times, in
/// milliseconds from its start, at which schedulers that had been notified of its start sent it an attempt.
fn simulate(instances: usize, rpcs_per_s: f64, cold: usize, scenario: Scenario, seed: u64) -> Vec<Vec<u64>> {
    let mut rng = Rand64::new(u128::from(seed));
    let mut schedulers: Vec<SimScheduler> = (0..instances as u64)
        .map(|index| SimScheduler::start(0, instances, seed * 1_000 + index, cold))
        .collect();
    let cold_workers: BTreeMap<WorkerId, usize> = (0..cold)
        .map(|index| (WorkerId(xxhash_rust::xxh3::xxh3_64(format!("w{index}").as_bytes())), index))
        .collect();
    let mut sent = vec![Vec::new(); cold];
    let (mut tag, mut next_rpc_ms) = (0, 0.0);
    for ms in (0..END_MS).step_by(STEP_MS as usize) {
        let now = at(ms);
        for (index, scheduler) in schedulers.iter_mut().enumerate() {
            let late = if scenario == Scenario::SomeNotifiedLate { (index as u64 * 37) % 3_000 } else { 0 };
            if !scheduler.notified && ms >= COLD_START_MS + late {
                scheduler.list(ms, 2, cold, scenario == Scenario::OthersDrain);
            }
            // Schedulers restart one after the other within a second.
            if scenario == Scenario::AllRestarted
                && ms / STEP_MS == (COLD_START_MS + 1_000 + (index as u64 * 31) % 1_000) / STEP_MS
            {
                *scheduler = SimScheduler::start(ms, instances, seed * 2_000 + index as u64, cold);
            }
            while let Some((&(when, id), _)) =
                scheduler.pending_ends.first_key_value().filter(|((when, _), _)| *when <= now)
            {
                let outcome = scheduler.pending_ends.remove(&(when, id)).expect("it was the first");
                let copy = if outcome == Outcome::Ok { CopyReport::Warm } else { CopyReport::Unreported };
                scheduler.engine.request_ended(now, id, outcome, copy, 0, 1, vec![0.5], Bytes::new());
            }
            if scheduler.engine.next_wake().is_some_and(|wake| wake <= now) {
                scheduler.engine.advance(now);
            }
        }
        while next_rpc_ms <= ms as f64 {
            next_rpc_ms += -1_000.0 / rpcs_per_s * (1.0 - rng.rand_float()).ln();
            tag += 1;
            let scheduler = &mut schedulers[rng.rand_range(0..instances as u64) as usize];
            let model = format!("m{tag}");
            let from = (ClientId(1), tag);
            let _ = scheduler.engine.submit_rpc(
                now,
                from,
                "read",
                &model,
                "",
                Time(30_000),
                None,
                None,
                Bytes::new(),
            );
        }
        for scheduler in &mut schedulers {
            for (when, id, worker, _, kind) in std::mem::take(&mut scheduler.engine.driver().sent) {
                let is_attempt = kind == RequestKind::Attempt;
                // One attempt in ten is answered as full and goes to another worker.
                let full = is_attempt && rng.rand_float() < 0.1;
                let (duration_ms, outcome) = if full { (10, Outcome::Full) } else { (100, Outcome::Ok) };
                scheduler.pending_ends.insert((when + Time(duration_ms * 10), id), outcome);
                if let Some(&index) = cold_workers.get(&worker).filter(|_| is_attempt && scheduler.notified) {
                    sent[index].push((when - at(COLD_START_MS)).0 / 10);
                }
            }
        }
    }
    sent
}

/// The attempts that the settings allow a cold worker in the window that begins at `from`, given the warm workers'
/// rate.
fn budget(from: f64, rpcs_per_s: f64) -> f64 {
    let capacity = |age: f64| (START_CAPACITY + (1.0 - START_CAPACITY) * age / WARM_WITHIN_MS).min(1.0);
    FALL_MULTIPLE * (capacity(from) + capacity(from + FALL_WINDOW_MS)) / 2.0 * FALL_WINDOW_MS / 1_000.0
        * rpcs_per_s
        / WORKERS as f64
}

/// Guards against schedulers that together overload a cold worker. Thirty schedulers with many requests each did:
/// each could use one slot late and the next at once, and more as slots grew shorter. With a budget of N per window,
/// up to 2 * sqrt(N) + 2 more is attributed to chance; and if there is enough demand, at least half the budget is
/// used.
#[test_case(1, 60.0, 1, Scenario::AllNotifiedAtOnce ; "one scheduler")]
#[test_case(20, 60.0, 1, Scenario::AllNotifiedAtOnce ; "twenty, few requests")]
#[test_case(20, 600.0, 1, Scenario::AllNotifiedAtOnce ; "twenty, many requests")]
#[test_case(30, 300.0, 1, Scenario::AllNotifiedAtOnce ; "thirty")]
#[test_case(30, 300.0, 1, Scenario::SomeNotifiedLate ; "thirty, some notified late")]
#[test_case(30, 300.0, 1, Scenario::AllRestarted ; "thirty, all restarted")]
#[test_case(30, 300.0, 4, Scenario::AllNotifiedAtOnce ; "thirty, a zone of four")]
#[test_case(300, 300.0, 1, Scenario::AllNotifiedAtOnce ; "three hundred, few requests")]
#[test_case(300, 900.0, 1, Scenario::AllNotifiedAtOnce ; "three hundred, many requests")]
#[test_case(300, 900.0, 4, Scenario::SomeNotifiedLate ; "three hundred, a zone of four, some notified late")]
#[test_case(1, 60.0, 4, Scenario::OthersDrain ; "one scheduler, others drain")]
#[test_case(30, 300.0, 4, Scenario::OthersDrain ; "thirty, others drain")]
#[test_case(30, 600.0, 4, Scenario::OthersDrain ; "thirty, many requests, others drain")]
#[test_case(300, 900.0, 4, Scenario::OthersDrain ; "three hundred, others drain")]
#[test_case(300, 900.0, 4, Scenario::AllRestarted ; "three hundred, a zone of four, all restarted")]
fn all_schedulers_together_keep_a_cold_workers_budget(
    instances: usize, rpcs_per_s: f64, cold: usize, scenario: Scenario,
) {
    for seed in 1..=3 {
        let (mut max_excess, mut used, mut allowed) = (f64::MIN, 0.0, 0.0);
        for sent in simulate(instances, rpcs_per_s, cold, scenario, seed) {
            // Only windows that end while the worker is cold; afterwards it is a worker like any other.
            let cold_windows =
                sent.iter().enumerate().filter(|(_, from)| **from as f64 + FALL_WINDOW_MS <= WARM_WITHIN_MS);
            for (index, &from) in cold_windows {
                let n = budget(from as f64, rpcs_per_s);
                let in_window =
                    sent[index..].iter().take_while(|&&ms| ms < from + FALL_WINDOW_MS as u64).count() as f64;
                max_excess = max_excess.max(in_window - n - 2.0 * n.sqrt() - 2.0);
                assert!(
                    in_window <= n + 2.0 * n.sqrt() + 2.0,
                    "seed {seed}: {in_window} attempts in the window from {from} ms, budget {n:.1}"
                );
            }
            let until = WARM_WITHIN_MS as u64;
            used += sent.iter().filter(|&&ms| ms < until).count() as f64;
            allowed += (0..until / FALL_WINDOW_MS as u64)
                .map(|w| budget(w as f64 * FALL_WINDOW_MS, rpcs_per_s))
                .sum::<f64>();
        }
        println!(
            "{instances} schedulers, {rpcs_per_s} RPCs per second, seed {seed}: nearest to the limit {max_excess:.1}, used {:.2}",
            used / allowed
        );
        assert!(
            used >= 0.5 * allowed || scenario != Scenario::OthersDrain,
            "seed {seed}: {used} of {allowed:.0} attempts used"
        );
    }
}
