use std::collections::{BTreeMap, VecDeque};

use curlewpoint::types::{Outcome, Time, WorkerId};
use oorandom::Rand64;

use crate::ids::{ConnId, RequestId};

/// What the pool acts through.
pub trait PoolDriver<P> {
    /// Opens a connection; `conn_up` or `conn_failed` follows, within the dial time-out.
    fn dial(&mut self, conn: ConnId, worker: WorkerId, address: &str);
    /// Hands an upstream request to a connection's outbox; false: the outbox is full or the connection has broken.
    fn send(&mut self, conn: ConnId, request: RequestId, payload: &P) -> bool;
    /// Takes back what was sent; true: not one byte of it was, or ever will be, handed to the kernel.
    fn withdraw(&mut self, conn: ConnId, request: RequestId) -> bool;
    /// The same as its worker drains: an attempt that is begun may finish, a load order may not.
    fn withdraw_on_drain(&mut self, conn: ConnId, request: RequestId) -> bool {
        self.withdraw(conn, request)
    }
    /// Tells the worker that nobody waits for what was begun.
    fn send_withdraw(&mut self, conn: ConnId, request: RequestId);
    fn close(&mut self, conn: ConnId);
    /// An upstream request that ends here, without an answer.
    fn ended_locally(&mut self, request: RequestId, outcome: Outcome);
}

#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Requests at a time on a connection.
    pub requests_per_conn: usize,
    /// Connections to a worker.
    pub conns_per_worker: usize,
    /// Connections to all workers together: the descriptors that are theirs.
    pub total_conns: usize,
    pub idle_timeout: Time,
    /// The first pause after a failed dial; it doubles up to the second.
    pub back_off: (Time, Time),
}

/// With so many out on each of a worker's connections another is opened beside them: as a rule, and for a while after
/// a connection broke with something out on it. A handshake costs the worker's time, and three hundred schedulers that
/// each open one for every second attempt pay for thousands; where answers come spoilt it is worth its price.
const SPREAD: (usize, usize) = (4, 1);
const WARY: Time = Time(600_000);
/// An upstream request is given up after this time or later, and nothing has been heard on its connection since it was sent: the
/// connection takes nothing new. Longer than a warm answer takes.
const DEAF: Time = Time(10_000);

#[derive(Clone, Copy, PartialEq)]
enum State {
    Dialling,
    Up,
    /// Takes nothing new, and is closed once nothing is out on it.
    Leaving,
}

struct Conn {
    worker: WorkerId,
    state: State,
    /// What is out on it, and since when.
    out: BTreeMap<RequestId, Time>,
    idle_since: Time,
    /// When it last brought an answer, or came up.
    heard: Time,
    /// Nothing has come on it since something was sent, and what was sent later on another has been answered.
    passed: bool,
}

impl Conn {
    /// Since when it has been waited for without a word.
    fn silent_since(&self) -> Option<Time> {
        self.out.values().filter(|sent| **sent >= self.heard).min().copied()
    }
}

struct Line<P> {
    address: String,
    /// Which start of the worker its connections are to.
    start: Time,
    conns: Vec<ConnId>,
    /// What waits for a connection that is being dialled.
    waiting: VecDeque<(RequestId, P)>,
    failures: u32,
    not_before: Time,
    /// The last dial failed for want of something on this side.
    ours: bool,
    gone: bool,
}

/// Which connection to a worker an upstream request takes: the one with the fewest out, else one that is being dialled, else
/// a new one up to a cap. Nothing waits for long: a dial has a time-out, and where no connection can come an upstream request
/// ends at once, as `ConnectFailed` while the worker cannot be reached and as `Full` when its connections are full.
pub struct Pool<P> {
    limits: PoolLimits,
    rng: Rand64,
    next: u64,
    lines: BTreeMap<WorkerId, Line<P>>,
    conns: BTreeMap<ConnId, Conn>,
    /// Where each upstream request is: on a connection, or waiting at its worker.
    whereabouts: BTreeMap<RequestId, (WorkerId, Option<ConnId>)>,
    /// Until then connections are expected to break.
    wary_until: Time,
}

impl<P> Pool<P> {
    pub fn new(limits: PoolLimits, seed: u128) -> Pool<P> {
        let (lines, conns, whereabouts) = Default::default();
        let wary_until = Time(0);
        Pool { limits, rng: Rand64::new(seed), next: 0, lines, conns, whereabouts, wary_until }
    }

    pub fn conn_count(&self) -> usize {
        self.conns.len()
    }

    /// How much is kept, by kind.
    pub fn sizes(&self) -> [(&'static str, usize); 3] {
        let (open, dialled) = (self.whereabouts.len(), self.lines.len());
        [("connections", self.conns.len()), ("requests open", open), ("workers dialled", dialled)]
    }

    /// What is open, and at which worker.
    pub fn open_requests(&self) -> impl Iterator<Item = (RequestId, WorkerId)> + '_ {
        self.whereabouts.iter().map(|(request, (worker, _))| (*request, *worker))
    }

    /// A worker's address and start, as the list tells them. At a new address, and to a process that has ended, old
    /// connections are left to finish: what is sent on one to a machine that vanished is never answered.
    pub fn set_worker_address(
        &mut self, now: Time, wires: &mut impl PoolDriver<P>, worker: WorkerId, address: &str, start: Time,
    ) {
        let line = self.lines.entry(worker).or_insert_with(|| Line {
            address: String::new(),
            start,
            conns: Vec::new(),
            waiting: VecDeque::new(),
            failures: 0,
            not_before: now,
            ours: false,
            gone: false,
        });
        line.gone = false;
        if line.address != address || line.start != start {
            (line.address, line.start) = (address.to_owned(), start);
            (line.failures, line.not_before, line.ours) = (0, now, false);
            for conn in line.conns.clone() {
                self.drain_conn(wires, conn);
            }
        }
    }

    /// The list says that a worker drains or is gone: what still waits to be sent there is not sent. Guards the rule on
    /// drains where a worker does not read, as its outbox may hold attempts for longer than the grace. Should also hold
    /// for a dial that hangs. Harms little: what is not sent goes elsewhere.
    pub fn withdraw_unsent(&mut self, now: Time, wires: &mut impl PoolDriver<P>, worker: WorkerId) {
        let Some(line) = self.lines.get_mut(&worker) else { return };
        let conns = line.conns.clone();
        for (request, _) in std::mem::take(&mut line.waiting) {
            self.whereabouts.remove(&request);
            wires.ended_locally(request, Outcome::NotSent);
        }
        for conn in conns {
            let out = self.conns.get(&conn).map(|c| c.out.clone()).unwrap_or_default();
            for request in out.into_keys() {
                if wires.withdraw_on_drain(conn, request) {
                    self.let_go(now, wires, request);
                    wires.ended_locally(request, Outcome::NotSent);
                }
            }
        }
    }

    /// The list says that a worker is gone: its connections finish what they have, and then it is forgotten.
    pub fn worker_gone(&mut self, now: Time, wires: &mut impl PoolDriver<P>, worker: WorkerId) {
        self.withdraw_unsent(now, wires, worker);
        let Some(line) = self.lines.get_mut(&worker) else { return };
        line.gone = true;
        for conn in line.conns.clone() {
            self.drain_conn(wires, conn);
        }
        self.forget(worker);
    }

    fn forget(&mut self, worker: WorkerId) {
        if self.lines.get(&worker).is_some_and(|l| l.gone && l.conns.is_empty() && l.waiting.is_empty()) {
            self.lines.remove(&worker);
        }
    }

    /// A connection takes nothing new from here on.
    pub fn drain_conn(&mut self, wires: &mut impl PoolDriver<P>, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn).filter(|c| c.state == State::Up) else { return };
        c.state = State::Leaving;
        self.close_if_done(wires, conn);
    }

    fn close_if_done(&mut self, wires: &mut impl PoolDriver<P>, conn: ConnId) {
        let Some(c) = self.conns.get(&conn).filter(|c| c.state == State::Leaving && c.out.is_empty()) else {
            return;
        };
        let worker = c.worker;
        wires.close(conn);
        self.drop_conn(conn, worker);
    }

    fn drop_conn(&mut self, conn: ConnId, worker: WorkerId) {
        self.conns.remove(&conn);
        if let Some(line) = self.lines.get_mut(&worker) {
            line.conns.retain(|c| *c != conn);
        }
        self.forget(worker);
    }

    pub fn request(
        &mut self, now: Time, wires: &mut impl PoolDriver<P>, worker: WorkerId, request: RequestId,
        payload: P,
    ) {
        if self.hand_over(now, wires, worker, request, &payload, false) {
            return self.spread(now, wires, worker);
        }
        let Some(line) = self.lines.get_mut(&worker).filter(|l| !l.gone) else {
            return wires.ended_locally(request, Outcome::ConnectFailed);
        };
        let dialling = line.conns.iter().filter(|c| self.conns[*c].state == State::Dialling).count();
        if line.waiting.len() >= dialling * self.limits.requests_per_conn {
            let held = line.conns.len() >= self.limits.conns_per_worker || now < line.not_before;
            let unreached = line.conns.is_empty() && !line.ours && now < line.not_before;
            if held || !self.make_room(wires) {
                // Where no other can come, one that was passed over has to do.
                if !self.hand_over(now, wires, worker, request, &payload, true) {
                    wires.ended_locally(
                        request,
                        if unreached { Outcome::ConnectFailed } else { Outcome::Full },
                    );
                }
                return;
            }
            self.dial(now, wires, worker);
        }
        if let Some(line) = self.lines.get_mut(&worker) {
            line.waiting.push_back((request, payload));
        }
        self.whereabouts.insert(request, (worker, None));
    }

    /// Whether one connection more fits; where all are taken, the one that has lain idle longest goes. Guards the
    /// descriptors against a fleet of many workers; should hold for any that grows. Costs a handshake where it is wrong.
    fn make_room(&mut self, wires: &mut impl PoolDriver<P>) -> bool {
        if self.conns.len() < self.limits.total_conns {
            return true;
        }
        let idle = self.conns.iter().filter(|(_, c)| c.state == State::Up && c.out.is_empty());
        let Some((&longest, _)) = idle.min_by_key(|(_, c)| c.idle_since) else { return false };
        self.drain_conn(wires, longest);
        true
    }

    fn dial(&mut self, now: Time, wires: &mut impl PoolDriver<P>, worker: WorkerId) {
        let Some(line) = self.lines.get_mut(&worker) else { return };
        self.next += 1;
        let conn = ConnId(self.next);
        line.conns.push(conn);
        let (state, out) = (State::Dialling, BTreeMap::new());
        self.conns.insert(conn, Conn { worker, state, out, idle_since: now, heard: now, passed: false });
        wires.dial(conn, worker, &line.address);
    }

    /// Opens one connection more where each has enough out. Guards against one connection's end, as by an answer that
    /// cannot be read, that takes all attempts to a worker with it; what may have run is lost there or runs again.
    /// Should also hold for one that stands still. Costs handshakes, and descriptors up to the cap.
    fn spread(&mut self, now: Time, wires: &mut impl PoolDriver<P>, worker: WorkerId) {
        let Some(line) = self.lines.get(&worker).filter(|l| !l.gone && now >= l.not_before) else { return };
        let most = if now < self.wary_until { SPREAD.1 } else { SPREAD.0.min(self.limits.requests_per_conn) };
        let busy = |c: &ConnId| match self.conns[c].state {
            State::Dialling => false,
            State::Up => self.conns[c].out.len() >= most || self.conns[c].passed,
            State::Leaving => true,
        };
        let room =
            line.conns.len() < self.limits.conns_per_worker && self.conns.len() < self.limits.total_conns;
        if room && line.conns.iter().all(busy) {
            self.dial(now, wires, worker);
        }
    }

    /// Gives an upstream request to the connection with the fewest out that takes it; to one that was passed over only if told.
    fn hand_over(
        &mut self, now: Time, wires: &mut impl PoolDriver<P>, worker: WorkerId, request: RequestId,
        payload: &P, passed: bool,
    ) -> bool {
        let Some(line) = self.lines.get(&worker) else { return false };
        let room = |c: &Conn| c.state == State::Up && c.out.len() < self.limits.requests_per_conn;
        let takes = |c: &Conn| room(c) && (passed || !c.passed);
        let mut open: Vec<ConnId> = line.conns.iter().copied().filter(|c| takes(&self.conns[c])).collect();
        open.sort_by_key(|c| (self.conns[c].passed, self.conns[c].out.len()));
        for conn in open {
            if wires.send(conn, request, payload) {
                let c = self.conns.get_mut(&conn).expect("it is open");
                c.out.insert(request, now);
                c.idle_since = now;
                self.whereabouts.insert(request, (worker, Some(conn)));
                return true;
            }
        }
        false
    }

    pub fn conn_up(&mut self, now: Time, wires: &mut impl PoolDriver<P>, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn).filter(|c| c.state == State::Dialling) else { return };
        (c.state, c.idle_since, c.heard) = (State::Up, now, now);
        let worker = c.worker;
        let Some(line) = self.lines.get_mut(&worker) else { return };
        (line.failures, line.ours) = (0, false);
        let mut waiting = std::mem::take(&mut line.waiting);
        while let Some((request, payload)) = waiting.pop_front() {
            if !self.hand_over(now, wires, worker, request, &payload, false) {
                waiting.push_front((request, payload));
                break;
            }
        }
        let line = self.lines.get_mut(&worker).expect("it has a connection");
        line.waiting = waiting;
        if line.gone {
            self.drain_conn(wires, conn);
        }
        self.settle_waiting(wires, worker, Outcome::Full);
    }

    /// A dial failed or timed out. Later ones pause, longer each time, so that a dead worker is not hammered by all
    /// schedulers in step. `ours`: it failed for want of something on this side, as of descriptors, and says nothing of
    /// the worker.
    pub fn conn_failed(&mut self, now: Time, wires: &mut impl PoolDriver<P>, conn: ConnId, ours: bool) {
        let Some(c) = self.conns.get(&conn) else { return };
        let worker = c.worker;
        if let Some(line) = self.lines.get_mut(&worker) {
            let (first, most) = self.limits.back_off;
            let pause = Time(first.0 << line.failures.min(20)).min(most).ms();
            line.failures += 1;
            line.ours = ours;
            line.not_before = now + Time::from_ms(pause * (0.5 + 0.5 * self.rng.rand_float()));
        }
        self.drop_conn(conn, worker);
        self.settle_waiting(wires, worker, if ours { Outcome::Full } else { Outcome::ConnectFailed });
    }

    /// Ends what waits while nothing is being dialled any more.
    fn settle_waiting(&mut self, wires: &mut impl PoolDriver<P>, worker: WorkerId, outcome: Outcome) {
        let Some(line) = self.lines.get_mut(&worker) else { return };
        if line.conns.iter().any(|c| self.conns[c].state == State::Dialling) {
            return;
        }
        for (request, _) in std::mem::take(&mut line.waiting) {
            self.whereabouts.remove(&request);
            wires.ended_locally(request, outcome);
        }
        self.forget(worker);
    }

    /// A connection broke: what was not begun on it provably never ran, the rest may have.
    pub fn conn_broken(&mut self, now: Time, wires: &mut impl PoolDriver<P>, conn: ConnId) {
        let Some(c) = self.conns.get(&conn) else { return };
        let (worker, out) = (c.worker, c.out.clone());
        if !out.is_empty() {
            self.wary_until = now + WARY;
        }
        for request in out.into_keys() {
            self.whereabouts.remove(&request);
            let untouched = wires.withdraw(conn, request);
            wires.ended_locally(request, if untouched { Outcome::NotSent } else { Outcome::Reset });
        }
        self.drop_conn(conn, worker);
        self.settle_waiting(wires, worker, Outcome::ConnectFailed);
    }

    /// Whether an upstream request is out on this connection.
    pub fn is_open_on(&self, request: RequestId, conn: ConnId) -> bool {
        self.whereabouts.get(&request).is_some_and(|(_, on)| *on == Some(conn))
    }

    /// Lets `say` use a connection that is up, for what needs no answer; where none is, nothing is said.
    pub fn with_open_conn<W: PoolDriver<P>>(
        &mut self, now: Time, wires: &mut W, worker: WorkerId, say: impl FnOnce(&mut W, ConnId),
    ) {
        let Some(line) = self.lines.get(&worker) else { return };
        if let Some(conn) = line.conns.iter().find(|c| self.conns[*c].state == State::Up) {
            say(wires, *conn);
            self.conns.get_mut(conn).into_iter().for_each(|c| c.idle_since = now);
        }
    }

    /// An upstream request was answered.
    pub fn answered(&mut self, now: Time, wires: &mut impl PoolDriver<P>, request: RequestId) {
        if let Some((worker, Some(conn))) = self.whereabouts.get(&request).copied() {
            self.heard(now, worker, conn, request);
        }
        self.let_go(now, wires, request);
    }

    /// An answer came on a connection. Another that has been silent since before its question was sent is passed over
    /// from here on, until it is heard again. Guards against one that stays up and brings nothing more, without waiting
    /// for an upstream request on it to be given up. Should also hold for one behind a slow path. Harms little where all that it
    /// carries is slow, as a load is: the others take what comes, and it is taken again once it has answered.
    fn heard(&mut self, now: Time, worker: WorkerId, conn: ConnId, request: RequestId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        (c.heard, c.passed) = (now, false);
        let Some(sent) = c.out.get(&request).copied() else { return };
        for other in self.lines.get(&worker).map(|l| l.conns.as_slice()).unwrap_or_default() {
            if let Some(c) = self.conns.get_mut(other).filter(|_| *other != conn) {
                c.passed |= c.silent_since().is_some_and(|since| since < sent);
            }
        }
    }

    fn let_go(&mut self, now: Time, wires: &mut impl PoolDriver<P>, request: RequestId) {
        let Some((_, Some(conn))) = self.whereabouts.remove(&request) else { return };
        if let Some(c) = self.conns.get_mut(&conn) {
            c.out.remove(&request);
            c.idle_since = now;
        }
        self.close_if_done(wires, conn);
    }

    /// Nobody waits for an upstream request any more; true: it provably was not and will not be sent.
    pub fn withdraw(&mut self, now: Time, wires: &mut impl PoolDriver<P>, request: RequestId) -> bool {
        match self.whereabouts.get(&request).copied() {
            None => false,
            Some((worker, None)) => {
                self.whereabouts.remove(&request);
                if let Some(line) = self.lines.get_mut(&worker) {
                    line.waiting.retain(|(e, _)| *e != request);
                }
                true
            }
            Some((_, Some(conn))) => {
                let untouched = wires.withdraw(conn, request);
                if !untouched {
                    wires.send_withdraw(conn, request);
                }
                let deaf = |c: &Conn| {
                    let unheard = |sent: &Time| c.heard <= *sent && now - *sent >= DEAF;
                    c.passed || c.out.get(&request).is_some_and(unheard)
                };
                let deaf = self.conns.get(&conn).is_some_and(deaf);
                self.let_go(now, wires, request);
                if deaf {
                    // Guards against a connection that stays up and brings nothing more: with ever less out on it, it
                    // would be the first choice. Harms little where the worker itself is slow: another is dialled.
                    self.drain_conn(wires, conn);
                }
                untouched
            }
        }
    }

    /// Closes connections that have lain idle.
    pub fn close_idle(&mut self, now: Time, wires: &mut impl PoolDriver<P>) {
        let idle = |c: &Conn| {
            c.state == State::Up && c.out.is_empty() && now - c.idle_since >= self.limits.idle_timeout
        };
        let idle: Vec<ConnId> = self.conns.iter().filter(|(_, c)| idle(c)).map(|(id, _)| *id).collect();
        for conn in idle {
            self.drain_conn(wires, conn);
        }
    }
}
