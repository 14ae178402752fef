//! RESP as clients speak it: arrays of bulk strings within bounds. A general reader of RESP would wait for whatever
//! length it is told; here a length over the bound is an error before a byte of it is read.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;
use tokio_util::codec::Decoder;

#[derive(Debug, Error, PartialEq)]
pub enum RespError {
    #[error("'{0}' where {1} was due")]
    Unexpected(char, &'static str),
    #[error("a number that cannot be read")]
    InvalidNumber,
    #[error("{0} words, {1} are taken at most")]
    WordCount(usize, usize),
    #[error("a word of {0} bytes, {1} are taken at most")]
    WordTooLong(usize, usize),
    #[error("ended within a command")]
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

/// Reads commands: rows of words.
#[derive(Clone, Copy, Debug)]
pub struct CommandDecoder {
    pub max_words: usize,
    /// The longest word, in bytes.
    pub max_word_len: usize,
}

/// A length's digits, its mark and its line's end.
const MOST_HEAD: usize = 12;

/// `<mark><number>\r\n` at `at`: the number, and where what follows begins. None: not all of it has come.
fn head(src: &[u8], at: usize, mark: u8, due: &'static str) -> Result<Option<(usize, usize)>, RespError> {
    let Some(&first) = src.get(at) else { return Ok(None) };
    if first != mark {
        return Err(RespError::Unexpected(char::from(first), due));
    }
    let rest = &src[at + 1..src.len().min(at + MOST_HEAD)];
    let Some(end) = rest.iter().position(|b| *b == b'\r') else {
        let whole = rest.len() + 1 == MOST_HEAD || !rest.iter().all(u8::is_ascii_digit);
        return if whole { Err(RespError::InvalidNumber) } else { Ok(None) };
    };
    let digits = std::str::from_utf8(&rest[..end]).map_err(|_| RespError::InvalidNumber)?;
    let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    let number = digits.parse().ok().filter(|_| plain).ok_or(RespError::InvalidNumber)?;
    let after = at + 1 + end + 1;
    match src.get(after) {
        None => Ok(None),
        Some(b'\n') => Ok(Some((number, after + 1))),
        Some(other) => Err(RespError::Unexpected(char::from(*other), "a line's end")),
    }
}

impl Decoder for CommandDecoder {
    type Item = Vec<Bytes>;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
        let Some((count, mut at)) = head(src, 0, b'*', "a command")? else { return Ok(None) };
        if count == 0 || count > self.max_words {
            return Err(RespError::WordCount(count, self.max_words));
        }
        let mut words = [(0, 0); 16];
        for word in words.get_mut(..count).ok_or(RespError::WordCount(count, 16))? {
            let Some((length, begin)) = head(src, at, b'$', "a word")? else { return Ok(None) };
            if length > self.max_word_len {
                return Err(RespError::WordTooLong(length, self.max_word_len));
            }
            let end = begin + length;
            if src.len() < end + 2 {
                src.reserve(end + 2 - src.len());
                return Ok(None);
            }
            if &src[end..end + 2] != b"\r\n" {
                return Err(RespError::Unexpected(char::from(src[end]), "a word's end"));
            }
            (*word, at) = ((begin, end), end + 2);
        }
        let whole = src.split_to(at).freeze();
        Ok(Some(words[..count].iter().map(|(begin, end)| whole.slice(*begin..*end)).collect()))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
        match self.decode(src)? {
            None if !src.is_empty() => Err(RespError::Truncated),
            command => Ok(command),
        }
    }
}

/// A command or an answer, as it is written.
pub fn encode_array(words: &[&[u8]]) -> Bytes {
    let mut row = BytesMut::with_capacity(words.iter().map(|w| w.len() + 16).sum());
    row.put_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        row.put_slice(format!("${}\r\n", word.len()).as_bytes());
        row.put_slice(word);
        row.put_slice(b"\r\n");
    }
    row.freeze()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    const BOUNDS: CommandDecoder = CommandDecoder { max_words: 6, max_word_len: 64 };

    #[test_case(b"*2\r\n$4\r\nPING\r\n$-1\r\n" ; "a negative length")]
    #[test_case(b"*2\r\n$4\r\nPING\r\n$99999999999999\r\n" ; "a length that no machine holds")]
    #[test_case(b"*2\r\n$65\r\n" ; "a word over the bound, before a byte of it has come")]
    #[test_case(b"*7\r\n" ; "too many words")]
    #[test_case(b"*0\r\n" ; "no word")]
    #[test_case(b"*1\r\n$2\r\nabc\r\n" ; "a length that does not fit")]
    #[test_case(b"GET / HTTP/1.1\r\n" ; "another protocol")]
    #[test_case(b"*1\rx" ; "a line that ends otherwise")]
    fn what_cannot_be_read_is_an_error_at_once(bytes: &[u8]) {
        assert!(BOUNDS.clone().decode(&mut BytesMut::from(bytes)).is_err());
    }

    proptest! {
        #[test]
        fn rows_are_read_back_however_they_are_cut(
            words in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..64), 1..6), cut in 0usize..400
        ) {
            let rows: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
            let bytes = encode_array(&rows);
            let (mut src, mut codec) = (BytesMut::from(&bytes[..cut.min(bytes.len() - 1)]), BOUNDS);
            prop_assert_eq!(codec.decode(&mut src), Ok(None));
            src.extend_from_slice(&bytes[src.len()..]);
            let read = codec.decode(&mut src).unwrap().unwrap();
            prop_assert_eq!(read, words);
            prop_assert!(src.is_empty());
        }

        #[test]
        fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = BOUNDS.clone().decode(&mut BytesMut::from(&bytes[..]));
        }
    }
}
