use std::collections::BTreeMap;
use std::sync::Arc;

use curlewpoint::types::Time;
use curlewpoint_config::{bytes, milliseconds, read_lines, share, Config, ConfigErrors, Line};
use curlewpoint_emulator::WorkerSpec;

use crate::test_servers::MethodCost;

/// The configuration and the script that `rehearse` plays.
pub const REHEARSAL_CONFIG: &str = include_str!("../days/rehearsal.conf");
pub const BAD_DAY: &str = include_str!("../days/bad.day");
/// The kinds of trouble that the bad day has not.
pub const SECOND_DAY: &str = include_str!("../days/second.day");

macro_rules! kinds {
    ($($name:ident $text:literal $about:literal)*) => {
        /// What a script can do.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum EventKind { $(#[doc = $about] $name),* }

        impl EventKind {
            pub const ALL: &'static [(&'static str, EventKind, &'static str)] = &[$(($text, EventKind::$name, $about)),*];
        }
    };
}

kinds! {
    Crash "crash" "workers die, and come back cold after the time"
    MassRestart "mass-restart" "all workers of a cell die at once and come back cold after the time"
    Deploy "deploy" "workers drain, end and start anew, cold: `size` of them at a time; each drains `every`"
    Hang "hang" "workers take RPCs and answer none"
    FastErrors "fast-errors" "workers fail `size` of their RPCs at once"
    Slow "slow" "workers are `size` times slower"
    Ageing "ageing" "the workers of a cell get slower and slower, up to `size` times"
    Pauses "pauses" "workers stand still for `size` x 100 ms every `every`"
    AnswerLost "answer-lost" "`size` of the answers of workers are lost; the work is done"
    Cut "cut" "workers' connections break in the middle of their next frame"
    Mute "mute" "workers accept and do not read"
    StoreStop "store-stop" "the model store stands still"
    StoreRefuse "store-refuse" "the model store turns all fetches away"
    ListDown "list-down" "the list service is away, and comes back as a new run of itself"
    ListLate "list-late" "changes of the list come `every` late"
    SchedulerStall "scheduler-stall" "schedulers get no turn"
    SchedulerKill "scheduler-kill" "schedulers are killed, and started anew after the time"
    Burst "burst" "`size` times the traffic"
    Shift "shift" "all traffic moves to the first `part` of the schedulers"
    Scan "scan" "`size` of the RPCs ask for models that are asked for once only"
    Flush "flush" "`part` of the models are released anew: idle copies are void"
}

/// One thing that happens, at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptEvent {
    pub at: Time,
    pub kind: EventKind,
    /// Of the workers, schedulers or models.
    pub share: f64,
    pub duration: Time,
    pub size: f64,
    pub interval: Time,
}

/// Is told of a fault: its line, its word, what is wrong.
pub type ReportError<'a> = dyn FnMut(&Line, usize, String) + 'a;

/// A day: the fleet, the load, and what happens.
#[derive(Clone, Debug)]
pub struct Script {
    pub length: Time,
    pub seed: u64,
    pub schedulers: usize,
    pub workers: usize,
    pub cells: usize,
    pub zones: usize,
    pub cores: f64,
    pub slots: usize,
    pub queue: usize,
    pub memory_mb: f64,
    pub loads_at_once: usize,
    pub store_parallel_fetches: f64,
    pub store_max_fetches: usize,
    pub store_overload_penalty: f64,
    pub list_delay: Time,
    /// RPCs a second, at all schedulers together.
    pub rate: f64,
    pub models: usize,
    /// Popularity falls with the rank to this power.
    pub zipf: f64,
    pub body: usize,
    /// Each method's share of the RPCs, and what it costs a worker.
    pub methods: BTreeMap<String, (f64, MethodCost)>,
    pub events: Vec<ScriptEvent>,
}

impl Default for Script {
    fn default() -> Self {
        Script {
            length: Time(100_000),
            seed: 1,
            schedulers: 3,
            workers: 12,
            cells: 3,
            zones: 2,
            cores: 3.0,
            slots: 8,
            queue: 24,
            memory_mb: 4096.0,
            loads_at_once: 4,
            store_parallel_fetches: 8.0,
            store_max_fetches: 40,
            store_overload_penalty: 0.1,
            list_delay: Time(5_000),
            rate: 60.0,
            models: 24,
            zipf: 1.1,
            body: 256,
            methods: BTreeMap::new(),
            events: Vec::new(),
        }
    }
}

fn time(text: &str) -> Result<Time, String> {
    milliseconds(text).map(Time::from_ms)
}

fn number(text: &str) -> Result<f64, String> {
    text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0).ok_or(format!("'{text}' is not a number"))
}

fn count(text: &str) -> Result<usize, String> {
    text.parse()
        .ok()
        .filter(|n| *n <= 1_000_000)
        .ok_or(format!("'{text}' is not a whole number up to 1000000"))
}

fn mib(text: &str) -> Result<f64, String> {
    bytes(text).map(|b| b / 1048576.0)
}

/// Takes a value into its place; false: there is no such directive.
fn set(s: &mut Script, name: &str, v: &str) -> Result<bool, String> {
    match name {
        "length" => s.length = time(v)?,
        "seed" => s.seed = v.parse().map_err(|_| format!("'{v}' is not a whole number"))?,
        "schedulers" => s.schedulers = count(v)?,
        "workers" => s.workers = count(v)?,
        "cells" => s.cells = count(v)?,
        "zones" => s.zones = count(v)?,
        "cores" => s.cores = number(v)?,
        "slots" => s.slots = count(v)?,
        "queue" => s.queue = count(v)?,
        "memory" => s.memory_mb = mib(v)?,
        "loads-at-once" => s.loads_at_once = count(v)?,
        "store-lines" => s.store_parallel_fetches = number(v)?,
        "store-most" => s.store_max_fetches = count(v)?,
        "store-thrash" => s.store_overload_penalty = number(v)?,
        "list-late" => s.list_delay = time(v)?,
        "rate" => s.rate = number(v)?,
        "models" => s.models = count(v)?,
        "zipf" => s.zipf = number(v)?,
        "body" => s.body = bytes(v)? as usize,
        _ => return Ok(false),
    }
    Ok(true)
}

fn method_cost(line: &Line, fault: &mut dyn FnMut(&Line, usize, String)) -> (f64, MethodCost) {
    let mut cost = MethodCost { work_ms: 20.0, memory_mb: 256.0, load_ms: 500.0, fetch_share: 0.6, lanes: 2 };
    let mut share_of_rpcs = 1.0;
    for l in line.block.iter().flatten() {
        let v = l.words.get(1).map_or("", |w| w.text.as_str());
        let read = match l.name() {
            "share" => share(v).map(|x| share_of_rpcs = x),
            "work" => milliseconds(v).map(|x| cost.work_ms = x),
            "memory" => mib(v).map(|x| cost.memory_mb = x),
            "load" => milliseconds(v).map(|x| cost.load_ms = x),
            "fetch" => share(v).map(|x| cost.fetch_share = x),
            "lanes" => count(v).map(|x| cost.lanes = x.max(1)),
            other => {
                fault(l, 0, format!("no directive '{other}' in a method of a script"));
                Ok(())
            }
        };
        if let Err(what) = read {
            fault(l, 1, what);
        }
    }
    (share_of_rpcs, cost)
}

fn event(line: &Line, fault: &mut dyn FnMut(&Line, usize, String)) -> Option<ScriptEvent> {
    let word = |no: usize| line.words.get(no).map_or("", |w| w.text.as_str());
    let mut good = true;
    let mut bad = |no, what| {
        fault(line, no, what);
        good = false;
    };
    let at = time(word(1)).unwrap_or_else(|what| {
        bad(1, what);
        Time(0)
    });
    let kind = EventKind::ALL.iter().find(|(name, _, _)| *name == word(2)).map(|k| k.1);
    if kind.is_none() {
        let all: Vec<_> = EventKind::ALL.iter().map(|k| k.0).collect();
        bad(2, format!("'{}' is none of {}", word(2), all.join(", ")));
    }
    let mut e = ScriptEvent {
        at,
        kind: kind.unwrap_or(EventKind::Crash),
        share: 0.25,
        duration: Time(20_000),
        size: 1.0,
        interval: Time(5_000),
    };
    let mut no = 3;
    while no < line.words.len() {
        let value = word(no + 1);
        let read = match word(no) {
            "part" => share(value).map(|x| e.share = x),
            "for" => time(value).map(|x| e.duration = x),
            "size" => share(value).or_else(|_| number(value)).map(|x| e.size = x),
            "every" => time(value).map(|x| e.interval = x),
            other => {
                bad(no, format!("'{other}' is none of part, for, size, every"));
                Ok(())
            }
        };
        if let Err(what) = read {
            bad((no + 1).min(line.words.len() - 1), what);
        }
        no += 2;
    }
    good.then_some(e)
}

impl Script {
    /// What a worker of this script is, where schedulers run with this configuration.
    pub fn worker_spec(&self, config: &Config) -> WorkerSpec {
        let workers = |name| config.number("workers", name);
        WorkerSpec {
            cores: self.cores,
            speed: 1.0,
            slots: self.slots,
            queue: self.queue,
            memory_mb: self.memory_mb,
            loads_at_once: self.loads_at_once,
            keep_alive: Time::from_ms(workers("keep-alive")),
            start_capacity: workers("start-capacity"),
            warm_within: Time::from_ms(workers("warm-within")),
            fall_multiple: workers("fall-multiple"),
            fall_window: Time::from_ms(workers("fall-window")),
            adds_copies: true,
            answers_miss: config.value("workers", "absent") == Some("miss"),
        }
    }

    /// What each method costs a worker.
    pub fn method_costs(&self) -> Arc<BTreeMap<String, MethodCost>> {
        Arc::new(self.methods.iter().map(|(m, (_, t))| (m.clone(), *t)).collect())
    }

    /// Reads a script; all faults are told at once.
    pub fn parse(name: &str, text: &str) -> Result<Script, ConfigErrors> {
        read_lines(name, text, |lines, fault| {
            let mut events = Vec::new();
            let mut s = Script::from_lines(Script::default(), lines, fault, &mut |line, fault| {
                let known = line.name() == "at";
                if known {
                    events.extend(event(line, fault));
                }
                known
            });
            events.sort_by_key(|e| e.at);
            s.events = events;
            s
        })
    }

    /// Reads the lines of a script that tell the fleet and the load, and what they leave out from another; `other` is asked about those that do not, and says
    /// whether it knows them.
    pub fn from_lines(
        base: Script, lines: &[Line], fault: &mut ReportError,
        other: &mut dyn FnMut(&Line, &mut ReportError) -> bool,
    ) -> Script {
        let mut s = base;
        for line in lines {
            let value = line.words.get(1).map_or("", |w| w.text.as_str());
            match line.name() {
                "method" => {
                    let read = method_cost(line, fault);
                    s.methods.insert(value.to_owned(), read);
                }
                name => match set(&mut s, name, value) {
                    Ok(true) => {}
                    Ok(false) if other(line, fault) => {}
                    Ok(false) => fault(line, 0, format!("no directive '{name}' in a script")),
                    Err(what) => fault(line, 1, what),
                },
            }
        }
        for (name, value) in [
            ("workers", s.workers),
            ("schedulers", s.schedulers),
            ("cells", s.cells),
            ("zones", s.zones),
            ("models", s.models),
        ] {
            if let (0, Some(line)) = (value, lines.first()) {
                fault(line, 0, format!("{name} must be at least 1"));
            }
        }
        if let (true, Some(line)) = (s.methods.is_empty(), lines.first()) {
            fault(line, 0, "a script needs a method".to_owned());
        }
        s
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test]
    fn the_shipped_day_and_its_configuration_are_read() {
        let day = Script::parse("bad.day", BAD_DAY).unwrap_or_else(|f| panic!("{f}"));
        let config =
            curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG).unwrap_or_else(|f| panic!("{f}"));
        assert!(day.methods.keys().all(|m| config.methods().contains(m)));
        let kinds: std::collections::BTreeSet<_> = day.events.iter().map(|e| e.kind).collect();
        assert!(kinds.len() >= 6);
    }

    #[test_case("at 5s crsh", "'crsh' is none of crash" ; "an unknown kind")]
    #[test_case("at 5 crash", "write 500ms" ; "a time without its unit")]
    #[test_case("at 5s crash prt 20%", "'prt' is none of part" ; "an unknown word")]
    #[test_case("rate x", "'x' is not a number" ; "nonsense")]
    #[test_case("rte 5", "no directive 'rte'" ; "an unknown directive")]
    #[test_case("workers 0", "workers must be at least 1" ; "no worker")]
    fn faults_are_told_with_their_place(line: &str, want: &str) {
        let told = Script::parse("x.day", &format!("method a {{\n  work 5ms\n}}\n{line}\n")).unwrap_err();
        assert!(told.rendered.contains(want) && told.rendered.contains("x.day:"), "{told}");
    }
}
