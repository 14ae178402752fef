//! Accepts client connections and runs a task for each.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use curlewpoint_engine::ClientId;
use curlewpoint_link::{
    is_transient_accept_error, linger, next_if_ready, now_or_never, spawn_writer, split, Clock, LinkLimits,
    ReadAhead, LINGER_LIMITS, METRICS,
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

use crate::admission::{Admission, ClientActivity};
use crate::driver::Client;
use crate::events::Event;

/// Interval at which a silent client is checked. A client that sends no first command for twice this time, or leaves a
/// command incomplete over two checks, is disconnected.
const SILENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of commands, and of their bytes, that are read from a client ahead of the engine. The count exceeds
/// the RPCs that a client may have open, so that a disconnect behind all of them is noticed.
const READ_AHEAD_LIMIT: (usize, usize) = (64, 32 * 1024);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a client's task reports to the task that accepts connections.
enum SlotEvent {
    Closed(ClientId),
    /// The client turned out to be active and keeps its connection.
    EvictionDeclined,
}

/// The slot of a connected client, released when its task ends for whatever reason.
struct Slot(ClientId, mpsc::UnboundedSender<SlotEvent>);

impl Drop for Slot {
    fn drop(&mut self) {
        let _ = self.1.send(SlotEvent::Closed(self.0));
    }
}

/// What the tasks of all clients share.
#[derive(Clone)]
pub(crate) struct ClientContext {
    pub limits: LinkLimits,
    pub clock: Clock,
    /// Events that end something, processed before all others.
    pub priority_tx: mpsc::Sender<Event>,
    /// Events that start something.
    pub command_tx: mpsc::Sender<Event>,
    /// Cancelled when the scheduler shuts down: commands already received are read, then all connections are closed.
    pub shutdown: CancellationToken,
    pub tasks: TaskTracker,
}

/// Accepts client connections, up to `max_clients` at a time, until the scheduler shuts down. Connections that the
/// kernel has accepted by then are still served, because their clients see them as established.
pub(crate) async fn accept(listener: TcpListener, max_clients: usize, context: ClientContext) {
    let (slot_tx, mut slot_rx) = mpsc::unbounded_channel();
    let (shutdown, clock) = (context.shutdown.clone(), context.clock);
    let mut admission = Admission::new(max_clients);
    let admit = |admission: &mut Admission, stream, waited| {
        let (id, activity) = admission.admit(clock.now(), waited);
        let slot = Slot(id, slot_tx.clone());
        context.tasks.spawn(serve_client(id, stream, context.clone(), activity, slot));
    };
    // A connection that is accepted and waits for a free slot.
    let (mut pending, mut waited) = (None, false);
    loop {
        if admission.has_free_slot() {
            pending.take().into_iter().for_each(|stream| admit(&mut admission, stream, waited));
        }
        for activity in admission.select_evictions(clock.now(), pending.is_some()) {
            activity.evict.notify_one();
        }
        if pending.is_some() && !admission.has_free_slot() && !admission.has_pending_evictions() {
            log_transition(&mut admission, true, "every connected client has requests open");
            pending = None;
        }
        let accepted = tokio::select! {
            biased;
            Some(event) = slot_rx.recv() => {
                apply_slot_event(&mut admission, event);
                continue;
            }
            accepted = listener.accept(), if pending.is_none() => accepted,
            () = shutdown.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                waited = !admission.has_free_slot();
                if !waited {
                    log_transition(&mut admission, false, "a connection was accepted");
                }
                pending = Some(stream);
            }
            Err(e) if is_transient_accept_error(&e) => METRICS.local_errors.add(1),
            Err(e) => {
                // Most likely out of file descriptors: evicts clients as if all slots were taken, and waits before the
                // next accept so that the loop does not spin.
                log_transition(&mut admission, true, &e.to_string());
                for activity in admission.select_evictions_for_descriptors(clock.now()) {
                    activity.evict.notify_one();
                }
                if let Ok(Some(event)) = timeout(ACCEPT_RETRY_DELAY, slot_rx.recv()).await {
                    apply_slot_event(&mut admission, event);
                }
            }
        }
    }
    // Lets the I/O driver poll once, so that it reports the connections that the kernel has accepted meanwhile.
    yield_now().await;
    pending.into_iter().for_each(|stream| admit(&mut admission, stream, waited));
    loop {
        match now_or_never(listener.accept()).await {
            Some(Ok((stream, _))) => admit(&mut admission, stream, false),
            Some(Err(e)) if is_transient_accept_error(&e) => {}
            _ => break,
        }
    }
}

fn apply_slot_event(admission: &mut Admission, event: SlotEvent) {
    match event {
        SlotEvent::Closed(id) => admission.remove(id),
        SlotEvent::EvictionDeclined => admission.eviction_declined(),
    }
}

/// Logs that there is no room for clients, or room again, once for each change.
fn log_transition(admission: &mut Admission, full: bool, reason: &str) {
    if admission.is_transition(full) {
        let (connected, what) =
            (admission.connected(), if full { "no room for clients" } else { "room for clients again" });
        info!(connected, "{what}: {reason}");
    }
}

/// Bytes that a command takes of the read-ahead limit.
fn command_bytes(words: &[Bytes]) -> usize {
    words.iter().map(Bytes::len).sum()
}

/// Records that the client sent a command or a part of one. If its eviction was requested it is declined, so that
/// another client can be selected.
fn record_activity(activity: &ClientActivity, context: &ClientContext, slot: &Slot, is_partial: bool) {
    if activity.record(context.clock.now(), is_partial) {
        let _ = slot.1.send(SlotEvent::EvictionDeclined);
    }
}

async fn serve_client(
    id: ClientId, stream: TcpStream, context: ClientContext, activity: Arc<ClientActivity>, slot: Slot,
) {
    let _ = stream.set_nodelay(true);
    let (read, write) = split(stream);
    let codec = CommandDecoder { max_words: 8, max_word_len: context.limits.max_frame_bytes };
    let mut reader = FramedRead::new(read, codec);
    // Neither an outbox nor state in the engine is allocated before the first command.
    let first_command_deadline = Instant::now() + 2 * SILENCE_INTERVAL;
    let first = loop {
        tokio::select! {
            biased;
            first = timeout_at(first_command_deadline, reader.next()) => break first.unwrap_or_default(),
            () = activity.evict.notified() => {
                let first = next_if_ready(&mut reader).await;
                if first.is_some() || reader.read_buffer().is_empty() || activity.eviction_requested() == Some(true) {
                    break first;
                }
                record_activity(&activity, &context, &slot, true);
            }
            () = context.shutdown.cancelled() => break next_if_ready(&mut reader).await,
        }
    };
    let first = match first {
        Some(Ok(words)) => words,
        Some(Err(error)) => {
            info!(client = id.0, "malformed first command: {error}");
            return linger(reader.get_mut(), LINGER_LIMITS.0, LINGER_LIMITS.1).await;
        }
        None => return,
    };
    record_activity(&activity, &context, &slot, false);
    let (outbox, mut writer) = spawn_writer::<Bytes>(write, context.limits);
    let client = Client::new(outbox, writer.abort_handle(), Arc::clone(&activity));
    if context.priority_tx.send(Event::ClientConnected(id, client)).await.is_err() {
        return;
    }
    let (mut ahead, mut was_partial, mut error) = (ReadAhead::new(READ_AHEAD_LIMIT), false, None);
    let (mut writing, mut lingers) = (true, true);
    let mut passed_on = 0;
    let mut received = Some(first);
    let mut silence_check = Instant::now() + SILENCE_INTERVAL;
    loop {
        if let Some(words) = received.take() {
            (was_partial, silence_check) = (false, Instant::now() + SILENCE_INTERVAL);
            activity.command_read();
            record_activity(&activity, &context, &slot, false);
            if words.first().is_some_and(|w| w == CANCEL) {
                if ahead.remove_last(|call: &Vec<Bytes>| call.get(1) == words.get(1)).is_some() {
                    // The engine sees neither the call nor its cancel: both count as handled here.
                    activity.command_handled(activity.open_rpcs());
                    activity.command_handled(activity.open_rpcs());
                } else if context.priority_tx.send(Event::ClientCancel(id, words, passed_on)).await.is_err() {
                    break;
                }
            } else {
                let bytes = command_bytes(&words);
                ahead.push(words, bytes);
            }
        }
        // Reading comes before passing commands on, so that a client that disconnected meanwhile is noticed first.
        tokio::select! {
            biased;
            _ = &mut writer => {
                writing = false;
                break;
            }
            next = reader.next(), if ahead.has_room() => match next {
                Some(Ok(words)) => received = Some(words),
                Some(Err(e)) => {
                    error = Some(e);
                    break;
                }
                // Disconnected: commands that were not passed on are dropped. A client that only shut down its writing
                // side cannot be told apart and is handled the same.
                None => break,
            },
            // A full channel blocks this client's task only.
            permit = context.command_tx.reserve(), if !ahead.is_empty() => match (permit, ahead.pop()) {
                (Ok(permit), Some(words)) => {
                    passed_on += 1;
                    permit.send(Event::ClientCommand(id, words));
                }
                _ => break,
            },
            () = activity.evict.notified() => {
                let (next, is_partial) = (next_if_ready(&mut reader).await, !reader.read_buffer().is_empty());
                match (next, activity.eviction_requested()) {
                    (Some(Ok(words)), _) => received = Some(words),
                    (Some(Err(e)), _) => {
                        error = Some(e);
                        break;
                    }
                    // Nothing complete is unread, and nothing is owed to the client.
                    (None, Some(despite_partial)) if activity.is_idle() && (despite_partial || !is_partial) => {
                        lingers = false;
                        break;
                    }
                    (None, Some(_)) => record_activity(&activity, &context, &slot, is_partial),
                    // The eviction was declined since by a command.
                    (None, None) => {}
                }
            }
            () = context.shutdown.cancelled(), if ahead.is_empty() => match next_if_ready(&mut reader).await {
                Some(Ok(words)) => received = Some(words),
                Some(Err(e)) => {
                    error = Some(e);
                    break;
                }
                None => break,
            },
            () = tokio::time::sleep_until(silence_check), if ahead.is_empty() => {
                let is_partial = !reader.read_buffer().is_empty();
                if was_partial && is_partial {
                    error = Some(RespError::Truncated);
                    break;
                }
                (was_partial, silence_check) = (is_partial, Instant::now() + SILENCE_INTERVAL);
                if context.priority_tx.send(Event::ClientSilent(id)).await.is_err() {
                    break;
                }
            }
        }
    }
    let error_text = error.as_ref().map(RespError::to_string);
    // At shutdown the last commands are answered before the disconnect takes effect: they went by the command channel.
    let last_tx = if context.shutdown.is_cancelled() { &context.command_tx } else { &context.priority_tx };
    let _ = last_tx.send(Event::ClientDisconnected(id, error)).await;
    if writing {
        let _ = writer.await;
    }
    debug!(client = id.0, spoilt = error_text, "closed");
    if lingers {
        linger(reader.get_mut(), LINGER_LIMITS.0, LINGER_LIMITS.1).await;
    }
}

#[cfg(test)]
mod tests;
