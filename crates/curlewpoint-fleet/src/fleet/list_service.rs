//! The list service: whether this instance watches it, and what it reports.

use super::*;

impl Fleet {
    /// The list service has sent a list. Answers are not marked apart from unsolicited updates, but only an
    /// answer can hold nothing new. Such an answer proves that the list held was current when the request was
    /// sent, and is the only one that counts: data buffered in the socket must not pass for current.
    pub(super) fn service_list_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, outcome: ListOutcome,
    ) {
        self.service_answered_at = now;
        // The list service's own report overrides what any peer reported.
        self.list_check = None;
        match (outcome, self.service_asked_at) {
            (ListOutcome::NotNewer, Some(asked)) => {
                self.service_asked_at = None;
                self.list_fresh_at = self.list_fresh_at.max(Some(asked));
                if self.resumed_at.is_some_and(|resumed_at| asked >= resumed_at) {
                    self.resume(driver, "the list service has answered");
                }
            }
            // This may have been the answer: the list service is asked again until an answer holds nothing new.
            (ListOutcome::Accepted(_), Some(_)) => driver.request_service_list(self.endpoints.held()),
            _ => {}
        }
        self.set_list_service_reachable(now, driver, true);
    }

    /// Records whether this instance reaches the list service, and reports a change to the fleet.
    pub(super) fn set_list_service_reachable(
        &mut self, now: Time, driver: &mut impl FleetDriver, reachable: bool,
    ) {
        let own = self.members.get(self.me).map(|m| m.state).unwrap_or_default();
        if own.list_service_lost == reachable {
            let age = self.list_age(now).map_or(-1.0, Time::ms);
            driver.log(&format!(
                "fleet: the list service is {}, list {age:.0} ms old",
                if reachable { "reachable" } else { "not reachable" }
            ));
            self.update_own_state(
                now,
                driver,
                MemberState {
                    incarnation: own.incarnation + 1,
                    list_service_lost: !reachable,
                    dead: false,
                    suspected_rings: 0,
                    ..own
                },
            );
        }
        if !reachable {
            self.service_retry_at = now + jittered(&mut self.rng, LIST_SERVICE_RETRY);
        }
    }

    pub fn service_up(&mut self, now: Time, driver: &mut impl FleetDriver) {
        self.service_connected_at = Some(now);
        self.request_service_list(now, driver);
    }

    pub(super) fn request_service_list(&mut self, now: Time, driver: &mut impl FleetDriver) {
        self.service_asked_at = Some(now);
        driver.request_service_list(self.endpoints.held());
    }

    pub fn service_down(&mut self, now: Time) {
        self.endpoints.abort(SERVICE_CONNECTION);
        (self.service_connected_at, self.service_asked_at, self.service_tried_at) = (None, None, now);
    }

    /// Whether this instance should watch the list: it is one of the selected watchers, or has to ask the list
    /// service itself, because it has no peers or only a single peer's report of a list far ahead.
    pub(super) fn should_watch(&self, now: Time) -> bool {
        let (linked, alone) = self.watch_from;
        if self.links.values().all(|l| l.peer.is_none()) {
            // Without peers the instance watches as if it had no fleet. While seed peers are still being tried
            // it waits longer, because they may be slow.
            let wait =
                if self.is_introducing() && linked.is_none() { SLOW_INTRODUCTION_DELAY } else { Time(0) };
            return now >= linked.unwrap_or(alone).max(alone + wait);
        }
        if linked.is_none_or(|at| now < at) {
            return false;
        }
        let service_lost = self.members.get(self.me).is_some_and(|m| m.state.list_service_lost);
        let check_due = self.list_check.is_some_and(|(at, _)| now >= at);
        (check_due || self.watcher_candidates(!service_lost).contains(&self.me))
            && (!service_lost || now >= self.service_retry_at)
    }

    pub(super) fn update_watching(&mut self, now: Time, driver: &mut impl FleetDriver) {
        let needed = !self.left && self.should_watch(now);
        if needed {
            self.watch_unneeded_since = None;
        }
        let lingered = !needed && now - *self.watch_unneeded_since.get_or_insert(now) >= WATCH_LINGER;
        if needed && !self.watching {
            (self.watching, self.service_tried_at) = (true, now);
            driver.log("fleet: now watching the list");
            driver.set_watching(true);
        } else if self.watching && (lingered || self.left) {
            self.watching = false;
            self.service_down(now);
            driver.log("fleet: no longer watching the list, other instances do");
            driver.set_watching(false);
        }
        if !self.watching {
            return;
        }
        let waiting_since =
            self.service_asked_at.or(self.service_connected_at.is_none().then_some(self.service_tried_at));
        let peers = self.links.values().any(|l| l.peer.is_some());
        if waiting_since.is_some_and(|at| now - at >= LIST_SERVICE_TIMEOUT) {
            self.set_list_service_reachable(now, driver, false);
            if peers {
                self.watching = false;
                self.service_down(now);
                driver.set_watching(false);
            } else {
                // Without peers there is no other source, so it keeps trying; the change is logged and reported
                // once.
                (self.service_tried_at, self.service_asked_at) = (now, self.service_asked_at.and(Some(now)));
            }
        } else if self.service_connected_at.is_some()
            && self.service_asked_at.is_none()
            && now - self.service_answered_at >= HEARTBEAT_INTERVAL
        {
            self.request_service_list(now, driver);
        }
    }
}
