use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_fleet::frames::read_entries;
use curlewpoint_lab::{Transcript, TranscriptEvent};
use curlewpoint_wire::{Codec, Field, Frame, Kind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::codec::Decoder;

/// What is done to bytes on their way from one party to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// They lie until the cut is over; new connections say nothing.
    Cut,
    Delay(Duration),
    /// Bytes a second.
    Slow(f64),
}

struct Rule {
    from: BTreeSet<String>,
    to: BTreeSet<String>,
    effect: Effect,
}

/// Which effects hold between whom. Every relay of a rig goes by the same.
#[derive(Clone)]
pub struct Rules {
    rules: Arc<Mutex<BTreeMap<u64, Rule>>>,
    /// Counts changes, and resets of connections between two parties.
    changed: watch::Sender<u64>,
    resets: watch::Sender<(u64, BTreeSet<(String, String)>)>,
}

impl Default for Rules {
    fn default() -> Rules {
        let (changed, _) = watch::channel(0);
        let (resets, _) = watch::channel(Default::default());
        Rules { rules: Arc::default(), changed, resets }
    }
}

impl Rules {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Rule>> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From here on, until it is lifted, for bytes from any of the first to any of the second.
    pub fn set(&self, id: u64, from: BTreeSet<String>, to: BTreeSet<String>, effect: Effect) {
        self.lock().insert(id, Rule { from, to, effect });
        self.changed.send_modify(|n| *n += 1);
    }

    pub fn lift(&self, id: u64) {
        self.lock().remove(&id);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Ends all connections between any of the first and any of the second.
    pub fn reset(&self, a: &BTreeSet<String>, b: &BTreeSet<String>) {
        let pairs = a
            .iter()
            .flat_map(|a| b.iter().flat_map(move |b| [(a.clone(), b.clone()), (b.clone(), a.clone())]));
        let pairs: BTreeSet<_> = pairs.collect();
        self.resets.send_modify(|(n, of)| (*n, *of) = (*n + 1, pairs));
    }

    fn on(&self, from: &str, to: &str) -> (bool, Duration, Option<f64>) {
        let (mut cut, mut delay, mut slow) = (false, Duration::ZERO, None);
        for rule in self.lock().values().filter(|r| r.from.contains(from) && r.to.contains(to)) {
            match rule.effect {
                Effect::Cut => cut = true,
                Effect::Delay(by) => delay += by,
                Effect::Slow(rate) => slow = Some(slow.map_or(rate, |s: f64| s.min(rate))),
            }
        }
        (cut, delay, slow)
    }

    async fn until_not_cut(&self, from: &str, to: &str) {
        let mut changed = self.changed.subscribe();
        while self.on(from, to).0 {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

/// What passed a relay.
#[derive(Clone, Debug, PartialEq)]
pub enum Taped {
    /// A connection was asked for, by whom it is known once it has said so.
    Dialled,
    Frame {
        kind: Kind,
        bytes: usize,
        /// A list that begins: the whole.
        whole: bool,
        /// A beat: of all records of members.
        digest: Option<u64>,
        /// Rows of hints, and those of them that passed a relay for the first time.
        rows: usize,
        new: usize,
        /// When its last byte came to the relay: what lay there while a cut lasted had been sent by then.
        came: Time,
        /// A question: what for. An answer: for what.
        functions: Vec<u64>,
        /// Of its rows of the directory, by how much the one looked younger that did most so, beside when a relay saw that
        /// sight first.
        younger: Time,
    },
    Ended,
}

/// When, from whom, to whom, what.
pub type Passed = (Time, Arc<str>, Arc<str>, Taped);

/// All that passed, by the record's clock.
#[derive(Clone, Default)]
pub struct Tape(Arc<Mutex<Vec<Passed>>>);

impl Tape {
    fn add(&self, at: Time, from: &Arc<str>, to: &Arc<str>, what: Taped) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push((at, Arc::clone(from), Arc::clone(to), what));
    }

    /// Everything so far, in order of time.
    pub fn all(&self) -> Vec<Passed> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_by_key(|t| t.0);
        all
    }
}

/// Which lists a scheduler was told by peers, so that what it knew of a drain is known to the checker.
#[derive(Clone, Default)]
struct Lists(Arc<Mutex<BTreeMap<String, (u64, u64)>>>);

/// A list that is passing on one connection.
#[derive(Default)]
struct Passing {
    version: Option<(u64, u64)>,
    rows: Vec<(String, curlewpoint::types::Lifecycle)>,
}

impl Lists {
    /// A frame has been handed to `to`; at the end of a list that is newer than all it was told before, it knows.
    fn pass(&self, record: &Transcript, to: &str, passing: &mut Passing, f: &Frame) {
        match f.kind {
            Kind::LIST_BEGIN => {
                let version = f.get_int(Field::EPOCH).ok().zip(f.get_int(Field::LIST_VERSION).ok());
                *passing = Passing { version, rows: Vec::new() };
            }
            Kind::LIST_ENTRY => {
                let standing = match f.get_int(Field::LIFECYCLE) {
                    Ok(1) => curlewpoint::types::Lifecycle::Draining,
                    Ok(2) => curlewpoint::types::Lifecycle::Gone,
                    _ => curlewpoint::types::Lifecycle::Ready,
                };
                if let Ok(worker) = f.get_text(Field::WORKER) {
                    passing.rows.push((worker.to_owned(), standing));
                }
            }
            Kind::LIST_ENTRIES => {
                let rows = read_entries(Time(0), f).unwrap_or_default();
                passing.rows.extend(rows.into_iter().map(|(worker, entry)| (worker, entry.lifecycle)));
            }
            Kind::LIST_END => {
                let Passing { version: Some(version), rows } = std::mem::take(passing) else { return };
                let mut told = self.0.lock().unwrap_or_else(PoisonError::into_inner);
                if told.get(to).is_some_and(|held| version <= *held) {
                    return;
                }
                told.insert(to.to_owned(), version);
                for (worker, standing) in rows {
                    record.add(TranscriptEvent::ListEntrySent {
                        scheduler: to.to_owned(),
                        worker,
                        lifecycle: standing,
                    });
                }
            }
            _ => {}
        }
    }
}

/// What any relay saw of sights.
#[derive(Default)]
struct Known {
    /// The last number of a hint of each run: whoever sees something counts up.
    last: BTreeMap<u64, u64>,
    /// When each sight was made, as the first frame of the directory told that brought it: worker, function, run, number.
    made: BTreeMap<[u64; 4], Time>,
}

#[derive(Clone, Default)]
struct Sights(Arc<Mutex<Known>>);

/// Numbers that a row of hints takes, and where in it worker, function, age, the run and its number stand.
const HINT: usize = 7;
const HINT_WORKER: usize = 0;
const HINT_FUNCTION: usize = 1;
const HINT_AGE: usize = 4;
const HINT_RUN: usize = 5;
const HINT_NO: usize = 6;

impl Sights {
    /// Rows of this frame, and those that no relay has seen before.
    fn pass(&self, f: &Frame) -> (usize, usize) {
        if ![Kind::HINTS, Kind::OBSERVATIONS].contains(&f.kind) {
            return (0, 0);
        }
        let rows = f.get_ints(Field::ROWS).unwrap_or_default();
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut new = 0_u64;
        for row in rows.chunks_exact(HINT) {
            let last = known.last.entry(row[HINT_RUN]).or_default();
            // Each is told on several ways at once, so one may come before those before it: they count with it.
            new = row[HINT_NO].saturating_sub(*last).saturating_add(new);
            *last = row[HINT_NO].max(*last);
        }
        (rows.len() / HINT, new as usize)
    }

    /// By how much rows of the directory that came then look younger than they are, at most.
    fn younger(&self, came: Time, f: &Frame) -> Time {
        let mut most = Time(0);
        if [Kind::DIRECTORY_UPDATE, Kind::OBSERVATIONS].contains(&f.kind) {
            let rows = f.get_ints(Field::ROWS).unwrap_or_default();
            let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            for row in rows.chunks_exact(HINT) {
                let made = came - Time(row[HINT_AGE]);
                let key = [HINT_WORKER, HINT_FUNCTION, HINT_RUN, HINT_NO].map(|no| row[no]);
                most = most.max(made - *known.made.entry(key).or_insert(made));
            }
        }
        most
    }
}

/// What all relays of a rig share.
#[derive(Clone)]
pub struct Shared {
    pub rules: Rules,
    pub tape: Tape,
    pub record: Transcript,
    lists: Lists,
    sights: Sights,
}

impl Shared {
    pub fn new(rules: Rules, record: Transcript) -> Shared {
        let (tape, lists, sights) = Default::default();
        Shared { rules, tape, record, lists, sights }
    }
}

/// Stands before one party: whoever wants it comes here, says who it is, and is joined to it.
pub struct Relay {
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    _tasks: JoinSet<()>,
}

const HELLO: Duration = Duration::from_secs(5);
const MOST: usize = 64 << 20;
/// Bytes read at a time, and such parts that may wait on one way.
const PART: usize = 16 << 10;
const PARTS: usize = 256;

impl Relay {
    /// `party` is who stands behind; where it is may be told later, and anew.
    ///
    /// `takes`: connections that the party takes in a second; those beyond wait their turn.
    pub async fn start(
        party: &str, target: Option<SocketAddr>, takes: Option<f64>, shared: &Shared,
    ) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (target, at) = watch::channel(target);
        let mut tasks = JoinSet::new();
        let (party, shared): (Arc<str>, _) = (party.into(), shared.clone());
        tasks.spawn(async move {
            let (mut joined, mut turn) = (JoinSet::new(), Instant::now());
            while let Ok((stream, _)) = listener.accept().await {
                let target = *at.borrow();
                turn = turn.max(Instant::now());
                joined.spawn(join(stream, target, Arc::clone(&party), shared.clone(), turn));
                turn += takes.map_or(Duration::ZERO, |takes| Duration::from_secs_f64(1.0 / takes));
                while joined.try_join_next().is_some() {}
            }
        });
        Ok(Relay { address, target, _tasks: tasks })
    }

    pub fn at(&self, target: Option<SocketAddr>) {
        self.target.send_replace(target);
    }
}

/// Reads until whoever dialled has said who it is.
async fn who(stream: &mut TcpStream, seen: &mut BytesMut) -> Option<String> {
    loop {
        let mut look = seen.clone();
        match (Codec { max_frame_bytes: MOST }).decode(&mut look) {
            Ok(Some(hello)) => return Some(hello.get_text(Field::INSTANCE).unwrap_or("?").to_owned()),
            Ok(None) => {}
            Err(_) => return Some("?".to_owned()),
        }
        stream.read_buf(seen).await.ok().filter(|n| *n > 0)?;
    }
}

async fn join(
    mut stream: TcpStream, target: Option<SocketAddr>, party: Arc<str>, shared: Shared, turn: Instant,
) {
    let now = shared.record.now();
    let mut seen = BytesMut::new();
    let Ok(Some(name)) = timeout(HELLO, who(&mut stream, &mut seen)).await else { return };
    let name: Arc<str> = name.into();
    shared.tape.add(now, &name, &party, Taped::Dialled);
    sleep_until(turn).await;
    // A connection into a cut is up for the system, and says nothing.
    shared.rules.until_not_cut(&name, &party).await;
    let Some(target) = target else { return };
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (stream.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = far.into_split();
    let mut resets = shared.rules.resets.subscribe();
    let reset = async {
        let pair = (name.to_string(), party.to_string());
        while resets.changed().await.is_ok() {
            if resets.borrow().1.contains(&pair) {
                return;
            }
        }
        std::future::pending().await
    };
    let there = way(near_read, far_write, seen.split().freeze(), &name, &party, &shared);
    let back = way(far_read, near_write, Bytes::new(), &party, &name, &shared);
    tokio::select! {
        // Each way ends on its own: one may be closed while the other goes on.
        _ = async { tokio::join!(there, back) } => {}
        () = reset => {}
    }
    shared.tape.add(shared.record.now(), &name, &party, Taped::Ended);
}

/// One way of a connection.
async fn way(
    mut read: OwnedReadHalf, mut write: OwnedWriteHalf, first: Bytes, from: &Arc<str>, to: &Arc<str>,
    shared: &Shared,
) {
    let (parts, mut waiting) = mpsc::channel::<(Instant, Bytes)>(PARTS);
    let reading = async move {
        if !first.is_empty() && parts.send((Instant::now(), first)).await.is_err() {
            return;
        }
        let mut part = BytesMut::with_capacity(PART);
        while let Ok(n) = read.read_buf(&mut part).await {
            if n == 0 || parts.send((Instant::now(), part.split().freeze())).await.is_err() {
                return;
            }
            part.reserve(PART);
        }
    };
    let writing = async move {
        let (mut codec, mut copy, mut passing) =
            (Codec { max_frame_bytes: MOST }, BytesMut::new(), Passing::default());
        while let Some((came, mut part)) = waiting.recv().await {
            let (cut, delay, slow) = shared.rules.on(from, to);
            if cut {
                shared.rules.until_not_cut(from, to).await;
            }
            if delay > Duration::ZERO {
                sleep_until(came + delay).await;
            }
            if let Some(rate) = slow {
                sleep(Duration::from_secs_f64(part.len() as f64 / rate.max(1.0))).await;
            }
            copy.extend_from_slice(&part);
            while part.has_remaining() {
                if write.write_buf(&mut part).await.is_err() {
                    return;
                }
            }
            while let Ok(Some(frame)) = codec.decode(&mut copy) {
                let bytes = frame.header().len() + frame.body.len() + curlewpoint_wire::PREFIX_BYTES;
                let whole = frame.kind == Kind::LIST_BEGIN && !frame.has(Field::BASE_VERSION);
                let digest = frame.get_int(Field::DIGEST).ok().filter(|_| frame.kind == Kind::HEARTBEAT);
                let (rows, new) = shared.sights.pass(&frame);
                let came = shared.record.now() - Time((came.elapsed().as_micros() / 100) as u64);
                let asks = [Kind::DIRECTORY_QUERY, Kind::DIRECTORY_UPDATE].contains(&frame.kind)
                    && frame.has(Field::FUNCTIONS);
                let functions =
                    if asks { frame.get_ints(Field::FUNCTIONS).unwrap_or_default() } else { Vec::new() };
                let younger = shared.sights.younger(came, &frame);
                let kind = frame.kind;
                let taped = Taped::Frame { kind, bytes, whole, digest, rows, new, came, functions, younger };
                shared.tape.add(shared.record.now(), from, to, taped);
                // What a made-up peer tells is no word of a drain.
                if from.starts_with("front-") {
                    shared.lists.pass(&shared.record, to, &mut passing, &frame);
                }
            }
        }
        let _ = write.shutdown().await;
    };
    tokio::join!(reading, writing);
}
