use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use curlewpoint::types::{CopyReport, Outcome, Time};
use curlewpoint_emulator::{Caller, Faults, Job, Neighbours, WorkerModel, WorkerSpec};
use curlewpoint_engine::id_of;
use curlewpoint_gateway::{copy_code, outcome_code};
use curlewpoint_link::{handshake, Link, LinkLimits};
use curlewpoint_wire::{Field, Frame, Kind};
use oorandom::Rand64;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until};
use tokio_stream::StreamExt;

use super::wire::{Door, Heard, PeerId, Say};
use crate::record::{Record, Seen};

/// What a method costs a worker.
#[derive(Clone, Copy, Debug)]
pub struct Trade {
    pub work_ms: f64,
    pub memory_mb: f64,
    pub load_ms: f64,
    pub fetch_share: f64,
    pub lanes: usize,
}

impl Trade {
    /// A model's own size, the same wherever it is reckoned: half to one and a half of the method's (assumed).
    fn of_model(self, model: &str) -> Trade {
        let size = 0.5 + (id_of(model) % 1000) as f64 / 1000.0;
        Trade { memory_mb: self.memory_mb * size, load_ms: self.load_ms * size, ..self }
    }
}

enum Fault {
    Set(Box<dyn FnOnce(&mut Faults) + Send>),
    Pause(Time),
    Release(String),
    Holds(String, f64),
    /// The next frame said on each connection is cut in its middle.
    Cut,
    Mute(bool),
    /// The process dies.
    Die,
    /// It starts: empty and cold, or (at the day's begin) long since warm.
    Start {
        cold: bool,
    },
}

/// A worker on a socket.
pub struct WorkerStand {
    pub name: String,
    pub address: SocketAddr,
    faults: mpsc::UnboundedSender<Fault>,
    task: JoinHandle<()>,
}

impl Drop for WorkerStand {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl WorkerStand {
    pub async fn start(
        listen: &str, name: &str, record: &Record, spec: WorkerSpec, trades: Arc<BTreeMap<String, Trade>>,
        store: SocketAddr, seed: u64,
    ) -> std::io::Result<WorkerStand> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (faults, given) = mpsc::unbounded_channel();
        let stand = Stand {
            name: name.to_owned(),
            address,
            first: Some(listener),
            record: record.clone(),
            spec,
            trades,
            store,
            rng: Rand64::new(u128::from(seed)),
            cuts: false,
        };
        let task = tokio::spawn(stand.live(given));
        let stand = WorkerStand { name: name.to_owned(), address, faults, task };
        stand.begin(false);
        Ok(stand)
    }

    fn fault(&self, fault: Fault) {
        let _ = self.faults.send(fault);
    }

    pub fn set(&self, change: impl FnOnce(&mut Faults) + Send + 'static) {
        self.fault(Fault::Set(Box::new(change)));
    }

    pub fn pause_until(&self, until: Time) {
        self.fault(Fault::Pause(until));
    }

    pub fn release(&self, model: &str) {
        self.fault(Fault::Release(model.to_owned()));
    }

    pub fn holds(&self, model: &str, memory_mb: f64) {
        self.fault(Fault::Holds(model.to_owned(), memory_mb));
    }

    pub fn cut(&self) {
        self.fault(Fault::Cut);
    }

    pub fn mute(&self, mute: bool) {
        self.fault(Fault::Mute(mute));
    }

    pub fn die(&self) {
        self.fault(Fault::Die);
    }

    pub fn begin(&self, cold: bool) {
        self.fault(Fault::Start { cold });
    }
}

struct Stand {
    name: String,
    address: SocketAddr,
    /// For its first life: it can be reached from its start, and nobody else takes its port meanwhile.
    first: Option<TcpListener>,
    record: Record,
    spec: WorkerSpec,
    trades: Arc<BTreeMap<String, Trade>>,
    store: SocketAddr,
    rng: Rand64,
    cuts: bool,
}

/// One life of the process, from its start to its death.
struct Life {
    model: WorkerModel,
    _door: Door,
    hear: mpsc::UnboundedReceiver<Heard>,
    mute: watch::Sender<bool>,
    store: mpsc::UnboundedReceiver<(String, bool)>,
    sides: Sides,
}

/// What the model acts on, for one life.
struct Sides {
    name: String,
    record: Record,
    peers: BTreeMap<PeerId, (String, mpsc::UnboundedSender<Say>)>,
    callers: BTreeMap<Caller, Asked>,
    next: u64,
    fetches: mpsc::UnboundedSender<(String, f64)>,
    report: [f64; 3],
    cuts: bool,
}

struct Asked {
    peer: PeerId,
    tag: u64,
    key: u64,
    body: Bytes,
}

impl Sides {
    fn say(&mut self, peer: PeerId, frame: Frame) {
        if let Some((_, say)) = self.peers.get(&peer) {
            let _ = say.send(if self.cuts { Say::Half(frame) } else { Say::Frame(frame) });
        }
    }
}

impl Neighbours for Sides {
    fn ran(&mut self, caller: Caller) {
        if let Some(asked) = self.callers.get(&caller) {
            self.record.add(Seen::Ran { key: asked.key, worker: self.name.clone() });
        }
    }

    fn answer(&mut self, caller: Caller, outcome: Outcome, copy: CopyReport, held: u64) {
        let Some(asked) = self.callers.remove(&caller) else { return };
        if matches!(outcome, Outcome::Full | Outcome::Miss) {
            self.record.add(Seen::TurnedAway { key: asked.key, worker: self.name.clone() });
        }
        let f = Frame::new(Kind::ANSWER)
            .int(Field::TAG, asked.tag)
            .int(Field::OUTCOME, outcome_code(outcome))
            .int(Field::COPY_STATUS, copy_code(copy))
            .int(Field::RPCS_HELD, held)
            .floats(Field::REPORT, &self.report);
        let f = if outcome == Outcome::Ok { f.body(asked.body) } else { f };
        self.say(asked.peer, f);
    }

    fn loaded(&mut self, caller: Caller, outcome: Outcome, copies: u64) {
        let Some(asked) = self.callers.remove(&caller) else { return };
        let f =
            Frame::new(Kind::LOADED).int(Field::TAG, asked.tag).int(Field::OUTCOME, outcome_code(outcome));
        self.say(asked.peer, f.int(Field::COPIES, copies));
    }

    fn fetch(&mut self, model: &str, work_ms: f64) {
        let _ = self.fetches.send((model.to_owned(), work_ms));
    }

    fn fell(&mut self, pushed: f64, limit: f64) {
        self.record.add(Seen::Fell { worker: self.name.clone(), pushed, limit });
    }
}

impl Stand {
    async fn live(mut self, mut faults: mpsc::UnboundedReceiver<Fault>) {
        let mut life: Option<Life> = None;
        let mut set = Faults::default();
        loop {
            let now = self.record.now();
            let Some(alive) = &mut life else {
                match faults.recv().await {
                    Some(Fault::Start { cold }) => life = self.start(cold, set).await,
                    Some(Fault::Set(change)) => change(&mut set),
                    Some(_) => {}
                    None => return,
                }
                continue;
            };
            alive.model.advance(now, &mut alive.sides);
            alive.sides.report = alive.model.report();
            let next = alive.model.next(now).unwrap_or(now + Time(10_000));
            tokio::select! {
                fault = faults.recv() => match fault {
                    None => return,
                    Some(Fault::Die) => life = None,
                    Some(Fault::Start { .. }) => {}
                    Some(Fault::Set(change)) => {
                        change(&mut set);
                        alive.model.set_faults(self.record.now(), set);
                    }
                    Some(Fault::Pause(until)) => alive.model.pause(self.record.now(), until),
                    Some(Fault::Release(model)) => alive.model.released(&model),
                    Some(Fault::Holds(model, memory_mb)) => alive.model.holds(self.record.now(), &model, memory_mb),
                    Some(Fault::Cut) => self.cuts = true,
                    Some(Fault::Mute(mute)) => {
                        let _ = alive.mute.send(mute);
                    }
                },
                Some(heard) = alive.hear.recv() => {
                    alive.sides.cuts = self.cuts;
                    self.heard(alive, heard);
                    if self.cuts && alive.sides.peers.is_empty() {
                        self.cuts = false;
                    }
                }
                Some((model, ok)) = alive.store.recv() => {
                    alive.model.fetched(self.record.now(), &mut alive.sides, &model, ok);
                }
                () = sleep_until(self.record.instant(next).into()) => {}
            }
        }
    }

    async fn start(&mut self, cold: bool, faults: Faults) -> Option<Life> {
        let mut bound = self.first.take();
        while bound.is_none() {
            bound = TcpListener::bind(self.address).await.ok();
            if bound.is_none() {
                // The sockets of the life before may take a moment to close.
                sleep(Duration::from_millis(5)).await;
            }
        }
        let listener = bound?;
        let now = self.record.now();
        if cold {
            self.record.add_at(now, Seen::Started { worker: self.name.clone() });
        }
        let (heard, hear) = mpsc::unbounded_channel();
        let (mute, muted) = watch::channel(false);
        let _door = Door::open(listener, self.name.clone(), heard, muted);
        let (fetches, to_fetch) = mpsc::unbounded_channel();
        let (answers, store) = mpsc::unbounded_channel();
        tokio::spawn(fetch(self.store, self.name.clone(), to_fetch, answers));
        let mut model = WorkerModel::new(self.spec, u128::from(self.rng.rand_u64()), cold.then_some(now));
        model.set_faults(now, faults);
        let (name, record) = (self.name.clone(), self.record.clone());
        let (peers, callers) = Default::default();
        let sides = Sides { name, record, peers, callers, next: 0, fetches, report: [0.0; 3], cuts: false };
        Some(Life { model, _door, hear, mute, store, sides })
    }

    fn heard(&mut self, life: &mut Life, heard: Heard) {
        let now = self.record.now();
        let (id, f) = match heard {
            Heard::Hello(id, name, say) => {
                life.sides.peers.insert(id, (name, say));
                return;
            }
            Heard::Gone(id) => {
                life.sides.peers.remove(&id);
                return;
            }
            Heard::Frame(id, f) => (id, f),
        };
        let Some((scheduler, _)) = life.sides.peers.get(&id) else { return };
        let (scheduler, worker) = (scheduler.clone(), self.name.clone());
        let model = f.get_text(Field::MODEL).unwrap_or("").to_owned();
        let tag = f.get_int(Field::TAG).unwrap_or(0);
        life.sides.next += 1;
        let caller = Caller(life.sides.next);
        match f.kind {
            Kind::ATTEMPT => {
                let method = f.get_text(Field::METHOD).unwrap_or("").to_owned();
                let Some(trade) = self.trades.get(&method).map(|t| t.of_model(&model)) else { return };
                let key = key_of(&f.body);
                self.record.add_at(now, Seen::Arrived { key, scheduler, worker, method });
                life.sides.callers.insert(caller, Asked { peer: id, tag, key, body: f.body });
                // Work varies as an exponential does, cut at four times its mean (assumed).
                let work_ms = (-(1.0 - self.rng.rand_float()).ln()).min(4.0) * trade.work_ms;
                let Trade { memory_mb, load_ms, fetch_share, lanes, .. } = trade;
                let mean_ms = trade.work_ms;
                let job = Job { caller, model, work_ms, mean_ms, memory_mb, lanes, load_ms, fetch_share };
                life.model.call(now, &mut life.sides, job);
            }
            Kind::CANCEL_ATTEMPT => {
                let of = life.sides.callers.iter().find(|(_, a)| a.peer == id && a.tag == tag);
                if let Some((&caller, _)) = of {
                    life.model.withdrawn(caller);
                }
            }
            Kind::LOAD => {
                self.record.add_at(now, Seen::Ordered { scheduler, worker });
                life.sides.callers.insert(caller, Asked { peer: id, tag, key: 0, body: Bytes::new() });
                if let Some(trade) = self.trades.values().next().map(|t| t.of_model(&model)) {
                    life.model.knows(&model, trade.memory_mb, trade.load_ms, trade.fetch_share);
                }
                let copies = f.get_int(Field::COPIES).unwrap_or(1) as usize;
                life.model.order(now, &mut life.sides, caller, &model, copies);
            }
            Kind::UNLOAD => life.model.unload(&model),
            Kind::PROBE => {
                let report = Frame::new(Kind::REPORT).int(Field::TAG, tag);
                let report = report.floats(Field::REPORT, &life.model.report());
                life.sides.say(id, report);
            }
            _ => {}
        }
    }
}

/// The client's own number of an RPC: the first eight bytes of its body. Nothing of the scheduler's is needed to know
/// it again at a worker.
pub fn key_of(body: &[u8]) -> u64 {
    body.get(..8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
}

/// Fetches models from the store over one connection, dialled anew when it breaks.
async fn fetch(
    store: SocketAddr, name: String, mut wanted: mpsc::UnboundedReceiver<(String, f64)>,
    answers: mpsc::UnboundedSender<(String, bool)>,
) {
    let mut waiting: BTreeMap<u64, String> = BTreeMap::new();
    let mut next = 0;
    let mut link: Option<Link> = None;
    loop {
        if link.is_none() {
            // Whatever was under way has failed with the connection.
            for (_, model) in std::mem::take(&mut waiting) {
                let _ = answers.send((model, false));
            }
            let Some(first) = wanted.recv().await else { return };
            if let Ok(stream) = TcpStream::connect(store).await {
                link = handshake(stream, &name, LinkLimits::default()).await.ok();
            }
            next += 1;
            ask(&link, &mut waiting, next, first);
            continue;
        }
        let Some(up) = &mut link else { continue };
        tokio::select! {
            want = wanted.recv() => {
                let Some(want) = want else { return };
                next += 1;
                ask(&link, &mut waiting, next, want);
            }
            frame = up.reader.next() => match frame {
                Some(Ok(f)) if f.kind == Kind::FETCHED => {
                    let ok = f.get_int(Field::OUTCOME).is_ok_and(|o| o == outcome_code(Outcome::Ok));
                    if let Some(model) = f.get_int(Field::TAG).ok().and_then(|t| waiting.remove(&t)) {
                        let _ = answers.send((model, ok));
                    }
                }
                Some(Ok(_)) => {}
                _ => link = None,
            },
        }
    }
}

fn ask(link: &Option<Link>, waiting: &mut BTreeMap<u64, String>, tag: u64, (model, work_ms): (String, f64)) {
    let frame = Frame::new(Kind::FETCH).int(Field::TAG, tag).text(Field::MODEL, &model);
    waiting.insert(tag, model);
    if let Some(up) = link {
        let _ = up.outbox.send(frame.int(Field::WORK_TIME, Time::from_ms(work_ms).0), None);
    }
}
