use std::collections::VecDeque;
use std::future::Future;

use tokio::task::yield_now;
use tokio_stream::{Stream, StreamExt};

/// What was read from one peer and not yet passed on: as long as there is room the peer is read, so that a cancel or its
/// going is seen behind all that it has sent before.
pub struct ReadAhead<T> {
    waiting: VecDeque<(T, usize)>,
    bytes: usize,
    /// How many, and how many bytes; the last one may go over.
    most: (usize, usize),
}

impl<T> ReadAhead<T> {
    pub fn new(most: (usize, usize)) -> ReadAhead<T> {
        ReadAhead { waiting: VecDeque::new(), bytes: 0, most }
    }

    pub fn has_room(&self) -> bool {
        self.waiting.len() < self.most.0 && self.bytes < self.most.1
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn push(&mut self, what: T, bytes: usize) {
        self.bytes += bytes;
        self.waiting.push_back((what, bytes));
    }

    pub fn pop(&mut self) -> Option<T> {
        let (what, bytes) = self.waiting.pop_front()?;
        self.bytes -= bytes;
        Some(what)
    }

    /// Takes out the last one of these, if there is any.
    pub fn remove_last(&mut self, is_it: impl Fn(&T) -> bool) -> Option<T> {
        let at = self.waiting.iter().rposition(|(what, _)| is_it(what))?;
        let (what, bytes) = self.waiting.remove(at)?;
        self.bytes -= bytes;
        Some(what)
    }

    /// What was never passed on.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.iter().map(|(what, _)| what)
    }
}

/// What there is without waiting. A time-out of nought would wait for the next tick of the timers, a millisecond.
pub async fn now_or_never<T>(what: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        what = what => Some(what),
        () = std::future::ready(()) => None,
    }
}

/// The next that has come already, asked for once the driver has looked; none: nothing has, or it has ended.
pub async fn next_if_ready<S: Stream + Unpin>(from: &mut S) -> Option<S::Item> {
    yield_now().await;
    now_or_never(from.next()).await.flatten()
}
