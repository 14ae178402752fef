//! Each rule of the checker: a scripted scheduler breaks one rule on real sockets, and the checker reports that rule only.

use std::net::SocketAddr;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_emulator::{ListEntry, StoreSpec, WorkerSpec};
use curlewpoint_engine::Answer;
use curlewpoint_gateway::answer_code;
use curlewpoint_lab::test_servers::{MethodCost, TestListService, TestStore, TestWorker};
use curlewpoint_lab::{
    check_rules, NativeClient, RuleParameters, Script, Transcript, TranscriptEvent, Verdict, REHEARSAL_CONFIG,
};
use curlewpoint_link::{handshake, Link, LinkLimits};
use curlewpoint_wire::{Field, Frame, Kind};
use std::collections::BTreeMap;
use std::sync::Arc;
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::StreamExt;

const METHOD_COST: MethodCost =
    MethodCost { work_ms: 20.0, memory_mb: 100.0, load_ms: 20.0, fetch_share: 0.5, lanes: 4 };

/// How a scripted scheduler misbehaves with the RPC it receives.
#[derive(Clone, Copy, Debug)]
enum Misbehaviour {
    Nothing,
    Silent,
    Late,
    Twice,
    SendsAfterTheAnswer,
    RunsTwice,
    DeniesAfterAnAttempt,
    RetriesOutsideTheGroup,
    RetriesAfterTheMemorySpan,
    SendsToADrainingWorker,
    OrdersAtADrainingWorker,
    OverloadsAColdWorker,
    OrdersTooManyLoads,
}

/// A scheduler with links to one client and two workers, controlled by the test.
struct ScriptedScheduler {
    client: Link,
    workers: Vec<Link>,
    next: u64,
}

impl ScriptedScheduler {
    fn attempt(&mut self, worker: usize, asked: &Frame) {
        self.next += 1;
        let text = |field| asked.get_text(field).unwrap_or("");
        let f = Frame::new(Kind::ATTEMPT).int(Field::TAG, self.next).text(Field::METHOD, text(Field::METHOD));
        let f =
            f.text(Field::MODEL, text(Field::MODEL)).int(Field::TIME_LEFT, 30_000).body(asked.body.clone());
        self.workers[worker].outbox.send(f, None).unwrap();
    }

    fn order_load(&mut self, worker: usize) {
        self.next += 1;
        let f =
            Frame::new(Kind::LOAD).int(Field::TAG, self.next).text(Field::MODEL, "m").int(Field::COPIES, 1);
        self.workers[worker].outbox.send(f, None).unwrap();
    }

    async fn wait_for_answer(&mut self, worker: usize) {
        while let Some(Ok(f)) = self.workers[worker].reader.next().await {
            if f.kind == Kind::ANSWER {
                return;
            }
        }
    }

    fn answer(&self, asked: &Frame, answer: Answer) {
        let f = Frame::new(Kind::FINAL_ANSWER).int(Field::TAG, asked.get_int(Field::TAG).unwrap());
        self.client.outbox.send(f.int(Field::OUTCOME, answer_code(answer)), None).unwrap();
    }
}

async fn link(address: SocketAddr) -> Link {
    handshake(TcpStream::connect(address).await.unwrap(), "front", LinkLimits::default()).await.unwrap()
}

/// Runs one RPC of this method through a misbehaving scheduler, and checks the transcript.
async fn run(method: &str, misbehaviour: Misbehaviour) -> Verdict {
    let transcript = Transcript::default();
    let store = TestStore::start(
        "127.0.0.1:0",
        &transcript,
        StoreSpec { parallel_fetches: 8.0, overload_penalty: 0.0, max_fetches: 99 },
    )
    .await
    .unwrap();
    let list = TestListService::start("127.0.0.1:0", &transcript, Time(0)).await.unwrap();
    let config = curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("it is shipped");
    let of = |name| Time::from_ms(config.number("workers", name));
    let spec = WorkerSpec {
        cores: 2.0,
        speed: 1.0,
        slots: 8,
        queue: 500,
        memory_mb: 1000.0,
        loads_at_once: 4,
        keep_alive: Time(80_000),
        start_capacity: 0.25,
        warm_within: of("warm-within"),
        fall_multiple: 2.0,
        fall_window: of("fall-window"),
        adds_copies: true,
        answers_miss: false,
    };
    let method_costs =
        Arc::new(config.methods().iter().map(|m| (m.clone(), METHOD_COST)).collect::<BTreeMap<_, _>>());
    let mut terms = RuleParameters::from_config(&config);
    let mut test_workers = Vec::new();
    for (no, name) in ["w0", "w1"].into_iter().enumerate() {
        let test_worker = TestWorker::start(
            "127.0.0.1:0",
            name,
            &transcript,
            spec,
            Arc::clone(&method_costs),
            store.address,
            no as u64,
        )
        .await
        .unwrap();
        terms.groups.insert(name.to_owned(), (format!("cell-{no}"), format!("zone-{no}")));
        terms.capacity.insert(name.to_owned(), 2.0);
        test_worker.preload("m", 100.0);
        test_workers.push(test_worker);
    }
    terms.work = config.methods().iter().map(|m| (m.clone(), METHOD_COST.work_ms)).collect();
    if let Misbehaviour::OverloadsAColdWorker = misbehaviour {
        test_workers[0].kill();
        test_workers[0].start_process(true);
        wait_for(&transcript, |s| matches!(s, TranscriptEvent::WorkerStarted { .. })).await;
    }

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = tokio::spawn(async move {
        handshake(listener.accept().await.unwrap().0, "front", LinkLimits::default()).await.unwrap()
    });
    let rpc_client = NativeClient::open(&address.to_string(), "front", &transcript).await.unwrap();
    let client = accepting.await.unwrap();
    let workers = vec![link(test_workers[0].address).await, link(test_workers[1].address).await];
    let mut scheduler = ScriptedScheduler { client, workers, next: 0 };

    rpc_client.send_rpc(1, method, "m", "", Time(8_000), 32);
    let asked = scheduler.client.reader.next().await.unwrap().unwrap();
    misbehave(&mut scheduler, &asked, misbehaviour, &transcript, &list, &mut terms).await;
    // A marker attempt at each worker shows that everything sent before has arrived.
    let marker = Frame::new(Kind::ATTEMPT).text(Field::METHOD, "read-fields").text(Field::MODEL, "m");
    let marker = marker.int(Field::TAG, 0).int(Field::TIME_LEFT, 9).body(99u64.to_be_bytes().to_vec());
    for worker in
        scheduler.workers.iter().filter(|_| !matches!(misbehaviour, Misbehaviour::OverloadsAColdWorker))
    {
        worker.outbox.send(marker.clone(), None).unwrap();
    }
    let markers = if matches!(
        misbehaviour,
        Misbehaviour::OverloadsAColdWorker
            | Misbehaviour::SendsToADrainingWorker
            | Misbehaviour::OrdersAtADrainingWorker
    ) {
        0
    } else {
        2
    };
    wait_for_count(&transcript, markers, |s| matches!(s, TranscriptEvent::AttemptArrived { key: 99, .. }))
        .await;
    if let Misbehaviour::OverloadsAColdWorker = misbehaviour {
        wait_for(&transcript, |s| matches!(s, TranscriptEvent::WorkerOverloaded { .. })).await;
    }
    let seen: Vec<_> = transcript
        .events()
        .into_iter()
        .filter(|(_, s)| !matches!(s, TranscriptEvent::AttemptArrived { key: 99, .. }))
        .collect();
    check_rules(&terms, &seen)
}

async fn misbehave(
    r: &mut ScriptedScheduler, asked: &Frame, misbehaviour: Misbehaviour, transcript: &Transcript,
    list: &TestListService, terms: &mut RuleParameters,
) {
    match misbehaviour {
        Misbehaviour::Nothing
        | Misbehaviour::Twice
        | Misbehaviour::Late
        | Misbehaviour::SendsAfterTheAnswer => {
            r.attempt(0, asked);
            r.wait_for_answer(0).await;
            if let Misbehaviour::Late = misbehaviour {
                tokio::time::sleep(std::time::Duration::from_millis(850)).await;
            }
            r.answer(asked, Answer::Ok);
            wait_for(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
            if let Misbehaviour::Twice = misbehaviour {
                r.answer(asked, Answer::Aborted);
                wait_for_count(transcript, 2, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
            }
            if let Misbehaviour::SendsAfterTheAnswer = misbehaviour {
                tokio::time::sleep(std::time::Duration::from_micros(terms.max_transit.0 * 100 + 20_000))
                    .await;
                r.attempt(1, asked);
            }
        }
        Misbehaviour::Silent => {}
        Misbehaviour::RunsTwice | Misbehaviour::RetriesOutsideTheGroup => {
            r.attempt(0, asked);
            r.wait_for_answer(0).await;
            r.attempt(1, asked);
            r.wait_for_answer(1).await;
            r.answer(asked, Answer::Ok);
            wait_for(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Misbehaviour::RetriesAfterTheMemorySpan => {
            for group in terms.groups.values_mut() {
                group.0 = "one".to_owned();
            }
            for effect in terms.effects.values_mut() {
                if let curlewpoint_lab::Effect::Tokened { span, .. } = effect {
                    *span = Time(0);
                }
            }
            r.attempt(0, asked);
            r.wait_for_answer(0).await;
            tokio::time::sleep(std::time::Duration::from_micros(terms.max_transit.0 * 100 + 20_000)).await;
            r.attempt(1, asked);
            r.wait_for_answer(1).await;
            r.answer(asked, Answer::Ok);
            wait_for(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Misbehaviour::DeniesAfterAnAttempt => {
            r.attempt(0, asked);
            r.wait_for_answer(0).await;
            r.answer(asked, Answer::Denied);
            wait_for(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Misbehaviour::SendsToADrainingWorker | Misbehaviour::OrdersAtADrainingWorker => {
            let mut watch = link(list.address).await;
            let (address, zone, cell) = ("127.0.0.1:1".to_owned(), "z".to_owned(), "c".to_owned());
            list.set_entry(
                "w0",
                ListEntry {
                    address,
                    lifecycle: Lifecycle::Draining,
                    start_id: 1,
                    started_at: None,
                    zone,
                    cell,
                    size: 1.0,
                },
            );
            watch.outbox.send(Frame::new(Kind::WATCH), None).unwrap();
            wait_for(transcript, |s| {
                matches!(s, TranscriptEvent::ListEntrySent { lifecycle: Lifecycle::Draining, .. })
            })
            .await;
            while watch.reader.next().await.unwrap().unwrap().kind != Kind::LIST_END {}
            tokio::time::sleep(std::time::Duration::from_micros(
                (terms.drain_grace + terms.max_transit).0 * 100 + 20_000,
            ))
            .await;
            if let Misbehaviour::OrdersAtADrainingWorker = misbehaviour {
                r.order_load(0);
                wait_for(transcript, |s| matches!(s, TranscriptEvent::LoadOrdered { .. })).await;
            } else {
                r.attempt(0, asked);
                wait_for(transcript, |s| matches!(s, TranscriptEvent::AttemptArrived { .. })).await;
            }
            r.answer(asked, Answer::Aborted);
            wait_for(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Misbehaviour::OverloadsAColdWorker => {
            for _ in 0..200 {
                r.attempt(0, asked);
            }
            r.answer(asked, Answer::Ok);
            wait_for(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Misbehaviour::OrdersTooManyLoads => {
            (0..9).for_each(|_| r.order_load(0));
            wait_for_count(transcript, 9, |s| matches!(s, TranscriptEvent::LoadOrdered { .. })).await;
            r.answer(asked, Answer::Aborted);
            wait_for(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
    }
}

async fn wait_for(transcript: &Transcript, wanted: impl Fn(&TranscriptEvent) -> bool) {
    wait_for_count(transcript, 1, wanted).await;
}

async fn wait_for_count(transcript: &Transcript, n: usize, wanted: impl Fn(&TranscriptEvent) -> bool) {
    transcript.wait_for(|all| (all.iter().filter(|(_, s)| wanted(s)).count() >= n).then_some(())).await;
}

#[test_case("issue-extract", Misbehaviour::Nothing, 0 ; "no violation")]
#[test_case("issue-extract", Misbehaviour::Silent, 1 ; "no answer")]
#[test_case("issue-extract", Misbehaviour::Late, 1 ; "a late answer")]
#[test_case("issue-extract", Misbehaviour::Twice, 1 ; "two answers")]
#[test_case("read-fields", Misbehaviour::SendsAfterTheAnswer, 1 ; "an attempt after the answer")]
#[test_case("issue-extract", Misbehaviour::RunsTwice, 2 ; "two runs")]
#[test_case("read-fields", Misbehaviour::RunsTwice, 0 ; "two runs of an idempotent method")]
#[test_case("issue-extract", Misbehaviour::DeniesAfterAnAttempt, 2 ; "a denial after an attempt")]
#[test_case("read-register", Misbehaviour::RetriesOutsideTheGroup, 2 ; "a retry outside the group")]
#[test_case("read-register", Misbehaviour::RetriesAfterTheMemorySpan, 2 ; "a retry after the memory span")]
#[test_case("read-fields", Misbehaviour::SendsToADrainingWorker, 3 ; "an attempt to a draining worker")]
#[test_case("read-fields", Misbehaviour::OrdersAtADrainingWorker, 3 ; "a load order to a draining worker")]
#[test_case("read-fields", Misbehaviour::OverloadsAColdWorker, 4 ; "a cold worker overloaded")]
#[test_case("read-fields", Misbehaviour::OrdersTooManyLoads, 5 ; "too many load orders")]
fn a_violation_is_reported_for_its_rule_only(method: &str, misbehaviour: Misbehaviour, rule: usize) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let verdict = runtime.block_on(run(method, misbehaviour));
    let mut broken: Vec<usize> = verdict.violations.iter().map(|b| b.rule).collect();
    broken.dedup();
    let want: Vec<usize> = (rule > 0).then_some(rule).into_iter().collect();
    assert_eq!(broken, want, "{misbehaviour:?}: {:?}", verdict.violations);
}

/// Guards against a test worker whose port is not bound, or taken by another process, before its task first runs.
#[tokio::test]
async fn a_test_worker_is_reachable_from_its_start() {
    let transcript = Transcript::default();
    let any = "127.0.0.1:0";
    let store = TestStore::start(
        any,
        &transcript,
        StoreSpec { parallel_fetches: 1.0, overload_penalty: 0.0, max_fetches: 1 },
    )
    .await
    .unwrap();
    let config = curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).unwrap();
    let spec = Script::parse("x", "").unwrap().worker_spec(&config);
    let worker =
        TestWorker::start(any, "w", &transcript, spec, Arc::default(), store.address, 1).await.unwrap();
    // A blocking connect: no task has run since the start.
    std::net::TcpStream::connect(worker.address).expect("the listener is bound");
}

/// An answer 300 ms after the deadline is late unless stalls of this scheduler or of its clients, while the RPC was open,
/// cover that time.
#[test_case(&[], 1 ; "no stall")]
#[test_case(&[(None, 2_800, 3_150)], 0 ; "clients stalled for longer")]
#[test_case(&[(Some("front"), 1_000, 1_350)], 0 ; "the scheduler stalled for longer")]
#[test_case(&[(None, 2_800, 3_050)], 1 ; "clients stalled for less")]
#[test_case(&[(None, 1_500, 1_700), (Some("front"), 1_600, 1_760)], 1 ; "overlapping stalls")]
#[test_case(&[(None, 1_500, 1_700), (Some("front"), 1_690, 1_810)], 0 ; "consecutive stalls")]
#[test_case(&[(Some("other"), 1_000, 2_000)], 1 ; "another scheduler stalled")]
#[test_case(&[(None, 0, 1_000), (None, 3_300, 4_000)], 1 ; "stalls before and after the rpc")]
fn stalls_of_the_machine_do_not_make_an_answer_late(stalls: &[(Option<&str>, u64, u64)], broken: usize) {
    let ms = |ms: u64| Time(36_000_000 + ms * 10);
    let (key, scheduler, method) = (1, "front".to_owned(), "read-fields".to_owned());
    let mut seen = vec![
        (ms(1_000), TranscriptEvent::RpcSent { key, scheduler, method, time_left: Time(20_000) }),
        (ms(3_300), TranscriptEvent::FinalAnswer { key, answer: Answer::Denied }),
    ];
    for (who, since, until) in stalls {
        let scheduler = who.map(str::to_owned);
        seen.push((ms(*until), TranscriptEvent::Stalled { scheduler, since: ms(*since) }));
    }
    seen.sort_by_key(|(at, _)| *at);
    let config = curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).unwrap();
    let verdict = check_rules(&RuleParameters::from_config(&config), &seen);
    assert_eq!(verdict.violations.len(), broken, "{verdict}");
}

/// A blocked runtime records a stall; a scheduler's own sleep is not recorded as one.
#[tokio::test]
async fn a_blocked_runtime_records_a_stall() {
    let transcript = Transcript::default();
    let began = transcript.now();
    tokio::spawn(transcript.clone().watch_runtime_stalls());
    // Time that the scheduler's own thread sleeps is not a stall of the machine.
    tokio::spawn(transcript.clone().watch_scheduler_stalls("front".to_owned()));
    tokio::task::yield_now().await;
    let from = transcript.now();
    std::thread::sleep(std::time::Duration::from_millis(200));
    let until = transcript.now();
    let of_clients = |(at, seen): (Time, TranscriptEvent)| match seen {
        TranscriptEvent::Stalled { scheduler: None, since } => Some((at, since)),
        _ => None,
    };
    let (at, since) = loop {
        if let Some(stall) = transcript.events().into_iter().find_map(of_clients) {
            break stall;
        }
        tokio::task::yield_now().await;
    };
    let all = transcript.events();
    let front = all.iter().filter_map(|(at, seen)| match seen {
        TranscriptEvent::Stalled { scheduler: Some(_), since } => Some((*at - *since).0),
        _ => None,
    });
    // At most the time outside the sleep can have been spent waiting for a CPU.
    let max_stalled = (transcript.now() - began).0 - 2_000;
    assert!(front.sum::<u64>() <= max_stalled, "{all:?}");
    assert!(since <= from + Time(100) && at >= until, "{since:?} to {at:?}, not {from:?} to {until:?}");
}
