//! What the decision module keeps of workers and RPCs; it alone decides what goes in.

use std::collections::BTreeMap;

use crate::types::*;

/// What I believe of a function on a worker, from my sends and answers only.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Copies {
    #[default]
    Unknown,
    Loading,
    /// Last known warm at this time; past keep-alive only an image may be left on its disk.
    Warm(Time),
}

#[derive(Default)]
pub struct Belief {
    pub copies: Copies,
    pub mine: u64,
    /// RPCs of the function that others had there, as answers told at `told`.
    pub others: f64,
    pub told: Time,
    /// The worker turned the function away where it lacked a copy: no load is begun there until then.
    pub no_load_until: Time,
    /// When I last saw myself whether a copy stands there.
    pub seen: Time,
    /// What another scheduler has seen since, and when.
    pub hint: Option<(Hint, Time)>,
}

impl Belief {
    /// What was told of others, halved for each `half` milliseconds since.
    pub fn others_now(&self, now: Time, half: f64) -> f64 {
        faded(self.others, 0.0, now - self.told, half)
    }

    /// An answer told of `others`, which weighs `step` against all before.
    pub fn tell(&mut self, now: Time, others: f64, half: f64, step: f64) {
        let before = self.others_now(now, half);
        (self.others, self.told) = (before + (others - before) * step, now);
    }
}

/// What is left of `value` above `rest` after a time, halved each `half` milliseconds.
pub fn faded(value: f64, rest: f64, age: Time, half: f64) -> f64 {
    if value == rest {
        return rest;
    }
    rest + (value - rest) * (-age.ms() / half).exp2()
}

#[derive(Default)]
pub struct Worker {
    pub standing: Lifecycle,
    pub size: f64,
    /// When the list last told something of it.
    pub told: Time,
    pub since: Time,
    /// Since when it may be cold: its listed start, or a death that I saw myself.
    pub cold_since: Option<Time>,
    pub zone: ZoneId,
    pub cell: CellId,
    pub mine: u64,
    pub ceiling: f64,
    /// A 'full' reply holds until then, longer with each in a row.
    pub full_until: Time,
    pub fulls: u32,
    pub util: Option<f64>,
    /// The share of its memory that can't be freed, as last reported.
    pub memory: f64,
    /// How long its warm answers took against the usual, at `paced`; nought where it has given none.
    pub slowness: f64,
    pub paced: Time,
    pub beliefs: BTreeMap<FunctionId, Belief>,
    pub evidence: f64,
    pub suspect: bool,
    /// Where in its gap between attempts my first one to it lies while it is cold, drawn anew at each start.
    pub phase: f64,
    pub last_sent: Time,
    /// When an attempt to it last broke off.
    pub broke: Time,
    /// When it last answered anything.
    pub heard: Time,
    pub probed: Time,
}

impl Worker {
    pub fn slowness_now(&self, now: Time, half: f64) -> f64 {
        let told = if self.paced == Time(0) { 1.0 } else { self.slowness };
        faded(told, 1.0, now - self.paced, half)
    }

    /// A warm answer took so much against the usual; it weighs `step` against all before.
    pub fn took(&mut self, now: Time, against_usual: f64, half: f64, step: f64) {
        let before = self.slowness_now(now, half);
        (self.slowness, self.paced) = (before + (against_usual - before) * step, now);
    }

    /// A death, a restart or a broken connection: nothing that was believed of its copies holds.
    pub fn forget_copies(&mut self) {
        self.beliefs.values_mut().for_each(|b| (b.copies, b.hint) = (Copies::Unknown, None));
    }
}

pub struct Attempt {
    pub worker: WorkerId,
    pub sent: Time,
    pub open: bool,
    pub never_ran: bool,
    /// The worker turned it away.
    pub full: bool,
    /// Its connection broke; the worker may be well.
    pub broke: bool,
    /// Sent where a copy was believed warm.
    pub warm: bool,
    /// My RPCs of the function that were there already.
    pub beside: u64,
    /// How often it was counted as overdue.
    pub overdue: u32,
}

pub struct Rpc {
    pub method: MethodId,
    pub function: FunctionId,
    pub tenant: TenantId,
    pub lanes: f64,
    pub taken: Time,
    pub deadline: Time,
    pub outs: Vec<Attempt>,
    /// In the first line, or (once it has been called out) in the second.
    pub waiting: bool,
    /// The final answer has been given; kept while attempts are still open.
    pub done: bool,
    pub streaming: bool,
}

impl Rpc {
    pub fn open(&self) -> usize {
        self.outs.iter().filter(|o| o.open).count()
    }
}
