//! Runs many real processes of the program on one machine. Every connection goes through a relay on loopback, so that the
//! traffic between any two parties can be cut, delayed, slowed or reset while both keep running.
//!
//! A [`FleetScenario`] describes the fleet, the load and the faults; the same seed gives the same faults. Verdict and figures
//! come from what passed the relays and from the rig's own clients, workers, store and list service, never from what a
//! scheduler reports about itself.
//!
//! [`scale`] simulates thousands of schedulers in one process, without sockets.

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

pub use figures::{
    DirectoryFigures, Figures, SchedulingDelays, SendWindow, SpanCost, Spread, UsageSample, CONNECTION_WINDOW,
};
pub use offline_optimum::OfflineOptimum;
pub use process::{Process, Program, Usage};
pub use relay::{Effect, RecordedEvent, Relay, RelayContext, RelayEvent, RelayLog, Rules};
pub use run::{run, temporary_folder, Outcome, ScenarioRun};
pub use scenario::{Action, FaultEvent, FleetScenario, Limit, MeasuredSpan, Party, SHIPPED_SCENARIOS};
