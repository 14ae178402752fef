//! Starts a scheduler, and runs the event loop that owns its engine.

mod client_commands;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use curlewpoint::types::{CopyReport, Lifecycle, Time};
use curlewpoint_engine::{ConnId, Engine, EngineCounters, ListOutcome, Pool, PoolLimits};
use curlewpoint_link::{listen_with_retry, Clock, EventQueue, LinkLimits, METRICS};
use curlewpoint_platform::notification::{list_lease_terms, MAX_STARTUP_LIST_AGE};
use curlewpoint_platform::startup::{self, StartupConfig, StartupError};
use curlewpoint_platform::{json_lines, EndpointListVisitor};
use oorandom::Rand64;
use serde_json::{Map, Value};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::client_close::CloseCounters;
use crate::discovery::DiscoveryResponse;
use crate::driver::NodeDriver;
use crate::events::Event;
use crate::memory_budget::{BudgetLimits, MemoryBudget};
use crate::stall::StallDetector;
use crate::workers::Dialler;
use crate::{clients, discovery};

#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("list of known workers: {0}")]
    KnownWorkers(#[from] StartupError),
}

/// Capacity of the channel for events that end something; senders wait when it is full.
const PRIORITY_CHANNEL_CAPACITY: usize = 1024;
/// Capacity of the channel for client commands. It is small so that few commands are queued when their client
/// disconnects.
const COMMAND_CHANNEL_CAPACITY: usize = 128;
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The longest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// The longest command that a client can always send, beside its body, in bytes.
const MAX_CALL_HEAD_BYTES: usize = 1024;
/// The longest line from a worker, in bytes: a body in base64 with its fields.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// An idle client is disconnected after this many silence intervals, of a second each, in a row.
const MAX_SILENT_INTERVALS: u32 = 5;
/// Minimum time that new RPCs are accepted after a stop.
const STOP_GRACE: Duration = Duration::from_millis(1_000);
/// The platform kills a stopping process after the longest client timeout, limited to the first value, plus the second.
const KILL_DELAY: (Duration, Duration) = (Duration::from_millis(3_000), Duration::from_millis(700));
/// Time reserved before the kill to answer, flush and close what is left.
const FINAL_FLUSH: Duration = Duration::from_millis(200);
/// A process that is not killed exits by itself this long after the expected kill.
const KILL_OVERDUE: Duration = Duration::from_millis(500);
/// A line is logged after this many checks in a row, a second apart, at which RPCs had ended and none with success.
const FAILED_CHECKS_BEFORE_LOG: u32 = 3;
/// File descriptors reserved for the listener, the discovery sockets, signals and the like.
const RESERVED_DESCRIPTORS: usize = 16;

/// A stall of at least this length is logged; a starved process has many shorter ones.
const MIN_LOGGED_STALL: Time = Time(5_000);

/// Stops a scheduler, or has it log its counters.
#[derive(Clone)]
pub struct Control(mpsc::Sender<Event>);

impl Control {
    pub async fn stop(&self) {
        let _ = self.0.send(Event::Stop).await;
    }

    /// Logs the counters of RPCs and of socket events.
    pub async fn log_counters(&self) {
        let _ = self.0.send(Event::LogCounters).await;
    }
}

/// A running scheduler.
pub struct SchedulerHandle {
    pub address: SocketAddr,
    pub control: Control,
    /// Changes the address of discovery.
    pub resolver: watch::Sender<SocketAddr>,
    /// Completes when the scheduler has stopped, with the counters of its RPCs.
    pub stopped: JoinHandle<EngineCounters>,
}

/// Passes an endpoint list on to the engine.
struct EngineListVisitor<'a> {
    engine: &'a mut Engine<NodeDriver>,
    clock: Clock,
    now: Time,
    outcome: ListOutcome,
}

impl EndpointListVisitor for EngineListVisitor<'_> {
    fn begin_list(&mut self, version: u64, since: Option<u64>) {
        self.engine.list_begin_received(0, version, since);
    }

    fn endpoint(
        &mut self, name: &str, address: &str, lifecycle: Lifecycle, started: u64, zone: &str, cell: &str,
        size: f64,
    ) {
        let age = (started > 0).then(|| self.clock.age_of_unix_ms(started));
        self.engine.list_entry_received(self.now, name, address, lifecycle, started, age, zone, cell, size);
    }

    fn end_list(&mut self) {
        self.outcome = self.engine.list_end_received(self.now);
    }
}

/// A limit from the settings, or the default if it is absent, zero or not a number.
fn limit(settings: &Map<String, Value>, name: &str, default: u64) -> u64 {
    let value = settings.get("limits").and_then(|l| l.get(name)).and_then(Value::as_f64);
    value.map(|v| v as u64).filter(|v| *v > 0).unwrap_or(default)
}

/// The longest client timeout in the settings.
fn longest_timeout(settings: &Map<String, Value>) -> Duration {
    let methods = settings.get("requestClasses").and_then(Value::as_array).into_iter().flatten();
    let times = methods.filter_map(|m| m.get("giveUp")?.as_f64()).filter(|ms| *ms > 0.0);
    times.reduce(f64::max).map_or(KILL_DELAY.0, |ms| Duration::from_millis(ms as u64))
}

/// Passes the end of the lease on the endpoint list on to the writers of connections.
fn publish_list_lease(engine: &mut Engine<NodeDriver>) {
    let until = engine.list_lease_until();
    engine.driver().list_lease.publish(until);
}

/// Starts a scheduler. It accepts calls once this returns.
pub async fn start(config: StartupConfig) -> Result<SchedulerHandle, StartError> {
    let StartupConfig { name, listen, seed, sockets, memory_mb, resolver, mut settings, known } = config;
    let listener = listen_with_retry(&listen.to_string()).await.map_err(|e| StartError::Listen(listen, e))?;
    let address = listener.local_addr().map_err(|e| StartError::Listen(listen, e))?;
    info!(name, %address, seed = %seed, sockets, memory_mb, "serving");

    let (priority_tx, priority_rx) = mpsc::channel(PRIORITY_CHANNEL_CAPACITY);
    let (command_tx, command_rx) = mpsc::channel(COMMAND_CHANNEL_CAPACITY);
    let link_limits =
        LinkLimits { max_frame_bytes: MAX_LINE_BYTES, max_outbox: (512, 1 << 20), ..LinkLimits::default() };
    let dial_timeout = Duration::from_millis(limit(&settings, "dialTimeout", 250));
    let dialler = Dialler { limits: link_limits, timeout: dial_timeout, event_tx: priority_tx.clone() };
    let pool_limits = PoolLimits {
        requests_per_conn: limit(&settings, "streamsPerConn", 32) as usize,
        conns_per_worker: (sockets / 64).clamp(2, 16),
        total_conns: sockets - sockets / 2 - RESERVED_DESCRIPTORS,
        // Closes an idle connection before the worker does: an attempt that crosses the worker's close may have run.
        idle_timeout: Time::from_ms(limit(&settings, "keepalive", 15_000) as f64 * 0.6),
        back_off: (Time::from_ms(50.0), Time::from_ms(1_000.0)),
    };
    let stated_max_open = limit(&settings, "maxOpen", 100_000) as usize;
    let memory = MemoryBudget::new(BudgetLimits::new(
        memory_mb * 1024 * 1024,
        sockets / 2,
        stated_max_open,
        MAX_BODY_BYTES + MAX_CALL_HEAD_BYTES,
    ));
    let module_limits = settings.entry("limits").or_insert_with(|| Value::Object(Map::new()));
    if let Value::Object(module_limits) = module_limits {
        module_limits.insert("maxOpen".to_owned(), memory.limits().max_open().into());
    }
    let names = settings.get("loadInfo").and_then(|l| l.get("names")).and_then(Value::as_array);
    let load_report_names: Vec<String> =
        names.into_iter().flatten().filter_map(Value::as_str).map(str::to_owned).collect();
    let kill_delay = longest_timeout(&settings).min(KILL_DELAY.0) + KILL_DELAY.1;
    let clock = Clock::start();
    let lease_terms = list_lease_terms(&settings);
    let mut engine = Engine::start(
        clock.now(),
        NodeDriver::new(Pool::new(pool_limits, seed), dialler, clock),
        seed,
        settings,
    );
    let now = clock.now();
    let outcome = ListOutcome::NotStarted;
    startup::visit_known_workers(
        &known,
        &mut EngineListVisitor { engine: &mut engine, clock, now, outcome },
    )?;
    engine.lease_list(now, now - MAX_STARTUP_LIST_AGE, lease_terms);
    publish_list_lease(&mut engine);

    let (tasks, shutdown) = (TaskTracker::new(), CancellationToken::new());
    let context = clients::ClientContext {
        limits: LinkLimits { max_frame_bytes: MAX_BODY_BYTES, ..link_limits },
        clock,
        priority_tx: priority_tx.clone(),
        command_tx,
        shutdown: shutdown.clone(),
        tasks: tasks.clone(),
        memory: Arc::clone(&memory),
    };
    let accepting = tasks.spawn(clients::accept(listener, context));
    let (resolver, resolver_rx) = watch::channel(resolver);
    let polling = tokio::spawn(discovery::follow(resolver_rx, priority_tx.clone(), Rand64::new(seed), clock))
        .abort_handle();
    let event_loop = EventLoop {
        engine,
        clock,
        load_report_names,
        kill_delay,
        started: Instant::now(),
        stop_requested: None,
        rejecting_all: false,
        mismatch_logged: false,
        list_version: 0,
        list_queried_at: clock.now(),
        service_health: ServiceHealth::default(),
        stalls: StallDetector::default(),
        health_check_logged: false,
        client_closes: CloseCounters::default(),
        memory,
    };
    let stopped = tokio::spawn(async move {
        let counters = event_loop
            .run(EventQueue::new(priority_rx, command_rx, COMMAND_CHANNEL_CAPACITY), tasks, shutdown)
            .await;
        polling.abort();
        accepting.abort();
        counters
    });
    Ok(SchedulerHandle { address, control: Control(priority_tx), resolver, stopped })
}

/// Detects that no RPC succeeds.
#[derive(Default)]
struct ServiceHealth {
    /// RPCs that had succeeded at the last check.
    ok: u64,
    /// RPCs that had ended otherwise at the last check.
    not_ok: u64,
    /// Checks in a row at which RPCs had ended and none with success.
    failed_checks: u32,
}

impl ServiceHealth {
    /// Logs one line if the scheduler runs but no RPC succeeds, for example with an empty endpoint list while
    /// discovery is unavailable, and one when RPCs succeed again. It only logs: polling, dialling and rejecting go
    /// on. The line also appears if the clients alone are at fault.
    fn check(&mut self, f: EngineCounters, list_version: u64, conns: usize) {
        let not_ok = f.denied + f.aborted + f.refused;
        if f.ok > self.ok {
            if self.failed_checks >= FAILED_CHECKS_BEFORE_LOG {
                info!("RPCs succeed again");
            }
            self.failed_checks = 0;
        } else if not_ok > self.not_ok {
            self.failed_checks = self.failed_checks.saturating_add(1);
            if self.failed_checks == FAILED_CHECKS_BEFORE_LOG {
                info!(
                    listed = list_version,
                    conns,
                    not = not_ok,
                    "no RPC succeeds: all are denied, aborted or refused"
                );
            }
        }
        (self.ok, self.not_ok) = (f.ok, not_ok);
    }
}

/// The event loop that owns the engine.
struct EventLoop {
    engine: Engine<NodeDriver>,
    clock: Clock,
    /// Names of the figures in a load report, in their order.
    load_report_names: Vec<String>,
    /// Time from a stop to the platform's kill.
    kill_delay: Duration,
    started: Instant,
    stop_requested: Option<Instant>,
    /// The kill is so close that all calls are rejected.
    rejecting_all: bool,
    mismatch_logged: bool,
    /// Version of the newest endpoint list received.
    list_version: u64,
    /// When the newest query that was answered with that list was sent; at first, the start of this process.
    list_queried_at: Time,
    service_health: ServiceHealth,
    stalls: StallDetector,
    health_check_logged: bool,
    client_closes: CloseCounters,
    memory: Arc<MemoryBudget>,
}

impl EventLoop {
    async fn run(
        mut self, mut events: EventQueue<Event>, tasks: TaskTracker, shutdown: CancellationToken,
    ) -> EngineCounters {
        let mut last_sweep = Instant::now();
        while !self.is_finished() {
            self.iterate(&mut events, SWEEP_INTERVAL).await;
            if last_sweep.elapsed() >= SWEEP_INTERVAL {
                last_sweep = Instant::now();
                let now = self.clock.now();
                self.engine.driver().sweep(now);
                self.check_consistency();
                let conns = self.engine.driver().conns();
                self.service_health.check(self.engine.counters(), self.list_version, conns);
            }
        }
        // From here on all calls are rejected. Commands already received are read, answered and flushed; then each
        // connection is shut down, read to its end and closed, within the time reserved for the final flush.
        self.engine.stop_accepting();
        self.engine.abort_all(self.clock.now());
        shutdown.cancel();
        tasks.close();
        let (all_closed, deadline) = (tasks.wait(), tokio::time::sleep(FINAL_FLUSH));
        tokio::pin!(all_closed, deadline);
        loop {
            tokio::select! {
                () = &mut all_closed => break,
                () = &mut deadline => break,
                () = self.iterate(&mut events, SWEEP_INTERVAL) => {}
            }
        }
        self.engine.abort_all(self.clock.now());
        self.log_counters("stopped");
        self.engine.counters()
    }

    fn log_counters(&mut self, title: &str) {
        let conns = self.engine.driver().conns();
        let f = self.engine.counters();
        let (loads, probes, list) = (f.loads, f.probes, self.list_version);
        let list_age_ms = (self.clock.now() - self.list_queried_at).ms();
        info!(f.taken, f.ok, f.denied, f.aborted, f.left, f.refused, f.attempts, conns, f.cut_off, "{title}");
        info!(loads, probes, f.drain_queries, list, list_age_ms, "sockets: {METRICS}");
        info!("client connections closed: {}", self.client_closes);
        info!("memory for clients, in bytes: {}", self.memory.figures());
    }

    /// Runs one iteration: waits for events, at most `max_wait` or until the engine's next timer, and handles them.
    async fn iterate(&mut self, events: &mut EventQueue<Event>, max_wait: Duration) {
        let wait = self.engine.next_wake().map_or(max_wait, |at| self.clock.until(at)).min(max_wait);
        let batch = events.next_batch(wait).await;
        if let Some(stall) = self.stalls.iteration_started(self.clock.now()) {
            self.record_stall(stall);
        }
        for event in batch {
            self.handle_event(event);
        }
        let now = self.clock.now();
        self.engine.advance(now);
        for client in std::mem::take(&mut self.engine.driver().cut_off_clients) {
            self.engine.client_gone(now, client);
        }
        self.engine.driver().end_expired(now);
        self.engine.process_ends(now);
        publish_list_lease(&mut self.engine);
    }

    /// Compares the requests that the module considers open with those open on connections, and logs the table sizes.
    fn check_consistency(&mut self) {
        let open = self.engine.driver().open();
        if let Some(difference) = self.engine.find_mismatch(&open).filter(|_| !self.mismatch_logged) {
            self.mismatch_logged = true;
            warn!("open requests of the module and the connections differ, logged once: {difference}");
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            let driver = self.engine.driver().sizes();
            debug!("table sizes: {:?} {driver:?}", self.engine.sizes());
        }
    }

    /// After a stop the scheduler serves until no RPC is open and no client is connected. Shortly before the
    /// platform's kill it aborts what is open and rejects new calls, so that nothing is open when it is killed. If
    /// the kill does not come, it exits by itself.
    fn is_finished(&mut self) -> bool {
        let Some(since) = self.stop_requested.map(|at| at.elapsed()) else { return false };
        if since + FINAL_FLUSH >= self.kill_delay && !self.rejecting_all {
            self.rejecting_all = true;
            self.engine.stop_accepting();
            self.engine.abort_all(self.clock.now());
        }
        let is_idle = self.engine.open_rpcs() == 0 && self.engine.driver().clients.is_empty();
        since >= self.kill_delay + KILL_OVERDUE || (since >= STOP_GRACE && is_idle)
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        let engine = &mut self.engine;
        match event {
            Event::ClientConnected(id, client) => drop(engine.driver().clients.insert(id, client)),
            Event::ClientCommand(id, words) => {
                let result = self.client_command(now, id, &words);
                self.command_handled(now, id, result);
            }
            Event::ClientCancel(id, words, passed_on) => {
                let result = self.client_cancel(now, id, &words, passed_on);
                self.command_handled(now, id, result);
            }
            Event::ClientSilent(id) => {
                let Some(client) = engine.driver().clients.get_mut(&id) else { return };
                client.silent_intervals += 1;
                if client.activity.is_idle() && client.silent_intervals >= MAX_SILENT_INTERVALS {
                    engine.driver().clients.remove(&id);
                }
            }
            Event::ClientFailed(id, reason) => self.close_client(now, id, &reason),
            Event::ClientDisconnected(id) => {
                engine.driver().clients.remove(&id);
                engine.client_gone(now, id);
            }
            Event::WorkerConnected(conn, outbox) => {
                engine.driver().conn_up(now, conn, outbox);
                engine.process_ends(now);
            }
            Event::WorkerDialFailed(conn, is_local) => {
                engine.driver().conn_failed(now, conn, is_local);
                engine.process_ends(now);
            }
            Event::WorkerMessage(conn, message) => {
                if let Err(error) = self.worker_message(now, conn, &message) {
                    info!(conn = conn.0, "connection to a worker closed: {error}");
                    self.engine.driver().conn_broken(now, conn);
                    self.engine.process_ends(now);
                }
            }
            Event::WorkerDisconnected(conn) => {
                engine.driver().conn_broken(now, conn);
                engine.process_ends(now);
            }
            Event::DiscoveryResponse(response) => self.discovery_response(now, &response),
            Event::DiscoveryQuery(at) => engine.list_queried(now, at),
            Event::LogCounters => self.log_counters("figures"),
            Event::Stop => {
                info!(open = self.engine.open_rpcs(), "stopping");
                self.stop_requested.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Applies a list. A newer one is logged with the age of its content, and of the list that was used until now.
    fn discovery_response(&mut self, now: Time, response: &DiscoveryResponse) {
        let DiscoveryResponse { list, queried_at } = response;
        if self.list_version < list.version() {
            let (age_ms, replaced_age_ms) = ((now - *queried_at).ms(), (now - self.list_queried_at).ms());
            info!(age_ms, replaced_age_ms, "endpoint list {} received", list.version());
            self.list_version = list.version();
        }
        if self.list_version == list.version() {
            self.list_queried_at = self.list_queried_at.max(*queried_at);
        }
        let (engine, clock, outcome) = (&mut self.engine, self.clock, ListOutcome::NotStarted);
        let mut visitor = EngineListVisitor { engine, clock, now, outcome };
        list.visit(&mut visitor);
        // An older list does not tell whether anything has changed since the one held.
        if matches!(visitor.outcome, ListOutcome::Applied { .. } | ListOutcome::Unchanged) {
            self.engine.list_confirmed(now, *queried_at);
        }
    }

    /// Counts a time in which this process did not run, and logs it if it was long.
    fn record_stall(&self, stall: Time) {
        METRICS.stalls.add(1);
        METRICS.longest_stall_ms.raise_to(stall.ms() as u64);
        if stall >= MIN_LOGGED_STALL {
            let list_age_ms = (self.clock.now() - self.list_queried_at).ms();
            info!(stall_ms = stall.ms(), list_age_ms, "this process did not run for a while");
        }
    }

    /// Handles a reply from a worker. A reply without an open request is ignored.
    fn worker_message(
        &mut self, now: Time, conn: ConnId, message: &Map<String, Value>,
    ) -> Result<(), json_lines::LineError> {
        let outcome = json_lines::outcome(message)?;
        let Some(request) = self.engine.driver().open_request(conn, json_lines::text_field(message, "req")?)
        else {
            return Ok(());
        };
        let body = json_lines::body(message)?;
        let is_attempt = self.engine.rpc_of_attempt(request).is_some();
        let copy = if is_attempt { json_lines::copy_report(message) } else { CopyReport::Unreported };
        let (rpcs_held, copies, report) = (
            json_lines::rpcs_held(message),
            json_lines::copy_count(message),
            json_lines::load_report(message, &self.load_report_names),
        );
        self.engine.driver().answered(now, request);
        self.engine.request_ended(now, request, outcome, copy, rpcs_held, copies, report, body);
        Ok(())
    }
}
