//! curlewpoint: places RPCs on a fleet of workers that load functions on demand.
//!
//! [`scheduler`] takes every decision, [`host`] is what it acts through, [`types`] the words both use.

pub mod host;
pub mod scheduler;
mod state;
pub mod types;
