use std::path::{Path, PathBuf};

use clap::Args;
use curlewpoint_catalogue::Catalogue;
use curlewpoint_config::{Config, ValueKind, BLOCKS};

use super::{fail, AT_FAULT, DONE};

/// Checks a configuration and starts nothing.
#[derive(Args)]
pub struct Check {
    /// The configuration file.
    #[arg(required_unless_present = "directives")]
    config: Option<PathBuf>,
    /// Print the settings that the decision module is handed, as JSON.
    #[arg(long)]
    settings: bool,
    /// Print every directive with its default, as a page.
    #[arg(long)]
    directives: bool,
}

/// A configuration and its methods' schemas, checked as a whole; the faults as they are to be printed.
pub fn load(path: &Path) -> Result<(Config, Catalogue), String> {
    let config =
        curlewpoint_config::load(path).map_err(|faults| format!("{} faults\n{faults}", faults.count))?;
    match Catalogue::from_config(&config) {
        Ok(catalogue) => Ok((config, catalogue)),
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(|f| format!("error: {f}")).collect();
            Err(format!("{} faults\n{}", faults.len(), lines.join("\n")))
        }
    }
}

fn holds(of: ValueKind) -> String {
    let words =
        |all: &[(&str, &str)]| all.iter().map(|w| format!("`{}`", w.0)).collect::<Vec<_>>().join(", ");
    match of {
        ValueKind::Text => "a text".into(),
        ValueKind::Addresses => "one or more addresses".into(),
        ValueKind::Address => "an address, `127.0.0.1:7000`".into(),
        ValueKind::Time => "a time: `us`, `ms`, `s`, `min`, `h`".into(),
        ValueKind::Memory => "memory: `B`, `KiB`, `MiB`, `GiB`".into(),
        ValueKind::Number => "a number".into(),
        ValueKind::Share => "a share: `25%` or `0.25`".into(),
        ValueKind::Date => "a day in UTC, `2027-03-01`".into(),
        ValueKind::YesNo => "`yes` or `no`".into(),
        ValueKind::OneOf(all) => format!("one of {}", words(all)),
        ValueKind::AnyOf(all) => format!("any of {}", words(all)),
    }
}

fn page() -> String {
    let mut out = String::new();
    for block in BLOCKS {
        let name = if block.name.is_empty() { "At the top" } else { block.name };
        out += &format!(
            "## {name}\n\n{}\n\n| directive | holds | default | what it is |\n| --- | --- | --- | --- |\n",
            block.about
        );
        for d in block.directives {
            let default = if d.default.is_empty() { "-".to_owned() } else { format!("`{}`", d.default) };
            out += &format!("| `{}` | {} | {default} | {} |\n", d.name, holds(d.value_kind), d.about);
        }
        out += "\n";
    }
    out
}

impl Check {
    pub fn run(self) -> u8 {
        if self.directives {
            print!("{}", page());
            return DONE;
        }
        let path = self.config.unwrap_or_default();
        match load(&path) {
            Ok((config, _)) if self.settings => {
                println!("{:#}", serde_json::Value::Object(config.settings()));
                DONE
            }
            Ok((config, _)) => {
                println!(
                    "{}: good, {} methods, {} tenants",
                    path.display(),
                    config.methods().len(),
                    config.tenants().len()
                );
                DONE
            }
            Err(faults) => fail(AT_FAULT, &faults),
        }
    }
}
