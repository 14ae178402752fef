//! The frames between instances of a fleet: what a [`Fleet`] says as the bytes of the native protocol, and how what a
//! peer says is read straight into a call. The daemon sends them over sockets, the scale rig over a made-up network.

use curlewpoint::types::{FunctionId, Hint, Lifecycle as Ready, Time, WorkerId};
use curlewpoint_wire::{Field, Frame, Kind, WireError};

use crate::book::Entry;
use crate::directory::frames as directory;
use crate::fleet::Fleet;
use crate::hints::Seen;
use crate::members::{InstanceId, Member, MemberId, Run, Standing};
use crate::outside::{LinkId, Outside};

/// Rows in one frame of a list at most.
const MOST_ROWS: usize = 1_024;
/// Numbers that a row of hints takes.
const HINT: usize = 7;
/// What a list says of a worker, by its number on the wire.
const STANDINGS: [Ready; 3] = [Ready::Ready, Ready::Draining, Ready::Gone];
/// What a row of hints tells, by its number on the wire.
pub(crate) const HINTS: [Hint; 4] = [Hint::Gone, Hint::Full, Hint::Loading, Hint::Warm];

pub(crate) fn code<T: Copy + PartialEq>(all: &[T], of: T) -> u64 {
    all.iter().position(|x| *x == of).map_or(0, |no| no as u64)
}

/// The number that stands for a worker's standing.
pub fn standing_code(of: Ready) -> u64 {
    code(&STANDINGS, of)
}

/// A worker's standing as a frame tells it; an error where the field is missing or holds no such number.
pub fn read_standing(f: &Frame) -> Result<Ready, WireError> {
    let no = f.get_int(Field::LIFECYCLE)?;
    let bad = WireError::WrongType(f.kind.0, Field::LIFECYCLE.0, "a standing");
    STANDINGS.get(no as usize).copied().ok_or(bad)
}

fn state(s: Standing) -> u64 {
    u64::from(s.left) | u64::from(s.dead) << 1 | u64::from(s.blind) << 2
}

fn about_member(kind: Kind, id: MemberId, m: &Member) -> Frame {
    Frame::new(kind)
        .text(Field::INSTANCE, &m.name)
        .int(Field::RUN_ID, id.run.0)
        .text(Field::ADDRESS, &m.address)
        .int(Field::INCARNATION, m.standing.incarnation)
        .int(Field::STATE, state(m.standing))
        .int(Field::UNHEARD_RINGS, u64::from(m.standing.doubts))
}

/// First on every link: see [`Outside::join`]. It tells as well that this one reads rows of a list many to a frame.
pub fn join_frame(fleet: &str, me: MemberId, member: &Member, known: u64) -> Frame {
    let f = about_member(Kind::JOIN, me, member).text(Field::FLEET, fleet).int(Field::KNOWN_MEMBERS, known);
    f.int(Field::READS_LIST_ENTRIES, 1)
}

/// What is believed of a member.
pub fn member_frame(id: MemberId, member: &Member) -> Frame {
    about_member(Kind::MEMBER, id, member)
}

fn read_member(f: &Frame) -> Result<(MemberId, &str, &str, Standing), WireError> {
    let (name, state) = (f.get_text(Field::INSTANCE)?, f.get_int(Field::STATE)?);
    let doubts = f.get_int(Field::UNHEARD_RINGS)?;
    let doubts = u8::try_from(doubts)
        .map_err(|_| WireError::WrongType(f.kind.0, Field::UNHEARD_RINGS.0, "a row of rings"))?;
    let (left, dead, blind) = (state & 1 != 0, state & 2 != 0, state & 4 != 0);
    let standing = Standing { incarnation: f.get_int(Field::INCARNATION)?, left, dead, blind, doubts };
    let id = MemberId { instance: InstanceId::of(name), run: Run(f.get_int(Field::RUN_ID)?) };
    Ok((id, name, f.get_text(Field::ADDRESS)?, standing))
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
pub fn beat_frame(
    (tag, echo): (u64, u64), digest: u64, held: Option<(u64, u64)>, age: Option<Time>, sure: bool,
    answer: bool,
) -> Frame {
    let mut f =
        with_held(Frame::new(Kind::HEARTBEAT).int(Field::TAG, tag).int(Field::ECHOED_TAG, echo), held);
    f = f.int(Field::DIGEST, digest).int(Field::COUNT_IS_SURE, u64::from(sure));
    if let Some(age) = age {
        f = f.int(Field::AGE, age.0);
    }
    f.int(Field::REPLY_WANTED, u64::from(answer))
}

/// Asks a peer or the list service for what is newer than the list held.
pub fn ask_list_frame(held: Option<(u64, u64)>) -> Frame {
    with_held(Frame::new(Kind::WATCH), held)
}

/// A list begins; `from`: the version that it changes, none where it is whole.
pub fn list_frame((epoch, version): (u64, u64), from: Option<u64>) -> Frame {
    let f = Frame::new(Kind::LIST_BEGIN).int(Field::EPOCH, epoch).int(Field::LIST_VERSION, version);
    from.map_or(f.clone(), |from| f.int(Field::BASE_VERSION, from))
}

/// One worker of a list, as it goes to peers and to disk.
pub fn entry_frame(now: Time, name: &str, e: &Entry) -> Frame {
    let f = Frame::new(Kind::LIST_ENTRY).text(Field::WORKER, name).text(Field::ADDRESS, &e.address);
    let f = f.int(Field::LIFECYCLE, standing_code(e.standing)).int(Field::START_ID, e.start);
    let f = f.text(Field::ZONE, &e.zone).text(Field::CELL, &e.cell).float(Field::SIZE, e.size);
    match e.since {
        Some(since) => f.int(Field::AGE, (now - since).0),
        None => f,
    }
}

/// One worker of a list, its name first.
pub fn read_entry(now: Time, f: &Frame) -> Result<(&str, Entry), WireError> {
    let text = |field| f.maybe_text(field).map(|t| t.unwrap_or("").to_owned());
    let entry = Entry {
        address: text(Field::ADDRESS)?,
        standing: read_standing(f)?,
        start: f.maybe_int(Field::START_ID)?.unwrap_or(0),
        since: f.maybe_int(Field::AGE)?.map(|age| now - Time(age)),
        zone: text(Field::ZONE)?,
        cell: text(Field::CELL)?,
        size: f.maybe_float(Field::SIZE)?.unwrap_or(1.0),
    };
    Ok((f.get_text(Field::WORKER)?, entry))
}

/// What a row of a list takes in a frame, at most.
pub(crate) fn row_size(name: &str, e: &Entry) -> usize {
    // The numbers of eight fields, the heads of four texts, four numbers, and the length of it all.
    const REST: usize = 60;
    REST + name.len() + e.address.len() + e.zone.len() + e.cell.len()
}

/// Some workers of a list, for one who has said that it reads them: for each the length of its fields, two bytes, and the
/// fields as [`entry_frame`] writes them.
pub fn rows_frame(now: Time, rows: &[(&str, &Entry)]) -> Frame {
    let mut body = Vec::new();
    for (name, e) in rows {
        let row = entry_frame(now, name, e);
        body.extend_from_slice(&(row.header().len() as u16).to_be_bytes());
        body.extend_from_slice(row.header());
    }
    Frame::new(Kind::LIST_ENTRIES).body(body)
}

/// The workers that a frame tells, all or none.
pub fn read_rows(now: Time, f: &Frame) -> Result<Vec<(String, Entry)>, WireError> {
    let bad = || WireError::WrongType(f.kind.0, Field::ROWS.0, "rows of a list");
    let (mut left, mut rows) = (&f.body[..], Vec::new());
    while let Some((length, rest)) = left.split_first_chunk() {
        let (fields, rest) =
            rest.split_at_checked(usize::from(u16::from_be_bytes(*length))).ok_or_else(bad)?;
        if rows.len() == MOST_ROWS {
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

/// The list that was begun is at its end.
pub fn list_end_frame() -> Frame {
    Frame::new(Kind::LIST_END)
}

/// What some instances have seen of functions at workers.
pub fn hints_frame(now: Time, seen: &[Seen]) -> Frame {
    let row = |s: &Seen| {
        let age = (now - s.at).0;
        [s.worker.0, s.function.0, code(&HINTS, s.hint), s.held, age, s.run.0, s.no]
    };
    let rows: Vec<u64> = seen.iter().flat_map(row).collect();
    Frame::new(Kind::HINTS).ints(Field::ROWS, &rows)
}

/// What others have seen of functions at workers; what cannot be known here yet is passed over.
fn read_hints(now: Time, f: &Frame) -> Result<Vec<Seen>, WireError> {
    let rows = f.get_ints(Field::ROWS)?;
    if rows.len() % HINT != 0 {
        return Err(WireError::WrongType(f.kind.0, Field::ROWS.0, "rows of hints"));
    }
    let row = |r: &[u64]| {
        let (worker, function, at) = (WorkerId(r[0]), FunctionId(r[1]), now - Time(r[4]));
        let hint = HINTS.get(r[2] as usize).copied()?;
        Some(Seen { worker, function, hint, held: r[3], at, run: Run(r[5]), no: r[6] })
    };
    Ok(rows.chunks_exact(HINT).filter_map(row).collect())
}

/// Reads what a peer says into the fleet; false: a kind that is none of the fleet's, and is passed over. An error tells
/// what cannot be read; nothing was taken then, and the link is to be closed.
pub fn read(
    fleet: &mut Fleet, now: Time, out: &mut impl Outside, link: LinkId, f: &Frame,
) -> Result<bool, WireError> {
    match f.kind {
        Kind::JOIN => {
            let (id, name, address, standing) = read_member(f)?;
            let (of, known) = (f.get_text(Field::FLEET)?, f.get_int(Field::KNOWN_MEMBERS)?);
            if f.maybe_int(Field::READS_LIST_ENTRIES)? == Some(1) {
                fleet.reads_rows(link);
            }
            fleet.joined(now, out, link, of, id, name, address, standing, known);
        }
        Kind::MEMBER => {
            let (id, name, address, standing) = read_member(f)?;
            fleet.member(now, out, link, id, name, address, standing);
        }
        Kind::HEARTBEAT => {
            let (tags, digest) =
                ((f.get_int(Field::TAG)?, f.get_int(Field::ECHOED_TAG)?), f.get_int(Field::DIGEST)?);
            let (held, age) = (held(f)?, f.maybe_int(Field::AGE)?.map(Time));
            let (sure, answer) =
                (f.get_int(Field::COUNT_IS_SURE)? == 1, f.get_int(Field::REPLY_WANTED)? == 1);
            fleet.beaten(now, out, link, tags, digest, held, age, sure, answer);
        }
        Kind::WATCH => fleet.list_asked(now, out, link, held(f)?),
        Kind::HINTS => fleet.hinted(now, out, link, read_hints(now, f)?),
        Kind::DIRECTORY_JOIN | Kind::DIRECTORY_QUERY | Kind::DIRECTORY_UPDATE | Kind::OBSERVATIONS => {
            return directory::read(fleet, now, out, link, f);
        }
        _ => return read_list(fleet, now, out, Some(link), f),
    }
    Ok(true)
}

/// Reads a frame of a list into the fleet, from a peer or (none) from the list service; else as [`read`].
pub fn read_list(
    fleet: &mut Fleet, now: Time, out: &mut impl Outside, on: Option<LinkId>, f: &Frame,
) -> Result<bool, WireError> {
    match f.kind {
        Kind::LIST_BEGIN => {
            let (epoch, version) = (f.get_int(Field::EPOCH)?, f.get_int(Field::LIST_VERSION)?);
            fleet.list_begins(now, on, epoch, version, f.maybe_int(Field::BASE_VERSION)?);
        }
        Kind::LIST_ENTRY => {
            let (name, entry) = read_entry(now, f)?;
            fleet.list_row(now, on, name, entry);
        }
        Kind::LIST_ENTRIES => {
            for (name, entry) in read_rows(now, f)? {
                fleet.list_row(now, on, &name, entry);
            }
        }
        Kind::LIST_END => fleet.list_ends(now, out, on),
        _ => return Ok(false),
    }
    Ok(true)
}
