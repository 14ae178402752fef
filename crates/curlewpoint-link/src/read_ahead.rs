use std::collections::VecDeque;
use std::future::Future;

use tokio::task::yield_now;
use tokio::time::Instant;
use tokio_stream::{Stream, StreamExt};

use crate::socket::LINGER_LIMITS;

/// Messages that were read from a peer and not yet passed on, bounded in number and in bytes. The peer is read while
/// there is room, so that a cancel or the end of the connection is seen even behind earlier messages that still wait.
pub struct ReadAhead<T> {
    waiting: VecDeque<(T, usize)>,
    bytes: usize,
    /// The number of messages and of bytes at which reading pauses; the last message may exceed the bytes.
    max: (usize, usize),
}

impl<T> ReadAhead<T> {
    pub fn new(max: (usize, usize)) -> ReadAhead<T> {
        ReadAhead { waiting: VecDeque::new(), bytes: 0, max }
    }

    pub fn has_room(&self) -> bool {
        self.waiting.len() < self.max.0 && self.bytes < self.max.1
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn push(&mut self, message: T, bytes: usize) {
        self.bytes += bytes;
        self.waiting.push_back((message, bytes));
    }

    pub fn pop(&mut self) -> Option<T> {
        let (message, bytes) = self.waiting.pop_front()?;
        self.bytes -= bytes;
        Some(message)
    }

    /// Removes the most recent message that matches.
    pub fn remove_last(&mut self, matches: impl Fn(&T) -> bool) -> Option<T> {
        let index = self.waiting.iter().rposition(|(message, _)| matches(message))?;
        let (message, bytes) = self.waiting.remove(index)?;
        self.bytes -= bytes;
        Some(message)
    }

    /// The messages that were not passed on, in the order read.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.iter().map(|(message, _)| message)
    }
}

/// Limits the time for which a connection that is being closed is still read, for a peer that goes on sending.
#[derive(Debug, Default)]
pub struct ClosingReadLimit {
    deadline: Option<Instant>,
}

impl ClosingReadLimit {
    /// Whether the connection may be read. The time begins at the first call with `is_closing`.
    pub fn may_read(&mut self, is_closing: bool) -> bool {
        if is_closing {
            self.deadline.get_or_insert_with(|| Instant::now() + LINGER_LIMITS.0);
        }
        self.deadline.is_none_or(|deadline| Instant::now() < deadline)
    }
}

/// Polls a future once and returns its output if it is ready. A time-out of zero would wait for the next tick of
/// tokio's timer, up to a millisecond.
pub async fn now_or_never<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = std::future::ready(()) => None,
    }
}

/// The next item that has already arrived, after a yield that lets the runtime's I/O driver look for it; `None` if
/// there is none or the stream has ended.
pub async fn next_if_ready<S: Stream + Unpin>(stream: &mut S) -> Option<S::Item> {
    yield_now().await;
    now_or_never(stream.next()).await.flatten()
}
