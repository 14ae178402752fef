use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use curlewpoint::types::{Outcome, Time};
use curlewpoint_emulator::{FetchId, StoreModel, StoreSpec};
use curlewpoint_gateway::outcome_code;
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

use super::wire::{Door, Heard, PeerId, Say};
use crate::record::Record;

enum Fault {
    Stop(Time),
    Refuse(bool),
}

/// The model store on a socket.
pub struct StoreStand {
    pub address: SocketAddr,
    faults: mpsc::UnboundedSender<Fault>,
    turned_away: Arc<AtomicU64>,
    asked: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for StoreStand {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StoreStand {
    pub async fn start(listen: &str, record: &Record, spec: StoreSpec) -> std::io::Result<StoreStand> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (faults, given) = mpsc::unbounded_channel();
        let turned_away = Arc::new(AtomicU64::new(0));
        let asked = Arc::new(AtomicU64::new(0));
        let counts = (Arc::clone(&turned_away), Arc::clone(&asked));
        let task = tokio::spawn(run(listener, record.clone(), StoreModel::new(spec), given, counts));
        Ok(StoreStand { address, faults, turned_away, asked, task })
    }

    /// Fetches that were turned away so far.
    pub fn turned_away(&self) -> u64 {
        self.turned_away.load(Ordering::Relaxed)
    }

    /// Fetches that were asked for so far.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }

    pub fn stop_until(&self, until: Time) {
        let _ = self.faults.send(Fault::Stop(until));
    }

    pub fn refuse(&self, refuses: bool) {
        let _ = self.faults.send(Fault::Refuse(refuses));
    }
}

async fn run(
    listener: TcpListener, record: Record, mut model: StoreModel, mut faults: mpsc::UnboundedReceiver<Fault>,
    (turned_away, all): (Arc<AtomicU64>, Arc<AtomicU64>),
) {
    let (heard, mut hear) = mpsc::unbounded_channel();
    let (_mute, muted) = watch::channel(false);
    let _door = Door::open(listener, "store".to_owned(), heard, muted);
    let mut peers: BTreeMap<PeerId, mpsc::UnboundedSender<Say>> = BTreeMap::new();
    let mut asked: BTreeMap<FetchId, (PeerId, u64)> = BTreeMap::new();
    let mut next = 0;
    loop {
        let wake = model.next(record.now()).unwrap_or(record.now() + Time(10_000));
        tokio::select! {
            Some(fault) = faults.recv() => match fault {
                Fault::Stop(until) => model.stop(record.now(), until),
                Fault::Refuse(refuses) => model.refuse(refuses),
            },
            Some(heard) = hear.recv() => match heard {
                Heard::Hello(id, _, say) => {
                    peers.insert(id, say);
                }
                Heard::Gone(id) => {
                    peers.remove(&id);
                    model.leave(record.now(), |f| asked.get(&f).is_some_and(|a| a.0 == id));
                    asked.retain(|_, a| a.0 != id);
                }
                Heard::Frame(id, f) if f.kind == Kind::FETCH => {
                    let (Ok(tag), Ok(work)) = (f.get_int(Field::TAG), f.get_int(Field::WORK_TIME)) else { continue };
                    next += 1;
                    asked.insert(FetchId(next), (id, tag));
                    all.fetch_add(1, Ordering::Relaxed);
                    if !model.fetch(record.now(), FetchId(next), Time(work).ms()) {
                        turned_away.store(model.turned_away, Ordering::Relaxed);
                        answer(&peers, &mut asked, FetchId(next), Outcome::Full);
                    }
                }
                Heard::Frame(..) => {}
            },
            () = sleep_until(record.instant(wake).into()) => {}
        }
        for id in model.advance(record.now()) {
            answer(&peers, &mut asked, id, Outcome::Ok);
        }
    }
}

fn answer(
    peers: &BTreeMap<PeerId, mpsc::UnboundedSender<Say>>, asked: &mut BTreeMap<FetchId, (PeerId, u64)>,
    id: FetchId, outcome: Outcome,
) {
    let Some((peer, tag)) = asked.remove(&id) else { return };
    let frame = Frame::new(Kind::FETCHED).int(Field::TAG, tag).int(Field::OUTCOME, outcome_code(outcome));
    if let Some(say) = peers.get(&peer) {
        let _ = say.send(Say::Frame(frame));
    }
}
