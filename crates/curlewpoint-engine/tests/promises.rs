//! What the engine promises, whatever happens: one answer an RPC, in its time, and one end an upstream request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::types::*;
use curlewpoint_engine::{Answer, ClientId, Engine, EngineDriver, Refusal, RequestId, UpstreamRequest};
use proptest::prelude::*;
use serde_json::{json, Map, Value};

#[derive(Default)]
struct Fake {
    out: BTreeMap<RequestId, (Option<RpcId>, WorkerId)>,
    answers: Vec<(u64, Answer, Bytes)>,
    sent_after_answer: usize,
    answered: BTreeSet<RpcId>,
    ends: VecDeque<(RequestId, Outcome)>,
    /// Requests that are refused on this side at once.
    dead: BTreeSet<WorkerId>,
    untouched: bool,
    asked_list: Vec<Option<(u64, u64)>>,
    told_gone: Vec<WorkerId>,
    /// RPCs taken and not forgotten.
    kept: BTreeSet<RpcId>,
}

impl EngineDriver for Fake {
    fn request(&mut self, _: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>) {
        let rpc = if let UpstreamRequest::Attempt { rpc, .. } = request { Some(rpc) } else { None };
        self.sent_after_answer += usize::from(rpc.is_some_and(|r| self.answered.contains(&r)));
        if self.dead.contains(&worker) {
            self.ends.push_back((id, Outcome::ConnectFailed));
        } else {
            self.out.insert(id, (rpc, worker));
        }
    }
    fn withdraw(&mut self, _: Time, id: RequestId) -> bool {
        self.out.remove(&id).is_some() && self.untouched
    }
    fn answer(&mut self, rpc: RpcId, _: ClientId, tag: u64, answer: Answer, _: &str, _: Time, body: Bytes) {
        self.answered.insert(rpc);
        self.answers.push((tag, answer, body));
    }
    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)> {
        self.ends.pop_front()
    }
    fn unload(&mut self, _: Time, _: WorkerId, _: &str) {}
    fn watch_list(&mut self, held: Option<(u64, u64)>) {
        self.asked_list.push(held);
    }
    fn set_worker_address(&mut self, _: Time, _: WorkerId, _: &str, _: &str, _: Time) {}
    fn worker_draining(&mut self, _: Time, _: WorkerId) {}
    fn worker_gone(&mut self, _: Time, worker: WorkerId) {
        self.told_gone.push(worker);
    }
    fn rpc_accepted(&mut self, rpc: RpcId) {
        assert!(self.kept.insert(rpc), "taken twice");
    }
    fn rpc_forgotten(&mut self, rpc: RpcId) {
        assert!(self.kept.remove(&rpc), "forgotten twice, or never taken");
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

struct Story {
    engine: Engine<Fake>,
    now: Time,
}

impl Story {
    fn new(workers: usize) -> Story {
        let mut s = Story { engine: Engine::start(START, Fake::default(), 7, settings()), now: START };
        s.list((1, 1), None, workers);
        s
    }

    fn list(&mut self, version: (u64, u64), from: Option<u64>, workers: usize) {
        self.engine.list_begins(version.0, version.1, from);
        for no in 0..workers {
            let name = format!("w{no}");
            self.engine.list_row(self.now, &name, "127.0.0.1:1", Lifecycle::Ready, 1, None, "z", "c", 1.0);
        }
        self.engine.list_ends(self.now);
    }

    fn rpc(&mut self, tag: u64, method: &str) -> Result<RpcId, Refusal> {
        let body = Bytes::from_static(b"scan");
        self.engine.submit_rpc(self.now, (CLIENT, tag), method, "model", "", Time(10_000), None, None, body)
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        self.engine.driver().out.remove(&id);
        let body = Bytes::from_static(b"read");
        self.engine.request_ended(self.now, id, outcome, CopyReport::Warm, 0, 1, Vec::new(), body);
    }

    /// The attempt that is out, and nothing else.
    fn out(&mut self) -> RequestId {
        let world = self.engine.driver();
        *world.out.iter().rev().find(|(_, o)| o.0.is_some()).expect("an attempt is out").0
    }

    fn pass(&mut self, span: u64) {
        self.now = self.now + Time(span);
        self.engine.advance(self.now);
    }

    fn answers(&mut self) -> Vec<Answer> {
        self.engine.driver().answers.iter().map(|a| a.1).collect()
    }
}

#[test]
fn an_answer_in_the_turn_of_the_deadline_counts_if_it_was_read_first() {
    let mut s = Story::new(3);
    s.rpc(1, "read").unwrap();
    let out = s.out();
    s.now = s.now + Time(9_800);
    s.end(out, Outcome::Ok);
    s.engine.advance(s.now);
    assert_eq!(s.answers(), [Answer::Ok]);
    assert_eq!(s.engine.held_rpcs(), 0);
}

#[test]
fn an_answer_after_an_abort_is_nothing() {
    let mut s = Story::new(3);
    s.rpc(1, "issue").unwrap();
    let out = s.out();
    s.pass(9_800);
    assert_eq!(s.answers(), [Answer::Aborted]);
    s.end(out, Outcome::Ok);
    assert_eq!(s.answers(), [Answer::Aborted]);
    assert_eq!((s.engine.held_rpcs(), s.engine.counters().aborted, s.engine.counters().ok), (0, 1, 0));
}

#[test]
fn a_second_answer_and_one_for_what_was_never_asked_are_nothing() {
    let mut s = Story::new(3);
    s.rpc(1, "read").unwrap();
    let out = s.out();
    s.end(RequestId(9_999), Outcome::Ok);
    assert_eq!(s.answers(), []);
    s.end(out, Outcome::Ok);
    s.end(out, Outcome::Error);
    assert_eq!(s.answers(), [Answer::Ok]);
}

#[test]
fn a_client_that_leaves_is_owed_nothing_and_its_attempts_are_taken_back() {
    let mut s = Story::new(3);
    s.rpc(1, "issue").unwrap();
    s.engine.client_gone(s.now, CLIENT);
    let f = s.engine.counters();
    assert_eq!((s.engine.driver().out.len(), f.left, s.engine.held_rpcs()), (0, 1, 0));
    s.pass(20_000);
    assert_eq!(s.answers(), []);
}

#[test]
fn a_clock_that_steps_by_a_second_answers_what_is_due_at_once() {
    let mut s = Story::new(3);
    for tag in 0..5 {
        s.rpc(tag, "issue").unwrap();
    }
    s.pass(500);
    s.pass(10_000);
    assert_eq!(s.answers().len(), 5);
    s.pass(10_000);
    assert_eq!((s.answers().len(), s.engine.counters().guarded), (5, 0));
}

#[test]
fn what_never_ran_goes_elsewhere_and_what_may_have_run_does_not() {
    let mut s = Story::new(3);
    s.rpc(1, "issue").unwrap();
    let out = s.out();
    s.end(out, Outcome::Full);
    let again = s.out();
    assert_ne!(out, again, "turned away unseen: another worker may take it");
    s.end(again, Outcome::Reset);
    assert!(s.engine.driver().out.values().all(|o| o.0.is_none()));
    assert_eq!(s.answers(), [Answer::Aborted]);
}

#[test]
fn refusals_take_nothing() {
    let mut s = Story::new(1);
    assert_eq!(s.rpc(1, "no-such"), Err(Refusal::NoSuchMethod));
    s.rpc(2, "read").unwrap();
    assert_eq!(s.rpc(2, "read"), Err(Refusal::TagInUse));
    let none = s.engine.submit_rpc(s.now, (CLIENT, 3), "read", "m", "", Time(200), None, None, Bytes::new());
    assert_eq!(none, Err(Refusal::NoTime), "all of it is the slack");
    for tag in 10..59 {
        s.rpc(tag, "read").unwrap();
    }
    assert_eq!(s.rpc(90, "read"), Err(Refusal::Full));
    s.engine.stop_accepting();
    assert_eq!(s.rpc(91, "read"), Err(Refusal::Stopping));
    let f = s.engine.counters();
    assert_eq!((f.taken, f.refused), (50, 5));
}

/// Without a token no worker can tell a repeat: the module would repeat what runs twice.
#[test]
fn a_tokened_method_is_not_taken_without_its_token() {
    let mut s = Story::new(1);
    s.engine.set_methods(vec![method("read", "idempotency_key")]).unwrap();
    let mut ask = |tag, token| {
        s.engine.submit_rpc(
            s.now,
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
    assert_eq!((ask(1, None), ask(2, Some(""))), (Err(Refusal::BadToken), Err(Refusal::BadToken)));
    assert!(ask(3, Some("k")).is_ok());
}

#[test]
fn a_full_list_without_a_worker_lets_it_go_and_a_gap_asks_anew() {
    let mut s = Story::new(3);
    s.list((1, 2), None, 2);
    assert_eq!(s.engine.driver().told_gone.len(), 1);
    s.list((1, 9), Some(7), 2);
    assert_eq!(s.engine.driver().asked_list.last(), Some(&None));
}

#[test]
fn as_many_sets_of_terms_are_known_as_may_be_and_the_same_ones_cost_nothing() {
    let mut s = Story::new(1);
    for no in 0..20_000 {
        let gain = json!(no % 9_000);
        let mut read = method("read", "read_like");
        read["gain"] = gain;
        assert_eq!(s.engine.set_methods(vec![read]), Ok(()), "{no}");
    }
    let many = (0..2_000).map(|no| method(&format!("m{no}"), "read_like")).collect();
    assert!(s.engine.set_methods(many).is_err());
    assert!(s.rpc(1, "read").is_ok(), "what was in force stays");
    assert_eq!(s.rpc(2, "m1"), Err(Refusal::NoSuchMethod));
}

#[derive(Clone, Debug)]
enum Step {
    Rpc(bool),
    End(usize, usize),
    Pass(u64),
    Cancel(u64),
    Kill(usize),
    Untouched(bool),
    Relist(usize),
    /// Which effects the two methods have from here on, or that the second is withdrawn.
    Serve(usize),
}

const SETS: [&[(&str, &str)]; 4] = [
    &[("read", "read_like"), ("issue", "non_idempotent")],
    &[("read", "non_idempotent"), ("issue", "read_like")],
    &[("read", "read_like")],
    &[("issue", "non_idempotent"), ("read", "idempotency_key")],
];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<bool>().prop_map(Step::Rpc),
        8 => (0usize..20, 0usize..6).prop_map(|(a, b)| Step::End(a, b)),
        4 => (1u64..4_000).prop_map(Step::Pass),
        1 => (0u64..200).prop_map(Step::Cancel),
        1 => (0usize..4).prop_map(Step::Kill),
        1 => any::<bool>().prop_map(Step::Untouched),
        1 => (1usize..5).prop_map(Step::Relist),
        1 => (0..SETS.len()).prop_map(Step::Serve),
    ]
}

const ENDS: [Outcome; 6] =
    [Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Reset, Outcome::NotSent, Outcome::Miss];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn every_rpc_ends_once_in_its_time_and_the_figures_add_up(steps in proptest::collection::vec(step(), 1..150)) {
        let mut s = Story::new(4);
        let (mut tag, mut version) = (0, 1);
        // When each is over at the latest, and whether an attempt of a side-effecting one may have run.
        let mut asked: BTreeMap<u64, Time> = BTreeMap::new();
        let mut may_have_run: BTreeSet<RpcId> = BTreeSet::new();
        let mut issues: BTreeSet<RpcId> = BTreeSet::new();
        let mut served = SETS[0];
        for step in steps {
            match step {
                Step::Rpc(issue) => {
                    tag += 1;
                    let name = if issue { "issue" } else { "read" };
                    let effect = served.iter().find(|m| m.0 == name).map(|m| m.1);
                    let taken = s.rpc(tag, name);
                    prop_assert_eq!(taken == Err(Refusal::NoSuchMethod), effect.is_none());
                    prop_assert!(effect != Some("idempotency_key") || taken.is_err(), "it has no token");
                    if let Ok(id) = taken {
                        asked.insert(tag, s.now + Time(10_000));
                        // By its effect at the time, whatever is served later.
                        if effect != Some("read_like") {
                            issues.insert(id);
                        }
                    }
                }
                Step::End(which, outcome) => {
                    let world = s.engine.driver();
                    let found = world.out.iter().nth(which % world.out.len().max(1)).map(|(id, o)| (*id, o.0));
                    if let Some((id, rpc)) = found {
                        let outcome = ENDS[outcome];
                        if let Some(rpc) = rpc.filter(|r| issues.contains(r)) {
                            if !outcome.never_ran() && outcome != Outcome::Ok {
                                may_have_run.insert(rpc);
                            }
                        }
                        s.end(id, outcome);
                    }
                }
                Step::Pass(span) => s.pass(span),
                Step::Cancel(tag) => s.engine.cancel(s.now, CLIENT, tag),
                Step::Kill(no) => {
                    let worker = WorkerId(curlewpoint_engine::id_of(&format!("w{no}")));
                    s.engine.driver().dead.insert(worker);
                }
                Step::Untouched(untouched) => s.engine.driver().untouched = untouched,
                Step::Serve(which) => {
                    served = SETS[which];
                    let methods = served.iter().map(|(name, effect)| method(name, effect)).collect();
                    prop_assert!(s.engine.set_methods(methods).is_ok());
                }
                Step::Relist(workers) => {
                    version += 1;
                    s.list((1, version), None, workers);
                }
            }
            let answered: BTreeSet<u64> = s.engine.driver().answers.iter().map(|a| a.0).collect();
            prop_assert_eq!(answered.len(), s.engine.driver().answers.len(), "one answer each");
            for (tag, until) in &asked {
                prop_assert!(answered.contains(tag) || s.now < *until, "RPC {} is late", tag);
            }
            let out = &s.engine.driver().out;
            prop_assert!(!out.values().any(|o| o.0.is_some_and(|r| may_have_run.contains(&r))), "no effect twice");
            let f = s.engine.counters();
            prop_assert_eq!(s.engine.driver().kept.len(), s.engine.held_rpcs());
            prop_assert_eq!(f.taken, f.ok + f.denied + f.aborted + f.left + s.engine.open_rpcs() as u64);
        }
        s.pass(30_000);
        prop_assert_eq!(s.engine.driver().answers.len(), asked.len());
        prop_assert_eq!(s.engine.driver().sent_after_answer, 0);
        prop_assert_eq!(s.engine.held_rpcs(), 0, "nothing is kept of what is over");
        prop_assert!(s.engine.driver().kept.is_empty());
        prop_assert_eq!(s.engine.counters().guarded, 0, "the module answers by itself");
    }
}
