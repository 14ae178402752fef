use curlewpoint_catalogue::Release;
use curlewpoint_engine::{ClientId, ConnId};
use curlewpoint_fleet::LinkId;
use curlewpoint_link::Outbox;
use curlewpoint_wire::{Frame, WireError};

use crate::driver::Client;
use crate::http::RpcRequest;
use crate::reload::Reload;

/// Events that the connection tasks send to the task that owns the engine.
pub(crate) enum Event {
    ClientConnected(ClientId, Client),
    /// A frame from a client, and the release of the methods that were active when it was read.
    ClientFrame(ClientId, Release, Frame),
    /// An RPC whose body does not match its method's schema, and the reason.
    InvalidRpc(ClientId, Frame, String),
    /// A client cancels the RPC with this tag. None: the RPC was still in the client task and has been dropped there.
    /// Some(n): it may be among the first n events that the client task has passed on.
    CancelRpc(ClientId, u64, Option<u64>),
    /// A client sent something that is invalid or cannot be read: its connection is to be closed.
    ClientFailed(ClientId, WireError),
    /// A client's connection has ended, or is closed and brings no more frames; and the number of RPCs that were read
    /// from it and not passed on.
    ClientDisconnected(ClientId, usize),
    /// An RPC that arrived over HTTP or AMQP.
    Request(ClientId, RpcRequest),
    /// A connection to a worker is established.
    WorkerConnected(ConnId, Outbox),
    /// A connection to a worker could not be established, and whether the cause is a local resource limit.
    WorkerDialFailed(ConnId, bool),
    WorkerFrame(ConnId, Frame),
    WorkerDisconnected(ConnId),
    ListConnected(Outbox),
    ListFrame(Frame),
    ListDisconnected,
    /// A peer has opened a link to this instance.
    PeerAccepted(LinkId, Outbox),
    /// A link that this instance has opened to a peer is established.
    PeerConnected(LinkId, Outbox),
    PeerFrame(LinkId, Frame),
    PeerDisconnected(LinkId),
    Reload(Reload),
    /// Stop accepting RPCs and finish open ones. A second stop ends the scheduler at once.
    Stop,
}

impl Event {
    /// Whether the event comes from a client.
    pub fn is_from_client(&self) -> bool {
        use Event::*;
        matches!(
            self,
            ClientConnected(..)
                | ClientFrame(..)
                | InvalidRpc(..)
                | CancelRpc(..)
                | ClientFailed(..)
                | ClientDisconnected(..)
                | Request(..)
        )
    }

    /// Whether the event is processed while other events are held back after this process has been stalled: it updates
    /// what is known of peers and of the list, or asks for a stop.
    pub fn bypasses_hold(&self) -> bool {
        use Event::*;
        matches!(
            self,
            PeerAccepted(..)
                | PeerConnected(..)
                | PeerFrame(..)
                | PeerDisconnected(_)
                | ListConnected(_)
                | ListFrame(_)
                | ListDisconnected
                | Stop
        )
    }
}
