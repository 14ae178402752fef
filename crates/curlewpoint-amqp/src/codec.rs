use std::io::Cursor;

use amq_protocol::frame::{gen_frame, parse_frame, AMQPFrame, ProtocolVersion};
use bytes::{Buf, BytesMut};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};

/// No peer may negotiate less.
pub const MIN_FRAME_SIZE: u32 = 4096;
/// The bytes around a payload: type, channel and size before it, the end after it.
const AROUND: usize = 8;
const END: u8 = 0xCE;
/// The longest payload of a method or a header: their tables are built whole.
const MOST_HEAD: usize = 64 << 10;
/// Tables within tables beyond this are refused before they are parsed.
const DEEPEST: usize = 16;

/// Why a connection cannot go on. All but `Io` are the peer's fault; a connection that has one is closed.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("the peer speaks another version: {0:?}")]
    Version([u8; 8]),
    #[error("frame of type {0}")]
    Kind(u8),
    #[error("frame on channel {0}, {1} is the last one")]
    Channel(u16, u16),
    #[error("frame of {0} bytes, {1} were agreed on")]
    TooLong(usize, u32),
    #[error("a method or header of {0} bytes")]
    HeadTooLong(usize),
    #[error("tables nested deeper than {DEEPEST}")]
    TooDeep,
    #[error("a frame that does not end where it should")]
    NoEnd,
    #[error("a frame that cannot be read")]
    Malformed,
    #[error("a frame that cannot be written: {0}")]
    Unwritable(String),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Frames of a connection, within what was agreed on.
///
/// Guards against a peer that names sizes it does not send, sizes beyond what was agreed on, channels that there cannot be, and
/// tables nested so deep that reading them would exhaust the stack. It harms where a peer's method or header is honestly
/// longer than 64 KiB.
#[derive(Debug)]
pub struct Codec {
    frame_max: u32,
    channel_max: u16,
    room: Vec<u8>,
}

impl Default for Codec {
    /// As it is until the peers have agreed.
    fn default() -> Self {
        Codec { frame_max: MIN_FRAME_SIZE, channel_max: 0, room: Vec::new() }
    }
}

impl Codec {
    /// What was agreed on; nought stands for no limit in the protocol, and for ours here.
    pub fn set_limits(&mut self, frame_max: u32, channel_max: u16) {
        self.frame_max = if frame_max == 0 { 1 << 20 } else { frame_max.max(MIN_FRAME_SIZE) };
        self.channel_max = if channel_max == 0 { u16::MAX } else { channel_max };
    }

    /// The longest body that one frame takes.
    pub fn max_body(&self) -> usize {
        self.frame_max as usize - AROUND
    }
}

/// Whether tables or arrays may be nested beyond the bound. Each opens with its type and its length; whatever else looks
/// the same is counted with them, so that none is missed.
fn too_deep(payload: &[u8]) -> bool {
    let mut open: Vec<usize> = Vec::new();
    for (at, window) in payload.windows(5).enumerate() {
        open.retain(|end| *end > at);
        let length = u32::from_be_bytes([window[1], window[2], window[3], window[4]]) as usize;
        if matches!(window[0], b'F' | b'A') && length <= payload.len() - at - 5 {
            open.push(at + 5 + length);
            if open.len() > DEEPEST {
                return true;
            }
        }
    }
    false
}

impl Decoder for Codec {
    type Item = AMQPFrame;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<AMQPFrame>, FrameError> {
        let Some(&kind) = src.first() else { return Ok(None) };
        if kind == b'A' {
            let Some(head) = src.first_chunk::<8>().copied() else { return Ok(None) };
            if &head != b"AMQP\x00\x00\x09\x01" {
                return Err(FrameError::Version(head));
            }
            src.advance(8);
            return Ok(Some(AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1())));
        }
        if !matches!(kind, 1 | 2 | 3 | 8) {
            return Err(FrameError::Kind(kind));
        }
        let Some(&[_, c0, c1, s0, s1, s2, s3]) = src.first_chunk::<7>() else { return Ok(None) };
        let channel = u16::from_be_bytes([c0, c1]);
        if channel > self.channel_max {
            return Err(FrameError::Channel(channel, self.channel_max));
        }
        let size = u32::from_be_bytes([s0, s1, s2, s3]) as usize;
        let whole = size.saturating_add(AROUND);
        if whole > self.frame_max as usize {
            return Err(FrameError::TooLong(whole, self.frame_max));
        }
        if kind != 3 && size > MOST_HEAD {
            return Err(FrameError::HeadTooLong(size));
        }
        if src.len() < whole {
            src.reserve(whole - src.len());
            return Ok(None);
        }
        if src[whole - 1] != END {
            return Err(FrameError::NoEnd);
        }
        if kind != 3 && too_deep(&src[7..whole - 1]) {
            return Err(FrameError::TooDeep);
        }
        let frame = match parse_frame(&src[..whole]) {
            Ok(([], frame)) => frame,
            _ => return Err(FrameError::Malformed),
        };
        src.advance(whole);
        Ok(Some(frame))
    }
}

impl Encoder<AMQPFrame> for Codec {
    type Error = FrameError;

    fn encode(&mut self, frame: AMQPFrame, dst: &mut BytesMut) -> Result<(), FrameError> {
        // The library writes into room that is there: what does not fit is longer than was agreed on.
        self.room.resize(self.frame_max as usize, 0);
        let out = Cursor::new(&mut self.room[..]);
        let written = gen_frame(&frame)(out.into()).map_err(|e| FrameError::Unwritable(e.to_string()))?;
        let length = written.into_inner().1 as usize;
        dst.extend_from_slice(&self.room[..length]);
        Ok(())
    }
}
