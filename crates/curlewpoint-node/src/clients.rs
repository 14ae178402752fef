//! Accepts client connections and runs a task for each.

use std::sync::Arc;
use std::time::Duration;

use curlewpoint_engine::ClientId;
use curlewpoint_link::{is_transient_accept_error, now_or_never, Clock, LinkLimits, METRICS};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::admission::Admission;
use crate::client_task::serve_client;
use crate::events::Event;
use crate::memory_budget::MemoryBudget;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a client's task reports to the task that accepts connections.
enum SlotEvent {
    Closed(ClientId),
    /// The client turned out to be active and keeps its connection.
    EvictionDeclined,
}

/// The slot of a connected client, released when its task ends for whatever reason.
pub(crate) struct Slot(ClientId, mpsc::UnboundedSender<SlotEvent>);

impl Slot {
    /// Reports that the client turned out to be active when its eviction was requested.
    pub fn eviction_declined(&self) {
        let _ = self.1.send(SlotEvent::EvictionDeclined);
    }
}

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
    /// What is held for all clients.
    pub memory: Arc<MemoryBudget>,
}

/// Accepts client connections, up to the number that the memory allows at a time, until the scheduler shuts down. Connections that the
/// kernel has accepted by then are still served, because their clients see them as established.
pub(crate) async fn accept(listener: TcpListener, context: ClientContext) {
    let (slot_tx, mut slot_rx) = mpsc::unbounded_channel();
    let (shutdown, clock) = (context.shutdown.clone(), context.clock);
    let mut admission = Admission::new(context.memory.limits().max_clients);
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

#[cfg(test)]
mod tests;
