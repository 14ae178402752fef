//! Scripted clients, workers and discovery servers for a scheduler under test. All that clients send and receive, and
//! all that workers receive and answer, goes into the transcript of the test, which is checked when the test
//! finishes.
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

/// A test step that takes longer than this fails.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

pub async fn with_timeout<T>(step: impl std::future::Future<Output = T>) -> T {
    timeout(STEP_TIMEOUT, step).await.expect("timed out")
}

/// With the clock paused, lets the scheduler read all received bytes and handle the resulting events.
pub async fn process_received() {
    for _ in 0..8 {
        tokio::task::yield_now().await;
    }
}

/// Lets this many seconds pass for the scheduler, which processes what happens in each.
pub async fn pass_seconds(seconds: usize) {
    tokio::time::pause();
    for _ in 0..seconds {
        tokio::time::advance(Duration::from_millis(1_001)).await;
        process_received().await;
    }
    tokio::time::resume();
}

/// State shared by the scripted peers of a test: the transcript, and what is needed to conclude the test.
#[derive(Default)]
struct TestState {
    transcript: transcript::Transcript,
    /// Client streams, by their index in the transcript.
    streams: Vec<Weak<TcpStream>>,
    /// Attempts that scripted workers received, with the channel for the reply.
    attempts: Vec<(Value, mpsc::WeakUnboundedSender<String>)>,
    /// Scripted workers answer every attempt at once.
    answering_all: bool,
    schedulers: usize,
}

thread_local! {
    // A test runs on one thread, with its scheduler and its scripted peers.
    static STATE: RefCell<TestState> = RefCell::default();
}

fn state<T>(access: impl FnOnce(&mut TestState) -> T) -> T {
    STATE.with_borrow_mut(access)
}

/// Records an attempt that a test's own worker has received.
pub fn record_received(attempt: &Value) {
    state(|s| s.transcript.worker_received(attempt["req"].as_str().unwrap_or_default()));
}

/// A client connection whose bytes are recorded in the transcript.
pub struct RecordedStream {
    stream: Arc<TcpStream>,
    index: usize,
}

impl RecordedStream {
    fn new(stream: TcpStream, sent: &[u8]) -> RecordedStream {
        // Otherwise the kernel delays a part until the one before it is acknowledged.
        stream.set_nodelay(true).unwrap();
        let stream = Arc::new(stream);
        let index = state(|s| {
            s.streams.push(Arc::downgrade(&stream));
            s.transcript.conns.push(ClientConn { sent: sent.to_vec(), ..ClientConn::default() });
            s.streams.len() - 1
        });
        RecordedStream { stream, index }
    }

    fn with_conn<T>(&self, access: impl FnOnce(&mut ClientConn) -> T) -> Option<T> {
        state(|s| s.transcript.conns.get_mut(self.index).map(access))
    }

    pub fn try_write(&self, bytes: &[u8]) -> std::io::Result<usize> {
        let n = self.stream.try_write(bytes)?;
        self.with_conn(|c| c.sent.extend_from_slice(&bytes[..n]));
        Ok(n)
    }

    /// Closes the connection with a reset, whether or not all was read.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&*self.stream, Some(Duration::ZERO)).unwrap();
    }
}

impl Drop for RecordedStream {
    fn drop(&mut self) {
        self.with_conn(|c| {
            if c.state == ConnState::Open {
                c.state = ConnState::ClosedByClient;
            }
        });
    }
}

/// Records the result of a read; zero bytes, or an error, is the end of the connection.
fn record_read(conn: &mut ClientConn, result: std::io::Result<&[u8]>) {
    match result {
        Ok(bytes) if !bytes.is_empty() => conn.received.extend_from_slice(bytes),
        _ if conn.state == ConnState::Open => conn.state = ConnState::ClosedByScheduler,
        _ => {}
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<std::io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            if buf.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            match self.stream.try_read(buf.initialize_unfilled()) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) => {
                    self.with_conn(|c| record_read(c, Ok(&[])));
                    return Poll::Ready(Err(e));
                }
                Ok(n) => {
                    let from = buf.filled().len();
                    buf.advance(n);
                    self.with_conn(|c| record_read(c, Ok(&buf.filled()[from..])));
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for RecordedStream {
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

    /// A client that shuts down its writing side counts as disconnected.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        self.with_conn(|c| c.state = ConnState::ClosedByClient);
        Poll::Ready(rustix::net::shutdown(&*self.stream, rustix::net::Shutdown::Write).map_err(Into::into))
    }
}

/// A scheduler on the thread of its test.
pub struct Scheduler {
    handle: SchedulerHandle,
    verified: bool,
}

impl Deref for Scheduler {
    type Target = SchedulerHandle;

    fn deref(&self) -> &SchedulerHandle {
        &self.handle
    }
}

impl DerefMut for Scheduler {
    fn deref_mut(&mut self) -> &mut SchedulerHandle {
        &mut self.handle
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        state(|s| {
            s.schedulers -= 1;
            if s.schedulers == 0 {
                *s = TestState::default();
            }
        });
        assert!(self.verified || std::thread::panicking(), "the test did not verify its transcript");
    }
}

/// First tag of the final checks of a test.
const FINAL_CHECK_TAG: u64 = 1 << 40;

impl Scheduler {
    /// Concludes a test: workers answer every attempt, all expected replies are read, and a final check on each
    /// connection brings up any reply sent after the expected ones. The transcript must then have no violations.
    pub async fn finish(mut self) {
        self.verify().await;
    }

    /// Like [`Scheduler::finish`], for tests that go on with the scheduler.
    pub async fn verify(&mut self) {
        self.verified = true;
        state(|s| s.answering_all = true);
        for (request, reply_tx) in state(|s| std::mem::take(&mut s.attempts)) {
            reply_tx
                .upgrade()
                .into_iter()
                .for_each(|reply_tx| drop(reply_tx.send(reply_line(&request, "OK", ""))));
        }
        let streams: Vec<_> = state(|s| s.streams.iter().map(Weak::upgrade).collect());
        for (index, stream) in streams.into_iter().enumerate() {
            let Some(stream) = stream else { continue };
            read_expected_replies(index, &stream).await;
            let check =
                encode_array(&[b"CHECK", (FINAL_CHECK_TAG + index as u64).to_string().as_bytes(), b""]);
            let is_sent = state(|s| {
                let conn = &mut s.transcript.conns[index];
                let may_send =
                    conn.state == ConnState::Open && conn.has_no_partial_request() && !conn.sent.is_empty();
                if may_send && stream.try_write(&check).is_ok() {
                    conn.sent.extend_from_slice(&check);
                }
                may_send
            });
            if is_sent {
                read_expected_replies(index, &stream).await;
            }
        }
        let violations = state(|s| s.transcript.violations());
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// Reads until all expected replies have come or the connection has ended; no longer than a step.
async fn read_expected_replies(index: usize, stream: &TcpStream) {
    let mut buffer = [0; 4096];
    let read_all = async {
        while state(|s| {
            s.transcript.conns[index].state == ConnState::Open && s.transcript.conns[index].awaits_reply()
        }) {
            if stream.readable().await.is_err() {
                return;
            }
            match stream.try_read(&mut buffer) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                result => {
                    state(|s| record_read(&mut s.transcript.conns[index], result.map(|n| &buffer[..n])))
                }
            }
        }
    };
    // The transcript reports the replies that are still missing.
    let _ = timeout(STEP_TIMEOUT, read_all).await;
}

/// A message that a scripted worker received, and the channel for lines to send on the same connection.
pub type ReceivedMessage = (Value, mpsc::UnboundedSender<String>);

/// A worker controlled by its test: it reports the attempts that it receives and sends the lines that it is given; an
/// empty line closes the connection. It answers load probes by itself. Returns its address and the received messages.
pub async fn scripted_worker() -> (String, mpsc::UnboundedReceiver<ReceivedMessage>) {
    scripted_worker_with(&[]).await
}

/// A scripted worker that also reports messages of these types.
pub async fn scripted_worker_with(
    types: &'static [&'static str],
) -> (String, mpsc::UnboundedReceiver<ReceivedMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, (received_tx, received_rx)) =
        (listener.local_addr().unwrap().to_string(), mpsc::unbounded_channel());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let received_tx = received_tx.clone();
            stream.set_nodelay(true).unwrap();
            let (read, write) = stream.into_split();
            let (reply_tx, reply_rx) = mpsc::unbounded_channel();
            tokio::spawn(write_lines(write, reply_rx));
            tokio::spawn(async move {
                let mut lines = BufReader::new(read).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let message: Value = serde_json::from_str(&line).unwrap();
                    match message["type"].as_str() {
                        Some("invoke") => {
                            record_received(&message);
                            if state(|s| s.answering_all) {
                                drop(reply_tx.send(reply_line(&message, "OK", "")));
                            }
                            state(|s| s.attempts.push((message.clone(), reply_tx.downgrade())));
                            drop(received_tx.send((message, reply_tx.clone())));
                        }
                        Some("gauges") => drop(reply_tx.send(reply_line(&message, "UP", ""))),
                        Some(other) if types.contains(&other) => {
                            drop(received_tx.send((message, reply_tx.clone())))
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    (address, received_rx)
}

/// A worker that answers every attempt with its body. Returns its address and the IDs in the order of arrival.
pub async fn echo_worker() -> (String, Arc<Mutex<Vec<String>>>) {
    let ((address, mut worker_rx), ids) = (scripted_worker().await, Arc::<Mutex<Vec<String>>>::default());
    let received_ids = Arc::clone(&ids);
    tokio::spawn(async move {
        while let Some((request, reply_tx)) = worker_rx.recv().await {
            received_ids.lock().unwrap().push(request["req"].as_str().unwrap().to_owned());
            let _ = reply_tx.send(reply_line(&request, "OK", request["data"].as_str().unwrap()));
        }
    });
    (address, ids)
}

/// Encodes a call with a timeout of five seconds.
pub fn encode_call(tag: u64, id: &str) -> Vec<u8> {
    let fields = format!("req={id},timeout=5000,subject=00000000000000aa,info=memory_mb:512;lanes:2");
    encode(&["CALL", &tag.to_string(), "read", &fields, "body"])
}

pub fn encode(words: &[&str]) -> Vec<u8> {
    encode_array(&words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>()).to_vec()
}

async fn write_lines(mut write: OwnedWriteHalf, mut reply_rx: mpsc::UnboundedReceiver<String>) {
    while let Some(line) = reply_rx.recv().await.filter(|l| !l.is_empty()) {
        let _ = write.write_all(line.as_bytes()).await;
    }
}

/// A worker's reply line, with `data` as its base64 body. A successful reply is recorded.
pub fn reply_line(request: &Value, reply_type: &str, data: &str) -> String {
    if let (Some(id), "OK", Ok(body)) = (request["req"].as_str(), reply_type, STANDARD.decode(data)) {
        state(|s| s.transcript.worker_answered(id, &body));
    }
    format!(
        "{}\n",
        json!({"type": reply_type, "req": request["req"], "meta": {"detail": "resident"}, "data": data})
    )
}

/// A client whose connection is recorded.
pub struct Client(pub RecordedStream);

impl Client {
    pub async fn connect(scheduler: &SchedulerHandle) -> Client {
        Client::from_stream(TcpStream::connect(scheduler.address).await.unwrap())
    }

    pub fn from_stream(stream: TcpStream) -> Client {
        Client(RecordedStream::new(stream, &[]))
    }

    /// Connects and sends bytes with a blocking socket, before a scheduler on the same thread runs again.
    pub fn connect_and_send(address: SocketAddr, bytes: &[u8]) -> Client {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.write_all(bytes).unwrap();
        stream.set_nonblocking(true).unwrap();
        Client(RecordedStream::new(TcpStream::from_std(stream).unwrap(), bytes))
    }

    pub async fn send(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        self.0.write_all(&encode_array(&words)).await.unwrap();
    }

    pub async fn send_call(&mut self, tag: &str, method: &str, id: &str) {
        let fields = format!("req={id},timeout=5000,subject=00000000000000aa,info=memory_mb:512;lanes:2");
        self.send(&["CALL", tag, method, &fields, "body"]).await;
    }

    /// Reads a reply and requires it to be exactly this.
    pub async fn expect_reply(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        let want = encode_array(&words);
        let mut reply = vec![0; want.len()];
        with_timeout(self.0.read_exact(&mut reply)).await.unwrap();
        assert_eq!(String::from_utf8_lossy(&reply), String::from_utf8_lossy(&want));
    }

    /// Sends a check with the next tag and requires this status. Once it is answered the scheduler has read
    /// everything that was sent before on any connection.
    pub async fn expect_check(&mut self, tag: &mut u64, status: &str) {
        *tag += 1;
        self.send(&["CHECK", &tag.to_string(), ""]).await;
        self.expect_reply(&[&tag.to_string(), status, "", ""]).await;
    }

    pub async fn expect_closed(&mut self) {
        let mut rest = Vec::new();
        let _ = with_timeout(self.0.read_to_end(&mut rest)).await;
        assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    }
}

pub const IDS: [&str; 3] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"];

pub async fn start_scheduler(workers: &[&str], resolver: &str) -> Scheduler {
    start_scheduler_with(workers, resolver, |_| ()).await
}

/// Starts a scheduler with a changed startup configuration.
pub async fn start_scheduler_with(
    workers: &[&str], resolver: &str, change: impl Fn(&mut Value),
) -> Scheduler {
    let handle = start(startup_config(workers, resolver, change)).await.unwrap();
    state(|s| s.schedulers += 1);
    Scheduler { handle, verified: false }
}

pub fn startup_config(
    workers: &[&str], resolver: &str, change: impl Fn(&mut Value),
) -> startup::StartupConfig {
    let nodes: Vec<Value> = workers
        .iter()
        .enumerate()
        .map(|(index, address)| json!({"instanceId": format!("s-{index}"), "hostPort": address, "zone": "z", "lifecycle": "Ready"}))
        .collect();
    let methods = json!([
        {"name": "read", "effect": "read_like", "group": "all", "aim": 500.0, "giveUp": 5000.0, "gain": 1.0},
        {"name": "issue", "effect": "non_idempotent", "group": "all", "aim": 500.0, "giveUp": 5000.0, "gain": 1.0},
    ]);
    let mut config = json!({
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
    change(&mut config);
    startup::parse(&config.to_string()).unwrap()
}

/// An address without a discovery server.
pub const NO_DISCOVERY: &str = "127.0.0.1:9";

/// The response to a discovery query: DNS records of these workers, each given by ID, address and priority.
pub fn discovery_response<S: AsRef<str>>(query: &[u8], serial: u32, workers: &[(S, String, u16)]) -> Message {
    discovery_response_with_start(query, serial, workers, 0)
}

/// The same, for workers that started at this Unix time in milliseconds.
pub fn discovery_response_with_start<S: AsRef<str>>(
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

/// A worker whose accept queue, of one connection, is full: dials hang until the test accepts. Returns its address, its
/// listener and the connection that fills the queue.
pub async fn unreachable_worker() -> (String, TcpListener, Vec<TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let queued = vec![TcpStream::connect(address).await.unwrap()];
    (address.to_string(), listener, queued)
}

/// A discovery server that responds when its test says so.
pub struct ScriptedDiscovery {
    socket: UdpSocket,
    /// The last query, and the address that it came from.
    last_query: Option<(Vec<u8>, SocketAddr)>,
}

impl ScriptedDiscovery {
    pub async fn new() -> ScriptedDiscovery {
        ScriptedDiscovery { socket: UdpSocket::bind("127.0.0.1:0").await.unwrap(), last_query: None }
    }

    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    /// Waits for the next query; of several that are queued the last one is kept.
    pub async fn expect_query(&mut self) {
        let mut query = [0; 512];
        let (n, from) = with_timeout(self.socket.recv_from(&mut query)).await.unwrap();
        self.last_query = Some((query[..n].to_vec(), from));
        while let Ok((n, from)) = self.socket.try_recv_from(&mut query) {
            self.last_query = Some((query[..n].to_vec(), from));
        }
    }

    /// Responds to the last query, before a scheduler on the same thread runs again. Returns the bytes sent.
    pub fn respond<S: AsRef<str>>(&self, serial: u32, workers: &[(S, String, u16)], started: u64) -> usize {
        let (query, from) = self.last_query.as_ref().expect("a query was received");
        let response = discovery_response_with_start(query, serial, workers, started).to_vec().unwrap();
        self.socket.try_send_to(&response, *from).unwrap_or(0)
    }
}

/// A discovery server that responds to every query with these workers.
pub async fn discovery_server(serial: u32, workers: Vec<(&'static str, String, u16)>) -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let mut query = [0; 512];
        while let Ok((n, from)) = socket.recv_from(&mut query).await {
            let m = discovery_response(&query[..n], serial, &workers);
            // A response with another ID precedes the right one.
            let mut mismatched = m.clone();
            mismatched.set_id(m.id().wrapping_add(1));
            let _ = socket.send_to(&mismatched.to_vec().unwrap(), from).await;
            let _ = socket.send_to(&m.to_vec().unwrap(), from).await;
        }
    });
    address
}
