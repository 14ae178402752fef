//! The journal on a disk that crashes, tears writes, flips bytes, is full, read-only or slow.

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

#[derive(Debug, Default)]
struct Platter {
    /// What a crash leaves, and what was written since the last sync.
    durable: Vec<u8>,
    now: Vec<u8>,
    since: Vec<(u64, Vec<u8>)>,
    /// Writes and syncs that still succeed; none: all do.
    budget: Option<u64>,
    read_only: bool,
    syncs: u64,
    /// How long a sync takes.
    slow: Duration,
}

/// A disk in memory; clones are the same one.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Platter>>);

impl Disk {
    fn with<T>(&self, work: impl FnOnce(&mut Platter) -> T) -> T {
        work(&mut self.0.lock().unwrap())
    }

    fn spend(p: &mut Platter) -> std::io::Result<()> {
        if p.read_only {
            return Err(std::io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match &mut p.budget {
            Some(0) => Err(std::io::ErrorKind::StorageFull.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// The machine loses its power: of what was not synced any part may be there, each write perhaps cut short.
    fn crash(&self, rng: &mut Rand64) {
        self.with(|p| {
            for (offset, data) in std::mem::take(&mut p.since) {
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
            p.now = p.durable.clone();
            (p.budget, p.read_only) = (None, false);
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
        Ok(self.with(|p| p.now.len() as u64))
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.with(|p| {
            let from = offset as usize;
            let found = p.now.get(from..from + out.len());
            out.copy_from_slice(found.ok_or(std::io::ErrorKind::UnexpectedEof)?);
            Ok(())
        })
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.with(|p| {
            Disk::spend(p)?;
            p.now.resize(len as usize, 0);
            // A file's length is as durable as the system makes it: here at once, which makes room for torn writes.
            p.durable.resize(len as usize, 0);
            p.since.retain(|(offset, data)| offset + data.len() as u64 <= len);
            Ok(())
        })
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.with(|p| {
            Disk::spend(p)?;
            std::thread::sleep(p.slow);
            p.syncs += 1;
            p.since.clear();
            p.durable = p.now.clone();
            Ok(())
        })
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.with(|p| {
            Disk::spend(p)?;
            let end = offset as usize + data.len();
            if p.now.len() < end {
                p.now.resize(end, 0);
            }
            p.now[offset as usize..end].copy_from_slice(data);
            p.since.push((offset, data.to_vec()));
            Ok(())
        })
    }
}

/// What a journal holds.
#[derive(Debug, Default, PartialEq)]
struct Held {
    intents: BTreeMap<String, Time>,
    answers: BTreeMap<String, FinalAnswer>,
}

impl RecordVisitor for Held {
    fn intent(&mut self, name: MessageKey, at: Time) {
        assert!(self.intents.insert(name.id, at).is_none());
    }
    fn answer(&mut self, name: MessageKey, _: Time, answer: FinalAnswer) {
        assert!(self.answers.insert(name.id, answer).is_none());
    }
}

fn name(id: &str) -> MessageKey {
    MessageKey { id: id.to_owned(), reply_to: "office".to_owned() }
}

fn ok() -> FinalAnswer {
    FinalAnswer { kind: AnswerKind::Ok, reason: "done".to_owned(), body: Bytes::from_static(b"%PDF") }
}

fn open(disk: &Disk) -> (Journal, Held) {
    let mut held = Held::default();
    let limits = JournalLimits { commit_delay: Duration::ZERO, ..JournalLimits::default() };
    let journal = Journal::open_with(disk.open(), limits, &mut held).unwrap();
    (journal, held)
}

/// Notes an intent and waits for its word.
fn intend(journal: &Journal, id: &str) -> bool {
    let (tell, told) = channel();
    journal.write_intent(&name(id), Time(7), move |written| tell.send(written).unwrap());
    told.recv().unwrap()
}

#[test]
fn what_was_noted_is_told_to_the_next_run() {
    let disk = Disk::default();
    let (journal, held) = open(&disk);
    assert_eq!(held, Held::default());
    assert!(["a", "b", "c"].iter().all(|id| intend(&journal, id)));
    journal.write_answer(&name("b"), Time(9), &ok());
    journal.remove(&name("c"));
    drop(journal);
    let (journal, held) = open(&disk);
    assert_eq!(held.intents, BTreeMap::from([("a".to_owned(), Time(7))]));
    assert_eq!(held.answers, BTreeMap::from([("b".to_owned(), ok())]));
    assert_eq!(journal.stats().records, 2);
}

#[test]
fn a_full_disk_sends_nothing_and_is_written_again_when_there_is_room() {
    let disk = Disk::default();
    let (journal, _) = open(&disk);
    assert!(intend(&journal, "a"));
    disk.with(|p| p.budget = Some(1));
    assert!(!intend(&journal, "b"));
    journal.remove(&name("a"));
    assert!(!intend(&journal, "c"), "it is still full");
    disk.with(|p| p.budget = None);
    // The store is opened anew after a while, not at once.
    let began = std::time::Instant::now();
    while !intend(&journal, "d") {
        assert!(began.elapsed() < Duration::from_secs(20), "it is never written again");
    }
    let f = journal.stats();
    assert!(f.failed_commits >= 2 && f.lost >= 2, "{f:?}");
    drop(journal);
    let held = open(&disk).1;
    assert!(
        held.intents.contains_key("d") && !held.intents.contains_key("a"),
        "what was owed is made good: {held:?}"
    );
}

/// What comes while a slow sync is under way goes with the next one: the wait does not grow with the number.
#[test]
fn a_slow_disk_is_waited_for_by_all_at_once() {
    let disk = Disk::default();
    let (journal, _) = open(&disk);
    disk.with(|p| (p.slow, p.syncs) = (Duration::from_millis(20), 0));
    let (tell, told) = channel();
    for no in 0..500 {
        let tell = tell.clone();
        journal.write_intent(&name(&format!("m{no}")), Time(1), move |written| tell.send(written).unwrap());
    }
    assert!((0..500).all(|_| told.recv().unwrap()));
    let syncs = disk.with(|p| p.syncs);
    assert!(syncs < 50, "{syncs} syncs for 500 intents");
}

#[test]
fn a_read_only_disk_is_told_at_the_start_or_at_the_first_intent() {
    let disk = Disk::default();
    let (journal, _) = open(&disk);
    disk.with(|p| p.read_only = true);
    assert!(!intend(&journal, "a"));
    drop(journal);
    let new = Disk::default();
    new.with(|p| p.read_only = true);
    let told = Journal::open_with(new.open(), JournalLimits::default(), &mut Held::default());
    assert!(matches!(told, Err(JournalError::Disk(_))));
}

#[test]
fn room_is_bounded_and_a_long_answer_leaves_its_intent() {
    let disk = Disk::default();
    let limits = JournalLimits { commit_delay: Duration::ZERO, max_bytes: 200, max_answer_bytes: 64 };
    let journal = Journal::open_with(disk.open(), limits, &mut Held::default()).unwrap();
    let taken = (0..40).filter(|no| intend(&journal, &format!("m{no}"))).count();
    assert!((5..30).contains(&taken), "{taken}");
    journal.write_answer(&name("m0"), Time(9), &FinalAnswer { body: vec![7; 100].into(), ..ok() });
    (1..taken).for_each(|no| journal.remove(&name(&format!("m{no}"))));
    assert!(intend(&journal, "n"), "what is done makes room");
    drop(journal);
    let held = open(&disk).1;
    assert_eq!(held.intents.keys().collect::<Vec<_>>(), ["m0", "n"]);
    assert!(held.answers.is_empty());
}

/// Bytes flipped where the journal has data: it is refused, or says the same as before; it never says less in silence.
#[test]
fn a_flipped_byte_is_found() {
    let disk = Disk::default();
    let (journal, _) = open(&disk);
    assert!((0..50).all(|no| intend(&journal, &format!("m{no}"))));
    drop(journal);
    let (whole, before) = (disk.with(|p| p.now.clone()), open(&disk).1);
    let (mut rng, mut refused) = (Rand64::new(3), 0);
    for _ in 0..200 {
        let at = rng.rand_range(0..whole.len() as u64) as usize;
        let mut flipped = whole.clone();
        flipped[at] ^= 1 << rng.rand_range(0..8);
        let copy = Disk::default();
        copy.with(|p| (p.now, p.durable) = (flipped.clone(), flipped));
        let mut held = Held::default();
        match Journal::open_with(copy.open(), JournalLimits::default(), &mut held) {
            Ok(_) => assert_eq!(held, before, "byte {at}"),
            Err(_) => refused += 1,
        }
    }
    assert!(refused > 0, "none of the flips was where data is");
}

#[test_case(0, 100..=300 ; "without a delay what queues up during a commit goes together")]
#[test_case(20, 1..=20 ; "with one they go together")]
fn many_at_once_share_their_commits(delay: u64, commits: std::ops::RangeInclusive<u64>) {
    let disk = Disk::default();
    let limits = JournalLimits { commit_delay: Duration::from_millis(delay), ..JournalLimits::default() };
    let journal = Journal::open_with(disk.open(), limits, &mut Held::default()).unwrap();
    let (tell, told) = channel();
    if delay == 0 {
        // One after the other: each is a commit of its own.
        assert!((0..100).all(|no| intend(&journal, &format!("m{no}"))));
    } else {
        for no in 0..1_000 {
            let tell = tell.clone();
            journal
                .write_intent(&name(&format!("m{no}")), Time(1), move |written| tell.send(written).unwrap());
        }
        assert!((0..1_000).all(|_| told.recv().unwrap()));
    }
    assert!(commits.contains(&journal.stats().commits), "{:?}", journal.stats());
}

#[derive(Clone, Debug)]
enum Step {
    Intend(u8),
    Answer(u8),
    Done(u8),
    /// The process ends in order, or its machine loses power.
    End(bool),
    /// The disk takes so many more writes.
    Budget(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u8..12).prop_map(Step::Intend),
        3 => (0u8..12).prop_map(Step::Answer),
        3 => (0u8..12).prop_map(Step::Done),
        2 => any::<bool>().prop_map(Step::End),
        1 => (0u8..20).prop_map(Step::Budget),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]
    /// Whatever a crash leaves of the last writes: an intent that was told as written, and not ended since, is there.
    #[test]
    fn no_crash_takes_an_intent_that_was_told(steps in proptest::collection::vec(step(), 1..40), seed in any::<u64>()) {
        let (disk, mut rng) = (Disk::default(), Rand64::new(u128::from(seed)));
        let mut journal = open(&disk).0;
        let mut owed: BTreeSet<u8> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Intend(no) => {
                    if intend(&journal, &no.to_string()) {
                        owed.insert(no);
                    }
                }
                Step::Answer(no) if owed.contains(&no) => journal.write_answer(&name(&no.to_string()), Time(8), &ok()),
                Step::Done(no) => {
                    owed.remove(&no);
                    journal.remove(&name(&no.to_string()));
                }
                Step::Answer(_) => {}
                Step::Budget(left) => disk.with(|p| p.budget = Some(u64::from(left))),
                Step::End(in_order) => {
                    if in_order {
                        disk.with(|p| p.budget = None);
                        drop(journal);
                    } else {
                        // The power goes while the writer may be at work: what it does afterwards reaches no platter.
                        let dead = Disk::default();
                        dead.with(|d| disk.with(|p| {
                            (d.durable, d.now, d.since) = (p.durable.clone(), p.now.clone(), p.since.clone());
                            p.budget = Some(0);
                        }));
                        drop(journal);
                        dead.crash(&mut rng);
                        disk.with(|p| dead.with(|d| {
                            (p.durable, p.now) = (d.durable.clone(), d.now.clone());
                            (p.since, p.budget) = (Vec::new(), None);
                        }));
                    }
                    let (next, held) = open(&disk);
                    journal = next;
                    for no in &owed {
                        let id = no.to_string();
                        prop_assert!(held.intents.contains_key(&id) || held.answers.contains_key(&id), "{} is lost", no);
                    }
                }
            }
        }
    }
}
