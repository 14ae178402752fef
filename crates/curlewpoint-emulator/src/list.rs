use std::collections::{BTreeMap, VecDeque};

use curlewpoint::types::{Lifecycle, Time};

/// What the list says of one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub address: String,
    pub lifecycle: Lifecycle,
    /// One start of its process, and when that was; none: long ago.
    pub start_id: u64,
    pub started_at: Option<Time>,
    pub zone: String,
    pub cell: String,
    pub size: f64,
}

/// Changes kept; who holds a version older than the oldest of them gets the whole list.
const MAX_CHANGES: usize = 256;

/// The list of workers, by version within one run of the service.
pub struct ListModel {
    pub epoch: u64,
    version: u64,
    entries: BTreeMap<String, ListEntry>,
    /// The worker that each version changed.
    changes: VecDeque<(u64, String)>,
}

impl ListModel {
    pub fn new(epoch: u64) -> ListModel {
        ListModel { epoch, version: 1, entries: BTreeMap::new(), changes: VecDeque::new() }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn entries(&self) -> &BTreeMap<String, ListEntry> {
        &self.entries
    }

    /// A worker's entry is new or has changed.
    pub fn set(&mut self, name: &str, entry: ListEntry) {
        if self.entries.get(name) == Some(&entry) {
            return;
        }
        self.entries.insert(name.to_owned(), entry);
        self.version += 1;
        self.changes.push_back((self.version, name.to_owned()));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    pub fn set_lifecycle(&mut self, name: &str, lifecycle: Lifecycle) {
        if let Some(entry) = self.entries.get(name).cloned() {
            self.set(name, ListEntry { lifecycle, ..entry });
        }
    }

    /// What has changed since `known`; none: the whole list is needed.
    pub fn changes_since(&self, known: Option<(u64, u64)>) -> Option<BTreeMap<&str, &ListEntry>> {
        let (epoch, version) = known?;
        let oldest = self.changes.front().map_or(self.version, |(v, _)| v - 1);
        if epoch != self.epoch || version < oldest || version > self.version {
            return None;
        }
        let changed = self.changes.iter().filter(|(v, _)| *v > version);
        Some(changed.map(|(_, name)| (name.as_str(), &self.entries[name])).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(start: u64) -> ListEntry {
        let (address, zone, cell) = ("a".into(), "z".into(), "c".into());
        ListEntry {
            address,
            lifecycle: Lifecycle::Ready,
            start_id: start,
            started_at: None,
            zone,
            cell,
            size: 1.0,
        }
    }

    #[test]
    fn changes_are_told_since_a_version_and_the_whole_after_a_gap() {
        let mut list = ListModel::new(7);
        (0..3).for_each(|i| list.set(&format!("w{i}"), entry(1)));
        let known = Some((7, list.version()));
        list.set("w1", entry(2));
        list.set("w1", entry(2));
        assert_eq!(list.changes_since(known).unwrap().keys().copied().collect::<Vec<_>>(), ["w1"]);
        assert!(list.changes_since(Some((6, 2))).is_none(), "another run of the service");
        assert!(list.changes_since(None).is_none());
        (0..300).for_each(|i| list.set("w2", entry(10 + i)));
        assert!(list.changes_since(known).is_none(), "the change is no longer kept");
    }
}
