//! Models of the gateway's environment: a worker, the model store, the list service and an AMQP broker. They do no I/O:
//! time, seed and inputs are parameters, so the same model runs behind sockets and in simulated time.
//!
//! Values that the user documentation does not state are marked as assumed where they are set.

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
