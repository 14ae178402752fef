use std::time::Duration;

use curlewpoint_link::{handshake, LinkLimits};
use curlewpoint_wire::WireError;
use oorandom::Rand64;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_stream::StreamExt;
use tracing::info;

use crate::notes::Note;

const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MOST_PAUSE: Duration = Duration::from_secs(2);

/// Keeps a connection to the list service while one is wanted, and another for each number that is. While there is none the list held goes on to be used; dials pause longer
/// each time, with jitter, so that a service that comes back is not met by the whole fleet in step.
pub(crate) async fn follow(
    address: String, name: String, bounds: LinkLimits, dial: Duration, notes: mpsc::Sender<Note>, seed: u128,
    mut wanted: watch::Receiver<Option<u64>>,
) {
    let mut rng = Rand64::new(seed);
    let mut pause = FIRST_PAUSE;
    let mut said = false;
    loop {
        let Ok(number) = wanted.wait_for(Option::is_some).await.map(|w| *w) else { return };
        let dialled = timeout(dial, async {
            let stream = TcpStream::connect(&address).await.map_err(WireError::from)?;
            handshake(stream, &name, bounds).await
        });
        match dialled.await {
            Ok(Ok(mut link)) => {
                info!(address, "list service connected");
                (pause, said) = (FIRST_PAUSE, false);
                if notes.send(Note::ListUp(link.outbox)).await.is_err() {
                    return;
                }
                loop {
                    let next = tokio::select! {
                        next = link.reader.next() => next,
                        _ = wanted.wait_for(|w| *w != number) => break,
                    };
                    match next {
                        Some(Ok(frame)) => {
                            if notes.send(Note::List(frame)).await.is_err() {
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
                if notes.send(Note::ListBroke).await.is_err() {
                    return;
                }
                if *wanted.borrow() == number {
                    info!(address, "list service lost: the list held goes on to be used");
                }
            }
            failed if !said => {
                said = true;
                let why = failed.map_or("no connection in time".to_owned(), |r| {
                    r.err().map_or(String::new(), |e| e.to_string())
                });
                info!(address, "list service not reached: {why}");
            }
            _ => {}
        }
        if *wanted.borrow() != number {
            // Whoever wants it again has waited on its own.
            (pause, said) = (FIRST_PAUSE, false);
            continue;
        }
        sleep(pause.mul_f64(0.5 + 0.5 * rng.rand_float())).await;
        pause = (pause * 2).min(MOST_PAUSE);
    }
}
