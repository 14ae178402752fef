//! What is seen of functions at workers. It travels as records do, round fewer rings.

use super::*;

impl Fleet {
    /// The scheduler here has seen something; others are told where it is news.
    pub fn saw(
        &mut self, now: Time, out: &mut impl Outside, worker: WorkerId, function: FunctionId, hint: Hint,
        held: u64,
    ) {
        if !self.bounds.hinted {
            return;
        }
        if self.asks.is_none() || self.has_strangers() {
            if let Some(seen) = self.hints.saw(now, self.me.run, worker, function, hint, held) {
                self.spread_hints(now, out, None, &[seen]);
            }
        }
        self.reckon(now);
        if let Some(asks) = &mut self.asks {
            asks.directory.saw(now, worker, function, hint, held);
            self.send_parcels(now, out);
        }
    }

    /// A peer tells what some instances have seen.
    pub fn hinted(&mut self, now: Time, out: &mut impl Outside, link: LinkId, all: Vec<Seen>) {
        if self.links.get(&link).is_none_or(|l| l.peer.is_none()) {
            return;
        }
        self.heard(now, link);
        let new: Vec<Seen> =
            all.into_iter().filter(|s| s.run != self.me.run && self.hints.told(now, *s)).collect();
        for s in new.iter().filter(|_| self.bounds.hinted) {
            out.take_hint(s.worker, s.function, s.hint, s.held, now - s.at);
        }
        self.spread_hints(now, out, Some(link), &new);
    }

    pub(super) fn spread_hints(
        &mut self, now: Time, out: &mut impl Outside, from: Option<LinkId>, new: &[Seen],
    ) {
        let wanted = |l: &Link| matches!(l.purpose, Purpose::Ring(m) if self.hinted.contains(&m));
        let on = |(id, l): &(&LinkId, &Link)| Some(**id) != from && l.peer.is_some() && wanted(l);
        let to: Vec<LinkId> = self.links.iter().filter(on).map(|(id, _)| *id).collect();
        for link in to {
            let l = self.links.get_mut(&link).expect("just listed");
            new.iter().for_each(|seen| l.hints.push(*seen));
            if now - l.hinted_at >= TICK {
                self.flush_hints(now, out, link);
            }
        }
    }

    pub(super) fn flush_hints(&mut self, now: Time, out: &mut impl Outside, link: LinkId) {
        let Some(l) = self.links.get_mut(&link).filter(|l| !l.hints.is_empty()) else { return };
        l.hinted_at = now;
        out.hints(link, &l.hints.take());
    }
}
