use super::*;
use std::net::SocketAddr;

use crate::reload::Prepared;
use curlewpoint::types::Time;
use curlewpoint_catalogue::Releases;
use curlewpoint_link::Outbox;
use tokio::time::timeout;

/// A door whose calls nobody takes: what is told of endings comes out here, and calls behind one that fills their
/// channel.
async fn held_back() -> (SocketAddr, mpsc::Receiver<Note>, mpsc::Receiver<Note>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ((endings, ended), (asks, asked)) = (mpsc::channel(64), mpsc::channel(1));
    asks.try_send(Note::Stop).unwrap_or_default();
    let config = curlewpoint_config::parse("x", "name x\nlisten 127.0.0.1:0\nlist 127.0.0.1:9\nmethod m {\n  effect idempotent\n  soft-deadline 1s\n  deadline 2s\n}\n").unwrap();
    let prepared = Arc::new(Prepared::of(&config).unwrap());
    let releases = Releases::new(Arc::clone(&prepared.catalogue), 4, Time(0));
    let now = InForce { release: releases.in_force(), prepared, withdrawn: releases.withdrawn().clone() };
    let (_, in_force) = watch::channel(Arc::new(now));
    let (closing, tasks) = (CancellationToken::new(), TaskTracker::new());
    let (name, bounds) = ("x".to_owned(), LinkLimits::default());
    let desk = Desk { name, bounds, in_force, endings, asks, closing, tasks };
    let (no_more, stopped) = watch::channel(false);
    tokio::spawn(async move {
        accept(listener, 8, desk, stopped).await;
        drop(no_more);
    });
    (address, ended, asked)
}

/// No step of a story takes longer.
async fn soon<T>(what: impl std::future::Future<Output = T>) -> T {
    timeout(Duration::from_secs(10), what).await.expect("it never came")
}

async fn connected(address: SocketAddr) -> Link {
    handshake(TcpStream::connect(address).await.unwrap(), "c", LinkLimits::default()).await.unwrap()
}

fn say(outbox: &Outbox, kind: Kind, tag: u64) {
    outbox.send(Frame::new(kind).int(Field::TAG, tag), None).unwrap();
}

/// Guards against calls that begin after their client has gone, where the engine is busy and the reader held back: the
/// going is told at once, and what was read and not taken is never asked.
#[tokio::test]
async fn a_going_is_told_though_calls_are_held_back() {
    let (address, mut ended, mut asked) = held_back().await;
    let link = connected(address).await;
    (1..=32).for_each(|tag| say(&link.outbox, Kind::RPC, tag));
    let client_in = soon(ended.recv()).await;
    assert!(matches!(client_in, Some(Note::ClientIn(..))));
    drop(link.outbox);
    let out = soon(ended.recv()).await;
    assert!(matches!(out, Some(Note::ClientOut(_, None, 32))), "its going, with all that nobody took");
    assert!(matches!(soon(asked.recv()).await, Some(Note::Stop)), "what had filled the channel");
    // The door's task ends with its client: after that it asks nothing.
    drop(client_in);
    assert!(soon(link.writer).await.is_ok());
    assert!(asked.try_recv().is_err());
}

/// A cancel goes ahead of calls that are held back; the one that it withdraws is never asked.
#[tokio::test]
async fn a_cancel_goes_ahead_and_takes_its_call_along() {
    let (address, mut ended, mut asked) = held_back().await;
    let link = connected(address).await;
    say(&link.outbox, Kind::RPC, 1);
    say(&link.outbox, Kind::RPC, 2);
    say(&link.outbox, Kind::CANCEL, 1);
    say(&link.outbox, Kind::CANCEL, 7);
    // Kept: with the last outbox the connection would end.
    let client_in = soon(ended.recv()).await;
    assert!(matches!(client_in, Some(Note::ClientIn(..))));
    let met = soon(ended.recv()).await;
    assert!(matches!(met, Some(Note::Cancel(_, 1, None))), "it met its call here");
    let ahead = soon(ended.recv()).await;
    assert!(matches!(ahead, Some(Note::Cancel(_, 7, Some(0)))), "nothing was passed on before it");
    assert!(matches!(soon(asked.recv()).await, Some(Note::Stop)));
    let Some(Note::Client(_, _, frame)) = soon(asked.recv()).await else { panic!("no call") };
    assert_eq!(frame.get_int(Field::TAG).unwrap(), 2);
}

/// One that overtakes its call in the channel meets it there, and no later one under the same tag.
#[tokio::test]
async fn a_cancel_that_overtakes_its_call_meets_that_one_alone() {
    let (address, mut ended, _asked) = held_back().await;
    let _link = connected(address).await;
    let Some(Note::ClientIn(_, mut client)) = soon(ended.recv()).await else { panic!("nobody") };
    assert!(client.withdraws(5, 0), "nothing is on its way");
    assert!(!client.takes(Some(5)));
    // Of the three that are on their way the second is withdrawn; two more come after the cancel.
    assert!(client.withdraws(6, 4));
    let taken = [Some(5), Some(6), None, Some(6), Some(6)].map(|tag| client.takes(tag));
    assert_eq!(taken, [false, true, false, false, false]);
    // What one client may have the scheduler remember is bounded.
    assert_eq!((1..).take_while(|tag| client.withdraws(*tag, 1_000_000)).count(), 4096);
}
