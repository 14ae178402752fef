use curlewpoint::types::Time;

use crate::share::Share;

/// The model store that all workers share.
#[derive(Clone, Copy, Debug)]
pub struct StoreSpec {
    /// Fetches that go at full pace at a time; more share it.
    pub lines: f64,
    /// So much of the pace is lost with each further fetch (assumed).
    pub thrash: f64,
    /// Fetches in hand beyond which it turns one away.
    pub most: usize,
}

/// Whose fetch it is: the shell's number for who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FetchId(pub u64);

/// A store that slows when crowded, turns fetches away past a limit, and stops for a time.
pub struct StoreModel {
    spec: StoreSpec,
    fetches: Share<FetchId>,
    stopped_until: Time,
    refuses: bool,
    pub served: u64,
    pub turned_away: u64,
}

impl StoreModel {
    pub fn new(spec: StoreSpec) -> StoreModel {
        let (fetches, stopped_until) = (Share::default(), Time(0));
        StoreModel { spec, fetches, stopped_until, refuses: false, served: 0, turned_away: 0 }
    }

    /// A fetch that takes `work_ms` at full pace; false: turned away.
    pub fn fetch(&mut self, now: Time, id: FetchId, work_ms: f64) -> bool {
        if self.refuses || self.fetches.len() >= self.spec.most {
            self.turned_away += 1;
            return false;
        }
        self.fetches.add(now, id, work_ms);
        self.set_pace(now);
        true
    }

    /// Whoever asked is gone.
    pub fn leave(&mut self, now: Time, gone: impl Fn(FetchId) -> bool) {
        self.fetches.pass(now);
        self.fetches.keep(|id| !gone(*id));
        self.set_pace(now);
    }

    pub fn stop(&mut self, now: Time, until: Time) {
        self.stopped_until = until;
        self.set_pace(now);
    }

    pub fn refuse(&mut self, refuses: bool) {
        self.refuses = refuses;
    }

    fn set_pace(&mut self, now: Time) {
        let over = (self.fetches.len() as f64 / self.spec.lines).max(1.0);
        let pace =
            if now < self.stopped_until { 0.0 } else { 1.0 / over / (1.0 + self.spec.thrash * (over - 1.0)) };
        self.fetches.pace(now, pace);
    }

    /// The fetches that are done.
    pub fn advance(&mut self, now: Time) -> Vec<FetchId> {
        let done = self.fetches.done(now);
        self.served += done.len() as u64;
        self.set_pace(now);
        done
    }

    pub fn next(&self, now: Time) -> Option<Time> {
        let held = now < self.stopped_until && !self.fetches.is_empty();
        if held {
            Some(self.stopped_until)
        } else {
            self.fetches.next()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn store() -> StoreModel {
        StoreModel::new(StoreSpec { lines: 2.0, thrash: 0.5, most: 5 })
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
        assert_eq!(s.turned_away, 2);
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
