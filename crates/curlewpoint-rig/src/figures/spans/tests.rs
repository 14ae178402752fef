use std::time::Duration;

use super::*;

fn usage(id: u32, ms: u64, kib: u64) -> Option<Usage> {
    Some(Usage { id, used: Duration::from_millis(ms), resident: kib, peak: kib })
}

fn frame(at: u64, from: &str, to: &str, kind: Kind, bytes: usize, rows: usize, new: usize) -> Passed {
    let (came, functions, younger) = (Time(at), Vec::new(), Time(0));
    let what = Taped::Frame { kind, bytes, whole: false, digest: None, rows, new, came, functions, younger };
    (Time(at), from.into(), to.into(), what)
}

/// Two instances over two seconds: one is restarted within them, and what passed before or after does not count.
#[test]
fn a_span_counts_what_passed_within_it_and_whom_it_concerned() {
    let from = Look { at: Time(10_000), usage: vec![usage(1, 100, 1024), usage(2, 500, 1024)], load: 1.0 };
    let to =
        Look { at: Time(30_000), usage: vec![usage(1, 300, 3 * 1024), usage(7, 40, 9 * 1024)], load: 2.5 };
    let tape = [
        frame(9_999, "front-0", "front-1", Kind::HEARTBEAT, 1_000_000, 0, 0),
        frame(10_000, "front-0", "front-1", Kind::HEARTBEAT, 100, 0, 0),
        frame(11_000, "front-0", "front-1", Kind::HINTS, 300, 4, 2),
        frame(25_000, "front-1", "front-0", Kind::HEARTBEAT, 100, 0, 0),
        frame(25_000, "front-1", "w-000", Kind::PROBE, 50, 0, 0),
        frame(25_000, "list", "front-1", Kind::LIST_BEGIN, 70, 0, 0),
        (Time(26_000), "front-1".into(), "w-001".into(), Taped::Dialled),
        (Time(26_000), "front-1".into(), "front-0".into(), Taped::Dialled),
        frame(30_000, "front-1", "front-0", Kind::HEARTBEAT, 1_000_000, 0, 0),
    ];
    let c = Cost::of("x", &from, &to, &tape, &[], 2);
    assert_eq!((c.frames, c.sent.mean, c.sent.worst), (Spread { mean: 0.75, worst: 1.0 }, 125.0, 200.0));
    assert_eq!((c.taken.worst, c.burst), (200.0, Spread { mean: 400.0, worst: 400.0 }));
    assert_eq!(c.kinds[&Kind::HEARTBEAT], (0.5, 50.0));
    assert_eq!((c.rows, c.sights, c.links), (1.0, 0.5, 0.25));
    // The one that stayed used 200 ms of 2 s; of the other's first run nothing is known, its second used 40 ms.
    assert_eq!((c.stayed, c.core.worst, c.resident.worst), (1, 0.1, 3.0));
    assert_eq!((c.begun, c.begun_used.mean), (1, 40.0));
    assert_eq!((c.dials, c.probes), (Spread { mean: 0.25, worst: 0.5 }, Spread { mean: 0.25, worst: 0.5 }));
    assert_eq!(c.worker_kinds, BTreeMap::from([(Kind::PROBE, (0.25, 12.5))]));
    let drawn = Cost::draw(&[&[c], &[]]);
    assert!(drawn.contains("x, 2.0 s") && drawn.contains("sent BEAT: frames; bytes"), "{drawn}");
}

/// One that was down at the end tells nothing, and stands in nobody's mean of processes.
#[test]
fn an_instance_that_is_down_at_the_end_is_left_out() {
    let from = Look { at: Time(0), usage: vec![usage(1, 0, 1024), usage(2, 0, 1024)], load: 0.0 };
    let to = Look { at: Time(10_000), usage: vec![usage(1, 10, 2048), None], load: 0.0 };
    let c = Cost::of("x", &from, &to, &[], &[], 1);
    assert_eq!((c.stayed, c.begun, c.resident.mean), (1, 0, 2.0));
}

/// From the asking to the first arrival and to the first effect; what was asked outside of the span, or reached nobody,
/// takes no part.
#[test]
fn a_call_is_timed_from_its_asking_to_a_worker_and_to_its_effect() {
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
    let look = |at: u64| Look { at: Time(at), usage: vec![None], load: 0.0 };
    let c = Cost::of("x", &look(100), &look(900), &[], &seen, 1);
    assert_eq!(c.reached, Some([Time(10), Time(30), Time(30)]));
    assert_eq!((c.ran, c.unreached), (Some([Time(800); 3]), 1));
}
