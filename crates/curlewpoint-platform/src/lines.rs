//! What schedulers and workers say to each other: JSON objects, one to a line, bodies in base64. A line read is a plain
//! row of fields.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use bytes::{Bytes, BytesMut};
use curlewpoint::types::{CopyReport, Outcome, Time};
use serde_json::{json, Map, Value};
use thiserror::Error;
use tokio_util::codec::Decoder;

#[derive(Debug, Error)]
pub enum LineError {
    #[error("a line of more than {0} bytes")]
    Long(usize),
    #[error("no object in a line: {0}")]
    NotRead(#[from] serde_json::Error),
    #[error("field '{0}' is missing or cannot be used")]
    Field(&'static str),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Reads lines within a bound.
#[derive(Clone, Copy, Debug)]
pub struct Lines {
    /// The longest line, in bytes.
    pub most: usize,
    /// How much of what has come is known to hold no line's end.
    pub looked_at: usize,
}

impl Decoder for Lines {
    type Item = Map<String, Value>;
    type Error = LineError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Map<String, Value>>, LineError> {
        let Some(end) = src[self.looked_at..].iter().position(|b| *b == b'\n') else {
            self.looked_at = src.len();
            return if src.len() > self.most { Err(LineError::Long(self.most)) } else { Ok(None) };
        };
        let line = src.split_to(self.looked_at + end + 1);
        self.looked_at = 0;
        if line.len() > self.most {
            return Err(LineError::Long(self.most));
        }
        Ok(Some(serde_json::from_slice(&line)?))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Map<String, Value>>, LineError> {
        // What is left without a line's end was cut off: it is nothing.
        self.decode(src)
    }
}

fn line(of: Value) -> Bytes {
    let mut text = of.to_string();
    text.push('\n');
    text.into()
}

/// A request to run a function. Its budget is told when it is written, as it may wait until then.
#[derive(Clone, Debug)]
pub struct Invoke {
    before_budget: Bytes,
    after_budget: Bytes,
}

/// The digits of the longest budget.
const BUDGET_DIGITS: usize = 20;

impl Invoke {
    pub fn new(req: &str, method: &str, model: &str, token: Option<&str>, body: &[u8]) -> Invoke {
        let quoted = |text: &str| Value::from(text).to_string();
        let token = token.map_or(String::new(), |token| format!(",\"uniq\":{}", quoted(token)));
        let (req, method, model) = (quoted(req), quoted(method), quoted(model));
        let before = format!(
            "{{\"type\":\"invoke\",\"req\":{req},\"meta\":{{\"queue\":{method},\"path\":{model}{token},\"budget\":"
        );
        let after = format!("}},\"data\":\"{}\"}}\n", STANDARD.encode(body));
        Invoke { before_budget: before.into(), after_budget: after.into() }
    }

    /// No less than the bytes of the line.
    pub fn size(&self) -> usize {
        self.before_budget.len() + BUDGET_DIGITS + self.after_budget.len()
    }

    /// The line, of a request that has so much time left.
    pub fn write(&self, left: Time, to: &mut BytesMut) {
        // A budget of nought could not be used.
        let budget = (left.0 / 10).max(1);
        to.extend_from_slice(&self.before_budget);
        to.extend_from_slice(budget.to_string().as_bytes());
        to.extend_from_slice(&self.after_budget);
    }
}

pub fn abort(req: &str) -> Bytes {
    line(json!({"type": "abort", "req": req}))
}

pub fn gauges(tag: &str) -> Bytes {
    line(json!({"type": "gauges", "req": tag}))
}

pub fn prewarm(tag: &str, model: &str, copies: u64) -> Bytes {
    line(json!({"type": "prewarm", "req": tag, "meta": {"path": model, "instances": copies}}))
}

pub fn evict(model: &str) -> Bytes {
    line(json!({"type": "evict", "req": model}))
}

/// A text of the row; every answer has a `type` and a `req`.
pub fn text<'a>(row: &'a Map<String, Value>, name: &'static str) -> Result<&'a str, LineError> {
    row.get(name).and_then(Value::as_str).ok_or(LineError::Field(name))
}

/// A further field of the row, as text or as a number.
fn meta<'a>(row: &'a Map<String, Value>, name: &str) -> Option<&'a Value> {
    row.get("meta")?.get(name)
}

fn count(row: &Map<String, Value>, name: &str) -> u64 {
    let told = meta(row, name);
    told.and_then(|v| v.as_u64().or_else(|| v.as_str()?.parse().ok())).unwrap_or(0)
}

/// How what was asked has ended; a word that is none is an error of the line.
pub fn outcome(row: &Map<String, Value>) -> Result<Outcome, LineError> {
    Ok(match text(row, "type")? {
        "OK" | "UP" => Outcome::Ok,
        "MISS" => Outcome::Miss,
        "BUSY" => Outcome::Full,
        "ERR" | "DOWN" => Outcome::Error,
        "VOID" => Outcome::NotSent,
        _ => return Err(LineError::Field("type")),
    })
}

pub fn copy(row: &Map<String, Value>) -> CopyReport {
    match meta(row, "detail").and_then(Value::as_str) {
        Some("resident") => CopyReport::Warm,
        Some("booted") => CopyReport::BeganLoad,
        Some("rode") => CopyReport::WaitedForLoad,
        Some("boot_error") => CopyReport::LoadFailed,
        _ => CopyReport::Unreported,
    }
}

/// How many RPCs of the function the worker held when this one came.
pub fn held(row: &Map<String, Value>) -> u64 {
    count(row, "rivals")
}

pub fn copies(row: &Map<String, Value>) -> u64 {
    count(row, "instances")
}

/// What workers call the figures that the settings name otherwise.
const SHORT: [(&str, &str); 6] = [
    ("utilization", "util"),
    ("outstanding", "inflight"),
    ("backlog", "queue"),
    ("recent_ms", "latency_ms"),
    ("throughput", "qps"),
    ("errors_per_s", "eps"),
];

/// A load report, in the order of the settings' names; empty where one of them is not told.
pub fn report(row: &Map<String, Value>, names: &[String]) -> Vec<f64> {
    let told = meta(row, "use").and_then(Value::as_str).unwrap_or_default();
    let of = |name: &str| {
        let mut entries = told.split(';').filter_map(|e| e.split_once(':'));
        entries.find(|(n, _)| *n == name)?.1.parse::<f64>().ok().filter(|v| v.is_finite())
    };
    let short = |name: &str| SHORT.iter().find(|(long, _)| *long == name).map_or("", |(_, short)| short);
    let values: Option<Vec<f64>> = names.iter().map(|n| of(n).or_else(|| of(short(n)))).collect();
    values.unwrap_or_default()
}

pub fn body(row: &Map<String, Value>) -> Result<Bytes, LineError> {
    match row.get("data") {
        None => Ok(Bytes::new()),
        Some(data) => {
            let text = data.as_str().ok_or(LineError::Field("data"))?;
            STANDARD.decode(text).map(Bytes::from).map_err(|_| LineError::Field("data"))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn read(bytes: &[u8]) -> Result<Option<Map<String, Value>>, LineError> {
        Lines { most: 200, looked_at: 0 }.decode(&mut BytesMut::from(bytes))
    }

    #[test]
    fn an_answer_is_read_field_by_field() {
        let line = br#"{"type":"OK","req":"9b","meta":{"detail":"rode","rivals":"3","use":"inflight:7;util:0.61"},"data":"aGk="}
"#;
        let row = read(line).unwrap().unwrap();
        assert_eq!(
            (outcome(&row).unwrap(), copy(&row), held(&row)),
            (Outcome::Ok, CopyReport::WaitedForLoad, 3)
        );
        assert_eq!(body(&row).unwrap(), "hi");
        let names = |n: &[&str]| n.iter().map(|n| n.to_string()).collect::<Vec<_>>();
        assert_eq!(report(&row, &names(&["utilization", "outstanding"])), [0.61, 7.0]);
        assert!(report(&row, &names(&["util", "x0"])).is_empty(), "a part of a report is none");
    }

    #[test_case(b"{\"type\":\"OK\",\"re" ; "half a line")]
    #[test_case(b"{}x\n" ; "more than an object")]
    #[test_case(b"[1,2]\n" ; "no object")]
    #[test_case(&[b'a'; 300] ; "a line that does not end")]
    fn spoilt_lines_are_never_rows(bytes: &[u8]) {
        assert!(!matches!(read(bytes), Ok(Some(_))));
    }

    #[test]
    fn a_line_that_comes_byte_by_byte_is_read_once_and_whole() {
        let whole = abort("9b1f03aa5c7e2d41");
        let (mut src, mut codec) = (BytesMut::new(), Lines { most: 200, looked_at: 0 });
        let read: Vec<_> = whole
            .iter()
            .filter_map(|b| {
                src.extend_from_slice(&[*b]);
                codec.decode(&mut src).unwrap()
            })
            .collect();
        assert_eq!(read.len(), 1);
        assert_eq!(text(&read[0], "req").unwrap(), "9b1f03aa5c7e2d41");
    }

    #[test]
    fn a_body_that_is_not_base64_is_an_error() {
        let row = read(b"{\"type\":\"OK\",\"req\":\"1\",\"data\":\"a*\"}\n").unwrap().unwrap();
        assert!(body(&row).is_err());
    }
}
