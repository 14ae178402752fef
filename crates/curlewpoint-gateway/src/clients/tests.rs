use super::*;
use std::net::SocketAddr;

use crate::reload::PreparedMethods;
use curlewpoint::types::Time;
use curlewpoint_catalogue::Releases;
use curlewpoint_link::Outbox;
use tokio::time::timeout;

/// A client listener without an engine. Returns its address and the receivers of the priority and the request channel.
/// The request channel has room for one event and is already full.
async fn listener_with_full_request_channel() -> (SocketAddr, mpsc::Receiver<Event>, mpsc::Receiver<Event>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ((priority_tx, priority_rx), (request_tx, request_rx)) = (mpsc::channel(64), mpsc::channel(1));
    request_tx.try_send(Event::Stop).unwrap_or_default();
    let config = curlewpoint_config::parse("x", "name x\nlisten 127.0.0.1:0\nlist 127.0.0.1:9\nmethod m {\n  effect idempotent\n  soft-deadline 1s\n  deadline 2s\n}\n").unwrap();
    let prepared = Arc::new(PreparedMethods::from_config(&config).unwrap());
    let releases = Releases::new(Arc::clone(&prepared.catalogue), 4, Time(0));
    let active =
        ActiveMethods { release: releases.in_force(), prepared, withdrawn: releases.withdrawn().clone() };
    let (_, active_methods) = watch::channel(Arc::new(active));
    let (closing, tasks) = (CancellationToken::new(), TaskTracker::new());
    let (name, link_limits) = ("x".to_owned(), LinkLimits::default());
    let context =
        ClientContext { name, link_limits, active_methods, priority_tx, request_tx, closing, tasks };
    let (stop_tx, stopped) = watch::channel(false);
    tokio::spawn(async move {
        accept(listener, 8, context, stopped).await;
        drop(stop_tx);
    });
    (address, priority_rx, request_rx)
}

/// Fails the test if a step takes longer than ten seconds.
async fn soon<T>(step: impl std::future::Future<Output = T>) -> T {
    timeout(Duration::from_secs(10), step).await.expect("the step timed out")
}

async fn connected(address: SocketAddr) -> Link {
    handshake(TcpStream::connect(address).await.unwrap(), "c", LinkLimits::default()).await.unwrap()
}

fn send(outbox: &Outbox, kind: Kind, tag: u64) {
    outbox.send(Frame::new(kind).int(Field::TAG, tag), None).unwrap();
}

/// Guards against starting RPCs of a client that has disconnected while the engine is busy and the request channel is
/// full: the disconnect is reported at once, and RPCs that were read but not passed on are dropped.
#[tokio::test]
async fn a_disconnect_is_reported_although_the_request_channel_is_full() {
    let (address, mut priority_rx, mut request_rx) = listener_with_full_request_channel().await;
    let link = connected(address).await;
    (1..=32).for_each(|tag| send(&link.outbox, Kind::RPC, tag));
    let connected_event = soon(priority_rx.recv()).await;
    assert!(matches!(connected_event, Some(Event::ClientConnected(..))));
    drop(link.outbox);
    let disconnected = soon(priority_rx.recv()).await;
    assert!(
        matches!(disconnected, Some(Event::ClientDisconnected(_, 32))),
        "the disconnect, with the number of dropped RPCs"
    );
    assert!(matches!(soon(request_rx.recv()).await, Some(Event::Stop)), "the event that filled the channel");
    // The client's task ends with the connection and passes on nothing more.
    drop(connected_event);
    assert!(soon(link.writer).await.is_ok());
    assert!(request_rx.try_recv().is_err());
}

/// Guards against RPCs that start after their client has left with much still unread: more than is read ahead of a busy
/// engine. None of them is passed on once the engine takes requests again.
#[tokio::test]
async fn nothing_is_passed_on_for_a_client_that_has_left_behind_more_than_is_read_ahead() {
    const RPCS: u64 = 4 * READ_AHEAD.0 as u64;
    let (address, mut priority_rx, mut request_rx) = listener_with_full_request_channel().await;
    let link = connected(address).await;
    (1..=RPCS).for_each(|tag| send(&link.outbox, Kind::RPC, tag));
    let connected_event = soon(priority_rx.recv()).await;
    assert!(matches!(connected_event, Some(Event::ClientConnected(..))));
    drop(link.outbox);
    assert!(soon(link.writer).await.is_ok(), "all is written and the connection is ended");
    assert!(matches!(soon(request_rx.recv()).await, Some(Event::Stop)));
    assert!(matches!(soon(priority_rx.recv()).await, Some(Event::ClientDisconnected(..))));
    assert!(request_rx.try_recv().is_err());
}

/// A cancel overtakes queued RPCs, and the RPC that it cancels is never passed on.
#[tokio::test]
async fn a_cancel_overtakes_queued_rpcs_and_drops_its_own() {
    let (address, mut priority_rx, mut request_rx) = listener_with_full_request_channel().await;
    let link = connected(address).await;
    send(&link.outbox, Kind::RPC, 1);
    send(&link.outbox, Kind::RPC, 2);
    send(&link.outbox, Kind::CANCEL, 1);
    send(&link.outbox, Kind::CANCEL, 7);
    // Kept, as dropping the last outbox would end the connection.
    let connected_event = soon(priority_rx.recv()).await;
    assert!(matches!(connected_event, Some(Event::ClientConnected(..))));
    let dropped = soon(priority_rx.recv()).await;
    assert!(matches!(dropped, Some(Event::CancelRpc(_, 1, None))), "its RPC was still queued");
    let overtaking = soon(priority_rx.recv()).await;
    assert!(matches!(overtaking, Some(Event::CancelRpc(_, 7, Some(0)))), "no event was passed on before it");
    assert!(matches!(soon(request_rx.recv()).await, Some(Event::Stop)));
    let Some(Event::ClientFrame(_, _, frame)) = soon(request_rx.recv()).await else { panic!("no RPC") };
    assert_eq!(frame.get_int(Field::TAG).unwrap(), 2);
}

/// A cancel that overtakes its RPC in the channel applies to that RPC and not to a later one with the same tag.
#[tokio::test]
async fn a_cancel_that_overtakes_its_rpc_applies_to_that_rpc_only() {
    let (address, mut priority_rx, _request_rx) = listener_with_full_request_channel().await;
    let _link = connected(address).await;
    let Some(Event::ClientConnected(_, mut client)) = soon(priority_rx.recv()).await else {
        panic!("no client")
    };
    assert!(client.record_cancel(5, 0), "nothing is queued");
    assert!(!client.process(Some(5)));
    // Cancels tag 6 among the first four events, of which one has been processed. Events after these four came after
    // the cancel.
    assert!(client.record_cancel(6, 4));
    let cancelled = [Some(5), Some(6), None, Some(6), Some(6)].map(|tag| client.process(tag));
    assert_eq!(cancelled, [false, true, false, false, false]);
    // The number of recorded cancels of a client is limited.
    assert_eq!((1..).take_while(|tag| client.record_cancel(*tag, 1_000_000)).count(), 4096);
}
