//! Nodes as processes of their own on loopback, and stand-ins for their clients, workers and directory. What clients wrote and
//! read, and what workers heard and said, goes into one record.
#![allow(dead_code)]

#[path = "../../../curlewpoint-node/tests/test_servers/transcript.rs"]
pub mod transcript;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

use hickory_proto::op::{Message, MessageType};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use serde_json::{json, Value};
use transcript::{ClientConn, ConnState};

/// No step of a story takes longer; one that does has failed.
pub const STEP: Duration = Duration::from_secs(20);

/// A node and the file that it was told; both go with their test.
pub struct Node {
    pub child: Child,
    pub file: PathBuf,
    pub address: String,
    pub log: mpsc::Receiver<String>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

pub fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
    assert!(sent.expect("kill runs").success());
}

pub fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("curlewpoint-{name}-{}.json", std::process::id()))
}

/// What a test's clients and workers have on record.
#[derive(Clone, Default)]
pub struct Book(pub Arc<Mutex<transcript::Transcript>>);

impl Book {
    pub fn look<T>(&self, look: impl FnOnce(&mut transcript::Transcript) -> T) -> T {
        look(&mut self.0.lock().unwrap())
    }

    /// Every request written whole has one answer, or its connection ended with nothing passed on.
    pub fn keeps_the_rule(&self) {
        let faults = self.look(|r| r.violations());
        assert!(faults.is_empty(), "{faults:#?}");
    }
}

/// A client whose words and answers go on record.
pub struct Client {
    pub stream: TcpStream,
    pub no: usize,
    pub book: Book,
    pub was_reset: bool,
}

impl Client {
    pub fn new(address: &str, book: &Book) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(STEP)).unwrap();
        let no = book.look(|r| {
            r.conns.push(ClientConn::default());
            r.conns.len() - 1
        });
        Client { stream, no, book: book.clone(), was_reset: false }
    }

    pub fn conn<T>(&self, look: impl FnOnce(&mut ClientConn) -> T) -> T {
        self.book.look(|r| look(&mut r.conns[self.no]))
    }

    /// On record first: an answer may be there before this returns.
    pub fn says(&mut self, bytes: &[u8]) {
        self.conn(|c| c.sent.extend_from_slice(bytes));
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads what has come; false: the connection has ended.
    pub fn reads(&mut self) -> bool {
        let mut some = [0; 4096];
        let got = self.stream.read(&mut some);
        assert!(!got.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock), "it never came");
        self.was_reset = got.is_err();
        let n = got.unwrap_or(0);
        self.conn(|c| match n {
            0 => c.state = ConnState::ClosedByScheduler,
            n => c.received.extend_from_slice(&some[..n]),
        });
        n > 0
    }

    /// Reads until all that it asked is answered; false: the connection ended before.
    pub fn has_all(&mut self) -> bool {
        while self.conn(|c| c.awaits_reply()) {
            if !self.reads() {
                return false;
            }
        }
        true
    }

    pub fn told(&self) -> String {
        self.conn(|c| String::from_utf8_lossy(&c.received).into_owned())
    }
}

/// The library that makes system calls fail, built where this test's program was.
pub fn faults_library() -> PathBuf {
    let built =
        Command::new(env!("CARGO")).args(["build", "--locked", "--package", "curlewpoint-faults"]).output();
    let built = built.expect("cargo runs");
    assert!(built.status.success(), "{}", String::from_utf8_lossy(&built.stderr));
    Path::new(env!("CARGO_BIN_EXE_curlewpoint")).with_file_name("libcurlewpoint_faults.so")
}

/// Runs a node within so many descriptors, its system calls failing by a script; an empty one fails none.
pub fn run(file: &Path, descriptors: usize, faults: &str) -> Child {
    let mut shell = Command::new("sh");
    let preload = if faults.is_empty() {
        String::new()
    } else {
        format!("env LD_PRELOAD={} CURLEWPOINT_FAULTS='{faults}' ", faults_library().display())
    };
    let program = env!("CARGO_BIN_EXE_curlewpoint");
    let line = format!("ulimit -n {descriptors}; exec {preload}{program} node {}", file.display());
    shell.args(["-c", &line]).stdout(Stdio::piped()).stderr(Stdio::piped());
    shell.spawn().expect("it starts")
}

/// The lines of its log.
pub fn log(child: &mut Child) -> mpsc::Receiver<String> {
    let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let (tell, log) = mpsc::channel();
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(|l| drop(tell.send(l))));
    log
}

impl Node {
    pub fn start(name: &str, told: &Value, descriptors: usize) -> Node {
        Node::start_with(name, told, descriptors, "")
    }

    /// One whose system calls fail by a script.
    pub fn start_with(name: &str, told: &Value, descriptors: usize, faults: &str) -> Node {
        let file = file(name);
        std::fs::write(&file, told.to_string()).unwrap();
        let mut child = run(&file, descriptors, faults);
        let mut first = String::new();
        BufReader::new(child.stdout.take().expect("piped")).read_line(&mut first).expect("a line");
        let address = first.trim().rsplit(' ').next().expect("an address").to_owned();
        let log = log(&mut child);
        Node { child, file, address, log }
    }

    /// Waits for a line in its log, and gives those before it.
    pub fn logs(&self, what: &str) -> Vec<String> {
        let mut before = Vec::new();
        loop {
            let line = self.log.recv_timeout(STEP).expect(what);
            if line.contains(what) {
                return before;
            }
            before.push(line);
        }
    }
}

pub fn told(seed: u64, resolver: &str, workers: &[String], sockets: usize, settings: Value) -> Value {
    let nodes: Vec<Value> = workers
        .iter()
        .enumerate()
        .map(|(no, at)| json!({"instanceId": format!("s-{no}"), "hostPort": at, "zone": "z", "lifecycle": "Ready"}))
        .collect();
    json!({
        "name": format!("n{seed}"), "listen": "127.0.0.1:0", "seed": format!("{seed:x}"), "resolver": resolver,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"reset": false, "instances": nodes}}]},
        "settings": settings,
    })
}

pub fn settings(instances: usize) -> Value {
    json!({
        "instances": instances, "tenants": [],
        "requestClasses": [
            {"name": "read", "effect": "read_like", "group": "all", "aim": 500.0, "giveUp": 2000.0, "gain": 1.0}],
        "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true, "probes": true},
        "contract": {"answerSlack": 16.0, "drainGrace": 500.0, "warmWithin": WARM_WITHIN, "fall": FALL,
            "fallMultiple": 2.0, "startCapacity": 0.2},
        "familyInfo": {"keepAlive": 8000.0, "whenAbsent": "load"},
    })
}

pub const WARM_WITHIN: f64 = 4_000.0;
pub const FALL: f64 = 1_000.0;

/// When each call came, and its id.
pub type Calls = Arc<Mutex<Vec<(Instant, u64)>>>;

/// A worker that answers all that it is asked.
pub fn worker(book: &Book) -> (String, Calls) {
    let book = book.clone();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, calls) = (listener.local_addr().unwrap().to_string(), Calls::default());
    let came = Arc::clone(&calls);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (came, book) = (Arc::clone(&came), book.clone());
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                for line in BufReader::new(&stream).lines().map_while(Result::ok) {
                    let row: Value = serde_json::from_str(&line).expect("a row");
                    let word = match row["type"].as_str() {
                        Some("invoke") => {
                            let id = row["req"].as_str().expect("an id");
                            let no = u64::from_str_radix(id, 16).expect("a number");
                            came.lock().unwrap().push((Instant::now(), no));
                            book.look(|r| {
                                r.worker_received(id);
                                r.worker_answered(id, b"");
                            });
                            "OK"
                        }
                        Some("gauges") => "UP",
                        _ => continue,
                    };
                    let answer =
                        json!({"type": word, "req": row["req"], "meta": {"detail": "resident"}, "data": ""});
                    if (&stream).write_all(format!("{answer}\n").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, calls)
}

pub fn row(words: &[&str]) -> Vec<u8> {
    let words = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len()));
    format!("*{}\r\n{}", words.len(), words.collect::<String>()).into_bytes()
}

pub fn call(tag: u64, id: u64) -> Vec<u8> {
    let fields = format!("req={id:016x},timeout=1900,subject={id:016x},info=memory_mb:512;lanes:2");
    row(&["CALL", &tag.to_string(), "read", &fields, "body"])
}

/// The directory of one node, of two lists: that of the start, and from a moment on one with a worker that has just
/// started, while the others drain. Each question is told.
pub fn directory(
    node: usize, workers: Vec<String>, cold: Arc<AtomicU64>, silent: Arc<AtomicBool>,
    asked: impl Fn(usize) + Send + 'static,
) -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = socket.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let (mut query, name) = ([0; 512], |n: &str| Name::from_ascii(n).unwrap());
        while let Ok((n, from)) = socket.recv_from(&mut query) {
            let since = cold.load(Ordering::Acquire);
            let mut m = Message::from_vec(&query[..n]).unwrap();
            m.set_message_type(MessageType::Response);
            let list = m.queries()[0].name().clone();
            let serial = if since > 0 { 2 } else { 1 };
            let soa = SOA::new(name("a."), name("b."), serial, 1, 1, 1, 1);
            m.add_name_server(Record::from_rdata(list.clone(), 0, RData::SOA(soa)));
            for (no, at) in workers.iter().enumerate() {
                let is_cold = no + 1 == workers.len();
                if is_cold && since == 0 {
                    continue;
                }
                let (target, port) = (name(&format!("s-{no}.z.hosts.")), at.rsplit_once(':').unwrap().1);
                let drains = u16::from(!is_cold && since > 0);
                let srv = SRV::new(drains, 40, port.parse().unwrap(), target.clone());
                m.add_answer(Record::from_rdata(list.clone(), 0, RData::SRV(srv)));
                m.add_additional(Record::from_rdata(target.clone(), 0, RData::A(A(Ipv4Addr::LOCALHOST))));
                let started = if is_cold { since } else { 0 };
                let text = TXT::new(vec!["cell=0".into(), format!("started={started}")]);
                m.add_additional(Record::from_rdata(target, 0, RData::TXT(text)));
            }
            if !silent.load(Ordering::Acquire) {
                let _ = socket.send_to(&m.to_vec().unwrap(), from);
            }
            asked(node);
        }
    });
    at
}
