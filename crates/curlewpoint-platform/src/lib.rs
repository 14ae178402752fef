//! The platform protocol, without I/O: client commands and replies ([`resp`], [`commands`]), messages exchanged with
//! workers ([`json_lines`]), discovery responses ([`dns`]) the startup configuration of a scheduler ([`startup`]), and
//! when a change of the endpoint list counts as known ([`notification`]).
//! This crate encodes, decodes and validates; it makes no scheduling decisions.

pub mod commands;
pub mod dns;
pub mod json_lines;
pub mod notification;
pub mod resp;
pub mod startup;

use curlewpoint::types::Lifecycle;

/// Receives an endpoint list while it is parsed: `begin_list`, one `endpoint` per worker, `end_list`. A list that is
/// not concluded by `end_list` must be discarded.
pub trait EndpointListVisitor {
    /// Starts a list of this version: a complete list, or with `since` only the changes since that version.
    fn begin_list(&mut self, version: u64, since: Option<u64>);
    /// Adds a worker. `started` is the Unix time of its start in milliseconds, or 0 if unknown.
    fn endpoint(
        &mut self, name: &str, address: &str, lifecycle: Lifecycle, started: u64, zone: &str, cell: &str,
        size: f64,
    );
    /// Concludes the list.
    fn end_list(&mut self);
}
