use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::Duration;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_engine::Answer;
use curlewpoint_lab::TranscriptEvent;
use curlewpoint_wire::Kind;

use crate::calls::CALL_KEY_BIT;
use crate::relay::{RecordedEvent, RelayEvent};
use crate::scenario::IDLE_WORKER_PREFIX;

mod directory;
mod spans;

pub(crate) use directory::max_directory_bytes;
pub use directory::{DirectoryFigures, SchedulingDelays, SendWindow};
pub use spans::{SpanCost, Spread, UsageSample};

/// A row of the report: its label and how its value is rendered.
type Row = (&'static str, fn(&Figures) -> String);

/// Window over which connections at the list service are counted.
pub const CONNECTION_WINDOW: Time = Time(1_000);
/// Age beyond which a scheduler's last heartbeat no longer counts. A live scheduler sends one more often.
const HEARTBEAT_MAX_AGE: Time = Time(10_000);
/// Length of the start phase.
const START_PHASE: Time = Time(50_000);

/// Figures of one run of a scenario, from what passed the relays and what clients and workers saw, never from what a scheduler
/// reports about itself.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// At the list service: the most connections in any 100 ms, all connections, full lists and bytes sent.
    pub list_connections: usize,
    pub total_list_connections: usize,
    pub full_lists: usize,
    pub list_bytes: usize,
    /// In the first 5 s: connections at workers, probes, load orders, attempts, and the attempts at the busiest worker relative to
    /// the mean.
    pub worker_connections: usize,
    pub probes: usize,
    pub load_orders: usize,
    pub attempts: usize,
    pub busiest_worker_ratio: f64,
    /// RPCs in the first 5 s and in total: sent, ok, denied, aborted, refused, unanswered.
    pub start_counts: [usize; 6],
    pub total_counts: [usize; 6],
    /// When 50% and 99% of the instances had received a first list.
    pub first_list_at: [Option<Time>; 2],
    /// End of the first half second in which 95% of the RPCs sent ended ok; `None` if there was none.
    pub steady_at: Option<Time>,
    /// Time from the first scheduler that received a worker's drain or end until 99% of the live ones had, the longest of all such
    /// changes; `None` if there was none.
    pub drain_spread: Option<Time>,
    /// Time from the end of the last fault until all heartbeats carried the same digest and kept doing so; `None` if they never
    /// did.
    pub converged_after: Option<Time>,
    /// Bytes per second on the peer links of an instance, in the last third of the run.
    pub gossip_bytes_per_second: f64,
    /// Mean share of a core that an instance used, and the peak memory of any instance in MB.
    pub mean_cost: Option<(f64, f64)>,
    /// Fetches requested from the store, and those that it refused.
    pub fetches: u64,
    pub refused_fetches: u64,
    /// Figures of the copy directory.
    pub directory: DirectoryFigures,
    /// For each restarted scheduler, in ascending order, the time from its ready line to its first ok answer without the machine's
    /// stalls, `None` if there was no such answer. `None` as a whole if no scheduler was restarted.
    pub first_ok_after_restart: Option<Vec<Option<Time>>>,
    /// Time from the first call of a function called at all schedulers until half and all of them had answered ok.
    pub called_ok: Option<[Option<Time>; 2]>,
    /// Costs over each span that the scenario measures.
    pub spans: Vec<SpanCost>,
}

/// The largest number of these times that fall within one window.
fn max_within(times: &[Time], window: Time) -> usize {
    let mut first = 0;
    let mut max = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + window <= *at {
            first += 1;
        }
        max = max.max(last + 1 - first);
    }
    max
}

fn is_worker(name: &str) -> bool {
    name.starts_with("w-")
}

fn is_peer(name: &str) -> bool {
    name.starts_with("front-")
}

impl Figures {
    /// `began`: when the schedulers were started. `faults_end`: when the last fault had ended. `excused`: the spans in which schedulers
    /// were down or stopped.
    pub fn collect(
        log: &[RecordedEvent], seen: &[(Time, TranscriptEvent)], began: Time, faults_end: Time, end: Time,
        instances: usize, excused: &[(String, Time, Time)],
    ) -> Figures {
        let mut f = Figures::default();
        f.add_relay_events(log, began, faults_end, end, instances);
        f.add_client_events(seen, began);
        f.drain_spread = drain_spread(seen, instances, excused);
        f.first_list_at = first_list_times(seen, instances, began);
        f
    }

    fn add_relay_events(
        &mut self, log: &[RecordedEvent], began: Time, faults_end: Time, end: Time, instances: usize,
    ) {
        let (mut dial_times, mut by_worker) = (Vec::new(), BTreeMap::<&str, usize>::new());
        let late_start = end - Time((end - began).0 / 3);
        let (mut heartbeats, mut last_disagreement) = (BTreeMap::<&str, (Time, u64)>::new(), faults_end);
        let mut late_bytes = 0;
        for (at, from, to, event) in log.iter().filter(|t| t.0 < end) {
            let starting = *at < began + START_PHASE;
            match event {
                RelayEvent::Dialled if &**to == "list" => dial_times.push(*at),
                RelayEvent::Dialled if is_worker(to) && starting => self.worker_connections += 1,
                RelayEvent::Frame { bytes, full_list, .. } if &**from == "list" => {
                    self.list_bytes += bytes;
                    self.full_lists += usize::from(*full_list);
                }
                RelayEvent::Frame { kind, .. } if is_worker(to) && starting => match *kind {
                    Kind::PROBE => self.probes += 1,
                    Kind::LOAD => self.load_orders += 1,
                    Kind::ATTEMPT => {
                        self.attempts += 1;
                        *by_worker.entry(to).or_default() += 1;
                    }
                    _ => {}
                },
                RelayEvent::Frame { bytes, member_digest, .. } if is_peer(from) && is_peer(to) => {
                    if *at >= late_start {
                        late_bytes += bytes;
                    }
                    if let Some(member_digest) = member_digest {
                        heartbeats.insert(from, (*at, *member_digest));
                        if *at >= faults_end && !digests_agree(&heartbeats, *at) {
                            last_disagreement = *at;
                        }
                    }
                }
                _ => {}
            }
        }
        self.list_connections = max_within(&dial_times, CONNECTION_WINDOW);
        self.total_list_connections = dial_times.len();
        let (busiest, sum) = (by_worker.values().max().copied().unwrap_or(0), self.attempts);
        self.busiest_worker_ratio = busiest as f64 * by_worker.len() as f64 / sum.max(1) as f64;
        let settled = digests_agree(&heartbeats, end) && last_disagreement + HEARTBEAT_MAX_AGE < end;
        self.converged_after = (!heartbeats.is_empty() && settled).then(|| last_disagreement - faults_end);
        self.gossip_bytes_per_second =
            2.0 * late_bytes as f64 / instances as f64 / ((end - late_start).ms() / 1000.0);
    }

    fn add_client_events(&mut self, seen: &[(Time, TranscriptEvent)], began: Time) {
        let mut asked: BTreeMap<u64, Time> = BTreeMap::new();
        let mut half_seconds: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        let half_second = |at: Time| (at - began).0 / 5_000;
        let mut count = |at: Time, index: usize| {
            self.total_counts[index] += 1;
            self.start_counts[index] += usize::from(at < began + START_PHASE);
        };
        for (at, seen) in seen {
            match seen {
                TranscriptEvent::RpcSent { key, .. } => {
                    asked.insert(*key, *at);
                    count(*at, 0);
                    half_seconds.entry(half_second(*at)).or_default().0 += 1;
                }
                TranscriptEvent::FinalAnswer { key, answer } => {
                    let Some(at) = asked.remove(key) else { continue };
                    match answer {
                        Answer::Ok => {
                            half_seconds.entry(half_second(at)).or_default().1 += 1;
                            count(at, 1);
                        }
                        Answer::Denied => count(at, 2),
                        Answer::Aborted => count(at, 3),
                    }
                }
                TranscriptEvent::Refused { key, .. } => {
                    if let Some(at) = asked.remove(key) {
                        count(at, 4);
                    }
                }
                _ => {}
            }
        }
        asked.into_values().for_each(|at| count(at, 5));
        let steady_at = half_seconds.iter().find(|(_, (asked, ok))| *ok as f64 >= 0.95 * *asked as f64);
        self.steady_at = steady_at.map(|(half_second, _)| Time((half_second + 1) * 5_000));
    }

    /// Measures the time to a first ok answer; `ready` names each restarted scheduler and when it was ready.
    pub fn add_restarts(
        &mut self, seen: &[(Time, TranscriptEvent)], ready: &[(String, Time)], delays: &SchedulingDelays,
    ) {
        let stalls = directory::stalls(seen);
        let first_ok = |(restarted, at): &(String, Time)| {
            let mut asked: BTreeSet<u64> = BTreeSet::new();
            for (then, seen) in seen.iter().filter(|(then, _)| then >= at) {
                match seen {
                    TranscriptEvent::RpcSent { key, scheduler, .. } if scheduler == restarted => {
                        asked.insert(*key);
                    }
                    TranscriptEvent::FinalAnswer { key, answer: Answer::Ok } if asked.contains(key) => {
                        let machine_delay =
                            directory::delay_between(&stalls, delays.get(restarted), *at, *then);
                        return Some(*then - *at - machine_delay);
                    }
                    _ => {}
                }
            }
            None
        };
        let mut all: Vec<Option<Time>> = ready.iter().map(first_ok).collect();
        // Schedulers that never answered come last.
        all.sort_by_key(|t| t.unwrap_or(Time(u64::MAX)));
        self.first_ok_after_restart = (!all.is_empty()).then_some(all);
    }

    /// Measures the calls of a function that is called at all schedulers.
    pub fn add_called_function(&mut self, seen: &[(Time, TranscriptEvent)]) {
        let mut scheduler_of_call: BTreeMap<u64, &str> = BTreeMap::new();
        let mut first: BTreeMap<&str, Option<Time>> = BTreeMap::new();
        let mut began = None;
        for (at, seen) in seen {
            match seen {
                TranscriptEvent::RpcSent { key, scheduler, .. } if key & CALL_KEY_BIT != 0 => {
                    began = began.or(Some(*at));
                    scheduler_of_call.insert(*key, scheduler);
                    first.entry(scheduler).or_insert(None);
                }
                TranscriptEvent::FinalAnswer { key, answer: Answer::Ok } => {
                    let first = scheduler_of_call.get(key).and_then(|scheduler| first.get_mut(scheduler));
                    first.into_iter().for_each(|t| *t = t.or(Some(*at)));
                }
                _ => {}
            }
        }
        let Some(began) = began else { return };
        let mut all: Vec<Option<Time>> = first.into_values().collect();
        all.sort_by_key(|t| t.unwrap_or(Time(u64::MAX)));
        let at = |part: usize| all[(all.len() * part).div_ceil(100).max(1) - 1].map(|t| t - began);
        self.called_ok = Some([at(50), at(100)]);
    }

    /// Renders the figures of several runs side by side.
    pub fn draw(columns: &[(String, Figures)]) -> String {
        let mut out = String::new();
        let rows: &[Row] = &[
            ("list: connections in any 100 ms; in all", |f| {
                format!("{}; {}", f.list_connections, f.total_list_connections)
            }),
            ("list: whole lists; kB sent", |f| format!("{}; {}", f.full_lists, f.list_bytes / 1000)),
            ("a first list at half; at 99 in 100", |f| {
                format!("{}; {}", ms(f.first_list_at[0]), ms(f.first_list_at[1]))
            }),
            ("first 5 s: connections at workers", |f| f.worker_connections.to_string()),
            ("first 5 s: probes; load orders", |f| format!("{}; {}", f.probes, f.load_orders)),
            ("first 5 s: attempts; busiest worker", |f| {
                format!("{}; {:.1} x mean", f.attempts, f.busiest_worker_ratio)
            }),
            ("first 5 s: ok, denied, aborted of asked", |f| {
                let [asked, ok, denied, aborted, ..] = f.start_counts;
                format!("{ok}, {denied}, {aborted} of {asked}")
            }),
            ("all: ok, denied, aborted of asked", |f| {
                let [asked, ok, denied, aborted, ..] = f.total_counts;
                format!("{ok}, {denied}, {aborted} of {asked}")
            }),
            ("95 in 100 ok from", |f| ms(f.steady_at)),
            ("a drain told to 99 in 100 after", |f| ms(f.drain_spread)),
            ("beats alike after the last fault", |f| ms(f.converged_after)),
            ("gossip of an instance, bytes a second", |f| format!("{:.0}", f.gossip_bytes_per_second)),
            ("directory: worst second; at most; held up", |f| {
                let of = |s: &SendWindow| {
                    format!("{}; {:.0}; {:.0} ms", s.bytes, s.max_bytes, s.machine_delay.ms())
                };
                f.directory.worst_second.as_ref().map_or("-".into(), of)
            }),
            ("hints: bytes in the worst second", |f| f.directory.hint_bytes.to_string()),
            ("questions: put; in 0.6 s; not in 3 s", |f| {
                format!("{}; {}; {}", f.directory.queries, f.directory.answered_soon, f.directory.unanswered)
            }),
            ("rows look younger than they are by", |f| ms(Some(f.directory.max_age_error))),
            ("started anew: ok after, half; worst; of", |f| {
                let of = |all: &Vec<Option<Time>>| {
                    let (half, worst) = (all[(all.len() - 1) / 2], all[all.len() - 1]);
                    format!("{}; {}; {}", ms(half), ms(worst), all.len())
                };
                f.first_ok_after_restart.as_ref().map_or("-".into(), of)
            }),
            ("called everywhere: ok at half; at all", |f| {
                f.called_ok.map_or("-".into(), |[half, all]| format!("{}; {}", ms(half), ms(all)))
            }),
            ("an instance: part of a core; MB at most", |f| {
                f.mean_cost.map_or("-".into(), |(core, mb)| format!("{:.2}%; {mb:.1}", core * 100.0))
            }),
            ("fetches asked of the store; turned away", |f| format!("{}; {}", f.fetches, f.refused_fetches)),
        ];
        // Writing to a String cannot fail.
        let _ = write!(out, "{:42}", "");
        for (name, _) in columns {
            let _ = write!(out, "{name:>24}");
        }
        for (name, cell) in rows {
            let _ = write!(out, "\n{name:42}");
            for (_, f) in columns {
                let _ = write!(out, "{:>24}", cell(f));
            }
        }
        let spans: Vec<&[SpanCost]> = columns.iter().map(|(_, f)| f.spans.as_slice()).collect();
        out + "\n" + &SpanCost::draw(&spans)
    }
}

/// Whether all recent heartbeats carry the same digest.
fn digests_agree(heartbeats: &BTreeMap<&str, (Time, u64)>, now: Time) -> bool {
    let recent: BTreeSet<u64> = heartbeats
        .values()
        .filter(|(at, _)| *at + HEARTBEAT_MAX_AGE >= now)
        .map(|(_, member_digest)| *member_digest)
        .collect();
    recent.len() <= 1
}

fn ms(time: Option<Time>) -> String {
    time.map_or("-".into(), |t| format!("{:.0} ms", t.ms()))
}

/// Times until 50% and 99% of the instances had received a first list.
fn first_list_times(seen: &[(Time, TranscriptEvent)], instances: usize, began: Time) -> [Option<Time>; 2] {
    let mut first: BTreeMap<&str, Time> = BTreeMap::new();
    for (at, seen) in seen {
        if let TranscriptEvent::ListEntrySent { scheduler, .. } = seen {
            first.entry(scheduler).or_insert(*at);
        }
    }
    let mut all: Vec<Time> = first.into_values().collect();
    all.sort();
    [50, 99].map(|part| Some(*all.get((instances * part).div_ceil(100).max(1) - 1)? - began))
}

/// Time from the first scheduler that received a worker's drain or end until 99% of the live ones had, the longest of all such
/// changes.
fn drain_spread(
    seen: &[(Time, TranscriptEvent)], instances: usize, excused: &[(String, Time, Time)],
) -> Option<Time> {
    const MAX_SPREAD: Time = Time(30_000);
    let mut changes: Vec<(Time, BTreeMap<&str, Time>)> = Vec::new();
    // The current change of each worker. A worker that was ready again in between gets a new one.
    let mut current_change: BTreeMap<&str, usize> = BTreeMap::new();
    for (at, seen) in seen {
        let TranscriptEvent::ListEntrySent { scheduler, worker, lifecycle } = seen else { continue };
        if worker.starts_with(IDLE_WORKER_PREFIX) {
            continue;
        }
        if *lifecycle == Lifecycle::Ready {
            current_change.remove(worker.as_str());
            continue;
        }
        let index = current_change.get(worker.as_str()).copied();
        match index.and_then(|index: usize| changes.get_mut(index)) {
            Some((_, all)) => drop(all.entry(scheduler).or_insert(*at)),
            None => {
                current_change.insert(worker, changes.len());
                changes.push((*at, BTreeMap::from([(scheduler.as_str(), *at)])));
            }
        }
    }
    let spreads = changes.into_iter().map(|(first, all)| {
        let lived = |name: &String| {
            !excused.iter().any(|(n, from, to)| n == name && *from <= first + MAX_SPREAD && first <= *to)
        };
        let names = (0..instances).map(|no| format!("front-{no}")).filter(lived);
        let mut after: Vec<Time> = names
            .map(|n| all.get(n.as_str()).map_or(MAX_SPREAD, |at| (*at - first).min(MAX_SPREAD)))
            .collect();
        after.sort();
        // 99%, rounded up to whole instances.
        let at = (after.len() * 99).div_ceil(100).max(1) - 1;
        after.get(at).copied().unwrap_or_default()
    });
    spreads.max()
}

/// Mean share of a core and peak memory in MB, from the processor time and the peak memory in KiB of each instance.
pub fn mean_cost(all: &[(Duration, u64)], lived: Duration) -> Option<(f64, f64)> {
    let used: f64 = all.iter().map(|c| c.0.as_secs_f64()).sum();
    let memory = all.iter().map(|c| c.1).max()? as f64 / 1024.0;
    Some((used / all.len() as f64 / lived.as_secs_f64(), memory))
}

#[cfg(test)]
mod tests;
