//! Links to peers: which members are dialled, and which links are closed.

use super::*;

impl Fleet {
    /// A link dialled from here is up.
    pub fn link_up(&mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId) {
        if self.directory_node.as_ref().is_some_and(|a| a.links.contains_key(&link)) {
            return self.send_join(now, driver, link);
        }
        let Some(l) = self.links.get_mut(&link) else { return driver.close(link) };
        (l.up, l.last_received, l.since) = (true, now, now);
        self.send_join(now, driver, link);
    }

    /// A peer has opened a link.
    pub fn link_accepted(&mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId) {
        let inbound = self.links.values().filter(|l| matches!(l.purpose, LinkPurpose::Inbound)).count();
        if inbound >= self.limits.max_inbound_links {
            self.refused += 1;
            return driver.refuse(link, "as many peers are connected as are taken: try another");
        }
        self.links.insert(link, new_link(now, LinkPurpose::Inbound));
        self.links.get_mut(&link).into_iter().for_each(|l| l.up = true);
        self.send_join(now, driver, link);
    }

    pub(super) fn send_join(&mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId) {
        self.announce_directory(now, driver, link);
        let known = self.members.len() as u64;
        if let Some(me) = self.members.get(self.me) {
            driver.send_join(link, &self.fleet, self.me, me, known);
        }
        if known <= 1 && self.links.contains_key(&link) {
            self.expect_list_after_join(now, link);
        }
    }

    /// A link has ended or could not be opened.
    pub fn link_down(&mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId) {
        if self.directory_link_down(now, link) {
            return;
        }
        self.endpoints.abort(link.0);
        let Some(l) = self.links.remove(&link) else { return };
        self.ring_link_lost(now, l.peer);
        if matches!(l.purpose, LinkPurpose::Introduction) && l.peer.is_none() {
            self.introductions += 1;
        }
        if let LinkPurpose::Ring(member) = l.purpose {
            if l.up {
                // The member may have been restarted, or only the link has failed: one more dial tells which.
                self.dial(now, driver, LinkPurpose::Ring(member));
            } else {
                self.dial_failed(now, member);
                self.raise_suspicions(now, driver);
            }
        }
    }

    pub(super) fn dial_failed(&mut self, now: Time, member: MemberId) {
        let random = self.rng.rand_float();
        let entry = self.unreachable.entry(member).or_insert(Unreachable {
            failures: 0,
            retry_at: now,
            dialling: false,
        });
        let pause = Time(DIAL_BACK_OFF.0 .0 << entry.failures.min(10)).min(DIAL_BACK_OFF.1);
        entry.failures += 1;
        entry.dialling = false;
        entry.retry_at = now + Time((pause.0 as f64 * (0.5 + 0.5 * random)) as u64);
    }

    pub(super) fn dial(&mut self, now: Time, driver: &mut impl FleetDriver, purpose: LinkPurpose) {
        let address = match &purpose {
            LinkPurpose::Ring(member) => self.members.get(*member).map(|m| m.address.clone()),
            _ => self.introduction_address(),
        };
        let Some(address) = address else { return };
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.links.insert(link, new_link(now, purpose));
        driver.dial(link, &address);
    }

    /// Addresses for the first contacts: the configured seed peers if there are any, because remembered
    /// addresses may be long out of date.
    pub(super) fn introduction_peers(&self) -> &[String] {
        if self.configured_peer_count > 0 {
            &self.peer_addresses[..self.configured_peer_count]
        } else {
            &self.peer_addresses
        }
    }

    pub(super) fn is_introducing(&self) -> bool {
        self.introductions < self.introduction_peers().len().min(REQUIRED_INTRODUCTIONS)
    }

    /// Addresses at which there may be a member that is not known to be alive: members declared dead, and seed
    /// peers.
    pub(super) fn unmet_addresses(&self) -> Vec<String> {
        let living: BTreeSet<&str> = self.members.alive().map(|(_, m)| m.address.as_str()).collect();
        let dead = |m: &Member| m.state.dead && !m.state.left;
        let dead = self.members.iter().filter(|(_, m)| dead(m)).map(|(_, m)| &m.address);
        let all: BTreeSet<&String> =
            dead.chain(&self.peer_addresses).filter(|a| !living.contains(a.as_str())).collect();
        all.into_iter().cloned().collect()
    }

    /// The next address to dial for an introduction.
    pub(super) fn introduction_address(&mut self) -> Option<String> {
        if self.is_introducing() {
            // In order, starting at a position that differs between instances.
            let all = self.introduction_peers();
            let index = (self.me.run.0 as usize).wrapping_add(self.introductions) % all.len();
            return Some(all[index].clone());
        }
        let mut all = self.unmet_addresses();
        if all.is_empty() {
            all.clone_from(&self.peer_addresses);
        }
        let index = self.rng.rand_range(0..all.len().max(1) as u64) as usize;
        all.into_iter().nth(index)
    }

    pub(super) fn touch_link(&mut self, now: Time, link: LinkId) {
        self.links.get_mut(&link).into_iter().for_each(|l| l.last_received = now);
    }

    pub(super) fn refuse_link(&mut self, driver: &mut impl FleetDriver, link: LinkId, reason: &str) {
        self.refused += 1;
        driver.log(&format!("fleet: a peer is refused: {reason}"));
        self.endpoints.abort(link.0);
        self.links.remove(&link);
        self.directory_node.as_mut().and_then(|a| a.links.remove(&link));
        driver.refuse(link, reason);
    }

    pub(super) fn close_unused_links(&mut self, now: Time, driver: &mut impl FleetDriver) {
        let silent = |l: &Link| l.up && now - l.last_received >= LINK_TIMEOUT;
        // An introduction link that no ring uses.
        let unused_introduction = |l: &Link| {
            matches!(l.purpose, LinkPurpose::Introduction)
                && l.up
                && now - l.since >= INTRODUCTION_LINK_LIFETIME
        };
        let busy = self.list_transfer_links(now);
        let obsolete =
            |(id, l): &(&LinkId, &Link)| silent(l) || (unused_introduction(l) && !busy.contains(id));
        let obsolete: Vec<(LinkId, bool)> =
            self.links.iter().filter(obsolete).map(|(id, l)| (*id, silent(l))).collect();
        for (link, silent) in obsolete {
            let joined = self.links.values().filter(|l| l.peer.is_some()).count();
            if silent {
                driver.close(link);
                self.link_down(now, driver, link);
            } else if joined > 1 {
                driver.close(link);
                self.endpoints.abort(link.0);
                self.links.remove(&link);
            }
        }
    }

    /// Members that are alive and not known to be unreachable from here.
    pub(super) fn reachable_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.alive().map(|(id, _)| id).filter(|id| !self.unreachable.contains_key(id))
    }

    /// Opens links to the monitored members and closes ring links to all others.
    pub(super) fn update_ring_links(&mut self, now: Time, driver: &mut impl FleetDriver) {
        let inputs = (self.members.digest(), self.unreachable.keys().copied().collect());
        if inputs != self.monitored_inputs {
            let mut monitored = BTreeSet::new();
            for ring in 0..RING_COUNT {
                monitored.extend(monitored_member(ring, self.me, self.reachable_members()));
                if ring + 1 == HINT_RING_COUNT {
                    self.hint_targets.clone_from(&monitored);
                }
            }
            (self.monitored, self.monitored_inputs) = (monitored, inputs);
        }
        let busy = self.list_transfer_links(now);
        let monitored = &self.monitored;
        let mut linked = BTreeSet::new();
        let mut obsolete = Vec::new();
        for (id, l) in &mut self.links {
            match l.purpose {
                LinkPurpose::Ring(member) if monitored.contains(&member) => drop(linked.insert(member)),
                // This member is being dialled again: see `retry_dials`.
                LinkPurpose::Ring(member) if self.unreachable.contains_key(&member) => {}
                LinkPurpose::Ring(_) if busy.contains(id) => {}
                LinkPurpose::Ring(_) => obsolete.push(*id),
                LinkPurpose::Introduction | LinkPurpose::Inbound => {}
            }
            if let (LinkPurpose::Introduction, Some(peer)) = (&l.purpose, l.peer) {
                if monitored.contains(&peer) && linked.insert(peer) {
                    l.purpose = LinkPurpose::Ring(peer);
                }
            }
        }
        for link in obsolete {
            self.links.remove(&link);
            self.endpoints.abort(link.0);
            driver.close(link);
        }
        for member in monitored.difference(&linked).copied().collect::<Vec<_>>() {
            self.dial(now, driver, LinkPurpose::Ring(member));
        }
    }

    /// Dials unreachable members again when due, and now and then a member outside the rings.
    pub(super) fn retry_dials(&mut self, now: Time, driver: &mut impl FleetDriver) {
        let members = &self.members;
        self.unreachable.retain(|id, _| members.get(*id).is_some_and(|m| m.state.is_alive()));
        let due: Vec<MemberId> = self
            .unreachable
            .iter_mut()
            .filter(|(_, entry)| !entry.dialling && entry.retry_at <= now)
            .map(|(id, entry)| {
                entry.dialling = true;
                *id
            })
            .collect();
        for member in due {
            self.dial(now, driver, LinkPurpose::Ring(member));
        }
        self.reach_out(now, driver);
    }

    /// Opens an introduction link: after the start to the seed peers in turn; later to members that were
    /// declared dead and may be behind a network partition; and otherwise now and then to one of the known
    /// addresses.
    pub(super) fn reach_out(&mut self, now: Time, driver: &mut impl FleetDriver) {
        if self.links.values().any(|l| matches!(l.purpose, LinkPurpose::Introduction) && l.peer.is_none()) {
            return;
        }
        let (last_reach_out, random) = self.last_reach_out;
        let alone = self.links.values().all(|l| l.peer.is_none());
        if !alone && !self.is_introducing() && now - last_reach_out < REACH_OUT_INTERVAL.0 {
            return;
        }
        let pause = match (alone, self.unmet_addresses().is_empty()) {
            _ if self.is_introducing() => Time(0),
            (true, _) => DIAL_BACK_OFF.0,
            (false, false) => REACH_OUT_INTERVAL.0,
            (false, true) => REACH_OUT_INTERVAL.1,
        };
        if now - last_reach_out >= Time((pause.0 as f64 * (1.0 + random)) as u64) {
            self.last_reach_out = (now, self.rng.rand_float());
            self.dial(now, driver, LinkPurpose::Introduction);
        }
    }
}
