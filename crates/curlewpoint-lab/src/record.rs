use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_engine::Answer;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// What a stand-in or a client saw pass on its sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A client has sent an RPC, for which it waits so long.
    Asked {
        key: u64,
        scheduler: String,
        method: String,
        left: Time,
    },
    Final {
        key: u64,
        answer: Answer,
    },
    /// The scheduler would not take it.
    Refused {
        key: u64,
        why: String,
    },
    /// The client has lost its connection, or ended it: nothing is owed any more.
    Left {
        key: u64,
    },
    /// An attempt has arrived at a worker.
    Arrived {
        key: u64,
        scheduler: String,
        worker: String,
        method: String,
    },
    /// The worker has answered that it never looked at it.
    TurnedAway {
        key: u64,
        worker: String,
    },
    /// The work has had its effect.
    Ran {
        key: u64,
        worker: String,
    },
    Ordered {
        scheduler: String,
        worker: String,
    },
    /// The list service has told a scheduler of a worker.
    Told {
        scheduler: String,
        worker: String,
        standing: Lifecycle,
    },
    /// A worker's process is up, empty and cold.
    Started {
        worker: String,
    },
    Fell {
        worker: String,
        pushed: f64,
        limit: f64,
    },
    /// The script killed a scheduler or held it still, or kept a worker from reading, up to this moment.
    Held {
        who: String,
        until: Time,
    },
    /// The machine gave no turn since then: to this scheduler, or (none) to clients and stand-ins. Measured, never scripted.
    Stalled {
        scheduler: Option<String>,
        since: Time,
    },
    /// The script did something.
    Scripted {
        what: String,
    },
}

/// All that was seen, by one clock. Every stand-in and client writes here, no scheduler does.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    seen: Arc<Mutex<Vec<(Time, Seen)>>>,
    /// Something was written down.
    added: watch::Sender<()>,
}

/// The record's clock starts so far on that nothing in it is "long ago".
const START: Time = Time(36_000_000);

/// Between two looks at whether the machine gives turns; less than this late counts as none.
const PULSE: Time = Time(100);

impl Default for Record {
    fn default() -> Self {
        Record { began: Instant::now(), seen: Arc::default(), added: watch::Sender::default() }
    }
}

impl Record {
    pub fn now(&self) -> Time {
        START + Time((self.began.elapsed().as_micros() / 100) as u64)
    }

    /// Time since the record began.
    pub fn since_start(at: Time) -> Time {
        at - START
    }

    pub fn instant(&self, at: Time) -> Instant {
        self.began + std::time::Duration::from_micros((at - START).0 * 100)
    }

    pub fn add(&self, seen: Seen) {
        self.add_at(self.now(), seen);
    }

    pub fn add_at(&self, at: Time, seen: Seen) {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).push((at, seen));
        self.added.send_replace(());
    }

    /// Waits until `look` finds what it wants in all that was seen, and gives that.
    pub async fn until<T>(&self, look: impl Fn(Vec<(Time, Seen)>) -> Option<T>) -> T {
        let mut added = self.added.subscribe();
        loop {
            if let Some(found) = look(self.all()) {
                return found;
            }
            // The sender is the record's own: it cannot have gone.
            let _ = added.changed().await;
        }
    }

    /// Looks again and again how late the runtime of clients and stand-ins wakes, and writes it down. Guards against taking
    /// a machine that is busy with other things for a scheduler that is late: while these get no turn, an answer lies in
    /// a socket.
    pub async fn feel_the_pulse(self) {
        loop {
            let due = self.now() + PULSE;
            sleep_until(self.instant(due).into()).await;
            if self.now() - due >= PULSE {
                self.add(Seen::Stalled { scheduler: None, since: due });
            }
        }
    }

    /// Writes down how long this thread, a scheduler's own, was ready to run and not let. Only the system's account of that
    /// counts: what the scheduler itself takes, or waits for, is its own fault.
    pub async fn watch_turns(self, scheduler: String) {
        let mut before = kept_waiting();
        loop {
            sleep_until(self.instant(self.now() + PULSE).into()).await;
            let waited = kept_waiting();
            let more = waited - before;
            if more >= PULSE {
                before = waited;
                let (scheduler, since) = (Some(scheduler.clone()), self.now() - more);
                self.add(Seen::Stalled { scheduler, since });
            }
        }
    }

    /// Everything so far, in order of time.
    pub fn all(&self) -> Vec<(Time, Seen)> {
        let mut all = self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_by_key(|(at, _)| *at);
        all
    }
}

/// How long this thread has waited for a processor in all, as the system tells; nought where it does not.
fn kept_waiting() -> Time {
    let told = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = told.split(' ').nth(1).and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
    Time(nanoseconds / 100_000)
}
