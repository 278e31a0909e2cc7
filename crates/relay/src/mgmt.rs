//! The second address: operators' calls over HTTP/1.1, one a connection. What a call means is decided in
//! `mountshift_maintenance`; here calls are read, handed over and answered. No answer waits for a round.

use crate::clients::ACCEPT_PAUSE;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use log::{info, warn};
use mountshift_maintenance::{
    Answer, CUT_SHORT, Change, HEAD_TIMEOUT, LATE, MAX_CALLERS, MAX_HEAD_BYTES, MaintenanceState, NOT_HTTP,
    TOO_LARGE, WRITE_TIMEOUT, parse_call,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// What the second address needs.
pub struct Desk {
    pub maintenance: Rc<RefCell<MaintenanceState>>,
    /// The relay's start, from which orders count time.
    pub start: Instant,
    /// Carries out what a call changed.
    pub changed: Box<dyn Fn(Change)>,
}

/// Accepts calls for as long as the process runs.
pub async fn serve(listener: Async<TcpListener>, desk: Rc<Desk>, executor: Rc<LocalExecutor<'static>>) {
    // Callers by number, each with what lets it go.
    let open: Rc<RefCell<BTreeMap<u64, async_channel::Sender<()>>>> = Rc::default();
    let mut count = 0u64;
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                warn!("mgmt: accept: {e}");
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (desk, open) = (desk.clone(), open.clone());
        count += 1;
        let (number, (go, gone)) = (count, async_channel::bounded::<()>(1));
        // Guards against callers that say nothing and stay: the one that came first makes room.
        let mut callers = open.borrow_mut();
        while callers.len() >= MAX_CALLERS {
            callers.pop_first().into_iter().for_each(|(_, go)| {
                go.close();
            });
        }
        callers.insert(number, go);
        drop(callers);
        let task = async move {
            let sent_away = async {
                let _ = gone.recv().await;
                LATE
            };
            let answer = take(&stream, &desk).or(sent_away).await;
            open.borrow_mut().remove(&number);
            let end = Instant::now() + WRITE_TIMEOUT;
            let written = written(&stream, answer).or(async {
                Timer::at(end).await;
                false
            });
            let said = if written.await { "answered" } else { "not taken" };
            info!("mgmt call from {peer}: {} {}, {said}", answer.code, answer.text);
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        };
        executor.spawn(task).detach();
    }
}

/// Reads a call's head within its time, and takes it.
async fn take(stream: &Async<TcpStream>, desk: &Desk) -> Answer {
    let due = Instant::now() + HEAD_TIMEOUT;
    let head = read_head(stream).or(async {
        Timer::at(due).await;
        Err(LATE)
    });
    let (method, target) = match head.await {
        Ok(head) => head,
        Err(answer) => return answer,
    };
    let call = match parse_call(&method, &target) {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    let now = desk.start.elapsed();
    let (answer, change) = desk.maintenance.borrow_mut().handle(call, now);
    if change != Change::None {
        info!("mgmt: {method} {target}: {change:?}");
        (desk.changed)(change);
    }
    answer
}

/// The method and target of a whole head; a 4xx answer for what is not HTTP or too large.
async fn read_head(mut stream: &Async<TcpStream>) -> Result<(String, String), Answer> {
    let mut buffer = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        let n = stream.read(&mut chunk).await.map_err(|_| CUT_SHORT)?;
        if n == 0 {
            return Err(CUT_SHORT);
        }
        buffer.extend(&chunk[..n]);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&buffer) {
            Ok(httparse::Status::Complete(_)) => {
                let method = request.method.unwrap_or_default().to_string();
                return Ok((method, request.path.unwrap_or_default().to_string()));
            }
            Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => {}
            Ok(httparse::Status::Partial) => return Err(TOO_LARGE),
            Err(_) => return Err(NOT_HTTP),
        }
    }
}

async fn written(mut stream: &Async<TcpStream>, answer: Answer) -> bool {
    let reason = match answer.code {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    };
    let body = format!("{}\n", answer.text);
    let text = format!(
        "HTTP/1.1 {} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        answer.code,
        body.len()
    );
    stream.write_all(text.as_bytes()).await.is_ok()
}
