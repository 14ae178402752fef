use std::collections::{BTreeMap, BTreeSet};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};

use crate::hints::Observation;

/// The latest that was seen of each function at each worker, by function; the later sight holds, whoever tells it.
pub(super) struct Copies {
    keep: Time,
    most: usize,
    most_each: usize,
    rows: BTreeMap<(FunctionId, WorkerId), Observation>,
    by_age: BTreeSet<(Time, FunctionId, WorkerId)>,
}

impl Copies {
    /// `keep`: what is older counts for nothing; `most`: rows in all, and of one function.
    pub fn new(keep: Time, most: usize, most_each: usize) -> Copies {
        Copies { keep, most, most_each, rows: BTreeMap::new(), by_age: BTreeSet::new() }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn get(&self, function: FunctionId, worker: WorkerId) -> Option<&Observation> {
        self.rows.get(&(function, worker))
    }

    pub fn of(&self, function: FunctionId) -> impl Iterator<Item = &Observation> {
        let (first, last) = (WorkerId(0), WorkerId(u64::MAX));
        self.rows.range((function, first)..=(function, last)).map(|(_, seen)| seen)
    }

    /// Whether a copy, or a load of one, is known that still counts.
    pub fn is_known(&self, now: Time, function: FunctionId) -> bool {
        self.of(function)
            .any(|s| matches!(s.hint, Hint::Warm | Hint::Loading) && now - s.observed_at < self.keep)
    }

    /// The most useful rows of a function: copies before loads before refusals, later ones first.
    pub fn best(&self, now: Time, function: FunctionId, most: usize) -> Vec<Observation> {
        let mut all: Vec<Observation> =
            self.of(function).filter(|s| now - s.observed_at < self.keep).copied().collect();
        all.sort_by_key(|s| std::cmp::Reverse((s.hint, s.observed_at)));
        all.truncate(most);
        all
    }

    /// Takes a sight; none: it is not news; true: it tells something else than what was known.
    pub fn put(&mut self, seen: Observation) -> Option<bool> {
        let key = (seen.function, seen.worker);
        let known = self.rows.get(&key).copied();
        if let Some(k) = known {
            // One sight looks younger after each way, as the time on links is not counted: its number tells it.
            let again = k.run == seen.run && seen.seq <= k.seq;
            if again || (seen.observed_at, seen.run, seen.seq) <= (k.observed_at, k.run, k.seq) {
                return None;
            }
            self.by_age.remove(&(k.observed_at, seen.function, seen.worker));
        } else {
            self.make_room(seen.function);
        }
        self.rows.insert(key, seen);
        self.by_age.insert((seen.observed_at, seen.function, seen.worker));
        Some(known.is_none_or(|k| k.hint != seen.hint))
    }

    fn make_room(&mut self, function: FunctionId) {
        if self.of(function).count() >= self.most_each {
            let oldest = self
                .of(function)
                .min_by_key(|s| (s.observed_at, s.worker))
                .map(|s| (s.observed_at, function, s.worker));
            oldest.into_iter().for_each(|key| self.remove(key));
        }
        while self.rows.len() >= self.most {
            let Some(key) = self.by_age.first().copied() else { break };
            self.remove(key);
        }
    }

    fn remove(&mut self, (at, function, worker): (Time, FunctionId, WorkerId)) {
        self.rows.remove(&(function, worker));
        self.by_age.remove(&(at, function, worker));
    }

    /// The latest rows of copies and of loads under way, of whatever function.
    pub fn latest(&self, most: usize) -> Vec<(FunctionId, WorkerId)> {
        let stands = |key: &(FunctionId, WorkerId)| {
            self.rows.get(key).is_some_and(|s| matches!(s.hint, Hint::Warm | Hint::Loading))
        };
        self.by_age.iter().rev().map(|(_, f, w)| (*f, *w)).filter(stands).take(most).collect()
    }

    pub fn clear(&mut self) {
        self.rows.clear();
        self.by_age.clear();
    }

    /// Forgets what is too old to count.
    pub fn sweep(&mut self, now: Time) {
        while let Some(key) = self.by_age.first().copied().filter(|(at, ..)| now - *at >= self.keep) {
            self.remove(key);
        }
    }
}
