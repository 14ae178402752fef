//! Basic behaviour of a scheduler on real sockets, with scripted clients, workers and discovery servers. Each test
//! triggers an event and waits for its effects.

mod test_servers;

use std::time::Duration;

use serde_json::json;
use test_case::test_case;
use test_servers::*;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

#[tokio::test]
async fn an_rpc_and_its_answer_are_passed_on_unchanged() {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    client.send(&["CHECK", "1", ""]).await;
    client.expect_reply(&["1", "fit", "", ""]).await;
    client.send_call("2", "read", IDS[0]).await;
    let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    assert_eq!((&request["req"], &request["data"]), (&json!(IDS[0]), &json!("Ym9keQ==")));
    assert_eq!(
        (&request["meta"]["queue"], &request["meta"]["path"]),
        (&json!("read"), &json!("00000000000000aa"))
    );
    // A reply to another request comes first, and the right one twice.
    reply_tx.send(reply_line(&json!({"req": IDS[2]}), "OK", "eA==")).unwrap();
    reply_tx.send(reply_line(&request, "OK", "ZG9uZQ==")).unwrap();
    reply_tx.send(reply_line(&request, "OK", "ZG9uZQ==")).unwrap();
    client.expect_reply(&["2", "good", "", "done"]).await;
    client.send(&["CHECK", "3", ""]).await;
    client.expect_reply(&["3", "fit", "", ""]).await;
    scheduler.finish().await;
}

/// Guards against repeating an attempt that may have run after a malformed answer: only idempotent RPCs are repeated.
#[test_case("read", "a%b\n", Some("good") ; "idempotent, malformed line")]
#[test_case("read", "", Some("good") ; "idempotent, connection closed")]
#[test_case("read", "{\"type\":\"OK\",", Some("good") ; "idempotent, incomplete line")]
#[test_case("issue", "a%b\n", None ; "side effecting, malformed line")]
#[test_case("issue", "", None ; "side effecting, connection closed")]
#[tokio::test]
async fn after_a_malformed_answer_only_idempotent_rpcs_are_repeated(
    method: &str, malformed: &str, want: Option<&str>,
) {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    client.send_call("1", method, IDS[0]).await;
    let (_, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    reply_tx.send(malformed.to_owned()).unwrap();
    drop(reply_tx);
    match want {
        Some(status) => {
            let (retry, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
            reply_tx.send(reply_line(&retry, "OK", "ZG9uZQ==")).unwrap();
            client.expect_reply(&["1", status, "", "done"]).await;
        }
        None => {
            client.expect_reply(&["1", "broken", "", ""]).await;
            assert!(worker_rx.try_recv().is_err(), "it was repeated");
        }
    }
    scheduler.finish().await;
}

#[test_case(b"*2\r\n$4\r\nCALL\r\n$-1\r\n" ; "a negative length")]
#[test_case(b"*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$4\r\nread\r\n$1\r\na\r\n$60000000\r\nxxxx" ; "sixty million bytes")]
#[test_case(b"*2\r\n$4\r\nWHAT\r\n$1\r\n1\r\n" ; "unknown command")]
#[test_case(b"*2\r\n$4\r\nCALL\r\n$1\r\n0\r\n" ; "tag zero")]
#[test_case(b"*2\r\n$4\r\nCA" ; "incomplete command")]
#[test_case(b"" ; "no bytes")]
#[tokio::test]
async fn a_malformed_command_closes_its_connection_and_no_other(bytes: &[u8]) {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut good, mut bad) = (Client::connect(&scheduler).await, Client::connect(&scheduler).await);
    good.send_call("1", "read", IDS[0]).await;
    bad.0.write_all(bytes).await.unwrap();
    bad.expect_closed().await;
    let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    reply_tx.send(reply_line(&request, "OK", "ZG9uZQ==")).unwrap();
    good.expect_reply(&["1", "good", "", "done"]).await;
    scheduler.finish().await;
}

#[test_case("req=9b1f03aa5c7e2d42,timeout=soon,subject=00000000000000aa", "read" ; "invalid timeout")]
#[test_case("timeout=500,subject=00000000000000aa", "read" ; "no id")]
#[test_case("req=9b1f03aa5c7e2d41,timeout=500,subject=00000000000000aa", "read" ; "id of an open RPC")]
#[test_case("req=9b1f03aa5c7e2d42,timeout=500,subject=00000000000000aa,info=lanes:-2", "read" ; "negative lanes")]
#[test_case("req=9b1f03aa5c7e2d42,timeout=500,subject=00000000000000aa", "write" ; "unknown method")]
#[tokio::test]
async fn invalid_calls_are_rejected_and_never_reach_a_worker(fields: &str, method: &str) {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    client.send_call("1", "read", IDS[0]).await;
    let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    client.send(&["CALL", "2", method, fields, "x"]).await;
    client.expect_reply(&["2", "broken", "", ""]).await;
    reply_tx.send(reply_line(&request, "OK", "ZG9uZQ==")).unwrap();
    client.expect_reply(&["1", "good", "", "done"]).await;
    assert!(worker_rx.try_recv().is_err());
    scheduler.finish().await;
}

#[tokio::test]
async fn reusing_a_tag_closes_the_connection_and_ends_its_open_rpcs() {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    client.send_call("1", "read", IDS[0]).await;
    with_timeout(worker_rx.recv()).await.unwrap();
    client.send_call("1", "read", IDS[1]).await;
    client.expect_reply(&["1", "broken", "", ""]).await;
    client.expect_closed().await;
    scheduler.finish().await;
}

/// Guards against closing a connection because its client does not start its tags at 1, such as a client that numbers
/// them across its connections. Only tags that are not consecutive are bounded.
#[tokio::test]
async fn tags_may_start_at_any_number() {
    let (address, _) = echo_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    for n in 1..=600 {
        let tag = 70_000 + n;
        client.0.write_all(&encode_call(tag, &format!("{n:016x}"))).await.unwrap();
        client.expect_reply(&[&tag.to_string(), "good", "", "body"]).await;
    }
    scheduler.finish().await;
}

/// Sends calls one after another until one reaches this worker.
async fn send_calls_until_received(
    client: &mut Client, worker_rx: &mut mpsc::UnboundedReceiver<ReceivedMessage>, tag: &mut u64,
) {
    with_timeout(async {
        loop {
            *tag += 1;
            client.send_call(&tag.to_string(), "read", &format!("{:016x}", *tag)).await;
            if let Ok(Some((request, reply_tx))) = timeout(Duration::from_millis(100), worker_rx.recv()).await
            {
                reply_tx.send(reply_line(&request, "OK", "")).unwrap();
                return;
            }
        }
    })
    .await;
}

/// Guards against endpoint lists that are ignored after the start, or after the discovery address has changed.
#[tokio::test]
async fn endpoint_lists_take_effect_also_after_the_discovery_address_changes() {
    let ((first, mut first_rx), (second, mut second_rx)) = (scripted_worker().await, scripted_worker().await);
    let discovery = discovery_server(2, vec![("s-0", first.clone(), 1), ("s-1", second.clone(), 0)]).await;
    let scheduler = start_scheduler(&[&first], &discovery).await;
    let (mut client, mut tag) = (Client::connect(&scheduler).await, 0);
    send_calls_until_received(&mut client, &mut second_rx, &mut tag).await;
    while first_rx.try_recv().is_ok() {}
    let restored = discovery_server(3, vec![("s-0", first, 0)]).await;
    scheduler.resolver.send(restored.parse().unwrap()).unwrap();
    send_calls_until_received(&mut client, &mut first_rx, &mut tag).await;
    scheduler.finish().await;
}

#[tokio::test]
async fn after_a_stop_open_and_new_calls_are_answered() {
    let (address, mut worker_rx) = scripted_worker().await;
    let mut scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    client.send_call("1", "read", IDS[0]).await;
    let first = with_timeout(worker_rx.recv()).await.unwrap();
    scheduler.control.stop().await;
    client.send(&["CHECK", "2", ""]).await;
    client.expect_reply(&["2", "unfit", "", ""]).await;
    let mut late = Client::connect(&scheduler).await;
    late.send_call("1", "read", IDS[1]).await;
    let second = with_timeout(worker_rx.recv()).await.unwrap();
    for (request, reply_tx) in [first, second] {
        reply_tx.send(reply_line(&request, "OK", "ZG9uZQ==")).unwrap();
    }
    client.expect_reply(&["1", "good", "", "done"]).await;
    late.expect_reply(&["1", "good", "", "done"]).await;
    let counters = with_timeout(&mut scheduler.stopped).await.unwrap();
    assert_eq!((counters.taken, counters.ok, counters.cut_off), (2, 2, 0));
    scheduler.finish().await;
}
