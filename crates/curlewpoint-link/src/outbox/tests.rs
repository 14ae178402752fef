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
    Frame::new(Kind::ATTEMPT).int(Field::TAG, 7).body(vec![1; 20])
}

/// Guards against calling out anew for what may have run: wherever a connection breaks, exactly the frames
/// with no byte written can be taken back.
#[tokio::test]
async fn wherever_it_breaks_only_untouched_frames_can_be_taken_back() {
    let size = PREFIX_BYTES + frame().header().len() + 20;
    for broken_at in 0..=3 * size {
        let (outbox, inside) = Outbox::new(8, 1 << 20);
        let tickets: Vec<Ticket> = (0..3).map(|_| Ticket::default()).collect();
        tickets.iter().for_each(|t| outbox.send(frame(), Some(t.clone())).unwrap());
        drop(outbox);
        let whole = write_all(inside, Breaks(broken_at, Vec::new()), LIMIT).await.is_ok();
        assert_eq!(whole, broken_at == 3 * size);
        for (no, ticket) in tickets.iter().enumerate() {
            assert_eq!(ticket.withdraw(), broken_at <= no * size, "frame {no}, broken at {broken_at}");
        }
    }
}

#[tokio::test]
async fn what_was_taken_back_is_never_written() {
    let (outbox, inside) = Outbox::new(8, 1 << 20);
    let ticket = Ticket::default();
    outbox.send(frame(), Some(ticket.clone())).unwrap();
    assert!(ticket.withdraw());
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
    let large = || Frame::new(Kind::ATTEMPT).body(vec![1; 500]);
    assert_eq!(outbox.send(large(), None), Ok(()), "alone it is taken whatever its size");
    assert_eq!(outbox.send(large(), None), Err(SendError::Full));
}

/// Takes nothing until it is let, and tells when it was first asked to take something.
struct Holds {
    open: Arc<std::sync::atomic::AtomicBool>,
    asked: Option<tokio::sync::oneshot::Sender<std::task::Waker>>,
    got: Arc<std::sync::Mutex<Vec<u8>>>,
}

impl AsyncWrite for Holds {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if !self.open.load(Ordering::Acquire) {
            self.asked.take().into_iter().for_each(|asked| drop(asked.send(cx.waker().clone())));
            return Poll::Pending;
        }
        self.got.lock().unwrap().extend_from_slice(buf);
        Poll::Ready(Ok(buf.len()))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against attempts that the writer had gathered for a worker that reads nothing: taken back while they wait, as
/// for a client that has gone or a worker that drains, they must not go out when it reads again.
#[tokio::test]
async fn what_waits_for_a_peer_that_takes_nothing_can_still_be_taken_back() {
    let (outbox, inside) = Outbox::new(8, 1 << 20);
    let tickets: Vec<Ticket> = (0..3).map(|_| Ticket::default()).collect();
    for (no, ticket) in tickets.iter().enumerate() {
        let frame = Bytes::from(vec![b'a' + no as u8; 10]);
        outbox.send(frame, Some(ticket.clone())).unwrap();
    }
    let (told, asked) = tokio::sync::oneshot::channel();
    let (open, got) = (Arc::<std::sync::atomic::AtomicBool>::default(), Arc::default());
    let to = Holds { open: Arc::clone(&open), asked: Some(told), got: Arc::clone(&got) };
    let writer = tokio::spawn(write_all(inside, to, LIMIT));
    let waker = asked.await.unwrap();
    assert!(tickets[1].withdraw(), "not a byte of it was taken");
    open.store(true, Ordering::Release);
    waker.wake();
    drop(outbox);
    writer.await.unwrap().unwrap();
    assert_eq!(*got.lock().unwrap(), b"aaaaaaaaaacccccccccc");
    assert!(!tickets[0].withdraw() && !tickets[2].withdraw());
}

/// Frames of all sizes, cut anywhere, arrive whole and in order, and what the outbox counts comes back to nought.
#[tokio::test]
async fn small_and_large_frames_arrive_in_order_and_free_their_room() {
    let sizes = [1, LARGE - 1, LARGE, 3, BATCH + 5, 40, LARGE + 1, LARGE + 1, 2];
    for step in [1009, 5 * LARGE] {
        let (outbox, inside) = Outbox::<Bytes>::new(sizes.len(), 1 << 20);
        let frames: Vec<Bytes> =
            sizes.iter().enumerate().map(|(no, size)| vec![no as u8; *size].into()).collect();
        frames.iter().for_each(|f| outbox.send(f.clone(), Some(Ticket::default())).unwrap());
        let bytes = Arc::clone(&outbox.bytes);
        drop(outbox);
        let (read, write) = tokio::io::duplex(step);
        let writer = tokio::spawn(write_all(inside, write, LIMIT));
        let mut got = Vec::new();
        tokio::io::AsyncReadExt::read_to_end(&mut { read }, &mut got).await.unwrap();
        writer.await.unwrap().unwrap();
        assert!(got == frames.concat(), "frames of another order or size");
        assert_eq!(bytes.load(Ordering::Acquire), 0);
    }
}

/// Guards against the rest of a frame that comes long after whoever sent it has gone, where a peer that took its first bytes
/// reads on only then: nothing more is written, and what waits behind it can be taken back.
#[tokio::test]
async fn the_rest_of_a_frame_that_nobody_waits_for_is_not_written() {
    const TAKEN: usize = 10;
    let (to, mut peer) = tokio::io::duplex(TAKEN);
    let (outbox, inside) = Outbox::new(8, 1 << 20);
    let (begun, behind) = (Ticket::default(), Ticket::default());
    outbox.send(frame(), Some(begun.clone())).unwrap();
    outbox.send(frame(), Some(behind.clone())).unwrap();
    let writer = tokio::spawn(write_all(inside, to, LIMIT));
    let mut first = [0; TAKEN];
    tokio::io::AsyncReadExt::read_exact(&mut peer, &mut first[..1]).await.unwrap();
    assert!(!begun.withdraw(), "it was begun");
    let mut rest = Vec::new();
    tokio::io::AsyncReadExt::read_to_end(&mut peer, &mut rest).await.unwrap();
    assert!(rest.len() < 2 * TAKEN, "{} bytes of a frame that nobody wants", rest.len());
    assert_eq!(writer.await.unwrap().unwrap_err().kind(), ErrorKind::ConnectionAborted);
    assert!(behind.withdraw(), "nothing of the next was begun");
}

/// The same of an attempt as its worker drains: it was begun before, and finishes.
#[tokio::test]
async fn the_rest_of_an_attempt_is_written_as_its_worker_drains() {
    let (to, mut peer) = tokio::io::duplex(10);
    let (outbox, inside) = Outbox::new(8, 1 << 20);
    let begun = Ticket::default();
    outbox.send(frame(), Some(begun.clone())).unwrap();
    let writer = tokio::spawn(write_all(inside, to, LIMIT));
    let mut first = [0; 1];
    tokio::io::AsyncReadExt::read_exact(&mut peer, &mut first).await.unwrap();
    assert!(!begun.withdraw_if_queued());
    drop(outbox);
    let mut rest = Vec::new();
    tokio::io::AsyncReadExt::read_to_end(&mut peer, &mut rest).await.unwrap();
    assert_eq!(rest.len() + 1, PREFIX_BYTES + frame().header().len() + 20);
    writer.await.unwrap().unwrap();
}
