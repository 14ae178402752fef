//! The native protocol: what clients, schedulers, workers, the store and the list service say to each other.
//!
//! A [`Frame`] is a [`Kind`], a row of [`Field`]s and a body. There is no struct for each message: what reads a
//! frame asks for the fields that it needs, and passes over kinds and fields that it does not know.
//!
//! ```
//! use curlewpoint_wire::{Field, Frame, Kind};
//! let frame = Frame::new(Kind::RPC).int(Field::TAG, 7).text(Field::METHOD, "read-fields").body(&b"scan"[..]);
//! assert_eq!(frame.get_int(Field::TAG).unwrap(), 7);
//! assert_eq!(frame.get_text(Field::MODEL).unwrap_or("none"), "none");
//! ```

mod codec;
mod frame;

pub use codec::{Codec, PREFIX_BYTES};
pub use frame::{Field, Frame, Kind, WireError};

/// What this package speaks; a hello with another major version is refused.
pub const VERSION: u64 = 1;
