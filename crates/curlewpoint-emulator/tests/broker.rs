//! A client's session and the model of a broker, joined by bytes in memory.

use std::collections::{BTreeMap, VecDeque};

use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::protocol::{basic, queue, tx, AMQPClass};
use amq_protocol::types::{AMQPValue, FieldTable};
use bytes::{Bytes, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_amqp::{Codec, Login, Session, SessionDriver};
use curlewpoint_emulator::{Broker, BrokerDriver};
use tokio_util::codec::{Decoder, Encoder};

/// What a session was told, and what it has written.
#[derive(Default)]
struct SessionRecorder {
    out: VecDeque<AMQPFrame>,
    agreed: (u32, u16),
    told: Vec<String>,
    delivered: Vec<(u64, bool, Bytes)>,
    committed: Vec<u64>,
}

impl SessionDriver for SessionRecorder {
    fn send(&mut self, frame: AMQPFrame) {
        self.out.push_back(frame);
    }
    fn negotiated(&mut self, frame_max: u32, channel_max: u16) {
        self.agreed = (frame_max, channel_max);
    }
    fn ready(&mut self) {
        self.told.push("ready".to_owned());
    }
    fn delivered(&mut self, _: &str, tag: u64, redelivered: bool, _: AMQPProperties, body: Bytes) {
        self.delivered.push((tag, redelivered, body));
    }
    fn committed(&mut self, _: &str, tags: &[u64]) {
        self.committed.extend(tags);
    }
    fn returned(&mut self, key: &str, why: &str, _: AMQPProperties, body: Bytes) {
        self.told.push(format!("returned {key}: {why}, {} bytes", body.len()));
    }
    fn cancelled(&mut self, queue: &str) {
        self.told.push(format!("cancelled {queue}"));
    }
    fn blocked(&mut self, blocked: bool) {
        self.told.push(format!("blocked {blocked}"));
    }
    fn closed(&mut self, why: &str) {
        self.told.push(format!("over: {why}"));
    }
}

#[derive(Default)]
struct RecordingDriver {
    out: Vec<(u64, AMQPFrame)>,
    agreed: BTreeMap<u64, (u32, u16)>,
    closed: Vec<u64>,
}

impl BrokerDriver for RecordingDriver {
    fn send(&mut self, conn: u64, frame: AMQPFrame) {
        self.out.push((conn, frame));
    }
    fn agreed(&mut self, conn: u64, frame_max: u32, channel_max: u16) {
        self.agreed.insert(conn, (frame_max, channel_max));
    }
    fn close(&mut self, conn: u64) {
        self.closed.push(conn);
    }
}

struct Harness {
    now: Time,
    broker: Broker<RecordingDriver>,
    sessions: BTreeMap<u64, Session<SessionRecorder>>,
}

const EXTRACTS: &str = "curlewpoint.issue-extract";

fn login() -> Login {
    Login {
        user: "guest".to_owned(),
        password: "guest".to_owned(),
        vhost: "/".to_owned(),
        heartbeat: Time(100_000),
        frame_max: 8192,
        max_body: 1 << 20,
    }
}

/// A frame as it arrives: written and read anew.
fn encode_and_decode(frame: AMQPFrame, agreed: (u32, u16)) -> AMQPFrame {
    let mut codec = Codec::default();
    codec.set_limits(agreed.0, agreed.1);
    let mut bytes = BytesMut::new();
    codec.encode(frame, &mut bytes).unwrap();
    codec.decode(&mut bytes).unwrap().unwrap()
}

impl Harness {
    fn new() -> Harness {
        let mut s = Harness {
            now: Time(1_000),
            broker: Broker::new(RecordingDriver::default()),
            sessions: BTreeMap::new(),
        };
        // A client of its own sets the queues up.
        s.connect(99);
        let now = s.now;
        s.session(99).set_prefetch(now, "none", 0);
        s.run();
        let mut dead = FieldTable::default();
        dead.insert("x-dead-letter-exchange".into(), AMQPValue::LongString("".into()));
        dead.insert("x-dead-letter-routing-key".into(), AMQPValue::LongString("dead".into()));
        dead.insert("x-max-priority".into(), AMQPValue::LongInt(9));
        let none = FieldTable::default;
        for (name, arguments) in [(EXTRACTS, dead), ("dead", none()), ("office", none())] {
            let (passive, durable, exclusive, auto_delete, nowait) = (false, true, false, false, false);
            let queue = name.into();
            let d = queue::Declare { queue, passive, durable, exclusive, auto_delete, nowait, arguments };
            let declare = AMQPFrame::Method(1, AMQPClass::Queue(queue::AMQPMethod::Declare(d)));
            s.broker.frame(s.now, 99, declare);
        }
        s.sessions.clear();
        s.broker.connection_closed(s.now, 99);
        s.broker.driver().out.clear();
        s
    }

    fn connect(&mut self, conn: u64) {
        self.broker.connection_opened(conn);
        self.sessions.insert(conn, Session::start(self.now, SessionRecorder::default(), login()));
        self.run();
    }

    /// Carries frames until nobody has anything to say.
    fn run(&mut self) {
        loop {
            let mut moved = false;
            for (conn, session) in &mut self.sessions {
                let agreed = session.driver().agreed;
                while let Some(frame) = session.driver().out.pop_front() {
                    moved = true;
                    self.broker.frame(self.now, *conn, encode_and_decode(frame, agreed));
                }
            }
            for (conn, frame) in std::mem::take(&mut self.broker.driver().out) {
                moved = true;
                let agreed = self.broker.driver().agreed.get(&conn).copied().unwrap_or_default();
                if let Some(session) = self.sessions.get_mut(&conn) {
                    session.handle_frame(self.now, encode_and_decode(frame, agreed));
                }
            }
            if !moved {
                return;
            }
        }
    }

    fn session(&mut self, conn: u64) -> &mut Session<SessionRecorder> {
        self.sessions.get_mut(&conn).unwrap()
    }

    fn set_prefetch(&mut self, conn: u64, most: u16) {
        let now = self.now;
        self.session(conn).set_prefetch(now, EXTRACTS, most);
        self.run();
    }

    /// An office asks for something, by a session of its own.
    fn ask(&mut self, body: &str, properties: AMQPProperties) {
        self.connect(98);
        let now = self.now;
        self.session(98).set_prefetch(now, "office", 0);
        self.run();
        self.session(98).publish_and_ack(now, "office", None, "", EXTRACTS, properties, body.as_bytes());
        self.run();
        self.sessions.remove(&98);
        self.broker.connection_closed(now, 98);
        self.run();
    }

    /// Answers a delivery, up to the commit.
    fn answer(&mut self, conn: u64, tag: u64) {
        let now = self.now;
        self.session(conn).publish_and_ack(now, EXTRACTS, Some(tag), "", "office", plain(), b"extract");
    }

    fn drop_conn(&mut self, conn: u64) {
        self.sessions.remove(&conn).unwrap().connection_lost("dropped");
        self.broker.connection_closed(self.now, conn);
        self.run();
    }

    fn bodies(&mut self, conn: u64) -> Vec<String> {
        let all = &self.session(conn).driver().delivered;
        all.iter().map(|d| String::from_utf8_lossy(&d.2).into_owned()).collect()
    }

    fn told(&mut self, conn: u64) -> String {
        self.session(conn).driver().told.join("; ")
    }
}

fn plain() -> AMQPProperties {
    AMQPProperties::default()
}

#[test]
fn a_queue_is_consumed_up_to_what_is_held_and_answers_are_committed_together() {
    let mut s = Harness::new();
    (0..5).for_each(|no| s.ask(&format!("m{no}"), plain()));
    s.connect(1);
    assert_eq!(s.told(1), "ready");
    s.set_prefetch(1, 2);
    assert_eq!(s.bodies(1), ["m0", "m1"]);
    s.set_prefetch(1, 4);
    assert_eq!(s.bodies(1).len(), 4);
    // The first goes alone; what comes before its word goes with the next commit.
    (1..=4).for_each(|tag| s.answer(1, tag));
    let commit = AMQPFrame::Method(1, AMQPClass::Tx(tx::AMQPMethod::Commit(tx::Commit {})));
    assert_eq!(s.session(1).driver().out.iter().filter(|f| **f == commit).count(), 1);
    s.run();
    assert_eq!(s.session(1).driver().committed, [1, 2, 3, 4]);
    assert_eq!((s.broker.waiting_bodies("office").len(), s.bodies(1).len()), (4, 5));
    s.set_prefetch(1, 0);
    s.ask("m5", plain());
    assert_eq!((s.bodies(1).len(), s.broker.waiting_bodies(EXTRACTS).len()), (5, 1));
}

#[test]
fn what_was_not_committed_comes_again_marked_and_its_answer_is_not_there() {
    let mut s = Harness::new();
    s.ask("m0", plain());
    s.connect(1);
    s.set_prefetch(1, 9);
    s.connect(2);
    s.set_prefetch(2, 9);
    // Publish and acknowledge arrive, the commit does not.
    s.answer(1, 1);
    let mut frames: Vec<_> = s.session(1).driver().out.drain(..).collect();
    frames.pop();
    for frame in frames {
        s.broker.frame(s.now, 1, frame);
    }
    s.drop_conn(1);
    assert_eq!(s.broker.waiting_bodies("office").len(), 0);
    let again = s.session(2).driver().delivered.clone();
    assert_eq!(again, [(1, true, Bytes::from_static(b"m0"))]);
}

#[test]
fn a_commit_whose_word_is_lost_is_done_once() {
    let mut s = Harness::new();
    s.ask("m0", plain());
    s.connect(1);
    s.set_prefetch(1, 9);
    s.broker.faults.omits_commit_ok = true;
    s.answer(1, 1);
    s.run();
    assert!(s.session(1).driver().committed.is_empty());
    s.drop_conn(1);
    let left = (s.broker.waiting_bodies("office").len(), s.broker.waiting_bodies(EXTRACTS).len());
    assert_eq!((left, s.broker.unacknowledged()), ((1, 0), 0));
}

#[test]
fn a_broker_that_blocks_cancels_or_closes_is_told() {
    let mut s = Harness::new();
    s.connect(1);
    s.set_prefetch(1, 9);
    s.broker.set_blocked(true);
    s.broker.set_blocked(false);
    s.broker.cancel_consumers(EXTRACTS);
    s.run();
    s.ask("m0", plain());
    let want = format!("ready; blocked true; blocked false; cancelled {EXTRACTS}");
    assert_eq!((s.told(1), s.bodies(1).len()), (want, 0));
    s.set_prefetch(1, 3);
    assert_eq!(s.bodies(1), ["m0"], "it is asked for again");
    let now = s.now;
    s.session(1).set_prefetch(now, "no-such-queue", 3);
    s.run();
    let want = "over: the broker closed no-such-queue: 404 no queue 'no-such-queue'";
    assert!(s.told(1).ends_with(want), "{}", s.told(1));
    assert_eq!(
        (s.broker.unacknowledged(), s.broker.waiting_bodies(EXTRACTS).len()),
        (0, 1),
        "all of it was ended"
    );
}

#[test]
fn an_answer_that_nobody_takes_comes_back() {
    let mut s = Harness::new();
    s.ask("m0", plain());
    s.connect(1);
    s.set_prefetch(1, 9);
    let now = s.now;
    s.session(1).publish_and_ack(now, EXTRACTS, Some(1), "", "no-office", plain(), b"extract");
    s.run();
    assert_eq!(s.told(1), "ready; returned no-office: NO_ROUTE, 7 bytes");
    assert_eq!(s.session(1).driver().committed, [1]);
}

#[test]
fn large_messages_pass_in_parts_and_one_over_the_limit_ends_the_session() {
    let mut s = Harness::new();
    let long = "x".repeat(100_000);
    s.ask(&long, plain());
    s.connect(1);
    s.set_prefetch(1, 9);
    assert_eq!(s.bodies(1), [long]);
    s.ask(&"x".repeat((1 << 20) + 1), plain());
    let want = "over: content of 1048577 bytes on channel 1 is over the limit";
    assert!(s.told(1).contains(want), "{}", s.told(1));
}

#[test]
fn priorities_go_first_and_what_expires_goes_to_the_dead_letters() {
    let mut s = Harness::new();
    s.ask("low", plain());
    s.ask("high", plain().with_priority(5));
    s.ask("short", plain().with_expiration("50".into()));
    s.now = s.now + Time(500);
    s.broker.advance(s.now);
    s.connect(1);
    s.set_prefetch(1, 9);
    assert_eq!(
        (s.bodies(1), s.broker.waiting_bodies("dead")),
        (vec!["high".to_owned(), "low".to_owned()], vec![Bytes::from("short")])
    );
}

#[test]
fn heartbeats_are_sent_and_a_broker_that_falls_silent_is_given_up() {
    let mut s = Harness::new();
    s.connect(1);
    // 10 s were agreed on: one is sent when nothing was said for 5 s.
    for _ in 0..10 {
        s.now = s.now + Time(50_000);
        let now = s.now;
        s.session(1).tick(now);
        assert_eq!(s.session(1).driver().out, [AMQPFrame::Heartbeat]);
        s.run();
    }
    let now = s.now + Time(199_999);
    s.session(1).tick(now);
    assert!(!s.session(1).is_closed());
    s.session(1).tick(now + Time(1));
    assert_eq!(s.told(1), "ready; over: the broker has fallen silent");
}

#[test]
fn frames_out_of_place_end_the_session() {
    let qos_ok = AMQPClass::Basic(basic::AMQPMethod::QosOk(basic::QosOk {}));
    let commit_ok = AMQPClass::Tx(tx::AMQPMethod::CommitOk(tx::CommitOk {}));
    for (frame, want) in [
        (AMQPFrame::Body(1, vec![1]), "content on channel 1 that nothing announced"),
        (AMQPFrame::Method(9, qos_ok), "a channel that was not opened"),
        (AMQPFrame::Method(1, commit_ok), "a commit that was not asked for"),
    ] {
        let mut s = Harness::new();
        s.connect(1);
        s.set_prefetch(1, 1);
        let now = s.now;
        s.session(1).handle_frame(now, frame);
        assert!(s.told(1).contains(want), "{}", s.told(1));
        assert!(s.session(1).is_closed());
    }
}
