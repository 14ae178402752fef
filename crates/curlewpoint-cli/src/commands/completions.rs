use clap::{Args, CommandFactory};
use clap_complete::Shell;

use super::DONE;

/// Prints completions for a shell.
#[derive(Args)]
pub struct Completions {
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
        DONE
    }
}
