use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use curlewpoint_engine::ClientId;
use curlewpoint_link::{
    at_once, is_of_one_accept, linger, next_at_once, outbox, split, Ahead, Bounds, Clock, LINGER, METRICS,
};
use curlewpoint_platform::commands::CANCEL;
use curlewpoint_platform::resp::{CommandDecoder, RespError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{timeout, timeout_at, Instant};
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info};

use crate::doors::{Doors, Presence};
use crate::notes::Note;
use crate::outside::Client;

/// A client that has said nothing for so long is looked at: at its first command, or at half of one, it is cut off.
const QUIET: Duration = Duration::from_secs(1);
/// Commands, and their bytes, read from one client ahead of what the engine has taken: with them its going is seen
/// behind all that a client may have open.
const AHEAD: (usize, usize) = (64, 32 * 1024);
/// Where a connection could not be accepted, so long until the next try.
const AGAIN: Duration = Duration::from_millis(20);

enum Seen {
    Closed(ClientId),
    /// Asked to leave, it turned out to have spoken.
    Stays,
}

/// A client's place among those that may be connected, given back when its task ends in whatever way.
struct Place(ClientId, mpsc::UnboundedSender<Seen>);

impl Drop for Place {
    fn drop(&mut self) {
        let _ = self.1.send(Seen::Closed(self.0));
    }
}

/// What the tasks of clients share.
#[derive(Clone)]
pub(crate) struct Desk {
    pub bounds: Bounds,
    pub clock: Clock,
    /// What ends something, and what begins something.
    pub endings: mpsc::Sender<Note>,
    pub asks: mpsc::Sender<Note>,
    /// Cancelled where this scheduler ends: what has come is read, and then all is closed.
    pub closing: CancellationToken,
    pub tasks: TaskTracker,
}

/// Takes clients' connections, up to a number at a time, until this scheduler ends; then what has come up to that
/// moment is still let in, as a connection that was accepted by the machine counts as taken.
pub(crate) async fn accept(listener: TcpListener, most: usize, desk: Desk) {
    let (saw, mut seen) = mpsc::unbounded_channel();
    let (closing, clock) = (desk.closing.clone(), desk.clock);
    let mut doors = Doors::new(most);
    let let_in = |doors: &mut Doors, stream, waited| {
        let (id, presence) = doors.let_in(clock.now(), waited);
        let place = Place(id, saw.clone());
        desk.tasks.spawn(client(id, stream, desk.clone(), presence, place));
    };
    // One that has been accepted and waits for another's place.
    let (mut comes, mut waited) = (None, false);
    loop {
        if doors.has_room() {
            comes.take().into_iter().for_each(|stream| let_in(&mut doors, stream, waited));
        }
        for presence in doors.make_room(clock.now(), comes.is_some()) {
            presence.leave.notify_one();
        }
        if comes.is_some() && !doors.has_room() && !doors.is_making_room() {
            say_once(&mut doors, true, "all places are taken by clients with something open");
            comes = None;
        }
        let accepted = tokio::select! {
            biased;
            Some(what) = seen.recv() => {
                saw_of(&mut doors, what);
                continue;
            }
            accepted = listener.accept(), if comes.is_none() => accepted,
            () = closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                waited = !doors.has_room();
                if !waited {
                    say_once(&mut doors, false, "a connection was accepted");
                }
                comes = Some(stream);
            }
            Err(e) if is_of_one_accept(&e) => METRICS.local_errors.add(1),
            Err(e) => {
                // Out of descriptors, most likely. Room is made as at the cap, and nothing spins meanwhile.
                say_once(&mut doors, true, &e.to_string());
                for presence in doors.make_room_anyway(clock.now()) {
                    presence.leave.notify_one();
                }
                if let Ok(Some(what)) = timeout(AGAIN, seen.recv()).await {
                    saw_of(&mut doors, what);
                }
            }
        }
    }
    // What the machine has accepted is asked for once more after the driver has looked.
    yield_now().await;
    comes.into_iter().for_each(|stream| let_in(&mut doors, stream, waited));
    loop {
        match at_once(listener.accept()).await {
            Some(Ok((stream, _))) => let_in(&mut doors, stream, false),
            Some(Err(e)) if is_of_one_accept(&e) => {}
            _ => break,
        }
    }
}

fn saw_of(doors: &mut Doors, what: Seen) {
    match what {
        Seen::Closed(id) => doors.left(id),
        Seen::Stays => doors.stayed(),
    }
}

fn say_once(doors: &mut Doors, full: bool, why: &str) {
    if doors.turns(full) {
        let (connected, what) =
            (doors.connected(), if full { "no room for clients" } else { "room for clients again" });
        info!(connected, "{what}: {why}");
    }
}

/// How much of the row of commands read ahead one takes up.
fn size(words: &[Bytes]) -> usize {
    words.iter().map(Bytes::len).sum()
}

/// It has said something whole, or part of something; whoever asked it to leave looks for another.
fn stays(presence: &Presence, desk: &Desk, place: &Place, begun: bool) {
    if presence.stays(desk.clock.now(), begun) {
        let _ = place.1.send(Seen::Stays);
    }
}

async fn client(id: ClientId, stream: TcpStream, desk: Desk, presence: Arc<Presence>, place: Place) {
    let _ = stream.set_nodelay(true);
    let (read, write) = split(stream);
    let codec = CommandDecoder { max_words: 8, max_word_len: desk.bounds.frame };
    let mut reader = FramedRead::new(read, codec);
    // Nothing is kept for it, here or with the engine, until it has said a first thing.
    let until = Instant::now() + 2 * QUIET;
    let first = loop {
        tokio::select! {
            biased;
            first = timeout_at(until, reader.next()) => break first.unwrap_or_default(),
            () = presence.leave.notified() => {
                let first = next_at_once(&mut reader).await;
                if first.is_some() || reader.read_buffer().is_empty() || presence.asked() == Some(true) {
                    break first;
                }
                stays(&presence, &desk, &place, true);
            }
            () = desk.closing.cancelled() => break next_at_once(&mut reader).await,
        }
    };
    let first = match first {
        Some(Ok(words)) => words,
        Some(Err(why)) => {
            info!(client = id.0, "a first command that cannot be read: {why}");
            return linger(reader.get_mut(), LINGER.0, LINGER.1).await;
        }
        None => return,
    };
    stays(&presence, &desk, &place, false);
    let (outbox, mut writer) = outbox::<Bytes>(write, desk.bounds);
    let client = Client::new(outbox, writer.abort_handle(), Arc::clone(&presence));
    if desk.endings.send(Note::ClientIn(id, client)).await.is_err() {
        return;
    }
    let (mut ahead, mut half, mut why) = (Ahead::new(AHEAD), false, None);
    let (mut writing, mut lingers) = (true, true);
    let mut came = Some(first);
    let mut silent_at = Instant::now() + QUIET;
    loop {
        if let Some(words) = came.take() {
            (half, silent_at) = (false, Instant::now() + QUIET);
            presence.reads();
            stays(&presence, &desk, &place, false);
            if words.first().is_some_and(|w| w == CANCEL) {
                if ahead.withdraw(|call: &Vec<Bytes>| call.get(1) == words.get(1)).is_some() {
                    // Neither was heard of elsewhere.
                    presence.dealt_with(presence.open());
                    presence.dealt_with(presence.open());
                } else if desk.endings.send(Note::Cancel(id, words)).await.is_err() {
                    break;
                }
            } else {
                let bytes = size(&words);
                ahead.push(words, bytes);
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
                Some(Ok(words)) => came = Some(words),
                Some(Err(e)) => {
                    why = Some(e);
                    break;
                }
                // It has gone: what it asked and nobody took is forgotten. One that has only shut its writing side says
                // the same, and is taken for gone as well.
                None => break,
            },
            // A full channel holds back this client alone.
            room = desk.asks.reserve(), if !ahead.is_empty() => match (room, ahead.pop()) {
                (Ok(room), Some(words)) => room.send(Note::Client(id, words)),
                _ => break,
            },
            () = presence.leave.notified() => {
                let (next, begun) = (next_at_once(&mut reader).await, !reader.read_buffer().is_empty());
                match (next, presence.asked()) {
                    (Some(Ok(words)), _) => came = Some(words),
                    (Some(Err(e)), _) => {
                        why = Some(e);
                        break;
                    }
                    // Nothing of it is unread, and nothing that it was told is fresh.
                    (None, Some(begun_too)) if presence.is_idle() && (begun_too || !begun) => {
                        lingers = false;
                        break;
                    }
                    (None, Some(_)) => stays(&presence, &desk, &place, begun),
                    // It has spoken since it was asked, and said so.
                    (None, None) => {}
                }
            }
            () = desk.closing.cancelled(), if ahead.is_empty() => match next_at_once(&mut reader).await {
                Some(Ok(words)) => came = Some(words),
                Some(Err(e)) => {
                    why = Some(e);
                    break;
                }
                None => break,
            },
            () = tokio::time::sleep_until(silent_at), if ahead.is_empty() => {
                let begun = !reader.read_buffer().is_empty();
                if half && begun {
                    why = Some(RespError::Truncated);
                    break;
                }
                (half, silent_at) = (begun, Instant::now() + QUIET);
                if desk.endings.send(Note::Quiet(id)).await.is_err() {
                    break;
                }
            }
        }
    }
    let spoilt = why.as_ref().map(RespError::to_string);
    // Where this scheduler ends, what was asked last is answered first: it went by the other channel.
    let last = if desk.closing.is_cancelled() { &desk.asks } else { &desk.endings };
    let _ = last.send(Note::ClientOut(id, why)).await;
    if writing {
        let _ = writer.await;
    }
    debug!(client = id.0, spoilt, "closed");
    if lingers {
        linger(reader.get_mut(), LINGER.0, LINGER.1).await;
    }
}

#[cfg(test)]
mod tests;
