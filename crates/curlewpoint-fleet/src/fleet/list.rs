//! The list: what an earlier run has left on disk, and what goes from peer to peer.

use std::collections::btree_map::Entry as MapEntry;
use std::ops::Bound;
use std::sync::Arc;

use super::*;
use crate::frames::row_size;

/// Bytes of rows in one frame: well within the 64 KiB that a peer reads, whatever the last row takes.
const FRAME: usize = 24 << 10;
/// A whole list is told in parts of so many bytes; the next goes once the peer has read the one before, as its beat says.
const PART: usize = 256 << 10;
/// Whole lists that are told at a time; others wait, or ask somebody else.
const AT_A_TIME: usize = 4;
/// Bytes a second of whole lists in all, and at once.
const PACE: (f64, f64) = (4e6, 4e6);
/// A list that was asked for and of which nothing has come for so long is asked for elsewhere, and one that is not whole
/// after the second; where a telling stands still for the first another may begin.
const COME_BY: (Time, Time) = (Time(5_000), Time(50_000));
/// A peer whose word alone does not do is asked for that list again after this.
const VOUCH_AGAIN: Time = Time(20_000);

/// A list that is on its way here.
pub(super) struct Coming {
    link: LinkId,
    since: Time,
    /// When something of it came last.
    at: Time,
}

/// A peer that is told a whole list, or waits for it.
pub(super) struct Telling {
    /// Whoever asked first is told first.
    no: u64,
    /// Once it has begun.
    told: Option<Told>,
    /// The beat that it has to have read before the next part, and when that was sent.
    awaits: Option<(u64, Time)>,
}

struct Told {
    version: (u64, u64),
    rows: Arc<BTreeMap<String, EndpointEntry>>,
    /// The last row that it was told.
    after: String,
}

/// What may still be told of whole lists at this moment.
pub(super) struct Budget {
    left: f64,
    at: Time,
}

impl Budget {
    pub fn new(now: Time) -> Budget {
        Budget { left: PACE.1, at: now }
    }

    /// Whether something may be told; what is told beyond is owed.
    fn has(&mut self, now: Time) -> bool {
        self.left = (self.left + PACE.0 * (now - self.at).ms() / 1000.0).min(PACE.1);
        self.at = now;
        self.left > 0.0
    }
}

/// Tells rows, in as few frames as the peer reads.
fn tell_rows(out: &mut impl FleetDriver, link: LinkId, many: bool, rows: &[(&str, &EndpointEntry)]) {
    if !many || rows.len() == 1 {
        return rows.iter().for_each(|(name, entry)| out.send_list_entry(link, name, entry));
    }
    let (mut from, mut size) = (0, 0);
    for (no, (name, entry)) in rows.iter().enumerate() {
        let row = row_size(name, entry);
        if no > from && size + row > FRAME {
            out.send_list_entries(link, &rows[from..no]);
            (from, size) = (no, 0);
        }
        size += row;
    }
    if from < rows.len() {
        out.send_list_entries(link, &rows[from..]);
    }
}

impl Fleet {
    /// Somebody lived there.
    pub fn remember_peer(&mut self, address: &str) {
        if self.peers.len() < REMEMBERED
            && address != self.address
            && !self.peers.iter().any(|p| p == address)
        {
            self.peers.push(address.to_owned());
        }
    }

    /// The list that was held begins.
    pub fn restore_list(&mut self, now: Time, epoch: u64, version: u64) {
        self.endpoints.begin(DISK, epoch, version, None);
        self.remembered_at = Some(now + REMEMBER_AFTER);
    }

    pub fn restore_entry(&mut self, name: &str, entry: EndpointEntry) {
        self.endpoints.push_entry(DISK, name, entry);
    }

    /// Guards against a start while neither list service nor peers can be reached: what was held before is better than
    /// nothing. Harms where workers were replaced meanwhile: attempts to them fail to connect, which proves that they
    /// never ran. A drain that was not heard of cannot be known; the first list that anybody tells replaces it.
    pub(super) fn use_remembered(&mut self, now: Time, out: &mut impl FleetDriver) {
        if self.remembered_at.is_none_or(|at| now < at) {
            return;
        }
        self.remembered_at = None;
        if self.endpoints.finish(DISK, ListSource::Snapshot) == ListOutcome::Accepted(None) {
            out.log(&format!(
                "fleet: nobody told a list: that of the snapshot is used, {} workers",
                self.endpoints.len()
            ));
            self.hand_over(out, None, None);
        }
    }

    // Telling a list.

    /// A peer says that it reads rows of a list many to a frame.
    pub fn peer_reads_list_rows(&mut self, link: LinkId) {
        self.links.get_mut(&link).into_iter().for_each(|l| l.reads_rows = true);
    }

    /// A peer asks for the list.
    pub fn list_requested(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, held: Option<(u64, u64)>,
    ) {
        self.heard(now, link);
        if self.links.get(&link).is_none_or(|l| l.peer.is_none()) {
            return;
        }
        self.has_list(link, held);
        // One of an earlier release asks again and again while it is being told.
        if !self.tellings.contains_key(&link) {
            self.tell_list(now, out, link, held);
        }
    }

    /// Tells a peer what is newer than what it holds: changes at once, the whole in its turn.
    pub(super) fn tell_list(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, held: Option<(u64, u64)>,
    ) {
        let Some(version) = self.endpoints.held().filter(|v| held.is_none_or(|h| h < *v)) else { return };
        if !self.endpoints.has_changes_since(held) {
            let no = self.tellings.values().map(|t| t.no + 1).max().unwrap_or(0);
            if let MapEntry::Vacant(slot) = self.tellings.entry(link) {
                slot.insert(Telling { no, told: None, awaits: None });
            }
            return self.tell_on(now, out);
        }
        let Some(l) = self.links.get_mut(&link) else { return };
        l.held = Some(version);
        out.send_list_begin(link, version, held.map(|(_, v)| v));
        tell_rows(out, link, l.reads_rows, &self.endpoints.entries_since(held));
        out.send_list_end(link);
    }

    /// A peer has a list: if it is no older than the one that it is being told, that is told no further.
    fn has_list(&mut self, link: LinkId, held: Option<(u64, u64)>) {
        let Some(t) = self.tellings.get(&link) else { return };
        let version = t.told.as_ref().map(|t| t.version).or(self.endpoints.held());
        if held >= version {
            self.tellings.remove(&link);
        }
    }

    /// A peer's beat tells what it has read and what it holds.
    pub(super) fn telling_read(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, echo: u64, held: Option<(u64, u64)>,
    ) {
        self.has_list(link, held);
        if let Some(t) = self.tellings.get_mut(&link) {
            t.awaits = t.awaits.filter(|(tag, _)| echo < *tag);
            self.tell_on(now, out);
        }
    }

    /// Whose turn it is to be told more of a whole list.
    fn next_told(&self, now: Time) -> Option<LinkId> {
        let runs = |t: &&Telling| t.awaits.is_none_or(|(_, at)| now - at < COME_BY.0);
        let running = self.tellings.values().filter(|t| t.told.is_some()).filter(runs).count();
        let ready = |t: &Telling| t.awaits.is_none() && (t.told.is_some() || running < AT_A_TIME);
        let ready = self.tellings.iter().filter(|(_, t)| ready(t));
        ready.min_by_key(|(_, t)| t.no).map(|(link, _)| *link)
    }

    /// Goes on telling whole lists, as far as peers read and the budget goes.
    ///
    /// Guards against a list that overruns a link: it would be cut and dialled anew without end. Harms nobody who reads.
    fn tell_on(&mut self, now: Time, out: &mut impl FleetDriver) {
        let links = &self.links;
        self.tellings.retain(|link, _| links.contains_key(link));
        while self.list_budget.has(now) {
            let Some(link) = self.next_told(now) else { return };
            self.tell_list_part(now, out, link);
        }
    }

    fn tell_list_part(&mut self, now: Time, out: &mut impl FleetDriver, link: LinkId) {
        let (Some(t), Some(l)) = (self.tellings.get_mut(&link), self.links.get_mut(&link)) else { return };
        let told = t.told.get_or_insert_with(|| {
            let version = self.endpoints.held().unwrap_or_default();
            out.send_list_begin(link, version, None);
            Told { version, rows: self.endpoints.entries(), after: String::new() }
        });
        let mut size = 0;
        let from =
            if told.after.is_empty() { Bound::Unbounded } else { Bound::Excluded(told.after.as_str()) };
        let mut left =
            told.rows.range::<str, _>((from, Bound::Unbounded)).map(|(n, e)| (n.as_str(), e)).peekable();
        let mut part = Vec::new();
        while let Some((name, entry)) = left.next_if(|_| size < PART) {
            size += row_size(name, entry);
            part.push((name, entry));
        }
        tell_rows(out, link, l.reads_rows, &part);
        self.list_budget.left -= size as f64;
        if left.peek().is_some() {
            told.after = part.last().map_or(String::new(), |(name, _)| (*name).to_owned());
            // The answer to this beat says that the part before it has been read.
            self.beat(now, out, link, true);
            let awaits = Some((self.next_tag, now));
            self.tellings.get_mut(&link).into_iter().for_each(|t| t.awaits = awaits);
            return;
        }
        out.send_list_end(link);
        let version = Some(told.version);
        l.held = version;
        self.tellings.remove(&link);
        // What has changed while it was told.
        self.tell_list(now, out, link, version);
    }

    /// Time has passed: goes on with lists that are told, and with the one that is on its way here.
    pub(super) fn settle_list(&mut self, now: Time, out: &mut impl FleetDriver) {
        self.tell_on(now, out);
        self.ask_next(now, out);
    }

    // Being told a list.

    pub(super) fn ask_list(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, held: Option<(u64, u64)>,
    ) {
        if self.links.contains_key(&link) {
            self.awaits(now, link);
            out.request_list(link, held);
        }
    }

    /// A list is to come on a link.
    fn awaits(&mut self, now: Time, link: LinkId) {
        let peer = self.links.get(&link).and_then(|l| l.peer);
        // It may stand at the other end of several links; if it stands still, another is to be asked next.
        let its = |(id, l): &(&LinkId, &mut Link)| **id == link || (peer.is_some() && l.peer == peer);
        self.links.iter_mut().filter(its).for_each(|(_, l)| l.ask_from = now + BEAT);
        self.coming = Some(Coming { link, since: now, at: now });
    }

    /// One that says that it knows nobody is told a list unasked, if the peer has one.
    pub(super) fn begins_to_ask(&mut self, now: Time, link: LinkId) {
        if self.endpoints.held().is_none() && !self.is_coming(now) {
            self.awaits(now, link);
        }
    }

    /// A peer says that it holds no newer list: it is not waited for.
    pub(super) fn has_none(&mut self, link: LinkId) {
        self.coming = self.coming.take().filter(|c| c.link != link);
    }

    fn is_coming(&self, now: Time) -> bool {
        let comes = |c: &Coming| {
            self.links.contains_key(&c.link) && now - c.at < COME_BY.0 && now - c.since < COME_BY.1
        };
        self.coming.as_ref().is_some_and(comes)
    }

    /// Links on which a list is on its way, here or there: none of them is closed for the rings' sake.
    ///
    /// Guards against a start that loses the list half way, as whom it looks after changes with each member that it hears
    /// of. Harms nobody: the link is closed behind the list.
    pub(super) fn list_links(&self, now: Time) -> BTreeSet<LinkId> {
        let coming = self.coming.as_ref().filter(|_| self.is_coming(now)).map(|c| c.link);
        self.tellings.keys().copied().chain(coming).collect()
    }

    /// Asks one of those that have said that they hold a newer list, unless one is on its way: whoever was not asked for
    /// longest.
    ///
    /// Guards against being told a list as often as there are peers. Harms where the one asked stands still: the next is
    /// asked half a second and a tick later.
    pub(super) fn ask_next(&mut self, now: Time, out: &mut impl FleetDriver) {
        if self.is_coming(now) {
            return;
        }
        let held = self.endpoints.held();
        let knows = |l: &Link| l.peer.is_some() && l.held > held && l.ask_from <= now;
        let who = self.links.iter().filter(|(_, l)| knows(l));
        let who = who.min_by_key(|(_, l)| (l.ask_from, std::cmp::Reverse(l.held))).map(|(link, _)| *link);
        if let Some(link) = who {
            self.ask_list(now, out, link, held);
        }
    }

    /// Something of a list has come.
    fn comes(&mut self, now: Time, on: Option<LinkId>) {
        let Some(link) = on else { return };
        if let Some(c) = self.coming.as_mut().filter(|c| c.link == link) {
            c.at = now;
        }
    }

    pub fn list_begin_received(
        &mut self, now: Time, on: Option<LinkId>, epoch: u64, version: u64, from: Option<u64>,
    ) {
        self.endpoints.begin(on.map_or(SERVICE, |l| l.0), epoch, version, from);
        self.comes(now, on);
    }

    pub fn list_entry_received(&mut self, now: Time, on: Option<LinkId>, name: &str, entry: EndpointEntry) {
        self.endpoints.push_entry(on.map_or(SERVICE, |l| l.0), name, entry);
        self.comes(now, on);
    }

    /// A list has come to its end, from a peer or (none) from the list service.
    pub fn list_end_received(&mut self, now: Time, out: &mut impl FleetDriver, on: Option<LinkId>) {
        if on.is_some() && self.coming.as_ref().is_some_and(|c| Some(c.link) == on) {
            self.coming = None;
        }
        let (on_book, by) = match on {
            None => (SERVICE, Some(ListSource::Service)),
            Some(link) => {
                self.heard(now, link);
                (link.0, self.links.get(&link).and_then(|l| l.peer).map(|p| ListSource::Peer(p.instance)))
            }
        };
        let Some(by) = by else { return self.endpoints.abort(on_book) };
        let before = self.endpoints.held();
        let taken = self.endpoints.finish(on_book, by);
        if on.is_none() {
            self.service_told(now, out, taken);
        }
        match taken {
            ListOutcome::Accepted(from) => {
                let version = self.endpoints.held().expect("just taken");
                // Another peer has vouched for it meanwhile.
                self.look_at = self.look_at.filter(|(_, of)| *of > version);
                self.hand_over(out, from, before);
                self.stop_late(out);
                self.spread_list(now, out, on, version);
                if self.woke.is_some() && self.links.values().any(|l| l.answered && l.held <= Some(version)) {
                    self.awake(out, "the newest list has come");
                }
            }
            ListOutcome::Gap => match on {
                Some(link) => self.ask_list(now, out, link, before),
                None => out.request_service_list(None),
            },
            ListOutcome::Unconfirmed(epoch, version) => {
                let most = LOOK_EACH.0 as f64 * self.members.alive().count() as f64;
                let wait = OWN_LOOK + Time((most * self.rng.rand_float()) as u64);
                let (_, of) = self.look_at.get_or_insert((now + wait, (epoch, version)));
                *of = (*of).max((epoch, version));
                self.refusals += 1;
                out.log("fleet: one peer alone speaks of a list far on; it is not taken on its word");
                let l = on.and_then(|link| self.links.get_mut(&link));
                l.into_iter().for_each(|l| l.ask_from = now + VOUCH_AGAIN);
            }
            ListOutcome::NotNewer | ListOutcome::Discarded => {}
        }
        self.ask_next(now, out);
    }

    /// Other whole lists that were on their way are not wanted any more: who tells them hears what is held.
    fn stop_late(&mut self, out: &mut impl FleetDriver) {
        let late = self.endpoints.superseded().into_iter().filter(|on| self.links.contains_key(&LinkId(*on)));
        for on in late.collect::<Vec<_>>() {
            self.endpoints.abort(on);
            out.request_list(LinkId(on), self.endpoints.held());
        }
    }

    /// As records: one way round the rings. Whoever needs the whole hears that there is one, and asks for it; and whoever
    /// is left behind by a cut asks at the next beat.
    fn spread_list(
        &mut self, now: Time, out: &mut impl FleetDriver, from: Option<LinkId>, version: (u64, u64),
    ) {
        let theirs = |l: &Link| matches!(l.purpose, Purpose::Theirs);
        let behind = |l: &Link| l.peer.is_some() && !theirs(l) && l.held.is_none_or(|h| h < version);
        let on = |(id, l): &(&LinkId, &Link)| Some(**id) != from && behind(l);
        let to: Vec<LinkId> = self.links.iter().filter(on).map(|(id, _)| *id).collect();
        if let Some(l) = from.and_then(|from| self.links.get_mut(&from)) {
            l.held = l.held.max(Some(version));
        }
        for link in to {
            let held = self.links[&link].held;
            if self.tellings.contains_key(&link) {
                // It is told the rest behind the whole.
            } else if self.endpoints.has_changes_since(held) {
                self.tell_list(now, out, link, held);
            } else {
                self.beat(now, out, link, false);
            }
        }
    }

    /// Hands the list that was just taken to the scheduler: the changes since `before`, or the whole.
    pub(super) fn hand_over(
        &self, out: &mut impl FleetDriver, from: Option<u64>, before: Option<(u64, u64)>,
    ) {
        let Some(version) = self.endpoints.held() else { return };
        out.deliver_list_begin(version, from.and(before).map(|(_, v)| v));
        for (name, entry) in self.endpoints.entries_since(from.and(before)) {
            out.deliver_list_entry(name, entry);
        }
        out.deliver_list_end();
    }
}
