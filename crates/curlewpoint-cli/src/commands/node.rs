use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use curlewpoint_node::SchedulerHandle;
use curlewpoint_platform::startup;
use tokio::signal::unix::{signal, SignalKind};
use tracing::{debug, warn};

use super::{fail, BAD_INPUT, FAILED, SUCCESS};

/// Runs a scheduler as the platform starts it, until it receives a stop signal.
///
/// SIGTERM or SIGINT: the scheduler keeps serving requests that still arrive and exits with 0 once none is open and
/// none can arrive any more, or just before the platform would kill it. SIGHUP: the discovery address is read again
/// from the file. SIGUSR1: the counters are logged.
#[derive(Args)]
pub struct Node {
    /// The startup configuration from the platform, as JSON.
    #[arg(env = "ROUTER_CONFIG", value_name = "TOLD")]
    startup_config: PathBuf,
    /// The lowest level of log lines: error, warn, info, debug or trace.
    #[arg(long, default_value = "info")]
    log_level: String,
}

fn read_startup_config(path: &Path) -> Result<startup::StartupConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    startup::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

// The file may be half written when SIGHUP arrives, so a failed read is retried.
const MAX_READ_RETRIES: u32 = 20;
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads the discovery address from the startup configuration, retrying while the file cannot be parsed.
async fn read_discovery_address(path: &Path) -> Result<SocketAddr, String> {
    let mut retries = 0;
    loop {
        match read_startup_config(path) {
            Err(reason) if retries < MAX_READ_RETRIES => {
                retries += 1;
                debug!("cannot read the startup configuration yet, retrying: {reason}");
            }
            config => return config.map(|config| config.resolver),
        }
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
}

impl Node {
    pub fn run(self) -> u8 {
        // The process has one core: more threads would only wake each other.
        match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime.block_on(self.serve()),
            Err(e) => fail(FAILED, &format!("cannot start the async runtime: {e}")),
        }
    }

    async fn serve(self) -> u8 {
        // Installed before anything else: a signal during startup is handled, not lost, and does not kill the process.
        let signals = [
            SignalKind::terminate(),
            SignalKind::interrupt(),
            SignalKind::hangup(),
            SignalKind::user_defined1(),
        ];
        let [Ok(mut term), Ok(mut int), Ok(mut hup), Ok(mut usr1)] = signals.map(signal) else {
            return fail(FAILED, "cannot install signal handlers");
        };
        let startup_config = match read_startup_config(&self.startup_config) {
            Ok(config) => config,
            Err(reason) => return fail(BAD_INPUT, &format!("nothing was started: {reason}")),
        };
        crate::logging::start(&self.log_level, false);
        let SchedulerHandle { address, control, resolver: discovery_addresses, stopped } =
            match curlewpoint_node::start(startup_config).await {
                Ok(handle) => handle,
                Err(error) => return fail(FAILED, &error.to_string()),
            };
        println!("serving on {address}");
        let stop = || {
            tokio::spawn({
                let control = control.clone();
                async move { control.stop().await }
            })
        };
        // Only the latest SIGHUP's read is kept. Stopping and exiting do not wait for it.
        let (mut is_reading, reading) = (false, read_discovery_address(&self.startup_config));
        tokio::pin!(stopped, reading);
        loop {
            tokio::select! {
                biased;
                _ = term.recv() => drop(stop()),
                _ = int.recv() => drop(stop()),
                _ = usr1.recv() => control.log_counters().await,
                _ = hup.recv() => {
                    is_reading = true;
                    reading.set(read_discovery_address(&self.startup_config));
                }
                address = &mut reading, if is_reading => {
                    is_reading = false;
                    match address {
                        Ok(address) => drop(discovery_addresses.send(address)),
                        Err(reason) => warn!("keeping the current discovery address: {reason}"),
                    }
                }
                result = &mut stopped => return if result.is_ok() { SUCCESS } else { FAILED },
            }
        }
    }
}
