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

use crate::record::{Record, Seen};

/// What came of one RPC.
#[derive(Debug, PartialEq)]
pub enum Called {
    Final {
        answer: Answer,
        rpc: String,
        why: String,
        retry_after: Time,
        body: Bytes,
    },
    Refused(String),
    /// No answer came in its time, or the connection broke.
    Nothing,
}

/// One RPC frame.
pub fn rpc_frame(
    tag: u64, method: &str, model: &str, tenant: &str, left: Time, token: Option<&str>,
) -> Frame {
    let f = Frame::new(Kind::RPC).int(Field::TAG, tag).text(Field::METHOD, method).text(Field::MODEL, model);
    let f = f.text(Field::TENANT, tenant).int(Field::TIME_LEFT, left.0);
    token.map_or(f.clone(), |t| f.text(Field::TOKEN, t))
}

/// Calls one method once and waits for the answer.
pub async fn call(
    address: &str, method: &str, model: &str, tenant: &str, left: Time, token: Option<&str>, body: Bytes,
) -> Result<Called, LinkError> {
    let stream = TcpStream::connect(address).await.map_err(WireError::from)?;
    let mut link = handshake(stream, "call", LinkLimits::default()).await?;
    let _ = link.outbox.send(rpc_frame(1, method, model, tenant, left, token).body(body), None);
    let answer = async {
        while let Some(frame) = link.reader.next().await {
            let f = frame?;
            match f.kind {
                Kind::FINAL_ANSWER => {
                    let text = |field| f.get_text(field).unwrap_or("").to_owned();
                    let retry_after = Time(f.maybe_int(Field::RETRY_AFTER)?.unwrap_or(0));
                    let (answer, rpc, why) = (read_answer(&f)?, text(Field::RPC_NAME), text(Field::REASON));
                    return Ok(Called::Final { answer, rpc, why, retry_after, body: f.body });
                }
                Kind::REFUSED => {
                    return Ok(Called::Refused(f.get_text(Field::REASON).unwrap_or("").to_owned()))
                }
                Kind::FAULT => {
                    return Err(LinkError::Fault(f.get_text(Field::REASON).unwrap_or("").to_owned()))
                }
                _ => {}
            }
        }
        Ok(Called::Nothing)
    };
    let patience = Duration::from_micros(left.0 * 100) + Duration::from_secs(1);
    tokio::time::timeout(patience, answer).await.unwrap_or(Ok(Called::Nothing))
}

/// A client with many RPCs on one connection, which writes down what it sends and what comes.
pub struct Office {
    outbox: Outbox,
    scheduler: String,
    record: Record,
    /// The scheduler wants nothing more on this connection.
    away: Arc<Mutex<bool>>,
    reading: JoinHandle<()>,
}

impl Office {
    pub async fn open(address: &str, scheduler: &str, record: &Record) -> Result<Office, LinkError> {
        let stream = TcpStream::connect(address).await.map_err(WireError::from)?;
        let Link { outbox, mut reader, .. } = handshake(stream, "office", LinkLimits::default()).await?;
        let (seen, away) = (record.clone(), Arc::new(Mutex::new(false)));
        let (say, go_away) = (outbox.clone(), Arc::clone(&away));
        let reading = tokio::spawn(async move {
            while let Some(Ok(f)) = reader.next().await {
                if f.kind == Kind::GO_AWAY {
                    let mut away = go_away.lock().unwrap_or_else(PoisonError::into_inner);
                    *away = true;
                    let _ = say.send(Frame::new(Kind::GO_AWAY), None);
                }
                let Ok(key) = f.get_int(Field::TAG) else { continue };
                match f.kind {
                    Kind::FINAL_ANSWER => {
                        if let Ok(answer) = read_answer(&f) {
                            seen.add(Seen::Final { key, answer });
                        }
                    }
                    Kind::REFUSED => {
                        let why = f.get_text(Field::REASON).unwrap_or("").to_owned();
                        seen.add(Seen::Refused { key, why });
                    }
                    _ => {}
                }
            }
        });
        Ok(Office { outbox, scheduler: scheduler.to_owned(), record: record.clone(), away, reading })
    }

    /// Sends an RPC; its key is its tag, and the first bytes of its body.
    pub fn ask(&self, key: u64, method: &str, model: &str, tenant: &str, left: Time, size: usize) {
        let away = self.away.lock().unwrap_or_else(PoisonError::into_inner);
        if *away {
            return;
        }
        let mut body = BytesMut::with_capacity(8 + size);
        body.put_u64(key);
        body.put_bytes(b'x', size);
        let (scheduler, of) = (self.scheduler.clone(), method.to_owned());
        self.record.add(Seen::Asked { key, scheduler, method: of, left });
        let token = format!("t{key}");
        let frame = rpc_frame(key, method, model, tenant, left, Some(&token)).body(body.freeze());
        if self.outbox.send(frame, None).is_err() {
            self.record.add(Seen::Left { key });
        }
    }

    pub fn cancel(&self, key: u64) {
        let _ = self.outbox.send(Frame::new(Kind::CANCEL).int(Field::TAG, key), None);
    }

    /// Ends the connection, whatever is open on it.
    pub fn leave(self) {
        self.reading.abort();
    }

    /// Waits until the scheduler has ended the connection.
    pub async fn ended(self) {
        drop(self.outbox);
        let _ = self.reading.await;
    }

    pub fn is_over(&self) -> bool {
        self.reading.is_finished() || *self.away.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
