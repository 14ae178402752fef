//! Frames whole, cut at every byte, over what was agreed on, and wrong.

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

/// One of each type, and some methods that carry tables.
fn frames() -> Vec<AMQPFrame> {
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

fn bytes(frame: &AMQPFrame) -> BytesMut {
    let mut out = BytesMut::new();
    codec().encode(frame.clone(), &mut out).unwrap();
    out
}

#[test]
fn every_frame_is_read_as_it_was_written_and_waits_for_its_last_byte() {
    for frame in frames() {
        let whole = bytes(&frame);
        for cut in 0..whole.len() {
            let mut part = BytesMut::from(&whole[..cut]);
            assert!(matches!(codec().decode(&mut part), Ok(None)), "{frame:?} cut at {cut}");
            assert_eq!(part.len(), cut, "nothing of it is taken");
        }
        let mut more = whole.clone();
        more.extend_from_slice(b"\x08\x00");
        assert_eq!(codec().decode(&mut more).unwrap(), Some(frame));
        assert_eq!(more.remaining(), 2);
    }
}

#[test_case(b"HTTP/1.1", "frame of type 72" ; "no AMQP at all")]
#[test_case(b"AMQP\x00\x00\x08\x00", "another version" ; "an older one")]
#[test_case(b"\x07\x00\x01\x00\x00\x00\x00\xCE", "frame of type 7" ; "no such type")]
#[test_case(b"\x01\x00\x65\x00\x00\x00\x04\x00\x14\x00\x0A", "frame on channel 101, 100 is the last one" ; "a channel out of range")]
#[test_case(b"\x03\x00\x01\x00\x00\x1F\xF9", "frame of 8193 bytes, 8192 were agreed on" ; "one byte too long")]
#[test_case(b"\x03\x00\x01\xFF\xFF\xFF\xFF", "bytes, 8192 were agreed on" ; "a size near the end of numbers")]
#[test_case(b"\x03\x00\x01\x00\x00\x00\x01xx", "does not end where it should" ; "a wrong end")]
#[test_case(b"\x01\x00\x01\x00\x00\x00\x04\x00\x63\x00\x0A\xCE", "cannot be read" ; "no such class")]
#[test_case(b"\x01\x00\x01\x00\x00\x00\x03\x00\x14\x00\xCE", "cannot be read" ; "half a method")]
#[test_case(b"\x02\x00\x01\x00\x00\x00\x02\x00\x3C\xCE", "cannot be read" ; "half a header")]
fn what_is_wrong_ends_the_connection(wrong: &[u8], want: &str) {
    let told = codec().decode(&mut BytesMut::from(wrong)).unwrap_err().to_string();
    assert!(told.contains(want), "{told}");
}

/// Read whole, some thousand tables in one another exhaust the stack of a test's thread.
#[test]
fn tables_nested_too_deep_are_refused_before_they_are_read() {
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
    let told = codec.decode(&mut BytesMut::from(&frame[..])).unwrap_err();
    assert!(matches!(told, FrameError::TooDeep), "{told}");
    // As deep as may be is read.
    let header = AMQPContentHeader {
        class_id: 60,
        body_size: 0,
        properties: AMQPProperties::default().with_headers(table(14)),
    };
    let frame = AMQPFrame::Header(1, header);
    assert_eq!(codec.decode(&mut bytes(&frame)).unwrap(), Some(frame));
}

#[test]
fn what_is_longer_than_was_agreed_on_is_not_written() {
    let (mut out, most) = (BytesMut::new(), codec().max_body());
    codec().encode(AMQPFrame::Body(1, vec![7; most]), &mut out).unwrap();
    assert_eq!(out.len(), 8192);
    assert!(codec().encode(AMQPFrame::Body(1, vec![7; most + 1]), &mut out).is_err());
    assert_eq!(out.len(), 8192, "nothing of it is there");
}

/// Every line of the corpus: what it is, what becomes of it, and its bytes. What fuzzing or a peer brings is added there.
#[test]
fn the_kept_corpus_is_read_as_it_was() {
    let corpus = include_str!("corpus.txt");
    let mut lines = 0;
    for line in corpus.lines().filter(|l| !l.is_empty() && !l.starts_with('#')) {
        let [what, want, hex] = line.split(" | ").collect::<Vec<_>>()[..] else { panic!("{line}") };
        let bytes: Vec<u8> =
            (0..hex.len() / 2).map(|no| u8::from_str_radix(&hex[no * 2..no * 2 + 2], 16).unwrap()).collect();
        let told = match codec().decode(&mut BytesMut::from(&bytes[..])) {
            Ok(Some(_)) => "a frame".to_owned(),
            Ok(None) => "waits".to_owned(),
            Err(e) => e.to_string(),
        };
        assert!(told.contains(want), "{what}: {told}");
        lines += 1;
    }
    assert!(lines >= 20, "{lines}");
}

fn header(size: u64) -> AMQPContentHeader {
    AMQPContentHeader { class_id: 60, body_size: size, properties: properties() }
}

#[test]
fn contents_of_channels_mixed_are_put_together_and_misplaced_frames_are_told() {
    let mut c = ContentAssembler::new(100);
    c.start(1, "deliver").unwrap();
    c.start(2, "return").unwrap();
    assert_eq!(c.header(1, header(4)), Ok(None));
    let empty = Content { method: "return", properties: properties(), body: Default::default() };
    assert_eq!(c.header(2, header(0)), Ok(Some(empty)));
    assert_eq!(c.body(1, b"sc"), Ok(None));
    assert_eq!(c.check_idle(1), Err(ContentError::Interrupted(1)));
    assert_eq!(c.start(1, "deliver"), Err(ContentError::Interrupted(1)));
    let whole = c.body(1, b"an").unwrap().unwrap();
    assert_eq!((whole.method, &whole.body[..]), ("deliver", &b"scan"[..]));
    assert_eq!(c.body(1, b"x"), Err(ContentError::Unexpected(1)));
    assert_eq!(c.header(3, header(1)), Err(ContentError::Unexpected(3)));
    c.start(4, "deliver").unwrap();
    assert_eq!(c.header(4, header(101)), Err(ContentError::OverLimit(101, 4)));
    c.start(5, "deliver").unwrap();
    c.header(5, header(2)).unwrap();
    assert_eq!(c.body(5, b"xyz"), Err(ContentError::TooLong(5)));
    c.channel_closed(5);
    assert_eq!(c.check_idle(5), Ok(()));
}

fn text() -> impl Strategy<Value = ShortString> {
    "[a-zA-Z0-9.ü-]{0,60}".prop_map(ShortString::from)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    /// A peer's bytes, however odd, are read or refused; never a panic, never more taken than is there.
    #[test]
    fn odd_bytes_are_read_or_refused(kind in prop_oneof![Just(1u8), Just(2), Just(3), Just(8), any::<u8>()],
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

    /// A flipped byte in a good frame is read as another frame or refused.
    #[test]
    fn a_flipped_byte_harms_nobody(which in 0usize..9, at in any::<prop::sample::Index>(), with in 1u8..) {
        let mut whole = bytes(&frames()[which]);
        let at = at.index(whole.len());
        whole[at] ^= with;
        let _ = codec().decode(&mut whole);
    }

    #[test]
    fn publishing_comes_back_as_it_was(exchange in text(), routing_key in text(), mandatory in any::<bool>(), channel in 1u16..100) {
        let publish = basic::Publish { exchange, routing_key, mandatory, immediate: false };
        let frame = AMQPFrame::Method(channel, AMQPClass::Basic(basic::AMQPMethod::Publish(publish)));
        prop_assert_eq!(codec().decode(&mut bytes(&frame)).unwrap(), Some(frame));
    }
}
