//! Frames of the copy directory in the native protocol, and their dispatch to the fleet.

use curlewpoint::types::{FunctionId, Time, WorkerId};
use curlewpoint_wire::{Field, Frame, Kind, WireError};

use crate::driver::{FleetDriver, LinkId};
use crate::fleet::Fleet;
use crate::frames::{code, HINTS};
use crate::hints::Observation;
use crate::members::RunId;

/// Integers per row.
const ROW_INTEGERS: usize = 7;
/// Maximum number of rows or function names in one frame.
const MAX_ROWS: usize = 1_024;

/// Sent before the join frame: this instance takes part in the directory. `only`: the link is used for nothing
/// else; `just_started`: it has just started and knows nothing.
pub fn join_frame(only: bool, just_started: bool) -> Frame {
    Frame::new(Kind::DIRECTORY_JOIN)
        .int(Field::DIRECTORY_ONLY, u64::from(only))
        .int(Field::JUST_STARTED, u64::from(just_started))
}

/// A question about functions.
pub fn query_frame(functions: &[FunctionId]) -> Frame {
    Frame::new(Kind::DIRECTORY_QUERY).ints(Field::FUNCTIONS, &function_ids(functions))
}

/// The answer for some functions, and changes of others.
pub fn update_frame(now: Time, answered: &[FunctionId], observations: &[Observation]) -> Frame {
    let f = Frame::new(Kind::DIRECTORY_UPDATE);
    let f = if answered.is_empty() { f } else { f.ints(Field::FUNCTIONS, &function_ids(answered)) };
    f.ints(Field::ROWS, &rows(now, observations))
}

/// Observations for the holders of their functions.
pub fn observations_frame(now: Time, observations: &[Observation]) -> Frame {
    Frame::new(Kind::OBSERVATIONS).ints(Field::ROWS, &rows(now, observations))
}

fn function_ids(functions: &[FunctionId]) -> Vec<u64> {
    functions.iter().map(|f| f.0).collect()
}

fn rows(now: Time, observations: &[Observation]) -> Vec<u64> {
    let row = |s: &Observation| {
        [s.worker.0, s.function.0, code(&HINTS, s.hint), s.rpcs_held, (now - s.observed_at).0, s.run.0, s.seq]
    };
    observations.iter().flat_map(row).collect()
}

fn read_function_ids(f: &Frame) -> Result<Vec<FunctionId>, WireError> {
    let function_ids = f.get_ints(Field::FUNCTIONS)?;
    if function_ids.len() > MAX_ROWS {
        // Sent to the peer in a FAULT frame; kept as earlier releases send it.
        return Err(WireError::WrongType(f.kind.0, Field::FUNCTIONS.0, "so few names"));
    }
    Ok(function_ids.into_iter().map(FunctionId).collect())
}

/// Reads rows; hints of kinds that only a later release knows are skipped.
fn read_observations(now: Time, f: &Frame) -> Result<Vec<Observation>, WireError> {
    let rows = f.get_ints(Field::ROWS)?;
    if rows.len() % ROW_INTEGERS != 0 || rows.len() > ROW_INTEGERS * MAX_ROWS {
        return Err(WireError::WrongType(f.kind.0, Field::ROWS.0, "rows of copies"));
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
    Ok(rows.chunks_exact(ROW_INTEGERS).filter_map(row).collect())
}

/// Passes a frame to the fleet; false if it is not a directory frame. On an error the frame is malformed and
/// its link is to be closed.
pub fn dispatch(
    fleet: &mut Fleet, now: Time, driver: &mut impl FleetDriver, link: LinkId, f: &Frame,
) -> Result<bool, WireError> {
    match f.kind {
        Kind::DIRECTORY_JOIN => {
            let (only, just_started) =
                (f.get_int(Field::DIRECTORY_ONLY)? == 1, f.get_int(Field::JUST_STARTED)? == 1);
            fleet.directory_join_received(now, driver, link, only);
            if just_started {
                fleet.peer_just_started(link);
            }
        }
        Kind::DIRECTORY_QUERY => {
            let functions = read_function_ids(f)?;
            fleet.directory_query_received(now, driver, link, functions);
        }
        Kind::DIRECTORY_UPDATE => {
            let (answered, observations) = (read_function_ids(f)?, read_observations(now, f)?);
            fleet.directory_update_received(now, driver, link, answered, observations);
        }
        Kind::OBSERVATIONS => {
            let observations = read_observations(now, f)?;
            fleet.observations_received(now, driver, link, observations);
        }
        _ => return Ok(false),
    }
    Ok(true)
}
