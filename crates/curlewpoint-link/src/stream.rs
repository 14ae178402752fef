//! The read and write halves of a TCP connection, which draw no conclusion from a short or interrupted call.
//!
//! tokio's own halves take a short read or write as proof that the socket is drained or full, and wait for the I/O
//! driver's next event. If the call was short for another reason, that event may never come. These halves give up
//! readiness only when the kernel returns `EWOULDBLOCK`, and retry a call that was interrupted by a signal.

use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::Shutdown;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tracing::info;

use crate::metrics::METRICS;

/// Attempts at a call within one poll; after that the task yields, so that other tasks can run.
const MAX_CALLS_PER_POLL: usize = 16;

/// The read half.
#[derive(Debug)]
pub struct ReadHalf(Arc<TcpStream>);

/// The write half; dropping it shuts down that direction.
#[derive(Debug)]
pub struct WriteHalf(Arc<TcpStream>);

/// Splits a connection into its read and write halves.
pub fn split(stream: TcpStream) -> (ReadHalf, WriteHalf) {
    let stream = Arc::new(stream);
    (ReadHalf(Arc::clone(&stream)), WriteHalf(stream))
}

/// Whether the peer has ended a connection, however much that it sent before is unread.
pub fn is_ended_by_peer(stream: &TcpStream) -> bool {
    let mut descriptors = [PollFd::new(stream, PollFlags::RDHUP)];
    let polled = poll(&mut descriptors, Some(&Timespec::default()));
    polled.is_ok_and(|count| count > 0)
}

/// Repeats a call until it neither is interrupted nor would block.
fn retry_call<T>(
    cx: &mut Context<'_>, mut ready: impl FnMut(&mut Context<'_>) -> Poll<Result<()>>,
    mut call: impl FnMut() -> Result<T>,
) -> Poll<Result<T>> {
    for _ in 0..MAX_CALLS_PER_POLL {
        ready!(ready(cx))?;
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {
                if METRICS.interrupted.add_is_first() {
                    info!("a read or write was interrupted by a signal; logged once");
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

impl ReadHalf {
    /// Whether the peer has ended the connection, however much that it sent before is unread.
    pub fn is_ended_by_peer(&self) -> bool {
        is_ended_by_peer(&self.0)
    }

    /// Waits until something may have arrived, so that no buffer is held until then.
    pub fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.0.poll_read_ready(cx)
    }
}

impl AsyncRead for ReadHalf {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let stream = &self.0;
        let read =
            retry_call(cx, |cx| stream.poll_read_ready(cx), || stream.try_read(buf.initialize_unfilled()));
        let n = ready!(read)?;
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WriteHalf {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let stream = &self.0;
        retry_call(cx, |cx| stream.poll_write_ready(cx), || stream.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(rustix::net::shutdown(&*self.0, Shutdown::Write).map_err(Into::into))
    }
}

impl Drop for WriteHalf {
    fn drop(&mut self) {
        let _ = rustix::net::shutdown(&*self.0, Shutdown::Write);
    }
}
