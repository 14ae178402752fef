//! Forged peers: one that sends invalid frames, and others that misuse the copy directory.

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

const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

fn member_frame(kind: Kind, name: &str, run: u64) -> Frame {
    let f = Frame::new(kind).text(Field::INSTANCE, name).int(Field::RUN_ID, run);
    let f = f.text(Field::ADDRESS, "127.0.0.1:9").int(Field::INCARNATION, 0).int(Field::STATE, 0);
    f.int(Field::SUSPECTED_RINGS, 0)
}

fn join_frame(name: &str, fleet: &str, known: u64) -> Frame {
    member_frame(Kind::JOIN, name, 7).text(Field::FLEET, fleet).int(Field::KNOWN_MEMBERS, known)
}

/// Sends frames after the handshake and waits until the other side closes the connection.
async fn send_after_handshake(at: SocketAddr, name: &str, frames: Vec<Frame>) {
    let Ok(stream) = TcpStream::connect(at).await else { return };
    let Ok(Link { outbox, mut reader, .. }) = handshake(stream, name, LinkLimits::default()).await else {
        return;
    };
    for frame in frames {
        let _ = outbox.send(frame, None);
    }
    let ended = async { while let Some(Ok(_)) = tokio_stream::StreamExt::next(&mut reader).await {} };
    let _ = timeout(CLOSE_TIMEOUT, ended).await;
}

/// Sends raw bytes without a handshake.
async fn send_raw(at: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(at).await else { return };
    let _ = stream.write_all(bytes).await;
    let mut rest = Vec::new();
    let _ = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut rest)).await;
}

/// Sends, one after the other: an old protocol version, invalid bytes, a JOIN of another fleet, an endpoint list of the highest
/// epoch, and a JOIN that claims a million members.
pub async fn send_invalid_frames(at: SocketAddr, fleet: &str) {
    let mut bytes = BytesMut::new();
    let hello =
        |version| Frame::new(Kind::HELLO).int(Field::VERSION, version).text(Field::INSTANCE, "forger-1");
    let _ = Codec { max_frame_bytes: 1 << 20 }.encode(hello(0), &mut bytes);
    send_raw(at, &bytes).await;
    bytes.clear();
    let _ = Codec { max_frame_bytes: 1 << 20 }.encode(hello(1), &mut bytes);
    bytes.extend_from_slice(&[0xff; 64]);
    send_raw(at, &bytes).await;
    send_after_handshake(at, "forger-2", vec![join_frame("forger-2", "another", 3)]).await;
    let start = Frame::new(Kind::LIST_BEGIN).int(Field::EPOCH, u64::MAX).int(Field::LIST_VERSION, 1);
    let gone = Frame::new(Kind::LIST_ENTRY).text(Field::WORKER, "w-000").int(Field::LIFECYCLE, 2);
    let ends = Frame::new(Kind::LIST_END);
    send_after_handshake(at, "forger-3", vec![join_frame("forger-3", fleet, 1), start, gone, ends]).await;
    send_after_handshake(at, "forger-4", vec![join_frame("forger-4", fleet, 1_000_000)]).await;
}

/// How a forged peer misuses the copy directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misuse {
    /// Sends far more observations and queries than are read from one peer, and at the end a frame with too many rows.
    Flood,
    /// Reports copies of real functions at real workers that do not exist, in rows of the maximum length.
    Lie,
    /// Queries real functions and never reads.
    Deaf,
}

/// What a forged peer sends, how fast and for how long.
#[derive(Clone, Debug)]
pub struct MisuseSettings {
    pub functions: Vec<u64>,
    pub workers: Vec<u64>,
    /// Rows or queries per second.
    pub rate: f64,
    pub duration: Duration,
    pub seed: u64,
}

/// Interval between two batches of frames.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Rows in one frame. A frame's fields may take 16 KiB.
const ROWS_PER_FRAME: usize = 256;
/// More rows than a frame may hold.
const EXCESSIVE_ROWS: u64 = 1_025;
/// Wire value of a warm copy in an observation row.
const HINT_WARM: u64 = 3;

/// An observation that was not sent before. Its held count, run and number are large, which makes the encoded row long.
fn observation_row(worker: u64, function: u64, rng: &mut Rand64) -> [u64; 7] {
    let large = 1 << 63;
    [worker, function, HINT_WARM, u64::MAX, 0, rng.rand_u64() | large, rng.rand_u64() | large]
}

/// Joins the fleet and misuses the copy directory for the given duration. A flooding peer then waits until the other side
/// closes the link.
pub async fn run_misuse(at: SocketAddr, fleet: &str, name: &str, misuse: Misuse, settings: MisuseSettings) {
    let Ok(stream) = TcpStream::connect(at).await else { return };
    let (mut read, mut write) = stream.into_split();
    let (reads_nothing, until) = (misuse == Misuse::Deaf, Instant::now() + settings.duration);
    let reading = async {
        let mut buffer = [0; 4096];
        while !reads_nothing && read.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
        if reads_nothing {
            std::future::pending::<()>().await;
        }
    };
    let sending = async {
        let mut rng = Rand64::new(u128::from(settings.seed));
        let hello = Frame::new(Kind::HELLO).int(Field::VERSION, VERSION).text(Field::INSTANCE, name);
        let directory_join =
            Frame::new(Kind::DIRECTORY_JOIN).int(Field::DIRECTORY_ONLY, 1).int(Field::JUST_STARTED, 1);
        if write_frames(&mut write, &[hello, directory_join, join_frame(name, fleet, 1)]).await.is_err() {
            return;
        }
        let per_batch = (settings.rate * BATCH_INTERVAL.as_secs_f64()).max(1.0) as usize;
        let mut next = Instant::now();
        while next < until {
            let frames = misuse_frames(misuse, per_batch, &settings, &mut rng);
            if write_frames(&mut write, &frames).await.is_err() {
                return;
            }
            next += BATCH_INTERVAL;
            sleep_until(next).await;
        }
        if misuse == Misuse::Flood {
            let rows: Vec<u64> = (0..EXCESSIVE_ROWS).flat_map(|_| [1, 1, HINT_WARM, 0, 0, 1, 1]).collect();
            // The other side closes the link because of this frame, which ends the read loop.
            let _ =
                write_frames(&mut write, &[Frame::new(Kind::OBSERVATIONS).ints(Field::ROWS, &rows)]).await;
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = reading => {}
        () = sending => {}
    }
}

async fn write_frames(write: &mut (impl AsyncWriteExt + Unpin), frames: &[Frame]) -> std::io::Result<()> {
    let mut bytes = BytesMut::new();
    frames.iter().for_each(|f| Codec::encode_header(f, &mut bytes));
    write.write_all(&bytes).await
}

/// Frames with `per_batch` rows or queries.
fn misuse_frames(
    misuse: Misuse, per_batch: usize, settings: &MisuseSettings, rng: &mut Rand64,
) -> Vec<Frame> {
    let pick = |of: &[u64], rng: &mut Rand64| of[rng.rand_range(0..of.len().max(1) as u64) as usize];
    let mut frames = Vec::new();
    for start in (0..per_batch).step_by(ROWS_PER_FRAME) {
        let functions =
            (start..per_batch.min(start + ROWS_PER_FRAME)).map(|_| pick(&settings.functions, rng));
        let functions: Vec<u64> = functions.collect();
        let rows: Vec<u64> = match misuse {
            Misuse::Flood => {
                functions.iter().flat_map(|_| observation_row(rng.rand_u64(), rng.rand_u64(), rng)).collect()
            }
            Misuse::Lie => functions
                .iter()
                .flat_map(|f| observation_row(pick(&settings.workers, rng), *f, rng))
                .collect(),
            Misuse::Deaf => Vec::new(),
        };
        if misuse != Misuse::Deaf {
            frames.push(Frame::new(Kind::OBSERVATIONS).ints(Field::ROWS, &rows));
        }
        if misuse != Misuse::Lie {
            frames.push(Frame::new(Kind::DIRECTORY_QUERY).ints(Field::FUNCTIONS, &functions));
        }
    }
    frames
}
