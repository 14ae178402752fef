//! The numbers of the capacity plan, values derived from them, and assumptions where it gives none.

/// Planned number of schedulers.
pub const SCHEDULERS: f64 = 3_400.0;
pub const COPIES: f64 = 170_000.0;
pub const FUNCTIONS: f64 = 69_000.0;
/// Calls per second of the whole fleet.
pub const CALLS: f64 = 740_000.0;
/// Configuration changes per day, and the seconds within which each must be in force everywhere.
pub const CHANGES: f64 = 3_100.0;
pub const IN_FORCE: f64 = 17.0;
/// Machines that restart, are replaced or fail per day.
pub const RESTARTS: f64 = 540.0;
/// A scheduler's budget for control: share of a core, bytes of memory, and bytes per second.
pub const CORE: f64 = 0.038;
pub const MEMORY: f64 = 128e6;
pub const BYTES: f64 = 10_000.0;

/// Assumed number of copies per worker, as the plan gives none; the range is 10 to 50.
pub const COPIES_A_WORKER: f64 = 20.0;
/// Assumed observations per second of one scheduler: loads that begin or copies that come up. If 90% of the functions are called
/// once a minute and always cold, that is 62,100 / 60 s / 3,400 = 0.3; the range is 0.1 to 1.
pub const SEEN: [f64; 3] = [0.1, 0.3, 1.0];

/// Calls per second of one scheduler.
pub fn calls_each() -> f64 {
    CALLS / SCHEDULERS
}

/// Number of workers for this many schedulers, in proportion to the plan.
pub fn workers(schedulers: usize) -> usize {
    (schedulers as f64 * COPIES / COPIES_A_WORKER / SCHEDULERS).round() as usize
}

pub fn functions(schedulers: usize) -> usize {
    (schedulers as f64 * FUNCTIONS / SCHEDULERS).round() as usize
}

/// Processor time in microseconds that control may use per call.
pub fn us_a_call() -> f64 {
    CORE * 1e6 / calls_each()
}
