//! The measurements of all fleet sizes side by side, as text and as JSON.

use std::fmt::Write as _;

use serde_json::{json, Value};

use crate::scale::fit::{off, Fit, FITTED, OFF};
use crate::scale::measure::{Measure, Measurements};
use crate::scale::plan;
use crate::scale::steps::Table;

/// All measurements from one seed.
pub struct Report {
    pub seed: u64,
    pub outcomes: Vec<Measurements>,
}

/// Formats a value with a precision that suits its magnitude.
fn short(v: f64) -> String {
    match v.abs() {
        x if x >= 1000.0 => format!("{v:.0}"),
        x if x >= 10.0 => format!("{v:.1}"),
        x if x == 0.0 || x >= 0.01 => format!("{v:.3}"),
        _ => format!("{v:.2e}"),
    }
}

impl Report {
    /// Each measure once, grouped by role, in the order of first measurement.
    fn names(&self) -> Vec<&Measure> {
        let mut all: Vec<&Measure> = Vec::new();
        for m in self.outcomes.iter().flat_map(|o| &o.measures) {
            if !all.iter().any(|a| (&a.role, &a.name) == (&m.role, &m.name)) {
                all.push(m);
            }
        }
        let mut roles: Vec<&str> = Vec::new();
        all.iter().for_each(|m| {
            if !roles.contains(&m.role.as_str()) {
                roles.push(&m.role);
            }
        });
        all.sort_by_key(|m| roles.iter().position(|r| *r == m.role));
        all
    }

    fn fit(&self, m: &Measure) -> Option<Fit> {
        let at = |o: &Measurements| Some((o.schedulers, o.get(&m.role, &m.name)?));
        Fit::of(&self.outcomes.iter().filter_map(at).collect::<Vec<_>>())
    }

    pub fn table(&self) -> Table {
        Table::of(&self.outcomes)
    }

    pub fn draw(&self) -> String {
        let mut out = String::new();
        // Writing to a String cannot fail.
        let _ = writeln!(
            out,
            "seed {}; beside n schedulers {} n workers, {:.1} n functions; {:.0} calls a second each",
            self.seed,
            plan::COPIES / plan::COPIES_A_WORKER / plan::SCHEDULERS,
            plan::FUNCTIONS / plan::SCHEDULERS,
            plan::calls_each(),
        );
        let _ = writeln!(
            out,
            "one instance, on the mean; times of the processor are this thread's, memory by resident size"
        );
        let _ = write!(out, "\n{:52}{:>6}", "", "");
        for o in &self.outcomes {
            let _ = write!(out, "{:>11}", o.schedulers);
        }
        let _ = writeln!(out, "  fit to {FITTED}: const + n + n^2 (worst residual; forecast off)");
        let mut role = "";
        for m in self.names() {
            if m.role != role {
                role = &m.role;
                let _ = writeln!(out, "{role}");
            }
            let _ = write!(out, "  {:50}{:>6}", m.name, m.unit);
            for o in &self.outcomes {
                let told = o.get(&m.role, &m.name).map_or("-".to_owned(), short);
                let _ = write!(out, "{told:>11}");
            }
            let _ = writeln!(out, "{}", self.fit(m).map_or(String::new(), |f| draw_fit(&f)));
        }
        for o in &self.outcomes {
            for note in &o.notes {
                let _ = writeln!(out, "note, {} schedulers: {note}", o.schedulers);
            }
        }
        out
    }

    pub fn to_json(&self) -> Value {
        let fit = |m: &&Measure| {
            let f = self.fit(m)?;
            let forecast = |(n, forecast, played): &(usize, f64, f64)| {
                let off = off(*forecast, *played);
                let told = off.is_finite().then_some(off);
                json!({"schedulers": n, "forecast": forecast, "played": played, "off": told, "holds": off.abs() <= OFF})
            };
            Some(json!({
                "role": m.role, "name": m.name, "unit": m.unit,
                "constant": f.terms[0], "linear": f.terms[1], "square": f.terms[2],
                "residuals": f.residuals.iter().map(|(n, r)| json!({"schedulers": n, "residual": r})).collect::<Vec<_>>(),
                "forecasts": f.forecasts.iter().map(forecast).collect::<Vec<_>>(),
            }))
        };
        json!({
            "seed": self.seed,
            "assumed": {
                "copies a worker": plan::COPIES_A_WORKER, "calls a second each": plan::calls_each(),
                "things seen a second each": plan::SEEN,
            },
            "outcomes": self.outcomes.iter().map(Measurements::to_json).collect::<Vec<_>>(),
            "fits": self.names().iter().filter_map(fit).collect::<Vec<_>>(),
            "steps": self.table().to_json(),
        })
    }
}

fn draw_fit(f: &Fit) -> String {
    let mut out = String::new();
    let signed = |v: f64| format!("{} {}", if v < 0.0 { "-" } else { "+" }, short(v.abs()));
    let _ = write!(out, "  {} {} n", short(f.terms[0]), signed(f.terms[1]));
    if f.terms[2] != 0.0 {
        let _ = write!(out, " {} n^2", signed(f.terms[2]));
    }
    let worst = f.residuals.iter().map(|(_, r)| r.abs()).fold(0.0, f64::max);
    let _ = write!(out, " ({}", short(worst));
    for (n, forecast, played) in &f.forecasts {
        let off = off(*forecast, *played);
        let told = if off.is_finite() { format!("{:+.0}%", off * 100.0) } else { "played 0".into() };
        let mark = if off.abs() > OFF { " OFF" } else { "" };
        let _ = write!(out, "; {n}: {told}{mark}");
    }
    out + ")"
}
