use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use curlewpoint_node::SchedulerHandle;
use curlewpoint_platform::startup;
use tokio::signal::unix::{signal, SignalKind};
use tracing::{debug, warn};

use super::{fail, AT_FAULT, DONE, FAILED};

/// Runs a scheduler as the platform starts it, until it is told to stop.
///
/// SIGTERM or SIGINT: it goes on serving what still comes, and exits with 0 once nothing is open and nothing more can
/// come, or just before the platform would kill it. SIGHUP: the directory's address is read anew from the file. SIGUSR1: its
/// figures are logged.
#[derive(Args)]
pub struct Node {
    /// What the platform tells it at the start, as JSON.
    #[arg(env = "ROUTER_CONFIG")]
    told: PathBuf,
    #[arg(long, default_value = "info")]
    log_level: String,
}

fn read(path: &Path) -> Result<startup::StartupConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    startup::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// A file that cannot be read at a SIGHUP may be half written: so often, and after so long, it is read again.
const AGAIN: (u32, Duration) = (20, Duration::from_millis(100));

/// The directory's address by the file as it is, or as it is a little later.
async fn resolver(path: &Path) -> Result<SocketAddr, String> {
    let mut tried = 0;
    loop {
        match read(path) {
            Err(why) if tried < AGAIN.0 => {
                tried += 1;
                debug!("read again in a moment: {why}");
            }
            told => return told.map(|told| told.resolver),
        }
        tokio::time::sleep(AGAIN.1).await;
    }
}

impl Node {
    pub fn run(self) -> u8 {
        // One core: more threads would only wake each other.
        match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime.block_on(self.serve()),
            Err(e) => fail(FAILED, &format!("no runtime: {e}")),
        }
    }

    async fn serve(self) -> u8 {
        // Before anything else: a signal that comes before the start is over is not lost, and ends nothing unasked.
        let kinds = [
            SignalKind::terminate(),
            SignalKind::interrupt(),
            SignalKind::hangup(),
            SignalKind::user_defined1(),
        ];
        let [Ok(mut term), Ok(mut int), Ok(mut hup), Ok(mut usr1)] = kinds.map(signal) else {
            return fail(FAILED, "signals cannot be watched");
        };
        let told = match read(&self.told) {
            Ok(told) => told,
            Err(why) => return fail(AT_FAULT, &format!("nothing was started: {why}")),
        };
        crate::logging::start(&self.log_level, false);
        let SchedulerHandle { address, control, resolver: moves, stopped } =
            match curlewpoint_node::start(told).await {
                Ok(running) => running,
                Err(why) => return fail(FAILED, &why.to_string()),
            };
        println!("serving on {address}");
        let stop = || {
            tokio::spawn({
                let control = control.clone();
                async move { control.stop().await }
            })
        };
        // The file is read for the newest SIGHUP alone; a stop and an end wait for nothing.
        let (mut moving, reading) = (false, resolver(&self.told));
        tokio::pin!(stopped, reading);
        loop {
            tokio::select! {
                biased;
                _ = term.recv() => drop(stop()),
                _ = int.recv() => drop(stop()),
                _ = usr1.recv() => control.log_counters().await,
                _ = hup.recv() => {
                    moving = true;
                    reading.set(resolver(&self.told));
                }
                told = &mut reading, if moving => {
                    moving = false;
                    match told {
                        Ok(told) => drop(moves.send(told)),
                        Err(why) => warn!("the directory's address stays as it is: {why}"),
                    }
                }
                ended = &mut stopped => return if ended.is_ok() { DONE } else { FAILED },
            }
        }
    }
}
