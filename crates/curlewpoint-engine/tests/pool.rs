//! Stories of connections to one worker.

use std::collections::BTreeSet;

use curlewpoint::types::{Outcome, Time, WorkerId};
use curlewpoint_engine::{ConnId, Pool, PoolDriver, PoolLimits, RequestId};
use test_case::test_case;

#[derive(Default)]
struct Fake {
    dialled: Vec<ConnId>,
    sent: Vec<(ConnId, RequestId)>,
    closed: Vec<ConnId>,
    withdrawn: Vec<RequestId>,
    ended: Vec<(RequestId, Outcome)>,
    /// Connections whose outbox is full.
    full: BTreeSet<ConnId>,
    /// Requests of which not a byte has been sent.
    untouched: BTreeSet<RequestId>,
}

impl PoolDriver<&'static str> for Fake {
    fn dial(&mut self, conn: ConnId, _: WorkerId, _: &str) {
        self.dialled.push(conn);
    }
    fn send(&mut self, conn: ConnId, request: RequestId, _: &&'static str) -> bool {
        let room = !self.full.contains(&conn);
        if room {
            self.sent.push((conn, request));
        }
        room
    }
    fn withdraw(&mut self, _: ConnId, request: RequestId) -> bool {
        self.untouched.contains(&request)
    }
    fn send_withdraw(&mut self, _: ConnId, request: RequestId) {
        self.withdrawn.push(request);
    }
    fn close(&mut self, conn: ConnId) {
        self.closed.push(conn);
    }
    fn ended_locally(&mut self, request: RequestId, outcome: Outcome) {
        self.ended.push((request, outcome));
    }
}

const W: WorkerId = WorkerId(5);
const LIMITS: PoolLimits = PoolLimits {
    requests_per_conn: 2,
    conns_per_worker: 2,
    total_conns: 64,
    idle_timeout: Time(150_000),
    back_off: (Time(500), Time(20_000)),
};

fn pool() -> (Pool<&'static str>, Fake) {
    let (mut pool, mut wires) = (Pool::new(LIMITS, 1), Fake::default());
    pool.set_worker_address(Time(0), &mut wires, W, "here", Time(0));
    (pool, wires)
}

fn ask(p: &mut Pool<&'static str>, w: &mut Fake, now: u64, requests: std::ops::RangeInclusive<u64>) {
    requests.for_each(|e| p.request(Time(now), w, W, RequestId(e), "x"));
}

#[test]
fn a_burst_dials_what_it_needs_up_to_the_cap_and_the_rest_is_full() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=5);
    assert_eq!(w.dialled.len(), 2);
    assert_eq!(w.ended, [(RequestId(5), Outcome::Full)]);
    for conn in w.dialled.clone() {
        p.conn_up(Time(9), &mut w, conn);
    }
    assert_eq!(w.sent.len(), 4);
    ask(&mut p, &mut w, 10, 6..=6);
    assert_eq!(w.ended[1], (RequestId(6), Outcome::Full));
    p.answered(Time(11), &mut w, RequestId(1));
    ask(&mut p, &mut w, 12, 7..=7);
    assert_eq!(w.sent.len(), 5);
}

/// Guards against taking an unreachable worker for one that may have run something: nothing was sent to it.
#[test]
fn a_failed_dial_ends_all_that_waited_and_the_next_ones_for_a_while() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=2);
    let conn = w.dialled[0];
    p.conn_failed(Time(100), &mut w, conn, false);
    assert_eq!(w.ended, [(RequestId(1), Outcome::ConnectFailed), (RequestId(2), Outcome::ConnectFailed)]);
    ask(&mut p, &mut w, 101, 3..=3);
    assert_eq!(w.ended[2], (RequestId(3), Outcome::ConnectFailed), "in the pause after it");
    ask(&mut p, &mut w, 700, 4..=4);
    assert_eq!(w.dialled.len(), 2, "after the pause it is dialled anew");
}

#[test]
fn a_break_tells_apart_what_was_begun() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=2);
    let conn = w.dialled[0];
    p.conn_up(Time(5), &mut w, conn);
    w.untouched.insert(RequestId(2));
    p.conn_broken(Time(50), &mut w, conn);
    assert_eq!(w.ended, [(RequestId(1), Outcome::Reset), (RequestId(2), Outcome::NotSent)]);
    assert_eq!(p.conn_count(), 0);
}

#[test]
fn a_worker_that_does_not_read_fills_its_outbox_and_is_full() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=1);
    let conn = w.dialled[0];
    p.conn_up(Time(5), &mut w, conn);
    w.full.insert(conn);
    ask(&mut p, &mut w, 6, 2..=2);
    let second = w.dialled[1];
    w.full.insert(second);
    p.conn_up(Time(7), &mut w, second);
    assert_eq!(w.ended, [(RequestId(2), Outcome::Full)]);
}

#[test]
fn idle_connections_close_and_a_gone_worker_is_forgotten_once_its_last_answer_is_in() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=1);
    let conn = w.dialled[0];
    p.conn_up(Time(5), &mut w, conn);
    p.close_idle(Time(200_000), &mut w);
    assert!(w.closed.is_empty(), "something is out on it");
    p.worker_gone(Time(200_000), &mut w, W);
    ask(&mut p, &mut w, 200_001, 2..=2);
    assert_eq!(w.ended, [(RequestId(2), Outcome::ConnectFailed)], "nothing new goes to it");
    p.answered(Time(200_002), &mut w, RequestId(1));
    assert_eq!((w.closed.as_slice(), p.conn_count()), (&[conn][..], 0));
}

/// Guards against attempts that reach a worker long after it was known to drain, as it did not read until then.
#[test]
fn what_was_not_begun_when_a_worker_drains_is_not_sent() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=3);
    let conn = w.dialled[0];
    p.conn_up(Time(5), &mut w, conn);
    w.untouched.insert(RequestId(2));
    p.withdraw_unsent(Time(6), &mut w, W);
    assert_eq!(w.ended, [(RequestId(3), Outcome::NotSent), (RequestId(2), Outcome::NotSent)]);
    assert!(p.is_open_on(RequestId(1), conn) && w.withdrawn.is_empty(), "what was begun goes on to its end");
}

/// Guards against one connection's end that takes all attempts to a worker with it.
#[test]
fn another_connection_comes_beside_one_that_has_enough_out() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=1);
    let first = w.dialled[0];
    p.conn_up(Time(5), &mut w, first);
    ask(&mut p, &mut w, 6, 2..=2);
    assert_eq!((w.dialled.len(), w.sent.len()), (2, 2), "the second request does not wait for it");
    let second = w.dialled[1];
    p.conn_up(Time(7), &mut w, second);
    ask(&mut p, &mut w, 8, 3..=4);
    assert_eq!((w.dialled.len(), &w.sent[2..]), (2, &[(second, RequestId(3)), (second, RequestId(4))][..]));
    p.conn_broken(Time(50), &mut w, second);
    assert_eq!(w.ended, [(RequestId(3), Outcome::Reset), (RequestId(4), Outcome::Reset)]);
}

/// Guards against a connection that is up and brings nothing more: emptied by time-outs it would be chosen first.
#[test_case(true, 1 ; "it answers others")]
#[test_case(false, 2 ; "it has gone silent")]
fn a_connection_on_which_nothing_is_heard_takes_nothing_new(answers: bool, dials: usize) {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=1);
    let conn = w.dialled[0];
    p.conn_up(Time(5), &mut w, conn);
    if answers {
        p.close_idle(Time(50), &mut w);
        ask(&mut p, &mut w, 60, 9..=9);
        p.answered(Time(100), &mut w, RequestId(9));
    }
    assert!(!p.withdraw(Time(11_000), &mut w, RequestId(1)));
    w.dialled.retain(|c| *c == conn);
    ask(&mut p, &mut w, 11_001, 2..=2);
    assert_eq!(w.dialled.len(), dials);
}

#[test]
fn what_waits_for_a_dial_can_be_taken_back_as_unsent() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=1);
    assert!(p.withdraw(Time(1), &mut w, RequestId(1)));
    let conn = w.dialled[0];
    p.conn_up(Time(5), &mut w, conn);
    assert!(w.sent.is_empty() && w.ended.is_empty());
}

/// Two connections are up, with upstream requests 1 and 2 out on the first and 3 on the second.
fn two_up() -> (Pool<&'static str>, Fake, [ConnId; 2]) {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=3);
    let conns = [w.dialled[0], w.dialled[1]];
    conns.iter().for_each(|c| p.conn_up(Time(5), &mut w, *c));
    assert_eq!(w.sent, [(conns[0], RequestId(1)), (conns[0], RequestId(2)), (conns[1], RequestId(3))]);
    (p, w, conns)
}

/// Guards against upstream requests that go on a connection which has gone silent while another brings answers.
#[test]
fn a_silent_connection_is_passed_over_once_another_answers_what_was_sent_later() {
    let (mut p, mut w, [silent, good]) = two_up();
    p.answered(Time(20), &mut w, RequestId(3));
    ask(&mut p, &mut w, 30, 4..=4);
    assert_eq!(w.sent[3], (good, RequestId(4)));
    p.withdraw(Time(31), &mut w, RequestId(1));
    assert!(w.closed.is_empty(), "all were sent in one moment: no evidence yet");
    p.answered(Time(40), &mut w, RequestId(4));
    ask(&mut p, &mut w, 50, 5..=6);
    assert!(w.sent[4..].iter().all(|(conn, _)| *conn == good), "though it has the fewest out");
    ask(&mut p, &mut w, 51, 7..=7);
    assert_eq!(w.sent.last(), Some(&(silent, RequestId(7))), "no other can come: it has to do");
    p.withdraw(Time(60), &mut w, RequestId(2));
    p.withdraw(Time(61), &mut w, RequestId(7));
    assert_eq!(w.closed, [silent]);
}

#[test]
fn a_connection_that_was_passed_over_is_taken_again_once_it_answers() {
    let (mut p, mut w, [slow, _]) = two_up();
    p.answered(Time(20), &mut w, RequestId(3));
    ask(&mut p, &mut w, 30, 4..=4);
    p.answered(Time(40), &mut w, RequestId(4));
    p.answered(Time(50), &mut w, RequestId(1));
    p.withdraw(Time(51), &mut w, RequestId(2));
    ask(&mut p, &mut w, 60, 5..=6);
    assert!(w.closed.is_empty() && w.sent[4..].iter().any(|(conn, _)| *conn == slow));
}

/// Guards against handshakes that every scheduler of a large fleet pays for at every worker.
#[test_case(false, 4 ; "as a rule it needs several out")]
#[test_case(true, 1 ; "after a break one is enough")]
fn connections_are_spread_where_they_were_seen_to_break(broke: bool, from: u64) {
    let limits = PoolLimits { requests_per_conn: 32, conns_per_worker: 9, ..LIMITS };
    let (mut p, mut w) = (Pool::new(limits, 1), Fake::default());
    p.set_worker_address(Time(0), &mut w, W, "here", Time(0));
    ask(&mut p, &mut w, 0, 100..=100);
    let mut conn = w.dialled[0];
    p.conn_up(Time(5), &mut w, conn);
    if broke {
        p.conn_broken(Time(6), &mut w, conn);
        ask(&mut p, &mut w, 7, 101..=101);
        conn = w.dialled[1];
        p.conn_up(Time(8), &mut w, conn);
        p.answered(Time(9), &mut w, RequestId(101));
    } else {
        p.answered(Time(9), &mut w, RequestId(100));
    }
    let before = w.dialled.len();
    let first = (1..=9).find(|e| {
        ask(&mut p, &mut w, 10, *e..=*e);
        w.dialled.len() > before
    });
    assert_eq!(first, Some(from));
}

/// Guards against attempts on a connection to a process that has ended: where its machine vanished, they lie there.
#[test]
fn a_worker_that_started_anew_is_dialled_anew() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=1);
    let first = w.dialled[0];
    p.conn_up(Time(5), &mut w, first);
    p.answered(Time(9), &mut w, RequestId(1));
    p.set_worker_address(Time(10), &mut w, W, "here", Time(0));
    ask(&mut p, &mut w, 11, 2..=2);
    assert_eq!(w.dialled.len(), 1, "the same start told again is no restart");
    p.set_worker_address(Time(20), &mut w, W, "here", Time(15));
    assert!(w.closed.is_empty(), "what is out on the old one may still be answered");
    p.answered(Time(21), &mut w, RequestId(2));
    assert_eq!(w.closed, [first], "it was the last");
    // One alone, as with more out a second one is opened in any case.
    ask(&mut p, &mut w, 22, 3..=3);
    assert_eq!(w.dialled.len(), 2);
}

/// Guards against judging a worker by what lacks here, as descriptors do: nothing proves that it cannot be reached.
#[test]
fn a_dial_that_failed_on_this_side_says_nothing_of_the_worker() {
    let (mut p, mut w) = pool();
    ask(&mut p, &mut w, 0, 1..=1);
    let first = w.dialled[0];
    p.conn_failed(Time(9), &mut w, first, true);
    ask(&mut p, &mut w, 10, 2..=2);
    assert_eq!(w.ended, [(RequestId(1), Outcome::Full), (RequestId(2), Outcome::Full)]);
}

/// Guards the descriptors of clients and of the directory against a fleet of many workers: all connections together have
/// a bound, the one idle longest makes room, and one with something out never does.
#[test]
fn all_workers_together_have_a_bound_and_the_longest_idle_makes_room() {
    let (mut p, mut w) = (Pool::new(PoolLimits { total_conns: 3, ..LIMITS }, 1), Fake::default());
    for no in 1..=5 {
        p.set_worker_address(Time(0), &mut w, WorkerId(no), "there", Time(0));
    }
    for no in 1..=3 {
        p.request(Time(no), &mut w, WorkerId(no), RequestId(no), "x");
        let conn = w.dialled[no as usize - 1];
        p.conn_up(Time(no), &mut w, conn);
    }
    p.request(Time(10), &mut w, WorkerId(4), RequestId(4), "x");
    assert_eq!(w.ended, [(RequestId(4), Outcome::Full)], "all have something out");
    p.answered(Time(20), &mut w, RequestId(2));
    p.answered(Time(30), &mut w, RequestId(1));
    p.request(Time(40), &mut w, WorkerId(4), RequestId(5), "x");
    assert_eq!((w.closed.as_slice(), w.dialled.len()), (&[w.dialled[1]][..], 4));
    assert_eq!(p.conn_count(), 3);
}
