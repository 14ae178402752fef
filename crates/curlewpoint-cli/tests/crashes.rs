//! Kills a scheduler process with SIGKILL at each step between the delivery of a message and the end of its processing.

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

/// A scheduler process. Dropping it kills the process.
struct SchedulerProcess(Child);

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl SchedulerProcess {
    /// Stops the scheduler with SIGTERM while no RPC is open, and checks that it exits with 0.
    async fn stop(mut self) {
        let sent = Command::new("kill").args(["-s", "TERM", &self.0.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
        let exit = tokio::task::spawn_blocking(move || self.0.wait().expect("the process exits").code());
        assert_eq!(exit.await.expect("the wait completes"), Some(0));
    }
}

struct TestSystem {
    broker: TestBroker,
    list: TestListService,
    folder: PathBuf,
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl TestSystem {
    async fn start(test: &str, worker: &ScriptedWorker) -> TestSystem {
        let broker = TestBroker::start("127.0.0.1:0", &QUEUES).await.expect("loopback");
        let list =
            TestListService::start("127.0.0.1:0", &Transcript::default(), Time(0)).await.expect("loopback");
        let (zone, cell) = ("z".to_owned(), "c".to_owned());
        let (address, lifecycle) = (worker.address.to_string(), Lifecycle::Ready);
        list.set_entry(
            &worker.name,
            ListEntry { address, lifecycle, start_id: 1, started_at: None, zone, cell, size: 1.0 },
        );
        let folder = std::env::temp_dir().join(format!("curlewpoint-crash-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        TestSystem { broker, list, folder }
    }

    /// Starts a scheduler process with a journal of its own.
    fn start_scheduler(&self, name: &str) -> SchedulerProcess {
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
            .expect("the process starts");
        let mut line = String::new();
        let _ = BufReader::new(child.stdout.as_mut().expect("piped")).read_line(&mut line);
        assert!(line.starts_with("serving"), "{line}");
        SchedulerProcess(child)
    }

    /// Publishes the message to the queue of a method.
    fn publish(&self, method: &str) {
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
    async fn wait_for_message(&self, queues: &[&str]) {
        let result =
            tokio::time::timeout(Duration::from_secs(30), self.broker.wait_for_messages(queues, 1)).await;
        assert!(result.is_ok(), "no message in {queues:?}");
    }
}

/// The kind of answer in the headers of a message.
fn answer_kind(m: &Message) -> String {
    match m.properties.headers().as_ref().and_then(|h| h.inner().get("answer")) {
        Some(AMQPValue::LongString(s)) => s.to_string(),
        _ => String::new(),
    }
}

/// The step at which the scheduler is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The message has just been delivered. Its intent may be written and its attempt sent, or not.
    Delivered,
    /// A worker has received the attempt.
    CalledOut,
    /// The worker has answered. The scheduler may have read the answer or not.
    WorkerAnswered,
    /// The commit of answer and acknowledgement has reached the broker, which has not executed it.
    CommitSent,
    /// The broker has executed the commit, and the scheduler has not read the confirmation.
    CommitDone,
}

/// The scheduler that receives the message next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Successor {
    /// The same instance, restarted with its journal.
    Same,
    /// Another instance, which is already running.
    Another,
    /// Another instance, started some time after the kill.
    Delayed,
}

const STEPS: [Step; 5] =
    [Step::Delivered, Step::CalledOut, Step::WorkerAnswered, Step::CommitSent, Step::CommitDone];

async fn crash(method: &str, step: Step, next: Successor) {
    let mut worker = ScriptedWorker::start("a").await;
    let system = TestSystem::start(&format!("{method}-{step:?}-{next:?}"), &worker).await;
    let first = system.start_scheduler("front-1");
    let case = format!("{method}, killed at {step:?}, next is {next:?}");
    let mut runs_by_token = BTreeMap::from([("m1".to_owned(), 0)]);
    let delivered = system.broker.next_delivery().await;
    let commit = match step {
        Step::CommitSent | Step::CommitDone => {
            Some(system.broker.silence_at_commit(step == Step::CommitDone).await)
        }
        _ => None,
    };
    system.publish(method);
    delivered.await.expect("the message is delivered");
    if step != Step::Delivered {
        let attempt = worker.next_attempt().await;
        *runs_by_token.entry(attempt.1.get_text(Field::TOKEN).expect("a token").to_owned()).or_default() += 1;
        if step != Step::CalledOut {
            worker.respond(&attempt, Outcome::Ok);
        }
        if let Some(commit) = commit {
            commit.await.expect("the commit arrives");
        }
    }
    let another = (next == Successor::Another).then(|| system.start_scheduler("front-2"));
    // Kills the process with SIGKILL.
    drop(first);
    let another = match next {
        Successor::Same => Some(system.start_scheduler("front-1")),
        Successor::Another => another,
        Successor::Delayed => {
            system.wait_for_message(&[&format!("curlewpoint.{method}"), "office"]).await;
            Some(system.start_scheduler("front-2"))
        }
    };
    // The worker answers and counts all further attempts until the remaining scheduler has stopped; after that none can
    // arrive.
    tokio::select! {
        () = async {
            system.wait_for_message(&["office"]).await;
            another.expect("a remaining scheduler").stop().await;
        } => {}
        () = async {
            loop {
                let attempt = worker.next_attempt().await;
                *runs_by_token.entry(attempt.1.get_text(Field::TOKEN).unwrap_or("").to_owned()).or_default() += 1;
                if worker.peers.contains_key(&attempt.0) {
                    worker.respond(&attempt, Outcome::Ok);
                }
            }
        } => unreachable!("the worker loop does not end"),
    }
    let answers = system.broker.messages("office").await;
    let (runs, answer) = (runs_by_token["m1"], answer_kind(&answers[0]));
    assert_eq!(answers.len(), 1, "{case}: one final answer");
    if method != "read-fields" {
        assert!(runs <= 1, "{case}: ran {runs} times");
        assert!(answer != "denied" || runs == 0, "{case}: denied although it ran");
    }
    assert!(answer != "ok" || runs > 0, "{case}: ok although it never ran");
    match (method, step) {
        ("read-fields", _) | (_, Step::CommitDone) => assert_eq!(answer, "ok", "{case}"),
        (_, Step::CalledOut) => assert_eq!(answer, "aborted", "{case}"),
        _ => {}
    }
}

#[test_case("issue-extract" ; "side effecting")]
#[test_case("read-register" ; "tokened")]
#[test_case("read-fields" ; "idempotent")]
fn a_kill_at_any_step_gives_one_answer_and_no_repeated_effect(method: &str) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        for step in STEPS {
            for next in [Successor::Same, Successor::Another, Successor::Delayed] {
                crash(method, step, next).await;
            }
        }
    });
}
