use curlewpoint::types::Time;
use curlewpoint_config::{milliseconds, read_lines, share, ConfigErrors, Line};
use curlewpoint_lab::{ReportError, Script};

macro_rules! shipped_scenarios {
    ($($name:literal)*) => {
        /// The scenarios that the program ships, by name.
        pub const SHIPPED_SCENARIOS: &[(&str, &str)] = &[$(($name, include_str!(concat!("../plays/", $name, ".play")))),*];
    };
}

shipped_scenarios! { "start" "cold" "herd" "deploy" "halves" "apart" "stopped" "stall" "again" "forged" "wave" "rare"
"holders" "returned" "split" "zone" "called" "newcomer" "misled" }

const BASE_SCRIPT: &str = include_str!("../plays/base.part");
/// The part of the scheduler configuration that is the same for all schedulers.
pub const SCHEDULER_CONFIG: &str = include_str!("../plays/fleet.conf");

macro_rules! keywords {
    ($of:ident $about:literal $($name:ident $text:literal $description:literal)*) => {
        #[doc = $about]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $of { $(#[doc = $description] $name),* }

        impl $of {
            pub const ALL: &'static [(&'static str, $of, &'static str)] = &[$(($text, $of::$name, $description)),*];

            fn parse(word: &str) -> Result<$of, String> {
                let all: Vec<&str> = $of::ALL.iter().map(|a| a.0).collect();
                let found = $of::ALL.iter().find(|a| a.0 == word).map(|a| a.1);
                found.ok_or_else(|| format!("'{word}' is none of {}", all.join(", ")))
            }
        }
    };
}

keywords! { Action "An action of a scenario, as written in its script."
    Cut "cut" "holds bytes between the parties until the time is over; new connections carry nothing"
    Delay "delay" "delays bytes between the parties by `every`"
    Slow "slow" "limits bytes between the parties to `size` per second"
    Reset "reset" "closes the connections between the parties at once"
    Kill "kill" "SIGKILL; restarted after the time"
    Stop "stop" "SIGSTOP, and SIGCONT after the time"
    Term "term" "SIGTERM and restart, `size` of all at a time, at intervals of `every`"
    Again "again" "starts a second run under the same name; the first is killed after the time"
    Forge "forge" "a forged peer sends invalid frames"
    Flood "flood" "a forged peer sends the copy directory `size` rows and queries per second for the time, then too many rows in a frame"
    Lie "lie" "a forged peer reports `size` copies per second that do not exist, for the time"
    Deaf "deaf" "a forged peer sends `size` queries per second for the time and reads nothing"
    Call "call" "calls a function that was not called before at each scheduler, at intervals of `every`, for the time"
    Drain "drain" "marks workers as draining in the list"
    Die "die" "workers end; restarted cold after the time"
    Restart "restart" "workers end and restart cold after the time"
    ListDown "list-down" "the list service is unreachable for the time and comes back as a new run"
}

keywords! { Party "The parties that an action applies to."
    Schedulers "schedulers" "a random part of the schedulers"
    Others "others" "the schedulers that were not chosen last"
    Watchers "watchers" "the schedulers connected to the list service"
    Workers "workers" "a random part of the workers"
    List "list" "the list service"
}

keywords! { Limit "A limit on a figure of a scenario, in addition to the five rules."
    ListConnections "list-connections" "connections at the list service in any 100 ms"
    WholeLists "whole-lists" "full lists that the list service sent"
    Told "told" "time from the first scheduler that received a worker's drain until 99% have, in ms"
    Alike "alike" "time from the end of the last fault until all heartbeats carry the same digest, in ms"
    Serves "serves" "time from the ready line of a restarted scheduler to its first ok answer, in ms"
    Called "called" "time from the first call of a function called at all schedulers until each has answered ok, in ms"
    Unanswered "unanswered" "directory queries without an answer in 3 s, in percent"
    Younger "younger" "largest understatement of the age of a directory row, in ms"
}

/// A fault or other scripted event of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultEvent {
    pub at: Time,
    pub action: Action,
    pub party: Party,
    pub part: f64,
    pub from: Option<Party>,
    pub duration: Time,
    pub size: f64,
    pub every: Time,
    /// Only the traffic towards the first party is affected.
    pub one_way: bool,
}

/// A time span of a scenario over which the cost of an instance is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredSpan {
    pub name: String,
    pub at: Time,
    pub duration: Time,
}

/// A fleet, its load, the scripted events, and the limits that its figures must keep.
#[derive(Clone, Debug)]
pub struct FleetScenario {
    pub script: Script,
    /// Whether the workers have just started.
    pub cold: bool,
    /// Connections per second that the list service accepts; `None` for no limit.
    pub list_accept_rate: Option<f64>,
    /// Rows of draining workers that don't exist, which make the endpoint list as long as a larger fleet's.
    pub idle_rows: usize,
    pub events: Vec<FaultEvent>,
    pub spans: Vec<MeasuredSpan>,
    pub limits: Vec<(Limit, f64)>,
}

fn parse_time(text: &str) -> Result<Time, String> {
    milliseconds(text).map(Time::from_ms)
}

fn parse_number(text: &str) -> Result<f64, String> {
    text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0).ok_or(format!("'{text}' is not a number"))
}

fn parse_event(line: &Line) -> Result<FaultEvent, (usize, String)> {
    let word_at = |index: usize| line.words.get(index).map_or("", |w| w.text.as_str());
    let at = parse_time(word_at(1)).map_err(|e| (1, e))?;
    let action = Action::parse(word_at(2)).map_err(|e| (2, e))?;
    let takes_no_party = action == Action::ListDown;
    let party = if takes_no_party { Party::List } else { Party::parse(word_at(3)).map_err(|e| (3, e))? };
    let (duration, every) = (Time(0), Time(10_000));
    let mut event =
        FaultEvent { at, action, party, part: 1.0, from: None, duration, size: 1.0, every, one_way: false };
    let mut index = if takes_no_party { 3 } else { 4 };
    while index < line.words.len() {
        let value = word_at(index + 1);
        let parsed = match word_at(index) {
            "part" => share(value).map(|x| event.part = x),
            "from" => Party::parse(value).map(|x| event.from = Some(x)),
            "for" => parse_time(value).map(|x| event.duration = x),
            "size" => share(value).or_else(|_| parse_number(value)).map(|x| event.size = x),
            "every" => parse_time(value).map(|x| event.every = x),
            "one-way" => {
                event.one_way = true;
                index += 1;
                continue;
            }
            unknown => {
                return Err((index, format!("'{unknown}' is none of part, from, for, size, every, one-way")))
            }
        };
        parsed.map_err(|message| ((index + 1).min(line.words.len() - 1), message))?;
        index += 2;
    }
    let affects_link = [Action::Cut, Action::Delay, Action::Slow, Action::Reset].contains(&action);
    if affects_link != event.from.is_some() {
        let message = if affects_link { "it needs `from` and a party" } else { "it takes no `from`" };
        return Err((2, message.to_owned()));
    }
    Ok(event)
}

/// The number of endpoint list rows that a scheduler accepts.
const MAX_LIST_ROWS: usize = 100_000;
/// Prefix of the names of workers that exist only as list rows.
pub const IDLE_WORKER_PREFIX: &str = "idle-";

/// `measure NAME at TIME for TIME`.
fn parse_span(line: &Line) -> Result<MeasuredSpan, (usize, String)> {
    let word_at = |index: usize| line.words.get(index).map_or("", |w| w.text.as_str());
    if line.words.len() != 6 || word_at(2) != "at" || word_at(4) != "for" {
        return Err((0, "it is written `measure NAME at TIME for TIME`".to_owned()));
    }
    let (at, duration) =
        (parse_time(word_at(3)).map_err(|e| (3, e))?, parse_time(word_at(5)).map_err(|e| (5, e))?);
    if duration == Time(0) {
        return Err((5, "the span must be longer than zero".to_owned()));
    }
    Ok(MeasuredSpan { name: word_at(1).to_owned(), at, duration })
}

fn parse_limit(line: &Line) -> Result<(Limit, f64), (usize, String)> {
    let word_at = |index: usize| line.words.get(index).map_or("", |w| w.text.as_str());
    let limit = Limit::parse(word_at(1)).map_err(|e| (1, e))?;
    let value = milliseconds(word_at(2)).or_else(|_| parse_number(word_at(2))).map_err(|e| (2, e))?;
    Ok((limit, value))
}

impl FleetScenario {
    /// Parses a scenario. What it leaves out of the fleet and the load comes from `base.part`. Reports all errors at once.
    pub fn parse(name: &str, text: &str) -> Result<FleetScenario, ConfigErrors> {
        let base = read_lines("base.part", BASE_SCRIPT, |lines, report_error| {
            Script::from_lines(Script::default(), lines, report_error, &mut |_, _| false)
        })?;
        read_lines(name, text, |lines, report_error| {
            let (mut cold, mut list_accept_rate, mut idle_rows) = (false, None, 0);
            let (mut events, mut spans, mut limits) = (Vec::new(), Vec::new(), Vec::new());
            let script = Script::from_lines(
                base,
                lines,
                report_error,
                &mut |line: &Line, report_error: &mut ReportError| {
                    let value = line.words.get(1).map_or("", |w| w.text.as_str());
                    let parsed = match line.name() {
                        "at" => parse_event(line).map(|event| events.push(event)),
                        "measure" => parse_span(line).map(|s| spans.push(s)),
                        "expect" => parse_limit(line).map(|limit| limits.push(limit)),
                        "cold" => match value {
                            "yes" | "no" => {
                                cold = value == "yes";
                                Ok(())
                            }
                            _ => Err((1, format!("'{value}' is neither yes nor no"))),
                        },
                        "list-takes" => {
                            parse_number(value).map(|n| list_accept_rate = Some(n)).map_err(|e| (1, e))
                        }
                        "idle-rows" => match value.parse() {
                            Ok(n) if n <= MAX_LIST_ROWS => {
                                idle_rows = n;
                                Ok(())
                            }
                            _ => Err((1, format!("'{value}' is no whole number up to {MAX_LIST_ROWS}"))),
                        },
                        _ => return false,
                    };
                    if let Err((word, message)) = parsed {
                        report_error(line, word, message);
                    }
                    true
                },
            );
            events.sort_by_key(|event: &FaultEvent| event.at);
            spans.sort_by_key(|s: &MeasuredSpan| s.at);
            if let Some(unfinished) = spans.iter().find(|s| s.at + s.duration >= script.length) {
                let measures = |l: &&Line| {
                    l.name() == "measure" && l.words.get(1).is_some_and(|w| w.text == unfinished.name)
                };
                let line = lines.iter().find(measures).or(lines.first());
                line.into_iter()
                    .for_each(|l| report_error(l, 0, "the scenario ends before the span does".to_owned()));
            }
            FleetScenario { script, cold, list_accept_rate, idle_rows, events, spans, limits }
        })
    }

    /// Returns a scenario that the program ships.
    pub fn shipped(name: &str) -> Option<FleetScenario> {
        let (name, text) = SHIPPED_SCENARIOS.iter().find(|p| p.0 == name)?;
        FleetScenario::parse(name, text).ok()
    }
}

#[cfg(test)]
mod tests;
