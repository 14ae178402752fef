//! Shared by the tests on sockets: a gateway, a list service, a client and scripted workers.

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_config::Config;
use curlewpoint_emulator::ListEntry;
use curlewpoint_gateway::RunningScheduler;
use curlewpoint_lab::test_servers::wire::PeerId;
use curlewpoint_lab::test_servers::TestListService;
pub use curlewpoint_lab::test_servers::{encode_answer, ScriptedWorker};
use curlewpoint_lab::{NativeClient, Transcript, TranscriptEvent, REHEARSAL_CONFIG};
use curlewpoint_wire::Frame;

pub fn config() -> Config {
    with_long_dial_limit(
        curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("it is shipped"),
    )
}

/// Raises the dial limit far above any delay of a busy machine: none of these tests is about dials that hang, and a hung
/// dial counts as a dead worker.
pub fn with_long_dial_limit(config: Config) -> Config {
    config.with_block_value("connections", "dial-limit", "20s")
}

/// A gateway with its list service, and a client.
pub struct Stage {
    pub transcript: Transcript,
    pub list: TestListService,
    pub gateway: RunningScheduler,
    pub client: NativeClient,
}

impl Stage {
    pub async fn with(config: Config, workers: &[&ScriptedWorker]) -> Stage {
        let transcript = Transcript::default();
        let list = TestListService::start("127.0.0.1:0", &transcript, Time(0)).await.expect("loopback");
        workers.iter().for_each(|w| publish_worker(&list, w, Lifecycle::Ready));
        let config = with_long_dial_limit(config).with_value("list", &list.address.to_string());
        let gateway = curlewpoint_gateway::start(&config).await.expect("loopback");
        let client =
            NativeClient::open(&gateway.address.to_string(), "front", &transcript).await.expect("it serves");
        Stage { transcript, list, gateway, client }
    }

    pub async fn new(workers: &[&ScriptedWorker]) -> Stage {
        Stage::with(config().with_value("seed", "7"), workers).await
    }

    pub fn send_rpc(&self, key: u64, method: &str, time_left_ms: u64) {
        self.client.send_rpc(key, method, "model", "", Time(time_left_ms * 10), 64);
    }

    /// Waits for an event and returns it with its time.
    pub async fn wait_for(&self, wanted: impl Fn(&TranscriptEvent) -> bool) -> (Time, TranscriptEvent) {
        let found = self.transcript.wait_for(|all| all.into_iter().find(|(_, s)| wanted(s)));
        let found = tokio::time::timeout(std::time::Duration::from_secs(30), found).await;
        found.unwrap_or_else(|_| panic!("the event did not occur: {:?}", self.transcript.events()))
    }

    /// Waits for the next attempt at a worker, and fails the test with what has happened if none comes.
    pub async fn next_attempt(&self, worker: &mut ScriptedWorker) -> (PeerId, Frame) {
        let attempt = tokio::time::timeout(std::time::Duration::from_secs(30), worker.next_attempt()).await;
        attempt.unwrap_or_else(|_| panic!("no attempt came: {:?}", self.transcript.events()))
    }

    pub async fn final_answer(&self, key: u64) -> curlewpoint_engine::Answer {
        match self.wait_for(|s| matches!(s, TranscriptEvent::FinalAnswer { key: k, .. } if *k == key)).await.1
        {
            TranscriptEvent::FinalAnswer { answer, .. } => answer,
            _ => unreachable!("only final answers match"),
        }
    }

    pub fn final_answer_count(&self, key: u64) -> usize {
        self.transcript
            .events()
            .iter()
            .filter(|(_, s)| matches!(s, TranscriptEvent::FinalAnswer { key: k, .. } if *k == key))
            .count()
    }
}

/// Publishes a worker's entry in the list service.
pub fn publish_worker(list: &TestListService, w: &ScriptedWorker, lifecycle: Lifecycle) {
    let (zone, cell) = ("z".to_owned(), "c".to_owned());
    let entry = ListEntry {
        address: w.address.to_string(),
        lifecycle,
        start_id: 1,
        started_at: None,
        zone,
        cell,
        size: 1.0,
    };
    list.set_entry(&w.name, entry);
}
