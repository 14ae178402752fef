use curlewpoint::types::FunctionId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::members::MemberId;
use crate::rings::order_key;

/// Number of holders of a function, and of contacts in another column.
pub(super) const HOLDER_COUNT: usize = 3;
/// Maximum number of columns, and minimum mean number of members per column where there is more than one.
const MAX_COLUMNS: u64 = 64;
const MIN_COLUMN_SIZE: u64 = 8;
const COLUMN_SALT: u64 = 201;
const HOLDER_SALT: u64 = 202;

/// Which members communicate about which functions, computed from the members known to be alive. Columns depend
/// only on fixed hashes and the number of members, so two instances disagree about them only where that number
/// is close to a power of two times the minimum size.
pub(super) struct Topology {
    me: MemberId,
    column_count: u64,
    /// The members of this instance's column, itself included.
    column_members: Vec<MemberId>,
    /// For each other column the contacts of this instance, in its own order.
    contacts: Vec<Vec<(u64, MemberId)>>,
}

fn hash(a: u64, b: u64, salt: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_be_bytes());
    bytes[8..].copy_from_slice(&b.to_be_bytes());
    xxh3_64_with_seed(&bytes, salt)
}

fn column_count(members: u64) -> u64 {
    let mut column_count = 1;
    while column_count < MAX_COLUMNS && members / (column_count * 2) >= MIN_COLUMN_SIZE {
        column_count *= 2;
    }
    column_count
}

impl Topology {
    pub fn new(me: MemberId, living: impl Iterator<Item = MemberId>) -> Topology {
        let mut all: Vec<MemberId> = living.filter(|m| *m != me).collect();
        all.push(me);
        let column_count = column_count(all.len() as u64);
        let mut topology = Topology {
            me,
            column_count,
            column_members: Vec::new(),
            contacts: vec![Vec::new(); column_count as usize],
        };
        let own_column = topology.column(me.instance.0);
        for m in all {
            let column = topology.column(m.instance.0);
            if column == own_column {
                topology.column_members.push(m);
                continue;
            }
            let contacts = &mut topology.contacts[column as usize];
            contacts.push((order_key(me.instance.0, m), m));
            contacts.sort_unstable();
            contacts.truncate(HOLDER_COUNT);
        }
        topology.column_members.sort_unstable();
        topology
    }

    fn column(&self, id: u64) -> u64 {
        hash(id, 0, COLUMN_SALT) & (self.column_count - 1)
    }

    /// Whether a function belongs to this instance's column.
    pub fn is_own_column(&self, function: FunctionId) -> bool {
        self.column(function.0) == self.column(self.me.instance.0)
    }

    pub fn is_column_member(&self, member: MemberId) -> bool {
        self.column(member.instance.0) == self.column(self.me.instance.0)
    }

    /// The members of this column that hold a function, by rendezvous hashing.
    pub fn holders(&self, function: FunctionId) -> Vec<MemberId> {
        let mut first: Vec<(u64, MemberId)> = Vec::with_capacity(HOLDER_COUNT + 1);
        for m in &self.column_members {
            let order = hash(function.0, m.instance.0, HOLDER_SALT);
            if first.len() < HOLDER_COUNT || order < first[HOLDER_COUNT - 1].0 {
                first.push((order, *m));
                first.sort_unstable();
                first.truncate(HOLDER_COUNT);
            }
        }
        first.into_iter().map(|(_, m)| m).collect()
    }

    pub fn holds(&self, function: FunctionId) -> bool {
        self.is_own_column(function) && self.holders(function).contains(&self.me)
    }

    /// The members to contact for a function: its other holders, or the contacts in its column.
    pub fn contacts_for(&self, function: FunctionId) -> Vec<MemberId> {
        if self.is_own_column(function) {
            let mut all = self.holders(function);
            all.retain(|m| *m != self.me);
            // Spreads the first questions over the holders.
            if all.len() > 1 {
                let first = order_key(function.0, self.me) as usize % all.len();
                all.rotate_left(first);
            }
            return all;
        }
        let column = self.column(function.0) as usize;
        self.contacts[column].iter().map(|(_, m)| *m).collect()
    }
}
