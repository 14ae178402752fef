//! Short stories of what the module does when things fail.

mod fake;

use std::collections::BTreeSet;

use curlewpoint::types::*;
use fake::{settings, Story, IDEMPOTENT, SIDE_EFFECTING, TOKENED};
use serde_json::json;
use test_case::test_case;

#[test]
fn sticks_to_the_warm_worker_and_coalesces_a_new_load() {
    let mut s = Story::new(4);
    let first = s.rpc(IDEMPOTENT, 9);
    let second = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(first), s.calls(second), "the second queues behind the first one's load");
    let home = s.calls(first)[0];
    s.end(first, 0, Outcome::Ok, CopyReport::BeganLoad);
    s.end(second, 0, Outcome::Ok, CopyReport::WaitedForLoad);
    assert!((0..5).all(|_| s.served(9) == home));
}

#[test]
fn a_crowded_warm_worker_gets_help_from_an_ordered_copy() {
    let mut s = Story::new(4);
    let home = s.served(9);
    let sent: Vec<u64> = (0..6).map(|_| s.rpc(IDEMPOTENT, 9)).collect();
    assert!(sent.iter().all(|&r| s.calls(r) == [home]), "a warm copy with room is not passed over");
    let orders = s.deeds("load");
    assert_eq!(orders.len(), 1);
    let at: u64 = orders[0].split(' ').nth(1).and_then(|w| w.parse().ok()).expect("a worker");
    s.srv.load_ended(s.now(), WorkerId(at), FunctionId(9), Outcome::Ok, 1);
    let next = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(next), [at]);
}

#[test]
fn a_miss_is_followed_by_one_order_and_rpcs_wait_for_the_copy() {
    let mut told = settings();
    told["familyInfo"]["whenAbsent"] = json!("miss");
    let mut s = Story::with(told, 3);
    let first = s.rpc(IDEMPOTENT, 9);
    let at = s.calls(first)[0];
    s.end(first, 0, Outcome::Miss, CopyReport::Unreported);
    let second = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.deeds("load"), [format!("load {at} 9")]);
    assert!(s.calls(second).is_empty() && s.calls(first).len() == 1);
    s.srv.load_ended(s.now(), WorkerId(at), FunctionId(9), Outcome::Ok, 1);
    assert_eq!((s.calls(first), s.calls(second)), (vec![at, at], vec![at]));
}

#[test]
fn a_failed_order_releases_the_rpcs_that_waited() {
    let mut told = settings();
    told["familyInfo"]["whenAbsent"] = json!("miss");
    let mut s = Story::with(told, 3);
    let rpc = s.rpc(IDEMPOTENT, 9);
    let at = s.calls(rpc)[0];
    s.end(rpc, 0, Outcome::Miss, CopyReport::Unreported);
    s.srv.load_ended(s.now(), WorkerId(at), FunctionId(9), Outcome::Full, 0);
    assert_eq!(s.calls(rpc).len(), 2);
}

#[test_case(IDEMPOTENT, Outcome::Error, 2, "" ; "idempotent goes on")]
#[test_case(SIDE_EFFECTING, Outcome::Error, 1, "abort" ; "side effecting may have run")]
#[test_case(SIDE_EFFECTING, Outcome::Reset, 1, "abort" ; "side effecting was cut off")]
#[test_case(SIDE_EFFECTING, Outcome::Full, 2, "" ; "side effecting never ran")]
#[test_case(SIDE_EFFECTING, Outcome::ConnectFailed, 2, "" ; "side effecting never arrived")]
fn repeats_only_as_the_method_allows(method: usize, outcome: Outcome, calls: usize, answer: &str) {
    let mut s = Story::new(4);
    let rpc = s.rpc(method, 9);
    s.end(rpc, 0, outcome, CopyReport::Unreported);
    assert_eq!(s.calls(rpc).len(), calls);
    assert_eq!(s.deeds("abort").len() + s.deeds("deny").len(), usize::from(!answer.is_empty()));
    assert_eq!(s.deeds("abort").len(), usize::from(answer == "abort"));
}

#[test]
fn a_method_added_goes_by_its_own_terms_and_those_before_it_by_theirs() {
    let mut s = Story::new(4);
    let before = s.rpc(IDEMPOTENT, 9);
    s.srv.method_added(settings()["requestClasses"][SIDE_EFFECTING].clone());
    let added = s.rpc(TOKENED + 1, 9);
    s.end(before, 0, Outcome::Error, CopyReport::Unreported);
    s.end(added, 0, Outcome::Error, CopyReport::Unreported);
    assert_eq!((s.calls(before).len(), s.calls(added).len(), s.deeds("abort").len()), (2, 1, 1));
}

#[test_case(0, true ; "within its memory")]
#[test_case(900, false ; "after its memory")]
fn tokened_repeats_stay_in_their_group_and_memory(later_ms: u64, again: bool) {
    let mut s = Story::new(4);
    let rpc = s.rpc(TOKENED, 9);
    s.ms += later_ms;
    s.end(rpc, 0, Outcome::Error, CopyReport::Unreported);
    let calls = s.calls(rpc);
    assert_eq!(calls.len(), if again { 2 } else { 1 });
    assert!(calls.iter().all(|w| w % 2 == calls[0] % 2), "the group is the zone");
    assert_eq!(s.deeds("deny").len(), 0, "it may have run");
    assert_eq!(s.deeds("abort").len(), usize::from(!again));
}

#[test]
fn every_rpc_gets_one_answer_when_its_time_is_up() {
    let mut s = Story::new(1);
    let rpc = s.rpc(SIDE_EFFECTING, 9);
    s.ms += 2000;
    s.srv.timer_fired(s.now(), TimerId(rpc));
    s.end(rpc, 0, Outcome::TimeOut, CopyReport::Unreported);
    s.pass(1000);
    assert_eq!((s.deeds("abort").len(), s.deeds("deny").len(), s.calls(rpc).len()), (1, 0, 1));
}

#[test]
fn nothing_is_sent_for_an_rpc_that_its_client_left() {
    let mut s = Story::new(3);
    let rpc = s.rpc(IDEMPOTENT, 9);
    s.srv.rpc_abandoned(RpcId(rpc));
    s.end(rpc, 0, Outcome::Cancelled, CopyReport::Unreported);
    s.end(rpc, 0, Outcome::Ok, CopyReport::Warm);
    s.pass(3000);
    assert_eq!((s.calls(rpc).len(), s.deeds("abort").len() + s.deeds("deny").len()), (1, 0));
}

#[test_case(Some(Lifecycle::Draining) ; "drains")]
#[test_case(Some(Lifecycle::Gone) ; "is gone")]
#[test_case(None ; "is missing in a complete list")]
fn a_lost_worker_gets_nothing(told: Option<Lifecycle>) {
    let mut s = Story::new(3);
    let home = s.served(9);
    match told {
        Some(standing) => s.list(home, standing, 0),
        None => {
            let named = (1..=3).filter(|&w| w != home).map(WorkerId).collect::<BTreeSet<_>>();
            s.srv.list_received(s.now(), Some(&named));
        }
    }
    for function in 0..20 {
        let rpc = s.rpc(IDEMPOTENT, function);
        assert!(!s.calls(rpc).contains(&home));
    }
}

#[test_case(Outcome::Reset, 6, 1, false ; "connections broke")]
#[test_case(Outcome::Reset, 6, 0, true ; "one that carried many broke")]
#[test_case(Outcome::Reset, 1, 0, true ; "one broken connection is no death")]
#[test_case(Outcome::ConnectFailed, 1, 0, false ; "no connection")]
fn a_death_drops_what_was_believed_warm(outcome: Outcome, times: usize, apart_ms: u64, stays: bool) {
    let mut s = Story::new(3);
    let home = s.served(9);
    let sent: Vec<u64> = (0..times).map(|_| s.rpc(IDEMPOTENT, 9)).collect();
    for &rpc in &sent {
        s.pass(apart_ms);
        s.end(rpc, 0, outcome, CopyReport::Unreported);
    }
    assert_eq!(
        s.calls(sent[0])[1] == home,
        outcome == Outcome::Reset,
        "a copy whose connection broke stands"
    );
    if stays {
        sent.iter().for_each(|&rpc| s.end(rpc, 1, Outcome::Ok, CopyReport::Warm));
    }
    let next = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(next) == [home], stays);
}

#[test]
fn a_new_load_shuns_memory_that_is_taken() {
    let mut told = settings();
    told["loadInfo"]["names"] = json!(["x0"]);
    let home = Story::with(told.clone(), 2).served(9);
    let mut s = Story::with(told, 2);
    s.srv.load_report_received(s.now(), WorkerId(home), &[1.0]);
    assert_ne!(s.served(9), home);
}

#[test]
fn a_small_worker_holds_less() {
    let mut told = settings();
    told["weightKind"] = json!("nominal");
    let mut s = Story::with(told, 1);
    s.srv.worker_listed(s.now(), WorkerId(2), Lifecycle::Ready, Time(0), ZoneId(0), CellId(0), 3.0);
    let sent: Vec<u64> = (0..12).map(|f| s.rpc(IDEMPOTENT, f)).collect();
    let small = sent.iter().filter(|&&r| s.calls(r) == [1]).count();
    assert!(small >= 1 && 2 * small < sent.len(), "{small} of {}", sent.len());
}

#[test_case(0 ; "first seen")]
#[test_case(1 ; "restarted under its id")]
fn a_cold_worker_gets_a_budget(listed_before: u64) {
    let mut s = Story::new(listed_before);
    let since = s.ms - 100;
    s.list(1, Lifecycle::Ready, since);
    // No answers known, a third of the schedulers told: one attempt in three windows of 2 s until warm.
    for f in 0..18 {
        s.rpc(IDEMPOTENT, f);
        s.pass(500);
    }
    let sent = s.deeds("call").len();
    assert!((1..=2).contains(&sent), "{sent} in 9 s");
}

#[test_case(1.0, 1 ; "spent")]
#[test_case(5.0, 2 ; "left")]
fn load_orders_keep_to_the_ration(floor: f64, orders: usize) {
    let mut told = settings();
    told["familyInfo"]["loadFloor"] = json!(floor);
    let mut s = Story::with(told, 6);
    for function in [0, 1] {
        s.served(function);
        for _ in 0..5 {
            s.rpc(IDEMPOTENT, function);
        }
    }
    assert_eq!(s.deeds("load").len(), orders);
}

#[test_case(Outcome::Error, CopyReport::Unreported, true ; "fails fast")]
#[test_case(Outcome::Error, CopyReport::LoadFailed, false ; "a load failed")]
fn a_worker_that_fails_is_passed_over(outcome: Outcome, copy: CopyReport, suspect: bool) {
    let mut s = Story::new(4);
    let home = s.served(9);
    for _ in 0..6 {
        let rpc = s.rpc(SIDE_EFFECTING, 9);
        assert_eq!(s.calls(rpc), [home]);
        s.end(rpc, 0, outcome, copy);
        s.srv.load_ended(s.now(), WorkerId(home), FunctionId(9), Outcome::Ok, 1);
    }
    assert_eq!(s.deeds("log").iter().any(|l| l.contains(&format!("worker {home} suspect"))), suspect);
}

#[test]
fn a_silent_worker_is_found_by_overdue_attempts() {
    let mut s = Story::new(3);
    let home = s.served(9);
    (0..10).for_each(|_| assert_eq!(s.served(9), home));
    let stuck: Vec<u64> = (0..4).map(|_| s.rpc(SIDE_EFFECTING, 9)).collect();
    s.pass(900);
    assert!(s.deeds("log").iter().any(|l| l.contains(&format!("worker {home} suspect"))));
    let next = s.rpc(SIDE_EFFECTING, 9);
    assert_ne!(s.calls(next), [home]);
    assert!(stuck.iter().all(|&r| s.calls(r).len() == 1), "nothing more for what may still run");
}

#[test_case(IDEMPOTENT, 2 ; "idempotent")]
#[test_case(SIDE_EFFECTING, 1 ; "side effecting")]
fn an_overdue_attempt_gets_a_second_copy_where_one_is_warm(method: usize, calls: usize) {
    let mut s = Story::new(2);
    let home = s.served(9);
    (0..6).for_each(|_| assert_eq!(s.served(9), home));
    let rpc = s.rpc(method, 9);
    s.srv.load_ended(s.now(), WorkerId(3 - home), FunctionId(9), Outcome::Ok, 1);
    s.pass(600);
    assert_eq!((s.calls(rpc)[0], s.calls(rpc).len()), (home, calls));
}

#[test]
fn trouble_of_the_whole_fleet_ejects_a_third_at_most() {
    let mut s = Story::new(4);
    for function in 0..40 {
        let rpc = s.rpc(SIDE_EFFECTING, function);
        s.end(rpc, 0, Outcome::Error, CopyReport::Unreported);
    }
    assert_eq!(s.deeds("log").iter().filter(|l| l.contains(" suspect,")).count(), 1);
    let rpc = s.rpc(SIDE_EFFECTING, 99);
    assert_eq!(s.calls(rpc).len(), 1, "the others go on");
}

#[test]
fn a_full_fleet_is_not_knocked_at_again_and_again() {
    let mut s = Story::new(2);
    let rpc = s.rpc(IDEMPOTENT, 9);
    s.end(rpc, 0, Outcome::Full, CopyReport::Unreported);
    s.end(rpc, 1, Outcome::Full, CopyReport::Unreported);
    assert_eq!(s.calls(rpc).len(), 2);
    s.pass(100);
    assert_eq!(s.calls(rpc).len(), 2, "a full reply holds for a while");
    s.pass(1000);
    let answers = s.deeds("deny").len();
    assert!(answers == 1 || s.calls(rpc).len() > 2, "then it is tried again or denied, not forgotten");
}

/// Guards against loads that turn each other away: 276 schedulers that each held a worker back for all functions, and
/// knocked at every other one, left the functions' agreed homes and did not come back (`zone+mass`).
#[test]
fn a_load_turned_away_moves_no_other_function_and_is_tried_at_one_worker_more() {
    let mut s = Story::new(6);
    let home = |s: &mut Story, function| {
        let rpc = s.rpc(IDEMPOTENT, function);
        let at = s.calls(rpc)[0];
        s.srv.rpc_abandoned(RpcId(rpc));
        s.end(rpc, 0, Outcome::Cancelled, CopyReport::Unreported);
        at
    };
    let homes: Vec<u64> = (0..40).map(|f| home(&mut s, f)).collect();
    let rpc = s.rpc(IDEMPOTENT, 0);
    s.end(rpc, 0, Outcome::Full, CopyReport::Unreported);
    s.end(rpc, 1, Outcome::Full, CopyReport::Unreported);
    assert_eq!(s.calls(rpc).len(), 2, "no third load is begun");
    assert!((1..40).all(|f| home(&mut s, f) == homes[f as usize]), "other functions' copies may stand there");
    assert_ne!(home(&mut s, 0), homes[0]);
    s.pass(600);
    assert_eq!(s.deeds("deny"), [format!("deny {rpc}")], "it never ran, and could not be in time");
}

#[test]
fn a_tenant_over_its_share_is_denied_first() {
    let mut told = settings();
    told["tenants"] = json!([{"share": 0.9}, {"share": 0.1}]);
    let mut s = Story::with(told, 4);
    for function in 0..4 {
        s.served(function);
    }
    let mut take = |id: u64, tenant: usize| {
        let (now, f) = (s.now(), FunctionId(id % 4));
        s.srv.rpc_received(now, RpcId(1000 + id), MethodId(0), f, TenantId(tenant), Time(20_000), 4.0);
        s.deeds("deny").len()
    };
    assert_eq!(take(0, 0), 0);
    let small = (1..8).map(|i| take(i, 1)).max();
    assert!(small > Some(0), "a few in flight of a tenth's share are over it");
    let before = take(8, 0);
    assert_eq!(take(9, 0), before, "the other tenant has room");
}

#[test]
fn an_unused_slot_at_a_cold_worker_lapses() {
    let sent = |quiet_ms: u64| {
        let mut s = Story::new(0);
        s.list(1, Lifecycle::Ready, s.ms);
        s.pass(quiet_ms);
        for f in 0..20 {
            s.rpc(IDEMPOTENT, f);
            s.pass(20);
        }
        s.deeds("call").len()
    };
    // One slot in 6 s, open for 1 s: of 18 moments a sixth may send, and none more than once.
    let counts: Vec<usize> = (0..18).map(|i| sent(500 * i)).collect();
    assert!(counts.iter().all(|&n| n <= 1) && (1..=7).contains(&counts.iter().sum::<usize>()), "{counts:?}");
}

#[test_case(0 ; "no workers listed")]
#[test_case(1 ; "all draining")]
fn with_nowhere_to_go_an_rpc_is_denied_in_time(workers: u64) {
    let mut s = Story::new(workers);
    (1..=workers).for_each(|w| s.list(w, Lifecycle::Draining, 0));
    let rpc = s.rpc(SIDE_EFFECTING, 9);
    s.pass(2000);
    assert_eq!((s.deeds("deny"), s.calls(rpc)), (vec![format!("deny {rpc}")], vec![]));
}

#[test]
fn odd_but_legal_input_is_survived() {
    let mut s = Story::with(json!({}), 1);
    let rpc = s.rpc(7, 9);
    assert_eq!(s.calls(rpc).len(), 1, "no settings at all");
    s.end(99, 0, Outcome::Ok, CopyReport::Warm);
    s.end(rpc, 5, Outcome::Ok, CopyReport::Warm);
    s.srv.load_report_received(s.now(), WorkerId(1), &[]);
    s.srv.load_report_received(s.now(), WorkerId(77), &[0.5, 1.0]);
    s.srv.load_ended(s.now(), WorkerId(77), FunctionId(1), Outcome::Ok, 1);
    s.srv.timer_fired(s.now(), TimerId(12345));
    s.end(rpc, 0, Outcome::Ok, CopyReport::Unreported);
    s.end(rpc, 0, Outcome::Ok, CopyReport::Unreported);
    s.srv.rpc_received(s.now(), RpcId(500), MethodId(0), FunctionId(1), TenantId(3), Time(0), 0.0);
    s.srv.timer_fired(s.now(), TimerId(500));
    s.end(500, 0, Outcome::TimeOut, CopyReport::Unreported);
    s.pass(100);
    assert!(s.deeds("deny").len() + s.deeds("abort").len() <= 1);
}

#[test]
fn a_copy_that_others_crowd_gets_a_second_elsewhere() {
    let mut s = Story::new(4);
    let home = s.served(9);
    s.held = 30;
    s.pass(1500);
    s.served(9);
    let next = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(next), [home], "a warm copy still beats a load");
    assert!(s.deeds("load").iter().any(|l| *l != format!("load {home} 9")));
    s.pass(20_000);
    let later = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(later), [home], "what was told long ago decides nothing");
}

#[test_case(50, true ; "as fast as ever")]
#[test_case(600, false ; "slower than the others")]
fn a_worker_whose_answers_grow_late_counts_as_crowded(took: u64, stays: bool) {
    let mut s = Story::new(40);
    let homes: BTreeSet<u64> = (0..20).map(|f| s.served(f)).collect();
    assert!(homes.len() > 5);
    for _ in 0..3 {
        s.pass(1500);
        let rpc = s.rpc(IDEMPOTENT, 0);
        s.took = took;
        s.end(rpc, 0, Outcome::Ok, CopyReport::Warm);
        s.took = 50;
        (1..20).for_each(|f| assert!(s.served(f) > 0));
    }
    s.rpc(IDEMPOTENT, 0);
    assert_eq!(s.deeds("load").is_empty(), stays);
}

#[test_case(20, 1 ; "it goes on")]
#[test_case(1500, 0 ; "it stood still")]
fn my_own_stall_is_no_evidence_against_a_worker(stood_ms: u64, suspects: usize) {
    let mut s = Story::new(3);
    s.served(9);
    s.pass(1000);
    for _ in 0..4 {
        s.rpc(SIDE_EFFECTING, 9);
    }
    s.pass(if stood_ms > 20 { 20 } else { 1500 });
    s.ms += stood_ms;
    s.srv.timer_fired(s.now(), TimerId(u64::MAX >> 1));
    assert_eq!(s.deeds("log").iter().filter(|l| l.contains(" suspect,")).count(), suspects);
}

/// Guards a daemon that runs for months against the cost of every worker that it ever knew.
#[test_case(10_000, 1 ; "its lowered ceiling is kept for a while")]
#[test_case(310_000, 2 ; "then all of it is forgotten")]
fn a_worker_long_gone_is_forgotten(gone_ms: u64, called_out: usize) {
    let mut s = Story::new(1);
    s.served(9);
    let full = s.rpc(IDEMPOTENT, 9);
    s.end(full, 0, Outcome::Full, CopyReport::Unreported);
    s.list(1, Lifecycle::Gone, 0);
    s.pass(gone_ms);
    s.list(1, Lifecycle::Ready, 0);
    let two = [s.rpc(IDEMPOTENT, 9), s.rpc(IDEMPOTENT, 9)];
    assert_eq!(two.iter().map(|r| s.calls(*r).len()).sum::<usize>(), called_out);
}

/// The worker that an RPC for function 9 goes to where nobody told anything, of four, and another one.
fn home_and_other() -> (u64, u64) {
    let mut s = Story::new(4);
    let rpc = s.rpc(IDEMPOTENT, 9);
    let home = s.calls(rpc)[0];
    (home, home % 4 + 1)
}

fn hinted(s: &mut Story, worker: u64, hint: Hint, age_ms: u64) {
    s.srv.hint_received(s.now(), WorkerId(worker), FunctionId(9), hint, 0, Time(age_ms * 10));
}

#[test_case(Hint::Warm, 0, true ; "a warm copy")]
#[test_case(Hint::Loading, 100, true ; "a load under way")]
#[test_case(Hint::Warm, 8_100, false ; "a copy past keep-alive")]
#[test_case(Hint::Gone, 0, false ; "a copy that is gone")]
fn goes_where_others_have_a_copy(hint: Hint, age_ms: u64, goes: bool) {
    let (home, other) = home_and_other();
    let mut s = Story::new(4);
    hinted(&mut s, other, hint, age_ms);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(rpc), [if goes { other } else { home }]);
}

#[test]
fn what_others_told_lapses_by_itself() {
    let (home, other) = home_and_other();
    let mut s = Story::new(4);
    hinted(&mut s, other, Hint::Warm, 0);
    s.pass(8_100);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(rpc), [home]);
}

#[test]
fn own_evidence_stands_above_what_others_tell() {
    let (home, other) = home_and_other();
    let mut s = Story::new(4);
    assert_eq!(s.served(9), home);
    hinted(&mut s, other, Hint::Warm, 0);
    assert_eq!(s.served(9), home, "my own warm copy first");
    let mut s = Story::new(4);
    hinted(&mut s, other, Hint::Warm, 0);
    let rpc = s.rpc(IDEMPOTENT, 9);
    s.ms += 50;
    s.end(rpc, 0, Outcome::Miss, CopyReport::LoadFailed);
    hinted(&mut s, other, Hint::Warm, 60);
    let next = s.rpc(IDEMPOTENT, 9);
    assert_ne!(s.calls(next), [other], "I was there after whoever told that");
}

#[test]
fn a_hint_moves_no_rpc_to_a_worker_that_the_rules_forbid() {
    let (_, other) = home_and_other();
    let mut s = Story::new(4);
    hinted(&mut s, other, Hint::Warm, 0);
    s.list(other, Lifecycle::Draining, 0);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_ne!(s.calls(rpc), [other], "it drains");
    // It starts anew, empty and cold: what was told before is void, and what is told now spends no more of its budget.
    let start = s.ms;
    s.list(other, Lifecycle::Ready, start);
    hinted(&mut s, other, Hint::Warm, 10);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_ne!(s.calls(rpc), [other], "its process has ended since");
    s.ms += 100;
    let sent: Vec<u64> = (0..8)
        .map(|_| {
            hinted(&mut s, other, Hint::Warm, 0);
            s.rpc(IDEMPOTENT, 9)
        })
        .collect();
    let there = sent.iter().filter(|&&r| s.calls(r) == [other]).count();
    assert!(there <= 1, "{there} of eight at once to a worker that is cold");
}

#[test]
fn a_load_that_others_were_refused_is_begun_elsewhere() {
    let (home, _) = home_and_other();
    let mut s = Story::new(4);
    hinted(&mut s, home, Hint::Full, 0);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_ne!(s.calls(rpc), [home]);
    let mut s = Story::new(4);
    hinted(&mut s, home, Hint::Full, 1_100);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(rpc), [home], "a moment later it may have room again");
}

#[test]
fn what_was_seen_is_told_once_it_is_known() {
    let mut s = Story::new(4);
    let first = s.rpc(IDEMPOTENT, 9);
    let at = s.calls(first)[0];
    s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.deeds("seen"), [format!("seen {at} 9 Loading")], "the second one queues behind it");
    s.held = 3;
    s.end(first, 0, Outcome::Ok, CopyReport::BeganLoad);
    assert_eq!(s.deeds("seen").last(), Some(&format!("seen {at} 9 Warm")));
}

#[test]
fn an_rpc_that_two_loads_failed_waits_for_a_copy_and_does_not_try_all_workers() {
    let mut s = Story::new(6);
    let rpc = s.rpc(IDEMPOTENT, 9);
    s.end(rpc, 0, Outcome::Miss, CopyReport::LoadFailed);
    s.end(rpc, 1, Outcome::Miss, CopyReport::LoadFailed);
    assert_eq!(s.calls(rpc).len(), 2, "the store turns fetches away, whichever worker asks");
    assert!(s.deeds("deny").is_empty());
    let other = s.rpc(IDEMPOTENT, 9);
    let at = s.calls(other)[0];
    s.ms += 100;
    s.end(other, 0, Outcome::Ok, CopyReport::BeganLoad);
    assert_eq!(s.calls(rpc)[2..], [at]);
}

#[test]
fn no_rpc_is_held_for_a_load_that_others_told_of() {
    let mut told = settings();
    told["familyInfo"]["whenAbsent"] = json!("miss");
    let (_, other) = home_and_other();
    let mut s = Story::with(told, 4);
    hinted(&mut s, other, Hint::Loading, 0);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(rpc), [other], "whoever ordered it may be gone");
    s.end(rpc, 0, Outcome::Miss, CopyReport::Unreported);
    assert_eq!(
        s.deeds("load"),
        [format!("load {other} 9")],
        "my own order joins that load, and I am told its end"
    );
}

/// A copy that others told of long ago is none: its 'full' holds back no other function, and is told.
#[test_case(0, false ; "told just now, the queue is full")]
#[test_case(8_100, true ; "lapsed, a load was turned away")]
fn a_full_goes_by_what_was_believed(age_ms: u64, tells: bool) {
    let (home, _) = home_and_other();
    let mut s = Story::new(4);
    hinted(&mut s, home, Hint::Warm, age_ms);
    let rpc = s.rpc(IDEMPOTENT, 9);
    assert_eq!(s.calls(rpc), [home]);
    s.end(rpc, 0, Outcome::Full, CopyReport::Unreported);
    assert_eq!(s.deeds(&format!("seen {home} 9 Full")).len(), usize::from(tells));
}

#[test]
fn what_others_invent_of_a_queue_fades() {
    let (_, other) = home_and_other();
    let mut s = Story::new(4);
    s.srv.hint_received(s.now(), WorkerId(other), FunctionId(9), Hint::Warm, u64::MAX, Time(0));
    let rpc = s.rpc(IDEMPOTENT, 9);
    let orders = s.deeds("load");
    assert_eq!(orders.len(), 1, "a crowded copy gets help");
    let at: u64 = orders[0].split(' ').nth(1).and_then(|w| w.parse().ok()).expect("a worker");
    s.srv.load_ended(s.now(), WorkerId(at), FunctionId(9), Outcome::Full, 0);
    s.ms += 50;
    s.end(rpc, 0, Outcome::Ok, CopyReport::Warm);
    for _ in 0..20 {
        s.pass(2_000);
        s.srv.hint_received(s.now(), WorkerId(other), FunctionId(9), Hint::Warm, 0, Time(0));
    }
    let next = s.rpc(IDEMPOTENT, 9);
    assert_eq!((s.calls(next), s.deeds("load").len()), (vec![other], 1));
}
