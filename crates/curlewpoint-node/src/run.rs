use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use curlewpoint::types::{CopyReport, Lifecycle, Time};
use curlewpoint_engine::{ClientId, ConnId, Engine, Figures, Pool, PoolLimits, Refusal};
use curlewpoint_link::{listen_again, Bounds, Clock, Turns, METRICS};
use curlewpoint_platform::told::{self, Told, ToldError};
use curlewpoint_platform::{asked, lines, Roll};
use oorandom::Rand64;
use serde_json::{Map, Value};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::notes::Note;
use crate::outside::Outside;
use crate::stall::Stalls;
use crate::workers::Dialler;
use crate::{clients, directory};

#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("what is known of workers: {0}")]
    Known(#[from] ToldError),
}

/// Notes that wait for the engine's task; beyond these their senders wait. Few of what begins something, so that what a
/// client asks does not lie there while it goes.
const ENDINGS: usize = 1024;
const ASKS: usize = 128;
const SWEEP: Duration = Duration::from_secs(1);
/// The longest body, and the longest line of a worker: a body in base64 and its fields.
const MOST_BODY: usize = 16 * 1024;
const MOST_LINE: usize = 64 * 1024;
/// Open requests on a client's connection.
const MOST_OPEN: usize = 32;
/// Tags out of their order on a client's connection.
const MOST_SCATTERED: usize = 256;
/// Faults of its own after which a client is cut off.
const MOST_FAULTS: u32 = 8;
/// A client with nothing open that was seen to say nothing so often in a row, a second apart, is closed.
const MOST_QUIET: u32 = 5;
/// After a stop, how long RPCs may still come; and when the platform kills what goes on, less the time for last words.
const COMING: Duration = Duration::from_millis(1_000);
const KILLED: (Duration, Duration) = (Duration::from_millis(3_000), Duration::from_millis(700));
const LAST_WORDS: Duration = Duration::from_millis(200);
/// One that is not killed by so long after that moment ends by itself.
const UNKILLED: Duration = Duration::from_millis(500);
/// Looks, a second apart, at which RPCs had ended and none of them was served, after which one line says so.
const NOBODY: u32 = 3;
/// Descriptors that are neither clients' nor workers': listener, directory, signals and the like.
const OWN: usize = 16;
/// Tells a scheduler to stop, or to log its figures.
#[derive(Clone)]
pub struct Stopper(mpsc::Sender<Note>);

impl Stopper {
    pub async fn stop(&self) {
        let _ = self.0.send(Note::Stop).await;
    }

    /// Has where its RPCs went and what its sockets met logged in one line.
    pub async fn log_figures(&self) {
        let _ = self.0.send(Note::Figures).await;
    }
}

/// A scheduler that serves.
pub struct Running {
    pub address: SocketAddr,
    pub notes: Stopper,
    /// Where the directory is; another may be told at any time.
    pub resolver: watch::Sender<SocketAddr>,
    /// Ends with where every RPC went.
    pub end: JoinHandle<Figures>,
}

/// Takes the list for the engine.
struct ToEngine<'a> {
    engine: &'a mut Engine<Outside>,
    clock: Clock,
    now: Time,
}

impl Roll for ToEngine<'_> {
    fn begins(&mut self, version: u64, since: Option<u64>) {
        self.engine.list_begins(0, version, since);
    }

    fn worker(
        &mut self, name: &str, address: &str, standing: Lifecycle, started: u64, zone: &str, cell: &str,
        size: f64,
    ) {
        let age = (started > 0).then(|| self.clock.age_of_unix_ms(started));
        self.engine.list_row(self.now, name, address, standing, started, age, zone, cell, size);
    }

    fn ends(&mut self) {
        self.engine.list_ends(self.now);
    }
}

/// A limit of the settings; where it is absent, nought or no number the default holds.
fn limit(settings: &Map<String, Value>, name: &str, default: u64) -> u64 {
    let told = settings.get("limits").and_then(|l| l.get(name)).and_then(Value::as_f64);
    told.map(|v| v as u64).filter(|v| *v > 0).unwrap_or(default)
}

/// The longest time that a client waits, by the settings.
fn longest(settings: &Map<String, Value>) -> Duration {
    let methods = settings.get("requestClasses").and_then(Value::as_array).into_iter().flatten();
    let times = methods.filter_map(|m| m.get("giveUp")?.as_f64()).filter(|ms| *ms > 0.0);
    times.reduce(f64::max).map_or(KILLED.0, |ms| Duration::from_millis(ms as u64))
}

/// Starts a scheduler. It serves from the moment this returns.
pub async fn start(told: Told) -> Result<Running, StartError> {
    let Told { name, listen: at, seed, sockets, memory_mb, resolver, mut settings, known } = told;
    let listener = listen_again(&at.to_string()).await.map_err(|e| StartError::Listen(at, e))?;
    let address = listener.local_addr().map_err(|e| StartError::Listen(at, e))?;
    info!(name, %address, seed = %seed, sockets, memory_mb, "serving");

    let (endings, ended) = mpsc::channel(ENDINGS);
    let (asks_in, asks) = mpsc::channel(ASKS);
    let bounds = Bounds { frame: MOST_LINE, outbox: (512, 1 << 20), ..Bounds::default() };
    let dial = Duration::from_millis(limit(&settings, "dialTimeout", 250));
    let dialler = Dialler { bounds, limit: dial, notes: endings.clone() };
    let limits = PoolLimits {
        streams: limit(&settings, "streamsPerConn", 32) as usize,
        conns: (sockets / 64).clamp(2, 16),
        all: sockets - sockets / 2 - OWN,
        // Before the worker closes it: what crosses that may have run.
        idle: Time::from_ms(limit(&settings, "keepalive", 15_000) as f64 * 0.6),
        back_off: (Time::from_ms(50.0), Time::from_ms(1_000.0)),
    };
    // Each RPC held may hold a body: half of the memory is for them.
    let most_open =
        limit(&settings, "maxOpen", 100_000).min((memory_mb * 1024 * 1024 / 2 / MOST_BODY) as u64);
    let limits_told = settings.entry("limits").or_insert_with(|| Value::Object(Map::new()));
    if let Value::Object(told) = limits_told {
        told.insert("maxOpen".to_owned(), most_open.into());
    }
    let names = settings.get("loadInfo").and_then(|l| l.get("names")).and_then(Value::as_array);
    let report: Vec<String> =
        names.into_iter().flatten().filter_map(Value::as_str).map(str::to_owned).collect();
    let killed = longest(&settings).min(KILLED.0) + KILLED.1;
    let clock = Clock::start();
    let mut engine =
        Engine::start(clock.now(), Outside::new(Pool::new(limits, seed), dialler, clock), seed, settings);
    told::known(&known, &mut ToEngine { engine: &mut engine, clock, now: clock.now() })?;

    let (tasks, closing) = (TaskTracker::new(), CancellationToken::new());
    let desk = clients::Desk {
        bounds: Bounds { frame: MOST_BODY, ..bounds },
        clock,
        endings: endings.clone(),
        asks: asks_in,
        closing: closing.clone(),
        tasks: tasks.clone(),
    };
    let accepting = tasks.spawn(clients::accept(listener, sockets / 2, desk));
    let (resolver, at) = watch::channel(resolver);
    let following = tokio::spawn(directory::follow(at, endings.clone(), Rand64::new(seed))).abort_handle();
    let turn = Turn {
        engine,
        clock,
        report,
        killed,
        begun: Instant::now(),
        ending: None,
        refusing: false,
        mismatched: false,
        listed: 0,
        service: Service::default(),
        stalls: Stalls::default(),
        checked: false,
    };
    let end = tokio::spawn(async move {
        let figures = turn.run(Turns::new(ended, asks, ASKS), tasks, closing).await;
        following.abort();
        accepting.abort();
        figures
    });
    Ok(Running { address, notes: Stopper(endings), resolver, end })
}

/// Whether anybody is served.
#[derive(Default)]
struct Service {
    /// RPCs served, and ended otherwise, at the last look.
    ok: u64,
    not: u64,
    /// Looks in a row at which some had ended and none was served.
    none: u32,
}

impl Service {
    /// Tells in one line of a scheduler that is up and answers nobody well, as with a list that names nobody and a
    /// directory that says nothing; and in one that it serves again. Nothing else is done: it goes on asking, dialling and
    /// refusing. Where clients alone are at fault it says so as well.
    fn look(&mut self, f: Figures, listed: u64, conns: usize) {
        let not = f.denied + f.aborted + f.refused;
        if f.ok > self.ok {
            if self.none >= NOBODY {
                info!("serves again");
            }
            self.none = 0;
        } else if not > self.not {
            self.none = self.none.saturating_add(1);
            if self.none == NOBODY {
                info!(listed, conns, not, "serves nobody: all RPCs are turned down or fail");
            }
        }
        (self.ok, self.not) = (f.ok, not);
    }
}

/// The task that owns the engine.
struct Turn {
    engine: Engine<Outside>,
    clock: Clock,
    /// What a load report holds, in this order.
    report: Vec<String>,
    /// So long after a stop the platform kills what still runs.
    killed: Duration,
    begun: Instant,
    /// When a stop was asked for, and whether it has come so far that all is refused.
    ending: Option<Instant>,
    refusing: bool,
    /// Books were seen to differ, and it was said.
    mismatched: bool,
    /// The newest list heard of.
    listed: u64,
    service: Service,
    stalls: Stalls,
    /// It was asked whether it is fit, and it was said when.
    checked: bool,
}

impl Turn {
    async fn run(
        mut self, mut turns: Turns<Note>, tasks: TaskTracker, closing: CancellationToken,
    ) -> Figures {
        let mut swept = Instant::now();
        while !self.is_over() {
            self.turn(&mut turns, SWEEP).await;
            if swept.elapsed() >= SWEEP {
                swept = Instant::now();
                let now = self.clock.now();
                self.engine.world().sweep(now);
                self.look_into_books();
                let conns = self.engine.world().conns();
                self.service.look(self.engine.figures(), self.listed, conns);
            }
        }
        // From here on all that comes is refused. What has come is read to its last word, answered, flushed; then each
        // connection is shut, read to its end and closed, within the time for last words.
        self.engine.stop_taking();
        self.engine.abort_all(self.clock.now());
        closing.cancel();
        tasks.close();
        let (all, until) = (tasks.wait(), tokio::time::sleep(LAST_WORDS));
        tokio::pin!(all, until);
        loop {
            tokio::select! {
                () = &mut all => break,
                () = &mut until => break,
                () = self.turn(&mut turns, SWEEP) => {}
            }
        }
        self.engine.abort_all(self.clock.now());
        self.log_figures("stopped");
        self.engine.figures()
    }

    fn log_figures(&mut self, why: &str) {
        let conns = self.engine.world().conns();
        let f = self.engine.figures();
        let (loads, probes, list) = (f.loads, f.probes, self.listed);
        info!(f.taken, f.ok, f.denied, f.aborted, f.left, f.refused, f.attempts, conns, f.cut_off, "{why}");
        info!(loads, probes, list, "sockets: {METRICS}");
    }

    /// Waits until something has come, and takes it.
    async fn turn(&mut self, turns: &mut Turns<Note>, at_most: Duration) {
        let wake = self.engine.next_wake().map_or(at_most, |at| self.clock.until(at)).min(at_most);
        let notes = turns.next(wake).await;
        self.stalls.turns(self.clock.now());
        for note in notes {
            self.note(note);
        }
        let now = self.clock.now();
        self.engine.advance(now);
        for client in std::mem::take(&mut self.engine.world().lost) {
            self.engine.client_gone(now, client);
        }
    }

    /// Holds what the module believes out against what is open on the sockets, and tells how much is kept.
    fn look_into_books(&mut self) {
        let open = self.engine.world().open();
        if let Some(what) = self.engine.mismatch(&open).filter(|_| !self.mismatched) {
            self.mismatched = true;
            warn!("books differ, said once: {what}");
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            let world = self.engine.world().sizes();
            debug!("kept: {:?} {world:?}", self.engine.sizes());
        }
    }

    /// After a stop it serves until nothing is open and no client could send more on its connection. From shortly before the
    /// platform kills it refuses what comes, so that nothing is open then; it goes on with that until it is killed, or ends by
    /// itself where nobody does.
    fn is_over(&mut self) -> bool {
        let Some(since) = self.ending.map(|at| at.elapsed()) else { return false };
        if since + LAST_WORDS >= self.killed && !self.refusing {
            self.refusing = true;
            self.engine.stop_taking();
            self.engine.abort_all(self.clock.now());
        }
        let is_idle = self.engine.open() == 0 && self.engine.world().clients.is_empty();
        since >= self.killed + UNKILLED || (since >= COMING && is_idle)
    }

    fn note(&mut self, note: Note) {
        let now = self.clock.now();
        let engine = &mut self.engine;
        match note {
            Note::ClientIn(id, client) => drop(engine.world().clients.insert(id, client)),
            Note::Client(id, words) | Note::Cancel(id, words) => {
                if let Err(why) = self.client(now, id, words) {
                    self.close_client(now, id, why);
                }
                if let Some(client) = self.engine.world().clients.get(&id) {
                    client.presence.dealt_with(client.open.len());
                }
            }
            Note::Quiet(id) => {
                let Some(client) = engine.world().clients.get_mut(&id) else { return };
                client.quiet += 1;
                if client.presence.is_idle() && client.quiet >= MOST_QUIET {
                    engine.world().clients.remove(&id);
                }
            }
            Note::ClientOut(id, Some(why)) => self.close_client(now, id, &why.to_string()),
            Note::ClientOut(id, None) => {
                engine.world().clients.remove(&id);
                engine.client_gone(now, id);
            }
            Note::Up(conn, outbox) => {
                engine.world().conn_up(now, conn, outbox);
                engine.settle(now);
            }
            Note::Down(conn, ours) => {
                engine.world().conn_failed(now, conn, ours);
                engine.settle(now);
            }
            Note::Worker(conn, row) => {
                if let Err(why) = self.worker(now, conn, &row) {
                    info!(conn = conn.0, "connection to a worker closed: {why}");
                    self.engine.world().conn_broken(now, conn);
                    self.engine.settle(now);
                }
            }
            Note::Broken(conn) => {
                engine.world().conn_broken(now, conn);
                engine.settle(now);
            }
            Note::List(list) => {
                if self.listed < list.version() {
                    self.listed = list.version();
                    debug!("list {} read", self.listed);
                }
                list.call(&mut ToEngine { engine, clock: self.clock, now });
            }
            Note::Figures => self.log_figures("figures"),
            Note::Stop => {
                info!(open = self.engine.open(), "stopping");
                self.ending.get_or_insert_with(Instant::now);
            }
        }
    }

    /// What a client asks; an error is one after which its connection is of no use.
    fn client(&mut self, now: Time, id: ClientId, words: Vec<Bytes>) -> Result<(), &'static str> {
        let stopping = self.ending.is_some();
        let Some(client) = self.engine.world().clients.get_mut(&id) else { return Ok(()) };
        client.quiet = 0;
        let word = |no: usize| words.get(no).map_or(&b""[..], |w| &w[..]);
        let tag = asked::tag(word(1)).ok_or("a tag that is none")?;
        match word(0) {
            asked::CALL => {
                if !client.tags.is_new(tag, MOST_SCATTERED) {
                    return Err("a tag for the second time");
                }
                if client.cancelled.remove(&tag) {
                    return Ok(());
                }
                if client.open.len() >= MOST_OPEN {
                    self.engine.refused();
                    self.engine.world().tell(id, tag, asked::ENOUGH, "", b"");
                    return Ok(());
                }
                let body = words.get(4).cloned().unwrap_or_default();
                if let Err(word) = self.call(now, id, tag, word(2), word(3), body) {
                    self.turned_down(id, tag, word)?;
                }
            }
            // A cancel goes ahead of calls: what it withdraws may still be on its way.
            asked::CANCEL if !client.tags.was_used(tag) => {
                client.cancelled.insert(tag);
                if client.cancelled.len() > MOST_SCATTERED {
                    return Err("too many tags cancelled that were never used");
                }
            }
            asked::CANCEL => {
                self.engine.world().withdrawn = Some((id, tag));
                self.engine.cancelled(now, id, tag);
                self.engine.world().withdrawn = None;
            }
            asked::CHECK => {
                let said = if stopping { asked::UNFIT } else { asked::FIT };
                if !std::mem::replace(&mut self.checked, true) {
                    let after = self.begun.elapsed().as_millis() as u64;
                    info!(after, "first asked whether it is {said}, milliseconds from the start");
                }
                self.engine.world().tell(id, tag, said, "", b"");
            }
            _ => return Err("a command that is none"),
        }
        Ok(())
    }

    /// An RPC was not taken. A client whose own fault that is, again and again, is cut off.
    fn turned_down(&mut self, id: ClientId, tag: u64, word: &str) -> Result<(), &'static str> {
        let world = self.engine.world();
        world.tell(id, tag, word, "", b"");
        if let Some(client) = world.clients.get_mut(&id).filter(|_| word == asked::BROKEN) {
            client.faults += 1;
            if client.faults >= MOST_FAULTS {
                return Err("too many faults");
            }
        }
        Ok(())
    }

    /// An RPC comes in; where it is not taken, the word to answer with.
    fn call(
        &mut self, now: Time, id: ClientId, tag: u64, method: &[u8], fields: &[u8], body: Bytes,
    ) -> Result<(), &'static str> {
        let unfit = |what| {
            debug!(client = id.0, tag, "not taken: {what}");
            asked::BROKEN
        };
        let text = |bytes| std::str::from_utf8(bytes).map_err(|_| unfit("no text"));
        let (method, fields) = (text(method)?, text(fields)?);
        let field = |name| asked::field(fields, name);
        let req = field("req").and_then(asked::hex).ok_or_else(|| unfit("its id"))?;
        let left = field("timeout").and_then(asked::timeout).ok_or_else(|| unfit("its time"))?;
        let model = field("subject").and_then(asked::hex).ok_or_else(|| unfit("its function"))?;
        let info = asked::info(field("info").unwrap_or("")).ok_or_else(|| unfit("its figures"))?;
        let lanes = info.iter().find(|(name, _)| *name == "lanes").map(|(_, lanes)| *lanes);
        if lanes.is_some_and(|lanes| lanes < 1.0) {
            return Err(unfit("its lanes"));
        }
        if self.engine.world().holds(req) {
            return Err(unfit("its id is one that is open"));
        }
        let (method, tenant) = (field("kind").unwrap_or(method), field("owner").unwrap_or(""));
        let world = self.engine.world();
        world.coming = req.into();
        world.clients.get_mut(&id).into_iter().for_each(|c| c.open.extend([tag]));
        let left = left - self.stalls.waited(now);
        let taken = self.engine.rpc(now, (id, tag), method, model, tenant, left, field("opkey"), lanes, body);
        let Err(why) = taken else { return Ok(()) };
        debug!(client = id.0, tag, "not taken: {why:?}");
        let world = self.engine.world();
        world.clients.get_mut(&id).into_iter().for_each(|c| c.open.retain(|t| *t != tag));
        match why {
            Refusal::Full | Refusal::NoTime | Refusal::Stopping => Err(asked::REFUSED),
            _ => Err(unfit("its method, its token or its function")),
        }
    }

    /// Answers what a client has open, and closes its connection.
    fn close_client(&mut self, now: Time, id: ClientId, why: &str) {
        debug!(client = id.0, "closed: {why}");
        let open = self.engine.world().clients.get(&id).map(|c| c.open.clone()).unwrap_or_default();
        for tag in open {
            self.engine.cancelled(now, id, tag);
        }
        self.engine.world().clients.remove(&id);
        self.engine.client_gone(now, id);
    }

    /// What a worker says; what nobody waits for is passed over.
    fn worker(&mut self, now: Time, conn: ConnId, row: &Map<String, Value>) -> Result<(), lines::LineError> {
        let outcome = lines::outcome(row)?;
        let Some(request) = self.engine.world().asked_as(conn, lines::text(row, "req")?) else {
            return Ok(());
        };
        let body = lines::body(row)?;
        let is_attempt = self.engine.asked_by(request).is_some();
        let copy = if is_attempt { lines::copy(row) } else { CopyReport::Unreported };
        let (held, copies, report) = (lines::held(row), lines::copies(row), lines::report(row, &self.report));
        self.engine.world().answered(now, request);
        self.engine.request_ended(now, request, outcome, copy, held, copies, report, body);
        Ok(())
    }
}
