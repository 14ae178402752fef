//! Other methods come into force while RPCs are open: each ends under those that it was taken under.

use crate::common::{config, patient, ScriptedWorker, Stage};
use curlewpoint::types::{Outcome, Time};
use curlewpoint_config::Config;
use curlewpoint_engine::Answer;
use curlewpoint_gateway::ReloadError;
use curlewpoint_lab::test_servers::wire::PeerId;
use curlewpoint_lab::test_servers::worker::rpc_key;
use curlewpoint_lab::{CallOutcome, TranscriptEvent, REHEARSAL_CONFIG};
use curlewpoint_wire::{Field, Frame};

/// The rehearsal's configuration with these changes, as the stage started it.
fn changed(s: &Stage, changes: &[(&str, &str)]) -> Config {
    let mut text = REHEARSAL_CONFIG.to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let config = curlewpoint_config::parse("rehearsal.conf", &text).unwrap_or_else(|f| panic!("{f}"));
    patient(config).with_value("list", &s.list.address.to_string()).with_value("seed", "7")
}

const NO_ISSUE: (&str, &str) = ("method issue-extract {", "method issue-extracts {");

async fn refusal(s: &Stage, key: u64) -> String {
    match s.until(|x| matches!(x, TranscriptEvent::Refused { key: k, .. } if *k == key)).await.1 {
        TranscriptEvent::Refused { reason, .. } => reason,
        _ => unreachable!("it was looked for"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_method_withdrawn_ends_what_is_open_and_takes_nothing_more() {
    let mut a = ScriptedWorker::start("a").await;
    let s = Stage::new(&[&a]).await;
    s.ask(1, "issue-extract", 4_000);
    let asked = a.next_attempt().await;
    let reloader = s.gateway.reload_handle();
    reloader.reload(changed(&s, &[NO_ISSUE])).await.unwrap();
    s.ask(2, "issue-extract", 4_000);
    assert_eq!(refusal(&s, 2).await, "withdrawn");
    s.ask(3, "no-such", 4_000);
    assert_eq!(refusal(&s, 3).await, "no-such-method");
    // The one that came is served here at once.
    s.ask(4, "issue-extracts", 4_000);
    let new = a.next_attempt().await;
    assert_eq!(new.1.get_text(Field::METHOD).unwrap(), "issue-extracts");
    a.respond(&new, Outcome::Ok);
    a.respond(&asked, Outcome::Ok);
    assert_eq!((s.final_of(1).await, s.final_of(4).await), (Answer::Ok, Answer::Ok));
    // It comes back, and is served as before.
    reloader.reload(changed(&s, &[])).await.unwrap();
    s.ask(5, "issue-extract", 4_000);
    let back = a.next_attempt().await;
    a.respond(&back, Outcome::Ok);
    assert_eq!(s.final_of(5).await, Answer::Ok);
}

/// Under the old terms an RPC may be repeated, under the new ones not: each goes by its own.
#[tokio::test(flavor = "multi_thread")]
async fn an_effect_that_changes_holds_for_what_is_taken_after_it() {
    let (mut a, mut b) = (ScriptedWorker::start("a").await, ScriptedWorker::start("b").await);
    let s = Stage::new(&[&a, &b]).await;
    let only_issue = ("effect idempotent", "effect side-effecting");
    s.ask(1, "read-fields", 4_000);
    let (first, to_a) = tokio::select! {
        x = a.next_attempt() => (x, true),
        x = b.next_attempt() => (x, false),
    };
    s.gateway.reload_handle().reload(changed(&s, &[only_issue])).await.unwrap();
    let (this, other) = if to_a { (&mut a, &mut b) } else { (&mut b, &mut a) };
    this.respond(&first, Outcome::Error);
    // Taken as idempotent: it may have run, and goes out again.
    let again = tokio::select! {
        x = this.next_attempt() => { this.respond(&x, Outcome::Ok); x }
        x = other.next_attempt() => { other.respond(&x, Outcome::Ok); x }
    };
    assert_eq!(again.1.get_int(Field::ATTEMPT_NUMBER).unwrap(), 1);
    assert_eq!(s.final_of(1).await, Answer::Ok);
    // Taken as side-effecting: no second attempt.
    s.ask(2, "read-fields", 4_000);
    tokio::select! {
        x = a.next_attempt() => a.respond(&x, Outcome::Error),
        x = b.next_attempt() => b.respond(&x, Outcome::Error),
    }
    assert_eq!(s.final_of(2).await, Answer::Aborted);
}

#[tokio::test(flavor = "multi_thread")]
async fn as_many_sets_are_held_as_are_stated_and_a_further_reload_waits_for_one_to_end() {
    let mut a = ScriptedWorker::start("a").await;
    let s = Stage::new(&[&a]).await;
    let reloader = s.gateway.reload_handle();
    let mut asked = Vec::new();
    for (key, release) in [(1, "2"), (2, "3")] {
        s.ask(key, "issue-extract", 4_000);
        asked.push(a.next_attempt().await);
        reloader.reload(changed(&s, &[]).with_value("release", release)).await.unwrap();
    }
    s.ask(3, "issue-extract", 4_000);
    asked.push(a.next_attempt().await);
    let third = changed(&s, &[NO_ISSUE]);
    assert_eq!(reloader.reload(third.clone()).await, Err(ReloadError::TooManyReleases(3)));
    // Nothing of it came into force.
    s.ask(4, "issue-extract", 4_000);
    let more = a.next_attempt().await;
    a.respond(&more, Outcome::Ok);
    assert_eq!(s.final_of(4).await, Answer::Ok);
    a.respond(&asked[0], Outcome::Ok);
    assert_eq!(s.final_of(1).await, Answer::Ok);
    reloader.reload(third).await.unwrap();
    for (key, asked) in [(2, &asked[1]), (3, &asked[2])] {
        a.respond(asked, Outcome::Ok);
        assert_eq!(s.final_of(key).await, Answer::Ok);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_no_method_changes_only_at_a_restart() {
    let a = ScriptedWorker::start("a").await;
    let s = Stage::new(&[&a]).await;
    let new = changed(&s, &[("drain-grace 500ms", "drain-grace 900ms"), ("deadline 4s", "deadline 3s")]);
    let told = s.gateway.reload_handle().reload(new.with_value("listen", "127.0.0.1:9")).await.unwrap_err();
    assert_eq!(told, ReloadError::RequiresRestart(vec!["listen".into(), "workers drain-grace".into()]));
}

/// Two instances, one of which knows the method already: clients meet both.
#[tokio::test(flavor = "multi_thread")]
async fn a_method_that_one_instance_knows_already_is_refused_harmlessly_by_the_other() {
    let mut a = ScriptedWorker::start("a").await;
    let s = Stage::new(&[&a]).await;
    let behind =
        curlewpoint_gateway::start(&config().with_value("list", &s.list.address.to_string())).await.unwrap();
    s.gateway.reload_handle().reload(changed(&s, &[NO_ISSUE])).await.unwrap();
    let call = |address: String, method: &'static str| async move {
        curlewpoint_lab::call(&address, method, "m", "", Time(40_000), None, bytes::Bytes::new())
            .await
            .unwrap()
    };
    let (ahead, behind) = (s.gateway.address.to_string(), behind.address.to_string());
    let refused = |why: &str| CallOutcome::Refused(why.to_owned());
    assert_eq!(call(behind.clone(), "issue-extracts").await, refused("no-such-method"));
    assert_eq!(call(ahead.clone(), "issue-extract").await, refused("withdrawn"));
    for (address, method) in [(ahead, "issue-extracts"), (behind, "issue-extract")] {
        let called = tokio::spawn(call(address, method));
        let asked = a.next_attempt().await;
        a.respond(&asked, Outcome::Ok);
        assert!(matches!(called.await.unwrap(), CallOutcome::Final { answer: Answer::Ok, .. }), "{method}");
    }
}

/// The next attempt, within thirty seconds.
async fn next(a: &mut ScriptedWorker, s: &Stage) -> (PeerId, Frame) {
    let attempt = tokio::time::timeout(std::time::Duration::from_secs(30), a.next_attempt()).await;
    attempt.unwrap_or_else(|_| panic!("no attempt came: {:?}", s.transcript.events()))
}

/// Reloads under load: at each of them RPCs are out at the worker and others wait, and one is open over it and the next.
/// Every RPC has its one answer, 'ok', and none is refused, as its method is served all the time.
#[tokio::test(flavor = "multi_thread")]
async fn reloads_during_load_lose_nothing() {
    const RELOADS: u64 = 40;
    // Fewer answers than it takes to tell what is usual: a worker that is silent for a moment is not judged by it.
    const EACH: u64 = 5;
    let mut a = ScriptedWorker::start("a").await;
    // The module turns nothing down for its time's sake; each set of terms differs.
    let terms = |no: u64| {
        let gain = format!("gain {}", 2 + no);
        let text = REHEARSAL_CONFIG
            .replace("soft-deadline 800ms", "soft-deadline 60s")
            .replace("deadline 4s", "deadline 60s");
        text.replace("gain 2", &gain)
    };
    let of = |no| curlewpoint_config::parse("rehearsal.conf", &terms(no)).unwrap().with_value("seed", "7");
    let s = Stage::with(of(0), &[&a]).await;
    let reloader = s.gateway.reload_handle();
    let mut kept = None;
    for no in 0..RELOADS {
        for key in no * EACH..(no + 1) * EACH {
            s.ask(key, "read-fields", 60_000);
        }
        let first = next(&mut a, &s).await;
        let new = patient(of(no + 1)).with_value("list", &s.list.address.to_string());
        reloader.reload(new).await.unwrap();
        for _ in 1..EACH {
            let asked = next(&mut a, &s).await;
            a.respond(&asked, Outcome::Ok);
        }
        // The one of the set before the last has to end before the next reload: as many sets are held as are stated.
        if let Some(before) = kept.replace(first) {
            a.respond(&before, Outcome::Ok);
            s.final_of(rpc_key(&before.1.body)).await;
        }
    }
    a.respond(&kept.unwrap(), Outcome::Ok);
    for key in 0..RELOADS * EACH {
        assert_eq!(s.final_of(key).await, Answer::Ok, "{key}");
    }
    let Stage { gateway, client, .. } = s;
    gateway.stop().await;
    client.wait_closed().await;
    let f = gateway.wait().await;
    assert_eq!((f.taken, f.ok, f.attempts, f.refused), (200, 200, 200, 0));
}
