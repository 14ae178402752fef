use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_config::{milliseconds, Config};
use curlewpoint_emulator::{Row, StoreSpec};
use curlewpoint_engine::EngineCounters;
use oorandom::Rand64;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use crate::check::{judge, Terms, Verdict};
use crate::client::Office;
use crate::record::{Record, Seen};
use crate::report::draw;
use crate::script::{At, Kind, Script};
use crate::stand::{ListStand, StoreStand, WorkerStand};
use crate::web::WebOffice;

/// A day that has been played.
pub struct Day {
    pub seen: Vec<(Time, Seen)>,
    pub verdict: Verdict,
    /// What each scheduler says of itself; those killed say nothing.
    pub figures: BTreeMap<String, EngineCounters>,
    pub drawn: String,
}

/// Which door the day's clients come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entrance {
    Native,
    Http,
}

/// One client's connection.
enum Front {
    Native(Office),
    Http(WebOffice),
}

impl Front {
    async fn open(by: Entrance, address: &str, scheduler: &str, record: &Record) -> Option<Front> {
        match by {
            Entrance::Native => Office::open(address, scheduler, record).await.ok().map(Front::Native),
            Entrance::Http => WebOffice::open(address, scheduler, record).await.ok().map(Front::Http),
        }
    }

    fn ask(&self, key: u64, method: &str, model: &str, tenant: &str, left: Time, size: usize) {
        match self {
            Front::Native(office) => office.ask(key, method, model, tenant, left, size),
            Front::Http(office) => office.ask(key, method, model, tenant, left, size),
        }
    }

    fn is_over(&self) -> bool {
        match self {
            Front::Native(office) => office.is_over(),
            Front::Http(office) => office.is_over(),
        }
    }

    async fn ended(self) {
        match self {
            Front::Native(office) => office.ended().await,
            Front::Http(office) => office.ended().await,
        }
    }
}

/// A scheduler on a thread and a runtime of its own, as in a process of its own: it can be held still or killed.
struct Instance {
    name: String,
    address: SocketAddr,
    runtime: tokio::runtime::Handle,
    stop: mpsc::UnboundedSender<bool>,
    ended: oneshot::Receiver<EngineCounters>,
}

impl Instance {
    async fn start(config: Config, record: Record) -> std::io::Result<Instance> {
        let (stop, mut stopped) = mpsc::unbounded_channel();
        let (tell, told) = oneshot::channel();
        let (over, ended) = oneshot::channel();
        let name = config.text("name").to_owned();
        std::thread::Builder::new().name(name.clone()).spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            let figures = runtime.block_on(async {
                let running = match curlewpoint_gateway::start(&config).await {
                    Ok(running) => running,
                    Err(why) => {
                        let _ = tell.send(Err(std::io::Error::other(why.to_string())));
                        return None;
                    }
                };
                // Where clients come by HTTP, that is its address.
                let address = running.http.unwrap_or(running.address);
                tokio::spawn(record.watch_turns(config.text("name").to_owned()));
                let _ = tell.send(Ok((address, tokio::runtime::Handle::current())));
                match stopped.recv().await {
                    Some(true) => {
                        running.stop().await;
                        Some(running.wait().await)
                    }
                    // Killed: the runtime is dropped with all its tasks and sockets.
                    _ => None,
                }
            });
            runtime.shutdown_background();
            if let Some(figures) = figures {
                let _ = over.send(figures);
            }
        })?;
        let (address, runtime) = told.await.map_err(std::io::Error::other)??;
        Ok(Instance { name, address, runtime, stop, ended })
    }

    /// Gets no turn for so long.
    fn hold(&self, span: Duration) {
        self.runtime.spawn(async move { std::thread::sleep(span) });
    }

    async fn kill(self) {
        let _ = self.stop.send(false);
        let _ = self.ended.await;
    }

    async fn end(self) -> Option<EngineCounters> {
        let _ = self.stop.send(true);
        self.ended.await.ok()
    }
}

/// What the load goes by; the script changes it.
pub struct Traffic {
    /// Of the script's rate.
    pub times: f64,
    /// Each scheduler's part of it.
    pub shares: Vec<f64>,
    /// The part of the RPCs that ask for a model asked for once.
    pub scan: f64,
    /// Where clients find each scheduler.
    pub addresses: Vec<SocketAddr>,
    pub over: bool,
}

/// The load's terms, as the script changes them while clients go by them.
pub type Shared = Arc<Mutex<Traffic>>;

fn traffic(shared: &Shared) -> std::sync::MutexGuard<'_, Traffic> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Fleet {
    script: Script,
    record: Record,
    config: Config,
    by: Entrance,
    list: ListStand,
    store: StoreStand,
    workers: Vec<WorkerStand>,
    /// Each worker's start, counted.
    starts: Vec<u64>,
    instances: Vec<Option<Instance>>,
    traffic: Shared,
    rng: Rand64,
    /// What is to happen, by time.
    agenda: BTreeMap<(Time, u64), Deed>,
    next_deed: u64,
}

/// One step of something that the script does.
enum Deed {
    Begin(At),
    Tell(usize, Lifecycle),
    Die(usize),
    Start(usize),
    Set(usize, Box<dyn FnOnce(&mut curlewpoint_emulator::Faults) + Send>),
    Pause(usize, Time),
    Mute(usize, bool),
    Traffic(Box<dyn FnOnce(&mut Traffic) + Send>),
    StoreRefuse(bool),
    ListLate(Time),
    StartScheduler(usize),
}

/// Plays a script against real sockets, with schedulers that run this configuration and clients that come by this door.
pub async fn play(config: &Config, script: &Script, by: Entrance) -> std::io::Result<Day> {
    let mut fleet = Fleet::start(config, script, by).await?;
    let load = fleet.load();
    let mut pulse = JoinSet::new();
    pulse.spawn(fleet.record.clone().feel_the_pulse());
    for event in fleet.script.events.clone() {
        fleet.plan(event.at, Deed::Begin(event));
    }
    let begin = fleet.record.now();
    let end = begin + fleet.script.length;
    while let Some((&(at, no), _)) = fleet.agenda.first_key_value() {
        if at >= fleet.script.length {
            break;
        }
        sleep_until(fleet.record.instant(begin + at).into()).await;
        if let Some(deed) = fleet.agenda.remove(&(at, no)) {
            fleet.act(at, deed).await?;
        }
    }
    sleep_until(fleet.record.instant(end).into()).await;
    fleet.finish(load).await
}

impl Fleet {
    async fn start(config: &Config, script: &Script, by: Entrance) -> std::io::Result<Fleet> {
        let record = Record::default();
        let spec =
            StoreSpec { lines: script.store_lines, thrash: script.store_thrash, most: script.store_most };
        let any = "127.0.0.1:0";
        let store = StoreStand::start(any, &record, spec).await?;
        let list = ListStand::start(any, &record, Time(0)).await?;
        let spec = script.worker_spec(config);
        let trades = script.trades();
        let mut workers = Vec::new();
        for no in 0..script.workers {
            let (name, seed) = (format!("w-{no:03}"), script.seed * 1000 + no as u64);
            workers.push(
                WorkerStand::start(any, &name, &record, spec, Arc::clone(&trades), store.address, seed)
                    .await?,
            );
        }
        let config = config.clone().with_value("list", &list.address.to_string());
        let config = config.with_value("instances", &script.schedulers.to_string());
        let traffic = Traffic {
            times: 1.0,
            shares: vec![1.0 / script.schedulers as f64; script.schedulers],
            scan: 0.0,
            addresses: Vec::new(),
            over: false,
        };
        let mut fleet = Fleet {
            rng: Rand64::new(u128::from(script.seed)),
            starts: vec![1; workers.len()],
            script: script.clone(),
            record,
            config,
            by,
            list,
            store,
            workers,
            instances: Vec::new(),
            traffic: Arc::new(Mutex::new(traffic)),
            agenda: BTreeMap::new(),
            next_deed: 0,
        };
        for no in 0..fleet.workers.len() {
            fleet.tell(no, Lifecycle::Ready, None);
            // Popular models stand at two workers each when the day begins.
            for rank in 0..fleet.script.models {
                if (rank * 7 + 3) % fleet.workers.len() == no || (rank * 5 + 1) % fleet.workers.len() == no {
                    let mean = fleet.script.methods.values().map(|m| m.1.memory_mb).fold(0.0, f64::max);
                    fleet.workers[no].holds(&format!("model-{rank}"), mean);
                }
            }
        }
        fleet.list.late(fleet.script.list_late);
        for no in 0..fleet.script.schedulers {
            let instance = fleet.instance(no, "127.0.0.1:0").await?;
            traffic_address(&fleet.traffic, instance.address, no);
            fleet.instances.push(Some(instance));
        }
        Ok(fleet)
    }

    async fn instance(&self, no: usize, listen: &str) -> std::io::Result<Instance> {
        let config = self.config.clone().with_value("name", &format!("front-{no}"));
        let config = match self.by {
            Entrance::Native => config.with_value("listen", listen),
            Entrance::Http => config.with_value("http", listen),
        };
        let config = config.with_value("seed", &format!("{}", self.script.seed * 100 + no as u64));
        Instance::start(config, self.record.clone()).await
    }

    fn cell(&self, worker: usize) -> usize {
        worker * self.script.cells / self.workers.len()
    }

    fn place(&self, worker: usize) -> (String, String) {
        let cell = self.cell(worker);
        (format!("cell-{cell}"), format!("zone-{}", cell % self.script.zones))
    }

    fn tell(&self, no: usize, standing: Lifecycle, since: Option<Time>) {
        let w = &self.workers[no];
        let (cell, zone) = self.place(no);
        let (address, start) = (w.address.to_string(), self.starts[no]);
        self.list.set(&w.name, Row { address, standing, start, since, zone, cell, size: 1.0 });
    }

    /// Starts a client for each scheduler.
    fn load(&self) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for no in 0..self.instances.len() {
            let (record, shared, script) =
                (self.record.clone(), Arc::clone(&self.traffic), self.script.clone());
            tasks.spawn(client(no, self.by, record, shared, script, self.config.clone()));
        }
        tasks
    }

    fn plan(&mut self, at: Time, deed: Deed) {
        self.next_deed += 1;
        self.agenda.insert((at, self.next_deed), deed);
    }

    /// So many of `n`, drawn.
    fn draw(&mut self, n: usize, part: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..n).collect();
        for i in (1..n).rev() {
            all.swap(i, self.rng.rand_range(0..i as u64 + 1) as usize);
        }
        all.truncate(((n as f64 * part).round() as usize).clamp(1, n));
        all
    }

    async fn act(&mut self, at: Time, deed: Deed) -> std::io::Result<()> {
        match deed {
            Deed::Begin(event) => self.begin(at, event).await?,
            Deed::Tell(no, standing) => self.list.standing(&self.workers[no].name, standing),
            Deed::Die(no) => self.workers[no].die(),
            Deed::Start(no) => {
                self.workers[no].begin(true);
                self.starts[no] += 1;
                self.tell(no, Lifecycle::Ready, Some(self.record.now()));
            }
            Deed::Set(no, change) => self.workers[no].set(change),
            Deed::Pause(no, span) => self.workers[no].pause_until(self.record.now() + span),
            Deed::Mute(no, mute) => self.workers[no].mute(mute),
            Deed::Traffic(change) => change(&mut traffic(&self.traffic)),
            Deed::StoreRefuse(refuses) => self.store.refuse(refuses),
            Deed::ListLate(late) => self.list.late(late),
            Deed::StartScheduler(no) => {
                let listen = traffic(&self.traffic).addresses[no].to_string();
                self.instances[no] = Some(self.instance(no, &listen).await?);
            }
        }
        Ok(())
    }

    async fn begin(&mut self, at: Time, e: At) -> std::io::Result<()> {
        let name = Kind::ALL.iter().find(|k| k.1 == e.kind).map_or("", |k| k.0);
        let end = at + e.len;
        let what = format!("{name} part {:.0}% for {:.0} ms size {}", e.part * 100.0, e.len.ms(), e.size);
        self.record.add(Seen::Scripted { what });
        let now = self.record.now();
        let workers = self.workers.len();
        match e.kind {
            Kind::Crash => {
                for no in self.draw(workers, e.part) {
                    self.die_until(at, end, no);
                }
            }
            Kind::MassRestart => {
                let cell = self.rng.rand_range(0..self.script.cells as u64) as usize;
                for no in (0..workers).filter(|w| self.cell(*w) == cell).collect::<Vec<_>>() {
                    self.die_until(at, end, no);
                }
            }
            Kind::Deploy => {
                let all = self.draw(workers, e.part);
                let batch = ((workers as f64 * e.size.min(1.0)).round() as usize).max(1);
                let batches = all.len().div_ceil(batch) as u64;
                for (no, worker) in all.into_iter().enumerate() {
                    let from = at + Time(e.len.0 * (no / batch) as u64 / batches);
                    self.plan(from, Deed::Tell(worker, Lifecycle::Draining));
                    self.plan(from + e.every, Deed::Die(worker));
                    self.plan(from + e.every + Time(3_000), Deed::Start(worker));
                }
            }
            Kind::Hang => self.faulty(end, e.part, |f| f.hangs = true, |f| f.hangs = false),
            Kind::FastErrors => self.faulty(end, e.part, move |f| f.fails = e.size, |f| f.fails = 0.0),
            Kind::Slow => self.faulty(end, e.part, move |f| f.slow = e.size, |f| f.slow = 1.0),
            Kind::AnswerLost => self.faulty(end, e.part, move |f| f.loses = e.size, |f| f.loses = 0.0),
            Kind::Ageing => {
                let cell = self.rng.rand_range(0..self.script.cells as u64) as usize;
                for no in (0..workers).filter(|w| self.cell(*w) == cell).collect::<Vec<_>>() {
                    for step in 1..=10u64 {
                        let slow = 1.0 + (e.size - 1.0) * step as f64 / 10.0;
                        let change = Box::new(move |f: &mut curlewpoint_emulator::Faults| f.slow = slow);
                        self.plan(at + Time(e.len.0 * (step - 1) / 10), Deed::Set(no, change));
                    }
                    self.plan(end, Deed::Set(no, Box::new(|f| f.slow = 1.0)));
                }
            }
            Kind::Pauses => {
                for no in self.draw(workers, e.part) {
                    let mut from = at;
                    while from < end {
                        self.plan(from, Deed::Pause(no, Time::from_ms(e.size * 100.0)));
                        from = from + e.every.max(Time(100));
                    }
                }
            }
            Kind::Cut => {
                for no in self.draw(workers, e.part) {
                    self.workers[no].cut();
                }
            }
            Kind::Mute => {
                for no in self.draw(workers, e.part) {
                    let (who, until) = (self.workers[no].name.clone(), now + e.len);
                    self.record.add(Seen::Held { who, until });
                    self.workers[no].mute(true);
                    self.plan(end, Deed::Mute(no, false));
                }
            }
            Kind::StoreStop => self.store.stop_until(now + e.len),
            Kind::StoreRefuse => {
                self.store.refuse(true);
                self.plan(end, Deed::StoreRefuse(false));
            }
            Kind::ListDown => self.list.down_until(now + e.len),
            Kind::ListLate => {
                self.list.late(e.every);
                self.plan(end, Deed::ListLate(self.script.list_late));
            }
            Kind::SchedulerStall => {
                for no in self.draw(self.instances.len(), e.part) {
                    if let Some(instance) = &self.instances[no] {
                        let (who, until) = (instance.name.clone(), now + e.len + Time(500));
                        self.record.add(Seen::Held { who, until });
                        instance.hold(Duration::from_micros(e.len.0 * 100));
                    }
                }
            }
            Kind::SchedulerKill => {
                for no in self.draw(self.instances.len(), e.part) {
                    if let Some(instance) = self.instances[no].take() {
                        let (who, until) = (instance.name.clone(), now + e.len + Time(2_000));
                        self.record.add(Seen::Held { who, until });
                        instance.kill().await;
                        self.plan(end, Deed::StartScheduler(no));
                    }
                }
            }
            Kind::Burst => {
                traffic(&self.traffic).times = e.size;
                self.plan(end, Deed::Traffic(Box::new(|t| t.times = 1.0)));
            }
            Kind::Shift => {
                let (n, before) = (self.instances.len(), traffic(&self.traffic).shares.clone());
                let some = ((n as f64 * e.part).round() as usize).clamp(1, n);
                let shares = (0..n).map(|i| if i < some { 1.0 / some as f64 } else { 0.0 }).collect();
                traffic(&self.traffic).shares = shares;
                self.plan(end, Deed::Traffic(Box::new(move |t| t.shares = before)));
            }
            Kind::Scan => {
                traffic(&self.traffic).scan = e.size;
                self.plan(end, Deed::Traffic(Box::new(|t| t.scan = 0.0)));
            }
            Kind::Flush => {
                for rank in self.draw(self.script.models, e.part) {
                    self.workers.iter().for_each(|w| w.release(&format!("model-{rank}")));
                }
            }
        }
        Ok(())
    }

    fn die_until(&mut self, at: Time, end: Time, no: usize) {
        self.workers[no].die();
        // The list tells of a death late; `list-late` comes on top.
        self.plan(at + Time(2_000), Deed::Tell(no, Lifecycle::Gone));
        self.plan(end.max(at + Time(2_001)), Deed::Start(no));
    }

    fn faulty(
        &mut self, end: Time, part: f64,
        begin: impl Fn(&mut curlewpoint_emulator::Faults) + Clone + Send + 'static,
        over: impl Fn(&mut curlewpoint_emulator::Faults) + Clone + Send + 'static,
    ) {
        for no in self.draw(self.workers.len(), part) {
            self.workers[no].set(begin.clone());
            self.plan(end, Deed::Set(no, Box::new(over.clone())));
        }
    }

    /// No more is asked; what is open has its time, and then the schedulers end in order.
    async fn finish(self, mut load: JoinSet<()>) -> std::io::Result<Day> {
        traffic(&self.traffic).over = true;
        let mut figures = BTreeMap::new();
        let mut ends = JoinSet::new();
        for instance in self.instances.into_iter().flatten() {
            let name = instance.name.clone();
            ends.spawn(async move { (name, instance.end().await) });
        }
        while let Some(ended) = ends.join_next().await {
            if let Ok((name, Some(f))) = ended {
                figures.insert(name, f);
            }
        }
        while load.join_next().await.is_some() {}
        let mut terms = Terms::of(&self.config);
        for (no, w) in self.workers.iter().enumerate() {
            let cell = no * self.script.cells / self.workers.len();
            let place = (format!("cell-{cell}"), format!("zone-{}", cell % self.script.zones));
            terms.groups.insert(w.name.clone(), place);
            terms.capacity.insert(w.name.clone(), self.script.cores);
        }
        terms.work = self.script.methods.iter().map(|(m, (_, t))| (m.clone(), t.work_ms)).collect();
        let seen = self.record.all();
        let verdict = judge(&terms, &seen);
        let drawn = draw(&self.config, &seen, &verdict);
        Ok(Day { seen, verdict, figures, drawn })
    }
}

fn traffic_address(shared: &Shared, address: SocketAddr, no: usize) {
    let mut t = traffic(shared);
    t.addresses.truncate(no);
    t.addresses.push(address);
}

/// One scheduler's clients, called `front-` and its number: arrivals at random, whatever became of those before (an open loop).
pub async fn client(no: usize, by: Entrance, record: Record, shared: Shared, script: Script, config: Config) {
    let mut rng = Rand64::new(u128::from(script.seed * 31 + no as u64));
    let mut key = (no as u64 + 1) << 40;
    let mut office: Option<Front> = None;
    let weights: Vec<f64> = (1..=script.models).map(|rank| (rank as f64).powf(-script.zipf)).collect();
    let sum: f64 = weights.iter().sum();
    let deadline =
        |m: &str| Time::from_ms(milliseconds(config.method_value(m, "deadline")).unwrap_or(1000.0));
    let tenants = config.tenants().to_vec();
    let mut at = record.now();
    loop {
        let (rate, address, scan, over) = {
            let t = traffic(&shared);
            (script.rate * t.times * t.shares[no], t.addresses[no], t.scan, t.over)
        };
        if over {
            break;
        }
        let gap = if rate > 0.0 { (-(1.0 - rng.rand_float()).ln() / rate).min(0.2) } else { 0.1 };
        at = at + Time::from_ms(gap * 1000.0);
        sleep_until(record.instant(at).into()).await;
        // A gap that was cut short, and a moment without traffic, ask for nothing.
        if rate == 0.0 || gap >= 0.2 {
            continue;
        }
        if office.as_ref().is_none_or(Front::is_over) {
            office = Front::open(by, &address.to_string(), &format!("front-{no}"), &record).await;
        }
        let Some(up) = &office else { continue };
        let mut draw = rng.rand_float() * script.methods.values().map(|m| m.0).sum::<f64>();
        let pick = script.methods.iter().find(|(_, (share, _))| {
            draw -= share;
            draw <= 0.0
        });
        let Some(method) = pick.or(script.methods.last_key_value()).map(|m| m.0) else { return };
        key += 1;
        let model = if rng.rand_float() < scan {
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
        let left = Time::from_ms(deadline(method).ms() * (0.5 + 0.5 * rng.rand_float()));
        let tenant = tenants.get(rng.rand_range(0..tenants.len().max(1) as u64) as usize);
        up.ask(key, method, &model, tenant.map_or("", String::as_str), left, script.body);
    }
    if let Some(up) = office {
        up.ended().await;
    }
}
