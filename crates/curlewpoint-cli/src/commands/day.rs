use std::path::PathBuf;

use clap::Args;
use curlewpoint_config::Config;
use curlewpoint_lab::{run_scenario, ClientProtocol, Script, BAD_DAY, REHEARSAL_CONFIG};

use super::{block_on, fail, AT_FAULT, DONE, FAILED};

/// Plays a scripted day against real sockets on loopback, and judges the five rules.
#[derive(Args)]
pub struct PlayDay {
    /// The day's script.
    script: PathBuf,
    /// The schedulers' configuration; absent: the rehearsal's.
    #[arg(long)]
    config: Option<PathBuf>,
    /// Another seed than the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Let the clients come by the HTTP door (HTTP/2), not by the native one.
    #[arg(long)]
    http: bool,
    /// Log the schedulers' lines too.
    #[arg(long)]
    log: bool,
}

/// Sets up all that is needed on loopback, plays a short bad day, and shows answers, latencies and the five rules.
#[derive(Args)]
pub struct Rehearse {
    /// Another seed than the day's.
    #[arg(long)]
    seed: Option<u64>,
    /// Let the clients come by the HTTP door (HTTP/2), not by the native one.
    #[arg(long)]
    http: bool,
    /// Log the schedulers' lines too.
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
    let by = if http { ClientProtocol::Http } else { ClientProtocol::Native };
    block_on(async {
        match run_scenario(&config, &script, by).await {
            Ok(day) => {
                println!("\n{}", day.report);
                if day.verdict.passed() {
                    println!("all five rules kept");
                    DONE
                } else {
                    fail(FAILED, "a rule was broken")
                }
            }
            Err(e) => fail(FAILED, &format!("the day could not be played: {e}")),
        }
    })
}

impl PlayDay {
    pub fn run(self) -> u8 {
        let text = match std::fs::read_to_string(&self.script) {
            Ok(text) => text,
            Err(e) => return fail(AT_FAULT, &format!("{}: {e}", self.script.display())),
        };
        let config = match &self.config {
            Some(path) => curlewpoint_config::load(path),
            None => curlewpoint_config::parse("rehearsal.conf", REHEARSAL_CONFIG),
        };
        match (config, Script::parse(&self.script.display().to_string(), &text)) {
            (Ok(config), Ok(script)) => run(config, script, self.seed, self.http, self.log),
            (Err(faults), _) | (_, Err(faults)) => fail(AT_FAULT, &format!("nothing was started\n{faults}")),
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
            (Err(faults), _) | (_, Err(faults)) => fail(AT_FAULT, &faults.to_string()),
        }
    }
}
