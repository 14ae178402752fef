use std::collections::BTreeSet;
use std::fs::File;
use std::net::TcpListener;

use oorandom::Rand64;

/// Ports below the system's ephemeral range, divided into blocks.
const FIRST_PORT: u16 = 10_000;
const BLOCK_PORTS: u16 = 200;
const BLOCK_COUNT: u16 = 110;

/// Allocates free ports that no other rig on this machine uses while this one runs.
///
/// Two rigs may run at once, and a port without a listener may be the one on which the other rig's scheduler is about to
/// restart. Blocks are therefore reserved by a file lock, which is released when its process ends, however it ends.
pub(crate) struct Ports {
    /// The locked file of each reserved block.
    blocks: Vec<File>,
    available: BTreeSet<u16>,
    rng: Rand64,
}

impl Ports {
    pub fn new(seed: u64) -> Ports {
        let rng = Rand64::new(u128::from(seed) << 32 | u128::from(std::process::id()));
        Ports { blocks: Vec::new(), available: BTreeSet::new(), rng }
    }

    /// Takes `n` ports in random order.
    pub fn take(&mut self, n: usize) -> std::io::Result<Vec<u16>> {
        while self.available.len() < n {
            self.reserve_block()?;
        }
        let mut all: Vec<u16> = self.available.iter().copied().collect();
        for i in (1..all.len()).rev() {
            all.swap(i, self.rng.rand_range(0..i as u64 + 1) as usize);
        }
        all.truncate(n);
        self.available.retain(|port| !all.contains(port));
        Ok(all)
    }

    /// Reserves one more block and adds its ports without a listener.
    fn reserve_block(&mut self) -> std::io::Result<()> {
        let first = self.rng.rand_range(0..u64::from(BLOCK_COUNT)) as u16;
        for block in (0..BLOCK_COUNT).map(|k| (first + k) % BLOCK_COUNT) {
            let path = std::env::temp_dir().join(format!("curlewpoint-ports-{block}"));
            let opened = File::options().create(true).write(true).truncate(false).open(path);
            let Ok(file) = opened else { continue };
            if file.try_lock().is_err() {
                continue;
            }
            let ports = (0..BLOCK_PORTS).map(|k| FIRST_PORT + block * BLOCK_PORTS + k);
            let free: Vec<u16> = ports.filter(|p| TcpListener::bind(("127.0.0.1", *p)).is_ok()).collect();
            if free.is_empty() {
                continue;
            }
            self.available.extend(free);
            self.blocks.push(file);
            return Ok(());
        }
        Err(std::io::Error::other("too few ports are free"))
    }
}

#[cfg(test)]
mod tests;
