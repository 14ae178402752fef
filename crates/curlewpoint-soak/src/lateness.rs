//! How late the rig itself was: a run whose stand-ins got no turn judges the machine, not the program.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);
/// A run in which the rig was later than this does not count.
pub(crate) const MOST_LATE: Duration = Duration::from_millis(40);

/// A thread that sleeps in steps and notes how much longer each took.
pub(crate) struct Lateness {
    over: Arc<AtomicBool>,
    most_ms: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl Lateness {
    pub fn watch() -> Lateness {
        let (over, most_ms) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let (until, most) = (Arc::clone(&over), Arc::clone(&most_ms));
        let thread = spawn(move || {
            while !until.load(Relaxed) {
                let begun = Instant::now();
                sleep(STEP);
                most.fetch_max(begun.elapsed().saturating_sub(STEP).as_millis() as u64, Relaxed);
            }
        });
        Lateness { over, most_ms, thread }
    }

    /// The most that a step was late by.
    pub fn ends(self) -> Duration {
        self.over.store(true, Relaxed);
        let _ = self.thread.join();
        Duration::from_millis(self.most_ms.load(Relaxed))
    }
}
