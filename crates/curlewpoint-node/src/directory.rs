use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use curlewpoint::types::Standing;
use curlewpoint_link::is_ours;
use curlewpoint_platform::dns::{self, DirectoryError, MOST_ANSWER};
use curlewpoint_platform::Roll;
use oorandom::Rand64;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, Instant};
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

/// Questions whose answers still count: one that comes late tells as much as one in time.
const QUESTIONS: usize = 32;

/// What is known of how the directory answers.
struct Health {
    failures: u32,
}

impl Health {
    fn good(&mut self) {
        if self.failures >= SILENT {
            info!("the directory answers again, after {} questions without", self.failures);
        }
        self.failures = 0;
    }

    fn bad(&mut self, address: SocketAddr, why: &str) {
        self.failures += 1;
        debug!("the directory: {why}");
        if self.failures == SILENT {
            info!("the directory {address} gives no good answer, the list held goes on to be used: {why}");
        }
    }
}

/// A socket to ask this directory. It is made while the one before is still open; where descriptors lack, that one makes
/// room.
async fn reach(address: SocketAddr, before: &mut Option<UdpSocket>) -> std::io::Result<UdpSocket> {
    let bound = match UdpSocket::bind("0.0.0.0:0").await {
        Err(why) if is_ours(&why) && before.take().is_some() => UdpSocket::bind("0.0.0.0:0").await,
        bound => bound,
    };
    let socket = bound?;
    socket.connect(address).await?;
    Ok(socket)
}

/// Asks the directory again and again, at the address told last. While it says nothing the list held goes on to be
/// used. An answer counts whichever of the last questions it is to: lists are numbered, and what an answer tells counts
/// as told from the moment it was sent, however late it comes.
pub(crate) async fn follow(mut at: watch::Receiver<SocketAddr>, notes: mpsc::Sender<Note>, mut rng: Rand64) {
    let (mut health, mut socket, mut moves) = (Health { failures: 0 }, None, true);
    let mut answer = vec![0; MOST_ANSWER];
    loop {
        let address = *at.borrow_and_update();
        let asking = match reach(address, &mut socket).await {
            Ok(new) => socket.insert(new),
            Err(why) => {
                health.bad(address, &format!("no socket to ask it: {why}"));
                sleep(PAUSE).await;
                continue;
            }
        };
        let mut asked: VecDeque<u16> = VecDeque::new();
        // When the next question is due; whether one is out; and until when nothing is read, after a failure to read.
        let (mut due, mut out, mut deaf) = (Instant::now(), false, Instant::now());
        loop {
            tokio::select! {
                biased;
                moved = at.changed(), if moves => match moved {
                    Ok(()) => break,
                    Err(_) => moves = false,
                },
                got = asking.recv(&mut answer), if Instant::now() >= deaf => match got {
                    Ok(n) => match read(&answer[..n], &asked) {
                        Ok((list, newest)) => {
                            health.good();
                            if newest {
                                (out, due) = (false, Instant::now() + PAUSE);
                            }
                            if notes.send(Note::List(list)).await.is_err() {
                                return;
                            }
                        }
                        Err(DirectoryError::NotMine) => debug!("an answer to another question"),
                        Err(why) => {
                            health.bad(address, &why.to_string());
                            (out, due) = (false, Instant::now() + PAUSE / 4);
                        }
                    },
                    Err(why) => {
                        health.bad(address, &why.to_string());
                        deaf = Instant::now() + PAUSE / 4;
                        (out, due) = (false, deaf);
                    }
                },
                () = sleep_until(due) => {
                    if out {
                        health.bad(address, "no answer in time");
                    }
                    let id = rng.rand_u64() as u16;
                    asked.push_back(id);
                    if asked.len() > QUESTIONS {
                        asked.pop_front();
                    }
                    let sent = match dns::query(id) {
                        Ok(query) => asking.send(&query).await.map(drop).map_err(|e| e.to_string()),
                        Err(why) => Err(why.to_string()),
                    };
                    sent.unwrap_or_else(|why| health.bad(address, &why));
                    (out, due) = (true, Instant::now() + ANSWER);
                }
            }
            if notes.is_closed() {
                return;
            }
        }
        info!("the directory is at {}", *at.borrow());
    }
}

/// An answer to one of these questions, and whether that is the newest of them.
fn read(answer: &[u8], asked: &VecDeque<u16>) -> Result<(List, bool), DirectoryError> {
    let id = answer.first_chunk().map_or(0, |id| u16::from_be_bytes(*id));
    let to = asked.iter().rev().position(|a| *a == id).ok_or(DirectoryError::NotMine)?;
    let mut list = List::default();
    dns::read(answer, id, &mut list)?;
    Ok((list, to == 0))
}
