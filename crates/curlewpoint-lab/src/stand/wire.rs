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
pub enum Heard {
    /// A scheduler has said hello: its name, and the way to it.
    Hello(PeerId, String, mpsc::UnboundedSender<Say>),
    Frame(PeerId, Frame),
    Gone(PeerId),
}

/// What is said on one.
pub enum Say {
    Frame(Frame),
    /// The first half of a frame, and the end of the connection.
    Half(Frame),
    End,
}

/// Serves a stand-in's connections until it is dropped; with it they all end at once, as when a process dies.
pub struct Door {
    _tasks: JoinSet<()>,
}

impl Door {
    /// While `mute` holds, what peers send is not read.
    pub fn open(
        listener: TcpListener, name: String, heard: mpsc::UnboundedSender<Heard>, mute: watch::Receiver<bool>,
    ) -> Door {
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let (mut peers, mut next) = (JoinSet::new(), 0);
            while let Ok((stream, _)) = listener.accept().await {
                next += 1;
                peers.spawn(serve(PeerId(next), stream, name.clone(), heard.clone(), mute.clone()));
                while peers.try_join_next().is_some() {}
            }
        });
        Door { _tasks: tasks }
    }
}

const MOST: usize = 64 << 20;

async fn serve(
    id: PeerId, stream: TcpStream, name: String, heard: mpsc::UnboundedSender<Heard>,
    mut mute: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut codec = Codec { max_frame_bytes: MOST };
    let mut frames = FramedRead::new(read, codec);
    let mut bytes = BytesMut::new();
    let hello = Frame::new(Kind::HELLO).int(Field::VERSION, VERSION).text(Field::INSTANCE, &name);
    let _ = codec.encode(hello, &mut bytes);
    if write.write_all(&bytes).await.is_err() {
        return;
    }
    let Some(Ok(hello)) = frames.next().await else { return };
    let peer = hello.get_text(Field::INSTANCE).unwrap_or("?").to_owned();
    let (say, mut said) = mpsc::unbounded_channel();
    let _ = heard.send(Heard::Hello(id, peer, say));
    loop {
        let muted = *mute.borrow_and_update();
        tokio::select! {
            next = frames.next(), if !muted => match next {
                Some(Ok(frame)) => {
                    let _ = heard.send(Heard::Frame(id, frame));
                }
                _ => break,
            },
            changed = mute.changed() => if changed.is_err() { break },
            say = said.recv() => {
                bytes.clear();
                let (frame, half) = match say {
                    Some(Say::Frame(frame)) => (frame, false),
                    Some(Say::Half(frame)) => (frame, true),
                    Some(Say::End) | None => break,
                };
                let _ = codec.encode(frame, &mut bytes);
                let upto = if half { bytes.len() / 2 } else { bytes.len() };
                if write.write_all(&bytes[..upto]).await.is_err() || half {
                    break;
                }
            }
        }
    }
    let _ = heard.send(Heard::Gone(id));
}
