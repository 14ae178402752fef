//! Measures body validation by body size, compared with parsing JSON only, and the generation of the documents of a large
//! catalogue.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use curlewpoint_catalogue::{asyncapi, openapi, render, Catalogue, Effect, Method, Payload};
use serde_json::{json, Value};

const SCHEMA: &str = r#"{
  "type": "object", "required": ["fields"], "additionalProperties": false,
  "properties": {"fields": {"type": "array", "items": {
    "type": "object", "required": ["name", "sure"], "additionalProperties": false,
    "properties": {"name": {"type": "string", "pattern": "^[a-z]{1,20}$"}, "sure": {"type": "number", "minimum": 0, "maximum": 1}}}}}
}"#;

fn payload() -> Payload {
    Payload::json("fields.json", SCHEMA).expect("a valid schema")
}

fn check(c: &mut Criterion) {
    let payload = payload();
    let mut group = c.benchmark_group("a body's check");
    for fields in [6, 100, 2_500, 25_000] {
        let entries: Vec<Value> = (0..fields)
            .map(|number| json!({"name": "surname", "sure": f64::from(number % 8) / 8.0}))
            .collect();
        let body = json!({"fields": entries}).to_string().into_bytes();
        group.throughput(Throughput::Bytes(body.len() as u64));
        let size = format!("{} bytes", body.len());
        group.bench_with_input(BenchmarkId::new("checked", &size), &body, |b, body| {
            b.iter(|| payload.check(black_box(body)).expect("a valid body"))
        });
        group.bench_with_input(BenchmarkId::new("read as JSON only", &size), &body, |b, body| {
            b.iter(|| serde_json::from_slice::<Value>(black_box(body)).expect("valid JSON"))
        });
    }
    group.finish();
}

fn documents(c: &mut Criterion) {
    let method = |number: usize| Method {
        name: format!("read-fields-{number}"),
        summary: "Reads the fields of a certificate.".to_owned(),
        effect: if number.is_multiple_of(3) { Effect::Tokened } else { Effect::Idempotent },
        soft_deadline: 600.0,
        deadline: 5000.0,
        request: payload(),
        answer: payload(),
        examples: vec![json!({"fields": [{"name": "surname", "sure": 1}]})],
        since: "1".to_owned(),
        until: None,
        deprecated: None,
        sunset: None,
    };
    let catalogue =
        Catalogue::new("Registers", "1", (0..1_000).map(method).collect()).expect("a valid catalogue");
    let mut group = c.benchmark_group("documents of 1000 methods");
    group.sample_size(10);
    group.bench_function("compiling the schemas", |b| {
        b.iter(|| (0..2_000).map(|_| payload()).collect::<Vec<_>>())
    });
    group.bench_function("openapi", |b| b.iter(|| black_box(render(&openapi(&catalogue)))));
    group.bench_function("asyncapi", |b| b.iter(|| black_box(render(&asyncapi(&catalogue)))));
    group.finish();
}

criterion_group!(benches, check, documents);
criterion_main!(benches);
