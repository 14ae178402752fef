//! Numeric codes of outcomes, copy states and answers in fields of the wire protocol.

use curlewpoint::types::{CopyReport, Outcome};
use curlewpoint_engine::{Answer, Refusal};
pub use curlewpoint_fleet::frames::lifecycle_code;
pub(crate) use curlewpoint_fleet::frames::read_lifecycle as lifecycle;
use curlewpoint_wire::{Field, Frame, WireError};

/// The code of a value is its index in the table.
fn code<T: std::marker::Copy + PartialEq>(table: &[T], value: T) -> u64 {
    table.iter().position(|x| *x == value).map_or(0, |index| index as u64)
}

fn read<T: std::marker::Copy>(
    frame: &Frame, field: Field, table: &[T], expected: &'static str,
) -> Result<T, WireError> {
    let code = frame.get_int(field)?;
    table.get(code as usize).copied().ok_or(WireError::WrongType(frame.kind.0, field.0, expected))
}

// The order of each table is part of the protocol.
const OUTCOMES: [Outcome; 4] = [Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Miss];
const COPY_STATES: [CopyReport; 5] = [
    CopyReport::Unreported,
    CopyReport::Warm,
    CopyReport::BeganLoad,
    CopyReport::WaitedForLoad,
    CopyReport::LoadFailed,
];
const ANSWERS: [Answer; 3] = [Answer::Ok, Answer::Denied, Answer::Aborted];

pub fn outcome_code(outcome: Outcome) -> u64 {
    code(&OUTCOMES, outcome)
}

pub(crate) fn outcome(frame: &Frame) -> Result<Outcome, WireError> {
    read(frame, Field::OUTCOME, &OUTCOMES, "an outcome")
}

pub fn copy_code(copy: CopyReport) -> u64 {
    code(&COPY_STATES, copy)
}

pub(crate) fn copy(frame: &Frame) -> Result<CopyReport, WireError> {
    if frame.has(Field::COPY_STATUS) {
        // Sent to the peer in a FAULT frame; kept as earlier releases send it.
        read(frame, Field::COPY_STATUS, &COPY_STATES, "word of a copy")
    } else {
        Ok(CopyReport::Unreported)
    }
}

pub fn answer_code(answer: Answer) -> u64 {
    code(&ANSWERS, answer)
}

/// Reads the final answer from a frame to a client.
pub fn read_answer(frame: &Frame) -> Result<Answer, WireError> {
    read(frame, Field::OUTCOME, &ANSWERS, "an answer")
}

/// The name of a refusal on the wire.
pub fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
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
