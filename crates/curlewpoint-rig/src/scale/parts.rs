//! The separate parts of a measurement at one fleet size.

use curlewpoint::types::Time;

use crate::scale::fleet_part::{
    all_start, endpoint_table_bytes, rows_held, settle, Load, OneSecond, Rate, Settled, SECOND, WHOLE_LISTS,
};
use crate::scale::measure::{Ledger, Measurements};
use crate::scale::module_part::module_cost;
use crate::scale::place::{region_of, zone_of};
use crate::scale::plan;
use crate::scale::simulation::SimulationSettings;
use crate::scale::tally::GROUPS;
use crate::scale::worker_part::{borne, Choice, Scene};

/// A part that can be measured on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// A settled fleet: idle, with observations, with a changed list row, and with an instance that starts.
    Steady,
    /// The cost of a call in the decision module, by number of workers and functions.
    Module,
    /// All instances start within a second without knowledge.
    Start,
    /// Loss of an instance, a rack and a zone, and a partition between regions.
    Faults,
    /// The load on one worker from all schedulers that choose from all workers, or from those of their zone.
    Worker,
}

impl Part {
    pub const ALL: [Part; 5] = [Part::Steady, Part::Module, Part::Start, Part::Faults, Part::Worker];

    pub fn name(self) -> &'static str {
        match self {
            Part::Steady => "steady",
            Part::Module => "module",
            Part::Start => "start",
            Part::Faults => "faults",
            Part::Worker => "worker",
        }
    }
}

/// How much is measured, and under which settings.
#[derive(Clone, Debug)]
pub struct MeasureOptions {
    /// Whether times are measured in addition to counts and bytes.
    pub times: bool,
    /// Number of measured calls in the module part.
    pub calls: u64,
    /// Observations per second of each instance, measured one after the other.
    pub seen: Vec<f64>,
    /// Calls per second of each instance during a start of all and during faults, if a copy directory is kept.
    pub load: f64,
    /// Duration of the partition between regions.
    pub apart: Time,
    pub simulation: SimulationSettings,
}

impl MeasureOptions {
    /// The full measurement, which takes some minutes at the largest size.
    pub fn of(n: usize) -> MeasureOptions {
        // For larger fleets some parts would take hours and are shortened; the notes state what was measured.
        let (calls, seen) = if n <= 1_000 { (6_000, 3) } else { (3_000, 2) };
        let apart = match n {
            0..=100 => Time(36_000_000),
            101..=300 => Time(6_600_000),
            _ => Time(300_000),
        };
        let (seen, load) = (plan::SEEN[..seen].to_vec(), plan::calls_each());
        MeasureOptions { times: true, calls, seen, load, apart, simulation: SimulationSettings::default() }
    }

    /// The background load, derived from the plan.
    fn load(&self, seed: u64) -> Load {
        Load::new(seed, plan::SEEN[1], self.load)
    }

    /// Counts and bytes only, which takes seconds.
    pub fn small() -> MeasureOptions {
        MeasureOptions {
            times: false,
            calls: 200,
            seen: vec![plan::SEEN[1]],
            load: FEW_CALLS,
            apart: Time(200_000),
            simulation: SimulationSettings::default(),
        }
    }
}

/// Calls per second of the short measurement.
const FEW_CALLS: f64 = 20.0;

/// The roles for which values are reported.
pub const FLEET: &str = "fleet part";
pub const WATCHER: &str = "list watcher";
pub const SERVICE: &str = "list service";
pub const MODULE: &str = "call path";
pub const WORKER: &str = "worker";

/// The zone that is lost, the number of racks in a zone, and the region that is partitioned.
const LOST_ZONE: usize = 3;
const RACKS: usize = 8;
const LONE_REGION: usize = 1;

/// Measures one part at one fleet size.
pub fn measure_part(part: Part, seed: u64, n: usize, effort: &MeasureOptions) -> Measurements {
    let mut outcome = Measurements::new(n);
    match part {
        Part::Steady => steady(seed, n, effort, &mut outcome),
        Part::Module => module(seed, n, effort, &mut outcome),
        Part::Start => start(seed, n, effort, &mut outcome),
        Part::Faults => faults(seed, n, effort, &mut outcome),
        Part::Worker => worker(seed, n, effort, &mut outcome),
    }
    outcome
}

/// Adds a span of simulated time in seconds.
fn span(ledger: &mut Ledger<'_>, name: &str, t: Option<Time>) {
    if let Some(t) = t {
        ledger.count(name, "s", t.ms() / 1000.0);
    }
}

fn rates(ledger: &mut Ledger<'_>, name: &str, rate: &Rate, times: bool) {
    for (group, _) in GROUPS {
        let (frames, bytes) = rate.sent(Some(group));
        if frames > 0.0 {
            ledger.count(&format!("{name}: {group} frames"), "/s", frames);
            ledger.count(&format!("{name}: {group} bytes"), "B/s", bytes);
        }
    }
    let (frames, bytes) = rate.sent(None);
    ledger.count(&format!("{name}: frames sent"), "/s", frames);
    ledger.count(&format!("{name}: bytes sent"), "B/s", bytes);
    if times {
        ledger.rough(&format!("{name}: processor"), "ms/s", Some(rate.cpu_ms()));
    }
}

fn settled(seed: u64, n: usize, terms: SimulationSettings, outcome: &mut Measurements) -> Settled {
    let fleet = settle(seed, n, terms);
    if !fleet.good {
        outcome.notes.push("the fleet had not settled in 6 s".into());
    }
    if fleet.rows < plan::workers(n) {
        let (held, all) = (fleet.rows, plan::workers(n));
        outcome
            .notes
            .push(format!("the list held has {held} rows of {all}; bytes and memory of the rest by row"));
    }
    fleet
}

fn steady(seed: u64, n: usize, effort: &MeasureOptions, outcome: &mut Measurements) {
    let times = effort.times;
    // Measured first: endpoint tables built later would reuse memory that the fleet has freed, and show no growth. What the
    // tables free is a hundredth of what the fleet takes.
    let left_out = if times { endpoint_table_bytes(plan::workers(n) - rows_held(n)) } else { None };
    let mut fleet = settled(seed, n, effort.simulation, outcome);
    if times {
        let per_row = fleet.memory.zip(left_out).map(|(held, left)| held + left);
        outcome.of(FLEET).rough("memory of records, list and links", "B", per_row);
    }
    let (all, watch) = fleet.steady(Time(3 * SECOND.0));
    rates(&mut outcome.of(FLEET), "steady", &all, times);
    outcome.of(FLEET).count("links", "", fleet.world.links());
    rates(&mut outcome.of(WATCHER), "steady", &watch, times);
    let service = watch.service.all().1 as f64 / (watch.span.ms() / 1000.0);
    let each = watch.instances.max(1) as f64;
    outcome.of(WATCHER).count("steady: bytes to and from the service", "B/s", service / each);
    outcome.of(SERVICE).count("steady: bytes to and from all", "B/s", service);
    outcome.of(SERVICE).count("connections", "", fleet.world.watchers() as f64);
    let (with_all, each) = fleet.change();
    span(&mut outcome.of(FLEET), "a changed row: with all after", with_all);
    outcome.of(FLEET).count("a changed row: bytes sent", "B", each);
    joined(n, &mut fleet, outcome);
    let mut load = Load::new(seed, 0.0, plan::calls_each());
    for seen in &effort.seen {
        load.now_seen(*seen);
        let rate = fleet.hinted(&mut load, SECOND, Time(2 * SECOND.0));
        let name = format!("{seen} seen a second");
        let mut ledger = outcome.of(FLEET);
        rates(&mut ledger, &name, &rate, times);
        ledger.count(&format!("{name}: rows taken"), "/s", rate.hints_taken());
    }
}

fn module(seed: u64, n: usize, effort: &MeasureOptions, outcome: &mut Measurements) {
    let cost = module_cost(seed, n, plan::workers(n), plan::functions(n), effort.calls);
    let calls = cost.calls.max(1) as f64;
    let mut ledger = outcome.of(MODULE);
    if effort.times {
        let (with, without) = cost.us();
        ledger.rough("a call, choice counted in", "us", Some(with));
        ledger.rough("a call, choice counted out", "us", Some(without));
        ledger.rough("memory of the module", "B", cost.memory.map(|b| b as f64));
    }
    ledger.count("probes a call", "", cost.probes as f64 / calls);
    ledger.count("load orders a call", "", cost.loads as f64 / calls);
    ledger.count("sights a call", "", cost.seen as f64 / calls);
}

fn joined(n: usize, fleet: &mut Settled, outcome: &mut Measurements) {
    // Its peers are random, and with them how often it receives the list.
    const STARTS: usize = 3;
    let (mut got, mut list, mut records, mut others) = (0.0, 0.0, 0.0, 0.0);
    let (mut listed, mut alike) = (Some(Time(0)), Some(Time(0)));
    for _ in 0..STARTS {
        let joined = fleet.joins();
        let of = |g| joined.one.got.group(g).1 as f64;
        got += joined.one.got.all().1 as f64;
        list += of("list");
        records += of("members");
        others += joined.others.sent.group("members").1 as f64 / joined.others.instances.max(1) as f64;
        listed = listed.zip(joined.listed).map(|(a, b)| a.max(b));
        alike = alike.zip(joined.alike).map(|(a, b)| a.max(b));
    }
    let mean = |x: f64| x / STARTS as f64;
    let whole = mean(list) * plan::workers(n) as f64 / fleet.rows.max(1) as f64;
    let mut ledger = outcome.of(FLEET);
    ledger.count("one starts: bytes it gets", "B", mean(got - list) + whole);
    ledger.count("one starts: of them list", "B", whole);
    ledger.count("one starts: of them records", "B", mean(records));
    ledger.count("one starts: record bytes of each other", "B", mean(others));
    span(&mut ledger, "one starts: it holds the list after", listed);
    span(&mut ledger, "one starts: all alike after", alike);
    if alike.is_none() {
        outcome.notes.push("one started: not all alike in 40 s".into());
    }
}

fn start(seed: u64, n: usize, effort: &MeasureOptions, outcome: &mut Measurements) {
    let mut load = effort.load(seed);
    let all = all_start(seed, n, effort.simulation, &mut load, Time(900_000));
    if n > WHOLE_LISTS {
        let (held, whole) = (rows_held(n), plan::workers(n));
        outcome.notes.push(format!("start of all: the list held has {held} rows of {whole}"));
    }
    let mut ledger = outcome.of(FLEET);
    let each = |x: u64| x as f64 / n as f64;
    let (frames, bytes) = all.first.sent.all();
    ledger.count("all start: frames in 6 s", "", each(frames));
    ledger.count("all start: bytes in 6 s", "B", each(bytes));
    ledger.count("all start: list bytes in 6 s", "B", each(all.first.sent.group("list").1));
    ledger.count("all start: record bytes in 6 s", "B", each(all.first.sent.group("members").1));
    let (frames, bytes) = all.whole.sent.all();
    ledger.count("all start: frames until right", "", each(frames));
    ledger.count("all start: bytes until right", "B", each(bytes));
    ledger.count("all start: busiest second", "B/s", all.busiest_second);
    ledger.count("all start: busiest instance", "B/s", all.busiest_one as f64);
    ledger.count("all start: refused, in all", "", all.refused as f64);
    span(&mut ledger, "all start: list with all after", all.listed);
    span(&mut ledger, "all start: records alike after", all.alike);
    span(&mut ledger, "all start: all sure of the number after", all.sure);
    if effort.times {
        let ms = all.whole.cpu.as_secs_f64() * 1000.0 / n as f64;
        ledger.rough("all start: processor until right", "ms", Some(ms));
    }
    one_second("all start", all.directory, effort, outcome);
    outcome.of(SERVICE).count("all start: bytes to and from all", "B", all.whole.service.all().1 as f64);
    for (what, at) in [("list", all.listed), ("records", all.alike), ("number", all.sure)] {
        if at.is_none() {
            outcome.notes.push(format!("start of all: {what} not right in 90 s"));
        }
    }
}

/// Adds the busiest second of the busiest instance's directory, and a note if an instance exceeded its limit.
fn one_second(name: &str, d: OneSecond, effort: &MeasureOptions, outcome: &mut Measurements) {
    if effort.simulation.directory_budget.is_none() {
        return;
    }
    outcome.of(FLEET).count(&format!("{name}: directory, busiest instance"), "B/s", d.bytes as f64);
    if d.over > 0 {
        let (bytes, most) = (d.bytes, d.most);
        outcome.notes.push(format!(
            "{name}: {} times one sent more than it may for the directory; {bytes} bytes in a second, at most {most:.0}",
            d.over
        ));
    }
}

/// Continues after a fault until the fleet has converged.
fn after(
    name: &str, fleet: &mut Settled, load: &mut Load, effort: &MeasureOptions, outcome: &mut Measurements,
) {
    const MOST: Time = Time(400_000);
    let burst = fleet.burst(load, SECOND, MOST, |w| w.alike() && w.listed());
    let mut ledger = outcome.of(FLEET);
    ledger.count(&format!("{name}: bytes until right"), "B", burst.bytes_each);
    ledger.count(&format!("{name}: busiest second"), "B/s", burst.busiest_second);
    ledger.count(&format!("{name}: busiest instance"), "B/s", burst.busiest_one as f64);
    span(&mut ledger, &format!("{name}: all alike after"), burst.right);
    if effort.times {
        ledger.rough(&format!("{name}: processor until right"), "ms", Some(burst.cpu_ms));
    }
    one_second(name, burst.directory, effort, outcome);
    if burst.right.is_none() {
        outcome.notes.push(format!("{name}: not alike in {:.0} s", MOST.ms() / 1000.0));
    }
}

fn faults(seed: u64, n: usize, effort: &MeasureOptions, outcome: &mut Measurements) {
    let (mut fleet, mut load) = (settled(seed, n, effort.simulation, outcome), effort.load(seed));
    let zone: Vec<usize> = (0..n).filter(|i| zone_of(*i) == LOST_ZONE).collect();
    let rack = zone[..zone.len().div_ceil(RACKS)].to_vec();
    // The last instance has no special role; the first three are the seed peers of all.
    for (name, gone) in [("one", vec![n - 1]), ("a rack", rack), ("a zone", zone)] {
        gone.iter().for_each(|no| fleet.world.kill(*no));
        after(&format!("{name} is lost"), &mut fleet, &mut load, effort, outcome);
        gone.iter().for_each(|no| fleet.world.restart(*no));
        after(&format!("{name} comes back"), &mut fleet, &mut load, effort, outcome);
    }
    fleet.world.sides(|i| u8::from(region_of(zone_of(i)) == LONE_REGION));
    let apart = fleet.burst(&mut load, effort.apart, effort.apart, |_| true);
    let seconds = effort.apart.ms() / 1000.0;
    let mut ledger = outcome.of(FLEET);
    ledger.count("regions apart: bytes sent", "B/s", apart.bytes_each / seconds);
    ledger.count("regions apart: busiest second", "B/s", apart.busiest_second);
    one_second("regions apart", apart.directory, effort, outcome);
    outcome.notes.push(format!("regions were apart for {seconds:.0} s"));
    fleet.world.sides(|_| 0);
    after("regions heal", &mut fleet, &mut load, effort, outcome);
}

fn worker(seed: u64, n: usize, effort: &MeasureOptions, outcome: &mut Measurements) {
    for (name, choice) in [("flat", Choice::Flat), ("zone", Choice::Zone)] {
        let mut scene = Scene::of(choice, n);
        if !effort.times {
            (scene.warm, scene.span) = (Time(SECOND.0 * 2), Time(SECOND.0 * 2));
        }
        if !scene.is_whole() {
            let (played, sharing) = (scene.played, scene.sharing);
            let note = format!(
                "worker, {name}: {played} of {sharing} schedulers played, every copy warm; no word of loads"
            );
            outcome.notes.push(note);
        }
        let borne = borne(scene, seed);
        let mut ledger = outcome.of(WORKER);
        let mut put =
            |what: &str, unit: &str, value: f64| ledger.count(&format!("{name}: {what}"), unit, value);
        put("connections", "", borne.connections);
        put("dials", "/s", borne.dials);
        put("attempts", "/s", borne.attempts);
        put("probes", "/s", borne.probes);
        put("reports", "/s", borne.reports);
        put("bytes of probes and orders", "B/s", borne.bytes);
        if scene.is_whole() {
            put("load orders", "/s", borne.loads);
            put("attempts that met no warm copy", "", borne.cold);
        }
        let mut ledger = outcome.of(MODULE);
        ledger.count(&format!("{name}: connections of a scheduler"), "", borne.open);
        ledger.count(&format!("{name}: sights it would tell, alone"), "/s", borne.sights);
        ledger.count(&format!("{name}: calls not ok"), "/s", borne.denied);
    }
}
