use super::*;
use test_case::test_case;

/// Doors with so many places, all taken by clients that came a millisecond apart; and the moment after the last.
fn full(most: usize) -> (Doors, Vec<(ClientId, Arc<Presence>)>, Time) {
    let mut doors = Doors::new(most);
    let all = (0..most as u64).map(|no| doors.let_in(Time(10 + 10 * no), false)).collect();
    (doors, all, Time(10 + 10 * most as u64))
}

fn are(asked: &[Arc<Presence>], all: &[(ClientId, Arc<Presence>)], want: &[usize]) -> bool {
    asked.len() == want.len() && want.iter().all(|no| asked.iter().any(|p| Arc::ptr_eq(p, &all[*no].1)))
}

/// Long after the last came.
const LATER: Time = Time(100_000);

#[test]
fn nobody_is_asked_while_nobody_comes() {
    let (mut doors, ..) = full(64);
    assert!(doors.make_room(LATER, false).is_empty());
}

#[test]
fn one_that_waits_has_the_longest_idle_asked_once() {
    let (mut doors, all, _) = full(64);
    assert!(are(&doors.make_room(LATER, true), &all, &[0]));
    assert!(doors.is_making_room() && !doors.has_room());
    assert!(doors.make_room(LATER, true).is_empty(), "one place for one that waits");
    doors.left(all[0].0);
    assert!(!doors.is_making_room() && doors.has_room());
}

/// Guards against a crowd that waits while clients leave one after the other, each some turns: room is there ahead of
/// need. One that comes alone has one put out, and no more.
#[test_case(1, 0 ; "one came")]
#[test_case(5, 4 ; "some came")]
#[test_case(400, 63 ; "more came than is ever kept free")]
fn as_many_are_asked_as_come_at_the_present_rate(came: usize, asked: usize) {
    let (mut doors, all, _) = full(512);
    // Those who came first leave by themselves, so that others can come at one moment; the first of them had waited.
    for (id, _) in &all[..came] {
        doors.left(*id);
    }
    let next: Vec<_> = (0..came).map(|no| doors.let_in(LATER, no == 0)).collect();
    let go = doors.make_room(LATER, false);
    assert_eq!(go.len(), asked);
    let kept = |p: &Arc<Presence>| next.iter().all(|(_, n)| !Arc::ptr_eq(p, n));
    assert!(go.iter().all(kept), "the longest idle, not those that have just come");
    assert!(doors.make_room(LATER, false).is_empty(), "each is asked once");
    assert!(doors.make_room(LATER + AHEAD, false).is_empty(), "and none for those that came long ago");
}

/// Guards usual clients that connect again and again without a crowd: as long as each finds a place, nobody is put out.
#[test]
fn who_finds_a_place_free_makes_no_crowd() {
    let mut doors = Doors::new(64);
    for no in 0..64 {
        doors.let_in(LATER + Time(no), false);
        assert!(doors.make_room(LATER + Time(no), false).is_empty());
    }
}

#[test]
fn nobody_with_something_open_or_on_its_way_is_asked() {
    let (mut doors, all, _) = full(4);
    all[0].1.owed(1);
    all[1].1.reads();
    all[2].1.answered(LATER, 0);
    assert!(are(&doors.make_room(LATER, true), &all, &[3]));
    doors.left(all[3].0);
    doors.let_in(LATER + Time(1), true);
    assert!(are(&doors.make_room(LATER + Time(2), true), &all, &[2]));
}

#[test]
fn one_that_stays_makes_way_for_the_next_to_be_asked() {
    let (mut doors, all, _) = full(3);
    assert!(are(&doors.make_room(LATER, true), &all, &[0]));
    assert_eq!(all[0].1.asked(), Some(false));
    assert!(all[0].1.stays(LATER, false));
    assert!(!all[0].1.stays(LATER, false), "said once");
    doors.stayed();
    assert!(are(&doors.make_room(LATER, true), &all, &[1]));
}

/// Guards against a crowd that begins requests and never ends them; one whose pieces come close together is left alone.
#[test]
fn where_nobody_is_idle_those_in_pieces_for_longest_go_after_a_time() {
    let (mut doors, all, _) = full(3);
    all[0].1.owed(1);
    for (no, at) in [(1, LATER), (2, LATER + Time(1))] {
        all[no].1.stays(at, true);
        all[no].1.stays(at + Time(9), true);
    }
    assert!(doors.make_room(LATER + PIECES - Time(1), true).is_empty());
    assert!(are(&doors.make_room(LATER + PIECES, true), &all, &[1]));
    assert_eq!(all[1].1.asked(), Some(true));
    // A whole request has come: it is like others again, and those in pieces come after it.
    all[2].1.stays(LATER, false);
    doors.left(all[1].0);
    doors.let_in(LATER + Time(1), true);
    assert!(are(&doors.make_room(LATER + PIECES, true), &all, &[2]));
    assert_eq!(all[2].1.asked(), Some(false));
}

/// Out of descriptors though places are free: those asked make room all the same.
#[test]
fn room_is_made_anyway_where_descriptors_have_run_out() {
    let mut doors = Doors::new(64);
    let (id, _) = doors.let_in(Time(10), false);
    assert!(doors.make_room(LATER, true).is_empty());
    assert_eq!(doors.make_room_anyway(LATER).len(), 1);
    assert!(doors.make_room_anyway(LATER).is_empty());
    doors.left(id);
    assert!(!doors.is_making_room());
}

#[test]
fn no_room_and_room_again_are_said_once_each_and_far_apart() {
    let (mut doors, all, _) = full(16);
    assert!(doors.turns(true) && !doors.turns(true));
    doors.left(all[0].0);
    assert!(!doors.turns(false), "one place is not room");
    for (id, _) in &all[1..4] {
        doors.left(*id);
    }
    assert!(doors.turns(false) && !doors.turns(false));
}
