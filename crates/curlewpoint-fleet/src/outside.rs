use curlewpoint::types::{FunctionId, Hint, Time, WorkerId};
use curlewpoint_wire::Frame;

use crate::book::Entry;
use crate::hints::Seen;
use crate::members::{Member, MemberId};

/// A connection to a peer, opened from here or by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What a fleet acts through.
pub trait Outside {
    /// Opens a link; `link_up` or `link_down` follows within the dial time-out.
    fn dial(&mut self, link: LinkId, address: &str);
    fn close(&mut self, link: LinkId);
    /// Says why, and closes.
    fn refuse(&mut self, link: LinkId, why: &str);
    /// First on every link: who speaks, and how many members it knows.
    fn join(&mut self, link: LinkId, fleet: &str, me: MemberId, member: &Member, known: u64);
    fn member(&mut self, link: LinkId, id: MemberId, member: &Member);
    /// `tags`: this beat's own, and the last that came on this link; `age`: how long ago the list held was known
    /// to be the newest.
    fn beat(
        &mut self, link: LinkId, tags: (u64, u64), digest: u64, held: Option<(u64, u64)>, age: Option<Time>,
        sure: bool, answer: bool,
    );
    /// Asks a peer for the list.
    fn ask_list(&mut self, link: LinkId, held: Option<(u64, u64)>);
    /// Tells a peer of the list.
    fn list_begins(&mut self, link: LinkId, version: (u64, u64), from: Option<u64>);
    fn list_row(&mut self, link: LinkId, name: &str, entry: &Entry);
    /// Many rows in one frame, to a peer that reads such; they fit.
    fn list_rows(&mut self, link: LinkId, rows: &[(&str, &Entry)]);
    fn list_ends(&mut self, link: LinkId);
    /// Whether this instance is to be connected to the list service; off and on again: by another connection.
    fn watch(&mut self, on: bool);
    fn ask_service(&mut self, held: Option<(u64, u64)>);
    /// A newer list for the scheduler.
    fn take_begins(&mut self, version: (u64, u64), from: Option<u64>);
    fn take_row(&mut self, name: &str, entry: &Entry);
    fn take_ends(&mut self);
    /// Tells a peer what some instances have seen of functions at workers, some hundreds of rows at most.
    fn hints(&mut self, link: LinkId, seen: &[Seen]);
    /// Sends a frame of the directory of copies, or of hints that go round the rings with what it leaves of its bytes. One that
    /// takes part in none need not do so.
    fn directory(&mut self, _link: LinkId, _frame: Frame) {}
    /// For the scheduler: another one has seen this.
    fn take_hint(&mut self, worker: WorkerId, function: FunctionId, hint: Hint, held: u64, age: Time);
    /// So many instances are to be reckoned with from here on.
    fn instances(&mut self, number: u64);
    fn log(&mut self, line: &str);
}

/// What a fleet may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Instances that live at a time.
    pub instances: usize,
    /// Links opened by peers.
    pub links: usize,
    /// Instances that watch the list.
    pub watchers: usize,
    /// How long before its client's time is up the scheduler answers what it gives up on.
    pub slack: Time,
    /// How long what an instance has seen of a function at a worker counts for anything.
    pub hints: Time,
    /// Whether this instance tells what it sees and takes what others saw; it hands that on all the same, as it stands on
    /// the rings like any other.
    pub hinted: bool,
}
