use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use curlewpoint::types::{Standing, Time};

use crate::members::InstanceId;

/// What the list says of one worker, as it is handed on.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    pub address: String,
    pub lifecycle: Standing,
    /// One start of its process, and when that was on this instance's clock; none: long ago.
    pub start: u64,
    pub started_at: Option<Time>,
    pub zone: String,
    pub cell: String,
    pub size: f64,
}

/// Who tells a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The list service, at first hand.
    Service,
    Peer(InstanceId),
    /// This instance's own memory of an earlier run, which never pushes anything aside.
    Snapshot,
}

/// What came of a list that was read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOutcome {
    /// It is the newest; from the version that it changes, or none where it is whole.
    Accepted(Option<u64>),
    /// Nothing newer than what is held.
    NotNewer,
    /// It changes a version that is not held: more is wanted.
    Gap,
    /// A peer speaks of an epoch or a version far on: not taken until another says so too, or the list service.
    Unconfirmed(u64, u64),
    /// No list had begun, or it was more than is taken.
    Discarded,
}

struct Staged {
    version: (u64, u64),
    from: Option<u64>,
    rows: Vec<(String, EndpointEntry)>,
    over: bool,
}

/// Changes kept; who holds an older version gets the whole list.
const KEPT: usize = 256;
/// Versions that one peer may be ahead by in one step.
const MOST_AHEAD: u64 = 100_000;

/// The newest list known, told by the list service or by peers. A newer epoch or version replaces an older one and never
/// the other way; what has not been read to its end changes nothing.
///
/// A peer alone cannot move it to another epoch or far on: a forged list from the future would lock out the real one.
/// Two peers of different names can, and the list service at once.
pub struct EndpointTable {
    held: Option<(u64, u64)>,
    /// Whoever is being told the list goes on with that of its version while this one changes.
    rows: Arc<BTreeMap<String, EndpointEntry>>,
    log: VecDeque<(u64, String)>,
    /// Below this version changes are no longer known.
    oldest: u64,
    staged: BTreeMap<u64, Staged>,
    /// Peers that spoke of epochs not held.
    vouched: BTreeMap<u64, BTreeSet<InstanceId>>,
    most_rows: usize,
}

impl EndpointTable {
    pub fn new(most_rows: usize) -> EndpointTable {
        let (rows, log, staged, vouched) = Default::default();
        EndpointTable { held: None, rows, log, oldest: 0, staged, vouched, most_rows }
    }

    /// Epoch and version held.
    pub fn held(&self) -> Option<(u64, u64)> {
        self.held
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All rows of the version held.
    pub fn entries(&self) -> Arc<BTreeMap<String, EndpointEntry>> {
        Arc::clone(&self.rows)
    }

    /// Whole lists that are on their way and no newer than that held, by their connections, which nobody waits for.
    pub fn superseded(&self) -> Vec<u64> {
        let late = |s: &Staged| s.from.is_none() && Some(s.version) <= self.held;
        self.staged.iter().filter(|(_, s)| late(s)).map(|(on, _)| *on).collect()
    }

    /// A list begins on a connection.
    pub fn begin(&mut self, on: u64, epoch: u64, version: u64, from: Option<u64>) {
        let (version, rows) = ((epoch, version), Vec::new());
        self.staged.insert(on, Staged { version, from, rows, over: false });
    }

    pub fn push_entry(&mut self, on: u64, name: &str, entry: EndpointEntry) {
        let Some(staged) = self.staged.get_mut(&on) else { return };
        if staged.rows.len() >= self.most_rows {
            staged.over = true;
        } else {
            staged.rows.push((name.to_owned(), entry));
        }
    }

    /// The connection has ended: what was begun on it is void.
    pub fn abort(&mut self, on: u64) {
        self.staged.remove(&on);
    }

    fn is_vouched(&mut self, epoch: u64, version: u64, by: ListSource) -> bool {
        let ListSource::Peer(peer) = by else { return true };
        // The first list of all has nothing that it could push aside.
        let near = self.held.is_none_or(|(e, v)| e == epoch && version <= v.saturating_add(MOST_AHEAD));
        if near {
            return true;
        }
        if self.vouched.len() >= 16 && !self.vouched.contains_key(&epoch) {
            self.vouched.pop_first();
        }
        let peers = self.vouched.entry(epoch).or_default();
        if peers.len() < 8 {
            peers.insert(peer);
        }
        peers.len() >= 2
    }

    /// The list on a connection has come to its end.
    pub fn finish(&mut self, on: u64, by: ListSource) -> ListOutcome {
        let Some(Staged { version: (epoch, version), from, rows, over }) = self.staged.remove(&on) else {
            return ListOutcome::Discarded;
        };
        if over {
            return ListOutcome::Discarded;
        }
        if self.held.is_some_and(|held| by == ListSource::Snapshot || (epoch, version) <= held) {
            return ListOutcome::NotNewer;
        }
        if !self.is_vouched(epoch, version, by) {
            return ListOutcome::Unconfirmed(epoch, version);
        }
        // Changes since a version before the one held are those since that one and some that are known.
        if from.is_some_and(|from| self.held.is_none_or(|(e, v)| e != epoch || v < from)) {
            return ListOutcome::Gap;
        }
        if from.is_none() {
            self.rows = Arc::default();
            self.log.clear();
            self.oldest = version;
        }
        self.held = Some((epoch, version));
        self.vouched = self.vouched.split_off(&(epoch + 1));
        let all = Arc::make_mut(&mut self.rows);
        for (name, entry) in rows {
            if from.is_some() {
                self.log.push_back((version, name.clone()));
            }
            all.insert(name, entry);
        }
        while self.log.len() > KEPT {
            // All changes of one version go together: half of them would be told as the whole.
            let gone = self.log.front().map_or(0, |l| l.0);
            self.log.retain(|(v, _)| *v != gone);
            self.oldest = gone;
        }
        ListOutcome::Accepted(from)
    }

    /// Whether changes since this version are known; else the whole list is needed.
    pub fn has_changes_since(&self, held: Option<(u64, u64)>) -> bool {
        match (held, self.held) {
            (Some((e, v)), Some((epoch, version))) => e == epoch && v >= self.oldest && v <= version,
            _ => false,
        }
    }

    /// The rows that have changed since this version, or all.
    pub fn entries_since(&self, held: Option<(u64, u64)>) -> Vec<(&str, &EndpointEntry)> {
        match held.filter(|_| self.has_changes_since(held)) {
            Some((_, from)) => {
                let names: BTreeSet<&str> =
                    self.log.iter().filter(|(v, _)| *v > from).map(|(_, n)| n.as_str()).collect();
                names
                    .into_iter()
                    .filter_map(|n| self.rows.get_key_value(n))
                    .map(|(n, e)| (n.as_str(), e))
                    .collect()
            }
            None => self.rows.iter().map(|(n, e)| (n.as_str(), e)).collect(),
        }
    }
}
