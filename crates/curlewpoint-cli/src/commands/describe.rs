use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use curlewpoint_catalogue::{asyncapi, openapi, render, Catalogue};
use serde_json::Value;

use super::{fail, AT_FAULT, DONE, FAILED};

/// Prints what clients may call, as a document, or compares two configurations.
#[derive(Args)]
pub struct Describe {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Prints the OpenAPI 3.1 document that the HTTP door serves.
    Openapi { config: PathBuf },
    /// Prints the AsyncAPI 3.0 document of the AMQP channels.
    Asyncapi { config: PathBuf },
    /// Sorts what has changed from one configuration to another into compatible and breaking; exit code 1 if anything
    /// breaks.
    Diff { old: PathBuf, new: PathBuf },
}

fn print(config: &Path, document: impl Fn(&Catalogue) -> Value) -> u8 {
    match super::check::load(config) {
        Ok((_, catalogue)) => {
            print!("{}", render(&document(&catalogue)));
            DONE
        }
        Err(faults) => fail(AT_FAULT, &faults),
    }
}

impl Describe {
    pub fn run(self) -> u8 {
        let (old, new) = match self.what {
            What::Diff { old, new } => (old, new),
            What::Openapi { config } => return print(&config, openapi),
            What::Asyncapi { config } => return print(&config, asyncapi),
        };
        match (super::check::load(&old), super::check::load(&new)) {
            (Ok((_, old)), Ok((_, new))) => {
                let changes = curlewpoint_catalogue::compare(&old, &new);
                for c in &changes {
                    println!(
                        "{:10} {}: {}",
                        if c.breaking { "breaking" } else { "compatible" },
                        c.method,
                        c.description
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
