use std::collections::{BTreeMap, VecDeque};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};

use crate::members::Run;

/// What some instance has seen of a function at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    pub worker: WorkerId,
    pub function: FunctionId,
    pub hint: Hint,
    /// RPCs of the function that were there.
    pub held_rpcs: u64,
    /// When it was seen, on the clock here; the time on links is not counted in, some milliseconds each.
    pub observed_at: Time,
    /// Who saw it, and its number for it: one run counts up.
    pub run: Run,
    pub seq: u64,
}

/// The same again is told no sooner than this; what has changed, but for a copy that has come up, no sooner than the
/// second: where many are turned away each in turn would tell of a load and of its end.
const AGAIN: Time = Time(20_000);
const MOVED: Time = Time(5_000);
/// So many of one's own are told in a second, and so many at once.
const RATE: f64 = 100.0;
const BURST: f64 = 200.0;

/// The numbers that came from a run: the last, and which of those before it.
#[derive(Clone, Copy, Default)]
struct Numbers {
    last: u64,
    before: u128,
}

impl Numbers {
    /// Whether a number is new. One too far before the last is taken for one that came.
    fn add(&mut self, no: u64) -> bool {
        if no > self.last {
            let by = no - self.last;
            let shifted = u32::try_from(by).ok().and_then(|by| self.before.checked_shl(by)).unwrap_or(0);
            let last = if self.last > 0 && by <= 128 { 1 << (by - 1) } else { 0 };
            (self.last, self.before) = (no, shifted | last);
            return true;
        }
        let back = self.last - no;
        if back == 0 || back > 128 {
            return false;
        }
        let bit = 1 << (back - 1);
        let new = self.before & bit == 0;
        self.before |= bit;
        new
    }
}

/// The newest that was seen of each function at each worker, by anybody.
///
/// The later sight holds, whoever tells it and however often: any order, grouping and repeats end alike. What has come
/// from a run before is known by its number, for the ages of two copies of one row differ by what their ways took.
pub struct HintTable {
    keep: Time,
    most: usize,
    all: BTreeMap<(WorkerId, FunctionId), Observation>,
    /// The numbers that came from each run, and when the last of them did.
    heard: BTreeMap<Run, (Numbers, Time)>,
    next: u64,
    may: (f64, Time),
    swept: Time,
}

impl HintTable {
    /// What is older than `keep` is forgotten; `most`: rows that are kept.
    pub fn new(now: Time, keep: Time, most: usize) -> HintTable {
        let (all, heard) = Default::default();
        HintTable { keep, most, all, heard, next: 0, may: (BURST, now), swept: now }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// What a newcomer is told, each run's in its order: nothing that it hears later from that run is taken for old.
    pub fn ordered(&self) -> Vec<Observation> {
        let mut all: Vec<Observation> = self.all.values().copied().collect();
        all.sort_by_key(|s| (s.run, s.seq));
        all
    }

    /// The latest of a function at a worker.
    pub fn get(&self, worker: WorkerId, function: FunctionId) -> Option<&Observation> {
        self.all.get(&(worker, function))
    }

    /// Whether what is seen is news to others, by what they have told.
    pub fn is_news(&self, now: Time, worker: WorkerId, function: FunctionId, hint: Hint, held: u64) -> bool {
        // That nothing is there is news only to those who think that something is.
        self.get(worker, function).map_or(hint != Hint::Gone, |k| {
            let (age, far) = (now - k.observed_at, held.abs_diff(k.held_rpcs) >= 2 + k.held_rpcs / 2);
            let differs = k.hint != hint && (hint == Hint::Warm || age >= MOVED);
            differs || age >= AGAIN || (far && age >= MOVED)
        })
    }

    /// This instance has seen something; the row, if others are to be told.
    pub fn observe(
        &mut self, now: Time, run: Run, worker: WorkerId, function: FunctionId, hint: Hint, held: u64,
    ) -> Option<Observation> {
        let news = self.is_news(now, worker, function, hint, held);
        let (left, since) = self.may;
        self.may = ((left + RATE * (now - since).ms() / 1000.0).min(BURST), now);
        if !news || self.may.0 < 1.0 {
            return None;
        }
        self.may.0 -= 1.0;
        self.next += 1;
        let seen =
            Observation { worker, function, hint, held_rpcs: held, observed_at: now, run, seq: self.next };
        self.put(seen).then_some(seen)
    }

    /// A peer tells what somebody has seen; whether it is new here, and to be handed on.
    pub fn receive(&mut self, now: Time, seen: Observation) -> bool {
        if now - seen.observed_at >= self.keep {
            return false;
        }
        if self.heard.len() >= self.most && !self.heard.contains_key(&seen.run) {
            return false;
        }
        // Where there is little room the newest go first, so the earlier may come behind them.
        let (numbers, at) = self.heard.entry(seen.run).or_default();
        if !numbers.add(seen.seq) {
            return false;
        }
        *at = now;
        self.put(seen)
    }

    fn put(&mut self, seen: Observation) -> bool {
        let key = (seen.worker, seen.function);
        let stamp = |s: &Observation| (s.observed_at, s.run, s.seq);
        let newer = self.all.get(&key).is_none_or(|k| stamp(k) < stamp(&seen));
        let fits = self.all.len() < self.most || self.all.contains_key(&key);
        if newer && fits {
            self.all.insert(key, seen);
        }
        newer && fits
    }

    /// Forgets what is too old to count for anything.
    pub fn sweep(&mut self, now: Time) {
        if now - self.swept < MOVED {
            return;
        }
        self.swept = now;
        let keep = self.keep;
        self.all.retain(|_, s| now - s.observed_at < keep);
        // A row of a run lives no longer than this on any way, so an old number cannot come back.
        self.heard.retain(|_, (_, at)| now - *at < Time(4 * keep.0));
    }
}

/// Rows that wait to be told on a link, in their order; beyond the bound the oldest is lost.
#[derive(Default)]
pub struct Untold(VecDeque<Observation>);

/// Rows that wait on a link at most, and that leave at a time: one frame, 32 kB at most.
const WAITING: usize = 8192;
const AT_A_TIME: usize = 512;

impl Untold {
    pub fn push(&mut self, seen: Observation) {
        if self.0.len() >= WAITING {
            self.0.pop_front();
        }
        self.0.push_back(seen);
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The next that leave.
    pub fn take(&mut self) -> Vec<Observation> {
        let n = self.0.len().min(AT_A_TIME);
        self.0.drain(..n).collect()
    }
}
