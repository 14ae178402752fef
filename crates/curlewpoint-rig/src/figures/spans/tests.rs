use std::time::Duration;

use super::*;

fn usage(id: u32, ms: u64, kib: u64) -> Option<Usage> {
    Some(Usage { id, cpu_time: Duration::from_millis(ms), resident_kib: kib, peak_kib: kib })
}

fn frame(
    at: u64, from: &str, to: &str, kind: Kind, bytes: usize, rows: usize, new_observations: usize,
) -> RecordedEvent {
    let (received_at, functions, age_error) = (Time(at), Vec::new(), Time(0));
    let event = RelayEvent::Frame {
        kind,
        bytes,
        full_list: false,
        member_digest: None,
        rows,
        new_observations,
        received_at,
        functions,
        age_error,
    };
    (Time(at), from.into(), to.into(), event)
}

/// Guards against counting traffic from outside the span, and against mixing the two runs of a restarted instance.
#[test]
fn a_span_counts_only_traffic_within_it_and_by_party() {
    let from =
        UsageSample { at: Time(10_000), usage: vec![usage(1, 100, 1024), usage(2, 500, 1024)], load: 1.0 };
    let to = UsageSample {
        at: Time(30_000),
        usage: vec![usage(1, 300, 3 * 1024), usage(7, 40, 9 * 1024)],
        load: 2.5,
    };
    let log = [
        frame(9_999, "front-0", "front-1", Kind::HEARTBEAT, 1_000_000, 0, 0),
        frame(10_000, "front-0", "front-1", Kind::HEARTBEAT, 100, 0, 0),
        frame(11_000, "front-0", "front-1", Kind::HINTS, 300, 4, 2),
        frame(25_000, "front-1", "front-0", Kind::HEARTBEAT, 100, 0, 0),
        frame(25_000, "front-1", "w-000", Kind::PROBE, 50, 0, 0),
        frame(25_000, "list", "front-1", Kind::LIST_BEGIN, 70, 0, 0),
        (Time(26_000), "front-1".into(), "w-001".into(), RelayEvent::Dialled),
        (Time(26_000), "front-1".into(), "front-0".into(), RelayEvent::Dialled),
        frame(30_000, "front-1", "front-0", Kind::HEARTBEAT, 1_000_000, 0, 0),
    ];
    let c = SpanCost::measure("x", &from, &to, &log, &[], 2);
    assert_eq!((c.frames, c.sent.mean, c.sent.worst), (Spread { mean: 0.75, worst: 1.0 }, 125.0, 200.0));
    assert_eq!((c.received.worst, c.worst_second), (200.0, Spread { mean: 400.0, worst: 400.0 }));
    assert_eq!(c.kinds[&Kind::HEARTBEAT], (0.5, 50.0));
    assert_eq!((c.hint_rows, c.observations, c.links_opened), (1.0, 0.5, 0.25));
    // The first instance used 200 ms of 2 s. The second was restarted: its first run is not measured, its second used 40 ms.
    assert_eq!((c.full_span_processes, c.cpu_share.worst, c.resident_mb.worst), (1, 0.1, 3.0));
    assert_eq!((c.started_processes, c.started_cpu_ms.mean), (1, 40.0));
    assert_eq!((c.dials, c.probes), (Spread { mean: 0.25, worst: 0.5 }, Spread { mean: 0.25, worst: 0.5 }));
    assert_eq!(c.worker_kinds, BTreeMap::from([(Kind::PROBE, (0.25, 12.5))]));
    let drawn = SpanCost::draw(&[&[c], &[]]);
    assert!(drawn.contains("x, 2.0 s") && drawn.contains("sent BEAT: frames; bytes"), "{drawn}");
}

/// Guards against including an instance that is down at the end of the span in the means of processes.
#[test]
fn an_instance_down_at_the_end_is_left_out_of_the_means() {
    let from = UsageSample { at: Time(0), usage: vec![usage(1, 0, 1024), usage(2, 0, 1024)], load: 0.0 };
    let to = UsageSample { at: Time(10_000), usage: vec![usage(1, 10, 2048), None], load: 0.0 };
    let c = SpanCost::measure("x", &from, &to, &[], &[], 1);
    assert_eq!((c.full_span_processes, c.started_processes, c.resident_mb.mean), (1, 0, 2.0));
}

/// Guards against timing calls that were sent outside the span or reached no worker, and against timing later attempts.
#[test]
fn a_call_is_timed_to_its_first_arrival_and_first_effect() {
    let asked = |key: u64| TranscriptEvent::RpcSent {
        key,
        scheduler: "front-0".into(),
        method: "m".into(),
        time_left: Time(9),
    };
    let arrived = |key: u64| TranscriptEvent::AttemptArrived {
        key,
        scheduler: "front-0".into(),
        worker: "w-000".into(),
        method: "m".into(),
    };
    let ran = |key: u64| TranscriptEvent::Executed { key, worker: "w-000".into() };
    let seen = [
        (Time(90), asked(1)),
        (Time(100), asked(2)),
        (Time(105), asked(3)),
        (Time(110), arrived(2)),
        (Time(120), arrived(1)),
        (Time(130), arrived(2)),
        (Time(150), asked(4)),
        (Time(180), arrived(4)),
        (Time(900), ran(2)),
        (Time(950), asked(5)),
    ];
    let sample = |at: u64| UsageSample { at: Time(at), usage: vec![None], load: 0.0 };
    let c = SpanCost::measure("x", &sample(100), &sample(900), &[], &seen, 1);
    assert_eq!(c.time_to_worker, Some([Time(10), Time(30), Time(30)]));
    assert_eq!((c.time_to_effect, c.not_reached), (Some([Time(800); 3]), 1));
}
