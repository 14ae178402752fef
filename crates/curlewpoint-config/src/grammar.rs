use std::ops::Range;

use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{one_of, take_till, take_while};

type Input<'a> = LocatingSlice<&'a str>;

/// A word of a line and its byte range in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    pub text: String,
    pub span: Range<usize>,
}

/// A directive with its values, and the lines of the block that it opens.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Index of the source file.
    pub file: usize,
    /// The directive name, then its values. Never empty.
    pub words: Vec<Word>,
    /// The lines of the block, if this line opens one.
    pub block: Option<Vec<Line>>,
}

impl Line {
    pub fn name(&self) -> &str {
        &self.words[0].text
    }

    pub fn span(&self) -> Range<usize> {
        self.words[0].span.start..self.words[self.words.len() - 1].span.end
    }
}

/// An error at a byte range of a source file.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    pub file: usize,
    pub span: Range<usize>,
    pub message: String,
    pub help: Option<String>,
}

impl ConfigError {
    pub fn new(file: usize, span: Range<usize>, message: impl Into<String>) -> ConfigError {
        ConfigError { file, span, message: message.into(), help: None }
    }
}

fn escaped(i: &mut Input) -> ModalResult<char> {
    preceded('\\', one_of(['"', '\\', 'n'])).map(|c| if c == 'n' { '\n' } else { c }).parse_next(i)
}

fn quoted(i: &mut Input) -> ModalResult<String> {
    let plain = one_of(|c| c != '"' && c != '\\' && c != '\n');
    delimited('"', repeat(0.., alt((escaped, plain))), '"').parse_next(i)
}

fn bare(i: &mut Input) -> ModalResult<String> {
    take_while(1.., |c: char| !c.is_whitespace() && !"\"{}#".contains(c)).map(str::to_owned).parse_next(i)
}

fn word(i: &mut Input) -> ModalResult<Word> {
    alt((quoted, bare)).with_span().map(|(text, span)| Word { text, span }).parse_next(i)
}

type Brace = Option<(char, Range<usize>)>;

/// The words of a line and the brace at its end, if there is one.
fn line(i: &mut Input) -> ModalResult<(Vec<Word>, Brace)> {
    let blank = || take_while(0.., [' ', '\t', '\r']).void();
    let words = repeat(0.., preceded(blank(), word));
    let brace = preceded(blank(), one_of(['{', '}']).with_span());
    let comment = (blank(), opt(('#', take_till(0.., '\n'))));
    (words, opt(brace), comment).map(|(words, brace, _)| (words, brace)).parse_next(i)
}

/// Parses a file into lines and blocks. Collects all errors, not only the first.
pub fn parse_file(file: usize, text: &str, errors: &mut Vec<ConfigError>) -> Vec<Line> {
    // The stack of open blocks: the lines of each block so far, and the line that opened it. The first is the file
    // itself.
    let mut open_blocks: Vec<(Vec<Line>, Option<Line>)> = vec![(Vec::new(), None)];
    let mut start = 0;
    for raw_line in text.split('\n') {
        let (line_start, line_end) = (start, start + raw_line.len());
        start = line_end + 1;
        let parsed: Result<_, winnow::error::ParseError<Input, ContextError>> =
            line.parse(LocatingSlice::new(raw_line));
        let (mut words, brace) = match parsed {
            Ok(parsed) => parsed,
            Err(e) => {
                let at = (line_start + e.offset()).min(line_end);
                let message = if raw_line[e.offset()..].starts_with('"') {
                    "this quoted value is not closed on its line, or has an escape other than \\\" \\\\ \\n"
                } else {
                    "unexpected character: quote a value that contains braces or quotes"
                };
                errors.push(ConfigError::new(
                    file,
                    at..line_end.max(at + 1).min(text.len().max(at)),
                    message,
                ));
                continue;
            }
        };
        words.iter_mut().for_each(|w| w.span = line_start + w.span.start..line_start + w.span.end);
        let brace = brace.map(|(c, span)| (c, line_start + span.start..line_start + span.end));
        match (words.is_empty(), brace) {
            (true, None) => {}
            (true, Some(('}', span))) => match open_blocks.pop() {
                Some((lines, Some(mut opener))) => {
                    opener.block = Some(lines);
                    open_blocks.last_mut().expect("the file itself").0.push(opener);
                }
                popped => {
                    open_blocks.extend(popped);
                    errors.push(ConfigError::new(file, span, "no block is open here"));
                }
            },
            (true, Some((_, span))) => {
                errors.push(ConfigError::new(file, span, "a block needs a name before it"))
            }
            (false, Some(('}', span))) => errors.push(ConfigError::new(
                file,
                span,
                "the brace that closes a block must be on a line of its own",
            )),
            (false, Some(_)) => open_blocks.push((Vec::new(), Some(Line { file, words, block: None }))),
            (false, None) => {
                open_blocks.last_mut().expect("the file itself").0.push(Line { file, words, block: None })
            }
        }
    }
    while open_blocks.len() > 1 {
        let (_, opener) = open_blocks.pop().expect("more than one");
        let opener = opener.expect("a block has its opener");
        errors.push(ConfigError::new(file, opener.span(), "this block is not closed"));
    }
    open_blocks.pop().map(|(lines, _)| lines).unwrap_or_default()
}
