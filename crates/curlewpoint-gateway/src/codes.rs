//! The numbers that stand for outcomes, answers and the like in the protocol's fields.

use curlewpoint::types::{CopyReport, Outcome};
use curlewpoint_engine::{Answer, Refusal};
pub use curlewpoint_fleet::frames::lifecycle_code as standing_code;
pub(crate) use curlewpoint_fleet::frames::read_lifecycle as standing;
use curlewpoint_wire::{Field, Frame, WireError};

fn code<T: std::marker::Copy + PartialEq>(all: &[T], of: T) -> u64 {
    all.iter().position(|x| *x == of).map_or(0, |no| no as u64)
}

fn read<T: std::marker::Copy>(
    frame: &Frame, field: Field, all: &[T], what: &'static str,
) -> Result<T, WireError> {
    let no = frame.get_int(field)?;
    all.get(no as usize).copied().ok_or(WireError::NotA(frame.kind.0, field.0, what))
}

/// What a worker may answer.
const OUTCOMES: [Outcome; 4] = [Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Miss];
const COPIES: [CopyReport; 5] = [
    CopyReport::Unreported,
    CopyReport::Warm,
    CopyReport::BeganLoad,
    CopyReport::WaitedForLoad,
    CopyReport::LoadFailed,
];
const ANSWERS: [Answer; 3] = [Answer::Ok, Answer::Denied, Answer::Aborted];

pub fn outcome_code(of: Outcome) -> u64 {
    code(&OUTCOMES, of)
}

pub(crate) fn outcome(frame: &Frame) -> Result<Outcome, WireError> {
    read(frame, Field::OUTCOME, &OUTCOMES, "an outcome")
}

pub fn copy_code(of: CopyReport) -> u64 {
    code(&COPIES, of)
}

pub(crate) fn copy(frame: &Frame) -> Result<CopyReport, WireError> {
    if frame.has(Field::COPY) {
        read(frame, Field::COPY, &COPIES, "word of a copy")
    } else {
        Ok(CopyReport::Unreported)
    }
}

pub fn answer_code(of: Answer) -> u64 {
    code(&ANSWERS, of)
}

/// The final answer that a frame tells a client.
pub fn answer_of(frame: &Frame) -> Result<Answer, WireError> {
    read(frame, Field::OUTCOME, &ANSWERS, "an answer")
}

/// Why an RPC was not taken, as a client reads it.
pub fn refusal_name(of: Refusal) -> &'static str {
    match of {
        Refusal::NoSuchMethod => "no-such-method",
        Refusal::Withdrawn => "withdrawn",
        Refusal::NoSuchTenant => "no-such-tenant",
        Refusal::Full => "full",
        Refusal::NoTime => "no-time",
        Refusal::Stopping => "stopping",
        Refusal::TagInUse => "tag-in-use",
        Refusal::BadModel => "bad-model",
        Refusal::BadToken => "bad-token",
    }
}
