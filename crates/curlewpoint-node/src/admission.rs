//! Client admission and eviction, without I/O: tracks which clients are connected, and selects the clients that are
//! asked to disconnect when slots or file descriptors run out.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

use curlewpoint::types::Time;
use curlewpoint_engine::ClientId;
use tokio::sync::Notify;

/// During a burst of connections, as many slots are freed in advance as clients came within this time, so that none
/// waits for an eviction. An eviction takes a few iterations of several tasks, far less than this.
const BURST_WINDOW: Time = Time(1_000);
/// At most one slot in this many is freed in advance.
const HEADROOM_DIVISOR: usize = 8;
/// A client whose request is incomplete is not evicted within this time of the request's first part; clients that
/// send a request in parts complete it within it.
const PARTIAL_REQUEST_GRACE: Time = Time(2_500);

/// What a client is doing, shared between its task, the engine's task and the eviction policy.
#[derive(Default)]
pub(crate) struct ClientActivity {
    commands_read: AtomicU64,
    /// Commands that the engine has handled.
    commands_handled: AtomicU64,
    /// RPCs without a reply so far.
    open_rpcs: AtomicU64,
    /// Time of the last command or reply.
    last_active: AtomicU64,
    /// Time since which an incomplete request is buffered; 0 if there is none.
    partial_since: AtomicU64,
    /// The client was selected for eviction and its task has not decided yet.
    eviction_requested: AtomicBool,
    /// The eviction applies even if an incomplete request is buffered.
    evict_despite_partial: AtomicBool,
    pub evict: Notify,
}

impl ClientActivity {
    pub fn command_read(&self) {
        self.commands_read.fetch_add(1, Relaxed);
    }

    /// Counts a command as handled by the engine.
    pub fn command_handled(&self, open_rpcs: usize) {
        self.commands_handled.fetch_add(1, Relaxed);
        self.set_open_rpcs(open_rpcs);
    }

    pub fn set_open_rpcs(&self, open_rpcs: usize) {
        self.open_rpcs.store(open_rpcs as u64, Relaxed);
    }

    pub fn replied(&self, now: Time, open_rpcs: usize) {
        self.last_active.store(now.0, Relaxed);
        self.set_open_rpcs(open_rpcs);
    }

    /// RPCs without a reply so far.
    pub fn open_rpcs(&self) -> usize {
        self.open_rpcs.load(Relaxed) as usize
    }

    /// Commands that were read and not handled so far.
    pub fn unhandled(&self) -> u64 {
        self.commands_read.load(Relaxed).saturating_sub(self.commands_handled.load(Relaxed))
    }

    /// Whether no RPC is open and every command read was handled.
    pub fn is_idle(&self) -> bool {
        self.open_rpcs.load(Relaxed) == 0 && self.unhandled() == 0
    }

    /// The eviction request if there is one: whether it applies even if an incomplete request is buffered.
    pub fn eviction_requested(&self) -> Option<bool> {
        self.eviction_requested.load(Relaxed).then(|| self.evict_despite_partial.load(Relaxed))
    }

    /// Records that a command was received, completely or in part. Returns true if this declines a requested eviction.
    pub fn record(&self, now: Time, is_partial: bool) -> bool {
        if is_partial {
            let _ = self.partial_since.compare_exchange(0, now.0, Relaxed, Relaxed);
        } else {
            self.partial_since.store(0, Relaxed);
            self.last_active.store(now.0, Relaxed);
        }
        self.eviction_requested.swap(false, Relaxed)
    }
}

/// The connected clients, up to a maximum number.
pub(crate) struct Admission {
    max_clients: usize,
    last_id: u64,
    clients: BTreeMap<ClientId, Arc<ClientActivity>>,
    /// Number of clients selected for eviction whose tasks have not decided yet.
    pending_evictions: usize,
    /// Admission times of the current burst within the window: the first client had to wait for a slot, each other was
    /// admitted less than the window after the one before.
    burst: VecDeque<Time>,
    /// A lack of room was logged and its end was not.
    reported_full: bool,
}

impl Admission {
    pub fn new(max_clients: usize) -> Admission {
        let (clients, burst) = Default::default();
        Admission { max_clients, last_id: 0, clients, pending_evictions: 0, burst, reported_full: false }
    }

    pub fn connected(&self) -> usize {
        self.clients.len()
    }

    pub fn has_free_slot(&self) -> bool {
        self.clients.len() < self.max_clients
    }

    pub fn has_pending_evictions(&self) -> bool {
        self.pending_evictions > 0
    }

    /// Admits a client, which `waited` for a slot or found a free one.
    pub fn admit(&mut self, now: Time, waited: bool) -> (ClientId, Arc<ClientActivity>) {
        self.last_id += 1;
        let (id, activity) = (ClientId(self.last_id), Arc::<ClientActivity>::default());
        activity.last_active.store(now.0, Relaxed);
        self.clients.insert(id, Arc::clone(&activity));
        self.expire_burst(now);
        if waited || !self.burst.is_empty() {
            self.burst.push_back(now);
        }
        if self.burst.len() > self.max_clients / HEADROOM_DIVISOR {
            self.burst.pop_front();
        }
        (id, activity)
    }

    /// Removes a client whose connection was closed by either side.
    pub fn remove(&mut self, id: ClientId) {
        let was_selected = self.clients.remove(&id).is_some_and(|c| c.eviction_requested.load(Relaxed));
        self.pending_evictions = self.pending_evictions.saturating_sub(usize::from(was_selected));
    }

    /// A client selected for eviction turned out to be active and stays connected.
    pub fn eviction_declined(&mut self) {
        self.pending_evictions = self.pending_evictions.saturating_sub(1);
    }

    /// Selects the clients to evict for a client that waits for a slot, if `is_waiting`, and for those that the current
    /// burst is expected to bring.
    pub fn select_evictions(&mut self, now: Time, is_waiting: bool) -> Vec<Arc<ClientActivity>> {
        let wanted = self.expected_arrivals(now).max(usize::from(is_waiting));
        self.select(
            now,
            (self.clients.len() + wanted).saturating_sub(self.max_clients + self.pending_evictions),
        )
    }

    /// Selects the clients to evict when file descriptors, and not slots, have run out.
    pub fn select_evictions_for_descriptors(&mut self, now: Time) -> Vec<Arc<ClientActivity>> {
        let wanted = self.expected_arrivals(now).max(1);
        self.select(now, wanted.saturating_sub(self.pending_evictions))
    }

    /// Clients expected before the evictions of this moment take effect; none after a single arrival.
    fn expected_arrivals(&mut self, now: Time) -> usize {
        self.expire_burst(now);
        self.burst.len().saturating_sub(1)
    }

    fn expire_burst(&mut self, now: Time) {
        while self.burst.front().is_some_and(|at| now - *at >= BURST_WINDOW) {
            self.burst.pop_front();
        }
    }

    /// Selects up to `n` clients: those idle for longest first, then those whose incomplete request is oldest.
    ///
    /// Guards against bursts of clients that connect and stay silent, that send one command and stay, or that never
    /// complete a request; also covers clients that vanished without closing. Two kinds of legitimate clients may be
    /// evicted in a burst and have to reconnect: those that connect before they need to, and those that pause for more
    /// than a quarter of a second between two parts of a request.
    fn select(&mut self, now: Time, n: usize) -> Vec<Arc<ClientActivity>> {
        if n == 0 {
            return Vec::new();
        }
        let rank = |c: &ClientActivity| match c.partial_since.load(Relaxed) {
            0 => Some((false, c.last_active.load(Relaxed))),
            since => (now - Time(since) >= PARTIAL_REQUEST_GRACE).then_some((true, since)),
        };
        let idle = self.clients.values().filter(|c| !c.eviction_requested.load(Relaxed) && c.is_idle());
        let mut ranked: Vec<_> = idle.filter_map(|c| Some((rank(c)?, c))).collect();
        if n < ranked.len() {
            ranked.select_nth_unstable_by_key(n, |(rank, _)| *rank);
            ranked.truncate(n);
        }
        self.pending_evictions += ranked.len();
        let request_eviction = |((is_partial, _), c): ((bool, u64), &Arc<ClientActivity>)| {
            c.evict_despite_partial.store(is_partial, Relaxed);
            c.eviction_requested.store(true, Relaxed);
            Arc::clone(c)
        };
        ranked.into_iter().map(request_eviction).collect()
    }

    /// Whether a change to this state is to be logged: each lack of room once, and its end once an eighth of the
    /// slots is free.
    pub fn is_transition(&mut self, full: bool) -> bool {
        let nearly_full = self.clients.len() + self.max_clients / 8 >= self.max_clients;
        let is_transition = self.reported_full != full && (full || !nearly_full);
        if is_transition {
            self.reported_full = full;
        }
        is_transition
    }
}

#[cfg(test)]
mod tests;
