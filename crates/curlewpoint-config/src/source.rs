use std::path::{Path, PathBuf};

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term;
use codespan_reporting::term::termcolor::NoColor;

use crate::check::{check, Config};
use crate::grammar::{parse_file, ConfigError, Line};

/// More files than this in one configuration are taken for an include cycle.
const MAX_FILES: usize = 64;

/// All errors of a configuration, rendered with file, line and word.
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
    /// Name and text of each file.
    files: Vec<(String, String)>,
    errors: Vec<ConfigError>,
}

impl Sources {
    fn read(&mut self, name: String, text: String, folder: Option<&Path>) -> Vec<Line> {
        let file = self.files.len();
        self.files.push((name, text.clone()));
        let lines = parse_file(file, &text, &mut self.errors);
        lines.into_iter().flat_map(|line| self.expand_include(line, folder)).collect()
    }

    fn expand_include(&mut self, line: Line, folder: Option<&Path>) -> Vec<Line> {
        if line.name() != "include" {
            return vec![line];
        }
        let error = |message: String| ConfigError::new(line.file, line.span(), message);
        let (2, Some(folder)) = (line.words.len(), folder) else {
            self.errors.push(error("include takes one file".to_owned()));
            return Vec::new();
        };
        let path = folder.join(&line.words[1].text);
        if self.files.len() >= MAX_FILES {
            self.errors.push(error(format!("more than {MAX_FILES} files: does one include itself?")));
            return Vec::new();
        }
        match std::fs::read_to_string(&path) {
            Ok(text) => {
                let folder = path.parent().map(Path::to_owned);
                self.read(path.display().to_string(), text, folder.as_deref())
            }
            Err(e) => {
                let error =
                    ConfigError::new(line.file, line.words[1].span.clone(), format!("cannot be read: {e}"));
                self.errors.push(error);
                Vec::new()
            }
        }
    }

    fn into_errors(mut self) -> ConfigErrors {
        self.errors.sort_by_key(|f| (f.file, f.span.start));
        let mut files = SimpleFiles::new();
        for (name, text) in &self.files {
            files.add(name, text);
        }
        let mut rendered = Vec::new();
        for error in &self.errors {
            let label = Label::primary(error.file, error.span.clone());
            let notes = error.help.iter().map(|h| format!("help: {h}")).collect();
            let diagnostic =
                Diagnostic::error().with_message(&error.message).with_labels(vec![label]).with_notes(notes);
            // Writing to a Vec cannot fail, and all ranges lie within these files.
            let _ =
                term::emit(&mut NoColor::new(&mut rendered), &term::Config::default(), &files, &diagnostic);
        }
        ConfigErrors { count: self.errors.len(), rendered: String::from_utf8_lossy(&rendered).into_owned() }
    }
}

/// Reads and checks a configuration file and the files that it includes. Reports all errors at once.
pub fn load(path: impl Into<PathBuf>) -> Result<Config, ConfigErrors> {
    let path = path.into();
    let text = std::fs::read_to_string(&path).map_err(|e| ConfigErrors {
        count: 1,
        rendered: format!("error: {}: cannot be read: {e}\n", path.display()),
    })?;
    check_text(path.display().to_string(), text, Some(path.parent().unwrap_or(Path::new("."))))
}

/// Checks a configuration held in memory. It cannot include files.
pub fn parse(name: &str, text: &str) -> Result<Config, ConfigErrors> {
    check_text(name.to_owned(), text.to_owned(), None)
}

fn check_text(name: String, text: String, folder: Option<&Path>) -> Result<Config, ConfigErrors> {
    let mut sources = Sources::default();
    let lines = sources.read(name, text, folder);
    let mut config = check(&lines, &mut sources.errors);
    config.folder = folder.map(Path::to_owned);
    if sources.errors.is_empty() {
        Ok(config)
    } else {
        Err(sources.into_errors())
    }
}

/// Parses another kind of file in the same format, such as a scenario script. `check` interprets its lines and reports
/// errors as a line, the index of a word in it, and a message.
pub fn read_lines<T>(
    name: &str, text: &str, check: impl FnOnce(&[Line], &mut dyn FnMut(&Line, usize, String)) -> T,
) -> Result<T, ConfigErrors> {
    let mut sources = Sources::default();
    let lines = sources.read(name.to_owned(), text.to_owned(), None);
    let mut reported = Vec::new();
    let result = check(&lines, &mut |line, word, message| {
        let span = line.words.get(word).map_or(line.span(), |w| w.span.clone());
        reported.push(ConfigError::new(line.file, span, message));
    });
    sources.errors.extend(reported);
    if sources.errors.is_empty() {
        Ok(result)
    } else {
        Err(sources.into_errors())
    }
}
