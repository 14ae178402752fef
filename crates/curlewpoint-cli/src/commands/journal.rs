use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use curlewpoint::types::Time;
use curlewpoint_journal::{Journal, RecordVisitor};
use curlewpoint_trigger::{FinalAnswer, MessageKey};

use super::{fail, DONE, FAILED};

/// Looks into the journal of a scheduler that does not run.
#[derive(Args)]
pub struct LookInto {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Prints every record, oldest first, with what the next start would do when its message comes again.
    List { journal: PathBuf },
    /// Checks the whole file; exit code 1 if it is damaged.
    Verify { journal: PathBuf },
}

/// Lines by moment.
#[derive(Default)]
struct Lines(Vec<(Time, String)>);

fn since(at: Time) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let ago = now.saturating_sub(Duration::from_micros(at.0.saturating_mul(100)));
    format!("{:.1} s ago", ago.as_secs_f64())
}

impl RecordVisitor for Lines {
    fn intent(&mut self, name: MessageKey, at: Time) {
        let what = "may have been sent; comes again: aborted, or repeated by its token within its span";
        self.0.push((at, format!("{}  {}  {}  {what}", name.id, name.reply_to, since(at))));
    }

    fn answer(&mut self, name: MessageKey, at: Time, answer: FinalAnswer) {
        let (end, length) = (answer.kind, answer.body.len());
        let what = format!("answered {end:?}, {length} bytes; comes again: this answer");
        self.0.push((at, format!("{}  {}  {}  {what}", name.id, name.reply_to, since(at))));
    }
}

impl LookInto {
    pub fn run(self) -> u8 {
        let (path, list) = match self.what {
            What::List { journal } => (journal, true),
            What::Verify { journal } => (journal, false),
        };
        let mut lines = Lines::default();
        match Journal::inspect(&path, &mut lines) {
            Ok((records, bytes)) => {
                lines.0.sort();
                if list {
                    lines.0.iter().for_each(|(_, line)| println!("{line}"));
                }
                println!("{}: whole, {records} records, {bytes} bytes", path.display());
                DONE
            }
            Err(why) => fail(FAILED, &format!("{}: {why}", path.display())),
        }
    }
}
