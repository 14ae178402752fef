//! A scheduler on real sockets, with stand-ins for its clients, its workers and the directory. Each story causes what
//! it is about, and waits for what must follow.

use std::net::Ipv4Addr;
use std::time::Duration;

use curlewpoint_node::{start, Running};
use curlewpoint_platform::resp::row;
use curlewpoint_platform::told;
use hickory_proto::op::{Message, MessageType};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use serde_json::{json, Value};
use test_case::test_case;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// No step of a story takes longer; one that does has failed.
const STEP: Duration = Duration::from_secs(10);

async fn soon<T>(what: impl std::future::Future<Output = T>) -> T {
    timeout(STEP, what).await.expect("it never came")
}

/// What a worker was asked, and the connection to answer on.
type Heard = (Value, mpsc::UnboundedSender<String>);

/// A worker that does nothing by itself: what it hears is told, what it is given is written; an empty line ends the
/// connection.
async fn worker() -> (String, mpsc::UnboundedReceiver<Heard>) {
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

fn answer(to: &Value, word: &str, data: &str) -> String {
    format!("{}\n", json!({"type": word, "req": to["req"], "meta": {"detail": "resident"}, "data": data}))
}

struct Client(TcpStream);

impl Client {
    async fn new(of: &Running) -> Client {
        Client(TcpStream::connect(of.address).await.unwrap())
    }

    async fn say(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        self.0.write_all(&row(&words)).await.unwrap();
    }

    async fn call(&mut self, tag: &str, method: &str, id: &str) {
        let fields = format!("req={id},timeout=5000,subject=00000000000000aa,info=memory_mb:512;lanes:2");
        self.say(&["CALL", tag, method, &fields, "body"]).await;
    }

    /// Waits for exactly this answer.
    async fn hears(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        let want = row(&words);
        let mut got = vec![0; want.len()];
        soon(self.0.read_exact(&mut got)).await.unwrap();
        assert_eq!(String::from_utf8_lossy(&got), String::from_utf8_lossy(&want));
    }

    async fn is_closed(&mut self) {
        let mut rest = Vec::new();
        let _ = soon(self.0.read_to_end(&mut rest)).await;
        assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    }
}

const IDS: [&str; 3] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"];

async fn scheduler(workers: &[&str], resolver: &str) -> Running {
    let nodes: Vec<Value> = workers
        .iter()
        .enumerate()
        .map(|(no, at)| json!({"instanceId": format!("s-{no}"), "hostPort": at, "zone": "z", "lifecycle": "Ready"}))
        .collect();
    let methods = json!([
        {"name": "read", "effect": "read_like", "group": "all", "aim": 500.0, "giveUp": 5000.0, "gain": 1.0},
        {"name": "issue", "effect": "non_idempotent", "group": "all", "aim": 500.0, "giveUp": 5000.0, "gain": 1.0},
    ]);
    let text = json!({
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
    start(told::read(&text.to_string()).unwrap()).await.unwrap()
}

/// No directory answers there.
const NOWHERE: &str = "127.0.0.1:9";

#[tokio::test]
async fn an_rpc_goes_out_as_it_came_and_its_answer_comes_back_unchanged() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.say(&["CHECK", "1", ""]).await;
    client.hears(&["1", "fit", "", ""]).await;
    client.call("2", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    assert_eq!((&asked["req"], &asked["data"]), (&json!(IDS[0]), &json!("Ym9keQ==")));
    assert_eq!(
        (&asked["meta"]["queue"], &asked["meta"]["path"]),
        (&json!("read"), &json!("00000000000000aa"))
    );
    // A copy of somebody else's answer comes ahead, and its own twice.
    say.send(answer(&json!({"req": IDS[2]}), "OK", "eA==")).unwrap();
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    client.hears(&["2", "good", "", "done"]).await;
    client.say(&["CHECK", "3", ""]).await;
    client.hears(&["3", "fit", "", ""]).await;
}

/// Guards against an answer that cannot be read: what may have run is repeated only where that is harmless.
#[test_case("read", "a%b\n", Some("good") ; "idempotent, noise")]
#[test_case("read", "", Some("good") ; "idempotent, the connection ends")]
#[test_case("read", "{\"type\":\"OK\",", Some("good") ; "idempotent, an answer that does not end")]
#[test_case("issue", "a%b\n", None ; "side effecting, noise")]
#[test_case("issue", "", None ; "side effecting, the connection ends")]
#[tokio::test]
async fn a_spoilt_answer(method: &str, spoilt: &str, good: Option<&str>) {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", method, IDS[0]).await;
    let (_, say) = soon(heard.recv()).await.unwrap();
    say.send(spoilt.to_owned()).unwrap();
    drop(say);
    match good {
        Some(word) => {
            let (again, say) = soon(heard.recv()).await.unwrap();
            say.send(answer(&again, "OK", "ZG9uZQ==")).unwrap();
            client.hears(&["1", word, "", "done"]).await;
        }
        None => {
            client.hears(&["1", "broken", "", ""]).await;
            assert!(heard.try_recv().is_err(), "it went out again");
        }
    }
}

#[test_case(b"*2\r\n$4\r\nCALL\r\n$-1\r\n" ; "a negative length")]
#[test_case(b"*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$4\r\nread\r\n$1\r\na\r\n$60000000\r\nxxxx" ; "sixty million bytes")]
#[test_case(b"*2\r\n$4\r\nWHAT\r\n$1\r\n1\r\n" ; "no command")]
#[test_case(b"*2\r\n$4\r\nCALL\r\n$1\r\n0\r\n" ; "no tag")]
#[test_case(b"*2\r\n$4\r\nCA" ; "half a command, then nothing")]
#[test_case(b"" ; "nothing at all")]
#[tokio::test]
async fn a_client_that_cannot_be_read_is_closed_and_harms_no_other(bytes: &[u8]) {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let (mut good, mut bad) = (Client::new(&of).await, Client::new(&of).await);
    good.call("1", "read", IDS[0]).await;
    bad.0.write_all(bytes).await.unwrap();
    bad.is_closed().await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    good.hears(&["1", "good", "", "done"]).await;
}

#[test_case("req=9b1f03aa5c7e2d42,timeout=soon,subject=00000000000000aa", "read" ; "a time that is none")]
#[test_case("timeout=500,subject=00000000000000aa", "read" ; "no id")]
#[test_case("req=9b1f03aa5c7e2d41,timeout=500,subject=00000000000000aa", "read" ; "the id of an open one")]
#[test_case("req=9b1f03aa5c7e2d42,timeout=500,subject=00000000000000aa,info=lanes:-2", "read" ; "lanes below nought")]
#[test_case("req=9b1f03aa5c7e2d42,timeout=500,subject=00000000000000aa", "write" ; "no such method")]
#[tokio::test]
async fn what_cannot_be_used_is_turned_down_and_never_reaches_a_worker(fields: &str, method: &str) {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    client.say(&["CALL", "2", method, fields, "x"]).await;
    client.hears(&["2", "broken", "", ""]).await;
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    client.hears(&["1", "good", "", "done"]).await;
    assert!(heard.try_recv().is_err());
}

#[tokio::test]
async fn a_second_use_of_a_tag_ends_the_connection_and_what_is_open_on_it() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    soon(heard.recv()).await.unwrap();
    client.call("1", "read", IDS[1]).await;
    client.hears(&["1", "broken", "", ""]).await;
    client.is_closed().await;
}

/// A directory that answers with these workers, as records of DNS: (id, address, priority).
async fn directory(serial: u32, workers: Vec<(&'static str, String, u16)>) -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let at = socket.local_addr().unwrap().to_string();
    let name = |n: &str| Name::from_ascii(n).unwrap();
    tokio::spawn(async move {
        let mut query = [0; 512];
        while let Ok((n, from)) = socket.recv_from(&mut query).await {
            let mut m = Message::from_vec(&query[..n]).unwrap();
            m.set_message_type(MessageType::Response);
            let list = m.queries()[0].name().clone();
            let soa = SOA::new(name("a."), name("b."), serial, 1, 1, 1, 1);
            m.add_name_server(Record::from_rdata(list.clone(), 0, RData::SOA(soa)));
            for (id, address, priority) in &workers {
                let (target, port) = (name(&format!("{id}.z.hosts.")), address.rsplit_once(':').unwrap().1);
                let srv = SRV::new(*priority, 40, port.parse().unwrap(), target.clone());
                m.add_answer(Record::from_rdata(list.clone(), 0, RData::SRV(srv)));
                m.add_additional(Record::from_rdata(target.clone(), 0, RData::A(A(Ipv4Addr::LOCALHOST))));
                let text = TXT::new(vec!["kind=std".into(), "cell=0".into(), "started=0".into()]);
                m.add_additional(Record::from_rdata(target, 0, RData::TXT(text)));
            }
            // A stray one comes ahead: another id.
            let mut stray = m.clone();
            stray.set_id(m.id().wrapping_add(1));
            let _ = socket.send_to(&stray.to_vec().unwrap(), from).await;
            let _ = socket.send_to(&m.to_vec().unwrap(), from).await;
        }
    });
    at
}

/// Calls one after the other until one comes to a worker at which all that come are counted as heard.
async fn calls_until_heard(client: &mut Client, heard: &mut mpsc::UnboundedReceiver<Heard>, tag: &mut u64) {
    soon(async {
        loop {
            *tag += 1;
            client.call(&tag.to_string(), "read", &format!("{:016x}", *tag)).await;
            if let Ok(Some((asked, say))) = timeout(Duration::from_millis(100), heard.recv()).await {
                say.send(answer(&asked, "OK", "")).unwrap();
                return;
            }
        }
    })
    .await;
}

/// Guards against a list that is never heard of after the start, or after the directory has moved.
#[tokio::test]
async fn the_directory_moves_workers_and_is_itself_moved() {
    let ((first, mut at_first), (second, mut at_second)) = (worker().await, worker().await);
    let drained = directory(2, vec![("s-0", first.clone(), 1), ("s-1", second.clone(), 0)]).await;
    let of = scheduler(&[&first], &drained).await;
    let (mut client, mut tag) = (Client::new(&of).await, 0);
    calls_until_heard(&mut client, &mut at_second, &mut tag).await;
    while at_first.try_recv().is_ok() {}
    let back = directory(3, vec![("s-0", first, 0)]).await;
    of.resolver.send(back.parse().unwrap()).unwrap();
    calls_until_heard(&mut client, &mut at_first, &mut tag).await;
}

#[tokio::test]
async fn a_stop_answers_what_is_open_and_what_still_comes() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    let first = soon(heard.recv()).await.unwrap();
    of.notes.stop().await;
    client.say(&["CHECK", "2", ""]).await;
    client.hears(&["2", "unfit", "", ""]).await;
    let mut late = Client::new(&of).await;
    late.call("1", "read", IDS[1]).await;
    let second = soon(heard.recv()).await.unwrap();
    for (asked, say) in [first, second] {
        say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    }
    client.hears(&["1", "good", "", "done"]).await;
    late.hears(&["1", "good", "", "done"]).await;
    let figures = soon(of.end).await.unwrap();
    assert_eq!((figures.taken, figures.ok, figures.cut_off), (2, 2, 0));
}
