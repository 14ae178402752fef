use std::collections::{BTreeMap, VecDeque};

use curlewpoint::types::{CopyReport, Outcome, Time};
use oorandom::Rand64;

use crate::shared_capacity::SharedCapacity;

/// Capacity and behaviour of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSpec {
    pub cores: f64,
    /// Relative to a core of speed 1.
    pub speed: f64,
    /// RPCs executed at a time.
    pub slots: usize,
    /// RPCs that may wait; further ones are rejected before they are looked at.
    pub queue: usize,
    pub memory_mb: f64,
    pub loads_at_once: usize,
    /// Idle copies are unloaded after this time.
    pub keep_alive: Time,
    /// Share of the full capacity at the start; it grows linearly to 1 over `warm_within`.
    pub start_capacity: f64,
    pub warm_within: Time,
    /// A cold worker crashes when the work offered within `fall_window` exceeds this multiple of its capacity.
    pub fall_multiple: f64,
    pub fall_window: Time,
    /// Whether it loads another copy by itself when all lanes are busy.
    pub adds_copies: bool,
    /// Whether it answers `Miss` when the function is neither loaded nor loading.
    pub answers_miss: bool,
}

/// Identifies a request; the driver maps it to a connection and a tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// An RPC as the worker receives it.
#[derive(Clone, Debug)]
pub struct Job {
    pub caller: CallerId,
    pub model: String,
    /// Work of this RPC and mean work of its method on a core of speed 1.
    pub work_ms: f64,
    pub mean_ms: f64,
    pub memory_mb: f64,
    pub lanes: usize,
    /// Duration of a load without contention, and the share of it that is the fetch.
    pub load_ms: f64,
    pub fetch_share: f64,
}

/// Faults that a scenario script injects.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Accepts RPCs and answers none.
    pub hangs: bool,
    /// Share of RPCs that fail at once.
    pub error_share: f64,
    /// Factor by which execution is slower.
    pub slowdown: f64,
    /// Share of answers that are lost although the work is done.
    pub lost_answer_share: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults { hangs: false, error_share: 0.0, slowdown: 1.0, lost_answer_share: 0.0 }
    }
}

/// Output of the worker model: answers to callers and requests to the store.
pub trait WorkerDriver {
    /// An RPC has taken effect.
    fn executed(&mut self, caller: CallerId);
    fn answer(&mut self, caller: CallerId, outcome: Outcome, copy: CopyReport, held: u64);
    fn loaded(&mut self, caller: CallerId, outcome: Outcome, copies: u64);
    /// Requests a model from the store.
    fn fetch(&mut self, model: &str, work_ms: f64);
    /// The worker was overloaded while cold and has crashed; it stays down.
    fn overloaded(&mut self, offered: f64, limit: f64);
}

#[derive(Default)]
struct Model {
    loaded: usize,
    loading: usize,
    busy: usize,
    idle_since: Time,
    waiting: VecDeque<(Job, CopyReport)>,
    orders: Vec<(CallerId, usize)>,
    memory_mb: f64,
    load_ms: f64,
    fetch_share: f64,
}

/// A worker: cores shared by running RPCs, slots, a bounded queue, copies with lanes in bounded memory, loads through
/// the store, and a cold start.
pub struct WorkerModel {
    spec: WorkerSpec,
    rng: Rand64,
    cold_since: Option<Time>,
    crashed: bool,
    faults: Faults,
    paused_until: Time,
    models: BTreeMap<String, Model>,
    running: SharedCapacity<(Job, CopyReport)>,
    /// Copies that start after their fetch, each with the time at which it is ready.
    starting: Vec<(Time, String)>,
    /// Models whose load has not begun yet.
    load_queue: VecDeque<String>,
    /// Loads that fetch or start.
    active_loads: usize,
    /// Time and mean work of each RPC that arrived within the last `fall_window`, while cold.
    arrivals: VecDeque<(Time, f64)>,
}

/// Interval at which the execution rate is updated while the worker is cold or paused.
const RATE_UPDATE_INTERVAL: Time = Time(200);

impl WorkerModel {
    pub fn new(spec: WorkerSpec, seed: u128, cold_since: Option<Time>) -> WorkerModel {
        WorkerModel {
            spec,
            rng: Rand64::new(seed),
            cold_since,
            crashed: false,
            faults: Faults::default(),
            paused_until: Time(0),
            models: BTreeMap::new(),
            running: SharedCapacity::default(),
            starting: Vec::new(),
            load_queue: VecDeque::new(),
            active_loads: 0,
            arrivals: VecDeque::new(),
        }
    }

    pub fn set_faults(&mut self, now: Time, faults: Faults) {
        self.faults = faults;
        self.update_rate(now);
    }

    /// Pauses execution until then.
    pub fn pause(&mut self, now: Time, until: Time) {
        self.paused_until = until;
        self.update_rate(now);
    }

    /// Adds a loaded copy, as present from the start.
    pub fn preload(&mut self, now: Time, model: &str, memory_mb: f64) {
        let m = self.models.entry(model.to_owned()).or_default();
        (m.loaded, m.memory_mb, m.idle_since) = (1, memory_mb, now);
    }

    /// A new release of the model: idle copies are discarded.
    pub fn model_released(&mut self, model: &str) {
        if let Some(m) = self.models.get_mut(model) {
            m.loaded = m.busy.min(m.loaded);
        }
    }

    /// Current share of the full capacity.
    pub fn capacity_share(&self, now: Time) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let elapsed_share = (now - since).0 as f64 / self.spec.warm_within.0.max(1) as f64;
        (self.spec.start_capacity + (1.0 - self.spec.start_capacity) * elapsed_share).min(1.0)
    }

    /// The load report: busy share of cores, RPCs held, share of memory that cannot be freed.
    pub fn report(&self) -> [f64; 3] {
        let held = self.running.len() + self.models.values().map(|m| m.waiting.len()).sum::<usize>();
        let pinned_mb: f64 =
            self.models.values().map(|m| m.memory_mb * (m.loading + m.busy.min(m.loaded)) as f64).sum();
        let busy = (self.running.len() as f64 / self.spec.cores).min(1.0);
        [busy, held as f64, pinned_mb / self.spec.memory_mb]
    }

    fn update_rate(&mut self, now: Time) {
        let stopped = self.faults.hangs || now < self.paused_until;
        let cores_per_rpc = (self.spec.cores / self.running.len().max(1) as f64).min(1.0);
        let rate =
            self.spec.speed * self.capacity_share(now) * cores_per_rpc / self.faults.slowdown.max(1e-3);
        self.running.set_rate(now, if stopped { 0.0 } else { rate });
    }

    /// An RPC arrives.
    pub fn call(&mut self, now: Time, driver: &mut impl WorkerDriver, job: Job) {
        if self.crashed || self.check_overload(now, driver, job.mean_ms) {
            return;
        }
        let m = self.models.entry(job.model.clone()).or_default();
        (m.memory_mb, m.load_ms, m.fetch_share) = (job.memory_mb, job.load_ms, job.fetch_share);
        let held = self.running.keys().filter(|(j, _)| j.model == job.model).count() + m.waiting.len();
        if self.faults.error_share > 0.0 && self.rng.rand_float() < self.faults.error_share {
            // A failed RPC may have taken effect; here half of them do.
            if self.rng.rand_float() < 0.5 {
                driver.executed(job.caller);
            }
            return driver.answer(job.caller, Outcome::Error, CopyReport::Unreported, held as u64);
        }
        let waiting: usize = self.models.values().map(|m| m.waiting.len()).sum();
        let m = self.models.get_mut(&job.model).expect("entered above");
        let copy = match (m.loaded, m.loading) {
            (0, 0) => CopyReport::BeganLoad,
            (0, _) => CopyReport::WaitedForLoad,
            _ => CopyReport::Warm,
        };
        if self.spec.answers_miss && copy == CopyReport::BeganLoad {
            return driver.answer(job.caller, Outcome::Miss, CopyReport::Unreported, held as u64);
        }
        if waiting >= self.spec.queue {
            return driver.answer(job.caller, Outcome::Full, CopyReport::Unreported, held as u64);
        }
        let crowded =
            m.loaded > 0 && m.loading == 0 && m.busy >= m.loaded * job.lanes && self.spec.adds_copies;
        let model = job.model.clone();
        // A further copy is optional; without the first the RPC has nothing to wait for.
        let began = (copy == CopyReport::BeganLoad || crowded) && self.load(now, &model);
        if copy == CopyReport::BeganLoad && !began {
            return driver.answer(job.caller, Outcome::Full, CopyReport::Unreported, held as u64);
        }
        self.models.get_mut(&model).expect("entered above").waiting.push_back((job, copy));
        self.start_ready_work(now, driver);
    }

    /// Crashes a cold worker that is overloaded, by the documented rule: the work offered in any window is compared with
    /// what the worker could do in that window at its current capacity.
    fn check_overload(&mut self, now: Time, driver: &mut impl WorkerDriver, mean_ms: f64) -> bool {
        let capacity_share = self.capacity_share(now);
        if capacity_share >= 1.0 {
            return false;
        }
        self.arrivals.push_back((now, mean_ms));
        while self.arrivals.front().is_some_and(|(at, _)| *at + self.spec.fall_window <= now) {
            self.arrivals.pop_front();
        }
        let offered: f64 = self.arrivals.iter().map(|a| a.1).sum();
        let limit = self.spec.fall_multiple
            * capacity_share
            * self.spec.cores
            * self.spec.speed
            * self.spec.fall_window.ms();
        if offered > limit {
            self.crashed = true;
            driver.overloaded(offered, limit);
        }
        self.crashed
    }

    /// The caller has cancelled: drops its RPC unless it has begun.
    pub fn cancel(&mut self, caller: CallerId) {
        for m in self.models.values_mut() {
            m.waiting.retain(|(j, _)| j.caller != caller);
        }
    }

    /// Handles a load order: the worker is to hold at least `copies` copies.
    pub fn order(
        &mut self, now: Time, driver: &mut impl WorkerDriver, caller: CallerId, model: &str, copies: usize,
    ) {
        let m = self.models.entry(model.to_owned()).or_default();
        m.idle_since = now;
        if m.memory_mb == 0.0 {
            return driver.loaded(caller, Outcome::Error, 0);
        }
        while self.models[model].loaded + self.models[model].loading < copies {
            if !self.load(now, model) {
                let loaded = self.models[model].loaded as u64;
                return driver.loaded(caller, Outcome::Full, loaded);
            }
        }
        self.models.get_mut(model).expect("entered above").orders.push((caller, copies));
        self.start_ready_work(now, driver);
    }

    /// Sets the cost of loading a model for which no RPC has arrived yet.
    pub fn set_load_cost(&mut self, model: &str, memory_mb: f64, load_ms: f64, fetch_share: f64) {
        let m = self.models.entry(model.to_owned()).or_default();
        (m.memory_mb, m.load_ms, m.fetch_share) = (memory_mb, load_ms, fetch_share);
    }

    pub fn unload(&mut self, model: &str) {
        self.model_released(model);
    }

    /// Queues a load; returns false if memory is insufficient or too many loads wait.
    fn load(&mut self, now: Time, model: &str) -> bool {
        if self.load_queue.len() >= 2 * self.spec.loads_at_once || !self.evict_idle(now, model) {
            return false;
        }
        self.models.get_mut(model).expect("the model is known").loading += 1;
        self.load_queue.push_back(model.to_owned());
        true
    }

    /// Unloads idle copies, longest idle first, until one more copy of this model fits.
    fn evict_idle(&mut self, _now: Time, model: &str) -> bool {
        let needed_mb = self.models[model].memory_mb;
        loop {
            let used_mb: f64 =
                self.models.values().map(|m| m.memory_mb * (m.loaded + m.loading) as f64).sum();
            if used_mb + needed_mb <= self.spec.memory_mb {
                return true;
            }
            let idle = |m: &Model| m.loaded > 0 && m.busy == 0 && m.waiting.is_empty();
            let idle = self.models.iter_mut().filter(|(name, m)| *name != model && idle(m));
            let Some((_, m)) = idle.min_by_key(|(_, m)| m.idle_since) else { return false };
            m.loaded -= 1;
        }
    }

    /// The store has answered a fetch.
    pub fn fetched(&mut self, now: Time, driver: &mut impl WorkerDriver, model: &str, ok: bool) {
        if ok {
            let m = &self.models[model];
            let start = Time::from_ms(m.load_ms * (1.0 - m.fetch_share));
            self.starting.push((now + start, model.to_owned()));
        } else {
            self.load_finished(now, driver, model, false);
        }
        self.start_ready_work(now, driver);
    }

    fn load_finished(&mut self, now: Time, driver: &mut impl WorkerDriver, model: &str, ok: bool) {
        self.active_loads -= 1;
        let m = self.models.get_mut(model).expect("it was loading");
        m.loading -= 1;
        if ok {
            m.loaded += 1;
            m.idle_since = now;
        } else if m.loaded + m.loading == 0 {
            for (job, _) in std::mem::take(&mut m.waiting) {
                driver.answer(job.caller, Outcome::Miss, CopyReport::LoadFailed, 0);
            }
        }
        let (loaded, loading) = (m.loaded, m.loading);
        m.orders.retain(|(caller, copies)| {
            let satisfied = loaded >= *copies;
            if satisfied || loaded + loading < *copies {
                driver.loaded(*caller, if satisfied { Outcome::Ok } else { Outcome::Error }, loaded as u64);
                return false;
            }
            true
        });
    }

    /// Starts queued loads and waiting RPCs that fit, and completes satisfied load orders.
    fn start_ready_work(&mut self, now: Time, driver: &mut impl WorkerDriver) {
        while self.active_loads < self.spec.loads_at_once {
            let Some(model) = self.load_queue.pop_front() else { break };
            self.active_loads += 1;
            let m = &self.models[&model];
            driver.fetch(&model, m.load_ms * m.fetch_share);
        }
        for m in self.models.values_mut() {
            let loaded = m.loaded;
            m.orders.retain(|(caller, copies)| {
                let satisfied = loaded >= *copies;
                if satisfied {
                    driver.loaded(*caller, Outcome::Ok, loaded as u64);
                }
                !satisfied
            });
            while self.running.len() < self.spec.slots {
                let lanes = m.waiting.front().map_or(0, |(j, _)| j.lanes);
                if m.busy >= m.loaded * lanes {
                    break;
                }
                let Some((job, copy)) = m.waiting.pop_front() else { break };
                m.busy += 1;
                let work = job.work_ms;
                self.running.add(now, (job, copy), work);
            }
        }
        self.update_rate(now);
    }

    /// Advances the clock: finishes RPCs and loads, unloads idle copies, starts waiting work.
    pub fn advance(&mut self, now: Time, driver: &mut impl WorkerDriver) {
        if self.crashed {
            return;
        }
        for (job, copy) in self.running.take_finished(now) {
            let held = {
                let m = self.models.get_mut(&job.model).expect("it ran here");
                m.busy -= 1;
                m.idle_since = now;
                m.busy + m.waiting.len()
            };
            driver.executed(job.caller);
            if self.faults.lost_answer_share == 0.0 || self.rng.rand_float() >= self.faults.lost_answer_share
            {
                driver.answer(job.caller, Outcome::Ok, copy, held as u64);
            }
        }
        let (finished, starting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.starting).into_iter().partition(|s| s.0 <= now);
        self.starting = starting;
        for (_, model) in finished {
            self.load_finished(now, driver, &model, true);
        }
        for m in self.models.values_mut() {
            if m.busy == 0 && m.waiting.is_empty() && m.idle_since + self.spec.keep_alive <= now {
                m.loaded = 0;
            }
        }
        self.start_ready_work(now, driver);
    }

    pub fn next(&self, now: Time) -> Option<Time> {
        if self.crashed {
            return None;
        }
        let rate_changes = now < self.paused_until || self.capacity_share(now) < 1.0;
        let next_update = (rate_changes && !self.running.is_empty()).then_some(now + RATE_UPDATE_INTERVAL);
        let starts = self.starting.iter().map(|s| s.0).min();
        [self.running.next_completion(), next_update, starts].into_iter().flatten().min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Default)]
    struct RecordingDriver {
        executed: Vec<u64>,
        answers: Vec<(u64, Outcome, CopyReport)>,
        loaded: Vec<(u64, Outcome, u64)>,
        fetches: Vec<String>,
        overloaded: bool,
    }

    impl WorkerDriver for RecordingDriver {
        fn executed(&mut self, caller: CallerId) {
            self.executed.push(caller.0);
        }
        fn answer(&mut self, caller: CallerId, outcome: Outcome, copy: CopyReport, _held: u64) {
            self.answers.push((caller.0, outcome, copy));
        }
        fn loaded(&mut self, caller: CallerId, outcome: Outcome, copies: u64) {
            self.loaded.push((caller.0, outcome, copies));
        }
        fn fetch(&mut self, model: &str, _work_ms: f64) {
            self.fetches.push(model.to_owned());
        }
        fn overloaded(&mut self, _offered: f64, _limit: f64) {
            self.overloaded = true;
        }
    }

    const SPEC: WorkerSpec = WorkerSpec {
        cores: 2.0,
        speed: 1.0,
        slots: 4,
        queue: 3,
        memory_mb: 250.0,
        loads_at_once: 1,
        keep_alive: Time(80_000),
        start_capacity: 0.2,
        warm_within: Time(100_000),
        fall_multiple: 2.0,
        fall_window: Time(20_000),
        adds_copies: false,
        answers_miss: false,
    };

    fn job(caller: u64, model: &str) -> Job {
        let (model, caller) = (model.to_owned(), CallerId(caller));
        let (work_ms, mean_ms, memory_mb) = (100.0, 100.0, 100.0);
        Job { caller, model, work_ms, mean_ms, memory_mb, lanes: 2, load_ms: 1000.0, fetch_share: 0.5 }
    }

    /// Advances the worker to `until`; the store answers each fetch at once.
    fn run_until(w: &mut WorkerModel, driver: &mut RecordingDriver, mut now: Time, until: Time) {
        loop {
            for model in std::mem::take(&mut driver.fetches) {
                w.fetched(now, driver, &model, true);
            }
            match w.next(now).filter(|at| *at <= until) {
                Some(at) => now = at.max(now),
                None => return,
            }
            w.advance(now, driver);
        }
    }

    #[test]
    fn rpcs_wait_for_a_load_under_way_and_find_the_copy_warm_afterwards() {
        let (mut w, mut driver) = (WorkerModel::new(SPEC, 1, None), RecordingDriver::default());
        w.call(Time(0), &mut driver, job(1, "a"));
        w.call(Time(0), &mut driver, job(2, "a"));
        run_until(&mut w, &mut driver, Time(0), Time(6_000));
        assert_eq!(
            driver.answers,
            [(1, Outcome::Ok, CopyReport::BeganLoad), (2, Outcome::Ok, CopyReport::WaitedForLoad)]
        );
        w.call(Time(7_000), &mut driver, job(3, "a"));
        run_until(&mut w, &mut driver, Time(7_000), Time(9_000));
        assert_eq!(driver.answers[2], (3, Outcome::Ok, CopyReport::Warm));
        assert_eq!(driver.executed, [1, 2, 3]);
    }

    #[test]
    fn a_full_queue_rejects_rpcs_and_a_cancelled_rpc_does_not_run() {
        let (mut w, mut driver) = (WorkerModel::new(SPEC, 1, None), RecordingDriver::default());
        (1..=4).for_each(|i| w.call(Time(0), &mut driver, job(i, "a")));
        assert_eq!(driver.answers, [(4, Outcome::Full, CopyReport::Unreported)]);
        w.cancel(CallerId(2));
        run_until(&mut w, &mut driver, Time(0), Time(9_000));
        assert_eq!(driver.executed, [1, 3]);
    }

    #[test]
    fn a_load_evicts_the_longest_idle_copy_and_never_a_busy_one() {
        let (mut w, mut driver) = (WorkerModel::new(SPEC, 1, None), RecordingDriver::default());
        w.preload(Time(0), "a", 100.0);
        w.preload(Time(5), "b", 100.0);
        w.call(Time(10), &mut driver, job(1, "c"));
        run_until(&mut w, &mut driver, Time(10), Time(5_500));
        w.call(Time(5_600), &mut driver, job(2, "b"));
        run_until(&mut w, &mut driver, Time(5_600), Time(9_000));
        assert_eq!(
            driver.answers[1],
            (2, Outcome::Ok, CopyReport::Warm),
            "b had been idle for less long than a"
        );
        w.call(Time(9_100), &mut driver, job(3, "b"));
        w.call(Time(9_100), &mut driver, job(4, "c"));
        w.call(Time(9_100), &mut driver, job(5, "d"));
        assert_eq!(driver.answers.last(), Some(&(5, Outcome::Full, CopyReport::Unreported)));
    }

    #[test]
    fn a_failed_load_answers_miss_to_waiting_rpcs_and_fails_the_order() {
        let (mut w, mut driver) = (WorkerModel::new(SPEC, 1, None), RecordingDriver::default());
        w.call(Time(0), &mut driver, job(1, "a"));
        w.order(Time(0), &mut driver, CallerId(9), "a", 1);
        w.fetched(Time(100), &mut driver, "a", false);
        assert_eq!(driver.answers, [(1, Outcome::Miss, CopyReport::LoadFailed)]);
        assert_eq!(driver.loaded, [(9, Outcome::Error, 0)]);
    }

    #[test]
    fn an_overloaded_worker_crashes_only_while_cold() {
        // 2 x 0.2 x 2 cores x 2000 ms: a window allows 16 RPCs of 100 ms.
        let (mut cold, mut driver) = (WorkerModel::new(SPEC, 1, Some(Time(0))), RecordingDriver::default());
        (0..16).for_each(|i| cold.call(Time(0), &mut driver, job(i, "a")));
        assert!(!driver.overloaded);
        cold.call(Time(0), &mut driver, job(17, "a"));
        assert!(driver.overloaded);
        let (mut warm, mut driver) = (WorkerModel::new(SPEC, 1, None), RecordingDriver::default());
        (0..99).for_each(|i| warm.call(Time(0), &mut driver, job(i, "a")));
        assert!(!driver.overloaded);
    }

    #[test]
    fn rpcs_with_lost_answers_take_effect_and_a_hanging_worker_resumes() {
        let (mut w, mut driver) = (WorkerModel::new(SPEC, 1, None), RecordingDriver::default());
        w.preload(Time(0), "a", 100.0);
        w.set_faults(Time(0), Faults { lost_answer_share: 1.0, ..Faults::default() });
        w.call(Time(0), &mut driver, job(1, "a"));
        run_until(&mut w, &mut driver, Time(0), Time(2_000));
        assert_eq!((driver.executed.len(), driver.answers.len()), (1, 0));
        w.set_faults(Time(2_000), Faults { hangs: true, ..Faults::default() });
        w.call(Time(2_000), &mut driver, job(2, "a"));
        run_until(&mut w, &mut driver, Time(2_000), Time(9_000));
        assert_eq!(driver.executed.len(), 1);
        w.set_faults(Time(9_000), Faults::default());
        run_until(&mut w, &mut driver, Time(9_000), Time(11_000));
        assert_eq!(driver.answers, [(2, Outcome::Ok, CopyReport::Warm)]);
    }
}
