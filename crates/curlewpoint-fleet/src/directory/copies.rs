use std::collections::{BTreeMap, BTreeSet};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};

use crate::hints::Observation;

/// The latest observation of each function at each worker, by function. The later observation wins, whichever
/// path it took.
pub(super) struct CopyTable {
    lifetime: Time,
    max_rows: usize,
    max_rows_per_function: usize,
    rows: BTreeMap<(FunctionId, WorkerId), Observation>,
    by_age: BTreeSet<(Time, FunctionId, WorkerId)>,
}

impl CopyTable {
    /// Observations older than `lifetime` are ignored and removed.
    pub fn new(lifetime: Time, max_rows: usize, max_rows_per_function: usize) -> CopyTable {
        CopyTable {
            lifetime,
            max_rows,
            max_rows_per_function,
            rows: BTreeMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn get(&self, function: FunctionId, worker: WorkerId) -> Option<&Observation> {
        self.rows.get(&(function, worker))
    }

    pub fn rows_of(&self, function: FunctionId) -> impl Iterator<Item = &Observation> {
        let (first, last) = (WorkerId(0), WorkerId(u64::MAX));
        self.rows.range((function, first)..=(function, last)).map(|(_, observation)| observation)
    }

    /// Whether a valid observation of a copy, or of a load of one, is held.
    pub fn is_known(&self, now: Time, function: FunctionId) -> bool {
        self.rows_of(function)
            .any(|s| matches!(s.hint, Hint::Warm | Hint::Loading) && now - s.observed_at < self.lifetime)
    }

    /// The most useful rows of a function: copies before loads before refusals, later ones first.
    pub fn best(&self, now: Time, function: FunctionId, limit: usize) -> Vec<Observation> {
        let mut all: Vec<Observation> =
            self.rows_of(function).filter(|s| now - s.observed_at < self.lifetime).copied().collect();
        all.sort_by_key(|s| std::cmp::Reverse((s.hint, s.observed_at)));
        all.truncate(limit);
        all
    }

    /// Inserts an observation. Returns `None` if it is not newer than the one held, otherwise whether it
    /// differs from it.
    pub fn insert(&mut self, observation: Observation) -> Option<bool> {
        let key = (observation.function, observation.worker);
        let known = self.rows.get(&key).copied();
        if let Some(k) = known {
            // An observation looks younger after each hop, because transit time is not counted; its sequence
            // number identifies it.
            let repeated = k.run == observation.run && observation.seq <= k.seq;
            if repeated
                || (observation.observed_at, observation.run, observation.seq)
                    <= (k.observed_at, k.run, k.seq)
            {
                return None;
            }
            self.by_age.remove(&(k.observed_at, observation.function, observation.worker));
        } else {
            self.make_room(observation.function);
        }
        self.rows.insert(key, observation);
        self.by_age.insert((observation.observed_at, observation.function, observation.worker));
        Some(known.is_none_or(|k| k.hint != observation.hint))
    }

    fn make_room(&mut self, function: FunctionId) {
        if self.rows_of(function).count() >= self.max_rows_per_function {
            let oldest = self
                .rows_of(function)
                .min_by_key(|s| (s.observed_at, s.worker))
                .map(|s| (s.observed_at, function, s.worker));
            oldest.into_iter().for_each(|key| self.remove(key));
        }
        while self.rows.len() >= self.max_rows {
            let Some(key) = self.by_age.first().copied() else { break };
            self.remove(key);
        }
    }

    fn remove(&mut self, (at, function, worker): (Time, FunctionId, WorkerId)) {
        self.rows.remove(&(function, worker));
        self.by_age.remove(&(at, function, worker));
    }

    /// The latest rows of copies and of loads in progress, over all functions.
    pub fn latest(&self, limit: usize) -> Vec<(FunctionId, WorkerId)> {
        let is_present = |key: &(FunctionId, WorkerId)| {
            self.rows.get(key).is_some_and(|s| matches!(s.hint, Hint::Warm | Hint::Loading))
        };
        self.by_age.iter().rev().map(|(_, f, w)| (*f, *w)).filter(is_present).take(limit).collect()
    }

    pub fn clear(&mut self) {
        self.rows.clear();
        self.by_age.clear();
    }

    /// Removes expired observations.
    pub fn sweep(&mut self, now: Time) {
        while let Some(key) = self.by_age.first().copied().filter(|(at, ..)| now - *at >= self.lifetime) {
            self.remove(key);
        }
    }
}
