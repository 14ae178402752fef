//! The daemon: doors for clients, connections to workers, the list. It moves bytes and nothing else: one task owns the
//! [`Engine`](curlewpoint_engine::Engine), all others read or write a connection and speak with it by channels.

mod amqp;
mod clients;
mod codes;
mod http;
mod list;
mod notes;
mod outside;
mod peers;
mod reload;
mod run;
mod snapshot;
mod workers;

pub use codes::{answer_code, copy_code, outcome_code, read_answer, refusal_name, standing_code};
pub use reload::{ReloadError, ReloadHandle};
pub use run::{start, RunningScheduler, StartError, StopHandle};
