//! Bursts of client connections on real sockets while the timer clock is paused: an eviction must not wait for a
//! timer, or connections that arrive faster than the timer fires would time out unserved.

mod test_servers;

use std::sync::mpsc;
use std::time::Duration;

use curlewpoint_platform::resp::encode_array;
use serde_json::json;
use test_servers::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Keeps the clock paused until it is dropped: a blocking task prevents the paused clock from advancing by itself. A
/// test that waits for a timer hangs until the clock resumes after 30 s of real time, and then fails by its step
/// timeout.
struct PausedClock(mpsc::Sender<()>);

fn pause_clock() -> PausedClock {
    tokio::time::pause();
    let (guard, released) = mpsc::channel::<()>();
    tokio::task::spawn_blocking(move || released.recv_timeout(Duration::from_secs(30)));
    PausedClock(guard)
}

fn id(n: usize) -> String {
    format!("{:016x}", 0x1000 + n)
}

/// Guards active clients against a burst of hundreds of clients, many times the number of slots, that send one
/// command and stay, or never complete a request. Every complete request is answered once; clients with an open RPC
/// stay connected.
#[tokio::test]
async fn a_burst_is_admitted_without_a_timer_and_evicts_no_active_client() {
    const BURST: usize = 400;
    const WAITING: usize = 2;
    let (address, mut worker_rx) = scripted_worker().await;
    // Half of the descriptors, 64, are slots for clients.
    let scheduler =
        start_scheduler_with(&[&address], NO_DISCOVERY, |config| config["limits"]["sockets"] = json!(128))
            .await;
    let mut waiting = Vec::new();
    for n in 0..WAITING {
        let mut client = Client::connect(&scheduler).await;
        client.send_call("1", "read", &id(n)).await;
        let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
        assert_eq!(request["req"], json!(id(n)));
        waiting.push((client, request, reply_tx));
    }
    let paused = pause_clock();
    // In waves, each of which is connected completely before the scheduler runs.
    let check = encode_array(&[b"CHECK", b"1", b""]).to_vec();
    let fit = encode_array(&[b"1", b"fit", b"", b""]).to_vec();
    let (mut complete, mut partial, mut served) = (Vec::new(), Vec::new(), WAITING);
    for wave in 0..BURST / 40 {
        let mut wave: Vec<(usize, Client)> = (0..40)
            .map(|n| {
                let n = wave * 40 + n;
                let call = encode_call(1, &id(1_000 + n));
                (
                    n,
                    match n % 10 {
                        0 => Client::connect_and_send(scheduler.address, &call),
                        // Fewer than there are slots, so that they may stay within their grace.
                        1 => Client::connect_and_send(scheduler.address, &call[..call.len() / 2]),
                        _ => Client::connect_and_send(scheduler.address, &check),
                    },
                )
            })
            .collect();
        for (n, client) in &mut wave {
            match *n % 10 {
                0 => {
                    let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
                    assert_eq!(request["req"], json!(id(1_000 + *n)), "calls in their order");
                    reply_tx.send(reply_line(&request, "OK", "")).unwrap();
                    client.expect_reply(&["1", "good", "", ""]).await;
                    served += 1;
                }
                1 => {}
                _ => {
                    let mut reply = vec![0; fit.len()];
                    with_timeout(client.0.read_exact(&mut reply))
                        .await
                        .expect("a reply, not a close or a reset");
                    assert_eq!(reply, fit);
                }
            }
        }
        for (n, client) in wave {
            if n % 10 == 1 { &mut partial } else { &mut complete }.push(client);
        }
    }
    assert!(worker_rx.try_recv().is_err(), "an incomplete call reached the worker");
    for (client, request, reply_tx) in &mut waiting {
        reply_tx.send(reply_line(request, "OK", "")).unwrap();
        client.expect_reply(&["1", "good", "", ""]).await;
    }
    assert_eq!(served, WAITING + BURST / 10);
    // An incomplete call is accepted once its last byte arrives.
    let n = 1_000 + BURST - 9;
    let last = partial.last_mut().unwrap();
    let call = encode_call(1, &id(n));
    last.0.write_all(&call[call.len() / 2..]).await.unwrap();
    let (request, reply_tx) = with_timeout(worker_rx.recv()).await.unwrap();
    assert_eq!(request["req"], json!(id(n)));
    reply_tx.send(reply_line(&request, "OK", "")).unwrap();
    last.expect_reply(&["1", "good", "", ""]).await;
    // Evicted clients received nothing after their reply, and were closed, not reset.
    let mut evicted = 0;
    for client in &mut complete {
        let mut rest = [0; 64];
        tokio::select! {
            biased;
            read = client.0.read(&mut rest) => {
                assert_eq!(read.expect("closed, not reset"), 0, "data after the reply");
                evicted += 1;
            }
            () = std::future::ready(()) => {}
        }
    }
    assert!(evicted >= BURST * 9 / 10 - 64, "too few idle clients were evicted: {evicted}");
    drop(paused.0);
    scheduler.finish().await;
}
