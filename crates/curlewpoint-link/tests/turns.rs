//! The turns of the one task that owns a scheduler.

use std::time::Duration;

use curlewpoint_link::EventQueue;
use tokio::sync::mpsc;

/// Guards against answers that come without end, which would hold back what clients ask, cancel and leave, and a stop;
/// and against an ask that overtakes what was sent ahead of it.
#[tokio::test]
async fn a_flood_of_answers_holds_back_no_ask_and_no_ask_overtakes_one() {
    let (answers_in, answers) = mpsc::channel(8);
    let (asks_in, asks) = mpsc::channel(8);
    let mut turns = EventQueue::new(answers, asks, 2);
    for answer in ["1", "2", "3", "4"] {
        answers_in.send(answer).await.unwrap();
    }
    asks_in.send("stop").await.unwrap();
    let first: Vec<_> = turns.next_batch(Duration::ZERO).await.collect();
    assert_eq!(first, ["1", "2", "3", "4", "stop"]);
}
