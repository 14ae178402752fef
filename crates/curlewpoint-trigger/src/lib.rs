//! Handles messages from a broker as RPCs with exactly one final answer each, through lost connections and killed schedulers.
//!
//! [`Inbox`] decides for each message whether it is submitted, answered or requeued. [`PrefetchController`] decides how many
//! messages to hold. Neither does I/O: the broker, the journal and the engine are behind an [`InboxDriver`], and the caller
//! passes the time in.

mod inbox;
mod prefetch;

pub use inbox::{AnswerKind, Delivery, DeliveryInfo, Effect, FinalAnswer, Inbox, InboxDriver, MessageKey};
pub use prefetch::PrefetchController;
