use curlewpoint::types::Time;
use curlewpoint_lab::Script;

/// What no schedulers could better, as store and workers are: every load known ahead, the most wanted first, and no more
/// fetches under way than the store takes at full pace. It leaves out cores, memory, and what chance adds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfflineOptimum {
    /// When copies for 95 in 100 of the rate stand; none: they never do.
    pub steady: Option<Time>,
    /// RPCs that come until then and find no lane free in a copy: they wait, or are denied.
    pub unmet: f64,
    /// Loads until then.
    pub loads: usize,
}

impl OfflineOptimum {
    pub fn of(s: &Script) -> OfflineOptimum {
        let share: f64 = s.methods.values().map(|m| m.0).sum::<f64>().max(1e-9);
        let mean = |of: &dyn Fn(&curlewpoint_lab::test_servers::MethodCost) -> f64| {
            s.methods.values().map(|(part, trade)| part * of(trade)).sum::<f64>() / share
        };
        let fetch = mean(&|t| t.load_ms * t.fetch_share);
        let start = mean(&|t| t.load_ms * (1.0 - t.fetch_share));
        let by_copy = mean(&|t| t.lanes as f64 * 1_000.0 / t.work_ms.max(1e-3));
        let weights: Vec<f64> = (1..=s.models).map(|rank| (rank as f64).powf(-s.zipf)).collect();
        let sum: f64 = weights.iter().sum();
        // What each further copy would serve, of all models, the greatest first.
        let mut worth: Vec<f64> = Vec::new();
        for weight in weights {
            let mut left = s.rate * weight / sum;
            while left > 0.0 {
                worth.push(left.min(by_copy));
                left -= by_copy;
            }
        }
        worth.sort_by(|a, b| b.total_cmp(a));
        let lines = (s.store_parallel_fetches as usize).max(1);
        let (mut served, mut unmet, mut last) = (0.0, 0.0, 0.0);
        for (no, more) in worth.into_iter().enumerate() {
            let ready = (no / lines + 1) as f64 * fetch + start;
            unmet += (s.rate - served) * (ready - last) / 1_000.0;
            (served, last) = (served + more, ready);
            if served >= 0.95 * s.rate {
                return OfflineOptimum { steady: Some(Time::from_ms(ready)), unmet, loads: no + 1 };
            }
        }
        OfflineOptimum { steady: None, unmet, loads: 0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::FleetScenario;

    #[test]
    fn the_bound_is_what_one_reckons_by_hand() {
        let mut s = FleetScenario::shipped("start").expect("it is shipped").script;
        // Two models of 50 a second each; a copy serves 20 a second, the store fetches one at a time in 240 ms, and a
        // start takes 160 ms: copies stand at 400, 640, 880, 1,120, 1,360 and 1,600 ms, for 20, 20, 20, 20, 10 and 10.
        (s.rate, s.models, s.zipf, s.store_parallel_fetches) = (100.0, 2, 0.0, 1.0);
        let b = OfflineOptimum::of(&s);
        let steady = b.steady.expect("it comes").ms();
        assert!((steady - 1_600.0).abs() < 0.2 && b.loads == 6, "{b:?}");
        let by_hand = 100.0 * 0.4 + (80.0 + 60.0 + 40.0 + 20.0 + 10.0) * 0.24;
        assert!((b.unmet - by_hand).abs() < 1e-6, "{b:?} {by_hand}");
        s.rate = 0.0;
        assert_eq!(OfflineOptimum::of(&s).loads, 0);
    }
}
