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
    let word = |no: usize| Seen::Told {
        scheduler: format!("front-{no}"),
        worker: "w-001".into(),
        standing: Standing::Draining,
    };
    let all = |n: usize| (0..n).map(|no| (Time(1_000 + 10 * no as u64), word(no))).collect::<Vec<_>>();
    assert_eq!(told(&all(99), 100, &[]), Some(Time(980)));
    assert_eq!(told(&all(98), 100, &[]), Some(Time(30_000)));
    assert_eq!(told(&all(98), 100, &[("front-99".into(), Time(0), Time(9_000))]), Some(Time(30_000)));
    assert_eq!(told(&[], 100, &[]), None);
}
