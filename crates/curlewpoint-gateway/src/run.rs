use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewpoint::types::{CopyReport, Outcome, Time};
use curlewpoint_amqp::Login;
use curlewpoint_catalogue::{MethodStatus, Release, Releases};
use curlewpoint_config::Config;
use curlewpoint_engine::{ClientId, ConnId, Engine, EngineCounters, Pool, PoolLimits, Refusal, RequestId};
use curlewpoint_journal::{Journal, JournalError, JournalLimits};
use curlewpoint_link::{Clock, EventQueue, LinkLimits};
use curlewpoint_wire::{Field, Frame, Kind, WireError};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{info, warn};

use crate::driver::GatewayDriver;
use crate::events::Event;
use crate::http::{HttpEndpoint, HttpLimits, Reply, RpcRequest};
use crate::peers::FleetMembership;
use crate::reload::{ActiveMethods, PreparedMethods, ReloadError, ReloadHandle};
use crate::workers::Dialler;
use crate::{amqp, clients, codes, http, list};

#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot listen on {0}: {1}")]
    Listen(String, std::io::Error),
    #[error("{0}")]
    InvalidMethods(ReloadError),
    #[error("tls-roots: {0}")]
    Tls(String),
    #[error("amqp needs a journal: a file")]
    MissingJournal,
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Capacity of each event channel to the engine's task. Senders wait while it is full.
const EVENT_CHANNEL_CAPACITY: usize = 4096;
/// Events processed in one iteration before timers are checked again.
const MAX_EVENTS_PER_ITERATION: usize = 256;
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum wait for the engine's timers while new work is held back.
const MIN_WAIT_WHILE_HELD: Duration = Duration::from_millis(20);
/// Time for writing the last answers after the scheduler has ended.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// After a stop, time for clients to announce that they send nothing more.
const GO_AWAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper limit of the bytes by which an attempt's header is longer than the RPC's.
const ATTEMPT_HEADER_MARGIN_BYTES: usize = 4096;

/// A running scheduler.
pub struct RunningScheduler {
    pub address: SocketAddr,
    /// Address of the HTTP endpoint, if there is one.
    pub http: Option<SocketAddr>,
    event_tx: mpsc::Sender<Event>,
    initial_config: Arc<Config>,
    event_loop: JoinHandle<EngineCounters>,
    /// Tasks that are aborted when the scheduler has ended.
    background_tasks: Vec<AbortHandle>,
}

/// Stops a running scheduler.
#[derive(Clone)]
pub struct StopHandle(mpsc::Sender<Event>);

impl StopHandle {
    /// Requests a graceful stop, or an immediate one if called a second time.
    pub async fn stop(&self) {
        let _ = self.0.send(Event::Stop).await;
    }
}

impl RunningScheduler {
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle(self.event_tx.clone())
    }

    pub fn reload_handle(&self) -> ReloadHandle {
        ReloadHandle { event_tx: self.event_tx.clone(), initial: Arc::clone(&self.initial_config) }
    }

    pub async fn stop(&self) {
        self.stop_handle().stop().await;
    }

    /// Waits for the scheduler to end and returns its counters.
    pub async fn wait(self) -> EngineCounters {
        let counters = self.event_loop.await.unwrap_or_default();
        self.background_tasks.iter().for_each(AbortHandle::abort);
        counters
    }
}

/// The settings of the broker, if one is configured.
fn broker_settings(config: &Config, seed: u128) -> Result<Option<amqp::Settings>, StartError> {
    let Some(address) = config.value("amqp", "address") else { return Ok(None) };
    let tls = match config.value("amqp", "tls-roots") {
        None => None,
        Some(file) => {
            let name = config.value("amqp", "tls-name").unwrap_or("");
            Some(amqp::Tls::new(&config.resolve_path(file), name).map_err(StartError::Tls)?)
        }
    };
    let text = |name| config.value("amqp", name).unwrap_or("").to_owned();
    let ms = |name| Time::from_ms(config.number("amqp", name));
    let login = Login {
        user: text("user"),
        password: text("password"),
        vhost: text("vhost"),
        heartbeat: ms("heartbeat"),
        frame_max: 128 << 10,
        max_body: config.number("connections", "most-frame") as u64,
    };
    Ok(Some(amqp::Settings {
        address: address.to_owned(),
        tls,
        login,
        connections: config.number("amqp", "connections") as usize,
        max_held: config.number("amqp", "most-held") as u64,
        default_time_left: config.value("amqp", "time-left").map(|_| ms("time-left")),
        dead_letters: text("dead-letters"),
        record_retention: ms("keep"),
        backoff: (config.duration("amqp", "amqp-back-off"), config.duration("amqp", "amqp-most-back-off")),
        seed,
    }))
}

/// Starts a scheduler. It accepts clients as soon as this returns, even if the list has not arrived yet.
pub async fn start(config: &Config) -> Result<RunningScheduler, StartError> {
    let listen = config.text("listen").to_owned();
    let listener = curlewpoint_link::listen(&listen).map_err(|e| StartError::Listen(listen.clone(), e))?;
    let address = listener.local_addr().map_err(|e| StartError::Listen(listen, e))?;
    let number = |name| config.number("connections", name);
    let prepared = Arc::new(PreparedMethods::from_config(config).map_err(StartError::InvalidMethods)?);
    let http_listener = match config.value("", "http") {
        None => None,
        Some(at) => Some(curlewpoint_link::listen(at).map_err(|e| StartError::Listen(at.to_owned(), e))?),
    };
    let http = http_listener.as_ref().and_then(|l| l.local_addr().ok());
    let link_limits = LinkLimits {
        max_frame_bytes: number("most-frame") as usize,
        max_outbox: (number("outbox-frames") as usize, number("outbox") as usize),
        hello_timeout: config.duration("connections", "hello-limit"),
        write_timeout: config.duration("connections", "write-limit"),
    };
    let seed = match config.value("", "seed") {
        Some(_) => u128::from(config.number("", "seed") as u64),
        None => {
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_nanos())
        }
    };
    let name = config.text("name").to_owned();
    info!(name, %address, seed = %seed, "serving");

    let (priority_tx, priority_rx) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let (request_tx, request_rx) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let dial_timeout = config.duration("connections", "dial-limit");
    let dialler =
        Dialler { name: name.clone(), link_limits, timeout: dial_timeout, event_tx: priority_tx.clone() };
    let ms = |name| Time::from_ms(number(name));
    let limits = PoolLimits {
        requests_per_conn: number("streams") as usize,
        conns_per_worker: number("to-worker") as usize,
        // The configuration has no limit on the total number of connections.
        total_conns: usize::MAX,
        idle_timeout: ms("idle"),
        back_off: (ms("back-off"), ms("most-back-off")),
    };
    let run_id = format!("{name}.{:08x}", oorandom::Rand64::new(seed).rand_u64() as u32);
    let max_releases = config.number("", "most-releases") as usize;
    let withdrawn_for = Time::from_ms(config.number("", "withdrawn-for"));
    let releases = Releases::new(Arc::clone(&prepared.catalogue), max_releases, withdrawn_for);
    let active =
        ActiveMethods { release: releases.in_force(), prepared, withdrawn: releases.withdrawn().clone() };
    let (active_methods_tx, active_methods) = watch::channel(Arc::new(active));
    let driver = GatewayDriver::new(run_id, releases, Pool::new(limits, seed), dialler);
    let clock = Clock::start();
    let engine = Engine::start(clock.now(), driver, seed, config.settings());

    let (tasks, closing) = (TaskTracker::new(), CancellationToken::new());
    let max_clients = number("clients") as usize;
    // A client's frame must fit into a frame to a worker with the longer header of an attempt.
    let client_link_limits = LinkLimits {
        max_frame_bytes: link_limits.max_frame_bytes.saturating_sub(ATTEMPT_HEADER_MARGIN_BYTES),
        ..link_limits
    };
    let client_context = clients::ClientContext {
        name: name.clone(),
        link_limits: client_link_limits,
        active_methods: active_methods.clone(),
        priority_tx: priority_tx.clone(),
        request_tx: request_tx.clone(),
        closing: closing.clone(),
        tasks: tasks.clone(),
    };
    let (stop_tx, stopped) = watch::channel(false);
    let accepting = clients::accept(listener, max_clients, client_context, stopped.clone());
    let mut background_tasks = vec![tasks.spawn(accepting).abort_handle()];
    if let Some(listener) = http_listener {
        let limits = HttpLimits {
            connections: number("http-clients") as usize,
            body_bytes: client_link_limits.max_frame_bytes,
            receive_timeout: config.duration("connections", "http-slow"),
            header_bytes: number("http-head") as usize,
        };
        let (priority_tx, request_tx) = (priority_tx.clone(), request_tx.clone());
        let endpoint =
            HttpEndpoint::new(active_methods.clone(), clock, limits, priority_tx, request_tx, tasks.clone());
        background_tasks.push(tasks.spawn(http::serve(listener, endpoint, stopped)).abort_handle());
    }
    if let Some(settings) = broker_settings(config, seed)? {
        let path = config.value("amqp", "journal").ok_or(StartError::MissingJournal)?;
        let max_bytes = config.number("amqp", "journal-most") as u64;
        let limits = JournalLimits {
            commit_delay: config.duration("amqp", "journal-delay"),
            max_bytes,
            ..Default::default()
        };
        let mut recovered = amqp::RecoveredRecords::default();
        let journal = Journal::open(&config.resolve_path(path), limits, &mut recovered)?;
        let stopped = stop_tx.subscribe();
        tasks.spawn(amqp::serve(
            settings,
            journal,
            recovered,
            active_methods.clone(),
            clock,
            request_tx.clone(),
            stopped,
        ));
    }
    // In a fleet only a few instances watch the list. Without peers every instance does.
    let is_standalone = config.value("fleet", "listen").is_none();
    let (wanted_list_connection_tx, wanted_list_connection) = watch::channel(is_standalone.then_some(0));
    // Events of peers use the request channel. The priority channel is emptied first, so a flood of member records on
    // it would delay RPCs.
    let membership = FleetMembership::start(
        config,
        clock.now(),
        seed,
        &request_tx,
        &tasks,
        wanted_list_connection_tx.clone(),
    );
    let listen = config.value("fleet", "listen").unwrap_or("").to_owned();
    let membership = membership.map_err(|e| StartError::Listen(listen, e))?.map(|(membership, accepting)| {
        background_tasks.push(accepting);
        membership
    });
    let list_address = config.text("list").to_owned();
    let following = list::follow(
        list_address,
        name,
        link_limits,
        dial_timeout,
        priority_tx,
        seed,
        wanted_list_connection,
    );
    background_tasks.push(tokio::spawn(following).abort_handle());
    let held_events = VecDeque::new();
    let event_loop = EventLoop {
        engine,
        clock,
        membership,
        held_events,
        _wanted_list_connection: wanted_list_connection_tx,
        active_methods_tx,
        stop_tx,
        shutdown: None,
        is_stopped: false,
        closing,
    };
    let event_loop =
        tokio::spawn(event_loop.run(priority_rx, request_rx, tasks, config.duration("", "stop-limit")));
    let initial_config = Arc::new(config.clone());
    Ok(RunningScheduler { address, http, event_tx: request_tx, initial_config, event_loop, background_tasks })
}

/// A graceful stop in progress.
struct Shutdown {
    /// Until then, clients may announce that they send nothing more.
    go_away_deadline: Instant,
    /// The scheduler ends at this time at the latest.
    deadline: Instant,
}

/// The task that owns the engine.
struct EventLoop {
    engine: Engine<GatewayDriver>,
    clock: Clock,
    /// The membership in a fleet, if the configuration names one.
    membership: Option<FleetMembership>,
    /// Events held back after this process was stalled, until the state of the fleet is known again.
    held_events: VecDeque<Event>,
    /// Kept alive, so that without a fleet the list stays watched.
    _wanted_list_connection: watch::Sender<Option<u64>>,
    /// Publishes the active methods to the endpoints.
    active_methods_tx: watch::Sender<Arc<ActiveMethods>>,
    /// Tells the listeners to stop accepting.
    stop_tx: watch::Sender<bool>,
    /// A stop that has been requested.
    shutdown: Option<Shutdown>,
    /// A second stop has been requested.
    is_stopped: bool,
    /// Tells the client tasks to finish reading.
    closing: CancellationToken,
}

impl EventLoop {
    async fn run(
        mut self, priority_rx: mpsc::Receiver<Event>, request_rx: mpsc::Receiver<Event>, tasks: TaskTracker,
        stop_limit: Duration,
    ) -> EngineCounters {
        let mut iterations = EventQueue::new(priority_rx, request_rx, MAX_EVENTS_PER_ITERATION);
        let mut last_sweep = Instant::now();
        loop {
            let mut wake =
                self.engine.next_wake().map_or(SWEEP_INTERVAL, |at| self.clock.until(at)).min(SWEEP_INTERVAL);
            if let Some(membership) = &self.membership {
                // Held events wait for news from the fleet or for its next timer.
                let is_holding = membership.is_holding(self.clock.now());
                wake = self.clock.until(membership.next_wake()).min(if is_holding {
                    MIN_WAIT_WHILE_HELD.max(wake)
                } else {
                    wake
                });
            }
            let events = iterations.next_batch(wake).await;
            let now = self.clock.now();
            if let Some(membership) = &mut self.membership {
                membership.advance(now, &mut self.engine);
            }
            for event in events {
                if event.bypasses_hold() || !self.is_holding() {
                    self.handle_event(event, stop_limit);
                } else {
                    self.held_events.push_back(event);
                }
            }
            if self.is_holding() {
                continue;
            }
            while let Some(event) = self.held_events.pop_front() {
                self.handle_event(event, stop_limit);
            }
            let now = self.clock.now();
            self.engine.advance(now);
            let observations = std::mem::take(&mut self.engine.driver().observations);
            if let Some(membership) = &mut self.membership {
                membership.observed(now, &mut self.engine, observations);
            }
            for client in std::mem::take(&mut self.engine.driver().cut_off) {
                self.engine.client_gone(now, client);
            }
            if last_sweep.elapsed() >= SWEEP_INTERVAL {
                last_sweep = Instant::now();
                self.engine.driver().close_idle_conns(now);
                if let Some(membership) = &mut self.membership {
                    membership.save_snapshot(now);
                }
            }
            if self.is_over() {
                break;
            }
        }
        let open = self.engine.open_rpcs();
        if open > 0 {
            warn!(open, "ended with RPCs open: they are aborted");
            self.engine.abort_all(self.clock.now());
        }
        if let Some(membership) = self.membership.take() {
            membership.leave(self.clock.now(), &mut self.engine);
        }
        // Everything that has arrived is read, refused and answered. Then each connection is shut down, read to its end
        // and closed.
        self.closing.cancel();
        tasks.close();
        let (all_tasks, timeout) = (tasks.wait(), tokio::time::sleep(FINAL_WRITE_TIMEOUT));
        tokio::pin!(all_tasks, timeout);
        loop {
            let events: Vec<Event> = tokio::select! {
                () = &mut all_tasks => break,
                () = &mut timeout => break,
                events = iterations.next_batch(SWEEP_INTERVAL) => events.filter(Event::is_from_client).collect(),
            };
            events.into_iter().for_each(|event| self.handle_event(event, stop_limit));
        }
        let f = self.engine.counters();
        let conns = self.engine.driver().conn_count();
        info!(f.taken, f.ok, f.denied, f.aborted, f.left, f.refused, f.attempts, conns, "stopped");
        f
    }

    /// Whether a stop is complete: no RPC is open, and no client can have sent a frame that has not been read. Each
    /// client has announced that it sends nothing more, has disconnected, or has let the time for the announcement
    /// pass.
    fn is_over(&mut self) -> bool {
        let Some(shutdown) = &self.shutdown else { return false };
        let (now, go_away_deadline, deadline) =
            (Instant::now(), shutdown.go_away_deadline, shutdown.deadline);
        let clients_done =
            now >= go_away_deadline || self.engine.driver().clients.values().all(|c| c.leaving);
        self.is_stopped || now >= deadline || (clients_done && self.engine.open_rpcs() == 0)
    }

    /// Whether new work is held back after this process has been stalled.
    fn is_holding(&self) -> bool {
        self.membership.as_ref().is_some_and(|membership| membership.is_holding(self.clock.now()))
    }

    /// Passes events of peers and of the list to the fleet. Returns other events, and all events if there is no fleet.
    fn handle_fleet_event(&mut self, now: Time, event: Event) -> Option<Event> {
        let Some(membership) = &mut self.membership else { return Some(event) };
        let engine = &mut self.engine;
        match event {
            Event::PeerAccepted(link, outbox) => membership.link_accepted(now, engine, link, outbox),
            Event::PeerConnected(link, outbox) => membership.link_up(now, engine, link, outbox),
            Event::PeerDisconnected(link) => membership.link_down(now, engine, link),
            Event::PeerFrame(link, frame) => membership.peer_frame(now, engine, link, &frame),
            Event::ListConnected(outbox) => {
                engine.driver().list_outbox = Some(outbox);
                membership.service_up(now, engine);
            }
            Event::ListFrame(frame) => {
                if let Err(e) = membership.list_frame(now, engine, None, &frame) {
                    info!("list service: {e}");
                    engine.driver().list_outbox = None;
                    membership.service_down(now);
                }
            }
            Event::ListDisconnected => {
                engine.driver().list_outbox = None;
                membership.service_down(now);
            }
            other => return Some(other),
        }
        None
    }

    fn handle_event(&mut self, event: Event, stop_limit: Duration) {
        let now = self.clock.now();
        let Some(event) = self.handle_fleet_event(now, event) else { return };
        let engine = &mut self.engine;
        match event {
            Event::ClientConnected(id, client) => {
                engine.driver().clients.insert(id, client);
                if self.shutdown.is_some() {
                    engine.driver().send_to_client(id, Frame::new(Kind::GO_AWAY));
                }
            }
            Event::ClientFailed(id, error) => self.close_client(now, id, &error.to_string()),
            Event::ClientDisconnected(id, dropped) => self.client_disconnected(now, id, dropped),
            Event::InvalidRpc(id, frame, reason) => {
                if self.should_process(id, &frame) {
                    if let Err(e) = self.refuse_invalid(id, &frame, &reason) {
                        self.close_client(now, id, &e.to_string());
                    }
                }
            }
            Event::CancelRpc(id, tag, None) => self.refuse_cancelled(id, tag),
            Event::CancelRpc(id, tag, Some(passed_on)) => {
                let Some(client) = engine.driver().clients.get_mut(&id) else { return };
                if client.record_cancel(tag, passed_on) {
                    engine.cancel(now, id, tag);
                } else {
                    self.close_client(now, id, "too much is withdrawn");
                }
            }
            Event::Reload(reload) => {
                let result = self.reload(now, reload.prepared, reload.method_settings);
                let _ = reload.reply.send(result);
            }
            Event::Request(id, request) => self.start_request(now, id, request),
            Event::ClientFrame(id, release, frame) => {
                if self.should_process(id, &frame) {
                    if let Err(e) = self.client_frame(now, id, release, frame) {
                        self.close_client(now, id, &e.to_string());
                    }
                }
            }
            Event::WorkerConnected(conn, outbox) => {
                engine.driver().conn_up(now, conn, outbox);
                engine.process_ends(now);
            }
            Event::WorkerDialFailed(conn, local) => {
                engine.driver().conn_failed(now, conn, local);
                engine.process_ends(now);
            }
            Event::WorkerDisconnected(conn) => {
                engine.driver().conn_broken(now, conn);
                engine.process_ends(now);
            }
            Event::WorkerFrame(conn, frame) => {
                if let Err(e) = self.worker_frame(now, conn, &frame) {
                    info!(conn = conn.0, "connection to a worker closed: {e}");
                    self.engine.driver().conn_broken(now, conn);
                    self.engine.process_ends(now);
                }
            }
            Event::ListConnected(outbox) => {
                engine.driver().list_outbox = Some(outbox);
                engine.list_connected();
            }
            Event::ListFrame(frame) => {
                if let Err(e) = self.list_frame(now, &frame) {
                    info!("list service: {e}");
                    self.engine.driver().list_outbox = None;
                    self.engine.list_disconnected();
                }
            }
            Event::ListDisconnected => {
                engine.driver().list_outbox = None;
                engine.list_disconnected();
            }
            Event::PeerAccepted(..)
            | Event::PeerConnected(..)
            | Event::PeerDisconnected(_)
            | Event::PeerFrame(..) => {}
            Event::Stop if self.shutdown.is_some() => self.is_stopped = true,
            Event::Stop => {
                info!(open = engine.open_rpcs(), "stopping: no more RPCs are accepted");
                let now = Instant::now();
                self.shutdown = Some(Shutdown {
                    go_away_deadline: now + GO_AWAY_TIMEOUT.min(stop_limit),
                    deadline: now + stop_limit,
                });
                let _ = self.stop_tx.send(true);
                engine.stop_accepting();
                let client_ids: Vec<ClientId> = engine.driver().clients.keys().copied().collect();
                for id in client_ids {
                    engine.driver().send_to_client(id, Frame::new(Kind::GO_AWAY));
                }
            }
        }
    }

    /// Whether a client's frame is still to be processed. Frames of a client that has disconnected are ignored. An RPC
    /// that has been cancelled in the meantime, or whose connection is being closed, is refused.
    fn should_process(&mut self, id: ClientId, frame: &Frame) -> bool {
        let tag = frame.get_int(Field::TAG).ok().filter(|_| frame.kind == Kind::RPC);
        let Some(client) = self.engine.driver().clients.get_mut(&id) else {
            tag.into_iter().for_each(|_| self.engine.count_refused());
            return false;
        };
        let (is_cancelled, is_closing) = (client.process(tag), client.close_reason.is_some());
        match tag {
            Some(tag) if is_cancelled || is_closing => {
                self.refuse_cancelled(id, tag);
                false
            }
            _ => !is_closing,
        }
    }

    /// Refuses an RPC that its client cancelled before it was accepted.
    fn refuse_cancelled(&mut self, id: ClientId, tag: u64) {
        self.engine.count_refused();
        let refused = Frame::new(Kind::REFUSED).int(Field::TAG, tag).text(Field::REASON, "cancelled");
        self.engine.driver().send_to_client(id, refused);
    }

    fn client_frame(
        &mut self, now: Time, id: ClientId, release: Release, frame: Frame,
    ) -> Result<(), WireError> {
        match frame.kind {
            Kind::RPC => {
                let releases = &self.engine.driver().releases;
                let active = releases.in_force();
                if release != active {
                    // A reload has replaced the methods since the frame was read: the RPC must match the new schema.
                    let mismatch = releases.catalogue(active).map(|c| clients::schema_mismatch(c, &frame));
                    if let Some(reason) = mismatch.flatten() {
                        return self.refuse_invalid(id, &frame, &reason);
                    }
                }
                let (tag, method) = (frame.get_int(Field::TAG)?, frame.get_text(Field::METHOD)?);
                let accepted = self.engine.submit_rpc(
                    now,
                    (id, tag),
                    method,
                    frame.get_text(Field::MODEL)?,
                    frame.maybe_text(Field::TENANT)?.unwrap_or(""),
                    Time(frame.get_int(Field::TIME_LEFT)?),
                    frame.maybe_text(Field::TOKEN)?,
                    None,
                    frame.body.clone(),
                );
                if let Err(refusal) = accepted {
                    let reason = codes::refusal_name(self.refine_refusal(now, method, refusal));
                    let refused = Frame::new(Kind::REFUSED).int(Field::TAG, tag);
                    self.engine.driver().send_to_client(id, refused.text(Field::REASON, reason));
                }
            }
            Kind::GO_AWAY => {
                self.engine.driver().clients.get_mut(&id).into_iter().for_each(|c| c.leaving = true);
            }
            // Unknown kinds, possibly of later versions, are ignored.
            _ => {}
        }
        Ok(())
    }

    /// Refuses an RPC whose body does not match its method's schema.
    fn refuse_invalid(&mut self, id: ClientId, frame: &Frame, reason: &str) -> Result<(), WireError> {
        let tag = frame.get_int(Field::TAG)?;
        self.engine.count_refused();
        let f =
            Frame::new(Kind::REFUSED).int(Field::TAG, tag).text(Field::REASON, &format!("unfit: {reason}"));
        self.engine.driver().send_to_client(id, f);
        Ok(())
    }

    /// Distinguishes a method that was withdrawn recently from one that is unknown.
    fn refine_refusal(&mut self, now: Time, method: &str, refusal: Refusal) -> Refusal {
        match (refusal, self.engine.driver().releases.method_status(now, method)) {
            (Refusal::NoSuchMethod, MethodStatus::Withdrawn { .. }) => Refusal::Withdrawn,
            _ => refusal,
        }
    }

    /// Replaces the active methods. All of it happens within one event, so that no RPC sees a partial reload.
    fn reload(
        &mut self, now: Time, prepared: Arc<PreparedMethods>, method_settings: Vec<serde_json::Value>,
    ) -> Result<Release, ReloadError> {
        self.engine.driver().releases.check_capacity().map_err(|e| ReloadError::TooManyReleases(e.0))?;
        self.engine.set_methods(method_settings).map_err(|_| ReloadError::TooManyMethodSettings)?;
        let releases = &mut self.engine.driver().releases;
        let release = releases
            .reload(now, Arc::clone(&prepared.catalogue))
            .map_err(|e| ReloadError::TooManyReleases(e.0))?;
        let (held, withdrawn) = (releases.held_count(), releases.withdrawn().clone());
        let (methods, name) = (prepared.catalogue.methods().count(), &prepared.catalogue.release);
        info!(release = release.0, of = name, methods, held, "other methods are in force");
        self.active_methods_tx.send_replace(Arc::new(ActiveMethods { release, prepared, withdrawn }));
        Ok(release)
    }

    /// Starts an RPC from HTTP or AMQP.
    fn start_request(&mut self, now: Time, id: ClientId, request: RpcRequest) {
        let RpcRequest { release, method, model, tenant, time_left, token, body, reply_tx } = request;
        // The requester has disconnected: the RPC is not accepted.
        if reply_tx.is_closed() {
            return self.engine.count_refused();
        }
        if release != self.engine.driver().releases.in_force() {
            let _ = reply_tx.send(Reply::MethodsChanged);
            return;
        }
        // Inserted first, as the engine may answer during the call.
        self.engine.driver().reply_txs.insert(id, reply_tx);
        let token = token.as_deref();
        if let Err(refusal) =
            self.engine.submit_rpc(now, (id, 1), &method, &model, &tenant, time_left, token, None, body)
        {
            if let Some(reply_tx) = self.engine.driver().reply_txs.remove(&id) {
                let _ = reply_tx.send(Reply::Refused(self.refine_refusal(now, &method, refusal)));
            }
        }
    }

    /// Whether a worker's answer matches the schema under which the RPC was accepted.
    fn answer_matches_schema(&mut self, request: RequestId, body: &[u8]) -> bool {
        let Some((rpc, method)) = self.engine.rpc_of_attempt(request) else { return true };
        let method = method.to_owned();
        let catalogue = self.engine.driver().catalogue_of(rpc);
        let checked = catalogue.and_then(|c| c.method(&method)).map_or(Ok(()), |m| m.answer.check(body));
        if let Err(error) = &checked {
            info!(method, "an answer does not fit its schema, {error}");
        }
        checked.is_ok()
    }

    /// Begins to close a connection after an error of its client: aborts the open RPCs, and has the client's task pass
    /// on the frames that it has received, of which RPCs are refused. The task then disconnects.
    fn close_client(&mut self, now: Time, id: ClientId, reason: &str) {
        let Some(client) = self.engine.driver().clients.get_mut(&id) else { return };
        if client.close_reason.is_some() {
            return;
        }
        info!(client = id.0, "closed: {reason}");
        client.close_reason = Some(reason.to_owned());
        client.closing.cancel();
        self.engine.abort_client(now, id);
    }

    /// Ends a client's connection, after a FAULT if it is closed for an error of the client. `dropped` RPCs were read
    /// and not passed on; they count as refused.
    fn client_disconnected(&mut self, now: Time, id: ClientId, dropped: usize) {
        (0..dropped).for_each(|_| self.engine.count_refused());
        let driver = self.engine.driver();
        let reason = driver.clients.get_mut(&id).and_then(|client| client.close_reason.take());
        if let Some(reason) = reason {
            driver.send_to_client(id, Frame::new(Kind::FAULT).text(Field::REASON, &reason));
        }
        driver.clients.remove(&id);
        driver.reply_txs.remove(&id);
        self.engine.client_gone(now, id);
    }

    fn worker_frame(&mut self, now: Time, conn: ConnId, f: &Frame) -> Result<(), WireError> {
        match f.kind {
            Kind::ANSWER | Kind::LOADED | Kind::REPORT => {
                let request = RequestId(f.get_int(Field::TAG)?);
                let outcome = if f.kind == Kind::REPORT { Outcome::Ok } else { codes::outcome(f)? };
                let copy = if f.kind == Kind::ANSWER { codes::copy(f)? } else { CopyReport::Unreported };
                let rpcs_held = f.maybe_int(Field::RPCS_HELD)?.unwrap_or(0);
                let copies = f.maybe_int(Field::COPIES)?.unwrap_or(0);
                let report = f.get_floats(Field::REPORT)?;
                // An answer that does not match its schema counts as an error: the attempt has run, so it is neither ok
                // nor denied.
                let mismatched = f.kind == Kind::ANSWER
                    && outcome == Outcome::Ok
                    && !self.answer_matches_schema(request, &f.body);
                let outcome = if mismatched { Outcome::Error } else { outcome };
                if self.engine.driver().answered(now, conn, request) {
                    let body = f.body.clone();
                    self.engine.request_ended(now, request, outcome, copy, rpcs_held, copies, report, body);
                }
            }
            Kind::GO_AWAY => self.engine.driver().drain_conn(conn),
            _ => {}
        }
        Ok(())
    }

    fn list_frame(&mut self, now: Time, f: &Frame) -> Result<(), WireError> {
        match f.kind {
            Kind::LIST_BEGIN => {
                let (epoch, version) = (f.get_int(Field::EPOCH)?, f.get_int(Field::LIST_VERSION)?);
                self.engine.list_begin_received(epoch, version, f.maybe_int(Field::BASE_VERSION)?);
            }
            Kind::LIST_ENTRY => self.engine.list_entry_received(
                now,
                f.get_text(Field::WORKER)?,
                f.maybe_text(Field::ADDRESS)?.unwrap_or(""),
                codes::lifecycle(f)?,
                f.maybe_int(Field::START_ID)?.unwrap_or(0),
                f.maybe_int(Field::AGE)?.map(Time),
                f.maybe_text(Field::ZONE)?.unwrap_or(""),
                f.maybe_text(Field::CELL)?.unwrap_or(""),
                f.maybe_float(Field::SIZE)?.unwrap_or(1.0),
            ),
            Kind::LIST_END => {
                self.engine.list_end_received(now);
            }
            _ => {}
        }
        Ok(())
    }
}
