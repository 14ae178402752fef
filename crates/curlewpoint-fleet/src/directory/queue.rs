use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};

use curlewpoint::types::{FunctionId, Time, WorkerId};

use crate::hints::Observation;
use crate::members::MemberId;

/// Priority classes, in the order in which they are sent: questions and answers; loads and refusals; copies
/// that became ready; repetitions.
pub(super) const CLASS_QUERY: usize = 0;
pub(super) const CLASS_STATUS: usize = 1;
pub(super) const CLASS_COPY_READY: usize = 2;
pub(super) const CLASS_REFRESH: usize = 3;
const CLASS_COUNT: usize = 4;
/// Minimum interval between two batches of a class, so that more of it can gather. Items for a member that is
/// sent a batch anyway are sent with it.
const CLASS_INTERVAL: [Time; CLASS_COUNT] = [Time(0), Time(1_000), Time(200), Time(3_000)];
/// Maximum number of queued items. Beyond it the oldest of the least useful class is dropped.
const MAX_QUEUED_ITEMS: usize = 2_048;
/// Items queued for this long are dropped: by then an RPC has been placed without them.
pub(super) const MAX_QUEUE_AGE: Time = Time(10_000);
/// Approximate bytes of a row, a function name and a frame. The exact size of a frame is charged once it is
/// encoded.
const ROW_BYTES: f64 = 32.0;
const NAME_BYTES: f64 = 9.0;
const FRAME_BYTES: f64 = 16.0;
/// Maximum number of rows and names sent to one member at a time, to keep frames short.
const MAX_BATCH_ITEMS: usize = 256;

/// An item queued for a member. Rows are looked up when they are sent, so they are never outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueItem {
    Ask(FunctionId),
    Answer(FunctionId),
    /// A row for the holders of the function.
    ToHolder(FunctionId, WorkerId),
    /// A row for a subscriber.
    ToSubscriber(FunctionId, WorkerId),
}

/// What is sent to one member.
#[derive(Default)]
pub struct Batch {
    pub questions: Vec<FunctionId>,
    pub answered: Vec<FunctionId>,
    /// Rows that belong to answers, and changes for subscribers.
    pub copies: Vec<Observation>,
    /// Rows for the holders.
    pub observations: Vec<Observation>,
}

impl Batch {
    fn len(&self) -> usize {
        self.questions.len() + self.answered.len() + self.copies.len() + self.observations.len()
    }
}

/// The items queued for one member, by class and in order.
#[derive(Default)]
struct MemberQueue {
    classes: [VecDeque<(Time, QueueItem)>; CLASS_COUNT],
    /// No link to the member was up when something was to be sent; it is skipped until there is one.
    unlinked: bool,
}

/// For each class, the members with queued items, by the age of the oldest.
type MembersByAge = [BTreeSet<(Time, MemberId)>; CLASS_COUNT];

#[derive(Default)]
pub(super) struct Queue {
    members: BTreeMap<MemberId, MemberQueue>,
    /// Every queued item and its class. An entry of the same item in another class's queue is void.
    queued: BTreeMap<(MemberId, QueueItem), usize>,
    linked_members: MembersByAge,
    /// The same for members without a link.
    unlinked_members: MembersByAge,
    /// When items of each class were last sent.
    sent_at: [Time; CLASS_COUNT],
    dropped: u64,
}

impl Queue {
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    pub fn push(&mut self, now: Time, class: usize, to: MemberId, item: QueueItem) {
        if self.queued.get(&(to, item)).is_some_and(|known| *known <= class) {
            return;
        }
        self.queued.insert((to, item), class);
        let w = self.members.entry(to).or_default();
        if w.classes[class].is_empty() {
            let index = if w.unlinked { &mut self.unlinked_members } else { &mut self.linked_members };
            index[class].insert((now, to));
        }
        w.classes[class].push_back((now, item));
        while self.queued.len() > MAX_QUEUED_ITEMS {
            if !self.drop_least_useful() {
                break;
            }
        }
    }

    /// Drops the oldest item of the least useful class; false if nothing is queued.
    fn drop_least_useful(&mut self) -> bool {
        for class in (0..CLASS_COUNT).rev() {
            let oldest = self.linked_members[class]
                .first()
                .into_iter()
                .chain(self.unlinked_members[class].first())
                .min();
            let Some((_, to)) = oldest.copied() else { continue };
            if self.pop(class, to).is_some() {
                self.dropped += 1;
            }
            return true;
        }
        false
    }

    /// Removes the first item of a class that is queued for a member; `None` if it was void.
    fn pop(&mut self, class: usize, to: MemberId) -> Option<QueueItem> {
        let w = self.members.get_mut(&to)?;
        let index = if w.unlinked { &mut self.unlinked_members } else { &mut self.linked_members };
        let (at, item) = w.classes[class].pop_front()?;
        index[class].remove(&(at, to));
        match w.classes[class].front() {
            Some((next, _)) => drop(index[class].insert((*next, to))),
            None if w.classes.iter().all(VecDeque::is_empty) => drop(self.members.remove(&to)),
            None => {}
        }
        if self.queued.get(&(to, item)) != Some(&class) {
            return None;
        }
        self.queued.remove(&(to, item));
        Some(item)
    }

    /// Records whether a link to a member is up.
    pub fn set_linked(&mut self, to: MemberId, is_linked: bool) {
        let Some(w) = self.members.get_mut(&to).filter(|w| w.unlinked == is_linked) else { return };
        w.unlinked = !is_linked;
        let (from, into) = if is_linked {
            (&mut self.unlinked_members, &mut self.linked_members)
        } else {
            (&mut self.linked_members, &mut self.unlinked_members)
        };
        for (class, queued) in w.classes.iter().enumerate() {
            if let Some((at, _)) = queued.front() {
                from[class].remove(&(*at, to));
                into[class].insert((*at, to));
            }
        }
    }

    /// Members to which no link is up, those with the most useful and then the oldest items first.
    pub fn unlinked_members(&self) -> Vec<MemberId> {
        let mut seen = BTreeSet::new();
        self.unlinked_members.iter().flatten().map(|(_, to)| *to).filter(|to| seen.insert(*to)).collect()
    }

    /// Drops items that have been queued too long.
    pub fn expire(&mut self, now: Time) {
        for class in 0..CLASS_COUNT {
            loop {
                let first = self.linked_members[class]
                    .first()
                    .into_iter()
                    .chain(self.unlinked_members[class].first())
                    .min();
                let Some((_, to)) = first.filter(|(at, _)| now - *at >= MAX_QUEUE_AGE).copied() else {
                    break;
                };
                self.dropped += u64::from(self.pop(class, to).is_some());
            }
        }
    }

    /// Whether the interval of a class has passed.
    fn is_due(&self, now: Time, class: usize) -> bool {
        !self.linked_members[class].is_empty() && now - self.sent_at[class] >= CLASS_INTERVAL[class]
    }

    /// Takes what is to be sent now: see `CopyDirectory::take_batches`. The cost depends on what is sent, not
    /// on what is queued.
    pub fn take_batches(
        &mut self, now: Time, allowance: f64, linked: impl Fn(MemberId) -> bool,
        rows: impl Fn(FunctionId) -> Vec<Observation>,
        single_row: impl Fn(FunctionId, WorkerId) -> Option<Observation>,
    ) -> (BTreeMap<MemberId, Batch>, Vec<MemberId>) {
        let (mut batches, mut unlinked) = (BTreeMap::<MemberId, Batch>::new(), Vec::new());
        let due: Vec<bool> = (0..CLASS_COUNT).map(|class| self.is_due(now, class)).collect();
        if !due.contains(&true) {
            return (batches, unlinked);
        }
        self.expire(now);
        let mut bytes_left = allowance;
        for class in (0..CLASS_COUNT).filter(|class| due[*class]) {
            self.sent_at[class] = now;
            let mut after = Unbounded;
            while bytes_left > 0.0 {
                let next = self.linked_members[class].range((after, Unbounded)).next().copied();
                let Some((at, to)) = next else { break };
                after = Excluded((at, to));
                if !linked(to) {
                    self.set_linked(to, false);
                    unlinked.push(to);
                    continue;
                }
                self.fill_batch(class, to, &mut batches, &mut bytes_left, &rows, &single_row);
            }
        }
        // Items of other classes that share a batch need no frame of their own.
        let to: Vec<MemberId> = batches.keys().copied().collect();
        for class in (0..CLASS_COUNT).filter(|class| !due[*class]) {
            to.iter().for_each(|to| {
                self.fill_batch(class, *to, &mut batches, &mut bytes_left, &rows, &single_row)
            });
        }
        batches.retain(|_, p| p.len() > 0);
        (batches, unlinked)
    }

    /// Adds a member's items of a class to its batch, as far as they fit.
    fn fill_batch(
        &mut self, class: usize, to: MemberId, batches: &mut BTreeMap<MemberId, Batch>, bytes_left: &mut f64,
        rows: impl Fn(FunctionId) -> Vec<Observation>,
        single_row: impl Fn(FunctionId, WorkerId) -> Option<Observation>,
    ) {
        let has_items = |q: &Queue| q.members.get(&to).is_some_and(|w| !w.classes[class].is_empty());
        if !has_items(self) {
            return;
        }
        let batch = batches.entry(to).or_insert_with(|| {
            *bytes_left -= FRAME_BYTES;
            Batch::default()
        });
        while *bytes_left > 0.0 && batch.len() < MAX_BATCH_ITEMS && has_items(self) {
            let Some(item) = self.pop(class, to) else { continue };
            let before = batch.len();
            match item {
                QueueItem::Ask(f) => batch.questions.push(f),
                QueueItem::Answer(f) => {
                    batch.answered.push(f);
                    batch.copies.extend(rows(f));
                }
                QueueItem::ToHolder(f, w) => batch.observations.extend(single_row(f, w)),
                QueueItem::ToSubscriber(f, w) => batch.copies.extend(single_row(f, w)),
            }
            let item_bytes = if matches!(item, QueueItem::Ask(_)) { NAME_BYTES } else { ROW_BYTES };
            *bytes_left -= item_bytes * (batch.len() - before) as f64;
        }
    }
}
