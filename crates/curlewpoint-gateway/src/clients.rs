use std::sync::Arc;
use std::time::Duration;

use curlewpoint_catalogue::Catalogue;
use curlewpoint_engine::ClientId;
use curlewpoint_link::{
    handshake, is_transient_accept_error, linger, next_if_ready, now_or_never, ClosingReadLimit, Link,
    LinkLimits, ReadAhead, LINGER_LIMITS, METRICS,
};
use curlewpoint_wire::{Field, Frame, Kind, WireError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio_stream::StreamExt;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::driver::Client;
use crate::events::Event;
use crate::reload::ActiveMethods;

/// Frames and bytes that are read from one client before the engine's task accepts them. Reading ahead lets a cancel or
/// a disconnect be noticed while earlier RPCs are still queued.
const READ_AHEAD: (usize, usize) = (64, 256 * 1024);

/// What all client tasks share.
#[derive(Clone)]
pub(crate) struct ClientContext {
    /// Name of this instance.
    pub name: String,
    pub link_limits: LinkLimits,
    pub active_methods: watch::Receiver<Arc<ActiveMethods>>,
    /// For events that end something. The engine's task processes these before those of `request_tx`.
    pub priority_tx: mpsc::Sender<Event>,
    /// For events that start something.
    pub request_tx: mpsc::Sender<Event>,
    /// Cancelled when this scheduler ends. Client tasks then process what has already arrived, and close.
    pub closing: CancellationToken,
    pub tasks: TaskTracker,
}

/// Accepts a limited number of client connections.
struct ClientListener {
    context: ClientContext,
    max_clients: usize,
    client_slots: Arc<Semaphore>,
    /// Limits the tasks that tell clients over the limit why their connection is closed.
    rejection_slots: Arc<Semaphore>,
    next_id: u64,
}

impl ClientListener {
    fn admit(&mut self, stream: TcpStream) {
        let context = self.context.clone();
        let tasks = context.tasks.clone();
        match Arc::clone(&self.client_slots).try_acquire_owned() {
            Ok(slot) => {
                self.next_id += 1;
                tasks.spawn(serve_client(ClientId(self.next_id), stream, context, slot));
            }
            Err(_) => {
                info!(peer = ?stream.peer_addr().ok(), "turned away: {} clients are connected", self.max_clients);
                if let Ok(slot) = Arc::clone(&self.rejection_slots).try_acquire_owned() {
                    tasks.spawn(reject(stream, context, slot));
                }
            }
        }
    }
}

/// Accepts client connections until a stop. Connections that the kernel has accepted by then count as accepted: they
/// are still admitted, and told to go away.
pub(crate) async fn accept(
    listener: TcpListener, max_clients: usize, context: ClientContext, mut stopped: watch::Receiver<bool>,
) {
    let (client_slots, rejection_slots) =
        (Arc::new(Semaphore::new(max_clients)), Arc::new(Semaphore::new(max_clients.max(16))));
    let mut clients = ClientListener { context, max_clients, client_slots, rejection_slots, next_id: 0 };
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|s| *s) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => clients.admit(stream),
            Err(e) if is_transient_accept_error(&e) => METRICS.local_errors.add(1),
            Err(e) => {
                // Usually out of file descriptors. Open connections go on, and closing ones free descriptors.
                warn!("a connection could not be accepted: {e}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    // Lets the runtime poll the sockets once, so that all connections that the kernel has accepted are seen.
    yield_now().await;
    while let Some(Ok((stream, _))) = now_or_never(listener.accept()).await {
        clients.admit(stream);
    }
}

async fn reject(stream: TcpStream, context: ClientContext, slot: OwnedSemaphorePermit) {
    if let Ok(Link { outbox, mut reader, writer, .. }) =
        handshake(stream, &context.name, context.link_limits).await
    {
        let _ = outbox.send(Frame::new(Kind::FAULT).text(Field::REASON, "too many connections"), None);
        drop(outbox);
        let _ = writer.await;
        linger(reader.get_mut(), LINGER_LIMITS.0, LINGER_LIMITS.1).await;
    }
    drop(slot);
}

/// Why the body of an RPC does not match its method's schema. A malformed frame is left to the engine's task to reject.
pub(crate) fn schema_mismatch(catalogue: &Catalogue, frame: &Frame) -> Option<String> {
    let method =
        catalogue.method(frame.maybe_text(Field::METHOD).ok()??).filter(|_| frame.kind == Kind::RPC)?;
    method.request.check(&frame.body).err().map(|error| error.to_string())
}

/// An event of a client that has not been passed on yet.
struct QueuedEvent {
    event: Event,
    /// The tag, if the event is an RPC.
    tag: Option<u64>,
}

async fn serve_client(id: ClientId, stream: TcpStream, context: ClientContext, _slot: OwnedSemaphorePermit) {
    let opened = tokio::select! {
        biased;
        opened = handshake(stream, &context.name, context.link_limits) => opened,
        // A client that has not sent its hello by then is not waited for.
        () = async { context.closing.cancelled().await; yield_now().await } => return,
    };
    let Link { outbox, mut reader, mut writer, peer } = match opened {
        Ok(link) => link,
        Err(error) => return info!(client = id.0, "no hello from a client: {error}"),
    };
    debug!(client = id.0, peer, "client connected");
    let closing = context.closing.child_token();
    if context
        .priority_tx
        .send(Event::ClientConnected(id, Client::new(outbox, writer.abort_handle(), closing.clone())))
        .await
        .is_err()
    {
        return;
    }
    let (mut queue, mut passed_on, mut received) = (ReadAhead::new(READ_AHEAD), 0, None::<Frame>);
    let (mut writing, mut reading) = (true, true);
    let (mut closing_read_limit, mut unreadable) = (ClosingReadLimit::default(), None);
    loop {
        if let Some(error) = unreadable.take() {
            // Nothing behind it can be read.
            reading = false;
            if context.priority_tx.send(Event::ClientFailed(id, error)).await.is_err() {
                break;
            }
        }
        if let Some(frame) = received.take() {
            if frame.kind == Kind::CANCEL {
                let event = match frame.get_int(Field::TAG) {
                    Ok(tag) => {
                        let dropped = queue.remove_last(|q: &QueuedEvent| q.tag == Some(tag));
                        Event::CancelRpc(id, tag, dropped.is_none().then_some(passed_on))
                    }
                    Err(error) => Event::ClientFailed(id, error),
                };
                if context.priority_tx.send(event).await.is_err() {
                    break;
                }
            } else {
                let active = Arc::clone(&context.active_methods.borrow());
                let bytes = frame.body.len() + frame.header().len();
                let tag = frame.get_int(Field::TAG).ok().filter(|_| frame.kind == Kind::RPC);
                let event = match schema_mismatch(&active.prepared.catalogue, &frame) {
                    None => Event::ClientFrame(id, active.release, frame),
                    Some(reason) => Event::InvalidRpc(id, frame, reason),
                };
                queue.push(QueuedEvent { event, tag }, bytes);
            }
        }
        // A client that goes on sending while its connection is being closed is not read for long.
        reading &= closing_read_limit.may_read(closing.is_cancelled());
        // Reading comes before passing on, so that a disconnect is noticed as early as possible.
        tokio::select! {
            biased;
            _ = &mut writer => {
                writing = false;
                break;
            }
            next = reader.next(), if reading && queue.has_room() => match next {
                Some(Ok(frame)) => received = Some(frame),
                // The client has disconnected: its queued RPCs are dropped.
                Some(Err(WireError::Io(_))) | None => break,
                Some(Err(error)) => unreadable = Some(error),
            },
            // A full channel delays only this client.
            permit = context.request_tx.reserve(), if !queue.is_empty() => {
                // What a client that has left behind unread is dropped, as is what is queued.
                if reader.get_ref().is_ended_by_peer() && !closing.is_cancelled() {
                    break;
                }
                let (Ok(permit), Some(queued)) = (permit, queue.pop()) else { break };
                passed_on += 1;
                permit.send(queued.event);
            }
            () = closing.cancelled(), if queue.is_empty() && !reading => break,
            () = closing.cancelled(), if queue.is_empty() && reading => match next_if_ready(&mut reader).await {
                Some(Ok(frame)) => received = Some(frame),
                Some(Err(WireError::Io(_))) | None => break,
                Some(Err(error)) => unreadable = Some(error),
            },
        }
    }
    let dropped = queue.iter().filter(|queued| queued.tag.is_some()).count();
    // While a connection is being closed, the disconnect goes through the request channel, behind the last RPCs, so that
    // these are answered first.
    let last_tx = if closing.is_cancelled() { &context.request_tx } else { &context.priority_tx };
    let _ = last_tx.send(Event::ClientDisconnected(id, dropped)).await;
    if writing {
        let _ = writer.await;
    }
    linger(reader.get_mut(), LINGER_LIMITS.0, LINGER_LIMITS.1).await;
}

#[cfg(test)]
mod tests;
