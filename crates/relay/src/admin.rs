//! HTTP/1.1 server on the admin address: maintenance commands and metrics for operators, one request per connection.
//! The semantics of the commands are in `mountshift_maintenance`. Responses never wait for the dispatcher.

use crate::clients::ACCEPT_PAUSE;
use crate::metrics::Metrics;
use crate::transient::{self, is_transient};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, FutureExt};
use log::{info, warn};
use mountshift_maintenance::{
    AdminResponse, Change, HEAD_TIMEOUT, HEAD_TOO_LARGE, INCOMPLETE_REQUEST, MAX_ADMIN_CONNECTIONS,
    MAX_HEAD_BYTES, MaintenanceState, NOT_HTTP, REQUEST_TIMED_OUT, WRITE_TIMEOUT, parse_request,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Maximum number of bytes per read of a request.
const READ_CHUNK_BYTES: usize = 1024;
/// Request target of the metrics.
const METRICS_TARGET: &str = "/metrics";
/// Status code of the metrics response.
const METRICS_CODE: u16 = 200;
/// Content type of the metrics: the OpenMetrics text format, as written by `prometheus-client`.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 32;

/// State that commands read and change.
pub(crate) struct AdminService {
    pub(crate) maintenance: Rc<RefCell<MaintenanceState>>,
    /// Start of the relay; the reference time for maintenance commands.
    pub(crate) started: Instant,
    /// Applies the change made by a command.
    pub(crate) on_change: Box<dyn Fn(Change)>,
    pub(crate) metrics: Rc<Metrics>,
}

/// Open connections by number, each with the channel whose close evicts it.
#[derive(Default)]
struct AdminConnections {
    open: BTreeMap<u64, Sender<()>>,
    last_number: u64,
}

impl AdminConnections {
    /// Adds a connection; returns its number and the channel that is closed to evict it. The oldest connections are
    /// evicted if there are too many, so that silent callers do not exclude others.
    fn add(&mut self) -> (u64, Receiver<()>) {
        while self.open.len() >= MAX_ADMIN_CONNECTIONS {
            if let Some((_, evict)) = self.open.pop_first() {
                evict.close();
            }
        }
        self.last_number += 1;
        let (evict, evicted) = async_channel::bounded(1);
        self.open.insert(self.last_number, evict);
        (self.last_number, evicted)
    }

    fn remove(&mut self, number: u64) {
        self.open.remove(&number);
    }
}

/// Accepts connections until the process exits.
pub(crate) async fn serve(
    listener: Async<TcpListener>,
    service: Rc<AdminService>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let connections: Rc<RefCell<AdminConnections>> = Rc::default();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (number, evicted) = connections.borrow_mut().add();
                let (service, connections) = (service.clone(), connections.clone());
                let task = async move {
                    let response = service.answer(&stream, evicted).await;
                    connections.borrow_mut().remove(number);
                    respond(&stream, peer, response).await;
                };
                executor.spawn(task).detach();
            }
            Err(e) => {
                warn!("mgmt: can't accept a connection: {e}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl AdminService {
    /// Returns the response to the command of a connection, or to its eviction.
    async fn answer(&self, stream: &Async<TcpStream>, evicted: Receiver<()>) -> Response {
        let eviction = async {
            let _ = evicted.recv().await;
            REQUEST_TIMED_OUT.into()
        };
        self.handle_command(stream).or(eviction).await
    }

    /// Reads a request head within [`HEAD_TIMEOUT`] and executes its command.
    async fn handle_command(&self, stream: &Async<TcpStream>) -> Response {
        let due = Instant::now() + HEAD_TIMEOUT;
        let timeout = async {
            Timer::at(due).await;
            Err(REQUEST_TIMED_OUT)
        };
        let head = match read_head(stream).or(timeout).await {
            Ok(head) => head,
            Err(answer) => return answer.into(),
        };
        if head.method == "GET" && head.target == METRICS_TARGET {
            return Response { code: METRICS_CODE, content_type: METRICS_TYPE, body: self.metrics.to_text() };
        }
        let command = match parse_request(&head.method, &head.target) {
            Ok(command) => command,
            Err(answer) => return answer.into(),
        };
        let now = self.started.elapsed();
        let (answer, change) = self.maintenance.borrow_mut().handle(command, now);
        if change != Change::None {
            info!("mgmt: {} {}: {change:?}", head.method, head.target);
            (self.on_change)(change);
        }
        answer.into()
    }
}

/// Response to a caller.
struct Response {
    code: u16,
    content_type: &'static str,
    body: String,
}

impl From<AdminResponse> for Response {
    fn from(answer: AdminResponse) -> Response {
        Response { code: answer.code, content_type: "text/plain", body: format!("{}\n", answer.text) }
    }
}

/// Parsed request head.
struct RequestHead {
    method: String,
    target: String,
}

/// Reads a complete request head; returns a 4xx response if it is malformed, incomplete or too large.
async fn read_head(mut stream: &Async<TcpStream>) -> Result<RequestHead, AdminResponse> {
    let mut buffer = Vec::new();
    let mut chunk = [0; READ_CHUNK_BYTES];
    loop {
        let count = match stream.read(&mut chunk).await {
            Ok(count) => count,
            Err(e) if is_transient(&e) => {
                transient::pause().await;
                continue;
            }
            Err(_) => return Err(INCOMPLETE_REQUEST),
        };
        if count == 0 {
            return Err(INCOMPLETE_REQUEST);
        }
        buffer.extend(&chunk[..count]);
        if let Some(head) = parse_head(&buffer)? {
            return Ok(head);
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(HEAD_TOO_LARGE);
        }
    }
}

/// Parses the request head at the beginning of the bytes; returns `None` while it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<RequestHead>, AdminResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => Ok(Some(RequestHead {
            method: request.method.unwrap_or_default().to_string(),
            target: request.path.unwrap_or_default().to_string(),
        })),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(NOT_HTTP),
    }
}

/// Writes the response within [`WRITE_TIMEOUT`] and closes the connection.
async fn respond(stream: &Async<TcpStream>, peer: SocketAddr, response: Response) {
    let due = Instant::now() + WRITE_TIMEOUT;
    let timeout = async {
        Timer::at(due).await;
        false
    };
    let is_written = write_response(stream, &response).or(timeout).await;
    let outcome = if is_written { "answered" } else { "response not written" };
    let first_line = response.body.lines().next().unwrap_or_default();
    info!("mgmt call from {peer}: {} {first_line}, {outcome}", response.code);
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

/// Writes the response; returns whether it was written completely.
async fn write_response(mut stream: &Async<TcpStream>, response: &Response) -> bool {
    let Response { code, content_type, body } = response;
    let text = format!(
        "HTTP/1.1 {code} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        reason_phrase(*code),
        body.len()
    );
    transient::write_all(&mut stream, &mut text.as_bytes()).await.is_ok()
}

fn reason_phrase(code: u16) -> &'static str {
    match code {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    }
}
