//! The whole load grown in step with the schedulers: which budget or promise breaks first.

use std::fmt::Write as _;

use curlewpoint::types::Time;
use oorandom::Rand64;

use crate::scale::fleet_part::{book_bytes, rows_held, settle, Joined, Rate};
use crate::scale::module_part::{module_cost, Cost};
use crate::scale::plan;
use crate::scale::tally::GROUPS;
use crate::scale::world::BOUNDS;

const SECOND: Time = Time(10_000);
/// What a fleet keeps of hints, as in `curlewpoint-fleet`.
const HINTS_KEPT: f64 = 65_536.0;
/// Members that a fleet keeps for each instance that may live, as in `curlewpoint-fleet`, and the setting's default.
const RECORDS: f64 = 4.0;
const MOST_INSTANCES: f64 = 1_000.0;

/// What was measured at one size.
pub struct Step {
    pub schedulers: usize,
    pub good: bool,
    pub steady: Rate,
    pub hinted: Vec<(f64, Rate)>,
    /// Time until a changed row was held by all, and bytes that one sent for it.
    pub change: (Option<Time>, f64),
    pub joined: Joined,
    pub rows_held: usize,
    /// Bytes of table, list and links of one instance.
    pub memory: Option<f64>,
    /// Bytes of the rows of the list that the hollow ones do not hold, measured on books alone.
    pub rows_left_out: Option<f64>,
    pub module: Cost,
}

/// Measures one size. Hints are tried at the rates given, with so much time measured each.
pub fn step(seed: u64, n: usize, seen: &[f64], calls: u64) -> Step {
    let mut rng = Rand64::new(u128::from(seed) + 7);
    let (workers, functions) = (plan::workers(n), plan::functions(n));
    let rows_left_out = book_bytes(workers - rows_held(n));
    let module = module_cost(seed, n, workers, functions, calls);
    let mut fleet = settle(seed, n);
    let (good, memory, held) = (fleet.good, fleet.memory, fleet.rows);
    let steady = fleet.steady(Time(3 * SECOND.0));
    let change = fleet.change();
    let joined = fleet.joins();
    let hinted = seen.iter().map(|s| (*s, fleet.hinted(*s, SECOND, Time(2 * SECOND.0), &mut rng))).collect();
    Step {
        schedulers: n,
        good,
        steady,
        hinted,
        change,
        joined,
        rows_held: held,
        memory,
        rows_left_out,
        module,
    }
}

impl Step {
    /// Bytes that one starting gets or sends, whichever is more, with the list as long as the plan has it.
    pub fn starter_bytes(&self) -> f64 {
        let list = self.joined.one.got.group("list").1 as f64;
        let rest = self.joined.one.got.all().1 as f64 - list;
        let whole = plan::workers(self.schedulers) as f64 / self.rows_held.max(1) as f64;
        rest + list * whole
    }

    fn members_a_start(&self) -> f64 {
        let group = |g| self.joined.others.sent.group(g).1 as f64;
        group("members") / self.joined.others.instances.max(1) as f64
    }

    /// Bytes a second that restarts and changes cost one, at the plan's rates.
    pub fn churn_bytes(&self) -> f64 {
        let day = 86_400.0;
        // An end of a run and its start are told, the measured start is one of the two.
        let members = 2.0 * self.members_a_start() * plan::RESTARTS / day;
        // Taken to go the way of a changed row of the list; and a restarted worker changes its row three times.
        members + self.change.1 * (plan::CHANGES + 3.0 * plan::RESTARTS) / day
    }

    /// Bytes a second of one, at this rate of things seen; none: it was not tried.
    pub fn bytes(&self, seen: f64) -> Option<f64> {
        let rate = self.hinted.iter().find(|(s, _)| *s == seen)?;
        Some(rate.1.sent(None).1 + self.churn_bytes())
    }
}

impl Step {
    /// What was measured, some lines.
    pub fn draw(&self) -> String {
        let mut out = String::new();
        let n = self.schedulers;
        let settled = if self.good { "settled" } else { "NOT settled in 6 s" };
        let seconds = |t: Option<Time>| t.map_or("never".to_owned(), |t| format!("{:.2} s", t.ms() / 1000.0));
        // Writing to a String cannot fail.
        let _ = writeln!(
            out,
            "{n} schedulers, {} workers ({} rows held), {} functions: {settled}",
            plan::workers(n),
            self.rows_held,
            plan::functions(n)
        );
        let by_group = |rate: &Rate| -> String {
            let of = |(g, _): &(&str, &[curlewpoint_wire::Kind])| {
                let (frames, bytes) = rate.sent(Some(g));
                format!(" {g} {frames:.1}/{bytes:.0}")
            };
            GROUPS.iter().map(of).collect()
        };
        let mut rate = |name: &str, r: &Rate| {
            let (frames, bytes) = r.sent(None);
            let _ = writeln!(
                out,
                "  {name}: each sends a second {frames:.1} frames, {bytes:.0} B (frames/B:{}), cpu {:.3} ms",
                by_group(r),
                r.cpu_ms()
            );
        };
        rate("steady", &self.steady);
        for (seen, r) in &self.hinted {
            rate(&format!("{seen} things seen a second each"), r);
        }
        let one = &self.joined.one;
        let _ = writeln!(
            out,
            "  one starts: got {} B (members {}, list {}), sent {} B; list held after {}, alike after {}; each other sent {:.0} B of members",
            one.got.all().1,
            one.got.group("members").1,
            one.got.group("list").1,
            one.sent.all().1,
            seconds(self.joined.listed),
            seconds(self.joined.alike),
            self.members_a_start()
        );
        let _ = writeln!(
            out,
            "  a changed row: with all after {}, {:.0} B sent by each; restarts and changes at the plan's rate {:.2} B/s",
            seconds(self.change.0),
            self.change.1,
            self.churn_bytes()
        );
        let (with, without) = self.module.us();
        let mb = |b: Option<f64>| b.map_or("-".to_owned(), |b| format!("{:.2} MB", b / 1e6));
        let _ = writeln!(
            out,
            "  module: {with:.1} us a call, {without:.1} without the choice; {:.3} probes, {:.3} loads, {:.3} sights told a call",
            self.module.probes as f64 / self.module.calls.max(1) as f64,
            self.module.loads as f64 / self.module.calls.max(1) as f64,
            self.module.seen as f64 / self.module.calls.max(1) as f64
        );
        let _ = writeln!(
            out,
            "  memory (resident size): fleet part {}, rows left out {}, module {}",
            mb(self.memory),
            mb(self.rows_left_out),
            mb(self.module.memory.map(|b| b as f64))
        );
        out
    }
}

/// One budget or promise against all sizes.
pub struct Row {
    pub what: String,
    pub budget: f64,
    pub unit: &'static str,
    /// What is spent at each size; none: not measured.
    pub spent: Vec<Option<f64>>,
}

impl Row {
    /// The first size at which it breaks, and by what factor.
    pub fn breaks(&self, sizes: &[usize]) -> Option<(usize, f64)> {
        let at =
            |(n, s): (&usize, &Option<f64>)| s.filter(|s| *s > self.budget).map(|s| (*n, s / self.budget));
        sizes.iter().zip(&self.spent).find_map(at)
    }
}

/// The step table.
pub struct Table {
    pub sizes: Vec<usize>,
    pub rows: Vec<Row>,
}

impl Table {
    pub fn of(all: &[Step]) -> Table {
        let sizes: Vec<usize> = all.iter().map(|s| s.schedulers).collect();
        let mut rows = Vec::new();
        let mut row = |what: &str, budget: f64, unit, spent: &dyn Fn(&Step) -> Option<f64>| {
            rows.push(Row { what: what.to_owned(), budget, unit, spent: all.iter().map(spent).collect() });
        };
        let module_us = |s: &Step| s.module.us();
        let fleet_ms = |s: &Step| s.steady.cpu_ms();
        row("processor: fleet part and module, choice counted in", plan::CORE * 1000.0, "ms/s", &|s| {
            Some(fleet_ms(s) + module_us(s).0 * plan::calls_each() / 1000.0)
        });
        row("processor: fleet part and module, choice counted out", plan::CORE * 1000.0, "ms/s", &|s| {
            Some(fleet_ms(s) + module_us(s).1 * plan::calls_each() / 1000.0)
        });
        row("processor: the fleet part alone", plan::CORE * 1000.0, "ms/s", &|s| Some(fleet_ms(s)));
        row("bytes sent: beats, members, changes; no hints", plan::BYTES, "B/s", &|s| {
            Some(s.steady.sent(None).1 + s.churn_bytes())
        });
        for seen in plan::SEEN {
            row(&format!("bytes sent: with {seen} things seen a second each"), plan::BYTES, "B/s", &|s| {
                s.bytes(seen)
            });
        }
        row("one that starts: list and records whole, at 10 KB/s", plan::IN_FORCE, "s", &|s| {
            Some(s.starter_bytes() / plan::BYTES)
        });
        row("a change of the list held by all", plan::IN_FORCE, "s", &|s| {
            s.change.0.map(|t| t.ms() / 1000.0)
        });
        row("memory: fleet part (table, list) and module", plan::MEMORY / 1e6, "MB", &|s| {
            Some((s.memory? + s.module.memory? as f64 + s.rows_left_out?) / 1e6)
        });
        row("members that the default setting keeps", MOST_INSTANCES * RECORDS, "records", &|s| {
            // Those ended are kept for 100 minutes at most.
            Some(s.schedulers as f64 + plan::RESTARTS * 100.0 / 1440.0)
        });
        row("instances that the default setting takes at a time", MOST_INSTANCES, "", &|s| {
            Some(s.schedulers as f64)
        });
        row("rows of hints kept at 0.3 a second each", HINTS_KEPT, "rows", &|s| {
            Some(0.3 * s.schedulers as f64 * BOUNDS.hints.ms() / 1000.0)
        });
        Table { sizes, rows }
    }

    /// The row that breaks at the smallest size, by the larger factor where several do.
    pub fn first(&self) -> Option<(&Row, usize, f64)> {
        let broken = self.rows.iter().filter_map(|r| r.breaks(&self.sizes).map(|(n, f)| (r, n, f)));
        broken.min_by(|a, b| a.1.cmp(&b.1).then(b.2.total_cmp(&a.2)))
    }

    pub fn draw(&self) -> String {
        let mut out = String::new();
        // Writing to a String cannot fail.
        let _ = write!(out, "{:56}{:>13}", "budget or promise", "budget");
        for n in &self.sizes {
            let _ = write!(out, "{n:>18}");
        }
        let _ = writeln!(out, "  breaks at (factor)");
        for row in &self.rows {
            let _ = write!(out, "{:56}{:>13}", row.what, format!("{} {}", row.budget, row.unit));
            for s in &row.spent {
                let told = s.map_or("-".to_owned(), |s| format!("{s:.1} (x{:.2})", s / row.budget));
                let _ = write!(out, "{told:>18}");
            }
            let breaks = row.breaks(&self.sizes).map_or("-".to_owned(), |(n, f)| format!("{n} (x{f:.2})"));
            let _ = writeln!(out, "  {breaks}");
        }
        match self.first() {
            Some((row, n, f)) => {
                let _ = writeln!(out, "first: {} at {n} schedulers, {f:.2} times its budget", row.what);
            }
            None => {
                let _ = writeln!(out, "none breaks");
            }
        }
        out
    }
}

/// Measures sizes in turn; `tell` gets each as it is done.
pub fn steps(
    seed: u64, sizes: &[usize], seen: impl Fn(usize) -> Vec<f64>, mut tell: impl FnMut(&Step),
) -> Vec<Step> {
    let one = |n: &usize| {
        // Some seconds of the plan's calls; fewer where each costs a millisecond.
        let calls = if *n > 1_000 { 3_000 } else { 6_000 };
        let step = step(seed, *n, &seen(*n), calls);
        tell(&step);
        step
    };
    sizes.iter().map(one).collect()
}
