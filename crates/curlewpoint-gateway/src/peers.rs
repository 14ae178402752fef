//! Sockets between instances of a fleet, and the hands with which a [`Fleet`] acts. What is decided, it decides.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_config::Config;
use curlewpoint_engine::Engine;
use curlewpoint_fleet::{
    Bounds as FleetBounds, Entry, Fleet, InstanceId, LinkId, Member, MemberId, Outside as Others, Run, Seen,
    Standing,
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

use crate::codes;
use crate::notes::Note;
use crate::outside::Outside;
use crate::snapshot;

/// Frames between peers are short: a list goes a row a frame.
const MOST_FRAME: usize = 64 << 10;
/// Numbers that a row of hints takes.
const HINT: usize = 7;
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

fn state(s: Standing) -> u64 {
    u64::from(s.left) | u64::from(s.dead) << 1 | u64::from(s.blind) << 2
}

fn member_frame(kind: Kind, id: MemberId, m: &Member) -> Frame {
    Frame::new(kind)
        .text(Field::INSTANCE, &m.name)
        .int(Field::RUN, id.run.0)
        .text(Field::ADDRESS, &m.address)
        .int(Field::INCARNATION, m.standing.incarnation)
        .int(Field::STATE, state(m.standing))
        .int(Field::DOUBTS, u64::from(m.standing.doubts))
}

fn read_member(f: &Frame) -> Result<(MemberId, &str, &str, Standing), WireError> {
    let (name, state) = (f.get_text(Field::INSTANCE)?, f.get_int(Field::STATE)?);
    let doubts = f.get_int(Field::DOUBTS)?;
    let doubts =
        u8::try_from(doubts).map_err(|_| WireError::NotA(f.kind.0, Field::DOUBTS.0, "a row of rings"))?;
    let (left, dead, blind) = (state & 1 != 0, state & 2 != 0, state & 4 != 0);
    let standing = Standing { incarnation: f.get_int(Field::INCARNATION)?, left, dead, blind, doubts };
    let id = MemberId { instance: InstanceId::of(name), run: Run(f.get_int(Field::RUN)?) };
    Ok((id, name, f.get_text(Field::ADDRESS)?, standing))
}

fn held(f: &Frame) -> Result<Option<(u64, u64)>, WireError> {
    Ok(f.maybe_int(Field::EPOCH)?.zip(f.maybe_int(Field::LIST_VERSION)?))
}

fn with_held(frame: Frame, held: Option<(u64, u64)>) -> Frame {
    match held {
        Some((epoch, version)) => frame.int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version),
        None => frame,
    }
}

/// One worker of a list, as it goes to peers and to disk.
pub(crate) fn entry_frame(now: Time, name: &str, e: &Entry) -> Frame {
    let f = Frame::new(Kind::CHANGE).text(Field::WORKER, name).text(Field::ADDRESS, &e.address);
    let f = f.int(Field::STANDING, codes::standing_code(e.standing)).int(Field::START, e.start);
    let f = f.text(Field::ZONE, &e.zone).text(Field::CELL, &e.cell).float(Field::SIZE, e.size);
    match e.since {
        Some(since) => f.int(Field::AGE, (now - since).0),
        None => f,
    }
}

pub(crate) fn read_entry(now: Time, f: &Frame) -> Result<(&str, Entry), WireError> {
    let text = |field| f.maybe_text(field).map(|t| t.unwrap_or("").to_owned());
    let entry = Entry {
        address: text(Field::ADDRESS)?,
        standing: codes::standing(f)?,
        start: f.maybe_int(Field::START)?.unwrap_or(0),
        since: f.maybe_int(Field::AGE)?.map(|age| now - Time(age)),
        zone: text(Field::ZONE)?,
        cell: text(Field::CELL)?,
        size: f.maybe_float(Field::SIZE)?.unwrap_or(1.0),
    };
    Ok((f.get_text(Field::WORKER)?, entry))
}

/// What others have seen of functions at workers; what cannot be known here yet is passed over.
fn read_hints(now: Time, f: &Frame) -> Result<Vec<Seen>, WireError> {
    let rows = f.get_ints(Field::ROWS)?;
    if rows.len() % HINT != 0 {
        return Err(WireError::NotA(f.kind.0, Field::ROWS.0, "rows of hints"));
    }
    let row = |r: &[u64]| {
        let (worker, function, at) = (WorkerId(r[0]), FunctionId(r[1]), now - Time(r[4]));
        Some(Seen { worker, function, hint: codes::hint(r[2])?, held: r[3], at, run: Run(r[5]), no: r[6] })
    };
    Ok(rows.chunks_exact(HINT).filter_map(row).collect())
}

impl Others for Hands<'_> {
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

    fn join(&mut self, link: LinkId, fleet: &str, me: MemberId, member: &Member, known: u64) {
        let frame = member_frame(Kind::JOIN, me, member);
        self.send(link, frame.text(Field::FLEET, fleet).int(Field::KNOWN, known));
    }

    fn member(&mut self, link: LinkId, id: MemberId, member: &Member) {
        self.send(link, member_frame(Kind::MEMBER, id, member));
    }

    fn beat(
        &mut self, link: LinkId, (tag, echo): (u64, u64), digest: u64, held: Option<(u64, u64)>,
        age: Option<Time>, sure: bool, answer: bool,
    ) {
        let mut f = with_held(Frame::new(Kind::BEAT).int(Field::TAG, tag).int(Field::ECHO, echo), held);
        f = f.int(Field::DIGEST, digest).int(Field::SURE, u64::from(sure));
        if let Some(age) = age {
            f = f.int(Field::AGE, age.0);
        }
        self.send(link, f.int(Field::WANTED, u64::from(answer)));
    }

    fn ask_list(&mut self, link: LinkId, held: Option<(u64, u64)>) {
        self.send(link, with_held(Frame::new(Kind::WATCH), held));
    }

    fn list_begins(&mut self, link: LinkId, (epoch, version): (u64, u64), from: Option<u64>) {
        let f = Frame::new(Kind::LIST).int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version);
        self.send(link, from.map_or(f.clone(), |from| f.int(Field::FROM, from)));
    }

    fn list_row(&mut self, link: LinkId, name: &str, e: &Entry) {
        self.send(link, entry_frame(self.now, name, e));
    }

    fn list_ends(&mut self, link: LinkId) {
        self.send(link, Frame::new(Kind::LIST_END));
    }

    fn watch(&mut self, on: bool) {
        self.peers.watched += 1;
        self.peers.watch.send_replace(on.then_some(self.peers.watched));
        if !on {
            self.engine.world().list = None;
        }
    }

    fn ask_service(&mut self, held: Option<(u64, u64)>) {
        if let Some(outbox) = &self.engine.world().list {
            let _ = outbox.send(with_held(Frame::new(Kind::WATCH), held), None);
        }
    }

    fn take_begins(&mut self, (epoch, version): (u64, u64), from: Option<u64>) {
        self.engine.list_begins(epoch, version, from);
    }

    fn take_row(&mut self, name: &str, e: &Entry) {
        let age = e.since.map(|since| self.now - since);
        let (address, zone, cell) = (&e.address, &e.zone, &e.cell);
        self.engine.list_row(self.now, name, address, e.standing, e.start, age, zone, cell, e.size);
    }

    fn take_ends(&mut self) {
        self.engine.list_ends(self.now);
    }

    fn hints(&mut self, link: LinkId, seen: &[Seen]) {
        let now = self.now;
        let row = |s: &Seen| {
            let age = (now - s.at).0;
            [s.worker.0, s.function.0, codes::hint_code(s.hint), s.held, age, s.run.0, s.no]
        };
        let rows: Vec<u64> = seen.iter().flat_map(row).collect();
        self.send(link, Frame::new(Kind::HINTS).ints(Field::ROWS, &rows));
    }

    fn take_hint(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, held: u64, age: Time) {
        self.engine.hinted(self.now, worker, function, hint, held, age);
    }

    fn instances(&mut self, number: u64) {
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
        let limits = FleetBounds {
            instances: of("most-instances"),
            links: of("most-links"),
            watchers: of("watchers"),
            slack: Time::from_ms(config.number("rpcs", "answer-slack")),
            hints: Time::from_ms(config.number("workers", "keep-alive")),
            hinted: config.value("fleet", "hints").is_some_and(|h| h == "yes"),
        };
        let (fleet, name) = (config.value("fleet", "name").unwrap_or(""), config.text("name"));
        let (peers, told) = (config.all("fleet", "peers").to_vec(), config.number("", "instances") as u64);
        let fleet_name = fleet.to_owned();
        let mut fleet = Fleet::start(now, fleet, (name, this_run()), address, peers, told, limits, seed);
        let kept = config.value("fleet", "snapshot").map(|file| {
            let path = config.path(file);
            match snapshot::read(&path, &fleet_name, config.time("fleet", "snapshot-age"), now, &mut fleet) {
                Ok(age) => info!("fleet: a snapshot {age:?} old is at hand"),
                Err(why) => info!("fleet: no snapshot is used: {}: {why}", path.display()),
            }
            Kept { path, fleet: fleet_name, written: (None, 0, Instant::now()), writing: None, failed: false }
        });
        info!(address = at, run = format!("{:016x}", fleet.me().run.0), "fleet: peers may come");
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
        let accepting = tokio::spawn(door.clone().accept(listener, limits.links)).abort_handle();
        let (outboxes, dials) = Default::default();
        let peers = Peers { door, outboxes, dials, watch, watched: 0 };
        Ok(Some((Mesh { fleet, peers, kept }, accepting)))
    }

    pub fn next_wake(&self) -> Time {
        self.fleet.next_wake()
    }

    pub fn holds(&self, now: Time) -> bool {
        self.fleet.holds(now)
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
        self.call(now, engine, |fleet, hands| fleet.link_in(now, hands, link));
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
            Kind::JOIN => {
                let (id, name, address, standing) = read_member(f)?;
                let (fleet, known) = (f.get_text(Field::FLEET)?, f.get_int(Field::KNOWN)?);
                self.call(now, engine, |me, hands| {
                    me.joined(now, hands, link, fleet, id, name, address, standing, known);
                });
            }
            Kind::MEMBER => {
                let (id, name, address, standing) = read_member(f)?;
                self.call(now, engine, |me, hands| {
                    me.member(now, hands, link, id, name, address, standing);
                });
            }
            Kind::BEAT => {
                let (tags, digest) =
                    ((f.get_int(Field::TAG)?, f.get_int(Field::ECHO)?), f.get_int(Field::DIGEST)?);
                let (held, age) = (held(f)?, f.maybe_int(Field::AGE)?.map(Time));
                let (sure, answer) = (f.get_int(Field::SURE)? == 1, f.get_int(Field::WANTED)? == 1);
                self.call(now, engine, |me, hands| {
                    me.beaten(now, hands, link, tags, digest, held, age, sure, answer);
                });
            }
            Kind::WATCH => {
                let held = held(f)?;
                self.call(now, engine, |me, hands| me.list_asked(now, hands, link, held));
            }
            Kind::LIST | Kind::CHANGE | Kind::LIST_END => self.list(now, engine, Some(link), f)?,
            Kind::HINTS => {
                let all = read_hints(now, f)?;
                self.call(now, engine, |me, hands| me.hinted(now, hands, link, all));
            }
            Kind::FAULT => info!("fleet: a peer says: {}", f.get_text(Field::WHY).unwrap_or("nothing")),
            Kind::STATUS => {
                let told = Frame::new(Kind::TOLD).body(self.status(now).into_bytes());
                self.call(now, engine, |_, hands| hands.send(link, told));
            }
            _ => {}
        }
        Ok(())
    }

    /// A frame of a list, from a peer or (none) from the list service.
    pub fn list(
        &mut self, now: Time, engine: &mut Engine<Outside>, on: Option<LinkId>, f: &Frame,
    ) -> Result<(), WireError> {
        match f.kind {
            Kind::LIST => {
                let (epoch, version) = (f.get_int(Field::EPOCH)?, f.get_int(Field::LIST_VERSION)?);
                self.fleet.list_begins(on, epoch, version, f.maybe_int(Field::FROM)?);
            }
            Kind::CHANGE => {
                let (name, entry) = read_entry(now, f)?;
                self.fleet.list_row(on, name, entry);
            }
            Kind::LIST_END => self.call(now, engine, |fleet, hands| fleet.list_ends(now, hands, on)),
            _ => {}
        }
        Ok(())
    }

    /// The module has seen something of functions at workers.
    pub fn saw(
        &mut self, now: Time, engine: &mut Engine<Outside>, seen: Vec<(WorkerId, FunctionId, Hint, u64)>,
    ) {
        for (worker, function, hint, held) in seen {
            self.call(now, engine, |me, hands| me.saw(now, hands, worker, function, hint, held));
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
        let (held, digest) = (self.fleet.book().held(), self.fleet.table().digest());
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
        let (table, number) = (fleet.table(), fleet.number());
        // Writing to a String cannot fail.
        let _ = writeln!(
            out,
            "{} run {:016x}: {} live, {} known, reckons with {} ({}), {} links, {} not reached, {} refused",
            self.peers.door.name,
            fleet.me().run.0,
            table.living().count(),
            table.len(),
            number.acted(),
            if number.is_sure() { "sure" } else { "unsure" },
            fleet.links(),
            fleet.unheard(),
            fleet.refusals(),
        );
        let (epoch, version) = fleet.book().held().unwrap_or_default();
        let age = fleet.age(now).map_or("of unknown age".to_owned(), |a| format!("{:.0} ms old", a.ms()));
        let _ = writeln!(out, "{} hints of functions at workers", fleet.hints().len());
        let watching = if fleet.is_watching() { "watched from here" } else { "heard from peers" };
        let _ = writeln!(out, "list {epoch}.{version}: {} workers, {age}, {watching}", fleet.book().len());
        let watchers = fleet.watchers();
        for (id, m) in table.iter() {
            let s = m.standing;
            let standing = match (s.left, s.dead, s.is_suspect()) {
                (true, ..) => "left",
                (_, true, _) => "given-up",
                (.., true) => "suspect",
                _ => "lives",
            };
            let watches = if watchers.contains(&id) { " watches" } else { "" };
            let blind = if s.blind { " blind" } else { "" };
            let since = (now - m.changed).ms() / 1000.0;
            let _ = writeln!(
                out,
                "{} run {:016x} at {}: {standing}{watches}{blind}, incarnation {}, for {since:.1} s",
                m.name, id.run.0, m.address, s.incarnation
            );
        }
        out
    }
}
