//! Bench adapter: runs schedulers under the simulator's line protocol. Decodes each event line of standard input, calls
//! the scheduler that it names, and writes the schedulers' actions to standard output as the reply to each batch.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use std::rc::Rc;

use curlewpoint::host::Host;
use curlewpoint::scheduler::Scheduler;
use curlewpoint::types::*;
use serde_json::{Map, Value};

/// The host of one scheduler: writes its actions to the reply, in order.
struct SimulatorHost {
    scheduler_id: u64,
    reply: Rc<RefCell<String>>,
}

impl SimulatorHost {
    fn write_action(&self, name: &str, fields: std::fmt::Arguments) {
        // Writing to a String cannot fail.
        let _ = writeln!(self.reply.borrow_mut(), "{name} schedulerId={}{fields}", self.scheduler_id);
    }
}

impl Host for SimulatorHost {
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, limit: Time, _send_by: Time) {
        let limit = limit.ms();
        self.write_action("PASS_ON", format_args!(" req={} worker={} allowFor={limit:.1}", rpc.0, worker.0));
    }
    fn cancel(&mut self, rpc: RpcId, number: AttemptNumber) {
        self.write_action("UNDO_SEND", format_args!(" req={} seqNo={}", rpc.0, number.0));
    }
    fn deny(&mut self, rpc: RpcId, retry_after: Time) {
        self.write_action(
            "OVERLOAD_REPLY",
            format_args!(" req={} retryAfter={:.1}", rpc.0, retry_after.ms()),
        );
    }
    fn abort(&mut self, rpc: RpcId) {
        self.write_action("GIVE_UP", format_args!(" req={}", rpc.0));
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u64, _send_by: Time) {
        let (worker, function) = (worker.0, function.0);
        self.write_action(
            "HOLD_THERE",
            format_args!(" worker={worker} callee={function} instances={copies}"),
        );
    }
    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.write_action("SHELVE", format_args!(" callee={} worker={}", function.0, worker.0));
    }
    fn probe(&mut self, worker: WorkerId) {
        self.write_action("SOUND_OUT", format_args!(" worker={}", worker.0));
    }
    fn set_timer(&mut self, delay: Time, id: TimerId) {
        self.write_action("SET_TIMER", format_args!(" offset={:.1} ref={}", delay.ms(), id.0));
    }
    fn watch_list(&mut self) {
        self.write_action("OBSERVE", format_args!(" active=1"));
    }
    fn log(&mut self, line: &str) {
        self.write_action("DEBUG", format_args!(" bodyText={line}"));
    }
}

/// One line and its fields. Unknown fields are ignored.
struct Line<'a> {
    text: &'a str,
    number: u64,
}

impl<'a> Line<'a> {
    fn error(&self, message: impl std::fmt::Display) -> String {
        let name = self.text.split(' ').next().unwrap_or_default();
        format!("line {}: {name}: {message}", self.number)
    }

    /// The text of a field. The value of `facts` extends to the end of the line; other values end at a space.
    fn text(&self, field: &str) -> Option<&'a str> {
        let mut rest = self.text;
        while let Some((_, tail)) = rest.split_once(' ') {
            if let Some(value) = tail.strip_prefix(field).and_then(|t| t.strip_prefix('=')) {
                let text = if field == "facts" { value } else { value.split(' ').next().unwrap_or_default() };
                return Some(text);
            }
            if tail.starts_with("facts=") {
                return None;
            }
            rest = tail;
        }
        None
    }

    fn optional<T: std::str::FromStr>(&self, field: &str) -> Result<Option<T>, String> {
        match self.text(field) {
            None | Some("") => Ok(None),
            Some(v) => {
                v.parse().map(Some).map_err(|_| self.error(format_args!("field {field}: cannot read '{v}'")))
            }
        }
    }

    fn required<T: std::str::FromStr>(&self, field: &str) -> Result<T, String> {
        self.optional(field)?.ok_or_else(|| self.error(format_args!("field {field} is missing")))
    }

    fn ms(&self, field: &str) -> Result<Time, String> {
        self.required::<f64>(field).map(Time::from_ms)
    }

    fn outcome(&self) -> Result<Outcome, String> {
        Ok(match self.required::<String>("reason")?.as_str() {
            "S" => Outcome::Ok,
            "E" => Outcome::Error,
            "F" => Outcome::Full,
            "T" => Outcome::TimeOut,
            "C" => Outcome::ConnectFailed,
            "R" => Outcome::Reset,
            "X" => Outcome::Cancelled,
            "N" => Outcome::NotSent,
            "M" => Outcome::Miss,
            other => return Err(self.error(format_args!("field reason: cannot read '{other}'"))),
        })
    }

    fn load_report(&self) -> Result<Vec<f64>, String> {
        let values = self.text("stats").unwrap_or_default();
        let values = values.split(',').filter(|v| !v.is_empty() && *v != "-");
        let unreadable = |v: &str| self.error(format_args!("field stats: cannot read '{v}'"));
        values.map(|v| v.parse().map_err(|_| unreadable(v))).collect()
    }
}

/// The schedulers of this process by id, and the endpoint lists by bank number.
#[derive(Default)]
struct Adapter {
    now: Time,
    lists: BTreeMap<u64, Vec<String>>,
    /// The bank of the list that is being read, and the number of ITEM lines that are still to come.
    incomplete_list: Option<(u64, usize)>,
    schedulers: BTreeMap<u64, Scheduler<SimulatorHost>>,
    reply: Rc<RefCell<String>>,
}

impl Adapter {
    /// Handles one event line.
    fn event(&mut self, line: &Line) -> Result<(), String> {
        let now = self.now;
        let name = line.text.split(' ').next().unwrap_or_default();
        match name {
            "CATALOG" => {
                let bank = line.required("bank")?;
                self.lists.insert(bank, Vec::new());
                let rows = line.required("rows")?;
                self.incomplete_list = (rows > 0).then_some((bank, rows));
                return Ok(());
            }
            "LAUNCH" => {
                let scheduler_id = line.required("schedulerId")?;
                let facts: Map<String, Value> =
                    serde_json::from_str(line.text("facts").unwrap_or("{}")).map_err(|e| line.error(e))?;
                let host = SimulatorHost { scheduler_id, reply: Rc::clone(&self.reply) };
                let scheduler = Scheduler::start(host, line.required("entropy")?, facts);
                self.schedulers.insert(scheduler_id, scheduler);
                return Ok(());
            }
            "SHUTDOWN" => {
                self.schedulers.remove(&line.required("schedulerId")?);
                return Ok(());
            }
            _ => {}
        }
        let Some(scheduler) = self.schedulers.get_mut(&line.required("schedulerId")?) else { return Ok(()) };
        match name {
            "UPDATE" => {
                let kind: u64 = line.required("kind")?;
                if kind == 3 {
                    scheduler.list_failed();
                    return Ok(());
                }
                let bank = line.required("bank")?;
                let rows = self.lists.get(&bank).ok_or_else(|| line.error("field bank: no such list"))?;
                let mut named = BTreeSet::new();
                for text in rows {
                    let row = Line { text, number: line.number };
                    let worker = WorkerId(row.required("worker")?);
                    let lifecycle = match row.optional("lifecycle")?.unwrap_or(0u64) {
                        0 => Lifecycle::Ready,
                        2 => Lifecycle::Draining,
                        _ => Lifecycle::Gone,
                    };
                    named.insert(worker);
                    scheduler.worker_listed(
                        now,
                        worker,
                        lifecycle,
                        Time::from_ms(row.optional("since")?.unwrap_or(0.0)),
                        ZoneId(row.optional("locality")?.unwrap_or(0)),
                        CellId(row.optional("group")?.unwrap_or(0)),
                        row.optional("heft")?.unwrap_or(1.0),
                    );
                }
                scheduler.list_received(now, (kind != 0).then_some(&named));
            }
            "SUBMIT" => scheduler.rpc_received(
                now,
                RpcId(line.required("req")?),
                MethodId(line.optional("cls")?.unwrap_or(0)),
                FunctionId(line.optional("callee")?.unwrap_or(0)),
                TenantId(line.optional("owner")?.unwrap_or(0)),
                line.ms("timeLeft")?,
                line.optional("width")?.unwrap_or(1.0),
            ),
            "VANISHED" => scheduler.rpc_abandoned(RpcId(line.required("req")?)),
            "OPENED" => scheduler.answer_started(RpcId(line.required("req")?)),
            "ATTEMPT_END" => {
                let remark: u64 = line.optional("remark")?.unwrap_or(0);
                let copy = match remark % 8 {
                    1 => CopyReport::Warm,
                    2 => CopyReport::BeganLoad,
                    3 => CopyReport::WaitedForLoad,
                    4 => CopyReport::LoadFailed,
                    _ => CopyReport::Unreported,
                };
                let number = AttemptNumber(line.required("seqNo")?);
                let done = line.optional("final")?.unwrap_or(0u64) == 1;
                let (outcome, load_report) = (line.outcome()?, line.load_report()?);
                let elapsed = line.ms("elapsed")?;
                let rpc = RpcId(line.required("req")?);
                scheduler.attempt_ended(
                    now,
                    rpc,
                    number,
                    outcome,
                    elapsed,
                    done,
                    copy,
                    remark / 8,
                    &load_report,
                );
            }
            "STATUS_BACK" => {
                scheduler.load_report_received(now, WorkerId(line.required("worker")?), &line.load_report()?);
            }
            "LOAD_RESULT" => {
                // Any outcome but 'S' (such as 'F', no room, or 'E', the load failed) means that there is no copy.
                let (worker, function) =
                    (WorkerId(line.required("worker")?), FunctionId(line.required("callee")?));
                scheduler.load_ended(
                    now,
                    worker,
                    function,
                    line.outcome()?,
                    line.optional("instances")?.unwrap_or(0),
                );
            }
            "REMINDER" => scheduler.timer_fired(now, TimerId(line.required("ref")?)),
            // Other events are ignored: schedulers share nothing here, and later protocol versions may add events.
            _ => {}
        }
        Ok(())
    }

    /// Reads one line; true: it ended a batch and the reply is due.
    fn read_line(&mut self, line: &Line, batch: &mut Option<String>) -> Result<bool, String> {
        if let Some((bank, missing)) = self.incomplete_list {
            if !line.text.starts_with("ITEM ") {
                return Err(line.error(format_args!("expected {missing} more ITEM lines")));
            }
            self.lists.entry(bank).or_default().push(line.text.to_owned());
            self.incomplete_list = (missing > 1).then_some((bank, missing - 1));
            return Ok(false);
        }
        match (line.text.split(' ').next().unwrap_or_default(), &batch) {
            ("", _) => {}
            ("SYNC", _) => {
                self.now = line.ms("moment")?;
                *batch = Some(line.required("batch")?);
            }
            (_, None) => return Err(line.error("outside of a batch (no SYNC line)")),
            ("EOF_BATCH", Some(_)) => return Ok(true),
            _ => self.event(line)?,
        }
        Ok(false)
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let (mut adapter, mut batch) = (Adapter::default(), None);
    let (mut text, mut number) = (String::new(), 0);
    loop {
        text.clear();
        number += 1;
        if input.read_line(&mut text).map_err(|e| format!("line {number}: {e}"))? == 0 {
            return Ok(());
        }
        let line = Line { text: text.trim_end_matches(['\n', '\r']), number };
        if adapter.read_line(&line, &mut batch)? {
            let mut reply = adapter.reply.borrow_mut();
            let batch = batch.take().unwrap_or_default();
            let written = writeln!(output, "{reply}EOR batch={batch}").and_then(|()| output.flush());
            written.map_err(|e| format!("reply {batch}: {e}"))?;
            reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("curlewpoint-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
