//! Messages from a broker, as RPCs that have one final answer each, through lost connections and killed schedulers.
//!
//! [`Inbox`] decides for each message whether it is asked for, answered at once or given back; [`PrefetchController`] decides how many
//! messages to hold. Neither does I/O: the broker, the journal and the engine are behind a [`InboxDriver`], time is handed in.

mod inbox;
mod prefetch;

pub use inbox::{AnswerKind, Delivery, DeliveryInfo, Effect, FinalAnswer, Inbox, InboxDriver, MessageKey};
pub use prefetch::PrefetchController;
