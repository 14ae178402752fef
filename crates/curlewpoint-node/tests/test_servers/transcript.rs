//! Transcript of a socket test: all bytes that clients sent and received, and the requests that workers received and
//! answered. It is checked against one rule: every complete request has exactly one reply, or its connection was closed
//! before any byte of it reached a worker. The parser here is independent of the code under test.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

/// State of a client connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ConnState {
    #[default]
    Open,
    /// The client has read to the end of the stream.
    ClosedByScheduler,
    /// No reply is expected any more.
    ClosedByClient,
}

/// A client's connection.
#[derive(Debug, Default)]
pub struct ClientConn {
    pub sent: Vec<u8>,
    pub received: Vec<u8>,
    pub state: ConnState,
}

/// The words of a command or of a reply.
type Words<'a> = Vec<&'a [u8]>;

/// Parses `<type><number>\r\n` at `at`: the number, and the offset after it.
fn parse_header(bytes: &[u8], at: usize, type_byte: u8) -> Option<(usize, usize)> {
    let rest = bytes.get(at..)?.strip_prefix(&[type_byte])?;
    let end = rest.windows(2).position(|w| w == b"\r\n")?;
    Some((std::str::from_utf8(&rest[..end]).ok()?.parse().ok()?, at + 1 + end + 2))
}

/// Parses an array of words: the words, and its length in bytes.
fn parse_array(bytes: &[u8]) -> Option<(Words<'_>, usize)> {
    let (count, mut at) = parse_header(bytes, 0, b'*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (length, begin) = parse_header(bytes, at, b'$')?;
        let end = begin.checked_add(length)?;
        bytes.get(end..end.checked_add(2)?).filter(|e| *e == b"\r\n")?;
        words.push(&bytes[begin..end]);
        at = end + 2;
    }
    Some((words, at))
}

/// Parses arrays up to the first that is incomplete or malformed: the arrays, and their length in bytes.
fn parse_arrays(bytes: &[u8]) -> (Vec<Words<'_>>, usize) {
    let (mut arrays, mut at) = (Vec::new(), 0);
    while let Some((words, size)) = parse_array(&bytes[at..]) {
        arrays.push(words);
        at += size;
    }
    (arrays, at)
}

fn word<'a>(words: &Words<'a>, index: usize) -> &'a [u8] {
    words.get(index).copied().unwrap_or_default()
}

fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The ID in a call's fields, or an empty string.
fn request_id(call: &Words<'_>) -> String {
    let fields = lossy(word(call, 3));
    let id = fields.split(',').find_map(|f| f.strip_prefix("req="));
    id.unwrap_or_default().to_owned()
}

impl ClientConn {
    /// Whether all that was sent consists of complete requests.
    pub fn has_no_partial_request(&self) -> bool {
        parse_arrays(&self.sent).1 == self.sent.len()
    }

    /// Whether a complete request that was not withdrawn has no reply.
    pub fn awaits_reply(&self) -> bool {
        !self.unanswered().is_empty()
    }

    fn unanswered(&self) -> Vec<Words<'_>> {
        let (requests, replies) = (parse_arrays(&self.sent).0, parse_arrays(&self.received).0);
        let withdrawn: BTreeSet<_> =
            requests.iter().filter(|r| word(r, 0) == b"CANCEL").map(|r| word(r, 1)).collect();
        let mut reply_counts: BTreeMap<&[u8], usize> = BTreeMap::new();
        replies.iter().for_each(|r| *reply_counts.entry(word(r, 0)).or_default() += 1);
        let expects_reply = |r: &Words<'_>| [&b"CALL"[..], b"CHECK"].contains(&word(r, 0));
        let mut unanswered = Vec::new();
        for request in requests.into_iter().filter(expects_reply) {
            match reply_counts.get_mut(word(&request, 1)).filter(|n| **n > 0) {
                Some(n) => *n -= 1,
                None if withdrawn.contains(word(&request, 1)) => {}
                None => unanswered.push(request),
            }
        }
        unanswered
    }
}

/// All client connections and worker requests of a test.
#[derive(Debug, Default)]
pub struct Transcript {
    pub conns: Vec<ClientConn>,
    /// IDs of the requests of which a worker received any part.
    reached_worker: BTreeSet<String>,
    /// The bodies with which workers answered each request successfully.
    worker_bodies: BTreeMap<String, Vec<Vec<u8>>>,
}

impl Transcript {
    /// Records that a worker received an attempt, or a part of one that contains its ID.
    pub fn worker_received(&mut self, id: &str) {
        self.reached_worker.insert(id.to_owned());
    }

    /// Records that a worker answered the request successfully with this body.
    pub fn worker_answered(&mut self, id: &str, body: &[u8]) {
        self.worker_bodies.entry(id.to_owned()).or_default().push(body.to_vec());
    }

    /// Describes each violation of the rule.
    pub fn violations(&self) -> Vec<String> {
        let (mut violations, mut complete) = (Vec::new(), BTreeSet::new());
        for (client, conn) in self.conns.iter().enumerate() {
            let (requests, (replies, read)) = (parse_arrays(&conn.sent).0, parse_arrays(&conn.received));
            if read < conn.received.len() && conn.state != ConnState::ClosedByClient {
                violations.push(format!(
                    "client {client}: incomplete or malformed reply: {}",
                    lossy(&conn.received[read..])
                ));
            }
            let calls = requests.iter().filter(|r| word(r, 0) == b"CALL");
            complete.extend(calls.map(request_id));
            // Each reply is matched to the first open request with its tag.
            let mut open: Vec<&Words<'_>> = requests.iter().collect();
            for reply in &replies {
                let (tag, status) = (word(reply, 0), word(reply, 1));
                let matches =
                    |r: &&Words<'_>| word(r, 1) == tag && [&b"CALL"[..], b"CHECK"].contains(&word(r, 0));
                let Some(at) = open.iter().position(matches) else {
                    violations.push(format!(
                        "client {client}: unexpected reply with tag {}: {}",
                        lossy(tag),
                        lossy(status)
                    ));
                    continue;
                };
                let request = open.remove(at);
                let is_check_status = [&b"fit"[..], b"unfit"].contains(&status);
                if is_check_status != (word(request, 0) == b"CHECK") {
                    violations.push(format!(
                        "client {client}: '{}' in reply to {}",
                        lossy(status),
                        lossy(word(request, 0))
                    ));
                }
                let body = word(reply, 3);
                let is_from_worker = || {
                    self.worker_bodies
                        .get(&request_id(request))
                        .is_some_and(|all| all.iter().any(|b| b == body))
                };
                if status == b"good" && !is_from_worker() {
                    violations.push(format!(
                        "client {client}: no worker gave the reply to {}",
                        request_id(request)
                    ));
                }
            }
            for request in conn.unanswered() {
                let (command, id) = (lossy(word(&request, 0)), request_id(&request));
                match conn.state {
                    ConnState::Open => {
                        violations.push(format!("client {client}: no reply to {command} {id}"))
                    }
                    ConnState::ClosedByScheduler if self.reached_worker.contains(&id) => {
                        violations
                            .push(format!("client {client}: {id} reached a worker, then the connection closed without a reply"));
                    }
                    ConnState::ClosedByScheduler | ConnState::ClosedByClient => {}
                }
            }
        }
        let incomplete = self.reached_worker.iter().filter(|id| !complete.contains(*id));
        violations
            .extend(incomplete.map(|id| format!("{id} reached a worker, but no client sent it completely")));
        violations
    }
}
