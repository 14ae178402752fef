//! What a scheduler is told at its start, and again when the file is replaced.

use std::net::SocketAddr;

use curlewpoint::types::Lifecycle;
use serde_json::{Map, Value};
use thiserror::Error;

use crate::Roll;

#[derive(Debug, Error)]
pub enum ToldError {
    #[error("no JSON object: {0}")]
    NotRead(#[from] serde_json::Error),
    #[error("'{0}' is missing or cannot be used")]
    Lacks(&'static str),
    #[error("'{0}' is {1}, and {2} is the least that serves")]
    TooLittle(&'static str, u64, u64),
}

/// The least descriptors, and megabytes, that a scheduler can serve with.
const LEAST_SOCKETS: u64 = 64;
const LEAST_MEMORY_MB: u64 = 8;

pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u128,
    /// Descriptors that this process may hold.
    pub sockets: usize,
    pub memory_mb: usize,
    pub resolver: SocketAddr,
    /// The module's.
    pub settings: Map<String, Value>,
    pub known: Value,
}

pub fn read(text: &str) -> Result<Told, ToldError> {
    let mut all: Map<String, Value> = serde_json::from_str(text)?;
    let text = |name: &'static str| all.get(name).and_then(Value::as_str).ok_or(ToldError::Lacks(name));
    let address = |name| text(name).and_then(|a| a.parse().map_err(|_| ToldError::Lacks(name)));
    let limit = |name: &str, whole: &'static str, least: u64| {
        let told = all.get("limits").and_then(|l| l.get(name)).and_then(Value::as_f64);
        let told = told.filter(|v| *v >= 0.0 && *v < 1e15).ok_or(ToldError::Lacks(whole))? as u64;
        if told < least {
            return Err(ToldError::TooLittle(whole, told, least));
        }
        Ok(told as usize)
    };
    let (listen, resolver, name) = (address("listen")?, address("resolver")?, text("name")?.to_owned());
    let seed = u128::from_str_radix(text("seed")?, 16).map_err(|_| ToldError::Lacks("seed"))?;
    let sockets = limit("sockets", "limits.sockets", LEAST_SOCKETS)?;
    let memory_mb = limit("memory_mb", "limits.memory_mb", LEAST_MEMORY_MB)?;
    let known = all.remove("known").unwrap_or_default();
    let Some(Value::Object(settings)) = all.remove("settings") else {
        return Err(ToldError::Lacks("settings"));
    };
    Ok(Told { name, listen, seed, sockets, memory_mb, resolver, settings, known })
}

/// Goes through the events of the directory that the start tells: the whole list first, then what has changed.
pub fn known(known: &Value, roll: &mut impl Roll) -> Result<(), ToldError> {
    let mut since = None;
    for event in known.get("cmds").and_then(Value::as_array).into_iter().flatten() {
        let version = event.get("cursor").and_then(Value::as_u64).ok_or(ToldError::Lacks("cursor"))?;
        let Some(nodes) = event.get("nodes") else { continue };
        let whole = nodes.get("reset").and_then(Value::as_bool).unwrap_or(false);
        roll.begins(version, since.filter(|_| !whole));
        for row in nodes.get("instances").and_then(Value::as_array).into_iter().flatten() {
            let text = |name| row.get(name).and_then(Value::as_str).ok_or(ToldError::Lacks(name));
            let number = |name| row.get(name).and_then(Value::as_u64);
            let standing = match text("lifecycle")? {
                "Ready" => Lifecycle::Ready,
                "Terminating" => Lifecycle::Draining,
                "Gone" => Lifecycle::Gone,
                _ => return Err(ToldError::Lacks("lifecycle")),
            };
            let gone = standing == Lifecycle::Gone;
            let address =
                text("hostPort").or(if gone { Ok("") } else { Err(ToldError::Lacks("hostPort")) })?;
            let cell = number("cell").map(|c| c.to_string()).unwrap_or_default();
            let size = row.get("weight").and_then(Value::as_f64).unwrap_or(1.0);
            let (started, zone) = (number("startedAtMs").unwrap_or(0), text("zone").unwrap_or(""));
            roll.worker(text("instanceId")?, address, standing, started, zone, &cell, size);
        }
        roll.ends();
        since = Some(version);
    }
    Ok(())
}
