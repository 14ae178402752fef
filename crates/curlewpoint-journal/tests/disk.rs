//! The journal on a simulated disk that loses power, tears writes, corrupts bytes, is full, read-only or slow.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_journal::{Journal, JournalError, JournalLimits, RecordVisitor};
use curlewpoint_trigger::{AnswerKind, FinalAnswer, MessageKey};
use oorandom::Rand64;
use proptest::prelude::*;
use redb::{Builder, Database, DatabaseError, StorageBackend};
use test_case::test_case;

/// Contents and faults of a simulated disk.
#[derive(Debug, Default)]
struct DiskState {
    /// Contents as of the last sync, which survive a crash.
    durable: Vec<u8>,
    /// Contents including unsynced writes.
    current: Vec<u8>,
    /// Writes since the last sync, with their offsets.
    unsynced: Vec<(u64, Vec<u8>)>,
    /// Number of writes and syncs that still succeed. None: no limit.
    write_budget: Option<u64>,
    read_only: bool,
    syncs: u64,
    /// Duration of a sync.
    sync_time: Duration,
}

/// A disk in memory. Clones share its state.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    fn with<T>(&self, work: impl FnOnce(&mut DiskState) -> T) -> T {
        work(&mut self.0.lock().unwrap())
    }

    fn use_budget(p: &mut DiskState) -> std::io::Result<()> {
        if p.read_only {
            return Err(std::io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match &mut p.write_budget {
            Some(0) => Err(std::io::ErrorKind::StorageFull.into()),
            Some(writes_left) => {
                *writes_left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Simulates a power loss: each unsynced write is kept, lost or truncated at random.
    fn crash(&self, rng: &mut Rand64) {
        self.with(|p| {
            for (offset, data) in std::mem::take(&mut p.unsynced) {
                let kept = match rng.rand_range(0..3) {
                    0 => 0,
                    1 => data.len(),
                    _ => rng.rand_range(0..data.len() as u64 + 1) as usize,
                };
                let end = offset as usize + kept;
                if p.durable.len() < end {
                    p.durable.resize(end, 0);
                }
                p.durable[offset as usize..end].copy_from_slice(&data[..kept]);
            }
            p.current = p.durable.clone();
            (p.write_budget, p.read_only) = (None, false);
        });
    }

    fn open(&self) -> Box<dyn Fn() -> Result<Database, DatabaseError> + Send> {
        let disk = self.clone();
        Box::new(move || {
            Builder::new()
                .set_check_integrity_on_open(true)
                .set_cache_size(1 << 20)
                .create_with_backend(disk.clone())
        })
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.with(|p| p.current.len() as u64))
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.with(|p| {
            let from = offset as usize;
            let found = p.current.get(from..from + out.len());
            out.copy_from_slice(found.ok_or(std::io::ErrorKind::UnexpectedEof)?);
            Ok(())
        })
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.with(|p| {
            Disk::use_budget(p)?;
            p.current.resize(len as usize, 0);
            // The file's length is durable at once, so that torn writes can be applied after a crash.
            p.durable.resize(len as usize, 0);
            p.unsynced.retain(|(offset, data)| offset + data.len() as u64 <= len);
            Ok(())
        })
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.with(|p| {
            Disk::use_budget(p)?;
            std::thread::sleep(p.sync_time);
            p.syncs += 1;
            p.unsynced.clear();
            p.durable = p.current.clone();
            Ok(())
        })
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.with(|p| {
            Disk::use_budget(p)?;
            let end = offset as usize + data.len();
            if p.current.len() < end {
                p.current.resize(end, 0);
            }
            p.current[offset as usize..end].copy_from_slice(data);
            p.unsynced.push((offset, data.to_vec()));
            Ok(())
        })
    }
}

/// The records of a journal.
#[derive(Debug, Default, PartialEq)]
struct Records {
    intents: BTreeMap<String, Time>,
    answers: BTreeMap<String, FinalAnswer>,
}

impl RecordVisitor for Records {
    fn intent(&mut self, key: MessageKey, at: Time) {
        assert!(self.intents.insert(key.id, at).is_none());
    }
    fn answer(&mut self, key: MessageKey, _: Time, answer: FinalAnswer) {
        assert!(self.answers.insert(key.id, answer).is_none());
    }
}

fn key(id: &str) -> MessageKey {
    MessageKey { id: id.to_owned(), reply_to: "office".to_owned() }
}

fn ok() -> FinalAnswer {
    FinalAnswer { kind: AnswerKind::Ok, reason: "done".to_owned(), body: Bytes::from_static(b"%PDF") }
}

fn open(disk: &Disk) -> (Journal, Records) {
    let mut records = Records::default();
    let limits = JournalLimits { commit_delay: Duration::ZERO, ..JournalLimits::default() };
    let journal = Journal::open_with(disk.open(), limits, &mut records).unwrap();
    (journal, records)
}

/// Writes an intent and waits for the result.
fn write_intent(journal: &Journal, id: &str) -> bool {
    let (result_tx, result_rx) = channel();
    journal.write_intent(&key(id), Time(7), move |written| result_tx.send(written).unwrap());
    result_rx.recv().unwrap()
}

#[test]
fn the_next_run_reads_the_records() {
    let disk = Disk::default();
    let (journal, records) = open(&disk);
    assert_eq!(records, Records::default());
    assert!(["a", "b", "c"].iter().all(|id| write_intent(&journal, id)));
    journal.write_answer(&key("b"), Time(9), &ok());
    journal.remove(&key("c"));
    drop(journal);
    let (journal, records) = open(&disk);
    assert_eq!(records.intents, BTreeMap::from([("a".to_owned(), Time(7))]));
    assert_eq!(records.answers, BTreeMap::from([("b".to_owned(), ok())]));
    assert_eq!(journal.stats().records, 2);
}

#[test]
fn a_full_disk_refuses_intents_until_there_is_space_again() {
    let disk = Disk::default();
    let (journal, _) = open(&disk);
    assert!(write_intent(&journal, "a"));
    disk.with(|p| p.write_budget = Some(1));
    assert!(!write_intent(&journal, "b"));
    journal.remove(&key("a"));
    assert!(!write_intent(&journal, "c"), "the disk is still full");
    disk.with(|p| p.write_budget = None);
    // The store is reopened after the backoff, not at once.
    let began = std::time::Instant::now();
    while !write_intent(&journal, "d") {
        assert!(began.elapsed() < Duration::from_secs(20), "the journal is never written again");
    }
    let stats = journal.stats();
    assert!(stats.failed_commits >= 2 && stats.failed_intents >= 2, "{stats:?}");
    drop(journal);
    let records = open(&disk).1;
    assert!(
        records.intents.contains_key("d") && !records.intents.contains_key("a"),
        "writes of failed commits are made up for: {records:?}"
    );
}

/// Intents that arrive during a slow sync share the next one, so that the wait does not grow with their number.
#[test]
fn intents_share_the_syncs_of_a_slow_disk() {
    let disk = Disk::default();
    let (journal, _) = open(&disk);
    disk.with(|p| (p.sync_time, p.syncs) = (Duration::from_millis(20), 0));
    let (result_tx, result_rx) = channel();
    for number in 0..500 {
        let result_tx = result_tx.clone();
        journal.write_intent(&key(&format!("m{number}")), Time(1), move |written| {
            result_tx.send(written).unwrap()
        });
    }
    assert!((0..500).all(|_| result_rx.recv().unwrap()));
    let syncs = disk.with(|p| p.syncs);
    assert!(syncs < 50, "{syncs} syncs for 500 intents");
}

#[test]
fn a_read_only_disk_is_reported_at_the_start_or_at_the_first_intent() {
    let disk = Disk::default();
    let (journal, _) = open(&disk);
    disk.with(|p| p.read_only = true);
    assert!(!write_intent(&journal, "a"));
    drop(journal);
    let new = Disk::default();
    new.with(|p| p.read_only = true);
    let result = Journal::open_with(new.open(), JournalLimits::default(), &mut Records::default());
    assert!(matches!(result, Err(JournalError::Disk(_))));
}

#[test]
fn the_size_is_limited_and_a_long_answer_leaves_its_intent() {
    let disk = Disk::default();
    let limits = JournalLimits { commit_delay: Duration::ZERO, max_bytes: 200, max_answer_bytes: 64 };
    let journal = Journal::open_with(disk.open(), limits, &mut Records::default()).unwrap();
    let accepted = (0..40).filter(|number| write_intent(&journal, &format!("m{number}"))).count();
    assert!((5..30).contains(&accepted), "{accepted}");
    journal.write_answer(&key("m0"), Time(9), &FinalAnswer { body: vec![7; 100].into(), ..ok() });
    (1..accepted).for_each(|number| journal.remove(&key(&format!("m{number}"))));
    assert!(write_intent(&journal, "n"), "removed records free space");
    drop(journal);
    let records = open(&disk).1;
    assert_eq!(records.intents.keys().collect::<Vec<_>>(), ["m0", "n"]);
    assert!(records.answers.is_empty());
}

/// A journal with a flipped bit must not lose records unnoticed: it is refused, or it holds the same records as before.
#[test]
fn a_flipped_bit_is_detected_or_harmless() {
    let disk = Disk::default();
    let (journal, _) = open(&disk);
    assert!((0..50).all(|number| write_intent(&journal, &format!("m{number}"))));
    drop(journal);
    let (intact, before) = (disk.with(|p| p.current.clone()), open(&disk).1);
    let (mut rng, mut refused) = (Rand64::new(3), 0);
    for _ in 0..200 {
        let at = rng.rand_range(0..intact.len() as u64) as usize;
        let mut flipped = intact.clone();
        flipped[at] ^= 1 << rng.rand_range(0..8);
        let copy = Disk::default();
        copy.with(|p| (p.current, p.durable) = (flipped.clone(), flipped));
        let mut records = Records::default();
        match Journal::open_with(copy.open(), JournalLimits::default(), &mut records) {
            Ok(_) => assert_eq!(records, before, "byte {at}"),
            Err(_) => refused += 1,
        }
    }
    assert!(refused > 0, "no flip hit data");
}

#[test_case(0, 100..=300 ; "without a delay single intents are committed one by one")]
#[test_case(20, 1..=20 ; "with a delay intents share commits")]
fn the_commit_delay_determines_the_number_of_commits(delay: u64, commits: std::ops::RangeInclusive<u64>) {
    let disk = Disk::default();
    let limits = JournalLimits { commit_delay: Duration::from_millis(delay), ..JournalLimits::default() };
    let journal = Journal::open_with(disk.open(), limits, &mut Records::default()).unwrap();
    let (result_tx, result_rx) = channel();
    if delay == 0 {
        // Each intent is awaited before the next one is written, so each has its own commit.
        assert!((0..100).all(|number| write_intent(&journal, &format!("m{number}"))));
    } else {
        for number in 0..1_000 {
            let result_tx = result_tx.clone();
            journal.write_intent(&key(&format!("m{number}")), Time(1), move |written| {
                result_tx.send(written).unwrap()
            });
        }
        assert!((0..1_000).all(|_| result_rx.recv().unwrap()));
    }
    assert!(commits.contains(&journal.stats().commits), "{:?}", journal.stats());
}

#[derive(Clone, Debug)]
enum Step {
    WriteIntent(u8),
    WriteAnswer(u8),
    Remove(u8),
    /// The process exits normally (true), or its machine loses power.
    Restart(bool),
    /// The disk fails after this number of further writes.
    WriteBudget(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u8..12).prop_map(Step::WriteIntent),
        3 => (0u8..12).prop_map(Step::WriteAnswer),
        3 => (0u8..12).prop_map(Step::Remove),
        2 => any::<bool>().prop_map(Step::Restart),
        1 => (0u8..20).prop_map(Step::WriteBudget),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]
    /// An intent that was reported as written and not removed since survives every crash, whatever it leaves of the last writes.
    #[test]
    fn a_crash_loses_no_intent_that_was_reported_as_written(steps in proptest::collection::vec(step(), 1..40), seed in any::<u64>()) {
        let (disk, mut rng) = (Disk::default(), Rand64::new(u128::from(seed)));
        let mut journal = open(&disk).0;
        let mut written: BTreeSet<u8> = BTreeSet::new();
        for step in steps {
            match step {
                Step::WriteIntent(number) => {
                    if write_intent(&journal, &number.to_string()) {
                        written.insert(number);
                    }
                }
                Step::WriteAnswer(number) if written.contains(&number) => journal.write_answer(&key(&number.to_string()), Time(8), &ok()),
                Step::Remove(number) => {
                    written.remove(&number);
                    journal.remove(&key(&number.to_string()));
                }
                Step::WriteAnswer(_) => {}
                Step::WriteBudget(writes) => disk.with(|p| p.write_budget = Some(u64::from(writes))),
                Step::Restart(exits_normally) => {
                    if exits_normally {
                        disk.with(|p| p.write_budget = None);
                        drop(journal);
                    } else {
                        // The power fails while the writer may be at work: its later writes do not reach the disk.
                        let after_crash = Disk::default();
                        after_crash.with(|d| disk.with(|p| {
                            (d.durable, d.current, d.unsynced) = (p.durable.clone(), p.current.clone(), p.unsynced.clone());
                            p.write_budget = Some(0);
                        }));
                        drop(journal);
                        after_crash.crash(&mut rng);
                        disk.with(|p| after_crash.with(|d| {
                            (p.durable, p.current) = (d.durable.clone(), d.current.clone());
                            (p.unsynced, p.write_budget) = (Vec::new(), None);
                        }));
                    }
                    let (next, records) = open(&disk);
                    journal = next;
                    for number in &written {
                        let id = number.to_string();
                        prop_assert!(records.intents.contains_key(&id) || records.answers.contains_key(&id), "intent {} is lost", number);
                    }
                }
            }
        }
    }
}
