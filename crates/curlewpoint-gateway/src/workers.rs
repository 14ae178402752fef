use std::time::Duration;

use curlewpoint_engine::ConnId;
use curlewpoint_link::{dial, handshake, is_local_error, Link, LinkError, LinkLimits};
use curlewpoint_wire::WireError;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tracing::{debug, info};

use crate::events::Event;

/// Opens connections to workers, one task each.
pub(crate) struct Dialler {
    /// Name of this instance.
    pub name: String,
    pub link_limits: LinkLimits,
    /// Time for connecting and exchanging hellos.
    pub timeout: Duration,
    pub event_tx: mpsc::Sender<Event>,
}

impl Dialler {
    pub fn dial(&self, conn: ConnId, address: String) {
        let (name, link_limits, dial_timeout, event_tx) =
            (self.name.clone(), self.link_limits, self.timeout, self.event_tx.clone());
        tokio::spawn(async move {
            let dialled = timeout(dial_timeout, async {
                let dialled = dial(&address).await;
                let stream =
                    dialled.map_err(|e| (is_local_error(&e), LinkError::from(WireError::from(e))))?;
                handshake(stream, &name, link_limits).await.map_err(|error| (false, error))
            });
            let (local, error) = match dialled.await {
                Ok(Ok(link)) => return read_frames(conn, link, event_tx).await,
                Ok(Err(failure)) => failure,
                Err(_) => (false, LinkError::NoHello(dial_timeout)),
            };
            debug!(conn = conn.0, address, "not connected: {error}");
            let _ = event_tx.send(Event::WorkerDialFailed(conn, local)).await;
        });
    }
}

/// Time for which answers are still read after a write has failed.
const READ_AFTER_WRITE_FAILURE: Duration = Duration::from_secs(1);

async fn read_frames(conn: ConnId, link: Link, event_tx: mpsc::Sender<Event>) {
    let Link { outbox, mut reader, mut writer, peer } = link;
    if event_tx.send(Event::WorkerConnected(conn, outbox)).await.is_err() {
        return;
    }
    let mut writing = true;
    loop {
        let next = tokio::select! {
            next = reader.next() => next,
            done = &mut writer, if writing => match done {
                // The outbox was dropped: no answer is awaited on this connection any more.
                Ok(Ok(())) => {
                    writing = false;
                    break;
                }
                failed => {
                    debug!(conn = conn.0, peer, "write failed: {failed:?}");
                    writing = false;
                    continue;
                }
            },
            () = tokio::time::sleep(READ_AFTER_WRITE_FAILURE), if !writing => break,
        };
        match next {
            Some(Ok(frame)) => {
                if event_tx.send(Event::WorkerFrame(conn, frame)).await.is_err() {
                    break;
                }
            }
            Some(Err(e)) => {
                info!(conn = conn.0, peer, "connection to a worker broke: {e}");
                break;
            }
            None => break,
        }
    }
    writer.abort();
    if writing {
        // The writer must have stopped before the tickets show which requests were sent.
        let _ = writer.await;
    }
    let _ = event_tx.send(Event::WorkerDisconnected(conn)).await;
}
