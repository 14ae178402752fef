//! Signs of life, and what follows when this instance stood still.

use super::*;

impl Fleet {
    pub(super) fn beat(&mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, answer: bool) {
        let age = self.list_age(now);
        let sure = self.instance_count.is_confirmed() || self.links.values().any(|l| l.sure);
        let Some(l) = self.links.get_mut(&link).filter(|l| l.peer.is_some()) else { return };
        self.next_tag += 1;
        l.tags.push_back((self.next_tag, now));
        if l.tags.len() > 16 {
            l.tags.pop_front();
        }
        l.beat_at = now;
        let (digest, held) = (self.members.digest(), self.endpoints.held());
        out.send_heartbeat(link, (self.next_tag, l.echo), digest, held, age, sure, answer);
    }

    /// A peer's beat.
    pub fn heartbeat_received(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, (tag, echo): (u64, u64), digest: u64,
        held: Option<(u64, u64)>, age: Option<Time>, sure: bool, answer: bool,
    ) {
        let Some(l) = self.links.get_mut(&link).filter(|l| l.peer.is_some()) else { return };
        l.heard = now;
        (l.echo, l.digest, l.held, l.sure) = (tag, Some(digest), held, sure);
        let asked = l.tags.iter().find(|(t, _)| *t == echo).map(|(_, at)| *at);
        // It was written after my beat was read, so what it says held at that time or later, however long it lay.
        if let (Some(asked), Some(age)) = (asked, age) {
            if held <= self.endpoints.held() {
                self.fresh_at = self.fresh_at.max(Some(asked - age));
            }
        }
        // One that tells no age has not heard itself how old its list is. Guards against the word of one that stood still
        // as well. Harms where nobody knows: then the time for it runs out.
        l.answered |= age.is_some() && asked.is_some_and(|at| self.woke.is_some_and(|woke| at >= woke));
        let (answered, behind, askable) = (l.answered, held > self.endpoints.held(), l.ask_from <= now);
        if !behind {
            self.has_none(link);
        }
        if behind && self.woke.is_some() && askable {
            // It sends nothing until it has heard: whoever answers first is the right one.
            self.ask_list(now, out, link, self.endpoints.held());
        } else if behind {
            self.ask_next(now, out);
        }
        self.telling_read(now, out, link, echo, held);
        if answered && !behind && self.woke.is_some() {
            self.awake(out, "a peer has told what is new");
        }
        if answer {
            self.beat(now, out, link, false);
        }
    }

    pub(super) fn awake(&mut self, out: &mut impl FleetDriver, by: &str) {
        self.woke = None;
        out.log(&format!("fleet: going on after standing still: {by}"));
    }

    /// Whether a peer is sure of the number, or knows one that is; none: not all have said, and one of them may.
    pub(super) fn among_sure(&self, now: Time) -> Option<bool> {
        let mut said = self.links.values().filter(|l| l.digest.is_some()).peekable();
        if said.peek().is_none() {
            return (!self.to_introduce() && now >= self.watch_from.1).then_some(false);
        }
        let sure = said.any(|l| l.sure);
        let unsaid = self.links.values().any(|l| matches!(l.purpose, Purpose::Meet) && l.digest.is_none());
        (sure || !(unsaid || self.to_introduce())).then_some(sure)
    }

    /// Guards against judging others by one's own pause, and against going on with what was true before it.
    pub(super) fn stood_still(&mut self, now: Time, out: &mut impl FleetDriver) {
        let span = now - self.ticked;
        out.log(&format!("fleet: stood still for {:.0} ms", span.ms()));
        self.suspects.clear();
        self.fresh_at = None;
        // Whoever was asked before this may be long gone.
        self.coming = None;
        let peers = self.links.values().any(|l| l.peer.is_some());
        self.woke = (peers || self.watching).then_some(now);
        for l in self.links.values_mut() {
            (l.heard, l.answered) = (now, false);
            // What answers a beat of before may lie in the connection: it tells nothing of the time since.
            l.tags.clear();
        }
        self.drop_ask_links(out);
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        for link in all {
            self.beat(now, out, link, true);
        }
        if self.watching {
            // An answer to a question of before may lie in the connection; on a new one it cannot.
            self.service_down(now);
            out.set_watching(false);
            out.set_watching(true);
        }
    }
}
