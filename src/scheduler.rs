//! All decisions of one scheduler. The host starts it with `Scheduler::start` (a `Host`, a random seed and the
//! settings) and then calls one method for each event, with the current time: `rpc_received`, `attempt_ended`,
//! `load_ended`, `load_report_received`, `worker_listed` ... The scheduler acts by calling the host (src/host.rs).
//!
//! The ordinary path (`pick_worker`): leave out workers that drain or are full, score the rest by affinity to the
//! function, queue depth and utilization, take the best, and let RPCs share a load that is under way. Six mechanisms
//! complete it:
//! 1. health: a sequential test on outcomes and overdue attempts; suspect workers are ejected (`add_evidence`)
//! 2. slow start: a budget of attempts for a cold worker (`cold_budget_left`)
//! 3. retries: further attempts come after first ones, within a retry budget (`serve_queues`, `sweep`)
//! 4. copies: one more copy of a crowded function is ordered on another worker, within a rate limit (`order_load`)
//! 5. admission: an RPC that cannot be answered in time is denied at once, where that is safe (`give_up`)
//! 6. lease: the endpoint list is acted on for as long as no change of it can have been missed (`src/list_lease.rs`)

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;
use serde_json::{Map, Value};

use crate::host::Host;
use crate::list_lease::{ListLease, ListLeaseTerms};
use crate::state::{decayed, Attempt, Belief, CopyState, Rpc, Worker};
use crate::types::*;

// Weights of a candidate's score.
const AFFINITY_WEIGHT: f64 = 0.5;
const QUEUE_WEIGHT: f64 = 0.15;
const UTIL_WEIGHT: f64 = 0.15;
/// Draws a new load to the first workers in a function's rendezvous order, which is the same at every scheduler.
const PREFERRED_WEIGHT: f64 = 0.5;
const MEMORY_WEIGHT: f64 = 0.3;
/// Share of the ready workers that are equally preferred for a function before any of its copies is in use.
const PREFERRED_SHARE: f64 = 0.03;
// Affinity of a worker to a function, by its copy; see `affinity`.
const AFFINITY_WARM: f64 = 0.8;
const AFFINITY_LOADING: f64 = 0.5;
/// Hints of other schedulers (a warm copy, a load under way) count for less than this scheduler's own observations.
const AFFINITY_HINTED_WARM: f64 = 0.6;
const AFFINITY_HINTED_LOADING: f64 = 0.45;
// Constants of type `Time` are in tenths of a millisecond.
/// Pause in loads at a worker after another scheduler reported 'full', and the most RPCs held that a hint counts for.
/// Both are bounded so that the effect of a wrong hint fades within half a minute.
const HINTED_FULL_HOLD: Time = Time(10_000);
const MAX_HINTED_RPCS: u64 = 256;
/// Affinity past keep-alive: the function's image may be left on the worker's disk.
const AFFINITY_IMAGE: f64 = 0.4;
/// Assumed capacity of a worker of mean size, in copies' worth of lanes. Workers whose loads take seconds run many RPCs
/// at a time.
const ASSUMED_COPIES: f64 = 4.0;
/// Basic pause after a 'full' reply; each such reply in a row doubles it, up to four times.
const FULL_HOLD: Time = Time(500);
/// A worker is crowded at this multiple of the mean number of attempts in flight, and a copy at this multiple of its
/// lanes.
const CROWDED_FACTOR: f64 = 1.25;
/// Copies' worth of lanes that a worker may be above that multiple of the mean.
const CROWDED_SLACK_LANES: f64 = 0.5;
/// Running estimates from answers (`observation_weight`): the least weight of a new observation, the gap since the last
/// one at which it weighs as much as all before, and the half-life.
const MIN_OBSERVATION_WEIGHT: f64 = 0.15;
const EQUAL_WEIGHT_GAP_MS: f64 = 1500.0;
const ESTIMATE_HALF_LIFE_MS: f64 = 5000.0;
/// A worker counts as crowded if its answers take this multiple of the fleet's, and this share of the soft deadline.
const LATE_THRESHOLDS: (f64, f64) = (1.5, 0.5);
/// A function with copies on a larger share of the fleet spreads no further for late answers: memory would thrash.
const LATE_SPREAD_SHARE: f64 = 0.07;
/// A copy used within this time has full affinity.
const RECENT_USE: Time = Time(20_000);
const TICK_INTERVAL: Time = Time(200);
/// A gap between ticks above this is a stall of this scheduler's own process.
const STALL_THRESHOLD: Time = Time(1_000);
const TICK_TIMER: TimerId = TimerId(u64::MAX >> 1);
/// Probes allowed for each RPC received, and the age from which a load report is requested again.
const PROBES_PER_RPC: f64 = 0.2;
const MAX_REPORT_AGE: Time = Time(5_000);
/// How long events, and workers that are gone, are kept.
const HISTORY_RETENTION: Time = Time(300_000);
/// Times of received RPCs that are kept. A client that sends at full speed would otherwise fill the memory.
const MAX_RECEIVED_TIMES: usize = 65_536;
const NO_LIMIT: Time = Time(u64::MAX);
/// Workers that one RPC asks whether they drain, at a time.
const MAX_DRAIN_QUERIES: usize = 2;
// Evidence of an outcome (a log-likelihood ratio that the worker is failing), and the thresholds of the test.
const EVIDENCE_OK: f64 = -0.5;
const EVIDENCE_SILENT: f64 = 2.0;
const EVIDENCE_FAILED: f64 = 1.5;
const EVIDENCE_DEAD: f64 = 8.0;
const SUSPECT_THRESHOLD: f64 = 8.0;
const CLEARED_THRESHOLD: f64 = 1.0;
const MAX_EVIDENCE: f64 = 12.0;
const EVIDENCE_DECAY_PER_MS: f64 = 0.001;
/// Largest share of the ready workers that is ejected.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Share of a cold worker's budget that is used.
const COLD_BUDGET_SHARE: f64 = 1.0;
/// Windows over which the schedulers' slots at a cold worker are spread; a power of two.
const SLOT_WINDOWS: f64 = 4096.0;
/// Workers at which one RPC tries to begin a load.
const MAX_LOADS_TRIED: usize = 2;
const RETRIES_PER_RPC: f64 = 0.1;
/// Cap of the retry budget and of the probe budget.
const MAX_BUDGET: f64 = 10.0;
/// A queue is served until this many of its RPCs have found no room.
const MAX_BLOCKED: usize = 3;
/// The answer rate is taken over this many answers, and over at least this time.
const RATE_ANSWERS: usize = 400;
const MIN_RATE_WINDOW: Time = Time(10_000);
/// Share of the soft deadline in which answers should come.
const TARGET_DEADLINE_SHARE: f64 = 0.6;
const PEAK_DECAY_PER_TICK: f64 = 0.999;
/// RPCs in flight allowed above the usual number, for random variation.
const IN_FLIGHT_SLACK: f64 = 3.0;
/// Least in-flight limit of all schedulers together, for each ready worker.
const MIN_IN_FLIGHT_PER_WORKER: f64 = 6.0;
/// Bounds of a method's share of the in-flight limit (`method_limit_share`).
const METHOD_SHARE_RANGE: (f64, f64) = (0.85, 1.3);
/// Share of the in-flight limit above which admission, retries and loads are restricted.
const NEAR_LIMIT_SHARE: f64 = 0.6;
/// Weight of an RPC in flight that waits for a load; an RPC at a warm copy has weight 1.
const BEHIND_LOAD_WEIGHT: f64 = 0.5;

/// A running mean and the mean absolute deviation from it: plain for the first 30 values, exponential after them.
#[derive(Clone, Copy, Default)]
struct RunningMean {
    count: f64,
    mean: f64,
    deviation: f64,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(30.0);
        self.deviation += ((value - self.mean).abs() - self.deviation) / self.count;
        self.mean += (value - self.mean) / self.count;
    }
}

/// Answer times in milliseconds: of RPCs that met a load, and (second) of RPCs that met a warm copy.
type AnswerTimes = [RunningMean; 2];

/// A worker as `pick_worker` sees it.
struct Candidate {
    id: WorkerId,
    affinity: f64,
    score: f64,
    crowded: bool,
    /// RPCs in flight at the worker, with the new one, times its slowness.
    depth: f64,
    /// RPCs of the function there, in copies' worth of lanes.
    copies: f64,
    pinned_memory: f64,
    /// Its lease has ended: nothing may be sent until discovery or the worker renews it.
    expired: bool,
}

pub struct Scheduler<H: Host> {
    host: H,
    rng: Rand64,
    settings: Map<String, Value>,
    workers: BTreeMap<WorkerId, Worker>,
    mean_size: f64,
    rpcs: BTreeMap<RpcId, Rpc>,
    /// Weighted RPCs in flight, in total and by tenant: see `in_flight_limit`.
    in_flight: f64,
    tenant_in_flight: BTreeMap<TenantId, f64>,
    answer_times: BTreeMap<MethodId, AnswerTimes>,
    /// RPCs that wait for their first attempt, and (second) for a further one.
    queues: [VecDeque<RpcId>; 2],
    last_tick: Time,
    /// Times of RPCs received, of successful attempts and of load orders, within `HISTORY_RETENTION`.
    received: VecDeque<Time>,
    answered: VecDeque<Time>,
    orders: VecDeque<Time>,
    retry_budget: f64,
    probe_budget: f64,
    /// Lanes and soft deadlines (in milliseconds) of the RPCs received.
    lanes: RunningMean,
    soft_deadlines: RunningMean,
    /// Answers per millisecond. Its recent peak and that of the number of ready workers decay.
    rate: f64,
    peak_rate: f64,
    peak_ready: f64,
    /// The lease on the endpoint list, where the host polls for it.
    lease: Option<ListLease>,
    /// The end of the lease was logged, and its renewal was not.
    lease_end_logged: bool,
}

/// A worker's rank in a function's rendezvous order; every scheduler computes the same one.
fn rendezvous_rank(function: FunctionId, worker: WorkerId) -> u64 {
    let mut x = function.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ worker.0.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}

/// The weight of a new observation against all before it: the longer the gap since the last one, the more.
fn observation_weight(gap: Time) -> f64 {
    (gap.ms() / (gap.ms() + EQUAL_WEIGHT_GAP_MS)).max(MIN_OBSERVATION_WEIGHT)
}

/// Number of these times that lie less than `window` back.
fn count_recent(times: &VecDeque<Time>, now: Time, window: Time) -> f64 {
    times.iter().rev().take_while(|&&t| t + window > now).count() as f64
}

impl<H: Host> Scheduler<H> {
    /// Starts a scheduler. Settings that are absent have defaults.
    pub fn start(host: H, seed: u128, settings: Map<String, Value>) -> Self {
        let mut new = Scheduler {
            host,
            rng: Rand64::new(seed),
            settings,
            workers: BTreeMap::new(),
            mean_size: 0.0,
            rpcs: BTreeMap::new(),
            in_flight: 0.0,
            tenant_in_flight: BTreeMap::new(),
            answer_times: BTreeMap::new(),
            queues: Default::default(),
            last_tick: Time(0),
            received: VecDeque::new(),
            answered: VecDeque::new(),
            orders: VecDeque::new(),
            retry_budget: MAX_BUDGET,
            probe_budget: 0.0,
            lanes: RunningMean::default(),
            soft_deadlines: RunningMean::default(),
            rate: 0.0,
            peak_rate: 0.0,
            peak_ready: 0.0,
            lease: None,
            lease_end_logged: false,
        };
        if new.settings.get("discovery").is_some_and(|d| d == "subscribe") {
            new.host.watch_list();
        }
        new.host.set_timer(TICK_INTERVAL, TICK_TIMER);
        new
    }

    /// The host, for its own use between calls of the scheduler.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// The attempts that this scheduler believes in flight at each worker, for a check against the host's.
    pub fn believed_in_flight(&self) -> impl Iterator<Item = (WorkerId, u64)> + '_ {
        self.workers.iter().map(|(id, w)| (*id, w.own_in_flight)).filter(|(_, own)| *own > 0)
    }

    /// The number of entries in each table, for diagnostics.
    pub fn table_sizes(&self) -> [(&'static str, usize); 4] {
        let beliefs = self.workers.values().map(|w| w.beliefs.len()).sum();
        let moments = self.received.len() + self.answered.len() + self.orders.len();
        let lines = self.queues.iter().map(VecDeque::len).sum();
        [("workers", self.workers.len()), ("beliefs", beliefs), ("moments", moments), ("lines", lines)]
    }

    /// Adds a method; its id is the next index of the settings' list. RPCs of other methods are not affected.
    pub fn method_added(&mut self, method: Value) {
        let all = self.settings.entry("requestClasses").or_insert_with(|| Value::Array(Vec::new()));
        all.as_array_mut().into_iter().for_each(|all| all.push(method.clone()));
    }

    /// Sets the number of schedulers that send to these workers, this one included.
    pub fn instance_count_changed(&mut self, number: u64) {
        self.settings.insert("instances".to_owned(), number.into());
    }

    /// The endpoint list names a worker. `since`: the start of its process, zero if it has been up for long; `size`:
    /// its capacity, in any unit that is the same for all workers.
    pub fn worker_listed(
        &mut self, now: Time, id: WorkerId, lifecycle: Lifecycle, since: Time, zone: ZoneId, cell: CellId,
        size: f64,
    ) {
        let new = !self.workers.contains_key(&id);
        let w = self.workers.entry(id).or_default();
        (w.lifecycle, w.zone, w.cell, w.size, w.listed_at) = (lifecycle, zone, cell, size, now);
        if new || (since != w.started_at && lifecycle == Lifecycle::Ready) {
            // New, or restarted under the same id: it may be cold, and earlier beliefs no longer hold.
            (w.started_at, w.cold_since) = (since, (since > Time(0)).then_some(since));
            (w.evidence, w.suspect, w.ceiling, w.full_until, w.utilization) =
                (0.0, false, f64::MAX, now, None);
            w.slot_phase = self.rng.rand_float();
            w.forget_copies();
        }
    }

    /// The host has passed on all rows of a list; `named` holds all its workers if the list was a complete one.
    pub fn list_received(&mut self, now: Time, named: Option<&BTreeSet<WorkerId>>) {
        for (id, w) in &mut self.workers {
            if w.lifecycle != Lifecycle::Gone && named.is_some_and(|n| !n.contains(id)) {
                (w.lifecycle, w.listed_at) = (Lifecycle::Gone, now);
            }
        }
        self.mean_size =
            self.workers.values().map(|w| w.size).sum::<f64>() / self.workers.len().max(1) as f64;
        self.serve_queues(now);
    }

    /// The subscription to the endpoint list broke.
    pub fn list_failed(&mut self) {
        self.host.watch_list();
    }

    /// From now on nothing is sent past the lease on the endpoint list, which was valid at `confirmed_at`. The host
    /// reports each query to discovery and each answer.
    pub fn lease_list(&mut self, now: Time, confirmed_at: Time, terms: ListLeaseTerms) {
        self.lease = Some(ListLease::new(now, confirmed_at, terms));
    }

    /// Discovery was queried at `at`; the host had passed on all lists received by then.
    pub fn list_queried(&mut self, now: Time, at: Time) {
        self.lease.iter_mut().for_each(|lease| lease.query_sent(at));
        self.serve_queues(now);
    }

    /// Discovery answered the query of `queried_at` with the list that the host has passed on.
    pub fn list_confirmed(&mut self, now: Time, queried_at: Time) {
        let Some(lease) = &mut self.lease else { return };
        let age = lease.age(now).ms();
        lease.confirm(now, queried_at);
        if std::mem::take(&mut self.lease_end_logged) {
            self.host.log(&format!("the endpoint list is confirmed again; the one before was {age} ms old"));
        }
        self.serve_queues(now);
    }

    /// A worker answered the query of `queried_at` whether it drains, or did not answer it.
    /// `is_identified`: the query went out on a connection to the listed process.
    pub fn drain_query_ended(
        &mut self, now: Time, worker: WorkerId, queried_at: Time, outcome: Outcome, is_identified: bool,
    ) {
        let Some(lease) = &mut self.lease else { return };
        if lease.worker_query_ended(now, worker, queried_at, outcome, is_identified) {
            self.host.log(&format!("worker {} drains, by its own answer", worker.0));
        }
        self.serve_queues(now);
    }

    /// A worker served an attempt that was sent to it at `sent_at`, on a connection that was established at
    /// `established_at` (none: it was still being dialled). Only needed where `lease_list` is called;
    /// `attempt_ended` follows. While an old connection to the listed process is up, an answer on a newer one may
    /// come from a process that has taken over its address, and says nothing of the listed one.
    pub fn attempt_served(&mut self, worker: WorkerId, sent_at: Time, established_at: Option<Time>) {
        let Some(lease) = &mut self.lease else { return };
        let listed_at = lease.confirmed_at();
        let is_identified = established_at.is_some_and(|at| at <= listed_at);
        if is_identified || !self.host.is_connected_since(worker, listed_at) {
            lease.attempt_served(worker, sent_at, is_identified);
        }
    }

    /// Until when the lease on the list allows something new to be sent to any ready worker.
    pub fn list_lease_until(&self) -> Time {
        self.lease.as_ref().map_or(NO_LIMIT, ListLease::list_until)
    }

    /// An RPC arrived. `time_left`: until its deadline; `lanes`: RPCs that one copy of the function runs at a time.
    pub fn rpc_received(
        &mut self, now: Time, id: RpcId, method: MethodId, function: FunctionId, tenant: TenantId,
        time_left: Time, lanes: f64,
    ) {
        self.record_received(now);
        self.lanes.add(lanes);
        self.soft_deadlines.add(self.soft_deadline(method));
        self.retry_budget = (self.retry_budget + RETRIES_PER_RPC).min(MAX_BUDGET);
        self.probe_budget = (self.probe_budget + PROBES_PER_RPC).min(MAX_BUDGET);
        self.host.set_timer(time_left, TimerId(id.0));
        let (received_at, deadline, attempts) = (now, now + time_left, Vec::new());
        let (waiting, done, streaming) = (true, false, false);
        let rpc = Rpc {
            method,
            function,
            tenant,
            lanes,
            received_at,
            deadline,
            attempts,
            waiting,
            done,
            streaming,
        };
        self.rpcs.insert(id, rpc);
        if self.try_first(now, id) {
            self.queues[0].push_back(id);
        }
    }

    /// The client no longer waits for the RPC's answer.
    pub fn rpc_abandoned(&mut self, id: RpcId) {
        self.close(id);
    }

    /// An attempt has begun to stream its answer: no further attempt is made.
    pub fn answer_started(&mut self, id: RpcId) {
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            (rpc.streaming, rpc.waiting) = (true, false);
        }
    }

    /// An attempt ended. `done`: the RPC has its final answer; `rpcs_held`: RPCs of the function that the worker held
    /// when the attempt arrived, as its answer reports.
    pub fn attempt_ended(
        &mut self, now: Time, id: RpcId, number: AttemptNumber, outcome: Outcome, elapsed: Time, done: bool,
        copy: CopyReport, rpcs_held: u64, load_report: &[f64],
    ) {
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let (function, method, tenant) = (rpc.function, rpc.method, rpc.tenant);
        let Some(attempt) = rpc.attempts.get_mut(number.0).filter(|a| a.open) else { return };
        (attempt.open, attempt.never_ran, attempt.connection_broke) =
            (false, outcome.never_ran(), outcome == Outcome::Reset);
        attempt.full = outcome == Outcome::Full || copy == CopyReport::LoadFailed;
        let (worker, sent_at, was_warm, overdue) =
            (attempt.worker, attempt.sent_at, attempt.warm, attempt.overdue);
        let others = rpcs_held.saturating_sub(attempt.own_ahead) as f64;
        if overdue == 0 {
            self.add_in_flight(tenant, was_warm, -1.0);
        }
        self.load_report_received(now, worker, load_report);
        let (slots, keep_alive) = (self.assumed_slots(), self.keep_alive());
        let w = self.workers.entry(worker).or_default();
        w.own_in_flight = w.own_in_flight.saturating_sub(1);
        let responded = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        w.last_answer = if responded { now } else { w.last_answer };
        let belief = w.beliefs.entry(function).or_default();
        belief.own_in_flight = belief.own_in_flight.saturating_sub(1);
        if outcome != Outcome::Ok && belief.copy == CopyState::Loading && belief.own_in_flight == 0 {
            belief.copy = CopyState::Unknown;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Full) {
            belief.record_others(
                now,
                others,
                ESTIMATE_HALF_LIFE_MS,
                observation_weight(now - belief.others_at),
            );
        }
        match outcome {
            Outcome::Ok if w.started_at <= sent_at => {
                (belief.copy, belief.observed_at) = (CopyState::Warm(now), now);
                self.host.observed(worker, function, Hint::Warm, rpcs_held);
                w.ceiling = (w.ceiling + 1.0).min(slots);
                w.consecutive_fulls = 0;
                self.answered.push_back(now);
                let warm = usize::from(!matches!(copy, CopyReport::BeganLoad | CopyReport::WaitedForLoad));
                let answer_time = &mut self.answer_times.entry(method).or_default()[warm];
                answer_time.add(elapsed.ms());
                if warm == 1 {
                    w.record_slowness(
                        now,
                        elapsed.ms() / answer_time.mean.max(1.0),
                        ESTIMATE_HALF_LIFE_MS,
                        observation_weight(now - w.slowness_at),
                    );
                }
                self.add_evidence(now, worker, if overdue == 0 { EVIDENCE_OK } else { 0.0 });
            }
            Outcome::Full => {
                // 'Full' where a copy was believed warm means a full queue. Elsewhere the worker may only lack room for
                // loads, which says nothing of functions that it already has copies of.
                belief.no_load_until = now + Time((4 * FULL_HOLD.0) << w.consecutive_fulls);
                w.consecutive_fulls = (w.consecutive_fulls + 1).min(4);
                let hinted = belief.hint.is_some_and(|(h, at)| h == Hint::Warm && sent_at - at <= keep_alive);
                if was_warm || hinted {
                    w.ceiling = if was_warm { w.own_in_flight.max(1) as f64 } else { w.ceiling };
                    w.full_until = now + Time(FULL_HOLD.0 << w.consecutive_fulls);
                } else {
                    (belief.observed_at, belief.hint) = (now, None);
                    self.host.observed(worker, function, Hint::Full, rpcs_held);
                }
            }
            Outcome::Reset | Outcome::ConnectFailed => {
                // Detects a process that died before the endpoint list shows it, and a network cut. One broken
                // connection is no death, and attempts that break at the same moment were on one connection. A failed
                // connect counts as a death, which is wrong for a worker at its connection limit.
                let again = outcome == Outcome::Reset && std::mem::replace(&mut w.last_broken, now) == now;
                let broken = if again { 0.0 } else { EVIDENCE_FAILED };
                self.add_evidence(
                    now,
                    worker,
                    if outcome == Outcome::Reset { broken } else { EVIDENCE_DEAD },
                );
                if self.workers[&worker].suspect {
                    let w = self.workers.entry(worker).or_default();
                    w.forget_copies();
                    w.cold_since = w.cold_since.max(Some(now));
                }
            }
            Outcome::Miss | Outcome::Error if copy == CopyReport::LoadFailed => {
                (belief.copy, belief.observed_at, belief.hint) = (CopyState::Unknown, now, None);
                self.host.observed(worker, function, Hint::Gone, 0);
            }
            Outcome::Miss => {
                (belief.copy, belief.observed_at, belief.hint) = (CopyState::Unknown, now, None);
                self.host.observed(worker, function, Hint::Gone, 0);
                self.order_load(now, worker, function);
            }
            Outcome::Error => self.add_evidence(now, worker, EVIDENCE_FAILED),
            Outcome::Ok | Outcome::TimeOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            if done || rpc.done {
                self.close(id);
            } else if rpc.open_attempts() == 0 && !rpc.waiting {
                rpc.waiting = true;
                self.queues[1].push_back(id);
            }
        }
        self.serve_queues(now);
    }

    /// A load order ended; `copies`: copies of the function that the worker now holds.
    pub fn load_ended(
        &mut self, now: Time, worker: WorkerId, function: FunctionId, outcome: Outcome, copies: u64,
    ) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        let belief = w.beliefs.entry(function).or_default();
        if outcome == Outcome::Ok && copies > 0 {
            (belief.copy, belief.observed_at) = (CopyState::Warm(now), now);
            self.host.observed(worker, function, Hint::Warm, belief.own_in_flight);
        } else if belief.copy == CopyState::Loading && belief.own_in_flight == 0 {
            (belief.copy, belief.observed_at, belief.hint) = (CopyState::Unknown, now, None);
            self.host.observed(worker, function, Hint::Gone, 0);
        }
        self.serve_queues(now);
    }

    /// A timer fired: the tick, or the deadline of an RPC.
    pub fn timer_fired(&mut self, now: Time, id: TimerId) {
        let due = |r: &Rpc| !r.done && !r.streaming && r.deadline <= now;
        if id == TICK_TIMER {
            self.host.set_timer(TICK_INTERVAL, TICK_TIMER);
            // After a stall of this process, answers that arrived meanwhile are read before workers are judged.
            if now - std::mem::replace(&mut self.last_tick, now) <= STALL_THRESHOLD {
                self.sweep(now);
                self.serve_queues(now);
                self.log_lease_end(now);
            }
        } else if self.rpcs.get(&RpcId(id.0)).is_some_and(due) {
            self.give_up(now, RpcId(id.0));
        }
    }

    /// Whether the firing of this timer would still change anything. The host may forget the others.
    pub fn is_timer_needed(&self, id: TimerId) -> bool {
        id == TICK_TIMER || self.rpcs.get(&RpcId(id.0)).is_some_and(|rpc| !rpc.done)
    }

    // Settings, and values derived from them.

    fn setting(&self, section: &str, name: &str) -> Option<&Value> {
        self.settings.get(section)?.get(name)
    }

    fn number(&self, section: &str, name: &str, default: f64) -> f64 {
        self.setting(section, name).and_then(Value::as_f64).unwrap_or(default)
    }

    fn duration(&self, section: &str, name: &str) -> Time {
        Time::from_ms(self.number(section, name, 0.0))
    }

    fn allowed(&self, section: &str, name: &str) -> bool {
        self.setting(section, name).and_then(Value::as_bool).unwrap_or(false)
    }

    fn method_setting(&self, method: MethodId, name: &str) -> Option<&Value> {
        self.settings.get("requestClasses")?.get(method.0)?.get(name)
    }

    /// The method's soft deadline in milliseconds.
    fn soft_deadline(&self, method: MethodId) -> f64 {
        self.method_setting(method, "aim").and_then(Value::as_f64).unwrap_or(1000.0)
    }

    fn scheduler_count(&self) -> f64 {
        self.settings.get("instances").and_then(Value::as_f64).unwrap_or(1.0).max(1.0)
    }

    /// Attempts that a worker of mean size is assumed to run at a time.
    fn assumed_slots(&self) -> f64 {
        (ASSUMED_COPIES * self.lanes.mean).max(2.0)
    }

    /// Whether the endpoint list gives the workers' sizes.
    fn sizes_known(&self) -> bool {
        let kind = self.settings.get("weightKind").and_then(Value::as_str);
        matches!(kind, Some("nominal" | "rough")) && self.mean_size > 0.0
    }

    /// A worker's size relative to the mean of the listed workers.
    fn relative_size(&self, w: &Worker, known: bool) -> f64 {
        if known {
            w.size / self.mean_size
        } else {
            1.0
        }
    }

    fn ready_workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(|w| w.lifecycle == Lifecycle::Ready)
    }

    /// Whether the method's effect class allows a further attempt to `worker`, or a denial (no worker). While discovery
    /// does not tell, a worker whose address may have passed to another process is in no known zone or cell.
    fn is_repeatable(&self, now: Time, rpc: &Rpc, worker: Option<WorkerId>) -> bool {
        let Some(first) = rpc.attempts.iter().find(|a| a.open || !a.never_ran) else { return true };
        let group = self.method_setting(rpc.method, "group").and_then(Value::as_str);
        match self.method_setting(rpc.method, "effect").and_then(Value::as_str) {
            Some("read_like") => true,
            Some("idempotency_key") => {
                let Some(to) = worker else { return group == Some("all") };
                let (from, to, id) = (&self.workers[&first.worker], &self.workers[&to], to);
                let is_identified = || first.is_identified && self.is_identified(now, id);
                let memory_span =
                    self.method_setting(rpc.method, "memorySpan").and_then(Value::as_f64).unwrap_or(0.0);
                let same_group = match group {
                    Some("all") => true,
                    Some("zone") => to.zone == from.zone && is_identified(),
                    _ => to.cell == from.cell && is_identified(),
                };
                same_group && now < first.sent_at + Time::from_ms(memory_span)
            }
            _ => false,
        }
    }

    fn is_repeatable_anywhere(&self, now: Time, rpc: &Rpc) -> bool {
        let ready = self.workers.iter().filter(|(_, w)| w.lifecycle == Lifecycle::Ready);
        ready.into_iter().any(|(id, _)| self.is_repeatable(now, rpc, Some(*id)))
    }

    // Choice of the worker: filter, score, share loads under way.

    fn keep_alive(&self) -> Time {
        self.duration("familyInfo", "keepAlive")
    }

    /// How well a worker suits a function: from 1 for a copy that was used recently to 0 for a worker without a known
    /// copy that holds four or more other warm copies.
    fn affinity(now: Time, keep_alive: Time, w: &Worker, belief: Option<&Belief>) -> f64 {
        let is_warm = |b: &&Belief| matches!(b.copy, CopyState::Warm(used) if now - used <= keep_alive);
        let hinted = match belief.and_then(|b| b.hint).filter(|(_, at)| now - *at <= keep_alive) {
            Some((Hint::Warm, _)) => AFFINITY_HINTED_WARM,
            Some((Hint::Loading, _)) => AFFINITY_HINTED_LOADING,
            _ => 0.0,
        };
        let own = match belief.map_or(CopyState::Unknown, |b| b.copy) {
            CopyState::Warm(_) if belief.is_some_and(|b| b.own_in_flight > 0) => 1.0,
            CopyState::Warm(used) if now - used <= RECENT_USE.min(keep_alive) => 1.0,
            CopyState::Warm(used) if now - used <= keep_alive => AFFINITY_WARM,
            CopyState::Loading => AFFINITY_LOADING,
            CopyState::Warm(_) => AFFINITY_IMAGE,
            CopyState::Unknown if w.beliefs.values().filter(is_warm).take(4).count() < 4 => 0.3,
            CopyState::Unknown => 0.0,
        };
        own.max(hinted)
    }

    fn affinity_at(&self, now: Time, at: WorkerId, function: FunctionId) -> f64 {
        let w = &self.workers[&at];
        Self::affinity(now, self.keep_alive(), w, w.beliefs.get(&function))
    }

    /// The workers with room to which an RPC may be sent, with their scores; crowded ones are marked.
    fn candidates(&self, now: Time, rpc: &Rpc) -> Vec<Candidate> {
        let keep_alive = self.keep_alive();
        let reported = self.setting("loadInfo", "names").and_then(Value::as_array);
        let reported = reported.is_some_and(|n| n.iter().any(|n| n == "utilization"));
        let mean_answer_ms = self.answer_times.get(&rpc.method).map_or(0.0, |p| p[1].mean);
        let (known, slots, soft_deadline) =
            (self.sizes_known(), self.assumed_slots(), self.soft_deadline(rpc.method));
        let (mut utils, mut reports) = (0.0, 0.0);
        let (mut count, mut own, mut with_copy) = (0.0, 0.0, 0.0);
        // Slowness is compared with the harmonic mean over workers: where most RPCs go to hot workers, the mean over
        // answers would hide that these are slow.
        let (mut measured, mut fastness) = (0.0, 0.0);
        let mut ready = Vec::with_capacity(self.workers.len());
        for (&id, w) in &self.workers {
            if let Some(util) = w.utilization {
                (utils, reports) = (utils + util, reports + 1.0);
            }
            if w.lifecycle != Lifecycle::Ready {
                continue;
            }
            let belief = w.beliefs.get(&rpc.function);
            let affinity = Self::affinity(now, keep_alive, w, belief);
            let slowness = w.slowness_now(now, ESTIMATE_HALF_LIFE_MS);
            (count, own) = (count + 1.0, own + w.own_in_flight as f64);
            if w.slowness_at > Time(0) {
                (measured, fastness) = (measured + 1.0, fastness + 1.0 / slowness.max(0.1));
            }
            with_copy += if affinity >= AFFINITY_HINTED_LOADING { 1.0 } else { 0.0 };
            ready.push((id, w, belief, affinity, slowness));
        }
        let mean_own = own / f64::max(count, 1.0);
        let mean_util = if reports == 0.0 { 0.5 } else { utils / reports };
        let fastness = fastness / f64::max(measured, 1.0);
        let may_spread = with_copy < LATE_SPREAD_SHARE * count;
        let mut all = Vec::with_capacity(ready.len());
        for (id, w, belief, affinity, slowness) in ready {
            let (own, size) = (w.own_in_flight as f64, self.relative_size(w, known));
            // RPCs of other schedulers, and slowness (of an ageing or overloaded worker), increase a worker's depth. A
            // problem of the whole fleet raises the mean answer time instead. Old reports mislead, so they decay.
            let others = belief.map_or(0.0, |b| b.others_now(now, ESTIMATE_HALF_LIFE_MS));
            let at_copy = (others + belief.map_or(0.0, |b| b.own_in_flight as f64) + 1.0) * slowness;
            let crowded_from = CROWDED_FACTOR * mean_own * size + (CROWDED_SLACK_LANES * rpc.lanes).max(1.0);
            let ceiling = w.ceiling.min((slots * size).max(1.0));
            let may_load = belief.is_none_or(|b| b.no_load_until <= now);
            let accepts = w.full_until <= now && (affinity >= AFFINITY_LOADING || may_load);
            // A worker at which an attempt may have run is not tried again. Where only the connection broke it is, as
            // it still has the copy and any other worker might have to load one.
            let untried = rpc.attempts.iter().all(|a| a.worker != id || a.never_ran || a.connection_broke);
            let room = own < ceiling && accepts && untried && !w.suspect;
            if !room || !self.cold_budget_left(now, w) || !self.is_repeatable(now, rpc, Some(id)) {
                continue;
            }
            let util = decayed(
                w.utilization.unwrap_or(mean_util),
                mean_util,
                now - w.last_report,
                ESTIMATE_HALF_LIFE_MS,
            );
            let idle = 1.0 - if reported { util.clamp(0.0, 1.0) } else { util / (util + mean_util).max(0.1) };
            let depth = (own + others + 1.0) * slowness;
            let free = 1.0 - (depth / ceiling).min(1.0);
            let expired = self.send_until(id) < now;
            let score = AFFINITY_WEIGHT * affinity + QUEUE_WEIGHT * free + UTIL_WEIGHT * idle;
            let late = may_spread
                && slowness * fastness > LATE_THRESHOLDS.0
                && slowness * mean_answer_ms > LATE_THRESHOLDS.1 * soft_deadline;
            let crowded = late || own >= crowded_from || at_copy >= CROWDED_FACTOR * rpc.lanes + 2.0;
            let (copies, pinned_memory) = (at_copy / (CROWDED_FACTOR * rpc.lanes), w.pinned_memory);
            all.push(Candidate { id, affinity, score, crowded, depth, copies, pinned_memory, expired });
        }
        all
    }

    /// Chooses the worker for an RPC's next attempt; none: the RPC waits.
    fn pick_worker(&mut self, now: Time, id: RpcId) -> Option<WorkerId> {
        let function = self.rpcs[&id].function;
        let all = self.candidates(now, &self.rpcs[&id]);
        let (expired, mut all): (Vec<_>, Vec<_>) = all.into_iter().partition(|c| c.expired);
        self.query_best(now, function, expired);
        // New loads go to the first workers in the function's rendezvous order that are not crowded.
        all.sort_by_cached_key(|c| rendezvous_rank(function, c.id));
        // The first ones are equally preferred: as many as copies in use, by the largest use at one worker, and in a
        // large fleet at least `PREFERRED_SHARE`.
        let start = PREFERRED_SHARE * self.ready_workers().count() as f64;
        let mut equally_preferred = all.iter().map(|c| c.copies).fold(start, f64::max);
        let mut preference = 0.0;
        for c in &mut all {
            let new_load = if c.affinity < AFFINITY_HINTED_WARM {
                preference - MEMORY_WEIGHT * c.pinned_memory
            } else {
                0.0
            };
            c.score += new_load + 1e-9 * self.rng.rand_float();
            if !c.crowded {
                equally_preferred -= 1.0;
                preference =
                    if equally_preferred < 1.0 { (preference - PREFERRED_WEIGHT) / 2.0 } else { preference };
            }
        }
        let best = all.iter().filter(|c| !c.crowded).max_by(|a, b| a.score.total_cmp(&b.score));
        if let Some(best) = best.filter(|b| b.affinity >= AFFINITY_HINTED_WARM) {
            return Some(best.id);
        }
        // Any uncrowded worker would have to load the function. A crowded one that is believed warm and has room takes
        // the RPC, and a copy is ordered where the load would have gone. Else the RPC waits for a load under way.
        let shallowest = |fits: &dyn Fn(&Candidate) -> bool| {
            all.iter().filter(|c| fits(c)).min_by(|a, b| a.depth.total_cmp(&b.depth)).map(|c| c.id)
        };
        let loading = shallowest(&|c| (AFFINITY_HINTED_LOADING..=AFFINITY_LOADING).contains(&c.affinity));
        if let Some(to) = shallowest(&|c| c.affinity >= AFFINITY_HINTED_WARM) {
            if let (None, Some(best)) = (loading, best) {
                self.order_load(now, best.id, function);
            }
            return Some(to);
        }
        if loading.is_some() {
            // Where workers answer 'miss', RPCs are held back for this scheduler's own loads only: the end of a load
            // that another scheduler reported may never be reported.
            let own = all.iter().any(|c| c.affinity == AFFINITY_LOADING);
            let held_back = self.setting("familyInfo", "whenAbsent").is_some_and(|answer| answer == "miss");
            return loading.filter(|_| !(held_back && own));
        }
        best.map(|b| b.id).or_else(|| shallowest(&|_| true))
    }

    fn send_attempt(&mut self, now: Time, id: RpcId, to: WorkerId) {
        let affinity = self.affinity_at(now, to, self.rpcs[&id].function);
        let (warm, loads) = (affinity >= AFFINITY_WARM, affinity < AFFINITY_HINTED_WARM);
        let pull = self.setting("loadInfo", "how").is_some_and(|how| how == "pull");
        let probes = pull && self.allowed("limits", "probes");
        let send_by = self.send_until(to);
        let is_identified = self.is_identified(now, to);
        let (Some(rpc), Some(w)) = (self.rpcs.get_mut(&id), self.workers.get_mut(&to)) else { return };
        rpc.waiting = false;
        let tenant = rpc.tenant;
        (w.own_in_flight, w.last_sent) = (w.own_in_flight + 1, now);
        let belief = w.beliefs.entry(rpc.function).or_default();
        let (open, never_ran, full, connection_broke, own_ahead, overdue) =
            (true, false, false, false, belief.own_in_flight, 0);
        rpc.attempts.push(Attempt {
            worker: to,
            sent_at: now,
            open,
            never_ran,
            full,
            connection_broke,
            warm,
            own_ahead,
            overdue,
            is_identified,
        });
        belief.own_in_flight += 1;
        let function = rpc.function;
        if loads && std::mem::replace(&mut belief.copy, CopyState::Loading) != CopyState::Loading {
            self.host.observed(to, function, Hint::Loading, belief.own_in_flight);
        }
        self.host.attempt(id, to, Time(0), send_by);
        // Probes go to the workers chosen, in proportion to the RPCs received: their number is independent of the size
        // of the fleet.
        if probes && self.probe_budget >= 1.0 && now - w.last_report >= MAX_REPORT_AGE {
            w.last_report = now;
            self.probe_budget -= 1.0;
            self.host.probe(to);
        }
        self.add_in_flight(tenant, warm, 1.0);
        self.query_if_needed(now, to, function);
    }

    // 6. The lease on the endpoint list.

    /// Until when something new may be sent to a worker.
    fn send_until(&self, worker: WorkerId) -> Time {
        self.lease.as_ref().map_or(NO_LIMIT, |lease| lease.send_until(worker))
    }

    /// Whether a worker is the listed one for certain; see `ListLease::is_identified`. The connection that shows it must
    /// still be up: the process may have gone since.
    fn is_identified(&self, now: Time, worker: WorkerId) -> bool {
        self.lease.as_ref().is_none_or(|lease| {
            lease.is_identified(now, worker)
                && (!lease.is_outage() || self.host.is_connected_since(worker, lease.confirmed_at()))
        })
    }

    /// Asks the best of the workers whose lease has ended whether they drain, if discovery does not tell.
    fn query_best(&mut self, now: Time, function: FunctionId, mut expired: Vec<Candidate>) {
        expired.sort_by(|a, b| b.score.total_cmp(&a.score));
        for candidate in expired.iter().take(MAX_DRAIN_QUERIES) {
            self.query_if_needed(now, candidate.id, function);
        }
    }

    fn query_if_needed(&mut self, now: Time, worker: WorkerId, function: FunctionId) {
        let needed = |lease: &&mut ListLease| lease.needs_query(now, worker);
        if let Some(lease) = self.lease.as_mut().filter(needed) {
            lease.worker_queried(now, worker);
            let established_by = lease.confirmed_at();
            self.host.query_drain(worker, function, established_by);
        }
    }

    /// Logs the end of the lease on the list once.
    fn log_lease_end(&mut self, now: Time) {
        let Some(lease) = self.lease.as_ref().filter(|lease| lease.list_until() < now) else { return };
        let (age, outage) = (lease.age(now).ms(), lease.is_outage());
        if !std::mem::replace(&mut self.lease_end_logged, true) {
            let line = format!("the endpoint list is {age} ms old (outage: {outage}): its lease has ended");
            self.host.log(&line);
        }
    }

    // 1. Health.

    /// Adds evidence (a log-likelihood ratio) about a worker's health, and ejects or clears the worker. This detects
    /// workers that fail fast or hang, and any other fault that shows in outcomes. Once a third of the fleet is
    /// suspect, the cause lies outside the workers, and no more are ejected. Drawback: a tenant whose RPCs always fail
    /// makes its workers look faulty.
    fn add_evidence(&mut self, now: Time, id: WorkerId, evidence: f64) {
        let (at, worker) = (now.0, id.0);
        let Some(w) = self.workers.get_mut(&id) else { return };
        w.evidence = (w.evidence + evidence).clamp(0.0, MAX_EVIDENCE);
        let (evidence, suspect) = (w.evidence, w.suspect);
        if suspect && evidence <= CLEARED_THRESHOLD {
            w.suspect = false;
            self.host.log(&format!("{at}: worker {worker} cleared, evidence {evidence:.1}"));
        } else if !suspect && evidence >= SUSPECT_THRESHOLD {
            let ready = self.ready_workers().count() as f64;
            let suspects = self.ready_workers().filter(|w| w.suspect).count() as f64 + 1.0;
            if suspects <= (ready * MAX_EJECTED_SHARE).max(1.0) {
                self.workers.entry(id).or_default().suspect = true;
                let line =
                    format!("{at}: worker {worker} suspect, evidence {evidence:.1}, {suspects} of {ready}");
                self.host.log(&line);
            }
        }
    }

    /// Takes in another scheduler's observation, made `age` ago. It counts for less than this scheduler's own, and for
    /// nothing if this scheduler has observed the copy since, if it is older than keep-alive, or if the worker started
    /// later. Without hints each scheduler would have to find every copy itself. A wrong hint begins a load at a worker
    /// without a copy, as a choice without hints would have.
    pub fn hint_received(
        &mut self, now: Time, worker: WorkerId, function: FunctionId, hint: Hint, rpcs_held: u64, age: Time,
    ) {
        let at = now - age;
        let Some(w) = self.workers.get_mut(&worker) else { return };
        let belief = w.beliefs.entry(function).or_default();
        let last = belief.hint.map_or(Time(0), |h| h.1).max(w.cold_since.unwrap_or_default());
        if at <= last.max(belief.observed_at) {
            return;
        }
        belief.hint = Some((hint, at));
        if hint == Hint::Full {
            belief.no_load_until = belief.no_load_until.max(at + HINTED_FULL_HOLD);
        } else if hint == Hint::Warm {
            let others = rpcs_held.min(MAX_HINTED_RPCS).saturating_sub(belief.own_in_flight) as f64;
            belief.record_others(
                now,
                others,
                ESTIMATE_HALF_LIFE_MS,
                observation_weight(now - belief.others_at),
            );
        }
    }

    /// A load report arrived, with an answer or by itself.
    pub fn load_report_received(&mut self, now: Time, worker: WorkerId, report: &[f64]) {
        let names = self.setting("loadInfo", "names").and_then(Value::as_array);
        let value = |name: &str| report.get(names?.iter().position(|n| n == name)?).copied();
        // Without utilization in the report, the number of RPCs at the worker is used, relative to the other workers'.
        let util = value("utilization").or(value("outstanding")).or(value("backlog"));
        let pinned_memory = value("x0");
        if let Some(w) = self.workers.get_mut(&worker).filter(|_| !report.is_empty()) {
            w.last_report = now;
            (w.utilization, w.pinned_memory) =
                (util.or(w.utilization), pinned_memory.unwrap_or(w.pinned_memory));
        }
    }

    /// The time after which an open attempt counts as overdue.
    fn overdue_after(&self, method: MethodId, warm: bool) -> Time {
        let times = self.answer_times.get(&method).map(|p| p[usize::from(warm)]).unwrap_or_default();
        let assumed = if warm { 1.0 } else { 3.0 } * self.soft_deadline(method);
        Time::from_ms(if times.count < 5.0 { assumed } else { 2.0 * times.mean + 3.0 * times.deviation })
    }

    // 2. Slow start.

    /// Whether slow start allows an attempt to this worker now. Keeps schedulers from overloading a cold worker
    /// together: each limits itself to the share of its capacity that the worker has by now, times the answers that
    /// this scheduler gets from a worker of that size on average. The fleet answers no more than its capacity, so the
    /// sum stays below the stated multiple (`fallMultiple`), also when retries multiply the RPCs. The budget is given
    /// out in time slots of one attempt each, so that schedulers with a budget below one attempt per window keep to it
    /// too.
    fn cold_budget_left(&self, now: Time, w: &Worker) -> bool {
        let Some(since) = w.cold_since else { return true };
        let warm_within = self.duration("contract", "warmWithin");
        if now - since >= warm_within {
            return true;
        }
        let window = self.duration("contract", "fall");
        let (age, start) = (now - since, self.number("contract", "startCapacity", 0.2));
        let capacity = start + (1.0 - start) * age.0 as f64 / warm_within.0.max(1) as f64;
        let per_window =
            self.rate * window.ms() * self.relative_size(w, self.sizes_known()) / self.peak_ready.max(1.0);
        let budget = COLD_BUDGET_SHARE * self.number("contract", "fallMultiple", 2.0) * capacity * per_window;
        // The gap between slots is the window times a power of two: otherwise a changing rate opens slot after slot.
        let gap = window.ms() * budget.max(1.0 / self.scheduler_count()).log2().floor().exp2().recip();
        // Unused slots lapse. Otherwise all schedulers would spend theirs at once when a function's preferred worker
        // becomes this one. With halved gaps, slots begin where the longer ones did and half way between, so that a
        // change of the gap opens few slots at once.
        let into_slot = (age.ms() + w.slot_phase * SLOT_WINDOWS * window.ms()) % gap.max(0.1);
        // Attempts are at least one gap apart, also where a slot was used late or the gap has just been halved.
        let unspent = w.last_sent + Time::from_ms(gap) <= now || w.last_sent < since;
        unspent && into_slot <= window.ms() / 2.0
    }

    // 3. Retries.

    /// Tries to send an RPC's first attempt; true: the RPC has to wait.
    fn try_first(&mut self, now: Time, id: RpcId) -> bool {
        let waits = self.admit(now, id);
        let to = if waits == Some(false) { self.pick_worker(now, id) } else { None };
        match to {
            None if waits.is_none() || self.is_hopeless(now, id) => self.give_up(now, id),
            Some(to) if self.is_load_excessive(now, to, id) => self.give_up(now, id),
            Some(to) => self.send_attempt(now, id, to),
            None => return true,
        }
        false
    }

    /// Tries to send a further attempt of an RPC; true: the RPC has to wait. A hedged attempt (beside an open one) goes
    /// only where a copy is believed warm, and does not wait. A retry after an attempt that provably never ran is free
    /// of charge to the retry budget. After two workers at which it would have begun a load have turned it away, or two
    /// loads have failed, an RPC begins no further load: a store that rejects fetches does so for every worker.
    /// Otherwise schedulers scatter a function's loads beyond its preferred workers, the workers that receive them turn
    /// away further loads, and the fleet does not recover. This holds for any lack of room for loads. Drawback: in a
    /// small fleet a third worker may be the only one with room; the function's next RPCs find it.
    fn try_further(&mut self, now: Time, id: RpcId) -> bool {
        let rpc = &self.rpcs[&id];
        let hedged = rpc.open_attempts() > 0;
        let cost = if rpc.attempts.last().is_some_and(|a| a.never_ran) { 0.0 } else { 1.0 };
        let max_attempts = self.number("limits", "maxAttempts", f64::MAX);
        let (limit, in_flight, _) = self.in_flight_limit(rpc.tenant);
        let possible = if hedged {
            in_flight <= NEAR_LIMIT_SHARE * limit
        } else {
            self.is_repeatable_anywhere(now, rpc)
        };
        let possible = possible && (rpc.attempts.len() as f64) < max_attempts;
        let to = if possible && self.retry_budget >= cost { self.pick_worker(now, id) } else { None };
        let rpc = &self.rpcs[&id];
        let turned_away = rpc.attempts.iter().filter(|a| a.full && !a.warm).count() >= MAX_LOADS_TRIED;
        let min_affinity = if hedged {
            AFFINITY_HINTED_WARM
        } else if turned_away {
            AFFINITY_LOADING
        } else {
            0.0
        };
        match to.filter(|to| self.affinity_at(now, *to, rpc.function) >= min_affinity) {
            Some(to) => {
                self.retry_budget -= cost;
                self.send_attempt(now, id, to);
            }
            None if hedged => self.rpcs.get_mut(&id).into_iter().for_each(|r| r.waiting = false),
            None if !possible || self.is_hopeless(now, id) => self.give_up(now, id),
            None => return true,
        }
        false
    }

    /// Serves first attempts, then further ones, each until a few RPCs have found no room.
    fn serve_queues(&mut self, now: Time) {
        for queue in 0..self.queues.len() {
            let (mut blocked, mut unserved) = (0, self.queues[queue].len());
            while blocked < MAX_BLOCKED && unserved > 0 {
                unserved -= 1;
                let Some(id) = self.queues[queue].pop_front() else { break };
                if self.rpcs.get(&id).is_none_or(|r| r.done || !r.waiting) {
                    continue;
                }
                if if queue == 0 { self.try_first(now, id) } else { self.try_further(now, id) } {
                    self.queues[queue].push_back(id);
                    blocked += 1;
                }
            }
        }
    }

    /// Finds overdue attempts: each is evidence against its worker if the worker has been silent, and leads to a hedged
    /// attempt where that is allowed. Then updates the rates and drops old state.
    fn sweep(&mut self, now: Time) {
        let mut overdue: Vec<(RpcId, usize, WorkerId)> = Vec::new();
        for (&id, rpc) in &self.rpcs {
            for (number, a) in rpc.attempts.iter().enumerate().filter(|(_, a)| a.open && a.overdue < 3) {
                let limit = self.overdue_after(rpc.method, a.warm);
                if now - a.sent_at > Time(limit.0 << a.overdue) {
                    overdue.push((id, number, a.worker));
                }
            }
        }
        for (id, number, worker) in overdue {
            // Silence is evidence and slowness under load is not: the worker counts as silent only if it has answered
            // nothing since the attempt was sent.
            let silent = self.rpcs[&id].attempts[number].sent_at >= self.workers[&worker].last_answer;
            if silent {
                self.add_evidence(now, worker, EVIDENCE_SILENT);
            }
            let may_hedge =
                self.allowed("limits", "secondCopies") && self.is_repeatable_anywhere(now, &self.rpcs[&id]);
            let Some(rpc) = self.rpcs.get_mut(&id) else { continue };
            rpc.attempts[number].overdue += 1;
            let newly_overdue =
                (rpc.attempts[number].overdue == 1).then_some((rpc.tenant, rpc.attempts[number].warm));
            let unanswered = !rpc.done && !rpc.streaming && !rpc.waiting && rpc.open_attempts() == 1;
            if may_hedge && unanswered && (silent || rpc.attempts[number].overdue > 1) {
                rpc.waiting = true;
                self.queues[1].push_back(id);
            }
            if let Some((tenant, warm)) = newly_overdue {
                self.add_in_flight(tenant, warm, -1.0);
            }
        }
        // The rate is taken over many answers, so that one busy moment is not taken for the usual rate.
        let count = self.answered.len().min(RATE_ANSWERS);
        let window =
            self.answered.iter().rev().nth(count.saturating_sub(1)).map_or(Time(0), |&first| now - first);
        self.rate = count.saturating_sub(1) as f64 / window.max(MIN_RATE_WINDOW).ms();
        self.peak_rate = self.rate.max(self.peak_rate * PEAK_DECAY_PER_TICK);
        self.peak_ready = (self.ready_workers().count() as f64).max(self.peak_ready * PEAK_DECAY_PER_TICK);
        let keep_alive = self.keep_alive();
        let hinted = |b: &Belief| b.hint.is_some_and(|(_, at)| now - at <= keep_alive);
        for w in self.workers.values_mut() {
            if w.suspect && w.own_in_flight == 0 {
                w.evidence = (w.evidence - EVIDENCE_DECAY_PER_MS * TICK_INTERVAL.ms()).max(0.0);
                w.suspect = w.evidence > CLEARED_THRESHOLD;
            }
            w.beliefs.retain(|_, b| {
                let useful = match b.copy {
                    CopyState::Warm(used) => now - used <= keep_alive + keep_alive,
                    copy => copy != CopyState::Unknown || b.no_load_until > now,
                };
                b.own_in_flight > 0 || useful || hinted(b)
            });
        }
        self.forget_gone_workers(now);
        for times in [&mut self.received, &mut self.answered, &mut self.orders] {
            while times.front().is_some_and(|&t| t + HISTORY_RETENTION < now) {
                times.pop_front();
            }
        }
    }

    /// Records that an RPC was received. With fewer times than there were, fewer load orders are allowed.
    fn record_received(&mut self, now: Time) {
        if self.received.len() == MAX_RECEIVED_TIMES {
            self.received.pop_front();
        }
        self.received.push_back(now);
    }

    /// Forgets workers that have been gone for long, once no attempt to them is open and no RPC has an attempt there on
    /// record. The process runs for months, and each RPC walks all workers that are kept.
    fn forget_gone_workers(&mut self, now: Time) {
        let expired = |w: &Worker| {
            w.lifecycle == Lifecycle::Gone && w.own_in_flight == 0 && w.listed_at + HISTORY_RETENTION < now
        };
        if self.workers.values().any(expired) {
            let in_use: BTreeSet<_> =
                self.rpcs.values().flat_map(|r| &r.attempts).map(|a| a.worker).collect();
            self.workers.retain(|id, w| !expired(w) || in_use.contains(id));
        }
    }

    // 4. Copies.

    /// Orders one copy, within the rate limit on load orders; from then on the worker counts as loading it.
    fn order_load(&mut self, now: Time, at: WorkerId, function: FunctionId) {
        let window = self.duration("familyInfo", "loadsWithin");
        let share = self.number("familyInfo", "loadShare", 0.0);
        let limit =
            self.number("familyInfo", "loadFloor", 0.0) + share * count_recent(&self.received, now, window);
        let spent = window > Time(0) && count_recent(&self.orders, now, window + Time(1)) + 1.0 > limit;
        let may_order = self.allowed("familyInfo", "mayOrder") && !spent;
        let send_by = self.send_until(at);
        let may_order = may_order && now <= send_by;
        let Some(w) = self.workers.get_mut(&at).filter(|w| may_order && w.lifecycle == Lifecycle::Ready)
        else {
            return;
        };
        w.beliefs.entry(function).or_default().copy = CopyState::Loading;
        self.orders.push_back(now);
        self.host.observed(at, function, Hint::Loading, 0);
        self.host.load(at, function, 1, send_by);
    }

    // 5. Admission.

    /// The limit of RPCs in flight at warm copies, and how many are in flight, in total and for the tenant. The limit
    /// keeps answers within a share of the soft deadline, by Little's law on this scheduler's own rate of answers. It
    /// guards against overload of any kind that fills the workers' queues, as answers then come no faster. Drawback: it
    /// is too low just after a long quiet spell.
    fn in_flight_limit(&self, tenant: TenantId) -> (f64, f64, f64) {
        let usual = self.peak_rate * TARGET_DEADLINE_SHARE * self.soft_deadlines.mean;
        let floor = MIN_IN_FLIGHT_PER_WORKER * self.ready_workers().count() as f64 / self.scheduler_count();
        let limit = (usual + IN_FLIGHT_SLACK).max(floor);
        (limit, self.in_flight, self.tenant_in_flight.get(&tenant).copied().unwrap_or(0.0))
    }

    /// Counts an attempt that begins (sign 1) or ends (sign -1). The weights are exact in binary: the sums return to 0.
    fn add_in_flight(&mut self, tenant: TenantId, warm: bool, sign: f64) {
        let weight = sign * if warm { 1.0 } else { BEHIND_LOAD_WEIGHT };
        self.in_flight += weight;
        *self.tenant_in_flight.entry(tenant).or_default() += weight;
    }

    /// A method's share of the in-flight limit: its gain per time of an answer, relative to the mean of all methods.
    fn method_limit_share(&self, method: MethodId) -> f64 {
        let gain = |m: &MethodId| self.method_setting(*m, "gain").and_then(Value::as_f64).unwrap_or(1.0);
        let density = |m: &MethodId| gain(m) / self.answer_times.get(m).map_or(1.0, |p| p[1].mean.max(1.0));
        let mean = self.answer_times.keys().map(density).sum::<f64>() / self.answer_times.len().max(1) as f64;
        (density(&method) / mean.max(1e-9)).clamp(METHOD_SHARE_RANGE.0, METHOD_SHARE_RANGE.1)
    }

    /// Whether an RPC has to wait; none: it is rejected, as the limit is near and its tenant is over its share or its
    /// time is too short.
    fn admit(&self, now: Time, id: RpcId) -> Option<bool> {
        let tenant = self.rpcs[&id].tenant;
        let (limit, in_flight, of_tenant) = self.in_flight_limit(tenant);
        let share = self.settings.get("tenants").and_then(|l| l.get(tenant.0)?.get("share")?.as_f64());
        let over = share.is_some_and(|s| of_tenant > s * limit + IN_FLIGHT_SLACK);
        let room =
            in_flight < self.method_limit_share(self.rpcs[&id].method) * limit || (share.is_some() && !over);
        // Shares only apply between tenants that are active: a single one may use the whole limit.
        let over = over && of_tenant < in_flight;
        (in_flight <= NEAR_LIMIT_SHARE * limit || !(over || self.is_hopeless(now, id))).then_some(!room)
    }

    /// Whether the attempt would begin a load while the limit is near and an eighth as many loads as workers are under
    /// way. Loads push out copies that are in use, and take memory and cores.
    fn is_load_excessive(&self, now: Time, to: WorkerId, id: RpcId) -> bool {
        let (limit, in_flight, _) = self.in_flight_limit(self.rpcs[&id].tenant);
        let loading = |w: &Worker| w.beliefs.values().filter(|b| b.copy == CopyState::Loading).count();
        in_flight > NEAR_LIMIT_SHARE * limit
            && self.affinity_at(now, to, self.rpcs[&id].function) < AFFINITY_IMAGE
            && self.workers.values().map(loading).sum::<usize>() * 8 >= self.workers.len()
    }

    /// Whether a waiting RPC can no longer be answered by its soft deadline. Giving such RPCs up keeps a queue, in any
    /// overload, from making every answer late. Drawback: this loses value where a late answer is worth nearly as much
    /// as a timely one.
    fn is_hopeless(&self, now: Time, id: RpcId) -> bool {
        let rpc = &self.rpcs[&id];
        let soft_deadline = rpc.received_at + Time::from_ms(self.soft_deadline(rpc.method));
        let mean_answer_ms = self.answer_times.get(&rpc.method).map_or(0.0, |p| p[1].mean);
        now + Time::from_ms(mean_answer_ms) > soft_deadline.min(rpc.deadline)
    }

    /// Gives the final answer of an RPC that cannot be answered in time: denied where a repeat is safe, else aborted.
    fn give_up(&mut self, now: Time, id: RpcId) {
        if self.is_repeatable(now, &self.rpcs[&id], None) {
            let advised = self.allowed("limits", "retryAfter");
            let max = if advised { self.duration("limits", "maxRetryAfter") } else { Time(0) };
            self.host.deny(id, Time(max.0 / 2));
        } else {
            self.host.abort(id);
        }
        self.close(id);
    }

    /// Ends an RPC whose final answer is given or no longer wanted. Its open attempts are cancelled, and its entry is
    /// kept until they have ended.
    fn close(&mut self, id: RpcId) {
        let may_cancel = self.allowed("limits", "mayCancel");
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let first_close = !std::mem::replace(&mut rpc.done, true);
        if rpc.open_attempts() == 0 {
            self.rpcs.remove(&id);
        } else if first_close && may_cancel {
            for (number, _) in rpc.attempts.iter().enumerate().filter(|(_, a)| a.open) {
                self.host.cancel(id, AttemptNumber(number));
            }
        }
    }
}
