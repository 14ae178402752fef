use std::collections::BTreeMap;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::basic::{self, AMQPProperties};
use amq_protocol::protocol::{channel, connection, tx, AMQPClass};
use amq_protocol::types::{FieldTable, ShortString};
use bytes::Bytes;
use curlewpoint::types::Time;

use crate::content::ContentAssembler;

/// What a session acts through, and tells.
pub trait SessionDriver {
    fn send(&mut self, frame: AMQPFrame);
    /// What was agreed on; frames from here on go by it.
    fn negotiated(&mut self, frame_max: u32, channel_max: u16);
    /// The connection is open: queues may be consumed.
    fn ready(&mut self);
    fn delivered(
        &mut self, queue: &str, tag: u64, redelivered: bool, properties: AMQPProperties, body: Bytes,
    );
    /// The broker has committed what was published for these deliveries, and their acknowledgements.
    fn committed(&mut self, queue: &str, tags: &[u64]);
    /// Nobody takes what was published there.
    fn returned(&mut self, routing_key: &str, why: &str, properties: AMQPProperties, body: Bytes);
    /// The broker has ended the consumer of this queue; it may be asked for again by `hold`.
    fn cancelled(&mut self, queue: &str);
    /// The broker takes nothing that is published, or takes it again.
    fn blocked(&mut self, blocked: bool);
    /// The session is over: deliveries that were not committed come again, here or elsewhere.
    fn closed(&mut self, why: &str);
}

/// How to log in, and what to agree on at most.
#[derive(Clone, Debug)]
pub struct Login {
    pub user: String,
    pub password: String,
    pub vhost: String,
    /// Nought: no heartbeats.
    pub heartbeat: Time,
    pub frame_max: u32,
    /// A message longer than this ends the session.
    pub max_body: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for Start, Tune, OpenOk.
    Greeted,
    Started,
    Tuned,
    Open,
    Over,
}

/// One queue, on a channel of its own.
#[derive(Debug)]
struct Line {
    queue: String,
    /// The broker has opened the channel and made it one of transactions.
    up: bool,
    /// A consumer is asked for or there.
    consuming: bool,
    hold: u16,
    /// Published and acknowledged since the last commit, and those that wait for the word of one.
    open: Vec<u64>,
    dirty: bool,
    committing: Option<Vec<u64>>,
}

/// One connection to a broker, from its greeting to its end. Each queue has a channel of its own, which is one of
/// transactions: what is published for a delivery and the delivery's acknowledgement are committed together, many at a time.
///
/// Guards against all that a broker may do: close, cancel, block, fall silent, answer what was not asked. A session that is
/// over is never mended: a new one begins, as the broker gives back what it had delivered on the old one. It harms where a
/// broker ends single channels often: all queues of the connection then begin anew.
pub struct Session<D> {
    driver: D,
    login: Login,
    stage: Stage,
    lines: BTreeMap<u16, Line>,
    content_assembler: ContentAssembler<Carrier>,
    heard: Time,
    said: Time,
    beat: Time,
    frame_max: u32,
}

/// A method that carries content.
enum Carrier {
    Deliver(u64, bool),
    Return(basic::Return),
}

/// Names on the wire hold 255 bytes. A longer one names nothing: what is published there is returned.
fn short(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}

/// A reason, as far as there is room for it.
fn reason(text: &str) -> ShortString {
    short(text.get(..250).unwrap_or(text))
}

impl<D: SessionDriver> Session<D> {
    pub fn start(now: Time, driver: D, login: Login) -> Session<D> {
        let content_assembler = ContentAssembler::new(login.max_body);
        let mut session = Session {
            driver,
            login,
            stage: Stage::Greeted,
            lines: BTreeMap::new(),
            content_assembler,
            heard: now,
            said: now,
            beat: Time(0),
            frame_max: crate::MIN_FRAME_SIZE,
        };
        session.send(now, AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()));
        session
    }

    pub fn driver(&mut self) -> &mut D {
        &mut self.driver
    }

    pub fn is_closed(&self) -> bool {
        self.stage == Stage::Over
    }

    fn send(&mut self, now: Time, frame: AMQPFrame) {
        self.said = now;
        self.driver.send(frame);
    }

    fn connection(&mut self, now: Time, method: connection::AMQPMethod) {
        self.send(now, AMQPFrame::Method(0, AMQPClass::Connection(method)));
    }

    fn basic(&mut self, now: Time, no: u16, method: basic::AMQPMethod) {
        self.send(now, AMQPFrame::Method(no, AMQPClass::Basic(method)));
    }

    fn end(&mut self, why: &str) {
        if self.stage != Stage::Over {
            self.stage = Stage::Over;
            self.lines.clear();
            self.driver.closed(why);
        }
    }

    /// The peer broke the rules of the protocol: it is told, and the session is over.
    fn fault(&mut self, now: Time, code: u16, why: &str) {
        let (reply_text, class_id, method_id) = (reason(why), 0, 0);
        let close = connection::Close { reply_code: code, reply_text, class_id, method_id };
        self.connection(now, connection::AMQPMethod::Close(close));
        self.end(why);
    }

    /// Holds up to so many messages of a queue, from here on; nought: none more come, those that are here stay.
    pub fn set_prefetch(&mut self, now: Time, queue: &str, most: u16) {
        if self.stage != Stage::Open {
            return;
        }
        let known = self.lines.iter().find(|(_, l)| l.queue == queue).map(|(no, _)| *no);
        let Some(no) = known else {
            let no = self.lines.len() as u16 + 1;
            let (queue, open) = (queue.to_owned(), Vec::new());
            let (up, consuming, dirty, committing) = (false, false, false, None);
            let line = Line { queue, up, consuming, hold: most, open, dirty, committing };
            self.lines.insert(no, line);
            return self.send(
                now,
                AMQPFrame::Method(no, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {}))),
            );
        };
        let Some(line) = self.lines.get_mut(&no) else { return };
        if line.hold == most && line.consuming == (most > 0) {
            return;
        }
        line.hold = most;
        if line.up {
            self.consume(now, no);
        }
    }

    fn consume(&mut self, now: Time, no: u16) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        let (hold, consuming, queue) = (line.hold, line.consuming, line.queue.clone());
        line.consuming = hold > 0;
        let consumer_tag: ShortString = "curlewpoint".into();
        if hold == 0 {
            if consuming {
                let cancel = basic::Cancel { consumer_tag, nowait: true };
                self.basic(now, no, basic::AMQPMethod::Cancel(cancel));
            }
            return;
        }
        // For the channel as a whole, so that it holds for a consumer that is there already.
        let qos = basic::Qos { prefetch_count: hold, global: true };
        self.basic(now, no, basic::AMQPMethod::Qos(qos));
        if !consuming {
            let (no_local, no_ack, exclusive, nowait) = (false, false, false, false);
            let (queue, arguments) = (short(&queue), FieldTable::default());
            let consume =
                basic::Consume { queue, consumer_tag, no_local, no_ack, exclusive, nowait, arguments };
            self.basic(now, no, basic::AMQPMethod::Consume(consume));
        }
    }

    /// Publishes something and acknowledges a delivery, if there is one, in one transaction; `committed` follows, or the
    /// session ends. False: its queue's channel is not up yet, and nothing was done.
    pub fn publish_and_ack(
        &mut self, now: Time, queue: &str, tag: Option<u64>, exchange: &str, routing_key: &str,
        properties: AMQPProperties, body: &[u8],
    ) -> bool {
        let Some(no) = self.channel_of(queue) else { return false };
        let (exchange, routing_key) = (short(exchange), short(routing_key));
        let publish = basic::Publish { exchange, routing_key, mandatory: true, immediate: false };
        self.basic(now, no, basic::AMQPMethod::Publish(publish));
        let header = AMQPContentHeader { class_id: 60, body_size: body.len() as u64, properties };
        self.send(now, AMQPFrame::Header(no, header));
        for part in body.chunks(self.frame_max as usize - 8) {
            self.send(now, AMQPFrame::Body(no, part.to_vec()));
        }
        self.ack_on(now, no, tag);
        true
    }

    /// Acknowledges a delivery for which nothing is published; `committed` follows.
    pub fn ack(&mut self, now: Time, queue: &str, tag: u64) {
        if let Some(no) = self.channel_of(queue) {
            self.ack_on(now, no, Some(tag));
        }
    }

    fn channel_of(&self, queue: &str) -> Option<u16> {
        self.lines.iter().find(|(_, l)| l.queue == queue && l.up).map(|(no, _)| *no)
    }

    fn ack_on(&mut self, now: Time, no: u16, tag: Option<u64>) {
        if let Some(delivery_tag) = tag {
            self.basic(now, no, basic::AMQPMethod::Ack(basic::Ack { delivery_tag, multiple: false }));
        }
        if let Some(line) = self.lines.get_mut(&no) {
            line.open.extend(tag);
            line.dirty = true;
        }
        self.commit(now, no);
    }

    /// One commit at a time: what comes meanwhile goes with the next.
    fn commit(&mut self, now: Time, no: u16) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        if line.committing.is_none() && std::mem::take(&mut line.dirty) {
            line.committing = Some(std::mem::take(&mut line.open));
            self.send(now, AMQPFrame::Method(no, AMQPClass::Tx(tx::AMQPMethod::Commit(tx::Commit {}))));
        }
    }

    /// Ends in order.
    pub fn close(&mut self, now: Time) {
        if self.stage == Stage::Open {
            self.fault(now, 200, "closed in order");
        }
    }

    /// The connection has ended, or what came on it could not be read.
    pub fn connection_lost(&mut self, why: &str) {
        self.end(why);
    }

    /// Time has passed: heartbeats are sent, and their absence is noted.
    pub fn tick(&mut self, now: Time) {
        if self.stage == Stage::Over || self.beat == Time(0) {
            return;
        }
        // The specification: a peer that is silent for two intervals is gone.
        if self.heard + self.beat + self.beat <= now {
            return self.end("the broker has fallen silent");
        }
        if self.said + Time(self.beat.0 / 2) <= now {
            self.send(now, AMQPFrame::Heartbeat);
        }
    }

    /// A frame has come.
    pub fn handle_frame(&mut self, now: Time, frame: AMQPFrame) {
        self.heard = now;
        if self.stage == Stage::Over {
            return;
        }
        let put = match frame {
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => return self.of_connection(now, method),
            AMQPFrame::Method(no, method) if self.stage == Stage::Open => {
                return self.of_channel(now, no, method)
            }
            AMQPFrame::Header(no, header) => {
                self.content_assembler.header(no, header).map(|whole| (no, whole))
            }
            AMQPFrame::Body(no, data) => self.content_assembler.body(no, &data).map(|whole| (no, whole)),
            AMQPFrame::Heartbeat => return,
            _ => return self.fault(now, 503, "a frame that has no place here"),
        };
        match put {
            Err(e) => self.fault(now, 505, &e.to_string()),
            Ok((_, None)) => {}
            Ok((no, Some(whole))) => match whole.method {
                Carrier::Deliver(tag, redelivered) => {
                    let Some(line) = self.lines.get(&no) else { return };
                    self.driver.delivered(&line.queue, tag, redelivered, whole.properties, whole.body);
                }
                Carrier::Return(r) => {
                    let (key, why) = (r.routing_key.to_string(), r.reply_text.to_string());
                    self.driver.returned(&key, &why, whole.properties, whole.body);
                }
            },
        }
    }

    fn of_connection(&mut self, now: Time, method: connection::AMQPMethod) {
        use connection::AMQPMethod::*;
        match (self.stage, method) {
            (Stage::Greeted, Start(start)) => {
                let known = start.mechanisms.to_string();
                if !known.split(' ').any(|m| m == "PLAIN") {
                    return self.end(&format!("the broker takes no PLAIN login: {known}"));
                }
                self.stage = Stage::Started;
                // What a client says that it can bear.
                let mut can = FieldTable::default();
                for word in ["connection.blocked", "consumer_cancel_notify"] {
                    can.insert(word.into(), amq_protocol::types::AMQPValue::Boolean(true));
                }
                let mut client_properties = FieldTable::default();
                client_properties.insert(
                    "product".into(),
                    amq_protocol::types::AMQPValue::LongString("curlewpoint".into()),
                );
                client_properties
                    .insert("capabilities".into(), amq_protocol::types::AMQPValue::FieldTable(can));
                let response = format!("\0{}\0{}", self.login.user, self.login.password).into();
                let (mechanism, locale) = ("PLAIN".into(), "en_US".into());
                let ok = connection::StartOk { client_properties, mechanism, response, locale };
                self.connection(now, StartOk(ok));
            }
            (Stage::Started, Tune(tune)) => {
                self.stage = Stage::Tuned;
                let least = |theirs: u32, ours: u32| if theirs == 0 { ours } else { theirs.min(ours) };
                let frame_max = least(tune.frame_max, self.login.frame_max).max(crate::MIN_FRAME_SIZE);
                let channel_max = least(u32::from(tune.channel_max), 2047) as u16;
                let ours = self.login.heartbeat.0.div_ceil(10_000) as u32;
                // Nought on either side: no heartbeats are wanted there, and the other's are kept.
                let heartbeat = if ours == 0 { 0 } else { least(u32::from(tune.heartbeat), ours) as u16 };
                (self.frame_max, self.beat) = (frame_max, Time(u64::from(heartbeat) * 10_000));
                self.driver.negotiated(frame_max, channel_max);
                self.connection(now, TuneOk(connection::TuneOk { channel_max, frame_max, heartbeat }));
                let virtual_host = short(&self.login.vhost);
                self.connection(now, Open(connection::Open { virtual_host }));
            }
            (Stage::Tuned, OpenOk(_)) => {
                self.stage = Stage::Open;
                self.driver.ready();
            }
            (_, Close(close)) => {
                self.connection(now, CloseOk(connection::CloseOk {}));
                self.end(&format!("the broker closed: {} {}", close.reply_code, close.reply_text));
            }
            (Stage::Open, Blocked(_)) => self.driver.blocked(true),
            (Stage::Open, Unblocked(_)) => self.driver.blocked(false),
            _ => self.fault(now, 503, "a method of the connection that has no place here"),
        }
    }

    fn of_channel(&mut self, now: Time, no: u16, method: AMQPClass) {
        use basic::AMQPMethod::*;
        let Some(line) = self.lines.get_mut(&no) else {
            return self.fault(now, 504, "a channel that was not opened");
        };
        let carried = match method {
            AMQPClass::Basic(Deliver(d)) => Some(Carrier::Deliver(d.delivery_tag, d.redelivered)),
            AMQPClass::Basic(Return(r)) => Some(Carrier::Return(r)),
            AMQPClass::Channel(channel::AMQPMethod::OpenOk(_)) => {
                self.send(now, AMQPFrame::Method(no, AMQPClass::Tx(tx::AMQPMethod::Select(tx::Select {}))));
                None
            }
            AMQPClass::Tx(tx::AMQPMethod::SelectOk(_)) => {
                line.up = true;
                if line.hold > 0 {
                    self.consume(now, no);
                }
                None
            }
            AMQPClass::Tx(tx::AMQPMethod::CommitOk(_)) => {
                let Some(tags) = line.committing.take() else {
                    return self.fault(now, 503, "the word for a commit that was not asked for");
                };
                let queue = line.queue.clone();
                self.commit(now, no);
                self.driver.committed(&queue, &tags);
                None
            }
            AMQPClass::Basic(Cancel(cancel)) => {
                line.consuming = false;
                line.hold = 0;
                self.driver.cancelled(&line.queue);
                if !cancel.nowait {
                    let consumer_tag = cancel.consumer_tag;
                    self.basic(now, no, CancelOk(basic::CancelOk { consumer_tag }));
                }
                None
            }
            AMQPClass::Channel(channel::AMQPMethod::Close(close)) => {
                let what =
                    format!("the broker closed {}: {} {}", line.queue, close.reply_code, close.reply_text);
                return self.fault(now, 200, &what);
            }
            AMQPClass::Channel(channel::AMQPMethod::Flow(flow)) => {
                let ok = channel::FlowOk { active: flow.active };
                self.send(now, AMQPFrame::Method(no, AMQPClass::Channel(channel::AMQPMethod::FlowOk(ok))));
                self.driver.blocked(!flow.active);
                None
            }
            AMQPClass::Basic(QosOk(_) | ConsumeOk(_) | CancelOk(_)) => None,
            _ => return self.fault(now, 503, "a method of a channel that has no place here"),
        };
        let placed = match carried {
            Some(carrier) => self.content_assembler.start(no, carrier),
            None => self.content_assembler.check_idle(no),
        };
        if let Err(e) = placed {
            self.fault(now, 505, &e.to_string());
        }
    }
}
