//! Startup configuration: an error names the key that is missing or invalid.

use curlewpoint_platform::startup;
use serde_json::{json, Value};
use test_case::test_case;

fn config() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "7", "resolver": "127.0.0.1:9", "settings": {},
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "known": {"cursor": 0, "cmds": []}})
}

#[test_case("/limits/sockets", json!(0), "limits.sockets" ; "zero descriptors")]
#[test_case("/limits/sockets", json!("256"), "limits.sockets" ; "descriptors of another type")]
#[test_case("/limits/sockets", json!(-1), "limits.sockets" ; "a negative number of descriptors")]
#[test_case("/limits/memory_mb", json!(0), "limits.memory_mb" ; "zero memory")]
#[test_case("/limits/memory_mb", json!(null), "limits.memory_mb" ; "memory absent")]
#[test_case("/listen", json!("here"), "listen" ; "not an address")]
#[test_case("/resolver", json!(7), "resolver" ; "a resolver of another type")]
#[test_case("/seed", json!("xyz"), "seed" ; "not a hex seed")]
#[test_case("/settings", json!([]), "settings" ; "settings of another type")]
fn an_invalid_key_is_named_in_the_error(pointer: &str, value: Value, key: &str) {
    let mut config = config();
    assert!(startup::parse(&config.to_string()).is_ok());
    *config.pointer_mut(pointer).expect("the key exists") = value;
    let error = startup::parse(&config.to_string()).err().expect("an error").to_string();
    assert!(error.contains(&format!("'{key}'")) && !error.contains('\n'), "{error}");
}

#[test_case(json!(1e300) ; "huge")]
#[test_case(json!(64.0) ; "a float")]
fn unusual_numbers_do_not_panic(memory: Value) {
    let mut config = config();
    config["limits"]["memory_mb"] = memory;
    let _ = startup::parse(&config.to_string());
}
