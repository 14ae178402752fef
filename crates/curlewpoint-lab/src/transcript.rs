use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_engine::Answer;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// What a stand-in or a client saw pass on its sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum TranscriptEvent {
    /// A client has sent an RPC, for which it waits so long.
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
    /// The scheduler would not take it.
    Refused {
        key: u64,
        reason: String,
    },
    /// The client has lost its connection, or ended it: nothing is owed any more.
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
    /// The worker has answered that it never looked at it.
    AttemptRejected {
        key: u64,
        worker: String,
    },
    /// The work has had its effect.
    Executed {
        key: u64,
        worker: String,
    },
    LoadOrdered {
        scheduler: String,
        worker: String,
    },
    /// The list service has told a scheduler of a worker.
    ListEntrySent {
        scheduler: String,
        worker: String,
        lifecycle: Lifecycle,
    },
    /// A worker's process is up, empty and cold.
    WorkerStarted {
        worker: String,
    },
    WorkerOverloaded {
        worker: String,
        offered: f64,
        limit: f64,
    },
    /// The script killed a scheduler or held it still, or kept a worker from reading, up to this moment.
    Suspended {
        component: String,
        until: Time,
    },
    /// The machine gave no turn since then: to this scheduler, or (none) to clients and stand-ins. Measured, never scripted.
    Stalled {
        scheduler: Option<String>,
        since: Time,
    },
    /// The script did something.
    Scripted {
        description: String,
    },
}

/// All that was seen, by one clock. Every stand-in and client writes here, no scheduler does.
#[derive(Clone)]
pub struct Transcript {
    started_at: Instant,
    events: Arc<Mutex<Vec<(Time, TranscriptEvent)>>>,
    /// Something was written down.
    added: watch::Sender<()>,
}

/// The record's clock starts so far on that nothing in it is "long ago".
const CLOCK_START: Time = Time(36_000_000);

/// Between two looks at whether the machine gives turns; less than this late counts as none.
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

    /// Time since the record began.
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

    /// Waits until `look` finds what it wants in all that was seen, and gives that.
    pub async fn wait_for<T>(&self, find: impl Fn(Vec<(Time, TranscriptEvent)>) -> Option<T>) -> T {
        let mut added = self.added.subscribe();
        loop {
            if let Some(found) = find(self.events()) {
                return found;
            }
            // The sender is the record's own: it cannot have gone.
            let _ = added.changed().await;
        }
    }

    /// Looks again and again how late the runtime of clients and stand-ins wakes, and writes it down. Guards against taking
    /// a machine that is busy with other things for a scheduler that is late: while these get no turn, an answer lies in
    /// a socket.
    pub async fn watch_runtime_stalls(self) {
        loop {
            let due = self.now() + STALL_CHECK_INTERVAL;
            sleep_until(self.instant(due).into()).await;
            if self.now() - due >= STALL_CHECK_INTERVAL {
                self.add(TranscriptEvent::Stalled { scheduler: None, since: due });
            }
        }
    }

    /// Writes down how long this thread, a scheduler's own, was ready to run and not let. Only the system's account of that
    /// counts: what the scheduler itself takes, or waits for, is its own fault.
    pub async fn watch_scheduler_stalls(self, scheduler: String) {
        let mut before = run_queue_wait();
        loop {
            sleep_until(self.instant(self.now() + STALL_CHECK_INTERVAL).into()).await;
            let waited = run_queue_wait();
            let stalled = waited - before;
            if stalled >= STALL_CHECK_INTERVAL {
                before = waited;
                let (scheduler, since) = (Some(scheduler.clone()), self.now() - stalled);
                self.add(TranscriptEvent::Stalled { scheduler, since });
            }
        }
    }

    /// Everything so far, in order of time.
    pub fn events(&self) -> Vec<(Time, TranscriptEvent)> {
        let mut all = self.events.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_by_key(|(at, _)| *at);
        all
    }
}

/// How long this thread has waited for a processor in all, as the system tells; nought where it does not.
fn run_queue_wait() -> Time {
    let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = schedstat.split(' ').nth(1).and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
    Time(nanoseconds / 100_000)
}
