//! The journal beside a plain log of ours (append, checksum, one sync for all that waits) and beside nothing at all; how long
//! reading one at the start takes; what a message costs on disk.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

use bytes::Bytes;
use curlewpoint::types::Time;
use curlewpoint_journal::{Journal, JournalLimits, RecordVisitor};
use curlewpoint_trigger::{AnswerKind, FinalAnswer, MessageKey};

struct Nobody;

impl RecordVisitor for Nobody {
    fn intent(&mut self, _: MessageKey, _: Time) {}
    fn answer(&mut self, _: MessageKey, _: Time, _: FinalAnswer) {}
}

fn name(no: u64) -> MessageKey {
    MessageKey { id: format!("{no:032}"), reply_to: "answers.office-17".to_owned() }
}

fn answer() -> FinalAnswer {
    FinalAnswer { kind: AnswerKind::Ok, reason: String::new(), body: Bytes::from(vec![7; 256]) }
}

fn say(to: &Sender<u64>, no: u64) {
    // Whoever heard it may have ended its measurement.
    let _ = to.send(no);
}

const SPAN: Duration = Duration::from_secs(2);
const OPEN: u64 = 256;

/// Keeps so many messages on their way through `intend`, which tells the number back; messages a second, and the wait at p99.
fn drive(mut intend: impl FnMut(u64, Sender<u64>), mut ended: impl FnMut(u64)) -> (f64, Duration) {
    let (tell, told) = channel();
    let mut began = std::collections::BTreeMap::new();
    let (start, mut next, mut waits) = (Instant::now(), 0, Vec::new());
    while next < OPEN {
        began.insert(next, Instant::now());
        intend(next, tell.clone());
        next += 1;
    }
    while start.elapsed() < SPAN {
        let no = told.recv().expect("it is told");
        waits.push(began.remove(&no).map_or(Duration::ZERO, |at| at.elapsed()));
        ended(no);
        began.insert(next, Instant::now());
        intend(next, tell.clone());
        next += 1;
    }
    waits.sort();
    (waits.len() as f64 / SPAN.as_secs_f64(), waits[waits.len() * 99 / 100])
}

/// A record, and whom to tell that it is on disk.
type Append = (Vec<u8>, Option<(u64, Sender<u64>)>);

/// Appends a record with its length and checksum; one thread, one sync for all that waits.
fn plain_log(path: PathBuf) -> (Sender<Append>, std::thread::JoinHandle<()>) {
    let (send, heard) = channel::<Append>();
    let thread = std::thread::spawn(move || {
        let mut file = std::fs::File::create(path).expect("a file");
        while let Ok(first) = heard.recv() {
            let mut batch = vec![first];
            batch.extend(heard.try_iter());
            let mut out = Vec::new();
            for (record, _) in &batch {
                out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                out.extend_from_slice(&crc32fast::hash(record).to_be_bytes());
                out.extend_from_slice(record);
            }
            file.write_all(&out).and_then(|()| file.sync_data()).expect("written");
            batch.into_iter().filter_map(|b| b.1).for_each(|(no, tell)| say(&tell, no));
        }
    });
    (send, thread)
}

fn measure(folder: &Path) {
    let cores = std::thread::available_parallelism().map_or(0, |n| n.get());
    println!("{cores} cores, {OPEN} messages open, each an intent, an answer of 256 bytes and its end");
    let (rate, p99) = drive(|no, tell| say(&tell, no), |_| {});
    println!("nothing        {rate:9.0} messages a second, p99 {p99:?}");
    let (log, thread) = plain_log(folder.join("plain.log"));
    let (rate, p99) = drive(
        |no, tell| drop(log.send((format!("intent {no:060}").into_bytes(), Some((no, tell))))),
        |no| {
            let _ = log.send((vec![7; 330], None));
            let _ = log.send((format!("done {no:060}").into_bytes(), None));
        },
    );
    drop(log);
    let _ = thread.join();
    println!("plain log      {rate:9.0} messages a second, p99 {p99:?}");
    for delay in [0, 1, 2, 5, 20] {
        let path = folder.join(format!("journal-{delay}"));
        let limits = JournalLimits { commit_delay: Duration::from_millis(delay), ..JournalLimits::default() };
        let journal = Journal::open(&path, limits, &mut Nobody).expect("it opens");
        let (rate, p99) = drive(
            |no, tell| journal.write_intent(&name(no), Time(no), move |_| say(&tell, no)),
            |no| {
                journal.write_answer(&name(no), Time(no), &answer());
                journal.remove(&name(no));
            },
        );
        let f = journal.stats();
        drop(journal);
        let size = std::fs::metadata(&path).map_or(0, |m| m.len());
        println!(
            "journal, {delay:2} ms {rate:9.0} messages a second, p99 {p99:?}, {:.0} writes a commit, file {} KiB",
            f.written as f64 / f.commits.max(1) as f64,
            size / 1024
        );
    }
    for records in [1_000u64, 10_000, 100_000] {
        let path = folder.join(format!("held-{records}"));
        let journal = Journal::open(&path, JournalLimits::default(), &mut Nobody).expect("it opens");
        let (tell, told) = channel();
        for no in 0..records {
            let last = (no + 1 == records).then(|| tell.clone());
            journal.write_intent(&name(no), Time(no), move |_| last.into_iter().for_each(|t| say(&t, 0)));
            if no % 10_000 == 9_999 {
                std::thread::sleep(Duration::from_millis(300));
            }
        }
        told.recv().expect("it is told");
        drop(journal);
        let began = Instant::now();
        let journal = Journal::open(&path, JournalLimits::default(), &mut Nobody).expect("it opens");
        let (took, f) = (began.elapsed(), journal.stats());
        drop(journal);
        let size = std::fs::metadata(&path).map_or(0, |m| m.len());
        println!(
            "{:6} records are checked and read in {took:?}; {} bytes of file each",
            f.records,
            size / f.records.max(1)
        );
    }
}

fn main() {
    // `cargo test` runs benches too; the measurement is for `cargo bench` alone.
    if std::env::args().any(|a| a == "--bench") {
        let folder = std::env::temp_dir().join(format!("curlewpoint-journal-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        measure(&folder);
        let _ = std::fs::remove_dir_all(&folder);
    }
}
