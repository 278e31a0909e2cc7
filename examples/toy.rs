//! Test environment for trying the relay. `cargo run --example toy -- serve` runs endpoint discovery and two
//! destinations: 7 (steady) always succeeds, 8 (shaky) fails during ten seconds of every twenty. `-- send 20` submits
//! twenty messages.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const RELAY: &str = "127.0.0.1:6390";
const DISCOVERY: &str = "127.0.0.1:8500";

/// Destination with one endpoint, as discovery lists it.
struct Destination {
    number: u32,
    kind: &'static str,
    address: &'static str,
}

const STEADY: Destination = Destination { number: 7, kind: "steady", address: "127.0.0.1:8607" };
const SHAKY: Destination = Destination { number: 8, kind: "shaky", address: "127.0.0.1:8608" };

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["serve"] => serve(),
        ["send", count] => send(count.parse().unwrap_or(1)),
        _ => {
            eprintln!("usage: toy serve | toy send COUNT");
            std::process::exit(2)
        }
    }
}

/// Serves the destinations and discovery until the process is stopped.
fn serve() -> std::io::Result<()> {
    let start = Instant::now();
    spawn_server(STEADY.address, |path, body| answer_call(&STEADY, path, body, false))?;
    spawn_server(SHAKY.address, move |path, body| {
        let fails = start.elapsed().as_secs() % 20 < 10;
        answer_call(&SHAKY, path, body, fails)
    })?;
    println!("discovery on {DISCOVERY}; stop with ctrl-C");
    spawn_server(DISCOVERY, answer_discovery)?.join().expect("the server thread does not panic");
    Ok(())
}

/// Returns a destination's response to a call of the relay.
fn answer_call(destination: &Destination, path: &str, body: &[u8], fails: bool) -> (u16, String) {
    let outcome = if fails { "fails" } else { "delivered" };
    println!("{}: {path}, {} bytes, {outcome}", destination.kind, body.len());
    if fails {
        return (500, String::new());
    }
    let outcomes = if path.ends_with("many") { delivered_lines(body) } else { String::new() };
    (200, outcomes)
}

/// Returns the outcome lines for a call with several messages. In the body each message is a line with id, key and
/// length, followed by its bytes.
fn delivered_lines(body: &[u8]) -> String {
    let mut rest = body;
    let mut outcomes = String::new();
    while let Some(line_end) = rest.windows(2).position(|pair| pair == b"\r\n") {
        let line = String::from_utf8_lossy(&rest[..line_end]).into_owned();
        let length: usize = line.rsplit(' ').next().and_then(|number| number.parse().ok()).unwrap_or(0);
        let id = line.split(' ').next().unwrap_or("-");
        outcomes += &format!("{id} delivered\r\n");
        rest = rest.get(line_end + 2 + length + 2..).unwrap_or(&[]);
    }
    outcomes
}

/// Returns responses of discovery, and of the platform that receives notifications of an end.
fn answer_discovery(path: &str, body: &[u8]) -> (u16, String) {
    if path == "/status" {
        print!("notifications: {}", String::from_utf8_lossy(body));
        return (204, String::new());
    }
    // The list never changes, so a call that waits for changes lasts for the requested time.
    if path.contains("index=1&") {
        let wait = path.rsplit("wait=").next().and_then(|ms| ms.parse().ok()).unwrap_or(1_000);
        thread::sleep(Duration::from_millis(wait));
        return (200, r#"{"revision":1,"complete":false,"members":[]}"#.into());
    }
    let members = format!("{},{}", list_entry(&STEADY), list_entry(&SHAKY));
    (200, format!(r#"{{"revision":1,"complete":true,"members":[{members}]}}"#))
}

/// Returns the entry of a destination's endpoint in the endpoint list.
fn list_entry(destination: &Destination) -> String {
    let Destination { number, kind, address } = destination;
    format!(
        r#"{{"id":"s-{kind}","host_port":"{address}","locality":"here","flavor":"{kind}","cell":{number},"#
    ) + r#""phase":"Ready","size":50.0,"up_since_ms":0}"#
}

/// Serves HTTP requests on an address, with a thread for each connection.
fn spawn_server(
    address: &str,
    answer: impl Fn(&str, &[u8]) -> (u16, String) + Clone + Send + 'static,
) -> std::io::Result<thread::JoinHandle<()>> {
    let listener = TcpListener::bind(address)?;
    Ok(thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_connection(stream, answer));
        }
    }))
}

fn serve_connection(
    mut stream: TcpStream,
    answer: impl Fn(&str, &[u8]) -> (u16, String),
) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut path = String::new();
        let mut length = 0;
        let mut line = String::new();
        while reader.read_line(&mut line)? > 0 && line != "\r\n" {
            let header = line.trim().to_ascii_lowercase();
            if path.is_empty() {
                path = line.split(' ').nth(1).unwrap_or("/").to_string();
            } else if let Some(number) = header.strip_prefix("content-length: ") {
                length = number.parse().unwrap_or(0);
            }
            line.clear();
        }
        if path.is_empty() {
            return Ok(());
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (status, text) = answer(&path, &body);
        write!(stream, "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{text}", text.len())?;
    }
}

/// Submits messages to the relay and prints its replies. Every fourth is a payment, which keeps order, to the shaky
/// destination.
fn send(count: u64) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(RELAY)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let process = std::process::id();
    for number in 0..count {
        let is_payment = number % 4 == 3;
        let class = if is_payment { "payment" } else { "status" };
        let deadline_ms = if is_payment { 20_000 } else { 8_000 };
        let destination = if is_payment || number % 2 == 1 { SHAKY.number } else { STEADY.number };
        let key = if is_payment { "00000000000000a1" } else { "0000000000000000" };
        let id = format!("{process:08x}{number:08x}");
        let metadata = format!("c={class},d={deadline_ms},dest={destination}");
        let words = ["OUT.ADD", key, &id, &metadata, "hi"];
        write!(stream, "*{}\r\n", words.len())?;
        for word in words {
            write!(stream, "${}\r\n{word}\r\n", word.len())?;
        }
        let mut reply = String::new();
        reader.read_line(&mut reply)?;
        println!("{class} {number} for {destination}: {}", reply.trim());
    }
    Ok(())
}
