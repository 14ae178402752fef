//! What is queued to be written to a worker.

use bytes::{Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_link::{Clock, OutboxMessage};
use curlewpoint_platform::lines::Invoke;

/// One line to a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerLine {
    /// An attempt, whose budget is reckoned at the moment of its first byte.
    Attempt { invoke: Invoke, deadline: Time, clock: Clock },
    /// Anything else, as it is to be written.
    Ready(Bytes),
}

impl OutboxMessage for WorkerLine {
    fn encoded_len(&self) -> usize {
        match self {
            WorkerLine::Attempt { invoke, .. } => invoke.size(),
            WorkerLine::Ready(line) => line.len(),
        }
    }

    fn encode_head(&self, to: &mut BytesMut) {
        match self {
            WorkerLine::Attempt { invoke, deadline, clock } => invoke.write(*deadline - clock.now(), to),
            WorkerLine::Ready(line) => to.extend_from_slice(line),
        }
    }

    fn body(&self) -> Bytes {
        Bytes::new()
    }
}
