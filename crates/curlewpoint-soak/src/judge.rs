//! The rules, held against what is on record.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ledger::{Answer, Arrival, LedgerState, Request, RequestId, RunId};
use crate::plan::Limits;

/// What the machine may add to a moment that is judged: the stand-ins' own lateness.
const SLACK: Duration = Duration::from_millis(50);
/// An answer so long after its time is lost.
const LATE: Duration = Duration::from_millis(500);
/// From a client's going until an attempt may no longer begin.
const AFTER_GOING: Duration = Duration::from_millis(100);
/// What the budget told to a worker may exceed the time left.
const BUDGET_SLACK: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request without one final answer in time.
    Lost,
    /// An effect twice, or a refusal of what may have run.
    Twice,
    /// Something new to a worker that drains or is gone.
    Drain,
    /// More load orders than the rate allows.
    Orders,
    /// An attempt after its client has gone, or after its answer.
    AfterGoing,
    /// A worker was told more time than is left.
    Budget,
    /// A process ended that should not have.
    Crash,
}

/// A violation with the history of the request.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub at: Instant,
    pub history: String,
}

/// How often each rule could have been broken.
pub type CheckCounts = BTreeMap<Rule, usize>;

#[derive(Debug, Default)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub checks: CheckCounts,
}

struct Judge<'a> {
    state: &'a LedgerState,
    terms: Limits,
    begun: Instant,
    by_request: BTreeMap<RequestId, Vec<&'a Arrival>>,
    verdict: Verdict,
}

/// Judges a run that began at this moment.
pub fn judge(state: &LedgerState, terms: Limits, begun: Instant) -> Verdict {
    let mut by_request: BTreeMap<RequestId, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &state.arrivals {
        if let Some(id) = arrival.request {
            by_request.entry(id).or_default().push(arrival);
        }
    }
    let mut judge = Judge { state, terms, begun, by_request, verdict: Verdict::default() };
    for (id, request) in &state.requests {
        judge.answers(*id, request);
        judge.effects(*id, request);
        judge.going(*id, request);
        judge.budgets(*id, request);
    }
    judge.drains();
    judge.orders();
    judge.process_runs();
    judge.verdict.violations.sort_by_key(|b| b.at);
    judge.verdict
}

impl Judge<'_> {
    fn chance(&mut self, rule: Rule) {
        *self.verdict.checks.entry(rule).or_default() += 1;
    }

    fn broken(&mut self, rule: Rule, at: Instant, history: String) {
        self.verdict.violations.push(Violation { rule, at, history });
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64()
    }

    /// Formats the history of a request in one line.
    fn history(&self, id: RequestId, request: &Request) -> String {
        let after = |at: Instant| at.saturating_duration_since(request.written).as_secs_f64();
        let mut history = format!(
            "{:.3} n{} id {id:016x} {} waits {:.3}",
            self.seconds(request.written),
            request.node,
            if request.is_side_effecting { "unsafe" } else { "safe" },
            request.timeout.as_secs_f64()
        );
        for (at, word) in &request.answers {
            history += &format!("; {word:?} +{:.3}", after(*at));
        }
        for (what, at) in [("gone", request.gone), ("connection ended", request.ended)] {
            history += &at.map_or(String::new(), |at| format!("; {what} +{:.3}", after(at)));
        }
        for a in self.by_request.get(&id).into_iter().flatten() {
            let (first, whole, answer) = (after(a.first_byte), after(a.whole), a.answer.unwrap_or("-"));
            history += &format!(" | {} +{first:.3} whole +{whole:.3} {answer}", a.worker);
        }
        history
    }

    /// A kill without a warning at the time in question excuses what was open.
    fn was_crashed_at(&self, node: usize, at: Instant) -> bool {
        self.state.process_runs.iter().any(|((n, _), life)| {
            let killed = life.killed.filter(|_| life.terminated.is_none());
            *n == node
                && killed.is_some_and(|k| k <= at + SLACK && life.started <= at)
                && life.ended.is_none_or(|(end, _)| at <= end + 2 * SLACK)
        })
    }

    /// Written so late that the kill after a stop left no time to answer.
    fn met_the_kill(&self, request: &Request) -> bool {
        self.state.process_runs.iter().any(|((n, _), life)| {
            let killed = life.killed.filter(|_| life.terminated.is_some());
            *n == request.node
                && killed.is_some_and(|k| request.written + SLACK >= k && request.written <= k + SLACK)
        })
    }

    fn answers(&mut self, id: RequestId, request: &Request) {
        self.chance(Rule::Lost);
        let due = request.written + request.timeout + LATE + SLACK;
        let first = request.answers.first();
        if request.answers.len() > 1 {
            self.broken(
                Rule::Lost,
                request.answers[1].0,
                format!("a second answer: {}", self.history(id, request)),
            );
        }
        if request.gone.is_some_and(|gone| gone <= due && first.is_none_or(|(at, _)| gone <= *at)) {
            return;
        }
        match first {
            Some((at, _)) if *at > due => {
                self.broken(Rule::Lost, *at, format!("answered too late: {}", self.history(id, request)));
            }
            Some((_, Answer::Good)) if !self.was_made(id) => {
                self.broken(
                    Rule::Lost,
                    due,
                    format!("no worker made the answer: {}", self.history(id, request)),
                );
            }
            Some(_) => {}
            None => {
                let end = request.ended.unwrap_or(due);
                if !self.was_crashed_at(request.node, end) && !self.met_the_kill(request) {
                    self.broken(Rule::Lost, end, format!("no answer: {}", self.history(id, request)));
                }
            }
        }
    }

    fn was_made(&self, id: RequestId) -> bool {
        self.by_request.get(&id).into_iter().flatten().any(|a| a.answer == Some("OK"))
    }

    fn effects(&mut self, id: RequestId, request: &Request) {
        if !request.is_side_effecting {
            return;
        }
        self.chance(Rule::Twice);
        let may_have_run = |a: &&&Arrival| !matches!(a.answer, Some("BUSY" | "MISS"));
        let all = self.by_request.get(&id).map(Vec::as_slice).unwrap_or_default();
        let (ran, last) = (all.iter().filter(may_have_run).count(), all.last().map(|a| a.whole));
        if ran > 1 {
            self.broken(
                Rule::Twice,
                last.unwrap_or(request.written),
                format!("sent again: {}", self.history(id, request)),
            );
        }
        if let Some((at, Answer::Refused)) = request.answers.first() {
            if ran > 0 {
                self.broken(
                    Rule::Twice,
                    *at,
                    format!("refused though it may have run: {}", self.history(id, request)),
                );
            }
        }
    }

    fn going(&mut self, id: RequestId, request: &Request) {
        let Some(gone) = request.gone.or(request.answers.first().map(|(at, _)| *at)) else { return };
        self.chance(Rule::AfterGoing);
        let all = self.by_request.get(&id).cloned().unwrap_or_default();
        for a in all.into_iter().filter(|a| a.whole > gone + AFTER_GOING + SLACK) {
            self.broken(
                Rule::AfterGoing,
                a.whole,
                format!("after its client had gone or was answered: {}", self.history(id, request)),
            );
        }
    }

    fn budgets(&mut self, id: RequestId, request: &Request) {
        let all = self.by_request.get(&id).cloned().unwrap_or_default();
        for a in all {
            self.chance(Rule::Budget);
            let left = (request.written + request.timeout).saturating_duration_since(a.whole);
            if a.budget > left + BUDGET_SLACK + SLACK {
                let why = format!("{:?} are told and {left:?} left: {}", a.budget, self.history(id, request));
                self.broken(Rule::Budget, a.whole, why);
            }
        }
    }

    fn drains(&mut self) {
        let state = self.state;
        for a in &state.arrivals {
            let Some(told) = state.told.get(&(a.life, a.worker.clone())) else { continue };
            self.chance(Rule::Drain);
            // An attempt counts from its first byte, an order once it has come whole.
            let at = if a.request.is_some() { a.first_byte } else { a.whole };
            if at > *told + self.terms.drain_grace + SLACK {
                let after = at.saturating_duration_since(*told);
                let what = a.request.map_or("a load order".to_owned(), |id| format!("request {id:016x}"));
                let why = format!(
                    "{what} of n{}.{} to {} {after:?} after it was told",
                    a.life.0, a.life.1, a.worker
                );
                self.broken(Rule::Drain, at, why);
            }
        }
    }

    fn orders(&mut self) {
        let state = self.state;
        let mut by_life: BTreeMap<RunId, Vec<Instant>> = BTreeMap::new();
        for a in state.arrivals.iter().filter(|a| a.request.is_none()) {
            by_life.entry(a.life).or_default().push(a.whole);
        }
        for (life, mut orders) in by_life {
            orders.sort();
            for (no, at) in orders.iter().enumerate() {
                self.chance(Rule::Orders);
                let from = *at - self.terms.order_window.min(at.saturating_duration_since(self.begun));
                let within = orders[..=no].iter().filter(|o| **o > from).count() as f64;
                let asked = state.requests.values();
                let asked =
                    asked.filter(|r| r.node == life.0 && r.written > from && r.written <= *at).count() as f64;
                let most = (self.terms.order_floor + self.terms.order_share * asked) * 1.15 + 1.0;
                if within > most {
                    self.broken(
                        Rule::Orders,
                        *at,
                        format!("{within} orders of n{}, {most:.1} allowed", life.0),
                    );
                }
            }
        }
    }

    fn process_runs(&mut self) {
        let state = self.state;
        for ((node, no), life) in &state.process_runs {
            self.chance(Rule::Crash);
            let Some((at, code)) = life.ended else { continue };
            let asked = life.terminated.is_some() || life.killed.is_some();
            if !asked || code.is_some_and(|code| code != 0) {
                self.broken(Rule::Crash, at, format!("n{node}.{no} ended with {code:?}"));
            }
        }
    }
}
