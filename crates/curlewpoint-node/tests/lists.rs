//! Lists that cross other events: a directory that moves and then drains, one that falls silent late, and one that comes
//! back with the whole list at once.

mod test_servers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use test_servers::*;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};

fn one(id: &str, at: &str, priority: u16) -> (String, String, u16) {
    (id.to_owned(), at.to_owned(), priority)
}

async fn serves(heard: &mut mpsc::UnboundedReceiver<Heard>, client: &mut Client, tag: &str) -> Value {
    let (asked, say) = soon(heard.recv()).await.unwrap();
    say.send(answer(&asked, "OK", "")).unwrap();
    client.hears(&[tag, "good", "", ""]).await;
    asked
}

// A reload, then a drain.

/// A directory moves while the answer of the old one is out; the first list of the new one drains worker `s-0` and names
/// another. The old one's list, of a lower number, comes in the moment of the move and again behind the new one's, from the
/// old place and from the new.
struct Moves {
    old: Directory,
    new: Directory,
    drained: String,
    next: String,
}

impl Moves {
    async fn new(of: &Scheduler, mut old: Directory, drained: &str, next: &str) -> Moves {
        let mut new = Directory::new().await;
        old.is_asked().await;
        of.resolver.send(new.at()).unwrap();
        old.answers(2, &[one("s-0", drained, 0)], 0);
        new.is_asked().await;
        Moves { old, new, drained: drained.to_owned(), next: next.to_owned() }
    }

    /// Before the scheduler looks again.
    fn drains(&self) {
        self.new.answers(3, &[one("s-0", &self.drained, 1), one("s-1", &self.next, 0)], 0);
        // A second answer to the same question, with the list before: it is read, and passed over by its number.
        self.new.answers(2, &[one("s-0", &self.drained, 0)], 0);
        self.old.answers(2, &[one("s-0", &self.drained, 0)], 0);
    }
}

/// Guards against an attempt that goes to a worker drained meanwhile: here it waits for a dial.
#[tokio::test]
async fn a_move_then_a_drain_and_an_attempt_that_is_dialling() {
    let (old, (at, listener, held)) = (Directory::new().await, unreachable().await);
    let (next, mut at_next) = worker().await;
    let of = scheduler_with(&[&at], &old.at().to_string(), |told| {
        told["settings"]["limits"]["dialTimeout"] = json!(8000)
    })
    .await;
    let (mut client, mut other) = (Client::new(&of).await, Client::new(&of).await);
    client.call("1", "issue", IDS[0]).await;
    other.looks(&mut 0, "fit").await;
    let mut moves = Moves::new(&of, old, &at, &next).await;
    moves.drains();
    assert_eq!(serves(&mut at_next, &mut client, "1").await["req"], json!(IDS[0]));
    // The old list is asked for no more, and what comes of it late brings nothing back.
    moves.new.is_asked().await;
    moves.drains();
    for tag in ["2", "3", "4"] {
        client.call(tag, "issue", &format!("{tag:0>16}")).await;
        serves(&mut at_next, &mut client, tag).await;
    }
    // Its dial still comes up; not a byte goes over it.
    drop(soon(listener.accept()).await.unwrap());
    drop(held);
    let (stream, _) = soon(listener.accept()).await.unwrap();
    other.looks(&mut 1, "fit").await;
    assert!(!matches!(stream.try_read(&mut [0; 64]), Ok(1..)), "something went to the drained worker");
    of.settled().await;
}

/// A worker that answers what it reads, and reads nothing while it is held. It tells the ids that it has read.
fn holds(listener: TcpListener) -> (watch::Sender<bool>, mpsc::UnboundedReceiver<String>) {
    let ((hold, held), (told, read)) = (watch::channel(false), mpsc::unbounded_channel());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (told, mut held) = (told.clone(), held.clone());
            stream.set_nodelay(true).unwrap();
            tokio::spawn(async move {
                let (read, mut write) = stream.into_split();
                let mut lines = BufReader::new(read).lines();
                while held.wait_for(|held| !held).await.is_ok() {
                    let line = tokio::select! {
                        biased;
                        _ = held.changed() => continue,
                        line = lines.next_line() => line,
                    };
                    let Ok(Some(line)) = line else { return };
                    let row: Value = serde_json::from_str(&line).unwrap();
                    let word = match row["type"].as_str() {
                        Some("invoke") => "OK",
                        Some("gauges") => "UP",
                        _ => continue,
                    };
                    if word == "OK" {
                        went_out(&row);
                        let _ = told.send(row["req"].as_str().unwrap().to_owned());
                    }
                    let _ = write.write_all(answer(&row, word, "").as_bytes()).await;
                }
            });
        }
    });
    (hold, read)
}

/// A listener whose connections take as little ahead of their reader as the machine lets them.
fn narrow() -> (String, TcpListener) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    (listener.local_addr().unwrap().to_string(), listener)
}

/// The same of many that wait for a worker that does not read: what the machine has taken a byte of stays there, and is
/// answered there; all the rest goes to the other worker, and nothing to both.
#[tokio::test]
async fn a_move_then_a_drain_and_requests_that_wait_for_a_worker() {
    const ALL: usize = 256;
    let old = Directory::new().await;
    let (at, listener) = narrow();
    let (hold, mut begun) = holds(listener);
    let (next, mut at_next) = worker().await;
    let mut of = scheduler_with(&[&at], &old.at().to_string(), |told| {
        told["settings"]["limits"]["streamsPerConn"] = json!(1_000);
        told["settings"]["limits"]["maxOpen"] = json!(1_000);
    })
    .await;
    let (mut clients, mut other, mut looks) = (Vec::new(), Client::new(&of).await, 0);
    for _ in 0..ALL / 32 {
        clients.push(Client::new(&of).await);
    }
    let body = "x".repeat(16_000);
    let mut id = 0;
    let mut ask = |tag: usize| {
        id += 1;
        let fields =
            format!("req={id:016x},timeout=9000,subject=00000000000000aa,info=memory_mb:1;lanes:500");
        say(&["CALL", &tag.to_string(), "issue", &fields, &body])
    };
    hold.send(true).unwrap();
    for tag in 1..=32 {
        for client in &mut clients {
            client.0.write_all(&ask(tag)).await.unwrap();
        }
        other.looks(&mut looks, "fit").await;
    }
    let moves = Moves::new(&of, old, &at, &next).await;
    moves.drains();
    other.looks(&mut looks, "fit").await;
    hold.send(false).unwrap();
    let elsewhere = Arc::<Mutex<BTreeSet<String>>>::default();
    let came = Arc::clone(&elsewhere);
    tokio::spawn(async move {
        while let Some((asked, say)) = at_next.recv().await {
            assert!(came.lock().unwrap().insert(asked["req"].as_str().unwrap().to_owned()), "twice");
            say.send(answer(&asked, "OK", "")).unwrap();
        }
    });
    // Each has its one answer; some may be refused, as the module sees fit.
    of.settles().await;
    let mut here = BTreeSet::new();
    while let Ok(id) = begun.try_recv() {
        assert!(here.insert(id), "twice");
    }
    let elsewhere = elsewhere.lock().unwrap();
    println!("{} were begun at the drained worker, {} went elsewhere", here.len(), elsewhere.len());
    assert!(here.is_disjoint(&elsewhere));
    // The module has no more than 16 out at one that has answered nothing; how many it turns down meanwhile is its choice.
    assert!((1..=16).contains(&here.len()) && elsewhere.len() > 16, "what waits goes on to be sent here");
}

/// Bytes that the machine has taken of those who wrote to this address, and that nobody there has read.
fn taken_by_the_machine(at: &str) -> usize {
    let port: u16 = at.rsplit_once(':').unwrap().1.parse().unwrap();
    let port = format!(":{port:04X}");
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let bytes = |row: &str| {
        let words: Vec<&str> = row.split_whitespace().collect();
        let (local, remote, state) = (words[1], words[2], words[3]);
        let (unsent, unread) = words[4].split_once(':').unwrap();
        let queue = match state {
            "01" if remote.ends_with(&port) => unsent,
            "01" if local.ends_with(&port) => unread,
            _ => "0",
        };
        usize::from_str_radix(queue, 16).unwrap()
    };
    table.lines().skip(1).map(bytes).sum()
}

/// The same of attempts that lie in an outbox, no byte of them begun: the worker reads nothing, and the machine takes no
/// more for it. They are taken back and go elsewhere; the drained worker hears what the machine had taken by then, and
/// nothing more.
#[tokio::test]
async fn a_move_then_a_drain_and_attempts_in_an_outbox() {
    const CLIENTS: usize = 16;
    const ANSWERS: u64 = 120;
    let old = Directory::new().await;
    let (at, listener) = narrow();
    let (hold, mut begun) = holds(listener);
    let (next, mut at_next) = worker().await;
    let mut of = scheduler_with(&[&at], &old.at().to_string(), |told| {
        // Two connections to a worker.
        told["limits"]["sockets"] = json!(64);
        told["settings"]["limits"]["streamsPerConn"] = json!(1_000);
        for method in told["settings"]["requestClasses"].as_array_mut().unwrap() {
            (method["aim"], method["giveUp"]) = (json!(50_000), json!(60_000));
        }
    })
    .await;
    let fields =
        |id| format!("req={id:016x},timeout=50000,subject=00000000000000aa,info=memory_mb:1;lanes:500");
    let (mut clients, mut other, mut looks) = (Vec::new(), Client::new(&of).await, 1_000);
    // Many quick answers from a warm copy: by their rate the module has thousands out within the soft deadline.
    for id in 1..=ANSWERS {
        let tag = id.to_string();
        other.say(&["CALL", &tag, "read", &fields(id), ""]).await;
        other.hears(&[&tag, "good", "", ""]).await;
        soon(begun.recv()).await.unwrap();
    }
    for _ in 0..CLIENTS {
        clients.push(Client::new(&of).await);
    }
    hold.send(true).unwrap();
    let body = "x".repeat(16_000);
    let (mut id, mut taken, mut stood) = (ANSWERS, 0, 0);
    for tag in 1..=32 {
        for client in &mut clients {
            id += 1;
            let ask = say(&["CALL", &tag.to_string(), "issue", &fields(id), &body]);
            client.0.write_all(&ask).await.unwrap();
        }
        other.looks(&mut looks, "fit").await;
        // Two rounds of which the machine has taken nothing: they lie in outboxes.
        let before = std::mem::replace(&mut taken, taken_by_the_machine(&at));
        stood = if taken == before { stood + 1 } else { 0 };
        if stood == 2 {
            break;
        }
    }
    assert_eq!(stood, 2, "the machine goes on taking: {taken} bytes of {id} requests");
    let moves = Moves::new(&of, old, &at, &next).await;
    assert_eq!(taken_by_the_machine(&at), taken);
    moves.drains();
    other.looks(&mut looks, "fit").await;
    hold.send(false).unwrap();
    let elsewhere = Arc::<Mutex<BTreeMap<String, usize>>>::default();
    let came = Arc::clone(&elsewhere);
    tokio::spawn(async move {
        while let Some((asked, say)) = at_next.recv().await {
            let line = asked.to_string().len() + 1;
            let before = came.lock().unwrap().insert(asked["req"].as_str().unwrap().to_owned(), line);
            assert_eq!(before, None, "twice");
            say.send(answer(&asked, "OK", "")).unwrap();
        }
    });
    of.settles().await;
    let mut here = BTreeSet::new();
    while let Ok(id) = begun.try_recv() {
        assert!(here.insert(id), "twice");
    }
    of.control.stop().await;
    let figures = soon(&mut of.stopped).await.unwrap();
    let elsewhere = elsewhere.lock().unwrap();
    let (all, line) = ((id - ANSWERS) as usize, *elsewhere.values().max().expect("nothing was taken back"));
    println!("{} of {all} were begun, {} went elsewhere; {taken} bytes taken", here.len(), elsewhere.len());
    assert!(elsewhere.keys().all(|id| !here.contains(id)));
    // Each has one answer, and all were served.
    assert_eq!((here.len() + elsewhere.len(), figures.ok), (all, ANSWERS + all as u64));
    // On each of the two connections the machine may have begun one line and not taken all of it.
    assert!(here.len() * line <= taken + 2 * line, "more than the machine had taken");
    // Those that went elsewhere had all been attempted here: they were taken back out of an outbox.
    assert_eq!(figures.attempts, ANSWERS + (all + elsewhere.len()) as u64);
    assert!(elsewhere.len() >= 2 * CLIENTS);
}

/// The same of a retry that is due: the worker's 'full', which proves that the attempt never ran, comes in the moment of
/// the list that drains it; the next attempt goes to the other.
#[tokio::test]
async fn a_move_then_a_drain_and_a_retry_that_is_due() {
    let old = Directory::new().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let (next, mut at_next) = worker().await;
    let of = scheduler(&[&at], &old.at().to_string()).await;
    let mut client = Client::new(&of).await;
    client.call("1", "issue", IDS[0]).await;
    let (stream, _) = soon(listener.accept()).await.unwrap();
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    soon(lines.read_line(&mut line)).await.unwrap();
    let asked: Value = serde_json::from_str(&line).unwrap();
    went_out(&asked);
    let moves = Moves::new(&of, old, &at, &next).await;
    let stream = lines.into_inner();
    // Both are there before the scheduler looks again.
    stream.try_write(answer(&asked, "BUSY", "").as_bytes()).unwrap();
    moves.drains();
    assert_eq!(serves(&mut at_next, &mut client, "1").await["req"], json!(IDS[0]));
    assert!(!matches!(stream.try_read(&mut [0; 64]), Ok(1..)), "something went to the drained worker");
    of.settled().await;
}

// Silent late, and the whole list at once.

/// The directory answers, then never again, with a drain and a start told only in what never came: the list held goes on
/// to be used, what its worker that has gone is asked goes to the one that stands, and nothing goes to one that nobody
/// told of. When it comes back, what it tells counts at once.
#[tokio::test]
async fn a_directory_that_falls_silent_late_and_comes_back() {
    let mut directory = Directory::new().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let goes = listener.local_addr().unwrap().to_string();
    let ((stays, mut at_stays), (starts, mut at_starts)) = (worker().await, worker().await);
    let of = scheduler(&[&goes, &stays], &directory.at().to_string()).await;
    let mut client = Client::new(&of).await;
    for _ in 0..5 {
        directory.is_asked().await;
        directory.answers(1, &[one("s-0", &goes, 0), one("s-1", &stays, 0)], 0);
    }
    // From here on it is asked and says nothing. One worker is drained and goes; another starts.
    drop(listener);
    let mut tag = 0;
    for _ in 0..8 {
        directory.is_asked().await;
        for _ in 0..4 {
            tag += 1;
            client.call(&tag.to_string(), "issue", &format!("{tag:016x}")).await;
            serves(&mut at_stays, &mut client, &tag.to_string()).await;
        }
    }
    assert!(at_starts.try_recv().is_err(), "nobody told of it");
    directory.answers(4, &[one("s-0", &goes, 1), one("s-1", &stays, 1), one("s-2", &starts, 0)], 0);
    directory.is_asked().await;
    for _ in 0..4 {
        tag += 1;
        client.call(&tag.to_string(), "issue", &format!("{tag:016x}")).await;
        serves(&mut at_starts, &mut client, &tag.to_string()).await;
    }
    assert!(at_stays.try_recv().is_err(), "it drains");
    of.settled().await;
}

/// What a worker was asked: its number, the connection there, the id.
type Came = (usize, usize, String);

/// Answers all at once on this address, and tells what came on which of its connections.
async fn counted(no: usize, told: mpsc::UnboundedSender<Came>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let mut conns = 0;
        while let Ok((stream, _)) = listener.accept().await {
            conns += 1;
            let (told, conn) = (told.clone(), conns);
            stream.set_nodelay(true).unwrap();
            tokio::spawn(async move {
                let (read, mut write) = stream.into_split();
                let mut lines = BufReader::new(read).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let row: Value = serde_json::from_str(&line).unwrap();
                    let word = match row["type"].as_str() {
                        Some("invoke") => "OK",
                        Some("gauges") => "UP",
                        _ => continue,
                    };
                    if word == "OK" {
                        went_out(&row);
                        let _ = told.send((no, conn, row["req"].as_str().unwrap().to_owned()));
                    }
                    let _ = write.write_all(answer(&row, word, "").as_bytes()).await;
                }
            });
        }
    });
    at
}

/// A directory that comes back with the whole list at once: of 90 workers, 30 stay, 30 go, 30 addresses are another's
/// now, and 30 are new; 300 more that nobody saw have come and gone. No herd goes to the new ones, nothing to what has
/// gone, nothing over a connection of the one before at an address; and an answer that is due in that moment waits for no
/// more than a quarter of a second.
#[tokio::test]
async fn the_whole_list_at_once() {
    const EACH: usize = 30;
    const MOST_HELD_UP: Duration = Duration::from_millis(250);
    let (told, mut came) = mpsc::unbounded_channel();
    let mut addresses = Vec::new();
    for no in 0..4 * EACH {
        addresses.push(counted(no, told.clone()).await);
    }
    let mut directory = Directory::new().await;
    let known: Vec<&str> = addresses[..3 * EACH].iter().map(String::as_str).collect();
    let of = scheduler_with(&known, &directory.at().to_string(), |told| {
        told["limits"]["sockets"] = json!(1024);
        // Those that nobody saw: they are in the start's list, at an address that never answers.
        let nodes = told["known"]["cmds"][0]["nodes"]["instances"].as_array_mut().unwrap();
        let gone = |no| {
            json!({"instanceId": format!("g-{no}"), "hostPort": "127.0.0.1:9", "zone": "z", "lifecycle": "Terminating"})
        };
        nodes.extend((0..300).map(gone));
    })
    .await;
    let (mut clients, mut id) = (Vec::new(), 0);
    for _ in 0..10 {
        clients.push(Client::new(&of).await);
    }
    // Many functions, so that there are connections to most.
    let mut before = BTreeMap::new();
    let mut tag = 0;
    for _ in 0..60 {
        tag += 1;
        for client in &mut clients {
            id += 1;
            let fields =
                format!("req={id:016x},timeout=5000,subject={:016x},info=memory_mb:1;lanes:2", id % 97);
            client.say(&["CALL", &tag.to_string(), "read", &fields, ""]).await;
        }
        for client in &mut clients {
            client.hears(&[&tag.to_string(), "good", "", ""]).await;
        }
        while let Ok((no, conn, _)) = came.try_recv() {
            let conns: &mut usize = before.entry(no).or_default();
            *conns = conn.max(*conns);
        }
    }
    println!("{} were asked by {id} requests", before.len());
    assert!(before.range(EACH..2 * EACH).count() >= EACH / 2 && before.range(2 * EACH..).count() >= EACH / 2);
    // 0 to 29 stay, at 30 to 59 there is another now, 60 to 89 are gone, 90 to 119 are new.
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let list: Vec<_> = (0..2 * EACH)
        .chain(3 * EACH..4 * EACH)
        .map(|no| one(&format!("{}-{no}", if no < EACH { "s" } else { "n" }), &addresses[no], 0))
        .collect();
    directory.is_asked().await;
    let begun = std::time::Instant::now();
    assert!(directory.answers(900, &list, wall) > 0, "it fits a datagram");
    clients[0].looks(&mut tag.clone(), "fit").await;
    let held_up = begun.elapsed();
    tag += 1;
    println!("an answer behind the list of {} after {held_up:?}", list.len());
    assert!(held_up < MOST_HELD_UP, "{held_up:?}");
    let mut asked: BTreeMap<usize, usize> = BTreeMap::new();
    for _ in 0..60 {
        tag += 1;
        for client in &mut clients {
            id += 1;
            let fields =
                format!("req={id:016x},timeout=5000,subject={:016x},info=memory_mb:1;lanes:2", id % 97);
            client.say(&["CALL", &tag.to_string(), "read", &fields, ""]).await;
        }
        for client in &mut clients {
            client.hears(&[&tag.to_string(), "good", "", ""]).await;
        }
        while let Ok((no, conn, id)) = came.try_recv() {
            assert!(!(2 * EACH..3 * EACH).contains(&no), "{id} went to one that has gone");
            let old = before
                .get(&no)
                .filter(|_| (EACH..2 * EACH).contains(&no))
                .is_some_and(|conns| conn <= *conns);
            assert!(!old, "{id} went over a connection of the one before at that address");
            *asked.entry(no).or_insert(0) += 1;
        }
    }
    let most_new = asked.iter().filter(|(no, _)| **no >= EACH).map(|(_, n)| *n).max();
    let most = asked.values().max();
    assert!(most_new.is_some_and(|n| n <= 6 * 600 / list.len()), "a herd at a new one: {most_new:?}");
    println!("600 requests: at most {most_new:?} at a new one, {most:?} at any, {} asked", asked.len());
    of.settled().await;
}
