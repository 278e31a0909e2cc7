//! RESP2: arrays of bulk strings.

use super::submission::BODY_MOST;

const WORDS_MOST: usize = 16;
/// A length or a count is a line of so many bytes at most.
const LINE_MOST: usize = 32;

/// A request: a command and what belongs to it.
pub(super) type Words = Vec<Vec<u8>>;

/// The first request in what came and its size; none while it is not whole.
pub(super) fn request(bytes: &[u8]) -> Result<Option<(Words, usize)>, &'static str> {
    let Some((count, mut at)) = number(bytes, 0, b'*')? else { return Ok(None) };
    if count == 0 || count > WORDS_MOST {
        return Err("invalid multibulk length");
    }
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((length, from)) = number(bytes, at, b'$')? else { return Ok(None) };
        if length > BODY_MOST {
            return Err("invalid bulk length");
        }
        let Some(end) = bytes.get(from + length..from + length + 2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err("a bulk string does not end where it should");
        }
        words.push(bytes[from..from + length].to_vec());
        at = from + length + 2;
    }
    Ok(Some((words, at)))
}

/// A line that holds a number after its mark, and where the next one begins.
fn number(bytes: &[u8], at: usize, mark: u8) -> Result<Option<(usize, usize)>, &'static str> {
    let line = &bytes[at..];
    if line.first().is_some_and(|b| *b != mark) {
        return Err("an array of bulk strings is expected");
    }
    let Some(end) = line.iter().take(LINE_MOST).position(|b| *b == b'\n') else {
        return if line.len() >= LINE_MOST { Err("a length is too long") } else { Ok(None) };
    };
    let digits = line[1..end].strip_suffix(b"\r").ok_or("a length can't be read")?;
    let text = std::str::from_utf8(digits).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
    let n = text.and_then(|t| t.parse().ok()).ok_or("a length can't be read")?;
    Ok(Some((n, at + end + 1)))
}
