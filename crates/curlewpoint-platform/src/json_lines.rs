//! Messages between schedulers and workers: JSON objects, one per line, with bodies in base64. A received message is a
//! JSON object; the functions below read its fields.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use bytes::{Bytes, BytesMut};
use curlewpoint::types::{CopyReport, Outcome, Time};
use serde_json::{json, Map, Value};
use thiserror::Error;
use tokio_util::codec::Decoder;

#[derive(Debug, Error)]
pub enum LineError {
    #[error("line longer than {0} bytes")]
    TooLong(usize),
    #[error("line is not a JSON object: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("field '{0}' is missing or invalid")]
    InvalidField(&'static str),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Decodes messages from lines of bounded length.
#[derive(Clone, Copy, Debug)]
pub struct LineDecoder {
    /// The longest accepted line, in bytes with its newline.
    pub max_len: usize,
    /// Length of the buffered prefix that is known to contain no newline.
    pub scanned: usize,
}

impl Decoder for LineDecoder {
    type Item = Map<String, Value>;
    type Error = LineError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Map<String, Value>>, LineError> {
        let Some(end) = src[self.scanned..].iter().position(|b| *b == b'\n') else {
            self.scanned = src.len();
            return if src.len() > self.max_len { Err(LineError::TooLong(self.max_len)) } else { Ok(None) };
        };
        let line = src.split_to(self.scanned + end + 1);
        self.scanned = 0;
        if line.len() > self.max_len {
            return Err(LineError::TooLong(self.max_len));
        }
        Ok(Some(serde_json::from_slice(&line)?))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Map<String, Value>>, LineError> {
        // A final line without a newline is incomplete and is dropped.
        self.decode(src)
    }
}

fn line(message: Value) -> Bytes {
    let mut text = message.to_string();
    text.push('\n');
    text.into()
}

/// An `invoke` message: an attempt of an RPC. Its time budget is filled in when the message is written, because it may
/// have waited in a queue until then.
#[derive(Clone, Debug)]
pub struct Invoke {
    before_budget: Bytes,
    /// Encoded only when the message is written: until then the request's own copy is the only one.
    body: Bytes,
}

/// What stands between the budget and the body in base64, and after the body.
const AFTER_BUDGET: &[u8] = b"},\"data\":\"";
const AFTER_BODY: &[u8] = b"\"}\n";

/// Length of a body in base64 with padding.
fn base64_len(bytes: usize) -> usize {
    bytes.div_ceil(3) * 4
}

/// Digits of the longest budget, a `u64`.
const MAX_BUDGET_DIGITS: usize = 20;

impl Invoke {
    pub fn new(req: &str, method: &str, model: &str, token: Option<&str>, body: Bytes) -> Invoke {
        let quoted = |text: &str| Value::from(text).to_string();
        let token = token.map_or(String::new(), |token| format!(",\"uniq\":{}", quoted(token)));
        let (req, method, model) = (quoted(req), quoted(method), quoted(model));
        let before = format!(
            "{{\"type\":\"invoke\",\"req\":{req},\"meta\":{{\"queue\":{method},\"path\":{model}{token},\"budget\":"
        );
        Invoke { before_budget: before.into(), body }
    }

    /// Upper bound on the length of the line in bytes.
    pub fn max_len(&self) -> usize {
        let fixed = self.before_budget.len() + AFTER_BUDGET.len() + AFTER_BODY.len();
        fixed + MAX_BUDGET_DIGITS + base64_len(self.body.len())
    }

    /// Appends the line to `buf`, with `time_left` as its budget in milliseconds.
    pub fn write(&self, time_left: Time, buf: &mut BytesMut) {
        // Workers do not accept a budget of 0.
        let budget = (time_left.0 / 10).max(1);
        buf.extend_from_slice(&self.before_budget);
        buf.extend_from_slice(budget.to_string().as_bytes());
        buf.extend_from_slice(AFTER_BUDGET);
        let body_at = buf.len();
        buf.resize(body_at + base64_len(self.body.len()), 0);
        STANDARD.encode_slice(&self.body, &mut buf[body_at..]).expect("the space is for the whole encoding");
        buf.extend_from_slice(AFTER_BODY);
    }
}

/// Cancels an attempt.
pub fn abort_line(req: &str) -> Bytes {
    line(json!({"type": "abort", "req": req}))
}

/// Asks for a load report.
pub fn gauges_line(tag: &str) -> Bytes {
    line(json!({"type": "gauges", "req": tag}))
}

/// Orders the worker to load copies of a function ahead of demand.
pub fn prewarm_line(tag: &str, model: &str, copies: u64) -> Bytes {
    line(json!({"type": "prewarm", "req": tag, "meta": {"path": model, "instances": copies}}))
}

/// Orders the worker to unload a function.
pub fn evict_line(model: &str) -> Bytes {
    line(json!({"type": "evict", "req": model}))
}

/// Returns a text field of a message. Every reply has a `type` and a `req`.
pub fn text_field<'a>(message: &'a Map<String, Value>, name: &'static str) -> Result<&'a str, LineError> {
    message.get(name).and_then(Value::as_str).ok_or(LineError::InvalidField(name))
}

/// Returns a field of the message's `meta` object.
fn meta_field<'a>(message: &'a Map<String, Value>, name: &str) -> Option<&'a Value> {
    message.get("meta")?.get(name)
}

/// Returns a count from `meta`, given as a number or as text; 0 if it is absent or malformed.
fn meta_count(message: &Map<String, Value>, name: &str) -> u64 {
    let value = meta_field(message, name);
    value.and_then(|v| v.as_u64().or_else(|| v.as_str()?.parse().ok())).unwrap_or(0)
}

/// The outcome of a request, by the reply's type. An unknown type is an error.
pub fn outcome(message: &Map<String, Value>) -> Result<Outcome, LineError> {
    Ok(match text_field(message, "type")? {
        "OK" | "UP" => Outcome::Ok,
        "MISS" => Outcome::Miss,
        "BUSY" => Outcome::Full,
        "ERR" | "DOWN" => Outcome::Error,
        "VOID" => Outcome::NotSent,
        _ => return Err(LineError::InvalidField("type")),
    })
}

/// Whether the function's copy was loaded when the attempt came, by the reply's `detail`.
pub fn copy_report(message: &Map<String, Value>) -> CopyReport {
    match meta_field(message, "detail").and_then(Value::as_str) {
        Some("resident") => CopyReport::Warm,
        Some("booted") => CopyReport::BeganLoad,
        Some("rode") => CopyReport::WaitedForLoad,
        Some("boot_error") => CopyReport::LoadFailed,
        _ => CopyReport::Unreported,
    }
}

/// Number of RPCs of the same function that the worker held when this one arrived.
pub fn rpcs_held(message: &Map<String, Value>) -> u64 {
    meta_count(message, "rivals")
}

/// Number of copies of the function at the worker.
pub fn copy_count(message: &Map<String, Value>) -> u64 {
    meta_count(message, "instances")
}

/// Load figures by the name used in the settings, with the shorter name that workers use.
const SHORT_FIGURE_NAMES: [(&str, &str); 6] = [
    ("utilization", "util"),
    ("outstanding", "inflight"),
    ("backlog", "queue"),
    ("recent_ms", "latency_ms"),
    ("throughput", "qps"),
    ("errors_per_s", "eps"),
];

/// The load report of a message, in the order of `names`. Empty if any of the named figures is missing or malformed.
pub fn load_report(message: &Map<String, Value>, names: &[String]) -> Vec<f64> {
    let report = meta_field(message, "use").and_then(Value::as_str).unwrap_or_default();
    let figure = |name: &str| {
        let mut entries = report.split(';').filter_map(|e| e.split_once(':'));
        entries.find(|(n, _)| *n == name)?.1.parse::<f64>().ok().filter(|v| v.is_finite())
    };
    let short =
        |name: &str| SHORT_FIGURE_NAMES.iter().find(|(long, _)| *long == name).map_or("", |(_, short)| short);
    let values: Option<Vec<f64>> = names.iter().map(|n| figure(n).or_else(|| figure(short(n)))).collect();
    values.unwrap_or_default()
}

/// The decoded body of a message; empty if it has none.
pub fn body(message: &Map<String, Value>) -> Result<Bytes, LineError> {
    match message.get("data") {
        None => Ok(Bytes::new()),
        Some(data) => {
            let text = data.as_str().ok_or(LineError::InvalidField("data"))?;
            STANDARD.decode(text).map(Bytes::from).map_err(|_| LineError::InvalidField("data"))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn decode(bytes: &[u8]) -> Result<Option<Map<String, Value>>, LineError> {
        LineDecoder { max_len: 200, scanned: 0 }.decode(&mut BytesMut::from(bytes))
    }

    #[test]
    fn reply_fields_are_read() {
        let line = br#"{"type":"OK","req":"9b","meta":{"detail":"rode","rivals":"3","use":"inflight:7;util:0.61"},"data":"aGk="}
"#;
        let message = decode(line).unwrap().unwrap();
        assert_eq!(
            (outcome(&message).unwrap(), copy_report(&message), rpcs_held(&message)),
            (Outcome::Ok, CopyReport::WaitedForLoad, 3)
        );
        assert_eq!(body(&message).unwrap(), "hi");
        let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
        assert_eq!(load_report(&message, &names(&["utilization", "outstanding"])), [0.61, 7.0]);
        assert!(load_report(&message, &names(&["util", "x0"])).is_empty(), "a partial report is ignored");
    }

    #[test_case(b"{\"type\":\"OK\",\"re" ; "incomplete line")]
    #[test_case(b"{}x\n" ; "trailing characters")]
    #[test_case(b"[1,2]\n" ; "not an object")]
    #[test_case(&[b'a'; 300] ; "too long a line")]
    fn malformed_lines_are_rejected(bytes: &[u8]) {
        assert!(!matches!(decode(bytes), Ok(Some(_))));
    }

    #[test]
    fn a_line_received_byte_by_byte_is_decoded_once() {
        let line = abort_line("9b1f03aa5c7e2d41");
        let (mut src, mut codec) = (BytesMut::new(), LineDecoder { max_len: 200, scanned: 0 });
        let decoded: Vec<_> = line
            .iter()
            .filter_map(|b| {
                src.extend_from_slice(&[*b]);
                codec.decode(&mut src).unwrap()
            })
            .collect();
        assert_eq!(decoded.len(), 1);
        assert_eq!(text_field(&decoded[0], "req").unwrap(), "9b1f03aa5c7e2d41");
    }

    #[test]
    fn a_body_that_is_not_base64_is_rejected() {
        let message = decode(b"{\"type\":\"OK\",\"req\":\"1\",\"data\":\"a*\"}\n").unwrap().unwrap();
        assert!(body(&message).is_err());
    }
}
