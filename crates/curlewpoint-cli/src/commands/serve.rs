use std::path::PathBuf;

use clap::Args;
use curlewpoint_gateway::ReloadHandle;
use tokio::signal::unix::{signal, SignalKind};

use tracing::warn;

use super::{block_on, fail, BAD_INPUT, FAILED, SUCCESS};

/// Runs a scheduler until it receives a stop signal.
///
/// SIGTERM or SIGINT: no further RPC is accepted, open ones are answered, then exit 0. A second signal aborts open RPCs
/// and exits at once with 1. SIGHUP: the methods are reloaded from the file. If the file is invalid, or anything but
/// methods has changed in it, the active methods stay and a log line gives the reason.
#[derive(Args)]
pub struct Serve {
    /// The configuration file.
    config: PathBuf,
}

async fn reload(path: PathBuf, reloader: ReloadHandle) {
    match curlewpoint_config::load(&path) {
        // The gateway logs the result.
        Ok(config) => drop(reloader.reload(config).await),
        Err(errors) => {
            let message = errors.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
            warn!("reload refused, the methods in force stay: {message}");
        }
    }
}

impl Serve {
    pub fn run(self) -> u8 {
        let config = match super::check::load(&self.config) {
            Ok((config, _)) => config,
            Err(errors) => return fail(BAD_INPUT, &format!("nothing was started\n{errors}")),
        };
        crate::logging::start(config.text("log-level"), config.text("log-format") == "json");
        block_on(async {
            let [term, int, hup] =
                [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
            let (Ok(mut term), Ok(mut int), Ok(mut hup)) = (term, int, hup) else {
                return fail(FAILED, "cannot install signal handlers");
            };
            let handle = match curlewpoint_gateway::start(&config).await {
                Ok(handle) => handle,
                Err(error) => return fail(FAILED, &error.to_string()),
            };
            println!("serving on {}", handle.address);
            let (stop, reloader) = (handle.stop_handle(), handle.reload_handle());
            let end = tokio::spawn(handle.wait());
            tokio::pin!(end);
            loop {
                tokio::select! {
                    _ = term.recv() => stop.stop().await,
                    _ = int.recv() => stop.stop().await,
                    _ = hup.recv() => reload(self.config.clone(), reloader.clone()).await,
                    counters = &mut end => {
                        let Ok(f) = counters else { return fail(FAILED, "the scheduler task panicked") };
                        println!(
                            "stopped: taken {} ok {} denied {} aborted {} left {} refused {}",
                            f.taken, f.ok, f.denied, f.aborted, f.left, f.refused
                        );
                        return if f.cut_off == 0 { SUCCESS } else { FAILED };
                    }
                }
            }
        })
    }
}
