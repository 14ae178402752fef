//! A soak test: real processes of `node` with simulated clients, workers and directory, under a seeded mix of faults. Clients
//! keep using open connections until a process is killed, at the earliest time that the platform allows.
//!
//! The check uses only the traffic on the sockets of the test servers ([`Ledger`], [`judge`]), never information from the
//! processes themselves. The same seed generates the same plan and the same faults; their timing relative to the load depends on
//! the machine.

mod client;
mod directory;
mod judge;
mod lateness;
mod ledger;
mod plan;
mod process;
mod run;
mod worker;

pub use judge::{judge, CheckCounts, Rule, Verdict, Violation};
pub use ledger::{Answer, Arrival, Ledger, ProcessRun, Request, RequestId};
pub use plan::{Limits, Plan};
pub use process::Program;
pub use run::{run, Report};
