//! Connections between the instances of a fleet, and the driver through which a [`Fleet`] acts. The fleet makes the
//! decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_config::Config;
use curlewpoint_engine::Engine;
use curlewpoint_fleet::{
    frames, EndpointEntry, Fleet, FleetDriver, FleetLimits, LinkId, Member, MemberId, Observation, RunId,
};
use curlewpoint_link::{handshake, Link, LinkError, LinkLimits, Outbox};
use curlewpoint_wire::{Field, Frame, Kind, WireError};
use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::driver::GatewayDriver;
use crate::events::Event;
use crate::snapshot;

/// Longest frame between peers. A list is sent in many frames.
const MAX_FRAME_BYTES: usize = 64 << 10;
/// Ids of links that peers open are larger than this. Ids of links that this instance opens start from one.
const ACCEPTED_LINK_ID_BASE: u64 = 1 << 63;
/// Connections beyond the links of peers, for status requests.
const STATUS_CONNECTIONS: usize = 8;

/// What all link tasks of this instance share.
#[derive(Clone)]
struct LinkContext {
    /// Name of this instance.
    name: String,
    link_limits: LinkLimits,
    /// Time for connecting and exchanging hellos.
    dial_timeout: Duration,
    event_tx: mpsc::Sender<Event>,
    tasks: TaskTracker,
}

/// State of the links to peers in the engine's task.
pub(crate) struct PeerLinks {
    context: LinkContext,
    outboxes: BTreeMap<LinkId, Outbox>,
    dials: BTreeMap<LinkId, AbortHandle>,
    /// The number of the wanted connection to the list service. None: none is wanted.
    wanted_list_connection: watch::Sender<Option<u64>>,
    /// Number of times that the fleet has requested or dropped that connection.
    list_connection_number: u64,
}

/// This instance's membership in a fleet: the state machine, the links and the snapshot.
pub(crate) struct FleetMembership {
    fleet: Fleet,
    links: PeerLinks,
    snapshot: Option<SnapshotFile>,
}

/// The snapshot on disk.
struct SnapshotFile {
    path: PathBuf,
    fleet_name: String,
    /// List version and member digest of the last snapshot, and when it was written.
    last_written: (Option<(u64, u64)>, u64, Instant),
    /// The write in progress. Yields whether it succeeded.
    writing: Option<JoinHandle<bool>>,
    failed: bool,
}

/// Minimum time between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(2);

impl LinkContext {
    async fn dial(self, link: LinkId, address: String) {
        let dialled = timeout(self.dial_timeout, async {
            let stream = TcpStream::connect(&address).await.map_err(WireError::from)?;
            handshake(stream, &self.name, self.link_limits).await
        });
        match dialled.await {
            Ok(Ok(opened)) => self.read_frames(link, opened, Event::PeerConnected).await,
            failed => {
                let error = failed.unwrap_or(Err(LinkError::NoHello(self.dial_timeout))).err();
                debug!(link = link.0, address, "no link to a peer: {:?}", error.map(|e| e.to_string()));
                let _ = self.event_tx.send(Event::PeerDisconnected(link)).await;
            }
        }
    }

    async fn read_frames(self, link: LinkId, opened: Link, connected: fn(LinkId, Outbox) -> Event) {
        let Link { outbox, mut reader, mut writer, peer } = opened;
        if self.event_tx.send(connected(link, outbox)).await.is_err() {
            return;
        }
        loop {
            let next = tokio::select! {
                next = reader.next() => next,
                // The outbox was dropped and everything is written, or writing has failed.
                _ = &mut writer => break,
            };
            match next {
                Some(Ok(frame)) => {
                    if self.event_tx.send(Event::PeerFrame(link, frame)).await.is_err() {
                        return;
                    }
                }
                Some(Err(error)) => {
                    info!(link = link.0, peer, "fleet: a peer cannot be read: {error}");
                    break;
                }
                None => break,
            }
        }
        writer.abort();
        let _ = self.event_tx.send(Event::PeerDisconnected(link)).await;
    }

    /// Accepts a limited number of connections from peers.
    async fn accept(self, listener: TcpListener, max_links: usize) {
        let slots = Arc::new(Semaphore::new(max_links + STATUS_CONNECTIONS));
        let mut last_id = ACCEPTED_LINK_ID_BASE;
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn!("fleet: a connection could not be accepted: {e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            // Over the limit the connection is closed without a message, and the peer tries another instance.
            let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else { continue };
            last_id += 1;
            let (link, context) = (LinkId(last_id), self.clone());
            self.tasks.spawn(async move {
                match handshake(stream, &context.name, context.link_limits).await {
                    Ok(opened) => context.read_frames(link, opened, Event::PeerAccepted).await,
                    Err(error) => info!("fleet: no hello from a peer: {error}"),
                }
                drop(slot);
            });
        }
    }
}

/// Performs the fleet's actions during one call, on the links to peers and on the local engine.
struct PeerDriver<'a> {
    now: Time,
    links: &'a mut PeerLinks,
    engine: &'a mut Engine<GatewayDriver>,
}

impl PeerDriver<'_> {
    fn send(&mut self, link: LinkId, frame: Frame) {
        let Some(outbox) = self.links.outboxes.get(&link) else { return };
        // A full outbox means that the peer does not read. The link is closed instead of waiting.
        if outbox.send(frame, None).is_err() {
            self.close(link);
        }
    }
}

/// Draws an id for this run of the process from the clock and the process id, independent of the configured seed. Runs
/// under the same name must differ.
fn new_run_id() -> RunId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    let mixed = since_epoch ^ u128::from(std::process::id()) << 64;
    RunId(oorandom::Rand64::new(mixed).rand_u64())
}

impl FleetDriver for PeerDriver<'_> {
    fn dial(&mut self, link: LinkId, address: &str) {
        let context = self.links.context.clone();
        let task = self.links.context.tasks.spawn(context.dial(link, address.to_owned()));
        self.links.dials.insert(link, task.abort_handle());
    }

    fn close(&mut self, link: LinkId) {
        // Dropping the outbox ends the link once everything is written. A dial in progress is aborted.
        if self.links.outboxes.remove(&link).is_none() {
            self.links.dials.remove(&link).into_iter().for_each(|dial| dial.abort());
        }
    }

    fn refuse(&mut self, link: LinkId, reason: &str) {
        self.send(link, Frame::new(Kind::FAULT).text(Field::REASON, reason));
        self.close(link);
    }

    fn send_join(&mut self, link: LinkId, fleet: &str, me: MemberId, member: &Member, known: u64) {
        self.send(link, frames::join_frame(fleet, me, member, known));
    }

    fn send_member(&mut self, link: LinkId, id: MemberId, member: &Member) {
        self.send(link, frames::member_frame(id, member));
    }

    fn send_heartbeat(
        &mut self, link: LinkId, tags: (u64, u64), digest: u64, held: Option<(u64, u64)>, age: Option<Time>,
        confirmed: bool, answer: bool,
    ) {
        self.send(link, frames::heartbeat_frame(tags, digest, held, age, confirmed, answer));
    }

    fn request_list(&mut self, link: LinkId, held: Option<(u64, u64)>) {
        self.send(link, frames::list_request_frame(held));
    }

    fn send_list_begin(&mut self, link: LinkId, version: (u64, u64), from: Option<u64>) {
        self.send(link, frames::list_begin_frame(version, from));
    }

    fn send_list_entry(&mut self, link: LinkId, name: &str, e: &EndpointEntry) {
        self.send(link, frames::entry_frame(self.now, name, e));
    }

    fn send_list_entries(&mut self, link: LinkId, rows: &[(&str, &EndpointEntry)]) {
        self.send(link, frames::entries_frame(self.now, rows));
    }

    fn send_list_end(&mut self, link: LinkId) {
        self.send(link, frames::list_end_frame());
    }

    fn set_watching(&mut self, on: bool) {
        self.links.list_connection_number += 1;
        self.links.wanted_list_connection.send_replace(on.then_some(self.links.list_connection_number));
        if !on {
            self.engine.driver().list_outbox = None;
        }
    }

    fn request_service_list(&mut self, held: Option<(u64, u64)>) {
        if let Some(outbox) = &self.engine.driver().list_outbox {
            let _ = outbox.send(frames::list_request_frame(held), None);
        }
    }

    fn deliver_list_begin(&mut self, (epoch, version): (u64, u64), from: Option<u64>) {
        self.engine.list_begin_received(epoch, version, from);
    }

    fn deliver_list_entry(&mut self, name: &str, e: &EndpointEntry) {
        let age = e.started_at.map(|since| self.now - since);
        let (address, zone, cell) = (&e.address, &e.zone, &e.cell);
        self.engine.list_entry_received(
            self.now,
            name,
            address,
            e.lifecycle,
            e.start_id,
            age,
            zone,
            cell,
            e.size,
        );
    }

    fn deliver_list_end(&mut self) {
        self.engine.list_end_received(self.now);
    }

    fn send_hints(&mut self, link: LinkId, observations: &[Observation]) {
        self.send(link, frames::hints_frame(self.now, observations));
    }

    fn send_directory_frame(&mut self, link: LinkId, frame: Frame) {
        self.send(link, frame);
    }

    fn deliver_hint(
        &mut self, worker: WorkerId, function: FunctionId, hint: Hint, rpcs_held: u64, age: Time,
    ) {
        self.engine.hint_received(self.now, worker, function, hint, rpcs_held, age);
    }

    fn set_instance_count(&mut self, count: u64) {
        self.engine.set_instance_count(count);
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}

impl FleetMembership {
    /// Starts listening for peers if the configuration names a fleet. `wanted_list_connection` receives whether this
    /// instance watches the list service.
    pub fn start(
        config: &Config, now: Time, seed: u128, event_tx: &mpsc::Sender<Event>, tasks: &TaskTracker,
        wanted_list_connection: watch::Sender<Option<u64>>,
    ) -> std::io::Result<Option<(FleetMembership, AbortHandle)>> {
        let Some(listen) = config.value("fleet", "listen") else { return Ok(None) };
        let listener = curlewpoint_link::listen(listen)?;
        let local_address = listener.local_addr()?.to_string();
        let address = config.value("fleet", "reached-at").unwrap_or(&local_address);
        let number = |name| config.number("fleet", name) as usize;
        let limits = FleetLimits {
            max_instances: number("most-instances"),
            max_inbound_links: number("most-links"),
            watchers: number("watchers"),
            answer_slack: Time::from_ms(config.number("rpcs", "answer-slack")),
            hint_lifetime: Time::from_ms(config.number("workers", "keep-alive")),
            exchange_hints: config.value("fleet", "hints").is_some_and(|h| h == "yes"),
        };
        let (fleet_name, name) = (config.value("fleet", "name").unwrap_or(""), config.text("name"));
        let (peers, configured_instances) =
            (config.values("fleet", "peers").to_vec(), config.number("", "instances") as u64);
        let owned_fleet_name = fleet_name.to_owned();
        let mut fleet = Fleet::start(
            now,
            fleet_name,
            (name, new_run_id()),
            address,
            peers,
            configured_instances,
            limits,
            seed,
        );
        if config.value("fleet", "directory").is_some() {
            fleet.enable_directory(now, config.number("fleet", "directory") as u64);
        }
        let snapshot_file = config.value("fleet", "snapshot").map(|file| {
            let path = config.resolve_path(file);
            match snapshot::read(
                &path,
                &owned_fleet_name,
                config.duration("fleet", "snapshot-age"),
                now,
                &mut fleet,
            ) {
                Ok(age) => info!("fleet: a snapshot {age:?} old is used"),
                Err(error) => info!("fleet: no snapshot is used: {}: {error}", path.display()),
            }
            SnapshotFile {
                path,
                fleet_name: owned_fleet_name,
                last_written: (None, 0, Instant::now()),
                writing: None,
                failed: false,
            }
        });
        info!(
            address = local_address,
            run = format!("{:016x}", fleet.own_id().run.0),
            "fleet: listening for peers"
        );
        let link_limits = LinkLimits {
            max_frame_bytes: MAX_FRAME_BYTES,
            max_outbox: (16 << 10, 4 << 20),
            hello_timeout: config.duration("connections", "hello-limit"),
            write_timeout: config.duration("connections", "write-limit"),
        };
        let context = LinkContext {
            name: name.to_owned(),
            link_limits,
            dial_timeout: config.duration("connections", "dial-limit"),
            event_tx: event_tx.clone(),
            tasks: tasks.clone(),
        };
        let accepting =
            tokio::spawn(context.clone().accept(listener, limits.max_inbound_links)).abort_handle();
        let (outboxes, dials) = Default::default();
        let links = PeerLinks { context, outboxes, dials, wanted_list_connection, list_connection_number: 0 };
        Ok(Some((FleetMembership { fleet, links, snapshot: snapshot_file }, accepting)))
    }

    pub fn next_wake(&self) -> Time {
        self.fleet.next_wake()
    }

    /// Whether new work is held back after this process has been stalled.
    pub fn is_holding(&self, now: Time) -> bool {
        self.fleet.is_holding(now)
    }

    /// Calls the fleet with a driver for the links to peers and the local engine.
    fn call<R>(
        &mut self, now: Time, engine: &mut Engine<GatewayDriver>,
        action: impl FnOnce(&mut Fleet, &mut PeerDriver<'_>) -> R,
    ) -> R {
        action(&mut self.fleet, &mut PeerDriver { now, links: &mut self.links, engine })
    }

    pub fn advance(&mut self, now: Time, engine: &mut Engine<GatewayDriver>) {
        self.call(now, engine, |fleet, driver| fleet.advance(now, driver));
    }

    pub fn link_accepted(
        &mut self, now: Time, engine: &mut Engine<GatewayDriver>, link: LinkId, outbox: Outbox,
    ) {
        self.links.outboxes.insert(link, outbox);
        self.call(now, engine, |fleet, driver| fleet.link_accepted(now, driver, link));
    }

    pub fn link_up(&mut self, now: Time, engine: &mut Engine<GatewayDriver>, link: LinkId, outbox: Outbox) {
        // A link that was closed during its dial is ignored.
        if self.links.dials.remove(&link).is_some() {
            self.links.outboxes.insert(link, outbox);
            self.call(now, engine, |fleet, driver| fleet.link_up(now, driver, link));
        }
    }

    pub fn link_down(&mut self, now: Time, engine: &mut Engine<GatewayDriver>, link: LinkId) {
        self.links.dials.remove(&link);
        self.links.outboxes.remove(&link);
        self.call(now, engine, |fleet, driver| fleet.link_down(now, driver, link));
    }

    /// Handles a frame from a peer. A malformed frame ends this link only.
    pub fn peer_frame(&mut self, now: Time, engine: &mut Engine<GatewayDriver>, link: LinkId, f: &Frame) {
        if !self.links.outboxes.contains_key(&link) {
            return;
        }
        if let Err(error) = self.handle_frame(now, engine, link, f) {
            info!(link = link.0, "fleet: a peer is closed: {error}");
            self.call(now, engine, |fleet, driver| {
                driver.refuse(link, &error.to_string());
                fleet.link_down(now, driver, link);
            });
        }
    }

    fn handle_frame(
        &mut self, now: Time, engine: &mut Engine<GatewayDriver>, link: LinkId, f: &Frame,
    ) -> Result<(), WireError> {
        match f.kind {
            Kind::FAULT => info!("fleet: a peer says: {}", f.get_text(Field::REASON).unwrap_or("nothing")),
            Kind::STATUS_REQUEST => {
                let reply = Frame::new(Kind::STATUS_REPLY).body(self.status(now).into_bytes());
                self.call(now, engine, |_, driver| driver.send(link, reply));
            }
            _ => {
                self.call(now, engine, |fleet, driver| frames::dispatch(fleet, now, driver, link, f))?;
            }
        }
        Ok(())
    }

    /// Handles a list frame from a peer, or from the list service if `on` is none.
    pub fn list_frame(
        &mut self, now: Time, engine: &mut Engine<GatewayDriver>, on: Option<LinkId>, f: &Frame,
    ) -> Result<(), WireError> {
        self.call(now, engine, |fleet, driver| frames::dispatch_list(fleet, now, driver, on, f)).map(drop)
    }

    /// Passes on what the decision module observed of functions at workers, and the functions of newly accepted RPCs.
    pub fn observed(
        &mut self, now: Time, engine: &mut Engine<GatewayDriver>,
        observations: Vec<(WorkerId, FunctionId, Hint, u64)>,
    ) {
        for (worker, function, hint, rpcs_held) in observations {
            self.call(now, engine, |fleet, driver| {
                fleet.observe(now, driver, worker, function, hint, rpcs_held)
            });
        }
        if self.fleet.directory().is_none() {
            return;
        }
        for function in engine.driver().requested_functions.replace(BTreeSet::new()).into_iter().flatten() {
            self.call(now, engine, |fleet, driver| fleet.function_requested(now, driver, function));
        }
    }

    pub fn service_up(&mut self, now: Time, engine: &mut Engine<GatewayDriver>) {
        self.call(now, engine, |fleet, driver| fleet.service_up(now, driver));
    }

    pub fn service_down(&mut self, now: Time) {
        self.fleet.service_down(now);
    }

    /// Writes a snapshot on a blocking thread if something has changed. Only one write runs at a time.
    pub fn save_snapshot(&mut self, now: Time) {
        let Some(file) = &mut self.snapshot else { return };
        let (held, digest) = (self.fleet.endpoints().held(), self.fleet.members().digest());
        if file.writing.as_ref().is_some_and(|w| !w.is_finished()) {
            return;
        }
        // The write has finished, so this does not wait.
        let finished = file.writing.take().and_then(|w| w.now_or_never()).map(|w| w.unwrap_or(false));
        if let Some(succeeded) = finished {
            if succeeded == file.failed {
                info!(
                    "fleet: the snapshot {} be written: {}",
                    if succeeded { "can" } else { "cannot" },
                    file.path.display()
                );
            }
            file.failed = !succeeded;
            if !succeeded {
                // Forces another write even if nothing changes.
                file.last_written.0 = None;
            }
        }
        let (last_held, last_digest, written_at) = file.last_written;
        if written_at.elapsed() < SNAPSHOT_INTERVAL || (held, digest) == (last_held, last_digest) {
            return;
        }
        let Some(bytes) = snapshot::encode(&file.fleet_name, &self.fleet, now) else { return };
        file.last_written = (held, digest, Instant::now());
        let path = file.path.clone();
        file.writing = Some(tokio::task::spawn_blocking(move || {
            let result = snapshot::write(&path, &bytes);
            result.inspect_err(|error| debug!("snapshot: {error}")).is_ok()
        }));
    }

    /// Leaves the fleet. The link tasks still write what has been sent.
    pub fn leave(mut self, now: Time, engine: &mut Engine<GatewayDriver>) {
        self.call(now, engine, |fleet, driver| fleet.leave(now, driver));
        self.links.dials.values().for_each(AbortHandle::abort);
    }

    /// The status text: this instance's view of the fleet.
    fn status(&self, now: Time) -> String {
        let (fleet, mut out) = (&self.fleet, String::new());
        let (members, instance_count) = (fleet.members(), fleet.instance_count());
        // Writing to a String cannot fail.
        let _ = writeln!(
            out,
            "{} run {:016x}: {} live, {} known, reckons with {} ({}), {} links, {} not reached, {} refused",
            self.links.context.name,
            fleet.own_id().run.0,
            members.alive().count(),
            members.len(),
            instance_count.effective(),
            if instance_count.is_confirmed() { "sure" } else { "unsure" },
            fleet.link_count(),
            fleet.unreachable_count(),
            fleet.refusal_count(),
        );
        let (epoch, version) = fleet.endpoints().held().unwrap_or_default();
        let age =
            fleet.list_age(now).map_or("of unknown age".to_owned(), |a| format!("{:.0} ms old", a.ms()));
        let _ = writeln!(out, "{} hints of functions at workers", fleet.hints().len());
        if let Some(d) = fleet.directory() {
            let c = d.counts();
            let _ = writeln!(
                out,
                "directory: {} rows held, {} subscribers, {} links, {} questions, {} answers, {} unanswered, \
                 {} bytes sent, {} left out, {} passed over",
                d.len(),
                d.subscriber_count(),
                fleet.directory_link_count(),
                c.questions,
                c.answers,
                c.unanswered,
                c.bytes,
                c.dropped,
                c.ignored,
            );
        }
        let watching = if fleet.is_watching() { "watched from here" } else { "heard from peers" };
        let _ =
            writeln!(out, "list {epoch}.{version}: {} workers, {age}, {watching}", fleet.endpoints().len());
        let watchers = fleet.watchers();
        for (id, m) in members.iter() {
            let s = m.state;
            let state = match (s.left, s.dead, s.is_suspect()) {
                (true, ..) => "left",
                (_, true, _) => "given-up",
                (.., true) => "suspect",
                _ => "lives",
            };
            let watches = if watchers.contains(&id) { " watches" } else { "" };
            let blind = if s.list_service_lost { " blind" } else { "" };
            let since = (now - m.changed_at).ms() / 1000.0;
            let _ = writeln!(
                out,
                "{} run {:016x} at {}: {state}{watches}{blind}, incarnation {}, for {since:.1} s",
                m.name, id.run.0, m.address, s.incarnation
            );
        }
        out
    }
}
