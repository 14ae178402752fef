use std::collections::BTreeMap;
use std::sync::Arc;

use curlewpoint::types::Time;

use crate::catalogue::Catalogue;

/// The sequence number of a catalogue that was activated in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Release(pub u64);

/// The current status of a method.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MethodStatus {
    Served,
    /// The method was withdrawn this long ago. Its open RPCs continue.
    Withdrawn {
        ago: Time,
    },
    Unknown,
}

/// Too many catalogues have open RPCs to activate another. Holds their number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TooManyReleases(pub usize);

struct HeldCatalogue {
    catalogue: Arc<Catalogue>,
    open_rpcs: u64,
}

/// Recently withdrawn methods. The listeners hold copies.
#[derive(Clone, Debug)]
pub struct WithdrawnMethods {
    notice_period: Time,
    since: BTreeMap<String, Time>,
}

/// The maximum number of withdrawn methods kept; the oldest are dropped first.
const MAX_WITHDRAWN: usize = 10_000;

impl WithdrawnMethods {
    fn new(notice_period: Time) -> WithdrawnMethods {
        WithdrawnMethods { notice_period, since: BTreeMap::new() }
    }

    /// The time since the method was withdrawn; none if it never was or the notice period is over.
    pub fn time_since(&self, now: Time, method: &str) -> Option<Time> {
        let since = *self.since.get(method)?;
        (since + self.notice_period > now).then_some(now - since)
    }

    fn update(&mut self, now: Time, before: &Catalogue, after: &Catalogue) {
        let removed = before.methods().filter(|m| after.method(&m.name).is_none());
        self.since.extend(removed.map(|m| (m.name.clone(), now)));
        // A method that is served again is no longer withdrawn.
        let notice_period = self.notice_period;
        self.since.retain(|name, since| after.method(name).is_none() && *since + notice_period > now);
        while self.since.len() > MAX_WITHDRAWN {
            let oldest = self.since.iter().min_by_key(|(_, since)| **since).map(|(name, _)| name.clone());
            oldest.and_then(|name| self.since.remove(&name));
        }
    }
}

/// Records the catalogue under which each RPC was accepted. The RPC also ends under that catalogue, whichever has been
/// activated since. Earlier catalogues are held while they have open RPCs. At the maximum number, a reload is refused
/// rather than the schema of an open RPC dropped. A withdrawn method is reported as withdrawn for the notice period.
pub struct Releases {
    held: BTreeMap<Release, HeldCatalogue>,
    in_force: Release,
    max_held: usize,
    withdrawn: WithdrawnMethods,
}

impl Releases {
    pub fn new(catalogue: Arc<Catalogue>, max_held: usize, notice_period: Time) -> Releases {
        let first = Release(1);
        let held = BTreeMap::from([(first, HeldCatalogue { catalogue, open_rpcs: 0 })]);
        Releases {
            held,
            in_force: first,
            max_held: max_held.max(1),
            withdrawn: WithdrawnMethods::new(notice_period),
        }
    }

    pub fn in_force(&self) -> Release {
        self.in_force
    }

    /// Returns a catalogue that is active or still held.
    pub fn catalogue(&self, release: Release) -> Option<&Arc<Catalogue>> {
        Some(&self.held.get(&release)?.catalogue)
    }

    pub fn withdrawn(&self) -> &WithdrawnMethods {
        &self.withdrawn
    }

    /// Records that an RPC was accepted under the active catalogue.
    pub fn accept_rpc(&mut self) -> Release {
        self.held.entry(self.in_force).and_modify(|held| held.open_rpcs += 1);
        self.in_force
    }

    /// Records that an RPC has ended. An inactive catalogue is dropped with its last RPC.
    pub fn end_rpc(&mut self, release: Release) {
        let Some(held) = self.held.get_mut(&release) else { return };
        held.open_rpcs = held.open_rpcs.saturating_sub(1);
        if held.open_rpcs == 0 && release != self.in_force {
            self.held.remove(&release);
        }
    }

    /// Checks whether another catalogue can be activated now.
    pub fn check_capacity(&self) -> Result<(), TooManyReleases> {
        let is_idle = self.held[&self.in_force].open_rpcs == 0;
        let remaining = self.held.len() - usize::from(is_idle);
        if remaining >= self.max_held {
            return Err(TooManyReleases(remaining));
        }
        Ok(())
    }

    /// Activates another catalogue.
    pub fn reload(&mut self, now: Time, catalogue: Arc<Catalogue>) -> Result<Release, TooManyReleases> {
        self.check_capacity()?;
        let before = &self.held[&self.in_force];
        self.withdrawn.update(now, &before.catalogue, &catalogue);
        if before.open_rpcs == 0 {
            self.held.remove(&self.in_force);
        }
        self.in_force = Release(self.in_force.0 + 1);
        self.held.insert(self.in_force, HeldCatalogue { catalogue, open_rpcs: 0 });
        Ok(self.in_force)
    }

    pub fn method_status(&self, now: Time, method: &str) -> MethodStatus {
        if self.held[&self.in_force].catalogue.method(method).is_some() {
            return MethodStatus::Served;
        }
        self.withdrawn
            .time_since(now, method)
            .map_or(MethodStatus::Unknown, |ago| MethodStatus::Withdrawn { ago })
    }

    /// The number of catalogues held, including the active one.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }
}
