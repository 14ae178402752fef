//! The two halves of a TCP connection, on which a call that is interrupted or cut short says nothing of what comes next.
//!
//! tokio's own halves take a read or write cut short as proof that the socket has no more to give or take, and wait for the
//! driver's next event; where the call was cut short for another reason that event may never come. Here readiness is given up
//! only when the kernel says `EWOULDBLOCK`. And a call interrupted by a signal is made again.

use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use rustix::net::Shutdown;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tracing::info;

use crate::metrics::METRICS;

/// A call interrupted so often in a row is made again only after other tasks had their turn.
const MOST_INTERRUPTS: usize = 16;

/// The half that reads.
#[derive(Debug)]
pub struct ReadHalf(Arc<TcpStream>);

/// The half that writes; dropping it shuts down that direction.
#[derive(Debug)]
pub struct WriteHalf(Arc<TcpStream>);

/// Splits a connection into its two halves.
pub fn split(stream: TcpStream) -> (ReadHalf, WriteHalf) {
    let stream = Arc::new(stream);
    (ReadHalf(Arc::clone(&stream)), WriteHalf(stream))
}

/// Makes a call until it is neither interrupted nor would block.
fn persist<T>(
    cx: &mut Context<'_>, mut ready: impl FnMut(&mut Context<'_>) -> Poll<Result<()>>,
    mut call: impl FnMut() -> Result<T>,
) -> Poll<Result<T>> {
    for _ in 0..MOST_INTERRUPTS {
        ready!(ready(cx))?;
        match call() {
            Err(why) if why.kind() == ErrorKind::Interrupted => {
                if METRICS.interrupted.is_first() {
                    info!("a read or write was interrupted, said once");
                }
            }
            Err(why) if why.kind() == ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

impl AsyncRead for ReadHalf {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let stream = &self.0;
        let read =
            persist(cx, |cx| stream.poll_read_ready(cx), || stream.try_read(buf.initialize_unfilled()));
        let n = ready!(read)?;
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WriteHalf {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let stream = &self.0;
        persist(cx, |cx| stream.poll_write_ready(cx), || stream.try_write(bytes))
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
