//! Runs a node as a process on loopback, and checks its memory while clients send what it has to hold.
#![cfg(target_os = "linux")]

mod test_servers;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use serde_json::json;
use test_servers::*;

const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1024;
/// Clients that send a command in part. With the others they are less than a third of the descriptors.
const STALLED_CLIENTS: usize = 250;
const STALLED_WORDS: usize = 6;
/// The longest word that is allowed.
const WORD_BYTES: usize = 16 * 1024;

/// Resident anonymous memory of a process, in kB.
fn memory_kb(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("a figure");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Connects a client that sends a command without its last byte, as far as it is read, and goes on without blocking.
fn stalled_client(address: &str, command: &[u8]) -> (TcpStream, usize) {
    let mut stream = TcpStream::connect(address).expect("the node accepts");
    stream.set_nonblocking(true).expect("the option is set");
    let sent = stream.write(command).unwrap_or(0);
    (stream, sent)
}

/// Sends on what is read, and returns whether the node has closed the connection.
fn has_ended((stream, sent): &mut (TcpStream, usize), command: &[u8]) -> bool {
    match stream.write(&command[*sent..]) {
        Ok(count) => *sent += count,
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(_) => return true,
    }
    match stream.read(&mut [0; 256]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Guards against bounds for each kind of holder that do not add up: hundreds of commands that are received in part took
/// the node over its memory limit. Other clients are served meanwhile.
#[test]
fn commands_received_in_part_leave_the_node_within_its_memory() {
    let transcript = SharedTranscript::default();
    let (worker_address, _) = start_worker(&transcript);
    let mut config = startup_config(7, "127.0.0.1:9", &[worker_address], SOCKETS, settings(1));
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let node = Node::start("memory", &config, SOCKETS);
    let word = "y".repeat(WORD_BYTES);
    let mut command = encode(&[word.as_str(); STALLED_WORDS]);
    command.pop();
    let mut stalled: Vec<_> = (0..STALLED_CLIENTS).map(|_| stalled_client(&node.address, &command)).collect();
    let mut usual = Client::new(&node.address, &transcript);
    let (mut tag, mut highest_kb) = (0, 0);
    // The node closes a connection on which a command stays incomplete.
    while !stalled.is_empty() {
        stalled.retain_mut(|client| !has_ended(client, &command));
        tag += 1;
        usual.send(&call(tag, tag));
        assert!(usual.receive_all_replies());
        highest_kb = highest_kb.max(memory_kb(node.child.id()));
    }
    assert!(highest_kb <= MEMORY_MB * 1024, "{highest_kb} kB");
    assert!(!usual.received().contains("refused"), "the usual client has its share");
    transcript.assert_no_violations();
}
