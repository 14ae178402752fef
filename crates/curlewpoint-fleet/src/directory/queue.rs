use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};

use curlewpoint::types::{FunctionId, Time, WorkerId};

use crate::hints::Observation;
use crate::members::MemberId;

/// What leaves first: questions and answers, loads and refusals, copies that came up, the same again.
pub(super) const ANSWERS: usize = 0;
pub(super) const NEWS: usize = 1;
pub(super) const WARM: usize = 2;
pub(super) const REFRESH: usize = 3;
const CLASSES: usize = 4;
/// What of a class waits for more of it before it leaves: so long after the last of it left. It goes at once with what
/// leaves for the same member anyway.
const PAUSE: [Time; CLASSES] = [Time(0), Time(1_000), Time(200), Time(3_000)];
/// What waits in all: beyond it the oldest of the least useful goes.
const WAITING: usize = 2_048;
/// What has waited so long is left out: by then an RPC has been placed without it.
pub(super) const LIFE: Time = Time(10_000);
/// What a row, a name of a function and a frame take, about; what a frame took is charged once it is encoded.
const ROW: f64 = 32.0;
const NAME: f64 = 9.0;
const FRAME: f64 = 16.0;
/// Rows and names to one member at a time, so that a frame stays short.
const AT_A_TIME: usize = 256;

/// What waits to be told to a member. Rows are looked up when they leave: what waits is never old.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Item {
    Ask(FunctionId),
    Answer(FunctionId),
    /// Towards those who hold it.
    Up(FunctionId, WorkerId),
    /// To one that asked for it.
    Down(FunctionId, WorkerId),
}

/// What leaves for one member.
#[derive(Default)]
pub struct Batch {
    pub asked: Vec<FunctionId>,
    pub answered: Vec<FunctionId>,
    /// Rows that belong to answers, and changes for one that has asked.
    pub copies: Vec<Observation>,
    /// Rows for those who hold them.
    pub observations: Vec<Observation>,
}

impl Batch {
    fn len(&self) -> usize {
        self.asked.len() + self.answered.len() + self.copies.len() + self.observations.len()
    }
}

/// What waits for one member, by class, each in its order.
#[derive(Default)]
struct Waiting {
    classes: [VecDeque<(Time, Item)>; CLASSES],
    /// It was found that no link to it is up: it is passed over until there is one.
    apart: bool,
}

/// Members for whom something waits, for each class by how long it has.
type Lines = [BTreeSet<(Time, MemberId)>; CLASSES];

#[derive(Default)]
pub(super) struct Queue {
    members: BTreeMap<MemberId, Waiting>,
    /// Each thing that waits, and its class: in another class's line it is void.
    waiting: BTreeMap<(MemberId, Item), usize>,
    lines: Lines,
    /// The same for those who stand apart.
    apart: Lines,
    /// When a class last left.
    left_at: [Time; CLASSES],
    left_out: u64,
}

impl Queue {
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn push(&mut self, now: Time, class: usize, to: MemberId, item: Item) {
        if self.waiting.get(&(to, item)).is_some_and(|known| *known <= class) {
            return;
        }
        self.waiting.insert((to, item), class);
        let w = self.members.entry(to).or_default();
        if w.classes[class].is_empty() {
            let lines = if w.apart { &mut self.apart } else { &mut self.lines };
            lines[class].insert((now, to));
        }
        w.classes[class].push_back((now, item));
        while self.waiting.len() > WAITING {
            if !self.leave_out_least() {
                break;
            }
        }
    }

    /// The oldest of the least useful goes; false: nothing waits.
    fn leave_out_least(&mut self) -> bool {
        for class in (0..CLASSES).rev() {
            let oldest = self.lines[class].first().into_iter().chain(self.apart[class].first()).min();
            let Some((_, to)) = oldest.copied() else { continue };
            if self.pop(class, to).is_some() {
                self.left_out += 1;
            }
            return true;
        }
        false
    }

    /// Takes the first of a class that waits for a member; none: it was void.
    fn pop(&mut self, class: usize, to: MemberId) -> Option<Item> {
        let w = self.members.get_mut(&to)?;
        let lines = if w.apart { &mut self.apart } else { &mut self.lines };
        let (at, item) = w.classes[class].pop_front()?;
        lines[class].remove(&(at, to));
        match w.classes[class].front() {
            Some((next, _)) => drop(lines[class].insert((*next, to))),
            None if w.classes.iter().all(VecDeque::is_empty) => drop(self.members.remove(&to)),
            None => {}
        }
        if self.waiting.get(&(to, item)) != Some(&class) {
            return None;
        }
        self.waiting.remove(&(to, item));
        Some(item)
    }

    /// A link to a member is up, or none is.
    pub fn linked(&mut self, to: MemberId, is_linked: bool) {
        let Some(w) = self.members.get_mut(&to).filter(|w| w.apart == is_linked) else { return };
        w.apart = !is_linked;
        let (from, into) =
            if is_linked { (&mut self.apart, &mut self.lines) } else { (&mut self.lines, &mut self.apart) };
        for (class, waiting) in w.classes.iter().enumerate() {
            if let Some((at, _)) = waiting.front() {
                from[class].remove(&(*at, to));
                into[class].insert((*at, to));
            }
        }
    }

    /// Those to whom no link is up, the longest waiting of the most useful first.
    pub fn apart(&self) -> Vec<MemberId> {
        let mut seen = BTreeSet::new();
        self.apart.iter().flatten().map(|(_, to)| *to).filter(|to| seen.insert(*to)).collect()
    }

    /// Leaves out what has waited too long.
    pub fn expire(&mut self, now: Time) {
        for class in 0..CLASSES {
            loop {
                let first = self.lines[class].first().into_iter().chain(self.apart[class].first()).min();
                let Some((_, to)) = first.filter(|(at, _)| now - *at >= LIFE).copied() else { break };
                self.left_out += u64::from(self.pop(class, to).is_some());
            }
        }
    }

    /// Whether a class has waited for more of it long enough.
    fn is_due(&self, now: Time, class: usize) -> bool {
        !self.lines[class].is_empty() && now - self.left_at[class] >= PAUSE[class]
    }

    /// Takes what leaves now: see `Directory::parcels`. Costs by what leaves, not by what waits.
    pub fn gather(
        &mut self, now: Time, allowance: f64, linked: impl Fn(MemberId) -> bool,
        rows: impl Fn(FunctionId) -> Vec<Observation>,
        one: impl Fn(FunctionId, WorkerId) -> Option<Observation>,
    ) -> (BTreeMap<MemberId, Batch>, Vec<MemberId>) {
        let (mut parcels, mut unlinked) = (BTreeMap::<MemberId, Batch>::new(), Vec::new());
        let due: Vec<bool> = (0..CLASSES).map(|class| self.is_due(now, class)).collect();
        if !due.contains(&true) {
            return (parcels, unlinked);
        }
        self.expire(now);
        let mut left = allowance;
        for class in (0..CLASSES).filter(|class| due[*class]) {
            self.left_at[class] = now;
            let mut after = Unbounded;
            while left > 0.0 {
                let next = self.lines[class].range((after, Unbounded)).next().copied();
                let Some((at, to)) = next else { break };
                after = Excluded((at, to));
                if !linked(to) {
                    self.linked(to, false);
                    unlinked.push(to);
                    continue;
                }
                self.fill(class, to, &mut parcels, &mut left, &rows, &one);
            }
        }
        // What goes along takes no frame of its own.
        let to: Vec<MemberId> = parcels.keys().copied().collect();
        for class in (0..CLASSES).filter(|class| !due[*class]) {
            to.iter().for_each(|to| self.fill(class, *to, &mut parcels, &mut left, &rows, &one));
        }
        parcels.retain(|_, p| p.len() > 0);
        (parcels, unlinked)
    }

    /// Takes what waits of a class for a member, as far as it fits.
    fn fill(
        &mut self, class: usize, to: MemberId, parcels: &mut BTreeMap<MemberId, Batch>, left: &mut f64,
        rows: impl Fn(FunctionId) -> Vec<Observation>,
        one: impl Fn(FunctionId, WorkerId) -> Option<Observation>,
    ) {
        let waits = |q: &Queue| q.members.get(&to).is_some_and(|w| !w.classes[class].is_empty());
        if !waits(self) {
            return;
        }
        let parcel = parcels.entry(to).or_insert_with(|| {
            *left -= FRAME;
            Batch::default()
        });
        while *left > 0.0 && parcel.len() < AT_A_TIME && waits(self) {
            let Some(item) = self.pop(class, to) else { continue };
            let before = parcel.len();
            match item {
                Item::Ask(f) => parcel.asked.push(f),
                Item::Answer(f) => {
                    parcel.answered.push(f);
                    parcel.copies.extend(rows(f));
                }
                Item::Up(f, w) => parcel.observations.extend(one(f, w)),
                Item::Down(f, w) => parcel.copies.extend(one(f, w)),
            }
            let each = if matches!(item, Item::Ask(_)) { NAME } else { ROW };
            *left -= each * (parcel.len() - before) as f64;
        }
    }
}
