//! What the tests on sockets share: a gateway, a list service, and workers that do as a test says.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use curlewpoint::types::{Outcome, Standing, Time};
use curlewpoint_config::Config;
use curlewpoint_emulator::Row;
use curlewpoint_gateway::{outcome_code, Running};
use curlewpoint_lab::stand::wire::{Door, Heard, PeerId, Say};
use curlewpoint_lab::stand::ListStand;
use curlewpoint_lab::{Office, Record, Seen, CONFIG};
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

pub fn config() -> Config {
    curlewpoint_config::parse("rehearsal.conf", CONFIG).expect("it is shipped")
}

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

    /// The next call-out that arrives.
    pub async fn call_out(&mut self) -> (PeerId, Frame) {
        loop {
            let Some(heard) = self.heard.recv().await else {
                // It has died: nothing arrives any more.
                std::future::pending().await
            };
            match heard {
                Heard::Hello(id, _, say) => drop(self.peers.insert(id, say)),
                Heard::Frame(id, f) if f.kind == Kind::CALL_OUT => return (id, f),
                Heard::Frame(id, f) if f.kind == Kind::PROBE => {
                    let report = Frame::new(Kind::REPORT).int(Field::TAG, f.get_int(Field::TAG).unwrap());
                    self.say(id, Say::Frame(report));
                }
                Heard::Frame(..) => {}
                Heard::Gone(id) => drop(self.peers.remove(&id)),
            }
        }
    }

    /// Whether a call-out arrives before this event has happened.
    pub async fn call_out_before(&mut self, event: impl std::future::Future<Output = ()>) -> bool {
        tokio::select! {
            _ = self.call_out() => true,
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
    let tag = f.get_int(Field::TAG).expect("call-outs have tags");
    Frame::new(Kind::ANSWER)
        .int(Field::TAG, tag)
        .int(Field::OUTCOME, outcome_code(outcome))
        .body(f.body.clone())
}

/// A gateway with its list service, and a client.
pub struct Stage {
    pub record: Record,
    pub list: ListStand,
    pub gateway: Running,
    pub office: Office,
}

impl Stage {
    pub async fn with(config: Config, workers: &[&Puppet]) -> Stage {
        let record = Record::default();
        let list = ListStand::start("127.0.0.1:0", &record, Time(0)).await.expect("loopback");
        workers.iter().for_each(|w| name(&list, w, Standing::Ready));
        let config = config.with("list", &list.address.to_string());
        let gateway = curlewpoint_gateway::start(&config).await.expect("loopback");
        let office = Office::open(&gateway.address.to_string(), "front", &record).await.expect("it serves");
        Stage { record, list, gateway, office }
    }

    pub async fn new(workers: &[&Puppet]) -> Stage {
        Stage::with(config().with("seed", "7"), workers).await
    }

    pub fn ask(&self, key: u64, method: &str, left_ms: u64) {
        self.office.ask(key, method, "model", "", Time(left_ms * 10), 64);
    }

    /// Waits until what was seen holds this, and gives it with its time.
    pub async fn until(&self, wanted: impl Fn(&Seen) -> bool) -> (Time, Seen) {
        let began = std::time::Instant::now();
        loop {
            assert!(
                began.elapsed().as_secs() < 30,
                "what was waited for did not come: {:?}",
                self.record.all()
            );
            if let Some(found) = self.record.all().into_iter().find(|(_, s)| wanted(s)) {
                return found;
            }
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
    }

    pub async fn final_of(&self, key: u64) -> curlewpoint_engine::Answer {
        match self.until(|s| matches!(s, Seen::Final { key: k, .. } if *k == key)).await.1 {
            Seen::Final { answer, .. } => answer,
            _ => unreachable!("it was looked for"),
        }
    }

    pub fn finals(&self, key: u64) -> usize {
        self.record.all().iter().filter(|(_, s)| matches!(s, Seen::Final { key: k, .. } if *k == key)).count()
    }
}

pub fn name(list: &ListStand, w: &Puppet, standing: Standing) {
    let (zone, cell) = ("z".to_owned(), "c".to_owned());
    let row = Row { address: w.address.to_string(), standing, start: 1, since: None, zone, cell, size: 1.0 };
    list.set(&w.name, row);
}
