//! The simulated directory: its list of workers, and a UDP server for each process with the faults of the plan.

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

/// The directory's record of one worker.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub name: String,
    pub worker: usize,
    pub draining: bool,
    pub started_ms: u64,
}

/// A version of the list of workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct List {
    pub version: u32,
    pub rows: Vec<Row>,
}

#[derive(Default)]
struct State {
    list: List,
    previous: List,
    /// Names of all workers that were ever listed.
    all_names: BTreeSet<String>,
    /// First list version in which a worker drains or is missing.
    ended: BTreeMap<String, u32>,
    /// Time of the first such list.
    ended_at: BTreeMap<String, Instant>,
    silent_until: Option<Instant>,
    silences: Vec<(Instant, Instant)>,
}

/// State of the directory, shared by the servers of all processes.
#[derive(Default)]
pub(crate) struct Directory(Mutex<State>);

pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Directory {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the list and increments its version.
    pub fn change(&self, update: impl FnOnce(&mut Vec<Row>)) {
        let mut state = self.state();
        state.previous = state.list.clone();
        state.list.version += 1;
        update(&mut state.list.rows);
        let State { list, all_names, ended, ended_at, .. } = &mut *state;
        all_names.extend(list.rows.iter().map(|row| row.name.clone()));
        let is_serving = |name: &String| list.rows.iter().any(|row| row.name == *name && !row.draining);
        for name in all_names.iter().filter(|name| !is_serving(name)) {
            ended.entry(name.clone()).or_insert(list.version);
            ended_at.entry(name.clone()).or_insert_with(Instant::now);
        }
    }

    pub fn list(&self) -> List {
        self.state().list.clone()
    }

    /// Number of workers that do not drain.
    pub fn ready_count(&self) -> usize {
        self.state().list.rows.iter().filter(|row| !row.draining).count()
    }

    /// Stops answering for a time.
    pub fn silence(&self, span: Duration) {
        let (mut state, now) = (self.state(), Instant::now());
        let until = state.silent_until.map_or(now + span, |until| until.max(now + span));
        state.silent_until = Some(until);
        match state.silences.last_mut().filter(|(_, until)| now <= *until) {
            Some(current) => current.1 = until,
            None => state.silences.push((now, until)),
        }
    }

    /// Passes on when workers drained and when nothing was answered, for the check.
    pub fn record_history(&self, ledger: &Ledger) {
        let (state, mut records) = (self.state(), ledger.lock());
        records.drained = state.ended_at.clone();
        records.silences = state.silences.clone();
    }

    fn is_silent(&self) -> bool {
        self.state().silent_until.is_some_and(|until| Instant::now() < until)
    }

    /// Records that a process run was sent this list, for each worker that drains in it or is missing.
    pub fn record_notified(&self, ledger: &Ledger, run: RunId, list: &List) {
        let ended: Vec<String> = self
            .state()
            .ended
            .iter()
            .filter(|(_, at)| **at <= list.version)
            .map(|(name, _)| name.clone())
            .collect();
        let (mut state, now) = (ledger.lock(), Instant::now());
        for name in ended {
            state.notified.entry((run, name)).or_insert(now);
        }
    }
}

impl List {
    /// The list in the form of the startup configuration, with the addresses of the workers for one process.
    pub fn to_startup_json(&self, addresses: &[SocketAddr]) -> Value {
        let row = |row: &Row| {
            json!({"instanceId": row.name, "hostPort": addresses[row.worker].to_string(), "zone": "z", "cell": 0, "weight": 4,
                "lifecycle": if row.draining { "Terminating" } else { "Ready" }, "startedAtMs": row.started_ms})
        };
        let rows: Vec<Value> = self.rows.iter().map(row).collect();
        json!({"cursor": self.version, "cmds": [
            {"cursor": self.version, "nodes": {"generation": self.version, "reset": true, "instances": rows}}]})
    }

    /// The DNS answer to a query.
    fn to_dns_answer(&self, query: &[u8], addresses: &[SocketAddr]) -> Option<Message> {
        let name = |text: &str| Name::from_ascii(text).ok();
        let mut message = Message::from_vec(query).ok()?;
        message.set_message_type(MessageType::Response);
        let list = message.queries().first()?.name().clone();
        let soa = SOA::new(name("a.")?, name("b.")?, self.version, 1, 1, 1, 1);
        message.add_name_server(Record::from_rdata(list.clone(), 0, RData::SOA(soa)));
        for row in &self.rows {
            let target = name(&format!("{}.z.hosts.", row.name))?;
            let srv = SRV::new(u16::from(row.draining), 40, addresses[row.worker].port(), target.clone());
            message.add_answer(Record::from_rdata(list.clone(), 0, RData::SRV(srv)));
            message.add_additional(Record::from_rdata(target.clone(), 0, RData::A(A(Ipv4Addr::LOCALHOST))));
            let text =
                TXT::new(vec!["kind=std".into(), "cell=0".into(), format!("started={}", row.started_ms)]);
            message.add_additional(Record::from_rdata(target, 0, RData::TXT(text)));
        }
        Some(message)
    }
}

/// The DNS server for one process.
pub(crate) struct DirectoryServer {
    pub directory: Arc<Directory>,
    pub ledger: Arc<Ledger>,
    pub run: RunId,
    pub addresses: Vec<SocketAddr>,
    pub faults: DirectoryFaults,
    pub rng: Rand64,
}

/// Maximum delay of a late answer in milliseconds.
const MAX_DELAY_MS: f64 = 150.0;

impl DirectoryServer {
    /// Answers queries on the socket until the task is aborted.
    pub async fn serve(mut self, socket: UdpSocket) {
        let (socket, mut query) = (Arc::new(socket), [0; 512]);
        while let Ok((n, from)) = socket.recv_from(&mut query).await {
            let faults = self.faults;
            let [lost, late, failed, doubled, outdated] =
                [faults.lost, faults.late, faults.failed, faults.doubled, faults.outdated]
                    .map(|share| self.rng.rand_float() < share);
            if lost || self.directory.is_silent() {
                continue;
            }
            let list = if outdated { self.directory.state().previous.clone() } else { self.directory.list() };
            if list.version == 0 {
                continue;
            }
            let Some(mut message) = list.to_dns_answer(&query[..n], &self.addresses) else { continue };
            if failed {
                message.set_response_code(ResponseCode::ServFail);
            }
            let Ok(bytes) = message.to_vec() else { continue };
            let delay = if late {
                Duration::from_millis((self.rng.rand_float() * MAX_DELAY_MS) as u64)
            } else {
                Duration::ZERO
            };
            let (directory, ledger, run, socket) =
                (Arc::clone(&self.directory), Arc::clone(&self.ledger), self.run, Arc::clone(&socket));
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                for _ in 0..1 + usize::from(doubled) {
                    if socket.send_to(&bytes, from).await.is_ok() && !failed {
                        directory.record_notified(&ledger, run, &list);
                    }
                }
            });
        }
    }
}
