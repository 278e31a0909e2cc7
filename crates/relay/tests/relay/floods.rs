//! Peers that send without end and as fast as the relay reads. The relay has one thread: whatever one peer sends, clients
//! must get their answers and messages must reach the other destinations in time.

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time for which a client waits for an answer, by the protocol.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Duration of the measurement.
const FLOOD_DURATION: Duration = Duration::from_millis(1_500);
/// Size of the block that a flooding peer writes at once.
const BLOCK_BYTES: usize = 32 * 1024;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Part of a response that never ends.
#[derive(Clone, Copy, Debug)]
enum Endless {
    InterimResponses,
    Head,
    SmallChunks,
    ChunkExtensions,
    Body,
    Trailers,
}

impl Endless {
    /// Returns the response: its beginning, and a flood of the part that never ends.
    fn response(self) -> ServerAction {
        let (begin, unit) = match self {
            Endless::InterimResponses => ("", "HTTP/1.1 102 Processing\r\n\r\n".to_string()),
            Endless::Head => ("HTTP/1.1 200 OK\r\n", "X-More: 1\r\n".into()),
            Endless::SmallChunks => (CHUNKED, "1\r\nx\r\n".into()),
            Endless::ChunkExtensions => (CHUNKED, format!("1;{}\r\nx\r\n", "e".repeat(9_000))),
            Endless::Body => ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "x".into()),
            Endless::Trailers => (CHUNKED, "Sum: 5f3a\r\n".into()),
        };
        let begin =
            if matches!(self, Endless::Trailers) { format!("{begin}0\r\n") } else { begin.to_string() };
        let block = unit.repeat(BLOCK_BYTES.div_ceil(unit.len()));
        ServerAction::Script(vec![Step::Write(begin.into_bytes()), Step::Flood(block.into_bytes())])
    }
}

/// Peer that sends the endless response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Peer {
    Endpoint,
    Discovery,
    /// The receiver of notifications.
    Platform,
}

/// Returns the longest time that a PING took during the flood.
fn longest_ping(relay: SocketAddr) -> Duration {
    let mut client = Client(BufReader::new(TcpStream::connect(relay).expect("connect")));
    let (until, mut longest) = (Instant::now() + FLOOD_DURATION, Duration::ZERO);
    while Instant::now() < until {
        let sent_at = Instant::now();
        assert_eq!(client.request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
        longest = longest.max(sent_at.elapsed());
        thread::sleep(ms(10));
    }
    longest
}

// Guards against a relay that stands still while one peer sends: a destination answered one call with interim responses
// without end, no PING was answered, and messages of all other destinations were lost.
#[test_case(Endless::InterimResponses, Peer::Endpoint; "interim responses of an endpoint")]
#[test_case(Endless::InterimResponses, Peer::Discovery; "interim responses of discovery")]
#[test_case(Endless::InterimResponses, Peer::Platform; "interim responses of the platform")]
#[test_case(Endless::SmallChunks, Peer::Discovery; "small chunks of discovery")]
#[test_case(Endless::ChunkExtensions, Peer::Endpoint; "chunk extensions of an endpoint")]
#[test_case(Endless::Head, Peer::Endpoint; "head of an endpoint")]
#[test_case(Endless::Body, Peer::Discovery; "body of discovery")]
#[test_case(Endless::Trailers, Peer::Platform; "trailers of the platform")]
fn relay_serves_others_while_a_response_never_ends(endless: Endless, peer: Peer) {
    let sound = Server::start(|_| ok());
    let flooding =
        Server::start(
            move |_| if peer == Peer::Endpoint { endless.response() } else { respond(500, "", "") },
        );
    let members = vec![member("e1", sound.address, 7, "single"), member("e2", flooding.address, 8, "single")];
    let platform = Server::start(move |request| match (request.path.as_str(), peer) {
        ("/status", Peer::Platform) => endless.response(),
        ("/status", _) => respond(204, "", ""),
        (_, Peer::Discovery) => endless.response(),
        _ => ServerAction::Hang,
    });
    let mut fixture = fixture(0, members);
    fixture.config["discovery"] = platform.address.to_string().into();
    let relay = fixture.start_relay();
    // The second message fails, so that the platform gets a notification.
    assert_eq!(relay.submit("m1", 0, "c=once,d=8000,dest=8", b"x"), "+OK");
    assert_eq!(relay.submit("m2", 0, "c=once,d=8000,dest=8", b"x"), "+OK");
    let listen = relay.listen;
    let pings = thread::spawn(move || longest_ping(listen));
    assert_eq!(relay.submit("m3", 0, "c=once,d=2000,dest=7", b"x"), "+OK");
    let longest = pings.join().expect("pings");
    assert!(longest < ANSWER_TIMEOUT, "a PING took {longest:?}");
    wait_until_within(ms(2_000), "the call to the sound destination", || sound.ids() == ["m3"]);
}

/// What clients do without end.
#[derive(Clone, Copy, Debug)]
enum ClientFlood {
    /// Connect and disconnect.
    Connections,
    /// Send PINGs and read the answers in another thread.
    Pings,
}

/// Number of clients that flood the relay.
const FLOODING_CLIENTS: usize = 3;

fn flood(relay: SocketAddr, flood: ClientFlood, is_over: &AtomicBool) {
    let stream = TcpStream::connect(relay).expect("connect");
    let mut answers = stream.try_clone().expect("a stream");
    let reader = thread::spawn(move || {
        let mut bytes = [0; 64 * 1024];
        while matches!(answers.read(&mut bytes), Ok(read) if read > 0) {}
    });
    while !is_over.load(Ordering::SeqCst) {
        match flood {
            ClientFlood::Connections => drop(TcpStream::connect(relay)),
            ClientFlood::Pings => drop((&stream).write_all(&b"*1\r\n$4\r\nPING\r\n".repeat(8))),
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    reader.join().expect("the reader");
}

// The same for clients. An idle connection may be closed to make room for others, so the sends of messages are measured:
// an endpoint rejects each message once, and the relay has to send it again after the Retry-After.
#[test_case(ClientFlood::Connections; "connections")]
#[test_case(ClientFlood::Pings; "pings")]
fn relay_sends_messages_while_clients_never_pause(kind: ClientFlood) {
    const RETRY_AFTER: Duration = Duration::from_millis(1_000);
    let first = AtomicBool::new(true);
    let endpoint = Server::start(move |_| {
        if first.swap(false, Ordering::SeqCst) { respond(429, "Retry-After: 1.0\r\n", "") } else { ok() }
    });
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=once,d=8000,dest=7", b"x"), "+OK");
    wait_until("the first call", || endpoint.ids().len() == 1);
    let is_over = Arc::new(AtomicBool::new(false));
    let flooding: Vec<_> = (0..FLOODING_CLIENTS)
        .map(|_| {
            let (listen, is_over) = (relay.listen, is_over.clone());
            thread::spawn(move || flood(listen, kind, &is_over))
        })
        .collect();
    wait_until("the second call", || endpoint.ids().len() == 2);
    is_over.store(true, Ordering::SeqCst);
    for client in flooding {
        client.join().expect("a client");
    }
    let requests = endpoint.requests();
    let delay = requests[1].at.duration_since(requests[0].at).saturating_sub(RETRY_AFTER);
    assert!(delay < ANSWER_TIMEOUT, "sent {delay:?} after the Retry-After");
}
