use curlewpoint::types::Time;

/// Work under way that shares something evenly: cores, or a store's lines.
#[derive(Clone, Debug)]
pub struct SharedCapacity<K> {
    jobs: Vec<(K, f64)>,
    updated_at: Time,
    /// How much of a job's work is done in a millisecond.
    rate: f64,
}

impl<K> Default for SharedCapacity<K> {
    fn default() -> Self {
        SharedCapacity { jobs: Vec::new(), updated_at: Time(0), rate: 0.0 }
    }
}

/// Less work than this, in milliseconds, is none.
const NEGLIGIBLE_WORK_MS: f64 = 1e-6;

impl<K> SharedCapacity<K> {
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub fn add(&mut self, now: Time, key: K, work_ms: f64) {
        self.advance(now);
        self.jobs.push((key, work_ms));
    }

    /// Lets time pass at the pace set before.
    pub fn advance(&mut self, now: Time) {
        let done = self.rate * (now - self.updated_at).ms();
        self.updated_at = self.updated_at.max(now);
        self.jobs.iter_mut().for_each(|(_, work_left)| *work_left -= done);
    }

    /// From now on each job goes at this pace.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.advance(now);
        self.rate = rate;
    }

    /// What is done by now, in the order in which it came.
    pub fn take_finished(&mut self, now: Time) -> Vec<K> {
        self.advance(now);
        let (finished, jobs): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.jobs).into_iter().partition(|j| j.1 <= NEGLIGIBLE_WORK_MS);
        self.jobs = jobs;
        finished.into_iter().map(|j| j.0).collect()
    }

    /// When the next is done, if the pace stays: rounded up, so that it is done then.
    pub fn next_completion(&self) -> Option<Time> {
        let shortest = self.jobs.iter().map(|j| j.1).min_by(f64::total_cmp)?;
        (self.rate > 0.0)
            .then(|| self.updated_at + Time((shortest.max(0.0) / self.rate * 10.0).ceil() as u64))
    }

    pub fn retain(&mut self, keep: impl FnMut(&K) -> bool) {
        let mut keep = keep;
        self.jobs.retain(|j| keep(&j.0));
    }

    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.jobs.iter().map(|j| &j.0)
    }
}
