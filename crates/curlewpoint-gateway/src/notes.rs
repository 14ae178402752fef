use curlewpoint_catalogue::Release;
use curlewpoint_engine::{ClientId, ConnId};
use curlewpoint_fleet::LinkId;
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
    /// It withdraws what it asked under this tag: one that was not passed on, or one among so many passed on before.
    Cancel(ClientId, u64, Option<u64>),
    /// It is gone, or what it sent could not be read; so many RPCs were read of it and never passed on.
    ClientOut(ClientId, Option<WireError>, usize),
    /// An RPC over HTTP.
    Ask(ClientId, Ask),
    /// A connection to a worker is up, could not be opened, brought a frame, has broken.
    Up(ConnId, Outbox),
    /// Whether it was for want of something on this side.
    Down(ConnId, bool),
    Worker(ConnId, Frame),
    Broken(ConnId),
    ListUp(Outbox),
    List(Frame),
    ListBroke,
    /// A link to a peer: one that it opened, one that was opened from here, what came on it, its end.
    PeerIn(LinkId, Outbox),
    PeerUp(LinkId, Outbox),
    Peer(LinkId, Frame),
    PeerDown(LinkId),
    Reload(Reload),
    /// Take nothing more, answer what is open; at a second one, end at once.
    Stop,
}

impl Note {
    /// Whether it comes from a client.
    pub fn is_of_client(&self) -> bool {
        use Note::*;
        matches!(self, ClientIn(..) | Client(..) | Unfit(..) | Cancel(..) | ClientOut(..) | Ask(..))
    }

    /// Whether it tells of peers or of the list: what is heard before anything new is sent after standing still.
    pub fn is_news(&self) -> bool {
        use Note::*;
        matches!(
            self,
            PeerIn(..) | PeerUp(..) | Peer(..) | PeerDown(_) | ListUp(_) | List(_) | ListBroke | Stop
        )
    }
}
