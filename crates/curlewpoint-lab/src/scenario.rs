use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_config::{milliseconds, Config};
use curlewpoint_emulator::{ListEntry, StoreSpec};
use curlewpoint_engine::EngineCounters;
use oorandom::Rand64;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use crate::http_client::HttpClient;
use crate::native_client::NativeClient;
use crate::report::render;
use crate::rules::{check_rules, RuleParameters, Verdict};
use crate::script::{EventKind, Script, ScriptEvent};
use crate::test_servers::{TestListService, TestStore, TestWorker};
use crate::transcript::{Transcript, TranscriptEvent};

/// A day that has been played.
pub struct ScenarioResult {
    pub events: Vec<(Time, TranscriptEvent)>,
    pub verdict: Verdict,
    /// What each scheduler says of itself; those killed say nothing.
    pub counters: BTreeMap<String, EngineCounters>,
    pub report: String,
}

/// Which door the day's clients come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientProtocol {
    Native,
    Http,
}

/// One client's connection.
enum Client {
    Native(NativeClient),
    Http(HttpClient),
}

impl Client {
    async fn open(
        protocol: ClientProtocol, address: &str, scheduler: &str, transcript: &Transcript,
    ) -> Option<Client> {
        match protocol {
            ClientProtocol::Native => {
                NativeClient::open(address, scheduler, transcript).await.ok().map(Client::Native)
            }
            ClientProtocol::Http => {
                HttpClient::open(address, scheduler, transcript).await.ok().map(Client::Http)
            }
        }
    }

    fn send_rpc(
        &self, key: u64, method: &str, model: &str, tenant: &str, time_left: Time, body_bytes: usize,
    ) {
        match self {
            Client::Native(client) => client.send_rpc(key, method, model, tenant, time_left, body_bytes),
            Client::Http(client) => client.send_rpc(key, method, model, tenant, time_left, body_bytes),
        }
    }

    fn is_closed(&self) -> bool {
        match self {
            Client::Native(client) => client.is_closed(),
            Client::Http(client) => client.is_closed(),
        }
    }

    async fn wait_closed(self) {
        match self {
            Client::Native(client) => client.wait_closed().await,
            Client::Http(client) => client.wait_closed().await,
        }
    }
}

/// A scheduler on a thread and a runtime of its own, as in a process of its own: it can be held still or killed.
struct Instance {
    name: String,
    address: SocketAddr,
    runtime: tokio::runtime::Handle,
    stop: mpsc::UnboundedSender<bool>,
    stopped_rx: oneshot::Receiver<EngineCounters>,
}

impl Instance {
    async fn start(config: Config, transcript: Transcript) -> std::io::Result<Instance> {
        let (stop, mut stopped) = mpsc::unbounded_channel();
        let (started_tx, started_rx) = oneshot::channel();
        let (stopped_tx, stopped_rx) = oneshot::channel();
        let name = config.text("name").to_owned();
        std::thread::Builder::new().name(name.clone()).spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            let counters = runtime.block_on(async {
                let gateway = match curlewpoint_gateway::start(&config).await {
                    Ok(gateway) => gateway,
                    Err(e) => {
                        let _ = started_tx.send(Err(std::io::Error::other(e.to_string())));
                        return None;
                    }
                };
                // Where clients come by HTTP, that is its address.
                let address = gateway.http.unwrap_or(gateway.address);
                tokio::spawn(transcript.watch_scheduler_stalls(config.text("name").to_owned()));
                let _ = started_tx.send(Ok((address, tokio::runtime::Handle::current())));
                match stopped.recv().await {
                    Some(true) => {
                        gateway.stop().await;
                        Some(gateway.wait().await)
                    }
                    // Killed: the runtime is dropped with all its tasks and sockets.
                    _ => None,
                }
            });
            runtime.shutdown_background();
            if let Some(counters) = counters {
                let _ = stopped_tx.send(counters);
            }
        })?;
        let (address, runtime) = started_rx.await.map_err(std::io::Error::other)??;
        Ok(Instance { name, address, runtime, stop, stopped_rx })
    }

    /// Gets no turn for so long.
    fn stall(&self, duration: Duration) {
        self.runtime.spawn(async move { std::thread::sleep(duration) });
    }

    async fn kill(self) {
        let _ = self.stop.send(false);
        let _ = self.stopped_rx.await;
    }

    async fn shut_down(self) -> Option<EngineCounters> {
        let _ = self.stop.send(true);
        self.stopped_rx.await.ok()
    }
}

/// What the load goes by; the script changes it.
pub struct Traffic {
    /// Of the script's rate.
    pub rate_factor: f64,
    /// Each scheduler's part of it.
    pub shares: Vec<f64>,
    /// The part of the RPCs that ask for a model asked for once.
    pub scan_share: f64,
    /// Where clients find each scheduler.
    pub addresses: Vec<SocketAddr>,
    pub finished: bool,
}

/// The load's terms, as the script changes them while clients go by them.
pub type SharedTraffic = Arc<Mutex<Traffic>>;

fn lock_traffic(shared: &SharedTraffic) -> std::sync::MutexGuard<'_, Traffic> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Fleet {
    script: Script,
    transcript: Transcript,
    config: Config,
    protocol: ClientProtocol,
    list: TestListService,
    store: TestStore,
    workers: Vec<TestWorker>,
    /// Each worker's start, counted.
    starts: Vec<u64>,
    instances: Vec<Option<Instance>>,
    traffic: SharedTraffic,
    rng: Rand64,
    /// What is to happen, by time.
    schedule: BTreeMap<(Time, u64), Action>,
    next_action: u64,
}

/// One step of something that the script does.
enum Action {
    StartEvent(ScriptEvent),
    SetLifecycle(usize, Lifecycle),
    Kill(usize),
    StartWorker(usize),
    SetFaults(usize, Box<dyn FnOnce(&mut curlewpoint_emulator::Faults) + Send>),
    Pause(usize, Time),
    Mute(usize, bool),
    Traffic(Box<dyn FnOnce(&mut Traffic) + Send>),
    SetStoreRejecting(bool),
    SetListDelay(Time),
    StartScheduler(usize),
}

/// Plays a script against real sockets, with schedulers that run this configuration and clients that come by this door.
pub async fn run_scenario(
    config: &Config, script: &Script, protocol: ClientProtocol,
) -> std::io::Result<ScenarioResult> {
    let mut fleet = Fleet::start(config, script, protocol).await?;
    let clients = fleet.start_clients();
    let mut stall_watch = JoinSet::new();
    stall_watch.spawn(fleet.transcript.clone().watch_runtime_stalls());
    for event in fleet.script.events.clone() {
        fleet.schedule(event.at, Action::StartEvent(event));
    }
    let begin = fleet.transcript.now();
    let end = begin + fleet.script.length;
    while let Some((&(at, no), _)) = fleet.schedule.first_key_value() {
        if at >= fleet.script.length {
            break;
        }
        sleep_until(fleet.transcript.instant(begin + at).into()).await;
        if let Some(action) = fleet.schedule.remove(&(at, no)) {
            fleet.perform(at, action).await?;
        }
    }
    sleep_until(fleet.transcript.instant(end).into()).await;
    fleet.finish(clients).await
}

impl Fleet {
    async fn start(config: &Config, script: &Script, protocol: ClientProtocol) -> std::io::Result<Fleet> {
        let transcript = Transcript::default();
        let spec = StoreSpec {
            parallel_fetches: script.store_parallel_fetches,
            overload_penalty: script.store_overload_penalty,
            max_fetches: script.store_max_fetches,
        };
        let any = "127.0.0.1:0";
        let store = TestStore::start(any, &transcript, spec).await?;
        let list = TestListService::start(any, &transcript, Time(0)).await?;
        let spec = script.worker_spec(config);
        let method_costs = script.method_costs();
        let mut workers = Vec::new();
        for no in 0..script.workers {
            let (name, seed) = (format!("w-{no:03}"), script.seed * 1000 + no as u64);
            workers.push(
                TestWorker::start(
                    any,
                    &name,
                    &transcript,
                    spec,
                    Arc::clone(&method_costs),
                    store.address,
                    seed,
                )
                .await?,
            );
        }
        let config = config.clone().with_value("list", &list.address.to_string());
        let config = config.with_value("instances", &script.schedulers.to_string());
        let traffic = Traffic {
            rate_factor: 1.0,
            shares: vec![1.0 / script.schedulers as f64; script.schedulers],
            scan_share: 0.0,
            addresses: Vec::new(),
            finished: false,
        };
        let mut fleet = Fleet {
            rng: Rand64::new(u128::from(script.seed)),
            starts: vec![1; workers.len()],
            script: script.clone(),
            transcript,
            config,
            protocol,
            list,
            store,
            workers,
            instances: Vec::new(),
            traffic: Arc::new(Mutex::new(traffic)),
            schedule: BTreeMap::new(),
            next_action: 0,
        };
        for no in 0..fleet.workers.len() {
            fleet.publish_entry(no, Lifecycle::Ready, None);
            // Popular models stand at two workers each when the day begins.
            for rank in 0..fleet.script.models {
                if (rank * 7 + 3) % fleet.workers.len() == no || (rank * 5 + 1) % fleet.workers.len() == no {
                    let mean = fleet.script.methods.values().map(|m| m.1.memory_mb).fold(0.0, f64::max);
                    fleet.workers[no].preload(&format!("model-{rank}"), mean);
                }
            }
        }
        fleet.list.set_delay(fleet.script.list_delay);
        for no in 0..fleet.script.schedulers {
            let instance = fleet.start_instance(no, "127.0.0.1:0").await?;
            set_address(&fleet.traffic, instance.address, no);
            fleet.instances.push(Some(instance));
        }
        Ok(fleet)
    }

    async fn start_instance(&self, no: usize, listen: &str) -> std::io::Result<Instance> {
        let config = self.config.clone().with_value("name", &format!("front-{no}"));
        let config = match self.protocol {
            ClientProtocol::Native => config.with_value("listen", listen),
            ClientProtocol::Http => config.with_value("http", listen),
        };
        let config = config.with_value("seed", &format!("{}", self.script.seed * 100 + no as u64));
        Instance::start(config, self.transcript.clone()).await
    }

    fn cell(&self, worker: usize) -> usize {
        worker * self.script.cells / self.workers.len()
    }

    fn cell_and_zone(&self, worker: usize) -> (String, String) {
        let cell = self.cell(worker);
        (format!("cell-{cell}"), format!("zone-{}", cell % self.script.zones))
    }

    fn publish_entry(&self, no: usize, lifecycle: Lifecycle, started_at: Option<Time>) {
        let w = &self.workers[no];
        let (cell, zone) = self.cell_and_zone(no);
        let (address, start_id) = (w.address.to_string(), self.starts[no]);
        self.list.set_entry(
            &w.name,
            ListEntry { address, lifecycle, start_id, started_at, zone, cell, size: 1.0 },
        );
    }

    /// Starts a client for each scheduler.
    fn start_clients(&self) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for no in 0..self.instances.len() {
            let (transcript, shared, script) =
                (self.transcript.clone(), Arc::clone(&self.traffic), self.script.clone());
            tasks.spawn(generate_load(no, self.protocol, transcript, shared, script, self.config.clone()));
        }
        tasks
    }

    fn schedule(&mut self, at: Time, action: Action) {
        self.next_action += 1;
        self.schedule.insert((at, self.next_action), action);
    }

    /// So many of `n`, drawn.
    fn choose(&mut self, n: usize, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..n).collect();
        for i in (1..n).rev() {
            all.swap(i, self.rng.rand_range(0..i as u64 + 1) as usize);
        }
        all.truncate(((n as f64 * share).round() as usize).clamp(1, n));
        all
    }

    async fn perform(&mut self, at: Time, action: Action) -> std::io::Result<()> {
        match action {
            Action::StartEvent(event) => self.start_event(at, event).await?,
            Action::SetLifecycle(no, lifecycle) => self.list.set_lifecycle(&self.workers[no].name, lifecycle),
            Action::Kill(no) => self.workers[no].kill(),
            Action::StartWorker(no) => {
                self.workers[no].start_process(true);
                self.starts[no] += 1;
                self.publish_entry(no, Lifecycle::Ready, Some(self.transcript.now()));
            }
            Action::SetFaults(no, change) => self.workers[no].set_faults(change),
            Action::Pause(no, span) => self.workers[no].pause_until(self.transcript.now() + span),
            Action::Mute(no, mute) => self.workers[no].mute(mute),
            Action::Traffic(change) => change(&mut lock_traffic(&self.traffic)),
            Action::SetStoreRejecting(refuses) => self.store.set_rejecting(refuses),
            Action::SetListDelay(late) => self.list.set_delay(late),
            Action::StartScheduler(no) => {
                let listen = lock_traffic(&self.traffic).addresses[no].to_string();
                self.instances[no] = Some(self.start_instance(no, &listen).await?);
            }
        }
        Ok(())
    }

    async fn start_event(&mut self, at: Time, e: ScriptEvent) -> std::io::Result<()> {
        let name = EventKind::ALL.iter().find(|k| k.1 == e.kind).map_or("", |k| k.0);
        let end = at + e.duration;
        let description =
            format!("{name} part {:.0}% for {:.0} ms size {}", e.share * 100.0, e.duration.ms(), e.size);
        self.transcript.add(TranscriptEvent::Scripted { description });
        let now = self.transcript.now();
        let workers = self.workers.len();
        match e.kind {
            EventKind::Crash => {
                for no in self.choose(workers, e.share) {
                    self.kill_until(at, end, no);
                }
            }
            EventKind::MassRestart => {
                let cell = self.rng.rand_range(0..self.script.cells as u64) as usize;
                for no in (0..workers).filter(|w| self.cell(*w) == cell).collect::<Vec<_>>() {
                    self.kill_until(at, end, no);
                }
            }
            EventKind::Deploy => {
                let all = self.choose(workers, e.share);
                let batch = ((workers as f64 * e.size.min(1.0)).round() as usize).max(1);
                let batches = all.len().div_ceil(batch) as u64;
                for (no, worker) in all.into_iter().enumerate() {
                    let from = at + Time(e.duration.0 * (no / batch) as u64 / batches);
                    self.schedule(from, Action::SetLifecycle(worker, Lifecycle::Draining));
                    self.schedule(from + e.interval, Action::Kill(worker));
                    self.schedule(from + e.interval + Time(3_000), Action::StartWorker(worker));
                }
            }
            EventKind::Hang => self.inject_fault(end, e.share, |f| f.hangs = true, |f| f.hangs = false),
            EventKind::FastErrors => {
                self.inject_fault(end, e.share, move |f| f.error_share = e.size, |f| f.error_share = 0.0)
            }
            EventKind::Slow => {
                self.inject_fault(end, e.share, move |f| f.slowdown = e.size, |f| f.slowdown = 1.0)
            }
            EventKind::AnswerLost => self.inject_fault(
                end,
                e.share,
                move |f| f.lost_answer_share = e.size,
                |f| f.lost_answer_share = 0.0,
            ),
            EventKind::Ageing => {
                let cell = self.rng.rand_range(0..self.script.cells as u64) as usize;
                for no in (0..workers).filter(|w| self.cell(*w) == cell).collect::<Vec<_>>() {
                    for step in 1..=10u64 {
                        let slow = 1.0 + (e.size - 1.0) * step as f64 / 10.0;
                        let change = Box::new(move |f: &mut curlewpoint_emulator::Faults| f.slowdown = slow);
                        self.schedule(
                            at + Time(e.duration.0 * (step - 1) / 10),
                            Action::SetFaults(no, change),
                        );
                    }
                    self.schedule(end, Action::SetFaults(no, Box::new(|f| f.slowdown = 1.0)));
                }
            }
            EventKind::Pauses => {
                for no in self.choose(workers, e.share) {
                    let mut from = at;
                    while from < end {
                        self.schedule(from, Action::Pause(no, Time::from_ms(e.size * 100.0)));
                        from = from + e.interval.max(Time(100));
                    }
                }
            }
            EventKind::Cut => {
                for no in self.choose(workers, e.share) {
                    self.workers[no].cut_next_frame();
                }
            }
            EventKind::Mute => {
                for no in self.choose(workers, e.share) {
                    let (component, until) = (self.workers[no].name.clone(), now + e.duration);
                    self.transcript.add(TranscriptEvent::Suspended { component, until });
                    self.workers[no].mute(true);
                    self.schedule(end, Action::Mute(no, false));
                }
            }
            EventKind::StoreStop => self.store.stop_until(now + e.duration),
            EventKind::StoreRefuse => {
                self.store.set_rejecting(true);
                self.schedule(end, Action::SetStoreRejecting(false));
            }
            EventKind::ListDown => self.list.down_until(now + e.duration),
            EventKind::ListLate => {
                self.list.set_delay(e.interval);
                self.schedule(end, Action::SetListDelay(self.script.list_delay));
            }
            EventKind::SchedulerStall => {
                for no in self.choose(self.instances.len(), e.share) {
                    if let Some(instance) = &self.instances[no] {
                        let (component, until) = (instance.name.clone(), now + e.duration + Time(500));
                        self.transcript.add(TranscriptEvent::Suspended { component, until });
                        instance.stall(Duration::from_micros(e.duration.0 * 100));
                    }
                }
            }
            EventKind::SchedulerKill => {
                for no in self.choose(self.instances.len(), e.share) {
                    if let Some(instance) = self.instances[no].take() {
                        let (component, until) = (instance.name.clone(), now + e.duration + Time(2_000));
                        self.transcript.add(TranscriptEvent::Suspended { component, until });
                        instance.kill().await;
                        self.schedule(end, Action::StartScheduler(no));
                    }
                }
            }
            EventKind::Burst => {
                lock_traffic(&self.traffic).rate_factor = e.size;
                self.schedule(end, Action::Traffic(Box::new(|t| t.rate_factor = 1.0)));
            }
            EventKind::Shift => {
                let (n, before) = (self.instances.len(), lock_traffic(&self.traffic).shares.clone());
                let count = ((n as f64 * e.share).round() as usize).clamp(1, n);
                let shares = (0..n).map(|i| if i < count { 1.0 / count as f64 } else { 0.0 }).collect();
                lock_traffic(&self.traffic).shares = shares;
                self.schedule(end, Action::Traffic(Box::new(move |t| t.shares = before)));
            }
            EventKind::Scan => {
                lock_traffic(&self.traffic).scan_share = e.size;
                self.schedule(end, Action::Traffic(Box::new(|t| t.scan_share = 0.0)));
            }
            EventKind::Flush => {
                for rank in self.choose(self.script.models, e.share) {
                    self.workers.iter().for_each(|w| w.release_model(&format!("model-{rank}")));
                }
            }
        }
        Ok(())
    }

    fn kill_until(&mut self, at: Time, end: Time, no: usize) {
        self.workers[no].kill();
        // The list tells of a death late; `list-late` comes on top.
        self.schedule(at + Time(2_000), Action::SetLifecycle(no, Lifecycle::Gone));
        self.schedule(end.max(at + Time(2_001)), Action::StartWorker(no));
    }

    fn inject_fault(
        &mut self, end: Time, share: f64,
        begin_fault: impl Fn(&mut curlewpoint_emulator::Faults) + Clone + Send + 'static,
        end_fault: impl Fn(&mut curlewpoint_emulator::Faults) + Clone + Send + 'static,
    ) {
        for no in self.choose(self.workers.len(), share) {
            self.workers[no].set_faults(begin_fault.clone());
            self.schedule(end, Action::SetFaults(no, Box::new(end_fault.clone())));
        }
    }

    /// No more is asked; what is open has its time, and then the schedulers end in order.
    async fn finish(self, mut clients: JoinSet<()>) -> std::io::Result<ScenarioResult> {
        lock_traffic(&self.traffic).finished = true;
        let mut counters = BTreeMap::new();
        let mut ends = JoinSet::new();
        for instance in self.instances.into_iter().flatten() {
            let name = instance.name.clone();
            ends.spawn(async move { (name, instance.shut_down().await) });
        }
        while let Some(ended) = ends.join_next().await {
            if let Ok((name, Some(f))) = ended {
                counters.insert(name, f);
            }
        }
        while clients.join_next().await.is_some() {}
        let mut parameters = RuleParameters::from_config(&self.config);
        for (no, w) in self.workers.iter().enumerate() {
            let cell = no * self.script.cells / self.workers.len();
            let cell_and_zone = (format!("cell-{cell}"), format!("zone-{}", cell % self.script.zones));
            parameters.groups.insert(w.name.clone(), cell_and_zone);
            parameters.capacity.insert(w.name.clone(), self.script.cores);
        }
        parameters.work = self.script.methods.iter().map(|(m, (_, t))| (m.clone(), t.work_ms)).collect();
        let events = self.transcript.events();
        let verdict = check_rules(&parameters, &events);
        let report = render(&self.config, &events, &verdict);
        Ok(ScenarioResult { events, verdict, counters, report })
    }
}

fn set_address(shared: &SharedTraffic, address: SocketAddr, no: usize) {
    let mut t = lock_traffic(shared);
    t.addresses.truncate(no);
    t.addresses.push(address);
}

/// One scheduler's clients, called `front-` and its number: arrivals at random, whatever became of those before (an open loop).
pub async fn generate_load(
    no: usize, protocol: ClientProtocol, transcript: Transcript, shared: SharedTraffic, script: Script,
    config: Config,
) {
    let mut rng = Rand64::new(u128::from(script.seed * 31 + no as u64));
    let mut key = (no as u64 + 1) << 40;
    let mut connection: Option<Client> = None;
    let weights: Vec<f64> = (1..=script.models).map(|rank| (rank as f64).powf(-script.zipf)).collect();
    let sum: f64 = weights.iter().sum();
    let deadline =
        |m: &str| Time::from_ms(milliseconds(config.method_value(m, "deadline")).unwrap_or(1000.0));
    let tenants = config.tenants().to_vec();
    let mut at = transcript.now();
    loop {
        let (rate, address, scan_share, finished) = {
            let t = lock_traffic(&shared);
            (script.rate * t.rate_factor * t.shares[no], t.addresses[no], t.scan_share, t.finished)
        };
        if finished {
            break;
        }
        let gap = if rate > 0.0 { (-(1.0 - rng.rand_float()).ln() / rate).min(0.2) } else { 0.1 };
        at = at + Time::from_ms(gap * 1000.0);
        sleep_until(transcript.instant(at).into()).await;
        // A gap that was cut short, and a moment without traffic, ask for nothing.
        if rate == 0.0 || gap >= 0.2 {
            continue;
        }
        if connection.as_ref().is_none_or(Client::is_closed) {
            connection =
                Client::open(protocol, &address.to_string(), &format!("front-{no}"), &transcript).await;
        }
        let Some(up) = &connection else { continue };
        let mut draw = rng.rand_float() * script.methods.values().map(|m| m.0).sum::<f64>();
        let pick = script.methods.iter().find(|(_, (share, _))| {
            draw -= share;
            draw <= 0.0
        });
        let Some(method) = pick.or(script.methods.last_key_value()).map(|m| m.0) else { return };
        key += 1;
        let model = if rng.rand_float() < scan_share {
            format!("once-{key}")
        } else {
            let mut draw = rng.rand_float() * sum;
            let rank = weights.iter().position(|w| {
                draw -= w;
                draw <= 0.0
            });
            format!("model-{}", rank.unwrap_or(0))
        };
        // A try is given up after 50 to 100% of the method's deadline.
        let time_left = Time::from_ms(deadline(method).ms() * (0.5 + 0.5 * rng.rand_float()));
        let tenant = tenants.get(rng.rand_range(0..tenants.len().max(1) as u64) as usize);
        up.send_rpc(key, method, &model, tenant.map_or("", String::as_str), time_left, script.body);
    }
    if let Some(up) = connection {
        up.wait_closed().await;
    }
}
