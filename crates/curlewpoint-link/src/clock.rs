use std::time::{Duration, Instant};

use curlewpoint::types::Time;

/// A process's one clock: monotonic, in whole tenths of a millisecond from a day before it was made, so that the start
/// of a worker older than the process lies on it.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

const DAY: Time = Time(864_000_000);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> Time {
        DAY + Time((self.0.elapsed().as_micros() / 100) as u64)
    }

    /// How long it is until this moment of the clock; nought where it has passed.
    pub fn until(&self, at: Time) -> Duration {
        Duration::from_micros((at - self.now()).0 * 100)
    }
}
