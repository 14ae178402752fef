//! Hollow schedulers, many in one process: the real state machines and the real frames, a made-up network and time.
//!
//! Bytes are those of the frames that a real link would carry; processor time is that of the thread inside the state
//! machine, the encoder and the decoder; memory is told by differences of the resident size.

mod fleet_part;
mod module_part;
mod place;
pub mod plan;
mod steps;
mod tally;
mod world;

pub use fleet_part::{all_start, rows_held, settle, AllStart, Joined, Rate, Settled};
pub use module_part::{module_cost, Cost};
pub use steps::{steps, Step, Table};
pub use tally::{resident, Meter, Tally, GROUPS};
pub use world::{Spent, World, BOUNDS};

/// Sizes that can be played.
pub const LEAST_SIZE: usize = 16;
pub const MOST_SIZE: usize = 4_000;
