use std::collections::{BTreeMap, BTreeSet, VecDeque};

use curlewpoint::types::{FunctionId, Time, WorkerId};

use crate::hints::Seen;
use crate::members::MemberId;

/// What leaves first: questions and answers, loads and refusals, copies that came up, the same again.
pub(super) const ANSWERS: usize = 0;
pub(super) const NEWS: usize = 1;
pub(super) const WARM: usize = 2;
pub(super) const REFRESH: usize = 3;
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
pub struct Parcel {
    pub asked: Vec<FunctionId>,
    pub answered: Vec<FunctionId>,
    /// Rows that belong to answers, and changes for one that has asked.
    pub copies: Vec<Seen>,
    /// Rows for those who hold them.
    pub sights: Vec<Seen>,
}

impl Parcel {
    fn len(&self) -> usize {
        self.asked.len() + self.answered.len() + self.copies.len() + self.sights.len()
    }
}

#[derive(Default)]
pub(super) struct Queue {
    classes: [VecDeque<(Time, MemberId, Item)>; 4],
    waiting: BTreeSet<(MemberId, Item)>,
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
        if !self.waiting.insert((to, item)) {
            return;
        }
        self.classes[class].push_back((now, to, item));
        if self.waiting.len() > WAITING {
            let least = self.classes.iter_mut().rev().find(|c| !c.is_empty());
            if let Some((_, to, item)) = least.and_then(VecDeque::pop_front) {
                self.waiting.remove(&(to, item));
                self.left_out += 1;
            }
        }
    }

    /// Takes what leaves now: see `Directory::parcels`.
    pub fn gather(
        &mut self, now: Time, allowance: f64, linked: impl Fn(MemberId) -> bool,
        rows: impl Fn(FunctionId) -> Vec<Seen>, one: impl Fn(FunctionId, WorkerId) -> Option<Seen>,
    ) -> (BTreeMap<MemberId, Parcel>, BTreeSet<MemberId>) {
        let (mut parcels, mut unlinked) = (BTreeMap::<MemberId, Parcel>::new(), BTreeSet::new());
        let mut left = allowance;
        for class in 0..self.classes.len() {
            let mut kept = VecDeque::new();
            while let Some((at, to, item)) = self.classes[class].pop_front() {
                if now - at >= LIFE {
                    self.waiting.remove(&(to, item));
                    self.left_out += 1;
                    continue;
                }
                if !linked(to) {
                    unlinked.insert(to);
                    kept.push_back((at, to, item));
                    continue;
                }
                let full = parcels.get(&to).is_some_and(|p| p.len() >= AT_A_TIME);
                if left <= 0.0 || full {
                    kept.push_back((at, to, item));
                    continue;
                }
                self.waiting.remove(&(to, item));
                let new = !parcels.contains_key(&to);
                let parcel = parcels.entry(to).or_default();
                let before = parcel.len();
                match item {
                    Item::Ask(f) => parcel.asked.push(f),
                    Item::Answer(f) => {
                        parcel.answered.push(f);
                        parcel.copies.extend(rows(f));
                    }
                    Item::Up(f, w) => parcel.sights.extend(one(f, w)),
                    Item::Down(f, w) => parcel.copies.extend(one(f, w)),
                }
                let each = if matches!(item, Item::Ask(_)) { NAME } else { ROW };
                left -= each * (parcel.len() - before) as f64 + if new { FRAME } else { 0.0 };
            }
            self.classes[class] = kept;
        }
        parcels.retain(|_, p| p.len() > 0);
        (parcels, unlinked)
    }
}
