//! Runs decision modules on the simulator's wire: decodes a line, calls the module, encodes what it does.

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

/// One instance's way out: its actions go to the reply in the order given.
struct Wire {
    instance: u64,
    reply: Rc<RefCell<String>>,
}

impl Wire {
    fn say(&self, action: &str, rest: std::fmt::Arguments) {
        // Writing to a String cannot fail.
        let _ = writeln!(self.reply.borrow_mut(), "{action} schedulerId={}{rest}", self.instance);
    }
}

impl Host for Wire {
    fn attempt(&mut self, rpc: RpcId, worker: WorkerId, limit: Time) {
        let limit = limit.ms();
        self.say("PASS_ON", format_args!(" req={} worker={} allowFor={limit:.1}", rpc.0, worker.0));
    }
    fn cancel(&mut self, rpc: RpcId, no: AttemptNumber) {
        self.say("UNDO_SEND", format_args!(" req={} seqNo={}", rpc.0, no.0));
    }
    fn deny(&mut self, rpc: RpcId, retry_after: Time) {
        self.say("OVERLOAD_REPLY", format_args!(" req={} retryAfter={:.1}", rpc.0, retry_after.ms()));
    }
    fn abort(&mut self, rpc: RpcId) {
        self.say("GIVE_UP", format_args!(" req={}", rpc.0));
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u64) {
        let (worker, function) = (worker.0, function.0);
        self.say("HOLD_THERE", format_args!(" worker={worker} callee={function} instances={copies}"));
    }
    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.say("SHELVE", format_args!(" callee={} worker={}", function.0, worker.0));
    }
    fn probe(&mut self, worker: WorkerId) {
        self.say("SOUND_OUT", format_args!(" worker={}", worker.0));
    }
    fn set_timer(&mut self, delay: Time, id: TimerId) {
        self.say("SET_TIMER", format_args!(" offset={:.1} ref={}", delay.ms(), id.0));
    }
    fn watch_list(&mut self) {
        self.say("OBSERVE", format_args!(" active=1"));
    }
    fn log(&mut self, line: &str) {
        self.say("DEBUG", format_args!(" bodyText={line}"));
    }
}

/// The fields of one line. Fields that nobody asks for are passed over.
struct Line<'a> {
    text: &'a str,
    number: u64,
}

impl<'a> Line<'a> {
    fn fault(&self, what: impl std::fmt::Display) -> String {
        let name = self.text.split(' ').next().unwrap_or_default();
        format!("line {}: {name}: {what}", self.number)
    }

    /// The value of a field; `facts` runs to the end of its line.
    fn text(&self, field: &str) -> Option<&'a str> {
        let mut rest = self.text;
        while let Some((_, tail)) = rest.split_once(' ') {
            if let Some(value) = tail.strip_prefix(field).and_then(|t| t.strip_prefix('=')) {
                let one = if field == "facts" { value } else { value.split(' ').next().unwrap_or_default() };
                return Some(one);
            }
            if tail.starts_with("facts=") {
                return None;
            }
            rest = tail;
        }
        None
    }

    fn maybe<T: std::str::FromStr>(&self, field: &str) -> Result<Option<T>, String> {
        match self.text(field) {
            None | Some("") => Ok(None),
            Some(v) => {
                v.parse().map(Some).map_err(|_| self.fault(format_args!("field {field}: cannot read '{v}'")))
            }
        }
    }

    fn get<T: std::str::FromStr>(&self, field: &str) -> Result<T, String> {
        self.maybe(field)?.ok_or_else(|| self.fault(format_args!("field {field} is missing")))
    }

    fn ms(&self, field: &str) -> Result<Time, String> {
        self.get::<f64>(field).map(Time::from_ms)
    }

    fn outcome(&self) -> Result<Outcome, String> {
        Ok(match self.get::<String>("reason")?.as_str() {
            "S" => Outcome::Ok,
            "E" => Outcome::Error,
            "F" => Outcome::Full,
            "T" => Outcome::TimeOut,
            "C" => Outcome::ConnectFailed,
            "R" => Outcome::Reset,
            "X" => Outcome::Cancelled,
            "N" => Outcome::NotSent,
            "M" => Outcome::Miss,
            other => return Err(self.fault(format_args!("field reason: cannot read '{other}'"))),
        })
    }

    fn report(&self) -> Result<Vec<f64>, String> {
        let values = self.text("stats").unwrap_or_default();
        let values = values.split(',').filter(|v| !v.is_empty() && *v != "-");
        let bad = |v: &str| self.fault(format_args!("field stats: cannot read '{v}'"));
        values.map(|v| v.parse().map_err(|_| bad(v))).collect()
    }
}

/// Everything that this process holds: the lists named by number, and the instances.
#[derive(Default)]
struct Process {
    now: Time,
    lists: BTreeMap<u64, Vec<String>>,
    filling: Option<(u64, usize)>,
    instances: BTreeMap<u64, Scheduler<Wire>>,
    reply: Rc<RefCell<String>>,
}

impl Process {
    fn event(&mut self, line: &Line) -> Result<(), String> {
        let now = self.now;
        let name = line.text.split(' ').next().unwrap_or_default();
        match name {
            "CATALOG" => {
                let bank = line.get("bank")?;
                self.lists.insert(bank, Vec::new());
                let rows = line.get("rows")?;
                self.filling = (rows > 0).then_some((bank, rows));
                return Ok(());
            }
            "LAUNCH" => {
                let instance = line.get("schedulerId")?;
                let facts: Map<String, Value> =
                    serde_json::from_str(line.text("facts").unwrap_or("{}")).map_err(|e| line.fault(e))?;
                let wire = Wire { instance, reply: Rc::clone(&self.reply) };
                let scheduler = Scheduler::start(wire, line.get("entropy")?, facts);
                self.instances.insert(instance, scheduler);
                return Ok(());
            }
            "SHUTDOWN" => {
                self.instances.remove(&line.get("schedulerId")?);
                return Ok(());
            }
            _ => {}
        }
        let Some(srv) = self.instances.get_mut(&line.get("schedulerId")?) else { return Ok(()) };
        match name {
            "UPDATE" => {
                let kind: u64 = line.get("kind")?;
                if kind == 3 {
                    srv.list_failed();
                    return Ok(());
                }
                let bank = line.get("bank")?;
                let rows = self.lists.get(&bank).ok_or_else(|| line.fault("field bank: no such list"))?;
                let mut named = BTreeSet::new();
                for text in rows {
                    let row = Line { text, number: line.number };
                    let worker = WorkerId(row.get("worker")?);
                    let standing = match row.maybe("lifecycle")?.unwrap_or(0u64) {
                        0 => Lifecycle::Ready,
                        2 => Lifecycle::Draining,
                        _ => Lifecycle::Gone,
                    };
                    named.insert(worker);
                    srv.worker_listed(
                        now,
                        worker,
                        standing,
                        Time::from_ms(row.maybe("since")?.unwrap_or(0.0)),
                        ZoneId(row.maybe("locality")?.unwrap_or(0)),
                        CellId(row.maybe("group")?.unwrap_or(0)),
                        row.maybe("heft")?.unwrap_or(1.0),
                    );
                }
                srv.list_received(now, (kind != 0).then_some(&named));
            }
            "SUBMIT" => srv.rpc_received(
                now,
                RpcId(line.get("req")?),
                MethodId(line.maybe("cls")?.unwrap_or(0)),
                FunctionId(line.maybe("callee")?.unwrap_or(0)),
                TenantId(line.maybe("owner")?.unwrap_or(0)),
                line.ms("timeLeft")?,
                line.maybe("width")?.unwrap_or(1.0),
            ),
            "VANISHED" => srv.rpc_abandoned(RpcId(line.get("req")?)),
            "OPENED" => srv.answer_started(RpcId(line.get("req")?)),
            "ATTEMPT_END" => {
                let remark: u64 = line.maybe("remark")?.unwrap_or(0);
                let copy = match remark % 8 {
                    1 => CopyReport::Warm,
                    2 => CopyReport::BeganLoad,
                    3 => CopyReport::WaitedForLoad,
                    4 => CopyReport::LoadFailed,
                    _ => CopyReport::Unreported,
                };
                let no = AttemptNumber(line.get("seqNo")?);
                let done = line.maybe("final")?.unwrap_or(0u64) == 1;
                let (outcome, report) = (line.outcome()?, line.report()?);
                let elapsed = line.ms("elapsed")?;
                let rpc = RpcId(line.get("req")?);
                srv.attempt_ended(now, rpc, no, outcome, elapsed, done, copy, remark / 8, &report);
            }
            "STATUS_BACK" => {
                srv.load_report_received(now, WorkerId(line.get("worker")?), &line.report()?);
            }
            "LOAD_RESULT" => {
                // A load order ends in 'F' (no room), 'E' (a load failed) and the like; all but 'S' leave no copy.
                let (worker, function) = (WorkerId(line.get("worker")?), FunctionId(line.get("callee")?));
                srv.load_ended(now, worker, function, line.outcome()?, line.maybe("instances")?.unwrap_or(0));
            }
            "REMINDER" => srv.timer_fired(now, TimerId(line.get("ref")?)),
            // Schedulers share nothing here, and events of later wires are passed over.
            _ => {}
        }
        Ok(())
    }

    /// Takes one line; the reply is due after the last of a batch.
    fn line(&mut self, line: &Line, batch: &mut Option<String>) -> Result<bool, String> {
        if let Some((bank, left)) = self.filling {
            if !line.text.starts_with("ITEM ") {
                return Err(line.fault(format_args!("{left} more ITEM lines were due")));
            }
            self.lists.entry(bank).or_default().push(line.text.to_owned());
            self.filling = (left > 1).then_some((bank, left - 1));
            return Ok(false);
        }
        match (line.text.split(' ').next().unwrap_or_default(), &batch) {
            ("", _) => {}
            ("SYNC", _) => {
                self.now = line.ms("moment")?;
                *batch = Some(line.get("batch")?);
            }
            (_, None) => return Err(line.fault("stands outside a batch")),
            ("EOF_BATCH", Some(_)) => return Ok(true),
            _ => self.event(line)?,
        }
        Ok(false)
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let (mut process, mut batch) = (Process::default(), None);
    let (mut text, mut number) = (String::new(), 0);
    loop {
        text.clear();
        number += 1;
        if input.read_line(&mut text).map_err(|e| format!("line {number}: {e}"))? == 0 {
            return Ok(());
        }
        let line = Line { text: text.trim_end_matches(['\n', '\r']), number };
        if process.line(&line, &mut batch)? {
            let mut reply = process.reply.borrow_mut();
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
        Err(why) => {
            eprintln!("curlewpoint-drill: {why}");
            ExitCode::FAILURE
        }
    }
}
