//! AMQP 0-9-1 from its public specification: a codec of frames with bounds, and contents put together from them. The frames'
//! own types are those of the `amq-protocol` library.

mod codec;
mod content;
mod session;

pub use codec::{Codec, FrameError, MIN_FRAME_SIZE};
pub use content::{Content, ContentAssembler, ContentError};
pub use session::{Login, Session, SessionDriver};
