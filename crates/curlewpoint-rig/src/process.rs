use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

/// Path of the program that the rig starts as a scheduler process.
#[derive(Clone, Debug)]
pub struct Program(pub PathBuf);

/// A running scheduler process. It is killed when this value is dropped.
pub struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    pub address: SocketAddr,
}

/// Time within which a process must print the address it serves.
const START_TIMEOUT: Duration = Duration::from_secs(30);

impl Program {
    /// Starts `serve` with this configuration, appends its log to a file, and waits for its ready line.
    pub async fn serve(&self, config: &Path, log: &Path) -> std::io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut child = Command::new(&self.0)
            .arg("serve")
            .arg(config)
            // Hundreds of processes share a few cores; further threads would only add context switches.
            .env("TOKIO_WORKER_THREADS", "1")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().ok_or(std::io::Error::other("no standard output"))?;
        let mut lines = BufReader::new(out).lines();
        let first = timeout(START_TIMEOUT, lines.next_line()).await.map_err(std::io::Error::other)??;
        let address = first.as_deref().and_then(|l| l.rsplit(' ').next()).and_then(|a| a.parse().ok());
        let address = address.ok_or_else(|| {
            std::io::Error::other(format!("the process did not print its address: {first:?}"))
        })?;
        Ok(Process { child, lines, address })
    }
}

impl Process {
    /// Sends a signal if the process is still running.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for the process to exit and returns its exit code and the last line of its output. On a timeout, kills it and returns
    /// `None`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<(i32, String)> {
        let mut last = String::new();
        let end = async {
            while let Ok(Some(line)) = self.lines.next_line().await {
                last = line;
            }
            self.child.wait().await
        };
        match timeout(limit, end).await {
            Ok(Ok(status)) => Some((status.code().unwrap_or(-1), last)),
            _ => {
                let _ = self.child.kill().await;
                None
            }
        }
    }

    /// Total time its threads were runnable but waiting for a core; `None` if it has ended or the system does not report it.
    pub fn run_queue_delay(&self) -> Option<Duration> {
        let id = self.child.id()?;
        let threads = std::fs::read_dir(format!("/proc/{id}/task")).ok()?;
        let delay_of = |thread: std::fs::DirEntry| {
            let schedstat = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            Some(Duration::from_nanos(schedstat.split(' ').nth(1)?.parse().ok()?))
        };
        Some(threads.flatten().filter_map(delay_of).sum())
    }

    /// Processor time and memory from /proc; `None` if the process has ended.
    pub fn usage(&self) -> Option<Usage> {
        let id = self.child.id()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let after: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        // User and system time in hundredths of a second, fields 14 and 15 of the line.
        let ticks = |index: usize| after.get(index).and_then(|t| t.parse::<u64>().ok());
        let cpu_time = Duration::from_millis(10 * (ticks(11)? + ticks(12)?));
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let row = |name: &str| {
            let row = status.lines().find_map(|l| l.strip_prefix(name))?;
            row.split_whitespace().next()?.parse().ok()
        };
        Some(Usage { id, cpu_time, resident_kib: row("VmRSS:")?, peak_kib: row("VmHWM:")? })
    }
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Process id.
    pub id: u32,
    /// User and system time since the process started, in steps of 10 ms.
    pub cpu_time: Duration,
    /// Resident memory now and at its peak, in KiB.
    pub resident_kib: u64,
    pub peak_kib: u64,
}
