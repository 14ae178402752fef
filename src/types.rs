//! Types that the scheduler shares with its hosts.

use std::ops::{Add, Sub};

/// An RPC that this scheduler received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RpcId(pub u64);

/// A worker; the id is the same at every scheduler and across restarts of the worker's process.
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

/// A cell: a group of workers that share their record of used idempotency tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// An attempt of an RPC, numbered from 0 in the order sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub usize);

/// A timer that the scheduler set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);

/// A point in time or a duration, in whole tenths of a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// Converts milliseconds, rounding down to whole tenths; negative values and NaN become zero.
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

/// The lifecycle state of a worker, as the endpoint list gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// An observation of a function at a worker, as schedulers of a fleet share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hint {
    /// The worker has no copy, or a load of it failed.
    Gone,
    /// The worker had no copy and turned an RPC away.
    Full,
    /// A load is under way.
    Loading,
    /// A copy answered an RPC.
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

/// The state in which an RPC found the function's copy at the worker, as the answer reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyReport {
    Unreported,
    Warm,
    BeganLoad,
    WaitedForLoad,
    LoadFailed,
}
