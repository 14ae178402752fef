//! Workers: one listener for each process, so that it is known who speaks; answers fare as the plan draws.

use std::collections::{BTreeMap, BTreeSet};
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

/// How a worker is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Condition {
    Well,
    /// It answers nothing. It reads on, so that the moment at which something came is known.
    Hangs,
    /// It resets all that it has, and whatever comes.
    Dead,
}

/// One worker, through its starts.
pub(crate) struct Worker {
    pub condition: watch::Sender<Condition>,
    name: Mutex<String>,
    copies: Mutex<BTreeSet<String>>,
    ledger: Arc<Ledger>,
    /// The start of each process that runs now.
    process_runs: Arc<Mutex<BTreeMap<usize, usize>>>,
    faults: WorkerFaults,
    misses: bool,
}

fn locked<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

const WORK_MS: f64 = 40.0;
const LOAD: Duration = Duration::from_millis(60);

impl Worker {
    pub fn new(
        name: &str, ledger: Arc<Ledger>, process_runs: Arc<Mutex<BTreeMap<usize, usize>>>,
        faults: WorkerFaults, misses: bool,
    ) -> Worker {
        let (condition, name) = (watch::channel(Condition::Well).0, Mutex::new(name.to_owned()));
        Worker { condition, name, copies: Mutex::default(), ledger, process_runs, faults, misses }
    }

    /// It starts anew, under another name and without copies.
    pub fn starts(&self, name: &str) {
        *locked(&self.name) = name.to_owned();
        locked(&self.copies).clear();
        self.condition.send_replace(Condition::Well);
    }

    /// Serves one process on this listener.
    pub async fn listen(self: Arc<Worker>, listener: TcpListener, node: usize, seed: u128) {
        let mut connections = 0;
        while let Ok((stream, _)) = listener.accept().await {
            connections += 1;
            let conversation = Conversation {
                name: locked(&self.name).clone(),
                life: (node, locked(&self.process_runs).get(&node).copied().unwrap_or_default()),
                worker: Arc::clone(&self),
                rng: Rand64::new(seed << 32 | connections),
                withdrawn: Arc::default(),
            };
            tokio::spawn(conversation.run(stream));
        }
    }
}

struct Conversation {
    name: String,
    life: RunId,
    worker: Arc<Worker>,
    rng: Rand64,
    withdrawn: Arc<Mutex<BTreeSet<String>>>,
}

/// A line to write, in two pieces or in one.
struct Line {
    text: String,
    in_pieces: bool,
    resets: bool,
}

fn answer(to: &Value, word: &str, meta: Value, data: &str) -> String {
    format!("{}\n", json!({"type": word, "req": to["req"], "meta": meta, "data": data}))
}

fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

impl Conversation {
    async fn run(mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut condition = self.worker.condition.subscribe();
        let (say, mut said) = mpsc::unbounded_channel::<Line>();
        let (mut unread, mut first_byte, mut some) = (Vec::new(), Instant::now(), vec![0; 16 * 1024]);
        loop {
            let now = *condition.borrow_and_update();
            if now == Condition::Dead || *locked(&self.worker.name) != self.name {
                return reset(&stream);
            }
            let well = now == Condition::Well;
            tokio::select! {
                changed = condition.changed() => if changed.is_err() { return },
                got = stream.read(&mut some) => {
                    let Ok(n @ 1..) = got else { return };
                    if unread.is_empty() {
                        first_byte = Instant::now();
                    }
                    unread.extend_from_slice(&some[..n]);
                    while let Some(end) = unread.iter().position(|b| *b == b'\n') {
                        let line: Vec<u8> = unread.drain(..=end).collect();
                        self.hears(&line, first_byte, &say);
                        first_byte = Instant::now();
                    }
                }
                Some(line) = said.recv(), if well => {
                    let (bytes, half) = (line.text.as_bytes(), line.text.len() / 2);
                    if line.resets {
                        return reset(&stream);
                    }
                    let first = if line.in_pieces { half } else { bytes.len() };
                    if stream.write_all(&bytes[..first]).await.is_err() {
                        return;
                    }
                    if line.in_pieces {
                        sleep(Duration::from_millis(3)).await;
                        if stream.write_all(&bytes[half..]).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
    }

    fn hears(&mut self, line: &[u8], first_byte: Instant, say: &mpsc::UnboundedSender<Line>) {
        let Ok(row) = serde_json::from_slice::<Value>(line) else {
            let text = String::from_utf8_lossy(line).into_owned();
            self.worker.ledger.lock().harness_errors.push(format!("a line that cannot be read: {text}"));
            return;
        };
        let now_line = |text| Line { text, in_pieces: false, resets: false };
        match row["type"].as_str() {
            Some("invoke") => self.invoked(&row, first_byte, say),
            Some("prewarm") => self.ordered(&row, first_byte, say),
            Some("gauges") => {
                let _ = say.send(now_line(answer(&row, "UP", json!({"use": "inflight:1;util:0.3"}), "")));
            }
            Some("abort") => {
                let id = row["req"].as_str().unwrap_or_default().to_owned();
                locked(&self.withdrawn).insert(id);
            }
            _ => {}
        }
    }

    fn arrives(&self, request: Option<u64>, first_byte: Instant, budget: Duration) -> usize {
        let (life, worker, whole) = (self.life, self.name.clone(), Instant::now());
        let mut state = self.worker.ledger.lock();
        state.arrivals.push(Arrival { life, worker, request, first_byte, whole, budget, answer: None });
        state.arrivals.len() - 1
    }

    fn invoked(&mut self, row: &Value, first_byte: Instant, say: &mpsc::UnboundedSender<Line>) {
        let id = row["req"].as_str().unwrap_or_default().to_owned();
        let request = u64::from_str_radix(&id, 16).unwrap_or_default();
        let budget = Duration::from_millis(row["meta"]["budget"].as_u64().unwrap_or_default());
        let arrival = self.arrives(Some(request), first_byte, budget);
        let function = row["meta"]["path"].as_str().unwrap_or_default();
        let lacks = self.worker.misses && !locked(&self.worker.copies).contains(function);
        let (faults, drawn) = (self.worker.faults, self.rng.rand_float());
        let word = if lacks {
            "MISS"
        } else if drawn < faults.turned_away {
            "BUSY"
        } else if drawn < faults.turned_away + faults.failed {
            "ERR"
        } else {
            "OK"
        };
        if !lacks && self.rng.rand_float() < faults.silent {
            return;
        }
        let resets = self.rng.rand_float() < faults.reset;
        let in_pieces = self.rng.rand_float() < faults.in_pieces;
        let never_ran = matches!(word, "MISS" | "BUSY");
        let work = if never_ran {
            Duration::ZERO
        } else {
            Duration::from_micros((self.rng.rand_float() * WORK_MS * 1_000.0) as u64)
        };
        let data = if word == "OK" { row["data"].as_str().unwrap_or_default() } else { "" };
        let text = answer(row, word, json!({"detail": "resident"}), data);
        let (say, withdrawn, ledger) =
            (say.clone(), Arc::clone(&self.withdrawn), Arc::clone(&self.worker.ledger));
        tokio::spawn(async move {
            sleep(work).await;
            if locked(&withdrawn).contains(&id) {
                return;
            }
            if !resets {
                ledger.lock().arrivals[arrival].answer = Some(word);
            }
            let _ = say.send(Line { text, in_pieces, resets });
        });
    }

    fn ordered(&mut self, row: &Value, first_byte: Instant, say: &mpsc::UnboundedSender<Line>) {
        self.arrives(None, first_byte, Duration::ZERO);
        let function = row["meta"]["path"].as_str().unwrap_or_default().to_owned();
        let text = answer(row, "OK", json!({"instances": 1}), "");
        let (say, worker) = (say.clone(), Arc::clone(&self.worker));
        tokio::spawn(async move {
            sleep(LOAD).await;
            locked(&worker.copies).insert(function);
            let _ = say.send(Line { text, in_pieces: false, resets: false });
        });
    }
}

/// The body of a request, as workers give it back.
pub(crate) fn is_body(given: &[u8], body: &[u8]) -> bool {
    given == body || STANDARD.decode(given).is_ok_and(|decoded| decoded == body)
}
