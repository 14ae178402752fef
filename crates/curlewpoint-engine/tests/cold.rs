//! Cold workers under the sum of many schedulers: what all of them together send to one that has just started, in any
//! window that the settings name, and that it is not nothing.

mod wire;

use std::collections::BTreeMap;

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{ClientId, Engine, RequestId};
use oorandom::Rand64;
use serde_json::{json, Map, Value};
use test_case::test_case;
use wire::{Asked, Wire};

const WORKERS: usize = 12;
const WARM_WITHIN: f64 = 10_000.0;
const FALL: f64 = 2_000.0;
const MULTIPLE: f64 = 2.0;
const FROM: f64 = 0.2;
/// Workers start at `COLD`; the story lasts until `END`, in milliseconds.
const COLD: u64 = 12_000;
const END: u64 = 24_000;
const STEP: u64 = 10;

fn settings(instances: usize) -> Map<String, Value> {
    let all = json!({
        "instances": instances,
        "requestClasses": [{"name": "read", "effect": "read_like", "group": "all", "aim": 1000.0, "giveUp": 3000.0,
            "gain": 1.0, "lanes": 4.0}],
        "contract": {"warmWithin": WARM_WITHIN, "fall": FALL, "fallMultiple": MULTIPLE, "startCapacity": FROM},
        "familyInfo": {"keepAlive": 8000.0, "mayOrder": true, "whenAbsent": "load"},
        "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true, "probes": true},
        "loadInfo": {"how": "pull", "names": ["utilization"]},
    });
    all.as_object().expect("an object").clone()
}

struct One {
    engine: Engine<Wire>,
    /// Answers on their way, by the moment at which they come.
    coming: BTreeMap<(Time, RequestId), Outcome>,
    told: bool,
}

fn at(ms: u64) -> Time {
    Time(1_000_000 + ms * 10)
}

impl One {
    fn start(ms: u64, instances: usize, seed: u64, cold: usize) -> One {
        let engine = Engine::start(at(ms), Wire::default(), u128::from(seed), settings(instances));
        let mut one = One { engine, coming: BTreeMap::new(), told: false };
        one.list(ms, 1, if ms >= COLD { cold } else { 0 }, false);
        one
    }

    /// The whole list, with so many workers that started at `COLD`.
    fn list(&mut self, ms: u64, version: u64, cold: usize, others_drain: bool) {
        self.told = cold > 0;
        self.engine.list_begins(1, version, None);
        for no in 0..WORKERS {
            let age = (no < cold).then(|| at(ms) - at(COLD));
            let (name, start) = (format!("w{no}"), u64::from(no < cold));
            let standing = if others_drain && no >= cold { Lifecycle::Draining } else { Lifecycle::Ready };
            self.engine.list_row(at(ms), &name, "there", standing, start, age, "z", "c", 1.0);
        }
        self.engine.list_ends(at(ms));
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Then {
    AllToldAtOnce,
    SomeToldLate,
    AllRestarted,
    /// All demand there is comes to the cold workers at once.
    OthersDrain,
}

/// Plays so many schedulers that take so many RPCs a second together, of which each wants another function, so that a
/// cold worker is wanted as much as any. Returns the moments at which each cold worker was sent something by those who
/// had been told of its start, in milliseconds from it.
fn play(instances: usize, a_second: f64, cold: usize, then: Then, seed: u64) -> Vec<Vec<u64>> {
    let mut rng = Rand64::new(u128::from(seed));
    let mut all: Vec<One> =
        (0..instances as u64).map(|no| One::start(0, instances, seed * 1_000 + no, cold)).collect();
    let names: BTreeMap<WorkerId, usize> =
        (0..cold).map(|no| (WorkerId(xxhash_rust::xxh3::xxh3_64(format!("w{no}").as_bytes())), no)).collect();
    let mut sent = vec![Vec::new(); cold];
    let (mut tag, mut due) = (0, 0.0);
    for ms in (0..END).step_by(STEP as usize) {
        let now = at(ms);
        for (no, one) in all.iter_mut().enumerate() {
            let late = if then == Then::SomeToldLate { (no as u64 * 37) % 3_000 } else { 0 };
            if !one.told && ms >= COLD + late {
                one.list(ms, 2, cold, then == Then::OthersDrain);
            }
            // Restarted one after the other within a second.
            if then == Then::AllRestarted && ms / STEP == (COLD + 1_000 + (no as u64 * 31) % 1_000) / STEP {
                *one = One::start(ms, instances, seed * 2_000 + no as u64, cold);
            }
            while let Some((&(when, id), _)) =
                one.coming.first_key_value().filter(|((when, _), _)| *when <= now)
            {
                let outcome = one.coming.remove(&(when, id)).expect("it was first");
                let copy = if outcome == Outcome::Ok { CopyReport::Warm } else { CopyReport::Unreported };
                one.engine.request_ended(now, id, outcome, copy, 0, 1, vec![0.5], Bytes::new());
            }
            if one.engine.next_wake().is_some_and(|wake| wake <= now) {
                one.engine.advance(now);
            }
        }
        while due <= ms as f64 {
            due += -1_000.0 / a_second * (1.0 - rng.rand_float()).ln();
            tag += 1;
            let one = &mut all[rng.rand_range(0..instances as u64) as usize];
            let model = format!("m{tag}");
            let from = (ClientId(1), tag);
            let _ =
                one.engine.submit_rpc(now, from, "read", &model, "", Time(30_000), None, None, Bytes::new());
        }
        for one in &mut all {
            for (when, id, worker, _, asked) in std::mem::take(&mut one.engine.driver().sent) {
                let attempt = asked == Asked::Attempt;
                // One in ten is turned away, and goes to another worker.
                let full = attempt && rng.rand_float() < 0.1;
                let (takes, outcome) = if full { (10, Outcome::Full) } else { (100, Outcome::Ok) };
                one.coming.insert((when + Time(takes * 10), id), outcome);
                if let Some(&no) = names.get(&worker).filter(|_| attempt && one.told) {
                    sent[no].push((when - at(COLD)).0 / 10);
                }
            }
        }
    }
    sent
}

/// What the settings allow a worker in the window that begins at `from`, by what warm ones of its size take.
fn budget(from: f64, taken_a_second: f64) -> f64 {
    let capacity = |age: f64| (FROM + (1.0 - FROM) * age / WARM_WITHIN).min(1.0);
    MULTIPLE * (capacity(from) + capacity(from + FALL)) / 2.0 * FALL / 1_000.0 * taken_a_second
        / WORKERS as f64
}

/// Guards against schedulers that push a cold worker over together: thirty with many requests each did, as each could use
/// a slot late, the next at once, and more as slots grew shorter. Beyond a budget of N only 2 x root of N + 2 is
/// chance, in any window; and where the demand is there at least half of it is used.
#[test_case(1, 60.0, 1, Then::AllToldAtOnce ; "one scheduler")]
#[test_case(20, 60.0, 1, Then::AllToldAtOnce ; "twenty, few requests")]
#[test_case(20, 600.0, 1, Then::AllToldAtOnce ; "twenty, many requests")]
#[test_case(30, 300.0, 1, Then::AllToldAtOnce ; "thirty")]
#[test_case(30, 300.0, 1, Then::SomeToldLate ; "thirty, some told late")]
#[test_case(30, 300.0, 1, Then::AllRestarted ; "thirty, all restarted")]
#[test_case(30, 300.0, 4, Then::AllToldAtOnce ; "thirty, a zone of four")]
#[test_case(300, 300.0, 1, Then::AllToldAtOnce ; "three hundred, few requests")]
#[test_case(300, 900.0, 1, Then::AllToldAtOnce ; "three hundred, many requests")]
#[test_case(300, 900.0, 4, Then::SomeToldLate ; "three hundred, a zone of four, some told late")]
#[test_case(1, 60.0, 4, Then::OthersDrain ; "one scheduler, others drain")]
#[test_case(30, 300.0, 4, Then::OthersDrain ; "thirty, others drain")]
#[test_case(30, 600.0, 4, Then::OthersDrain ; "thirty, many requests, others drain")]
#[test_case(300, 900.0, 4, Then::OthersDrain ; "three hundred, others drain")]
#[test_case(300, 900.0, 4, Then::AllRestarted ; "three hundred, a zone of four, all restarted")]
fn all_schedulers_together_keep_to_a_cold_workers_budget(
    instances: usize, a_second: f64, cold: usize, then: Then,
) {
    for seed in 1..=3 {
        let (mut most, mut used, mut allowed) = (f64::MIN, 0.0, 0.0);
        for sent in play(instances, a_second, cold, then, seed) {
            // Windows that end while it is cold; warm, it bears what any does.
            let cold_from = sent.iter().enumerate().filter(|(_, from)| **from as f64 + FALL <= WARM_WITHIN);
            for (no, &from) in cold_from {
                let n = budget(from as f64, a_second);
                let there = sent[no..].iter().take_while(|&&ms| ms < from + FALL as u64).count() as f64;
                most = most.max(there - n - 2.0 * n.sqrt() - 2.0);
                assert!(
                    there <= n + 2.0 * n.sqrt() + 2.0,
                    "seed {seed}: {there} in the window from {from} ms, budget {n:.1}"
                );
            }
            let until = WARM_WITHIN as u64;
            used += sent.iter().filter(|&&ms| ms < until).count() as f64;
            allowed += (0..until / FALL as u64).map(|w| budget(w as f64 * FALL, a_second)).sum::<f64>();
        }
        println!(
            "{instances} schedulers, {a_second} a second, seed {seed}: nearest {most:.1}, used {:.2}",
            used / allowed
        );
        assert!(
            used >= 0.5 * allowed || then != Then::OthersDrain,
            "seed {seed}: {used} of {allowed:.0} used"
        );
    }
}
