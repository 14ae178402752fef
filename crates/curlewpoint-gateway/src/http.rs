use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::body::{Body, Bytes};
use axum::extract::Request;
use axum::http::{header, request, HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::Response;
use curlewpoint::types::Time;
use curlewpoint_catalogue::{method_in, Effect, Method as Described, Misfit, Release};
use curlewpoint_engine::{Answer, ClientId, Refusal};
use curlewpoint_link::{linger, Clock, LINGER_LIMITS};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use percent_encoding::percent_decode_str;
use serde_json::json;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::notes::Note;
use crate::reload::InForce;

/// An RPC that came over HTTP and fits its descriptions.
pub(crate) struct Ask {
    /// The methods in force that it was read by.
    pub release: Release,
    pub method: String,
    pub model: String,
    pub tenant: String,
    pub left: Time,
    pub token: Option<String>,
    pub body: Bytes,
    pub reply: oneshot::Sender<Reply>,
}

/// What becomes of it.
pub(crate) enum Reply {
    Final {
        answer: Answer,
        rpc: String,
        why: String,
        retry_after: Time,
        body: Bytes,
    },
    Refused(Refusal),
    /// Other methods came into force on its way: nothing was taken, it is to be read anew.
    Changed,
}

#[derive(Clone, Copy)]
pub(crate) struct Limits {
    pub connections: usize,
    pub body: usize,
    /// For a request's headers, and again for its body.
    pub slow: Duration,
    /// The bytes of its headers.
    pub head: usize,
}

/// Clients of this door have ids apart from those of the native one.
const DOOR: u64 = 1 << 63;

/// What requests go by.
pub(crate) struct Door {
    pub in_force: watch::Receiver<Arc<InForce>>,
    pub clock: Clock,
    pub limits: Limits,
    /// What ends something, and what begins something.
    pub endings: mpsc::Sender<Note>,
    pub asks: mpsc::Sender<Note>,
    pub tasks: TaskTracker,
    next: AtomicU64,
}

impl Door {
    pub fn new(
        in_force: watch::Receiver<Arc<InForce>>, clock: Clock, limits: Limits, endings: mpsc::Sender<Note>,
        asks: mpsc::Sender<Note>, tasks: TaskTracker,
    ) -> Door {
        Door { in_force, clock, limits, endings, asks, tasks, next: AtomicU64::new(DOOR) }
    }
}

/// A connection's reading side, lent to the server: after the server has done with it, it is read to its end.
#[derive(Clone)]
struct Lent(Arc<Mutex<OwnedReadHalf>>);

impl AsyncRead for Lent {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        // Never two at a time: who has lent it waits for the server's end.
        Pin::new(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner)).poll_read(cx, buf)
    }
}

/// Connections, up to a number at a time.
struct Doors {
    door: Arc<Door>,
    room: Arc<Semaphore>,
    /// Those that find no room are closed in order, up to as many again.
    turning: Arc<Semaphore>,
    stop: watch::Receiver<bool>,
}

impl Doors {
    fn let_in(&self, stream: TcpStream) {
        match Arc::clone(&self.room).try_acquire_owned() {
            Ok(place) => {
                let serving = connection(stream, Arc::clone(&self.door), self.stop.clone(), place);
                self.door.tasks.spawn(serving);
            }
            Err(_) => {
                let (peer, most) = (stream.peer_addr().ok(), self.door.limits.connections);
                info!(?peer, "http: turned away, {most} are connected");
                if let Ok(place) = Arc::clone(&self.turning).try_acquire_owned() {
                    self.door.tasks.spawn(turn_away(stream, place));
                }
            }
        }
    }
}

async fn turn_away(stream: TcpStream, _place: OwnedSemaphorePermit) {
    let (mut read, write) = stream.into_split();
    // With it the writing side is shut.
    drop(write);
    linger(&mut read, LINGER_LIMITS.0, LINGER_LIMITS.1).await;
}

async fn connection(
    stream: TcpStream, door: Arc<Door>, mut stop: watch::Receiver<bool>, _place: OwnedSemaphorePermit,
) {
    let (peer, limits) = (stream.peer_addr().ok(), door.limits);
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut lent = Lent(Arc::new(Mutex::new(read)));
    let service = tower::service_fn(move |request: Request<hyper::body::Incoming>| {
        let door = Arc::clone(&door);
        async move { Ok::<_, std::convert::Infallible>(door.request(request.map(Body::new)).await) }
    });
    let mut server = auto::Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.slow)
        .max_buf_size(limits.head.max(8192));
    server.http2().timer(TokioTimer::new()).max_header_list_size(limits.head as u32);
    let io = TokioIo::new(tokio::io::join(lent.clone(), write));
    let ended = {
        let serving = server.serve_connection(io, TowerToHyperService::new(service));
        tokio::pin!(serving);
        tokio::select! {
            biased;
            ended = serving.as_mut() => ended,
            // What has come by then is read before it is told to take nothing more.
            () = async { drop(stop.wait_for(|s| *s).await); yield_now().await } => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        }
    };
    if let Err(e) = ended {
        debug!(?peer, "http: {e}");
    }
    // With the server the writing side was shut.
    linger(&mut lent, LINGER_LIMITS.0, LINGER_LIMITS.1).await;
}

/// Serves HTTP/1.1 and HTTP/2 without TLS until `stop` says so; what has come by then is still let in and answered, and
/// connections then end after the answers under way.
pub(crate) async fn serve(listener: TcpListener, door: Door, stop: watch::Receiver<bool>) {
    let (most, mut stopped) = (door.limits.connections, stop.clone());
    let (room, turning) = (Arc::new(Semaphore::new(most)), Arc::new(Semaphore::new(most.max(16))));
    let doors = Doors { door: Arc::new(door), room, turning, stop };
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|s| *s) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => doors.let_in(stream),
            Err(e) => {
                warn!("a connection could not be accepted: {e}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    yield_now().await;
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        doors.let_in(stream);
    }
}

/// What the door itself refuses: nothing was taken.
struct Refused {
    status: StatusCode,
    name: &'static str,
    detail: String,
}

fn refused(status: u16, name: &'static str, detail: impl Into<String>) -> Refused {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Refused { status, name, detail: detail.into() }
}

/// An RFC 9457 problem.
fn problem(status: StatusCode, name: &str, detail: &str, rpc: Option<&str>, retry_after: Time) -> Response {
    let title = match name {
        "denied" => "Denied: repeating it is harmless",
        "aborted" => "Aborted: it may have run, nothing is promised",
        _ => "Refused: nothing was taken",
    };
    let mut told = json!({"type": format!("/problems/{name}"), "title": title, "status": status.as_u16(), "detail": detail});
    if let Some(rpc) = rpc {
        told["rpc"] = json!(rpc);
    }
    let mut response = Response::new(Body::from(told.to_string()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if retry_after > Time(0) {
        // Whole seconds, rounded up: earlier than advised would be too early.
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after.0.div_ceil(10_000)));
    }
    response
}

fn text<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, Refused> {
    let mut all = headers.get_all(name).iter();
    let Some(first) = all.next() else { return Ok(None) };
    if all.next().is_some() {
        return Err(refused(400, "malformed", format!("header {name} stands twice")));
    }
    first.to_str().map(Some).map_err(|_| refused(400, "malformed", format!("header {name} is no text")))
}

/// A request's head as the documents allow it.
struct Head<'a> {
    method: &'a Described,
    model: String,
    left: Time,
    token: Option<String>,
    tenant: String,
}

/// So often an RPC is read anew because other methods came into force on its way.
const READ_ANEW: usize = 8;

impl Door {
    fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.in_force.borrow())
    }

    async fn request(self: Arc<Self>, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let in_force = self.in_force();
        if let (&Method::GET, Some(document)) = (&parts.method, document(&in_force, &parts)) {
            return document;
        }
        // The head is looked at first: a body that is refused anyway is not read.
        let done = match self.head(&in_force, &parts) {
            Err(refused) => Err(refused),
            Ok(_) => match self.body(body).await {
                Err(refused) => Err(refused),
                Ok(body) => self.rpc(&parts, body).await,
            },
        };
        let mut response = done.unwrap_or_else(|r| problem(r.status, r.name, &r.detail, None, Time(0)));
        self.notices(&parts, response.headers_mut());
        response
    }

    /// Asks the engine, and turns the one final answer into a response.
    async fn rpc(&self, parts: &request::Parts, body: Bytes) -> Result<Response, Refused> {
        for _ in 0..READ_ANEW {
            let in_force = self.in_force();
            let head = self.head(&in_force, parts)?;
            let media = head.method.answer.media_type();
            let (reply, told) = oneshot::channel();
            let ask = ask(&in_force, head, body.clone(), reply)?;
            let id = ClientId(self.next.fetch_add(1, Ordering::Relaxed));
            // From here on it is told of, should its client go, and not taken any more.
            let mut waits = Waits { id, door: self, told: Some(told) };
            if self.asks.send(Note::Ask(id, ask)).await.is_err() {
                return Err(refused(429, "full", "this scheduler ends"));
            }
            return match waits.reply().await {
                Ok(Reply::Changed) => continue,
                Ok(Reply::Final { answer: Answer::Ok, body, .. }) => {
                    let mut response = Response::new(Body::from(body));
                    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
                    Ok(response)
                }
                Ok(Reply::Final { answer, rpc, why, retry_after, .. }) => {
                    let denied = answer == Answer::Denied;
                    let (status, name) = if denied {
                        (StatusCode::SERVICE_UNAVAILABLE, "denied")
                    } else {
                        (StatusCode::BAD_GATEWAY, "aborted")
                    };
                    Ok(problem(status, name, &why, Some(&rpc), retry_after))
                }
                Ok(Reply::Refused(why)) => {
                    let detail = crate::refusal_name(why);
                    Err(match why {
                        Refusal::NoSuchMethod => refused(404, "unknown", detail),
                        Refusal::Withdrawn => refused(410, "withdrawn", detail),
                        Refusal::Full | Refusal::Stopping => refused(429, "full", detail),
                        _ => refused(400, "malformed", detail),
                    })
                }
                // The engine has gone with the RPC: it may have run.
                Err(_) => {
                    Ok(problem(StatusCode::BAD_GATEWAY, "aborted", "the scheduler ended", None, Time(0)))
                }
            };
        }
        Err(refused(429, "full", "the methods in force change too fast"))
    }

    /// Reads a request's head; nothing is taken yet.
    fn head<'a>(&self, in_force: &'a InForce, parts: &request::Parts) -> Result<Head<'a>, Refused> {
        let path = parts.uri.path();
        let found = in_force.prepared.routes.find(path);
        let method = found.as_ref().and_then(|(name, _)| in_force.prepared.catalogue.method(name));
        let (Some((_, stood)), Some(method)) = (found, method) else {
            let gone = method_in(path).and_then(|name| in_force.withdrawn.ago(self.clock.now(), name));
            return Err(match gone {
                Some(_) => refused(410, "withdrawn", "the method was withdrawn"),
                None => refused(404, "unknown", "no such method"),
            });
        };
        if parts.method != Method::POST {
            return Err(refused(405, "verb", "methods are called by POST"));
        }
        if parts.uri.query().is_some() {
            return Err(refused(400, "malformed", "no query is taken"));
        }
        let model = percent_decode_str(stood.first().copied().unwrap_or("")).decode_utf8();
        let model =
            model.map_err(|_| refused(400, "malformed", "the model's name is not UTF-8"))?.into_owned();
        let left = match text(&parts.headers, "curlewpoint-time-left")? {
            None => Time::from_ms(method.deadline),
            Some(v) => match v.parse::<u64>() {
                Ok(ms) if ms >= 1 && ms as f64 <= method.deadline => Time(ms * 10),
                _ => {
                    let what = format!("Curlewpoint-Time-Left: '{v}' is not 1 to {} ms", method.deadline);
                    return Err(refused(400, "malformed", what));
                }
            },
        };
        let token = text(&parts.headers, "idempotency-key")?.map(str::to_owned);
        if method.effect == Effect::Tokened && token.as_deref().is_none_or(str::is_empty) {
            return Err(refused(400, "malformed", "an Idempotency-Key is needed"));
        }
        let tenant = text(&parts.headers, "curlewpoint-tenant")?.unwrap_or("").to_owned();
        let media =
            text(&parts.headers, "content-type")?.unwrap_or("").split(';').next().unwrap_or("").trim();
        let wanted = method.request.media_type();
        if !media.eq_ignore_ascii_case(wanted) {
            return Err(refused(415, "media-type", format!("'{media}' is not {wanted}")));
        }
        Ok(Head { method, model, left, token, tenant })
    }

    /// A body within its bounds of length and of time.
    async fn body(&self, body: Body) -> Result<Bytes, Refused> {
        let whole: Pin<Box<dyn Future<Output = _> + Send>> =
            Box::pin(Limited::new(body, self.limits.body).collect());
        match timeout(self.limits.slow, whole).await {
            Err(_) => {
                Err(refused(408, "slow", format!("the body did not come within {:?}", self.limits.slow)))
            }
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                Err(refused(413, "too-long", format!("over {} bytes", self.limits.body)))
            }
            Ok(Err(e)) => Err(refused(400, "malformed", e.to_string())),
            Ok(Ok(whole)) => Ok(whole.to_bytes()),
        }
    }

    /// Every answer of a method that goes, or has gone of late, says so in its headers.
    fn notices(&self, parts: &request::Parts, headers: &mut HeaderMap) {
        let (in_force, Some(name)) = (self.in_force(), method_in(parts.uri.path())) else { return };
        let (deprecated, sunset) = match in_force.prepared.catalogue.method(name) {
            Some(m) => (m.deprecated, m.sunset.map(|s| UNIX_EPOCH + Duration::from_secs(s))),
            None => {
                let ago = in_force.withdrawn.ago(self.clock.now(), name);
                (None, ago.map(|ago| SystemTime::now() - Duration::from_micros(ago.0 * 100)))
            }
        };
        if let Some(Ok(day)) = deprecated.map(|d| HeaderValue::from_str(&format!("@{d}"))) {
            headers.insert("deprecation", day);
        }
        if let Some(Ok(day)) = sunset.map(|s| HeaderValue::from_str(&httpdate::fmt_http_date(s))) {
            headers.insert("sunset", day);
        }
    }
}

fn ask(in_force: &InForce, head: Head, body: Bytes, reply: oneshot::Sender<Reply>) -> Result<Ask, Refused> {
    let Head { method, model, left, token, tenant } = head;
    method.request.check(&body).map_err(|why| match why {
        Misfit::Unreadable(why) => refused(400, "malformed", why),
        Misfit::Unfit(why) => refused(422, "unfit", why),
    })?;
    let (release, method) = (in_force.release, method.name.clone());
    Ok(Ask { release, method, model, tenant, left, token, body, reply })
}

fn document(in_force: &InForce, parts: &request::Parts) -> Option<Response> {
    let (_, tag, text) = in_force.prepared.documents.iter().find(|d| d.0 == parts.uri.path())?;
    let known = parts.headers.get(header::IF_NONE_MATCH).and_then(|v| v.to_str().ok());
    let same = known.is_some_and(|k| k.split(',').any(|t| t.trim() == tag || t.trim() == "*"));
    let mut response = Response::new(if same { Body::empty() } else { Body::from(text.clone()) });
    if same {
        *response.status_mut() = StatusCode::NOT_MODIFIED;
    }
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(tag) = HeaderValue::from_str(tag) {
        headers.insert(header::ETAG, tag);
    }
    Some(response)
}

/// While an RPC waits for its answer, its client may go away: hyper then drops the request, and this with it.
struct Waits<'a> {
    id: ClientId,
    door: &'a Door,
    told: Option<oneshot::Receiver<Reply>>,
}

impl Waits<'_> {
    async fn reply(&mut self) -> Result<Reply, oneshot::error::RecvError> {
        let reply = match &mut self.told {
            Some(told) => told.await,
            // Asked for once only.
            None => std::future::pending().await,
        };
        self.told = None;
        reply
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        // First nobody listens any more, then it is told: where the going overtakes the RPC, that is not taken.
        let Some(told) = self.told.take() else { return };
        drop(told);
        if let Err(TrySendError::Full(going)) = self.door.endings.try_send(Note::ClientOut(self.id, None, 0))
        {
            let (endings, runtime) = (self.door.endings.clone(), tokio::runtime::Handle::try_current());
            // Without a runtime all ends.
            if let Ok(runtime) = runtime {
                self.door.tasks.spawn_on(async move { drop(endings.send(going).await) }, &runtime);
            }
        }
    }
}

#[cfg(test)]
mod tests;
