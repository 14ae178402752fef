use std::collections::{BTreeMap, VecDeque};
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

/// Which catalogue an RPC was taken under: it ends under that one, whatever has come into force since. Earlier catalogues
/// are held while RPCs of theirs are open, up to a number; then a further one is refused, rather than an RPC's schema
/// let go. A method withdrawn is known as such for a stated time.
pub struct Releases {
    held: BTreeMap<Release, Held>,
    in_force: Release,
    most: usize,
    notice: Time,
    withdrawn: VecDeque<(Time, String)>,
}

/// Names of withdrawn methods that are kept, the latest.
const MOST_WITHDRAWN: usize = 10_000;

impl Releases {
    pub fn new(catalogue: Catalogue, most: usize, notice: Time) -> Releases {
        let first = Release(1);
        let held = BTreeMap::from([(first, Held { catalogue: Arc::new(catalogue), open: 0 })]);
        Releases { held, in_force: first, most: most.max(1), notice, withdrawn: VecDeque::new() }
    }

    pub fn in_force(&self) -> &Arc<Catalogue> {
        &self.held[&self.in_force].catalogue
    }

    /// An RPC is taken: it ends under the catalogue in force now.
    pub fn taken(&mut self) -> (Release, Arc<Catalogue>) {
        let held = self.held.get_mut(&self.in_force).expect("the one in force is held");
        held.open += 1;
        (self.in_force, Arc::clone(&held.catalogue))
    }

    /// An RPC has ended; a catalogue not in force goes with its last one.
    pub fn ended(&mut self, release: Release) {
        let Some(held) = self.held.get_mut(&release) else { return };
        held.open = held.open.saturating_sub(1);
        if held.open == 0 && release != self.in_force {
            self.held.remove(&release);
        }
    }

    /// Another catalogue comes into force.
    pub fn reload(&mut self, now: Time, catalogue: Catalogue) -> Result<Release, TooMany> {
        let idle = self.held[&self.in_force].open == 0;
        let stay = self.held.len() - usize::from(idle);
        if stay >= self.most {
            return Err(TooMany(stay));
        }
        let before = Arc::clone(self.in_force());
        for method in before.methods().filter(|m| catalogue.method(&m.name).is_none()) {
            self.withdrawn.push_back((now, method.name.clone()));
        }
        // What comes back is withdrawn no more.
        self.withdrawn.retain(|(at, name)| catalogue.method(name).is_none() && *at + self.notice > now);
        while self.withdrawn.len() > MOST_WITHDRAWN {
            self.withdrawn.pop_front();
        }
        if idle {
            self.held.remove(&self.in_force);
        }
        self.in_force = Release(self.in_force.0 + 1);
        self.held.insert(self.in_force, Held { catalogue: Arc::new(catalogue), open: 0 });
        Ok(self.in_force)
    }

    pub fn standing(&self, now: Time, method: &str) -> Standing {
        if self.in_force().method(method).is_some() {
            return Standing::Served;
        }
        let gone = self.withdrawn.iter().rev().find(|(at, name)| name == method && *at + self.notice > now);
        gone.map_or(Standing::Unknown, |(at, _)| Standing::Withdrawn { ago: now - *at })
    }

    /// How many catalogues are held, the one in force included.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}
