//! What is seen of functions at workers. It travels as records do, round fewer rings; where a directory of copies is kept,
//! as far as that leaves room.

use curlewpoint_wire::HEAD_BYTES;

use super::*;
use crate::directory::Rank;
use crate::frames::hints_frame;

/// The same by two ways differs in its age by what they took, so much at most as a rule.
const WAYS: Time = Time(5_000);

/// Whether what the scheduler here was told by one way tells it the same as what has come by the other.
fn is_told(known: Option<&Observation>, s: &Observation) -> bool {
    known.is_some_and(|k| {
        (k.hint, k.held_rpcs) == (s.hint, s.held_rpcs) && s.observed_at < k.observed_at + WAYS
    })
}

impl Fleet {
    /// Takes for the scheduler here what came over the directory, unless it has come round a ring.
    pub(super) fn take_copies(&self, now: Time, out: &mut impl FleetDriver, rows: &[Observation]) {
        for s in rows.iter().filter(|s| !is_told(self.hints.get(s.worker, s.function), s)) {
            out.deliver_hint(s.worker, s.function, s.hint, s.held_rpcs, now - s.observed_at);
        }
    }

    /// The scheduler here has seen something; others are told where it is news.
    pub fn observe(
        &mut self, now: Time, out: &mut impl FleetDriver, worker: WorkerId, function: FunctionId, hint: Hint,
        held: u64,
    ) {
        if !self.limits.exchange_hints {
            return;
        }
        self.reckon(now);
        let news = self.hints.is_news(now, worker, function, hint, held);
        let changed = self.hints.get(worker, function).is_none_or(|k| k.hint != hint);
        let Some(asks) = &mut self.asks else {
            if let Some(seen) = self.hints.observe(now, self.me.run, worker, function, hint, held) {
                self.spread_hints(now, out, None, &[seen]);
            }
            return;
        };
        if !asks.directory.gossips() {
            asks.directory.observe(now, worker, function, hint, held);
            return self.send_parcels(now, out);
        }
        if !news {
            // Whoever told it has told those who hold it.
            return;
        }
        asks.directory.observe(now, worker, function, hint, held);
        self.send_parcels(now, out);
        match self.hints.observe(now, self.me.run, worker, function, hint, held) {
            Some(seen) => self.spread_in_budget(now, out, None, &[(Rank::of(&seen, changed, true), seen)]),
            None => self.asks.iter_mut().for_each(|a| a.directory.count_not_gossiped(1)),
        }
    }

    /// A peer tells what some instances have seen.
    pub fn hints_received(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, all: Vec<Observation>,
    ) {
        if self.links.get(&link).is_none_or(|l| l.peer.is_none()) {
            return;
        }
        self.heard(now, link);
        let mut new = Vec::new();
        for s in all.into_iter().filter(|s| s.run != self.me.run) {
            let changed = self.hints.get(s.worker, s.function).is_none_or(|k| k.hint != s.hint);
            if self.hints.receive(now, s) {
                new.push((Rank::of(&s, changed, false), s));
            }
        }
        for (_, s) in &new {
            let copy = self.asks.as_mut().and_then(|a| {
                a.directory.gossip_received(now, s);
                a.directory.copy(s.function, s.worker)
            });
            if self.limits.exchange_hints && !is_told(copy, s) {
                out.deliver_hint(s.worker, s.function, s.hint, s.held_rpcs, now - s.observed_at);
            }
        }
        if self.asks.is_some() {
            return self.spread_in_budget(now, out, Some(link), &new);
        }
        let new: Vec<Observation> = new.into_iter().map(|(_, s)| s).collect();
        self.spread_hints(now, out, Some(link), &new);
    }

    /// Links of the rings over which rows go on that came from `from`.
    fn onward(&self, from: Option<LinkId>) -> Vec<LinkId> {
        let wanted = |l: &Link| matches!(l.purpose, Purpose::Ring(m) if self.hinted.contains(&m));
        let on = |(id, l): &(&LinkId, &Link)| Some(**id) != from && l.peer.is_some() && wanted(l);
        self.links.iter().filter(on).map(|(id, _)| *id).collect()
    }

    fn spread_hints(
        &mut self, now: Time, out: &mut impl FleetDriver, from: Option<LinkId>, new: &[Observation],
    ) {
        for link in self.onward(from) {
            let l = self.links.get_mut(&link).expect("just listed");
            new.iter().for_each(|seen| l.hints.push(*seen));
            if now - l.hinted_at >= TICK {
                self.flush_hints(now, out, link);
            }
        }
    }

    /// What waits on a link leaves; where a directory is kept it waits on, for room.
    pub(super) fn flush_hints(&mut self, now: Time, out: &mut impl FleetDriver, link: LinkId) {
        let Some(l) = self.links.get_mut(&link).filter(|l| !l.hints.is_empty()) else { return };
        let Some(asks) = &mut self.asks else {
            l.hinted_at = now;
            return out.send_hints(link, &l.hints.take());
        };
        if !asks.directory.gossips() {
            return drop(l.hints.take());
        }
        // All that is known, for one that has just started.
        let round = asks.rounds.entry(link).or_default();
        while !l.hints.is_empty() {
            for seen in l.hints.take() {
                asks.directory.count_not_gossiped(round.push(now, Rank::of(&seen, true, false), seen));
            }
        }
    }

    /// Rows go on round the rings, as far as the directory leaves room.
    fn spread_in_budget(
        &mut self, now: Time, out: &mut impl FleetDriver, from: Option<LinkId>, new: &[(Rank, Observation)],
    ) {
        let to = self.onward(from);
        let Some(asks) = self.asks.as_mut().filter(|a| a.directory.gossips()) else { return };
        for link in to {
            let round = asks.rounds.entry(link).or_default();
            for (rank, seen) in new {
                asks.directory.count_not_gossiped(round.push(now, *rank, *seen));
            }
        }
        self.send_rounds(now, out);
    }

    /// What waits to go round the rings leaves, once in a while, as far as the directory leaves room: to neighbours that take
    /// no part first, for they hear of it by no other way; then to all in equal parts.
    pub(super) fn send_rounds(&mut self, now: Time, out: &mut impl FleetDriver) {
        let (Some(asks), links) = (&mut self.asks, &self.links) else { return };
        if asks.rounds.is_empty() || self.left || now - asks.rounded < TICK {
            return;
        }
        asks.rounded = now;
        asks.rounds.retain(|link, round| !round.is_empty() && links.contains_key(link));
        let mut to: Vec<LinkId> = asks.rounds.keys().copied().collect();
        to.sort_by_key(|link| links.get(link).is_some_and(|l| l.takes));
        let mut spare = asks.directory.gossip_allowance(now);
        let mut left = to.len();
        for link in to {
            let takes = links.get(&link).is_some_and(|l| l.takes);
            let share = if takes { spare / left } else { spare };
            left -= 1;
            let Some(round) = asks.rounds.get_mut(&link) else { continue };
            let (rows, left_out) = round.take(now, share);
            asks.directory.count_not_gossiped(left_out);
            if rows.is_empty() {
                continue;
            }
            let frame = hints_frame(now, &rows);
            let bytes = HEAD_BYTES + frame.head().len();
            asks.directory.charge(bytes);
            spare = spare.saturating_sub(bytes);
            out.send_directory_frame(link, frame);
        }
    }
}
