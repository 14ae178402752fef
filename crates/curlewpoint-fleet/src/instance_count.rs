use std::collections::BTreeMap;

use curlewpoint::types::Time;

use crate::members::{InstanceId, MemberTable};

/// A lower count takes effect after this time: what the departed instance had sent still occupies cold workers.
const DECREASE_DELAY: Time = Time(100_000);
/// A new instance counts itself in after this time: by then every instance that can be reached knows of it.
const ADMISSION_DELAY: Time = Time(10_000);
/// Count used by a new instance among others that have confirmed theirs: its share is so small that it asks
/// nothing of cold workers.
const COUNT_BEFORE_ADMISSION: u64 = 1_000_000_000;

/// The number of instances among which the load on cold workers is divided.
///
/// The limit on the load of cold workers (rule 4) rests on this claim: at any time the sum of 1 / count over
/// all sending instances is at most 1. It holds although they use different counts, as long as a join reaches
/// every instance with a confirmed count within the time in which the joining one asks for nothing, and the
/// configured count is at least the number of instances that start together:
///
/// - an instance with a confirmed count uses all instances that it has ever learned of and that have not
///   announced that they leave. Those declared dead are included, because they may be behind a network
///   partition and still send;
/// - a new instance that does not know yet whether others have confirmed their counts, or knows that they
///   have, uses a count so large that nothing is asked of a cold worker, until it has been known to all for a
///   while;
/// - an instance that has not confirmed its count among others that have not either, or that finds no other,
///   uses the larger of the configured count and the number it knows of.
///
/// This protects against a configured count that is too small, and avoids the cost of one that is too large.
/// For ten seconds after an instance leaves, and for one second after a join, a cold worker gets a little less
/// load than it could bear.
#[derive(Debug)]
pub struct InstanceCount {
    configured: u64,
    /// When the first link came up.
    linked_at: Option<Time>,
    confirmed: bool,
    effective: u64,
    lower_since: Option<Time>,
}

impl InstanceCount {
    /// `configured`: the configured count; `has_peers`: whether seed peers are configured.
    pub fn new(configured: u64, has_peers: bool) -> InstanceCount {
        let effective = if has_peers { COUNT_BEFORE_ADMISSION } else { configured.max(1) };
        InstanceCount { configured, linked_at: None, confirmed: false, effective, lower_since: None }
    }

    pub fn effective(&self) -> u64 {
        self.effective
    }

    /// The configured count.
    pub fn configured(&self) -> u64 {
        self.configured.max(1)
    }

    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// A link is up; only the first call counts.
    pub fn link_established(&mut self, now: Time) {
        self.linked_at.get_or_insert(now);
    }

    /// Updates the count and returns it if it has changed. `converged`: a peer holds the same records, and all
    /// seed peers are known members. `peer_confirmed`: whether a peer has confirmed its count or knows an
    /// instance that has; `None`: no peer has reported, and one may yet.
    pub fn update(
        &mut self, now: Time, members: &MemberTable, converged: bool, peer_confirmed: Option<bool>,
    ) -> Option<u64> {
        let counted = count(members);
        let admitted = self.linked_at.is_some_and(|at| now - at >= ADMISSION_DELAY);
        self.confirmed |= admitted && converged;
        let target = match (self.confirmed, peer_confirmed) {
            (true, _) => counted,
            (false, Some(false)) => counted.max(self.configured),
            (false, _) => COUNT_BEFORE_ADMISSION,
        };
        let before = self.effective;
        // Becoming confirmed takes effect at once: all others have counted this instance in by now.
        let wait = if before == COUNT_BEFORE_ADMISSION || !self.confirmed { Time(0) } else { DECREASE_DELAY };
        let is_lower = target < self.effective;
        if !is_lower || now - *self.lower_since.get_or_insert(now) >= wait {
            (self.effective, self.lower_since) = (target, None);
        }
        (self.effective != before).then_some(self.effective)
    }
}

/// Counts all instances that may send: runs that are alive, and for each name without one, one if any run did
/// not announce that it leaves.
fn count(members: &MemberTable) -> u64 {
    let mut names: BTreeMap<InstanceId, (u64, bool)> = BTreeMap::new();
    for (id, member) in members.iter().filter(|(_, m)| !m.state.left) {
        let (alive, any_present) = names.entry(id.instance).or_default();
        *alive += u64::from(member.state.is_alive());
        *any_present = true;
    }
    names.values().map(|(alive, any_present)| (*alive).max(u64::from(*any_present))).sum::<u64>().max(1)
}
