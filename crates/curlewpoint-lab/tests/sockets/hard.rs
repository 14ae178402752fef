//! The hard cases, each caused on real sockets.

use crate::common::{config, encode_answer, name, ScriptedWorker, Stage};
use curlewpoint::types::{Lifecycle, Outcome, Time};
use curlewpoint_engine::Answer;
use curlewpoint_lab::test_servers::wire::Outgoing;
use curlewpoint_lab::{call, CallOutcome, NativeClient, Transcript, TranscriptEvent, REHEARSAL_CONFIG};
use curlewpoint_link::{handshake, LinkLimits};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpStream;
use tokio_stream::StreamExt;

const LONG: u64 = 3_000;

/// It has read the attempt, so it may have run: it is not called out again, and the abort promises nothing.
#[tokio::test]
async fn a_worker_that_dies_after_reading_a_side_effecting_attempt_ends_it_aborted() {
    let (mut a, mut b) = (ScriptedWorker::start("a").await, ScriptedWorker::start("b").await);
    let stage = Stage::new(&[&a, &b]).await;
    stage.ask(1, "issue-extract", LONG);
    let first = tokio::select! { _ = a.next_attempt() => &mut a, _ = b.next_attempt() => &mut b };
    first.kill();
    assert_eq!(stage.final_of(1).await, Answer::Aborted);
    assert!(!a.attempt_before(async {}).await && !b.attempt_before(async {}).await);
    let f = stop(stage).await;
    assert_eq!((f.aborted, f.attempts), (1, 1));
}

/// Nothing was sent, so another worker may take it.
#[tokio::test]
async fn a_worker_that_is_dead_before_the_first_byte_does_not_keep_the_rpc() {
    let (mut a, mut b) = (ScriptedWorker::start("a").await, ScriptedWorker::start("b").await);
    a.kill();
    let stage = Stage::new(&[&a, &b]).await;
    for key in 1..=6 {
        stage.ask(key, "issue-extract", LONG);
        let asked = b.next_attempt().await;
        b.respond(&asked, Outcome::Ok);
        assert_eq!(stage.final_of(key).await, Answer::Ok);
    }
    let f = stop(stage).await;
    assert_eq!((f.ok, f.aborted), (6, 0));
}

#[tokio::test]
async fn an_answer_cut_in_its_middle_is_no_answer() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    stage.ask(1, "issue-extract", LONG);
    let (peer, f) = a.next_attempt().await;
    a.send(peer, Outgoing::HalfFrame(encode_answer(&f, Outcome::Ok)));
    assert_eq!(stage.final_of(1).await, Answer::Aborted);
}

/// An answer after the abort, one given twice, and one for an attempt that was never sent change nothing.
#[tokio::test]
async fn answers_late_twice_and_unasked_are_passed_over() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    stage.ask(1, "issue-extract", 500);
    let first = a.next_attempt().await;
    assert_eq!(stage.final_of(1).await, Answer::Aborted);
    a.respond(&first, Outcome::Ok);
    a.send(first.0, Outgoing::Frame(Frame::new(Kind::ANSWER).int(Field::TAG, 999).int(Field::OUTCOME, 0)));
    stage.ask(2, "issue-extract", LONG);
    let second = a.next_attempt().await;
    a.respond(&second, Outcome::Ok);
    a.respond(&second, Outcome::Ok);
    a.respond(&second, Outcome::Error);
    assert_eq!(stage.final_of(2).await, Answer::Ok);
    stage.ask(3, "issue-extract", LONG);
    let third = a.next_attempt().await;
    a.respond(&third, Outcome::Ok);
    assert_eq!(stage.final_of(3).await, Answer::Ok);
    assert_eq!((stage.finals(1), stage.finals(2), stage.finals(3)), (1, 1, 1));
}

/// A client that leaves while its model loads is owed nothing; the worker is told that nobody waits.
#[tokio::test]
async fn a_client_that_leaves_while_a_load_is_under_way_is_let_go() {
    let mut a = ScriptedWorker::start("a").await;
    let Stage { transcript, list, gateway, client } = Stage::new(&[&a]).await;
    client.send_rpc(1, "read-fields", "model", "", Time(30_000), 64);
    let (peer, _) = a.next_attempt().await;
    client.disconnect();
    // A later client's RPC comes to its answer beside it, and then a stop has nothing to wait for.
    let other = NativeClient::open(&gateway.address.to_string(), "front", &transcript).await.unwrap();
    other.send_rpc(2, "read-fields", "model", "", Time(30_000), 64);
    let second = a.next_attempt().await;
    a.respond(&second, Outcome::Ok);
    let stage = Stage { transcript, list, gateway, client: other };
    assert_eq!(stage.final_of(2).await, Answer::Ok);
    let f = stop(stage).await;
    assert_eq!((f.taken, f.ok, f.left), (2, 1, 1));
    assert!(a.peers.contains_key(&peer));
}

/// A worker that accepts and never reads holds up nobody else, and its RPCs end in their time. On one thread: what a
/// client has asked is written only once the test waits for something.
#[tokio::test]
async fn a_worker_that_never_reads_holds_up_no_other() {
    let (a, mut b) = (ScriptedWorker::start("a").await, ScriptedWorker::start("b").await);
    a.mute.send(true).unwrap();
    let stage = Stage::new(&[&a, &b]).await;
    let serving = tokio::spawn(async move {
        loop {
            let asked = b.next_attempt().await;
            b.respond(&asked, Outcome::Ok);
        }
    });
    // Large bodies, so that the socket of the one that does not read fills up. The client's own outbox holds 32 MiB: it asks
    // for the second half once the refusal of one behind the first tells that all of that has been read.
    let models = 40;
    for (key, behind) in [(0, models), (models / 2, models + 1)] {
        for key in key..key + models / 2 {
            stage.client.send_rpc(key, "issue-extract", &format!("m{key}"), "", Time(15_000), 1 << 20);
        }
        stage.ask(behind, "no-such-method", LONG);
        stage.until(|s| matches!(s, TranscriptEvent::Refused { key, .. } if *key == behind)).await;
    }
    for key in 0..models {
        stage.final_of(key).await;
    }
    serving.abort();
    let ended = stage.transcript.events();
    let ok = ended
        .iter()
        .filter(|(_, s)| matches!(s, TranscriptEvent::FinalAnswer { answer: Answer::Ok, .. }))
        .count();
    assert!(ok > 0, "the other worker answers");
    let f = stop(stage).await;
    assert_eq!((f.taken, f.ok + f.denied + f.aborted, f.aborted_by_guard), (models, models, 0));
}

/// A worker that does not read is told to drain: what had not been begun then never reaches it.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_takes_back_what_waits_for_a_worker_that_does_not_read() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    stage.ask(0, "issue-extract", LONG);
    let first = a.next_attempt().await;
    a.respond(&first, Outcome::Ok);
    stage.final_of(0).await;
    a.mute.send(true).unwrap();
    // Far more than socket buffers hold; each fits its outbox.
    for key in 1..=4 {
        stage.client.send_rpc(key, "issue-extract", "model", "", Time(12_000), 6 << 20);
    }
    // The refusal of one behind them tells that the four have been taken and called out.
    stage.ask(9, "no-such-method", LONG);
    stage.until(|s| matches!(s, TranscriptEvent::Refused { key: 9, .. })).await;
    name(&stage.list, &a, Lifecycle::Draining);
    let mut denied = 0;
    for key in 1..=4 {
        denied += usize::from(stage.final_of(key).await == Answer::Denied);
    }
    a.mute.send(false).unwrap();
    let f = stop(stage).await;
    // Those never called out are denied in any case. One that was called out is denied only if it was taken back before
    // its first byte: left to its deadline it would be aborted, as it is still out.
    let called_out = f.attempts as usize - 1;
    assert!(called_out >= 2 && denied > 4 - called_out, "{denied} denied, {called_out} of 4 called out");
}

/// Down at the start: what is asked waits for the list. Away for a while: the list held goes on to be used.
#[tokio::test]
async fn the_list_service_may_come_late_and_vanish() {
    let mut a = ScriptedWorker::start("a").await;
    let transcript = Transcript::default();
    let list = curlewpoint_lab::test_servers::TestListService::start("127.0.0.1:0", &transcript, Time(0))
        .await
        .unwrap();
    list.down_until(transcript.now() + Time(4_000));
    let config = config().with_value("list", &list.address.to_string());
    let gateway = curlewpoint_gateway::start(&config).await.unwrap();
    let client = NativeClient::open(&gateway.address.to_string(), "front", &transcript).await.unwrap();
    let stage = Stage { transcript, list, gateway, client };
    stage.ask(1, "read-fields", LONG);
    name(&stage.list, &a, Lifecycle::Ready);
    let asked = a.next_attempt().await;
    a.respond(&asked, Outcome::Ok);
    assert_eq!(stage.final_of(1).await, Answer::Ok);
    stage.list.down_until(stage.transcript.now() + Time(600_000));
    for key in 2..5 {
        stage.ask(key, "read-fields", LONG);
        let asked = a.next_attempt().await;
        a.respond(&asked, Outcome::Ok);
        assert_eq!(stage.final_of(key).await, Answer::Ok);
    }
}

/// Guards the tests here against a machine that gives a stand-in no turn for a while: a dial that hangs for longer than the
/// rehearsal allows counts as a dead worker, and where it is the only one the RPC is denied.
#[tokio::test]
async fn a_hello_may_come_as_late_as_a_busy_machine_makes_it() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut a = ScriptedWorker::start("a").await;
    a.address = listener.local_addr().unwrap();
    let stage = Stage::new(&[&a]).await;
    stage.ask(1, "read-fields", LONG);
    let (stream, _) = listener.accept().await.unwrap();
    tokio::time::pause();
    tokio::time::advance(std::time::Duration::from_millis(300)).await;
    tokio::time::resume();
    let mut link = handshake(stream, "a", LinkLimits::default()).await.unwrap();
    let asked = loop {
        match link.reader.next().await {
            Some(Ok(f)) if f.kind == Kind::ATTEMPT => break f,
            Some(Ok(_)) => {}
            other => panic!("its dial was given up: {other:?}"),
        }
    };
    link.outbox.send(encode_answer(&asked, Outcome::Ok), None).unwrap();
    assert_eq!(stage.final_of(1).await, Answer::Ok);
}

/// Bodies of every size pass unharmed; one over the limit closes its own connection and no other.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_pass_and_one_over_the_limit_harms_only_its_sender() {
    let mut a = ScriptedWorker::start("a").await;
    // The longest bodies take their time on a busy machine, and so does the list: no clock is tried here.
    let text = REHEARSAL_CONFIG
        .replace("soft-deadline 800ms", "soft-deadline 60s")
        .replace("deadline 4s", "deadline 60s");
    let stage = Stage::with(curlewpoint_config::parse("slow.conf", &text).unwrap(), &[&a]).await;
    let address = stage.gateway.address.to_string();
    let serving = tokio::spawn(async move {
        loop {
            let asked = a.next_attempt().await;
            a.respond(&asked, Outcome::Ok);
        }
    });
    for size in [1 << 16, 1 << 20, (16 << 20) - 8192] {
        let body = bytes::Bytes::from(vec![7u8; size]);
        let called = call(&address, "read-fields", "m", "", Time(600_000), None, body.clone()).await.unwrap();
        let told = match &called {
            CallOutcome::Final { answer, reason, .. } => format!("{answer:?}: {reason}"),
            other => format!("{other:?}"),
        };
        assert!(
            matches!(called, CallOutcome::Final { answer: Answer::Ok, body: b, .. } if b == body),
            "{size} bytes: {told}"
        );
    }
    let body = bytes::Bytes::from(vec![7u8; (16 << 20) + 1]);
    let over = call(&address, "read-fields", "m", "", Time(600_000), None, body).await;
    assert!(!matches!(over, Ok(CallOutcome::Final { .. })), "{over:?}");
    stage.ask(1, "read-fields", LONG);
    assert_eq!(stage.final_of(1).await, Answer::Ok);
    serving.abort();
}

/// Guards against one client's words ending a connection that carries others' attempts.
#[tokio::test(flavor = "multi_thread")]
async fn the_longest_words_a_client_may_use_harm_nobody_else() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    let address = stage.gateway.address.to_string();
    stage.ask(1, "issue-extract", LONG);
    let others = a.next_attempt().await;
    let serving = tokio::spawn(async move {
        a.respond(&others, Outcome::Ok);
        loop {
            let asked = a.next_attempt().await;
            a.respond(&asked, Outcome::Ok);
        }
    });
    let (long, over) = ("m".repeat(1024), "m".repeat(1025));
    let body = bytes::Bytes::from(vec![7u8; (16 << 20) - 8192]);
    let most = call(&address, "issue-extract", &long, "", Time(30_000), Some(&long), body).await.unwrap();
    assert!(matches!(most, CallOutcome::Final { answer: Answer::Ok, .. }), "{most:?}");
    for (model, token) in [(&over, &long), (&long, &over)] {
        let more =
            call(&address, "issue-extract", model, "", Time(30_000), Some(token), bytes::Bytes::new()).await;
        assert!(matches!(more, Ok(CallOutcome::Refused(_))), "{more:?}");
    }
    assert_eq!(stage.final_of(1).await, Answer::Ok);
    let f = stop(stage).await;
    assert_eq!((f.ok, f.aborted, f.refused), (2, 0, 2));
    serving.abort();
}

/// Unreadable frames close their own connection with a plain fault.
#[tokio::test]
async fn an_unreadable_frame_closes_its_own_connection_with_a_fault() {
    let a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    let stream = TcpStream::connect(stage.gateway.address).await.unwrap();
    let mut link = handshake(stream, "x", LinkLimits::default()).await.unwrap();
    link.outbox.send(Frame::new(Kind::RPC).text(Field::TAG, "seven"), None).unwrap();
    let fault = link.reader.next().await.unwrap().unwrap();
    assert_eq!(fault.kind, Kind::FAULT);
    assert!(fault.get_text(Field::REASON).unwrap().contains("is not a whole number"));
    assert!(link.reader.next().await.is_none());
    // What later versions may say is passed over.
    stage.ask(1, "no-such-method", LONG);
    stage.until(|s| matches!(s, TranscriptEvent::Refused { key: 1, .. })).await;
}

/// Up to the cap clients are served; those over it are told so, and a place that comes free is taken again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_clients_at_once_are_served_up_to_the_cap() {
    const CAP: usize = 1_000;
    const ALL: usize = 1_500;
    let a = ScriptedWorker::start("a").await;
    let text = REHEARSAL_CONFIG.replace("dial-limit 250ms", &format!("dial-limit 250ms\n  clients {CAP}"));
    let stage = Stage::with(curlewpoint_config::parse("capped.conf", &text).unwrap(), &[&a]).await;
    let address = stage.gateway.address;
    let mut dials = tokio::task::JoinSet::new();
    for _ in 0..ALL {
        dials.spawn(async move {
            let mut link =
                handshake(TcpStream::connect(address).await.ok()?, "x", LinkLimits::default()).await.ok()?;
            link.outbox
                .send(
                    Frame::new(Kind::RPC)
                        .int(Field::TAG, 1)
                        .text(Field::METHOD, "none")
                        .text(Field::MODEL, "m")
                        .int(Field::TIME_LEFT, 9),
                    None,
                )
                .ok()?;
            let first = link.reader.next().await?.ok()?;
            Some((first.kind, link))
        });
    }
    let all: Vec<_> = dials.join_all().await.into_iter().flatten().collect();
    let served = all.iter().filter(|(kind, _)| *kind == Kind::REFUSED).count();
    let turned = all.iter().filter(|(kind, _)| *kind == Kind::FAULT).count();
    assert_eq!(served, CAP - 1, "one place is the stage's own; {turned} were told");
    drop(all);
    loop {
        let stream = TcpStream::connect(address).await.unwrap();
        if let Ok(mut link) = handshake(stream, "x", LinkLimits::default()).await {
            let ask =
                Frame::new(Kind::RPC).int(Field::TAG, 1).text(Field::METHOD, "none").text(Field::MODEL, "m");
            link.outbox.send(ask.int(Field::TIME_LEFT, 9), None).unwrap();
            if let Some(Ok(f)) = link.reader.next().await {
                if f.kind == Kind::REFUSED {
                    break;
                }
            }
        }
    }
}

async fn stop(stage: Stage) -> curlewpoint_engine::EngineCounters {
    stage.gateway.stop().await;
    stage.client.wait_closed().await;
    stage.gateway.wait().await
}

/// A stop answers what is open, each in its time, takes nothing more and ends.
#[tokio::test]
async fn a_stop_answers_what_is_open() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    stage.ask(1, "issue-extract", LONG);
    stage.ask(2, "issue-extract", 700);
    let first = a.next_attempt().await;
    let _second = a.next_attempt().await;
    stage.gateway.stop().await;
    assert_eq!(stage.final_of(2).await, Answer::Aborted);
    a.respond(&first, Outcome::Ok);
    assert_eq!(stage.final_of(1).await, Answer::Ok);
    let f = stop(stage).await;
    assert_eq!((f.taken, f.ok, f.aborted, f.cut_off), (2, 1, 1, 0));
}
