//! The program as processes of its own, by its command line and signals.

use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc;

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_curlewpoint"))
}

/// A process that tells where it listens; it is killed with its test.
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
        let mut child = start.spawn().expect("it starts");
        let errors = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (tell, log) = mpsc::channel();
        std::thread::spawn(move || errors.map_while(Result::ok).for_each(|l| drop(tell.send(l))));
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let first = lines.next().expect("a line").expect("text");
        let address = first.rsplit(' ').next().expect("an address").to_owned();
        Process { child, lines, address, log }
    }

    /// Waits for a line in its log.
    fn logs(&self, what: &str) {
        assert!(self.log.iter().any(|line| line.contains(what)), "the log ended without {what}");
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }
}

struct Fleet {
    _store: Process,
    _worker: Process,
    _list: Process,
    gateway: Process,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A gateway with its stand-ins; an extract takes so long.
fn fleet(name: &str, work: &str) -> Fleet {
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
    Fleet { _store: store, _worker: worker, _list: list, gateway, folder }
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
fn a_call_is_answered_and_a_stop_ends_with_nothing_lost() {
    let mut f = fleet("stop", "1ms");
    let Output { status, stdout, stderr } = call(&f.gateway.address).output().expect("it runs");
    assert_eq!((status.code(), text(&stdout).as_str()), (Some(0), "scan of page 1"), "{}", text(&stderr));
    f.gateway.signal("TERM");
    assert_eq!(f.gateway.child.wait().expect("it ends").code(), Some(0));
    let last = f.gateway.lines.next().expect("a line").expect("text");
    assert_eq!(last, "stopped: taken 1 ok 1 denied 0 aborted 0 left 0 refused 0");
}

/// What it has taken is answered although the signal came first; a scheduler that is killed leaves its client without.
#[test]
fn a_stop_answers_what_is_open_and_a_kill_does_not() {
    for (signal, answered) in [("TERM", true), ("KILL", false)] {
        let mut f = fleet(&format!("open-{signal}"), "900ms");
        let open =
            call(&f.gateway.address).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("it starts");
        f.gateway.logs("attempt");
        f.gateway.signal(signal);
        let Output { status, stdout, .. } = open.wait_with_output().expect("it ends");
        assert_eq!(status.code(), Some(if answered { 0 } else { 5 }), "{signal}: {}", text(&stdout));
        let ended = f.gateway.child.wait().expect("it ends").code();
        assert_eq!(ended, answered.then_some(0), "{signal}");
    }
}

/// The whole way over a broker, by the command line alone.
#[test]
fn a_trigger_is_answered_over_a_broker() {
    let f = fleet("trigger", "1ms");
    let queues = ["curlewpoint.issue-extract", "curlewpoint.dead", "replies"];
    let args: Vec<&str> = queues.iter().flat_map(|q| ["--queue", q]).collect();
    let broker = Process::start(&[&["broker", "127.0.0.1:0"], &args[..]].concat());
    let good = std::fs::read_to_string(f.folder.join("gateway.conf")).expect("written");
    let path = f.folder.join("consumes.conf");
    let amqp = format!("amqp {{\n  address {}\n  journal consumes.journal\n}}\n", broker.address);
    std::fs::write(&path, good.replace("front-1", "front-2") + &amqp).expect("written");
    let consumes = Process::start(&["serve", &path.display().to_string()]);
    consumes.logs("connected to the broker");
    let trigger = |more: &[&str]| {
        let to =
            [&broker.address[..], "issue-extract", "births", "--reply-to", "replies", "--body", "page 1"];
        program().arg("trigger").args(to).args(more).output().expect("it runs")
    };
    let out = trigger(&["--id", "m1"]);
    assert_eq!((out.status.code(), text(&out.stdout).as_str()), (Some(0), "page 1"), "{}", text(&out.stderr));
    let out = trigger(&["--tenant", "nobody", "--left", "0ms"]);
    assert_eq!(out.status.code(), Some(3), "it came too late: {}", text(&out.stderr));
    consumes.signal("TERM");
    let mut consumes = consumes;
    assert_eq!(consumes.child.wait().expect("it ends").code(), Some(0));
}

/// SIGHUP reads the file anew: one at fault changes nothing, one that is good does, and a call goes on meanwhile.
#[test]
fn a_reload_by_signal_serves_other_methods_or_leaves_those_in_force() {
    let f = fleet("hup", "900ms");
    let path = f.folder.join("gateway.conf");
    let good = std::fs::read_to_string(&path).expect("written");
    let change = |text: &str, logged: &str| {
        std::fs::write(&path, text).expect("written");
        f.gateway.signal("HUP");
        f.gateway.logs(logged);
    };
    let open = call(&f.gateway.address).stdout(Stdio::piped()).spawn().expect("it starts");
    f.gateway.logs("attempt");
    change(
        &good.replace("deadline 5s\n}", "deadline 5s\n"),
        "reload refused, the methods in force stay: error",
    );
    change(&good.replace("name front-1", "name front-2"), "this changes only at a restart: name");
    change(&good.replace("issue-extract", "issue-extracts"), "reloaded");
    let Output { status, stdout, .. } = open.wait_with_output().expect("it ends");
    assert_eq!((status.code(), text(&stdout).as_str()), (Some(0), "scan of page 1"));
    let gone = call(&f.gateway.address).output().expect("it runs");
    assert!(!gone.status.success() && text(&gone.stderr).contains("withdrawn"), "{}", text(&gone.stderr));
    change(&good, "reloaded");
    assert!(call(&f.gateway.address).output().expect("it runs").status.success());
}

#[test]
fn a_faulty_configuration_starts_nothing_and_tells_all_faults() {
    let folder = std::env::temp_dir().join(format!("curlewpoint-faulty-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("gateway.conf");
    std::fs::write(&path, "name a\nlisten here\nlist 127.0.0.1:1\nnmae b\n").expect("written");
    for command in ["check", "serve"] {
        let Output { status, stderr, stdout } = program().arg(command).arg(&path).output().expect("it runs");
        let told = text(&stderr);
        assert_eq!((status.code(), stdout.len()), (Some(2), 0), "{told}");
        for want in
            ["'here' is not an address", "did you mean name?", "no method is given", "gateway.conf:2:8"]
        {
            assert!(told.contains(want), "{want}: {told}");
        }
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_release_that_breaks_its_clients_is_told_apart_by_its_exit_code() {
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
        let out = program().args(["describe", "diff"]).args([old, new]).output().expect("it runs");
        let told = text(&out.stdout) + &text(&out.stderr);
        assert_eq!(out.status.code(), Some(code), "{told}");
        assert!(told.contains(want), "{told}");
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}

/// A journal is listed with what the next start would do, and one that was damaged is said to be.
#[test]
fn a_journal_is_listed_and_verified() {
    use curlewpoint::types::Time;
    use curlewpoint_journal::{Journal, JournalLimits, RecordVisitor};
    use curlewpoint_trigger::{AnswerKind, FinalAnswer, MessageKey};
    struct Nobody;
    impl RecordVisitor for Nobody {
        fn intent(&mut self, _: MessageKey, _: Time) {}
        fn answer(&mut self, _: MessageKey, _: Time, _: FinalAnswer) {}
    }
    let path = std::env::temp_dir().join(format!("curlewpoint-journal-{}", std::process::id()));
    let journal = Journal::open(&path, JournalLimits::default(), &mut Nobody).expect("it opens");
    let name = |id: &str| MessageKey { id: id.to_owned(), reply_to: "office".to_owned() };
    journal.write_intent(&name("sent"), Time(1), |_| {});
    let aborted = FinalAnswer { kind: AnswerKind::Aborted, reason: String::new(), body: Default::default() };
    journal.write_answer(&name("told"), Time(2), &aborted);
    let run = |what: &str| program().args(["journal", what]).arg(&path).output().expect("it runs");
    let busy = run("verify");
    assert_eq!(busy.status.code(), Some(1), "a scheduler holds it");
    drop(journal);
    let listed = text(&run("list").stdout);
    let lines: Vec<&str> = listed.lines().collect();
    assert!(lines[0].starts_with("sent  office") && lines[0].contains("may have been sent"), "{listed}");
    assert!(lines[1].starts_with("told  office") && lines[1].contains("answered Aborted"), "{listed}");
    assert!(lines[2].contains("intact, 2 records"), "{listed}");
    let mut bytes = std::fs::read(&path).expect("it is there");
    // The first half of the file holds the store's own pages, all of them checked.
    bytes.iter_mut().skip(64).step_by(97).for_each(|b| *b ^= 0x55);
    std::fs::write(&path, bytes).expect("written");
    let told = run("verify");
    assert_eq!(told.status.code(), Some(1), "{}", text(&told.stdout));
    std::fs::remove_file(&path).expect("removed");
}

#[test]
fn nobody_there_is_told_plainly() {
    let out = program().args(["call", "127.0.0.1:1", "m", "m"]).output().expect("it runs");
    assert_eq!(out.status.code(), Some(5));
    assert_eq!(text(&out.stderr).lines().count(), 1, "{}", text(&out.stderr));
}

/// As many clients as the cap connect at once, as far as this machine's descriptors go; each is answered.
#[test]
fn ten_thousand_clients_connect_at_once() {
    use std::io::Read;
    use std::net::TcpStream;
    let f = fleet("many", "1ms");
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let files = limits.lines().find(|l| l.starts_with("Max open files"));
    let files: usize = files.and_then(|l| l.split_whitespace().nth(3)?.parse().ok()).unwrap_or(1024);
    let many = 10_000.min(files - 200);
    // A hello: length, kind 1, head of 2 fields (version 1, and the name), written by hand.
    let hello = [0, 0, 0, 9, 0, 1, 0, 5, 1, 1, 2, 0x61, b'x'];
    let all: Vec<TcpStream> = (0..many)
        .map(|_| {
            let mut stream = TcpStream::connect(&f.gateway.address).expect("it accepts");
            stream.write_all(&hello).expect("written");
            stream
        })
        .collect();
    for mut stream in &all {
        let mut head = [0; 6];
        stream.read_exact(&mut head).expect("a hello");
        assert_eq!(head[5], 1, "a hello, no fault");
    }
    drop(all);
    let out = call(&f.gateway.address).output().expect("it runs");
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
}

/// Guards against a node that ends, or loses its directory, when its file is replaced; and one that ends badly when told to.
#[test]
fn a_node_reads_its_file_anew_and_ends_well() {
    let file = std::env::temp_dir().join(format!("curlewpoint-node-{}.json", std::process::id()));
    let told = |resolver: &str| {
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","resolver":"{resolver}","settings":{{}},
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{{"cursor":0,"cmds":[]}}}}"#
        )
    };
    std::fs::write(&file, told("127.0.0.1:9")).unwrap();
    let mut node = Process::start(&["node", &file.display().to_string()]);
    std::fs::write(&file, "{ half a fi").unwrap();
    node.signal("HUP");
    node.logs("keeping the current discovery address");
    std::fs::write(&file, told("127.0.0.1:10")).unwrap();
    node.signal("HUP");
    node.logs("the discovery address is now 127.0.0.1:10");
    // One that was half written at the signal is read again once it is whole.
    std::fs::write(&file, "{ half a fi").unwrap();
    node.signal("HUP");
    node.logs("cannot read the startup configuration yet");
    std::fs::write(&file, told("127.0.0.1:11")).unwrap();
    node.logs("the discovery address is now 127.0.0.1:11");
    std::net::TcpStream::connect(&node.address).expect("it still serves");
    node.signal("TERM");
    node.logs("stopped");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    let _ = std::fs::remove_file(file);
}
