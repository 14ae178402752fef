//! One run: processes and stand-ins are started, events follow each other, and what passed is judged.

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
use crate::directory::{wall_ms, Board, Row, Server};
use crate::judge::{judge, Verdict};
use crate::lateness::{Lateness, MOST_LATE};
use crate::ledger::{Ledger, ProcessRun, RunId};
use crate::plan::{Plan, LIMITS};
use crate::process::{Process, Program};
use crate::worker::{Condition, Worker};

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    pub verdict: Verdict,
    pub requests: usize,
    pub served: usize,
    pub starts: usize,
    /// Why this run does not count; empty: it does.
    pub harness_errors: Vec<String>,
    pub folder: PathBuf,
}

/// From a drain to the end of a worker, and from there to its next start.
const DRAINS_FOR: Duration = Duration::from_millis(1_400);
const IS_GONE_FOR: Duration = Duration::from_millis(300);
/// Requests that are open as a run ends have so long for their answers.
const LAST_ANSWERS: Duration = Duration::from_millis(2_600);
/// The longest that a process is stopped.
const MOST_STOPPED_MS: u64 = 250;
/// Reloads in a row, and the pause between two of them.
const RELOADS: u64 = 6;
const BETWEEN_RELOADS_MS: u64 = 80;
/// A process still there so long after its last signal did not end.
const ENDS: Duration = Duration::from_secs(5);

struct Node {
    no: usize,
    starts: usize,
    process: Option<Process>,
    told: Value,
    file: PathBuf,
    log: PathBuf,
    address: SocketAddr,
    directories: Vec<AbortHandle>,
}

struct Run<'a> {
    plan: &'a Plan,
    program: &'a Program,
    ledger: Arc<Ledger>,
    board: Arc<Board>,
    workers: Vec<Arc<Worker>>,
    /// Of each process, its address of each worker.
    addresses: Vec<Vec<SocketAddr>>,
    process_runs: Arc<Mutex<BTreeMap<usize, usize>>>,
    nodes: Vec<Node>,
    rng: Rand64,
    names: usize,
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
        "familyInfo": {"keepAlive": 8000.0, "whenAbsent": if plan.misses { "miss" } else { "load" }, "mayOrder": true,
            "loadFloor": LIMITS.order_floor, "loadShare": LIMITS.order_share,
            "loadsWithin": LIMITS.order_window.as_millis() as u64, "orderLimit": 4000.0},
    })
}

impl Run<'_> {
    fn below(&mut self, n: u64) -> u64 {
        self.rng.rand_range(0..n.max(1))
    }

    fn new_name(&mut self) -> String {
        self.names += 1;
        format!("s-{:08x}", self.names)
    }

    fn life(&self, no: usize) -> RunId {
        (no, self.nodes[no].starts)
    }

    fn with_life(&self, no: usize, change: impl FnOnce(&mut ProcessRun)) {
        if let Some(life) = self.ledger.lock().process_runs.get_mut(&self.life(no)) {
            change(life);
        }
    }

    /// A new place at which the directory answers one process.
    async fn new_directory(&mut self, no: usize) -> std::io::Result<SocketAddr> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let at = socket.local_addr()?;
        let seed = u128::from(self.rng.rand_u64());
        let server = Server {
            board: Arc::clone(&self.board),
            ledger: Arc::clone(&self.ledger),
            life: self.life(no),
            addresses: self.addresses[no].clone(),
            faults: self.plan.directory,
            rng: Rand64::new(seed),
        };
        self.nodes[no].directories.push(tokio::spawn(server.serve(socket)).abort_handle());
        Ok(at)
    }

    async fn start(&mut self, no: usize) -> std::io::Result<()> {
        self.nodes[no].starts += 1;
        self.nodes[no].directories.drain(..).for_each(|before| before.abort());
        let resolver = self.new_directory(no).await?;
        let (list, seed) = (self.board.list(), self.rng.rand_u64());
        let life = self.life(no);
        self.process_runs.lock().unwrap_or_else(PoisonError::into_inner).insert(no, life.1);
        let addresses = &self.addresses[no];
        let node = &mut self.nodes[no];
        node.told["known"] = list.as_known(addresses);
        node.told["resolver"] = json!(resolver.to_string());
        node.told["seed"] = json!(format!("{seed:x}"));
        std::fs::write(&node.file, node.told.to_string())?;
        let started = ProcessRun { started: Instant::now(), terminated: None, killed: None, ended: None };
        self.ledger.lock().process_runs.insert(life, started);
        self.board.tells(&self.ledger, life, &list);
        let started = self.program.start(&node.file, &node.log, &self.plan.system_calls).await;
        let (process, address) = started?;
        (node.process, node.address) = (Some(process), address);
        // The same port from here on.
        node.told["listen"] = json!(address.to_string());
        Ok(())
    }

    fn signal(&self, no: usize, signal: Signal) {
        self.nodes[no].process.iter().for_each(|process| process.signal(signal));
    }

    /// Waits for a process's end and starts it anew.
    async fn is_replaced(&mut self, no: usize) -> std::io::Result<()> {
        let Some(mut process) = self.nodes[no].process.take() else { return self.start(no).await };
        let end = process.ends(ENDS).await;
        self.with_life(no, |life| life.ended = Some((Instant::now(), end.flatten())));
        self.start(no).await
    }

    /// SIGTERM, and SIGKILL at the earliest moment that the platform allows; clients go on meanwhile.
    async fn restarts(&mut self, no: usize) -> std::io::Result<()> {
        self.with_life(no, |life| life.terminated = Some(Instant::now()));
        self.signal(no, Signal::TERM);
        if self.below(3) == 0 {
            self.signal(no, Signal::HUP);
            self.signal(no, Signal::TERM);
        }
        let until_killed = LIMITS.longest_deadline + LIMITS.kill_after;
        let ended = match &mut self.nodes[no].process {
            Some(process) => process.ends(until_killed).await,
            None => None,
        };
        if let Some(code) = ended {
            self.with_life(no, |life| life.ended = Some((Instant::now(), code)));
            self.nodes[no].process = None;
            return self.start(no).await;
        }
        self.with_life(no, |life| life.killed = Some(Instant::now()));
        self.signal(no, Signal::KILL);
        self.is_replaced(no).await
    }

    async fn is_killed(&mut self, no: usize) -> std::io::Result<()> {
        self.with_life(no, |life| life.killed = Some(Instant::now()));
        self.signal(no, Signal::KILL);
        self.is_replaced(no).await
    }

    /// Reloads in a row, each with the directory at another place or at the same.
    async fn reloads(&mut self, no: usize) -> std::io::Result<()> {
        for _ in 0..1 + self.below(RELOADS) {
            if self.below(3) > 0 {
                let at = self.new_directory(no).await?;
                self.nodes[no].told["resolver"] = json!(at.to_string());
            }
            let node = &self.nodes[no];
            std::fs::write(&node.file, node.told.to_string())?;
            self.signal(no, Signal::HUP);
            sleep(Duration::from_millis(self.below(BETWEEN_RELOADS_MS))).await;
        }
        Ok(())
    }

    async fn is_stopped(&mut self, no: usize) {
        self.signal(no, Signal::STOP);
        sleep(Duration::from_millis(20 + self.below(MOST_STOPPED_MS))).await;
        self.signal(no, Signal::CONT);
    }

    /// A worker drains, ends, and starts anew at its old address.
    fn release(&mut self) {
        if self.board.ready() < 3 {
            return;
        }
        let worker = self.below(self.plan.workers as u64) as usize;
        let next = self.new_name();
        let (board, stand_in) = (Arc::clone(&self.board), Arc::clone(&self.workers[worker]));
        if board.list().rows.iter().any(|row| row.worker == worker && row.drains) {
            return;
        }
        board.change(|rows| {
            rows.iter_mut().filter(|row| row.worker == worker).for_each(|row| row.drains = true)
        });
        tokio::spawn(async move {
            sleep(DRAINS_FOR).await;
            stand_in.condition.send_replace(Condition::Dead);
            board.change(|rows| rows.retain(|row| row.worker != worker));
            sleep(IS_GONE_FOR).await;
            stand_in.starts(&next);
            board.change(|rows| rows.push(Row { name: next, worker, drains: false, started_ms: wall_ms() }));
        });
    }

    /// A worker hangs, or resets all that it has, for a while.
    fn fails(&mut self, how: Condition) {
        let worker = self.below(self.plan.workers as u64) as usize;
        let stand_in = Arc::clone(&self.workers[worker]);
        let span = Duration::from_millis(200 + self.below(1_200));
        if *stand_in.condition.borrow() != Condition::Well {
            return;
        }
        stand_in.condition.send_replace(how);
        tokio::spawn(async move {
            sleep(span).await;
            stand_in.condition.send_if_modified(|now| {
                let lasts = *now == how;
                if lasts {
                    *now = Condition::Well;
                }
                lasts
            });
        });
    }

    async fn event(&mut self) -> std::io::Result<()> {
        let no = self.below(self.nodes.len() as u64) as usize;
        match self.below(10) {
            0..=2 => self.release(),
            3 => self.reloads(no).await?,
            4 => self.restarts(no).await?,
            5 => self.is_killed(no).await?,
            6 => self.is_stopped(no).await,
            7 => {
                let span = Duration::from_millis(300 + self.below(1_500));
                self.board.falls_silent(span);
            }
            8 => self.fails(Condition::Hangs),
            _ => {
                self.signal(no, Signal::USR1);
                self.release();
                self.reloads(no).await?;
            }
        }
        Ok(())
    }
}

/// Plays a plan with this program; logs and what processes were told are kept in the folder.
pub async fn run(plan: &Plan, program: &Program, folder: &Path) -> std::io::Result<Report> {
    std::fs::create_dir_all(folder)?;
    let (ledger, board, process_runs) = (Arc::<Ledger>::default(), Arc::<Board>::default(), Arc::default());
    let new_worker = |no: usize| {
        let name = format!("s-first{no:03}");
        Arc::new(Worker::new(&name, Arc::clone(&ledger), Arc::clone(&process_runs), plan.worker, plan.misses))
    };
    let workers: Vec<Arc<Worker>> = (0..plan.workers).map(new_worker).collect();
    board.change(|rows| {
        rows.extend((0..plan.workers).map(|worker| Row {
            name: format!("s-first{worker:03}"),
            worker,
            drains: false,
            started_ms: 0,
        }));
    });
    let rng = Rand64::new(u128::from(plan.seed) << 16);
    let (nodes, addresses) = (Vec::new(), Vec::new());
    let mut run = Run {
        plan,
        program,
        ledger: Arc::clone(&ledger),
        board,
        workers,
        addresses,
        process_runs,
        nodes,
        rng,
        names: 0,
    };
    let (begun, lateness) = (Instant::now(), Lateness::watch());
    for no in 0..plan.processes {
        let mut addresses = Vec::new();
        for worker in &run.workers {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            addresses.push(listener.local_addr()?);
            let seed = u128::from(run.rng.rand_u64());
            tokio::spawn(Arc::clone(worker).listen(listener, no, seed));
        }
        run.addresses.push(addresses);
        let told = json!({"name": format!("n{no}"), "listen": "127.0.0.1:0",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": settings(plan)});
        let (file, log) = (folder.join(format!("n{no}.json")), folder.join(format!("n{no}.log")));
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        run.nodes.push(Node {
            no,
            starts: 0,
            process: None,
            told,
            file,
            log,
            address,
            directories: Vec::new(),
        });
        run.start(no).await?;
    }
    let (over, next_id) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let mut clients = JoinSet::new();
    for no in 0..plan.processes {
        let (address, over, next_id) = (run.nodes[no].address, Arc::clone(&over), Arc::clone(&next_id));
        let of = Clients { ledger: Arc::clone(&ledger), address, node: run.nodes[no].no, over, next_id };
        for _ in 0..plan.clients {
            let seed = u128::from(run.rng.rand_u64());
            clients.spawn(of.clone().client(Rand64::new(seed)));
        }
        for one in 0..plan.idle_clients {
            tokio::spawn(of.clone().one_of_a_crowd(one % 2 == 0));
        }
    }
    while begun.elapsed() < plan.duration {
        let pause = Duration::from_millis(run.below(2 * plan.pause.as_millis() as u64));
        sleep(pause).await;
        run.event().await?;
    }
    over.store(true, Ordering::Relaxed);
    let _ = tokio::time::timeout(LAST_ANSWERS, async { while clients.join_next().await.is_some() {} }).await;
    for no in 0..plan.processes {
        // What ended before it was asked to is a crash.
        if let Some(process) = &mut run.nodes[no].process {
            if let Some(code) = process.ends(Duration::ZERO).await {
                run.with_life(no, |life| life.ended = Some((Instant::now(), code)));
            }
        }
    }
    let late = lateness.ends();
    if late > MOST_LATE {
        ledger.lock().harness_errors.push(format!("the rig was late by up to {late:?}"));
    }
    let state = ledger.lock();
    let served =
        state.requests.values().filter(|r| r.answers.iter().any(|(_, w)| *w == crate::Answer::Good)).count();
    Ok(Report {
        verdict: judge(&state, LIMITS, begun),
        requests: state.requests.len(),
        served,
        starts: state.process_runs.len(),
        harness_errors: state.harness_errors.clone(),
        folder: folder.to_owned(),
    })
}
