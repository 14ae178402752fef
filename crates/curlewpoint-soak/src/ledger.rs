//! Record of the traffic on the sockets of the test servers, with timestamps.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The id assigned to a request by its client.
pub type RequestId = u64;

/// Identifies one run of a process: the index of the process and the number of the start.
pub type RunId = (usize, usize);

/// The kind of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Good,
    Refused,
    Failed,
}

/// A request that was written completely.
#[derive(Clone, Debug)]
pub struct Request {
    pub node: usize,
    pub is_side_effecting: bool,
    pub timeout: Duration,
    pub written: Instant,
    /// Time at which the client cancelled the request or closed the connection.
    pub abandoned: Option<Instant>,
    pub answers: Vec<(Instant, Answer)>,
    /// Time at which the process ended the connection.
    pub disconnected: Option<Instant>,
    /// Whether the request is the repetition, on a new connection, of one that crossed the close of an idle connection.
    pub was_repeated: bool,
}

/// An attempt or a load order that a worker has received completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub run: RunId,
    /// The name of the worker, which changes at each start.
    pub worker: String,
    /// None for a load order.
    pub request: Option<RequestId>,
    pub first_byte: Instant,
    pub received: Instant,
    pub budget: Duration,
    /// The answer of the worker, if any.
    pub answer: Option<&'static str>,
}

/// One run of a process.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    pub started: Instant,
    pub terminated: Option<Instant>,
    pub killed: Option<Instant>,
    /// Time of its end, and the exit code unless a signal ended it.
    pub ended: Option<(Instant, Option<i32>)>,
    /// Times from SIGSTOP to SIGCONT of over a second.
    pub suspended: Vec<(Instant, Instant)>,
}

/// Everything recorded in one soak run.
#[derive(Default)]
pub struct LedgerState {
    pub requests: BTreeMap<RequestId, Request>,
    pub arrivals: Vec<Arrival>,
    pub process_runs: BTreeMap<RunId, ProcessRun>,
    /// Time at which a process run was sent a list in which a worker drains or is missing.
    pub notified: BTreeMap<(RunId, String), Instant>,
    /// Time at which each worker first drained or was missing in the directory's list.
    pub drained: BTreeMap<String, Instant>,
    /// Times in which the directory answered nothing.
    pub silences: Vec<(Instant, Instant)>,
    /// Errors of the test harness itself.
    pub harness_errors: Vec<String>,
}

/// Shared access to the record of one soak run.
#[derive(Default)]
pub struct Ledger(Mutex<LedgerState>);

impl Ledger {
    pub fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
