//! Client of the relay's submission protocol.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

/// Returns the bytes of an `OUT.ADD` request; `parameters` are comma-separated, as `c=any,d=8000,dest=7`.
pub(crate) fn submit_request(id: &str, key: u64, parameters: &str, body: &[u8]) -> Vec<u8> {
    let key = format!("{key:016x}");
    let words = [b"OUT.ADD", key.as_bytes(), id.as_bytes(), parameters.as_bytes(), body];
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend(word);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// A connection of a client.
pub(crate) struct Client(pub BufReader<TcpStream>);

impl Client {
    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("send the request");
    }

    /// Reads one reply line without its line end; empty once the connection is closed.
    pub(crate) fn read_reply(&mut self) -> String {
        let mut line = String::new();
        let _ = self.0.read_line(&mut line);
        line.trim_end().to_string()
    }

    /// Sends the bytes and reads one reply line.
    pub(crate) fn request(&mut self, bytes: &[u8]) -> String {
        self.send(bytes);
        self.read_reply()
    }
}
