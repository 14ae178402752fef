use std::collections::VecDeque;
use std::time::{Duration, Instant};

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_amqp::{Codec, Login, Session, SessionDriver};
use futures_util::SinkExt;
use tokio::net::TcpStream;
use tokio_stream::StreamExt;
use tokio_util::codec::Framed;

/// One message to a method's queue.
#[derive(Clone, Debug)]
pub struct TriggerRequest {
    pub method: String,
    pub model: String,
    pub tenant: String,
    pub id: String,
    pub reply_to: String,
    pub time_left: Time,
    pub body: Bytes,
}

/// What came for it.
#[derive(Clone, Debug, PartialEq)]
pub struct TriggerAnswer {
    pub answer: String,
    pub reason: String,
    pub body: Bytes,
}

#[derive(Default)]
struct SessionEvents {
    out: VecDeque<AMQPFrame>,
    agreed: Option<(u32, u16)>,
    ready: bool,
    delivered: Vec<(u64, AMQPProperties, Bytes)>,
    committed: Vec<u64>,
    closed: Option<String>,
}

impl SessionDriver for SessionEvents {
    fn send(&mut self, frame: AMQPFrame) {
        self.out.push_back(frame);
    }
    fn negotiated(&mut self, frame_max: u32, channel_max: u16) {
        self.agreed = Some((frame_max, channel_max));
    }
    fn ready(&mut self) {
        self.ready = true;
    }
    fn delivered(&mut self, _: &str, tag: u64, _: bool, properties: AMQPProperties, body: Bytes) {
        self.delivered.push((tag, properties, body));
    }
    fn committed(&mut self, _: &str, tags: &[u64]) {
        self.committed.extend(tags);
    }
    fn returned(&mut self, key: &str, reason: &str, _: AMQPProperties, _: Bytes) {
        self.closed = Some(format!("nobody consumes {key}: {reason}"));
    }
    fn cancelled(&mut self, queue: &str) {
        self.closed = Some(format!("the broker ended the consumer of {queue}"));
    }
    fn blocked(&mut self, _: bool) {}
    fn closed(&mut self, reason: &str) {
        self.closed = Some(reason.to_owned());
    }
}

fn text_header(properties: &AMQPProperties, name: &str) -> String {
    match properties.headers().as_ref().and_then(|h| h.inner().get(name)) {
        Some(AMQPValue::LongString(s)) => s.to_string(),
        _ => String::new(),
    }
}

/// Puts a message into its method's queue and waits for its answer; none: it did not come in its time.
pub async fn trigger(
    address: &str, user: &str, password: &str, request: &TriggerRequest,
) -> std::io::Result<Option<TriggerAnswer>> {
    let started_at = Instant::now();
    let clock = || Time(1 + (started_at.elapsed().as_micros() / 100) as u64);
    let stream = TcpStream::connect(address).await?;
    let mut framed = Framed::new(stream, Codec::default());
    let login = Login {
        user: user.to_owned(),
        password: password.to_owned(),
        vhost: "/".to_owned(),
        heartbeat: Time(0),
        frame_max: 128 << 10,
        max_body: 64 << 20,
    };
    let mut headers = FieldTable::default();
    headers.insert("model".into(), AMQPValue::LongString(request.model.as_str().into()));
    if !request.tenant.is_empty() {
        headers.insert("tenant".into(), AMQPValue::LongString(request.tenant.as_str().into()));
    }
    let properties = AMQPProperties::default()
        .with_message_id(request.id.as_str().into())
        .with_reply_to(request.reply_to.as_str().into())
        .with_expiration((request.time_left.0 / 10).to_string().into())
        .with_delivery_mode(2)
        .with_headers(headers);
    let queue = format!("curlewpoint.{}", request.method);
    let mut session = Session::start(clock(), SessionEvents::default(), login);
    let (mut sent, mut received) = (false, None);
    // The answer may take its way back after the last moment.
    let deadline = tokio::time::Instant::now()
        + Duration::from_micros(request.time_left.0 * 100)
        + Duration::from_secs(1);
    loop {
        if session.driver().ready {
            session.set_prefetch(clock(), &request.reply_to, 64);
            if !sent {
                sent = session.publish_and_ack(
                    clock(),
                    &request.reply_to,
                    None,
                    "",
                    &queue,
                    properties.clone(),
                    &request.body,
                );
            }
        }
        for (tag, properties, body) in std::mem::take(&mut session.driver().delivered) {
            // Others' answers stay unacknowledged, and go back at the end.
            if received.is_none()
                && properties.correlation_id().as_ref().is_some_and(|c| c.as_str() == request.id)
            {
                let (answer, reason) = (text_header(&properties, "answer"), text_header(&properties, "why"));
                received = Some((tag, TriggerAnswer { answer, reason, body }));
                session.ack(clock(), &request.reply_to, tag);
            }
        }
        let done = received.as_ref().is_some_and(|(tag, _)| session.driver().committed.contains(tag));
        if done {
            session.close(clock());
        }
        while let Some(frame) = session.driver().out.pop_front() {
            if let Some((frame_max, channel_max)) = session.driver().agreed.take() {
                framed.codec_mut().set_limits(frame_max, channel_max);
            }
            framed.feed(frame).await.map_err(std::io::Error::other)?;
        }
        framed.flush().await.map_err(std::io::Error::other)?;
        if done {
            return Ok(received.map(|(_, received)| received));
        }
        if let Some(reason) = session.driver().closed.take() {
            return Err(std::io::Error::other(reason));
        }
        tokio::select! {
            next = framed.next() => match next {
                Some(Ok(frame)) => session.handle_frame(clock(), frame),
                Some(Err(e)) => return Err(std::io::Error::other(e)),
                None => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            },
            () = tokio::time::sleep_until(deadline) => return Ok(None),
        }
    }
}
