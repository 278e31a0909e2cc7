//! Clients of the relay.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

pub(crate) fn submit_request(id: &str, key: u64, list: &str, body: &[u8]) -> Vec<u8> {
    let key = format!("{key:016x}");
    let words = [b"OUT.ADD", key.as_bytes(), id.as_bytes(), list.as_bytes(), body];
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend(word);
        bytes.extend(b"\r\n");
    }
    bytes
}

pub(crate) struct Client(pub BufReader<TcpStream>);

impl Client {
    pub(crate) fn say(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("written");
    }

    /// A line, empty at the end of the connection.
    pub(crate) fn hear(&mut self) -> String {
        let mut line = String::new();
        let _ = self.0.read_line(&mut line);
        line.trim_end().to_string()
    }

    pub(crate) fn ask(&mut self, bytes: &[u8]) -> String {
        self.say(bytes);
        self.hear()
    }
}
