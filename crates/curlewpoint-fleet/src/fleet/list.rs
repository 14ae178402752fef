//! The list: what an earlier run has left on disk, and what goes from peer to peer.

use super::*;

impl Fleet {
    /// Somebody lived there.
    pub fn remember(&mut self, address: &str) {
        if self.peers.len() < REMEMBERED
            && address != self.address
            && !self.peers.iter().any(|p| p == address)
        {
            self.peers.push(address.to_owned());
        }
    }

    /// The list that was held begins.
    pub fn remember_list(&mut self, now: Time, epoch: u64, version: u64) {
        self.book.begins(DISK, epoch, version, None);
        self.remembered_at = Some(now + REMEMBER_AFTER);
    }

    pub fn remember_row(&mut self, name: &str, entry: Entry) {
        self.book.row(DISK, name, entry);
    }

    /// Guards against a start while neither list service nor peers can be reached: what was held before is better than
    /// nothing. Harms where workers were replaced meanwhile: attempts to them fail to connect, which proves that they
    /// never ran. A drain that was not heard of cannot be known; the first list that anybody tells replaces it.
    pub(super) fn use_remembered(&mut self, now: Time, out: &mut impl Outside) {
        if self.remembered_at.is_none_or(|at| now < at) {
            return;
        }
        self.remembered_at = None;
        if self.book.ends(DISK, Source::Disk) == Taken::New(None) {
            out.log(&format!(
                "fleet: nobody told a list: that of the snapshot is used, {} workers",
                self.book.len()
            ));
            self.hand_over(out, None, None);
        }
    }

    /// A peer asks for the list.
    pub fn list_asked(&mut self, now: Time, out: &mut impl Outside, link: LinkId, held: Option<(u64, u64)>) {
        self.heard(now, link);
        if self.links.get(&link).is_some_and(|l| l.peer.is_some()) {
            self.tell_list(out, link, held);
        }
    }

    pub(super) fn tell_list(&mut self, out: &mut impl Outside, link: LinkId, held: Option<(u64, u64)>) {
        let Some(version) = self.book.held().filter(|v| held.is_none_or(|h| h < *v)) else { return };
        let from = held.filter(|_| self.book.knows_since(held)).map(|(_, v)| v);
        out.list_begins(link, version, from);
        for (name, entry) in self.book.since(held) {
            out.list_row(link, name, entry);
        }
        out.list_ends(link);
        self.links.get_mut(&link).into_iter().for_each(|l| l.held = Some(version));
    }

    pub fn list_begins(&mut self, on: Option<LinkId>, epoch: u64, version: u64, from: Option<u64>) {
        self.book.begins(on.map_or(SERVICE, |l| l.0), epoch, version, from);
    }

    pub fn list_row(&mut self, on: Option<LinkId>, name: &str, entry: Entry) {
        self.book.row(on.map_or(SERVICE, |l| l.0), name, entry);
    }

    /// A list has come to its end, from a peer or (none) from the list service.
    pub fn list_ends(&mut self, now: Time, out: &mut impl Outside, on: Option<LinkId>) {
        let (on_book, by) = match on {
            None => (SERVICE, Some(Source::Service)),
            Some(link) => {
                self.heard(now, link);
                (link.0, self.links.get(&link).and_then(|l| l.peer).map(|p| Source::Peer(p.instance)))
            }
        };
        let Some(by) = by else { return self.book.broke(on_book) };
        let before = self.book.held();
        let taken = self.book.ends(on_book, by);
        if on.is_none() {
            self.service_told(now, out, taken);
        }
        match taken {
            Taken::New(from) => {
                let version = self.book.held().expect("just taken");
                // Another peer has vouched for it meanwhile.
                self.look_at = self.look_at.filter(|(_, of)| *of > version);
                self.hand_over(out, from, before);
                // As records: one way round the rings. Whoever is left behind by a cut asks at the next beat.
                let theirs = |l: &Link| matches!(l.purpose, Purpose::Theirs);
                let behind = |l: &Link| l.peer.is_some() && !theirs(l) && l.held.is_none_or(|h| h < version);
                let to: Vec<LinkId> = self
                    .links
                    .iter()
                    .filter(|(id, l)| Some(**id) != on && behind(l))
                    .map(|(l, _)| *l)
                    .collect();
                if let Some(l) = on.and_then(|on| self.links.get_mut(&on)) {
                    l.held = l.held.max(Some(version));
                }
                for link in to {
                    let held = self.links[&link].held;
                    self.tell_list(out, link, held);
                }
                if self.woke.is_some() && self.links.values().any(|l| l.answered && l.held <= Some(version)) {
                    self.awake(out, "the newest list has come");
                }
            }
            Taken::Gap => match on {
                Some(link) => out.ask_list(link, None),
                None => out.ask_service(None),
            },
            Taken::Unvouched(epoch, version) => {
                let most = LOOK_EACH.0 as f64 * self.table.living().count() as f64;
                let wait = OWN_LOOK + Time((most * self.rng.rand_float()) as u64);
                let (_, of) = self.look_at.get_or_insert((now + wait, (epoch, version)));
                *of = (*of).max((epoch, version));
                self.refusals += 1;
                out.log("fleet: one peer alone speaks of a list far on; it is not taken on its word");
            }
            Taken::Old | Taken::Stray => {}
        }
    }

    /// Hands the list that was just taken to the scheduler: the changes since `before`, or the whole.
    pub(super) fn hand_over(&self, out: &mut impl Outside, from: Option<u64>, before: Option<(u64, u64)>) {
        let Some(version) = self.book.held() else { return };
        out.take_begins(version, from);
        for (name, entry) in self.book.since(from.and(before)) {
            out.take_row(name, entry);
        }
        out.take_ends();
    }
}
