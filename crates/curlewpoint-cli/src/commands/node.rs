use std::path::{Path, PathBuf};

use clap::Args;
use curlewpoint_node::Running;
use curlewpoint_platform::told;
use tokio::signal::unix::{signal, SignalKind};
use tracing::warn;

use super::{fail, AT_FAULT, DONE, FAILED};

/// Runs a scheduler as the platform starts it, until it is told to stop.
///
/// SIGTERM or SIGINT: it goes on serving what still comes, and exits with 0 once nothing is open and nothing more can
/// come, or just before the platform would kill it. SIGHUP: the directory's address is read anew from the file.
#[derive(Args)]
pub struct Node {
    /// What the platform tells it at the start, as JSON.
    #[arg(env = "ROUTER_CONFIG")]
    told: PathBuf,
    #[arg(long, default_value = "info")]
    log_level: String,
}

fn read(path: &Path) -> Result<told::Told, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    told::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

impl Node {
    pub fn run(self) -> u8 {
        let told = match read(&self.told) {
            Ok(told) => told,
            Err(why) => return fail(AT_FAULT, &format!("nothing was started: {why}")),
        };
        crate::logging::start(&self.log_level, false);
        // One core: more threads would only wake each other.
        match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime.block_on(self.serve(told)),
            Err(e) => fail(FAILED, &format!("no runtime: {e}")),
        }
    }

    async fn serve(self, told: told::Told) -> u8 {
        let [term, int, hup] =
            [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
        let (Ok(mut term), Ok(mut int), Ok(mut hup)) = (term, int, hup) else {
            return fail(FAILED, "signals cannot be watched");
        };
        let Running { address, notes, resolver, end } = match curlewpoint_node::start(told).await {
            Ok(running) => running,
            Err(why) => return fail(FAILED, &why.to_string()),
        };
        println!("serving on {address}");
        tokio::pin!(end);
        loop {
            tokio::select! {
                _ = term.recv() => notes.stop().await,
                _ = int.recv() => notes.stop().await,
                _ = hup.recv() => match read(&self.told) {
                    Ok(told) => drop(resolver.send(told.resolver)),
                    Err(why) => warn!("the directory's address stays as it is: {why}"),
                },
                ended = &mut end => return if ended.is_ok() { DONE } else { FAILED },
            }
        }
    }
}
