//! Connections of clients that keep to the protocol stay open, whatever number of commands they carry.

mod test_servers;

use test_case::test_case;
use test_servers::*;
use tokio::io::AsyncWriteExt;

/// More commands than any limit of the scheduler on what one connection leaves behind.
const MANY: u64 = 600;

/// Guards against closing a connection because many cancels crossed the answers that they no longer prevent.
#[tokio::test]
async fn cancels_that_cross_their_answers_do_not_close_a_connection() {
    let (address, _) = echo_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let (mut client, mut tag) = (Client::connect(&scheduler).await, 0);
    for _ in 0..MANY {
        client.expect_check(&mut tag, "fit").await;
        client.send(&["CANCEL", &tag.to_string()]).await;
    }
    tag += 1;
    client.send_call(&tag.to_string(), "read", IDS[0]).await;
    client.expect_reply(&[&tag.to_string(), "good", "", "body"]).await;
    scheduler.finish().await;
}

/// Guards against closing a connection because its calls' tags are not consecutive, as with health checks between the
/// calls, or with a client that numbers its calls over several connections.
#[test_case(|n| 2 * n ; "a tag left out between two calls")]
#[test_case(|n| u64::MAX / 2 - 3 * n ; "counted down in steps")]
#[test_case(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 25 ; "scattered")]
#[tokio::test]
async fn tags_that_are_not_consecutive_do_not_close_a_connection(call_tag: fn(u64) -> u64) {
    let (address, _) = echo_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    for n in 1..=MANY {
        let tag = call_tag(n);
        client.expect_check(&mut tag.clone(), "fit").await;
        client.0.write_all(&encode_call(tag, &format!("{n:016x}"))).await.unwrap();
        client.expect_reply(&[&tag.to_string(), "good", "", "body"]).await;
        // Crosses the answer. The scheduler may have forgotten the tag that the other one belongs to.
        client.send(&["CANCEL", &tag.to_string()]).await;
        client.send(&["CANCEL", &call_tag(n.div_ceil(2)).to_string()]).await;
    }
    scheduler.finish().await;
}

/// Guards against closing a connection because of the gaps that calls leave which are cancelled before the scheduler
/// has passed them on.
#[tokio::test]
async fn calls_that_are_cancelled_at_once_do_not_close_a_connection() {
    let (address, _) = echo_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    for n in 1..=MANY {
        let (cancelled, answered) = (2 * n, 2 * n + 1);
        let commands = [
            encode_call(cancelled, &format!("{cancelled:016x}")),
            encode(&["CANCEL", &cancelled.to_string()]),
            encode_call(answered, &format!("{answered:016x}")),
        ];
        client.0.write_all(&commands.concat()).await.unwrap();
        client.expect_reply(&[&answered.to_string(), "good", "", "body"]).await;
    }
    scheduler.finish().await;
}

/// Guards against a call that is taken for a new one because the scheduler has forgotten that its tag is open.
#[tokio::test]
async fn reusing_the_tag_of_an_open_call_is_noticed_after_many_calls() {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    client.send_call("1", "read", IDS[0]).await;
    let (_open, _reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    for n in 1..=MANY {
        let tag = 2 * n + 1;
        client.0.write_all(&encode_call(tag, &format!("{n:016x}"))).await.unwrap();
        let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
        reply_tx.send(reply_line(&request, "OK", "")).unwrap();
        client.expect_reply(&[&tag.to_string(), "good", "", ""]).await;
    }
    client.send_call("1", "read", IDS[1]).await;
    client.expect_reply(&["1", "broken", "", ""]).await;
    client.expect_closed().await;
    assert!(worker_rx.try_recv().is_err(), "the second call with this tag reached a worker");
    scheduler.finish().await;
}

/// Guards against closing a connection because of well-formed calls that its scheduler cannot serve.
#[test_case("write", "timeout=500,subject=00000000000000aa" ; "unknown method")]
#[test_case("read", "timeout=3600000,subject=00000000000000aa" ; "timeout of an hour")]
#[test_case("read", "timeout=500,subject=00000000000000aa,info=lanes:0.5" ; "half a lane")]
#[test_case("keyed", "timeout=500,subject=00000000000000aa" ; "no token")]
#[tokio::test]
async fn calls_that_cannot_be_served_do_not_close_a_connection(method: &str, fields: &str) {
    let (address, _) = echo_worker().await;
    let scheduler = start_scheduler_with(&[&address], NO_DISCOVERY, with_keyed_method).await;
    let mut client = Client::connect(&scheduler).await;
    for tag in 1..=MANY {
        client.send(&["CALL", &tag.to_string(), method, &format!("req={tag:016x},{fields}"), "x"]).await;
        client.expect_reply(&[&tag.to_string(), "broken", "", ""]).await;
    }
    client.send_call(&(MANY + 1).to_string(), "read", IDS[0]).await;
    client.expect_reply(&[&(MANY + 1).to_string(), "good", "", "body"]).await;
    scheduler.finish().await;
}

/// Adds a method whose calls need a token.
fn with_keyed_method(config: &mut serde_json::Value) {
    let method = serde_json::json!({
        "name": "keyed", "effect": "idempotency_key", "group": "all", "memorySpan": 5000.0, "aim": 500.0,
        "giveUp": 5000.0, "gain": 1.0,
    });
    config["settings"]["requestClasses"].as_array_mut().unwrap().push(method);
}

/// Guards against closing a connection because a tag does not fit into 64 bits: the protocol sets no largest tag.
#[tokio::test]
async fn a_tag_of_many_digits_does_not_close_a_connection() {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler(&[&address], NO_DISCOVERY).await;
    let mut client = Client::connect(&scheduler).await;
    client.send_call("1", "read", IDS[0]).await;
    let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    let (call_tag, check_tag) = (format!("{}", u128::from(u64::MAX) + 1), "9".repeat(60));
    client.send_call(&call_tag, "read", IDS[1]).await;
    client.expect_reply(&[&call_tag, "broken", "", ""]).await;
    client.send(&["CANCEL", &call_tag]).await;
    client.send(&["CHECK", &check_tag, ""]).await;
    client.expect_reply(&[&check_tag, "fit", "", ""]).await;
    reply_tx.send(reply_line(&request, "OK", "")).unwrap();
    client.expect_reply(&["1", "good", "", ""]).await;
    assert!(worker_rx.try_recv().is_err(), "the call reached a worker");
    scheduler.finish().await;
}

/// Guards against closing a connection as idle right after the answer to a call that took longer than clients may be idle.
#[tokio::test]
async fn a_connection_is_not_idle_right_after_a_slow_answer() {
    let (address, mut worker_rx) = scripted_worker().await;
    let scheduler = start_scheduler_with(&[&address], NO_DISCOVERY, |config| {
        config["settings"]["requestClasses"][1]["giveUp"] = serde_json::json!(20_000.0);
    })
    .await;
    let mut client = Client::connect(&scheduler).await;
    let fields = format!("req={},timeout=20000,subject=00000000000000aa", IDS[0]);
    client.send(&["CALL", "1", "issue", &fields, ""]).await;
    let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    pass_seconds(6).await;
    reply_tx.send(reply_line(&request, "OK", "")).unwrap();
    client.expect_reply(&["1", "good", "", ""]).await;
    // Clients close idle connections after four seconds.
    pass_seconds(4).await;
    client.expect_check(&mut 1, "fit").await;
    pass_seconds(6).await;
    client.expect_closed().await;
    scheduler.finish().await;
}
