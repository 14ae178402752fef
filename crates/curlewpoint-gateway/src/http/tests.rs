use super::*;
use std::net::SocketAddr;

use crate::reload::PreparedMethods;
use curlewpoint_catalogue::Releases;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// An HTTP endpoint without an engine. Returns its address and the receivers of the priority and the request channel,
/// which have the given capacity.
async fn endpoint(capacity: usize) -> (SocketAddr, mpsc::Receiver<Event>, mpsc::Receiver<Event>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ((priority_tx, priority_rx), (request_tx, request_rx)) =
        (mpsc::channel(capacity), mpsc::channel(capacity));
    let text = "name x\nlisten 127.0.0.1:0\nlist 127.0.0.1:9\nmethod m {\n  effect idempotent\n  soft-deadline 1s\n  \
                deadline 2s\n}\n";
    let prepared =
        Arc::new(PreparedMethods::from_config(&curlewpoint_config::parse("x", text).unwrap()).unwrap());
    let releases = Releases::new(Arc::clone(&prepared.catalogue), 4, Time(0));
    let active =
        ActiveMethods { release: releases.in_force(), prepared, withdrawn: releases.withdrawn().clone() };
    let (_, active_methods) = watch::channel(Arc::new(active));
    let limits = HttpLimits {
        connections: 8,
        body_bytes: 4096,
        receive_timeout: Duration::from_secs(9),
        header_bytes: 8192,
    };
    let endpoint = HttpEndpoint::new(
        active_methods,
        Clock::start(),
        limits,
        priority_tx,
        request_tx,
        TaskTracker::new(),
    );
    let (stop_tx, stop) = watch::channel(false);
    tokio::spawn(async move {
        serve(listener, endpoint, stop).await;
        drop(stop_tx);
    });
    (address, priority_rx, request_rx)
}

/// Fails the test if a step takes longer than ten seconds.
async fn soon<T>(step: impl std::future::Future<Output = T>) -> T {
    timeout(Duration::from_secs(10), step).await.expect("the step timed out")
}

async fn send_request(address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).await.unwrap();
    let post = "POST /v1/m/x HTTP/1.1\r\nhost: x\r\ncontent-type: application/octet-stream\r\ncontent-length: 1\r\n\r\nb";
    client.write_all(post.as_bytes()).await.unwrap();
    client
}

/// Guards against accepting requests whose client has disconnected: one that has left before its request was read queues
/// none, and the disconnect of one that leaves later overtakes the request, whose reply channel is then closed.
#[tokio::test]
async fn a_disconnect_overtakes_a_queued_request() {
    let (address, mut priority_rx, mut request_rx) = endpoint(2).await;
    drop(send_request(address).await);
    let leaving = send_request(address).await;
    soon(async {
        while request_rx.is_empty() {
            yield_now().await;
        }
    })
    .await;
    drop(leaving);
    let Some(Event::ClientDisconnected(disconnected, 0)) = soon(priority_rx.recv()).await else {
        panic!("no disconnect")
    };
    let Ok(Event::Request(id, request)) = request_rx.try_recv() else { panic!("no request was queued") };
    assert!(id == disconnected && request.reply_tx.is_closed());
    assert!(request_rx.try_recv().is_err(), "the first client's request");
}

/// A disconnect that finds the channel full waits until there is room and is not lost.
#[tokio::test]
async fn a_disconnect_is_reported_although_the_channel_is_full() {
    let (address, mut priority_rx, mut request_rx) = endpoint(1).await;
    let (first, second) = (send_request(address).await, send_request(address).await);
    let mut reply_txs = Vec::new();
    for _ in 0..2 {
        let Some(Event::Request(_, request)) = soon(request_rx.recv()).await else { panic!("no request") };
        reply_txs.push(request.reply_tx);
    }
    drop((first, second));
    // Both clients have disconnected before there is room in the channel again.
    for reply_tx in &mut reply_txs {
        soon(reply_tx.closed()).await;
    }
    for _ in 0..2 {
        assert!(matches!(soon(priority_rx.recv()).await, Some(Event::ClientDisconnected(_, 0))));
    }
}

/// A connection over the limit is closed without a reset, although it has sent a request.
#[tokio::test]
async fn a_connection_over_the_limit_is_closed_and_not_reset() {
    let (address, _priority_rx, mut request_rx) = endpoint(16).await;
    let mut admitted = Vec::new();
    for _ in 0..8 {
        admitted.push(send_request(address).await);
        soon(request_rx.recv()).await;
    }
    let mut rejected = send_request(address).await;
    assert_eq!(soon(rejected.read_to_end(&mut Vec::new())).await.expect("closed, not reset"), 0);
}
