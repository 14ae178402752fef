//! Closes of a client's connection after an error of the client: every call that was read is answered first, those
//! before the error and those behind it.

mod test_servers;

use serde_json::Value;
use test_case::test_case;
use test_servers::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

/// More commands than the scheduler reads ahead of its engine.
const MANY: u64 = 200;

fn call(tag: u64) -> Vec<u8> {
    encode_call(tag, &format!("{tag:016x}"))
}

/// A client with one open call, with tag 1.
async fn client_with_open_call(
    scheduler: &Scheduler, worker_rx: &mut mpsc::UnboundedReceiver<ReceivedMessage>,
) -> (Client, Value, mpsc::UnboundedSender<String>) {
    let mut client = Client::connect(scheduler).await;
    client.0.write_all(&call(1)).await.unwrap();
    let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    (client, request, reply_tx)
}

/// Guards against a close that leaves the calls unanswered that were read before unreadable bytes and wait for the
/// engine.
#[test_case(b"no command at all " ; "another protocol")]
#[test_case(b"*9\r\n" ; "too many words")]
#[test_case(b"*5\r\n$4\r\nCALL\r\n$1\r\n9\r\n$4\r\nread\r\n$1\r\na\r\n$60000000\r\nxxxx" ; "sixty million bytes")]
#[tokio::test]
async fn calls_before_unreadable_bytes_are_answered(unreadable: &[u8]) {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, ..) = client_with_open_call(&scheduler, &mut worker_rx).await;
    client.0.write_all(&[call(2), call(3), unreadable.to_vec()].concat()).await.unwrap();
    client.expect_reply(&["1", "broken", "", ""]).await;
    client.expect_reply(&["2", "refused", "", ""]).await;
    client.expect_reply(&["3", "refused", "", ""]).await;
    client.expect_closed().await;
    assert!(worker_rx.try_recv().is_err(), "a refused call reached a worker");
    scheduler.finish().await;
}

/// Guards against a close that drops the commands that were sent behind an invalid one, read or still in the buffer.
#[test_case(&["CALL", "0", "read", "", ""] ; "tag zero")]
#[test_case(&["WHAT", "9"] ; "unknown command")]
#[test_case(&["CALL", "1", "read", "", ""] ; "tag of an open call")]
#[test_case(&["CANCEL", "x"] ; "cancel without a tag")]
#[tokio::test]
async fn commands_behind_an_invalid_one_are_answered(invalid: &[&str]) {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, ..) = client_with_open_call(&scheduler, &mut worker_rx).await;
    let behind = (2..MANY).flat_map(call).collect();
    let check = encode(&["CHECK", &MANY.to_string(), ""]);
    client.0.write_all(&[encode(invalid), behind, check].concat()).await.unwrap();
    client.expect_reply(&["1", "broken", "", ""]).await;
    for tag in 2..MANY {
        client.expect_reply(&[&tag.to_string(), "refused", "", ""]).await;
    }
    client.expect_reply(&[&MANY.to_string(), "fit", "", ""]).await;
    client.expect_closed().await;
    assert!(worker_rx.try_recv().is_err(), "a refused call reached a worker");
    scheduler.finish().await;
}

/// Guards against a call without an answer whose tag is that of an answered call.
#[tokio::test]
async fn a_call_with_the_tag_of_an_answered_one_is_answered() {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, request, reply_tx) = client_with_open_call(&scheduler, &mut worker_rx).await;
    reply_tx.send(reply_line(&request, "OK", "")).unwrap();
    client.expect_reply(&["1", "good", "", ""]).await;
    client.send_call("1", "read", IDS[0]).await;
    client.expect_reply(&["1", "refused", "", ""]).await;
    client.expect_closed().await;
    assert!(worker_rx.try_recv().is_err(), "the call reached a worker");
    scheduler.finish().await;
}

/// Guards against a connection that is never closed because its client goes on sending after its error.
#[tokio::test]
async fn a_client_that_goes_on_sending_after_its_error_is_closed() {
    let (address, _) = echo_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let stream = tokio::net::TcpStream::connect(scheduler.address).await.unwrap();
    let (mut read, mut write) = stream.into_split();
    let writing = tokio::spawn(async move {
        write.write_all(&encode(&["WHAT", "1"])).await?;
        loop {
            write.write_all(&encode(&["CHECK", "2", ""])).await?;
        }
        #[allow(unreachable_code)]
        std::io::Result::Ok(())
    });
    let _ = with_timeout(read.read_to_end(&mut Vec::new())).await;
    assert!(with_timeout(writing).await.unwrap().is_err());
    scheduler.finish().await;
}

/// Guards against a client that sends malformed calls without end, and against calls behind the last of them that have
/// no answer.
#[tokio::test]
async fn a_client_that_repeats_malformed_calls_is_closed() {
    const MALFORMED: u64 = 8;
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    let fields = "timeout=500,subject=00000000000000aa";
    let malformed = |tag: u64| encode(&["CALL", &tag.to_string(), "read", fields, ""]);
    let malformed_calls = (1..=MALFORMED).flat_map(malformed).collect();
    client.0.write_all(&[malformed_calls, call(MALFORMED + 1)].concat()).await.unwrap();
    for tag in 1..=MALFORMED {
        client.expect_reply(&[&tag.to_string(), "broken", "", ""]).await;
    }
    client.expect_reply(&[&(MALFORMED + 1).to_string(), "refused", "", ""]).await;
    client.expect_closed().await;
    assert!(worker_rx.try_recv().is_err(), "the last call reached a worker");
    scheduler.finish().await;
}
