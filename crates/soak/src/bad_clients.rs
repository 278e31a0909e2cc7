//! Clients that misbehave: end their sending, stop in the middle, send much at once and go, fill the relay's descriptors.

use crate::client::{Answer, Clients, PATIENCE, read_line, request};
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

/// A client that stops in the middle of a request is ended within this time.
const BAD_CLIENT_LIMIT: Duration = Duration::from_millis(3_000 + 500);
/// Commands that a bad client sends at once.
const BURST: usize = 60;
/// Idle connections that a bad client opens.
const IDLE_CONNECTIONS: usize = 40;
/// Connections of a crowd: more than a relay has descriptors for.
const CROWD: usize = 300;
/// Between two looks of a crowd at those that were shut.
const CROWD_PAUSE: Duration = Duration::from_millis(100);
/// A crowd is felt for so long after its end, in microseconds: its connections are closed one by one.
const CROWD_AFTERMATH: Time = 1_000_000;

/// Clients that misbehave at a relay, for a while.
pub(crate) async fn misbehave(clients: Arc<Clients>, relay: usize, until: Instant, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(900_000 + relay as u64);
    let idle = open_idle(&clients, relay).await;
    while Instant::now() < until {
        end_sending(&clients, relay, &mut random).await;
        burst(&clients, relay).await;
        smol::spawn(stop_in_the_middle(clients.clone(), relay)).detach();
        Timer::after(Duration::from_millis(random.random_range(20..200))).await;
    }
    drop(idle);
}

/// Idle clients that fill the relay's descriptors for a while, and come again when they are shut.
pub(crate) async fn crowd(clients: Arc<Clients>, relay: usize, until: Instant) {
    clients.set_crowded_until(relay, Time::MAX);
    let mut idle: Vec<TcpStream> = Vec::new();
    while Instant::now() < until {
        idle.retain(|stream| !is_shut(stream));
        while idle.len() < CROWD {
            match TcpStream::connect(clients.relays[relay].listen).await {
                Ok(stream) => idle.push(stream),
                Err(_) => break,
            }
        }
        Timer::after(CROWD_PAUSE).await;
    }
    drop(idle);
    clients.set_crowded_until(relay, clients.recorder.now() + CROWD_AFTERMATH);
}

/// True if the relay has ended the connection.
fn is_shut(stream: &TcpStream) -> bool {
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

/// A client that ends its sending a moment behind its request gets its answer.
async fn end_sending(clients: &Clients, relay: usize, random: &mut ChaCha8Rng) {
    let submission = clients.submission(relay, 0, random);
    let Ok(mut stream) = TcpStream::connect(clients.relays[relay].listen).await else {
        return clients.note_answer(submission.number, Answer::None);
    };
    let written_at = clients.recorder.now();
    let pause = Duration::from_micros(random.random_range(0..8_000));
    let answer = async {
        stream.write_all(&submission.bytes).await.ok()?;
        Timer::after(pause).await;
        stream.shutdown(Shutdown::Write).ok()?;
        read_line(&mut stream).await.ok()
    };
    let late = async {
        Timer::after(PATIENCE).await;
        Some("late".to_string())
    };
    let answer = match answer.or(late).await.as_deref() {
        Some(line) if line.starts_with('+') => Answer::Accepted,
        Some(line) if line.starts_with('-') => Answer::Refused,
        Some("late") => Answer::Late,
        _ => Answer::None,
    };
    if answer == Answer::None {
        clients.note_unanswered(relay, submission.number, written_at);
    }
    clients.note_answer(submission.number, answer);
}

/// A client that sends much at once and goes.
async fn burst(clients: &Clients, relay: usize) {
    if let Ok(mut stream) = TcpStream::connect(clients.relays[relay].listen).await {
        let _ = stream.write_all(&request(&["PING"]).repeat(BURST)).await;
    }
}

/// A client that stops in the middle of a request and stays: it is ended in time.
async fn stop_in_the_middle(clients: Arc<Clients>, relay: usize) {
    let Ok(mut stream) = TcpStream::connect(clients.relays[relay].listen).await else { return };
    let begun_at = clients.recorder.now();
    if stream.write_all(b"*5\r\n$7\r\nOUT.").await.is_err() {
        return;
    }
    let ended = async {
        let mut bytes = [0; 256];
        while matches!(stream.read(&mut bytes).await, Ok(read) if read > 0) {}
        true
    };
    let late = async {
        Timer::after(BAD_CLIENT_LIMIT).await;
        false
    };
    if !ended.or(late).await && !clients.relays[relay].is_disturbed_since(begun_at) {
        clients.relays[relay].note_process(format!("kept a client that stopped for {BAD_CLIENT_LIMIT:?}"));
    }
}
