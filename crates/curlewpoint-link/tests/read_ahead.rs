//! The queue of messages read ahead of the task that owns a scheduler.

use curlewpoint_link::{now_or_never, ReadAhead};

#[test]
fn reading_ahead_is_bounded_in_number_and_in_bytes() {
    for (size, count) in [(1, 64), (16, 2), (100, 1)] {
        let mut ahead = ReadAhead::new((64, 32));
        let mut pushed = 0;
        while ahead.has_room() && pushed < 100 {
            ahead.push(pushed, if size == 1 { 0 } else { size });
            pushed += 1;
        }
        assert_eq!(pushed, count, "{size}");
        while ahead.pop().is_some() {}
        assert!(ahead.is_empty() && ahead.has_room());
    }
}

#[test]
fn removing_the_last_match_releases_its_bytes() {
    let mut ahead = ReadAhead::new((8, 4));
    for (name, bytes) in [("a", 1), ("b", 2), ("a", 1)] {
        ahead.push((name, bytes), bytes);
    }
    assert!(!ahead.has_room());
    assert_eq!(ahead.remove_last(|(name, _)| *name == "a"), Some(("a", 1)));
    assert!(ahead.has_room() && ahead.remove_last(|(name, _)| *name == "c").is_none());
    assert_eq!(ahead.iter().collect::<Vec<_>>(), [&("a", 1), &("b", 2)]);
}

/// Guards against a poll that waits for a tick of the timer: in this test the timer's clock is paused.
#[tokio::test(start_paused = true)]
async fn now_or_never_does_not_wait_for_the_timer() {
    let started = tokio::time::Instant::now();
    assert_eq!(now_or_never(std::future::pending::<()>()).await, None);
    assert_eq!(now_or_never(async { 7 }).await, Some(7));
    assert_eq!(started.elapsed(), std::time::Duration::ZERO);
}
