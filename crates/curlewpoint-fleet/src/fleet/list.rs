//! The endpoint list: restoring it from the snapshot, sending it to peers and receiving it from them.

use std::collections::btree_map::Entry as MapEntry;
use std::ops::Bound;
use std::sync::Arc;

use super::*;
use crate::frames::row_size;

/// Bytes of entries in one frame: well within the 64 KiB that a peer reads, whatever the size of the last
/// entry.
const ENTRIES_FRAME_BYTES: usize = 24 << 10;
/// A whole list is sent in parts of this many bytes. The next part follows once a heartbeat shows that the peer
/// has read the one before.
const TRANSFER_PART_BYTES: usize = 256 << 10;
/// Whole lists sent at the same time; further peers wait, or ask another instance.
const MAX_CONCURRENT_TRANSFERS: usize = 4;
/// Rate limit for whole lists over all links: bytes per second, and burst.
const TRANSFER_RATE: (f64, f64) = (4e6, 4e6);
/// How long without any data, and how long in total, until a requested list is requested from another peer. A
/// transfer whose peer acknowledges nothing for the first value no longer counts against
/// `MAX_CONCURRENT_TRANSFERS`.
const TRANSFER_TIMEOUT: (Time, Time) = (Time(5_000), Time(50_000));
/// A peer whose list was not accepted without confirmation is asked for it again after this time.
const CONFIRMATION_RETRY: Time = Time(20_000);

/// A list that is being received.
pub(super) struct IncomingList {
    link: LinkId,
    since: Time,
    /// When data last arrived.
    at: Time,
}

/// A whole list being sent to a peer, or queued for it.
pub(super) struct Transfer {
    /// Position in the queue: first come, first served.
    number: u64,
    /// Progress, once sending has begun.
    progress: Option<TransferProgress>,
    /// The heartbeat that the peer must acknowledge before the next part, and when it was sent.
    unacknowledged: Option<(u64, Time)>,
}

struct TransferProgress {
    version: (u64, u64),
    rows: Arc<BTreeMap<String, EndpointEntry>>,
    /// Name of the last entry sent.
    after: String,
}

/// Token bucket for the bytes of whole lists.
pub(super) struct TransferBudget {
    bytes: f64,
    at: Time,
}

impl TransferBudget {
    pub fn new(now: Time) -> TransferBudget {
        TransferBudget { bytes: TRANSFER_RATE.1, at: now }
    }

    /// Whether anything may be sent. A part may overdraw the budget; the debt delays the next part.
    fn has_bytes(&mut self, now: Time) -> bool {
        self.bytes = (self.bytes + TRANSFER_RATE.0 * (now - self.at).ms() / 1000.0).min(TRANSFER_RATE.1);
        self.at = now;
        self.bytes > 0.0
    }
}

/// Sends entries in as few frames as the peer can read.
fn send_entries(
    driver: &mut impl FleetDriver, link: LinkId, several_per_frame: bool, rows: &[(&str, &EndpointEntry)],
) {
    if !several_per_frame || rows.len() == 1 {
        return rows.iter().for_each(|(name, entry)| driver.send_list_entry(link, name, entry));
    }
    let (mut from, mut size) = (0, 0);
    for (index, (name, entry)) in rows.iter().enumerate() {
        let row = row_size(name, entry);
        if index > from && size + row > ENTRIES_FRAME_BYTES {
            driver.send_list_entries(link, &rows[from..index]);
            (from, size) = (index, 0);
        }
        size += row;
    }
    if from < rows.len() {
        driver.send_list_entries(link, &rows[from..]);
    }
}

impl Fleet {
    /// Remembers an address from an earlier run at which there was a member.
    pub fn remember_peer(&mut self, address: &str) {
        if self.peer_addresses.len() < MAX_REMEMBERED_PEERS
            && address != self.address
            && !self.peer_addresses.iter().any(|p| p == address)
        {
            self.peer_addresses.push(address.to_owned());
        }
    }

    /// Begins to restore the list of the snapshot.
    pub fn restore_list(&mut self, now: Time, epoch: u64, version: u64) {
        self.endpoints.begin(SNAPSHOT_CONNECTION, epoch, version, None);
        self.snapshot_use_at = Some(now + SNAPSHOT_USE_DELAY);
    }

    pub fn restore_entry(&mut self, name: &str, entry: EndpointEntry) {
        self.endpoints.push_entry(SNAPSHOT_CONNECTION, name, entry);
    }

    /// Uses the list of the snapshot if none has arrived. This lets an instance start while neither the list
    /// service nor peers can be reached. Where workers were replaced meanwhile, attempts to them fail to
    /// connect, which proves that they never ran. Drains in between are not known; the first list that arrives
    /// replaces this one.
    pub(super) fn use_snapshot_list(&mut self, now: Time, driver: &mut impl FleetDriver) {
        if self.snapshot_use_at.is_none_or(|at| now < at) {
            return;
        }
        self.snapshot_use_at = None;
        if self.endpoints.finish(SNAPSHOT_CONNECTION, ListSource::Snapshot) == ListOutcome::Accepted(None) {
            driver.log(&format!(
                "fleet: no list received, using the list of the snapshot, {} workers",
                self.endpoints.len()
            ));
            self.deliver_list(driver, None, None);
        }
    }

    // Sending a list.

    /// The peer accepts frames that hold several list entries.
    pub fn peer_accepts_list_entries(&mut self, link: LinkId) {
        self.links.get_mut(&link).into_iter().for_each(|l| l.accepts_list_entries = true);
    }

    /// Handles a peer's request for the list.
    pub fn list_requested(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, held: Option<(u64, u64)>,
    ) {
        self.touch_link(now, link);
        if self.links.get(&link).is_none_or(|l| l.peer.is_none()) {
            return;
        }
        self.peer_has_list(link, held);
        // An earlier release repeats its request while it is being sent the list.
        if !self.transfers.contains_key(&link) {
            self.send_list(now, driver, link, held);
        }
    }

    /// Sends a peer what is newer than the version it holds: changes at once, a whole list when its turn comes.
    pub(super) fn send_list(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, held: Option<(u64, u64)>,
    ) {
        let Some(version) = self.endpoints.held().filter(|v| held.is_none_or(|h| h < *v)) else { return };
        if !self.endpoints.has_changes_since(held) {
            let number = self.transfers.values().map(|t| t.number + 1).max().unwrap_or(0);
            if let MapEntry::Vacant(slot) = self.transfers.entry(link) {
                slot.insert(Transfer { number, progress: None, unacknowledged: None });
            }
            return self.advance_transfers(now, driver);
        }
        let Some(l) = self.links.get_mut(&link) else { return };
        l.held = Some(version);
        driver.send_list_begin(link, version, held.map(|(_, v)| v));
        send_entries(driver, link, l.accepts_list_entries, &self.endpoints.entries_since(held));
        driver.send_list_end(link);
    }

    /// Ends the transfer to a peer that already holds the version being sent, or a newer one.
    fn peer_has_list(&mut self, link: LinkId, held: Option<(u64, u64)>) {
        let Some(t) = self.transfers.get(&link) else { return };
        let version = t.progress.as_ref().map(|t| t.version).or(self.endpoints.held());
        if held >= version {
            self.transfers.remove(&link);
        }
    }

    /// Handles what a peer's heartbeat acknowledges, and the version it holds.
    pub(super) fn transfer_acknowledged(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, echo: u64,
        held: Option<(u64, u64)>,
    ) {
        self.peer_has_list(link, held);
        if let Some(t) = self.transfers.get_mut(&link) {
            t.unacknowledged = t.unacknowledged.filter(|(tag, _)| echo < *tag);
            self.advance_transfers(now, driver);
        }
    }

    /// The link that is next to be sent a part of a whole list.
    fn next_transfer(&self, now: Time) -> Option<LinkId> {
        let is_active = |t: &&Transfer| t.unacknowledged.is_none_or(|(_, at)| now - at < TRANSFER_TIMEOUT.0);
        let running = self.transfers.values().filter(|t| t.progress.is_some()).filter(is_active).count();
        let eligible = |t: &Transfer| {
            t.unacknowledged.is_none() && (t.progress.is_some() || running < MAX_CONCURRENT_TRANSFERS)
        };
        let eligible = self.transfers.iter().filter(|(_, t)| eligible(t));
        eligible.min_by_key(|(_, t)| t.number).map(|(link, _)| *link)
    }

    /// Continues transfers, as far as peers have read and the budget allows.
    ///
    /// Without this flow control a long list overruns the link's outbox, and the link is cut and dialled again
    /// endlessly.
    fn advance_transfers(&mut self, now: Time, driver: &mut impl FleetDriver) {
        let links = &self.links;
        self.transfers.retain(|link, _| links.contains_key(link));
        while self.transfer_budget.has_bytes(now) {
            let Some(link) = self.next_transfer(now) else { return };
            self.send_transfer_part(now, driver, link);
        }
    }

    fn send_transfer_part(&mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId) {
        let (Some(t), Some(l)) = (self.transfers.get_mut(&link), self.links.get_mut(&link)) else { return };
        let progress = t.progress.get_or_insert_with(|| {
            let version = self.endpoints.held().unwrap_or_default();
            driver.send_list_begin(link, version, None);
            TransferProgress { version, rows: self.endpoints.entries(), after: String::new() }
        });
        let mut size = 0;
        let from = if progress.after.is_empty() {
            Bound::Unbounded
        } else {
            Bound::Excluded(progress.after.as_str())
        };
        let mut left =
            progress.rows.range::<str, _>((from, Bound::Unbounded)).map(|(n, e)| (n.as_str(), e)).peekable();
        let mut part = Vec::new();
        while let Some((name, entry)) = left.next_if(|_| size < TRANSFER_PART_BYTES) {
            size += row_size(name, entry);
            part.push((name, entry));
        }
        send_entries(driver, link, l.accepts_list_entries, &part);
        self.transfer_budget.bytes -= size as f64;
        if left.peek().is_some() {
            progress.after = part.last().map_or(String::new(), |(name, _)| (*name).to_owned());
            // The answer to this heartbeat acknowledges this part.
            self.heartbeat(now, driver, link, true);
            let unacknowledged = Some((self.next_tag, now));
            self.transfers.get_mut(&link).into_iter().for_each(|t| t.unacknowledged = unacknowledged);
            return;
        }
        driver.send_list_end(link);
        let version = Some(progress.version);
        l.held = version;
        self.transfers.remove(&link);
        // Changes that arrived during the transfer.
        self.send_list(now, driver, link, version);
    }

    /// Continues the lists that are being sent and the one that is being received.
    pub(super) fn advance_lists(&mut self, now: Time, driver: &mut impl FleetDriver) {
        self.advance_transfers(now, driver);
        self.request_list_from_next(now, driver);
    }

    // Receiving a list.

    pub(super) fn request_list(
        &mut self, now: Time, driver: &mut impl FleetDriver, link: LinkId, held: Option<(u64, u64)>,
    ) {
        if self.links.contains_key(&link) {
            self.expect_list(now, link);
            driver.request_list(link, held);
        }
    }

    /// Expects a list on a link.
    fn expect_list(&mut self, now: Time, link: LinkId) {
        let peer = self.links.get(&link).and_then(|l| l.peer);
        // The peer may be at the other end of several links. If it is paused, the next request has to go to
        // another peer.
        let same_peer = |(id, l): &(&LinkId, &mut Link)| **id == link || (peer.is_some() && l.peer == peer);
        self.links.iter_mut().filter(same_peer).for_each(|(_, l)| l.ask_list_from = now + HEARTBEAT_INTERVAL);
        self.incoming_list = Some(IncomingList { link, since: now, at: now });
    }

    /// A peer sends its list unasked to an instance that reports in its join frame that it knows no members.
    pub(super) fn expect_list_after_join(&mut self, now: Time, link: LinkId) {
        if self.endpoints.held().is_none() && !self.is_receiving_list(now) {
            self.expect_list(now, link);
        }
    }

    /// The peer holds no newer list, so none is expected from it.
    pub(super) fn peer_has_no_newer_list(&mut self, link: LinkId) {
        self.incoming_list = self.incoming_list.take().filter(|c| c.link != link);
    }

    fn is_receiving_list(&self, now: Time) -> bool {
        let active = |c: &IncomingList| {
            self.links.contains_key(&c.link)
                && now - c.at < TRANSFER_TIMEOUT.0
                && now - c.since < TRANSFER_TIMEOUT.1
        };
        self.incoming_list.as_ref().is_some_and(active)
    }

    /// Links on which a list is being sent or received; they are not closed when the rings change.
    ///
    /// A starting instance monitors other members with each record it receives; closing these links would lose
    /// the list half way. They are closed after the transfer.
    pub(super) fn list_transfer_links(&self, now: Time) -> BTreeSet<LinkId> {
        let incoming = self.incoming_list.as_ref().filter(|_| self.is_receiving_list(now)).map(|c| c.link);
        self.transfers.keys().copied().chain(incoming).collect()
    }

    /// Unless a list is already being received, asks one of the peers that hold a newer one: the one that was
    /// asked least recently.
    ///
    /// One request at a time avoids receiving the list once from every peer. If the peer asked is paused, the
    /// next one is asked after `TRANSFER_TIMEOUT` and a tick.
    pub(super) fn request_list_from_next(&mut self, now: Time, driver: &mut impl FleetDriver) {
        if self.is_receiving_list(now) {
            return;
        }
        let held = self.endpoints.held();
        let offers_list = |l: &Link| l.peer.is_some() && l.held > held && l.ask_list_from <= now;
        let candidates = self.links.iter().filter(|(_, l)| offers_list(l));
        let next = candidates
            .min_by_key(|(_, l)| (l.ask_list_from, std::cmp::Reverse(l.held)))
            .map(|(link, _)| *link);
        if let Some(link) = next {
            self.request_list(now, driver, link, held);
        }
    }

    /// Data of a list has arrived.
    fn list_data_received(&mut self, now: Time, from_link: Option<LinkId>) {
        let Some(link) = from_link else { return };
        if let Some(c) = self.incoming_list.as_mut().filter(|c| c.link == link) {
            c.at = now;
        }
    }

    pub fn list_begin_received(
        &mut self, now: Time, from_link: Option<LinkId>, epoch: u64, version: u64, from: Option<u64>,
    ) {
        self.endpoints.begin(from_link.map_or(SERVICE_CONNECTION, |l| l.0), epoch, version, from);
        self.list_data_received(now, from_link);
    }

    pub fn list_entry_received(
        &mut self, now: Time, from_link: Option<LinkId>, name: &str, entry: EndpointEntry,
    ) {
        self.endpoints.push_entry(from_link.map_or(SERVICE_CONNECTION, |l| l.0), name, entry);
        self.list_data_received(now, from_link);
    }

    /// A list from a peer or (`None`) from the list service is complete.
    pub fn list_end_received(&mut self, now: Time, driver: &mut impl FleetDriver, from_link: Option<LinkId>) {
        if from_link.is_some() && self.incoming_list.as_ref().is_some_and(|c| Some(c.link) == from_link) {
            self.incoming_list = None;
        }
        let (connection, source) = match from_link {
            None => (SERVICE_CONNECTION, Some(ListSource::Service)),
            Some(link) => {
                self.touch_link(now, link);
                (link.0, self.links.get(&link).and_then(|l| l.peer).map(|p| ListSource::Peer(p.instance)))
            }
        };
        let Some(source) = source else { return self.endpoints.abort(connection) };
        let before = self.endpoints.held();
        let outcome = self.endpoints.finish(connection, source);
        if from_link.is_none() {
            self.service_list_received(now, driver, outcome);
        }
        match outcome {
            ListOutcome::Accepted(from) => {
                let version = self.endpoints.held().expect("just taken");
                // Another peer has confirmed it meanwhile.
                self.list_check = self.list_check.filter(|(_, of)| *of > version);
                self.deliver_list(driver, from, before);
                self.cancel_superseded(driver);
                self.propagate_list(now, driver, from_link, version);
                if self.resumed_at.is_some()
                    && self.links.values().any(|l| l.answered_since_stall && l.held <= Some(version))
                {
                    self.resume(driver, "the newest list has arrived");
                }
            }
            ListOutcome::Gap => match from_link {
                Some(link) => self.request_list(now, driver, link, before),
                None => driver.request_service_list(None),
            },
            ListOutcome::Unconfirmed(epoch, version) => {
                let max_spread =
                    LIST_CHECK_SPREAD_PER_INSTANCE.0 as f64 * self.members.alive().count() as f64;
                let wait = LIST_CHECK_DELAY + Time((max_spread * self.rng.rand_float()) as u64);
                let (_, of) = self.list_check.get_or_insert((now + wait, (epoch, version)));
                *of = (*of).max((epoch, version));
                self.refused += 1;
                driver
                    .log("fleet: a single peer reports a list far ahead; not accepted without confirmation");
                let l = from_link.and_then(|link| self.links.get_mut(&link));
                l.into_iter().for_each(|l| l.ask_list_from = now + CONFIRMATION_RETRY);
            }
            ListOutcome::NotNewer | ListOutcome::Discarded => {}
        }
        self.request_list_from_next(now, driver);
    }

    /// Cancels other whole lists that are being received: their senders are told which version is held.
    fn cancel_superseded(&mut self, driver: &mut impl FleetDriver) {
        let superseded = self
            .endpoints
            .superseded()
            .into_iter()
            .filter(|connection| self.links.contains_key(&LinkId(*connection)));
        for connection in superseded.collect::<Vec<_>>() {
            self.endpoints.abort(connection);
            driver.request_list(LinkId(connection), self.endpoints.held());
        }
    }

    /// Propagates a new list like member records, in one direction along the rings. A peer that needs the whole
    /// list learns from a heartbeat that there is a newer one and asks for it; so does a peer that missed the
    /// change during a network partition.
    fn propagate_list(
        &mut self, now: Time, driver: &mut impl FleetDriver, from: Option<LinkId>, version: (u64, u64),
    ) {
        let is_inbound = |l: &Link| matches!(l.purpose, LinkPurpose::Inbound);
        let needs_list = |l: &Link| l.peer.is_some() && !is_inbound(l) && l.held.is_none_or(|h| h < version);
        let selected = |(id, l): &(&LinkId, &Link)| Some(**id) != from && needs_list(l);
        let to: Vec<LinkId> = self.links.iter().filter(selected).map(|(id, _)| *id).collect();
        if let Some(l) = from.and_then(|from| self.links.get_mut(&from)) {
            l.held = l.held.max(Some(version));
        }
        for link in to {
            let held = self.links[&link].held;
            if self.transfers.contains_key(&link) {
                // The changes follow when the transfer ends.
            } else if self.endpoints.has_changes_since(held) {
                self.send_list(now, driver, link, held);
            } else {
                self.heartbeat(now, driver, link, false);
            }
        }
    }

    /// Passes the accepted list to the scheduler: the changes since `before`, or the whole list.
    pub(super) fn deliver_list(
        &self, driver: &mut impl FleetDriver, from: Option<u64>, before: Option<(u64, u64)>,
    ) {
        let Some(version) = self.endpoints.held() else { return };
        driver.deliver_list_begin(version, from.and(before).map(|(_, v)| v));
        for (name, entry) in self.endpoints.entries_since(from.and(before)) {
            driver.deliver_list_entry(name, entry);
        }
        driver.deliver_list_end();
    }
}
