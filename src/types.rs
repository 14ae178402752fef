//! The words that the decision module and its hosts share.

use std::ops::{Add, Sub};

/// An RPC taken by this scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RpcId(pub u64);

/// A worker, the same at every scheduler and across restarts of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerId(pub u64);

/// A function (a model) that workers load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FunctionId(pub u64);

/// A method: an index into the settings' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MethodId(pub usize);

/// A tenant: an index into the settings' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// A zone: an index into the settings' list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// A cell: workers that share which tokens they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// An attempt of an RPC, numbered from 0 in the order sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub usize);

/// A wake-up that the module asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);

/// A moment or a span, in whole tenths of a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// Whole tenths of a millisecond, rounded down; what is negative or no number is nought.
    pub fn from_ms(ms: f64) -> Self {
        Time((ms * 10.0) as u64)
    }

    pub fn ms(self) -> f64 {
        self.0 as f64 / 10.0
    }
}

impl Add for Time {
    type Output = Time;
    fn add(self, other: Time) -> Time {
        Time(self.0.saturating_add(other.0))
    }
}

impl Sub for Time {
    type Output = Time;
    fn sub(self, other: Time) -> Time {
        Time(self.0.saturating_sub(other.0))
    }
}

/// What the list of workers says of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// What schedulers that know of each other tell of a function at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hint {
    /// A copy is not there, or a load of it failed.
    Gone,
    /// It was turned away where it lacked a copy.
    Full,
    /// A load is under way.
    Loading,
    /// A copy gave an answer.
    Warm,
}

/// How an attempt, a probe or a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    TimeOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
    Miss,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss)
    }
}

/// What an answer says of the copy that the RPC met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyReport {
    Unreported,
    Warm,
    BeganLoad,
    WaitedForLoad,
    LoadFailed,
}
