use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_trigger::{AnswerKind, FinalAnswer, MessageKey};
use minicbor::decode::{Decoder, Error};
use minicbor::encode::Encoder;

/// Who is told what the records say. Moments are those of the clock that the writer went by.
pub trait RecordVisitor {
    /// Attempts may have been sent for it from this moment on.
    fn intent(&mut self, name: MessageKey, at: Time);
    /// It was answered; the broker may have the answer.
    fn answer(&mut self, name: MessageKey, at: Time, answer: FinalAnswer);
}

const INTENT: u8 = 1;
const ANSWER: u8 = 2;
const ENDS: [AnswerKind; 3] = [AnswerKind::Ok, AnswerKind::Denied, AnswerKind::Aborted];

fn encoded(write: impl FnOnce(&mut Encoder<&mut Vec<u8>>) -> Option<()>) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory does not fail.
    let _ = write(&mut Encoder::new(&mut out));
    out
}

pub(crate) fn of_intent(at: Time) -> Vec<u8> {
    encoded(|e| e.u8(INTENT).ok()?.u64(at.0).ok().map(drop))
}

pub(crate) fn of_answer(at: Time, answer: &FinalAnswer) -> Vec<u8> {
    let end = ENDS.iter().position(|e| *e == answer.kind).unwrap_or(2) as u8;
    encoded(|e| {
        e.u8(ANSWER)
            .ok()?
            .u64(at.0)
            .ok()?
            .u8(end)
            .ok()?
            .str(&answer.reason)
            .ok()?
            .bytes(&answer.body)
            .ok()
            .map(drop)
    })
}

pub(crate) fn read(name: MessageKey, record: &[u8], reader: &mut impl RecordVisitor) -> Result<(), Error> {
    let mut d = Decoder::new(record);
    let (kind, at) = (d.u8()?, Time(d.u64()?));
    match kind {
        INTENT => reader.intent(name, at),
        ANSWER => {
            let end = d.u8()?;
            let end = *ENDS.get(usize::from(end)).ok_or_else(|| Error::message("no such end"))?;
            let (why, body) = (d.str()?.to_owned(), Bytes::copy_from_slice(d.bytes()?));
            reader.answer(name, at, FinalAnswer { kind: end, reason: why, body });
        }
        _ => return Err(Error::message("no such record")),
    }
    Ok(())
}
