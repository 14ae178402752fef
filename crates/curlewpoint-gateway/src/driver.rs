use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use curlewpoint::types::{FunctionId, Hint, Outcome, RpcId, Time, WorkerId};
use curlewpoint_catalogue::{Catalogue, Release, Releases};
use curlewpoint_engine::{
    Answer, ClientId, ConnId, EngineDriver, Pool, PoolDriver, RequestId, UpstreamRequest,
};
use curlewpoint_link::{Outbox, OvertakingCancels, Ticket};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::codes::answer_code;
use crate::http::Reply;
use crate::workers::Dialler;

/// State of a client's connection in the engine's task.
pub(crate) struct Client {
    pub outbox: Outbox,
    pub writer: AbortHandle,
    /// The client has sent GO_AWAY: it sends nothing more, and everything before that frame has been read.
    pub leaving: bool,
    /// Cancelled to have the client's task pass on what it has received and close the connection.
    pub closing: CancellationToken,
    /// Why the connection is being closed, after an error of the client: no more RPCs are accepted.
    pub close_reason: Option<String>,
    /// Cancels of RPCs that are still queued.
    cancels: OvertakingCancels,
}

impl Client {
    pub fn new(outbox: Outbox, writer: AbortHandle, closing: CancellationToken) -> Client {
        Client {
            outbox,
            writer,
            leaving: false,
            closing,
            close_reason: None,
            cancels: OvertakingCancels::default(),
        }
    }

    /// Records the cancel of the RPC with this tag among the client's first `passed_on` events. A cancel overtakes
    /// RPCs, so the RPC may still be queued. Returns false if the client has more recorded cancels than allowed.
    pub fn record_cancel(&mut self, tag: u64, passed_on: u64) -> bool {
        self.cancels.record(tag, passed_on);
        self.cancels.len() <= MAX_RECORDED_CANCELS
    }

    /// Counts one more event of the client as processed. Returns whether the RPC with this tag has been cancelled.
    pub fn process(&mut self, tag: Option<u64>) -> bool {
        self.cancels.process(tag)
    }
}

/// Maximum number of a client's cancels whose RPCs have not been processed yet: the capacity of the event channel.
const MAX_RECORDED_CANCELS: usize = 4096;

/// The connections to workers, on which the pool acts.
pub(crate) struct WorkerSockets {
    dialler: Dialler,
    outboxes: BTreeMap<ConnId, Outbox>,
    /// The ticket of each open request, and whether the request is an attempt.
    tickets: BTreeMap<RequestId, (Ticket, bool)>,
    ended: VecDeque<(RequestId, Outcome)>,
}

impl PoolDriver<Frame> for WorkerSockets {
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

    fn withdraw(&mut self, _conn: ConnId, request: RequestId) -> bool {
        self.tickets.get(&request).is_some_and(|(ticket, _)| ticket.withdraw())
    }

    fn withdraw_on_drain(&mut self, _conn: ConnId, request: RequestId) -> bool {
        match self.tickets.get(&request) {
            None => false,
            Some((ticket, true)) => ticket.withdraw_if_queued(),
            Some((ticket, false)) => ticket.withdraw(),
        }
    }

    fn send_withdraw(&mut self, conn: ConnId, request: RequestId) {
        if let Some(outbox) = self.outboxes.get(&conn) {
            // Only spares the worker needless work, so a full outbox is ignored.
            let _ = outbox.send(Frame::new(Kind::CANCEL_ATTEMPT).int(Field::TAG, request.0), None);
        }
    }

    fn close(&mut self, conn: ConnId) {
        self.outboxes.remove(&conn);
    }

    fn ended_locally(&mut self, request: RequestId, outcome: Outcome) {
        self.tickets.remove(&request);
        self.ended.push_back((request, outcome));
    }
}

/// Performs the engine's actions on connections.
pub(crate) struct GatewayDriver {
    /// Identifies this run of this instance. Part of the RPC names in logs and at workers.
    pub run_id: String,
    pub clients: BTreeMap<ClientId, Client>,
    /// Where the answers to RPCs over HTTP and AMQP go. Each of these RPCs has a client id of its own.
    pub reply_txs: BTreeMap<ClientId, oneshot::Sender<Reply>>,
    /// Clients that were disconnected because they did not read their answers, until the engine is notified.
    pub cut_off: Vec<ClientId>,
    /// Connection to the list service.
    pub list_outbox: Option<Outbox>,
    pub releases: Releases,
    /// Observations of the decision module since the last iteration, for peers.
    pub observations: Vec<(WorkerId, FunctionId, Hint, u64)>,
    /// Functions of the RPCs accepted since then. None: this instance keeps no copy directory.
    pub requested_functions: Option<BTreeSet<FunctionId>>,
    /// The release under which each RPC was accepted.
    rpc_releases: BTreeMap<RpcId, Release>,
    pool: Pool<Frame>,
    sockets: WorkerSockets,
}

impl GatewayDriver {
    pub fn new(run_id: String, releases: Releases, pool: Pool<Frame>, dialler: Dialler) -> GatewayDriver {
        let (outboxes, tickets, ended) = Default::default();
        let sockets = WorkerSockets { dialler, outboxes, tickets, ended };
        GatewayDriver {
            run_id,
            clients: BTreeMap::new(),
            reply_txs: BTreeMap::new(),
            cut_off: Vec::new(),
            list_outbox: None,
            releases,
            observations: Vec::new(),
            requested_functions: None,
            rpc_releases: BTreeMap::new(),
            pool,
            sockets,
        }
    }

    /// The catalogue under which an RPC was accepted.
    pub fn catalogue_of(&self, rpc: RpcId) -> Option<&Catalogue> {
        self.releases.catalogue(*self.rpc_releases.get(&rpc)?).map(|c| &**c)
    }

    /// Sends a frame to a client. A client whose outbox is full does not read and is disconnected.
    pub fn send_to_client(&mut self, id: ClientId, frame: Frame) {
        let Some(client) = self.clients.get(&id) else { return };
        if client.outbox.send(frame, None).is_err() {
            info!(client = id.0, "cut off: it does not read its answers");
            client.writer.abort();
            self.clients.remove(&id);
            self.cut_off.push(id);
        }
    }

    pub fn conn_up(&mut self, now: Time, conn: ConnId, outbox: Outbox) {
        self.sockets.outboxes.insert(conn, outbox);
        self.pool.conn_up(now, &mut self.sockets, conn);
    }

    pub fn conn_failed(&mut self, now: Time, conn: ConnId, local: bool) {
        self.pool.conn_failed(now, &mut self.sockets, conn, local);
    }

    pub fn conn_broken(&mut self, now: Time, conn: ConnId) {
        self.pool.conn_broken(now, &mut self.sockets, conn);
        self.sockets.outboxes.remove(&conn);
    }

    pub fn drain_conn(&mut self, conn: ConnId) {
        self.pool.drain_conn(&mut self.sockets, conn);
    }

    /// Handles an answer on this connection. Returns false if no such request is open there.
    pub fn answered(&mut self, now: Time, conn: ConnId, request: RequestId) -> bool {
        let is_open = self.pool.is_open_on(request, conn);
        if is_open {
            self.sockets.tickets.remove(&request);
            self.pool.answered(now, &mut self.sockets, request);
        }
        is_open
    }

    pub fn close_idle_conns(&mut self, now: Time) {
        self.pool.close_idle(now, &mut self.sockets);
    }

    pub fn conn_count(&self) -> usize {
        self.pool.conn_count()
    }

    fn rpc_name(&self, rpc: RpcId) -> String {
        format!("{}.{}", self.run_id, rpc.0)
    }
}

impl EngineDriver for GatewayDriver {
    fn request(&mut self, now: Time, id: RequestId, worker: WorkerId, request: UpstreamRequest<'_>) {
        let frame = match request {
            UpstreamRequest::Attempt {
                rpc, number, method, model, tenant, token, time_left, body, ..
            } => {
                let name = self.rpc_name(rpc);
                debug!(rpc = name, no = number.0, worker = worker.0, "attempt");
                let mut f = Frame::new(Kind::ATTEMPT)
                    .int(Field::TAG, id.0)
                    .text(Field::RPC_NAME, &name)
                    .int(Field::ATTEMPT_NUMBER, number.0 as u64)
                    .text(Field::METHOD, method)
                    .text(Field::MODEL, model)
                    .text(Field::TENANT, tenant)
                    .int(Field::TIME_LEFT, time_left.0);
                if let Some(token) = token {
                    f = f.text(Field::TOKEN, token);
                }
                f.body(body.clone())
            }
            UpstreamRequest::Load { model, copies, .. } => {
                let f = Frame::new(Kind::LOAD).int(Field::TAG, id.0).text(Field::MODEL, model);
                f.int(Field::COPIES, copies)
            }
            UpstreamRequest::DrainQuery { model, .. } => {
                let f = Frame::new(Kind::LOAD).int(Field::TAG, id.0).text(Field::MODEL, model);
                f.int(Field::COPIES, 0)
            }
            UpstreamRequest::Probe => Frame::new(Kind::PROBE).int(Field::TAG, id.0),
        };
        self.pool.request(now, &mut self.sockets, worker, id, frame);
    }

    fn withdraw(&mut self, now: Time, id: RequestId) -> bool {
        let withdrawn = self.pool.withdraw(now, &mut self.sockets, id);
        self.sockets.tickets.remove(&id);
        withdrawn
    }

    fn answer(
        &mut self, rpc: RpcId, client: ClientId, tag: u64, answer: Answer, reason: &str, retry_after: Time,
        body: Bytes,
    ) {
        let name = self.rpc_name(rpc);
        match answer {
            Answer::Ok => debug!(rpc = name, client = client.0, tag, "ok"),
            _ => info!(rpc = name, client = client.0, tag, "{answer:?}: {reason}"),
        }
        if let Some(reply_tx) = self.reply_txs.remove(&client) {
            let (rpc, reason) = (name, reason.to_owned());
            // Fails if the request was dropped in the meantime.
            let _ = reply_tx.send(Reply::Final { answer, rpc, reason, retry_after, body });
            return;
        }
        let mut f =
            Frame::new(Kind::FINAL_ANSWER).int(Field::TAG, tag).int(Field::OUTCOME, answer_code(answer));
        f = f.text(Field::RPC_NAME, &name);
        if answer != Answer::Ok {
            f = f.text(Field::REASON, reason);
        }
        if retry_after > Time(0) {
            f = f.int(Field::RETRY_AFTER, retry_after.0);
        }
        self.send_to_client(client, f.body(body));
    }

    fn next_local_end(&mut self) -> Option<(RequestId, Outcome)> {
        self.sockets.ended.pop_front()
    }

    fn unload(&mut self, now: Time, worker: WorkerId, model: &str) {
        self.pool.with_open_conn(now, &mut self.sockets, worker, |sockets, conn| {
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
        if let Some(outbox) = &self.list_outbox {
            let _ = outbox.send(frame, None);
        }
    }

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

    fn observed(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, rpcs_held: u64) {
        self.observations.push((worker, function, hint, rpcs_held));
    }

    fn function_requested(&mut self, function: FunctionId) {
        self.requested_functions.as_mut().map(|functions| functions.insert(function));
    }

    fn rpc_accepted(&mut self, rpc: RpcId) {
        let release = self.releases.accept_rpc();
        self.rpc_releases.insert(rpc, release);
    }

    fn rpc_forgotten(&mut self, rpc: RpcId) {
        if let Some(release) = self.rpc_releases.remove(&rpc) {
            self.releases.end_rpc(release);
        }
    }

    fn log(&mut self, rpc: Option<RpcId>, line: &str) {
        match rpc {
            Some(rpc) => info!(rpc = self.rpc_name(rpc), "{line}"),
            None => info!("{line}"),
        }
    }
}
