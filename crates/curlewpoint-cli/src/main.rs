//! The `curlewpoint` command line. Each sub-command has a file in `commands` and returns its exit code.

mod commands;
mod logging;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// A gateway that runs calls on workers which load functions or models on demand.
///
/// Exit codes: 0 success; 1 failure, or a rule was broken; 2 invalid command line, configuration or script, nothing was
/// started; 3 the RPC ended denied; 4 the RPC ended aborted; 5 the RPC was refused, or no answer was received.
#[derive(Parser)]
#[command(name = "curlewpoint", version)]
struct Program {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    Serve(commands::serve::Serve),
    Node(commands::node::Node),
    Check(commands::check::Check),
    Call(commands::call::Call),
    Worker(commands::test_servers::Worker),
    Store(commands::test_servers::Store),
    List(commands::test_servers::List),
    Day(commands::scenario::RunScenario),
    Rehearse(commands::scenario::Rehearse),
    Fleet(commands::fleet::Fleet),
    Describe(commands::describe::Describe),
    Broker(commands::test_servers::Broker),
    Trigger(commands::trigger::Trigger),
    Journal(commands::journal::InspectJournal),
    Completions(commands::completions::Completions),
}

fn main() -> ExitCode {
    let program = Program::parse();
    let code = match program.command {
        Command::Serve(c) => c.run(),
        Command::Node(c) => c.run(),
        Command::Check(c) => c.run(),
        Command::Call(c) => c.run(),
        Command::Worker(c) => c.run(),
        Command::Store(c) => c.run(),
        Command::List(c) => c.run(),
        Command::Day(c) => c.run(),
        Command::Rehearse(c) => c.run(),
        Command::Fleet(c) => c.run(),
        Command::Describe(c) => c.run(),
        Command::Broker(c) => c.run(),
        Command::Trigger(c) => c.run(),
        Command::Journal(c) => c.run(),
        Command::Completions(c) => c.run(),
    };
    ExitCode::from(code)
}
