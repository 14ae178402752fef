//! curlewpoint: places RPCs on a fleet of workers that load functions on demand.
//!
//! [`scheduler`] makes every decision, [`host`] is the interface it acts through, and [`types`] holds the types that
//! both share. The crate does no I/O and reads no clock.

pub mod host;
pub mod list_lease;
pub mod scheduler;
mod state;
pub mod types;
