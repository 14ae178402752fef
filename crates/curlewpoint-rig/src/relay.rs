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

/// A fault that a relay applies to the bytes from one party to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Bytes are held until the cut ends; new connections are accepted but carry nothing.
    Cut,
    Delay(Duration),
    /// Bytes per second.
    Slow(f64),
}

struct FaultRule {
    from: BTreeSet<String>,
    to: BTreeSet<String>,
    effect: Effect,
}

/// The effects that apply between pairs of parties, shared by every relay of a rig.
#[derive(Clone)]
pub struct Rules {
    rules: Arc<Mutex<BTreeMap<u64, FaultRule>>>,
    /// Incremented with every change of the rules.
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
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, FaultRule>> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an effect to the bytes from any party in `from` to any in `to` until rule `id` is removed.
    pub fn set(&self, id: u64, from: BTreeSet<String>, to: BTreeSet<String>, effect: Effect) {
        self.lock().insert(id, FaultRule { from, to, effect });
        self.changed.send_modify(|n| *n += 1);
    }

    pub fn remove(&self, id: u64) {
        self.lock().remove(&id);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Closes all connections between any party in `a` and any in `b`, whichever opened them.
    pub fn reset(&self, a: &BTreeSet<String>, b: &BTreeSet<String>) {
        let pairs = a
            .iter()
            .flat_map(|a| b.iter().flat_map(move |b| [(a.clone(), b.clone()), (b.clone(), a.clone())]));
        let pairs: BTreeSet<_> = pairs.collect();
        self.resets.send_modify(|(n, of)| (*n, *of) = (*n + 1, pairs));
    }

    fn effects(&self, from: &str, to: &str) -> (bool, Duration, Option<f64>) {
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

    async fn wait_until_not_cut(&self, from: &str, to: &str) {
        let mut changed = self.changed.subscribe();
        while self.effects(from, to).0 {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

/// An event that a relay recorded.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    /// A connection was opened. Recorded once its HELLO has named the peer that opened it.
    Dialled,
    Frame {
        kind: Kind,
        bytes: usize,
        /// The frame begins a full endpoint list rather than a change to one.
        full_list: bool,
        /// Heartbeats only: the sender's digest of all member records.
        member_digest: Option<u64>,
        /// Rows of hints or observations, and how many of them no relay had seen before.
        rows: usize,
        new_observations: usize,
        /// When the frame's last byte reached the relay. A frame held back by a cut had been sent by then.
        received_at: Time,
        /// The functions that a directory query asks for or that a directory update answers.
        functions: Vec<u64>,
        /// The largest understatement of age among its rows of the copy directory, relative to the time of the observation as the
        /// first frame that carried it stated it.
        age_error: Time,
    },
    Ended,
}

/// Time, sender, receiver and event.
pub type RecordedEvent = (Time, Arc<str>, Arc<str>, RelayEvent);

/// Everything that passed the relays, timed by the record's clock.
#[derive(Clone, Default)]
pub struct RelayLog(Arc<Mutex<Vec<RecordedEvent>>>);

impl RelayLog {
    fn add(&self, at: Time, from: &Arc<str>, to: &Arc<str>, event: RelayEvent) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push((at, Arc::clone(from), Arc::clone(to), event));
    }

    /// Everything recorded so far, in order of time.
    pub fn all(&self) -> Vec<RecordedEvent> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_by_key(|t| t.0);
        all
    }
}

/// The newest list version delivered to each scheduler. The checker needs to know when a scheduler learned of a drain.
#[derive(Clone, Default)]
struct DeliveredLists(Arc<Mutex<BTreeMap<String, (u64, u64)>>>);

/// The part received so far of a list on one connection.
#[derive(Default)]
struct PartialList {
    version: Option<(u64, u64)>,
    rows: Vec<(String, curlewpoint::types::Lifecycle)>,
}

impl DeliveredLists {
    /// Follows a frame forwarded to `to`. At the end of a list newer than any delivered before, records its rows as received.
    fn follow(&self, record: &Transcript, to: &str, partial: &mut PartialList, f: &Frame) {
        match f.kind {
            Kind::LIST_BEGIN => {
                let version = f.get_int(Field::EPOCH).ok().zip(f.get_int(Field::LIST_VERSION).ok());
                *partial = PartialList { version, rows: Vec::new() };
            }
            Kind::LIST_ENTRY => {
                let lifecycle = match f.get_int(Field::LIFECYCLE) {
                    Ok(1) => curlewpoint::types::Lifecycle::Draining,
                    Ok(2) => curlewpoint::types::Lifecycle::Gone,
                    _ => curlewpoint::types::Lifecycle::Ready,
                };
                if let Ok(worker) = f.get_text(Field::WORKER) {
                    partial.rows.push((worker.to_owned(), lifecycle));
                }
            }
            Kind::LIST_ENTRIES => {
                let rows = read_entries(Time(0), f).unwrap_or_default();
                partial.rows.extend(rows.into_iter().map(|(worker, entry)| (worker, entry.lifecycle)));
            }
            Kind::LIST_END => {
                let PartialList { version: Some(version), rows } = std::mem::take(partial) else { return };
                let mut delivered = self.0.lock().unwrap_or_else(PoisonError::into_inner);
                if delivered.get(to).is_some_and(|held| version <= *held) {
                    return;
                }
                delivered.insert(to.to_owned(), version);
                for (worker, lifecycle) in rows {
                    record.add(TranscriptEvent::ListEntrySent {
                        scheduler: to.to_owned(),
                        worker,
                        lifecycle,
                    });
                }
            }
            _ => {}
        }
    }
}

/// The observations of copies that any relay has seen.
#[derive(Default)]
struct SeenObservations {
    /// The highest observation number of each run; an instance numbers its observations in sequence.
    last_number: BTreeMap<u64, u64>,
    /// When each observation was made, as stated by the first directory frame that carried it, by worker, function, run and
    /// number.
    made_at: BTreeMap<[u64; 4], Time>,
}

#[derive(Clone, Default)]
struct ObservationTracker(Arc<Mutex<SeenObservations>>);

/// Integers in a row of hints, and the positions of its worker, function, age, run and observation number.
const HINT_ROW_INTS: usize = 7;
const HINT_WORKER_INDEX: usize = 0;
const HINT_FUNCTION_INDEX: usize = 1;
const HINT_AGE_INDEX: usize = 4;
const HINT_RUN_INDEX: usize = 5;
const HINT_NUMBER_INDEX: usize = 6;

impl ObservationTracker {
    /// Counts the rows of a frame, and those that no relay has seen before.
    fn count_rows(&self, f: &Frame) -> (usize, usize) {
        if ![Kind::HINTS, Kind::OBSERVATIONS].contains(&f.kind) {
            return (0, 0);
        }
        let rows = f.get_ints(Field::ROWS).unwrap_or_default();
        let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut new_observations = 0_u64;
        for row in rows.chunks_exact(HINT_ROW_INTS) {
            let last_number = seen.last_number.entry(row[HINT_RUN_INDEX]).or_default();
            // Observations travel over several links at once and may overtake earlier ones, which are counted here as well.
            new_observations =
                row[HINT_NUMBER_INDEX].saturating_sub(*last_number).saturating_add(new_observations);
            *last_number = row[HINT_NUMBER_INDEX].max(*last_number);
        }
        (rows.len() / HINT_ROW_INTS, new_observations as usize)
    }

    /// The largest understatement of age among the directory rows of a frame received at that time.
    fn age_error(&self, received_at: Time, f: &Frame) -> Time {
        let mut max_error = Time(0);
        if [Kind::DIRECTORY_UPDATE, Kind::OBSERVATIONS].contains(&f.kind) {
            let rows = f.get_ints(Field::ROWS).unwrap_or_default();
            let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            for row in rows.chunks_exact(HINT_ROW_INTS) {
                let made_at = received_at - Time(row[HINT_AGE_INDEX]);
                let key = [HINT_WORKER_INDEX, HINT_FUNCTION_INDEX, HINT_RUN_INDEX, HINT_NUMBER_INDEX]
                    .map(|index| row[index]);
                max_error = max_error.max(made_at - *seen.made_at.entry(key).or_insert(made_at));
            }
        }
        max_error
    }
}

/// State shared by all relays of a rig.
#[derive(Clone)]
pub struct RelayContext {
    pub rules: Rules,
    pub log: RelayLog,
    pub record: Transcript,
    delivered_lists: DeliveredLists,
    observations: ObservationTracker,
}

impl RelayContext {
    pub fn new(rules: Rules, record: Transcript) -> RelayContext {
        let (log, delivered_lists, observations) = Default::default();
        RelayContext { rules, log, record, delivered_lists, observations }
    }
}

/// A TCP relay in front of one party. It reads the peer's name from its HELLO and connects it to the party.
pub struct Relay {
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    _tasks: JoinSet<()>,
}

const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Bytes per read, and the number of reads that may be queued in one direction.
const READ_BYTES: usize = 16 << 10;
const MAX_QUEUED_READS: usize = 256;

impl Relay {
    /// Starts a relay in front of `party`, whose address may be set or changed later.
    ///
    /// `accept_rate` limits the connections per second that reach the party; further ones wait.
    pub async fn start(
        party: &str, target: Option<SocketAddr>, accept_rate: Option<f64>, context: &RelayContext,
    ) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (target, at) = watch::channel(target);
        let mut tasks = JoinSet::new();
        let (party, context): (Arc<str>, _) = (party.into(), context.clone());
        tasks.spawn(async move {
            let (mut joined, mut connect_at) = (JoinSet::new(), Instant::now());
            while let Ok((stream, _)) = listener.accept().await {
                let target = *at.borrow();
                connect_at = connect_at.max(Instant::now());
                joined.spawn(relay_connection(
                    stream,
                    target,
                    Arc::clone(&party),
                    context.clone(),
                    connect_at,
                ));
                connect_at += accept_rate
                    .map_or(Duration::ZERO, |accept_rate| Duration::from_secs_f64(1.0 / accept_rate));
                while joined.try_join_next().is_some() {}
            }
        });
        Ok(Relay { address, target, _tasks: tasks })
    }

    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.target.send_replace(target);
    }
}

/// Reads the HELLO and returns the name in it, or "?" if there is none; `None` if the connection ends first. The bytes stay in
/// `seen`.
async fn read_peer_name(stream: &mut TcpStream, seen: &mut BytesMut) -> Option<String> {
    loop {
        let mut buffer = seen.clone();
        match (Codec { max_frame_bytes: MAX_FRAME_BYTES }).decode(&mut buffer) {
            Ok(Some(hello)) => return Some(hello.get_text(Field::INSTANCE).unwrap_or("?").to_owned()),
            Ok(None) => {}
            Err(_) => return Some("?".to_owned()),
        }
        stream.read_buf(seen).await.ok().filter(|n| *n > 0)?;
    }
}

async fn relay_connection(
    mut stream: TcpStream, target: Option<SocketAddr>, party: Arc<str>, context: RelayContext,
    connect_at: Instant,
) {
    let now = context.record.now();
    let mut seen = BytesMut::new();
    let Ok(Some(name)) = timeout(HELLO_TIMEOUT, read_peer_name(&mut stream, &mut seen)).await else { return };
    let name: Arc<str> = name.into();
    context.log.add(now, &name, &party, RelayEvent::Dialled);
    sleep_until(connect_at).await;
    // During a cut the connection is established for the operating system, but carries nothing.
    context.rules.wait_until_not_cut(&name, &party).await;
    let Some(target) = target else { return };
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = stream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let mut resets = context.rules.resets.subscribe();
    let reset = async {
        let pair = (name.to_string(), party.to_string());
        while resets.changed().await.is_ok() {
            if resets.borrow().1.contains(&pair) {
                return;
            }
        }
        std::future::pending().await
    };
    let outbound =
        relay_direction(client_read, upstream_write, seen.split().freeze(), &name, &party, &context);
    let inbound = relay_direction(upstream_read, client_write, Bytes::new(), &party, &name, &context);
    tokio::select! {
        // Each direction ends on its own: one may be closed while the other continues.
        _ = async { tokio::join!(outbound, inbound) } => {}
        () = reset => {}
    }
    context.log.add(context.record.now(), &name, &party, RelayEvent::Ended);
}

/// Forwards one direction of a connection under the current rules, and records its frames.
async fn relay_direction(
    mut read: OwnedReadHalf, mut write: OwnedWriteHalf, first: Bytes, from: &Arc<str>, to: &Arc<str>,
    context: &RelayContext,
) {
    let (reads_tx, mut reads_rx) = mpsc::channel::<(Instant, Bytes)>(MAX_QUEUED_READS);
    let reading = async move {
        if !first.is_empty() && reads_tx.send((Instant::now(), first)).await.is_err() {
            return;
        }
        let mut chunk = BytesMut::with_capacity(READ_BYTES);
        while let Ok(n) = read.read_buf(&mut chunk).await {
            if n == 0 || reads_tx.send((Instant::now(), chunk.split().freeze())).await.is_err() {
                return;
            }
            chunk.reserve(READ_BYTES);
        }
    };
    let writing = async move {
        let (mut codec, mut unparsed, mut partial) =
            (Codec { max_frame_bytes: MAX_FRAME_BYTES }, BytesMut::new(), PartialList::default());
        while let Some((received_at, mut chunk)) = reads_rx.recv().await {
            let (cut, delay, slow) = context.rules.effects(from, to);
            if cut {
                context.rules.wait_until_not_cut(from, to).await;
            }
            if delay > Duration::ZERO {
                sleep_until(received_at + delay).await;
            }
            if let Some(rate) = slow {
                sleep(Duration::from_secs_f64(chunk.len() as f64 / rate.max(1.0))).await;
            }
            unparsed.extend_from_slice(&chunk);
            while chunk.has_remaining() {
                if write.write_buf(&mut chunk).await.is_err() {
                    return;
                }
            }
            while let Ok(Some(frame)) = codec.decode(&mut unparsed) {
                let bytes = frame.header().len() + frame.body.len() + curlewpoint_wire::PREFIX_BYTES;
                let full_list = frame.kind == Kind::LIST_BEGIN && !frame.has(Field::BASE_VERSION);
                let member_digest =
                    frame.get_int(Field::DIGEST).ok().filter(|_| frame.kind == Kind::HEARTBEAT);
                let (rows, new_observations) = context.observations.count_rows(&frame);
                let received_at =
                    context.record.now() - Time((received_at.elapsed().as_micros() / 100) as u64);
                let names_functions = [Kind::DIRECTORY_QUERY, Kind::DIRECTORY_UPDATE].contains(&frame.kind)
                    && frame.has(Field::FUNCTIONS);
                let functions = if names_functions {
                    frame.get_ints(Field::FUNCTIONS).unwrap_or_default()
                } else {
                    Vec::new()
                };
                let age_error = context.observations.age_error(received_at, &frame);
                let kind = frame.kind;
                let event = RelayEvent::Frame {
                    kind,
                    bytes,
                    full_list,
                    member_digest,
                    rows,
                    new_observations,
                    received_at,
                    functions,
                    age_error,
                };
                context.log.add(context.record.now(), from, to, event);
                // Lists from forged peers don't inform a scheduler of a drain.
                if from.starts_with("front-") {
                    context.delivered_lists.follow(&context.record, to, &mut partial, &frame);
                }
            }
        }
        let _ = write.shutdown().await;
    };
    tokio::join!(reading, writing);
}
