use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

/// The program that is started again and again.
#[derive(Clone, Debug)]
pub struct Program(pub PathBuf);

/// A process of the program that this rig has started; it ends with this value, whatever becomes of the rig's run.
pub struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    pub address: SocketAddr,
}

/// A process that has not said by then where it serves has not started.
const STARTED: Duration = Duration::from_secs(30);

impl Program {
    /// Starts `serve` with this configuration; its log is added to a file.
    pub async fn serve(&self, config: &Path, log: &Path) -> std::io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut child = Command::new(&self.0)
            .arg("serve")
            .arg(config)
            // Hundreds share a few cores: more threads would only wake each other.
            .env("TOKIO_WORKER_THREADS", "1")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().ok_or(std::io::Error::other("no standard output"))?;
        let mut lines = BufReader::new(out).lines();
        let first = timeout(STARTED, lines.next_line()).await.map_err(std::io::Error::other)??;
        let address = first.as_deref().and_then(|l| l.rsplit(' ').next()).and_then(|a| a.parse().ok());
        let address = address.ok_or_else(|| std::io::Error::other(format!("it did not start: {first:?}")))?;
        Ok(Process { child, lines, address })
    }
}

impl Process {
    /// Sends a signal, while it lives.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for its end; none: it had to be killed. Its exit code, and its last line.
    pub async fn ended(&mut self, at_most: Duration) -> Option<(i32, String)> {
        let mut last = String::new();
        let end = async {
            while let Ok(Some(line)) = self.lines.next_line().await {
                last = line;
            }
            self.child.wait().await
        };
        match timeout(at_most, end).await {
            Ok(Ok(status)) => Some((status.code().unwrap_or(-1), last)),
            _ => {
                let _ = self.child.kill().await;
                None
            }
        }
    }

    /// How long its threads have been ready to run and not let, in all; none: it has ended, or the system does not tell.
    pub fn waited(&self) -> Option<Duration> {
        let id = self.child.id()?;
        let threads = std::fs::read_dir(format!("/proc/{id}/task")).ok()?;
        let of = |thread: std::fs::DirEntry| {
            let told = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            Some(Duration::from_nanos(told.split(' ').nth(1)?.parse().ok()?))
        };
        Some(threads.flatten().filter_map(of).sum())
    }

    /// What it has used, as the system tells it; none: it has ended.
    pub fn usage(&self) -> Option<Usage> {
        let id = self.child.id()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let after: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        // User and system time, in hundredths of a second: the 14th and 15th of the line.
        let ticks = |no: usize| after.get(no).and_then(|t| t.parse::<u64>().ok());
        let used = Duration::from_millis(10 * (ticks(11)? + ticks(12)?));
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let row = |name: &str| {
            let row = status.lines().find_map(|l| l.strip_prefix(name))?;
            row.split_whitespace().next()?.parse().ok()
        };
        Some(Usage { id, used, resident: row("VmRSS:")?, peak: row("VmHWM:")? })
    }
}

/// What a process has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The process.
    pub id: u32,
    /// Processor time since it began, in its own code and the system's; told in steps of 10 ms.
    pub used: Duration,
    /// Memory that is resident, now and at most so far, in KiB.
    pub resident: u64,
    pub peak: u64,
}
