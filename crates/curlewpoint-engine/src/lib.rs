//! One scheduler around the decision module, without I/O: the clock and all that happens are handed in, and it
//! acts through a [`World`].
//!
//! [`Engine`] owes one final answer for each RPC taken and one end for each errand (call-out, probe, load order)
//! that the module asks for. [`Roster`] follows the list of workers, [`Pool`] decides which connection to a worker
//! an errand takes, [`Wheel`] holds the wake-ups.

mod engine;
mod ids;
mod pool;
mod roster;
mod wheel;

pub use engine::{Answer, Engine, Errand, Figures, Refusal, TooManyTerms, World};
pub use ids::{id_of, ClientId, ConnId, ErrandId, Ids};
pub use pool::{Pool, PoolLimits, Wires};
pub use roster::{Read, Roster};
pub use wheel::Wheel;
