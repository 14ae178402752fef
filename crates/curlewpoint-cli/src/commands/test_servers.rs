use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_emulator::{ListEntry, StoreSpec, WorkerSpec};
use curlewpoint_lab::test_servers::{TestBroker, TestListService, TestStore, TestWorker};
use curlewpoint_lab::{Script, Transcript, BAD_DAY};

use super::{block_on, fail, BAD_INPUT, FAILED, SUCCESS};

fn load_script(path: &Option<PathBuf>) -> Result<Script, String> {
    let read = |path: &PathBuf| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    match path {
        None => Script::parse("bad.day", BAD_DAY),
        Some(path) => Script::parse(&path.display().to_string(), &read(path)?),
    }
    .map_err(|errors| errors.to_string())
}

/// Prints the listening address and waits for SIGINT.
async fn run_until_interrupted(address: SocketAddr) -> u8 {
    println!("listening on {address}");
    match tokio::signal::ctrl_c().await {
        Ok(()) => SUCCESS,
        Err(e) => fail(FAILED, &e.to_string()),
    }
}

/// Runs a test worker.
#[derive(Args)]
pub struct Worker {
    /// The address to listen on.
    listen: String,
    /// The address of the test store to fetch models from.
    #[arg(long)]
    store: SocketAddr,
    /// The name of the worker.
    #[arg(long, default_value = "w-0")]
    name: String,
    /// The scenario script that gives the worker's properties and the cost of methods. Default: that of `rehearse`.
    #[arg(long)]
    script: Option<PathBuf>,
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Worker {
    pub fn run(self) -> u8 {
        let script = match load_script(&self.script) {
            Ok(script) => script,
            Err(reason) => return fail(BAD_INPUT, &reason),
        };
        let spec = WorkerSpec {
            cores: script.cores,
            speed: 1.0,
            slots: script.slots,
            queue: script.queue,
            memory_mb: script.memory_mb,
            loads_at_once: script.loads_at_once,
            keep_alive: Time(80_000),
            start_capacity: 1.0,
            warm_within: Time(1),
            fall_multiple: f64::MAX,
            fall_window: Time(20_000),
            adds_copies: true,
            answers_miss: false,
        };
        let method_costs = script.method_costs();
        block_on(async {
            let transcript = Transcript::default();
            match TestWorker::start(
                &self.listen,
                &self.name,
                &transcript,
                spec,
                method_costs,
                self.store,
                self.seed,
            )
            .await
            {
                Ok(server) => run_until_interrupted(server.address).await,
                Err(e) => fail(FAILED, &format!("{}: {e}", self.listen)),
            }
        })
    }
}

/// Runs a test model store.
#[derive(Args)]
pub struct Store {
    /// The address to listen on.
    listen: String,
    /// Concurrent fetches served at full rate; more than that share the bandwidth.
    #[arg(long = "lines", value_name = "LINES", default_value_t = 8.0)]
    parallel_fetches: f64,
    /// Concurrent fetches above which further ones are refused.
    #[arg(long = "most", value_name = "MOST", default_value_t = 40)]
    max_fetches: usize,
}

impl Store {
    pub fn run(self) -> u8 {
        block_on(async {
            let spec = StoreSpec {
                parallel_fetches: self.parallel_fetches,
                overload_penalty: 0.1,
                max_fetches: self.max_fetches,
            };
            match TestStore::start(&self.listen, &Transcript::default(), spec).await {
                Ok(server) => run_until_interrupted(server.address).await,
                Err(e) => fail(FAILED, &format!("{}: {e}", self.listen)),
            }
        })
    }
}

/// Runs a test list service that lists these workers as ready.
#[derive(Args)]
pub struct List {
    /// The address to listen on.
    listen: String,
    /// A worker: NAME=ADDRESS, or NAME=ADDRESS,ZONE,CELL.
    #[arg(long = "worker", required = true)]
    workers: Vec<String>,
}

impl List {
    pub fn run(self) -> u8 {
        let mut entries = Vec::new();
        for text in &self.workers {
            let parsed = text.split_once('=').and_then(|(name, rest)| {
                let mut parts = rest.split(',');
                let address = parts.next()?.parse::<SocketAddr>().ok()?.to_string();
                let mut next_part = || parts.next().unwrap_or("").to_owned();
                let (zone, cell) = (next_part(), next_part());
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
            match parsed {
                Some(entry) => entries.push(entry),
                None => {
                    return fail(
                        BAD_INPUT,
                        &format!("'{text}' is not NAME=ADDRESS or NAME=ADDRESS,ZONE,CELL"),
                    )
                }
            }
        }
        block_on(async {
            match TestListService::start(&self.listen, &Transcript::default(), Time(0)).await {
                Ok(server) => {
                    entries.into_iter().for_each(|(name, entry)| server.set_entry(name, entry));
                    run_until_interrupted(server.address).await
                }
                Err(e) => fail(FAILED, &format!("{}: {e}", self.listen)),
            }
        })
    }
}

/// Runs a test broker (AMQP 0-9-1) with these queues.
#[derive(Args)]
pub struct Broker {
    /// The address to listen on.
    listen: String,
    /// A queue. A gateway needs curlewpoint.METHOD for each method, and curlewpoint.dead.
    #[arg(long = "queue", required = true)]
    queues: Vec<String>,
}

impl Broker {
    pub fn run(self) -> u8 {
        let queues: Vec<&str> = self.queues.iter().map(String::as_str).collect();
        block_on(async {
            match TestBroker::start(&self.listen, &queues).await {
                Ok(server) => run_until_interrupted(server.address).await,
                Err(e) => fail(FAILED, &format!("{}: {e}", self.listen)),
            }
        })
    }
}
