//! The state that the scheduler keeps of workers and RPCs.

use std::collections::BTreeMap;

use crate::types::*;

/// What this scheduler believes of a function's copies on a worker, from its own attempts and their answers only.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CopyState {
    #[default]
    Unknown,
    Loading,
    /// Last known warm at this time. Past keep-alive, at most an image is left on the worker's disk.
    Warm(Time),
}

/// What this scheduler believes of one function on one worker.
#[derive(Default)]
pub struct Belief {
    pub copy: CopyState,
    /// Attempts of this scheduler in flight.
    pub own_in_flight: u64,
    /// RPCs in flight from other schedulers, a decaying mean of what answers and hints reported.
    pub others_in_flight: f64,
    /// When `others_in_flight` was last updated.
    pub others_at: Time,
    /// No load of the function is begun here until then, after the worker has turned an RPC of it away.
    pub no_load_until: Time,
    /// When this scheduler itself last observed whether the worker has a copy.
    pub observed_at: Time,
    /// The latest observation of another scheduler, and its time. Only ones newer than `observed_at` are taken in.
    pub hint: Option<(Hint, Time)>,
}

impl Belief {
    /// `others_in_flight`, halved for each `half_life_ms` since it was updated.
    pub fn others_now(&self, now: Time, half_life_ms: f64) -> f64 {
        decayed(self.others_in_flight, 0.0, now - self.others_at, half_life_ms)
    }

    /// Adds a reported number of other schedulers' RPCs, with this weight against all before it.
    pub fn record_others(&mut self, now: Time, others: f64, half_life_ms: f64, weight: f64) {
        let before = self.others_now(now, half_life_ms);
        (self.others_in_flight, self.others_at) = (before + (others - before) * weight, now);
    }
}

/// `value` after `age`: its distance from `baseline` halves each `half_life_ms`.
pub fn decayed(value: f64, baseline: f64, age: Time, half_life_ms: f64) -> f64 {
    if value == baseline {
        return baseline;
    }
    baseline + (value - baseline) * (-age.ms() / half_life_ms).exp2()
}

#[derive(Default)]
pub struct Worker {
    pub lifecycle: Lifecycle,
    pub size: f64,
    /// When an endpoint list last named this worker, or a complete one left it out.
    pub listed_at: Time,
    /// The start of its process, as listed.
    pub started_at: Time,
    /// Since when its process may be cold: its listed start, or a death that this scheduler saw.
    pub cold_since: Option<Time>,
    pub zone: ZoneId,
    pub cell: CellId,
    /// Attempts of this scheduler in flight.
    pub own_in_flight: u64,
    /// Most attempts that this scheduler keeps in flight here.
    pub ceiling: f64,
    /// End of the pause after a 'full' reply; the pause grows with each such reply in a row.
    pub full_until: Time,
    /// 'Full' replies in a row, as far as they lengthen the pause.
    pub consecutive_fulls: u32,
    /// Utilization as last reported, or the number of RPCs held where reports lack it.
    pub utilization: Option<f64>,
    /// Share of its memory that can't be freed, as last reported.
    pub pinned_memory: f64,
    /// Its warm answers' times as a multiple of the method's mean, at `slowness_at`; meaningless before any.
    pub slowness: f64,
    /// When `slowness` was last updated; zero: never.
    pub slowness_at: Time,
    pub beliefs: BTreeMap<FunctionId, Belief>,
    /// Log-likelihood ratio that the worker is failing.
    pub evidence: f64,
    /// Ejected: gets no attempts until the evidence has decayed or answers have outweighed it.
    pub suspect: bool,
    /// Position of this scheduler's slots among those of all schedulers while the worker is cold, from 0 to 1. Drawn at
    /// each start of the worker.
    pub slot_phase: f64,
    pub last_sent: Time,
    /// When the connection of an attempt last broke.
    pub last_broken: Time,
    /// When the worker last answered anything.
    pub last_answer: Time,
    /// When a load report last arrived or was last asked for.
    pub last_report: Time,
}

impl Worker {
    pub fn slowness_now(&self, now: Time, half_life_ms: f64) -> f64 {
        let last = if self.slowness_at == Time(0) { 1.0 } else { self.slowness };
        decayed(last, 1.0, now - self.slowness_at, half_life_ms)
    }

    /// Adds a warm answer's time, as a multiple of the method's mean, with this weight against all before it.
    pub fn record_slowness(&mut self, now: Time, multiple: f64, half_life_ms: f64, weight: f64) {
        let before = self.slowness_now(now, half_life_ms);
        (self.slowness, self.slowness_at) = (before + (multiple - before) * weight, now);
    }

    /// Drops all beliefs about copies, after a death, a restart or a broken connection.
    pub fn forget_copies(&mut self) {
        self.beliefs.values_mut().for_each(|b| (b.copy, b.hint) = (CopyState::Unknown, None));
    }
}

pub struct Attempt {
    pub worker: WorkerId,
    pub sent_at: Time,
    pub open: bool,
    /// Its outcome proves that it never ran.
    pub never_ran: bool,
    /// The worker turned it away, or its load failed.
    pub full: bool,
    /// Its connection broke; the worker itself may be healthy.
    pub connection_broke: bool,
    /// A copy was believed warm when it was sent.
    pub warm: bool,
    /// This scheduler's RPCs of the function that were in flight at the worker when it was sent.
    pub own_ahead: u64,
    /// How often it has been counted as overdue.
    pub overdue: u32,
    /// Whether the worker was the listed one, in the listed zone and cell, for certain when it was sent.
    pub is_identified: bool,
}

pub struct Rpc {
    pub method: MethodId,
    pub function: FunctionId,
    pub tenant: TenantId,
    /// RPCs that one copy of the function runs at a time.
    pub lanes: f64,
    pub received_at: Time,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    /// In the queue of first attempts or, once it has been sent, in the retry queue.
    pub waiting: bool,
    /// The final answer has been given; the entry is kept while attempts are still open.
    pub done: bool,
    /// An attempt has begun to stream its answer.
    pub streaming: bool,
}

impl Rpc {
    pub fn open_attempts(&self) -> usize {
        self.attempts.iter().filter(|a| a.open).count()
    }
}
