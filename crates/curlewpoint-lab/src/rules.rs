//! The five rules, judged from what passed on the sockets and from nothing else.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_config::Config;
use curlewpoint_engine::Answer;

use crate::transcript::TranscriptEvent;

/// What the rules are judged by: the deployment's figures and those of its workers.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    pub effects: BTreeMap<String, Effect>,
    pub drain_grace: Time,
    pub fall_window: Time,
    pub fall_multiple: f64,
    pub load_window: Time,
    pub load_floor: f64,
    pub load_share: f64,
    /// Which cell and zone each worker is in.
    pub groups: BTreeMap<String, (String, String)>,
    /// What each worker does in a millisecond when warm, in milliseconds of work; the mean work of each method.
    pub capacity: BTreeMap<String, f64>,
    pub work: BTreeMap<String, f64>,
    pub start_capacity: f64,
    pub warm_within: Time,
    /// What is sent and what is recorded lie so far apart at most: the machine's own delays.
    pub max_transit: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Idempotent,
    /// Workers of one group know each other's tokens for so long.
    Tokened {
        group: String,
        span: Time,
    },
    SideEffecting,
}

impl RuleParameters {
    /// What a configuration says of the rules; the workers' part is the caller's.
    pub fn from_config(config: &Config) -> RuleParameters {
        let ms = |name| Time::from_ms(config.number("workers", name));
        let effect = |m: &String| match config.method_value(m, "effect") {
            "idempotent" => Effect::Idempotent,
            "tokened" => {
                let span =
                    curlewpoint_config::milliseconds(config.method_value(m, "memory-span")).unwrap_or(0.0);
                Effect::Tokened {
                    group: config.method_value(m, "group").to_owned(),
                    span: Time::from_ms(span),
                }
            }
            _ => Effect::SideEffecting,
        };
        RuleParameters {
            effects: config.methods().iter().map(|m| (m.clone(), effect(m))).collect(),
            drain_grace: ms("drain-grace"),
            fall_window: ms("fall-window"),
            fall_multiple: config.number("workers", "fall-multiple"),
            load_window: ms("load-window"),
            load_floor: config.number("workers", "load-floor"),
            load_share: config.number("workers", "load-share"),
            groups: BTreeMap::new(),
            capacity: BTreeMap::new(),
            work: BTreeMap::new(),
            start_capacity: config.number("workers", "start-capacity"),
            warm_within: ms("warm-within"),
            max_transit: Time(1_000),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub at: Time,
    pub rule: usize,
    pub description: String,
}

/// Where every RPC went, and which rules were broken.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    /// The nearest approach to each limit, where it has one: 1 is the limit.
    pub closest: [f64; 5],
    /// What each rule was judged on.
    pub checks: [usize; 5],
}

pub const RULES: [&str; 5] = [
    "one final answer in time, and nothing after it",
    "no effect twice",
    "nothing new after a drain's grace",
    "no cold worker pushed over",
    "load orders within their ration",
];

impl Verdict {
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }

    fn add_violation(&mut self, at: Time, rule: usize, description: String) {
        self.violations.push(Violation { at, rule, description });
    }

    fn record_check(&mut self, rule: usize, share: f64) {
        self.closest[rule - 1] = self.closest[rule - 1].max(share);
        self.checks[rule - 1] += 1;
    }
}

/// Who was held by the script, from when to when.
type Suspension = (String, Time, Time);

/// When the machine gave no turn, and to which scheduler; none: to clients and stand-ins.
type Stalls = [(Option<String>, Time, Time)];

/// How long between these moments the machine gave no turn to a scheduler or to its clients. What both missed counts once.
fn stalled(stalls: &Stalls, scheduler: &str, from: Time, to: Time) -> Time {
    let concerns = |who: &Option<String>| who.as_deref().is_none_or(|who| who == scheduler);
    let mut parts: Vec<(Time, Time)> = stalls
        .iter()
        .filter(|(who, ..)| concerns(who))
        .map(|(_, since, until)| ((*since).max(from), (*until).min(to)))
        .filter(|(since, until)| since < until)
        .collect();
    parts.sort();
    let (mut sum, mut upto) = (Time(0), from);
    for (since, until) in parts {
        sum = sum + (until - since.max(upto).min(until));
        upto = upto.max(until);
    }
    sum
}

/// What is known of one RPC.
#[derive(Default)]
struct RpcTrace {
    sent: Option<(Time, Time)>,
    scheduler: String,
    method: String,
    finals: Vec<(Time, Answer)>,
    refused: bool,
    client_left: Option<Time>,
    /// Each attempt that arrived: when, where, and whether it was turned away unseen.
    attempts: Vec<(Time, String, bool)>,
    executions: Vec<(Time, String)>,
}

/// Judges a day that is over.
pub fn check_rules(parameters: &RuleParameters, all: &[(Time, TranscriptEvent)]) -> Verdict {
    let mut verdict = Verdict::default();
    let mut traces: BTreeMap<u64, RpcTrace> = BTreeMap::new();
    let (mut suspensions, mut stalls) = (Vec::<Suspension>::new(), Vec::new());
    for (at, event) in all {
        let at = *at;
        match event {
            TranscriptEvent::RpcSent { key, scheduler, method, time_left } => {
                let s = traces.entry(*key).or_default();
                (s.sent, s.scheduler, s.method) = (Some((at, *time_left)), scheduler.clone(), method.clone());
            }
            TranscriptEvent::FinalAnswer { key, answer } => {
                traces.entry(*key).or_default().finals.push((at, *answer))
            }
            TranscriptEvent::Refused { key, .. } => traces.entry(*key).or_default().refused = true,
            TranscriptEvent::ClientLeft { key } => traces.entry(*key).or_default().client_left = Some(at),
            TranscriptEvent::AttemptArrived { key, worker, method, .. } => {
                let s = traces.entry(*key).or_default();
                s.method = method.clone();
                s.attempts.push((at, worker.clone(), false));
            }
            TranscriptEvent::AttemptRejected { key, worker } => {
                let s = traces.entry(*key).or_default();
                let rejected = s.attempts.iter_mut().rev().find(|a| a.1 == *worker && !a.2);
                rejected.into_iter().for_each(|a| a.2 = true);
            }
            TranscriptEvent::Executed { key, worker } => {
                traces.entry(*key).or_default().executions.push((at, worker.clone()))
            }
            TranscriptEvent::Suspended { component, until } => {
                suspensions.push((component.clone(), at, *until))
            }
            TranscriptEvent::Stalled { scheduler, since } => stalls.push((scheduler.clone(), *since, at)),
            _ => {}
        }
    }
    for (key, trace) in &traces {
        check_answers(parameters, &mut verdict, *key, trace, &suspensions, &stalls);
        check_effects(parameters, &mut verdict, *key, trace);
    }
    check_drains(parameters, &mut verdict, all, &suspensions);
    check_cold_workers(parameters, &mut verdict, all);
    check_load_orders(parameters, &mut verdict, all);
    verdict.violations.sort_by_key(|b| (b.at, b.rule));
    verdict
}

/// Rule 1. An RPC of a scheduler that the script held still past the RPC's time is nobody's duty, as is one whose
/// client left. While the machine gave no turn no time is counted: an answer that lay in a client's socket was not late.
fn check_answers(
    parameters: &RuleParameters, verdict: &mut Verdict, key: u64, s: &RpcTrace, suspensions: &[Suspension],
    stalls: &Stalls,
) {
    let Some((sent_at, time_left)) = s.sent else {
        if let Some((at, _)) = s.finals.first() {
            verdict.add_violation(*at, 1, format!("RPC {key}: answered, never asked"));
        }
        return;
    };
    let deadline = sent_at + time_left;
    let excused =
        suspensions.iter().any(|(who, from, to)| *who == s.scheduler && *from <= deadline && *to >= sent_at);
    match (s.refused, s.finals.len()) {
        (true, 0) | (false, 1) => {}
        (false, 0) if excused || s.client_left.is_some_and(|l| l <= deadline) => {}
        (false, 0) => verdict.add_violation(
            deadline,
            1,
            format!("RPC {key} ({}): no final answer in its {:.0} ms", s.method, time_left.ms()),
        ),
        (true, n) => verdict.add_violation(sent_at, 1, format!("RPC {key}: refused, and answered {n} times")),
        (false, n) => verdict.add_violation(s.finals[1].0, 1, format!("RPC {key}: {n} final answers")),
    }
    let Some((at, answer)) = s.finals.first() else { return };
    let took = *at - sent_at - stalled(stalls, &s.scheduler, sent_at, *at);
    if !excused {
        verdict.record_check(1, took.ms() / time_left.ms().max(0.1));
    }
    if took > time_left && !excused {
        verdict.add_violation(
            *at,
            1,
            format!("RPC {key}: {answer:?} came {:.1} ms late", (took - time_left).ms()),
        );
    }
    let over = s.client_left.map_or(*at, |l| l.min(*at)) + parameters.max_transit;
    let late = |sent: Time| sent > over + stalled(stalls, &s.scheduler, over, sent);
    for (when, worker, _) in
        s.attempts.iter().filter(|a| late(earliest_send(parameters, suspensions, &a.1, a.0)))
    {
        let after = (*when - *at).ms();
        verdict.add_violation(
            *when,
            1,
            format!("RPC {key}: an attempt reached {worker} {after:.1} ms after the answer"),
        );
    }
}

/// When an attempt that arrived at `at` may have been sent: what reaches a worker that was kept from reading may have
/// lain in its socket since then.
fn earliest_send(parameters: &RuleParameters, suspensions: &[Suspension], worker: &str, at: Time) -> Time {
    let kept = suspensions
        .iter()
        .find(|(who, from, to)| who == worker && *from <= at && at <= *to + parameters.max_transit);
    kept.map_or(at, |(_, from, _)| *from)
}

/// Rule 2, from the workers' side: what arrived and was not turned away may have run.
fn check_effects(parameters: &RuleParameters, verdict: &mut Verdict, key: u64, s: &RpcTrace) {
    let Some(effect) = parameters.effects.get(&s.method) else { return };
    let may_have_run: Vec<_> = s.attempts.iter().filter(|a| !a.2).collect();
    let denied = s.finals.iter().find(|f| f.1 == Answer::Denied);
    match effect {
        Effect::Idempotent => {}
        Effect::SideEffecting => {
            verdict.record_check(2, may_have_run.len() as f64 / 2.0);
            if let Some((at, worker, _)) = may_have_run.get(1) {
                let n = may_have_run.len();
                verdict.add_violation(
                    *at,
                    2,
                    format!(
                        "RPC {key} ({}): {n} attempts that may have run, the second at {worker}",
                        s.method
                    ),
                );
            }
            if s.executions.len() > 1 {
                verdict.add_violation(
                    s.executions[1].0,
                    2,
                    format!("RPC {key} ({}): ran {} times", s.method, s.executions.len()),
                );
            }
            if let (Some((at, _)), false) = (denied, may_have_run.is_empty()) {
                verdict.add_violation(
                    *at,
                    2,
                    format!("RPC {key} ({}): denied, though it may have run", s.method),
                );
            }
        }
        Effect::Tokened { group, span } => {
            verdict.record_check(2, 0.0);
            let in_group =
                |a: &str, b: &str| match (group.as_str(), parameters.groups.get(a), parameters.groups.get(b))
                {
                    ("all", _, _) => true,
                    ("zone", Some(a), Some(b)) => a.1 == b.1,
                    (_, Some(a), Some(b)) => a.0 == b.0,
                    _ => false,
                };
            let Some((first, first_worker, _)) = may_have_run.first() else { return };
            for (at, worker, _) in &may_have_run[1..] {
                if !in_group(first_worker, worker) {
                    verdict.add_violation(
                        *at,
                        2,
                        format!("RPC {key} ({}): repeated at {worker}, outside its group", s.method),
                    );
                } else if *at > *first + *span + parameters.max_transit {
                    verdict.add_violation(
                        *at,
                        2,
                        format!("RPC {key} ({}): repeated after its token was forgotten", s.method),
                    );
                }
            }
            if let (Some((at, _)), true) = (denied, group != "all") {
                verdict.add_violation(
                    *at,
                    2,
                    format!("RPC {key} ({}): denied, though it may have run", s.method),
                );
            }
        }
    }
}

/// Rule 3.
fn check_drains(
    parameters: &RuleParameters, verdict: &mut Verdict, all: &[(Time, TranscriptEvent)],
    suspensions: &[Suspension],
) {
    let mut unavailable: BTreeMap<(&str, &str), Time> = BTreeMap::new();
    for (at, event) in all {
        match event {
            TranscriptEvent::ListEntrySent { scheduler, worker, lifecycle: Lifecycle::Ready } => {
                unavailable.remove(&(scheduler.as_str(), worker.as_str()));
            }
            TranscriptEvent::ListEntrySent { scheduler, worker, .. } => {
                unavailable.entry((scheduler, worker)).or_insert(*at);
            }
            TranscriptEvent::AttemptArrived { scheduler, worker, .. }
            | TranscriptEvent::LoadOrdered { scheduler, worker } => {
                let Some(told_at) = unavailable.get(&(scheduler.as_str(), worker.as_str())) else { continue };
                let after = earliest_send(parameters, suspensions, worker, *at) - *told_at;
                verdict.record_check(
                    3,
                    (after - parameters.max_transit).ms() / parameters.drain_grace.ms().max(0.1),
                );
                if after > parameters.drain_grace + parameters.max_transit {
                    let what = format!(
                        "{scheduler} sent to {worker} {:.0} ms after it was told that it drains or is gone",
                        after.ms()
                    );
                    verdict.add_violation(*at, 3, what);
                }
            }
            _ => {}
        }
    }
}

/// What arrived of late, with its mean work.
type Window = VecDeque<(Time, f64)>;

/// Rule 4: what all schedulers together send in any window, against what the worker can do at its end.
fn check_cold_workers(parameters: &RuleParameters, verdict: &mut Verdict, all: &[(Time, TranscriptEvent)]) {
    let mut cold: BTreeMap<&str, (Time, Window)> = BTreeMap::new();
    for (at, event) in all {
        match event {
            TranscriptEvent::WorkerStarted { worker } => {
                cold.insert(worker, (*at, VecDeque::new()));
            }
            TranscriptEvent::WorkerOverloaded { worker, offered, limit } => {
                verdict.add_violation(
                    *at,
                    4,
                    format!("{worker} fell over: {offered:.0} ms of work in a window, {limit:.0} at most"),
                );
            }
            TranscriptEvent::AttemptArrived { worker, method, .. } => {
                let Some((since, window)) = cold.get_mut(worker.as_str()) else { continue };
                let capacity_share = parameters.start_capacity
                    + (1.0 - parameters.start_capacity) * (*at - *since).0 as f64
                        / parameters.warm_within.0.max(1) as f64;
                if capacity_share >= 1.0 {
                    cold.remove(worker.as_str());
                    continue;
                }
                window.push_back((*at, parameters.work.get(method).copied().unwrap_or(0.0)));
                while window.front().is_some_and(|w| w.0 + parameters.fall_window <= *at) {
                    window.pop_front();
                }
                let offered: f64 = window.iter().map(|w| w.1).sum();
                let capacity = parameters.capacity.get(worker).copied().unwrap_or(f64::MAX)
                    * capacity_share
                    * parameters.fall_window.ms();
                let share = offered / (parameters.fall_multiple * capacity);
                verdict.record_check(4, share);
                if share > 1.0 {
                    verdict.add_violation(
                        *at,
                        4,
                        format!(
                            "{worker}: {offered:.0} ms of work in a window, {:.0} at most",
                            parameters.fall_multiple * capacity
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Rule 5.
fn check_load_orders(parameters: &RuleParameters, verdict: &mut Verdict, all: &[(Time, TranscriptEvent)]) {
    if parameters.load_window == Time(0) {
        return;
    }
    let refused: BTreeSet<u64> = all
        .iter()
        .filter_map(|(_, s)| if let TranscriptEvent::Refused { key, .. } = s { Some(*key) } else { None })
        .collect();
    let mut taken: BTreeMap<&str, VecDeque<Time>> = BTreeMap::new();
    let mut orders: BTreeMap<&str, VecDeque<Time>> = BTreeMap::new();
    for (at, event) in all {
        match event {
            TranscriptEvent::RpcSent { key, scheduler, .. } if !refused.contains(key) => {
                taken.entry(scheduler).or_default().push_back(*at)
            }
            TranscriptEvent::LoadOrdered { scheduler, .. } => {
                let (taken, orders) =
                    (taken.entry(scheduler).or_default(), orders.entry(scheduler).or_default());
                orders.push_back(*at);
                while orders
                    .front()
                    .is_some_and(|t| *t + parameters.load_window <= *at + parameters.max_transit)
                {
                    orders.pop_front();
                }
                while taken
                    .front()
                    .is_some_and(|t| *t + parameters.load_window + parameters.max_transit < *at)
                {
                    taken.pop_front();
                }
                let max_orders = parameters.load_floor + parameters.load_share * taken.len() as f64;
                verdict.record_check(5, orders.len() as f64 / max_orders.max(1e-9));
                if orders.len() as f64 > max_orders {
                    let what = format!(
                        "{scheduler}: {} load orders in a window, {max_orders:.1} at most",
                        orders.len()
                    );
                    verdict.add_violation(*at, 5, what);
                }
            }
            _ => {}
        }
    }
}
