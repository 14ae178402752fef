//! A release on a quiet day: copies of four functions in ten go void at once, and nothing else fails.

mod wire;

use std::collections::BTreeMap;

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{Answer, ClientId, Engine, RequestId};
use oorandom::Rand64;
use serde_json::{json, Map, Value};
use test_case::test_case;
use wire::{Asked, Wire};

const FLOOR: f64 = 6.0;
const SHARE: f64 = 0.2;
const WITHIN_MS: u64 = 5_000;

fn settings(absent: &str) -> Map<String, Value> {
    let all = json!({
        "instances": 1,
        "requestClasses": [{"name": "read", "effect": "read_like", "group": "all", "aim": 500.0, "giveUp": 3000.0,
            "gain": 1.0, "lanes": 4.0}],
        "contract": {"warmWithin": 10_000.0, "fall": 2_000.0, "fallMultiple": 2.0, "startCapacity": 0.2},
        "familyInfo": {"keepAlive": 10_000.0, "mayOrder": true, "whenAbsent": absent, "loadFloor": FLOOR,
            "loadShare": SHARE, "loadsWithin": WITHIN_MS as f64},
        "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true},
    });
    all.as_object().expect("an object").clone()
}

fn at(ms: u64) -> Time {
    Time(1_000_000 + ms * 10)
}

/// Guards against beliefs of copies that went void: each is found out by a few answers, loads stay within the ration, and
/// service is back within three times a load.
#[test_case("load" ; "a worker loads what it lacks")]
#[test_case("miss" ; "a worker turns away what it lacks")]
fn a_release_is_over_within_a_few_answers(absent: &str) {
    const LOAD_MS: u64 = 800;
    const RELEASE: u64 = 10_000;
    let mut engine = Engine::start(at(0), Wire::default(), 7, settings(absent));
    engine.list_begins(1, 1, None);
    for no in 0..8 {
        let name = format!("w{no}");
        engine.list_row(at(0), &name, "there", Lifecycle::Ready, 0, None, "z", "c", 1.0);
    }
    engine.list_ends(at(0));
    let mut rng = Rand64::new(3);
    // When a copy stands, by worker and function; what comes back when.
    let mut copies: BTreeMap<(WorkerId, String), u64> = BTreeMap::new();
    let mut coming: BTreeMap<(u64, RequestId), (Outcome, CopyReport)> = BTreeMap::new();
    let (mut begun, mut orders, mut misses) = (BTreeMap::new(), Vec::new(), 0);
    let (mut late, mut last_late, mut taken) = (0, 0, Vec::new());
    for ms in (0..20_000u64).step_by(5) {
        if ms == RELEASE {
            copies.retain(|(_, model), _| !["m0", "m1", "m2", "m3"].contains(&model.as_str()));
        }
        while let Some((&(when, id), _)) = coming.first_key_value().filter(|((when, _), _)| *when <= ms) {
            let (outcome, copy) = coming.remove(&(when, id)).expect("it was first");
            engine.request_ended(at(ms), id, outcome, copy, 0, 1, Vec::new(), Bytes::new());
        }
        engine.advance(at(ms));
        if ms % 20 == 0 {
            let (tag, model) = (ms / 20, format!("m{}", rng.rand_range(0..10)));
            begun.insert(tag, ms);
            taken.push(ms);
            let from = (ClientId(1), tag);
            engine
                .submit_rpc(at(ms), from, "read", &model, "", Time(30_000), None, None, Bytes::new())
                .unwrap();
        }
        for (_, id, worker, model, asked) in std::mem::take(&mut engine.driver().sent) {
            let order = asked == Asked::Load;
            let stands = copies.get(&(worker, model.clone())).copied();
            if order {
                orders.push(ms);
            }
            if stands.is_none() && !order && absent == "miss" {
                misses += usize::from(ms >= RELEASE);
                coming.insert((ms + 5, id), (Outcome::Miss, CopyReport::Unreported));
                continue;
            }
            let ready = *copies.entry((worker, model)).or_insert(ms + LOAD_MS);
            let copy = match stands {
                None => CopyReport::BeganLoad,
                Some(ready) if ready > ms => CopyReport::WaitedForLoad,
                Some(_) => CopyReport::Warm,
            };
            coming.insert((ready.max(ms) + if order { 0 } else { 50 }, id), (Outcome::Ok, copy));
        }
        for (tag, answer) in std::mem::take(&mut engine.driver().answers) {
            if answer != Answer::Ok || ms - begun[&tag] > 500 {
                (late, last_late) = (late + usize::from(ms >= RELEASE), ms);
            }
        }
    }
    println!(
        "{absent}: {late} late after the release, the last {} ms after it; {misses} misses",
        last_late - RELEASE
    );
    assert!(last_late >= RELEASE, "the release is felt, or nothing is tried here");
    assert!(
        last_late - RELEASE <= 3 * LOAD_MS,
        "the last late answer came {} ms after it",
        last_late - RELEASE
    );
    assert!(misses <= 4 * 3, "{misses} misses for four functions");
    for (no, &order) in orders.iter().enumerate() {
        let since = order.saturating_sub(WITHIN_MS);
        let (orders, rpcs) = (
            orders[..=no].iter().filter(|ms| **ms > since).count() as f64,
            taken.iter().filter(|ms| (since..=order).contains(*ms)).count() as f64,
        );
        assert!(
            orders <= FLOOR + SHARE * rpcs,
            "{orders} orders, {rpcs} RPCs in the window until {order} ms"
        );
    }
}
