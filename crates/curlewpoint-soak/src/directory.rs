//! The directory: what it holds of the workers, and a UDP server for each process, whose answers fare as the plan draws.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hickory_proto::op::{Message, MessageType, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use oorandom::Rand64;
use serde_json::{json, Value};
use tokio::net::UdpSocket;

use crate::ledger::{Ledger, RunId};
use crate::plan::DirectoryFaults;

/// One worker as the directory tells it.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub name: String,
    pub worker: usize,
    pub drains: bool,
    pub started_ms: u64,
}

/// A list of workers, with its number.
#[derive(Clone, Debug, Default)]
pub(crate) struct List {
    pub version: u32,
    pub rows: Vec<Row>,
}

#[derive(Default)]
struct State {
    list: List,
    before: List,
    ever: BTreeSet<String>,
    /// The first list in which a worker drains, or is not named any more.
    ended: BTreeMap<String, u32>,
    silent_until: Option<Instant>,
}

/// What the directory holds, for all processes.
#[derive(Default)]
pub(crate) struct Board(Mutex<State>);

pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Board {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the list, under the next number.
    pub fn change(&self, how: impl FnOnce(&mut Vec<Row>)) {
        let mut state = self.state();
        state.before = state.list.clone();
        state.list.version += 1;
        how(&mut state.list.rows);
        let State { list, ever, ended, .. } = &mut *state;
        ever.extend(list.rows.iter().map(|row| row.name.clone()));
        let serves = |name: &String| list.rows.iter().any(|row| row.name == *name && !row.drains);
        for name in ever.iter().filter(|name| !serves(name)) {
            ended.entry(name.clone()).or_insert(list.version);
        }
    }

    pub fn list(&self) -> List {
        self.state().list.clone()
    }

    pub fn ready(&self) -> usize {
        self.state().list.rows.iter().filter(|row| !row.drains).count()
    }

    pub fn falls_silent(&self, span: Duration) {
        self.state().silent_until = Some(Instant::now() + span);
    }

    fn is_silent(&self) -> bool {
        self.state().silent_until.is_some_and(|until| Instant::now() < until)
    }

    /// Notes that a process was told this list: what drains in it, and what it does not name any more.
    pub fn tells(&self, ledger: &Ledger, life: RunId, list: &List) {
        let ended: Vec<String> = self
            .state()
            .ended
            .iter()
            .filter(|(_, at)| **at <= list.version)
            .map(|(name, _)| name.clone())
            .collect();
        let (mut state, now) = (ledger.lock(), Instant::now());
        for name in ended {
            state.told.entry((life, name)).or_insert(now);
        }
    }
}

impl List {
    /// As the file of a start holds it, with the workers' addresses for one process.
    pub fn as_known(&self, addresses: &[SocketAddr]) -> Value {
        let row = |row: &Row| {
            json!({"instanceId": row.name, "hostPort": addresses[row.worker].to_string(), "zone": "z", "cell": 0, "weight": 4,
                "lifecycle": if row.drains { "Terminating" } else { "Ready" }, "startedAtMs": row.started_ms})
        };
        let rows: Vec<Value> = self.rows.iter().map(row).collect();
        json!({"cursor": self.version, "cmds": [
            {"cursor": self.version, "nodes": {"generation": self.version, "reset": true, "instances": rows}}]})
    }

    fn as_answer(&self, query: &[u8], addresses: &[SocketAddr]) -> Option<Message> {
        let name = |text: &str| Name::from_ascii(text).ok();
        let mut message = Message::from_vec(query).ok()?;
        message.set_message_type(MessageType::Response);
        let list = message.queries().first()?.name().clone();
        let soa = SOA::new(name("a.")?, name("b.")?, self.version, 1, 1, 1, 1);
        message.add_name_server(Record::from_rdata(list.clone(), 0, RData::SOA(soa)));
        for row in &self.rows {
            let target = name(&format!("{}.z.hosts.", row.name))?;
            let srv = SRV::new(u16::from(row.drains), 40, addresses[row.worker].port(), target.clone());
            message.add_answer(Record::from_rdata(list.clone(), 0, RData::SRV(srv)));
            message.add_additional(Record::from_rdata(target.clone(), 0, RData::A(A(Ipv4Addr::LOCALHOST))));
            let text =
                TXT::new(vec!["kind=std".into(), "cell=0".into(), format!("started={}", row.started_ms)]);
            message.add_additional(Record::from_rdata(target, 0, RData::TXT(text)));
        }
        Some(message)
    }
}

/// What one process's server needs.
pub(crate) struct Server {
    pub board: Arc<Board>,
    pub ledger: Arc<Ledger>,
    pub life: RunId,
    pub addresses: Vec<SocketAddr>,
    pub faults: DirectoryFaults,
    pub rng: Rand64,
}

/// The longest time that an answer is late.
const LATEST: f64 = 150.0;

impl Server {
    /// Answers on this socket until it is ended.
    pub async fn serve(mut self, socket: UdpSocket) {
        let (socket, mut query) = (Arc::new(socket), [0; 512]);
        while let Ok((n, from)) = socket.recv_from(&mut query).await {
            let faults = self.faults;
            let [lost, late, failed, doubled, outdated] =
                [faults.lost, faults.late, faults.failed, faults.doubled, faults.outdated]
                    .map(|share| self.rng.rand_float() < share);
            if lost || self.board.is_silent() {
                continue;
            }
            let list = if outdated { self.board.state().before.clone() } else { self.board.list() };
            if list.version == 0 {
                continue;
            }
            let Some(mut message) = list.as_answer(&query[..n], &self.addresses) else { continue };
            if failed {
                message.set_response_code(ResponseCode::ServFail);
            }
            let Ok(bytes) = message.to_vec() else { continue };
            let wait = if late {
                Duration::from_millis((self.rng.rand_float() * LATEST) as u64)
            } else {
                Duration::ZERO
            };
            let (board, ledger, life, socket) =
                (Arc::clone(&self.board), Arc::clone(&self.ledger), self.life, Arc::clone(&socket));
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                for _ in 0..1 + usize::from(doubled) {
                    if socket.send_to(&bytes, from).await.is_ok() && !failed {
                        board.tells(&ledger, life, &list);
                    }
                }
            });
        }
    }
}
