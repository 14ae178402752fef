use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use curlewpoint_wire::{Codec, Frame, PREFIX_BYTES};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};
use tracing::info;

use crate::metrics::METRICS;

const QUEUED: u8 = 0;
const BEGUN: u8 = 1;
const TAKEN_BACK: u8 = 2;
/// Taken back while it was being handed to the kernel: nobody waits for it, and it may have been begun.
const UNWANTED: u8 = 3;

/// Follows one frame: queued, begun (a byte of it may have been handed to the kernel) or taken back.
#[derive(Clone, Debug, Default)]
pub struct Ticket(Arc<AtomicU8>);

impl Ticket {
    fn step(&self, from: u8, to: u8) -> bool {
        self.0.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// True: not one byte was, or ever will be, handed to the kernel.
    pub fn withdraw(&self) -> bool {
        let back = self.step(QUEUED, TAKEN_BACK) || self.0.load(Ordering::Acquire) == TAKEN_BACK;
        if !back {
            self.step(BEGUN, UNWANTED);
        }
        back
    }

    /// The same for one that may finish once it is begun: true, or false with nothing changed.
    pub fn withdraw_if_queued(&self) -> bool {
        self.step(QUEUED, TAKEN_BACK) || self.0.load(Ordering::Acquire) == TAKEN_BACK
    }

    fn is_unwanted(&self) -> bool {
        self.0.load(Ordering::Acquire) == UNWANTED
    }

    /// Not a byte of it was taken after all: it is queued again, or dropped where nobody waits for it any more.
    fn unbegin(&self) {
        if !self.step(BEGUN, QUEUED) {
            self.step(UNWANTED, TAKEN_BACK);
        }
    }
}

/// What an outbox holds: its front is gathered with those of others, its body may be written from where it lies.
pub trait OutboxMessage: Send + 'static {
    fn encoded_len(&self) -> usize;
    fn encode_header(&self, dst: &mut BytesMut);
    fn body(&self) -> Bytes;
}

impl OutboxMessage for Frame {
    fn encoded_len(&self) -> usize {
        self.body.len() + self.header().len() + PREFIX_BYTES
    }

    fn encode_header(&self, dst: &mut BytesMut) {
        Codec::encode_header(self, dst);
    }

    fn body(&self) -> Bytes {
        self.body.clone()
    }
}

/// Bytes of another protocol, already as they are to be written.
impl OutboxMessage for Bytes {
    fn encoded_len(&self) -> usize {
        self.len()
    }

    fn encode_header(&self, _dst: &mut BytesMut) {}

    fn body(&self) -> Bytes {
        self.clone()
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

impl<P: OutboxMessage> Outbox<P> {
    pub(crate) fn new(most_frames: usize, most_bytes: usize) -> (Outbox<P>, Inside<P>) {
        let (items, taken) = mpsc::channel(most_frames);
        let bytes = Arc::new(AtomicUsize::new(0));
        (Outbox { items, bytes: Arc::clone(&bytes), most_bytes }, Inside { taken, bytes })
    }

    /// Queues a frame. One frame is taken whatever its size while nothing else waits.
    pub fn send(&self, frame: P, ticket: Option<Ticket>) -> Result<(), SendError> {
        let size = frame.encoded_len();
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

/// Frames are gathered up to this size for one write; a larger body is written from where it lies.
const BATCH: usize = 64 * 1024;
const LARGE: usize = 16 * 1024;

/// From its first byte to its last a frame takes as long as one write, unless the peer reads too slowly. Longer than this is
/// logged, as what was due to go out by then has not.
pub const SLOW_FRAME_MS: u64 = 100;

/// Counts a write of which the kernel took a part only; the first is logged.
fn note_short_write(taken: usize, of: usize) {
    if taken < of && METRICS.short_writes.is_first() {
        info!(taken, of, "a write was cut short, said once");
    }
}

/// What the writer has taken out of its outbox.
struct Taken<P> {
    /// Not begun: each may still be taken back, however long the peer takes nothing.
    queued: VecDeque<Item<P>>,
    /// What is left of the one frame that was begun and not finished, and what its outbox counts it for.
    rest: VecDeque<Bytes>,
    rest_size: usize,
    /// When the first byte of that frame was written, and its ticket.
    begun: Option<Instant>,
    rest_ticket: Option<Ticket>,
}

impl<P: OutboxMessage> Taken<P> {
    fn new() -> Taken<P> {
        Taken { queued: VecDeque::new(), rest: VecDeque::new(), rest_size: 0, begun: None, rest_ticket: None }
    }

    /// Notes that a frame is written in part, or no frame is any more.
    fn note_progress(&mut self) {
        if !self.rest.is_empty() {
            self.begun.get_or_insert_with(Instant::now);
            return;
        }
        let Some(begun) = self.begun.take() else { return };
        let took = begun.elapsed().as_millis() as u64;
        METRICS.slowest_frame_ms.raise_to(took);
        if took > SLOW_FRAME_MS {
            METRICS.slow_frames.add(1);
            info!(took, "a frame was written in part for so many milliseconds");
        }
    }

    fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.rest.is_empty()
    }

    /// Hands bytes to the kernel once. A frame counts as begun only while the kernel is asked to take it, and where a
    /// byte of it was taken; what it took nothing of is queued again. Guards against frames that were gathered for a peer
    /// that takes nothing: they would go out long after whoever sent them had gone, or after a worker's drain. For the same
    /// reason the rest of a frame that nobody waits for any more is not written: nothing can follow it, and the connection ends.
    fn poll_write(
        &mut self, inside: &mut Inside<P>, to: Pin<&mut impl AsyncWrite>, cx: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let freed = |size| inside.bytes.fetch_sub(size, Ordering::AcqRel);
        if !self.rest.is_empty() && self.rest_ticket.as_ref().is_some_and(Ticket::is_unwanted) {
            METRICS.frames_cut.add(1);
            return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
        }
        if let Some(part) = self.rest.front_mut() {
            let n = ready!(to.poll_write(cx, part))?;
            note_short_write(n, part.len());
            part.advance(n);
            if part.is_empty() {
                self.rest.pop_front();
            }
            if self.rest.is_empty() {
                freed(std::mem::take(&mut self.rest_size));
            }
            return Poll::Ready(if n > 0 { Ok(()) } else { Err(ErrorKind::WriteZero.into()) });
        }
        let (mut small, mut starts, mut large) = (BytesMut::new(), Vec::new(), None);
        while small.len() < BATCH && large.is_none() {
            if self.queued.len() == starts.len() {
                let Ok(more) = inside.taken.try_recv() else { break };
                self.queued.push_back(more);
            }
            let Item { frame, ticket } = &self.queued[starts.len()];
            if ticket.as_ref().is_some_and(|t| !t.step(QUEUED, BEGUN)) {
                freed(frame.encoded_len());
                self.queued.remove(starts.len());
                continue;
            }
            starts.push(small.len());
            frame.encode_header(&mut small);
            let body = frame.body();
            if body.len() < LARGE {
                small.extend_from_slice(&body);
            } else {
                large = Some(body);
            }
        }
        if starts.is_empty() {
            return Poll::Ready(Ok(()));
        }
        // A large body without a front, as of bytes that are already as they are to be written, goes by itself.
        let alone = if small.is_empty() { large.take() } else { None };
        let small = alone.unwrap_or_else(|| small.freeze());
        let asked = to.poll_write(cx, &small);
        let n = match &asked {
            Poll::Ready(Ok(n)) => *n,
            _ => 0,
        };
        if matches!(asked, Poll::Ready(Ok(_))) {
            note_short_write(n, small.len());
        }
        for (start, item) in starts.iter().zip(&self.queued) {
            if *start >= n {
                item.ticket.iter().for_each(Ticket::unbegin);
            }
        }
        for (no, _) in starts.iter().enumerate().take_while(|(_, start)| **start < n) {
            let Some(Item { frame, ticket }) = self.queued.pop_front() else { break };
            let size = frame.encoded_len();
            let end = starts.get(no + 1).copied().unwrap_or(small.len());
            let body = large.take_if(|_| no + 1 == starts.len());
            self.rest.extend((n < end).then(|| small.slice(n..end)).into_iter().chain(body));
            if self.rest.is_empty() {
                freed(size);
            } else {
                (self.rest_size, self.rest_ticket) = (size, ticket);
            }
        }
        match ready!(asked) {
            Ok(0) => Poll::Ready(Err(ErrorKind::WriteZero.into())),
            Ok(_) => Poll::Ready(Ok(())),
            Err(e) => Poll::Ready(Err(e)),
        }
    }
}

/// Writes until the outbox is dropped or the connection breaks. After that the tickets of frames that had no byte
/// written can be taken back.
pub(crate) async fn write_all<P: OutboxMessage>(
    mut inside: Inside<P>, mut to: impl AsyncWrite + Unpin, limit: Duration,
) -> std::io::Result<()> {
    let mut taken = Taken::new();
    loop {
        if taken.is_empty() {
            let Some(first) = inside.taken.recv().await else { return to.shutdown().await };
            taken.queued.push_back(first);
        }
        let write = poll_fn(|cx| taken.poll_write(&mut inside, Pin::new(&mut to), cx));
        if let Err(why) = timeout(limit, write).await.unwrap_or(Err(ErrorKind::TimedOut.into())) {
            inside.taken.close();
            return Err(why);
        }
        taken.note_progress();
    }
}

#[cfg(test)]
mod tests;
