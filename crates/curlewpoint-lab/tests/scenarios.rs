//! A scripted bad day on real sockets keeps the five rules.

use std::collections::BTreeSet;

use curlewpoint_lab::{
    run_scenario, ClientProtocol, EventKind, Script, Transcript, TranscriptEvent, BAD_DAY, REHEARSAL_CONFIG,
    SECOND_DAY,
};

/// Every kind of trouble that a script can have is caused on one of the two days, which are played one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn the_other_kinds_of_trouble_keep_all_rules_too() {
    let config = curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("it is shipped");
    let [bad, second] =
        [BAD_DAY, SECOND_DAY].map(|text| Script::parse("a day", text).expect("it is shipped"));
    let kinds: BTreeSet<_> = bad.events.iter().chain(&second.events).map(|e| e.kind).collect();
    assert_eq!(kinds.len(), EventKind::ALL.len());
    let _alone = ONE_AT_A_TIME.lock().await;
    let day = run_scenario(&config, &second, ClientProtocol::Native).await.expect("loopback is there");
    assert!(day.verdict.passed(), "{}", day.report);
    // Those killed say nothing of themselves any more.
    assert_eq!(day.counters.len(), second.schedulers);
}

/// Days share this machine's cores badly.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_day_keeps_all_rules() {
    let config = curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("it is shipped");
    let script = Script::parse("bad.day", BAD_DAY).expect("it is shipped");
    let _alone = ONE_AT_A_TIME.lock().await;
    let day = run_scenario(&config, &script, ClientProtocol::Native).await.expect("loopback is there");
    assert!(day.verdict.passed(), "{}", day.report);
    let troubles: BTreeSet<_> = day
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
    assert!(troubles.len() >= 6, "{troubles:?}");
    // Each rule was put to the test, but for drains, where nothing may have been sent late.
    let judged = day.verdict.checks;
    assert!(judged[0] > 500 && judged[1] > 100 && judged[3] > 10 && judged[4] > 10, "{judged:?}");
    // What the schedulers say of themselves adds up, with what their clients saw.
    let asked =
        day.events.iter().filter(|(_, s)| matches!(s, TranscriptEvent::RpcSent { .. })).count() as u64;
    let sum: u64 = day.counters.values().map(|f| f.taken + f.refused).sum();
    assert_eq!(sum, asked, "{:?}", day.counters);
    for (name, f) in &day.counters {
        assert_eq!(f.taken, f.ok + f.denied + f.aborted + f.left, "{name}");
        assert_eq!((f.aborted_by_guard, f.cut_off), (0, 0), "{name}");
    }
    assert!(Transcript::since_start(day.events[0].0).ms() >= 0.0);
}

/// The same bad day with clients that come by HTTP/2.
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_day_over_http_keeps_all_rules() {
    let config = curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("it is shipped");
    let script = Script::parse("bad.day", BAD_DAY).expect("it is shipped");
    let _alone = ONE_AT_A_TIME.lock().await;
    let day = run_scenario(&config, &script, ClientProtocol::Http).await.expect("loopback is there");
    assert!(day.verdict.passed(), "{}", day.report);
    let judged = day.verdict.checks;
    assert!(judged[0] > 500 && judged[1] > 100 && judged[3] > 10 && judged[4] > 10, "{judged:?}");
    for (name, f) in &day.counters {
        assert_eq!(f.taken, f.ok + f.denied + f.aborted + f.left, "{name}");
        assert_eq!((f.aborted_by_guard, f.cut_off, f.left), (0, 0, 0), "{name}");
    }
}
