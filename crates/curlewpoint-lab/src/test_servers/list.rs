use std::collections::BTreeMap;
use std::net::SocketAddr;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_emulator::{ListEntry, ListModel};
use curlewpoint_gateway::lifecycle_code;
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

use super::wire::{Listener, Outgoing, PeerEvent, PeerId};
use crate::transcript::{Transcript, TranscriptEvent};

enum Change {
    Set(String, ListEntry),
    Lifecycle(String, Lifecycle),
    Delay(Time),
    Down(Time),
}

/// The list service on a socket: it pushes changes, late by a stated time, to all who watch.
pub struct TestListService {
    pub address: SocketAddr,
    changes: mpsc::UnboundedSender<Change>,
    task: JoinHandle<()>,
}

impl Drop for TestListService {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TestListService {
    pub async fn start(
        listen: &str, transcript: &Transcript, delay: Time,
    ) -> std::io::Result<TestListService> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (changes, changes_rx) = mpsc::unbounded_channel();
        let task = tokio::spawn(run(listener, address, transcript.clone(), delay, changes_rx));
        Ok(TestListService { address, changes, task })
    }

    pub fn set_entry(&self, name: &str, entry: ListEntry) {
        let _ = self.changes.send(Change::Set(name.to_owned(), entry));
    }

    pub fn set_lifecycle(&self, name: &str, lifecycle: Lifecycle) {
        let _ = self.changes.send(Change::Lifecycle(name.to_owned(), lifecycle));
    }

    pub fn set_delay(&self, delay: Time) {
        let _ = self.changes.send(Change::Delay(delay));
    }

    /// The service is away until then, and comes back as a new run of itself that knows the same workers.
    pub fn down_until(&self, until: Time) {
        let _ = self.changes.send(Change::Down(until));
    }
}

struct Watcher {
    name: String,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    /// The version that it was told last; none: it has not asked.
    version: Option<(u64, u64)>,
}

async fn run(
    listener: TcpListener, address: SocketAddr, transcript: Transcript, delay: Time,
    mut changes: mpsc::UnboundedReceiver<Change>,
) {
    let (event_tx, mut events) = mpsc::unbounded_channel();
    let (_mute, muted) = watch::channel(false);
    let mut listening = Some(Listener::open(listener, "list".to_owned(), event_tx.clone(), muted.clone()));
    let mut model = ListModel::new(1);
    let mut watchers: BTreeMap<PeerId, Watcher> = BTreeMap::new();
    // Changes wait here until their time has come.
    let (mut delay, mut waiting, mut down_until) = (delay, Vec::<(Time, Change)>::new(), Time(0));
    loop {
        let now = transcript.now();
        if listening.is_none() && down_until <= now {
            if let Ok(listener) = TcpListener::bind(address).await {
                listening =
                    Some(Listener::open(listener, "list".to_owned(), event_tx.clone(), muted.clone()));
            }
        }
        let due: Vec<_> = waiting.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, change) in due {
            match change {
                Change::Set(name, entry) => model.set(&name, entry),
                Change::Lifecycle(name, lifecycle) => model.set_lifecycle(&name, lifecycle),
                Change::Delay(_) | Change::Down(_) => {}
            }
        }
        for watcher in
            watchers.values_mut().filter(|w| w.version.is_some_and(|h| h != (model.epoch, model.version())))
        {
            send_changes(&model, &transcript, watcher);
        }
        let next = waiting.iter().map(|w| w.0).chain((listening.is_none()).then_some(down_until)).min();
        let next = next.unwrap_or(now + Time(10_000)).max(now + Time(10));
        tokio::select! {
            Some(change) = changes.recv() => match change {
                Change::Delay(by) => delay = by,
                Change::Down(until) => {
                    (listening, down_until) = (None, until);
                    watchers.clear();
                    let mut restarted = ListModel::new(model.epoch + 1);
                    model.entries().iter().for_each(|(name, entry)| restarted.set(name, entry.clone()));
                    model = restarted;
                }
                change => waiting.push((transcript.now() + delay, change)),
            },
            Some(event) = events.recv() => match event {
                PeerEvent::Connected(id, name, outgoing) => {
                    watchers.insert(id, Watcher { name, outgoing, version: None });
                }
                PeerEvent::Disconnected(id) => {
                    watchers.remove(&id);
                }
                PeerEvent::Frame(id, f) if f.kind == Kind::WATCH => {
                    let version = f.get_int(Field::EPOCH).ok().zip(f.get_int(Field::LIST_VERSION).ok());
                    if let Some(w) = watchers.get_mut(&id) {
                        w.version = version;
                        send_changes(&model, &transcript, w);
                    }
                }
                PeerEvent::Frame(..) => {}
            },
            () = sleep_until(transcript.instant(next).into()) => {}
        }
    }
}

fn send_changes(model: &ListModel, transcript: &Transcript, watcher: &mut Watcher) {
    let changed = model.changes_since(watcher.version);
    let mut begin =
        Frame::new(Kind::LIST_BEGIN).int(Field::EPOCH, model.epoch).int(Field::LIST_VERSION, model.version());
    if let (Some(_), Some((_, from))) = (&changed, watcher.version) {
        begin = begin.int(Field::BASE_VERSION, from);
    }
    watcher.version = Some((model.epoch, model.version()));
    let _ = watcher.outgoing.send(Outgoing::Frame(begin));
    let all = || model.entries().iter().map(|(name, entry)| (name.as_str(), entry)).collect();
    for (name, entry) in changed.unwrap_or_else(all) {
        let mut f = Frame::new(Kind::LIST_ENTRY)
            .text(Field::WORKER, name)
            .text(Field::ADDRESS, &entry.address)
            .int(Field::LIFECYCLE, lifecycle_code(entry.lifecycle))
            .int(Field::START_ID, entry.start_id)
            .text(Field::ZONE, &entry.zone)
            .text(Field::CELL, &entry.cell)
            .float(Field::SIZE, entry.size);
        if let Some(started_at) = entry.started_at {
            f = f.int(Field::AGE, (transcript.now() - started_at).0);
        }
        let _ = watcher.outgoing.send(Outgoing::Frame(f));
        let (scheduler, worker) = (watcher.name.clone(), name.to_owned());
        transcript.add(TranscriptEvent::ListEntrySent { scheduler, worker, lifecycle: entry.lifecycle });
    }
    let _ = watcher.outgoing.send(Outgoing::Frame(Frame::new(Kind::LIST_END)));
}
