use std::time::Duration;

use tokio::sync::mpsc;

/// The incoming events of the task that owns a scheduler, returned in one batch per event-loop iteration.
///
/// Priority events, such as answers, come before requests: they end work that is held, and there are no more of them
/// than there were requests.
pub struct EventQueue<E> {
    priority: mpsc::Receiver<E>,
    requests: mpsc::Receiver<E>,
    priority_batch: Vec<E>,
    request_batch: Vec<E>,
    max_requests: usize,
}

impl<E> EventQueue<E> {
    /// A batch holds up to `max_requests` requests, so that timers are checked in between, and all priority events
    /// that are queued, up to the capacity of their channel.
    pub fn new(
        priority: mpsc::Receiver<E>, requests: mpsc::Receiver<E>, max_requests: usize,
    ) -> EventQueue<E> {
        EventQueue {
            priority,
            requests,
            priority_batch: Vec::with_capacity(max_requests),
            request_batch: Vec::with_capacity(max_requests),
            max_requests,
        }
    }

    /// Waits for an event, for `at_most` at the longest, and returns what is queued, priority events first. Each
    /// batch takes requests too, so that an endless stream of priority events, as the answers of a worker that
    /// floods, delays neither clients' requests nor a stop. A priority event sent before a request is returned before
    /// it.
    pub async fn next_batch(&mut self, at_most: Duration) -> impl Iterator<Item = E> + '_ {
        tokio::select! {
            biased;
            _ = self.priority.recv_many(&mut self.priority_batch, self.max_requests) => {}
            _ = self.requests.recv_many(&mut self.request_batch, self.max_requests) => {}
            () = tokio::time::sleep(at_most) => {}
        }
        while self.request_batch.len() < self.max_requests {
            let Ok(request) = self.requests.try_recv() else { break };
            self.request_batch.push(request);
        }
        // Counted after the requests were taken, so that every priority event sent before one of them is included.
        for _ in 0..self.priority.len() {
            let Ok(event) = self.priority.try_recv() else { break };
            self.priority_batch.push(event);
        }
        self.priority_batch.drain(..).chain(self.request_batch.drain(..))
    }
}
