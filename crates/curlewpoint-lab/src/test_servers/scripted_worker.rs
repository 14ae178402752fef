use std::collections::BTreeMap;
use std::net::SocketAddr;

use curlewpoint::types::Outcome;
use curlewpoint_gateway::outcome_code;
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::wire::{Listener, Outgoing, PeerEvent, PeerId};

/// A worker whose answers the test gives by hand.
pub struct ScriptedWorker {
    pub name: String,
    pub address: SocketAddr,
    listener: Option<Listener>,
    events: mpsc::UnboundedReceiver<PeerEvent>,
    pub peers: BTreeMap<PeerId, mpsc::UnboundedSender<Outgoing>>,
    pub mute: watch::Sender<bool>,
}

impl ScriptedWorker {
    pub async fn start(name: &str) -> ScriptedWorker {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("bound");
        let (event_tx, events) = mpsc::unbounded_channel();
        let (mute, muted) = watch::channel(false);
        let accepting = Some(Listener::open(listener, name.to_owned(), event_tx, muted));
        ScriptedWorker {
            name: name.to_owned(),
            address,
            listener: accepting,
            events,
            peers: BTreeMap::new(),
            mute,
        }
    }

    /// The next attempt that arrives.
    pub async fn next_attempt(&mut self) -> (PeerId, Frame) {
        loop {
            let Some(event) = self.events.recv().await else {
                // It has died: nothing arrives any more.
                std::future::pending().await
            };
            match event {
                PeerEvent::Connected(id, _, outgoing) => drop(self.peers.insert(id, outgoing)),
                PeerEvent::Frame(id, f) if f.kind == Kind::ATTEMPT => return (id, f),
                PeerEvent::Frame(id, f) if f.kind == Kind::PROBE => {
                    let report = Frame::new(Kind::REPORT).int(Field::TAG, f.get_int(Field::TAG).unwrap());
                    self.send(id, Outgoing::Frame(report));
                }
                PeerEvent::Frame(..) => {}
                PeerEvent::Disconnected(id) => drop(self.peers.remove(&id)),
            }
        }
    }

    /// Whether an attempt arrives before this event has happened.
    pub async fn attempt_before(&mut self, event: impl std::future::Future<Output = ()>) -> bool {
        tokio::select! {
            _ = self.next_attempt() => true,
            () = event => false,
        }
    }

    pub fn send(&self, peer: PeerId, outgoing: Outgoing) {
        let _ = self.peers[&peer].send(outgoing);
    }

    pub fn respond(&self, (peer, f): &(PeerId, Frame), outcome: Outcome) {
        self.send(*peer, Outgoing::Frame(encode_answer(f, outcome)));
    }

    /// The process dies: all connections end at once.
    pub fn kill(&mut self) {
        self.listener = None;
    }
}

pub fn encode_answer(f: &Frame, outcome: Outcome) -> Frame {
    let tag = f.get_int(Field::TAG).expect("attempts have tags");
    Frame::new(Kind::ANSWER)
        .int(Field::TAG, tag)
        .int(Field::OUTCOME, outcome_code(outcome))
        .body(f.body.clone())
}
