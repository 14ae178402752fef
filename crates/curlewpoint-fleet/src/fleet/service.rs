//! Whether this instance watches the list service, and what it hears there.

use super::*;

impl Fleet {
    /// The list service has told a list. What it says when asked has no mark that tells it from what it says on its own,
    /// but only an answer can hold nothing new: that one counts, from the moment at which it was asked for. Guards against
    /// taking what has lain in a socket for what holds now.
    pub(super) fn service_told(&mut self, now: Time, out: &mut impl FleetDriver, taken: ListOutcome) {
        self.answered_service = now;
        // Whatever a peer said, this is the truth.
        self.look_at = None;
        match (taken, self.asked_service) {
            (ListOutcome::NotNewer, Some(asked)) => {
                self.asked_service = None;
                self.fresh_at = self.fresh_at.max(Some(asked));
                if self.woke.is_some_and(|woke| asked >= woke) {
                    self.awake(out, "the list service has answered");
                }
            }
            // It may have been the answer: once more, that one with nothing new comes.
            (ListOutcome::Accepted(_), Some(_)) => out.request_service_list(self.endpoints.held()),
            _ => {}
        }
        self.see(now, out, true);
    }

    /// Whether this instance reaches the list service; it says so when that changes.
    pub(super) fn see(&mut self, now: Time, out: &mut impl FleetDriver, sees: bool) {
        let mine = self.members.get(self.me).map(|m| m.state).unwrap_or_default();
        if mine.list_service_lost == sees {
            let age = self.list_age(now).map_or(-1.0, Time::ms);
            out.log(&format!(
                "fleet: the list service is {}, list {age:.0} ms old",
                if sees { "seen" } else { "not seen" }
            ));
            self.speak(
                now,
                out,
                MemberState {
                    incarnation: mine.incarnation + 1,
                    list_service_lost: !sees,
                    dead: false,
                    suspicions: 0,
                    ..mine
                },
            );
        }
        if !sees {
            self.try_again = now + stretch(&mut self.rng, TRY_AGAIN);
        }
    }

    pub fn service_up(&mut self, now: Time, out: &mut impl FleetDriver) {
        self.service = Some(now);
        self.ask_service(now, out);
    }

    pub(super) fn ask_service(&mut self, now: Time, out: &mut impl FleetDriver) {
        self.asked_service = Some(now);
        out.request_service_list(self.endpoints.held());
    }

    pub fn service_down(&mut self, now: Time) {
        self.endpoints.abort(SERVICE);
        (self.service, self.asked_service, self.service_tried) = (None, None, now);
    }

    /// Whether this instance is one of the few that watch the list, or has to look for itself: it has no peers, or one
    /// peer's word alone for a list far on.
    pub(super) fn is_asked_to_watch(&self, now: Time) -> bool {
        let (linked, alone) = self.watch_from;
        if self.links.values().all(|l| l.peer.is_none()) {
            // No peers: as without a fleet. While some are still being tried it waits longer: they may be slow.
            let wait = if self.to_introduce() && linked.is_none() { SLOW } else { Time(0) };
            return now >= linked.unwrap_or(alone).max(alone + wait);
        }
        if linked.is_none_or(|at| now < at) {
            return false;
        }
        let blind = self.members.get(self.me).is_some_and(|m| m.state.list_service_lost);
        let doubts = self.look_at.is_some_and(|(at, _)| now >= at);
        (doubts || self.first(!blind).contains(&self.me)) && (!blind || now >= self.try_again)
    }

    pub(super) fn settle_watch(&mut self, now: Time, out: &mut impl FleetDriver) {
        let asked = !self.left && self.is_asked_to_watch(now);
        if asked {
            self.unasked_since = None;
        }
        let over = !asked && now - *self.unasked_since.get_or_insert(now) >= WATCH_ON;
        if asked && !self.watching {
            (self.watching, self.service_tried) = (true, now);
            out.log("fleet: watching the list from here on");
            out.set_watching(true);
        } else if self.watching && (over || self.left) {
            self.watching = false;
            self.service_down(now);
            out.log("fleet: others watch the list from here on");
            out.set_watching(false);
        }
        if !self.watching {
            return;
        }
        let waited = self.asked_service.or(self.service.is_none().then_some(self.service_tried));
        let peers = self.links.values().any(|l| l.peer.is_some());
        if waited.is_some_and(|at| now - at >= BLIND_AFTER) {
            self.see(now, out, false);
            if peers {
                self.watching = false;
                self.service_down(now);
                out.set_watching(false);
            } else {
                // Nobody else can tell: it goes on trying, and is said once.
                (self.service_tried, self.asked_service) = (now, self.asked_service.and(Some(now)));
            }
        } else if self.service.is_some()
            && self.asked_service.is_none()
            && now - self.answered_service >= BEAT
        {
            self.ask_service(now, out);
        }
    }
}
