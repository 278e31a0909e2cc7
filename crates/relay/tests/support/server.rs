//! Scripted HTTP server that stands in for endpoints and for discovery.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum duration of a [`Step::Flood`].
const MAX_FLOOD: Duration = Duration::from_secs(6);

/// A request as the server received it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Index of its connection, counted from 0.
    pub connection: usize,
    /// Time of receipt.
    pub at: Instant,
}

impl Request {
    /// Returns whether the request asks for the end of the connection.
    pub(crate) fn asks_to_close(&self) -> bool {
        self.headers.get("connection").is_some_and(|value| value == "close")
    }

    /// Returns the ids of the messages in the request.
    pub(crate) fn ids(&self) -> Vec<String> {
        if let Some(id) = self.headers.get("x-request-id") {
            return vec![id.clone()];
        }
        let (mut rest, mut ids) = (&self.body[..], Vec::new());
        while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let words: Vec<&str> = line.split(' ').collect();
            ids.push(words[0].to_string());
            rest = &rest[end + 2 + words[2].parse::<usize>().expect("a length") + 2..];
        }
        ids
    }
}

/// How a server handles `Connection: close` in a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CloseHandling {
    /// Its response has `Connection: close` too, and the connection ends behind it.
    Announce,
    Ignore,
}

/// Adds `Connection: close` to a response of the server's own if `closes`; scripted heads of other forms stay as they are.
fn announce_close(text: String, closes: bool) -> String {
    if closes { text.replacen("Content-Length:", "Connection: close\r\nContent-Length:", 1) } else { text }
}

/// The server's reaction to a request.
#[derive(Clone, Debug)]
pub(crate) enum ServerAction {
    /// Responds with this text after a delay.
    Respond(String, Duration),
    /// Responds with this text after the first delay, and once more with the same text after the second one, whatever
    /// the connection carries by then.
    RespondTwice(String, Duration, Duration),
    /// Responds, then closes the connection without a `Connection: close` header.
    RespondAndClose(String),
    /// Sends no response for a minute.
    Hang,
    /// Closes the connection without a response.
    Close,
    /// Takes these steps in order, then closes the connection.
    Script(Vec<Step>),
}

/// A step of a scripted response.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Write(Vec<u8>),
    /// Writes these bytes one at a time with this pause between two.
    Drip(Vec<u8>, Duration),
    /// Writes these bytes again and again, as fast as the peer reads them, until it closes the connection.
    Flood(Vec<u8>),
    /// Shuts down the sending side; the server can still read.
    ShutdownWrite,
    /// Waits until the peer closes the connection or its sending side.
    AwaitPeerClose,
    /// Makes the close that follows a reset.
    Reset,
}

/// End of a call at the server: its response was written, or its connection was closed.
#[derive(Clone, Debug)]
pub(crate) struct CallEnd {
    pub ids: Vec<String>,
    pub at: Instant,
}

/// Returns the action that responds at once with this status, these header lines and this body.
pub(crate) fn respond(status: u16, headers: &str, body: &str) -> ServerAction {
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    ServerAction::Respond(text, Duration::ZERO)
}

pub(crate) fn ok() -> ServerAction {
    respond(200, "", "")
}

/// A server that records every request it receives.
#[derive(Clone)]
pub(crate) struct Server {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<Request>>>,
    /// Ends of the calls handled by [`ServerAction::Respond`] or [`ServerAction::Script`].
    pub call_ends: Arc<Mutex<Vec<CallEnd>>>,
}

impl Server {
    /// Starts a server on a free port; `handler` chooses the action for each request.
    pub(crate) fn start(handler: impl Fn(&Request) -> ServerAction + Send + Sync + 'static) -> Server {
        Server::on(TcpListener::bind("127.0.0.1:0").expect("a port"), handler)
    }

    /// Starts a server on this listener.
    pub(crate) fn on(
        listener: TcpListener,
        handler: impl Fn(&Request) -> ServerAction + Send + Sync + 'static,
    ) -> Server {
        Server::with_close_handling(listener, CloseHandling::Announce, handler)
    }

    /// Starts a server that ignores `Connection: close` in requests.
    pub(crate) fn ignoring_close(
        handler: impl Fn(&Request) -> ServerAction + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        Server::with_close_handling(listener, CloseHandling::Ignore, handler)
    }

    fn with_close_handling(
        listener: TcpListener,
        close_handling: CloseHandling,
        handler: impl Fn(&Request) -> ServerAction + Send + Sync + 'static,
    ) -> Server {
        let server = Server {
            address: listener.local_addr().expect("local address"),
            received: Arc::default(),
            call_ends: Arc::default(),
        };
        let (records, handler) = ((server.received.clone(), server.call_ends.clone()), Arc::new(handler));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let ((received, call_ends), handler) = (records.clone(), handler.clone());
                thread::spawn(move || {
                    serve(stream, connection, close_handling, &received, &call_ends, &*handler);
                });
            }
        });
        server
    }

    /// Returns the end of the first call with this message.
    pub(crate) fn first_call_end(&self, id: &str) -> Option<Instant> {
        let call_ends = self.call_ends.lock().expect("lock the ends");
        call_ends.iter().find(|end| end.ids.iter().any(|ended| ended == id)).map(|end| end.at)
    }

    /// Returns the requests in the order of their receipt.
    pub(crate) fn requests(&self) -> Vec<Request> {
        self.received.lock().expect("lock the requests").clone()
    }

    /// Returns the message ids in the order of their receipt.
    pub(crate) fn ids(&self) -> Vec<String> {
        self.requests().iter().flat_map(Request::ids).collect()
    }
}

/// Reads the next request; none at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).unwrap_or(0) == 0 {
        return None;
    }
    let path = line.split(' ').nth(1).unwrap_or_default().to_string();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_string());
    }
    let length = headers.get("content-length").map_or(0, |n| n.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { path, headers, body, connection, at: Instant::now() })
}

/// Handles the requests of one connection.
fn serve(
    mut stream: TcpStream,
    connection: usize,
    close_handling: CloseHandling,
    received: &Mutex<Vec<Request>>,
    call_ends: &Mutex<Vec<CallEnd>>,
    handler: &dyn Fn(&Request) -> ServerAction,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    while let Some(request) = read_request(&mut reader, connection) {
        let closes = close_handling == CloseHandling::Announce && request.asks_to_close();
        received.lock().expect("lock the requests").push(request.clone());
        let record_end = || {
            call_ends.lock().expect("lock the ends").push(CallEnd { ids: request.ids(), at: Instant::now() });
        };
        match handler(&request) {
            ServerAction::Respond(text, delay) => {
                thread::sleep(delay);
                // Recorded before the write, so that requests the peer sends after the response have a later time.
                record_end();
                if stream.write_all(announce_close(text, closes).as_bytes()).is_err() || closes {
                    return;
                }
            }
            ServerAction::RespondTwice(text, delay, _) if closes => {
                thread::sleep(delay);
                return drop(stream.write_all(announce_close(text, closes).as_bytes()));
            }
            ServerAction::RespondTwice(text, delay, copy_delay) => {
                thread::sleep(delay);
                let Ok(mut copy) = stream.try_clone() else { return };
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                thread::spawn(move || {
                    thread::sleep(copy_delay);
                    let _ = copy.write_all(text.as_bytes());
                });
            }
            ServerAction::Script(steps) => {
                for step in steps {
                    run_step(step, &mut stream);
                }
                return record_end();
            }
            ServerAction::RespondAndClose(text) => return drop(stream.write_all(text.as_bytes())),
            ServerAction::Hang => thread::sleep(Duration::from_secs(60)),
            ServerAction::Close => return,
        }
    }
}

fn run_step(step: Step, stream: &mut TcpStream) {
    match step {
        Step::Write(bytes) => drop(stream.write_all(&bytes)),
        Step::Drip(bytes, pause) => {
            for byte in bytes {
                if stream.write_all(&[byte]).is_err() || has_peer_closed(stream, pause) {
                    return;
                }
            }
        }
        Step::Flood(bytes) => {
            let until = Instant::now() + MAX_FLOOD;
            while Instant::now() < until && stream.write_all(&bytes).is_ok() {}
        }
        Step::ShutdownWrite => drop(stream.shutdown(std::net::Shutdown::Write)),
        Step::AwaitPeerClose => while !has_peer_closed(stream, Duration::from_secs(60)) {},
        Step::Reset => {
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Reads once, waiting `limit` at most; returns whether the peer has closed its sending side or the connection.
fn has_peer_closed(stream: &mut TcpStream, limit: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(limit));
    match stream.read(&mut [0; 256]) {
        Ok(read) => read == 0,
        Err(error) => !matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
    }
}

/// Returns a listener with a full accept queue, and the sockets that fill it; dropping these makes room.
pub(crate) fn full_listener() -> (TcpListener, Vec<socket2::Socket>) {
    let socket =
        || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let listener = socket();
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    listener.bind(&any.into()).and_then(|()| listener.listen(0)).expect("a port");
    let listener: TcpListener = listener.into();
    let address = listener.local_addr().expect("local address");
    let fill = |_| {
        let filler = socket();
        filler.set_nonblocking(true).expect("non-blocking mode");
        let _ = filler.connect(&address.into());
        filler
    };
    let fillers = (0..4).map(fill).collect();
    (listener, fillers)
}
