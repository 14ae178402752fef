use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use crate::directives::{Block, Directive, ValueKind, BLOCKS};
use crate::grammar::{ConfigError, Line, Word};
use crate::units;

/// A checked configuration: the values of each directive, with defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Keyed by block, name of the block (empty for unnamed blocks) and directive.
    pub(crate) values: BTreeMap<(&'static str, String, &'static str), Vec<String>>,
    /// The names of named blocks by block, in the order of the file.
    pub(crate) names: BTreeMap<&'static str, Vec<String>>,
    /// The folder of the configuration file. Relative paths in the configuration start there.
    pub(crate) folder: Option<PathBuf>,
}

impl Config {
    pub(crate) fn words(
        &self, block: &'static str, block_name: &str, name: &'static str,
    ) -> Option<&[String]> {
        self.values.get(&(block, block_name.to_owned(), name)).map(Vec::as_slice)
    }

    /// The first value of a directive of an unnamed block. None: it is not given and has no default.
    pub fn value(&self, block: &'static str, name: &'static str) -> Option<&str> {
        self.words(block, "", name).and_then(|w| w.first()).map(String::as_str)
    }

    /// A directive at the top level, or an empty string if it is not given.
    pub fn text(&self, name: &'static str) -> &str {
        self.value("", name).unwrap_or("")
    }

    /// A numeric directive of an unnamed block: a plain number, milliseconds, bytes or a fraction. 0 if it is not
    /// given.
    pub fn number(&self, block: &'static str, name: &'static str) -> f64 {
        let text = self.value(block, name).unwrap_or("0");
        let parsers = [units::number, units::milliseconds, units::bytes, units::share];
        parsers.iter().find_map(|parse| parse(text).ok()).unwrap_or(0.0)
    }

    /// All values of a directive of an unnamed block, empty if it is not given.
    pub fn values(&self, block: &'static str, name: &'static str) -> &[String] {
        self.words(block, "", name).unwrap_or(&[])
    }

    /// A time directive of an unnamed block.
    pub fn duration(&self, block: &'static str, name: &'static str) -> std::time::Duration {
        std::time::Duration::from_secs_f64(self.number(block, name) / 1000.0)
    }

    /// Resolves a path of the configuration against its folder.
    pub fn resolve_path(&self, name: &str) -> PathBuf {
        self.folder.as_deref().unwrap_or(Path::new(".")).join(name)
    }

    /// Reads a file that the configuration names.
    pub fn read_file(&self, name: &str) -> Result<String, String> {
        std::fs::read_to_string(self.resolve_path(name)).map_err(|e| e.to_string())
    }

    /// Replaces a directive at the top level, for example to derive the configurations of several instances.
    pub fn with_value(mut self, name: &'static str, value: &str) -> Config {
        self.values.insert(("", String::new(), name), vec![value.to_owned()]);
        self
    }

    /// The directives, with their block, that differ in another configuration and cannot change while a scheduler runs.
    /// Only methods and the directives that describe them can.
    pub fn changes_requiring_restart(&self, other: &Config) -> Vec<String> {
        let fixed_values = |c: &Config| -> BTreeMap<_, Vec<String>> {
            let is_reloadable = |block: &str, name: &str| {
                block == "method" || (block.is_empty() && ["title", "release"].contains(&name))
            };
            let values = c.values.iter().filter(|((block, _, name), _)| !is_reloadable(block, name));
            values.map(|(key, words)| (key.clone(), words.clone())).collect()
        };
        let (ours, theirs) = (fixed_values(self), fixed_values(other));
        let keys: std::collections::BTreeSet<_> = ours.keys().chain(theirs.keys()).collect();
        let changed = keys.into_iter().filter(|k| ours.get(*k) != theirs.get(*k));
        let mut changes: Vec<String> = changed
            .map(|(block, block_name, name)| {
                [*block, block_name, *name]
                    .into_iter()
                    .filter(|w| !w.is_empty())
                    .collect::<Vec<_>>()
                    .join(" ")
            })
            .collect();
        // The decision module identifies tenants by their position.
        if changes.is_empty() && self.tenants() != other.tenants() {
            changes.push("the order of tenants".to_owned());
        }
        changes
    }

    /// Replaces a directive of an unnamed block.
    pub fn with_block_value(mut self, block: &'static str, name: &'static str, value: &str) -> Config {
        self.values.insert((block, String::new(), name), vec![value.to_owned()]);
        self
    }

    /// A directive of a method, or an empty string if it is not given.
    pub fn method_value(&self, method: &str, name: &'static str) -> &str {
        self.words("method", method, name).and_then(|w| w.first()).map_or("", String::as_str)
    }

    /// A date directive of a method, in seconds since 1970.
    pub fn method_date(&self, method: &str, name: &'static str) -> Option<u64> {
        units::date(self.method_value(method, name)).ok()
    }

    pub fn methods(&self) -> &[String] {
        self.names.get("method").map_or(&[], Vec::as_slice)
    }

    pub fn tenants(&self) -> &[String] {
        self.names.get("tenant").map_or(&[], Vec::as_slice)
    }
}

struct Checker<'a> {
    errors: &'a mut Vec<ConfigError>,
    config: Config,
    /// File and byte range of each directive, to find duplicates and to locate errors that span directives.
    positions: BTreeMap<(&'static str, String, &'static str), (usize, std::ops::Range<usize>)>,
}

pub(crate) fn check(lines: &[Line], errors: &mut Vec<ConfigError>) -> Config {
    let config = Config { values: BTreeMap::new(), names: BTreeMap::new(), folder: None };
    let mut checker = Checker { errors, config, positions: BTreeMap::new() };
    checker.check_block(&BLOCKS[0], "", lines);
    for block in BLOCKS.iter().filter(|b| !b.named) {
        checker.fill_defaults(block, "");
    }
    for block in BLOCKS.iter().filter(|b| b.named) {
        for name in checker.config.names.get(block.name).cloned().unwrap_or_default() {
            checker.fill_defaults(block, &name);
        }
    }
    checker.check_across_directives(lines);
    checker.config
}

impl Checker<'_> {
    fn error(&mut self, line: &Line, word: &Word, message: impl Into<String>) -> &mut ConfigError {
        self.errors.push(ConfigError::new(line.file, word.span.clone(), message));
        self.errors.last_mut().expect("just pushed")
    }

    fn check_block(&mut self, block: &'static Block, block_name: &str, lines: &[Line]) {
        for line in lines {
            if let Some(inner) = BLOCKS.iter().find(|b| !b.name.is_empty() && b.name == line.name()) {
                if block.name.is_empty() {
                    self.open_block(inner, line);
                } else {
                    let message = format!("a block of {} belongs at the top of the file", inner.name);
                    self.error(line, &line.words[0], message);
                }
                continue;
            }
            let Some(directive) = block.directives.iter().find(|d| d.name == line.name()) else {
                self.unknown_directive(block, line);
                continue;
            };
            if line.block.is_some() {
                self.error(line, &line.words[0], format!("{} does not open a block", directive.name));
            }
            let key = (block.name, block_name.to_owned(), directive.name);
            if self.positions.contains_key(&key) {
                self.error(line, &line.words[0], format!("{} is given twice", directive.name));
                continue;
            }
            self.positions.insert(key.clone(), (line.file, line.span()));
            self.check_values(directive, line);
            let words = line.words[1..].iter().map(|w| w.text.clone()).collect();
            self.config.values.insert(key, words);
        }
    }

    fn open_block(&mut self, block: &'static Block, line: &Line) {
        let name = line.words.get(1).map_or("", |w| w.text.as_str());
        let expected_words = if block.named { 2 } else { 1 };
        if line.words.len() != expected_words {
            let rule = if block.named { "takes one name" } else { "takes no name" };
            self.error(line, &line.words[0], format!("{} {rule}", block.name));
        }
        let Some(lines) = &line.block else {
            self.error(line, &line.words[0], format!("{} opens a block: end the line with {{", block.name));
            return;
        };
        let names = self.config.names.entry(block.name).or_default();
        if names.iter().any(|n| n == name) {
            let word = line.words.last().expect("a line has words");
            self.error(line, word, format!("{} {name} is given twice", block.name));
            return;
        }
        names.push(name.to_owned());
        self.check_block(block, name, lines);
    }

    fn unknown_directive(&mut self, block: &Block, line: &Line) {
        let known = block
            .directives
            .iter()
            .map(|d| d.name)
            .chain(BLOCKS.iter().map(|b| b.name).filter(|n| block.name.is_empty() && !n.is_empty()));
        let closest = known.map(|n| (strsim::damerau_levenshtein(n, line.name()), n)).min();
        let place =
            if block.name.is_empty() { String::new() } else { format!(" in a block of {}", block.name) };
        let elsewhere = BLOCKS.iter().find(|b| b.directives.iter().any(|d| d.name == line.name()));
        let help = match (elsewhere, closest) {
            (Some(b), _) if b.name.is_empty() => Some("it belongs at the top of the file".to_owned()),
            (Some(b), _) => Some(format!("it belongs in a block of {}", b.name)),
            (None, Some((distance, name))) if distance <= 3 => Some(format!("did you mean {name}?")),
            _ => None,
        };
        self.error(line, &line.words[0], format!("no directive '{}'{place}", line.name())).help = help;
    }

    fn check_values(&mut self, directive: &Directive, line: &Line) {
        let given = &line.words[1..];
        if given.is_empty() {
            self.error(line, &line.words[0], format!("{} needs a value", directive.name));
            return;
        }
        if given.len() > 1 && !matches!(directive.value_kind, ValueKind::AnyOf(_) | ValueKind::Addresses) {
            self.error(line, &given[1], format!("{} takes one value; quote one with spaces", directive.name));
        }
        let join = |allowed: &[(&str, &str)]| allowed.iter().map(|(w, _)| *w).collect::<Vec<_>>().join(", ");
        for word in given {
            let text = word.text.as_str();
            let valid = match directive.value_kind {
                ValueKind::Text if text.is_empty() => Err("the value is empty".to_owned()),
                ValueKind::Text => Ok(()),
                ValueKind::Address | ValueKind::Addresses => match text.parse::<std::net::SocketAddr>() {
                    Ok(_) => Ok(()),
                    Err(_) => Err(format!("'{text}' is not an address: write 127.0.0.1:7000")),
                },
                ValueKind::Time => units::milliseconds(text).map(|_| ()),
                ValueKind::Memory => units::bytes(text).map(|_| ()),
                ValueKind::Number => units::number(text).map(|_| ()),
                ValueKind::Share => units::share(text).map(|_| ()),
                ValueKind::Date => units::date(text).map(|_| ()),
                ValueKind::YesNo if ["yes", "no"].contains(&text) => Ok(()),
                ValueKind::YesNo => Err(format!("'{text}' is neither yes nor no")),
                ValueKind::OneOf(allowed) | ValueKind::AnyOf(allowed)
                    if allowed.iter().any(|(w, _)| *w == text) =>
                {
                    Ok(())
                }
                ValueKind::OneOf(allowed) | ValueKind::AnyOf(allowed) => {
                    Err(format!("'{text}' is none of {}", join(allowed)))
                }
            };
            if let Err(message) = valid {
                self.error(line, word, message);
            }
        }
    }

    fn fill_defaults(&mut self, block: &'static Block, block_name: &str) {
        for directive in block.directives.iter().filter(|d| !d.default.is_empty()) {
            let words = directive.default.split(' ').map(str::to_owned).collect();
            self.config.values.entry((block.name, block_name.to_owned(), directive.name)).or_insert(words);
        }
    }

    /// Checks the fleet block: name and listen are given together, and its numbers are in range.
    fn check_fleet(&mut self, end: &(usize, std::ops::Range<usize>)) {
        let is_set = |name| self.config.value("fleet", name).is_some();
        let (has_name, has_listen) = (is_set("name"), is_set("listen"));
        let mut errors = Vec::new();
        let mut error = |name: &'static str, message: &str| {
            let position = self.positions.get(&("fleet", String::new(), name)).unwrap_or(end);
            errors.push(ConfigError::new(position.0, position.1.clone(), message));
        };
        match (has_name, has_listen) {
            (true, false) => error("name", "fleet: listen is missing"),
            (false, true) => error("listen", "fleet: name is missing"),
            (false, false) if is_set("peers") => error("peers", "fleet: name and listen are missing"),
            _ => {}
        }
        for name in ["watchers", "most-instances", "most-links"] {
            if !(1.0..=1e6).contains(&self.config.number("fleet", name)) {
                error(name, &format!("fleet: {name} must be from 1 to 1000000"));
            }
        }
        let directory_range = 1024.0..=1024.0 * 1024.0;
        if is_set("directory") && !directory_range.contains(&self.config.number("fleet", "directory")) {
            error("directory", "fleet: directory must be from 1KiB to 1MiB");
        }
        self.errors.append(&mut errors);
    }

    /// Checks what involves several directives or a missing one.
    fn check_across_directives(&mut self, lines: &[Line]) {
        let end = lines.last().map_or((0, 0..0), |l| (l.file, l.span()));
        for name in ["name", "listen", "list"] {
            if self.config.value("", name).is_none() {
                let message = format!("{name} is missing");
                self.errors.push(ConfigError::new(end.0, end.1.clone(), message));
            }
        }
        self.check_fleet(&end);
        if self.config.methods().is_empty() {
            self.errors.push(ConfigError::new(end.0, end.1, "no method is given"));
        }
        for method in self.config.methods().to_vec() {
            let opener = lines
                .iter()
                .find(|l| l.name() == "method" && l.words.get(1).is_some_and(|w| w.text == method));
            let (file, span) = opener.map_or((0, 0..0), |l| (l.file, l.span()));
            for name in ["effect", "soft-deadline", "deadline"] {
                if self.config.words("method", &method, name).is_none() {
                    self.errors.push(ConfigError::new(
                        file,
                        span.clone(),
                        format!("method {method}: {name} is missing"),
                    ));
                }
            }
            let ms = |name| {
                let words = self.config.words("method", &method, name)?;
                units::milliseconds(words.first()?).ok()
            };
            let (soft_deadline, deadline, memory_span) =
                (ms("soft-deadline"), ms("deadline"), ms("memory-span"));
            let slack = self.config.number("rpcs", "answer-slack");
            let mut messages = Vec::new();
            if soft_deadline > deadline && deadline.is_some() {
                messages.push("its soft deadline lies after its deadline".to_owned());
            }
            if deadline.is_some_and(|d| d <= slack) {
                messages.push(format!("its deadline leaves no time after the answer-slack of {slack}ms"));
            }
            let effect = self.config.words("method", &method, "effect").and_then(|w| w.first());
            if effect.is_some_and(|e| e == "tokened") && memory_span == Some(0.0) {
                messages.push("a tokened method needs a memory-span".to_owned());
            }
            for message in messages {
                self.errors.push(ConfigError::new(file, span.clone(), format!("method {method}: {message}")));
            }
        }
        let shares =
            self.config.tenants().iter().filter_map(|t| self.config.words("tenant", t, "share")?.first());
        let sum: f64 = shares.filter_map(|s| units::share(s).ok()).sum();
        if sum > 1.0 + 1e-9 {
            let opener = lines.iter().rfind(|l| l.name() == "tenant");
            let (file, span) = opener.map_or((0, 0..0), |l| (l.file, l.span()));
            self.errors.push(ConfigError::new(
                file,
                span,
                format!("the tenants' shares add up to {:.0}%", sum * 100.0),
            ));
        }
    }
}

#[cfg(test)]
mod tests;
