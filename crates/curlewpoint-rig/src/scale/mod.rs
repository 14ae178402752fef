//! Simulates many schedulers in one process: real state machines and frames, simulated network and time.
//!
//! Bytes are those of the frames that a real link would carry. Processor time is that of the thread inside the state machine,
//! the encoder and the decoder. Memory is the growth of the resident size. The same seed gives the same counts and bytes.

mod fit;
mod fleet_part;
mod measure;
mod module_part;
mod parts;
mod place;
pub mod plan;
mod report;
mod simulation;
mod steps;
mod tally;
mod worker_part;

pub use fit::{off, Fit, FITTED, OFF};
pub use fleet_part::{all_start, settle, AllStart, Burst, Joined, Load, OneSecond, Rate, Settled};
pub use measure::{Ledger, Measure, Measurements};
pub use module_part::{module_cost, Cost};
pub use parts::{measure_part, MeasureOptions, Part, FLEET, MODULE, SERVICE, WATCHER, WORKER};
pub use report::Report;
pub use simulation::{Simulation, SimulationSettings, Spent, BOUNDS, DEFAULT_LINK_RATE};
pub use steps::{Row, Table};
pub use tally::{resident, Meter, Tally, GROUPS};
pub use worker_part::{borne, Borne, Choice, Scene};

/// Range of the number of schedulers in a simulated fleet.
pub const MIN_SCHEDULERS: usize = 16;
pub const MAX_SCHEDULERS: usize = 4_000;
/// Range of a link's rate in bytes per second.
pub const LINK_RATES: std::ops::RangeInclusive<u64> = 1_000..=1_000_000_000;
/// Range of the copy directory's budget in bytes per second.
pub const DIRECTORY_BUDGETS: std::ops::RangeInclusive<u64> = 100..=1_000_000;
