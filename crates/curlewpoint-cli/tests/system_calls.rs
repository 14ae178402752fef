//! Nodes as processes of their own whose system calls fail or are cut short, as Linux documents, by a preloaded library.

mod test_servers;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Instant;

use test_servers::*;
use serde_json::{json, Value};

/// The functions whose calls a scripted worker holds, and answers with a miss; it serves all others.
const HELD: u64 = 1;
const MISSED: u64 = 2;

/// What a scripted worker has heard: a whole line, or the first bytes of one.
enum Heard {
    Part,
    Line(Value),
}

/// A worker that tells what it hears, with the moment, and by which its test answers what it holds.
struct ScriptedWorker {
    address: String,
    heard: mpsc::Receiver<(Instant, Heard)>,
    /// The connection and the request that are held.
    held: Arc<Mutex<Option<(TcpStream, Value)>>>,
}

fn answer(to: &Value, word: &str) -> Vec<u8> {
    format!("{}\n", json!({"type": word, "req": to["req"], "meta": {"detail": "resident"}, "data": ""}))
        .into_bytes()
}

impl ScriptedWorker {
    fn start(book: &Book) -> ScriptedWorker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let ((tell, heard), held) = (mpsc::channel(), Arc::<Mutex<Option<(TcpStream, Value)>>>::default());
        let (holds, book) = (Arc::clone(&held), book.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (tell, holds, book) = (tell.clone(), Arc::clone(&holds), book.clone());
                std::thread::spawn(move || converse(stream, &tell, &holds, &book));
            }
        });
        ScriptedWorker { address, heard, held }
    }

    /// Waits for a line of this type, or the first bytes of any.
    fn hears(&self, kind: &str) -> Instant {
        loop {
            let (at, heard) = self.heard.recv_timeout(STEP).expect(kind);
            match heard {
                Heard::Line(row) if row["type"] != kind => {}
                _ => return at,
            }
        }
    }

    /// Answers the request that it holds.
    fn answers_what_it_holds(&self, book: &Book) {
        let (mut stream, row) = self.held.lock().unwrap().take().expect("one is held");
        book.look(|r| r.worker_answered(row["req"].as_str().unwrap(), b""));
        stream.write_all(&answer(&row, "OK")).unwrap();
    }

    /// When lines of this type have come by now.
    fn came(&self, kind: &str) -> Vec<Instant> {
        let lines = self.heard.try_iter().filter_map(|(at, heard)| match heard {
            Heard::Line(row) if row["type"] == kind => Some(at),
            _ => None,
        });
        lines.collect()
    }
}

fn converse(
    mut stream: TcpStream, tell: &mpsc::Sender<(Instant, Heard)>, holds: &Mutex<Option<(TcpStream, Value)>>,
    book: &Book,
) {
    stream.set_nodelay(true).unwrap();
    let (mut unread, mut some) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut some) {
        unread.extend_from_slice(&some[..n]);
        while let Some(end) = unread.iter().position(|b| *b == b'\n') {
            let row: Value = serde_json::from_slice(&unread.drain(..=end).collect::<Vec<_>>()).unwrap();
            let subject = row["meta"]["path"].as_str().map_or(0, |id| u64::from_str_radix(id, 16).unwrap());
            let word = match row["type"].as_str() {
                Some("invoke") if subject == HELD => {
                    *holds.lock().unwrap() = Some((stream.try_clone().unwrap(), row.clone()));
                    None
                }
                Some("invoke") if subject == MISSED => Some("MISS"),
                Some("invoke") => Some("OK"),
                Some("gauges") => Some("UP"),
                _ => None,
            };
            if row["type"] == "invoke" {
                book.look(|r| {
                    r.worker_received(row["req"].as_str().unwrap());
                    if word == Some("OK") {
                        r.worker_answered(row["req"].as_str().unwrap(), b"");
                    }
                });
            }
            if let Some(word) = word {
                let _ = stream.write_all(&answer(&row, word));
            }
            let _ = tell.send((Instant::now(), Heard::Line(row)));
        }
        if !unread.is_empty() {
            let _ = tell.send((Instant::now(), Heard::Part));
        }
    }
}

/// Settings of workers that answer a miss, and take load orders.
fn missing() -> Value {
    let mut settings = settings(1);
    settings["familyInfo"] = json!({"keepAlive": 8000.0, "whenAbsent": "miss", "mayOrder": true, "loadFloor": 50,
        "loadsWithin": 5000.0, "orderLimit": 8000.0});
    settings["requestClasses"][0]["giveUp"] = json!(6000.0);
    settings
}

fn call_of(tag: u64, id: u64, function: u64) -> Vec<u8> {
    let fields = format!("req={id:016x},timeout=5000,subject={function:016x},info=memory_mb:512;lanes:8");
    row(&["CALL", &tag.to_string(), "read", &fields, "body"])
}

/// Questions to the directory, five a second, until the grace of a drain is over with some to spare.
const QUESTIONS_OF_A_GRACE: usize = 5;

/// Guards rule 3 against a load order of which the kernel took a part: its rest must not lie here until something else wakes the
/// connection, long after the worker's drain. Here that is the answer to an attempt that the worker held.
#[test]
fn a_load_order_cut_short_does_not_come_after_a_drain() {
    let book = Book::default();
    let (drained, (next, _)) = (ScriptedWorker::start(&book), worker(&book));
    let (tell, asked) = mpsc::channel();
    let since = Arc::<AtomicU64>::default();
    let resolver =
        directory(0, vec![drained.address.clone(), next], Arc::clone(&since), Arc::default(), move |_| {
            let _ = tell.send(Instant::now());
        });
    let first = told(7, &resolver, std::slice::from_ref(&drained.address), 256, missing());
    let node = Node::start_with("order", &first, 256, "send tcp short 100% containing prewarm times 1");
    let mut client = Client::new(&node.address, &book);
    client.says(&call_of(1, 1, HELD));
    drained.hears("invoke");
    client.says(&call_of(2, 2, MISSED));
    drained.hears("prewarm");
    since.store(1, Ordering::Release);
    // From the second question on the drain is told.
    asked.try_iter().for_each(drop);
    for _ in 0..2 {
        asked.recv_timeout(STEP).expect("the directory is asked");
    }
    let told_by = Instant::now();
    for _ in 0..QUESTIONS_OF_A_GRACE {
        asked.recv_timeout(STEP).expect("the directory is asked");
    }
    drained.answers_what_it_holds(&book);
    assert!(client.has_all());
    asked.recv_timeout(STEP).expect("the directory is asked");
    let late = drained.came("prewarm").into_iter().filter(|at| *at > told_by).count();
    assert_eq!(late, 0, "load orders that came whole after the drain was told and its grace was over");
    book.keeps_the_rule();
}

/// Questions to the directory, five a second, until a cancel is long past.
const QUESTIONS_AFTER_A_CANCEL: usize = 3;

/// Guards clients' cancels against an attempt of which the kernel took a part: it must not come whole long after the cancel.
#[test]
fn an_attempt_cut_short_does_not_come_after_its_cancel() {
    let book = Book::default();
    let at = ScriptedWorker::start(&book);
    let (tell, asked) = mpsc::channel();
    let workers = vec![at.address.clone(), at.address.clone()];
    let resolver = directory(0, workers, Arc::default(), Arc::default(), move |_| {
        let _ = tell.send(());
    });
    let first = told(7, &resolver, std::slice::from_ref(&at.address), 256, settings(1));
    let node =
        Node::start_with("cancel", &first, 256, "send tcp short 100% containing 0000000000000c0c times 1");
    let (mut client, mut other) = (Client::new(&node.address, &book), Client::new(&node.address, &book));
    other.says(&call_of(1, 1, HELD));
    at.hears("invoke");
    client.says(&call_of(1, 0xc0c, 3));
    at.hears("invoke");
    asked.try_iter().for_each(drop);
    let cancelled = Instant::now();
    client.says(&row(&["CANCEL", "1"]));
    for _ in 0..QUESTIONS_AFTER_A_CANCEL {
        asked.recv_timeout(STEP).expect("the directory is asked");
    }
    at.answers_what_it_holds(&book);
    assert!(other.has_all());
    let late = at.came("invoke").into_iter().filter(|at| (*at - cancelled).as_millis() > 150).count();
    assert_eq!(late, 0, "attempts that came whole long after their client had cancelled");
}

const CALLS: u64 = 300;

/// All calls of one client are served though system calls fail by this script.
fn all_are_served_under(name: &str, faults: &str) {
    let book = Book::default();
    let (at, _) = worker(&book);
    let node = Node::start_with(name, &told(7, "127.0.0.1:9", &[at], 256, settings(1)), 256, faults);
    let mut client = Client::new(&node.address, &book);
    let mut lost = Vec::new();
    for no in 1..=CALLS {
        client.says(&call(no, no));
        if !client.has_all() {
            lost.push(no);
            client = Client::new(&node.address, &book);
        }
    }
    assert!(lost.is_empty(), "{} of {CALLS} were lost: {lost:?}", lost.len());
    book.keeps_the_rule();
}

/// Guards against connections that are given up for an interrupted call, which is no end of anything.
#[test]
fn interrupted_reads_and_writes_lose_nothing() {
    all_are_served_under(
        "eintr",
        "seed 3; send tcp EINTR 10%; recv tcp EINTR 10%; recv udp EINTR 50%; send udp EINTR 50%",
    );
}

/// Guards against waiting for a readiness that was forgotten with a read or write cut short.
#[test]
fn short_reads_and_writes_lose_nothing() {
    all_are_served_under("short", "seed 3; send tcp short 30%; recv tcp short 30%");
}

/// Calls that are turned to a cold worker at once, and how many of them it may get in the first moments.
const CALLS_TO_A_COLD_WORKER: u64 = 60;
const FIRST_TO_A_COLD_WORKER: usize = 12;

/// Guards slow start against a wall clock that is stepped by an hour: a worker that has just started is cold all the same.
#[test]
fn a_cold_worker_is_cold_though_the_wall_clock_has_been_stepped() {
    let book = Book::default();
    let ((warm, _), (cold, calls)) = (worker(&book), worker(&book));
    let (tell, asked) = mpsc::channel();
    let since = Arc::<AtomicU64>::default();
    let workers = vec![warm.clone(), cold];
    let resolver = directory(0, workers, Arc::clone(&since), Arc::default(), move |_| {
        let _ = tell.send(());
    });
    let first = told(7, &resolver, &[warm], 256, settings(1));
    let node = Node::start_with("clock", &first, 256, "clock step 3600000 after 300");
    let mut client = Client::new(&node.address, &book);
    for no in 1..=20 {
        client.says(&call(no, no));
        assert!(client.has_all());
    }
    let questions = |n: usize| (0..n).for_each(|_| asked.recv_timeout(STEP).expect("the directory is asked"));
    asked.try_iter().for_each(drop);
    questions(QUESTIONS_OF_A_GRACE);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    since.store(now, Ordering::Release);
    questions(2);
    for no in 100..100 + CALLS_TO_A_COLD_WORKER {
        client.says(&call(no, no));
    }
    questions(1);
    let came = calls.lock().unwrap().len();
    assert!(came <= FIRST_TO_A_COLD_WORKER, "{came} calls came to a worker that has just started");
}

/// Requests for a document over one connection of the HTTP door.
const DOCUMENTS: usize = 40;

/// The same of the gateway's HTTP door.
#[test]
fn interrupted_and_short_calls_lose_nothing_at_the_http_door() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = std::env::temp_dir().join(format!("curlewpoint-http-{}.conf", std::process::id()));
    let text = format!(
        "name front-1\nlisten 127.0.0.1:0\nhttp {free}\nlist 127.0.0.1:9\nmethod issue {{\n  effect side-effecting\n  soft-deadline 2s\n  deadline 5s\n}}\n"
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
    let mut first = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(gateway.stdout.take().unwrap()), &mut first)
        .unwrap();
    let mut client = TcpStream::connect(free).unwrap();
    client.set_read_timeout(Some(std::time::Duration::from_secs(2))).unwrap();
    let served = (0..DOCUMENTS).take_while(|_| is_served(&mut client)).count();
    let _ = gateway.kill();
    let _ = gateway.wait();
    let _ = std::fs::remove_file(&config);
    assert_eq!(served, DOCUMENTS);
}

/// Whether one request for the document has its whole answer.
fn is_served(client: &mut TcpStream) -> bool {
    if client.write_all(b"GET /openapi.json HTTP/1.1\r\nhost: x\r\n\r\n").is_err() {
        return false;
    }
    let (mut got, mut some) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&got).to_lowercase();
        let length = text.split("content-length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
        let body = text.find("\r\n\r\n").map(|end| got.len() - end - 4);
        if let (Some(length), Some(body)) = (length, body) {
            if body >= length {
                return true;
            }
        }
        match client.read(&mut some) {
            Ok(n @ 1..) => got.extend_from_slice(&some[..n]),
            _ => return false,
        }
    }
}
