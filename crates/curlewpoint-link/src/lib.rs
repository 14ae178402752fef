//! Connections that speak the native protocol: a handshake of hellos, a bounded outbox, and exact knowledge of which
//! frames the kernel has taken a byte of.
//!
//! An attempt may have run once a single byte of it was handed to the kernel. Each frame for which that matters has a
//! [`Ticket`]: its sender can withdraw the frame until the writer has begun it, and never after.

mod cancels;
mod clock;
mod event_queue;
mod link;
mod metrics;
mod outbox;
mod read_ahead;
mod socket;
mod stream;

pub use cancels::OvertakingCancels;
pub use clock::Clock;
pub use event_queue::EventQueue;
pub use link::{handshake, listen, listen_with_retry, spawn_writer, Link, LinkError, LinkLimits, Reader};
pub use metrics::{Counter, Metrics, METRICS};
pub use outbox::{Outbox, OutboxMessage, SendError, Ticket, SLOW_FRAME_MS};
pub use read_ahead::{next_if_ready, now_or_never, ClosingReadLimit, ReadAhead};
pub use socket::{dial, is_local_error, is_transient_accept_error, linger, LINGER_LIMITS};
pub use stream::{is_ended_by_peer, split, ReadHalf, WriteHalf};
