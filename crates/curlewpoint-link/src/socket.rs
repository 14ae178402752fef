use std::future::poll_fn;
use std::io::Error;
use std::pin::Pin;
use std::task::{ready, Poll};
use std::time::Duration;

use rustix::io::Errno;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::debug;

use crate::metrics::METRICS;

/// Time and bytes for which a connection is still read after its last answer was written and its write side shut
/// down.
pub const LINGER_LIMITS: (Duration, usize) = (Duration::from_millis(300), 256 * 1024);

/// Bytes that are read and discarded at once.
const SINK_BYTES: usize = 4096;

/// Reads and discards what a peer still sends after this side was shut down, until the peer closes or a limit is
/// reached. Closing a socket with unread bytes in it sends a reset, which destroys earlier answers that the peer has
/// not read yet. If the peer never closes, the descriptor is held for at most `at_most`.
pub async fn linger(from: &mut (impl AsyncRead + Unpin), at_most: Duration, max_bytes: usize) {
    let mut bytes_left = max_bytes;
    let discarded = poll_fn(|context| loop {
        // On the stack and not in the future, which every connection holds for as long as it lasts.
        let mut sink = [0; SINK_BYTES];
        let mut read = ReadBuf::new(&mut sink);
        let result = ready!(Pin::new(&mut *from).poll_read(context, &mut read));
        let count = read.filled().len();
        if result.is_err() || count == 0 || count >= bytes_left {
            return Poll::Ready(());
        }
        bytes_left -= count;
    });
    let _ = timeout(at_most, discarded).await;
}

/// Whether a connection failed for a reason on this side, such as a lack of descriptors, ports or a route, or because
/// the call was interrupted. Such an error says nothing about the peer.
pub fn is_local_error(error: &Error) -> bool {
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::ADDRNOTAVAIL,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::NETUNREACH,
        Errno::NETDOWN,
        Errno::INTR,
        Errno::AGAIN,
    ];
    error.raw_os_error().is_some_and(|code| local.iter().any(|e| e.raw_os_error() == code))
}

/// Whether an accept failed because that one connection had already ended, or was interrupted: the next accept may
/// follow at once.
pub fn is_transient_accept_error(error: &Error) -> bool {
    let transient = [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::PROTO,
        Errno::NETDOWN,
        Errno::HOSTUNREACH,
        Errno::NETUNREACH,
    ];
    error.raw_os_error().is_some_and(|code| transient.iter().any(|e| e.raw_os_error() == code))
}

/// Pauses between dial attempts that failed with a local error.
const DIAL_RETRY_PAUSES_MS: [u64; 4] = [2, 5, 10, 20];

/// Opens a connection. Local errors, which may pass within moments, are retried a few times; the caller limits the
/// total time.
pub async fn dial(address: &str) -> std::io::Result<TcpStream> {
    for pause in DIAL_RETRY_PAUSES_MS.map(Duration::from_millis) {
        match TcpStream::connect(address).await {
            Err(error) if is_local_error(&error) => {
                METRICS.local_errors.add(1);
                debug!("dial failed with a local error, retrying: {error}");
                sleep(pause).await;
            }
            result => return result,
        }
    }
    TcpStream::connect(address).await
}
