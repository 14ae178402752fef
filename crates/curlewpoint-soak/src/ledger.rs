//! What passed on the stand-ins' sockets, with its moments.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The id that a client gives a request.
pub type RequestId = u64;

/// One start of one process: the process, and which start of it.
pub type RunId = (usize, usize);

/// The word of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Good,
    Refused,
    Failed,
}

/// A request that was written whole.
#[derive(Clone, Debug)]
pub struct Request {
    pub node: usize,
    pub is_side_effecting: bool,
    pub timeout: Duration,
    pub written: Instant,
    /// Its client cancelled it or closed its connection.
    pub gone: Option<Instant>,
    pub answers: Vec<(Instant, Answer)>,
    /// Its connection ended from the other side.
    pub ended: Option<Instant>,
    /// What passed before, where it was written again on a new connection.
    pub was_repeated: bool,
}

/// What came whole to a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub life: RunId,
    /// The worker's name, a new one at each start.
    pub worker: String,
    /// None: an order to load.
    pub request: Option<RequestId>,
    pub first_byte: Instant,
    pub whole: Instant,
    pub budget: Duration,
    /// The worker's answer, if it gave one.
    pub answer: Option<&'static str>,
}

/// One start of a process.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    pub started: Instant,
    pub terminated: Option<Instant>,
    pub killed: Option<Instant>,
    /// Its end, and the exit code where it ended by itself.
    pub ended: Option<(Instant, Option<i32>)>,
}

#[derive(Default)]
pub struct LedgerState {
    pub requests: BTreeMap<RequestId, Request>,
    pub arrivals: Vec<Arrival>,
    pub process_runs: BTreeMap<RunId, ProcessRun>,
    /// When a life was told that a worker drains or is gone.
    pub told: BTreeMap<(RunId, String), Instant>,
    /// What the rig itself could not do.
    pub harness_errors: Vec<String>,
}

/// The state of one run.
#[derive(Default)]
pub struct Ledger(Mutex<LedgerState>);

impl Ledger {
    pub fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
