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
use curlewpoint_catalogue::{method_from_path, BodyError, Effect, Method as Described, Release};
use curlewpoint_engine::{Answer, ClientId, Refusal};
use curlewpoint_link::{is_ended_by_peer, linger, Clock, LINGER_LIMITS};
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

use crate::events::Event;
use crate::reload::ActiveMethods;

/// An RPC from HTTP or AMQP that has been checked against its method's description.
pub(crate) struct RpcRequest {
    /// The release under which it was checked.
    pub release: Release,
    pub method: String,
    pub model: String,
    pub tenant: String,
    pub time_left: Time,
    pub token: Option<String>,
    pub body: Bytes,
    pub reply_tx: oneshot::Sender<Reply>,
}

/// The result of an [`RpcRequest`].
pub(crate) enum Reply {
    Final {
        answer: Answer,
        rpc: String,
        reason: String,
        retry_after: Time,
        body: Bytes,
    },
    Refused(Refusal),
    /// A reload has replaced the methods since the request was checked. The RPC was not accepted, and has to be checked
    /// again.
    MethodsChanged,
}

#[derive(Clone, Copy)]
pub(crate) struct HttpLimits {
    pub connections: usize,
    pub body_bytes: usize,
    /// Time for receiving a request's headers, and again for its body.
    pub receive_timeout: Duration,
    pub header_bytes: usize,
}

/// First client id of HTTP requests. Clients of the native protocol have smaller ids.
const FIRST_CLIENT_ID: u64 = 1 << 63;

/// The context in which requests are served.
pub(crate) struct HttpEndpoint {
    pub active_methods: watch::Receiver<Arc<ActiveMethods>>,
    pub clock: Clock,
    pub limits: HttpLimits,
    /// For events that end something. The engine's task processes these before those of `request_tx`.
    pub priority_tx: mpsc::Sender<Event>,
    /// For events that start something.
    pub request_tx: mpsc::Sender<Event>,
    pub tasks: TaskTracker,
    next_client_id: AtomicU64,
}

impl HttpEndpoint {
    pub fn new(
        active_methods: watch::Receiver<Arc<ActiveMethods>>, clock: Clock, limits: HttpLimits,
        priority_tx: mpsc::Sender<Event>, request_tx: mpsc::Sender<Event>, tasks: TaskTracker,
    ) -> HttpEndpoint {
        HttpEndpoint {
            active_methods,
            clock,
            limits,
            priority_tx,
            request_tx,
            tasks,
            next_client_id: AtomicU64::new(FIRST_CLIENT_ID),
        }
    }
}

/// The reading half of a connection, shared with the HTTP server. After the server has finished, the connection is read
/// to its end.
#[derive(Clone)]
struct SharedReadHalf(Arc<Mutex<OwnedReadHalf>>);

impl SharedReadHalf {
    /// Whether the client has ended the connection, however much is still unread.
    fn is_ended_by_peer(&self) -> bool {
        is_ended_by_peer(self.0.lock().unwrap_or_else(PoisonError::into_inner).as_ref())
    }
}

impl AsyncRead for SharedReadHalf {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        // Hardly contended: the other owners read only after the server has finished.
        Pin::new(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner)).poll_read(cx, buf)
    }
}

/// Accepts a limited number of HTTP connections.
struct HttpListener {
    endpoint: Arc<HttpEndpoint>,
    connection_slots: Arc<Semaphore>,
    /// Limits the tasks that close connections over the limit without a reset.
    rejection_slots: Arc<Semaphore>,
    stop: watch::Receiver<bool>,
}

impl HttpListener {
    fn admit(&self, stream: TcpStream) {
        match Arc::clone(&self.connection_slots).try_acquire_owned() {
            Ok(slot) => {
                let serving = serve_connection(stream, Arc::clone(&self.endpoint), self.stop.clone(), slot);
                self.endpoint.tasks.spawn(serving);
            }
            Err(_) => {
                let (peer, limit) = (stream.peer_addr().ok(), self.endpoint.limits.connections);
                info!(?peer, "http: turned away, {limit} are connected");
                if let Ok(slot) = Arc::clone(&self.rejection_slots).try_acquire_owned() {
                    self.endpoint.tasks.spawn(reject(stream, slot));
                }
            }
        }
    }
}

async fn reject(stream: TcpStream, _slot: OwnedSemaphorePermit) {
    let (mut read, write) = stream.into_split();
    // Shuts the writing side down.
    drop(write);
    linger(&mut read, LINGER_LIMITS.0, LINGER_LIMITS.1).await;
}

async fn serve_connection(
    stream: TcpStream, endpoint: Arc<HttpEndpoint>, mut stop: watch::Receiver<bool>,
    _slot: OwnedSemaphorePermit,
) {
    let (peer, limits) = (stream.peer_addr().ok(), endpoint.limits);
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut shared_read = SharedReadHalf(Arc::new(Mutex::new(read)));
    let connection = shared_read.clone();
    let service = tower::service_fn(move |request: Request<hyper::body::Incoming>| {
        let endpoint = Arc::clone(&endpoint);
        // The server notices the end of a connection only behind the requests that it has read by then.
        let is_ended = connection.is_ended_by_peer();
        async move {
            Ok::<_, std::convert::Infallible>(match is_ended {
                true => client_has_left(),
                false => endpoint.respond(request.map(Body::new)).await,
            })
        }
    });
    let mut server = auto::Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.receive_timeout)
        .max_buf_size(limits.header_bytes.max(8192));
    server.http2().timer(TokioTimer::new()).max_header_list_size(limits.header_bytes as u32);
    let io = TokioIo::new(tokio::io::join(shared_read.clone(), write));
    let ended = {
        let serving = server.serve_connection(io, TowerToHyperService::new(service));
        tokio::pin!(serving);
        tokio::select! {
            biased;
            ended = serving.as_mut() => ended,
            // Requests that have arrived by then are read before the server is told to accept no more.
            () = async { drop(stop.wait_for(|s| *s).await); yield_now().await } => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        }
    };
    if let Err(e) = ended {
        debug!(?peer, "http: {e}");
    }
    // Dropping the server has shut the writing side down.
    linger(&mut shared_read, LINGER_LIMITS.0, LINGER_LIMITS.1).await;
}

/// Serves HTTP/1.1 and HTTP/2 without TLS until `stop` is set. Connections that have arrived by then are still admitted
/// and answered, and every connection ends after its pending answers.
pub(crate) async fn serve(listener: TcpListener, endpoint: HttpEndpoint, stop: watch::Receiver<bool>) {
    let (limit, mut stopped) = (endpoint.limits.connections, stop.clone());
    let (connection_slots, rejection_slots) =
        (Arc::new(Semaphore::new(limit)), Arc::new(Semaphore::new(limit.max(16))));
    let connections = HttpListener { endpoint: Arc::new(endpoint), connection_slots, rejection_slots, stop };
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|s| *s) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => connections.admit(stream),
            Err(e) => {
                warn!("a connection could not be accepted: {e}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    yield_now().await;
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        connections.admit(stream);
    }
}

/// A request that the endpoint itself refuses. No RPC was accepted.
struct Refused {
    status: StatusCode,
    /// Name of the problem type.
    name: &'static str,
    detail: String,
}

fn refused(status: u16, name: &'static str, detail: impl Into<String>) -> Refused {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Refused { status, name, detail: detail.into() }
}

/// The response to a request of a client that has ended its connection since.
fn client_has_left() -> Response {
    problem(StatusCode::BAD_REQUEST, "malformed", "the client has ended the connection", None, Time(0))
}

/// An RFC 9457 problem.
fn problem(status: StatusCode, name: &str, detail: &str, rpc: Option<&str>, retry_after: Time) -> Response {
    let title = match name {
        "denied" => "Denied: repeating it is harmless",
        "aborted" => "Aborted: it may have run, nothing is promised",
        _ => "Refused: nothing was taken",
    };
    let mut problem = json!({"type": format!("/problems/{name}"), "title": title, "status": status.as_u16(), "detail": detail});
    if let Some(rpc) = rpc {
        problem["rpc"] = json!(rpc);
    }
    let mut response = Response::new(Body::from(problem.to_string()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if retry_after > Time(0) {
        // Whole seconds, rounded up, so that the client does not retry too early.
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after.0.div_ceil(10_000)));
    }
    response
}

/// The value of a header that may occur once.
fn single_header<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, Refused> {
    let mut all = headers.get_all(name).iter();
    let Some(first) = all.next() else { return Ok(None) };
    if all.next().is_some() {
        return Err(refused(400, "malformed", format!("header {name} stands twice")));
    }
    first.to_str().map(Some).map_err(|_| refused(400, "malformed", format!("header {name} is no text")))
}

/// The parameters of an RPC from a request's path and headers.
struct RequestHead<'a> {
    method: &'a Described,
    model: String,
    time_left: Time,
    token: Option<String>,
    tenant: String,
}

/// Maximum number of times that an RPC is checked while reloads keep replacing the methods.
const MAX_CHECKS: usize = 8;

impl HttpEndpoint {
    fn active_methods(&self) -> Arc<ActiveMethods> {
        Arc::clone(&self.active_methods.borrow())
    }

    async fn respond(self: Arc<Self>, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let active_methods = self.active_methods();
        if let (&Method::GET, Some(document)) = (&parts.method, document(&active_methods, &parts)) {
            return document;
        }
        // The head is checked first, so that the body of a refused request is not read.
        let result = match self.parse_head(&active_methods, &parts) {
            Err(refused) => Err(refused),
            Ok(_) => match self.read_body(body).await {
                Err(refused) => Err(refused),
                Ok(body) => self.call(&parts, body).await,
            },
        };
        let mut response = result.unwrap_or_else(|r| problem(r.status, r.name, &r.detail, None, Time(0)));
        self.add_lifecycle_headers(&parts, response.headers_mut());
        response
    }

    /// Sends the RPC to the engine and turns its final answer into a response.
    async fn call(&self, parts: &request::Parts, body: Bytes) -> Result<Response, Refused> {
        for _ in 0..MAX_CHECKS {
            let active_methods = self.active_methods();
            let head = self.parse_head(&active_methods, parts)?;
            let media_type = head.method.answer.media_type();
            let (reply_tx, reply_rx) = oneshot::channel();
            let request = rpc_request(&active_methods, head, body.clone(), reply_tx)?;
            let id = ClientId(self.next_client_id.fetch_add(1, Ordering::Relaxed));
            // From here on the engine is notified if the client disconnects, and does not accept the RPC any more.
            let mut pending = PendingReply { id, endpoint: self, reply_rx: Some(reply_rx) };
            if self.request_tx.send(Event::Request(id, request)).await.is_err() {
                return Err(refused(429, "full", "this scheduler ends"));
            }
            return match pending.reply().await {
                Ok(Reply::MethodsChanged) => continue,
                Ok(Reply::Final { answer: Answer::Ok, body, .. }) => {
                    let mut response = Response::new(Body::from(body));
                    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
                    Ok(response)
                }
                Ok(Reply::Final { answer, rpc, reason, retry_after, .. }) => {
                    let denied = answer == Answer::Denied;
                    let (status, name) = if denied {
                        (StatusCode::SERVICE_UNAVAILABLE, "denied")
                    } else {
                        (StatusCode::BAD_GATEWAY, "aborted")
                    };
                    Ok(problem(status, name, &reason, Some(&rpc), retry_after))
                }
                Ok(Reply::Refused(refusal)) => {
                    let detail = crate::refusal_name(refusal);
                    Err(match refusal {
                        Refusal::NoSuchMethod => refused(404, "unknown", detail),
                        Refusal::Withdrawn => refused(410, "withdrawn", detail),
                        Refusal::Full | Refusal::Stopping => refused(429, "full", detail),
                        _ => refused(400, "malformed", detail),
                    })
                }
                // The engine ended while the RPC was open: it may have run.
                Err(_) => {
                    Ok(problem(StatusCode::BAD_GATEWAY, "aborted", "the scheduler ended", None, Time(0)))
                }
            };
        }
        Err(refused(429, "full", "the methods in force change too fast"))
    }

    /// Parses and checks the path and headers of a request.
    fn parse_head<'a>(
        &self, active_methods: &'a ActiveMethods, parts: &request::Parts,
    ) -> Result<RequestHead<'a>, Refused> {
        let path = parts.uri.path();
        let route = active_methods.prepared.routes.find(path);
        let method = route.as_ref().and_then(|(name, _)| active_methods.prepared.catalogue.method(name));
        let (Some((_, wildcards)), Some(method)) = (route, method) else {
            let withdrawn = method_from_path(path)
                .and_then(|name| active_methods.withdrawn.time_since(self.clock.now(), name));
            return Err(match withdrawn {
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
        let model = percent_decode_str(wildcards.first().copied().unwrap_or("")).decode_utf8();
        let model =
            model.map_err(|_| refused(400, "malformed", "the model's name is not UTF-8"))?.into_owned();
        let time_left = match single_header(&parts.headers, "curlewpoint-time-left")? {
            None => Time::from_ms(method.deadline),
            Some(v) => match v.parse::<u64>() {
                Ok(ms) if ms >= 1 && ms as f64 <= method.deadline => Time(ms * 10),
                _ => {
                    let detail = format!("Curlewpoint-Time-Left: '{v}' is not 1 to {} ms", method.deadline);
                    return Err(refused(400, "malformed", detail));
                }
            },
        };
        let token = single_header(&parts.headers, "idempotency-key")?.map(str::to_owned);
        if method.effect == Effect::Tokened && token.as_deref().is_none_or(str::is_empty) {
            return Err(refused(400, "malformed", "an Idempotency-Key is needed"));
        }
        let tenant = single_header(&parts.headers, "curlewpoint-tenant")?.unwrap_or("").to_owned();
        let media_type = single_header(&parts.headers, "content-type")?
            .unwrap_or("")
            .split(';')
            .next()
            .unwrap_or("")
            .trim();
        let expected = method.request.media_type();
        if !media_type.eq_ignore_ascii_case(expected) {
            return Err(refused(415, "media-type", format!("'{media_type}' is not {expected}")));
        }
        Ok(RequestHead { method, model, time_left, token, tenant })
    }

    /// Reads a body within the limits of length and time.
    async fn read_body(&self, body: Body) -> Result<Bytes, Refused> {
        let reading: Pin<Box<dyn Future<Output = _> + Send>> =
            Box::pin(Limited::new(body, self.limits.body_bytes).collect());
        match timeout(self.limits.receive_timeout, reading).await {
            Err(_) => Err(refused(
                408,
                "slow",
                format!("the body did not come within {:?}", self.limits.receive_timeout),
            )),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                Err(refused(413, "too-long", format!("over {} bytes", self.limits.body_bytes)))
            }
            Ok(Err(e)) => Err(refused(400, "malformed", e.to_string())),
            Ok(Ok(body)) => Ok(body.to_bytes()),
        }
    }

    /// Adds `Deprecation` and `Sunset` headers to responses of methods that will be or have recently been withdrawn.
    fn add_lifecycle_headers(&self, parts: &request::Parts, headers: &mut HeaderMap) {
        let (active_methods, Some(name)) = (self.active_methods(), method_from_path(parts.uri.path())) else {
            return;
        };
        let (deprecated, sunset) = match active_methods.prepared.catalogue.method(name) {
            Some(m) => (m.deprecated, m.sunset.map(|s| UNIX_EPOCH + Duration::from_secs(s))),
            None => {
                let ago = active_methods.withdrawn.time_since(self.clock.now(), name);
                (None, ago.map(|ago| SystemTime::now() - Duration::from_micros(ago.0 * 100)))
            }
        };
        if let Some(Ok(date)) = deprecated.map(|d| HeaderValue::from_str(&format!("@{d}"))) {
            headers.insert("deprecation", date);
        }
        if let Some(Ok(date)) = sunset.map(|s| HeaderValue::from_str(&httpdate::fmt_http_date(s))) {
            headers.insert("sunset", date);
        }
    }
}

fn rpc_request(
    active_methods: &ActiveMethods, head: RequestHead, body: Bytes, reply_tx: oneshot::Sender<Reply>,
) -> Result<RpcRequest, Refused> {
    let RequestHead { method, model, time_left, token, tenant } = head;
    method.request.check(&body).map_err(|misfit| match misfit {
        BodyError::Malformed(detail) => refused(400, "malformed", detail),
        BodyError::SchemaMismatch(detail) => refused(422, "unfit", detail),
    })?;
    let (release, method) = (active_methods.release, method.name.clone());
    Ok(RpcRequest { release, method, model, tenant, time_left, token, body, reply_tx })
}

/// The API document at a path, if there is one.
fn document(active_methods: &ActiveMethods, parts: &request::Parts) -> Option<Response> {
    let (_, tag, text) = active_methods.prepared.documents.iter().find(|d| d.0 == parts.uri.path())?;
    let cached = parts.headers.get(header::IF_NONE_MATCH).and_then(|v| v.to_str().ok());
    let unchanged = cached.is_some_and(|k| k.split(',').any(|t| t.trim() == tag || t.trim() == "*"));
    let mut response = Response::new(if unchanged { Body::empty() } else { Body::from(text.clone()) });
    if unchanged {
        *response.status_mut() = StatusCode::NOT_MODIFIED;
    }
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(tag) = HeaderValue::from_str(tag) {
        headers.insert(header::ETAG, tag);
    }
    Some(response)
}

/// Waits for the answer to an RPC. If the client disconnects in the meantime, hyper drops the request and with it this
/// value, which notifies the engine.
struct PendingReply<'a> {
    id: ClientId,
    endpoint: &'a HttpEndpoint,
    reply_rx: Option<oneshot::Receiver<Reply>>,
}

impl PendingReply<'_> {
    async fn reply(&mut self) -> Result<Reply, oneshot::error::RecvError> {
        let reply = match &mut self.reply_rx {
            Some(reply_rx) => reply_rx.await,
            // The reply is awaited only once.
            None => std::future::pending().await,
        };
        self.reply_rx = None;
        reply
    }
}

impl Drop for PendingReply<'_> {
    fn drop(&mut self) {
        // The receiver is closed before the engine is notified: if the notification overtakes the RPC, the engine sees
        // the closed channel and does not accept it.
        let Some(reply_rx) = self.reply_rx.take() else { return };
        drop(reply_rx);
        if let Err(TrySendError::Full(event)) =
            self.endpoint.priority_tx.try_send(Event::ClientDisconnected(self.id, 0))
        {
            let (priority_tx, runtime) =
                (self.endpoint.priority_tx.clone(), tokio::runtime::Handle::try_current());
            // Without a runtime the whole process is ending.
            if let Ok(runtime) = runtime {
                self.endpoint.tasks.spawn_on(async move { drop(priority_tx.send(event).await) }, &runtime);
            }
        }
    }
}

#[cfg(test)]
mod tests;
