use std::time::Duration;

use curlewpoint_engine::ConnId;
use curlewpoint_link::{dial, handshake, is_local_error, Link, LinkError, LinkLimits};
use curlewpoint_wire::WireError;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::StreamExt;
use tracing::{debug, info};

use crate::notes::Note;

/// Opens connections to workers, each in a task of its own.
pub(crate) struct Dialler {
    pub name: String,
    pub bounds: LinkLimits,
    pub limit: Duration,
    pub notes: mpsc::Sender<Note>,
}

impl Dialler {
    pub fn dial(&self, conn: ConnId, address: String) {
        let (name, bounds, limit, notes) = (self.name.clone(), self.bounds, self.limit, self.notes.clone());
        tokio::spawn(async move {
            let dialled = timeout(limit, async {
                let dialled = dial(&address).await;
                let stream =
                    dialled.map_err(|e| (is_local_error(&e), LinkError::from(WireError::from(e))))?;
                handshake(stream, &name, bounds).await.map_err(|why| (false, why))
            });
            let (ours, why) = match dialled.await {
                Ok(Ok(link)) => return converse(conn, link, notes).await,
                Ok(Err(told)) => told,
                Err(_) => (false, LinkError::NoHello(limit)),
            };
            debug!(conn = conn.0, address, "not connected: {why}");
            let _ = notes.send(Note::Down(conn, ours)).await;
        });
    }
}

/// After a write has failed, answers that came before are still read for so long.
const LAST_WORDS: Duration = Duration::from_secs(1);

async fn converse(conn: ConnId, link: Link, notes: mpsc::Sender<Note>) {
    let Link { outbox, mut reader, mut writer, peer } = link;
    if notes.send(Note::Up(conn, outbox)).await.is_err() {
        return;
    }
    let mut writing = true;
    loop {
        let next = tokio::select! {
            next = reader.next() => next,
            done = &mut writer, if writing => match done {
                // The outbox was dropped: nobody waits for an answer here any more.
                Ok(Ok(())) => {
                    writing = false;
                    break;
                }
                broken => {
                    debug!(conn = conn.0, peer, "writing broke: {broken:?}");
                    writing = false;
                    continue;
                }
            },
            () = tokio::time::sleep(LAST_WORDS), if !writing => break,
        };
        match next {
            Some(Ok(frame)) => {
                if notes.send(Note::Worker(conn, frame)).await.is_err() {
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
        // The writer has to have stopped before tickets are judged.
        let _ = writer.await;
    }
    let _ = notes.send(Note::Broken(conn)).await;
}
