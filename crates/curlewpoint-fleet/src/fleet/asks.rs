//! The directory of copies on links: who takes part, which links are opened for it and closed again, what leaves on them.

use curlewpoint_wire::{Frame, HEAD_BYTES};

use super::*;
use crate::directory::frames;
use crate::directory::{CopyDirectory, DirectorySettings, Round};

/// Links opened from here for the directory alone, and such links that peers have opened; beyond the first the one idle
/// longest goes, beyond the second a peer is refused, and asks another.
const ASK_LINKS: usize = 256;
const ASK_LINKS_IN: usize = 512;
/// Links opened for it in a second, and at once.
const DIALS: (f64, f64) = (8.0, 16.0);
/// A link over which nothing went for so long is closed by the one that opened it, and later by the other.
const IDLE: (Time, Time) = (Time(600_000), Time(1_500_000));
/// One that is full is made room on by closing a link that was idle for this long.
const ROOM: Time = Time(10_000);
/// Who has not said who it is by then is let go.
const SAID_BY: Time = Time(30_000);
/// Rows and questions that are read of one peer in a second, and at once: what is beyond is passed over.
const INTAKE: (f64, f64) = (500.0, 1_000.0);
/// Between two looks for links that have gone.
const SWEEP: Time = Time(10_000);
/// Who speaks to whom is reckoned anew as soon as members have changed, but no sooner than this for each of them: it
/// costs by members, and in a large fleet's start each moment changes some. At the latest with the next tick.
const RECKON_EACH: Time = Time(1);
/// So long an instance says that it has just started, and is told what it may need.
const STARTS: Time = Time(50_000);
/// What the frames that tell of a link's end who speaks and that it takes part take beside their texts, about.
const JOIN: usize = 90;

/// A number a second, and so many at once.
#[derive(Clone, Copy)]
pub(super) struct Meter {
    left: f64,
    at: Time,
}

impl Meter {
    pub fn new(now: Time, (_, burst): (f64, f64)) -> Meter {
        Meter { left: burst, at: now }
    }

    /// How many of `n` may be had.
    fn take(&mut self, now: Time, (rate, burst): (f64, f64), n: usize) -> usize {
        self.left = (self.left + rate * (now - self.at).ms() / 1000.0).min(burst);
        self.at = now;
        let may = n.min(self.left as usize);
        self.left -= may as f64;
        may
    }
}

/// A link for the directory alone: no beats go over it, and nobody is judged by it.
pub(super) struct AskLink {
    /// Whom it was opened to; none: a peer has opened it.
    to: Option<MemberId>,
    peer: Option<MemberId>,
    takes: bool,
    starts: bool,
    since: Time,
    used: Time,
    intake: Meter,
}

fn ask_link(now: Time, to: Option<MemberId>) -> AskLink {
    let intake = Meter::new(now, INTAKE);
    AskLink { to, peer: None, takes: to.is_none(), starts: false, since: now, used: now, intake }
}

/// Links for the directory alone, and whom they were opened to from here.
#[derive(Default)]
pub(super) struct AskLinks {
    all: BTreeMap<LinkId, AskLink>,
    opened: BTreeMap<MemberId, LinkId>,
}

impl AskLinks {
    pub fn contains_key(&self, link: &LinkId) -> bool {
        self.all.contains_key(link)
    }

    fn get(&self, link: &LinkId) -> Option<&AskLink> {
        self.all.get(link)
    }

    fn get_mut(&mut self, link: &LinkId) -> Option<&mut AskLink> {
        self.all.get_mut(link)
    }

    fn insert(&mut self, id: LinkId, link: AskLink) {
        if let Some(to) = link.to {
            self.opened.insert(to, id);
        }
        self.all.insert(id, link);
    }

    pub fn remove(&mut self, id: &LinkId) -> Option<AskLink> {
        let link = self.all.remove(id)?;
        if let Some(to) = link.to.filter(|to| self.opened.get(to) == Some(id)) {
            self.opened.remove(&to);
        }
        Some(link)
    }

    fn iter(&self) -> impl Iterator<Item = (&LinkId, &AskLink)> {
        self.all.iter()
    }

    fn len(&self) -> usize {
        self.all.len()
    }

    /// Links that peers have opened.
    fn theirs(&self) -> usize {
        self.all.len() - self.opened.len()
    }
}

/// The links over which members were met. Whether one stands is looked up in the links themselves when it is used, so
/// nothing has to be told of it here when it ends, whichever way.
#[derive(Default)]
struct Met(BTreeMap<MemberId, BTreeSet<LinkId>>);

/// Who is at the other end of a link, if the directory's frames may go over it.
fn peer_of(of_rings: &BTreeMap<LinkId, Link>, alone: &AskLinks, link: LinkId) -> Option<MemberId> {
    match of_rings.get(&link) {
        Some(l) => l.peer.filter(|_| l.takes),
        None => alone.get(&link).and_then(|l| l.peer),
    }
}

impl Met {
    fn add(&mut self, member: MemberId, link: LinkId) {
        self.0.entry(member).or_default().insert(link);
    }

    /// A link to a member that stands: one of the rings, where there is one.
    fn link_to(
        &self, of_rings: &BTreeMap<LinkId, Link>, alone: &AskLinks, member: MemberId,
    ) -> Option<LinkId> {
        let stands = |link: &&LinkId| peer_of(of_rings, alone, **link) == Some(member);
        let all = self.0.get(&member)?.iter().filter(stands);
        all.max_by_key(|link| (of_rings.contains_key(link), **link)).copied()
    }

    /// Forgets what has ended.
    fn sweep(&mut self, of_rings: &BTreeMap<LinkId, Link>, alone: &AskLinks) {
        let ring = |link: &LinkId| of_rings.get(link).and_then(|l| l.peer);
        self.0.retain(|member, links| {
            links.retain(|l| ring(l).or(peer_of(of_rings, alone, *l)) == Some(*member));
            !links.is_empty()
        });
    }
}

/// The directory and its links.
pub(super) struct Asks {
    pub directory: CopyDirectory,
    pub links: AskLinks,
    met: Met,
    /// What waits to go round the rings, by link, and when some of it last went.
    pub(super) rounds: BTreeMap<LinkId, Round>,
    pub(super) rounded: Time,
    swept: Time,
    dials: Meter,
    /// When this instance began to take part.
    began: Time,
    /// The records by which it was reckoned who speaks to whom, and when.
    viewed: Option<u64>,
    viewed_at: Time,
}

pub(super) fn intake(now: Time) -> Meter {
    Meter::new(now, INTAKE)
}

impl Fleet {
    /// Takes part in the directory of copies from here on, with so many bytes a second: see [`Directory`]. To be called
    /// once, before any link is up.
    pub fn enable_directory(&mut self, now: Time, bytes: u64) {
        self.enable_directory_with_gossip(now, bytes, true);
    }

    /// The same; `spreads`: what it leaves of the bytes is used to tell all, round the rings. Without, it can be looked at
    /// by itself.
    pub fn enable_directory_with_gossip(&mut self, now: Time, bytes: u64, spreads: bool) {
        let terms = DirectorySettings {
            bytes_per_second: bytes,
            observation_lifetime: self.limits.hint_lifetime,
            exchange_hints: self.limits.exchange_hints,
            gossips: spreads,
        };
        let directory = CopyDirectory::new(now, self.me, terms);
        let dials = Meter::new(now, DIALS);
        self.asks = Some(Asks {
            directory,
            links: AskLinks::default(),
            met: Met::default(),
            rounds: BTreeMap::new(),
            rounded: Time(0),
            swept: now,
            dials,
            began: now,
            viewed: None,
            viewed_at: now,
        });
    }

    /// This instance's part of the directory of copies; none: it takes none.
    pub fn directory(&self) -> Option<&CopyDirectory> {
        self.asks.as_ref().map(|a| &a.directory)
    }

    /// Links that are open for the directory alone, from here and from peers.
    pub fn directory_link_count(&self) -> usize {
        self.asks.as_ref().map_or(0, |a| a.links.len())
    }

    /// The link over which a member is told what waits for it; none: no link to it is up.
    pub fn link_to(&self, member: MemberId) -> Option<LinkId> {
        let asks = self.asks.as_ref()?;
        asks.met.link_to(&self.links, &asks.links, member)
    }

    /// Who is at the other end of each link for the directory alone.
    pub fn directory_peers(&self) -> impl Iterator<Item = (LinkId, MemberId)> + '_ {
        let all = self.asks.iter().flat_map(|a| a.links.iter());
        all.filter_map(|(id, l)| Some((*id, l.peer?)))
    }

    /// The scheduler here has an RPC of a function: a copy of it is asked for where none is known. Nothing waits for it.
    pub fn function_requested(&mut self, now: Time, out: &mut impl FleetDriver, function: FunctionId) {
        self.reckon(now);
        let Some(asks) = &mut self.asks else { return };
        asks.directory.request(now, function);
        self.send_parcels(now, out);
    }

    // What peers say.

    /// A peer takes part; `only`: it has opened the link for nothing else.
    pub fn peer_supports_directory(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, only: bool,
    ) {
        let Some(asks) = &mut self.asks else { return };
        if let Some(l) = asks.links.get_mut(&link) {
            l.takes = true;
            return;
        }
        let Some(l) = self.links.get_mut(&link) else { return };
        l.takes = true;
        l.peer.into_iter().for_each(|peer| asks.directory.link_up(peer));
        if !only || l.peer.is_some() || !matches!(l.purpose, Purpose::Theirs) {
            return;
        }
        if asks.links.theirs() >= ASK_LINKS_IN {
            return self.refuse(out, link, "as many peers ask as are answered: try another");
        }
        self.links.remove(&link);
        // This instance has said who it is by now.
        asks.directory.charge(JOIN + self.fleet.len() + self.name.len() + self.address.len());
        asks.links.insert(link, ask_link(now, None));
    }

    /// A peer that takes part says that it has just started.
    pub fn peer_just_started(&mut self, link: LinkId) {
        let asks = self.asks.as_mut().and_then(|a| a.links.get_mut(&link));
        asks.into_iter().for_each(|l| l.starts = true);
        self.links.get_mut(&link).into_iter().for_each(|l| l.starts = true);
    }

    /// Whether a link is one for the directory alone; if so, who is at its other end has been taken.
    pub(super) fn ask_joined(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, id: MemberId, name: &str,
        address: &str, state: MemberState,
    ) -> bool {
        if !self.asks.as_ref().is_some_and(|a| a.links.contains_key(&link)) {
            return false;
        }
        if !self.learn(now, out, Some(link), id, name, address, state) {
            return true;
        }
        let Some(asks) = &mut self.asks else { return true };
        let Some(l) = asks.links.get_mut(&link) else { return true };
        (l.peer, l.used) = (Some(id), now);
        asks.met.add(id, link);
        asks.directory.link_up(id);
        let (other, takes) = (l.to.filter(|to| *to != id), l.takes);
        if l.starts {
            asks.directory.push_to_newcomer(now, id);
        }
        if !takes {
            // An earlier release, or a configuration without it: it would not answer.
            asks.directory.mark_non_participant(id);
            asks.viewed = None;
        }
        // Where another run answers, the one that was looked for is not there any more.
        other.into_iter().for_each(|to| asks.directory.unreachable(now, to));
        if !takes || other.is_some() {
            asks.links.remove(&link);
            out.close(link);
        }
        self.send_parcels(now, out);
        true
    }

    /// A neighbour has said who it is; `starts`: it has just started, and knows few others.
    pub(super) fn met(&mut self, now: Time, link: LinkId, id: MemberId, starts: bool) {
        let Some(asks) = &mut self.asks else { return };
        asks.met.add(id, link);
        asks.directory.link_up(id);
        if starts {
            asks.directory.push_to_newcomer(now, id);
        }
    }

    /// A neighbour has said who it is without saying that it takes part.
    pub(super) fn stranger(&mut self, id: MemberId) {
        if let Some(asks) = &mut self.asks {
            if asks.directory.mark_non_participant(id) {
                asks.viewed = None;
            }
        }
    }

    /// Who speaks on a link, and how many of `n` rows are read of it; none: it is not known, or what lies in the link may
    /// be old, for this instance stood still.
    ///
    /// Guards against rows that lay in a socket and look young by the age they tell. Harms for the time of a beat.
    fn speaker(&mut self, now: Time, link: LinkId, n: usize) -> Option<(MemberId, usize)> {
        let asks = self.asks.as_mut()?;
        if now - self.ticked >= STALL {
            return None;
        }
        let (peer, meter) = if let Some(l) = asks.links.get_mut(&link) {
            l.used = now;
            (l.peer?, &mut l.intake)
        } else {
            let l = self.links.get_mut(&link).filter(|l| l.takes)?;
            l.heard = now;
            if self.woke.is_some() && !l.answered {
                return None;
            }
            (l.peer?, &mut l.intake)
        };
        let may = meter.take(now, INTAKE, n);
        if may < n {
            asks.directory.count_ignored(n - may);
        }
        Some((peer, may))
    }

    /// A peer asks for what is known of functions.
    pub fn copies_requested(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, mut functions: Vec<FunctionId>,
    ) {
        let Some((peer, may)) = self.speaker(now, link, functions.len()) else { return };
        functions.truncate(may);
        self.reckon(now);
        if let Some(asks) = &mut self.asks {
            asks.directory.question_received(now, peer, &functions);
        }
        self.send_parcels(now, out);
    }

    /// A peer answers for some functions, and tells what it knows of them and of others that were asked for.
    pub fn copies_received(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, answered: Vec<FunctionId>,
        mut rows: Vec<Observation>,
    ) {
        let Some((peer, may)) = self.speaker(now, link, rows.len()) else { return };
        rows.truncate(may);
        self.reckon(now);
        let Some(asks) = &mut self.asks else { return };
        let news = asks.directory.answer_received(now, peer, &answered, rows);
        self.take_copies(now, out, &news);
        self.send_parcels(now, out);
    }

    /// A peer tells what was seen of functions that are held here, or for which this instance is the contact.
    pub fn observations_received(
        &mut self, now: Time, out: &mut impl FleetDriver, link: LinkId, mut rows: Vec<Observation>,
    ) {
        let Some((peer, may)) = self.speaker(now, link, rows.len()) else { return };
        rows.truncate(may);
        self.reckon(now);
        let Some(asks) = &mut self.asks else { return };
        let news = asks.directory.observations_received(now, peer, rows);
        self.take_copies(now, out, &news);
        self.send_parcels(now, out);
    }

    // Links.

    /// Tells that this instance takes part, before it tells who it is.
    pub(super) fn tell_part(&mut self, now: Time, out: &mut impl FleetDriver, link: LinkId) {
        let Some(asks) = &mut self.asks else { return };
        let own = asks.links.get(&link).is_some_and(|l| l.to.is_some());
        if own {
            asks.directory.charge(JOIN + self.fleet.len() + self.name.len() + self.address.len());
        }
        out.send_directory_frame(link, frames::announce_frame(own, now - asks.began < STARTS));
    }

    /// A link for the directory alone has ended, or could not be opened; false: it is another.
    pub(super) fn ask_link_down(&mut self, now: Time, link: LinkId) -> bool {
        let Some(asks) = &mut self.asks else { return false };
        let Some(l) = asks.links.remove(&link) else { return false };
        match (l.to, l.peer) {
            (_, Some(peer)) => asks.directory.link_lost(now, peer),
            (Some(to), None) => asks.directory.unreachable(now, to),
            (None, None) => {}
        }
        true
    }

    /// A link of the rings has ended: what was asked over it goes to another.
    pub(super) fn ring_link_lost(&mut self, now: Time, peer: Option<MemberId>) {
        if let (Some(asks), Some(peer)) = (&mut self.asks, peer) {
            asks.directory.link_lost(now, peer);
        }
    }

    /// This instance stood still: what lies in these links may be old, and goes with them.
    pub(super) fn drop_ask_links(&mut self, out: &mut impl FleetDriver) {
        let Some(asks) = &mut self.asks else { return };
        asks.directory.reset_after_stall();
        for link in std::mem::take(&mut asks.links).all.into_keys() {
            out.close(link);
        }
    }

    /// Reckons anew who speaks to whom, where members have changed.
    ///
    /// Guards against what is seen in the moment after members met being told to those alone who were known before: nobody
    /// says it again. Harms nobody: how often is bounded by the number of members.
    pub(super) fn reckon(&mut self, now: Time) {
        let (Some(asks), members) = (&mut self.asks, &self.members) else { return };
        let pause = Time(RECKON_EACH.0 * members.len() as u64).min(TICK);
        if asks.viewed == Some(members.digest()) || (asks.viewed.is_some() && now - asks.viewed_at < pause) {
            return;
        }
        (asks.viewed, asks.viewed_at) = (Some(members.digest()), now);
        asks.directory.retain_non_participants(|m| members.get(m).is_some_and(|m| m.state.is_alive()));
        asks.directory.update_members(self.me, members.alive().map(|(id, _)| id));
    }

    /// Looks at what time has changed.
    pub(super) fn settle_asks(&mut self, now: Time, out: &mut impl FleetDriver) {
        self.reckon(now);
        let Some(asks) = &mut self.asks else { return };
        asks.directory.advance(now);
        let over = |l: &AskLink| {
            let idle = if l.to.is_some() { IDLE.0 } else { IDLE.1 };
            now - l.used >= idle || (l.peer.is_none() && now - l.since >= SAID_BY)
        };
        let over: Vec<LinkId> = asks.links.iter().filter(|(_, l)| over(l)).map(|(id, _)| *id).collect();
        for link in over {
            out.close(link);
            self.ask_link_down(now, link);
        }
        self.send_parcels(now, out);
        self.send_rounds(now, out);
        let Some(asks) = &mut self.asks else { return };
        if now - asks.swept >= SWEEP {
            asks.swept = now;
            asks.met.sweep(&self.links, &asks.links);
        }
        for member in asks.directory.unlinked_members() {
            if !self.dial_to_ask(now, out, member) {
                break;
            }
        }
    }

    /// Sends what is due and the budget allows, and opens links to those for whom something waits.
    pub(super) fn send_parcels(&mut self, now: Time, out: &mut impl FleetDriver) {
        let (Some(asks), of_rings) = (&mut self.asks, &self.links) else { return };
        if self.left {
            return;
        }
        let Asks { directory, links, met, .. } = asks;
        let (parcels, unlinked) = directory.take_batches(now, |m| met.link_to(of_rings, links, m).is_some());
        for (to, parcel) in parcels {
            let Some(link) = met.link_to(of_rings, links, to) else { continue };
            if let Some(l) = links.get_mut(&link) {
                l.used = now;
            }
            let mut send = |frame: Frame| {
                directory.charge(HEAD_BYTES + frame.head().len());
                out.send_directory_frame(link, frame);
            };
            if !parcel.asked.is_empty() {
                send(frames::copies_request_frame(&parcel.asked));
            }
            if !parcel.answered.is_empty() || !parcel.copies.is_empty() {
                send(frames::copies_frame(now, &parcel.answered, &parcel.copies));
            }
            if !parcel.observations.is_empty() {
                send(frames::observations_frame(now, &parcel.observations));
            }
        }
        for member in unlinked {
            self.dial_to_ask(now, out, member);
        }
    }

    /// Opens a link to a member for the directory alone; false: as many were opened as may be now.
    fn dial_to_ask(&mut self, now: Time, out: &mut impl FleetDriver, member: MemberId) -> bool {
        let Some(asks) = &mut self.asks else { return false };
        if asks.links.opened.contains_key(&member) || asks.directory.is_avoided(now, member) {
            return true;
        }
        let known = self.members.get(member).filter(|m| m.state.is_alive()).map(|m| m.address.clone());
        let Some(address) = known else { return true };
        if asks.links.opened.len() >= ASK_LINKS {
            let idle = |l: &AskLink| l.to.is_some() && now - l.used >= ROOM;
            let longest = asks.links.iter().filter(|(_, l)| idle(l)).min_by_key(|(_, l)| l.used);
            let Some(link) = longest.map(|(id, _)| *id) else { return false };
            asks.links.remove(&link);
            out.close(link);
        }
        if !asks.directory.may_send(now) || asks.dials.take(now, DIALS, 1) == 0 {
            return false;
        }
        self.next_link += 1;
        let link = LinkId(self.next_link);
        asks.links.insert(link, ask_link(now, Some(member)));
        out.dial(link, &address);
        true
    }
}
