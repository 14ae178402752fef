//! Figures of the copy directory, from the frames that the relays recorded.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use curlewpoint::types::Time;
use curlewpoint_lab::TranscriptEvent;
use curlewpoint_wire::{Kind, PREFIX_BYTES};

use super::is_peer;
use crate::relay::{RecordedEvent, RelayEvent};

const SECOND: Time = Time(10_000);
const DIRECTORY_KINDS: [Kind; 4] =
    [Kind::DIRECTORY_JOIN, Kind::DIRECTORY_QUERY, Kind::DIRECTORY_UPDATE, Kind::OBSERVATIONS];

/// As the directory accounts for them: bytes of a row (two names of nine bytes, five numbers), rows in an answer, and frames
/// sent together to one member.
const ROW_BYTES: usize = 32;
const ANSWER_ROWS: usize = 8;
const FRAMES_PER_BATCH: usize = 3;
/// Bytes of a frame apart from its rows: its length and kind, and the name and count of two fields.
const FRAME_HEADER_BYTES: usize = PREFIX_BYTES + 10;
/// Bytes of the directory join frame that begins a link: two fields of at most three bytes each.
const JOIN_FRAME_BYTES: usize = PREFIX_BYTES + 6;
/// Longest time between sending and recording, as the five rules assume it.
const MAX_RECORDING_DELAY: Time = Time(1_000);
/// A query without an answer by then counts as unanswered: three members are asked one after the other, 0.3 s each.
const ANSWER_TIMEOUT: Time = Time(30_000);
/// Until then an RPC that waits for a load can still use the answer.
const USEFUL_ANSWER_TIME: Time = Time(6_000);

/// By scheduler: how long its threads were runnable but waiting for a core in the second before each sample.
pub type SchedulingDelays = BTreeMap<String, Vec<(Time, Duration)>>;

/// What one instance sent for the copy directory within one second, and the most it was allowed to send.
#[derive(Clone, Debug, PartialEq)]
pub struct SendWindow {
    pub instance: String,
    pub at: Time,
    pub bytes: usize,
    pub max_bytes: f64,
    /// Time by which the machine delayed relays or the instance, included in `max_bytes`.
    pub machine_delay: Time,
}

/// What the relays recorded of the copy directory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectoryFigures {
    /// The second with the most bytes, and the one that exceeded its limit by the most, if any did.
    pub worst_second: Option<SendWindow>,
    pub over_limit: Option<SendWindow>,
    /// The most bytes of ring hints that one instance sent in a second.
    pub hint_bytes: usize,
    /// Queries by instances, each counted once however many members were asked; those answered within 0.6 s, and those not
    /// answered within 3 s.
    pub queries: usize,
    pub answered_soon: usize,
    pub unanswered: usize,
    /// The largest understatement of a row's age sent by an instance.
    pub max_age_error: Time,
}

impl SendWindow {
    /// Describes the exceeded limit in one line.
    pub fn describe(&self, began: Time) -> String {
        let (instance, at, bytes, max_bytes) =
            (&self.instance, (self.at - began).ms() / 1_000.0, self.bytes, self.max_bytes);
        format!("{instance} sent {bytes} bytes for the directory in the second before {at:.1} s, at most {max_bytes:.0} may be")
    }
}

/// The spans during which the rig's own process was stalled.
pub(super) fn stalls(seen: &[(Time, TranscriptEvent)]) -> Vec<(Time, Time)> {
    let of = |(at, seen): &(Time, TranscriptEvent)| match seen {
        TranscriptEvent::Stalled { scheduler: None, since } => Some((*since, *at)),
        _ => None,
    };
    seen.iter().filter_map(of).collect()
}

/// The most bytes that one instance may send for the directory within a second, following the directory's token bucket: up to
/// a second's budget was saved and a second's budget accrues. The last answer may exceed what remains. For each of the `peers`
/// contacted in that second, the frame headers of one batch are charged only after sending, and the directory join frame of a
/// link is not charged. Machine delays add their own duration, because what was sent meanwhile arrives at once.
pub(crate) fn max_directory_bytes(budget: f64, machine_delay: Time, peers: usize) -> f64 {
    let saved_and_accrued = budget * (2.0 + machine_delay.ms() / 1_000.0);
    saved_and_accrued
        + ((ANSWER_ROWS + 1) * ROW_BYTES + peers * (FRAMES_PER_BATCH * FRAME_HEADER_BYTES + JOIN_FRAME_BYTES))
            as f64
}

impl DirectoryFigures {
    /// Share of the queries without an answer in time.
    pub fn unanswered_share(&self) -> f64 {
        self.unanswered as f64 / self.queries.max(1) as f64
    }

    /// `budget`: bytes per second that each instance may send; `None` for no limit. `excused`: the spans in which instances were
    /// down or stopped.
    pub fn collect(
        log: &[RecordedEvent], seen: &[(Time, TranscriptEvent)], budget: Option<f64>,
        delays: &SchedulingDelays, end: Time, excused: &[(String, Time, Time)],
    ) -> DirectoryFigures {
        let mut figures = DirectoryFigures::default();
        let stalls = stalls(seen);
        let mut sent: BTreeMap<&str, Vec<(Time, &str, Kind, usize)>> = BTreeMap::new();
        for (_, from, to, event) in log {
            if let RelayEvent::Frame { kind, bytes, received_at, age_error, .. } = event {
                if !is_peer(from) {
                    continue;
                }
                sent.entry(from).or_default().push((*received_at, to, *kind, *bytes));
                if is_peer(to) {
                    figures.max_age_error = figures.max_age_error.max(*age_error);
                }
            }
        }
        for (instance, mut all) in sent {
            all.retain(|f| DIRECTORY_KINDS.contains(&f.2) || f.2 == Kind::HINTS);
            all.sort_by_key(|f| f.0);
            let none = Vec::new();
            figures.add_instance(instance, &all, budget, &stalls, delays.get(instance).unwrap_or(&none));
        }
        figures.add_queries(log, end, excused);
        figures
    }

    /// Checks every second that ends with a frame of one instance.
    fn add_instance(
        &mut self, instance: &str, all: &[(Time, &str, Kind, usize)], budget: Option<f64>,
        stalls: &[(Time, Time)], delays: &[(Time, Duration)],
    ) {
        let mut window: VecDeque<&(Time, &str, Kind, usize)> = VecDeque::new();
        let (mut bytes, mut hint_bytes) = (0, 0);
        for f in all {
            window.push_back(f);
            let count = |f: &(Time, &str, Kind, usize)| (f.2 == Kind::HINTS, f.3);
            match count(f) {
                (true, n) => hint_bytes += n,
                (false, n) => bytes += n,
            }
            while window.front().is_some_and(|first| first.0 + SECOND <= f.0) {
                match window.pop_front().map(count) {
                    Some((true, n)) => hint_bytes -= n,
                    Some((false, n)) => bytes -= n,
                    None => {}
                }
            }
            self.hint_bytes = self.hint_bytes.max(hint_bytes);
            let worst_second = self.worst_second.as_ref().map_or(0, |w| w.bytes);
            // Skips seconds that are neither the worst nor near the limit.
            let near = budget.is_some_and(|b| bytes as f64 > 2.0 * b);
            if bytes <= worst_second && !near {
                continue;
            }
            let from = f.0 - SECOND;
            let machine_delay = stall_time(stalls, from, f.0) + scheduling_delay(delays, from, f.0);
            let directory_frames = window.iter().filter(|f| f.2 != Kind::HINTS);
            let peers: BTreeSet<&str> = directory_frames.map(|f| f.1).collect();
            let max_bytes = budget.map_or(f64::INFINITY, |b| {
                max_directory_bytes(b, machine_delay + MAX_RECORDING_DELAY, peers.len())
            });
            let second =
                SendWindow { instance: instance.to_owned(), at: f.0, bytes, max_bytes, machine_delay };
            let excess = |s: &SendWindow| s.bytes as f64 - s.max_bytes;
            if excess(&second) > self.over_limit.as_ref().map_or(0.0, excess) {
                self.over_limit = Some(second.clone());
            }
            if bytes > worst_second {
                self.worst_second = Some(second);
            }
        }
    }

    fn add_queries(&mut self, log: &[RecordedEvent], end: Time, excused: &[(String, Time, Time)]) {
        // Open queries: instance and function, and since when.
        let mut open: BTreeMap<(&str, u64), Time> = BTreeMap::new();
        let mut close = |(instance, _): (&str, u64), since: Time, answered: Option<Time>| {
            let was_excused = excused
                .iter()
                .any(|(n, from, to)| n == instance && *from <= since + ANSWER_TIMEOUT && since <= *to);
            if was_excused || since + ANSWER_TIMEOUT > end {
                return;
            }
            self.queries += 1;
            self.answered_soon += usize::from(answered.is_some_and(|at| at - since <= USEFUL_ANSWER_TIME));
            self.unanswered += usize::from(answered.is_none_or(|at| at - since > ANSWER_TIMEOUT));
        };
        for (at, from, to, event) in log {
            let RelayEvent::Frame { kind, received_at, functions, .. } = event else { continue };
            for function in functions {
                match *kind {
                    Kind::DIRECTORY_QUERY if is_peer(from) => {
                        let key = (&**from, *function);
                        if open.get(&key).is_some_and(|since| *since + ANSWER_TIMEOUT < *received_at) {
                            open.remove(&key).into_iter().for_each(|since| close(key, since, None));
                        }
                        open.entry(key).or_insert(*received_at);
                    }
                    Kind::DIRECTORY_UPDATE => {
                        let key = (&**to, *function);
                        open.remove(&key).into_iter().for_each(|since| close(key, since, Some(*at)));
                    }
                    _ => {}
                }
            }
        }
        open.into_iter().for_each(|(key, since)| close(key, since, None));
    }
}

/// Total duration of the rig's stalls that overlap these times, each counted in full.
fn stall_time(stalls: &[(Time, Time)], from: Time, to: Time) -> Time {
    let touches = |(since, until): &&(Time, Time)| *since <= to && from <= *until + MAX_RECORDING_DELAY;
    stalls.iter().filter(touches).fold(Time(0), |sum, (since, until)| sum + (*until - *since))
}

/// How long a scheduler waited for a core around these times. What it had decided to send before is then sent together with what
/// it may send afterwards. The result is capped at a second, because no more than a second's budget is saved.
fn scheduling_delay(delays: &[(Time, Duration)], from: Time, to: Time) -> Time {
    let nearby = delays.iter().filter(|(at, _)| from <= *at && *at <= to + SECOND + MAX_RECORDING_DELAY);
    let sum: Duration = nearby.map(|(_, delay)| *delay).sum();
    Time((sum.as_micros() / 100) as u64).min(SECOND)
}

/// How long the machine delayed the rig or this scheduler between two times. Delays sampled per second count in proportion to
/// their overlap.
pub(super) fn delay_between(
    stalls: &[(Time, Time)], delays: Option<&Vec<(Time, Duration)>>, from: Time, to: Time,
) -> Time {
    let overlap = |(since, until): (Time, Time)| until.min(to) - since.max(from);
    let stall_total = stalls.iter().fold(Time(0), |sum, s| sum + overlap(*s));
    let part = |(at, delay): &(Time, Duration)| {
        let share = overlap((*at - SECOND, *at)).ms() / SECOND.ms();
        Time::from_ms(delay.as_secs_f64() * 1_000.0 * share)
    };
    stall_total + delays.into_iter().flatten().fold(Time(0), |sum, w| sum + part(w))
}

#[cfg(test)]
mod tests;
