//! Process-wide counters of socket events, logged on request and at exit.

use std::fmt::{Display, Formatter, Result};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// A number that never decreases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    pub const fn new() -> Counter {
        Counter(AtomicU64::new(0))
    }

    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Relaxed);
    }

    /// Raises the counter to `value` if it is lower, for counters that hold a maximum.
    pub fn raise_to(&self, value: u64) {
        self.0.fetch_max(value, Relaxed);
    }

    /// Adds one and returns whether this was the first.
    pub fn add_is_first(&self) -> bool {
        self.0.fetch_add(1, Relaxed) == 0
    }

    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

/// Events on all connections of this process.
#[derive(Debug)]
pub struct Metrics {
    /// Reads and writes that were interrupted by a signal and retried.
    pub interrupted: Counter,
    /// Writes that the kernel accepted only in part.
    pub short_writes: Counter,
    /// Frames that took longer than [`SLOW_FRAME_MS`](crate::SLOW_FRAME_MS) to write, from first byte to last.
    pub slow_frames: Counter,
    /// The longest time that a frame took to write, from first byte to last, in milliseconds.
    pub slowest_frame_ms: Counter,
    /// Frames that were abandoned when partly written; their connections were closed.
    pub frames_cut: Counter,
    /// Frames that were not begun because what they were based on was no longer valid.
    pub expired_frames: Counter,
    /// Dials, listens and accepts that failed with a local or transient error and were retried.
    pub local_errors: Counter,
    /// Times that the process was not scheduled for long enough to be logged, and the longest, in milliseconds.
    pub stalls: Counter,
    pub longest_stall_ms: Counter,
}

pub static METRICS: Metrics = Metrics {
    interrupted: Counter::new(),
    short_writes: Counter::new(),
    slow_frames: Counter::new(),
    slowest_frame_ms: Counter::new(),
    frames_cut: Counter::new(),
    expired_frames: Counter::new(),
    local_errors: Counter::new(),
    stalls: Counter::new(),
    longest_stall_ms: Counter::new(),
};

impl Display for Metrics {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "interrupted={} ", self.interrupted.get())?;
        write!(f, "short_writes={} ", self.short_writes.get())?;
        write!(f, "slow_frames={} ", self.slow_frames.get())?;
        write!(f, "slowest_frame_ms={} ", self.slowest_frame_ms.get())?;
        write!(f, "frames_cut={} ", self.frames_cut.get())?;
        write!(f, "expired_frames={} ", self.expired_frames.get())?;
        write!(f, "local_errors={} ", self.local_errors.get())?;
        write!(f, "stalls={} ", self.stalls.get())?;
        write!(f, "longest_stall_ms={}", self.longest_stall_ms.get())
    }
}
