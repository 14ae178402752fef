//! Polls discovery over UDP and passes each response on as a complete endpoint list, with the time of its query.

use std::collections::VecDeque;
use std::future::{poll_fn, ready};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_link::{is_local_error, Clock, METRICS};
use curlewpoint_platform::dns::{self, DiscoveryError, MAX_RESPONSE_BYTES};
use curlewpoint_platform::EndpointListVisitor;
use oorandom::Rand64;
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::{debug, info};

use crate::events::Event;

/// Pause between a valid response and the next query.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for a response before the next query is sent.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// This many queries in a row without a response are repeated early, at least `MIN_RETRY_DELAY` after the one before.
const MAX_EARLY_RETRIES: u32 = 4;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
/// A query that the kernel does not accept within this time is dropped.
const SEND_TIMEOUT: Duration = Duration::from_millis(50);
/// After this many interrupts in a row a system call is repeated only once other tasks have run.
const MAX_INTERRUPTS: usize = 16;
/// Number of previous endpoints whose responses are still read.
const MAX_PREVIOUS_ENDPOINTS: usize = 3;
/// A line is logged after this many queries in a row without a valid response.
const FAILURES_BEFORE_LOG: u32 = 5;

/// A complete endpoint list from one response.
#[derive(Default)]
pub(crate) struct EndpointList {
    version: u64,
    endpoints: Vec<(String, String, Lifecycle, u64, String, String, f64)>,
}

impl EndpointListVisitor for EndpointList {
    fn begin_list(&mut self, version: u64, _: Option<u64>) {
        self.version = version;
    }

    fn endpoint(
        &mut self, name: &str, address: &str, lifecycle: Lifecycle, started: u64, zone: &str, cell: &str,
        size: f64,
    ) {
        self.endpoints.push((
            name.into(),
            address.into(),
            lifecycle,
            started,
            zone.into(),
            cell.into(),
            size,
        ));
    }

    fn end_list(&mut self) {}
}

impl EndpointList {
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn visit(&self, visitor: &mut impl EndpointListVisitor) {
        visitor.begin_list(self.version, None);
        for (name, address, lifecycle, started, zone, cell, size) in &self.endpoints {
            visitor.endpoint(name, address, *lifecycle, *started, zone, cell, *size);
        }
        visitor.end_list();
    }
}

/// A list, and when the query that it answers was sent: it holds every change made before that.
pub(crate) struct DiscoveryResponse {
    pub list: EndpointList,
    pub queried_at: Time,
}

/// Number of the latest queries whose responses are accepted: a late response is as valid as one in time.
const MAX_OPEN_QUERIES: usize = 32;

/// Counts failed queries in a row and logs when discovery becomes unavailable and available again.
struct Health {
    failures: u32,
}

impl Health {
    fn succeeded(&mut self) {
        if self.failures >= FAILURES_BEFORE_LOG {
            info!("discovery is available again after {} failed queries", self.failures);
        }
        self.failures = 0;
    }

    fn failed(&mut self, address: SocketAddr, reason: &str) {
        self.failures += 1;
        debug!("discovery: {reason}");
        if self.failures == FAILURES_BEFORE_LOG {
            info!("discovery at {address} gives no valid response, the current endpoint list stays in use: {reason}");
        }
    }
}

/// A query that was sent.
struct Query {
    id: u16,
    sent_at: Time,
}

/// A discovery address with a socket connected to it, and the latest queries, the newest last.
struct Endpoint {
    address: SocketAddr,
    socket: UdpSocket,
    queries: VecDeque<Query>,
}

impl Endpoint {
    async fn connect(address: SocketAddr) -> std::io::Result<Endpoint> {
        let socket = UdpSocket::bind("0.0.0.0:0").await?;
        socket.connect(address).await?;
        Ok(Endpoint { address, socket, queries: VecDeque::new() })
    }

    /// Sends a query. An interrupted send is repeated; one that would block is dropped after a timeout.
    async fn send_query(&mut self, id: u16, sent_at: Time) -> Result<(), String> {
        self.queries.push_back(Query { id, sent_at });
        if self.queries.len() > MAX_OPEN_QUERIES {
            self.queries.pop_front();
        }
        let query = dns::build_query(id).map_err(|error| error.to_string())?;
        for _ in 0..MAX_INTERRUPTS {
            match timeout(SEND_TIMEOUT, self.socket.send(&query)).await {
                Ok(Err(error)) if error.kind() == ErrorKind::Interrupted => METRICS.interrupted.add(1),
                Ok(sent) => return sent.map(drop).map_err(|error| error.to_string()),
                Err(_) => return Err("sending the query timed out".to_owned()),
            }
        }
        Err("sending the query was interrupted repeatedly".to_owned())
    }
}

/// The current discovery endpoint and the previous ones: responses in flight while the address changes are still
/// accepted.
#[derive(Default)]
struct Endpoints {
    current: Option<Endpoint>,
    previous: VecDeque<Endpoint>,
}

/// A datagram received from the current endpoint, or from a previous one by its index.
struct Datagram {
    bytes: usize,
    from_current: bool,
    index: usize,
}

impl Endpoints {
    fn is_current(&self, address: SocketAddr) -> bool {
        self.current.as_ref().is_some_and(|endpoint| endpoint.address == address)
    }

    /// Changes the current address. Without free descriptors the sockets of all other endpoints are closed.
    async fn move_to(&mut self, address: SocketAddr) -> std::io::Result<()> {
        let endpoint = match Endpoint::connect(address).await {
            Err(error) if is_local_error(&error) && (self.current.is_some() || !self.previous.is_empty()) => {
                (self.current, self.previous) = Default::default();
                Endpoint::connect(address).await
            }
            connected => connected,
        }?;
        self.previous.extend(self.current.replace(endpoint));
        if self.previous.len() > MAX_PREVIOUS_ENDPOINTS {
            self.previous.pop_front();
        }
        Ok(())
    }

    /// Receives the next datagram from any endpoint, the previous ones first. An error of a previous endpoint removes
    /// it; an error of the current one is returned.
    fn poll_recv(&mut self, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<std::io::Result<Datagram>> {
        let mut index = 0;
        while let Some(endpoint) = self.previous.get(index) {
            let mut buffer = ReadBuf::new(to);
            match endpoint.socket.poll_recv(cx, &mut buffer) {
                Poll::Ready(Ok(())) => {
                    return Poll::Ready(Ok(Datagram {
                        bytes: buffer.filled().len(),
                        from_current: false,
                        index,
                    }))
                }
                Poll::Ready(Err(error)) if error.kind() == ErrorKind::Interrupted => {
                    METRICS.interrupted.add(1)
                }
                Poll::Ready(Err(_)) => drop(self.previous.remove(index)),
                Poll::Pending => index += 1,
            }
        }
        let Some(endpoint) = &self.current else { return Poll::Pending };
        for _ in 0..MAX_INTERRUPTS {
            let mut buffer = ReadBuf::new(to);
            match std::task::ready!(endpoint.socket.poll_recv(cx, &mut buffer)) {
                Ok(()) => {
                    return Poll::Ready(Ok(Datagram {
                        bytes: buffer.filled().len(),
                        from_current: true,
                        index: 0,
                    }))
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => METRICS.interrupted.add(1),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// The queries sent to the endpoint that a datagram came from.
    fn queries(&self, datagram: &Datagram) -> Option<&VecDeque<Query>> {
        let endpoint =
            if datagram.from_current { self.current.as_ref() } else { self.previous.get(datagram.index) };
        endpoint.map(|endpoint| &endpoint.queries)
    }
}

/// When the next query is due. After a response the next query follows in `POLL_INTERVAL`. The first few queries
/// without a response are repeated after a multiple of the usual response time: a lost response may announce a drain,
/// whose grace period runs from when the response was sent.
struct Schedule {
    due: Instant,
    /// A query was sent and no response to it received.
    is_awaiting: bool,
    /// Number of queries in a row without a response.
    unanswered: u32,
    /// Response time of the last response.
    response_time: Duration,
}

impl Schedule {
    fn response_received(&mut self, response_time: Time) {
        let response_time = Duration::from_micros(response_time.0 * 100);
        *self = Schedule {
            due: Instant::now() + POLL_INTERVAL,
            is_awaiting: false,
            unanswered: 0,
            response_time,
        };
    }

    fn failed(&mut self) {
        (self.due, self.is_awaiting) = (Instant::now() + POLL_INTERVAL / 4, false);
    }

    fn query_sent(&mut self) {
        let early = (self.response_time * 3).clamp(MIN_RETRY_DELAY, RESPONSE_TIMEOUT);
        let wait = if self.unanswered < MAX_EARLY_RETRIES { early } else { RESPONSE_TIMEOUT };
        (self.due, self.is_awaiting, self.unanswered) = (Instant::now() + wait, true, self.unanswered + 1);
    }
}

/// Polls discovery at the address last configured. While it does not respond, the current endpoint list stays in use.
/// A response to any of the latest queries is accepted, also from a previous address: lists are versioned, and the
/// content of a response is valid from the moment it was sent, however late it arrives.
pub(crate) async fn follow(
    mut address_rx: watch::Receiver<SocketAddr>, event_tx: mpsc::Sender<Event>, mut rng: Rand64, clock: Clock,
) {
    let (mut health, mut endpoints, mut may_move) = (Health { failures: 0 }, Endpoints::default(), true);
    let mut buffer = vec![0; MAX_RESPONSE_BYTES];
    let mut schedule =
        Schedule { due: Instant::now(), is_awaiting: false, unanswered: 0, response_time: Duration::ZERO };
    // After a receive error nothing is received until this moment.
    let mut receive_from = Instant::now();
    // A query is due since then. What was received by then is read first.
    let mut query_due_at: Option<Time> = None;
    while !event_tx.is_closed() {
        let address = *address_rx.borrow_and_update();
        if !endpoints.is_current(address) {
            if endpoints.current.is_some() {
                info!("the discovery address is now {address}");
            }
            if let Err(error) = endpoints.move_to(address).await {
                health.failed(address, &format!("cannot open a socket: {error}"));
                let _ = event_tx.send(Event::DiscoveryQuery(clock.now())).await;
                sleep(POLL_INTERVAL / 4).await;
                continue;
            }
            schedule.failed();
            schedule.due = Instant::now();
        }
        tokio::select! {
            biased;
            // Before a change of address, so that datagrams already received are not left unread.
            received = poll_fn(|cx| endpoints.poll_recv(cx, &mut buffer)), if Instant::now() >= receive_from => { query_due_at = None; match received {
                Ok(datagram) => match parse(&buffer[..datagram.bytes], endpoints.queries(&datagram)) {
                    Ok((response, is_newest)) => {
                        health.succeeded();
                        if datagram.from_current && is_newest {
                            schedule.response_received(clock.now() - response.queried_at);
                        }
                        if event_tx.send(Event::DiscoveryResponse(response)).await.is_err() {
                            return;
                        }
                    }
                    Err(DiscoveryError::OtherQuery) => debug!("discovery: response to an unknown query"),
                    Err(_) if !datagram.from_current => {}
                    Err(error) => {
                        health.failed(address, &error.to_string());
                        schedule.failed();
                    }
                },
                Err(error) => {
                    health.failed(address, &error.to_string());
                    schedule.failed();
                    receive_from = schedule.due;
                }
            }},
            changed = address_rx.changed(), if may_move => may_move = changed.is_ok(),
            () = sleep_until(schedule.due), if query_due_at.is_none() => {
                // Lets the runtime ask the kernel again what was received, as this process may have stood still.
                yield_now().await;
                query_due_at = Some(clock.now());
            }
            at = ready(query_due_at), if query_due_at.is_some() => {
                query_due_at = None;
                let at = at.unwrap_or_default();
                if schedule.is_awaiting {
                    health.failed(address, "no response in time");
                }
                let id = rng.rand_u64() as u16;
                if let Some(endpoint) = &mut endpoints.current {
                    if let Err(reason) = endpoint.send_query(id, at).await {
                        health.failed(address, &reason);
                    }
                }
                schedule.query_sent();
                if event_tx.send(Event::DiscoveryQuery(at)).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Parses a response to one of these queries. Returns it, and whether the query is the newest.
fn parse(
    response: &[u8], queries: Option<&VecDeque<Query>>,
) -> Result<(DiscoveryResponse, bool), DiscoveryError> {
    let id = response.first_chunk().map_or(0, |id| u16::from_be_bytes(*id));
    let queries = queries.ok_or(DiscoveryError::OtherQuery)?;
    let index = queries.iter().rposition(|q| q.id == id).ok_or(DiscoveryError::OtherQuery)?;
    let mut list = EndpointList::default();
    dns::parse_response(response, id, &mut list)?;
    Ok((DiscoveryResponse { list, queried_at: queries[index].sent_at }, index + 1 == queries.len()))
}
