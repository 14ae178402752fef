//! Connections that speak the native protocol: a hello each way, a bounded outbox, and exact word of what was begun.
//!
//! Whether an attempt may have run hangs on whether one byte of it was handed to the kernel. A [`Ticket`] goes with
//! each frame for which that matters: whoever waits may take it back until the writer has begun it, and never after.

mod ahead;
mod clock;
mod ending;
mod link;
mod metrics;
mod outbox;
mod stream;
mod turn;

pub use ahead::{next_if_ready, now_or_never, ReadAhead};
pub use clock::Clock;
pub use ending::{dial, is_local_error, is_transient_accept_error, linger, LINGER_LIMITS};
pub use link::{handshake, listen, listen_with_retry, spawn_writer, Link, LinkError, LinkLimits, Reader};
pub use metrics::{Counter, Metrics, METRICS};
pub use outbox::{Outbox, OutboxMessage, SendError, Ticket, SLOW_FRAME_MS};
pub use stream::{split, ReadHalf, WriteHalf};
pub use turn::EventQueue;
