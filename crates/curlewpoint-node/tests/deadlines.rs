//! What a worker is told of the time that is left, where an attempt has waited on its way.

mod test_servers;

use std::time::Instant;

use serde_json::{json, Value};
use test_servers::*;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

/// What a call of the stand has, and the slack that the deadline passed on may have.
const TIMEOUT_MS: u128 = 5_000;
const SLACK_MS: u128 = 150;

/// Guards against a budget reckoned when the worker was chosen: here the connection comes up a second later, as the kernel
/// knocks again only then.
#[tokio::test]
async fn the_budget_is_what_is_left_once_a_dial_has_come_up() {
    let (at, listener, held) = unreachable().await;
    let of = scheduler_with(&[&at], NOWHERE, |told| {
        told["settings"]["limits"]["dialTimeout"] = json!(8000);
    })
    .await;
    let mut client = Client::new(&of).await;
    let asked = Instant::now();
    client.call("1", "read", IDS[0]).await;
    client.looks(&mut 1, "fit").await;
    drop(soon(listener.accept()).await.unwrap());
    drop(held);
    let (stream, _) = soon(listener.accept()).await.unwrap();
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    let line = soon(lines.next_line()).await.unwrap().expect("an attempt");
    let waited = asked.elapsed().as_millis();
    let row: Value = serde_json::from_str(&line).unwrap();
    went_out(&row);
    let budget = u128::from(row["meta"]["budget"].as_u64().expect("a budget"));
    write.write_all(answer(&row, "OK", "").as_bytes()).await.unwrap();
    client.hears(&["1", "good", "", ""]).await;
    assert!(waited > 2 * SLACK_MS, "the dial waited for {waited} ms only");
    assert!(
        budget <= TIMEOUT_MS - waited + SLACK_MS,
        "{budget} ms are told, after {waited} ms of {TIMEOUT_MS}"
    );
    of.settled().await;
}
