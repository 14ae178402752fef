//! Triggers through one gateway: messages a second out of a full queue, and how long one takes at a steady rate, by how many
//! are held, with a journal (extracts) and without one (reads), and by the journal's delay. Broker, gateway, eight workers
//! that answer at once and the load share this machine.

use std::time::{Duration, Instant};

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use bytes::Bytes;
use curlewpoint::types::{Lifecycle, Outcome, Time};
use curlewpoint_emulator::ListEntry;
use curlewpoint_lab::test_servers::{ScriptedWorker, TestBroker, TestListService};
use curlewpoint_lab::{Transcript, REHEARSAL_CONFIG};
use hdrhistogram::Histogram;

const BACKLOG: usize = 8_000;
const STEADY: u64 = 500;
const SPAN: Duration = Duration::from_secs(4);

struct TriggerBench {
    broker: TestBroker,
    list: TestListService,
    workers: Vec<tokio::task::JoinHandle<()>>,
}

impl TriggerBench {
    async fn start() -> TriggerBench {
        let queues = ["curlewpoint.issue-extract", "curlewpoint.read-fields", "curlewpoint.read-register"];
        let queues = [&queues[..], &["office", "probe", "curlewpoint.dead"]].concat();
        let broker = TestBroker::start("127.0.0.1:0", &queues).await.expect("loopback");
        let list =
            TestListService::start("127.0.0.1:0", &Transcript::default(), Time(0)).await.expect("loopback");
        let mut workers = Vec::new();
        for no in 0..8 {
            let mut worker = ScriptedWorker::start(&format!("w{no}")).await;
            let (zone, cell, address) = (String::new(), String::new(), worker.address.to_string());
            let row = ListEntry {
                address,
                lifecycle: Lifecycle::Ready,
                start_id: 1,
                started_at: None,
                zone,
                cell,
                size: 1.0,
            };
            list.set_entry(&worker.name, row);
            workers.push(tokio::spawn(async move {
                loop {
                    let asked = worker.next_attempt().await;
                    if worker.peers.contains_key(&asked.0) {
                        worker.respond(&asked, Outcome::Ok);
                    }
                }
            }));
        }
        TriggerBench { broker, list, workers }
    }

    fn put(&self, queue: &str, id: u64, body: Bytes) {
        let mut headers = FieldTable::default();
        let model = format!("model-{}", id % 40);
        headers.insert("model".into(), AMQPValue::LongString(model.as_str().into()));
        let properties = AMQPProperties::default()
            .with_message_id(format!("m{id}").into())
            .with_reply_to("office".into())
            .with_headers(headers);
        self.broker.enqueue(queue, properties, body);
    }

    async fn wait_for_answers(&self, many: usize) {
        let began = Instant::now();
        while self.broker.message_count("office").await < many && began.elapsed().as_secs() < 60 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

async fn measure(method: &str, held: &str, delay: &str) {
    let rig = TriggerBench::start().await;
    let queue = format!("curlewpoint.{method}");
    let folder = std::env::temp_dir()
        .join(format!("curlewpoint-triggers-{}-{method}-{held}-{delay}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let config =
        curlewpoint_config::parse("rehearsal.conf", &REHEARSAL_CONFIG.replace("deadline 4s", "deadline 60s"));
    let config =
        config.expect("shipped").with_value("list", &rig.list.address.to_string()).with_value("seed", "1");
    let config = config
        .with_block_value("amqp", "address", &rig.broker.address.to_string())
        .with_block_value("amqp", "journal", &folder.join("journal").display().to_string())
        .with_block_value("amqp", "journal-delay", delay)
        .with_block_value("amqp", "most-held", held);
    let gateway = curlewpoint_gateway::start(&config).await.expect("it starts");
    // Some to open the window with, before what is counted.
    (0..2_000).for_each(|id| rig.put(&queue, id, Bytes::new()));
    rig.wait_for_answers(2_000).await;
    let began = Instant::now();
    (0..BACKLOG as u64).for_each(|id| rig.put(&queue, 10_000 + id, Bytes::new()));
    rig.wait_for_answers(2_000 + BACKLOG).await;
    let rate = BACKLOG as f64 / began.elapsed().as_secs_f64();
    // At a steady rate: the answer's time of arrival at the broker, by the broker's clock.
    rig.broker.enqueue("probe", AMQPProperties::default(), Bytes::new());
    let zero = rig.broker.messages("probe").await[0].queued_at;
    let start = Instant::now();
    let total = STEADY * SPAN.as_secs();
    for no in 0..total {
        tokio::time::sleep_until((start + Duration::from_secs_f64(no as f64 / STEADY as f64)).into()).await;
        let at = (start.elapsed().as_micros() / 100) as u64;
        rig.put(&queue, 100_000 + no, Bytes::copy_from_slice(&at.to_be_bytes()));
    }
    rig.wait_for_answers(2_000 + BACKLOG + total as usize).await;
    let mut took = Histogram::<u64>::new(3).expect("three digits");
    for m in rig.broker.messages("office").await.iter().filter(|m| m.body.len() == 8) {
        let sent = u64::from_be_bytes(m.body[..].try_into().unwrap_or_default());
        let _ = took.record((m.queued_at - zero).0.saturating_sub(sent) * 100);
    }
    let ms = |q| took.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "{method:13} held {held:>4}, journal delay {delay:>4}: {rate:6.0} a second; at {STEADY} a second p50 {:5.1} ms, p99 {:5.1} ms",
        ms(0.5),
        ms(0.99)
    );
    gateway.stop().await;
    gateway.wait().await;
    rig.workers.iter().for_each(tokio::task::JoinHandle::abort);
    let _ = std::fs::remove_dir_all(&folder);
}

fn main() {
    // `cargo test` runs benches too; the measurement is for `cargo bench` alone.
    if std::env::args().any(|a| a == "--bench") {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let cores = std::thread::available_parallelism().map_or(0, |n| n.get());
            println!("{cores} cores, a queue of {BACKLOG}, 8 workers that answer at once");
            for held in ["2", "16", "256"] {
                measure("read-fields", held, "0ms").await;
                measure("issue-extract", held, "0ms").await;
            }
            for delay in ["2ms", "10ms"] {
                measure("issue-extract", "256", delay).await;
            }
        });
    }
}
