//! The fields of what clients ask, and the words of the answers.

use curlewpoint::types::Time;

pub const CALL: &[u8] = b"CALL";
pub const CANCEL: &[u8] = b"CANCEL";
pub const CHECK: &[u8] = b"CHECK";

pub const GOOD: &str = "good";
pub const REFUSED: &str = "refused";
pub const BROKEN: &str = "broken";
pub const FIT: &str = "fit";
pub const UNFIT: &str = "unfit";
/// More is open on this connection than it may carry.
pub const ENOUGH: &str = "enough";

/// A field of `name=value,name=value`.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').find_map(|f| f.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v))
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}

/// A tag: a decimal number from 1 up.
pub fn parse_tag(word: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(word).ok().filter(|t| is_digits(t))?;
    text.parse().ok().filter(|tag| *tag > 0)
}

/// An id or a function: 16 hex digits.
pub fn parse_hex_id(text: &str) -> Option<&str> {
    (text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())).then_some(text)
}

/// A plain number, not negative, of digits and at most one point.
fn parse_number(text: &str) -> Option<f64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    (is_digits(whole) && is_digits(part)).then(|| text.parse().ok())?
}

/// How long no client waits.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;

/// The time that a client has left, in milliseconds on the wire.
pub fn parse_timeout(text: &str) -> Option<Time> {
    parse_number(text).filter(|ms| *ms > 0.0 && *ms < MAX_TIMEOUT_MS).map(Time::from_ms)
}

/// The further figures, as `name:number;name:number`; none: they cannot be read.
pub fn parse_info(text: &str) -> Option<Vec<(&str, f64)>> {
    let entries = text.split(';').filter(|e| !e.is_empty());
    entries.map(|e| e.split_once(':').and_then(|(name, value)| Some((name, parse_number(value)?)))).collect()
}

/// The fields of an answer: when to come back, where that is told.
pub fn reply_fields(retry_after: Time) -> String {
    match retry_after {
        Time(0) => String::new(),
        after => format!("holdoff={}", after.0.div_ceil(10)),
    }
}

/// The tags used on a connection: each is new there. They are kept as runs, by the first of each, so that a long
/// connection's tags take no room wherever its client begins to count; more than `most` runs are none that a client counts.
#[derive(Debug, Default)]
pub struct TagSet {
    /// The last of each run, by its first.
    runs: std::collections::BTreeMap<u64, u64>,
}

impl TagSet {
    pub fn contains(&self, tag: u64) -> bool {
        self.runs.range(..=tag).next_back().is_some_and(|(_, last)| tag <= *last)
    }

    /// False: it was used before, or too many lie scattered to tell.
    pub fn insert(&mut self, tag: u64, max_runs: usize) -> bool {
        if self.contains(tag) {
            return false;
        }
        let before =
            self.runs.range(..tag).next_back().filter(|(_, last)| **last == tag - 1).map(|(first, _)| *first);
        let after = tag.checked_add(1).filter(|next| self.runs.contains_key(next));
        if before.is_none() && after.is_none() && self.runs.len() >= max_runs {
            return false;
        }
        let last = after.and_then(|next| self.runs.remove(&next)).unwrap_or(tag);
        self.runs.insert(before.unwrap_or(tag), last);
        true
    }
}

#[cfg(test)]
mod tests;
