use curlewpoint::types::Time;

use crate::shared_capacity::SharedCapacity;

/// The model store that all workers share.
#[derive(Clone, Copy, Debug)]
pub struct StoreSpec {
    /// Fetches that go at full pace at a time; more share it.
    pub parallel_fetches: f64,
    /// So much of the pace is lost with each further fetch (assumed).
    pub overload_penalty: f64,
    /// Fetches in hand beyond which it turns one away.
    pub max_fetches: usize,
}

/// Whose fetch it is: the shell's number for who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FetchId(pub u64);

/// A store that slows when crowded, turns fetches away past a limit, and stops for a time.
pub struct StoreModel {
    spec: StoreSpec,
    fetches: SharedCapacity<FetchId>,
    stopped_until: Time,
    rejecting: bool,
    pub served: u64,
    pub rejected: u64,
}

impl StoreModel {
    pub fn new(spec: StoreSpec) -> StoreModel {
        let (fetches, stopped_until) = (SharedCapacity::default(), Time(0));
        StoreModel { spec, fetches, stopped_until, rejecting: false, served: 0, rejected: 0 }
    }

    /// A fetch that takes `work_ms` at full pace; false: turned away.
    pub fn fetch(&mut self, now: Time, id: FetchId, work_ms: f64) -> bool {
        if self.rejecting || self.fetches.len() >= self.spec.max_fetches {
            self.rejected += 1;
            return false;
        }
        self.fetches.add(now, id, work_ms);
        self.update_rate(now);
        true
    }

    /// Whoever asked is gone.
    pub fn abandon(&mut self, now: Time, abandoned: impl Fn(FetchId) -> bool) {
        self.fetches.advance(now);
        self.fetches.retain(|id| !abandoned(*id));
        self.update_rate(now);
    }

    pub fn stop(&mut self, now: Time, until: Time) {
        self.stopped_until = until;
        self.update_rate(now);
    }

    pub fn set_rejecting(&mut self, rejecting: bool) {
        self.rejecting = rejecting;
    }

    fn update_rate(&mut self, now: Time) {
        let load = (self.fetches.len() as f64 / self.spec.parallel_fetches).max(1.0);
        let rate = if now < self.stopped_until {
            0.0
        } else {
            1.0 / load / (1.0 + self.spec.overload_penalty * (load - 1.0))
        };
        self.fetches.set_rate(now, rate);
    }

    /// The fetches that are done.
    pub fn advance(&mut self, now: Time) -> Vec<FetchId> {
        let finished = self.fetches.take_finished(now);
        self.served += finished.len() as u64;
        self.update_rate(now);
        finished
    }

    pub fn next(&self, now: Time) -> Option<Time> {
        let stopped = now < self.stopped_until && !self.fetches.is_empty();
        if stopped {
            Some(self.stopped_until)
        } else {
            self.fetches.next_completion()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn store() -> StoreModel {
        StoreModel::new(StoreSpec { parallel_fetches: 2.0, overload_penalty: 0.5, max_fetches: 5 })
    }

    /// When `n` fetches of 100 ms that begin together are all done, in milliseconds.
    fn all_done(n: u64) -> f64 {
        let mut s = store();
        assert!((0..n).all(|i| s.fetch(Time(0), FetchId(i), 100.0)));
        let mut left = n as usize;
        let mut now = Time(0);
        while left > 0 {
            now = s.next(now).unwrap();
            left -= s.advance(now).len();
        }
        now.ms()
    }

    #[test]
    fn it_slows_when_crowded_and_turns_away_past_its_limit() {
        assert_eq!(all_done(2), 100.0);
        assert_eq!(all_done(4), 300.0, "twice its lines: half the share, and thrashing on top");
        let mut s = store();
        assert_eq!((0..7).filter(|i| s.fetch(Time(0), FetchId(*i), 9.0)).count(), 5);
        assert_eq!(s.rejected, 2);
    }

    #[test]
    fn a_stop_holds_what_is_under_way() {
        let mut s = store();
        s.fetch(Time(0), FetchId(1), 100.0);
        s.advance(Time(500));
        s.stop(Time(500), Time(5_000));
        assert_eq!(s.next(Time(600)), Some(Time(5_000)));
        assert!(s.advance(Time(5_000)).is_empty());
        assert_eq!(s.advance(Time(5_500)), [FetchId(1)]);
    }
}
