//! The frames between instances of a fleet: what a [`Fleet`] sends, encoded in the native protocol, and the
//! dispatch of received frames to its methods. The gateway sends them over sockets, the scale simulation over a
//! simulated network.

use curlewpoint::types::{FunctionId, Hint, Lifecycle, Time, WorkerId};
use curlewpoint_wire::{Field, Frame, Kind, WireError};

use crate::directory::frames as directory;
use crate::driver::{FleetDriver, LinkId};
use crate::endpoint_table::EndpointEntry;
use crate::fleet::Fleet;
use crate::hints::Observation;
use crate::members::{InstanceId, Member, MemberId, MemberState, RunId};

/// Maximum number of entries in one frame of a list.
const MAX_ROWS: usize = 1_024;
/// Integers per row of hints.
const HINT_INTEGERS: usize = 7;
/// Worker lifecycles by their number on the wire.
const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone];
/// Hints by their number on the wire.
pub(crate) const HINTS: [Hint; 4] = [Hint::Gone, Hint::Full, Hint::Loading, Hint::Warm];

pub(crate) fn code<T: Copy + PartialEq>(all: &[T], of: T) -> u64 {
    all.iter().position(|x| *x == of).map_or(0, |code| code as u64)
}

/// The number of a worker's lifecycle on the wire.
pub fn lifecycle_code(of: Lifecycle) -> u64 {
    code(&LIFECYCLES, of)
}

/// Reads a worker's lifecycle; an error if the field is missing or holds an unknown number.
pub fn read_lifecycle(f: &Frame) -> Result<Lifecycle, WireError> {
    let code = f.get_int(Field::LIFECYCLE)?;
    // Sent to the peer in a FAULT frame; kept as earlier releases send it.
    let bad = WireError::WrongType(f.kind.0, Field::LIFECYCLE.0, "a standing");
    LIFECYCLES.get(code as usize).copied().ok_or(bad)
}

fn state_bits(s: MemberState) -> u64 {
    u64::from(s.left) | u64::from(s.dead) << 1 | u64::from(s.list_service_lost) << 2
}

fn member_fields(kind: Kind, id: MemberId, m: &Member) -> Frame {
    Frame::new(kind)
        .text(Field::INSTANCE, &m.name)
        .int(Field::RUN_ID, id.run.0)
        .text(Field::ADDRESS, &m.address)
        .int(Field::INCARNATION, m.state.incarnation)
        .int(Field::STATE, state_bits(m.state))
        .int(Field::SUSPECTED_RINGS, u64::from(m.state.suspected_rings))
}

/// The first frame on every link: see [`FleetDriver::send_join`]. It also announces that this instance accepts
/// frames with several list entries.
pub fn join_frame(fleet: &str, me: MemberId, member: &Member, known: u64) -> Frame {
    let f = member_fields(Kind::JOIN, me, member).text(Field::FLEET, fleet).int(Field::KNOWN_MEMBERS, known);
    f.int(Field::ACCEPTS_LIST_ENTRIES, 1)
}

/// A member record.
pub fn member_frame(id: MemberId, member: &Member) -> Frame {
    member_fields(Kind::MEMBER, id, member)
}

fn read_member(f: &Frame) -> Result<(MemberId, &str, &str, MemberState), WireError> {
    let (name, bits) = (f.get_text(Field::INSTANCE)?, f.get_int(Field::STATE)?);
    let suspected_rings = f.get_int(Field::SUSPECTED_RINGS)?;
    let suspected_rings = u8::try_from(suspected_rings)
        .map_err(|_| WireError::WrongType(f.kind.0, Field::SUSPECTED_RINGS.0, "a row of rings"))?;
    let (left, dead, list_service_lost) = (bits & 1 != 0, bits & 2 != 0, bits & 4 != 0);
    let state = MemberState {
        incarnation: f.get_int(Field::INCARNATION)?,
        left,
        dead,
        list_service_lost,
        suspected_rings,
    };
    let id = MemberId { instance: InstanceId::of(name), run: RunId(f.get_int(Field::RUN_ID)?) };
    Ok((id, name, f.get_text(Field::ADDRESS)?, state))
}

fn read_held(f: &Frame) -> Result<Option<(u64, u64)>, WireError> {
    Ok(f.maybe_int(Field::EPOCH)?.zip(f.maybe_int(Field::LIST_VERSION)?))
}

fn with_held(frame: Frame, held: Option<(u64, u64)>) -> Frame {
    match held {
        Some((epoch, version)) => frame.int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version),
        None => frame,
    }
}

/// A heartbeat: see [`FleetDriver::send_heartbeat`].
pub fn heartbeat_frame(
    (tag, echo): (u64, u64), digest: u64, held: Option<(u64, u64)>, age: Option<Time>, confirmed: bool,
    answer: bool,
) -> Frame {
    let mut f =
        with_held(Frame::new(Kind::HEARTBEAT).int(Field::TAG, tag).int(Field::ECHOED_TAG, echo), held);
    f = f.int(Field::DIGEST, digest).int(Field::COUNT_CONFIRMED, u64::from(confirmed));
    if let Some(age) = age {
        f = f.int(Field::AGE, age.0);
    }
    f.int(Field::REPLY_WANTED, u64::from(answer))
}

/// Asks a peer or the list service for what is newer than the list held.
pub fn list_request_frame(held: Option<(u64, u64)>) -> Frame {
    with_held(Frame::new(Kind::WATCH), held)
}

/// Begins a list; `from`: the version that it changes, or `None` for a whole list.
pub fn list_begin_frame((epoch, version): (u64, u64), from: Option<u64>) -> Frame {
    let f = Frame::new(Kind::LIST_BEGIN).int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version);
    from.map_or(f.clone(), |from| f.int(Field::BASE_VERSION, from))
}

/// One entry of a list, for peers and for the snapshot on disk.
pub fn entry_frame(now: Time, name: &str, e: &EndpointEntry) -> Frame {
    let f = Frame::new(Kind::LIST_ENTRY).text(Field::WORKER, name).text(Field::ADDRESS, &e.address);
    let f = f.int(Field::LIFECYCLE, lifecycle_code(e.lifecycle)).int(Field::START_ID, e.start_id);
    let f = f.text(Field::ZONE, &e.zone).text(Field::CELL, &e.cell).float(Field::SIZE, e.size);
    match e.started_at {
        Some(since) => f.int(Field::AGE, (now - since).0),
        None => f,
    }
}

/// Reads one entry of a list: the worker's name and its entry.
pub fn read_entry(now: Time, f: &Frame) -> Result<(&str, EndpointEntry), WireError> {
    let text = |field| f.maybe_text(field).map(|t| t.unwrap_or("").to_owned());
    let entry = EndpointEntry {
        address: text(Field::ADDRESS)?,
        lifecycle: read_lifecycle(f)?,
        start_id: f.maybe_int(Field::START_ID)?.unwrap_or(0),
        started_at: f.maybe_int(Field::AGE)?.map(|age| now - Time(age)),
        zone: text(Field::ZONE)?,
        cell: text(Field::CELL)?,
        size: f.maybe_float(Field::SIZE)?.unwrap_or(1.0),
    };
    Ok((f.get_text(Field::WORKER)?, entry))
}

/// Maximum size of a list entry in a frame, in bytes.
pub(crate) fn row_size(name: &str, e: &EndpointEntry) -> usize {
    // The numbers of eight fields, the headers of four texts, four integers, and the length prefix.
    const OVERHEAD_BYTES: usize = 60;
    OVERHEAD_BYTES + name.len() + e.address.len() + e.zone.len() + e.cell.len()
}

/// Several entries of a list, for a peer that has announced that it accepts them: for each the length of its
/// fields in two bytes, and the fields as [`entry_frame`] writes them.
pub fn entries_frame(now: Time, rows: &[(&str, &EndpointEntry)]) -> Frame {
    let mut body = Vec::new();
    for (name, e) in rows {
        let row = entry_frame(now, name, e);
        body.extend_from_slice(&(row.header().len() as u16).to_be_bytes());
        body.extend_from_slice(row.header());
    }
    Frame::new(Kind::LIST_ENTRIES).body(body)
}

/// Reads all entries in a frame, or none.
pub fn read_entries(now: Time, f: &Frame) -> Result<Vec<(String, EndpointEntry)>, WireError> {
    let bad = || WireError::WrongType(f.kind.0, Field::ROWS.0, "rows of a list");
    let (mut left, mut rows) = (&f.body[..], Vec::new());
    while let Some((length, rest)) = left.split_first_chunk() {
        let (fields, rest) =
            rest.split_at_checked(usize::from(u16::from_be_bytes(*length))).ok_or_else(bad)?;
        if rows.len() == MAX_ROWS {
            return Err(bad());
        }
        let row = Frame::read(Kind::LIST_ENTRY, fields, Default::default())?;
        let (name, entry) = read_entry(now, &row)?;
        rows.push((name.to_owned(), entry));
        left = rest;
    }
    if left.is_empty() {
        Ok(rows)
    } else {
        Err(bad())
    }
}

/// Ends the list that was begun.
pub fn list_end_frame() -> Frame {
    Frame::new(Kind::LIST_END)
}

/// Observations of functions at workers.
pub fn hints_frame(now: Time, observations: &[Observation]) -> Frame {
    let row = |s: &Observation| {
        let age = (now - s.observed_at).0;
        [s.worker.0, s.function.0, code(&HINTS, s.hint), s.rpcs_held, age, s.run.0, s.seq]
    };
    let rows: Vec<u64> = observations.iter().flat_map(row).collect();
    Frame::new(Kind::HINTS).ints(Field::ROWS, &rows)
}

/// Reads observations; hints of kinds that only a later release knows are skipped.
fn read_hints(now: Time, f: &Frame) -> Result<Vec<Observation>, WireError> {
    let rows = f.get_ints(Field::ROWS)?;
    if rows.len() % HINT_INTEGERS != 0 {
        return Err(WireError::WrongType(f.kind.0, Field::ROWS.0, "rows of hints"));
    }
    let row = |r: &[u64]| {
        let (worker, function, at) = (WorkerId(r[0]), FunctionId(r[1]), now - Time(r[4]));
        let hint = HINTS.get(r[2] as usize).copied()?;
        Some(Observation {
            worker,
            function,
            hint,
            rpcs_held: r[3],
            observed_at: at,
            run: RunId(r[5]),
            seq: r[6],
        })
    };
    Ok(rows.chunks_exact(HINT_INTEGERS).filter_map(row).collect())
}

/// Passes a peer's frame to the fleet; false for a kind that is not the fleet's, which is ignored. On an error
/// the frame is malformed: nothing of it was used, and the link is to be closed.
pub fn dispatch(
    fleet: &mut Fleet, now: Time, driver: &mut impl FleetDriver, link: LinkId, f: &Frame,
) -> Result<bool, WireError> {
    match f.kind {
        Kind::JOIN => {
            let (id, name, address, state) = read_member(f)?;
            let (of, known) = (f.get_text(Field::FLEET)?, f.get_int(Field::KNOWN_MEMBERS)?);
            if f.maybe_int(Field::ACCEPTS_LIST_ENTRIES)? == Some(1) {
                fleet.peer_accepts_list_entries(link);
            }
            fleet.join_received(now, driver, link, of, id, name, address, state, known);
        }
        Kind::MEMBER => {
            let (id, name, address, state) = read_member(f)?;
            fleet.member_received(now, driver, link, id, name, address, state);
        }
        Kind::HEARTBEAT => {
            let (tags, digest) =
                ((f.get_int(Field::TAG)?, f.get_int(Field::ECHOED_TAG)?), f.get_int(Field::DIGEST)?);
            let (held, age) = (read_held(f)?, f.maybe_int(Field::AGE)?.map(Time));
            let (confirmed, answer) =
                (f.get_int(Field::COUNT_CONFIRMED)? == 1, f.get_int(Field::REPLY_WANTED)? == 1);
            fleet.heartbeat_received(now, driver, link, tags, digest, held, age, confirmed, answer);
        }
        Kind::WATCH => fleet.list_requested(now, driver, link, read_held(f)?),
        Kind::HINTS => fleet.hints_received(now, driver, link, read_hints(now, f)?),
        Kind::DIRECTORY_JOIN | Kind::DIRECTORY_QUERY | Kind::DIRECTORY_UPDATE | Kind::OBSERVATIONS => {
            return directory::dispatch(fleet, now, driver, link, f);
        }
        _ => return dispatch_list(fleet, now, driver, Some(link), f),
    }
    Ok(true)
}

/// Passes a frame of a list to the fleet, from a peer or (`None`) from the list service; otherwise as
/// [`dispatch`].
pub fn dispatch_list(
    fleet: &mut Fleet, now: Time, driver: &mut impl FleetDriver, from_link: Option<LinkId>, f: &Frame,
) -> Result<bool, WireError> {
    match f.kind {
        Kind::LIST_BEGIN => {
            let (epoch, version) = (f.get_int(Field::EPOCH)?, f.get_int(Field::LIST_VERSION)?);
            fleet.list_begin_received(now, from_link, epoch, version, f.maybe_int(Field::BASE_VERSION)?);
        }
        Kind::LIST_ENTRY => {
            let (name, entry) = read_entry(now, f)?;
            fleet.list_entry_received(now, from_link, name, entry);
        }
        Kind::LIST_ENTRIES => {
            for (name, entry) in read_entries(now, f)? {
                fleet.list_entry_received(now, from_link, &name, entry);
            }
        }
        Kind::LIST_END => fleet.list_end_received(now, driver, from_link),
        _ => return Ok(false),
    }
    Ok(true)
}
