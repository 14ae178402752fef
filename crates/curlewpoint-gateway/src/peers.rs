//! Sockets between instances of a fleet, and the hands with which a [`Fleet`] acts. What is decided, it decides.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_config::Config;
use curlewpoint_engine::Engine;
use curlewpoint_fleet::{
    frames, EndpointEntry, Fleet, FleetDriver, FleetLimits, LinkId, Member, MemberId, Observation, Run,
};
use curlewpoint_link::{open, Bounds, Link, LinkError, Outbox};
use curlewpoint_wire::{Field, Frame, Kind, WireError};
use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::notes::Note;
use crate::outside::Outside;
use crate::snapshot;

/// Frames between peers are short: a list goes in many.
const MOST_FRAME: usize = 64 << 10;
/// Links opened by peers count from here, those opened from here from one.
const THEIRS: u64 = 1 << 63;
/// Beside links: whoever asks how the fleet stands.
const ASKERS: usize = 8;

/// What all links of this instance have in common.
#[derive(Clone)]
struct Door {
    name: String,
    bounds: Bounds,
    limit: Duration,
    notes: mpsc::Sender<Note>,
    tasks: TaskTracker,
}

/// Links to peers, as the engine's task holds them.
pub(crate) struct Peers {
    door: Door,
    outboxes: BTreeMap<LinkId, Outbox>,
    dials: BTreeMap<LinkId, AbortHandle>,
    /// The number of the connection to the list service that is wanted.
    watch: watch::Sender<Option<u64>>,
    watched: u64,
}

/// One instance among others: what it decides by, and its sockets.
pub(crate) struct Mesh {
    fleet: Fleet,
    peers: Peers,
    kept: Option<Kept>,
}

/// The snapshot on disk.
struct Kept {
    path: PathBuf,
    fleet: String,
    /// What was written last, and when.
    written: (Option<(u64, u64)>, u64, Instant),
    /// Ends with whether it could be written.
    writing: Option<JoinHandle<bool>>,
    failed: bool,
}

/// A snapshot is written no more often than this.
const KEEP: Duration = Duration::from_secs(2);

impl Door {
    async fn dial(self, link: LinkId, address: String) {
        let dialled = timeout(self.limit, async {
            let stream = TcpStream::connect(&address).await.map_err(WireError::from)?;
            open(stream, &self.name, self.bounds).await
        });
        match dialled.await {
            Ok(Ok(opened)) => self.converse(link, opened, Note::PeerUp).await,
            failed => {
                let why = failed.unwrap_or(Err(LinkError::NoHello(self.limit))).err();
                debug!(link = link.0, address, "no link to a peer: {:?}", why.map(|w| w.to_string()));
                let _ = self.notes.send(Note::PeerDown(link)).await;
            }
        }
    }

    async fn converse(self, link: LinkId, opened: Link, up: fn(LinkId, Outbox) -> Note) {
        let Link { outbox, mut reader, mut writer, peer } = opened;
        if self.notes.send(up(link, outbox)).await.is_err() {
            return;
        }
        loop {
            let next = tokio::select! {
                next = reader.next() => next,
                // The outbox was dropped and all is written, or nothing can be written any more.
                _ = &mut writer => break,
            };
            match next {
                Some(Ok(frame)) => {
                    if self.notes.send(Note::Peer(link, frame)).await.is_err() {
                        return;
                    }
                }
                Some(Err(why)) => {
                    info!(link = link.0, peer, "fleet: a peer cannot be read: {why}");
                    break;
                }
                None => break,
            }
        }
        writer.abort();
        let _ = self.notes.send(Note::PeerDown(link)).await;
    }

    /// Takes peers' connections, up to a number at a time.
    async fn accept(self, listener: TcpListener, most: usize) {
        let room = Arc::new(Semaphore::new(most + ASKERS));
        let mut next = THEIRS;
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn!("fleet: a connection could not be accepted: {e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            // Beyond that it is closed without a word; a peer tries another.
            let Ok(place) = Arc::clone(&room).try_acquire_owned() else { continue };
            next += 1;
            let (link, door) = (LinkId(next), self.clone());
            self.tasks.spawn(async move {
                match open(stream, &door.name, door.bounds).await {
                    Ok(opened) => door.converse(link, opened, Note::PeerIn).await,
                    Err(why) => info!("fleet: no hello from a peer: {why}"),
                }
                drop(place);
            });
        }
    }
}

/// The hands of a fleet for one call: links to peers, and the scheduler here.
struct Hands<'a> {
    now: Time,
    peers: &'a mut Peers,
    engine: &'a mut Engine<Outside>,
}

impl Hands<'_> {
    fn send(&mut self, link: LinkId, frame: Frame) {
        let Some(outbox) = self.peers.outboxes.get(&link) else { return };
        // A peer that does not read is cut off rather than waited for.
        if outbox.send(frame, None).is_err() {
            self.close(link);
        }
    }
}

/// A number that no other start of a process has, whatever seed it was given: two runs under one name are two.
fn this_run() -> Run {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    let mixed = since ^ u128::from(std::process::id()) << 64;
    Run(oorandom::Rand64::new(mixed).rand_u64())
}

impl FleetDriver for Hands<'_> {
    fn dial(&mut self, link: LinkId, address: &str) {
        let door = self.peers.door.clone();
        let task = self.peers.door.tasks.spawn(door.dial(link, address.to_owned()));
        self.peers.dials.insert(link, task.abort_handle());
    }

    fn close(&mut self, link: LinkId) {
        // Dropping its outbox ends the link once all is written; a dial under way ends at once.
        if self.peers.outboxes.remove(&link).is_none() {
            self.peers.dials.remove(&link).into_iter().for_each(|dial| dial.abort());
        }
    }

    fn refuse(&mut self, link: LinkId, why: &str) {
        self.send(link, Frame::new(Kind::FAULT).text(Field::WHY, why));
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
        sure: bool, answer: bool,
    ) {
        self.send(link, frames::heartbeat_frame(tags, digest, held, age, sure, answer));
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
        self.peers.watched += 1;
        self.peers.watch.send_replace(on.then_some(self.peers.watched));
        if !on {
            self.engine.world().list = None;
        }
    }

    fn request_service_list(&mut self, held: Option<(u64, u64)>) {
        if let Some(outbox) = &self.engine.world().list {
            let _ = outbox.send(frames::list_request_frame(held), None);
        }
    }

    fn deliver_list_begin(&mut self, (epoch, version): (u64, u64), from: Option<u64>) {
        self.engine.list_begins(epoch, version, from);
    }

    fn deliver_list_entry(&mut self, name: &str, e: &EndpointEntry) {
        let age = e.started_at.map(|since| self.now - since);
        let (address, zone, cell) = (&e.address, &e.zone, &e.cell);
        self.engine.list_row(self.now, name, address, e.lifecycle, e.start, age, zone, cell, e.size);
    }

    fn deliver_list_end(&mut self) {
        self.engine.list_ends(self.now);
    }

    fn send_hints(&mut self, link: LinkId, seen: &[Observation]) {
        self.send(link, frames::hints_frame(self.now, seen));
    }

    fn send_directory_frame(&mut self, link: LinkId, frame: Frame) {
        self.send(link, frame);
    }

    fn deliver_hint(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, held: u64, age: Time) {
        self.engine.hinted(self.now, worker, function, hint, held, age);
    }

    fn set_instance_count(&mut self, number: u64) {
        self.engine.instances(number);
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}

impl Mesh {
    /// Begins to listen for peers, where the configuration names a fleet. Whether the list is to be watched is told by
    /// `watch`.
    pub fn start(
        config: &Config, now: Time, seed: u128, notes: &mpsc::Sender<Note>, tasks: &TaskTracker,
        watch: watch::Sender<Option<u64>>,
    ) -> std::io::Result<Option<(Mesh, AbortHandle)>> {
        let Some(listen) = config.value("fleet", "listen") else { return Ok(None) };
        let listener = curlewpoint_link::listen(listen)?;
        let at = listener.local_addr()?.to_string();
        let address = config.value("fleet", "reached-at").unwrap_or(&at);
        let of = |name| config.number("fleet", name) as usize;
        let limits = FleetLimits {
            max_instances: of("most-instances"),
            max_inbound_links: of("most-links"),
            watchers: of("watchers"),
            answer_slack: Time::from_ms(config.number("rpcs", "answer-slack")),
            hint_lifetime: Time::from_ms(config.number("workers", "keep-alive")),
            exchange_hints: config.value("fleet", "hints").is_some_and(|h| h == "yes"),
        };
        let (fleet, name) = (config.value("fleet", "name").unwrap_or(""), config.text("name"));
        let (peers, told) = (config.all("fleet", "peers").to_vec(), config.number("", "instances") as u64);
        let fleet_name = fleet.to_owned();
        let mut fleet = Fleet::start(now, fleet, (name, this_run()), address, peers, told, limits, seed);
        if config.value("fleet", "directory").is_some() {
            fleet.enable_directory(now, config.number("fleet", "directory") as u64);
        }
        let kept = config.value("fleet", "snapshot").map(|file| {
            let path = config.path(file);
            match snapshot::read(&path, &fleet_name, config.time("fleet", "snapshot-age"), now, &mut fleet) {
                Ok(age) => info!("fleet: a snapshot {age:?} old is at hand"),
                Err(why) => info!("fleet: no snapshot is used: {}: {why}", path.display()),
            }
            Kept { path, fleet: fleet_name, written: (None, 0, Instant::now()), writing: None, failed: false }
        });
        info!(address = at, run = format!("{:016x}", fleet.own_id().run.0), "fleet: peers may come");
        let bounds = Bounds {
            frame: MOST_FRAME,
            outbox: (16 << 10, 4 << 20),
            hello: config.time("connections", "hello-limit"),
            write: config.time("connections", "write-limit"),
        };
        let door = Door {
            name: name.to_owned(),
            bounds,
            limit: config.time("connections", "dial-limit"),
            notes: notes.clone(),
            tasks: tasks.clone(),
        };
        let accepting = tokio::spawn(door.clone().accept(listener, limits.max_inbound_links)).abort_handle();
        let (outboxes, dials) = Default::default();
        let peers = Peers { door, outboxes, dials, watch, watched: 0 };
        Ok(Some((Mesh { fleet, peers, kept }, accepting)))
    }

    pub fn next_wake(&self) -> Time {
        self.fleet.next_wake()
    }

    pub fn holds(&self, now: Time) -> bool {
        self.fleet.is_holding(now)
    }

    /// Lets the fleet act: on links to peers and on the scheduler here.
    fn call<R>(
        &mut self, now: Time, engine: &mut Engine<Outside>,
        what: impl FnOnce(&mut Fleet, &mut Hands<'_>) -> R,
    ) -> R {
        what(&mut self.fleet, &mut Hands { now, peers: &mut self.peers, engine })
    }

    pub fn advance(&mut self, now: Time, engine: &mut Engine<Outside>) {
        self.call(now, engine, |fleet, hands| fleet.advance(now, hands));
    }

    pub fn link_in(&mut self, now: Time, engine: &mut Engine<Outside>, link: LinkId, outbox: Outbox) {
        self.peers.outboxes.insert(link, outbox);
        self.call(now, engine, |fleet, hands| fleet.link_accepted(now, hands, link));
    }

    pub fn link_up(&mut self, now: Time, engine: &mut Engine<Outside>, link: LinkId, outbox: Outbox) {
        // One that was closed while it was dialled is not wanted any more.
        if self.peers.dials.remove(&link).is_some() {
            self.peers.outboxes.insert(link, outbox);
            self.call(now, engine, |fleet, hands| fleet.link_up(now, hands, link));
        }
    }

    pub fn link_down(&mut self, now: Time, engine: &mut Engine<Outside>, link: LinkId) {
        self.peers.dials.remove(&link);
        self.peers.outboxes.remove(&link);
        self.call(now, engine, |fleet, hands| fleet.link_down(now, hands, link));
    }

    /// What a peer says; what cannot be read ends its link, and harms no other.
    pub fn peer(&mut self, now: Time, engine: &mut Engine<Outside>, link: LinkId, f: &Frame) {
        if !self.peers.outboxes.contains_key(&link) {
            return;
        }
        if let Err(why) = self.read(now, engine, link, f) {
            info!(link = link.0, "fleet: a peer is closed: {why}");
            self.call(now, engine, |fleet, hands| {
                hands.refuse(link, &why.to_string());
                fleet.link_down(now, hands, link);
            });
        }
    }

    fn read(
        &mut self, now: Time, engine: &mut Engine<Outside>, link: LinkId, f: &Frame,
    ) -> Result<(), WireError> {
        match f.kind {
            Kind::FAULT => info!("fleet: a peer says: {}", f.get_text(Field::WHY).unwrap_or("nothing")),
            Kind::STATUS => {
                let told = Frame::new(Kind::TOLD).body(self.status(now).into_bytes());
                self.call(now, engine, |_, hands| hands.send(link, told));
            }
            _ => {
                self.call(now, engine, |me, hands| frames::dispatch(me, now, hands, link, f))?;
            }
        }
        Ok(())
    }

    /// A frame of a list, from a peer or (none) from the list service.
    pub fn list(
        &mut self, now: Time, engine: &mut Engine<Outside>, on: Option<LinkId>, f: &Frame,
    ) -> Result<(), WireError> {
        self.call(now, engine, |me, hands| frames::dispatch_list(me, now, hands, on, f)).map(drop)
    }

    /// The module has seen something of functions at workers, and RPCs of functions came in.
    pub fn saw(
        &mut self, now: Time, engine: &mut Engine<Outside>, seen: Vec<(WorkerId, FunctionId, Hint, u64)>,
    ) {
        for (worker, function, hint, held) in seen {
            self.call(now, engine, |me, hands| me.observe(now, hands, worker, function, hint, held));
        }
        if self.fleet.directory().is_none() {
            return;
        }
        for function in engine.world().wanted.replace(BTreeSet::new()).into_iter().flatten() {
            self.call(now, engine, |me, hands| me.function_requested(now, hands, function));
        }
    }

    pub fn service_up(&mut self, now: Time, engine: &mut Engine<Outside>) {
        self.call(now, engine, |fleet, hands| fleet.service_up(now, hands));
    }

    pub fn service_down(&mut self, now: Time) {
        self.fleet.service_down(now);
    }

    /// Writes a snapshot where there is something new, beside all else and one at a time.
    pub fn keep(&mut self, now: Time) {
        let Some(kept) = &mut self.kept else { return };
        let (held, digest) = (self.fleet.endpoints().held(), self.fleet.members().digest());
        if kept.writing.as_ref().is_some_and(|w| !w.is_finished()) {
            return;
        }
        // It has ended, so this does not wait.
        let ended = kept.writing.take().and_then(|w| w.now_or_never()).map(|w| w.unwrap_or(false));
        if let Some(good) = ended {
            if good == kept.failed {
                info!(
                    "fleet: the snapshot {} be written: {}",
                    if good { "can" } else { "cannot" },
                    kept.path.display()
                );
            }
            kept.failed = !good;
            if !good {
                // It is tried again, though nothing new may come.
                kept.written.0 = None;
            }
        }
        let (was_held, was_digest, at) = kept.written;
        if at.elapsed() < KEEP || (held, digest) == (was_held, was_digest) {
            return;
        }
        let Some(bytes) = snapshot::draw(&kept.fleet, &self.fleet, now) else { return };
        kept.written = (held, digest, Instant::now());
        let path = kept.path.clone();
        kept.writing = Some(tokio::task::spawn_blocking(move || {
            let written = snapshot::write(&path, &bytes);
            written.inspect_err(|why| debug!("the snapshot: {why}")).is_ok()
        }));
    }

    /// Says goodbye; what is written leaves with the last of the tasks.
    pub fn leave(mut self, now: Time, engine: &mut Engine<Outside>) {
        self.call(now, engine, |fleet, hands| fleet.leave(now, hands));
        self.peers.dials.values().for_each(AbortHandle::abort);
    }

    /// How the fleet stands as seen from here, a line each.
    fn status(&self, now: Time) -> String {
        let (fleet, mut out) = (&self.fleet, String::new());
        let (table, number) = (fleet.members(), fleet.instance_count());
        // Writing to a String cannot fail.
        let _ = writeln!(
            out,
            "{} run {:016x}: {} live, {} known, reckons with {} ({}), {} links, {} not reached, {} refused",
            self.peers.door.name,
            fleet.own_id().run.0,
            table.alive().count(),
            table.len(),
            number.effective(),
            if number.is_confirmed() { "sure" } else { "unsure" },
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
        for (id, m) in table.iter() {
            let s = m.state;
            let standing = match (s.left, s.dead, s.is_suspect()) {
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
                "{} run {:016x} at {}: {standing}{watches}{blind}, incarnation {}, for {since:.1} s",
                m.name, id.run.0, m.address, s.incarnation
            );
        }
        out
    }
}
