use std::time::Duration;

use curlewpoint_link::{handshake, LinkLimits};
use curlewpoint_wire::WireError;
use oorandom::Rand64;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_stream::StreamExt;
use tracing::info;

use crate::events::Event;

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Keeps a connection to the list service open while `wanted` holds a number, and opens a new one when the number
/// changes. While there is no connection, the scheduler continues with the list that it has. Failed dials back off with
/// jitter, so that a service that comes back is not dialled by the whole fleet at the same moment.
pub(crate) async fn follow(
    address: String, name: String, link_limits: LinkLimits, dial_timeout: Duration,
    event_tx: mpsc::Sender<Event>, seed: u128, mut wanted: watch::Receiver<Option<u64>>,
) {
    let mut rng = Rand64::new(seed);
    let mut backoff = INITIAL_BACKOFF;
    let mut failure_logged = false;
    loop {
        let Ok(number) = wanted.wait_for(Option::is_some).await.map(|w| *w) else { return };
        let dialled = timeout(dial_timeout, async {
            let stream = TcpStream::connect(&address).await.map_err(WireError::from)?;
            handshake(stream, &name, link_limits).await
        });
        match dialled.await {
            Ok(Ok(mut link)) => {
                info!(address, "list service connected");
                (backoff, failure_logged) = (INITIAL_BACKOFF, false);
                if event_tx.send(Event::ListConnected(link.outbox)).await.is_err() {
                    return;
                }
                loop {
                    let next = tokio::select! {
                        next = link.reader.next() => next,
                        _ = wanted.wait_for(|w| *w != number) => break,
                    };
                    match next {
                        Some(Ok(frame)) => {
                            if event_tx.send(Event::ListFrame(frame)).await.is_err() {
                                return;
                            }
                        }
                        Some(Err(e)) => {
                            info!(address, "list service: {e}");
                            break;
                        }
                        None => break,
                    }
                }
                if event_tx.send(Event::ListDisconnected).await.is_err() {
                    return;
                }
                if *wanted.borrow() == number {
                    info!(address, "list service lost: the list held goes on to be used");
                }
            }
            failed if !failure_logged => {
                failure_logged = true;
                let reason = failed.map_or("no connection in time".to_owned(), |r| {
                    r.err().map_or(String::new(), |e| e.to_string())
                });
                info!(address, "list service not reached: {reason}");
            }
            _ => {}
        }
        if *wanted.borrow() != number {
            // The fleet delays its own requests for a new connection, so no further backoff is needed.
            (backoff, failure_logged) = (INITIAL_BACKOFF, false);
            continue;
        }
        sleep(backoff.mul_f64(0.5 + 0.5 * rng.rand_float())).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
