use super::*;

#[test]
fn the_most_in_a_window_is_found_wherever_it_lies() {
    let at = |ms: &[u64]| ms.iter().map(|m| Time(m * 10)).collect::<Vec<_>>();
    assert_eq!(most_within(&at(&[]), WINDOW), 0);
    assert_eq!(most_within(&at(&[0, 90, 99, 100, 150]), WINDOW), 4);
    assert_eq!(most_within(&at(&[0, 100, 200]), WINDOW), 1);
}

#[test]
fn a_word_that_one_in_a_hundred_missed_is_told_and_one_that_two_missed_is_not() {
    let word = |no: usize| TranscriptEvent::ListEntrySent {
        scheduler: format!("front-{no}"),
        worker: "w-001".into(),
        lifecycle: Lifecycle::Draining,
    };
    let all = |n: usize| (0..n).map(|no| (Time(1_000 + 10 * no as u64), word(no))).collect::<Vec<_>>();
    assert_eq!(told(&all(99), 100, &[]), Some(Time(980)));
    assert_eq!(told(&all(98), 100, &[]), Some(Time(30_000)));
    assert_eq!(told(&all(98), 100, &[("front-99".into(), Time(0), Time(9_000))]), Some(Time(30_000)));
    assert_eq!(told(&[], 100, &[]), None);
}

#[test]
fn one_that_starts_anew_is_judged_by_what_it_was_asked_after_its_ready_line_less_what_the_machine_took() {
    let asked = |at, key, who: &str| {
        let (scheduler, method) = (who.to_owned(), "m".to_owned());
        (Time(at), TranscriptEvent::RpcSent { key, scheduler, method, time_left: Time(10_000) })
    };
    let ok = |at, key| (Time(at), TranscriptEvent::FinalAnswer { key, answer: Answer::Ok });
    let seen = [
        // Asked of its last run, and answered by nobody but a late frame.
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
    f.served(&seen, &ready, &Waits::new());
    assert_eq!(f.serves, Some(vec![Some(Time(7_000)), None]));
    f.served(&seen, &[], &Waits::new());
    assert_eq!(f.serves, None);
}

#[test]
fn a_function_called_everywhere_has_come_when_the_last_scheduler_has_answered_ok() {
    let asked = |at, no: u64, who: u64| {
        let (scheduler, method) = (format!("front-{who}"), "m".to_owned());
        (Time(at), TranscriptEvent::RpcSent { key: CALLED | no, scheduler, method, time_left: Time(10_000) })
    };
    let end = |at, no: u64, answer| (Time(at), TranscriptEvent::FinalAnswer { key: CALLED | no, answer });
    let mut seen = vec![asked(1_000, 1, 0), asked(1_100, 2, 1), asked(1_200, 3, 1)];
    seen.extend([end(2_000, 1, Answer::Ok), end(2_500, 2, Answer::Denied)]);
    let mut f = Figures::default();
    f.called(&seen);
    assert_eq!(f.called, Some([Some(Time(1_000)), None]));
    seen.push(end(4_000, 3, Answer::Ok));
    f.called(&seen);
    assert_eq!(f.called, Some([Some(Time(1_000)), Some(Time(3_000))]));
    f = Figures::default();
    f.called(&seen[..0]);
    assert_eq!(f.called, None);
}
