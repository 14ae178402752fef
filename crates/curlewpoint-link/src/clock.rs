use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewpoint::types::Time;

/// A process's one clock: monotonic, in whole tenths of a millisecond from a day before it was made, so that the start
/// of a worker older than the process lies on it. The wall clock is read once, as it is made: a later step changes nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    begun: Instant,
    /// The Unix millisecond at that moment.
    begun_unix_ms: u64,
}

const DAY: Time = Time(864_000_000);

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { begun: Instant::now(), begun_unix_ms: unix.as_millis() as u64 }
    }

    pub fn now(&self) -> Time {
        DAY + Time((self.begun.elapsed().as_micros() / 100) as u64)
    }

    /// How long ago a Unix millisecond was that somebody else has told; nought where it is still to come.
    pub fn age_of_unix_ms(&self, told: u64) -> Time {
        let now = self.begun_unix_ms + self.begun.elapsed().as_millis() as u64;
        Time(now.saturating_sub(told).saturating_mul(10))
    }

    /// How long it is until this moment of the clock; nought where it has passed.
    pub fn until(&self, at: Time) -> Duration {
        Duration::from_micros((at - self.now()).0 * 100)
    }
}
