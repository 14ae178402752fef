use super::*;

#[test]
fn the_maximum_within_a_window_is_found_at_any_position() {
    let at = |ms: &[u64]| ms.iter().map(|m| Time(m * 10)).collect::<Vec<_>>();
    assert_eq!(max_within(&at(&[]), CONNECTION_WINDOW), 0);
    assert_eq!(max_within(&at(&[0, 90, 99, 100, 150]), CONNECTION_WINDOW), 4);
    assert_eq!(max_within(&at(&[0, 100, 200]), CONNECTION_WINDOW), 1);
}

#[test]
fn a_drain_may_miss_one_scheduler_in_a_hundred_but_not_two() {
    let change = |no: usize| TranscriptEvent::ListEntrySent {
        scheduler: format!("front-{no}"),
        worker: "w-001".into(),
        lifecycle: Lifecycle::Draining,
    };
    let all = |n: usize| (0..n).map(|no| (Time(1_000 + 10 * no as u64), change(no))).collect::<Vec<_>>();
    assert_eq!(drain_spread(&all(99), 100, &[]), Some(Time(980)));
    assert_eq!(drain_spread(&all(98), 100, &[]), Some(Time(30_000)));
    assert_eq!(drain_spread(&all(98), 100, &[("front-99".into(), Time(0), Time(9_000))]), Some(Time(30_000)));
    assert_eq!(drain_spread(&[], 100, &[]), None);
}

#[test]
fn a_restarted_scheduler_is_timed_by_calls_after_its_ready_line_without_machine_stalls() {
    let asked = |at, key, scheduler: &str| {
        let (scheduler, method) = (scheduler.to_owned(), "m".to_owned());
        (Time(at), TranscriptEvent::RpcSent { key, scheduler, method, time_left: Time(10_000) })
    };
    let ok = |at, key| (Time(at), TranscriptEvent::FinalAnswer { key, answer: Answer::Ok });
    let seen = [
        // Sent to its previous run; the late answer does not count.
        asked(90_000, 1, "front-1"),
        asked(101_000, 2, "front-1"),
        asked(101_000, 3, "front-2"),
        ok(102_000, 1),
        ok(103_000, 3),
        (Time(103_500), TranscriptEvent::FinalAnswer { key: 2, answer: Answer::Denied }),
        asked(104_000, 4, "front-1"),
        (Time(106_000), TranscriptEvent::Stalled { scheduler: None, since: Time(105_000) }),
        ok(108_000, 4),
    ];
    let mut f = Figures::default();
    let ready = [("front-1".to_owned(), Time(100_000)), ("front-3".to_owned(), Time(100_000))];
    f.add_restarts(&seen, &ready, &SchedulingDelays::new());
    assert_eq!(f.first_ok_after_restart, Some(vec![Some(Time(7_000)), None]));
    f.add_restarts(&seen, &[], &SchedulingDelays::new());
    assert_eq!(f.first_ok_after_restart, None);
}

#[test]
fn a_function_called_everywhere_counts_when_the_last_scheduler_has_answered_ok() {
    let asked = |at, no: u64, scheduler: u64| {
        let (scheduler, method) = (format!("front-{scheduler}"), "m".to_owned());
        (
            Time(at),
            TranscriptEvent::RpcSent { key: CALL_KEY_BIT | no, scheduler, method, time_left: Time(10_000) },
        )
    };
    let end =
        |at, no: u64, answer| (Time(at), TranscriptEvent::FinalAnswer { key: CALL_KEY_BIT | no, answer });
    let mut seen = vec![asked(1_000, 1, 0), asked(1_100, 2, 1), asked(1_200, 3, 1)];
    seen.extend([end(2_000, 1, Answer::Ok), end(2_500, 2, Answer::Denied)]);
    let mut f = Figures::default();
    f.add_called_function(&seen);
    assert_eq!(f.called_ok, Some([Some(Time(1_000)), None]));
    seen.push(end(4_000, 3, Answer::Ok));
    f.add_called_function(&seen);
    assert_eq!(f.called_ok, Some([Some(Time(1_000)), Some(Time(3_000))]));
    f = Figures::default();
    f.add_called_function(&seen[..0]);
    assert_eq!(f.called_ok, None);
}
