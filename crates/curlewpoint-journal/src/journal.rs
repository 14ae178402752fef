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
/// Another form of records has another number; a journal of another form is refused.
const FORM: u64 = 1;

#[derive(Clone, Copy, Debug)]
pub struct JournalLimits {
    /// How long a commit waits for more to go with it, beside what waits already. Nought is the best where it was measured: what
    /// comes during one commit goes together with the next.
    pub commit_delay: Duration,
    /// Bytes of records: beyond them no intent is taken, and answers are kept without being noted.
    pub max_bytes: u64,
    /// A longer answer is not noted: after a crash its message ends aborted.
    pub max_answer_bytes: usize,
}

impl Default for JournalLimits {
    fn default() -> Self {
        JournalLimits { commit_delay: Duration::ZERO, max_bytes: 256 << 20, max_answer_bytes: 1 << 20 }
    }
}

#[derive(Debug, Error)]
pub enum JournalError {
    /// What it says cannot be trusted: nothing may be concluded from what it does not say.
    #[error("the journal is damaged: {0}")]
    Damaged(String),
    #[error("the journal is of form {0}, this program writes form {FORM}")]
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

/// What has been written, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalStats {
    pub commits: u64,
    pub written: u64,
    /// Intents that could not be written: their messages were not sent.
    pub lost: u64,
    pub failed_commits: u64,
    pub records: u64,
    pub bytes: u64,
}

type Told = Box<dyn FnOnce(bool) + Send>;

enum Write {
    Intent(MessageKey, Time, Told),
    Answer(MessageKey, Vec<u8>),
    Done(MessageKey),
}

/// Opens the store, the first time and after a failure.
type Open = Box<dyn Fn() -> Result<Database, DatabaseError> + Send>;

/// Notes what may have been sent. All calls return at once; a thread of its own writes.
///
/// Guards against a crash that hides that a message may have been sent. What it also catches: a disk that is full, that can
/// only be read, or that fails, as no intent counts as written before its commit. It harms where the disk is slow: messages
/// that need an intent wait for it, and those whose time is up meanwhile are not sent.
pub struct Journal {
    writes: Option<SyncSender<Write>>,
    figures: Arc<Mutex<JournalStats>>,
    writing: Option<JoinHandle<()>>,
}

/// Writes that wait for the thread; beyond these no intent is taken.
const WAITING: usize = 65_536;
/// Writes of one commit.
const MOST_AT_ONCE: usize = 4_096;
/// After a failure the store is opened anew no sooner than this.
const BACK_OFF: Duration = Duration::from_millis(100);

impl Journal {
    /// Opens or creates a journal, checks all of its file, and tells what it holds.
    pub fn open(
        path: &Path, limits: JournalLimits, reader: &mut impl RecordVisitor,
    ) -> Result<Journal, JournalError> {
        let path: PathBuf = path.to_owned();
        Journal::open_with(
            Box::new(move || Builder::new().set_check_integrity_on_open(true).create(&path)),
            limits,
            reader,
        )
    }

    /// The same on whatever opens a store.
    pub fn open_with(
        open: Open, limits: JournalLimits, reader: &mut impl RecordVisitor,
    ) -> Result<Journal, JournalError> {
        let mut db = open()?;
        let (records, bytes) = read(&db, reader)?;
        if let Err(e) = db.compact() {
            info!("the journal was not compacted: {e}");
        }
        let figures = Arc::new(Mutex::new(JournalStats { records, bytes, ..JournalStats::default() }));
        let (writes, waiting) = sync_channel(WAITING);
        let mut writer = Writer {
            open,
            db: Some(db),
            limits,
            figures: Arc::clone(&figures),
            bytes,
            records,
            owed: VecDeque::new(),
            failed: false,
            opened: None,
        };
        let thread = std::thread::Builder::new().name("journal".to_owned());
        let writing =
            thread.spawn(move || writer.run(&waiting)).map_err(|e| JournalError::Disk(e.to_string()))?;
        Ok(Journal { writes: Some(writes), figures, writing: Some(writing) })
    }

    /// Tells what a journal holds and changes nothing in it but for what a crash has left to mend.
    pub fn inspect(path: &Path, reader: &mut impl RecordVisitor) -> Result<(u64, u64), JournalError> {
        let db = Builder::new().set_check_integrity_on_open(true).open(path)?;
        read(&db, reader)
    }

    fn send(&self, write: Write) {
        let Some(writes) = &self.writes else { return };
        match writes.try_send(write) {
            Ok(()) => {}
            Err(TrySendError::Full(write) | TrySendError::Disconnected(write)) => {
                if let Write::Intent(_, _, told) = write {
                    told(false);
                }
                // An answer or an end that is not noted leaves the record before it: its message ends aborted.
            }
        }
    }

    /// From this moment on its attempts may be sent, once `told` hears true. False: they must not be.
    pub fn write_intent(&self, name: &MessageKey, at: Time, told: impl FnOnce(bool) + Send + 'static) {
        self.send(Write::Intent(name.clone(), at, Box::new(told)));
    }

    pub fn write_answer(&self, name: &MessageKey, at: Time, answer: &FinalAnswer) {
        self.send(Write::Answer(name.clone(), record::of_answer(at, answer)));
    }

    /// Its record need not be kept any more.
    pub fn remove(&self, name: &MessageKey) {
        self.send(Write::Done(name.clone()));
    }

    pub fn stats(&self) -> JournalStats {
        *self.figures.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Journal {
    /// Writes what waits, and closes the file.
    fn drop(&mut self) {
        self.writes = None;
        if let Some(writing) = self.writing.take() {
            let _ = writing.join();
        }
    }
}

fn read(db: &Database, reader: &mut impl RecordVisitor) -> Result<(u64, u64), JournalError> {
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
            let form = meta.get("form").map_err(|e| disk(e.into()))?.map_or(0, |form| form.value());
            if form != FORM {
                return Err(JournalError::UnsupportedFormat(form));
            }
        }
    }
    let table = match txn.open_table(RECORDS) {
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok((0, 0)),
        other => other.map_err(|e| disk(e.into()))?,
    };
    let (mut records, mut bytes) = (0, 0);
    for row in table.iter().map_err(|e| disk(e.into()))? {
        let (key, value) = row.map_err(|e| disk(e.into()))?;
        let (id, reply_to) = key.value();
        let name = MessageKey { id: id.to_owned(), reply_to: reply_to.to_owned() };
        bytes += size(&name, value.value());
        records += 1;
        record::read(name, value.value(), reader).map_err(|e| damaged(format!("record of '{id}': {e}")))?;
    }
    Ok((records, bytes))
}

fn size(name: &MessageKey, record: &[u8]) -> u64 {
    (name.id.len() + name.reply_to.len() + record.len()) as u64
}

/// Counts alone are wanted.
struct Nobody;

impl RecordVisitor for Nobody {
    fn intent(&mut self, _: MessageKey, _: Time) {}
    fn answer(&mut self, _: MessageKey, _: Time, _: FinalAnswer) {}
}

struct Writer {
    open: Open,
    db: Option<Database>,
    limits: JournalLimits,
    figures: Arc<Mutex<JournalStats>>,
    bytes: u64,
    records: u64,
    /// Answers and ends that a failed commit left: they go with the next one.
    owed: VecDeque<Write>,
    failed: bool,
    /// When it was last opened anew, or tried to be.
    opened: Option<Instant>,
}

impl Writer {
    fn run(&mut self, waiting: &Receiver<Write>) {
        while let Ok(first) = waiting.recv() {
            let mut batch = vec![first];
            let until = Instant::now() + self.limits.commit_delay;
            while batch.len() < MOST_AT_ONCE {
                // What waits already goes with it whatever the delay.
                let left = until.saturating_duration_since(Instant::now());
                match waiting.recv_timeout(left) {
                    Ok(write) => batch.push(write),
                    Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
                }
            }
            self.commit(batch);
        }
        if !self.owed.is_empty() {
            self.commit(Vec::new());
        }
    }

    fn commit(&mut self, batch: Vec<Write>) {
        let written = batch.len() as u64;
        // What is owed came before.
        let owed = std::mem::take(&mut self.owed);
        let all: Vec<Write> = owed.into_iter().chain(batch).collect();
        let done = self.write(&all);
        let mut figures = self.figures.lock().unwrap_or_else(PoisonError::into_inner);
        match &done {
            Ok((bytes, records, _)) => {
                (self.bytes, self.records) = (*bytes, *records);
                figures.commits += 1;
                figures.written += written;
                (figures.bytes, figures.records) = (*bytes, *records);
            }
            Err(_) => figures.failed_commits += 1,
        }
        drop(figures);
        match done {
            Ok((_, _, refused)) => {
                if std::mem::take(&mut self.failed) {
                    info!("the journal is written again");
                }
                for (no, write) in all.into_iter().enumerate() {
                    if let Write::Intent(_, _, told) = write {
                        self.tell(told, !refused.contains(&no));
                    }
                }
            }
            Err(why) => {
                if !self.failed {
                    warn!("the journal cannot be written, messages that need it are not sent: {why}");
                }
                // After a failed commit the store's state in memory is void.
                self.db = None;
                self.failed = true;
                for write in all {
                    match write {
                        Write::Intent(_, _, told) => self.tell(told, false),
                        other if self.owed.len() < WAITING => self.owed.push_back(other),
                        _ => {}
                    }
                }
            }
        }
    }

    fn tell(&self, told: Told, written: bool) {
        if !written {
            self.figures.lock().unwrap_or_else(PoisonError::into_inner).lost += 1;
        }
        told(written);
    }

    /// Writes all of it in one transaction; how much is held then, and which writes were refused for want of room.
    fn write(&mut self, all: &[Write]) -> Result<(u64, u64, BTreeSet<usize>), String> {
        if self.db.is_none() {
            if self.opened.is_some_and(|at| at.elapsed() < BACK_OFF) {
                return Err("it has just failed".to_owned());
            }
            self.opened = Some(Instant::now());
            let db = (self.open)().map_err(|e| e.to_string())?;
            // A commit that failed may be there all the same.
            (self.records, self.bytes) = read(&db, &mut Nobody).map_err(|e| e.to_string())?;
            self.db = Some(db);
        }
        let db = self.db.as_ref().ok_or("it is not open")?;
        let (mut bytes, mut records, mut refused) = (self.bytes, self.records, BTreeSet::new());
        let mut transaction = || -> Result<(), redb::Error> {
            let txn = db.begin_write()?;
            {
                txn.open_table(META)?.insert("form", FORM)?;
                let mut table = txn.open_table(RECORDS)?;
                for (no, write) in all.iter().enumerate() {
                    let (name, record) = match write {
                        Write::Intent(name, at, _) => (name, Some(record::of_intent(*at))),
                        Write::Answer(name, record) => (name, Some(record.clone())),
                        Write::Done(name) => (name, None),
                    };
                    let key = (name.id.as_str(), name.reply_to.as_str());
                    let Some(record) = record else {
                        if let Some(old) = table.remove(key)? {
                            bytes = bytes.saturating_sub(size(name, old.value()));
                            records = records.saturating_sub(1);
                        }
                        continue;
                    };
                    let answer = matches!(write, Write::Answer(..));
                    let room = bytes + size(name, &record) <= self.limits.max_bytes;
                    if !room || (answer && record.len() > self.limits.max_answer_bytes) {
                        refused.insert(no);
                        continue;
                    }
                    bytes += size(name, &record);
                    match table.insert(key, record.as_slice())? {
                        Some(old) => bytes = bytes.saturating_sub(size(name, old.value())),
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
