//! Many processes of the program with faults between them, in small form: each play that is shipped, judged by what
//! passed through its relays; and what `fleet status` tells.

mod common;

use std::io::{BufRead, BufReader, Read};
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::{Child, Stdio};

use common::program;
use test_case::test_case;

fn play(name: &str, more: &[&str]) -> (Option<i32>, String) {
    common::play(name, "12", more)
}

#[test_case("start" ; "all start in the same second before warm workers that hold nothing")]
#[test_case("cold" ; "all start in the same second before cold workers and a slow list service")]
#[test_case("herd" ; "seven in ten are killed with all that watch, the list service down")]
#[test_case("deploy" ; "a deploy of half by SIGTERM while a cell of workers starts anew")]
#[test_case("halves" ; "one half is cut from the list, then the other, then one way only")]
#[test_case("apart" ; "one half is cut from the other")]
#[test_case("stopped" ; "some stand still for ten seconds and come back")]
#[test_case("stall" ; "the list service says nothing and its connections stay up")]
#[test_case("again" ; "some start again while their old runs breathe")]
#[test_case("forged" ; "a peer sends what no peer should")]
#[test_case("rare" ; "nearly every call begins a load")]
fn a_play_is_clean(name: &str) {
    let (code, told) = play(name, &[]);
    assert_eq!(code, Some(0), "{told}");
}

/// What the plays judge by would notice the parts being off: without them each asks the list for itself.
#[test]
fn the_figures_tell_on_from_off() {
    let (code, told) = play("cold", &["--against", "off"]);
    assert_eq!(code, Some(0), "{told}");
    let line = told.lines().find(|l| l.starts_with("list: connections")).expect("it is told");
    let cells: Vec<u64> =
        line.split([' ', ';']).filter_map(|w| w.parse().ok()).filter(|n: &u64| *n != 100).collect();
    assert!(cells[1] < 12 && cells[3] >= 12, "{line}");
}

/// Numbers of the row that begins so, in the part of the report that tells of a span.
fn of_span(told: &str, span: &str, row: &str) -> Vec<f64> {
    let part = told.split(&format!("\n{span}, ")).nth(1).unwrap_or_else(|| panic!("no {span}: {told}"));
    let line =
        part.lines().find(|l| l.trim_start().starts_with(row)).unwrap_or_else(|| panic!("no {row}: {told}"));
    let cells = line.trim_start().trim_start_matches(row);
    cells.split([' ', ';', ':', '%']).filter_map(|w| w.parse().ok()).collect()
}

/// What an instance costs is told while all is well and while some are restarted; counts, as times hang on the machine.
#[test]
fn a_wave_tells_what_an_instance_costs() {
    let (code, told) = play("wave", &[]);
    assert_eq!(code, Some(0), "{told}");
    // Beats go over eight links at most, and over some at least, every 0.3 s.
    let [beats, bytes] = of_span(&told, "steady", "sent BEAT: frames; bytes")[..] else { panic!("{told}") };
    assert!((10.0..30.0).contains(&beats) && bytes > 20.0 * beats && bytes < 100.0 * beats, "{told}");
    let frames = of_span(&told, "steady", "frames sent: mean; worst");
    let sent = of_span(&told, "steady", "bytes sent: mean; worst");
    let taken = of_span(&told, "steady", "bytes taken: mean; worst");
    assert!(frames[0] >= beats - 0.1 && frames[1] >= frames[0] && sent[0] >= bytes - 1.0, "{told}");
    // What one sends another takes.
    assert!((sent[0] - taken[0]).abs() <= 1.0, "{told}");
    let sights = of_span(&told, "steady", "sights an instance told, rows it sent");
    assert!(sights[0] > 0.0 && sights[1] >= sights[0], "{told}");
    // 430 RPCs a second, drawn, over twelve.
    let rpcs = of_span(&told, "steady", "RPCs asked of an instance a second")[0];
    assert!((25.0..47.0).contains(&rpcs), "{told}");
    assert_eq!(of_span(&told, "steady", "part of a core: mean; worst; of").last(), Some(&12.0), "{told}");
    assert!(of_span(&told, "steady", "MB resident: mean; worst")[0] > 1.0, "{told}");
    // Two of twelve are restarted, and tell that they leave and join.
    assert_eq!(of_span(&told, "wave", "part of a core: mean; worst; of").last(), Some(&10.0), "{told}");
    assert_eq!(of_span(&told, "wave", "begun within, ms used: mean; worst; of").last(), Some(&2.0), "{told}");
    assert!(of_span(&told, "wave", "sent MEMBER: frames; bytes")[0] > 0.0, "{told}");
    assert!(of_span(&told, "wave", "links opened to peers")[0] > 0.0, "{told}");
    assert!(of_span(&told, "wave", "at a worker: attempts: mean; worst")[0] > 0.0, "{told}");
}

/// With a directory of copies the same play keeps the rules, and beside it hints go round the rings.
#[test]
fn a_play_with_a_directory_tells_rings_from_it() {
    let (code, told) = play("rare", &["--directory", "3KiB", "--against", "rings"]);
    assert_eq!(code, Some(0), "{told}");
    let [directory, rings] = [0, 1].map(|column| {
        let cells = of_span(&told, "cold", "sent HINTS: frames; bytes");
        cells.chunks(2).nth(column).map(|c| c[1]).unwrap_or_else(|| panic!("{told}"))
    });
    // The rings have what the directory leaves of its bytes, and no more.
    assert!(directory < rings, "{told}");
    assert!(of_span(&told, "cold", "sent SIGHTS: frames; bytes")[0] > 0.0, "{told}");
    // A second's burst and 3 KiB each second, over 20 s; what was not sent in that time has no row.
    let kinds = ["DIRECTORY", "ASK", "COPIES", "SIGHTS", "HINTS"].map(|k| format!("sent {k}: frames; bytes"));
    let sent = kinds.iter().filter(|k| told.contains(*k)).map(|k| of_span(&told, "cold", k)[1]);
    assert!(sent.sum::<f64>() <= 3_072.0 * 21.0 / 20.0, "{told}");
}

#[test]
fn a_directory_out_of_bounds_is_named_and_starts_nothing() {
    let (code, told) = play("rare", &["--directory", "1B"]);
    assert!(code == Some(1) && told.contains("directory must be from 1KiB to 1MiB"), "{told}");
}

#[test]
fn a_play_that_is_not_there_starts_nothing() {
    let (code, told) = play("no-such.play", &[]);
    assert!(code == Some(2) && told.contains("no-such.play"), "{told}");
}

/// A gateway that tells where it listens and, in its log, where peers may come; it is killed with its test.
struct Gateway {
    child: Child,
    peers: String,
    clients: String,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("curlewpoint-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    fn gateway(&self, name: &str, fleet: &str, more: &str) -> Gateway {
        self.gateway_at(name, fleet, more, "127.0.0.1:9")
    }

    fn gateway_at(&self, name: &str, fleet: &str, more: &str, list: &str) -> Gateway {
        let config = self.0.join(format!("{name}.conf"));
        let text = format!(
            "name {name}\nlisten 127.0.0.1:0\nlist {list}\ninstances 2\nmethod m {{\n  effect idempotent\n  \
             soft-deadline 1s\n  deadline 2s\n}}\nworkers {{\n  keep-alive 10min\n}}\nfleet {{\n  name {fleet}\n  \
             listen 127.0.0.1:0\n{more}}}\n"
        );
        std::fs::write(&config, text).expect("written");
        let mut child = program()
            .arg("serve")
            .arg(&config)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let clients = first_address(&mut child);
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        while !line.contains("listening for peers") {
            line.clear();
            assert!(log.read_line(&mut line).expect("text") > 0, "the log ended");
        }
        let at = line.split("address=").nth(1).and_then(|l| l.split_whitespace().next()).expect("an address");
        let peers = at.trim_matches('"').to_owned();
        // What it logs further has to be read, or it would wait.
        std::thread::spawn(move || std::io::copy(&mut log.by_ref(), &mut std::io::sink()));
        Gateway { child, peers, clients }
    }
}

/// The address at the end of the first line that a process prints.
fn first_address(child: &mut Child) -> String {
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("text");
    line.trim().rsplit(' ').next().expect("an address").to_owned()
}

/// A stand-in that is killed with its test.
struct Stand(Child, String);

impl Drop for Stand {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

fn stand(args: &[&str]) -> Stand {
    let mut child = program().args(args).stdout(Stdio::piped()).spawn().expect("it starts");
    let address = first_address(&mut child);
    Stand(child, address)
}

/// What one instance has seen of a copy the others know, over one that keeps out of it and when they start anew as well.
#[test]
fn what_one_sees_at_a_worker_the_others_are_told() {
    let folder = Folder::new("fleet-hints");
    let store = stand(&["store", "127.0.0.1:0"]);
    let script = folder.0.join("x.day");
    std::fs::write(&script, "method m {\n  work 1ms\n  load 20ms\n}\n").expect("written");
    let script = script.display().to_string();
    let worker = stand(&["worker", "127.0.0.1:0", "--store", &store.1, "--script", &script]);
    let list = stand(&["list", "127.0.0.1:0", "--worker", &format!("w-0={}", worker.1)]);
    let one = folder.gateway_at("front-1", "records", "", &list.1);
    let peers = format!("  peers {}\n", one.peers);
    let two = folder.gateway_at("front-2", "records", &peers, &list.1);
    let out_of_it = folder.gateway_at("front-3", "records", &format!("{peers}  hints no\n"), &list.1);
    for at in [&one, &two, &out_of_it] {
        until_told(&at.peers, "3 live");
        until_told(&at.peers, ": 1 workers");
    }
    assert!(status(&two.peers).1.contains("\n0 hints"), "nobody has asked for anything");
    let call =
        program().args(["call", &one.clients, "m", "births", "--left", "2s"]).output().expect("it runs");
    assert_eq!(call.status.code(), Some(0), "{}", String::from_utf8_lossy(&call.stderr));
    until_told(&two.peers, "\n1 hints");
    drop(two);
    let again = folder.gateway_at("front-2", "records", &peers, &list.1);
    until_told(&again.peers, "\n1 hints");
}

/// With a directory of copies what is seen goes to those who hold it; one without it, as of an earlier release, is told
/// and tells as before, and whoever holds a row may be killed.
#[test]
fn what_one_sees_at_a_worker_is_held_by_few_and_an_old_one_is_told_as_before() {
    let folder = Folder::new("fleet-directory");
    let store = stand(&["store", "127.0.0.1:0"]);
    let script = folder.0.join("x.day");
    std::fs::write(&script, "method m {\n  work 1ms\n  load 20ms\n}\n").expect("written");
    let script = script.display().to_string();
    let worker = stand(&["worker", "127.0.0.1:0", "--store", &store.1, "--script", &script]);
    let list = stand(&["list", "127.0.0.1:0", "--worker", &format!("w-0={}", worker.1)]);
    let one = folder.gateway_at("front-1", "records", "  directory 4KiB\n", &list.1);
    let with = format!("  peers {}\n  directory 4KiB\n", one.peers);
    let two = folder.gateway_at("front-2", "records", &with, &list.1);
    let three = folder.gateway_at("front-3", "records", &with, &list.1);
    for at in [&one, &two, &three] {
        until_told(&at.peers, "3 live");
        until_told(&at.peers, ": 1 workers");
    }
    let call = |at: &Gateway, model: &str| {
        let told =
            program().args(["call", &at.clients, "m", model, "--left", "2s"]).output().expect("it runs");
        assert_eq!(told.status.code(), Some(0), "{}", String::from_utf8_lossy(&told.stderr));
    };
    call(&one, "births");
    for at in [&one, &two, &three] {
        until_told(&at.peers, "\ndirectory: 1 rows held");
    }
    // The budget leaves room: the rings tell all as well.
    for at in [&one, &two, &three] {
        until_told(&at.peers, "\n1 hints");
    }
    // One that holds it dies, and one comes that has no directory: all of them serve.
    drop(three);
    let old = folder.gateway_at("front-4", "records", &format!("  peers {}\n", one.peers), &list.1);
    for at in [&one, &two, &old] {
        until_told(&at.peers, "3 live");
    }
    until_told(&old.peers, ": 1 workers");
    call(&old, "deaths");
    until_told(&one.peers, "\n2 hints");
    until_told(&two.peers, "\n2 hints");
    call(&two, "weddings");
    // What was told before it came is told again where it is seen again, 2 s later.
    let again = (0..2_000).any(|_| {
        call(&two, "births");
        status(&old.peers).1.contains("\n3 hints")
    });
    assert!(again, "{}", status(&old.peers).1);
    assert!(!status(&old.peers).1.contains("directory:"), "it knows nothing of one");
}

fn status(at: &str) -> (Option<i32>, String) {
    let out = program().args(["fleet", "status", at]).output().expect("it runs");
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr),
    )
}

/// Asks again and again until this is told; each answer is an event of its own.
fn until_told(at: &str, what: &str) -> String {
    for _ in 0..2_000 {
        let (code, told) = status(at);
        assert_eq!(code, Some(0), "{told}");
        if told.contains(what) {
            return told;
        }
    }
    panic!("{what} was never told: {}", status(at).1);
}

#[test]
fn status_tells_who_lives_and_who_is_given_up() {
    let folder = Folder::new("fleet-status");
    let one = folder.gateway("front-1", "records", "");
    let two = folder.gateway("front-2", "records", &format!("  peers {}\n", one.peers));
    let told = until_told(&one.peers, "2 live");
    assert!(told.contains("front-2") && told.contains("lives"), "{told}");
    // One of another fleet is refused, and nobody counts it.
    let other = folder.gateway("front-3", "others", &format!("  peers {}\n", one.peers));
    until_told(&other.peers, "1 live");
    until_told(&one.peers, "1 refused");
    drop(two);
    let told = until_told(&one.peers, "given-up");
    assert!(told.starts_with("front-1") && told.contains("1 live, 2 known, reckons with 2"), "{told}");
}

/// One that is killed and starts again while neither list service nor peers are there serves on what it had left on disk.
#[test]
fn a_start_with_nobody_there_goes_by_its_snapshot() {
    let folder = Folder::new("fleet-snapshot");
    let mut list = program()
        .args(["list", "127.0.0.1:0", "--worker", "w-0=127.0.0.1:9", "--worker", "w-1=127.0.0.1:9"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut line = String::new();
    BufReader::new(list.stdout.take().expect("piped")).read_line(&mut line).expect("text");
    let at = line.trim().rsplit(' ').next().expect("an address").to_owned();
    let text = "  snapshot front-1.snapshot\n";
    let before = folder.gateway_at("front-1", "records", text, &at);
    until_told(&before.peers, ": 2 workers");
    let snapshot = folder.0.join("front-1.snapshot");
    // Each look is an answer of the process, which writes within some seconds.
    for _ in 0..20_000 {
        if snapshot.exists() {
            break;
        }
        status(&before.peers);
    }
    drop(before);
    let _ = (list.kill(), list.wait());
    let after = folder.gateway_at("front-1", "records", text, &at);
    until_told(&after.peers, ": 2 workers");
    // Damaged, it is not used, and the start goes on without.
    drop(after);
    let mut bytes = std::fs::read(&snapshot).expect("it is there");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&snapshot, bytes).expect("written");
    let damaged = folder.gateway_at("front-1", "records", text, &at);
    assert!(until_told(&damaged.peers, "1 live").contains("list 0.0: 0 workers"));
}

#[test]
fn status_of_what_is_no_instance_says_so() {
    let (code, told) = status("127.0.0.1:9");
    assert!(code == Some(1) && told.contains("127.0.0.1:9"), "{told}");
}

/// The sockets of a process, a line each with its kind, its own end and its state, as the system tells them.
fn sockets(pid: u32) -> Vec<String> {
    let links = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("it lives");
    let target = |l: std::io::Result<std::fs::DirEntry>| std::fs::read_link(l.ok()?.path()).ok();
    let names: Vec<String> = links.filter_map(target).map(|l| l.to_string_lossy().into_owned()).collect();
    let is_open = |inode: &str| names.iter().any(|n| *n == format!("socket:[{inode}]"));
    let mut found = Vec::new();
    for kind in ["tcp", "tcp6", "udp", "udp6"] {
        let table = std::fs::read_to_string(format!("/proc/{pid}/net/{kind}")).unwrap_or_default();
        for row in table.lines().skip(1) {
            let cells: Vec<&str> = row.split_whitespace().collect();
            if is_open(cells[9]) {
                found.push(format!("{kind} {} {}", cells[1], cells[3]));
            }
        }
    }
    found
}

/// All that a package is built from, as the workspace's lock file tells.
fn built_from(package: &str) -> std::collections::BTreeSet<String> {
    let lock = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.lock");
    let lock = std::fs::read_to_string(lock).expect("the lock file");
    let of = |name: &str| -> Vec<String> {
        let entry = lock.split("[[package]]").find(|e| e.contains(&format!("\nname = \"{name}\"\n")));
        let lines = entry.unwrap_or("").lines().filter(|l| l.starts_with(" \""));
        let word = |l: &str| l.trim_matches([' ', '"', ',']).split(' ').next().unwrap_or("").to_owned();
        lines.map(word).collect()
    };
    let (mut all, mut next) = (std::collections::BTreeSet::new(), vec![package.to_owned()]);
    while let Some(name) = next.pop() {
        if all.insert(name.clone()) {
            next.extend(of(&name));
        }
    }
    all
}

/// Neither the platform's scheduler nor the bench's is built with any of it; the daemon is.
#[test]
fn node_and_drill_are_built_without_a_fleet() {
    for package in ["curlewpoint-node", "curlewpoint-drill"] {
        let all = built_from(package);
        assert!(all.contains("curlewpoint") && !all.contains("curlewpoint-fleet"), "{package}: {all:?}");
    }
    assert!(built_from("curlewpoint-gateway").contains("curlewpoint-fleet"));
}

/// On the platform schedulers share nothing: a node listens for clients, asks its directory, and opens no socket beyond
/// these, though its settings tell of many instances and of a fleet.
#[test]
fn a_node_opens_no_socket_for_peers() {
    let folder = Folder::new("fleet-node");
    let directory = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    let told = serde_json::json!({
        "name": "r-1", "listen": "127.0.0.1:0", "seed": "1f", "resolver": directory.local_addr().expect("bound"),
        "limits": {"memory_mb": 64, "sockets": 256},
        "settings": {"instances": 300, "fleet": {
            "name": "f", "listen": "127.0.0.1:0", "peers": ["127.0.0.1:9"], "directory": 4096,
        }},
    });
    let path = folder.0.join("told.json");
    std::fs::write(&path, told.to_string()).expect("written");
    let mut node =
        program().arg("node").env("ROUTER_CONFIG", &path).stderr(Stdio::null()).spawn().expect("it starts");
    // By its second question it has done all that it does at its start.
    for _ in 0..2 {
        directory.recv(&mut [0; 512]).expect("it asks");
    }
    let open = sockets(node.id());
    let _ = (node.kill(), node.wait());
    let listens = open.iter().filter(|s| s.starts_with("tcp") && s.ends_with(" 0A")).count();
    let asks = open.iter().filter(|s| s.starts_with("udp")).count();
    assert_eq!((listens, asks, open.len()), (1, 1, 2), "{open:?}");
}
