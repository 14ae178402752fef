//! Runs each built-in fleet scenario with a few processes, checked by the traffic through its relays, and tests the output
//! of `fleet status`.

mod common;

use std::io::{BufRead, BufReader, Read};
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::{Child, Stdio};

use common::program;
use test_case::test_case;

fn run_scenario(name: &str, extra: &[&str]) -> (Option<i32>, String) {
    common::run_scenario(name, "12", extra)
}

#[test_case("start" ; "all start in the same second with warm workers without copies")]
#[test_case("cold" ; "all start in the same second with cold workers and a slow list service")]
#[test_case("herd" ; "seven of ten are killed while the list service is down")]
#[test_case("deploy" ; "a deploy of half by SIGTERM while a cell of workers restarts")]
#[test_case("halves" ; "each half in turn is cut from the list service, then one direction only")]
#[test_case("apart" ; "the halves are partitioned")]
#[test_case("stopped" ; "some are suspended for ten seconds")]
#[test_case("stall" ; "the list service hangs while its connections stay up")]
#[test_case("again" ; "some restart while their old processes still run")]
#[test_case("forged" ; "a peer sends forged frames")]
#[test_case("rare" ; "nearly every call starts a load")]
fn a_scenario_keeps_the_rules(name: &str) {
    let (code, output) = run_scenario(name, &[]);
    assert_eq!(code, Some(0), "{output}");
}

/// Guards against figures that do not show whether the fleet works: without it each scheduler connects to the list
/// service itself.
#[test]
fn the_figures_distinguish_a_fleet_from_none() {
    let (code, output) = run_scenario("cold", &["--against", "off"]);
    assert_eq!(code, Some(0), "{output}");
    let line = output.lines().find(|l| l.starts_with("list: connections")).expect("the line");
    let cells: Vec<u64> =
        line.split([' ', ';']).filter_map(|w| w.parse().ok()).filter(|n: &u64| *n != 100).collect();
    assert!(cells[1] < 12 && cells[3] >= 12, "{line}");
}

/// The numbers of a row of the report, in the section of a time span.
fn span_figures(output: &str, span: &str, row: &str) -> Vec<f64> {
    let part = output.split(&format!("\n{span}, ")).nth(1).unwrap_or_else(|| panic!("no {span}: {output}"));
    let line = part
        .lines()
        .find(|l| l.trim_start().starts_with(row))
        .unwrap_or_else(|| panic!("no {row}: {output}"));
    let cells = line.trim_start().trim_start_matches(row);
    cells.split([' ', ';', ':', '%']).filter_map(|w| w.parse().ok()).collect()
}

/// Checks the reported cost of an instance, in steady state and during restarts. Only counts, as times depend on the
/// machine.
#[test]
fn the_wave_scenario_reports_the_cost_of_an_instance() {
    let (code, output) = run_scenario("wave", &[]);
    assert_eq!(code, Some(0), "{output}");
    // Heartbeats are sent every 0.3 s, over one to eight links.
    let [heartbeats, bytes] = span_figures(&output, "steady", "sent BEAT: frames; bytes")[..] else {
        panic!("{output}")
    };
    assert!(
        (10.0..30.0).contains(&heartbeats) && bytes > 20.0 * heartbeats && bytes < 100.0 * heartbeats,
        "{output}"
    );
    let frames = span_figures(&output, "steady", "frames sent: mean; worst");
    let sent = span_figures(&output, "steady", "bytes sent: mean; worst");
    let received = span_figures(&output, "steady", "bytes taken: mean; worst");
    assert!(frames[0] >= heartbeats - 0.1 && frames[1] >= frames[0] && sent[0] >= bytes - 1.0, "{output}");
    // Bytes sent by one instance are received by another.
    assert!((sent[0] - received[0]).abs() <= 1.0, "{output}");
    let observations = span_figures(&output, "steady", "sights an instance told, rows it sent");
    assert!(observations[0] > 0.0 && observations[1] >= observations[0], "{output}");
    // About 430 RPCs per second, over twelve instances.
    let rpcs = span_figures(&output, "steady", "RPCs asked of an instance a second")[0];
    assert!((25.0..47.0).contains(&rpcs), "{output}");
    assert_eq!(
        span_figures(&output, "steady", "part of a core: mean; worst; of").last(),
        Some(&12.0),
        "{output}"
    );
    assert!(span_figures(&output, "steady", "MB resident: mean; worst")[0] > 1.0, "{output}");
    // Two of twelve are restarted and announce that they leave and join.
    assert_eq!(
        span_figures(&output, "wave", "part of a core: mean; worst; of").last(),
        Some(&10.0),
        "{output}"
    );
    assert_eq!(
        span_figures(&output, "wave", "begun within, ms used: mean; worst; of").last(),
        Some(&2.0),
        "{output}"
    );
    assert!(span_figures(&output, "wave", "sent MEMBER: frames; bytes")[0] > 0.0, "{output}");
    assert!(span_figures(&output, "wave", "links opened to peers")[0] > 0.0, "{output}");
    assert!(span_figures(&output, "wave", "at a worker: attempts: mean; worst")[0] > 0.0, "{output}");
}

/// Guards against a copy directory that breaks the rules or exceeds its byte budget, with hints on the rings beside it.
#[test]
fn a_copy_directory_keeps_the_rules_and_its_byte_budget() {
    let (code, output) = run_scenario("rare", &["--directory", "3KiB", "--against", "rings"]);
    assert_eq!(code, Some(0), "{output}");
    let [directory, rings] = [0, 1].map(|column| {
        let cells = span_figures(&output, "cold", "sent HINTS: frames; bytes");
        cells.chunks(2).nth(column).map(|c| c[1]).unwrap_or_else(|| panic!("{output}"))
    });
    // The rings may only use the bytes that the directory leaves of the budget.
    assert!(directory < rings, "{output}");
    assert!(span_figures(&output, "cold", "sent SIGHTS: frames; bytes")[0] > 0.0, "{output}");
    // A burst of one second and 3 KiB per second, over 20 s. Frame kinds that were not sent have no row.
    let kinds = ["DIRECTORY", "ASK", "COPIES", "SIGHTS", "HINTS"].map(|k| format!("sent {k}: frames; bytes"));
    let sent = kinds.iter().filter(|k| output.contains(*k)).map(|k| span_figures(&output, "cold", k)[1]);
    assert!(sent.sum::<f64>() <= 3_072.0 * 21.0 / 20.0, "{output}");
}

#[test]
fn a_directory_budget_out_of_range_is_reported_and_starts_nothing() {
    let (code, output) = run_scenario("rare", &["--directory", "1B"]);
    assert!(code == Some(1) && output.contains("directory must be from 1KiB to 1MiB"), "{output}");
}

#[test]
fn an_unknown_scenario_starts_nothing() {
    let (code, output) = run_scenario("no-such.play", &[]);
    assert!(code == Some(2) && output.contains("no-such.play"), "{output}");
}

/// A gateway process with its addresses for peers and clients. Dropping it kills the process.
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

/// A temporary folder, deleted on drop.
struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let folder = std::env::temp_dir().join(format!("curlewpoint-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        TempFolder(folder)
    }

    fn gateway(&self, name: &str, fleet: &str, extra: &str) -> Gateway {
        self.gateway_at(name, fleet, extra, "127.0.0.1:9")
    }

    fn gateway_at(&self, name: &str, fleet: &str, extra: &str, list: &str) -> Gateway {
        let config = self.0.join(format!("{name}.conf"));
        let text = format!(
            "name {name}\nlisten 127.0.0.1:0\nlist {list}\ninstances 2\nmethod m {{\n  effect idempotent\n  \
             soft-deadline 1s\n  deadline 2s\n}}\nworkers {{\n  keep-alive 10min\n}}\nfleet {{\n  name {fleet}\n  \
             listen 127.0.0.1:0\n{extra}}}\n"
        );
        std::fs::write(&config, text).expect("written");
        let mut child = program()
            .arg("serve")
            .arg(&config)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let clients = first_address(&mut child);
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        while !line.contains("listening for peers") {
            line.clear();
            assert!(log.read_line(&mut line).expect("text") > 0, "the log ended");
        }
        let at = line.split("address=").nth(1).and_then(|l| l.split_whitespace().next()).expect("an address");
        let peers = at.trim_matches('"').to_owned();
        // The log must be read further, or the process would block on a full pipe.
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

/// A test server process and its address. Dropping it kills the process.
struct TestServer(Child, String);

impl Drop for TestServer {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

fn start_server(args: &[&str]) -> TestServer {
    let mut child = program().args(args).stdout(Stdio::piped()).spawn().expect("the process starts");
    let address = first_address(&mut child);
    TestServer(child, address)
}

/// Guards against hints about a copy that do not reach the other instances: past an instance with hints disabled, and
/// after a restart of the receiver.
#[test]
fn a_copy_observed_by_one_instance_is_hinted_to_the_others() {
    let folder = TempFolder::new("fleet-hints");
    let store = start_server(&["store", "127.0.0.1:0"]);
    let script = folder.0.join("x.day");
    std::fs::write(&script, "method m {\n  work 1ms\n  load 20ms\n}\n").expect("written");
    let script = script.display().to_string();
    let worker = start_server(&["worker", "127.0.0.1:0", "--store", &store.1, "--script", &script]);
    let list = start_server(&["list", "127.0.0.1:0", "--worker", &format!("w-0={}", worker.1)]);
    let one = folder.gateway_at("front-1", "records", "", &list.1);
    let peers = format!("  peers {}\n", one.peers);
    let two = folder.gateway_at("front-2", "records", &peers, &list.1);
    let without_hints = folder.gateway_at("front-3", "records", &format!("{peers}  hints no\n"), &list.1);
    for at in [&one, &two, &without_hints] {
        wait_for_status(&at.peers, "3 live");
        wait_for_status(&at.peers, ": 1 workers");
    }
    assert!(status(&two.peers).1.contains("\n0 hints"), "hints before any call");
    let call = program()
        .args(["call", &one.clients, "m", "births", "--left", "2s"])
        .output()
        .expect("the program runs");
    assert_eq!(call.status.code(), Some(0), "{}", String::from_utf8_lossy(&call.stderr));
    wait_for_status(&two.peers, "\n1 hints");
    drop(two);
    let again = folder.gateway_at("front-2", "records", &peers, &list.1);
    wait_for_status(&again.peers, "\n1 hints");
}

/// Guards against observations lost between instances with a copy directory and one without, as in an earlier release,
/// also when an instance that holds a row is killed.
#[test]
fn instances_with_and_without_a_directory_exchange_observations() {
    let folder = TempFolder::new("fleet-directory");
    let store = start_server(&["store", "127.0.0.1:0"]);
    let script = folder.0.join("x.day");
    std::fs::write(&script, "method m {\n  work 1ms\n  load 20ms\n}\n").expect("written");
    let script = script.display().to_string();
    let worker = start_server(&["worker", "127.0.0.1:0", "--store", &store.1, "--script", &script]);
    let list = start_server(&["list", "127.0.0.1:0", "--worker", &format!("w-0={}", worker.1)]);
    let one = folder.gateway_at("front-1", "records", "  directory 4KiB\n", &list.1);
    let directory_config = format!("  peers {}\n  directory 4KiB\n", one.peers);
    let two = folder.gateway_at("front-2", "records", &directory_config, &list.1);
    let three = folder.gateway_at("front-3", "records", &directory_config, &list.1);
    for at in [&one, &two, &three] {
        wait_for_status(&at.peers, "3 live");
        wait_for_status(&at.peers, ": 1 workers");
    }
    let call = |at: &Gateway, model: &str| {
        let output = program()
            .args(["call", &at.clients, "m", model, "--left", "2s"])
            .output()
            .expect("the program runs");
        assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    };
    call(&one, "births");
    for at in [&one, &two, &three] {
        wait_for_status(&at.peers, "\ndirectory: 1 rows held");
    }
    // The budget leaves room, so the rings pass all hints as well.
    for at in [&one, &two, &three] {
        wait_for_status(&at.peers, "\n1 hints");
    }
    // An instance that holds the row is killed and one without a directory joins. All of them serve.
    drop(three);
    let without_directory =
        folder.gateway_at("front-4", "records", &format!("  peers {}\n", one.peers), &list.1);
    for at in [&one, &two, &without_directory] {
        wait_for_status(&at.peers, "3 live");
    }
    wait_for_status(&without_directory.peers, ": 1 workers");
    call(&without_directory, "deaths");
    wait_for_status(&one.peers, "\n2 hints");
    wait_for_status(&two.peers, "\n2 hints");
    call(&two, "weddings");
    // Hints from before it joined are repeated when the copy is observed again, 2 s later.
    let again = (0..2_000).any(|_| {
        call(&two, "births");
        status(&without_directory.peers).1.contains("\n3 hints")
    });
    assert!(again, "{}", status(&without_directory.peers).1);
    assert!(!status(&without_directory.peers).1.contains("directory:"), "no directory in its status");
}

fn status(at: &str) -> (Option<i32>, String) {
    let out = program().args(["fleet", "status", at]).output().expect("the program runs");
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr),
    )
}

/// Requests the status until it contains the text. Returns that status.
fn wait_for_status(at: &str, text: &str) -> String {
    for _ in 0..2_000 {
        let (code, output) = status(at);
        assert_eq!(code, Some(0), "{output}");
        if output.contains(text) {
            return output;
        }
    }
    panic!("{text} did not appear: {}", status(at).1);
}

#[test]
fn status_lists_live_and_given_up_members() {
    let folder = TempFolder::new("fleet-status");
    let one = folder.gateway("front-1", "records", "");
    let two = folder.gateway("front-2", "records", &format!("  peers {}\n", one.peers));
    let output = wait_for_status(&one.peers, "2 live");
    assert!(output.contains("front-2") && output.contains("lives"), "{output}");
    // An instance of another fleet is refused and not counted.
    let other = folder.gateway("front-3", "others", &format!("  peers {}\n", one.peers));
    wait_for_status(&other.peers, "1 live");
    wait_for_status(&one.peers, "1 refused");
    drop(two);
    let output = wait_for_status(&one.peers, "given-up");
    assert!(output.starts_with("front-1") && output.contains("1 live, 2 known, reckons with 2"), "{output}");
}

/// Guards against a restart without workers while neither list service nor peers are available: the instance uses its
/// snapshot.
#[test]
fn a_start_without_list_service_and_peers_uses_the_snapshot() {
    let folder = TempFolder::new("fleet-snapshot");
    let mut list = program()
        .args(["list", "127.0.0.1:0", "--worker", "w-0=127.0.0.1:9", "--worker", "w-1=127.0.0.1:9"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let mut line = String::new();
    BufReader::new(list.stdout.take().expect("piped")).read_line(&mut line).expect("text");
    let at = line.trim().rsplit(' ').next().expect("an address").to_owned();
    let text = "  snapshot front-1.snapshot\n";
    let before = folder.gateway_at("front-1", "records", text, &at);
    wait_for_status(&before.peers, ": 2 workers");
    let snapshot = folder.0.join("front-1.snapshot");
    // The process writes the snapshot within seconds. Each check waits for a status reply.
    for _ in 0..20_000 {
        if snapshot.exists() {
            break;
        }
        status(&before.peers);
    }
    drop(before);
    let _ = (list.kill(), list.wait());
    let after = folder.gateway_at("front-1", "records", text, &at);
    wait_for_status(&after.peers, ": 2 workers");
    // A damaged snapshot is ignored and the start continues without it.
    drop(after);
    let mut bytes = std::fs::read(&snapshot).expect("the snapshot exists");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&snapshot, bytes).expect("written");
    let damaged = folder.gateway_at("front-1", "records", text, &at);
    assert!(wait_for_status(&damaged.peers, "1 live").contains("list 0.0: 0 workers"));
}

#[test]
fn status_of_an_unreachable_instance_names_its_address() {
    let (code, output) = status("127.0.0.1:9");
    assert!(code == Some(1) && output.contains("127.0.0.1:9"), "{output}");
}

/// The sockets of a process from /proc, each as kind, local address and state.
fn sockets(pid: u32) -> Vec<String> {
    let links = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("a running process");
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

/// All dependencies of a package, from the lock file of the workspace.
fn dependencies_of(package: &str) -> std::collections::BTreeSet<String> {
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

/// Guards against fleet code in the platform's scheduler or in the bench adapter. Only the gateway has it.
#[test]
fn node_and_bench_adapter_do_not_depend_on_the_fleet() {
    for package in ["curlewpoint-node", "curlewpoint-drill"] {
        let all = dependencies_of(package);
        assert!(all.contains("curlewpoint") && !all.contains("curlewpoint-fleet"), "{package}: {all:?}");
    }
    assert!(dependencies_of("curlewpoint-gateway").contains("curlewpoint-fleet"));
}

/// Guards against a node that connects to peers: on the platform it may only open a listener for clients and a socket for
/// discovery, even if its settings name a fleet.
#[test]
fn a_node_opens_no_socket_for_peers() {
    let folder = TempFolder::new("fleet-node");
    let discovery = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    let startup_config = serde_json::json!({
        "name": "r-1", "listen": "127.0.0.1:0", "seed": "1f", "resolver": discovery.local_addr().expect("bound"),
        "limits": {"memory_mb": 64, "sockets": 256},
        "settings": {"instances": 300, "fleet": {
            "name": "f", "listen": "127.0.0.1:0", "peers": ["127.0.0.1:9"], "directory": 4096,
        }},
    });
    let path = folder.0.join("told.json");
    std::fs::write(&path, startup_config.to_string()).expect("written");
    let mut node = program()
        .arg("node")
        .env("ROUTER_CONFIG", &path)
        .stderr(Stdio::null())
        .spawn()
        .expect("the process starts");
    // With the second query the startup is complete.
    for _ in 0..2 {
        discovery.recv(&mut [0; 512]).expect("a discovery query");
    }
    let open = sockets(node.id());
    let _ = (node.kill(), node.wait());
    let listeners = open.iter().filter(|s| s.starts_with("tcp") && s.ends_with(" 0A")).count();
    let udp_sockets = open.iter().filter(|s| s.starts_with("udp")).count();
    assert_eq!((listeners, udp_sockets, open.len()), (1, 1, 2), "{open:?}");
}
