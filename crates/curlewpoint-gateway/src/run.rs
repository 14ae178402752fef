use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewpoint::types::{CopyReport, Outcome, Time};
use curlewpoint_amqp::Login;
use curlewpoint_catalogue::{Release, Releases, Standing};
use curlewpoint_config::Config;
use curlewpoint_engine::{ClientId, ConnId, Engine, Figures, Pool, PoolLimits, Refusal, RequestId};
use curlewpoint_journal::{Journal, JournalError, Limits as JournalLimits};
use curlewpoint_link::{Bounds, Clock, Turns};
use curlewpoint_wire::{Field, Frame, Kind, WireError};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{info, warn};

use crate::http::{Ask, Door, Limits, Reply};
use crate::notes::Note;
use crate::outside::Outside;
use crate::peers::Mesh;
use crate::reload::{InForce, Prepared, ReloadError, Reloader};
use crate::workers::Dialler;
use crate::{amqp, clients, codes, http, list};

#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot listen on {0}: {1}")]
    Listen(String, std::io::Error),
    #[error("{0}")]
    Methods(ReloadError),
    #[error("tls-roots: {0}")]
    Tls(String),
    #[error("amqp needs a journal: a file")]
    NoJournal,
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Notes that wait for the engine's task; beyond these their senders wait.
const WAITING: usize = 4096;
/// Notes taken in a turn, before time is looked at again.
const TURN: usize = 256;
const SWEEP: Duration = Duration::from_secs(1);
/// While nothing new may be sent, what is due is not looked at in between.
const HOLD_LOOK: Duration = Duration::from_millis(20);
/// At the end, answers get so long to leave.
const LAST_WRITES: Duration = Duration::from_secs(2);
/// After a stop, how long clients may take to say that they send nothing more.
const LEAVE: Duration = Duration::from_secs(2);
/// An attempt's head is longer than the RPC's by less than this, in bytes.
const HEADROOM: usize = 4096;
/// A scheduler that serves.
pub struct Running {
    pub address: SocketAddr,
    /// The HTTP door, where there is one.
    pub http: Option<SocketAddr>,
    stop: mpsc::Sender<Note>,
    started: Arc<Config>,
    end: JoinHandle<Figures>,
    helpers: Vec<AbortHandle>,
}

/// Ends a scheduler from elsewhere.
#[derive(Clone)]
pub struct Stopper(mpsc::Sender<Note>);

impl Stopper {
    /// Asks for an orderly end; a second time, for one at once.
    pub async fn stop(&self) {
        let _ = self.0.send(Note::Stop).await;
    }
}

impl Running {
    pub fn stopper(&self) -> Stopper {
        Stopper(self.stop.clone())
    }

    pub fn reloader(&self) -> Reloader {
        Reloader { notes: self.stop.clone(), started: Arc::clone(&self.started) }
    }

    pub async fn stop(&self) {
        self.stopper().stop().await;
    }

    /// Waits for the end, and tells where every RPC went.
    pub async fn wait(self) -> Figures {
        let figures = self.end.await.unwrap_or_default();
        self.helpers.iter().for_each(AbortHandle::abort);
        figures
    }
}

/// The broker whose queues are consumed, if there is one.
fn broker(config: &Config, seed: u128) -> Result<Option<amqp::Settings>, StartError> {
    let Some(address) = config.value("amqp", "address") else { return Ok(None) };
    let tls = match config.value("amqp", "tls-roots") {
        None => None,
        Some(file) => {
            let name = config.value("amqp", "tls-name").unwrap_or("");
            Some(amqp::Tls::new(&config.path(file), name).map_err(StartError::Tls)?)
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
        most_body: config.number("connections", "most-frame") as u64,
    };
    Ok(Some(amqp::Settings {
        address: address.to_owned(),
        tls,
        login,
        connections: config.number("amqp", "connections") as usize,
        most_held: config.number("amqp", "most-held") as u64,
        time_left: config.value("amqp", "time-left").map(|_| ms("time-left")),
        dead_letters: text("dead-letters"),
        keep: ms("keep"),
        back_off: (config.time("amqp", "amqp-back-off"), config.time("amqp", "amqp-most-back-off")),
        seed,
    }))
}

/// Starts a scheduler. It serves from the moment this returns; the list may come later.
pub async fn start(config: &Config) -> Result<Running, StartError> {
    let listen = config.text("listen").to_owned();
    let listener = curlewpoint_link::listen(&listen).map_err(|e| StartError::Listen(listen.clone(), e))?;
    let address = listener.local_addr().map_err(|e| StartError::Listen(listen, e))?;
    let of = |name| config.number("connections", name);
    let prepared = Arc::new(Prepared::of(config).map_err(StartError::Methods)?);
    let door = match config.value("", "http") {
        None => None,
        Some(at) => Some(curlewpoint_link::listen(at).map_err(|e| StartError::Listen(at.to_owned(), e))?),
    };
    let http = door.as_ref().and_then(|d| d.local_addr().ok());
    let bounds = Bounds {
        frame: of("most-frame") as usize,
        outbox: (of("outbox-frames") as usize, of("outbox") as usize),
        hello: config.time("connections", "hello-limit"),
        write: config.time("connections", "write-limit"),
    };
    let seed = match config.value("", "seed") {
        Some(_) => u128::from(config.number("", "seed") as u64),
        None => {
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_nanos())
        }
    };
    let name = config.text("name").to_owned();
    info!(name, %address, seed = %seed, "serving");

    let (answers_in, answers) = mpsc::channel(WAITING);
    let (asks_in, asks) = mpsc::channel(WAITING);
    let dial = config.time("connections", "dial-limit");
    let dialler = Dialler { name: name.clone(), bounds, limit: dial, notes: answers_in.clone() };
    let ms = |name| Time::from_ms(of(name));
    let limits = PoolLimits {
        streams: of("streams") as usize,
        conns: of("to-worker") as usize,
        // The configuration states no bound on all of them together.
        all: usize::MAX,
        idle: ms("idle"),
        back_off: (ms("back-off"), ms("most-back-off")),
    };
    let run = format!("{name}.{:08x}", oorandom::Rand64::new(seed).rand_u64() as u32);
    let most = config.number("", "most-releases") as usize;
    let notice = Time::from_ms(config.number("", "withdrawn-for"));
    let releases = Releases::new(Arc::clone(&prepared.catalogue), most, notice);
    let first = InForce { release: releases.in_force(), prepared, withdrawn: releases.withdrawn().clone() };
    let (publish, in_force) = watch::channel(Arc::new(first));
    let outside = Outside::new(run, releases, Pool::new(limits, seed), dialler);
    let clock = Clock::start();
    let engine = Engine::start(clock.now(), outside, seed, config.settings());

    let (tasks, closing) = (TaskTracker::new(), CancellationToken::new());
    let most = of("clients") as usize;
    // What a client sends must fit a worker's frame with the longer head of an attempt.
    let of_clients = Bounds { frame: bounds.frame.saturating_sub(HEADROOM), ..bounds };
    let desk = clients::Desk {
        name: name.clone(),
        bounds: of_clients,
        in_force: in_force.clone(),
        endings: answers_in.clone(),
        asks: asks_in.clone(),
        closing: closing.clone(),
        tasks: tasks.clone(),
    };
    let (no_more, stopped) = watch::channel(false);
    let accepting = clients::accept(listener, most, desk, stopped.clone());
    let mut helpers = vec![tasks.spawn(accepting).abort_handle()];
    if let Some(door) = door {
        let limits = Limits {
            connections: of("http-clients") as usize,
            body: of_clients.frame,
            slow: config.time("connections", "http-slow"),
            head: of("http-head") as usize,
        };
        let (endings, asks) = (answers_in.clone(), asks_in.clone());
        let requests = Door::new(in_force.clone(), clock, limits, endings, asks, tasks.clone());
        helpers.push(tasks.spawn(http::serve(door, requests, stopped)).abort_handle());
    }
    if let Some(settings) = broker(config, seed)? {
        let path = config.value("amqp", "journal").ok_or(StartError::NoJournal)?;
        let most = config.number("amqp", "journal-most") as u64;
        let limits =
            JournalLimits { delay: config.time("amqp", "journal-delay"), most, ..Default::default() };
        let mut before = amqp::Before::default();
        let journal = Journal::open(&config.path(path), limits, &mut before)?;
        let stopped = no_more.subscribe();
        tasks.spawn(amqp::serve(
            settings,
            journal,
            before,
            in_force.clone(),
            clock,
            asks_in.clone(),
            stopped,
        ));
    }
    // Where there are peers, few instances watch the list; else each does.
    let alone = config.value("fleet", "listen").is_none();
    let (watch, wanted) = watch::channel(alone.then_some(0));
    // Peers' notes come with the asks: answers are taken first, and a flood of records among them would let RPCs lie.
    let mesh = Mesh::start(config, clock.now(), seed, &asks_in, &tasks, watch.clone());
    let listen = config.value("fleet", "listen").unwrap_or("").to_owned();
    let mesh = mesh.map_err(|e| StartError::Listen(listen, e))?.map(|(mesh, accepting)| {
        helpers.push(accepting);
        mesh
    });
    let at = config.text("list").to_owned();
    let following = list::follow(at, name, bounds, dial, answers_in, seed, wanted);
    helpers.push(tokio::spawn(following).abort_handle());
    let kept = VecDeque::new();
    let turn = Turn {
        engine,
        clock,
        mesh,
        kept,
        _watch: watch,
        publish,
        no_more,
        ending: None,
        over: false,
        closing,
    };
    let end = tokio::spawn(turn.run(answers, asks, tasks, config.time("", "stop-limit")));
    let started = Arc::new(config.clone());
    Ok(Running { address, http, stop: asks_in, started, end, helpers })
}

struct Ending {
    /// Until then clients may say that they send nothing more.
    leave: Instant,
    /// The end of it all at the latest.
    limit: Instant,
}

/// The task that owns the engine.
struct Turn {
    engine: Engine<Outside>,
    clock: Clock,
    /// Other instances, where the configuration names a fleet.
    mesh: Option<Mesh>,
    /// What came while this instance had not heard yet what passed while it stood still.
    kept: VecDeque<Note>,
    /// Without a fleet nobody else holds it, and the list is watched for good.
    _watch: watch::Sender<Option<u64>>,
    /// Tells the doors which methods are in force.
    publish: watch::Sender<Arc<InForce>>,
    /// Tells the doors of a stop.
    no_more: watch::Sender<bool>,
    /// A stop that was asked for.
    ending: Option<Ending>,
    over: bool,
    /// Tells what is read of clients to come to an end.
    closing: CancellationToken,
}

impl Turn {
    async fn run(
        mut self, answers: mpsc::Receiver<Note>, asks: mpsc::Receiver<Note>, tasks: TaskTracker,
        stop_limit: Duration,
    ) -> Figures {
        let mut turns = Turns::new(answers, asks, TURN);
        let mut swept = Instant::now();
        loop {
            let mut wake = self.engine.next_wake().map_or(SWEEP, |at| self.clock.until(at)).min(SWEEP);
            if let Some(mesh) = &self.mesh {
                // What is held back needs the next news, or the next look at the time.
                let holds = mesh.holds(self.clock.now());
                wake = self.clock.until(mesh.next_wake()).min(if holds { HOLD_LOOK.max(wake) } else { wake });
            }
            let notes = turns.next(wake).await;
            let now = self.clock.now();
            if let Some(mesh) = &mut self.mesh {
                mesh.advance(now, &mut self.engine);
            }
            for note in notes {
                if note.is_news() || !self.holds() {
                    self.note(note, stop_limit);
                } else {
                    self.kept.push_back(note);
                }
            }
            if self.holds() {
                continue;
            }
            while let Some(note) = self.kept.pop_front() {
                self.note(note, stop_limit);
            }
            let now = self.clock.now();
            self.engine.advance(now);
            let seen = std::mem::take(&mut self.engine.world().seen);
            if let Some(mesh) = &mut self.mesh {
                mesh.saw(now, &mut self.engine, seen);
            }
            for client in std::mem::take(&mut self.engine.world().lost) {
                self.engine.client_gone(now, client);
            }
            if swept.elapsed() >= SWEEP {
                swept = Instant::now();
                self.engine.world().sweep(now);
                if let Some(mesh) = &mut self.mesh {
                    mesh.keep(now);
                }
            }
            if self.is_over() {
                break;
            }
        }
        let open = self.engine.open();
        if open > 0 {
            warn!(open, "ended with RPCs open: they are aborted");
            self.engine.abort_all(self.clock.now());
        }
        if let Some(mesh) = self.mesh.take() {
            mesh.leave(self.clock.now(), &mut self.engine);
        }
        // What has come is read to its last word and refused, and told; then each connection is shut, read to its end and
        // closed.
        self.closing.cancel();
        tasks.close();
        let (all, until) = (tasks.wait(), tokio::time::sleep(LAST_WRITES));
        tokio::pin!(all, until);
        loop {
            let notes: Vec<Note> = tokio::select! {
                () = &mut all => break,
                () = &mut until => break,
                notes = turns.next(SWEEP) => notes.filter(Note::is_of_client).collect(),
            };
            notes.into_iter().for_each(|note| self.note(note, stop_limit));
        }
        let f = self.engine.figures();
        let conns = self.engine.world().conns();
        info!(f.taken, f.ok, f.denied, f.aborted, f.left, f.refused, f.attempts, conns, "stopped");
        f
    }

    /// A stop is over once nothing is open and no client can have sent what was not read: each has said that it sends
    /// nothing more, has gone, or has not said so in its time.
    fn is_over(&mut self) -> bool {
        let Some(ending) = &self.ending else { return false };
        let (now, leave, limit) = (Instant::now(), ending.leave, ending.limit);
        let gone = now >= leave || self.engine.world().clients.values().all(|c| c.leaving);
        self.over || now >= limit || (gone && self.engine.open() == 0)
    }

    fn holds(&self) -> bool {
        self.mesh.as_ref().is_some_and(|mesh| mesh.holds(self.clock.now()))
    }

    /// A note of a peer or of the list, where there is a fleet; else it is handed back.
    fn news(&mut self, now: Time, note: Note) -> Option<Note> {
        let Some(mesh) = &mut self.mesh else { return Some(note) };
        let engine = &mut self.engine;
        match note {
            Note::PeerIn(link, outbox) => mesh.link_in(now, engine, link, outbox),
            Note::PeerUp(link, outbox) => mesh.link_up(now, engine, link, outbox),
            Note::PeerDown(link) => mesh.link_down(now, engine, link),
            Note::Peer(link, frame) => mesh.peer(now, engine, link, &frame),
            Note::ListUp(outbox) => {
                engine.world().list = Some(outbox);
                mesh.service_up(now, engine);
            }
            Note::List(frame) => {
                if let Err(e) = mesh.list(now, engine, None, &frame) {
                    info!("list service: {e}");
                    engine.world().list = None;
                    mesh.service_down(now);
                }
            }
            Note::ListBroke => {
                engine.world().list = None;
                mesh.service_down(now);
            }
            other => return Some(other),
        }
        None
    }

    fn note(&mut self, note: Note, stop_limit: Duration) {
        let now = self.clock.now();
        let Some(note) = self.news(now, note) else { return };
        let engine = &mut self.engine;
        match note {
            Note::ClientIn(id, client) => {
                engine.world().clients.insert(id, client);
                if self.ending.is_some() {
                    engine.world().tell_client(id, Frame::new(Kind::GO_AWAY));
                }
            }
            Note::ClientOut(id, why, forgotten) => {
                // What was read of it and never taken.
                (0..forgotten).for_each(|_| engine.refused());
                match why {
                    Some(why) => self.close_client(now, id, &why.to_string()),
                    None => {
                        engine.world().clients.remove(&id);
                        engine.world().calls.remove(&id);
                        engine.client_gone(now, id);
                    }
                }
            }
            Note::Unfit(id, frame, why) => {
                if self.is_wanted(id, &frame) {
                    if let Err(e) = self.unfit(id, &frame, &why) {
                        self.close_client(now, id, &e.to_string());
                    }
                }
            }
            Note::Cancel(id, tag, None) => self.withdrawn(id, tag),
            Note::Cancel(id, tag, Some(after)) => {
                let Some(client) = engine.world().clients.get_mut(&id) else { return };
                if client.withdraws(tag, after) {
                    engine.cancelled(now, id, tag);
                } else {
                    self.close_client(now, id, "too much is withdrawn");
                }
            }
            Note::Reload(reload) => {
                let done = self.reload(now, reload.prepared, reload.terms);
                let _ = reload.told.send(done);
            }
            Note::Ask(id, ask) => self.ask(now, id, ask),
            Note::Client(id, release, frame) => {
                if self.is_wanted(id, &frame) {
                    if let Err(e) = self.client(now, id, release, frame) {
                        self.close_client(now, id, &e.to_string());
                    }
                }
            }
            Note::Up(conn, outbox) => {
                engine.world().conn_up(now, conn, outbox);
                engine.settle(now);
            }
            Note::Down(conn, ours) => {
                engine.world().conn_failed(now, conn, ours);
                engine.settle(now);
            }
            Note::Broken(conn) => {
                engine.world().conn_broken(now, conn);
                engine.settle(now);
            }
            Note::Worker(conn, frame) => {
                if let Err(e) = self.worker(now, conn, &frame) {
                    info!(conn = conn.0, "connection to a worker closed: {e}");
                    self.engine.world().conn_broken(now, conn);
                    self.engine.settle(now);
                }
            }
            Note::ListUp(outbox) => {
                engine.world().list = Some(outbox);
                engine.list_up();
            }
            Note::List(frame) => {
                if let Err(e) = self.list(now, &frame) {
                    info!("list service: {e}");
                    self.engine.world().list = None;
                    self.engine.list_broke();
                }
            }
            Note::ListBroke => {
                engine.world().list = None;
                engine.list_broke();
            }
            Note::PeerIn(..) | Note::PeerUp(..) | Note::PeerDown(_) | Note::Peer(..) => {}
            Note::Stop if self.ending.is_some() => self.over = true,
            Note::Stop => {
                info!(open = engine.open(), "stopping: nothing more is taken");
                let now = Instant::now();
                self.ending = Some(Ending { leave: now + LEAVE.min(stop_limit), limit: now + stop_limit });
                let _ = self.no_more.send(true);
                engine.stop_taking();
                let all: Vec<ClientId> = engine.world().clients.keys().copied().collect();
                for id in all {
                    engine.world().tell_client(id, Frame::new(Kind::GO_AWAY));
                }
            }
        }
    }

    /// Whether a frame that a client asks by is still to be taken. What one sent before it went or was cut off is void with
    /// it; what it has withdrawn meanwhile is refused.
    fn is_wanted(&mut self, id: ClientId, frame: &Frame) -> bool {
        let tag = frame.get_int(Field::TAG).ok().filter(|_| frame.kind == Kind::RPC);
        match (self.engine.world().clients.get_mut(&id).map(|client| client.takes(tag)), tag) {
            (Some(true), Some(tag)) => self.withdrawn(id, tag),
            (Some(_), _) => return true,
            (None, Some(_)) => self.engine.refused(),
            (None, None) => {}
        }
        false
    }

    /// What a client asked and withdrew before it was taken.
    fn withdrawn(&mut self, id: ClientId, tag: u64) {
        self.engine.refused();
        let refused = Frame::new(Kind::REFUSED).int(Field::TAG, tag).text(Field::WHY, "cancelled");
        self.engine.world().tell_client(id, refused);
    }

    fn client(&mut self, now: Time, id: ClientId, release: Release, frame: Frame) -> Result<(), WireError> {
        match frame.kind {
            Kind::RPC => {
                let releases = &self.engine.world().releases;
                let in_force = releases.in_force();
                if release != in_force {
                    // Other methods came into force on its way here: it is taken under those, if at all.
                    let fits = releases.catalogue(in_force).map(|c| clients::unfit(c, &frame));
                    if let Some(why) = fits.flatten() {
                        return self.unfit(id, &frame, &why);
                    }
                }
                let (tag, method) = (frame.get_int(Field::TAG)?, frame.get_text(Field::METHOD)?);
                let taken = self.engine.rpc(
                    now,
                    (id, tag),
                    method,
                    frame.get_text(Field::MODEL)?,
                    frame.maybe_text(Field::TENANT)?.unwrap_or(""),
                    Time(frame.get_int(Field::LEFT)?),
                    frame.maybe_text(Field::TOKEN)?,
                    None,
                    frame.body.clone(),
                );
                if let Err(why) = taken {
                    let why = codes::refusal_name(self.refusal(now, method, why));
                    let refused = Frame::new(Kind::REFUSED).int(Field::TAG, tag);
                    self.engine.world().tell_client(id, refused.text(Field::WHY, why));
                }
            }
            Kind::GO_AWAY => {
                self.engine.world().clients.get_mut(&id).into_iter().for_each(|c| c.leaving = true);
            }
            // What later versions may say is passed over.
            _ => {}
        }
        Ok(())
    }

    fn unfit(&mut self, id: ClientId, frame: &Frame, why: &str) -> Result<(), WireError> {
        let tag = frame.get_int(Field::TAG)?;
        self.engine.refused();
        let f = Frame::new(Kind::REFUSED).int(Field::TAG, tag).text(Field::WHY, &format!("unfit: {why}"));
        self.engine.world().tell_client(id, f);
        Ok(())
    }

    /// A method that was withdrawn of late is not one that never was.
    fn refusal(&mut self, now: Time, method: &str, why: Refusal) -> Refusal {
        match (why, self.engine.world().releases.standing(now, method)) {
            (Refusal::NoSuchMethod, Standing::Withdrawn { .. }) => Refusal::Withdrawn,
            _ => why,
        }
    }

    /// Other methods come into force: all of it in this one turn, so that no RPC meets half of it.
    fn reload(
        &mut self, now: Time, prepared: Arc<Prepared>, terms: Vec<serde_json::Value>,
    ) -> Result<Release, ReloadError> {
        self.engine.world().releases.has_room().map_err(|e| ReloadError::TooMany(e.0))?;
        self.engine.serve(terms).map_err(|_| ReloadError::TooManyTerms)?;
        let releases = &mut self.engine.world().releases;
        let release =
            releases.reload(now, Arc::clone(&prepared.catalogue)).map_err(|e| ReloadError::TooMany(e.0))?;
        let (held, withdrawn) = (releases.held(), releases.withdrawn().clone());
        let (methods, of) = (prepared.catalogue.methods().count(), &prepared.catalogue.release);
        info!(release = release.0, of, methods, held, "other methods are in force");
        self.publish.send_replace(Arc::new(InForce { release, prepared, withdrawn }));
        Ok(release)
    }

    fn ask(&mut self, now: Time, id: ClientId, ask: Ask) {
        let Ask { release, method, model, tenant, left, token, body, reply } = ask;
        // Its client has gone: nothing was taken.
        if reply.is_closed() {
            return self.engine.refused();
        }
        if release != self.engine.world().releases.in_force() {
            let _ = reply.send(Reply::Changed);
            return;
        }
        // The answer may come within the call.
        self.engine.world().calls.insert(id, reply);
        let token = token.as_deref();
        if let Err(why) = self.engine.rpc(now, (id, 1), &method, &model, &tenant, left, token, None, body) {
            if let Some(reply) = self.engine.world().calls.remove(&id) {
                let _ = reply.send(Reply::Refused(self.refusal(now, &method, why)));
            }
        }
    }

    /// Whether what a worker answered is what the method's description promised when the RPC was taken.
    fn fits(&mut self, request: RequestId, body: &[u8]) -> bool {
        let Some((rpc, method)) = self.engine.asked_by(request) else { return true };
        let method = method.to_owned();
        let catalogue = self.engine.world().taken_under(rpc);
        let checked = catalogue.and_then(|c| c.method(&method)).map_or(Ok(()), |m| m.answer.check(body));
        if let Err(why) = &checked {
            info!(method, "an answer does not fit its schema, {why}");
        }
        checked.is_ok()
    }

    fn close_client(&mut self, now: Time, id: ClientId, why: &str) {
        info!(client = id.0, "closed: {why}");
        self.engine.world().tell_client(id, Frame::new(Kind::FAULT).text(Field::WHY, why));
        self.engine.world().clients.remove(&id);
        self.engine.client_gone(now, id);
    }

    fn worker(&mut self, now: Time, conn: ConnId, f: &Frame) -> Result<(), WireError> {
        match f.kind {
            Kind::ANSWER | Kind::LOADED | Kind::REPORT => {
                let request = RequestId(f.get_int(Field::TAG)?);
                let outcome = if f.kind == Kind::REPORT { Outcome::Ok } else { codes::outcome(f)? };
                let copy = if f.kind == Kind::ANSWER { codes::copy(f)? } else { CopyReport::Unreported };
                let held = f.maybe_int(Field::HELD)?.unwrap_or(0);
                let copies = f.maybe_int(Field::COPIES)?.unwrap_or(0);
                let report = f.get_floats(Field::REPORT)?;
                // It has run, so it is no denial; what was promised did not come, so it is not ok: an error.
                let unfit = f.kind == Kind::ANSWER && outcome == Outcome::Ok && !self.fits(request, &f.body);
                let outcome = if unfit { Outcome::Error } else { outcome };
                if self.engine.world().answered(now, conn, request) {
                    let body = f.body.clone();
                    self.engine.request_ended(now, request, outcome, copy, held, copies, report, body);
                }
            }
            Kind::GO_AWAY => self.engine.world().conn_leaves(conn),
            _ => {}
        }
        Ok(())
    }

    fn list(&mut self, now: Time, f: &Frame) -> Result<(), WireError> {
        match f.kind {
            Kind::LIST => {
                let (epoch, version) = (f.get_int(Field::EPOCH)?, f.get_int(Field::LIST_VERSION)?);
                self.engine.list_begins(epoch, version, f.maybe_int(Field::FROM)?);
            }
            Kind::CHANGE => self.engine.list_row(
                now,
                f.get_text(Field::WORKER)?,
                f.maybe_text(Field::ADDRESS)?.unwrap_or(""),
                codes::standing(f)?,
                f.maybe_int(Field::START)?.unwrap_or(0),
                f.maybe_int(Field::AGE)?.map(Time),
                f.maybe_text(Field::ZONE)?.unwrap_or(""),
                f.maybe_text(Field::CELL)?.unwrap_or(""),
                f.maybe_float(Field::SIZE)?.unwrap_or(1.0),
            ),
            Kind::LIST_END => {
                self.engine.list_ends(now);
            }
            _ => {}
        }
        Ok(())
    }
}
