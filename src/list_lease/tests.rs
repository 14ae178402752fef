use super::*;

const TERMS: ListLeaseTerms = ListLeaseTerms {
    notified_within: Time(15_000),
    notified_within_outage: Time(40_000),
    drain_grace: Time(5_000),
    workers_answer: true,
};
const START: Time = Time(100_000);
const WORKER: WorkerId = WorkerId(1);

/// A lease whose newest query, of `START`, was answered.
fn confirmed() -> ListLease {
    let mut lease = ListLease::new(START, START, TERMS);
    lease.query_sent(START);
    lease.confirm(START);
    lease
}

/// The same, followed by `count` queries 0.2 s apart without an answer.
fn unanswered(count: u64) -> ListLease {
    let mut lease = confirmed();
    (1..=count).for_each(|n| lease.query_sent(START + Time(2_000 * n)));
    lease
}

fn query(lease: &mut ListLease, at: Time, outcome: Outcome) {
    lease.worker_queried(at, WORKER);
    lease.worker_query_ended(at + Time(10), WORKER, at, outcome, true);
}

#[test]
fn an_answer_may_wait_unread_from_the_last_read_on() {
    assert_eq!(confirmed().list_until(), START + Time(5_000));
}

#[test]
fn a_few_lost_answers_leave_the_time_for_a_change_that_was_not_received() {
    assert_eq!(unanswered(4).list_until(), START + Time(8_000 + 5_000));
    let mut slow = confirmed();
    [7_000, 14_000, 21_000].into_iter().for_each(|at| slow.query_sent(START + Time(at)));
    assert_eq!(slow.list_until(), START + Time(15_000 + 5_000));
}

#[test]
fn an_outage_extends_the_lease_to_its_own_limit_where_workers_cannot_be_asked() {
    let unanswered = |count| {
        let terms = ListLeaseTerms { workers_answer: false, ..TERMS };
        ListLease { terms, ..unanswered(count) }
    };
    assert_eq!(unanswered(15).list_until(), START + Time(30_000 + 5_000));
    assert_eq!(unanswered(30).list_until(), START + Time(40_000 + 5_000));
    assert!(unanswered(2 * MAX_UNANSWERED as u64).is_outage(), "an outage of minutes");
}

/// Guards against a silence of discovery that is taken for an outage, with its longer time: while it lasts the two look
/// the same. Workers that can be asked are asked before the shorter time is over, so that sound ones stay in use.
#[test]
fn in_a_silence_workers_are_asked_before_a_change_counts_as_notified() {
    let mut lease = unanswered(30);
    assert_eq!(lease.list_until(), START + Time(15_000 + 5_000));
    assert_eq!(lease.send_until(WORKER), START + Time(15_000 + 5_000));
    lease = unanswered(MIN_OUTAGE_QUERIES as u64);
    let at = START + Time(2_000 * MIN_OUTAGE_QUERIES as u64);
    assert!(lease.needs_query(at, WORKER));
    query(&mut lease, at, Outcome::Ok);
    (MIN_OUTAGE_QUERIES as u64..15).for_each(|n| lease.query_sent(START + Time(2_000 * n)));
    assert_eq!(lease.send_until(WORKER), at + Time(15_000 + 5_000));
}

/// Guards against workers that do not answer and keep the sound ones from being asked, and so from being used.
#[test]
fn queries_that_are_not_answered_do_not_block_others() {
    let mut lease = unanswered(6);
    let at = START + Time(12_000);
    (10..10 + MAX_OPEN_QUERIES as u64).for_each(|worker| lease.worker_queried(at, WorkerId(worker)));
    assert!(!lease.needs_query(at, WORKER));
    assert!(lease.needs_query(at + QUERY_ANSWER_TIME, WORKER));
    assert!(!lease.needs_query(at + QUERY_ANSWER_TIME, WorkerId(10)), "it has one open");
}

#[test]
fn after_a_start_in_an_outage_workers_are_asked_at_once() {
    let mut lease = ListLease::new(START, START, TERMS);
    (0..6).for_each(|n| lease.query_sent(START + Time(400 * n)));
    assert!(lease.is_outage() && lease.needs_query(START + Time(2_000), WORKER));
    assert_eq!(lease.list_until(), START + Time(2_000 + 5_000));
    (6..60).for_each(|n| lease.query_sent(START + Time(400 * n)));
    assert_eq!(lease.list_until(), START + Time(15_000 + 5_000), "it may have begun long before");
    let mut answered = confirmed();
    (1..7).for_each(|n| answered.query_sent(START + Time(400 * n)));
    assert!(
        answered.is_outage() && !answered.needs_query(START + Time(2_400), WORKER),
        "it began after an answer"
    );
}

#[test]
fn a_worker_that_says_that_it_drains_is_not_used_while_the_list_is_still_valid() {
    let mut lease = unanswered(6);
    let at = START + Time(12_500);
    assert!(lease.needs_query(at, WORKER));
    query(&mut lease, at, Outcome::Full);
    assert!(lease.list_until() > at);
    assert_eq!(lease.send_until(WORKER), Time(0));
}

#[test]
fn queries_missed_by_a_suspended_process_are_no_outage() {
    let mut lease = unanswered(6);
    lease.query_sent(START + Time(12_000 + 23_000));
    assert!(!lease.is_outage());
    assert_eq!(lease.list_until(), START + Time(15_000 + 5_000));
}

#[test]
fn a_late_answer_to_an_earlier_query_confirms_the_list_of_that_query() {
    let mut lease = unanswered(6);
    lease.confirm(START + Time(10_000));
    assert!(!lease.is_outage());
    assert_eq!(lease.age(START + Time(12_000)), Time(2_000));
    lease.confirm(START + Time(2_000));
    assert_eq!(lease.age(START + Time(12_000)), Time(2_000), "an answer that comes out of order");
}

#[test]
fn a_worker_that_confirms_is_used_for_the_time_of_one_change() {
    let mut lease = unanswered(30);
    let at = START + Time(50_000);
    assert!(lease.needs_query(at, WORKER));
    query(&mut lease, at, Outcome::Ok);
    assert_eq!(lease.send_until(WORKER), START + Time(60_000 + 5_000), "limited by the last read");
    assert!(!lease.needs_query(at + Time(9_000), WORKER), "its own lease has over a second left");
    assert!(lease.needs_query(at + Time(11_000), WORKER));
    lease.query_sent(START + Time(80_000));
    assert_eq!(lease.send_until(WORKER), at + Time(15_000 + 5_000));
    assert!(lease.send_until(WorkerId(2)) < at, "another worker");
}

#[test]
fn a_worker_that_turns_the_query_away_is_not_used_and_asked_again_later() {
    let mut lease = unanswered(30);
    let at = START + Time(50_000);
    query(&mut lease, at, Outcome::Ok);
    query(&mut lease, at + Time(5_000), Outcome::Full);
    assert!(lease.send_until(WORKER) < at);
    assert!(!lease.needs_query(at + Time(6_000), WORKER));
    assert!(lease.needs_query(at + Time(16_000), WORKER));
}

#[test]
fn an_answer_from_discovery_ends_the_leases_of_workers() {
    let mut lease = unanswered(30);
    query(&mut lease, START + Time(50_000), Outcome::Ok);
    lease.confirm(START + Time(58_000));
    lease.worker_query_ended(START + Time(59_000), WORKER, START + Time(50_000), Outcome::Ok, true);
    assert_eq!(lease.send_until(WORKER), lease.list_until());
}

#[test]
fn no_worker_is_queried_while_discovery_answers() {
    let mut lease = confirmed();
    assert!(!lease.needs_query(START + Time(30_000), WORKER));
    lease.query_sent(START + Time(30_000));
    assert!(!lease.needs_query(START + Time(30_000), WORKER), "the process was suspended");
}

/// Guards against taking the answer of whichever process has the worker's address for that of the listed one.
#[test]
fn past_the_lease_on_the_list_a_worker_is_identified_only_by_its_own_answer() {
    let mut lease = unanswered(30);
    let at = START + Time(50_000);
    assert!(lease.is_identified(lease.list_until(), WORKER) && !lease.is_identified(at, WORKER));
    for is_identified in [true, false] {
        lease.worker_queried(at, WORKER);
        lease.worker_query_ended(at, WORKER, at, Outcome::Ok, is_identified);
        assert_eq!(lease.is_identified(at, WORKER), is_identified);
        assert!(lease.send_until(WORKER) > at, "it does not drain, whichever it is");
    }
    lease.confirm(START + Time(60_000));
    assert!(lease.is_identified(START + Time(60_000), WORKER));
}
