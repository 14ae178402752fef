//! Stand-ins for a scheduler's clients, its workers and the directory. All that clients write and read, and all that
//! workers hear and say, goes into one record a test, which is judged when the test settles.
#![allow(dead_code)]

pub mod transcript;

use std::cell::RefCell;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::{Deref, DerefMut};
use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;

use curlewpoint_node::{start, SchedulerHandle};
use curlewpoint_platform::resp::encode_array;
use curlewpoint_platform::startup;
use hickory_proto::op::{Message, MessageType};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader, ReadBuf};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::timeout;
use transcript::{ClientConn, ConnState};

/// No step of a story takes longer; one that does has failed.
pub const STEP: Duration = Duration::from_secs(10);

pub async fn soon<T>(what: impl std::future::Future<Output = T>) -> T {
    timeout(STEP, what).await.expect("it never came")
}

/// What a test has on record, and the ends that its settling still needs: streams by connection, and workers that were
/// asked something.
#[derive(Default)]
struct Seen {
    transcript: transcript::Transcript,
    streams: Vec<Weak<TcpStream>>,
    asked: Vec<(Value, mpsc::WeakUnboundedSender<String>)>,
    /// From here on workers answer all that they are asked.
    settling: bool,
    schedulers: usize,
}

thread_local! {
    // A test, its scheduler and its stand-ins are on one thread.
    static SEEN: RefCell<Seen> = RefCell::default();
}

fn seen<T>(look: impl FnOnce(&mut Seen) -> T) -> T {
    SEEN.with_borrow_mut(look)
}

/// Puts on record what a worker of a test's own has heard.
pub fn went_out(asked: &Value) {
    seen(|s| s.transcript.worker_received(asked["req"].as_str().unwrap_or_default()));
}

/// A client's connection, all of it on record.
pub struct Wire {
    stream: Arc<TcpStream>,
    no: usize,
}

impl Wire {
    fn new(stream: TcpStream, sent: &[u8]) -> Wire {
        // Else the machine holds a piece back until the one before it was acknowledged.
        stream.set_nodelay(true).unwrap();
        let stream = Arc::new(stream);
        let no = seen(|s| {
            s.streams.push(Arc::downgrade(&stream));
            s.transcript.conns.push(ClientConn { sent: sent.to_vec(), ..ClientConn::default() });
            s.streams.len() - 1
        });
        Wire { stream, no }
    }

    fn conn<T>(&self, look: impl FnOnce(&mut ClientConn) -> T) -> Option<T> {
        seen(|s| s.transcript.conns.get_mut(self.no).map(look))
    }

    pub fn try_write(&self, bytes: &[u8]) -> std::io::Result<usize> {
        let n = self.stream.try_write(bytes)?;
        self.conn(|c| c.sent.extend_from_slice(&bytes[..n]));
        Ok(n)
    }

    /// Ends with a reset, unread or not.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&*self.stream, Some(Duration::ZERO)).unwrap();
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.conn(|c| {
            if c.state == ConnState::Open {
                c.state = ConnState::ClosedByClient;
            }
        });
    }
}

/// Puts on record what was read; nought bytes, or an error, is the end.
fn reads(conn: &mut ClientConn, got: std::io::Result<&[u8]>) {
    match got {
        Ok(bytes) if !bytes.is_empty() => conn.received.extend_from_slice(bytes),
        _ if conn.state == ConnState::Open => conn.state = ConnState::ClosedByScheduler,
        _ => {}
    }
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<std::io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            if buf.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            match self.stream.try_read(buf.initialize_unfilled()) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) => {
                    self.conn(|c| reads(c, Ok(&[])));
                    return Poll::Ready(Err(e));
                }
                Ok(n) => {
                    let from = buf.filled().len();
                    buf.advance(n);
                    self.conn(|c| reads(c, Ok(&buf.filled()[from..])));
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<std::io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.try_write(buf) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// A client that shuts its writing side counts as gone.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        self.conn(|c| c.state = ConnState::ClosedByClient);
        Poll::Ready(rustix::net::shutdown(&*self.stream, rustix::net::Shutdown::Write).map_err(Into::into))
    }
}

/// A scheduler on the thread of its test.
pub struct Scheduler {
    running: SchedulerHandle,
    settled: bool,
}

impl Deref for Scheduler {
    type Target = SchedulerHandle;

    fn deref(&self) -> &SchedulerHandle {
        &self.running
    }
}

impl DerefMut for Scheduler {
    fn deref_mut(&mut self) -> &mut SchedulerHandle {
        &mut self.running
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        seen(|s| {
            s.schedulers -= 1;
            if s.schedulers == 0 {
                *s = Seen::default();
            }
        });
        assert!(self.settled || std::thread::panicking(), "a test on sockets that did not settle");
    }
}

/// Answers under these tags are to the last words of a test.
const LAST: u64 = 1 << 40;

impl Scheduler {
    /// Ends a test: workers answer all that they were asked, what is owed to any client is read, and a last word on each
    /// connection brings up what came behind an answer. Then the whole record has to keep the rule.
    pub async fn settled(mut self) {
        self.settles().await;
    }

    pub async fn settles(&mut self) {
        self.settled = true;
        seen(|s| s.settling = true);
        for (asked, say) in seen(|s| std::mem::take(&mut s.asked)) {
            say.upgrade().into_iter().for_each(|say| drop(say.send(answer(&asked, "OK", ""))));
        }
        let streams: Vec<_> = seen(|s| s.streams.iter().map(Weak::upgrade).collect());
        for (no, stream) in streams.into_iter().enumerate() {
            let Some(stream) = stream else { continue };
            read_what_is_owed(no, &stream).await;
            let last = encode_array(&[b"CHECK", (LAST + no as u64).to_string().as_bytes(), b""]);
            let says = seen(|s| {
                let conn = &mut s.transcript.conns[no];
                let says =
                    conn.state == ConnState::Open && conn.has_no_partial_request() && !conn.sent.is_empty();
                if says && stream.try_write(&last).is_ok() {
                    conn.sent.extend_from_slice(&last);
                }
                says
            });
            if says {
                read_what_is_owed(no, &stream).await;
            }
        }
        let faults = seen(|s| s.transcript.violations());
        assert!(faults.is_empty(), "{faults:#?}");
    }
}

/// Reads until the client is owed nothing, or its connection has ended; no longer than a step.
async fn read_what_is_owed(no: usize, stream: &TcpStream) {
    let mut some = [0; 4096];
    let all = async {
        while seen(|s| {
            s.transcript.conns[no].state == ConnState::Open && s.transcript.conns[no].awaits_reply()
        }) {
            if stream.readable().await.is_err() {
                return;
            }
            match stream.try_read(&mut some) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                got => seen(|s| reads(&mut s.transcript.conns[no], got.map(|n| &some[..n]))),
            }
        }
    };
    // What is still owed after that is told by the record.
    let _ = timeout(STEP, all).await;
}

/// What a worker was asked, and the connection to answer on.
pub type Heard = (Value, mpsc::UnboundedSender<String>);

/// A worker that does nothing by itself: what it hears is told, what it is given is written; an empty line ends the
/// connection.
pub async fn worker() -> (String, mpsc::UnboundedReceiver<Heard>) {
    worker_that_tells(&[]).await
}

/// The same, which tells lines of these types as well.
pub async fn worker_that_tells(types: &'static [&'static str]) -> (String, mpsc::UnboundedReceiver<Heard>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, (told, heard)) = (listener.local_addr().unwrap().to_string(), mpsc::unbounded_channel());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let told = told.clone();
            stream.set_nodelay(true).unwrap();
            let (read, write) = stream.into_split();
            let (say, said) = mpsc::unbounded_channel();
            tokio::spawn(write_lines(write, said));
            tokio::spawn(async move {
                let mut lines = BufReader::new(read).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let row: Value = serde_json::from_str(&line).unwrap();
                    match row["type"].as_str() {
                        Some("invoke") => {
                            went_out(&row);
                            if seen(|s| s.settling) {
                                drop(say.send(answer(&row, "OK", "")));
                            }
                            seen(|s| s.asked.push((row.clone(), say.downgrade())));
                            drop(told.send((row, say.clone())));
                        }
                        Some("gauges") => drop(say.send(answer(&row, "UP", ""))),
                        Some(other) if types.contains(&other) => drop(told.send((row, say.clone()))),
                        _ => {}
                    }
                }
            });
        }
    });
    (address, heard)
}

/// A worker that gives back the body of all that it is asked, and the ids in the order in which they came.
pub async fn gives_back() -> (String, Arc<Mutex<Vec<String>>>) {
    let ((at, mut heard), ids) = (worker().await, Arc::<Mutex<Vec<String>>>::default());
    let came = Arc::clone(&ids);
    tokio::spawn(async move {
        while let Some((asked, say)) = heard.recv().await {
            came.lock().unwrap().push(asked["req"].as_str().unwrap().to_owned());
            let _ = say.send(answer(&asked, "OK", asked["data"].as_str().unwrap()));
        }
    });
    (at, ids)
}

/// The bytes of a call that has five seconds.
pub fn call(tag: u64, id: &str) -> Vec<u8> {
    let fields = format!("req={id},timeout=5000,subject=00000000000000aa,info=memory_mb:512;lanes:2");
    say(&["CALL", &tag.to_string(), "read", &fields, "body"])
}

pub fn say(words: &[&str]) -> Vec<u8> {
    encode_array(&words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>()).to_vec()
}

async fn write_lines(mut write: OwnedWriteHalf, mut said: mpsc::UnboundedReceiver<String>) {
    while let Some(line) = said.recv().await.filter(|l| !l.is_empty()) {
        let _ = write.write_all(line.as_bytes()).await;
    }
}

/// A worker's answer; what is 'ok' goes on record.
pub fn answer(to: &Value, word: &str, data: &str) -> String {
    if let (Some(id), "OK", Ok(body)) = (to["req"].as_str(), word, STANDARD.decode(data)) {
        seen(|s| s.transcript.worker_answered(id, &body));
    }
    format!("{}\n", json!({"type": word, "req": to["req"], "meta": {"detail": "resident"}, "data": data}))
}

pub struct Client(pub Wire);

impl Client {
    pub async fn new(of: &SchedulerHandle) -> Client {
        Client::of(TcpStream::connect(of.address).await.unwrap())
    }

    pub fn of(stream: TcpStream) -> Client {
        Client(Wire::new(stream, &[]))
    }

    /// One that has connected and said this before a scheduler on the same thread looks again.
    pub fn at_once(address: SocketAddr, bytes: &[u8]) -> Client {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.write_all(bytes).unwrap();
        stream.set_nonblocking(true).unwrap();
        Client(Wire::new(TcpStream::from_std(stream).unwrap(), bytes))
    }

    pub async fn say(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        self.0.write_all(&encode_array(&words)).await.unwrap();
    }

    pub async fn call(&mut self, tag: &str, method: &str, id: &str) {
        let fields = format!("req={id},timeout=5000,subject=00000000000000aa,info=memory_mb:512;lanes:2");
        self.say(&["CALL", tag, method, &fields, "body"]).await;
    }

    /// Waits for exactly this answer.
    pub async fn hears(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        let want = encode_array(&words);
        let mut got = vec![0; want.len()];
        soon(self.0.read_exact(&mut got)).await.unwrap();
        assert_eq!(String::from_utf8_lossy(&got), String::from_utf8_lossy(&want));
    }

    /// Whatever lay on any connection before is read by the scheduler once this is answered.
    pub async fn looks(&mut self, tag: &mut u64, word: &str) {
        *tag += 1;
        self.say(&["CHECK", &tag.to_string(), ""]).await;
        self.hears(&[&tag.to_string(), word, "", ""]).await;
    }

    pub async fn is_closed(&mut self) {
        let mut rest = Vec::new();
        let _ = soon(self.0.read_to_end(&mut rest)).await;
        assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    }
}

pub const IDS: [&str; 3] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"];

pub async fn scheduler(workers: &[&str], resolver: &str) -> Scheduler {
    scheduler_with(workers, resolver, |_| ()).await
}

/// One that is told something else than the others at its start.
pub async fn scheduler_with(workers: &[&str], resolver: &str, change: impl Fn(&mut Value)) -> Scheduler {
    let running = start(told(workers, resolver, change)).await.unwrap();
    seen(|s| s.schedulers += 1);
    Scheduler { running, settled: false }
}

pub fn told(workers: &[&str], resolver: &str, change: impl Fn(&mut Value)) -> startup::StartupConfig {
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
    startup::parse(&told.to_string()).unwrap()
}

/// No directory answers there.
pub const NOWHERE: &str = "127.0.0.1:9";

/// The directory's answer to a question: these workers, as records of DNS: (id, address, priority).
pub fn listed<S: AsRef<str>>(query: &[u8], serial: u32, workers: &[(S, String, u16)]) -> Message {
    listed_since(query, serial, workers, 0)
}

/// The same, of workers that started at this Unix millisecond.
pub fn listed_since<S: AsRef<str>>(
    query: &[u8], serial: u32, workers: &[(S, String, u16)], started: u64,
) -> Message {
    let name = |n: &str| Name::from_ascii(n).unwrap();
    let mut m = Message::from_vec(query).unwrap();
    m.set_message_type(MessageType::Response);
    let list = m.queries()[0].name().clone();
    let soa = SOA::new(name("a."), name("b."), serial, 1, 1, 1, 1);
    m.add_name_server(Record::from_rdata(list.clone(), 0, RData::SOA(soa)));
    for (id, address, priority) in workers {
        let (target, port) =
            (name(&format!("{}.z.hosts.", id.as_ref())), address.rsplit_once(':').unwrap().1);
        let srv = SRV::new(*priority, 40, port.parse().unwrap(), target.clone());
        m.add_answer(Record::from_rdata(list.clone(), 0, RData::SRV(srv)));
        m.add_additional(Record::from_rdata(target.clone(), 0, RData::A(A(Ipv4Addr::LOCALHOST))));
        let text = TXT::new(vec!["kind=std".into(), "cell=0".into(), format!("started={started}")]);
        m.add_additional(Record::from_rdata(target, 0, RData::TXT(text)));
    }
    m
}

/// A worker that takes no connection until it is let: its queue of one is held by another.
pub async fn unreachable() -> (String, TcpListener, Vec<TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let at = listener.local_addr().unwrap();
    let held = vec![TcpStream::connect(at).await.unwrap()];
    (at.to_string(), listener, held)
}

/// A directory that answers when its test says so.
pub struct Directory {
    socket: UdpSocket,
    /// The last question, and who has put it.
    asked: Option<(Vec<u8>, SocketAddr)>,
}

impl Directory {
    pub async fn new() -> Directory {
        Directory { socket: UdpSocket::bind("127.0.0.1:0").await.unwrap(), asked: None }
    }

    pub fn at(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    /// Waits for the next question; of several that lie there already the last one counts.
    pub async fn is_asked(&mut self) {
        let mut query = [0; 512];
        let (n, from) = soon(self.socket.recv_from(&mut query)).await.unwrap();
        self.asked = Some((query[..n].to_vec(), from));
        while let Ok((n, from)) = self.socket.try_recv_from(&mut query) {
            self.asked = Some((query[..n].to_vec(), from));
        }
    }

    /// Answers the last question, before a scheduler on the same thread looks again.
    pub fn answers<S: AsRef<str>>(&self, serial: u32, workers: &[(S, String, u16)], started: u64) -> usize {
        let (query, from) = self.asked.as_ref().expect("it was asked");
        let answer = listed_since(query, serial, workers, started).to_vec().unwrap();
        self.socket.try_send_to(&answer, *from).unwrap_or(0)
    }
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
