use super::*;
use test_case::test_case;

/// An admission table whose slots are all taken by clients admitted a millisecond apart, and the moment after the last.
fn full_admission(slots: usize) -> (Admission, Vec<(ClientId, Arc<ClientActivity>)>, Time) {
    let mut admission = Admission::new(slots);
    let clients = (0..slots as u64).map(|n| admission.admit(Time(10 + 10 * n), false)).collect();
    (admission, clients, Time(10 + 10 * slots as u64))
}

fn is_selection(
    selected: &[Arc<ClientActivity>], clients: &[(ClientId, Arc<ClientActivity>)], want: &[usize],
) -> bool {
    selected.len() == want.len()
        && want.iter().all(|n| selected.iter().any(|c| Arc::ptr_eq(c, &clients[*n].1)))
}

/// Long after the last client was admitted.
const LATER: Time = Time(100_000);

#[test]
fn no_client_is_evicted_while_none_waits() {
    let (mut admission, ..) = full_admission(64);
    assert!(admission.select_evictions(LATER, false).is_empty());
}

#[test]
fn a_waiting_client_evicts_the_longest_idle_one_once() {
    let (mut admission, clients, _) = full_admission(64);
    assert!(is_selection(&admission.select_evictions(LATER, true), &clients, &[0]));
    assert!(admission.has_pending_evictions() && !admission.has_free_slot());
    assert!(admission.select_evictions(LATER, true).is_empty(), "one slot for one waiting client");
    admission.remove(clients[0].0);
    assert!(!admission.has_pending_evictions() && admission.has_free_slot());
}

/// Guards against a burst whose clients each wait some iterations for an eviction: slots are freed in advance. A client
/// that comes alone causes one eviction only.
#[test_case(1, 0 ; "one arrival")]
#[test_case(5, 4 ; "some arrivals")]
#[test_case(400, 63 ; "more arrivals than slots kept free")]
fn slots_are_freed_in_advance_at_the_rate_of_arrivals(arrivals: usize, evictions: usize) {
    let (mut admission, clients, _) = full_admission(512);
    // The oldest clients disconnect by themselves, so that others can be admitted at one moment; the first of those
    // waited.
    for (id, _) in &clients[..arrivals] {
        admission.remove(*id);
    }
    let admitted: Vec<_> = (0..arrivals).map(|n| admission.admit(LATER, n == 0)).collect();
    let selected = admission.select_evictions(LATER, false);
    assert_eq!(selected.len(), evictions);
    let is_old = |c: &Arc<ClientActivity>| admitted.iter().all(|(_, new)| !Arc::ptr_eq(c, new));
    assert!(selected.iter().all(is_old), "the longest idle, none that was just admitted");
    assert!(admission.select_evictions(LATER, false).is_empty(), "each is selected once");
    assert!(
        admission.select_evictions(LATER + BURST_WINDOW, false).is_empty(),
        "arrivals before the window do not count"
    );
}

/// Guards clients that reconnect often without a burst: as long as each finds a free slot, none is evicted.
#[test]
fn clients_that_find_a_free_slot_cause_no_evictions() {
    let mut admission = Admission::new(64);
    for n in 0..64 {
        admission.admit(LATER + Time(n), false);
        assert!(admission.select_evictions(LATER + Time(n), false).is_empty());
    }
}

#[test]
fn clients_with_open_rpcs_or_unhandled_commands_are_not_evicted() {
    let (mut admission, clients, _) = full_admission(4);
    clients[0].1.set_open_rpcs(1);
    clients[1].1.command_read();
    clients[2].1.replied(LATER, 0);
    assert!(is_selection(&admission.select_evictions(LATER, true), &clients, &[3]));
    admission.remove(clients[3].0);
    admission.admit(LATER + Time(1), true);
    assert!(is_selection(&admission.select_evictions(LATER + Time(2), true), &clients, &[2]));
}

#[test]
fn a_declined_eviction_selects_the_next_client() {
    let (mut admission, clients, _) = full_admission(3);
    assert!(is_selection(&admission.select_evictions(LATER, true), &clients, &[0]));
    assert_eq!(clients[0].1.eviction_requested(), Some(false));
    assert!(clients[0].1.record(LATER, false));
    assert!(!clients[0].1.record(LATER, false), "declined once");
    admission.eviction_declined();
    assert!(is_selection(&admission.select_evictions(LATER, true), &clients, &[1]));
}

/// Guards against a burst of clients that start requests and never complete them, while a client whose parts come close
/// together is not evicted.
#[test]
fn without_idle_clients_the_oldest_incomplete_request_is_evicted_after_its_grace() {
    let (mut admission, clients, _) = full_admission(3);
    clients[0].1.set_open_rpcs(1);
    for (n, at) in [(1, LATER), (2, LATER + Time(1))] {
        clients[n].1.record(at, true);
        clients[n].1.record(at + Time(9), true);
    }
    assert!(admission.select_evictions(LATER + PARTIAL_REQUEST_GRACE - Time(1), true).is_empty());
    assert!(is_selection(&admission.select_evictions(LATER + PARTIAL_REQUEST_GRACE, true), &clients, &[1]));
    assert_eq!(clients[1].1.eviction_requested(), Some(true));
    // After a complete request a client counts as idle again, ahead of those with incomplete ones.
    clients[2].1.record(LATER, false);
    admission.remove(clients[1].0);
    admission.admit(LATER + Time(1), true);
    assert!(is_selection(&admission.select_evictions(LATER + PARTIAL_REQUEST_GRACE, true), &clients, &[2]));
    assert_eq!(clients[2].1.eviction_requested(), Some(false));
}

/// Guards against an accept that fails for lack of descriptors while slots are free: clients are evicted all the same.
#[test]
fn a_lack_of_descriptors_evicts_although_slots_are_free() {
    let mut admission = Admission::new(64);
    let (id, _) = admission.admit(Time(10), false);
    assert!(admission.select_evictions(LATER, true).is_empty());
    assert_eq!(admission.select_evictions_for_descriptors(LATER).len(), 1);
    assert!(admission.select_evictions_for_descriptors(LATER).is_empty());
    admission.remove(id);
    assert!(!admission.has_pending_evictions());
}

#[test]
fn a_lack_of_room_and_its_end_are_reported_once_each() {
    let (mut admission, clients, _) = full_admission(16);
    assert!(admission.is_transition(true) && !admission.is_transition(true));
    admission.remove(clients[0].0);
    assert!(!admission.is_transition(false), "one free slot is too few");
    for (id, _) in &clients[1..4] {
        admission.remove(*id);
    }
    assert!(admission.is_transition(false) && !admission.is_transition(false));
}
