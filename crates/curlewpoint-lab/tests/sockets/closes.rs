//! Closes of a native client's connection after an error of the client: every RPC that was read is answered or refused
//! before the FAULT.

use std::collections::BTreeMap;

use crate::common::{config, ScriptedWorker, Stage};
use curlewpoint::types::Time;
use curlewpoint_lab::encode_rpc;
use curlewpoint_link::{handshake, Link, LinkLimits};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpStream;
use tokio_stream::StreamExt;

/// More RPCs than the gateway reads ahead of its engine.
const MANY: u64 = 200;

fn rpc(tag: u64) -> Frame {
    encode_rpc(tag, "read-fields", "model", "", Time(30_000), None)
}

/// Fails the test if a step takes longer than ten seconds.
async fn soon<T>(step: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(std::time::Duration::from_secs(10), step).await.expect("the step timed out")
}

/// A connection with one open RPC, with tag 1.
async fn link_with_open_rpc(stage: &Stage, worker: &mut ScriptedWorker) -> Link {
    let stream = TcpStream::connect(stage.gateway.address).await.unwrap();
    let link = handshake(stream, "x", LinkLimits::default()).await.unwrap();
    link.outbox.send(rpc(1), None).unwrap();
    soon(worker.next_attempt()).await;
    link
}

/// Reads to the end of the connection: the kinds of the replies by tag, in order, and the reason of the FAULT, which
/// has to be the last frame.
async fn replies_and_fault(mut link: Link) -> (BTreeMap<u64, Vec<Kind>>, String) {
    let mut replies = BTreeMap::<u64, Vec<Kind>>::new();
    loop {
        let frame = soon(link.reader.next()).await.expect("a FAULT").unwrap();
        if frame.kind == Kind::FAULT {
            assert!(soon(link.reader.next()).await.is_none(), "a frame after the FAULT");
            return (replies, frame.get_text(Field::REASON).unwrap().to_owned());
        }
        replies.entry(frame.get_int(Field::TAG).unwrap()).or_default().push(frame.kind);
    }
}

/// Guards against a close for a frame over the limit that leaves the RPCs before it unanswered, open ones and queued
/// ones.
#[tokio::test]
async fn rpcs_before_a_frame_over_the_limit_are_answered() {
    let mut worker = ScriptedWorker::start("a").await;
    let stage =
        Stage::with(config().with_block_value("connections", "most-frame", "64KiB"), &[&worker]).await;
    let link = link_with_open_rpc(&stage, &mut worker).await;
    (2..=20).for_each(|tag| link.outbox.send(rpc(tag), None).unwrap());
    link.outbox.send(rpc(21).body(vec![0; 100_000]), None).unwrap();
    let (replies, fault) = replies_and_fault(link).await;
    assert!(fault.contains("is over the limit"), "{fault}");
    assert_eq!(replies.keys().copied().collect::<Vec<_>>(), (1..=20).collect::<Vec<_>>());
    assert!(replies.values().all(|kinds| kinds.len() == 1), "{replies:?}");
    assert_eq!(replies[&1], [Kind::FINAL_ANSWER]);
}

/// Guards against a close for an invalid frame that drops the RPCs behind it, read or still in the buffer.
#[tokio::test]
async fn rpcs_behind_an_invalid_frame_are_refused() {
    let invalid = [
        Frame::new(Kind::RPC).text(Field::TAG, "seven"),
        Frame::new(Kind::RPC).int(Field::TAG, 7),
        Frame::new(Kind::CANCEL),
    ];
    for frame in invalid {
        let mut worker = ScriptedWorker::start("a").await;
        let stage = Stage::new(&[&worker]).await;
        let link = link_with_open_rpc(&stage, &mut worker).await;
        link.outbox.send(frame, None).unwrap();
        (100..100 + MANY).for_each(|tag| link.outbox.send(rpc(tag), None).unwrap());
        let (mut replies, _) = replies_and_fault(link).await;
        assert_eq!(replies.remove(&1), Some(vec![Kind::FINAL_ANSWER]));
        assert_eq!(replies.keys().copied().collect::<Vec<_>>(), (100..100 + MANY).collect::<Vec<_>>());
        assert!(replies.values().all(|kinds| *kinds == [Kind::REFUSED]), "{replies:?}");
    }
}
