//! One soak run: starts the processes and test servers, performs events and checks the recorded traffic.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use oorandom::Rand64;
use rustix::process::Signal;
use serde_json::{json, Value};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::client::Clients;
use crate::directory::{wall_ms, Directory, DirectoryServer, Row};
use crate::judge::{judge, Verdict};
use crate::lateness::{LatenessMonitor, MAX_LATENESS};
use crate::ledger::{Ledger, ProcessRun, RunId};
use crate::plan::{Plan, LIMITS};
use crate::process::{Process, Program};
use crate::worker::{Worker, WorkerState};

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    pub verdict: Verdict,
    pub requests: usize,
    pub served: usize,
    pub starts: usize,
    /// Reasons why the run does not count; empty if it does.
    pub harness_errors: Vec<String>,
    pub folder: PathBuf,
}

/// Time from the drain of a worker to its end.
const DRAIN_TIME: Duration = Duration::from_millis(1_400);
/// Where faults are long, up to this much longer, so that it can still receive what is sent to it too late.
const MAX_LONG_DRAIN_MS: u64 = 6_000;
/// Time from the end of a worker to its restart.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Time for the answers of requests that are open at the end of a run.
const FINAL_WAIT: Duration = Duration::from_millis(2_600);
/// Maximum time between SIGSTOP and SIGCONT, in addition to 20 ms.
const MAX_STOPPED_MS: u64 = 250;
/// Range of the time between SIGSTOP and SIGCONT where faults are long.
const LONG_STOP_MS: (u64, u64) = (1_200, 3_500);
/// A worker drains up to this long after such a SIGSTOP.
const MAX_DRAIN_DELAY_MS: u64 = 500;
/// Range of the directory's silence where faults are long.
const LONG_SILENCE_MS: (u64, u64) = (3_000, 9_000);
/// Maximum number of consecutive reloads.
const MAX_RELOADS: u64 = 6;
/// Maximum pause between two of them.
const MAX_RELOAD_PAUSE_MS: u64 = 80;
/// Time to wait for the end of a process after SIGKILL.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

struct Node {
    index: usize,
    starts: usize,
    process: Option<Process>,
    startup_config: Value,
    file: PathBuf,
    log: PathBuf,
    address: SocketAddr,
    directory_servers: Vec<AbortHandle>,
}

struct Run<'a> {
    plan: &'a Plan,
    program: &'a Program,
    ledger: Arc<Ledger>,
    directory: Arc<Directory>,
    workers: Vec<Arc<Worker>>,
    /// For each process, the addresses of the workers.
    addresses: Vec<Vec<SocketAddr>>,
    current_runs: Arc<Mutex<BTreeMap<usize, usize>>>,
    nodes: Vec<Node>,
    rng: Rand64,
    name_count: usize,
}

fn settings(plan: &Plan) -> Value {
    let longest = LIMITS.longest_deadline.as_millis() as u64;
    let method = |name: &str, effect: &str| json!({"name": name, "effect": effect, "group": "all", "aim": 500.0, "giveUp": longest, "gain": 1.0});
    json!({
        "instances": plan.processes, "tenants": [],
        "requestClasses": [method("read", "read_like"), method("issue", "once")],
        "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true, "probes": true},
        "loadInfo": {"how": "pull", "names": ["outstanding", "utilization"]},
        "contract": {"answerSlack": 16.0, "drainGrace": LIMITS.drain_grace.as_millis() as u64, "warmWithin": 1500.0, "fall": 500.0,
            "fallMultiple": 2.0, "startCapacity": 0.3},
        "familyInfo": {"keepAlive": 8000.0, "whenAbsent": if plan.answers_misses { "miss" } else { "load" }, "mayOrder": true,
            "loadFloor": LIMITS.order_floor, "loadShare": LIMITS.order_share,
            "loadsWithin": LIMITS.order_window.as_millis() as u64, "orderLimit": 4000.0},
    })
}

impl Run<'_> {
    fn below(&mut self, n: u64) -> u64 {
        self.rng.rand_range(0..n.max(1))
    }

    fn new_name(&mut self) -> String {
        self.name_count += 1;
        format!("s-{:08x}", self.name_count)
    }

    fn run_id(&self, index: usize) -> RunId {
        (index, self.nodes[index].starts)
    }

    fn update_run(&self, index: usize, change: impl FnOnce(&mut ProcessRun)) {
        if let Some(run) = self.ledger.lock().process_runs.get_mut(&self.run_id(index)) {
            change(run);
        }
    }

    /// Starts a directory server for one process at a new address.
    async fn start_directory_server(&mut self, index: usize) -> std::io::Result<SocketAddr> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let at = socket.local_addr()?;
        let seed = u128::from(self.rng.rand_u64());
        let server = DirectoryServer {
            directory: Arc::clone(&self.directory),
            ledger: Arc::clone(&self.ledger),
            run: self.run_id(index),
            addresses: self.addresses[index].clone(),
            faults: self.plan.directory,
            rng: Rand64::new(seed),
        };
        self.nodes[index].directory_servers.push(tokio::spawn(server.serve(socket)).abort_handle());
        Ok(at)
    }

    async fn start(&mut self, index: usize) -> std::io::Result<()> {
        self.nodes[index].starts += 1;
        self.nodes[index].directory_servers.drain(..).for_each(|before| before.abort());
        let resolver = self.start_directory_server(index).await?;
        let (list, seed) = (self.directory.list(), self.rng.rand_u64());
        let id = self.run_id(index);
        self.current_runs.lock().unwrap_or_else(PoisonError::into_inner).insert(index, id.1);
        let addresses = &self.addresses[index];
        let node = &mut self.nodes[index];
        node.startup_config["known"] = list.to_startup_json(addresses);
        node.startup_config["resolver"] = json!(resolver.to_string());
        node.startup_config["seed"] = json!(format!("{seed:x}"));
        std::fs::write(&node.file, node.startup_config.to_string())?;
        let (terminated, killed, ended, suspended) = Default::default();
        let started = ProcessRun { started: Instant::now(), terminated, killed, ended, suspended };
        self.ledger.lock().process_runs.insert(id, started);
        self.directory.record_notified(&self.ledger, id, &list);
        let started = self.program.start(&node.file, &node.log, &self.plan.system_calls).await;
        let (process, address) = started?;
        (node.process, node.address) = (Some(process), address);
        // The process keeps its port when it is restarted.
        node.startup_config["listen"] = json!(address.to_string());
        Ok(())
    }

    fn signal(&self, index: usize, signal: Signal) {
        self.nodes[index].process.iter().for_each(|process| process.signal(signal));
    }

    /// Waits for the end of a process and starts it again.
    async fn restart_after_exit(&mut self, index: usize) -> std::io::Result<()> {
        let Some(mut process) = self.nodes[index].process.take() else { return self.start(index).await };
        let end = process.wait(EXIT_TIMEOUT).await;
        self.update_run(index, |run| run.ended = Some((Instant::now(), end.flatten())));
        self.start(index).await
    }

    /// Sends SIGTERM, and SIGKILL at the earliest time that the platform allows, and restarts the process. Clients continue
    /// meanwhile.
    async fn restart(&mut self, index: usize) -> std::io::Result<()> {
        self.update_run(index, |run| run.terminated = Some(Instant::now()));
        self.signal(index, Signal::TERM);
        if self.below(3) == 0 {
            self.signal(index, Signal::HUP);
            self.signal(index, Signal::TERM);
        }
        let until_killed = LIMITS.longest_deadline + LIMITS.kill_after;
        let ended = match &mut self.nodes[index].process {
            Some(process) => process.wait(until_killed).await,
            None => None,
        };
        if let Some(code) = ended {
            self.update_run(index, |run| run.ended = Some((Instant::now(), code)));
            self.nodes[index].process = None;
            return self.start(index).await;
        }
        self.update_run(index, |run| run.killed = Some(Instant::now()));
        self.signal(index, Signal::KILL);
        self.restart_after_exit(index).await
    }

    async fn kill(&mut self, index: usize) -> std::io::Result<()> {
        self.update_run(index, |run| run.killed = Some(Instant::now()));
        self.signal(index, Signal::KILL);
        self.restart_after_exit(index).await
    }

    /// Reloads the process several times, each time with the directory at a new address or the same.
    async fn reload(&mut self, index: usize) -> std::io::Result<()> {
        for _ in 0..1 + self.below(MAX_RELOADS) {
            if self.below(3) > 0 {
                let at = self.start_directory_server(index).await?;
                self.nodes[index].startup_config["resolver"] = json!(at.to_string());
            }
            let node = &self.nodes[index];
            std::fs::write(&node.file, node.startup_config.to_string())?;
            self.signal(index, Signal::HUP);
            sleep(Duration::from_millis(self.below(MAX_RELOAD_PAUSE_MS))).await;
        }
        Ok(())
    }

    async fn pause(&mut self, index: usize) {
        self.signal(index, Signal::STOP);
        sleep(Duration::from_millis(20 + self.below(MAX_STOPPED_MS))).await;
        self.signal(index, Signal::CONT);
    }

    /// Suspends a process for seconds, while a worker drains.
    async fn suspend(&mut self, index: usize) {
        let stop = LONG_STOP_MS.0 + self.below(LONG_STOP_MS.1 - LONG_STOP_MS.0);
        let until_drain = Duration::from_millis(self.below(MAX_DRAIN_DELAY_MS));
        let from = Instant::now();
        self.signal(index, Signal::STOP);
        sleep(until_drain).await;
        self.restart_worker();
        sleep(Duration::from_millis(stop).saturating_sub(until_drain)).await;
        self.update_run(index, |run| run.suspended.push((from, Instant::now())));
        self.signal(index, Signal::CONT);
    }

    fn silence_for_long(&mut self) {
        let span = LONG_SILENCE_MS.0 + self.below(LONG_SILENCE_MS.1 - LONG_SILENCE_MS.0);
        self.directory.silence(Duration::from_millis(span));
    }

    /// Drains and ends a worker, and restarts it at the same address.
    fn restart_worker(&mut self) {
        if self.directory.ready_count() < 3 {
            return;
        }
        let worker = self.below(self.plan.workers as u64) as usize;
        let next = self.new_name();
        let longer = if self.plan.long_faults { self.below(MAX_LONG_DRAIN_MS) } else { 0 };
        let drain_time = DRAIN_TIME + Duration::from_millis(longer);
        let (directory, test_worker) = (Arc::clone(&self.directory), Arc::clone(&self.workers[worker]));
        if directory.list().rows.iter().any(|row| row.worker == worker && row.draining) {
            return;
        }
        test_worker.is_draining.store(true, Ordering::Release);
        directory.change(|rows| {
            rows.iter_mut().filter(|row| row.worker == worker).for_each(|row| row.draining = true)
        });
        tokio::spawn(async move {
            sleep(drain_time).await;
            test_worker.state.send_replace(WorkerState::Dead);
            directory.change(|rows| rows.retain(|row| row.worker != worker));
            sleep(DOWN_TIME).await;
            test_worker.restart(&next);
            directory
                .change(|rows| rows.push(Row { name: next, worker, draining: false, started_ms: wall_ms() }));
        });
    }

    /// Puts a worker into a failed state for a while.
    fn fail_worker(&mut self, failure: WorkerState) {
        let worker = self.below(self.plan.workers as u64) as usize;
        let test_worker = Arc::clone(&self.workers[worker]);
        let span = Duration::from_millis(200 + self.below(1_200));
        if *test_worker.state.borrow() != WorkerState::Healthy {
            return;
        }
        test_worker.state.send_replace(failure);
        tokio::spawn(async move {
            sleep(span).await;
            test_worker.state.send_if_modified(|now| {
                let unchanged = *now == failure;
                if unchanged {
                    *now = WorkerState::Healthy;
                }
                unchanged
            });
        });
    }

    async fn event(&mut self) -> std::io::Result<()> {
        let index = self.below(self.nodes.len() as u64) as usize;
        match self.below(if self.plan.long_faults { 13 } else { 10 }) {
            10 | 11 => self.suspend(index).await,
            12 => self.silence_for_long(),
            0..=2 => self.restart_worker(),
            3 => self.reload(index).await?,
            4 => self.restart(index).await?,
            5 => self.kill(index).await?,
            6 => self.pause(index).await,
            7 => {
                let span = Duration::from_millis(300 + self.below(1_500));
                self.directory.silence(span);
            }
            8 => self.fail_worker(WorkerState::Hanging),
            _ => {
                self.signal(index, Signal::USR1);
                self.restart_worker();
                self.reload(index).await?;
            }
        }
        Ok(())
    }
}

/// Runs a plan with the program. The folder keeps the logs and startup configurations of the processes.
pub async fn run(plan: &Plan, program: &Program, folder: &Path) -> std::io::Result<Report> {
    std::fs::create_dir_all(folder)?;
    let (ledger, directory, current_runs) =
        (Arc::<Ledger>::default(), Arc::<Directory>::default(), Arc::default());
    let new_worker = |index: usize| {
        let name = format!("s-first{index:03}");
        Arc::new(Worker::new(
            &name,
            Arc::clone(&ledger),
            Arc::clone(&current_runs),
            plan.worker,
            plan.answers_misses,
        ))
    };
    let workers: Vec<Arc<Worker>> = (0..plan.workers).map(new_worker).collect();
    directory.change(|rows| {
        rows.extend((0..plan.workers).map(|worker| Row {
            name: format!("s-first{worker:03}"),
            worker,
            draining: false,
            started_ms: 0,
        }));
    });
    let rng = Rand64::new(u128::from(plan.seed) << 16);
    let (nodes, addresses) = (Vec::new(), Vec::new());
    let mut run = Run {
        plan,
        program,
        ledger: Arc::clone(&ledger),
        directory,
        workers,
        addresses,
        current_runs,
        nodes,
        rng,
        name_count: 0,
    };
    let (started, lateness) = (Instant::now(), LatenessMonitor::start());
    for index in 0..plan.processes {
        let mut addresses = Vec::new();
        for worker in &run.workers {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            addresses.push(listener.local_addr()?);
            let seed = u128::from(run.rng.rand_u64());
            tokio::spawn(Arc::clone(worker).listen(listener, index, seed));
        }
        run.addresses.push(addresses);
        let startup_config = json!({"name": format!("n{index}"), "listen": "127.0.0.1:0",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": settings(plan)});
        let (file, log) = (folder.join(format!("n{index}.json")), folder.join(format!("n{index}.log")));
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        run.nodes.push(Node {
            index,
            starts: 0,
            process: None,
            startup_config,
            file,
            log,
            address,
            directory_servers: Vec::new(),
        });
        run.start(index).await?;
    }
    let (ending, next_id) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let mut clients = JoinSet::new();
    for index in 0..plan.processes {
        let (address, ending, next_id) =
            (run.nodes[index].address, Arc::clone(&ending), Arc::clone(&next_id));
        let shared =
            Clients { ledger: Arc::clone(&ledger), address, node: run.nodes[index].index, ending, next_id };
        for _ in 0..plan.clients {
            let seed = u128::from(run.rng.rand_u64());
            clients.spawn(shared.clone().run_client(Rand64::new(seed)));
        }
        for index in 0..plan.idle_clients {
            tokio::spawn(shared.clone().run_idle_client(index % 2 == 0));
        }
    }
    while started.elapsed() < plan.duration {
        let pause = Duration::from_millis(run.below(2 * plan.event_pause.as_millis() as u64));
        sleep(pause).await;
        run.event().await?;
    }
    ending.store(true, Ordering::Relaxed);
    let _ = tokio::time::timeout(FINAL_WAIT, async { while clients.join_next().await.is_some() {} }).await;
    for index in 0..plan.processes {
        // A process that has already ended has crashed.
        if let Some(process) = &mut run.nodes[index].process {
            if let Some(code) = process.wait(Duration::ZERO).await {
                run.update_run(index, |run| run.ended = Some((Instant::now(), code)));
            }
        }
    }
    let delay = lateness.finish();
    if delay > MAX_LATENESS {
        ledger.lock().harness_errors.push(format!("the harness was delayed by up to {delay:?}"));
    }
    run.directory.record_history(&ledger);
    let state = ledger.lock();
    let served =
        state.requests.values().filter(|r| r.answers.iter().any(|(_, w)| *w == crate::Answer::Good)).count();
    Ok(Report {
        verdict: judge(&state, LIMITS, started),
        requests: state.requests.len(),
        served,
        starts: state.process_runs.len(),
        harness_errors: state.harness_errors.clone(),
        folder: folder.to_owned(),
    })
}
