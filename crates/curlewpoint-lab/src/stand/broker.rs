use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::AMQPProperties;
use bytes::{Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_amqp::Codec;
use curlewpoint_emulator::{Broker, BrokerFaults, Lines, Message};
use futures_util::SinkExt;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio_stream::StreamExt;
use tokio_util::codec::{Encoder, Framed};

enum Out {
    /// Half of it, and then nothing more.
    Cut(Box<AMQPFrame>),
    Frame(Box<AMQPFrame>),
    Agreed(u32, u16),
}

enum Event {
    Up(u64, mpsc::UnboundedSender<Out>, AbortHandle),
    Frame(u64, Box<AMQPFrame>),
    Gone(u64),
    /// Ends the connections of all clients that are up.
    DropAll,
    /// Ends a connection when it sends its next commit, before or after that is done.
    DropAtCommit(bool),
    /// Says nothing more to whoever sends the next commit, before or after that is done, and tells of it.
    HoldAtCommit(bool, oneshot::Sender<()>),
    /// Tells of the next message that is delivered.
    AtDelivery(oneshot::Sender<()>),
    Faults(BrokerFaults),
    Block(bool),
    CutDelivery,
    CancelConsumers(String),
    Put(String, Box<AMQPProperties>, Bytes),
    Waiting(String, oneshot::Sender<Vec<Message>>),
    /// Tells once one of these queues has so many messages.
    Until(Vec<String>, usize, oneshot::Sender<()>),
    Count(String, oneshot::Sender<usize>),
}

#[derive(Default)]
struct Sockets {
    cut_delivery: bool,
    outs: BTreeMap<u64, (mpsc::UnboundedSender<Out>, AbortHandle)>,
}

impl Lines for Sockets {
    fn send(&mut self, conn: u64, frame: AMQPFrame) {
        if let Some((out, _)) = self.outs.get(&conn) {
            if self.cut_delivery && is_delivery(&frame) {
                self.cut_delivery = false;
                let _ = out.send(Out::Cut(Box::new(frame)));
                return;
            }
            let _ = out.send(Out::Frame(Box::new(frame)));
        }
    }
    fn agreed(&mut self, conn: u64, frame_max: u32, channel_max: u16) {
        if let Some((out, _)) = self.outs.get(&conn) {
            let _ = out.send(Out::Agreed(frame_max, channel_max));
        }
    }
    fn close(&mut self, conn: u64) {
        self.outs.remove(&conn);
    }
}

/// A broker on a socket, with what goes wrong by a test's word.
pub struct BrokerStand {
    pub address: SocketAddr,
    events: mpsc::UnboundedSender<Event>,
    mute: watch::Sender<bool>,
    accepted: watch::Receiver<u64>,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for BrokerStand {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl BrokerStand {
    /// A broker with these queues.
    pub async fn start(listen: &str, queues: &[&str]) -> std::io::Result<BrokerStand> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (events, heard) = mpsc::unbounded_channel();
        let tell = events.clone();
        let (mute, muted) = watch::channel(false);
        let (count, accepted) = watch::channel(0);
        let accepting = tokio::spawn(async move {
            let mut conn = 0;
            while let Ok((stream, _)) = listener.accept().await {
                conn += 1;
                count.send_replace(conn);
                let (out, waiting) = mpsc::unbounded_channel();
                let talk = tokio::spawn(converse(conn, stream, waiting, tell.clone(), muted.clone()));
                let _ = tell.send(Event::Up(conn, out, talk.abort_handle()));
                let tell = tell.clone();
                tokio::spawn(async move {
                    let _ = talk.await;
                    let _ = tell.send(Event::Gone(conn));
                });
            }
        });
        let tasks = [accepting, tokio::spawn(run(queues.iter().map(|q| (*q).to_owned()).collect(), heard))];
        Ok(BrokerStand { address, events, mute, accepted, tasks })
    }

    fn say(&self, event: Event) {
        let _ = self.events.send(event);
    }

    /// Puts a message into a queue, as a requester does.
    pub fn put(&self, queue: &str, properties: AMQPProperties, body: Bytes) {
        self.say(Event::Put(queue.to_owned(), Box::new(properties), body));
    }

    /// What waits in a queue.
    /// Waits until one of these queues has so many messages.
    pub async fn until_waiting(&self, queues: &[&str], many: usize) {
        let (tell, told) = oneshot::channel();
        self.say(Event::Until(queues.iter().map(|q| (*q).to_owned()).collect(), many, tell));
        let _ = told.await;
    }

    pub async fn waiting(&self, queue: &str) -> Vec<Message> {
        let (tell, told) = oneshot::channel();
        self.say(Event::Waiting(queue.to_owned(), tell));
        told.await.unwrap_or_default()
    }

    /// How many messages wait in a queue.
    pub async fn count(&self, queue: &str) -> usize {
        let (tell, told) = oneshot::channel();
        self.say(Event::Count(queue.to_owned(), tell));
        told.await.unwrap_or_default()
    }

    pub fn drop_all(&self) {
        self.say(Event::DropAll);
    }

    pub fn drop_at_commit(&self, done: bool) {
        self.say(Event::DropAtCommit(done));
    }

    /// When the next commit has come: it is done, or not, and its sender hears nothing of it.
    pub async fn hold_at_commit(&self, done: bool) -> oneshot::Receiver<()> {
        let (tell, told) = oneshot::channel();
        self.say(Event::HoldAtCommit(done, tell));
        told
    }

    /// When the next message has been delivered.
    pub async fn at_delivery(&self) -> oneshot::Receiver<()> {
        let (tell, told) = oneshot::channel();
        self.say(Event::AtDelivery(tell));
        told
    }

    pub fn faults(&self, faults: BrokerFaults) {
        self.say(Event::Faults(faults));
    }

    /// The next delivery is cut off in its middle, and its connection with it.
    pub fn cut_delivery(&self) {
        self.say(Event::CutDelivery);
    }

    /// Waits until so many connections have been accepted.
    pub async fn until_accepted(&self, many: u64) {
        let _ = self.accepted.clone().wait_for(|n| *n >= many).await;
    }

    /// Reads nothing and writes nothing, or does again; connections stay up.
    pub fn mute(&self, mute: bool) {
        let _ = self.mute.send(mute);
    }

    pub fn block(&self, blocked: bool) {
        self.say(Event::Block(blocked));
    }

    pub fn cancel_consumers(&self, queue: &str) {
        self.say(Event::CancelConsumers(queue.to_owned()));
    }
}

async fn converse(
    conn: u64, stream: TcpStream, mut out: mpsc::UnboundedReceiver<Out>,
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
            said = out.recv() => match said {
                Some(Out::Frame(frame)) => if framed.send(*frame).await.is_err() {
                    return;
                },
                Some(Out::Cut(frame)) => {
                    let mut bytes = BytesMut::new();
                    let _ = framed.codec_mut().encode(*frame, &mut bytes);
                    let _ = framed.get_mut().write_all(&bytes[..bytes.len() / 2]).await;
                    return;
                }
                Some(Out::Agreed(frame_max, channel_max)) => framed.codec_mut().set_limits(frame_max, channel_max),
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

async fn run(queues: Vec<String>, mut heard: mpsc::UnboundedReceiver<Event>) {
    let (mut broker, began, mut at_commit) = (Broker::new(Sockets::default()), Instant::now(), None);
    let mut hold: Option<(bool, oneshot::Sender<()>)> = None;
    let mut at_delivery: Option<oneshot::Sender<()>> = None;
    let mut wanted: Vec<(Vec<String>, usize, oneshot::Sender<()>)> = Vec::new();
    queues.iter().for_each(|q| broker.declare(q));
    let mut tick = tokio::time::interval(std::time::Duration::from_millis(20));
    loop {
        let now = Time((began.elapsed().as_micros() / 100) as u64);
        let event = tokio::select! {
            event = heard.recv() => event,
            _ = tick.tick() => {
                broker.advance(now);
                continue;
            }
        };
        let Some(event) = event else { return };
        let drop_conn = |broker: &mut Broker<Sockets>, conn: u64| {
            if let Some((_, talk)) = broker.lines().outs.remove(&conn) {
                talk.abort();
            }
            broker.closed(now, conn);
        };
        match event {
            Event::Up(conn, out, talk) => {
                broker.lines().outs.insert(conn, (out, talk));
                broker.opened(conn);
            }
            Event::Frame(conn, frame) if hold.is_some() && is_commit(&frame) => {
                if let Some((done, tell)) = hold.take() {
                    if done {
                        broker.faults.silent_commits = true;
                        broker.frame(now, conn, *frame);
                        broker.faults.silent_commits = false;
                    }
                    let _ = tell.send(());
                }
            }
            Event::Frame(conn, frame) => match at_commit.filter(|_| is_commit(&frame)) {
                Some(done) => {
                    at_commit = None;
                    if done {
                        broker.frame(now, conn, *frame);
                    }
                    drop_conn(&mut broker, conn);
                }
                None => broker.frame(now, conn, *frame),
            },
            Event::Gone(conn) => drop_conn(&mut broker, conn),
            Event::DropAll => {
                let all: Vec<u64> = broker.lines().outs.keys().copied().collect();
                all.into_iter().for_each(|conn| drop_conn(&mut broker, conn));
            }
            Event::HoldAtCommit(done, tell) => hold = Some((done, tell)),
            Event::AtDelivery(tell) => at_delivery = Some(tell),
            Event::DropAtCommit(done) => at_commit = Some(done),
            Event::Put(queue, properties, body) => broker.put(now, &queue, *properties, body),
            Event::Faults(faults) => broker.faults = faults,
            Event::CutDelivery => broker.lines().cut_delivery = true,
            Event::Block(blocked) => broker.block(blocked),
            Event::CancelConsumers(queue) => broker.cancel_consumers(&queue),
            Event::Count(queue, tell) => drop(tell.send(broker.messages(&queue).count())),
            Event::Until(queues, many, tell) => wanted.push((queues, many, tell)),
            Event::Waiting(queue, tell) => drop(tell.send(broker.messages(&queue).cloned().collect())),
        }
        for (_, _, tell) in wanted
            .extract_if(.., |(queues, many, _)| queues.iter().any(|q| broker.messages(q).count() >= *many))
        {
            let _ = tell.send(());
        }
        if broker.unacknowledged() > 0 {
            if let Some(tell) = at_delivery.take() {
                let _ = tell.send(());
            }
        }
    }
}
