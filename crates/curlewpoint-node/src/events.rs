//! Events that connection tasks send to the task that owns the engine.

use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_engine::{ClientId, ConnId};
use curlewpoint_link::Outbox;
use serde_json::{Map, Value};

use crate::client_close::CloseReason;
use crate::discovery::DiscoveryResponse;
use crate::driver::Client;
use crate::worker_line::WorkerLine;

/// An event for the task that owns the engine. Events that end something go by a channel of their own, ahead of those
/// that start something, so that a disconnect or a cancel never waits behind other clients' calls. Therefore a cancel
/// may arrive before its call, and calls after their client has disconnected.
pub(crate) enum Event {
    /// Precedes every other event of this client.
    ClientConnected(ClientId, Client),
    ClientCommand(ClientId, Vec<Bytes>),
    /// A cancel, and the number of commands of this client that were passed on before it.
    ClientCancel(ClientId, Vec<Bytes>, u64),
    /// The client has sent nothing for the silence interval.
    ClientSilent(ClientId),
    /// The client's connection is to be closed, and nothing more is read from it.
    ClientFailed(ClientId, CloseReason),
    /// The connection has ended, or is closed and brings no more commands.
    ClientDisconnected(ClientId),
    WorkerConnected(ConnId, Outbox<WorkerLine>),
    WorkerMessage(ConnId, Map<String, Value>),
    WorkerDisconnected(ConnId),
    /// A connection to a worker could not be established; true if the cause is local, such as a lack of descriptors.
    WorkerDialFailed(ConnId, bool),
    /// Discovery returned a list.
    DiscoveryResponse(DiscoveryResponse),
    /// Discovery was queried, or could not be, at this time. All responses received by then were passed on before.
    DiscoveryQuery(Time),
    Stop,
    /// The counters are to be logged.
    LogCounters,
}
