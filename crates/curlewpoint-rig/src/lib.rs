//! Many real processes of the program on one machine, each pair of parties joined by a relay on loopback, so that any
//! two can be cut, delayed, slowed or reset while both live.
//!
//! A [`Play`] tells the fleet, the load and the faults; one seed gives the same faults again. What is judged is what
//! passed through the relays and at the far ends of them, which are the rig's own; no scheduler is asked about itself.
//!
//! [`scale`] is the other kind: hollow schedulers by the thousand in one process, without sockets.

mod bound;
mod calls;
mod figures;
mod forge;
mod play;
mod ports;
mod process;
mod relay;
mod run;
pub mod scale;

pub use bound::Bound;
pub use figures::{Cost, Directory, Figures, Look, Second, Spread, Waits, WINDOW};
pub use play::{Action, At, Limit, Play, Span, Who, PLAYS};
pub use process::{Process, Program, Usage};
pub use relay::{Effect, Passed, Relay, Rules, Shared, Tape, Taped};
pub use run::{folder, run, Outcome, Plan};
