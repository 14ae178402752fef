//! Verbs and fields of client commands, and the status words of replies.

use curlewpoint::types::Time;

/// Command: starts an RPC.
pub const CALL: &[u8] = b"CALL";
/// Command: withdraws an RPC by its tag.
pub const CANCEL: &[u8] = b"CANCEL";
/// Command: health check.
pub const CHECK: &[u8] = b"CHECK";

/// Reply to a call: the RPC succeeded.
pub const GOOD: &str = "good";
/// Reply to a call: the RPC was denied and has not run.
pub const REFUSED: &str = "refused";
/// Reply to a call: the RPC was aborted, or the call is malformed.
pub const BROKEN: &str = "broken";
/// Reply to a check: the scheduler is healthy.
pub const FIT: &str = "fit";
/// Reply to a check: the scheduler is stopping.
pub const UNFIT: &str = "unfit";
/// Reply to a call: the connection already has the maximum number of open RPCs.
pub const ENOUGH: &str = "enough";

/// Returns the value of `name` in `name=value,name=value`.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').find_map(|f| f.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v))
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}

/// Parses a tag: a decimal number of at least 1, and at most the largest of 64 bits.
pub fn parse_tag(word: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(word).ok().filter(|t| is_digits(t))?;
    text.parse().ok().filter(|tag| *tag > 0)
}

/// Whether a word is a tag, of any size.
pub fn is_tag(word: &[u8]) -> bool {
    word.iter().all(u8::is_ascii_digit) && word.iter().any(|digit| *digit != b'0')
}

/// Validates a request or function ID: 16 hex digits.
pub fn parse_hex_id(text: &str) -> Option<&str> {
    (text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())).then_some(text)
}

/// Parses a non-negative decimal number: digits with at most one decimal point, no sign and no exponent.
pub fn parse_number(text: &str) -> Option<f64> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
    (is_digits(integer) && is_digits(fraction)).then(|| text.parse().ok())?
}

/// Timeouts of an hour or more are rejected.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;

/// Parses a client timeout in milliseconds; it must be positive and less than an hour.
pub fn parse_timeout(text: &str) -> Option<Time> {
    parse_number(text).filter(|ms| *ms > 0.0 && *ms < MAX_TIMEOUT_MS).map(Time::from_ms)
}

/// The optional parameters of a call, `name:number;name:number`; `None` in place of an entry that is malformed.
pub fn parse_info(text: &str) -> impl Iterator<Item = Option<(&str, f64)>> {
    let entries = text.split(';').filter(|e| !e.is_empty());
    entries.map(|e| e.split_once(':').and_then(|(name, value)| Some((name, parse_number(value)?))))
}

/// The fields of a reply: the retry delay in milliseconds, if one is given.
pub fn reply_fields(retry_after: Time) -> String {
    match retry_after {
        Time(0) => String::new(),
        after => format!("holdoff={}", after.0.div_ceil(10)),
    }
}

/// The tags that are known to have been used on a connection, where each tag may be used once. Consecutive tags are
/// stored as one run, so that the tags of most connections take constant memory, whichever number their clients start
/// from. The number of runs is bounded: beyond it tags are forgotten, as the protocol lets clients choose any new tag.
#[derive(Debug, Default)]
pub struct TagSet {
    /// The last tag of each run, keyed by its first tag.
    runs: std::collections::BTreeMap<u64, u64>,
}

impl TagSet {
    /// Whether the tag is known to have been used.
    pub fn contains(&self, tag: u64) -> bool {
        self.runs.range(..=tag).next_back().is_some_and(|(_, last)| tag <= *last)
    }

    /// Marks a tag as used. Returns false if it is known to have been used before. If there are then more than
    /// `max_runs` separate runs, one is forgotten.
    pub fn insert(&mut self, tag: u64, max_runs: usize) -> bool {
        if self.contains(tag) {
            return false;
        }
        let before =
            self.runs.range(..tag).next_back().filter(|(_, last)| **last == tag - 1).map(|(first, _)| *first);
        let after = tag.checked_add(1).filter(|next| self.runs.contains_key(next));
        let first = before.unwrap_or(tag);
        let last = after.and_then(|next| self.runs.remove(&next)).unwrap_or(tag);
        self.runs.insert(first, last);
        if self.runs.len() > max_runs {
            self.forget_run_other_than(first);
        }
        true
    }

    /// Forgets the lowest run, or the highest if the lowest is the one to keep. Clients usually count tags up, so the
    /// lowest is the oldest.
    fn forget_run_other_than(&mut self, first: u64) {
        if self.runs.first_key_value().is_some_and(|(lowest, _)| *lowest == first) {
            self.runs.pop_last();
        } else {
            self.runs.pop_first();
        }
    }
}

#[cfg(test)]
mod tests;
