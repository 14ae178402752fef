//! The gateway daemon: endpoints for clients over the native protocol, HTTP and AMQP, and connections to workers, the
//! list service and peers. It performs the I/O only. One task owns the [`Engine`](curlewpoint_engine::Engine), which
//! makes the decisions; every other task reads or writes a connection and exchanges events with that task over
//! channels.

mod amqp;
mod clients;
mod codes;
mod driver;
mod events;
mod http;
mod list;
mod peers;
mod reload;
mod run;
mod snapshot;
mod workers;

pub use codes::{answer_code, copy_code, lifecycle_code, outcome_code, read_answer, refusal_name};
pub use reload::{ReloadError, ReloadHandle};
pub use run::{start, RunningScheduler, StartError, StopHandle};
