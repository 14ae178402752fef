//! The checker knows each rule: a scripted scheduler breaks one on real sockets, and is caught for that one.

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

/// What a scripted scheduler does with the RPC that it takes.
#[derive(Clone, Copy, Debug)]
enum Breaks {
    Nothing,
    Silent,
    Late,
    Twice,
    CallsOutAfterTheAnswer,
    RunsTwice,
    DeniesWhatMayHaveRun,
    RepeatsOutsideTheGroup,
    RepeatsAfterTheSpan,
    SendsToADrain,
    OrdersAtADrain,
    PushesACold,
    OrdersTooMany,
}

/// A scheduler that knows its two workers and does as it is told.
struct Rogue {
    client: Link,
    workers: Vec<Link>,
    next: u64,
}

impl Rogue {
    fn attempt(&mut self, worker: usize, asked: &Frame) {
        self.next += 1;
        let text = |field| asked.get_text(field).unwrap_or("");
        let f = Frame::new(Kind::ATTEMPT).int(Field::TAG, self.next).text(Field::METHOD, text(Field::METHOD));
        let f =
            f.text(Field::MODEL, text(Field::MODEL)).int(Field::TIME_LEFT, 30_000).body(asked.body.clone());
        self.workers[worker].outbox.send(f, None).unwrap();
    }

    fn order(&mut self, worker: usize) {
        self.next += 1;
        let f =
            Frame::new(Kind::LOAD).int(Field::TAG, self.next).text(Field::MODEL, "m").int(Field::COPIES, 1);
        self.workers[worker].outbox.send(f, None).unwrap();
    }

    async fn answered(&mut self, worker: usize) {
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

/// Plays one RPC of this method through a scheduler that breaks something, and judges what passed.
async fn play(method: &str, breaks: Breaks) -> Verdict {
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
    let mut stands = Vec::new();
    for (no, name) in ["w0", "w1"].into_iter().enumerate() {
        let stand = TestWorker::start(
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
        stand.preload("m", 100.0);
        stands.push(stand);
    }
    terms.work = config.methods().iter().map(|m| (m.clone(), METHOD_COST.work_ms)).collect();
    if let Breaks::PushesACold = breaks {
        stands[0].kill();
        stands[0].start_process(true);
        until(&transcript, |s| matches!(s, TranscriptEvent::WorkerStarted { .. })).await;
    }

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = tokio::spawn(async move {
        handshake(listener.accept().await.unwrap().0, "front", LinkLimits::default()).await.unwrap()
    });
    let rpc_client = NativeClient::open(&address.to_string(), "front", &transcript).await.unwrap();
    let client = accepting.await.unwrap();
    let workers = vec![link(stands[0].address).await, link(stands[1].address).await];
    let mut rogue = Rogue { client, workers, next: 0 };

    rpc_client.send_rpc(1, method, "m", "", Time(8_000), 32);
    let asked = rogue.client.reader.next().await.unwrap().unwrap();
    misbehave(&mut rogue, &asked, breaks, &transcript, &list, &mut terms).await;
    // The end of the day is known by an RPC of its own, sent when all else has arrived.
    let last = Frame::new(Kind::ATTEMPT).text(Field::METHOD, "read-fields").text(Field::MODEL, "m");
    let last = last.int(Field::TAG, 0).int(Field::TIME_LEFT, 9).body(99u64.to_be_bytes().to_vec());
    for worker in rogue.workers.iter().filter(|_| !matches!(breaks, Breaks::PushesACold)) {
        worker.outbox.send(last.clone(), None).unwrap();
    }
    let wanted = if matches!(breaks, Breaks::PushesACold | Breaks::SendsToADrain | Breaks::OrdersAtADrain) {
        0
    } else {
        2
    };
    until_count(&transcript, wanted, |s| matches!(s, TranscriptEvent::AttemptArrived { key: 99, .. })).await;
    if let Breaks::PushesACold = breaks {
        until(&transcript, |s| matches!(s, TranscriptEvent::WorkerOverloaded { .. })).await;
    }
    let seen: Vec<_> = transcript
        .events()
        .into_iter()
        .filter(|(_, s)| !matches!(s, TranscriptEvent::AttemptArrived { key: 99, .. }))
        .collect();
    check_rules(&terms, &seen)
}

async fn misbehave(
    r: &mut Rogue, asked: &Frame, breaks: Breaks, transcript: &Transcript, list: &TestListService,
    terms: &mut RuleParameters,
) {
    match breaks {
        Breaks::Nothing | Breaks::Twice | Breaks::Late | Breaks::CallsOutAfterTheAnswer => {
            r.attempt(0, asked);
            r.answered(0).await;
            if let Breaks::Late = breaks {
                tokio::time::sleep(std::time::Duration::from_millis(850)).await;
            }
            r.answer(asked, Answer::Ok);
            until(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
            if let Breaks::Twice = breaks {
                r.answer(asked, Answer::Aborted);
                until_count(transcript, 2, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
            }
            if let Breaks::CallsOutAfterTheAnswer = breaks {
                tokio::time::sleep(std::time::Duration::from_micros(terms.max_transit.0 * 100 + 20_000))
                    .await;
                r.attempt(1, asked);
            }
        }
        Breaks::Silent => {}
        Breaks::RunsTwice | Breaks::RepeatsOutsideTheGroup => {
            r.attempt(0, asked);
            r.answered(0).await;
            r.attempt(1, asked);
            r.answered(1).await;
            r.answer(asked, Answer::Ok);
            until(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Breaks::RepeatsAfterTheSpan => {
            for group in terms.groups.values_mut() {
                group.0 = "one".to_owned();
            }
            for effect in terms.effects.values_mut() {
                if let curlewpoint_lab::Effect::Tokened { span, .. } = effect {
                    *span = Time(0);
                }
            }
            r.attempt(0, asked);
            r.answered(0).await;
            tokio::time::sleep(std::time::Duration::from_micros(terms.max_transit.0 * 100 + 20_000)).await;
            r.attempt(1, asked);
            r.answered(1).await;
            r.answer(asked, Answer::Ok);
            until(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Breaks::DeniesWhatMayHaveRun => {
            r.attempt(0, asked);
            r.answered(0).await;
            r.answer(asked, Answer::Denied);
            until(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Breaks::SendsToADrain | Breaks::OrdersAtADrain => {
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
            until(transcript, |s| {
                matches!(s, TranscriptEvent::ListEntrySent { lifecycle: Lifecycle::Draining, .. })
            })
            .await;
            while watch.reader.next().await.unwrap().unwrap().kind != Kind::LIST_END {}
            tokio::time::sleep(std::time::Duration::from_micros(
                (terms.drain_grace + terms.max_transit).0 * 100 + 20_000,
            ))
            .await;
            if let Breaks::OrdersAtADrain = breaks {
                r.order(0);
                until(transcript, |s| matches!(s, TranscriptEvent::LoadOrdered { .. })).await;
            } else {
                r.attempt(0, asked);
                until(transcript, |s| matches!(s, TranscriptEvent::AttemptArrived { .. })).await;
            }
            r.answer(asked, Answer::Aborted);
            until(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Breaks::PushesACold => {
            for _ in 0..200 {
                r.attempt(0, asked);
            }
            r.answer(asked, Answer::Ok);
            until(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
        Breaks::OrdersTooMany => {
            (0..9).for_each(|_| r.order(0));
            until_count(transcript, 9, |s| matches!(s, TranscriptEvent::LoadOrdered { .. })).await;
            r.answer(asked, Answer::Aborted);
            until(transcript, |s| matches!(s, TranscriptEvent::FinalAnswer { .. })).await;
        }
    }
}

async fn until(transcript: &Transcript, wanted: impl Fn(&TranscriptEvent) -> bool) {
    until_count(transcript, 1, wanted).await;
}

async fn until_count(transcript: &Transcript, n: usize, wanted: impl Fn(&TranscriptEvent) -> bool) {
    transcript.wait_for(|all| (all.iter().filter(|(_, s)| wanted(s)).count() >= n).then_some(())).await;
}

#[test_case("issue-extract", Breaks::Nothing, 0 ; "one that breaks nothing")]
#[test_case("issue-extract", Breaks::Silent, 1 ; "no answer")]
#[test_case("issue-extract", Breaks::Late, 1 ; "a late answer")]
#[test_case("issue-extract", Breaks::Twice, 1 ; "two answers")]
#[test_case("read-fields", Breaks::CallsOutAfterTheAnswer, 1 ; "a call out after the answer")]
#[test_case("issue-extract", Breaks::RunsTwice, 2 ; "two runs")]
#[test_case("read-fields", Breaks::RunsTwice, 0 ; "two runs of what may run again")]
#[test_case("issue-extract", Breaks::DeniesWhatMayHaveRun, 2 ; "a denial of what may have run")]
#[test_case("read-register", Breaks::RepeatsOutsideTheGroup, 2 ; "a token outside its group")]
#[test_case("read-register", Breaks::RepeatsAfterTheSpan, 2 ; "a token forgotten")]
#[test_case("read-fields", Breaks::SendsToADrain, 3 ; "an rpc to a drain")]
#[test_case("read-fields", Breaks::OrdersAtADrain, 3 ; "an order to a drain")]
#[test_case("read-fields", Breaks::PushesACold, 4 ; "a cold worker pushed over")]
#[test_case("read-fields", Breaks::OrdersTooMany, 5 ; "too many load orders")]
fn a_broken_rule_is_caught(method: &str, breaks: Breaks, rule: usize) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let verdict = runtime.block_on(play(method, breaks));
    let mut broken: Vec<usize> = verdict.violations.iter().map(|b| b.rule).collect();
    broken.dedup();
    let want: Vec<usize> = (rule > 0).then_some(rule).into_iter().collect();
    assert_eq!(broken, want, "{breaks:?}: {:?}", verdict.violations);
}

/// Guards against a worker that nobody reaches, or whose port another takes, between its start and its first turn.
#[tokio::test]
async fn a_worker_can_be_reached_from_its_start() {
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
    // By a blocking socket: no task has had a turn since.
    std::net::TcpStream::connect(worker.address).expect("it is there");
}

/// An answer 300 ms late is late, unless the machine gave no turn for all of that: to this scheduler or to its clients,
/// and while the RPC was open.
#[test_case(&[], 1 ; "no stall")]
#[test_case(&[(None, 2_800, 3_150)], 0 ; "clients had no turn for longer")]
#[test_case(&[(Some("front"), 1_000, 1_350)], 0 ; "the scheduler had none for longer")]
#[test_case(&[(None, 2_800, 3_050)], 1 ; "clients had no turn for less")]
#[test_case(&[(None, 1_500, 1_700), (Some("front"), 1_600, 1_760)], 1 ; "both had none in the same time")]
#[test_case(&[(None, 1_500, 1_700), (Some("front"), 1_690, 1_810)], 0 ; "one had none after the other")]
#[test_case(&[(Some("other"), 1_000, 2_000)], 1 ; "another scheduler had none")]
#[test_case(&[(None, 0, 1_000), (None, 3_300, 4_000)], 1 ; "before it was asked and after it was answered")]
fn an_answer_is_late_by_what_the_machine_did_not_take(stalls: &[(Option<&str>, u64, u64)], broken: usize) {
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

/// A runtime whose threads are kept from turning says so, by its own clock.
#[tokio::test]
async fn a_thread_that_gets_no_turn_is_seen() {
    let transcript = Transcript::default();
    let began = transcript.now();
    tokio::spawn(transcript.clone().watch_runtime_stalls());
    // What a scheduler's own thread sleeps away is no fault of the machine.
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
    // All but the time slept may have been spent in waiting for a processor.
    let most = (transcript.now() - began).0 - 2_000;
    assert!(front.sum::<u64>() <= most, "{all:?}");
    assert!(since <= from + Time(100) && at >= until, "{since:?} to {at:?}, not {from:?} to {until:?}");
}
