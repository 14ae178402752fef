use std::collections::BTreeMap;
use std::sync::Arc;

use curlewpoint::types::Time;

use crate::catalogue::Catalogue;

/// One catalogue that came into force here, counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Release(pub u64);

/// How a method stands now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    Served,
    /// It was withdrawn so long ago; RPCs of it that are open go on.
    Withdrawn {
        ago: Time,
    },
    Unknown,
}

/// So many catalogues still have RPCs open that no other can come into force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TooMany(pub usize);

struct Held {
    catalogue: Arc<Catalogue>,
    open: u64,
}

/// Methods that were withdrawn of late. Doors have a copy of it.
#[derive(Clone, Debug)]
pub struct Withdrawn {
    notice: Time,
    since: BTreeMap<String, Time>,
}

/// Names of withdrawn methods that are kept, the latest.
const MOST_WITHDRAWN: usize = 10_000;

impl Withdrawn {
    fn new(notice: Time) -> Withdrawn {
        Withdrawn { notice, since: BTreeMap::new() }
    }

    /// How long ago it was withdrawn; none: never, or longer ago than is told.
    pub fn ago(&self, now: Time, method: &str) -> Option<Time> {
        let since = *self.since.get(method)?;
        (since + self.notice > now).then_some(now - since)
    }

    fn change(&mut self, now: Time, before: &Catalogue, after: &Catalogue) {
        let gone = before.methods().filter(|m| after.method(&m.name).is_none());
        self.since.extend(gone.map(|m| (m.name.clone(), now)));
        // What comes back is withdrawn no more.
        let notice = self.notice;
        self.since.retain(|name, since| after.method(name).is_none() && *since + notice > now);
        while self.since.len() > MOST_WITHDRAWN {
            let oldest = self.since.iter().min_by_key(|(_, since)| **since).map(|(name, _)| name.clone());
            oldest.and_then(|name| self.since.remove(&name));
        }
    }
}

/// Which catalogue an RPC was taken under: it ends under that one, whatever has come into force since. Earlier catalogues
/// are held while RPCs of theirs are open, up to a number; then a further one is refused, rather than an RPC's schema
/// let go. A method withdrawn is known as such for a stated time.
pub struct Releases {
    held: BTreeMap<Release, Held>,
    in_force: Release,
    most: usize,
    withdrawn: Withdrawn,
}

impl Releases {
    pub fn new(catalogue: Arc<Catalogue>, most: usize, notice: Time) -> Releases {
        let first = Release(1);
        let held = BTreeMap::from([(first, Held { catalogue, open: 0 })]);
        Releases { held, in_force: first, most: most.max(1), withdrawn: Withdrawn::new(notice) }
    }

    pub fn in_force(&self) -> Release {
        self.in_force
    }

    /// A catalogue that is in force or still held.
    pub fn catalogue(&self, release: Release) -> Option<&Arc<Catalogue>> {
        Some(&self.held.get(&release)?.catalogue)
    }

    pub fn withdrawn(&self) -> &Withdrawn {
        &self.withdrawn
    }

    /// An RPC is taken: it ends under the catalogue in force now.
    pub fn taken(&mut self) -> Release {
        self.held.entry(self.in_force).and_modify(|held| held.open += 1);
        self.in_force
    }

    /// An RPC has ended; a catalogue not in force goes with its last one.
    pub fn ended(&mut self, release: Release) {
        let Some(held) = self.held.get_mut(&release) else { return };
        held.open = held.open.saturating_sub(1);
        if held.open == 0 && release != self.in_force {
            self.held.remove(&release);
        }
    }

    /// Whether another catalogue may come into force now.
    pub fn has_room(&self) -> Result<(), TooMany> {
        let idle = self.held[&self.in_force].open == 0;
        let stay = self.held.len() - usize::from(idle);
        if stay >= self.most {
            return Err(TooMany(stay));
        }
        Ok(())
    }

    /// Another catalogue comes into force.
    pub fn reload(&mut self, now: Time, catalogue: Arc<Catalogue>) -> Result<Release, TooMany> {
        self.has_room()?;
        let before = &self.held[&self.in_force];
        self.withdrawn.change(now, &before.catalogue, &catalogue);
        if before.open == 0 {
            self.held.remove(&self.in_force);
        }
        self.in_force = Release(self.in_force.0 + 1);
        self.held.insert(self.in_force, Held { catalogue, open: 0 });
        Ok(self.in_force)
    }

    pub fn standing(&self, now: Time, method: &str) -> Standing {
        if self.held[&self.in_force].catalogue.method(method).is_some() {
            return Standing::Served;
        }
        self.withdrawn.ago(now, method).map_or(Standing::Unknown, |ago| Standing::Withdrawn { ago })
    }

    /// How many catalogues are held, the one in force included.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}
