//! Starts, signals and awaits a `node` process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// The program, and the library that makes its system calls fail.
#[derive(Clone, Debug)]
pub struct Program {
    pub node: PathBuf,
    pub faults: Option<PathBuf>,
}

pub(crate) struct Process(Child);

/// Time within which a process must print its address.
const START_TIMEOUT: Duration = Duration::from_secs(20);

impl Program {
    pub(crate) async fn start(
        &self, startup_config: &Path, log: &Path, system_calls: &str,
    ) -> std::io::Result<(Process, SocketAddr)> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.node);
        command.arg("node").arg(startup_config).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        if let (false, Some(library)) = (system_calls.is_empty(), &self.faults) {
            command.env("LD_PRELOAD", library).env("CURLEWPOINT_FAULTS", system_calls);
        }
        let mut child = command.kill_on_drop(true).spawn()?;
        let out = child.stdout.take().ok_or(std::io::Error::other("no standard output"))?;
        let first = timeout(START_TIMEOUT, BufReader::new(out).lines().next_line()).await??;
        let address = first.as_deref().and_then(|line| line.rsplit(' ').next()?.parse().ok());
        let address =
            address.ok_or_else(|| std::io::Error::other(format!("the process did not start: {first:?}")))?;
        Ok((Process(child), address))
    }
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.0.id().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for the end of the process. Returns None if it still runs, otherwise its exit code unless a signal ended it.
    pub async fn wait(&mut self, max_wait: Duration) -> Option<Option<i32>> {
        timeout(max_wait, self.0.wait()).await.ok()?.ok().map(|status| status.code())
    }
}
