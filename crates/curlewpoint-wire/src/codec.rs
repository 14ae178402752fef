use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::frame::{Frame, Kind, WireError};

/// Size of the prefix of every frame: length, kind and header length.
pub const PREFIX_BYTES: usize = 8;
/// Longest header accepted or sent. No message of the protocol has a longer one.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Encodes frames on a byte stream as `length: u32, kind: u16, header length: u16, header, body`, big-endian. The
/// length counts everything after the length field itself.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Longest frame accepted or sent, as counted by the length field.
    pub max_frame_bytes: usize,
}

impl Codec {
    /// Appends everything of a frame that comes before its body: the prefix and the header.
    pub fn encode_header(frame: &Frame, dst: &mut BytesMut) {
        let header = frame.header();
        dst.reserve(PREFIX_BYTES + header.len());
        dst.put_u32((4 + header.len() + frame.body.len()) as u32);
        dst.put_u16(frame.kind.0);
        dst.put_u16(header.len() as u16);
        dst.put_slice(header);
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        if src.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let length = u32::from_be_bytes([src[0], src[1], src[2], src[3]]) as usize;
        let header_len = u16::from_be_bytes([src[6], src[7]]) as usize;
        if length > self.max_frame_bytes {
            return Err(WireError::FrameTooLong(length, self.max_frame_bytes));
        }
        if length < 4 + header_len || header_len > MAX_HEADER_BYTES {
            return Err(WireError::InvalidHeaderLength(header_len, length));
        }
        if src.len() < 4 + length {
            // Bounded, so that a peer cannot cause the allocation of a whole frame by sending its length alone.
            src.reserve((4 + length - src.len()).min(1 << 20));
            return Ok(None);
        }
        let kind = Kind(u16::from_be_bytes([src[4], src[5]]));
        let mut rest: Bytes = src.split_to(4 + length).freeze();
        rest.advance(PREFIX_BYTES);
        let header = rest.split_to(header_len);
        Frame::read(kind, &header, rest).map(Some)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        match self.decode(src)? {
            None if !src.is_empty() => Err(WireError::UnexpectedEof),
            frame => Ok(frame),
        }
    }
}

impl Encoder<Frame> for Codec {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), WireError> {
        let length = 4 + frame.header().len() + frame.body.len();
        if length > self.max_frame_bytes || frame.header().len() > MAX_HEADER_BYTES {
            return Err(WireError::FrameTooLong(length, self.max_frame_bytes));
        }
        Codec::encode_header(&frame, dst);
        dst.put_slice(&frame.body);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Field;
    use proptest::prelude::*;

    const CODEC: Codec = Codec { max_frame_bytes: 1 << 20 };

    fn frame(tag: u64, name: &str, report: &[f64], body: Vec<u8>) -> Frame {
        let frame = Frame::new(Kind::ANSWER).int(Field::TAG, tag).text(Field::MODEL, name);
        frame.floats(Field::REPORT, report).int(Field(9_999), 1).body(body)
    }

    proptest! {
        #[test]
        fn encoded_frames_decode_to_the_same_value_for_any_chunk_size(
            tag: u64, name in ".{0,40}", report in proptest::collection::vec(-1e9..1e9f64, 0..6),
            body in proptest::collection::vec(any::<u8>(), 0..300), chunk_size in 1usize..64,
        ) {
            let sent = frame(tag, &name, &report, body);
            let mut bytes = BytesMut::new();
            CODEC.clone().encode(sent.clone(), &mut bytes).unwrap();
            let mut src = BytesMut::new();
            let mut decoded = None;
            for chunk in bytes.chunks(chunk_size) {
                prop_assert!(decoded.is_none());
                src.extend_from_slice(chunk);
                decoded = CODEC.clone().decode(&mut src).unwrap();
            }
            let decoded = decoded.unwrap();
            prop_assert_eq!(decoded.get_int(Field::TAG).unwrap(), tag);
            prop_assert_eq!(decoded.get_text(Field::MODEL).unwrap(), name);
            prop_assert_eq!(decoded.get_floats(Field::REPORT).unwrap(), report);
            prop_assert_eq!(decoded, sent);
        }

        #[test]
        fn random_bytes_never_panic(noise in proptest::collection::vec(any::<u8>(), 0..200)) {
            let mut src = BytesMut::from(&noise[..]);
            while let Ok(Some(frame)) = CODEC.clone().decode(&mut src) {
                let _ = (frame.get_int(Field::TAG), frame.get_text(Field::MODEL), frame.get_floats(Field(13)));
            }
        }

        #[test]
        fn a_corrupted_byte_never_panics(at in 8usize..60, value: u8) {
            let mut bytes = BytesMut::new();
            CODEC.clone().encode(frame(5, "a", &[1.0, 2.0], vec![7; 20]), &mut bytes).unwrap();
            let at = at.min(bytes.len() - 1);
            bytes[at] = value;
            if let Ok(Some(frame)) = CODEC.clone().decode(&mut bytes) {
                let _ = (frame.get_int(Field::TAG), frame.get_text(Field::MODEL), frame.get_floats(Field::REPORT));
            }
        }
    }

    #[test]
    fn a_frame_over_the_limit_is_rejected_before_its_body_is_buffered() {
        let mut src = BytesMut::new();
        src.put_u32(u32::MAX);
        src.put_u32(0);
        assert_eq!(CODEC.clone().decode(&mut src), Err(WireError::FrameTooLong(u32::MAX as usize, 1 << 20)));
        assert!(src.capacity() < 1024);
    }

    #[test]
    fn end_of_stream_inside_a_frame_is_an_error() {
        let mut src = BytesMut::new();
        CODEC.clone().encode(frame(5, "a", &[], vec![7; 20]), &mut src).unwrap();
        src.truncate(src.len() - 1);
        assert_eq!(CODEC.clone().decode_eof(&mut src), Err(WireError::UnexpectedEof));
    }
}
