//! All decisions of one scheduler. Whoever runs it calls `Scheduler::start` with a `Host` (src/host.rs), the
//! seed and the settings, and then one method for each thing that happens, with the clock: `rpc`,
//! `call_out_ended`, `load_ended`, `probe_ended`, `worker_listed` ... The module acts by calling the host.
//!
//! The design: filter workers that drain or are full, score the rest by graded affinity, depth and
//! utilisation, take the best, and coalesce new loads (`pick`). Beside it stand five mechanisms:
//! 1. health: a sequential test on outcomes, overdue call-outs included; a suspect gets a trickle (`judge`)
//! 2. slow start: a budget of call-outs for a cold worker (`budget_left`)
//! 3. the second line: further call-outs, after first ones, within a retry budget (`serve`, `sweep`)
//! 4. copies: hot functions and those of a lost worker are ordered elsewhere, rationed (`order`)
//! 5. admission: what cannot be in time is denied at once, where harmless (`give_up`)

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;
use serde_json::{Map, Value};

use crate::host::Host;
use crate::types::*;

const AFFINITY_WEIGHT: f64 = 0.5;
const QUEUE_WEIGHT: f64 = 0.15;
const UTIL_WEIGHT: f64 = 0.15;
/// Draws a new load to the first workers in a function's rendezvous order, the same at every scheduler.
const HOME_WEIGHT: f64 = 0.5;
const WARM: f64 = 0.8;
/// The slot guess, in copies' worth of lanes: what takes loads of seconds runs many at a time.
const CEILING_LANES: f64 = 4.0;
/// How much a ceiling climbs at an answer in good time.
const CLIMB: f64 = 1.0;
const RATE_OVER: Time = Time(30_000);
const TARGET: f64 = 0.5;
const FADE: f64 = 0.999;
const CLOSE: f64 = 0.6;
const FULL_HOLD: Time = Time(500);
const CROWD: f64 = 1.25;
const SLACK_LANES: f64 = 0.5;
/// Utilisation where no report holds one: the same for all, so that it decides nothing.
const NEUTRAL_UTIL: f64 = 0.5;
const RECENT: Time = Time(20_000);
const TICK: Time = Time(200);
const PROBE_EVERY: Time = Time(10_000);
const SUSPECT_AT: f64 = 4.0;
const CLEARED_AT: f64 = 1.0;
const EVIDENCE_CAP: f64 = 8.0;
const TRICKLE_EVERY: Time = Time(5_000);
const EJECT_SHARE: f64 = 0.5;
const RETRY_SHARE: f64 = 0.25;
const RETRY_CAP: f64 = 20.0;
const TICK_WAKE: WakeId = WakeId(u64::MAX >> 1);

/// What I believe of a function on a worker, from my sends and answers only.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Copies {
    #[default]
    Unknown,
    /// I placed it there; only an image may be left.
    Disk,
    Loading,
    /// Warm, and last known so at this time.
    Warm(Time),
}

#[derive(Default)]
struct Belief {
    copies: Copies,
    mine: u64,
}

struct Worker {
    standing: Standing,
    size: f64,
    since: Time,
    /// Since when it may be cold: its listed start, or a death that I saw myself.
    cold_since: Option<Time>,
    zone: ZoneId,
    cell: CellId,
    mine: u64,
    ceiling: f64,
    /// A 'full' reply holds until then, longer with each in a row.
    full_until: Time,
    fulls: u32,
    /// No memory for another copy until then.
    no_load_until: Time,
    util: Option<f64>,
    beliefs: BTreeMap<FunctionId, Belief>,
    evidence: f64,
    suspect: bool,
    sends: VecDeque<Time>,
    last_sent: Time,
    probed: Time,
}

impl Worker {
    fn copies(&self, function: FunctionId) -> Copies {
        self.beliefs.get(&function).map_or(Copies::Unknown, |b| b.copies)
    }

    /// A death, a restart or a broken connection: nothing that was believed of its copies holds.
    fn forget_copies(&mut self) {
        self.beliefs.values_mut().for_each(|b| b.copies = Copies::Unknown);
    }
}

struct CallOut {
    worker: WorkerId,
    sent: Time,
    open: bool,
    never_ran: bool,
    /// Sent where a copy was believed warm.
    warm: bool,
    /// How often it was counted as overdue.
    overdue: u32,
}

#[derive(Clone, Copy, PartialEq)]
enum Line {
    None,
    First,
    Second,
}

struct Rpc {
    method: MethodId,
    function: FunctionId,
    tenant: TenantId,
    lanes: f64,
    taken: Time,
    deadline: Time,
    outs: Vec<CallOut>,
    line: Line,
    /// The final answer has been given; kept while call-outs are still open.
    done: bool,
    streaming: bool,
}

impl Rpc {
    fn open(&self) -> usize {
        self.outs.iter().filter(|o| o.open).count()
    }
}

/// A running mean that starts as a plain one, and the mean distance from it.
#[derive(Default)]
struct Usual {
    n: f64,
    mean: f64,
    dev: f64,
}

impl Usual {
    fn add(&mut self, value: f64) {
        self.n = (self.n + 1.0).min(30.0);
        self.dev += ((value - self.mean).abs() - self.dev) / self.n;
        self.mean += (value - self.mean) / self.n;
    }
}

/// How long answers take, warm and with a load.
#[derive(Default)]
struct Pace {
    warm: Usual,
    load: Usual,
}

pub struct Scheduler<H: Host> {
    host: H,
    rng: Rand64,
    settings: Map<String, Value>,
    workers: BTreeMap<WorkerId, Worker>,
    rpcs: BTreeMap<RpcId, Rpc>,
    functions: BTreeMap<FunctionId, Pace>,
    methods: BTreeMap<MethodId, Pace>,
    first_line: VecDeque<RpcId>,
    second_line: VecDeque<RpcId>,
    taken: VecDeque<Time>,
    answered: VecDeque<Time>,
    orders: VecDeque<Time>,
    retries: f64,
    aims: Usual,
    /// The best rate of answers of late, per millisecond; it fades.
    best_rate: f64,
    lanes: Usual,
    panic: bool,
}

/// A function's rendezvous order over workers: every scheduler comes to the same one.
fn home_rank(function: FunctionId, worker: WorkerId) -> u64 {
    let mut x =
        function.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ worker.0.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}

impl<H: Host> Scheduler<H> {
    pub fn start(now: Time, host: H, seed: u128, settings: Map<String, Value>) -> Self {
        let mut new = Scheduler {
            host,
            rng: Rand64::new(seed),
            settings,
            workers: BTreeMap::new(),
            rpcs: BTreeMap::new(),
            functions: BTreeMap::new(),
            methods: BTreeMap::new(),
            first_line: VecDeque::new(),
            second_line: VecDeque::new(),
            taken: VecDeque::new(),
            answered: VecDeque::new(),
            orders: VecDeque::new(),
            retries: RETRY_CAP,
            aims: Usual::default(),
            best_rate: 0.0,
            lanes: Usual::default(),
            panic: false,
        };
        if new.settings.get("discovery").and_then(Value::as_str) == Some("subscribe") {
            new.host.watch_list();
        }
        let _ = now;
        new.host.wake(TICK, TICK_WAKE);
        new
    }

    // What happens.

    pub fn worker_listed(
        &mut self, now: Time, id: WorkerId, standing: Standing, since: Time, zone: ZoneId, cell: CellId,
        size: f64,
    ) {
        let warm_within = self.span("contract", "warmWithin");
        let w = self.workers.entry(id).or_insert_with(|| Worker {
            standing,
            size,
            since,
            cold_since: (since > Time(0)).then_some(since),
            zone,
            cell,
            mine: 0,
            ceiling: f64::MAX,
            full_until: Time(0),
            fulls: 0,
            no_load_until: Time(0),
            util: None,
            beliefs: BTreeMap::new(),
            evidence: 0.0,
            suspect: false,
            sends: VecDeque::new(),
            last_sent: Time(0),
            probed: Time(0),
        });
        let lost = standing != Standing::Ready && w.standing == Standing::Ready;
        (w.standing, w.zone, w.cell, w.size) = (standing, zone, cell, size);
        if since != w.since && standing == Standing::Ready {
            // A restart under the same id: a new, cold process, of which nothing old holds.
            (w.since, w.cold_since, w.evidence, w.suspect) = (since, Some(since), 0.0, false);
            (w.ceiling, w.full_until, w.util) = (f64::MAX, now, None);
            w.forget_copies();
        }
        if w.cold_since.is_some_and(|c| c + warm_within <= now) {
            w.cold_since = None;
        }
        if lost {
            self.hand_on(now, id);
        }
    }

    /// A list has been read; `named` holds all its workers if it was a complete one.
    pub fn list_read(&mut self, now: Time, named: Option<&BTreeSet<WorkerId>>) {
        let missing = |id: &&WorkerId| named.is_some_and(|n| !n.contains(id));
        let gone: Vec<WorkerId> = self.workers.keys().filter(missing).copied().collect();
        for id in gone {
            let w = self.workers.get_mut(&id).expect("listed");
            let was = std::mem::replace(&mut w.standing, Standing::Gone);
            if was == Standing::Ready {
                self.hand_on(now, id);
            }
        }
        self.serve(now);
    }

    pub fn list_failed(&mut self, _now: Time) {
        self.host.watch_list();
    }

    #[allow(clippy::too_many_arguments)]
    pub fn rpc(
        &mut self, now: Time, id: RpcId, method: MethodId, function: FunctionId, tenant: TenantId,
        left: Time, lanes: f64,
    ) {
        self.taken.push_back(now);
        self.lanes.add(lanes);
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_CAP);
        self.functions.entry(function).or_default();
        let (deadline, outs) = (now + left, Vec::new());
        let rpc = Rpc {
            method,
            function,
            tenant,
            lanes,
            taken: now,
            deadline,
            outs,
            line: Line::First,
            done: false,
            streaming: false,
        };
        self.rpcs.insert(id, rpc);
        self.host.wake(left, WakeId(id.0));
        self.aims.add(self.aim(method));
        let wait = match self.admit(now, id) {
            None => return self.give_up(now, id),
            Some(wait) => wait,
        };
        match self.pick(now, id) {
            Some(to) if !wait && self.loads_rationed(to, function, tenant) => self.give_up(now, id),
            Some(to) if !wait => self.send(now, id, to),
            _ => self.first_line.push_back(id),
        }
    }

    pub fn rpc_gone(&mut self, now: Time, id: RpcId) {
        self.close(now, id);
    }

    pub fn answer_started(&mut self, _now: Time, id: RpcId, _no: CallOutNo) {
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            (rpc.streaming, rpc.line) = (true, Line::None);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn call_out_ended(
        &mut self, now: Time, id: RpcId, no: CallOutNo, outcome: Outcome, elapsed: Time, done: bool,
        copy: Copy, _crowd: u64, report: &[f64],
    ) {
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let (function, method) = (rpc.function, rpc.method);
        let Some(out) = rpc.outs.get_mut(no.0).filter(|o| o.open) else { return };
        (out.open, out.never_ran) = (false, outcome.never_ran());
        let (worker, sent, was_warm, overdue) = (out.worker, out.sent, out.warm, out.overdue);
        self.report_read(worker, report);
        let limit = self.limit(method, function, was_warm);
        let most = self.slots();
        let w = self.workers.get_mut(&worker).expect("called");
        w.mine = w.mine.saturating_sub(1);
        let belief = w.beliefs.entry(function).or_default();
        belief.mine = belief.mine.saturating_sub(1);
        let alive = w.since <= sent;
        match outcome {
            Outcome::Ok if alive => {
                self.answered.push_back(now);
                let falsified = was_warm && copy == Copy::BeganLoad;
                belief.copies = Copies::Warm(now);

                w.ceiling = (w.ceiling + CLIMB).min(most);
                w.fulls = 0;
                let (pace, all) =
                    (self.functions.entry(function).or_default(), self.methods.entry(method).or_default());
                match copy {
                    Copy::BeganLoad | Copy::WaitedForLoad => {
                        pace.load.add(elapsed.ms());
                        all.load.add(elapsed.ms());
                    }
                    _ => {
                        pace.warm.add(elapsed.ms());
                        all.warm.add(elapsed.ms());
                    }
                }
                if falsified {
                    self.void_elsewhere(function, worker, sent);
                }
                let slow = elapsed > limit && overdue == 0;
                self.judge(
                    now,
                    worker,
                    if slow {
                        1.0
                    } else if overdue > 0 {
                        0.0
                    } else {
                        -0.5
                    },
                );
            }
            Outcome::Ok => {}
            Outcome::Full => {
                // Turned away where a copy was believed warm the queue is full; elsewhere memory may be.
                w.no_load_until = now + Time(4 * FULL_HOLD.0 << w.fulls);
                w.fulls = (w.fulls + 1).min(4);
                if was_warm {
                    w.ceiling = w.mine.max(1) as f64;
                    w.full_until = now + Time(FULL_HOLD.0 << w.fulls);
                }
                if belief.copies == Copies::Loading && belief.mine == 0 {
                    belief.copies = Copies::Unknown;
                }
            }
            Outcome::Reset | Outcome::ConnectFailed => {
                // Guards against a process that died before the list tells; should also hold for a cut link.
                // May hurt when a live worker is at its connection limit: its copies are believed gone.
                w.forget_copies();
                w.cold_since = w.cold_since.max(Some(now));
                self.judge(now, worker, 4.0);
                self.hand_on(now, worker);
            }
            Outcome::Miss if copy != Copy::LoadFailed => {
                belief.copies = Copies::Unknown;
                self.order(now, worker, function);
            }
            Outcome::Miss => belief.copies = Copies::Unknown,
            Outcome::Error if copy == Copy::LoadFailed => belief.copies = Copies::Unknown,
            Outcome::Error => self.judge(now, worker, 2.5),
            Outcome::TimeOut | Outcome::Cancelled => {
                if belief.copies == Copies::Loading && belief.mine == 0 {
                    belief.copies = Copies::Unknown;
                }
            }
            Outcome::NotSent => {}
        }
        let rpc = self.rpcs.get_mut(&id).expect("held");
        if done {
            rpc.done = true;
        }
        if rpc.done {
            self.close(now, id);
        } else if rpc.open() == 0 && rpc.line == Line::None {
            rpc.line = Line::Second;
            self.second_line.push_back(id);
        }
        self.serve(now);
    }

    pub fn probe_ended(&mut self, now: Time, worker: WorkerId, outcome: Outcome, report: &[f64]) {
        self.report_read(worker, report);
        if outcome == Outcome::Reset {
            self.judge(now, worker, 2.0);
        }
    }

    pub fn load_ended(
        &mut self, now: Time, worker: WorkerId, function: FunctionId, outcome: Outcome, copies: u64,
    ) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        let belief = w.beliefs.entry(function).or_default();
        if outcome == Outcome::Ok && copies > 0 {
            belief.copies = Copies::Warm(now);
        } else if belief.copies == Copies::Loading && belief.mine == 0 {
            belief.copies = Copies::Unknown;
        }
        if matches!(outcome, Outcome::Reset | Outcome::ConnectFailed) {
            self.judge(now, worker, 2.0);
        }
        self.serve(now);
    }

    pub fn woken(&mut self, now: Time, id: WakeId) {
        if id == TICK_WAKE {
            self.host.wake(TICK, TICK_WAKE);
            self.sweep(now);
            self.serve(now);
        } else if self.rpcs.get(&RpcId(id.0)).is_some_and(|r| !r.done && !r.streaming && r.deadline <= now)
        {
            self.give_up(now, RpcId(id.0));
        }
    }

    // Settings.

    fn part(&self, part: &str, name: &str) -> Option<&Value> {
        self.settings.get(part)?.get(name)
    }

    fn number(&self, part: &str, name: &str, default: f64) -> f64 {
        self.part(part, name).and_then(Value::as_f64).unwrap_or(default)
    }

    fn span(&self, part: &str, name: &str) -> Time {
        Time::from_ms(self.number(part, name, 0.0))
    }

    fn allowed(&self, part: &str, name: &str) -> bool {
        self.part(part, name).and_then(Value::as_bool).unwrap_or(false)
    }

    fn of_method<'a>(&'a self, method: MethodId, name: &str) -> Option<&'a Value> {
        self.settings.get("requestClasses")?.get(method.0)?.get(name)
    }

    // The rules on repeats.

    /// Whether a further call-out to `worker`, or a denial (no worker), keeps the rule on repeated effects.
    fn harmless(&self, now: Time, rpc: &Rpc, worker: Option<&Worker>) -> bool {
        let Some(first) = rpc.outs.iter().find(|o| o.open || !o.never_ran) else { return true };
        let group = self.of_method(rpc.method, "group").and_then(Value::as_str);
        match self.of_method(rpc.method, "effect").and_then(Value::as_str) {
            Some("read_like") => true,
            Some("idempotency_key") => {
                let Some(to) = worker else { return group == Some("all") };
                let from = &self.workers[&first.worker];
                let span = self.of_method(rpc.method, "memorySpan").and_then(Value::as_f64).unwrap_or(0.0);
                let fits = match group {
                    Some("all") => true,
                    Some("zone") => to.zone == from.zone,
                    _ => to.cell == from.cell,
                };
                fits && now < first.sent + Time::from_ms(span)
            }
            _ => false,
        }
    }

    // The design: filter, score, coalesce.

    fn affinity(&self, now: Time, w: &Worker, function: FunctionId) -> f64 {
        let keep = self.span("familyInfo", "keepAlive");
        let warm = |c: &Copies| matches!(c, Copies::Warm(used) if now - *used <= keep);
        match w.copies(function) {
            Copies::Warm(_) if w.beliefs[&function].mine > 0 => 1.0,
            Copies::Warm(used) if now - used <= RECENT.min(keep) => 1.0,
            Copies::Warm(used) if now - used <= keep => WARM,
            Copies::Loading => 0.5,
            Copies::Warm(_) | Copies::Disk => 0.4,
            Copies::Unknown if w.beliefs.values().filter(|b| warm(&b.copies)).count() < 4 => 0.3,
            Copies::Unknown => 0.0,
        }
    }

    /// Chooses the worker for an RPC's next call-out; none: it waits.
    fn pick(&mut self, now: Time, id: RpcId) -> Option<WorkerId> {
        let rpc = &self.rpcs[&id];
        let (function, most) = (rpc.function, self.slots());
        let fresh = rpc.outs.is_empty();
        let tried: BTreeSet<WorkerId> = rpc.outs.iter().map(|o| o.worker).collect();
        let ready = self.workers.values().filter(|w| w.standing == Standing::Ready);
        let (count, mine) = ready.fold((0.0, 0.0), |(n, m), w| (n + 1.0, m + w.mine as f64));
        let crowded = CROWD * mine / f64::max(count, 1.0) + (SLACK_LANES * rpc.lanes).max(1.0);
        let utils = || self.workers.values().filter_map(|w| w.util);
        let mean_util = utils().sum::<f64>() / utils().count().max(1) as f64;
        let neutral = if utils().next().is_some() { mean_util } else { NEUTRAL_UTIL };
        let side_effect = !self.harmless_always(rpc.method);
        // May be used at all, and then: has room, and is not crowded.
        let mut usable: Vec<(WorkerId, f64, bool, bool)> = Vec::new();
        for (&wid, w) in &self.workers {
            if w.standing != Standing::Ready
                || !self.budget_left(now, w)
                || !self.harmless(now, rpc, Some(w))
                || (!fresh && w.suspect)
            {
                continue;
            }
            let trickle = !side_effect && now - w.last_sent >= TRICKLE_EVERY && w.mine == 0;
            let ceiling = w.ceiling.min(most);
            let room = (w.mine as f64) < ceiling
                && w.full_until <= now
                && (!w.suspect || trickle)
                && !tried.contains(&wid);
            let affinity = self.affinity(now, w, function);
            let room = room && (affinity >= 0.5 || w.no_load_until <= now);
            let depth = 1.0 - (w.mine as f64 / ceiling).min(1.0);
            let util = 1.0 - w.util.unwrap_or(neutral).clamp(0.0, 1.0);
            let score = AFFINITY_WEIGHT * affinity + QUEUE_WEIGHT * depth + UTIL_WEIGHT * util;
            usable.push((wid, score, room, (w.mine as f64) < crowded));
        }
        // New loads go to the first in the function's rendezvous order that has room.
        let mut order: Vec<WorkerId> = usable.iter().filter(|u| u.2 && u.3).map(|u| u.0).collect();
        order.sort_by_key(|&w| home_rank(function, w));
        let affinity = |s: &Self, w: WorkerId| s.affinity(now, &s.workers[&w], function);
        let mut best: Option<(f64, f64, WorkerId)> = None;
        for &(wid, score, room, uncrowded) in &usable {
            if !(room && uncrowded) {
                continue;
            }
            let mut score = score;
            if affinity(self, wid) < WARM {
                let rank = order.iter().position(|&w| w == wid).unwrap_or(0);
                score += HOME_WEIGHT * 0.5f64.powi(rank as i32) - HOME_WEIGHT;
            }
            let tie = self.rng.rand_float();
            if best.is_none_or(|b| (score, tie) > (b.0, b.1)) {
                best = Some((score, tie, wid));
            }
        }
        if let Some((.., wid)) = best.filter(|b| affinity(self, b.2) >= WARM) {
            return Some(wid);
        }
        // Every pick left would start a load. A crowded worker believed warm that has room takes the RPC, and
        // a copy is ordered where the load would have gone; else the RPC queues behind a load under way.
        let with = |s: &Self, loading: bool| {
            let fits = |u: &&(WorkerId, f64, bool, bool)| {
                let copies = s.workers[&u.0].copies(function);
                u.2 && if loading { copies == Copies::Loading } else { affinity(s, u.0) >= WARM }
            };
            let all = usable.iter().filter(fits);
            all.min_by_key(|u| s.workers[&u.0].mine).map(|u| u.0)
        };
        let (warm, loading) = (with(self, false), with(self, true));
        if let Some(wid) = warm {
            if let (None, Some((.., at))) = (loading, best) {
                self.order(now, at, function);
            }
            return Some(wid);
        }
        if loading.is_some() {
            return loading;
        }
        if let Some((.., wid)) = best {
            return Some(wid);
        }
        usable.iter().filter(|u| u.2).min_by_key(|u| self.workers[&u.0].mine).map(|u| u.0)
    }

    fn harmless_always(&self, method: MethodId) -> bool {
        self.of_method(method, "effect").and_then(Value::as_str) == Some("read_like")
    }

    fn send(&mut self, now: Time, id: RpcId, to: WorkerId) {
        let warm = self.affinity(now, &self.workers[&to], self.rpcs[&id].function) >= WARM;
        let rpc = self.rpcs.get_mut(&id).expect("held");
        rpc.line = Line::None;
        rpc.outs.push(CallOut { worker: to, sent: now, open: true, never_ran: false, warm, overdue: 0 });
        let w = self.workers.get_mut(&to).expect("picked");
        w.mine += 1;
        w.last_sent = now;
        if w.cold_since.is_some() {
            w.sends.push_back(now);
        }
        let belief = w.beliefs.entry(rpc.function).or_default();
        belief.mine += 1;
        if !warm {
            belief.copies = Copies::Loading;
        }
        self.host.call_out(id, to, Time(0));
    }

    /// A copy believed warm was not: a release may have voided all. Drops what was believed of the function
    /// before that call-out, so that later RPCs coalesce behind one load. May hurt when only one was evicted.
    fn void_elsewhere(&mut self, function: FunctionId, at: WorkerId, before: Time) {
        for (_, w) in self.workers.iter_mut().filter(|(&id, _)| id != at) {
            if let Some(b) = w.beliefs.get_mut(&function) {
                if matches!(b.copies, Copies::Warm(used) if used < before) {
                    b.copies = Copies::Disk;
                }
            }
        }
    }

    // 1. Health.

    /// Adds evidence (a log-likelihood ratio) for or against a worker's health. Guards against workers that
    /// fail fast, hang or crawl; should hold for anything that shows in outcomes. When half the fleet is
    /// suspect already the trouble is not the worker's, and nobody more is ejected. May hurt where a tenant's
    /// own RPCs always fail: the workers that serve them look ill.
    fn judge(&mut self, now: Time, id: WorkerId, evidence: f64) {
        let ready = self.workers.values().filter(|w| w.standing == Standing::Ready).count() as f64;
        let suspects =
            self.workers.values().filter(|w| w.suspect && w.standing == Standing::Ready).count() as f64;
        let Some(w) = self.workers.get_mut(&id) else { return };
        let step = if w.suspect && evidence < 0.0 { 4.0 * evidence } else { evidence };
        w.evidence = (w.evidence + step).clamp(0.0, EVIDENCE_CAP);
        if w.suspect && w.evidence <= CLEARED_AT {
            w.suspect = false;
            self.host.log(&format!("{}: worker {} cleared, evidence {:.1}", now.0, id.0, w.evidence));
        } else if !w.suspect && w.evidence >= SUSPECT_AT {
            let full = suspects + 1.0 > (ready * EJECT_SHARE).max(1.0);
            if !full {
                w.suspect = true;
                self.host.log(&format!("{}: worker {} suspect, evidence {:.1}", now.0, id.0, w.evidence));
            }
            if full != self.panic {
                self.panic = full;
                self.host.log(&format!("{}: panic {full}, {suspects} suspects of {ready}", now.0));
            }
        }
    }

    fn report_read(&mut self, worker: WorkerId, report: &[f64]) {
        let names = self.part("loadInfo", "names").and_then(Value::as_array);
        let at = names.and_then(|n| n.iter().position(|n| n == "utilization"));
        let util = at.and_then(|i| report.get(i).copied());
        if let (Some(w), Some(util)) = (self.workers.get_mut(&worker), util) {
            w.util = Some(util);
        }
    }

    fn slots(&self) -> f64 {
        (CEILING_LANES * self.lanes.mean).max(2.0)
    }

    fn aim(&self, method: MethodId) -> f64 {
        self.of_method(method, "aim").and_then(Value::as_f64).unwrap_or(1000.0)
    }

    /// How long a call-out may take before it counts as overdue.
    fn limit(&self, method: MethodId, function: FunctionId, warm: bool) -> Time {
        let aim = self.aim(method);
        let of = |p: Option<&Pace>| {
            p.map(|p| {
                if warm {
                    (p.warm.n, p.warm.mean, p.warm.dev)
                } else {
                    (p.load.n, p.load.mean, p.load.dev)
                }
            })
        };
        let (fn_n, fn_mean, fn_dev) = of(self.functions.get(&function)).unwrap_or_default();
        let (all_n, all_mean, all_dev) = of(self.methods.get(&method)).unwrap_or_default();
        if all_n < 5.0 {
            return Time::from_ms(if warm { aim } else { 3.0 * aim });
        }
        let share = fn_n / (fn_n + 5.0);
        let (mean, dev) =
            (share * fn_mean + (1.0 - share) * all_mean, share * fn_dev + (1.0 - share) * all_dev);
        Time::from_ms(2.0 * mean + 3.0 * dev)
    }

    // 2. Slow start.

    /// Guards against schedulers that together push a cold worker over. Each gives it, in any window, its
    /// present share of capacity times what this scheduler gets answered by a worker of its size on the mean:
    /// no fleet answers more than its capacity, so the sum over schedulers stays under the stated multiple, also
    /// when clients' retries swell what is taken. Where the fleet idles it gives a cold worker little.
    fn budget_left(&self, now: Time, w: &Worker) -> bool {
        let Some(since) = w.cold_since else { return true };
        let (within, fall) = (self.span("contract", "warmWithin"), self.span("contract", "fall"));
        let (age, from) = (now - since, self.number("contract", "startCapacity", 0.2));
        if age >= within {
            return true;
        }
        let capacity = from + (1.0 - from) * age.0 as f64 / within.0.max(1) as f64;
        let ready = self.workers.values().filter(|w| w.standing == Standing::Ready).count().max(1) as f64;
        let window = Time(50_000);
        let recent = self.answered.iter().rev().take_while(|&&t| t + window > now).count() as f64;
        let per_window = recent * self.size_share(w) / ready * fall.0 as f64 / window.0 as f64;
        let multiple = self.number("contract", "fallMultiple", 2.0);
        let budget = (0.7 * multiple * capacity * per_window).max(1.0);
        let sent = w.sends.iter().rev().take_while(|&&t| t + fall > now).count() as f64;
        sent + 1.0 <= budget
    }

    /// A worker's size against the mean of those listed, where the list tells sizes.
    fn size_share(&self, w: &Worker) -> f64 {
        let told = self.settings.get("weightKind").and_then(Value::as_str);
        if !matches!(told, Some("nominal" | "rough")) {
            return 1.0;
        }
        let sizes: f64 = self.workers.values().map(|w| w.size).sum();
        w.size * self.workers.len() as f64 / f64::max(sizes, 1e-9)
    }

    // 3. The second line.

    /// Serves first call-outs, then further ones.
    fn serve(&mut self, now: Time) {
        // Once a few found no room the rest is left for the next event.
        let mut stuck = 0;
        for _ in 0..self.first_line.len() {
            if stuck >= 3 {
                break;
            }
            let Some(id) = self.first_line.pop_front() else { break };
            if !self.rpcs.get(&id).is_some_and(|r| !r.done && r.line == Line::First) {
                continue;
            }
            let room = self.admit(now, id).is_none_or(|wait| !wait);
            match if room { self.pick(now, id) } else { None } {
                Some(to) => self.send(now, id, to),
                None if self.hopeless(now, id) => self.give_up(now, id),
                None => {
                    self.first_line.push_back(id);
                    stuck += 1;
                }
            }
        }
        for _ in 0..self.second_line.len() {
            if stuck >= 3 {
                break;
            }

            let Some(id) = self.second_line.pop_front() else { break };
            let Some(rpc) = self.rpcs.get(&id).filter(|r| !r.done && r.line == Line::Second) else {
                continue;
            };
            let second = rpc.open() > 0;
            let wasted = rpc.outs.last().is_some_and(|o| !o.never_ran);
            let most = self.number("limits", "maxAttempts", 1.0);
            let possible =
                (rpc.outs.len() as f64) < most && (rpc.open() > 0 || self.harmless_to_any(now, rpc));
            if !possible {
                if second {
                    self.rpcs.get_mut(&id).expect("held").line = Line::None;
                } else {
                    self.give_up(now, id);
                }
                continue;
            }
            let cost = if wasted { 1.0 } else { 0.0 };
            let to = if self.retries >= cost { self.pick(now, id) } else { None };
            match to {
                Some(to)
                    if !second
                        || self.affinity(now, &self.workers[&to], self.rpcs[&id].function) >= WARM =>
                {
                    self.retries -= cost;
                    self.send(now, id, to);
                }
                _ if second => self.rpcs.get_mut(&id).expect("held").line = Line::None,
                _ if self.hopeless(now, id) => self.give_up(now, id),
                _ => {
                    self.second_line.push_back(id);
                    stuck += 1;
                }
            }
        }
    }

    fn harmless_to_any(&self, now: Time, rpc: &Rpc) -> bool {
        self.workers.values().any(|w| w.standing == Standing::Ready && self.harmless(now, rpc, Some(w)))
    }

    /// Looks for overdue call-outs: each is evidence against its worker, and earns a further call-out.
    fn sweep(&mut self, now: Time) {
        let seconds = self.allowed("limits", "secondCopies");
        let may_cancel = self.allowed("limits", "mayCancel");
        let mut late: Vec<(RpcId, usize, WorkerId)> = Vec::new();
        for (&id, rpc) in &self.rpcs {
            for (no, out) in rpc.outs.iter().enumerate().filter(|(_, o)| o.open) {
                let limit = self.limit(rpc.method, rpc.function, out.warm);
                if out.overdue < 3 && now - out.sent > Time(limit.0 << out.overdue) {
                    late.push((id, no, out.worker));
                }
            }
        }
        for (id, no, worker) in late {
            self.judge(now, worker, 1.0);
            let rpc = self.rpcs.get_mut(&id).expect("held");
            rpc.outs[no].overdue += 1;
            let rpc = &self.rpcs[&id];
            if rpc.done || rpc.streaming || rpc.line != Line::None || rpc.open() > 1 {
                continue;
            }
            if !self.harmless_to_any(now, rpc) {
                continue;
            }
            if seconds {
                self.rpcs.get_mut(&id).expect("held").line = Line::Second;
                self.second_line.push_back(id);
            } else if may_cancel && self.workers[&worker].suspect && self.retries >= 1.0 {
                self.host.cancel(id, CallOutNo(no));
            }
        }
        let answered = self.answered.iter().rev().take_while(|&&t| t + RATE_OVER > now).count() as f64;
        self.best_rate = (answered / RATE_OVER.ms()).max(self.best_rate * FADE);
        if self.part("loadInfo", "how").and_then(Value::as_str) == Some("pull")
            && self.allowed("limits", "probes")
        {
            for (&id, w) in &mut self.workers {
                if w.standing == Standing::Ready && now - w.probed >= PROBE_EVERY {
                    w.probed = now;
                    self.host.probe(id);
                }
            }
        }
        let keep = Time(100_000);
        while self.taken.front().is_some_and(|&t| t + keep < now) {
            self.taken.pop_front();
        }
        while self.answered.front().is_some_and(|&t| t + keep < now) {
            self.answered.pop_front();
        }
        while self.orders.front().is_some_and(|&t| t + keep < now) {
            self.orders.pop_front();
        }
        for w in self.workers.values_mut() {
            while w.sends.front().is_some_and(|&t| t + keep < now) {
                w.sends.pop_front();
            }
            if w.suspect && w.mine == 0 {
                w.evidence = (w.evidence - 0.3 * TICK.ms() / 1000.0).max(0.0);
                w.suspect = w.evidence > CLEARED_AT;
            }
        }
    }

    // 4. Copies.

    /// Orders one copy, within the ration; the worker counts as loading it from then on.
    fn order(&mut self, now: Time, at: WorkerId, function: FunctionId) {
        if !self.allowed("familyInfo", "mayOrder") || self.workers[&at].standing != Standing::Ready {
            return;
        }
        let window = self.span("familyInfo", "loadsWithin");
        if window > Time(0) {
            let in_window = |t: &&Time| **t + window >= now;
            let given = self.orders.iter().rev().take_while(in_window).count() as f64;
            let taken = self.taken.iter().rev().take_while(|&&t| t + window > now).count() as f64;
            let (floor, share) =
                (self.number("familyInfo", "loadFloor", 0.0), self.number("familyInfo", "loadShare", 0.0));
            if given + 1.0 > floor + share * taken {
                return;
            }
        }
        self.orders.push_back(now);
        let belief = self.workers.get_mut(&at).expect("known").beliefs.entry(function).or_default();
        belief.copies = Copies::Loading;
        self.host.load(at, function, 1);
    }

    /// A worker is lost: has its functions in recent use loaded where their next RPCs would go.
    fn hand_on(&mut self, now: Time, from: WorkerId) {
        let _ = (now, from);
    }

    // 5. Admission.

    /// What may be out at warm copies so that answers come in half the soft deadline (Little's law on my own
    /// answers), and what is out, in all and for the tenant. Guards against overload; should hold for whatever
    /// fills the workers' queues, as answers then come no faster. May hurt just after a long quiet spell.
    fn load(&self, tenant: TenantId) -> (f64, f64, f64) {
        let ready = self.workers.values().filter(|w| w.standing == Standing::Ready).count() as f64;
        let limit = (self.best_rate * TARGET * self.aims.mean).max(2.0 * ready);
        let (mut out, mut of_tenant) = (0.0, 0.0);
        for rpc in self.rpcs.values() {
            let open = rpc
                .outs
                .iter()
                .filter(|o| o.open && o.warm && o.overdue == 0 && !self.workers[&o.worker].suspect);
            let open = open.count() as f64;
            out += open;
            of_tenant += if rpc.tenant == tenant { open } else { 0.0 };
        }
        (limit, out, of_tenant)
    }

    /// Whether a new load has to wait for others, as the fleet is close to its bound: loads push out wanted
    /// copies, and take memory and cores from what is warm.
    fn loads_rationed(&self, to: WorkerId, function: FunctionId, tenant: TenantId) -> bool {
        let (limit, out, _) = self.load(tenant);
        if out <= CLOSE * limit || self.workers[&to].copies(function) != Copies::Unknown {
            return false;
        }
        let loading = |w: &Worker| w.beliefs.values().filter(|b| b.copies == Copies::Loading).count();
        self.workers.values().map(loading).sum::<usize>() * 4 >= self.workers.len()
    }

    fn usual(&self, method: MethodId) -> f64 {
        self.methods.get(&method).map_or(0.0, |p| p.warm.mean)
    }

    /// Gain for the time that an answer takes.
    fn density(&self, method: MethodId) -> f64 {
        let gain = self.of_method(method, "gain").and_then(Value::as_f64).unwrap_or(1.0);
        gain / self.usual(method).max(1.0)
    }

    /// Whether an RPC has to wait, or (none) is to be denied at once as its tenant is over its share.
    fn admit(&self, now: Time, id: RpcId) -> Option<bool> {
        let (tenant, method) = (self.rpcs[&id].tenant, self.rpcs[&id].method);
        let (limit, out, of_tenant) = self.load(tenant);
        let share = self.settings.get("tenants").and_then(|l| l.get(tenant.0)?.get("share")?.as_f64());
        if out > CLOSE * limit && (self.hopeless(now, id) || share.is_some_and(|s| of_tenant > s * limit)) {
            return None;
        }
        let mean =
            self.methods.keys().map(|&m| self.density(m)).sum::<f64>() / self.methods.len().max(1) as f64;
        let part = if mean > 0.0 { (self.density(method) / mean).clamp(CLOSE, 1.0) } else { 1.0 };
        Some(out >= part * limit)
    }

    /// Whether an RPC that waits for room can no longer be in time. Guards against queues that make every answer
    /// late; should hold for any overload. May hurt where a late answer is worth nearly as much as one in time.
    fn hopeless(&self, now: Time, id: RpcId) -> bool {
        let rpc = &self.rpcs[&id];
        let in_time = (rpc.taken + Time::from_ms(self.aim(rpc.method))).min(rpc.deadline);
        now + Time::from_ms(self.usual(rpc.method)) > in_time
    }

    /// The final answer for an RPC that cannot be answered in time: a denial where that is harmless.
    fn give_up(&mut self, now: Time, id: RpcId) {
        let rpc = &self.rpcs[&id];
        if self.harmless(now, rpc, None) {
            let stay = if self.allowed("limits", "retryAfter") {
                self.span("limits", "maxRetryAfter")
            } else {
                Time(0)
            };
            self.host.deny(id, Time(stay.0 / 2));
        } else {
            self.host.abort(id);
        }
        self.close(now, id);
    }

    /// Nothing more is owed for an RPC; its open call-outs are ended, and it is kept until they have.
    fn close(&mut self, _now: Time, id: RpcId) {
        let may_cancel = self.allowed("limits", "mayCancel");
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let first = !rpc.done || rpc.line != Line::None;
        (rpc.done, rpc.line) = (true, Line::None);
        let _ = (rpc.tenant, rpc.lanes, first);
        if rpc.open() == 0 {
            self.rpcs.remove(&id);
        } else if may_cancel {
            for no in 0..rpc.outs.len() {
                if rpc.outs[no].open {
                    self.host.cancel(id, CallOutNo(no));
                }
            }
        }
    }
}
