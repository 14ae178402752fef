use std::collections::BTreeMap;

use curlewpoint::types::Time;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// An instance by its name, the same at every instance and across restarts: xxh3-64 of the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u64);

impl InstanceId {
    pub fn of(name: &str) -> InstanceId {
        InstanceId(xxh3_64(name.as_bytes()))
    }
}

/// One run of an instance's process; drawn at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run(pub u64);

/// One run of one instance. Two runs under one name are two members until the older is known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberId {
    pub instance: InstanceId,
    pub run: Run,
}

/// What is believed of a member. A member alone raises its incarnation, and does so to refute what others believe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    pub incarnation: u64,
    /// It has said goodbye: nothing of this run comes any more. Nothing overrides it.
    pub left: bool,
    /// Others have given it up in this incarnation.
    pub dead: bool,
    /// It cannot reach the list service, by its own word.
    pub list_service_lost: bool,
    /// The rings on which whoever looks after it hears nothing, a bit each.
    pub suspicions: u8,
}

impl MemberState {
    /// The one merge: a goodbye above all, then the later incarnation, and within one the graver belief. It is the join
    /// of a lattice, so neither order nor grouping nor repeats matter.
    pub fn merge(self, other: MemberState) -> MemberState {
        let key = |s: &MemberState| (s.left, s.incarnation);
        match key(&self).cmp(&key(&other)) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => MemberState {
                dead: self.dead || other.dead,
                list_service_lost: self.list_service_lost || other.list_service_lost,
                suspicions: self.suspicions | other.suspicions,
                ..self
            },
        }
    }

    /// Neither has it left nor is it given up.
    pub fn is_alive(&self) -> bool {
        !self.left && !self.dead
    }

    /// Enough of those who look after it hear nothing. Two have to agree, as one of them may be cut off itself.
    pub fn is_suspect(&self) -> bool {
        self.suspicions.count_ones() >= 2
    }
}

/// A member as it is known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: String,
    /// Where its peers reach it.
    pub address: String,
    pub state: MemberState,
    /// When its record last changed here.
    pub changed_at: Time,
    /// It ended so long ago that nobody speaks of it any more; it is still counted until it is forgotten.
    pub retired: bool,
}

impl Member {
    fn digest(&self, id: MemberId) -> u64 {
        let s = &self.state;
        let flags = [u8::from(s.left), u8::from(s.dead), u8::from(s.list_service_lost), s.suspicions];
        let mut bytes = Vec::with_capacity(28);
        for part in [id.instance.0, id.run.0, s.incarnation] {
            bytes.extend_from_slice(&part.to_be_bytes());
        }
        bytes.extend_from_slice(&flags);
        xxh3_64_with_seed(&bytes, 1)
    }
}

/// Why a record was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// As many members are known as are kept.
    TableFull,
    /// The name does not belong to the id, or is too long, or there is none.
    Invalid,
}

/// The longest name and the longest address, in bytes.
const MOST_TEXT: usize = 256;
/// Incarnations grow by one for each refutation: a jump beyond this is no member's word.
const MOST_STEP: u64 = 1 << 32;

/// After this time nobody speaks any more of one that has left, or that was given up; after twice as long it is forgotten.
/// In between no record of it can come from one who has not forgotten it yet.
const SPOKEN_OF: (Time, Time) = (Time(600_000), Time(3_000_000));

/// All members known, bounded in number.
pub struct MemberTable {
    members: BTreeMap<MemberId, Member>,
    most: usize,
    digest: u64,
}

impl MemberTable {
    pub fn new(most: usize) -> MemberTable {
        MemberTable { members: BTreeMap::new(), most, digest: 0 }
    }

    /// Takes a record; true: it told something new.
    pub fn merge(
        &mut self, now: Time, id: MemberId, name: &str, address: &str, state: MemberState,
    ) -> Result<bool, RecordError> {
        let long = name.len() > MOST_TEXT || address.len() > MOST_TEXT;
        if name.is_empty() || long || InstanceId::of(name) != id.instance {
            return Err(RecordError::Invalid);
        }
        let full = self.members.len() >= self.most;
        match self.members.get_mut(&id) {
            Some(known) => {
                if state.incarnation > known.state.incarnation.saturating_add(MOST_STEP) {
                    return Err(RecordError::Invalid);
                }
                // One run has one address; of two that are told the greater is kept, everywhere alike.
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
            None if full => return Err(RecordError::TableFull),
            None => {
                let (name, address) = (name.to_owned(), address.to_owned());
                let new = Member { name, address, state, changed_at: now, retired: false };
                self.digest ^= new.digest(id);
                self.members.insert(id, new);
            }
        }
        Ok(true)
    }

    /// Passes over, and later forgets, what ended long ago.
    pub fn sweep(&mut self, now: Time) {
        let digest = &mut self.digest;
        self.members.retain(|id, m| {
            let span = if m.state.left { SPOKEN_OF.0 } else { SPOKEN_OF.1 };
            let ended = if m.state.is_alive() { Time(0) } else { now - m.changed_at };
            if ended >= span && !m.retired {
                *digest ^= m.digest(*id);
                m.retired = true;
            }
            ended < Time(2 * span.0)
        });
    }

    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(id, m)| (*id, m))
    }

    /// Members that have neither left nor been given up.
    pub fn alive(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.iter().filter(|(_, m)| m.state.is_alive())
    }

    /// Members that are still spoken of.
    pub fn gossiped(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.iter().filter(|(_, m)| !m.retired)
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The same at all instances that hold the same records.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
