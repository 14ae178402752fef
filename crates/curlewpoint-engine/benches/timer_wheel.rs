//! Timers at 100,000 pending: the timer wheel compared with a binary heap in one run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use curlewpoint::types::Time;
use curlewpoint_engine::TimerWheel;
use oorandom::Rand64;

const PENDING: u64 = 100_000;
/// Timers are set up to this far ahead, in tenths of a millisecond.
const SPAN: u64 = 60_000;

fn set_one_take_one(c: &mut Criterion) {
    let mut group = c.benchmark_group("set one, take one, 100000 pending");
    group.bench_function("wheel", |b| {
        let (mut rng, mut wheel) = (Rand64::new(1), TimerWheel::default());
        (0..PENDING).for_each(|i| wheel.set(Time(rng.rand_range(1..SPAN)), i));
        let mut now = 0;
        b.iter(|| {
            wheel.set(Time(now + rng.rand_range(1..SPAN)), 0);
            while let Some(at) = wheel.next() {
                now = at.0;
                if let Some(got) = wheel.pop(at) {
                    return black_box(got);
                }
            }
            unreachable!("a timer was set")
        })
    });
    group.bench_function("heap", |b| {
        let (mut rng, mut heap) = (Rand64::new(1), BinaryHeap::new());
        (0..PENDING).for_each(|i| heap.push(Reverse((rng.rand_range(1..SPAN), i, i))));
        let (mut now, mut seq) = (0, PENDING);
        b.iter(|| {
            seq += 1;
            heap.push(Reverse((now + rng.rand_range(1..SPAN), seq, 0)));
            let got = heap.pop().expect("a timer was set");
            now = got.0 .0;
            black_box(got)
        })
    });
    group.finish();
}

criterion_group!(benches, set_one_take_one);
criterion_main!(benches);
