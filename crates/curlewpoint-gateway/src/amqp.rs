use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_amqp::{Codec, Login, Session, SessionDriver};
use curlewpoint_engine::{Answer, ClientId, Refusal};
use curlewpoint_journal::{Journal, RecordVisitor};
use curlewpoint_link::Clock;
use curlewpoint_trigger::{
    AnswerKind, Delivery, DeliveryInfo, FinalAnswer, Inbox, InboxDriver, MessageKey, PrefetchController,
};
use futures_util::SinkExt;
use oorandom::Rand64;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{interval, sleep, MissedTickBehavior};
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::rustls::{crypto, ClientConfig, RootCertStore};
use tokio_rustls::TlsConnector;
use tokio_stream::StreamExt;
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::events::Event;
use crate::http::{Reply, RpcRequest};
use crate::reload::ActiveMethods;

/// Settings of the broker connection.
pub(crate) struct Settings {
    pub address: String,
    pub tls: Option<Tls>,
    pub login: Login,
    pub connections: usize,
    /// Maximum number of messages held from one queue.
    pub max_held: u64,
    /// Time that a requester waits if its message does not state one.
    pub default_time_left: Option<Time>,
    pub dead_letters: String,
    /// Time for which a journal record is kept if its message is not delivered again.
    pub record_retention: Time,
    /// Initial and maximum delay before reconnecting.
    pub backoff: (Duration, Duration),
    pub seed: u128,
}

/// TLS settings: trusted root certificates and the expected name of the broker.
#[derive(Clone)]
pub(crate) struct Tls {
    connector: TlsConnector,
    name: ServerName<'static>,
}

impl Tls {
    pub fn new(roots: &Path, name: &str) -> Result<Tls, String> {
        let in_file = |e: &dyn std::fmt::Display| format!("{}: {e}", roots.display());
        let mut store = RootCertStore::empty();
        for certificate in CertificateDer::pem_file_iter(roots).map_err(|e| in_file(&e))? {
            store.add(certificate.map_err(|e| in_file(&e))?).map_err(|e| in_file(&e))?;
        }
        if store.is_empty() {
            return Err(in_file(&"no certificate"));
        }
        let name = ServerName::try_from(name.to_owned()).map_err(|e| format!("'{name}': {e}"))?;
        let provider = Arc::new(crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
        let config = config.map_err(|e| e.to_string())?.with_root_certificates(store).with_no_client_auth();
        Ok(Tls { connector: TlsConnector::from(Arc::new(config)), name })
    }
}

/// A connection, with TLS or without.
trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

async fn dial(address: &str, tls: Option<&Tls>) -> std::io::Result<Box<dyn Stream>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    match tls {
        None => Ok(Box::new(stream)),
        Some(tls) => Ok(Box::new(tls.connector.connect(tls.name.clone(), stream).await?)),
    }
}

/// Time for connecting, including the TLS handshake.
const DIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Events that the broker and RPC tasks send to the task that owns the inbox.
enum BrokerEvent {
    /// A connection is established: its id, its slot, its outgoing channel and its task.
    Connected(u64, usize, mpsc::UnboundedSender<Outgoing>, AbortHandle),
    Frame(u64, Box<AMQPFrame>),
    /// A connection was lost, and why.
    Disconnected(u64, String),
    /// The journal has handled an intent, and whether it was written.
    IntentWritten(MessageKey, u64, bool),
    /// The message does not match its method's schema.
    InvalidRpc(MessageKey, String),
    /// An RPC has ended. None: the engine ended while the RPC was open.
    RpcEnded(MessageKey, Option<Reply>),
}

/// Commands for the task of a broker connection.
enum Outgoing {
    Frame(Box<AMQPFrame>),
    /// The negotiated maximum frame size and number of channels.
    Negotiated(u32, u16),
}

/// Events that a session has reported and that have not been processed yet.
enum SessionEvent {
    Ready,
    Delivered(String, u64, bool, Box<AMQPProperties>, Bytes),
    Committed(String, Vec<u64>),
    Returned(String, String, Box<AMQPProperties>, Bytes),
    Cancelled(String),
    Blocked(bool),
    Closed(String),
}

/// Implements the session's driver: queues its frames for the connection task and its events for the inbox task.
struct ConnectionDriver {
    outgoing_tx: mpsc::UnboundedSender<Outgoing>,
    events: VecDeque<SessionEvent>,
}

impl SessionDriver for ConnectionDriver {
    fn send(&mut self, frame: AMQPFrame) {
        let _ = self.outgoing_tx.send(Outgoing::Frame(Box::new(frame)));
    }
    fn negotiated(&mut self, frame_max: u32, channel_max: u16) {
        let _ = self.outgoing_tx.send(Outgoing::Negotiated(frame_max, channel_max));
    }
    fn ready(&mut self) {
        self.events.push_back(SessionEvent::Ready);
    }
    fn delivered(
        &mut self, queue: &str, tag: u64, redelivered: bool, properties: AMQPProperties, body: Bytes,
    ) {
        self.events.push_back(SessionEvent::Delivered(
            queue.to_owned(),
            tag,
            redelivered,
            Box::new(properties),
            body,
        ));
    }
    fn committed(&mut self, queue: &str, tags: &[u64]) {
        self.events.push_back(SessionEvent::Committed(queue.to_owned(), tags.to_vec()));
    }
    fn returned(&mut self, routing_key: &str, reason: &str, properties: AMQPProperties, body: Bytes) {
        self.events.push_back(SessionEvent::Returned(
            routing_key.to_owned(),
            reason.to_owned(),
            Box::new(properties),
            body,
        ));
    }
    fn cancelled(&mut self, queue: &str) {
        self.events.push_back(SessionEvent::Cancelled(queue.to_owned()));
    }
    fn blocked(&mut self, blocked: bool) {
        self.events.push_back(SessionEvent::Blocked(blocked));
    }
    fn closed(&mut self, reason: &str) {
        self.events.push_back(SessionEvent::Closed(reason.to_owned()));
    }
}

/// Keeps one connection to the broker open and reconnects with backoff when it ends.
async fn maintain_connection(
    slot: usize, address: String, tls: Option<Tls>, backoff: (Duration, Duration), seed: u128,
    event_tx: mpsc::UnboundedSender<BrokerEvent>,
) {
    let (mut rng, mut delay, mut connection_number) = (Rand64::new(seed + slot as u128), backoff.0, 0u64);
    loop {
        connection_number += 1;
        let conn = (slot as u64) << 32 | connection_number;
        let reason = match tokio::time::timeout(DIAL_TIMEOUT, dial(&address, tls.as_ref())).await {
            Err(_) => format!("not connected within {DIAL_TIMEOUT:?}"),
            Ok(Err(e)) => e.to_string(),
            Ok(Ok(stream)) => {
                let (outgoing_tx, outgoing_rx) = mpsc::unbounded_channel();
                let task = tokio::spawn(run_connection(conn, stream, outgoing_rx, event_tx.clone()));
                if event_tx
                    .send(BrokerEvent::Connected(conn, slot, outgoing_tx, task.abort_handle()))
                    .is_err()
                {
                    return;
                }
                let connected_at = std::time::Instant::now();
                let reason = task.await.unwrap_or_else(|_| "aborted".to_owned());
                if event_tx.send(BrokerEvent::Disconnected(conn, reason.clone())).is_err() {
                    return;
                }
                if connected_at.elapsed() > backoff.1 {
                    delay = backoff.0;
                }
                reason
            }
        };
        if event_tx.is_closed() {
            return;
        }
        // Jitter keeps instances that lost the same broker from reconnecting at the same moment.
        let jittered = delay.mul_f64(0.5 + rng.rand_float());
        info!(address, "no broker, tried again in {jittered:?}: {reason}");
        sleep(jittered).await;
        delay = (delay * 2).min(backoff.1);
    }
}

/// Reads and writes a connection until it ends. Returns the reason.
async fn run_connection(
    conn: u64, stream: Box<dyn Stream>, mut outgoing_rx: mpsc::UnboundedReceiver<Outgoing>,
    event_tx: mpsc::UnboundedSender<BrokerEvent>,
) -> String {
    let mut framed = Framed::new(stream, Codec::default());
    loop {
        tokio::select! {
            next = framed.next() => match next {
                Some(Ok(frame)) => {
                    if event_tx.send(BrokerEvent::Frame(conn, Box::new(frame))).is_err() {
                        return "the trigger task has ended".to_owned();
                    }
                }
                Some(Err(e)) => return e.to_string(),
                None => return "the broker closed the connection".to_owned(),
            },
            first = outgoing_rx.recv() => {
                let mut next = first;
                loop {
                    match next {
                        Some(Outgoing::Frame(frame)) => if let Err(e) = framed.feed(*frame).await {
                            return e.to_string();
                        },
                        Some(Outgoing::Negotiated(frame_max, channel_max)) => framed.codec_mut().set_limits(frame_max, channel_max),
                        None => {
                            let _ = framed.flush().await;
                            return "closed by this scheduler".to_owned();
                        }
                    }
                    match outgoing_rx.try_recv() {
                        Ok(more) => next = Some(more),
                        Err(mpsc::error::TryRecvError::Disconnected) => next = None,
                        Err(mpsc::error::TryRecvError::Empty) => break,
                    }
                }
                if let Err(e) = framed.flush().await {
                    return e.to_string();
                }
            }
        }
    }
}

/// A message that has been delivered and not settled.
struct HeldMessage {
    key: Option<MessageKey>,
    method: String,
    properties: AMQPProperties,
    body: Bytes,
}

struct BrokerConnection {
    slot: usize,
    session: Session<ConnectionDriver>,
    task: AbortHandle,
}

/// Performs the inbox's actions on the broker connections, the journal and the engine.
struct TriggerDriver {
    connections: BTreeMap<u64, BrokerConnection>,
    held: BTreeMap<Delivery, HeldMessage>,
    /// The latest delivery of each message.
    latest: BTreeMap<MessageKey, Delivery>,
    journal: Journal,
    broker_event_tx: mpsc::UnboundedSender<BrokerEvent>,
    request_tx: mpsc::Sender<Event>,
    active_methods: watch::Receiver<Arc<ActiveMethods>>,
    clock: Clock,
    /// Number of RPCs started so far.
    rpcs: u64,
    /// The queues. The index of a queue is part of the tags of its deliveries.
    queues: Vec<String>,
    dead_letters: String,
}

/// First client id of RPCs from AMQP, apart from those of the native protocol and HTTP.
const FIRST_CLIENT_ID: u64 = 1 << 62;
/// The bits of a delivery tag from this one on hold the index of the queue, as AMQP tags are only unique per channel.
const QUEUE_SHIFT: u32 = 40;
const REQUEUE_COUNT_HEADER: &str = "curlewpoint-given-back";
const QUEUE_PREFIX: &str = "curlewpoint.";

/// The wall clock since 1970, in the unit of the journal (tenths of a millisecond).
fn wall_clock() -> Time {
    Time(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| (d.as_micros() / 100) as u64))
}

fn header<'p>(properties: &'p AMQPProperties, name: &str) -> Option<&'p AMQPValue> {
    properties.headers().as_ref()?.inner().get(name)
}

/// A header that is a string.
fn text_header(properties: &AMQPProperties, name: &str) -> Option<String> {
    match header(properties, name)? {
        AMQPValue::LongString(s) => Some(s.to_string()),
        _ => None,
    }
}

fn with_header(properties: &AMQPProperties, name: &str, value: AMQPValue) -> AMQPProperties {
    let mut headers: FieldTable = properties.headers().clone().unwrap_or_default();
    headers.insert(name.into(), value);
    properties.clone().with_headers(headers)
}

impl TriggerDriver {
    /// Publishes a message and acknowledges a held delivery in one transaction.
    fn publish_and_ack(&mut self, delivery: Delivery, to: &str, properties: AMQPProperties, body: &[u8]) {
        let Some(queue) = self.queues.get((delivery.tag >> QUEUE_SHIFT) as usize) else { return };
        let Some(connection) = self.connections.get_mut(&delivery.conn) else { return };
        let tag = delivery.tag & ((1 << QUEUE_SHIFT) - 1);
        connection.session.publish_and_ack(self.clock.now(), queue, Some(tag), "", to, properties, body);
    }

    /// Forgets a delivery that is settled or lost.
    fn release(&mut self, delivery: Delivery) -> Option<HeldMessage> {
        let held = self.held.remove(&delivery)?;
        if let Some(key) = held.key.as_ref().filter(|n| self.latest.get(n) == Some(&delivery)) {
            self.latest.remove(key);
        }
        Some(held)
    }
}

impl InboxDriver for TriggerDriver {
    fn write_intent(&mut self, key: &MessageKey, number: u64) {
        let (event_tx, intent_key) = (self.broker_event_tx.clone(), key.clone());
        self.journal.write_intent(key, wall_clock(), move |written| {
            drop(event_tx.send(BrokerEvent::IntentWritten(intent_key, number, written)))
        });
    }

    fn write_answer(&mut self, key: &MessageKey, answer: &FinalAnswer) {
        self.journal.write_answer(key, wall_clock(), answer);
    }

    fn remove_record(&mut self, key: &MessageKey) {
        self.journal.remove(key);
    }

    fn submit(&mut self, key: &MessageKey, until: Time) {
        let Some(held) = self.latest.get(key).and_then(|d| self.held.get(d)) else { return };
        let (method, body, properties) = (held.method.clone(), held.body.clone(), &held.properties);
        let (model, tenant) = (text_header(properties, "model"), text_header(properties, "tenant"));
        let (model, tenant) = (model.unwrap_or_default(), tenant.unwrap_or_default());
        let (request_tx, event_tx, active_methods) =
            (self.request_tx.clone(), self.broker_event_tx.clone(), self.active_methods.clone());
        let (clock, key, id) = (self.clock, key.clone(), ClientId(FIRST_CLIENT_ID + self.rpcs));
        self.rpcs += 1;
        tokio::spawn(async move {
            loop {
                let active = Arc::clone(&active_methods.borrow());
                let described = active.prepared.catalogue.method(&method);
                if let Some(Err(error)) = described.map(|m| m.request.check(&body)) {
                    let _ = event_tx.send(BrokerEvent::InvalidRpc(key, error.to_string()));
                    return;
                }
                let (reply_tx, reply_rx) = oneshot::channel();
                let (method, model, tenant) = (method.clone(), model.clone(), tenant.clone());
                let (release, token, body) = (active.release, Some(key.id.clone()), body.clone());
                let time_left = until - clock.now();
                let request = RpcRequest { release, method, model, tenant, time_left, token, body, reply_tx };
                if request_tx.send(Event::Request(id, request)).await.is_err() {
                    // The RPC did not reach the engine, so nothing was sent.
                    let _ =
                        event_tx.send(BrokerEvent::RpcEnded(key, Some(Reply::Refused(Refusal::Stopping))));
                    return;
                }
                match reply_rx.await {
                    Ok(Reply::MethodsChanged) => continue,
                    reply => {
                        let _ = event_tx.send(BrokerEvent::RpcEnded(key, reply.ok()));
                        return;
                    }
                }
            }
        });
    }

    fn settle(&mut self, key: &MessageKey, delivery: Delivery, answer: &FinalAnswer) {
        let Some(held) = self.held.get(&delivery) else { return };
        let answer_name = match answer.kind {
            AnswerKind::Ok => "ok",
            AnswerKind::Denied => "denied",
            AnswerKind::Aborted => "aborted",
        };
        let catalogue = Arc::clone(&self.active_methods.borrow().prepared.catalogue);
        let media_type =
            catalogue.method(&held.method).map_or("application/octet-stream", |m| m.answer.media_type());
        let mut properties = AMQPProperties::default()
            .with_correlation_id(key.id.as_str().into())
            .with_delivery_mode(2)
            .with_content_type(media_type.into());
        properties = with_header(&properties, "answer", AMQPValue::LongString(answer_name.into()));
        if !answer.reason.is_empty() {
            properties =
                with_header(&properties, "why", AMQPValue::LongString(answer.reason.as_str().into()));
        }
        self.publish_and_ack(delivery, &key.reply_to, properties, &answer.body);
    }

    fn requeue(&mut self, _: &MessageKey, delivery: Delivery, requeue_count: u32) {
        let Some(held) = self.held.get(&delivery) else { return };
        let (queue, body) = (format!("{QUEUE_PREFIX}{}", held.method), held.body.clone());
        let properties =
            with_header(&held.properties, REQUEUE_COUNT_HEADER, AMQPValue::LongInt(requeue_count as i32));
        self.publish_and_ack(delivery, &queue, properties, &body);
    }

    fn dead_letter(&mut self, delivery: Delivery, reason: &str) {
        let Some(held) = self.held.get(&delivery) else { return };
        let (to, body) = (self.dead_letters.clone(), held.body.clone());
        let properties =
            with_header(&held.properties, "curlewpoint-why", AMQPValue::LongString(reason.into()));
        info!(method = held.method, "a message goes to {to}: {reason}");
        self.publish_and_ack(delivery, &to, properties, &body);
    }

    fn log(&mut self, key: &MessageKey, line: &str) {
        info!(id = key.id, "{line}");
    }
}

/// Records that previous runs have left in the journal.
#[derive(Default)]
pub(crate) struct RecoveredRecords(Vec<(MessageKey, Time, Option<FinalAnswer>)>);

impl RecordVisitor for RecoveredRecords {
    fn intent(&mut self, key: MessageKey, at: Time) {
        self.0.push((key, at, None));
    }
    fn answer(&mut self, key: MessageKey, at: Time, answer: FinalAnswer) {
        self.0.push((key, at, Some(answer)));
    }
}

struct Trigger {
    inbox: Inbox<TriggerDriver>,
    prefetch_controllers: BTreeMap<String, PrefetchController>,
    settings: Settings,
    clock: Clock,
    stopping: bool,
}

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Consumes the broker's queues until `stop` is set. Messages held by then are answered or given back.
pub(crate) async fn serve(
    settings: Settings, journal: Journal, recovered: RecoveredRecords,
    active_methods: watch::Receiver<Arc<ActiveMethods>>, clock: Clock, request_tx: mpsc::Sender<Event>,
    mut stop: watch::Receiver<bool>,
) {
    let (broker_event_tx, mut broker_event_rx) = mpsc::unbounded_channel();
    let mut connection_tasks = Vec::new();
    for slot in 0..settings.connections.max(1) {
        let (address, tls, backoff) = (settings.address.clone(), settings.tls.clone(), settings.backoff);
        let connecting =
            maintain_connection(slot, address, tls, backoff, settings.seed, broker_event_tx.clone());
        connection_tasks.push(tokio::spawn(connecting).abort_handle());
    }
    let driver = TriggerDriver {
        connections: BTreeMap::new(),
        held: BTreeMap::new(),
        latest: BTreeMap::new(),
        journal,
        broker_event_tx,
        request_tx,
        active_methods,
        clock,
        rpcs: 0,
        queues: Vec::new(),
        dead_letters: settings.dead_letters.clone(),
    };
    let mut inbox = Inbox::new(driver, settings.record_retention);
    let (now, wall_time, found) = (clock.now(), wall_clock(), recovered.0.len());
    for (key, at, answer) in recovered.0 {
        match answer {
            Some(answer) => inbox.recovered_answer(now, key, answer),
            // A record from the future means that the clock was set back, and the age is unknown.
            None => {
                let age = wall_time.0.checked_sub(at.0).map_or(Time(u64::MAX), Time);
                inbox.recovered_intent(now, key, age);
            }
        }
    }
    if found > 0 {
        info!(found, "the journal holds messages of a previous run that may be delivered again");
    }
    let mut trigger =
        Trigger { inbox, prefetch_controllers: BTreeMap::new(), settings, clock, stopping: false };
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            event = broker_event_rx.recv() => match event {
                Some(event) => trigger.handle_event(event),
                None => break,
            },
            _ = tick.tick() => trigger.tick(),
            _ = stop.wait_for(|s| *s), if !trigger.stopping => trigger.stop(),
        }
        if trigger.is_over() {
            break;
        }
    }
    connection_tasks.iter().for_each(AbortHandle::abort);
    let now = clock.now();
    let driver = trigger.inbox.driver();
    for connection in driver.connections.values_mut() {
        connection.session.close(now);
    }
    // The connection tasks write what is queued and end.
    let tasks: Vec<AbortHandle> =
        std::mem::take(&mut driver.connections).into_values().map(|connection| connection.task).collect();
    let closing_since = std::time::Instant::now();
    while tasks.iter().any(|t| !t.is_finished()) && closing_since.elapsed() < Duration::from_secs(1) {
        sleep(Duration::from_millis(5)).await;
    }
}

impl Trigger {
    fn is_over(&mut self) -> bool {
        self.stopping && self.inbox.open() == 0 && self.inbox.driver().held.is_empty()
    }

    fn stop(&mut self) {
        self.stopping = true;
        self.inbox.stop();
        self.prefetch_controllers.values_mut().for_each(PrefetchController::stop);
        self.update_prefetch();
    }

    /// Sets the number of messages that each queue may hold now. Adds queues of methods that a reload has added.
    fn update_prefetch(&mut self) {
        let (now, max_held) = (self.clock.now(), self.settings.max_held);
        let driver = self.inbox.driver();
        let active_methods = Arc::clone(&driver.active_methods.borrow());
        for method in active_methods.prepared.catalogue.methods() {
            let queue = format!("{QUEUE_PREFIX}{}", method.name);
            if !driver.queues.contains(&queue) {
                driver.queues.push(queue.clone());
            }
            self.prefetch_controllers.entry(queue).or_insert_with(|| PrefetchController::new(now, max_held));
        }
        let slots = self.settings.connections.max(1);
        for connection in driver.connections.values_mut() {
            for queue in driver.queues.iter().skip(connection.slot).step_by(slots) {
                let served = active_methods
                    .prepared
                    .catalogue
                    .method(queue.trim_start_matches(QUEUE_PREFIX))
                    .is_some();
                let prefetch = self
                    .prefetch_controllers
                    .get(queue)
                    .filter(|_| served)
                    .map_or(0, PrefetchController::prefetch);
                connection.session.set_prefetch(now, queue, u16::try_from(prefetch).unwrap_or(u16::MAX));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.inbox.sweep(now);
        let conns: Vec<u64> = self.inbox.driver().connections.keys().copied().collect();
        for conn in conns {
            self.with_session(conn, |session| session.tick(now));
        }
        self.prefetch_controllers.values_mut().for_each(|i| {
            i.tick(now);
        });
        self.update_prefetch();
    }

    fn with_session(&mut self, conn: u64, action: impl FnOnce(&mut Session<ConnectionDriver>)) {
        if let Some(connection) = self.inbox.driver().connections.get_mut(&conn) {
            action(&mut connection.session);
        }
        // One event at a time, as processing an event may cause the session to report more.
        while let Some(event) = self
            .inbox
            .driver()
            .connections
            .get_mut(&conn)
            .and_then(|connection| connection.session.driver().events.pop_front())
        {
            self.handle_session_event(conn, event);
        }
    }

    fn handle_event(&mut self, event: BrokerEvent) {
        let now = self.clock.now();
        match event {
            BrokerEvent::Connected(conn, slot, outgoing_tx, task) => {
                let driver = ConnectionDriver { outgoing_tx, events: VecDeque::new() };
                let session = Session::start(now, driver, self.settings.login.clone());
                self.inbox.driver().connections.insert(conn, BrokerConnection { slot, session, task });
            }
            BrokerEvent::Frame(conn, frame) => {
                self.with_session(conn, |session| session.handle_frame(now, *frame))
            }
            BrokerEvent::Disconnected(conn, reason) => {
                self.with_session(conn, |session| session.connection_lost(&reason));
                self.connection_lost(conn);
            }
            BrokerEvent::IntentWritten(key, number, true) => self.inbox.intent_written(&key, number),
            BrokerEvent::IntentWritten(key, number, false) => self.inbox.intent_failed(&key, number),
            BrokerEvent::InvalidRpc(key, reason) => {
                self.inbox.refused(now, &key, &format!("unfit: {reason}"), true)
            }
            BrokerEvent::RpcEnded(key, None) => {
                let (reason, body) = ("the scheduler ended".to_owned(), Bytes::new());
                self.inbox.answered(&key, FinalAnswer { kind: AnswerKind::Aborted, reason, body });
            }
            BrokerEvent::RpcEnded(key, Some(Reply::Final { answer, reason, body, .. })) => {
                let kind = match answer {
                    Answer::Ok => AnswerKind::Ok,
                    Answer::Denied => AnswerKind::Denied,
                    Answer::Aborted => AnswerKind::Aborted,
                };
                let failed = kind != AnswerKind::Ok;
                let driver = self.inbox.driver();
                let delivery = driver.latest.get(&key);
                let queue = delivery.and_then(|d| driver.queues.get((d.tag >> QUEUE_SHIFT) as usize));
                queue
                    .and_then(|q| self.prefetch_controllers.get_mut(q))
                    .into_iter()
                    .for_each(|i| i.answered(failed));
                self.inbox.answered(&key, FinalAnswer { kind, reason, body });
            }
            BrokerEvent::RpcEnded(key, Some(Reply::Refused(refusal))) => {
                let is_permanent = !matches!(refusal, Refusal::Full | Refusal::Stopping);
                self.inbox.refused(now, &key, crate::refusal_name(refusal), is_permanent);
            }
            BrokerEvent::RpcEnded(_, Some(Reply::MethodsChanged)) => {}
        }
    }

    fn connection_lost(&mut self, conn: u64) {
        let now = self.clock.now();
        let driver = self.inbox.driver();
        if let Some(connection) = driver.connections.remove(&conn) {
            connection.task.abort();
        }
        let lost: Vec<Delivery> = driver.held.keys().filter(|d| d.conn == conn).copied().collect();
        for delivery in lost {
            driver.release(delivery);
        }
        self.inbox.connection_lost(now, conn);
    }

    fn handle_session_event(&mut self, conn: u64, event: SessionEvent) {
        let now = self.clock.now();
        match event {
            SessionEvent::Ready => {
                info!(conn, "connected to the broker");
                self.update_prefetch();
            }
            SessionEvent::Delivered(queue, tag, redelivered, properties, body) => {
                self.delivered(conn, &queue, tag, redelivered, *properties, body);
            }
            SessionEvent::Committed(queue, tags) => {
                let Some(index) = self.inbox.driver().queues.iter().position(|q| *q == queue) else { return };
                for tag in tags {
                    let delivery = Delivery { conn, tag: (index as u64) << QUEUE_SHIFT | tag };
                    if let Some(HeldMessage { key: Some(key), .. }) = self.inbox.driver().release(delivery) {
                        self.inbox.settled(&key, delivery);
                    }
                }
            }
            SessionEvent::Returned(to, reason, properties, body) => {
                let driver = self.inbox.driver();
                warn!(to, "an answer was returned: {reason}");
                let dead_letters = driver.dead_letters.clone();
                let Some(connection) = driver.connections.get_mut(&conn).filter(|_| to != dead_letters)
                else {
                    return;
                };
                let reason = AMQPValue::LongString(reason.as_str().into());
                let properties = with_header(&properties, "curlewpoint-why", reason);
                // Any open channel of the connection can publish it.
                let publish = |queue: &String| {
                    connection.session.publish_and_ack(
                        now,
                        queue,
                        None,
                        "",
                        &dead_letters,
                        properties.clone(),
                        &body,
                    )
                };
                if !driver.queues.iter().any(publish) {
                    warn!(to, "the answer is lost, as no channel is open");
                }
            }
            SessionEvent::Cancelled(queue) => {
                info!(queue, "the broker cancelled the consumer, consuming again")
            }
            SessionEvent::Blocked(blocked) => {
                info!(blocked, "the broker has blocked or unblocked the connection");
                self.prefetch_controllers.values_mut().for_each(|i| i.blocked(blocked));
                self.update_prefetch();
            }
            SessionEvent::Closed(reason) => {
                warn!(conn, "the broker's session is over: {reason}");
                self.connection_lost(conn);
            }
        }
    }

    fn delivered(
        &mut self, conn: u64, queue: &str, tag: u64, redelivered: bool, properties: AMQPProperties,
        body: Bytes,
    ) {
        let (now, default_time_left) = (self.clock.now(), self.settings.default_time_left);
        let driver = self.inbox.driver();
        let Some(index) = driver.queues.iter().position(|q| q == queue) else { return };
        let delivery = Delivery { conn, tag: (index as u64) << QUEUE_SHIFT | tag };
        let method = queue.trim_start_matches(QUEUE_PREFIX).to_owned();
        let active_methods = Arc::clone(&driver.active_methods.borrow());
        let described = active_methods.prepared.catalogue.method(&method);
        let effect = active_methods.prepared.effects.get(&method).copied();
        let (id, reply_to) = (properties.message_id().clone(), properties.reply_to().clone());
        let key =
            id.zip(reply_to).map(|(id, to)| MessageKey { id: id.to_string(), reply_to: to.to_string() });
        let age = properties.timestamp().and_then(|at| {
            let sent = Time(at.saturating_mul(10_000));
            // The age is unknown if the sender's clock is ahead.
            wall_clock().0.checked_sub(sent.0).map(Time)
        });
        let expiration = properties.expiration().as_ref().and_then(|e| e.as_str().parse::<u64>().ok());
        let requeue_count = match header(&properties, REQUEUE_COUNT_HEADER) {
            Some(AMQPValue::LongInt(n)) => u32::try_from(*n).unwrap_or(0),
            _ => 0,
        };
        let model = text_header(&properties, "model").filter(|m| !m.is_empty());
        let held = HeldMessage { key: key.clone(), method: method.clone(), properties, body };
        driver.held.insert(delivery, held);
        let (Some(key), Some(described), Some(effect), Some(_)) = (key, described, effect, model) else {
            return driver.dead_letter(
                delivery,
                "it has no id, no address for its answer or no model, or no such method",
            );
        };
        driver.latest.insert(key.clone(), delivery);
        let deadline = Time::from_ms(described.deadline);
        let waiting_time =
            expiration.map(|ms| Time(ms.saturating_mul(10))).or(default_time_left).unwrap_or(deadline);
        let time_left = (waiting_time - age.unwrap_or(Time(0))).min(deadline);
        let info = DeliveryInfo { effect, time_left, redelivered, age, requeue_count };
        let open = self.inbox.open() as u64 + 1;
        self.prefetch_controllers.get_mut(queue).into_iter().for_each(|i| i.delivered(time_left, open));
        self.inbox.delivered(now, key, delivery, info);
    }
}
