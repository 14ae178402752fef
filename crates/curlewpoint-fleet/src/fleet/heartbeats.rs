//! Heartbeats, and recovery after this instance was paused.

use super::*;

impl Fleet {
    pub(super) fn heartbeat(&mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, answer: bool) {
        let age = self.list_age(now);
        let confirmed = self.instance_count.is_confirmed() || self.links.values().any(|l| l.confirmed);
        let Some(l) = self.links.get_mut(&link).filter(|l| l.peer.is_some()) else { return };
        self.next_tag += 1;
        l.sent_tags.push_back((self.next_tag, now));
        if l.sent_tags.len() > 16 {
            l.sent_tags.pop_front();
        }
        l.heartbeat_sent_at = now;
        let (digest, held) = (self.members.digest(), self.endpoints.held());
        driver.send_heartbeat(link, (self.next_tag, l.received_tag), digest, held, age, confirmed, answer);
    }

    /// Handles a peer's heartbeat.
    pub fn heartbeat_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, (tag, echo): (u64, u64),
        digest: u64, held: Option<(u64, u64)>, age: Option<Time>, confirmed: bool, answer: bool,
    ) {
        let Some(l) = self.links.get_mut(&link).filter(|l| l.peer.is_some()) else { return };
        l.last_received = now;
        (l.received_tag, l.digest, l.held, l.confirmed) = (tag, Some(digest), held, confirmed);
        let sent_at = l.sent_tags.iter().find(|(t, _)| *t == echo).map(|(_, at)| *at);
        // The peer wrote this after reading our heartbeat, so its contents held at that time or later, however
        // long the frame was buffered.
        if let (Some(sent_at), Some(age)) = (sent_at, age) {
            if held <= self.endpoints.held() {
                self.list_fresh_at = self.list_fresh_at.max(Some(sent_at - age));
            }
        }
        // A peer that reports no age does not know itself how old its list is. This also excludes a peer that
        // was paused. If no peer knows, the hold time runs out.
        l.answered_since_stall |= age.is_some()
            && sent_at.is_some_and(|at| self.resumed_at.is_some_and(|resumed_at| at >= resumed_at));
        let (answered, behind, askable) =
            (l.answered_since_stall, held > self.endpoints.held(), l.ask_list_from <= now);
        if !behind {
            self.peer_has_no_newer_list(link);
        }
        if behind && self.resumed_at.is_some() && askable {
            // New RPCs are held until the list has arrived, so every peer with a newer list is asked and the
            // first answer counts.
            self.request_list(now, driver, link, self.endpoints.held());
        } else if behind {
            self.request_list_from_next(now, driver);
        }
        self.transfer_acknowledged(now, driver, link, echo, held);
        if answered && !behind && self.resumed_at.is_some() {
            self.resume(driver, "a peer has reported the current list");
        }
        if answer {
            self.heartbeat(now, driver, link, false);
        }
    }

    pub(super) fn resume(&mut self, driver: &mut impl FleetDriver, reason: &str) {
        self.resumed_at = None;
        driver.log(&format!("fleet: resuming after a pause: {reason}"));
    }

    /// Whether a peer has confirmed the instance count or knows an instance that has. `None`: not all peers
    /// have reported yet, and one of them may.
    pub(super) fn peer_confirmed(&self, now: Time) -> Option<bool> {
        let mut reported = self.links.values().filter(|l| l.digest.is_some()).peekable();
        if reported.peek().is_none() {
            return (!self.is_introducing() && now >= self.watch_from.1).then_some(false);
        }
        let confirmed = reported.any(|l| l.confirmed);
        let unreported =
            self.links.values().any(|l| matches!(l.purpose, LinkPurpose::Introduction) && l.digest.is_none());
        (confirmed || !(unreported || self.is_introducing())).then_some(confirmed)
    }

    /// Handles a pause of this instance: it must not judge others by its own silence, nor act on knowledge from
    /// before the pause.
    pub(super) fn handle_stall(&mut self, now: Time, driver: &mut impl FleetDriver) {
        let span = now - self.last_tick;
        driver.log(&format!("fleet: was paused for {:.0} ms", span.ms()));
        self.suspected_since.clear();
        self.list_fresh_at = None;
        // The peer that was asked before the pause may be long gone.
        self.incoming_list = None;
        let peers = self.links.values().any(|l| l.peer.is_some());
        self.resumed_at = (peers || self.watching).then_some(now);
        for l in self.links.values_mut() {
            (l.last_received, l.answered_since_stall) = (now, false);
            // Answers to earlier heartbeats may be buffered in the connection and say nothing about the time
            // since.
            l.sent_tags.clear();
        }
        self.close_directory_links(driver);
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        for link in all {
            self.heartbeat(now, driver, link, true);
        }
        if self.watching {
            // An answer to an earlier request may be buffered in the connection; a new connection excludes
            // that.
            self.service_down(now);
            driver.set_watching(false);
            driver.set_watching(true);
        }
    }
}
