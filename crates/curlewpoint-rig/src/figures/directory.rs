//! What instances sent for the directory of copies, and what came of it, as the relays saw it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use curlewpoint::types::Time;
use curlewpoint_lab::TranscriptEvent;
use curlewpoint_wire::{Kind, PREFIX_BYTES};

use super::is_peer;
use crate::relay::{Passed, Taped};

const SECOND: Time = Time(10_000);
const KINDS: [Kind; 4] =
    [Kind::DIRECTORY_JOIN, Kind::DIRECTORY_QUERY, Kind::DIRECTORY_UPDATE, Kind::OBSERVATIONS];

/// What the directory reckons that a row takes (two names of nine bytes, five numbers), rows in an answer, and frames that
/// leave for one member together.
const ROW: usize = 32;
const ANSWER_ROWS: usize = 8;
const FRAMES: usize = 3;
/// Beside its rows and names a frame takes its length and kind, and a name and a count for each of two fields.
const HEAD: usize = PREFIX_BYTES + 10;
/// Which terms the frame brings that a link begins with: two fields of at most three bytes each.
const PART: usize = PREFIX_BYTES + 6;
/// What is sent and what is recorded lie so far apart at most, as the five rules are judged.
const TRANSIT: Time = Time(1_000);
/// A question that has brought no answer by then has brought none: three are asked one after the other, 0.3 s each.
const ANSWERED: Time = Time(30_000);
/// By then an RPC that waits for a load may still go by an answer.
const SOON: Time = Time(6_000);

/// How long a scheduler's threads were ready to run and not let in the second before each of these moments, by name.
pub type Waits = BTreeMap<String, Vec<(Time, Duration)>>;

/// One instance's worst second: what it sent in it, and what it may have sent at most.
#[derive(Clone, Debug, PartialEq)]
pub struct Second {
    pub who: String,
    pub at: Time,
    pub bytes: usize,
    pub most: f64,
    /// Of that, what the machine held up.
    pub late: Time,
}

/// What the relays saw of a directory of copies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    /// The second with the most bytes of all, and the one that is furthest over what is allowed, if one is.
    pub worst: Option<Second>,
    pub over: Option<Second>,
    /// Bytes of hints round the rings in the worst second of one instance.
    pub hints: usize,
    /// Questions that an instance put, to however many one after the other; those of them answered within 0.6 s, and not
    /// within 3 s.
    pub asked: usize,
    pub soon: usize,
    pub unanswered: usize,
    /// By how much a row that an instance told looked younger than it was, at most.
    pub younger: Time,
}

impl Second {
    /// One line that says what was too much.
    pub fn told(&self, began: Time) -> String {
        let (who, at, bytes, most) = (&self.who, (self.at - began).ms() / 1_000.0, self.bytes, self.most);
        format!("{who} sent {bytes} bytes for the directory in the second before {at:.1} s, at most {most:.0} may be")
    }
}

/// When the machine gave no turn to the relays.
pub(super) fn stalls(seen: &[(Time, TranscriptEvent)]) -> Vec<(Time, Time)> {
    let of = |(at, seen): &(Time, TranscriptEvent)| match seen {
        TranscriptEvent::Stalled { scheduler: None, since } => Some((*since, *at)),
        _ => None,
    };
    seen.iter().filter_map(of).collect()
}

/// What one may send for the directory within a second at most, as `refill` and `spent` of the directory have it: a second's
/// bytes were saved up, a second's come in; the last that leaves may be a whole answer and takes more than is left; to each
/// peer the heads of what leaves together are charged when they have gone, and the frame that a link of the rings begins with
/// is not. What the machine held up adds its own time: what was sent in it came at once. `peers`: spoken to in that second.
pub(crate) fn most(budget: f64, late: Time, peers: usize) -> f64 {
    let saved_and_new = budget * (2.0 + late.ms() / 1_000.0);
    saved_and_new + ((ANSWER_ROWS + 1) * ROW + peers * (FRAMES * HEAD + PART)) as f64
}

impl Directory {
    /// What part of the questions had no answer in time.
    pub fn unanswered_share(&self) -> f64 {
        self.unanswered as f64 / self.asked.max(1) as f64
    }

    /// `budget`: bytes a second that each may send; none: nothing is held against it. `gone`: who was down or stopped.
    pub fn of(
        tape: &[Passed], seen: &[(Time, TranscriptEvent)], budget: Option<f64>, waits: &Waits, end: Time,
        gone: &[(String, Time, Time)],
    ) -> Directory {
        let mut of = Directory::default();
        let stalls = stalls(seen);
        let mut sent: BTreeMap<&str, Vec<(Time, &str, Kind, usize)>> = BTreeMap::new();
        for (_, from, to, what) in tape {
            if let Taped::Frame { kind, bytes, came, younger, .. } = what {
                if !is_peer(from) {
                    continue;
                }
                sent.entry(from).or_default().push((*came, to, *kind, *bytes));
                if is_peer(to) {
                    of.younger = of.younger.max(*younger);
                }
            }
        }
        for (who, mut all) in sent {
            all.retain(|f| KINDS.contains(&f.2) || f.2 == Kind::HINTS);
            all.sort_by_key(|f| f.0);
            let none = Vec::new();
            of.of_one(who, &all, budget, &stalls, waits.get(who).unwrap_or(&none));
        }
        of.of_questions(tape, end, gone);
        of
    }

    /// Each second that ends with a frame.
    fn of_one(
        &mut self, who: &str, all: &[(Time, &str, Kind, usize)], budget: Option<f64>,
        stalls: &[(Time, Time)], waits: &[(Time, Duration)],
    ) {
        let mut window: VecDeque<&(Time, &str, Kind, usize)> = VecDeque::new();
        let (mut bytes, mut hints) = (0, 0);
        for f in all {
            window.push_back(f);
            let count = |f: &(Time, &str, Kind, usize)| (f.2 == Kind::HINTS, f.3);
            match count(f) {
                (true, n) => hints += n,
                (false, n) => bytes += n,
            }
            while window.front().is_some_and(|first| first.0 + SECOND <= f.0) {
                match window.pop_front().map(count) {
                    Some((true, n)) => hints -= n,
                    Some((false, n)) => bytes -= n,
                    None => {}
                }
            }
            self.hints = self.hints.max(hints);
            let worst = self.worst.as_ref().map_or(0, |w| w.bytes);
            // A second that is neither the worst nor near what may be sent needs no reckoning.
            let near = budget.is_some_and(|b| bytes as f64 > 2.0 * b);
            if bytes <= worst && !near {
                continue;
            }
            let from = f.0 - SECOND;
            let late = held_up(stalls, from, f.0) + kept_waiting(waits, from, f.0);
            let ours = window.iter().filter(|f| f.2 != Kind::HINTS);
            let peers: BTreeSet<&str> = ours.map(|f| f.1).collect();
            let most = budget.map_or(f64::INFINITY, |b| most(b, late + TRANSIT, peers.len()));
            let second = Second { who: who.to_owned(), at: f.0, bytes, most, late };
            let beyond = |s: &Second| s.bytes as f64 - s.most;
            if beyond(&second) > self.over.as_ref().map_or(0.0, beyond) {
                self.over = Some(second.clone());
            }
            if bytes > worst {
                self.worst = Some(second);
            }
        }
    }

    fn of_questions(&mut self, tape: &[Passed], end: Time, gone: &[(String, Time, Time)]) {
        // Who asked for what since when, and was not answered yet.
        let mut open: BTreeMap<(&str, u64), Time> = BTreeMap::new();
        let mut over = |(who, _): (&str, u64), since: Time, answered: Option<Time>| {
            let was_gone =
                gone.iter().any(|(n, from, to)| n == who && *from <= since + ANSWERED && since <= *to);
            if was_gone || since + ANSWERED > end {
                return;
            }
            self.asked += 1;
            self.soon += usize::from(answered.is_some_and(|at| at - since <= SOON));
            self.unanswered += usize::from(answered.is_none_or(|at| at - since > ANSWERED));
        };
        for (at, from, to, what) in tape {
            let Taped::Frame { kind, came, functions, .. } = what else { continue };
            for function in functions {
                match *kind {
                    Kind::DIRECTORY_QUERY if is_peer(from) => {
                        let key = (&**from, *function);
                        if open.get(&key).is_some_and(|since| *since + ANSWERED < *came) {
                            open.remove(&key).into_iter().for_each(|since| over(key, since, None));
                        }
                        open.entry(key).or_insert(*came);
                    }
                    Kind::DIRECTORY_UPDATE => {
                        let key = (&**to, *function);
                        open.remove(&key).into_iter().for_each(|since| over(key, since, Some(*at)));
                    }
                    _ => {}
                }
            }
        }
        open.into_iter().for_each(|(key, since)| over(key, since, None));
    }
}

/// How long the machine held up the relays, in stalls that end or begin between these moments; each counts whole.
fn held_up(stalls: &[(Time, Time)], from: Time, to: Time) -> Time {
    let touches = |(since, until): &&(Time, Time)| *since <= to && from <= *until + TRANSIT;
    stalls.iter().filter(touches).fold(Time(0), |sum, (since, until)| sum + (*until - *since))
}

/// How long a scheduler was kept from running about then. What it had decided to send before that leaves with what it may send
/// afterwards; as no more than a second's bytes are saved up, that is a second's at most.
fn kept_waiting(waits: &[(Time, Duration)], from: Time, to: Time) -> Time {
    let about = waits.iter().filter(|(at, _)| from <= *at && *at <= to + SECOND + TRANSIT);
    let sum: Duration = about.map(|(_, waited)| *waited).sum();
    Time((sum.as_micros() / 100) as u64).min(SECOND)
}

/// How long the machine held up relays, clients or this scheduler between two moments; what is told by the second counts by
/// its part.
pub(super) fn held_between(
    stalls: &[(Time, Time)], waits: Option<&Vec<(Time, Duration)>>, from: Time, to: Time,
) -> Time {
    let within = |(since, until): (Time, Time)| until.min(to) - since.max(from);
    let stalled = stalls.iter().fold(Time(0), |sum, s| sum + within(*s));
    let part = |(at, waited): &(Time, Duration)| {
        let share = within((*at - SECOND, *at)).ms() / SECOND.ms();
        Time::from_ms(waited.as_secs_f64() * 1_000.0 * share)
    };
    stalled + waits.into_iter().flatten().fold(Time(0), |sum, w| sum + part(w))
}

#[cfg(test)]
mod tests;
