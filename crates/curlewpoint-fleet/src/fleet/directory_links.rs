//! The copy directory on links: which peers take part, which links are opened for it and closed again, and what
//! is sent on them.

use curlewpoint_wire::{Frame, PREFIX_BYTES};

use super::*;
use crate::directory::frames;
use crate::directory::{CopyDirectory, DirectorySettings, GossipQueue};

/// Maximum number of links used for the directory alone: opened from here, and opened by peers. When the first
/// is exceeded, the link that has been idle longest is closed; beyond the second a peer is refused and asks
/// another.
const MAX_OUTBOUND_LINKS: usize = 256;
const MAX_INBOUND_LINKS: usize = 512;
/// Rate limit for dialling directory links: per second, and burst.
const DIAL_RATE: (f64, f64) = (8.0, 16.0);
/// Idle time after which a directory link is closed by the side that opened it, and by the other side.
const IDLE_TIMEOUT: (Time, Time) = (Time(600_000), Time(1_500_000));
/// When all outbound links are in use, one that has been idle this long is closed for a new one.
const EVICTABLE_AFTER: Time = Time(10_000);
/// A peer that has not sent its join frame within this time is disconnected.
const JOIN_TIMEOUT: Time = Time(30_000);
/// Rate limit for rows and questions accepted from one peer: per second, and burst. What exceeds it is ignored.
const INTAKE_RATE: (f64, f64) = (500.0, 1_000.0);
/// Interval between removals of closed links from the index.
const SWEEP_INTERVAL: Time = Time(10_000);
/// The topology is recomputed as soon as members have changed, but no sooner than this for each known member:
/// the cost grows with their number, and while a large fleet starts members change all the time. It is
/// recomputed with the next tick at the latest.
const REFRESH_DELAY_PER_MEMBER: Time = Time(1);
/// For this long after its start an instance announces that it has just started, and is sent rows that it may
/// need.
const NEWCOMER_PERIOD: Time = Time(50_000);
/// Approximate size of the announce and join frames without their texts.
const JOIN_OVERHEAD_BYTES: usize = 90;

/// A token bucket.
#[derive(Clone, Copy)]
pub(super) struct TokenBucket {
    tokens: f64,
    at: Time,
}

impl TokenBucket {
    pub fn new(now: Time, (_, burst): (f64, f64)) -> TokenBucket {
        TokenBucket { tokens: burst, at: now }
    }

    /// Takes up to `n` tokens and returns how many.
    fn take(&mut self, now: Time, (rate, burst): (f64, f64), n: usize) -> usize {
        self.tokens = (self.tokens + rate * (now - self.at).ms() / 1000.0).min(burst);
        self.at = now;
        let admitted = n.min(self.tokens as usize);
        self.tokens -= admitted as f64;
        admitted
    }
}

/// A link used for the directory alone. It carries no heartbeats, and nothing is concluded from its silence.
pub(super) struct DirectoryLink {
    /// The member it was opened to, or `None` if the peer opened it.
    to: Option<MemberId>,
    peer: Option<MemberId>,
    in_directory: bool,
    just_started: bool,
    since: Time,
    last_used: Time,
    intake: TokenBucket,
}

fn new_directory_link(now: Time, to: Option<MemberId>) -> DirectoryLink {
    let intake = TokenBucket::new(now, INTAKE_RATE);
    DirectoryLink {
        to,
        peer: None,
        in_directory: to.is_none(),
        just_started: false,
        since: now,
        last_used: now,
        intake,
    }
}

/// The links used for the directory alone, with an index of those opened from here.
#[derive(Default)]
pub(super) struct DirectoryLinks {
    all: BTreeMap<LinkId, DirectoryLink>,
    outbound: BTreeMap<MemberId, LinkId>,
}

impl DirectoryLinks {
    pub fn contains_key(&self, link: &LinkId) -> bool {
        self.all.contains_key(link)
    }

    fn get(&self, link: &LinkId) -> Option<&DirectoryLink> {
        self.all.get(link)
    }

    fn get_mut(&mut self, link: &LinkId) -> Option<&mut DirectoryLink> {
        self.all.get_mut(link)
    }

    fn insert(&mut self, id: LinkId, link: DirectoryLink) {
        if let Some(to) = link.to {
            self.outbound.insert(to, id);
        }
        self.all.insert(id, link);
    }

    pub fn remove(&mut self, id: &LinkId) -> Option<DirectoryLink> {
        let link = self.all.remove(id)?;
        if let Some(to) = link.to.filter(|to| self.outbound.get(to) == Some(id)) {
            self.outbound.remove(&to);
        }
        Some(link)
    }

    fn iter(&self) -> impl Iterator<Item = (&LinkId, &DirectoryLink)> {
        self.all.iter()
    }

    fn len(&self) -> usize {
        self.all.len()
    }

    /// Number of links opened by peers.
    fn inbound_count(&self) -> usize {
        self.all.len() - self.outbound.len()
    }
}

/// The links over which members have joined. Whether a link is still up is checked when it is used, so this
/// index need not be updated when a link ends.
#[derive(Default)]
struct LinkIndex(BTreeMap<MemberId, BTreeSet<LinkId>>);

/// The peer at the other end of a link, if directory frames may be sent on it.
fn peer_of(
    ring_links: &BTreeMap<LinkId, Link>, directory_links: &DirectoryLinks, link: LinkId,
) -> Option<MemberId> {
    match ring_links.get(&link) {
        Some(l) => l.peer.filter(|_| l.in_directory),
        None => directory_links.get(&link).and_then(|l| l.peer),
    }
}

impl LinkIndex {
    fn add(&mut self, member: MemberId, link: LinkId) {
        self.0.entry(member).or_default().insert(link);
    }

    /// A link to a member that is up; preferably a ring link.
    fn link_to(
        &self, ring_links: &BTreeMap<LinkId, Link>, directory_links: &DirectoryLinks, member: MemberId,
    ) -> Option<LinkId> {
        let is_up = |link: &&LinkId| peer_of(ring_links, directory_links, **link) == Some(member);
        let all = self.0.get(&member)?.iter().filter(is_up);
        all.max_by_key(|link| (ring_links.contains_key(link), **link)).copied()
    }

    /// Removes links that have ended.
    fn sweep(&mut self, ring_links: &BTreeMap<LinkId, Link>, directory_links: &DirectoryLinks) {
        let ring = |link: &LinkId| ring_links.get(link).and_then(|l| l.peer);
        self.0.retain(|member, links| {
            links.retain(|l| ring(l).or(peer_of(ring_links, directory_links, *l)) == Some(*member));
            !links.is_empty()
        });
    }
}

/// This instance's copy directory and its links.
pub(super) struct DirectoryNode {
    pub directory: CopyDirectory,
    pub links: DirectoryLinks,
    link_index: LinkIndex,
    /// Gossip queued for each ring link, and when some was last sent.
    pub(super) gossip_queues: BTreeMap<LinkId, GossipQueue>,
    pub(super) gossiped_at: Time,
    swept_at: Time,
    dial_budget: TokenBucket,
    /// When this instance joined the directory.
    joined_at: Time,
    /// Record digest from which the topology was computed, and when.
    topology_digest: Option<u64>,
    topology_updated_at: Time,
}

pub(super) fn intake(now: Time) -> TokenBucket {
    TokenBucket::new(now, INTAKE_RATE)
}

impl Fleet {
    /// Joins the copy directory with a budget of `bytes` per second: see [`CopyDirectory`]. To be called once,
    /// before any link is up.
    pub fn enable_directory(&mut self, now: Time, bytes: u64) {
        self.enable_directory_with_gossip(now, bytes, true);
    }

    /// As [`Fleet::enable_directory`]. With `gossips`, the bytes that the directory leaves are used to gossip
    /// observations along the rings; without, the directory can be tested on its own.
    pub fn enable_directory_with_gossip(&mut self, now: Time, bytes: u64, gossips: bool) {
        let settings = DirectorySettings {
            bytes_per_second: bytes,
            observation_lifetime: self.limits.hint_lifetime,
            exchange_hints: self.limits.exchange_hints,
            gossips,
        };
        let directory = CopyDirectory::new(now, self.me, settings);
        let dial_budget = TokenBucket::new(now, DIAL_RATE);
        self.directory_node = Some(DirectoryNode {
            directory,
            links: DirectoryLinks::default(),
            link_index: LinkIndex::default(),
            gossip_queues: BTreeMap::new(),
            gossiped_at: Time(0),
            swept_at: now,
            dial_budget,
            joined_at: now,
            topology_digest: None,
            topology_updated_at: now,
        });
    }

    /// This instance's copy directory, if it takes part.
    pub fn directory(&self) -> Option<&CopyDirectory> {
        self.directory_node.as_ref().map(|a| &a.directory)
    }

    /// Number of links open for the directory alone, from here and from peers.
    pub fn directory_link_count(&self) -> usize {
        self.directory_node.as_ref().map_or(0, |a| a.links.len())
    }

    /// The link on which frames for a member are sent; `None` if no link to it is up.
    pub fn link_to(&self, member: MemberId) -> Option<LinkId> {
        let node = self.directory_node.as_ref()?;
        node.link_index.link_to(&self.links, &node.links, member)
    }

    /// The peer at the other end of each link for the directory alone.
    pub fn directory_peers(&self) -> impl Iterator<Item = (LinkId, MemberId)> + '_ {
        let all = self.directory_node.iter().flat_map(|a| a.links.iter());
        all.filter_map(|(id, l)| Some((*id, l.peer?)))
    }

    /// The scheduler here has an RPC for a function: if no copy is known, its holders are asked. The RPC does
    /// not wait for the answer.
    pub fn function_requested(&mut self, now: Time, driver: &mut impl FleetDriver, function: FunctionId) {
        self.refresh_topology(now);
        let Some(node) = &mut self.directory_node else { return };
        node.directory.request(now, function);
        self.send_batches(now, driver);
    }

    // Frames from peers.

    /// The peer takes part in the directory; with `only`, it has opened the link for nothing else.
    pub fn directory_join_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, only: bool,
    ) {
        let Some(node) = &mut self.directory_node else { return };
        if let Some(l) = node.links.get_mut(&link) {
            l.in_directory = true;
            return;
        }
        let Some(l) = self.links.get_mut(&link) else { return };
        l.in_directory = true;
        l.peer.into_iter().for_each(|peer| node.directory.link_up(peer));
        if !only || l.peer.is_some() || !matches!(l.purpose, LinkPurpose::Inbound) {
            return;
        }
        if node.links.inbound_count() >= MAX_INBOUND_LINKS {
            return self.refuse_link(driver, link, "as many peers ask as are answered: try another");
        }
        self.links.remove(&link);
        // This instance has sent its join frame by now.
        node.directory.charge(JOIN_OVERHEAD_BYTES + self.fleet.len() + self.name.len() + self.address.len());
        node.links.insert(link, new_directory_link(now, None));
    }

    /// A peer that takes part reports that it has just started.
    pub fn peer_just_started(&mut self, link: LinkId) {
        let node = self.directory_node.as_mut().and_then(|a| a.links.get_mut(&link));
        node.into_iter().for_each(|l| l.just_started = true);
        self.links.get_mut(&link).into_iter().for_each(|l| l.just_started = true);
    }

    /// Handles a join frame if the link is one for the directory alone; returns whether it is.
    pub(super) fn directory_link_joined(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, id: MemberId, name: &str,
        address: &str, state: MemberState,
    ) -> bool {
        if !self.directory_node.as_ref().is_some_and(|a| a.links.contains_key(&link)) {
            return false;
        }
        if !self.merge_record(now, driver, Some(link), id, name, address, state) {
            return true;
        }
        let Some(node) = &mut self.directory_node else { return true };
        let Some(l) = node.links.get_mut(&link) else { return true };
        (l.peer, l.last_used) = (Some(id), now);
        node.link_index.add(id, link);
        node.directory.link_up(id);
        let (replaced, in_directory) = (l.to.filter(|to| *to != id), l.in_directory);
        if l.just_started {
            node.directory.push_to_newcomer(now, id);
        }
        if !in_directory {
            // The peer runs an earlier release or has no directory configured: it would not answer.
            node.directory.mark_non_participant(id);
            node.topology_digest = None;
        }
        // If another run answers, the one that was dialled has ended.
        replaced.into_iter().for_each(|to| node.directory.member_unreachable(now, to));
        if !in_directory || replaced.is_some() {
            node.links.remove(&link);
            driver.close(link);
        }
        self.send_batches(now, driver);
        true
    }

    /// A neighbour on a ring link has joined; `just_started`: it knows few others.
    pub(super) fn neighbour_joined(&mut self, now: Time, link: LinkId, id: MemberId, just_started: bool) {
        let Some(node) = &mut self.directory_node else { return };
        node.link_index.add(id, link);
        node.directory.link_up(id);
        if just_started {
            node.directory.push_to_newcomer(now, id);
        }
    }

    /// A neighbour on a ring link has joined without announcing the directory.
    pub(super) fn neighbour_without_directory(&mut self, id: MemberId) {
        if let Some(node) = &mut self.directory_node {
            if node.directory.mark_non_participant(id) {
                node.topology_digest = None;
            }
        }
    }

    /// The peer on a link and how many of `n` rows are accepted from it. `None`: the peer is not known, or this
    /// instance was paused and the frame may have been buffered meanwhile.
    ///
    /// A buffered row would look younger than it is, because only its age is transmitted. The cost is one
    /// heartbeat without directory rows.
    fn admit_rows(&mut self, now: Time, link: LinkId, n: usize) -> Option<(MemberId, usize)> {
        let node = self.directory_node.as_mut()?;
        if now - self.last_tick >= STALL_THRESHOLD {
            return None;
        }
        let (peer, bucket) = if let Some(l) = node.links.get_mut(&link) {
            l.last_used = now;
            (l.peer?, &mut l.intake)
        } else {
            let l = self.links.get_mut(&link).filter(|l| l.in_directory)?;
            l.last_received = now;
            if self.resumed_at.is_some() && !l.answered_since_stall {
                return None;
            }
            (l.peer?, &mut l.intake)
        };
        let admitted = bucket.take(now, INTAKE_RATE, n);
        if admitted < n {
            node.directory.count_ignored(n - admitted);
        }
        Some((peer, admitted))
    }

    /// Handles a peer's question about functions.
    pub fn directory_query_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, mut functions: Vec<FunctionId>,
    ) {
        let Some((peer, admitted)) = self.admit_rows(now, link, functions.len()) else { return };
        functions.truncate(admitted);
        self.refresh_topology(now);
        if let Some(node) = &mut self.directory_node {
            node.directory.question_received(now, peer, &functions);
        }
        self.send_batches(now, driver);
    }

    /// Handles a peer's answer for some functions, with rows of these and of other functions it was asked for.
    pub fn directory_update_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, answered: Vec<FunctionId>,
        mut rows: Vec<Observation>,
    ) {
        let Some((peer, admitted)) = self.admit_rows(now, link, rows.len()) else { return };
        rows.truncate(admitted);
        self.refresh_topology(now);
        let Some(node) = &mut self.directory_node else { return };
        let new_rows = node.directory.answer_received(now, peer, &answered, rows);
        self.deliver_observations(now, driver, &new_rows);
        self.send_batches(now, driver);
    }

    /// Handles observations of functions that are held here, or for which this instance is the contact.
    pub fn observations_received(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, mut rows: Vec<Observation>,
    ) {
        let Some((peer, admitted)) = self.admit_rows(now, link, rows.len()) else { return };
        rows.truncate(admitted);
        self.refresh_topology(now);
        let Some(node) = &mut self.directory_node else { return };
        let new_rows = node.directory.observations_received(now, peer, rows);
        self.deliver_observations(now, driver, &new_rows);
        self.send_batches(now, driver);
    }

    // Links.

    /// Announces that this instance takes part, before its join frame.
    pub(super) fn announce_directory(&mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId) {
        let Some(node) = &mut self.directory_node else { return };
        let is_own = node.links.get(&link).is_some_and(|l| l.to.is_some());
        if is_own {
            node.directory
                .charge(JOIN_OVERHEAD_BYTES + self.fleet.len() + self.name.len() + self.address.len());
        }
        driver.send_directory_frame(link, frames::join_frame(is_own, now - node.joined_at < NEWCOMER_PERIOD));
    }

    /// Handles the end of a link for the directory alone, or a failed dial; false if it is another link.
    pub(super) fn directory_link_down(&mut self, now: Time, link: LinkId) -> bool {
        let Some(node) = &mut self.directory_node else { return false };
        let Some(l) = node.links.remove(&link) else { return false };
        match (l.to, l.peer) {
            (_, Some(peer)) => node.directory.link_lost(now, peer),
            (Some(to), None) => node.directory.member_unreachable(now, to),
            (None, None) => {}
        }
        true
    }

    /// A ring link has ended: open questions to the peer go to another member.
    pub(super) fn ring_link_lost(&mut self, now: Time, peer: Option<MemberId>) {
        if let (Some(node), Some(peer)) = (&mut self.directory_node, peer) {
            node.directory.link_lost(now, peer);
        }
    }

    /// This instance was paused: frames buffered in these links may be outdated and are dropped with them.
    pub(super) fn close_directory_links(&mut self, driver: &mut impl FleetDriver) {
        let Some(node) = &mut self.directory_node else { return };
        node.directory.reset_after_stall();
        for link in std::mem::take(&mut node.links).all.into_keys() {
            driver.close(link);
        }
    }

    /// Recomputes the topology if members have changed.
    ///
    /// Otherwise an observation made just after members met would be sent only to those known before, and it is
    /// not repeated. The number of members bounds how often this runs.
    pub(super) fn refresh_topology(&mut self, now: Time) {
        let (Some(node), members) = (&mut self.directory_node, &self.members) else { return };
        let pause = Time(REFRESH_DELAY_PER_MEMBER.0 * members.len() as u64).min(TICK_INTERVAL);
        if node.topology_digest == Some(members.digest())
            || (node.topology_digest.is_some() && now - node.topology_updated_at < pause)
        {
            return;
        }
        (node.topology_digest, node.topology_updated_at) = (Some(members.digest()), now);
        node.directory.retain_non_participants(|m| members.get(m).is_some_and(|m| m.state.is_alive()));
        node.directory.update_members(self.me, members.alive().map(|(id, _)| id));
    }

    /// Does periodic work of the directory.
    pub(super) fn advance_directory(&mut self, now: Time, driver: &mut impl FleetDriver) {
        self.refresh_topology(now);
        let Some(node) = &mut self.directory_node else { return };
        node.directory.advance(now);
        let expired = |l: &DirectoryLink| {
            let idle = if l.to.is_some() { IDLE_TIMEOUT.0 } else { IDLE_TIMEOUT.1 };
            now - l.last_used >= idle || (l.peer.is_none() && now - l.since >= JOIN_TIMEOUT)
        };
        let expired: Vec<LinkId> = node.links.iter().filter(|(_, l)| expired(l)).map(|(id, _)| *id).collect();
        for link in expired {
            driver.close(link);
            self.directory_link_down(now, link);
        }
        self.send_batches(now, driver);
        self.send_gossip(now, driver);
        let Some(node) = &mut self.directory_node else { return };
        if now - node.swept_at >= SWEEP_INTERVAL {
            node.swept_at = now;
            node.link_index.sweep(&self.links, &node.links);
        }
        for member in node.directory.unlinked_members() {
            if !self.dial_for_directory(now, driver, member) {
                break;
            }
        }
    }

    /// Sends what is due within the budget, and dials members for which something is queued.
    pub(super) fn send_batches(&mut self, now: Time, driver: &mut impl FleetDriver) {
        let (Some(node), ring_links) = (&mut self.directory_node, &self.links) else { return };
        if self.left {
            return;
        }
        let DirectoryNode { directory, links, link_index, .. } = node;
        let (batches, unlinked) =
            directory.take_batches(now, |m| link_index.link_to(ring_links, links, m).is_some());
        for (to, batch) in batches {
            let Some(link) = link_index.link_to(ring_links, links, to) else { continue };
            if let Some(l) = links.get_mut(&link) {
                l.last_used = now;
            }
            let mut send = |frame: Frame| {
                directory.charge(PREFIX_BYTES + frame.header().len());
                driver.send_directory_frame(link, frame);
            };
            if !batch.questions.is_empty() {
                send(frames::query_frame(&batch.questions));
            }
            if !batch.answered.is_empty() || !batch.copies.is_empty() {
                send(frames::update_frame(now, &batch.answered, &batch.copies));
            }
            if !batch.observations.is_empty() {
                send(frames::observations_frame(now, &batch.observations));
            }
        }
        for member in unlinked {
            self.dial_for_directory(now, driver, member);
        }
    }

    /// Opens a link to a member for the directory alone; false if no more links may be opened now.
    fn dial_for_directory(&mut self, now: Time, driver: &mut impl FleetDriver, member: MemberId) -> bool {
        let Some(node) = &mut self.directory_node else { return false };
        if node.links.outbound.contains_key(&member) || node.directory.is_avoided(now, member) {
            return true;
        }
        let address = self.members.get(member).filter(|m| m.state.is_alive()).map(|m| m.address.clone());
        let Some(address) = address else { return true };
        if node.links.outbound.len() >= MAX_OUTBOUND_LINKS {
            let idle = |l: &DirectoryLink| l.to.is_some() && now - l.last_used >= EVICTABLE_AFTER;
            let idle_longest = node.links.iter().filter(|(_, l)| idle(l)).min_by_key(|(_, l)| l.last_used);
            let Some(link) = idle_longest.map(|(id, _)| *id) else { return false };
            node.links.remove(&link);
            driver.close(link);
        }
        if !node.directory.may_send(now) || node.dial_budget.take(now, DIAL_RATE, 1) == 0 {
            return false;
        }
        self.next_link += 1;
        let link = LinkId(self.next_link);
        node.links.insert(link, new_directory_link(now, Some(member)));
        driver.dial(link, &address);
        true
    }
}
