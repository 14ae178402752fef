use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use curlewpoint_engine::ClientId;
use curlewpoint_link::{outbox, Bounds};
use curlewpoint_platform::resp::{Commands, RespError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::notes::Note;
use crate::outside::Client;

/// A client that has said nothing for so long is looked at: at its first command, or at half of one, it is cut off.
const QUIET: Duration = Duration::from_secs(1);

enum Seen {
    Spoke(ClientId),
    Closed(ClientId),
}

/// A client's place among those that may be connected, given back when its task ends in whatever way.
struct Place(ClientId, mpsc::UnboundedSender<Seen>);

impl Drop for Place {
    fn drop(&mut self) {
        let _ = self.1.send(Seen::Closed(self.0));
    }
}

/// Takes clients' connections, up to a number at a time. Where all places are taken, the one who has sat there longest
/// and said nothing makes room. Guards against crowds that connect and are silent; should also hold for clients that
/// died without a word. Harms a client that connects in advance, while the doors are full.
pub(crate) async fn accept(
    listener: TcpListener, most: usize, bounds: Bounds, notes: mpsc::Sender<Note>, tasks: TaskTracker,
) {
    let (saw, mut seen) = mpsc::unbounded_channel();
    let mut silent: BTreeMap<ClientId, AbortHandle> = BTreeMap::new();
    let (mut next, mut connected) = (0, 0);
    loop {
        let accepted = tokio::select! {
            biased;
            what = seen.recv() => {
                match what {
                    Some(Seen::Spoke(id)) => drop(silent.remove(&id)),
                    Some(Seen::Closed(id)) => {
                        silent.remove(&id);
                        connected -= 1;
                    }
                    None => return,
                }
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of descriptors, most likely: those in use go on, and closing ones make room.
                warn!("a connection could not be accepted: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if connected >= most {
            let Some((_, longest)) = silent.pop_first() else {
                debug!("turned away: {connected} clients are connected");
                continue;
            };
            longest.abort();
        }
        next += 1;
        connected += 1;
        let id = ClientId(next);
        let place = Place(id, saw.clone());
        let task = tasks.spawn(client(id, stream, bounds, notes.clone(), place));
        silent.insert(id, task.abort_handle());
    }
}

async fn client(id: ClientId, stream: TcpStream, bounds: Bounds, notes: mpsc::Sender<Note>, place: Place) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let codec = Commands { most_words: 8, most_word: bounds.frame };
    let mut reader = FramedRead::new(read, codec);
    // Nothing is kept for it, here or with the engine, until it has said a first thing.
    let first = match timeout(2 * QUIET, reader.next()).await {
        Ok(Some(Ok(words))) => words,
        Ok(Some(Err(why))) => return info!(client = id.0, "a first command that cannot be read: {why}"),
        Ok(None) | Err(_) => return,
    };
    let _ = place.1.send(Seen::Spoke(id));
    let (outbox, mut writer) = outbox::<Bytes>(write, bounds);
    let (writer_task, tags, open) = (writer.abort_handle(), Default::default(), Default::default());
    let client = Client { outbox, writer: writer_task, tags, open, faults: 0, quiet: 0 };
    if notes.send(Note::ClientIn(id, client)).await.is_err()
        || notes.send(Note::Client(id, first)).await.is_err()
    {
        return;
    }
    let (mut writing, mut half, mut why) = (true, false, None);
    loop {
        let next = tokio::select! {
            next = timeout(QUIET, reader.next()) => next,
            _ = &mut writer => {
                writing = false;
                break;
            }
        };
        match next {
            // A full channel holds back this client alone.
            Ok(Some(Ok(words))) => {
                half = false;
                if notes.send(Note::Client(id, words)).await.is_err() {
                    break;
                }
            }
            Ok(Some(Err(e))) => {
                why = Some(e);
                break;
            }
            Ok(None) => break,
            Err(_) if half && !reader.read_buffer().is_empty() => {
                why = Some(RespError::CutShort);
                break;
            }
            Err(_) => {
                half = !reader.read_buffer().is_empty();
                if notes.send(Note::Quiet(id)).await.is_err() {
                    break;
                }
            }
        }
    }
    let _ = notes.send(Note::ClientOut(id, why)).await;
    if writing {
        let _ = writer.await;
    }
}
