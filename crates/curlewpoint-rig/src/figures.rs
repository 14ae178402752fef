use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::Duration;

use curlewpoint::types::{Lifecycle, Time};
use curlewpoint_engine::Answer;
use curlewpoint_lab::TranscriptEvent;
use curlewpoint_wire::Kind;

use crate::calls::CALLED;
use crate::relay::{Passed, Taped};
use crate::scenario::IDLE;

mod directory;
mod spans;

pub(crate) use directory::most;
pub use directory::{Directory, Second, Waits};
pub use spans::{Cost, Look, Spread};

/// A line of the report: what it is, and how it is told.
type Row = (&'static str, fn(&Figures) -> String);

/// Figures are kept by this much time.
pub const WINDOW: Time = Time(1_000);
/// One that lives beats at least so often.
const SPEAKS: Time = Time(10_000);
/// What counts as the start.
const START: Time = Time(50_000);

/// What passed through the relays in a play, and what clients and workers saw; never what a scheduler says of itself.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// At the list service: the most connections in any 100 ms, all of them, whole lists and bytes it sent.
    pub list_connections: usize,
    pub list_connections_in_all: usize,
    pub whole_lists: usize,
    pub list_bytes: usize,
    /// In the first 5 s: connections at workers, probes, load orders, attempts; the busiest worker against the mean.
    pub worker_connections: usize,
    pub probes: usize,
    pub orders: usize,
    pub attempts: usize,
    pub busiest: f64,
    /// In the first 5 s and in all: asked, ok, denied, aborted, refused, unanswered.
    pub first: [usize; 6],
    pub all: [usize; 6],
    /// When half and 99 in 100 of the instances had been told a first list.
    pub listed: [Option<Time>; 2],
    /// When 95 in 100 of what was asked in half a second ended ok for the first time; none: never.
    pub steady: Option<Time>,
    /// From the first who was told that a worker drains or is gone, to 99 in 100 of those that lived; none: no such word.
    pub told: Option<Time>,
    /// From the end of the last fault to the moment from which all beats told the same; none: they never did.
    pub alike: Option<Time>,
    /// Bytes a second on the links of an instance, in the last third of the play.
    pub gossip: f64,
    /// Of an instance: the part of a core that it used, and its most memory.
    pub cost: Option<(f64, f64)>,
    /// Fetches that the store was asked for, and that it turned away.
    pub fetches: u64,
    pub turned_away: u64,
    /// What was sent for the directory of copies, and what came of it.
    pub directory: Directory,
    /// Of those that were started anew: from the ready line to the first ok answer, the machine's stalls not counted, the least
    /// first; none: none came.
    pub serves: Option<Vec<Option<Time>>>,
    /// From the first call of a function that is called everywhere until half and all of those asked for it had answered ok.
    pub called: Option<[Option<Time>; 2]>,
    /// Over each span that the play measures.
    pub spans: Vec<Cost>,
}

/// The most of these moments that lie within one window.
fn most_within(times: &[Time], window: Time) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + window <= *at {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

fn is_worker(name: &str) -> bool {
    name.starts_with("w-")
}

fn is_peer(name: &str) -> bool {
    name.starts_with("front-")
}

impl Figures {
    /// `began`: when the schedulers were started; `over`: when the last fault had ended; `gone`: who was down or stopped,
    /// from when to when.
    pub fn of(
        tape: &[Passed], seen: &[(Time, TranscriptEvent)], began: Time, over: Time, end: Time,
        instances: usize, gone: &[(String, Time, Time)],
    ) -> Figures {
        let mut f = Figures::default();
        f.of_tape(tape, began, over, end, instances);
        f.of_clients(seen, began);
        f.told = told(seen, instances, gone);
        f.listed = listed(seen, instances, began);
        f
    }

    fn of_tape(&mut self, tape: &[Passed], began: Time, over: Time, end: Time, instances: usize) {
        let (mut dials, mut by_worker) = (Vec::new(), BTreeMap::<&str, usize>::new());
        let late = end - Time((end - began).0 / 3);
        let (mut beats, mut last_unlike) = (BTreeMap::<&str, (Time, u64)>::new(), over);
        let mut bytes_late = 0;
        for (at, from, to, what) in tape.iter().filter(|t| t.0 < end) {
            let starting = *at < began + START;
            match what {
                Taped::Dialled if &**to == "list" => dials.push(*at),
                Taped::Dialled if is_worker(to) && starting => self.worker_connections += 1,
                Taped::Frame { bytes, whole, .. } if &**from == "list" => {
                    self.list_bytes += bytes;
                    self.whole_lists += usize::from(*whole);
                }
                Taped::Frame { kind, .. } if is_worker(to) && starting => match *kind {
                    Kind::PROBE => self.probes += 1,
                    Kind::LOAD => self.orders += 1,
                    Kind::ATTEMPT => {
                        self.attempts += 1;
                        *by_worker.entry(to).or_default() += 1;
                    }
                    _ => {}
                },
                Taped::Frame { bytes, digest, .. } if is_peer(from) && is_peer(to) => {
                    if *at >= late {
                        bytes_late += bytes;
                    }
                    if let Some(digest) = digest {
                        beats.insert(from, (*at, *digest));
                        if *at >= over && !alike(&beats, *at) {
                            last_unlike = *at;
                        }
                    }
                }
                _ => {}
            }
        }
        self.list_connections = most_within(&dials, WINDOW);
        self.list_connections_in_all = dials.len();
        let (most, sum) = (by_worker.values().max().copied().unwrap_or(0), self.attempts);
        self.busiest = most as f64 * by_worker.len() as f64 / sum.max(1) as f64;
        let settled = alike(&beats, end) && last_unlike + SPEAKS < end;
        self.alike = (!beats.is_empty() && settled).then(|| last_unlike - over);
        self.gossip = 2.0 * bytes_late as f64 / instances as f64 / ((end - late).ms() / 1000.0);
    }

    fn of_clients(&mut self, seen: &[(Time, TranscriptEvent)], began: Time) {
        let mut asked: BTreeMap<u64, Time> = BTreeMap::new();
        let mut halves: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        let half = |at: Time| (at - began).0 / 5_000;
        let mut count = |at: Time, no: usize| {
            self.all[no] += 1;
            self.first[no] += usize::from(at < began + START);
        };
        for (at, seen) in seen {
            match seen {
                TranscriptEvent::RpcSent { key, .. } => {
                    asked.insert(*key, *at);
                    count(*at, 0);
                    halves.entry(half(*at)).or_default().0 += 1;
                }
                TranscriptEvent::FinalAnswer { key, answer } => {
                    let Some(at) = asked.remove(key) else { continue };
                    match answer {
                        Answer::Ok => {
                            halves.entry(half(at)).or_default().1 += 1;
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
        let steady = halves.iter().find(|(_, (asked, ok))| *ok as f64 >= 0.95 * *asked as f64);
        self.steady = steady.map(|(half, _)| Time((half + 1) * 5_000));
    }

    /// `ready`: who was started anew, and when it was ready.
    pub fn served(&mut self, seen: &[(Time, TranscriptEvent)], ready: &[(String, Time)], waits: &Waits) {
        let stalls = directory::stalls(seen);
        let first_ok = |(who, at): &(String, Time)| {
            let mut asked: BTreeSet<u64> = BTreeSet::new();
            for (then, seen) in seen.iter().filter(|(then, _)| then >= at) {
                match seen {
                    TranscriptEvent::RpcSent { key, scheduler, .. } if scheduler == who => {
                        asked.insert(*key);
                    }
                    TranscriptEvent::FinalAnswer { key, answer: Answer::Ok } if asked.contains(key) => {
                        let held = directory::held_between(&stalls, waits.get(who), *at, *then);
                        return Some(*then - *at - held);
                    }
                    _ => {}
                }
            }
            None
        };
        let mut all: Vec<Option<Time>> = ready.iter().map(first_ok).collect();
        // Those that never answered come last.
        all.sort_by_key(|t| t.unwrap_or(Time(u64::MAX)));
        self.serves = (!all.is_empty()).then_some(all);
    }

    /// What became of calls of a function that is called everywhere.
    pub fn called(&mut self, seen: &[(Time, TranscriptEvent)]) {
        let mut who: BTreeMap<u64, &str> = BTreeMap::new();
        let mut first: BTreeMap<&str, Option<Time>> = BTreeMap::new();
        let mut began = None;
        for (at, seen) in seen {
            match seen {
                TranscriptEvent::RpcSent { key, scheduler, .. } if key & CALLED != 0 => {
                    began = began.or(Some(*at));
                    who.insert(*key, scheduler);
                    first.entry(scheduler).or_insert(None);
                }
                TranscriptEvent::FinalAnswer { key, answer: Answer::Ok } => {
                    let first = who.get(key).and_then(|who| first.get_mut(who));
                    first.into_iter().for_each(|t| *t = t.or(Some(*at)));
                }
                _ => {}
            }
        }
        let Some(began) = began else { return };
        let mut all: Vec<Option<Time>> = first.into_values().collect();
        all.sort_by_key(|t| t.unwrap_or(Time(u64::MAX)));
        let at = |part: usize| all[(all.len() * part).div_ceil(100).max(1) - 1].map(|t| t - began);
        self.called = Some([at(50), at(100)]);
    }

    /// The figures of several plays, side by side.
    pub fn draw(columns: &[(String, Figures)]) -> String {
        let mut out = String::new();
        let rows: &[Row] = &[
            ("list: connections in any 100 ms; in all", |f| {
                format!("{}; {}", f.list_connections, f.list_connections_in_all)
            }),
            ("list: whole lists; kB sent", |f| format!("{}; {}", f.whole_lists, f.list_bytes / 1000)),
            ("a first list at half; at 99 in 100", |f| format!("{}; {}", ms(f.listed[0]), ms(f.listed[1]))),
            ("first 5 s: connections at workers", |f| f.worker_connections.to_string()),
            ("first 5 s: probes; load orders", |f| format!("{}; {}", f.probes, f.orders)),
            ("first 5 s: attempts; busiest worker", |f| format!("{}; {:.1} x mean", f.attempts, f.busiest)),
            ("first 5 s: ok, denied, aborted of asked", |f| {
                let [asked, ok, denied, aborted, ..] = f.first;
                format!("{ok}, {denied}, {aborted} of {asked}")
            }),
            ("all: ok, denied, aborted of asked", |f| {
                let [asked, ok, denied, aborted, ..] = f.all;
                format!("{ok}, {denied}, {aborted} of {asked}")
            }),
            ("95 in 100 ok from", |f| ms(f.steady)),
            ("a drain told to 99 in 100 after", |f| ms(f.told)),
            ("beats alike after the last fault", |f| ms(f.alike)),
            ("gossip of an instance, bytes a second", |f| format!("{:.0}", f.gossip)),
            ("directory: worst second; at most; held up", |f| {
                let of = |s: &Second| format!("{}; {:.0}; {:.0} ms", s.bytes, s.most, s.late.ms());
                f.directory.worst.as_ref().map_or("-".into(), of)
            }),
            ("hints: bytes in the worst second", |f| f.directory.hints.to_string()),
            ("questions: put; in 0.6 s; not in 3 s", |f| {
                format!("{}; {}; {}", f.directory.asked, f.directory.soon, f.directory.unanswered)
            }),
            ("rows look younger than they are by", |f| ms(Some(f.directory.younger))),
            ("started anew: ok after, half; worst; of", |f| {
                let of = |all: &Vec<Option<Time>>| {
                    let (half, worst) = (all[(all.len() - 1) / 2], all[all.len() - 1]);
                    format!("{}; {}; {}", ms(half), ms(worst), all.len())
                };
                f.serves.as_ref().map_or("-".into(), of)
            }),
            ("called everywhere: ok at half; at all", |f| {
                f.called.map_or("-".into(), |[half, all]| format!("{}; {}", ms(half), ms(all)))
            }),
            ("an instance: part of a core; MB at most", |f| {
                f.cost.map_or("-".into(), |(core, mb)| format!("{:.2}%; {mb:.1}", core * 100.0))
            }),
            ("fetches asked of the store; turned away", |f| format!("{}; {}", f.fetches, f.turned_away)),
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
        let spans: Vec<&[Cost]> = columns.iter().map(|(_, f)| f.spans.as_slice()).collect();
        out + "\n" + &Cost::draw(&spans)
    }
}

/// Whether all who have spoken of late say the same.
fn alike(beats: &BTreeMap<&str, (Time, u64)>, now: Time) -> bool {
    let late: BTreeSet<u64> =
        beats.values().filter(|(at, _)| *at + SPEAKS >= now).map(|(_, digest)| *digest).collect();
    late.len() <= 1
}

fn ms(time: Option<Time>) -> String {
    time.map_or("-".into(), |t| format!("{:.0} ms", t.ms()))
}

/// When half and 99 in 100 had been told a first list, from the beginning on.
fn listed(seen: &[(Time, TranscriptEvent)], instances: usize, began: Time) -> [Option<Time>; 2] {
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

/// How long the word that a worker drains or is gone took from the first scheduler to 99 in 100 of those that lived, the
/// worst of all such words.
fn told(seen: &[(Time, TranscriptEvent)], instances: usize, gone: &[(String, Time, Time)]) -> Option<Time> {
    const WAIT: Time = Time(30_000);
    let mut words: Vec<(Time, BTreeMap<&str, Time>)> = Vec::new();
    // The word that holds of a worker now; one that is ready again has another.
    let mut said: BTreeMap<&str, usize> = BTreeMap::new();
    for (at, seen) in seen {
        let TranscriptEvent::ListEntrySent { scheduler, worker, lifecycle } = seen else { continue };
        if worker.starts_with(IDLE) {
            continue;
        }
        if *lifecycle == Lifecycle::Ready {
            said.remove(worker.as_str());
            continue;
        }
        let no = said.get(worker.as_str()).copied();
        match no.and_then(|no: usize| words.get_mut(no)) {
            Some((_, all)) => drop(all.entry(scheduler).or_insert(*at)),
            None => {
                said.insert(worker, words.len());
                words.push((*at, BTreeMap::from([(scheduler.as_str(), *at)])));
            }
        }
    }
    let late = words.into_iter().map(|(first, all)| {
        let lived = |name: &String| {
            !gone.iter().any(|(n, from, to)| n == name && *from <= first + WAIT && first <= *to)
        };
        let names = (0..instances).map(|no| format!("front-{no}")).filter(lived);
        let mut after: Vec<Time> =
            names.map(|n| all.get(n.as_str()).map_or(WAIT, |at| (*at - first).min(WAIT))).collect();
        after.sort();
        // 99 in 100, rounded up to whole instances.
        let at = (after.len() * 99).div_ceil(100).max(1) - 1;
        after.get(at).copied().unwrap_or_default()
    });
    late.max()
}

/// An instance's mean costs.
pub fn cost(all: &[(Duration, u64)], lived: Duration) -> Option<(f64, f64)> {
    let used: f64 = all.iter().map(|c| c.0.as_secs_f64()).sum();
    let memory = all.iter().map(|c| c.1).max()? as f64 / 1024.0;
    Some((used / all.len() as f64 / lived.as_secs_f64(), memory))
}

#[cfg(test)]
mod tests;
