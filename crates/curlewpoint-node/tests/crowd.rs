//! Crowds at the doors, on real sockets, while the clock of all timers stands still: nothing that makes room may wait for
//! a timer, or what a crowd brings beyond a timer's pace lies there until its time is over.

mod test_servers;

use std::sync::mpsc;
use std::time::Duration;

use curlewpoint_platform::resp::encode_array;
use serde_json::json;
use test_servers::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The clock stands still until this is dropped: a paused clock goes on by itself only where nothing blocks. A story that
/// waits for a timer hangs; after a while of real time the clock goes on, and each step's limit fails it.
struct Still(mpsc::Sender<()>);

fn stand_still() -> Still {
    tokio::time::pause();
    let (held, let_go) = mpsc::channel::<()>();
    tokio::task::spawn_blocking(move || let_go.recv_timeout(Duration::from_secs(30)));
    Still(held)
}

fn id(no: usize) -> String {
    format!("{:016x}", 0x1000 + no)
}

/// Guards usual clients against a crowd of hundreds that ask once and stay, and that begin a request and never end it: many
/// times as many as there are places. All that is read whole is answered, once; who has something open stays.
#[tokio::test]
async fn a_crowd_is_let_in_without_a_timer_and_harms_no_usual_client() {
    const CROWD: usize = 400;
    const OWED: usize = 2;
    let (at, mut heard) = worker().await;
    // 64 places for clients.
    let of = scheduler_with(&[&at], NOWHERE, |told| told["limits"]["sockets"] = json!(128)).await;
    let mut owed = Vec::new();
    for no in 0..OWED {
        let mut client = Client::new(&of).await;
        client.call("1", "read", &id(no)).await;
        let (asked, say) = soon(heard.recv()).await.unwrap();
        assert_eq!(asked["req"], json!(id(no)));
        owed.push((client, asked, say));
    }
    let still = stand_still();
    // In waves, each there as a whole before the scheduler has looked.
    let check = encode_array(&[b"CHECK", b"1", b""]).to_vec();
    let fit = encode_array(&[b"1", b"fit", b"", b""]).to_vec();
    let (mut stays, mut pieces, mut usual) = (Vec::new(), Vec::new(), OWED);
    for wave in 0..CROWD / 40 {
        let mut wave: Vec<(usize, Client)> = (0..40)
            .map(|no| {
                let no = wave * 40 + no;
                let whole = call(1, &id(1_000 + no));
                (
                    no,
                    match no % 10 {
                        0 => Client::at_once(of.address, &whole),
                        // Fewer than there are places: they may stay for a while.
                        1 => Client::at_once(of.address, &whole[..whole.len() / 2]),
                        _ => Client::at_once(of.address, &check),
                    },
                )
            })
            .collect();
        for (no, client) in &mut wave {
            match *no % 10 {
                0 => {
                    let (asked, say) = soon(heard.recv()).await.unwrap();
                    assert_eq!(asked["req"], json!(id(1_000 + *no)), "usual clients in their order");
                    say.send(answer(&asked, "OK", "")).unwrap();
                    client.hears(&["1", "good", "", ""]).await;
                    usual += 1;
                }
                1 => {}
                _ => {
                    let mut got = vec![0; fit.len()];
                    soon(client.0.read_exact(&mut got)).await.expect("an answer, not a close or a reset");
                    assert_eq!(got, fit);
                }
            }
        }
        for (no, client) in wave {
            if no % 10 == 1 { &mut pieces } else { &mut stays }.push(client);
        }
    }
    assert!(heard.try_recv().is_err(), "nothing that was not asked whole");
    for (client, asked, say) in &mut owed {
        say.send(answer(asked, "OK", "")).unwrap();
        client.hears(&["1", "good", "", ""]).await;
    }
    assert_eq!(usual, OWED + CROWD / 10);
    // A request in pieces is taken when its last byte has come.
    let no = 1_000 + CROWD - 9;
    let last = pieces.last_mut().unwrap();
    let whole = call(1, &id(no));
    last.0.write_all(&whole[whole.len() / 2..]).await.unwrap();
    let (asked, say) = soon(heard.recv()).await.unwrap();
    assert_eq!(asked["req"], json!(id(no)));
    say.send(answer(&asked, "OK", "")).unwrap();
    last.hears(&["1", "good", "", ""]).await;
    // Who was put out to make room was told nothing more, and was closed, not reset.
    let mut out = 0;
    for client in &mut stays {
        let mut rest = [0; 64];
        tokio::select! {
            biased;
            read = client.0.read(&mut rest) => {
                assert_eq!(read.expect("closed, not reset"), 0, "nothing after its one answer");
                out += 1;
            }
            () = std::future::ready(()) => {}
        }
    }
    assert!(out >= CROWD * 9 / 10 - 64, "room was made by those that stayed: {out}");
    drop(still.0);
    of.settled().await;
}
