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

use crate::transcript::{Transcript, TranscriptEvent};

/// A client with many RPCs on one HTTP/2 connection, which writes down what it sends and what comes.
pub struct HttpClient {
    sender: http2::SendRequest<Full<Bytes>>,
    scheduler: String,
    transcript: Transcript,
    open: TaskTracker,
    connection_task: JoinHandle<()>,
}

type HttpResult = Result<(StatusCode, Bytes), hyper::Error>;

/// What became of a request, as its status and its problem's type tell.
fn event_for(key: u64, response: HttpResult) -> Option<TranscriptEvent> {
    let final_answer = |answer| Some(TranscriptEvent::FinalAnswer { key, answer });
    match response {
        Ok((StatusCode::OK, _)) => final_answer(Answer::Ok),
        Ok((status, body)) => {
            let problem: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            match (status, problem["type"].as_str()) {
                (StatusCode::SERVICE_UNAVAILABLE, Some("/problems/denied")) => final_answer(Answer::Denied),
                (StatusCode::BAD_GATEWAY, Some("/problems/aborted")) => final_answer(Answer::Aborted),
                (_, kind) => {
                    Some(TranscriptEvent::Refused { key, reason: kind.unwrap_or("no problem").to_owned() })
                }
            }
        }
        // The server says that it has not looked at it: it came after the server's last word.
        Err(e) if is_unprocessed(&e) => {
            Some(TranscriptEvent::Refused { key, reason: "not looked at".to_owned() })
        }
        // Nothing came: who was to answer has to account for it.
        Err(_) => None,
    }
}

fn is_unprocessed(e: &hyper::Error) -> bool {
    let reason = e.source().and_then(|s| s.downcast_ref::<h2::Error>()).and_then(h2::Error::reason);
    e.is_canceled() || reason == Some(h2::Reason::REFUSED_STREAM)
}

impl HttpClient {
    pub async fn open(
        address: &str, scheduler: &str, transcript: &Transcript,
    ) -> std::io::Result<HttpClient> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let connected = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
        let (sender, connection) = connected.map_err(std::io::Error::other)?;
        let connection_task = tokio::spawn(async move { drop(connection.await) });
        let (scheduler, transcript) = (scheduler.to_owned(), transcript.clone());
        Ok(HttpClient { sender, scheduler, transcript, open: TaskTracker::new(), connection_task })
    }

    /// Sends an RPC; its key stands in the first bytes of its body.
    pub fn send_rpc(
        &self, key: u64, method: &str, model: &str, tenant: &str, time_left: Time, body_bytes: usize,
    ) {
        let mut body = BytesMut::with_capacity(8 + body_bytes);
        body.put_u64(key);
        body.put_bytes(b'x', body_bytes);
        let model = utf8_percent_encode(model, NON_ALPHANUMERIC);
        let mut request = Request::post(format!("http://door/v1/{method}/{model}"))
            .header("content-type", "application/octet-stream")
            .header("curlewpoint-time-left", time_left.0 / 10)
            .header("idempotency-key", format!("t{key}"));
        if !tenant.is_empty() {
            request = request.header("curlewpoint-tenant", tenant);
        }
        let Ok(request) = request.body(Full::new(body.freeze())) else { return };
        let (mut sender, transcript) = (self.sender.clone(), self.transcript.clone());
        let (scheduler, method, time_left) =
            (self.scheduler.clone(), method.to_owned(), Time(time_left.0 / 10 * 10));
        self.transcript.add(TranscriptEvent::RpcSent { key, scheduler, method, time_left });
        self.open.spawn(async move {
            let response = async {
                sender.ready().await?;
                let response = sender.send_request(request).await?;
                let status = response.status();
                Ok((status, response.into_body().collect().await?.to_bytes()))
            };
            if let Some(event) = event_for(key, response.await) {
                transcript.add(event);
            }
        });
    }

    /// Waits until all that is open has its answer or the connection its end.
    pub async fn wait_closed(self) {
        self.open.close();
        self.open.wait().await;
        drop(self.sender);
        let _ = self.connection_task.await;
    }

    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
