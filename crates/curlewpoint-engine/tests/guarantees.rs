//! The engine's guarantees under any sequence of events: one answer per RPC, in its time, and one end per upstream
//! request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{Answer, ClientId, Engine, EngineDriver, Refusal, RequestId, UpstreamRequest};
use proptest::prelude::*;
use serde_json::{json, Map, Value};

#[derive(Default)]
struct FakeDriver {
    open: BTreeMap<RequestId, (Option<RpcId>, WorkerId)>,
    answers: Vec<(u64, Answer, Bytes)>,
    sent_after_answer: usize,
    answered: BTreeSet<RpcId>,
    local_ends: VecDeque<(RequestId, Outcome)>,
    /// Workers to which requests fail at once on this side.
    unreachable: BTreeSet<WorkerId>,
    /// Withdrawn requests count as unsent.
    unsent: bool,
    /// The versions from which the list was requested.
    list_requests: Vec<Option<(u64, u64)>>,
    gone_workers: Vec<WorkerId>,
    /// RPCs accepted and not forgotten.
    held_rpcs: BTreeSet<RpcId>,
}

impl EngineDriver for FakeDriver {
    fn request(&mut self, _: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>) {
        let rpc = if let UpstreamRequest::Attempt { rpc, .. } = request { Some(rpc) } else { None };
        self.sent_after_answer += usize::from(rpc.is_some_and(|r| self.answered.contains(&r)));
        if self.unreachable.contains(&worker) {
            self.local_ends.push_back((id, Outcome::ConnectFailed));
        } else {
            self.open.insert(id, (rpc, worker));
        }
    }
    fn withdraw(&mut self, _: Time, id: RequestId) -> bool {
        self.open.remove(&id).is_some() && self.unsent
    }
    fn answer(&mut self, rpc: RpcId, _: ClientId, tag: u64, answer: Answer, _: &str, _: Time, body: Bytes) {
        self.answered.insert(rpc);
        self.answers.push((tag, answer, body));
    }
    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)> {
        self.local_ends.pop_front()
    }
    fn unload(&mut self, _: Time, _: WorkerId, _: &str) {}
    fn watch_list(&mut self, held: Option<(u64, u64)>) {
        self.list_requests.push(held);
    }
    fn set_worker_address(&mut self, _: Time, _: WorkerId, _: &str, _: &str, _: Time) {}
    fn worker_draining(&mut self, _: Time, _: WorkerId) {}
    fn worker_gone(&mut self, _: Time, worker: WorkerId) {
        self.gone_workers.push(worker);
    }
    fn rpc_accepted(&mut self, rpc: RpcId) {
        assert!(self.held_rpcs.insert(rpc), "accepted twice");
    }
    fn rpc_forgotten(&mut self, rpc: RpcId) {
        assert!(self.held_rpcs.remove(&rpc), "forgotten twice, or never accepted");
    }
    fn log(&mut self, _: Option<RpcId>, _: &str) {}
}

fn method(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "memorySpan": 5000.0, "aim": 300.0, "giveUp": 2000.0, "gain": 1.0, "lanes": 2.0})
}

fn settings() -> Map<String, Value> {
    let all = json!({
        "instances": 1,
        "requestClasses": [method("read", "read_like"), method("issue", "non_idempotent")],
        "contract": {"warmWithin": 10000.0, "fall": 2000.0, "fallMultiple": 2.0, "startCapacity": 0.2, "answerSlack": 20.0},
        "familyInfo": {"keepAlive": 8000.0, "mayOrder": true, "whenAbsent": "load"},
        "limits": {"maxAttempts": 4, "mayCancel": true, "secondCopies": true, "probes": true, "maxOpen": 50},
        "loadInfo": {"how": "pull", "names": ["utilization"]},
    });
    all.as_object().expect("an object").clone()
}

const START: Time = Time(1_000_000);
const CLIENT: ClientId = ClientId(1);

struct Harness {
    engine: Engine<FakeDriver>,
    now: Time,
}

impl Harness {
    fn new(workers: usize) -> Harness {
        let mut harness =
            Harness { engine: Engine::start(START, FakeDriver::default(), 7, settings()), now: START };
        harness.list((1, 1), None, workers);
        harness
    }

    fn list(&mut self, version: (u64, u64), from: Option<u64>, workers: usize) {
        self.engine.list_begin_received(version.0, version.1, from);
        for index in 0..workers {
            let name = format!("w{index}");
            self.engine.list_entry_received(
                self.now,
                &name,
                "127.0.0.1:1",
                Lifecycle::Ready,
                1,
                None,
                "z",
                "c",
                1.0,
            );
        }
        self.engine.list_end_received(self.now);
    }

    fn rpc(&mut self, tag: u64, method: &str) -> Result<RpcId, Refusal> {
        let body = Bytes::from_static(b"scan");
        self.engine.submit_rpc(self.now, (CLIENT, tag), method, "model", "", Time(10_000), None, None, body)
    }

    fn end_request(&mut self, id: RequestId, outcome: Outcome) {
        self.engine.driver().open.remove(&id);
        let body = Bytes::from_static(b"read");
        self.engine.request_ended(self.now, id, outcome, CopyReport::Warm, 0, 1, Vec::new(), body);
    }

    /// The most recent open attempt.
    fn open_attempt(&mut self) -> RequestId {
        let driver = self.engine.driver();
        *driver.open.iter().rev().find(|(_, request)| request.0.is_some()).expect("an attempt is open").0
    }

    fn advance(&mut self, span: u64) {
        self.now = self.now + Time(span);
        self.engine.advance(self.now);
    }

    fn answers(&mut self) -> Vec<Answer> {
        self.engine.driver().answers.iter().map(|a| a.1).collect()
    }
}

#[test]
fn an_answer_read_before_the_deadline_timer_counts() {
    let mut harness = Harness::new(3);
    harness.rpc(1, "read").unwrap();
    let attempt = harness.open_attempt();
    harness.now = harness.now + Time(9_800);
    harness.end_request(attempt, Outcome::Ok);
    harness.engine.advance(harness.now);
    assert_eq!(harness.answers(), [Answer::Ok]);
    assert_eq!(harness.engine.held_rpcs(), 0);
}

#[test]
fn an_answer_after_an_abort_is_ignored() {
    let mut harness = Harness::new(3);
    harness.rpc(1, "issue").unwrap();
    let attempt = harness.open_attempt();
    harness.advance(9_800);
    assert_eq!(harness.answers(), [Answer::Aborted]);
    harness.end_request(attempt, Outcome::Ok);
    assert_eq!(harness.answers(), [Answer::Aborted]);
    assert_eq!(
        (harness.engine.held_rpcs(), harness.engine.counters().aborted, harness.engine.counters().ok),
        (0, 1, 0)
    );
}

#[test]
fn a_second_answer_and_one_to_an_unknown_request_are_ignored() {
    let mut harness = Harness::new(3);
    harness.rpc(1, "read").unwrap();
    let attempt = harness.open_attempt();
    harness.end_request(RequestId(9_999), Outcome::Ok);
    assert_eq!(harness.answers(), []);
    harness.end_request(attempt, Outcome::Ok);
    harness.end_request(attempt, Outcome::Error);
    assert_eq!(harness.answers(), [Answer::Ok]);
}

#[test]
fn a_client_that_disconnects_gets_no_answer_and_its_attempts_are_withdrawn() {
    let mut harness = Harness::new(3);
    harness.rpc(1, "issue").unwrap();
    harness.engine.client_gone(harness.now, CLIENT);
    let f = harness.engine.counters();
    assert_eq!((harness.engine.driver().open.len(), f.left, harness.engine.held_rpcs()), (0, 1, 0));
    harness.advance(20_000);
    assert_eq!(harness.answers(), []);
}

#[test]
fn after_a_clock_jump_of_a_second_all_due_rpcs_are_answered_at_once() {
    let mut harness = Harness::new(3);
    for tag in 0..5 {
        harness.rpc(tag, "issue").unwrap();
    }
    harness.advance(500);
    harness.advance(10_000);
    assert_eq!(harness.answers().len(), 5);
    harness.advance(10_000);
    assert_eq!((harness.answers().len(), harness.engine.counters().aborted_by_guard), (5, 0));
}

#[test]
fn an_attempt_that_never_ran_is_repeated_elsewhere_and_one_that_may_have_run_is_not() {
    let mut harness = Harness::new(3);
    harness.rpc(1, "issue").unwrap();
    let attempt = harness.open_attempt();
    harness.end_request(attempt, Outcome::Full);
    let again = harness.open_attempt();
    assert_ne!(attempt, again, "the worker did not run it, so another may");
    harness.end_request(again, Outcome::Reset);
    assert!(harness.engine.driver().open.values().all(|request| request.0.is_none()));
    assert_eq!(harness.answers(), [Answer::Aborted]);
}

#[test]
fn refused_rpcs_are_not_counted_as_accepted() {
    let mut harness = Harness::new(1);
    assert_eq!(harness.rpc(1, "no-such"), Err(Refusal::NoSuchMethod));
    harness.rpc(2, "read").unwrap();
    assert_eq!(harness.rpc(2, "read"), Err(Refusal::TagInUse));
    let no_time = harness.engine.submit_rpc(
        harness.now,
        (CLIENT, 3),
        "read",
        "m",
        "",
        Time(200),
        None,
        None,
        Bytes::new(),
    );
    assert_eq!(no_time, Err(Refusal::NoTime), "the time left is no more than the slack");
    for tag in 10..59 {
        harness.rpc(tag, "read").unwrap();
    }
    assert_eq!(harness.rpc(90, "read"), Err(Refusal::Full));
    harness.engine.stop_accepting();
    assert_eq!(harness.rpc(91, "read"), Err(Refusal::Stopping));
    let f = harness.engine.counters();
    assert_eq!((f.taken, f.refused), (50, 5));
}

/// Guards against effects that happen twice: the module repeats attempts of a tokened method, and without a token no
/// worker can recognize a repeat.
#[test]
fn a_tokened_method_is_refused_without_its_token() {
    let mut harness = Harness::new(1);
    harness.engine.set_methods(vec![method("read", "idempotency_key")]).unwrap();
    let mut submit = |tag, token| {
        harness.engine.submit_rpc(
            harness.now,
            (CLIENT, tag),
            "read",
            "model",
            "",
            Time(10_000),
            token,
            None,
            Bytes::new(),
        )
    };
    assert_eq!((submit(1, None), submit(2, Some(""))), (Err(Refusal::BadToken), Err(Refusal::BadToken)));
    assert!(submit(3, Some("k")).is_ok());
}

#[test]
fn a_worker_missing_from_a_full_list_is_gone_and_a_gap_requests_the_full_list() {
    let mut harness = Harness::new(3);
    harness.list((1, 2), None, 2);
    assert_eq!(harness.engine.driver().gone_workers.len(), 1);
    harness.list((1, 9), Some(7), 2);
    assert_eq!(harness.engine.driver().list_requests.last(), Some(&None));
}

#[test]
fn method_versions_are_limited_and_repeated_ones_are_not_counted_again() {
    let mut harness = Harness::new(1);
    for round in 0..20_000 {
        let gain = json!(round % 9_000);
        let mut read = method("read", "read_like");
        read["gain"] = gain;
        assert_eq!(harness.engine.set_methods(vec![read]), Ok(()), "{round}");
    }
    let too_many = (0..2_000).map(|index| method(&format!("m{index}"), "read_like")).collect();
    assert!(harness.engine.set_methods(too_many).is_err());
    assert!(harness.rpc(1, "read").is_ok(), "the methods served before stay");
    assert_eq!(harness.rpc(2, "m1"), Err(Refusal::NoSuchMethod));
}

#[derive(Clone, Debug)]
enum Step {
    Rpc(bool),
    End(usize, usize),
    Advance(u64),
    Cancel(u64),
    MakeUnreachable(usize),
    Unsent(bool),
    List(usize),
    /// The index of the method set that is served from now on.
    SetMethods(usize),
}

/// Sets of methods with their effects.
const METHOD_SETS: [&[(&str, &str)]; 4] = [
    &[("read", "read_like"), ("issue", "non_idempotent")],
    &[("read", "non_idempotent"), ("issue", "read_like")],
    &[("read", "read_like")],
    &[("issue", "non_idempotent"), ("read", "idempotency_key")],
];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<bool>().prop_map(Step::Rpc),
        8 => (0usize..20, 0usize..6).prop_map(|(index, outcome)| Step::End(index, outcome)),
        4 => (1u64..4_000).prop_map(Step::Advance),
        1 => (0u64..200).prop_map(Step::Cancel),
        1 => (0usize..4).prop_map(Step::MakeUnreachable),
        1 => any::<bool>().prop_map(Step::Unsent),
        1 => (1usize..5).prop_map(Step::List),
        1 => (0..METHOD_SETS.len()).prop_map(Step::SetMethods),
    ]
}

const OUTCOMES: [Outcome; 6] =
    [Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Reset, Outcome::NotSent, Outcome::Miss];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn every_rpc_ends_once_in_its_time_and_the_counters_add_up(steps in proptest::collection::vec(step(), 1..150)) {
        let mut harness = Harness::new(4);
        let (mut tag, mut version) = (0, 1);
        // The deadline of each RPC by tag; the side-effecting RPCs, and those of them of which an attempt may have
        // run.
        let mut deadlines: BTreeMap<u64, Time> = BTreeMap::new();
        let mut may_have_run: BTreeSet<RpcId> = BTreeSet::new();
        let mut side_effecting: BTreeSet<RpcId> = BTreeSet::new();
        let mut served = METHOD_SETS[0];
        for step in steps {
            match step {
                Step::Rpc(issue) => {
                    tag += 1;
                    let name = if issue { "issue" } else { "read" };
                    let effect = served.iter().find(|m| m.0 == name).map(|m| m.1);
                    let result = harness.rpc(tag, name);
                    prop_assert_eq!(result == Err(Refusal::NoSuchMethod), effect.is_none());
                    prop_assert!(effect != Some("idempotency_key") || result.is_err(), "it has no token");
                    if let Ok(id) = result {
                        deadlines.insert(tag, harness.now + Time(10_000));
                        // The effect at the time of acceptance applies, whatever is served later.
                        if effect != Some("read_like") {
                            side_effecting.insert(id);
                        }
                    }
                }
                Step::End(index, outcome) => {
                    let driver = harness.engine.driver();
                    let found = driver
                        .open
                        .iter()
                        .nth(index % driver.open.len().max(1))
                        .map(|(id, request)| (*id, request.0));
                    if let Some((id, rpc)) = found {
                        let outcome = OUTCOMES[outcome];
                        if let Some(rpc) = rpc.filter(|rpc| side_effecting.contains(rpc)) {
                            if !outcome.never_ran() && outcome != Outcome::Ok {
                                may_have_run.insert(rpc);
                            }
                        }
                        harness.end_request(id, outcome);
                    }
                }
                Step::Advance(span) => harness.advance(span),
                Step::Cancel(tag) => harness.engine.cancel(harness.now, CLIENT, tag),
                Step::MakeUnreachable(index) => {
                    let worker = WorkerId(curlewpoint_engine::id_of(&format!("w{index}")));
                    harness.engine.driver().unreachable.insert(worker);
                }
                Step::Unsent(unsent) => harness.engine.driver().unsent = unsent,
                Step::SetMethods(index) => {
                    served = METHOD_SETS[index];
                    let methods = served.iter().map(|(name, effect)| method(name, effect)).collect();
                    prop_assert!(harness.engine.set_methods(methods).is_ok());
                }
                Step::List(workers) => {
                    version += 1;
                    harness.list((1, version), None, workers);
                }
            }
            let answered: BTreeSet<u64> = harness.engine.driver().answers.iter().map(|a| a.0).collect();
            prop_assert_eq!(answered.len(), harness.engine.driver().answers.len(), "one answer each");
            for (tag, deadline) in &deadlines {
                prop_assert!(answered.contains(tag) || harness.now < *deadline, "RPC {} is late", tag);
            }
            let open = &harness.engine.driver().open;
            prop_assert!(
                !open.values().any(|request| request.0.is_some_and(|rpc| may_have_run.contains(&rpc))),
                "an effect could happen twice"
            );
            let f = harness.engine.counters();
            prop_assert_eq!(harness.engine.driver().held_rpcs.len(), harness.engine.held_rpcs());
            prop_assert_eq!(f.taken, f.ok + f.denied + f.aborted + f.left + harness.engine.open_rpcs() as u64);
        }
        harness.advance(30_000);
        prop_assert_eq!(harness.engine.driver().answers.len(), deadlines.len());
        prop_assert_eq!(harness.engine.driver().sent_after_answer, 0);
        prop_assert_eq!(harness.engine.held_rpcs(), 0, "no ended RPC is held");
        prop_assert!(harness.engine.driver().held_rpcs.is_empty());
        prop_assert_eq!(harness.engine.counters().aborted_by_guard, 0, "the module answers without the engine's guard");
    }
}

/// Guards against memory that grows with the rate of calls: RPCs that end at once left their timers until their deadline,
/// and the times at which they were received for half a minute.
#[test]
fn what_is_kept_does_not_grow_with_the_number_of_rpcs_that_have_ended() {
    const RPCS: u64 = 200_000;
    const MAX_ENTRIES: usize = 70_000;
    let mut harness = Harness::new(2);
    for tag in 1..=RPCS {
        harness.rpc(tag, "read").expect("it is accepted");
        harness.engine.cancel(harness.now, CLIENT, tag);
    }
    for (table, entries) in harness.engine.sizes() {
        assert!(entries <= MAX_ENTRIES, "{entries} {table}");
    }
}
