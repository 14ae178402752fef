//! Lines queued for workers.

use bytes::{Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_link::OutboxMessage;
use curlewpoint_platform::json_lines::Invoke;

use crate::send_lease::SendLease;

/// A line for a worker.
#[derive(Clone)]
pub(crate) enum WorkerLine {
    /// An attempt, whose time budget is computed when its first byte is written.
    Attempt { invoke: Invoke, deadline: Time, lease: SendLease },
    /// An encoded order to load copies.
    LoadOrder { line: Bytes, lease: SendLease },
    /// Any other message, already encoded.
    Encoded(Bytes),
}

impl OutboxMessage for WorkerLine {
    fn encoded_len(&self) -> usize {
        match self {
            WorkerLine::Attempt { invoke, .. } => invoke.max_len(),
            WorkerLine::LoadOrder { line, .. } | WorkerLine::Encoded(line) => line.len(),
        }
    }

    fn encode_header(&self, buf: &mut BytesMut) {
        match self {
            WorkerLine::Attempt { invoke, deadline, lease } => {
                invoke.write(*deadline - lease.clock.now(), buf)
            }
            WorkerLine::LoadOrder { line, .. } | WorkerLine::Encoded(line) => buf.extend_from_slice(line),
        }
    }

    fn body(&self) -> Bytes {
        Bytes::new()
    }

    fn may_begin(&self) -> bool {
        match self {
            WorkerLine::Attempt { lease, deadline, .. } => lease.may_begin(Some(*deadline)),
            WorkerLine::LoadOrder { lease, .. } => lease.may_begin(None),
            WorkerLine::Encoded(_) => true,
        }
    }
}

#[cfg(test)]
mod tests;
