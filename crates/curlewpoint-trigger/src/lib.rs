//! Messages from a broker, as RPCs that have one final answer each, through lost connections and killed schedulers.
//!
//! [`Inbox`] decides for each message whether it is asked for, answered at once or given back; [`Intake`] decides how many
//! messages to hold. Neither does I/O: the broker, the journal and the engine are behind a [`Desk`], time is handed in.

mod inbox;
mod intake;

pub use inbox::{Delivery, Desk, Effect, End, Final, Inbox, Name, Terms};
pub use intake::Intake;
