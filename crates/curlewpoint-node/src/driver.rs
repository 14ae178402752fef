//! Implements the engine's and the pool's drivers: replies to clients, and requests to workers over their connections.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use curlewpoint::types::{Outcome, RpcId, Time, WorkerId};
use curlewpoint_engine::{
    Answer, ClientId, ConnId, EngineDriver, Pool, PoolDriver, RequestId, UpstreamRequest,
};
use curlewpoint_link::{Clock, Outbox, OvertakingCancels, Ticket};
use curlewpoint_platform::commands::{self, TagSet};
use curlewpoint_platform::{json_lines, resp};
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::admission::ClientActivity;
use crate::memory_budget::{counted_bytes, ClientMemory, Purpose};
use crate::send_lease::{PublishedLease, SendLease};
use crate::worker_line::WorkerLine;
use crate::workers::Dialler;

/// Bytes that a queued reply takes beside its own.
const REPLY_OVERHEAD_BYTES: usize = 128;
/// Replies that wait for less than this time (0.5 s) do not show that the client reads none.
const UNREAD_REPLY_LIMIT: Time = Time(5_000);

/// A client connection, as seen by the task that owns the engine.
pub(crate) struct Client {
    pub outbox: Outbox<Bytes>,
    pub writer: AbortHandle,
    pub activity: Arc<ClientActivity>,
    pub memory: Arc<ClientMemory>,
    /// When the outbox was last found empty, or a reply was first queued after that.
    written_at: Time,
    /// Cancelled to have the client's task pass on what it has received and close the connection.
    pub closing: CancellationToken,
    /// After an error of the client: its connection is being closed and no more calls are accepted.
    pub is_closing: bool,
    pub tags: TagSet,
    /// Tags of its open RPCs.
    pub open: BTreeSet<u64>,
    /// Cancels of calls that are still queued.
    pub overtaking_cancels: OvertakingCancels,
    /// Tags that were cancelled before the client sent their call.
    pub cancelled: BTreeSet<u64>,
    /// Number of calls rejected as malformed.
    pub malformed_calls: u32,
    /// Number of silence intervals in a row without a command or a reply.
    pub silent_intervals: u32,
}

impl Client {
    pub fn new(
        outbox: Outbox<Bytes>, writer: AbortHandle, activity: Arc<ClientActivity>, memory: Arc<ClientMemory>,
        closing: CancellationToken,
    ) -> Client {
        let (tags, open, overtaking_cancels, cancelled) = Default::default();
        Client {
            outbox,
            writer,
            activity,
            memory,
            written_at: Time(0),
            closing,
            is_closing: false,
            tags,
            open,
            overtaking_cancels,
            cancelled,
            malformed_calls: 0,
            silent_intervals: 0,
        }
    }

    /// Queues a reply, counted in the client's memory until it is written. Returns false if the client does not read its
    /// replies: its outbox is full, or it has left replies unread for a while and may hold no more.
    fn queue_reply(&mut self, now: Time, reply: Bytes) -> bool {
        if self.outbox.is_empty() {
            self.written_at = now;
        }
        let bytes = reply.len() + REPLY_OVERHEAD_BYTES;
        let reservation = match self.memory.try_reserve(Purpose::Open, bytes) {
            Some(reservation) => reservation,
            None if now - self.written_at < UNREAD_REPLY_LIMIT => {
                self.memory.reserve_unchecked(Purpose::Open, bytes)
            }
            None => return false,
        };
        self.outbox.send(counted_bytes(reply, reservation), None).is_ok()
    }

    /// Forgets the lowest tags that were cancelled before their call, so that `max` of them are left. Clients usually
    /// count tags up, so the lowest are the oldest.
    pub fn forget_cancelled(&mut self, max: usize) {
        while self.cancelled.len() > max {
            self.cancelled.pop_first();
        }
    }
}

/// A request to a worker: the `req` that the worker's reply repeats, and the line to send.
pub(crate) struct WorkerRequest {
    req: Arc<str>,
    line: WorkerLine,
    is_attempt: bool,
}

/// Connections to workers, through which the pool acts.
pub(crate) struct WorkerSockets {
    dialler: Dialler,
    outboxes: BTreeMap<ConnId, Outbox<WorkerLine>>,
    /// The send ticket, the connection and the `req` of each open request.
    tickets: BTreeMap<RequestId, (Ticket, ConnId, Arc<str>)>,
    /// Open requests on each connection, by the `req` that the reply repeats.
    by_req: BTreeMap<(ConnId, Arc<str>), RequestId>,
    /// Connections on which a `req` of an open RPC was used before. A `req` is used once per connection, so that a
    /// duplicate reply to one attempt is not matched to the next: a duplicate 'full' would prove that the next
    /// attempt never ran.
    used_reqs: BTreeMap<Arc<str>, Vec<ConnId>>,
    ended: VecDeque<(RequestId, Outcome)>,
}

impl WorkerSockets {
    fn forget(&mut self, request: RequestId) {
        if let Some((_, conn, req)) = self.tickets.remove(&request) {
            self.by_req.remove(&(conn, Arc::clone(&req)));
            if !req.starts_with(OWN_REQ_PREFIX) {
                self.used_reqs.entry(req).or_default().push(conn);
            }
        }
    }
}

impl PoolDriver<WorkerRequest> for WorkerSockets {
    fn dial(&mut self, conn: ConnId, worker: WorkerId, address: &str) {
        debug!(conn = conn.0, worker = worker.0, address, "dialling");
        self.dialler.dial(conn, address.to_owned());
    }

    fn send(&mut self, conn: ConnId, request: RequestId, worker_request: &WorkerRequest) -> bool {
        let Some(outbox) = self.outboxes.get(&conn) else { return false };
        let key = (conn, Arc::clone(&worker_request.req));
        let ticket = Ticket::default();
        let is_used = self.used_reqs.get(&worker_request.req).is_some_and(|conns| conns.contains(&conn));
        if is_used
            || self.by_req.contains_key(&key)
            || outbox.send(worker_request.line.clone(), Some(ticket.clone())).is_err()
        {
            return false;
        }
        self.by_req.insert(key, request);
        self.tickets.insert(request, (ticket, conn, Arc::clone(&worker_request.req)));
        true
    }

    fn withdraw(&mut self, _conn: ConnId, request: RequestId) -> bool {
        self.tickets.get(&request).is_some_and(|(ticket, ..)| ticket.withdraw())
    }

    fn withdraw_on_drain(&mut self, _conn: ConnId, request: RequestId) -> bool {
        let Some((ticket, _, req)) = self.tickets.get(&request) else { return false };
        if req.starts_with(OWN_REQ_PREFIX) {
            ticket.withdraw()
        } else {
            ticket.withdraw_if_queued()
        }
    }

    fn send_withdraw(&mut self, conn: ConnId, request: RequestId) {
        let (Some(outbox), Some((_, _, req))) = (self.outboxes.get(&conn), self.tickets.get(&request)) else {
            return;
        };
        // Probes and load orders cannot be aborted: their replies are ignored. With a full outbox the abort is not
        // sent.
        if !req.starts_with(OWN_REQ_PREFIX) {
            let _ = outbox.send(WorkerLine::Encoded(json_lines::abort_line(req)), None);
        }
    }

    fn close(&mut self, conn: ConnId) {
        self.outboxes.remove(&conn);
    }

    fn ended_locally(&mut self, request: RequestId, outcome: Outcome) {
        self.forget(request);
        self.ended.push_back((request, outcome));
    }
}

/// How long the IDs of ended RPCs are remembered; replies do not arrive later than this.
const RECENT_ID_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of IDs of ended RPCs that are remembered.
const MAX_RECENT_IDS: usize = 16_384;
/// First character of the `req` of probes and load orders; client IDs consist of hex digits.
const OWN_REQ_PREFIX: char = 't';

/// The driver through which the engine acts on clients and workers.
pub(crate) struct NodeDriver {
    pub clients: BTreeMap<ClientId, Client>,
    /// Clients that were cut off because they did not read their replies.
    pub cut_off_clients: Vec<ClientId>,
    /// ID of the RPC that is being handed to the engine.
    pub next_rpc_id: Arc<str>,
    /// The RPC that its client is withdrawing, which therefore gets no reply.
    pub withdrawn: Option<(ClientId, u64)>,
    /// Client IDs of all open RPCs.
    open_ids: BTreeMap<RpcId, Arc<str>>,
    /// IDs of the open and of the recently ended RPCs.
    known_ids: BTreeSet<Arc<str>>,
    /// IDs of recently ended RPCs, the oldest first.
    recent_ids: VecDeque<(Instant, Arc<str>)>,
    clock: Clock,
    /// The lease on the endpoint list, for the writers of connections.
    pub list_lease: PublishedLease,
    pool: Pool<WorkerRequest>,
    sockets: WorkerSockets,
}

impl NodeDriver {
    pub fn new(pool: Pool<WorkerRequest>, dialler: Dialler, clock: Clock) -> NodeDriver {
        let (outboxes, tickets, by_req, used_reqs, ended) = Default::default();
        let sockets = WorkerSockets { dialler, outboxes, tickets, by_req, used_reqs, ended };
        let (clients, cut_off_clients, open_ids, known_ids, recent_ids) = Default::default();
        let next_rpc_id = "".into();
        NodeDriver {
            clients,
            cut_off_clients,
            next_rpc_id,
            withdrawn: None,
            open_ids,
            known_ids,
            recent_ids,
            clock,
            list_lease: PublishedLease::default(),
            pool,
            sockets,
        }
    }

    fn send_lease(&self, send_by: Time) -> SendLease {
        SendLease { clock: self.clock, send_by, published: self.list_lease.clone() }
    }

    /// Ends the requests that were not begun because their lease or their time had ended.
    pub fn end_expired(&mut self, now: Time) {
        if !self.list_lease.take_refused() {
            return;
        }
        let tickets = self.sockets.tickets.iter();
        let expired: Vec<RequestId> =
            tickets.filter(|(_, (ticket, ..))| ticket.is_withdrawn()).map(|(id, _)| *id).collect();
        info!(
            requests = expired.len(),
            "not sent: the lease on the endpoint list or the time left had ended"
        );
        for request in expired {
            self.pool.end_unsent(now, &mut self.sockets, request);
        }
    }

    /// Whether an RPC with this ID is open or ended recently. Workers identify RPCs by this ID, so a late or
    /// duplicate reply to the earlier RPC would be matched to a new one. Clients that keep to the protocol use a new
    /// ID for each request.
    pub fn is_known_id(&self, id: &str) -> bool {
        self.known_ids.contains(id)
    }

    /// A copy of a call's body that is counted in its client's memory, with `overhead` for the rest of the open RPC, for
    /// as long as it is kept. The original is a slice of the whole command. Returns `None` if the client holds its share.
    pub fn count_call(&self, id: ClientId, body: &[u8], overhead: usize) -> Option<Bytes> {
        let client = self.clients.get(&id)?;
        let reservation = client.memory.try_reserve(Purpose::Open, body.len() + overhead)?;
        Some(counted_bytes(body.to_vec(), reservation))
    }

    /// Sends a reply to a client.
    pub fn reply(&mut self, id: ClientId, tag: u64, status: &str, fields: &str, body: &[u8]) {
        self.reply_to_tag(id, tag.to_string().as_bytes(), status, fields, body);
    }

    /// Sends a reply to a client, with the tag as its client wrote it. A client that does not
    /// read its replies is cut off.
    pub fn reply_to_tag(&mut self, id: ClientId, tag: &[u8], status: &str, fields: &str, body: &[u8]) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let reply = resp::encode_array(&[tag, status.as_bytes(), fields.as_bytes(), body]);
        if !client.queue_reply(self.clock.now(), reply) {
            self.cut_off(id);
        }
    }

    pub fn conn_up(&mut self, now: Time, conn: ConnId, outbox: Outbox<WorkerLine>) {
        self.sockets.outboxes.insert(conn, outbox);
        self.pool.conn_up(now, &mut self.sockets, conn);
    }

    pub fn conn_failed(&mut self, now: Time, conn: ConnId, is_local: bool) {
        self.pool.conn_failed(now, &mut self.sockets, conn, is_local);
    }

    pub fn conn_broken(&mut self, now: Time, conn: ConnId) {
        self.pool.conn_broken(now, &mut self.sockets, conn);
        self.sockets.outboxes.remove(&conn);
    }

    /// The open request with this `req` on a connection.
    pub fn open_request(&self, conn: ConnId, req: &str) -> Option<RequestId> {
        self.sockets.by_req.get(&(conn, Arc::from(req))).copied()
    }

    pub fn answered(&mut self, now: Time, request: RequestId) {
        self.sockets.forget(request);
        self.pool.answered(now, &mut self.sockets, request);
    }

    fn expire_recent_ids(&mut self, max: usize) {
        while self
            .recent_ids
            .front()
            .is_some_and(|(at, _)| self.recent_ids.len() > max || at.elapsed() >= RECENT_ID_RETENTION)
        {
            if let Some((_, id)) = self.recent_ids.pop_front() {
                self.known_ids.remove(&id);
            }
        }
    }

    /// Cuts off the clients that leave replies unread while the memory for them is scarce.
    fn cut_off_unread(&mut self, now: Time) {
        let is_unread = |client: &Client| {
            !client.outbox.is_empty()
                && now - client.written_at >= UNREAD_REPLY_LIMIT
                && client.memory.is_wanted_back(Purpose::Open)
        };
        let unread: Vec<ClientId> =
            self.clients.iter().filter(|(_, client)| is_unread(client)).map(|(id, _)| *id).collect();
        unread.into_iter().for_each(|id| self.cut_off(id));
    }

    fn cut_off(&mut self, id: ClientId) {
        info!(client = id.0, "cut off: it does not read its answers");
        if let Some(client) = self.clients.remove(&id) {
            client.writer.abort();
            self.cut_off_clients.push(id);
        }
    }

    pub fn sweep(&mut self, now: Time) {
        self.cut_off_unread(now);
        self.expire_recent_ids(MAX_RECENT_IDS);
        self.pool.close_idle(now, &mut self.sockets);
    }

    /// The pool's open requests and the worker of each.
    pub fn open(&self) -> BTreeMap<RequestId, WorkerId> {
        self.pool.open_requests().collect()
    }

    /// Sizes of the tables, by name.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let own = [
            ("clients", self.clients.len()),
            ("ids of open RPCs", self.open_ids.len()),
            ("ids of ended RPCs", self.recent_ids.len()),
            ("reqs at workers", self.sockets.by_req.len()),
            ("used reqs", self.sockets.used_reqs.len()),
            ("tickets", self.sockets.tickets.len()),
            ("outboxes", self.sockets.outboxes.len()),
        ];
        own.into_iter().chain(self.pool.sizes()).collect()
    }

    pub fn conns(&self) -> usize {
        self.pool.conn_count()
    }
}

impl EngineDriver for NodeDriver {
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>) {
        let own_req = || Arc::from(format!("{OWN_REQ_PREFIX}{}", id.0));
        let worker_request = match request {
            UpstreamRequest::Attempt { rpc, method, model, token, time_left, send_by, body, .. } => {
                let req = Arc::clone(&self.open_ids[&rpc]);
                let invoke = json_lines::Invoke::new(&req, method, model, token, body.clone());
                let line = WorkerLine::Attempt {
                    invoke,
                    deadline: now + time_left,
                    lease: self.send_lease(send_by),
                };
                WorkerRequest { req, line, is_attempt: true }
            }
            UpstreamRequest::Load { model, copies, send_by } => {
                let req: Arc<str> = own_req();
                let (line, lease) = (json_lines::prewarm_line(&req, model, copies), self.send_lease(send_by));
                WorkerRequest { line: WorkerLine::LoadOrder { line, lease }, req, is_attempt: false }
            }
            UpstreamRequest::DrainQuery { model, established_by } => {
                let req: Arc<str> = own_req();
                let line = WorkerLine::Encoded(json_lines::prewarm_line(&req, model, 0));
                let query = WorkerRequest { line, req, is_attempt: false };
                let sockets = &mut self.sockets;
                return self.pool.request_on_established(now, sockets, worker, id, query, established_by);
            }
            UpstreamRequest::Probe => {
                let req: Arc<str> = own_req();
                WorkerRequest {
                    line: WorkerLine::Encoded(json_lines::gauges_line(&req)),
                    req,
                    is_attempt: false,
                }
            }
        };
        debug!(
            request = id.0,
            worker = worker.0,
            attempt = worker_request.is_attempt,
            "sent as {}",
            worker_request.req
        );
        self.pool.request(now, &mut self.sockets, worker, id, worker_request);
    }

    fn is_connected_since(&self, worker: WorkerId, established_by: Time) -> bool {
        self.pool.is_connected_since(worker, established_by)
    }

    fn connection_established_at(&self, id: RequestId) -> Option<Time> {
        self.pool.connection_established_at(id)
    }

    fn withdraw(&mut self, now: Time, id: RequestId) -> bool {
        let was_unsent = self.pool.withdraw(now, &mut self.sockets, id);
        self.sockets.forget(id);
        was_unsent
    }

    fn answer(
        &mut self, rpc: RpcId, client: ClientId, tag: u64, answer: Answer, reason: &str, retry_after: Time,
        body: Bytes,
    ) {
        debug!(rpc = rpc.0, client = client.0, tag, "{answer:?} {reason}");
        if let Some(client) = self.clients.get_mut(&client) {
            client.open.remove(&tag);
            client.silent_intervals = 0;
            client.activity.replied(self.clock.now(), client.open.len());
        }
        if self.withdrawn == Some((client, tag)) {
            return;
        }
        let status = match answer {
            Answer::Ok => commands::GOOD,
            Answer::Denied => commands::REFUSED,
            Answer::Aborted => commands::BROKEN,
        };
        self.reply(client, tag, status, &commands::reply_fields(retry_after), &body);
    }

    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)> {
        self.sockets.ended.pop_front()
    }

    fn unload(&mut self, now: Time, worker: WorkerId, model: &str) {
        self.pool.with_open_conn(now, &mut self.sockets, worker, |sockets, conn| {
            if let Some(outbox) = sockets.outboxes.get(&conn) {
                let _ = outbox.send(WorkerLine::Encoded(json_lines::evict_line(model)), None);
            }
        });
    }

    /// Discovery is polled for the complete list regardless; there is nothing to request.
    fn watch_list(&mut self, _held: Option<(u64, u64)>) {}

    fn set_worker_address(&mut self, now: Time, worker: WorkerId, name: &str, address: &str, since: Time) {
        debug!(worker = worker.0, name, address, "listed");
        self.pool.set_worker_address(now, &mut self.sockets, worker, address, since);
    }

    fn worker_draining(&mut self, now: Time, worker: WorkerId) {
        self.pool.withdraw_unsent(now, &mut self.sockets, worker);
    }

    fn worker_gone(&mut self, now: Time, worker: WorkerId) {
        self.pool.worker_gone(now, &mut self.sockets, worker);
    }

    fn rpc_accepted(&mut self, rpc: RpcId) {
        let id = std::mem::replace(&mut self.next_rpc_id, "".into());
        self.known_ids.insert(Arc::clone(&id));
        self.open_ids.insert(rpc, id);
    }

    fn rpc_forgotten(&mut self, rpc: RpcId) {
        let Some(id) = self.open_ids.remove(&rpc) else { return };
        if self.sockets.used_reqs.remove(&id).is_none() {
            // No worker knows it. Clients whose calls are refused at full speed would displace those that are known.
            self.known_ids.remove(&id);
            return;
        }
        self.recent_ids.push_back((Instant::now(), id));
        self.expire_recent_ids(MAX_RECENT_IDS);
    }

    fn log(&mut self, rpc: Option<RpcId>, line: &str) {
        match rpc {
            Some(rpc) => info!(rpc = rpc.0, "{line}"),
            None => info!("{line}"),
        }
    }
}

#[cfg(test)]
mod tests;
