//! What is queued to be written to a worker.

use bytes::{Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_link::{Clock, Parcel};
use curlewpoint_platform::json_lines::Invoke;

/// One line to a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerLine {
    /// An attempt, whose budget is reckoned at the moment of its first byte.
    Attempt { invoke: Invoke, deadline: Time, clock: Clock },
    /// Anything else, as it is to be written.
    Ready(Bytes),
}

impl Parcel for WorkerLine {
    fn size(&self) -> usize {
        match self {
            WorkerLine::Attempt { invoke, .. } => invoke.size(),
            WorkerLine::Ready(line) => line.len(),
        }
    }

    fn front(&self, to: &mut BytesMut) {
        match self {
            WorkerLine::Attempt { invoke, deadline, clock } => invoke.write(*deadline - clock.now(), to),
            WorkerLine::Ready(line) => to.extend_from_slice(line),
        }
    }

    fn body(&self) -> Bytes {
        Bytes::new()
    }
}
