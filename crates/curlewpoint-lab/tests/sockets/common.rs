//! What the tests on sockets share: a gateway, a list service, and workers that do as a test says.

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_config::Config;
use curlewpoint_emulator::ListEntry;
use curlewpoint_gateway::RunningScheduler;
use curlewpoint_lab::test_servers::TestListService;
pub use curlewpoint_lab::test_servers::{encode_answer, ScriptedWorker};
use curlewpoint_lab::{NativeClient, Transcript, TranscriptEvent, REHEARSAL_CONFIG};

pub fn config() -> Config {
    patient(curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).expect("it is shipped"))
}

/// A dial that hangs counts as a dead worker only after so long that no busy machine comes near it: no test on sockets is
/// about dials that hang.
pub fn patient(config: Config) -> Config {
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
        workers.iter().for_each(|w| name(&list, w, Lifecycle::Ready));
        let config = patient(config).with_value("list", &list.address.to_string());
        let gateway = curlewpoint_gateway::start(&config).await.expect("loopback");
        let client =
            NativeClient::open(&gateway.address.to_string(), "front", &transcript).await.expect("it serves");
        Stage { transcript, list, gateway, client }
    }

    pub async fn new(workers: &[&ScriptedWorker]) -> Stage {
        Stage::with(config().with_value("seed", "7"), workers).await
    }

    pub fn ask(&self, key: u64, method: &str, left_ms: u64) {
        self.client.send_rpc(key, method, "model", "", Time(left_ms * 10), 64);
    }

    /// Waits until what was seen holds this, and gives it with its time.
    pub async fn until(&self, wanted: impl Fn(&TranscriptEvent) -> bool) -> (Time, TranscriptEvent) {
        let found = self.transcript.wait_for(|all| all.into_iter().find(|(_, s)| wanted(s)));
        let found = tokio::time::timeout(std::time::Duration::from_secs(30), found).await;
        found.unwrap_or_else(|_| panic!("what was waited for did not come: {:?}", self.transcript.events()))
    }

    pub async fn final_of(&self, key: u64) -> curlewpoint_engine::Answer {
        match self.until(|s| matches!(s, TranscriptEvent::FinalAnswer { key: k, .. } if *k == key)).await.1 {
            TranscriptEvent::FinalAnswer { answer, .. } => answer,
            _ => unreachable!("it was looked for"),
        }
    }

    pub fn finals(&self, key: u64) -> usize {
        self.transcript
            .events()
            .iter()
            .filter(|(_, s)| matches!(s, TranscriptEvent::FinalAnswer { key: k, .. } if *k == key))
            .count()
    }
}

pub fn name(list: &TestListService, w: &ScriptedWorker, standing: Lifecycle) {
    let (zone, cell) = ("z".to_owned(), "c".to_owned());
    let row = ListEntry {
        address: w.address.to_string(),
        lifecycle: standing,
        start_id: 1,
        started_at: None,
        zone,
        cell,
        size: 1.0,
    };
    list.set_entry(&w.name, row);
}
