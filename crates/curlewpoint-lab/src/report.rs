use std::collections::BTreeMap;
use std::fmt::Write as _;

use curlewpoint::types::Time;
use curlewpoint_config::{milliseconds, Config};
use curlewpoint_engine::Answer;
use hdrhistogram::Histogram;

use crate::rules::{Verdict, RULES};
use crate::transcript::{Transcript, TranscriptEvent};

/// Where a method's RPCs went, as their clients saw it.
pub struct MethodSummary {
    pub sent: u64,
    pub ok: u64,
    pub late: u64,
    pub denied: u64,
    pub aborted: u64,
    pub refused: u64,
    pub unanswered: u64,
    /// Of RPCs that ended ok, in tenths of a millisecond.
    pub latency: Histogram<u64>,
}

impl Default for MethodSummary {
    fn default() -> Self {
        let latency = Histogram::new(3).expect("three digits are allowed");
        MethodSummary { sent: 0, ok: 0, late: 0, denied: 0, aborted: 0, refused: 0, unanswered: 0, latency }
    }
}

/// Answers by method.
pub fn summarize(config: &Config, all: &[(Time, TranscriptEvent)]) -> BTreeMap<String, MethodSummary> {
    let mut summaries: BTreeMap<String, MethodSummary> = BTreeMap::new();
    let mut open: BTreeMap<u64, (Time, String)> = BTreeMap::new();
    for (at, event) in all {
        match event {
            TranscriptEvent::RpcSent { key, method, .. } => {
                open.insert(*key, (*at, method.clone()));
                summaries.entry(method.clone()).or_default().sent += 1;
            }
            TranscriptEvent::FinalAnswer { key, answer } => {
                let Some((sent_at, method)) = open.remove(key) else { continue };
                let soft = milliseconds(config.method_value(&method, "soft-deadline")).unwrap_or(f64::MAX);
                let summary = summaries.entry(method).or_default();
                match answer {
                    Answer::Ok => {
                        let latency = *at - sent_at;
                        let _ = summary.latency.record(latency.0);
                        *(if latency.ms() <= soft { &mut summary.ok } else { &mut summary.late }) += 1;
                    }
                    Answer::Denied => summary.denied += 1,
                    Answer::Aborted => summary.aborted += 1,
                }
            }
            TranscriptEvent::Refused { key, .. } => {
                if let Some((_, method)) = open.remove(key) {
                    summaries.entry(method).or_default().refused += 1;
                }
            }
            _ => {}
        }
    }
    for (_, method) in open.into_values() {
        summaries.entry(method).or_default().unanswered += 1;
    }
    summaries
}

/// Answers by method, latencies and the five rules, for a terminal.
pub fn render(config: &Config, all: &[(Time, TranscriptEvent)], verdict: &Verdict) -> String {
    let mut out = String::new();
    // Writing to a String cannot fail.
    let _ = writeln!(
        out,
        "{:16} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8}",
        "method", "asked", "ok", "late", "denied", "aborted", "refused", "none", "p50 ms", "p99 ms", "max ms"
    );
    for (method, r) in summarize(config, all) {
        let ms = |q| r.latency.value_at_quantile(q) as f64 / 10.0;
        let _ = writeln!(
            out,
            "{method:16} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>8.1} {:>8.1} {:>8.1}",
            r.sent,
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
        for (index, rule) in RULES.iter().enumerate() {
            let violations = self.violations.iter().filter(|b| b.rule == index + 1).count();
            let result =
                if violations == 0 { "kept".to_owned() } else { format!("BROKEN {violations} times") };
            let (checks, closest) = (self.checks[index], self.closest[index] * 100.0);
            let number = index + 1;
            writeln!(
                f,
                "{number}. {rule:48} {result:10} judged {checks:>6} times, nearest {closest:.0}% of the limit"
            )?;
        }
        for b in self.violations.iter().take(20) {
            writeln!(
                f,
                "  at {:.1} ms, rule {}: {}",
                Transcript::since_start(b.at).ms(),
                b.rule,
                b.description
            )?;
        }
        Ok(())
    }
}
