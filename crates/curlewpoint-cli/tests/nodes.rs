//! Nodes as processes of their own, on loopback, at moments that cross. What clients wrote and read, and what workers
//! heard and said, is judged by the checker that the tests on sockets use.

mod test_servers;

use std::fs::File;
use std::io::{Read, Write};
use std::net::UdpSocket;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use test_servers::transcript::ConnState;
use test_servers::*;
use serde_json::{json, Value};

/// Guards against a stop that ends a node by the signal itself, which counts as a crash: here it comes while the node
/// reads what it is told, before it serves.
#[test]
fn a_stop_before_it_is_ready_ends_it_well() {
    let file = file("early");
    let _ = std::fs::remove_file(&file);
    assert!(Command::new("mkfifo").arg(&file).status().expect("mkfifo runs").success());
    let mut child = run(&file, 256, "");
    let log = log(&mut child);
    let mut node = Node { child, file, address: String::new(), log };
    // Opened from here once it is open over there.
    let mut pipe = File::options().write(true).open(&node.file).unwrap();
    signal(&node.child, "TERM");
    pipe.write_all(told(7, "127.0.0.1:9", &[], 256, settings(1)).to_string().as_bytes()).unwrap();
    drop(pipe);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// Guards the descriptors that are a worker's, the directory's and the usual clients' against crowds that connect and
/// say nothing, or ask once and stay, while the directory says nothing either.
#[test]
fn idle_crowds_leave_room_for_dials_the_directory_and_usual_clients() {
    let book = Book::default();
    let (at, calls) = worker(&book);
    let silent = UdpSocket::bind("127.0.0.1:0").unwrap();
    let first = told(7, &silent.local_addr().unwrap().to_string(), &[at], 64, settings(1));
    let node = Node::start("crowd", &first, 64);
    let crowd: Vec<Client> = (0..120)
        .map(|no| {
            let mut idle = Client::new(&node.address, &book);
            if no % 2 == 0 {
                // Some of the crowd may be turned away with this unread.
                let _ = idle.stream.write_all(&row(&["CHECK", "1", ""]));
            }
            idle
        })
        .collect();
    for no in 1..=8 {
        let mut usual = Client::new(&node.address, &book);
        usual.says(&call(1, no));
        assert!(usual.has_all());
        assert_eq!(usual.told().as_bytes(), row(&["1", "good", "", ""]));
    }
    assert_eq!(calls.lock().unwrap().len(), 8);
    let moved = UdpSocket::bind("127.0.0.1:0").unwrap();
    moved.set_read_timeout(Some(STEP)).unwrap();
    let mut anew = first;
    anew["resolver"] = json!(moved.local_addr().unwrap().to_string());
    std::fs::write(&node.file, anew.to_string()).unwrap();
    signal(&node.child, "HUP");
    moved.recv(&mut [0; 512]).expect("the directory is asked at its new place");
    drop(crowd);
    book.keeps_the_rule();
}

/// What has connected, and said nothing, a part of a request or all of it, while the node is held before it reads.
fn unread(node: &Node, book: &Book) -> Vec<Client> {
    signal(&node.child, "STOP");
    let bytes = call(1, 100);
    [0, 1, bytes.len() / 2, bytes.len()]
        .map(|cut| {
            let mut client = Client::new(&node.address, book);
            client.says(&bytes[..cut]);
            client
        })
        .into()
}

/// A node on the same port as the one that has ended. It is ready at once, and the request that was not answered is
/// served, under an id of its own as a client's retry has, once.
fn starts_again(name: &str, told: &Value, before: &str, book: &Book) -> Node {
    let mut told = told.clone();
    told["listen"] = json!(before);
    let node = Node::start(name, &told, 256);
    assert_eq!(node.address, before, "on the same port");
    let mut client = Client::new(before, book);
    client.says(&row(&["CHECK", "1", ""]));
    assert!(client.has_all());
    assert_eq!(client.told().as_bytes(), row(&["1", "fit", "", ""]));
    client.says(&call(2, 200));
    assert!(client.has_all());
    assert!(client.told().ends_with(&String::from_utf8(row(&["2", "good", "", ""])).unwrap()));
    node
}

/// Guards against requests that are lost without a trace, or run twice, where a node is killed between the machine's
/// accepting a connection and its own first reading; and against a port that is not to be had after it.
#[test]
fn killed_right_after_an_accept() {
    let book = Book::default();
    let (at, calls) = worker(&book);
    let first = told(7, "127.0.0.1:9", &[at], 256, settings(1));
    let mut node = Node::start("killed", &first, 256);
    // Served before, so that connections to the worker and of clients are open.
    let mut served = Client::new(&node.address, &book);
    served.says(&call(1, 1));
    assert!(served.has_all());
    let mut clients = unread(&node, &book);
    signal(&node.child, "KILL");
    node.child.wait().unwrap();
    for client in &mut clients {
        while client.reads() {}
        assert_eq!(client.told(), "", "a dead node has said something");
    }
    assert_eq!(calls.lock().unwrap().len(), 1, "nothing of what it had not read");
    let again = starts_again("killed-again", &first, &node.address, &book);
    assert_eq!(calls.lock().unwrap().len(), 2, "each once");
    drop((again, served));
    book.keeps_the_rule();
}

/// The twin: it is told to stop in that instant. What came whole is answered, all else closed in order, and it exits 0.
#[test]
fn stopped_right_after_an_accept() {
    let book = Book::default();
    let (at, calls) = worker(&book);
    let first = told(7, "127.0.0.1:9", &[at], 256, settings(1));
    let mut node = Node::start("stopped", &first, 256);
    let mut clients = unread(&node, &book);
    signal(&node.child, "TERM");
    signal(&node.child, "CONT");
    for (no, client) in clients.iter_mut().enumerate() {
        while client.reads() {}
        let want = if no == 3 { row(&["1", "good", "", ""]) } else { vec![] };
        assert_eq!(client.told().as_bytes(), want);
        assert!(!client.was_reset, "closed, not reset");
    }
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    let again = starts_again("stopped-again", &first, &node.address, &book);
    assert_eq!(calls.lock().unwrap().len(), 2, "each once");
    drop(again);
    book.keeps_the_rule();
}

/// Guards against a process that is up and serves nobody, unnoticed: here its list names nobody and the directory says
/// nothing. Each request is answered, one line says what is wrong, and once the directory answers it serves.
#[test]
fn one_that_serves_nobody_says_so_and_gets_out() {
    let book = Book::default();
    let (at, calls) = worker(&book);
    let (tell, events) = mpsc::channel();
    let since = Arc::<AtomicU64>::default();
    let silent = Arc::new(AtomicBool::new(true));
    let asked = move |no| {
        let _ = tell.send(no);
    };
    let resolver = directory(0, vec![at], Arc::clone(&since), Arc::clone(&silent), asked);
    let node = Node::start("nobody", &told(7, &resolver, &[], 256, settings(1)), 256);
    let mut client = Client::new(&node.address, &book);
    client.says(&row(&["CHECK", "1", ""]));
    assert!(client.has_all());
    // Two calls for each question that is put to the directory in vain, for four seconds by the node's own clock.
    let mut tag = 1;
    for _ in 0..20 {
        events.recv_timeout(STEP).expect("it asks on");
        for _ in 0..2 {
            tag += 1;
            client.says(&call(tag, tag));
        }
    }
    assert!(client.has_all(), "it goes on answering");
    assert!(!client.told().contains("good"));
    let before = node.logs("no RPC succeeds");
    assert_eq!(before.iter().filter(|l| l.contains("gives no valid response")).count(), 1, "{before:#?}");
    since.store(1, Ordering::Release);
    silent.store(false, Ordering::Release);
    let mut between = node.logs("discovery is available again");
    while !client.told().contains("good") {
        events.recv_timeout(STEP).expect("it asks on");
        tag += 1;
        client.says(&call(tag, tag));
        assert!(client.has_all());
    }
    between.extend(node.logs("RPCs succeed again"));
    assert!(!between.iter().any(|l| l.contains("no RPC succeeds")), "said twice: {between:#?}");
    assert!(!calls.lock().unwrap().is_empty());
    book.keeps_the_rule();
}

/// The same of one whose descriptors are gone, fewer than it was told it has: a crowd that has sent a part of a request
/// each holds them all. One line says so; who has a request is served once the crowd's time is up.
#[test]
fn one_whose_descriptors_are_gone_says_so_and_gets_out() {
    let book = Book::default();
    let (at, calls) = worker(&book);
    let node = Node::start("gone", &told(7, "127.0.0.1:9", &[at], 256, settings(1)), 48);
    // So that there is a connection to the worker.
    let mut first = Client::new(&node.address, &book);
    first.says(&call(1, 1));
    assert!(first.has_all());
    let mut crowd: Vec<Client> = (0..60).map(|_| Client::new(&node.address, &book)).collect();
    crowd.iter_mut().for_each(|client| client.says(b"*"));
    let before = node.logs("no room for clients");
    assert!(!before.iter().any(|l| l.contains("no room")));
    let mut usual = Client::new(&node.address, &book);
    usual.says(&call(1, 2));
    assert!(usual.has_all());
    assert_eq!(usual.told().as_bytes(), row(&["1", "good", "", ""]));
    for client in &mut crowd {
        while client.reads() {}
        assert_eq!(client.told(), "");
    }
    assert_eq!(calls.lock().unwrap().len(), 2);
    book.keeps_the_rule();
}

/// What the main thread of a story waits for: a node asks its directory, or has answered so many calls.
enum Event {
    Asked(usize),
    Answered(usize, usize),
}

/// Guards against processes that push a cold worker over together, as with engines in made-up time (cold.rs there), and
/// against one among them that gets no share: here on sockets, all demand turned to one worker at the moment that it is
/// listed. Clients go by their node's questions to its directory, five calls to each, so that a machine that is slow is
/// slow for both.
#[test]
fn thirty_processes_keep_to_a_cold_workers_budget_and_each_has_its_share() {
    const NODES: usize = 30;
    const WARM: usize = 3;
    const CALLS: u64 = 5;
    // Questions, five a second: until all is warm, and from the start of the cold one until shares are compared.
    const TO_WARM: usize = 10;
    const TO_SHARE: usize = 25;
    let book = Book::default();
    let workers: Vec<_> = (0..=WARM).map(|_| worker(&book)).collect();
    let addresses: Vec<String> = workers.iter().map(|(at, _)| at.clone()).collect();
    let since = Arc::<AtomicU64>::default();
    let (tell, events) = mpsc::channel();
    let nodes: Vec<Node> = (0..NODES)
        .map(|no| {
            let tell = tell.clone();
            let asked = move |no| drop(tell.send(Event::Asked(no)));
            let resolver = directory(no, addresses.clone(), Arc::clone(&since), Arc::default(), asked);
            let told = told(no as u64 + 1, &resolver, &addresses[..WARM], 256, settings(NODES));
            Node::start(&format!("cold-{no}"), &told, 256)
        })
        .collect();
    let mut clients: Vec<Client> = nodes.iter().map(|node| Client::new(&node.address, &book)).collect();
    for (no, client) in clients.iter().enumerate() {
        let (mut answers, tell, book) = (client.stream.try_clone().unwrap(), tell.clone(), book.clone());
        let at = client.no;
        std::thread::spawn(move || {
            let mut some = [0; 4096];
            while let Ok(n) = answers.read(&mut some) {
                book.look(|r| match n {
                    0 => r.conns[at].state = ConnState::ClosedByScheduler,
                    n => r.conns[at].received.extend_from_slice(&some[..n]),
                });
                // An answer's row begins with the one asterisk that it holds.
                let rows = some[..n].iter().filter(|b| **b == b'*').count();
                if n == 0 || tell.send(Event::Answered(no, rows)).is_err() {
                    return;
                }
            }
        });
    }
    let (mut asked, mut sent, mut answered) = ([0; NODES], [0; NODES], [0; NODES]);
    let mut next = |calls: bool, asked: &mut [usize; NODES], sent: &mut [usize; NODES]| {
        match events.recv_timeout(STEP).expect("nodes ask and answer") {
            Event::Answered(no, rows) => answered[no] += rows,
            Event::Asked(no) => {
                asked[no] += 1;
                for _ in 0..if calls { CALLS } else { 0 } {
                    sent[no] += 1;
                    clients[no].says(&call(sent[no] as u64, (no as u64 + 1) << 32 | sent[no] as u64));
                }
            }
        }
        answered
    };
    // Warm: so many answers are known to each that their rates say what a worker takes.
    let begun = Instant::now();
    while asked.iter().any(|n| *n < TO_WARM) {
        next(true, &mut asked, &mut sent);
    }
    let taken = workers[..WARM].iter().map(|(_, calls)| calls.lock().unwrap().len()).sum::<usize>() as f64;
    let a_second = taken / begun.elapsed().as_secs_f64() / WARM as f64;
    let start = Instant::now();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    since.store(wall, Ordering::Release);
    asked = [0; NODES];
    while asked.iter().any(|n| *n < TO_SHARE) {
        next(true, &mut asked, &mut sent);
    }
    let took = start.elapsed();
    // All that is open is answered: it has its own time.
    while next(false, &mut asked, &mut sent) != sent {}
    let calls = workers[WARM].1.lock().unwrap().clone();
    let ages: Vec<f64> = calls.iter().map(|(at, _)| (*at - start).as_secs_f64() * 1_000.0).collect();
    let capacity = |age: f64| (0.2 + 0.8 * age / WARM_WITHIN).min(1.0);
    for (no, from) in ages.iter().enumerate().filter(|(_, from)| **from + FALL <= WARM_WITHIN) {
        let n = 2.0 * (capacity(*from) + capacity(from + FALL)) / 2.0 * FALL / 1_000.0 * a_second;
        let there = ages[no..].iter().take_while(|at| **at < from + FALL).count() as f64;
        assert!(there <= n + 2.0 * n.sqrt() + 2.0, "{there} in the window from {from:.0} ms, budget {n:.1}");
    }
    let mut served = [0; NODES];
    calls
        .iter()
        .filter(|(at, _)| *at <= start + took)
        .for_each(|(_, id)| served[(id >> 32) as usize - 1] += 1);
    let (least, mean) = (*served.iter().min().unwrap(), served.iter().sum::<usize>() as f64 / NODES as f64);
    println!(
        "a warm worker took {a_second:.0} a second, the cold one {} in {took:.1?}; mean of a process {mean:.1}, least {least}",
        calls.len()
    );
    assert!(mean >= 10.0, "the ramp is not kept by sending nothing");
    assert!(least as f64 >= mean / 2.0, "one serves {least}, the mean is {mean:.1}: {served:?}");
    book.keeps_the_rule();
}
