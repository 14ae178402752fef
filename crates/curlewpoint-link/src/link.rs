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

use crate::metrics::METRICS;
use crate::outbox::{write_all, Outbox, OutboxMessage};
use crate::socket::{is_local_error, linger, LINGER_LIMITS};
use crate::stream::{split, ReadHalf, WriteHalf};

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// The longest frame that is accepted, in bytes.
    pub max_frame_bytes: usize,
    /// Frames and bytes that may wait to be written.
    pub max_outbox: (usize, usize),
    /// Time within which the peer has to send its hello.
    pub hello_timeout: Duration,
    /// A connection is closed if the peer accepts no byte for this long.
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

/// The frames of a connection in order of arrival. Cancelling `next` while it waits loses nothing.
pub type Reader = FramedRead<ReadHalf, Codec>;

/// A connection after the handshake.
pub struct Link {
    /// The instance name that the peer gave in its hello.
    pub peer: String,
    pub outbox: Outbox,
    pub reader: Reader,
    /// Ends once everything is written after the last outbox was dropped, or when the connection breaks.
    pub writer: JoinHandle<std::io::Result<()>>,
}

/// Accept backlog; the system's own limit applies if it is lower.
const BACKLOG: u32 = 16_384;

/// Listens with the longest accept queue that the system allows: if it overflows, clients that connect at the same
/// time wait a second before TCP retries.
pub fn listen(address: &str) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Attempts to listen while they fail with a local error, and the pause between them.
const LISTEN_ATTEMPTS: u32 = 50;
const LISTEN_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Like [`listen`], but retries local errors for a second, so that a passing shortage does not fail a start.
pub async fn listen_with_retry(address: &str) -> std::io::Result<TcpListener> {
    for _ in 1..LISTEN_ATTEMPTS {
        match listen(address) {
            Err(error) if is_local_error(&error) => {
                METRICS.local_errors.add(1);
                sleep(LISTEN_RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
    listen(address)
}

/// Starts the task that writes to a connection, for any protocol, and returns its outbox and handle.
pub fn spawn_writer<P: OutboxMessage>(
    write: WriteHalf, limits: LinkLimits,
) -> (Outbox<P>, JoinHandle<std::io::Result<()>>) {
    let (outbox, receiver) = Outbox::new(limits.max_outbox.0, limits.max_outbox.1);
    (outbox, tokio::spawn(write_all(receiver, write, limits.write_timeout).in_current_span()))
}

/// Sends a hello on a new connection and waits for the peer's. If it fails, as for another protocol version, the peer
/// is sent the reason in a FAULT frame.
pub async fn handshake(stream: TcpStream, name: &str, limits: LinkLimits) -> Result<Link, LinkError> {
    // Nagle's algorithm would delay every answer.
    stream.set_nodelay(true).map_err(WireError::from)?;
    let (read, write) = split(stream);
    let mut reader = FramedRead::new(read, Codec { max_frame_bytes: limits.max_frame_bytes });
    let (outbox, writer) = spawn_writer(write, limits);
    let hello = Frame::new(Kind::HELLO).int(Field::VERSION, VERSION).text(Field::INSTANCE, name);
    let _ = outbox.send(hello, None);
    let first = tokio::time::timeout(limits.hello_timeout, reader.next()).await;
    let peer = match first {
        Err(_) => Err(LinkError::NoHello(limits.hello_timeout)),
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
    match peer {
        Ok(peer) => Ok(Link { peer, outbox, reader, writer }),
        Err(error) => {
            let _ = outbox.send(Frame::new(Kind::FAULT).text(Field::REASON, &error.to_string()), None);
            drop(outbox);
            // Flush, shut down, then read to the end: otherwise a peer that is still sending may get a reset instead
            // of the FAULT frame.
            tokio::spawn(async move {
                let _ = writer.await;
                linger(reader.get_mut(), LINGER_LIMITS.0, LINGER_LIMITS.1).await;
            });
            Err(error)
        }
    }
}
