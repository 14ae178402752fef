//! What a scheduler spends as one of a fleet: steady, with hints, when one starts, when a list changes, when all start.

use std::time::Duration;

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_fleet::{EndpointTable, ListSource};
use oorandom::Rand64;

use crate::figures::max_directory_bytes;
use crate::scale::plan;
use crate::scale::simulation::{row_of, Simulation, SimulationSettings, Spent};
use crate::scale::tally::{resident, Tally};

pub const SECOND: Time = Time(10_000);
/// Lists as long as the plan has them are held up to this many instances; beyond it rows are left out, as the bytes of a
/// list grow with its rows alone: 3,400 books of 8,500 rows are 10 GB.
pub const WHOLE_LISTS: usize = 1_000;
const FEW_ROWS: usize = 500;

/// Rows of the list that the hollow instances hold.
pub fn rows_held(n: usize) -> usize {
    let rows = plan::workers(n);
    if n <= WHOLE_LISTS {
        rows
    } else {
        rows.min(FEW_ROWS)
    }
}

/// What so many rows of a list take in memory, measured on ten books; none: the system does not tell.
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

/// What one instance spends in a second, on the mean.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    pub sent: Tally,
    pub got: Tally,
    /// What those that watch the list exchange with the service.
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

    /// Frames and bytes that one sends in a second, of a group or (none) in all.
    pub fn sent(&self, group: Option<&str>) -> (f64, f64) {
        let (frames, bytes) = group.map_or_else(|| self.sent.all(), |g| self.sent.group(g));
        (frames as f64 / self.seconds(), bytes as f64 / self.seconds())
    }

    /// Rows of hints that one takes in a second.
    pub fn hints_taken(&self) -> f64 {
        self.hints_taken as f64 / self.seconds()
    }

    /// Milliseconds of processor time that one uses in a second.
    pub fn cpu_ms(&self) -> f64 {
        self.cpu.as_secs_f64() * 1000.0 / self.seconds()
    }
}

/// Between two looks at whether all is right.
const CHECK_INTERVAL: Time = Time(1_000);
/// A fault is played under load for so long at its beginning and before its end: an hour's calls would take hours.
const LOADED: Time = Time(150_000);

/// What was spent second by second.
#[derive(Default)]
struct Seconds {
    whole: Spent,
    busiest: u64,
    busiest_one: u64,
    directory: OneSecond,
}

/// What one instance sent for the directory of copies in a second: the most that one did, and how many times one sent more than
/// it may.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OneSecond {
    pub bytes: u64,
    /// What it might have sent in that second.
    pub most: f64,
    pub over: usize,
}

impl Seconds {
    /// `budget`: bytes a second that each may send for the directory of copies.
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

/// What schedulers see and are asked while something else is played.
pub struct Load {
    rng: Rand64,
    /// Things seen and calls of each in a second.
    seen: f64,
    calls: f64,
    due: f64,
    calling: f64,
}

impl Load {
    pub fn new(seed: u64, seen: f64, calls: f64) -> Load {
        Load { rng: Rand64::new(u128::from(seed) + 7), seen, calls, due: 0.0, calling: 0.0 }
    }

    /// From here on each sees so much.
    pub fn now_seen(&mut self, seen: f64) {
        (self.seen, self.due, self.calling) = (seen, 0.0, 0.0);
    }

    /// Lets so much time pass while each of `n` sees so much. Where a directory of copies is kept, each has its RPCs as well, of
    /// functions by a power law: it asks for those of which it knows no copy.
    fn pass(&mut self, world: &mut Simulation, n: usize, span: Time) {
        const STEP: Time = Time(100);
        let (workers, functions) = (plan::workers(n).max(1), plan::functions(n).max(1));
        // Names' ids are hashes: they fill eight bytes on the wire.
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

/// What a fault cost.
pub struct Burst {
    /// Bytes that one sent on the mean until all was right, and in the second with the most.
    pub bytes_each: f64,
    pub busiest_second: f64,
    /// The most bytes that one alone sent in a second.
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
    /// Growth of the resident size, for each instance, with its table and its list.
    pub memory: Option<f64>,
    pub good: bool,
}

/// Builds one and lets it come to rest.
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
    /// So long with nothing new: all, and those alone that watch the list.
    pub fn steady(&mut self, span: Time) -> (Rate, Rate) {
        self.world.take_spent();
        self.world.run(span);
        let all = self.world.take_spent();
        let watching = (0..self.n).filter(|no| self.world.is_watching(*no));
        let watching: Vec<Spent> = watching.map(|no| all[no].clone()).collect();
        (Rate::of(&all, span), Rate::of(&watching, span))
    }

    /// Plays on for `least` at least, until all is right or `most` has passed; with a directory of copies under this load at
    /// the beginning and before `most`, and without it under none.
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
            // What is right before the fault has been noticed is not yet right again.
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

    /// So long under a load, after a while of the same.
    pub fn hinted(&mut self, load: &mut Load, warm: Time, span: Time) -> Rate {
        load.pass(&mut self.world, self.n, warm);
        self.world.take_spent();
        load.now_seen(load.seen);
        load.pass(&mut self.world, self.n, span);
        Rate::of(&self.world.take_spent(), span)
    }

    /// One row of the list changes: until all hold it, and what one sends for it on the mean.
    pub fn change(&mut self) -> (Option<Time>, f64) {
        self.world.take_spent();
        self.world.change();
        let all = self.world.until(Time(50), Time(300_000), Simulation::listed);
        let spent = Rate::of(&self.world.take_spent(), SECOND);
        (all, spent.sent.group("list").1 as f64 / self.n as f64)
    }

    /// One more starts: what it got and sent until it holds all, by group; what all others sent for it; when it held the
    /// list, and when all were alike.
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

/// What came of one that starts.
pub struct Joined {
    pub listed: Option<Time>,
    pub alike: Option<Time>,
    pub one: Spent,
    pub others: Rate,
}

/// What came of a start of all.
pub struct AllStart {
    pub n: usize,
    pub listed: Option<Time>,
    pub alike: Option<Time>,
    pub sure: Option<Time>,
    /// In the first 6 s, and until all was right.
    pub first: Spent,
    pub whole: Spent,
    /// Bytes that one sent on the mean in the second with the most, and the most that one alone sent in one.
    pub busiest_second: f64,
    pub busiest_one: u64,
    pub directory: OneSecond,
    /// Links, records and lists that were not taken.
    pub refused: u64,
}

/// All start within a second, knowing nothing; ends when all is right, or `most` has passed. With a directory of copies under
/// this load.
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
        // Nobody has begun to know of another in the first second.
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
