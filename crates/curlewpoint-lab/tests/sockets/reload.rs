//! Reloads while RPCs are open: each RPC ends under the method settings it was accepted under.

use crate::common::{config, with_long_dial_limit, ScriptedWorker, Stage};
use curlewpoint::types::{Outcome, Time};
use curlewpoint_config::Config;
use curlewpoint_engine::Answer;
use curlewpoint_gateway::ReloadError;
use curlewpoint_lab::test_servers::wire::PeerId;
use curlewpoint_lab::test_servers::worker::rpc_key;
use curlewpoint_lab::{CallOutcome, TranscriptEvent, REHEARSAL_CONFIG};
use curlewpoint_wire::{Field, Frame};

/// The rehearsal's configuration with these changes, otherwise as the stage was started.
fn changed(s: &Stage, changes: &[(&str, &str)]) -> Config {
    let mut text = REHEARSAL_CONFIG.to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let config = curlewpoint_config::parse("rehearsal.conf", &text).unwrap_or_else(|f| panic!("{f}"));
    with_long_dial_limit(config).with_value("list", &s.list.address.to_string()).with_value("seed", "7")
}

const RENAMED_METHOD: (&str, &str) = ("method issue-extract {", "method issue-extracts {");

async fn refusal(s: &Stage, key: u64) -> String {
    match s.wait_for(|x| matches!(x, TranscriptEvent::Refused { key: k, .. } if *k == key)).await.1 {
        TranscriptEvent::Refused { reason, .. } => reason,
        _ => unreachable!("only refusals match"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_method_ends_its_open_rpcs_and_accepts_no_more() {
    let mut a = ScriptedWorker::start("a").await;
    let s = Stage::new(&[&a]).await;
    s.send_rpc(1, "issue-extract", 4_000);
    let asked = a.next_attempt().await;
    let reloader = s.gateway.reload_handle();
    reloader.reload(changed(&s, &[RENAMED_METHOD])).await.unwrap();
    s.send_rpc(2, "issue-extract", 4_000);
    assert_eq!(refusal(&s, 2).await, "withdrawn");
    s.send_rpc(3, "no-such", 4_000);
    assert_eq!(refusal(&s, 3).await, "no-such-method");
    // The added method is served at once.
    s.send_rpc(4, "issue-extracts", 4_000);
    let new = a.next_attempt().await;
    assert_eq!(new.1.get_text(Field::METHOD).unwrap(), "issue-extracts");
    a.respond(&new, Outcome::Ok);
    a.respond(&asked, Outcome::Ok);
    assert_eq!((s.final_answer(1).await, s.final_answer(4).await), (Answer::Ok, Answer::Ok));
    // The method is added again and served as before.
    reloader.reload(changed(&s, &[])).await.unwrap();
    s.send_rpc(5, "issue-extract", 4_000);
    let back = a.next_attempt().await;
    a.respond(&back, Outcome::Ok);
    assert_eq!(s.final_answer(5).await, Answer::Ok);
}

/// The method may be retried under the old settings and not under the new ones: each RPC keeps its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_effect_applies_to_rpcs_accepted_after_the_reload() {
    let (mut a, mut b) = (ScriptedWorker::start("a").await, ScriptedWorker::start("b").await);
    let s = Stage::new(&[&a, &b]).await;
    let side_effecting = ("effect idempotent", "effect side-effecting");
    s.send_rpc(1, "read-fields", 4_000);
    let (first, to_a) = tokio::select! {
        x = a.next_attempt() => (x, true),
        x = b.next_attempt() => (x, false),
    };
    s.gateway.reload_handle().reload(changed(&s, &[side_effecting])).await.unwrap();
    let (this, other) = if to_a { (&mut a, &mut b) } else { (&mut b, &mut a) };
    this.respond(&first, Outcome::Error);
    // Accepted as idempotent: it may have run, and is retried.
    let again = tokio::select! {
        x = this.next_attempt() => { this.respond(&x, Outcome::Ok); x }
        x = other.next_attempt() => { other.respond(&x, Outcome::Ok); x }
    };
    assert_eq!(again.1.get_int(Field::ATTEMPT_NUMBER).unwrap(), 1);
    assert_eq!(s.final_answer(1).await, Answer::Ok);
    // Accepted as side-effecting: no second attempt.
    s.send_rpc(2, "read-fields", 4_000);
    tokio::select! {
        x = a.next_attempt() => a.respond(&x, Outcome::Error),
        x = b.next_attempt() => b.respond(&x, Outcome::Error),
    }
    assert_eq!(s.final_answer(2).await, Answer::Aborted);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_beyond_the_release_limit_fails_until_a_release_has_ended() {
    let mut a = ScriptedWorker::start("a").await;
    let s = Stage::new(&[&a]).await;
    let reloader = s.gateway.reload_handle();
    let mut asked = Vec::new();
    for (key, release) in [(1, "2"), (2, "3")] {
        s.send_rpc(key, "issue-extract", 4_000);
        asked.push(a.next_attempt().await);
        reloader.reload(changed(&s, &[]).with_value("release", release)).await.unwrap();
    }
    s.send_rpc(3, "issue-extract", 4_000);
    asked.push(a.next_attempt().await);
    let third = changed(&s, &[RENAMED_METHOD]);
    assert_eq!(reloader.reload(third.clone()).await, Err(ReloadError::TooManyReleases(3)));
    // None of it has taken effect.
    s.send_rpc(4, "issue-extract", 4_000);
    let more = a.next_attempt().await;
    a.respond(&more, Outcome::Ok);
    assert_eq!(s.final_answer(4).await, Answer::Ok);
    a.respond(&asked[0], Outcome::Ok);
    assert_eq!(s.final_answer(1).await, Answer::Ok);
    reloader.reload(third).await.unwrap();
    for (key, asked) in [(2, &asked[1]), (3, &asked[2])] {
        a.respond(asked, Outcome::Ok);
        assert_eq!(s.final_answer(key).await, Answer::Ok);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_outside_methods_change_only_at_a_restart() {
    let a = ScriptedWorker::start("a").await;
    let s = Stage::new(&[&a]).await;
    let new = changed(&s, &[("drain-grace 500ms", "drain-grace 900ms"), ("deadline 4s", "deadline 3s")]);
    let error = s.gateway.reload_handle().reload(new.with_value("listen", "127.0.0.1:9")).await.unwrap_err();
    assert_eq!(error, ReloadError::RequiresRestart(vec!["listen".into(), "workers drain-grace".into()]));
}

/// Two instances, of which one already has the new method.
#[tokio::test(flavor = "multi_thread")]
async fn a_method_known_to_one_instance_is_refused_without_effect_by_the_other() {
    let mut a = ScriptedWorker::start("a").await;
    let s = Stage::new(&[&a]).await;
    let behind =
        curlewpoint_gateway::start(&config().with_value("list", &s.list.address.to_string())).await.unwrap();
    s.gateway.reload_handle().reload(changed(&s, &[RENAMED_METHOD])).await.unwrap();
    let call = |address: String, method: &'static str| async move {
        curlewpoint_lab::call(&address, method, "m", "", Time(40_000), None, bytes::Bytes::new())
            .await
            .unwrap()
    };
    let (ahead, behind) = (s.gateway.address.to_string(), behind.address.to_string());
    let refused = |reason: &str| CallOutcome::Refused(reason.to_owned());
    assert_eq!(call(behind.clone(), "issue-extracts").await, refused("no-such-method"));
    assert_eq!(call(ahead.clone(), "issue-extract").await, refused("withdrawn"));
    for (address, method) in [(ahead, "issue-extracts"), (behind, "issue-extract")] {
        let called = tokio::spawn(call(address, method));
        let asked = a.next_attempt().await;
        a.respond(&asked, Outcome::Ok);
        assert!(matches!(called.await.unwrap(), CallOutcome::Final { answer: Answer::Ok, .. }), "{method}");
    }
}

/// Waits up to thirty seconds for the next attempt.
async fn next(a: &mut ScriptedWorker, s: &Stage) -> (PeerId, Frame) {
    let attempt = tokio::time::timeout(std::time::Duration::from_secs(30), a.next_attempt()).await;
    attempt.unwrap_or_else(|_| panic!("no attempt came: {:?}", s.transcript.events()))
}

/// Reloads under load: at each, attempts are in flight and other RPCs wait, and one RPC stays open until after the next
/// reload. Every RPC ends ok exactly once and none is refused, as its method is served throughout.
#[tokio::test(flavor = "multi_thread")]
async fn reloads_under_load_lose_no_rpc() {
    const RELOADS: u64 = 40;
    // Too few answers for an estimate of the usual latency, so a short silence does not make the worker suspect.
    const RPCS_PER_RELOAD: u64 = 5;
    let mut a = ScriptedWorker::start("a").await;
    // Long deadlines, so that no RPC is denied for lack of time; the settings differ at each reload.
    let settings = |no: u64| {
        let gain = format!("gain {}", 2 + no);
        let text = REHEARSAL_CONFIG
            .replace("soft-deadline 800ms", "soft-deadline 60s")
            .replace("deadline 4s", "deadline 60s");
        text.replace("gain 2", &gain)
    };
    let of = |no| curlewpoint_config::parse("rehearsal.conf", &settings(no)).unwrap().with_value("seed", "7");
    let s = Stage::with(of(0), &[&a]).await;
    let reloader = s.gateway.reload_handle();
    let mut open = None;
    for no in 0..RELOADS {
        for key in no * RPCS_PER_RELOAD..(no + 1) * RPCS_PER_RELOAD {
            s.send_rpc(key, "read-fields", 60_000);
        }
        let first = next(&mut a, &s).await;
        let new = with_long_dial_limit(of(no + 1)).with_value("list", &s.list.address.to_string());
        reloader.reload(new).await.unwrap();
        for _ in 1..RPCS_PER_RELOAD {
            let asked = next(&mut a, &s).await;
            a.respond(&asked, Outcome::Ok);
        }
        // The RPC of the release before the last ends before the next reload, as the number of releases is limited.
        if let Some(before) = open.replace(first) {
            a.respond(&before, Outcome::Ok);
            s.final_answer(rpc_key(&before.1.body)).await;
        }
    }
    a.respond(&open.unwrap(), Outcome::Ok);
    for key in 0..RELOADS * RPCS_PER_RELOAD {
        assert_eq!(s.final_answer(key).await, Answer::Ok, "{key}");
    }
    let Stage { gateway, client, .. } = s;
    gateway.stop().await;
    client.wait_closed().await;
    let f = gateway.wait().await;
    assert_eq!((f.taken, f.ok, f.attempts, f.refused), (200, 200, 200, 0));
}
