//! Which clients may be connected, and who makes room: no I/O. The shell lets in, tells what it has seen of each, and
//! asks those to leave whom it is told to.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

use curlewpoint::types::Time;
use curlewpoint_engine::ClientId;
use tokio::sync::Notify;

/// While a crowd comes, room is made for as many as have come in this time, ahead of them, so that nobody waits for
/// another's leaving: that takes some turns of several tasks, far less than this.
const AHEAD: Time = Time(1_000);
/// Of all places, one in so many is kept free ahead of need at most.
const SPARE: usize = 8;
/// One that has begun a request and not ended it is left alone for so long: what comes in pieces comes within it.
const PIECES: Time = Time(2_500);

/// What is going on with a client, for those who may close its connection.
#[derive(Default)]
pub(crate) struct Presence {
    /// Commands read, and commands that the engine has dealt with.
    read: AtomicU64,
    done: AtomicU64,
    /// RPCs that it is owed an answer for.
    open: AtomicU64,
    /// When it last asked or was answered something.
    active: AtomicU64,
    /// Since when part of a request lies here; 0: none was seen.
    begun: AtomicU64,
    /// It was asked to leave and has not said whether it does; and so though it has begun a request.
    asked: AtomicBool,
    begun_too: AtomicBool,
    pub leave: Notify,
}

impl Presence {
    pub fn reads(&self) {
        self.read.fetch_add(1, Relaxed);
    }

    /// The engine has dealt with one command.
    pub fn dealt_with(&self, open: usize) {
        self.done.fetch_add(1, Relaxed);
        self.owed(open);
    }

    pub fn owed(&self, open: usize) {
        self.open.store(open as u64, Relaxed);
    }

    pub fn answered(&self, now: Time, open: usize) {
        self.active.store(now.0, Relaxed);
        self.owed(open);
    }

    /// RPCs that it is owed an answer for.
    pub fn open(&self) -> usize {
        self.open.load(Relaxed) as usize
    }

    /// Nothing that it has asked is on the way, and nothing is owed to it.
    pub fn is_idle(&self) -> bool {
        self.open.load(Relaxed) == 0 && self.read.load(Relaxed) == self.done.load(Relaxed)
    }

    /// Whether it was asked to leave, and to do so though part of a request lies here.
    pub fn asked(&self) -> Option<bool> {
        self.asked.load(Relaxed).then(|| self.begun_too.load(Relaxed))
    }

    /// It has said something whole, or part of something; true: it was asked to leave and stays.
    pub fn stays(&self, now: Time, begun: bool) -> bool {
        if begun {
            let _ = self.begun.compare_exchange(0, now.0, Relaxed, Relaxed);
        } else {
            self.begun.store(0, Relaxed);
            self.active.store(now.0, Relaxed);
        }
        self.asked.swap(false, Relaxed)
    }
}

/// The connections of clients that are up, up to a number.
pub(crate) struct Doors {
    most: usize,
    next: u64,
    seats: BTreeMap<ClientId, Arc<Presence>>,
    /// How many were asked to leave and have not yet said whether they do.
    leaving: usize,
    /// When those of a crowd came, within the time for which room is made ahead: the first found no place free, and the
    /// others came less than that time after another.
    came: VecDeque<Time>,
    /// None could be let in, and it was said.
    full: bool,
}

impl Doors {
    pub fn new(most: usize) -> Doors {
        let (seats, came) = Default::default();
        Doors { most, next: 0, seats, leaving: 0, came, full: false }
    }

    pub fn connected(&self) -> usize {
        self.seats.len()
    }

    pub fn has_room(&self) -> bool {
        self.seats.len() < self.most
    }

    /// Somebody was asked to leave and has not yet said whether it does.
    pub fn is_making_room(&self) -> bool {
        self.leaving > 0
    }

    /// One comes in that `waited` for another's place, or found one free.
    pub fn let_in(&mut self, now: Time, waited: bool) -> (ClientId, Arc<Presence>) {
        self.next += 1;
        let (id, presence) = (ClientId(self.next), Arc::<Presence>::default());
        presence.active.store(now.0, Relaxed);
        self.seats.insert(id, Arc::clone(&presence));
        self.forget(now);
        if waited || !self.came.is_empty() {
            self.came.push_back(now);
        }
        if self.came.len() > self.most / SPARE {
            self.came.pop_front();
        }
        (id, presence)
    }

    /// Its connection has been closed, by whomever.
    pub fn left(&mut self, id: ClientId) {
        let was_asked = self.seats.remove(&id).is_some_and(|p| p.asked.load(Relaxed));
        self.leaving = self.leaving.saturating_sub(usize::from(was_asked));
    }

    /// Asked to leave, it turned out to have spoken.
    pub fn stayed(&mut self) {
        self.leaving = self.leaving.saturating_sub(1);
    }

    /// Whom to ask to leave, for one that `waits` for a place and for those that come at the present rate.
    pub fn make_room(&mut self, now: Time, waits: bool) -> Vec<Arc<Presence>> {
        let wanted = self.wanted(now).max(usize::from(waits));
        self.ask(now, (self.seats.len() + wanted).saturating_sub(self.most + self.leaving))
    }

    /// Whom to ask to leave where something else than places has run out, as descriptors.
    pub fn make_room_anyway(&mut self, now: Time) -> Vec<Arc<Presence>> {
        let wanted = self.wanted(now).max(1);
        self.ask(now, wanted.saturating_sub(self.leaving))
    }

    /// How many will come before those asked now have left: none after one that came alone.
    fn wanted(&mut self, now: Time) -> usize {
        self.forget(now);
        self.came.len().saturating_sub(1)
    }

    fn forget(&mut self, now: Time) {
        while self.came.front().is_some_and(|at| now - *at >= AHEAD) {
            self.came.pop_front();
        }
    }

    /// The longest idle are asked first; where there are none, those whose request is in pieces for longest.
    ///
    /// Guards against crowds that connect and then say nothing, ask once and stay, or begin a request and never end it;
    /// should also hold for clients that died without a word. Harms a client that connects in advance while many come: it
    /// has to connect again; and one that takes over a quarter of a second between two pieces of a request.
    fn ask(&mut self, now: Time, n: usize) -> Vec<Arc<Presence>> {
        if n == 0 {
            return Vec::new();
        }
        let rank = |p: &Presence| match p.begun.load(Relaxed) {
            0 => Some((false, p.active.load(Relaxed))),
            since => (now - Time(since) >= PIECES).then_some((true, since)),
        };
        let may_leave = self.seats.values().filter(|p| !p.asked.load(Relaxed) && p.is_idle());
        let mut ranked: Vec<_> = may_leave.filter_map(|p| Some((rank(p)?, p))).collect();
        if n < ranked.len() {
            ranked.select_nth_unstable_by_key(n, |(rank, _)| *rank);
            ranked.truncate(n);
        }
        self.leaving += ranked.len();
        let ask = |((begun, _), p): ((bool, u64), &Arc<Presence>)| {
            p.begun_too.store(begun, Relaxed);
            p.asked.store(true, Relaxed);
            Arc::clone(p)
        };
        ranked.into_iter().map(ask).collect()
    }

    /// Whether this is to be said now: that there is no room, or that there is again.
    pub fn turns(&mut self, full: bool) -> bool {
        let many = self.seats.len() + self.most / 8 >= self.most;
        let turns = self.full != full && (full || !many);
        if turns {
            self.full = full;
        }
        turns
    }
}

#[cfg(test)]
mod tests;
