use std::collections::VecDeque;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use curlewpoint_wire::{Codec, Frame, HEAD_BYTES};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

const QUEUED: u8 = 0;
const BEGUN: u8 = 1;
const TAKEN_BACK: u8 = 2;

/// Follows one frame: queued, begun (a byte of it may have been handed to the kernel) or taken back.
#[derive(Clone, Debug, Default)]
pub struct Ticket(Arc<AtomicU8>);

impl Ticket {
    fn step(&self, from: u8, to: u8) -> bool {
        self.0.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// True: not one byte was, or ever will be, handed to the kernel.
    pub fn take_back(&self) -> bool {
        self.step(QUEUED, TAKEN_BACK) || self.0.load(Ordering::Acquire) == TAKEN_BACK
    }
}

/// What an outbox holds: its front is gathered with those of others, its body may be written from where it lies.
pub trait Parcel: Send + 'static {
    fn size(&self) -> usize;
    fn front(&self, dst: &mut BytesMut);
    fn body(self) -> Bytes;
}

impl Parcel for Frame {
    fn size(&self) -> usize {
        self.body.len() + self.head().len() + HEAD_BYTES
    }

    fn front(&self, dst: &mut BytesMut) {
        Codec::front(self, dst);
    }

    fn body(self) -> Bytes {
        self.body
    }
}

/// Bytes of another protocol, already as they are to be written.
impl Parcel for Bytes {
    fn size(&self) -> usize {
        self.len()
    }

    fn front(&self, _dst: &mut BytesMut) {}

    fn body(self) -> Bytes {
        self
    }
}

struct Item<P> {
    frame: P,
    ticket: Option<Ticket>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendError {
    /// The peer does not read as fast as it is written to.
    Full,
    Closed,
}

/// What waits to be written on a connection, bounded in frames and in bytes. Dropping the last one ends the
/// connection once all is written.
#[derive(Clone, Debug)]
pub struct Outbox<P = Frame> {
    items: mpsc::Sender<Item<P>>,
    bytes: Arc<AtomicUsize>,
    most_bytes: usize,
}

impl<P: Parcel> Outbox<P> {
    pub(crate) fn new(most_frames: usize, most_bytes: usize) -> (Outbox<P>, Inside<P>) {
        let (items, taken) = mpsc::channel(most_frames);
        let bytes = Arc::new(AtomicUsize::new(0));
        (Outbox { items, bytes: Arc::clone(&bytes), most_bytes }, Inside { taken, bytes })
    }

    /// Queues a frame. One frame is taken whatever its size while nothing else waits.
    pub fn send(&self, frame: P, ticket: Option<Ticket>) -> Result<(), SendError> {
        let size = frame.size();
        let before = self.bytes.fetch_add(size, Ordering::AcqRel);
        if before > 0 && before + size > self.most_bytes {
            self.bytes.fetch_sub(size, Ordering::AcqRel);
            return Err(SendError::Full);
        }
        self.items.try_send(Item { frame, ticket }).map_err(|e| {
            self.bytes.fetch_sub(size, Ordering::AcqRel);
            match e {
                mpsc::error::TrySendError::Full(_) => SendError::Full,
                mpsc::error::TrySendError::Closed(_) => SendError::Closed,
            }
        })
    }
}

/// The writer's side of an outbox.
pub(crate) struct Inside<P> {
    taken: mpsc::Receiver<Item<P>>,
    bytes: Arc<AtomicUsize>,
}

/// Frames are gathered up to this size before they are written; a larger body is written from where it lies.
const BATCH: usize = 64 * 1024;
const LARGE: usize = 16 * 1024;

/// Writes until the outbox is dropped or the connection breaks. After an error the tickets of frames that had no
/// byte written are queued again, so that whoever asks next can take them back.
pub(crate) async fn write_all<P: Parcel>(
    mut inside: Inside<P>, mut to: impl AsyncWrite + Unpin, limit: Duration,
) -> std::io::Result<()> {
    let mut parts: VecDeque<Bytes> = VecDeque::new();
    while let Some(first) = inside.taken.recv().await {
        let (mut small, mut begun, mut length, mut freed) = (BytesMut::new(), Vec::new(), 0, 0);
        let mut next = Some(first);
        while let Some(Item { frame, ticket }) = next {
            let size = frame.size();
            freed += size;
            if ticket.as_ref().is_none_or(|t| t.step(QUEUED, BEGUN)) {
                begun.extend(ticket.map(|t| (length, t)));
                length += size;
                frame.front(&mut small);
                let body = frame.body();
                if body.len() < LARGE {
                    small.extend_from_slice(&body);
                } else {
                    parts.push_back(small.split().freeze());
                    parts.push_back(body);
                }
            }
            next = if length < BATCH { inside.taken.try_recv().ok() } else { None };
        }
        parts.push_back(small.freeze());
        let mut written = 0;
        while let Some(mut part) = parts.pop_front() {
            while !part.is_empty() {
                match timeout(limit, to.write_buf(&mut part)).await.unwrap_or(Err(ErrorKind::TimedOut.into()))
                {
                    Ok(n) if n > 0 => written += n,
                    ended => {
                        for (_, ticket) in begun.iter().filter(|(start, _)| *start >= written) {
                            ticket.step(BEGUN, QUEUED);
                        }
                        inside.taken.close();
                        return Err(ended.err().unwrap_or_else(|| ErrorKind::WriteZero.into()));
                    }
                }
            }
        }
        inside.bytes.fetch_sub(freed, Ordering::AcqRel);
    }
    to.shutdown().await
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewpoint_wire::{Field, Kind};
    use std::io;
    use std::pin::Pin;
    use std::task::{Context, Poll};

    const LIMIT: Duration = Duration::from_secs(5);

    /// Takes so many bytes and then breaks.
    struct Breaks(usize, Vec<u8>);

    impl AsyncWrite for Breaks {
        fn poll_write(mut self: Pin<&mut Self>, _: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
            let n = buf.len().min(self.0 - self.1.len()).min(7);
            if n == 0 {
                return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
            }
            self.1.extend_from_slice(&buf[..n]);
            Poll::Ready(Ok(n))
        }
        fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
            Poll::Ready(Ok(()))
        }
        fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
            Poll::Ready(Ok(()))
        }
    }

    fn frame() -> Frame {
        Frame::new(Kind::CALL_OUT).int(Field::TAG, 7).body(vec![1; 20])
    }

    /// Guards against calling out anew for what may have run: wherever a connection breaks, exactly the frames
    /// with no byte written can be taken back.
    #[tokio::test]
    async fn wherever_it_breaks_only_untouched_frames_can_be_taken_back() {
        let size = HEAD_BYTES + frame().head().len() + 20;
        for broken_at in 0..=3 * size {
            let (outbox, inside) = Outbox::new(8, 1 << 20);
            let tickets: Vec<Ticket> = (0..3).map(|_| Ticket::default()).collect();
            tickets.iter().for_each(|t| outbox.send(frame(), Some(t.clone())).unwrap());
            drop(outbox);
            let whole = write_all(inside, Breaks(broken_at, Vec::new()), LIMIT).await.is_ok();
            assert_eq!(whole, broken_at == 3 * size);
            for (no, ticket) in tickets.iter().enumerate() {
                assert_eq!(ticket.take_back(), broken_at <= no * size, "frame {no}, broken at {broken_at}");
            }
        }
    }

    #[tokio::test]
    async fn what_was_taken_back_is_never_written() {
        let (outbox, inside) = Outbox::new(8, 1 << 20);
        let ticket = Ticket::default();
        outbox.send(frame(), Some(ticket.clone())).unwrap();
        assert!(ticket.take_back());
        drop(outbox);
        let mut to = Vec::new();
        write_all(inside, &mut to, LIMIT).await.unwrap();
        assert!(to.is_empty());
    }

    #[test]
    fn an_outbox_is_bounded_in_frames_and_in_bytes() {
        let (outbox, _inside) = Outbox::new(2, 1 << 20);
        let sent: Vec<_> = (0..3).map(|_| outbox.send(frame(), None)).collect();
        assert_eq!(sent, [Ok(()), Ok(()), Err(SendError::Full)]);
        let (outbox, _inside) = Outbox::new(9, 100);
        let large = || Frame::new(Kind::CALL_OUT).body(vec![1; 500]);
        assert_eq!(outbox.send(large(), None), Ok(()), "alone it is taken whatever its size");
        assert_eq!(outbox.send(large(), None), Err(SendError::Full));
    }
}
