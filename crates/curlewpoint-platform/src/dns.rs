//! The directory's answers: DNS records that name the workers, whole lists with the number of their last event.

use std::collections::BTreeMap;

use curlewpoint::types::Lifecycle;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hickory_proto::ProtoError;
use thiserror::Error;

use crate::Roll;

const LIST: &str = "_app._tcp.cluster.lan.";
/// Longer than any answer.
pub const MOST_ANSWER: usize = 16 * 1024;

#[derive(Debug, Error)]
pub enum DirectoryError {
    #[error("an answer that cannot be read: {0}")]
    NotRead(#[from] ProtoError),
    #[error("no answer to this question")]
    NotMine,
    #[error("the directory says {0}")]
    Failed(ResponseCode),
    #[error("an answer cut short")]
    CutShort,
    #[error("no number of the last event")]
    NoNumber,
    #[error("no {1} of worker '{0}'")]
    Lacks(String, &'static str),
}

/// The question for the whole list.
pub fn query(id: u16) -> Result<Vec<u8>, DirectoryError> {
    let mut m = Message::new();
    m.set_id(id).set_message_type(MessageType::Query).set_op_code(OpCode::Query);
    m.add_query(Query::query(Name::from_ascii(LIST)?, RecordType::SRV));
    Ok(m.to_vec()?)
}

/// Reads an answer to the question with this id; nothing of it counts unless all can be read.
pub fn read(answer: &[u8], id: u16, roll: &mut impl Roll) -> Result<(), DirectoryError> {
    let m = Message::from_vec(answer)?;
    if m.id() != id || m.message_type() != MessageType::Response {
        return Err(DirectoryError::NotMine);
    }
    if m.response_code() != ResponseCode::NoError {
        return Err(DirectoryError::Failed(m.response_code()));
    }
    if m.truncated() {
        return Err(DirectoryError::CutShort);
    }
    let serial = |r: &Record| match r.data() {
        RData::SOA(soa) => Some(soa.serial()),
        _ => None,
    };
    let version = m.name_servers().iter().find_map(serial).ok_or(DirectoryError::NoNumber)?;
    let (mut addresses, mut texts) = (BTreeMap::new(), BTreeMap::new());
    for r in m.answers().iter().chain(m.additionals()) {
        match r.data() {
            RData::A(a) => drop(addresses.insert(r.name(), a.0)),
            RData::TXT(t) => drop(texts.insert(r.name(), t.txt_data())),
            _ => {}
        }
    }
    roll.begins(u64::from(version), None);
    for r in m.answers() {
        let RData::SRV(srv) = r.data() else { continue };
        let target = srv.target();
        let lacks = |what| DirectoryError::Lacks(target.to_ascii(), what);
        let label = |no| target.iter().nth(no).and_then(|l| std::str::from_utf8(l).ok());
        let (name, zone) = (label(0).ok_or_else(|| lacks("name"))?, label(1).ok_or_else(|| lacks("zone"))?);
        let at = addresses.get(target).ok_or_else(|| lacks("address"))?;
        let words = texts.get(target).ok_or_else(|| lacks("text"))?;
        let text = |field: &str| {
            let words = words.iter().filter_map(|w| std::str::from_utf8(w).ok());
            words.filter_map(|w| w.split_once('=')).find(|(n, _)| *n == field).map(|(_, v)| v)
        };
        let started = text("started").and_then(|v| v.parse().ok()).ok_or_else(|| lacks("start"))?;
        let standing = if srv.priority() == 0 { Lifecycle::Ready } else { Lifecycle::Draining };
        let (address, size) = (format!("{at}:{}", srv.port()), f64::from(srv.weight()) / 10.0);
        roll.worker(name, &address, standing, started, zone, text("cell").unwrap_or(""), size);
    }
    roll.ends();
    Ok(())
}
