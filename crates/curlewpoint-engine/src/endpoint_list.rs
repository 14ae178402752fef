use std::collections::{BTreeMap, BTreeSet};

use curlewpoint::types::{CellId, Lifecycle, Time, WorkerId, ZoneId};

use crate::ids::{id_of, NameTable};

/// The result of a list that was received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListOutcome {
    /// The list is newer than the one held and was applied.
    Applied { full: bool },
    /// The list is the one held.
    Unchanged,
    /// The list is older than the one held.
    Stale,
    /// The list holds changes to a version that is not held: the full list has to be requested.
    NeedsFull,
    /// The end of a list came without its start.
    NotStarted,
}

struct Entry {
    id: WorkerId,
    name: String,
    address: String,
    lifecycle: Lifecycle,
    since: Time,
    zone: ZoneId,
    cell: CellId,
    size: f64,
}

/// The list of workers. Lists may arrive late, repeatedly and, across a reconnect, out of order. A list is staged
/// entry by entry and applied when it is complete, so that a truncated one changes nothing.
///
/// Versions count within an epoch, which is one run of the list service. A later epoch replaces an earlier one.
pub struct EndpointList {
    /// Epoch and version of the list held.
    version: Option<(u64, u64)>,
    /// The list held is a full one without workers.
    is_empty_list: bool,
    /// Epoch, version and base version (none for a full list) of the list being received.
    staged: Option<(u64, u64, Option<u64>)>,
    entries: Vec<Entry>,
    /// For each worker the last reported start (a number that identifies the start) and its time on this clock.
    starts: BTreeMap<WorkerId, (u64, Time)>,
    names: NameTable,
}

impl EndpointList {
    pub fn new(max_workers: usize) -> EndpointList {
        let names = NameTable::new(max_workers);
        EndpointList {
            version: None,
            is_empty_list: false,
            staged: None,
            entries: Vec::new(),
            starts: BTreeMap::new(),
            names,
        }
    }

    /// Epoch and version of the list held, from which a new request for the list continues.
    pub fn version(&self) -> Option<(u64, u64)> {
        self.version
    }

    pub fn name(&self, worker: WorkerId) -> &str {
        self.names.name(worker.0)
    }

    /// The number of workers whose names are kept.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Starts a list: a full one, or the changes since version `from`.
    pub fn begin(&mut self, epoch: u64, version: u64, from: Option<u64>) {
        self.staged = Some((epoch, version, from));
        self.entries.clear();
    }

    /// Discards the list being received, as when the connection to the list service broke.
    pub fn discard_staged(&mut self) {
        self.staged = None;
        self.entries.clear();
    }

    /// Stages one worker. `start` identifies the start of its process, `age` is the time since then (none: long ago).
    pub fn add_entry(
        &mut self, now: Time, name: &str, address: &str, lifecycle: Lifecycle, start: u64, age: Option<Time>,
        zone: &str, cell: &str, size: f64,
    ) -> Result<(), String> {
        let id = WorkerId(self.names.insert(name)?);
        // The time of a start is computed once: later lists report its age again, each with another delay.
        let since = match self.starts.get(&id) {
            Some((known, since)) if *known == start => *since,
            _ => age.map_or(Time(0), |age| now - age),
        };
        self.starts.insert(id, (start, since));
        let (zone, cell) = (ZoneId(id_of(zone) as usize), CellId(id_of(cell)));
        let (name, address) = (name.to_owned(), address.to_owned());
        self.entries.push(Entry { id, name, address, lifecycle, since, zone, cell, size });
        Ok(())
    }

    /// Ends the list. If it is applied, `on_entry` is called for each worker in it.
    pub fn finish(
        &mut self, mut on_entry: impl FnMut(WorkerId, &str, &str, Lifecycle, Time, ZoneId, CellId, f64),
    ) -> (ListOutcome, BTreeSet<WorkerId>) {
        let mut named = BTreeSet::new();
        let Some((epoch, version, from)) = self.staged.take() else {
            return (ListOutcome::NotStarted, named);
        };
        let entries = std::mem::take(&mut self.entries);
        let stale = self.version.is_some_and(|(e, v)| epoch < e || (epoch == e && version <= v));
        // A full list without workers may be a fault. No worker is used until another list comes, so the same version
        // with workers in it is applied. It changes nothing if all workers were really gone.
        let refills = self.is_empty_list
            && self.version == Some((epoch, version))
            && from.is_none()
            && !entries.is_empty();
        if stale && !refills {
            let is_held = self.version == Some((epoch, version));
            return (if is_held { ListOutcome::Unchanged } else { ListOutcome::Stale }, named);
        }
        if from.is_some_and(|from| self.version != Some((epoch, from))) {
            return (ListOutcome::NeedsFull, named);
        }
        self.version = Some((epoch, version));
        self.is_empty_list = from.is_none() && entries.is_empty();
        for e in entries {
            named.insert(e.id);
            on_entry(e.id, &e.name, &e.address, e.lifecycle, e.since, e.zone, e.cell, e.size);
        }
        (ListOutcome::Applied { full: from.is_none() }, named)
    }

    /// The known workers that a full list did not name.
    pub fn missing(&self, named: &BTreeSet<WorkerId>) -> Vec<WorkerId> {
        self.starts.keys().filter(|w| !named.contains(w)).copied().collect()
    }

    /// Removes the start and the name of a worker that has been gone for long.
    pub fn forget(&mut self, worker: WorkerId) {
        self.starts.remove(&worker);
        self.names.remove(worker.0);
    }
}

#[cfg(test)]
mod tests;
