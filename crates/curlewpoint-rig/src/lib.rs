//! Many real processes of the program on one machine, each pair of parties joined by a relay on loopback, so that any
//! two can be cut, delayed, slowed or reset while both live.
//!
//! A [`FleetScenario`] tells the fleet, the load and the faults; one seed gives the same faults again. What is judged is what
//! passed through the relays and at the far ends of them, which are the rig's own; no scheduler is asked about itself.
//!
//! [`scale`] is the other kind: hollow schedulers by the thousand in one process, without sockets.

mod calls;
mod figures;
mod forge;
mod offline_optimum;
mod ports;
mod process;
mod relay;
mod run;
pub mod scale;
mod scenario;

pub use figures::{Cost, Directory, Figures, Look, Second, Spread, Waits, WINDOW};
pub use offline_optimum::OfflineOptimum;
pub use process::{Process, Program, Usage};
pub use relay::{Effect, Passed, Relay, Rules, Shared, Tape, Taped};
pub use run::{run, temporary_folder, Outcome, ScenarioRun};
pub use scenario::{Action, At, FleetScenario, Limit, Span, Who, SHIPPED_SCENARIOS};
