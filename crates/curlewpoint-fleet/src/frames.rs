//! The frames between instances of a fleet: what a [`Fleet`] says as the bytes of the native protocol, and how what a
//! peer says is read straight into a call. The daemon sends them over sockets, the scale rig over a made-up network.

use curlewpoint::types::{FunctionId, Hint, Standing as Lifecycle, Time, WorkerId};
use curlewpoint_wire::{Field, Frame, Kind, WireError};

use crate::book::EndpointEntry;
use crate::directory::frames as directory;
use crate::fleet::Fleet;
use crate::hints::Observation;
use crate::members::{InstanceId, Member, MemberId, MemberState, Run};
use crate::outside::{FleetDriver, LinkId};

/// Rows in one frame of a list at most.
const MOST_ROWS: usize = 1_024;
/// Numbers that a row of hints takes.
const HINT: usize = 7;
/// What a list says of a worker, by its number on the wire.
const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone];
/// What a row of hints tells, by its number on the wire.
pub(crate) const HINTS: [Hint; 4] = [Hint::Gone, Hint::Full, Hint::Loading, Hint::Warm];

pub(crate) fn code<T: Copy + PartialEq>(all: &[T], of: T) -> u64 {
    all.iter().position(|x| *x == of).map_or(0, |no| no as u64)
}

/// The number that stands for a worker's standing.
pub fn lifecycle_code(of: Lifecycle) -> u64 {
    code(&LIFECYCLES, of)
}

/// A worker's standing as a frame tells it; an error where the field is missing or holds no such number.
pub fn read_lifecycle(f: &Frame) -> Result<Lifecycle, WireError> {
    let no = f.get_int(Field::STANDING)?;
    let bad = WireError::NotA(f.kind.0, Field::STANDING.0, "a standing");
    LIFECYCLES.get(no as usize).copied().ok_or(bad)
}

fn state_bits(s: MemberState) -> u64 {
    u64::from(s.left) | u64::from(s.dead) << 1 | u64::from(s.list_service_lost) << 2
}

fn about_member(kind: Kind, id: MemberId, m: &Member) -> Frame {
    Frame::new(kind)
        .text(Field::INSTANCE, &m.name)
        .int(Field::RUN, id.run.0)
        .text(Field::ADDRESS, &m.address)
        .int(Field::INCARNATION, m.state.incarnation)
        .int(Field::STATE, state_bits(m.state))
        .int(Field::DOUBTS, u64::from(m.state.suspicions))
}

/// First on every link: see [`Outside::join`]. It tells as well that this one reads rows of a list many to a frame.
pub fn join_frame(fleet: &str, me: MemberId, member: &Member, known: u64) -> Frame {
    let f = about_member(Kind::JOIN, me, member).text(Field::FLEET, fleet).int(Field::KNOWN, known);
    f.int(Field::READS_ROWS, 1)
}

/// What is believed of a member.
pub fn member_frame(id: MemberId, member: &Member) -> Frame {
    about_member(Kind::MEMBER, id, member)
}

fn read_member(f: &Frame) -> Result<(MemberId, &str, &str, MemberState), WireError> {
    let (name, bits) = (f.get_text(Field::INSTANCE)?, f.get_int(Field::STATE)?);
    let doubts = f.get_int(Field::DOUBTS)?;
    let doubts =
        u8::try_from(doubts).map_err(|_| WireError::NotA(f.kind.0, Field::DOUBTS.0, "a row of rings"))?;
    let (left, dead, blind) = (bits & 1 != 0, bits & 2 != 0, bits & 4 != 0);
    let state = MemberState {
        incarnation: f.get_int(Field::INCARNATION)?,
        left,
        dead,
        list_service_lost: blind,
        suspicions: doubts,
    };
    let id = MemberId { instance: InstanceId::of(name), run: Run(f.get_int(Field::RUN)?) };
    Ok((id, name, f.get_text(Field::ADDRESS)?, state))
}

fn held(f: &Frame) -> Result<Option<(u64, u64)>, WireError> {
    Ok(f.maybe_int(Field::EPOCH)?.zip(f.maybe_int(Field::LIST_VERSION)?))
}

fn with_held(frame: Frame, held: Option<(u64, u64)>) -> Frame {
    match held {
        Some((epoch, version)) => frame.int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version),
        None => frame,
    }
}

/// A sign of life: see [`Outside::beat`].
pub fn heartbeat_frame(
    (tag, echo): (u64, u64), digest: u64, held: Option<(u64, u64)>, age: Option<Time>, sure: bool,
    answer: bool,
) -> Frame {
    let mut f = with_held(Frame::new(Kind::BEAT).int(Field::TAG, tag).int(Field::ECHO, echo), held);
    f = f.int(Field::DIGEST, digest).int(Field::SURE, u64::from(sure));
    if let Some(age) = age {
        f = f.int(Field::AGE, age.0);
    }
    f.int(Field::WANTED, u64::from(answer))
}

/// Asks a peer or the list service for what is newer than the list held.
pub fn list_request_frame(held: Option<(u64, u64)>) -> Frame {
    with_held(Frame::new(Kind::WATCH), held)
}

/// A list begins; `from`: the version that it changes, none where it is whole.
pub fn list_begin_frame((epoch, version): (u64, u64), from: Option<u64>) -> Frame {
    let f = Frame::new(Kind::LIST).int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version);
    from.map_or(f.clone(), |from| f.int(Field::FROM, from))
}

/// One worker of a list, as it goes to peers and to disk.
pub fn entry_frame(now: Time, name: &str, e: &EndpointEntry) -> Frame {
    let f = Frame::new(Kind::CHANGE).text(Field::WORKER, name).text(Field::ADDRESS, &e.address);
    let f = f.int(Field::STANDING, lifecycle_code(e.lifecycle)).int(Field::START, e.start);
    let f = f.text(Field::ZONE, &e.zone).text(Field::CELL, &e.cell).float(Field::SIZE, e.size);
    match e.started_at {
        Some(since) => f.int(Field::AGE, (now - since).0),
        None => f,
    }
}

/// One worker of a list, its name first.
pub fn read_entry(now: Time, f: &Frame) -> Result<(&str, EndpointEntry), WireError> {
    let text = |field| f.maybe_text(field).map(|t| t.unwrap_or("").to_owned());
    let entry = EndpointEntry {
        address: text(Field::ADDRESS)?,
        lifecycle: read_lifecycle(f)?,
        start: f.maybe_int(Field::START)?.unwrap_or(0),
        started_at: f.maybe_int(Field::AGE)?.map(|age| now - Time(age)),
        zone: text(Field::ZONE)?,
        cell: text(Field::CELL)?,
        size: f.maybe_float(Field::SIZE)?.unwrap_or(1.0),
    };
    Ok((f.get_text(Field::WORKER)?, entry))
}

/// What a row of a list takes in a frame, at most.
pub(crate) fn row_size(name: &str, e: &EndpointEntry) -> usize {
    // The numbers of eight fields, the heads of four texts, four numbers, and the length of it all.
    const REST: usize = 60;
    REST + name.len() + e.address.len() + e.zone.len() + e.cell.len()
}

/// Some workers of a list, for one who has said that it reads them: for each the length of its fields, two bytes, and the
/// fields as [`entry_frame`] writes them.
pub fn entries_frame(now: Time, rows: &[(&str, &EndpointEntry)]) -> Frame {
    let mut body = Vec::new();
    for (name, e) in rows {
        let row = entry_frame(now, name, e);
        body.extend_from_slice(&(row.head().len() as u16).to_be_bytes());
        body.extend_from_slice(row.head());
    }
    Frame::new(Kind::LIST_ROWS).body(body)
}

/// The workers that a frame tells, all or none.
pub fn read_entries(now: Time, f: &Frame) -> Result<Vec<(String, EndpointEntry)>, WireError> {
    let bad = || WireError::NotA(f.kind.0, Field::ROWS.0, "rows of a list");
    let (mut left, mut rows) = (&f.body[..], Vec::new());
    while let Some((length, rest)) = left.split_first_chunk() {
        let (fields, rest) =
            rest.split_at_checked(usize::from(u16::from_be_bytes(*length))).ok_or_else(bad)?;
        if rows.len() == MOST_ROWS {
            return Err(bad());
        }
        let row = Frame::read(Kind::CHANGE, fields, Default::default())?;
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

/// The list that was begun is at its end.
pub fn list_end_frame() -> Frame {
    Frame::new(Kind::LIST_END)
}

/// What some instances have seen of functions at workers.
pub fn hints_frame(now: Time, seen: &[Observation]) -> Frame {
    let row = |s: &Observation| {
        let age = (now - s.observed_at).0;
        [s.worker.0, s.function.0, code(&HINTS, s.hint), s.held_rpcs, age, s.run.0, s.seq]
    };
    let rows: Vec<u64> = seen.iter().flat_map(row).collect();
    Frame::new(Kind::HINTS).ints(Field::ROWS, &rows)
}

/// What others have seen of functions at workers; what cannot be known here yet is passed over.
fn read_hints(now: Time, f: &Frame) -> Result<Vec<Observation>, WireError> {
    let rows = f.get_ints(Field::ROWS)?;
    if rows.len() % HINT != 0 {
        return Err(WireError::NotA(f.kind.0, Field::ROWS.0, "rows of hints"));
    }
    let row = |r: &[u64]| {
        let (worker, function, at) = (WorkerId(r[0]), FunctionId(r[1]), now - Time(r[4]));
        let hint = HINTS.get(r[2] as usize).copied()?;
        Some(Observation {
            worker,
            function,
            hint,
            held_rpcs: r[3],
            observed_at: at,
            run: Run(r[5]),
            seq: r[6],
        })
    };
    Ok(rows.chunks_exact(HINT).filter_map(row).collect())
}

/// Reads what a peer says into the fleet; false: a kind that is none of the fleet's, and is passed over. An error tells
/// what cannot be read; nothing was taken then, and the link is to be closed.
pub fn dispatch(
    fleet: &mut Fleet, now: Time, out: &mut impl FleetDriver, link: LinkId, f: &Frame,
) -> Result<bool, WireError> {
    match f.kind {
        Kind::JOIN => {
            let (id, name, address, state) = read_member(f)?;
            let (of, known) = (f.get_text(Field::FLEET)?, f.get_int(Field::KNOWN)?);
            if f.maybe_int(Field::READS_ROWS)? == Some(1) {
                fleet.peer_reads_list_rows(link);
            }
            fleet.join_received(now, out, link, of, id, name, address, state, known);
        }
        Kind::MEMBER => {
            let (id, name, address, state) = read_member(f)?;
            fleet.member_received(now, out, link, id, name, address, state);
        }
        Kind::BEAT => {
            let (tags, digest) =
                ((f.get_int(Field::TAG)?, f.get_int(Field::ECHO)?), f.get_int(Field::DIGEST)?);
            let (held, age) = (held(f)?, f.maybe_int(Field::AGE)?.map(Time));
            let (sure, answer) = (f.get_int(Field::SURE)? == 1, f.get_int(Field::WANTED)? == 1);
            fleet.heartbeat_received(now, out, link, tags, digest, held, age, sure, answer);
        }
        Kind::WATCH => fleet.list_requested(now, out, link, held(f)?),
        Kind::HINTS => fleet.hints_received(now, out, link, read_hints(now, f)?),
        Kind::DIRECTORY | Kind::ASK | Kind::COPIES | Kind::SIGHTS => {
            return directory::dispatch(fleet, now, out, link, f);
        }
        _ => return dispatch_list(fleet, now, out, Some(link), f),
    }
    Ok(true)
}

/// Reads a frame of a list into the fleet, from a peer or (none) from the list service; else as [`read`].
pub fn dispatch_list(
    fleet: &mut Fleet, now: Time, out: &mut impl FleetDriver, on: Option<LinkId>, f: &Frame,
) -> Result<bool, WireError> {
    match f.kind {
        Kind::LIST => {
            let (epoch, version) = (f.get_int(Field::EPOCH)?, f.get_int(Field::LIST_VERSION)?);
            fleet.list_begin_received(now, on, epoch, version, f.maybe_int(Field::FROM)?);
        }
        Kind::CHANGE => {
            let (name, entry) = read_entry(now, f)?;
            fleet.list_entry_received(now, on, name, entry);
        }
        Kind::LIST_ROWS => {
            for (name, entry) in read_entries(now, f)? {
                fleet.list_entry_received(now, on, &name, entry);
            }
        }
        Kind::LIST_END => fleet.list_end_received(now, out, on),
        _ => return Ok(false),
    }
    Ok(true)
}
