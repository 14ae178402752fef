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

    /// Adds one; true where that is the first.
    pub fn is_first(&self) -> bool {
        self.0.fetch_add(1, Relaxed) == 0
    }

    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

/// What this process's connections have met.
#[derive(Debug)]
pub struct Metrics {
    /// Reads and writes that a signal interrupted, made again.
    pub interrupted: Counter,
    /// Writes of which the kernel took a part only.
    pub short_writes: Counter,
    /// Frames that took longer than [`SLOW_FRAME_MS`](crate::SLOW_FRAME_MS) from their first byte to their last.
    pub slow_frames: Counter,
    /// The longest that a frame took from its first byte to its last, in milliseconds.
    pub slowest_frame_ms: Counter,
    /// Frames that nobody waited for any more when a part of them was written: their connections were closed.
    pub frames_cut: Counter,
    /// Connections, sockets and accepts that failed for want of something on this side, and were tried again.
    pub local_errors: Counter,
}

pub static METRICS: Metrics = Metrics {
    interrupted: Counter::new(),
    short_writes: Counter::new(),
    slow_frames: Counter::new(),
    slowest_frame_ms: Counter::new(),
    frames_cut: Counter::new(),
    local_errors: Counter::new(),
};

impl Display for Metrics {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "interrupted={} ", self.interrupted.get())?;
        write!(f, "short_writes={} ", self.short_writes.get())?;
        write!(f, "slow_frames={} ", self.slow_frames.get())?;
        write!(f, "slowest_frame_ms={} ", self.slowest_frame_ms.get())?;
        write!(f, "frames_cut={} ", self.frames_cut.get())?;
        write!(f, "local_errors={}", self.local_errors.get())
    }
}
