//! Simulated workers with the faults of the plan. Each has one listener per process, which identifies the process.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use oorandom::Rand64;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::ledger::{Arrival, Ledger, RunId};
use crate::plan::WorkerFaults;

/// State of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerState {
    Healthy,
    /// Sends no answers. It continues to read, so that arrival times are recorded.
    Hanging,
    /// Resets all connections, including new ones.
    Dead,
}

/// One worker, across its restarts.
pub(crate) struct Worker {
    pub state: watch::Sender<WorkerState>,
    /// Load orders, and queries for copies, are turned away.
    pub is_draining: AtomicBool,
    name: Mutex<String>,
    copies: Mutex<BTreeSet<String>>,
    ledger: Arc<Ledger>,
    /// The current run of each process, as the number of its start.
    current_runs: Arc<Mutex<BTreeMap<usize, usize>>>,
    faults: WorkerFaults,
    answers_misses: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Maximum service time in milliseconds.
const MAX_SERVICE_MS: f64 = 40.0;
const LOAD_TIME: Duration = Duration::from_millis(60);

impl Worker {
    pub fn new(
        name: &str, ledger: Arc<Ledger>, current_runs: Arc<Mutex<BTreeMap<usize, usize>>>,
        faults: WorkerFaults, answers_misses: bool,
    ) -> Worker {
        let (state, name) = (watch::channel(WorkerState::Healthy).0, Mutex::new(name.to_owned()));
        let (is_draining, copies) = Default::default();
        Worker { state, is_draining, name, copies, ledger, current_runs, faults, answers_misses }
    }

    /// Restarts the worker under another name and without copies.
    pub fn restart(&self, name: &str) {
        *lock(&self.name) = name.to_owned();
        lock(&self.copies).clear();
        self.is_draining.store(false, Ordering::Release);
        self.state.send_replace(WorkerState::Healthy);
    }

    /// Serves one process on the listener.
    pub async fn listen(self: Arc<Worker>, listener: TcpListener, node: usize, seed: u128) {
        let mut connections = 0;
        while let Ok((stream, _)) = listener.accept().await {
            connections += 1;
            let connection = Connection {
                name: lock(&self.name).clone(),
                run: (node, lock(&self.current_runs).get(&node).copied().unwrap_or_default()),
                worker: Arc::clone(&self),
                rng: Rand64::new(seed << 32 | connections),
                withdrawn: Arc::default(),
            };
            tokio::spawn(connection.run(stream));
        }
    }
}

struct Connection {
    name: String,
    run: RunId,
    worker: Arc<Worker>,
    rng: Rand64,
    withdrawn: Arc<Mutex<BTreeSet<String>>>,
}

/// A line to write.
struct Line {
    text: String,
    /// Whether the line is written in two parts.
    split: bool,
    /// Whether the connection is reset instead.
    reset: bool,
}

fn format_answer(to: &Value, word: &str, meta: Value, data: &str) -> String {
    format!("{}\n", json!({"type": word, "req": to["req"], "meta": meta, "data": data}))
}

fn reset_connection(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

impl Connection {
    async fn run(mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut state = self.worker.state.subscribe();
        let (line_tx, mut line_rx) = mpsc::unbounded_channel::<Line>();
        let (mut unparsed, mut first_byte, mut buffer) = (Vec::new(), Instant::now(), vec![0; 16 * 1024]);
        loop {
            let now = *state.borrow_and_update();
            if now == WorkerState::Dead || *lock(&self.worker.name) != self.name {
                return reset_connection(&stream);
            }
            let healthy = now == WorkerState::Healthy;
            tokio::select! {
                changed = state.changed() => if changed.is_err() { return },
                got = stream.read(&mut buffer) => {
                    let Ok(n @ 1..) = got else { return };
                    if unparsed.is_empty() {
                        first_byte = Instant::now();
                    }
                    unparsed.extend_from_slice(&buffer[..n]);
                    while let Some(end) = unparsed.iter().position(|b| *b == b'\n') {
                        let line: Vec<u8> = unparsed.drain(..=end).collect();
                        self.handle_line(&line, first_byte, &line_tx);
                        first_byte = Instant::now();
                    }
                }
                Some(line) = line_rx.recv(), if healthy => {
                    let (bytes, half) = (line.text.as_bytes(), line.text.len() / 2);
                    if line.reset {
                        return reset_connection(&stream);
                    }
                    let first = if line.split { half } else { bytes.len() };
                    if stream.write_all(&bytes[..first]).await.is_err() {
                        return;
                    }
                    if line.split {
                        sleep(Duration::from_millis(3)).await;
                        if stream.write_all(&bytes[half..]).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
    }

    fn handle_line(&mut self, line: &[u8], first_byte: Instant, line_tx: &mpsc::UnboundedSender<Line>) {
        let Ok(message) = serde_json::from_slice::<Value>(line) else {
            let text = String::from_utf8_lossy(line).into_owned();
            self.worker.ledger.lock().harness_errors.push(format!("malformed line: {text}"));
            return;
        };
        let now_line = |text| Line { text, split: false, reset: false };
        match message["type"].as_str() {
            Some("invoke") => self.handle_invoke(&message, first_byte, line_tx),
            Some("prewarm") => self.handle_load_order(&message, first_byte, line_tx),
            Some("gauges") => {
                let _ = line_tx.send(now_line(format_answer(
                    &message,
                    "UP",
                    json!({"use": "inflight:1;util:0.3"}),
                    "",
                )));
            }
            Some("abort") => {
                let id = message["req"].as_str().unwrap_or_default().to_owned();
                lock(&self.withdrawn).insert(id);
            }
            _ => {}
        }
    }

    fn record_arrival(&self, request: Option<u64>, first_byte: Instant, budget: Duration) -> usize {
        let (run, worker, received) = (self.run, self.name.clone(), Instant::now());
        let mut records = self.worker.ledger.lock();
        records.arrivals.push(Arrival { run, worker, request, first_byte, received, budget, answer: None });
        records.arrivals.len() - 1
    }

    fn handle_invoke(&mut self, message: &Value, first_byte: Instant, line_tx: &mpsc::UnboundedSender<Line>) {
        let id = message["req"].as_str().unwrap_or_default().to_owned();
        let request = u64::from_str_radix(&id, 16).unwrap_or_default();
        let budget = Duration::from_millis(message["meta"]["budget"].as_u64().unwrap_or_default());
        let arrival = self.record_arrival(Some(request), first_byte, budget);
        let function = message["meta"]["path"].as_str().unwrap_or_default();
        let lacks_copy = self.worker.answers_misses && !lock(&self.worker.copies).contains(function);
        let (faults, draw) = (self.worker.faults, self.rng.rand_float());
        let word = if lacks_copy {
            "MISS"
        } else if draw < faults.busy {
            "BUSY"
        } else if draw < faults.busy + faults.failed {
            "ERR"
        } else {
            "OK"
        };
        if !lacks_copy && self.rng.rand_float() < faults.silent {
            return;
        }
        let reset = self.rng.rand_float() < faults.reset;
        let split = self.rng.rand_float() < faults.split;
        let never_ran = matches!(word, "MISS" | "BUSY");
        let service_time = if never_ran {
            Duration::ZERO
        } else {
            Duration::from_micros((self.rng.rand_float() * MAX_SERVICE_MS * 1_000.0) as u64)
        };
        let data = if word == "OK" { message["data"].as_str().unwrap_or_default() } else { "" };
        let text = format_answer(message, word, json!({"detail": "resident"}), data);
        let (line_tx, withdrawn, ledger) =
            (line_tx.clone(), Arc::clone(&self.withdrawn), Arc::clone(&self.worker.ledger));
        tokio::spawn(async move {
            sleep(service_time).await;
            if lock(&withdrawn).contains(&id) {
                return;
            }
            if !reset {
                ledger.lock().arrivals[arrival].answer = Some(word);
            }
            let _ = line_tx.send(Line { text, split, reset });
        });
    }

    fn handle_load_order(
        &mut self, message: &Value, first_byte: Instant, line_tx: &mpsc::UnboundedSender<Line>,
    ) {
        let is_draining = self.worker.is_draining.load(Ordering::Acquire);
        let word = if is_draining { "BUSY" } else { "OK" };
        let text = format_answer(message, word, json!({"instances": 1}), "");
        // An order for no copies only asks.
        let is_query = message["meta"]["instances"] == 0;
        if !is_query {
            self.record_arrival(None, first_byte, Duration::ZERO);
        }
        if is_query || is_draining {
            let _ = line_tx.send(Line { text, split: false, reset: false });
            return;
        }
        let function = message["meta"]["path"].as_str().unwrap_or_default().to_owned();
        let (line_tx, worker) = (line_tx.clone(), Arc::clone(&self.worker));
        tokio::spawn(async move {
            sleep(LOAD_TIME).await;
            lock(&worker.copies).insert(function);
            let _ = line_tx.send(Line { text, split: false, reset: false });
        });
    }
}

/// Whether the body of an answer equals that of the request, plain or as base64.
pub(crate) fn is_same_body(received_body: &[u8], body: &[u8]) -> bool {
    received_body == body || STANDARD.decode(received_body).is_ok_and(|decoded| decoded == body)
}
