use bytes::Bytes;
use curlewpoint_engine::{ClientId, ConnId};
use curlewpoint_link::Outbox;
use curlewpoint_platform::resp::RespError;
use serde_json::{Map, Value};

use crate::directory::List;
use crate::outside::Client;

/// What the tasks around connections tell the one that owns the engine.
pub(crate) enum Note {
    ClientIn(ClientId, Client),
    Client(ClientId, Vec<Bytes>),
    /// It has said nothing for a while.
    Quiet(ClientId),
    /// It is gone, or what it sent could not be read.
    ClientOut(ClientId, Option<RespError>),
    /// A connection to a worker is up, could not be opened, brought a line, has broken.
    Up(ConnId, Outbox<Bytes>),
    Down(ConnId),
    Worker(ConnId, Map<String, Value>),
    Broken(ConnId),
    /// A list that the directory told.
    List(List),
    Stop,
}
