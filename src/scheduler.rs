//! All decisions of one scheduler. Whoever runs it calls `Scheduler::start` with a `Host` (src/host.rs), the
//! seed and the settings, and then one method for each thing that happens, with the clock: `rpc`,
//! `attempt_ended`, `load_ended`, `report_read`, `worker_listed` ... The module acts by calling the host.
//!
//! The design: filter workers that drain or are full, score the rest by graded affinity, depth and
//! utilisation, take the best, and coalesce new loads (`pick`). Beside it stand five mechanisms:
//! 1. health: a sequential test on outcomes, overdue attempts included; suspects rest (`judge`)
//! 2. slow start: a budget of attempts for a cold worker (`budget_left`)
//! 3. the second line: further attempts, after first ones, within a retry budget (`serve`, `sweep`)
//! 4. copies: one more copy of a crowded function is ordered elsewhere, rationed (`order`)
//! 5. admission: what cannot be in time is denied at once, where harmless (`give_up`)

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;
use serde_json::{Map, Value};

use crate::host::Host;
use crate::state::{faded, Attempt, Belief, Copies, Rpc, Worker};
use crate::types::*;

const AFFINITY_WEIGHT: f64 = 0.5;
const QUEUE_WEIGHT: f64 = 0.15;
const UTIL_WEIGHT: f64 = 0.15;
/// Draws a new load to the first workers in a function's rendezvous order, the same at every scheduler.
const HOME_WEIGHT: f64 = 0.5;
const MEMORY_WEIGHT: f64 = 0.3;
/// So much of the fleet are a function's alike homes from the start.
const USUAL_SHARE: f64 = 0.03;
const WARM: f64 = 0.8;
const LOADING: f64 = 0.5;
/// What other schedulers tell counts for less than what I have seen: a warm copy, and a load under way.
const HINTED_WARM: f64 = 0.6;
const HINTED_LOADING: f64 = 0.45;
/// How long a refusal told by others holds loads back, and the most RPCs that their word counts for: what is
/// wrong has faded within half a minute.
const HINTED_FULL: Time = Time(10_000);
const HINTED_HELD: u64 = 256;
/// An image may be left on the disk.
const IMAGE: f64 = 0.4;
/// The slot guess, in copies' worth of lanes: what takes loads of seconds runs many at a time.
const CEILING_LANES: f64 = 4.0;
const FULL_HOLD: Time = Time(500);
const CROWD: f64 = 1.25;
const SLACK_LANES: f64 = 0.5;
/// What answers tell of a worker: the least step of the mean, the gap at which a new one weighs as much as
/// all before, and the half-life.
const LEAST_STEP: f64 = 0.15;
const EQUAL_GAP: f64 = 1500.0;
const FADES: f64 = 5000.0;
/// A worker counts as crowded so far above the usual and above this part of the soft deadline.
const LATE: (f64, f64) = (1.5, 0.5);
/// A function that stands at more of the fleet spreads no further for lateness: memory would thrash.
const LATE_SHARE: f64 = 0.07;
const RECENT: Time = Time(20_000);
const TICK: Time = Time(200);
const STALL: Time = Time(1_000);
const TICK_TIMER: TimerId = TimerId(u64::MAX >> 1);
/// Probes for each RPC taken, and the age from which a report is worth asking anew.
const PROBE_SHARE: f64 = 0.2;
const REPORT_AGE: Time = Time(5_000);
const KEEP: Time = Time(300_000);
/// Evidence (log-likelihood ratios) of outcomes, and where it decides.
const GOOD: f64 = -0.5;
const SILENT: f64 = 2.0;
const FAILED: f64 = 1.5;
const DEAD: f64 = 8.0;
const SUSPECT_AT: f64 = 8.0;
const CLEARED_AT: f64 = 1.0;
const EVIDENCE_CAP: f64 = 12.0;
const FADING: f64 = 0.001;
const EJECT_SHARE: f64 = 0.34;
const COLD_PART: f64 = 1.0;
/// Windows over which schedulers' slots at a cold worker are spread; a power of two.
const PHASES: f64 = 4096.0;
/// Workers at which an RPC tries to begin a load.
const LOADS_TRIED: usize = 2;
const RETRY_SHARE: f64 = 0.1;
const RETRY_CAP: f64 = 10.0;
const STUCK: usize = 3;
const RATE_ANSWERS: usize = 400;
const LEAST_RATE_OVER: Time = Time(10_000);
const TARGET: f64 = 0.6;
const FADE: f64 = 0.999;
/// What chance may add to the usual number out; and at all schedulers together, for each worker.
const CHANCE: f64 = 3.0;
const PART_OUT: f64 = 6.0;
const PARTS: (f64, f64) = (0.85, 1.3);
const CLOSE: f64 = 0.6;
const BEHIND_LOAD: f64 = 0.5;

/// A running mean that starts as a plain one, and the mean distance from it.
#[derive(Clone, Copy, Default)]
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

/// How long answers take: with a load, and (second) from a warm copy.
type Pace = [Usual; 2];

/// A worker as `pick` sees it.
struct Candidate {
    id: WorkerId,
    affinity: f64,
    score: f64,
    crowded: bool,
    depth: f64,
    copies: f64,
    memory: f64,
}

pub struct Scheduler<H: Host> {
    host: H,
    rng: Rand64,
    settings: Map<String, Value>,
    workers: BTreeMap<WorkerId, Worker>,
    mean_size: f64,
    rpcs: BTreeMap<RpcId, Rpc>,
    /// What is out at warm copies, in all and by tenant: see `load`.
    out: f64,
    out_of: BTreeMap<TenantId, f64>,
    methods: BTreeMap<MethodId, Pace>,
    /// First attempts wait in the first line, further ones in the second.
    lines: [VecDeque<RpcId>; 2],
    ticked: Time,
    taken: VecDeque<Time>,
    answered: VecDeque<Time>,
    orders: VecDeque<Time>,
    retries: f64,
    probes: f64,
    lanes: Usual,
    aims: Usual,
    /// The rate of answers, per millisecond, its best of late and the most workers ready of late; these fade.
    rate: f64,
    best_rate: f64,
    most_ready: f64,
}

/// A function's rendezvous order over workers: every scheduler comes to the same one.
fn home_rank(function: FunctionId, worker: WorkerId) -> u64 {
    let mut x = function.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ worker.0.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}

/// How much a new answer weighs against those before: sparse evidence counts for more each.
fn step(gap: Time) -> f64 {
    (gap.ms() / (gap.ms() + EQUAL_GAP)).max(LEAST_STEP)
}

/// How many of these times lie less than `window` back.
fn recent(times: &VecDeque<Time>, now: Time, window: Time) -> f64 {
    times.iter().rev().take_while(|&&t| t + window > now).count() as f64
}

impl<H: Host> Scheduler<H> {
    pub fn start(host: H, seed: u128, settings: Map<String, Value>) -> Self {
        let mut new = Scheduler {
            host,
            rng: Rand64::new(seed),
            settings,
            workers: BTreeMap::new(),
            mean_size: 0.0,
            rpcs: BTreeMap::new(),
            out: 0.0,
            out_of: BTreeMap::new(),
            methods: BTreeMap::new(),
            lines: Default::default(),
            ticked: Time(0),
            taken: VecDeque::new(),
            answered: VecDeque::new(),
            orders: VecDeque::new(),
            retries: RETRY_CAP,
            probes: 0.0,
            lanes: Usual::default(),
            aims: Usual::default(),
            rate: 0.0,
            best_rate: 0.0,
            most_ready: 0.0,
        };
        if new.settings.get("discovery").is_some_and(|d| d == "subscribe") {
            new.host.watch_list();
        }
        new.host.set_timer(TICK, TICK_TIMER);
        new
    }

    /// What runs this scheduler, for its own use between calls.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// What I believe out at each worker, to be held against what is.
    pub fn believed_in_flight(&self) -> impl Iterator<Item = (WorkerId, u64)> + '_ {
        self.workers.iter().map(|(id, w)| (*id, w.mine)).filter(|(_, mine)| *mine > 0)
    }

    /// How much is kept, by kind.
    pub fn table_sizes(&self) -> [(&'static str, usize); 4] {
        let beliefs = self.workers.values().map(|w| w.beliefs.len()).sum();
        let moments = self.taken.len() + self.answered.len() + self.orders.len();
        let lines = self.lines.iter().map(VecDeque::len).sum();
        [("workers", self.workers.len()), ("beliefs", beliefs), ("moments", moments), ("lines", lines)]
    }

    /// One method more: its id is the next of the settings' list. RPCs of those before it go on as they were.
    pub fn method_added(&mut self, method: Value) {
        let all = self.settings.entry("requestClasses").or_insert_with(|| Value::Array(Vec::new()));
        all.as_array_mut().into_iter().for_each(|all| all.push(method.clone()));
    }

    /// So many schedulers feed these workers from here on, as far as this one knows.
    pub fn instance_count_changed(&mut self, number: u64) {
        self.settings.insert("instances".to_owned(), number.into());
    }

    pub fn worker_listed(
        &mut self, now: Time, id: WorkerId, standing: Lifecycle, since: Time, zone: ZoneId, cell: CellId,
        size: f64,
    ) {
        let new = !self.workers.contains_key(&id);
        let w = self.workers.entry(id).or_default();
        (w.standing, w.zone, w.cell, w.size, w.told) = (standing, zone, cell, size, now);
        if new || (since != w.since && standing == Lifecycle::Ready) {
            // New, or restarted under the same id: perhaps cold, and nothing old holds.
            (w.since, w.cold_since) = (since, (since > Time(0)).then_some(since));
            (w.evidence, w.suspect, w.ceiling, w.full_until, w.util) = (0.0, false, f64::MAX, now, None);
            w.phase = self.rng.rand_float();
            w.forget_copies();
        }
    }

    /// A list has been read; `named` holds all its workers if it was a complete one.
    pub fn list_received(&mut self, now: Time, named: Option<&BTreeSet<WorkerId>>) {
        for (id, w) in &mut self.workers {
            if w.standing != Lifecycle::Gone && named.is_some_and(|n| !n.contains(id)) {
                (w.standing, w.told) = (Lifecycle::Gone, now);
            }
        }
        self.mean_size =
            self.workers.values().map(|w| w.size).sum::<f64>() / self.workers.len().max(1) as f64;
        self.serve(now);
    }

    pub fn list_failed(&mut self) {
        self.host.watch_list();
    }

    pub fn rpc_received(
        &mut self, now: Time, id: RpcId, method: MethodId, function: FunctionId, tenant: TenantId,
        left: Time, lanes: f64,
    ) {
        self.taken.push_back(now);
        self.lanes.add(lanes);
        self.aims.add(self.aim(method));
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_CAP);
        self.probes = (self.probes + PROBE_SHARE).min(RETRY_CAP);
        self.host.set_timer(left, TimerId(id.0));
        let (taken, deadline, outs) = (now, now + left, Vec::new());
        let (waiting, done, streaming) = (true, false, false);
        let rpc = Rpc { method, function, tenant, lanes, taken, deadline, outs, waiting, done, streaming };
        self.rpcs.insert(id, rpc);
        if self.first_attempt(now, id) {
            self.lines[0].push_back(id);
        }
    }

    pub fn rpc_abandoned(&mut self, id: RpcId) {
        self.close(id);
    }

    pub fn answer_started(&mut self, id: RpcId) {
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            (rpc.streaming, rpc.waiting) = (true, false);
        }
    }

    pub fn attempt_ended(
        &mut self, now: Time, id: RpcId, no: AttemptNumber, outcome: Outcome, elapsed: Time, done: bool,
        copy: CopyReport, held: u64, report: &[f64],
    ) {
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let (function, method, tenant) = (rpc.function, rpc.method, rpc.tenant);
        let Some(out) = rpc.outs.get_mut(no.0).filter(|o| o.open) else { return };
        (out.open, out.never_ran, out.broke) = (false, outcome.never_ran(), outcome == Outcome::Reset);
        out.full = outcome == Outcome::Full || copy == CopyReport::LoadFailed;
        let (worker, sent, was_warm, overdue) = (out.worker, out.sent, out.warm, out.overdue);
        let others = held.saturating_sub(out.beside) as f64;
        if overdue == 0 {
            self.weigh(tenant, was_warm, -1.0);
        }
        self.load_report_received(now, worker, report);
        let (slots, keep) = (self.slots(), self.keep());
        let w = self.workers.entry(worker).or_default();
        w.mine = w.mine.saturating_sub(1);
        let spoke = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        w.heard = if spoke { now } else { w.heard };
        let belief = w.beliefs.entry(function).or_default();
        belief.mine = belief.mine.saturating_sub(1);
        if outcome != Outcome::Ok && belief.copies == Copies::Loading && belief.mine == 0 {
            belief.copies = Copies::Unknown;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Full) {
            belief.tell(now, others, FADES, step(now - belief.told));
        }
        match outcome {
            Outcome::Ok if w.since <= sent => {
                (belief.copies, belief.seen) = (Copies::Warm(now), now);
                self.host.observed(worker, function, Hint::Warm, held);
                w.ceiling = (w.ceiling + 1.0).min(slots);
                w.fulls = 0;
                self.answered.push_back(now);
                let warm = usize::from(!matches!(copy, CopyReport::BeganLoad | CopyReport::WaitedForLoad));
                let pace = &mut self.methods.entry(method).or_default()[warm];
                pace.add(elapsed.ms());
                if warm == 1 {
                    w.took(now, elapsed.ms() / pace.mean.max(1.0), FADES, step(now - w.paced));
                }
                self.judge(now, worker, if overdue == 0 { GOOD } else { 0.0 });
            }
            Outcome::Full => {
                // Turned away where a copy was believed warm the queue is full; elsewhere room for loads may
                // lack, which says nothing of other functions: others' copies of them may stand there.
                belief.no_load_until = now + Time((4 * FULL_HOLD.0) << w.fulls);
                w.fulls = (w.fulls + 1).min(4);
                let hinted = belief.hint.is_some_and(|(h, at)| h == Hint::Warm && sent - at <= keep);
                if was_warm || hinted {
                    w.ceiling = if was_warm { w.mine.max(1) as f64 } else { w.ceiling };
                    w.full_until = now + Time(FULL_HOLD.0 << w.fulls);
                } else {
                    (belief.seen, belief.hint) = (now, None);
                    self.host.observed(worker, function, Hint::Full, held);
                }
            }
            Outcome::Reset | Outcome::ConnectFailed => {
                // Guards against a process that died before the list tells; should also hold for a cut link.
                // One broken connection is no death, and all that breaks at one moment was on one;
                // a failed dial is taken for a death, which may hurt at the worker's connection limit.
                let again = outcome == Outcome::Reset && std::mem::replace(&mut w.broke, now) == now;
                let broke = if again { 0.0 } else { FAILED };
                self.judge(now, worker, if outcome == Outcome::Reset { broke } else { DEAD });
                if self.workers[&worker].suspect {
                    let w = self.workers.entry(worker).or_default();
                    w.forget_copies();
                    w.cold_since = w.cold_since.max(Some(now));
                }
            }
            Outcome::Miss | Outcome::Error if copy == CopyReport::LoadFailed => {
                (belief.copies, belief.seen, belief.hint) = (Copies::Unknown, now, None);
                self.host.observed(worker, function, Hint::Gone, 0);
            }
            Outcome::Miss => {
                (belief.copies, belief.seen, belief.hint) = (Copies::Unknown, now, None);
                self.host.observed(worker, function, Hint::Gone, 0);
                self.order(now, worker, function);
            }
            Outcome::Error => self.judge(now, worker, FAILED),
            Outcome::Ok | Outcome::TimeOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            if done || rpc.done {
                self.close(id);
            } else if rpc.open() == 0 && !rpc.waiting {
                rpc.waiting = true;
                self.lines[1].push_back(id);
            }
        }
        self.serve(now);
    }

    pub fn load_ended(
        &mut self, now: Time, worker: WorkerId, function: FunctionId, outcome: Outcome, copies: u64,
    ) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        let belief = w.beliefs.entry(function).or_default();
        if outcome == Outcome::Ok && copies > 0 {
            (belief.copies, belief.seen) = (Copies::Warm(now), now);
            self.host.observed(worker, function, Hint::Warm, belief.mine);
        } else if belief.copies == Copies::Loading && belief.mine == 0 {
            (belief.copies, belief.seen, belief.hint) = (Copies::Unknown, now, None);
            self.host.observed(worker, function, Hint::Gone, 0);
        }
        self.serve(now);
    }

    pub fn timer_fired(&mut self, now: Time, id: TimerId) {
        let due = |r: &Rpc| !r.done && !r.streaming && r.deadline <= now;
        if id == TICK_TIMER {
            self.host.set_timer(TICK, TICK_TIMER);
            // Guards against my own stall: answers that came meanwhile are read before workers are judged.
            if now - std::mem::replace(&mut self.ticked, now) <= STALL {
                self.sweep(now);
                self.serve(now);
            }
        } else if self.rpcs.get(&RpcId(id.0)).is_some_and(due) {
            self.give_up(now, RpcId(id.0));
        }
    }

    // Settings and what follows from them.

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

    fn of_method(&self, method: MethodId, name: &str) -> Option<&Value> {
        self.settings.get("requestClasses")?.get(method.0)?.get(name)
    }

    fn aim(&self, method: MethodId) -> f64 {
        self.of_method(method, "aim").and_then(Value::as_f64).unwrap_or(1000.0)
    }

    fn schedulers(&self) -> f64 {
        self.settings.get("instances").and_then(Value::as_f64).unwrap_or(1.0).max(1.0)
    }

    fn slots(&self) -> f64 {
        (CEILING_LANES * self.lanes.mean).max(2.0)
    }

    /// A worker's size against the mean of those listed, where the list tells sizes.
    fn sizes_told(&self) -> bool {
        let told = self.settings.get("weightKind").and_then(Value::as_str);
        matches!(told, Some("nominal" | "rough")) && self.mean_size > 0.0
    }

    fn size(&self, w: &Worker, known: bool) -> f64 {
        if known {
            w.size / self.mean_size
        } else {
            1.0
        }
    }

    fn ready(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|w| w.standing == Lifecycle::Ready)
    }

    /// Whether a further attempt to `worker`, or a denial (no worker), keeps the rule on repeated effects.
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

    fn harmless_to_any(&self, now: Time, rpc: &Rpc) -> bool {
        self.ready().any(|w| self.harmless(now, rpc, Some(w)))
    }

    // The design: filter, score, coalesce.

    fn keep(&self) -> Time {
        self.span("familyInfo", "keepAlive")
    }

    fn affinity(now: Time, keep: Time, w: &Worker, belief: Option<&Belief>) -> f64 {
        let stands = |b: &&Belief| matches!(b.copies, Copies::Warm(used) if now - used <= keep);
        let hinted = match belief.and_then(|b| b.hint).filter(|(_, at)| now - *at <= keep) {
            Some((Hint::Warm, _)) => HINTED_WARM,
            Some((Hint::Loading, _)) => HINTED_LOADING,
            _ => 0.0,
        };
        let own = match belief.map_or(Copies::Unknown, |b| b.copies) {
            Copies::Warm(_) if belief.is_some_and(|b| b.mine > 0) => 1.0,
            Copies::Warm(used) if now - used <= RECENT.min(keep) => 1.0,
            Copies::Warm(used) if now - used <= keep => WARM,
            Copies::Loading => LOADING,
            Copies::Warm(_) => IMAGE,
            Copies::Unknown if w.beliefs.values().filter(stands).take(4).count() < 4 => 0.3,
            Copies::Unknown => 0.0,
        };
        own.max(hinted)
    }

    fn affinity_at(&self, now: Time, at: WorkerId, function: FunctionId) -> f64 {
        let w = &self.workers[&at];
        Self::affinity(now, self.keep(), w, w.beliefs.get(&function))
    }

    /// The workers with room that the rules let an RPC go to, scored; the crowded ones are marked.
    fn candidates(&self, now: Time, rpc: &Rpc) -> Vec<Candidate> {
        let keep = self.keep();
        let told = self.part("loadInfo", "names").and_then(Value::as_array);
        let told = told.is_some_and(|n| n.iter().any(|n| n == "utilization"));
        let usual = self.methods.get(&rpc.method).map_or(0.0, |p| p[1].mean);
        let (known, slots, aim) = (self.sizes_told(), self.slots(), self.aim(rpc.method));
        let (mut utils, mut reports) = (0.0, 0.0);
        let (mut count, mut mine, mut homes) = (0.0, 0.0, 0.0);
        // Against the workers' harmonic mean: where most RPCs go to hot workers their own mean hides it.
        let (mut paced, mut fastness) = (0.0, 0.0);
        let mut ready = Vec::with_capacity(self.workers.len());
        for (&id, w) in &self.workers {
            if let Some(util) = w.util {
                (utils, reports) = (utils + util, reports + 1.0);
            }
            if w.standing != Lifecycle::Ready {
                continue;
            }
            let belief = w.beliefs.get(&rpc.function);
            let affinity = Self::affinity(now, keep, w, belief);
            let slowness = w.slowness_now(now, FADES);
            (count, mine) = (count + 1.0, mine + w.mine as f64);
            if w.paced > Time(0) {
                (paced, fastness) = (paced + 1.0, fastness + 1.0 / slowness.max(0.1));
            }
            homes += if affinity >= HINTED_LOADING { 1.0 } else { 0.0 };
            ready.push((id, w, belief, affinity, slowness));
        }
        let mean = mine / f64::max(count, 1.0);
        let lacking = if reports == 0.0 { 0.5 } else { utils / reports };
        let fastness = fastness / f64::max(paced, 1.0);
        let few = homes < LATE_SHARE * count;
        let mut all = Vec::with_capacity(ready.len());
        for (id, w, belief, affinity, slowness) in ready {
            let (mine, size) = (w.mine as f64, self.size(w, known));
            // Guards against copies that others crowd and workers that are slow, ageing or hot: both count as
            // deeper. Trouble of the whole fleet moves the usual instead. May hurt where old: beliefs fade.
            let others = belief.map_or(0.0, |b| b.others_now(now, FADES));
            let here = (others + belief.map_or(0.0, |b| b.mine as f64) + 1.0) * slowness;
            let crowd = CROWD * mean * size + (SLACK_LANES * rpc.lanes).max(1.0);
            let ceiling = w.ceiling.min((slots * size).max(1.0));
            let loads = belief.is_none_or(|b| b.no_load_until <= now);
            let takes = w.full_until <= now && (affinity >= LOADING || loads);
            // Where only the connection broke the copy still stands: any other worker may have to load one.
            let fresh = rpc.outs.iter().all(|o| o.worker != id || o.never_ran || o.broke);
            let room = mine < ceiling && takes && fresh && !w.suspect;
            if !room || !self.budget_left(now, w) || !self.harmless(now, rpc, Some(w)) {
                continue;
            }
            let util = faded(w.util.unwrap_or(lacking), lacking, now - w.probed, FADES);
            let idle = 1.0 - if told { util.clamp(0.0, 1.0) } else { util / (util + lacking).max(0.1) };
            let depth = (mine + others + 1.0) * slowness;
            let free = 1.0 - (depth / ceiling).min(1.0);
            let score = AFFINITY_WEIGHT * affinity + QUEUE_WEIGHT * free + UTIL_WEIGHT * idle;
            let late = few && slowness * fastness > LATE.0 && slowness * usual > LATE.1 * aim;
            let crowded = late || mine >= crowd || here >= CROWD * rpc.lanes + 2.0;
            let (copies, memory) = (here / (CROWD * rpc.lanes), w.memory);
            all.push(Candidate { id, affinity, score, crowded, depth, copies, memory });
        }
        all
    }

    /// Chooses the worker for an RPC's next attempt; none: it waits.
    fn pick(&mut self, now: Time, id: RpcId) -> Option<WorkerId> {
        let function = self.rpcs[&id].function;
        let mut all = self.candidates(now, &self.rpcs[&id]);
        // New loads go to the first in the function's rendezvous order, where load allows.
        all.sort_by_cached_key(|c| home_rank(function, c.id));
        // As many homes are alike as copies are told in use at one; a large fleet has more from the start.
        let start = USUAL_SHARE * self.ready().count() as f64;
        let mut alike = all.iter().map(|c| c.copies).fold(start, f64::max);
        let mut home = 0.0;
        for c in &mut all {
            let new = if c.affinity < HINTED_WARM { home - MEMORY_WEIGHT * c.memory } else { 0.0 };
            c.score += new + 1e-9 * self.rng.rand_float();
            if !c.crowded {
                alike -= 1.0;
                home = if alike < 1.0 { (home - HOME_WEIGHT) / 2.0 } else { home };
            }
        }
        let best = all.iter().filter(|c| !c.crowded).max_by(|a, b| a.score.total_cmp(&b.score));
        if let Some(best) = best.filter(|b| b.affinity >= HINTED_WARM) {
            return Some(best.id);
        }
        // Every pick left would start a load. A crowded worker believed warm that has room takes the RPC, and
        // a copy is ordered where the load would have gone; else the RPC queues behind a load under way.
        let least = |fits: &dyn Fn(&Candidate) -> bool| {
            all.iter().filter(|c| fits(c)).min_by(|a, b| a.depth.total_cmp(&b.depth)).map(|c| c.id)
        };
        let loading = least(&|c| (HINTED_LOADING..=LOADING).contains(&c.affinity));
        if let Some(to) = least(&|c| c.affinity >= HINTED_WARM) {
            if let (None, Some(best)) = (loading, best) {
                self.order(now, best.id, function);
            }
            return Some(to);
        }
        if loading.is_some() {
            // Held for a load of my own only: whoever told of another may be gone before it tells of its end.
            let own = all.iter().any(|c| c.affinity == LOADING);
            let held = self.part("familyInfo", "whenAbsent").is_some_and(|told| told == "miss");
            return loading.filter(|_| !(held && own));
        }
        best.map(|b| b.id).or_else(|| least(&|_| true))
    }

    fn send(&mut self, now: Time, id: RpcId, to: WorkerId) {
        let affinity = self.affinity_at(now, to, self.rpcs[&id].function);
        let (warm, loads) = (affinity >= WARM, affinity < HINTED_WARM);
        let pull = self.part("loadInfo", "how").is_some_and(|how| how == "pull");
        let probes = pull && self.allowed("limits", "probes");
        let (Some(rpc), Some(w)) = (self.rpcs.get_mut(&id), self.workers.get_mut(&to)) else { return };
        rpc.waiting = false;
        let tenant = rpc.tenant;
        (w.mine, w.last_sent) = (w.mine + 1, now);
        let belief = w.beliefs.entry(rpc.function).or_default();
        let (open, never_ran, full, broke, beside, overdue) = (true, false, false, false, belief.mine, 0);
        rpc.outs.push(Attempt { worker: to, sent: now, open, never_ran, full, broke, warm, beside, overdue });
        belief.mine += 1;
        let function = rpc.function;
        if loads && std::mem::replace(&mut belief.copies, Copies::Loading) != Copies::Loading {
            self.host.observed(to, function, Hint::Loading, belief.mine);
        }
        self.host.attempt(id, to, Time(0));
        // Probes follow the RPCs taken, to the workers chosen: their number does not grow with the fleet.
        if probes && self.probes >= 1.0 && now - w.probed >= REPORT_AGE {
            w.probed = now;
            self.probes -= 1.0;
            self.host.probe(to);
        }
        self.weigh(tenant, warm, 1.0);
    }

    // 1. Health.

    /// Adds evidence (a log-likelihood ratio) for or against a worker's health. Guards against workers that
    /// fail fast or hang; should hold for anything that shows in outcomes. With a third of the fleet suspect
    /// the trouble is not the worker's. May hurt where a tenant's own RPCs always fail: its workers look ill.
    fn judge(&mut self, now: Time, id: WorkerId, evidence: f64) {
        let (at, no) = (now.0, id.0);
        let Some(w) = self.workers.get_mut(&id) else { return };
        w.evidence = (w.evidence + evidence).clamp(0.0, EVIDENCE_CAP);
        let (evidence, suspect) = (w.evidence, w.suspect);
        if suspect && evidence <= CLEARED_AT {
            w.suspect = false;
            self.host.log(&format!("{at}: worker {no} cleared, evidence {evidence:.1}"));
        } else if !suspect && evidence >= SUSPECT_AT {
            let ready = self.ready().count() as f64;
            let suspects = self.ready().filter(|w| w.suspect).count() as f64 + 1.0;
            if suspects <= (ready * EJECT_SHARE).max(1.0) {
                self.workers.entry(id).or_default().suspect = true;
                let line =
                    format!("{at}: worker {no} suspect, evidence {evidence:.1}, {suspects} of {ready}");
                self.host.log(&line);
            }
        }
    }

    /// Another scheduler saw this of a function at a worker so long ago. It counts for less than what I have
    /// seen myself, and for nothing once I have seen more, past keep-alive, or if the worker started since.
    /// Guards against a fleet in which each scheduler finds every copy anew. May hurt where it is wrong: an
    /// RPC begins a load there, as it would have elsewhere.
    pub fn hint_received(
        &mut self, now: Time, worker: WorkerId, function: FunctionId, hint: Hint, held: u64, age: Time,
    ) {
        let at = now - age;
        let Some(w) = self.workers.get_mut(&worker) else { return };
        let belief = w.beliefs.entry(function).or_default();
        let told = belief.hint.map_or(Time(0), |h| h.1).max(w.cold_since.unwrap_or_default());
        if at <= told.max(belief.seen) {
            return;
        }
        belief.hint = Some((hint, at));
        if hint == Hint::Full {
            belief.no_load_until = belief.no_load_until.max(at + HINTED_FULL);
        } else if hint == Hint::Warm {
            let others = held.min(HINTED_HELD).saturating_sub(belief.mine) as f64;
            belief.tell(now, others, FADES, step(now - belief.told));
        }
    }

    /// A load report came, with an answer or alone.
    pub fn load_report_received(&mut self, now: Time, worker: WorkerId, report: &[f64]) {
        let names = self.part("loadInfo", "names").and_then(Value::as_array);
        let value = |name: &str| report.get(names?.iter().position(|n| n == name)?).copied();
        // Where no report holds utilisation, the RPCs held there stand for it, against the mean of others.
        let util = value("utilization").or(value("outstanding")).or(value("backlog"));
        let memory = value("x0");
        if let Some(w) = self.workers.get_mut(&worker).filter(|_| !report.is_empty()) {
            w.probed = now;
            (w.util, w.memory) = (util.or(w.util), memory.unwrap_or(w.memory));
        }
    }

    /// How long an attempt may take before it counts as overdue.
    fn limit(&self, method: MethodId, warm: bool) -> Time {
        let usual = self.methods.get(&method).map(|p| p[usize::from(warm)]).unwrap_or_default();
        let unknown = if warm { 1.0 } else { 3.0 } * self.aim(method);
        Time::from_ms(if usual.n < 5.0 { unknown } else { 2.0 * usual.mean + 3.0 * usual.dev })
    }

    // 2. Slow start.

    /// Guards against schedulers that together push a cold worker over. Each gives it its present share of
    /// capacity times what this scheduler gets answered by a worker of its size on the mean: no fleet answers
    /// more than its capacity, so the sum stays under the stated multiple, also when retries swell what is
    /// taken. One attempt a slot, at times of its own, keeps those with a part under one a window to it.
    fn budget_left(&self, now: Time, w: &Worker) -> bool {
        let Some(since) = w.cold_since else { return true };
        let within = self.span("contract", "warmWithin");
        if now - since >= within {
            return true;
        }
        let fall = self.span("contract", "fall");
        let (age, from) = (now - since, self.number("contract", "startCapacity", 0.2));
        let capacity = from + (1.0 - from) * age.0 as f64 / within.0.max(1) as f64;
        let per_window = self.rate * fall.ms() * self.size(w, self.sizes_told()) / self.most_ready.max(1.0);
        let budget = COLD_PART * self.number("contract", "fallMultiple", 2.0) * capacity * per_window;
        // In steps of two, that a rate that moves does not open one slot after the other.
        let gap = fall.ms() * budget.max(1.0 / self.schedulers()).log2().floor().exp2().recip();
        // Slots lapse unused: else all schedulers spend theirs at once when a function's home moves here.
        // Slots of half the length begin where longer ones do, and half way: a step opens few at once.
        let into = (age.ms() + w.phase * PHASES * fall.ms()) % gap.max(0.1);
        // A slot's length apart, also where one was used late or slots have just grown shorter.
        let unspent = w.last_sent + Time::from_ms(gap) <= now || w.last_sent < since;
        unspent && into <= fall.ms() / 2.0
    }

    // 3. The second line.

    /// Tries an RPC's first attempt; true: it has to wait.
    fn first_attempt(&mut self, now: Time, id: RpcId) -> bool {
        let waits = self.admit(now, id);
        let to = if waits == Some(false) { self.pick(now, id) } else { None };
        match to {
            None if waits.is_none() || self.hopeless(now, id) => self.give_up(now, id),
            Some(to) if self.loads_rationed(now, to, id) => self.give_up(now, id),
            Some(to) => self.send(now, id, to),
            None => return true,
        }
        false
    }

    /// Tries an RPC's further attempt; true: it has to wait. One beside an open attempt goes only where a
    /// copy is believed warm, and does not wait. What proves that it never ran costs nothing of the budget.
    /// Turned away by two workers at which it would have begun a load, or failed by two loads, an RPC begins
    /// none elsewhere: a store that turns fetches away does so whoever asks. Guards
    /// against schedulers that each scatter a function's loads beyond its homes: these turn away further
    /// loads, and the fleet stays so. Should hold for any lack of room for loads. May hurt a small fleet
    /// where a third worker alone has room: the function's next RPCs find it.
    fn further_attempt(&mut self, now: Time, id: RpcId) -> bool {
        let rpc = &self.rpcs[&id];
        let beside = rpc.open() > 0;
        let cost = if rpc.outs.last().is_some_and(|o| o.never_ran) { 0.0 } else { 1.0 };
        let most = self.number("limits", "maxAttempts", f64::MAX);
        let (limit, out, _) = self.load(rpc.tenant);
        let possible = if beside { out <= CLOSE * limit } else { self.harmless_to_any(now, rpc) };
        let possible = possible && (rpc.outs.len() as f64) < most;
        let to = if possible && self.retries >= cost { self.pick(now, id) } else { None };
        let rpc = &self.rpcs[&id];
        let turned_away = rpc.outs.iter().filter(|o| o.full && !o.warm).count() >= LOADS_TRIED;
        let least = if beside {
            HINTED_WARM
        } else if turned_away {
            LOADING
        } else {
            0.0
        };
        match to.filter(|to| self.affinity_at(now, *to, rpc.function) >= least) {
            Some(to) => {
                self.retries -= cost;
                self.send(now, id, to);
            }
            None if beside => self.rpcs.get_mut(&id).into_iter().for_each(|r| r.waiting = false),
            None if !possible || self.hopeless(now, id) => self.give_up(now, id),
            None => return true,
        }
        false
    }

    /// Serves first attempts, then further ones, until a few have found no room.
    fn serve(&mut self, now: Time) {
        for no in 0..self.lines.len() {
            let (mut stuck, mut left) = (0, self.lines[no].len());
            while stuck < STUCK && left > 0 {
                left -= 1;
                let Some(id) = self.lines[no].pop_front() else { break };
                if self.rpcs.get(&id).is_none_or(|r| r.done || !r.waiting) {
                    continue;
                }
                if if no == 0 { self.first_attempt(now, id) } else { self.further_attempt(now, id) } {
                    self.lines[no].push_back(id);
                    stuck += 1;
                }
            }
        }
    }

    /// Looks for overdue attempts: each is evidence against its worker, and earns a further attempt beside
    /// it where that is allowed. Then keeps the books short.
    fn sweep(&mut self, now: Time) {
        let mut late: Vec<(RpcId, usize, WorkerId)> = Vec::new();
        for (&id, rpc) in &self.rpcs {
            for (no, out) in rpc.outs.iter().enumerate().filter(|(_, o)| o.open && o.overdue < 3) {
                let limit = self.limit(rpc.method, out.warm);
                if now - out.sent > Time(limit.0 << out.overdue) {
                    late.push((id, no, out.worker));
                }
            }
        }
        for (id, no, worker) in late {
            // Silence is evidence, slowness under load is not: only if it answered nothing since.
            let silent = self.rpcs[&id].outs[no].sent >= self.workers[&worker].heard;
            if silent {
                self.judge(now, worker, SILENT);
            }
            let second = self.allowed("limits", "secondCopies") && self.harmless_to_any(now, &self.rpcs[&id]);
            let Some(rpc) = self.rpcs.get_mut(&id) else { continue };
            rpc.outs[no].overdue += 1;
            let first = (rpc.outs[no].overdue == 1).then_some((rpc.tenant, rpc.outs[no].warm));
            let fits = !rpc.done && !rpc.streaming && !rpc.waiting && rpc.open() == 1;
            if second && fits && (silent || rpc.outs[no].overdue > 1) {
                rpc.waiting = true;
                self.lines[1].push_back(id);
            }
            if let Some((tenant, warm)) = first {
                self.weigh(tenant, warm, -1.0);
            }
        }
        // The rate is over many answers, that one busy moment is not taken for the usual.
        let n = self.answered.len().min(RATE_ANSWERS);
        let over = self.answered.iter().rev().nth(n.saturating_sub(1)).map_or(Time(0), |&first| now - first);
        self.rate = n.saturating_sub(1) as f64 / over.max(LEAST_RATE_OVER).ms();
        self.best_rate = self.rate.max(self.best_rate * FADE);
        self.most_ready = (self.ready().count() as f64).max(self.most_ready * FADE);
        let keep = self.keep();
        let told = |b: &Belief| b.hint.is_some_and(|(_, at)| now - at <= keep);
        for w in self.workers.values_mut() {
            if w.suspect && w.mine == 0 {
                w.evidence = (w.evidence - FADING * TICK.ms()).max(0.0);
                w.suspect = w.evidence > CLEARED_AT;
            }
            w.beliefs.retain(|_, b| {
                let stands = match b.copies {
                    Copies::Warm(used) => now - used <= keep + keep,
                    copies => copies != Copies::Unknown || b.no_load_until > now,
                };
                b.mine > 0 || stands || told(b)
            });
        }
        self.forget_gone(now);
        for times in [&mut self.taken, &mut self.answered, &mut self.orders] {
            while times.front().is_some_and(|&t| t + KEEP < now) {
                times.pop_front();
            }
        }
    }

    /// A worker long gone is forgotten once nothing is out to it and no RPC still asks where it was: a daemon
    /// runs for months, and every RPC walks what is kept.
    fn forget_gone(&mut self, now: Time) {
        let over = |w: &Worker| w.standing == Lifecycle::Gone && w.mine == 0 && w.told + KEEP < now;
        if self.workers.values().any(over) {
            let asked: BTreeSet<_> = self.rpcs.values().flat_map(|r| &r.outs).map(|o| o.worker).collect();
            self.workers.retain(|id, w| !over(w) || asked.contains(id));
        }
    }

    // 4. Copies.

    /// Orders one copy, within the ration; the worker counts as loading it from then on.
    fn order(&mut self, now: Time, at: WorkerId, function: FunctionId) {
        let window = self.span("familyInfo", "loadsWithin");
        let share = self.number("familyInfo", "loadShare", 0.0);
        let most = self.number("familyInfo", "loadFloor", 0.0) + share * recent(&self.taken, now, window);
        let spent = window > Time(0) && recent(&self.orders, now, window + Time(1)) + 1.0 > most;
        let may = self.allowed("familyInfo", "mayOrder") && !spent;
        let Some(w) = self.workers.get_mut(&at).filter(|w| may && w.standing == Lifecycle::Ready) else {
            return;
        };
        w.beliefs.entry(function).or_default().copies = Copies::Loading;
        self.orders.push_back(now);
        self.host.observed(at, function, Hint::Loading, 0);
        self.host.load(at, function, 1);
    }

    // 5. Admission.

    /// What may be out at warm copies so that answers come in half the soft deadline (Little's law on my own
    /// answers), and what is out, in all and for the tenant. Guards against overload; should hold for what
    /// fills the workers' queues, as answers then come no faster. May hurt just after a long quiet spell.
    fn load(&self, tenant: TenantId) -> (f64, f64, f64) {
        let usual = self.best_rate * TARGET * self.aims.mean;
        let part = PART_OUT * self.ready().count() as f64 / self.schedulers();
        let limit = (usual + CHANCE).max(part);
        (limit, self.out, self.out_of.get(&tenant).copied().unwrap_or(0.0))
    }

    /// An attempt comes or goes. RPCs behind a load count in part; halves add up exactly.
    fn weigh(&mut self, tenant: TenantId, warm: bool, sign: f64) {
        let weight = sign * if warm { 1.0 } else { BEHIND_LOAD };
        self.out += weight;
        *self.out_of.entry(tenant).or_default() += weight;
    }

    /// A method's part of the bound: by its gain for the time of an answer, against the mean of methods.
    fn part_of_bound(&self, method: MethodId) -> f64 {
        let gain = |m: &MethodId| self.of_method(*m, "gain").and_then(Value::as_f64).unwrap_or(1.0);
        let density = |m: &MethodId| gain(m) / self.methods.get(m).map_or(1.0, |p| p[1].mean.max(1.0));
        let mean = self.methods.keys().map(density).sum::<f64>() / self.methods.len().max(1) as f64;
        (density(&method) / mean.max(1e-9)).clamp(PARTS.0, PARTS.1)
    }

    /// Whether an RPC has to wait; none: near the bound, its tenant is over its share or its time too short.
    fn admit(&self, now: Time, id: RpcId) -> Option<bool> {
        let tenant = self.rpcs[&id].tenant;
        let (limit, out, of_tenant) = self.load(tenant);
        let share = self.settings.get("tenants").and_then(|l| l.get(tenant.0)?.get("share")?.as_f64());
        let over = share.is_some_and(|s| of_tenant > s * limit + CHANCE);
        let room = out < self.part_of_bound(self.rpcs[&id].method) * limit || (share.is_some() && !over);
        // Shares are for tenants that meet here: one alone may have all.
        let over = over && of_tenant < out;
        (out <= CLOSE * limit || !(over || self.hopeless(now, id))).then_some(!room)
    }

    /// Whether there are loads enough near the bound: they push out wanted copies and take memory and cores.
    fn loads_rationed(&self, now: Time, to: WorkerId, id: RpcId) -> bool {
        let (limit, out, _) = self.load(self.rpcs[&id].tenant);
        let loading = |w: &Worker| w.beliefs.values().filter(|b| b.copies == Copies::Loading).count();
        out > CLOSE * limit
            && self.affinity_at(now, to, self.rpcs[&id].function) < IMAGE
            && self.workers.values().map(loading).sum::<usize>() * 8 >= self.workers.len()
    }

    /// Whether an RPC that waits can no longer be in time. Guards against queues that make every answer late;
    /// should hold for any overload. May hurt where a late answer is worth nearly as much as one in time.
    fn hopeless(&self, now: Time, id: RpcId) -> bool {
        let rpc = &self.rpcs[&id];
        let aim = rpc.taken + Time::from_ms(self.aim(rpc.method));
        let usual = self.methods.get(&rpc.method).map_or(0.0, |p| p[1].mean);
        now + Time::from_ms(usual) > aim.min(rpc.deadline)
    }

    /// The final answer for an RPC that cannot be answered in time: a denial where that is harmless.
    fn give_up(&mut self, now: Time, id: RpcId) {
        if self.harmless(now, &self.rpcs[&id], None) {
            let advised = self.allowed("limits", "retryAfter");
            let most = if advised { self.span("limits", "maxRetryAfter") } else { Time(0) };
            self.host.deny(id, Time(most.0 / 2));
        } else {
            self.host.abort(id);
        }
        self.close(id);
    }

    /// Nothing more is owed for an RPC; its open attempts are ended, and it is kept until they have.
    fn close(&mut self, id: RpcId) {
        let may_cancel = self.allowed("limits", "mayCancel");
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut rpc.done, true);
        if rpc.open() == 0 {
            self.rpcs.remove(&id);
        } else if first && may_cancel {
            for (no, _) in rpc.outs.iter().enumerate().filter(|(_, o)| o.open) {
                self.host.cancel(id, AttemptNumber(no));
            }
        }
    }
}
