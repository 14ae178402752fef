//! One scheduler on the platform's sockets. It moves bytes and nothing else: one task owns the
//! [`Engine`](curlewpoint_engine::Engine), all others read or write a connection and speak with it by channels.

mod clients;
mod directory;
mod doors;
mod line;
mod notes;
mod outside;
mod run;
mod stall;
mod workers;

pub use run::{start, Control, SchedulerHandle, StartError};
