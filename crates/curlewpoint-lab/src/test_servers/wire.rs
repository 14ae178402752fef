//! A stand-in's side of a connection: it can cut one in the middle of a frame, and stop reading.

use bytes::BytesMut;
use curlewpoint_wire::{Codec, Field, Frame, Kind, VERSION};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_stream::StreamExt;
use tokio_util::codec::{Encoder, FramedRead};

/// A connection to a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u64);

/// What comes from one.
pub enum PeerEvent {
    /// A scheduler has said hello: its name, and the way to it.
    Connected(PeerId, String, mpsc::UnboundedSender<Outgoing>),
    Frame(PeerId, Frame),
    Disconnected(PeerId),
}

/// What is said on one.
pub enum Outgoing {
    Frame(Frame),
    /// The first half of a frame, and the end of the connection.
    HalfFrame(Frame),
    Close,
}

/// Serves a stand-in's connections until it is dropped; with it they all end at once, as when a process dies.
pub struct Listener {
    _tasks: JoinSet<()>,
}

impl Listener {
    /// While `muted` holds, what peers send is not read.
    pub fn open(
        listener: TcpListener, name: String, event_tx: mpsc::UnboundedSender<PeerEvent>,
        muted: watch::Receiver<bool>,
    ) -> Listener {
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let (mut peers, mut next) = (JoinSet::new(), 0);
            while let Ok((stream, _)) = listener.accept().await {
                next += 1;
                peers.spawn(serve(PeerId(next), stream, name.clone(), event_tx.clone(), muted.clone()));
                while peers.try_join_next().is_some() {}
            }
        });
        Listener { _tasks: tasks }
    }
}

const MAX_FRAME_BYTES: usize = 64 << 20;

async fn serve(
    id: PeerId, stream: TcpStream, name: String, event_tx: mpsc::UnboundedSender<PeerEvent>,
    mut muted: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut codec = Codec { max_frame_bytes: MAX_FRAME_BYTES };
    let mut frames = FramedRead::new(read, codec);
    let mut bytes = BytesMut::new();
    let hello = Frame::new(Kind::HELLO).int(Field::VERSION, VERSION).text(Field::INSTANCE, &name);
    let _ = codec.encode(hello, &mut bytes);
    if write.write_all(&bytes).await.is_err() {
        return;
    }
    let Some(Ok(hello)) = frames.next().await else { return };
    let peer = hello.get_text(Field::INSTANCE).unwrap_or("?").to_owned();
    let (outgoing_tx, mut outgoing_rx) = mpsc::unbounded_channel();
    let _ = event_tx.send(PeerEvent::Connected(id, peer, outgoing_tx));
    loop {
        let muted_now = *muted.borrow_and_update();
        tokio::select! {
            next = frames.next(), if !muted_now => match next {
                Some(Ok(frame)) => {
                    let _ = event_tx.send(PeerEvent::Frame(id, frame));
                }
                _ => break,
            },
            changed = muted.changed() => if changed.is_err() { break },
            outgoing = outgoing_rx.recv() => {
                bytes.clear();
                let (frame, half) = match outgoing {
                    Some(Outgoing::Frame(frame)) => (frame, false),
                    Some(Outgoing::HalfFrame(frame)) => (frame, true),
                    Some(Outgoing::Close) | None => break,
                };
                let _ = codec.encode(frame, &mut bytes);
                let length = if half { bytes.len() / 2 } else { bytes.len() };
                if write.write_all(&bytes[..length]).await.is_err() || half {
                    break;
                }
            }
        }
    }
    let _ = event_tx.send(PeerEvent::Disconnected(id));
}
