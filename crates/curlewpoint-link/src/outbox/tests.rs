use super::*;
use curlewpoint_wire::{Field, Kind};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

const LIMIT: Duration = Duration::from_secs(5);

/// A writer that accepts a number of bytes, at most seven at a time, and then fails.
struct BreakingWriter(usize, Vec<u8>);

impl AsyncWrite for BreakingWriter {
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
    Frame::new(Kind::ATTEMPT).int(Field::TAG, 7).body(vec![1; 20])
}

/// Guards against repeating an attempt that may have run: wherever a connection breaks, exactly the frames of which
/// no byte was written can be withdrawn.
#[tokio::test]
async fn after_a_break_only_frames_with_no_byte_written_can_be_withdrawn() {
    let size = PREFIX_BYTES + frame().header().len() + 20;
    for broken_at in 0..=3 * size {
        let (outbox, receiver) = Outbox::new(8, 1 << 20);
        let tickets: Vec<Ticket> = (0..3).map(|_| Ticket::default()).collect();
        tickets.iter().for_each(|t| outbox.send(frame(), Some(t.clone())).unwrap());
        drop(outbox);
        let complete = write_all(receiver, BreakingWriter(broken_at, Vec::new()), LIMIT).await.is_ok();
        assert_eq!(complete, broken_at == 3 * size);
        for (index, ticket) in tickets.iter().enumerate() {
            assert_eq!(ticket.withdraw(), broken_at <= index * size, "frame {index}, broken at {broken_at}");
        }
    }
}

#[tokio::test]
async fn a_withdrawn_frame_is_never_written() {
    let (outbox, receiver) = Outbox::new(8, 1 << 20);
    let ticket = Ticket::default();
    outbox.send(frame(), Some(ticket.clone())).unwrap();
    assert!(ticket.withdraw());
    drop(outbox);
    let mut to = Vec::new();
    write_all(receiver, &mut to, LIMIT).await.unwrap();
    assert!(to.is_empty());
}

/// A message that may be sent until the flag is set.
struct Expiring(Arc<std::sync::atomic::AtomicBool>);

impl OutboxMessage for Expiring {
    fn encoded_len(&self) -> usize {
        1
    }
    fn encode_header(&self, buf: &mut BytesMut) {
        buf.extend_from_slice(b"x");
    }
    fn body(&self) -> Bytes {
        Bytes::new()
    }
    fn may_begin(&self) -> bool {
        !self.0.load(Ordering::Relaxed)
    }
}

#[tokio::test]
async fn a_frame_that_expires_in_the_outbox_is_withdrawn_and_never_written() {
    let (outbox, receiver) = Outbox::new(8, 1 << 20);
    let (expired, ticket) = (Arc::default(), Ticket::default());
    outbox.send(Expiring(Arc::clone(&expired)), Some(ticket.clone())).unwrap();
    outbox.send(Expiring(Arc::default()), None).unwrap();
    expired.store(true, Ordering::Relaxed);
    drop(outbox);
    let mut to = Vec::new();
    write_all(receiver, &mut to, LIMIT).await.unwrap();
    assert_eq!(to, b"x", "the frame that may be sent");
    assert!(ticket.is_withdrawn());
}

#[test]
fn an_outbox_is_bounded_in_frames_and_in_bytes() {
    let (outbox, _receiver) = Outbox::new(2, 1 << 20);
    let sent: Vec<_> = (0..3).map(|_| outbox.send(frame(), None)).collect();
    assert_eq!(sent, [Ok(()), Ok(()), Err(SendError::Full)]);
    let (outbox, _receiver) = Outbox::new(9, 100);
    let large = || Frame::new(Kind::ATTEMPT).body(vec![1; 500]);
    assert_eq!(outbox.send(large(), None), Ok(()), "an empty outbox accepts one frame of any size");
    assert_eq!(outbox.send(large(), None), Err(SendError::Full));
}

/// A writer that accepts nothing until it is opened, and reports its first write call.
struct BlockedWriter {
    open: Arc<std::sync::atomic::AtomicBool>,
    first_write: Option<tokio::sync::oneshot::Sender<std::task::Waker>>,
    written: Arc<std::sync::Mutex<Vec<u8>>>,
}

impl AsyncWrite for BlockedWriter {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if !self.open.load(Ordering::Acquire) {
            self.first_write.take().into_iter().for_each(|report| drop(report.send(cx.waker().clone())));
            return Poll::Pending;
        }
        self.written.lock().unwrap().extend_from_slice(buf);
        Poll::Ready(Ok(buf.len()))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against attempts that the writer had gathered for a worker that reads nothing. If they are withdrawn while
/// they wait, because the client has gone or the worker drains, they must not be sent when the worker reads again.
#[tokio::test]
async fn frames_gathered_for_a_blocked_peer_can_still_be_withdrawn() {
    let (outbox, receiver) = Outbox::new(8, 1 << 20);
    let tickets: Vec<Ticket> = (0..3).map(|_| Ticket::default()).collect();
    for (index, ticket) in tickets.iter().enumerate() {
        let frame = Bytes::from(vec![b'a' + index as u8; 10]);
        outbox.send(frame, Some(ticket.clone())).unwrap();
    }
    let (report, first_write) = tokio::sync::oneshot::channel();
    let (open, written) = (Arc::<std::sync::atomic::AtomicBool>::default(), Arc::default());
    let to =
        BlockedWriter { open: Arc::clone(&open), first_write: Some(report), written: Arc::clone(&written) };
    let writer = tokio::spawn(write_all(receiver, to, LIMIT));
    let waker = first_write.await.unwrap();
    assert!(tickets[1].withdraw(), "no byte of it was written");
    open.store(true, Ordering::Release);
    waker.wake();
    drop(outbox);
    writer.await.unwrap().unwrap();
    assert_eq!(*written.lock().unwrap(), b"aaaaaaaaaacccccccccc");
    assert!(!tickets[0].withdraw() && !tickets[2].withdraw());
}

/// Frames of all sizes, split anywhere, arrive complete and in order, and the byte count of the outbox returns to
/// zero.
#[tokio::test]
async fn small_and_large_frames_arrive_in_order_and_release_their_bytes() {
    let sizes = [
        1,
        LARGE_BODY_BYTES - 1,
        LARGE_BODY_BYTES,
        3,
        BATCH_BYTES + 5,
        40,
        LARGE_BODY_BYTES + 1,
        LARGE_BODY_BYTES + 1,
        2,
    ];
    for buffer_bytes in [1009, 5 * LARGE_BODY_BYTES] {
        let (outbox, receiver) = Outbox::<Bytes>::new(sizes.len(), 1 << 20);
        let frames: Vec<Bytes> =
            sizes.iter().enumerate().map(|(index, size)| vec![index as u8; *size].into()).collect();
        frames.iter().for_each(|f| outbox.send(f.clone(), Some(Ticket::default())).unwrap());
        let bytes = Arc::clone(&outbox.bytes);
        drop(outbox);
        let (read, write) = tokio::io::duplex(buffer_bytes);
        let writer = tokio::spawn(write_all(receiver, write, LIMIT));
        let mut got = Vec::new();
        tokio::io::AsyncReadExt::read_to_end(&mut { read }, &mut got).await.unwrap();
        writer.await.unwrap().unwrap();
        assert!(got == frames.concat(), "frames in the wrong order or of the wrong size");
        assert_eq!(bytes.load(Ordering::Acquire), 0);
    }
}

/// Guards against writing the rest of a frame long after its sender has gone, if the peer took its first bytes and
/// pauses: nothing more is written, and the frames behind it can be withdrawn.
#[tokio::test]
async fn the_rest_of_an_abandoned_frame_is_not_written() {
    const BUFFER_BYTES: usize = 10;
    let (to, mut peer) = tokio::io::duplex(BUFFER_BYTES);
    let (outbox, receiver) = Outbox::new(8, 1 << 20);
    let (begun, behind) = (Ticket::default(), Ticket::default());
    outbox.send(frame(), Some(begun.clone())).unwrap();
    outbox.send(frame(), Some(behind.clone())).unwrap();
    let writer = tokio::spawn(write_all(receiver, to, LIMIT));
    let mut first = [0; BUFFER_BYTES];
    tokio::io::AsyncReadExt::read_exact(&mut peer, &mut first[..1]).await.unwrap();
    assert!(!begun.withdraw(), "it was begun");
    let mut rest = Vec::new();
    tokio::io::AsyncReadExt::read_to_end(&mut peer, &mut rest).await.unwrap();
    assert!(rest.len() < 2 * BUFFER_BYTES, "{} bytes of an abandoned frame", rest.len());
    assert_eq!(writer.await.unwrap().unwrap_err().kind(), ErrorKind::ConnectionAborted);
    assert!(behind.withdraw(), "the next frame was not begun");
}

/// An attempt that was begun before its worker drains is written to its end.
#[tokio::test]
async fn the_rest_of_a_begun_attempt_is_written_when_its_worker_drains() {
    let (to, mut peer) = tokio::io::duplex(10);
    let (outbox, receiver) = Outbox::new(8, 1 << 20);
    let begun = Ticket::default();
    outbox.send(frame(), Some(begun.clone())).unwrap();
    let writer = tokio::spawn(write_all(receiver, to, LIMIT));
    let mut first = [0; 1];
    tokio::io::AsyncReadExt::read_exact(&mut peer, &mut first).await.unwrap();
    assert!(!begun.withdraw_if_queued());
    drop(outbox);
    let mut rest = Vec::new();
    tokio::io::AsyncReadExt::read_to_end(&mut peer, &mut rest).await.unwrap();
    assert_eq!(rest.len() + 1, PREFIX_BYTES + frame().header().len() + 20);
    writer.await.unwrap().unwrap();
}
