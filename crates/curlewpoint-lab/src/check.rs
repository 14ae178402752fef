//! The five rules, judged from what passed on the sockets and from nothing else.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_config::Config;
use curlewpoint_engine::Answer;

use crate::record::Seen;

/// What the rules are judged by: the deployment's figures and those of its workers.
#[derive(Clone, Debug)]
pub struct Terms {
    pub effects: BTreeMap<String, Effect>,
    pub drain_grace: Time,
    pub fall: Time,
    pub fall_multiple: f64,
    pub load_window: Time,
    pub load_floor: f64,
    pub load_share: f64,
    /// Which cell and zone each worker is in.
    pub groups: BTreeMap<String, (String, String)>,
    /// What each worker does in a millisecond when warm, in milliseconds of work; the mean work of each method.
    pub capacity: BTreeMap<String, f64>,
    pub work: BTreeMap<String, f64>,
    pub cold_from: f64,
    pub cold_for: Time,
    /// What is sent and what is recorded lie so far apart at most: the machine's own delays.
    pub transit: Time,
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

impl Terms {
    /// What a configuration says of the rules; the workers' part is the caller's.
    pub fn of(config: &Config) -> Terms {
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
        Terms {
            effects: config.methods().iter().map(|m| (m.clone(), effect(m))).collect(),
            drain_grace: ms("drain-grace"),
            fall: ms("fall-window"),
            fall_multiple: config.number("workers", "fall-multiple"),
            load_window: ms("load-window"),
            load_floor: config.number("workers", "load-floor"),
            load_share: config.number("workers", "load-share"),
            groups: BTreeMap::new(),
            capacity: BTreeMap::new(),
            work: BTreeMap::new(),
            cold_from: config.number("workers", "start-capacity"),
            cold_for: ms("warm-within"),
            transit: Time(1_000),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    pub at: Time,
    pub rule: usize,
    pub what: String,
}

/// Where every RPC went, and which rules were broken.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub breaks: Vec<Break>,
    /// The nearest approach to each limit, where it has one: 1 is the limit.
    pub nearest: [f64; 5],
    /// What each rule was judged on.
    pub judged: [usize; 5],
}

pub const RULES: [&str; 5] = [
    "one final answer in time, and nothing after it",
    "no effect twice",
    "nothing new after a drain's grace",
    "no cold worker pushed over",
    "load orders within their ration",
];

impl Verdict {
    pub fn kept(&self) -> bool {
        self.breaks.is_empty()
    }

    fn broken(&mut self, at: Time, rule: usize, what: String) {
        self.breaks.push(Break { at, rule, what });
    }

    fn near(&mut self, rule: usize, share: f64) {
        self.nearest[rule - 1] = self.nearest[rule - 1].max(share);
        self.judged[rule - 1] += 1;
    }
}

/// Who was held by the script, from when to when.
type Held = (String, Time, Time);

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
struct Story {
    asked: Option<(Time, Time)>,
    scheduler: String,
    method: String,
    finals: Vec<(Time, Answer)>,
    refused: bool,
    left: Option<Time>,
    /// Each attempt that arrived: when, where, and whether it was turned away unseen.
    arrived: Vec<(Time, String, bool)>,
    ran: Vec<(Time, String)>,
}

/// Judges a day that is over.
pub fn judge(terms: &Terms, all: &[(Time, Seen)]) -> Verdict {
    let mut verdict = Verdict::default();
    let mut stories: BTreeMap<u64, Story> = BTreeMap::new();
    let (mut held, mut stalls) = (Vec::<Held>::new(), Vec::new());
    for (at, seen) in all {
        let at = *at;
        match seen {
            Seen::Asked { key, scheduler, method, left } => {
                let s = stories.entry(*key).or_default();
                (s.asked, s.scheduler, s.method) = (Some((at, *left)), scheduler.clone(), method.clone());
            }
            Seen::Final { key, answer } => stories.entry(*key).or_default().finals.push((at, *answer)),
            Seen::Refused { key, .. } => stories.entry(*key).or_default().refused = true,
            Seen::Left { key } => stories.entry(*key).or_default().left = Some(at),
            Seen::Arrived { key, worker, method, .. } => {
                let s = stories.entry(*key).or_default();
                s.method = method.clone();
                s.arrived.push((at, worker.clone(), false));
            }
            Seen::TurnedAway { key, worker } => {
                let s = stories.entry(*key).or_default();
                let out = s.arrived.iter_mut().rev().find(|a| a.1 == *worker && !a.2);
                out.into_iter().for_each(|a| a.2 = true);
            }
            Seen::Ran { key, worker } => stories.entry(*key).or_default().ran.push((at, worker.clone())),
            Seen::Held { who, until } => held.push((who.clone(), at, *until)),
            Seen::Stalled { scheduler, since } => stalls.push((scheduler.clone(), *since, at)),
            _ => {}
        }
    }
    for (key, story) in &stories {
        answers(terms, &mut verdict, *key, story, &held, &stalls);
        effects(terms, &mut verdict, *key, story);
    }
    drains(terms, &mut verdict, all, &held);
    cold(terms, &mut verdict, all);
    rations(terms, &mut verdict, all);
    verdict.breaks.sort_by_key(|b| (b.at, b.rule));
    verdict
}

/// Rule 1. An RPC of a scheduler that the script held still past the RPC's time is nobody's duty, as is one whose
/// client left. While the machine gave no turn no time is counted: an answer that lay in a client's socket was not late.
fn answers(terms: &Terms, verdict: &mut Verdict, key: u64, s: &Story, held: &[Held], stalls: &Stalls) {
    let Some((asked, left)) = s.asked else {
        if let Some((at, _)) = s.finals.first() {
            verdict.broken(*at, 1, format!("RPC {key}: answered, never asked"));
        }
        return;
    };
    let until = asked + left;
    let excused = held.iter().any(|(who, from, to)| *who == s.scheduler && *from <= until && *to >= asked);
    match (s.refused, s.finals.len()) {
        (true, 0) | (false, 1) => {}
        (false, 0) if excused || s.left.is_some_and(|l| l <= until) => {}
        (false, 0) => verdict.broken(
            until,
            1,
            format!("RPC {key} ({}): no final answer in its {:.0} ms", s.method, left.ms()),
        ),
        (true, n) => verdict.broken(asked, 1, format!("RPC {key}: refused, and answered {n} times")),
        (false, n) => verdict.broken(s.finals[1].0, 1, format!("RPC {key}: {n} final answers")),
    }
    let Some((at, answer)) = s.finals.first() else { return };
    let took = *at - asked - stalled(stalls, &s.scheduler, asked, *at);
    if !excused {
        verdict.near(1, took.ms() / left.ms().max(0.1));
    }
    if took > left && !excused {
        verdict.broken(*at, 1, format!("RPC {key}: {answer:?} came {:.1} ms late", (took - left).ms()));
    }
    let over = s.left.map_or(*at, |l| l.min(*at)) + terms.transit;
    let late = |sent: Time| sent > over + stalled(stalls, &s.scheduler, over, sent);
    for (when, worker, _) in s.arrived.iter().filter(|a| late(sent(terms, held, &a.1, a.0))) {
        let after = (*when - *at).ms();
        verdict.broken(
            *when,
            1,
            format!("RPC {key}: an attempt reached {worker} {after:.1} ms after the answer"),
        );
    }
}

/// When an attempt that arrived at `at` may have been sent: what reaches a worker that was kept from reading may have
/// lain in its socket since then.
fn sent(terms: &Terms, held: &[Held], worker: &str, at: Time) -> Time {
    let kept = held.iter().find(|(who, from, to)| who == worker && *from <= at && at <= *to + terms.transit);
    kept.map_or(at, |(_, from, _)| *from)
}

/// Rule 2, from the workers' side: what arrived and was not turned away may have run.
fn effects(terms: &Terms, verdict: &mut Verdict, key: u64, s: &Story) {
    let Some(effect) = terms.effects.get(&s.method) else { return };
    let may_have_run: Vec<_> = s.arrived.iter().filter(|a| !a.2).collect();
    let denied = s.finals.iter().find(|f| f.1 == Answer::Denied);
    match effect {
        Effect::Idempotent => {}
        Effect::SideEffecting => {
            verdict.near(2, may_have_run.len() as f64 / 2.0);
            if let Some((at, worker, _)) = may_have_run.get(1) {
                let n = may_have_run.len();
                verdict.broken(
                    *at,
                    2,
                    format!(
                        "RPC {key} ({}): {n} attempts that may have run, the second at {worker}",
                        s.method
                    ),
                );
            }
            if s.ran.len() > 1 {
                verdict.broken(s.ran[1].0, 2, format!("RPC {key} ({}): ran {} times", s.method, s.ran.len()));
            }
            if let (Some((at, _)), false) = (denied, may_have_run.is_empty()) {
                verdict.broken(*at, 2, format!("RPC {key} ({}): denied, though it may have run", s.method));
            }
        }
        Effect::Tokened { group, span } => {
            verdict.near(2, 0.0);
            let in_group = |a: &str, b: &str| match (group.as_str(), terms.groups.get(a), terms.groups.get(b))
            {
                ("all", _, _) => true,
                ("zone", Some(a), Some(b)) => a.1 == b.1,
                (_, Some(a), Some(b)) => a.0 == b.0,
                _ => false,
            };
            let Some((first, home, _)) = may_have_run.first() else { return };
            for (at, worker, _) in &may_have_run[1..] {
                if !in_group(home, worker) {
                    verdict.broken(
                        *at,
                        2,
                        format!("RPC {key} ({}): repeated at {worker}, outside its group", s.method),
                    );
                } else if *at > *first + *span + terms.transit {
                    verdict.broken(
                        *at,
                        2,
                        format!("RPC {key} ({}): repeated after its token was forgotten", s.method),
                    );
                }
            }
            if let (Some((at, _)), true) = (denied, group != "all") {
                verdict.broken(*at, 2, format!("RPC {key} ({}): denied, though it may have run", s.method));
            }
        }
    }
}

/// Rule 3.
fn drains(terms: &Terms, verdict: &mut Verdict, all: &[(Time, Seen)], held: &[Held]) {
    let mut lost: BTreeMap<(&str, &str), Time> = BTreeMap::new();
    for (at, seen) in all {
        match seen {
            Seen::Told { scheduler, worker, standing: Lifecycle::Ready } => {
                lost.remove(&(scheduler.as_str(), worker.as_str()));
            }
            Seen::Told { scheduler, worker, .. } => {
                lost.entry((scheduler, worker)).or_insert(*at);
            }
            Seen::Arrived { scheduler, worker, .. } | Seen::Ordered { scheduler, worker } => {
                let Some(told) = lost.get(&(scheduler.as_str(), worker.as_str())) else { continue };
                let after = sent(terms, held, worker, *at) - *told;
                verdict.near(3, (after - terms.transit).ms() / terms.drain_grace.ms().max(0.1));
                if after > terms.drain_grace + terms.transit {
                    let what = format!(
                        "{scheduler} sent to {worker} {:.0} ms after it was told that it drains or is gone",
                        after.ms()
                    );
                    verdict.broken(*at, 3, what);
                }
            }
            _ => {}
        }
    }
}

/// What arrived of late, with its mean work.
type Window = VecDeque<(Time, f64)>;

/// Rule 4: what all schedulers together send in any window, against what the worker can do at its end.
fn cold(terms: &Terms, verdict: &mut Verdict, all: &[(Time, Seen)]) {
    let mut cold: BTreeMap<&str, (Time, Window)> = BTreeMap::new();
    for (at, seen) in all {
        match seen {
            Seen::Started { worker } => {
                cold.insert(worker, (*at, VecDeque::new()));
            }
            Seen::Fell { worker, pushed, limit } => {
                verdict.broken(
                    *at,
                    4,
                    format!("{worker} fell over: {pushed:.0} ms of work in a window, {limit:.0} at most"),
                );
            }
            Seen::Arrived { worker, method, .. } => {
                let Some((since, window)) = cold.get_mut(worker.as_str()) else { continue };
                let warmth = terms.cold_from
                    + (1.0 - terms.cold_from) * (*at - *since).0 as f64 / terms.cold_for.0.max(1) as f64;
                if warmth >= 1.0 {
                    cold.remove(worker.as_str());
                    continue;
                }
                window.push_back((*at, terms.work.get(method).copied().unwrap_or(0.0)));
                while window.front().is_some_and(|w| w.0 + terms.fall <= *at) {
                    window.pop_front();
                }
                let pushed: f64 = window.iter().map(|w| w.1).sum();
                let can = terms.capacity.get(worker).copied().unwrap_or(f64::MAX) * warmth * terms.fall.ms();
                let share = pushed / (terms.fall_multiple * can);
                verdict.near(4, share);
                if share > 1.0 {
                    verdict.broken(
                        *at,
                        4,
                        format!(
                            "{worker}: {pushed:.0} ms of work in a window, {:.0} at most",
                            terms.fall_multiple * can
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Rule 5.
fn rations(terms: &Terms, verdict: &mut Verdict, all: &[(Time, Seen)]) {
    if terms.load_window == Time(0) {
        return;
    }
    let refused: BTreeSet<u64> = all
        .iter()
        .filter_map(|(_, s)| if let Seen::Refused { key, .. } = s { Some(*key) } else { None })
        .collect();
    let mut taken: BTreeMap<&str, VecDeque<Time>> = BTreeMap::new();
    let mut orders: BTreeMap<&str, VecDeque<Time>> = BTreeMap::new();
    for (at, seen) in all {
        match seen {
            Seen::Asked { key, scheduler, .. } if !refused.contains(key) => {
                taken.entry(scheduler).or_default().push_back(*at)
            }
            Seen::Ordered { scheduler, .. } => {
                let (taken, orders) =
                    (taken.entry(scheduler).or_default(), orders.entry(scheduler).or_default());
                orders.push_back(*at);
                while orders.front().is_some_and(|t| *t + terms.load_window <= *at + terms.transit) {
                    orders.pop_front();
                }
                while taken.front().is_some_and(|t| *t + terms.load_window + terms.transit < *at) {
                    taken.pop_front();
                }
                let most = terms.load_floor + terms.load_share * taken.len() as f64;
                verdict.near(5, orders.len() as f64 / most.max(1e-9));
                if orders.len() as f64 > most {
                    let what =
                        format!("{scheduler}: {} load orders in a window, {most:.1} at most", orders.len());
                    verdict.broken(*at, 5, what);
                }
            }
            _ => {}
        }
    }
}
