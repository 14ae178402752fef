//! Events that cross, on real sockets, the crossing forced: a peer acts at a named point, or a clock is moved by hand.
//! The table of all pairs is in docs/crossings.md.

mod test_servers;

use std::io::Write;
use std::time::Duration;

use curlewpoint_platform::resp::encode_array;
use serde_json::json;
use test_case::test_case;
use test_servers::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

/// All that is said until the end of the connection.
async fn rest(client: &mut Client) -> String {
    let mut rest = Vec::new();
    soon(client.0.read_to_end(&mut rest)).await.expect("closed, not reset");
    String::from_utf8(rest).unwrap()
}

/// The next line on a worker's connection.
async fn asked_on(stream: &mut tokio::net::TcpStream) -> serde_json::Value {
    let mut line = Vec::new();
    while !line.ends_with(b"\n") {
        line.push(soon(stream.read_u8()).await.unwrap());
    }
    let asked = serde_json::from_slice(&line).unwrap();
    went_out(&asked);
    asked
}

// Departed clients.

/// Guards against attempts that begin for a client that has gone: what came together with its going is never sent on.
#[test_case(true ; "it closes")]
#[test_case(false ; "it cancels")]
#[tokio::test]
async fn a_call_and_its_end_in_one_go_reach_no_worker(closes: bool) {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    // By a blocking socket, so that both are there before the scheduler, on this thread, reads a byte.
    let bytes = [call(1, IDS[0]), say(&["CANCEL", "1"])].concat();
    let gone = Client::at_once(of.address, if closes { &bytes[..bytes.len() - 22] } else { &bytes });
    let gone = (!closes).then_some(gone);
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[1]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    assert_eq!(asked["req"], json!(IDS[1]));
    say.send(answer(&asked, "OK", "")).unwrap();
    client.hears(&["1", "good", "", ""]).await;
    assert!(heard.try_recv().is_err());
    drop(gone);
    of.settled().await;
}

/// Guards against an attempt that waits for a connection and goes out when it comes up, its client long gone.
#[tokio::test]
async fn what_waits_for_a_dial_does_not_outlive_its_client() {
    let (at, listener, held) = unreachable().await;
    let of =
        scheduler_with(&[&at], NOWHERE, |told| told["settings"]["limits"]["dialTimeout"] = json!(8000)).await;
    let (mut gone, mut client) = (Client::new(&of).await, Client::new(&of).await);
    gone.call("1", "read", IDS[0]).await;
    gone.say(&["CHECK", "2", ""]).await;
    gone.hears(&["2", "fit", "", ""]).await;
    client.call("1", "read", IDS[1]).await;
    drop(gone);
    client.say(&["CHECK", "2", ""]).await;
    client.hears(&["2", "fit", "", ""]).await;
    let (first, _) = soon(listener.accept()).await.unwrap();
    drop((first, held));
    let (mut second, _) = soon(listener.accept()).await.unwrap();
    let asked = asked_on(&mut second).await;
    assert_eq!(asked["req"], json!(IDS[1]), "the one whose client is there");
    second.write_all(answer(&asked, "OK", "").as_bytes()).await.unwrap();
    client.hears(&["1", "good", "", ""]).await;
    of.settled().await;
}

/// A client that has shut its writing side cannot be told from one that has gone, and counts as gone.
#[tokio::test]
async fn half_a_close_is_a_close() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    client.0.shutdown().await.unwrap();
    assert_eq!(rest(&mut client).await, "");
    let _ = say.send(answer(&asked, "OK", ""));
    of.settled().await;
}

// Closing.

/// Guards against a close with unread bytes: it resets the connection, and what the machine had not yet sent of the
/// answers is destroyed. Here the client's window is full, and it reads only after it has spoilt its connection.
#[tokio::test]
async fn a_client_that_is_cut_off_while_it_writes_still_reads_its_answers() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let (mut slow, mut other) =
        (Client::of(socket.connect(of.address).await.unwrap()), Client::new(&of).await);
    let body = "A".repeat(16_000);
    let (mut want, mut tag) = (String::new(), 0);
    for _ in 0..8 {
        tag += 1;
        slow.call(&tag.to_string(), "read", &format!("{tag:016x}")).await;
        let (asked, to) = soon(heard.recv()).await.unwrap();
        to.send(answer(&asked, "OK", &body)).unwrap();
        want += std::str::from_utf8(&encode_array(&[tag.to_string().as_bytes(), b"good", b"", &[0; 12_000]]))
            .unwrap();
        // One at a time on one connection: what is answered to this one was answered to the slow one before.
        other.call(&tag.to_string(), "read", &format!("{:016x}", 1000 + tag)).await;
        let (asked, to) = soon(heard.recv()).await.unwrap();
        to.send(answer(&asked, "OK", "")).unwrap();
        other.hears(&[&tag.to_string(), "good", "", ""]).await;
    }
    let rude = [b"no command at all ".to_vec(), vec![b'x'; 100_000]].concat();
    slow.0.try_write(&rude).unwrap();
    other.say(&["CHECK", "9", ""]).await;
    other.hears(&["9", "fit", "", ""]).await;
    assert!(rest(&mut slow).await == want, "answers are missing");
    of.settled().await;
}

/// Guards against an answer that is lost to the close which follows it at once.
#[test_case(false ; "closed")]
#[test_case(true ; "reset")]
#[tokio::test]
async fn an_answer_and_the_end_of_its_connection_in_one_go(reset: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let of = scheduler(&[&listener.local_addr().unwrap().to_string()], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "issue", IDS[0]).await;
    let (stream, _) = soon(listener.accept()).await.unwrap();
    let mut lines = tokio::io::BufReader::new(stream);
    let mut line = String::new();
    soon(tokio::io::AsyncBufReadExt::read_line(&mut lines, &mut line)).await.unwrap();
    went_out(&serde_json::from_str(&line).unwrap());
    let stream = lines.into_inner().into_std().unwrap();
    // On this thread: the answer and the end are both there before the scheduler reads either.
    (&stream).write_all(answer(&json!({"req": IDS[0]}), "OK", "ZG9uZQ==").as_bytes()).unwrap();
    if reset {
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    }
    drop(stream);
    client.hears(&["1", "good", "", "done"]).await;
    of.settled().await;
}

/// Guards against an answer that lies unread where writing on its connection fails: the writer finds the break before
/// the reader has been told that anything came. What the worker said counts, and what was to be written goes elsewhere.
#[tokio::test]
async fn an_answer_lies_unread_and_writing_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let of = scheduler(&[&listener.local_addr().unwrap().to_string()], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "issue", IDS[0]).await;
    let (mut stream, _) = soon(listener.accept()).await.unwrap();
    assert_eq!(asked_on(&mut stream).await["req"], json!(IDS[0]));
    let stream = stream.into_std().unwrap();
    // The driver looks once, and finds the second call. This task goes on first, on the scheduler's thread: the answer and
    // the reset are there before the second call is written to the connection, and the driver has not seen them.
    client.0.try_write(&call(2, IDS[1])).unwrap();
    tokio::task::yield_now().await;
    (&stream).write_all(answer(&json!({"req": IDS[0]}), "OK", "ZG9uZQ==").as_bytes()).unwrap();
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    drop(stream);
    client.hears(&["1", "good", "", "done"]).await;
    // Not a byte of the second was taken: it goes out again.
    let (mut stream, _) = soon(listener.accept()).await.unwrap();
    let asked = asked_on(&mut stream).await;
    assert_eq!(asked["req"], json!(IDS[1]));
    stream.write_all(answer(&asked, "OK", "").as_bytes()).await.unwrap();
    client.hears(&["2", "good", "", ""]).await;
    of.settled().await;
}

/// Guards the engine against a client that does not read: with its outbox full it is cut off, what it has open is let go,
/// and others are served meanwhile.
#[tokio::test]
async fn a_client_that_does_not_read_its_answers_is_cut_off() {
    let (at, mut heard) = worker_that_tells(&["abort"]).await;
    let mut of = scheduler(&[&at], NOWHERE).await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let (mut deaf, mut other) =
        (Client::of(socket.connect(of.address).await.unwrap()), Client::new(&of).await);
    // The answer to the first is kept.
    deaf.call("1", "issue", IDS[0]).await;
    let (kept, _say) = soon(heard.recv()).await.unwrap();
    let body = "A".repeat(60_000);
    let (mut tag, mut answered) = (1, 0);
    // The machine takes some 3 MB, the outbox 1 MB.
    let let_go = loop {
        tag += 1;
        deaf.0.try_write(&call(tag, &format!("{tag:016x}"))).unwrap();
        let (row, say) = soon(heard.recv()).await.unwrap();
        if row["type"] == "abort" {
            break row;
        }
        say.send(answer(&row, "OK", &body)).unwrap();
        answered += 1;
        assert!(answered < 200, "it is not cut off");
        // One at a time: another is served, and the answer before was told.
        other.call(&tag.to_string(), "read", &format!("{:016x}", 1000 + tag)).await;
        let (row, say) = soon(heard.recv()).await.unwrap();
        assert_eq!(row["type"], "invoke");
        say.send(answer(&row, "OK", "")).unwrap();
        other.hears(&[&tag.to_string(), "good", "", ""]).await;
    };
    assert_eq!(let_go["req"], kept["req"]);
    deaf.0.reset();
    of.settles().await;
    of.control.stop().await;
    let figures = soon(&mut of.stopped).await.unwrap();
    assert_eq!((figures.left, figures.ok + figures.left), (1, figures.taken));
}

/// Guards the descriptors against clients that ask once and stay: the longest idle makes room, and none that is owed an
/// answer or has said something unread.
#[tokio::test]
async fn the_longest_idle_makes_room_and_no_other() {
    let (at, mut heard) = worker().await;
    let of = scheduler_with(&[&at], NOWHERE, |told| told["limits"]["sockets"] = json!(64)).await;
    let mut owed = Client::new(&of).await;
    owed.call("1", "read", IDS[0]).await;
    let (asked, say_owed) = soon(heard.recv()).await.unwrap();
    let mut idle = Vec::new();
    for _ in 0..30 {
        let mut client = Client::new(&of).await;
        client.say(&["CHECK", "1", ""]).await;
        client.hears(&["1", "fit", "", ""]).await;
        idle.push(client);
    }
    // Not idle at all: what it says and the one that comes are there before the scheduler reads either.
    let mut speaks = Client::new(&of).await;
    speaks.say(&["CHECK", "1", ""]).await;
    speaks.hears(&["1", "fit", "", ""]).await;
    let bytes = call(1, IDS[1]);
    idle[0].0.try_write(&bytes).unwrap();
    let mut new = Client::at_once(of.address, &say(&["CHECK", "1", ""]));
    new.hears(&["1", "fit", "", ""]).await;
    let (second, say_second) = soon(heard.recv()).await.unwrap();
    assert_eq!(second["req"], json!(IDS[1]));
    say_second.send(answer(&second, "OK", "")).unwrap();
    idle[0].hears(&["1", "good", "", ""]).await;
    say_owed.send(answer(&asked, "OK", "")).unwrap();
    owed.hears(&["1", "good", "", ""]).await;
    idle[1].is_closed().await;
    for client in &mut idle[2..] {
        client.say(&["CHECK", "2", ""]).await;
        client.hears(&["2", "fit", "", ""]).await;
    }
    of.settled().await;
}

/// A connection's last word, and how it ends.
type Ends = fn(tokio::net::TcpStream);

fn spoils(stream: &tokio::net::TcpStream, bytes: &[u8]) {
    assert_eq!(stream.try_write(bytes).unwrap(), bytes.len());
}

fn resets(stream: tokio::net::TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// Waits, by its own, until the other side has closed.
fn stays(mut stream: tokio::net::TcpStream) {
    tokio::spawn(async move { drop(stream.read_to_end(&mut Vec::new()).await) });
}

/// What a client does last; it stays until the scheduler has closed its connection where it is given back.
type Leaves = fn(Client) -> Option<Client>;

fn says(client: &Client, bytes: &[u8]) {
    assert_eq!(client.0.try_write(bytes).unwrap(), bytes.len());
}

fn resets_client(client: Client) -> Option<Client> {
    client.0.reset();
    None
}

/// Guards against a place whose client has gone and that nobody gives back: in whatever way its task ends, as many are
/// let in afterwards as there are places, and nobody is asked to leave for them.
#[test_case(|_| None ; "closes before a word")]
#[test_case(resets_client ; "resets before a word")]
#[test_case(|c| { says(&c, &say(&["CHECK", "1", ""])[..9]); resets_client(c) } ; "resets in its first word")]
#[test_case(|c| { says(&c, b"no command at all "); Some(c) } ; "begins with what cannot be read")]
#[test_case(|c| { says(&c, &say(&["CHECK", "1", ""])); None } ; "asks and closes")]
#[test_case(|c| { says(&c, &call(1, IDS[0])); resets_client(c) } ; "calls and resets")]
#[test_case(|c| { says(&c, &[say(&["CHECK", "1", ""]), b"no command".to_vec()].concat()); Some(c) } ; "asks and spoils it")]
#[test_case(|c| { says(&c, &say(&["CHECK", "x", ""])); Some(c) } ; "is closed by the engine")]
#[tokio::test]
async fn a_place_is_given_back_however_its_client_leaves(leaves: Leaves) {
    const PLACES: u64 = 32;
    let (at, _heard) = worker().await;
    let of = scheduler_with(&[&at], NOWHERE, |told| told["limits"]["sockets"] = json!(2 * PLACES)).await;
    let mut other = Client::new(&of).await;
    for round in 0..2 {
        let mut stay = Vec::new();
        for tag in 1..PLACES {
            stay.extend(leaves(Client::new(&of).await));
            other.looks(&mut (round * PLACES + tag), "fit").await;
        }
        for mut client in stay {
            soon(client.0.read_to_end(&mut Vec::new())).await.unwrap();
        }
    }
    let mut clients = vec![other];
    for _ in 1..PLACES {
        let mut client = Client::new(&of).await;
        client.looks(&mut 0, "fit").await;
        clients.push(client);
    }
    for client in &mut clients {
        client.looks(&mut 1_000, "fit").await;
    }
    of.settled().await;
}

/// Guards against a connection to a worker whose end nobody hears of: what was asked on it would wait for ever, and it
/// would hold one of the worker's few. However it ends, what may have run is answered as that at once, and the next
/// connection serves.
#[test_case(drop ; "closes")]
#[test_case(resets ; "resets")]
#[test_case(|s| { spoils(&s, b"no object\n"); stays(s) } ; "says what cannot be read")]
#[test_case(|s| spoils(&s, b"{\"type\":\"OK\",") ; "closes in a line")]
#[test_case(|s| { spoils(&s, b"{\"type\":\"OK\","); stays(s) } ; "does not end a line")]
#[test_case(|s| { spoils(&s, &[b'x'; 70_000]); stays(s) } ; "says too long a line")]
#[test_case(|mut s| drop(tokio::spawn(async move { drop(s.shutdown().await); stays(s) })) ; "says nothing more")]
#[tokio::test]
async fn the_end_of_a_connection_to_a_worker_is_told_however_it_ends(ends: Ends) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let of = scheduler_with(&[&at], NOWHERE, |told| {
        // Two connections to a worker; and nothing else ends what is asked.
        told["limits"]["sockets"] = json!(64);
        for method in told["settings"]["requestClasses"].as_array_mut().unwrap() {
            (method["aim"], method["giveUp"]) = (json!(50_000), json!(60_000));
        }
    })
    .await;
    let mut client = Client::new(&of).await;
    let ask = |tag: u64| {
        let fields =
            format!("req={tag:016x},timeout=50000,subject=00000000000000aa,info=memory_mb:1;lanes:2");
        say(&["CALL", &tag.to_string(), "issue", &fields, ""])
    };
    for tag in 1..=3 {
        client.0.write_all(&ask(tag)).await.unwrap();
        let (mut stream, _) = soon(listener.accept()).await.unwrap();
        asked_on(&mut stream).await;
        ends(stream);
        client.hears(&[&tag.to_string(), "broken", "", ""]).await;
    }
    client.0.write_all(&ask(4)).await.unwrap();
    let (mut stream, _) = soon(listener.accept()).await.unwrap();
    let asked = asked_on(&mut stream).await;
    stream.write_all(answer(&asked, "OK", "").as_bytes()).await.unwrap();
    client.hears(&["4", "good", "", ""]).await;
    of.settled().await;
}

/// The same of a dial: what waits for it goes elsewhere once it has ended, long before its own time is up.
#[test_case(false ; "refused")]
#[test_case(true ; "without an answer")]
#[tokio::test]
async fn the_end_of_a_dial_is_told_however_it_ends(hangs: bool) {
    let held = unreachable().await;
    let refuses = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    let at = if hangs { held.0.clone() } else { refuses };
    let (good, mut heard) = worker().await;
    let mut directory = Directory::new().await;
    let of = scheduler_with(&[&at], &directory.at().to_string(), |told| {
        for method in told["settings"]["requestClasses"].as_array_mut().unwrap() {
            (method["aim"], method["giveUp"]) = (json!(50_000), json!(60_000));
        }
    })
    .await;
    let mut client = Client::new(&of).await;
    let fields = format!("req={},timeout=50000,subject=00000000000000aa,info=memory_mb:1;lanes:2", IDS[0]);
    client.say(&["CALL", "1", "issue", &fields, ""]).await;
    client.looks(&mut 1, "fit").await;
    // It is dialling; only now is there another.
    directory.is_asked().await;
    directory.answers(2, &[("s-0", at, 0), ("s-1", good, 0)], 0);
    let (asked, say) = soon(heard.recv()).await.unwrap();
    say.send(answer(&asked, "OK", "")).unwrap();
    client.hears(&["1", "good", "", ""]).await;
    of.settled().await;
}

// Shutdown.

/// Guards against requests that lie in the machine's queues when serving ends: on a connection not yet accepted, on one
/// not yet read. Each has its one answer, and the connection is closed and not reset.
#[tokio::test]
async fn what_has_come_by_the_end_of_serving_is_answered() {
    let (at, _heard) = worker().await;
    let mut of = scheduler(&[&at], NOWHERE).await;
    let mut open = Client::new(&of).await;
    open.say(&["CHECK", "1", ""]).await;
    open.hears(&["1", "fit", "", ""]).await;
    of.control.stop().await;
    open.say(&["CHECK", "2", ""]).await;
    open.hears(&["2", "unfit", "", ""]).await;
    // Before the scheduler, on this thread, looks again: the time is up, and all this has come.
    let mut row_of_32 = Vec::new();
    (3..35).for_each(|tag: u64| row_of_32.extend(say(&["CHECK", &tag.to_string(), ""])));
    open.0.try_write(&row_of_32).unwrap();
    let mut late = Client::at_once(of.address, &say(&["CHECK", "1", ""]));
    tokio::time::pause();
    tokio::time::advance(Duration::from_millis(1_001)).await;
    tokio::time::resume();
    let answers = rest(&mut open).await;
    (3..35).for_each(|tag: u64| {
        assert!(answers.contains(&format!("${}\r\n{tag}\r\n", if tag < 10 { 1 } else { 2 })))
    });
    assert_eq!(answers.matches("unfit").count(), 32);
    assert_eq!(rest(&mut late).await, String::from_utf8(say(&["1", "unfit", "", ""])).unwrap());
    soon(&mut of.stopped).await.unwrap();
    of.settled().await;
}

/// A call that still waits for a dial when the platform is about to kill is aborted with all that is open, answered and
/// flushed; its dial, where it comes up later, carries nothing.
#[tokio::test]
async fn a_call_that_waits_for_a_dial_at_the_end_is_answered() {
    let (at, listener, held) = unreachable().await;
    let mut of =
        scheduler_with(&[&at], NOWHERE, |told| told["settings"]["limits"]["dialTimeout"] = json!(8000)).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    let mut tag = 1;
    client.looks(&mut tag, "fit").await;
    of.control.stop().await;
    client.looks(&mut tag, "unfit").await;
    // The platform kills 3.7 s after the stop here; 0.2 s before that are for last words.
    tokio::time::pause();
    tokio::time::advance(Duration::from_millis(3_501)).await;
    tokio::time::resume();
    assert_eq!(rest(&mut client).await, String::from_utf8(say(&["1", "broken", "", ""])).unwrap());
    let figures = soon(&mut of.stopped).await.unwrap();
    assert_eq!((figures.taken, figures.aborted, figures.cut_off), (1, 1, 1));
    drop(soon(listener.accept()).await.unwrap());
    drop(held);
    of.settled().await;
}

/// A second stop, and a directory that moves just before or after one, change nothing for what is open.
#[tokio::test]
async fn a_second_stop_and_a_move_beside_it_change_nothing() {
    let (at, mut heard) = worker().await;
    let mut of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    of.resolver.send("127.0.0.1:10".parse().unwrap()).unwrap();
    of.control.stop().await;
    of.control.stop().await;
    of.resolver.send(NOWHERE.parse().unwrap()).unwrap();
    client.say(&["CHECK", "2", ""]).await;
    client.hears(&["2", "unfit", "", ""]).await;
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    client.hears(&["1", "good", "", "done"]).await;
    let figures = soon(&mut of.stopped).await.unwrap();
    assert_eq!((figures.taken, figures.ok, figures.cut_off), (1, 1, 0));
    of.settled().await;
}

// Hand-overs.

/// More is told at once of what ends something than its channel holds, 1024: those who tell wait, and the engine, which
/// waits for nobody, takes all of it. Here 40 clients withdraw all that they have open in one go.
#[tokio::test]
async fn more_endings_at_once_than_their_channel_holds() {
    const CLIENTS: u64 = 40;
    const OPEN: u64 = 32;
    let mut of = scheduler_with(&[], NOWHERE, |told| {
        for method in told["settings"]["requestClasses"].as_array_mut().unwrap() {
            (method["aim"], method["giveUp"]) = (json!(50_000), json!(60_000));
        }
    })
    .await;
    let mut clients = Vec::new();
    for no in 0..CLIENTS {
        let mut client = Client::new(&of).await;
        for tag in 1..=OPEN {
            let fields = format!(
                "req={:016x},timeout=50000,subject=00000000000000aa,info=memory_mb:1;lanes:2",
                no * OPEN + tag
            );
            client.say(&["CALL", &tag.to_string(), "issue", &fields, ""]).await;
        }
        client.looks(&mut OPEN.clone(), "fit").await;
        clients.push(client);
    }
    let mut all: Vec<u8> = (1..=OPEN).flat_map(|tag| say(&["CANCEL", &tag.to_string()])).collect();
    all.extend(say(&["CHECK", "99", ""]));
    // All of it is there before the scheduler, on this thread, reads a byte.
    for client in &clients {
        assert_eq!(client.0.try_write(&all).unwrap(), all.len());
    }
    for client in &mut clients {
        client.hears(&["99", "fit", "", ""]).await;
    }
    of.settles().await;
    of.control.stop().await;
    let figures = soon(&mut of.stopped).await.unwrap();
    assert_eq!((figures.taken, figures.aborted, figures.cut_off), (CLIENTS * OPEN, CLIENTS * OPEN, 0));
}

// Retries.

/// Guards against a second copy of one attempt's answer that is taken for the next attempt's: here it would prove that
/// the second never ran, and a third would begin.
#[tokio::test]
async fn a_second_answer_to_one_attempt_is_none_to_the_next() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let mut client = Client::new(&of).await;
    client.call("1", "issue", IDS[0]).await;
    let (first, say_first) = soon(heard.recv()).await.unwrap();
    say_first.send(answer(&first, "BUSY", "")).unwrap();
    let (second, say_second) = soon(heard.recv()).await.unwrap();
    assert_eq!(first["req"], second["req"]);
    say_first.send(answer(&first, "BUSY", "")).unwrap();
    // On the same connection a probe's answer follows it, so that the copy is read before the answer is sent.
    client.say(&["CHECK", "2", ""]).await;
    client.hears(&["2", "fit", "", ""]).await;
    say_second.send(answer(&second, "OK", "ZG9uZQ==")).unwrap();
    client.hears(&["1", "good", "", "done"]).await;
    assert!(heard.try_recv().is_err(), "a third attempt");
    of.settled().await;
}

/// Guards against an answer to an earlier request that is taken for one to a later of the same id, with another body.
#[tokio::test]
async fn the_id_of_one_answered_lately_is_turned_down() {
    let (at, mut heard) = worker().await;
    let of = scheduler(&[&at], NOWHERE).await;
    let (mut client, mut other) = (Client::new(&of).await, Client::new(&of).await);
    client.call("1", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    say.send(answer(&asked, "OK", "ZG9uZQ==")).unwrap();
    client.hears(&["1", "good", "", "done"]).await;
    for (client, tag) in [(&mut client, "2"), (&mut other, "1")] {
        client.call(tag, "read", IDS[0]).await;
        client.hears(&[tag, "broken", "", ""]).await;
    }
    assert!(heard.try_recv().is_err());
    of.settled().await;
}

// The list.

/// Guards against a directory that is always slower than the pause between questions: an answer counts as told from the
/// moment it was sent, whichever question it is to.
#[tokio::test]
async fn an_answer_that_comes_after_the_next_question_counts() {
    let (at, mut heard) = worker().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let of = scheduler(&[], &socket.local_addr().unwrap().to_string()).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    let mut query = [0; 512];
    let (n, _) = soon(socket.recv_from(&mut query)).await.unwrap();
    let first = listed(&query[..n], 2, &[("s-0", at, 0)]);
    let (_, from) = soon(socket.recv_from(&mut query)).await.unwrap();
    socket.send_to(&first.to_vec().unwrap(), from).await.unwrap();
    let (asked, say) = soon(heard.recv()).await.unwrap();
    say.send(answer(&asked, "OK", "")).unwrap();
    client.hears(&["1", "good", "", ""]).await;
    of.settled().await;
}

/// The directory moves twice while a question is out, first to where nobody is; the last place told is asked.
#[tokio::test]
async fn a_directory_that_moves_twice_is_asked_at_the_last_place() {
    let first = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let second = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let of = scheduler(&[], &first.local_addr().unwrap().to_string()).await;
    let mut query = [0; 512];
    soon(first.recv_from(&mut query)).await.unwrap();
    of.resolver.send(NOWHERE.parse().unwrap()).unwrap();
    of.resolver.send(second.local_addr().unwrap()).unwrap();
    soon(second.recv_from(&mut query)).await.unwrap();
    of.resolver.send(NOWHERE.parse().unwrap()).unwrap();
    of.resolver.send(first.local_addr().unwrap()).unwrap();
    let mut at_first = 0;
    while at_first < 2 {
        soon(first.recv_from(&mut query)).await.unwrap();
        at_first += 1;
    }
    of.settled().await;
}

/// Guards against an answer that came empty by a fault: the next one, under the same number, brings the workers back.
#[tokio::test]
async fn a_list_that_came_empty_is_made_good_by_the_next_of_the_same_number() {
    let (at, mut heard) = worker().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let of = scheduler(&[&at], &socket.local_addr().unwrap().to_string()).await;
    let mut client = Client::new(&of).await;
    let mut query = [0; 512];
    for workers in [vec![], vec![("s-0", at, 0)]] {
        let (n, from) = soon(socket.recv_from(&mut query)).await.unwrap();
        let list = listed(&query[..n], 2, &workers);
        socket.send_to(&list.to_vec().unwrap(), from).await.unwrap();
    }
    client.call("1", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    say.send(answer(&asked, "OK", "")).unwrap();
    client.hears(&["1", "good", "", ""]).await;
    of.settled().await;
}

/// Limits of the settings that are absent, nought or of another type hold nothing back: the default is used.
#[test_case(json!(null) ; "absent")]
#[test_case(json!({"dialTimeout": 0, "streamsPerConn": 0, "keepalive": 0, "maxOpen": 0}) ; "nought")]
#[test_case(json!({"dialTimeout": "x", "streamsPerConn": [], "keepalive": "y", "maxOpen": {}}) ; "of another type")]
#[test_case(json!({"dialTimeout": 1e9, "streamsPerConn": 1e9, "keepalive": 1e9, "maxOpen": 1e12}) ; "huge")]
#[test_case(json!(7) ; "no object")]
#[tokio::test]
async fn limits_that_say_nothing_hold_nothing_back(limits: serde_json::Value) {
    let (at, mut heard) = worker().await;
    let of = scheduler_with(&[&at], NOWHERE, |told| told["settings"]["limits"] = limits.clone()).await;
    let mut client = Client::new(&of).await;
    client.call("1", "read", IDS[0]).await;
    let (asked, say) = soon(heard.recv()).await.unwrap();
    say.send(answer(&asked, "OK", "")).unwrap();
    client.hears(&["1", "good", "", ""]).await;
    of.settled().await;
}
