//! Connections to workers: dials them and passes on the messages received.

use std::time::Duration;

use curlewpoint_engine::ConnId;
use curlewpoint_link::{dial, is_local_error, linger, spawn_writer, split, LinkLimits};
use curlewpoint_platform::json_lines::{LineDecoder, LineError};
use serde_json::{Map, Value};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;
use tracing::{debug, info, info_span, Instrument};

use crate::events::Event;
use crate::worker_line::WorkerLine;

/// Opens connections to workers, each in a task of its own.
pub(crate) struct Dialler {
    pub limits: LinkLimits,
    pub timeout: Duration,
    pub event_tx: mpsc::Sender<Event>,
}

/// Interval at which an incomplete line is checked; one that is incomplete at two checks in a row ends the connection.
const LINE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long, and how many bytes, a connection closed by this side is still read.
const LINGER: (Duration, usize) = (Duration::from_millis(300), 256 * 1024);

impl Dialler {
    pub fn dial(&self, conn: ConnId, address: String) {
        let (limits, dial_timeout, event_tx) = (self.limits, self.timeout, self.event_tx.clone());
        let span = info_span!("connection", conn = conn.0, address);
        let connection = async move {
            let dialled = timeout(dial_timeout, dial(&address)).await;
            let (reason, is_local) = match dialled {
                Ok(Ok(stream)) => return run_connection(conn, stream, limits, event_tx).await,
                Ok(Err(error)) => (error.to_string(), is_local_error(&error)),
                Err(_) => ("dial timed out".to_owned(), false),
            };
            debug!(ours = is_local, "not connected: {reason}");
            let _ = event_tx.send(Event::WorkerDialFailed(conn, is_local)).await;
        };
        tokio::spawn(connection.instrument(span));
    }
}

/// Returns the next message, or `None` if the connection has ended or a line on it stays incomplete.
async fn next_message<R: tokio::io::AsyncRead + Unpin>(
    reader: &mut FramedRead<R, LineDecoder>,
) -> Option<Result<Map<String, Value>, LineError>> {
    let mut was_partial = false;
    loop {
        match timeout(LINE_TIMEOUT, reader.next()).await {
            Ok(message) => return message,
            Err(_) if was_partial && !reader.read_buffer().is_empty() => return None,
            Err(_) => was_partial = !reader.read_buffer().is_empty(),
        }
    }
}

/// Passes on messages until the connection ends. A malformed message ends it, because the start of the next line can no
/// longer be trusted.
async fn run_connection(conn: ConnId, stream: TcpStream, limits: LinkLimits, event_tx: mpsc::Sender<Event>) {
    // Nagle's algorithm would delay every answer.
    let _ = stream.set_nodelay(true);
    let (read, write) = split(stream);
    let (outbox, mut writer) = spawn_writer::<WorkerLine>(write, limits);
    let mut reader = FramedRead::new(read, LineDecoder { max_len: limits.max_frame_bytes, scanned: 0 });
    if event_tx.send(Event::WorkerConnected(conn, outbox)).await.is_err() {
        return;
    }
    // After a write error, messages that the worker sent before are still read until this deadline.
    let (mut writing, mut read_deadline) = (true, None);
    loop {
        let message = tokio::select! {
            biased;
            message = next_message(&mut reader) => message,
            ended = &mut writer, if writing => {
                writing = false;
                if matches!(ended, Ok(Ok(()))) {
                    // The outbox was dropped: no answer is expected on this connection any more.
                    linger(reader.get_mut(), LINGER.0, LINGER.1).await;
                    break;
                }
                read_deadline = Some(Instant::now() + LINE_TIMEOUT);
                continue;
            }
            () = sleep_until(read_deadline.unwrap_or_else(Instant::now)), if read_deadline.is_some() => break,
        };
        match message {
            Some(Ok(message)) => {
                if event_tx.send(Event::WorkerMessage(conn, message)).await.is_err() {
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
        // The writer must have stopped before the engine evaluates which requests were sent.
        writer.abort();
        let _ = writer.await;
    }
    let _ = event_tx.send(Event::WorkerDisconnected(conn)).await;
}
