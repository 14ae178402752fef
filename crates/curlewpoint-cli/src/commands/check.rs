use std::path::{Path, PathBuf};

use clap::Args;
use curlewpoint_catalogue::Catalogue;
use curlewpoint_config::{Config, ValueKind, BLOCKS};

use super::{fail, BAD_INPUT, SUCCESS};

/// Checks a configuration without starting anything.
#[derive(Args)]
pub struct Check {
    /// The configuration file.
    #[arg(required_unless_present = "directives")]
    config: Option<PathBuf>,
    /// Print the settings passed to the decision module, as JSON.
    #[arg(long)]
    settings: bool,
    /// Print every directive with its default, as a Markdown page.
    #[arg(long)]
    directives: bool,
}

/// Loads a configuration with its methods' schemas. The error holds all messages, ready to print.
pub fn load(path: &Path) -> Result<(Config, Catalogue), String> {
    let config =
        curlewpoint_config::load(path).map_err(|errors| format!("{} faults\n{errors}", errors.count))?;
    match Catalogue::from_config(&config) {
        Ok(catalogue) => Ok((config, catalogue)),
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(|f| format!("error: {f}")).collect();
            Err(format!("{} faults\n{}", errors.len(), lines.join("\n")))
        }
    }
}

fn value_description(kind: ValueKind) -> String {
    let quoted =
        |all: &[(&str, &str)]| all.iter().map(|w| format!("`{}`", w.0)).collect::<Vec<_>>().join(", ");
    match kind {
        ValueKind::Text => "a text".into(),
        ValueKind::Addresses => "one or more addresses".into(),
        ValueKind::Address => "an address, `127.0.0.1:7000`".into(),
        ValueKind::Time => "a time: `us`, `ms`, `s`, `min`, `h`".into(),
        ValueKind::Memory => "memory: `B`, `KiB`, `MiB`, `GiB`".into(),
        ValueKind::Number => "a number".into(),
        ValueKind::Share => "a share: `25%` or `0.25`".into(),
        ValueKind::Date => "a day in UTC, `2027-03-01`".into(),
        ValueKind::YesNo => "`yes` or `no`".into(),
        ValueKind::OneOf(all) => format!("one of {}", quoted(all)),
        ValueKind::AnyOf(all) => format!("any of {}", quoted(all)),
    }
}

fn directives_page() -> String {
    let mut out = String::new();
    for block in BLOCKS {
        let name = if block.name.is_empty() { "At the top" } else { block.name };
        out += &format!(
            "## {name}\n\n{}\n\n| directive | holds | default | what it is |\n| --- | --- | --- | --- |\n",
            block.about
        );
        for d in block.directives {
            let default = if d.default.is_empty() { "-".to_owned() } else { format!("`{}`", d.default) };
            out += &format!(
                "| `{}` | {} | {default} | {} |\n",
                d.name,
                value_description(d.value_kind),
                d.about
            );
        }
        out += "\n";
    }
    out
}

impl Check {
    pub fn run(self) -> u8 {
        if self.directives {
            print!("{}", directives_page());
            return SUCCESS;
        }
        let path = self.config.unwrap_or_default();
        match load(&path) {
            Ok((config, _)) if self.settings => {
                println!("{:#}", serde_json::Value::Object(config.settings()));
                SUCCESS
            }
            Ok((config, _)) => {
                println!(
                    "{}: good, {} methods, {} tenants",
                    path.display(),
                    config.methods().len(),
                    config.tenants().len()
                );
                SUCCESS
            }
            Err(errors) => fail(BAD_INPUT, &errors),
        }
    }
}
