//! A scheduler is killed (a process, SIGKILL) at every step between a message's delivery and its end.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use bytes::Bytes;
use curlewpoint::types::{Lifecycle, Outcome, Time};
use curlewpoint_emulator::{ListEntry, Message};
use curlewpoint_lab::test_servers::{ScriptedWorker, TestBroker, TestListService};
use curlewpoint_lab::{Transcript, REHEARSAL_CONFIG};
use curlewpoint_wire::Field;
use test_case::test_case;

const QUEUES: [&str; 5] = [
    "curlewpoint.issue-extract",
    "curlewpoint.read-fields",
    "curlewpoint.read-register",
    "office",
    "curlewpoint.dead",
];

/// A scheduler; it is killed with its test.
struct Serving(Child);

impl Drop for Serving {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Serving {
    /// Ends it in order, with nothing open.
    async fn end(mut self) {
        let sent = Command::new("kill").args(["-s", "TERM", &self.0.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
        let ended = tokio::task::spawn_blocking(move || self.0.wait().expect("it ends").code());
        assert_eq!(ended.await.expect("it is waited for"), Some(0));
    }
}

struct Fleet {
    broker: TestBroker,
    list: TestListService,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    async fn start(test: &str, worker: &ScriptedWorker) -> Fleet {
        let broker = TestBroker::start("127.0.0.1:0", &QUEUES).await.expect("loopback");
        let list =
            TestListService::start("127.0.0.1:0", &Transcript::default(), Time(0)).await.expect("loopback");
        let (zone, cell) = ("z".to_owned(), "c".to_owned());
        let (address, standing) = (worker.address.to_string(), Lifecycle::Ready);
        list.set_entry(
            &worker.name,
            ListEntry { address, lifecycle: standing, start_id: 1, started_at: None, zone, cell, size: 1.0 },
        );
        let folder = std::env::temp_dir().join(format!("curlewpoint-crash-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Fleet { broker, list, folder }
    }

    /// Starts a scheduler as a process; its journal is its own.
    fn serve(&self, name: &str) -> Serving {
        let amqp = format!(
            "amqp {{\n  address {}\n  journal {name}.journal\n  amqp-back-off 20ms\n}}\n",
            self.broker.address
        );
        let text = REHEARSAL_CONFIG.replace("name front\n", &format!("name {name}\n"));
        let text = text.replace("list 127.0.0.1:7001", &format!("list {}", self.list.address));
        let path = self.folder.join(format!("{name}.conf"));
        std::fs::write(&path, text + &amqp).expect("written");
        let mut start = Command::new(env!("CARGO_BIN_EXE_curlewpoint"));
        let mut child = start
            .arg("serve")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let mut line = String::new();
        let _ = BufReader::new(child.stdout.as_mut().expect("piped")).read_line(&mut line);
        assert!(line.starts_with("serving"), "{line}");
        Serving(child)
    }

    fn ask(&self, method: &str) {
        let mut headers = FieldTable::default();
        headers.insert("model".into(), AMQPValue::LongString("births".into()));
        let properties = AMQPProperties::default()
            .with_message_id("m1".into())
            .with_reply_to("office".into())
            .with_expiration("4000".into())
            .with_headers(headers);
        self.broker.enqueue(&format!("curlewpoint.{method}"), properties, Bytes::from_static(b"scan"));
    }

    /// Waits until one of these queues has a message.
    async fn waiting(&self, queues: &[&str]) {
        let came =
            tokio::time::timeout(Duration::from_secs(30), self.broker.wait_for_messages(queues, 1)).await;
        assert!(came.is_ok(), "nothing came to {queues:?}");
    }
}

fn word(m: &Message) -> String {
    match m.properties.headers().as_ref().and_then(|h| h.inner().get("answer")) {
        Some(AMQPValue::LongString(s)) => s.to_string(),
        _ => String::new(),
    }
}

/// Where the scheduler is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The message has just been delivered: its intent may be written or not, its attempt be sent or not.
    Delivered,
    /// A worker has the attempt.
    CalledOut,
    /// The worker has answered, and the answer may have been read or not.
    WorkerAnswered,
    /// The commit of answer and acknowledgement has reached the broker, which has not done it.
    CommitSent,
    /// The broker has done it, and its word was not read.
    CommitDone,
}

/// Who gets the message next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Next {
    /// The same instance, started anew with its journal.
    Same,
    /// Another one, which runs already.
    Another,
    /// Nobody for a while; then another one.
    NobodyYet,
}

const STEPS: [Step; 5] =
    [Step::Delivered, Step::CalledOut, Step::WorkerAnswered, Step::CommitSent, Step::CommitDone];

async fn crash(method: &str, step: Step, next: Next) {
    let mut worker = ScriptedWorker::start("a").await;
    let fleet = Fleet::start(&format!("{method}-{step:?}-{next:?}"), &worker).await;
    let first = fleet.serve("front-1");
    let what = format!("{method}, killed at {step:?}, next is {next:?}");
    let mut ran = BTreeMap::from([("m1".to_owned(), 0)]);
    let delivered = fleet.broker.next_delivery().await;
    let commit = match step {
        Step::CommitSent | Step::CommitDone => {
            Some(fleet.broker.silence_at_commit(step == Step::CommitDone).await)
        }
        _ => None,
    };
    fleet.ask(method);
    delivered.await.expect("it is delivered");
    if step != Step::Delivered {
        let asked = worker.next_attempt().await;
        *ran.entry(asked.1.get_text(Field::TOKEN).expect("it has one").to_owned()).or_default() += 1;
        if step != Step::CalledOut {
            worker.respond(&asked, Outcome::Ok);
        }
        if let Some(commit) = commit {
            commit.await.expect("it comes");
        }
    }
    let another = (next == Next::Another).then(|| fleet.serve("front-2"));
    // SIGKILL, and the process is gone.
    drop(first);
    let another = match next {
        Next::Same => Some(fleet.serve("front-1")),
        Next::Another => another,
        Next::NobodyYet => {
            fleet.waiting(&[&format!("curlewpoint.{method}"), "office"]).await;
            Some(fleet.serve("front-2"))
        }
    };
    // The worker serves whatever comes from here on, and counts it, until the one that is left has ended in order: after that
    // nothing can come any more.
    tokio::select! {
        () = async {
            fleet.waiting(&["office"]).await;
            another.expect("one is left").end().await;
        } => {}
        () = async {
            loop {
                let asked = worker.next_attempt().await;
                *ran.entry(asked.1.get_text(Field::TOKEN).unwrap_or("").to_owned()).or_default() += 1;
                if worker.peers.contains_key(&asked.0) {
                    worker.respond(&asked, Outcome::Ok);
                }
            }
        } => unreachable!("it has no end"),
    }
    let answers = fleet.broker.messages("office").await;
    let (times, told) = (ran["m1"], word(&answers[0]));
    assert_eq!(answers.len(), 1, "{what}: one final answer");
    if method != "read-fields" {
        assert!(times <= 1, "{what}: ran {times} times");
        assert!(told != "denied" || times == 0, "{what}: denied, and it ran");
    }
    assert!(told != "ok" || times > 0, "{what}: ok, and it never ran");
    match (method, step) {
        ("read-fields", _) | (_, Step::CommitDone) => assert_eq!(told, "ok", "{what}"),
        (_, Step::CalledOut) => assert_eq!(told, "aborted", "{what}"),
        _ => {}
    }
}

#[test_case("issue-extract" ; "side effecting")]
#[test_case("read-register" ; "tokened")]
#[test_case("read-fields" ; "idempotent")]
fn a_kill_at_any_step_leaves_one_answer_and_no_effect_twice(method: &str) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        for step in STEPS {
            for next in [Next::Same, Next::Another, Next::NobodyYet] {
                crash(method, step, next).await;
            }
        }
    });
}
