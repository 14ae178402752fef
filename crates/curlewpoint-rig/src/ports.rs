use std::collections::BTreeSet;
use std::fs::File;
use std::net::TcpListener;

use oorandom::Rand64;

/// Ports below those that the system hands out by itself, in blocks.
const FIRST: u16 = 10_000;
const BLOCK: u16 = 200;
const BLOCKS: u16 = 110;

/// Ports that are free, and that no other rig on this machine takes while this one runs.
///
/// Guards against two plays side by side: a port that nobody listens on just now may be the one on which the other's
/// scheduler starts again in a moment. Harms nobody: a block is free again when its holder ends, however it ends.
pub(crate) struct Ports {
    /// Locked, each.
    blocks: Vec<File>,
    taken: BTreeSet<u16>,
    rng: Rand64,
}

impl Ports {
    pub fn new(seed: u64) -> Ports {
        let rng = Rand64::new(u128::from(seed) << 32 | u128::from(std::process::id()));
        Ports { blocks: Vec::new(), taken: BTreeSet::new(), rng }
    }

    /// So many, in no order.
    pub fn take(&mut self, n: usize) -> std::io::Result<Vec<u16>> {
        while self.taken.len() < n {
            self.claim()?;
        }
        let mut all: Vec<u16> = self.taken.iter().copied().collect();
        for i in (1..all.len()).rev() {
            all.swap(i, self.rng.rand_range(0..i as u64 + 1) as usize);
        }
        all.truncate(n);
        self.taken.retain(|port| !all.contains(port));
        Ok(all)
    }

    /// One more block, and the ports in it on which nobody listens.
    fn claim(&mut self) -> std::io::Result<()> {
        let first = self.rng.rand_range(0..u64::from(BLOCKS)) as u16;
        for no in (0..BLOCKS).map(|k| (first + k) % BLOCKS) {
            let path = std::env::temp_dir().join(format!("curlewpoint-ports-{no}"));
            let opened = File::options().create(true).write(true).truncate(false).open(path);
            let Ok(file) = opened else { continue };
            if file.try_lock().is_err() {
                continue;
            }
            let ports = (0..BLOCK).map(|k| FIRST + no * BLOCK + k);
            let free: Vec<u16> = ports.filter(|p| TcpListener::bind(("127.0.0.1", *p)).is_ok()).collect();
            if free.is_empty() {
                continue;
            }
            self.taken.extend(free);
            self.blocks.push(file);
            return Ok(());
        }
        Err(std::io::Error::other("too few ports are free"))
    }
}

#[cfg(test)]
mod tests;
