//! A made-up peer that sends what no peer should.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use curlewpoint_link::{open, Bounds, Link};
use curlewpoint_wire::{Codec, Field, Frame, Kind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Encoder;

const ANSWER: Duration = Duration::from_secs(2);

fn member(kind: Kind, name: &str, run: u64) -> Frame {
    let f = Frame::new(kind).text(Field::INSTANCE, name).int(Field::RUN, run);
    let f = f.text(Field::ADDRESS, "127.0.0.1:9").int(Field::INCARNATION, 0).int(Field::STATE, 0);
    f.int(Field::DOUBTS, 0)
}

fn join(name: &str, fleet: &str, known: u64) -> Frame {
    member(Kind::JOIN, name, 7).text(Field::FLEET, fleet).int(Field::KNOWN, known)
}

/// Says all this after the hellos, and waits until the other side has ended the connection.
async fn say(at: SocketAddr, name: &str, frames: Vec<Frame>) {
    let Ok(stream) = TcpStream::connect(at).await else { return };
    let Ok(Link { outbox, mut reader, .. }) = open(stream, name, Bounds::default()).await else { return };
    for frame in frames {
        let _ = outbox.send(frame, None);
    }
    let ended = async { while let Some(Ok(_)) = tokio_stream::StreamExt::next(&mut reader).await {} };
    let _ = timeout(ANSWER, ended).await;
}

/// Sends bytes as they are.
async fn raw(at: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(at).await else { return };
    let _ = stream.write_all(bytes).await;
    let mut rest = Vec::new();
    let _ = timeout(ANSWER, stream.read_to_end(&mut rest)).await;
}

/// One after the other: an old version, noise, another fleet, a list from the future, a million members.
pub async fn forge(at: SocketAddr, fleet: &str) {
    let mut bytes = BytesMut::new();
    let hello =
        |version| Frame::new(Kind::HELLO).int(Field::VERSION, version).text(Field::INSTANCE, "forger-1");
    let _ = Codec { most: 1 << 20 }.encode(hello(0), &mut bytes);
    raw(at, &bytes).await;
    bytes.clear();
    let _ = Codec { most: 1 << 20 }.encode(hello(1), &mut bytes);
    bytes.extend_from_slice(&[0xff; 64]);
    raw(at, &bytes).await;
    say(at, "forger-2", vec![join("forger-2", "another", 3)]).await;
    let begins = Frame::new(Kind::LIST).int(Field::EPOCH, u64::MAX).int(Field::LIST_VERSION, 1);
    let gone = Frame::new(Kind::CHANGE).text(Field::WORKER, "w-000").int(Field::STANDING, 2);
    let ends = Frame::new(Kind::LIST_END);
    say(at, "forger-3", vec![join("forger-3", fleet, 1), begins, gone, ends]).await;
    say(at, "forger-4", vec![join("forger-4", fleet, 1_000_000)]).await;
}
