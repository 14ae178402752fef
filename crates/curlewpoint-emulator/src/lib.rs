//! Models of what the gateway meets: a worker, the model store and the list service. They do no I/O: the clock, the
//! seed and all that happens are handed in, so that the same model runs behind sockets and in simulated time.
//!
//! What is not in the users' pages is marked as assumed where it is set.

mod broker;
mod list;
mod shared_capacity;
mod store;
mod worker;

pub use broker::{Broker, BrokerDriver, BrokerFaults, Message};
pub use list::{ListEntry, ListModel};
pub use shared_capacity::SharedCapacity;
pub use store::{FetchId, StoreModel, StoreSpec};
pub use worker::{CallerId, Faults, Job, WorkerDriver, WorkerModel, WorkerSpec};
