use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use curlewpoint_soak::{run, Plan, Program, Report, Rule};

use super::{block_on, fail, BAD_INPUT, FAILED, SUCCESS};

/// Runs `node` processes under failing system calls, series of signals, drains, restarts and changes of the discovery
/// address, with clients that keep calling until each process is killed. Exits with 1 if a rule was broken.
#[derive(Args)]
pub struct Soak {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The length of the run of each seed, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// The maximum number of processes.
    #[arg(long, default_value_t = 4)]
    processes: usize,
    /// The library that makes system calls fail, built by `cargo build --package curlewpoint-faults`. Without it no call
    /// fails.
    #[arg(long)]
    faults: Option<PathBuf>,
    /// The program to run, instead of this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Also suspend processes for seconds while a worker drains, and silence the directory for seconds.
    #[arg(long)]
    long_faults: bool,
    /// Keep startup configurations and logs in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// Violations printed with the full sequence of events that led to them.
const MAX_PRINTED_VIOLATIONS: usize = 3;

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
    let checks: Vec<String> = verdict.checks.iter().map(|(rule, n)| format!("{rule:?} {n}")).collect();
    println!("  judged: {}", checks.join(", "));
    for error in &report.harness_errors {
        println!("  not counted: {error}");
    }
    if verdict.violations.is_empty() {
        return;
    }
    let mut by_rule = BTreeMap::<Rule, usize>::new();
    verdict.violations.iter().for_each(|violation| *by_rule.entry(violation.rule).or_default() += 1);
    println!("  {} violations, {by_rule:?}; logs in {}", verdict.violations.len(), report.folder.display());
    for violation in verdict.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {:?}: {}", violation.rule, violation.history);
    }
    let (seed, seconds) = (plan.seed, plan.duration.as_secs());
    println!(
        "  to run it again: curlewpoint fleet soak --seed {seed} --seconds {seconds} --processes N --faults LIBRARY{}",
        if plan.long_faults { " --long-faults" } else { "" }
    );
}

impl Soak {
    pub fn run(self) -> u8 {
        let current_program = || std::env::current_exe().ok();
        let Some(node) = self.program.clone().or_else(current_program) else {
            return fail(FAILED, "cannot locate this executable");
        };
        if let Some(library) = self.faults.as_ref().filter(|library| !library.is_file()) {
            return fail(BAD_INPUT, &format!("no such library: {}", library.display()));
        }
        let base = self
            .keep
            .clone()
            .unwrap_or_else(|| std::env::temp_dir().join(format!("soak-{}", std::process::id())));
        block_on(async move {
            let program = Program { node, faults: self.faults.clone() };
            let (mut broken, mut uncounted) = (0, 0);
            for seed in self.seed..self.seed + self.seeds {
                let mut plan = Plan::generate(seed, Duration::from_secs(self.seconds), self.processes);
                plan.long_faults = self.long_faults;
                let report = match run(&plan, &program, &base.join(format!("seed-{seed}"))).await {
                    Ok(report) => report,
                    Err(error) => return fail(FAILED, &format!("seed {seed} was not run: {error}")),
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
                SUCCESS
            }
        })
    }
}
