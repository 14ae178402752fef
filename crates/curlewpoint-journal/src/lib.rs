//! The journal: which messages may have been sent, and what was answered, on disk and through crashes.
//!
//! [`Journal`] groups what is noted and commits it from a thread of its own; [`RecordVisitor`] is told what a run before this one
//! has left. Records stand in an embedded store (redb), which keeps its file whole through a crash at any write.

mod journal;
mod record;

pub use journal::{Journal, JournalError, JournalLimits, JournalStats};
pub use record::RecordVisitor;
