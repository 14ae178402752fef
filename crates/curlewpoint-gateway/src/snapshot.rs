//! The snapshot that an instance keeps on disk for its next start: the endpoint list and the addresses of its peers.
//! The file consists of a first line, frames of the wire protocol and a checksum.

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
const CHECKSUM_BYTES: usize = 8;
/// A longer file is not a snapshot.
const MAX_FILE_BYTES: u64 = 64 << 20;
const CODEC: Codec = Codec { max_frame_bytes: 1 << 20 };

#[derive(Debug, Error)]
pub enum SnapshotError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("it has another version, or is not a snapshot")]
    Version,
    #[error("it is damaged")]
    Damaged,
    #[error("it belongs to fleet '{0}'")]
    OtherFleet(String),
    #[error("it is {0:?} old")]
    TooOld(Duration),
    #[error("{0}")]
    Wire(#[from] WireError),
}

/// Seconds since 1970.
fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

/// Encodes the current snapshot, or returns none if no list is held yet.
pub fn encode(fleet_name: &str, fleet: &Fleet, now: Time) -> Option<BytesMut> {
    let (epoch, version) = fleet.endpoints().held()?;
    let mut out = BytesMut::from(FIRST_LINE);
    let mut put = |frame: Frame| CODEC.clone().encode(frame, &mut out).ok();
    let header =
        Frame::new(Kind::SNAPSHOT).text(Field::FLEET, fleet_name).int(Field::WALL_CLOCK, wall_clock());
    put(header.int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version))?;
    for (name, entry) in fleet.endpoints().entries_since(None) {
        put(entry_frame(now, name, entry))?;
    }
    for (_, member) in fleet.members().alive() {
        put(Frame::new(Kind::MEMBER).text(Field::ADDRESS, &member.address))?;
    }
    let checksum = xxh3_64(&out);
    out.put_u64(checksum);
    Some(out)
}

/// Writes the snapshot to a temporary file and renames it, so that a crash leaves either the old or the new one.
pub fn write(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let temporary = PathBuf::from(format!("{}.new", path.display()));
    std::fs::write(&temporary, bytes)?;
    std::fs::File::open(&temporary)?.sync_all()?;
    std::fs::rename(&temporary, path)
}

/// Loads a snapshot into the fleet and returns its age. A snapshot that is damaged, too old or of another fleet is
/// rejected before any part of it is used.
pub fn read(
    path: &Path, fleet_name: &str, max_age: Duration, now: Time, fleet: &mut Fleet,
) -> Result<Duration, SnapshotError> {
    if std::fs::metadata(path)?.len() > MAX_FILE_BYTES {
        return Err(SnapshotError::Version);
    }
    let bytes = std::fs::read(path)?;
    let body = bytes.strip_prefix(FIRST_LINE).ok_or(SnapshotError::Version)?;
    let (content, checksum) = bytes.split_at(bytes.len().saturating_sub(CHECKSUM_BYTES));
    if body.len() < CHECKSUM_BYTES || checksum != xxh3_64(content).to_be_bytes() {
        return Err(SnapshotError::Damaged);
    }
    let mut frames = BytesMut::from(&body[..body.len() - CHECKSUM_BYTES]);
    let mut next = || CODEC.clone().decode(&mut frames);
    let header = next()?.filter(|f| f.kind == Kind::SNAPSHOT).ok_or(SnapshotError::Damaged)?;
    let name = header.get_text(Field::FLEET)?;
    if name != fleet_name {
        return Err(SnapshotError::OtherFleet(name.to_owned()));
    }
    // If the clock was set back the age is unknown, and the snapshot counts as too old.
    let age = wall_clock()
        .checked_sub(header.get_int(Field::WALL_CLOCK)?)
        .map_or(Duration::MAX, Duration::from_secs);
    if age > max_age {
        return Err(SnapshotError::TooOld(age));
    }
    let (epoch, version) = (header.get_int(Field::EPOCH)?, header.get_int(Field::LIST_VERSION)?);
    let (mut rows, mut addresses) = (Vec::new(), Vec::new());
    while let Some(frame) = next()? {
        match frame.kind {
            Kind::LIST_ENTRY => {
                let (name, entry) = read_entry(now, &frame)?;
                // The worker's age includes the age of the snapshot.
                let since = entry.started_at.map(|since| since - Time(age.as_millis() as u64 * 10));
                rows.push((name.to_owned(), EndpointEntry { started_at: since, ..entry }));
            }
            Kind::MEMBER => addresses.push(frame.get_text(Field::ADDRESS)?.to_owned()),
            _ => {}
        }
    }
    // Nothing is used before the whole file has been read.
    fleet.restore_list(now, epoch, version);
    rows.into_iter().for_each(|(name, entry)| fleet.restore_entry(&name, entry));
    addresses.iter().for_each(|address| fleet.remember_peer(address));
    Ok(age)
}

#[cfg(test)]
mod tests;
