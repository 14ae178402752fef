use std::collections::{BTreeSet, VecDeque};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use curlewpoint::types::Time;
use curlewpoint_trigger::{FinalAnswer, MessageKey};
use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition,
};
use thiserror::Error;
use tracing::{info, warn};

use crate::record::{self, RecordVisitor};

const RECORDS: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("records");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Version of the record format. A journal of another version is refused.
const FORMAT_VERSION: u64 = 1;

/// Limits of a journal.
#[derive(Clone, Copy, Debug)]
pub struct JournalLimits {
    /// Time that a commit waits for further writes, in addition to those already queued. Zero performs best, as the writes
    /// that arrive during one commit share the next.
    pub commit_delay: Duration,
    /// Maximum size of all records in bytes. Beyond it, intents are refused and answers are not recorded.
    pub max_bytes: u64,
    /// Maximum size of a recorded answer in bytes. The message of a longer answer is aborted after a crash.
    pub max_answer_bytes: usize,
}

impl Default for JournalLimits {
    fn default() -> Self {
        JournalLimits { commit_delay: Duration::ZERO, max_bytes: 256 << 20, max_answer_bytes: 1 << 20 }
    }
}

/// Reasons why a journal cannot be opened.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The journal may lack records, so a missing record does not prove that nothing was sent.
    #[error("the journal is damaged: {0}")]
    Damaged(String),
    #[error("the journal has format version {0}, this program writes version {FORMAT_VERSION}")]
    UnsupportedFormat(u64),
    #[error("the journal cannot be opened: {0}")]
    Disk(String),
}

impl From<DatabaseError> for JournalError {
    fn from(e: DatabaseError) -> Self {
        match e {
            DatabaseError::Storage(StorageError::Corrupted(what)) => JournalError::Damaged(what),
            other => JournalError::Disk(other.to_string()),
        }
    }
}

/// Counters since the start, and the current size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalStats {
    pub commits: u64,
    pub written: u64,
    /// Number of intents that could not be written; their messages were not sent.
    pub failed_intents: u64,
    pub failed_commits: u64,
    pub records: u64,
    pub bytes: u64,
}

/// Receives whether an intent was written.
type IntentCallback = Box<dyn FnOnce(bool) + Send>;

enum Write {
    Intent(MessageKey, Time, IntentCallback),
    Answer(MessageKey, Vec<u8>),
    Remove(MessageKey),
}

/// Opens the store at the start and after a failure.
type OpenStore = Box<dyn Fn() -> Result<Database, DatabaseError> + Send>;

/// Records which messages may have been sent. All calls return at once; a separate thread writes.
///
/// After a crash it is known which messages may have been sent. A full, read-only or failing disk is detected as well, as no
/// intent counts as written before its commit. The cost: on a slow disk, messages that need an intent wait for it, and those
/// that expire meanwhile are not sent.
pub struct Journal {
    write_tx: Option<SyncSender<Write>>,
    stats: Arc<Mutex<JournalStats>>,
    writer_thread: Option<JoinHandle<()>>,
}

/// Maximum number of writes queued for the thread. Beyond it, intents are refused.
const MAX_QUEUED_WRITES: usize = 65_536;
/// Maximum number of writes in one commit.
const MAX_BATCH_WRITES: usize = 4_096;
/// Minimum time between two attempts to reopen the store after a failure.
const REOPEN_BACKOFF: Duration = Duration::from_millis(100);

impl Journal {
    /// Opens or creates a journal, checks the whole file and passes its records to the visitor.
    pub fn open(
        path: &Path, limits: JournalLimits, visitor: &mut impl RecordVisitor,
    ) -> Result<Journal, JournalError> {
        let path: PathBuf = path.to_owned();
        Journal::open_with(
            Box::new(move || Builder::new().set_check_integrity_on_open(true).create(&path)),
            limits,
            visitor,
        )
    }

    /// As `open`, with a function that opens the store.
    pub fn open_with(
        open: OpenStore, limits: JournalLimits, visitor: &mut impl RecordVisitor,
    ) -> Result<Journal, JournalError> {
        let mut db = open()?;
        let (records, bytes) = read_records(&db, visitor)?;
        if let Err(e) = db.compact() {
            info!("the journal was not compacted: {e}");
        }
        let stats = Arc::new(Mutex::new(JournalStats { records, bytes, ..JournalStats::default() }));
        let (write_tx, write_rx) = sync_channel(MAX_QUEUED_WRITES);
        let mut writer = Writer {
            open,
            db: Some(db),
            limits,
            stats: Arc::clone(&stats),
            bytes,
            records,
            unwritten: VecDeque::new(),
            failed: false,
            reopened_at: None,
        };
        let thread = std::thread::Builder::new().name("journal".to_owned());
        let writer_thread =
            thread.spawn(move || writer.run(&write_rx)).map_err(|e| JournalError::Disk(e.to_string()))?;
        Ok(Journal { write_tx: Some(write_tx), stats, writer_thread: Some(writer_thread) })
    }

    /// Passes the records of a journal to the visitor; returns their number and size in bytes. Changes nothing in the file
    /// except for repairs after a crash.
    pub fn inspect(path: &Path, visitor: &mut impl RecordVisitor) -> Result<(u64, u64), JournalError> {
        let db = Builder::new().set_check_integrity_on_open(true).open(path)?;
        read_records(&db, visitor)
    }

    fn send(&self, write: Write) {
        let Some(write_tx) = &self.write_tx else { return };
        match write_tx.try_send(write) {
            Ok(()) => {}
            Err(TrySendError::Full(write) | TrySendError::Disconnected(write)) => {
                if let Write::Intent(_, _, callback) = write {
                    callback(false);
                }
                // If an answer or a removal is not written, the earlier record stays, and the message is aborted after a crash.
            }
        }
    }

    /// Records that attempts may be sent from `at` on. They must not be sent before `callback` receives true, and not at all
    /// if it receives false.
    pub fn write_intent(&self, key: &MessageKey, at: Time, callback: impl FnOnce(bool) + Send + 'static) {
        self.send(Write::Intent(key.clone(), at, Box::new(callback)));
    }

    /// Records the answer of a message in place of its intent.
    pub fn write_answer(&self, key: &MessageKey, at: Time, answer: &FinalAnswer) {
        self.send(Write::Answer(key.clone(), record::encode_answer(at, answer)));
    }

    /// Removes the record of a message.
    pub fn remove(&self, key: &MessageKey) {
        self.send(Write::Remove(key.clone()));
    }

    pub fn stats(&self) -> JournalStats {
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Journal {
    /// Writes what is queued and closes the file.
    fn drop(&mut self) {
        self.write_tx = None;
        if let Some(writer_thread) = self.writer_thread.take() {
            let _ = writer_thread.join();
        }
    }
}

fn read_records(db: &Database, visitor: &mut impl RecordVisitor) -> Result<(u64, u64), JournalError> {
    let damaged = |e: String| JournalError::Damaged(e);
    let disk = |e: redb::Error| match e {
        redb::Error::Corrupted(what) => JournalError::Damaged(what),
        other => JournalError::Disk(other.to_string()),
    };
    let txn = db.begin_read().map_err(|e| disk(e.into()))?;
    match txn.open_table(META) {
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok((0, 0)),
        Err(e) => return Err(disk(e.into())),
        Ok(meta) => {
            let version = meta.get("form").map_err(|e| disk(e.into()))?.map_or(0, |version| version.value());
            if version != FORMAT_VERSION {
                return Err(JournalError::UnsupportedFormat(version));
            }
        }
    }
    let table = match txn.open_table(RECORDS) {
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok((0, 0)),
        other => other.map_err(|e| disk(e.into()))?,
    };
    let (mut records, mut bytes) = (0, 0);
    for row in table.iter().map_err(|e| disk(e.into()))? {
        let (table_key, value) = row.map_err(|e| disk(e.into()))?;
        let (id, reply_to) = table_key.value();
        let message_key = MessageKey { id: id.to_owned(), reply_to: reply_to.to_owned() };
        bytes += record_size(&message_key, value.value());
        records += 1;
        record::decode(message_key, value.value(), visitor)
            .map_err(|e| damaged(format!("record of '{id}': {e}")))?;
    }
    Ok((records, bytes))
}

fn record_size(key: &MessageKey, record: &[u8]) -> u64 {
    (key.id.len() + key.reply_to.len() + record.len()) as u64
}

/// Ignores the records, where only their number and size are needed.
struct IgnoreRecords;

impl RecordVisitor for IgnoreRecords {
    fn intent(&mut self, _: MessageKey, _: Time) {}
    fn answer(&mut self, _: MessageKey, _: Time, _: FinalAnswer) {}
}

struct Writer {
    open: OpenStore,
    db: Option<Database>,
    limits: JournalLimits,
    stats: Arc<Mutex<JournalStats>>,
    bytes: u64,
    records: u64,
    /// Answers and removals of failed commits, to be written with the next one.
    unwritten: VecDeque<Write>,
    failed: bool,
    /// Time of the last attempt to reopen the store.
    reopened_at: Option<Instant>,
}

impl Writer {
    fn run(&mut self, write_rx: &Receiver<Write>) {
        while let Ok(first) = write_rx.recv() {
            let mut batch = vec![first];
            let until = Instant::now() + self.limits.commit_delay;
            while batch.len() < MAX_BATCH_WRITES {
                // Writes already queued are included whatever the delay.
                let time_left = until.saturating_duration_since(Instant::now());
                match write_rx.recv_timeout(time_left) {
                    Ok(write) => batch.push(write),
                    Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
                }
            }
            self.commit(batch);
        }
        if !self.unwritten.is_empty() {
            self.commit(Vec::new());
        }
    }

    fn commit(&mut self, batch: Vec<Write>) {
        let batch_len = batch.len() as u64;
        // Writes of failed commits come first.
        let unwritten = std::mem::take(&mut self.unwritten);
        let all: Vec<Write> = unwritten.into_iter().chain(batch).collect();
        let result = self.write(&all);
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        match &result {
            Ok((bytes, records, _)) => {
                (self.bytes, self.records) = (*bytes, *records);
                stats.commits += 1;
                stats.written += batch_len;
                (stats.bytes, stats.records) = (*bytes, *records);
            }
            Err(_) => stats.failed_commits += 1,
        }
        drop(stats);
        match result {
            Ok((_, _, refused)) => {
                if std::mem::take(&mut self.failed) {
                    info!("the journal can be written again");
                }
                for (index, write) in all.into_iter().enumerate() {
                    if let Write::Intent(_, _, callback) = write {
                        self.report(callback, !refused.contains(&index));
                    }
                }
            }
            Err(reason) => {
                if !self.failed {
                    warn!("the journal cannot be written, messages that need it are not sent: {reason}");
                }
                // After a failed commit the in-memory state of the store is not valid.
                self.db = None;
                self.failed = true;
                for write in all {
                    match write {
                        Write::Intent(_, _, callback) => self.report(callback, false),
                        other if self.unwritten.len() < MAX_QUEUED_WRITES => self.unwritten.push_back(other),
                        _ => {}
                    }
                }
            }
        }
    }

    fn report(&self, callback: IntentCallback, written: bool) {
        if !written {
            self.stats.lock().unwrap_or_else(PoisonError::into_inner).failed_intents += 1;
        }
        callback(written);
    }

    /// Writes everything in one transaction. Returns the size in bytes, the number of records, and the indices of the writes
    /// refused because of the limits.
    fn write(&mut self, all: &[Write]) -> Result<(u64, u64, BTreeSet<usize>), String> {
        if self.db.is_none() {
            if self.reopened_at.is_some_and(|at| at.elapsed() < REOPEN_BACKOFF) {
                return Err("the last attempt has just failed".to_owned());
            }
            self.reopened_at = Some(Instant::now());
            let db = (self.open)().map_err(|e| e.to_string())?;
            // A commit that was reported as failed may be on disk nevertheless.
            (self.records, self.bytes) = read_records(&db, &mut IgnoreRecords).map_err(|e| e.to_string())?;
            self.db = Some(db);
        }
        let db = self.db.as_ref().ok_or("the journal is not open")?;
        let (mut bytes, mut records, mut refused) = (self.bytes, self.records, BTreeSet::new());
        let mut transaction = || -> Result<(), redb::Error> {
            let txn = db.begin_write()?;
            {
                txn.open_table(META)?.insert("form", FORMAT_VERSION)?;
                let mut table = txn.open_table(RECORDS)?;
                for (index, write) in all.iter().enumerate() {
                    let (key, record) = match write {
                        Write::Intent(key, at, _) => (key, Some(record::encode_intent(*at))),
                        Write::Answer(key, record) => (key, Some(record.clone())),
                        Write::Remove(key) => (key, None),
                    };
                    let table_key = (key.id.as_str(), key.reply_to.as_str());
                    let Some(record) = record else {
                        if let Some(old) = table.remove(table_key)? {
                            bytes = bytes.saturating_sub(record_size(key, old.value()));
                            records = records.saturating_sub(1);
                        }
                        continue;
                    };
                    let is_answer = matches!(write, Write::Answer(..));
                    let fits = bytes + record_size(key, &record) <= self.limits.max_bytes;
                    if !fits || (is_answer && record.len() > self.limits.max_answer_bytes) {
                        refused.insert(index);
                        continue;
                    }
                    bytes += record_size(key, &record);
                    match table.insert(table_key, record.as_slice())? {
                        Some(old) => bytes = bytes.saturating_sub(record_size(key, old.value())),
                        None => records += 1,
                    }
                }
            }
            txn.commit()?;
            Ok(())
        };
        transaction().map_err(|e| e.to_string())?;
        Ok((bytes, records, refused))
    }
}
