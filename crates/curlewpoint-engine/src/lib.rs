//! One scheduler around the decision module, without I/O: time and events are passed in, and it acts through an
//! [`EngineDriver`].
//!
//! [`Engine`] gives each RPC that it accepts one final answer, and each upstream request (attempt, probe, load order)
//! of the module one end. [`EndpointList`] keeps the list of workers, [`Pool`] assigns upstream requests to
//! connections, [`TimerWheel`] holds the timers.

mod endpoint_list;
mod engine;
mod ids;
mod lifecycle;
mod pool;
mod timer_wheel;

pub use endpoint_list::{EndpointList, ListOutcome};
pub use engine::{
    Answer, Engine, EngineCounters, EngineDriver, Refusal, TooManyMethodVersions, UpstreamRequest,
};
pub use ids::{id_of, ClientId, ConnId, NameTable, RequestId};
pub use pool::{Pool, PoolDriver, PoolLimits};
pub use timer_wheel::TimerWheel;
