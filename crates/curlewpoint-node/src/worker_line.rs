//! Lines queued for workers.

use bytes::{Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_link::{Clock, OutboxMessage};
use curlewpoint_platform::json_lines::Invoke;

/// A line for a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerLine {
    /// An attempt, whose time budget is computed when its first byte is written.
    Attempt { invoke: Invoke, deadline: Time, clock: Clock },
    /// Any other message, already encoded.
    Encoded(Bytes),
}

impl OutboxMessage for WorkerLine {
    fn encoded_len(&self) -> usize {
        match self {
            WorkerLine::Attempt { invoke, .. } => invoke.max_len(),
            WorkerLine::Encoded(line) => line.len(),
        }
    }

    fn encode_header(&self, buf: &mut BytesMut) {
        match self {
            WorkerLine::Attempt { invoke, deadline, clock } => invoke.write(*deadline - clock.now(), buf),
            WorkerLine::Encoded(line) => buf.extend_from_slice(line),
        }
    }

    fn body(&self) -> Bytes {
        Bytes::new()
    }
}
