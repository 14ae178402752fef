use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::types::{FunctionId, Hint, Outcome, RpcId, Time, WorkerId};
use curlewpoint_catalogue::{Catalogue, Release, Releases};
use curlewpoint_engine::{Answer, ClientId, ConnId, Pool, RequestId, UpstreamRequest, Wires, World};
use curlewpoint_link::{Outbox, Ticket};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tracing::{debug, info};

use crate::codes::answer_code;
use crate::http::Reply;
use crate::workers::Dialler;

/// A client's connection, as the engine's task sees it.
pub(crate) struct Client {
    pub outbox: Outbox,
    pub writer: AbortHandle,
    /// It has said that it sends nothing more; all that it sent before has been read.
    pub leaving: bool,
    /// Frames taken of those that it asks by.
    taken: u64,
    /// Tags that it withdrew, each with the number of the last frame that may have asked by it; all of these numbers.
    withdrawn: BTreeMap<u64, u64>,
    until: u64,
}

impl Client {
    pub fn new(outbox: Outbox, writer: AbortHandle) -> Client {
        Client { outbox, writer, leaving: false, taken: 0, withdrawn: BTreeMap::new(), until: 0 }
    }

    /// It withdraws what it asked under this tag among the first so many frames: a cancel goes ahead of calls, so it may
    /// be still on its way. False: more are withdrawn than can be.
    pub fn withdraws(&mut self, tag: u64, after: u64) -> bool {
        if after > self.taken {
            self.until = self.until.max(after);
            self.withdrawn.insert(tag, after);
        }
        self.withdrawn.len() <= MOST_WITHDRAWN
    }

    /// One more frame of it is taken; whether what it asks under this tag has been withdrawn meanwhile.
    pub fn takes(&mut self, tag: Option<u64>) -> bool {
        self.taken += 1;
        let withdrawn =
            tag.and_then(|tag| self.withdrawn.get(&tag)).is_some_and(|after| self.taken <= *after);
        if self.taken >= self.until {
            self.withdrawn.clear();
        }
        withdrawn
    }
}

/// Tags of one client that are withdrawn before what it asked under them was taken: as many as the channel holds.
const MOST_WITHDRAWN: usize = 4096;

/// Sockets towards workers, as the pool acts on them.
pub(crate) struct Sockets {
    dialler: Dialler,
    outboxes: BTreeMap<ConnId, Outbox>,
    /// Of each request that is out, and whether it is an attempt.
    tickets: BTreeMap<RequestId, (Ticket, bool)>,
    ended: VecDeque<(RequestId, Outcome)>,
}

impl Wires<Frame> for Sockets {
    fn dial(&mut self, conn: ConnId, worker: WorkerId, address: &str) {
        debug!(conn = conn.0, worker = worker.0, address, "dialling");
        self.dialler.dial(conn, address.to_owned());
    }

    fn send(&mut self, conn: ConnId, request: RequestId, payload: &Frame) -> bool {
        let Some(outbox) = self.outboxes.get(&conn) else { return false };
        let ticket = Ticket::default();
        let sent = outbox.send(payload.clone(), Some(ticket.clone())).is_ok();
        if sent {
            self.tickets.insert(request, (ticket, payload.kind == Kind::ATTEMPT));
        }
        sent
    }

    fn take_back(&mut self, _conn: ConnId, request: RequestId) -> bool {
        self.tickets.get(&request).is_some_and(|(ticket, _)| ticket.take_back())
    }

    fn take_back_at_drain(&mut self, _conn: ConnId, request: RequestId) -> bool {
        match self.tickets.get(&request) {
            None => false,
            Some((ticket, true)) => ticket.take_back_unbegun(),
            Some((ticket, false)) => ticket.take_back(),
        }
    }

    fn withdraw(&mut self, conn: ConnId, request: RequestId) {
        if let Some(outbox) = self.outboxes.get(&conn) {
            // The worker may be spared what nobody waits for; where its outbox is full it is not told.
            let _ = outbox.send(Frame::new(Kind::CANCEL_ATTEMPT).int(Field::TAG, request.0), None);
        }
    }

    fn close(&mut self, conn: ConnId) {
        self.outboxes.remove(&conn);
    }

    fn ended(&mut self, request: RequestId, outcome: Outcome) {
        self.tickets.remove(&request);
        self.ended.push_back((request, outcome));
    }
}

/// What the engine acts through.
pub(crate) struct Outside {
    /// This run of this instance; it names RPCs in logs and at workers.
    pub run: String,
    pub clients: BTreeMap<ClientId, Client>,
    /// RPCs that came over HTTP, each a client of its own.
    pub calls: BTreeMap<ClientId, oneshot::Sender<Reply>>,
    /// Clients that did not read their answers and have been cut off.
    pub lost: Vec<ClientId>,
    pub list: Option<Outbox>,
    pub releases: Releases,
    /// What the module has seen since the last look, for peers.
    pub seen: Vec<(WorkerId, FunctionId, Hint, u64)>,
    /// Functions of RPCs that came in since then; none: nobody asks for them.
    pub wanted: Option<BTreeSet<FunctionId>>,
    /// Which methods each RPC was taken under.
    under: BTreeMap<RpcId, Release>,
    pool: Pool<Frame>,
    sockets: Sockets,
}

impl Outside {
    pub fn new(run: String, releases: Releases, pool: Pool<Frame>, dialler: Dialler) -> Outside {
        let (outboxes, tickets, ended) = Default::default();
        let sockets = Sockets { dialler, outboxes, tickets, ended };
        Outside {
            run,
            clients: BTreeMap::new(),
            calls: BTreeMap::new(),
            lost: Vec::new(),
            list: None,
            releases,
            seen: Vec::new(),
            wanted: None,
            under: BTreeMap::new(),
            pool,
            sockets,
        }
    }

    pub fn taken_under(&self, rpc: RpcId) -> Option<&Catalogue> {
        self.releases.catalogue(*self.under.get(&rpc)?).map(|c| &**c)
    }

    /// Sends to a client; one whose outbox is full does not read, and is cut off rather than waited for.
    pub fn tell_client(&mut self, id: ClientId, frame: Frame) {
        let Some(client) = self.clients.get(&id) else { return };
        if client.outbox.send(frame, None).is_err() {
            info!(client = id.0, "cut off: it does not read its answers");
            client.writer.abort();
            self.clients.remove(&id);
            self.lost.push(id);
        }
    }

    pub fn conn_up(&mut self, now: Time, conn: ConnId, outbox: Outbox) {
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

    pub fn conn_leaves(&mut self, conn: ConnId) {
        self.pool.leave(&mut self.sockets, conn);
    }

    /// An answer came on this connection; false: nothing was asked there under this number, or it has ended since.
    pub fn answered(&mut self, now: Time, conn: ConnId, request: RequestId) -> bool {
        let asked = self.pool.is_on(request, conn);
        if asked {
            self.sockets.tickets.remove(&request);
            self.pool.answered(now, &mut self.sockets, request);
        }
        asked
    }

    pub fn sweep(&mut self, now: Time) {
        self.pool.sweep(now, &mut self.sockets);
    }

    pub fn conns(&self) -> usize {
        self.pool.conns()
    }

    fn rpc_name(&self, rpc: RpcId) -> String {
        format!("{}.{}", self.run, rpc.0)
    }
}

impl World for Outside {
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>) {
        let frame = match request {
            UpstreamRequest::Attempt { rpc, no, method, model, tenant, token, left, body } => {
                let name = self.rpc_name(rpc);
                debug!(rpc = name, no = no.0, worker = worker.0, "attempt");
                let mut f = Frame::new(Kind::ATTEMPT)
                    .int(Field::TAG, id.0)
                    .text(Field::RPC_NAME, &name)
                    .int(Field::ATTEMPT_NUMBER, no.0 as u64)
                    .text(Field::METHOD, method)
                    .text(Field::MODEL, model)
                    .text(Field::TENANT, tenant)
                    .int(Field::TIME_LEFT, left.0);
                if let Some(token) = token {
                    f = f.text(Field::TOKEN, token);
                }
                f.body(body.clone())
            }
            UpstreamRequest::Load { model, copies } => {
                let f = Frame::new(Kind::LOAD).int(Field::TAG, id.0).text(Field::MODEL, model);
                f.int(Field::COPIES, copies)
            }
            UpstreamRequest::Probe => Frame::new(Kind::PROBE).int(Field::TAG, id.0),
        };
        self.pool.request(now, &mut self.sockets, worker, id, frame);
    }

    fn take_back(&mut self, now: Time, id: RequestId) -> bool {
        let untouched = self.pool.take_back(now, &mut self.sockets, id);
        self.sockets.tickets.remove(&id);
        untouched
    }

    fn answer(
        &mut self, rpc: RpcId, client: ClientId, tag: u64, answer: Answer, why: &str, retry_after: Time,
        body: Bytes,
    ) {
        let name = self.rpc_name(rpc);
        match answer {
            Answer::Ok => debug!(rpc = name, client = client.0, tag, "ok"),
            _ => info!(rpc = name, client = client.0, tag, "{answer:?}: {why}"),
        }
        if let Some(reply) = self.calls.remove(&client) {
            let (rpc, why) = (name, why.to_owned());
            // Where the request was dropped meanwhile nobody listens any more.
            let _ = reply.send(Reply::Final { answer, rpc, why, retry_after, body });
            return;
        }
        let mut f =
            Frame::new(Kind::FINAL_ANSWER).int(Field::TAG, tag).int(Field::OUTCOME, answer_code(answer));
        f = f.text(Field::RPC_NAME, &name);
        if answer != Answer::Ok {
            f = f.text(Field::REASON, why);
        }
        if retry_after > Time(0) {
            f = f.int(Field::RETRY_AFTER, retry_after.0);
        }
        self.tell_client(client, f.body(body));
    }

    fn ended(&mut self) -> Option<(RequestId, Outcome)> {
        self.sockets.ended.pop_front()
    }

    fn unload(&mut self, now: Time, worker: WorkerId, model: &str) {
        self.pool.tell(now, &mut self.sockets, worker, |sockets, conn| {
            if let Some(outbox) = sockets.outboxes.get(&conn) {
                let _ = outbox.send(Frame::new(Kind::UNLOAD).text(Field::MODEL, model), None);
            }
        });
    }

    fn watch_list(&mut self, held: Option<(u64, u64)>) {
        let mut frame = Frame::new(Kind::WATCH);
        if let Some((epoch, version)) = held {
            frame = frame.int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version);
        }
        if let Some(outbox) = &self.list {
            let _ = outbox.send(frame, None);
        }
    }

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

    fn seen(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, held: u64) {
        self.seen.push((worker, function, hint, held));
    }

    fn wanted(&mut self, function: FunctionId) {
        self.wanted.as_mut().map(|all| all.insert(function));
    }

    fn taken(&mut self, rpc: RpcId) {
        let release = self.releases.taken();
        self.under.insert(rpc, release);
    }

    fn forgotten(&mut self, rpc: RpcId) {
        if let Some(release) = self.under.remove(&rpc) {
            self.releases.ended(release);
        }
    }

    fn log(&mut self, rpc: Option<RpcId>, line: &str) {
        match rpc {
            Some(rpc) => info!(rpc = self.rpc_name(rpc), "{line}"),
            None => info!("{line}"),
        }
    }
}
