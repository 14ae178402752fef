//! What the endpoint list has said of each worker's lifecycle, to be logged when it changes.

use std::collections::BTreeMap;

use curlewpoint::types::{Lifecycle, WorkerId};

/// A change of one worker's lifecycle state, as a list told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    pub worker: WorkerId,
    pub from: Option<Lifecycle>,
    pub to: Lifecycle,
}

/// The lifecycle state last told of each worker.
#[derive(Default)]
pub struct Lifecycles(BTreeMap<WorkerId, Lifecycle>);

/// Transitions that are logged one by one; those beyond are counted, so that a list of thousands is not thousands of lines.
const MOST_LINES: usize = 16;

impl Lifecycles {
    /// Notes what a list says of a worker, and tells whether that is a change.
    pub fn told(&mut self, worker: WorkerId, to: Lifecycle) -> Option<Transition> {
        let from = self.0.insert(worker, to);
        (from != Some(to)).then_some(Transition { worker, from, to })
    }

    pub fn forget(&mut self, worker: WorkerId) {
        self.0.remove(&worker);
    }
}

/// One line for a list that changed something: each transition by name, or how many there are of each kind.
pub fn describe<'a>(
    version: u64, changes: &[Transition], name: impl Fn(WorkerId) -> &'a str,
) -> Option<String> {
    if changes.is_empty() {
        return None;
    }
    if changes.len() > MOST_LINES {
        let count = |to| changes.iter().filter(|c| c.to == to).count();
        let (ready, draining, gone) =
            (count(Lifecycle::Ready), count(Lifecycle::Draining), count(Lifecycle::Gone));
        return Some(format!("list {version}: {ready} ready, {draining} draining, {gone} gone"));
    }
    let one = |c: &Transition| match c.from {
        Some(from) => format!("{} {from:?} -> {:?}", name(c.worker), c.to),
        None => format!("{} {:?}", name(c.worker), c.to),
    };
    let all: Vec<String> = changes.iter().map(one).collect();
    Some(format!("list {version}: {}", all.join(", ")))
}
