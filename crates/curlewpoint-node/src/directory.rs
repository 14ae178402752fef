use std::net::SocketAddr;
use std::time::Duration;

use curlewpoint::types::Standing;
use curlewpoint_platform::dns::{self, DirectoryError, MOST_ANSWER};
use curlewpoint_platform::Roll;
use oorandom::Rand64;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::notes::Note;

/// Between a good answer and the next question, and how long an answer is waited for.
const PAUSE: Duration = Duration::from_millis(200);
const ANSWER: Duration = Duration::from_millis(200);
/// After so many questions in a row without a good answer one line says so.
const SILENT: u32 = 5;

/// A list that has been read whole, on its way to the engine.
#[derive(Default)]
pub(crate) struct List {
    version: u64,
    rows: Vec<(String, String, Standing, u64, String, String, f64)>,
}

impl Roll for List {
    fn begins(&mut self, version: u64, _: Option<u64>) {
        self.version = version;
    }

    fn worker(
        &mut self, name: &str, address: &str, standing: Standing, started: u64, zone: &str, cell: &str,
        size: f64,
    ) {
        self.rows.push((name.into(), address.into(), standing, started, zone.into(), cell.into(), size));
    }

    fn ends(&mut self) {}
}

impl List {
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn call(&self, roll: &mut impl Roll) {
        roll.begins(self.version, None);
        for (name, address, standing, started, zone, cell, size) in &self.rows {
            roll.worker(name, address, *standing, *started, zone, cell, *size);
        }
        roll.ends();
    }
}

/// Asks once; answers to other questions are passed over.
async fn ask(socket: &UdpSocket, id: u16) -> Result<List, String> {
    let query = dns::query(id).map_err(|e| e.to_string())?;
    socket.send(&query).await.map_err(|e| e.to_string())?;
    let mut answer = vec![0; MOST_ANSWER];
    loop {
        let n = socket.recv(&mut answer).await.map_err(|e| e.to_string())?;
        let mut list = List::default();
        match dns::read(&answer[..n], id, &mut list) {
            Ok(()) => return Ok(list),
            Err(DirectoryError::NotMine) => debug!("an answer to another question"),
            Err(why) => return Err(why.to_string()),
        }
    }
}

/// Asks the directory again and again, at the address told last. While it says nothing the list held goes on to be
/// used.
pub(crate) async fn follow(mut at: watch::Receiver<SocketAddr>, notes: mpsc::Sender<Note>, mut rng: Rand64) {
    let mut failures = 0;
    loop {
        let address = *at.borrow_and_update();
        let bound = UdpSocket::bind("0.0.0.0:0").await;
        let socket = match bound {
            Ok(socket) if socket.connect(address).await.is_ok() => socket,
            other => {
                info!("no socket to ask the directory {address}: {:?}", other.err());
                sleep(PAUSE).await;
                continue;
            }
        };
        while !at.has_changed().unwrap_or(true) {
            let id = rng.rand_u64() as u16;
            let asked = tokio::select! {
                asked = timeout(ANSWER, ask(&socket, id)) => asked,
                _ = at.changed() => break,
            };
            let pause = match asked {
                Ok(Ok(list)) => {
                    if failures >= SILENT {
                        info!("the directory answers again, after {failures} questions without");
                    }
                    failures = 0;
                    if notes.send(Note::List(list)).await.is_err() {
                        return;
                    }
                    PAUSE
                }
                failed => {
                    failures += 1;
                    let why = failed.map_or("no answer in time".to_owned(), |r| r.err().unwrap_or_default());
                    debug!("the directory: {why}");
                    if failures == SILENT {
                        info!("the directory {address} gives no good answer, the list held goes on to be used: {why}");
                    }
                    PAUSE / 4
                }
            };
            tokio::select! {
                () = sleep(pause) => {}
                _ = at.changed() => break,
            }
        }
        if notes.is_closed() {
            return;
        }
        info!("the directory is at {}", *at.borrow());
    }
}
