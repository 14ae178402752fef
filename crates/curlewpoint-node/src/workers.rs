use std::time::Duration;

use curlewpoint_engine::ConnId;
use curlewpoint_link::{dial, is_ours, linger, outbox, split, Bounds};
use curlewpoint_platform::json_lines::{LineDecoder, LineError};
use serde_json::{Map, Value};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;
use tracing::{debug, info, info_span, Instrument};

use crate::line::WorkerLine;
use crate::notes::Note;

/// Opens connections to workers, each in a task of its own.
pub(crate) struct Dialler {
    pub bounds: Bounds,
    pub limit: Duration,
    pub notes: mpsc::Sender<Note>,
}

/// A line that has begun and has not ended for so long, looked at twice, does not end any more.
const LINE: Duration = Duration::from_millis(300);
/// What is still read, and for how long, from a worker whose connection was shut from here.
const LINGER: (Duration, usize) = (Duration::from_millis(300), 256 * 1024);

impl Dialler {
    pub fn dial(&self, conn: ConnId, address: String) {
        let (bounds, limit, notes) = (self.bounds, self.limit, self.notes.clone());
        let span = info_span!("connection", conn = conn.0, address);
        let conversation = async move {
            let dialled = timeout(limit, dial(&address)).await;
            let (why, ours) = match dialled {
                Ok(Ok(stream)) => return converse(conn, stream, bounds, notes).await,
                Ok(Err(why)) => (why.to_string(), is_ours(&why)),
                Err(_) => ("no answer in time".to_owned(), false),
            };
            debug!(ours, "not connected: {why}");
            let _ = notes.send(Note::Down(conn, ours)).await;
        };
        tokio::spawn(conversation.instrument(span));
    }
}

/// The next line; none: the connection has ended, or a line on it that has begun does not end.
async fn next<R: tokio::io::AsyncRead + Unpin>(
    reader: &mut FramedRead<R, LineDecoder>,
) -> Option<Result<Map<String, Value>, LineError>> {
    let mut begun = false;
    loop {
        match timeout(LINE, reader.next()).await {
            Ok(line) => return line,
            Err(_) if begun && !reader.read_buffer().is_empty() => return None,
            Err(_) => begun = !reader.read_buffer().is_empty(),
        }
    }
}

/// Hands on what comes until the connection breaks. What cannot be read ends it: nothing that follows can be trusted
/// to begin where a line begins.
async fn converse(conn: ConnId, stream: TcpStream, bounds: Bounds, notes: mpsc::Sender<Note>) {
    // A delay for the sake of fuller packets would add to every answer.
    let _ = stream.set_nodelay(true);
    let (read, write) = split(stream);
    let (outbox, mut writer) = outbox::<WorkerLine>(write, bounds);
    let mut reader = FramedRead::new(read, LineDecoder { max_len: bounds.frame, scanned: 0 });
    if notes.send(Note::Up(conn, outbox)).await.is_err() {
        return;
    }
    // Where nothing can be written any more, until when what the worker said before is still read.
    let (mut writing, mut until) = (true, None);
    loop {
        let line = tokio::select! {
            biased;
            line = next(&mut reader) => line,
            ended = &mut writer, if writing => {
                writing = false;
                if matches!(ended, Ok(Ok(()))) {
                    // The outbox was dropped: nobody waits for an answer here any more.
                    linger(reader.get_mut(), LINGER.0, LINGER.1).await;
                    break;
                }
                until = Some(Instant::now() + LINE);
                continue;
            }
            () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => break,
        };
        match line {
            Some(Ok(row)) => {
                if notes.send(Note::Worker(conn, row)).await.is_err() {
                    break;
                }
            }
            Some(Err(e)) => {
                info!("connection to a worker closed: {e}");
                break;
            }
            None => break,
        }
    }
    if writing {
        // The writer has to have stopped before tickets are judged.
        writer.abort();
        let _ = writer.await;
    }
    let _ = notes.send(Note::Broken(conn)).await;
}
