use curlewpoint_link::Clock;

use super::*;
use crate::send_lease::PublishedLease;

const SECOND: Time = Time(10_000);

fn lease(clock: Clock, send_by: Time) -> SendLease {
    SendLease { clock, send_by, published: PublishedLease::default() }
}

fn attempt(deadline: Time, lease: SendLease) -> WorkerLine {
    WorkerLine::Attempt { invoke: Invoke::new("1", "read", "m", None, Bytes::new()), deadline, lease }
}

/// Guards against an attempt that is written after its deadline, as when this process stood still before the write.
#[test]
fn an_attempt_is_not_begun_after_its_deadline() {
    let clock = Clock::start();
    let lease = lease(clock, clock.now() + SECOND);
    assert!(attempt(clock.now() + SECOND, lease.clone()).may_begin());
    assert!(!lease.published.take_refused());
    assert!(!attempt(clock.now() - SECOND, lease.clone()).may_begin());
    assert!(lease.published.take_refused() && !lease.published.take_refused());
}

#[test]
fn nothing_new_is_begun_after_the_lease_unless_the_list_was_confirmed_since() {
    let clock = Clock::start();
    let (expired, deadline) = (lease(clock, clock.now() - SECOND), clock.now() + SECOND);
    let lines = [
        attempt(deadline, expired.clone()),
        WorkerLine::LoadOrder { line: Bytes::new(), lease: expired.clone() },
    ];
    assert!(lines.iter().all(|line| !line.may_begin()));
    expired.published.publish(clock.now() + SECOND);
    assert!(lines.iter().all(|line| line.may_begin()));
}
