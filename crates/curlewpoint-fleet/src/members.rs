use std::collections::BTreeMap;

use curlewpoint::types::Time;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Identifies an instance by its name, the same at every instance and across restarts: xxh3-64 of the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u64);

impl InstanceId {
    pub fn of(name: &str) -> InstanceId {
        InstanceId(xxh3_64(name.as_bytes()))
    }
}

/// One run of an instance's process; chosen at random at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// One run of one instance. Two runs under one name are two members until the older one is known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberId {
    pub instance: InstanceId,
    pub run: RunId,
}

/// The state of a member as believed by the fleet. Only the member itself raises its incarnation, and does so
/// to refute what others believe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    pub incarnation: u64,
    /// The member has announced that it leaves: nothing more of this run follows. Nothing overrides this.
    pub left: bool,
    /// Others have declared it dead in this incarnation.
    pub dead: bool,
    /// By its own report it cannot reach the list service.
    pub list_service_lost: bool,
    /// One bit for each ring on which the monitoring member receives nothing from it.
    pub suspected_rings: u8,
}

impl MemberState {
    /// Merges two states: leaving overrides everything, then the later incarnation wins, and within one
    /// incarnation the worse state. This is the join of a lattice, so order, grouping and repetition make no
    /// difference.
    pub fn merge(self, other: MemberState) -> MemberState {
        let key = |s: &MemberState| (s.left, s.incarnation);
        match key(&self).cmp(&key(&other)) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => MemberState {
                dead: self.dead || other.dead,
                list_service_lost: self.list_service_lost || other.list_service_lost,
                suspected_rings: self.suspected_rings | other.suspected_rings,
                ..self
            },
        }
    }

    /// Whether it has neither left nor been declared dead.
    pub fn is_alive(&self) -> bool {
        !self.left && !self.dead
    }

    /// Whether enough monitoring members receive nothing from it. Two have to agree, because one of them may be
    /// cut off itself.
    pub fn is_suspect(&self) -> bool {
        self.suspected_rings.count_ones() >= 2
    }
}

/// A member record as held here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: String,
    /// The address at which its peers reach it.
    pub address: String,
    pub state: MemberState,
    /// When its record last changed here.
    pub changed_at: Time,
    /// It ended so long ago that its record is no longer gossiped. It still counts until it is removed.
    pub retired: bool,
}

impl Member {
    fn digest(&self, id: MemberId) -> u64 {
        let s = &self.state;
        let flags = [u8::from(s.left), u8::from(s.dead), u8::from(s.list_service_lost), s.suspected_rings];
        let mut bytes = Vec::with_capacity(28);
        for part in [id.instance.0, id.run.0, s.incarnation] {
            bytes.extend_from_slice(&part.to_be_bytes());
        }
        bytes.extend_from_slice(&flags);
        xxh3_64_with_seed(&bytes, 1)
    }
}

/// Why a record was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The maximum number of members is known.
    TableFull,
    /// The name does not match the id, the name or address is too long, the name is empty, or the incarnation
    /// jumps too far.
    Invalid,
}

/// Maximum length of a name and of an address, in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Incarnations grow by one for each refutation; a jump beyond this is not genuine.
const MAX_INCARNATION_STEP: u64 = 1 << 32;

/// After this time the record of a member that has left (first value) or was declared dead (second value) is no
/// longer gossiped; after twice as long it is removed. In between, no copy of it can arrive from an instance
/// that still gossips it.
const GOSSIP_PERIOD: (Time, Time) = (Time(600_000), Time(3_000_000));

/// All members known, up to a maximum number.
pub struct MemberTable {
    members: BTreeMap<MemberId, Member>,
    max_members: usize,
    digest: u64,
}

impl MemberTable {
    pub fn new(max_members: usize) -> MemberTable {
        MemberTable { members: BTreeMap::new(), max_members, digest: 0 }
    }

    /// Merges a record; returns whether it was news.
    pub fn merge(
        &mut self, now: Time, id: MemberId, name: &str, address: &str, state: MemberState,
    ) -> Result<bool, RecordError> {
        let too_long = name.len() > MAX_TEXT_BYTES || address.len() > MAX_TEXT_BYTES;
        if name.is_empty() || too_long || InstanceId::of(name) != id.instance {
            return Err(RecordError::Invalid);
        }
        let is_full = self.members.len() >= self.max_members;
        match self.members.get_mut(&id) {
            Some(known) => {
                if state.incarnation > known.state.incarnation.saturating_add(MAX_INCARNATION_STEP) {
                    return Err(RecordError::Invalid);
                }
                // A run has one address; of two that are reported the greater is kept, so that all instances
                // agree.
                let (merged, moved) = (known.state.merge(state), address > known.address.as_str());
                if merged == known.state && !moved {
                    return Ok(false);
                }
                if !std::mem::take(&mut known.retired) {
                    self.digest ^= known.digest(id);
                }
                (known.state, known.changed_at) = (merged, now);
                if moved {
                    known.address = address.to_owned();
                }
                self.digest ^= known.digest(id);
            }
            None if is_full => return Err(RecordError::TableFull),
            None => {
                let (name, address) = (name.to_owned(), address.to_owned());
                let new = Member { name, address, state, changed_at: now, retired: false };
                self.digest ^= new.digest(id);
                self.members.insert(id, new);
            }
        }
        Ok(true)
    }

    /// Retires, and later removes, members that ended long ago.
    pub fn sweep(&mut self, now: Time) {
        let digest = &mut self.digest;
        self.members.retain(|id, m| {
            let span = if m.state.left { GOSSIP_PERIOD.0 } else { GOSSIP_PERIOD.1 };
            let ended_for = if m.state.is_alive() { Time(0) } else { now - m.changed_at };
            if ended_for >= span && !m.retired {
                *digest ^= m.digest(*id);
                m.retired = true;
            }
            ended_for < Time(2 * span.0)
        });
    }

    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(id, m)| (*id, m))
    }

    /// Members that have neither left nor been declared dead.
    pub fn alive(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.iter().filter(|(_, m)| m.state.is_alive())
    }

    /// Members whose records are still gossiped.
    pub fn gossiped(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.iter().filter(|(_, m)| !m.retired)
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// A digest that is the same at all instances that hold the same records.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
