use super::*;

const BUDGET: f64 = 1_000.0;

fn frame(at: u64, from: &str, to: &str, kind: Kind, bytes: usize, functions: &[u64]) -> RecordedEvent {
    let (received_at, functions, age_error) = (Time(at), functions.to_vec(), Time(0));
    let event = RelayEvent::Frame {
        kind,
        bytes,
        full_list: false,
        member_digest: None,
        rows: 0,
        new_observations: 0,
        received_at,
        functions,
        age_error,
    };
    (Time(at), from.into(), to.into(), event)
}

fn figures_of(
    log: &[RecordedEvent], seen: &[(Time, TranscriptEvent)], delays: &SchedulingDelays,
) -> DirectoryFigures {
    DirectoryFigures::collect(log, seen, Some(BUDGET), delays, Time(1_000_000), &[])
}

/// Two seconds' budget, 100 ms between sending and recording, a full answer, and for one peer three frame headers and a join
/// frame.
const MAX_BYTES: usize = 2_100 + 9 * 32 + 3 * 18 + 14;

#[test]
fn the_send_limit_applies_to_any_one_second_window() {
    let two = |bytes| {
        [
            frame(104_000, "front-1", "front-2", Kind::DIRECTORY_UPDATE, 1_500, &[]),
            frame(113_999, "front-1", "front-2", Kind::OBSERVATIONS, bytes, &[]),
            frame(124_000, "front-1", "front-2", Kind::DIRECTORY_QUERY, 9_000, &[]),
        ]
    };
    let within_limit = figures_of(&two(MAX_BYTES - 1_500)[..2], &[], &SchedulingDelays::new());
    let worst_second = SendWindow {
        instance: "front-1".into(),
        at: Time(113_999),
        bytes: MAX_BYTES,
        max_bytes: MAX_BYTES as f64,
        machine_delay: Time(0),
    };
    assert_eq!((within_limit.worst_second, within_limit.over_limit), (Some(worst_second), None));
    let over = figures_of(&two(MAX_BYTES - 1_499)[..2], &[], &SchedulingDelays::new())
        .over_limit
        .expect("a byte too many");
    assert_eq!((over.bytes, over.max_bytes), (MAX_BYTES + 1, MAX_BYTES as f64));
    assert!(over
        .describe(Time(100_000))
        .contains("front-1 sent 2457 bytes for the directory in the second before 1.4 s"));
    // A full second apart they are two bursts, each within the limit.
    let separate = [
        frame(104_000, "front-1", "front-2", Kind::DIRECTORY_UPDATE, MAX_BYTES, &[]),
        frame(114_000, "front-1", "front-2", Kind::DIRECTORY_UPDATE, MAX_BYTES, &[]),
    ];
    assert_eq!(figures_of(&separate, &[], &SchedulingDelays::new()).over_limit, None);
    // The second that exceeds the limit by the most is reported.
    assert_eq!(
        figures_of(&two(MAX_BYTES), &[], &SchedulingDelays::new()).over_limit.map(|s| s.bytes),
        Some(9_000)
    );
}

#[test]
fn hints_are_counted_apart_and_other_frames_and_forged_peers_not_at_all() {
    let log = [
        frame(104_000, "front-1", "front-2", Kind::HINTS, 5_000, &[]),
        frame(105_000, "front-1", "front-3", Kind::HINTS, 4_000, &[]),
        frame(105_000, "front-1", "front-3", Kind::HEARTBEAT, 9_000, &[]),
        frame(105_000, "forger-1", "front-3", Kind::OBSERVATIONS, 9_000, &[]),
        frame(105_000, "front-1", "front-3", Kind::DIRECTORY_JOIN, 14, &[]),
    ];
    let d = figures_of(&log, &[], &SchedulingDelays::new());
    assert_eq!((d.hint_bytes, d.worst_second.map(|w| w.bytes), d.over_limit), (9_000, Some(14), None));
}

#[test]
fn stalls_raise_the_send_limit_by_their_duration_and_scheduling_delays_by_at_most_a_second() {
    let log = [frame(104_000, "front-1", "front-2", Kind::DIRECTORY_UPDATE, 10 * BUDGET as usize, &[])];
    let limit = |seen: &[(Time, TranscriptEvent)], delays: &SchedulingDelays| {
        figures_of(&log, seen, delays).over_limit.expect("far over").max_bytes
    };
    let stall = |since, at| [(Time(at), TranscriptEvent::Stalled { scheduler: None, since: Time(since) })];
    let none = SchedulingDelays::new();
    assert_eq!(limit(&stall(90_000, 105_000), &none), MAX_BYTES as f64 + 1_500.0);
    assert_eq!(limit(&stall(70_000, 90_000), &none), MAX_BYTES as f64);
    let delay = |at, ms| {
        SchedulingDelays::from([("front-1".to_owned(), vec![(Time(at), Duration::from_millis(ms))])])
    };
    assert_eq!(limit(&[], &delay(104_500, 300)), MAX_BYTES as f64 + 300.0);
    assert_eq!(limit(&[], &delay(104_500, 7_000)), MAX_BYTES as f64 + 1_000.0);
    assert_eq!(limit(&[], &delay(90_000, 300)), MAX_BYTES as f64);
    let other =
        SchedulingDelays::from([("front-2".to_owned(), vec![(Time(104_500), Duration::from_secs(1))])]);
    assert_eq!(limit(&[], &other), MAX_BYTES as f64);
}

#[test]
fn a_query_counts_once_and_is_answered_by_the_first_answer() {
    let log = [
        frame(100_000, "front-1", "front-2", Kind::DIRECTORY_QUERY, 20, &[7, 8, 9]),
        frame(103_000, "front-1", "front-3", Kind::DIRECTORY_QUERY, 20, &[8]),
        frame(104_000, "front-2", "front-1", Kind::DIRECTORY_UPDATE, 20, &[7]),
        frame(108_000, "front-3", "front-1", Kind::DIRECTORY_UPDATE, 20, &[8]),
        // The third query was not answered and is sent again much later.
        frame(150_000, "front-1", "front-2", Kind::DIRECTORY_QUERY, 20, &[9]),
        frame(150_100, "front-2", "front-1", Kind::DIRECTORY_UPDATE, 20, &[9]),
        // An answer to another instance does not count.
        frame(200_000, "front-4", "front-2", Kind::DIRECTORY_QUERY, 20, &[7]),
        frame(200_100, "front-2", "front-1", Kind::DIRECTORY_UPDATE, 20, &[7]),
    ];
    let d = figures_of(&log, &[], &SchedulingDelays::new());
    assert_eq!((d.queries, d.answered_soon, d.unanswered), (5, 2, 2));
    assert_eq!(d.unanswered_share(), 0.4);
    // Queries of an instance that was down meanwhile are not counted.
    let excused = [("front-4".to_owned(), Time(190_000), Time(201_000))];
    let d = DirectoryFigures::collect(&log, &[], None, &SchedulingDelays::new(), Time(1_000_000), &excused);
    assert_eq!((d.queries, d.unanswered), (4, 1));
    // Nor are queries whose answer time had not passed when the scenario ended.
    let d = DirectoryFigures::collect(&log, &[], None, &SchedulingDelays::new(), Time(220_000), &[]);
    assert_eq!((d.queries, d.unanswered), (4, 1));
}

#[test]
fn machine_delays_count_in_proportion_to_their_overlap() {
    let delays =
        vec![(Time(110_000), Duration::from_millis(500)), (Time(120_000), Duration::from_millis(100))];
    // Half of the first sample's second, and all of the second's.
    let held = delay_between(&[], Some(&delays), Time(105_000), Time(120_000));
    assert_eq!(held, Time(2_500 + 1_000));
    let stalls = [(Time(100_000), Time(106_000)), (Time(119_000), Time(130_000))];
    assert_eq!(delay_between(&stalls, None, Time(105_000), Time(120_000)), Time(2_000));
}
