//! Triggers end to end: a broker, a gateway or two, workers, on real sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use bytes::Bytes;
use curlewpoint::types::{Lifecycle, Outcome, Time};
use curlewpoint_config::Config;
use curlewpoint_emulator::{BrokerFaults, Message};
use curlewpoint_gateway::RunningScheduler;
use curlewpoint_lab::test_servers::wire::Outgoing;
use curlewpoint_lab::test_servers::{TestBroker, TestListService};
use curlewpoint_lab::Transcript;
use curlewpoint_wire::Field;

use crate::common::{config, name, ScriptedWorker};

const EXTRACTS: &str = "curlewpoint.issue-extract";
const QUEUES: [&str; 5] =
    [EXTRACTS, "curlewpoint.read-fields", "curlewpoint.read-register", "office", "curlewpoint.dead"];

struct TriggerSetup {
    broker: TestBroker,
    list: TestListService,
    folder: PathBuf,
}

impl Drop for TriggerSetup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl TriggerSetup {
    async fn open(test: &str, workers: &[&ScriptedWorker]) -> TriggerSetup {
        let broker = TestBroker::start("127.0.0.1:0", &QUEUES).await.unwrap();
        let list = TestListService::start("127.0.0.1:0", &Transcript::default(), Time(0)).await.unwrap();
        workers.iter().for_each(|w| name(&list, w, Lifecycle::Ready));
        let folder = std::env::temp_dir().join(format!("curlewpoint-amqp-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        TriggerSetup { broker, list, folder }
    }

    fn config(&self, instance: &str) -> Config {
        let journal = self.folder.join(instance).display().to_string();
        let c = config()
            .with_value("name", instance)
            .with_value("list", &self.list.address.to_string())
            .with_value("seed", "7");
        c.with_block_value("amqp", "address", &self.broker.address.to_string())
            .with_block_value("amqp", "journal", &journal)
            .with_block_value("amqp", "amqp-back-off", "20ms")
    }

    async fn gateway(&self, instance: &str) -> RunningScheduler {
        curlewpoint_gateway::start(&self.config(instance)).await.unwrap()
    }

    fn ask(&self, queue: &str, id: &str, with: impl FnOnce(AMQPProperties) -> AMQPProperties) {
        let mut headers = FieldTable::default();
        headers.insert("model".into(), AMQPValue::LongString("births".into()));
        let plain = AMQPProperties::default()
            .with_message_id(id.into())
            .with_reply_to("office".into())
            .with_expiration("4000".into())
            .with_headers(headers);
        self.broker.enqueue(queue, with(plain), Bytes::from(id.to_owned()));
    }

    /// Waits until so many messages are in a queue.
    async fn waiting(&self, queue: &str, many: usize) -> Vec<Message> {
        let queues = [queue];
        let coming = self.broker.wait_for_messages(&queues, many);
        let came = tokio::time::timeout(Duration::from_secs(30), coming).await;
        let all = self.broker.messages(queue).await;
        assert!(came.is_ok(), "{} of {many} came to {queue}", all.len());
        all
    }
}

/// What an answer says: to which message, and how it ended.
fn answer(m: &Message) -> (String, String) {
    let word = match m.properties.headers().as_ref().and_then(|h| h.inner().get("answer")) {
        Some(AMQPValue::LongString(s)) => s.to_string(),
        _ => String::new(),
    };
    (m.properties.correlation_id().as_ref().map(ToString::to_string).unwrap_or_default(), word)
}

/// An answer is what the AsyncAPI document says that is published.
fn described(m: &Message, method: &str) {
    let catalogue =
        curlewpoint_catalogue::Catalogue::from_config(&config()).unwrap_or_else(|f| panic!("{f:?}"));
    let document = curlewpoint_catalogue::asyncapi(&catalogue);
    let message = &document["channels"][format!("{method}.answer")]["messages"]["answer"];
    let mut headers = serde_json::Map::new();
    for (name, value) in m.properties.headers().as_ref().unwrap().inner() {
        let AMQPValue::LongString(text) = value else { panic!("{name} is no text") };
        assert!(message["headers"]["properties"][name.as_str()].is_object(), "{name} is not described");
        headers.insert(name.to_string(), text.to_string().into());
    }
    crate::document::fits(&message["headers"], &headers.into()).unwrap();
    assert_eq!(m.properties.content_type().as_ref().map(|t| t.as_str()), message["contentType"].as_str());
    let queue = &document["channels"][method]["bindings"]["amqp"]["queue"]["name"];
    assert!(QUEUES.contains(&queue.as_str().unwrap()));
}

fn said(id: &str, word: &str) -> (String, String) {
    (id.to_owned(), word.to_owned())
}

/// A gateway on a runtime of its own, which ends with all its tasks and sockets as a process that is killed.
struct Killable {
    kill: tokio::sync::oneshot::Sender<()>,
    life: std::thread::JoinHandle<()>,
}

impl Killable {
    async fn start(config: Config) -> Killable {
        let (tell, told) = tokio::sync::oneshot::channel();
        let (kill, killed) = tokio::sync::oneshot::channel::<()>();
        let life = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let running = curlewpoint_gateway::start(&config).await.unwrap();
                tell.send(()).unwrap();
                let _ = killed.await;
                drop(running);
            });
        });
        told.await.unwrap();
        Killable { kill, life }
    }

    async fn kill(self) {
        drop(self.kill);
        tokio::task::spawn_blocking(move || self.life.join().unwrap()).await.unwrap();
    }
}

async fn end(gateway: RunningScheduler) -> curlewpoint_engine::EngineCounters {
    gateway.stop().await;
    gateway.wait().await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_message_is_decided_called_out_answered_and_gone() {
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("plain", &[&a]).await;
    let gateway = o.gateway("front-1").await;
    o.ask(EXTRACTS, "m1", |p| p);
    let asked = a.next_attempt().await;
    let read = |f| asked.1.get_text(f).unwrap().to_owned();
    assert_eq!(
        (read(Field::METHOD), read(Field::MODEL), read(Field::TOKEN)),
        ("issue-extract".into(), "births".into(), "m1".into())
    );
    a.respond(&asked, Outcome::Ok);
    let told = o.waiting("office", 1).await;
    assert_eq!((answer(&told[0]), &told[0].body[..]), (said("m1", "ok"), &b"m1"[..]));
    described(&told[0], "issue-extract");
    let f = end(gateway).await;
    assert_eq!((f.taken, f.ok), (1, 1));
    assert_eq!((o.waiting("office", 1).await.len(), o.waiting(EXTRACTS, 0).await.len()), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_be_read_goes_to_the_dead_letters_and_what_is_refused_is_denied() {
    let a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("poison", &[&a]).await;
    let gateway = o.gateway("front-1").await;
    o.broker.enqueue(
        EXTRACTS,
        AMQPProperties::default().with_reply_to("office".into()),
        Bytes::from_static(b"who"),
    );
    o.ask(EXTRACTS, "late", |p| p.with_timestamp(1_000));
    o.ask(EXTRACTS, "none", |p| {
        let mut headers = FieldTable::default();
        headers.insert("model".into(), AMQPValue::LongString("births".into()));
        headers.insert("tenant".into(), AMQPValue::LongString("nobody".into()));
        // An address that does not exist: its answer is kept with the dead letters.
        p.with_headers(headers).with_reply_to("nowhere".into()).with_timestamp(1_000)
    });
    let told = o.waiting("office", 1).await;
    assert_eq!(answer(&told[0]), said("late", "denied"));
    described(&told[0], "issue-extract");
    let dead = o.waiting("curlewpoint.dead", 2).await;
    assert_eq!(dead.iter().filter(|m| m.body == "who").count(), 1);
    assert_eq!(dead.iter().filter(|m| answer(m) == said("none", "denied")).count(), 1);
    assert_eq!(end(gateway).await.attempts, 0);
}

/// The connection drops while a worker has the extract: it comes again, and the answer is that of the one attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_connection_does_not_run_an_extract_twice() {
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("drop", &[&a]).await;
    let gateway = o.gateway("front-1").await;
    o.ask(EXTRACTS, "m1", |p| p);
    let asked = a.next_attempt().await;
    o.broker.disconnect_all();
    a.respond(&asked, Outcome::Ok);
    let told = o.waiting("office", 1).await;
    assert_eq!(answer(&told[0]), said("m1", "ok"));
    let f = end(gateway).await;
    assert_eq!((f.taken, f.attempts, o.waiting("office", 1).await.len()), (1, 1, 1));
}

/// The connection drops with the commit: before it was done the answer comes with the next delivery, after it there is one.
#[tokio::test(flavor = "multi_thread")]
async fn a_commit_that_is_cut_off_answers_once() {
    for done in [false, true] {
        let mut a = ScriptedWorker::start("a").await;
        let o = TriggerSetup::open(&format!("commit-{done}"), &[&a]).await;
        let gateway = o.gateway("front-1").await;
        o.broker.disconnect_at_commit(done);
        o.ask(EXTRACTS, "m1", |p| p);
        let asked = a.next_attempt().await;
        a.respond(&asked, Outcome::Ok);
        let told = o.waiting("office", 1).await;
        assert_eq!(answer(&told[0]), said("m1", "ok"), "{done}");
        let f = end(gateway).await;
        assert_eq!((f.attempts, o.waiting("office", 1).await.len()), (1, 1), "{done}");
        assert_eq!(o.waiting(EXTRACTS, 0).await.len(), 0);
    }
}

/// One instance is killed while it has the extract out; another gets the message, and must not run it.
#[tokio::test(flavor = "multi_thread")]
async fn another_instance_ends_a_redelivered_extract_aborted_and_repeats_a_read() {
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("another", &[&a]).await;
    let first = Killable::start(o.config("front-1")).await;
    o.ask(EXTRACTS, "extract", |p| p);
    o.ask("curlewpoint.read-fields", "read", |p| p);
    let out = [a.next_attempt().await, a.next_attempt().await];
    first.kill().await;
    let second = o.gateway("front-2").await;
    let again = a.next_attempt().await;
    assert_eq!(again.1.get_text(Field::METHOD).unwrap(), "read-fields");
    a.respond(&again, Outcome::Ok);
    let mut told: Vec<_> = o.waiting("office", 2).await.iter().map(answer).collect();
    told.sort();
    assert_eq!(told, [said("extract", "aborted"), said("read", "ok")]);
    assert_eq!(end(second).await.attempts, 1);
    drop(out);
}

/// A broker that forgets what it has delivered: the journal of the instance knows.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_kill_the_journal_keeps_an_extract_from_running_twice() {
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("journal", &[&a]).await;
    o.broker.set_faults(BrokerFaults { omits_redelivered: true, ..BrokerFaults::default() });
    let first = Killable::start(o.config("front-1")).await;
    o.ask(EXTRACTS, "m1", |p| p);
    let _out = a.next_attempt().await;
    first.kill().await;
    let next = o.gateway("front-1").await;
    let told = o.waiting("office", 1).await;
    assert_eq!(answer(&told[0]), said("m1", "aborted"));
    assert_eq!(end(next).await.attempts, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_gives_back_what_it_has_not_sent_and_answers_the_rest() {
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("stop", &[&a]).await;
    let gateway = o.gateway("front-1").await;
    o.ask(EXTRACTS, "m1", |p| p);
    let asked = a.next_attempt().await;
    gateway.stop().await;
    o.ask(EXTRACTS, "m2", |p| p);
    a.respond(&asked, Outcome::Ok);
    assert_eq!(gateway.wait().await.ok, 1);
    assert_eq!(answer(&o.waiting("office", 1).await[0]), said("m1", "ok"));
    // Another instance serves the one that was left, as it was not sent.
    let next = o.gateway("front-2").await;
    let left = a.next_attempt().await;
    a.respond(&left, Outcome::Ok);
    let told: Vec<_> = o.waiting("office", 2).await.iter().map(answer).collect();
    assert_eq!(told[1], said("m2", "ok"));
    end(next).await;
}

/// A requester that is not of our making: another client library declares its queue, asks with confirms, and reads the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_library_of_others_is_served() {
    use amqprs::channel::{
        BasicConsumeArguments, BasicPublishArguments, ConfirmSelectArguments, QueueDeclareArguments,
    };
    use amqprs::connection::{Connection, OpenConnectionArguments};
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("library", &[&a]).await;
    let gateway = o.gateway("front-1").await;
    let port = o.broker.address.port();
    let connection =
        Connection::open(&OpenConnectionArguments::new("127.0.0.1", port, "guest", "guest")).await.unwrap();
    let channel = connection.open_channel(None).await.unwrap();
    channel.queue_declare(QueueDeclareArguments::durable_client_named("replies")).await.unwrap();
    channel.confirm_select(ConfirmSelectArguments::default()).await.unwrap();
    let (_, mut answers) =
        channel.basic_consume_rx(BasicConsumeArguments::new("replies", "me")).await.unwrap();
    let mut headers = amqprs::FieldTable::new();
    headers.insert("model".try_into().unwrap(), amqprs::FieldValue::S("births".try_into().unwrap()));
    let mut properties = amqprs::BasicProperties::default();
    properties.with_message_id("m1").with_reply_to("replies").with_expiration("4000").with_headers(headers);
    let to = BasicPublishArguments::new("", EXTRACTS);
    channel.basic_publish(properties.finish(), b"page 1".to_vec(), to).await.unwrap();
    let asked = a.next_attempt().await;
    a.respond(&asked, Outcome::Ok);
    let answer = answers.recv().await.unwrap();
    let told = answer.basic_properties.unwrap();
    assert_eq!(
        (told.correlation_id().map(String::as_str), answer.content.unwrap()),
        (Some("m1"), b"page 1".to_vec())
    );
    channel.close().await.unwrap();
    connection.close().await.unwrap();
    assert_eq!(end(gateway).await.ok, 1);
}

/// A body that its method's schema refuses is denied with the place, and nothing is sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_fit_is_denied_with_its_place() {
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("unfit", &[&a]).await;
    let schema = "method issue-extract {\n  request-schema asked.json";
    let text = curlewpoint_lab::REHEARSAL_CONFIG.replace("method issue-extract {", schema);
    std::fs::write(o.folder.join("gateway.conf"), text).unwrap();
    std::fs::write(o.folder.join("asked.json"), r#"{"required": ["page"]}"#).unwrap();
    let config = curlewpoint_config::load(o.folder.join("gateway.conf")).unwrap_or_else(|f| panic!("{f}"));
    let config =
        config.with_value("list", &o.list.address.to_string()).with_block_value("amqp", "journal", "journal");
    let config = config.with_block_value("amqp", "address", &o.broker.address.to_string());
    let gateway = curlewpoint_gateway::start(&config).await.unwrap();
    o.ask(EXTRACTS, "m1", |p| p);
    let told = o.waiting("office", 1).await;
    assert_eq!(answer(&told[0]), said("m1", "denied"));
    let why = told[0].properties.headers().as_ref().and_then(|h| h.inner().get("why"));
    assert_eq!(why, Some(&AMQPValue::LongString("unfit: expected value at line 1 column 1".into())));
    o.ask("curlewpoint.read-fields", "m2", |p| p);
    let asked = a.next_attempt().await;
    assert_eq!(asked.1.get_text(Field::TOKEN).unwrap(), "m2", "nothing was sent for the first");
    a.respond(&asked, Outcome::Ok);
    o.waiting("office", 2).await;
    assert_eq!(end(gateway).await.attempts, 1);
}

/// A delivery cut in its middle was never read, but the broker cannot know: it comes again, marked.
#[tokio::test(flavor = "multi_thread")]
async fn a_delivery_cut_in_its_middle_comes_again() {
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("cut", &[&a]).await;
    let gateway = o.gateway("front-1").await;
    for (queue, id, word) in [("curlewpoint.read-fields", "read", "ok"), (EXTRACTS, "extract", "aborted")] {
        o.broker.cut_delivery();
        o.ask(queue, id, |p| p);
        if word == "ok" {
            let asked = a.next_attempt().await;
            a.respond(&asked, Outcome::Ok);
        }
        assert_eq!(
            answer(o.waiting("office", if word == "ok" { 1 } else { 2 }).await.last().unwrap()),
            said(id, word)
        );
    }
    assert_eq!(end(gateway).await.attempts, 1);
}

/// A broker that reads and writes nothing while its connection stays up is given up, and the answer waits for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_broker_that_stands_still_is_given_up_and_its_message_answered_once() {
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("still", &[&a]).await;
    let gateway =
        curlewpoint_gateway::start(&o.config("front-1").with_block_value("amqp", "heartbeat", "1s"))
            .await
            .unwrap();
    o.ask(EXTRACTS, "m1", |p| p.with_expiration("20000".into()));
    let asked = a.next_attempt().await;
    o.broker.set_muted(true);
    a.respond(&asked, Outcome::Ok);
    // Nothing is heard for two heartbeats: another connection is opened. The broker then finds the old one ended.
    let given_up = tokio::time::timeout(Duration::from_secs(30), o.broker.wait_for_connections(2)).await;
    assert!(given_up.is_ok(), "it is not given up");
    o.broker.set_muted(false);
    assert_eq!(answer(&o.waiting("office", 1).await[0]), said("m1", "ok"));
    let f = end(gateway).await;
    assert_eq!((f.attempts, o.waiting("office", 1).await.len()), (1, 1));
}

/// The broker's certificate has to be signed by one of ours and to have the name: one that has not is not spoken to.
#[tokio::test(flavor = "multi_thread")]
async fn a_broker_behind_tls_has_to_be_the_one_that_is_meant() {
    use tokio_rustls::rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};
    let mut a = ScriptedWorker::start("a").await;
    let o = TriggerSetup::open("tls", &[&a]).await;
    let made = rcgen::generate_simple_self_signed(vec!["broker.test".to_owned()]).unwrap();
    std::fs::write(o.folder.join("roots.pem"), made.cert.pem()).unwrap();
    let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(made.signing_key.serialize_der()));
    let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
    let server = tokio_rustls::rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![made.cert.der().clone()], key)
        .unwrap();
    let acceptor = tokio_rustls::TlsAcceptor::from(Arc::new(server));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, behind) = (listener.local_addr().unwrap().to_string(), o.broker.address);
    let (tell, mut refused) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            match acceptor.accept(stream).await {
                Ok(mut clear) => drop(tokio::spawn(async move {
                    let mut inner = tokio::net::TcpStream::connect(behind).await.unwrap();
                    let _ = tokio::io::copy_bidirectional(&mut clear, &mut inner).await;
                })),
                Err(_) => tell.send(()).unwrap(),
            }
        }
    });
    let roots = o.folder.join("roots.pem").display().to_string();
    let tls = o.config("front-1").with_block_value("amqp", "address", &address).with_block_value(
        "amqp",
        "tls-roots",
        &roots,
    );
    let wrong = curlewpoint_gateway::start(&tls.clone().with_block_value("amqp", "tls-name", "other.test"))
        .await
        .unwrap();
    refused.recv().await.unwrap();
    end(wrong).await;
    let right =
        curlewpoint_gateway::start(&tls.with_block_value("amqp", "tls-name", "broker.test")).await.unwrap();
    o.ask(EXTRACTS, "m1", |p| p);
    let asked = a.next_attempt().await;
    a.respond(&asked, Outcome::Ok);
    assert_eq!(answer(&o.waiting("office", 1).await[0]), said("m1", "ok"));
    end(right).await;
    let none = o.config("front-2").with_block_value("amqp", "tls-roots", "/nowhere.pem");
    assert!(curlewpoint_gateway::start(&none).await.is_err());
}

/// Answers every attempt after a while, and counts by message what ran.
fn works(mut a: ScriptedWorker, ran: Arc<Mutex<BTreeMap<String, u32>>>) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let asked = a.next_attempt().await;
            let id = asked.1.get_text(Field::TOKEN).unwrap().to_owned();
            *ran.lock().unwrap().entry(id).or_default() += 1;
            // Some answers take longer, so that there is always something out when trouble comes.
            if asked.1.get_int(Field::TAG).unwrap() % 4 == 0 {
                tokio::time::sleep(Duration::from_millis(15)).await;
            }
            if let Some(say) = a.peers.get(&asked.0) {
                let _ = say.send(Outgoing::Frame(crate::common::encode_answer(&asked.1, Outcome::Ok)));
            }
        }
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_morning_of_trouble_answers_each_message_once() {
    morning(8, 25).await;
}

/// `cargo test -p curlewpoint-lab --test sockets -- --ignored`
#[tokio::test(flavor = "multi_thread")]
#[ignore = "500 extracts and 500 reads"]
async fn a_whole_morning_of_trouble_answers_each_message_once() {
    morning(20, 25).await;
}

/// A morning: extracts and reads over four instances, dropped connections, a killed instance, a broker that blocks and one that
/// cancels. Each message has one answer, no extract ran twice, and each answer is true to what the workers saw.
async fn morning(rounds: usize, each: usize) {
    let ran = Arc::new(Mutex::new(BTreeMap::new()));
    let (a, b) = (ScriptedWorker::start("a").await, ScriptedWorker::start("b").await);
    let o = TriggerSetup::open(&format!("morning-{rounds}"), &[&a, &b]).await;
    let _works = [works(a, Arc::clone(&ran)), works(b, Arc::clone(&ran))];
    let doomed = Killable::start(o.config("front-1")).await;
    let gateways = [o.gateway("front-2").await, o.gateway("front-3").await, o.gateway("front-4").await];
    let mut doomed = Some(doomed);
    for round in 0..rounds {
        for no in 0..each {
            o.ask(EXTRACTS, &format!("extract-{round}-{no}"), |p| p.with_expiration("20000".into()));
            o.ask("curlewpoint.read-fields", &format!("read-{round}-{no}"), |p| {
                p.with_expiration("20000".into())
            });
        }
        // Trouble comes when some of the round is answered and some is not.
        o.waiting("office", (round * 2 * each + each / 2).min(round * 2 * each + 5)).await;
        match round % 8 {
            1 | 3 | 6 => o.broker.disconnect_all(),
            2 => o.broker.set_blocked(true),
            4 => {
                if let Some(doomed) = doomed.take() {
                    doomed.kill().await;
                }
            }
            5 => o.broker.cancel_consumers(EXTRACTS),
            _ => {}
        }
        if round % 8 == 2 {
            o.broker.set_blocked(false);
        }
        o.waiting("office", (round + 1) * 2 * each).await;
    }
    let told: Vec<_> = o.waiting("office", 2 * rounds * each).await.iter().map(answer).collect();
    let ids: BTreeSet<&String> = told.iter().map(|t| &t.0).collect();
    assert_eq!((told.len(), ids.len()), (2 * rounds * each, 2 * rounds * each), "one answer each");
    let mut figures = BTreeMap::new();
    for (id, word) in &told {
        let times = ran.lock().unwrap().get(id).copied().unwrap_or(0);
        *figures.entry(word.as_str()).or_insert(0) += 1;
        if id.starts_with("extract") {
            assert!(times <= 1, "{id} ran {times} times");
            assert!(word != "denied" || times == 0, "{id} was denied and ran");
        }
        assert!(word != "ok" || times > 0, "{id} is ok and never ran");
    }
    assert!(figures["ok"] > rounds * each, "{figures:?}");
    assert!(o.waiting("curlewpoint.dead", 0).await.is_empty());
    for gateway in gateways {
        let f = end(gateway).await;
        assert_eq!(f.taken, f.ok + f.denied + f.aborted);
    }
}
