use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_engine::Answer;
use curlewpoint_gateway::read_answer;
use curlewpoint_link::{handshake, Link, LinkError, LinkLimits, Outbox};
use curlewpoint_wire::{Field, Frame, Kind, WireError};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_stream::StreamExt;

use crate::transcript::{Transcript, TranscriptEvent};

/// What came of one RPC.
#[derive(Debug, PartialEq)]
pub enum CallOutcome {
    Final {
        answer: Answer,
        rpc: String,
        reason: String,
        retry_after: Time,
        body: Bytes,
    },
    Refused(String),
    /// No answer came in its time, or the connection broke.
    NoAnswer,
}

/// One RPC frame.
pub fn encode_rpc(
    tag: u64, method: &str, model: &str, tenant: &str, time_left: Time, token: Option<&str>,
) -> Frame {
    let f = Frame::new(Kind::RPC).int(Field::TAG, tag).text(Field::METHOD, method).text(Field::MODEL, model);
    let f = f.text(Field::TENANT, tenant).int(Field::TIME_LEFT, time_left.0);
    token.map_or(f.clone(), |t| f.text(Field::TOKEN, t))
}

/// Calls one method once and waits for the answer.
pub async fn call(
    address: &str, method: &str, model: &str, tenant: &str, time_left: Time, token: Option<&str>, body: Bytes,
) -> Result<CallOutcome, LinkError> {
    let stream = TcpStream::connect(address).await.map_err(WireError::from)?;
    let mut link = handshake(stream, "call", LinkLimits::default()).await?;
    let _ = link.outbox.send(encode_rpc(1, method, model, tenant, time_left, token).body(body), None);
    let answer = async {
        while let Some(frame) = link.reader.next().await {
            let f = frame?;
            match f.kind {
                Kind::FINAL_ANSWER => {
                    let text = |field| f.get_text(field).unwrap_or("").to_owned();
                    let retry_after = Time(f.maybe_int(Field::RETRY_AFTER)?.unwrap_or(0));
                    let (answer, rpc, reason) =
                        (read_answer(&f)?, text(Field::RPC_NAME), text(Field::REASON));
                    return Ok(CallOutcome::Final { answer, rpc, reason, retry_after, body: f.body });
                }
                Kind::REFUSED => {
                    return Ok(CallOutcome::Refused(f.get_text(Field::REASON).unwrap_or("").to_owned()))
                }
                Kind::FAULT => {
                    return Err(LinkError::Fault(f.get_text(Field::REASON).unwrap_or("").to_owned()))
                }
                _ => {}
            }
        }
        Ok(CallOutcome::NoAnswer)
    };
    let timeout_after = Duration::from_micros(time_left.0 * 100) + Duration::from_secs(1);
    tokio::time::timeout(timeout_after, answer).await.unwrap_or(Ok(CallOutcome::NoAnswer))
}

/// A client with many RPCs on one connection, which writes down what it sends and what comes.
pub struct NativeClient {
    outbox: Outbox,
    scheduler: String,
    transcript: Transcript,
    /// The scheduler wants nothing more on this connection.
    going_away: Arc<Mutex<bool>>,
    reader_task: JoinHandle<()>,
}

impl NativeClient {
    pub async fn open(
        address: &str, scheduler: &str, transcript: &Transcript,
    ) -> Result<NativeClient, LinkError> {
        let stream = TcpStream::connect(address).await.map_err(WireError::from)?;
        let Link { outbox, mut reader, .. } = handshake(stream, "office", LinkLimits::default()).await?;
        let (events, going_away) = (transcript.clone(), Arc::new(Mutex::new(false)));
        let (outgoing, go_away) = (outbox.clone(), Arc::clone(&going_away));
        let reader_task = tokio::spawn(async move {
            while let Some(Ok(f)) = reader.next().await {
                if f.kind == Kind::GO_AWAY {
                    let mut going_away = go_away.lock().unwrap_or_else(PoisonError::into_inner);
                    *going_away = true;
                    let _ = outgoing.send(Frame::new(Kind::GO_AWAY), None);
                }
                let Ok(key) = f.get_int(Field::TAG) else { continue };
                match f.kind {
                    Kind::FINAL_ANSWER => {
                        if let Ok(answer) = read_answer(&f) {
                            events.add(TranscriptEvent::FinalAnswer { key, answer });
                        }
                    }
                    Kind::REFUSED => {
                        let reason = f.get_text(Field::REASON).unwrap_or("").to_owned();
                        events.add(TranscriptEvent::Refused { key, reason });
                    }
                    _ => {}
                }
            }
        });
        Ok(NativeClient {
            outbox,
            scheduler: scheduler.to_owned(),
            transcript: transcript.clone(),
            going_away,
            reader_task,
        })
    }

    /// Sends an RPC; its key is its tag, and the first bytes of its body.
    pub fn send_rpc(
        &self, key: u64, method: &str, model: &str, tenant: &str, time_left: Time, body_bytes: usize,
    ) {
        let going_away = self.going_away.lock().unwrap_or_else(PoisonError::into_inner);
        if *going_away {
            return;
        }
        let mut body = BytesMut::with_capacity(8 + body_bytes);
        body.put_u64(key);
        body.put_bytes(b'x', body_bytes);
        let (scheduler, of) = (self.scheduler.clone(), method.to_owned());
        self.transcript.add(TranscriptEvent::RpcSent { key, scheduler, method: of, time_left });
        let token = format!("t{key}");
        let frame = encode_rpc(key, method, model, tenant, time_left, Some(&token)).body(body.freeze());
        if self.outbox.send(frame, None).is_err() {
            self.transcript.add(TranscriptEvent::ClientLeft { key });
        }
    }

    pub fn cancel(&self, key: u64) {
        let _ = self.outbox.send(Frame::new(Kind::CANCEL).int(Field::TAG, key), None);
    }

    /// Ends the connection, whatever is open on it.
    pub fn disconnect(self) {
        self.reader_task.abort();
    }

    /// Waits until the scheduler has ended the connection.
    pub async fn wait_closed(self) {
        drop(self.outbox);
        let _ = self.reader_task.await;
    }

    pub fn is_closed(&self) -> bool {
        self.reader_task.is_finished() || *self.going_away.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
