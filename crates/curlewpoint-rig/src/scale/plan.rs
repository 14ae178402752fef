//! The plan's numbers, what follows from them, and what is assumed where it tells nothing.

/// Schedulers at the size planned.
pub const SCHEDULERS: f64 = 3_400.0;
pub const COPIES: f64 = 170_000.0;
pub const FUNCTIONS: f64 = 69_000.0;
/// Calls a second, in all.
pub const CALLS: f64 = 740_000.0;
/// Changes of configuration a day, each in force everywhere within so many seconds.
pub const CHANGES: f64 = 3_100.0;
pub const IN_FORCE: f64 = 17.0;
/// Machines that are restarted or replaced, and that fail, in a day.
pub const RESTARTS: f64 = 540.0;
/// For control, of a scheduler: part of a core, bytes of memory, bytes a second.
pub const CORE: f64 = 0.038;
pub const MEMORY: f64 = 128e6;
pub const BYTES: f64 = 10_000.0;

/// Assumed: copies a worker holds. The plan tells none; 10 and 50 are the ends of the range.
pub const COPIES_A_WORKER: f64 = 20.0;
/// Assumed: things that one scheduler sees anew in a second, a load begun or a copy come up. Nine in ten of the functions
/// called once a minute, each time cold, are 62,100 / 60 s / 3,400 = 0.3; 0.1 and 1 are the ends of the range.
pub const SEEN: [f64; 3] = [0.1, 0.3, 1.0];

/// Calls a second of one scheduler.
pub fn calls_each() -> f64 {
    CALLS / SCHEDULERS
}

/// Workers and functions beside so many schedulers, in step with the plan.
pub fn workers(schedulers: usize) -> usize {
    (schedulers as f64 * COPIES / COPIES_A_WORKER / SCHEDULERS).round() as usize
}

pub fn functions(schedulers: usize) -> usize {
    (schedulers as f64 * FUNCTIONS / SCHEDULERS).round() as usize
}

/// Microseconds that one call may cost for control.
pub fn us_a_call() -> f64 {
    CORE * 1e6 / calls_each()
}
