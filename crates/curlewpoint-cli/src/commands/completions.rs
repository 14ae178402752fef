use clap::{Args, CommandFactory};
use clap_complete::Shell;

use super::SUCCESS;

/// Prints a completion script for a shell.
#[derive(Args)]
pub struct Completions {
    /// The shell to generate the script for.
    shell: Shell,
}

impl Completions {
    pub fn run(self) -> u8 {
        clap_complete::generate(
            self.shell,
            &mut crate::Program::command(),
            "curlewpoint",
            &mut std::io::stdout(),
        );
        SUCCESS
    }
}
