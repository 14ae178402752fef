use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::host::Host;
use curlewpoint::list_lease::ListLeaseTerms;
use curlewpoint::scheduler::Scheduler;
use curlewpoint::types::*;
use serde_json::{Map, Value};

use crate::endpoint_list::{EndpointList, ListOutcome};
use crate::ids::{ClientId, NameTable, RequestId};
use crate::lifecycle::{describe_transitions, LifecycleTracker, Transition};
use crate::timer_wheel::TimerWheel;

/// The final answer to an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    Ok,
    Denied,
    Aborted,
}

/// The reason for which an RPC was not accepted. No answer is owed for it, and repeating it is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    NoSuchMethod,
    /// The method was withdrawn a short while ago.
    Withdrawn,
    NoSuchTenant,
    /// This scheduler holds its maximum of open RPCs.
    Full,
    /// Too little time is left for an answer.
    NoTime,
    Stopping,
    /// The client already uses this tag for an open RPC.
    TagInUse,
    /// The model's name is too long, there are too many names, or another name has the same id.
    BadModel,
    /// The token is too long, or missing for a method that needs one: without it no worker could recognize a repeat.
    BadToken,
}

/// A request to a worker.
pub enum UpstreamRequest<'a> {
    Attempt {
        rpc: RpcId,
        number: AttemptNumber,
        method: &'a str,
        model: &'a str,
        tenant: &'a str,
        token: Option<&'a str>,
        time_left: Time,
        /// Its first byte must not leave later.
        send_by: Time,
        body: &'a Bytes,
    },
    Load {
        model: &'a str,
        copies: u64,
        /// As for an attempt.
        send_by: Time,
    },
    /// Asks whether the worker drains, by an order for no copies of the model.
    DrainQuery {
        model: &'a str,
        /// Sent on a connection that was established by this time, if there is one.
        established_by: Time,
    },
    Probe,
}

/// The engine's interface to connections, clients and logs. It is implemented by the process around the engine.
pub trait EngineDriver {
    /// Sends a request to a worker. It ends once, by `Engine::request_ended` or `next_local_end`, unless it is
    /// withdrawn.
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>);
    /// Whether a connection to the worker that was established by `established_by` is still up.
    fn is_connected_since(&self, _worker: WorkerId, _established_by: Time) -> bool {
        true
    }
    /// When the connection that a request was sent on was established; none: the request waits for one being dialled.
    fn connection_established_at(&self, _id: RequestId) -> Option<Time> {
        Some(Time(0))
    }
    /// Ends the wait for an upstream request. Returns true if it was withdrawn before send, so that no byte of it was
    /// or will be sent.
    fn withdraw(&mut self, now: Time, id: RequestId) -> bool;
    /// Sends the final answer to the RPC that `client` identifies by `tag`.
    fn answer(
        &mut self, rpc: RpcId, client: ClientId, tag: u64, answer: Answer, reason: &str, retry_after: Time,
        body: Bytes,
    );
    /// The next upstream request that ended on this side, without an answer from the worker.
    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)>;
    fn unload(&mut self, now: Time, worker: WorkerId, model: &str);
    /// Requests the list of workers: the changes since `held_version` (epoch, version), or the full list if there is
    /// none.
    fn watch_list(&mut self, held_version: Option<(u64, u64)>);
    /// Reports the address of a worker; `since` is the start time of its process, which tells restarts apart.
    fn set_worker_address(&mut self, now: Time, worker: WorkerId, name: &str, address: &str, since: Time);
    /// Reports that a worker drains: requests to it that were not begun are withdrawn.
    fn worker_draining(&mut self, now: Time, worker: WorkerId);
    /// Reports that a worker is no longer listed.
    fn worker_gone(&mut self, now: Time, worker: WorkerId);
    /// Reports an observation of a function at a worker by the module, which may be shared with other schedulers.
    fn observed(&mut self, _worker: WorkerId, _function: FunctionId, _hint: Hint, _rpcs_held: u64) {}
    /// Reports that an RPC asks for a function, so that other schedulers may be asked what they know of it. Nothing
    /// waits for their answer.
    fn function_requested(&mut self, _function: FunctionId) {}
    /// Reports that an RPC was accepted; the driver keeps what the RPC needs until `rpc_forgotten`.
    fn rpc_accepted(&mut self, rpc: RpcId);
    /// Reports that an RPC has its answer and no open attempt; no further call refers to it.
    fn rpc_forgotten(&mut self, rpc: RpcId);
    fn log(&mut self, rpc: Option<RpcId>, line: &str);
}

/// Counters of RPCs and upstream requests. For RPCs, taken = ok + denied + aborted + left + open. Most of the field
/// names are also keys in log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// RPCs accepted.
    pub taken: u64,
    pub ok: u64,
    pub denied: u64,
    pub aborted: u64,
    /// RPCs whose client disconnected before the answer.
    pub left: u64,
    pub refused: u64,
    pub attempts: u64,
    pub loads: u64,
    pub probes: u64,
    /// Queries to workers whether they drain.
    pub drain_queries: u64,
    /// RPCs aborted by the engine because the module did not answer them in time.
    pub aborted_by_guard: u64,
    /// RPCs aborted because this scheduler stopped.
    pub cut_off: u64,
    /// Actions of the module that were ignored because the RPC had its answer.
    pub ignored_actions: u64,
}

/// Too many versions of methods were served since this scheduler started: further ones need a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyMethodVersions;

/// A method with one set of settings. A method whose settings change gets a new version.
struct MethodVersion {
    name: String,
    tokened: bool,
    give_up: Option<Time>,
    lanes: f64,
}

fn name_of(settings: &Value) -> &str {
    settings.get("name").and_then(Value::as_str).unwrap_or_default()
}

impl MethodVersion {
    fn of(settings: &Value) -> MethodVersion {
        let number = |name| settings.get(name).and_then(Value::as_f64);
        MethodVersion {
            name: name_of(settings).to_owned(),
            tokened: settings.get("effect").is_some_and(|e| e == "idempotency_key"),
            give_up: number("giveUp").map(Time::from_ms),
            lanes: number("lanes").unwrap_or(1.0),
        }
    }
}

struct RpcEntry {
    client: ClientId,
    tag: u64,
    method: MethodId,
    tenant: TenantId,
    function: FunctionId,
    token: Option<String>,
    deadline: Time,
    body: Bytes,
    answered: bool,
    attempts: usize,
    open: BTreeMap<AttemptNumber, RequestId>,
}

#[derive(Clone, Copy)]
enum RequestKind {
    Attempt(RpcId, AttemptNumber),
    Load(FunctionId),
    /// A connection that was established by then leads to the listed process.
    DrainQuery {
        established_by: Time,
    },
    Probe,
}

struct OpenRequest {
    kind: RequestKind,
    worker: WorkerId,
    sent: Time,
    /// When the connection that it was sent on was established, if there was one.
    established_at: Option<Time>,
}

/// Timers that an RPC or an upstream request sets: the module's and the engine's own.
const MAX_TIMERS_PER_RPC: usize = 2;
/// Fewer timers than this are not looked through.
const MIN_TIMERS_TO_FORGET: usize = 4096;

enum Timer {
    /// A wake-up that the module asked for.
    Module(TimerId),
    /// The latest time for the answer to an RPC.
    RpcGuard(RpcId),
    /// The time limit of an upstream request.
    RequestLimit(RequestId),
}

/// The end of an upstream request. Ends are reported to the module in order of arrival.
struct RequestEnd {
    id: RequestId,
    outcome: Outcome,
    copy: CopyReport,
    /// RPCs of the function that the worker held.
    rpcs_held: u64,
    copies: u64,
    load_report: Vec<f64>,
    body: Bytes,
}

/// The open RPCs and upstream requests, and the rest of the engine's state outside the module. It is the module's
/// host.
struct RequestTable<D: EngineDriver> {
    driver: D,
    now: Time,
    rpcs: BTreeMap<RpcId, RpcEntry>,
    tags: BTreeMap<(ClientId, u64), RpcId>,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Ends not yet reported to the module, which must not be called from within its own call.
    ends: VecDeque<RequestEnd>,
    timers: TimerWheel<Timer>,
    /// The names of the functions that held RPCs ask for, and the number of such RPCs.
    function_names: NameTable,
    function_refs: BTreeMap<FunctionId, usize>,
    endpoints: EndpointList,
    lifecycles: LifecycleTracker,
    /// All method versions served since the start, by id.
    methods: Vec<MethodVersion>,
    /// The ids of method versions by their settings as JSON text.
    method_ids: BTreeMap<String, MethodId>,
    /// The methods served now, by name.
    served: BTreeMap<String, MethodId>,
    tenants: Vec<String>,
    next_request: u64,
    order_limit: Time,
    probe_limit: Time,
    max_attempts: usize,
    counters: EngineCounters,
}

impl<D: EngineDriver> RequestTable<D> {
    fn open_request(&mut self, kind: RequestKind, worker: WorkerId) -> RequestId {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.requests.insert(id, OpenRequest { kind, worker, sent: self.now, established_at: None });
        id
    }

    /// Notes on which connection the driver has sent a request.
    fn record_connection(&mut self, id: RequestId) {
        let established_at = self.driver.connection_established_at(id);
        self.requests.entry(id).and_modify(|open| open.established_at = established_at);
    }

    fn queue_end(&mut self, id: RequestId, outcome: Outcome) {
        let (copy, rpcs_held, copies) = (CopyReport::Unreported, 0, 0);
        self.ends.push_back(RequestEnd {
            id,
            outcome,
            copy,
            rpcs_held,
            copies,
            load_report: Vec::new(),
            body: Bytes::new(),
        });
    }

    /// Withdraws an upstream request. If no byte of it was sent it provably never ran, and ends as `NotSent` instead
    /// of `outcome`.
    fn withdraw(&mut self, id: RequestId, outcome: Outcome) {
        if self.requests.contains_key(&id) {
            let unsent = self.driver.withdraw(self.now, id);
            self.queue_end(id, if unsent { Outcome::NotSent } else { outcome });
        }
    }

    /// Logs the transitions that the current list caused.
    fn log_transitions(&mut self, transitions: &[Transition]) {
        let version = self.endpoints.version().map_or(0, |(_, version)| version);
        if let Some(line) = describe_transitions(version, transitions, |worker| self.endpoints.name(worker)) {
            self.driver.log(None, &line);
        }
    }

    /// Counts and logs an action of the module that comes after the RPC's answer.
    fn ignore_action(&mut self, rpc: RpcId, action: &str) {
        self.counters.ignored_actions += 1;
        self.driver.log(Some(rpc), &format!("ignored: {action} after the final answer"));
    }

    fn answer(&mut self, rpc: RpcId, answer: Answer, reason: &str, retry_after: Time, body: Bytes) {
        let Some(entry) = self.rpcs.get_mut(&rpc).filter(|e| !e.answered) else {
            return self.ignore_action(rpc, "an answer");
        };
        entry.answered = true;
        entry.body = Bytes::new();
        self.tags.remove(&(entry.client, entry.tag));
        match answer {
            Answer::Ok => self.counters.ok += 1,
            Answer::Denied => self.counters.denied += 1,
            Answer::Aborted => self.counters.aborted += 1,
        }
        self.driver.answer(rpc, entry.client, entry.tag, answer, reason, retry_after, body);
        self.forget_if_done(rpc);
    }

    fn forget_if_done(&mut self, rpc: RpcId) {
        if self.rpcs.get(&rpc).is_none_or(|e| !e.answered || !e.open.is_empty()) {
            return;
        }
        if let Some(RpcEntry { function, .. }) = self.rpcs.remove(&rpc) {
            let refs_left = self.function_refs.get_mut(&function).map_or(0, |refs| {
                *refs -= 1;
                *refs
            });
            // A name is needed only for RPCs that are held, so a client that invents names does not fill the table.
            if refs_left == 0 {
                self.function_refs.remove(&function);
                self.function_names.remove(function.0);
            }
            self.driver.rpc_forgotten(rpc);
        }
    }
}

impl<D: EngineDriver> Host for RequestTable<D> {
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, limit: Time, send_by: Time) {
        let now = self.now;
        let Some(entry) = self.rpcs.get_mut(&rpc) else { return self.ignore_action(rpc, "an attempt") };
        // Attempt numbers also count attempts that are not sent.
        let number = AttemptNumber(entry.attempts);
        entry.attempts += 1;
        let (answered, exhausted) = (entry.answered, entry.attempts > self.max_attempts);
        let until = if limit == Time(0) { entry.deadline } else { entry.deadline.min(now + limit) };
        let id = self.open_request(RequestKind::Attempt(rpc, number), worker);
        let entry = self.rpcs.get_mut(&rpc).expect("looked up above");
        entry.open.insert(number, id);
        if answered || exhausted || until <= now {
            if answered {
                self.ignore_action(rpc, "an attempt");
            }
            return self.queue_end(id, Outcome::NotSent);
        }
        self.counters.attempts += 1;
        if until < entry.deadline {
            self.timers.set(until, Timer::RequestLimit(id));
        }
        let (method, tenant) = (&self.methods[entry.method.0].name, self.tenants.get(entry.tenant.0));
        let (model, tenant) = (self.function_names.name(entry.function.0), tenant.map_or("", String::as_str));
        let (token, time_left, body) = (entry.token.as_deref(), until - now, &entry.body);
        let request =
            UpstreamRequest::Attempt { rpc, number, method, model, tenant, token, time_left, send_by, body };
        self.driver.request(now, id, worker, request);
        self.record_connection(id);
    }

    fn cancel(&mut self, rpc: RpcId, number: AttemptNumber) {
        if let Some(&id) = self.rpcs.get(&rpc).and_then(|entry| entry.open.get(&number)) {
            if !self.ends.iter().any(|e| e.id == id) {
                self.withdraw(id, Outcome::Cancelled);
            }
        }
    }

    fn deny(&mut self, rpc: RpcId, retry_after: Time) {
        self.answer(rpc, Answer::Denied, "no answer could be in time", retry_after, Bytes::new());
    }

    fn abort(&mut self, rpc: RpcId) {
        self.answer(rpc, Answer::Aborted, "its time was up and it may have run", Time(0), Bytes::new());
    }

    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u64, send_by: Time) {
        let id = self.open_request(RequestKind::Load(function), worker);
        self.counters.loads += 1;
        self.timers.set(self.now + self.order_limit, Timer::RequestLimit(id));
        let model = self.function_names.name(function.0);
        self.driver.request(self.now, id, worker, UpstreamRequest::Load { model, copies, send_by });
    }

    fn is_connected_since(&self, worker: WorkerId, established_by: Time) -> bool {
        self.driver.is_connected_since(worker, established_by)
    }

    fn query_drain(&mut self, worker: WorkerId, function: FunctionId, established_by: Time) {
        let id = self.open_request(RequestKind::DrainQuery { established_by }, worker);
        self.counters.drain_queries += 1;
        self.timers.set(self.now + self.probe_limit, Timer::RequestLimit(id));
        let model = self.function_names.name(function.0);
        let query = UpstreamRequest::DrainQuery { model, established_by };
        self.driver.request(self.now, id, worker, query);
        self.record_connection(id);
    }

    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.driver.unload(self.now, worker, self.function_names.name(function.0));
    }

    fn probe(&mut self, worker: WorkerId) {
        let id = self.open_request(RequestKind::Probe, worker);
        self.counters.probes += 1;
        self.timers.set(self.now + self.probe_limit, Timer::RequestLimit(id));
        self.driver.request(self.now, id, worker, UpstreamRequest::Probe);
    }

    fn set_timer(&mut self, delay: Time, id: TimerId) {
        self.timers.set(self.now + delay, Timer::Module(id));
    }

    fn watch_list(&mut self) {
        self.driver.watch_list(self.endpoints.version());
    }

    fn observed(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, rpcs_held: u64) {
        self.driver.observed(worker, function, hint, rpcs_held);
    }

    fn log(&mut self, line: &str) {
        self.driver.log(None, line);
    }
}

/// One scheduler: the decision module with its open RPCs, upstream requests, timers and list of workers.
///
/// The settings are the module's. The engine reads from them the methods and the names of tenants, `limits.maxOpen`,
/// `limits.maxAttempts`, `limits.probeLimit`, `familyInfo.orderLimit` and `contract.answerSlack`, the part of a
/// client's time left that is reserved for returning the answer.
pub struct Engine<D: EngineDriver> {
    module: Scheduler<RequestTable<D>>,
    next_rpc: u64,
    answer_slack: Time,
    max_open: usize,
    stopping: bool,
    /// For workers no longer listed, the time at which they went.
    gone_since: BTreeMap<WorkerId, Time>,
}

/// Time for which the name and the start of a gone worker are kept (10 min), as a delayed list may still name it.
const GONE_WORKER_RETENTION: Time = Time(6_000_000);
/// The longest model name and the longest token, in bytes. They keep the head of an attempt far below the limit of
/// any worker; a head beyond it would close a connection that carries other attempts too.
const MAX_NAME_BYTES: usize = 1024;
const MAX_WORKERS: usize = 100_000;
const MAX_MODELS: usize = 1_000_000;
const MAX_METHOD_VERSIONS: usize = 10_000;

fn number_setting(settings: &Map<String, Value>, part: &str, name: &str, default: f64) -> f64 {
    settings.get(part).and_then(|p| p.get(name)).and_then(Value::as_f64).unwrap_or(default)
}

fn list_setting<'a>(settings: &'a Map<String, Value>, part: &str) -> &'a [Value] {
    settings.get(part).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

impl<D: EngineDriver> Engine<D> {
    pub fn start(now: Time, driver: D, seed: u128, settings: Map<String, Value>) -> Self {
        let method_settings = list_setting(&settings, "requestClasses");
        let methods: Vec<MethodVersion> = method_settings.iter().map(MethodVersion::of).collect();
        let method_ids =
            method_settings.iter().enumerate().map(|(id, m)| (m.to_string(), MethodId(id))).collect();
        let served = methods.iter().enumerate().map(|(id, m)| (m.name.clone(), MethodId(id))).collect();
        let ms = |part, name, default| Time::from_ms(number_setting(&settings, part, name, default));
        let table = RequestTable {
            driver,
            now,
            rpcs: BTreeMap::new(),
            tags: BTreeMap::new(),
            requests: BTreeMap::new(),
            ends: VecDeque::new(),
            timers: TimerWheel::default(),
            function_names: NameTable::new(MAX_MODELS),
            function_refs: BTreeMap::new(),
            endpoints: EndpointList::new(MAX_WORKERS),
            lifecycles: LifecycleTracker::default(),
            methods,
            method_ids,
            served,
            tenants: list_setting(&settings, "tenants").iter().map(|t| name_of(t).to_owned()).collect(),
            next_request: 0,
            order_limit: ms("familyInfo", "orderLimit", 10_000.0),
            probe_limit: ms("limits", "probeLimit", 1_000.0),
            max_attempts: number_setting(&settings, "limits", "maxAttempts", 1e9) as usize,
            counters: EngineCounters::default(),
        };
        let (answer_slack, max_open) =
            (ms("contract", "answerSlack", 0.0), number_setting(&settings, "limits", "maxOpen", 1e5));
        Engine {
            module: Scheduler::start(table, seed, settings),
            next_rpc: 0,
            answer_slack,
            max_open: max_open as usize,
            stopping: false,
            gone_since: BTreeMap::new(),
        }
    }

    pub fn driver(&mut self) -> &mut D {
        &mut self.module.host().driver
    }

    pub fn counters(&mut self) -> EngineCounters {
        self.module.host().counters
    }

    /// The number of RPCs without an answer.
    pub fn open_rpcs(&mut self) -> usize {
        self.module.host().tags.len()
    }

    /// The number of RPCs held: those without an answer, and those answered that still have an open attempt.
    pub fn held_rpcs(&mut self) -> usize {
        self.module.host().rpcs.len()
    }

    pub fn worker_name(&mut self, worker: WorkerId) -> &str {
        self.module.host().endpoints.name(worker)
    }

    /// Describes a difference between the module's, the engine's and the pool's (`open`) view of the open requests,
    /// if any.
    pub fn find_mismatch(&mut self, open: &BTreeMap<RequestId, WorkerId>) -> Option<String> {
        let requests = &self.module.host().requests;
        let worker_of = |id: &RequestId| requests.get(id).map(|r| r.worker);
        if let Some(id) = requests.keys().chain(open.keys()).find(|id| worker_of(id) != open.get(id).copied())
        {
            return Some(format!(
                "request {} is at {:?} in the engine, at {:?} in the pool",
                id.0,
                worker_of(id),
                open.get(id)
            ));
        }
        let mut attempts: BTreeMap<WorkerId, u64> = BTreeMap::new();
        for r in requests.values().filter(|r| matches!(r.kind, RequestKind::Attempt(..))) {
            *attempts.entry(r.worker).or_default() += 1;
        }
        let believed: BTreeMap<WorkerId, u64> = self.module.believed_in_flight().collect();
        (believed != attempts)
            .then(|| format!("attempts by worker: {believed:?} in the module, {attempts:?} in the engine"))
    }

    /// The sizes of the collections kept by the engine and the module, by kind.
    pub fn sizes(&mut self) -> Vec<(&'static str, usize)> {
        let table = self.module.host();
        let sizes = [
            ("rpcs", table.rpcs.len()),
            ("requests", table.requests.len()),
            ("wake-ups", table.timers.len()),
            ("function names", table.function_names.len()),
            ("worker names", table.endpoints.len()),
        ];
        sizes.into_iter().chain(self.module.table_sizes()).collect()
    }

    /// The RPC of an open attempt, and its method.
    pub fn rpc_of_attempt(&mut self, request: RequestId) -> Option<(RpcId, &str)> {
        let table = self.module.host();
        let RequestKind::Attempt(rpc, _) = table.requests.get(&request)?.kind else { return None };
        Some((rpc, &table.methods[table.rpcs.get(&rpc)?.method.0].name))
    }

    /// Replaces the set of methods served. A method whose settings changed becomes a new version, here and in the
    /// module; open RPCs continue under the version they were accepted under.
    pub fn set_methods(&mut self, methods: Vec<Value>) -> Result<(), TooManyMethodVersions> {
        let table = self.module.host();
        let keys: Vec<String> = methods.iter().map(Value::to_string).collect();
        let new: BTreeSet<&String> = keys.iter().filter(|key| !table.method_ids.contains_key(*key)).collect();
        if table.methods.len() + new.len() > MAX_METHOD_VERSIONS {
            return Err(TooManyMethodVersions);
        }
        table.served.clear();
        for (settings, key) in methods.into_iter().zip(keys) {
            let table = self.module.host();
            let next = MethodId(table.methods.len());
            let id = *table.method_ids.entry(key).or_insert(next);
            table.served.insert(name_of(&settings).to_owned(), id);
            if id == next {
                table.methods.push(MethodVersion::of(&settings));
                self.module.method_added(settings);
            }
        }
        Ok(())
    }

    /// Sets the number of scheduler instances that send to the same workers.
    pub fn set_instance_count(&mut self, number: u64) {
        self.module.instance_count_changed(number);
    }

    /// Passes on an observation of a function at a worker that another scheduler made `age` ago.
    pub fn hint_received(
        &mut self, now: Time, worker: WorkerId, function: FunctionId, hint: Hint, rpcs_held: u64, age: Time,
    ) {
        self.module.hint_received(now, worker, function, hint, rpcs_held, age);
    }

    /// The time of the next timer, or an earlier one.
    pub fn next_wake(&mut self) -> Option<Time> {
        self.module.host().timers.next()
    }

    /// Stops accepting RPCs; open ones continue to their end.
    pub fn stop_accepting(&mut self) {
        self.stopping = true;
    }

    /// Accepts or refuses an RPC `from` a client and its tag. An accepted RPC gets one answer before `time_left` less
    /// the answer slack has passed. `lanes`, the RPCs that a copy of the model runs at a time, overrides the method's
    /// setting.
    pub fn submit_rpc(
        &mut self, now: Time, from: (ClientId, u64), method: &str, model: &str, tenant: &str,
        time_left: Time, token: Option<&str>, lanes: Option<f64>, body: Bytes,
    ) -> Result<RpcId, Refusal> {
        let accepted = self.accept(now, from, method, model, tenant, time_left, token, lanes, body);
        if accepted.is_err() {
            self.module.host().counters.refused += 1;
        }
        accepted
    }

    /// Counts an RPC that a listener refused itself.
    pub fn count_refused(&mut self) {
        self.module.host().counters.refused += 1;
    }

    fn accept(
        &mut self, now: Time, from: (ClientId, u64), method: &str, model: &str, tenant: &str,
        time_left: Time, token: Option<&str>, lanes: Option<f64>, body: Bytes,
    ) -> Result<RpcId, Refusal> {
        let (client, tag) = from;
        let (stopping, answer_slack, max_open) = (self.stopping, self.answer_slack, self.max_open);
        let table = self.table(now);
        let method = *table.served.get(method).ok_or(Refusal::NoSuchMethod)?;
        let tenant = match table.tenants.iter().position(|t| t == tenant) {
            Some(index) => index,
            None if table.tenants.is_empty() => 0,
            None => return Err(Refusal::NoSuchTenant),
        };
        if stopping {
            return Err(Refusal::Stopping);
        }
        if table.rpcs.len() >= max_open {
            return Err(Refusal::Full);
        }
        if table.tags.contains_key(&from) {
            return Err(Refusal::TagInUse);
        }
        let MethodVersion { tokened, give_up, lanes: default_lanes, .. } = table.methods[method.0];
        let time_left = give_up.map_or(time_left, |max| time_left.min(max)) - answer_slack;
        if time_left == Time(0) {
            return Err(Refusal::NoTime);
        }
        if token.map_or(tokened, |t| t.len() > MAX_NAME_BYTES || (tokened && t.is_empty())) {
            return Err(Refusal::BadToken);
        }
        if model.len() > MAX_NAME_BYTES {
            return Err(Refusal::BadModel);
        }
        let function =
            FunctionId(self.module.host().function_names.insert(model).map_err(|_| Refusal::BadModel)?);
        self.next_rpc += 1;
        let id = RpcId(self.next_rpc);
        let tenant = TenantId(tenant);
        let table = self.module.host();
        let (attempts, open, answered) = (0, BTreeMap::new(), false);
        let (deadline, token) = (now + time_left, token.map(str::to_owned));
        let entry = RpcEntry {
            client,
            tag,
            method,
            tenant,
            function,
            token,
            deadline,
            body,
            answered,
            attempts,
            open,
        };
        table.rpcs.insert(id, entry);
        *table.function_refs.entry(function).or_default() += 1;
        table.tags.insert(from, id);
        table.counters.taken += 1;
        table.driver.rpc_accepted(id);
        table.driver.function_requested(function);
        self.forget_unneeded_timers();
        let table = self.module.host();
        // For the case that the module has not answered by then; half the slack is left to return the answer.
        table.timers.set(deadline + Time(answer_slack.0 / 2), Timer::RpcGuard(id));
        self.module.rpc_received(
            now,
            id,
            method,
            function,
            tenant,
            time_left,
            lanes.unwrap_or(default_lanes),
        );
        self.process_ends(now);
        Ok(id)
    }

    /// Forgets the timers of what has ended, once they are most of all timers. Each RPC sets timers up to its deadline:
    /// without this, RPCs that end at once would fill the memory until then.
    fn forget_unneeded_timers(&mut self) {
        let table = self.module.host();
        let live = MAX_TIMERS_PER_RPC * (table.rpcs.len() + table.requests.len());
        if table.timers.len() < 2 * live + MIN_TIMERS_TO_FORGET {
            return;
        }
        let mut timers = std::mem::take(&mut self.module.host().timers);
        timers.retain(|timer| match timer {
            Timer::Module(id) => self.module.is_timer_needed(*id),
            Timer::RpcGuard(id) => self.module.host().rpcs.get(id).is_some_and(|entry| !entry.answered),
            Timer::RequestLimit(id) => self.module.host().requests.contains_key(id),
        });
        self.module.host().timers = timers;
    }

    /// Cancels an RPC for its client. It is still answered, as aborted: the client cannot know whether its cancel
    /// came before an answer.
    pub fn cancel(&mut self, now: Time, client: ClientId, tag: u64) {
        let Some(&id) = self.table(now).tags.get(&(client, tag)) else { return };
        self.module.host().answer(id, Answer::Aborted, "cancelled by the client", Time(0), Bytes::new());
        self.end_rpc(now, id);
    }

    /// Ends all RPCs of a client whose connection is being closed, with an aborted answer each.
    pub fn abort_client(&mut self, now: Time, client: ClientId) {
        let open: Vec<RpcId> =
            self.table(now).tags.range((client, 0)..=(client, u64::MAX)).map(|(_, id)| *id).collect();
        for id in open {
            let reason = "the connection is closed";
            self.module.host().answer(id, Answer::Aborted, reason, Time(0), Bytes::new());
            self.end_rpc(now, id);
        }
    }

    /// Ends all RPCs of a client whose connection is gone, without an answer.
    pub fn client_gone(&mut self, now: Time, client: ClientId) {
        let table = self.table(now);
        let all: Vec<_> =
            table.tags.range((client, 0)..=(client, u64::MAX)).map(|(k, id)| (*k, *id)).collect();
        for (key, id) in all {
            let table = self.module.host();
            table.tags.remove(&key);
            table.counters.left += 1;
            if let Some(entry) = table.rpcs.get_mut(&id) {
                (entry.answered, entry.body) = (true, Bytes::new());
            }
            self.end_rpc(now, id);
        }
    }

    /// Ends an answered RPC in the module and withdraws its open attempts.
    fn end_rpc(&mut self, now: Time, id: RpcId) {
        self.module.rpc_abandoned(id);
        let table = self.module.host();
        let open: Vec<RequestId> =
            table.rpcs.get(&id).map(|entry| entry.open.values().copied().collect()).unwrap_or_default();
        for request in open {
            if !table.ends.iter().any(|e| e.id == request) {
                table.withdraw(request, Outcome::TimeOut);
            }
        }
        table.forget_if_done(id);
        self.process_ends(now);
    }

    /// Records the end of an upstream request, by an answer or otherwise. A second end, or one of an unknown request,
    /// is ignored.
    pub fn request_ended(
        &mut self, now: Time, id: RequestId, outcome: Outcome, copy: CopyReport, rpcs_held: u64, copies: u64,
        load_report: Vec<f64>, body: Bytes,
    ) {
        self.table(now).ends.push_back(RequestEnd {
            id,
            outcome,
            copy,
            rpcs_held,
            copies,
            load_report,
            body,
        });
        self.process_ends(now);
    }

    /// Advances the time to `now` and runs the timers that are due.
    pub fn advance(&mut self, now: Time) {
        self.table(now);
        while let Some((_, timer)) = self.module.host().timers.pop(now) {
            match timer {
                Timer::Module(id) => self.module.timer_fired(now, id),
                Timer::RpcGuard(id) => self.guard(now, id),
                Timer::RequestLimit(id) => self.module.host().withdraw(id, Outcome::TimeOut),
            }
            self.process_ends(now);
        }
    }

    /// Aborts an RPC that the module did not answer in time. An abort makes no promise about the effect, so it is
    /// always a correct answer.
    fn guard(&mut self, now: Time, id: RpcId) {
        let table = self.module.host();
        let Some(entry) = table.rpcs.get(&id) else { return };
        if !entry.answered {
            table.counters.aborted_by_guard += 1;
            table.answer(id, Answer::Aborted, "its time was up", Time(0), Bytes::new());
        }
        self.end_rpc(now, id);
    }

    fn table(&mut self, now: Time) -> &mut RequestTable<D> {
        let table = self.module.host();
        table.now = table.now.max(now);
        table
    }

    /// Aborts all open RPCs, as this scheduler stops.
    pub fn abort_all(&mut self, now: Time) {
        let open: Vec<RpcId> = self.table(now).tags.values().copied().collect();
        for id in open {
            self.module.host().counters.cut_off += 1;
            self.module.host().answer(id, Answer::Aborted, "the scheduler ends", Time(0), Bytes::new());
            self.end_rpc(now, id);
        }
    }

    /// Reports ended upstream requests to the module until none is left.
    pub fn process_ends(&mut self, now: Time) {
        self.table(now);
        loop {
            let table = self.module.host();
            while let Some((id, outcome)) = table.driver.next_local_end() {
                table.queue_end(id, outcome);
            }
            let Some(end) = table.ends.pop_front() else { return };
            let Some(open) = table.requests.remove(&end.id) else { continue };
            let OpenRequest { kind, worker, sent, established_at } = open;
            match kind {
                RequestKind::Attempt(rpc, number) => {
                    let Some(entry) = table.rpcs.get_mut(&rpc) else { continue };
                    entry.open.remove(&number);
                    if end.outcome == Outcome::Ok && !entry.answered {
                        table.answer(rpc, Answer::Ok, "", Time(0), end.body);
                    }
                    let done = table.rpcs.get(&rpc).is_none_or(|e| e.answered);
                    let (outcome, elapsed) = (end.outcome, now - sent);
                    let (copy, rpcs_held) = (end.copy, end.rpcs_held);
                    if outcome == Outcome::Ok {
                        self.module.attempt_served(worker, sent, established_at);
                    }
                    self.module.attempt_ended(
                        now,
                        rpc,
                        number,
                        outcome,
                        elapsed,
                        done,
                        copy,
                        rpcs_held,
                        &end.load_report,
                    );
                    self.module.host().forget_if_done(rpc);
                }
                RequestKind::Load(function) => {
                    self.module.load_ended(now, worker, function, end.outcome, end.copies)
                }
                RequestKind::DrainQuery { established_by } => {
                    let is_identified = established_at.is_some_and(|at| at <= established_by);
                    self.module.drain_query_ended(now, worker, sent, end.outcome, is_identified)
                }
                RequestKind::Probe => self.module.load_report_received(now, worker, &end.load_report),
            }
        }
    }

    // The list of workers.

    /// From now on nothing is sent past the lease on the list, which was valid at `confirmed_at`. The drain grace is the
    /// settings' `contract.drainGrace`. Each query to discovery and each answer has to be reported.
    pub fn lease_list(&mut self, now: Time, confirmed_at: Time, terms: ListLeaseTerms) {
        self.module.lease_list(now, confirmed_at, terms);
    }

    /// Discovery was queried at `at`; all lists received by then were passed on.
    pub fn list_queried(&mut self, now: Time, at: Time) {
        self.table(now);
        self.module.list_queried(now, at);
        self.process_ends(now);
    }

    /// Discovery answered the query of `queried_at` with the list that was passed on last.
    pub fn list_confirmed(&mut self, now: Time, queried_at: Time) {
        self.table(now);
        self.module.list_confirmed(now, queried_at);
        self.process_ends(now);
    }

    /// Until when the lease on the list allows something new to be sent to any ready worker.
    pub fn list_lease_until(&self) -> Time {
        self.module.list_lease_until()
    }

    pub fn list_begin_received(&mut self, epoch: u64, version: u64, from: Option<u64>) {
        self.module.host().endpoints.begin(epoch, version, from);
    }

    pub fn list_entry_received(
        &mut self, now: Time, name: &str, address: &str, lifecycle: Lifecycle, start: u64, age: Option<Time>,
        zone: &str, cell: &str, size: f64,
    ) {
        let table = self.table(now);
        if let Err(error) =
            table.endpoints.add_entry(now, name, address, lifecycle, start, age, zone, cell, size)
        {
            table.driver.log(None, &format!("list: worker '{name}' ignored: {error}"));
        }
    }

    pub fn list_end_received(&mut self, now: Time) -> ListOutcome {
        let (mut entries, mut transitions) = (Vec::new(), Vec::new());
        let table = self.table(now);
        let (outcome, named) =
            table.endpoints.finish(|id, name, address, lifecycle, since, zone, cell, size| {
                match lifecycle {
                    Lifecycle::Gone => table.driver.worker_gone(now, id),
                    Lifecycle::Ready => table.driver.set_worker_address(now, id, name, address, since),
                    Lifecycle::Draining => {
                        table.driver.set_worker_address(now, id, name, address, since);
                        table.driver.worker_draining(now, id);
                    }
                }
                entries.push((id, lifecycle, since, zone, cell, size));
            });
        match outcome {
            ListOutcome::Applied { full } => {
                for (id, lifecycle, since, zone, cell, size) in entries {
                    self.module.worker_listed(now, id, lifecycle, since, zone, cell, size);
                    if lifecycle == Lifecycle::Gone {
                        self.gone_since.entry(id).or_insert(now);
                    } else {
                        self.gone_since.remove(&id);
                    }
                    transitions.extend(self.module.host().lifecycles.record(id, lifecycle));
                }
                self.module.list_received(now, full.then_some(&named));
                if full {
                    self.mark_missing_gone(now, &named, &mut transitions);
                }
                self.module.host().log_transitions(&transitions);
                self.process_ends(now);
            }
            ListOutcome::NeedsFull => table.driver.watch_list(None),
            ListOutcome::Unchanged | ListOutcome::Stale | ListOutcome::NotStarted => {}
        }
        outcome
    }

    /// Treats known workers that a full list does not name as gone: nothing new is sent to them.
    fn mark_missing_gone(
        &mut self, now: Time, named: &BTreeSet<WorkerId>, transitions: &mut Vec<Transition>,
    ) {
        let table = self.module.host();
        for worker in table.endpoints.missing(named) {
            table.driver.worker_gone(now, worker);
            transitions.extend(table.lifecycles.record(worker, Lifecycle::Gone));
            self.gone_since.entry(worker).or_insert(now);
        }
        let expired: Vec<_> = self
            .gone_since
            .iter()
            .filter(|(_, at)| **at + GONE_WORKER_RETENTION <= now)
            .map(|(w, _)| *w)
            .collect();
        for worker in expired {
            self.gone_since.remove(&worker);
            self.module.host().endpoints.forget(worker);
            self.module.host().lifecycles.forget(worker);
        }
    }

    /// Requests the list over a new connection to the list service.
    pub fn list_connected(&mut self) {
        let table = self.module.host();
        table.driver.watch_list(table.endpoints.version());
    }

    /// Discards a list that was being received, as the connection to the list service broke.
    pub fn list_disconnected(&mut self) {
        self.module.host().endpoints.discard_staged();
    }
}
