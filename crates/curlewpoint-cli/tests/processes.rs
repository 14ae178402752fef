//! Tests the program as processes, by its command line and signals.

use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc;

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_curlewpoint"))
}

/// A process that prints its listening address. Dropping it kills the process.
struct Process {
    child: Child,
    lines: std::io::Lines<BufReader<std::process::ChildStdout>>,
    address: String,
    log: mpsc::Receiver<String>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(args: &[&str]) -> Process {
        let mut start = program();
        start.args(args).env("CURLEWPOINT_LOG", "debug").stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = start.spawn().expect("the process starts");
        let errors = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (sender, log) = mpsc::channel();
        std::thread::spawn(move || errors.map_while(Result::ok).for_each(|l| drop(sender.send(l))));
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let first = lines.next().expect("a line").expect("text");
        let address = first.rsplit(' ').next().expect("an address").to_owned();
        Process { child, lines, address, log }
    }

    /// Waits for a log line that contains the text.
    fn wait_for_log(&self, text: &str) {
        assert!(self.log.iter().any(|line| line.contains(text)), "the log ended without {text}");
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }
}

struct TestSystem {
    _store: Process,
    _worker: Process,
    _list: Process,
    gateway: Process,
    folder: PathBuf,
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a gateway with its test servers. `work` is the run time of an extract.
fn start_system(name: &str, work: &str) -> TestSystem {
    let folder = std::env::temp_dir().join(format!("curlewpoint-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let write = |file: &str, text: &str| {
        let path = folder.join(file);
        std::fs::File::create(&path).and_then(|mut f| f.write_all(text.as_bytes())).expect("written");
        path.display().to_string()
    };
    let script = write("x.day", &format!("method issue-extract {{\n  work {work}\n  load 20ms\n}}\n"));
    let store = Process::start(&["store", "127.0.0.1:0"]);
    let worker = Process::start(&["worker", "127.0.0.1:0", "--store", &store.address, "--script", &script]);
    let list = Process::start(&["list", "127.0.0.1:0", "--worker", &format!("w-0={}", worker.address)]);
    let config = write(
        "gateway.conf",
        &format!(
            "name front-1\nlisten 127.0.0.1:0\nlist {}\nmethod issue-extract {{\n  effect side-effecting\n  \
             soft-deadline 2s\n  deadline 5s\n}}\n",
            list.address
        ),
    );
    let gateway = Process::start(&["serve", &config]);
    TestSystem { _store: store, _worker: worker, _list: list, gateway, folder }
}

fn call(address: &str) -> Command {
    let mut c = program();
    c.args(["call", address, "issue-extract", "births", "--left", "5s", "--body", "scan of page 1"]);
    c
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_call_is_answered_and_a_stop_loses_nothing() {
    let mut f = start_system("stop", "1ms");
    let Output { status, stdout, stderr } = call(&f.gateway.address).output().expect("the program runs");
    assert_eq!((status.code(), text(&stdout).as_str()), (Some(0), "scan of page 1"), "{}", text(&stderr));
    f.gateway.signal("TERM");
    assert_eq!(f.gateway.child.wait().expect("the process exits").code(), Some(0));
    let last = f.gateway.lines.next().expect("a line").expect("text");
    assert_eq!(last, "stopped: taken 1 ok 1 denied 0 aborted 0 left 0 refused 0");
}

/// Guards against a stop that leaves open calls unanswered. After a kill the client gets no answer.
#[test]
fn a_stop_answers_open_calls_and_a_kill_does_not() {
    for (signal, answered) in [("TERM", true), ("KILL", false)] {
        let mut f = start_system(&format!("open-{signal}"), "900ms");
        let open = call(&f.gateway.address)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the process starts");
        f.gateway.wait_for_log("attempt");
        f.gateway.signal(signal);
        let Output { status, stdout, .. } = open.wait_with_output().expect("the process exits");
        assert_eq!(status.code(), Some(if answered { 0 } else { 5 }), "{signal}: {}", text(&stdout));
        let ended = f.gateway.child.wait().expect("the process exits").code();
        assert_eq!(ended, answered.then_some(0), "{signal}");
    }
}

/// Tests a call over a broker from end to end, by the command line only.
#[test]
fn a_trigger_is_answered_over_a_broker() {
    let f = start_system("trigger", "1ms");
    let queues = ["curlewpoint.issue-extract", "curlewpoint.dead", "replies"];
    let args: Vec<&str> = queues.iter().flat_map(|q| ["--queue", q]).collect();
    let broker = Process::start(&[&["broker", "127.0.0.1:0"], &args[..]].concat());
    let valid = std::fs::read_to_string(f.folder.join("gateway.conf")).expect("written");
    let path = f.folder.join("consumes.conf");
    let amqp = format!("amqp {{\n  address {}\n  journal consumes.journal\n}}\n", broker.address);
    std::fs::write(&path, valid.replace("front-1", "front-2") + &amqp).expect("written");
    let consumer = Process::start(&["serve", &path.display().to_string()]);
    consumer.wait_for_log("connected to the broker");
    let trigger = |extra: &[&str]| {
        let to =
            [&broker.address[..], "issue-extract", "births", "--reply-to", "replies", "--body", "page 1"];
        program().arg("trigger").args(to).args(extra).output().expect("the program runs")
    };
    let out = trigger(&["--id", "m1"]);
    assert_eq!((out.status.code(), text(&out.stdout).as_str()), (Some(0), "page 1"), "{}", text(&out.stderr));
    let out = trigger(&["--tenant", "nobody", "--left", "0ms"]);
    assert_eq!(out.status.code(), Some(3), "its time was up: {}", text(&out.stderr));
    consumer.signal("TERM");
    let mut consumer = consumer;
    assert_eq!(consumer.child.wait().expect("the process exits").code(), Some(0));
}

/// SIGHUP reloads the file: an invalid one changes nothing, a valid one replaces the methods, and open calls continue.
#[test]
fn a_reload_by_signal_replaces_the_methods_or_keeps_the_active_ones() {
    let f = start_system("hup", "900ms");
    let path = f.folder.join("gateway.conf");
    let valid = std::fs::read_to_string(&path).expect("written");
    let change = |text: &str, logged: &str| {
        std::fs::write(&path, text).expect("written");
        f.gateway.signal("HUP");
        f.gateway.wait_for_log(logged);
    };
    let open = call(&f.gateway.address).stdout(Stdio::piped()).spawn().expect("the process starts");
    f.gateway.wait_for_log("attempt");
    change(
        &valid.replace("deadline 5s\n}", "deadline 5s\n"),
        "reload refused, the methods in force stay: error",
    );
    change(&valid.replace("name front-1", "name front-2"), "this changes only at a restart: name");
    change(&valid.replace("issue-extract", "issue-extracts"), "reloaded");
    let Output { status, stdout, .. } = open.wait_with_output().expect("the process exits");
    assert_eq!((status.code(), text(&stdout).as_str()), (Some(0), "scan of page 1"));
    let withdrawn = call(&f.gateway.address).output().expect("the program runs");
    assert!(
        !withdrawn.status.success() && text(&withdrawn.stderr).contains("withdrawn"),
        "{}",
        text(&withdrawn.stderr)
    );
    change(&valid, "reloaded");
    assert!(call(&f.gateway.address).output().expect("the program runs").status.success());
}

#[test]
fn an_invalid_configuration_starts_nothing_and_reports_all_errors() {
    let folder = std::env::temp_dir().join(format!("curlewpoint-faulty-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("gateway.conf");
    std::fs::write(&path, "name a\nlisten here\nlist 127.0.0.1:1\nnmae b\n").expect("written");
    for command in ["check", "serve"] {
        let Output { status, stderr, stdout } =
            program().arg(command).arg(&path).output().expect("the program runs");
        let output = text(&stderr);
        assert_eq!((status.code(), stdout.len()), (Some(2), 0), "{output}");
        for want in
            ["'here' is not an address", "did you mean name?", "no method is given", "gateway.conf:2:8"]
        {
            assert!(output.contains(want), "{want}: {output}");
        }
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_breaking_release_is_reported_by_the_exit_code() {
    let folder = std::env::temp_dir().join(format!("curlewpoint-diff-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let write = |file: &str, text: &str| std::fs::write(folder.join(file), text).expect("written");
    let config = |schema: &str| {
        format!(
            "name a\nlisten 127.0.0.1:1\nlist 127.0.0.1:2\nmethod read {{\n effect idempotent\n soft-deadline 1s\n \
             deadline 2s\n request-schema {schema}\n example pages.json\n}}\n"
        )
    };
    write("old.json", r#"{"properties": {"page": {"maximum": 400}}}"#);
    write("wider.json", r#"{"properties": {"page": {"maximum": 900}}}"#);
    write("closer.json", r#"{"properties": {"page": {"maximum": 9}}}"#);
    write("broken.json", r#"{"properties": {"page": {"maximum": "x"}}}"#);
    write("pages.json", r#"[{"page": 3}, {"page": 8}]"#);
    for (schema, code, want) in [
        ("old.json", 0, "0 changes"),
        ("wider.json", 0, "1 changes, 0 breaking"),
        ("closer.json", 1, "breaking   read: request /page"),
        ("broken.json", 2, "broken.json: at '/properties/page/maximum'"),
        ("none.json", 2, "none.json: No such file"),
    ] {
        write("old.conf", &config("old.json"));
        write("new.conf", &config(schema));
        let (old, new) = (folder.join("old.conf"), folder.join("new.conf"));
        let out = program().args(["describe", "diff"]).args([old, new]).output().expect("the program runs");
        let output = text(&out.stdout) + &text(&out.stderr);
        assert_eq!(out.status.code(), Some(code), "{output}");
        assert!(output.contains(want), "{output}");
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}

/// Tests that a journal is listed with the action of the next start, and that damage is reported.
#[test]
fn a_journal_is_listed_and_verified() {
    use curlewpoint::types::Time;
    use curlewpoint_journal::{Journal, JournalLimits, RecordVisitor};
    use curlewpoint_trigger::{AnswerKind, FinalAnswer, MessageKey};
    struct IgnoreRecords;
    impl RecordVisitor for IgnoreRecords {
        fn intent(&mut self, _: MessageKey, _: Time) {}
        fn answer(&mut self, _: MessageKey, _: Time, _: FinalAnswer) {}
    }
    let path = std::env::temp_dir().join(format!("curlewpoint-journal-{}", std::process::id()));
    let journal =
        Journal::open(&path, JournalLimits::default(), &mut IgnoreRecords).expect("the journal opens");
    let name = |id: &str| MessageKey { id: id.to_owned(), reply_to: "office".to_owned() };
    journal.write_intent(&name("sent"), Time(1), |_| {});
    let aborted = FinalAnswer { kind: AnswerKind::Aborted, reason: String::new(), body: Default::default() };
    journal.write_answer(&name("told"), Time(2), &aborted);
    let run =
        |command: &str| program().args(["journal", command]).arg(&path).output().expect("the program runs");
    let busy = run("verify");
    assert_eq!(busy.status.code(), Some(1), "the journal is locked");
    drop(journal);
    let listed = text(&run("list").stdout);
    let lines: Vec<&str> = listed.lines().collect();
    assert!(lines[0].starts_with("sent  office") && lines[0].contains("may have been sent"), "{listed}");
    assert!(lines[1].starts_with("told  office") && lines[1].contains("answered Aborted"), "{listed}");
    assert!(lines[2].contains("intact, 2 records"), "{listed}");
    let mut bytes = std::fs::read(&path).expect("the journal exists");
    // Damages bytes throughout the file, whose first half holds checksummed pages of the store.
    bytes.iter_mut().skip(64).step_by(97).for_each(|b| *b ^= 0x55);
    std::fs::write(&path, bytes).expect("written");
    let output = run("verify");
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stdout));
    std::fs::remove_file(&path).expect("removed");
}

#[test]
fn an_unreachable_scheduler_is_reported_in_one_line() {
    let out = program().args(["call", "127.0.0.1:1", "m", "m"]).output().expect("the program runs");
    assert_eq!(out.status.code(), Some(5));
    assert_eq!(text(&out.stderr).lines().count(), 1, "{}", text(&out.stderr));
}

/// Guards against refused clients below the limit: as many connect at once as the limit and the descriptors allow.
#[test]
fn ten_thousand_clients_connect_at_once() {
    use std::io::Read;
    use std::net::TcpStream;
    let f = start_system("many", "1ms");
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let files = limits.lines().find(|l| l.starts_with("Max open files"));
    let files: usize = files.and_then(|l| l.split_whitespace().nth(3)?.parse().ok()).unwrap_or(1024);
    let clients = 10_000.min(files - 200);
    // A HELLO frame: length, kind 1, and two fields (version 1 and the name).
    let hello = [0, 0, 0, 9, 0, 1, 0, 5, 1, 1, 2, 0x61, b'x'];
    let all: Vec<TcpStream> = (0..clients)
        .map(|_| {
            let mut stream = TcpStream::connect(&f.gateway.address).expect("the gateway accepts");
            stream.write_all(&hello).expect("written");
            stream
        })
        .collect();
    for mut stream in &all {
        let mut head = [0; 6];
        stream.read_exact(&mut head).expect("a hello");
        assert_eq!(head[5], 1, "a HELLO, not a FAULT");
    }
    drop(all);
    let out = call(&f.gateway.address).output().expect("the program runs");
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
}

/// Guards against a node that exits, or loses its discovery address, when its startup configuration is replaced, and
/// against a failing exit after a stop signal.
#[test]
fn a_node_rereads_its_startup_configuration_and_exits_with_0() {
    let file = std::env::temp_dir().join(format!("curlewpoint-node-{}.json", std::process::id()));
    let startup_config = |resolver: &str| {
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","resolver":"{resolver}","settings":{{}},
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{{"cursor":0,"cmds":[]}}}}"#
        )
    };
    std::fs::write(&file, startup_config("127.0.0.1:9")).unwrap();
    let mut node = Process::start(&["node", &file.display().to_string()]);
    std::fs::write(&file, "{ half a fi").unwrap();
    node.signal("HUP");
    node.wait_for_log("keeping the current discovery address");
    std::fs::write(&file, startup_config("127.0.0.1:10")).unwrap();
    node.signal("HUP");
    node.wait_for_log("the discovery address is now 127.0.0.1:10");
    // A file that is half written at the signal is read again once it is complete.
    std::fs::write(&file, "{ half a fi").unwrap();
    node.signal("HUP");
    node.wait_for_log("cannot read the startup configuration yet");
    std::fs::write(&file, startup_config("127.0.0.1:11")).unwrap();
    node.wait_for_log("the discovery address is now 127.0.0.1:11");
    std::net::TcpStream::connect(&node.address).expect("the node still serves");
    node.signal("TERM");
    node.wait_for_log("stopped");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    let _ = std::fs::remove_file(file);
}
