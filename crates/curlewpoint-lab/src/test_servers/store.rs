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

use super::wire::{Listener, Outgoing, PeerEvent, PeerId};
use crate::transcript::Transcript;

enum Fault {
    Stop(Time),
    SetRejecting(bool),
}

/// The model store on a socket.
pub struct TestStore {
    pub address: SocketAddr,
    faults: mpsc::UnboundedSender<Fault>,
    rejected: Arc<AtomicU64>,
    requested: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for TestStore {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TestStore {
    pub async fn start(listen: &str, transcript: &Transcript, spec: StoreSpec) -> std::io::Result<TestStore> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (faults, faults_rx) = mpsc::unbounded_channel();
        let rejected = Arc::new(AtomicU64::new(0));
        let requested = Arc::new(AtomicU64::new(0));
        let counts = (Arc::clone(&rejected), Arc::clone(&requested));
        let task = tokio::spawn(run(listener, transcript.clone(), StoreModel::new(spec), faults_rx, counts));
        Ok(TestStore { address, faults, rejected, requested, task })
    }

    /// Fetches that were turned away so far.
    pub fn rejected_fetches(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Fetches that were asked for so far.
    pub fn requested_fetches(&self) -> u64 {
        self.requested.load(Ordering::Relaxed)
    }

    pub fn stop_until(&self, until: Time) {
        let _ = self.faults.send(Fault::Stop(until));
    }

    pub fn set_rejecting(&self, rejecting: bool) {
        let _ = self.faults.send(Fault::SetRejecting(rejecting));
    }
}

async fn run(
    listener: TcpListener, transcript: Transcript, mut model: StoreModel,
    mut faults: mpsc::UnboundedReceiver<Fault>, (rejected, requested): (Arc<AtomicU64>, Arc<AtomicU64>),
) {
    let (event_tx, mut events) = mpsc::unbounded_channel();
    let (_mute, muted) = watch::channel(false);
    let _listener = Listener::open(listener, "store".to_owned(), event_tx, muted);
    let mut peers: BTreeMap<PeerId, mpsc::UnboundedSender<Outgoing>> = BTreeMap::new();
    let mut open: BTreeMap<FetchId, (PeerId, u64)> = BTreeMap::new();
    let mut next = 0;
    loop {
        let next_wake = model.next(transcript.now()).unwrap_or(transcript.now() + Time(10_000));
        tokio::select! {
            Some(fault) = faults.recv() => match fault {
                Fault::Stop(until) => model.stop(transcript.now(), until),
                Fault::SetRejecting(rejecting) => model.set_rejecting(rejecting),
            },
            Some(event) = events.recv() => match event {
                PeerEvent::Connected(id, _, outgoing) => {
                    peers.insert(id, outgoing);
                }
                PeerEvent::Disconnected(id) => {
                    peers.remove(&id);
                    model.abandon(transcript.now(), |f| open.get(&f).is_some_and(|a| a.0 == id));
                    open.retain(|_, a| a.0 != id);
                }
                PeerEvent::Frame(id, f) if f.kind == Kind::FETCH => {
                    let (Ok(tag), Ok(work)) = (f.get_int(Field::TAG), f.get_int(Field::WORK_TIME)) else { continue };
                    next += 1;
                    open.insert(FetchId(next), (id, tag));
                    requested.fetch_add(1, Ordering::Relaxed);
                    if !model.fetch(transcript.now(), FetchId(next), Time(work).ms()) {
                        rejected.store(model.rejected, Ordering::Relaxed);
                        respond(&peers, &mut open, FetchId(next), Outcome::Full);
                    }
                }
                PeerEvent::Frame(..) => {}
            },
            () = sleep_until(transcript.instant(next_wake).into()) => {}
        }
        for id in model.advance(transcript.now()) {
            respond(&peers, &mut open, id, Outcome::Ok);
        }
    }
}

fn respond(
    peers: &BTreeMap<PeerId, mpsc::UnboundedSender<Outgoing>>, open: &mut BTreeMap<FetchId, (PeerId, u64)>,
    id: FetchId, outcome: Outcome,
) {
    let Some((peer, tag)) = open.remove(&id) else { return };
    let frame = Frame::new(Kind::FETCHED).int(Field::TAG, tag).int(Field::OUTCOME, outcome_code(outcome));
    if let Some(outgoing) = peers.get(&peer) {
        let _ = outgoing.send(Outgoing::Frame(frame));
    }
}
