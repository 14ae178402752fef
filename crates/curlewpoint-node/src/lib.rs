//! A scheduler on the platform's protocol. This crate moves bytes and makes no decisions: one task owns the
//! [`Engine`](curlewpoint_engine::Engine); every other task reads or writes a connection and exchanges events with it
//! over channels.

mod admission;
mod call;
mod client_close;
mod client_task;
mod clients;
mod command_reader;
mod discovery;
mod driver;
mod events;
mod memory_budget;
mod run;
mod send_lease;
mod stall;
mod worker_line;
mod workers;

pub use run::{start, Control, SchedulerHandle, StartError};
