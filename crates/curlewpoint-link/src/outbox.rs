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

// States of a ticket.
const QUEUED: u8 = 0;
/// The kernel may have a byte of the frame.
const BEGUN: u8 = 1;
const WITHDRAWN: u8 = 2;
/// Withdrawn too late: the frame may have been begun, and its sender no longer wants it.
const ABANDONED: u8 = 3;

/// The state of one frame, shared by its sender and the writer.
#[derive(Clone, Debug, Default)]
pub struct Ticket(Arc<AtomicU8>);

impl Ticket {
    fn transition(&self, from: u8, to: u8) -> bool {
        self.0.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Withdraws the frame. Returns true if no byte of it was or will be handed to the kernel; otherwise the writer
    /// abandons what is left of it.
    pub fn withdraw(&self) -> bool {
        let withdrawn = self.transition(QUEUED, WITHDRAWN) || self.0.load(Ordering::Acquire) == WITHDRAWN;
        if !withdrawn {
            self.transition(BEGUN, ABANDONED);
        }
        withdrawn
    }

    /// Like [`Ticket::withdraw`], but a frame that was begun is left to finish.
    pub fn withdraw_if_queued(&self) -> bool {
        self.transition(QUEUED, WITHDRAWN) || self.0.load(Ordering::Acquire) == WITHDRAWN
    }

    /// Whether it was withdrawn before a byte of it was handed to the kernel.
    pub fn is_withdrawn(&self) -> bool {
        self.0.load(Ordering::Acquire) == WITHDRAWN
    }

    fn is_abandoned(&self) -> bool {
        self.0.load(Ordering::Acquire) == ABANDONED
    }

    /// Reverts a frame of which the kernel took no byte: it is queued again, or withdrawn if it was abandoned
    /// meanwhile.
    fn revert_to_queued(&self) {
        if !self.transition(BEGUN, QUEUED) {
            self.transition(ABANDONED, WITHDRAWN);
        }
    }
}

/// A message that an outbox can hold. Heads are copied into a shared write buffer; a large body is written without a
/// copy.
pub trait OutboxMessage: Send + 'static {
    fn encoded_len(&self) -> usize;
    fn encode_header(&self, dst: &mut BytesMut);
    fn body(&self) -> Bytes;
    /// Whether the message may still be sent, asked just before its first byte is. One that may not is withdrawn.
    fn may_begin(&self) -> bool {
        true
    }
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

/// Encoded bytes of another protocol.
impl OutboxMessage for Bytes {
    fn encoded_len(&self) -> usize {
        self.len()
    }

    fn encode_header(&self, _dst: &mut BytesMut) {}

    fn body(&self) -> Bytes {
        self.clone()
    }
}

struct QueuedFrame<P> {
    frame: P,
    ticket: Option<Ticket>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendError {
    /// The limit in frames or in bytes is reached, as when the peer reads too slowly.
    Full,
    Closed,
}

/// The sending side of a connection's write queue, bounded in frames and in bytes. Dropping the last clone ends the
/// connection once everything is written.
#[derive(Clone, Debug)]
pub struct Outbox<P = Frame> {
    queue: mpsc::Sender<QueuedFrame<P>>,
    bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl<P: OutboxMessage> Outbox<P> {
    pub(crate) fn new(max_frames: usize, max_bytes: usize) -> (Outbox<P>, OutboxReceiver<P>) {
        let (queue, frames) = mpsc::channel(max_frames);
        let bytes = Arc::new(AtomicUsize::new(0));
        (Outbox { queue, bytes: Arc::clone(&bytes), max_bytes }, OutboxReceiver { frames, bytes })
    }

    /// Whether everything was written.
    pub fn is_empty(&self) -> bool {
        self.bytes.load(Ordering::Acquire) == 0
    }

    /// Queues a frame. An empty outbox accepts one frame of any size.
    pub fn send(&self, frame: P, ticket: Option<Ticket>) -> Result<(), SendError> {
        let size = frame.encoded_len();
        let before = self.bytes.fetch_add(size, Ordering::AcqRel);
        if before > 0 && before + size > self.max_bytes {
            self.bytes.fetch_sub(size, Ordering::AcqRel);
            return Err(SendError::Full);
        }
        self.queue.try_send(QueuedFrame { frame, ticket }).map_err(|e| {
            self.bytes.fetch_sub(size, Ordering::AcqRel);
            match e {
                mpsc::error::TrySendError::Full(_) => SendError::Full,
                mpsc::error::TrySendError::Closed(_) => SendError::Closed,
            }
        })
    }
}

/// The writer's side of an outbox.
pub(crate) struct OutboxReceiver<P> {
    frames: mpsc::Receiver<QueuedFrame<P>>,
    bytes: Arc<AtomicUsize>,
}

/// Frames are gathered into one write up to this many bytes.
const BATCH_BYTES: usize = 64 * 1024;
/// Bodies of at least this many bytes are written without being copied into the batch.
const LARGE_BODY_BYTES: usize = 16 * 1024;

/// A frame that takes longer to write than this, from first byte to last, is counted and logged. Usually one write
/// takes the whole frame; a longer time means that the peer reads too slowly and later frames are delayed.
pub const SLOW_FRAME_MS: u64 = 100;

/// Counts a write that the kernel accepted only in part; the first one is logged.
fn count_short_write(taken: usize, of: usize) {
    if taken < of && METRICS.short_writes.add_is_first() {
        info!(taken, of, "short write: the kernel accepted only a part; logged once");
    }
}

/// Frames that the writer has taken from its outbox and not yet written.
struct WriteState<P> {
    /// Frames not begun; each can still be withdrawn, however long the peer accepts nothing.
    queued: VecDeque<QueuedFrame<P>>,
    /// The unwritten rest of the one frame that was begun, and that frame, which its outbox counts until it is written.
    rest: VecDeque<Bytes>,
    rest_frame: Option<QueuedFrame<P>>,
    /// When the first byte of that frame was written.
    begun: Option<Instant>,
}

impl<P: OutboxMessage> WriteState<P> {
    fn new() -> WriteState<P> {
        WriteState { queued: VecDeque::new(), rest: VecDeque::new(), rest_frame: None, begun: None }
    }

    /// Starts the timer of a frame that is partly written, or evaluates it once the frame is complete.
    fn track_frame_time(&mut self) {
        if !self.rest.is_empty() {
            self.begun.get_or_insert_with(Instant::now);
            return;
        }
        let Some(begun) = self.begun.take() else { return };
        let took = begun.elapsed().as_millis() as u64;
        METRICS.slowest_frame_ms.raise_to(took);
        if took > SLOW_FRAME_MS {
            METRICS.slow_frames.add(1);
            info!(took, "slow frame write: milliseconds from first byte to last");
        }
    }

    fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.rest.is_empty()
    }

    /// Hands bytes to the kernel once. A frame counts as begun only during the write call, and afterwards if the
    /// kernel took a byte of it; frames of which it took none are queued again. Otherwise frames gathered for a peer
    /// that accepts nothing could no longer be withdrawn, and would go out long after their sender had gone or the
    /// worker had drained. For the same reason the rest of an abandoned frame is not written; as no other frame can
    /// follow a partial one, the connection is closed.
    fn poll_write(
        &mut self, receiver: &mut OutboxReceiver<P>, to: Pin<&mut impl AsyncWrite>, cx: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let release = |size| receiver.bytes.fetch_sub(size, Ordering::AcqRel);
        let rest_ticket = self.rest_frame.as_ref().and_then(|queued| queued.ticket.as_ref());
        if !self.rest.is_empty() && rest_ticket.is_some_and(Ticket::is_abandoned) {
            METRICS.frames_cut.add(1);
            return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
        }
        if let Some(part) = self.rest.front_mut() {
            let n = ready!(to.poll_write(cx, part))?;
            count_short_write(n, part.len());
            part.advance(n);
            if part.is_empty() {
                self.rest.pop_front();
            }
            if self.rest.is_empty() {
                self.rest_frame.take().into_iter().for_each(|queued| {
                    release(queued.frame.encoded_len());
                });
            }
            return Poll::Ready(if n > 0 { Ok(()) } else { Err(ErrorKind::WriteZero.into()) });
        }
        let (mut batch, mut starts, mut large_body) = (BytesMut::new(), Vec::new(), None);
        while batch.len() < BATCH_BYTES && large_body.is_none() {
            if self.queued.len() == starts.len() {
                let Ok(next) = receiver.frames.try_recv() else { break };
                self.queued.push_back(next);
            }
            let QueuedFrame { frame, ticket } = &self.queued[starts.len()];
            if !frame.may_begin() {
                METRICS.expired_frames.add(1);
                ticket.iter().for_each(|ticket| {
                    ticket.withdraw();
                });
                release(frame.encoded_len());
                self.queued.remove(starts.len());
                continue;
            }
            if ticket.as_ref().is_some_and(|t| !t.transition(QUEUED, BEGUN)) {
                release(frame.encoded_len());
                self.queued.remove(starts.len());
                continue;
            }
            starts.push(batch.len());
            frame.encode_header(&mut batch);
            let body = frame.body();
            if body.len() < LARGE_BODY_BYTES {
                batch.extend_from_slice(&body);
            } else {
                large_body = Some(body);
            }
        }
        if starts.is_empty() {
            return Poll::Ready(Ok(()));
        }
        // A large body without a head, as of another protocol's encoded bytes, is written by itself.
        let body_only = if batch.is_empty() { large_body.take() } else { None };
        let is_gathered = body_only.is_none();
        let batch = body_only.unwrap_or_else(|| batch.freeze());
        let written = to.poll_write(cx, &batch);
        let n = match &written {
            Poll::Ready(Ok(n)) => *n,
            _ => 0,
        };
        if matches!(written, Poll::Ready(Ok(_))) {
            count_short_write(n, batch.len());
        }
        for (start, queued) in starts.iter().zip(&self.queued) {
            if *start >= n {
                queued.ticket.iter().for_each(Ticket::revert_to_queued);
            }
        }
        for (index, _) in starts.iter().enumerate().take_while(|(_, start)| **start < n) {
            let Some(queued) = self.queued.pop_front() else { break };
            let end = starts.get(index + 1).copied().unwrap_or(batch.len());
            let body = large_body.take_if(|_| index + 1 == starts.len());
            // A slice would keep the whole batch in memory for as long as the peer reads nothing.
            let rest_of = |part: Bytes| if is_gathered { Bytes::copy_from_slice(&part) } else { part };
            self.rest.extend((n < end).then(|| rest_of(batch.slice(n..end))).into_iter().chain(body));
            if self.rest.is_empty() {
                release(queued.frame.encoded_len());
            } else {
                self.rest_frame = Some(queued);
            }
        }
        match ready!(written) {
            Ok(0) => Poll::Ready(Err(ErrorKind::WriteZero.into())),
            Ok(_) => Poll::Ready(Ok(())),
            Err(e) => Poll::Ready(Err(e)),
        }
    }
}

/// Writes until the outbox is dropped or the connection breaks. After that, frames of which no byte was written can
/// still be withdrawn.
pub(crate) async fn write_all<P: OutboxMessage>(
    mut receiver: OutboxReceiver<P>, mut to: impl AsyncWrite + Unpin, limit: Duration,
) -> std::io::Result<()> {
    let mut state = WriteState::new();
    loop {
        if state.is_empty() {
            let Some(first) = receiver.frames.recv().await else { return to.shutdown().await };
            state.queued.push_back(first);
        }
        let write = poll_fn(|cx| state.poll_write(&mut receiver, Pin::new(&mut to), cx));
        if let Err(error) = timeout(limit, write).await.unwrap_or(Err(ErrorKind::TimedOut.into())) {
            receiver.frames.close();
            return Err(error);
        }
        state.track_frame_time();
    }
}

#[cfg(test)]
mod tests;
