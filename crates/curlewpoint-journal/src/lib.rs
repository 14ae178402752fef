//! The journal records on disk which messages may have been sent and what was answered, so that both are known after a crash.
//!
//! [`Journal`] groups writes and commits them on its own thread. A [`RecordVisitor`] receives the records that a previous run
//! has left. Records are kept in an embedded store (redb), whose file stays consistent through a crash at any write.

mod journal;
mod record;

pub use journal::{Journal, JournalError, JournalLimits, JournalStats};
pub use record::RecordVisitor;
