use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_engine::Answer;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// An event that a test server or a client observed on its sockets, or that the scenario caused.
#[derive(Clone, Debug, PartialEq)]
pub enum TranscriptEvent {
    /// A client has sent an RPC.
    RpcSent {
        key: u64,
        scheduler: String,
        method: String,
        time_left: Time,
    },
    FinalAnswer {
        key: u64,
        answer: Answer,
    },
    /// The scheduler has refused an RPC.
    Refused {
        key: u64,
        reason: String,
    },
    /// The client has lost or closed its connection: no answer is owed any more.
    ClientLeft {
        key: u64,
    },
    /// An attempt has arrived at a worker.
    AttemptArrived {
        key: u64,
        scheduler: String,
        worker: String,
        method: String,
    },
    /// The worker has rejected an attempt without looking at it.
    AttemptRejected {
        key: u64,
        worker: String,
    },
    /// An attempt has taken effect.
    Executed {
        key: u64,
        worker: String,
    },
    LoadOrdered {
        scheduler: String,
        worker: String,
    },
    /// The list service has sent a worker's entry to a scheduler.
    ListEntrySent {
        scheduler: String,
        worker: String,
        lifecycle: Lifecycle,
    },
    /// A worker's process has started, without copies and cold.
    WorkerStarted {
        worker: String,
    },
    WorkerOverloaded {
        worker: String,
        offered: f64,
        limit: f64,
    },
    /// The script killed or paused a scheduler, or kept a worker from reading, until this time.
    Suspended {
        component: String,
        until: Time,
    },
    /// Since then the machine gave no CPU time to this scheduler, or with `None` to clients and test servers. Measured,
    /// never scripted.
    Stalled {
        scheduler: Option<String>,
        since: Time,
    },
    /// A scripted event has begun.
    Scripted {
        description: String,
    },
}

/// All events by one clock. Every test server and client writes to it, no scheduler does.
#[derive(Clone)]
pub struct Transcript {
    started_at: Instant,
    events: Arc<Mutex<Vec<(Time, TranscriptEvent)>>>,
    /// Notifies waiters of a new event.
    added: watch::Sender<()>,
}

/// Start of the transcript's clock: an hour, so that times before the start do not underflow.
const CLOCK_START: Time = Time(36_000_000);

/// Interval between two stall checks; a shorter delay does not count as a stall.
const STALL_CHECK_INTERVAL: Time = Time(100);

impl Default for Transcript {
    fn default() -> Self {
        Transcript { started_at: Instant::now(), events: Arc::default(), added: watch::Sender::default() }
    }
}

impl Transcript {
    pub fn now(&self) -> Time {
        CLOCK_START + Time((self.started_at.elapsed().as_micros() / 100) as u64)
    }

    /// Time since the transcript's start.
    pub fn since_start(at: Time) -> Time {
        at - CLOCK_START
    }

    pub fn instant(&self, at: Time) -> Instant {
        self.started_at + std::time::Duration::from_micros((at - CLOCK_START).0 * 100)
    }

    pub fn add(&self, event: TranscriptEvent) {
        self.add_at(self.now(), event);
    }

    pub fn add_at(&self, at: Time, event: TranscriptEvent) {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push((at, event));
        self.added.send_replace(());
    }

    /// Waits until `find` returns a value for the events so far.
    pub async fn wait_for<T>(&self, find: impl Fn(Vec<(Time, TranscriptEvent)>) -> Option<T>) -> T {
        let mut added = self.added.subscribe();
        loop {
            if let Some(found) = find(self.events()) {
                return found;
            }
            // `self` owns the sender, so this cannot fail.
            let _ = added.changed().await;
        }
    }

    /// Records when the runtime of clients and test servers wakes up late. Without it a busy machine would look like a slow
    /// scheduler: while these tasks do not run, answers wait in their sockets.
    pub async fn watch_runtime_stalls(self) {
        loop {
            let due = self.now() + STALL_CHECK_INTERVAL;
            sleep_until(self.instant(due).into()).await;
            if self.now() - due >= STALL_CHECK_INTERVAL {
                self.add(TranscriptEvent::Stalled { scheduler: None, since: due });
            }
        }
    }

    /// Records how long the calling thread, which a scheduler has for itself, was runnable without a CPU. Only the time that
    /// the operating system accounts as such counts; time that the scheduler computes or blocks is its own.
    pub async fn watch_scheduler_stalls(self, scheduler: String) {
        let mut waited_before = run_queue_wait();
        loop {
            sleep_until(self.instant(self.now() + STALL_CHECK_INTERVAL).into()).await;
            let waited = run_queue_wait();
            let stalled = waited - waited_before;
            if stalled >= STALL_CHECK_INTERVAL {
                waited_before = waited;
                let (scheduler, since) = (Some(scheduler.clone()), self.now() - stalled);
                self.add(TranscriptEvent::Stalled { scheduler, since });
            }
        }
    }

    /// All events so far, ordered by time.
    pub fn events(&self) -> Vec<(Time, TranscriptEvent)> {
        let mut all = self.events.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_by_key(|(at, _)| *at);
        all
    }
}

/// Total time that this thread has waited on the run queue; zero where the system does not report it.
fn run_queue_wait() -> Time {
    let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = schedstat.split(' ').nth(1).and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
    Time(nanoseconds / 100_000)
}
