//! Simulated clients that keep using their connections, cancel, close and reconnect at once; and idle clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use curlewpoint_platform::commands::{GOOD, REFUSED};
use curlewpoint_platform::resp::{encode_array, CommandDecoder};
use oorandom::Rand64;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until};
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;

use crate::ledger::{Answer, Ledger, ProcessRun, Request, RequestId};
use crate::worker::is_same_body;

/// State shared by the clients of one process.
#[derive(Clone)]
pub(crate) struct Clients {
    pub ledger: Arc<Ledger>,
    pub address: SocketAddr,
    pub node: usize,
    /// Whether the run is ending, so that no new request is started.
    pub ending: Arc<AtomicBool>,
    pub next_id: Arc<AtomicU64>,
}

/// An open request on a connection.
struct OpenRequest {
    id: RequestId,
    written: Instant,
    /// Whether no other request was open when this one was written.
    alone: bool,
    cancelled: bool,
}

/// A request that was written within this time before the close of an idle connection is repeated once.
const IDLE_CLOSE_WINDOW: Duration = Duration::from_millis(50);
/// Number of functions that clients call.
const FUNCTION_COUNT: u64 = 12;
/// Maximum number of open requests per connection.
const MAX_OPEN_REQUESTS: usize = 8;
const BODY: &[u8] = b"body";
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

fn encode(words: &[&[u8]]) -> Bytes {
    encode_array(words)
}

struct Call {
    id: RequestId,
    method: &'static str,
    function: u64,
    timeout: Duration,
}

impl Call {
    fn generate(id: RequestId, rng: &mut Rand64) -> Call {
        let method = if rng.rand_float() < 0.25 { "issue" } else { "read" };
        let timeout = Duration::from_millis(match rng.rand_range(0..10) {
            0 => rng.rand_range(5..60),
            1..=4 => rng.rand_range(200..800),
            _ => rng.rand_range(800..2_000),
        });
        Call { id, method, function: rng.rand_range(0..FUNCTION_COUNT), timeout }
    }

    fn encode(&self, tag: u64) -> Bytes {
        let fields = format!(
            "req={:016x},timeout={},subject={:016x},info=memory_mb:512;lanes:4",
            self.id,
            self.timeout.as_millis(),
            self.function
        );
        encode(&[b"CALL", tag.to_string().as_bytes(), self.method.as_bytes(), fields.as_bytes(), BODY])
    }
}

impl Clients {
    fn is_ending(&self) -> bool {
        self.ending.load(Ordering::Relaxed)
    }

    /// Runs one client, which opens one connection after the other.
    pub async fn run_client(self, mut rng: Rand64) {
        let mut repeated: Option<Call> = None;
        loop {
            match TcpStream::connect(self.address).await {
                Ok(stream) => repeated = self.use_connection(stream, repeated.take(), &mut rng).await,
                Err(_) => {
                    // The request cannot be repeated, as the process does not accept connections.
                    if let Some(call) = repeated.take() {
                        self.update_request(call.id, |request| request.disconnected = Some(Instant::now()));
                    }
                }
            }
            if self.is_ending() && repeated.is_none() {
                return;
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    fn update_request(&self, id: RequestId, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.ledger.lock().requests.get_mut(&id) {
            change(request);
        }
    }

    async fn send_call(&self, write: &mut OwnedWriteHalf, call: &Call, tag: u64, was_repeated: bool) -> bool {
        let sent = write.write_all(&call.encode(tag)).await.is_ok();
        if sent {
            let request = Request {
                node: self.node,
                is_side_effecting: call.method == "issue",
                timeout: call.timeout,
                written: Instant::now(),
                abandoned: None,
                answers: Vec::new(),
                disconnected: None,
                was_repeated,
            };
            self.ledger.lock().requests.insert(call.id, request);
        }
        sent
    }

    /// Uses one connection until either side closes it. Returns a request that crossed the close of an idle connection.
    async fn use_connection(
        &self, stream: TcpStream, repeated: Option<Call>, rng: &mut Rand64,
    ) -> Option<Call> {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut reader = FramedRead::new(read, CommandDecoder { max_words: 8, max_word_len: 64 * 1024 });
        let (mut open, mut tag) = (BTreeMap::<u64, OpenRequest>::new(), 0);
        let (mut calls_left, mut last) = (rng.rand_range(3..60), None::<Call>);
        if let Some(call) = repeated {
            tag += 1;
            if !self.send_call(&mut write, &call, tag, true).await {
                self.update_request(call.id, |request| request.disconnected = Some(Instant::now()));
                return None;
            }
            open.insert(
                tag,
                OpenRequest { id: call.id, written: Instant::now(), alone: false, cancelled: false },
            );
        }
        let mut next = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                received = reader.next() => match received {
                    Some(Ok(words)) => self.handle_answer(&words, &mut open),
                    _ => return self.handle_disconnect(&open, last),
                },
                () = sleep_until(next) => {
                    let ending = self.is_ending();
                    if (ending || calls_left == 0) && open.values().all(|o| o.cancelled) {
                        return None;
                    }
                    next = tokio::time::Instant::now() + Duration::from_micros((rng.rand_float() * 40_000.0) as u64);
                    match rng.rand_range(0..100) {
                        0 if !ending => {
                            let now = Instant::now();
                            open.values().for_each(|o| self.update_request(o.id, |r| r.abandoned = r.abandoned.or(Some(now))));
                            return None;
                        }
                        1..=4 => if let Some((tag, o)) = open.iter_mut().find(|(_, o)| !o.cancelled) {
                            let cancel = encode(&[b"CANCEL", tag.to_string().as_bytes()]);
                            if write.write_all(&cancel).await.is_ok() {
                                o.cancelled = true;
                                self.update_request(o.id, |r| r.abandoned = Some(Instant::now()));
                            }
                        },
                        _ if !ending && calls_left > 0 && open.len() < MAX_OPEN_REQUESTS => {
                            (calls_left, tag) = (calls_left - 1, tag + 1);
                            let call = Call::generate(self.next_id.fetch_add(1, Ordering::Relaxed), rng);
                            if !self.send_call(&mut write, &call, tag, false).await {
                                return self.handle_disconnect(&open, None);
                            }
                            let alone = open.is_empty();
                            open.insert(tag, OpenRequest { id: call.id, written: Instant::now(), alone, cancelled: false });
                            last = Some(call);
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    fn handle_answer(&self, words: &[Bytes], open: &mut BTreeMap<u64, OpenRequest>) {
        let tag = words.first().and_then(|tag| std::str::from_utf8(tag).ok()?.parse::<u64>().ok());
        let answer = match words.get(1).map_or(&b""[..], |w| &w[..]) {
            w if w == GOOD.as_bytes() => Answer::Good,
            w if w == REFUSED.as_bytes() => Answer::Refused,
            _ => Answer::Failed,
        };
        let Some(o) = tag.and_then(|tag| open.remove(&tag)) else {
            return self
                .ledger
                .lock()
                .harness_errors
                .push(format!("answer without an open request: {words:?}"));
        };
        if answer == Answer::Good && !words.get(3).is_some_and(|body| is_same_body(body, BODY)) {
            self.ledger.lock().harness_errors.push(format!("the answer to {:016x} has another body", o.id));
        }
        self.update_request(o.id, |request| request.answers.push((Instant::now(), answer)));
    }

    /// Whether the process was killed or ended just before, so that a disconnect is not the close of an idle connection.
    fn is_process_ending(&self, now: Instant) -> bool {
        let state = self.ledger.lock();
        let process_runs = state.process_runs.iter().filter(|((node, _), _)| *node == self.node);
        let end_time = |run: &ProcessRun| run.killed.max(run.ended.map(|(at, _)| at));
        process_runs.filter_map(|(_, run)| end_time(run)).any(|at| at + 2 * IDLE_CLOSE_WINDOW >= now)
    }

    /// The process has closed the connection. Returns the last request if it may be repeated.
    fn handle_disconnect(&self, open: &BTreeMap<u64, OpenRequest>, last: Option<Call>) -> Option<Call> {
        let now = Instant::now();
        let waiting: Vec<&OpenRequest> = open.values().filter(|o| !o.cancelled).collect();
        if let ([o], Some(call)) = (&waiting[..], last) {
            if o.alone
                && call.id == o.id
                && now - o.written <= IDLE_CLOSE_WINDOW
                && !self.is_process_ending(now)
            {
                self.ledger.lock().requests.remove(&call.id);
                return Some(call);
            }
        }
        waiting.iter().for_each(|o| self.update_request(o.id, |request| request.disconnected = Some(now)));
        None
    }

    /// Runs an idle client, which connects, sends at most one CHECK and stays connected.
    pub async fn run_idle_client(self, sends_check: bool) {
        while !self.is_ending() {
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                if sends_check {
                    let _ = stream.write_all(&encode(&[b"CHECK", b"1", b""])).await;
                }
                let (mut read, _write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut tokio::io::sink()).await;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
}
