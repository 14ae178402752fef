//! What an instance costs over a part of a play.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use curlewpoint::types::Time;
use curlewpoint_lab::TranscriptEvent;
use curlewpoint_wire::Kind;

use super::{is_peer, is_worker};
use crate::process::Usage;
use crate::relay::{Passed, Taped};

/// What the system told of all instances at a moment, by their number; none: no process of it ran just then.
#[derive(Clone, Debug, Default)]
pub struct Look {
    pub at: Time,
    pub usage: Vec<Option<Usage>>,
    /// Of the machine: how many wanted a core, on the mean of the last minute.
    pub load: f64,
}

/// Of all instances, or of all workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    pub mean: f64,
    pub worst: f64,
}

impl Spread {
    /// `n`: how many there are, those of whom nothing is told with them.
    fn of(all: impl IntoIterator<Item = f64>, n: usize) -> Spread {
        let (sum, worst) = all.into_iter().fold((0.0, 0.0), |(sum, worst), x: f64| (sum + x, x.max(worst)));
        Spread { mean: sum / n.max(1) as f64, worst }
    }

    fn told(self, digits: usize) -> String {
        format!("{:.digits$}; {:.digits$}", self.mean, self.worst)
    }
}

/// What an instance cost over a span: on links between peers as the relays counted it, else as the system told it. Each
/// frame counts with its length and head, not with what TCP puts around it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cost {
    pub name: String,
    /// How long it was.
    pub len: Time,
    /// Between peers, a second: frames and bytes that an instance sent, and bytes that it was sent.
    pub frames: Spread,
    pub sent: Spread,
    pub taken: Spread,
    /// The most bytes that an instance sent and was sent within one second: the mean of all, and the worst.
    pub burst: Spread,
    /// The same by kind, sent by an instance on the mean: frames and bytes a second.
    pub kinds: BTreeMap<Kind, (f64, f64)>,
    /// Between an instance and all workers, by kind, either way: frames and bytes a second, on the mean.
    pub worker_kinds: BTreeMap<Kind, (f64, f64)>,
    /// Rows of hints an instance sent a second, and those that it saw itself and told.
    pub rows: f64,
    pub sights: f64,
    /// Links that an instance opened to peers, a second.
    pub links: f64,
    /// RPCs that an instance was asked, a second.
    pub rpcs: f64,
    /// Of those that a client asked within it and that reached a worker: from there to the first attempt's arrival, which is
    /// what schedulers and network take of a call's time; and to the work's effect. Half, 99 in 100 and all had it by then.
    pub reached: Option<[Time; 3]>,
    pub ran: Option<[Time; 3]>,
    /// Those that reached none.
    pub unreached: usize,
    /// Processes that ran from its beginning to its end, what part of a core they used, and their memory at its end in MB.
    pub stayed: usize,
    pub core: Spread,
    pub resident: Spread,
    /// Processes that began within it, and the processor time they had used by its end, in ms.
    pub begun: usize,
    pub begun_used: Spread,
    /// What one worker bore of all instances, a second: connections, frames, and of these probes, load orders, attempts.
    pub dials: Spread,
    pub worker_frames: Spread,
    pub probes: Spread,
    pub orders: Spread,
    pub attempts: Spread,
    /// The machine's load at its end.
    pub load: f64,
}

/// Counts of whoever is meant, by name.
type Counts<'a> = BTreeMap<&'a str, f64>;

impl Cost {
    /// `workers`: how many there are.
    pub fn of(
        name: &str, from: &Look, to: &Look, tape: &[Passed], seen: &[(Time, TranscriptEvent)], workers: usize,
    ) -> Cost {
        let (len, n) = (to.at - from.at, to.usage.len());
        let within = |at: Time| from.at <= at && at < to.at;
        let each = 1_000.0 / len.ms().max(0.1);
        let mut f = Cost { name: name.to_owned(), len, load: to.load, ..Cost::default() };
        let [mut frames, mut sent, mut taken] = <[Counts; 3]>::default();
        let [mut dials, mut worker_frames, mut probes, mut orders, mut attempts] = <[Counts; 5]>::default();
        let mut seconds: BTreeMap<(&str, u64), f64> = BTreeMap::new();
        for (at, from_whom, to_whom, what) in tape.iter().filter(|t| within(t.0)) {
            let (a, b): (&str, &str) = (from_whom, to_whom);
            match what {
                Taped::Frame { kind, bytes, rows, new, .. } if is_peer(a) && is_peer(b) => {
                    let bytes = *bytes as f64;
                    *frames.entry(a).or_default() += each;
                    *sent.entry(a).or_default() += each * bytes;
                    *taken.entry(b).or_default() += each * bytes;
                    let second = (*at - from.at).0 / 10_000;
                    *seconds.entry((a, second)).or_default() += bytes;
                    *seconds.entry((b, second)).or_default() += bytes;
                    let of_kind = f.kinds.entry(*kind).or_default();
                    *of_kind = (of_kind.0 + each / n as f64, of_kind.1 + each * bytes / n as f64);
                    f.rows += each * *rows as f64 / n as f64;
                    f.sights += each * *new as f64 / n as f64;
                }
                Taped::Frame { kind, bytes, .. } if is_worker(a) || is_worker(b) => {
                    let of_kind = f.worker_kinds.entry(*kind).or_default();
                    let bytes = each * *bytes as f64 / n as f64;
                    *of_kind = (of_kind.0 + each / n as f64, of_kind.1 + bytes);
                    if is_worker(a) {
                        continue;
                    }
                    *worker_frames.entry(b).or_default() += each;
                    match *kind {
                        Kind::PROBE => *probes.entry(b).or_default() += each,
                        Kind::LOAD => *orders.entry(b).or_default() += each,
                        Kind::ATTEMPT => *attempts.entry(b).or_default() += each,
                        _ => {}
                    }
                }
                Taped::Dialled if is_peer(b) => f.links += each / n as f64,
                Taped::Dialled if is_worker(b) => *dials.entry(b).or_default() += each,
                _ => {}
            }
        }
        let mut most: Counts = BTreeMap::new();
        for ((who, _), bytes) in seconds {
            let most = most.entry(who).or_default();
            *most = bytes.max(*most);
        }
        f.rpcs = each * f.of_calls(from.at, to.at, seen) as f64 / n as f64;
        let of = |all: Counts, n: usize| Spread::of(all.into_values(), n);
        (f.frames, f.sent, f.taken, f.burst) = (of(frames, n), of(sent, n), of(taken, n), of(most, n));
        (f.dials, f.worker_frames) = (of(dials, workers), of(worker_frames, workers));
        (f.probes, f.orders, f.attempts) = (of(probes, workers), of(orders, workers), of(attempts, workers));
        f.of_processes(from, to);
        f
    }

    /// How many were asked.
    fn of_calls(&mut self, from: Time, to: Time, seen: &[(Time, TranscriptEvent)]) -> usize {
        let (mut asked, mut reached, mut ran) =
            <(BTreeMap<u64, Time>, BTreeMap<_, _>, BTreeMap<_, _>)>::default();
        for (at, seen) in seen {
            match seen {
                TranscriptEvent::RpcSent { key, .. } if from <= *at && *at < to => {
                    asked.insert(*key, *at);
                }
                TranscriptEvent::AttemptArrived { key, .. } => drop(reached.entry(*key).or_insert(*at)),
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
        (self.reached, self.ran) = (took(&reached), took(&ran));
        self.unreached = asked.keys().filter(|key| !reached.contains_key(key)).count();
        asked.len()
    }

    fn of_processes(&mut self, from: &Look, to: &Look) {
        let (mut cores, mut resident, mut begun) = (Vec::new(), Vec::new(), Vec::new());
        for (before, after) in from.usage.iter().zip(&to.usage) {
            let Some(after) = after else { continue };
            match before.filter(|b| b.id == after.id) {
                Some(before) => {
                    let used = after.used.saturating_sub(before.used).as_secs_f64();
                    cores.push(used * 1_000.0 / self.len.ms().max(0.1));
                    resident.push(after.resident as f64 / 1024.0);
                }
                None => begun.push(after.used.as_secs_f64() * 1_000.0),
            }
        }
        (self.stayed, self.begun) = (cores.len(), begun.len());
        self.core = Spread::of(cores, self.stayed);
        self.resident = Spread::of(resident, self.stayed);
        self.begun_used = Spread::of(begun, self.begun);
    }

    /// Spans of several plays, side by side: the same spans in each.
    pub fn draw(columns: &[&[Cost]]) -> String {
        type Row = (&'static str, fn(&Cost) -> String);
        type Kinds = fn(&Cost) -> &BTreeMap<Kind, (f64, f64)>;
        let rows: &[Row] = &[
            ("RPCs asked of an instance a second", |c| format!("{:.2}", c.rpcs)),
            ("ms to a worker: half; 99 in 100; worst", |c| ms(c.reached)),
            ("ms to the effect: half; 99 in 100; worst", |c| ms(c.ran)),
            ("RPCs that reached no worker, in all", |c| c.unreached.to_string()),
            ("sights an instance told, rows it sent", |c| format!("{:.2}; {:.1}", c.sights, c.rows)),
            ("frames sent: mean; worst", |c| c.frames.told(1)),
            ("bytes sent: mean; worst", |c| c.sent.told(0)),
            ("bytes taken: mean; worst", |c| c.taken.told(0)),
            ("both in its worst second: mean; worst", |c| c.burst.told(0)),
            ("links opened to peers", |c| format!("{:.2}", c.links)),
            ("part of a core: mean; worst; of", |c| {
                let part = Spread { mean: c.core.mean * 100.0, worst: c.core.worst * 100.0 };
                format!("{}%; of {}", part.told(2), c.stayed)
            }),
            ("MB resident: mean; worst", |c| c.resident.told(1)),
            ("begun within, ms used: mean; worst; of", |c| {
                format!("{}; of {}", c.begun_used.told(0), c.begun)
            }),
            ("at a worker: connections: mean; worst", |c| c.dials.told(2)),
            ("at a worker: frames: mean; worst", |c| c.worker_frames.told(1)),
            ("at a worker: probes: mean; worst", |c| c.probes.told(2)),
            ("at a worker: load orders: mean; worst", |c| c.orders.told(2)),
            ("at a worker: attempts: mean; worst", |c| c.attempts.told(1)),
            ("load of the machine at its end", |c| format!("{:.1}", c.load)),
        ];
        let mut out = String::new();
        let spans = columns.iter().map(|c| c.len()).max().unwrap_or(0);
        for no in 0..spans {
            let of: Vec<Option<&Cost>> = columns.iter().map(|c| c.get(no)).collect();
            let Some(first) = of.iter().flatten().next() else { continue };
            // Writing to a String cannot fail.
            let _ = write!(out, "\n{}, {:.1} s, each second:", first.name, first.len.ms() / 1_000.0);
            let mut line = |name: &str, cell: &dyn Fn(&Cost) -> String| {
                let _ = write!(out, "\n  {name:40}");
                for c in &of {
                    let _ = write!(out, "{:>24}", c.map_or("-".to_owned(), cell));
                }
            };
            for (name, cell) in rows {
                line(name, cell);
            }
            for (what, kinds) in [("sent", (|c| &c.kinds) as Kinds), ("with workers", |c| &c.worker_kinds)] {
                let all: BTreeSet<Kind> =
                    of.iter().flatten().flat_map(|c| kinds(c).keys().copied()).collect();
                for kind in all {
                    line(&format!("{what} {}: frames; bytes", kind_name(kind)), &|c| {
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

/// Kinds that pass between peers and to workers, as the protocol's page calls them.
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
