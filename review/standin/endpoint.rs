//! Stand-in of an endpoint: takes `POST /receive`, one call at a time on each connection.

use crate::http;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the endpoint does with a call.
#[derive(Clone)]
pub enum Answer {
    /// Runs the message, takes this long, and answers 200.
    Run(Duration),
    /// Answers this status with these header lines; the message does not run.
    Refuse(u16, String),
    /// Runs the message and answers with interim answers (1xx) that never end: this many bytes at most.
    EndlessInterim(u64),
}

/// A call as the endpoint got it.
#[derive(Clone, Debug)]
pub struct Call {
    /// When its last byte had come.
    pub at: Duration,
    pub endpoint: String,
    pub id: String,
    pub body: String,
    pub ran: bool,
    /// When its answer was written.
    pub answered_at: Option<Duration>,
}

#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Endpoint {
    /// Starts an endpoint; `choose` gets the message's id and the number of calls before.
    pub fn start(
        record: &Record,
        name: &str,
        choose: impl Fn(&str, usize) -> Answer + Send + Sync + 'static,
    ) -> Endpoint {
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let (shared, record, own_name) = (calls.clone(), record.clone(), name.to_string());
        let address =
            http::serve(move |stream| serve_connection(stream, &own_name, &choose, &shared, &record));
        Endpoint { name: name.to_string(), address, calls }
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }
}

fn serve_connection(
    mut stream: TcpStream,
    name: &str,
    choose: &(impl Fn(&str, usize) -> Answer + Send + Sync + 'static),
    calls: &Mutex<Vec<Call>>,
    record: &Record,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    while let Some(request) = http::read_request(&mut reader) {
        let id = request.headers.get("x-request-id").cloned().unwrap_or_default();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if request.method != "POST" || request.target != "/receive" || id.is_empty() {
            let status = if request.method == "POST" { 400 } else { 404 };
            if http::write_answer(&mut stream, status, "", "").is_err() {
                return;
            }
            continue;
        }
        let (index, answer) = {
            let mut calls = calls.lock().unwrap();
            let answer = choose(&id, calls.len());
            let ran = !matches!(answer, Answer::Refuse(..));
            let call = Call {
                at: record.elapsed(),
                endpoint: name.to_string(),
                id: id.clone(),
                body: body.clone(),
                ran,
                answered_at: None,
            };
            calls.push(call);
            (calls.len() - 1, answer)
        };
        record.line(format!("{name}: call of message {id}, body {body:?}"));
        let written = match answer {
            Answer::Run(pace) => {
                thread::sleep(pace);
                record.line(format!("{name}: message {id} ran, answers 200"));
                http::write_answer(&mut stream, 200, "", "")
            }
            Answer::Refuse(status, headers) => {
                record.line(format!("{name}: message {id} did not run, answers {status} {}", headers.trim()));
                http::write_answer(&mut stream, status, &headers, "")
            }
            Answer::EndlessInterim(limit) => {
                record.line(format!("{name}: message {id} ran, answers 1xx without end"));
                let sent = write_interim(&mut stream, limit);
                record.line(format!("{name}: the answer to {id} ended after {sent} bytes"));
                return;
            }
        };
        if written.is_err() {
            return;
        }
        calls.lock().unwrap()[index].answered_at = Some(record.elapsed());
    }
}

/// Writes interim answers until the connection ends or `limit` bytes are sent; returns the number of bytes sent.
fn write_interim(stream: &mut TcpStream, limit: u64) -> u64 {
    let block = "HTTP/1.1 102 Processing\r\n\r\n".repeat(8 * 1024);
    let started = Instant::now();
    let mut sent = 0;
    while sent < limit && started.elapsed() < Duration::from_secs(100) {
        match stream.write(block.as_bytes()) {
            // A write may stop within an interim answer; the next one goes on with its rest.
            Ok(written) => {
                sent += written as u64;
                let rest = &block.as_bytes()[written..];
                if stream.write_all(rest).is_err() {
                    return sent;
                }
                sent += rest.len() as u64;
            }
            Err(_) => return sent,
        }
    }
    sent
}
