use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::frame::{Frame, Kind, WireError};

/// Length, kind and head length, before each frame's fields.
pub const PREFIX_BYTES: usize = 8;
/// More fields than this are no row that anyone sends.
const MOST_HEAD: usize = 16 * 1024;

/// Frames on a byte stream: `length: u32, kind: u16, head length: u16, head, body`, big-endian; the length
/// counts all that follows it.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// The longest frame taken, in bytes.
    pub max_frame_bytes: usize,
}

impl Codec {
    /// A frame's bytes before its body.
    pub fn encode_header(frame: &Frame, dst: &mut BytesMut) {
        let head = frame.header();
        dst.reserve(PREFIX_BYTES + head.len());
        dst.put_u32((4 + head.len() + frame.body.len()) as u32);
        dst.put_u16(frame.kind.0);
        dst.put_u16(head.len() as u16);
        dst.put_slice(head);
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
        let head = u16::from_be_bytes([src[6], src[7]]) as usize;
        if length > self.max_frame_bytes {
            return Err(WireError::TooLong(length, self.max_frame_bytes));
        }
        if length < 4 + head || head > MOST_HEAD {
            return Err(WireError::InvalidHeaderLength(head, length));
        }
        if src.len() < 4 + length {
            // Only as much as the peer has begun to send: a length alone reserves no more than this.
            src.reserve((4 + length - src.len()).min(1 << 20));
            return Ok(None);
        }
        let kind = Kind(u16::from_be_bytes([src[4], src[5]]));
        let mut whole: Bytes = src.split_to(4 + length).freeze();
        whole.advance(PREFIX_BYTES);
        let fields = whole.split_to(head);
        Frame::read(kind, &fields, whole).map(Some)
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
        if length > self.max_frame_bytes || frame.header().len() > MOST_HEAD {
            return Err(WireError::TooLong(length, self.max_frame_bytes));
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
        fn what_is_encoded_is_read_again_however_it_is_cut(
            tag: u64, name in ".{0,40}", report in proptest::collection::vec(-1e9..1e9f64, 0..6),
            body in proptest::collection::vec(any::<u8>(), 0..300), cut in 1usize..64,
        ) {
            let sent = frame(tag, &name, &report, body);
            let mut bytes = BytesMut::new();
            CODEC.clone().encode(sent.clone(), &mut bytes).unwrap();
            let mut src = BytesMut::new();
            let mut got = None;
            for part in bytes.chunks(cut) {
                prop_assert!(got.is_none());
                src.extend_from_slice(part);
                got = CODEC.clone().decode(&mut src).unwrap();
            }
            let got = got.unwrap();
            prop_assert_eq!(got.get_int(Field::TAG).unwrap(), tag);
            prop_assert_eq!(got.get_text(Field::MODEL).unwrap(), name);
            prop_assert_eq!(got.get_floats(Field::REPORT).unwrap(), report);
            prop_assert_eq!(got, sent);
        }

        #[test]
        fn no_bytes_make_the_reader_panic(noise in proptest::collection::vec(any::<u8>(), 0..200)) {
            let mut src = BytesMut::from(&noise[..]);
            while let Ok(Some(frame)) = CODEC.clone().decode(&mut src) {
                let _ = (frame.get_int(Field::TAG), frame.get_text(Field::MODEL), frame.get_floats(Field(13)));
            }
        }

        #[test]
        fn damaged_fields_are_an_error_and_never_a_panic(at in 8usize..60, with: u8) {
            let mut bytes = BytesMut::new();
            CODEC.clone().encode(frame(5, "a", &[1.0, 2.0], vec![7; 20]), &mut bytes).unwrap();
            let at = at.min(bytes.len() - 1);
            bytes[at] = with;
            if let Ok(Some(f)) = CODEC.clone().decode(&mut bytes) {
                let _ = (f.get_int(Field::TAG), f.get_text(Field::MODEL), f.get_floats(Field::REPORT));
            }
        }
    }

    #[test]
    fn a_frame_over_the_limit_is_refused_before_its_body_is_held() {
        let mut src = BytesMut::new();
        src.put_u32(u32::MAX);
        src.put_u32(0);
        assert_eq!(CODEC.clone().decode(&mut src), Err(WireError::TooLong(u32::MAX as usize, 1 << 20)));
        assert!(src.capacity() < 1024);
    }

    #[test]
    fn an_end_in_the_middle_of_a_frame_is_said() {
        let mut src = BytesMut::new();
        CODEC.clone().encode(frame(5, "a", &[], vec![7; 20]), &mut src).unwrap();
        src.truncate(src.len() - 1);
        assert_eq!(CODEC.clone().decode_eof(&mut src), Err(WireError::UnexpectedEof));
    }
}
