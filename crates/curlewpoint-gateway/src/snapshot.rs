//! What an instance leaves on disk for its next start: the list it held, and where others lived. Frames of the wire, with
//! a line before them and a checksum behind.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::{BufMut, BytesMut};
use curlewpoint::types::Time;
use curlewpoint_fleet::frames::{entry_frame, read_entry};
use curlewpoint_fleet::{EndpointEntry, Fleet};
use curlewpoint_wire::{Codec, Field, Frame, Kind, WireError};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};
use xxhash_rust::xxh3::xxh3_64;

const FIRST_LINE: &[u8] = b"curlewpoint snapshot 1\n";
const SUM: usize = 8;
/// A longer file is none of ours.
const MOST: u64 = 64 << 20;
const CODEC: Codec = Codec { most: 1 << 20 };

#[derive(Debug, Error)]
pub enum SnapshotError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("it is of another version, or no snapshot")]
    Version,
    #[error("it is damaged")]
    Damaged,
    #[error("it is of fleet '{0}'")]
    OtherFleet(String),
    #[error("it is {0:?} old")]
    TooOld(Duration),
    #[error("{0}")]
    Wire(#[from] WireError),
}

fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

/// What is to be written now; none: no list is held yet.
pub fn draw(fleet_name: &str, fleet: &Fleet, now: Time) -> Option<BytesMut> {
    let (epoch, version) = fleet.endpoints().held()?;
    let mut out = BytesMut::from(FIRST_LINE);
    let mut put = |frame: Frame| CODEC.clone().encode(frame, &mut out).ok();
    let head = Frame::new(Kind::SNAPSHOT).text(Field::FLEET, fleet_name).int(Field::WALL, wall());
    put(head.int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version))?;
    for (name, entry) in fleet.endpoints().entries_since(None) {
        put(entry_frame(now, name, entry))?;
    }
    for (_, member) in fleet.members().alive() {
        put(Frame::new(Kind::MEMBER).text(Field::ADDRESS, &member.address))?;
    }
    let sum = xxh3_64(&out);
    out.put_u64(sum);
    Some(out)
}

/// Writes it beside the old one and puts it in its place, so that a crash leaves one of the two.
pub fn write(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let beside = PathBuf::from(format!("{}.new", path.display()));
    std::fs::write(&beside, bytes)?;
    std::fs::File::open(&beside)?.sync_all()?;
    std::fs::rename(&beside, path)
}

/// Reads a snapshot and lets the fleet remember it; how old it is. What is damaged, of another fleet or too old is refused
/// before anything of it is taken.
pub fn read(
    path: &Path, fleet_name: &str, most_age: Duration, now: Time, fleet: &mut Fleet,
) -> Result<Duration, SnapshotError> {
    if std::fs::metadata(path)?.len() > MOST {
        return Err(SnapshotError::Version);
    }
    let bytes = std::fs::read(path)?;
    let body = bytes.strip_prefix(FIRST_LINE).ok_or(SnapshotError::Version)?;
    let (whole, sum) = bytes.split_at(bytes.len().saturating_sub(SUM));
    if body.len() < SUM || sum != xxh3_64(whole).to_be_bytes() {
        return Err(SnapshotError::Damaged);
    }
    let mut left = BytesMut::from(&body[..body.len() - SUM]);
    let mut next = || CODEC.clone().decode(&mut left);
    let head = next()?.filter(|f| f.kind == Kind::SNAPSHOT).ok_or(SnapshotError::Damaged)?;
    let of = head.get_text(Field::FLEET)?;
    if of != fleet_name {
        return Err(SnapshotError::OtherFleet(of.to_owned()));
    }
    // A wall clock that was set back makes it of no known age: it is taken for too old.
    let age = wall().checked_sub(head.get_int(Field::WALL)?).map_or(Duration::MAX, Duration::from_secs);
    if age > most_age {
        return Err(SnapshotError::TooOld(age));
    }
    let (epoch, version) = (head.get_int(Field::EPOCH)?, head.get_int(Field::LIST_VERSION)?);
    let (mut rows, mut addresses) = (Vec::new(), Vec::new());
    while let Some(frame) = next()? {
        match frame.kind {
            Kind::CHANGE => {
                let (name, entry) = read_entry(now, &frame)?;
                // It has grown older while it lay.
                let since = entry.started_at.map(|since| since - Time(age.as_millis() as u64 * 10));
                rows.push((name.to_owned(), EndpointEntry { started_at: since, ..entry }));
            }
            Kind::MEMBER => addresses.push(frame.get_text(Field::ADDRESS)?.to_owned()),
            _ => {}
        }
    }
    // Only now, that all of it has been read.
    fleet.restore_list(now, epoch, version);
    rows.into_iter().for_each(|(name, entry)| fleet.restore_entry(&name, entry));
    addresses.iter().for_each(|address| fleet.remember_peer(address));
    Ok(age)
}

#[cfg(test)]
mod tests;
