//! The program as its users call it.

use std::process::{Command, Output};
use std::sync::{Mutex, PoisonError};

pub fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_curlewpoint"))
}

/// Plays want the machine for themselves: one at a time, whatever else runs.
static STAGE: Mutex<()> = Mutex::new(());

/// Plays with so many schedulers, always from the same seed: the exit code, and all that was told.
pub fn play(name: &str, schedulers: &str, more: &[&str]) -> (Option<i32>, String) {
    let _alone = STAGE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut c = program();
    c.args(["fleet", "play", name, "--schedulers", schedulers, "--seed", "7"]).args(more);
    let Output { status, stdout, stderr } = c.output().expect("it runs");
    let told = String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr);
    (status.code(), told)
}
