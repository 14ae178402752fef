use std::collections::BTreeMap;
use std::net::SocketAddr;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_emulator::{ListModel, Row};
use curlewpoint_gateway::lifecycle_code;
use curlewpoint_wire::{Field, Frame, Kind};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

use super::wire::{Door, Heard, PeerId, Say};
use crate::record::{Record, Seen};

enum Change {
    Set(String, Row),
    Lifecycle(String, Lifecycle),
    Late(Time),
    Down(Time),
}

/// The list service on a socket: it pushes changes, late by a stated time, to all who watch.
pub struct ListStand {
    pub address: SocketAddr,
    changes: mpsc::UnboundedSender<Change>,
    task: JoinHandle<()>,
}

impl Drop for ListStand {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ListStand {
    pub async fn start(listen: &str, record: &Record, late: Time) -> std::io::Result<ListStand> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (changes, given) = mpsc::unbounded_channel();
        let task = tokio::spawn(run(listener, address, record.clone(), late, given));
        Ok(ListStand { address, changes, task })
    }

    pub fn set(&self, name: &str, row: Row) {
        let _ = self.changes.send(Change::Set(name.to_owned(), row));
    }

    pub fn standing(&self, name: &str, standing: Lifecycle) {
        let _ = self.changes.send(Change::Lifecycle(name.to_owned(), standing));
    }

    pub fn late(&self, late: Time) {
        let _ = self.changes.send(Change::Late(late));
    }

    /// The service is away until then, and comes back as a new run of itself that knows the same workers.
    pub fn down_until(&self, until: Time) {
        let _ = self.changes.send(Change::Down(until));
    }
}

struct Watcher {
    name: String,
    say: mpsc::UnboundedSender<Say>,
    /// The version that it was told last; none: it has not asked.
    held: Option<(u64, u64)>,
}

async fn run(
    listener: TcpListener, address: SocketAddr, record: Record, late: Time,
    mut changes: mpsc::UnboundedReceiver<Change>,
) {
    let (heard, mut hear) = mpsc::unbounded_channel();
    let (_mute, muted) = watch::channel(false);
    let mut door = Some(Door::open(listener, "list".to_owned(), heard.clone(), muted.clone()));
    let mut model = ListModel::new(1);
    let mut watchers: BTreeMap<PeerId, Watcher> = BTreeMap::new();
    // Changes wait here until their time has come.
    let (mut late, mut waiting, mut down) = (late, Vec::<(Time, Change)>::new(), Time(0));
    loop {
        let now = record.now();
        if door.is_none() && down <= now {
            if let Ok(listener) = TcpListener::bind(address).await {
                door = Some(Door::open(listener, "list".to_owned(), heard.clone(), muted.clone()));
            }
        }
        let due: Vec<_> = waiting.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, change) in due {
            match change {
                Change::Set(name, row) => model.set(&name, row),
                Change::Lifecycle(name, standing) => model.standing(&name, standing),
                Change::Late(_) | Change::Down(_) => {}
            }
        }
        for watcher in
            watchers.values_mut().filter(|w| w.held.is_some_and(|h| h != (model.epoch, model.version())))
        {
            tell(&model, &record, watcher);
        }
        let next = waiting.iter().map(|w| w.0).chain((door.is_none()).then_some(down)).min();
        let next = next.unwrap_or(now + Time(10_000)).max(now + Time(10));
        tokio::select! {
            Some(change) = changes.recv() => match change {
                Change::Late(by) => late = by,
                Change::Down(until) => {
                    (door, down) = (None, until);
                    watchers.clear();
                    let mut anew = ListModel::new(model.epoch + 1);
                    model.rows().iter().for_each(|(name, row)| anew.set(name, row.clone()));
                    model = anew;
                }
                change => waiting.push((record.now() + late, change)),
            },
            Some(heard) = hear.recv() => match heard {
                Heard::Hello(id, name, say) => {
                    watchers.insert(id, Watcher { name, say, held: None });
                }
                Heard::Gone(id) => {
                    watchers.remove(&id);
                }
                Heard::Frame(id, f) if f.kind == Kind::WATCH => {
                    let held = f.get_int(Field::EPOCH).ok().zip(f.get_int(Field::LIST_VERSION).ok());
                    if let Some(w) = watchers.get_mut(&id) {
                        w.held = held;
                        tell(&model, &record, w);
                    }
                }
                Heard::Frame(..) => {}
            },
            () = sleep_until(record.instant(next).into()) => {}
        }
    }
}

fn tell(model: &ListModel, record: &Record, to: &mut Watcher) {
    let changed = model.since(to.held);
    let mut begin =
        Frame::new(Kind::LIST_BEGIN).int(Field::EPOCH, model.epoch).int(Field::LIST_VERSION, model.version());
    if let (Some(_), Some((_, from))) = (&changed, to.held) {
        begin = begin.int(Field::BASE_VERSION, from);
    }
    to.held = Some((model.epoch, model.version()));
    let _ = to.say.send(Say::Frame(begin));
    let all = || model.rows().iter().map(|(n, r)| (n.as_str(), r)).collect();
    for (name, row) in changed.unwrap_or_else(all) {
        let mut f = Frame::new(Kind::LIST_ENTRY)
            .text(Field::WORKER, name)
            .text(Field::ADDRESS, &row.address)
            .int(Field::LIFECYCLE, lifecycle_code(row.standing))
            .int(Field::START_ID, row.start)
            .text(Field::ZONE, &row.zone)
            .text(Field::CELL, &row.cell)
            .float(Field::SIZE, row.size);
        if let Some(since) = row.since {
            f = f.int(Field::AGE, (record.now() - since).0);
        }
        let _ = to.say.send(Say::Frame(f));
        let (scheduler, worker) = (to.name.clone(), name.to_owned());
        record.add(Seen::Told { scheduler, worker, standing: row.standing });
    }
    let _ = to.say.send(Say::Frame(Frame::new(Kind::LIST_END)));
}
