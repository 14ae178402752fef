use std::net::SocketAddr;
use std::time::Duration;

use curlewpoint_platform::dns::{self, DirectoryError, MOST_ANSWER};
use oorandom::Rand64;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::run::Note;

/// Between a good answer and the next question, and how long an answer is waited for.
const PAUSE: Duration = Duration::from_millis(200);
const ANSWER: Duration = Duration::from_millis(200);
/// After so many questions in a row without a good answer one line says so.
const SILENT: u32 = 5;

/// Reads a list without taking it.
struct Glance;

impl curlewpoint_platform::Roll for Glance {
    fn begins(&mut self, _: u64, _: Option<u64>) {}
    fn worker(
        &mut self, _: &str, _: &str, _: curlewpoint::types::Standing, _: u64, _: &str, _: &str, _: f64,
    ) {
    }
    fn ends(&mut self) {}
}

/// Asks once; answers to other questions are passed over.
async fn ask(socket: &UdpSocket, id: u16) -> Result<Vec<u8>, String> {
    let query = dns::query(id).map_err(|e| e.to_string())?;
    socket.send(&query).await.map_err(|e| e.to_string())?;
    let mut answer = vec![0; MOST_ANSWER];
    loop {
        let n = socket.recv(&mut answer).await.map_err(|e| e.to_string())?;
        match dns::read(&answer[..n], id, &mut Glance) {
            Ok(()) => {
                answer.truncate(n);
                return Ok(answer);
            }
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
                Ok(Ok(answer)) => {
                    if failures >= SILENT {
                        info!("the directory answers again, after {failures} questions without");
                    }
                    failures = 0;
                    if notes.send(Note::List(answer, id)).await.is_err() {
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
