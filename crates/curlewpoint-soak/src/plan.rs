//! The plan that a seed generates: the number of processes, and which faults occur and how often.

use std::time::Duration;

use oorandom::Rand64;

/// The limits of the platform that the rules check.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub drain_grace: Duration,
    /// A change of the list counts as notified at the latest this long after it was made.
    pub notified_within: Duration,
    /// If the directory is silent, at the latest this long after it became so.
    pub notified_within_outage: Duration,
    /// Maximum time that a client waits.
    pub longest_deadline: Duration,
    /// Time from the longest deadline after SIGTERM until SIGKILL.
    pub kill_after: Duration,
    /// Maximum number of load orders within the window: `order_floor` plus `order_share` per request.
    pub order_floor: f64,
    pub order_share: f64,
    pub order_window: Duration,
}

pub const LIMITS: Limits = Limits {
    drain_grace: Duration::from_millis(500),
    notified_within: Duration::from_millis(1_500),
    notified_within_outage: Duration::from_millis(4_500),
    longest_deadline: Duration::from_millis(2_000),
    kill_after: Duration::from_millis(700),
    order_floor: 6.0,
    order_share: 0.2,
    order_window: Duration::from_millis(5_000),
};

/// Faults of the directory's answers, each as a share of all answers.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryFaults {
    pub lost: f64,
    pub late: f64,
    pub failed: f64,
    pub doubled: f64,
    pub outdated: f64,
}

/// Faults of attempts at workers, each as a share of all attempts.
#[derive(Clone, Copy, Debug)]
pub struct WorkerFaults {
    pub busy: f64,
    pub failed: f64,
    pub silent: f64,
    pub reset: f64,
    /// Answers that are written in two parts.
    pub split: f64,
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub duration: Duration,
    pub processes: usize,
    pub workers: usize,
    pub clients: usize,
    /// Number of connections that send nothing, or one check, and stay open.
    pub idle_clients: usize,
    /// Whether a worker without a copy answers a miss and waits for a load order. Otherwise it loads the function.
    pub answers_misses: bool,
    /// Fault script for the preloaded library. If empty, the library is not loaded.
    pub system_calls: String,
    pub directory: DirectoryFaults,
    pub worker: WorkerFaults,
    /// Whether processes are also suspended for seconds, and the directory is also silent for seconds.
    pub long_faults: bool,
    /// Mean pause between two events such as restarts, reloads or worker failures.
    pub event_pause: Duration,
}

/// Mixes of failing system calls. A seed selects one.
const SYSTEM_CALLS: [&str; 6] = [
    "",
    "send tcp short 20%; recv tcp short 20%",
    "send tcp EINTR 10%; recv tcp EINTR 10%; recv udp EINTR 10%; send udp EINTR 10%",
    "accept ECONNABORTED 10%; accept EINTR 10%; connect tcp EADDRNOTAVAIL 10%; connect tcp ENETUNREACH 5%; socket ENOBUFS 5%",
    "clock step 3600000 after 2500; clock step -7200000 after 6000; send tcp short 5%; recv tcp EINTR 5%",
    "send tcp short 5%; recv tcp short 5%; send tcp EINTR 5%; recv tcp EINTR 5%; accept ENFILE 3%; recv udp EINTR 20%",
];

impl Plan {
    /// Generates the plan of a seed.
    pub fn generate(seed: u64, duration: Duration, max_processes: usize) -> Plan {
        let mut rng = Rand64::new(u128::from(seed) << 8 | 0x50a4);
        let mut below = |n: usize| rng.rand_range(0..n as u64) as usize;
        let processes = 1 + below(max_processes.max(1));
        let (workers, clients) = (3 + below(4), 2 + below(4));
        let idle_clients = if below(4) == 0 { 150 } else { 0 };
        let answers_misses = below(2) == 0;
        let mix = SYSTEM_CALLS[below(SYSTEM_CALLS.len())];
        let event_pause = Duration::from_millis(300 + below(1_200) as u64);
        let mut share = |max: f64| rng.rand_float() * max;
        let directory = DirectoryFaults {
            lost: share(0.3),
            late: share(0.2),
            failed: share(0.05),
            doubled: share(0.1),
            outdated: share(0.1),
        };
        let worker = WorkerFaults {
            busy: share(0.05),
            failed: share(0.05),
            silent: share(0.03),
            reset: share(0.02),
            split: share(0.2),
        };
        let system_calls = if mix.is_empty() { String::new() } else { format!("seed {seed}; {mix}") };
        Plan {
            seed,
            duration,
            processes,
            workers,
            clients,
            idle_clients,
            answers_misses,
            system_calls,
            directory,
            worker,
            long_faults: false,
            event_pause,
        }
    }
}
