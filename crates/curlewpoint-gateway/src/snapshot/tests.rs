use super::*;
use curlewpoint::types::Lifecycle;
use curlewpoint_fleet::{FleetLimits, RunId};

const NOW: Time = Time(864_000_000);

fn fleet() -> Fleet {
    let limits = FleetLimits {
        max_instances: 10,
        max_inbound_links: 10,
        watchers: 3,
        answer_slack: Time(1_500),
        hint_lifetime: Time(80_000),
        exchange_hints: true,
    };
    Fleet::start(NOW, "f", ("n", RunId(1)), "a", vec!["b".into()], 1, limits, 1)
}

fn encoded_snapshot() -> BytesMut {
    let mut out = BytesMut::from(FIRST_LINE);
    let header = Frame::new(Kind::SNAPSHOT).text(Field::FLEET, "f").int(Field::WALL_CLOCK, wall_clock() - 60);
    let header = header.int(Field::EPOCH, 3).int(Field::LIST_VERSION, 9);
    let (zone, cell) = Default::default();
    let since = Some(NOW - Time(50_000));
    let row = EndpointEntry {
        address: "w".into(),
        lifecycle: Lifecycle::Draining,
        start_id: 7,
        started_at: since,
        zone,
        cell,
        size: 1.0,
    };
    for frame in [header, entry_frame(NOW, "w-1", &row), Frame::new(Kind::MEMBER).text(Field::ADDRESS, "c")] {
        CODEC.clone().encode(frame, &mut out).unwrap();
    }
    let checksum = xxh3_64(&out);
    out.put_u64(checksum);
    out
}

fn file(name: &str, bytes: &[u8]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("curlewpoint-snapshot-{name}-{}", std::process::id()));
    write(&path, bytes).unwrap();
    path
}

#[test]
fn a_valid_snapshot_is_loaded_and_a_damaged_one_is_rejected() {
    let snapshot = encoded_snapshot();
    let path = file("whole", &snapshot);
    let max_age = Duration::from_secs(600);
    assert_eq!(read(&path, "f", max_age, NOW, &mut fleet()).unwrap().as_secs() / 10, 6);
    assert!(
        matches!(read(&path, "g", max_age, NOW, &mut fleet()), Err(SnapshotError::OtherFleet(f)) if f == "f")
    );
    let short_age = Duration::from_secs(30);
    assert!(matches!(read(&path, "f", short_age, NOW, &mut fleet()), Err(SnapshotError::TooOld(_))));
    for at in 0..snapshot.len() {
        let mut bytes = snapshot.clone();
        bytes[at] ^= 1;
        write(&path, &bytes).unwrap();
        assert!(read(&path, "f", max_age, NOW, &mut fleet()).is_err(), "a bit flipped at {at}");
        write(&path, &snapshot[..at]).unwrap();
        assert!(read(&path, "f", max_age, NOW, &mut fleet()).is_err(), "truncated at {at}");
    }
    std::fs::remove_file(&path).unwrap();
    assert!(matches!(read(&path, "f", max_age, NOW, &mut fleet()), Err(SnapshotError::Io(_))));
}
