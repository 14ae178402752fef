use std::collections::BTreeMap;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::basic::{self, AMQPProperties};
use amq_protocol::protocol::{channel, connection, tx, AMQPClass};
use amq_protocol::types::{FieldTable, ShortString};
use bytes::Bytes;
use curlewpoint::types::Time;

use crate::content::ContentAssembler;

/// Sends the frames of a session and receives its events.
pub trait SessionDriver {
    fn send(&mut self, frame: AMQPFrame);
    /// The limits are negotiated and apply to all frames from now on.
    fn negotiated(&mut self, frame_max: u32, channel_max: u16);
    /// The connection is open, and queues may be consumed.
    fn ready(&mut self);
    fn delivered(
        &mut self, queue: &str, tag: u64, redelivered: bool, properties: AMQPProperties, body: Bytes,
    );
    /// The broker has committed the messages published for these deliveries, and their acknowledgements.
    fn committed(&mut self, queue: &str, tags: &[u64]);
    /// The broker has returned a message because no queue has this routing key.
    fn returned(&mut self, routing_key: &str, reason: &str, properties: AMQPProperties, body: Bytes);
    /// The broker has cancelled the consumer of this queue. `Session::set_prefetch` starts it again.
    fn cancelled(&mut self, queue: &str);
    /// The broker has blocked or unblocked publishing.
    fn blocked(&mut self, blocked: bool);
    /// The session is closed. Deliveries that were not committed are redelivered, here or elsewhere.
    fn closed(&mut self, reason: &str);
}

/// Credentials, and the limits to negotiate.
#[derive(Clone, Debug)]
pub struct Login {
    pub user: String,
    pub password: String,
    pub vhost: String,
    /// Heartbeat interval; zero disables heartbeats.
    pub heartbeat: Time,
    pub frame_max: u32,
    /// Maximum size of a message in bytes. A longer one closes the session.
    pub max_body: u64,
}

/// State of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Waits for Start.
    HeaderSent,
    /// Waits for Tune.
    StartOkSent,
    /// Waits for OpenOk.
    OpenSent,
    Open,
    Closed,
}

/// A consumed queue and its channel.
#[derive(Debug)]
struct QueueChannel {
    queue: String,
    /// The broker has opened the channel and enabled transactions on it.
    is_ready: bool,
    /// A consumer was requested or exists.
    consuming: bool,
    prefetch: u16,
    /// Deliveries acknowledged since the last commit was sent.
    uncommitted: Vec<u64>,
    /// Whether anything was published or acknowledged since the last commit was sent.
    needs_commit: bool,
    /// Deliveries of the commit that the broker has not confirmed yet.
    committing: Option<Vec<u64>>,
}

/// One connection to a broker, from the protocol header to its end. Each queue has its own channel in transaction mode: the
/// message published for a delivery and the acknowledgement of the delivery are committed together, many at a time.
///
/// Handles a broker that closes, cancels, blocks, falls silent or sends unexpected methods. A closed session is never
/// reopened: a new session starts, as the broker requeues what it had delivered on the old one. The cost: if a broker
/// closes a single channel, all queues of the connection are restarted.
pub struct Session<D> {
    driver: D,
    login: Login,
    state: ConnectionState,
    channels: BTreeMap<u16, QueueChannel>,
    assembler: ContentAssembler<ContentMethod>,
    last_received: Time,
    last_sent: Time,
    /// The negotiated heartbeat interval; zero for none.
    heartbeat: Time,
    frame_max: u32,
}

/// A method with content.
enum ContentMethod {
    Deliver(u64, bool),
    Return(basic::Return),
}

/// Converts to a string of the protocol, which holds at most 255 bytes. A longer name becomes empty, and a message published
/// to it is returned.
fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}

/// Converts a reason to a string of the protocol, truncated to 250 bytes where that is a character boundary.
fn truncated(text: &str) -> ShortString {
    short_string(text.get(..250).unwrap_or(text))
}

impl<D: SessionDriver> Session<D> {
    pub fn start(now: Time, driver: D, login: Login) -> Session<D> {
        let assembler = ContentAssembler::new(login.max_body);
        let mut session = Session {
            driver,
            login,
            state: ConnectionState::HeaderSent,
            channels: BTreeMap::new(),
            assembler,
            last_received: now,
            last_sent: now,
            heartbeat: Time(0),
            frame_max: crate::MIN_FRAME_SIZE,
        };
        session.send(now, AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()));
        session
    }

    pub fn driver(&mut self) -> &mut D {
        &mut self.driver
    }

    pub fn is_closed(&self) -> bool {
        self.state == ConnectionState::Closed
    }

    fn send(&mut self, now: Time, frame: AMQPFrame) {
        self.last_sent = now;
        self.driver.send(frame);
    }

    fn connection(&mut self, now: Time, method: connection::AMQPMethod) {
        self.send(now, AMQPFrame::Method(0, AMQPClass::Connection(method)));
    }

    fn basic(&mut self, now: Time, channel_id: u16, method: basic::AMQPMethod) {
        self.send(now, AMQPFrame::Method(channel_id, AMQPClass::Basic(method)));
    }

    fn finish(&mut self, reason: &str) {
        if self.state != ConnectionState::Closed {
            self.state = ConnectionState::Closed;
            self.channels.clear();
            self.driver.closed(reason);
        }
    }

    /// Closes the connection with an error code, and the session.
    fn close_with(&mut self, now: Time, code: u16, reason: &str) {
        let (reply_text, class_id, method_id) = (truncated(reason), 0, 0);
        let close = connection::Close { reply_code: code, reply_text, class_id, method_id };
        self.connection(now, connection::AMQPMethod::Close(close));
        self.finish(reason);
    }

    /// Sets the maximum number of unacknowledged messages of a queue, and consumes it on first use. Zero cancels the consumer;
    /// messages already delivered stay.
    pub fn set_prefetch(&mut self, now: Time, queue: &str, prefetch: u16) {
        if self.state != ConnectionState::Open {
            return;
        }
        let existing =
            self.channels.iter().find(|(_, c)| c.queue == queue).map(|(channel_id, _)| *channel_id);
        let Some(channel_id) = existing else {
            let channel_id = self.channels.len() as u16 + 1;
            let (queue, uncommitted) = (queue.to_owned(), Vec::new());
            let (is_ready, consuming, needs_commit, committing) = (false, false, false, None);
            let channel =
                QueueChannel { queue, is_ready, consuming, prefetch, uncommitted, needs_commit, committing };
            self.channels.insert(channel_id, channel);
            return self.send(
                now,
                AMQPFrame::Method(
                    channel_id,
                    AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {})),
                ),
            );
        };
        let Some(channel) = self.channels.get_mut(&channel_id) else { return };
        if channel.prefetch == prefetch && channel.consuming == (prefetch > 0) {
            return;
        }
        channel.prefetch = prefetch;
        if channel.is_ready {
            self.consume(now, channel_id);
        }
    }

    fn consume(&mut self, now: Time, channel_id: u16) {
        let Some(channel) = self.channels.get_mut(&channel_id) else { return };
        let (prefetch, consuming, queue) = (channel.prefetch, channel.consuming, channel.queue.clone());
        channel.consuming = prefetch > 0;
        let consumer_tag: ShortString = "curlewpoint".into();
        if prefetch == 0 {
            if consuming {
                let cancel = basic::Cancel { consumer_tag, nowait: true };
                self.basic(now, channel_id, basic::AMQPMethod::Cancel(cancel));
            }
            return;
        }
        // For the whole channel, so that it also applies to an existing consumer.
        let qos = basic::Qos { prefetch_count: prefetch, global: true };
        self.basic(now, channel_id, basic::AMQPMethod::Qos(qos));
        if !consuming {
            let (no_local, no_ack, exclusive, nowait) = (false, false, false, false);
            let (queue, arguments) = (short_string(&queue), FieldTable::default());
            let consume =
                basic::Consume { queue, consumer_tag, no_local, no_ack, exclusive, nowait, arguments };
            self.basic(now, channel_id, basic::AMQPMethod::Consume(consume));
        }
    }

    /// Publishes a message and acknowledges the delivery `tag`, if any, in one transaction. `committed` follows, or the session
    /// is closed. Returns false if the channel of the queue is not open yet; nothing was done then.
    pub fn publish_and_ack(
        &mut self, now: Time, queue: &str, tag: Option<u64>, exchange: &str, routing_key: &str,
        properties: AMQPProperties, body: &[u8],
    ) -> bool {
        let Some(channel_id) = self.channel_of(queue) else { return false };
        let (exchange, routing_key) = (short_string(exchange), short_string(routing_key));
        let publish = basic::Publish { exchange, routing_key, mandatory: true, immediate: false };
        self.basic(now, channel_id, basic::AMQPMethod::Publish(publish));
        let header = AMQPContentHeader { class_id: 60, body_size: body.len() as u64, properties };
        self.send(now, AMQPFrame::Header(channel_id, header));
        for chunk in body.chunks(self.frame_max as usize - 8) {
            self.send(now, AMQPFrame::Body(channel_id, chunk.to_vec()));
        }
        self.ack_on(now, channel_id, tag);
        true
    }

    /// Acknowledges a delivery without publishing anything. `committed` follows.
    pub fn ack(&mut self, now: Time, queue: &str, tag: u64) {
        if let Some(channel_id) = self.channel_of(queue) {
            self.ack_on(now, channel_id, Some(tag));
        }
    }

    fn channel_of(&self, queue: &str) -> Option<u16> {
        self.channels.iter().find(|(_, c)| c.queue == queue && c.is_ready).map(|(channel_id, _)| *channel_id)
    }

    fn ack_on(&mut self, now: Time, channel_id: u16, tag: Option<u64>) {
        if let Some(delivery_tag) = tag {
            self.basic(now, channel_id, basic::AMQPMethod::Ack(basic::Ack { delivery_tag, multiple: false }));
        }
        if let Some(channel) = self.channels.get_mut(&channel_id) {
            channel.uncommitted.extend(tag);
            channel.needs_commit = true;
        }
        self.commit(now, channel_id);
    }

    /// Sends one commit at a time. Operations in the meantime are part of the next one.
    fn commit(&mut self, now: Time, channel_id: u16) {
        let Some(channel) = self.channels.get_mut(&channel_id) else { return };
        if channel.committing.is_none() && std::mem::take(&mut channel.needs_commit) {
            channel.committing = Some(std::mem::take(&mut channel.uncommitted));
            self.send(
                now,
                AMQPFrame::Method(channel_id, AMQPClass::Tx(tx::AMQPMethod::Commit(tx::Commit {}))),
            );
        }
    }

    /// Closes the session normally.
    pub fn close(&mut self, now: Time) {
        if self.state == ConnectionState::Open {
            self.close_with(now, 200, "closed in order");
        }
    }

    /// The connection has ended, or a frame could not be read.
    pub fn connection_lost(&mut self, reason: &str) {
        self.finish(reason);
    }

    /// Sends heartbeats, and closes the session if those of the broker are missing.
    pub fn tick(&mut self, now: Time) {
        if self.state == ConnectionState::Closed || self.heartbeat == Time(0) {
            return;
        }
        // According to the specification, a peer is considered lost after two intervals of silence.
        if self.last_received + self.heartbeat + self.heartbeat <= now {
            return self.finish("the broker has fallen silent");
        }
        if self.last_sent + Time(self.heartbeat.0 / 2) <= now {
            self.send(now, AMQPFrame::Heartbeat);
        }
    }

    /// Handles a received frame.
    pub fn handle_frame(&mut self, now: Time, frame: AMQPFrame) {
        self.last_received = now;
        if self.state == ConnectionState::Closed {
            return;
        }
        let result = match frame {
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => {
                return self.handle_connection_method(now, method)
            }
            AMQPFrame::Method(channel_id, method) if self.state == ConnectionState::Open => {
                return self.handle_channel_method(now, channel_id, method)
            }
            AMQPFrame::Header(channel_id, header) => {
                self.assembler.header(channel_id, header).map(|content| (channel_id, content))
            }
            AMQPFrame::Body(channel_id, data) => {
                self.assembler.body(channel_id, &data).map(|content| (channel_id, content))
            }
            AMQPFrame::Heartbeat => return,
            _ => return self.close_with(now, 503, "a frame that has no place here"),
        };
        match result {
            Err(e) => self.close_with(now, 505, &e.to_string()),
            Ok((_, None)) => {}
            Ok((channel_id, Some(content))) => match content.method {
                ContentMethod::Deliver(tag, redelivered) => {
                    let Some(channel) = self.channels.get(&channel_id) else { return };
                    self.driver.delivered(&channel.queue, tag, redelivered, content.properties, content.body);
                }
                ContentMethod::Return(r) => {
                    let (key, reason) = (r.routing_key.to_string(), r.reply_text.to_string());
                    self.driver.returned(&key, &reason, content.properties, content.body);
                }
            },
        }
    }

    fn handle_connection_method(&mut self, now: Time, method: connection::AMQPMethod) {
        use connection::AMQPMethod::*;
        match (self.state, method) {
            (ConnectionState::HeaderSent, Start(start)) => {
                let mechanisms = start.mechanisms.to_string();
                if !mechanisms.split(' ').any(|m| m == "PLAIN") {
                    return self.finish(&format!("the broker takes no PLAIN login: {mechanisms}"));
                }
                self.state = ConnectionState::StartOkSent;
                // Capabilities of the client.
                let mut capabilities = FieldTable::default();
                for capability in ["connection.blocked", "consumer_cancel_notify"] {
                    capabilities.insert(capability.into(), amq_protocol::types::AMQPValue::Boolean(true));
                }
                let mut client_properties = FieldTable::default();
                client_properties.insert(
                    "product".into(),
                    amq_protocol::types::AMQPValue::LongString("curlewpoint".into()),
                );
                client_properties
                    .insert("capabilities".into(), amq_protocol::types::AMQPValue::FieldTable(capabilities));
                let response = format!("\0{}\0{}", self.login.user, self.login.password).into();
                let (mechanism, locale) = ("PLAIN".into(), "en_US".into());
                let ok = connection::StartOk { client_properties, mechanism, response, locale };
                self.connection(now, StartOk(ok));
            }
            (ConnectionState::StartOkSent, Tune(tune)) => {
                self.state = ConnectionState::OpenSent;
                let negotiate = |theirs: u32, ours: u32| if theirs == 0 { ours } else { theirs.min(ours) };
                let frame_max = negotiate(tune.frame_max, self.login.frame_max).max(crate::MIN_FRAME_SIZE);
                let channel_max = negotiate(u32::from(tune.channel_max), 2047) as u16;
                let ours = self.login.heartbeat.0.div_ceil(10_000) as u32;
                // Zero on our side disables heartbeats; zero on the broker's side leaves our interval.
                let heartbeat = if ours == 0 { 0 } else { negotiate(u32::from(tune.heartbeat), ours) as u16 };
                (self.frame_max, self.heartbeat) = (frame_max, Time(u64::from(heartbeat) * 10_000));
                self.driver.negotiated(frame_max, channel_max);
                self.connection(now, TuneOk(connection::TuneOk { channel_max, frame_max, heartbeat }));
                let virtual_host = short_string(&self.login.vhost);
                self.connection(now, Open(connection::Open { virtual_host }));
            }
            (ConnectionState::OpenSent, OpenOk(_)) => {
                self.state = ConnectionState::Open;
                self.driver.ready();
            }
            (_, Close(close)) => {
                self.connection(now, CloseOk(connection::CloseOk {}));
                self.finish(&format!("the broker closed: {} {}", close.reply_code, close.reply_text));
            }
            (ConnectionState::Open, Blocked(_)) => self.driver.blocked(true),
            (ConnectionState::Open, Unblocked(_)) => self.driver.blocked(false),
            _ => self.close_with(now, 503, "a method of the connection that has no place here"),
        }
    }

    fn handle_channel_method(&mut self, now: Time, channel_id: u16, method: AMQPClass) {
        use basic::AMQPMethod::*;
        let Some(channel) = self.channels.get_mut(&channel_id) else {
            return self.close_with(now, 504, "a channel that was not opened");
        };
        let content_method = match method {
            AMQPClass::Basic(Deliver(d)) => Some(ContentMethod::Deliver(d.delivery_tag, d.redelivered)),
            AMQPClass::Basic(Return(r)) => Some(ContentMethod::Return(r)),
            AMQPClass::Channel(channel::AMQPMethod::OpenOk(_)) => {
                self.send(
                    now,
                    AMQPFrame::Method(channel_id, AMQPClass::Tx(tx::AMQPMethod::Select(tx::Select {}))),
                );
                None
            }
            AMQPClass::Tx(tx::AMQPMethod::SelectOk(_)) => {
                channel.is_ready = true;
                if channel.prefetch > 0 {
                    self.consume(now, channel_id);
                }
                None
            }
            AMQPClass::Tx(tx::AMQPMethod::CommitOk(_)) => {
                let Some(tags) = channel.committing.take() else {
                    return self.close_with(now, 503, "the word for a commit that was not asked for");
                };
                let queue = channel.queue.clone();
                self.commit(now, channel_id);
                self.driver.committed(&queue, &tags);
                None
            }
            AMQPClass::Basic(Cancel(cancel)) => {
                channel.consuming = false;
                channel.prefetch = 0;
                self.driver.cancelled(&channel.queue);
                if !cancel.nowait {
                    let consumer_tag = cancel.consumer_tag;
                    self.basic(now, channel_id, CancelOk(basic::CancelOk { consumer_tag }));
                }
                None
            }
            AMQPClass::Channel(channel::AMQPMethod::Close(close)) => {
                let reason =
                    format!("the broker closed {}: {} {}", channel.queue, close.reply_code, close.reply_text);
                return self.close_with(now, 200, &reason);
            }
            AMQPClass::Channel(channel::AMQPMethod::Flow(flow)) => {
                let ok = channel::FlowOk { active: flow.active };
                self.send(
                    now,
                    AMQPFrame::Method(channel_id, AMQPClass::Channel(channel::AMQPMethod::FlowOk(ok))),
                );
                self.driver.blocked(!flow.active);
                None
            }
            AMQPClass::Basic(QosOk(_) | ConsumeOk(_) | CancelOk(_)) => None,
            _ => return self.close_with(now, 503, "a method of a channel that has no place here"),
        };
        let checked = match content_method {
            Some(method) => self.assembler.start(channel_id, method),
            None => self.assembler.check_idle(channel_id),
        };
        if let Err(e) = checked {
            self.close_with(now, 505, &e.to_string());
        }
    }
}
