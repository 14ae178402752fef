//! What many instances of the program know of each other, as state machines without I/O: the clock, chance and all that
//! happens are handed in, and a [`Fleet`] acts through an [`Outside`].
//!
//! - [`Table`]: which runs of which instances live. Each record has one merge, the same whatever the order, the grouping
//!   and the repeats.
//! - [`observed`]: who looks after whom, on a few rings that every instance reckons alike.
//! - [`Number`]: how many instances to act on while nobody knows for sure.
//! - [`Hints`]: what any instance has seen of functions at workers; bounded, never waited for, soon forgotten.
//! - [`Directory`]: the same held by few for each function and asked for, within a budget of bytes a second.
//! - [`Book`]: the newest list of workers, as it goes from peer to peer.
//! - [`frames`]: what peers say to each other, as bytes.
//!
//! What a peer says is never above one's own evidence, and an instance without peers does what it did before there were
//! any. `docs/fleet.md` says of each state who may be wrong about it and what is safe meanwhile.

mod book;
mod directory;
mod fleet;
pub mod frames;
mod hints;
mod members;
mod number;
mod outside;
mod rings;

pub use book::{EndpointEntry, EndpointTable, ListOutcome, ListSource};
pub use directory::{frames as directory_frames, CopyDirectory, DirectoryCounts, DirectorySettings};
pub use fleet::Fleet;
pub use hints::{HintTable, Observation};
pub use members::{InstanceId, Member, MemberId, MemberState, MemberTable, RecordError, Run};
pub use number::InstanceCount;
pub use outside::{FleetDriver, FleetLimits, LinkId};
pub use rings::{monitored_member, order_key, RING_COUNT, WATCHER_SALT};
