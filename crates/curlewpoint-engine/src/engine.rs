use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::host::Host;
use curlewpoint::scheduler::Scheduler;
use curlewpoint::types::*;
use serde_json::{Map, Value};

use crate::ids::{ClientId, NameTable, RequestId};
use crate::lifecycle::{describe, Lifecycles, Transition};
use crate::roster::{EndpointList, ListOutcome};
use crate::wheel::TimerWheel;

/// The final answer for an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    Ok,
    Denied,
    Aborted,
}

/// Why an RPC was not taken. Nothing is owed for it, and repeating it is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    NoSuchMethod,
    /// It was withdrawn a short while ago.
    Withdrawn,
    NoSuchTenant,
    /// As many RPCs are open as this scheduler holds.
    Full,
    /// So little time is left that no answer could be in time.
    NoTime,
    Stopping,
    /// The client has used this tag for an RPC that is open.
    TagInUse,
    /// The model's name cannot be taken: it is too long, there are too many, or its id is another's.
    BadModel,
    /// The token is too long, or the method needs one and there is none: without it no worker could know a repeat.
    BadToken,
}

/// What a worker is asked.
pub enum UpstreamRequest<'a> {
    Attempt {
        rpc: RpcId,
        number: AttemptNumber,
        method: &'a str,
        model: &'a str,
        tenant: &'a str,
        token: Option<&'a str>,
        time_left: Time,
        body: &'a Bytes,
    },
    Load {
        model: &'a str,
        copies: u64,
    },
    Probe,
}

/// What the engine acts through.
pub trait EngineDriver {
    /// Asks a worker; one `request_ended` follows, unless it is taken back.
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>);
    /// Nobody waits for the upstream request any more. True: not one byte of it was, or ever will be, sent.
    fn withdraw(&mut self, now: Time, id: RequestId) -> bool;
    /// The final answer for the RPC that `client` calls `tag`.
    fn answer(
        &mut self, rpc: RpcId, client: ClientId, tag: u64, answer: Answer, why: &str, retry_after: Time,
        body: Bytes,
    );
    /// The next of the upstream requests that ended on this side, without an answer.
    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)>;
    fn unload(&mut self, now: Time, worker: WorkerId, model: &str);
    /// The list is wanted from the version held on; none: the whole.
    fn watch_list(&mut self, held: Option<(u64, u64)>);
    /// Where a worker is reached; `since` tells one start of its process from another.
    fn set_worker_address(&mut self, now: Time, worker: WorkerId, name: &str, address: &str, since: Time);
    /// It drains: what has not been begun is not sent to it any more.
    fn worker_draining(&mut self, now: Time, worker: WorkerId);
    fn worker_gone(&mut self, now: Time, worker: WorkerId);
    /// The module has seen this of a function at a worker; others may be told.
    fn observed(&mut self, _worker: WorkerId, _function: FunctionId, _hint: Hint, _held: u64) {}
    /// An RPC of a function comes in; others may be asked what they know of it. Nothing waits for their answer.
    fn function_requested(&mut self, _function: FunctionId) {}
    /// An RPC has been taken: what it needs until it is forgotten is to be kept.
    fn rpc_accepted(&mut self, rpc: RpcId);
    /// It has its answer and no attempt of it is open: nothing comes for it any more.
    fn rpc_forgotten(&mut self, rpc: RpcId);
    fn log(&mut self, rpc: Option<RpcId>, line: &str);
}

/// Where every RPC went: taken = ok + denied + aborted + left + open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    pub taken: u64,
    pub ok: u64,
    pub denied: u64,
    pub aborted: u64,
    /// Their client went away first.
    pub left: u64,
    pub refused: u64,
    pub attempts: u64,
    pub loads: u64,
    pub probes: u64,
    /// Answered here because the module had said nothing in time.
    pub guarded: u64,
    /// Open when this scheduler ended, and aborted for that.
    pub cut_off: u64,
    /// Asked for by the module and passed over.
    pub passed_over: u64,
}

/// More sets of terms than this have been served since this scheduler started: the next need a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyMethodVersions;

/// A method as it was served at some time.
struct Terms {
    name: String,
    tokened: bool,
    give_up: Option<Time>,
    lanes: f64,
}

fn name_of(settings: &Value) -> &str {
    settings.get("name").and_then(Value::as_str).unwrap_or_default()
}

impl Terms {
    fn of(settings: &Value) -> Terms {
        let number = |name| settings.get(name).and_then(Value::as_f64);
        Terms {
            name: name_of(settings).to_owned(),
            tokened: settings.get("effect").is_some_and(|e| e == "idempotency_key"),
            give_up: number("giveUp").map(Time::from_ms),
            lanes: number("lanes").unwrap_or(1.0),
        }
    }
}

struct Owed {
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
enum What {
    Attempt(RpcId, AttemptNumber),
    Load(FunctionId),
    Probe,
}

struct Out {
    what: What,
    worker: WorkerId,
    sent: Time,
}

enum Wake {
    Module(TimerId),
    Guard(RpcId),
    UpstreamRequest(RequestId),
}

/// The end of an upstream request, as it is told to the module. Ends are told in the order in which they came.
struct End {
    id: RequestId,
    outcome: Outcome,
    copy: CopyReport,
    held: u64,
    copies: u64,
    report: Vec<f64>,
    body: Bytes,
}

/// All that the engine holds beside the module; it is the module's host.
struct Desk<W: EngineDriver> {
    world: W,
    now: Time,
    rpcs: BTreeMap<RpcId, Owed>,
    tags: BTreeMap<(ClientId, u64), RpcId>,
    outs: BTreeMap<RequestId, Out>,
    /// Ends that are known and not yet told: the module is not called from within its own call.
    ends: VecDeque<End>,
    wheel: TimerWheel<Wake>,
    /// The names of functions that RPCs held ask for, and how many do.
    functions: NameTable,
    asked_for: BTreeMap<FunctionId, usize>,
    roster: EndpointList,
    lifecycles: Lifecycles,
    /// All that were ever served here, by their ids; and which of them are now.
    methods: Vec<Terms>,
    /// The same by their settings, written out.
    known: BTreeMap<String, MethodId>,
    served: BTreeMap<String, MethodId>,
    tenants: Vec<String>,
    next_request: u64,
    order_limit: Time,
    probe_limit: Time,
    most_attempts: usize,
    figures: EngineCounters,
}

impl<W: EngineDriver> Desk<W> {
    fn open_request(&mut self, what: What, worker: WorkerId) -> RequestId {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.outs.insert(id, Out { what, worker, sent: self.now });
        id
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let (copy, held, copies) = (CopyReport::Unreported, 0, 0);
        self.ends.push_back(End { id, outcome, copy, held, copies, report: Vec::new(), body: Bytes::new() });
    }

    /// Ends an upstream request from here; one that was never begun provably never ran.
    fn withdraw(&mut self, id: RequestId, outcome: Outcome) {
        if self.outs.contains_key(&id) {
            let untouched = self.world.withdraw(self.now, id);
            self.end(id, if untouched { Outcome::NotSent } else { outcome });
        }
    }

    /// Logs what the list held now has changed.
    fn log_changes(&mut self, changes: &[Transition]) {
        let version = self.roster.held().map_or(0, |(_, version)| version);
        if let Some(line) = describe(version, changes, |worker| self.roster.name(worker)) {
            self.world.log(None, &line);
        }
    }

    fn pass_over(&mut self, rpc: RpcId, what: &str) {
        self.figures.passed_over += 1;
        self.world.log(Some(rpc), &format!("passed over: {what} after the answer"));
    }

    fn answer(&mut self, rpc: RpcId, answer: Answer, why: &str, retry_after: Time, body: Bytes) {
        let Some(owed) = self.rpcs.get_mut(&rpc).filter(|o| !o.answered) else {
            return self.pass_over(rpc, "an answer");
        };
        owed.answered = true;
        owed.body = Bytes::new();
        self.tags.remove(&(owed.client, owed.tag));
        match answer {
            Answer::Ok => self.figures.ok += 1,
            Answer::Denied => self.figures.denied += 1,
            Answer::Aborted => self.figures.aborted += 1,
        }
        self.world.answer(rpc, owed.client, owed.tag, answer, why, retry_after, body);
        self.forget_if_done(rpc);
    }

    fn forget_if_done(&mut self, rpc: RpcId) {
        if self.rpcs.get(&rpc).is_none_or(|o| !o.answered || !o.open.is_empty()) {
            return;
        }
        if let Some(Owed { function, .. }) = self.rpcs.remove(&rpc) {
            let others = self.asked_for.get_mut(&function).map_or(0, |n| {
                *n -= 1;
                *n
            });
            // Functions are named in what is sent for an RPC only; a client that invents them fills nothing.
            if others == 0 {
                self.asked_for.remove(&function);
                self.functions.forget(function.0);
            }
            self.world.rpc_forgotten(rpc);
        }
    }
}

impl<W: EngineDriver> Host for Desk<W> {
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, limit: Time) {
        let now = self.now;
        let Some(owed) = self.rpcs.get_mut(&rpc) else { return self.pass_over(rpc, "an attempt") };
        // Numbers count what the module asked for, also what is not sent.
        let number = AttemptNumber(owed.attempts);
        owed.attempts += 1;
        let (answered, spent) = (owed.answered, owed.attempts > self.most_attempts);
        let until = if limit == Time(0) { owed.deadline } else { owed.deadline.min(now + limit) };
        let id = self.open_request(What::Attempt(rpc, number), worker);
        let owed = self.rpcs.get_mut(&rpc).expect("looked up above");
        owed.open.insert(number, id);
        if answered || spent || until <= now {
            if answered {
                self.pass_over(rpc, "an attempt");
            }
            return self.end(id, Outcome::NotSent);
        }
        self.figures.attempts += 1;
        if until < owed.deadline {
            self.wheel.set(until, Wake::UpstreamRequest(id));
        }
        let (method, tenant) = (&self.methods[owed.method.0].name, self.tenants.get(owed.tenant.0));
        let (model, tenant) = (self.functions.name(owed.function.0), tenant.map_or("", String::as_str));
        let (token, time_left, body) = (owed.token.as_deref(), until - now, &owed.body);
        let request = UpstreamRequest::Attempt { rpc, number, method, model, tenant, token, time_left, body };
        self.world.request(now, id, worker, request);
    }

    fn cancel(&mut self, rpc: RpcId, no: AttemptNumber) {
        if let Some(&id) = self.rpcs.get(&rpc).and_then(|o| o.open.get(&no)) {
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

    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u64) {
        let id = self.open_request(What::Load(function), worker);
        self.figures.loads += 1;
        self.wheel.set(self.now + self.order_limit, Wake::UpstreamRequest(id));
        let model = self.functions.name(function.0);
        self.world.request(self.now, id, worker, UpstreamRequest::Load { model, copies });
    }

    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.world.unload(self.now, worker, self.functions.name(function.0));
    }

    fn probe(&mut self, worker: WorkerId) {
        let id = self.open_request(What::Probe, worker);
        self.figures.probes += 1;
        self.wheel.set(self.now + self.probe_limit, Wake::UpstreamRequest(id));
        self.world.request(self.now, id, worker, UpstreamRequest::Probe);
    }

    fn set_timer(&mut self, delay: Time, id: TimerId) {
        self.wheel.set(self.now + delay, Wake::Module(id));
    }

    fn watch_list(&mut self) {
        self.world.watch_list(self.roster.held());
    }

    fn observed(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, held: u64) {
        self.world.observed(worker, function, hint, held);
    }

    fn log(&mut self, line: &str) {
        self.world.log(None, line);
    }
}

/// One scheduler: RPCs taken and owed, upstream requests out, wake-ups and the list, around the module.
///
/// The settings are the module's; the engine reads from them the names of methods and tenants, `limits.maxOpen`,
/// `limits.maxAttempts`, `limits.probeLimit`, `familyInfo.orderLimit` and `contract.answerSlack`, the time that it
/// keeps back of what a client has left.
pub struct Engine<W: EngineDriver> {
    module: Scheduler<Desk<W>>,
    next_rpc: u64,
    slack: Time,
    most_open: usize,
    stopping: bool,
    gone: BTreeMap<WorkerId, Time>,
}

/// How long after its going the name and the start of a worker are kept: lists told late may still name it.
const GONE_KEPT: Time = Time(6_000_000);
/// The longest name of a model, and the longest token, in bytes: with them an attempt's head stays far below what any
/// worker takes. A longer one would end a connection that carries others' attempts.
const MOST_NAME: usize = 1024;
const MOST_WORKERS: usize = 100_000;
const MOST_MODELS: usize = 1_000_000;
const MOST_TERMS: usize = 10_000;

fn number(settings: &Map<String, Value>, part: &str, name: &str, default: f64) -> f64 {
    settings.get(part).and_then(|p| p.get(name)).and_then(Value::as_f64).unwrap_or(default)
}

fn list<'a>(settings: &'a Map<String, Value>, part: &str) -> &'a [Value] {
    settings.get(part).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

impl<W: EngineDriver> Engine<W> {
    pub fn start(now: Time, world: W, seed: u128, settings: Map<String, Value>) -> Self {
        let of_methods = list(&settings, "requestClasses");
        let methods: Vec<Terms> = of_methods.iter().map(Terms::of).collect();
        let known = of_methods.iter().enumerate().map(|(no, m)| (m.to_string(), MethodId(no))).collect();
        let served = methods.iter().enumerate().map(|(no, m)| (m.name.clone(), MethodId(no))).collect();
        let ms = |part, name, default| Time::from_ms(number(&settings, part, name, default));
        let desk = Desk {
            world,
            now,
            rpcs: BTreeMap::new(),
            tags: BTreeMap::new(),
            outs: BTreeMap::new(),
            ends: VecDeque::new(),
            wheel: TimerWheel::default(),
            functions: NameTable::new(MOST_MODELS),
            asked_for: BTreeMap::new(),
            roster: EndpointList::new(MOST_WORKERS),
            lifecycles: Lifecycles::default(),
            methods,
            known,
            served,
            tenants: list(&settings, "tenants").iter().map(|t| name_of(t).to_owned()).collect(),
            next_request: 0,
            order_limit: ms("familyInfo", "orderLimit", 10_000.0),
            probe_limit: ms("limits", "probeLimit", 1_000.0),
            most_attempts: number(&settings, "limits", "maxAttempts", 1e9) as usize,
            figures: EngineCounters::default(),
        };
        let (slack, most_open) =
            (ms("contract", "answerSlack", 0.0), number(&settings, "limits", "maxOpen", 1e5));
        Engine {
            module: Scheduler::start(desk, seed, settings),
            next_rpc: 0,
            slack,
            most_open: most_open as usize,
            stopping: false,
            gone: BTreeMap::new(),
        }
    }

    pub fn driver(&mut self) -> &mut W {
        &mut self.module.host().world
    }

    pub fn counters(&mut self) -> EngineCounters {
        self.module.host().figures
    }

    /// RPCs that are owed an answer.
    pub fn open_rpcs(&mut self) -> usize {
        self.module.host().tags.len()
    }

    /// RPCs held: those owed an answer, and those answered that still have an attempt open.
    pub fn held_rpcs(&mut self) -> usize {
        self.module.host().rpcs.len()
    }

    pub fn worker_name(&mut self, worker: WorkerId) -> &str {
        self.module.host().roster.name(worker)
    }

    /// Where what the module believes out differs from what is out here, or that from what the pool has open.
    pub fn find_mismatch(&mut self, open: &BTreeMap<RequestId, WorkerId>) -> Option<String> {
        let outs = &self.module.host().outs;
        let out = |id: &RequestId| outs.get(id).map(|o| o.worker);
        if let Some(id) = outs.keys().chain(open.keys()).find(|id| out(id) != open.get(id).copied()) {
            return Some(format!("request {} is out at {:?}, and open at {:?}", id.0, out(id), open.get(id)));
        }
        let mut attempts: BTreeMap<WorkerId, u64> = BTreeMap::new();
        for o in outs.values().filter(|o| matches!(o.what, What::Attempt(..))) {
            *attempts.entry(o.worker).or_default() += 1;
        }
        let believed: BTreeMap<WorkerId, u64> = self.module.believed_in_flight().collect();
        (believed != attempts).then(|| format!("believed out {believed:?}, and out {attempts:?}"))
    }

    /// How much is kept here and by the module, by kind.
    pub fn sizes(&mut self) -> Vec<(&'static str, usize)> {
        let desk = self.module.host();
        let here = [
            ("rpcs", desk.rpcs.len()),
            ("requests", desk.outs.len()),
            ("wake-ups", desk.wheel.len()),
            ("function names", desk.functions.len()),
            ("worker names", desk.roster.len()),
        ];
        here.into_iter().chain(self.module.table_sizes()).collect()
    }

    /// The RPC that an attempt which is out is for, and its method.
    pub fn rpc_of_attempt(&mut self, request: RequestId) -> Option<(RpcId, &str)> {
        let desk = self.module.host();
        let What::Attempt(rpc, _) = desk.outs.get(&request)?.what else { return None };
        Some((rpc, &desk.methods[desk.rpcs.get(&rpc)?.method.0].name))
    }

    /// From here on these methods are served and no others, by these terms. A method whose terms have changed is another
    /// one here and in the module: RPCs that are open go on under the terms that they were taken under.
    pub fn set_methods(&mut self, methods: Vec<Value>) -> Result<(), TooManyMethodVersions> {
        let desk = self.module.host();
        let keys: Vec<String> = methods.iter().map(Value::to_string).collect();
        let new: BTreeSet<&String> = keys.iter().filter(|key| !desk.known.contains_key(*key)).collect();
        if desk.methods.len() + new.len() > MOST_TERMS {
            return Err(TooManyMethodVersions);
        }
        desk.served.clear();
        for (settings, key) in methods.into_iter().zip(keys) {
            let desk = self.module.host();
            let next = MethodId(desk.methods.len());
            let id = *desk.known.entry(key).or_insert(next);
            desk.served.insert(name_of(&settings).to_owned(), id);
            if id == next {
                desk.methods.push(Terms::of(&settings));
                self.module.method_added(settings);
            }
        }
        Ok(())
    }

    /// So many instances feed these workers from here on.
    pub fn set_instance_count(&mut self, number: u64) {
        self.module.instance_count_changed(number);
    }

    /// Another scheduler saw this of a function at a worker so long ago.
    pub fn hinted(
        &mut self, now: Time, worker: WorkerId, function: FunctionId, hint: Hint, held: u64, age: Time,
    ) {
        self.module.hint_received(now, worker, function, hint, held, age);
    }

    /// The moment of the next wake-up, or one before it.
    pub fn next_wake(&mut self) -> Option<Time> {
        self.module.host().wheel.next()
    }

    /// From here on no RPC is taken; what is open goes on to its end.
    pub fn stop_accepting(&mut self) {
        self.stopping = true;
    }

    /// An RPC comes in, from a client that calls it by this tag. Once it is taken, one answer is owed until `left` less
    /// the slack has passed. Where it tells how many a copy of its model runs at a time, that holds; else its method's.
    pub fn submit_rpc(
        &mut self, now: Time, from: (ClientId, u64), method: &str, model: &str, tenant: &str, left: Time,
        token: Option<&str>, lanes: Option<f64>, body: Bytes,
    ) -> Result<RpcId, Refusal> {
        let taken = self.take(now, from, method, model, tenant, left, token, lanes, body);
        if taken.is_err() {
            self.module.host().figures.refused += 1;
        }
        taken
    }

    /// A door has refused an RPC by itself.
    pub fn count_refused(&mut self) {
        self.module.host().figures.refused += 1;
    }

    fn take(
        &mut self, now: Time, from: (ClientId, u64), method: &str, model: &str, tenant: &str, left: Time,
        token: Option<&str>, lanes: Option<f64>, body: Bytes,
    ) -> Result<RpcId, Refusal> {
        let (client, tag) = from;
        let (stopping, slack, most_open) = (self.stopping, self.slack, self.most_open);
        let desk = self.desk(now);
        let method = *desk.served.get(method).ok_or(Refusal::NoSuchMethod)?;
        let tenant = match desk.tenants.iter().position(|t| t == tenant) {
            Some(no) => no,
            None if desk.tenants.is_empty() => 0,
            None => return Err(Refusal::NoSuchTenant),
        };
        if stopping {
            return Err(Refusal::Stopping);
        }
        if desk.rpcs.len() >= most_open {
            return Err(Refusal::Full);
        }
        if desk.tags.contains_key(&from) {
            return Err(Refusal::TagInUse);
        }
        let Terms { tokened, give_up, lanes: usual, .. } = desk.methods[method.0];
        let left = give_up.map_or(left, |most| left.min(most)) - slack;
        if left == Time(0) {
            return Err(Refusal::NoTime);
        }
        if token.map_or(tokened, |t| t.len() > MOST_NAME || (tokened && t.is_empty())) {
            return Err(Refusal::BadToken);
        }
        if model.len() > MOST_NAME {
            return Err(Refusal::BadModel);
        }
        let function = FunctionId(self.module.host().functions.learn(model).map_err(|_| Refusal::BadModel)?);
        self.next_rpc += 1;
        let id = RpcId(self.next_rpc);
        let tenant = TenantId(tenant);
        let desk = self.module.host();
        let (attempts, open, answered) = (0, BTreeMap::new(), false);
        let (deadline, token) = (now + left, token.map(str::to_owned));
        let owed =
            Owed { client, tag, method, tenant, function, token, deadline, body, answered, attempts, open };
        desk.rpcs.insert(id, owed);
        *desk.asked_for.entry(function).or_default() += 1;
        desk.tags.insert(from, id);
        desk.figures.taken += 1;
        desk.world.rpc_accepted(id);
        desk.world.function_requested(function);
        // The module has said nothing by then: half the slack is left for the answer's way.
        desk.wheel.set(deadline + Time(slack.0 / 2), Wake::Guard(id));
        self.module.rpc_received(now, id, method, function, tenant, left, lanes.unwrap_or(usual));
        self.process_ends(now);
        Ok(id)
    }

    /// The client wants no answer any more; it gets one all the same, as it may not have known.
    pub fn cancel(&mut self, now: Time, client: ClientId, tag: u64) {
        let Some(&id) = self.desk(now).tags.get(&(client, tag)) else { return };
        self.module.host().answer(id, Answer::Aborted, "cancelled by the client", Time(0), Bytes::new());
        self.end_rpc(now, id);
    }

    /// A client's connection is gone: nothing more is owed to it.
    pub fn client_gone(&mut self, now: Time, client: ClientId) {
        let desk = self.desk(now);
        let all: Vec<_> =
            desk.tags.range((client, 0)..=(client, u64::MAX)).map(|(k, id)| (*k, *id)).collect();
        for (key, id) in all {
            let desk = self.module.host();
            desk.tags.remove(&key);
            desk.figures.left += 1;
            if let Some(owed) = desk.rpcs.get_mut(&id) {
                (owed.answered, owed.body) = (true, Bytes::new());
            }
            self.end_rpc(now, id);
        }
    }

    /// The module lets go of an RPC that has its answer, and what is still out for it is taken back.
    fn end_rpc(&mut self, now: Time, id: RpcId) {
        self.module.rpc_abandoned(id);
        let desk = self.module.host();
        let open: Vec<RequestId> =
            desk.rpcs.get(&id).map(|o| o.open.values().copied().collect()).unwrap_or_default();
        for request in open {
            if !desk.ends.iter().any(|e| e.id == request) {
                desk.withdraw(request, Outcome::TimeOut);
            }
        }
        desk.forget_if_done(id);
        self.process_ends(now);
    }

    /// An upstream request was answered, or is known to have ended. A second end, or one for what was never asked, is nothing.
    pub fn request_ended(
        &mut self, now: Time, id: RequestId, outcome: Outcome, copy: CopyReport, held: u64, copies: u64,
        report: Vec<f64>, body: Bytes,
    ) {
        self.desk(now).ends.push_back(End { id, outcome, copy, held, copies, report, body });
        self.process_ends(now);
    }

    /// Time has passed.
    pub fn advance(&mut self, now: Time) {
        self.desk(now);
        while let Some((_, what)) = self.module.host().wheel.pop(now) {
            match what {
                Wake::Module(id) => self.module.timer_fired(now, id),
                Wake::Guard(id) => self.guard(now, id),
                Wake::UpstreamRequest(id) => self.module.host().withdraw(id, Outcome::TimeOut),
            }
            self.process_ends(now);
        }
    }

    /// Guards against a module that says nothing: an abort promises nothing, so it breaks no rule.
    fn guard(&mut self, now: Time, id: RpcId) {
        let desk = self.module.host();
        let Some(owed) = desk.rpcs.get(&id) else { return };
        if !owed.answered {
            desk.figures.guarded += 1;
            desk.answer(id, Answer::Aborted, "its time was up", Time(0), Bytes::new());
        }
        self.end_rpc(now, id);
    }

    fn desk(&mut self, now: Time) -> &mut Desk<W> {
        let desk = self.module.host();
        desk.now = desk.now.max(now);
        desk
    }

    /// What is open is answered now: this scheduler ends.
    pub fn abort_all(&mut self, now: Time) {
        let open: Vec<RpcId> = self.desk(now).tags.values().copied().collect();
        for id in open {
            self.module.host().figures.cut_off += 1;
            self.module.host().answer(id, Answer::Aborted, "the scheduler ends", Time(0), Bytes::new());
            self.end_rpc(now, id);
        }
    }

    /// Tells the module of ends until none is left.
    pub fn process_ends(&mut self, now: Time) {
        self.desk(now);
        loop {
            let desk = self.module.host();
            while let Some((id, outcome)) = desk.world.next_local_end() {
                desk.end(id, outcome);
            }
            let Some(end) = desk.ends.pop_front() else { return };
            let Some(Out { what, worker, sent }) = desk.outs.remove(&end.id) else { continue };
            match what {
                What::Attempt(rpc, no) => {
                    let Some(owed) = desk.rpcs.get_mut(&rpc) else { continue };
                    owed.open.remove(&no);
                    if end.outcome == Outcome::Ok && !owed.answered {
                        desk.answer(rpc, Answer::Ok, "", Time(0), end.body);
                    }
                    let done = desk.rpcs.get(&rpc).is_none_or(|o| o.answered);
                    let (outcome, elapsed) = (end.outcome, now - sent);
                    let (copy, held) = (end.copy, end.held);
                    self.module.attempt_ended(now, rpc, no, outcome, elapsed, done, copy, held, &end.report);
                    self.module.host().forget_if_done(rpc);
                }
                What::Load(function) => {
                    self.module.load_ended(now, worker, function, end.outcome, end.copies)
                }
                What::Probe => self.module.load_report_received(now, worker, &end.report),
            }
        }
    }

    // The list.

    pub fn list_begins(&mut self, epoch: u64, version: u64, from: Option<u64>) {
        self.module.host().roster.begins(epoch, version, from);
    }

    pub fn list_row(
        &mut self, now: Time, name: &str, address: &str, standing: Lifecycle, start: u64, age: Option<Time>,
        zone: &str, cell: &str, size: f64,
    ) {
        let desk = self.desk(now);
        if let Err(why) = desk.roster.row(now, name, address, standing, start, age, zone, cell, size) {
            desk.world.log(None, &format!("list: worker '{name}' passed over: {why}"));
        }
    }

    pub fn list_ends(&mut self, now: Time) -> ListOutcome {
        let (mut rows, mut changes) = (Vec::new(), Vec::new());
        let desk = self.desk(now);
        let (read, named) = desk.roster.ends(|id, name, address, standing, since, zone, cell, size| {
            match standing {
                Lifecycle::Gone => desk.world.worker_gone(now, id),
                Lifecycle::Ready => desk.world.set_worker_address(now, id, name, address, since),
                Lifecycle::Draining => {
                    desk.world.set_worker_address(now, id, name, address, since);
                    desk.world.worker_draining(now, id);
                }
            }
            rows.push((id, standing, since, zone, cell, size));
        });
        match read {
            ListOutcome::Applied { full } => {
                for (id, standing, since, zone, cell, size) in rows {
                    self.module.worker_listed(now, id, standing, since, zone, cell, size);
                    if standing == Lifecycle::Gone {
                        self.gone.entry(id).or_insert(now);
                    } else {
                        self.gone.remove(&id);
                    }
                    changes.extend(self.module.host().lifecycles.told(id, standing));
                }
                self.module.list_received(now, full.then_some(&named));
                if full {
                    self.missing_are_gone(now, &named, &mut changes);
                }
                self.module.host().log_changes(&changes);
                self.process_ends(now);
            }
            ListOutcome::NeedsFull => desk.world.watch_list(None),
            ListOutcome::Stale | ListOutcome::NotStarted => {}
        }
        read
    }

    /// Those that a full list no longer names: their connections take nothing new either.
    fn missing_are_gone(&mut self, now: Time, named: &BTreeSet<WorkerId>, changes: &mut Vec<Transition>) {
        let desk = self.module.host();
        for worker in desk.roster.missing(named) {
            desk.world.worker_gone(now, worker);
            changes.extend(desk.lifecycles.told(worker, Lifecycle::Gone));
            self.gone.entry(worker).or_insert(now);
        }
        let long: Vec<_> =
            self.gone.iter().filter(|(_, at)| **at + GONE_KEPT <= now).map(|(w, _)| *w).collect();
        for worker in long {
            self.gone.remove(&worker);
            self.module.host().roster.forget(worker);
            self.module.host().lifecycles.forget(worker);
        }
    }

    /// The list service can be asked again.
    pub fn list_connected(&mut self) {
        let desk = self.module.host();
        desk.world.watch_list(desk.roster.held());
    }

    pub fn list_disconnected(&mut self) {
        self.module.host().roster.broke();
    }
}
