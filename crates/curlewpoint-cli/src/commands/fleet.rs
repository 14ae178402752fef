use std::fs::OpenOptions;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Instant;

use bytes::Bytes;
use clap::{Args, Subcommand, ValueEnum};
use curlewpoint_link::{handshake, LinkLimits};
use curlewpoint_rig::scale::{
    measure_part, MeasureOptions, Measurements, Part, Report, SimulationSettings, DIRECTORY_BUDGETS,
    LINK_RATES, MAX_SCHEDULERS, MIN_SCHEDULERS,
};
use curlewpoint_rig::{
    run, temporary_folder, Figures, FleetScenario, OfflineOptimum, Program, ScenarioRun, SHIPPED_SCENARIOS,
};
use curlewpoint_wire::{Frame, Kind};
use tokio::net::TcpStream;
use tokio::signal::unix::{signal, SignalKind};
use tokio_stream::StreamExt;

use super::{block_on, fail, BAD_INPUT, FAILED, SUCCESS};

/// Shows the state of a fleet, and runs fault scenarios with real processes on loopback.
#[derive(Args)]
pub struct Fleet {
    #[command(subcommand)]
    command: FleetCommand,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Prints the state of the fleet as seen by one instance.
    Status {
        /// The address on which that instance listens for peers.
        address: String,
    },
    /// Starts processes of this program with relays between them, injects faults, and prints figures and the results of
    /// the five rules.
    Play(RunFleetScenario),
    /// Lists the scenarios built into this program.
    Plays,
    /// Runs `node` processes under a seeded mix of faults and checks the traffic on the sockets of their test servers.
    Soak(super::soak::Soak),
    /// Runs many simulated schedulers in one process: the real state machines and frames over a simulated network and
    /// clock. Prints the measured value of each budget at each size.
    Scale(Scale),
}

/// The setup that a scenario is compared with, on the same seed.
#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
enum Against {
    /// The same number of schedulers, without a fleet.
    Off,
    /// The same number, which pass hints round the rings, without a copy directory.
    Rings,
    /// The same number, which share membership and the endpoint list but no information about copies.
    Mute,
    /// One scheduler that receives all the traffic.
    One,
}

#[derive(Args)]
struct RunFleetScenario {
    /// The name of a built-in scenario, or the path of a scenario file.
    #[arg(value_name = "PLAY")]
    scenario: String,
    /// The number of scheduler processes.
    #[arg(long, default_value_t = 12)]
    schedulers: usize,
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Also run the scenario with this setup, for comparison. May be repeated.
    #[arg(long, value_enum)]
    against: Vec<Against>,
    /// Enable the copy directory, with a maximum of bytes per second sent for it, for example `3KiB`.
    #[arg(long)]
    directory: Option<String>,
    /// Keep configurations and logs in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

#[derive(Args)]
struct Scale {
    /// The numbers of schedulers, from 16 to 4000, ascending; workers and functions scale with them.
    #[arg(long, default_value = "100,300,600,1000,2000,3400")]
    sizes: String,
    /// The parts to measure: steady, module, start, faults, worker.
    #[arg(long, default_value = "steady,module")]
    parts: String,
    /// The seed, a whole number. The same seed gives the same counts and bytes.
    #[arg(long, default_value = "1")]
    seed: String,
    /// The bytes per second that a link carries in one direction, from 1000 to 1000000000.
    #[arg(long, default_value = "12500000")]
    pace: String,
    /// Enable the copy directory with this budget of bytes per second for each scheduler, from 100 to 1000000. Without it,
    /// hints are passed round the rings.
    #[arg(long)]
    directory: Option<String>,
    /// Measure only counts and bytes, which takes seconds.
    #[arg(long)]
    small: bool,
    /// Write all figures to this file as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Measure in this process and print JSON. The command runs itself with this flag for each part and size, so that
    /// each measurement starts with a fresh resident size.
    #[arg(long, hide = true)]
    alone: bool,
}

impl Scale {
    fn check(&self) -> Result<ScalePlan, String> {
        let size = |text: &str| {
            let n = text.trim().parse().ok().filter(|n| (MIN_SCHEDULERS..=MAX_SCHEDULERS).contains(n));
            n.ok_or_else(|| {
                format!("--sizes: '{text}' is not a number from {MIN_SCHEDULERS} to {MAX_SCHEDULERS}")
            })
        };
        let sizes: Vec<usize> = self.sizes.split(',').map(size).collect::<Result<_, _>>()?;
        if let Some(pair) = sizes.windows(2).find(|p| p[0] >= p[1]) {
            return Err(format!("--sizes: {} follows {}, but sizes must be ascending", pair[1], pair[0]));
        }
        let names = Part::ALL.map(Part::name);
        let part = |name: &str| {
            let part = Part::ALL.into_iter().find(|p| p.name() == name.trim());
            part.ok_or_else(|| format!("--parts: '{name}' is not one of {}", names.join(", ")))
        };
        let parts = self.parts.split(',').map(part).collect::<Result<_, _>>()?;
        let seed = self.seed.parse().map_err(|_| format!("--seed: '{}' is not a whole number", self.seed))?;
        let number = |name: &str, text: &str, range: &RangeInclusive<u64>| {
            let n = text.parse().ok().filter(|n| range.contains(n));
            n.ok_or_else(|| {
                format!("--{name}: '{text}' is not a number from {} to {}", range.start(), range.end())
            })
        };
        let directory =
            self.directory.as_ref().map(|d| number("directory", d, &DIRECTORY_BUDGETS)).transpose()?;
        let simulation = SimulationSettings {
            link_rate: number("pace", &self.pace, &LINK_RATES)?,
            directory_budget: directory,
        };
        if let Some(file) = &self.json {
            // A file that cannot be written is reported now, not after an hour of measurements.
            let file_check = OpenOptions::new().create(true).append(true).open(file);
            file_check.map_err(|e| format!("--json: {}: {e}", file.display()))?;
        }
        Ok(ScalePlan { sizes, parts, seed, simulation })
    }

    fn measure_options(&self, n: usize, simulation: SimulationSettings) -> MeasureOptions {
        let options = if self.small { MeasureOptions::small() } else { MeasureOptions::of(n) };
        MeasureOptions { simulation, ..options }
    }

    /// Measures a part at a size in a separate process.
    fn measure_in_process(&self, program: &Path, part: Part, n: usize) -> Result<Measurements, String> {
        let mut command = std::process::Command::new(program);
        command.args(["fleet", "scale", "--alone", "--parts", part.name()]);
        command.args(["--sizes", &n.to_string(), "--seed", &self.seed, "--pace", &self.pace]);
        command.args(self.directory.iter().flat_map(|d| ["--directory", d]));
        command.args(self.small.then_some("--small")).stderr(Stdio::inherit());
        let out = command.output().map_err(|e| format!("cannot start the process: {e}"))?;
        if !out.status.success() {
            return Err(format!("the process ended with {}", out.status));
        }
        let measurements = serde_json::from_slice(&out.stdout).ok().and_then(|v| Measurements::of_json(&v));
        measurements.ok_or_else(|| "cannot parse the output of the process".to_owned())
    }

    fn measure_all(&self, ScalePlan { sizes, parts, seed, .. }: &ScalePlan) -> Result<Report, String> {
        let program = std::env::current_exe().map_err(|e| format!("cannot locate this executable: {e}"))?;
        let mut report = Report { seed: *seed, outcomes: Vec::new() };
        for n in sizes {
            let mut all = Measurements::new(*n);
            for part in parts {
                let started_at = Instant::now();
                let measurements = self.measure_in_process(&program, *part, *n);
                all.merge(measurements.map_err(|e| format!("{} at {n}: {e}", part.name()))?);
                eprintln!("{} at {n}: {:.0} s", part.name(), started_at.elapsed().as_secs_f64());
            }
            report.outcomes.push(all);
        }
        Ok(report)
    }

    fn run(&self) -> u8 {
        let plan = match self.check() {
            Ok(plan) => plan,
            Err(reason) => return fail(BAD_INPUT, &reason),
        };
        if self.alone {
            for n in plan.sizes {
                let mut all = Measurements::new(n);
                plan.parts.iter().for_each(|p| {
                    all.merge(measure_part(*p, plan.seed, n, &self.measure_options(n, plan.simulation)))
                });
                println!("{}", all.to_json());
            }
            return SUCCESS;
        }
        let report = match self.measure_all(&plan) {
            Ok(report) => report,
            Err(reason) => return fail(FAILED, &reason),
        };
        print!("{}\n{}", report.draw(), report.table().draw());
        let Some(file) = &self.json else { return SUCCESS };
        match std::fs::write(file, format!("{:#}\n", report.to_json())) {
            Ok(()) => SUCCESS,
            Err(e) => fail(FAILED, &format!("--json: {}: {e}", file.display())),
        }
    }
}

/// The validated arguments of a scale run.
struct ScalePlan {
    sizes: Vec<usize>,
    parts: Vec<Part>,
    seed: u64,
    simulation: SimulationSettings,
}

/// Requests the status text of the instance that listens for peers at this address.
async fn status(address: &str) -> Result<Bytes, String> {
    let stream = TcpStream::connect(address).await.map_err(|e| format!("{address}: {e}"))?;
    let mut link =
        handshake(stream, "status", LinkLimits::default()).await.map_err(|e| format!("{address}: {e}"))?;
    let _ = link.outbox.send(Frame::new(Kind::STATUS_REQUEST), None);
    loop {
        match link.reader.next().await {
            Some(Ok(f)) if f.kind == Kind::STATUS_REPLY => return Ok(f.body),
            Some(Ok(_)) => {}
            Some(Err(e)) => return Err(format!("{address}: {e}")),
            None => {
                return Err(format!(
                    "{address} closed the connection without a reply: not an instance of a fleet"
                ))
            }
        }
    }
}

/// Completes on SIGINT or SIGTERM.
async fn interrupted() {
    if let (Ok(mut int), Ok(mut term)) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate())) {
        tokio::select! {
            _ = int.recv() => {}
            _ = term.recv() => {}
        }
    }
}

impl RunFleetScenario {
    fn load(&self) -> Result<FleetScenario, String> {
        if let Some((name, text)) = SHIPPED_SCENARIOS.iter().find(|p| p.0 == self.scenario) {
            return FleetScenario::parse(name, text).map_err(|f| f.to_string());
        }
        let text = std::fs::read_to_string(&self.scenario).map_err(|e| format!("{}: {e}", self.scenario))?;
        FleetScenario::parse(&self.scenario, &text).map_err(|f| format!("nothing was started\n{f}"))
    }

    /// The command line that repeats this run.
    fn rerun_command(&self) -> String {
        let against: Vec<String> =
            self.against.iter().map(|a| format!(" --against {a:?}").to_lowercase()).collect();
        let (scenario, n, seed) = (&self.scenario, self.schedulers, self.seed);
        let directory = self.directory.iter().map(|d| format!(" --directory {d}")).collect::<String>();
        format!(
            "curlewpoint fleet play {scenario} --schedulers {n} --seed {seed}{directory}{}",
            against.concat()
        )
    }

    async fn run(&self, program: Program, scenario: FleetScenario) -> u8 {
        let root = self.keep.clone().unwrap_or_else(|| temporary_folder("play"));
        let kinds = std::iter::once(None).chain(self.against.iter().copied().map(Some));
        let (mut columns, mut passed) = (Vec::new(), true);
        for kind in kinds {
            let (name, schedulers) = match kind {
                None => ("on", self.schedulers),
                Some(Against::Off) => ("off", self.schedulers),
                Some(Against::Rings) => ("rings", self.schedulers),
                Some(Against::Mute) => ("mute", self.schedulers),
                Some(Against::One) => ("one", 1),
            };
            let scenario_run = ScenarioRun {
                program: program.clone(),
                scenario: scenario.clone(),
                schedulers,
                seed: self.seed,
                peers: matches!(kind, None | Some(Against::Mute | Against::Rings)),
                hints: matches!(kind, None | Some(Against::Rings)),
                directory: self.directory.clone().filter(|_| kind.is_none()),
                folder: root.join(name),
            };
            let outcome = match run(scenario_run).await {
                Ok(outcome) => outcome,
                Err(e) => return fail(FAILED, &format!("{name}: the scenario could not be run: {e}")),
            };
            println!("{name}: {schedulers} schedulers");
            print!("{}", outcome.verdict);
            outcome.missed.iter().for_each(|m| println!("  missed: {m}"));
            // The expectations apply to the full setup only; the rules apply to all.
            passed &= outcome.verdict.passed() && (kind.is_some() || outcome.missed.is_empty());
            columns.push((name.to_owned(), outcome.figures));
        }
        print!("\n{}", Figures::draw(&columns));
        let bound = OfflineOptimum::of(&scenario.script);
        let steady = bound.steady.map_or("never".to_owned(), |t| format!("from {:.0} ms", t.ms()));
        println!(
            "offline optimum (store and workers only, demand known in advance): 95 of 100 ok {steady}, after {} loads; {:.0} RPCs before that find no free copy",
            bound.loads, bound.unmet
        );
        if self.keep.is_none() {
            let _ = std::fs::remove_dir_all(&root);
        }
        if passed {
            println!("all five rules kept, all expectations met");
            SUCCESS
        } else {
            fail(
                FAILED,
                &format!(
                    "a rule was broken or an expectation missed; to run it again:\n  {}",
                    self.rerun_command()
                ),
            )
        }
    }
}

impl Fleet {
    pub fn run(self) -> u8 {
        match self.command {
            FleetCommand::Status { address } => block_on(async {
                match status(&address).await {
                    Ok(text) => {
                        print!("{}", String::from_utf8_lossy(&text));
                        SUCCESS
                    }
                    Err(reason) => fail(FAILED, &reason),
                }
            }),
            FleetCommand::Soak(command) => command.run(),
            FleetCommand::Plays => {
                for (name, text) in SHIPPED_SCENARIOS {
                    let about: Vec<&str> =
                        text.lines().map_while(|l| l.strip_prefix('#')).map(str::trim).collect();
                    println!("{name:10}{}", about.join(" "));
                }
                SUCCESS
            }
            FleetCommand::Scale(command) => command.run(),
            FleetCommand::Play(command) => {
                let program = match std::env::current_exe() {
                    Ok(path) => Program(path),
                    Err(e) => return fail(FAILED, &format!("cannot locate this executable: {e}")),
                };
                match command.load() {
                    Ok(scenario) => block_on(async {
                        tokio::select! {
                            code = command.run(program, scenario) => code,
                            () = interrupted() => fail(FAILED, "interrupted: all started processes have been stopped"),
                        }
                    }),
                    Err(reason) => fail(BAD_INPUT, &reason),
                }
            }
        }
    }
}
