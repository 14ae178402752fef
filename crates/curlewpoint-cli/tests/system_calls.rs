//! Runs nodes as processes with a preloaded library that makes system calls fail or return short counts, as documented for
//! Linux.

mod test_servers;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Instant;

use serde_json::{json, Value};
use test_servers::*;

/// The functions whose calls a scripted worker holds back, and answers with a miss. It serves all others.
const HELD_FUNCTION: u64 = 1;
const MISSED_FUNCTION: u64 = 2;

/// Data received by a scripted worker: a complete line, or the beginning of one.
enum Received {
    Part,
    Line(Value),
}

/// A worker that reports received data with its time, and through which the test answers the held request.
struct ScriptedWorker {
    address: String,
    received: mpsc::Receiver<(Instant, Received)>,
    /// The held request and its connection.
    held: Arc<Mutex<Option<(TcpStream, Value)>>>,
}

fn reply_line(request: &Value, reply_type: &str) -> Vec<u8> {
    format!(
        "{}\n",
        json!({"type": reply_type, "req": request["req"], "meta": {"detail": "resident"}, "data": ""})
    )
    .into_bytes()
}

impl ScriptedWorker {
    fn start(transcript: &SharedTranscript) -> ScriptedWorker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let ((sender, received), held) =
            (mpsc::channel(), Arc::<Mutex<Option<(TcpStream, Value)>>>::default());
        let (held_slot, transcript) = (Arc::clone(&held), transcript.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (sender, held_slot, transcript) =
                    (sender.clone(), Arc::clone(&held_slot), transcript.clone());
                std::thread::spawn(move || serve_connection(stream, &sender, &held_slot, &transcript));
            }
        });
        ScriptedWorker { address, received, held }
    }

    /// Waits for a line of this type, or for the beginning of any line.
    fn wait_for(&self, kind: &str) -> Instant {
        loop {
            let (at, data) = self.received.recv_timeout(STEP_TIMEOUT).expect(kind);
            match data {
                Received::Line(row) if row["type"] != kind => {}
                _ => return at,
            }
        }
    }

    /// Answers the held request.
    fn answer_held(&self, transcript: &SharedTranscript) {
        let (mut stream, row) = self.held.lock().unwrap().take().expect("a request is held");
        transcript.with(|r| r.worker_answered(row["req"].as_str().unwrap(), b""));
        stream.write_all(&reply_line(&row, "OK")).unwrap();
    }

    /// Returns the arrival times of the lines of this type received so far.
    fn arrivals(&self, kind: &str) -> Vec<Instant> {
        let lines = self.received.try_iter().filter_map(|(at, data)| match data {
            Received::Line(row) if row["type"] == kind => Some(at),
            _ => None,
        });
        lines.collect()
    }
}

fn serve_connection(
    mut stream: TcpStream, sender: &mpsc::Sender<(Instant, Received)>,
    held: &Mutex<Option<(TcpStream, Value)>>, transcript: &SharedTranscript,
) {
    stream.set_nodelay(true).unwrap();
    let (mut unread, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        unread.extend_from_slice(&buffer[..n]);
        while let Some(end) = unread.iter().position(|b| *b == b'\n') {
            let row: Value = serde_json::from_slice(&unread.drain(..=end).collect::<Vec<_>>()).unwrap();
            let subject = row["meta"]["path"].as_str().map_or(0, |id| u64::from_str_radix(id, 16).unwrap());
            let reply_type = match row["type"].as_str() {
                Some("invoke") if subject == HELD_FUNCTION => {
                    *held.lock().unwrap() = Some((stream.try_clone().unwrap(), row.clone()));
                    None
                }
                Some("invoke") if subject == MISSED_FUNCTION => Some("MISS"),
                Some("invoke") => Some("OK"),
                Some("gauges") => Some("UP"),
                _ => None,
            };
            if row["type"] == "invoke" {
                transcript.with(|r| {
                    r.worker_received(row["req"].as_str().unwrap());
                    if reply_type == Some("OK") {
                        r.worker_answered(row["req"].as_str().unwrap(), b"");
                    }
                });
            }
            if let Some(reply_type) = reply_type {
                let _ = stream.write_all(&reply_line(&row, reply_type));
            }
            let _ = sender.send((Instant::now(), Received::Line(row)));
        }
        if !unread.is_empty() {
            let _ = sender.send((Instant::now(), Received::Part));
        }
    }
}

/// Settings for workers that answer with a miss and accept load orders.
fn settings_with_load_orders() -> Value {
    let mut settings = settings(1);
    settings["familyInfo"] = json!({"keepAlive": 8000.0, "whenAbsent": "miss", "mayOrder": true, "loadFloor": 50,
        "loadsWithin": 5000.0, "orderLimit": 8000.0});
    settings["requestClasses"][0]["giveUp"] = json!(6000.0);
    settings
}

fn call_of(tag: u64, id: u64, function: u64) -> Vec<u8> {
    let fields = format!("req={id:016x},timeout=5000,subject={function:016x},info=memory_mb:512;lanes:8");
    encode(&["CALL", &tag.to_string(), "read", &fields, "body"])
}

/// Discovery queries, five a second, until well after the drain grace.
const QUERIES_PER_DRAIN_GRACE: usize = 5;

/// Guards against rule 3 broken by a load order after a short write: its rest must not stay buffered until another event
/// wakes the connection, long after the worker began to drain. Here the event is the answer to a held attempt.
#[test]
fn a_load_order_after_a_short_write_does_not_arrive_after_the_drain() {
    let transcript = SharedTranscript::default();
    let (drained, (next, _)) = (ScriptedWorker::start(&transcript), start_worker(&transcript));
    let (sender, queries) = mpsc::channel();
    let cold_since = Arc::<AtomicU64>::default();
    let resolver = start_discovery(
        0,
        vec![drained.address.clone(), next],
        Arc::clone(&cold_since),
        Arc::default(),
        move |_| {
            let _ = sender.send(Instant::now());
        },
    );
    let config = startup_config(
        7,
        &resolver,
        std::slice::from_ref(&drained.address),
        256,
        settings_with_load_orders(),
    );
    let node =
        Node::start_with_faults("order", &config, 256, "send tcp short 100% containing prewarm times 1");
    let mut client = Client::new(&node.address, &transcript);
    client.send(&call_of(1, 1, HELD_FUNCTION));
    drained.wait_for("invoke");
    client.send(&call_of(2, 2, MISSED_FUNCTION));
    drained.wait_for("prewarm");
    cold_since.store(1, Ordering::Release);
    // The response to the second query reports the drain.
    queries.try_iter().for_each(drop);
    for _ in 0..2 {
        queries.recv_timeout(STEP_TIMEOUT).expect("a discovery query");
    }
    let drain_reported = Instant::now();
    for _ in 0..QUERIES_PER_DRAIN_GRACE {
        queries.recv_timeout(STEP_TIMEOUT).expect("a discovery query");
    }
    drained.answer_held(&transcript);
    assert!(client.receive_all_replies());
    queries.recv_timeout(STEP_TIMEOUT).expect("a discovery query");
    let late = drained.arrivals("prewarm").into_iter().filter(|at| *at > drain_reported).count();
    assert_eq!(late, 0, "load orders completed after the drain grace");
    transcript.assert_no_violations();
}

/// Discovery queries, five a second, until well after a cancel.
const QUERIES_AFTER_CANCEL: usize = 3;

/// Guards against an attempt that is completed after a short write although its client cancelled it long before.
#[test]
fn an_attempt_after_a_short_write_does_not_arrive_after_its_cancel() {
    let transcript = SharedTranscript::default();
    let worker = ScriptedWorker::start(&transcript);
    let (sender, queries) = mpsc::channel();
    let workers = vec![worker.address.clone(), worker.address.clone()];
    let resolver = start_discovery(0, workers, Arc::default(), Arc::default(), move |_| {
        let _ = sender.send(());
    });
    let config = startup_config(7, &resolver, std::slice::from_ref(&worker.address), 256, settings(1));
    let node = Node::start_with_faults(
        "cancel",
        &config,
        256,
        "send tcp short 100% containing 0000000000000c0c times 1",
    );
    let (mut client, mut other) =
        (Client::new(&node.address, &transcript), Client::new(&node.address, &transcript));
    other.send(&call_of(1, 1, HELD_FUNCTION));
    worker.wait_for("invoke");
    client.send(&call_of(1, 0xc0c, 3));
    worker.wait_for("invoke");
    queries.try_iter().for_each(drop);
    let cancelled = Instant::now();
    client.send(&encode(&["CANCEL", "1"]));
    for _ in 0..QUERIES_AFTER_CANCEL {
        queries.recv_timeout(STEP_TIMEOUT).expect("a discovery query");
    }
    worker.answer_held(&transcript);
    assert!(other.receive_all_replies());
    let late = worker.arrivals("invoke").into_iter().filter(|at| (*at - cancelled).as_millis() > 150).count();
    assert_eq!(late, 0, "attempts completed long after the cancel");
}

const CALLS: u64 = 300;

/// Asserts that all calls of a client are served while system calls fail according to this script.
fn assert_all_calls_are_served(name: &str, faults: &str) {
    let transcript = SharedTranscript::default();
    let (at, _) = start_worker(&transcript);
    let node = Node::start_with_faults(
        name,
        &startup_config(7, "127.0.0.1:9", &[at], 256, settings(1)),
        256,
        faults,
    );
    let mut client = Client::new(&node.address, &transcript);
    let mut lost = Vec::new();
    for tag in 1..=CALLS {
        client.send(&call(tag, tag));
        if !client.receive_all_replies() {
            lost.push(tag);
            client = Client::new(&node.address, &transcript);
        }
    }
    assert!(lost.is_empty(), "{} of {CALLS} calls were lost: {lost:?}", lost.len());
    transcript.assert_no_violations();
}

/// Guards against connections closed because a system call was interrupted.
#[test]
fn interrupted_reads_and_writes_lose_nothing() {
    assert_all_calls_are_served(
        "eintr",
        "seed 3; send tcp EINTR 10%; recv tcp EINTR 10%; recv udp EINTR 50%; send udp EINTR 50%",
    );
}

/// Guards against a wait for readiness that is never reported after a short read or write.
#[test]
fn short_reads_and_writes_lose_nothing() {
    assert_all_calls_are_served("short", "seed 3; send tcp short 30%; recv tcp short 30%");
}

/// Calls sent at once while only a cold worker is ready.
const CALLS_TO_COLD_WORKER: u64 = 60;
/// The maximum number of these that may reach it at the start of its ramp.
const MAX_FIRST_CALLS_TO_COLD_WORKER: usize = 12;

/// Guards against slow start that relies on the wall clock: after a step by an hour, a worker that has just started must
/// still be treated as cold.
#[test]
fn slow_start_survives_a_step_of_the_wall_clock() {
    let transcript = SharedTranscript::default();
    let ((warm, _), (cold, calls)) = (start_worker(&transcript), start_worker(&transcript));
    let (sender, queries) = mpsc::channel();
    let cold_since = Arc::<AtomicU64>::default();
    let workers = vec![warm.clone(), cold];
    let resolver = start_discovery(0, workers, Arc::clone(&cold_since), Arc::default(), move |_| {
        let _ = sender.send(());
    });
    let config = startup_config(7, &resolver, &[warm], 256, settings(1));
    let node = Node::start_with_faults("clock", &config, 256, "clock step 3600000 after 300");
    let mut client = Client::new(&node.address, &transcript);
    for tag in 1..=20 {
        client.send(&call(tag, tag));
        assert!(client.receive_all_replies());
    }
    let wait_for_queries =
        |n: usize| (0..n).for_each(|_| queries.recv_timeout(STEP_TIMEOUT).expect("a discovery query"));
    queries.try_iter().for_each(drop);
    wait_for_queries(QUERIES_PER_DRAIN_GRACE);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    cold_since.store(now, Ordering::Release);
    wait_for_queries(2);
    for tag in 100..100 + CALLS_TO_COLD_WORKER {
        client.send(&call(tag, tag));
    }
    wait_for_queries(1);
    let received = calls.lock().unwrap().len();
    assert!(
        received <= MAX_FIRST_CALLS_TO_COLD_WORKER,
        "{received} calls reached a worker that has just started"
    );
}

/// Document requests over one connection to the HTTP listener.
const DOCUMENT_REQUESTS: usize = 40;

/// The same for the HTTP listener of the gateway.
#[test]
fn interrupted_and_short_calls_lose_nothing_at_the_http_door() {
    let http_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = std::env::temp_dir().join(format!("curlewpoint-http-{}.conf", std::process::id()));
    let text = format!(
        "name front-1\nlisten 127.0.0.1:0\nhttp {http_address}\nlist 127.0.0.1:9\nmethod issue {{\n  effect side-effecting\n  soft-deadline 2s\n  deadline 5s\n}}\n"
    );
    std::fs::write(&config, text).unwrap();
    let mut serve = std::process::Command::new(env!("CARGO_BIN_EXE_curlewpoint"));
    serve.arg("serve").arg(&config).stdout(std::process::Stdio::piped()).stderr(std::process::Stdio::null());
    serve.env("LD_PRELOAD", faults_library());
    serve.env(
        "CURLEWPOINT_FAULTS",
        "seed 5; send tcp short 30%; recv tcp short 30%; send tcp EINTR 10%; recv tcp EINTR 10%",
    );
    let mut gateway = serve.spawn().unwrap();
    let mut first_line = String::new();
    std::io::BufRead::read_line(
        &mut std::io::BufReader::new(gateway.stdout.take().unwrap()),
        &mut first_line,
    )
    .unwrap();
    let mut client = TcpStream::connect(http_address).unwrap();
    client.set_read_timeout(Some(std::time::Duration::from_secs(2))).unwrap();
    let served = (0..DOCUMENT_REQUESTS).take_while(|_| is_served(&mut client)).count();
    let _ = gateway.kill();
    let _ = gateway.wait();
    let _ = std::fs::remove_file(&config);
    assert_eq!(served, DOCUMENT_REQUESTS);
}

/// Requests the document once and returns whether the complete response arrived.
fn is_served(client: &mut TcpStream) -> bool {
    if client.write_all(b"GET /openapi.json HTTP/1.1\r\nhost: x\r\n\r\n").is_err() {
        return false;
    }
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let length = text.split("content-length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
        let body = text.find("\r\n\r\n").map(|end| received.len() - end - 4);
        if let (Some(length), Some(body)) = (length, body) {
            if body >= length {
                return true;
            }
        }
        match client.read(&mut buffer) {
            Ok(n @ 1..) => received.extend_from_slice(&buffer[..n]),
            _ => return false,
        }
    }
}
