//! The whole record of a test on sockets: what each client wrote and read, what workers heard and said. It is judged by
//! the rule that every request written whole has exactly one answer, or its connection was closed before a byte of it was
//! passed on. It reads bytes by itself, with none of the code that is tried.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

/// How a client's connection has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ConnState {
    #[default]
    Open,
    /// By the scheduler: the client has read to the end.
    ClosedByScheduler,
    /// By the client itself: nothing is owed to it any more.
    ClosedByClient,
}

/// A client's connection.
#[derive(Debug, Default)]
pub struct ClientConn {
    pub sent: Vec<u8>,
    pub received: Vec<u8>,
    pub state: ConnState,
}

type Row<'a> = Vec<&'a [u8]>;

fn number(bytes: &[u8], at: usize, mark: u8) -> Option<(usize, usize)> {
    let rest = bytes.get(at..)?.strip_prefix(&[mark])?;
    let end = rest.windows(2).position(|w| w == b"\r\n")?;
    Some((std::str::from_utf8(&rest[..end]).ok()?.parse().ok()?, at + 1 + end + 2))
}

fn row(bytes: &[u8]) -> Option<(Row<'_>, usize)> {
    let (count, mut at) = number(bytes, 0, b'*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (length, begin) = number(bytes, at, b'$')?;
        let end = begin.checked_add(length)?;
        bytes.get(end..end.checked_add(2)?).filter(|e| *e == b"\r\n")?;
        words.push(&bytes[begin..end]);
        at = end + 2;
    }
    Some((words, at))
}

/// The rows that are whole, up to what is not or cannot be read, and how many bytes they take.
fn rows(bytes: &[u8]) -> (Vec<Row<'_>>, usize) {
    let (mut rows, mut at) = (Vec::new(), 0);
    while let Some((row, size)) = row(&bytes[at..]) {
        rows.push(row);
        at += size;
    }
    (rows, at)
}

fn word<'a>(row: &Row<'a>, no: usize) -> &'a [u8] {
    row.get(no).copied().unwrap_or_default()
}

fn shown(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The id that a call gives; empty where it gives none.
fn id(call: &Row<'_>) -> String {
    let fields = shown(word(call, 3));
    let id = fields.split(',').find_map(|f| f.strip_prefix("req="));
    id.unwrap_or_default().to_owned()
}

impl ClientConn {
    /// Nothing of a request lies half written.
    pub fn has_no_partial_request(&self) -> bool {
        rows(&self.sent).1 == self.sent.len()
    }

    /// Something that was asked whole and not withdrawn has no answer.
    pub fn awaits_reply(&self) -> bool {
        !self.unanswered().is_empty()
    }

    fn unanswered(&self) -> Vec<Row<'_>> {
        let (asked, told) = (rows(&self.sent).0, rows(&self.received).0);
        let withdrawn: BTreeSet<_> =
            asked.iter().filter(|r| word(r, 0) == b"CANCEL").map(|r| word(r, 1)).collect();
        let mut answers: BTreeMap<&[u8], usize> = BTreeMap::new();
        told.iter().for_each(|r| *answers.entry(word(r, 0)).or_default() += 1);
        let wants = |r: &Row<'_>| [&b"CALL"[..], b"CHECK"].contains(&word(r, 0));
        let mut unanswered = Vec::new();
        for row in asked.into_iter().filter(wants) {
            match answers.get_mut(word(&row, 1)).filter(|n| **n > 0) {
                Some(n) => *n -= 1,
                None if withdrawn.contains(word(&row, 1)) => {}
                None => unanswered.push(row),
            }
        }
        unanswered
    }
}

/// All of a test's connections and attempts.
#[derive(Debug, Default)]
pub struct Transcript {
    pub conns: Vec<ClientConn>,
    /// The ids of which a worker has heard anything, and the bodies that were given for each as 'ok'.
    heard: BTreeSet<String>,
    said: BTreeMap<String, Vec<Vec<u8>>>,
}

impl Transcript {
    /// A worker has read an attempt, or a part of one that holds its id.
    pub fn worker_received(&mut self, id: &str) {
        self.heard.insert(id.to_owned());
    }

    /// A worker gives this body for the request.
    pub fn worker_answered(&mut self, id: &str, body: &[u8]) {
        self.said.entry(id.to_owned()).or_default().push(body.to_vec());
    }

    /// What breaks the rule.
    pub fn violations(&self) -> Vec<String> {
        let (mut violations, mut whole) = (Vec::new(), BTreeSet::new());
        for (no, conn) in self.conns.iter().enumerate() {
            let (asked, (told, read)) = (rows(&conn.sent).0, rows(&conn.received));
            if read < conn.received.len() && conn.state != ConnState::ClosedByClient {
                violations.push(format!(
                    "client {no} read what is no whole answer: {}",
                    shown(&conn.received[read..])
                ));
            }
            let calls = asked.iter().filter(|r| word(r, 0) == b"CALL");
            whole.extend(calls.map(id));
            // Each answer is to the first request of its tag that has none yet.
            let mut open: Vec<&Row<'_>> = asked.iter().collect();
            for answer in &told {
                let (tag, said) = (word(answer, 0), word(answer, 1));
                let fits = |r: &&Row<'_>| word(r, 1) == tag && [&b"CALL"[..], b"CHECK"].contains(&word(r, 0));
                let Some(at) = open.iter().position(fits) else {
                    violations.push(format!(
                        "client {no}: an answer too many under tag {}: {}",
                        shown(tag),
                        shown(said)
                    ));
                    continue;
                };
                let to = open.remove(at);
                let of_check = [&b"fit"[..], b"unfit"].contains(&said);
                if of_check != (word(to, 0) == b"CHECK") {
                    violations.push(format!("client {no}: '{}' to a {}", shown(said), shown(word(to, 0))));
                }
                let body = word(answer, 3);
                let made = || self.said.get(&id(to)).is_some_and(|all| all.iter().any(|b| b == body));
                if said == b"good" && !made() {
                    violations.push(format!("client {no}: no worker made the answer to {}", id(to)));
                }
            }
            for row in conn.unanswered() {
                let (what, id) = (shown(word(&row, 0)), id(&row));
                match conn.state {
                    ConnState::Open => violations.push(format!("client {no}: no answer to {what} {id}")),
                    ConnState::ClosedByScheduler if self.heard.contains(&id) => {
                        violations
                            .push(format!("client {no}: {id} was passed on, and closed without an answer"));
                    }
                    ConnState::ClosedByScheduler | ConnState::ClosedByClient => {}
                }
            }
        }
        let strange = self.heard.iter().filter(|id| !whole.contains(*id));
        violations.extend(strange.map(|id| format!("{id} was passed on, and no client has asked it whole")));
        violations
    }
}
