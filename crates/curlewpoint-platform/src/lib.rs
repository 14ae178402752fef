//! The platform's protocol, without I/O: what clients say ([`resp`], [`asked`]), what workers say ([`lines`]), what the
//! directory says ([`dns`]) and what a scheduler is told at its start ([`told`]). Fields are read where they are wanted;
//! nothing here decides anything.

pub mod asked;
pub mod dns;
pub mod lines;
pub mod resp;
pub mod told;

use curlewpoint::types::Lifecycle;

/// Takes a list of workers as it is read: a beginning, its rows, its end. A list without an end counts for nothing.
pub trait Roll {
    /// A list of this version begins: a whole one, or the changes since the version before.
    fn begins(&mut self, version: u64, since: Option<u64>);
    /// One worker; `started` is the Unix millisecond of a late start, or nought.
    fn worker(
        &mut self, name: &str, address: &str, standing: Lifecycle, started: u64, zone: &str, cell: &str,
        size: f64,
    );
    fn ends(&mut self);
}
