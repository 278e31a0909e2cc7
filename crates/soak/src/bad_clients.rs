//! Misbehaving clients: they shut down their sending side, stop in the middle of a request, send many requests at once
//! and disconnect, or exhaust the relay's descriptors.

use crate::client::{ANSWER_TIMEOUT, Answer, Clients, read_line, request};
use mountshift_invariants::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time within which the relay must disconnect a client that stops in the middle of a request.
const INCOMPLETE_REQUEST_LIMIT: Duration = Duration::from_millis(3_000 + 500);
/// Number of commands that a misbehaving client sends at once.
const BURST_COMMANDS: usize = 60;
/// Number of idle connections that a misbehaving client opens.
const IDLE_CONNECTIONS: usize = 40;
/// Number of connections that exhaust a relay's descriptors; more than a relay may have.
const EXHAUSTING_CONNECTIONS: usize = 300;
/// Interval at which connections closed by the relay are replaced while its descriptors are being exhausted.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Time, in microseconds, after which the descriptors are free again. The connections are closed one by one.
const EXHAUSTION_AFTEREFFECT: Time = 1_000_000;

/// Runs misbehaving clients of a relay until `until`.
pub(crate) async fn misbehave(clients: Arc<Clients>, relay: usize, until: Instant, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(900_000 + relay as u64);
    let idle = open_idle(&clients, relay).await;
    while Instant::now() < until {
        shut_sending_side(&clients, relay, &mut random).await;
        send_burst(&clients, relay).await;
        smol::spawn(stop_mid_request(clients.clone(), relay)).detach();
        Timer::after(Duration::from_millis(random.random_range(20..200))).await;
    }
    drop(idle);
}

/// Exhausts the relay's descriptors by idle connections until `until`, and replaces those that the relay closes.
pub(crate) async fn exhaust_descriptors(clients: Arc<Clients>, relay: usize, until: Instant) {
    clients.set_descriptors_exhausted_until(relay, Time::MAX);
    let mut idle: Vec<TcpStream> = Vec::new();
    while Instant::now() < until {
        idle.retain(|stream| !is_closed(stream));
        while idle.len() < EXHAUSTING_CONNECTIONS {
            match TcpStream::connect(clients.relays[relay].listen).await {
                Ok(stream) => idle.push(stream),
                Err(_) => break,
            }
        }
        Timer::after(RECONNECT_INTERVAL).await;
    }
    drop(idle);
    clients.set_descriptors_exhausted_until(relay, clients.recorder.now() + EXHAUSTION_AFTEREFFECT);
}

/// Returns whether the relay has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let socket = socket2::SockRef::from(stream);
    let mut byte = [std::mem::MaybeUninit::uninit()];
    match socket.peek(&mut byte) {
        Ok(read) => read == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

async fn open_idle(clients: &Clients, relay: usize) -> Vec<TcpStream> {
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.extend(TcpStream::connect(clients.relays[relay].listen).await);
    }
    idle
}

/// Submits a message and shuts down the sending side shortly after it. The relay must still answer.
async fn shut_sending_side(clients: &Clients, relay: usize, random: &mut ChaCha8Rng) {
    let submission = clients.draw_submission(relay, 0, random);
    let Ok(mut stream) = TcpStream::connect(clients.relays[relay].listen).await else {
        return clients.record_answer(submission.number, Answer::Missing);
    };
    let written_at = clients.recorder.now();
    let pause = Duration::from_micros(random.random_range(0..8_000));
    let answer = async {
        stream.write_all(&submission.bytes).await.ok()?;
        Timer::after(pause).await;
        stream.shutdown(Shutdown::Write).ok()?;
        read_line(&mut stream).await.ok()
    };
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        Some("late".to_string())
    };
    let answer = match answer.or(timeout).await.as_deref() {
        Some(line) if line.starts_with('+') => Answer::Accepted,
        Some(line) if line.starts_with('-') => Answer::NotAccepted,
        Some("late") => Answer::TimedOut,
        _ => Answer::Missing,
    };
    if answer == Answer::Missing {
        clients.record_unanswered(relay, submission.number, written_at);
    }
    clients.record_answer(submission.number, answer);
}

/// Sends many commands at once and closes the connection without reading the answers.
async fn send_burst(clients: &Clients, relay: usize) {
    if let Ok(mut stream) = TcpStream::connect(clients.relays[relay].listen).await {
        let _ = stream.write_all(&request(&["PING"]).repeat(BURST_COMMANDS)).await;
    }
}

/// Stops in the middle of a request and keeps the connection open. The relay must close it in time.
async fn stop_mid_request(clients: Arc<Clients>, relay: usize) {
    let Ok(mut stream) = TcpStream::connect(clients.relays[relay].listen).await else { return };
    let started_at = clients.recorder.now();
    if stream.write_all(b"*5\r\n$7\r\nOUT.").await.is_err() {
        return;
    }
    let closed = async {
        let mut bytes = [0; 256];
        while matches!(stream.read(&mut bytes).await, Ok(read) if read > 0) {}
        true
    };
    let timeout = async {
        Timer::after(INCOMPLETE_REQUEST_LIMIT).await;
        false
    };
    if !closed.or(timeout).await && !clients.relays[relay].tolerates_missing_answer_since(started_at) {
        clients.relays[relay].record_process_event(format!(
            "did not disconnect a client within {INCOMPLETE_REQUEST_LIMIT:?} of an incomplete request"
        ));
    }
}
