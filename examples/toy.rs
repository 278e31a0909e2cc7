//! Something to try the relay with: `cargo run --example toy -- serve` plays discovery and two destinations,
//! one steady (7) and one that fails for ten seconds of every twenty (8); `-- send 20` hands twenty messages in.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const RELAY: &str = "127.0.0.1:6390";
const DISCOVERY: &str = "127.0.0.1:8500";
const DESTINATIONS: [(&str, &str, u32); 2] =
    [("127.0.0.1:8607", "steady", 7), ("127.0.0.1:8608", "shaky", 8)];

fn main() -> std::io::Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["serve"] => serve(),
        ["send", count] => send(count.parse().unwrap_or(1)),
        _ => {
            eprintln!("usage: toy serve | toy send COUNT");
            std::process::exit(2)
        }
    }
}

fn serve() -> std::io::Result<()> {
    let start = Instant::now();
    for (address, kind, _) in DESTINATIONS {
        let shaky = kind == "shaky";
        spawn(address, move |path, body| {
            let fails = shaky && start.elapsed().as_secs() % 20 < 10;
            println!("{kind}: {path}, {} bytes, {}", body.len(), if fails { "fails" } else { "delivered" });
            // Several in a call: each is a line with id, key and length, then its bytes.
            let (mut rest, mut ends) = (body, String::new());
            while let Some(end) =
                rest.windows(2).position(|w| w == b"\r\n").filter(|_| path.ends_with("many"))
            {
                let line = String::from_utf8_lossy(&rest[..end]).into_owned();
                let length: usize = line.rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                ends += &format!("{} delivered\r\n", line.split(' ').next().unwrap_or("-"));
                rest = rest.get(end + 2 + length + 2..).unwrap_or(&[]);
            }
            if fails { (500, String::new()) } else { (200, ends) }
        })?;
    }
    println!("discovery on {DISCOVERY}; stop with ctrl-C");
    spawn(DISCOVERY, |path, body| {
        if path == "/status" {
            print!("notices: {}", String::from_utf8_lossy(body));
            return (204, String::new());
        }
        // Nothing ever changes after the first list, so a call that waits for news waits its time.
        if path.contains("index=1&") {
            let wait = path.rsplit("wait=").next().and_then(|ms| ms.parse().ok()).unwrap_or(1_000);
            thread::sleep(Duration::from_millis(wait));
            return (200, r#"{"revision":1,"complete":false,"members":[]}"#.into());
        }
        let member = |(address, kind, cell): &(&str, &str, u32)| {
            format!(
                r#"{{"id":"s-{kind}","host_port":"{address}","locality":"here","flavor":"{kind}","cell":{cell},"#
            ) + r#""phase":"Ready","size":50.0,"up_since_ms":0}"#
        };
        let members: Vec<String> = DESTINATIONS.iter().map(member).collect();
        (200, format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, members.join(",")))
    })?
    .join()
    .expect("a server that runs for good");
    Ok(())
}

/// Answers HTTP requests on an address, a thread for each connection.
fn spawn(
    address: &str,
    answer: impl Fn(&str, &[u8]) -> (u16, String) + Clone + Send + 'static,
) -> std::io::Result<thread::JoinHandle<()>> {
    let listener = TcpListener::bind(address)?;
    Ok(thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || converse(stream, answer));
        }
    }))
}

fn converse(mut stream: TcpStream, answer: impl Fn(&str, &[u8]) -> (u16, String)) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut path, mut length, mut line) = (String::new(), 0, String::new());
        while reader.read_line(&mut line)? > 0 && line != "\r\n" {
            let lower = line.trim().to_ascii_lowercase();
            if path.is_empty() {
                path = line.split(' ').nth(1).unwrap_or("/").to_string();
            } else if let Some(n) = lower.strip_prefix("content-length: ") {
                length = n.parse().unwrap_or(0);
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

fn send(count: u64) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(RELAY)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let run = std::process::id();
    for n in 0..count {
        let (class, time, dst) =
            if n % 4 == 3 { ("payment", 20_000, 8) } else { ("status", 8_000, 7 + n % 2) };
        let key = if class == "payment" { "00000000000000a1" } else { "0000000000000000" };
        let words =
            ["OUT.ADD", key, &format!("{run:08x}{n:08x}"), &format!("c={class},d={time},dest={dst}"), "hi"];
        write!(stream, "*{}\r\n", words.len())?;
        words.iter().try_for_each(|word| write!(stream, "${}\r\n{word}\r\n", word.len()))?;
        let mut said = String::new();
        reader.read_line(&mut said)?;
        println!("{class} {n} for {dst}: {}", said.trim());
    }
    Ok(())
}
