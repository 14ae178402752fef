//! Generates the OpenAPI 3.1 and AsyncAPI 3.0 documents of a catalogue.

use serde_json::{json, Map, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::catalogue::{Catalogue, Effect, Method, Payload};

/// The path template of a method, with the model as a parameter.
pub fn method_path(method: &str) -> String {
    format!("/v1/{method}/{{model}}")
}

/// The method named by a path, whether or not the catalogue has it.
pub fn method_from_path(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/")?.split('/').next().filter(|name| !name.is_empty())
}

/// Renders a document. The same catalogue always gives the same bytes.
pub fn render(document: &Value) -> String {
    let mut text = serde_json::to_string_pretty(document).unwrap_or_default();
    text.push('\n');
    text
}

/// Returns the strong entity tag of a rendered document.
pub fn etag(text: &str) -> String {
    format!("\"{:016x}\"", xxh3_64(text.as_bytes()))
}

fn schema_of(payload: &Payload) -> Value {
    payload.schema().cloned().unwrap_or_else(|| json!({}))
}

fn content(payload: &Payload, examples: &[Value]) -> Value {
    let mut media = json!({"schema": schema_of(payload)});
    if !examples.is_empty() {
        let numbered = examples
            .iter()
            .enumerate()
            .map(|(index, e)| (format!("example-{}", index + 1), json!({"value": e})));
        media["examples"] = Value::Object(numbered.collect());
    }
    json!({payload.media_type(): media})
}

/// The problem types, each as HTTP status, name in the `type` URI and description.
const PROBLEMS: [(&str, &str, &str); 11] = [
    (
        "503",
        "denied",
        "Denied: the RPC was taken and has not run, or may run again. Repeating it is harmless.",
    ),
    ("502", "aborted", "Aborted: the RPC was taken and may have run. Nothing is promised about its effect."),
    ("400", "malformed", "Refused, nothing was taken: a parameter, a header or the body cannot be read."),
    ("404", "unknown", "Refused, nothing was taken: there is no such method."),
    ("405", "verb", "Refused, nothing was taken: methods are called by POST."),
    ("408", "slow", "Refused, nothing was taken: the body did not come in its time."),
    ("410", "withdrawn", "Refused, nothing was taken: the method was withdrawn."),
    ("413", "too-long", "Refused, nothing was taken: the body is over the limit."),
    ("415", "media-type", "Refused, nothing was taken: another content type than the one described."),
    ("422", "unfit", "Refused, nothing was taken: the body does not fit its schema."),
    ("429", "full", "Refused, nothing was taken: this scheduler is full or stops."),
];

fn problem_schema() -> Value {
    json!({
        "type": "object",
        "required": ["type", "title", "status"],
        "properties": {
            "type": {"type": "string", "format": "uri-reference"},
            "title": {"type": "string"},
            "status": {"type": "integer"},
            "detail": {"type": "string"},
            "rpc": {"type": "string", "description": "The RPC's name in logs; only where it was taken."},
        },
    })
}

/// The deprecation and sunset headers that each answer of the method has.
fn lifecycle_headers(m: &Method) -> Map<String, Value> {
    let header = |description: &str| json!({"description": description, "schema": {"type": "string"}});
    let mut all = Map::new();
    if m.deprecated.is_some() {
        all.insert(
            "Deprecation".into(),
            header("@ and the second since 1970 from which it should not be used (RFC 9745)."),
        );
    }
    if m.sunset.is_some() {
        all.insert("Sunset".into(), header("The day on which the method goes, at the earliest (RFC 8594)."));
    }
    all
}

fn problem(status: &str, name: &str, description: &str, lifecycle_headers: &Map<String, Value>) -> Value {
    let type_uri = format!("/problems/{name}");
    let mut response = json!({
        "description": description,
        "content": {"application/problem+json": {"schema": {
            "allOf": [{"$ref": "#/components/schemas/Problem"}, {"properties": {"type": {"const": type_uri}, "status": {"const": status.parse::<u16>().unwrap_or(0)}}}],
        }}},
    });
    let mut headers = lifecycle_headers.clone();
    if matches!(name, "denied" | "full") {
        headers.insert(
            "Retry-After".into(),
            json!({
                "description": "Whole seconds after which to come back, where that is advised.",
                "schema": {"type": "integer", "minimum": 0},
            }),
        );
    }
    if name == "withdrawn" {
        headers.insert(
            "Sunset".into(),
            json!({"description": "When it was withdrawn (RFC 8594).", "schema": {"type": "string"}}),
        );
    }
    if !headers.is_empty() {
        response["headers"] = Value::Object(headers);
    }
    response
}

fn parameters(method: &Method) -> Value {
    let header = |name: &str, required: bool, description: &str, schema: Value| json!({"name": name, "in": "header", "required": required, "description": description, "schema": schema});
    let mut all = vec![
        json!({"name": "model", "in": "path", "required": true, "schema": {"type": "string", "minLength": 1, "maxLength": 1024}}),
        header(
            "Curlewpoint-Time-Left",
            false,
            "Milliseconds that the client still waits; absent: the method's deadline.",
            json!({"type": "integer", "minimum": 1, "maximum": method.deadline as u64}),
        ),
        header("Curlewpoint-Tenant", false, "Who asks.", json!({"type": "string", "maxLength": 1024})),
    ];
    if method.effect == Effect::Tokened {
        let description = "The mark by which a repeat is known.";
        all.push(header(
            "Idempotency-Key",
            true,
            description,
            json!({"type": "string", "minLength": 1, "maxLength": 1024}),
        ));
    }
    Value::Array(all)
}

fn operation(m: &Method) -> Value {
    let (mut responses, lifecycle_headers) = (Map::new(), lifecycle_headers(m));
    let mut ok = json!({"description": "Ok: the answer.", "content": content(&m.answer, &[])});
    if !lifecycle_headers.is_empty() {
        ok["headers"] = Value::Object(lifecycle_headers.clone());
    }
    responses.insert("200".into(), ok);
    for (status, name, description) in PROBLEMS {
        responses.insert(status.into(), problem(status, name, description, &lifecycle_headers));
    }
    let mut operation = json!({
        "operationId": m.name,
        "summary": m.summary,
        "parameters": parameters(m),
        "requestBody": {"required": true, "content": content(&m.request, &m.examples)},
        "responses": responses,
        "x-effect": m.effect.name(),
        "x-soft-deadline-ms": m.soft_deadline,
        "x-deadline-ms": m.deadline,
        "x-since": m.since,
    });
    if m.until.is_some() || m.deprecated.is_some() || m.sunset.is_some() {
        operation["deprecated"] = json!(true);
    }
    if let Some(until) = &m.until {
        operation["x-until"] = json!(until);
    }
    operation
}

/// Generates the OpenAPI document.
pub fn openapi(catalogue: &Catalogue) -> Value {
    let paths: Map<String, Value> =
        catalogue.methods().map(|m| (method_path(&m.name), json!({"post": operation(m)}))).collect();
    json!({
        "openapi": "3.1.0",
        "info": {"title": catalogue.title, "version": catalogue.release},
        "paths": paths,
        "components": {"schemas": {"Problem": problem_schema()}},
    })
}

/// Generates the AsyncAPI document: for each method its request queue, and the reply queue that the client names.
pub fn asyncapi(catalogue: &Catalogue) -> Value {
    let (mut channels, mut operations) = (Map::new(), Map::new());
    for m in catalogue.methods() {
        let message = |payload: &Payload, description: &str, headers: Value, properties: Value| json!({"contentType": payload.media_type(), "summary": description, "payload": schema_of(payload), "headers": headers, "x-amqp-properties": properties});
        let request_properties = json!({
            "message_id": "Required. Names the message; a repeat has the same one.",
            "reply_to": "Required. The queue for the answer.",
            "expiration": "Milliseconds that the requester waits; absent: the method's deadline.",
            "timestamp": "When it was sent, in seconds since 1970: what has passed since is taken off.",
        });
        let answer_properties = json!({"correlation_id": "The message_id of what it answers."});
        let request_headers = json!({"type": "object", "required": ["model"], "properties": {"model": {"type": "string", "minLength": 1, "maxLength": 1024}, "tenant": {"type": "string", "maxLength": 1024}}});
        let answer_headers = json!({"type": "object", "required": ["answer"], "properties": {"answer": {"enum": ["ok", "denied", "aborted"]}, "why": {"type": "string"}}});
        let queue = format!("curlewpoint.{}", m.name);
        let request_channel = json!({"address": queue, "messages": {"request": message(&m.request, &m.summary, request_headers, request_properties)}, "bindings": {"amqp": {"is": "queue", "queue": {"name": queue, "durable": true, "exclusive": false, "autoDelete": false}}}});
        channels.insert(m.name.clone(), request_channel);
        let answer_channel = json!({"address": null, "messages": {"answer": message(&m.answer, "The one final answer; a body only where it is ok.", answer_headers, answer_properties)}});
        channels.insert(format!("{}.answer", m.name), answer_channel);
        let reference = |channel: &str, message: &str| json!({"$ref": format!("#/channels/{channel}/messages/{message}")});
        let reply = format!("{}.answer", m.name);
        operations.insert(
            m.name.clone(),
            json!({
                "action": "receive",
                "channel": {"$ref": format!("#/channels/{}", m.name)},
                "messages": [reference(&m.name, "request")],
                "reply": {
                    "address": {"location": "$message.header#/replyTo"},
                    "channel": {"$ref": format!("#/channels/{reply}")},
                    "messages": [reference(&reply, "answer")],
                },
            }),
        );
    }
    json!({
        "asyncapi": "3.0.0",
        "info": {"title": catalogue.title, "version": catalogue.release},
        "defaultContentType": "application/octet-stream",
        "channels": channels,
        "operations": operations,
    })
}
