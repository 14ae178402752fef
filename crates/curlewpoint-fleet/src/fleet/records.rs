//! Records of members: what peers say of each other, what this instance says of itself, doubts and verdicts.

use super::*;

impl Fleet {
    /// Who is at the other end.
    pub fn join_received(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, fleet: &str, id: MemberId,
        name: &str, address: &str, state: MemberState, known: u64,
    ) {
        if fleet != self.fleet {
            return self.refuse(out, link, &format!("this is fleet '{}', not '{fleet}'", self.fleet));
        }
        if known > (self.limits.max_instances * RECORDS) as u64 {
            return self.refuse(out, link, &format!("it knows {known} members, more than are kept"));
        }
        if id == self.me {
            // A peer to begin with that is this instance itself.
            self.links.remove(&link);
            self.ask_link_down(now, link);
            return out.close(link);
        }
        if self.ask_joined(now, out, link, id, name, address, state) {
            return;
        }
        if !self.learn(now, out, Some(link), id, name, address, state) {
            return;
        }
        if self.links.get(&link).is_some_and(|l| !l.takes) {
            self.stranger(id);
        }
        let Some(l) = self.links.get_mut(&link) else { return };
        (l.peer, l.heard) = (Some(id), now);
        self.introduced += usize::from(matches!(l.purpose, Purpose::Meet));
        let looked_for = if let Purpose::Ring(member) = l.purpose { Some(member) } else { None };
        // What others believe of it, that it may speak for itself.
        l.untold.insert(id);
        if known * 2 <= self.members.len() as u64 {
            l.untold.extend(self.members.gossiped().map(|(id, _)| id));
            self.hints.ordered().into_iter().for_each(|seen| l.hints.push(seen));
        }
        let starts = l.starts;
        self.unheard.remove(&id);
        if looked_for.is_some_and(|m| m != id) {
            // Another run answers where that one was: it is not there any more.
            let gone = looked_for.expect("just seen");
            l.purpose = Purpose::Meet;
            if let Some(m) = self.members.get(gone).filter(|m| m.state.is_alive()).cloned() {
                let state = MemberState { suspicions: (1 << RING_COUNT) - 1, ..m.state };
                self.learn(now, out, None, gone, &m.name, &m.address, state);
            }
        }
        if self.watch_from.0.is_none() {
            // Among as many as the file tells, those few would come first: they need not know the others for that.
            let place = order_key(WATCHER_SALT, self.me) as f64 / u64::MAX as f64;
            let few = AT_ONCE * self.limits.watchers as f64 / self.instance_count.configured() as f64;
            // The more start at once, the longer it takes until all know all.
            let most = WATCH_AFTER.0 + Time(KNOWN_AFTER.0 * self.instance_count.configured());
            let wait = if place < few { Time(0) } else { stretch(&mut self.rng, most) };
            self.watch_from.0 = Some(now + wait);
        }
        self.met(now, link, id, starts);
        self.instance_count.link_established(now);
        if known <= 1 {
            // One that has just started can serve by the list; records of members, hundreds of them, come behind it.
            self.tell_list(now, out, link, None);
        }
        self.flush(now, out, link);
        self.flush_hints(now, out, link);
        self.beat(now, out, link, true);
        self.settle_rings(now, out);
        if self.to_introduce() {
            self.reach_out(now, out);
        }
    }

    /// A record of a member.
    pub fn member_received(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, id: MemberId, name: &str,
        address: &str, state: MemberState,
    ) {
        // What a peer sent before it was refused is void with it.
        if self.links.get(&link).is_some_and(|l| l.peer.is_some()) {
            self.heard(now, link);
            self.learn(now, out, Some(link), id, name, address, state);
        }
    }

    /// Takes a record and hands on what is new; false: it was refused, and its link with it.
    pub(super) fn learn(
        &mut self, now: Time, out: &mut impl FleetDriver, from: Option<LinkId>, id: MemberId, name: &str,
        address: &str, state: MemberState,
    ) -> bool {
        if id == self.me {
            self.of_me(now, out, state);
            return true;
        }
        let before = self.members.get(id).map(|m| m.state);
        match self.members.merge(now, id, name, address, state) {
            Ok(false) => {
                // Who tells it needs not be told it.
                if let Some(l) = from.and_then(|link| self.links.get_mut(&link)) {
                    if before == Some(state) {
                        l.untold.remove(&id);
                    }
                }
            }
            Ok(true) => {
                self.members_changed_at = now;
                let after = self.members.get(id).map(|m| m.state).unwrap_or_default();
                let told = match before {
                    None if after.is_alive() => Some("joins"),
                    Some(b) if b.is_alive() && after.left => Some("leaves"),
                    Some(b) if b.is_alive() && after.dead => Some("is given up"),
                    Some(b) if b.dead && after.is_alive() => Some("is back"),
                    _ => None,
                };
                if let Some(what) = told {
                    self.heard_of.entry(what).or_insert((0, name.to_owned())).0 += 1;
                }
                self.spread(now, out, from, id);
            }
            Err(why) => {
                let why = match why {
                    RecordError::TableFull => "more members than are kept",
                    RecordError::Invalid => "a member whose name is not its own",
                };
                if let Some(link) = from {
                    self.refuse(out, link, why);
                }
                return false;
            }
        }
        true
    }

    /// One line for all that was heard of one kind since the last look, however many start or die together.
    pub(super) fn tell_of_members(&mut self, out: &mut impl FleetDriver) {
        for (what, (n, first)) in std::mem::take(&mut self.heard_of) {
            let others = if n > 1 { format!(" and {} others", n - 1) } else { String::new() };
            let (live, known) = (self.members.alive().count(), self.members.len());
            out.log(&format!("fleet: {first}{others}: {what}, {live} live of {known} known"));
        }
    }

    /// What others believe of this instance; where it is wrong it speaks for itself.
    pub(super) fn of_me(&mut self, now: Time, out: &mut impl FleetDriver, said: MemberState) {
        let mine = self.members.get(self.me).map(|m| m.state).unwrap_or_default();
        if self.left {
            return;
        }
        if said.left {
            // Nobody but this run can have said so: it has to be another one from here on, as a goodbye is for good.
            out.log("fleet: a peer says that this run has left; it goes on as another run");
            self.me.run = Run(self.rng.rand_u64());
            let _ = self.members.merge(now, self.me, &self.name, &self.address, MemberState::default());
            return self.spread(now, out, None, self.me);
        }
        let merged = mine.merge(said);
        if said.incarnation > mine.incarnation || merged.dead || merged.is_suspect() {
            let incarnation = merged.incarnation + 1;
            self.speak(now, out, MemberState { incarnation, dead: false, suspicions: 0, ..mine });
        } else if merged != mine {
            // One alone who hears nothing is let be, and believed alike everywhere.
            let _ = self.members.merge(now, self.me, &self.name, &self.address, merged);
        }
    }

    /// Says something new of this instance.
    pub(super) fn speak(&mut self, now: Time, out: &mut impl FleetDriver, state: MemberState) {
        if self.members.merge(now, self.me, &self.name, &self.address, state) == Ok(true) {
            self.members_changed_at = now;
            self.spread(now, out, None, self.me);
        }
    }

    pub(super) fn spread(
        &mut self, now: Time, out: &mut impl FleetDriver, from: Option<LinkId>, id: MemberId,
    ) {
        let to: Vec<LinkId> = self.links.iter().filter(|(l, _)| Some(**l) != from).map(|(l, _)| *l).collect();
        for link in to {
            let l = self.links.get_mut(&link).expect("just listed");
            // Round the rings, each in one direction: over both, everyone would be told everything eight times.
            if l.peer.is_some() && !matches!(l.purpose, Purpose::Theirs) {
                l.untold.insert(id);
                if now - l.told_at >= TICK {
                    self.flush(now, out, link);
                }
            }
        }
    }

    pub(super) fn flush(&mut self, now: Time, out: &mut impl FleetDriver, link: LinkId) {
        let Some(l) = self.links.get_mut(&link) else { return };
        l.told_at = now;
        for id in std::mem::take(&mut l.untold) {
            if let Some(member) = self.members.get(id) {
                out.send_member(link, id, member);
            }
        }
    }

    /// Says of whom it hears nothing, on the rings on which it would be the one to hear.
    pub(super) fn doubt(&mut self, now: Time, out: &mut impl FleetDriver) {
        if self.unheard.is_empty() {
            return;
        }
        let mut suspicions: BTreeMap<MemberId, u8> = BTreeMap::new();
        for ring in 0..RING_COUNT {
            let place = |id: MemberId| {
                order_key(u64::from(ring), id).wrapping_sub(order_key(u64::from(ring), self.me))
            };
            let next = monitored_member(ring, self.me, self.heard_from()).map_or(u64::MAX, place);
            for id in self.unheard.keys().filter(|id| place(**id) < next) {
                *doubts.entry(*id).or_default() |= 1 << ring;
            }
        }
        for (id, bits) in doubts {
            // A suspect needs no more doubt; each change of a record goes to everybody.
            let new = |m: &&Member| m.state.suspicions & bits != bits && !m.state.is_suspect();
            let Some(m) = self.members.get(id).filter(new).cloned() else {
                continue;
            };
            let state = MemberState { suspicions: m.state.suspicions | bits, ..m.state };
            self.learn(now, out, None, id, &m.name, &m.address, state);
        }
    }

    /// Gives up those whom enough others have doubted for long enough.
    pub(super) fn judge(&mut self, now: Time) {
        let suspect: Vec<MemberId> = self
            .members
            .alive()
            .filter(|(id, m)| *id != self.me && m.state.is_suspect())
            .map(|(id, _)| id)
            .collect();
        self.suspects.retain(|id, _| suspect.binary_search(id).is_ok());
        for id in suspect {
            let since = *self.suspects.entry(id).or_insert(now);
            if now - since < SUSPICION {
                continue;
            }
            // All come to the same verdict by the same doubts: nobody has to be told of it.
            if let Some(m) = self.members.get(id).cloned() {
                let state = MemberState { dead: true, ..m.state };
                if self.members.merge(now, id, &m.name, &m.address, state) == Ok(true) {
                    self.members_changed_at = now;
                    self.heard_of.entry("is given up").or_insert((0, m.name)).0 += 1;
                }
            }
        }
    }

    /// This instance ends: nothing of this run is sent any more.
    pub fn leave(&mut self, now: Time, out: &mut impl FleetDriver) {
        let mine = self.members.get(self.me).map(|m| m.state).unwrap_or_default();
        self.speak(now, out, MemberState { left: true, ..mine });
        self.left = true;
        let all: Vec<LinkId> = self.links.keys().copied().collect();
        for link in all {
            self.flush(now, out, link);
        }
        self.settle_watch(now, out);
    }
}
