use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use std::collections::BTreeSet;

use super::queue::MAX_QUEUE_AGE;
use crate::hints::Observation;

/// Maximum number of rows queued for one link; beyond it the least useful are dropped.
const MAX_QUEUED_ROWS: usize = 256;
/// Approximate maximum bytes of a row and a frame. The exact size of a frame is charged once it is encoded.
const ROW_BYTES: usize = 42;
const FRAME_BYTES: usize = 16;

/// Priority of a row; the smallest value is sent first. A row that another instance has already spent budget on
/// goes before the instance's own observations: dropping the former wastes what was spent on it, while the
/// latter has cost nothing so far and is sent to its holders anyway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GossipPriority {
    repeat: bool,
    warm_copy: bool,
    own: bool,
}

impl GossipPriority {
    /// `changed`: the row differs from what was known here.
    pub fn of(observation: &Observation, changed: bool, own: bool) -> GossipPriority {
        GossipPriority { repeat: !changed, warm_copy: changed && observation.hint == Hint::Warm, own }
    }
}

/// Rows to be passed on along a ring over one link, as far as the directory leaves budget: the highest priority
/// first, and within one priority the newest.
#[derive(Default)]
pub(crate) struct GossipQueue(Vec<(GossipPriority, Observation, Time)>);

impl GossipQueue {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a row and returns how many were dropped for it.
    pub fn push(&mut self, now: Time, priority: GossipPriority, observation: Observation) -> u64 {
        self.0.push((priority, observation, now));
        if self.0.len() < 2 * MAX_QUEUED_ROWS {
            return 0;
        }
        self.prune(now)
    }

    /// Sorts the rows by priority, keeps the latest of each worker and function, and truncates the queue.
    /// Returns how many rows were dropped.
    fn prune(&mut self, now: Time) -> u64 {
        self.0.sort_by_key(|(priority, s, _)| (*priority, std::cmp::Reverse((s.observed_at, s.run, s.seq))));
        self.keep_latest();
        let before = self.0.len();
        self.0.retain(|(.., queued_at)| now - *queued_at < MAX_QUEUE_AGE);
        self.0.truncate(MAX_QUEUED_ROWS);
        (before - self.0.len()) as u64
    }

    /// Removes superseded rows. They do not count as dropped, because the later observation is sent.
    fn keep_latest(&mut self) {
        let mut latest: Vec<(WorkerId, FunctionId, Time, u64)> =
            self.0.iter().map(|(_, s, _)| (s.worker, s.function, s.observed_at, s.seq)).collect();
        latest.sort_unstable();
        latest.dedup_by(|later, kept| {
            let same = (later.0, later.1) == (kept.0, kept.1);
            if same {
                *kept = *later;
            }
            same
        });
        let latest: BTreeSet<_> = latest.into_iter().collect();
        self.0.retain(|(_, s, _)| latest.contains(&(s.worker, s.function, s.observed_at, s.seq)));
    }

    /// Takes the rows that fit into `bytes`, ordered by run and sequence number as earlier releases expect, and
    /// the number of rows dropped meanwhile.
    pub fn take(&mut self, now: Time, bytes: usize) -> (Vec<Observation>, u64) {
        let dropped = self.prune(now);
        let n = (bytes.saturating_sub(FRAME_BYTES) / ROW_BYTES).min(self.0.len());
        let mut rows: Vec<Observation> = self.0.drain(..n).map(|(_, s, _)| s).collect();
        rows.sort_by_key(|s| (s.run, s.seq));
        (rows, dropped)
    }
}
