//! The event queue of the task that owns a scheduler.

use std::time::Duration;

use curlewpoint_link::EventQueue;
use tokio::sync::mpsc;

/// Guards against an endless stream of priority events that delays clients' requests, cancels and disconnects, or a
/// stop; and against a request that overtakes a priority event sent before it.
#[tokio::test]
async fn a_flood_of_priority_events_delays_no_request_and_is_not_overtaken() {
    let (priority_tx, priority_rx) = mpsc::channel(8);
    let (request_tx, request_rx) = mpsc::channel(8);
    let mut events = EventQueue::new(priority_rx, request_rx, 2);
    for event in ["1", "2", "3", "4"] {
        priority_tx.send(event).await.unwrap();
    }
    request_tx.send("stop").await.unwrap();
    let first: Vec<_> = events.next_batch(Duration::ZERO).await.collect();
    assert_eq!(first, ["1", "2", "3", "4", "stop"]);
}
