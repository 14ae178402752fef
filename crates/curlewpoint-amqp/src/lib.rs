//! AMQP 0-9-1 according to its public specification: a frame codec with limits, the assembly of content frames, and a client
//! session without I/O. The frame types are those of the `amq-protocol` library.

mod codec;
mod content;
mod session;

pub use codec::{Codec, FrameError, MIN_FRAME_SIZE};
pub use content::{Content, ContentAssembler, ContentError};
pub use session::{Login, Session, SessionDriver};
