use std::io::Cursor;

use amq_protocol::frame::{gen_frame, parse_frame, AMQPFrame, ProtocolVersion};
use bytes::{Buf, BytesMut};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};

/// Lower limit of the negotiated frame size in bytes, from the specification.
pub const MIN_FRAME_SIZE: u32 = 4096;
/// Bytes of a frame besides its payload: type, channel and size before it, the end byte after it.
const FRAME_OVERHEAD: usize = 8;
const FRAME_END: u8 = 0xCE;
/// Maximum payload of a method or header frame in bytes, as their tables are built in memory as a whole.
const MAX_METHOD_OR_HEADER: usize = 64 << 10;
/// Maximum nesting depth of tables. Deeper ones are rejected before they are parsed.
const MAX_TABLE_DEPTH: usize = 16;

/// Reasons why a connection is closed. All but `Io` and `Unwritable` are protocol errors of the peer.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("the peer uses another version: {0:?}")]
    Version([u8; 8]),
    #[error("frame of type {0}")]
    Kind(u8),
    #[error("frame on channel {0}, the maximum is {1}")]
    Channel(u16, u16),
    #[error("frame of {0} bytes exceeds the negotiated {1} bytes")]
    TooLong(usize, u32),
    #[error("method or header frame of {0} bytes exceeds the maximum")]
    MethodOrHeaderTooLong(usize),
    #[error("tables nested deeper than {MAX_TABLE_DEPTH}")]
    TooDeep,
    #[error("frame without an end byte after its payload")]
    MissingEnd,
    #[error("malformed frame")]
    Malformed,
    #[error("frame cannot be written: {0}")]
    Unwritable(String),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Reads and writes the frames of a connection within the negotiated limits.
///
/// Protects against frame sizes and channels beyond the negotiated limits, sizes that are announced but not sent, and tables
/// nested so deeply that parsing them would exhaust the stack. The cost: a legitimate method or header frame longer than 64
/// KiB is rejected.
#[derive(Debug)]
pub struct Codec {
    frame_max: u32,
    channel_max: u16,
    write_buffer: Vec<u8>,
}

impl Default for Codec {
    /// The limits until the peers have negotiated others.
    fn default() -> Self {
        Codec { frame_max: MIN_FRAME_SIZE, channel_max: 0, write_buffer: Vec::new() }
    }
}

impl Codec {
    /// Sets the negotiated limits. Zero means no limit in the protocol; here it selects 1 MiB and 65535 channels.
    pub fn set_limits(&mut self, frame_max: u32, channel_max: u16) {
        self.frame_max = if frame_max == 0 { 1 << 20 } else { frame_max.max(MIN_FRAME_SIZE) };
        self.channel_max = if channel_max == 0 { u16::MAX } else { channel_max };
    }

    /// Maximum body of one frame in bytes.
    pub fn max_body(&self) -> usize {
        self.frame_max as usize - FRAME_OVERHEAD
    }
}

/// Whether tables or arrays may be nested deeper than `MAX_TABLE_DEPTH`. Each begins with its type and length; other bytes
/// that look like such a beginning are counted too, so that none is missed.
fn may_be_too_deep(payload: &[u8]) -> bool {
    let mut open_ends: Vec<usize> = Vec::new();
    for (at, window) in payload.windows(5).enumerate() {
        open_ends.retain(|end| *end > at);
        let length = u32::from_be_bytes([window[1], window[2], window[3], window[4]]) as usize;
        if matches!(window[0], b'F' | b'A') && length <= payload.len() - at - 5 {
            open_ends.push(at + 5 + length);
            if open_ends.len() > MAX_TABLE_DEPTH {
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
            let Some(header) = src.first_chunk::<8>().copied() else { return Ok(None) };
            if &header != b"AMQP\x00\x00\x09\x01" {
                return Err(FrameError::Version(header));
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
        let frame_len = size.saturating_add(FRAME_OVERHEAD);
        if frame_len > self.frame_max as usize {
            return Err(FrameError::TooLong(frame_len, self.frame_max));
        }
        if kind != 3 && size > MAX_METHOD_OR_HEADER {
            return Err(FrameError::MethodOrHeaderTooLong(size));
        }
        if src.len() < frame_len {
            src.reserve(frame_len - src.len());
            return Ok(None);
        }
        if src[frame_len - 1] != FRAME_END {
            return Err(FrameError::MissingEnd);
        }
        if kind != 3 && may_be_too_deep(&src[7..frame_len - 1]) {
            return Err(FrameError::TooDeep);
        }
        let frame = match parse_frame(&src[..frame_len]) {
            Ok(([], frame)) => frame,
            _ => return Err(FrameError::Malformed),
        };
        src.advance(frame_len);
        Ok(Some(frame))
    }
}

impl Encoder<AMQPFrame> for Codec {
    type Error = FrameError;

    fn encode(&mut self, frame: AMQPFrame, dst: &mut BytesMut) -> Result<(), FrameError> {
        // The library writes into a buffer of fixed size, so a frame beyond the negotiated size does not fit.
        self.write_buffer.resize(self.frame_max as usize, 0);
        let out = Cursor::new(&mut self.write_buffer[..]);
        let written = gen_frame(&frame)(out.into()).map_err(|e| FrameError::Unwritable(e.to_string()))?;
        let length = written.into_inner().1 as usize;
        dst.extend_from_slice(&self.write_buffer[..length]);
        Ok(())
    }
}
