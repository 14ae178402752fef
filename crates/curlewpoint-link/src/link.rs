use std::net::SocketAddr;
use std::time::Duration;

use curlewpoint_wire::{Codec, Field, Frame, Kind, WireError, VERSION};
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;
use tracing::Instrument;

use crate::ending::{is_local_error, linger, LINGER_LIMITS};
use crate::metrics::METRICS;
use crate::outbox::{write_all, Outbox, OutboxMessage};
use crate::stream::{split, ReadHalf, WriteHalf};

/// What a connection may take.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// The longest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Frames and bytes that may wait to be written.
    pub max_outbox: (usize, usize),
    /// How long the peer may take for its hello.
    pub hello_timeout: Duration,
    /// A peer that takes not a byte for so long is cut off.
    pub write_timeout: Duration,
}

impl Default for LinkLimits {
    fn default() -> Self {
        LinkLimits {
            max_frame_bytes: 17 << 20,
            max_outbox: (1024, 32 << 20),
            hello_timeout: Duration::from_secs(2),
            write_timeout: Duration::from_secs(10),
        }
    }
}

#[derive(Debug, Error)]
pub enum LinkError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("no hello within {0:?}")]
    NoHello(Duration),
    #[error("the peer speaks version {0}, this is {VERSION}")]
    Version(u64),
    #[error("the peer says: {0}")]
    Fault(String),
    #[error("the first frame was of kind {0}, not a hello")]
    NotHello(u16),
    #[error("the connection ended before the hello")]
    Ended,
}

/// Frames as they come; `next` loses nothing when its wait is cancelled.
pub type Reader = FramedRead<ReadHalf, Codec>;

/// A connection after both hellos.
pub struct Link {
    /// What the peer calls itself.
    pub peer: String,
    pub outbox: Outbox,
    pub reader: Reader,
    /// Ends when all is written after the last outbox was dropped, or when the connection breaks.
    pub writer: JoinHandle<std::io::Result<()>>,
}

/// The system's own limit holds where it is lower.
const BACKLOG: u32 = 16_384;

/// Listens with as long a queue as the system allows: where it overflows, clients that come at once wait a second each
/// for their next try.
pub fn listen(address: &str) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Tries to listen, and the pause between them, where something on this side lacks for a moment.
const LISTEN_TRIES: u32 = 50;
const LISTEN_PAUSE: Duration = Duration::from_millis(20);

/// The same, tried again where something on this side lacks for a moment: a start does not fail for it.
pub async fn listen_with_retry(address: &str) -> std::io::Result<TcpListener> {
    for _ in 1..LISTEN_TRIES {
        match listen(address) {
            Err(why) if is_local_error(&why) => {
                METRICS.local_errors.add(1);
                sleep(LISTEN_PAUSE).await;
            }
            done => return done,
        }
    }
    listen(address)
}

/// The outbox of a connection, whatever is spoken on it, and the task that writes.
pub fn spawn_writer<P: OutboxMessage>(
    write: WriteHalf, bounds: LinkLimits,
) -> (Outbox<P>, JoinHandle<std::io::Result<()>>) {
    let (outbox, inside) = Outbox::new(bounds.max_outbox.0, bounds.max_outbox.1);
    (outbox, tokio::spawn(write_all(inside, write, bounds.write_timeout).in_current_span()))
}

/// Says hello on a new connection and waits for the peer's. A peer of another version is told so.
pub async fn handshake(stream: TcpStream, name: &str, bounds: LinkLimits) -> Result<Link, LinkError> {
    // A delay for the sake of fuller packets would add to every answer.
    stream.set_nodelay(true).map_err(WireError::from)?;
    let (read, write) = split(stream);
    let mut reader = FramedRead::new(read, Codec { max_frame_bytes: bounds.max_frame_bytes });
    let (outbox, writer) = spawn_writer(write, bounds);
    let hello = Frame::new(Kind::HELLO).int(Field::VERSION, VERSION).text(Field::INSTANCE, name);
    let _ = outbox.send(hello, None);
    let first = tokio::time::timeout(bounds.hello_timeout, reader.next()).await;
    let told = match first {
        Err(_) => Err(LinkError::NoHello(bounds.hello_timeout)),
        Ok(None) => Err(LinkError::Ended),
        Ok(Some(Err(e))) => Err(e.into()),
        Ok(Some(Ok(f))) if f.kind == Kind::FAULT => {
            Err(LinkError::Fault(f.get_text(Field::REASON).unwrap_or("nothing").to_owned()))
        }
        Ok(Some(Ok(f))) if f.kind != Kind::HELLO => Err(LinkError::NotHello(f.kind.0)),
        Ok(Some(Ok(f))) => match f.get_int(Field::VERSION) {
            Ok(VERSION) => Ok(f.maybe_text(Field::INSTANCE)?.unwrap_or("").to_owned()),
            Ok(other) => Err(LinkError::Version(other)),
            Err(e) => Err(e.into()),
        },
    };
    match told {
        Ok(peer) => Ok(Link { peer, outbox, reader, writer }),
        Err(why) => {
            let _ = outbox.send(Frame::new(Kind::FAULT).text(Field::REASON, &why.to_string()), None);
            drop(outbox);
            // Flushed and shut, then read to its end: a peer that sends on would not read why else.
            tokio::spawn(async move {
                let _ = writer.await;
                linger(reader.get_mut(), LINGER_LIMITS.0, LINGER_LIMITS.1).await;
            });
            Err(why)
        }
    }
}
