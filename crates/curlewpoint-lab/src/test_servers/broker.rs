use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::AMQPProperties;
use bytes::{Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_amqp::Codec;
use curlewpoint_emulator::{Broker, BrokerDriver, BrokerFaults, Message};
use futures_util::SinkExt;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio_stream::StreamExt;
use tokio_util::codec::{Encoder, Framed};

enum Outgoing {
    /// Half of it, and then nothing more.
    HalfFrame(Box<AMQPFrame>),
    Frame(Box<AMQPFrame>),
    Agreed(u32, u16),
}

enum Event {
    Connected(u64, mpsc::UnboundedSender<Outgoing>, AbortHandle),
    Frame(u64, Box<AMQPFrame>),
    Disconnected(u64),
    /// Ends the connections of all clients that are up.
    DisconnectAll,
    /// Ends a connection when it sends its next commit, before or after that is done.
    DisconnectAtCommit(bool),
    /// Says nothing more to whoever sends the next commit, before or after that is done, and tells of it.
    SilenceAtCommit(bool, oneshot::Sender<()>),
    /// Tells of the next message that is delivered.
    NextDelivery(oneshot::Sender<()>),
    SetFaults(BrokerFaults),
    SetBlocked(bool),
    CutDelivery,
    CancelConsumers(String),
    Enqueue(String, Box<AMQPProperties>, Bytes),
    Messages(String, oneshot::Sender<Vec<Message>>),
    /// Tells once one of these queues has so many messages.
    WaitForMessages(Vec<String>, usize, oneshot::Sender<()>),
    MessageCount(String, oneshot::Sender<usize>),
}

#[derive(Default)]
struct Sockets {
    cut_delivery: bool,
    outs: BTreeMap<u64, (mpsc::UnboundedSender<Outgoing>, AbortHandle)>,
}

impl BrokerDriver for Sockets {
    fn send(&mut self, conn: u64, frame: AMQPFrame) {
        if let Some((out, _)) = self.outs.get(&conn) {
            if self.cut_delivery && is_delivery(&frame) {
                self.cut_delivery = false;
                let _ = out.send(Outgoing::HalfFrame(Box::new(frame)));
                return;
            }
            let _ = out.send(Outgoing::Frame(Box::new(frame)));
        }
    }
    fn agreed(&mut self, conn: u64, frame_max: u32, channel_max: u16) {
        if let Some((out, _)) = self.outs.get(&conn) {
            let _ = out.send(Outgoing::Agreed(frame_max, channel_max));
        }
    }
    fn close(&mut self, conn: u64) {
        self.outs.remove(&conn);
    }
}

/// A broker on a socket, with what goes wrong by a test's word.
pub struct TestBroker {
    pub address: SocketAddr,
    events: mpsc::UnboundedSender<Event>,
    mute: watch::Sender<bool>,
    accepted: watch::Receiver<u64>,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for TestBroker {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl TestBroker {
    /// A broker with these queues.
    pub async fn start(listen: &str, queues: &[&str]) -> std::io::Result<TestBroker> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (events, events_rx) = mpsc::unbounded_channel();
        let event_tx = events.clone();
        let (mute, muted) = watch::channel(false);
        let (count, accepted) = watch::channel(0);
        let accepting = tokio::spawn(async move {
            let mut conn = 0;
            while let Ok((stream, _)) = listener.accept().await {
                conn += 1;
                count.send_replace(conn);
                let (out, waiting) = mpsc::unbounded_channel();
                let connection_task =
                    tokio::spawn(run_connection(conn, stream, waiting, event_tx.clone(), muted.clone()));
                let _ = event_tx.send(Event::Connected(conn, out, connection_task.abort_handle()));
                let event_tx = event_tx.clone();
                tokio::spawn(async move {
                    let _ = connection_task.await;
                    let _ = event_tx.send(Event::Disconnected(conn));
                });
            }
        });
        let tasks =
            [accepting, tokio::spawn(run(queues.iter().map(|q| (*q).to_owned()).collect(), events_rx))];
        Ok(TestBroker { address, events, mute, accepted, tasks })
    }

    fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }

    /// Puts a message into a queue, as a requester does.
    pub fn enqueue(&self, queue: &str, properties: AMQPProperties, body: Bytes) {
        self.send(Event::Enqueue(queue.to_owned(), Box::new(properties), body));
    }

    /// What waits in a queue.
    /// Waits until one of these queues has so many messages.
    pub async fn wait_for_messages(&self, queues: &[&str], count: usize) {
        let (done_tx, done_rx) = oneshot::channel();
        self.send(Event::WaitForMessages(queues.iter().map(|q| (*q).to_owned()).collect(), count, done_tx));
        let _ = done_rx.await;
    }

    pub async fn messages(&self, queue: &str) -> Vec<Message> {
        let (done_tx, done_rx) = oneshot::channel();
        self.send(Event::Messages(queue.to_owned(), done_tx));
        done_rx.await.unwrap_or_default()
    }

    /// How many messages wait in a queue.
    pub async fn message_count(&self, queue: &str) -> usize {
        let (done_tx, done_rx) = oneshot::channel();
        self.send(Event::MessageCount(queue.to_owned(), done_tx));
        done_rx.await.unwrap_or_default()
    }

    pub fn disconnect_all(&self) {
        self.send(Event::DisconnectAll);
    }

    pub fn disconnect_at_commit(&self, done: bool) {
        self.send(Event::DisconnectAtCommit(done));
    }

    /// When the next commit has come: it is done, or not, and its sender hears nothing of it.
    pub async fn silence_at_commit(&self, done: bool) -> oneshot::Receiver<()> {
        let (done_tx, done_rx) = oneshot::channel();
        self.send(Event::SilenceAtCommit(done, done_tx));
        done_rx
    }

    /// When the next message has been delivered.
    pub async fn next_delivery(&self) -> oneshot::Receiver<()> {
        let (done_tx, done_rx) = oneshot::channel();
        self.send(Event::NextDelivery(done_tx));
        done_rx
    }

    pub fn set_faults(&self, faults: BrokerFaults) {
        self.send(Event::SetFaults(faults));
    }

    /// The next delivery is cut off in its middle, and its connection with it.
    pub fn cut_delivery(&self) {
        self.send(Event::CutDelivery);
    }

    /// Waits until so many connections have been accepted.
    pub async fn wait_for_connections(&self, count: u64) {
        let _ = self.accepted.clone().wait_for(|n| *n >= count).await;
    }

    /// Reads nothing and writes nothing, or does again; connections stay up.
    pub fn set_muted(&self, mute: bool) {
        let _ = self.mute.send(mute);
    }

    pub fn set_blocked(&self, blocked: bool) {
        self.send(Event::SetBlocked(blocked));
    }

    pub fn cancel_consumers(&self, queue: &str) {
        self.send(Event::CancelConsumers(queue.to_owned()));
    }
}

async fn run_connection(
    conn: u64, stream: TcpStream, mut out: mpsc::UnboundedReceiver<Outgoing>,
    events: mpsc::UnboundedSender<Event>, mut muted: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, Codec::default());
    loop {
        let _ = muted.wait_for(|mute| !*mute).await;
        tokio::select! {
            _ = muted.changed() => {}
            next = framed.next() => match next {
                Some(Ok(frame)) => drop(events.send(Event::Frame(conn, Box::new(frame)))),
                _ => return,
            },
            outgoing = out.recv() => match outgoing {
                Some(Outgoing::Frame(frame)) => if framed.send(*frame).await.is_err() {
                    return;
                },
                Some(Outgoing::HalfFrame(frame)) => {
                    let mut bytes = BytesMut::new();
                    let _ = framed.codec_mut().encode(*frame, &mut bytes);
                    let _ = framed.get_mut().write_all(&bytes[..bytes.len() / 2]).await;
                    return;
                }
                Some(Outgoing::Agreed(frame_max, channel_max)) => framed.codec_mut().set_limits(frame_max, channel_max),
                None => return,
            },
        }
    }
}

fn is_delivery(frame: &AMQPFrame) -> bool {
    use amq_protocol::protocol::{basic, AMQPClass};
    matches!(frame, AMQPFrame::Method(_, AMQPClass::Basic(basic::AMQPMethod::Deliver(_))))
}

fn is_commit(frame: &AMQPFrame) -> bool {
    use amq_protocol::protocol::{tx, AMQPClass};
    matches!(frame, AMQPFrame::Method(_, AMQPClass::Tx(tx::AMQPMethod::Commit(_))))
}

async fn run(queues: Vec<String>, mut events: mpsc::UnboundedReceiver<Event>) {
    let (mut broker, started_at, mut disconnect_at) = (Broker::new(Sockets::default()), Instant::now(), None);
    let mut silence: Option<(bool, oneshot::Sender<()>)> = None;
    let mut at_delivery: Option<oneshot::Sender<()>> = None;
    let mut waiters: Vec<(Vec<String>, usize, oneshot::Sender<()>)> = Vec::new();
    queues.iter().for_each(|q| broker.declare(q));
    let mut tick = tokio::time::interval(std::time::Duration::from_millis(20));
    loop {
        let now = Time((started_at.elapsed().as_micros() / 100) as u64);
        let event = tokio::select! {
            event = events.recv() => event,
            _ = tick.tick() => {
                broker.advance(now);
                continue;
            }
        };
        let Some(event) = event else { return };
        let disconnect = |broker: &mut Broker<Sockets>, conn: u64| {
            if let Some((_, connection_task)) = broker.driver().outs.remove(&conn) {
                connection_task.abort();
            }
            broker.connection_closed(now, conn);
        };
        match event {
            Event::Connected(conn, out, connection_task) => {
                broker.driver().outs.insert(conn, (out, connection_task));
                broker.connection_opened(conn);
            }
            Event::Frame(conn, frame) if silence.is_some() && is_commit(&frame) => {
                if let Some((done, done_tx)) = silence.take() {
                    if done {
                        broker.faults.omits_commit_ok = true;
                        broker.frame(now, conn, *frame);
                        broker.faults.omits_commit_ok = false;
                    }
                    let _ = done_tx.send(());
                }
            }
            Event::Frame(conn, frame) => match disconnect_at.filter(|_| is_commit(&frame)) {
                Some(done) => {
                    disconnect_at = None;
                    if done {
                        broker.frame(now, conn, *frame);
                    }
                    disconnect(&mut broker, conn);
                }
                None => broker.frame(now, conn, *frame),
            },
            Event::Disconnected(conn) => disconnect(&mut broker, conn),
            Event::DisconnectAll => {
                let all: Vec<u64> = broker.driver().outs.keys().copied().collect();
                all.into_iter().for_each(|conn| disconnect(&mut broker, conn));
            }
            Event::SilenceAtCommit(done, done_tx) => silence = Some((done, done_tx)),
            Event::NextDelivery(done_tx) => at_delivery = Some(done_tx),
            Event::DisconnectAtCommit(done) => disconnect_at = Some(done),
            Event::Enqueue(queue, properties, body) => broker.enqueue(now, &queue, *properties, body),
            Event::SetFaults(faults) => broker.faults = faults,
            Event::CutDelivery => broker.driver().cut_delivery = true,
            Event::SetBlocked(blocked) => broker.set_blocked(blocked),
            Event::CancelConsumers(queue) => broker.cancel_consumers(&queue),
            Event::MessageCount(queue, done_tx) => drop(done_tx.send(broker.messages(&queue).count())),
            Event::WaitForMessages(queues, count, done_tx) => waiters.push((queues, count, done_tx)),
            Event::Messages(queue, done_tx) => drop(done_tx.send(broker.messages(&queue).cloned().collect())),
        }
        for (_, _, done_tx) in waiters
            .extract_if(.., |(queues, count, _)| queues.iter().any(|q| broker.messages(q).count() >= *count))
        {
            let _ = done_tx.send(());
        }
        if broker.unacknowledged() > 0 {
            if let Some(done_tx) = at_delivery.take() {
                let _ = done_tx.send(());
            }
        }
    }
}
