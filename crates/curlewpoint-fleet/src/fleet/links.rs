//! Links: who is dialled, who is met, who is let go.

use super::*;

impl Fleet {
    /// A link that was opened from here is up.
    pub fn link_up(&mut self, now: Time, out: &mut impl FleetDriver, link: LinkId) {
        if self.asks.as_ref().is_some_and(|a| a.links.contains_key(&link)) {
            return self.join(now, out, link);
        }
        let Some(l) = self.links.get_mut(&link) else { return out.close(link) };
        (l.up, l.heard, l.since) = (true, now, now);
        self.join(now, out, link);
    }

    /// A peer has opened a link.
    pub fn link_accepted(&mut self, now: Time, out: &mut impl FleetDriver, link: LinkId) {
        let theirs = self.links.values().filter(|l| matches!(l.purpose, Purpose::Theirs)).count();
        if theirs >= self.limits.max_inbound_links {
            self.refusals += 1;
            return out.refuse(link, "as many peers are connected as are taken: try another");
        }
        self.links.insert(link, new_link(now, Purpose::Theirs));
        self.links.get_mut(&link).into_iter().for_each(|l| l.up = true);
        self.join(now, out, link);
    }

    pub(super) fn join(&mut self, now: Time, out: &mut impl FleetDriver, link: LinkId) {
        self.tell_part(now, out, link);
        let known = self.members.len() as u64;
        if let Some(me) = self.members.get(self.me) {
            out.send_join(link, &self.fleet, self.me, me, known);
        }
        if known <= 1 && self.links.contains_key(&link) {
            self.begins_to_ask(now, link);
        }
    }

    /// A link has ended, or could not be opened.
    pub fn link_down(&mut self, now: Time, out: &mut impl FleetDriver, link: LinkId) {
        if self.ask_link_down(now, link) {
            return;
        }
        self.endpoints.abort(link.0);
        let Some(l) = self.links.remove(&link) else { return };
        self.ring_link_lost(now, l.peer);
        if matches!(l.purpose, Purpose::Meet) && l.peer.is_none() {
            self.introduced += 1;
        }
        if let Purpose::Ring(member) = l.purpose {
            if l.up {
                // It may have been restarted, or the link alone has broken: one more dial tells.
                self.dial(now, out, Purpose::Ring(member));
            } else {
                self.not_reached(now, member);
                self.doubt(now, out);
            }
        }
    }

    pub(super) fn not_reached(&mut self, now: Time, member: MemberId) {
        let chance = self.rng.rand_float();
        let u = self.unheard.entry(member).or_insert(Unheard { failures: 0, retry_at: now, dialling: false });
        let pause = Time(BACK_OFF.0 .0 << u.failures.min(10)).min(BACK_OFF.1);
        u.failures += 1;
        u.dialling = false;
        u.retry_at = now + Time((pause.0 as f64 * (0.5 + 0.5 * chance)) as u64);
    }

    pub(super) fn dial(&mut self, now: Time, out: &mut impl FleetDriver, purpose: Purpose) {
        let address = match &purpose {
            Purpose::Ring(member) => self.members.get(*member).map(|m| m.address.clone()),
            _ => self.someone(),
        };
        let Some(address) = address else { return };
        self.next_link += 1;
        let link = LinkId(self.next_link);
        self.links.insert(link, new_link(now, purpose));
        out.dial(link, &address);
    }

    /// Whom to meet first: those in the file, where it names any; what is remembered may be long gone.
    pub(super) fn introducers(&self) -> &[String] {
        if self.told_peers > 0 {
            &self.peers[..self.told_peers]
        } else {
            &self.peers
        }
    }

    pub(super) fn to_introduce(&self) -> bool {
        self.introduced < self.introducers().len().min(INTRODUCED)
    }

    /// Where somebody may be whom this instance does not know as living: those given up, and peers to begin with.
    pub(super) fn unmet(&self) -> Vec<String> {
        let living: BTreeSet<&str> = self.members.alive().map(|(_, m)| m.address.as_str()).collect();
        let dead = |m: &Member| m.state.dead && !m.state.left;
        let dead = self.members.iter().filter(|(_, m)| dead(m)).map(|(_, m)| &m.address);
        let all: BTreeSet<&String> =
            dead.chain(&self.peers).filter(|a| !living.contains(a.as_str())).collect();
        all.into_iter().cloned().collect()
    }

    /// An address at which to meet somebody.
    pub(super) fn someone(&mut self) -> Option<String> {
        if self.to_introduce() {
            // One after the other, from a place of one's own.
            let all = self.introducers();
            let no = (self.me.run.0 as usize).wrapping_add(self.introduced) % all.len();
            return Some(all[no].clone());
        }
        let mut all = self.unmet();
        if all.is_empty() {
            all.clone_from(&self.peers);
        }
        let no = self.rng.rand_range(0..all.len().max(1) as u64) as usize;
        all.into_iter().nth(no)
    }

    pub(super) fn heard(&mut self, now: Time, link: LinkId) {
        self.links.get_mut(&link).into_iter().for_each(|l| l.heard = now);
    }

    pub(super) fn refuse(&mut self, out: &mut impl FleetDriver, link: LinkId, why: &str) {
        self.refusals += 1;
        out.log(&format!("fleet: a peer is refused: {why}"));
        self.endpoints.abort(link.0);
        self.links.remove(&link);
        self.asks.as_mut().and_then(|a| a.links.remove(&link));
        out.refuse(link, why);
    }

    pub(super) fn give_up_links(&mut self, now: Time, out: &mut impl FleetDriver) {
        let silent = |l: &Link| l.up && now - l.heard >= SILENT;
        // One that met somebody whom no ring needs.
        let met = |l: &Link| matches!(l.purpose, Purpose::Meet) && l.up && now - l.since >= MET;
        let busy = self.list_links(now);
        let over = |(id, l): &(&LinkId, &Link)| silent(l) || (met(l) && !busy.contains(id));
        let over: Vec<(LinkId, bool)> =
            self.links.iter().filter(over).map(|(id, l)| (*id, silent(l))).collect();
        for (link, silent) in over {
            let joined = self.links.values().filter(|l| l.peer.is_some()).count();
            if silent {
                out.close(link);
                self.link_down(now, out, link);
            } else if joined > 1 {
                out.close(link);
                self.endpoints.abort(link.0);
                self.links.remove(&link);
            }
        }
    }

    /// Members that live and are not known to be out of reach from here.
    pub(super) fn heard_from(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.alive().map(|(id, _)| id).filter(|id| !self.unheard.contains_key(id))
    }

    /// Links to those whom this instance looks after, and to nobody else.
    pub(super) fn settle_rings(&mut self, now: Time, out: &mut impl FleetDriver) {
        let by = (self.members.digest(), self.unheard.keys().copied().collect());
        if by != self.wanted_by {
            let mut wanted = BTreeSet::new();
            for ring in 0..RING_COUNT {
                wanted.extend(monitored_member(ring, self.me, self.heard_from()));
                if ring + 1 == HINT_RINGS {
                    self.hinted.clone_from(&wanted);
                }
            }
            (self.wanted, self.wanted_by) = (wanted, by);
        }
        let busy = self.list_links(now);
        let wanted = &self.wanted;
        let mut linked = BTreeSet::new();
        let mut over = Vec::new();
        for (id, l) in &mut self.links {
            match l.purpose {
                Purpose::Ring(member) if wanted.contains(&member) => drop(linked.insert(member)),
                // It is being looked into: see `retry`.
                Purpose::Ring(member) if self.unheard.contains_key(&member) => {}
                Purpose::Ring(_) if busy.contains(id) => {}
                Purpose::Ring(_) => over.push(*id),
                Purpose::Meet | Purpose::Theirs => {}
            }
            if let (Purpose::Meet, Some(peer)) = (&l.purpose, l.peer) {
                if wanted.contains(&peer) && linked.insert(peer) {
                    l.purpose = Purpose::Ring(peer);
                }
            }
        }
        for link in over {
            self.links.remove(&link);
            self.endpoints.abort(link.0);
            out.close(link);
        }
        for member in wanted.difference(&linked).copied().collect::<Vec<_>>() {
            self.dial(now, out, Purpose::Ring(member));
        }
    }

    /// Dials those anew that were not reached, and now and then somebody beyond.
    pub(super) fn retry(&mut self, now: Time, out: &mut impl FleetDriver) {
        let members = &self.members;
        self.unheard.retain(|id, _| members.get(*id).is_some_and(|m| m.state.is_alive()));
        let due: Vec<MemberId> = self
            .unheard
            .iter_mut()
            .filter(|(_, u)| !u.dialling && u.retry_at <= now)
            .map(|(id, u)| {
                u.dialling = true;
                *id
            })
            .collect();
        for member in due {
            self.dial(now, out, Purpose::Ring(member));
        }
        self.reach_out(now, out);
    }

    /// Tries to meet somebody: at the start the peers to begin with, one after the other; later those who were given up
    /// and may be behind a cut; and while all is well, now and then, one of the peers.
    pub(super) fn reach_out(&mut self, now: Time, out: &mut impl FleetDriver) {
        if self.links.values().any(|l| matches!(l.purpose, Purpose::Meet) && l.peer.is_none()) {
            return;
        }
        let (reached, chance) = self.reached;
        let alone = self.links.values().all(|l| l.peer.is_none());
        if !alone && !self.to_introduce() && now - reached < REACH_OUT.0 {
            return;
        }
        let pause = match (alone, self.unmet().is_empty()) {
            _ if self.to_introduce() => Time(0),
            (true, _) => BACK_OFF.0,
            (false, false) => REACH_OUT.0,
            (false, true) => REACH_OUT.1,
        };
        if now - reached >= Time((pause.0 as f64 * (1.0 + chance)) as u64) {
            self.reached = (now, self.rng.rand_float());
            self.dial(now, out, Purpose::Meet);
        }
    }
}
