//! Frames that are complete, cut at every byte, over the negotiated limits, and malformed; and the assembly of contents.

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::basic::{self, AMQPProperties};
use amq_protocol::protocol::{channel, connection, queue, tx, AMQPClass};
use amq_protocol::types::{AMQPValue, FieldTable, LongString, ShortString};
use bytes::{Buf, BytesMut};
use curlewpoint_amqp::{Codec, Content, ContentAssembler, ContentError, FrameError};
use proptest::prelude::*;
use test_case::test_case;
use tokio_util::codec::{Decoder, Encoder};

fn codec() -> Codec {
    let mut codec = Codec::default();
    codec.set_limits(8192, 100);
    codec
}

fn table(depth: usize) -> FieldTable {
    let mut table = FieldTable::default();
    table.insert("x-death".into(), AMQPValue::LongInt(3));
    table.insert("why".into(), AMQPValue::LongString(LongString::from("no such method")));
    if depth > 0 {
        table.insert("in".into(), AMQPValue::FieldTable(self::table(depth - 1)));
    }
    table
}

fn properties() -> AMQPProperties {
    AMQPProperties::default()
        .with_message_id("m-1".into())
        .with_reply_to("answers".into())
        .with_expiration("4000".into())
        .with_priority(3)
        .with_timestamp(1_793_491_200)
        .with_headers(table(2))
}

/// One frame of each type, including methods with tables.
fn sample_frames() -> Vec<AMQPFrame> {
    let header = AMQPContentHeader { class_id: 60, body_size: 9, properties: properties() };
    let deliver = basic::Deliver {
        consumer_tag: "c".into(),
        delivery_tag: 7,
        redelivered: true,
        exchange: "".into(),
        routing_key: "curlewpoint.issue-extract".into(),
    };
    let declare = queue::Declare {
        queue: "curlewpoint.issue-extract".into(),
        passive: false,
        durable: true,
        exclusive: false,
        auto_delete: false,
        nowait: false,
        arguments: table(1),
    };
    vec![
        AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()),
        AMQPFrame::Heartbeat,
        AMQPFrame::Method(
            0,
            AMQPClass::Connection(connection::AMQPMethod::TuneOk(connection::TuneOk {
                channel_max: 9,
                frame_max: 8192,
                heartbeat: 10,
            })),
        ),
        AMQPFrame::Method(1, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {}))),
        AMQPFrame::Method(1, AMQPClass::Queue(queue::AMQPMethod::Declare(declare))),
        AMQPFrame::Method(1, AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver))),
        AMQPFrame::Method(1, AMQPClass::Tx(tx::AMQPMethod::Commit(tx::Commit {}))),
        AMQPFrame::Header(1, header),
        AMQPFrame::Body(1, b"scan of p".to_vec()),
    ]
}

fn encoded(frame: &AMQPFrame) -> BytesMut {
    let mut out = BytesMut::new();
    codec().encode(frame.clone(), &mut out).unwrap();
    out
}

#[test]
fn every_frame_is_decoded_as_it_was_encoded_once_its_last_byte_is_there() {
    for frame in sample_frames() {
        let complete = encoded(&frame);
        for cut in 0..complete.len() {
            let mut part = BytesMut::from(&complete[..cut]);
            assert!(matches!(codec().decode(&mut part), Ok(None)), "{frame:?} cut at {cut}");
            assert_eq!(part.len(), cut, "nothing is consumed");
        }
        let mut more = complete.clone();
        more.extend_from_slice(b"\x08\x00");
        assert_eq!(codec().decode(&mut more).unwrap(), Some(frame));
        assert_eq!(more.remaining(), 2);
    }
}

#[test_case(b"HTTP/1.1", "frame of type 72" ; "not AMQP")]
#[test_case(b"AMQP\x00\x00\x08\x00", "another version" ; "an older version")]
#[test_case(b"\x07\x00\x01\x00\x00\x00\x00\xCE", "frame of type 7" ; "an unknown type")]
#[test_case(b"\x01\x00\x65\x00\x00\x00\x04\x00\x14\x00\x0A", "frame on channel 101, the maximum is 100" ; "a channel out of range")]
#[test_case(b"\x03\x00\x01\x00\x00\x1F\xF9", "frame of 8193 bytes exceeds the negotiated 8192 bytes" ; "one byte too long")]
#[test_case(b"\x03\x00\x01\xFF\xFF\xFF\xFF", "exceeds the negotiated 8192 bytes" ; "a size near the maximum integer")]
#[test_case(b"\x03\x00\x01\x00\x00\x00\x01xx", "without an end byte" ; "a wrong end byte")]
#[test_case(b"\x01\x00\x01\x00\x00\x00\x04\x00\x63\x00\x0A\xCE", "malformed frame" ; "an unknown class")]
#[test_case(b"\x01\x00\x01\x00\x00\x00\x03\x00\x14\x00\xCE", "malformed frame" ; "half a method")]
#[test_case(b"\x02\x00\x01\x00\x00\x00\x02\x00\x3C\xCE", "malformed frame" ; "half a header")]
fn an_invalid_frame_is_an_error(wrong: &[u8], want: &str) {
    let result = codec().decode(&mut BytesMut::from(wrong)).unwrap_err().to_string();
    assert!(result.contains(want), "{result}");
}

/// Parsing some thousand nested tables would exhaust the stack of the test's thread.
#[test]
fn tables_nested_too_deep_are_rejected_before_they_are_parsed() {
    let mut codec = Codec::default();
    codec.set_limits(1 << 20, 0);
    let mut inner = Vec::new();
    while inner.len() < 20_000 {
        let mut outer = b"\x01kF".to_vec();
        outer.extend_from_slice(&(inner.len() as u32).to_be_bytes());
        outer.extend_from_slice(&inner);
        inner = outer;
    }
    let mut frame = b"\x02\x00\x01".to_vec();
    frame.extend_from_slice(&(inner.len() as u32 + 18).to_be_bytes());
    frame.extend_from_slice(b"\x00\x3C\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x20\x00");
    frame.extend_from_slice(&(inner.len() as u32).to_be_bytes());
    frame.extend_from_slice(&inner);
    frame.push(0xCE);
    let result = codec.decode(&mut BytesMut::from(&frame[..])).unwrap_err();
    assert!(matches!(result, FrameError::TooDeep), "{result}");
    // The maximum depth is accepted.
    let header = AMQPContentHeader {
        class_id: 60,
        body_size: 0,
        properties: AMQPProperties::default().with_headers(table(14)),
    };
    let frame = AMQPFrame::Header(1, header);
    assert_eq!(codec.decode(&mut encoded(&frame)).unwrap(), Some(frame));
}

#[test]
fn a_frame_over_the_negotiated_size_is_not_written() {
    let (mut out, max_body) = (BytesMut::new(), codec().max_body());
    codec().encode(AMQPFrame::Body(1, vec![7; max_body]), &mut out).unwrap();
    assert_eq!(out.len(), 8192);
    assert!(codec().encode(AMQPFrame::Body(1, vec![7; max_body + 1]), &mut out).is_err());
    assert_eq!(out.len(), 8192, "nothing is written");
}

/// Each line of the corpus holds a description, the expected result and the bytes. Input found by fuzzing is added there.
#[test]
fn the_corpus_decodes_as_expected() {
    let corpus = include_str!("corpus.txt");
    let mut lines = 0;
    for line in corpus.lines().filter(|l| !l.is_empty() && !l.starts_with('#')) {
        let [description, want, hex] = line.split(" | ").collect::<Vec<_>>()[..] else { panic!("{line}") };
        let bytes: Vec<u8> =
            (0..hex.len() / 2).map(|i| u8::from_str_radix(&hex[i * 2..i * 2 + 2], 16).unwrap()).collect();
        let result = match codec().decode(&mut BytesMut::from(&bytes[..])) {
            Ok(Some(_)) => "a frame".to_owned(),
            Ok(None) => "waits".to_owned(),
            Err(e) => e.to_string(),
        };
        assert!(result.contains(want), "{description}: {result}");
        lines += 1;
    }
    assert!(lines >= 20, "{lines}");
}

fn header(size: u64) -> AMQPContentHeader {
    AMQPContentHeader { class_id: 60, body_size: size, properties: properties() }
}

#[test]
fn interleaved_contents_are_assembled_and_misplaced_frames_rejected() {
    let mut assembler = ContentAssembler::new(100);
    assembler.start(1, "deliver").unwrap();
    assembler.start(2, "return").unwrap();
    assert_eq!(assembler.header(1, header(4)), Ok(None));
    let empty = Content { method: "return", properties: properties(), body: Default::default() };
    assert_eq!(assembler.header(2, header(0)), Ok(Some(empty)));
    assert_eq!(assembler.body(1, b"sc"), Ok(None));
    assert_eq!(assembler.check_idle(1), Err(ContentError::Interrupted(1)));
    assert_eq!(assembler.start(1, "deliver"), Err(ContentError::Interrupted(1)));
    let content = assembler.body(1, b"an").unwrap().unwrap();
    assert_eq!((content.method, &content.body[..]), ("deliver", &b"scan"[..]));
    assert_eq!(assembler.body(1, b"x"), Err(ContentError::Unexpected(1)));
    assert_eq!(assembler.header(3, header(1)), Err(ContentError::Unexpected(3)));
    assembler.start(4, "deliver").unwrap();
    assert_eq!(assembler.header(4, header(101)), Err(ContentError::OverLimit(101, 4)));
    assembler.start(5, "deliver").unwrap();
    assembler.header(5, header(2)).unwrap();
    assert_eq!(assembler.body(5, b"xyz"), Err(ContentError::TooLong(5)));
    assembler.channel_closed(5);
    assert_eq!(assembler.check_idle(5), Ok(()));
}

fn text() -> impl Strategy<Value = ShortString> {
    "[a-zA-Z0-9.ü-]{0,60}".prop_map(ShortString::from)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    /// Arbitrary bytes of a peer are decoded or rejected. They cause no panic, and no more is consumed than is there.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(kind in prop_oneof![Just(1u8), Just(2), Just(3), Just(8), any::<u8>()],
        channel in 0u16..120, payload in proptest::collection::vec(any::<u8>(), 0..300), end in prop_oneof![9 => Just(0xCEu8), 1 => any::<u8>()]) {
        let mut src = BytesMut::from(&[kind][..]);
        src.extend_from_slice(&channel.to_be_bytes());
        src.extend_from_slice(&(payload.len() as u32).to_be_bytes());
        src.extend_from_slice(&payload);
        src.extend_from_slice(&[end]);
        let before = src.len();
        if let Ok(Some(_)) = codec().decode(&mut src) {
            prop_assert_eq!(src.len(), 0);
        } else {
            prop_assert!(src.len() == before || kind == b'A');
        }
    }

    /// A changed byte in a valid frame yields another frame or an error, but no panic.
    #[test]
    fn a_changed_byte_causes_no_panic(which in 0usize..9, at in any::<prop::sample::Index>(), with in 1u8..) {
        let mut bytes = encoded(&sample_frames()[which]);
        let at = at.index(bytes.len());
        bytes[at] ^= with;
        let _ = codec().decode(&mut bytes);
    }

    #[test]
    fn a_publish_method_is_decoded_as_it_was_encoded(exchange in text(), routing_key in text(), mandatory in any::<bool>(), channel in 1u16..100) {
        let publish = basic::Publish { exchange, routing_key, mandatory, immediate: false };
        let frame = AMQPFrame::Method(channel, AMQPClass::Basic(basic::AMQPMethod::Publish(publish)));
        prop_assert_eq!(codec().decode(&mut encoded(&frame)).unwrap(), Some(frame));
    }
}
