use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_wire::Frame;

use crate::book::EndpointEntry;
use crate::hints::Observation;
use crate::members::{Member, MemberId};

/// A connection to a peer, opened from here or by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What a fleet acts through.
pub trait FleetDriver {
    /// Opens a link; `link_up` or `link_down` follows within the dial time-out.
    fn dial(&mut self, link: LinkId, address: &str);
    fn close(&mut self, link: LinkId);
    /// Says why, and closes.
    fn refuse(&mut self, link: LinkId, why: &str);
    /// First on every link: who speaks, and how many members it knows.
    fn send_join(&mut self, link: LinkId, fleet: &str, me: MemberId, member: &Member, known: u64);
    fn send_member(&mut self, link: LinkId, id: MemberId, member: &Member);
    /// `tags`: this beat's own, and the last that came on this link; `age`: how long ago the list held was known
    /// to be the newest.
    fn send_heartbeat(
        &mut self, link: LinkId, tags: (u64, u64), digest: u64, held: Option<(u64, u64)>, age: Option<Time>,
        sure: bool, answer: bool,
    );
    /// Asks a peer for the list.
    fn request_list(&mut self, link: LinkId, held: Option<(u64, u64)>);
    /// Tells a peer of the list.
    fn send_list_begin(&mut self, link: LinkId, version: (u64, u64), from: Option<u64>);
    fn send_list_entry(&mut self, link: LinkId, name: &str, entry: &EndpointEntry);
    /// Many rows in one frame, to a peer that reads such; they fit.
    fn send_list_entries(&mut self, link: LinkId, rows: &[(&str, &EndpointEntry)]);
    fn send_list_end(&mut self, link: LinkId);
    /// Whether this instance is to be connected to the list service; off and on again: by another connection.
    fn set_watching(&mut self, on: bool);
    fn request_service_list(&mut self, held: Option<(u64, u64)>);
    /// A newer list for the scheduler.
    fn deliver_list_begin(&mut self, version: (u64, u64), from: Option<u64>);
    fn deliver_list_entry(&mut self, name: &str, entry: &EndpointEntry);
    fn deliver_list_end(&mut self);
    /// Tells a peer what some instances have seen of functions at workers, some hundreds of rows at most.
    fn send_hints(&mut self, link: LinkId, seen: &[Observation]);
    /// Sends a frame of the directory of copies, or of hints that go round the rings with what it leaves of its bytes. One that
    /// takes part in none need not do so.
    fn send_directory_frame(&mut self, _link: LinkId, _frame: Frame) {}
    /// For the scheduler: another one has seen this.
    fn deliver_hint(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, held: u64, age: Time);
    /// So many instances are to be reckoned with from here on.
    fn set_instance_count(&mut self, number: u64);
    fn log(&mut self, line: &str);
}

/// What a fleet may take.
#[derive(Clone, Copy, Debug)]
pub struct FleetLimits {
    /// Instances that live at a time.
    pub max_instances: usize,
    /// Links opened by peers.
    pub max_inbound_links: usize,
    /// Instances that watch the list.
    pub watchers: usize,
    /// How long before its client's time is up the scheduler answers what it gives up on.
    pub answer_slack: Time,
    /// How long what an instance has seen of a function at a worker counts for anything.
    pub hint_lifetime: Time,
    /// Whether this instance tells what it sees and takes what others saw; it hands that on all the same, as it stands on
    /// the rings like any other.
    pub exchange_hints: bool,
}
