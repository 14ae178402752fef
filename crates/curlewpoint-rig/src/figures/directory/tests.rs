use super::*;

const BUDGET: f64 = 1_000.0;

fn frame(at: u64, from: &str, to: &str, kind: Kind, bytes: usize, functions: &[u64]) -> Passed {
    let (came, functions, younger) = (Time(at), functions.to_vec(), Time(0));
    let what =
        Taped::Frame { kind, bytes, whole: false, digest: None, rows: 0, new: 0, came, functions, younger };
    (Time(at), from.into(), to.into(), what)
}

fn of(tape: &[Passed], seen: &[(Time, TranscriptEvent)], waits: &Waits) -> Directory {
    Directory::of(tape, seen, Some(BUDGET), waits, Time(1_000_000), &[])
}

/// Two seconds' bytes, 100 ms between sending and recording, a whole answer, and to one peer three heads and a link's first frame.
const MOST: usize = 2_100 + 9 * 32 + 3 * 18 + 14;

#[test]
fn a_second_is_held_against_what_may_be_sent_in_one_wherever_it_lies() {
    let two = |bytes| {
        [
            frame(104_000, "front-1", "front-2", Kind::DIRECTORY_UPDATE, 1_500, &[]),
            frame(113_999, "front-1", "front-2", Kind::OBSERVATIONS, bytes, &[]),
            frame(124_000, "front-1", "front-2", Kind::DIRECTORY_QUERY, 9_000, &[]),
        ]
    };
    let kept = of(&two(MOST - 1_500)[..2], &[], &Waits::new());
    let worst =
        Second { who: "front-1".into(), at: Time(113_999), bytes: MOST, most: MOST as f64, late: Time(0) };
    assert_eq!((kept.worst, kept.over), (Some(worst), None));
    let over = of(&two(MOST - 1_499)[..2], &[], &Waits::new()).over.expect("a byte too many");
    assert_eq!((over.bytes, over.most), (MOST + 1, MOST as f64));
    assert!(over
        .told(Time(100_000))
        .contains("front-1 sent 2457 bytes for the directory in the second before 1.4 s"));
    // A whole second apart they are two bursts, each within it.
    let apart = [
        frame(104_000, "front-1", "front-2", Kind::DIRECTORY_UPDATE, MOST, &[]),
        frame(114_000, "front-1", "front-2", Kind::DIRECTORY_UPDATE, MOST, &[]),
    ];
    assert_eq!(of(&apart, &[], &Waits::new()).over, None);
    // The one that is furthest over is told.
    assert_eq!(of(&two(MOST), &[], &Waits::new()).over.map(|s| s.bytes), Some(9_000));
}

#[test]
fn hints_are_told_apart_and_neither_other_frames_nor_made_up_peers_count() {
    let tape = [
        frame(104_000, "front-1", "front-2", Kind::HINTS, 5_000, &[]),
        frame(105_000, "front-1", "front-3", Kind::HINTS, 4_000, &[]),
        frame(105_000, "front-1", "front-3", Kind::HEARTBEAT, 9_000, &[]),
        frame(105_000, "forger-1", "front-3", Kind::OBSERVATIONS, 9_000, &[]),
        frame(105_000, "front-1", "front-3", Kind::DIRECTORY_JOIN, 14, &[]),
    ];
    let d = of(&tape, &[], &Waits::new());
    assert_eq!((d.hints, d.worst.map(|w| w.bytes), d.over), (9_000, Some(14), None));
}

#[test]
fn what_the_machine_held_up_adds_its_own_time_and_no_more_than_a_second_for_a_scheduler() {
    let tape = [frame(104_000, "front-1", "front-2", Kind::DIRECTORY_UPDATE, 10 * BUDGET as usize, &[])];
    let most =
        |seen: &[(Time, TranscriptEvent)], waits: &Waits| of(&tape, seen, waits).over.expect("far over").most;
    let stall = |since, at| [(Time(at), TranscriptEvent::Stalled { scheduler: None, since: Time(since) })];
    let none = Waits::new();
    assert_eq!(most(&stall(90_000, 105_000), &none), MOST as f64 + 1_500.0);
    assert_eq!(most(&stall(70_000, 90_000), &none), MOST as f64);
    let waited = |at, ms| Waits::from([("front-1".to_owned(), vec![(Time(at), Duration::from_millis(ms))])]);
    assert_eq!(most(&[], &waited(104_500, 300)), MOST as f64 + 300.0);
    assert_eq!(most(&[], &waited(104_500, 7_000)), MOST as f64 + 1_000.0);
    assert_eq!(most(&[], &waited(90_000, 300)), MOST as f64);
    let other = Waits::from([("front-2".to_owned(), vec![(Time(104_500), Duration::from_secs(1))])]);
    assert_eq!(most(&[], &other), MOST as f64);
}

#[test]
fn a_question_is_answered_by_whoever_answers_it_first_and_counts_once() {
    let tape = [
        frame(100_000, "front-1", "front-2", Kind::DIRECTORY_QUERY, 20, &[7, 8, 9]),
        frame(103_000, "front-1", "front-3", Kind::DIRECTORY_QUERY, 20, &[8]),
        frame(104_000, "front-2", "front-1", Kind::DIRECTORY_UPDATE, 20, &[7]),
        frame(108_000, "front-3", "front-1", Kind::DIRECTORY_UPDATE, 20, &[8]),
        // Nobody has answered the third, and it is put again much later.
        frame(150_000, "front-1", "front-2", Kind::DIRECTORY_QUERY, 20, &[9]),
        frame(150_100, "front-2", "front-1", Kind::DIRECTORY_UPDATE, 20, &[9]),
        // What one asks nobody else is answered for.
        frame(200_000, "front-4", "front-2", Kind::DIRECTORY_QUERY, 20, &[7]),
        frame(200_100, "front-2", "front-1", Kind::DIRECTORY_UPDATE, 20, &[7]),
    ];
    let d = of(&tape, &[], &Waits::new());
    assert_eq!((d.asked, d.soon, d.unanswered), (5, 2, 2));
    assert_eq!(d.unanswered_share(), 0.4);
    // One that was down meanwhile is owed nothing.
    let gone = [("front-4".to_owned(), Time(190_000), Time(201_000))];
    let d = Directory::of(&tape, &[], None, &Waits::new(), Time(1_000_000), &gone);
    assert_eq!((d.asked, d.unanswered), (4, 1));
    // Nor is one whose time is not over when the play ends.
    let d = Directory::of(&tape, &[], None, &Waits::new(), Time(220_000), &[]);
    assert_eq!((d.asked, d.unanswered), (4, 1));
}

#[test]
fn time_that_the_machine_took_is_counted_by_its_part() {
    let waits =
        vec![(Time(110_000), Duration::from_millis(500)), (Time(120_000), Duration::from_millis(100))];
    // Half of the first second, and all of the second.
    let held = held_between(&[], Some(&waits), Time(105_000), Time(120_000));
    assert_eq!(held, Time(2_500 + 1_000));
    let stalls = [(Time(100_000), Time(106_000)), (Time(119_000), Time(130_000))];
    assert_eq!(held_between(&stalls, None, Time(105_000), Time(120_000)), Time(2_000));
}
