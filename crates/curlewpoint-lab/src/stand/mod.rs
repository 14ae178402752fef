//! The stand-ins on sockets.

pub mod broker;
pub mod list;
pub mod puppet;
pub mod store;
pub mod wire;
pub mod worker;

pub use broker::BrokerStand;
pub use list::ListStand;
pub use puppet::{answer, Puppet};
pub use store::StoreStand;
pub use worker::{Trade, WorkerStand};
