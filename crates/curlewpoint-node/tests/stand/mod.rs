//! Stand-ins for a scheduler's clients, its workers and the directory.
#![allow(dead_code)]

use std::net::Ipv4Addr;
use std::time::Duration;

use curlewpoint_node::{start, Running};
use curlewpoint_platform::resp::row;
use curlewpoint_platform::told;
use hickory_proto::op::{Message, MessageType};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// No step of a story takes longer; one that does has failed.
pub const STEP: Duration = Duration::from_secs(10);

pub async fn soon<T>(what: impl std::future::Future<Output = T>) -> T {
    timeout(STEP, what).await.expect("it never came")
}

/// What a worker was asked, and the connection to answer on.
pub type Heard = (Value, mpsc::UnboundedSender<String>);

/// A worker that does nothing by itself: what it hears is told, what it is given is written; an empty line ends the
/// connection.
pub async fn worker() -> (String, mpsc::UnboundedReceiver<Heard>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, (told, heard)) = (listener.local_addr().unwrap().to_string(), mpsc::unbounded_channel());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let told = told.clone();
            let (read, write) = stream.into_split();
            let (say, said) = mpsc::unbounded_channel();
            tokio::spawn(write_lines(write, said));
            tokio::spawn(async move {
                let mut lines = BufReader::new(read).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let row: Value = serde_json::from_str(&line).unwrap();
                    match row["type"].as_str() {
                        Some("invoke") => drop(told.send((row, say.clone()))),
                        Some("gauges") => drop(say.send(answer(&row, "UP", ""))),
                        _ => {}
                    }
                }
            });
        }
    });
    (address, heard)
}

async fn write_lines(mut write: OwnedWriteHalf, mut said: mpsc::UnboundedReceiver<String>) {
    while let Some(line) = said.recv().await.filter(|l| !l.is_empty()) {
        let _ = write.write_all(line.as_bytes()).await;
    }
}

pub fn answer(to: &Value, word: &str, data: &str) -> String {
    format!("{}\n", json!({"type": word, "req": to["req"], "meta": {"detail": "resident"}, "data": data}))
}

pub struct Client(pub TcpStream);

impl Client {
    pub async fn new(of: &Running) -> Client {
        Client(TcpStream::connect(of.address).await.unwrap())
    }

    pub async fn say(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        self.0.write_all(&row(&words)).await.unwrap();
    }

    pub async fn call(&mut self, tag: &str, method: &str, id: &str) {
        let fields = format!("req={id},timeout=5000,subject=00000000000000aa,info=memory_mb:512;lanes:2");
        self.say(&["CALL", tag, method, &fields, "body"]).await;
    }

    /// Waits for exactly this answer.
    pub async fn hears(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        let want = row(&words);
        let mut got = vec![0; want.len()];
        soon(self.0.read_exact(&mut got)).await.unwrap();
        assert_eq!(String::from_utf8_lossy(&got), String::from_utf8_lossy(&want));
    }

    pub async fn is_closed(&mut self) {
        let mut rest = Vec::new();
        let _ = soon(self.0.read_to_end(&mut rest)).await;
        assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    }
}

pub const IDS: [&str; 3] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"];

pub async fn scheduler(workers: &[&str], resolver: &str) -> Running {
    scheduler_with(workers, resolver, |_| ()).await
}

/// One that is told something else than the others at its start.
pub async fn scheduler_with(workers: &[&str], resolver: &str, change: impl Fn(&mut Value)) -> Running {
    let nodes: Vec<Value> = workers
        .iter()
        .enumerate()
        .map(|(no, at)| json!({"instanceId": format!("s-{no}"), "hostPort": at, "zone": "z", "lifecycle": "Ready"}))
        .collect();
    let methods = json!([
        {"name": "read", "effect": "read_like", "group": "all", "aim": 500.0, "giveUp": 5000.0, "gain": 1.0},
        {"name": "issue", "effect": "non_idempotent", "group": "all", "aim": 500.0, "giveUp": 5000.0, "gain": 1.0},
    ]);
    let mut told = json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "7", "resolver": resolver,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"reset": false, "instances": nodes}}]},
        "settings": {
            "requestClasses": methods, "instances": 1, "tenants": [],
            "limits": {"maxAttempts": 5, "mayCancel": true, "secondCopies": true, "probes": true},
            "contract": {"answerSlack": 16.0, "drainGrace": 500.0},
            "familyInfo": {"keepAlive": 8000.0, "whenAbsent": "load"},
        },
    });
    change(&mut told);
    start(told::read(&told.to_string()).unwrap()).await.unwrap()
}

/// No directory answers there.
pub const NOWHERE: &str = "127.0.0.1:9";

/// The directory's answer to a question: these workers, as records of DNS: (id, address, priority).
pub fn listed(query: &[u8], serial: u32, workers: &[(&'static str, String, u16)]) -> Message {
    let name = |n: &str| Name::from_ascii(n).unwrap();
    let mut m = Message::from_vec(query).unwrap();
    m.set_message_type(MessageType::Response);
    let list = m.queries()[0].name().clone();
    let soa = SOA::new(name("a."), name("b."), serial, 1, 1, 1, 1);
    m.add_name_server(Record::from_rdata(list.clone(), 0, RData::SOA(soa)));
    for (id, address, priority) in workers {
        let (target, port) = (name(&format!("{id}.z.hosts.")), address.rsplit_once(':').unwrap().1);
        let srv = SRV::new(*priority, 40, port.parse().unwrap(), target.clone());
        m.add_answer(Record::from_rdata(list.clone(), 0, RData::SRV(srv)));
        m.add_additional(Record::from_rdata(target.clone(), 0, RData::A(A(Ipv4Addr::LOCALHOST))));
        let text = TXT::new(vec!["kind=std".into(), "cell=0".into(), "started=0".into()]);
        m.add_additional(Record::from_rdata(target, 0, RData::TXT(text)));
    }
    m
}

/// A directory that answers with these workers.
pub async fn directory(serial: u32, workers: Vec<(&'static str, String, u16)>) -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let at = socket.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let mut query = [0; 512];
        while let Ok((n, from)) = socket.recv_from(&mut query).await {
            let m = listed(&query[..n], serial, &workers);
            // A stray one comes ahead: another id.
            let mut stray = m.clone();
            stray.set_id(m.id().wrapping_add(1));
            let _ = socket.send_to(&stray.to_vec().unwrap(), from).await;
            let _ = socket.send_to(&m.to_vec().unwrap(), from).await;
        }
    });
    at
}
