//! Member records: what peers report, what this instance reports about itself, suspicion and declaring members
//! dead.

use super::*;

impl Fleet {
    /// Handles a peer's join frame, the first on every link.
    pub fn join_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, fleet: &str, id: MemberId,
        name: &str, address: &str, state: MemberState, known: u64,
    ) {
        if fleet != self.fleet {
            return self.refuse_link(driver, link, &format!("this is fleet '{}', not '{fleet}'", self.fleet));
        }
        if known > (self.limits.max_instances * RECORDS_PER_INSTANCE) as u64 {
            return self.refuse_link(driver, link, &format!("it knows {known} members, more than are kept"));
        }
        if id == self.me {
            // A seed peer address that is this instance's own.
            self.links.remove(&link);
            self.directory_link_down(now, link);
            return driver.close(link);
        }
        if self.directory_link_joined(now, driver, link, id, name, address, state) {
            return;
        }
        if !self.merge_record(now, driver, Some(link), id, name, address, state) {
            return;
        }
        if self.links.get(&link).is_some_and(|l| !l.in_directory) {
            self.neighbour_without_directory(id);
        }
        let Some(l) = self.links.get_mut(&link) else { return };
        (l.peer, l.last_received) = (Some(id), now);
        self.introductions += usize::from(matches!(l.purpose, LinkPurpose::Introduction));
        let dialled = if let LinkPurpose::Ring(member) = l.purpose { Some(member) } else { None };
        // What others believe of the peer, so that it can refute it.
        l.pending_records.insert(id);
        if known * 2 <= self.members.len() as u64 {
            l.pending_records.extend(self.members.gossiped().map(|(id, _)| id));
            self.hints.ordered().into_iter().for_each(|observation| l.pending_hints.push(observation));
        }
        let just_started = l.just_started;
        self.unreachable.remove(&id);
        if dialled.is_some_and(|m| m != id) {
            // Another run answers at this address, so the run that was dialled has ended.
            let ended = dialled.expect("checked above");
            l.purpose = LinkPurpose::Introduction;
            if let Some(m) = self.members.get(ended).filter(|m| m.state.is_alive()).cloned() {
                let state = MemberState { suspected_rings: (1 << RING_COUNT) - 1, ..m.state };
                self.merge_record(now, driver, None, ended, &m.name, &m.address, state);
            }
        }
        if self.watch_from.0.is_none() {
            // An instance that ranks first among the configured number of instances does not need to know the
            // other members to become a watcher.
            let position = order_key(WATCHER_SALT, self.me) as f64 / u64::MAX as f64;
            let immediate_share = IMMEDIATE_WATCHER_FACTOR * self.limits.watchers as f64
                / self.instance_count.configured() as f64;
            // The more instances start together, the longer it takes until all know each other.
            let max_delay =
                WATCH_DELAY.0 + Time(WATCH_DELAY_PER_INSTANCE.0 * self.instance_count.configured());
            let wait = if position < immediate_share { Time(0) } else { jittered(&mut self.rng, max_delay) };
            self.watch_from.0 = Some(now + wait);
        }
        self.neighbour_joined(now, link, id, just_started);
        self.instance_count.link_established(now);
        if known <= 1 {
            // With the list a started instance can serve; the member records, which may be hundreds, follow.
            self.send_list(now, driver, link, None);
        }
        self.flush_records(now, driver, link);
        self.flush_hints(now, driver, link);
        self.heartbeat(now, driver, link, true);
        self.update_ring_links(now, driver);
        if self.is_introducing() {
            self.reach_out(now, driver);
        }
    }

    /// Handles a member record from a peer.
    pub fn member_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, id: MemberId, name: &str,
        address: &str, state: MemberState,
    ) {
        // Frames that a peer sent before it was refused are ignored.
        if self.links.get(&link).is_some_and(|l| l.peer.is_some()) {
            self.touch_link(now, link);
            self.merge_record(now, driver, Some(link), id, name, address, state);
        }
    }

    /// Merges a record and passes it on if it is new. Returns false if it was refused, and its link with it.
    pub(super) fn merge_record(
        &mut self, now: Time, driver: &mut impl FleetDriver, from: Option<LinkId>, id: MemberId, name: &str,
        address: &str, state: MemberState,
    ) -> bool {
        if id == self.me {
            self.own_record_received(now, driver, state);
            return true;
        }
        let before = self.members.get(id).map(|m| m.state);
        match self.members.merge(now, id, name, address, state) {
            Ok(false) => {
                // The sender already has this record.
                if let Some(l) = from.and_then(|link| self.links.get_mut(&link)) {
                    if before == Some(state) {
                        l.pending_records.remove(&id);
                    }
                }
            }
            Ok(true) => {
                self.members_changed_at = now;
                let after = self.members.get(id).map(|m| m.state).unwrap_or_default();
                let event = match before {
                    None if after.is_alive() => Some("joins"),
                    Some(b) if b.is_alive() && after.left => Some("leaves"),
                    Some(b) if b.is_alive() && after.dead => Some("is given up"),
                    Some(b) if b.dead && after.is_alive() => Some("is back"),
                    _ => None,
                };
                if let Some(event) = event {
                    self.member_events.entry(event).or_insert((0, name.to_owned())).0 += 1;
                }
                self.gossip_record(now, driver, from, id);
            }
            Err(reason) => {
                let reason = match reason {
                    RecordError::TableFull => "more members than are kept",
                    RecordError::Invalid => "a member whose name is not its own",
                };
                if let Some(link) = from {
                    self.refuse_link(driver, link, reason);
                }
                return false;
            }
        }
        true
    }

    /// Logs one line for each kind of membership event since the last tick, however many members start or fail
    /// together.
    pub(super) fn log_member_events(&mut self, driver: &mut impl FleetDriver) {
        for (event, (n, first)) in std::mem::take(&mut self.member_events) {
            let others = if n > 1 { format!(" and {} others", n - 1) } else { String::new() };
            let (live, known) = (self.members.alive().count(), self.members.len());
            driver.log(&format!("fleet: {first}{others}: {event}, {live} live of {known} known"));
        }
    }

    /// Handles a record about this instance, and refutes it where it is wrong.
    pub(super) fn own_record_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, reported: MemberState,
    ) {
        let own = self.members.get(self.me).map(|m| m.state).unwrap_or_default();
        if self.left {
            return;
        }
        if reported.left {
            // Only this run itself can announce that it leaves, and leaving is final: it has to continue as
            // another run.
            driver.log("fleet: a peer reports that this run has left; continuing as another run");
            self.me.run = RunId(self.rng.rand_u64());
            let _ = self.members.merge(now, self.me, &self.name, &self.address, MemberState::default());
            return self.gossip_record(now, driver, None, self.me);
        }
        let merged = own.merge(reported);
        if reported.incarnation > own.incarnation || merged.dead || merged.is_suspect() {
            let incarnation = merged.incarnation + 1;
            self.update_own_state(
                now,
                driver,
                MemberState { incarnation, dead: false, suspected_rings: 0, ..own },
            );
        } else if merged != own {
            // A single suspicion needs no refutation; it is merged so that the record is the same everywhere.
            let _ = self.members.merge(now, self.me, &self.name, &self.address, merged);
        }
    }

    /// Updates and gossips this instance's own record.
    pub(super) fn update_own_state(&mut self, now: Time, driver: &mut impl FleetDriver, state: MemberState) {
        if self.members.merge(now, self.me, &self.name, &self.address, state) == Ok(true) {
            self.members_changed_at = now;
            self.gossip_record(now, driver, None, self.me);
        }
    }

    pub(super) fn gossip_record(
        &mut self, now: Time, driver: &mut impl FleetDriver, from: Option<LinkId>, id: MemberId,
    ) {
        let to: Vec<LinkId> = self.links.iter().filter(|(l, _)| Some(**l) != from).map(|(l, _)| *l).collect();
        for link in to {
            let l = self.links.get_mut(&link).expect("just listed");
            // Along the rings in one direction only: in both, every record would reach every instance eight
            // times.
            if l.peer.is_some() && !matches!(l.purpose, LinkPurpose::Inbound) {
                l.pending_records.insert(id);
                if now - l.records_sent_at >= TICK_INTERVAL {
                    self.flush_records(now, driver, link);
                }
            }
        }
    }

    pub(super) fn flush_records(&mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId) {
        let Some(l) = self.links.get_mut(&link) else { return };
        l.records_sent_at = now;
        for id in std::mem::take(&mut l.pending_records) {
            if let Some(member) = self.members.get(id) {
                driver.send_member(link, id, member);
            }
        }
    }

    /// Suspects unreachable members, on the rings on which this instance would be the one to monitor them.
    pub(super) fn raise_suspicions(&mut self, now: Time, driver: &mut impl FleetDriver) {
        if self.unreachable.is_empty() {
            return;
        }
        let mut suspected_rings: BTreeMap<MemberId, u8> = BTreeMap::new();
        for ring in 0..RING_COUNT {
            let position = |id: MemberId| {
                order_key(u64::from(ring), id).wrapping_sub(order_key(u64::from(ring), self.me))
            };
            let next = monitored_member(ring, self.me, self.reachable_members()).map_or(u64::MAX, position);
            for id in self.unreachable.keys().filter(|id| position(**id) < next) {
                *suspected_rings.entry(*id).or_default() |= 1 << ring;
            }
        }
        for (id, bits) in suspected_rings {
            // A suspected member needs no further suspicion; each change of a record is sent to all instances.
            let new = |m: &&Member| m.state.suspected_rings & bits != bits && !m.state.is_suspect();
            let Some(m) = self.members.get(id).filter(new).cloned() else {
                continue;
            };
            let state = MemberState { suspected_rings: m.state.suspected_rings | bits, ..m.state };
            self.merge_record(now, driver, None, id, &m.name, &m.address, state);
        }
    }

    /// Declares members dead that have been under suspicion for long enough.
    pub(super) fn declare_dead(&mut self, now: Time) {
        let suspect: Vec<MemberId> = self
            .members
            .alive()
            .filter(|(id, m)| *id != self.me && m.state.is_suspect())
            .map(|(id, _)| id)
            .collect();
        self.suspected_since.retain(|id, _| suspect.binary_search(id).is_ok());
        for id in suspect {
            let since = *self.suspected_since.entry(id).or_insert(now);
            if now - since < SUSPICION_TIMEOUT {
                continue;
            }
            // All instances reach this conclusion from the same record, so it need not be gossiped.
            if let Some(m) = self.members.get(id).cloned() {
                let state = MemberState { dead: true, ..m.state };
                if self.members.merge(now, id, &m.name, &m.address, state) == Ok(true) {
                    self.members_changed_at = now;
                    self.member_events.entry("is given up").or_insert((0, m.name)).0 += 1;
                }
            }
        }
    }

    /// This instance leaves: nothing more of this run is sent.
    pub fn leave(&mut self, now: Time, driver: &mut impl FleetDriver) {
        let own = self.members.get(self.me).map(|m| m.state).unwrap_or_default();
        self.update_own_state(now, driver, MemberState { left: true, ..own });
        self.left = true;
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        for link in all {
            self.flush_records(now, driver, link);
        }
        self.update_watching(now, driver);
    }
}
