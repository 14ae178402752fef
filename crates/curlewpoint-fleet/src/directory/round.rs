use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use std::collections::BTreeSet;

use super::queue::LIFE;
use crate::hints::Observation;

/// Rows that wait on one link; beyond it the least useful go.
const WAITING: usize = 256;
/// What a row and a frame take at most, about; what a frame took is charged once it is encoded.
const ROW: usize = 42;
const FRAME: usize = 16;

/// How useful a row is: the least first. What was let in by the one who saw it goes on before what is seen here: a row left
/// out on its way has cost all before, one left out where it begins has cost nothing, and its holders are told all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    again: bool,
    copy: bool,
    own: bool,
}

impl Rank {
    /// `changed`: it tells something else than what was known here.
    pub fn of(seen: &Observation, changed: bool, own: bool) -> Rank {
        Rank { again: !changed, copy: changed && seen.hint == Hint::Warm, own }
    }
}

/// What is to go on round a ring over one link, as far as the directory leaves room: the most useful first, of these the
/// newest.
#[derive(Default)]
pub(crate) struct Round(Vec<(Rank, Observation, Time)>);

impl Round {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Puts a row to the others; how many were left out for it.
    pub fn push(&mut self, now: Time, rank: Rank, seen: Observation) -> u64 {
        self.0.push((rank, seen, now));
        if self.0.len() < 2 * WAITING {
            return 0;
        }
        self.settle(now)
    }

    /// The most useful first, each worker's and function's latest, so many at most; how many were left out.
    fn settle(&mut self, now: Time) -> u64 {
        self.0.sort_by_key(|(rank, s, _)| (*rank, std::cmp::Reverse((s.observed_at, s.run, s.seq))));
        self.latest_alone();
        let before = self.0.len();
        self.0.retain(|(.., since)| now - *since < LIFE);
        self.0.truncate(WAITING);
        (before - self.0.len()) as u64
    }

    /// What a later sight has made void is not left out: that one is told.
    fn latest_alone(&mut self) {
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

    /// Takes what fits into so many bytes, in the order in which it was seen by each, as an earlier release reads it; and
    /// how many were left out meanwhile.
    pub fn take(&mut self, now: Time, bytes: usize) -> (Vec<Observation>, u64) {
        let left_out = self.settle(now);
        let n = (bytes.saturating_sub(FRAME) / ROW).min(self.0.len());
        let mut rows: Vec<Observation> = self.0.drain(..n).map(|(_, s, _)| s).collect();
        rows.sort_by_key(|s| (s.run, s.seq));
        (rows, left_out)
    }
}
