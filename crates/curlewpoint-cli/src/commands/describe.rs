use std::path::PathBuf;

use clap::{Args, Subcommand};

use super::{fail, AT_FAULT, DONE, FAILED};

/// Compares what two configurations let clients do.
#[derive(Args)]
pub struct Describe {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Sorts what has changed from one configuration to another into compatible and breaking; exit code 1 if anything
    /// breaks.
    Diff { old: PathBuf, new: PathBuf },
}

impl Describe {
    pub fn run(self) -> u8 {
        let What::Diff { old, new } = self.what;
        match (super::check::load(&old), super::check::load(&new)) {
            (Ok((_, old)), Ok((_, new))) => {
                let changes = curlewpoint_catalogue::compare(&old, &new);
                for c in &changes {
                    println!(
                        "{:10} {}: {}",
                        if c.breaking { "breaking" } else { "compatible" },
                        c.method,
                        c.what
                    );
                }
                let breaking = changes.iter().filter(|c| c.breaking).count();
                println!("{} changes, {breaking} breaking", changes.len());
                if breaking > 0 {
                    FAILED
                } else {
                    DONE
                }
            }
            (Err(faults), _) => fail(AT_FAULT, &format!("{}: {faults}", old.display())),
            (_, Err(faults)) => fail(AT_FAULT, &format!("{}: {faults}", new.display())),
        }
    }
}
