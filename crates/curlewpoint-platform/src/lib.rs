//! The platform's protocol, without I/O: what clients say ([`resp`], [`commands`]), what workers say ([`json_lines`]), what the
//! directory says ([`dns`]) and what a scheduler is told at its start ([`startup`]). Fields are read where they are wanted;
//! nothing here decides anything.

pub mod commands;
pub mod dns;
pub mod json_lines;
pub mod resp;
pub mod startup;

use curlewpoint::types::Standing;

/// Takes a list of workers as it is read: a beginning, its rows, its end. A list without an end counts for nothing.
pub trait EndpointListVisitor {
    /// A list of this version begins: a whole one, or the changes since the version before.
    fn begin_list(&mut self, version: u64, since: Option<u64>);
    /// One worker; `started` is the Unix millisecond of a late start, or nought.
    fn endpoint(
        &mut self, name: &str, address: &str, standing: Standing, started: u64, zone: &str, cell: &str,
        size: f64,
    );
    fn end_list(&mut self);
}
