//! The last check before the first byte of an attempt or a load order: whether its worker may still be sent something
//! new, and whether there is time left for an answer. It also holds for what was chosen before this process stood still, or has waited for a dial or a slow worker.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

use curlewpoint::types::Time;
use curlewpoint_link::Clock;

/// The end of the lease on the endpoint list, as the task that owns the engine publishes it to the writers of
/// connections, and whether a writer has refused a message.
#[derive(Clone, Default)]
pub(crate) struct PublishedLease(Arc<Published>);

#[derive(Default)]
struct Published {
    list_until: AtomicU64,
    has_refused: AtomicBool,
}

impl PublishedLease {
    pub fn publish(&self, list_until: Time) {
        self.0.list_until.store(list_until.0, Ordering::Release);
    }

    /// Whether a message was refused since the last call.
    pub fn take_refused(&self) -> bool {
        self.0.has_refused.swap(false, Ordering::AcqRel)
    }
}

/// The lease under which one message may be sent.
#[derive(Clone)]
pub(crate) struct SendLease {
    pub clock: Clock,
    /// The end of the worker's lease when the message was queued. The list may have been confirmed since.
    pub send_by: Time,
    pub published: PublishedLease,
}

impl SendLease {
    /// Whether the first byte may be sent now, before the deadline if there is one. A refusal is recorded.
    pub fn may_begin(&self, deadline: Option<Time>) -> bool {
        let (published, now) = (&self.published.0, self.clock.now());
        let until = self.send_by.max(Time(published.list_until.load(Ordering::Acquire)));
        let may_begin = now <= until && deadline.is_none_or(|deadline| now < deadline);
        published.has_refused.fetch_or(!may_begin, Ordering::AcqRel);
        may_begin
    }
}
