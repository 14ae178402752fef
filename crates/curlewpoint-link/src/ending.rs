use std::io::Error;
use std::time::Duration;

use rustix::io::Errno;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::debug;

use crate::metrics::METRICS;

/// What is still read, and for how long, from a peer that was answered and shut off.
pub const LINGER_LIMITS: (Duration, usize) = (Duration::from_millis(300), 256 * 1024);

/// Reads to the end what a peer still sends after our side was shut down, up to a time and so many bytes. A socket that
/// is closed with unread bytes in it is reset, which destroys what was written before and not yet read over there.
/// Harms little where the peer never closes: the descriptor is held for the time given.
pub async fn linger(from: &mut (impl AsyncRead + Unpin), at_most: Duration, most_bytes: usize) {
    let mut sink = [0; 4096];
    let mut left = most_bytes;
    let _ = timeout(at_most, async {
        while let Ok(n) = from.read(&mut sink).await {
            if n == 0 || n >= left {
                return;
            }
            left -= n;
        }
    })
    .await;
}

/// Whether a connection could not be made for want of something on this side, as of descriptors, ports or a route, or was
/// interrupted: it says nothing of the peer.
pub fn is_local_error(why: &Error) -> bool {
    let ours = [
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
    why.raw_os_error().is_some_and(|no| ours.iter().any(|e| e.raw_os_error() == no))
}

/// Whether an accept failed for a connection that has ended meanwhile, or was interrupted: the next may follow at once.
pub fn is_transient_accept_error(why: &Error) -> bool {
    let passing = [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::PROTO,
        Errno::NETDOWN,
        Errno::HOSTUNREACH,
        Errno::NETUNREACH,
    ];
    why.raw_os_error().is_some_and(|no| passing.iter().any(|e| e.raw_os_error() == no))
}

/// Pauses between tries of a dial that failed for want of something on this side.
const DIAL_PAUSES_MS: [u64; 4] = [2, 5, 10, 20];

/// Opens a connection. What fails for want of something on this side for a moment is tried again a few times; the caller bounds
/// the whole.
pub async fn dial(address: &str) -> std::io::Result<TcpStream> {
    for pause in DIAL_PAUSES_MS.map(Duration::from_millis) {
        match TcpStream::connect(address).await {
            Err(why) if is_local_error(&why) => {
                METRICS.local_errors.add(1);
                debug!("dialled again: {why}");
                sleep(pause).await;
            }
            done => return done,
        }
    }
    TcpStream::connect(address).await
}
