//! What a scheduler is told at its start: a key that cannot be used is named, and nothing is started.

use curlewpoint_platform::startup;
use serde_json::{json, Value};
use test_case::test_case;

fn file() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "7", "resolver": "127.0.0.1:9", "settings": {},
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "known": {"cursor": 0, "cmds": []}})
}

#[test_case("/limits/sockets", json!(0), "limits.sockets" ; "no descriptors")]
#[test_case("/limits/sockets", json!("256"), "limits.sockets" ; "descriptors of another type")]
#[test_case("/limits/sockets", json!(-1), "limits.sockets" ; "descriptors below nought")]
#[test_case("/limits/memory_mb", json!(0), "limits.memory_mb" ; "no memory")]
#[test_case("/limits/memory_mb", json!(null), "limits.memory_mb" ; "memory absent")]
#[test_case("/listen", json!("here"), "listen" ; "an address that is none")]
#[test_case("/resolver", json!(7), "resolver" ; "a resolver of another type")]
#[test_case("/seed", json!("xyz"), "seed" ; "a seed that is none")]
#[test_case("/settings", json!([]), "settings" ; "settings of another type")]
fn a_key_that_cannot_be_used_is_named(key: &str, value: Value, named: &str) {
    let mut file = file();
    assert!(startup::parse(&file.to_string()).is_ok());
    *file.pointer_mut(key).expect("it is there") = value;
    let why = startup::parse(&file.to_string()).err().expect("it cannot be used").to_string();
    assert!(why.contains(&format!("'{named}'")) && !why.contains('\n'), "{why}");
}

#[test_case(json!(1e300) ; "huge")]
#[test_case(json!(64.0) ; "with a point")]
fn odd_but_legal_limits_are_survived(memory: Value) {
    let mut file = file();
    file["limits"]["memory_mb"] = memory;
    let _ = startup::parse(&file.to_string());
}
