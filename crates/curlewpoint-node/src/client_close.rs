//! Why the scheduler closes client connections, without I/O: the reasons, their counters, and what is logged.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use curlewpoint_engine::ClientId;
use curlewpoint_platform::resp::RespError;
use thiserror::Error;
use tracing::{debug, info};

/// Why the scheduler closes a client's connection, other than for being idle or for lack of room.
#[derive(Debug, Error)]
pub(crate) enum CloseReason {
    #[error("invalid tag")]
    InvalidTag,
    #[error("tag {0} already used")]
    TagReused(u64),
    #[error("unknown command")]
    UnknownCommand,
    #[error("too many malformed calls")]
    MalformedCalls,
    #[error("unreadable command: {0}")]
    Unreadable(#[from] RespError),
    #[error("command incomplete for too long")]
    Incomplete,
}

impl CloseReason {
    /// Name of the reason's counter.
    fn name(&self) -> &'static str {
        match self {
            CloseReason::InvalidTag => "invalid_tag",
            CloseReason::TagReused(_) => "tag_reused",
            CloseReason::UnknownCommand => "unknown_command",
            CloseReason::MalformedCalls => "malformed_calls",
            CloseReason::Unreadable(_) => "unreadable",
            CloseReason::Incomplete => "incomplete",
        }
    }
}

/// Numbers of client connections that the scheduler closed, by reason.
#[derive(Debug, Default)]
pub(crate) struct CloseCounters(BTreeMap<&'static str, u64>);

impl CloseCounters {
    /// Counts a close with `open` RPCs open and `unhandled` commands read but not handled, and logs it: at info level
    /// if it is the first one for its reason or ends open RPCs, else at debug level.
    pub fn record(&mut self, client: ClientId, reason: &CloseReason, open: usize, unhandled: u64) {
        let count = self.0.entry(reason.name()).or_default();
        *count += 1;
        if *count == 1 || open > 0 {
            info!(client = client.0, open, unhandled, "client connection closed: {reason}");
        } else {
            debug!(client = client.0, open, unhandled, "client connection closed: {reason}");
        }
    }
}

impl Display for CloseCounters {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let total: u64 = self.0.values().sum();
        write!(f, "total={total}")?;
        self.0.iter().try_for_each(|(reason, count)| write!(f, " {reason}={count}"))
    }
}
