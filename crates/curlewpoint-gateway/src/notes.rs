use curlewpoint_catalogue::Release;
use curlewpoint_engine::{ClientId, ConnId};
use curlewpoint_link::Outbox;
use curlewpoint_wire::{Frame, WireError};

use crate::http::Ask;
use crate::outside::Client;
use crate::reload::Reload;

/// What the tasks around connections tell the one that owns the engine.
pub(crate) enum Note {
    ClientIn(ClientId, Client),
    /// What a client sent, and the methods in force when it was looked at.
    Client(ClientId, Release, Frame),
    /// An RPC whose body does not fit its method, and why.
    Unfit(ClientId, Frame, String),
    /// It is gone, or what it sent could not be read.
    ClientOut(ClientId, Option<WireError>),
    /// An RPC over HTTP.
    Ask(ClientId, Ask),
    /// A connection to a worker is up, could not be opened, brought a frame, has broken.
    Up(ConnId, Outbox),
    Down(ConnId),
    Worker(ConnId, Frame),
    Broken(ConnId),
    ListUp(Outbox),
    List(Frame),
    ListBroke,
    Reload(Reload),
    /// Take nothing more, answer what is open; at a second one, end at once.
    Stop,
}
