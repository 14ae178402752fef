//! Follows the directory over UDP: what it tells goes to the engine's task as whole lists.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use curlewpoint::types::Lifecycle;
use curlewpoint_link::{is_ours, METRICS};
use curlewpoint_platform::dns::{self, DirectoryError, MOST_ANSWER};
use curlewpoint_platform::Roll;
use oorandom::Rand64;
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::{debug, info};

use crate::notes::Note;

/// Between a good answer and the next question, and the longest that an answer is waited for before the next is put.
const PAUSE: Duration = Duration::from_millis(200);
const ANSWER: Duration = Duration::from_millis(200);
/// So many questions in a row are put again sooner, this long after the one before at least.
const QUICK: u32 = 4;
const SOONEST: Duration = Duration::from_millis(40);
/// A question that the kernel does not take for so long is given up.
const SEND: Duration = Duration::from_millis(50);
/// A call interrupted so often in a row is made again only after other tasks had their turn.
const MOST_INTERRUPTS: usize = 16;
/// Places left lately at which answers are still read.
const MOST_BEFORE: usize = 3;
/// After so many questions in a row without a good answer one line says so.
const SILENT: u32 = 5;

/// A list that has been read whole, on its way to the engine.
#[derive(Default)]
pub(crate) struct List {
    version: u64,
    rows: Vec<(String, String, Lifecycle, u64, String, String, f64)>,
}

impl Roll for List {
    fn begins(&mut self, version: u64, _: Option<u64>) {
        self.version = version;
    }

    fn worker(
        &mut self, name: &str, address: &str, standing: Lifecycle, started: u64, zone: &str, cell: &str,
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

/// A place where the directory is asked, and the questions put there, the newest last.
struct Place {
    address: SocketAddr,
    socket: UdpSocket,
    asked: VecDeque<(u16, Instant)>,
}

impl Place {
    async fn reach(address: SocketAddr) -> std::io::Result<Place> {
        let socket = UdpSocket::bind("0.0.0.0:0").await?;
        socket.connect(address).await?;
        Ok(Place { address, socket, asked: VecDeque::new() })
    }

    /// Puts one more question. A send that is interrupted is made again, one that would wait is given up.
    async fn ask(&mut self, id: u16) -> Result<(), String> {
        self.asked.push_back((id, Instant::now()));
        if self.asked.len() > QUESTIONS {
            self.asked.pop_front();
        }
        let query = dns::query(id).map_err(|why| why.to_string())?;
        for _ in 0..MOST_INTERRUPTS {
            match timeout(SEND, self.socket.send(&query)).await {
                Ok(Err(why)) if why.kind() == ErrorKind::Interrupted => METRICS.interrupted.add(1),
                Ok(sent) => return sent.map(drop).map_err(|why| why.to_string()),
                Err(_) => return Err("the question could not be sent in time".to_owned()),
            }
        }
        Err("the question was interrupted again and again".to_owned())
    }
}

/// Where the directory is asked now, and where it was asked before: answers that are on their way as it moves still count.
#[derive(Default)]
struct Places {
    now: Option<Place>,
    before: VecDeque<Place>,
}

/// What has come at a place: of the current one or of one before, and how long after its question.
struct Came {
    bytes: usize,
    from_now: bool,
    no: usize,
}

impl Places {
    fn is_at(&self, address: SocketAddr) -> bool {
        self.now.as_ref().is_some_and(|place| place.address == address)
    }

    /// Where descriptors lack, the places before make room.
    async fn move_to(&mut self, address: SocketAddr) -> std::io::Result<()> {
        let place = match Place::reach(address).await {
            Err(why) if is_ours(&why) && (self.now.is_some() || !self.before.is_empty()) => {
                (self.now, self.before) = Default::default();
                Place::reach(address).await
            }
            reached => reached,
        }?;
        self.before.extend(self.now.replace(place));
        if self.before.len() > MOST_BEFORE {
            self.before.pop_front();
        }
        Ok(())
    }

    /// The next datagram at any place, the places before first. An error at one of them ends that place; one of the current is
    /// handed on.
    fn poll_recv(&mut self, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<std::io::Result<Came>> {
        let mut no = 0;
        while let Some(place) = self.before.get(no) {
            let mut buffer = ReadBuf::new(to);
            match place.socket.poll_recv(cx, &mut buffer) {
                Poll::Ready(Ok(())) => {
                    return Poll::Ready(Ok(Came { bytes: buffer.filled().len(), from_now: false, no }))
                }
                Poll::Ready(Err(why)) if why.kind() == ErrorKind::Interrupted => METRICS.interrupted.add(1),
                Poll::Ready(Err(_)) => drop(self.before.remove(no)),
                Poll::Pending => no += 1,
            }
        }
        let Some(place) = &self.now else { return Poll::Pending };
        for _ in 0..MOST_INTERRUPTS {
            let mut buffer = ReadBuf::new(to);
            match ready!(place.socket.poll_recv(cx, &mut buffer)) {
                Ok(()) => {
                    return Poll::Ready(Ok(Came { bytes: buffer.filled().len(), from_now: true, no: 0 }))
                }
                Err(why) if why.kind() == ErrorKind::Interrupted => METRICS.interrupted.add(1),
                Err(why) => return Poll::Ready(Err(why)),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn asked(&self, came: &Came) -> Option<&VecDeque<(u16, Instant)>> {
        let place = if came.from_now { self.now.as_ref() } else { self.before.get(came.no) };
        place.map(|place| &place.asked)
    }
}

/// When the next question is due. While answers come they are a pause apart. One that has not come in some times the usual is
/// asked for again soon, for a few times: what an answer that was lost told counts as told, and a drain's grace is short.
struct Schedule {
    due: Instant,
    /// A question is out; and how many in a row had no answer.
    out: bool,
    unanswered: u32,
    /// How long the last answer took.
    took: Duration,
}

impl Schedule {
    fn answered(&mut self, took: Duration) {
        *self = Schedule { due: Instant::now() + PAUSE, out: false, unanswered: 0, took };
    }

    fn failed(&mut self) {
        (self.due, self.out) = (Instant::now() + PAUSE / 4, false);
    }

    fn asked(&mut self) {
        let soon = (self.took * 3).clamp(SOONEST, ANSWER);
        let wait = if self.unanswered < QUICK { soon } else { ANSWER };
        (self.due, self.out, self.unanswered) = (Instant::now() + wait, true, self.unanswered + 1);
    }
}

/// Asks the directory again and again, at the address told last. While it says nothing the list held goes on to be
/// used. An answer counts whichever of the last questions it is to, also of a place that was left: lists are numbered, and what
/// an answer tells counts as told from the moment it was sent, however late it comes.
pub(crate) async fn follow(mut at: watch::Receiver<SocketAddr>, notes: mpsc::Sender<Note>, mut rng: Rand64) {
    let (mut health, mut places, mut moves) = (Health { failures: 0 }, Places::default(), true);
    let mut answer = vec![0; MOST_ANSWER];
    let mut schedule = Schedule { due: Instant::now(), out: false, unanswered: 0, took: Duration::ZERO };
    // Until when nothing is read, after a failure to read.
    let mut deaf = Instant::now();
    while !notes.is_closed() {
        let address = *at.borrow_and_update();
        if !places.is_at(address) {
            if places.now.is_some() {
                info!("the directory is at {address}");
            }
            if let Err(why) = places.move_to(address).await {
                health.bad(address, &format!("no socket to ask it: {why}"));
                sleep(PAUSE / 4).await;
                continue;
            }
            schedule.failed();
            schedule.due = Instant::now();
        }
        tokio::select! {
            biased;
            // Before a move, so that what has come already is not left unread.
            got = poll_fn(|cx| places.poll_recv(cx, &mut answer)), if Instant::now() >= deaf => match got {
                Ok(came) => match read(&answer[..came.bytes], places.asked(&came)) {
                    Ok((list, newest, took)) => {
                        health.good();
                        if came.from_now && newest {
                            schedule.answered(took);
                        }
                        if notes.send(Note::List(list)).await.is_err() {
                            return;
                        }
                    }
                    Err(DirectoryError::NotMine) => debug!("an answer to another question"),
                    Err(_) if !came.from_now => {}
                    Err(why) => {
                        health.bad(address, &why.to_string());
                        schedule.failed();
                    }
                },
                Err(why) => {
                    health.bad(address, &why.to_string());
                    schedule.failed();
                    deaf = schedule.due;
                }
            },
            moved = at.changed(), if moves => moves = moved.is_ok(),
            () = sleep_until(schedule.due) => {
                if schedule.out {
                    health.bad(address, "no answer in time");
                }
                let id = rng.rand_u64() as u16;
                if let Some(place) = &mut places.now {
                    if let Err(why) = place.ask(id).await {
                        health.bad(address, &why);
                    }
                }
                schedule.asked();
            }
        }
    }
}

/// An answer to one of these questions, whether that is the newest of them, and how long it took.
fn read(
    answer: &[u8], asked: Option<&VecDeque<(u16, Instant)>>,
) -> Result<(List, bool, Duration), DirectoryError> {
    let id = answer.first_chunk().map_or(0, |id| u16::from_be_bytes(*id));
    let asked = asked.ok_or(DirectoryError::NotMine)?;
    let to = asked.iter().rposition(|(a, _)| *a == id).ok_or(DirectoryError::NotMine)?;
    let mut list = List::default();
    dns::read(answer, id, &mut list)?;
    Ok((list, to + 1 == asked.len(), asked[to].1.elapsed()))
}
