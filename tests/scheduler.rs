//! The decisions of the scheduler, mostly when something fails.

mod harness;

use std::collections::BTreeSet;

use curlewpoint::types::*;
use harness::{settings, Harness, IDEMPOTENT, SIDE_EFFECTING, TOKENED};
use serde_json::json;
use test_case::test_case;

#[test]
fn reuses_the_warm_worker_and_shares_a_load_under_way() {
    let mut s = Harness::new(4);
    let first = s.rpc(IDEMPOTENT, 9);
    let second = s.rpc(IDEMPOTENT, 9);
    assert_eq!(
        s.workers_tried(first),
        s.workers_tried(second),
        "the second RPC waits for the first one's load"
    );
    let preferred = s.workers_tried(first)[0];
    s.end_attempt(first, 0, Outcome::Ok, CopyReport::BeganLoad);
    s.end_attempt(second, 0, Outcome::Ok, CopyReport::WaitedForLoad);
    assert!((0..5).all(|_| s.answered_rpc(9) == preferred));
}

#[test]
fn a_second_copy_is_ordered_when_the_warm_worker_is_crowded() {
    let mut s = Harness::new(4);
    let warm = s.answered_rpc(9);
    let sent: Vec<u64> = (0..6).map(|_| s.rpc(IDEMPOTENT, 9)).collect();
    assert!(sent.iter().all(|&r| s.workers_tried(r) == [warm]), "a warm copy with room is used");
    let orders = s.actions("load");
    assert_eq!(orders.len(), 1);
    let at: u64 = orders[0].split(' ').nth(1).and_then(|w| w.parse().ok()).expect("a worker");
    s.scheduler.load_ended(s.now(), WorkerId(at), FunctionId(9), Outcome::Ok, 1);
    let next = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.workers_tried(next), [at]);
}

#[test]
fn a_miss_leads_to_one_load_order_and_rpcs_wait_for_it() {
    let mut settings = settings();
    settings["familyInfo"]["whenAbsent"] = json!("miss");
    let mut s = Harness::with_settings(settings, 3);
    let first = s.rpc(IDEMPOTENT, 9);
    let at = s.workers_tried(first)[0];
    s.end_attempt(first, 0, Outcome::Miss, CopyReport::Unreported);
    let second = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.actions("load"), [format!("load {at} 9")]);
    assert!(s.workers_tried(second).is_empty() && s.workers_tried(first).len() == 1);
    s.scheduler.load_ended(s.now(), WorkerId(at), FunctionId(9), Outcome::Ok, 1);
    assert_eq!((s.workers_tried(first), s.workers_tried(second)), (vec![at, at], vec![at]));
}

#[test]
fn a_failed_load_order_releases_the_waiting_rpcs() {
    let mut settings = settings();
    settings["familyInfo"]["whenAbsent"] = json!("miss");
    let mut s = Harness::with_settings(settings, 3);
    let rpc = s.rpc(IDEMPOTENT, 9);
    let at = s.workers_tried(rpc)[0];
    s.end_attempt(rpc, 0, Outcome::Miss, CopyReport::Unreported);
    s.scheduler.load_ended(s.now(), WorkerId(at), FunctionId(9), Outcome::Full, 0);
    assert_eq!(s.workers_tried(rpc).len(), 2);
}

#[test_case(IDEMPOTENT, Outcome::Error, 2, "" ; "idempotent is retried")]
#[test_case(SIDE_EFFECTING, Outcome::Error, 1, "abort" ; "side effecting may have run")]
#[test_case(SIDE_EFFECTING, Outcome::Reset, 1, "abort" ; "side effecting was cut off")]
#[test_case(SIDE_EFFECTING, Outcome::Full, 2, "" ; "side effecting never ran")]
#[test_case(SIDE_EFFECTING, Outcome::ConnectFailed, 2, "" ; "side effecting never arrived")]
fn retries_only_as_the_effect_class_allows(method: usize, outcome: Outcome, attempts: usize, answer: &str) {
    let mut s = Harness::new(4);
    let rpc = s.rpc(method, 9);
    s.end_attempt(rpc, 0, outcome, CopyReport::Unreported);
    assert_eq!(s.workers_tried(rpc).len(), attempts);
    assert_eq!(s.actions("abort").len() + s.actions("deny").len(), usize::from(!answer.is_empty()));
    assert_eq!(s.actions("abort").len(), usize::from(answer == "abort"));
}

#[test]
fn an_added_method_has_its_own_settings_and_changes_no_other() {
    let mut s = Harness::new(4);
    let earlier = s.rpc(IDEMPOTENT, 9);
    s.scheduler.method_added(settings()["requestClasses"][SIDE_EFFECTING].clone());
    let added = s.rpc(TOKENED + 1, 9);
    s.end_attempt(earlier, 0, Outcome::Error, CopyReport::Unreported);
    s.end_attempt(added, 0, Outcome::Error, CopyReport::Unreported);
    assert_eq!(
        (s.workers_tried(earlier).len(), s.workers_tried(added).len(), s.actions("abort").len()),
        (2, 1, 1)
    );
}

#[test_case(0, true ; "within its memory span")]
#[test_case(900, false ; "after its memory span")]
fn tokened_retries_stay_within_their_group_and_memory_span(later_ms: u64, retried: bool) {
    let mut s = Harness::new(4);
    let rpc = s.rpc(TOKENED, 9);
    s.now_ms += later_ms;
    s.end_attempt(rpc, 0, Outcome::Error, CopyReport::Unreported);
    let workers = s.workers_tried(rpc);
    assert_eq!(workers.len(), if retried { 2 } else { 1 });
    assert!(workers.iter().all(|w| w % 2 == workers[0] % 2), "the group is the zone");
    assert_eq!(s.actions("deny").len(), 0, "it may have run");
    assert_eq!(s.actions("abort").len(), usize::from(!retried));
}

#[test]
fn an_rpc_gets_exactly_one_answer_at_its_deadline() {
    let mut s = Harness::new(1);
    let rpc = s.rpc(SIDE_EFFECTING, 9);
    s.now_ms += 2000;
    s.scheduler.timer_fired(s.now(), TimerId(rpc));
    s.end_attempt(rpc, 0, Outcome::TimeOut, CopyReport::Unreported);
    s.advance(1000);
    assert_eq!((s.actions("abort").len(), s.actions("deny").len(), s.workers_tried(rpc).len()), (1, 0, 1));
}

#[test]
fn nothing_is_sent_for_an_abandoned_rpc() {
    let mut s = Harness::new(3);
    let rpc = s.rpc(IDEMPOTENT, 9);
    s.scheduler.rpc_abandoned(RpcId(rpc));
    s.end_attempt(rpc, 0, Outcome::Cancelled, CopyReport::Unreported);
    s.end_attempt(rpc, 0, Outcome::Ok, CopyReport::Warm);
    s.advance(3000);
    assert_eq!((s.workers_tried(rpc).len(), s.actions("abort").len() + s.actions("deny").len()), (1, 0));
}

#[test_case(Some(Lifecycle::Draining) ; "drains")]
#[test_case(Some(Lifecycle::Gone) ; "is gone")]
#[test_case(None ; "is missing from a complete list")]
fn an_unavailable_worker_gets_no_attempts(listed: Option<Lifecycle>) {
    let mut s = Harness::new(3);
    let warm = s.answered_rpc(9);
    match listed {
        Some(lifecycle) => s.list_worker(warm, lifecycle, 0),
        None => {
            let named = (1..=3).filter(|&w| w != warm).map(WorkerId).collect::<BTreeSet<_>>();
            s.scheduler.list_received(s.now(), Some(&named));
        }
    }
    for function in 0..20 {
        let rpc = s.rpc(IDEMPOTENT, function);
        assert!(!s.workers_tried(rpc).contains(&warm));
    }
}

#[test_case(Outcome::Reset, 6, 1, false ; "connections broke")]
#[test_case(Outcome::Reset, 6, 0, true ; "one connection with many attempts broke")]
#[test_case(Outcome::Reset, 1, 0, true ; "one broken connection is no death")]
#[test_case(Outcome::ConnectFailed, 1, 0, false ; "connect failed")]
fn a_dead_worker_is_no_longer_believed_warm(outcome: Outcome, times: usize, gap_ms: u64, stays: bool) {
    let mut s = Harness::new(3);
    let warm = s.answered_rpc(9);
    let sent: Vec<u64> = (0..times).map(|_| s.rpc(IDEMPOTENT, 9)).collect();
    for &rpc in &sent {
        s.advance(gap_ms);
        s.end_attempt(rpc, 0, outcome, CopyReport::Unreported);
    }
    assert_eq!(
        s.workers_tried(sent[0])[1] == warm,
        outcome == Outcome::Reset,
        "a worker whose connection broke still has its copy"
    );
    if stays {
        sent.iter().for_each(|&rpc| s.end_attempt(rpc, 1, Outcome::Ok, CopyReport::Warm));
    }
    let next = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.workers_tried(next) == [warm], stays);
}

#[test]
fn a_new_load_avoids_a_worker_with_pinned_memory() {
    let mut settings = settings();
    settings["loadInfo"]["names"] = json!(["x0"]);
    let preferred = Harness::with_settings(settings.clone(), 2).answered_rpc(9);
    let mut s = Harness::with_settings(settings, 2);
    s.scheduler.load_report_received(s.now(), WorkerId(preferred), &[1.0]);
    assert_ne!(s.answered_rpc(9), preferred);
}

#[test]
fn a_smaller_worker_gets_fewer_attempts() {
    let mut settings = settings();
    settings["weightKind"] = json!("nominal");
    let mut s = Harness::with_settings(settings, 1);
    s.scheduler.worker_listed(s.now(), WorkerId(2), Lifecycle::Ready, Time(0), ZoneId(0), CellId(0), 3.0);
    let sent: Vec<u64> = (0..12).map(|f| s.rpc(IDEMPOTENT, f)).collect();
    let small = sent.iter().filter(|&&r| s.workers_tried(r) == [1]).count();
    assert!(small >= 1 && 2 * small < sent.len(), "{small} of {}", sent.len());
}

#[test_case(0 ; "first seen")]
#[test_case(1 ; "restarted under its id")]
fn a_cold_worker_gets_a_budget_of_attempts(listed_before: u64) {
    let mut s = Harness::new(listed_before);
    let since = s.now_ms - 100;
    s.list_worker(1, Lifecycle::Ready, since);
    // Without a known answer rate, three schedulers and a window of 2 s give a slot for one attempt every 8 s.
    for f in 0..18 {
        s.rpc(IDEMPOTENT, f);
        s.advance(500);
    }
    let sent = s.actions("attempt").len();
    assert!((1..=2).contains(&sent), "{sent} in 9 s");
}

#[test_case(1.0, 1 ; "spent")]
#[test_case(5.0, 2 ; "not spent")]
fn load_orders_stay_within_the_rate_limit(load_floor: f64, orders: usize) {
    let mut settings = settings();
    settings["familyInfo"]["loadFloor"] = json!(load_floor);
    let mut s = Harness::with_settings(settings, 6);
    for function in [0, 1] {
        s.answered_rpc(function);
        for _ in 0..5 {
            s.rpc(IDEMPOTENT, function);
        }
    }
    assert_eq!(s.actions("load").len(), orders);
}

#[test_case(Outcome::Error, CopyReport::Unreported, true ; "attempts fail")]
#[test_case(Outcome::Error, CopyReport::LoadFailed, false ; "loads fail")]
fn failed_attempts_make_a_worker_suspect_and_failed_loads_do_not(
    outcome: Outcome, copy: CopyReport, suspect: bool,
) {
    let mut s = Harness::new(4);
    let warm = s.answered_rpc(9);
    for _ in 0..6 {
        let rpc = s.rpc(SIDE_EFFECTING, 9);
        assert_eq!(s.workers_tried(rpc), [warm]);
        s.end_attempt(rpc, 0, outcome, copy);
        s.scheduler.load_ended(s.now(), WorkerId(warm), FunctionId(9), Outcome::Ok, 1);
    }
    assert_eq!(s.actions("log").iter().any(|l| l.contains(&format!("worker {warm} suspect"))), suspect);
}

#[test]
fn overdue_attempts_make_a_silent_worker_suspect() {
    let mut s = Harness::new(3);
    let warm = s.answered_rpc(9);
    (0..10).for_each(|_| assert_eq!(s.answered_rpc(9), warm));
    let stuck: Vec<u64> = (0..4).map(|_| s.rpc(SIDE_EFFECTING, 9)).collect();
    s.advance(900);
    assert!(s.actions("log").iter().any(|l| l.contains(&format!("worker {warm} suspect"))));
    let next = s.rpc(SIDE_EFFECTING, 9);
    assert_ne!(s.workers_tried(next), [warm]);
    assert!(stuck.iter().all(|&r| s.workers_tried(r).len() == 1), "an RPC that may still run is not retried");
}

#[test_case(IDEMPOTENT, 2 ; "idempotent")]
#[test_case(SIDE_EFFECTING, 1 ; "side effecting")]
fn an_overdue_idempotent_attempt_is_hedged_at_a_warm_copy(method: usize, attempts: usize) {
    let mut s = Harness::new(2);
    let warm = s.answered_rpc(9);
    (0..6).for_each(|_| assert_eq!(s.answered_rpc(9), warm));
    let rpc = s.rpc(method, 9);
    s.scheduler.load_ended(s.now(), WorkerId(3 - warm), FunctionId(9), Outcome::Ok, 1);
    s.advance(600);
    assert_eq!((s.workers_tried(rpc)[0], s.workers_tried(rpc).len()), (warm, attempts));
}

#[test]
fn errors_of_the_whole_fleet_eject_at_most_a_third() {
    let mut s = Harness::new(4);
    for function in 0..40 {
        let rpc = s.rpc(SIDE_EFFECTING, function);
        s.end_attempt(rpc, 0, Outcome::Error, CopyReport::Unreported);
    }
    assert_eq!(s.actions("log").iter().filter(|l| l.contains(" suspect,")).count(), 1);
    let rpc = s.rpc(SIDE_EFFECTING, 99);
    assert_eq!(s.workers_tried(rpc).len(), 1, "the other workers are still used");
}

#[test]
fn a_full_fleet_is_not_retried_at_once() {
    let mut s = Harness::new(2);
    let rpc = s.rpc(IDEMPOTENT, 9);
    s.end_attempt(rpc, 0, Outcome::Full, CopyReport::Unreported);
    s.end_attempt(rpc, 1, Outcome::Full, CopyReport::Unreported);
    assert_eq!(s.workers_tried(rpc).len(), 2);
    s.advance(100);
    assert_eq!(s.workers_tried(rpc).len(), 2, "there is a pause after a full reply");
    s.advance(1000);
    let answers = s.actions("deny").len();
    assert!(answers == 1 || s.workers_tried(rpc).len() > 2, "after the pause it is retried or denied");
}

/// Guards against loads that displace each other: each of 276 schedulers stopped sending loads of any function to a
/// worker that had rejected one, and tried every other worker. Functions left their preferred workers and did not
/// return (scenario `zone+mass`).
#[test]
fn a_rejected_load_is_tried_at_one_more_worker_and_moves_no_other_function() {
    let mut s = Harness::new(6);
    let preferred = |s: &mut Harness, function| {
        let rpc = s.rpc(IDEMPOTENT, function);
        let at = s.workers_tried(rpc)[0];
        s.scheduler.rpc_abandoned(RpcId(rpc));
        s.end_attempt(rpc, 0, Outcome::Cancelled, CopyReport::Unreported);
        at
    };
    let workers: Vec<u64> = (0..40).map(|f| preferred(&mut s, f)).collect();
    let rpc = s.rpc(IDEMPOTENT, 0);
    s.end_attempt(rpc, 0, Outcome::Full, CopyReport::Unreported);
    s.end_attempt(rpc, 1, Outcome::Full, CopyReport::Unreported);
    assert_eq!(s.workers_tried(rpc).len(), 2, "no third load is begun");
    assert!(
        (1..40).all(|f| preferred(&mut s, f) == workers[f as usize]),
        "the worker may have copies of other functions"
    );
    assert_ne!(preferred(&mut s, 0), workers[0]);
    s.advance(600);
    assert_eq!(s.actions("deny"), [format!("deny {rpc}")], "it never ran, and could not be answered in time");
}

#[test]
fn a_tenant_over_its_share_is_denied_first() {
    let mut settings = settings();
    settings["tenants"] = json!([{"share": 0.9}, {"share": 0.1}]);
    let mut s = Harness::with_settings(settings, 4);
    for function in 0..4 {
        s.answered_rpc(function);
    }
    let mut denied_after = |id: u64, tenant: usize| {
        let (now, f) = (s.now(), FunctionId(id % 4));
        s.scheduler.rpc_received(now, RpcId(1000 + id), MethodId(0), f, TenantId(tenant), Time(20_000), 4.0);
        s.actions("deny").len()
    };
    assert_eq!(denied_after(0, 0), 0);
    let denied = (1..8).map(|i| denied_after(i, 1)).max();
    assert!(denied > Some(0), "a few RPCs in flight are over a share of a tenth");
    let before = denied_after(8, 0);
    assert_eq!(denied_after(9, 0), before, "the other tenant has room");
}

#[test]
fn an_unused_slot_at_a_cold_worker_lapses() {
    let sent = |idle_ms: u64| {
        let mut s = Harness::new(0);
        s.list_worker(1, Lifecycle::Ready, s.now_ms);
        s.advance(idle_ms);
        for f in 0..20 {
            s.rpc(IDEMPOTENT, f);
            s.advance(20);
        }
        s.actions("attempt").len()
    };
    // A slot opens every 8 s, for 1 s: few of the 18 starting times may send, and none more than once.
    let counts: Vec<usize> = (0..18).map(|i| sent(500 * i)).collect();
    assert!(counts.iter().all(|&n| n <= 1) && (1..=7).contains(&counts.iter().sum::<usize>()), "{counts:?}");
}

#[test_case(0 ; "no workers listed")]
#[test_case(1 ; "all draining")]
fn an_rpc_without_a_usable_worker_is_denied_in_time(workers: u64) {
    let mut s = Harness::new(workers);
    (1..=workers).for_each(|w| s.list_worker(w, Lifecycle::Draining, 0));
    let rpc = s.rpc(SIDE_EFFECTING, 9);
    s.advance(2000);
    assert_eq!((s.actions("deny"), s.workers_tried(rpc)), (vec![format!("deny {rpc}")], vec![]));
}

#[test]
fn unusual_but_legal_input_is_tolerated() {
    let mut s = Harness::with_settings(json!({}), 1);
    let rpc = s.rpc(7, 9);
    assert_eq!(s.workers_tried(rpc).len(), 1, "no settings at all");
    s.end_attempt(99, 0, Outcome::Ok, CopyReport::Warm);
    s.end_attempt(rpc, 5, Outcome::Ok, CopyReport::Warm);
    s.scheduler.load_report_received(s.now(), WorkerId(1), &[]);
    s.scheduler.load_report_received(s.now(), WorkerId(77), &[0.5, 1.0]);
    s.scheduler.load_ended(s.now(), WorkerId(77), FunctionId(1), Outcome::Ok, 1);
    s.scheduler.timer_fired(s.now(), TimerId(12345));
    s.end_attempt(rpc, 0, Outcome::Ok, CopyReport::Unreported);
    s.end_attempt(rpc, 0, Outcome::Ok, CopyReport::Unreported);
    s.scheduler.rpc_received(s.now(), RpcId(500), MethodId(0), FunctionId(1), TenantId(3), Time(0), 0.0);
    s.scheduler.timer_fired(s.now(), TimerId(500));
    s.end_attempt(500, 0, Outcome::TimeOut, CopyReport::Unreported);
    s.advance(100);
    assert!(s.actions("deny").len() + s.actions("abort").len() <= 1);
}

#[test]
fn a_copy_crowded_by_other_schedulers_gets_a_second_one() {
    let mut s = Harness::new(4);
    let warm = s.answered_rpc(9);
    s.rpcs_held = 30;
    s.advance(1500);
    s.answered_rpc(9);
    let next = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.workers_tried(next), [warm], "a warm copy still beats a load");
    assert!(s.actions("load").iter().any(|l| *l != format!("load {warm} 9")));
    s.advance(20_000);
    let later = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.workers_tried(later), [warm], "old reports have decayed");
}

#[test_case(50, true ; "unchanged")]
#[test_case(600, false ; "slower than the other workers")]
fn a_worker_whose_answers_slow_down_counts_as_crowded(slow_ms: u64, unchanged: bool) {
    let mut s = Harness::new(40);
    let workers: BTreeSet<u64> = (0..20).map(|f| s.answered_rpc(f)).collect();
    assert!(workers.len() > 5);
    for _ in 0..3 {
        s.advance(1500);
        let rpc = s.rpc(IDEMPOTENT, 0);
        s.elapsed_ms = slow_ms;
        s.end_attempt(rpc, 0, Outcome::Ok, CopyReport::Warm);
        s.elapsed_ms = 50;
        (1..20).for_each(|f| assert!(s.answered_rpc(f) > 0));
    }
    s.rpc(IDEMPOTENT, 0);
    assert_eq!(s.actions("load").is_empty(), unchanged);
}

#[test_case(20, 1 ; "no stall")]
#[test_case(1500, 0 ; "a stall")]
fn a_stall_of_the_scheduler_is_no_evidence_against_a_worker(stall_ms: u64, suspects: usize) {
    let mut s = Harness::new(3);
    s.answered_rpc(9);
    s.advance(1000);
    for _ in 0..4 {
        s.rpc(SIDE_EFFECTING, 9);
    }
    s.advance(if stall_ms > 20 { 20 } else { 1500 });
    s.now_ms += stall_ms;
    s.scheduler.timer_fired(s.now(), TimerId(u64::MAX >> 1));
    assert_eq!(s.actions("log").iter().filter(|l| l.contains(" suspect,")).count(), suspects);
}

/// Guards against state that grows with every worker ever listed, in a process that runs for months.
#[test_case(10_000, 1 ; "its lowered ceiling is kept for a while")]
#[test_case(310_000, 2 ; "then it is forgotten")]
fn a_worker_long_gone_is_forgotten(gone_ms: u64, attempts: usize) {
    let mut s = Harness::new(1);
    s.answered_rpc(9);
    let full = s.rpc(IDEMPOTENT, 9);
    s.end_attempt(full, 0, Outcome::Full, CopyReport::Unreported);
    s.list_worker(1, Lifecycle::Gone, 0);
    s.advance(gone_ms);
    s.list_worker(1, Lifecycle::Ready, 0);
    let rpcs = [s.rpc(IDEMPOTENT, 9), s.rpc(IDEMPOTENT, 9)];
    assert_eq!(rpcs.iter().map(|r| s.workers_tried(*r).len()).sum::<usize>(), attempts);
}

/// The worker, of four, that function 9 is loaded at without any hint, and another worker.
fn preferred_and_other() -> (u64, u64) {
    let mut s = Harness::new(4);
    let rpc = s.rpc(IDEMPOTENT, 9);
    let preferred = s.workers_tried(rpc)[0];
    (preferred, preferred % 4 + 1)
}

fn hinted(s: &mut Harness, worker: u64, hint: Hint, age_ms: u64) {
    s.scheduler.hint_received(s.now(), WorkerId(worker), FunctionId(9), hint, 0, Time(age_ms * 10));
}

#[test_case(Hint::Warm, 0, true ; "a warm copy")]
#[test_case(Hint::Loading, 100, true ; "a load under way")]
#[test_case(Hint::Warm, 8_100, false ; "a copy past keep-alive")]
#[test_case(Hint::Gone, 0, false ; "a copy that is gone")]
fn uses_a_copy_that_another_scheduler_reported(hint: Hint, age_ms: u64, used: bool) {
    let (preferred, other) = preferred_and_other();
    let mut s = Harness::new(4);
    hinted(&mut s, other, hint, age_ms);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.workers_tried(rpc), [if used { other } else { preferred }]);
}

#[test]
fn a_hint_expires_after_keep_alive() {
    let (preferred, other) = preferred_and_other();
    let mut s = Harness::new(4);
    hinted(&mut s, other, Hint::Warm, 0);
    s.advance(8_100);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.workers_tried(rpc), [preferred]);
}

#[test]
fn own_observations_override_hints() {
    let (preferred, other) = preferred_and_other();
    let mut s = Harness::new(4);
    assert_eq!(s.answered_rpc(9), preferred);
    hinted(&mut s, other, Hint::Warm, 0);
    assert_eq!(s.answered_rpc(9), preferred, "a copy that this scheduler observed comes first");
    let mut s = Harness::new(4);
    hinted(&mut s, other, Hint::Warm, 0);
    let rpc = s.rpc(IDEMPOTENT, 9);
    s.now_ms += 50;
    s.end_attempt(rpc, 0, Outcome::Miss, CopyReport::LoadFailed);
    hinted(&mut s, other, Hint::Warm, 60);
    let next = s.rpc(IDEMPOTENT, 9);
    assert_ne!(s.workers_tried(next), [other], "the hint is older than this scheduler's own observation");
}

#[test]
fn a_hint_overrides_neither_draining_nor_slow_start() {
    let (_, other) = preferred_and_other();
    let mut s = Harness::new(4);
    hinted(&mut s, other, Hint::Warm, 0);
    s.list_worker(other, Lifecycle::Draining, 0);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_ne!(s.workers_tried(rpc), [other], "it drains");
    // It restarts, empty and cold: earlier hints are void, and later ones do not raise its budget.
    let start = s.now_ms;
    s.list_worker(other, Lifecycle::Ready, start);
    hinted(&mut s, other, Hint::Warm, 10);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_ne!(s.workers_tried(rpc), [other], "the hint is older than its process");
    s.now_ms += 100;
    let sent: Vec<u64> = (0..8)
        .map(|_| {
            hinted(&mut s, other, Hint::Warm, 0);
            s.rpc(IDEMPOTENT, 9)
        })
        .collect();
    let there = sent.iter().filter(|&&r| s.workers_tried(r) == [other]).count();
    assert!(there <= 1, "{there} of eight at once to a cold worker");
}

#[test]
fn a_worker_hinted_full_gets_no_load_for_a_while() {
    let (preferred, _) = preferred_and_other();
    let mut s = Harness::new(4);
    hinted(&mut s, preferred, Hint::Full, 0);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_ne!(s.workers_tried(rpc), [preferred]);
    let mut s = Harness::new(4);
    hinted(&mut s, preferred, Hint::Full, 1_100);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.workers_tried(rpc), [preferred], "an older refusal no longer counts");
}

#[test]
fn each_observation_is_reported_to_the_host_once() {
    let mut s = Harness::new(4);
    let first = s.rpc(IDEMPOTENT, 9);
    let at = s.workers_tried(first)[0];
    s.rpc(IDEMPOTENT, 9);
    assert_eq!(
        s.actions("observed"),
        [format!("observed {at} 9 Loading")],
        "the second RPC waits for the same load"
    );
    s.rpcs_held = 3;
    s.end_attempt(first, 0, Outcome::Ok, CopyReport::BeganLoad);
    assert_eq!(s.actions("observed").last(), Some(&format!("observed {at} 9 Warm")));
}

#[test]
fn an_rpc_with_two_failed_loads_waits_for_a_copy() {
    let mut s = Harness::new(6);
    let rpc = s.rpc(IDEMPOTENT, 9);
    s.end_attempt(rpc, 0, Outcome::Miss, CopyReport::LoadFailed);
    s.end_attempt(rpc, 1, Outcome::Miss, CopyReport::LoadFailed);
    assert_eq!(s.workers_tried(rpc).len(), 2, "the model store rejects fetches from any worker");
    assert!(s.actions("deny").is_empty());
    let other = s.rpc(IDEMPOTENT, 9);
    let at = s.workers_tried(other)[0];
    s.now_ms += 100;
    s.end_attempt(other, 0, Outcome::Ok, CopyReport::BeganLoad);
    assert_eq!(s.workers_tried(rpc)[2..], [at]);
}

#[test]
fn no_rpc_is_held_back_for_a_hinted_load() {
    let mut settings = settings();
    settings["familyInfo"]["whenAbsent"] = json!("miss");
    let (_, other) = preferred_and_other();
    let mut s = Harness::with_settings(settings, 4);
    hinted(&mut s, other, Hint::Loading, 0);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.workers_tried(rpc), [other], "the scheduler that ordered the load may be gone");
    s.end_attempt(rpc, 0, Outcome::Miss, CopyReport::Unreported);
    assert_eq!(
        s.actions("load"),
        [format!("load {other} 9")],
        "this scheduler's own order joins that load, and its end is reported"
    );
}

/// An expired hint is no belief in a warm copy: a 'full' reply then holds back no other function, and is reported.
#[test_case(0, false ; "recent hint, the queue is full")]
#[test_case(8_100, true ; "expired hint, a load was rejected")]
fn a_full_reply_means_a_full_queue_only_where_a_copy_was_believed_warm(age_ms: u64, reported: bool) {
    let (preferred, _) = preferred_and_other();
    let mut s = Harness::new(4);
    hinted(&mut s, preferred, Hint::Warm, age_ms);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.workers_tried(rpc), [preferred]);
    s.end_attempt(rpc, 0, Outcome::Full, CopyReport::Unreported);
    assert_eq!(s.actions(&format!("observed {preferred} 9 Full")).len(), usize::from(reported));
}

#[test]
fn an_exaggerated_hint_fades() {
    let (_, other) = preferred_and_other();
    let mut s = Harness::new(4);
    s.scheduler.hint_received(s.now(), WorkerId(other), FunctionId(9), Hint::Warm, u64::MAX, Time(0));
    let rpc = s.rpc(IDEMPOTENT, 9);
    let orders = s.actions("load");
    assert_eq!(orders.len(), 1, "a crowded copy gets a second one");
    let at: u64 = orders[0].split(' ').nth(1).and_then(|w| w.parse().ok()).expect("a worker");
    s.scheduler.load_ended(s.now(), WorkerId(at), FunctionId(9), Outcome::Full, 0);
    s.now_ms += 50;
    s.end_attempt(rpc, 0, Outcome::Ok, CopyReport::Warm);
    for _ in 0..20 {
        s.advance(2_000);
        s.scheduler.hint_received(s.now(), WorkerId(other), FunctionId(9), Hint::Warm, 0, Time(0));
    }
    let next = s.rpc(IDEMPOTENT, 9);
    assert_eq!((s.workers_tried(next), s.actions("load").len()), (vec![other], 1));
}
