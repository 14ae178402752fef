use std::collections::{BTreeMap, BTreeSet};

use curlewpoint::types::{CellId, Lifecycle, Time, WorkerId, ZoneId};

use crate::ids::{id_of, NameTable};

/// What came of a list that has been read to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListOutcome {
    /// It is the newest: tell the module.
    Applied { full: bool },
    /// Older than what is held, or the same again.
    Stale,
    /// It changes a version that is not held: the full list is needed.
    NeedsFull,
    /// No list had begun.
    NotStarted,
}

struct Row {
    id: WorkerId,
    name: String,
    address: String,
    standing: Lifecycle,
    since: Time,
    zone: ZoneId,
    cell: CellId,
    size: f64,
}

/// Follows the list of workers: it comes late, twice and, across a reconnect, out of order. A list is staged row by
/// row and counts once its end has come, so that one cut short changes nothing.
///
/// Versions count within an epoch, one run of the list service. A later epoch replaces what was held.
pub struct EndpointList {
    held: Option<(u64, u64)>,
    /// The list held is a full one that names nobody.
    nobody: bool,
    staged: Option<(u64, u64, Option<u64>)>,
    rows: Vec<Row>,
    /// The start that was last told of a worker, and when that was on this clock.
    starts: BTreeMap<WorkerId, (u64, Time)>,
    names: NameTable,
}

impl EndpointList {
    pub fn new(most_workers: usize) -> EndpointList {
        let names = NameTable::new(most_workers);
        EndpointList {
            held: None,
            nobody: false,
            staged: None,
            rows: Vec::new(),
            starts: BTreeMap::new(),
            names,
        }
    }

    /// The version held, to be told when the list is asked for again.
    pub fn held(&self) -> Option<(u64, u64)> {
        self.held
    }

    pub fn name(&self, worker: WorkerId) -> &str {
        self.names.name(worker.0)
    }

    /// Workers whose names are kept.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// A list begins: a full one, or the changes since version `from`.
    pub fn begins(&mut self, epoch: u64, version: u64, from: Option<u64>) {
        self.staged = Some((epoch, version, from));
        self.rows.clear();
    }

    /// The connection to the list service broke: what was staged is void.
    pub fn broke(&mut self) {
        self.staged = None;
        self.rows.clear();
    }

    /// One worker. `start` tells one start of its process from another, `age` how long ago it was (none: long ago).
    pub fn row(
        &mut self, now: Time, name: &str, address: &str, standing: Lifecycle, start: u64, age: Option<Time>,
        zone: &str, cell: &str, size: f64,
    ) -> Result<(), String> {
        let id = WorkerId(self.names.learn(name)?);
        // The moment of one start is reckoned once: later lists tell its age anew, each a little late.
        let since = match self.starts.get(&id) {
            Some((known, since)) if *known == start => *since,
            _ => age.map_or(Time(0), |age| now - age),
        };
        self.starts.insert(id, (start, since));
        let (zone, cell) = (ZoneId(id_of(zone) as usize), CellId(id_of(cell)));
        let (name, address) = (name.to_owned(), address.to_owned());
        self.rows.push(Row { id, name, address, standing, since, zone, cell, size });
        Ok(())
    }

    /// The list has come to its end. Where it is taken, each worker is handed on, with its name and address.
    pub fn ends(
        &mut self, mut each: impl FnMut(WorkerId, &str, &str, Lifecycle, Time, ZoneId, CellId, f64),
    ) -> (ListOutcome, BTreeSet<WorkerId>) {
        let mut named = BTreeSet::new();
        let Some((epoch, version, from)) = self.staged.take() else {
            return (ListOutcome::NotStarted, named);
        };
        let rows = std::mem::take(&mut self.rows);
        let old = self.held.is_some_and(|(e, v)| epoch < e || (epoch == e && version <= v));
        // Guards against an answer that came empty: nothing goes to anyone until there is another, and the same version
        // with workers in it counts. Harms nothing where all were gone indeed.
        let filled = self.nobody && self.held == Some((epoch, version)) && from.is_none() && !rows.is_empty();
        if old && !filled {
            return (ListOutcome::Stale, named);
        }
        if from.is_some_and(|from| self.held != Some((epoch, from))) {
            return (ListOutcome::NeedsFull, named);
        }
        self.held = Some((epoch, version));
        self.nobody = from.is_none() && rows.is_empty();
        for r in rows {
            named.insert(r.id);
            each(r.id, &r.name, &r.address, r.standing, r.since, r.zone, r.cell, r.size);
        }
        (ListOutcome::Applied { full: from.is_none() }, named)
    }

    /// Those known that a full list did not name.
    pub fn missing(&self, named: &BTreeSet<WorkerId>) -> Vec<WorkerId> {
        self.starts.keys().filter(|w| !named.contains(w)).copied().collect()
    }

    /// Forgets the start and the name of a worker that is long gone.
    pub fn forget(&mut self, worker: WorkerId) {
        self.starts.remove(&worker);
        self.names.forget(worker.0);
    }
}

#[cfg(test)]
mod tests;
