use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_amqp::{Codec, Host, Login, Session};
use curlewpoint_engine::{Answer, ClientId, Refusal};
use curlewpoint_journal::{Journal, Reader};
use curlewpoint_link::Clock;
use curlewpoint_trigger::{Delivery, Desk, End, Final, Inbox, Intake, Name, Terms};
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

use crate::http::{Ask, Reply};
use crate::notes::Note;
use crate::reload::InForce;

/// What a broker and its queues are consumed by.
pub(crate) struct Settings {
    pub address: String,
    pub tls: Option<Tls>,
    pub login: Login,
    pub connections: usize,
    pub most_held: u64,
    pub time_left: Option<Time>,
    pub dead_letters: String,
    pub keep: Time,
    pub back_off: (Duration, Duration),
    pub seed: u128,
}

/// Whom a broker has to be signed by, and what it has to be called.
#[derive(Clone)]
pub(crate) struct Tls {
    connector: TlsConnector,
    name: ServerName<'static>,
}

impl Tls {
    pub fn new(roots: &Path, name: &str) -> Result<Tls, String> {
        let at_fault = |e: &dyn std::fmt::Display| format!("{}: {e}", roots.display());
        let mut store = RootCertStore::empty();
        for certificate in CertificateDer::pem_file_iter(roots).map_err(|e| at_fault(&e))? {
            store.add(certificate.map_err(|e| at_fault(&e))?).map_err(|e| at_fault(&e))?;
        }
        if store.is_empty() {
            return Err(at_fault(&"no certificate"));
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

/// A dial, with all of TLS, that takes longer has failed.
const DIAL: Duration = Duration::from_secs(5);

/// What the tasks around the broker tell the one that owns the inbox.
enum Event {
    Up(u64, usize, mpsc::UnboundedSender<Out>, AbortHandle),
    Frame(u64, Box<AMQPFrame>),
    Lost(u64, String),
    Intent(Name, u64, bool),
    Unfit(Name, String),
    /// None: the engine has gone with it.
    Ended(Name, Option<Reply>),
}

/// What a connection's task is told.
enum Out {
    Frame(Box<AMQPFrame>),
    Agreed(u32, u16),
}

/// What a session heard, until it is looked at.
enum Heard {
    Ready,
    Delivered(String, u64, bool, Box<AMQPProperties>, Bytes),
    Committed(String, Vec<u64>),
    Returned(String, String, Box<AMQPProperties>, Bytes),
    Cancelled(String),
    Blocked(bool),
    Over(String),
}

struct Wire {
    out: mpsc::UnboundedSender<Out>,
    heard: VecDeque<Heard>,
}

impl Host for Wire {
    fn send(&mut self, frame: AMQPFrame) {
        let _ = self.out.send(Out::Frame(Box::new(frame)));
    }
    fn agreed(&mut self, frame_max: u32, channel_max: u16) {
        let _ = self.out.send(Out::Agreed(frame_max, channel_max));
    }
    fn ready(&mut self) {
        self.heard.push_back(Heard::Ready);
    }
    fn delivered(
        &mut self, queue: &str, tag: u64, redelivered: bool, properties: AMQPProperties, body: Bytes,
    ) {
        self.heard.push_back(Heard::Delivered(
            queue.to_owned(),
            tag,
            redelivered,
            Box::new(properties),
            body,
        ));
    }
    fn committed(&mut self, queue: &str, tags: &[u64]) {
        self.heard.push_back(Heard::Committed(queue.to_owned(), tags.to_vec()));
    }
    fn returned(&mut self, routing_key: &str, why: &str, properties: AMQPProperties, body: Bytes) {
        self.heard.push_back(Heard::Returned(
            routing_key.to_owned(),
            why.to_owned(),
            Box::new(properties),
            body,
        ));
    }
    fn cancelled(&mut self, queue: &str) {
        self.heard.push_back(Heard::Cancelled(queue.to_owned()));
    }
    fn blocked(&mut self, blocked: bool) {
        self.heard.push_back(Heard::Blocked(blocked));
    }
    fn over(&mut self, why: &str) {
        self.heard.push_back(Heard::Over(why.to_owned()));
    }
}

/// Opens a connection, tells of what comes, and begins anew when it ends.
async fn connect(
    slot: usize, address: String, tls: Option<Tls>, back_off: (Duration, Duration), seed: u128,
    events: mpsc::UnboundedSender<Event>,
) {
    let (mut rng, mut pause, mut no) = (Rand64::new(seed + slot as u128), back_off.0, 0u64);
    loop {
        no += 1;
        let conn = (slot as u64) << 32 | no;
        let why = match tokio::time::timeout(DIAL, dial(&address, tls.as_ref())).await {
            Err(_) => format!("not up within {DIAL:?}"),
            Ok(Err(e)) => e.to_string(),
            Ok(Ok(stream)) => {
                let (out, waiting) = mpsc::unbounded_channel();
                let talk = tokio::spawn(converse(conn, stream, waiting, events.clone()));
                if events.send(Event::Up(conn, slot, out, talk.abort_handle())).is_err() {
                    return;
                }
                let began = std::time::Instant::now();
                let why = talk.await.unwrap_or_else(|_| "given up".to_owned());
                if events.send(Event::Lost(conn, why.clone())).is_err() {
                    return;
                }
                if began.elapsed() > back_off.1 {
                    pause = back_off.0;
                }
                why
            }
        };
        if events.is_closed() {
            return;
        }
        // Instances that lost one broker together do not come back together.
        let jittered = pause.mul_f64(0.5 + rng.rand_float());
        info!(address, "no broker, tried again in {jittered:?}: {why}");
        sleep(jittered).await;
        pause = (pause * 2).min(back_off.1);
    }
}

async fn converse(
    conn: u64, stream: Box<dyn Stream>, mut out: mpsc::UnboundedReceiver<Out>,
    events: mpsc::UnboundedSender<Event>,
) -> String {
    let mut framed = Framed::new(stream, Codec::default());
    loop {
        tokio::select! {
            next = framed.next() => match next {
                Some(Ok(frame)) => {
                    if events.send(Event::Frame(conn, Box::new(frame))).is_err() {
                        return "nobody listens".to_owned();
                    }
                }
                Some(Err(e)) => return e.to_string(),
                None => return "the broker ended it".to_owned(),
            },
            said = out.recv() => {
                let mut next = said;
                loop {
                    match next {
                        Some(Out::Frame(frame)) => if let Err(e) = framed.feed(*frame).await {
                            return e.to_string();
                        },
                        Some(Out::Agreed(frame_max, channel_max)) => framed.codec_mut().agreed(frame_max, channel_max),
                        None => {
                            let _ = framed.flush().await;
                            return "ended in order".to_owned();
                        }
                    }
                    match out.try_recv() {
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

/// A message that is here.
struct Held {
    name: Option<Name>,
    method: String,
    properties: AMQPProperties,
    body: Bytes,
}

struct Up {
    slot: usize,
    session: Session<Wire>,
    talk: AbortHandle,
}

/// Everything that the inbox acts through.
struct Hands {
    sessions: BTreeMap<u64, Up>,
    held: BTreeMap<Delivery, Held>,
    latest: BTreeMap<Name, Delivery>,
    journal: Journal,
    events: mpsc::UnboundedSender<Event>,
    notes: mpsc::Sender<Note>,
    in_force: watch::Receiver<Arc<InForce>>,
    clock: Clock,
    next: u64,
    /// Each queue's number, which stands in its deliveries' tags.
    queues: Vec<String>,
    dead_letters: String,
}

/// Clients of this door have ids apart from those of the others.
const DOOR: u64 = 1 << 62;
/// A delivery's tag has the number of its queue above this bit: tags count from one on each channel.
const QUEUE_BIT: u32 = 40;
const GIVEN_BACK: &str = "curlewpoint-given-back";
const PREFIX: &str = "curlewpoint.";

/// The wall's clock, in the journal's unit.
fn wall() -> Time {
    Time(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| (d.as_micros() / 100) as u64))
}

fn header<'p>(properties: &'p AMQPProperties, name: &str) -> Option<&'p AMQPValue> {
    properties.headers().as_ref()?.inner().get(name)
}

fn text(properties: &AMQPProperties, name: &str) -> Option<String> {
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

impl Hands {
    /// Publishes something for a delivery that is here, in one transaction with its acknowledgement.
    fn exchange(&mut self, delivery: Delivery, to: &str, properties: AMQPProperties, body: &[u8]) {
        let Some(queue) = self.queues.get((delivery.tag >> QUEUE_BIT) as usize) else { return };
        let Some(up) = self.sessions.get_mut(&delivery.conn) else { return };
        let tag = delivery.tag & ((1 << QUEUE_BIT) - 1);
        up.session.exchange(self.clock.now(), queue, Some(tag), "", to, properties, body);
    }

    fn let_go(&mut self, delivery: Delivery) -> Option<Held> {
        let held = self.held.remove(&delivery)?;
        if let Some(name) = held.name.as_ref().filter(|n| self.latest.get(n) == Some(&delivery)) {
            self.latest.remove(name);
        }
        Some(held)
    }
}

impl Desk for Hands {
    fn write_intent(&mut self, name: &Name, no: u64) {
        let (events, of) = (self.events.clone(), name.clone());
        self.journal.intent(name, wall(), move |written| drop(events.send(Event::Intent(of, no, written))));
    }

    fn write_answer(&mut self, name: &Name, answer: &Final) {
        self.journal.answer(name, wall(), answer);
    }

    fn write_done(&mut self, name: &Name) {
        self.journal.done(name);
    }

    fn ask(&mut self, name: &Name, until: Time) {
        let Some(held) = self.latest.get(name).and_then(|d| self.held.get(d)) else { return };
        let (method, body, properties) = (held.method.clone(), held.body.clone(), &held.properties);
        let (model, tenant) = (text(properties, "model"), text(properties, "tenant"));
        let (model, tenant) = (model.unwrap_or_default(), tenant.unwrap_or_default());
        let (notes, events, in_force) = (self.notes.clone(), self.events.clone(), self.in_force.clone());
        let (clock, name, id) = (self.clock, name.clone(), ClientId(DOOR + self.next));
        self.next += 1;
        tokio::spawn(async move {
            loop {
                let now = Arc::clone(&in_force.borrow());
                let known = now.prepared.catalogue.method(&method);
                if let Some(Err(why)) = known.map(|m| m.request.check(&body)) {
                    let _ = events.send(Event::Unfit(name, why.to_string()));
                    return;
                }
                let (reply, told) = oneshot::channel();
                let (method, model, tenant) = (method.clone(), model.clone(), tenant.clone());
                let (release, token, body) = (now.release, Some(name.id.clone()), body.clone());
                let left = until - clock.now();
                let ask = Ask { release, method, model, tenant, left, token, body, reply };
                if notes.send(Note::Ask(id, ask)).await.is_err() {
                    // It was not handed over: nothing was sent.
                    let _ = events.send(Event::Ended(name, Some(Reply::Refused(Refusal::Stopping))));
                    return;
                }
                match told.await {
                    Ok(Reply::Changed) => continue,
                    reply => {
                        let _ = events.send(Event::Ended(name, reply.ok()));
                        return;
                    }
                }
            }
        });
    }

    fn settle(&mut self, name: &Name, delivery: Delivery, answer: &Final) {
        let Some(held) = self.held.get(&delivery) else { return };
        let word = match answer.end {
            End::Ok => "ok",
            End::Denied => "denied",
            End::Aborted => "aborted",
        };
        let catalogue = Arc::clone(&self.in_force.borrow().prepared.catalogue);
        let media =
            catalogue.method(&held.method).map_or("application/octet-stream", |m| m.answer.media_type());
        let mut properties = AMQPProperties::default()
            .with_correlation_id(name.id.as_str().into())
            .with_delivery_mode(2)
            .with_content_type(media.into());
        properties = with_header(&properties, "answer", AMQPValue::LongString(word.into()));
        if !answer.why.is_empty() {
            properties = with_header(&properties, "why", AMQPValue::LongString(answer.why.as_str().into()));
        }
        self.exchange(delivery, &name.reply_to, properties, &answer.body);
    }

    fn give_back(&mut self, _: &Name, delivery: Delivery, given_back: u32) {
        let Some(held) = self.held.get(&delivery) else { return };
        let (queue, body) = (format!("{PREFIX}{}", held.method), held.body.clone());
        let properties = with_header(&held.properties, GIVEN_BACK, AMQPValue::LongInt(given_back as i32));
        self.exchange(delivery, &queue, properties, &body);
    }

    fn dead_letter(&mut self, delivery: Delivery, why: &str) {
        let Some(held) = self.held.get(&delivery) else { return };
        let (to, body) = (self.dead_letters.clone(), held.body.clone());
        let properties = with_header(&held.properties, "curlewpoint-why", AMQPValue::LongString(why.into()));
        info!(method = held.method, "a message goes to {to}: {why}");
        self.exchange(delivery, &to, properties, &body);
    }

    fn log(&mut self, name: &Name, line: &str) {
        info!(id = name.id, "{line}");
    }
}

/// What the journal of a run before this one holds.
#[derive(Default)]
pub(crate) struct Before(Vec<(Name, Time, Option<Final>)>);

impl Reader for Before {
    fn intent(&mut self, name: Name, at: Time) {
        self.0.push((name, at, None));
    }
    fn answer(&mut self, name: Name, at: Time, answer: Final) {
        self.0.push((name, at, Some(answer)));
    }
}

struct Trigger {
    inbox: Inbox<Hands>,
    intakes: BTreeMap<String, Intake>,
    settings: Settings,
    clock: Clock,
    stopping: bool,
}

const TICK: Duration = Duration::from_millis(100);

/// Consumes the broker's queues until `stop` says so; then what is here is answered or given back.
pub(crate) async fn serve(
    settings: Settings, journal: Journal, before: Before, in_force: watch::Receiver<Arc<InForce>>,
    clock: Clock, notes: mpsc::Sender<Note>, mut stop: watch::Receiver<bool>,
) {
    let (events, mut heard) = mpsc::unbounded_channel();
    let mut dialling = Vec::new();
    for slot in 0..settings.connections.max(1) {
        let (address, tls, back_off) = (settings.address.clone(), settings.tls.clone(), settings.back_off);
        let connecting = connect(slot, address, tls, back_off, settings.seed, events.clone());
        dialling.push(tokio::spawn(connecting).abort_handle());
    }
    let hands = Hands {
        sessions: BTreeMap::new(),
        held: BTreeMap::new(),
        latest: BTreeMap::new(),
        journal,
        events,
        notes,
        in_force,
        clock,
        next: 0,
        queues: Vec::new(),
        dead_letters: settings.dead_letters.clone(),
    };
    let mut inbox = Inbox::new(hands, settings.keep);
    let (now, today, found) = (clock.now(), wall(), before.0.len());
    for (name, at, answer) in before.0 {
        match answer {
            Some(answer) => inbox.recovered_answer(now, name, answer),
            // A record of later than now: the clock was set back, and nobody knows how old it is.
            None => {
                let age = today.0.checked_sub(at.0).map_or(Time(u64::MAX), Time);
                inbox.recovered_intent(now, name, age);
            }
        }
    }
    if found > 0 {
        info!(found, "the journal of the run before has messages that may come again");
    }
    let mut trigger = Trigger { inbox, intakes: BTreeMap::new(), settings, clock, stopping: false };
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            event = heard.recv() => match event {
                Some(event) => trigger.event(event),
                None => break,
            },
            _ = tick.tick() => trigger.tick(),
            _ = stop.wait_for(|s| *s), if !trigger.stopping => trigger.stop(),
        }
        if trigger.is_over() {
            break;
        }
    }
    dialling.iter().for_each(AbortHandle::abort);
    let now = clock.now();
    let hands = trigger.inbox.desk();
    for up in hands.sessions.values_mut() {
        up.session.close(now);
    }
    // Their tasks write what they have been told, and end.
    let talks: Vec<AbortHandle> =
        std::mem::take(&mut hands.sessions).into_values().map(|up| up.talk).collect();
    let began = std::time::Instant::now();
    while talks.iter().any(|t| !t.is_finished()) && began.elapsed() < Duration::from_secs(1) {
        sleep(Duration::from_millis(5)).await;
    }
}

impl Trigger {
    fn is_over(&mut self) -> bool {
        self.stopping && self.inbox.open() == 0 && self.inbox.desk().held.is_empty()
    }

    fn stop(&mut self) {
        self.stopping = true;
        self.inbox.stop();
        self.intakes.values_mut().for_each(Intake::stop);
        self.hold_all();
    }

    /// Asks each session for what its queues may hold now. A method that came by a reload has its queue from here on.
    fn hold_all(&mut self) {
        let (now, most) = (self.clock.now(), self.settings.most_held);
        let hands = self.inbox.desk();
        let in_force = Arc::clone(&hands.in_force.borrow());
        for method in in_force.prepared.catalogue.methods() {
            let queue = format!("{PREFIX}{}", method.name);
            if !hands.queues.contains(&queue) {
                hands.queues.push(queue.clone());
            }
            self.intakes.entry(queue).or_insert_with(|| Intake::new(now, most));
        }
        let slots = self.settings.connections.max(1);
        for up in hands.sessions.values_mut() {
            for queue in hands.queues.iter().skip(up.slot).step_by(slots) {
                let served = in_force.prepared.catalogue.method(queue.trim_start_matches(PREFIX)).is_some();
                let hold = self.intakes.get(queue).filter(|_| served).map_or(0, Intake::prefetch);
                up.session.hold(now, queue, u16::try_from(hold).unwrap_or(u16::MAX));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.inbox.sweep(now);
        let conns: Vec<u64> = self.inbox.desk().sessions.keys().copied().collect();
        for conn in conns {
            self.with_session(conn, |session| session.tick(now));
        }
        self.intakes.values_mut().for_each(|i| {
            i.tick(now);
        });
        self.hold_all();
    }

    fn with_session(&mut self, conn: u64, work: impl FnOnce(&mut Session<Wire>)) {
        if let Some(up) = self.inbox.desk().sessions.get_mut(&conn) {
            work(&mut up.session);
        }
        // One look at a time: what is heard may have the session say more.
        while let Some(heard) =
            self.inbox.desk().sessions.get_mut(&conn).and_then(|up| up.session.host().heard.pop_front())
        {
            self.heard(conn, heard);
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Up(conn, slot, out, talk) => {
                let wire = Wire { out, heard: VecDeque::new() };
                let session = Session::begin(now, wire, self.settings.login.clone());
                self.inbox.desk().sessions.insert(conn, Up { slot, session, talk });
            }
            Event::Frame(conn, frame) => self.with_session(conn, |session| session.frame(now, *frame)),
            Event::Lost(conn, why) => {
                self.with_session(conn, |session| session.lost(&why));
                self.lost(conn);
            }
            Event::Intent(name, no, true) => self.inbox.intent_written(&name, no),
            Event::Intent(name, no, false) => self.inbox.intent_lost(&name, no),
            Event::Unfit(name, why) => self.inbox.refused(now, &name, &format!("unfit: {why}"), true),
            Event::Ended(name, None) => {
                let (why, body) = ("the scheduler ended".to_owned(), Bytes::new());
                self.inbox.answered(&name, Final { end: End::Aborted, why, body });
            }
            Event::Ended(name, Some(Reply::Final { answer, why, body, .. })) => {
                let end = match answer {
                    Answer::Ok => End::Ok,
                    Answer::Denied => End::Denied,
                    Answer::Aborted => End::Aborted,
                };
                let late = end != End::Ok;
                let hands = self.inbox.desk();
                let delivery = hands.latest.get(&name);
                let queue = delivery.and_then(|d| hands.queues.get((d.tag >> QUEUE_BIT) as usize));
                queue.and_then(|q| self.intakes.get_mut(q)).into_iter().for_each(|i| i.answered(late));
                self.inbox.answered(&name, Final { end, why, body });
            }
            Event::Ended(name, Some(Reply::Refused(why))) => {
                let for_good = !matches!(why, Refusal::Full | Refusal::Stopping);
                self.inbox.refused(now, &name, crate::refusal_name(why), for_good);
            }
            Event::Ended(_, Some(Reply::Changed)) => {}
        }
    }

    fn lost(&mut self, conn: u64) {
        let now = self.clock.now();
        let hands = self.inbox.desk();
        if let Some(up) = hands.sessions.remove(&conn) {
            up.talk.abort();
        }
        let gone: Vec<Delivery> = hands.held.keys().filter(|d| d.conn == conn).copied().collect();
        for delivery in gone {
            hands.let_go(delivery);
        }
        self.inbox.conn_lost(now, conn);
    }

    fn heard(&mut self, conn: u64, heard: Heard) {
        let now = self.clock.now();
        match heard {
            Heard::Ready => {
                info!(conn, "the broker is there");
                self.hold_all();
            }
            Heard::Delivered(queue, tag, redelivered, properties, body) => {
                self.delivered(conn, &queue, tag, redelivered, *properties, body);
            }
            Heard::Committed(queue, tags) => {
                let Some(no) = self.inbox.desk().queues.iter().position(|q| *q == queue) else { return };
                for tag in tags {
                    let delivery = Delivery { conn, tag: (no as u64) << QUEUE_BIT | tag };
                    if let Some(Held { name: Some(name), .. }) = self.inbox.desk().let_go(delivery) {
                        self.inbox.settled(&name, delivery);
                    }
                }
            }
            Heard::Returned(to, why, properties, body) => {
                let hands = self.inbox.desk();
                warn!(to, "an answer was returned: {why}");
                let dead = hands.dead_letters.clone();
                let Some(up) = hands.sessions.get_mut(&conn).filter(|_| to != dead) else { return };
                let why = AMQPValue::LongString(why.as_str().into());
                let properties = with_header(&properties, "curlewpoint-why", why);
                // Any channel of the connection that is up will do.
                let put = |queue: &String| {
                    up.session.exchange(now, queue, None, "", &dead, properties.clone(), &body)
                };
                if !hands.queues.iter().any(put) {
                    warn!(to, "it is lost, as no channel is up");
                }
            }
            Heard::Cancelled(queue) => info!(queue, "the broker ended the consumer: asked for again"),
            Heard::Blocked(blocked) => {
                info!(blocked, "the broker takes no answers, or does again");
                self.intakes.values_mut().for_each(|i| i.blocked(blocked));
                self.hold_all();
            }
            Heard::Over(why) => {
                warn!(conn, "the broker's session is over: {why}");
                self.lost(conn);
            }
        }
    }

    fn delivered(
        &mut self, conn: u64, queue: &str, tag: u64, redelivered: bool, properties: AMQPProperties,
        body: Bytes,
    ) {
        let (now, time_left) = (self.clock.now(), self.settings.time_left);
        let hands = self.inbox.desk();
        let Some(no) = hands.queues.iter().position(|q| q == queue) else { return };
        let delivery = Delivery { conn, tag: (no as u64) << QUEUE_BIT | tag };
        let method = queue.trim_start_matches(PREFIX).to_owned();
        let in_force = Arc::clone(&hands.in_force.borrow());
        let known = in_force.prepared.catalogue.method(&method);
        let effect = in_force.prepared.effects.get(&method).copied();
        let (id, reply_to) = (properties.message_id().clone(), properties.reply_to().clone());
        let name = id.zip(reply_to).map(|(id, to)| Name { id: id.to_string(), reply_to: to.to_string() });
        let age = properties.timestamp().and_then(|at| {
            let sent = Time(at.saturating_mul(10_000));
            // A clock that is ahead of this one says nothing.
            wall().0.checked_sub(sent.0).map(Time)
        });
        let expires = properties.expiration().as_ref().and_then(|e| e.as_str().parse::<u64>().ok());
        let given_back = match header(&properties, GIVEN_BACK) {
            Some(AMQPValue::LongInt(n)) => u32::try_from(*n).unwrap_or(0),
            _ => 0,
        };
        let model = text(&properties, "model").filter(|m| !m.is_empty());
        let held = Held { name: name.clone(), method: method.clone(), properties, body };
        hands.held.insert(delivery, held);
        let (Some(name), Some(known), Some(effect), Some(_)) = (name, known, effect, model) else {
            return hands.dead_letter(
                delivery,
                "it has no id, no address for its answer or no model, or no such method",
            );
        };
        hands.latest.insert(name.clone(), delivery);
        let deadline = Time::from_ms(known.deadline);
        let waits = expires.map(|ms| Time(ms.saturating_mul(10))).or(time_left).unwrap_or(deadline);
        let left = (waits - age.unwrap_or(Time(0))).min(deadline);
        let terms = Terms { effect, left, redelivered, age, given_back };
        let open = self.inbox.open() as u64 + 1;
        self.intakes.get_mut(queue).into_iter().for_each(|i| i.delivered(left, open));
        self.inbox.delivered(now, name, delivery, terms);
    }
}
