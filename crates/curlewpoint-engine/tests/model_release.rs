//! A release of new models: the copies of four functions in ten become invalid at once, and nothing else fails.

mod recording_driver;

use std::collections::BTreeMap;

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{Answer, ClientId, Engine, RequestId};
use oorandom::Rand64;
use recording_driver::{RecordingDriver, RequestKind};
use serde_json::{json, Map, Value};
use test_case::test_case;

const LOAD_FLOOR: f64 = 6.0;
const LOAD_SHARE: f64 = 0.2;
const LOAD_WINDOW_MS: u64 = 5_000;

fn settings(when_absent: &str) -> Map<String, Value> {
    let all = json!({
        "instances": 1,
        "requestClasses": [{"name": "read", "effect": "read_like", "group": "all", "aim": 500.0, "giveUp": 3000.0,
            "gain": 1.0, "lanes": 4.0}],
        "contract": {"warmWithin": 10_000.0, "fall": 2_000.0, "fallMultiple": 2.0, "startCapacity": 0.2},
        "familyInfo": {"keepAlive": 10_000.0, "mayOrder": true, "whenAbsent": when_absent, "loadFloor": LOAD_FLOOR,
            "loadShare": LOAD_SHARE, "loadsWithin": LOAD_WINDOW_MS as f64},
        "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true},
    });
    all.as_object().expect("an object").clone()
}

fn at(ms: u64) -> Time {
    Time(1_000_000 + ms * 10)
}

/// Guards against beliefs in copies that no longer exist: each is corrected by a few answers, loads stay within their
/// ration, and answers are on time again within three times the duration of a load.
#[test_case("load" ; "a worker loads a missing copy")]
#[test_case("miss" ; "a worker answers miss without a copy")]
fn service_recovers_from_a_release_within_three_loads(when_absent: &str) {
    const LOAD_MS: u64 = 800;
    const RELEASE_MS: u64 = 10_000;
    let mut engine = Engine::start(at(0), RecordingDriver::default(), 7, settings(when_absent));
    engine.list_begin_received(1, 1, None);
    for index in 0..8 {
        let name = format!("w{index}");
        engine.list_entry_received(at(0), &name, "addr", Lifecycle::Ready, 0, None, "z", "c", 1.0);
    }
    engine.list_end_received(at(0));
    let mut rng = Rand64::new(3);
    // The time at which each copy is ready, by worker and function; the pending ends of requests by time.
    let mut copies: BTreeMap<(WorkerId, String), u64> = BTreeMap::new();
    let mut pending_ends: BTreeMap<(u64, RequestId), (Outcome, CopyReport)> = BTreeMap::new();
    let (mut started, mut orders, mut misses) = (BTreeMap::new(), Vec::new(), 0);
    let (mut late, mut last_late, mut rpcs) = (0, 0, Vec::new());
    for ms in (0..20_000u64).step_by(5) {
        if ms == RELEASE_MS {
            copies.retain(|(_, model), _| !["m0", "m1", "m2", "m3"].contains(&model.as_str()));
        }
        while let Some((&(when, id), _)) = pending_ends.first_key_value().filter(|((when, _), _)| *when <= ms)
        {
            let (outcome, copy) = pending_ends.remove(&(when, id)).expect("it was the first");
            engine.request_ended(at(ms), id, outcome, copy, 0, 1, Vec::new(), Bytes::new());
        }
        engine.advance(at(ms));
        if ms % 20 == 0 {
            let (tag, model) = (ms / 20, format!("m{}", rng.rand_range(0..10)));
            started.insert(tag, ms);
            rpcs.push(ms);
            let from = (ClientId(1), tag);
            engine
                .submit_rpc(at(ms), from, "read", &model, "", Time(30_000), None, None, Bytes::new())
                .unwrap();
        }
        for (_, id, worker, model, kind) in std::mem::take(&mut engine.driver().sent) {
            let is_load_order = kind == RequestKind::Load;
            let ready_at = copies.get(&(worker, model.clone())).copied();
            if is_load_order {
                orders.push(ms);
            }
            if ready_at.is_none() && !is_load_order && when_absent == "miss" {
                misses += usize::from(ms >= RELEASE_MS);
                pending_ends.insert((ms + 5, id), (Outcome::Miss, CopyReport::Unreported));
                continue;
            }
            let ready = *copies.entry((worker, model)).or_insert(ms + LOAD_MS);
            let copy = match ready_at {
                None => CopyReport::BeganLoad,
                Some(ready) if ready > ms => CopyReport::WaitedForLoad,
                Some(_) => CopyReport::Warm,
            };
            pending_ends
                .insert((ready.max(ms) + if is_load_order { 0 } else { 50 }, id), (Outcome::Ok, copy));
        }
        for (tag, answer) in std::mem::take(&mut engine.driver().answers) {
            if answer != Answer::Ok || ms - started[&tag] > 500 {
                (late, last_late) = (late + usize::from(ms >= RELEASE_MS), ms);
            }
        }
    }
    println!(
        "{when_absent}: {late} late answers after the release, the last {} ms after it; {misses} misses",
        last_late - RELEASE_MS
    );
    assert!(last_late >= RELEASE_MS, "the release has no effect, so the test tests nothing");
    assert!(
        last_late - RELEASE_MS <= 3 * LOAD_MS,
        "the last late answer came {} ms after the release",
        last_late - RELEASE_MS
    );
    assert!(misses <= 4 * 3, "{misses} misses for four functions");
    for (index, &order) in orders.iter().enumerate() {
        let since = order.saturating_sub(LOAD_WINDOW_MS);
        let (orders_in_window, rpcs_in_window) = (
            orders[..=index].iter().filter(|ms| **ms > since).count() as f64,
            rpcs.iter().filter(|ms| (since..=order).contains(*ms)).count() as f64,
        );
        assert!(
            orders_in_window <= LOAD_FLOOR + LOAD_SHARE * rpcs_in_window,
            "{orders_in_window} orders, {rpcs_in_window} RPCs in the window until {order} ms"
        );
    }
}
