use std::path::PathBuf;

use clap::Args;
use curlewpoint_gateway::ReloadHandle;
use tokio::signal::unix::{signal, SignalKind};

use tracing::warn;

use super::{block_on, fail, AT_FAULT, DONE, FAILED};

/// Runs a scheduler until it is told to stop.
///
/// SIGTERM or SIGINT: nothing more is taken, what is open is answered, then exit 0. A second one ends it at once: what
/// is open is aborted, exit 1. SIGHUP: the methods of the file as it is now come into force; where the file is at fault,
/// or anything but methods has changed in it, those in force stay and one log line says why.
#[derive(Args)]
pub struct Serve {
    /// The configuration file.
    config: PathBuf,
}

async fn reload(path: PathBuf, reloader: ReloadHandle) {
    match curlewpoint_config::load(&path) {
        // Its log lines say what became of it.
        Ok(config) => drop(reloader.reload(config).await),
        Err(faults) => {
            let what = faults.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
            warn!("reload refused, the methods in force stay: {what}");
        }
    }
}

impl Serve {
    pub fn run(self) -> u8 {
        let config = match super::check::load(&self.config) {
            Ok((config, _)) => config,
            Err(faults) => return fail(AT_FAULT, &format!("nothing was started\n{faults}")),
        };
        crate::logging::start(config.text("log-level"), config.text("log-format") == "json");
        block_on(async {
            let [term, int, hup] =
                [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
            let (Ok(mut term), Ok(mut int), Ok(mut hup)) = (term, int, hup) else {
                return fail(FAILED, "signals cannot be watched");
            };
            let running = match curlewpoint_gateway::start(&config).await {
                Ok(running) => running,
                Err(why) => return fail(FAILED, &why.to_string()),
            };
            println!("serving on {}", running.address);
            let (stop, reloader) = (running.stop_handle(), running.reload_handle());
            let end = tokio::spawn(running.wait());
            tokio::pin!(end);
            loop {
                tokio::select! {
                    _ = term.recv() => stop.stop().await,
                    _ = int.recv() => stop.stop().await,
                    _ = hup.recv() => reload(self.config.clone(), reloader.clone()).await,
                    f = &mut end => {
                        let Ok(f) = f else { return fail(FAILED, "the scheduler's task died") };
                        println!(
                            "stopped: taken {} ok {} denied {} aborted {} left {} refused {}",
                            f.taken, f.ok, f.denied, f.aborted, f.left, f.refused
                        );
                        return if f.cut_off == 0 { DONE } else { FAILED };
                    }
                }
            }
        })
    }
}
