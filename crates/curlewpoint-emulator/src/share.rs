use curlewpoint::types::Time;

/// Work under way that shares something evenly: cores, or a store's lines.
#[derive(Clone, Debug)]
pub struct Share<K> {
    jobs: Vec<(K, f64)>,
    at: Time,
    /// How much of a job's work is done in a millisecond.
    pace: f64,
}

impl<K> Default for Share<K> {
    fn default() -> Self {
        Share { jobs: Vec::new(), at: Time(0), pace: 0.0 }
    }
}

/// Less work than this, in milliseconds, is none.
const NONE: f64 = 1e-6;

impl<K> Share<K> {
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub fn add(&mut self, now: Time, key: K, work_ms: f64) {
        self.pass(now);
        self.jobs.push((key, work_ms));
    }

    /// Lets time pass at the pace set before.
    pub fn pass(&mut self, now: Time) {
        let done = self.pace * (now - self.at).ms();
        self.at = self.at.max(now);
        self.jobs.iter_mut().for_each(|(_, left)| *left -= done);
    }

    /// From now on each job goes at this pace.
    pub fn pace(&mut self, now: Time, pace: f64) {
        self.pass(now);
        self.pace = pace;
    }

    /// What is done by now, in the order in which it came.
    pub fn done(&mut self, now: Time) -> Vec<K> {
        self.pass(now);
        let (done, jobs): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.jobs).into_iter().partition(|j| j.1 <= NONE);
        self.jobs = jobs;
        done.into_iter().map(|j| j.0).collect()
    }

    /// When the next is done, if the pace stays: rounded up, so that it is done then.
    pub fn next(&self) -> Option<Time> {
        let least = self.jobs.iter().map(|j| j.1).min_by(f64::total_cmp)?;
        (self.pace > 0.0).then(|| self.at + Time((least.max(0.0) / self.pace * 10.0).ceil() as u64))
    }

    pub fn keep(&mut self, keep: impl FnMut(&K) -> bool) {
        let mut keep = keep;
        self.jobs.retain(|j| keep(&j.0));
    }

    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.jobs.iter().map(|j| &j.0)
    }
}
