//! The stand-ins on sockets.

pub mod broker;
pub mod list;
pub mod scripted_worker;
pub mod store;
pub mod wire;
pub mod worker;

pub use broker::TestBroker;
pub use list::TestListService;
pub use scripted_worker::{encode_answer, ScriptedWorker};
pub use store::TestStore;
pub use worker::{MethodCost, TestWorker};
