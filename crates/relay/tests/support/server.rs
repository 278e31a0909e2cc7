//! HTTP servers: endpoints, and what stands in for others.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request as a server got it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// The connection it came on, and when.
    pub connection: usize,
    pub at: Instant,
}

impl Request {
    /// The ids of the messages in it.
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

/// What a server does with a request.
#[derive(Clone, Debug)]
pub(crate) enum ServerAction {
    /// Answers with these bytes, after a while.
    Say(String, Duration),
    /// Answers, then closes without having said so.
    SayAndClose(String),
    Hang,
    Close,
    /// These steps in order, then the call is over at the latest; the connection carries no other call.
    Play(Vec<Step>),
}

/// A step of an answer that is not a plain one.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Write(Vec<u8>),
    /// These bytes one at a time, with so long between two.
    Drip(Vec<u8>, Duration),
    /// The peer reads the end of the connection, this side goes on reading.
    EndSending,
    /// Until the peer ends the connection, or its sending.
    AwaitPeer,
    Reset,
}

/// When a call was over at its server: its answer was written whole, or its connection ended.
#[derive(Clone, Debug)]
pub(crate) struct CallEnd {
    pub ids: Vec<String>,
    pub at: Instant,
}

pub(crate) fn answer(status: u16, headers: &str, body: &str) -> ServerAction {
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    ServerAction::Say(text, Duration::ZERO)
}

pub(crate) fn ok() -> ServerAction {
    answer(200, "", "")
}

/// A server that keeps every request it got.
#[derive(Clone)]
pub(crate) struct Server {
    pub address: SocketAddr,
    pub got: Arc<Mutex<Vec<Request>>>,
    /// Calls that were answered by [`ServerAction::Say`] or [`ServerAction::Play`] and are over.
    pub ended: Arc<Mutex<Vec<CallEnd>>>,
}

impl Server {
    pub(crate) fn start(act: impl Fn(&Request) -> ServerAction + Send + Sync + 'static) -> Server {
        Server::on(TcpListener::bind("127.0.0.1:0").expect("a port"), act)
    }

    pub(crate) fn on(
        listener: TcpListener,
        act: impl Fn(&Request) -> ServerAction + Send + Sync + 'static,
    ) -> Server {
        let server = Server {
            address: listener.local_addr().expect("an address"),
            got: Arc::default(),
            ended: Arc::default(),
        };
        let (logs, act) = ((server.got.clone(), server.ended.clone()), Arc::new(act));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let ((got, ended), act) = (logs.clone(), act.clone());
                thread::spawn(move || serve(stream, connection, &got, &ended, &*act));
            }
        });
        server
    }

    /// When the first call with this message was over.
    pub(crate) fn first_end_of(&self, id: &str) -> Option<Instant> {
        let ended = self.ended.lock().expect("ends");
        ended.iter().find(|end| end.ids.iter().any(|ended| ended == id)).map(|end| end.at)
    }

    pub(crate) fn requests(&self) -> Vec<Request> {
        self.got.lock().expect("requests").clone()
    }

    /// Ids in the order in which they came.
    pub(crate) fn ids(&self) -> Vec<String> {
        self.requests().iter().flat_map(Request::ids).collect()
    }
}

fn serve(
    mut stream: TcpStream,
    connection: usize,
    got: &Mutex<Vec<Request>>,
    ended: &Mutex<Vec<CallEnd>>,
    act: &dyn Fn(&Request) -> ServerAction,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let path = line.split(' ').nth(1).unwrap_or_default().to_string();
        let mut headers = BTreeMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Some((name, value)) = line.trim_end().split_once(": ") else { break };
            headers.insert(name.to_lowercase(), value.to_string());
        }
        let length = headers.get("content-length").map_or(0, |n| n.parse().expect("a length"));
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let request = Request { path, headers, body, connection, at: Instant::now() };
        got.lock().expect("requests").push(request.clone());
        let note_end = || {
            ended.lock().expect("ends").push(CallEnd { ids: request.ids(), at: Instant::now() });
        };
        match act(&request) {
            ServerAction::Say(text, after) => {
                thread::sleep(after);
                // Noted before it is written: what the peer sends behind the answer comes later.
                note_end();
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            ServerAction::Play(steps) => {
                for step in steps {
                    play(step, &mut stream);
                }
                return note_end();
            }
            ServerAction::SayAndClose(text) => return drop(stream.write_all(text.as_bytes())),
            ServerAction::Hang => thread::sleep(Duration::from_secs(60)),
            ServerAction::Close => return,
        }
    }
}

fn play(step: Step, stream: &mut TcpStream) {
    match step {
        Step::Write(bytes) => drop(stream.write_all(&bytes)),
        Step::Drip(bytes, pause) => {
            for byte in bytes {
                if stream.write_all(&[byte]).is_err() || peer_has_ended(stream, pause) {
                    return;
                }
            }
        }
        Step::EndSending => drop(stream.shutdown(std::net::Shutdown::Write)),
        Step::AwaitPeer => while !peer_has_ended(stream, Duration::from_secs(60)) {},
        Step::Reset => {
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Waits for the end of the peer's sending, so long at most.
fn peer_has_ended(stream: &mut TcpStream, most: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(most));
    match stream.read(&mut [0; 256]) {
        Ok(read) => read == 0,
        Err(error) => !matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
    }
}

/// A listener that takes no more connections for now; dropping what comes with it makes room.
pub(crate) fn full_listener() -> (TcpListener, Vec<socket2::Socket>) {
    let socket =
        || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let listener = socket();
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    listener.bind(&any.into()).and_then(|()| listener.listen(0)).expect("a port");
    let listener: TcpListener = listener.into();
    let address = listener.local_addr().expect("an address");
    let fill = |_| {
        let filler = socket();
        filler.set_nonblocking(true).expect("a mode");
        let _ = filler.connect(&address.into());
        filler
    };
    let fillers = (0..4).map(fill).collect();
    (listener, fillers)
}
