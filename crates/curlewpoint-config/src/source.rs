use std::path::{Path, PathBuf};

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term;
use codespan_reporting::term::termcolor::NoColor;

use crate::check::{check, Config};
use crate::grammar::{parse_file, Fault, Line};

/// More files than this are an include that goes round in a circle.
const MOST_FILES: usize = 64;

/// All that is wrong with a configuration, drawn with file, line and word.
#[derive(Debug)]
pub struct ConfigErrors {
    pub count: usize,
    pub rendered: String,
}

impl std::fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.rendered)
    }
}

impl std::error::Error for ConfigErrors {}

#[derive(Default)]
struct Sources {
    names: Vec<(String, String)>,
    faults: Vec<Fault>,
}

impl Sources {
    fn read(&mut self, name: String, text: String, folder: Option<&Path>) -> Vec<Line> {
        let file = self.names.len();
        self.names.push((name, text.clone()));
        let lines = parse_file(file, &text, &mut self.faults);
        lines.into_iter().flat_map(|line| self.included(line, folder)).collect()
    }

    fn included(&mut self, line: Line, folder: Option<&Path>) -> Vec<Line> {
        if line.name() != "include" {
            return vec![line];
        }
        let fault = |what: String| Fault::new(line.file, line.span(), what);
        let (2, Some(folder)) = (line.words.len(), folder) else {
            self.faults.push(fault("include takes one file".to_owned()));
            return Vec::new();
        };
        let path = folder.join(&line.words[1].text);
        if self.names.len() >= MOST_FILES {
            self.faults.push(fault(format!("more than {MOST_FILES} files: does one include itself?")));
            return Vec::new();
        }
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                let folder = path.parent().map(Path::to_owned);
                self.read(path.display().to_string(), text, folder.as_deref())
            }
            Err(e) => {
                let at = Fault::new(line.file, line.words[1].span.clone(), format!("cannot be read: {e}"));
                self.faults.push(at);
                Vec::new()
            }
        }
    }

    fn faults(mut self) -> ConfigErrors {
        self.faults.sort_by_key(|f| (f.file, f.span.start));
        let mut files = SimpleFiles::new();
        for (name, text) in &self.names {
            files.add(name, text);
        }
        let mut drawn = Vec::new();
        for f in &self.faults {
            let label = Label::primary(f.file, f.span.clone());
            let notes = f.help.iter().map(|h| format!("help: {h}")).collect();
            let told = Diagnostic::error().with_message(&f.what).with_labels(vec![label]).with_notes(notes);
            // Writing to a Vec cannot fail, and the places come from these files.
            let _ = term::emit(&mut NoColor::new(&mut drawn), &term::Config::default(), &files, &told);
        }
        ConfigErrors { count: self.faults.len(), rendered: String::from_utf8_lossy(&drawn).into_owned() }
    }
}

/// Reads and checks a configuration file and what it includes; all faults are told at once.
pub fn load(path: impl Into<PathBuf>) -> Result<Config, ConfigErrors> {
    let path = path.into();
    let text = std::fs::read_to_string(&path).map_err(|e| ConfigErrors {
        count: 1,
        rendered: format!("error: {}: cannot be read: {e}\n", path.display()),
    })?;
    finish(path.display().to_string(), text, Some(path.parent().unwrap_or(Path::new("."))))
}

/// Checks a configuration held in memory; it cannot include files.
pub fn parse(name: &str, text: &str) -> Result<Config, ConfigErrors> {
    finish(name.to_owned(), text.to_owned(), None)
}

fn finish(name: String, text: String, folder: Option<&Path>) -> Result<Config, ConfigErrors> {
    let mut sources = Sources::default();
    let lines = sources.read(name, text, folder);
    let mut config = check(&lines, &mut sources.faults);
    config.folder = folder.map(Path::to_owned);
    if sources.faults.is_empty() {
        Ok(config)
    } else {
        Err(sources.faults())
    }
}

/// Reads another kind of file in the same form (a day's script, say); `check` judges its lines.
pub fn read_lines<T>(
    name: &str, text: &str, check: impl FnOnce(&[Line], &mut dyn FnMut(&Line, usize, String)) -> T,
) -> Result<T, ConfigErrors> {
    let mut sources = Sources::default();
    let lines = sources.read(name.to_owned(), text.to_owned(), None);
    let mut found = Vec::new();
    let got = check(&lines, &mut |line, word, what| {
        let span = line.words.get(word).map_or(line.span(), |w| w.span.clone());
        found.push(Fault::new(line.file, span, what));
    });
    sources.faults.extend(found);
    if sources.faults.is_empty() {
        Ok(got)
    } else {
        Err(sources.faults())
    }
}
