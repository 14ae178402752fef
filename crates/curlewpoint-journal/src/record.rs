use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_trigger::{End, Final, Name};
use minicbor::decode::{Decoder, Error};
use minicbor::encode::Encoder;

/// Who is told what the records say. Moments are those of the clock that the writer went by.
pub trait Reader {
    /// Attempts may have been sent for it from this moment on.
    fn intent(&mut self, name: Name, at: Time);
    /// It was answered; the broker may have the answer.
    fn answer(&mut self, name: Name, at: Time, answer: Final);
}

const INTENT: u8 = 1;
const ANSWER: u8 = 2;
const ENDS: [End; 3] = [End::Ok, End::Denied, End::Aborted];

fn encoded(write: impl FnOnce(&mut Encoder<&mut Vec<u8>>) -> Option<()>) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory does not fail.
    let _ = write(&mut Encoder::new(&mut out));
    out
}

pub(crate) fn of_intent(at: Time) -> Vec<u8> {
    encoded(|e| e.u8(INTENT).ok()?.u64(at.0).ok().map(drop))
}

pub(crate) fn of_answer(at: Time, answer: &Final) -> Vec<u8> {
    let end = ENDS.iter().position(|e| *e == answer.end).unwrap_or(2) as u8;
    encoded(|e| {
        e.u8(ANSWER)
            .ok()?
            .u64(at.0)
            .ok()?
            .u8(end)
            .ok()?
            .str(&answer.why)
            .ok()?
            .bytes(&answer.body)
            .ok()
            .map(drop)
    })
}

pub(crate) fn read(name: Name, record: &[u8], reader: &mut impl Reader) -> Result<(), Error> {
    let mut d = Decoder::new(record);
    let (kind, at) = (d.u8()?, Time(d.u64()?));
    match kind {
        INTENT => reader.intent(name, at),
        ANSWER => {
            let end = d.u8()?;
            let end = *ENDS.get(usize::from(end)).ok_or_else(|| Error::message("no such end"))?;
            let (why, body) = (d.str()?.to_owned(), Bytes::copy_from_slice(d.bytes()?));
            reader.answer(name, at, Final { end, why, body });
        }
        _ => return Err(Error::message("no such record")),
    }
    Ok(())
}
