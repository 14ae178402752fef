//! Runs nodes as processes on loopback and tests races between signals, connections and requests. All traffic of clients
//! and workers is checked with the transcript checker of the socket tests.

mod test_servers;

use std::fs::File;
use std::io::{Read, Write};
use std::net::UdpSocket;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use test_servers::transcript::ConnState;
use test_servers::*;

/// Guards against a node killed by a stop signal that arrives during startup, while the startup configuration is read.
/// The platform counts death by a signal as a crash.
#[test]
fn a_stop_signal_during_startup_exits_with_0() {
    let config_file = config_file("early");
    let _ = std::fs::remove_file(&config_file);
    assert!(Command::new("mkfifo").arg(&config_file).status().expect("mkfifo runs").success());
    let mut child = run(&config_file, 256, "");
    let log = log_lines(&mut child);
    let mut node = Node { child, config_file, address: String::new(), log };
    // The open blocks until the node has opened the pipe for reading.
    let mut pipe = File::options().write(true).open(&node.config_file).unwrap();
    signal(&node.child, "TERM");
    pipe.write_all(startup_config(7, "127.0.0.1:9", &[], 256, settings(1)).to_string().as_bytes()).unwrap();
    drop(pipe);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// Guards against idle clients that use up the descriptors reserved for workers, discovery and active clients. Half of
/// them send nothing, the others one request; discovery does not respond either.
#[test]
fn idle_clients_leave_descriptors_for_workers_discovery_and_active_clients() {
    let transcript = SharedTranscript::default();
    let (worker_address, calls) = start_worker(&transcript);
    let silent_discovery = UdpSocket::bind("127.0.0.1:0").unwrap();
    let config = startup_config(
        7,
        &silent_discovery.local_addr().unwrap().to_string(),
        &[worker_address],
        64,
        settings(1),
    );
    let node = Node::start("idle", &config, 64);
    let idle_clients: Vec<Client> = (0..120)
        .map(|index| {
            let mut idle = Client::new(&node.address, &transcript);
            if index % 2 == 0 {
                // The node may close some of these connections before it reads this.
                let _ = idle.stream.write_all(&encode(&["CHECK", "1", ""]));
            }
            idle
        })
        .collect();
    for id in 1..=8 {
        let mut active = Client::new(&node.address, &transcript);
        active.send(&call(1, id));
        assert!(active.receive_all_replies());
        assert_eq!(active.received().as_bytes(), encode(&["1", "good", "", ""]));
    }
    assert_eq!(calls.lock().unwrap().len(), 8);
    let new_discovery = UdpSocket::bind("127.0.0.1:0").unwrap();
    new_discovery.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let mut new_config = config;
    new_config["resolver"] = json!(new_discovery.local_addr().unwrap().to_string());
    std::fs::write(&node.config_file, new_config.to_string()).unwrap();
    signal(&node.child, "HUP");
    new_discovery.recv(&mut [0; 512]).expect("a query at the new discovery address");
    drop(idle_clients);
    transcript.assert_no_violations();
}

/// Suspends the node with SIGSTOP and connects clients that send nothing, a part of a request, or all of it.
fn connect_while_suspended(node: &Node, transcript: &SharedTranscript) -> Vec<Client> {
    signal(&node.child, "STOP");
    let bytes = call(1, 100);
    [0, 1, bytes.len() / 2, bytes.len()]
        .map(|cut| {
            let mut client = Client::new(&node.address, transcript);
            client.send(&bytes[..cut]);
            client
        })
        .into()
}

/// Starts a node on the port of the one that ended. It must be ready at once and serve the retry of the unanswered
/// request, which has a new id.
fn restart(name: &str, config: &Value, before: &str, transcript: &SharedTranscript) -> Node {
    let mut config = config.clone();
    config["listen"] = json!(before);
    let node = Node::start(name, &config, 256);
    assert_eq!(node.address, before, "on the same port");
    let mut client = Client::new(before, transcript);
    client.send(&encode(&["CHECK", "1", ""]));
    assert!(client.receive_all_replies());
    assert_eq!(client.received().as_bytes(), encode(&["1", "fit", "", ""]));
    client.send(&call(2, 200));
    assert!(client.receive_all_replies());
    assert!(client.received().ends_with(&String::from_utf8(encode(&["2", "good", "", ""])).unwrap()));
    node
}

/// Guards against requests that are lost or run twice when a node is killed after the kernel accepted a connection and
/// before the node read from it, and against a port that cannot be bound again afterwards.
#[test]
fn a_kill_right_after_an_accept_loses_and_repeats_nothing() {
    let transcript = SharedTranscript::default();
    let (worker_address, calls) = start_worker(&transcript);
    let config = startup_config(7, "127.0.0.1:9", &[worker_address], 256, settings(1));
    let mut node = Node::start("killed", &config, 256);
    // Opens a connection to the worker and leaves a client connection open.
    let mut served = Client::new(&node.address, &transcript);
    served.send(&call(1, 1));
    assert!(served.receive_all_replies());
    let mut clients = connect_while_suspended(&node, &transcript);
    signal(&node.child, "KILL");
    node.child.wait().unwrap();
    for client in &mut clients {
        while client.receive() {}
        assert_eq!(client.received(), "", "a killed node sent data");
    }
    assert_eq!(calls.lock().unwrap().len(), 1, "an unread request reached the worker");
    let again = restart("killed-again", &config, &node.address, &transcript);
    assert_eq!(calls.lock().unwrap().len(), 2, "each request runs once");
    drop((again, served));
    transcript.assert_no_violations();
}

/// Guards against lost requests and connection resets when a stop signal arrives right after an accept. Complete requests
/// are answered, the other connections are closed in order, and the node exits with 0.
#[test]
fn a_stop_right_after_an_accept_answers_complete_requests() {
    let transcript = SharedTranscript::default();
    let (worker_address, calls) = start_worker(&transcript);
    let config = startup_config(7, "127.0.0.1:9", &[worker_address], 256, settings(1));
    let mut node = Node::start("stopped", &config, 256);
    let mut clients = connect_while_suspended(&node, &transcript);
    signal(&node.child, "TERM");
    signal(&node.child, "CONT");
    for (index, client) in clients.iter_mut().enumerate() {
        while client.receive() {}
        let want = if index == 3 { encode(&["1", "good", "", ""]) } else { vec![] };
        assert_eq!(client.received().as_bytes(), want);
        assert!(!client.was_reset, "closed, not reset");
    }
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    let again = restart("stopped-again", &config, &node.address, &transcript);
    assert_eq!(calls.lock().unwrap().len(), 2, "each request runs once");
    drop(again);
    transcript.assert_no_violations();
}

/// Guards against a running node that serves no RPC without reporting it: its endpoint list is empty and discovery does
/// not respond. Each request must be answered, one log line reports the failure, and the node recovers once discovery
/// responds.
#[test]
fn a_node_without_workers_logs_it_once_and_recovers() {
    let transcript = SharedTranscript::default();
    let (worker_address, calls) = start_worker(&transcript);
    let (sender, events) = mpsc::channel();
    let cold_since = Arc::<AtomicU64>::default();
    let is_silent = Arc::new(AtomicBool::new(true));
    let on_query = move |node| {
        let _ = sender.send(node);
    };
    let resolver =
        start_discovery(0, vec![worker_address], Arc::clone(&cold_since), Arc::clone(&is_silent), on_query);
    let node = Node::start("nobody", &startup_config(7, &resolver, &[], 256, settings(1)), 256);
    let mut client = Client::new(&node.address, &transcript);
    client.send(&encode(&["CHECK", "1", ""]));
    assert!(client.receive_all_replies());
    // Two calls for each unanswered discovery query: four seconds by the node's clock.
    let mut tag = 1;
    for _ in 0..20 {
        events.recv_timeout(STEP_TIMEOUT).expect("discovery queries continue");
        for _ in 0..2 {
            tag += 1;
            client.send(&call(tag, tag));
        }
    }
    assert!(client.receive_all_replies(), "each call is answered");
    assert!(!client.received().contains("good"));
    let before = node.wait_for_log("no RPC succeeds");
    assert_eq!(before.iter().filter(|l| l.contains("gives no valid response")).count(), 1, "{before:#?}");
    cold_since.store(1, Ordering::Release);
    is_silent.store(false, Ordering::Release);
    let mut between = node.wait_for_log("discovery is available again");
    while !client.received().contains("good") {
        events.recv_timeout(STEP_TIMEOUT).expect("discovery queries continue");
        tag += 1;
        client.send(&call(tag, tag));
        assert!(client.receive_all_replies());
    }
    between.extend(node.wait_for_log("RPCs succeed again"));
    assert!(!between.iter().any(|l| l.contains("no RPC succeeds")), "logged twice: {between:#?}");
    assert!(!calls.lock().unwrap().is_empty());
    transcript.assert_no_violations();
}

/// Guards against a node that runs out of descriptors without reporting it. Its limit is lower than the startup
/// configuration states, and clients with partial requests hold all descriptors. One log line reports it; a complete
/// request is served once these clients time out.
#[test]
fn a_node_out_of_descriptors_logs_it_once_and_recovers() {
    let transcript = SharedTranscript::default();
    let (worker_address, calls) = start_worker(&transcript);
    let node =
        Node::start("gone", &startup_config(7, "127.0.0.1:9", &[worker_address], 256, settings(1)), 48);
    // Opens a connection to the worker.
    let mut first = Client::new(&node.address, &transcript);
    first.send(&call(1, 1));
    assert!(first.receive_all_replies());
    let mut partial_clients: Vec<Client> = (0..60).map(|_| Client::new(&node.address, &transcript)).collect();
    partial_clients.iter_mut().for_each(|client| client.send(b"*"));
    let before = node.wait_for_log("no room for clients");
    assert!(!before.iter().any(|l| l.contains("no room")));
    let mut active = Client::new(&node.address, &transcript);
    active.send(&call(1, 2));
    assert!(active.receive_all_replies());
    assert_eq!(active.received().as_bytes(), encode(&["1", "good", "", ""]));
    for client in &mut partial_clients {
        while client.receive() {}
        assert_eq!(client.received(), "");
    }
    assert_eq!(calls.lock().unwrap().len(), 2);
    transcript.assert_no_violations();
}

/// An event for the main thread of the test: a node sent a discovery query, or a number of replies.
enum Event {
    Queried(usize),
    Replied(usize, usize),
}

/// Guards against node processes that together overload a cold worker, and against one process that gets no share of it.
/// All demand moves to the cold worker at the moment that it is listed. Each client sends five calls per discovery query of
/// its node, so that a slow machine slows both. The engine has the same test in simulated time (cold_workers.rs).
#[test]
fn thirty_processes_share_the_capacity_of_a_cold_worker() {
    const NODES: usize = 30;
    const WARM_WORKERS: usize = 3;
    const CALLS_PER_QUERY: u64 = 5;
    // Discovery queries, five a second: before the cold worker starts, and from then until the shares are compared.
    const QUERIES_BEFORE_START: usize = 10;
    const QUERIES_AFTER_START: usize = 25;
    let transcript = SharedTranscript::default();
    let workers: Vec<_> = (0..=WARM_WORKERS).map(|_| start_worker(&transcript)).collect();
    let addresses: Vec<String> = workers.iter().map(|(address, _)| address.clone()).collect();
    let cold_since = Arc::<AtomicU64>::default();
    let (sender, events) = mpsc::channel();
    let nodes: Vec<Node> = (0..NODES)
        .map(|index| {
            let sender = sender.clone();
            let on_query = move |node| drop(sender.send(Event::Queried(node)));
            let resolver =
                start_discovery(index, addresses.clone(), Arc::clone(&cold_since), Arc::default(), on_query);
            let config =
                startup_config(index as u64 + 1, &resolver, &addresses[..WARM_WORKERS], 256, settings(NODES));
            Node::start(&format!("cold-{index}"), &config, 256)
        })
        .collect();
    let mut clients: Vec<Client> = nodes.iter().map(|node| Client::new(&node.address, &transcript)).collect();
    for (index, client) in clients.iter().enumerate() {
        let (mut answers, sender, transcript) =
            (client.stream.try_clone().unwrap(), sender.clone(), transcript.clone());
        let client_index = client.index;
        std::thread::spawn(move || {
            let mut buffer = [0; 4096];
            while let Ok(n) = answers.read(&mut buffer) {
                transcript.with(|r| match n {
                    0 => r.conns[client_index].state = ConnState::ClosedByScheduler,
                    n => r.conns[client_index].received.extend_from_slice(&buffer[..n]),
                });
                // A reply contains one asterisk, its first byte.
                let replies = buffer[..n].iter().filter(|b| **b == b'*').count();
                if n == 0 || sender.send(Event::Replied(index, replies)).is_err() {
                    return;
                }
            }
        });
    }
    let (mut queries, mut sent, mut answered) = ([0; NODES], [0; NODES], [0; NODES]);
    let mut next = |calls: bool, queries: &mut [usize; NODES], sent: &mut [usize; NODES]| {
        match events.recv_timeout(STEP_TIMEOUT).expect("queries or replies") {
            Event::Replied(index, replies) => answered[index] += replies,
            Event::Queried(index) => {
                queries[index] += 1;
                for _ in 0..if calls { CALLS_PER_QUERY } else { 0 } {
                    sent[index] += 1;
                    clients[index]
                        .send(&call(sent[index] as u64, (index as u64 + 1) << 32 | sent[index] as u64));
                }
            }
        }
        answered
    };
    // Each node learns the rate of a warm worker from its replies.
    let warm_up_start = Instant::now();
    while queries.iter().any(|n| *n < QUERIES_BEFORE_START) {
        next(true, &mut queries, &mut sent);
    }
    let warm_calls =
        workers[..WARM_WORKERS].iter().map(|(_, calls)| calls.lock().unwrap().len()).sum::<usize>() as f64;
    let calls_per_second = warm_calls / warm_up_start.elapsed().as_secs_f64() / WARM_WORKERS as f64;
    let start = Instant::now();
    let start_unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    cold_since.store(start_unix_ms, Ordering::Release);
    queries = [0; NODES];
    while queries.iter().any(|n| *n < QUERIES_AFTER_START) {
        next(true, &mut queries, &mut sent);
    }
    let measured = start.elapsed();
    // Waits for the replies to all open calls.
    while next(false, &mut queries, &mut sent) != sent {}
    let calls = workers[WARM_WORKERS].1.lock().unwrap().clone();
    let ages: Vec<f64> = calls.iter().map(|(at, _)| (*at - start).as_secs_f64() * 1_000.0).collect();
    let capacity = |age: f64| (0.2 + 0.8 * age / WARM_WITHIN_MS).min(1.0);
    for (index, from) in ages.iter().enumerate().filter(|(_, from)| **from + FALL_WINDOW_MS <= WARM_WITHIN_MS)
    {
        let n = 2.0 * (capacity(*from) + capacity(from + FALL_WINDOW_MS)) / 2.0 * FALL_WINDOW_MS / 1_000.0
            * calls_per_second;
        let received = ages[index..].iter().take_while(|at| **at < from + FALL_WINDOW_MS).count() as f64;
        assert!(
            received <= n + 2.0 * n.sqrt() + 2.0,
            "{received} in the window from {from:.0} ms, budget {n:.1}"
        );
    }
    let mut served = [0; NODES];
    calls
        .iter()
        .filter(|(at, _)| *at <= start + measured)
        .for_each(|(_, id)| served[(id >> 32) as usize - 1] += 1);
    let (min, mean) = (*served.iter().min().unwrap(), served.iter().sum::<usize>() as f64 / NODES as f64);
    println!(
        "warm worker: {calls_per_second:.0} calls per second; cold worker: {} calls in {measured:.1?}; per process: mean {mean:.1}, min {min}",
        calls.len()
    );
    assert!(mean >= 10.0, "too few calls reached the cold worker");
    assert!(min as f64 >= mean / 2.0, "min {min}, mean {mean:.1}: {served:?}");
    transcript.assert_no_violations();
}
