use std::collections::BTreeMap;

/// Cancels of one connection that have overtaken the requests that they cancel.
///
/// The task that reads a connection passes its requests on in order, while cancels go ahead of them. A cancel is
/// recorded only while a request that was passed on before it is unprocessed, and is forgotten once all of these are
/// processed. What is recorded is therefore bounded by the capacities of the channels, however many cancels a
/// connection carries.
#[derive(Debug, Default)]
pub struct OvertakingCancels {
    /// Number of requests that have been processed.
    processed: u64,
    /// Cancelled tags, each with the number of the last request that may be the cancelled one.
    cancelled: BTreeMap<u64, u64>,
    /// The largest of these numbers.
    cancelled_until: u64,
}

impl OvertakingCancels {
    /// Records the cancel of the request with this tag among the first `passed_on` requests. If all of them are
    /// processed it has no effect.
    pub fn record(&mut self, tag: u64, passed_on: u64) {
        if passed_on > self.processed {
            self.cancelled_until = self.cancelled_until.max(passed_on);
            self.cancelled.insert(tag, passed_on);
        }
    }

    /// Counts one more request as processed. Returns whether it, with this tag, has been cancelled.
    pub fn process(&mut self, tag: Option<u64>) -> bool {
        self.processed += 1;
        let last = tag.and_then(|tag| self.cancelled.get(&tag));
        let is_cancelled = last.is_some_and(|last| self.processed <= *last);
        if self.processed >= self.cancelled_until {
            self.cancelled.clear();
        }
        is_cancelled
    }

    /// Number of recorded cancels.
    pub fn len(&self) -> usize {
        self.cancelled.len()
    }

    /// Whether no cancel is recorded.
    pub fn is_empty(&self) -> bool {
        self.cancelled.is_empty()
    }
}
