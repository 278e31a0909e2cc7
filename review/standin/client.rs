//! Stand-in of a client: hands in messages over RESP2 and waits 400 ms for each answer, as the protocol says.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time for which a client waits for its answer.
pub const PATIENCE: Duration = Duration::from_millis(400);

/// A message to hand in.
#[derive(Clone, Debug)]
pub struct Message {
    pub key: u64,
    pub id: String,
    pub class: &'static str,
    pub deadline_ms: u64,
    pub destination: u32,
    pub body: String,
}

impl Message {
    fn command(&self) -> Vec<u8> {
        let key = format!("{:016x}", self.key);
        let list = format!("c={},d={},dest={}", self.class, self.deadline_ms, self.destination);
        let mut bytes = b"*5\r\n".to_vec();
        for word in ["OUT.ADD", &key, &self.id, &list, &self.body] {
            bytes.extend(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
        }
        bytes
    }
}

/// Sends one command on a new connection and returns the answer's line; none without an answer in time.
fn ask(address: SocketAddr, command: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(command).ok()?;
    let mut line = String::new();
    let read = BufReader::new(stream).read_line(&mut line).ok()?;
    (read > 0).then(|| line.trim_end().to_string())
}

pub fn ping(address: SocketAddr) -> Option<String> {
    ask(address, b"*1\r\n$4\r\nPING\r\n")
}

/// Hands in a message on a new connection. `who` names the client in the record.
pub fn hand_in(record: &Record, who: &str, address: SocketAddr, message: &Message) -> Option<String> {
    let answer = ask(address, &message.command());
    let Message { id, class, deadline_ms, destination, body, key } = message;
    let shown = answer.as_deref().unwrap_or("no answer");
    record.line(format!(
        "{who}: hands in {id}, key {key:x}, c={class}, d={deadline_ms}, dest={destination}, body {body:?}: {shown}"
    ));
    answer
}
