//! Failure cases, each caused on real sockets: dying workers, late answers, drains, oversized input, stops.

use crate::common::{config, encode_answer, publish_worker, ScriptedWorker, Stage};
use curlewpoint::types::{Lifecycle, Outcome, Time};
use curlewpoint_engine::Answer;
use curlewpoint_lab::test_servers::wire::Outgoing;
use curlewpoint_lab::{call, CallOutcome, NativeClient, Transcript, TranscriptEvent, REHEARSAL_CONFIG};
use curlewpoint_link::{handshake, LinkLimits};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpStream;
use tokio_stream::StreamExt;

const LONG_MS: u64 = 3_000;

/// The worker has read the attempt, so it may have run: it is not retried, and the RPC ends aborted.
#[tokio::test]
async fn a_worker_that_dies_after_reading_a_side_effecting_attempt_ends_it_aborted() {
    let (mut a, mut b) = (ScriptedWorker::start("a").await, ScriptedWorker::start("b").await);
    let stage = Stage::new(&[&a, &b]).await;
    stage.send_rpc(1, "issue-extract", LONG_MS);
    let first = tokio::select! { _ = a.next_attempt() => &mut a, _ = b.next_attempt() => &mut b };
    first.kill();
    assert_eq!(stage.final_answer(1).await, Answer::Aborted);
    assert!(!a.attempt_before(async {}).await && !b.attempt_before(async {}).await);
    let f = stop(stage).await;
    assert_eq!((f.aborted, f.attempts), (1, 1));
}

/// Nothing was sent to the dead worker, so another one gets the attempt.
#[tokio::test]
async fn a_worker_that_died_before_the_first_byte_was_sent_does_not_hold_the_rpc() {
    let (mut a, mut b) = (ScriptedWorker::start("a").await, ScriptedWorker::start("b").await);
    a.kill();
    let stage = Stage::new(&[&a, &b]).await;
    for key in 1..=6 {
        stage.send_rpc(key, "issue-extract", LONG_MS);
        let asked = b.next_attempt().await;
        b.respond(&asked, Outcome::Ok);
        assert_eq!(stage.final_answer(key).await, Answer::Ok);
    }
    let f = stop(stage).await;
    assert_eq!((f.ok, f.aborted), (6, 0));
}

#[tokio::test]
async fn an_answer_cut_in_the_middle_is_not_an_answer() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    stage.send_rpc(1, "issue-extract", LONG_MS);
    let (peer, f) = a.next_attempt().await;
    a.send(peer, Outgoing::HalfFrame(encode_answer(&f, Outcome::Ok)));
    assert_eq!(stage.final_answer(1).await, Answer::Aborted);
}

/// An answer after the abort, a duplicate answer, and an answer to an attempt that was never sent have no effect.
#[tokio::test]
async fn late_duplicate_and_unsolicited_answers_are_ignored() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    stage.send_rpc(1, "issue-extract", 500);
    let first = a.next_attempt().await;
    assert_eq!(stage.final_answer(1).await, Answer::Aborted);
    a.respond(&first, Outcome::Ok);
    a.send(first.0, Outgoing::Frame(Frame::new(Kind::ANSWER).int(Field::TAG, 999).int(Field::OUTCOME, 0)));
    stage.send_rpc(2, "issue-extract", LONG_MS);
    let second = a.next_attempt().await;
    a.respond(&second, Outcome::Ok);
    a.respond(&second, Outcome::Ok);
    a.respond(&second, Outcome::Error);
    assert_eq!(stage.final_answer(2).await, Answer::Ok);
    stage.send_rpc(3, "issue-extract", LONG_MS);
    let third = a.next_attempt().await;
    a.respond(&third, Outcome::Ok);
    assert_eq!(stage.final_answer(3).await, Answer::Ok);
    assert_eq!(
        (stage.final_answer_count(1), stage.final_answer_count(2), stage.final_answer_count(3)),
        (1, 1, 1)
    );
}

/// A client that disconnects while its model loads is owed no answer, and does not delay others or a stop.
#[tokio::test]
async fn a_client_that_disconnects_during_a_load_is_dropped() {
    let mut a = ScriptedWorker::start("a").await;
    let Stage { transcript, list, gateway, client } = Stage::new(&[&a]).await;
    client.send_rpc(1, "read-fields", "model", "", Time(30_000), 64);
    let (peer, _) = a.next_attempt().await;
    client.disconnect();
    // The RPC of a later client is answered meanwhile, and then a stop has nothing to wait for.
    let other = NativeClient::open(&gateway.address.to_string(), "front", &transcript).await.unwrap();
    other.send_rpc(2, "read-fields", "model", "", Time(30_000), 64);
    let second = a.next_attempt().await;
    a.respond(&second, Outcome::Ok);
    let stage = Stage { transcript, list, gateway, client: other };
    assert_eq!(stage.final_answer(2).await, Answer::Ok);
    let f = stop(stage).await;
    assert_eq!((f.taken, f.ok, f.left), (2, 1, 1));
    assert!(a.peers.contains_key(&peer));
}

/// A worker that accepts and never reads does not delay others, and its RPCs end in time. On one thread: a client's
/// frames are written only while the test waits for something.
#[tokio::test]
async fn a_worker_that_never_reads_does_not_delay_others() {
    let (a, mut b) = (ScriptedWorker::start("a").await, ScriptedWorker::start("b").await);
    a.mute.send(true).unwrap();
    let stage = Stage::new(&[&a, &b]).await;
    let serving = tokio::spawn(async move {
        loop {
            let asked = b.next_attempt().await;
            b.respond(&asked, Outcome::Ok);
        }
    });
    // Large bodies fill the socket of the worker that does not read. The client's own outbox holds 32 MiB, so it sends the
    // second half only when the refusal of an RPC behind the first half shows that all of it has been read.
    let models = 40;
    for (key, behind) in [(0, models), (models / 2, models + 1)] {
        for key in key..key + models / 2 {
            stage.client.send_rpc(key, "issue-extract", &format!("m{key}"), "", Time(15_000), 1 << 20);
        }
        stage.send_rpc(behind, "no-such-method", LONG_MS);
        stage.wait_for(|s| matches!(s, TranscriptEvent::Refused { key, .. } if *key == behind)).await;
    }
    for key in 0..models {
        stage.final_answer(key).await;
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

/// A worker that does not read begins to drain: attempts not yet begun to be written are withdrawn and never reach it.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_withdraws_attempts_waiting_for_a_worker_that_does_not_read() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    stage.send_rpc(0, "issue-extract", LONG_MS);
    let first = a.next_attempt().await;
    a.respond(&first, Outcome::Ok);
    stage.final_answer(0).await;
    a.mute.send(true).unwrap();
    // Far more than the socket buffers hold; each fits the outbox.
    for key in 1..=4 {
        stage.client.send_rpc(key, "issue-extract", "model", "", Time(12_000), 6 << 20);
    }
    // The refusal of an RPC behind them shows that the four have been accepted and sent to the outbox.
    stage.send_rpc(9, "no-such-method", LONG_MS);
    stage.wait_for(|s| matches!(s, TranscriptEvent::Refused { key: 9, .. })).await;
    publish_worker(&stage.list, &a, Lifecycle::Draining);
    let mut denied = 0;
    for key in 1..=4 {
        denied += usize::from(stage.final_answer(key).await == Answer::Denied);
    }
    a.mute.send(false).unwrap();
    let f = stop(stage).await;
    // RPCs without an attempt are denied in any case. One with an attempt is denied only if that was withdrawn before its
    // first byte: otherwise it would be in flight until the deadline, and end aborted.
    let attempted = f.attempts as usize - 1;
    assert!(attempted >= 2 && denied > 4 - attempted, "{denied} denied, {attempted} of 4 attempted");
}

/// While the list service is down at the start, RPCs wait for the list; when it goes down later, the last list is used.
#[tokio::test]
async fn the_list_service_may_start_late_and_go_down() {
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
    stage.send_rpc(1, "read-fields", LONG_MS);
    publish_worker(&stage.list, &a, Lifecycle::Ready);
    let asked = stage.next_attempt(&mut a).await;
    a.respond(&asked, Outcome::Ok);
    assert_eq!(stage.final_answer(1).await, Answer::Ok);
    stage.list.down_until(stage.transcript.now() + Time(600_000));
    for key in 2..5 {
        stage.send_rpc(key, "read-fields", LONG_MS);
        let asked = stage.next_attempt(&mut a).await;
        a.respond(&asked, Outcome::Ok);
        assert_eq!(stage.final_answer(key).await, Answer::Ok);
    }
}

/// Guards these tests against a busy machine that delays a test server: a dial that hangs for longer than the rehearsal's
/// limit counts as a dead worker, and if that is the only one the RPC is denied.
#[tokio::test]
async fn a_hello_may_be_late_on_a_busy_machine() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut a = ScriptedWorker::start("a").await;
    a.address = listener.local_addr().unwrap();
    let stage = Stage::new(&[&a]).await;
    stage.send_rpc(1, "read-fields", LONG_MS);
    let (stream, _) = listener.accept().await.unwrap();
    tokio::time::pause();
    tokio::time::advance(std::time::Duration::from_millis(300)).await;
    tokio::time::resume();
    let mut link = handshake(stream, "a", LinkLimits::default()).await.unwrap();
    let asked = loop {
        match link.reader.next().await {
            Some(Ok(f)) if f.kind == Kind::ATTEMPT => break f,
            Some(Ok(_)) => {}
            other => panic!("the dial was abandoned: {other:?}"),
        }
    };
    link.outbox.send(encode_answer(&asked, Outcome::Ok), None).unwrap();
    assert_eq!(stage.final_answer(1).await, Answer::Ok);
}

/// Bodies of all sizes pass unchanged; one over the limit closes its own connection and no other.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_pass_and_one_over_the_limit_affects_only_its_sender() {
    let mut a = ScriptedWorker::start("a").await;
    // Long deadlines: the largest bodies and the list may be slow on a busy machine, and this test is not about time.
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
        let outcome = match &called {
            CallOutcome::Final { answer, reason, .. } => format!("{answer:?}: {reason}"),
            other => format!("{other:?}"),
        };
        assert!(
            matches!(called, CallOutcome::Final { answer: Answer::Ok, body: b, .. } if b == body),
            "{size} bytes: {outcome}"
        );
    }
    let body = bytes::Bytes::from(vec![7u8; (16 << 20) + 1]);
    let over = call(&address, "read-fields", "m", "", Time(600_000), None, body).await;
    assert!(!matches!(over, Ok(CallOutcome::Final { .. })), "{over:?}");
    stage.send_rpc(1, "read-fields", LONG_MS);
    assert_eq!(stage.final_answer(1).await, Answer::Ok);
    serving.abort();
}

/// Guards against one client's long names closing a worker connection that carries attempts of others.
#[tokio::test(flavor = "multi_thread")]
async fn names_of_maximal_length_do_not_affect_other_clients() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    let address = stage.gateway.address.to_string();
    stage.send_rpc(1, "issue-extract", LONG_MS);
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
    assert_eq!(stage.final_answer(1).await, Answer::Ok);
    let f = stop(stage).await;
    assert_eq!((f.ok, f.aborted, f.refused), (2, 0, 2));
    serving.abort();
}

/// A malformed frame closes its own connection with a FAULT that names the field.
#[tokio::test]
async fn a_malformed_frame_closes_its_own_connection_with_a_fault() {
    let a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    let stream = TcpStream::connect(stage.gateway.address).await.unwrap();
    let mut link = handshake(stream, "x", LinkLimits::default()).await.unwrap();
    link.outbox.send(Frame::new(Kind::RPC).text(Field::TAG, "seven"), None).unwrap();
    let fault = link.reader.next().await.unwrap().unwrap();
    assert_eq!(fault.kind, Kind::FAULT);
    assert!(fault.get_text(Field::REASON).unwrap().contains("is not a whole number"));
    assert!(link.reader.next().await.is_none());
    // The gateway still serves other connections.
    stage.send_rpc(1, "no-such-method", LONG_MS);
    stage.wait_for(|s| matches!(s, TranscriptEvent::Refused { key: 1, .. })).await;
}

/// Clients are served up to the limit, further ones get a FAULT, and a freed slot is used again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn simultaneous_clients_are_served_up_to_the_limit() {
    const MAX_CLIENTS: usize = 1_000;
    const CLIENTS: usize = 1_500;
    let a = ScriptedWorker::start("a").await;
    let text =
        REHEARSAL_CONFIG.replace("dial-limit 250ms", &format!("dial-limit 250ms\n  clients {MAX_CLIENTS}"));
    let stage = Stage::with(curlewpoint_config::parse("capped.conf", &text).unwrap(), &[&a]).await;
    let address = stage.gateway.address;
    let mut dials = tokio::task::JoinSet::new();
    for _ in 0..CLIENTS {
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
    let rejected = all.iter().filter(|(kind, _)| *kind == Kind::FAULT).count();
    assert_eq!(served, MAX_CLIENTS - 1, "one slot is used by the stage's client; {rejected} got a fault");
    drop(all);
    loop {
        let stream = TcpStream::connect(address).await.unwrap();
        if let Ok(mut link) = handshake(stream, "x", LinkLimits::default()).await {
            let rpc =
                Frame::new(Kind::RPC).int(Field::TAG, 1).text(Field::METHOD, "none").text(Field::MODEL, "m");
            link.outbox.send(rpc.int(Field::TIME_LEFT, 9), None).unwrap();
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

/// A stop lets open RPCs end in time, accepts no more and completes.
#[tokio::test]
async fn a_stop_answers_open_rpcs() {
    let mut a = ScriptedWorker::start("a").await;
    let stage = Stage::new(&[&a]).await;
    stage.send_rpc(1, "issue-extract", LONG_MS);
    stage.send_rpc(2, "issue-extract", 700);
    let first = a.next_attempt().await;
    let _second = a.next_attempt().await;
    stage.gateway.stop().await;
    assert_eq!(stage.final_answer(2).await, Answer::Aborted);
    a.respond(&first, Outcome::Ok);
    assert_eq!(stage.final_answer(1).await, Answer::Ok);
    let f = stop(stage).await;
    assert_eq!((f.taken, f.ok, f.aborted, f.cut_off), (2, 1, 1, 0));
}
