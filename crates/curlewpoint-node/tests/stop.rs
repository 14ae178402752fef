//! Clients that go on using their connections after a stop, until the platform kills.

mod test_servers;

use std::time::{Duration, Instant};

use curlewpoint_platform::resp::CommandDecoder;
use test_servers::*;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;

/// The platform's earliest kill after a stop, the longest deadline of the stand's methods being over three seconds.
const KILL: Duration = Duration::from_millis(3_700);
/// Between two calls.
const PAUSE: Duration = Duration::from_millis(20);
/// A call written so shortly before the kill has no time for an answer.
const LAST: Duration = Duration::from_millis(50);

/// Guards against requests that are read and then closed without an answer: a client that has had an answer goes on until the
/// kill, and nothing of it is lost.
#[tokio::test]
async fn a_stop_answers_all_that_comes_until_the_kill() {
    let (at, _) = gives_back().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    let mut rows = FramedRead::new(&mut client.0, CommandDecoder { max_words: 8, max_word_len: 16 * 1024 });
    of.control.stop().await;
    let stopped = Instant::now();
    let mut no = 0;
    while stopped.elapsed() + LAST < KILL {
        no += 1;
        rows.get_mut().write_all(&call(no, &format!("{no:016x}"))).await.expect("the connection is open");
        let row = soon(rows.next()).await;
        let words =
            row.unwrap_or_else(|| panic!("call {no}, {:?} after the stop, has no answer", stopped.elapsed()));
        assert_eq!(words.unwrap()[0], no.to_string().as_bytes());
        let ended = timeout(PAUSE, rows.next()).await;
        assert!(ended.is_err(), "the connection ended {:?} after the stop", stopped.elapsed());
    }
    drop(rows);
    of.settled().await;
}

/// One that no client holds ends as soon as nothing can come any more, and one that is not killed ends by itself.
#[tokio::test]
async fn a_stop_ends_without_clients_and_without_a_kill() {
    let (at, _) = gives_back().await;
    let mut of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    client.hears(&["1", "good", "", "body"]).await;
    drop(client);
    of.control.stop().await;
    let stopped = Instant::now();
    soon(&mut of.stopped).await.unwrap();
    assert!(stopped.elapsed() < KILL, "it waits for nobody: {:?}", stopped.elapsed());
    of.settled().await;
    let mut held = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&held).await;
    client.call("1", "read", IDS[1]).await;
    client.hears(&["1", "good", "", "body"]).await;
    held.control.stop().await;
    soon(&mut held.stopped).await.unwrap();
    client.is_closed().await;
    held.settled().await;
}
