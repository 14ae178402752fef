use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// A connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// An attempt, a probe or a load order: whatever a worker is asked and owes an end for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The id of a name, the same at every scheduler that ever reads it.
pub fn id_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The names behind ids, up to a bound, so that two names with one id are noticed.
pub struct NameTable {
    names: BTreeMap<u64, String>,
    most: usize,
}

impl NameTable {
    pub fn new(most: usize) -> NameTable {
        NameTable { names: BTreeMap::new(), most }
    }

    /// A name's id; an error names the other name that has it, or says that there is no room for more names.
    pub fn learn(&mut self, name: &str) -> Result<u64, String> {
        let id = id_of(name);
        match self.names.get(&id) {
            Some(known) if known == name => Ok(id),
            Some(known) => Err(format!("'{name}' and '{known}' have one id")),
            None if self.names.len() >= self.most => Err(format!("more than {} names", self.most)),
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

    pub fn forget(&mut self, id: u64) {
        self.names.remove(&id);
    }
}
