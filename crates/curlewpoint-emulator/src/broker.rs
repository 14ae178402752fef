use std::collections::{BTreeMap, VecDeque};

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::{self, AMQPProperties};
use amq_protocol::protocol::{channel, confirm, connection, exchange, queue, tx, AMQPClass};
use amq_protocol::types::{AMQPValue, FieldTable};
use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_amqp::ContentAssembler;

/// Output of the broker model: frames to clients and connection control.
pub trait BrokerDriver {
    fn send(&mut self, conn: u64, frame: AMQPFrame);
    /// The client has confirmed the frame and channel limits (Tune-Ok).
    fn agreed(&mut self, conn: u64, frame_max: u32, channel_max: u16);
    fn close(&mut self, conn: u64);
}

/// Faults that a broker injects.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BrokerFaults {
    /// Redelivered messages do not carry the redelivered flag.
    pub omits_redelivered: bool,
    /// Commits are applied, but Commit-Ok is not sent.
    pub omits_commit_ok: bool,
    /// Publisher confirms lost out of every ten.
    pub lost_confirms_per_ten: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub exchange: String,
    pub routing_key: String,
    pub properties: AMQPProperties,
    pub body: Bytes,
    /// Time of arrival in the queue.
    pub queued_at: Time,
    redelivered: bool,
    /// The message expires at this time unless it is delivered before.
    expires_at: Option<Time>,
    /// Order of arrival at the broker.
    seq: u64,
}

/// Queue arguments that the model supports.
#[derive(Clone, Debug, Default)]
struct QueueArguments {
    ttl: Option<Time>,
    dead_letters: Option<(String, Option<String>)>,
    priorities: u8,
}

#[derive(Default)]
struct Queue {
    arguments: QueueArguments,
    ready: VecDeque<Message>,
    /// Connection, channel and tag of each consumer, in round-robin order.
    consumers: VecDeque<(u64, u16, String)>,
}

struct Consumer {
    queue: String,
    no_ack: bool,
}

enum ContentMethod {
    Publish(basic::Publish),
}

/// An operation that a transaction defers until its commit.
enum TxOperation {
    Publish(basic::Publish, Box<AMQPProperties>, Bytes),
    Ack(u64, bool),
    Reject(u64, bool, bool),
}

#[derive(Default)]
struct Channel {
    consumers: BTreeMap<String, Consumer>,
    /// Queue and message of each unacknowledged delivery, by delivery tag.
    unacked: BTreeMap<u64, (String, Message)>,
    next_tag: u64,
    prefetch: u16,
    tx: Option<Vec<TxOperation>>,
    confirms: Option<u64>,
}

struct Conn {
    channels: BTreeMap<u16, Channel>,
    contents: ContentAssembler<ContentMethod>,
    frame_max: u32,
    open: bool,
}

/// An AMQP 0-9-1 broker with the features that triggers use: direct and fanout exchanges, queues with expiry, dead
/// lettering and priorities, consumers with prefetch, transactions, publisher confirms, returned messages and
/// `connection.blocked`. It does no I/O: each call passes the time and a client's input.
pub struct Broker<L> {
    driver: L,
    exchanges: BTreeMap<String, (String, Vec<(String, String)>)>,
    queues: BTreeMap<String, Queue>,
    conns: BTreeMap<u64, Conn>,
    blocked: bool,
    next_seq: u64,
    confirm_count: u64,
    pub faults: BrokerFaults,
    now: Time,
}

const MAX_BODY_BYTES: u64 = 64 << 20;

impl QueueArguments {
    fn from_table(table: &FieldTable) -> QueueArguments {
        let text = |name: &str| match table.inner().get(name) {
            Some(AMQPValue::LongString(s)) => Some(s.to_string()),
            _ => None,
        };
        let number = |name: &str| match table.inner().get(name)? {
            AMQPValue::LongInt(n) => u64::try_from(*n).ok(),
            AMQPValue::LongUInt(n) => Some(u64::from(*n)),
            AMQPValue::LongLongInt(n) => u64::try_from(*n).ok(),
            AMQPValue::ShortInt(n) => u64::try_from(*n).ok(),
            AMQPValue::ShortShortUInt(n) => Some(u64::from(*n)),
            _ => None,
        };
        QueueArguments {
            ttl: number("x-message-ttl").map(|ms| Time(ms * 10)),
            dead_letters: text("x-dead-letter-exchange").map(|to| (to, text("x-dead-letter-routing-key"))),
            priorities: number("x-max-priority").map_or(0, |n| n.min(255) as u8),
        }
    }
}

impl<L: BrokerDriver> Broker<L> {
    pub fn new(driver: L) -> Broker<L> {
        let exchange_kinds = [("", "direct"), ("amq.direct", "direct"), ("amq.fanout", "fanout")];
        let exchanges = exchange_kinds.map(|(name, kind)| (name.to_owned(), (kind.to_owned(), Vec::new())));
        Broker {
            driver,
            exchanges: exchanges.into(),
            queues: BTreeMap::new(),
            conns: BTreeMap::new(),
            blocked: false,
            next_seq: 0,
            confirm_count: 0,
            faults: BrokerFaults::default(),
            now: Time(0),
        }
    }

    pub fn driver(&mut self) -> &mut L {
        &mut self.driver
    }

    /// Bodies of the messages ready in a queue, in delivery order.
    pub fn waiting_bodies(&self, queue: &str) -> Vec<Bytes> {
        self.messages(queue).map(|m| m.body.clone()).collect()
    }

    pub fn messages(&self, queue: &str) -> impl Iterator<Item = &Message> {
        self.queues.get(queue).into_iter().flat_map(|q| &q.ready)
    }

    /// Declares a queue without arguments.
    pub fn declare(&mut self, queue: &str) {
        self.queues.entry(queue.to_owned()).or_default();
    }

    /// Publishes a message to a queue through the default exchange.
    pub fn enqueue(&mut self, now: Time, queue: &str, properties: AMQPProperties, body: Bytes) {
        self.now = self.now.max(now);
        self.route("", queue, properties, body);
        self.deliver_all();
    }

    /// Number of unacknowledged deliveries.
    pub fn unacknowledged(&self) -> usize {
        self.conns.values().flat_map(|c| c.channels.values()).map(|c| c.unacked.len()).sum()
    }

    /// A client has connected.
    pub fn connection_opened(&mut self, conn: u64) {
        let (channels, contents) = (BTreeMap::new(), ContentAssembler::new(MAX_BODY_BYTES));
        self.conns.insert(conn, Conn { channels, contents, frame_max: 4096, open: false });
    }

    /// A client's connection has ended: its unacknowledged messages are requeued, its transactions discarded.
    pub fn connection_closed(&mut self, now: Time, conn: u64) {
        self.now = self.now.max(now);
        let Some(closed) = self.conns.remove(&conn) else { return };
        for (_, channel) in closed.channels {
            self.requeue_unacked(channel);
        }
        self.queues.values_mut().for_each(|q| q.consumers.retain(|c| c.0 != conn));
        self.deliver_all();
    }

    fn requeue_unacked(&mut self, channel: Channel) {
        // In reverse order of delivery, so that messages return to the queue in their original order.
        for (queue, message) in channel.unacked.into_values().rev() {
            self.requeue(&queue, message);
        }
    }

    fn requeue(&mut self, queue: &str, mut message: Message) {
        message.redelivered = !self.faults.omits_redelivered;
        if let Some(q) = self.queues.get_mut(queue) {
            // The original position, or as close to it as possible.
            let at = q.ready.iter().position(|m| m.seq > message.seq).unwrap_or(q.ready.len());
            q.ready.insert(at, message);
        }
    }

    /// Sends `connection.blocked` or `connection.unblocked` to all clients.
    pub fn set_blocked(&mut self, blocked: bool) {
        self.blocked = blocked;
        let all: Vec<u64> = self.conns.iter().filter(|(_, c)| c.open).map(|(conn, _)| *conn).collect();
        for conn in all {
            let method = if blocked {
                connection::AMQPMethod::Blocked(connection::Blocked { reason: "low on memory".into() })
            } else {
                connection::AMQPMethod::Unblocked(connection::Unblocked {})
            };
            self.driver.send(conn, AMQPFrame::Method(0, AMQPClass::Connection(method)));
        }
    }

    /// Cancels all consumers of a queue, as a broker does when the queue's node fails over.
    pub fn cancel_consumers(&mut self, queue: &str) {
        let Some(q) = self.queues.get_mut(queue) else { return };
        for (conn, channel_id, tag) in std::mem::take(&mut q.consumers) {
            let channel = self.conns.get_mut(&conn).and_then(|c| c.channels.get_mut(&channel_id));
            channel.into_iter().for_each(|c| drop(c.consumers.remove(&tag)));
            let cancel = basic::Cancel { consumer_tag: tag.as_str().into(), nowait: true };
            self.send(conn, channel_id, AMQPClass::Basic(basic::AMQPMethod::Cancel(cancel)));
        }
    }

    /// Advances the clock: expired messages are dead-lettered, ready ones delivered.
    pub fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        let names: Vec<String> = self.queues.keys().cloned().collect();
        for name in names {
            let Some(q) = self.queues.get_mut(&name) else { continue };
            let (expired, ready): (VecDeque<_>, VecDeque<_>) =
                q.ready.drain(..).partition(|m| m.expires_at.is_some_and(|until| until <= now));
            q.ready = ready;
            expired.into_iter().for_each(|m| self.dead_letter(&name, m, "expired"));
        }
        self.deliver_all();
    }

    fn dead_letter(&mut self, queue: &str, message: Message, reason: &str) {
        let arguments = self.queues.get(queue).map(|q| q.arguments.clone()).unwrap_or_default();
        let Some((exchange, key)) = arguments.dead_letters else { return };
        let key = key.unwrap_or_else(|| message.routing_key.clone());
        let mut headers = message.properties.headers().clone().unwrap_or_default();
        headers.insert("x-first-death-reason".into(), AMQPValue::LongString(reason.into()));
        headers.insert("x-first-death-queue".into(), AMQPValue::LongString(queue.into()));
        let mut properties = message.properties.clone().with_headers(headers);
        if let Some(expires_at) = message.expires_at.filter(|u| *u > self.now) {
            properties = properties.with_expiration(((expires_at - self.now).0 / 10).to_string().into());
        }
        self.route(&exchange, &key, properties, message.body);
    }

    fn send(&mut self, conn: u64, channel_id: u16, method: AMQPClass) {
        self.driver.send(conn, AMQPFrame::Method(channel_id, method));
    }

    fn send_content(
        &mut self, conn: u64, channel_id: u16, method: basic::AMQPMethod, properties: AMQPProperties,
        body: &Bytes,
    ) {
        self.send(conn, channel_id, AMQPClass::Basic(method));
        let header = AMQPContentHeader { class_id: 60, body_size: body.len() as u64, properties };
        self.driver.send(conn, AMQPFrame::Header(channel_id, header));
        let max_part = self.conns.get(&conn).map_or(4096, |c| c.frame_max) as usize - 8;
        for part in body.chunks(max_part) {
            self.driver.send(conn, AMQPFrame::Body(channel_id, part.to_vec()));
        }
    }

    /// Routes a message to the bound queues of its exchange; returns false if there is none.
    fn route(&mut self, exchange: &str, key: &str, properties: AMQPProperties, body: Bytes) -> bool {
        let queues: Vec<String> = match self.exchanges.get(exchange) {
            _ if exchange.is_empty() => vec![key.to_owned()],
            Some((kind, bound)) => {
                let matches = |b: &&(String, String)| kind == "fanout" || b.0 == key;
                bound.iter().filter(matches).map(|b| b.1.clone()).collect()
            }
            None => Vec::new(),
        };
        let mut routed = false;
        for name in queues {
            let Some(q) = self.queues.get_mut(&name) else { continue };
            routed = true;
            self.next_seq += 1;
            let message_ttl = properties.expiration().as_ref().and_then(|e| e.as_str().parse::<u64>().ok());
            let ttl = message_ttl.map(|ms| Time(ms * 10)).into_iter().chain(q.arguments.ttl).min();
            let (exchange, routing_key) = (exchange.to_owned(), key.to_owned());
            let (properties, body, expires_at) =
                (properties.clone(), body.clone(), ttl.map(|ttl| self.now + ttl));
            let priority = |m: &Message| (*m.properties.priority()).unwrap_or(0).min(q.arguments.priorities);
            let queued_at = self.now;
            let message = Message {
                exchange,
                routing_key,
                properties,
                body,
                queued_at,
                redelivered: false,
                expires_at,
                seq: self.next_seq,
            };
            let message_priority = priority(&message);
            let at = q.ready.iter().position(|m| priority(m) < message_priority).unwrap_or(q.ready.len());
            q.ready.insert(at, message);
        }
        routed
    }

    fn deliver_all(&mut self) {
        let names: Vec<String> = self.queues.keys().cloned().collect();
        names.iter().for_each(|name| self.deliver(name));
    }

    /// Delivers ready messages to consumers in round-robin order, up to each one's prefetch.
    fn deliver(&mut self, name: &str) {
        loop {
            let Some(q) = self.queues.get_mut(name).filter(|q| !q.ready.is_empty()) else { return };
            let conns = &self.conns;
            let has_capacity = |c: &(u64, u16, String)| {
                let channel = conns.get(&c.0).and_then(|conn| conn.channels.get(&c.1));
                channel.is_some_and(|ch| ch.prefetch == 0 || ch.unacked.len() < usize::from(ch.prefetch))
            };
            let Some(at) = q.consumers.iter().position(has_capacity) else { return };
            let Some((conn, channel_id, consumer)) = q.consumers.remove(at) else { return };
            let Some(message) = q.ready.pop_front() else { return };
            q.consumers.push_back((conn, channel_id, consumer.clone()));
            let Some(channel) = self.conns.get_mut(&conn).and_then(|c| c.channels.get_mut(&channel_id))
            else {
                return;
            };
            channel.next_tag += 1;
            let tag = channel.next_tag;
            if channel.consumers.get(&consumer).is_some_and(|c| !c.no_ack) {
                channel.unacked.insert(tag, (name.to_owned(), message.clone()));
            }
            let deliver = basic::Deliver {
                consumer_tag: consumer.as_str().into(),
                delivery_tag: tag,
                redelivered: message.redelivered,
                exchange: message.exchange.as_str().into(),
                routing_key: message.routing_key.as_str().into(),
            };
            self.send_content(
                conn,
                channel_id,
                basic::AMQPMethod::Deliver(deliver),
                message.properties,
                &message.body,
            );
        }
    }

    /// Closes the connection of a client that violated the protocol.
    fn close_with_error(&mut self, conn: u64, code: u16, reason: &str) {
        let close =
            connection::Close { reply_code: code, reply_text: reason.into(), class_id: 0, method_id: 0 };
        self.send(conn, 0, AMQPClass::Connection(connection::AMQPMethod::Close(close)));
        self.driver.close(conn);
        self.connection_closed(self.now, conn);
    }

    /// Handles a frame from a client.
    pub fn frame(&mut self, now: Time, conn: u64, frame: AMQPFrame) {
        self.now = self.now.max(now);
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let content = match frame {
            AMQPFrame::ProtocolHeader(_) => {
                let (version_major, version_minor) = (0, 9);
                let (mechanisms, locales) = ("PLAIN AMQPLAIN".into(), "en_US".into());
                let server_properties = FieldTable::default();
                let start = connection::Start {
                    version_major,
                    version_minor,
                    server_properties,
                    mechanisms,
                    locales,
                };
                return self.send(conn, 0, AMQPClass::Connection(connection::AMQPMethod::Start(start)));
            }
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => {
                return self.connection_method(conn, method)
            }
            AMQPFrame::Method(channel_id, method) if c.open => {
                return self.channel_method(conn, channel_id, method)
            }
            AMQPFrame::Header(channel_id, header) => {
                c.contents.header(channel_id, header).map(|content| (channel_id, content))
            }
            AMQPFrame::Body(channel_id, data) => {
                c.contents.body(channel_id, &data).map(|content| (channel_id, content))
            }
            AMQPFrame::Heartbeat => return self.driver.send(conn, AMQPFrame::Heartbeat),
            _ => return self.close_with_error(conn, 503, "a frame that has no place here"),
        };
        match content {
            Err(e) => self.close_with_error(conn, 505, &e.to_string()),
            Ok((_, None)) => {}
            Ok((channel_id, Some(content))) => {
                let ContentMethod::Publish(publish) = content.method;
                self.publish(conn, channel_id, publish, content.properties, content.body);
            }
        }
    }

    fn connection_method(&mut self, conn: u64, method: connection::AMQPMethod) {
        use connection::AMQPMethod::*;
        let reply = match method {
            StartOk(_) => Tune(connection::Tune { channel_max: 2047, frame_max: 131_072, heartbeat: 60 }),
            TuneOk(ok) => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.frame_max = ok.frame_max.max(4096);
                }
                return self.driver.agreed(conn, ok.frame_max, ok.channel_max);
            }
            Open(_) => {
                self.conns.get_mut(&conn).into_iter().for_each(|c| c.open = true);
                OpenOk(connection::OpenOk {})
            }
            Close(_) => {
                self.send(conn, 0, AMQPClass::Connection(CloseOk(connection::CloseOk {})));
                self.driver.close(conn);
                return self.connection_closed(self.now, conn);
            }
            _ => return,
        };
        self.send(conn, 0, AMQPClass::Connection(reply));
    }

    fn publish(
        &mut self, conn: u64, channel_id: u16, publish: basic::Publish, properties: AMQPProperties,
        body: Bytes,
    ) {
        let Some(channel) = self.conns.get_mut(&conn).and_then(|c| c.channels.get_mut(&channel_id)) else {
            return;
        };
        if let Some(tx) = &mut channel.tx {
            return tx.push(TxOperation::Publish(publish, Box::new(properties), body));
        }
        let seq = channel.confirms.as_mut().map(|n| {
            *n += 1;
            *n
        });
        self.route_published(conn, channel_id, publish, properties, body);
        if let Some(delivery_tag) = seq {
            self.confirm_count += 1;
            if self.confirm_count % 10 >= self.faults.lost_confirms_per_ten {
                let ack = basic::Ack { delivery_tag, multiple: false };
                self.send(conn, channel_id, AMQPClass::Basic(basic::AMQPMethod::Ack(ack)));
            }
        }
    }

    fn route_published(
        &mut self, conn: u64, channel_id: u16, p: basic::Publish, properties: AMQPProperties, body: Bytes,
    ) {
        let (exchange, key) = (p.exchange.to_string(), p.routing_key.to_string());
        let routed = self.route(&exchange, &key, properties.clone(), body.clone());
        if !routed && p.mandatory {
            let (reply_code, reply_text) = (312, "NO_ROUTE".into());
            let (exchange, routing_key) = (p.exchange, p.routing_key);
            let returned = basic::Return { reply_code, reply_text, exchange, routing_key };
            self.send_content(conn, channel_id, basic::AMQPMethod::Return(returned), properties, &body);
        }
        self.deliver_all();
    }

    /// Removes one unacknowledged delivery from a channel, or all up to its tag.
    fn take_unacked(
        &mut self, conn: u64, channel_id: u16, tag: u64, multiple: bool,
    ) -> Vec<(String, Message)> {
        let channel = self.conns.get_mut(&conn).and_then(|c| c.channels.get_mut(&channel_id));
        let Some(channel) = channel else { return Vec::new() };
        let tags: Vec<u64> =
            if multiple { channel.unacked.range(..=tag).map(|(t, _)| *t).collect() } else { vec![tag] };
        tags.iter().filter_map(|t| channel.unacked.remove(t)).collect()
    }

    fn apply(&mut self, conn: u64, channel_id: u16, operation: TxOperation) {
        match operation {
            TxOperation::Publish(publish, properties, body) => {
                self.route_published(conn, channel_id, publish, *properties, body)
            }
            TxOperation::Ack(tag, multiple) => drop(self.take_unacked(conn, channel_id, tag, multiple)),
            TxOperation::Reject(tag, multiple, requeue) => {
                for (queue, message) in self.take_unacked(conn, channel_id, tag, multiple) {
                    if requeue {
                        self.requeue(&queue, message);
                    } else {
                        self.dead_letter(&queue, message, "rejected");
                    }
                }
            }
        }
    }

    fn apply_or_defer(&mut self, conn: u64, channel_id: u16, operation: TxOperation) {
        let channel = self.conns.get_mut(&conn).and_then(|c| c.channels.get_mut(&channel_id));
        match channel.and_then(|c| c.tx.as_mut()) {
            Some(tx) => tx.push(operation),
            None => self.apply(conn, channel_id, operation),
        }
        self.deliver_all();
    }

    fn channel_method(&mut self, conn: u64, channel_id: u16, method: AMQPClass) {
        use basic::AMQPMethod as B;
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if let AMQPClass::Channel(channel::AMQPMethod::Open(_)) = method {
            c.channels.insert(channel_id, Channel::default());
            let ok = channel::AMQPMethod::OpenOk(channel::OpenOk {});
            return self.send(conn, channel_id, AMQPClass::Channel(ok));
        }
        let Some(at) = c.channels.get_mut(&channel_id) else {
            return self.close_with_error(conn, 504, "a channel that was not opened");
        };
        let reply = match method {
            AMQPClass::Basic(B::Publish(publish)) => {
                if c.contents.start(channel_id, ContentMethod::Publish(publish)).is_err() {
                    self.close_with_error(conn, 505, "content cut short");
                }
                return;
            }
            AMQPClass::Basic(B::Ack(ack)) => {
                return self.apply_or_defer(
                    conn,
                    channel_id,
                    TxOperation::Ack(ack.delivery_tag, ack.multiple),
                )
            }
            AMQPClass::Basic(B::Nack(n)) => {
                return self.apply_or_defer(
                    conn,
                    channel_id,
                    TxOperation::Reject(n.delivery_tag, n.multiple, n.requeue),
                )
            }
            AMQPClass::Basic(B::Reject(r)) => {
                return self.apply_or_defer(
                    conn,
                    channel_id,
                    TxOperation::Reject(r.delivery_tag, false, r.requeue),
                )
            }
            AMQPClass::Basic(B::Qos(qos)) => {
                at.prefetch = qos.prefetch_count;
                self.send(conn, channel_id, AMQPClass::Basic(B::QosOk(basic::QosOk {})));
                return self.deliver_all();
            }
            AMQPClass::Basic(B::Consume(consume)) => {
                let (queue, tag) = (consume.queue.to_string(), consume.consumer_tag.to_string());
                let Some(q) = self.queues.get_mut(&queue) else {
                    let text = format!("no queue '{queue}'");
                    let (reply_text, class_id, method_id) = (text.into(), 60, 20);
                    let close = channel::Close { reply_code: 404, reply_text, class_id, method_id };
                    return self.send(
                        conn,
                        channel_id,
                        AMQPClass::Channel(channel::AMQPMethod::Close(close)),
                    );
                };
                q.consumers.push_back((conn, channel_id, tag.clone()));
                at.consumers.insert(tag, Consumer { queue: queue.clone(), no_ack: consume.no_ack });
                let ok = basic::ConsumeOk { consumer_tag: consume.consumer_tag };
                self.send(conn, channel_id, AMQPClass::Basic(B::ConsumeOk(ok)));
                return self.deliver(&queue);
            }
            AMQPClass::Basic(B::Cancel(cancel)) => {
                let tag = cancel.consumer_tag.to_string();
                if let Some(consumer) = at.consumers.remove(&tag) {
                    let q = self.queues.get_mut(&consumer.queue);
                    q.into_iter().for_each(|q| q.consumers.retain(|c| *c != (conn, channel_id, tag.clone())));
                }
                if cancel.nowait {
                    return;
                }
                AMQPClass::Basic(B::CancelOk(basic::CancelOk { consumer_tag: cancel.consumer_tag }))
            }
            AMQPClass::Queue(queue::AMQPMethod::Declare(d)) => {
                let name = d.queue.to_string();
                let q = self.queues.entry(name).or_default();
                q.arguments = QueueArguments::from_table(&d.arguments);
                let (message_count, consumer_count) = (q.ready.len() as u32, q.consumers.len() as u32);
                let ok = queue::DeclareOk { queue: d.queue, message_count, consumer_count };
                AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok))
            }
            AMQPClass::Queue(queue::AMQPMethod::Bind(b)) => {
                let bound = (b.routing_key.to_string(), b.queue.to_string());
                if let Some((_, all)) = self.exchanges.get_mut(&b.exchange.to_string()) {
                    all.push(bound);
                }
                AMQPClass::Queue(queue::AMQPMethod::BindOk(queue::BindOk {}))
            }
            AMQPClass::Exchange(exchange::AMQPMethod::Declare(d)) => {
                let kind = d.kind.to_string();
                self.exchanges.entry(d.exchange.to_string()).or_insert_with(|| (kind, Vec::new()));
                AMQPClass::Exchange(exchange::AMQPMethod::DeclareOk(exchange::DeclareOk {}))
            }
            AMQPClass::Tx(tx::AMQPMethod::Select(_)) => {
                at.tx = Some(Vec::new());
                AMQPClass::Tx(tx::AMQPMethod::SelectOk(tx::SelectOk {}))
            }
            AMQPClass::Tx(tx::AMQPMethod::Commit(_)) => {
                let all = at.tx.as_mut().map(std::mem::take).unwrap_or_default();
                all.into_iter().for_each(|operation| self.apply(conn, channel_id, operation));
                if self.faults.omits_commit_ok {
                    return;
                }
                self.send(conn, channel_id, AMQPClass::Tx(tx::AMQPMethod::CommitOk(tx::CommitOk {})));
                return self.deliver_all();
            }
            AMQPClass::Tx(tx::AMQPMethod::Rollback(_)) => {
                at.tx.as_mut().into_iter().for_each(Vec::clear);
                AMQPClass::Tx(tx::AMQPMethod::RollbackOk(tx::RollbackOk {}))
            }
            AMQPClass::Confirm(confirm::AMQPMethod::Select(_)) => {
                at.confirms = Some(0);
                AMQPClass::Confirm(confirm::AMQPMethod::SelectOk(confirm::SelectOk {}))
            }
            AMQPClass::Channel(channel::AMQPMethod::Close(_)) => {
                if let Some(closed) = c.channels.remove(&channel_id) {
                    c.contents.channel_closed(channel_id);
                    self.queues
                        .values_mut()
                        .for_each(|q| q.consumers.retain(|x| (x.0, x.1) != (conn, channel_id)));
                    self.requeue_unacked(closed);
                }
                self.send(
                    conn,
                    channel_id,
                    AMQPClass::Channel(channel::AMQPMethod::CloseOk(channel::CloseOk {})),
                );
                return self.deliver_all();
            }
            AMQPClass::Channel(_) => return,
            _ => return self.close_with_error(conn, 540, "not served here"),
        };
        self.send(conn, channel_id, reply);
    }
}
