//! Counters of what happens at sockets, one set a process: told when it is asked for and when it ends.

use std::fmt::{Display, Formatter, Result};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    pub const fn new() -> Counter {
        Counter(AtomicU64::new(0))
    }

    pub fn add(&self, more: u64) {
        self.0.fetch_add(more, Relaxed);
    }

    /// Raises a counter that keeps the largest value seen.
    pub fn raise_to(&self, value: u64) {
        self.0.fetch_max(value, Relaxed);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

/// What this process's connections have met.
#[derive(Debug)]
pub struct Metrics {
    /// Writes of which the kernel took a part only.
    pub short_writes: Counter,
    /// Frames that took longer than [`SLOW_FRAME_MS`](crate::SLOW_FRAME_MS) from their first byte to their last.
    pub slow_frames: Counter,
    /// The longest that a frame took from its first byte to its last, in milliseconds.
    pub slowest_frame_ms: Counter,
}

pub static METRICS: Metrics =
    Metrics { short_writes: Counter::new(), slow_frames: Counter::new(), slowest_frame_ms: Counter::new() };

impl Display for Metrics {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "short_writes={} ", self.short_writes.get())?;
        write!(f, "slow_frames={} ", self.slow_frames.get())?;
        write!(f, "slowest_frame_ms={}", self.slowest_frame_ms.get())
    }
}
