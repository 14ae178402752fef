use curlewpoint::types::Time;

const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// Six levels of 64 slots: the lowest slot is a tenth of a millisecond, the whole some 80 days.
const LEVELS: usize = 6;

struct Entry<T> {
    at: u64,
    no: u64,
    what: T,
}

/// Wake-ups in a hierarchical timing wheel (Varghese and Lauck): setting one costs the same however many wait.
/// They come out in order of time, and of setting where the time is one.
pub struct TimerWheel<T> {
    now: u64,
    next_no: u64,
    len: usize,
    slots: Vec<Vec<Entry<T>>>,
    /// A bit for each slot that holds something.
    used: [u64; LEVELS],
    far: Vec<Entry<T>>,
    due: Vec<Entry<T>>,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        let slots = std::iter::repeat_with(Vec::new).take(LEVELS * SLOTS).collect();
        TimerWheel { now: 0, next_no: 0, len: 0, slots, used: [0; LEVELS], far: Vec::new(), due: Vec::new() }
    }
}

impl<T> TimerWheel<T> {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a wake-up; one in the past is due at once.
    pub fn set(&mut self, at: Time, what: T) {
        let no = self.next_no;
        self.next_no += 1;
        self.len += 1;
        self.place(Entry { at: at.0, no, what });
    }

    fn place(&mut self, entry: Entry<T>) {
        if entry.at <= self.now {
            self.due.push(entry);
            return;
        }
        // The level is that of the highest bit in which the time differs from now.
        let level = ((63 - (entry.at ^ self.now).leading_zeros()) / BITS) as usize;
        if level >= LEVELS {
            self.far.push(entry);
            return;
        }
        let slot = (entry.at >> (BITS * level as u32)) as usize % SLOTS;
        self.used[level] |= 1 << slot;
        self.slots[level * SLOTS + slot].push(entry);
    }

    /// The moment at which there is something to do: exact for what is near, not after it for what is far.
    pub fn next(&self) -> Option<Time> {
        if !self.due.is_empty() {
            return Some(Time(self.now));
        }
        for level in 0..LEVELS {
            let shift = BITS * level as u32;
            let here = (self.now >> shift) as usize % SLOTS;
            // Slots at or before the present one of a level are empty: their entries are in lower levels.
            let ahead = self.used[level] & (u64::MAX << here);
            if ahead != 0 {
                let slot = u64::from(ahead.trailing_zeros());
                let round = self.now >> (shift + BITS) << (shift + BITS);
                return Some(Time(round + (slot << shift)));
            }
        }
        self.far.iter().map(|e| Time(e.at)).min()
    }

    /// Takes out the next wake-up that is due at `now`, the earliest first.
    pub fn pop(&mut self, now: Time) -> Option<(Time, T)> {
        while self.due.is_empty() {
            let at = self.next().filter(|at| *at <= now)?;
            self.advance(at.0);
        }
        // `due` is kept with the earliest last.
        let entry = self.due.pop()?;
        self.len -= 1;
        Some((Time(entry.at), entry.what))
    }

    /// Moves to a time before which nothing is due, and brings down what lies in the slots that begin there.
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
        self.due.sort_unstable_by_key(|e| std::cmp::Reverse((e.at, e.no)));
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
        Turn(u64),
    }

    fn step() -> impl Strategy<Value = Step> {
        let span = prop_oneof![0u64..100, 0u64..10_000, 0u64..100_000_000, 0u64..(1 << 40)];
        prop_oneof![3 => span.clone().prop_map(Step::Set), 2 => span.prop_map(Step::Turn)]
    }

    proptest! {
        #[test]
        fn what_is_due_comes_out_as_from_an_ordered_map(steps in proptest::collection::vec(step(), 1..200)) {
            let (mut wheel, mut plain) = (TimerWheel::default(), BTreeMap::new());
            let (mut now, mut no) = (1_000u64, 0u64);
            for s in steps {
                match s {
                    Step::Set(after) => {
                        wheel.set(Time(now + after), no);
                        plain.insert((now + after, no), ());
                        no += 1;
                    }
                    Step::Turn(by) => {
                        now += by;
                        let first = plain.keys().next().map(|k| k.0);
                        prop_assert!(wheel.next().map(|t| t.0) <= first.or(Some(u64::MAX)));
                        prop_assert_eq!(wheel.next().is_some(), first.is_some());
                        let due: Vec<_> = plain.range(..=(now, u64::MAX)).map(|(k, _)| *k).collect();
                        due.iter().for_each(|k| { plain.remove(k); });
                        let mut got = Vec::new();
                        while let Some((at, what)) = wheel.pop(Time(now)) {
                            got.push((at.0, what));
                        }
                        prop_assert_eq!(got, due);
                        prop_assert_eq!(wheel.len(), plain.len());
                    }
                }
            }
        }
    }
}
