use std::collections::{BTreeMap, VecDeque};

use curlewpoint::types::{CopyReport, Outcome, Time};
use oorandom::Rand64;

use crate::shared_capacity::SharedCapacity;

/// What a worker is: units in the names, ranges in the users' pages.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSpec {
    pub cores: f64,
    /// Against a core of speed 1.
    pub speed: f64,
    /// RPCs at work at a time.
    pub slots: usize,
    /// RPCs that wait; more are turned away unseen.
    pub queue: usize,
    pub memory_mb: f64,
    pub loads_at_once: usize,
    pub keep_alive: Time,
    /// Its capacity when it starts, against the full; it grows evenly over `warm_within`.
    pub start_capacity: f64,
    pub warm_within: Time,
    /// Sent more than this multiple of what it can do, over this time, it falls over while it is cold.
    pub fall_multiple: f64,
    pub fall_window: Time,
    /// Whether it starts another copy by itself when all lanes are taken.
    pub adds_copies: bool,
    /// Whether it answers a miss where the function is neither loaded nor loading.
    pub answers_miss: bool,
}

/// Who asked: the shell's number for a connection and a tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// An RPC as the worker sees it.
#[derive(Clone, Debug)]
pub struct Job {
    pub caller: CallerId,
    pub model: String,
    /// Work on a core of speed 1, and the mean work of its method, in milliseconds.
    pub work_ms: f64,
    pub mean_ms: f64,
    pub memory_mb: f64,
    pub lanes: usize,
    /// How long a load takes, unobstructed, and which part of it is the fetch.
    pub load_ms: f64,
    pub fetch_share: f64,
}

/// Faults that a script sets.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Takes RPCs and answers none.
    pub hangs: bool,
    /// This share fails at once.
    pub error_share: f64,
    /// So many times slower.
    pub slowdown: f64,
    /// This share of answers is lost; the work is done.
    pub lost_answer_share: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults { hangs: false, error_share: 0.0, slowdown: 1.0, lost_answer_share: 0.0 }
    }
}

/// What a worker acts on.
pub trait WorkerDriver {
    /// An RPC has had its effect.
    fn executed(&mut self, caller: CallerId);
    fn answer(&mut self, caller: CallerId, outcome: Outcome, copy: CopyReport, held: u64);
    fn loaded(&mut self, caller: CallerId, outcome: Outcome, copies: u64);
    /// Asks the store for a model.
    fn fetch(&mut self, model: &str, work_ms: f64);
    /// Pushed over while cold: the process is down and stays down.
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

/// A worker: cores shared by what runs, slots, a bounded queue, copies with lanes in bounded memory, loads through the
/// store, a cold start.
pub struct WorkerModel {
    spec: WorkerSpec,
    rng: Rand64,
    cold_since: Option<Time>,
    crashed: bool,
    faults: Faults,
    paused_until: Time,
    models: BTreeMap<String, Model>,
    running: SharedCapacity<(Job, CopyReport)>,
    /// Starts under way after their fetch: when each is done.
    starting: Vec<(Time, String)>,
    /// Loads that wait for their turn, and those that fetch or start.
    load_queue: VecDeque<String>,
    active_loads: usize,
    arrivals: VecDeque<(Time, f64)>,
}

/// While a worker is cold or slowed, its pace is set anew this often.
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

    /// Stands still until then.
    pub fn pause(&mut self, now: Time, until: Time) {
        self.paused_until = until;
        self.update_rate(now);
    }

    /// Models that it holds from the start.
    pub fn preload(&mut self, now: Time, model: &str, memory_mb: f64) {
        let m = self.models.entry(model.to_owned()).or_default();
        (m.loaded, m.memory_mb, m.idle_since) = (1, memory_mb, now);
    }

    /// The model was released anew: idle copies are void.
    pub fn model_released(&mut self, model: &str) {
        if let Some(m) = self.models.get_mut(model) {
            m.loaded = m.busy.min(m.loaded);
        }
    }

    /// Its capacity now, against the full.
    pub fn capacity_share(&self, now: Time) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let elapsed_share = (now - since).0 as f64 / self.spec.warm_within.0.max(1) as f64;
        (self.spec.start_capacity + (1.0 - self.spec.start_capacity) * elapsed_share).min(1.0)
    }

    /// Busy share of cores, RPCs held, share of memory that cannot be freed.
    pub fn report(&self) -> [f64; 3] {
        let held = self.running.len() + self.models.values().map(|m| m.waiting.len()).sum::<usize>();
        let pinned_mb: f64 =
            self.models.values().map(|m| m.memory_mb * (m.loading + m.busy.min(m.loaded)) as f64).sum();
        let busy = (self.running.len() as f64 / self.spec.cores).min(1.0);
        [busy, held as f64, pinned_mb / self.spec.memory_mb]
    }

    fn update_rate(&mut self, now: Time) {
        let stopped = self.faults.hangs || now < self.paused_until;
        let each = (self.spec.cores / self.running.len().max(1) as f64).min(1.0);
        let rate = self.spec.speed * self.capacity_share(now) * each / self.faults.slowdown.max(1e-3);
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
            // An error may have had its effect: half of them have.
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
        // One more copy is a wish; without the first there is nothing to wait for.
        let began = (copy == CopyReport::BeganLoad || crowded) && self.load(now, &model);
        if copy == CopyReport::BeganLoad && !began {
            return driver.answer(job.caller, Outcome::Full, CopyReport::Unreported, held as u64);
        }
        self.models.get_mut(&model).expect("entered above").waiting.push_back((job, copy));
        self.start_ready_work(now, driver);
    }

    /// Guards the rule that a cold worker is not pushed over, as the users state it: the work of any window, against
    /// what it could do in that window as it is now.
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

    /// Nobody waits any more: what has not begun is dropped.
    pub fn cancel(&mut self, caller: CallerId) {
        for m in self.models.values_mut() {
            m.waiting.retain(|(j, _)| j.caller != caller);
        }
    }

    /// An order to hold at least so many copies.
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

    /// What a load of this model takes, where no RPC has told it yet.
    pub fn set_load_cost(&mut self, model: &str, memory_mb: f64, load_ms: f64, fetch_share: f64) {
        let m = self.models.entry(model.to_owned()).or_default();
        (m.memory_mb, m.load_ms, m.fetch_share) = (memory_mb, load_ms, fetch_share);
    }

    pub fn unload(&mut self, model: &str) {
        self.model_released(model);
    }

    /// Begins a load; false: no room for it, or too many wait.
    fn load(&mut self, now: Time, model: &str) -> bool {
        if self.load_queue.len() >= 2 * self.spec.loads_at_once || !self.make_room(now, model) {
            return false;
        }
        self.models.get_mut(model).expect("it is known").loading += 1;
        self.load_queue.push_back(model.to_owned());
        true
    }

    /// Unloads idle copies, the one idle longest first, until one more copy of this model fits.
    fn make_room(&mut self, _now: Time, model: &str) -> bool {
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

    /// Begins what can begin now.
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

    /// Time has passed.
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
        let changes = now < self.paused_until || self.capacity_share(now) < 1.0;
        let step = (changes && !self.running.is_empty()).then_some(now + RATE_UPDATE_INTERVAL);
        let starts = self.starting.iter().map(|s| s.0).min();
        [self.running.next_completion(), step, starts].into_iter().flatten().min()
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

    /// Lets time pass; the store answers each fetch at once.
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
    fn an_rpc_waits_for_the_load_that_it_began_and_the_next_ones_with_it() {
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
    fn beyond_its_queue_it_turns_away_and_what_is_withdrawn_does_not_run() {
        let (mut w, mut driver) = (WorkerModel::new(SPEC, 1, None), RecordingDriver::default());
        (1..=4).for_each(|i| w.call(Time(0), &mut driver, job(i, "a")));
        assert_eq!(driver.answers, [(4, Outcome::Full, CopyReport::Unreported)]);
        w.cancel(CallerId(2));
        run_until(&mut w, &mut driver, Time(0), Time(9_000));
        assert_eq!(driver.executed, [1, 3]);
    }

    #[test]
    fn a_load_makes_room_by_the_longest_idle_and_none_is_made_of_what_is_at_work() {
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
    fn a_failed_load_misses_those_that_waited_and_fails_the_order() {
        let (mut w, mut driver) = (WorkerModel::new(SPEC, 1, None), RecordingDriver::default());
        w.call(Time(0), &mut driver, job(1, "a"));
        w.order(Time(0), &mut driver, CallerId(9), "a", 1);
        w.fetched(Time(100), &mut driver, "a", false);
        assert_eq!(driver.answers, [(1, Outcome::Miss, CopyReport::LoadFailed)]);
        assert_eq!(driver.loaded, [(9, Outcome::Error, 0)]);
    }

    #[test]
    fn a_cold_worker_that_is_pushed_falls_over_and_a_warm_one_does_not() {
        // 2 x 0.2 x 2 cores x 2000 ms: 16 RPCs of 100 ms may come in a window.
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
    fn lost_answers_have_run_and_a_hanging_worker_goes_on_afterwards() {
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
