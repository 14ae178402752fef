use std::path::PathBuf;

use clap::Args;
use curlewpoint_config::Config;
use curlewpoint_lab::{run_scenario, ClientProtocol, Script, BAD_DAY, REHEARSAL_CONFIG};

use super::{block_on, fail, BAD_INPUT, FAILED, SUCCESS};

/// Runs a scripted fault scenario over real sockets on loopback and checks the five rules.
#[derive(Args)]
pub struct RunScenario {
    /// The scenario script.
    script: PathBuf,
    /// The schedulers' configuration. Default: that of `rehearse`.
    #[arg(long)]
    config: Option<PathBuf>,
    /// The seed, instead of the one in the script.
    #[arg(long)]
    seed: Option<u64>,
    /// Connect the clients to the HTTP listener (HTTP/2) instead of the native one.
    #[arg(long)]
    http: bool,
    /// Include the schedulers' log lines.
    #[arg(long)]
    log: bool,
}

/// Starts schedulers and test servers on loopback, runs a short fault scenario and prints answers, latencies and the
/// results of the five rules.
#[derive(Args)]
pub struct Rehearse {
    /// The seed, instead of the one in the script.
    #[arg(long)]
    seed: Option<u64>,
    /// Connect the clients to the HTTP listener (HTTP/2) instead of the native one.
    #[arg(long)]
    http: bool,
    /// Include the schedulers' log lines.
    #[arg(long)]
    log: bool,
}

fn run(config: Config, mut script: Script, seed: Option<u64>, http: bool, log: bool) -> u8 {
    crate::logging::start(if log { "info" } else { "error" }, false);
    script.seed = seed.unwrap_or(script.seed);
    let (length, seed) = (script.length.ms() / 1000.0, script.seed);
    println!(
        "{} schedulers, {} workers, {} RPCs a second, {length} s, seed {seed}",
        script.schedulers, script.workers, script.rate
    );
    for e in &script.events {
        let kind = curlewpoint_lab::EventKind::ALL.iter().find(|k| k.1 == e.kind);
        println!("  at {:>6.1} s: {}", e.at.ms() / 1000.0, kind.map_or("", |k| k.2));
    }
    let protocol = if http { ClientProtocol::Http } else { ClientProtocol::Native };
    block_on(async {
        match run_scenario(&config, &script, protocol).await {
            Ok(outcome) => {
                println!("\n{}", outcome.report);
                if outcome.verdict.passed() {
                    println!("all five rules kept");
                    SUCCESS
                } else {
                    fail(FAILED, "a rule was broken")
                }
            }
            Err(e) => fail(FAILED, &format!("the scenario could not be run: {e}")),
        }
    })
}

impl RunScenario {
    pub fn run(self) -> u8 {
        let text = match std::fs::read_to_string(&self.script) {
            Ok(text) => text,
            Err(e) => return fail(BAD_INPUT, &format!("{}: {e}", self.script.display())),
        };
        let config = match &self.config {
            Some(path) => curlewpoint_config::load(path),
            None => curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG),
        };
        match (config, Script::parse(&self.script.display().to_string(), &text)) {
            (Ok(config), Ok(script)) => run(config, script, self.seed, self.http, self.log),
            (Err(errors), _) | (_, Err(errors)) => fail(BAD_INPUT, &format!("nothing was started\n{errors}")),
        }
    }
}

impl Rehearse {
    pub fn run(self) -> u8 {
        match (
            curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG),
            Script::parse("bad.day", BAD_DAY),
        ) {
            (Ok(config), Ok(script)) => run(config, script, self.seed, self.http, self.log),
            (Err(errors), _) | (_, Err(errors)) => fail(BAD_INPUT, &errors.to_string()),
        }
    }
}
