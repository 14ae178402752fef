use std::collections::{BTreeMap, VecDeque};

use curlewpoint::types::{Lifecycle, Time};

/// What the list says of one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub address: String,
    pub standing: Lifecycle,
    /// One start of its process, and when that was; none: long ago.
    pub start: u64,
    pub since: Option<Time>,
    pub zone: String,
    pub cell: String,
    pub size: f64,
}

/// Changes kept; who holds a version older than the oldest of them gets the whole list.
const KEPT: usize = 256;

/// The list of workers, by version within one run of the service.
pub struct ListModel {
    pub epoch: u64,
    version: u64,
    rows: BTreeMap<String, Row>,
    /// The worker that each version changed.
    log: VecDeque<(u64, String)>,
}

impl ListModel {
    pub fn new(epoch: u64) -> ListModel {
        ListModel { epoch, version: 1, rows: BTreeMap::new(), log: VecDeque::new() }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn rows(&self) -> &BTreeMap<String, Row> {
        &self.rows
    }

    /// A worker's row is new or has changed.
    pub fn set(&mut self, name: &str, row: Row) {
        if self.rows.get(name) == Some(&row) {
            return;
        }
        self.rows.insert(name.to_owned(), row);
        self.version += 1;
        self.log.push_back((self.version, name.to_owned()));
        if self.log.len() > KEPT {
            self.log.pop_front();
        }
    }

    pub fn standing(&mut self, name: &str, standing: Lifecycle) {
        if let Some(row) = self.rows.get(name).cloned() {
            self.set(name, Row { standing, ..row });
        }
    }

    /// What has changed since `held`; none: the whole list is needed.
    pub fn since(&self, held: Option<(u64, u64)>) -> Option<BTreeMap<&str, &Row>> {
        let (epoch, version) = held?;
        let oldest = self.log.front().map_or(self.version, |(v, _)| v - 1);
        if epoch != self.epoch || version < oldest || version > self.version {
            return None;
        }
        let changed = self.log.iter().filter(|(v, _)| *v > version);
        Some(changed.map(|(_, name)| (name.as_str(), &self.rows[name])).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(start: u64) -> Row {
        let (address, zone, cell) = ("a".into(), "z".into(), "c".into());
        Row { address, standing: Lifecycle::Ready, start, since: None, zone, cell, size: 1.0 }
    }

    #[test]
    fn changes_are_told_since_a_version_and_the_whole_after_a_gap() {
        let mut list = ListModel::new(7);
        (0..3).for_each(|i| list.set(&format!("w{i}"), row(1)));
        let held = Some((7, list.version()));
        list.set("w1", row(2));
        list.set("w1", row(2));
        assert_eq!(list.since(held).unwrap().keys().copied().collect::<Vec<_>>(), ["w1"]);
        assert!(list.since(Some((6, 2))).is_none(), "another run of the service");
        assert!(list.since(None).is_none());
        (0..300).for_each(|i| list.set("w2", row(10 + i)));
        assert!(list.since(held).is_none(), "the change is no longer kept");
    }
}
