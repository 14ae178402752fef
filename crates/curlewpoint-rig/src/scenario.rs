use curlewpoint::types::Time;
use curlewpoint_config::{milliseconds, read_lines, share, ConfigErrors, Line};
use curlewpoint_lab::{ReportError, Script};

macro_rules! plays {
    ($($name:literal)*) => {
        /// The plays that the program ships, by name.
        pub const SHIPPED_SCENARIOS: &[(&str, &str)] = &[$(($name, include_str!(concat!("../plays/", $name, ".play")))),*];
    };
}

plays! { "start" "cold" "herd" "deploy" "halves" "apart" "stopped" "stall" "again" "forged" "wave" "rare"
"holders" "returned" "split" "zone" "called" "newcomer" "misled" }

const BASE: &str = include_str!("../plays/base.part");
/// What schedulers run with.
pub const CONFIG: &str = include_str!("../plays/fleet.conf");

macro_rules! words {
    ($of:ident $about:literal $($name:ident $text:literal $what:literal)*) => {
        #[doc = $about]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $of { $(#[doc = $what] $name),* }

        impl $of {
            pub const ALL: &'static [(&'static str, $of, &'static str)] = &[$(($text, $of::$name, $what)),*];

            fn read(word: &str) -> Result<$of, String> {
                let all: Vec<&str> = $of::ALL.iter().map(|a| a.0).collect();
                let found = $of::ALL.iter().find(|a| a.0 == word).map(|a| a.1);
                found.ok_or_else(|| format!("'{word}' is none of {}", all.join(", ")))
            }
        }
    };
}

words! { Action "What a play can do."
    Cut "cut" "bytes between the parties lie until the time is over; new connections say nothing"
    Delay "delay" "bytes between the parties come `every` late"
    Slow "slow" "bytes between the parties come `size` a second"
    Reset "reset" "connections between the parties end at once"
    Kill "kill" "SIGKILL; started again after the time"
    Stop "stop" "SIGSTOP, and SIGCONT after the time"
    Term "term" "SIGTERM and started again, `size` of all at a time, `every` so long"
    Again "again" "a second run under the same name; the first is killed after the time"
    Forge "forge" "a made-up peer sends what no peer should"
    Flood "flood" "a made-up peer tells and asks the directory `size` rows a second for the time, and then too many in a frame"
    Lie "lie" "a made-up peer tells the directory `size` copies a second that are not there, for the time"
    Deaf "deaf" "a made-up peer asks the directory `size` questions a second for the time, and reads nothing"
    Call "call" "schedulers are each asked `every` so long, for the time, for one function that nobody has asked for"
    Drain "drain" "workers are told to drain"
    Die "die" "workers die; started cold after the time"
    Restart "restart" "workers die and start cold after the time"
    ListDown "list-down" "the list service is away, and comes back as a new run of itself"
}

words! { Who "Who it is done to, or with whom."
    Schedulers "schedulers" "a part of the schedulers, drawn"
    Others "others" "the schedulers that were not drawn last"
    Watchers "watchers" "those that are connected to the list service"
    Workers "workers" "a part of the workers, drawn"
    List "list" "the list service"
}

words! { Limit "What a play holds its figures against, beside the five rules."
    ListConnections "list-connections" "connections at the list service in any 100 ms"
    WholeLists "whole-lists" "whole lists that the list service sent"
    Told "told" "the time from the first who was told that a worker drains to 99 in 100, in ms"
    Alike "alike" "from the last fault's end until all beats tell the same of the fleet, in ms"
    Serves "serves" "from the ready line of one that starts anew to its first ok answer, in ms"
    Called "called" "from the first call of a function that is called everywhere until each scheduler has answered ok, in ms"
    Unanswered "unanswered" "of the directory's questions those without an answer in 3 s, in 100"
    Younger "younger" "by how much a row of the directory looks younger than it is, in ms"
}

/// One thing that happens, at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct At {
    pub at: Time,
    pub action: Action,
    pub who: Who,
    pub part: f64,
    pub from: Option<Who>,
    pub len: Time,
    pub size: f64,
    pub every: Time,
    /// Only what goes to the first party is touched.
    pub one_way: bool,
}

/// A part of a play over which the cost of an instance is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    pub name: String,
    pub at: Time,
    pub len: Time,
}

/// A fleet, its load, what happens to it, and what is expected of it.
#[derive(Clone, Debug)]
pub struct FleetScenario {
    pub script: Script,
    /// Workers have just started.
    pub cold: bool,
    /// Connections that the list service takes in a second; none: all.
    pub list_takes: Option<f64>,
    /// Workers that the list tells as draining, and that are not there: rows as a larger fleet has them.
    pub idle_rows: usize,
    pub events: Vec<At>,
    pub spans: Vec<Span>,
    pub expects: Vec<(Limit, f64)>,
}

fn time(text: &str) -> Result<Time, String> {
    milliseconds(text).map(Time::from_ms)
}

fn number(text: &str) -> Result<f64, String> {
    text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0).ok_or(format!("'{text}' is not a number"))
}

fn event(line: &Line) -> Result<At, (usize, String)> {
    let word = |no: usize| line.words.get(no).map_or("", |w| w.text.as_str());
    let at = time(word(1)).map_err(|e| (1, e))?;
    let action = Action::read(word(2)).map_err(|e| (2, e))?;
    let alone = action == Action::ListDown;
    let who = if alone { Who::List } else { Who::read(word(3)).map_err(|e| (3, e))? };
    let (len, every) = (Time(0), Time(10_000));
    let mut e = At { at, action, who, part: 1.0, from: None, len, size: 1.0, every, one_way: false };
    let mut no = if alone { 3 } else { 4 };
    while no < line.words.len() {
        let value = word(no + 1);
        let read = match word(no) {
            "part" => share(value).map(|x| e.part = x),
            "from" => Who::read(value).map(|x| e.from = Some(x)),
            "for" => time(value).map(|x| e.len = x),
            "size" => share(value).or_else(|_| number(value)).map(|x| e.size = x),
            "every" => time(value).map(|x| e.every = x),
            "one-way" => {
                e.one_way = true;
                no += 1;
                continue;
            }
            other => return Err((no, format!("'{other}' is none of part, from, for, size, every, one-way"))),
        };
        read.map_err(|what| ((no + 1).min(line.words.len() - 1), what))?;
        no += 2;
    }
    let between = [Action::Cut, Action::Delay, Action::Slow, Action::Reset].contains(&action);
    if between != e.from.is_some() {
        let what = if between { "it needs `from` and a party" } else { "it takes no `from`" };
        return Err((2, what.to_owned()));
    }
    Ok(e)
}

/// As many rows as a scheduler takes of a list.
const MOST_ROWS: usize = 100_000;
/// What the names of workers that are only rows begin with.
pub const IDLE: &str = "idle-";

/// `measure NAME at TIME for TIME`.
fn span(line: &Line) -> Result<Span, (usize, String)> {
    let word = |no: usize| line.words.get(no).map_or("", |w| w.text.as_str());
    if line.words.len() != 6 || word(2) != "at" || word(4) != "for" {
        return Err((0, "it is written `measure NAME at TIME for TIME`".to_owned()));
    }
    let (at, len) = (time(word(3)).map_err(|e| (3, e))?, time(word(5)).map_err(|e| (5, e))?);
    if len == Time(0) {
        return Err((5, "it must be longer than nothing".to_owned()));
    }
    Ok(Span { name: word(1).to_owned(), at, len })
}

fn expect(line: &Line) -> Result<(Limit, f64), (usize, String)> {
    let word = |no: usize| line.words.get(no).map_or("", |w| w.text.as_str());
    let limit = Limit::read(word(1)).map_err(|e| (1, e))?;
    let value = milliseconds(word(2)).or_else(|_| number(word(2))).map_err(|e| (2, e))?;
    Ok((limit, value))
}

impl FleetScenario {
    /// Reads a play; what it does not say of the fleet and the load is that of all plays. All faults are told at once.
    pub fn parse(name: &str, text: &str) -> Result<FleetScenario, ConfigErrors> {
        let base = read_lines("base.part", BASE, |lines, fault| {
            Script::from_lines(Script::default(), lines, fault, &mut |_, _| false)
        })?;
        read_lines(name, text, |lines, fault| {
            let (mut cold, mut list_takes, mut idle_rows) = (false, None, 0);
            let (mut events, mut spans, mut expects) = (Vec::new(), Vec::new(), Vec::new());
            let script =
                Script::from_lines(base, lines, fault, &mut |line: &Line, fault: &mut ReportError| {
                    let value = line.words.get(1).map_or("", |w| w.text.as_str());
                    let read = match line.name() {
                        "at" => event(line).map(|e| events.push(e)),
                        "measure" => span(line).map(|s| spans.push(s)),
                        "expect" => expect(line).map(|e| expects.push(e)),
                        "cold" => match value {
                            "yes" | "no" => {
                                cold = value == "yes";
                                Ok(())
                            }
                            _ => Err((1, format!("'{value}' is neither yes nor no"))),
                        },
                        "list-takes" => number(value).map(|n| list_takes = Some(n)).map_err(|e| (1, e)),
                        "idle-rows" => match value.parse() {
                            Ok(n) if n <= MOST_ROWS => {
                                idle_rows = n;
                                Ok(())
                            }
                            _ => Err((1, format!("'{value}' is no whole number up to {MOST_ROWS}"))),
                        },
                        _ => return false,
                    };
                    if let Err((word, what)) = read {
                        fault(line, word, what);
                    }
                    true
                });
            events.sort_by_key(|e: &At| e.at);
            spans.sort_by_key(|s: &Span| s.at);
            if let Some(late) = spans.iter().find(|s| s.at + s.len >= script.length) {
                let measures =
                    |l: &&Line| l.name() == "measure" && l.words.get(1).is_some_and(|w| w.text == late.name);
                let line = lines.iter().find(measures).or(lines.first());
                line.into_iter().for_each(|l| fault(l, 0, "the play ends before it is over".to_owned()));
            }
            FleetScenario { script, cold, list_takes, idle_rows, events, spans, expects }
        })
    }

    /// One of those that the program ships.
    pub fn shipped(name: &str) -> Option<FleetScenario> {
        let (name, text) = SHIPPED_SCENARIOS.iter().find(|p| p.0 == name)?;
        FleetScenario::parse(name, text).ok()
    }
}

#[cfg(test)]
mod tests;
