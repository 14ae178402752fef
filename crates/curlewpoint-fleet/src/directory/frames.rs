//! The frames of the directory, as the bytes of the native protocol, and how they are read straight into calls.

use curlewpoint::types::{FunctionId, Time, WorkerId};
use curlewpoint_wire::{Field, Frame, Kind, WireError};

use crate::fleet::Fleet;
use crate::frames::{code, HINTS};
use crate::hints::Observation;
use crate::members::Run;
use crate::outside::{FleetDriver, LinkId};

/// Numbers that a row takes.
const ROW: usize = 7;
/// Rows or names in one frame at most.
const MOST: usize = 1_024;

/// Before the frame that tells who speaks: this instance takes part; `only`: the link is for nothing else; `starts`: it
/// has just started, and knows nothing.
pub fn announce_frame(only: bool, starts: bool) -> Frame {
    Frame::new(Kind::DIRECTORY).int(Field::ONLY, u64::from(only)).int(Field::STARTS, u64::from(starts))
}

/// A question for what is known of functions.
pub fn copies_request_frame(functions: &[FunctionId]) -> Frame {
    Frame::new(Kind::ASK).ints(Field::FUNCTIONS, &names(functions))
}

/// The answer for some functions, and changes of others.
pub fn copies_frame(now: Time, answered: &[FunctionId], seen: &[Observation]) -> Frame {
    let f = Frame::new(Kind::COPIES);
    let f = if answered.is_empty() { f } else { f.ints(Field::FUNCTIONS, &names(answered)) };
    f.ints(Field::ROWS, &rows(now, seen))
}

/// Rows for those who hold them.
pub fn observations_frame(now: Time, seen: &[Observation]) -> Frame {
    Frame::new(Kind::SIGHTS).ints(Field::ROWS, &rows(now, seen))
}

fn names(functions: &[FunctionId]) -> Vec<u64> {
    functions.iter().map(|f| f.0).collect()
}

fn rows(now: Time, seen: &[Observation]) -> Vec<u64> {
    let row = |s: &Observation| {
        [s.worker.0, s.function.0, code(&HINTS, s.hint), s.held_rpcs, (now - s.observed_at).0, s.run.0, s.seq]
    };
    seen.iter().flat_map(row).collect()
}

fn read_names(f: &Frame) -> Result<Vec<FunctionId>, WireError> {
    let names = f.get_ints(Field::FUNCTIONS)?;
    if names.len() > MOST {
        return Err(WireError::NotA(f.kind.0, Field::FUNCTIONS.0, "so few names"));
    }
    Ok(names.into_iter().map(FunctionId).collect())
}

/// Rows; what a later version may tell is passed over.
fn read_observations(now: Time, f: &Frame) -> Result<Vec<Observation>, WireError> {
    let rows = f.get_ints(Field::ROWS)?;
    if rows.len() % ROW != 0 || rows.len() > ROW * MOST {
        return Err(WireError::NotA(f.kind.0, Field::ROWS.0, "rows of copies"));
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
    Ok(rows.chunks_exact(ROW).filter_map(row).collect())
}

/// Reads a frame into a call; false: it is none of the directory's. An error: it is spoilt, and its link is to be closed.
pub fn dispatch(
    fleet: &mut Fleet, now: Time, out: &mut impl FleetDriver, link: LinkId, f: &Frame,
) -> Result<bool, WireError> {
    match f.kind {
        Kind::DIRECTORY => {
            let (only, starts) = (f.get_int(Field::ONLY)? == 1, f.get_int(Field::STARTS)? == 1);
            fleet.peer_supports_directory(now, out, link, only);
            if starts {
                fleet.peer_just_started(link);
            }
        }
        Kind::ASK => {
            let functions = read_names(f)?;
            fleet.copies_requested(now, out, link, functions);
        }
        Kind::COPIES => {
            let (answered, seen) = (read_names(f)?, read_observations(now, f)?);
            fleet.copies_received(now, out, link, answered, seen);
        }
        Kind::SIGHTS => {
            let seen = read_observations(now, f)?;
            fleet.observations_received(now, out, link, seen);
        }
        _ => return Ok(false),
    }
    Ok(true)
}
