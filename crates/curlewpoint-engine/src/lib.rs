//! One scheduler around the decision module, without I/O: the clock and all that happens are handed in, and it
//! acts through a [`EngineDriver`].
//!
//! [`Engine`] owes one final answer for each RPC taken and one end for each upstream request (attempt, probe, load order)
//! that the module asks for. [`EndpointList`] follows the list of workers, [`Pool`] decides which connection to a worker
//! an upstream request takes, [`TimerWheel`] holds the wake-ups.

mod engine;
mod ids;
mod lifecycle;
mod pool;
mod roster;
mod wheel;

pub use engine::{
    Answer, Engine, EngineCounters, EngineDriver, Refusal, TooManyMethodVersions, UpstreamRequest,
};
pub use ids::{id_of, ClientId, ConnId, NameTable, RequestId};
pub use pool::{Pool, PoolDriver, PoolLimits};
pub use roster::{EndpointList, ListOutcome};
pub use wheel::TimerWheel;
