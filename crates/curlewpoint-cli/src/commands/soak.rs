use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use curlewpoint_soak::{run, Plan, Program, Report, Rule};

use super::{block_on, fail, AT_FAULT, DONE, FAILED};

/// Processes of `node` under failing system calls, signals in series, drains, restarts and a directory that moves, with clients
/// that go on until each process is killed. Exits with 1 where a rule was broken.
#[derive(Args)]
pub struct Soak {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds, one after the other, from the first on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// At most.
    #[arg(long, default_value_t = 4)]
    processes: usize,
    /// The library that fails system calls, as `cargo build --package curlewpoint-faults` builds it; without it none fail.
    #[arg(long)]
    faults: Option<PathBuf>,
    /// Another build of the program, whose processes are to be run.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Keep what processes were told, and their logs, in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// Breaks that are printed with their whole way.
const MOST_PRINTED: usize = 3;

fn print(plan: &Plan, report: &Report) {
    let Report { verdict, requests, served, starts, .. } = report;
    println!(
        "seed {}: {} processes, {} workers, crowd {}, {starts} starts, {requests} requests, {served} served; {}; {}",
        plan.seed,
        plan.processes,
        plan.workers,
        plan.idle_clients,
        if plan.system_calls.is_empty() { "no failing calls" } else { &plan.system_calls },
        if verdict.violations.is_empty() { "rules kept" } else { "BROKEN" },
    );
    let chances: Vec<String> = verdict.checks.iter().map(|(rule, n)| format!("{rule:?} {n}")).collect();
    println!("  judged: {}", chances.join(", "));
    for fault in &report.harness_errors {
        println!("  not counted: {fault}");
    }
    if verdict.violations.is_empty() {
        return;
    }
    let mut by_rule = BTreeMap::<Rule, usize>::new();
    verdict.violations.iter().for_each(|one| *by_rule.entry(one.rule).or_default() += 1);
    println!("  {} violations, {by_rule:?}; logs in {}", verdict.violations.len(), report.folder.display());
    for one in verdict.violations.iter().take(MOST_PRINTED) {
        println!("  {:?}: {}", one.rule, one.history);
    }
    let (seed, seconds) = (plan.seed, plan.duration.as_secs());
    println!(
        "  again: curlewpoint fleet soak --seed {seed} --seconds {seconds} --processes N --faults LIBRARY"
    );
}

impl Soak {
    pub fn run(self) -> u8 {
        let own = || std::env::current_exe().ok();
        let Some(node) = self.program.clone().or_else(own) else {
            return fail(FAILED, "this program is not found");
        };
        if let Some(library) = self.faults.as_ref().filter(|library| !library.is_file()) {
            return fail(AT_FAULT, &format!("no such library: {}", library.display()));
        }
        let base = self
            .keep
            .clone()
            .unwrap_or_else(|| std::env::temp_dir().join(format!("soak-{}", std::process::id())));
        block_on(async move {
            let program = Program { node, faults: self.faults.clone() };
            let (mut broken, mut uncounted) = (0, 0);
            for seed in self.seed..self.seed + self.seeds {
                let plan = Plan::generate(seed, Duration::from_secs(self.seconds), self.processes);
                let report = match run(&plan, &program, &base.join(format!("seed-{seed}"))).await {
                    Ok(report) => report,
                    Err(why) => return fail(FAILED, &format!("seed {seed} was not run: {why}")),
                };
                print(&plan, &report);
                let counts = report.harness_errors.is_empty();
                broken += u64::from(counts && !report.verdict.violations.is_empty());
                uncounted += u64::from(!counts);
            }
            println!("{} seeds, {broken} broke a rule, {uncounted} do not count", self.seeds);
            if broken > 0 {
                FAILED
            } else {
                DONE
            }
        })
    }
}
