//! Clients that keep using their connections after a stop, until the platform kills the process.

mod test_servers;

use std::time::{Duration, Instant};

use curlewpoint_platform::resp::CommandDecoder;
use test_servers::*;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;

/// The earliest kill after a stop, as the longest client timeout in the test settings exceeds three seconds.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Pause between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// A call sent within this time before the kill may remain unanswered.
const LAST_CALL_MARGIN: Duration = Duration::from_millis(50);

/// Guards against closing connections of active clients after a stop: a client that sends one call after another gets
/// every reply until the kill.
#[tokio::test]
async fn after_a_stop_all_calls_are_answered_until_the_kill() {
    let (address, _) = echo_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    let mut replies =
        FramedRead::new(&mut client.0, CommandDecoder { max_words: 8, max_word_len: 16 * 1024 });
    scheduler.control.stop().await;
    let stopped = Instant::now();
    let mut tag = 0;
    while stopped.elapsed() + LAST_CALL_MARGIN < KILL_DELAY {
        tag += 1;
        replies
            .get_mut()
            .write_all(&encode_call(tag, &format!("{tag:016x}")))
            .await
            .expect("the connection is open");
        let reply = with_timeout(replies.next()).await;
        let words =
            reply.unwrap_or_else(|| panic!("no reply to call {tag}, {:?} after the stop", stopped.elapsed()));
        assert_eq!(words.unwrap()[0], tag.to_string().as_bytes());
        let ended = timeout(CALL_INTERVAL, replies.next()).await;
        assert!(ended.is_err(), "the connection ended {:?} after the stop", stopped.elapsed());
    }
    drop(replies);
    scheduler.finish().await;
}

/// After a stop a scheduler without clients exits early, and one with a connected client exits by itself if it is not
/// killed.
#[tokio::test]
async fn a_stopped_scheduler_exits_without_a_kill() {
    let (address, _) = echo_worker().await;
    let mut scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    client.send_call("1", "read", IDS[0]).await;
    client.expect_reply(&["1", "good", "", "body"]).await;
    drop(client);
    scheduler.control.stop().await;
    let stopped = Instant::now();
    with_timeout(&mut scheduler.stopped).await.unwrap();
    assert!(stopped.elapsed() < KILL_DELAY, "it exited only after {:?}", stopped.elapsed());
    scheduler.finish().await;
    let mut with_client = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&with_client).await;
    client.send_call("1", "read", IDS[1]).await;
    client.expect_reply(&["1", "good", "", "body"]).await;
    with_client.control.stop().await;
    with_timeout(&mut with_client.stopped).await.unwrap();
    client.expect_closed().await;
    with_client.finish().await;
}
