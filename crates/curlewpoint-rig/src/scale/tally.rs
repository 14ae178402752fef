use std::collections::BTreeMap;
use std::time::Duration;

use curlewpoint_wire::Kind;
use rustix::time::{clock_gettime, ClockId};

/// Frames and bytes by kind. Bytes are those of encoded frames, without TCP and IP headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    kinds: BTreeMap<Kind, (u64, u64)>,
}

/// Groups of kinds that are reported together.
pub const GROUPS: [(&str, &[Kind]); 6] = [
    ("beats", &[Kind::HEARTBEAT]),
    ("members", &[Kind::MEMBER]),
    ("list", &[Kind::LIST_BEGIN, Kind::LIST_ENTRY, Kind::LIST_ENTRIES, Kind::LIST_END, Kind::WATCH]),
    ("hints", &[Kind::HINTS]),
    ("directory", &[Kind::DIRECTORY_JOIN, Kind::DIRECTORY_QUERY, Kind::DIRECTORY_UPDATE, Kind::OBSERVATIONS]),
    ("links", &[Kind::HELLO, Kind::JOIN, Kind::FAULT]),
];

impl Tally {
    pub fn add(&mut self, kind: Kind, bytes: usize) {
        let (frames, all) = self.kinds.entry(kind).or_default();
        *frames += 1;
        *all += bytes as u64;
    }

    pub fn merge(&mut self, other: &Tally) {
        for (kind, (frames, bytes)) in &other.kinds {
            let (f, b) = self.kinds.entry(*kind).or_default();
            *f += frames;
            *b += bytes;
        }
    }

    /// Frames and bytes of these kinds.
    pub fn of(&self, kinds: &[Kind]) -> (u64, u64) {
        let of = |k: &Kind| self.kinds.get(k).copied().unwrap_or_default();
        kinds.iter().map(of).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }

    /// Total frames and bytes.
    pub fn all(&self) -> (u64, u64) {
        self.kinds.values().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }

    /// Frames and bytes of one of the `GROUPS`; zero for an unknown name.
    pub fn group(&self, name: &str) -> (u64, u64) {
        GROUPS.iter().find(|g| g.0 == name).map_or((0, 0), |g| self.of(g.1))
    }
}

/// Measures processor time of this thread, minus the cost of reading the clock.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    reading: Duration,
}

fn thread_time() -> Duration {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

impl Meter {
    /// Measures the cost of reading the clock.
    pub fn new() -> Meter {
        const READINGS: u32 = 2_000;
        let began = thread_time();
        for _ in 0..READINGS {
            std::hint::black_box(thread_time());
        }
        Meter { reading: (thread_time() - began) / READINGS }
    }

    /// Runs `work` and returns its result and the processor time of this thread that it took.
    pub fn time<R>(&self, work: impl FnOnce() -> R) -> (R, Duration) {
        let began = thread_time();
        let done = work();
        (done, (thread_time() - began).saturating_sub(self.reading))
    }
}

impl Default for Meter {
    fn default() -> Meter {
        Meter::new()
    }
}

/// The resident size of this process in bytes; `None` if the system does not report it.
pub fn resident() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok().map(|kb| kb << 10)
}
