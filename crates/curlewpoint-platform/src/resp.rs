//! The RESP subset that clients use: arrays of bulk strings, with bounded lengths. A general RESP reader waits for
//! whatever length is announced; here a length over the bound is an error before any of its bytes are read.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;
use tokio_util::codec::Decoder;

#[derive(Debug, Error, PartialEq)]
pub enum RespError {
    #[error("'{0}' where {1} was expected")]
    Unexpected(char, &'static str),
    #[error("invalid number")]
    InvalidNumber,
    #[error("command of {0} words, the limit is {1}")]
    WordCount(usize, usize),
    #[error("word of {0} bytes, the limit is {1}")]
    WordTooLong(usize, usize),
    #[error("connection ended within a command")]
    Truncated,
    #[error(transparent)]
    Io(#[from] IoError),
}

#[derive(Debug, Error)]
#[error(transparent)]
pub struct IoError(std::io::Error);

impl PartialEq for IoError {
    fn eq(&self, other: &IoError) -> bool {
        self.0.kind() == other.0.kind()
    }
}

impl From<std::io::Error> for RespError {
    fn from(e: std::io::Error) -> RespError {
        RespError::Io(IoError(e))
    }
}

/// Decodes commands, which are arrays of words.
#[derive(Clone, Copy, Debug)]
pub struct CommandDecoder {
    pub max_words: usize,
    /// The longest accepted word, in bytes.
    pub max_word_len: usize,
}

/// Bytes of a length header: its type byte, its digits and CR LF.
const MAX_HEADER_LEN: usize = 12;

/// Parses `<type><number>\r\n` at `at`. Returns the number and the offset after the header, or `None` if it is
/// incomplete.
fn header(
    src: &[u8], at: usize, type_byte: u8, expected: &'static str,
) -> Result<Option<(usize, usize)>, RespError> {
    let Some(&first) = src.get(at) else { return Ok(None) };
    if first != type_byte {
        return Err(RespError::Unexpected(char::from(first), expected));
    }
    let rest = &src[at + 1..src.len().min(at + MAX_HEADER_LEN)];
    let Some(end) = rest.iter().position(|b| *b == b'\r') else {
        let invalid = rest.len() + 1 == MAX_HEADER_LEN || !rest.iter().all(u8::is_ascii_digit);
        return if invalid { Err(RespError::InvalidNumber) } else { Ok(None) };
    };
    let digits = std::str::from_utf8(&rest[..end]).map_err(|_| RespError::InvalidNumber)?;
    let is_decimal = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    let number = digits.parse().ok().filter(|_| is_decimal).ok_or(RespError::InvalidNumber)?;
    let after = at + 1 + end + 1;
    match src.get(after) {
        None => Ok(None),
        Some(b'\n') => Ok(Some((number, after + 1))),
        Some(other) => Err(RespError::Unexpected(char::from(*other), "the end of a line")),
    }
}

/// Where the words of a complete command lie in the bytes received.
#[derive(Clone, Debug)]
pub struct CommandLayout {
    words: Vec<(usize, usize)>,
    /// Length of the whole command in bytes.
    pub len: usize,
}

impl CommandLayout {
    /// The words, as slices of `command`, which holds the whole command.
    pub fn words(&self, command: &Bytes) -> Vec<Bytes> {
        self.words.iter().map(|(begin, end)| command.slice(*begin..*end)).collect()
    }
}

/// The result of parsing the bytes received so far.
#[derive(Clone, Debug)]
pub enum ParsedCommand {
    Complete(CommandLayout),
    /// The command needs at least `needed` bytes, from its first one on.
    Incomplete {
        needed: usize,
    },
}

impl CommandDecoder {
    /// Parses the command that `src` begins with.
    pub fn parse(&self, src: &[u8]) -> Result<ParsedCommand, RespError> {
        let incomplete = |needed: usize| Ok(ParsedCommand::Incomplete { needed: needed.max(src.len() + 1) });
        let Some((count, mut at)) = header(src, 0, b'*', "a command")? else { return incomplete(0) };
        if count == 0 || count > self.max_words {
            return Err(RespError::WordCount(count, self.max_words));
        }
        let mut words = Vec::with_capacity(count);
        for _ in 0..count {
            let Some((length, begin)) = header(src, at, b'$', "a word")? else { return incomplete(0) };
            if length > self.max_word_len {
                return Err(RespError::WordTooLong(length, self.max_word_len));
            }
            let end = begin + length;
            if src.len() < end + 2 {
                return incomplete(end + 2);
            }
            if &src[end..end + 2] != b"\r\n" {
                return Err(RespError::Unexpected(char::from(src[end]), "the end of a word"));
            }
            words.push((begin, end));
            at = end + 2;
        }
        Ok(ParsedCommand::Complete(CommandLayout { words, len: at }))
    }
}

impl Decoder for CommandDecoder {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
        match self.parse(src)? {
            ParsedCommand::Complete(layout) => {
                let command = src.split_to(layout.len).freeze();
                Ok(Some(layout.words(&command)))
            }
            ParsedCommand::Incomplete { needed } => {
                src.reserve(needed - src.len());
                Ok(None)
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
        match self.decode(src)? {
            None if !src.is_empty() => Err(RespError::Truncated),
            command => Ok(command),
        }
    }
}

/// Encodes a command or a reply as an array of bulk strings.
pub fn encode_array(words: &[&[u8]]) -> Bytes {
    let mut array = BytesMut::with_capacity(words.iter().map(|w| w.len() + 16).sum());
    array.put_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        array.put_slice(format!("${}\r\n", word.len()).as_bytes());
        array.put_slice(word);
        array.put_slice(b"\r\n");
    }
    array.freeze()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    const BOUNDS: CommandDecoder = CommandDecoder { max_words: 6, max_word_len: 64 };

    #[test_case(b"*2\r\n$4\r\nPING\r\n$-1\r\n" ; "a negative length")]
    #[test_case(b"*2\r\n$4\r\nPING\r\n$99999999999999\r\n" ; "a length beyond memory")]
    #[test_case(b"*2\r\n$65\r\n" ; "a word over the bound, before its first byte")]
    #[test_case(b"*7\r\n" ; "too many words")]
    #[test_case(b"*0\r\n" ; "an empty array")]
    #[test_case(b"*1\r\n$2\r\nabc\r\n" ; "a length that does not match")]
    #[test_case(b"GET / HTTP/1.1\r\n" ; "another protocol")]
    #[test_case(b"*1\rx" ; "CR without LF")]
    fn malformed_commands_are_rejected_at_once(bytes: &[u8]) {
        assert!(BOUNDS.clone().decode(&mut BytesMut::from(bytes)).is_err());
    }

    proptest! {
        #[test]
        fn encoded_arrays_are_decoded_wherever_they_are_split(
            words in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..64), 1..6), split in 0usize..400
        ) {
            let word_slices: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
            let bytes = encode_array(&word_slices);
            let (mut src, mut codec) = (BytesMut::from(&bytes[..split.min(bytes.len() - 1)]), BOUNDS);
            prop_assert_eq!(codec.decode(&mut src), Ok(None));
            src.extend_from_slice(&bytes[src.len()..]);
            let decoded = codec.decode(&mut src).unwrap().unwrap();
            prop_assert_eq!(decoded, words);
            prop_assert!(src.is_empty());
        }

        #[test]
        fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = BOUNDS.clone().decode(&mut BytesMut::from(&bytes[..]));
        }
    }
}
