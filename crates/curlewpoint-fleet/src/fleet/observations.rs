//! Gossip of what schedulers observe of functions at workers. Observations travel like member records, along
//! fewer rings; where a copy directory is kept, only as far as its byte budget leaves room.

use curlewpoint_wire::PREFIX_BYTES;

use super::*;
use crate::directory::GossipPriority;
use crate::frames::hints_frame;

/// The age of one observation differs between two paths by their transit times; usually by no more than this.
const MAX_PATH_SKEW: Time = Time(5_000);

/// Whether the scheduler here already has this observation through the other path.
fn is_known(known: Option<&Observation>, s: &Observation) -> bool {
    known.is_some_and(|k| {
        (k.hint, k.rpcs_held) == (s.hint, s.rpcs_held) && s.observed_at < k.observed_at + MAX_PATH_SKEW
    })
}

impl Fleet {
    /// Delivers rows received through the directory to the scheduler here, unless they have arrived along a
    /// ring.
    pub(super) fn deliver_observations(
        &self, now: Time, driver: &mut impl FleetDriver, rows: &[Observation],
    ) {
        for s in rows.iter().filter(|s| !is_known(self.hints.get(s.worker, s.function), s)) {
            driver.deliver_hint(s.worker, s.function, s.hint, s.rpcs_held, now - s.observed_at);
        }
    }

    /// The scheduler here has observed something; other instances are told if it is news.
    pub fn observe(
        &mut self, now: Time, driver: &mut impl FleetDriver, worker: WorkerId, function: FunctionId,
        hint: Hint, rpcs_held: u64,
    ) {
        if !self.limits.exchange_hints {
            return;
        }
        self.refresh_topology(now);
        let is_news = self.hints.is_news(now, worker, function, hint, rpcs_held);
        let changed = self.hints.get(worker, function).is_none_or(|k| k.hint != hint);
        let Some(node) = &mut self.directory_node else {
            if let Some(observation) = self.hints.observe(now, self.me.run, worker, function, hint, rpcs_held)
            {
                self.gossip_hints(now, driver, None, &[observation]);
            }
            return;
        };
        if !node.directory.gossips() {
            node.directory.observe(now, worker, function, hint, rpcs_held);
            return self.send_batches(now, driver);
        }
        if !is_news {
            // The instance that gossiped it has also sent it to the holders.
            return;
        }
        node.directory.observe(now, worker, function, hint, rpcs_held);
        self.send_batches(now, driver);
        match self.hints.observe(now, self.me.run, worker, function, hint, rpcs_held) {
            Some(observation) => self.gossip_within_budget(
                now,
                driver,
                None,
                &[(GossipPriority::of(&observation, changed, true), observation)],
            ),
            None => self.directory_node.iter_mut().for_each(|a| a.directory.count_not_gossiped(1)),
        }
    }

    /// Handles a peer's hints.
    pub fn hints_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, rows: Vec<Observation>,
    ) {
        if self.links.get(&link).is_none_or(|l| l.peer.is_none()) {
            return;
        }
        self.touch_link(now, link);
        let mut new = Vec::new();
        for s in rows.into_iter().filter(|s| s.run != self.me.run) {
            let changed = self.hints.get(s.worker, s.function).is_none_or(|k| k.hint != s.hint);
            if self.hints.receive(now, s) {
                new.push((GossipPriority::of(&s, changed, false), s));
            }
        }
        for (_, s) in &new {
            let copy = self.directory_node.as_mut().and_then(|a| {
                a.directory.gossip_received(now, s);
                a.directory.copy(s.function, s.worker)
            });
            if self.limits.exchange_hints && !is_known(copy, s) {
                driver.deliver_hint(s.worker, s.function, s.hint, s.rpcs_held, now - s.observed_at);
            }
        }
        if self.directory_node.is_some() {
            return self.gossip_within_budget(now, driver, Some(link), &new);
        }
        let new: Vec<Observation> = new.into_iter().map(|(_, s)| s).collect();
        self.gossip_hints(now, driver, Some(link), &new);
    }

    /// The ring links along which rows are passed on that came from `from`.
    fn gossip_links(&self, from: Option<LinkId>) -> Vec<LinkId> {
        let is_target =
            |l: &Link| matches!(l.purpose, LinkPurpose::Ring(m) if self.hint_targets.contains(&m));
        let selected = |(id, l): &(&LinkId, &Link)| Some(**id) != from && l.peer.is_some() && is_target(l);
        self.links.iter().filter(selected).map(|(id, _)| *id).collect()
    }

    fn gossip_hints(
        &mut self, now: Time, driver: &mut impl FleetDriver, from: Option<LinkId>, new: &[Observation],
    ) {
        for link in self.gossip_links(from) {
            let l = self.links.get_mut(&link).expect("just listed");
            new.iter().for_each(|observation| l.pending_hints.push(*observation));
            if now - l.hints_sent_at >= TICK_INTERVAL {
                self.flush_hints(now, driver, link);
            }
        }
    }

    /// Sends the rows pending on a link; where a directory is kept they are queued for its spare budget
    /// instead.
    pub(super) fn flush_hints(&mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId) {
        let Some(l) = self.links.get_mut(&link).filter(|l| !l.pending_hints.is_empty()) else { return };
        let Some(node) = &mut self.directory_node else {
            l.hints_sent_at = now;
            return driver.send_hints(link, &l.pending_hints.take());
        };
        if !node.directory.gossips() {
            return drop(l.pending_hints.take());
        }
        // These are all known rows, for a peer that has just started.
        let queue = node.gossip_queues.entry(link).or_default();
        while !l.pending_hints.is_empty() {
            for observation in l.pending_hints.take() {
                node.directory.count_not_gossiped(queue.push(
                    now,
                    GossipPriority::of(&observation, true, false),
                    observation,
                ));
            }
        }
    }

    /// Passes rows on along the rings, as far as the directory leaves room.
    fn gossip_within_budget(
        &mut self, now: Time, driver: &mut impl FleetDriver, from: Option<LinkId>,
        new: &[(GossipPriority, Observation)],
    ) {
        let links = self.gossip_links(from);
        let Some(node) = self.directory_node.as_mut().filter(|a| a.directory.gossips()) else { return };
        for link in links {
            let queue = node.gossip_queues.entry(link).or_default();
            for (priority, observation) in new {
                node.directory.count_not_gossiped(queue.push(now, *priority, *observation));
            }
        }
        self.send_gossip(now, driver);
    }

    /// Sends queued gossip at most once per tick, as far as the directory leaves room: first to neighbours that
    /// take no part in the directory, because they have no other source, then to all others in equal shares.
    pub(super) fn send_gossip(&mut self, now: Time, driver: &mut impl FleetDriver) {
        let (Some(node), links) = (&mut self.directory_node, &self.links) else { return };
        if node.gossip_queues.is_empty() || self.left || now - node.gossiped_at < TICK_INTERVAL {
            return;
        }
        node.gossiped_at = now;
        node.gossip_queues.retain(|link, queue| !queue.is_empty() && links.contains_key(link));
        let mut targets: Vec<LinkId> = node.gossip_queues.keys().copied().collect();
        targets.sort_by_key(|link| links.get(link).is_some_and(|l| l.in_directory));
        let mut spare = node.directory.gossip_allowance(now);
        let mut targets_left = targets.len();
        for link in targets {
            let in_directory = links.get(&link).is_some_and(|l| l.in_directory);
            let share = if in_directory { spare / targets_left } else { spare };
            targets_left -= 1;
            let Some(queue) = node.gossip_queues.get_mut(&link) else { continue };
            let (rows, dropped) = queue.take(now, share);
            node.directory.count_not_gossiped(dropped);
            if rows.is_empty() {
                continue;
            }
            let frame = hints_frame(now, &rows);
            let bytes = PREFIX_BYTES + frame.header().len();
            node.directory.charge(bytes);
            spare = spare.saturating_sub(bytes);
            driver.send_directory_frame(link, frame);
        }
    }
}
