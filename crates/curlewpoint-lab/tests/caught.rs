//! The checker knows each rule: a scripted scheduler breaks one on real sockets, and is caught for that one.

use std::net::SocketAddr;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_emulator::{Row, StoreSpec, WorkerSpec};
use curlewpoint_engine::Answer;
use curlewpoint_gateway::answer_code;
use curlewpoint_lab::stand::{ListStand, StoreStand, Trade, WorkerStand};
use curlewpoint_lab::{judge, Office, Record, Script, Seen, Terms, Verdict, CONFIG};
use curlewpoint_link::{handshake, Link, LinkLimits};
use curlewpoint_wire::{Field, Frame, Kind};
use std::collections::BTreeMap;
use std::sync::Arc;
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::StreamExt;

const TRADE: Trade = Trade { work_ms: 20.0, memory_mb: 100.0, load_ms: 20.0, fetch_share: 0.5, lanes: 4 };

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
    let record = Record::default();
    let store = StoreStand::start("127.0.0.1:0", &record, StoreSpec { lines: 8.0, thrash: 0.0, most: 99 })
        .await
        .unwrap();
    let list = ListStand::start("127.0.0.1:0", &record, Time(0)).await.unwrap();
    let config = curlewpoint_config::parse("rehearsal.conf", CONFIG).expect("it is shipped");
    let of = |name| Time::from_ms(config.number("workers", name));
    let spec = WorkerSpec {
        cores: 2.0,
        speed: 1.0,
        slots: 8,
        queue: 500,
        memory_mb: 1000.0,
        loads_at_once: 4,
        keep: Time(80_000),
        cold_from: 0.25,
        cold_for: of("warm-within"),
        fall_multiple: 2.0,
        fall: of("fall-window"),
        adds_copies: true,
        answers_miss: false,
    };
    let trades = Arc::new(config.methods().iter().map(|m| (m.clone(), TRADE)).collect::<BTreeMap<_, _>>());
    let mut terms = Terms::of(&config);
    let mut stands = Vec::new();
    for (no, name) in ["w0", "w1"].into_iter().enumerate() {
        let stand = WorkerStand::start(
            "127.0.0.1:0",
            name,
            &record,
            spec,
            Arc::clone(&trades),
            store.address,
            no as u64,
        )
        .await
        .unwrap();
        terms.groups.insert(name.to_owned(), (format!("cell-{no}"), format!("zone-{no}")));
        terms.capacity.insert(name.to_owned(), 2.0);
        stand.holds("m", 100.0);
        stands.push(stand);
    }
    terms.work = config.methods().iter().map(|m| (m.clone(), TRADE.work_ms)).collect();
    if let Breaks::PushesACold = breaks {
        stands[0].die();
        stands[0].begin(true);
        until(&record, |s| matches!(s, Seen::Started { .. })).await;
    }

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = tokio::spawn(async move {
        handshake(listener.accept().await.unwrap().0, "front", LinkLimits::default()).await.unwrap()
    });
    let office = Office::open(&address.to_string(), "front", &record).await.unwrap();
    let client = accepting.await.unwrap();
    let workers = vec![link(stands[0].address).await, link(stands[1].address).await];
    let mut rogue = Rogue { client, workers, next: 0 };

    office.ask(1, method, "m", "", Time(8_000), 32);
    let asked = rogue.client.reader.next().await.unwrap().unwrap();
    misbehave(&mut rogue, &asked, breaks, &record, &list, &mut terms).await;
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
    until_count(&record, wanted, |s| matches!(s, Seen::Arrived { key: 99, .. })).await;
    if let Breaks::PushesACold = breaks {
        until(&record, |s| matches!(s, Seen::Fell { .. })).await;
    }
    let seen: Vec<_> =
        record.all().into_iter().filter(|(_, s)| !matches!(s, Seen::Arrived { key: 99, .. })).collect();
    judge(&terms, &seen)
}

async fn misbehave(
    r: &mut Rogue, asked: &Frame, breaks: Breaks, record: &Record, list: &ListStand, terms: &mut Terms,
) {
    match breaks {
        Breaks::Nothing | Breaks::Twice | Breaks::Late | Breaks::CallsOutAfterTheAnswer => {
            r.attempt(0, asked);
            r.answered(0).await;
            if let Breaks::Late = breaks {
                tokio::time::sleep(std::time::Duration::from_millis(850)).await;
            }
            r.answer(asked, Answer::Ok);
            until(record, |s| matches!(s, Seen::Final { .. })).await;
            if let Breaks::Twice = breaks {
                r.answer(asked, Answer::Aborted);
                until_count(record, 2, |s| matches!(s, Seen::Final { .. })).await;
            }
            if let Breaks::CallsOutAfterTheAnswer = breaks {
                tokio::time::sleep(std::time::Duration::from_micros(terms.transit.0 * 100 + 20_000)).await;
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
            until(record, |s| matches!(s, Seen::Final { .. })).await;
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
            tokio::time::sleep(std::time::Duration::from_micros(terms.transit.0 * 100 + 20_000)).await;
            r.attempt(1, asked);
            r.answered(1).await;
            r.answer(asked, Answer::Ok);
            until(record, |s| matches!(s, Seen::Final { .. })).await;
        }
        Breaks::DeniesWhatMayHaveRun => {
            r.attempt(0, asked);
            r.answered(0).await;
            r.answer(asked, Answer::Denied);
            until(record, |s| matches!(s, Seen::Final { .. })).await;
        }
        Breaks::SendsToADrain | Breaks::OrdersAtADrain => {
            let mut watch = link(list.address).await;
            let (address, zone, cell) = ("127.0.0.1:1".to_owned(), "z".to_owned(), "c".to_owned());
            list.set(
                "w0",
                Row { address, standing: Lifecycle::Draining, start: 1, since: None, zone, cell, size: 1.0 },
            );
            watch.outbox.send(Frame::new(Kind::WATCH), None).unwrap();
            until(record, |s| matches!(s, Seen::Told { standing: Lifecycle::Draining, .. })).await;
            while watch.reader.next().await.unwrap().unwrap().kind != Kind::LIST_END {}
            tokio::time::sleep(std::time::Duration::from_micros(
                (terms.drain_grace + terms.transit).0 * 100 + 20_000,
            ))
            .await;
            if let Breaks::OrdersAtADrain = breaks {
                r.order(0);
                until(record, |s| matches!(s, Seen::Ordered { .. })).await;
            } else {
                r.attempt(0, asked);
                until(record, |s| matches!(s, Seen::Arrived { .. })).await;
            }
            r.answer(asked, Answer::Aborted);
            until(record, |s| matches!(s, Seen::Final { .. })).await;
        }
        Breaks::PushesACold => {
            for _ in 0..200 {
                r.attempt(0, asked);
            }
            r.answer(asked, Answer::Ok);
            until(record, |s| matches!(s, Seen::Final { .. })).await;
        }
        Breaks::OrdersTooMany => {
            (0..9).for_each(|_| r.order(0));
            until_count(record, 9, |s| matches!(s, Seen::Ordered { .. })).await;
            r.answer(asked, Answer::Aborted);
            until(record, |s| matches!(s, Seen::Final { .. })).await;
        }
    }
}

async fn until(record: &Record, wanted: impl Fn(&Seen) -> bool) {
    until_count(record, 1, wanted).await;
}

async fn until_count(record: &Record, n: usize, wanted: impl Fn(&Seen) -> bool) {
    record.until(|all| (all.iter().filter(|(_, s)| wanted(s)).count() >= n).then_some(())).await;
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
    let mut broken: Vec<usize> = verdict.breaks.iter().map(|b| b.rule).collect();
    broken.dedup();
    let want: Vec<usize> = (rule > 0).then_some(rule).into_iter().collect();
    assert_eq!(broken, want, "{breaks:?}: {:?}", verdict.breaks);
}

/// Guards against a worker that nobody reaches, or whose port another takes, between its start and its first turn.
#[tokio::test]
async fn a_worker_can_be_reached_from_its_start() {
    let record = Record::default();
    let any = "127.0.0.1:0";
    let store =
        StoreStand::start(any, &record, StoreSpec { lines: 1.0, thrash: 0.0, most: 1 }).await.unwrap();
    let config = curlewpoint_config::parse("rehearsal.conf", CONFIG).unwrap();
    let spec = Script::parse("x", "").unwrap().worker_spec(&config);
    let worker = WorkerStand::start(any, "w", &record, spec, Arc::default(), store.address, 1).await.unwrap();
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
        (ms(1_000), Seen::Asked { key, scheduler, method, left: Time(20_000) }),
        (ms(3_300), Seen::Final { key, answer: Answer::Denied }),
    ];
    for (who, since, until) in stalls {
        let scheduler = who.map(str::to_owned);
        seen.push((ms(*until), Seen::Stalled { scheduler, since: ms(*since) }));
    }
    seen.sort_by_key(|(at, _)| *at);
    let config = curlewpoint_config::parse("rehearsal.conf", CONFIG).unwrap();
    let verdict = judge(&Terms::of(&config), &seen);
    assert_eq!(verdict.breaks.len(), broken, "{verdict}");
}

/// A runtime whose threads are kept from turning says so, by its own clock.
#[tokio::test]
async fn a_thread_that_gets_no_turn_is_seen() {
    let record = Record::default();
    let began = record.now();
    tokio::spawn(record.clone().feel_the_pulse());
    // What a scheduler's own thread sleeps away is no fault of the machine.
    tokio::spawn(record.clone().watch_turns("front".to_owned()));
    tokio::task::yield_now().await;
    let from = record.now();
    std::thread::sleep(std::time::Duration::from_millis(200));
    let until = record.now();
    let of_clients = |(at, seen): (Time, Seen)| match seen {
        Seen::Stalled { scheduler: None, since } => Some((at, since)),
        _ => None,
    };
    let (at, since) = loop {
        if let Some(stall) = record.all().into_iter().find_map(of_clients) {
            break stall;
        }
        tokio::task::yield_now().await;
    };
    let all = record.all();
    let front = all.iter().filter_map(|(at, seen)| match seen {
        Seen::Stalled { scheduler: Some(_), since } => Some((*at - *since).0),
        _ => None,
    });
    // All but the time slept may have been spent in waiting for a processor.
    let most = (record.now() - began).0 - 2_000;
    assert!(front.sum::<u64>() <= most, "{all:?}");
    assert!(since <= from + Time(100) && at >= until, "{since:?} to {at:?}, not {from:?} to {until:?}");
}
