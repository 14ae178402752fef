//! The fields of a client's call, without I/O: parsing, and why a call is not accepted.

use curlewpoint::types::Time;
use curlewpoint_engine::Refusal;
use curlewpoint_platform::commands;
use thiserror::Error;

/// Why a call is not accepted.
#[derive(Debug, Error)]
pub(crate) enum Rejection {
    /// The call does not keep to the protocol.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The call keeps to the protocol, but asks for what this scheduler does not offer.
    #[error("unsupported: {0}")]
    Unsupported(&'static str),
    /// The call has not run, and repeating it is harmless.
    #[error("refused: {0:?}")]
    Refused(Refusal),
}

impl Rejection {
    /// The status of the reply.
    pub fn status(&self) -> &'static str {
        match self {
            Rejection::Refused(_) => commands::REFUSED,
            Rejection::Malformed(_) | Rejection::Unsupported(_) => commands::BROKEN,
        }
    }
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Rejection {
        match refusal {
            Refusal::Full | Refusal::NoTime | Refusal::Stopping => Rejection::Refused(refusal),
            Refusal::NoSuchMethod | Refusal::Withdrawn => Rejection::Unsupported("unknown method"),
            Refusal::NoSuchTenant => Rejection::Unsupported("unknown tenant"),
            Refusal::BadModel => Rejection::Unsupported("function cannot be stored"),
            Refusal::BadToken => Rejection::Unsupported("token missing or too long"),
            Refusal::TagInUse => Rejection::Malformed("tag in use"),
        }
    }
}

/// The fields of a call.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    /// The client's ID of the request.
    pub id: &'a str,
    pub method: &'a str,
    pub tenant: &'a str,
    pub model: &'a str,
    pub time_left: Time,
    pub token: Option<&'a str>,
    pub lanes: Option<f64>,
}

/// The smallest number of lanes that a call can take.
const MIN_LANES: f64 = 1.0;

impl<'a> Call<'a> {
    /// Parses the method and the fields of a call.
    pub fn parse(method: &'a [u8], fields: &'a [u8]) -> Result<Call<'a>, Rejection> {
        let (method, fields) = (parse_text(method)?, parse_text(fields)?);
        let field = |name| commands::field(fields, name);
        let id = field("req").and_then(commands::parse_hex_id).ok_or(Rejection::Malformed("invalid ID"))?;
        let time_left = parse_timeout(field("timeout").unwrap_or(""))?;
        let model = field("subject")
            .and_then(commands::parse_hex_id)
            .ok_or(Rejection::Malformed("invalid function"))?;
        let lanes = parse_lanes(field("info").unwrap_or(""))?;
        let (method, tenant) = (field("kind").unwrap_or(method), field("owner").unwrap_or(""));
        Ok(Call { id, method, tenant, model, time_left, token: field("opkey"), lanes })
    }
}

fn parse_text(bytes: &[u8]) -> Result<&str, Rejection> {
    std::str::from_utf8(bytes).map_err(|_| Rejection::Malformed("not UTF-8"))
}

fn parse_timeout(text: &str) -> Result<Time, Rejection> {
    commands::parse_timeout(text).ok_or(match commands::parse_number(text) {
        Some(_) => Rejection::Unsupported("timeout out of range"),
        None => Rejection::Malformed("invalid timeout"),
    })
}

fn parse_lanes(info: &str) -> Result<Option<f64>, Rejection> {
    let mut lanes = None;
    for parameter in commands::parse_info(info) {
        let (name, value) = parameter.ok_or(Rejection::Malformed("invalid parameters"))?;
        if name == "lanes" {
            lanes = lanes.or(Some(value));
        }
    }
    match lanes {
        Some(lanes) if lanes < MIN_LANES => Err(Rejection::Unsupported("too few lanes")),
        _ => Ok(lanes),
    }
}
