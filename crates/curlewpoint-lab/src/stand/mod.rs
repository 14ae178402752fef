//! The stand-ins on sockets.

pub mod list;
pub mod store;
pub mod wire;
pub mod worker;

pub use list::ListStand;
pub use store::StoreStand;
pub use worker::{Trade, WorkerStand};
