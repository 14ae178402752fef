//! The lifecycle state that the endpoint list last reported for each worker; changes are logged.

use std::collections::BTreeMap;

use curlewpoint::types::{Lifecycle, WorkerId};

/// A change of one worker's lifecycle state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    pub worker: WorkerId,
    pub from: Option<Lifecycle>,
    pub to: Lifecycle,
}

/// The last reported lifecycle state of each worker.
#[derive(Default)]
pub struct LifecycleTracker(BTreeMap<WorkerId, Lifecycle>);

/// Up to this many transitions of one list are logged by name. More are logged as counts only, so that a list with
/// thousands of changes stays one short line.
const MAX_NAMED_TRANSITIONS: usize = 16;

impl LifecycleTracker {
    /// Records a worker's reported state and returns the transition, if it changed.
    pub fn record(&mut self, worker: WorkerId, to: Lifecycle) -> Option<Transition> {
        let from = self.0.insert(worker, to);
        (from != Some(to)).then_some(Transition { worker, from, to })
    }

    pub fn forget(&mut self, worker: WorkerId) {
        self.0.remove(&worker);
    }
}

/// One log line for the transitions that a list caused, by worker name or, if there are many, as counts by state.
pub fn describe_transitions<'a>(
    version: u64, transitions: &[Transition], name: impl Fn(WorkerId) -> &'a str,
) -> Option<String> {
    if transitions.is_empty() {
        return None;
    }
    if transitions.len() > MAX_NAMED_TRANSITIONS {
        let count = |to| transitions.iter().filter(|t| t.to == to).count();
        let (ready, draining, gone) =
            (count(Lifecycle::Ready), count(Lifecycle::Draining), count(Lifecycle::Gone));
        return Some(format!("list {version}: {ready} ready, {draining} draining, {gone} gone"));
    }
    let describe_one = |t: &Transition| match t.from {
        Some(from) => format!("{} {from:?} -> {:?}", name(t.worker), t.to),
        None => format!("{} {:?}", name(t.worker), t.to),
    };
    let lines: Vec<String> = transitions.iter().map(describe_one).collect();
    Some(format!("list {version}: {}", lines.join(", ")))
}
