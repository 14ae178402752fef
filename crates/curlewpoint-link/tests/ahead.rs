//! What is read ahead of the one task that owns a scheduler.

use curlewpoint_link::{now_or_never, ReadAhead};

#[test]
fn what_is_read_ahead_is_bounded_in_number_and_in_bytes() {
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
fn the_last_one_is_withdrawn_and_gives_its_bytes_back() {
    let mut ahead = ReadAhead::new((8, 4));
    for (what, no) in [("a", 1), ("b", 2), ("a", 1)] {
        ahead.push((what, no), no);
    }
    assert!(!ahead.has_room());
    assert_eq!(ahead.remove_last(|(what, _)| *what == "a"), Some(("a", 1)));
    assert!(ahead.has_room() && ahead.remove_last(|(what, _)| *what == "c").is_none());
    assert_eq!(ahead.iter().collect::<Vec<_>>(), [&("a", 1), &("b", 2)]);
}

/// Guards against a look that waits for a tick of the timers: here their clock stands still.
#[tokio::test(start_paused = true)]
async fn a_look_at_what_is_there_takes_no_time() {
    let begun = tokio::time::Instant::now();
    assert_eq!(now_or_never(std::future::pending::<()>()).await, None);
    assert_eq!(now_or_never(async { 7 }).await, Some(7));
    assert_eq!(begun.elapsed(), std::time::Duration::ZERO);
}
