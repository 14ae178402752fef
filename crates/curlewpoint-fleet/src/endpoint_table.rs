use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use curlewpoint::types::{Lifecycle, Time};

use crate::members::InstanceId;

/// The list entry of one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    pub address: String,
    pub lifecycle: Lifecycle,
    /// Identifies one start of the worker's process.
    pub start_id: u64,
    pub started_at: Option<Time>,
    pub zone: String,
    pub cell: String,
    pub size: f64,
}

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The list service itself.
    Service,
    Peer(InstanceId),
    /// This instance's snapshot of an earlier run, which never replaces another list.
    Snapshot,
}

/// Result of receiving a list to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// Accepted as the newest: with the version that it changes, or `None` for a whole list.
    Accepted(Option<u64>),
    /// Not newer than the list held.
    NotNewer,
    /// It changes a version that is not held: an earlier one, or the whole list, is needed.
    Gap,
    /// A peer reports another epoch or a version far ahead (epoch and version): not accepted until another peer
    /// or the list service confirms it.
    Unconfirmed(u64, u64),
    /// No list had begun, or it had more entries than allowed.
    Discarded,
}

struct IncomingList {
    version: (u64, u64),
    from: Option<u64>,
    rows: Vec<(String, EndpointEntry)>,
    overflowed: bool,
}

/// Number of changes kept. A peer that holds an older version is sent the whole list.
const MAX_CHANGE_LOG: usize = 256;
/// Number of versions that a single peer may be ahead by without confirmation.
const MAX_VERSION_STEP: u64 = 100_000;

/// The newest endpoint list known, received from the list service or from peers. A newer epoch or version
/// replaces an older one, never the reverse; an incomplete list changes nothing.
///
/// A single peer cannot move the table to another epoch or far ahead: a forged list from the future would lock
/// out the real one. Two peers with different names can, and so can the list service.
pub struct EndpointTable {
    held: Option<(u64, u64)>,
    /// Shared, so that a transfer to a peer continues with its version while the table changes.
    entries: Arc<BTreeMap<String, EndpointEntry>>,
    change_log: VecDeque<(u64, String)>,
    /// Changes are known from this version on.
    oldest_logged: u64,
    incoming: BTreeMap<u64, IncomingList>,
    /// Peers that reported epochs not held.
    confirmations: BTreeMap<u64, BTreeSet<InstanceId>>,
    max_rows: usize,
}

impl EndpointTable {
    pub fn new(max_rows: usize) -> EndpointTable {
        let (entries, change_log, incoming, confirmations) = Default::default();
        EndpointTable { held: None, entries, change_log, oldest_logged: 0, incoming, confirmations, max_rows }
    }

    /// Epoch and version held.
    pub fn held(&self) -> Option<(u64, u64)> {
        self.held
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries of the version held.
    pub fn entries(&self) -> Arc<BTreeMap<String, EndpointEntry>> {
        Arc::clone(&self.entries)
    }

    /// The connections on which whole lists are arriving that are not newer than the one held.
    pub fn superseded(&self) -> Vec<u64> {
        let is_superseded = |s: &IncomingList| s.from.is_none() && Some(s.version) <= self.held;
        self.incoming.iter().filter(|(_, s)| is_superseded(s)).map(|(connection, _)| *connection).collect()
    }

    /// A list begins on a connection.
    pub fn begin(&mut self, connection: u64, epoch: u64, version: u64, from: Option<u64>) {
        let (version, rows) = ((epoch, version), Vec::new());
        self.incoming.insert(connection, IncomingList { version, from, rows, overflowed: false });
    }

    pub fn push_entry(&mut self, connection: u64, name: &str, entry: EndpointEntry) {
        let Some(incoming) = self.incoming.get_mut(&connection) else { return };
        if incoming.rows.len() >= self.max_rows {
            incoming.overflowed = true;
        } else {
            incoming.rows.push((name.to_owned(), entry));
        }
    }

    /// The connection has ended: the list that was begun on it is discarded.
    pub fn abort(&mut self, connection: u64) {
        self.incoming.remove(&connection);
    }

    fn is_trusted(&mut self, epoch: u64, version: u64, source: ListSource) -> bool {
        let ListSource::Peer(peer) = source else { return true };
        // The first list has nothing that it could replace.
        let is_near =
            self.held.is_none_or(|(e, v)| e == epoch && version <= v.saturating_add(MAX_VERSION_STEP));
        if is_near {
            return true;
        }
        if self.confirmations.len() >= 16 && !self.confirmations.contains_key(&epoch) {
            self.confirmations.pop_first();
        }
        let peers = self.confirmations.entry(epoch).or_default();
        if peers.len() < 8 {
            peers.insert(peer);
        }
        peers.len() >= 2
    }

    /// The list on a connection is complete.
    pub fn finish(&mut self, connection: u64, source: ListSource) -> ListOutcome {
        let Some(IncomingList { version: (epoch, version), from, rows, overflowed }) =
            self.incoming.remove(&connection)
        else {
            return ListOutcome::Discarded;
        };
        if overflowed {
            return ListOutcome::Discarded;
        }
        if self.held.is_some_and(|held| source == ListSource::Snapshot || (epoch, version) <= held) {
            return ListOutcome::NotNewer;
        }
        if !self.is_trusted(epoch, version, source) {
            return ListOutcome::Unconfirmed(epoch, version);
        }
        // Changes since an earlier version than the one held include those since the one held.
        if from.is_some_and(|from| self.held.is_none_or(|(e, v)| e != epoch || v < from)) {
            return ListOutcome::Gap;
        }
        if from.is_none() {
            self.entries = Arc::default();
            self.change_log.clear();
            self.oldest_logged = version;
        }
        self.held = Some((epoch, version));
        self.confirmations = self.confirmations.split_off(&(epoch + 1));
        let entries = Arc::make_mut(&mut self.entries);
        for (name, entry) in rows {
            if from.is_some() {
                self.change_log.push_back((version, name.clone()));
            }
            entries.insert(name, entry);
        }
        while self.change_log.len() > MAX_CHANGE_LOG {
            // All changes of one version are removed together: a part of them would pass for the whole change.
            let removed = self.change_log.front().map_or(0, |l| l.0);
            self.change_log.retain(|(v, _)| *v != removed);
            self.oldest_logged = removed;
        }
        ListOutcome::Accepted(from)
    }

    /// Whether all changes since this version are known; otherwise the whole list is needed.
    pub fn has_changes_since(&self, held: Option<(u64, u64)>) -> bool {
        match (held, self.held) {
            (Some((e, v)), Some((epoch, version))) => e == epoch && v >= self.oldest_logged && v <= version,
            _ => false,
        }
    }

    /// The entries that have changed since this version, or all.
    pub fn entries_since(&self, held: Option<(u64, u64)>) -> Vec<(&str, &EndpointEntry)> {
        match held.filter(|_| self.has_changes_since(held)) {
            Some((_, from)) => {
                let names: BTreeSet<&str> =
                    self.change_log.iter().filter(|(v, _)| *v > from).map(|(_, n)| n.as_str()).collect();
                names
                    .into_iter()
                    .filter_map(|n| self.entries.get_key_value(n))
                    .map(|(n, e)| (n.as_str(), e))
                    .collect()
            }
            None => self.entries.iter().map(|(n, e)| (n.as_str(), e)).collect(),
        }
    }
}
