use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use curlewpoint::types::{CopyReport, Outcome, Time};
use curlewpoint_emulator::{CallerId, Faults, Job, WorkerDriver, WorkerModel, WorkerSpec};
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

use super::wire::{Listener, Outgoing, PeerEvent, PeerId};
use crate::transcript::{Transcript, TranscriptEvent};

/// What a method costs a worker.
#[derive(Clone, Copy, Debug)]
pub struct MethodCost {
    pub work_ms: f64,
    pub memory_mb: f64,
    pub load_ms: f64,
    pub fetch_share: f64,
    pub lanes: usize,
}

impl MethodCost {
    /// A model's own size, the same wherever it is reckoned: half to one and a half of the method's (assumed).
    fn for_model(self, model: &str) -> MethodCost {
        let size = 0.5 + (id_of(model) % 1000) as f64 / 1000.0;
        MethodCost { memory_mb: self.memory_mb * size, load_ms: self.load_ms * size, ..self }
    }
}

enum Fault {
    Set(Box<dyn FnOnce(&mut Faults) + Send>),
    Pause(Time),
    Release(String),
    Preload(String, f64),
    /// The next frame said on each connection is cut in its middle.
    Cut,
    Mute(bool),
    /// The process dies.
    Kill,
    /// It starts: empty and cold, or (at the day's begin) long since warm.
    Start {
        cold: bool,
    },
}

/// A worker on a socket.
pub struct TestWorker {
    pub name: String,
    pub address: SocketAddr,
    faults: mpsc::UnboundedSender<Fault>,
    task: JoinHandle<()>,
}

impl Drop for TestWorker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TestWorker {
    pub async fn start(
        listen: &str, name: &str, transcript: &Transcript, spec: WorkerSpec,
        method_costs: Arc<BTreeMap<String, MethodCost>>, store: SocketAddr, seed: u64,
    ) -> std::io::Result<TestWorker> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (faults, faults_rx) = mpsc::unbounded_channel();
        let worker = WorkerTask {
            name: name.to_owned(),
            address,
            first_listener: Some(listener),
            transcript: transcript.clone(),
            spec,
            method_costs,
            store,
            rng: Rand64::new(u128::from(seed)),
            cut_frames: false,
        };
        let task = tokio::spawn(worker.run(faults_rx));
        let worker = TestWorker { name: name.to_owned(), address, faults, task };
        worker.start_process(false);
        Ok(worker)
    }

    fn fault(&self, fault: Fault) {
        let _ = self.faults.send(fault);
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut Faults) + Send + 'static) {
        self.fault(Fault::Set(Box::new(change)));
    }

    pub fn pause_until(&self, until: Time) {
        self.fault(Fault::Pause(until));
    }

    pub fn release_model(&self, model: &str) {
        self.fault(Fault::Release(model.to_owned()));
    }

    pub fn preload(&self, model: &str, memory_mb: f64) {
        self.fault(Fault::Preload(model.to_owned(), memory_mb));
    }

    pub fn cut_next_frame(&self) {
        self.fault(Fault::Cut);
    }

    pub fn mute(&self, mute: bool) {
        self.fault(Fault::Mute(mute));
    }

    pub fn kill(&self) {
        self.fault(Fault::Kill);
    }

    pub fn start_process(&self, cold: bool) {
        self.fault(Fault::Start { cold });
    }
}

struct WorkerTask {
    name: String,
    address: SocketAddr,
    /// For its first life: it can be reached from its start, and nobody else takes its port meanwhile.
    first_listener: Option<TcpListener>,
    transcript: Transcript,
    spec: WorkerSpec,
    method_costs: Arc<BTreeMap<String, MethodCost>>,
    store: SocketAddr,
    rng: Rand64,
    cut_frames: bool,
}

/// One life of the process, from its start to its death.
struct Process {
    model: WorkerModel,
    _listener: Listener,
    events: mpsc::UnboundedReceiver<PeerEvent>,
    mute: watch::Sender<bool>,
    store: mpsc::UnboundedReceiver<(String, bool)>,
    driver: ProcessDriver,
}

/// What the model acts on, for one life of the process.
struct ProcessDriver {
    name: String,
    transcript: Transcript,
    peers: BTreeMap<PeerId, (String, mpsc::UnboundedSender<Outgoing>)>,
    callers: BTreeMap<CallerId, Request>,
    next: u64,
    fetches: mpsc::UnboundedSender<(String, f64)>,
    report: [f64; 3],
    cut_frames: bool,
}

struct Request {
    peer: PeerId,
    tag: u64,
    key: u64,
    body: Bytes,
}

impl ProcessDriver {
    fn send(&mut self, peer: PeerId, frame: Frame) {
        if let Some((_, outgoing)) = self.peers.get(&peer) {
            let _ = outgoing.send(if self.cut_frames {
                Outgoing::HalfFrame(frame)
            } else {
                Outgoing::Frame(frame)
            });
        }
    }
}

impl WorkerDriver for ProcessDriver {
    fn executed(&mut self, caller: CallerId) {
        if let Some(request) = self.callers.get(&caller) {
            self.transcript.add(TranscriptEvent::Executed { key: request.key, worker: self.name.clone() });
        }
    }

    fn answer(&mut self, caller: CallerId, outcome: Outcome, copy: CopyReport, held: u64) {
        let Some(request) = self.callers.remove(&caller) else { return };
        if matches!(outcome, Outcome::Full | Outcome::Miss) {
            self.transcript
                .add(TranscriptEvent::AttemptRejected { key: request.key, worker: self.name.clone() });
        }
        let f = Frame::new(Kind::ANSWER)
            .int(Field::TAG, request.tag)
            .int(Field::OUTCOME, outcome_code(outcome))
            .int(Field::COPY_STATUS, copy_code(copy))
            .int(Field::RPCS_HELD, held)
            .floats(Field::REPORT, &self.report);
        let f = if outcome == Outcome::Ok { f.body(request.body) } else { f };
        self.send(request.peer, f);
    }

    fn loaded(&mut self, caller: CallerId, outcome: Outcome, copies: u64) {
        let Some(request) = self.callers.remove(&caller) else { return };
        let f =
            Frame::new(Kind::LOADED).int(Field::TAG, request.tag).int(Field::OUTCOME, outcome_code(outcome));
        self.send(request.peer, f.int(Field::COPIES, copies));
    }

    fn fetch(&mut self, model: &str, work_ms: f64) {
        let _ = self.fetches.send((model.to_owned(), work_ms));
    }

    fn overloaded(&mut self, offered: f64, limit: f64) {
        self.transcript.add(TranscriptEvent::WorkerOverloaded { worker: self.name.clone(), offered, limit });
    }
}

impl WorkerTask {
    async fn run(mut self, mut faults: mpsc::UnboundedReceiver<Fault>) {
        let mut process: Option<Process> = None;
        let mut faults_set = Faults::default();
        loop {
            let now = self.transcript.now();
            let Some(process_state) = &mut process else {
                match faults.recv().await {
                    Some(Fault::Start { cold }) => process = self.start(cold, faults_set).await,
                    Some(Fault::Set(change)) => change(&mut faults_set),
                    Some(_) => {}
                    None => return,
                }
                continue;
            };
            process_state.model.advance(now, &mut process_state.driver);
            process_state.driver.report = process_state.model.report();
            let next = process_state.model.next(now).unwrap_or(now + Time(10_000));
            tokio::select! {
                fault = faults.recv() => match fault {
                    None => return,
                    Some(Fault::Kill) => process = None,
                    Some(Fault::Start { .. }) => {}
                    Some(Fault::Set(change)) => {
                        change(&mut faults_set);
                        process_state.model.set_faults(self.transcript.now(), faults_set);
                    }
                    Some(Fault::Pause(until)) => process_state.model.pause(self.transcript.now(), until),
                    Some(Fault::Release(model)) => process_state.model.model_released(&model),
                    Some(Fault::Preload(model, memory_mb)) => process_state.model.preload(self.transcript.now(), &model, memory_mb),
                    Some(Fault::Cut) => self.cut_frames = true,
                    Some(Fault::Mute(mute)) => {
                        let _ = process_state.mute.send(mute);
                    }
                },
                Some(event) = process_state.events.recv() => {
                    process_state.driver.cut_frames = self.cut_frames;
                    self.handle_event(process_state, event);
                    if self.cut_frames && process_state.driver.peers.is_empty() {
                        self.cut_frames = false;
                    }
                }
                Some((model, ok)) = process_state.store.recv() => {
                    process_state.model.fetched(self.transcript.now(), &mut process_state.driver, &model, ok);
                }
                () = sleep_until(self.transcript.instant(next).into()) => {}
            }
        }
    }

    async fn start(&mut self, cold: bool, faults: Faults) -> Option<Process> {
        let mut listener = self.first_listener.take();
        while listener.is_none() {
            listener = TcpListener::bind(self.address).await.ok();
            if listener.is_none() {
                // The sockets of the life before may take a moment to close.
                sleep(Duration::from_millis(5)).await;
            }
        }
        let listener = listener?;
        let now = self.transcript.now();
        if cold {
            self.transcript.add_at(now, TranscriptEvent::WorkerStarted { worker: self.name.clone() });
        }
        let (event_tx, events) = mpsc::unbounded_channel();
        let (mute, muted) = watch::channel(false);
        let _listener = Listener::open(listener, self.name.clone(), event_tx, muted);
        let (fetches, fetches_rx) = mpsc::unbounded_channel();
        let (answers, store) = mpsc::unbounded_channel();
        tokio::spawn(run_fetches(self.store, self.name.clone(), fetches_rx, answers));
        let mut model = WorkerModel::new(self.spec, u128::from(self.rng.rand_u64()), cold.then_some(now));
        model.set_faults(now, faults);
        let (name, transcript) = (self.name.clone(), self.transcript.clone());
        let (peers, callers) = Default::default();
        let driver = ProcessDriver {
            name,
            transcript,
            peers,
            callers,
            next: 0,
            fetches,
            report: [0.0; 3],
            cut_frames: false,
        };
        Some(Process { model, _listener, events, mute, store, driver })
    }

    fn handle_event(&mut self, process: &mut Process, event: PeerEvent) {
        let now = self.transcript.now();
        let (id, f) = match event {
            PeerEvent::Connected(id, name, outgoing) => {
                process.driver.peers.insert(id, (name, outgoing));
                return;
            }
            PeerEvent::Disconnected(id) => {
                process.driver.peers.remove(&id);
                return;
            }
            PeerEvent::Frame(id, f) => (id, f),
        };
        let Some((scheduler, _)) = process.driver.peers.get(&id) else { return };
        let (scheduler, worker) = (scheduler.clone(), self.name.clone());
        let model = f.get_text(Field::MODEL).unwrap_or("").to_owned();
        let tag = f.get_int(Field::TAG).unwrap_or(0);
        process.driver.next += 1;
        let caller = CallerId(process.driver.next);
        match f.kind {
            Kind::ATTEMPT => {
                let method = f.get_text(Field::METHOD).unwrap_or("").to_owned();
                let Some(cost) = self.method_costs.get(&method).map(|t| t.for_model(&model)) else { return };
                let key = rpc_key(&f.body);
                self.transcript
                    .add_at(now, TranscriptEvent::AttemptArrived { key, scheduler, worker, method });
                process.driver.callers.insert(caller, Request { peer: id, tag, key, body: f.body });
                // Work varies as an exponential does, cut at four times its mean (assumed).
                let work_ms = (-(1.0 - self.rng.rand_float()).ln()).min(4.0) * cost.work_ms;
                let MethodCost { memory_mb, load_ms, fetch_share, lanes, .. } = cost;
                let mean_ms = cost.work_ms;
                let job = Job { caller, model, work_ms, mean_ms, memory_mb, lanes, load_ms, fetch_share };
                process.model.call(now, &mut process.driver, job);
            }
            Kind::CANCEL_ATTEMPT => {
                let request = process.driver.callers.iter().find(|(_, a)| a.peer == id && a.tag == tag);
                if let Some((&caller, _)) = request {
                    process.model.cancel(caller);
                }
            }
            Kind::LOAD => {
                self.transcript.add_at(now, TranscriptEvent::LoadOrdered { scheduler, worker });
                process.driver.callers.insert(caller, Request { peer: id, tag, key: 0, body: Bytes::new() });
                if let Some(cost) = self.method_costs.values().next().map(|t| t.for_model(&model)) {
                    process.model.set_load_cost(&model, cost.memory_mb, cost.load_ms, cost.fetch_share);
                }
                let copies = f.get_int(Field::COPIES).unwrap_or(1) as usize;
                process.model.order(now, &mut process.driver, caller, &model, copies);
            }
            Kind::UNLOAD => process.model.unload(&model),
            Kind::PROBE => {
                let report = Frame::new(Kind::REPORT).int(Field::TAG, tag);
                let report = report.floats(Field::REPORT, &process.model.report());
                process.driver.send(id, report);
            }
            _ => {}
        }
    }
}

/// The client's own number of an RPC: the first eight bytes of its body. Nothing of the scheduler's is needed to know
/// it again at a worker.
pub fn rpc_key(body: &[u8]) -> u64 {
    body.get(..8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
}

/// Fetches models from the store over one connection, dialled anew when it breaks.
async fn run_fetches(
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
            send_fetch(&link, &mut waiting, next, first);
            continue;
        }
        let Some(up) = &mut link else { continue };
        tokio::select! {
            want = wanted.recv() => {
                let Some(want) = want else { return };
                next += 1;
                send_fetch(&link, &mut waiting, next, want);
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

fn send_fetch(
    link: &Option<Link>, waiting: &mut BTreeMap<u64, String>, tag: u64, (model, work_ms): (String, f64),
) {
    let frame = Frame::new(Kind::FETCH).int(Field::TAG, tag).text(Field::MODEL, &model);
    waiting.insert(tag, model);
    if let Some(up) = link {
        let _ = up.outbox.send(frame.int(Field::WORK_TIME, Time::from_ms(work_ms).0), None);
    }
}
