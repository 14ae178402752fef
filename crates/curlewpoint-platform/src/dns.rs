//! The directory's answers: DNS records that name the workers, whole lists with the number of their last event.

use std::collections::BTreeMap;

use curlewpoint::types::Standing;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hickory_proto::ProtoError;
use thiserror::Error;

use crate::EndpointListVisitor;

const LIST: &str = "_app._tcp.cluster.lan.";
/// Longer than any answer.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

#[derive(Debug, Error)]
pub enum DiscoveryError {
    #[error("an answer that cannot be read: {0}")]
    Malformed(#[from] ProtoError),
    #[error("no answer to this question")]
    OtherQuery,
    #[error("the directory says {0}")]
    ErrorCode(ResponseCode),
    #[error("an answer cut short")]
    Truncated,
    #[error("no number of the last event")]
    NoSerial,
    #[error("no {1} of worker '{0}'")]
    Missing(String, &'static str),
}

/// The question for the whole list.
pub fn build_query(id: u16) -> Result<Vec<u8>, DiscoveryError> {
    let mut m = Message::new();
    m.set_id(id).set_message_type(MessageType::Query).set_op_code(OpCode::Query);
    m.add_query(Query::query(Name::from_ascii(LIST)?, RecordType::SRV));
    Ok(m.to_vec()?)
}

/// Reads an answer to the question with this id; nothing of it counts unless all can be read.
pub fn parse_response(
    answer: &[u8], id: u16, visitor: &mut impl EndpointListVisitor,
) -> Result<(), DiscoveryError> {
    let m = Message::from_vec(answer)?;
    if m.id() != id || m.message_type() != MessageType::Response {
        return Err(DiscoveryError::OtherQuery);
    }
    if m.response_code() != ResponseCode::NoError {
        return Err(DiscoveryError::ErrorCode(m.response_code()));
    }
    if m.truncated() {
        return Err(DiscoveryError::Truncated);
    }
    let serial = |r: &Record| match r.data() {
        RData::SOA(soa) => Some(soa.serial()),
        _ => None,
    };
    let version = m.name_servers().iter().find_map(serial).ok_or(DiscoveryError::NoSerial)?;
    let (mut addresses, mut texts) = (BTreeMap::new(), BTreeMap::new());
    for r in m.answers().iter().chain(m.additionals()) {
        match r.data() {
            RData::A(a) => drop(addresses.insert(r.name(), a.0)),
            RData::TXT(t) => drop(texts.insert(r.name(), t.txt_data())),
            _ => {}
        }
    }
    visitor.begin_list(u64::from(version), None);
    for r in m.answers() {
        let RData::SRV(srv) = r.data() else { continue };
        let target = srv.target();
        let lacks = |what| DiscoveryError::Missing(target.to_ascii(), what);
        let label = |no| target.iter().nth(no).and_then(|l| std::str::from_utf8(l).ok());
        let (name, zone) = (label(0).ok_or_else(|| lacks("name"))?, label(1).ok_or_else(|| lacks("zone"))?);
        let at = addresses.get(target).ok_or_else(|| lacks("address"))?;
        let words = texts.get(target).ok_or_else(|| lacks("text"))?;
        let text = |field: &str| {
            let words = words.iter().filter_map(|w| std::str::from_utf8(w).ok());
            words.filter_map(|w| w.split_once('=')).find(|(n, _)| *n == field).map(|(_, v)| v)
        };
        let started = text("started").and_then(|v| v.parse().ok()).ok_or_else(|| lacks("start"))?;
        let standing = if srv.priority() == 0 { Standing::Ready } else { Standing::Draining };
        let (address, size) = (format!("{at}:{}", srv.port()), f64::from(srv.weight()) / 10.0);
        visitor.endpoint(name, &address, standing, started, zone, text("cell").unwrap_or(""), size);
    }
    visitor.end_list();
    Ok(())
}
