//! Discovery responses that are late, lost, or in flight while the discovery address changes.

mod test_servers;

use std::time::{Duration, Instant};

use test_servers::*;

/// The drain grace of the test settings, less some time to act.
const MAX_DETECTION_TIME: Duration = Duration::from_millis(500);

/// Responds with a list that drains the first worker and adds the next.
fn respond_with_drain(discovery: &ScriptedDiscovery, drained: &str, next: &str) {
    discovery.respond(2, &[("s-0", drained.to_owned(), 1), ("s-1", next.to_owned(), 0)], 0);
}

/// Sends a call and requires that this worker receives it.
async fn expect_call_at(
    worker_rx: &mut tokio::sync::mpsc::UnboundedReceiver<ReceivedMessage>, client: &mut Client,
) {
    client.send_call("1", "read", IDS[0]).await;
    let (request, reply_tx) = with_timeout(worker_rx.recv()).await.expect("a call");
    reply_tx.send(reply_line(&request, "OK", "")).unwrap();
    client.expect_reply(&["1", "good", "", ""]).await;
}

/// Guards against losing responses when the address changes faster than discovery responds: a response from a previous
/// address is still accepted.
#[tokio::test]
async fn a_response_in_flight_while_the_address_changes_is_accepted() {
    let ((address, _worker_rx), (next, mut next_rx)) = (scripted_worker().await, scripted_worker().await);
    let mut servers =
        [ScriptedDiscovery::new().await, ScriptedDiscovery::new().await, ScriptedDiscovery::new().await];
    let scheduler = start_scheduler(&[&address], &servers[0].address().to_string()).await;
    let (mut client, mut other) = (Client::connect(&scheduler).await, Client::connect(&scheduler).await);
    servers[0].expect_query().await;
    for server in &mut servers[1..] {
        scheduler.resolver.send(server.address()).unwrap();
        server.expect_query().await;
    }
    respond_with_drain(&servers[1], &address, &next);
    for tag in 1..4 {
        other.expect_check(&mut { tag }, "fit").await;
    }
    expect_call_at(&mut next_rx, &mut client).await;
    scheduler.finish().await;
}

/// The same for a reload that sets the same address again.
#[tokio::test]
async fn setting_the_same_address_again_loses_no_response() {
    let ((address, _worker_rx), (next, mut next_rx)) = (scripted_worker().await, scripted_worker().await);
    let mut discovery = ScriptedDiscovery::new().await;
    let scheduler = start_scheduler(&[&address], &discovery.address().to_string()).await;
    let (mut client, mut other) = (Client::connect(&scheduler).await, Client::connect(&scheduler).await);
    discovery.expect_query().await;
    scheduler.resolver.send(discovery.address()).unwrap();
    other.expect_check(&mut 0, "fit").await;
    respond_with_drain(&discovery, &address, &next);
    for tag in 1..4 {
        other.expect_check(&mut { tag }, "fit").await;
    }
    expect_call_at(&mut next_rx, &mut client).await;
    scheduler.finish().await;
}

/// Guards against learning of a drain after its grace because responses are lost: the grace runs from the moment that
/// the first of them was sent.
#[tokio::test]
async fn three_lost_responses_take_less_than_a_drain_grace() {
    let (address, _worker_rx) = scripted_worker().await;
    let mut discovery = ScriptedDiscovery::new().await;
    let scheduler = start_scheduler(&[&address], &discovery.address().to_string()).await;
    discovery.expect_query().await;
    discovery.respond(1, &[("s-0", address.clone(), 0)], 0);
    discovery.expect_query().await;
    let first = Instant::now();
    for _ in 0..3 {
        discovery.expect_query().await;
    }
    let took = first.elapsed();
    assert!(took < MAX_DETECTION_TIME, "the fourth query came {took:?} after the first");
    scheduler.finish().await;
}
