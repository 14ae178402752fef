use std::ops::Range;

use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{one_of, take_till, take_while};

type Input<'a> = LocatingSlice<&'a str>;

/// One word of a line, with its place in the file (bytes).
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    pub text: String,
    pub span: Range<usize>,
}

/// A directive with its values, in the block that it stands in.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub file: usize,
    pub words: Vec<Word>,
    /// The lines of its block, where it opens one.
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

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub file: usize,
    pub span: Range<usize>,
    pub what: String,
    pub help: Option<String>,
}

impl Fault {
    pub fn new(file: usize, span: Range<usize>, what: impl Into<String>) -> Fault {
        Fault { file, span, what: what.into(), help: None }
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

/// The words of one line, and the brace at its end, if any.
fn line(i: &mut Input) -> ModalResult<(Vec<Word>, Brace)> {
    let blank = || take_while(0.., [' ', '\t', '\r']).void();
    let words = repeat(0.., preceded(blank(), word));
    let brace = preceded(blank(), one_of(['{', '}']).with_span());
    let comment = (blank(), opt(('#', take_till(0.., '\n'))));
    (words, opt(brace), comment).map(|(words, brace, _)| (words, brace)).parse_next(i)
}

/// Reads a file's lines into blocks; all faults are found, not only the first.
pub fn parse_file(file: usize, text: &str, faults: &mut Vec<Fault>) -> Vec<Line> {
    // What is open: the lines so far, and the line that opened the block.
    let mut open: Vec<(Vec<Line>, Option<Line>)> = vec![(Vec::new(), None)];
    let mut start = 0;
    for row in text.split('\n') {
        let (from, to) = (start, start + row.len());
        start = to + 1;
        let read: Result<_, winnow::error::ParseError<Input, ContextError>> =
            line.parse(LocatingSlice::new(row));
        let (mut words, brace) = match read {
            Ok(read) => read,
            Err(e) => {
                let at = (from + e.offset()).min(to);
                let what = if row[e.offset()..].starts_with('"') {
                    "this text in quotes is not closed on its line, or has an escape other than \\\" \\\\ \\n"
                } else {
                    "nothing may stand here: quote a value that has braces or quotes in it"
                };
                faults.push(Fault::new(file, at..to.max(at + 1).min(text.len().max(at)), what));
                continue;
            }
        };
        words.iter_mut().for_each(|w| w.span = from + w.span.start..from + w.span.end);
        let brace = brace.map(|(c, span)| (c, from + span.start..from + span.end));
        match (words.is_empty(), brace) {
            (true, None) => {}
            (true, Some(('}', span))) => match open.pop() {
                Some((lines, Some(mut opener))) => {
                    opener.block = Some(lines);
                    open.last_mut().expect("the file itself").0.push(opener);
                }
                rest => {
                    open.extend(rest);
                    faults.push(Fault::new(file, span, "no block is open here"));
                }
            },
            (true, Some((_, span))) => faults.push(Fault::new(file, span, "a block needs a name before it")),
            (false, Some(('}', span))) => faults.push(Fault::new(
                file,
                span,
                "the brace that closes a block stands on a line of its own",
            )),
            (false, Some(_)) => open.push((Vec::new(), Some(Line { file, words, block: None }))),
            (false, None) => {
                open.last_mut().expect("the file itself").0.push(Line { file, words, block: None })
            }
        }
    }
    while open.len() > 1 {
        let (_, opener) = open.pop().expect("more than one");
        let opener = opener.expect("a block has its opener");
        faults.push(Fault::new(file, opener.span(), "this block is not closed"));
    }
    open.pop().map(|(lines, _)| lines).unwrap_or_default()
}
