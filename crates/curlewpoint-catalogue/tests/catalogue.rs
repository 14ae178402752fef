//! Tests body validation, generated documents, comparison of catalogues and release tracking.

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
#[test_case(br#"{"page": 1, "more": 2}"#, "more" ; "an unknown key")]
#[test_case(br#"{}"#, "page" ; "a missing key")]
#[test_case(br#"{"page": 1, "page": 2}"#, "the key 'page' stands twice" ; "a duplicate key")]
#[test_case(br#"{"page": 1, "p\u0061ge": 2}"#, "the key 'page' stands twice" ; "a duplicate key, written with an escape")]
#[test_case(br#"{"page": 1e999}"#, "number out of range" ; "a number too large")]
#[test_case(b"{\"page\": \"\xff\"}", "not UTF-8" ; "invalid UTF-8")]
#[test_case(br#"{"page": 1"#, "EOF" ; "truncated")]
fn a_body_is_validated_against_its_schema(body: &[u8], want: &str) {
    let outcome = payload(&schema()).check(body);
    assert_eq!(outcome.is_ok(), want.is_empty(), "{outcome:?}");
    assert!(outcome.err().map(|e| e.to_string()).unwrap_or_default().contains(want));
}

#[test]
fn deep_nesting_is_rejected_while_parsing() {
    let body = "[".repeat(1_000_000);
    let outcome = payload(&json!({})).check(body.as_bytes()).unwrap_err().to_string();
    assert!(outcome.contains("nested deeper than 64"), "{outcome}");
    assert!(payload(&json!({})).check(br#"{"a": "[[[[\"{{{"}"#).is_ok(), "brackets in a string do not nest");
}

#[test]
fn a_backtracking_pattern_matches_in_linear_time() {
    let backtracking = payload(&json!({"type": "string", "pattern": "^(a+)+$"}));
    let body = format!("\"{}!\"", "a".repeat(50_000));
    let started_at = std::time::Instant::now();
    assert!(backtracking.check(body.as_bytes()).is_err());
    assert!(started_at.elapsed().as_secs() < 5);
    let long = json!({"pattern": "a".repeat(1_001)});
    assert!(Payload::json("x.json", &long.to_string())
        .is_err_and(|f| f.message.contains("exceeds the limit of 1000")));
}

#[test_case(r#"{"type": "objekt"}"#, "at '/type'" ; "unknown type")]
#[test_case(r#"{"pattern": "("}"#, "pattern" ; "invalid pattern")]
#[test_case(r#"{"type": "#, "EOF" ; "invalid JSON")]
fn an_invalid_schema_is_rejected_with_its_location(text: &str, want: &str) {
    let error = Payload::json("read.json", text).err().expect("it is rejected");
    assert!(error.to_string().starts_with("read.json: ") && error.message.contains(want), "{error}");
}

#[test]
fn an_example_that_does_not_match_is_rejected_with_its_location() {
    let mut m = method("read", Effect::Idempotent, schema(), json!({}));
    m.examples.push(json!({"page": "three"}));
    let errors = Catalogue::new("x", "1", vec![m]).err().expect("it is rejected");
    assert_eq!(errors.len(), 1);
    assert!(errors[0].to_string().contains("method read, example 2: at '/page'"), "{}", errors[0]);
}

#[test]
fn documents_are_deterministic_and_list_every_method() {
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

/// Generated clients distinguish answers by status or by type: no two may share either.
#[test]
fn each_problem_has_a_unique_status_and_type() {
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
fn only_tokened_methods_require_an_idempotency_key() {
    let all = vec![
        method("t", Effect::Tokened, schema(), json!({})),
        method("i", Effect::Idempotent, schema(), json!({})),
    ];
    let document = openapi(&Catalogue::new("x", "1", all).unwrap());
    let requires_key = |m: &str| {
        document["paths"][format!("/v1/{m}/{{model}}")]["post"]["parameters"]
            .to_string()
            .contains("Idempotency-Key")
    };
    assert!(requires_key("t") && !requires_key("i"));
}

fn catalogue_with(request: Value, answer: Value) -> Catalogue {
    let mut m = method("read", Effect::Idempotent, request, answer);
    m.examples.clear();
    Catalogue::new("x", "1", vec![m]).unwrap()
}

const ANSWER: &str = r#"{"type": "object", "required": ["text"], "properties": {"text": {"type": "string", "maxLength": 9}, "kind": {"enum": ["a", "b"]}}}"#;

#[test_case("/required", json!(["page", "lang"]), true, true ; "a request field becomes required")]
#[test_case("/required", json!([]), true, false ; "a request field becomes optional")]
#[test_case("/properties/lang/enum", json!(["tr"]), true, true ; "a request enum loses a value")]
#[test_case("/properties/lang/enum", json!(["tr", "en", "de"]), true, false ; "a request enum gains a value")]
#[test_case("/properties/page/maximum", json!(9), true, true ; "a request bound is narrowed")]
#[test_case("/properties/page/maximum", json!(900), true, false ; "a request bound is widened")]
#[test_case("/properties/page/type", json!("string"), true, true ; "a changed type")]
#[test_case("/properties/more", json!({}), true, false ; "a new optional request field")]
#[test_case("/properties/page/description", json!("x"), true, false ; "an annotation")]
#[test_case("/required", json!([]), false, true ; "an answer field becomes optional")]
#[test_case("/properties/kind/enum", json!(["a", "b", "c"]), false, true ; "an answer enum gains a value")]
#[test_case("/properties/kind/enum", json!(["a"]), false, false ; "an answer enum loses a value")]
#[test_case("/properties/text/maxLength", json!(99), false, true ; "an answer bound is widened")]
#[test_case("/properties/more", json!({}), false, false ; "a new answer field")]
fn a_schema_change_is_classified(at: &str, to: Value, of_request: bool, breaking: bool) {
    let answer: Value = serde_json::from_str(ANSWER).unwrap();
    let old = catalogue_with(schema(), answer.clone());
    let (mut request, mut answered) = (schema(), answer);
    let changed = if of_request { &mut request } else { &mut answered };
    match changed.pointer_mut(at) {
        Some(value) => *value = to,
        None => {
            let (parent, name) = at.rsplit_once('/').unwrap();
            changed.pointer_mut(parent).unwrap()[name] = to;
        }
    }
    let changes = compare(&old, &catalogue_with(request, answered));
    assert_eq!(changes.iter().any(|c| c.breaking), breaking, "{changes:?}");
    assert!(compare(&old, &old).is_empty());
}

#[test]
fn added_methods_are_compatible_and_removed_ones_are_breaking() {
    let changes = compare(&catalogue("1", &["a", "b"]), &catalogue("2", &["b", "c"]));
    let outcome: Vec<_> = changes.iter().map(|c| (c.method.as_str(), c.breaking)).collect();
    assert_eq!(outcome, [("a", true), ("c", false)]);
}

fn released(release: &str, names: &[&str]) -> Arc<Catalogue> {
    Arc::new(catalogue(release, names))
}

fn in_force(r: &Releases) -> &str {
    &r.catalogue(r.in_force()).unwrap().release
}

#[test]
fn an_rpc_ends_under_the_catalogue_that_accepted_it() {
    let mut r = Releases::new(released("1", &["a"]), 2, Time(600_000));
    let first = r.accept_rpc();
    r.reload(Time(10), released("2", &["b"])).unwrap();
    assert_eq!((r.catalogue(first).unwrap().release.as_str(), in_force(&r), r.held_count()), ("1", "2", 2));
    let second = r.accept_rpc();
    // Two catalogues with open RPCs are the maximum: a third is refused and the active one stays.
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
fn a_withdrawn_method_is_reported_for_the_notice_period_and_can_return() {
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

fn empty_catalogue(release: usize) -> Arc<Catalogue> {
    Arc::new(Catalogue::new("Registers", &release.to_string(), Vec::new()).unwrap())
}

proptest! {
    /// Guards against a catalogue dropped while it has open RPCs, held without any, or held beyond the maximum, for any
    /// order of accepted RPCs, ended RPCs and reloads.
    #[test]
    fn an_open_rpc_never_loses_its_catalogue(steps in proptest::collection::vec(0u8..4, 1..200), max_held in 1usize..4) {
        let mut r = Releases::new(empty_catalogue(0), max_held, Time(1_000));
        let mut open: Vec<(Release, String)> = Vec::new();
        for (index, step) in steps.into_iter().enumerate() {
            match step {
                0 | 1 => {
                    let release = r.accept_rpc();
                    open.push((release, in_force(&r).to_owned()));
                }
                2 if !open.is_empty() => r.end_rpc(open.remove(index % open.len()).0),
                _ => drop(r.reload(Time(index as u64), empty_catalogue(index + 1))),
            }
            for (release, name) in &open {
                prop_assert_eq!(&r.catalogue(*release).unwrap().release, name);
            }
            let mut wanted: Vec<_> = open.iter().map(|o| o.0).chain([r.in_force()]).collect();
            wanted.sort();
            wanted.dedup();
            prop_assert_eq!(r.held_count(), wanted.len());
            prop_assert!(r.held_count() <= max_held);
        }
    }
}
