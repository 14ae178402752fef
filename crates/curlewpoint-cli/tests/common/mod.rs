//! Runs the program by its command line.

use std::process::{Command, Output};
use std::sync::{Mutex, PoisonError};

pub fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_curlewpoint"))
}

/// Scenarios need the machine for themselves: only one runs at a time.
static SCENARIO_LOCK: Mutex<()> = Mutex::new(());

/// Runs a fleet scenario with a fixed seed. Returns the exit code and the output.
pub fn run_scenario(name: &str, schedulers: &str, args: &[&str]) -> (Option<i32>, String) {
    let _guard = SCENARIO_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut c = program();
    c.args(["fleet", "play", name, "--schedulers", schedulers, "--seed", "7"]).args(args);
    let Output { status, stdout, stderr } = c.output().expect("the program runs");
    let output = String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr);
    (status.code(), output)
}
