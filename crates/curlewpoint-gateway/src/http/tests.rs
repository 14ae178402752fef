use super::*;
use std::net::SocketAddr;

use crate::reload::Prepared;
use curlewpoint_catalogue::Releases;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A door before an engine that takes nothing: what ends something comes out first, then what begins something; as many of
/// each wait as is said.
async fn door(room: usize) -> (SocketAddr, mpsc::Receiver<Note>, mpsc::Receiver<Note>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ((endings, ended), (asks, asked)) = (mpsc::channel(room), mpsc::channel(room));
    let text = "name x\nlisten 127.0.0.1:0\nlist 127.0.0.1:9\nmethod m {\n  effect idempotent\n  soft-deadline 1s\n  \
                deadline 2s\n}\n";
    let prepared = Arc::new(Prepared::of(&curlewpoint_config::parse("x", text).unwrap()).unwrap());
    let releases = Releases::new(Arc::clone(&prepared.catalogue), 4, Time(0));
    let now = InForce { release: releases.in_force(), prepared, withdrawn: releases.withdrawn().clone() };
    let (_, in_force) = watch::channel(Arc::new(now));
    let limits = Limits { connections: 8, body: 4096, slow: Duration::from_secs(9), head: 8192 };
    let door = Door::new(in_force, Clock::start(), limits, endings, asks, TaskTracker::new());
    let (no_more, stop) = watch::channel(false);
    tokio::spawn(async move {
        serve(listener, door, stop).await;
        drop(no_more);
    });
    (address, ended, asked)
}

/// No step of a story takes longer.
async fn soon<T>(what: impl std::future::Future<Output = T>) -> T {
    timeout(Duration::from_secs(10), what).await.expect("it never came")
}

async fn asks(address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).await.unwrap();
    let post = "POST /v1/m/x HTTP/1.1\r\nhost: x\r\ncontent-type: application/octet-stream\r\ncontent-length: 1\r\n\r\nb";
    client.write_all(post.as_bytes()).await.unwrap();
    client
}

/// Guards against requests that are taken after their client has gone: its going overtakes them, and who takes one sees
/// that nobody waits for it.
#[tokio::test]
async fn a_going_overtakes_the_request_that_waits_to_be_taken() {
    let (address, mut ended, mut asked) = door(2).await;
    drop(asks(address).await);
    let Some(Note::ClientOut(gone, None, 0)) = soon(ended.recv()).await else { panic!("no going") };
    let Ok(Note::Ask(id, ask)) = asked.try_recv() else { panic!("it went ahead of nothing") };
    assert!(id == gone && ask.reply.is_closed());
}

/// Where there is no room for the word of a going it waits for room; it is not lost.
#[tokio::test]
async fn a_going_is_told_however_full_it_is() {
    let (address, mut ended, mut asked) = door(1).await;
    let (first, second) = (asks(address).await, asks(address).await);
    let mut replies = Vec::new();
    for _ in 0..2 {
        let Some(Note::Ask(_, ask)) = soon(asked.recv()).await else { panic!("no request") };
        replies.push(ask.reply);
    }
    drop((first, second));
    // Both are gone before the one place is free again.
    for reply in &mut replies {
        soon(reply.closed()).await;
    }
    for _ in 0..2 {
        assert!(matches!(soon(ended.recv()).await, Some(Note::ClientOut(_, None, 0))));
    }
}

/// One who finds no room is closed in order, though it has spoken.
#[tokio::test]
async fn one_that_finds_no_room_is_closed_and_not_reset() {
    let (address, _ended, mut asked) = door(16).await;
    let mut within = Vec::new();
    for _ in 0..8 {
        within.push(asks(address).await);
        soon(asked.recv()).await;
    }
    let mut over = asks(address).await;
    assert_eq!(soon(over.read_to_end(&mut Vec::new())).await.expect("closed, not reset"), 0);
}
