use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewpoint::types::Time;

/// The process's clock: monotonic, in whole tenths of a millisecond. It begins at one day instead of zero, so that
/// the start time of a worker older than this process can be expressed. The wall clock is read only once, when the
/// clock is created; later steps of it have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Wall-clock time at `started`, in milliseconds since the Unix epoch.
    started_unix_ms: u64,
}

const DAY: Time = Time(864_000_000);

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix_ms: unix.as_millis() as u64 }
    }

    pub fn now(&self) -> Time {
        DAY + Time((self.started.elapsed().as_micros() / 100) as u64)
    }

    /// The age of a Unix timestamp in milliseconds that another process reported; zero if it lies in the future.
    pub fn age_of_unix_ms(&self, reported: u64) -> Time {
        let now = self.started_unix_ms + self.started.elapsed().as_millis() as u64;
        Time(now.saturating_sub(reported).saturating_mul(10))
    }

    /// The time from now until `at`; zero if `at` has passed.
    pub fn until(&self, at: Time) -> Duration {
        Duration::from_micros((at - self.now()).0 * 100)
    }
}
