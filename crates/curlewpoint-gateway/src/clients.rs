use std::sync::Arc;

use curlewpoint_catalogue::Catalogue;
use curlewpoint_engine::ClientId;
use curlewpoint_link::{open, Bounds, Link};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio_stream::StreamExt;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::notes::Note;
use crate::outside::Client;
use crate::reload::InForce;

/// What each client's task knows.
#[derive(Clone)]
pub(crate) struct Desk {
    pub name: String,
    pub bounds: Bounds,
    pub in_force: watch::Receiver<Arc<InForce>>,
    pub notes: mpsc::Sender<Note>,
}

/// Takes clients' connections, up to a number at a time.
pub(crate) async fn accept(listener: TcpListener, most: usize, desk: Desk, tasks: TaskTracker) {
    let room = Arc::new(Semaphore::new(most));
    // Those turned away take a task each for as long as their word takes, up to as many again.
    let turning = Arc::new(Semaphore::new(most.max(16)));
    let mut next = 0;
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                // Out of descriptors, most likely: those in use go on, and closing ones make room.
                warn!("a connection could not be accepted: {e}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let desk = desk.clone();
        match Arc::clone(&room).try_acquire_owned() {
            Ok(place) => {
                next += 1;
                tasks.spawn(client(ClientId(next), stream, desk, place));
            }
            Err(_) => {
                info!(%peer, "turned away: {most} clients are connected");
                if let Ok(place) = Arc::clone(&turning).try_acquire_owned() {
                    tasks.spawn(turn_away(stream, desk.name, desk.bounds, place));
                }
            }
        }
    }
}

async fn turn_away(stream: TcpStream, name: String, bounds: Bounds, place: OwnedSemaphorePermit) {
    if let Ok(link) = open(stream, &name, bounds).await {
        let _ = link.outbox.send(Frame::new(Kind::FAULT).text(Field::WHY, "too many connections"), None);
        drop(link.outbox);
        let _ = link.writer.await;
    }
    drop(place);
}

/// Why a body does not fit its method's description. What cannot be read is left to the engine's task to refuse.
pub(crate) fn unfit(catalogue: &Catalogue, frame: &Frame) -> Option<String> {
    let method =
        catalogue.method(frame.maybe_text(Field::METHOD).ok()??).filter(|_| frame.kind == Kind::RPC)?;
    method.request.check(&frame.body).err().map(|why| why.to_string())
}

async fn client(id: ClientId, stream: TcpStream, desk: Desk, _place: OwnedSemaphorePermit) {
    let Desk { name, bounds, in_force, notes } = desk;
    let Link { outbox, mut reader, mut writer, peer } = match open(stream, &name, bounds).await {
        Ok(link) => link,
        Err(why) => return info!(client = id.0, "no hello from a client: {why}"),
    };
    debug!(client = id.0, peer, "client connected");
    let client = Client { outbox, writer: writer.abort_handle(), leaving: false };
    if notes.send(Note::ClientIn(id, client)).await.is_err() {
        return;
    }
    let (mut writing, mut why) = (true, None);
    loop {
        let next = tokio::select! {
            next = reader.next() => next,
            _ = &mut writer => {
                writing = false;
                break;
            }
        };
        match next {
            // A full channel holds back this client alone.
            Some(Ok(frame)) => {
                let now = Arc::clone(&in_force.borrow());
                let note = match unfit(&now.prepared.catalogue, &frame) {
                    None => Note::Client(id, now.release, frame),
                    Some(why) => Note::Unfit(id, frame, why),
                };
                if notes.send(note).await.is_err() {
                    break;
                }
            }
            Some(Err(e)) => {
                why = Some(e);
                break;
            }
            None => break,
        }
    }
    let _ = notes.send(Note::ClientOut(id, why)).await;
    if writing {
        let _ = writer.await;
    }
}
