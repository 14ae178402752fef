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

use crate::calls::{call_repeatedly, CALL_KEY_BIT};
use crate::figures::{mean_cost, DirectoryFigures, Figures, SchedulingDelays, SpanCost, UsageSample};
use crate::forge::{run_misuse, send_invalid_frames, Misuse, MisuseSettings};
use crate::ports::Ports;
use crate::process::{Process, Program};
use crate::relay::{Effect, Relay, RelayContext, RelayEvent, Rules};
use crate::scenario::{
    Action, FaultEvent, FleetScenario, Limit, Party, IDLE_WORKER_PREFIX, SCHEDULER_CONFIG,
};

/// Settings for one run of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    pub program: Program,
    pub scenario: FleetScenario,
    pub schedulers: usize,
    pub seed: u64,
    /// Whether the schedulers form a fleet.
    pub peers: bool,
    /// Whether the members of the fleet exchange hints about functions at workers.
    pub hints: bool,
    /// The value of `directory` in their fleet block; `None` sends hints round the rings.
    pub directory: Option<String>,
    /// Directory of configurations and logs.
    pub folder: PathBuf,
}

/// Result of a run.
pub struct Outcome {
    pub figures: Figures,
    pub verdict: Verdict,
    /// Missed expectations, one line each.
    pub missed: Vec<String>,
}

const FLEET: &str = "play";
/// Number of seed peers in each configuration.
const SEED_PEERS: usize = 3;
/// Time within which a scheduler must end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after its return during which a scheduler that was killed or stopped stays excused from the rules.
const RECOVERY_GRACE: Time = Time(20_000);
const SECOND: Time = Time(10_000);

/// A scheduler of the run.
struct Instance {
    name: String,
    config: PathBuf,
    log: PathBuf,
    process: Option<Process>,
    /// The relay through which its peers reach it.
    relay: Relay,
}

enum Step {
    ApplyEvent(FaultEvent),
    RemoveRule(u64),
    Resume(Vec<usize>),
    StartScheduler(usize),
    Terminate(Vec<usize>, usize, Time),
    KillFirstRun(Box<Process>, String),
    RestartWorker(usize),
    SetLifecycle(usize, Lifecycle),
    /// Samples resource use at the start or the end of a measured span.
    SampleUsage(usize),
    /// Samples how long the schedulers waited for a core.
    SampleDelays,
}

struct Runner {
    settings: ScenarioRun,
    ports: Ports,
    context: RelayContext,
    rng: Rand64,
    list: TestListService,
    list_relay: Relay,
    store: TestStore,
    workers: Vec<TestWorker>,
    worker_relays: Vec<Relay>,
    starts: Vec<u64>,
    drained: BTreeSet<usize>,
    instances: Vec<Instance>,
    /// The schedulers chosen by the last random selection.
    last_chosen: BTreeSet<usize>,
    load: Load,
    steps: BTreeMap<(Time, u64), Step>,
    next_number: u64,
    /// Processes that are being started or restarted.
    starting: JoinSet<(usize, std::io::Result<Process>)>,
    /// Killed processes that will be restarted.
    ending: BTreeMap<usize, Process>,
    excused: Vec<(String, Time, Time)>,
    faults_end: Time,
    /// Tasks of forged peers, and of calls at all schedulers.
    forged_peers: JoinSet<()>,
    repeated_calls: JoinSet<()>,
    /// Forged peers whose links the schedulers must close.
    flooding_peers: JoinSet<()>,
    /// How long each scheduler waited for a core, second by second, and the total last read, with its process id.
    delays: SchedulingDelays,
    last_delays: BTreeMap<usize, (Option<u32>, Duration)>,
    /// Restarted schedulers, and when they were ready.
    restarted: Vec<(String, Time)>,
    all_started: bool,
    second_run_relays: Vec<Relay>,
    /// Resource use at the start and the end of each measured span.
    usage_samples: BTreeMap<usize, Vec<UsageSample>>,
}

fn lock_traffic(load: &Load) -> MutexGuard<'_, Traffic> {
    load.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a scenario with real processes. Dropping the future ends everything that it started.
pub async fn run(settings: ScenarioRun) -> std::io::Result<Outcome> {
    let mut runner = Runner::prepare(settings).await?;
    let began = runner.context.record.now();
    let mut stall_monitor = JoinSet::new();
    stall_monitor.spawn(runner.context.record.clone().watch_runtime_stalls());
    let clients = runner.start_all().await?;
    let schedulers_up = runner.context.record.now();
    runner.faults_end = schedulers_up;
    for event in runner.settings.scenario.events.clone() {
        let event_end = event.at + event.duration;
        runner.faults_end = runner.faults_end.max(schedulers_up + event_end);
        runner.schedule(event.at, Step::ApplyEvent(event));
    }
    for (index, span) in runner.settings.scenario.spans.clone().into_iter().enumerate() {
        runner.schedule(span.at, Step::SampleUsage(index));
        runner.schedule(span.at + span.duration, Step::SampleUsage(index));
    }
    let length = runner.settings.scenario.script.length;
    runner.schedule(Time(0), Step::SampleDelays);
    runner.run_steps(schedulers_up, length).await?;
    runner.finish(began, clients).await
}

impl Runner {
    async fn prepare(settings: ScenarioRun) -> std::io::Result<Runner> {
        std::fs::create_dir_all(&settings.folder)?;
        let record = Transcript::default();
        let context = RelayContext::new(Rules::default(), record.clone());
        let s = &settings.scenario.script;
        let any = "127.0.0.1:0";
        let spec = StoreSpec {
            parallel_fetches: s.store_parallel_fetches,
            overload_penalty: s.store_overload_penalty,
            max_fetches: s.store_max_fetches,
        };
        let store = TestStore::start(any, &record, spec).await?;
        let list = TestListService::start(any, &record, s.list_delay).await?;
        let list_relay =
            Relay::start("list", Some(list.address), settings.scenario.list_accept_rate, &context).await?;
        let config =
            parse_config(&scheduler_config(&settings, 0, any, any, &list_relay.address.to_string(), None))?;
        let spec = s.worker_spec(&config);
        let method_costs = s.method_costs();
        let (mut workers, mut worker_relays) = (Vec::new(), Vec::new());
        for index in 0..s.workers {
            let (name, seed) = (format!("w-{index:03}"), settings.seed * 1000 + index as u64);
            let method_costs = Arc::clone(&method_costs);
            let worker =
                TestWorker::start(any, &name, &record, spec, method_costs, store.address, seed).await?;
            if settings.scenario.cold {
                worker.kill();
                worker.start_process(true);
            }
            worker_relays.push(Relay::start(&name, Some(worker.address), None, &context).await?);
            workers.push(worker);
        }
        let n = settings.schedulers;
        let mut free_ports = Ports::new(settings.seed);
        let ports = free_ports.take(2 * n)?;
        let mut instances = Vec::new();
        for index in 0..n {
            let name = format!("front-{index}");
            let at = SocketAddr::from(([127, 0, 0, 1], ports[n + index]));
            let relay = Relay::start(&name, Some(at), None, &context).await?;
            let config = settings.folder.join(format!("{name}.conf"));
            let log = settings.folder.join(format!("{name}.log"));
            instances.push(Instance { name, config, log, process: None, relay });
        }
        let at = |port: u16| format!("127.0.0.1:{port}");
        let peers = seed_peers(&instances);
        for (index, i) in instances.iter().enumerate() {
            let fleet = (at(ports[n + index]), i.relay.address.to_string(), peers.clone());
            let list = list_relay.address.to_string();
            let fleet = settings.peers.then_some(fleet);
            let text = scheduler_config(&settings, index, &at(ports[index]), &i.name, &list, fleet);
            // The given settings may be invalid; they are the same for all instances.
            if index == 0 {
                parse_config(&text)?;
            }
            std::fs::write(&i.config, text)?;
        }
        let load = Traffic {
            rate_factor: 1.0,
            shares: vec![1.0 / n as f64; n],
            scan_share: 0.0,
            addresses: (0..n).map(|index| SocketAddr::from(([127, 0, 0, 1], ports[index]))).collect(),
            finished: false,
        };
        let runner = Runner {
            rng: Rand64::new(u128::from(settings.seed)),
            starts: vec![1; workers.len()],
            context,
            list,
            list_relay,
            store,
            workers,
            worker_relays,
            drained: BTreeSet::new(),
            instances,
            last_chosen: BTreeSet::new(),
            load: Arc::new(Mutex::new(load)),
            steps: BTreeMap::new(),
            next_number: 0,
            starting: JoinSet::new(),
            ending: BTreeMap::new(),
            excused: Vec::new(),
            faults_end: Time(0),
            forged_peers: JoinSet::new(),
            repeated_calls: JoinSet::new(),
            flooding_peers: JoinSet::new(),
            delays: SchedulingDelays::new(),
            last_delays: BTreeMap::new(),
            restarted: Vec::new(),
            all_started: false,
            second_run_relays: Vec::new(),
            usage_samples: BTreeMap::new(),
            ports: free_ports,
            settings,
        };
        for index in 0..runner.workers.len() {
            let since = runner.settings.scenario.cold.then(|| runner.context.record.now());
            runner.list_worker(index, Lifecycle::Ready, since);
        }
        for index in 0..runner.settings.scenario.idle_rows {
            // Names and addresses have the length of those in a deployment.
            let (name, address) = (
                format!("{IDLE_WORKER_PREFIX}{index:06}.zone-{:02}", index % 16),
                "10.111.122.133:7100".to_owned(),
            );
            let (zone, cell) = (format!("zone-{:02}", index % 16), format!("cell-{:02}", index % 64));
            let lifecycle = Lifecycle::Draining;
            runner.list.set_entry(
                &name,
                ListEntry { address, lifecycle, start_id: 1, started_at: None, zone, cell, size: 1.0 },
            );
        }
        Ok(runner)
    }

    fn list_worker(&self, index: usize, lifecycle: Lifecycle, since: Option<Time>) {
        let s = &self.settings.scenario.script;
        let cell = index * s.cells / s.workers;
        let (zone, cell) = (format!("zone-{}", cell % s.zones), format!("cell-{cell}"));
        let (address, start) = (self.worker_relays[index].address.to_string(), self.starts[index]);
        self.list.set_entry(
            &self.workers[index].name,
            ListEntry { address, lifecycle, start_id: start, started_at: since, zone, cell, size: 1.0 },
        );
    }

    /// Starts all schedulers at once with their clients, and waits until they are up.
    async fn start_all(&mut self) -> std::io::Result<JoinSet<()>> {
        let mut clients = JoinSet::new();
        let config = parse_config(&std::fs::read_to_string(&self.instances[0].config)?)?;
        for index in 0..self.instances.len() {
            let (record, load) = (self.context.record.clone(), Arc::clone(&self.load));
            let mut script = self.settings.scenario.script.clone();
            script.seed = self.settings.seed;
            clients.spawn(generate_load(index, ClientProtocol::Native, record, load, script, config.clone()));
            self.start(index);
        }
        while let Some(started) = self.starting.join_next().await {
            self.scheduler_started(started)?;
        }
        self.all_started = true;
        Ok(clients)
    }

    fn start(&mut self, index: usize) {
        let (program, i) = (self.settings.program.clone(), &self.instances[index]);
        let (config, log) = (i.config.clone(), i.log.clone());
        let before = self.ending.remove(&index);
        self.starting.spawn(async move {
            // The previous process keeps its sockets until it has ended.
            if let Some(mut before) = before {
                before.wait_for_exit(STOP_TIMEOUT).await;
            }
            (index, program.serve(&config, &log).await)
        });
    }

    fn scheduler_started(
        &mut self, started: Result<(usize, std::io::Result<Process>), tokio::task::JoinError>,
    ) -> std::io::Result<()> {
        let (index, process) = started.map_err(std::io::Error::other)?;
        let at =
            process.map_err(|e| std::io::Error::other(format!("{}: {e}", self.instances[index].name)))?;
        lock_traffic(&self.load).addresses[index] = at.address;
        self.instances[index].process = Some(at);
        if self.all_started {
            self.restarted.push((self.instances[index].name.clone(), self.context.record.now()));
        }
        Ok(())
    }

    fn schedule(&mut self, at: Time, step: Step) {
        self.next_number += 1;
        self.steps.insert((at, self.next_number), step);
    }

    async fn run_steps(&mut self, schedulers_up: Time, length: Time) -> std::io::Result<()> {
        loop {
            let next = self.steps.first_key_value().map_or(length, |(&(at, _), _)| at);
            let until = self.context.record.instant(schedulers_up + next.min(length));
            tokio::select! {
                Some(started) = self.starting.join_next() => self.scheduler_started(started)?,
                () = sleep_until(until.into()) => match self.steps.pop_first() {
                    Some(((at, _), step)) if at < length => self.execute(at, step).await?,
                    _ => return Ok(()),
                },
            }
        }
    }

    /// Chooses a random part of `all`, at least one.
    fn choose(&mut self, mut all: Vec<usize>, part: f64) -> Vec<usize> {
        for i in (1..all.len()).rev() {
            all.swap(i, self.rng.rand_range(0..i as u64 + 1) as usize);
        }
        let n = (all.len() as f64 * part).round() as usize;
        all.truncate(n.clamp(1.min(all.len()), all.len()));
        all
    }

    /// Resolves the schedulers that an event names.
    fn schedulers(&mut self, party: Party, part: f64) -> Vec<usize> {
        let all: Vec<usize> = (0..self.instances.len()).collect();
        match party {
            Party::Others => all.into_iter().filter(|index| !self.last_chosen.contains(index)).collect(),
            Party::Watchers => self.watchers(),
            _ => {
                let chosen = self.choose(all, part);
                self.last_chosen = chosen.iter().copied().collect();
                chosen
            }
        }
    }

    /// The schedulers connected to the list service, according to its relay.
    fn watchers(&self) -> Vec<usize> {
        let mut open: BTreeMap<Arc<str>, i64> = BTreeMap::new();
        for (_, from, to, event) in self.context.log.all() {
            if &*to == "list" {
                match event {
                    RelayEvent::Dialled => *open.entry(from).or_default() += 1,
                    RelayEvent::Ended => *open.entry(from).or_default() -= 1,
                    RelayEvent::Frame { .. } => {}
                }
            }
        }
        let watches = |i: &Instance| open.get(i.name.as_str()).is_some_and(|n| *n > 0);
        (0..self.instances.len()).filter(|index| watches(&self.instances[*index])).collect()
    }

    fn party_names(&mut self, party: Party, part: f64) -> BTreeSet<String> {
        match party {
            Party::List => BTreeSet::from(["list".to_owned()]),
            Party::Workers => {
                let all = (0..self.workers.len()).collect();
                self.choose(all, part).into_iter().map(|index| self.workers[index].name.clone()).collect()
            }
            party => self
                .schedulers(party, part)
                .into_iter()
                .map(|index| self.instances[index].name.clone())
                .collect(),
        }
    }

    fn excuse(&mut self, index: usize, until: Time) {
        let now = self.context.record.now();
        let name = self.instances[index].name.clone();
        self.excused.push((name.clone(), now, until + RECOVERY_GRACE));
        self.context
            .record
            .add(TranscriptEvent::Suspended { component: name, until: until + RECOVERY_GRACE });
    }

    async fn execute(&mut self, at: Time, step: Step) -> std::io::Result<()> {
        match step {
            Step::ApplyEvent(event) => self.apply_event(at, event).await?,
            Step::RemoveRule(rule) => self.context.rules.remove(rule),
            Step::Resume(all) => all.iter().for_each(|index| self.signal(*index, Signal::CONT)),
            Step::StartScheduler(index) => self.start(index),
            Step::Terminate(mut remaining, batch, every) => {
                for index in remaining.drain(..batch.min(remaining.len())) {
                    self.terminate(index);
                }
                if !remaining.is_empty() {
                    self.schedule(at + every, Step::Terminate(remaining, batch, every));
                }
            }
            Step::KillFirstRun(process, name) => {
                process.signal(Signal::KILL);
                let until = self.context.record.now() + RECOVERY_GRACE;
                self.context.record.add(TranscriptEvent::Suspended { component: name, until });
            }
            Step::RestartWorker(index) => {
                self.workers[index].start_process(true);
                self.starts[index] += 1;
                self.list_worker(index, Lifecycle::Ready, Some(self.context.record.now()));
            }
            Step::SetLifecycle(index, lifecycle) => {
                self.list.set_lifecycle(&self.workers[index].name, lifecycle)
            }
            Step::SampleUsage(index) => {
                let sample = self.sample_usage();
                self.usage_samples.entry(index).or_default().push(sample);
            }
            Step::SampleDelays => {
                self.sample_delays();
                self.schedule(at + SECOND, Step::SampleDelays);
            }
        }
        Ok(())
    }

    /// Samples how long each scheduler waited for a core since the last sample.
    fn sample_delays(&mut self) {
        let now = self.context.record.now();
        for (index, i) in self.instances.iter().enumerate() {
            let Some((id, all)) =
                i.process.as_ref().and_then(|p| Some((p.usage()?.id, p.run_queue_delay()?)))
            else {
                continue;
            };
            let (previous_id, previous) = self.last_delays.insert(index, (Some(id), all)).unwrap_or_default();
            let added = if previous_id == Some(id) { all.saturating_sub(previous) } else { all };
            self.delays.entry(i.name.clone()).or_default().push((now, added));
        }
    }

    /// Samples the resource use of all instances.
    fn sample_usage(&self) -> UsageSample {
        let usage = self.instances.iter().map(|i| i.process.as_ref().and_then(Process::usage)).collect();
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let load = load.split(' ').next().and_then(|l| l.parse().ok()).unwrap_or_default();
        UsageSample { at: self.context.record.now(), usage, load }
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(process) = &self.instances[index].process {
            process.signal(signal);
        }
    }

    /// Ends a scheduler by SIGTERM and restarts it.
    fn terminate(&mut self, index: usize) {
        let Some(mut process) = self.instances[index].process.take() else { return };
        self.excuse(index, self.context.record.now());
        let (program, i) = (self.settings.program.clone(), &self.instances[index]);
        let (config, log) = (i.config.clone(), i.log.clone());
        self.starting.spawn(async move {
            process.signal(Signal::TERM);
            process.wait_for_exit(STOP_TIMEOUT).await;
            (index, program.serve(&config, &log).await)
        });
    }

    async fn apply_event(&mut self, at: Time, e: FaultEvent) -> std::io::Result<()> {
        let now = self.context.record.now();
        let end = at + e.duration;
        self.context.record.add(TranscriptEvent::Scripted { description: format!("{e:?}") });
        match e.action {
            Action::Cut | Action::Delay | Action::Slow => {
                let effect = match e.action {
                    Action::Cut => Effect::Cut,
                    Action::Delay => Effect::Delay(Duration::from_micros(e.every.0 * 100)),
                    _ => Effect::Slow(e.size),
                };
                let first = self.party_names(e.party, e.part);
                let second = self.party_names(e.from.unwrap_or(Party::List), 1.0);
                self.next_number += 2;
                let (to_first, to_second) = (self.next_number, self.next_number - 1);
                self.context.rules.set(to_first, second.clone(), first.clone(), effect);
                self.schedule(end, Step::RemoveRule(to_first));
                if !e.one_way {
                    self.context.rules.set(to_second, first, second, effect);
                    self.schedule(end, Step::RemoveRule(to_second));
                }
            }
            Action::Reset => {
                let first = self.party_names(e.party, e.part);
                let second = self.party_names(e.from.unwrap_or(Party::List), 1.0);
                self.context.rules.reset(&first, &second);
            }
            Action::Kill => {
                for index in self.schedulers(e.party, e.part) {
                    let Some(process) = self.instances[index].process.take() else { continue };
                    self.excuse(index, now + e.duration);
                    process.signal(Signal::KILL);
                    self.ending.insert(index, process);
                    self.schedule(end, Step::StartScheduler(index));
                }
            }
            Action::Stop => {
                let all = self.schedulers(e.party, e.part);
                for index in &all {
                    self.excuse(*index, now + e.duration);
                    self.signal(*index, Signal::STOP);
                }
                self.schedule(end, Step::Resume(all));
            }
            Action::Term => {
                let all = self.schedulers(e.party, e.part);
                let step = ((self.instances.len() as f64 * e.size).round() as usize).max(1);
                self.faults_end =
                    self.faults_end.max(now + Time(e.every.0 * all.len().div_ceil(step) as u64));
                self.schedule(at, Step::Terminate(all, step, e.every));
            }
            Action::Again => {
                for index in self.schedulers(e.party, e.part) {
                    self.start_second_run(index, end).await?;
                }
            }
            Action::Forge => {
                for index in self.schedulers(e.party, e.part) {
                    let at = self.instances[index].relay.address;
                    self.forged_peers.spawn(send_invalid_frames(at, FLEET));
                }
            }
            Action::Flood | Action::Lie | Action::Deaf => {
                let misuse = match e.action {
                    Action::Flood => Misuse::Flood,
                    Action::Lie => Misuse::Lie,
                    _ => Misuse::Deaf,
                };
                for index in self.schedulers(e.party, e.part) {
                    self.next_number += 1;
                    let (at, settings) = (self.instances[index].relay.address, self.misuse_settings(&e));
                    let name = format!("forger-{}", self.next_number);
                    let tasks = if misuse == Misuse::Flood {
                        &mut self.flooding_peers
                    } else {
                        &mut self.forged_peers
                    };
                    tasks.spawn(async move { run_misuse(at, FLEET, &name, misuse, settings).await });
                }
            }
            Action::Call => {
                let method =
                    self.settings.scenario.script.methods.iter().max_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
                let method = method.map_or(String::new(), |m| m.0.clone());
                for index in self.schedulers(e.party, e.part) {
                    self.next_number += 1;
                    let (key, every) = (CALL_KEY_BIT | self.next_number << 32, e.every);
                    let (load, record) = (Arc::clone(&self.load), self.context.record.clone());
                    let (name, method) = (self.instances[index].name.clone(), method.clone());
                    let model = format!("called-{}", at.0);
                    self.repeated_calls.spawn(async move {
                        let address = || lock_traffic(&load).addresses[index];
                        call_repeatedly(record, address, &name, (&method, &model), key, every, e.duration)
                            .await;
                    });
                }
            }
            Action::Drain | Action::Die | Action::Restart => {
                let remaining =
                    (0..self.workers.len()).filter(|index| !self.drained.contains(index)).collect();
                for index in self.choose(remaining, e.part) {
                    self.drained.insert(index);
                    if e.action == Action::Drain {
                        self.list.set_lifecycle(&self.workers[index].name, Lifecycle::Draining);
                        continue;
                    }
                    self.workers[index].kill();
                    self.schedule(at + Time(10_000), Step::SetLifecycle(index, Lifecycle::Gone));
                    self.schedule(end.max(at + Time(10_001)), Step::RestartWorker(index));
                }
            }
            Action::ListDown => self.list.down_until(now + e.duration),
        }
        Ok(())
    }

    /// Settings of a forged peer: the scenario's functions and workers, its rate and its duration.
    fn misuse_settings(&mut self, e: &FaultEvent) -> MisuseSettings {
        let functions =
            (0..self.settings.scenario.script.models).map(|index| id_of(&format!("model-{index}"))).collect();
        let workers = self.workers.iter().map(|w| id_of(&w.name)).collect();
        let duration = Duration::from_micros(e.duration.0 * 100);
        MisuseSettings { functions, workers, rate: e.size, duration, seed: self.rng.rand_u64() }
    }

    /// Starts a second run under the same name on other ports. The first keeps running and is killed later.
    async fn start_second_run(&mut self, index: usize, end: Time) -> std::io::Result<()> {
        let Some(old) = self.instances[index].process.take() else { return Ok(()) };
        let ports = self.ports.take(2)?;
        let at = |port: u16| format!("127.0.0.1:{port}");
        let name = self.instances[index].name.clone();
        let target = SocketAddr::from(([127, 0, 0, 1], ports[1]));
        let relay = Relay::start(&name, Some(target), None, &self.context).await?;
        let fleet = (at(ports[1]), relay.address.to_string(), seed_peers(&self.instances));
        let list = self.list_relay.address.to_string();
        let config = self.settings.folder.join(format!("{name}-again.conf"));
        let fleet = self.settings.peers.then_some(fleet);
        std::fs::write(&config, scheduler_config(&self.settings, index, &at(ports[0]), &name, &list, fleet))?;
        self.instances[index].config = config;
        self.second_run_relays.push(relay);
        self.excuse(index, self.context.record.now());
        self.start(index);
        self.schedule(end, Step::KillFirstRun(Box::new(old), name));
        Ok(())
    }

    /// Stops the load, ends the schedulers by SIGTERM, and judges the run.
    async fn finish(mut self, began: Time, mut clients: JoinSet<()>) -> std::io::Result<Outcome> {
        let end = self.context.record.now();
        lock_traffic(&self.load).finished = true;
        while let Some(started) = self.starting.join_next().await {
            self.scheduler_started(started)?;
        }
        while self.flooding_peers.try_join_next().is_some() {}
        let flooding_peers = self.flooding_peers.len();
        let (mut costs, mut ends) = (Vec::new(), JoinSet::new());
        for i in &mut self.instances {
            let Some(mut process) = i.process.take() else { continue };
            costs.extend(process.usage().map(|u| (u.cpu_time, u.peak_kib)));
            let name = i.name.clone();
            ends.spawn(async move {
                process.signal(Signal::TERM);
                (name, process.wait_for_exit(STOP_TIMEOUT).await)
            });
        }
        let mut missed = Vec::new();
        if flooding_peers > 0 {
            missed.push(format!("{flooding_peers} links with too many rows in a frame were not ended"));
        }
        while let Some(ended) = ends.join_next().await {
            match ended {
                Ok((name, Some((code, last)))) if code != 0 => {
                    missed.push(format!("{name} ended with {code}: {last}"))
                }
                Ok((name, None)) => {
                    missed.push(format!("{name} did not end within {STOP_TIMEOUT:?} of a SIGTERM"))
                }
                _ => {}
            }
        }
        while clients.join_next().await.is_some() {}
        while self.repeated_calls.join_next().await.is_some() {}
        let s = &self.settings.scenario.script;
        let mut terms =
            RuleParameters::from_config(&parse_config(&std::fs::read_to_string(&self.instances[0].config)?)?);
        for (index, w) in self.workers.iter().enumerate() {
            let cell = index * s.cells / s.workers;
            terms.groups.insert(w.name.clone(), (format!("cell-{cell}"), format!("zone-{}", cell % s.zones)));
            terms.capacity.insert(w.name.clone(), s.cores);
        }
        terms.work = s.methods.iter().map(|(m, (_, t))| (m.clone(), t.work_ms)).collect();
        let (seen, log) = (self.context.record.events(), self.context.log.all());
        let verdict = check_rules(&terms, &seen);
        let n = self.instances.len();
        let mut figures = Figures::collect(&log, &seen, began, self.faults_end, end, n, &self.excused);
        let budget =
            self.settings.directory.as_deref().map(bytes).transpose().map_err(std::io::Error::other)?;
        figures.directory = DirectoryFigures::collect(&log, &seen, budget, &self.delays, end, &self.excused);
        figures.add_restarts(&seen, &self.restarted, &self.delays);
        figures.add_called_function(&seen);
        let lived = Duration::from_micros((end - began).0 * 100);
        figures.mean_cost = mean_cost(&costs, lived);
        for (index, span) in self.settings.scenario.spans.iter().enumerate() {
            if let Some([from, to]) = self.usage_samples.get(&index).map(Vec::as_slice) {
                figures.spans.push(SpanCost::measure(&span.name, from, to, &log, &seen, self.workers.len()));
            }
        }
        (figures.refused_fetches, figures.fetches) =
            (self.store.rejected_fetches(), self.store.requested_fetches());
        missed.extend(figures.directory.over_limit.as_ref().map(|s| s.describe(began)));
        for (limit, limit_value) in &self.settings.scenario.limits {
            missed.extend(exceeded(*limit, *limit_value, &figures, self.settings.peers));
        }
        Ok(Outcome { figures, verdict, missed })
    }
}

/// Describes a figure above its limit. Without peers there are no heartbeats and each scheduler watches the list itself, so
/// nothing is reported.
fn exceeded(limit: Limit, limit_value: f64, f: &Figures, peers: bool) -> Option<String> {
    let ms = |t: Option<Time>| t.map_or(f64::MAX, Time::ms);
    let value = match limit {
        Limit::ListConnections => f.list_connections as f64,
        Limit::WholeLists => f.full_lists as f64,
        Limit::Told => ms(f.drain_spread),
        Limit::Alike => ms(f.converged_after),
        Limit::Serves => {
            f.first_ok_after_restart.as_ref().map_or(0.0, |all| all.last().map_or(0.0, |t| ms(*t)))
        }
        Limit::Called => f.called_ok.map_or(0.0, |at| ms(at[1])),
        Limit::Unanswered => f.directory.unanswered_share() * 100.0,
        Limit::Younger => f.directory.max_age_error.ms(),
    };
    let name = Limit::ALL.iter().find(|l| l.1 == limit).map_or("", |l| l.0);
    let shown = if value == f64::MAX { "never".to_owned() } else { format!("{value:.0}") };
    (peers && value > limit_value).then(|| format!("{name}: {shown}, at most {limit_value:.0} expected"))
}

fn seed_peers(instances: &[Instance]) -> String {
    let n = instances.len();
    let seeds: BTreeSet<usize> = (0..SEED_PEERS).map(|k| k * n / SEED_PEERS).collect();
    seeds.iter().map(|index| instances[*index].relay.address.to_string()).collect::<Vec<_>>().join(" ")
}

/// Text of a scheduler's configuration. `fleet`: its listen address for peers, the address at which they reach it, and its
/// seed peers.
fn scheduler_config(
    settings: &ScenarioRun, index: usize, listen: &str, name: &str, list: &str,
    fleet: Option<(String, String, String)>,
) -> String {
    let (n, seed) = (settings.schedulers, settings.seed * 10_000 + index as u64);
    let mut out =
        format!("name {name}\nlisten {listen}\nlist {list}\ninstances {n}\nseed {seed}\n{SCHEDULER_CONFIG}");
    if let Some((listen, reached, peers)) = fleet {
        let _ = write!(
            out,
            "fleet {{\n  name {FLEET}\n  listen {listen}\n  reached-at {reached}\n  peers {peers}\n  hints {}\n{}}}\n",
            if settings.hints { "yes" } else { "no" },
            settings.directory.iter().map(|d| format!("  directory {d}\n")).collect::<String>()
        );
    }
    out
}

fn parse_config(text: &str) -> std::io::Result<Config> {
    curlewpoint_config::parse("fleet.conf", text).map_err(|f| std::io::Error::other(f.to_string()))
}

/// Path of this process's own directory for a run, in the system's temporary directory.
pub fn temporary_folder(name: &str) -> PathBuf {
    Path::new(&std::env::temp_dir()).join(format!("curlewpoint-fleet-{name}-{}", std::process::id()))
}
