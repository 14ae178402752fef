use std::collections::BTreeMap;

use curlewpoint::types::Time;

use crate::members::{InstanceId, MemberTable};

/// How long a lower count has to hold before it is acted on: what one that left had sent still weighs on cold workers.
const LOWER_AFTER: Time = Time(100_000);
/// How long one that is new waits until it counts itself in: by then every instance that can be reached knows of it.
const ADMITTED_AFTER: Time = Time(10_000);
/// One that is new among others that are sure acts on this many: it asks nothing of cold workers yet.
const NOTHING: u64 = 1_000_000_000;

/// The number of instances to act on.
///
/// The claim that rule 4 rests on: at any time the sum of 1 / number over all instances that send is at most 1. It holds
/// though they act on different numbers, as long as a join reaches every sure instance within the time in which the
/// joiner asks for nothing, and the number in the file is at least that of the instances that start together:
///
/// - one that is sure acts on all that it has ever heard of and that have not said goodbye: those given up are counted
///   on, as they may be behind a cut and send all the same;
/// - one that is new, and has not heard yet whether others are sure, or has heard that they are, acts on so many that
///   nothing is asked of a cold worker, until it has been known to all for a while;
/// - one that is unsure among others that are unsure, or that finds nobody, acts on the larger of the number in the file
///   and those it has heard of.
///
/// Guards against a number in the file that is too small, and spares what a too large one costs. Harms for ten seconds
/// after a goodbye, in which a cold worker gets a little less than it could bear, and for the second after a join.
#[derive(Debug)]
pub struct InstanceCount {
    told: u64,
    /// Since when there has been a link.
    linked: Option<Time>,
    sure: bool,
    acted: u64,
    lower_since: Option<Time>,
}

impl InstanceCount {
    /// `told`: the number in the file; `peers`: whether there are any to begin with.
    pub fn new(told: u64, peers: bool) -> InstanceCount {
        let acted = if peers { NOTHING } else { told.max(1) };
        InstanceCount { told, linked: None, sure: false, acted, lower_since: None }
    }

    pub fn effective(&self) -> u64 {
        self.acted
    }

    /// The number in the file.
    pub fn configured(&self) -> u64 {
        self.told.max(1)
    }

    pub fn is_confirmed(&self) -> bool {
        self.sure
    }

    /// A first link is up.
    pub fn link_established(&mut self, now: Time) {
        self.linked.get_or_insert(now);
    }

    /// Looks at what is known. `alike`: a peer holds the same records, and all peers to begin with have been heard of. `among_sure`: whether a peer is sure, or knows one
    /// that is; none: no peer has said, and some may yet. Returns the number if it has changed.
    pub fn update(
        &mut self, now: Time, members: &MemberTable, alike: bool, among_sure: Option<bool>,
    ) -> Option<u64> {
        let counted = count(members);
        let admitted = self.linked.is_some_and(|at| now - at >= ADMITTED_AFTER);
        self.sure |= admitted && alike;
        let wanted = match (self.sure, among_sure) {
            (true, _) => counted,
            (false, Some(false)) => counted.max(self.told),
            (false, _) => NOTHING,
        };
        let before = self.acted;
        // Becoming sure is a step of its own: all others have counted this one in by now.
        let wait = if before == NOTHING || !self.sure { Time(0) } else { LOWER_AFTER };
        let lower = wanted < self.acted;
        if !lower || now - *self.lower_since.get_or_insert(now) >= wait {
            (self.acted, self.lower_since) = (wanted, None);
        }
        (self.acted != before).then_some(self.acted)
    }
}

/// All that may send: runs that live, and for each name of which none does, one if any did not say goodbye.
fn count(members: &MemberTable) -> u64 {
    let mut names: BTreeMap<InstanceId, (u64, bool)> = BTreeMap::new();
    for (id, member) in members.iter().filter(|(_, m)| !m.state.left) {
        let (living, any) = names.entry(id.instance).or_default();
        *living += u64::from(member.state.is_alive());
        *any = true;
    }
    names.values().map(|(living, any)| (*living).max(u64::from(*any))).sum::<u64>().max(1)
}
