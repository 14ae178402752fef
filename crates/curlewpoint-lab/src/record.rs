use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use curlewpoint::types::{Standing, Time};
use curlewpoint_engine::Answer;

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
        standing: Standing,
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
}

/// The record's clock starts so far on that nothing in it is "long ago".
const START: Time = Time(36_000_000);

impl Default for Record {
    fn default() -> Self {
        Record { began: Instant::now(), seen: Arc::default() }
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
    }

    /// Everything so far, in order of time.
    pub fn all(&self) -> Vec<(Time, Seen)> {
        let mut all = self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_by_key(|(at, _)| *at);
        all
    }
}
