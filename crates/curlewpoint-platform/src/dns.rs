//! Discovery over DNS: each response is a complete list of workers, versioned by the serial number of its SOA record.

use std::collections::BTreeMap;

use curlewpoint::types::Lifecycle;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hickory_proto::ProtoError;
use thiserror::Error;

use crate::EndpointListVisitor;

const SERVICE_NAME: &str = "_app._tcp.cluster.lan.";
/// Upper bound on the size of a response.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

#[derive(Debug, Error)]
pub enum DiscoveryError {
    #[error("malformed response: {0}")]
    Malformed(#[from] ProtoError),
    #[error("the response belongs to another query")]
    OtherQuery,
    #[error("discovery returned {0}")]
    ErrorCode(ResponseCode),
    #[error("truncated response")]
    Truncated,
    #[error("the response has no serial number")]
    NoSerial,
    #[error("worker '{0}' has no {1}")]
    Missing(String, &'static str),
}

/// Builds the query for the complete endpoint list.
pub fn build_query(id: u16) -> Result<Vec<u8>, DiscoveryError> {
    let mut m = Message::new();
    m.set_id(id).set_message_type(MessageType::Query).set_op_code(OpCode::Query);
    m.add_query(Query::query(Name::from_ascii(SERVICE_NAME)?, RecordType::SRV));
    Ok(m.to_vec()?)
}

/// Parses the response to the query with this ID and passes its endpoints to `visitor`. On an error the list is not
/// concluded, so that nothing of a malformed response takes effect.
///
/// An SRV record stands for a worker: priority 0 means ready, any other priority draining; the weight is ten times the
/// worker's size; the target is `NAME.ZONE...`. A TXT record of the target gives the start time and the cell.
pub fn parse_response(
    response: &[u8], id: u16, visitor: &mut impl EndpointListVisitor,
) -> Result<(), DiscoveryError> {
    let m = Message::from_vec(response)?;
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
        let missing = |what| DiscoveryError::Missing(target.to_ascii(), what);
        let label = |index| target.iter().nth(index).and_then(|l| std::str::from_utf8(l).ok());
        let (name, zone) =
            (label(0).ok_or_else(|| missing("name"))?, label(1).ok_or_else(|| missing("zone"))?);
        let ip = addresses.get(target).ok_or_else(|| missing("address"))?;
        let strings = texts.get(target).ok_or_else(|| missing("TXT record"))?;
        let text = |field: &str| {
            let strings = strings.iter().filter_map(|s| std::str::from_utf8(s).ok());
            strings.filter_map(|s| s.split_once('=')).find(|(name, _)| *name == field).map(|(_, v)| v)
        };
        let started = text("started").and_then(|v| v.parse().ok()).ok_or_else(|| missing("start time"))?;
        let lifecycle = if srv.priority() == 0 { Lifecycle::Ready } else { Lifecycle::Draining };
        let (address, size) = (format!("{ip}:{}", srv.port()), f64::from(srv.weight()) / 10.0);
        visitor.endpoint(name, &address, lifecycle, started, zone, text("cell").unwrap_or(""), size);
    }
    visitor.end_list();
    Ok(())
}
