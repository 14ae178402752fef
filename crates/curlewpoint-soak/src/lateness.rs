//! Measures the scheduling delay of the harness. A run in which the test servers were not scheduled in time says nothing about
//! the program.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

const SLEEP_STEP: Duration = Duration::from_millis(5);
/// A run with a larger scheduling delay does not count.
pub(crate) const MAX_LATENESS: Duration = Duration::from_millis(40);

/// A thread that sleeps in steps and records how much longer each one took.
pub(crate) struct LatenessMonitor {
    stop: Arc<AtomicBool>,
    max_ms: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl LatenessMonitor {
    pub fn start() -> LatenessMonitor {
        let (stop, max_ms) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let (stopped, max) = (Arc::clone(&stop), Arc::clone(&max_ms));
        let thread = spawn(move || {
            while !stopped.load(Relaxed) {
                let started = Instant::now();
                sleep(SLEEP_STEP);
                max.fetch_max(started.elapsed().saturating_sub(SLEEP_STEP).as_millis() as u64, Relaxed);
            }
        });
        LatenessMonitor { stop, max_ms, thread }
    }

    /// Stops the thread and returns the maximum delay.
    pub fn finish(self) -> Duration {
        self.stop.store(true, Relaxed);
        let _ = self.thread.join();
        Duration::from_millis(self.max_ms.load(Relaxed))
    }
}
