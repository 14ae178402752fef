use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use curlewpoint::types::Time;
use curlewpoint_journal::{Journal, RecordVisitor};
use curlewpoint_trigger::{FinalAnswer, MessageKey};

use super::{fail, FAILED, SUCCESS};

/// Inspects the journal of a stopped scheduler.
#[derive(Args)]
pub struct InspectJournal {
    #[command(subcommand)]
    command: JournalCommand,
}

#[derive(Subcommand)]
enum JournalCommand {
    /// Prints every record, oldest first, with the action that the next start takes on redelivery of its message.
    List { journal: PathBuf },
    /// Checks the whole file; exit code 1 if it is damaged.
    Verify { journal: PathBuf },
}

/// Output lines with their times.
#[derive(Default)]
struct Lines(Vec<(Time, String)>);

fn time_ago(at: Time) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let ago = now.saturating_sub(Duration::from_micros(at.0.saturating_mul(100)));
    format!("{:.1} s ago", ago.as_secs_f64())
}

impl RecordVisitor for Lines {
    fn intent(&mut self, key: MessageKey, at: Time) {
        let description =
            "may have been sent; on redelivery: aborted, or repeated with its token within the memory span";
        self.0.push((at, format!("{}  {}  {}  {description}", key.id, key.reply_to, time_ago(at))));
    }

    fn answer(&mut self, key: MessageKey, at: Time, answer: FinalAnswer) {
        let (kind, length) = (answer.kind, answer.body.len());
        let description = format!("answered {kind:?}, {length} bytes; on redelivery: this answer");
        self.0.push((at, format!("{}  {}  {}  {description}", key.id, key.reply_to, time_ago(at))));
    }
}

impl InspectJournal {
    pub fn run(self) -> u8 {
        let (path, list) = match self.command {
            JournalCommand::List { journal } => (journal, true),
            JournalCommand::Verify { journal } => (journal, false),
        };
        let mut lines = Lines::default();
        match Journal::inspect(&path, &mut lines) {
            Ok((records, bytes)) => {
                lines.0.sort();
                if list {
                    lines.0.iter().for_each(|(_, line)| println!("{line}"));
                }
                println!("{}: intact, {records} records, {bytes} bytes", path.display());
                SUCCESS
            }
            Err(error) => fail(FAILED, &format!("{}: {error}", path.display())),
        }
    }
}
