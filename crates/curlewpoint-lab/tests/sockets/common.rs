//! What the tests on sockets share: a gateway, a list service, and workers that do as a test says.

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_config::Config;
use curlewpoint_emulator::Row;
use curlewpoint_gateway::RunningScheduler;
use curlewpoint_lab::stand::ListStand;
pub use curlewpoint_lab::stand::{answer, Puppet};
use curlewpoint_lab::{Office, Record, Seen, CONFIG};

pub fn config() -> Config {
    patient(curlewpoint_config::parse("rehearsal.conf", CONFIG).expect("it is shipped"))
}

/// A dial that hangs counts as a dead worker only after so long that no busy machine comes near it: no test on sockets is
/// about dials that hang.
pub fn patient(config: Config) -> Config {
    config.with_block_value("connections", "dial-limit", "20s")
}

/// A gateway with its list service, and a client.
pub struct Stage {
    pub record: Record,
    pub list: ListStand,
    pub gateway: RunningScheduler,
    pub office: Office,
}

impl Stage {
    pub async fn with(config: Config, workers: &[&Puppet]) -> Stage {
        let record = Record::default();
        let list = ListStand::start("127.0.0.1:0", &record, Time(0)).await.expect("loopback");
        workers.iter().for_each(|w| name(&list, w, Lifecycle::Ready));
        let config = patient(config).with_value("list", &list.address.to_string());
        let gateway = curlewpoint_gateway::start(&config).await.expect("loopback");
        let office = Office::open(&gateway.address.to_string(), "front", &record).await.expect("it serves");
        Stage { record, list, gateway, office }
    }

    pub async fn new(workers: &[&Puppet]) -> Stage {
        Stage::with(config().with_value("seed", "7"), workers).await
    }

    pub fn ask(&self, key: u64, method: &str, left_ms: u64) {
        self.office.ask(key, method, "model", "", Time(left_ms * 10), 64);
    }

    /// Waits until what was seen holds this, and gives it with its time.
    pub async fn until(&self, wanted: impl Fn(&Seen) -> bool) -> (Time, Seen) {
        let found = self.record.until(|all| all.into_iter().find(|(_, s)| wanted(s)));
        let found = tokio::time::timeout(std::time::Duration::from_secs(30), found).await;
        found.unwrap_or_else(|_| panic!("what was waited for did not come: {:?}", self.record.all()))
    }

    pub async fn final_of(&self, key: u64) -> curlewpoint_engine::Answer {
        match self.until(|s| matches!(s, Seen::Final { key: k, .. } if *k == key)).await.1 {
            Seen::Final { answer, .. } => answer,
            _ => unreachable!("it was looked for"),
        }
    }

    pub fn finals(&self, key: u64) -> usize {
        self.record.all().iter().filter(|(_, s)| matches!(s, Seen::Final { key: k, .. } if *k == key)).count()
    }
}

pub fn name(list: &ListStand, w: &Puppet, standing: Lifecycle) {
    let (zone, cell) = ("z".to_owned(), "c".to_owned());
    let row = Row { address: w.address.to_string(), standing, start: 1, since: None, zone, cell, size: 1.0 };
    list.set(&w.name, row);
}
