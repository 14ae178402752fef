//! Which budget breaks first when the load grows in proportion to the schedulers.

use std::fmt::Write as _;

use serde_json::{json, Value};

use crate::scale::measure::Measurements;
use crate::scale::parts::{FLEET, MODULE};
use crate::scale::plan;
use crate::scale::simulation::BOUNDS;

/// Number of hints that a member keeps, as in `curlewpoint-fleet`.
const MAX_HINTS: f64 = 65_536.0;
/// Member records kept per permitted instance, as in `curlewpoint-fleet`, and the defaults of the settings.
const RECORDS_PER_INSTANCE: f64 = 4.0;
const DEFAULT_MAX_INSTANCES: f64 = 1_000.0;
const DEFAULT_MAX_LINKS: f64 = 512.0;
/// Minutes for which records of ended instances are kept at most.
const ENDED_RECORD_MINUTES: f64 = 10.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// One budget compared with what is used at each fleet size.
pub struct Row {
    pub what: String,
    pub budget: f64,
    pub unit: &'static str,
    /// Use at each size; `None` if not measured.
    pub spent: Vec<Option<f64>>,
}

impl Row {
    /// The first size at which the budget is exceeded, and by what factor.
    pub fn breaks(&self, sizes: &[usize]) -> Option<(usize, f64)> {
        let at =
            |(n, s): (&usize, &Option<f64>)| s.filter(|s| *s > self.budget).map(|s| (*n, s / self.budget));
        sizes.iter().zip(&self.spent).find_map(at)
    }
}

/// All budgets against all fleet sizes.
pub struct Table {
    pub sizes: Vec<usize>,
    pub rows: Vec<Row>,
}

/// Bytes per second that restarts and changes cost an instance at the plan's rates. A configuration change is assumed to cost as
/// much as a changed list row, a restarted machine to change its row three times, and the end of a run to be announced like its
/// start.
fn churn(o: &Measurements) -> Option<f64> {
    let records =
        2.0 * o.get(FLEET, "one starts: record bytes of each other")? * plan::RESTARTS / SECONDS_PER_DAY;
    let rows =
        o.get(FLEET, "a changed row: bytes sent")? * (plan::CHANGES + 3.0 * plan::RESTARTS) / SECONDS_PER_DAY;
    Some(records + rows)
}

fn processor(o: &Measurements, counted: &str) -> Option<f64> {
    let module = o.get(MODULE, &format!("a call, choice counted {counted}"))? * plan::calls_each() / 1000.0;
    Some(o.get(FLEET, "steady: processor")? + module)
}

impl Table {
    pub fn of(all: &[Measurements]) -> Table {
        let sizes: Vec<usize> = all.iter().map(|o| o.schedulers).collect();
        let mut rows = Vec::new();
        let mut row = |what: &str, budget: f64, unit, spent: &dyn Fn(&Measurements) -> Option<f64>| {
            rows.push(Row { what: what.to_owned(), budget, unit, spent: all.iter().map(spent).collect() });
        };
        let core = plan::CORE * 1000.0;
        row("processor, choice of the worker counted in", core, "ms/s", &|o| processor(o, "in"));
        row("processor, choice of the worker counted out", core, "ms/s", &|o| processor(o, "out"));
        row("processor, fleet part alone", core, "ms/s", &|o| o.get(FLEET, "steady: processor"));
        row("bytes sent, no hints", plan::BYTES, "B/s", &|o| {
            Some(o.get(FLEET, "steady: bytes sent")? + churn(o)?)
        });
        for seen in plan::SEEN {
            row(&format!("bytes sent, {seen} things seen a second each"), plan::BYTES, "B/s", &|o| {
                Some(o.get(FLEET, &format!("{seen} seen a second: bytes sent"))? + churn(o)?)
            });
        }
        row("one that starts, list and records at 10 KB/s", plan::IN_FORCE, "s", &|o| {
            Some(o.get(FLEET, "one starts: bytes it gets")? / plan::BYTES)
        });
        row("all start: list with all, links without bound", plan::IN_FORCE, "s", &|o| {
            o.get(FLEET, "all start: list with all after")
        });
        row("all start: bytes until right, at 10 KB/s", plan::IN_FORCE, "s", &|o| {
            Some(o.get(FLEET, "all start: bytes until right")? / plan::BYTES)
        });
        row("a changed row with all", plan::IN_FORCE, "s", &|o| {
            o.get(FLEET, "a changed row: with all after")
        });
        row("memory, fleet part and module", plan::MEMORY / 1e6, "MB", &|o| {
            let fleet = o.get(FLEET, "memory of records, list and links")?;
            Some((fleet + o.get(MODULE, "memory of the module")?) / 1e6)
        });
        row(
            "records kept (default most-instances x 4)",
            DEFAULT_MAX_INSTANCES * RECORDS_PER_INSTANCE,
            "",
            &|o| Some(o.schedulers as f64 + plan::RESTARTS * ENDED_RECORD_MINUTES / 1440.0),
        );
        row("instances at a time (default most-instances)", DEFAULT_MAX_INSTANCES, "", &|o| {
            Some(o.schedulers as f64)
        });
        row("links at a peer to begin with, all starting", DEFAULT_MAX_LINKS, "", &|o| {
            Some(o.schedulers as f64)
        });
        row("rows of hints kept, 0.3 seen a second each", MAX_HINTS, "", &|o| {
            Some(plan::SEEN[1] * o.schedulers as f64 * BOUNDS.hint_lifetime.ms() / 1000.0)
        });
        Table { sizes, rows }
    }

    /// The budget exceeded at the smallest size; among several, the one exceeded by the largest factor.
    pub fn first(&self) -> Option<(&Row, usize, f64)> {
        let broken = self.rows.iter().filter_map(|r| r.breaks(&self.sizes).map(|(n, f)| (r, n, f)));
        broken.min_by(|a, b| a.1.cmp(&b.1).then(b.2.total_cmp(&a.2)))
    }

    pub fn draw(&self) -> String {
        let mut out = String::new();
        // Writing to a String cannot fail.
        let _ = write!(out, "{:46}{:>12}", "budget or promise, against schedulers", "budget");
        for n in &self.sizes {
            let _ = write!(out, "{n:>18}");
        }
        let _ = writeln!(out, "  breaks at (factor)");
        for row in &self.rows {
            let _ = write!(out, "{:46}{:>12}", row.what, format!("{} {}", row.budget, row.unit));
            for s in &row.spent {
                let told = s.map_or("-".to_owned(), |s| format!("{s:.1} (x{:.2})", s / row.budget));
                let _ = write!(out, "{told:>18}");
            }
            let breaks = row.breaks(&self.sizes).map_or("-".to_owned(), |(n, f)| format!("{n} (x{f:.2})"));
            let _ = writeln!(out, "  {breaks}");
        }
        let _ = match self.first() {
            Some((row, n, f)) => writeln!(out, "first: {}, at {n} schedulers, x{f:.2}", row.what),
            None => writeln!(out, "none breaks at these sizes"),
        };
        out
    }

    pub fn to_json(&self) -> Value {
        let row = |r: &Row| {
            let breaks = r.breaks(&self.sizes).map(|(n, f)| json!({"schedulers": n, "factor": f}));
            json!({"what": r.what, "budget": r.budget, "unit": r.unit, "spent": r.spent, "breaks": breaks})
        };
        let first = self.first().map(|(r, n, f)| json!({"what": r.what, "schedulers": n, "factor": f}));
        json!({"sizes": self.sizes, "rows": self.rows.iter().map(row).collect::<Vec<_>>(), "first": first})
    }
}
