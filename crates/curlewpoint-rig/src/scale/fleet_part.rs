//! The cost of fleet membership for a scheduler: steady, with hints, when an instance starts, when the list changes, and when all
//! instances start.

use std::time::Duration;

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_fleet::{EndpointTable, ListSource};
use oorandom::Rand64;

use crate::figures::max_directory_bytes;
use crate::scale::plan;
use crate::scale::simulation::{row_of, Simulation, SimulationSettings, Spent};
use crate::scale::tally::{resident, Tally};

pub const SECOND: Time = Time(10_000);
/// Fleet size up to which instances hold lists of the planned length. Larger fleets leave out rows, because 3,400 tables of 8,500
/// rows take 10 GB and the bytes of a list grow with its rows only.
pub const WHOLE_LISTS: usize = 1_000;
const FEW_ROWS: usize = 500;

/// Rows of the list that the simulated instances hold.
pub fn rows_held(n: usize) -> usize {
    let rows = plan::workers(n);
    if n <= WHOLE_LISTS {
        rows
    } else {
        rows.min(FEW_ROWS)
    }
}

/// Memory in bytes that `rows` rows of an endpoint table take, measured on ten tables; `None` if the system does not report it.
pub fn endpoint_table_bytes(rows: usize) -> Option<f64> {
    const TABLES: usize = 10;
    let before = resident()?;
    let tables: Vec<EndpointTable> = (0..TABLES)
        .map(|_| {
            let mut table = EndpointTable::new(rows);
            table.begin(0, 1, 1, None);
            (0..rows).for_each(|no| {
                let (name, entry) = row_of(no, 1);
                table.push_entry(0, &name, entry);
            });
            table.finish(0, ListSource::Service);
            table
        })
        .collect();
    let grown = resident()?.saturating_sub(before) as f64 / TABLES as f64;
    drop(tables);
    Some(grown)
}

/// What instances used over a span; the methods return means per instance and second.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    pub sent: Tally,
    pub got: Tally,
    /// Traffic between list watchers and the service.
    pub service: Tally,
    pub cpu: Duration,
    pub instances: usize,
    pub span: Time,
    hints_taken: u64,
}

impl Rate {
    fn of(all: &[Spent], span: Time) -> Rate {
        let mut rate = Rate { instances: all.len(), span, ..Rate::default() };
        for s in all {
            rate.sent.merge(&s.sent);
            rate.got.merge(&s.got);
            rate.service.merge(&s.service);
            rate.cpu += s.cpu;
            rate.hints_taken += s.hints_taken;
        }
        rate
    }

    fn seconds(&self) -> f64 {
        self.instances as f64 * self.span.ms() / 1000.0
    }

    /// Frames and bytes that an instance sends per second, of one group or in total.
    pub fn sent(&self, group: Option<&str>) -> (f64, f64) {
        let (frames, bytes) = group.map_or_else(|| self.sent.all(), |g| self.sent.group(g));
        (frames as f64 / self.seconds(), bytes as f64 / self.seconds())
    }

    /// Rows of hints that an instance receives per second.
    pub fn hints_taken(&self) -> f64 {
        self.hints_taken as f64 / self.seconds()
    }

    /// Milliseconds of processor time that an instance uses per second.
    pub fn cpu_ms(&self) -> f64 {
        self.cpu.as_secs_f64() * 1000.0 / self.seconds()
    }
}

/// Interval between checks for convergence.
const CHECK_INTERVAL: Time = Time(1_000);
/// Time under load at the beginning and before the end of a fault; an hour of calls would take hours.
const LOADED: Time = Time(150_000);

/// Accumulates use second by second.
#[derive(Default)]
struct Seconds {
    whole: Spent,
    busiest: u64,
    busiest_one: u64,
    directory: OneSecond,
}

/// Directory bytes of one instance in one second: the maximum, and how many times an instance exceeded its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OneSecond {
    pub bytes: u64,
    /// The limit in that second.
    pub most: f64,
    pub over: usize,
}

impl Seconds {
    /// `budget`: bytes per second that each instance may send for the copy directory.
    fn add(&mut self, all: Vec<Spent>, budget: Option<u64>) {
        let mut bytes = 0;
        for s in all {
            let sent = s.sent.all().1;
            bytes += sent;
            self.busiest_one = self.busiest_one.max(sent);
            if let Some(budget) = budget {
                let sent = s.sent.group("directory").1;
                let most = max_directory_bytes(budget as f64, Time(0), s.directory_peers);
                let d = &mut self.directory;
                d.over += usize::from(sent as f64 > most);
                if sent > d.bytes {
                    (d.bytes, d.most) = (sent, most);
                }
            }
            self.whole.sent.merge(&s.sent);
            self.whole.got.merge(&s.got);
            self.whole.service.merge(&s.service);
            self.whole.cpu += s.cpu;
        }
        self.busiest = self.busiest.max(bytes);
    }
}

/// Background observations and calls of the schedulers.
pub struct Load {
    rng: Rand64,
    /// Observations and calls per second of each scheduler.
    seen: f64,
    calls: f64,
    due: f64,
    calling: f64,
}

impl Load {
    pub fn new(seed: u64, seen: f64, calls: f64) -> Load {
        Load { rng: Rand64::new(u128::from(seed) + 7), seen, calls, due: 0.0, calling: 0.0 }
    }

    /// Changes the rate of observations.
    pub fn now_seen(&mut self, seen: f64) {
        (self.seen, self.due, self.calling) = (seen, 0.0, 0.0);
    }

    /// Advances the simulation by `span` under load on `n` instances. With a copy directory each also receives RPCs of functions by a
    /// power law, and queries those of which it knows no copy.
    fn pass(&mut self, world: &mut Simulation, n: usize, span: Time) {
        const STEP: Time = Time(100);
        let (workers, functions) = (plan::workers(n).max(1), plan::functions(n).max(1));
        // Ids are hashes of names and take eight bytes on the wire.
        let mixed = |x: u64| x.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let function = |rank: u64| FunctionId(mixed(rank << 20));
        let calls = if world.keeps_directory() { self.calls } else { 0.0 };
        let until = world.now + span;
        while world.now < until {
            self.calling += calls * n as f64 * STEP.ms() / 1000.0;
            while self.calling >= 1.0 {
                self.calling -= 1.0;
                let no = self.rng.rand_range(0..n as u64) as usize;
                let rank = (functions as f64).powf(self.rng.rand_float()) as u64;
                world.wants(no, function(rank));
            }
            self.due += self.seen * n as f64 * STEP.ms() / 1000.0;
            while self.due >= 1.0 {
                self.due -= 1.0;
                let no = self.rng.rand_range(0..n as u64) as usize;
                let worker = WorkerId(mixed(self.rng.rand_range(0..workers as u64)));
                let rare = function(self.rng.rand_range(0..functions as u64));
                world.wants(no, rare);
                world.saw(no, worker, rare, Hint::Loading);
            }
            world.run(STEP);
        }
    }
}

/// Cost of a fault.
pub struct Burst {
    /// Mean bytes per instance until convergence, and in the busiest second.
    pub bytes_each: f64,
    pub busiest_second: f64,
    /// The most bytes that one instance sent in a second.
    pub busiest_one: u64,
    pub directory: OneSecond,
    pub cpu_ms: f64,
    pub right: Option<Time>,
}

/// A settled fleet.
pub struct Settled {
    pub n: usize,
    pub rows: usize,
    pub world: Simulation,
    /// Growth of the resident size per instance, including its member table and list.
    pub memory: Option<f64>,
    pub good: bool,
}

/// Builds a fleet and waits until it has settled.
pub fn settle(seed: u64, n: usize, terms: SimulationSettings) -> Settled {
    let rows = rows_held(n);
    let before = resident();
    let mut world = Simulation::settled(seed, n, rows, terms);
    let good = world.until(Time(2_500), Time(60_000), |w| w.alike() && w.listed() && w.sure()).is_some();
    world.run(SECOND);
    let grown = resident().zip(before).map(|(now, then)| now.saturating_sub(then) as f64 / n as f64);
    Settled { n, rows, world, memory: grown, good }
}

impl Settled {
    /// Measures a span without changes: all instances, and the list watchers alone.
    pub fn steady(&mut self, span: Time) -> (Rate, Rate) {
        self.world.take_spent();
        self.world.run(span);
        let all = self.world.take_spent();
        let watching = (0..self.n).filter(|no| self.world.is_watching(*no));
        let watching: Vec<Spent> = watching.map(|no| all[no].clone()).collect();
        (Rate::of(&all, span), Rate::of(&watching, span))
    }

    /// Runs for at least `least`, until `right` holds or `most` has passed. With a copy directory the load runs at the beginning and
    /// before `most`; without one there is no load.
    pub fn burst(
        &mut self, load: &mut Load, least: Time, most: Time, right: impl Fn(&Simulation) -> bool,
    ) -> Burst {
        let budget = self.world.directory();
        self.world.take_spent();
        let began = self.world.now;
        let (mut seconds, mut at) = (Seconds::default(), None);
        while self.world.now - began < most && (at.is_none() || self.world.now - began < least) {
            let so_far = self.world.now - began;
            let loaded = so_far < LOADED || so_far + LOADED >= most;
            match budget.filter(|_| loaded) {
                Some(_) => load.pass(&mut self.world, self.n, CHECK_INTERVAL),
                None => self.world.run(CHECK_INTERVAL),
            }
            let so_far = self.world.now - began;
            // Convergence counts only after `least`, because the fault may not have been noticed before.
            if at.is_none() && so_far >= least && right(&self.world) {
                at = Some(so_far);
            }
            if so_far.0.is_multiple_of(SECOND.0) {
                seconds.add(self.world.take_spent(), budget);
            }
        }
        seconds.add(self.world.take_spent(), budget);
        let n = self.n as f64;
        Burst {
            bytes_each: seconds.whole.sent.all().1 as f64 / n,
            busiest_second: seconds.busiest as f64 / n,
            busiest_one: seconds.busiest_one,
            directory: seconds.directory,
            cpu_ms: seconds.whole.cpu.as_secs_f64() * 1000.0 / n,
            right: at,
        }
    }

    /// Measures a span under load after a warm-up under the same load.
    pub fn hinted(&mut self, load: &mut Load, warm: Time, span: Time) -> Rate {
        load.pass(&mut self.world, self.n, warm);
        self.world.take_spent();
        load.now_seen(load.seen);
        load.pass(&mut self.world, self.n, span);
        Rate::of(&self.world.take_spent(), span)
    }

    /// Changes one list row; returns the time until all hold it and the mean bytes sent per instance.
    pub fn change(&mut self) -> (Option<Time>, f64) {
        self.world.take_spent();
        self.world.change();
        let all = self.world.until(Time(50), Time(300_000), Simulation::listed);
        let spent = Rate::of(&self.world.take_spent(), SECOND);
        (all, spent.sent.group("list").1 as f64 / self.n as f64)
    }

    /// Starts one more instance and measures its traffic and that of the others until it holds the list and all records agree.
    pub fn joins(&mut self) -> Joined {
        self.world.take_spent();
        let began = self.world.now;
        let no = self.world.add(Time(1));
        let listed = self.world.until(Time(20), Time(200_000), Simulation::listed);
        let alike = self.world.until(Time(100), Time(400_000), Simulation::alike);
        let took = self.world.now - began;
        let mut all = self.world.take_spent();
        let one = all.swap_remove(no);
        let others = Rate::of(&all, took);
        Joined { listed, alike: alike.map(|_| took), one, others }
    }
}

/// Result of starting one instance.
pub struct Joined {
    pub listed: Option<Time>,
    pub alike: Option<Time>,
    pub one: Spent,
    pub others: Rate,
}

/// Result of starting all instances.
pub struct AllStart {
    pub n: usize,
    pub listed: Option<Time>,
    pub alike: Option<Time>,
    pub sure: Option<Time>,
    /// Use in the first 6 s, and until convergence.
    pub first: Spent,
    pub whole: Spent,
    /// Mean bytes per instance in the busiest second, and the most that one instance sent in a second.
    pub busiest_second: f64,
    pub busiest_one: u64,
    pub directory: OneSecond,
    /// Links, records and lists that were refused.
    pub refused: u64,
}

/// Starts all instances within a second without knowledge; ends on convergence or when `most` has passed. The load applies only
/// with a copy directory.
pub fn all_start(seed: u64, n: usize, terms: SimulationSettings, load: &mut Load, most: Time) -> AllStart {
    const FIRST: Time = Time(60_000);
    let mut world = Simulation::new(seed, n as u64, rows_held(n), terms);
    let mut rng = Rand64::new(u128::from(seed) << 1);
    for _ in 0..n {
        world.add(Time(rng.rand_range(0..SECOND.0)));
    }
    let began = world.now;
    let (mut seconds, mut first) = (Seconds::default(), None);
    let (mut listed, mut alike, mut sure) = (None, None, None);
    let note = |at: &mut Option<Time>, so_far, good| *at = at.or(Some(so_far).filter(|_| good));
    loop {
        match terms.directory_budget {
            Some(_) => load.pass(&mut world, n, CHECK_INTERVAL),
            None => world.run(CHECK_INTERVAL),
        }
        let so_far = world.now - began;
        // In the first second no instance knows of another yet.
        let begun = so_far >= SECOND;
        note(&mut listed, so_far, begun && world.listed());
        note(&mut alike, so_far, begun && world.alike());
        note(&mut sure, so_far, begun && world.sure());
        let right = listed.is_some() && alike.is_some() && sure.is_some();
        let over = so_far >= most || (right && so_far >= FIRST);
        if over || so_far.0.is_multiple_of(SECOND.0) {
            seconds.add(world.take_spent(), terms.directory_budget);
        }
        if so_far >= FIRST && first.is_none() {
            first = Some(seconds.whole.clone());
        }
        if over {
            break;
        }
    }
    let first = first.unwrap_or_else(|| seconds.whole.clone());
    let busiest_second = seconds.busiest as f64 / n as f64;
    let busiest_one = seconds.busiest_one;
    let (refused, directory, whole) = (world.refused(), seconds.directory, seconds.whole);
    AllStart { n, listed, alike, sure, first, whole, busiest_second, busiest_one, directory, refused }
}
