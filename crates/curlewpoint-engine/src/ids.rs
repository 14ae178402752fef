use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

/// A connection from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// A connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// An upstream request (attempt, probe or load order), which ends exactly once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The id of a name: its hash, equal at every scheduler and in every run.
pub fn id_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The names behind ids, bounded in number; detects two names with the same id.
pub struct NameTable {
    names: BTreeMap<u64, String>,
    max: usize,
}

impl NameTable {
    pub fn new(max: usize) -> NameTable {
        NameTable { names: BTreeMap::new(), max }
    }

    /// Adds a name and returns its id. Fails if another name has the same id, or if the table is full.
    pub fn insert(&mut self, name: &str) -> Result<u64, String> {
        let id = id_of(name);
        match self.names.get(&id) {
            Some(known) if known == name => Ok(id),
            Some(known) => Err(format!("'{name}' and '{known}' have the same id")),
            None if self.names.len() >= self.max => Err(format!("more than {} names", self.max)),
            None => {
                self.names.insert(id, name.to_owned());
                Ok(id)
            }
        }
    }

    pub fn name(&self, id: u64) -> &str {
        self.names.get(&id).map_or("", String::as_str)
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    pub fn remove(&mut self, id: u64) {
        self.names.remove(&id);
    }
}
