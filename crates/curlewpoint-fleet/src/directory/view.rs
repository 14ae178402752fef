use curlewpoint::types::FunctionId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::members::MemberId;
use crate::rings::order_key;

/// Those who hold a function, and the contacts in a column that are known to one of another.
pub(super) const HOLDERS: usize = 3;
/// Columns at most; members that a column has at least, on the mean, where there is more than one.
const COLUMNS: u64 = 64;
const COLUMN: u64 = 8;
const SALT_COLUMN: u64 = 201;
const SALT_HOLDER: u64 = 202;

/// Who speaks to whom, as reckoned from those who are known to live. A column is told by fixed hashes and the number of
/// members, so two views differ in it only about a power of two.
pub(super) struct View {
    me: MemberId,
    columns: u64,
    /// Those of the own column, this instance among them.
    mates: Vec<MemberId>,
    /// For each other column those whom this instance speaks to, in its own order.
    contacts: Vec<Vec<(u64, MemberId)>>,
}

fn hash(a: u64, b: u64, salt: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_be_bytes());
    bytes[8..].copy_from_slice(&b.to_be_bytes());
    xxh3_64_with_seed(&bytes, salt)
}

fn columns(members: u64) -> u64 {
    let mut columns = 1;
    while columns < COLUMNS && members / (columns * 2) >= COLUMN {
        columns *= 2;
    }
    columns
}

impl View {
    pub fn new(me: MemberId, living: impl Iterator<Item = MemberId>) -> View {
        let mut all: Vec<MemberId> = living.filter(|m| *m != me).collect();
        all.push(me);
        let columns = columns(all.len() as u64);
        let mut view = View { me, columns, mates: Vec::new(), contacts: vec![Vec::new(); columns as usize] };
        let mine = view.column(me.instance.0);
        for m in all {
            let column = view.column(m.instance.0);
            if column == mine {
                view.mates.push(m);
                continue;
            }
            let contacts = &mut view.contacts[column as usize];
            contacts.push((order_key(me.instance.0, m), m));
            contacts.sort_unstable();
            contacts.truncate(HOLDERS);
        }
        view.mates.sort_unstable();
        view
    }

    fn column(&self, id: u64) -> u64 {
        hash(id, 0, SALT_COLUMN) & (self.columns - 1)
    }

    /// Whether a function is held in this instance's column.
    pub fn is_ours(&self, function: FunctionId) -> bool {
        self.column(function.0) == self.column(self.me.instance.0)
    }

    pub fn is_mate(&self, member: MemberId) -> bool {
        self.column(member.instance.0) == self.column(self.me.instance.0)
    }

    /// Those of the own column who hold a function, by rendezvous order.
    pub fn holders(&self, function: FunctionId) -> Vec<MemberId> {
        let mut first: Vec<(u64, MemberId)> = Vec::with_capacity(HOLDERS + 1);
        for m in &self.mates {
            let place = hash(function.0, m.instance.0, SALT_HOLDER);
            if first.len() < HOLDERS || place < first[HOLDERS - 1].0 {
                first.push((place, *m));
                first.sort_unstable();
                first.truncate(HOLDERS);
            }
        }
        first.into_iter().map(|(_, m)| m).collect()
    }

    pub fn holds(&self, function: FunctionId) -> bool {
        self.is_ours(function) && self.holders(function).contains(&self.me)
    }

    /// Whom to speak to of a function: its other holders, or the contacts in its column.
    pub fn towards(&self, function: FunctionId) -> Vec<MemberId> {
        if self.is_ours(function) {
            let mut all = self.holders(function);
            all.retain(|m| *m != self.me);
            // Not all ask the same one first.
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
