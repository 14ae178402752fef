use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_trigger::{AnswerKind, FinalAnswer, MessageKey};
use minicbor::decode::{Decoder, Error};
use minicbor::encode::Encoder;

/// Receives the records of a journal. Times are those of the clock of the writing process.
pub trait RecordVisitor {
    /// Attempts for this message may have been sent since `at`.
    fn intent(&mut self, key: MessageKey, at: Time);
    /// The message was answered at `at`. The broker may have the answer.
    fn answer(&mut self, key: MessageKey, at: Time, answer: FinalAnswer);
}

const INTENT: u8 = 1;
const ANSWER: u8 = 2;
/// Encoded as their index; the order is part of the file format.
const ANSWER_KINDS: [AnswerKind; 3] = [AnswerKind::Ok, AnswerKind::Denied, AnswerKind::Aborted];

fn encode(write: impl FnOnce(&mut Encoder<&mut Vec<u8>>) -> Option<()>) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory does not fail.
    let _ = write(&mut Encoder::new(&mut out));
    out
}

pub(crate) fn encode_intent(at: Time) -> Vec<u8> {
    encode(|e| e.u8(INTENT).ok()?.u64(at.0).ok().map(drop))
}

pub(crate) fn encode_answer(at: Time, answer: &FinalAnswer) -> Vec<u8> {
    let kind_index = ANSWER_KINDS.iter().position(|e| *e == answer.kind).unwrap_or(2) as u8;
    encode(|e| {
        e.u8(ANSWER)
            .ok()?
            .u64(at.0)
            .ok()?
            .u8(kind_index)
            .ok()?
            .str(&answer.reason)
            .ok()?
            .bytes(&answer.body)
            .ok()
            .map(drop)
    })
}

pub(crate) fn decode(key: MessageKey, record: &[u8], visitor: &mut impl RecordVisitor) -> Result<(), Error> {
    let mut d = Decoder::new(record);
    let (record_kind, at) = (d.u8()?, Time(d.u64()?));
    match record_kind {
        INTENT => visitor.intent(key, at),
        ANSWER => {
            let kind_index = d.u8()?;
            let kind = *ANSWER_KINDS
                .get(usize::from(kind_index))
                .ok_or_else(|| Error::message("unknown kind of answer"))?;
            let (reason, body) = (d.str()?.to_owned(), Bytes::copy_from_slice(d.bytes()?));
            visitor.answer(key, at, FinalAnswer { kind, reason, body });
        }
        _ => return Err(Error::message("unknown kind of record")),
    }
    Ok(())
}
