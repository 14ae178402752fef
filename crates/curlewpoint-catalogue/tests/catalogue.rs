//! Stories of a catalogue: what fits, what the documents say, what a release changes.

use std::sync::Arc;

use curlewpoint::types::Time;
use curlewpoint_catalogue::{
    asyncapi, compare, etag, openapi, render, Catalogue, Effect, Method, MethodStatus, Payload, Release,
    Releases, TooManyReleases,
};
use proptest::prelude::*;
use serde_json::{json, Value};
use test_case::test_case;

fn schema() -> Value {
    json!({
        "type": "object",
        "required": ["page"],
        "additionalProperties": false,
        "properties": {"page": {"type": "integer", "minimum": 1, "maximum": 400}, "lang": {"enum": ["tr", "en"]}, "name": {"type": "string", "pattern": "^[A-Z]{1,9}$"}},
    })
}

fn payload(schema: &Value) -> Payload {
    Payload::json("x.json", &schema.to_string()).unwrap()
}

fn method(name: &str, effect: Effect, request: Value, answer: Value) -> Method {
    Method {
        name: name.to_owned(),
        summary: format!("Does {name}."),
        effect,
        soft_deadline: 600.0,
        deadline: 5000.0,
        request: payload(&request),
        answer: payload(&answer),
        examples: vec![json!({"page": 3})],
        since: "1".to_owned(),
        until: None,
        deprecated: None,
        sunset: None,
    }
}

fn catalogue(release: &str, names: &[&str]) -> Catalogue {
    let all = names.iter().map(|n| method(n, Effect::Idempotent, schema(), json!({"type": "object"})));
    Catalogue::new("Registers", release, all.collect()).unwrap()
}

#[test_case(br#"{"page": 3}"#, "" ; "fits")]
#[test_case(br#"{"page": 0}"#, "at '/page'" ; "too small")]
#[test_case(br#"{"page": 1, "more": 2}"#, "more" ; "a key too many")]
#[test_case(br#"{}"#, "page" ; "one too few")]
#[test_case(br#"{"page": 1, "page": 2}"#, "the key 'page' stands twice" ; "a key twice")]
#[test_case(br#"{"page": 1, "p\u0061ge": 2}"#, "the key 'page' stands twice" ; "a key twice, written otherwise")]
#[test_case(br#"{"page": 1e999}"#, "number out of range" ; "a number too large")]
#[test_case(b"{\"page\": \"\xff\"}", "not UTF-8" ; "bytes that are no text")]
#[test_case(br#"{"page": 1"#, "EOF" ; "cut short")]
fn a_body_is_checked_as_the_schema_says(body: &[u8], want: &str) {
    let told = payload(&schema()).check(body);
    assert_eq!(told.is_ok(), want.is_empty(), "{told:?}");
    assert!(told.err().map(|e| e.to_string()).unwrap_or_default().contains(want));
}

#[test]
fn deep_nesting_is_refused_before_it_is_built() {
    let body = "[".repeat(1_000_000);
    let told = payload(&json!({})).check(body.as_bytes()).unwrap_err().to_string();
    assert!(told.contains("nested deeper than 64"), "{told}");
    assert!(payload(&json!({})).check(br#"{"a": "[[[[\"{{{"}"#).is_ok(), "brackets in a text are text");
}

#[test]
fn a_costly_pattern_takes_no_longer_for_a_costly_text() {
    let evil = payload(&json!({"type": "string", "pattern": "^(a+)+$"}));
    let body = format!("\"{}!\"", "a".repeat(50_000));
    let began = std::time::Instant::now();
    assert!(evil.check(body.as_bytes()).is_err());
    assert!(began.elapsed().as_secs() < 5);
    let long = json!({"pattern": "a".repeat(1_001)});
    assert!(Payload::json("x.json", &long.to_string()).is_err_and(|f| f.message.contains("over 1000")));
}

#[test_case(r#"{"type": "objekt"}"#, "at '/type'" ; "no such type")]
#[test_case(r#"{"pattern": "("}"#, "pattern" ; "no pattern")]
#[test_case(r#"{"type": "#, "EOF" ; "no JSON")]
fn a_schema_that_cannot_be_compiled_is_refused_with_its_place(text: &str, want: &str) {
    let fault = Payload::json("read.json", text).err().expect("it is refused");
    assert!(fault.to_string().starts_with("read.json: ") && fault.message.contains(want), "{fault}");
}

#[test]
fn an_example_that_does_not_fit_is_refused_with_its_place() {
    let mut m = method("read", Effect::Idempotent, schema(), json!({}));
    m.examples.push(json!({"page": "three"}));
    let faults = Catalogue::new("x", "1", vec![m]).err().expect("it is refused");
    assert_eq!(faults.len(), 1);
    assert!(faults[0].to_string().contains("method read, example 2: at '/page'"), "{}", faults[0]);
}

#[test]
fn documents_are_the_same_to_the_byte_and_name_every_method() {
    let (a, b) = (catalogue("1", &["read", "issue"]), catalogue("1", &["issue", "read"]));
    for document in [openapi, asyncapi] {
        assert_eq!(render(&document(&a)), render(&document(&b)));
    }
    let (one, two) = (render(&openapi(&a)), render(&openapi(&catalogue("2", &["read", "issue"]))));
    assert_ne!(etag(&one), etag(&two));
    let paths = openapi(&a)["paths"].as_object().unwrap().keys().cloned().collect::<Vec<_>>();
    assert_eq!(paths, ["/v1/issue/{model}", "/v1/read/{model}"]);
    assert!(asyncapi(&a)["channels"]["read"]["address"] == "curlewpoint.read");
}

/// A generated client tells the answers apart by status and by type alike: no two share either.
#[test]
fn the_answers_and_refusals_cannot_be_confused() {
    let document = openapi(&catalogue("1", &["read"]));
    let responses = document["paths"]["/v1/read/{model}"]["post"]["responses"].as_object().unwrap();
    let mut types = Vec::new();
    for (status, response) in responses.iter().filter(|(s, _)| *s != "200") {
        let given = &response["content"]["application/problem+json"]["schema"]["allOf"][1]["properties"];
        assert_eq!(given["status"]["const"].to_string(), *status);
        types.push(given["type"]["const"].as_str().unwrap().to_owned());
    }
    let all = types.len();
    types.sort();
    types.dedup();
    assert_eq!((types.len(), all), (11, 11));
    assert!(
        types.contains(&"/problems/denied".to_owned()) && types.contains(&"/problems/aborted".to_owned())
    );
}

#[test]
fn a_token_is_asked_for_where_the_method_needs_one() {
    let all = vec![
        method("t", Effect::Tokened, schema(), json!({})),
        method("i", Effect::Idempotent, schema(), json!({})),
    ];
    let document = openapi(&Catalogue::new("x", "1", all).unwrap());
    let asks = |m: &str| {
        document["paths"][format!("/v1/{m}/{{model}}")]["post"]["parameters"]
            .to_string()
            .contains("Idempotency-Key")
    };
    assert!(asks("t") && !asks("i"));
}

fn with(request: Value, answer: Value) -> Catalogue {
    let mut m = method("read", Effect::Idempotent, request, answer);
    m.examples.clear();
    Catalogue::new("x", "1", vec![m]).unwrap()
}

const ANSWER: &str = r#"{"type": "object", "required": ["text"], "properties": {"text": {"type": "string", "maxLength": 9}, "kind": {"enum": ["a", "b"]}}}"#;

#[test_case("/required", json!(["page", "lang"]), true, true ; "a request must say more")]
#[test_case("/required", json!([]), true, false ; "a request may say less")]
#[test_case("/properties/lang/enum", json!(["tr"]), true, true ; "a request may say less kinds")]
#[test_case("/properties/lang/enum", json!(["tr", "en", "de"]), true, false ; "a request may say more kinds")]
#[test_case("/properties/page/maximum", json!(9), true, true ; "a request is bounded closer")]
#[test_case("/properties/page/maximum", json!(900), true, false ; "a request is bounded wider")]
#[test_case("/properties/page/type", json!("string"), true, true ; "another type")]
#[test_case("/properties/more", json!({}), true, false ; "a request may say something new")]
#[test_case("/properties/page/description", json!("x"), true, false ; "words aside")]
#[test_case("/required", json!([]), false, true ; "an answer may lack something")]
#[test_case("/properties/kind/enum", json!(["a", "b", "c"]), false, true ; "an answer of a new kind")]
#[test_case("/properties/kind/enum", json!(["a"]), false, false ; "an answer of fewer kinds")]
#[test_case("/properties/text/maxLength", json!(99), false, true ; "a longer answer")]
#[test_case("/properties/more", json!({}), false, false ; "an answer says more")]
fn a_changed_schema_is_sorted(at: &str, to: Value, of_request: bool, breaking: bool) {
    let answer: Value = serde_json::from_str(ANSWER).unwrap();
    let old = with(schema(), answer.clone());
    let (mut request, mut answered) = (schema(), answer);
    let changed = if of_request { &mut request } else { &mut answered };
    match changed.pointer_mut(at) {
        Some(value) => *value = to,
        None => {
            let (parent, name) = at.rsplit_once('/').unwrap();
            changed.pointer_mut(parent).unwrap()[name] = to;
        }
    }
    let changes = compare(&old, &with(request, answered));
    assert_eq!(changes.iter().any(|c| c.breaking), breaking, "{changes:?}");
    assert!(compare(&old, &old).is_empty());
}

#[test]
fn methods_that_come_are_compatible_and_those_that_go_are_not() {
    let changes = compare(&catalogue("1", &["a", "b"]), &catalogue("2", &["b", "c"]));
    let told: Vec<_> = changes.iter().map(|c| (c.method.as_str(), c.breaking)).collect();
    assert_eq!(told, [("a", true), ("c", false)]);
}

fn released(release: &str, names: &[&str]) -> Arc<Catalogue> {
    Arc::new(catalogue(release, names))
}

fn in_force(r: &Releases) -> &str {
    &r.catalogue(r.in_force()).unwrap().release
}

#[test]
fn an_rpc_ends_under_the_catalogue_that_it_was_taken_under() {
    let mut r = Releases::new(released("1", &["a"]), 2, Time(600_000));
    let first = r.accept_rpc();
    r.reload(Time(10), released("2", &["b"])).unwrap();
    assert_eq!((r.catalogue(first).unwrap().release.as_str(), in_force(&r), r.held_count()), ("1", "2", 2));
    let second = r.accept_rpc();
    // Two with RPCs open are the most: the third waits, and the one in force stays.
    assert_eq!(r.reload(Time(20), released("3", &["c"])), Err(TooManyReleases(2)));
    assert_eq!(in_force(&r), "2");
    r.end_rpc(first);
    assert_eq!((r.held_count(), r.catalogue(first).is_none()), (1, true));
    r.reload(Time(30), released("3", &["c"])).unwrap();
    r.end_rpc(second);
    r.end_rpc(second);
    assert_eq!((r.held_count(), in_force(&r)), (1, "3"));
}

#[test]
fn a_withdrawn_method_is_known_as_such_for_a_time_and_may_come_back() {
    let mut r = Releases::new(released("1", &["a", "b"]), 3, Time(1_000));
    r.reload(Time(100), released("2", &["b"])).unwrap();
    assert_eq!(r.method_status(Time(400), "a"), MethodStatus::Withdrawn { ago: Time(300) });
    assert_eq!(
        (r.method_status(Time(400), "b"), r.method_status(Time(400), "z")),
        (MethodStatus::Served, MethodStatus::Unknown)
    );
    assert_eq!(r.method_status(Time(1_100), "a"), MethodStatus::Unknown);
    r.reload(Time(500), released("3", &["a", "b"])).unwrap();
    assert_eq!(r.method_status(Time(600), "a"), MethodStatus::Served);
}

fn bare(release: usize) -> Arc<Catalogue> {
    Arc::new(Catalogue::new("Registers", &release.to_string(), Vec::new()).unwrap())
}

proptest! {
    /// Whatever is taken, ended and reloaded in whatever order: an RPC that is open has its catalogue, no more are held
    /// than may be, and none is held for nothing.
    #[test]
    fn an_open_rpc_never_loses_its_catalogue(steps in proptest::collection::vec(0u8..4, 1..200), most in 1usize..4) {
        let mut r = Releases::new(bare(0), most, Time(1_000));
        let mut open: Vec<(Release, String)> = Vec::new();
        for (no, step) in steps.into_iter().enumerate() {
            match step {
                0 | 1 => {
                    let release = r.accept_rpc();
                    open.push((release, in_force(&r).to_owned()));
                }
                2 if !open.is_empty() => r.end_rpc(open.remove(no % open.len()).0),
                _ => drop(r.reload(Time(no as u64), bare(no + 1))),
            }
            for (release, name) in &open {
                prop_assert_eq!(&r.catalogue(*release).unwrap().release, name);
            }
            let mut wanted: Vec<_> = open.iter().map(|o| o.0).chain([r.in_force()]).collect();
            wanted.sort();
            wanted.dedup();
            prop_assert_eq!(r.held_count(), wanted.len());
            prop_assert!(r.held_count() <= most);
        }
    }
}
