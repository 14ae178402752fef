//! A soak: real processes of `node` among stand-ins of their clients, workers and directory, under a seeded mix of faults. Clients
//! keep using open connections until a process is killed, at the earliest moment that the platform allows.
//!
//! What is judged is what passed on the stand-ins' own sockets ([`Ledger`], [`judge`]); no process is asked about itself. The same
//! seed draws the same plan and the same faults; the moments at which they meet the load are the machine's.

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
