use std::collections::{BTreeMap, VecDeque};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};

use crate::members::RunId;

/// An observation of a function at a worker by some instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    pub worker: WorkerId,
    pub function: FunctionId,
    pub hint: Hint,
    /// RPCs of the function that the worker held.
    pub rpcs_held: u64,
    /// When it was observed, on the local clock. Transit times between instances, some milliseconds each, are
    /// not counted.
    pub observed_at: Time,
    /// The run that observed it, and its sequence number in that run.
    pub run: RunId,
    pub seq: u64,
}

/// Minimum time between two reports of an unchanged row, and of a changed one, except for a copy that has
/// become ready. Without the second limit, workers that reject many RPCs would have each load and its end
/// reported in turn.
const REPEAT_INTERVAL: Time = Time(20_000);
const CHANGE_INTERVAL: Time = Time(5_000);
/// Rate limit for observations of this instance: per second, and burst.
const SEND_RATE: f64 = 100.0;
const SEND_BURST: f64 = 200.0;

/// The sequence numbers received from a run: the last one, and a bit for each of the 128 before it.
#[derive(Clone, Copy, Default)]
struct SeqWindow {
    last: u64,
    seen_before: u128,
}

impl SeqWindow {
    /// Adds a number and returns whether it is new. One too far before the last counts as known.
    fn insert(&mut self, seq: u64) -> bool {
        if seq > self.last {
            let step = seq - self.last;
            let shifted =
                u32::try_from(step).ok().and_then(|step| self.seen_before.checked_shl(step)).unwrap_or(0);
            let last_bit = if self.last > 0 && step <= 128 { 1 << (step - 1) } else { 0 };
            (self.last, self.seen_before) = (seq, shifted | last_bit);
            return true;
        }
        let back = self.last - seq;
        if back == 0 || back > 128 {
            return false;
        }
        let bit = 1 << (back - 1);
        let new = self.seen_before & bit == 0;
        self.seen_before |= bit;
        new
    }
}

/// The newest observation of each function at each worker, by any instance.
///
/// The later observation wins, whichever path it took and however often it arrives: order, grouping and
/// repetition make no difference. Rows received before are recognised by their sequence numbers, because the
/// ages of two copies of one row differ by their transit times.
pub struct HintTable {
    lifetime: Time,
    max_rows: usize,
    rows: BTreeMap<(WorkerId, FunctionId), Observation>,
    /// The sequence numbers received from each run, and when the last one arrived.
    received: BTreeMap<RunId, (SeqWindow, Time)>,
    next_seq: u64,
    send_budget: (f64, Time),
    swept_at: Time,
}

impl HintTable {
    /// Rows older than `lifetime` are removed; at most `max_rows` are kept.
    pub fn new(now: Time, lifetime: Time, max_rows: usize) -> HintTable {
        let (rows, received) = Default::default();
        HintTable {
            lifetime,
            max_rows,
            rows,
            received,
            next_seq: 0,
            send_budget: (SEND_BURST, now),
            swept_at: now,
        }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All rows, ordered by run and sequence number, for a member that has just started: in this order no later
    /// row of a run is taken for an old one.
    pub fn ordered(&self) -> Vec<Observation> {
        let mut all: Vec<Observation> = self.rows.values().copied().collect();
        all.sort_by_key(|s| (s.run, s.seq));
        all
    }

    /// The latest observation of a function at a worker.
    pub fn get(&self, worker: WorkerId, function: FunctionId) -> Option<&Observation> {
        self.rows.get(&(worker, function))
    }

    /// Whether an observation is news to other instances, judging by the rows held here.
    pub fn is_news(
        &self, now: Time, worker: WorkerId, function: FunctionId, hint: Hint, rpcs_held: u64,
    ) -> bool {
        // An absent copy is news only to instances that expect one.
        self.get(worker, function).map_or(hint != Hint::Gone, |k| {
            let (age, differs_much) =
                (now - k.observed_at, rpcs_held.abs_diff(k.rpcs_held) >= 2 + k.rpcs_held / 2);
            let differs = k.hint != hint && (hint == Hint::Warm || age >= CHANGE_INTERVAL);
            differs || age >= REPEAT_INTERVAL || (differs_much && age >= CHANGE_INTERVAL)
        })
    }

    /// Adds an observation of this instance. Returns the row if other instances are to be told.
    pub fn observe(
        &mut self, now: Time, run: RunId, worker: WorkerId, function: FunctionId, hint: Hint, rpcs_held: u64,
    ) -> Option<Observation> {
        let is_news = self.is_news(now, worker, function, hint, rpcs_held);
        let (tokens, refilled_at) = self.send_budget;
        self.send_budget = ((tokens + SEND_RATE * (now - refilled_at).ms() / 1000.0).min(SEND_BURST), now);
        if !is_news || self.send_budget.0 < 1.0 {
            return None;
        }
        self.send_budget.0 -= 1.0;
        self.next_seq += 1;
        let observation =
            Observation { worker, function, hint, rpcs_held, observed_at: now, run, seq: self.next_seq };
        self.insert(observation).then_some(observation)
    }

    /// Adds a row received from a peer. Returns whether it is new here and to be passed on.
    pub fn receive(&mut self, now: Time, observation: Observation) -> bool {
        if now - observation.observed_at >= self.lifetime {
            return false;
        }
        if self.received.len() >= self.max_rows && !self.received.contains_key(&observation.run) {
            return false;
        }
        // Under a byte budget the newest rows are sent first, so earlier ones may follow them.
        let (window, at) = self.received.entry(observation.run).or_default();
        if !window.insert(observation.seq) {
            return false;
        }
        *at = now;
        self.insert(observation)
    }

    fn insert(&mut self, observation: Observation) -> bool {
        let key = (observation.worker, observation.function);
        let stamp = |s: &Observation| (s.observed_at, s.run, s.seq);
        let newer = self.rows.get(&key).is_none_or(|k| stamp(k) < stamp(&observation));
        let fits = self.rows.len() < self.max_rows || self.rows.contains_key(&key);
        if newer && fits {
            self.rows.insert(key, observation);
        }
        newer && fits
    }

    /// Removes expired rows.
    pub fn sweep(&mut self, now: Time) {
        if now - self.swept_at < CHANGE_INTERVAL {
            return;
        }
        self.swept_at = now;
        let lifetime = self.lifetime;
        self.rows.retain(|_, s| now - s.observed_at < lifetime);
        // No row of a run is passed on for longer than this, so an old number cannot return.
        self.received.retain(|_, (_, at)| now - *at < Time(4 * lifetime.0));
    }
}

/// Rows waiting to be sent on a link, in order; beyond the limit the oldest is dropped.
#[derive(Default)]
pub struct PendingHints(VecDeque<Observation>);

/// Maximum number of rows waiting on a link, and sent at a time: one frame of at most 32 kB.
const MAX_PENDING_ROWS: usize = 8192;
const MAX_BATCH_ROWS: usize = 512;

impl PendingHints {
    pub fn push(&mut self, observation: Observation) {
        if self.0.len() >= MAX_PENDING_ROWS {
            self.0.pop_front();
        }
        self.0.push_back(observation);
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes the next rows to be sent.
    pub fn take(&mut self) -> Vec<Observation> {
        let n = self.0.len().min(MAX_BATCH_ROWS);
        self.0.drain(..n).collect()
    }
}
