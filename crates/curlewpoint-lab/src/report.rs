use std::collections::BTreeMap;
use std::fmt::Write as _;

use curlewpoint::types::Time;
use curlewpoint_config::{milliseconds, Config};
use curlewpoint_engine::Answer;
use hdrhistogram::Histogram;

use crate::check::{Verdict, RULES};
use crate::record::{Record, Seen};

/// Where a method's RPCs went, as their clients saw it.
pub struct Row {
    pub asked: u64,
    pub ok: u64,
    pub late: u64,
    pub denied: u64,
    pub aborted: u64,
    pub refused: u64,
    pub unanswered: u64,
    /// Of RPCs that ended ok, in tenths of a millisecond.
    pub took: Histogram<u64>,
}

impl Default for Row {
    fn default() -> Self {
        let took = Histogram::new(3).expect("three digits are allowed");
        Row { asked: 0, ok: 0, late: 0, denied: 0, aborted: 0, refused: 0, unanswered: 0, took }
    }
}

/// Answers by method.
pub fn table(config: &Config, all: &[(Time, Seen)]) -> BTreeMap<String, Row> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    let mut open: BTreeMap<u64, (Time, String)> = BTreeMap::new();
    for (at, seen) in all {
        match seen {
            Seen::Asked { key, method, .. } => {
                open.insert(*key, (*at, method.clone()));
                rows.entry(method.clone()).or_default().asked += 1;
            }
            Seen::Final { key, answer } => {
                let Some((asked, method)) = open.remove(key) else { continue };
                let soft = milliseconds(config.method_value(&method, "soft-deadline")).unwrap_or(f64::MAX);
                let row = rows.entry(method).or_default();
                match answer {
                    Answer::Ok => {
                        let took = *at - asked;
                        let _ = row.took.record(took.0);
                        *(if took.ms() <= soft { &mut row.ok } else { &mut row.late }) += 1;
                    }
                    Answer::Denied => row.denied += 1,
                    Answer::Aborted => row.aborted += 1,
                }
            }
            Seen::Refused { key, .. } => {
                if let Some((_, method)) = open.remove(key) {
                    rows.entry(method).or_default().refused += 1;
                }
            }
            _ => {}
        }
    }
    for (_, method) in open.into_values() {
        rows.entry(method).or_default().unanswered += 1;
    }
    rows
}

/// Answers by method, latencies and the five rules, for a terminal.
pub fn draw(config: &Config, all: &[(Time, Seen)], verdict: &Verdict) -> String {
    let mut out = String::new();
    // Writing to a String cannot fail.
    let _ = writeln!(
        out,
        "{:16} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8}",
        "method", "asked", "ok", "late", "denied", "aborted", "refused", "none", "p50 ms", "p99 ms", "max ms"
    );
    for (method, r) in table(config, all) {
        let ms = |q| r.took.value_at_quantile(q) as f64 / 10.0;
        let _ = writeln!(
            out,
            "{method:16} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>8.1} {:>8.1} {:>8.1}",
            r.asked,
            r.ok,
            r.late,
            r.denied,
            r.aborted,
            r.refused,
            r.unanswered,
            ms(0.5),
            ms(0.99),
            ms(1.0)
        );
    }
    let _ = write!(out, "\n{verdict}");
    out
}

impl std::fmt::Display for Verdict {
    /// The five rules, a line each, and what broke them.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (no, rule) in RULES.iter().enumerate() {
            let broken = self.breaks.iter().filter(|b| b.rule == no + 1).count();
            let kept = if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") };
            let (judged, nearest) = (self.judged[no], self.nearest[no] * 100.0);
            let no = no + 1;
            writeln!(
                f,
                "{no}. {rule:48} {kept:10} judged {judged:>6} times, nearest {nearest:.0}% of the limit"
            )?;
        }
        for b in self.breaks.iter().take(20) {
            writeln!(f, "  at {:.1} ms, rule {}: {}", Record::since_start(b.at).ms(), b.rule, b.what)?;
        }
        Ok(())
    }
}
