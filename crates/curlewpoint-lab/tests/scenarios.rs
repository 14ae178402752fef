//! The shipped scenarios on real sockets keep the five rules.

use std::collections::BTreeSet;

use curlewpoint_lab::{
    run_scenario, ClientProtocol, EventKind, Script, Transcript, TranscriptEvent, BAD_DAY, REHEARSAL_CONFIG,
    SECOND_DAY,
};

/// Every kind of event occurs in one of the two shipped scenarios.
#[tokio::test(flavor = "multi_thread")]
async fn the_second_scenario_keeps_all_rules() {
    let config =
        curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("the shipped script is valid");
    let [bad, second] =
        [BAD_DAY, SECOND_DAY].map(|text| Script::parse("script", text).expect("the shipped script is valid"));
    let kinds: BTreeSet<_> = bad.events.iter().chain(&second.events).map(|e| e.kind).collect();
    assert_eq!(kinds.len(), EventKind::ALL.len());
    let _guard = ONE_AT_A_TIME.lock().await;
    let result = run_scenario(&config, &second, ClientProtocol::Native).await.expect("loopback is available");
    assert!(result.verdict.passed(), "{}", result.report);
    // A killed run reports no counters; the scheduler restarted in its place does.
    assert_eq!(result.counters.len(), second.schedulers);
}

/// Scenarios run one at a time, as they would disturb each other's timing.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

#[tokio::test(flavor = "multi_thread")]
async fn the_bad_day_scenario_keeps_all_rules() {
    let config =
        curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("the shipped script is valid");
    let script = Script::parse("bad.day", BAD_DAY).expect("the shipped script is valid");
    let _guard = ONE_AT_A_TIME.lock().await;
    let result = run_scenario(&config, &script, ClientProtocol::Native).await.expect("loopback is available");
    assert!(result.verdict.passed(), "{}", result.report);
    let kinds: BTreeSet<_> = result
        .events
        .iter()
        .filter_map(|(_, s)| {
            if let TranscriptEvent::Scripted { description } = s {
                description.split(' ').next()
            } else {
                None
            }
        })
        .collect();
    assert!(kinds.len() >= 6, "{kinds:?}");
    // Every rule was checked, except possibly drains, where nothing may have been sent late.
    let checks = result.verdict.checks;
    assert!(checks[0] > 500 && checks[1] > 100 && checks[3] > 10 && checks[4] > 10, "{checks:?}");
    // The schedulers' counters agree with each other and with what the clients sent.
    let sent =
        result.events.iter().filter(|(_, s)| matches!(s, TranscriptEvent::RpcSent { .. })).count() as u64;
    let sum: u64 = result.counters.values().map(|f| f.taken + f.refused).sum();
    assert_eq!(sum, sent, "{:?}", result.counters);
    for (name, f) in &result.counters {
        assert_eq!(f.taken, f.ok + f.denied + f.aborted + f.left, "{name}");
        assert_eq!((f.aborted_by_guard, f.cut_off), (0, 0), "{name}");
    }
    assert!(Transcript::since_start(result.events[0].0).ms() >= 0.0);
}

/// The same scenario with clients that use HTTP/2.
#[tokio::test(flavor = "multi_thread")]
async fn the_bad_day_scenario_over_http_keeps_all_rules() {
    let config =
        curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("the shipped script is valid");
    let script = Script::parse("bad.day", BAD_DAY).expect("the shipped script is valid");
    let _guard = ONE_AT_A_TIME.lock().await;
    let result = run_scenario(&config, &script, ClientProtocol::Http).await.expect("loopback is available");
    assert!(result.verdict.passed(), "{}", result.report);
    let checks = result.verdict.checks;
    assert!(checks[0] > 500 && checks[1] > 100 && checks[3] > 10 && checks[4] > 10, "{checks:?}");
    for (name, f) in &result.counters {
        assert_eq!(f.taken, f.ok + f.denied + f.aborted + f.left, "{name}");
        assert_eq!((f.aborted_by_guard, f.cut_off, f.left), (0, 0, 0), "{name}");
    }
}
