//! The native protocol between clients, schedulers, workers, the model store and the list service.
//!
//! A [`Frame`] has a [`Kind`], a sequence of [`Field`]s and a body. There is no struct per message: a reader looks up
//! the fields that it needs and ignores kinds and fields that it does not know.
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

/// The protocol version of this package. A peer whose hello names another version is rejected.
pub const VERSION: u64 = 1;
