//! The arithmetic of docs/CAPACITY.md: what follows from the plan's numbers, and from each law of popularity tried.
//! `cargo test -p curlewpoint-rig --test plan -- --nocapture` prints the table.

use test_case::test_case;

const SCHEDULERS: f64 = 3_400.0;
const ZONES: f64 = 16.0;
const CALLS: f64 = 740_000.0;
const COPIES: f64 = 170_000.0;
const FUNCTIONS: usize = 69_000;
/// An idle connection to a worker is closed after so many seconds.
const IDLE: f64 = 15.0;

/// Where so much of a normal distribution lies below, by halving; the tail's sum is that of Abramowitz and Stegun, 26.2.17.
fn normal(part: f64) -> f64 {
    let below = |x: f64| {
        let t = 1.0 / (1.0 + 0.231_641_9 * x.abs());
        let terms = [0.319_381_530, -0.356_563_782, 1.781_477_937, -1.821_255_978, 1.330_274_429];
        let sum = terms.iter().rev().fold(0.0, |sum, a| (sum + a) * t);
        let tail = (-x * x / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt() * sum;
        if x < 0.0 {
            tail
        } else {
            1.0 - tail
        }
    };
    let (mut low, mut high) = (-8.0, 8.0);
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        if below(middle) < part {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

enum Law {
    /// A function's share goes by its rank to this power.
    Rank(f64),
    LogNormal(f64),
    /// Nine in ten are called once in two minutes, the rest alike.
    Two,
}

/// Calls a second of each function, the greatest first.
fn rates(law: Law) -> Vec<f64> {
    let n = FUNCTIONS as f64;
    let often = FUNCTIONS / 10;
    let rare = 1.0 / 120.0;
    let of = |rank: usize| match law {
        Law::Rank(power) => (rank as f64).powf(-power),
        Law::LogNormal(sigma) => (sigma * normal(1.0 - (rank as f64 - 0.5) / n)).exp(),
        Law::Two if rank > often => rare,
        Law::Two => (CALLS - rare * (n - often as f64)) / often as f64,
    };
    let all: Vec<f64> = (1..=FUNCTIONS).map(of).collect();
    let sum: f64 = all.iter().sum();
    all.into_iter().map(|rate| rate * CALLS / sum).collect()
}

/// Calls a second that find no copy, where one stands idle for so long and anybody's would be found; `among`: where a
/// function's calls are spread over so many that find their own alone.
fn cold(rates: &[f64], keep: f64, among: f64) -> f64 {
    rates.iter().map(|rate| rate * (-rate / among * keep).exp()).sum()
}

/// Under one a minute, in 100; the top hundredth's calls, in 100; cold starts at 8 s and 60 s; by zones alone at 8 s.
#[test_case(Law::Rank(1.0), [0, 61, 5, 0, 38_817] ; "one over the rank, which the plan rules out")]
#[test_case(Law::Rank(1.62), [54, 99, 1_124, 269, 4_243] ; "rank to the 1.62")]
#[test_case(Law::Rank(1.8), [82, 100, 498, 165, 1_866] ; "rank to the 1.8")]
#[test_case(Law::LogNormal(4.0), [62, 94, 665, 108, 5_607] ; "log-normal")]
#[test_case(Law::Two, [90, 10, 484, 314, 515] ; "two classes")]
fn a_law_of_popularity_gives_so_many_cold_starts(law: Law, page: [u64; 5]) {
    let rates = rates(law);
    let under = rates.iter().filter(|rate| **rate < 1.0 / 60.0).count() as f64 / FUNCTIONS as f64;
    let top = rates[..FUNCTIONS / 100].iter().sum::<f64>() / CALLS;
    let (short, long, zones) = (cold(&rates, 8.0, 1.0), cold(&rates, 60.0, 1.0), cold(&rates, 8.0, ZONES));
    let all = [under * 100.0, top * 100.0, short, long, zones].map(|x| x.round() as u64);
    println!("{all:?}; a scheduler {:.2}", short / SCHEDULERS);
    assert_eq!(all, page);
    // No law has more than this.
    assert!(short <= FUNCTIONS as f64 / (std::f64::consts::E * 8.0));
}

/// By copies a worker: seconds between two calls of a scheduler and a worker, calls in 1,000 that dial, connections open
/// at a worker, dials a second there; and the first two where a scheduler calls workers of its zone alone.
#[test_case(10.0, [78, 825, 594, 36, 5, 46] ; "17000 workers")]
#[test_case(20.0, [39, 681, 1_084, 59, 2, 2] ; "8500 workers")]
#[test_case(50.0, [16, 383, 2_098, 83, 1, 0] ; "3400 workers")]
fn a_pair_meets_so_seldom(copies: f64, page: [u64; 6]) {
    let workers = COPIES / copies;
    let pair = SCHEDULERS * workers / CALLS;
    let dials = (-IDLE / pair).exp();
    let (zone, zone_dials) = (pair / ZONES, (-IDLE * ZONES / pair).exp());
    let (open, a_second) = (SCHEDULERS * (1.0 - dials), CALLS / workers * dials);
    let all = [pair, 1_000.0 * dials, open, a_second, zone, 1_000.0 * zone_dials].map(|x| x.round() as u64);
    assert_eq!(all, page);
}
