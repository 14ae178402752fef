use std::error::Error;

use bytes::{BufMut, Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_engine::Answer;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::record::{Record, Seen};

/// A client with many RPCs on one HTTP/2 connection, which writes down what it sends and what comes.
pub struct WebOffice {
    sender: http2::SendRequest<Full<Bytes>>,
    scheduler: String,
    record: Record,
    open: TaskTracker,
    driving: JoinHandle<()>,
}

type Sent = Result<(StatusCode, Bytes), hyper::Error>;

/// What became of a request, as its status and its problem's type tell.
fn seen(key: u64, sent: Sent) -> Option<Seen> {
    let told = |answer| Some(Seen::Final { key, answer });
    match sent {
        Ok((StatusCode::OK, _)) => told(Answer::Ok),
        Ok((status, body)) => {
            let problem: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            match (status, problem["type"].as_str()) {
                (StatusCode::SERVICE_UNAVAILABLE, Some("/problems/denied")) => told(Answer::Denied),
                (StatusCode::BAD_GATEWAY, Some("/problems/aborted")) => told(Answer::Aborted),
                (_, kind) => Some(Seen::Refused { key, why: kind.unwrap_or("no problem").to_owned() }),
            }
        }
        // The server says that it has not looked at it: it came after the server's last word.
        Err(e) if untouched(&e) => Some(Seen::Refused { key, why: "not looked at".to_owned() }),
        // Nothing came: who was to answer has to account for it.
        Err(_) => None,
    }
}

fn untouched(e: &hyper::Error) -> bool {
    let reason = e.source().and_then(|s| s.downcast_ref::<h2::Error>()).and_then(h2::Error::reason);
    e.is_canceled() || reason == Some(h2::Reason::REFUSED_STREAM)
}

impl WebOffice {
    pub async fn open(address: &str, scheduler: &str, record: &Record) -> std::io::Result<WebOffice> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let shaken = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(std::io::Error::other)?;
        let driving = tokio::spawn(async move { drop(connection.await) });
        let (scheduler, record) = (scheduler.to_owned(), record.clone());
        Ok(WebOffice { sender, scheduler, record, open: TaskTracker::new(), driving })
    }

    /// Sends an RPC; its key stands in the first bytes of its body.
    pub fn ask(&self, key: u64, method: &str, model: &str, tenant: &str, left: Time, size: usize) {
        let mut body = BytesMut::with_capacity(8 + size);
        body.put_u64(key);
        body.put_bytes(b'x', size);
        let model = utf8_percent_encode(model, NON_ALPHANUMERIC);
        let mut request = Request::post(format!("http://door/v1/{method}/{model}"))
            .header("content-type", "application/octet-stream")
            .header("curlewpoint-time-left", left.0 / 10)
            .header("idempotency-key", format!("t{key}"));
        if !tenant.is_empty() {
            request = request.header("curlewpoint-tenant", tenant);
        }
        let Ok(request) = request.body(Full::new(body.freeze())) else { return };
        let (mut sender, record) = (self.sender.clone(), self.record.clone());
        let (scheduler, method, left) = (self.scheduler.clone(), method.to_owned(), Time(left.0 / 10 * 10));
        self.record.add(Seen::Asked { key, scheduler, method, left });
        self.open.spawn(async move {
            let sent = async {
                sender.ready().await?;
                let response = sender.send_request(request).await?;
                let status = response.status();
                Ok((status, response.into_body().collect().await?.to_bytes()))
            };
            if let Some(seen) = seen(key, sent.await) {
                record.add(seen);
            }
        });
    }

    /// Waits until all that is open has its answer or the connection its end.
    pub async fn ended(self) {
        self.open.close();
        self.open.wait().await;
        drop(self.sender);
        let _ = self.driving.await;
    }

    pub fn is_over(&self) -> bool {
        self.sender.is_closed()
    }
}
