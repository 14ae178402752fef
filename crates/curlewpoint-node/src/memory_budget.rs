//! How much memory is held for clients, without I/O: one limit in bytes for all that is held for all of them, shared
//! fairly.
//!
//! Each client has a guaranteed share for what was received from it and not handled yet, so that one call can always be
//! read, and one for its open RPCs, so that a small one can always be open. All else is taken from a common pool, of which
//! a client may hold a fraction of what is then still free: many greedy clients leave room for others. Commands that are
//! received in part, which clients can leave incomplete for long, never take more than a part of the pool.

use std::fmt::{self, Display, Formatter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Waker};

use bytes::Bytes;

/// Share of the process's memory that is held for clients; the rest is for connections, workers and the allocator.
const BUDGET_SHARE: f64 = 0.625;
/// At most this part of the budget is guaranteed to clients; the rest is the common pool.
const GUARANTEED_SHARE: f64 = 0.75;
/// What was received and not handled takes at most this part of the common pool.
const RECEIVED_DIVISOR: usize = 2;
/// Memory is scarce while less than this part of the common pool, or of the part for received bytes, is free.
const SCARCE_DIVISOR: usize = 4;
/// A client may hold this fraction of the free part of the common pool.
const FAIR_SHARE_DIVISOR: usize = 8;

/// How a process's memory is divided among its clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BudgetLimits {
    /// Maximum number of clients.
    pub max_clients: usize,
    /// Bytes that each client may always hold of what was received and not handled.
    pub guaranteed_received: usize,
    /// Bytes that each client may always hold for open RPCs.
    pub guaranteed_open: usize,
    /// Bytes that all clients together may hold beyond that.
    pub common: usize,
    /// Bytes counted for an open RPC beside its body.
    pub per_rpc: usize,
}

/// What the tables of an open RPC and its queue entries take at most.
const RPC_OVERHEAD_BYTES: usize = 4 * 1024;
/// The longest body with which a client can always have an RPC open.
const SMALL_BODY_BYTES: usize = 4 * 1024;

impl BudgetLimits {
    /// Divides the memory so that the shares of all clients and the common pool never exceed the budget. Fewer than
    /// `max_clients` are let in if their guaranteed shares would not fit. With `max_open` RPCs open the common pool is
    /// used up, so that a limit on their number is shared as fairly as the bytes.
    pub fn new(
        memory_bytes: usize, max_clients: usize, max_open: usize, guaranteed_received: usize,
    ) -> BudgetLimits {
        let budget = (memory_bytes as f64 * BUDGET_SHARE) as usize;
        let guaranteed_open = RPC_OVERHEAD_BYTES + SMALL_BODY_BYTES;
        let guaranteed = guaranteed_received + guaranteed_open;
        let max_guaranteed = (budget as f64 * GUARANTEED_SHARE) as usize;
        let max_clients = max_clients.min(max_guaranteed / guaranteed).max(1);
        let common = budget.saturating_sub(max_clients * guaranteed);
        let per_rpc = RPC_OVERHEAD_BYTES.max(common / max_open.max(1));
        BudgetLimits { max_clients, guaranteed_received, guaranteed_open, common, per_rpc }
    }

    /// The part of the common pool that received bytes may take.
    fn common_received(&self) -> usize {
        self.common / RECEIVED_DIVISOR
    }

    /// The number of RPCs that can be open.
    pub fn max_open(&self) -> usize {
        (self.common / self.per_rpc).max(1)
    }
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// Bytes received from a client that the engine has not handled.
    Received,
    /// Open RPCs, and replies that are not written.
    Open,
}

/// Figures of the budget, in bytes unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct BudgetFigures {
    /// Held for all clients together, with their guaranteed shares.
    pub held: usize,
    /// The most that was ever held.
    pub highest: usize,
    /// Held of the common pool, and the part of that for received bytes.
    pub common: usize,
    pub common_received: usize,
    /// Number of reservations that were turned down.
    pub denied: u64,
}

impl Display for BudgetFigures {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let BudgetFigures { held, highest, common, common_received, denied } = self;
        write!(f, "held={held} highest={highest} common={common} ")?;
        write!(f, "common_received={common_received} denied={denied}")
    }
}

/// The memory held for all clients.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    limits: BudgetLimits,
    figures: Mutex<BudgetFigures>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryBudget {
    pub fn new(limits: BudgetLimits) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { limits, figures: Mutex::default() })
    }

    pub fn limits(&self) -> BudgetLimits {
        self.limits
    }

    pub fn figures(&self) -> BudgetFigures {
        *lock(&self.figures)
    }

    /// The account of a new client.
    pub fn client(self: &Arc<Self>) -> Arc<ClientMemory> {
        Arc::new(ClientMemory { budget: Arc::clone(self), holdings: Mutex::default() })
    }
}

/// What one client holds, in bytes.
#[derive(Debug, Default)]
struct Holdings {
    received: usize,
    open: usize,
    /// Woken when received bytes are released.
    waker: Option<Waker>,
}

impl Holdings {
    fn of(&mut self, purpose: Purpose) -> &mut usize {
        match purpose {
            Purpose::Received => &mut self.received,
            Purpose::Open => &mut self.open,
        }
    }

    /// What it holds of the common pool for received bytes.
    fn common_received(&self, limits: &BudgetLimits) -> usize {
        self.received.saturating_sub(limits.guaranteed_received)
    }

    /// What it holds of the common pool.
    fn common(&self, limits: &BudgetLimits) -> usize {
        self.common_received(limits) + self.open.saturating_sub(limits.guaranteed_open)
    }
}

/// Bytes of a pool that a client with `own` bytes of it may still take: in all, it may hold a fraction of what is then
/// free.
fn fair_rest(own: usize, pool: usize, held: usize) -> usize {
    let free = pool.saturating_sub(held);
    // The largest `n` with `own + n <= (free - n) / FAIR_SHARE_DIVISOR`.
    free.saturating_sub(own * FAIR_SHARE_DIVISOR) / (FAIR_SHARE_DIVISOR + 1)
}

/// The account of one client.
#[derive(Debug)]
pub(crate) struct ClientMemory {
    budget: Arc<MemoryBudget>,
    holdings: Mutex<Holdings>,
}

impl ClientMemory {
    /// Bytes that may still be reserved for a purpose.
    fn available(&self, holdings: &Holdings, figures: &BudgetFigures, purpose: Purpose) -> usize {
        let limits = &self.budget.limits;
        let of_pool = fair_rest(holdings.common(limits), limits.common, figures.common);
        match purpose {
            Purpose::Open => limits.guaranteed_open.saturating_sub(holdings.open) + of_pool,
            Purpose::Received => {
                let own = holdings.common_received(limits);
                let of_part = fair_rest(own, limits.common_received(), figures.common_received);
                limits.guaranteed_received.saturating_sub(holdings.received) + of_pool.min(of_part)
            }
        }
    }

    /// Whether the client holds received bytes beyond its guaranteed share, or unwritten replies, that others may need.
    pub fn is_wanted_back(&self, purpose: Purpose) -> bool {
        let limits = &self.budget.limits;
        let holdings = lock(&self.holdings);
        let figures = lock(&self.budget.figures);
        let (own, limit, held) = match purpose {
            Purpose::Received => {
                (holdings.common_received(limits), limits.common_received(), figures.common_received)
            }
            Purpose::Open => (holdings.common(limits), limits.common, figures.common),
        };
        own > 0 && limit.saturating_sub(held) < limit / SCARCE_DIVISOR
    }

    fn change(
        &self, holdings: &mut Holdings, figures: &mut BudgetFigures, purpose: Purpose, from: usize, to: usize,
    ) {
        let limits = &self.budget.limits;
        let before = (holdings.common(limits), holdings.common_received(limits));
        let held = holdings.of(purpose);
        *held = *held + to - from;
        figures.common = figures.common + holdings.common(limits) - before.0;
        figures.common_received = figures.common_received + holdings.common_received(limits) - before.1;
        figures.held = figures.held + to - from;
        figures.highest = figures.highest.max(figures.held);
    }

    /// Reserves up to `wanted` bytes for reading, as much as the client may hold.
    pub fn reserve_for_read(self: &Arc<Self>, wanted: usize) -> Reservation {
        let mut holdings = lock(&self.holdings);
        let mut figures = lock(&self.budget.figures);
        let bytes = self.available(&holdings, &figures, Purpose::Received).min(wanted);
        if bytes == 0 {
            figures.denied += 1;
        }
        self.change(&mut holdings, &mut figures, Purpose::Received, 0, bytes);
        Reservation { client: Arc::clone(self), purpose: Purpose::Received, bytes }
    }

    /// Reserves bytes if the client may hold that many more.
    pub fn try_reserve(self: &Arc<Self>, purpose: Purpose, bytes: usize) -> Option<Reservation> {
        let mut holdings = lock(&self.holdings);
        let mut figures = lock(&self.budget.figures);
        if self.available(&holdings, &figures, purpose) < bytes {
            figures.denied += 1;
            return None;
        }
        self.change(&mut holdings, &mut figures, purpose, 0, bytes);
        Some(Reservation { client: Arc::clone(self), purpose, bytes })
    }

    /// Counts bytes that are held already. Others, and this client, are then allowed less.
    pub fn reserve_unchecked(self: &Arc<Self>, purpose: Purpose, bytes: usize) -> Reservation {
        let mut holdings = lock(&self.holdings);
        self.change(&mut holdings, &mut lock(&self.budget.figures), purpose, 0, bytes);
        Reservation { client: Arc::clone(self), purpose, bytes }
    }

    /// Has the task woken when received bytes are released.
    pub fn wake_on_release(&self, context: &Context<'_>) {
        lock(&self.holdings).waker = Some(context.waker().clone());
    }

    fn resize(&self, purpose: Purpose, from: usize, to: usize) {
        let waker = {
            let mut holdings = lock(&self.holdings);
            self.change(&mut holdings, &mut lock(&self.budget.figures), purpose, from, to);
            if purpose == Purpose::Received && to < from {
                holdings.waker.take()
            } else {
                None
            }
        };
        waker.into_iter().for_each(Waker::wake);
    }
}

/// Bytes that are held for a client, released when this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    client: Arc<ClientMemory>,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adapts it to the bytes that are held in fact.
    pub fn resize(&mut self, bytes: usize) {
        let from = std::mem::replace(&mut self.bytes, bytes);
        self.client.resize(self.purpose, from, bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.client.resize(self.purpose, self.bytes, 0);
    }
}

/// A buffer with the reservation that it is counted in.
struct CountedBuffer<B> {
    buffer: B,
    _reservation: Reservation,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for CountedBuffer<B> {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}

/// Bytes that stay counted until the last slice of them is dropped, as each keeps the whole buffer in memory.
pub(crate) fn counted_bytes(buffer: impl AsRef<[u8]> + Send + 'static, reservation: Reservation) -> Bytes {
    Bytes::from_owner(CountedBuffer { buffer, _reservation: reservation })
}

#[cfg(test)]
mod tests;
