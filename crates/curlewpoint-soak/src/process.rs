//! A process of `node`.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// The program, and the library that fails its system calls.
#[derive(Clone, Debug)]
pub struct Program {
    pub node: PathBuf,
    pub faults: Option<PathBuf>,
}

pub(crate) struct Process(Child);

/// One that has not said by then where it serves has not started.
const STARTED: Duration = Duration::from_secs(20);

impl Program {
    pub(crate) async fn start(
        &self, told: &Path, log: &Path, system_calls: &str,
    ) -> std::io::Result<(Process, SocketAddr)> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.node);
        command.arg("node").arg(told).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        if let (false, Some(library)) = (system_calls.is_empty(), &self.faults) {
            command.env("LD_PRELOAD", library).env("CURLEWPOINT_FAULTS", system_calls);
        }
        let mut child = command.kill_on_drop(true).spawn()?;
        let out = child.stdout.take().ok_or(std::io::Error::other("no standard output"))?;
        let first = timeout(STARTED, BufReader::new(out).lines().next_line()).await??;
        let address = first.as_deref().and_then(|line| line.rsplit(' ').next()?.parse().ok());
        let address = address.ok_or_else(|| std::io::Error::other(format!("it did not start: {first:?}")))?;
        Ok((Process(child), address))
    }
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.0.id().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for its end; none: it still runs. Its exit code, where it ended by itself.
    pub async fn ends(&mut self, at_most: Duration) -> Option<Option<i32>> {
        timeout(at_most, self.0.wait()).await.ok()?.ok().map(|status| status.code())
    }
}
