use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use crate::directives::{Block, Directive, ValueKind, BLOCKS};
use crate::grammar::{Fault, Line, Word};
use crate::units;

/// A checked configuration: the words of each directive, defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// By block, the block's own name (empty where it has none) and directive.
    pub(crate) values: BTreeMap<(&'static str, String, &'static str), Vec<String>>,
    /// The names of named blocks, in the order of the file.
    pub(crate) names: BTreeMap<&'static str, Vec<String>>,
    /// The folder of its file, from which the files that it names are found.
    pub(crate) folder: Option<PathBuf>,
}

impl Config {
    pub(crate) fn words(&self, block: &'static str, of: &str, name: &'static str) -> Option<&[String]> {
        self.values.get(&(block, of.to_owned(), name)).map(Vec::as_slice)
    }

    /// A directive of an unnamed block; the checks have made sure of what has no default.
    pub fn value(&self, block: &'static str, name: &'static str) -> Option<&str> {
        self.words(block, "", name).and_then(|w| w.first()).map(String::as_str)
    }

    pub fn text(&self, name: &'static str) -> &str {
        self.value("", name).unwrap_or("")
    }

    pub fn number(&self, block: &'static str, name: &'static str) -> f64 {
        let text = self.value(block, name).unwrap_or("0");
        let units = [units::number, units::milliseconds, units::bytes, units::share];
        units.iter().find_map(|read| read(text).ok()).unwrap_or(0.0)
    }

    /// All words of a directive of an unnamed block; none where it is absent.
    pub fn values(&self, block: &'static str, name: &'static str) -> &[String] {
        self.words(block, "", name).unwrap_or(&[])
    }

    /// A span of time of the top or of a block.
    pub fn duration(&self, block: &'static str, name: &'static str) -> std::time::Duration {
        std::time::Duration::from_secs_f64(self.number(block, name) / 1000.0)
    }

    /// Where a file that it names is.
    pub fn resolve_path(&self, name: &str) -> PathBuf {
        self.folder.as_deref().unwrap_or(Path::new(".")).join(name)
    }

    /// The text of a file that it names.
    pub fn read_file(&self, name: &str) -> Result<String, String> {
        std::fs::read_to_string(self.resolve_path(name)).map_err(|e| e.to_string())
    }

    /// The same configuration with another value at the top: one of many instances, say.
    pub fn with_value(mut self, name: &'static str, value: &str) -> Config {
        self.values.insert(("", String::new(), name), vec![value.to_owned()]);
        self
    }

    /// What differs in another configuration, but for methods, as block and directive: the methods and what describes
    /// them may change while a scheduler runs, and nothing else.
    pub fn changes_requiring_restart(&self, other: &Config) -> Vec<String> {
        let fixed = |c: &Config| -> BTreeMap<_, Vec<String>> {
            let of_methods = |block: &str, name: &str| {
                block == "method" || (block.is_empty() && ["title", "release"].contains(&name))
            };
            let values = c.values.iter().filter(|((block, _, name), _)| !of_methods(block, name));
            values.map(|(key, words)| (key.clone(), words.clone())).collect()
        };
        let (a, b) = (fixed(self), fixed(other));
        let keys: std::collections::BTreeSet<_> = a.keys().chain(b.keys()).collect();
        let changed = keys.into_iter().filter(|k| a.get(*k) != b.get(*k));
        let mut told: Vec<String> = changed
            .map(|(block, of, name)| {
                [*block, of, *name].into_iter().filter(|w| !w.is_empty()).collect::<Vec<_>>().join(" ")
            })
            .collect();
        // The module knows tenants by their order.
        if told.is_empty() && self.tenants() != other.tenants() {
            told.push("the order of tenants".to_owned());
        }
        told
    }

    /// The same with another value in an unnamed block.
    pub fn with_block_value(mut self, block: &'static str, name: &'static str, value: &str) -> Config {
        self.values.insert((block, String::new(), name), vec![value.to_owned()]);
        self
    }

    /// A directive of a method.
    pub fn method_value(&self, method: &str, name: &'static str) -> &str {
        self.words("method", method, name).and_then(|w| w.first()).map_or("", String::as_str)
    }

    /// A day that a method names, in seconds since 1970.
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

struct Check<'a> {
    faults: &'a mut Vec<Fault>,
    config: Config,
    /// Where each directive stood, for a duplicate's sake and for checks across directives.
    places: BTreeMap<(&'static str, String, &'static str), (usize, std::ops::Range<usize>)>,
}

pub(crate) fn check(lines: &[Line], faults: &mut Vec<Fault>) -> Config {
    let config = Config { values: BTreeMap::new(), names: BTreeMap::new(), folder: None };
    let mut check = Check { faults, config, places: BTreeMap::new() };
    check.block(&BLOCKS[0], "", lines);
    for block in BLOCKS.iter().filter(|b| !b.named) {
        check.defaults(block, "");
    }
    for block in BLOCKS.iter().filter(|b| b.named) {
        for name in check.config.names.get(block.name).cloned().unwrap_or_default() {
            check.defaults(block, &name);
        }
    }
    check.across(lines);
    check.config
}

impl Check<'_> {
    fn fault(&mut self, line: &Line, word: &Word, what: impl Into<String>) -> &mut Fault {
        self.faults.push(Fault::new(line.file, word.span.clone(), what));
        self.faults.last_mut().expect("just pushed")
    }

    fn block(&mut self, block: &'static Block, of: &str, lines: &[Line]) {
        for line in lines {
            if let Some(inner) = BLOCKS.iter().find(|b| !b.name.is_empty() && b.name == line.name()) {
                if block.name.is_empty() {
                    self.open(inner, line);
                } else {
                    let what = format!("a block of {} stands at the top of the file", inner.name);
                    self.fault(line, &line.words[0], what);
                }
                continue;
            }
            let Some(directive) = block.directives.iter().find(|d| d.name == line.name()) else {
                self.unknown(block, line);
                continue;
            };
            if line.block.is_some() {
                self.fault(line, &line.words[0], format!("{} opens no block", directive.name));
            }
            let key = (block.name, of.to_owned(), directive.name);
            if self.places.contains_key(&key) {
                self.fault(line, &line.words[0], format!("{} stands twice", directive.name));
                continue;
            }
            self.places.insert(key.clone(), (line.file, line.span()));
            self.values(directive, line);
            let words = line.words[1..].iter().map(|w| w.text.clone()).collect();
            self.config.values.insert(key, words);
        }
    }

    fn open(&mut self, block: &'static Block, line: &Line) {
        let name = line.words.get(1).map_or("", |w| w.text.as_str());
        let want = if block.named { 2 } else { 1 };
        if line.words.len() != want {
            let what = if block.named { "takes one name" } else { "takes no name" };
            self.fault(line, &line.words[0], format!("{} {what}", block.name));
        }
        let Some(lines) = &line.block else {
            self.fault(line, &line.words[0], format!("{} opens a block: end the line with {{", block.name));
            return;
        };
        let names = self.config.names.entry(block.name).or_default();
        if names.iter().any(|n| n == name) {
            let word = line.words.last().expect("a line has words");
            self.fault(line, word, format!("{} {name} stands twice", block.name));
            return;
        }
        names.push(name.to_owned());
        self.block(block, name, lines);
    }

    fn unknown(&mut self, block: &Block, line: &Line) {
        let known = block
            .directives
            .iter()
            .map(|d| d.name)
            .chain(BLOCKS.iter().map(|b| b.name).filter(|n| block.name.is_empty() && !n.is_empty()));
        let near = known.map(|n| (strsim::damerau_levenshtein(n, line.name()), n)).min();
        let place =
            if block.name.is_empty() { String::new() } else { format!(" in a block of {}", block.name) };
        let elsewhere = BLOCKS.iter().find(|b| b.directives.iter().any(|d| d.name == line.name()));
        let help = match (elsewhere, near) {
            (Some(b), _) if b.name.is_empty() => Some("it belongs at the top of the file".to_owned()),
            (Some(b), _) => Some(format!("it belongs in a block of {}", b.name)),
            (None, Some((d, n))) if d <= 3 => Some(format!("did you mean {n}?")),
            _ => None,
        };
        self.fault(line, &line.words[0], format!("no directive '{}'{place}", line.name())).help = help;
    }

    fn values(&mut self, directive: &Directive, line: &Line) {
        let given = &line.words[1..];
        if given.is_empty() {
            self.fault(line, &line.words[0], format!("{} needs a value", directive.name));
            return;
        }
        if given.len() > 1 && !matches!(directive.value_kind, ValueKind::AnyOf(_) | ValueKind::Addresses) {
            self.fault(line, &given[1], format!("{} takes one value; quote one with spaces", directive.name));
        }
        let words = |all: &[(&str, &str)]| all.iter().map(|(w, _)| *w).collect::<Vec<_>>().join(", ");
        for word in given {
            let text = word.text.as_str();
            let read = match directive.value_kind {
                ValueKind::Text if text.is_empty() => Err("this value is empty".to_owned()),
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
                ValueKind::OneOf(all) | ValueKind::AnyOf(all) if all.iter().any(|(w, _)| *w == text) => {
                    Ok(())
                }
                ValueKind::OneOf(all) | ValueKind::AnyOf(all) => {
                    Err(format!("'{text}' is none of {}", words(all)))
                }
            };
            if let Err(what) = read {
                self.fault(line, word, what);
            }
        }
    }

    fn defaults(&mut self, block: &'static Block, of: &str) {
        for directive in block.directives.iter().filter(|d| !d.default.is_empty()) {
            let words = directive.default.split(' ').map(str::to_owned).collect();
            self.config.values.entry((block.name, of.to_owned(), directive.name)).or_insert(words);
        }
    }

    /// A fleet needs a name and a place to be met, and its numbers something to count.
    fn fleet(&mut self, end: &(usize, std::ops::Range<usize>)) {
        let has = |name| self.config.value("fleet", name).is_some();
        let (named, listens) = (has("name"), has("listen"));
        let mut faults = Vec::new();
        let mut fault = |name: &'static str, what: &str| {
            let place = self.places.get(&("fleet", String::new(), name)).unwrap_or(end);
            faults.push(Fault::new(place.0, place.1.clone(), what));
        };
        match (named, listens) {
            (true, false) => fault("name", "fleet: listen is missing"),
            (false, true) => fault("listen", "fleet: name is missing"),
            (false, false) if has("peers") => fault("peers", "fleet: name and listen are missing"),
            _ => {}
        }
        for name in ["watchers", "most-instances", "most-links"] {
            if !(1.0..=1e6).contains(&self.config.number("fleet", name)) {
                fault(name, &format!("fleet: {name} must be from 1 to 1000000"));
            }
        }
        let bytes = 1024.0..=1024.0 * 1024.0;
        if has("directory") && !bytes.contains(&self.config.number("fleet", "directory")) {
            fault("directory", "fleet: directory must be from 1KiB to 1MiB");
        }
        self.faults.append(&mut faults);
    }

    /// What no single line shows.
    fn across(&mut self, lines: &[Line]) {
        let end = lines.last().map_or((0, 0..0), |l| (l.file, l.span()));
        for name in ["name", "listen", "list"] {
            if self.config.value("", name).is_none() {
                let what = format!("{name} is missing");
                self.faults.push(Fault::new(end.0, end.1.clone(), what));
            }
        }
        self.fleet(&end);
        if self.config.methods().is_empty() {
            self.faults.push(Fault::new(end.0, end.1, "no method is given"));
        }
        for method in self.config.methods().to_vec() {
            let opener = lines
                .iter()
                .find(|l| l.name() == "method" && l.words.get(1).is_some_and(|w| w.text == method));
            let (file, span) = opener.map_or((0, 0..0), |l| (l.file, l.span()));
            for name in ["effect", "soft-deadline", "deadline"] {
                if self.config.words("method", &method, name).is_none() {
                    self.faults.push(Fault::new(
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
            let (soft, last, span_kept) = (ms("soft-deadline"), ms("deadline"), ms("memory-span"));
            let slack = self.config.number("rpcs", "answer-slack");
            let mut wrong = Vec::new();
            if soft > last && last.is_some() {
                wrong.push("its soft deadline lies after its deadline".to_owned());
            }
            if last.is_some_and(|l| l <= slack) {
                wrong.push(format!("its deadline leaves nothing after the answer-slack of {slack}ms"));
            }
            let effect = self.config.words("method", &method, "effect").and_then(|w| w.first());
            if effect.is_some_and(|e| e == "tokened") && span_kept == Some(0.0) {
                wrong.push("a tokened method needs a memory-span".to_owned());
            }
            for what in wrong {
                self.faults.push(Fault::new(file, span.clone(), format!("method {method}: {what}")));
            }
        }
        let shares =
            self.config.tenants().iter().filter_map(|t| self.config.words("tenant", t, "share")?.first());
        let sum: f64 = shares.filter_map(|s| units::share(s).ok()).sum();
        if sum > 1.0 + 1e-9 {
            let opener = lines.iter().rfind(|l| l.name() == "tenant");
            let (file, span) = opener.map_or((0, 0..0), |l| (l.file, l.span()));
            self.faults.push(Fault::new(
                file,
                span,
                format!("the tenants' shares add up to {:.0}%", sum * 100.0),
            ));
        }
    }
}

#[cfg(test)]
mod tests;
