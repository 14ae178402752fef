use std::collections::BTreeMap;
use std::net::SocketAddr;

use curlewpoint::types::Outcome;
use curlewpoint_gateway::outcome_code;
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::wire::{Door, Heard, PeerId, Say};

/// A worker whose answers the test gives by hand.
pub struct Puppet {
    pub name: String,
    pub address: SocketAddr,
    door: Option<Door>,
    heard: mpsc::UnboundedReceiver<Heard>,
    pub peers: BTreeMap<PeerId, mpsc::UnboundedSender<Say>>,
    pub mute: watch::Sender<bool>,
}

impl Puppet {
    pub async fn start(name: &str) -> Puppet {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("bound");
        let (tell, heard) = mpsc::unbounded_channel();
        let (mute, muted) = watch::channel(false);
        let door = Some(Door::open(listener, name.to_owned(), tell, muted));
        Puppet { name: name.to_owned(), address, door, heard, peers: BTreeMap::new(), mute }
    }

    /// The next attempt that arrives.
    pub async fn attempt(&mut self) -> (PeerId, Frame) {
        loop {
            let Some(heard) = self.heard.recv().await else {
                // It has died: nothing arrives any more.
                std::future::pending().await
            };
            match heard {
                Heard::Hello(id, _, say) => drop(self.peers.insert(id, say)),
                Heard::Frame(id, f) if f.kind == Kind::ATTEMPT => return (id, f),
                Heard::Frame(id, f) if f.kind == Kind::PROBE => {
                    let report = Frame::new(Kind::REPORT).int(Field::TAG, f.get_int(Field::TAG).unwrap());
                    self.say(id, Say::Frame(report));
                }
                Heard::Frame(..) => {}
                Heard::Gone(id) => drop(self.peers.remove(&id)),
            }
        }
    }

    /// Whether an attempt arrives before this event has happened.
    pub async fn attempt_before(&mut self, event: impl std::future::Future<Output = ()>) -> bool {
        tokio::select! {
            _ = self.attempt() => true,
            () = event => false,
        }
    }

    pub fn say(&self, peer: PeerId, say: Say) {
        let _ = self.peers[&peer].send(say);
    }

    pub fn answer(&self, (peer, f): &(PeerId, Frame), outcome: Outcome) {
        self.say(*peer, Say::Frame(answer(f, outcome)));
    }

    /// The process dies: all connections end at once.
    pub fn die(&mut self) {
        self.door = None;
    }
}

pub fn answer(f: &Frame, outcome: Outcome) -> Frame {
    let tag = f.get_int(Field::TAG).expect("attempts have tags");
    Frame::new(Kind::ANSWER)
        .int(Field::TAG, tag)
        .int(Field::OUTCOME, outcome_code(outcome))
        .body(f.body.clone())
}
