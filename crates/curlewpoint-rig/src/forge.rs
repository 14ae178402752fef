//! Made-up peers: one that sends what no peer should, and such as misuse the directory of copies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use curlewpoint_link::{handshake, Link, LinkLimits};
use curlewpoint_wire::{Codec, Field, Frame, Kind, VERSION};
use oorandom::Rand64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::Encoder;

const ANSWER: Duration = Duration::from_secs(2);

fn member(kind: Kind, name: &str, run: u64) -> Frame {
    let f = Frame::new(kind).text(Field::INSTANCE, name).int(Field::RUN_ID, run);
    let f = f.text(Field::ADDRESS, "127.0.0.1:9").int(Field::INCARNATION, 0).int(Field::STATE, 0);
    f.int(Field::SUSPECTED_RINGS, 0)
}

fn join(name: &str, fleet: &str, known: u64) -> Frame {
    member(Kind::JOIN, name, 7).text(Field::FLEET, fleet).int(Field::KNOWN_MEMBERS, known)
}

/// Says all this after the hellos, and waits until the other side has ended the connection.
async fn say(at: SocketAddr, name: &str, frames: Vec<Frame>) {
    let Ok(stream) = TcpStream::connect(at).await else { return };
    let Ok(Link { outbox, mut reader, .. }) = handshake(stream, name, LinkLimits::default()).await else {
        return;
    };
    for frame in frames {
        let _ = outbox.send(frame, None);
    }
    let ended = async { while let Some(Ok(_)) = tokio_stream::StreamExt::next(&mut reader).await {} };
    let _ = timeout(ANSWER, ended).await;
}

/// Sends bytes as they are.
async fn raw(at: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(at).await else { return };
    let _ = stream.write_all(bytes).await;
    let mut rest = Vec::new();
    let _ = timeout(ANSWER, stream.read_to_end(&mut rest)).await;
}

/// One after the other: an old version, noise, another fleet, a list from the future, a million members.
pub async fn forge(at: SocketAddr, fleet: &str) {
    let mut bytes = BytesMut::new();
    let hello =
        |version| Frame::new(Kind::HELLO).int(Field::VERSION, version).text(Field::INSTANCE, "forger-1");
    let _ = Codec { max_frame_bytes: 1 << 20 }.encode(hello(0), &mut bytes);
    raw(at, &bytes).await;
    bytes.clear();
    let _ = Codec { max_frame_bytes: 1 << 20 }.encode(hello(1), &mut bytes);
    bytes.extend_from_slice(&[0xff; 64]);
    raw(at, &bytes).await;
    say(at, "forger-2", vec![join("forger-2", "another", 3)]).await;
    let begins = Frame::new(Kind::LIST_BEGIN).int(Field::EPOCH, u64::MAX).int(Field::LIST_VERSION, 1);
    let gone = Frame::new(Kind::LIST_ENTRY).text(Field::WORKER, "w-000").int(Field::LIFECYCLE, 2);
    let ends = Frame::new(Kind::LIST_END);
    say(at, "forger-3", vec![join("forger-3", fleet, 1), begins, gone, ends]).await;
    say(at, "forger-4", vec![join("forger-4", fleet, 1_000_000)]).await;
}

/// How a made-up peer misuses the directory of copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misuse {
    /// It tells and asks far more than is read of one, and at last more in a frame than may be.
    Flood,
    /// It tells of copies of real functions at real workers that are not there, in rows as long as can be.
    Lie,
    /// It asks for real functions and reads nothing.
    Deaf,
}

/// What it speaks of, and how much of it for how long.
#[derive(Clone, Debug)]
pub struct Terms {
    pub functions: Vec<u64>,
    pub workers: Vec<u64>,
    /// Rows or questions a second.
    pub rate: f64,
    pub len: Duration,
    pub seed: u64,
}

/// Between two frames of a made-up peer.
const STEP: Duration = Duration::from_millis(50);
/// Rows in one frame of a made-up peer, and more than may be in any; a frame's fields take 16 KiB at most.
const ROWS: usize = 256;
const TOO_MANY: u64 = 1_025;
const WARM: u64 = 3;

/// A row of the directory that nobody has told before; held, run and number as large as can be make it long.
fn row(worker: u64, function: u64, rng: &mut Rand64) -> [u64; 7] {
    let large = 1 << 63;
    [worker, function, WARM, u64::MAX, 0, rng.rand_u64() | large, rng.rand_u64() | large]
}

/// Takes part and misuses the directory for its time; one that floods then waits until the other side has ended the link.
pub async fn misuse(at: SocketAddr, fleet: &str, name: &str, what: Misuse, terms: Terms) {
    let Ok(stream) = TcpStream::connect(at).await else { return };
    let (mut read, mut write) = stream.into_split();
    let (deaf, until) = (what == Misuse::Deaf, Instant::now() + terms.len);
    let reading = async {
        let mut part = [0; 4096];
        while !deaf && read.read(&mut part).await.is_ok_and(|n| n > 0) {}
        if deaf {
            std::future::pending::<()>().await;
        }
    };
    let saying = async {
        let mut rng = Rand64::new(u128::from(terms.seed));
        let hello = Frame::new(Kind::HELLO).int(Field::VERSION, VERSION).text(Field::INSTANCE, name);
        let part = Frame::new(Kind::DIRECTORY_JOIN).int(Field::DIRECTORY_ONLY, 1).int(Field::JUST_STARTED, 1);
        if put(&mut write, &[hello, part, join(name, fleet, 1)]).await.is_err() {
            return;
        }
        let each = (terms.rate * STEP.as_secs_f64()).max(1.0) as usize;
        let mut next = Instant::now();
        while next < until {
            let frames = say_of(what, each, &terms, &mut rng);
            if put(&mut write, &frames).await.is_err() {
                return;
            }
            next += STEP;
            sleep_until(next).await;
        }
        if what == Misuse::Flood {
            let rows: Vec<u64> = (0..TOO_MANY).flat_map(|_| [1, 1, WARM, 0, 0, 1, 1]).collect();
            // The other side ends the link for it, and with it the reading here.
            let _ = put(&mut write, &[Frame::new(Kind::OBSERVATIONS).ints(Field::ROWS, &rows)]).await;
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = reading => {}
        () = saying => {}
    }
}

async fn put(write: &mut (impl AsyncWriteExt + Unpin), frames: &[Frame]) -> std::io::Result<()> {
    let mut bytes = BytesMut::new();
    frames.iter().for_each(|f| Codec::encode_header(f, &mut bytes));
    write.write_all(&bytes).await
}

/// So many rows or questions.
fn say_of(what: Misuse, each: usize, terms: &Terms, rng: &mut Rand64) -> Vec<Frame> {
    let one = |of: &[u64], rng: &mut Rand64| of[rng.rand_range(0..of.len().max(1) as u64) as usize];
    let mut frames = Vec::new();
    for begins in (0..each).step_by(ROWS) {
        let names = (begins..each.min(begins + ROWS)).map(|_| one(&terms.functions, rng));
        let names: Vec<u64> = names.collect();
        let rows: Vec<u64> = match what {
            Misuse::Flood => names.iter().flat_map(|_| row(rng.rand_u64(), rng.rand_u64(), rng)).collect(),
            Misuse::Lie => names.iter().flat_map(|f| row(one(&terms.workers, rng), *f, rng)).collect(),
            Misuse::Deaf => Vec::new(),
        };
        if what != Misuse::Deaf {
            frames.push(Frame::new(Kind::OBSERVATIONS).ints(Field::ROWS, &rows));
        }
        if what != Misuse::Lie {
            frames.push(Frame::new(Kind::DIRECTORY_QUERY).ints(Field::FUNCTIONS, &names));
        }
    }
    frames
}
