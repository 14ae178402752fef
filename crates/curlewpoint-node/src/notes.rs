use bytes::Bytes;
use curlewpoint_engine::{ClientId, ConnId};
use curlewpoint_link::Outbox;
use curlewpoint_platform::resp::RespError;
use serde_json::{Map, Value};

use crate::directory::List;
use crate::line::WorkerLine;
use crate::outside::Client;

/// What the tasks around connections tell the one that owns the engine. What ends something goes by a channel of its
/// own, ahead of what begins something: a client that has gone or cancelled is never behind others' calls. So a cancel
/// may come before its call, and calls after their client has gone.
pub(crate) enum Note {
    /// Ahead of all that the client asks, and of its going.
    ClientIn(ClientId, Client),
    Client(ClientId, Vec<Bytes>),
    Cancel(ClientId, Vec<Bytes>),
    /// It has said nothing for a while.
    Quiet(ClientId),
    /// It is gone, or what it sent could not be read.
    ClientOut(ClientId, Option<RespError>),
    /// A connection to a worker is up, brought a line, has broken.
    Up(ConnId, Outbox<WorkerLine>),
    Worker(ConnId, Map<String, Value>),
    Broken(ConnId),
    /// It could not be opened; whether that was for want of something on this side.
    Down(ConnId, bool),
    /// A list that the directory told.
    List(List),
    Stop,
    /// Figures are to be logged.
    Figures,
}
