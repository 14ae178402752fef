use std::sync::Arc;
use std::time::Duration;

use curlewpoint_catalogue::Catalogue;
use curlewpoint_engine::ClientId;
use curlewpoint_link::{
    at_once, is_of_one_accept, linger, next_at_once, open, Ahead, Bounds, Link, LINGER, METRICS,
};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio_stream::StreamExt;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::notes::Note;
use crate::outside::Client;
use crate::reload::InForce;

/// Frames, and their bytes, read from one client ahead of what the engine has taken: a cancel among them and its going
/// are seen behind them.
const AHEAD: (usize, usize) = (64, 256 * 1024);

/// What each client's task knows.
#[derive(Clone)]
pub(crate) struct Desk {
    pub name: String,
    pub bounds: Bounds,
    pub in_force: watch::Receiver<Arc<InForce>>,
    /// What ends something, and what begins something.
    pub endings: mpsc::Sender<Note>,
    pub asks: mpsc::Sender<Note>,
    /// Cancelled where this scheduler ends: what has come is read, and then all is closed.
    pub closing: CancellationToken,
    pub tasks: TaskTracker,
}

/// Clients' connections, up to a number at a time.
struct Doors {
    desk: Desk,
    most: usize,
    room: Arc<Semaphore>,
    /// Those turned away take a task each for as long as their word takes, up to as many again.
    turning: Arc<Semaphore>,
    next: u64,
}

impl Doors {
    fn let_in(&mut self, stream: TcpStream) {
        let desk = self.desk.clone();
        let tasks = desk.tasks.clone();
        match Arc::clone(&self.room).try_acquire_owned() {
            Ok(place) => {
                self.next += 1;
                tasks.spawn(client(ClientId(self.next), stream, desk, place));
            }
            Err(_) => {
                info!(peer = ?stream.peer_addr().ok(), "turned away: {} clients are connected", self.most);
                if let Ok(place) = Arc::clone(&self.turning).try_acquire_owned() {
                    tasks.spawn(turn_away(stream, desk, place));
                }
            }
        }
    }
}

/// Takes clients' connections until a stop; then what has come up to that moment is still let in, and told to go away, as
/// a connection that was accepted by the machine counts as taken.
pub(crate) async fn accept(
    listener: TcpListener, most: usize, desk: Desk, mut stopped: watch::Receiver<bool>,
) {
    let (room, turning) = (Arc::new(Semaphore::new(most)), Arc::new(Semaphore::new(most.max(16))));
    let mut doors = Doors { desk, most, room, turning, next: 0 };
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|s| *s) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => doors.let_in(stream),
            Err(e) if is_of_one_accept(&e) => METRICS.local_errors.add(1),
            Err(e) => {
                // Out of descriptors, most likely: those in use go on, and closing ones make room.
                warn!("a connection could not be accepted: {e}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    // What the machine has accepted is asked for once more after the driver has looked.
    yield_now().await;
    while let Some(Ok((stream, _))) = at_once(listener.accept()).await {
        doors.let_in(stream);
    }
}

async fn turn_away(stream: TcpStream, desk: Desk, place: OwnedSemaphorePermit) {
    if let Ok(Link { outbox, mut reader, writer, .. }) = open(stream, &desk.name, desk.bounds).await {
        let _ = outbox.send(Frame::new(Kind::FAULT).text(Field::REASON, "too many connections"), None);
        drop(outbox);
        let _ = writer.await;
        linger(reader.get_mut(), LINGER.0, LINGER.1).await;
    }
    drop(place);
}

/// Why a body does not fit its method's description. What cannot be read is left to the engine's task to refuse.
pub(crate) fn unfit(catalogue: &Catalogue, frame: &Frame) -> Option<String> {
    let method =
        catalogue.method(frame.maybe_text(Field::METHOD).ok()??).filter(|_| frame.kind == Kind::RPC)?;
    method.request.check(&frame.body).err().map(|why| why.to_string())
}

/// What was read of a client, as it is passed on.
struct Told {
    note: Note,
    /// The tag of an RPC.
    tag: Option<u64>,
}

async fn client(id: ClientId, stream: TcpStream, desk: Desk, _place: OwnedSemaphorePermit) {
    let opened = tokio::select! {
        biased;
        opened = open(stream, &desk.name, desk.bounds) => opened,
        // One that has said nothing by then is not waited for.
        () = async { desk.closing.cancelled().await; yield_now().await } => return,
    };
    let Link { outbox, mut reader, mut writer, peer } = match opened {
        Ok(link) => link,
        Err(why) => return info!(client = id.0, "no hello from a client: {why}"),
    };
    debug!(client = id.0, peer, "client connected");
    if desk.endings.send(Note::ClientIn(id, Client::new(outbox, writer.abort_handle()))).await.is_err() {
        return;
    }
    let (mut ahead, mut passed, mut came) = (Ahead::new(AHEAD), 0, None::<Frame>);
    let (mut writing, mut why) = (true, None);
    loop {
        if let Some(frame) = came.take() {
            if frame.kind == Kind::CANCEL {
                let tag = match frame.get_int(Field::TAG) {
                    Ok(tag) => tag,
                    Err(e) => {
                        why = Some(e);
                        break;
                    }
                };
                let after = ahead.withdraw(|told: &Told| told.tag == Some(tag)).is_none().then_some(passed);
                if desk.endings.send(Note::Cancel(id, tag, after)).await.is_err() {
                    break;
                }
            } else {
                let now = Arc::clone(&desk.in_force.borrow());
                let bytes = frame.body.len() + frame.header().len();
                let tag = frame.get_int(Field::TAG).ok().filter(|_| frame.kind == Kind::RPC);
                let note = match unfit(&now.prepared.catalogue, &frame) {
                    None => Note::Client(id, now.release, frame),
                    Some(why) => Note::Unfit(id, frame, why),
                };
                ahead.push(Told { note, tag }, bytes);
            }
        }
        // What has come is read before what was read is passed on, so that a client that has gone meanwhile is seen.
        tokio::select! {
            biased;
            _ = &mut writer => {
                writing = false;
                break;
            }
            next = reader.next(), if ahead.has_room() => match next {
                Some(Ok(frame)) => came = Some(frame),
                Some(Err(e)) => {
                    why = Some(e);
                    break;
                }
                // It has gone: what it asked and nobody took is forgotten.
                None => break,
            },
            // A full channel holds back this client alone.
            room = desk.asks.reserve(), if !ahead.is_empty() => match (room, ahead.pop()) {
                (Ok(room), Some(told)) => {
                    passed += 1;
                    room.send(told.note);
                }
                _ => break,
            },
            () = desk.closing.cancelled(), if ahead.is_empty() => match next_at_once(&mut reader).await {
                Some(Ok(frame)) => came = Some(frame),
                Some(Err(e)) => {
                    why = Some(e);
                    break;
                }
                None => break,
            },
        }
    }
    let forgotten = ahead.iter().filter(|told| told.tag.is_some()).count();
    // Where this scheduler ends, what was asked last is answered first: it went by the other channel.
    let last = if desk.closing.is_cancelled() { &desk.asks } else { &desk.endings };
    let _ = last.send(Note::ClientOut(id, why, forgotten)).await;
    if writing {
        let _ = writer.await;
    }
    linger(reader.get_mut(), LINGER.0, LINGER.1).await;
}

#[cfg(test)]
mod tests;
