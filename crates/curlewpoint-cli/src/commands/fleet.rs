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

use super::{block_on, fail, AT_FAULT, DONE, FAILED};

/// Many instances: how a fleet stands, and plays of failures between real processes on loopback.
#[derive(Args)]
pub struct Fleet {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Prints how the fleet stands as seen by one instance.
    Status {
        /// Where that instance listens for peers.
        address: String,
    },
    /// Starts processes of this program with relays between them, plays faults, and prints figures and the five rules.
    Play(PlayFleet),
    /// Names the plays that this program ships.
    Plays,
    /// Processes of `node` under a seeded mix of faults, judged by what passed on the sockets of their stand-ins.
    Soak(super::soak::Soak),
    /// Hollow schedulers, many in this process: the real state machines and frames over a made-up network and time;
    /// prints what each budget of the plan meets at each size.
    Scale(Scale),
}

/// What a play is held against, on the same seed.
#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
enum Against {
    /// As many schedulers that know nothing of each other.
    Off,
    /// As many that tell hints round the rings, without a directory.
    Rings,
    /// As many that know who lives and share the list, and tell each other nothing of functions at workers.
    Mute,
    /// One scheduler that takes all the traffic.
    One,
}

#[derive(Args)]
struct PlayFleet {
    /// A play that this program ships, or a file.
    play: String,
    #[arg(long, default_value_t = 12)]
    schedulers: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Play it with this too; may be given again.
    #[arg(long, value_enum)]
    against: Vec<Against>,
    /// Let the schedulers keep a directory of copies, and send so many bytes a second for it at most, as `3KiB`.
    #[arg(long)]
    directory: Option<String>,
    /// Keep configurations and logs in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

#[derive(Args)]
struct Scale {
    /// Schedulers, with workers and functions in step; from 16 to 4000 each, rising.
    #[arg(long, default_value = "100,300,600,1000,2000,3400")]
    sizes: String,
    /// Parts to play: steady, module, start, faults, worker.
    #[arg(long, default_value = "steady,module")]
    parts: String,
    /// A whole number; the same gives the same counts and bytes again.
    #[arg(long, default_value = "1")]
    seed: String,
    /// Bytes that one link carries in a second, one way; from 1000 to 1000000000.
    #[arg(long, default_value = "12500000")]
    pace: String,
    /// Keep a directory of copies, with so many bytes a second for each; from 100 to 1000000. Without it hints go round.
    #[arg(long)]
    directory: Option<String>,
    /// Counts and bytes alone, in seconds.
    #[arg(long)]
    small: bool,
    /// Write all figures to this file, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// One part at one size in this process, as JSON: what the others are started with, that the resident size of each
    /// begins anew.
    #[arg(long, hide = true)]
    alone: bool,
}

impl Scale {
    fn check(&self) -> Result<Plays, String> {
        let size = |text: &str| {
            let n = text.trim().parse().ok().filter(|n| (MIN_SCHEDULERS..=MAX_SCHEDULERS).contains(n));
            n.ok_or_else(|| {
                format!("--sizes: '{text}' is no number from {MIN_SCHEDULERS} to {MAX_SCHEDULERS}")
            })
        };
        let sizes: Vec<usize> = self.sizes.split(',').map(size).collect::<Result<_, _>>()?;
        if let Some(pair) = sizes.windows(2).find(|p| p[0] >= p[1]) {
            return Err(format!("--sizes: {} stands behind {}, and sizes rise", pair[1], pair[0]));
        }
        let names = Part::ALL.map(Part::name);
        let part = |name: &str| {
            let part = Part::ALL.into_iter().find(|p| p.name() == name.trim());
            part.ok_or_else(|| format!("--parts: '{name}' is none of {}", names.join(", ")))
        };
        let parts = self.parts.split(',').map(part).collect::<Result<_, _>>()?;
        let seed = self.seed.parse().map_err(|_| format!("--seed: '{}' is no whole number", self.seed))?;
        let number = |name: &str, text: &str, range: &RangeInclusive<u64>| {
            let n = text.parse().ok().filter(|n| range.contains(n));
            n.ok_or_else(|| {
                format!("--{name}: '{text}' is no number from {} to {}", range.start(), range.end())
            })
        };
        let directory =
            self.directory.as_ref().map(|d| number("directory", d, &DIRECTORY_BUDGETS)).transpose()?;
        let terms = SimulationSettings {
            link_rate: number("pace", &self.pace, &LINK_RATES)?,
            directory_budget: directory,
        };
        if let Some(file) = &self.json {
            // One that cannot be written is told before an hour is played.
            let opened = OpenOptions::new().create(true).append(true).open(file);
            opened.map_err(|e| format!("--json: {}: {e}", file.display()))?;
        }
        Ok(Plays { sizes, parts, seed, terms })
    }

    fn effort(&self, n: usize, terms: SimulationSettings) -> MeasureOptions {
        let effort = if self.small { MeasureOptions::small() } else { MeasureOptions::of(n) };
        MeasureOptions { simulation: terms, ..effort }
    }

    /// Plays a part at a size, in a process of its own.
    fn apart(&self, program: &Path, part: Part, n: usize) -> Result<Measurements, String> {
        let mut command = std::process::Command::new(program);
        command.args(["fleet", "scale", "--alone", "--parts", part.name()]);
        command.args(["--sizes", &n.to_string(), "--seed", &self.seed, "--pace", &self.pace]);
        command.args(self.directory.iter().flat_map(|d| ["--directory", d]));
        command.args(self.small.then_some("--small")).stderr(Stdio::inherit());
        let out = command.output().map_err(|e| format!("it could not be started: {e}"))?;
        if !out.status.success() {
            return Err(format!("it ended with {}", out.status));
        }
        let told = serde_json::from_slice(&out.stdout).ok().and_then(|v| Measurements::of_json(&v));
        told.ok_or_else(|| "what it told cannot be read".to_owned())
    }

    fn play(&self, Plays { sizes, parts, seed, .. }: &Plays) -> Result<Report, String> {
        let program = std::env::current_exe().map_err(|e| format!("this program is not found: {e}"))?;
        let mut report = Report { seed: *seed, outcomes: Vec::new() };
        for n in sizes {
            let mut all = Measurements::new(*n);
            for part in parts {
                let began = Instant::now();
                let told = self.apart(&program, *part, *n);
                all.merge(told.map_err(|e| format!("{} at {n}: {e}", part.name()))?);
                eprintln!("{} at {n}: {:.0} s", part.name(), began.elapsed().as_secs_f64());
            }
            report.outcomes.push(all);
        }
        Ok(report)
    }

    fn run(&self) -> u8 {
        let plays = match self.check() {
            Ok(plays) => plays,
            Err(why) => return fail(AT_FAULT, &why),
        };
        if self.alone {
            for n in plays.sizes {
                let mut all = Measurements::new(n);
                plays
                    .parts
                    .iter()
                    .for_each(|p| all.merge(measure_part(*p, plays.seed, n, &self.effort(n, plays.terms))));
                println!("{}", all.to_json());
            }
            return DONE;
        }
        let report = match self.play(&plays) {
            Ok(report) => report,
            Err(why) => return fail(FAILED, &why),
        };
        print!("{}\n{}", report.draw(), report.table().draw());
        let Some(file) = &self.json else { return DONE };
        match std::fs::write(file, format!("{:#}\n", report.to_json())) {
            Ok(()) => DONE,
            Err(e) => fail(FAILED, &format!("--json: {}: {e}", file.display())),
        }
    }
}

/// What is to be played, checked.
struct Plays {
    sizes: Vec<usize>,
    parts: Vec<Part>,
    seed: u64,
    terms: SimulationSettings,
}

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
            None => return Err(format!("{address} is no instance of a fleet: it said nothing")),
        }
    }
}

async fn interrupted() {
    if let (Ok(mut int), Ok(mut term)) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate())) {
        tokio::select! {
            _ = int.recv() => {}
            _ = term.recv() => {}
        }
    }
}

impl PlayFleet {
    fn load(&self) -> Result<FleetScenario, String> {
        if let Some((name, text)) = SHIPPED_SCENARIOS.iter().find(|p| p.0 == self.play) {
            return FleetScenario::parse(name, text).map_err(|f| f.to_string());
        }
        let text = std::fs::read_to_string(&self.play).map_err(|e| format!("{}: {e}", self.play))?;
        FleetScenario::parse(&self.play, &text).map_err(|f| format!("nothing was started\n{f}"))
    }

    fn again(&self) -> String {
        let against: Vec<String> =
            self.against.iter().map(|a| format!(" --against {a:?}").to_lowercase()).collect();
        let (play, n, seed) = (&self.play, self.schedulers, self.seed);
        let directory = self.directory.iter().map(|d| format!(" --directory {d}")).collect::<String>();
        format!("curlewpoint fleet play {play} --schedulers {n} --seed {seed}{directory}{}", against.concat())
    }

    async fn play(&self, program: Program, play: FleetScenario) -> u8 {
        let root = self.keep.clone().unwrap_or_else(|| temporary_folder("play"));
        let kinds = std::iter::once(None).chain(self.against.iter().copied().map(Some));
        let (mut columns, mut good) = (Vec::new(), true);
        for kind in kinds {
            let (name, schedulers) = match kind {
                None => ("on", self.schedulers),
                Some(Against::Off) => ("off", self.schedulers),
                Some(Against::Rings) => ("rings", self.schedulers),
                Some(Against::Mute) => ("mute", self.schedulers),
                Some(Against::One) => ("one", 1),
            };
            let plan = ScenarioRun {
                program: program.clone(),
                scenario: play.clone(),
                schedulers,
                seed: self.seed,
                peers: matches!(kind, None | Some(Against::Mute | Against::Rings)),
                hints: matches!(kind, None | Some(Against::Rings)),
                directory: self.directory.clone().filter(|_| kind.is_none()),
                folder: root.join(name),
            };
            let outcome = match run(plan).await {
                Ok(outcome) => outcome,
                Err(e) => return fail(FAILED, &format!("{name}: it could not be played: {e}")),
            };
            println!("{name}: {schedulers} schedulers");
            print!("{}", outcome.verdict);
            outcome.missed.iter().for_each(|m| println!("  missed: {m}"));
            // Only the parts that are on have to keep what is expected; the rules hold for all.
            good &= outcome.verdict.passed() && (kind.is_some() || outcome.missed.is_empty());
            columns.push((name.to_owned(), outcome.figures));
        }
        print!("\n{}", Figures::draw(&columns));
        let bound = OfflineOptimum::of(&play.script);
        let steady = bound.steady.map_or("never".to_owned(), |t| format!("from {:.0} ms", t.ms()));
        println!(
            "store and workers alone, all known ahead: 95 in 100 ok {steady}, after {} loads; {:.0} come before and find no copy free",
            bound.loads, bound.unmet
        );
        if self.keep.is_none() {
            let _ = std::fs::remove_dir_all(&root);
        }
        if good {
            println!("all five rules kept, and all that was expected came");
            DONE
        } else {
            fail(
                FAILED,
                &format!("a rule was broken, or something missed; to play it again:\n  {}", self.again()),
            )
        }
    }
}

impl Fleet {
    pub fn run(self) -> u8 {
        match self.what {
            What::Status { address } => block_on(async {
                match status(&address).await {
                    Ok(text) => {
                        print!("{}", String::from_utf8_lossy(&text));
                        DONE
                    }
                    Err(why) => fail(FAILED, &why),
                }
            }),
            What::Soak(what) => what.run(),
            What::Plays => {
                for (name, text) in SHIPPED_SCENARIOS {
                    let about: Vec<&str> =
                        text.lines().map_while(|l| l.strip_prefix('#')).map(str::trim).collect();
                    println!("{name:10}{}", about.join(" "));
                }
                DONE
            }
            What::Scale(what) => what.run(),
            What::Play(what) => {
                let program = match std::env::current_exe() {
                    Ok(path) => Program(path),
                    Err(e) => return fail(FAILED, &format!("this program is not found: {e}")),
                };
                match what.load() {
                    Ok(play) => block_on(async {
                        tokio::select! {
                            code = what.play(program, play) => code,
                            () = interrupted() => fail(FAILED, "interrupted: what was started has been ended"),
                        }
                    }),
                    Err(why) => fail(AT_FAULT, &why),
                }
            }
        }
    }
}
