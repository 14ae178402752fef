use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_wire::Frame;

use crate::endpoint_table::EndpointEntry;
use crate::hints::Observation;
use crate::members::{Member, MemberId};

/// A connection to a peer, opened from here or by the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What a [`Fleet`] acts through. The host implements it with sockets, a simulation with queues.
pub trait FleetDriver {
    /// Opens a link; `link_up` or `link_down` follows within the dial time-out.
    fn dial(&mut self, link: LinkId, address: &str);
    fn close(&mut self, link: LinkId);
    /// Sends the reason, and closes the link.
    fn refuse(&mut self, link: LinkId, reason: &str);
    /// The first frame on every link: the sender's identity, and how many members it knows.
    fn send_join(&mut self, link: LinkId, fleet: &str, me: MemberId, member: &Member, known: u64);
    fn send_member(&mut self, link: LinkId, id: MemberId, member: &Member);
    /// Sends a heartbeat. `tags`: the tag of this heartbeat, and the last one received on this link; `age`:
    /// time since the list held was last known to be the newest; `confirmed`: whether the instance count is
    /// confirmed here or at a peer; `answer`: whether the peer is to answer at once.
    fn send_heartbeat(
        &mut self, link: LinkId, tags: (u64, u64), digest: u64, held: Option<(u64, u64)>, age: Option<Time>,
        confirmed: bool, answer: bool,
    );
    /// Asks a peer for the list.
    fn request_list(&mut self, link: LinkId, held: Option<(u64, u64)>);
    /// Begins to send a peer the list; `from`: the version that it changes, or `None` for a whole list.
    fn send_list_begin(&mut self, link: LinkId, version: (u64, u64), from: Option<u64>);
    fn send_list_entry(&mut self, link: LinkId, name: &str, entry: &EndpointEntry);
    /// Several entries in one frame, to a peer that accepts this; they fit into it.
    fn send_list_entries(&mut self, link: LinkId, rows: &[(&str, &EndpointEntry)]);
    fn send_list_end(&mut self, link: LinkId);
    /// Whether this instance is to be connected to the list service. Off and on again means over a new
    /// connection.
    fn set_watching(&mut self, on: bool);
    fn request_service_list(&mut self, held: Option<(u64, u64)>);
    /// Begins to pass a newer list to the scheduler.
    fn deliver_list_begin(&mut self, version: (u64, u64), from: Option<u64>);
    fn deliver_list_entry(&mut self, name: &str, entry: &EndpointEntry);
    fn deliver_list_end(&mut self);
    /// Sends a peer observations of functions at workers, some hundreds of rows at most.
    fn send_hints(&mut self, link: LinkId, rows: &[Observation]);
    /// Sends a frame of the copy directory, or hints that are gossiped within its byte budget. An instance
    /// without a directory need not implement it.
    fn send_directory_frame(&mut self, _link: LinkId, _frame: Frame) {}
    /// Passes an observation of another instance to the scheduler.
    fn deliver_hint(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, rpcs_held: u64, age: Time);
    /// Sets the number of instances that share the load of cold workers.
    fn set_instance_count(&mut self, number: u64);
    fn log(&mut self, line: &str);
}

/// Limits and settings of a [`Fleet`].
#[derive(Clone, Copy, Debug)]
pub struct FleetLimits {
    /// Maximum number of instances alive at a time.
    pub max_instances: usize,
    /// Maximum number of links opened by peers.
    pub max_inbound_links: usize,
    /// Number of instances that watch the list.
    pub watchers: usize,
    /// How long before the client's deadline the scheduler answers an RPC that it gives up.
    pub answer_slack: Time,
    /// How long an observation of a function at a worker remains valid.
    pub hint_lifetime: Time,
    /// Whether this instance sends its own observations and uses those of others. It passes hints on in any
    /// case, as it is part of the rings.
    pub exchange_hints: bool,
}
