//! Coordination of several gateway instances, as state machines without I/O: the clock, randomness and all
//! events are passed in, and a [`Fleet`] acts through a [`FleetDriver`].
//!
//! - [`MemberTable`]: which runs of which instances are alive. Records merge to the same result whatever the
//!   order, grouping and repetition.
//! - [`monitored_member`]: which member monitors which, on a few rings that every instance computes alike.
//! - [`InstanceCount`]: the number of instances among which the load on cold workers is divided while that
//!   number is not certain.
//! - [`HintTable`]: what any instance has observed of functions at workers; bounded, never waited for, and soon
//!   expired.
//! - [`CopyDirectory`]: the same, held by a few members for each function and queried, within a budget of bytes
//!   per second.
//! - [`EndpointTable`]: the newest list of workers, as it is passed from peer to peer.
//! - [`frames`]: the frames that peers exchange.
//!
//! A peer's report never overrides an instance's own evidence, and an instance without peers behaves as if
//! there were no fleet. `docs/fleet.md` describes for each state which instances may be wrong about it, and
//! what is safe meanwhile.

mod directory;
mod driver;
mod endpoint_table;
mod fleet;
pub mod frames;
mod hints;
mod instance_count;
mod members;
mod rings;

pub use directory::{frames as directory_frames, CopyDirectory, DirectoryCounts, DirectorySettings};
pub use driver::{FleetDriver, FleetLimits, LinkId};
pub use endpoint_table::{EndpointEntry, EndpointTable, ListOutcome, ListSource};
pub use fleet::Fleet;
pub use hints::{HintTable, Observation};
pub use instance_count::InstanceCount;
pub use members::{InstanceId, Member, MemberId, MemberState, MemberTable, RecordError, RunId};
pub use rings::{monitored_member, order_key, RING_COUNT, WATCHER_SALT};
