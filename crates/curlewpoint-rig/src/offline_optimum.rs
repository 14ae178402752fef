use curlewpoint::types::Time;
use curlewpoint_lab::Script;

/// The best that any scheduler could reach with this store and these workers: all loads are known in advance, the most
/// requested function is loaded first, and no more fetches run at once than the store serves at full speed. Cores, memory and
/// random variation are left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfflineOptimum {
    /// When the loaded copies can serve 95% of the rate; `None` if they never can.
    pub steady: Option<Time>,
    /// RPCs until then that find no free lane in a copy and wait or are denied.
    pub unmet: f64,
    /// Loads completed until then.
    pub loads: usize,
}

impl OfflineOptimum {
    pub fn of(s: &Script) -> OfflineOptimum {
        let share: f64 = s.methods.values().map(|m| m.0).sum::<f64>().max(1e-9);
        let weighted_mean = |of: &dyn Fn(&curlewpoint_lab::test_servers::MethodCost) -> f64| {
            s.methods.values().map(|(part, trade)| part * of(trade)).sum::<f64>() / share
        };
        let fetch_ms = weighted_mean(&|t| t.load_ms * t.fetch_share);
        let start_ms = weighted_mean(&|t| t.load_ms * (1.0 - t.fetch_share));
        let rate_per_copy = weighted_mean(&|t| t.lanes as f64 * 1_000.0 / t.work_ms.max(1e-3));
        let popularity: Vec<f64> = (1..=s.models).map(|rank| (rank as f64).powf(-s.zipf)).collect();
        let total: f64 = popularity.iter().sum();
        // The RPCs per second that each further copy of any model would serve, in descending order.
        let mut copy_rates: Vec<f64> = Vec::new();
        for weight in popularity {
            let mut unserved = s.rate * weight / total;
            while unserved > 0.0 {
                copy_rates.push(unserved.min(rate_per_copy));
                unserved -= rate_per_copy;
            }
        }
        copy_rates.sort_by(|a, b| b.total_cmp(a));
        let parallel_fetches = (s.store_parallel_fetches as usize).max(1);
        let (mut served, mut unmet, mut previous_ready) = (0.0, 0.0, 0.0);
        for (index, rate) in copy_rates.into_iter().enumerate() {
            let ready = (index / parallel_fetches + 1) as f64 * fetch_ms + start_ms;
            unmet += (s.rate - served) * (ready - previous_ready) / 1_000.0;
            (served, previous_ready) = (served + rate, ready);
            if served >= 0.95 * s.rate {
                return OfflineOptimum { steady: Some(Time::from_ms(ready)), unmet, loads: index + 1 };
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
    fn the_optimum_matches_a_calculation_by_hand() {
        let mut s = FleetScenario::shipped("start").expect("a shipped scenario").script;
        // Two models with 50 RPCs per second each. A copy serves 20 per second, the store fetches one model at a time in 240 ms,
        // and a start takes 160 ms: copies are up at 400, 640, 880, 1,120, 1,360 and 1,600 ms and serve 20, 20, 20, 20, 10 and 10.
        (s.rate, s.models, s.zipf, s.store_parallel_fetches) = (100.0, 2, 0.0, 1.0);
        let b = OfflineOptimum::of(&s);
        let steady = b.steady.expect("the rate is reached").ms();
        assert!((steady - 1_600.0).abs() < 0.2 && b.loads == 6, "{b:?}");
        let by_hand = 100.0 * 0.4 + (80.0 + 60.0 + 40.0 + 20.0 + 10.0) * 0.24;
        assert!((b.unmet - by_hand).abs() < 1e-6, "{b:?} {by_hand}");
        s.rate = 0.0;
        assert_eq!(OfflineOptimum::of(&s).loads, 0);
    }
}
