//! Clients that keep using their connections, cancel, close, and come again at once; and a crowd that says little.

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
use crate::worker::is_body;

/// What clients of one process share.
#[derive(Clone)]
pub(crate) struct Clients {
    pub ledger: Arc<Ledger>,
    pub address: SocketAddr,
    pub node: usize,
    /// No new request is begun.
    pub over: Arc<AtomicBool>,
    pub next_id: Arc<AtomicU64>,
}

/// What is open on one connection.
struct Open {
    id: RequestId,
    written: Instant,
    /// Nothing else was open as it was written.
    alone: bool,
    cancelled: bool,
}

/// A request that crossed the close of an idle connection within this time goes again, once.
const CROSSING: Duration = Duration::from_millis(50);
/// Functions that clients ask for.
const FUNCTIONS: u64 = 12;
const MOST_OPEN: usize = 8;
const BODY: &[u8] = b"body";
const RECONNECT: Duration = Duration::from_millis(20);

fn words(of: &[&[u8]]) -> Bytes {
    encode_array(of)
}

struct Call {
    id: RequestId,
    method: &'static str,
    function: u64,
    timeout: Duration,
}

impl Call {
    fn draw(id: RequestId, rng: &mut Rand64) -> Call {
        let method = if rng.rand_float() < 0.25 { "issue" } else { "read" };
        let timeout = Duration::from_millis(match rng.rand_range(0..10) {
            0 => rng.rand_range(5..60),
            1..=4 => rng.rand_range(200..800),
            _ => rng.rand_range(800..2_000),
        });
        Call { id, method, function: rng.rand_range(0..FUNCTIONS), timeout }
    }

    fn bytes(&self, tag: u64) -> Bytes {
        let fields = format!(
            "req={:016x},timeout={},subject={:016x},info=memory_mb:512;lanes:4",
            self.id,
            self.timeout.as_millis(),
            self.function
        );
        words(&[b"CALL", tag.to_string().as_bytes(), self.method.as_bytes(), fields.as_bytes(), BODY])
    }
}

impl Clients {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// One client, connection after connection.
    pub async fn client(self, mut rng: Rand64) {
        let mut repeated: Option<Call> = None;
        loop {
            match TcpStream::connect(self.address).await {
                Ok(stream) => repeated = self.converse(stream, repeated.take(), &mut rng).await,
                Err(_) => {
                    // Nobody is there to repeat it to.
                    if let Some(call) = repeated.take() {
                        self.with(call.id, |request| request.ended = Some(Instant::now()));
                    }
                }
            }
            if self.is_over() && repeated.is_none() {
                return;
            }
            sleep(RECONNECT).await;
        }
    }

    fn with(&self, id: RequestId, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.ledger.lock().requests.get_mut(&id) {
            change(request);
        }
    }

    async fn say(&self, write: &mut OwnedWriteHalf, call: &Call, tag: u64, was_repeated: bool) -> bool {
        let sent = write.write_all(&call.bytes(tag)).await.is_ok();
        if sent {
            let request = Request {
                node: self.node,
                is_side_effecting: call.method == "issue",
                timeout: call.timeout,
                written: Instant::now(),
                gone: None,
                answers: Vec::new(),
                ended: None,
                was_repeated,
            };
            self.ledger.lock().requests.insert(call.id, request);
        }
        sent
    }

    /// Uses one connection until either side ends it; what crossed the close of an idle one is handed back.
    async fn converse(&self, stream: TcpStream, repeated: Option<Call>, rng: &mut Rand64) -> Option<Call> {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut reader = FramedRead::new(read, CommandDecoder { max_words: 8, max_word_len: 64 * 1024 });
        let (mut open, mut tag) = (BTreeMap::<u64, Open>::new(), 0);
        let (mut left, mut last) = (rng.rand_range(3..60), None::<Call>);
        if let Some(call) = repeated {
            tag += 1;
            if !self.say(&mut write, &call, tag, true).await {
                self.with(call.id, |request| request.ended = Some(Instant::now()));
                return None;
            }
            open.insert(tag, Open { id: call.id, written: Instant::now(), alone: false, cancelled: false });
        }
        let mut next = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                came = reader.next() => match came {
                    Some(Ok(said)) => self.hears(&said, &mut open),
                    _ => return self.is_cut_off(&open, last),
                },
                () = sleep_until(next) => {
                    let over = self.is_over();
                    if (over || left == 0) && open.values().all(|o| o.cancelled) {
                        return None;
                    }
                    next = tokio::time::Instant::now() + Duration::from_micros((rng.rand_float() * 40_000.0) as u64);
                    match rng.rand_range(0..100) {
                        0 if !over => {
                            let now = Instant::now();
                            open.values().for_each(|o| self.with(o.id, |r| r.gone = r.gone.or(Some(now))));
                            return None;
                        }
                        1..=4 => if let Some((tag, o)) = open.iter_mut().find(|(_, o)| !o.cancelled) {
                            let cancel = words(&[b"CANCEL", tag.to_string().as_bytes()]);
                            if write.write_all(&cancel).await.is_ok() {
                                o.cancelled = true;
                                self.with(o.id, |r| r.gone = Some(Instant::now()));
                            }
                        },
                        _ if !over && left > 0 && open.len() < MOST_OPEN => {
                            (left, tag) = (left - 1, tag + 1);
                            let call = Call::draw(self.next_id.fetch_add(1, Ordering::Relaxed), rng);
                            if !self.say(&mut write, &call, tag, false).await {
                                return self.is_cut_off(&open, None);
                            }
                            let alone = open.is_empty();
                            open.insert(tag, Open { id: call.id, written: Instant::now(), alone, cancelled: false });
                            last = Some(call);
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    fn hears(&self, said: &[Bytes], open: &mut BTreeMap<u64, Open>) {
        let tag = said.first().and_then(|tag| std::str::from_utf8(tag).ok()?.parse::<u64>().ok());
        let word = match said.get(1).map_or(&b""[..], |w| &w[..]) {
            w if w == GOOD.as_bytes() => Answer::Good,
            w if w == REFUSED.as_bytes() => Answer::Refused,
            _ => Answer::Failed,
        };
        let Some(o) = tag.and_then(|tag| open.remove(&tag)) else {
            return self.ledger.lock().harness_errors.push(format!("an answer to nothing: {said:?}"));
        };
        if word == Answer::Good && !said.get(3).is_some_and(|given| is_body(given, BODY)) {
            self.ledger.lock().harness_errors.push(format!("{:016x} was given another body", o.id));
        }
        self.with(o.id, |request| request.answers.push((Instant::now(), word)));
    }

    /// The process was told to end, or was killed, a moment ago: what ends then is no close of an idle connection.
    fn is_ending(&self, now: Instant) -> bool {
        let state = self.ledger.lock();
        let process_runs = state.process_runs.iter().filter(|((node, _), _)| *node == self.node);
        let ends = |life: &ProcessRun| life.killed.max(life.ended.map(|(at, _)| at));
        process_runs.filter_map(|(_, life)| ends(life)).any(|at| at + 2 * CROSSING >= now)
    }

    /// The other side has ended the connection.
    fn is_cut_off(&self, open: &BTreeMap<u64, Open>, last: Option<Call>) -> Option<Call> {
        let now = Instant::now();
        let waits: Vec<&Open> = open.values().filter(|o| !o.cancelled).collect();
        if let ([o], Some(call)) = (&waits[..], last) {
            if o.alone && call.id == o.id && now - o.written <= CROSSING && !self.is_ending(now) {
                self.ledger.lock().requests.remove(&call.id);
                return Some(call);
            }
        }
        waits.iter().for_each(|o| self.with(o.id, |request| request.ended = Some(now)));
        None
    }

    /// One of a crowd: it connects, says nothing or asks once whether the process is fit, and stays.
    pub async fn one_of_a_crowd(self, asks: bool) {
        while !self.is_over() {
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                if asks {
                    let _ = stream.write_all(&words(&[b"CHECK", b"1", b""])).await;
                }
                let (mut read, _write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut tokio::io::sink()).await;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
}
