//! The startup configuration that the platform gives a scheduler as JSON, and again when the file is replaced.

use std::net::SocketAddr;

use curlewpoint::types::Lifecycle;
use serde_json::{Map, Value};
use thiserror::Error;

use crate::EndpointListVisitor;

#[derive(Debug, Error)]
pub enum StartupError {
    #[error("not a JSON object: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("'{0}' is missing or invalid")]
    InvalidKey(&'static str),
    #[error("'{0}' is {1}, the minimum is {2}")]
    BelowMinimum(&'static str, u64, u64),
}

/// The minimum number of file descriptors that a scheduler needs.
const MIN_SOCKETS: u64 = 64;
/// The minimum memory that a scheduler needs, in megabytes.
const MIN_MEMORY_MB: u64 = 8;

/// The startup configuration of a scheduler.
pub struct StartupConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u128,
    /// File descriptors that this process may hold.
    pub sockets: usize,
    pub memory_mb: usize,
    /// Address of the discovery service.
    pub resolver: SocketAddr,
    /// Settings of the decision module.
    pub settings: Map<String, Value>,
    /// Endpoint lists known at the start, for [`visit_known_workers`].
    pub known: Value,
}

pub fn parse(text: &str) -> Result<StartupConfig, StartupError> {
    let mut object: Map<String, Value> = serde_json::from_str(text)?;
    let text =
        |name: &'static str| object.get(name).and_then(Value::as_str).ok_or(StartupError::InvalidKey(name));
    let address = |name| text(name).and_then(|a| a.parse().map_err(|_| StartupError::InvalidKey(name)));
    let limit = |name: &str, path: &'static str, min: u64| {
        let value = object.get("limits").and_then(|l| l.get(name)).and_then(Value::as_f64);
        let value = value.filter(|v| *v >= 0.0 && *v < 1e15).ok_or(StartupError::InvalidKey(path))? as u64;
        if value < min {
            return Err(StartupError::BelowMinimum(path, value, min));
        }
        Ok(value as usize)
    };
    let (listen, resolver, name) = (address("listen")?, address("resolver")?, text("name")?.to_owned());
    let seed = u128::from_str_radix(text("seed")?, 16).map_err(|_| StartupError::InvalidKey("seed"))?;
    let sockets = limit("sockets", "limits.sockets", MIN_SOCKETS)?;
    let memory_mb = limit("memory_mb", "limits.memory_mb", MIN_MEMORY_MB)?;
    let known = object.remove("known").unwrap_or_default();
    let Some(Value::Object(settings)) = object.remove("settings") else {
        return Err(StartupError::InvalidKey("settings"));
    };
    Ok(StartupConfig { name, listen, seed, sockets, memory_mb, resolver, settings, known })
}

/// Passes the endpoint lists in `known` to `visitor`, in their order: the complete list first, then the changes since.
pub fn visit_known_workers(
    known: &Value, visitor: &mut impl EndpointListVisitor,
) -> Result<(), StartupError> {
    let mut since = None;
    for event in known.get("cmds").and_then(Value::as_array).into_iter().flatten() {
        let version =
            event.get("cursor").and_then(Value::as_u64).ok_or(StartupError::InvalidKey("cursor"))?;
        let Some(nodes) = event.get("nodes") else { continue };
        let is_complete = nodes.get("reset").and_then(Value::as_bool).unwrap_or(false);
        visitor.begin_list(version, since.filter(|_| !is_complete));
        for row in nodes.get("instances").and_then(Value::as_array).into_iter().flatten() {
            let text = |name| row.get(name).and_then(Value::as_str).ok_or(StartupError::InvalidKey(name));
            let number = |name| row.get(name).and_then(Value::as_u64);
            let lifecycle = match text("lifecycle")? {
                "Ready" => Lifecycle::Ready,
                "Terminating" => Lifecycle::Draining,
                "Gone" => Lifecycle::Gone,
                _ => return Err(StartupError::InvalidKey("lifecycle")),
            };
            let is_gone = lifecycle == Lifecycle::Gone;
            let address = text("hostPort").or(if is_gone {
                Ok("")
            } else {
                Err(StartupError::InvalidKey("hostPort"))
            })?;
            let cell = number("cell").map(|c| c.to_string()).unwrap_or_default();
            let size = row.get("weight").and_then(Value::as_f64).unwrap_or(1.0);
            let (started, zone) = (number("startedAtMs").unwrap_or(0), text("zone").unwrap_or(""));
            visitor.endpoint(text("instanceId")?, address, lifecycle, started, zone, &cell, size);
        }
        visitor.end_list();
        since = Some(version);
    }
    Ok(())
}
