//! One scheduler around the decision module, without I/O: the clock and all that happens are handed in, and it
//! acts through a [`World`].
//!
//! [`Engine`] owes one final answer for each RPC taken and one end for each upstream request (attempt, probe, load order)
//! that the module asks for. [`Roster`] follows the list of workers, [`Pool`] decides which connection to a worker
//! an upstream request takes, [`Wheel`] holds the wake-ups.

mod engine;
mod ids;
mod lifecycle;
mod pool;
mod roster;
mod wheel;

pub use engine::{Answer, Engine, Figures, Refusal, TooManyTerms, UpstreamRequest, World};
pub use ids::{id_of, ClientId, ConnId, Ids, RequestId};
pub use pool::{Pool, PoolLimits, Wires};
pub use roster::{Read, Roster};
pub use wheel::Wheel;
