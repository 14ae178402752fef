//! Requests that come in pieces, cut at every byte, and what may fall between two of them. A piece counts as read by
//! itself once a word on another connection, sent behind it, is answered.

mod test_servers;

use std::time::Duration;

use oorandom::Rand32;
use test_servers::*;
use tokio::io::AsyncWriteExt;

fn id(no: usize) -> String {
    format!("{no:016x}")
}

fn all_of(ids: &std::sync::Mutex<Vec<String>>) -> Vec<String> {
    let mut all = ids.lock().unwrap().clone();
    all.sort();
    all
}

fn ids(nos: impl IntoIterator<Item = usize>) -> Vec<String> {
    nos.into_iter().map(id).collect()
}

/// Guards against a reader that takes a part of a request for the whole, or drops what follows a cut: in lengths, between
/// CR and LF, in words, between two requests.
#[tokio::test]
async fn two_requests_are_read_once_and_whole_wherever_they_are_cut() {
    let (at, came) = gives_back().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let (mut client, mut other, mut tag) = (Client::new(&of).await, Client::new(&of).await, 0);
    let size = call(1, &id(0)).len();
    for cut in 1..2 * size {
        let (first, second) = (2 * cut, 2 * cut + 1);
        let tags = [first as u64 - 1, second as u64 - 1];
        let bytes = [call(tags[0], &id(first)), call(tags[1], &id(second))].concat();
        client.0.write_all(&bytes[..cut]).await.unwrap();
        other.looks(&mut tag, "fit").await;
        let whole = [call(tags[0], "").len() + 16 <= cut, bytes.len() <= cut];
        for (no, whole) in [(first, whole[0]), (second, whole[1])] {
            assert!(
                whole || !came.lock().unwrap().contains(&id(no)),
                "cut at {cut}: sent on before it was whole"
            );
        }
        client.0.write_all(&bytes[cut..]).await.unwrap();
        for tag in tags {
            client.hears(&[&tag.to_string(), "good", "", "body"]).await;
        }
    }
    assert_eq!(all_of(&came), ids(2..4 * size), "each once");
    of.settled().await;
}

/// The same in single bytes, and in pieces of any size.
#[tokio::test]
async fn requests_in_single_bytes_and_in_any_pieces_are_read_once_and_whole() {
    let (at, came) = gives_back().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let (mut client, mut other, mut tag) = (Client::new(&of).await, Client::new(&of).await, 0);
    let mut rng = Rand32::new(11);
    for round in 0..40 {
        let most = if round == 0 { 1 } else { rng.rand_range(1..120) };
        let tags = 3 * round + 1..3 * round + 4;
        let bytes: Vec<u8> = tags.clone().flat_map(|no| call(no, &id(no as usize))).collect();
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let (piece, more) = rest.split_at(rest.len().min(rng.rand_range(1..most + 1) as usize));
            client.0.write_all(piece).await.unwrap();
            other.looks(&mut tag, "fit").await;
            rest = more;
        }
        for tag in tags {
            client.hears(&[&tag.to_string(), "good", "", "body"]).await;
        }
    }
    assert_eq!(all_of(&came), ids(1..121), "each once");
    of.settled().await;
}

/// Clients that have each sent a call of their own up to another byte, and it was read.
async fn one_for_each_cut(of: &Scheduler, other: &mut Client, tag: &mut u64) -> Vec<(Client, Vec<u8>)> {
    let mut clients = Vec::new();
    for cut in 1..call(1, &id(0)).len() {
        let (mut client, bytes) = (Client::new(of).await, call(1, &id(cut)));
        client.0.write_all(&bytes[..cut]).await.unwrap();
        clients.push((client, bytes[cut..].to_vec()));
    }
    other.looks(tag, "fit").await;
    clients
}

fn with_room(told: &mut serde_json::Value) {
    told["limits"]["sockets"] = serde_json::json!(1024);
}

/// A stop falls between two pieces: what is whole before the end of serving is answered, half a request at the end was
/// not taken: it is read, dropped, and its connection closed.
#[tokio::test]
async fn a_stop_between_two_pieces() {
    let (at, came) = gives_back().await;
    let mut of = scheduler_with(&[&at], NOWHERE, with_room).await;
    let (mut other, mut tag) = (Client::new(&of).await, 0);
    let mut clients = one_for_each_cut(&of, &mut other, &mut tag).await;
    of.control.stop().await;
    other.looks(&mut tag, "unfit").await;
    let mut served = Vec::new();
    for (no, (client, rest)) in clients.iter_mut().enumerate().step_by(2) {
        client.0.write_all(rest).await.unwrap();
        client.hears(&["1", "good", "", "body"]).await;
        served.push(no + 1);
    }
    tokio::time::pause();
    tokio::time::advance(Duration::from_millis(1_001)).await;
    tokio::time::resume();
    for (client, _) in &mut clients {
        client.is_closed().await;
    }
    assert_eq!(all_of(&came), ids(served));
    let figures = soon(&mut of.stopped).await.unwrap();
    assert_eq!((figures.taken, figures.cut_off), (clients.len().div_ceil(2) as u64, 0));
    of.settled().await;
}

/// The close of a connection on which half a command lies falls between two pieces: a rest that has come by then is read
/// with it and answered; where none has, nothing of the request goes on, and the rest meets a closed connection.
#[tokio::test]
async fn a_close_between_two_pieces() {
    let (at, came) = gives_back().await;
    let of = scheduler_with(&[&at], NOWHERE, with_room).await;
    let (mut other, mut tag) = (Client::new(&of).await, 0);
    let mut clients = one_for_each_cut(&of, &mut other, &mut tag).await;
    // Before the scheduler, on this thread, looks again: the time is up, and every other rest has come.
    for (client, rest) in clients.iter_mut().step_by(2) {
        assert_eq!(client.0.try_write(rest).unwrap(), rest.len());
    }
    tokio::time::pause();
    tokio::time::advance(Duration::from_millis(2_001)).await;
    tokio::time::resume();
    let mut served = Vec::new();
    for (no, (client, rest)) in clients.iter_mut().enumerate() {
        if no % 2 == 0 {
            client.hears(&["1", "good", "", "body"]).await;
            served.push(no + 1);
        } else {
            client.is_closed().await;
            let _ = client.0.try_write(rest);
        }
    }
    assert_eq!(all_of(&came), ids(served));
    of.settled().await;
}

/// The close of a connection that has been idle for long falls between two pieces of its next request: where the rest has
/// come by then it is served; where it has not, the connection is closed and nothing was passed on.
#[tokio::test]
async fn the_close_of_an_idle_connection_between_two_pieces() {
    let (at, came) = gives_back().await;
    let of = scheduler_with(&[&at], NOWHERE, with_room).await;
    let mut clients = Vec::new();
    for cut in 1..call(2, &id(0)).len() {
        let mut client = Client::new(&of).await;
        client.looks(&mut 0, "fit").await;
        clients.push((client, cut));
    }
    tokio::time::pause();
    for second in 0..5 {
        if second == 4 {
            for (client, cut) in &mut clients {
                client.0.try_write(&call(2, &id(*cut))[..*cut]).unwrap();
            }
            all_is_read().await;
            for (client, cut) in clients.iter_mut().step_by(2) {
                client.0.try_write(&call(2, &id(*cut))[*cut..]).unwrap();
            }
        }
        tokio::time::advance(Duration::from_millis(1_001)).await;
        all_is_read().await;
    }
    tokio::time::resume();
    let mut served = Vec::new();
    for (no, (client, cut)) in clients.iter_mut().enumerate() {
        if no % 2 == 0 {
            client.hears(&["2", "good", "", "body"]).await;
            served.push(*cut);
        } else {
            let _ = client.0.try_write(&call(2, &id(*cut))[*cut..]);
            client.is_closed().await;
        }
    }
    assert_eq!(all_of(&came), ids(served));
    of.settled().await;
}

/// With the clock held: what lies on connections is read, and what follows from it is done.
async fn all_is_read() {
    for _ in 0..8 {
        tokio::task::yield_now().await;
    }
}

/// A cancel cut at every byte: its answer, where the worker gives it between the pieces, is the only one; where it comes
/// after the whole cancel there is none.
#[tokio::test]
async fn a_cancel_in_pieces_and_an_answer_between_or_behind_them() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let (mut client, mut other, mut looks) = (Client::new(&of).await, Client::new(&of).await, 0);
    let mut tag = 100;
    for cut in 1..say(&["CANCEL", "100"]).len() {
        for between in [true, false] {
            tag += 1;
            let withdrawal = say(&["CANCEL", &tag.to_string()]);
            let bytes = [call(tag, &id(tag as usize)), withdrawal[..cut].to_vec()].concat();
            client.0.write_all(&bytes).await.unwrap();
            let (asked, say) = soon(heard.recv()).await.unwrap();
            if between {
                say.send(answer(&asked, "OK", "")).unwrap();
                client.hears(&[&tag.to_string(), "good", "", ""]).await;
            }
            client.0.write_all(&withdrawal[cut..]).await.unwrap();
            other.looks(&mut looks, "fit").await;
            let _ = say.send(answer(&asked, "OK", ""));
        }
    }
    let figures = tag - 100;
    tag += 1;
    client.looks(&mut tag, "fit").await;
    assert!(figures > 20 && heard.try_recv().is_err());
    of.settled().await;
}

/// A cancel falls between two pieces of the next request, and one names a request of which only a part has come.
#[tokio::test]
async fn a_cancel_between_two_pieces_of_other_requests() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let (mut client, mut other, mut looks) = (Client::new(&of).await, Client::new(&of).await, 0);
    let mut tag = 0;
    for cut in 1..call(100, &id(0)).len() {
        let tags = [tag + 1, tag + 2, tag + 3];
        tag += 3;
        client.0.write_all(&call(tags[0], &id(tags[0] as usize))).await.unwrap();
        let (first, say_first) = soon(heard.recv()).await.unwrap();
        assert_eq!(first["req"], id(tags[0] as usize), "cut at {cut}");
        // The first and the second are withdrawn, the second before it comes; of the third there is a part.
        let next = [
            say(&["CANCEL", &tags[0].to_string()]),
            say(&["CANCEL", &tags[1].to_string()]),
            call(tags[1], &id(tags[1] as usize)),
            call(tags[2], &id(tags[2] as usize)),
        ];
        let whole = next.concat();
        let cut = whole.len() - next[3].len() + cut;
        client.0.write_all(&whole[..cut]).await.unwrap();
        other.looks(&mut looks, "fit").await;
        let _ = say_first.send(answer(&first, "OK", ""));
        client.0.write_all(&whole[cut..]).await.unwrap();
        let (third, say_third) = soon(heard.recv()).await.unwrap();
        assert_eq!(third["req"], id(tags[2] as usize), "the one that nobody has withdrawn");
        say_third.send(answer(&third, "OK", "")).unwrap();
        client.hears(&[&tags[2].to_string(), "good", "", ""]).await;
    }
    of.settled().await;
}
