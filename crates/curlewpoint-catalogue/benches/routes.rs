//! Measures the lookup of one method among 10,000: the trie, a list of patterns and a map of exact names.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use curlewpoint_catalogue::Routes;

const METHODS: usize = 10_000;

fn find(c: &mut Criterion) {
    let mut routes = Routes::new('/');
    let mut plain = Vec::new();
    let mut exact = BTreeMap::new();
    for number in 0..METHODS {
        let name = format!("read-fields-{number}");
        routes.add(&format!("v1/{name}/*"), number).expect("a unique pattern");
        plain.push((vec!["v1".to_owned(), name.clone(), "*".to_owned()], number));
        exact.insert(name, number);
    }
    let keys: Vec<String> = (0..100).map(|i| format!("v1/read-fields-{}/births", i * 97 % METHODS)).collect();
    let mut group = c.benchmark_group("find one of 10000 methods");
    let mut next = 0;
    let mut key = || {
        next = (next + 1) % keys.len();
        keys[next].as_str()
    };
    group.bench_function("trie", |b| b.iter(|| black_box(routes.find(key()).map(|f| *f.0))));
    group.bench_function("list of patterns", |b| {
        b.iter(|| {
            let segments: Vec<&str> = key().split('/').collect();
            let matches = |p: &[String]| {
                p.len() == segments.len() && p.iter().zip(&segments).all(|(p, s)| p == "*" || p == s)
            };
            black_box(plain.iter().find(|(p, _)| matches(p)).map(|f| f.1))
        })
    });
    group.bench_function("map of names, path cut by hand", |b| {
        b.iter(|| black_box(key().split('/').nth(1).and_then(|name| exact.get(name))))
    });
    group.finish();
}

criterion_group!(benches, find);
criterion_main!(benches);
