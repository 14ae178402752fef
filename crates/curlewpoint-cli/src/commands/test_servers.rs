use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_emulator::{Row, StoreSpec, WorkerSpec};
use curlewpoint_lab::stand::{BrokerStand, ListStand, StoreStand, WorkerStand};
use curlewpoint_lab::{Record, Script, BAD_DAY};

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
            keep: Time(80_000),
            cold_from: 1.0,
            cold_for: Time(1),
            fall_multiple: f64::MAX,
            fall: Time(20_000),
            adds_copies: true,
            answers_miss: false,
        };
        let trades = script.trades();
        block_on(async {
            let record = Record::default();
            match WorkerStand::start(&self.listen, &self.name, &record, spec, trades, self.store, self.seed)
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
    #[arg(long, default_value_t = 8.0)]
    lines: f64,
    /// Concurrent fetches above which further ones are refused.
    #[arg(long, default_value_t = 40)]
    most: usize,
}

impl Store {
    pub fn run(self) -> u8 {
        block_on(async {
            let spec = StoreSpec { lines: self.lines, thrash: 0.1, most: self.most };
            match StoreStand::start(&self.listen, &Record::default(), spec).await {
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
        let mut rows = Vec::new();
        for text in &self.workers {
            let parsed = text.split_once('=').and_then(|(name, rest)| {
                let mut parts = rest.split(',');
                let address = parts.next()?.parse::<SocketAddr>().ok()?.to_string();
                let mut next_part = || parts.next().unwrap_or("").to_owned();
                let (zone, cell) = (next_part(), next_part());
                Some((
                    name,
                    Row { address, standing: Lifecycle::Ready, start: 1, since: None, zone, cell, size: 1.0 },
                ))
            });
            match parsed {
                Some(row) => rows.push(row),
                None => {
                    return fail(
                        BAD_INPUT,
                        &format!("'{text}' is not NAME=ADDRESS or NAME=ADDRESS,ZONE,CELL"),
                    )
                }
            }
        }
        block_on(async {
            match ListStand::start(&self.listen, &Record::default(), Time(0)).await {
                Ok(server) => {
                    rows.into_iter().for_each(|(name, row)| server.set(name, row));
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
            match BrokerStand::start(&self.listen, &queues).await {
                Ok(server) => run_until_interrupted(server.address).await,
                Err(e) => fail(FAILED, &format!("{}: {e}", self.listen)),
            }
        })
    }
}
