use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_emulator::{ListEntry, StoreSpec, WorkerSpec};
use curlewpoint_lab::test_servers::{TestBroker, TestListService, TestStore, TestWorker};
use curlewpoint_lab::{Script, Transcript, BAD_DAY};

use super::{block_on, fail, AT_FAULT, DONE, FAILED};

fn script(path: &Option<PathBuf>) -> Result<Script, String> {
    let read = |path: &PathBuf| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    match path {
        None => Script::parse("bad.day", BAD_DAY),
        Some(path) => Script::parse(&path.display().to_string(), &read(path)?),
    }
    .map_err(|faults| faults.to_string())
}

async fn until_stopped(address: SocketAddr) -> u8 {
    println!("listening on {address}");
    match tokio::signal::ctrl_c().await {
        Ok(()) => DONE,
        Err(e) => fail(FAILED, &e.to_string()),
    }
}

/// Runs a stand-in worker.
#[derive(Args)]
pub struct Worker {
    /// Where it listens.
    listen: String,
    /// The stand-in store that it fetches from.
    #[arg(long)]
    store: SocketAddr,
    #[arg(long, default_value = "w-0")]
    name: String,
    /// A day's script, for what the worker is and what methods cost; absent: the rehearsal's.
    #[arg(long)]
    script: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Worker {
    pub fn run(self) -> u8 {
        let s = match script(&self.script) {
            Ok(s) => s,
            Err(why) => return fail(AT_FAULT, &why),
        };
        let spec = WorkerSpec {
            cores: s.cores,
            speed: 1.0,
            slots: s.slots,
            queue: s.queue,
            memory_mb: s.memory_mb,
            loads_at_once: s.loads_at_once,
            keep_alive: Time(80_000),
            start_capacity: 1.0,
            warm_within: Time(1),
            fall_multiple: f64::MAX,
            fall_window: Time(20_000),
            adds_copies: true,
            answers_miss: false,
        };
        let trades = s.method_costs();
        block_on(async {
            let record = Transcript::default();
            match TestWorker::start(&self.listen, &self.name, &record, spec, trades, self.store, self.seed)
                .await
            {
                Ok(stand) => until_stopped(stand.address).await,
                Err(e) => fail(FAILED, &format!("{}: {e}", self.listen)),
            }
        })
    }
}

/// Runs a stand-in model store.
#[derive(Args)]
pub struct Store {
    /// Where it listens.
    listen: String,
    /// Fetches at full pace at a time; more share it.
    #[arg(long, default_value_t = 8.0)]
    lines: f64,
    /// Fetches in hand beyond which it turns one away.
    #[arg(long, default_value_t = 40)]
    most: usize,
}

impl Store {
    pub fn run(self) -> u8 {
        block_on(async {
            let spec =
                StoreSpec { parallel_fetches: self.lines, overload_penalty: 0.1, max_fetches: self.most };
            match TestStore::start(&self.listen, &Transcript::default(), spec).await {
                Ok(stand) => until_stopped(stand.address).await,
                Err(e) => fail(FAILED, &format!("{}: {e}", self.listen)),
            }
        })
    }
}

/// Runs a stand-in list service that names these workers as ready.
#[derive(Args)]
pub struct List {
    /// Where it listens.
    listen: String,
    /// A worker: NAME=ADDRESS, or NAME=ADDRESS,ZONE,CELL.
    #[arg(long = "worker", required = true)]
    workers: Vec<String>,
}

impl List {
    pub fn run(self) -> u8 {
        let mut rows = Vec::new();
        for text in &self.workers {
            let read = text.split_once('=').and_then(|(name, rest)| {
                let mut parts = rest.split(',');
                let address = parts.next()?.parse::<SocketAddr>().ok()?.to_string();
                let mut word = || parts.next().unwrap_or("").to_owned();
                let (zone, cell) = (word(), word());
                Some((
                    name,
                    ListEntry {
                        address,
                        lifecycle: Lifecycle::Ready,
                        start_id: 1,
                        started_at: None,
                        zone,
                        cell,
                        size: 1.0,
                    },
                ))
            });
            match read {
                Some(row) => rows.push(row),
                None => {
                    return fail(AT_FAULT, &format!("'{text}' is not NAME=ADDRESS or NAME=ADDRESS,ZONE,CELL"))
                }
            }
        }
        block_on(async {
            match TestListService::start(&self.listen, &Transcript::default(), Time(0)).await {
                Ok(stand) => {
                    rows.into_iter().for_each(|(name, row)| stand.set_entry(name, row));
                    until_stopped(stand.address).await
                }
                Err(e) => fail(FAILED, &format!("{}: {e}", self.listen)),
            }
        })
    }
}

/// Runs a stand-in broker (AMQP 0-9-1) with these queues.
#[derive(Args)]
pub struct Broker {
    /// Where it listens.
    listen: String,
    /// A queue; a gateway wants curlewpoint.METHOD for each method, and curlewpoint.dead.
    #[arg(long = "queue", required = true)]
    queues: Vec<String>,
}

impl Broker {
    pub fn run(self) -> u8 {
        let queues: Vec<&str> = self.queues.iter().map(String::as_str).collect();
        block_on(async {
            match TestBroker::start(&self.listen, &queues).await {
                Ok(stand) => until_stopped(stand.address).await,
                Err(e) => fail(FAILED, &format!("{}: {e}", self.listen)),
            }
        })
    }
}
