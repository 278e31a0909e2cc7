//! Stand-in endpoints: servers that execute messages, recognise duplicates, and misbehave while a fault lasts.

use crate::copies::{COPY_BODY, LATE_COPY_BODY};
use crate::http::{Request, RequestReader, reset, response};
use crate::installation::Installation;
use crate::malformed_response::{MalformedResponse, send_malformed_response};
use crate::recorder::Observation;
use crate::recorder::{Recorder, lock, message_id, parse_message_id, relay_of_message};
use crate::wire_end::{ConnectionSide, WireEnd, WrittenResponse};
use mountshift_invariants::{Fact, Time};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Poll interval for changes of the behaviour and of a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Duration of a call at an endpoint without a fault.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// Number of bytes of a request that an endpoint examines before it resets the connection in the middle.
const BYTES_BEFORE_RESET: usize = 40;
/// Number of calls to an endpoint with late copies of which one response is sent twice.
const CALLS_PER_LATE_COPY: u64 = 5;
/// Delays of late copies in milliseconds.
const LATE_COPY_DELAYS_MS: [u64; 7] = [0, 1, 5, 15, 40, 60, 800];
/// Period of the statuses of an endpoint with late copies.
const LATE_COPY_STATUSES: u64 = 10;
/// Retry-After of an endpoint with late copies, in milliseconds.
const LATE_COPY_RETRY_AFTER_MS: u64 = 50;
/// Factor by which the calls of an endpoint with late copies take longer than those of others.
const LATE_COPY_SERVICE_FACTOR: u32 = 3;
/// Beginning of an incomplete response, too short to contain a status.
const PARTIAL_RESPONSE: &str = "HTTP/1.1 2";

/// Time for which an endpoint that delays connections accepts none.
const ACCEPT_PAUSE: Duration = Duration::from_millis(900);
/// Listen backlog of an endpoint that accepts connections.
const BACKLOG: i32 = 128;

/// Behaviour of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Normal,
    /// Reads requests and never responds.
    Hang,
    /// Responds with 503.
    Busy,
    /// Responds with 429 and this Retry-After in milliseconds.
    RetryAfter(u64),
    /// Responds with 500, whether or not the message was executed.
    Errors,
    /// Responds after this number of milliseconds.
    Slow(u64),
    /// Resets the connection in the middle of a request, or before the response.
    Reset,
    /// Sends the beginning of a response and stops.
    HalfAnswer,
    /// Sends incomplete or malformed responses, each call with another defect.
    MalformedResponses,
    /// Delays new connections.
    LateConnects,
    /// Closes idle connections.
    CloseIdle,
    /// Rejects some calls, and sends a second copy of some responses, also while the connection carries a later call.
    LateCopies,
}

/// Scope in which duplicates are recognised: a destination, or one zone of it.
type DeduplicationScope = (u32, Option<usize>);

/// All endpoints of a run.
pub(crate) struct Endpoints {
    installation: Installation,
    recorder: Arc<Recorder>,
    behaviours: Vec<Mutex<Behaviour>>,
    addresses: Mutex<Vec<SocketAddr>>,
    /// The class of each message, by its number.
    classes: Mutex<BTreeMap<u64, usize>>,
    /// Time of a message's first execution in a deduplication scope.
    first_executions: Mutex<BTreeMap<(DeduplicationScope, u64), Time>>,
    last_call: AtomicU64,
}

impl Endpoints {
    /// Starts the endpoints, each on a port of its own.
    pub(crate) async fn start(
        installation: &Installation,
        recorder: &Arc<Recorder>,
    ) -> io::Result<Arc<Endpoints>> {
        let endpoints = Arc::new(Endpoints {
            installation: installation.clone(),
            recorder: recorder.clone(),
            behaviours: installation.endpoints.iter().map(|_| Mutex::new(Behaviour::Normal)).collect(),
            addresses: Mutex::default(),
            classes: Mutex::default(),
            first_executions: Mutex::default(),
            last_call: AtomicU64::new(0),
        });
        for number in 0..installation.endpoints.len() {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            lock(&endpoints.addresses).push(listener.local_addr()?);
            let plan = &installation.endpoints[number];
            recorder.record_fact(Fact::EndpointAdded {
                endpoint: number as u32,
                destination: plan.destination,
                zone: plan.zone as u8,
                route: plan.destination,
                capacity: 200.0,
            });
            smol::spawn(accept(listener, number, endpoints.clone())).detach();
        }
        Ok(endpoints)
    }

    pub(crate) fn address(&self, endpoint: usize) -> SocketAddr {
        lock(&self.addresses)[endpoint]
    }

    pub(crate) fn set_behaviour(&self, endpoint: usize, behaviour: Behaviour) {
        *lock(&self.behaviours[endpoint]) = behaviour;
    }

    /// Registers the class of a message; called before its submission.
    pub(crate) fn register_message(&self, message: u64, class: usize) {
        lock(&self.classes).insert(message, class);
    }

    fn behaviour(&self, endpoint: usize) -> Behaviour {
        *lock(&self.behaviours[endpoint])
    }

    fn execute_all(&self, call: &Call) {
        for attempt in &call.attempts {
            self.execute(call.endpoint, *attempt);
        }
    }

    fn execute(&self, endpoint: usize, attempt: Attempt) {
        let Attempt { message, number, is_copy } = attempt;
        if is_copy {
            return;
        }
        let duplicate = self.is_duplicate(endpoint, message);
        self.recorder.record_fact(Fact::Executed {
            message,
            call: number,
            endpoint: endpoint as u32,
            duplicate,
        });
    }

    /// Returns whether the endpoint recognises the message as one that was executed before.
    fn is_duplicate(&self, endpoint: usize, message: u64) -> bool {
        let Some(class) = lock(&self.classes).get(&message).copied() else { return false };
        let class = &self.installation.classes[class];
        if class.idempotency != "deduplicated" {
            return false;
        }
        let plan = &self.installation.endpoints[endpoint];
        let scope = (plan.destination, class.is_per_zone.then_some(plan.zone));
        let now = self.recorder.now();
        let mut first_executions = lock(&self.first_executions);
        let first = *first_executions.entry((scope, message)).or_insert(now);
        first < now && now < first + class.deduplication_window_ms * 1_000
    }
}

/// An attempt: one message in one call.
#[derive(Clone, Copy)]
struct Attempt {
    message: u64,
    /// Number of the attempt, which facts use as the number of its call.
    number: u64,
    /// Whether this is another client's message under a copied id. Of such messages only the answers to clients are
    /// checked.
    is_copy: bool,
}

/// A call whose request has been read completely.
struct Call {
    attempts: Vec<Attempt>,
    is_batch: bool,
    /// Whether the connection ends behind the response.
    closes: bool,
    /// Time after which a copy of the response follows, if one does.
    copy_delay: Option<Duration>,
    relay: u32,
    endpoint: usize,
    recorder: Arc<Recorder>,
}

impl Call {
    /// Returns the number of the first attempt.
    fn number(&self) -> u64 {
        self.attempts.first().map_or(0, |attempt| attempt.number)
    }

    /// Records this end for all attempts.
    fn record_end(&self, end: WireEnd) {
        for attempt in &self.attempts {
            self.record_attempt_end(*attempt, end);
        }
    }

    /// Records that the connection was closed after no response, or only a part of it, was written.
    fn record_closed(&self, response: WrittenResponse, closed_by: ConnectionSide) {
        self.record_end(WireEnd { response, closed_by: Some(closed_by) });
    }

    fn record_attempt_end(&self, attempt: Attempt, end: WireEnd) {
        let Attempt { message, number, is_copy } = attempt;
        if !is_copy {
            let relay = self.relay;
            self.recorder.record(Observation::AttemptEnded { message, call: number, relay, end });
        }
    }

    /// Returns whether the messages are executed although the response does not report a delivery: if one of the
    /// attempts has an even number, so in every second call with a single message.
    fn executes_without_delivery_response(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.number.is_multiple_of(2))
    }
}

async fn accept(listener: TcpListener, endpoint: usize, endpoints: Arc<Endpoints>) {
    loop {
        if endpoints.behaviour(endpoint) == Behaviour::LateConnects {
            delay_connections(&listener).await;
        }
        if let Ok((stream, _)) = listener.accept().await {
            smol::spawn(serve(stream, endpoint, endpoints.clone())).detach();
        }
    }
}

/// Accepts no connection for a while, with a backlog for only one. The other connections are established when the
/// relay's kernel repeats its SYN, a second after the first one. Connections that waited in the backlog are reset
/// unread: the relay may have cancelled their calls, which would then appear to arrive late.
async fn delay_connections(listener: &TcpListener) {
    let _ = rustix::net::listen(listener, 0);
    Timer::after(ACCEPT_PAUSE).await;
    while let Some(Ok((waiting, _))) = smol::future::poll_once(listener.accept()).await {
        reset(&waiting);
    }
    let _ = rustix::net::listen(listener, BACKLOG);
}

/// Serves a connection until it is closed.
async fn serve(mut stream: TcpStream, endpoint: usize, endpoints: Arc<Endpoints>) {
    let _ = stream.set_nodelay(true);
    let mut reader = RequestReader::default();
    let mut calls = 0;
    loop {
        let request = {
            let close = close_idle(&endpoints, endpoint, calls > 0 && !reader.has_begun());
            let reset = reset_mid_request(&endpoints, endpoint, &stream);
            let next = async { reader.next(&mut stream.clone()).await.ok().flatten() };
            next.or(close).or(reset).await
        };
        let Some(request) = request else { return };
        calls += 1;
        let Some(call) = begin_call(&request, endpoint, &endpoints) else { return };
        if !respond(&mut stream, &call, &endpoints).await {
            return;
        }
    }
}

/// Records the attempts of a request. Returns `None` if the request is not a call to an endpoint.
fn begin_call(request: &Request, endpoint: usize, endpoints: &Endpoints) -> Option<Call> {
    let mut attempts = Vec::new();
    for called in request.messages()? {
        let number = endpoints.last_call.fetch_add(1, Ordering::SeqCst) + 1;
        let message = parse_message_id(&called.id)?;
        let is_late_copy = called.body == LATE_COPY_BODY.as_bytes();
        if is_late_copy {
            let relay = relay_of_message(message);
            endpoints.recorder.record(Observation::ForeignMessageSent { message, relay });
        }
        let is_copy = is_late_copy || called.body == COPY_BODY.as_bytes();
        attempts.push(Attempt { message, number, is_copy });
    }
    let relay = relay_of_message(attempts.first()?.message) as u32;
    for Attempt { message, number, .. } in attempts.iter().copied().filter(|attempt| !attempt.is_copy) {
        endpoints.recorder.record_fact(Fact::AttemptStarted {
            message,
            call: number,
            relay,
            endpoint: endpoint as u32,
        });
    }
    let (closes, recorder) = (request.asks_to_close, endpoints.recorder.clone());
    let copies = endpoints.behaviour(endpoint) == Behaviour::LateCopies;
    let copy_delay = attempts.first().and_then(|attempt| late_copy_delay(attempt.number)).filter(|_| copies);
    let is_batch = request.is_batch();
    Some(Call { attempts, is_batch, closes, copy_delay, relay, endpoint, recorder })
}

/// Returns the time after which a copy of the response to the call of this number follows, if one does.
fn late_copy_delay(number: u64) -> Option<Duration> {
    let has_copy = (number / 2).is_multiple_of(CALLS_PER_LATE_COPY);
    let delay = LATE_COPY_DELAYS_MS[number as usize % LATE_COPY_DELAYS_MS.len()];
    has_copy.then_some(Duration::from_millis(delay))
}

/// Returns once the endpoint's behaviour is to close idle connections and this one is idle.
async fn close_idle<T>(endpoints: &Endpoints, endpoint: usize, is_idle: bool) -> Option<T> {
    loop {
        Timer::after(POLL_INTERVAL).await;
        if is_idle && endpoints.behaviour(endpoint) == Behaviour::CloseIdle {
            return None;
        }
    }
}

/// Resets the connection in the middle of a request if the endpoint behaves that way.
async fn reset_mid_request<T>(endpoints: &Endpoints, endpoint: usize, stream: &TcpStream) -> Option<T> {
    loop {
        let mut first_bytes = [0; BYTES_BEFORE_RESET];
        let has_begun = matches!(stream.peek(&mut first_bytes).await, Ok(read) if read > 0);
        // If the sum of the first bytes is odd, the request is read completely and the connection is reset before the
        // response.
        let is_reset_mid_request = first_bytes.iter().map(|byte| u64::from(*byte)).sum::<u64>() % 2 == 0;
        if has_begun && is_reset_mid_request && endpoints.behaviour(endpoint) == Behaviour::Reset {
            reset(stream);
            return None;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Responds to a call by the endpoint's current behaviour. Returns whether the connection stays open.
async fn respond(stream: &mut TcpStream, call: &Call, endpoints: &Endpoints) -> bool {
    match endpoints.behaviour(call.endpoint) {
        Behaviour::Normal | Behaviour::CloseIdle | Behaviour::LateConnects => {
            deliver(stream, call, SERVICE_TIME, endpoints).await
        }
        Behaviour::Slow(milliseconds) => {
            deliver(stream, call, Duration::from_millis(milliseconds), endpoints).await
        }
        Behaviour::Hang => {
            if call.executes_without_delivery_response() {
                endpoints.execute_all(call);
            }
            wait_for_close(stream).await;
            call.record_closed(WrittenResponse::Nothing, ConnectionSide::Relay);
            false
        }
        Behaviour::Busy => {
            call.record_end(WireEnd::responded(WrittenResponse::Refused(0)));
            write_response(stream, call, 503, "", "").await
        }
        Behaviour::RetryAfter(milliseconds) => {
            call.record_end(WireEnd::responded(WrittenResponse::Refused(milliseconds * 1_000)));
            let seconds = milliseconds as f64 / 1e3;
            write_response(stream, call, 429, &format!("Retry-After: {seconds}\r\n"), "").await
        }
        Behaviour::Errors if call.attempts.len() > 1 => respond_partly_failed(stream, call, endpoints).await,
        Behaviour::Errors => {
            if call.executes_without_delivery_response() {
                endpoints.execute_all(call);
            }
            call.record_end(WireEnd::responded(WrittenResponse::Failed));
            write_response(stream, call, 500, "", "").await
        }
        Behaviour::Reset => {
            endpoints.execute_all(call);
            call.record_closed(WrittenResponse::Nothing, ConnectionSide::Endpoint);
            reset(stream);
            false
        }
        Behaviour::HalfAnswer => {
            endpoints.execute_all(call);
            let _ = write(stream, PARTIAL_RESPONSE).await;
            wait_for_close(stream).await;
            call.record_closed(WrittenResponse::Part, ConnectionSide::Relay);
            false
        }
        Behaviour::LateCopies => respond_with_late_copy(stream, call, endpoints).await,
        Behaviour::MalformedResponses => {
            respond_malformed(stream, call, endpoints).await;
            false
        }
    }
}

async fn respond_malformed(stream: &mut TcpStream, call: &Call, endpoints: &Endpoints) {
    let malformed = MalformedResponse::of_call(call.number(), call.is_batch);
    if malformed.reports_delivery() || call.executes_without_delivery_response() {
        endpoints.execute_all(call);
    }
    if malformed.reports_delivery() {
        for attempt in call.attempts.iter().filter(|attempt| !attempt.is_copy) {
            let (message, call) = (attempt.message, attempt.number);
            endpoints.recorder.record_fact(Fact::DeliveryAnswered { message, call });
        }
    }
    let relay_side = stream.clone();
    let end = send_malformed_response(stream, malformed, wait_for_close(&relay_side)).await;
    call.record_end(end);
}

/// Responds to a batch. The number of its attempt selects whether a message is delivered, failed or refused.
async fn respond_partly_failed(stream: &mut TcpStream, call: &Call, endpoints: &Endpoints) -> bool {
    let mut lines = String::new();
    for attempt in call.attempts.iter().copied() {
        let word = match attempt.number % 3 {
            0 => {
                execute_and_record_delivery(call, attempt, endpoints);
                "delivered"
            }
            1 => {
                endpoints.execute(call.endpoint, attempt);
                call.record_attempt_end(attempt, WireEnd::responded(WrittenResponse::Failed));
                "failed"
            }
            _ => {
                call.record_attempt_end(attempt, WireEnd::responded(WrittenResponse::Refused(0)));
                "refused"
            }
        };
        lines += &format!("{} {word}\r\n", message_id(attempt.message));
    }
    write_response(stream, call, 200, "", &lines).await
}

fn execute_and_record_delivery(call: &Call, attempt: Attempt, endpoints: &Endpoints) {
    let Attempt { message, number, is_copy } = attempt;
    if is_copy {
        return;
    }
    endpoints.execute(call.endpoint, attempt);
    endpoints.recorder.record_fact(Fact::DeliveryAnswered { message, call: number });
    call.record_attempt_end(attempt, WireEnd::responded(WrittenResponse::Delivered));
}

/// Executes the messages after a delay and reports their delivery, unless the relay has closed the connection by then.
async fn deliver(stream: &mut TcpStream, call: &Call, after: Duration, endpoints: &Endpoints) -> bool {
    let closed = async {
        wait_for_close(stream).await;
        true
    };
    let due = async {
        Timer::after(after).await;
        false
    };
    if closed.or(due).await {
        call.record_closed(WrittenResponse::Nothing, ConnectionSide::Relay);
        return false;
    }
    let mut lines = String::new();
    for attempt in call.attempts.iter().copied() {
        execute_and_record_delivery(call, attempt, endpoints);
        lines += &format!("{} delivered\r\n", message_id(attempt.message));
    }
    write_response(stream, call, 200, "", &lines).await
}

/// Responds as an endpoint with late copies does. The call's number selects whether it is rejected, and whether and when
/// a copy of the response follows.
async fn respond_with_late_copy(stream: &mut TcpStream, call: &Call, endpoints: &Endpoints) -> bool {
    match call.number() % LATE_COPY_STATUSES {
        0 | 5 => {
            call.record_end(WireEnd::responded(WrittenResponse::Refused(0)));
            write_response(stream, call, 503, "", "").await
        }
        7 => {
            call.record_end(WireEnd::responded(WrittenResponse::Refused(LATE_COPY_RETRY_AFTER_MS * 1_000)));
            let seconds = LATE_COPY_RETRY_AFTER_MS as f64 / 1e3;
            write_response(stream, call, 429, &format!("Retry-After: {seconds}\r\n"), "").await
        }
        number => {
            let service_time = SERVICE_TIME * (1 + number as u32 * LATE_COPY_SERVICE_FACTOR);
            deliver(stream, call, service_time, endpoints).await
        }
    }
}

/// Writes the response to a call, and maybe a copy of it later. Returns whether the connection stays open.
async fn write_response(stream: &mut TcpStream, call: &Call, status: u16, headers: &str, body: &str) -> bool {
    let close = if call.closes { "Connection: close\r\n" } else { "" };
    let text = response(status, &format!("{headers}{close}"), body);
    let is_written = write(stream, &text).await;
    if let Some(delay) = call.copy_delay.filter(|_| is_written && !call.closes) {
        let mut stream = stream.clone();
        smol::spawn(async move {
            Timer::after(delay).await;
            let _ = stream.write_all(text.as_bytes()).await;
        })
        .detach();
    }
    is_written && !call.closes
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Waits until the relay has closed the connection.
async fn wait_for_close(stream: &TcpStream) {
    while matches!(stream.peek(&mut [0]).await, Ok(read) if read > 0) {
        Timer::after(POLL_INTERVAL).await;
    }
}
