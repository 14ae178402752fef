//! The cost of an instance over a measured span of a scenario.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use curlewpoint::types::Time;
use curlewpoint_lab::TranscriptEvent;
use curlewpoint_wire::Kind;

use super::{is_peer, is_worker};
use crate::process::Usage;
use crate::relay::{RecordedEvent, RelayEvent};

/// Resource use of all instances at one time, by instance number; `None` where no process was running.
#[derive(Clone, Debug, Default)]
pub struct UsageSample {
    pub at: Time,
    pub usage: Vec<Option<Usage>>,
    /// The machine's load average over one minute.
    pub load: f64,
}

/// Mean and maximum over all instances or all workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    pub mean: f64,
    pub worst: f64,
}

impl Spread {
    /// The mean counts `n` members; those without a value count as zero.
    fn of(all: impl IntoIterator<Item = f64>, n: usize) -> Spread {
        let (sum, worst) = all.into_iter().fold((0.0, 0.0), |(sum, worst), x: f64| (sum + x, x.max(worst)));
        Spread { mean: sum / n.max(1) as f64, worst }
    }

    fn render(self, digits: usize) -> String {
        format!("{:.digits$}; {:.digits$}", self.mean, self.worst)
    }
}

/// What an instance cost over a span: traffic as counted by the relays, processor time and memory as reported by the system.
/// A frame counts with its length prefix and header, without TCP's overhead.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpanCost {
    pub name: String,
    /// Duration of the span.
    pub duration: Time,
    /// Traffic between peers per second: frames and bytes an instance sent, and bytes it received.
    pub frames: Spread,
    pub sent: Spread,
    pub received: Spread,
    /// The most bytes that an instance sent and received within one second.
    pub worst_second: Spread,
    /// Mean frames and bytes per second that an instance sent to peers, by kind.
    pub kinds: BTreeMap<Kind, (f64, f64)>,
    /// Mean frames and bytes per second between an instance and all workers in both directions, by kind.
    pub worker_kinds: BTreeMap<Kind, (f64, f64)>,
    /// Rows of hints and observations that an instance sent per second, and the new observations among them.
    pub hint_rows: f64,
    pub observations: f64,
    /// Links per second that an instance opened to peers.
    pub links_opened: f64,
    /// RPCs per second that an instance received.
    pub rpcs_received: f64,
    /// For RPCs sent within the span that reached a worker: time until the first attempt arrived there, which is the share of
    /// schedulers and network in a call's time, and time until the work took effect. Median, 99th percentile and maximum.
    pub time_to_worker: Option<[Time; 3]>,
    pub time_to_effect: Option<[Time; 3]>,
    /// RPCs that reached no worker.
    pub not_reached: usize,
    /// Processes that ran during the whole span, the share of a core they used, and their resident memory at its end in MB.
    pub full_span_processes: usize,
    pub cpu_share: Spread,
    pub resident_mb: Spread,
    /// Processes that started within the span, and the processor time they had used by its end, in ms.
    pub started_processes: usize,
    pub started_cpu_ms: Spread,
    /// What one worker received per second from all instances: connections and frames, and of the latter probes, load orders and
    /// attempts.
    pub dials: Spread,
    pub worker_frames: Spread,
    pub probes: Spread,
    pub load_orders: Spread,
    pub attempts: Spread,
    /// The machine's load average at the end.
    pub load: f64,
}

/// Values by name of an instance or a worker.
type Counts<'a> = BTreeMap<&'a str, f64>;

impl SpanCost {
    /// Computes the cost between two usage samples; `workers` is the number of workers.
    pub fn measure(
        name: &str, from: &UsageSample, to: &UsageSample, log: &[RecordedEvent],
        seen: &[(Time, TranscriptEvent)], workers: usize,
    ) -> SpanCost {
        let (duration, n) = (to.at - from.at, to.usage.len());
        let within = |at: Time| from.at <= at && at < to.at;
        let per_second = 1_000.0 / duration.ms().max(0.1);
        let mut cost = SpanCost { name: name.to_owned(), duration, load: to.load, ..SpanCost::default() };
        let [mut frames, mut sent, mut received] = <[Counts; 3]>::default();
        let [mut dials, mut worker_frames, mut probes, mut load_orders, mut attempts] =
            <[Counts; 5]>::default();
        let mut seconds: BTreeMap<(&str, u64), f64> = BTreeMap::new();
        for (at, sender, receiver, event) in log.iter().filter(|t| within(t.0)) {
            let (a, b): (&str, &str) = (sender, receiver);
            match event {
                RelayEvent::Frame { kind, bytes, rows, new_observations, .. } if is_peer(a) && is_peer(b) => {
                    let bytes = *bytes as f64;
                    *frames.entry(a).or_default() += per_second;
                    *sent.entry(a).or_default() += per_second * bytes;
                    *received.entry(b).or_default() += per_second * bytes;
                    let second = (*at - from.at).0 / 10_000;
                    *seconds.entry((a, second)).or_default() += bytes;
                    *seconds.entry((b, second)).or_default() += bytes;
                    let of_kind = cost.kinds.entry(*kind).or_default();
                    *of_kind = (of_kind.0 + per_second / n as f64, of_kind.1 + per_second * bytes / n as f64);
                    cost.hint_rows += per_second * *rows as f64 / n as f64;
                    cost.observations += per_second * *new_observations as f64 / n as f64;
                }
                RelayEvent::Frame { kind, bytes, .. } if is_worker(a) || is_worker(b) => {
                    let of_kind = cost.worker_kinds.entry(*kind).or_default();
                    let bytes = per_second * *bytes as f64 / n as f64;
                    *of_kind = (of_kind.0 + per_second / n as f64, of_kind.1 + bytes);
                    if is_worker(a) {
                        continue;
                    }
                    *worker_frames.entry(b).or_default() += per_second;
                    match *kind {
                        Kind::PROBE => *probes.entry(b).or_default() += per_second,
                        Kind::LOAD => *load_orders.entry(b).or_default() += per_second,
                        Kind::ATTEMPT => *attempts.entry(b).or_default() += per_second,
                        _ => {}
                    }
                }
                RelayEvent::Dialled if is_peer(b) => cost.links_opened += per_second / n as f64,
                RelayEvent::Dialled if is_worker(b) => *dials.entry(b).or_default() += per_second,
                _ => {}
            }
        }
        let mut busiest_seconds: Counts = BTreeMap::new();
        for ((instance, _), bytes) in seconds {
            let busiest = busiest_seconds.entry(instance).or_default();
            *busiest = bytes.max(*busiest);
        }
        cost.rpcs_received = per_second * cost.measure_calls(from.at, to.at, seen) as f64 / n as f64;
        let of = |all: Counts, n: usize| Spread::of(all.into_values(), n);
        (cost.frames, cost.sent, cost.received, cost.worst_second) =
            (of(frames, n), of(sent, n), of(received, n), of(busiest_seconds, n));
        (cost.dials, cost.worker_frames) = (of(dials, workers), of(worker_frames, workers));
        (cost.probes, cost.load_orders, cost.attempts) =
            (of(probes, workers), of(load_orders, workers), of(attempts, workers));
        cost.measure_processes(from, to);
        cost
    }

    /// Measures the calls sent within the span and returns their number.
    fn measure_calls(&mut self, from: Time, to: Time, seen: &[(Time, TranscriptEvent)]) -> usize {
        let (mut asked, mut arrived, mut ran) =
            <(BTreeMap<u64, Time>, BTreeMap<_, _>, BTreeMap<_, _>)>::default();
        for (at, seen) in seen {
            match seen {
                TranscriptEvent::RpcSent { key, .. } if from <= *at && *at < to => {
                    asked.insert(*key, *at);
                }
                TranscriptEvent::AttemptArrived { key, .. } => drop(arrived.entry(*key).or_insert(*at)),
                TranscriptEvent::Executed { key, .. } => drop(ran.entry(*key).or_insert(*at)),
                _ => {}
            }
        }
        let took = |ends: &BTreeMap<u64, Time>| {
            let mut all: Vec<Time> =
                asked.iter().filter_map(|(key, at)| Some(*ends.get(key)? - *at)).collect();
            all.sort();
            let at = |part: usize| all.get((all.len() * part).div_ceil(100).max(1) - 1).copied();
            Some([at(50)?, at(99)?, at(100)?])
        };
        (self.time_to_worker, self.time_to_effect) = (took(&arrived), took(&ran));
        self.not_reached = asked.keys().filter(|key| !arrived.contains_key(key)).count();
        asked.len()
    }

    fn measure_processes(&mut self, from: &UsageSample, to: &UsageSample) {
        let (mut shares, mut resident, mut started) = (Vec::new(), Vec::new(), Vec::new());
        for (before, after) in from.usage.iter().zip(&to.usage) {
            let Some(after) = after else { continue };
            match before.filter(|b| b.id == after.id) {
                Some(before) => {
                    let used = after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64();
                    shares.push(used * 1_000.0 / self.duration.ms().max(0.1));
                    resident.push(after.resident_kib as f64 / 1024.0);
                }
                None => started.push(after.cpu_time.as_secs_f64() * 1_000.0),
            }
        }
        (self.full_span_processes, self.started_processes) = (shares.len(), started.len());
        self.cpu_share = Spread::of(shares, self.full_span_processes);
        self.resident_mb = Spread::of(resident, self.full_span_processes);
        self.started_cpu_ms = Spread::of(started, self.started_processes);
    }

    /// Renders the spans of several runs of a scenario side by side.
    pub fn draw(columns: &[&[SpanCost]]) -> String {
        type Row = (&'static str, fn(&SpanCost) -> String);
        type Kinds = fn(&SpanCost) -> &BTreeMap<Kind, (f64, f64)>;
        let rows: &[Row] = &[
            ("RPCs asked of an instance a second", |c| format!("{:.2}", c.rpcs_received)),
            ("ms to a worker: half; 99 in 100; worst", |c| ms(c.time_to_worker)),
            ("ms to the effect: half; 99 in 100; worst", |c| ms(c.time_to_effect)),
            ("RPCs that reached no worker, in all", |c| c.not_reached.to_string()),
            ("sights an instance told, rows it sent", |c| {
                format!("{:.2}; {:.1}", c.observations, c.hint_rows)
            }),
            ("frames sent: mean; worst", |c| c.frames.render(1)),
            ("bytes sent: mean; worst", |c| c.sent.render(0)),
            ("bytes taken: mean; worst", |c| c.received.render(0)),
            ("both in its worst second: mean; worst", |c| c.worst_second.render(0)),
            ("links opened to peers", |c| format!("{:.2}", c.links_opened)),
            ("part of a core: mean; worst; of", |c| {
                let part = Spread { mean: c.cpu_share.mean * 100.0, worst: c.cpu_share.worst * 100.0 };
                format!("{}%; of {}", part.render(2), c.full_span_processes)
            }),
            ("MB resident: mean; worst", |c| c.resident_mb.render(1)),
            ("begun within, ms used: mean; worst; of", |c| {
                format!("{}; of {}", c.started_cpu_ms.render(0), c.started_processes)
            }),
            ("at a worker: connections: mean; worst", |c| c.dials.render(2)),
            ("at a worker: frames: mean; worst", |c| c.worker_frames.render(1)),
            ("at a worker: probes: mean; worst", |c| c.probes.render(2)),
            ("at a worker: load orders: mean; worst", |c| c.load_orders.render(2)),
            ("at a worker: attempts: mean; worst", |c| c.attempts.render(1)),
            ("load of the machine at its end", |c| format!("{:.1}", c.load)),
        ];
        let mut out = String::new();
        let spans = columns.iter().map(|c| c.len()).max().unwrap_or(0);
        for no in 0..spans {
            let of: Vec<Option<&SpanCost>> = columns.iter().map(|c| c.get(no)).collect();
            let Some(first) = of.iter().flatten().next() else { continue };
            // Writing to a String cannot fail.
            let _ = write!(out, "\n{}, {:.1} s, each second:", first.name, first.duration.ms() / 1_000.0);
            let mut line = |name: &str, cell: &dyn Fn(&SpanCost) -> String| {
                let _ = write!(out, "\n  {name:40}");
                for c in &of {
                    let _ = write!(out, "{:>24}", c.map_or("-".to_owned(), cell));
                }
            };
            for (name, cell) in rows {
                line(name, cell);
            }
            for (direction, kinds) in
                [("sent", (|c| &c.kinds) as Kinds), ("with workers", |c| &c.worker_kinds)]
            {
                let all: BTreeSet<Kind> =
                    of.iter().flatten().flat_map(|c| kinds(c).keys().copied()).collect();
                for kind in all {
                    line(&format!("{direction} {}: frames; bytes", kind_name(kind)), &|c| {
                        let (frames, bytes) = kinds(c).get(&kind).copied().unwrap_or_default();
                        format!("{frames:.2}; {bytes:.0}")
                    });
                }
            }
            out.push('\n');
        }
        out
    }
}

fn ms(all: Option<[Time; 3]>) -> String {
    all.map_or("-".to_owned(), |all| all.map(|t| format!("{:.1}", t.ms())).join("; "))
}

/// Names of the frame kinds between peers and with workers, as the protocol documentation has them.
fn kind_name(kind: Kind) -> String {
    let known = [
        (Kind::HELLO, "HELLO"),
        (Kind::FAULT, "FAULT"),
        (Kind::WATCH, "WATCH"),
        (Kind::LIST_BEGIN, "LIST"),
        (Kind::LIST_ENTRY, "CHANGE"),
        (Kind::LIST_ENTRIES, "LIST_ROWS"),
        (Kind::LIST_END, "LIST_END"),
        (Kind::JOIN, "JOIN"),
        (Kind::MEMBER, "MEMBER"),
        (Kind::HEARTBEAT, "BEAT"),
        (Kind::STATUS_REQUEST, "STATUS"),
        (Kind::STATUS_REPLY, "TOLD"),
        (Kind::HINTS, "HINTS"),
        (Kind::DIRECTORY_JOIN, "DIRECTORY"),
        (Kind::DIRECTORY_QUERY, "ASK"),
        (Kind::DIRECTORY_UPDATE, "COPIES"),
        (Kind::OBSERVATIONS, "SIGHTS"),
        (Kind::ATTEMPT, "CALL_OUT"),
        (Kind::ANSWER, "ANSWER"),
        (Kind::CANCEL_ATTEMPT, "WITHDRAW"),
        (Kind::PROBE, "PROBE"),
        (Kind::REPORT, "REPORT"),
        (Kind::LOAD, "LOAD"),
        (Kind::LOADED, "LOADED"),
        (Kind::UNLOAD, "UNLOAD"),
    ];
    known.iter().find(|k| k.0 == kind).map_or_else(|| format!("kind {}", kind.0), |k| k.1.to_owned())
}

#[cfg(test)]
mod tests;
