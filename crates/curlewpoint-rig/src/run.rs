use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_config::{bytes, Config};
use curlewpoint_emulator::{ListEntry, StoreSpec};
use curlewpoint_engine::id_of;
use curlewpoint_lab::test_servers::{TestListService, TestStore, TestWorker};
use curlewpoint_lab::{
    check_rules, generate_load, ClientProtocol, RuleParameters, SharedTraffic as Load, Traffic, Transcript,
    TranscriptEvent, Verdict,
};
use oorandom::Rand64;
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use crate::calls::{call_one, CALLED};
use crate::figures::{cost, Cost, Directory, Figures, Look, Waits};
use crate::forge::{self, forge, misuse, Misuse};
use crate::ports::Ports;
use crate::process::{Process, Program};
use crate::relay::{Effect, Relay, Rules, Shared, Taped};
use crate::scenario::{Action, At, FleetScenario, Limit, Who, CONFIG, IDLE};

/// One play of a script.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    pub program: Program,
    pub scenario: FleetScenario,
    pub schedulers: usize,
    pub seed: u64,
    /// Whether the schedulers know of each other.
    pub peers: bool,
    /// Whether those that do tell each other what they see of functions at workers.
    pub hints: bool,
    /// What `directory` is set to in their fleet's block; none: hints go round the rings.
    pub directory: Option<String>,
    /// Where configurations and logs go.
    pub folder: PathBuf,
}

/// What came of it.
pub struct Outcome {
    pub figures: Figures,
    pub verdict: Verdict,
    /// What was expected and did not come, a line each.
    pub missed: Vec<String>,
}

const FLEET: &str = "play";
/// Peers to begin with.
const PEERS: usize = 3;
/// How long a stop may take at the end of a play.
const STOP: Duration = Duration::from_secs(12);
/// A scheduler that was killed or stopped is not asked for what it owed until so long after it is back.
const BACK: Time = Time(20_000);
const SECOND: Time = Time(10_000);

/// One scheduler of the play.
struct Instance {
    name: String,
    config: PathBuf,
    log: PathBuf,
    process: Option<Process>,
    /// Its relay for peers.
    relay: Relay,
}

enum Deed {
    Begin(At),
    Lift(u64),
    Continue(Vec<usize>),
    Start(usize),
    Term(Vec<usize>, usize, Time),
    KillOld(Box<Process>, String),
    Worker(usize),
    Tell(usize, Lifecycle),
    /// A span begins, or ends.
    Look(usize),
    /// How long the schedulers were kept waiting by the machine.
    Waits,
}

struct Stage {
    plan: ScenarioRun,
    ports: Ports,
    shared: Shared,
    rng: Rand64,
    list: TestListService,
    list_relay: Relay,
    store: TestStore,
    workers: Vec<TestWorker>,
    worker_relays: Vec<Relay>,
    starts: Vec<u64>,
    drained: BTreeSet<usize>,
    instances: Vec<Instance>,
    /// The schedulers that were drawn last.
    drawn: BTreeSet<usize>,
    load: Load,
    agenda: BTreeMap<(Time, u64), Deed>,
    next: u64,
    /// Processes that are being started, or ended and started anew.
    starting: JoinSet<(usize, std::io::Result<Process>)>,
    /// Killed, and to be started anew.
    dying: BTreeMap<usize, Process>,
    gone: Vec<(String, Time, Time)>,
    over: Time,
    /// Made-up peers, and calls of functions that all are asked for.
    forging: JoinSet<()>,
    calling: JoinSet<()>,
    /// Made-up peers whose links the schedulers have to end.
    flooding: JoinSet<()>,
    /// How long each was kept waiting by the machine, second by second; and in all, as last told by a process.
    waits: Waits,
    waited: BTreeMap<usize, (Option<u32>, Duration)>,
    /// Those that were started anew, and when they were ready.
    ready: Vec<(String, Time)>,
    begun: bool,
    more_relays: Vec<Relay>,
    /// At the beginning of each span of the play, and at its end.
    looks: BTreeMap<usize, Vec<Look>>,
}

fn traffic(load: &Load) -> MutexGuard<'_, Traffic> {
    load.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays a script with real processes. Dropping the future ends all that it started.
pub async fn run(plan: ScenarioRun) -> std::io::Result<Outcome> {
    let mut stage = Stage::set(plan).await?;
    let began = stage.shared.record.now();
    let mut pulse = JoinSet::new();
    pulse.spawn(stage.shared.record.clone().watch_runtime_stalls());
    let clients = stage.begin().await?;
    let up = stage.shared.record.now();
    stage.over = up;
    for event in stage.plan.scenario.events.clone() {
        let over = event.at + event.len;
        stage.over = stage.over.max(up + over);
        stage.plan(event.at, Deed::Begin(event));
    }
    for (no, span) in stage.plan.scenario.spans.clone().into_iter().enumerate() {
        stage.plan(span.at, Deed::Look(no));
        stage.plan(span.at + span.len, Deed::Look(no));
    }
    let length = stage.plan.scenario.script.length;
    stage.plan(Time(0), Deed::Waits);
    stage.go(up, length).await?;
    stage.finish(began, clients).await
}

impl Stage {
    async fn set(plan: ScenarioRun) -> std::io::Result<Stage> {
        std::fs::create_dir_all(&plan.folder)?;
        let record = Transcript::default();
        let shared = Shared::new(Rules::default(), record.clone());
        let s = &plan.scenario.script;
        let any = "127.0.0.1:0";
        let spec = StoreSpec {
            parallel_fetches: s.store_parallel_fetches,
            overload_penalty: s.store_overload_penalty,
            max_fetches: s.store_max_fetches,
        };
        let store = TestStore::start(any, &record, spec).await?;
        let list = TestListService::start(any, &record, s.list_delay).await?;
        let list_relay = Relay::start("list", Some(list.address), plan.scenario.list_takes, &shared).await?;
        let config = parsed(&text(&plan, 0, any, any, &list_relay.address.to_string(), None))?;
        let spec = s.worker_spec(&config);
        let trades = s.method_costs();
        let (mut workers, mut worker_relays) = (Vec::new(), Vec::new());
        for no in 0..s.workers {
            let (name, seed) = (format!("w-{no:03}"), plan.seed * 1000 + no as u64);
            let trades = Arc::clone(&trades);
            let worker = TestWorker::start(any, &name, &record, spec, trades, store.address, seed).await?;
            if plan.scenario.cold {
                worker.kill();
                worker.start_process(true);
            }
            worker_relays.push(Relay::start(&name, Some(worker.address), None, &shared).await?);
            workers.push(worker);
        }
        let n = plan.schedulers;
        let mut free = Ports::new(plan.seed);
        let ports = free.take(2 * n)?;
        let mut instances = Vec::new();
        for no in 0..n {
            let name = format!("front-{no}");
            let at = SocketAddr::from(([127, 0, 0, 1], ports[n + no]));
            let relay = Relay::start(&name, Some(at), None, &shared).await?;
            let config = plan.folder.join(format!("{name}.conf"));
            let log = plan.folder.join(format!("{name}.log"));
            instances.push(Instance { name, config, log, process: None, relay });
        }
        let at = |port: u16| format!("127.0.0.1:{port}");
        let peers = peers(&instances);
        for (no, i) in instances.iter().enumerate() {
            let fleet = (at(ports[n + no]), i.relay.address.to_string(), peers.clone());
            let list = list_relay.address.to_string();
            let fleet = plan.peers.then_some(fleet);
            let text = text(&plan, no, &at(ports[no]), &i.name, &list, fleet);
            // What a play is told to set may be at fault; all instances have the same.
            if no == 0 {
                parsed(&text)?;
            }
            std::fs::write(&i.config, text)?;
        }
        let load = Traffic {
            rate_factor: 1.0,
            shares: vec![1.0 / n as f64; n],
            scan_share: 0.0,
            addresses: (0..n).map(|no| SocketAddr::from(([127, 0, 0, 1], ports[no]))).collect(),
            finished: false,
        };
        let stage = Stage {
            rng: Rand64::new(u128::from(plan.seed)),
            starts: vec![1; workers.len()],
            shared,
            list,
            list_relay,
            store,
            workers,
            worker_relays,
            drained: BTreeSet::new(),
            instances,
            drawn: BTreeSet::new(),
            load: Arc::new(Mutex::new(load)),
            agenda: BTreeMap::new(),
            next: 0,
            starting: JoinSet::new(),
            dying: BTreeMap::new(),
            gone: Vec::new(),
            over: Time(0),
            forging: JoinSet::new(),
            calling: JoinSet::new(),
            flooding: JoinSet::new(),
            waits: Waits::new(),
            waited: BTreeMap::new(),
            ready: Vec::new(),
            begun: false,
            more_relays: Vec::new(),
            looks: BTreeMap::new(),
            ports: free,
            plan,
        };
        for no in 0..stage.workers.len() {
            let since = stage.plan.scenario.cold.then(|| stage.shared.record.now());
            stage.tell(no, Lifecycle::Ready, since);
        }
        for no in 0..stage.plan.scenario.idle_rows {
            // Names and addresses as long as a deployment's.
            let (name, address) =
                (format!("{IDLE}{no:06}.zone-{:02}", no % 16), "10.111.122.133:7100".to_owned());
            let (zone, cell) = (format!("zone-{:02}", no % 16), format!("cell-{:02}", no % 64));
            let standing = Lifecycle::Draining;
            stage.list.set_entry(
                &name,
                ListEntry {
                    address,
                    lifecycle: standing,
                    start_id: 1,
                    started_at: None,
                    zone,
                    cell,
                    size: 1.0,
                },
            );
        }
        Ok(stage)
    }

    fn tell(&self, no: usize, standing: Lifecycle, since: Option<Time>) {
        let s = &self.plan.scenario.script;
        let cell = no * s.cells / s.workers;
        let (zone, cell) = (format!("zone-{}", cell % s.zones), format!("cell-{cell}"));
        let (address, start) = (self.worker_relays[no].address.to_string(), self.starts[no]);
        self.list.set_entry(
            &self.workers[no].name,
            ListEntry {
                address,
                lifecycle: standing,
                start_id: start,
                started_at: since,
                zone,
                cell,
                size: 1.0,
            },
        );
    }

    /// Starts all schedulers at once, with their clients, and waits until they are up.
    async fn begin(&mut self) -> std::io::Result<JoinSet<()>> {
        let mut clients = JoinSet::new();
        let config = parsed(&std::fs::read_to_string(&self.instances[0].config)?)?;
        for no in 0..self.instances.len() {
            let (record, load) = (self.shared.record.clone(), Arc::clone(&self.load));
            let mut script = self.plan.scenario.script.clone();
            script.seed = self.plan.seed;
            clients.spawn(generate_load(no, ClientProtocol::Native, record, load, script, config.clone()));
            self.start(no);
        }
        while let Some(started) = self.starting.join_next().await {
            self.started(started)?;
        }
        self.begun = true;
        Ok(clients)
    }

    fn start(&mut self, no: usize) {
        let (program, i) = (self.plan.program.clone(), &self.instances[no]);
        let (config, log) = (i.config.clone(), i.log.clone());
        let before = self.dying.remove(&no);
        self.starting.spawn(async move {
            // Its sockets close with it, and not a moment sooner.
            if let Some(mut before) = before {
                before.ended(STOP).await;
            }
            (no, program.serve(&config, &log).await)
        });
    }

    fn started(
        &mut self, started: Result<(usize, std::io::Result<Process>), tokio::task::JoinError>,
    ) -> std::io::Result<()> {
        let (no, process) = started.map_err(std::io::Error::other)?;
        let at = process.map_err(|e| std::io::Error::other(format!("{}: {e}", self.instances[no].name)))?;
        traffic(&self.load).addresses[no] = at.address;
        self.instances[no].process = Some(at);
        if self.begun {
            self.ready.push((self.instances[no].name.clone(), self.shared.record.now()));
        }
        Ok(())
    }

    fn plan(&mut self, at: Time, deed: Deed) {
        self.next += 1;
        self.agenda.insert((at, self.next), deed);
    }

    async fn go(&mut self, up: Time, length: Time) -> std::io::Result<()> {
        loop {
            let next = self.agenda.first_key_value().map_or(length, |(&(at, _), _)| at);
            let until = self.shared.record.instant(up + next.min(length));
            tokio::select! {
                Some(started) = self.starting.join_next() => self.started(started)?,
                () = sleep_until(until.into()) => match self.agenda.pop_first() {
                    Some(((at, _), deed)) if at < length => self.act(at, deed).await?,
                    _ => return Ok(()),
                },
            }
        }
    }

    /// So many of these, drawn.
    fn draw(&mut self, mut all: Vec<usize>, part: f64) -> Vec<usize> {
        for i in (1..all.len()).rev() {
            all.swap(i, self.rng.rand_range(0..i as u64 + 1) as usize);
        }
        let n = (all.len() as f64 * part).round() as usize;
        all.truncate(n.clamp(1.min(all.len()), all.len()));
        all
    }

    /// The schedulers meant.
    fn schedulers(&mut self, who: Who, part: f64) -> Vec<usize> {
        let all: Vec<usize> = (0..self.instances.len()).collect();
        match who {
            Who::Others => all.into_iter().filter(|no| !self.drawn.contains(no)).collect(),
            Who::Watchers => self.watchers(),
            _ => {
                let drawn = self.draw(all, part);
                self.drawn = drawn.iter().copied().collect();
                drawn
            }
        }
    }

    /// Those that are connected to the list service, as its relay has seen.
    fn watchers(&self) -> Vec<usize> {
        let mut open: BTreeMap<Arc<str>, i64> = BTreeMap::new();
        for (_, from, to, what) in self.shared.tape.all() {
            if &*to == "list" {
                match what {
                    Taped::Dialled => *open.entry(from).or_default() += 1,
                    Taped::Ended => *open.entry(from).or_default() -= 1,
                    Taped::Frame { .. } => {}
                }
            }
        }
        let watches = |i: &Instance| open.get(i.name.as_str()).is_some_and(|n| *n > 0);
        (0..self.instances.len()).filter(|no| watches(&self.instances[*no])).collect()
    }

    fn names(&mut self, who: Who, part: f64) -> BTreeSet<String> {
        match who {
            Who::List => BTreeSet::from(["list".to_owned()]),
            Who::Workers => {
                let all = (0..self.workers.len()).collect();
                self.draw(all, part).into_iter().map(|no| self.workers[no].name.clone()).collect()
            }
            who => self.schedulers(who, part).into_iter().map(|no| self.instances[no].name.clone()).collect(),
        }
    }

    fn held(&mut self, no: usize, until: Time) {
        let now = self.shared.record.now();
        let who = self.instances[no].name.clone();
        self.gone.push((who.clone(), now, until + BACK));
        self.shared.record.add(TranscriptEvent::Suspended { component: who, until: until + BACK });
    }

    async fn act(&mut self, at: Time, deed: Deed) -> std::io::Result<()> {
        match deed {
            Deed::Begin(event) => self.happens(at, event).await?,
            Deed::Lift(rule) => self.shared.rules.lift(rule),
            Deed::Continue(all) => all.iter().for_each(|no| self.signal(*no, Signal::CONT)),
            Deed::Start(no) => self.start(no),
            Deed::Term(mut left, step, every) => {
                for no in left.drain(..step.min(left.len())) {
                    self.term(no);
                }
                if !left.is_empty() {
                    self.plan(at + every, Deed::Term(left, step, every));
                }
            }
            Deed::KillOld(process, who) => {
                process.signal(Signal::KILL);
                let until = self.shared.record.now() + BACK;
                self.shared.record.add(TranscriptEvent::Suspended { component: who, until });
            }
            Deed::Worker(no) => {
                self.workers[no].start_process(true);
                self.starts[no] += 1;
                self.tell(no, Lifecycle::Ready, Some(self.shared.record.now()));
            }
            Deed::Tell(no, standing) => self.list.set_lifecycle(&self.workers[no].name, standing),
            Deed::Look(no) => {
                let look = self.look();
                self.looks.entry(no).or_default().push(look);
            }
            Deed::Waits => {
                self.look_at_waits();
                self.plan(at + SECOND, Deed::Waits);
            }
        }
        Ok(())
    }

    /// How long each scheduler was kept waiting since the last look.
    fn look_at_waits(&mut self) {
        let now = self.shared.record.now();
        for (no, i) in self.instances.iter().enumerate() {
            let Some((id, all)) = i.process.as_ref().and_then(|p| Some((p.usage()?.id, p.waited()?))) else {
                continue;
            };
            let (before, waited) = self.waited.insert(no, (Some(id), all)).unwrap_or_default();
            let more = if before == Some(id) { all.saturating_sub(waited) } else { all };
            self.waits.entry(i.name.clone()).or_default().push((now, more));
        }
    }

    /// What the system tells of all instances now.
    fn look(&self) -> Look {
        let usage = self.instances.iter().map(|i| i.process.as_ref().and_then(Process::usage)).collect();
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let load = load.split(' ').next().and_then(|l| l.parse().ok()).unwrap_or_default();
        Look { at: self.shared.record.now(), usage, load }
    }

    fn signal(&self, no: usize, signal: Signal) {
        if let Some(process) = &self.instances[no].process {
            process.signal(signal);
        }
    }

    /// Ended in order, and started anew.
    fn term(&mut self, no: usize) {
        let Some(mut process) = self.instances[no].process.take() else { return };
        self.held(no, self.shared.record.now());
        let (program, i) = (self.plan.program.clone(), &self.instances[no]);
        let (config, log) = (i.config.clone(), i.log.clone());
        self.starting.spawn(async move {
            process.signal(Signal::TERM);
            process.ended(STOP).await;
            (no, program.serve(&config, &log).await)
        });
    }

    async fn happens(&mut self, at: Time, e: At) -> std::io::Result<()> {
        let now = self.shared.record.now();
        let end = at + e.len;
        self.shared.record.add(TranscriptEvent::Scripted { description: format!("{e:?}") });
        match e.action {
            Action::Cut | Action::Delay | Action::Slow => {
                let effect = match e.action {
                    Action::Cut => Effect::Cut,
                    Action::Delay => Effect::Delay(Duration::from_micros(e.every.0 * 100)),
                    _ => Effect::Slow(e.size),
                };
                let first = self.names(e.who, e.part);
                let second = self.names(e.from.unwrap_or(Who::List), 1.0);
                self.next += 2;
                let (to_first, to_second) = (self.next, self.next - 1);
                self.shared.rules.set(to_first, second.clone(), first.clone(), effect);
                self.plan(end, Deed::Lift(to_first));
                if !e.one_way {
                    self.shared.rules.set(to_second, first, second, effect);
                    self.plan(end, Deed::Lift(to_second));
                }
            }
            Action::Reset => {
                let first = self.names(e.who, e.part);
                let second = self.names(e.from.unwrap_or(Who::List), 1.0);
                self.shared.rules.reset(&first, &second);
            }
            Action::Kill => {
                for no in self.schedulers(e.who, e.part) {
                    let Some(process) = self.instances[no].process.take() else { continue };
                    self.held(no, now + e.len);
                    process.signal(Signal::KILL);
                    self.dying.insert(no, process);
                    self.plan(end, Deed::Start(no));
                }
            }
            Action::Stop => {
                let all = self.schedulers(e.who, e.part);
                for no in &all {
                    self.held(*no, now + e.len);
                    self.signal(*no, Signal::STOP);
                }
                self.plan(end, Deed::Continue(all));
            }
            Action::Term => {
                let all = self.schedulers(e.who, e.part);
                let step = ((self.instances.len() as f64 * e.size).round() as usize).max(1);
                self.over = self.over.max(now + Time(e.every.0 * all.len().div_ceil(step) as u64));
                self.plan(at, Deed::Term(all, step, e.every));
            }
            Action::Again => {
                for no in self.schedulers(e.who, e.part) {
                    self.again(no, end).await?;
                }
            }
            Action::Forge => {
                for no in self.schedulers(e.who, e.part) {
                    let at = self.instances[no].relay.address;
                    self.forging.spawn(forge(at, FLEET));
                }
            }
            Action::Flood | Action::Lie | Action::Deaf => {
                let what = match e.action {
                    Action::Flood => Misuse::Flood,
                    Action::Lie => Misuse::Lie,
                    _ => Misuse::Deaf,
                };
                for no in self.schedulers(e.who, e.part) {
                    self.next += 1;
                    let (at, terms) = (self.instances[no].relay.address, self.misuse_terms(&e));
                    let name = format!("forger-{}", self.next);
                    let set = if what == Misuse::Flood { &mut self.flooding } else { &mut self.forging };
                    set.spawn(async move { misuse(at, FLEET, &name, what, terms).await });
                }
            }
            Action::Call => {
                let method =
                    self.plan.scenario.script.methods.iter().max_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
                let method = method.map_or(String::new(), |m| m.0.clone());
                for no in self.schedulers(e.who, e.part) {
                    self.next += 1;
                    let (key, every) = (CALLED | self.next << 32, e.every);
                    let (load, record) = (Arc::clone(&self.load), self.shared.record.clone());
                    let (name, method) = (self.instances[no].name.clone(), method.clone());
                    let model = format!("called-{}", at.0);
                    self.calling.spawn(async move {
                        let address = || traffic(&load).addresses[no];
                        call_one(record, address, &name, (&method, &model), key, every, e.len).await;
                    });
                }
            }
            Action::Drain | Action::Die | Action::Restart => {
                let left = (0..self.workers.len()).filter(|no| !self.drained.contains(no)).collect();
                for no in self.draw(left, e.part) {
                    self.drained.insert(no);
                    if e.action == Action::Drain {
                        self.list.set_lifecycle(&self.workers[no].name, Lifecycle::Draining);
                        continue;
                    }
                    self.workers[no].kill();
                    self.plan(at + Time(10_000), Deed::Tell(no, Lifecycle::Gone));
                    self.plan(end.max(at + Time(10_001)), Deed::Worker(no));
                }
            }
            Action::ListDown => self.list.down_until(now + e.len),
        }
        Ok(())
    }

    /// Functions and workers of this play, and how much is said of them.
    fn misuse_terms(&mut self, e: &At) -> forge::Terms {
        let functions =
            (0..self.plan.scenario.script.models).map(|no| id_of(&format!("model-{no}"))).collect();
        let workers = self.workers.iter().map(|w| id_of(&w.name)).collect();
        let len = Duration::from_micros(e.len.0 * 100);
        forge::Terms { functions, workers, rate: e.size, len, seed: self.rng.rand_u64() }
    }

    /// A second run under one name, elsewhere; the first goes on, and is killed later.
    async fn again(&mut self, no: usize, end: Time) -> std::io::Result<()> {
        let Some(old) = self.instances[no].process.take() else { return Ok(()) };
        let ports = self.ports.take(2)?;
        let at = |port: u16| format!("127.0.0.1:{port}");
        let name = self.instances[no].name.clone();
        let target = SocketAddr::from(([127, 0, 0, 1], ports[1]));
        let relay = Relay::start(&name, Some(target), None, &self.shared).await?;
        let fleet = (at(ports[1]), relay.address.to_string(), peers(&self.instances));
        let list = self.list_relay.address.to_string();
        let config = self.plan.folder.join(format!("{name}-again.conf"));
        let fleet = self.plan.peers.then_some(fleet);
        std::fs::write(&config, text(&self.plan, no, &at(ports[0]), &name, &list, fleet))?;
        self.instances[no].config = config;
        self.more_relays.push(relay);
        self.held(no, self.shared.record.now());
        self.start(no);
        self.plan(end, Deed::KillOld(Box::new(old), name));
        Ok(())
    }

    /// No more is asked; what is open has its time, and then the schedulers end in order.
    async fn finish(mut self, began: Time, mut clients: JoinSet<()>) -> std::io::Result<Outcome> {
        let end = self.shared.record.now();
        traffic(&self.load).finished = true;
        while let Some(started) = self.starting.join_next().await {
            self.started(started)?;
        }
        while self.flooding.try_join_next().is_some() {}
        let flooding = self.flooding.len();
        let (mut costs, mut ends) = (Vec::new(), JoinSet::new());
        for i in &mut self.instances {
            let Some(mut process) = i.process.take() else { continue };
            costs.extend(process.usage().map(|u| (u.used, u.peak)));
            let name = i.name.clone();
            ends.spawn(async move {
                process.signal(Signal::TERM);
                (name, process.ended(STOP).await)
            });
        }
        let mut missed = Vec::new();
        if flooding > 0 {
            missed.push(format!("{flooding} links with too many rows in a frame were not ended"));
        }
        while let Some(ended) = ends.join_next().await {
            match ended {
                Ok((name, Some((code, last)))) if code != 0 => {
                    missed.push(format!("{name} ended with {code}: {last}"))
                }
                Ok((name, None)) => missed.push(format!("{name} did not end within {STOP:?} of a SIGTERM")),
                _ => {}
            }
        }
        while clients.join_next().await.is_some() {}
        while self.calling.join_next().await.is_some() {}
        let s = &self.plan.scenario.script;
        let mut terms =
            RuleParameters::from_config(&parsed(&std::fs::read_to_string(&self.instances[0].config)?)?);
        for (no, w) in self.workers.iter().enumerate() {
            let cell = no * s.cells / s.workers;
            terms.groups.insert(w.name.clone(), (format!("cell-{cell}"), format!("zone-{}", cell % s.zones)));
            terms.capacity.insert(w.name.clone(), s.cores);
        }
        terms.work = s.methods.iter().map(|(m, (_, t))| (m.clone(), t.work_ms)).collect();
        let (seen, tape) = (self.shared.record.events(), self.shared.tape.all());
        let verdict = check_rules(&terms, &seen);
        let n = self.instances.len();
        let mut figures = Figures::of(&tape, &seen, began, self.over, end, n, &self.gone);
        let budget = self.plan.directory.as_deref().map(bytes).transpose().map_err(std::io::Error::other)?;
        figures.directory = Directory::of(&tape, &seen, budget, &self.waits, end, &self.gone);
        figures.served(&seen, &self.ready, &self.waits);
        figures.called(&seen);
        let lived = Duration::from_micros((end - began).0 * 100);
        figures.cost = cost(&costs, lived);
        for (no, span) in self.plan.scenario.spans.iter().enumerate() {
            if let Some([from, to]) = self.looks.get(&no).map(Vec::as_slice) {
                figures.spans.push(Cost::of(&span.name, from, to, &tape, &seen, self.workers.len()));
            }
        }
        (figures.turned_away, figures.fetches) =
            (self.store.rejected_fetches(), self.store.requested_fetches());
        missed.extend(figures.directory.over.as_ref().map(|s| s.told(began)));
        for (limit, most) in &self.plan.scenario.expects {
            missed.extend(miss(*limit, *most, &figures, self.plan.peers));
        }
        Ok(Outcome { figures, verdict, missed })
    }
}

/// What a figure is above what is expected; without peers nobody beats, and each watches the list for itself.
fn miss(limit: Limit, most: f64, f: &Figures, peers: bool) -> Option<String> {
    let ms = |t: Option<Time>| t.map_or(f64::MAX, Time::ms);
    let was = match limit {
        Limit::ListConnections => f.list_connections as f64,
        Limit::WholeLists => f.whole_lists as f64,
        Limit::Told => ms(f.told),
        Limit::Alike => ms(f.alike),
        Limit::Serves => f.serves.as_ref().map_or(0.0, |all| all.last().map_or(0.0, |t| ms(*t))),
        Limit::Called => f.called.map_or(0.0, |at| ms(at[1])),
        Limit::Unanswered => f.directory.unanswered_share() * 100.0,
        Limit::Younger => f.directory.younger.ms(),
    };
    let name = Limit::ALL.iter().find(|l| l.1 == limit).map_or("", |l| l.0);
    let was_told = if was == f64::MAX { "never".to_owned() } else { format!("{was:.0}") };
    (peers && was > most).then(|| format!("{name}: {was_told}, at most {most:.0} expected"))
}

fn peers(instances: &[Instance]) -> String {
    let n = instances.len();
    let some: BTreeSet<usize> = (0..PEERS).map(|k| k * n / PEERS).collect();
    some.iter().map(|no| instances[*no].relay.address.to_string()).collect::<Vec<_>>().join(" ")
}

/// A scheduler's configuration; `fleet`: where it listens for peers, where they reach it, some peers.
fn text(
    plan: &ScenarioRun, no: usize, listen: &str, name: &str, list: &str,
    fleet: Option<(String, String, String)>,
) -> String {
    let (n, seed) = (plan.schedulers, plan.seed * 10_000 + no as u64);
    let mut out = format!("name {name}\nlisten {listen}\nlist {list}\ninstances {n}\nseed {seed}\n{CONFIG}");
    if let Some((listen, reached, peers)) = fleet {
        let _ = write!(
            out,
            "fleet {{\n  name {FLEET}\n  listen {listen}\n  reached-at {reached}\n  peers {peers}\n  hints {}\n{}}}\n",
            if plan.hints { "yes" } else { "no" },
            plan.directory.iter().map(|d| format!("  directory {d}\n")).collect::<String>()
        );
    }
    out
}

fn parsed(text: &str) -> std::io::Result<Config> {
    curlewpoint_config::parse("fleet.conf", text).map_err(|f| std::io::Error::other(f.to_string()))
}

/// A folder of its own for a play, under the system's for what is temporary.
pub fn temporary_folder(name: &str) -> PathBuf {
    Path::new(&std::env::temp_dir()).join(format!("curlewpoint-fleet-{name}-{}", std::process::id()))
}
