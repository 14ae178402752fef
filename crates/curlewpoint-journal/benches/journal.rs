//! Compares the journal with a minimal log (append, checksum, one sync per batch) and with no log at all. Measures the time to
//! read a journal at the start and the disk space per message.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_journal::{Journal, JournalLimits, RecordVisitor};
use curlewpoint_trigger::{AnswerKind, FinalAnswer, MessageKey};

struct IgnoreRecords;

impl RecordVisitor for IgnoreRecords {
    fn intent(&mut self, _: MessageKey, _: Time) {}
    fn answer(&mut self, _: MessageKey, _: Time, _: FinalAnswer) {}
}

fn key(number: u64) -> MessageKey {
    MessageKey { id: format!("{number:032}"), reply_to: "answers.office-17".to_owned() }
}

fn answer() -> FinalAnswer {
    FinalAnswer { kind: AnswerKind::Ok, reason: String::new(), body: Bytes::from(vec![7; 256]) }
}

fn notify(tx: &Sender<u64>, number: u64) {
    // The receiver may have ended its measurement.
    let _ = tx.send(number);
}

const MEASURED_TIME: Duration = Duration::from_secs(2);
const OPEN_MESSAGES: u64 = 256;

/// Keeps `OPEN_MESSAGES` messages in progress through `write_intent`, which sends back the number of each. Returns messages
/// per second and the p99 of the wait.
fn run_load(mut write_intent: impl FnMut(u64, Sender<u64>), mut finish: impl FnMut(u64)) -> (f64, Duration) {
    let (done_tx, done_rx) = channel();
    let mut started = std::collections::BTreeMap::new();
    let (start, mut next, mut waits) = (Instant::now(), 0, Vec::new());
    while next < OPEN_MESSAGES {
        started.insert(next, Instant::now());
        write_intent(next, done_tx.clone());
        next += 1;
    }
    while start.elapsed() < MEASURED_TIME {
        let number = done_rx.recv().expect("the writer is running");
        waits.push(started.remove(&number).map_or(Duration::ZERO, |at| at.elapsed()));
        finish(number);
        started.insert(next, Instant::now());
        write_intent(next, done_tx.clone());
        next += 1;
    }
    waits.sort();
    (waits.len() as f64 / MEASURED_TIME.as_secs_f64(), waits[waits.len() * 99 / 100])
}

/// A record, and the number to send back once it is on disk.
type Append = (Vec<u8>, Option<(u64, Sender<u64>)>);

/// A log that appends records with length and checksum on one thread, with one sync per batch.
fn minimal_log(path: PathBuf) -> (Sender<Append>, std::thread::JoinHandle<()>) {
    let (append_tx, append_rx) = channel::<Append>();
    let thread = std::thread::spawn(move || {
        let mut file = std::fs::File::create(path).expect("a file");
        while let Ok(first) = append_rx.recv() {
            let mut batch = vec![first];
            batch.extend(append_rx.try_iter());
            let mut out = Vec::new();
            for (record, _) in &batch {
                out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                out.extend_from_slice(&crc32fast::hash(record).to_be_bytes());
                out.extend_from_slice(record);
            }
            file.write_all(&out).and_then(|()| file.sync_data()).expect("written");
            batch.into_iter().filter_map(|b| b.1).for_each(|(number, done_tx)| notify(&done_tx, number));
        }
    });
    (append_tx, thread)
}

fn measure(folder: &Path) {
    let cores = std::thread::available_parallelism().map_or(0, |n| n.get());
    println!(
        "{cores} cores, {OPEN_MESSAGES} messages open, each an intent, an answer of 256 bytes and its end"
    );
    let (rate, p99) = run_load(|number, done_tx| notify(&done_tx, number), |_| {});
    println!("nothing        {rate:9.0} messages a second, p99 {p99:?}");
    let (log, thread) = minimal_log(folder.join("plain.log"));
    let (rate, p99) = run_load(
        |number, done_tx| {
            drop(log.send((format!("intent {number:060}").into_bytes(), Some((number, done_tx)))))
        },
        |number| {
            let _ = log.send((vec![7; 330], None));
            let _ = log.send((format!("done {number:060}").into_bytes(), None));
        },
    );
    drop(log);
    let _ = thread.join();
    println!("plain log      {rate:9.0} messages a second, p99 {p99:?}");
    for delay in [0, 1, 2, 5, 20] {
        let path = folder.join(format!("journal-{delay}"));
        let limits = JournalLimits { commit_delay: Duration::from_millis(delay), ..JournalLimits::default() };
        let journal = Journal::open(&path, limits, &mut IgnoreRecords).expect("it opens");
        let (rate, p99) = run_load(
            |number, done_tx| {
                journal.write_intent(&key(number), Time(number), move |_| notify(&done_tx, number))
            },
            |number| {
                journal.write_answer(&key(number), Time(number), &answer());
                journal.remove(&key(number));
            },
        );
        let stats = journal.stats();
        drop(journal);
        let size = std::fs::metadata(&path).map_or(0, |m| m.len());
        println!(
            "journal, {delay:2} ms {rate:9.0} messages a second, p99 {p99:?}, {:.0} writes a commit, file {} KiB",
            stats.written as f64 / stats.commits.max(1) as f64,
            size / 1024
        );
    }
    for records in [1_000u64, 10_000, 100_000] {
        let path = folder.join(format!("held-{records}"));
        let journal = Journal::open(&path, JournalLimits::default(), &mut IgnoreRecords).expect("it opens");
        let (done_tx, done_rx) = channel();
        for number in 0..records {
            let last = (number + 1 == records).then(|| done_tx.clone());
            journal.write_intent(&key(number), Time(number), move |_| {
                last.into_iter().for_each(|t| notify(&t, 0))
            });
            if number % 10_000 == 9_999 {
                std::thread::sleep(Duration::from_millis(300));
            }
        }
        done_rx.recv().expect("the writer is running");
        drop(journal);
        let began = Instant::now();
        let journal = Journal::open(&path, JournalLimits::default(), &mut IgnoreRecords).expect("it opens");
        let (elapsed, stats) = (began.elapsed(), journal.stats());
        drop(journal);
        let size = std::fs::metadata(&path).map_or(0, |m| m.len());
        println!(
            "{:6} records are checked and read in {elapsed:?}; {} bytes of file each",
            stats.records,
            size / stats.records.max(1)
        );
    }
}

fn main() {
    // `cargo test` also runs benches, but only `cargo bench` is to measure.
    if std::env::args().any(|a| a == "--bench") {
        let folder = std::env::temp_dir().join(format!("curlewpoint-journal-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        measure(&folder);
        let _ = std::fs::remove_dir_all(&folder);
    }
}
