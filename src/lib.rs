//! curlewpoint: places RPCs on a fleet of workers that load functions on demand.
//!
//! [`brain`] takes every decision, [`host`] is what it acts through, [`types`] the words both use.

pub mod brain;
pub mod host;
mod records;
pub mod types;
