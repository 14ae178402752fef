use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use curlewpoint::types::{Outcome, RpcId, Time, WorkerId};
use curlewpoint_engine::{Answer, ClientId, ConnId, Pool, RequestId, UpstreamRequest, Wires, World};
use curlewpoint_link::{Clock, Outbox, Ticket};
use curlewpoint_platform::commands::{self, TagSet};
use curlewpoint_platform::{json_lines, resp};
use tokio::task::AbortHandle;
use tracing::{debug, info};

use crate::doors::Presence;
use crate::line::WorkerLine;
use crate::workers::Dialler;

/// A client's connection, as the engine's task sees it.
pub(crate) struct Client {
    pub outbox: Outbox<Bytes>,
    pub writer: AbortHandle,
    pub presence: Arc<Presence>,
    pub tags: TagSet,
    pub open: BTreeSet<u64>,
    /// Tags that it cancelled before they came.
    pub cancelled: BTreeSet<u64>,
    /// What it asked that could not be taken, for a fault of its own.
    pub faults: u32,
    /// How often in a row it was seen to say nothing.
    pub quiet: u32,
}

impl Client {
    pub fn new(outbox: Outbox<Bytes>, writer: AbortHandle, presence: Arc<Presence>) -> Client {
        let (tags, open, cancelled) = Default::default();
        Client { outbox, writer, presence, tags, open, cancelled, faults: 0, quiet: 0 }
    }
}

/// What a worker is asked: under this name, in these bytes, and taken back so.
pub(crate) struct Asked {
    name: Arc<str>,
    line: WorkerLine,
    attempt: bool,
}

/// Sockets towards workers, as the pool acts on them.
pub(crate) struct Sockets {
    dialler: Dialler,
    outboxes: BTreeMap<ConnId, Outbox<WorkerLine>>,
    tickets: BTreeMap<RequestId, (Ticket, ConnId, Arc<str>)>,
    /// What is asked on each connection, by the names that workers answer under.
    names: BTreeMap<(ConnId, Arc<str>), RequestId>,
    /// Where else an RPC that is held was asked under its name. A name is used once on a connection, so that a second
    /// answer to one attempt is never taken for that to the next: 'full' twice would prove that the next never ran.
    spent: BTreeMap<Arc<str>, Vec<ConnId>>,
    ended: VecDeque<(RequestId, Outcome)>,
}

impl Sockets {
    fn forget(&mut self, request: RequestId) {
        if let Some((_, conn, name)) = self.tickets.remove(&request) {
            self.names.remove(&(conn, Arc::clone(&name)));
            if !name.starts_with(OWN) {
                self.spent.entry(name).or_default().push(conn);
            }
        }
    }
}

impl Wires<Asked> for Sockets {
    fn dial(&mut self, conn: ConnId, worker: WorkerId, address: &str) {
        debug!(conn = conn.0, worker = worker.0, address, "dialling");
        self.dialler.dial(conn, address.to_owned());
    }

    fn send(&mut self, conn: ConnId, request: RequestId, asked: &Asked) -> bool {
        let Some(outbox) = self.outboxes.get(&conn) else { return false };
        let key = (conn, Arc::clone(&asked.name));
        let ticket = Ticket::default();
        let spent = self.spent.get(&asked.name).is_some_and(|conns| conns.contains(&conn));
        if spent
            || self.names.contains_key(&key)
            || outbox.send(asked.line.clone(), Some(ticket.clone())).is_err()
        {
            return false;
        }
        self.names.insert(key, request);
        self.tickets.insert(request, (ticket, conn, Arc::clone(&asked.name)));
        true
    }

    fn take_back(&mut self, _conn: ConnId, request: RequestId) -> bool {
        self.tickets.get(&request).is_some_and(|(ticket, ..)| ticket.take_back())
    }

    fn take_back_at_drain(&mut self, _conn: ConnId, request: RequestId) -> bool {
        let Some((ticket, _, name)) = self.tickets.get(&request) else { return false };
        if name.starts_with(OWN) {
            ticket.take_back()
        } else {
            ticket.take_back_unbegun()
        }
    }

    fn withdraw(&mut self, conn: ConnId, request: RequestId) {
        let (Some(outbox), Some((_, _, name))) = (self.outboxes.get(&conn), self.tickets.get(&request))
        else {
            return;
        };
        // A probe or an order is not taken back: its end is passed over. Where the outbox is full nothing is told.
        if !name.starts_with(OWN) {
            let _ = outbox.send(WorkerLine::Ready(json_lines::abort_line(name)), None);
        }
    }

    fn close(&mut self, conn: ConnId) {
        self.outboxes.remove(&conn);
    }

    fn ended(&mut self, request: RequestId, outcome: Outcome) {
        self.forget(request);
        self.ended.push_back((request, outcome));
    }
}

/// How long, and how many of, the ids of RPCs that have ended are known: longer than an answer comes late.
const LATELY: Duration = Duration::from_secs(10);
const MOST_LATELY: usize = 16_384;
/// Begins the names of probes and orders; clients' ids are hex digits.
const OWN: char = 't';

/// What the engine acts through.
pub(crate) struct Outside {
    pub clients: BTreeMap<ClientId, Client>,
    /// Clients that did not read their answers and have been cut off.
    pub lost: Vec<ClientId>,
    /// The id under which the next RPC comes.
    pub coming: Arc<str>,
    /// What its client has withdrawn: an answer is not owed for it.
    pub withdrawn: Option<(ClientId, u64)>,
    /// The ids that clients gave, of all RPCs held.
    ids: BTreeMap<RpcId, Arc<str>>,
    held: BTreeSet<Arc<str>>,
    /// Ids of RPCs held a short while ago, the oldest first: a repeat of one is none that a client sends.
    lately: VecDeque<(Instant, Arc<str>)>,
    clock: Clock,
    pool: Pool<Asked>,
    sockets: Sockets,
}

impl Outside {
    pub fn new(pool: Pool<Asked>, dialler: Dialler, clock: Clock) -> Outside {
        let (outboxes, tickets, names, spent, ended) = Default::default();
        let sockets = Sockets { dialler, outboxes, tickets, names, spent, ended };
        let (clients, lost, ids, held, lately) = Default::default();
        let coming = "".into();
        Outside { clients, lost, coming, withdrawn: None, ids, held, lately, clock, pool, sockets }
    }

    /// Whether an RPC with this id is held, or was a short while ago; workers know RPCs by it. Guards against a late or
    /// second answer to the one before, which would be taken for an answer to this. Harms no client that keeps to the
    /// protocol: its ids are new with every request.
    pub fn holds(&self, id: &str) -> bool {
        self.held.contains(id)
    }

    /// Says a row to a client; one whose outbox is full does not read, and is cut off rather than waited for.
    pub fn tell(&mut self, id: ClientId, tag: u64, word: &str, fields: &str, body: &[u8]) {
        let Some(client) = self.clients.get(&id) else { return };
        let row = resp::encode_array(&[tag.to_string().as_bytes(), word.as_bytes(), fields.as_bytes(), body]);
        if client.outbox.send(row, None).is_err() {
            info!(client = id.0, "cut off: it does not read its answers");
            client.writer.abort();
            self.clients.remove(&id);
            self.lost.push(id);
        }
    }

    pub fn conn_up(&mut self, now: Time, conn: ConnId, outbox: Outbox<WorkerLine>) {
        self.sockets.outboxes.insert(conn, outbox);
        self.pool.conn_up(now, &mut self.sockets, conn);
    }

    pub fn conn_failed(&mut self, now: Time, conn: ConnId, ours: bool) {
        self.pool.conn_failed(now, &mut self.sockets, conn, ours);
    }

    pub fn conn_broken(&mut self, now: Time, conn: ConnId) {
        self.pool.conn_broken(now, &mut self.sockets, conn);
        self.sockets.outboxes.remove(&conn);
    }

    /// What is asked on this connection under this name, if it is still waited for.
    pub fn asked_as(&self, conn: ConnId, name: &str) -> Option<RequestId> {
        self.sockets.names.get(&(conn, Arc::from(name))).copied()
    }

    pub fn answered(&mut self, now: Time, request: RequestId) {
        self.sockets.forget(request);
        self.pool.answered(now, &mut self.sockets, request);
    }

    fn forget_lately(&mut self, most: usize) {
        while self.lately.front().is_some_and(|(at, _)| self.lately.len() > most || at.elapsed() >= LATELY) {
            if let Some((_, id)) = self.lately.pop_front() {
                self.held.remove(&id);
            }
        }
    }

    pub fn sweep(&mut self, now: Time) {
        self.forget_lately(MOST_LATELY);
        self.pool.sweep(now, &mut self.sockets);
    }

    /// What the pool has open, and at which worker.
    pub fn open(&self) -> BTreeMap<RequestId, WorkerId> {
        self.pool.open().collect()
    }

    /// How much is kept, by kind.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let here = [
            ("clients", self.clients.len()),
            ("ids of RPCs", self.ids.len()),
            ("ids of late", self.lately.len()),
            ("names at workers", self.sockets.names.len()),
            ("names spent", self.sockets.spent.len()),
            ("tickets", self.sockets.tickets.len()),
            ("outboxes", self.sockets.outboxes.len()),
        ];
        here.into_iter().chain(self.pool.sizes()).collect()
    }

    pub fn conns(&self) -> usize {
        self.pool.conns()
    }
}

impl World for Outside {
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>) {
        let name = || Arc::from(format!("{OWN}{}", id.0));
        let asked = match request {
            UpstreamRequest::Attempt { rpc, method, model, token, left, body, .. } => {
                let name = Arc::clone(&self.ids[&rpc]);
                let invoke = json_lines::Invoke::new(&name, method, model, token, body);
                let line = WorkerLine::Attempt { invoke, deadline: now + left, clock: self.clock };
                Asked { name, line, attempt: true }
            }
            UpstreamRequest::Load { model, copies } => {
                let name: Arc<str> = name();
                Asked {
                    line: WorkerLine::Ready(json_lines::prewarm_line(&name, model, copies)),
                    name,
                    attempt: false,
                }
            }
            UpstreamRequest::Probe => {
                let name: Arc<str> = name();
                Asked { line: WorkerLine::Ready(json_lines::gauges_line(&name)), name, attempt: false }
            }
        };
        debug!(request = id.0, worker = worker.0, attempt = asked.attempt, "asked as {}", asked.name);
        self.pool.request(now, &mut self.sockets, worker, id, asked);
    }

    fn take_back(&mut self, now: Time, id: RequestId) -> bool {
        let untouched = self.pool.take_back(now, &mut self.sockets, id);
        self.sockets.forget(id);
        untouched
    }

    fn answer(
        &mut self, rpc: RpcId, client: ClientId, tag: u64, answer: Answer, why: &str, retry_after: Time,
        body: Bytes,
    ) {
        debug!(rpc = rpc.0, client = client.0, tag, "{answer:?} {why}");
        if let Some(client) = self.clients.get_mut(&client) {
            client.open.remove(&tag);
            client.presence.answered(self.clock.now(), client.open.len());
        }
        if self.withdrawn == Some((client, tag)) {
            return;
        }
        let word = match answer {
            Answer::Ok => commands::GOOD,
            Answer::Denied => commands::REFUSED,
            Answer::Aborted => commands::BROKEN,
        };
        self.tell(client, tag, word, &commands::reply_fields(retry_after), &body);
    }

    fn ended(&mut self) -> Option<(RequestId, Outcome)> {
        self.sockets.ended.pop_front()
    }

    fn unload(&mut self, now: Time, worker: WorkerId, model: &str) {
        self.pool.tell(now, &mut self.sockets, worker, |sockets, conn| {
            if let Some(outbox) = sockets.outboxes.get(&conn) {
                let _ = outbox.send(WorkerLine::Ready(json_lines::evict_line(model)), None);
            }
        });
    }

    /// The whole list is asked for again and again; there is nothing to ask for beside.
    fn watch_list(&mut self, _held: Option<(u64, u64)>) {}

    fn worker_at(&mut self, now: Time, worker: WorkerId, name: &str, address: &str, since: Time) {
        debug!(worker = worker.0, name, address, "listed");
        self.pool.worker_at(now, &mut self.sockets, worker, address, since);
    }

    fn worker_drains(&mut self, now: Time, worker: WorkerId) {
        self.pool.send_nothing_more(now, &mut self.sockets, worker);
    }

    fn worker_gone(&mut self, now: Time, worker: WorkerId) {
        self.pool.worker_gone(now, &mut self.sockets, worker);
    }

    fn taken(&mut self, rpc: RpcId) {
        let id = std::mem::replace(&mut self.coming, "".into());
        self.held.insert(Arc::clone(&id));
        self.ids.insert(rpc, id);
    }

    fn forgotten(&mut self, rpc: RpcId) {
        let Some(id) = self.ids.remove(&rpc) else { return };
        self.sockets.spent.remove(&id);
        self.lately.push_back((Instant::now(), id));
        self.forget_lately(MOST_LATELY);
    }

    fn log(&mut self, rpc: Option<RpcId>, line: &str) {
        match rpc {
            Some(rpc) => info!(rpc = rpc.0, "{line}"),
            None => info!("{line}"),
        }
    }
}
