//! The operators' address: maintenance commands over HTTP/1.1, one a connection. What a command means is decided in
//! `mountshift_maintenance`; here commands are read, handed over and answered. No answer waits for the dispatcher.

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

/// Bytes that one read of a request takes at most.
const READ_CHUNK_BYTES: usize = 1024;
/// Where the metrics are.
const METRICS_TARGET: &str = "/metrics";
/// The status of the metrics.
const METRICS_CODE: u16 = 200;
/// The content type of the metrics: Prometheus' text format, as `prometheus-client` writes it.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Header fields of a request at most.
const MAX_HEADERS: usize = 32;

/// What commands act on.
pub(crate) struct AdminService {
    pub(crate) maintenance: Rc<RefCell<MaintenanceState>>,
    /// The relay's start, from which maintenance commands count time.
    pub(crate) started: Instant,
    /// Carries out what a command changed.
    pub(crate) on_change: Box<dyn Fn(Change)>,
    pub(crate) metrics: Rc<Metrics>,
}

/// The open connections by number, each with what lets it go when closed.
#[derive(Default)]
struct Callers {
    open: BTreeMap<u64, Sender<()>>,
    last_number: u64,
}

impl Callers {
    /// Adds a connection; gives its number, and what closes when it is to go. Callers that say nothing must not keep
    /// others out: the one that came first makes room.
    fn add(&mut self) -> (u64, Receiver<()>) {
        while self.open.len() >= MAX_ADMIN_CONNECTIONS {
            if let Some((_, dismiss)) = self.open.pop_first() {
                dismiss.close();
            }
        }
        self.last_number += 1;
        let (dismiss, dismissed) = async_channel::bounded(1);
        self.open.insert(self.last_number, dismiss);
        (self.last_number, dismissed)
    }

    fn remove(&mut self, number: u64) {
        self.open.remove(&number);
    }
}

/// Accepts connections for as long as the process runs.
pub(crate) async fn serve(
    listener: Async<TcpListener>,
    service: Rc<AdminService>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let callers: Rc<RefCell<Callers>> = Rc::default();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (number, dismissed) = callers.borrow_mut().add();
                let (service, callers) = (service.clone(), callers.clone());
                let task = async move {
                    let response = service.answer(&stream, dismissed).await;
                    callers.borrow_mut().remove(number);
                    respond(&stream, peer, response).await;
                };
                executor.spawn(task).detach();
            }
            Err(e) => {
                warn!("mgmt: accept: {e}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl AdminService {
    /// The answer to a connection's command, or to a connection that has to go before it brought one.
    async fn answer(&self, stream: &Async<TcpStream>, dismissed: Receiver<()>) -> Response {
        let sent_away = async {
            let _ = dismissed.recv().await;
            REQUEST_TIMED_OUT.into()
        };
        self.handle_command(stream).or(sent_away).await
    }

    /// Reads a request's head within its time, and carries the command out.
    async fn handle_command(&self, stream: &Async<TcpStream>) -> Response {
        let due = Instant::now() + HEAD_TIMEOUT;
        let too_late = async {
            Timer::at(due).await;
            Err(REQUEST_TIMED_OUT)
        };
        let head = match read_head(stream).or(too_late).await {
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

/// What goes back to a caller.
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

/// What a request's head says.
struct RequestHead {
    method: String,
    target: String,
}

/// Reads a whole head; a 4xx answer for what is not HTTP or too large.
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

/// The head at the beginning of the bytes; none while it is not whole.
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

/// Writes the answer within its time, and closes the connection.
async fn respond(stream: &Async<TcpStream>, peer: SocketAddr, response: Response) {
    let due = Instant::now() + WRITE_TIMEOUT;
    let too_late = async {
        Timer::at(due).await;
        false
    };
    let is_written = write_response(stream, &response).or(too_late).await;
    let how = if is_written { "answered" } else { "not taken" };
    let first_line = response.body.lines().next().unwrap_or_default();
    info!("mgmt call from {peer}: {} {first_line}, {how}", response.code);
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

/// True if the whole answer was written.
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
