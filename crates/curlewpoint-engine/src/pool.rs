use std::collections::{BTreeMap, VecDeque};

use curlewpoint::types::{Outcome, Time, WorkerId};
use oorandom::Rand64;

use crate::ids::{ConnId, RequestId};

/// The pool's interface to connections.
pub trait PoolDriver<P> {
    /// Opens a connection; `Pool::conn_up` or `Pool::conn_failed` follows within the dial time-out.
    fn dial(&mut self, conn: ConnId, worker: WorkerId, address: &str);
    /// Queues an upstream request in a connection's outbox. Returns false if the outbox is full or the connection
    /// broke.
    fn send(&mut self, conn: ConnId, request: RequestId, payload: &P) -> bool;
    /// Withdraws a request that was queued. Returns true if no byte of it was or will be handed to the kernel.
    fn withdraw(&mut self, conn: ConnId, request: RequestId) -> bool;
    /// Withdraws a request because its worker drains: an attempt that was begun may finish, a load order may not.
    fn withdraw_on_drain(&mut self, conn: ConnId, request: RequestId) -> bool {
        self.withdraw(conn, request)
    }
    /// Tells the worker that the result of a request that was begun is no longer needed.
    fn send_withdraw(&mut self, conn: ConnId, request: RequestId);
    fn close(&mut self, conn: ConnId);
    /// Reports an upstream request that ends on this side, without an answer.
    fn ended_locally(&mut self, request: RequestId, outcome: Outcome);
}

#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Requests open at a time on one connection.
    pub requests_per_conn: usize,
    /// Connections to one worker.
    pub conns_per_worker: usize,
    /// Connections to all workers together, which bounds the descriptors used for them.
    pub total_conns: usize,
    /// A connection without open requests is closed after this time.
    pub idle_timeout: Time,
    /// The pause after a first failed dial, and the maximum up to which it doubles.
    pub back_off: (Time, Time),
}

/// Open requests on each of a worker's connections at which a spare one is opened: normally, and for a while after a
/// connection broke with open requests. A handshake costs the worker time: with 300 schedulers, one for every second
/// attempt amounts to thousands. After a break, as by unreadable answers, the limited loss is worth that cost.
const SPARE_THRESHOLD: (usize, usize) = (4, 1);
/// Time after such a break during which the lower threshold applies (one minute).
const BREAK_EXPECTED_FOR: Time = Time(600_000);
/// If a request is withdrawn after at least this time (1 s), and nothing was received on its connection since it was
/// sent, the connection is drained. Longer than a warm answer takes.
const SILENCE_LIMIT: Time = Time(10_000);

#[derive(Clone, Copy, PartialEq)]
enum State {
    Dialling,
    Up,
    /// Accepts no new requests, and is closed once it has no open ones.
    Draining,
}

/// The connections on which a request may be sent.
#[derive(Clone, Copy)]
enum Usable {
    /// All but bypassed ones.
    Responsive,
    Any,
    /// Those established by this time.
    EstablishedBy(Time),
}

struct Conn {
    worker: WorkerId,
    state: State,
    /// Open requests, and when each was sent.
    open: BTreeMap<RequestId, Time>,
    idle_since: Time,
    /// When it was established.
    up_since: Time,
    /// When it last received an answer, or was established.
    last_heard: Time,
    /// It has been silent since a request was sent on it, while another connection answered a later request. Such a
    /// connection is used only if there is no other.
    bypassed: bool,
}

impl Conn {
    fn is_established_by(&self, time: Time) -> bool {
        self.state != State::Dialling && self.up_since <= time
    }

    /// The send time of the oldest request since the last answer, if any.
    fn silent_since(&self) -> Option<Time> {
        self.open.values().filter(|sent| **sent >= self.last_heard).min().copied()
    }
}

struct WorkerConns<P> {
    address: String,
    /// The start time of the worker process that the connections are to.
    start: Time,
    conns: Vec<ConnId>,
    /// Requests that wait for a connection being dialled.
    waiting: VecDeque<(RequestId, P)>,
    /// Failed dials since the last success.
    failures: u32,
    /// No dial is made before this time.
    not_before: Time,
    /// The last dial failed for a reason on this side.
    failed_locally: bool,
    gone: bool,
}

/// Assigns upstream requests to connections: to the one with the fewest open requests, else to one being dialled,
/// else to a new one up to a limit. No request waits for long: dials have a time-out, and a request for which there
/// can be no connection ends at once, as `ConnectFailed` if the worker cannot be reached and as `Full` if its
/// connections are full.
pub struct Pool<P> {
    limits: PoolLimits,
    rng: Rand64,
    next_conn: u64,
    workers: BTreeMap<WorkerId, WorkerConns<P>>,
    conns: BTreeMap<ConnId, Conn>,
    /// The worker of each open request, and its connection unless it waits for one.
    locations: BTreeMap<RequestId, (WorkerId, Option<ConnId>)>,
    /// Until this time the lower spare threshold applies.
    break_expected_until: Time,
}

impl<P> Pool<P> {
    pub fn new(limits: PoolLimits, seed: u128) -> Pool<P> {
        let (workers, conns, locations) = Default::default();
        let break_expected_until = Time(0);
        Pool { limits, rng: Rand64::new(seed), next_conn: 0, workers, conns, locations, break_expected_until }
    }

    pub fn conn_count(&self) -> usize {
        self.conns.len()
    }

    /// The sizes of the collections kept, by kind.
    pub fn sizes(&self) -> [(&'static str, usize); 3] {
        let (open, dialled) = (self.locations.len(), self.workers.len());
        [("connections", self.conns.len()), ("requests open", open), ("workers dialled", dialled)]
    }

    /// The open requests and their workers.
    pub fn open_requests(&self) -> impl Iterator<Item = (RequestId, WorkerId)> + '_ {
        self.locations.iter().map(|(request, (worker, _))| (*request, *worker))
    }

    /// Sets a worker's address and start time from the list. If either changes, the old connections are drained: a
    /// request sent on one to a machine that has vanished would never be answered.
    pub fn set_worker_address(
        &mut self, now: Time, driver: &mut impl PoolDriver<P>, worker: WorkerId, address: &str, start: Time,
    ) {
        let entry = self.workers.entry(worker).or_insert_with(|| WorkerConns {
            address: String::new(),
            start,
            conns: Vec::new(),
            waiting: VecDeque::new(),
            failures: 0,
            not_before: now,
            failed_locally: false,
            gone: false,
        });
        entry.gone = false;
        if entry.address != address || entry.start != start {
            (entry.address, entry.start) = (address.to_owned(), start);
            (entry.failures, entry.not_before, entry.failed_locally) = (0, now, false);
            for conn in entry.conns.clone() {
                self.drain_conn(driver, conn);
            }
        }
    }

    /// Withdraws the unsent requests of a worker that drains or is gone. If the worker does not read or a dial hangs,
    /// they could otherwise reach it after the drain grace. The cost is low, as withdrawn requests can go to another
    /// worker.
    pub fn withdraw_unsent(&mut self, now: Time, driver: &mut impl PoolDriver<P>, worker: WorkerId) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let conns = entry.conns.clone();
        for (request, _) in std::mem::take(&mut entry.waiting) {
            self.locations.remove(&request);
            driver.ended_locally(request, Outcome::NotSent);
        }
        for conn in conns {
            let open = self.conns.get(&conn).map(|c| c.open.clone()).unwrap_or_default();
            for request in open.into_keys() {
                if driver.withdraw_on_drain(conn, request) {
                    self.release(now, driver, request);
                    driver.ended_locally(request, Outcome::NotSent);
                }
            }
        }
    }

    /// Drains the connections of a worker that is no longer listed, and then forgets it.
    pub fn worker_gone(&mut self, now: Time, driver: &mut impl PoolDriver<P>, worker: WorkerId) {
        self.withdraw_unsent(now, driver, worker);
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        entry.gone = true;
        for conn in entry.conns.clone() {
            self.drain_conn(driver, conn);
        }
        self.forget(worker);
    }

    fn forget(&mut self, worker: WorkerId) {
        if self.workers.get(&worker).is_some_and(|w| w.gone && w.conns.is_empty() && w.waiting.is_empty()) {
            self.workers.remove(&worker);
        }
    }

    /// Stops sending new requests on a connection, and closes it once it has no open ones.
    pub fn drain_conn(&mut self, driver: &mut impl PoolDriver<P>, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn).filter(|c| c.state == State::Up) else { return };
        c.state = State::Draining;
        self.close_if_done(driver, conn);
    }

    fn close_if_done(&mut self, driver: &mut impl PoolDriver<P>, conn: ConnId) {
        let Some(c) = self.conns.get(&conn).filter(|c| c.state == State::Draining && c.open.is_empty())
        else {
            return;
        };
        let worker = c.worker;
        driver.close(conn);
        self.drop_conn(conn, worker);
    }

    fn drop_conn(&mut self, conn: ConnId, worker: WorkerId) {
        self.conns.remove(&conn);
        if let Some(entry) = self.workers.get_mut(&worker) {
            entry.conns.retain(|c| *c != conn);
        }
        self.forget(worker);
    }

    /// Whether a connection to the worker that was established by `established_by` is up.
    pub fn is_connected_since(&self, worker: WorkerId, established_by: Time) -> bool {
        let conns = self.workers.get(&worker).map(|entry| entry.conns.as_slice()).unwrap_or_default();
        conns.iter().any(|conn| self.conns[conn].is_established_by(established_by))
    }

    /// When the connection that a request is open on was established; none if it waits for one.
    pub fn connection_established_at(&self, request: RequestId) -> Option<Time> {
        let (_, Some(conn)) = self.locations.get(&request)? else { return None };
        Some(self.conns.get(conn)?.up_since)
    }

    fn is_usable(&self, conn: &Conn, usable: Usable) -> bool {
        let has_room = conn.state == State::Up && conn.open.len() < self.limits.requests_per_conn;
        has_room
            && match usable {
                Usable::Responsive => !conn.bypassed,
                Usable::Any => true,
                Usable::EstablishedBy(time) => conn.is_established_by(time),
            }
    }

    /// Sends a request on a connection that was established by `established_by`, if there is one, else as `request`.
    pub fn request_on_established(
        &mut self, now: Time, driver: &mut impl PoolDriver<P>, worker: WorkerId, request: RequestId,
        payload: P, established_by: Time,
    ) {
        let usable = Usable::EstablishedBy(established_by);
        if !self.send_on_open(now, driver, worker, request, &payload, usable) {
            self.request(now, driver, worker, request, payload);
        }
    }

    /// Sends a request to a worker on an open connection, or queues it for one being dialled.
    pub fn request(
        &mut self, now: Time, driver: &mut impl PoolDriver<P>, worker: WorkerId, request: RequestId,
        payload: P,
    ) {
        if self.send_on_open(now, driver, worker, request, &payload, Usable::Responsive) {
            return self.open_spare(now, driver, worker);
        }
        let Some(entry) = self.workers.get_mut(&worker).filter(|w| !w.gone) else {
            return driver.ended_locally(request, Outcome::ConnectFailed);
        };
        let dialling = entry.conns.iter().filter(|c| self.conns[*c].state == State::Dialling).count();
        if entry.waiting.len() >= dialling * self.limits.requests_per_conn {
            let blocked = entry.conns.len() >= self.limits.conns_per_worker || now < entry.not_before;
            let unreachable = entry.conns.is_empty() && !entry.failed_locally && now < entry.not_before;
            if blocked || !self.make_room(driver) {
                // If no other connection is possible, a bypassed one is used.
                if !self.send_on_open(now, driver, worker, request, &payload, Usable::Any) {
                    driver.ended_locally(
                        request,
                        if unreachable { Outcome::ConnectFailed } else { Outcome::Full },
                    );
                }
                return;
            }
            self.dial(now, driver, worker);
        }
        if let Some(entry) = self.workers.get_mut(&worker) {
            entry.waiting.push_back((request, payload));
        }
        self.locations.insert(request, (worker, None));
    }

    /// Makes room for one more connection, by closing the one idle for longest if the total limit is reached. Returns
    /// false if none is idle. This bounds the descriptors in a fleet with many workers, at the cost of a handshake if
    /// the closed connection is needed again.
    fn make_room(&mut self, driver: &mut impl PoolDriver<P>) -> bool {
        if self.conns.len() < self.limits.total_conns {
            return true;
        }
        let idle = self.conns.iter().filter(|(_, c)| c.state == State::Up && c.open.is_empty());
        let Some((&longest_idle, _)) = idle.min_by_key(|(_, c)| c.idle_since) else { return false };
        self.drain_conn(driver, longest_idle);
        true
    }

    fn dial(&mut self, now: Time, driver: &mut impl PoolDriver<P>, worker: WorkerId) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        self.next_conn += 1;
        let conn = ConnId(self.next_conn);
        entry.conns.push(conn);
        let (state, open) = (State::Dialling, BTreeMap::new());
        let (idle_since, up_since, last_heard, bypassed) = (now, now, now, false);
        self.conns.insert(conn, Conn { worker, state, open, idle_since, up_since, last_heard, bypassed });
        driver.dial(conn, worker, &entry.address);
    }

    /// Opens a spare connection if each one to the worker has enough open requests. Otherwise the end of one
    /// connection, as by an unreadable answer, or one that stalls, would take all attempts to the worker with it, and
    /// those that may have run would be lost or run again. The cost is handshakes, and descriptors up to the limit.
    fn open_spare(&mut self, now: Time, driver: &mut impl PoolDriver<P>, worker: WorkerId) {
        let Some(entry) = self.workers.get(&worker).filter(|w| !w.gone && now >= w.not_before) else {
            return;
        };
        let threshold = if now < self.break_expected_until {
            SPARE_THRESHOLD.1
        } else {
            SPARE_THRESHOLD.0.min(self.limits.requests_per_conn)
        };
        let busy = |c: &ConnId| match self.conns[c].state {
            State::Dialling => false,
            State::Up => self.conns[c].open.len() >= threshold || self.conns[c].bypassed,
            State::Draining => true,
        };
        let room =
            entry.conns.len() < self.limits.conns_per_worker && self.conns.len() < self.limits.total_conns;
        if room && entry.conns.iter().all(busy) {
            self.dial(now, driver, worker);
        }
    }

    /// Sends a request on the usable connection with the fewest open requests that accepts it; on a bypassed one only if
    /// there is no other.
    fn send_on_open(
        &mut self, now: Time, driver: &mut impl PoolDriver<P>, worker: WorkerId, request: RequestId,
        payload: &P, usable: Usable,
    ) -> bool {
        let Some(entry) = self.workers.get(&worker) else { return false };
        let mut candidates: Vec<ConnId> =
            entry.conns.iter().copied().filter(|c| self.is_usable(&self.conns[c], usable)).collect();
        candidates.sort_by_key(|c| (self.conns[c].bypassed, self.conns[c].open.len()));
        for conn in candidates {
            if driver.send(conn, request, payload) {
                let c = self.conns.get_mut(&conn).expect("it is among the worker's connections");
                c.open.insert(request, now);
                c.idle_since = now;
                self.locations.insert(request, (worker, Some(conn)));
                return true;
            }
        }
        false
    }

    /// A dial succeeded: requests that wait for it are sent.
    pub fn conn_up(&mut self, now: Time, driver: &mut impl PoolDriver<P>, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn).filter(|c| c.state == State::Dialling) else { return };
        (c.state, c.idle_since, c.up_since, c.last_heard) = (State::Up, now, now, now);
        let worker = c.worker;
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        (entry.failures, entry.failed_locally) = (0, false);
        let mut waiting = std::mem::take(&mut entry.waiting);
        while let Some((request, payload)) = waiting.pop_front() {
            if !self.send_on_open(now, driver, worker, request, &payload, Usable::Responsive) {
                waiting.push_front((request, payload));
                break;
            }
        }
        let entry = self.workers.get_mut(&worker).expect("it has a connection");
        entry.waiting = waiting;
        if entry.gone {
            self.drain_conn(driver, conn);
        }
        self.end_waiting(driver, worker, Outcome::Full);
    }

    /// A dial failed or timed out. Further dials are delayed by an exponential back-off with jitter, so that
    /// schedulers do not all retry a dead worker at the same time. `local` means that it failed for a reason on this
    /// side, such as a lack of descriptors, and says nothing about the worker.
    pub fn conn_failed(&mut self, now: Time, driver: &mut impl PoolDriver<P>, conn: ConnId, local: bool) {
        let Some(c) = self.conns.get(&conn) else { return };
        let worker = c.worker;
        if let Some(entry) = self.workers.get_mut(&worker) {
            let (first, max) = self.limits.back_off;
            let pause = Time(first.0 << entry.failures.min(20)).min(max).ms();
            entry.failures += 1;
            entry.failed_locally = local;
            entry.not_before = now + Time::from_ms(pause * (0.5 + 0.5 * self.rng.rand_float()));
        }
        self.drop_conn(conn, worker);
        self.end_waiting(driver, worker, if local { Outcome::Full } else { Outcome::ConnectFailed });
    }

    /// Ends the waiting requests of a worker unless a dial is still under way.
    fn end_waiting(&mut self, driver: &mut impl PoolDriver<P>, worker: WorkerId, outcome: Outcome) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        if entry.conns.iter().any(|c| self.conns[c].state == State::Dialling) {
            return;
        }
        for (request, _) in std::mem::take(&mut entry.waiting) {
            self.locations.remove(&request);
            driver.ended_locally(request, outcome);
        }
        self.forget(worker);
    }

    /// A connection broke: requests not begun on it provably never ran, the others may have.
    pub fn conn_broken(&mut self, now: Time, driver: &mut impl PoolDriver<P>, conn: ConnId) {
        let Some(c) = self.conns.get(&conn) else { return };
        let (worker, open) = (c.worker, c.open.clone());
        if !open.is_empty() {
            self.break_expected_until = now + BREAK_EXPECTED_FOR;
        }
        for request in open.into_keys() {
            self.locations.remove(&request);
            let unsent = driver.withdraw(conn, request);
            driver.ended_locally(request, if unsent { Outcome::NotSent } else { Outcome::Reset });
        }
        self.drop_conn(conn, worker);
        self.end_waiting(driver, worker, Outcome::ConnectFailed);
    }

    /// Whether a request is open on this connection.
    pub fn is_open_on(&self, request: RequestId, conn: ConnId) -> bool {
        self.locations.get(&request).is_some_and(|(_, location)| *location == Some(conn))
    }

    /// Calls `send` with an established connection, for messages without an answer; does nothing if there is none.
    pub fn with_open_conn<D: PoolDriver<P>>(
        &mut self, now: Time, driver: &mut D, worker: WorkerId, send: impl FnOnce(&mut D, ConnId),
    ) {
        let Some(entry) = self.workers.get(&worker) else { return };
        if let Some(conn) = entry.conns.iter().find(|c| self.conns[*c].state == State::Up) {
            send(driver, *conn);
            self.conns.get_mut(conn).into_iter().for_each(|c| c.idle_since = now);
        }
    }

    /// A request was answered.
    pub fn answered(&mut self, now: Time, driver: &mut impl PoolDriver<P>, request: RequestId) {
        if let Some((worker, Some(conn))) = self.locations.get(&request).copied() {
            self.record_answer(now, worker, conn, request);
        }
        self.release(now, driver, request);
    }

    /// Records an answer on a connection. Other connections to the worker that have been silent since before the
    /// answered request was sent are bypassed until they receive something. This detects a connection that stays up
    /// but delivers nothing, or is behind a slow path, before a request on it times out. A connection that only
    /// carries slow requests, such as loads, may be bypassed too; it is used again once it has answered.
    fn record_answer(&mut self, now: Time, worker: WorkerId, conn: ConnId, request: RequestId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        (c.last_heard, c.bypassed) = (now, false);
        let Some(sent) = c.open.get(&request).copied() else { return };
        for other in self.workers.get(&worker).map(|w| w.conns.as_slice()).unwrap_or_default() {
            if let Some(c) = self.conns.get_mut(other).filter(|_| *other != conn) {
                c.bypassed |= c.silent_since().is_some_and(|since| since < sent);
            }
        }
    }

    fn release(&mut self, now: Time, driver: &mut impl PoolDriver<P>, request: RequestId) {
        let Some((_, Some(conn))) = self.locations.remove(&request) else { return };
        if let Some(c) = self.conns.get_mut(&conn) {
            c.open.remove(&request);
            c.idle_since = now;
        }
        self.close_if_done(driver, conn);
    }

    /// Withdraws a request. Returns true if it was withdrawn before send, so that it provably never ran.
    pub fn withdraw(&mut self, now: Time, driver: &mut impl PoolDriver<P>, request: RequestId) -> bool {
        match self.locations.get(&request).copied() {
            None => false,
            Some((worker, None)) => {
                self.locations.remove(&request);
                if let Some(entry) = self.workers.get_mut(&worker) {
                    entry.waiting.retain(|(waiting, _)| *waiting != request);
                }
                true
            }
            Some((_, Some(conn))) => {
                let unsent = driver.withdraw(conn, request);
                if !unsent {
                    driver.send_withdraw(conn, request);
                }
                let is_silent = |c: &Conn| {
                    let unanswered = |sent: &Time| c.last_heard <= *sent && now - *sent >= SILENCE_LIMIT;
                    c.bypassed || c.open.get(&request).is_some_and(unanswered)
                };
                let silent = self.conns.get(&conn).is_some_and(is_silent);
                self.release(now, driver, request);
                if silent {
                    // A connection that stays up but delivers nothing would be chosen first, as withdrawals reduce
                    // its open requests. If the worker itself is slow, the cost is only another dial.
                    self.drain_conn(driver, conn);
                }
                unsent
            }
        }
    }

    /// A queued request was not begun, and will not be: it provably never ran.
    pub fn end_unsent(&mut self, now: Time, driver: &mut impl PoolDriver<P>, request: RequestId) {
        self.release(now, driver, request);
        driver.ended_locally(request, Outcome::NotSent);
    }

    /// Closes connections that have been idle for the idle time-out.
    pub fn close_idle(&mut self, now: Time, driver: &mut impl PoolDriver<P>) {
        let is_idle = |c: &Conn| {
            c.state == State::Up && c.open.is_empty() && now - c.idle_since >= self.limits.idle_timeout
        };
        let idle: Vec<ConnId> = self.conns.iter().filter(|(_, c)| is_idle(c)).map(|(id, _)| *id).collect();
        for conn in idle {
            self.drain_conn(driver, conn);
        }
    }
}
