//! Models of what the gateway meets: a worker, the model store and the list service. They do no I/O: the clock, the
//! seed and all that happens are handed in, so that the same model runs behind sockets and in simulated time.
//!
//! What is not in the users' pages is marked as assumed where it is set.

mod broker;
mod list;
mod share;
mod store;
mod worker;

pub use broker::{Broker, BrokerFaults, Lines, Message};
pub use list::{ListModel, Row};
pub use share::Share;
pub use store::{FetchId, StoreModel, StoreSpec};
pub use worker::{Caller, Faults, Job, Neighbours, WorkerModel, WorkerSpec};
