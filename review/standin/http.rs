//! The server side of HTTP/1.1, as far as the stand-ins need it.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads the next request; none at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, headers, body })
}

/// Writes an answer with these header lines, each of which ends in CRLF.
pub fn write_answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

/// Serves each connection in a thread of its own.
pub fn serve(connection: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let connection = std::sync::Arc::new(connection);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let connection = connection.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || connection(stream));
        }
    });
    address
}

/// Makes one call and returns the status and body of the answer, or none without an answer.
pub fn call(address: SocketAddr, method: &str, target: &str) -> Option<(u16, String)> {
    let limit = std::time::Duration::from_millis(1_000);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let text = format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split_whitespace().nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body).trim().to_string();
    Some((status, body))
}
