use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use curlewpoint_catalogue::{asyncapi, openapi, render, Catalogue};
use serde_json::Value;

use super::{fail, BAD_INPUT, FAILED, SUCCESS};

/// Prints the methods of a configuration as an API document, or compares two configurations.
#[derive(Args)]
pub struct Describe {
    #[command(subcommand)]
    command: DescribeCommand,
}

#[derive(Subcommand)]
enum DescribeCommand {
    /// Prints the OpenAPI 3.1 document that the HTTP listener serves.
    Openapi { config: PathBuf },
    /// Prints the AsyncAPI 3.0 document of the AMQP channels.
    Asyncapi { config: PathBuf },
    /// Lists the changes from one configuration to another as compatible or breaking; exit code 1 if any is breaking.
    Diff { old: PathBuf, new: PathBuf },
}

fn print(config: &Path, document: impl Fn(&Catalogue) -> Value) -> u8 {
    match super::check::load(config) {
        Ok((_, catalogue)) => {
            print!("{}", render(&document(&catalogue)));
            SUCCESS
        }
        Err(errors) => fail(BAD_INPUT, &errors),
    }
}

impl Describe {
    pub fn run(self) -> u8 {
        let (old, new) = match self.command {
            DescribeCommand::Diff { old, new } => (old, new),
            DescribeCommand::Openapi { config } => return print(&config, openapi),
            DescribeCommand::Asyncapi { config } => return print(&config, asyncapi),
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
                    SUCCESS
                }
            }
            (Err(errors), _) => fail(BAD_INPUT, &format!("{}: {errors}", old.display())),
            (_, Err(errors)) => fail(BAD_INPUT, &format!("{}: {errors}", new.display())),
        }
    }
}
