use curlewpoint::types::Time;

const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// Six levels of 64 slots; a slot of the lowest level is a tenth of a millisecond, all levels span some 80 days.
const LEVELS: usize = 6;

struct Entry<T> {
    at: u64,
    seq: u64,
    payload: T,
}

/// Timers in a hierarchical timing wheel (Varghese and Lauck): the cost of setting one does not depend on how many
/// are pending. They expire in order of time, and in order of setting if the times are equal.
pub struct TimerWheel<T> {
    now: u64,
    next_seq: u64,
    len: usize,
    slots: Vec<Vec<Entry<T>>>,
    /// For each level a bit mask of the slots in use.
    used: [u64; LEVELS],
    /// Timers beyond the highest level.
    far: Vec<Entry<T>>,
    due: Vec<Entry<T>>,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        let slots = std::iter::repeat_with(Vec::new).take(LEVELS * SLOTS).collect();
        TimerWheel { now: 0, next_seq: 0, len: 0, slots, used: [0; LEVELS], far: Vec::new(), due: Vec::new() }
    }
}

impl<T> TimerWheel<T> {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer; one in the past is due at once.
    pub fn set(&mut self, at: Time, payload: T) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.len += 1;
        self.place(Entry { at: at.0, seq, payload });
    }

    fn place(&mut self, entry: Entry<T>) {
        if entry.at <= self.now {
            self.due.push(entry);
            return;
        }
        // The level is given by the highest bit in which the time differs from now.
        let level = ((63 - (entry.at ^ self.now).leading_zeros()) / BITS) as usize;
        if level >= LEVELS {
            self.far.push(entry);
            return;
        }
        let slot = (entry.at >> (BITS * level as u32)) as usize % SLOTS;
        self.used[level] |= 1 << slot;
        self.slots[level * SLOTS + slot].push(entry);
    }

    /// A time not after the earliest timer, and equal to it if the timer is in the lowest level.
    pub fn next(&self) -> Option<Time> {
        if !self.due.is_empty() {
            return Some(Time(self.now));
        }
        for level in 0..LEVELS {
            let shift = BITS * level as u32;
            let current = (self.now >> shift) as usize % SLOTS;
            // Slots up to the current one of a level are empty: their entries are in lower levels.
            let ahead = self.used[level] & (u64::MAX << current);
            if ahead != 0 {
                let slot = u64::from(ahead.trailing_zeros());
                let rotation_start = self.now >> (shift + BITS) << (shift + BITS);
                return Some(Time(rotation_start + (slot << shift)));
            }
        }
        self.far.iter().map(|e| Time(e.at)).min()
    }

    /// Removes the timers whose payload is no longer needed, and frees their memory.
    pub fn retain(&mut self, mut is_needed: impl FnMut(&T) -> bool) {
        let lists = self.slots.iter_mut().chain([&mut self.far, &mut self.due]);
        for entries in lists.filter(|entries| entries.capacity() > 0) {
            entries.retain(|entry| is_needed(&entry.payload));
            entries.shrink_to_fit();
        }
        for (level, slots) in self.slots.chunks(SLOTS).enumerate() {
            let used = slots.iter().enumerate().filter(|(_, entries)| !entries.is_empty());
            self.used[level] = used.fold(0, |mask, (slot, _)| mask | 1 << slot);
        }
        self.len = self.slots.iter().chain([&self.far, &self.due]).map(Vec::len).sum();
    }

    /// Removes the earliest timer that is due at `now`.
    pub fn pop(&mut self, now: Time) -> Option<(Time, T)> {
        while self.due.is_empty() {
            let at = self.next().filter(|at| *at <= now)?;
            self.advance(at.0);
        }
        // `due` is sorted with the earliest last.
        let entry = self.due.pop()?;
        self.len -= 1;
        Some((Time(entry.at), entry.payload))
    }

    /// Moves to a time before which nothing is due, and cascades the entries of the slots that begin there to lower
    /// levels.
    fn advance(&mut self, to: u64) {
        let moved = std::mem::replace(&mut self.now, to) ^ to;
        if moved >> (BITS * LEVELS as u32) != 0 {
            for entry in std::mem::take(&mut self.far) {
                self.place(entry);
            }
        }
        for level in (0..LEVELS).rev() {
            let slot = (to >> (BITS * level as u32)) as usize % SLOTS;
            if self.used[level] & (1 << slot) != 0 {
                self.used[level] &= !(1 << slot);
                for entry in std::mem::take(&mut self.slots[level * SLOTS + slot]) {
                    self.place(entry);
                }
            }
        }
        self.due.sort_unstable_by_key(|e| std::cmp::Reverse((e.at, e.seq)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    #[derive(Clone, Debug)]
    enum Step {
        Set(u64),
        Advance(u64),
        /// Keeps the timers that were set at a multiple of this.
        Retain(u64),
    }

    fn step() -> impl Strategy<Value = Step> {
        let span = prop_oneof![0u64..100, 0u64..10_000, 0u64..100_000_000, 0u64..(1 << 40)];
        let retain = (2u64..5).prop_map(Step::Retain);
        prop_oneof![6 => span.clone().prop_map(Step::Set), 4 => span.prop_map(Step::Advance), 1 => retain]
    }

    proptest! {
        #[test]
        fn timers_expire_in_the_order_of_an_ordered_map(steps in proptest::collection::vec(step(), 1..200)) {
            let (mut wheel, mut model) = (TimerWheel::default(), BTreeMap::new());
            let (mut now, mut seq) = (1_000u64, 0u64);
            for s in steps {
                match s {
                    Step::Set(after) => {
                        wheel.set(Time(now + after), seq);
                        model.insert((now + after, seq), ());
                        seq += 1;
                    }
                    Step::Retain(divisor) => {
                        wheel.retain(|seq| seq % divisor == 0);
                        model.retain(|(_, seq), ()| seq % divisor == 0);
                        prop_assert_eq!(wheel.len(), model.len());
                        prop_assert_eq!(wheel.next().is_some(), !model.is_empty());
                    }
                    Step::Advance(by) => {
                        now += by;
                        let first = model.keys().next().map(|k| k.0);
                        prop_assert!(wheel.next().map(|t| t.0) <= first.or(Some(u64::MAX)));
                        prop_assert_eq!(wheel.next().is_some(), first.is_some());
                        let due: Vec<_> = model.range(..=(now, u64::MAX)).map(|(k, _)| *k).collect();
                        due.iter().for_each(|k| { model.remove(k); });
                        let mut got = Vec::new();
                        while let Some((at, payload)) = wheel.pop(Time(now)) {
                            got.push((at.0, payload));
                        }
                        prop_assert_eq!(got, due);
                        prop_assert_eq!(wheel.len(), model.len());
                    }
                }
            }
        }
    }
}
