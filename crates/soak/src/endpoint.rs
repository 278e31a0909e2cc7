//! Endpoints: servers that run messages, recognise repeats, and misbehave when told to.

use crate::copies::COPY_BODY;
use crate::http::{Request, RequestReader, answer, reset};
use crate::installation::Installation;
use crate::malformed_response::{MalformedResponse, send_malformed_response};
use crate::recorder::Observation;
use crate::recorder::{Recorder, lock, message_id, number_of_id, relay_of};
use crate::wire_end::{Ender, WireEnd, WrittenAnswer};
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

/// Between two looks at something that may have changed.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// What a call takes when all is well.
const SERVICE_TIME: Duration = Duration::from_millis(3);
/// Bytes of a request that an endpoint reads before it resets the connection in the middle.
const BYTES_BEFORE_RESET: usize = 40;
/// The beginning of an answer that never goes on: not enough to tell a status.
const HALF_ANSWER: &str = "HTTP/1.1 2";

/// For so long an endpoint that lets connections come up late takes none.
const NO_ROOM_FOR: Duration = Duration::from_millis(900);
/// Connections that may wait to be taken otherwise.
const BACKLOG: i32 = 128;

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Normal,
    /// Reads requests and never answers.
    Hang,
    /// 503.
    Busy,
    /// 429 with a wait of so many milliseconds.
    RetryAfter(u64),
    /// 500, after the message has run or not.
    Errors,
    /// Answers so many milliseconds later.
    Slow(u64),
    /// Resets the connection in the middle of a request, or before the answer.
    Reset,
    /// Begins an answer and stops.
    HalfAnswer,
    /// Answers with what is no whole answer, in one way after the other.
    MalformedResponses,
    /// Lets connections come up late.
    LateConnects,
    /// Closes connections that are idle.
    CloseIdle,
}

/// What recognises a repeat, where something does: a destination, or one zone of it.
type Scope = (u32, Option<usize>);

/// All endpoints of a run.
pub(crate) struct Endpoints {
    installation: Installation,
    recorder: Arc<Recorder>,
    behaviours: Vec<Mutex<Behaviour>>,
    addresses: Mutex<Vec<SocketAddr>>,
    /// The class of each message, by its number.
    classes: Mutex<BTreeMap<u64, usize>>,
    /// When a message first ran where its repeats are recognised.
    first_runs: Mutex<BTreeMap<(Scope, u64), Time>>,
    last_call: AtomicU64,
}

impl Endpoints {
    /// Starts them, each on a port of its own.
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
            first_runs: Mutex::default(),
            last_call: AtomicU64::new(0),
        });
        for number in 0..installation.endpoints.len() {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            lock(&endpoints.addresses).push(listener.local_addr()?);
            let plan = &installation.endpoints[number];
            recorder.fact(Fact::EndpointAdded {
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

    /// Tells the class of a message, before it is submitted.
    pub(crate) fn announce(&self, message: u64, class: usize) {
        lock(&self.classes).insert(message, class);
    }

    fn behaviour(&self, endpoint: usize) -> Behaviour {
        *lock(&self.behaviours[endpoint])
    }

    fn run(&self, call: &Call) {
        for called in &call.messages {
            self.run_one(call.endpoint, *called);
        }
    }

    fn run_one(&self, endpoint: usize, called: CalledMessage) {
        let CalledMessage { message, number, is_copy } = called;
        if is_copy {
            return;
        }
        let duplicate = self.is_duplicate(endpoint, message);
        self.recorder.fact(Fact::Executed { message, call: number, endpoint: endpoint as u32, duplicate });
    }

    /// True if the endpoint recognises the message as one that has run.
    fn is_duplicate(&self, endpoint: usize, message: u64) -> bool {
        let Some(class) = lock(&self.classes).get(&message).copied() else { return false };
        let class = &self.installation.classes[class];
        if class.effect != "deduplicated" {
            return false;
        }
        let plan = &self.installation.endpoints[endpoint];
        let scope = (plan.destination, class.by_zone.then_some(plan.zone));
        let now = self.recorder.now();
        let mut first_runs = lock(&self.first_runs);
        let first = *first_runs.entry((scope, message)).or_insert(now);
        first < now && now < first + class.window_ms * 1_000
    }
}

/// A message in a call; its attempt has a number of its own.
#[derive(Clone, Copy)]
struct CalledMessage {
    message: u64,
    number: u64,
    /// Another client's message under the same id, of which nothing is checked but the answers to clients.
    is_copy: bool,
}

/// A call that an endpoint has read whole.
struct Call {
    messages: Vec<CalledMessage>,
    relay: u32,
    endpoint: usize,
    recorder: Arc<Recorder>,
}

impl Call {
    /// Notes that all attempts have ended in this way.
    fn ended(&self, end: WireEnd) {
        for called in &self.messages {
            self.one_ended(*called, end);
        }
    }

    /// Notes that the connection ended with nothing, or only a part, of an answer written.
    fn broken_off(&self, answer: WrittenAnswer, ended_by: Ender) {
        self.ended(WireEnd { answer, ended_by: Some(ended_by) });
    }

    fn one_ended(&self, called: CalledMessage, end: WireEnd) {
        let CalledMessage { message, number, is_copy } = called;
        if !is_copy {
            let relay = self.relay;
            self.recorder.note(Observation::AttemptEnded { message, call: number, relay, end });
        }
    }

    /// True for a call that carries out what it brings though it is not answered so: every second one.
    fn runs_unanswered(&self) -> bool {
        self.messages.iter().any(|called| called.number.is_multiple_of(2))
    }
}

async fn accept(listener: TcpListener, endpoint: usize, endpoints: Arc<Endpoints>) {
    loop {
        if endpoints.behaviour(endpoint) == Behaviour::LateConnects {
            hold_connections(&listener).await;
        }
        if let Ok((stream, _)) = listener.accept().await {
            smol::spawn(serve(stream, endpoint, endpoints.clone())).detach();
        }
    }
}

/// Takes no connection for a while and has no room for more than one to wait: the others come up once the relay's system asks
/// again, which is a second after it first did. What waited meanwhile is cut off unread: its calls may have been given up by now, and
/// would seem to arrive late.
async fn hold_connections(listener: &TcpListener) {
    let _ = rustix::net::listen(listener, 0);
    Timer::after(NO_ROOM_FOR).await;
    while let Some(Ok((waited, _))) = smol::future::poll_once(listener.accept()).await {
        reset(&waited);
    }
    let _ = rustix::net::listen(listener, BACKLOG);
}

/// Serves a connection to its end.
async fn serve(mut stream: TcpStream, endpoint: usize, endpoints: Arc<Endpoints>) {
    let _ = stream.set_nodelay(true);
    let mut reader = RequestReader::default();
    let mut calls = 0;
    loop {
        let request = {
            let closes = close_idle(&endpoints, endpoint, calls > 0 && !reader.has_begun());
            let cut = cut_request(&endpoints, endpoint, &stream);
            let next = async { reader.next(&mut stream.clone()).await.ok().flatten() };
            next.or(closes).or(cut).await
        };
        let Some(request) = request else { return };
        calls += 1;
        let Some(call) = begin_call(&request, endpoint, &endpoints) else { return };
        if !answer_call(&mut stream, &call, &endpoints).await {
            return;
        }
    }
}

/// Notes the attempts that a request begins; none if it is no call to an endpoint.
fn begin_call(request: &Request, endpoint: usize, endpoints: &Endpoints) -> Option<Call> {
    let mut messages = Vec::new();
    for called in request.messages()? {
        let number = endpoints.last_call.fetch_add(1, Ordering::SeqCst) + 1;
        let is_copy = called.body == COPY_BODY.as_bytes();
        messages.push(CalledMessage { message: number_of_id(&called.id)?, number, is_copy });
    }
    let relay = relay_of(messages.first()?.message) as u32;
    for CalledMessage { message, number, .. } in messages.iter().copied().filter(|called| !called.is_copy) {
        endpoints.recorder.fact(Fact::AttemptStarted {
            message,
            call: number,
            relay,
            endpoint: endpoint as u32,
        });
    }
    Some(Call { messages, relay, endpoint, recorder: endpoints.recorder.clone() })
}

/// Ends an idle connection, where the endpoint closes them.
async fn close_idle<T>(endpoints: &Endpoints, endpoint: usize, is_idle: bool) -> Option<T> {
    loop {
        Timer::after(LOOK_INTERVAL).await;
        if is_idle && endpoints.behaviour(endpoint) == Behaviour::CloseIdle {
            return None;
        }
    }
}

/// Resets a connection in the middle of a request, where the endpoint does that.
async fn cut_request<T>(endpoints: &Endpoints, endpoint: usize, stream: &TcpStream) -> Option<T> {
    loop {
        let mut begun = [0; BYTES_BEFORE_RESET];
        let has_begun = matches!(stream.peek(&mut begun).await, Ok(read) if read > 0);
        // Every second request is read whole and reset before its answer.
        let is_cut = begun.iter().map(|byte| u64::from(*byte)).sum::<u64>() % 2 == 0;
        if has_begun && is_cut && endpoints.behaviour(endpoint) == Behaviour::Reset {
            reset(stream);
            return None;
        }
        Timer::after(LOOK_INTERVAL).await;
    }
}

/// Answers a call by the endpoint's behaviour at this moment; false at the end of the connection.
async fn answer_call(stream: &mut TcpStream, call: &Call, endpoints: &Endpoints) -> bool {
    match endpoints.behaviour(call.endpoint) {
        Behaviour::Normal | Behaviour::CloseIdle | Behaviour::LateConnects => {
            deliver(stream, call, SERVICE_TIME, endpoints).await
        }
        Behaviour::Slow(milliseconds) => {
            deliver(stream, call, Duration::from_millis(milliseconds), endpoints).await
        }
        Behaviour::Hang => {
            if call.runs_unanswered() {
                endpoints.run(call);
            }
            wait_for_end(stream).await;
            call.broken_off(WrittenAnswer::Nothing, Ender::Relay);
            false
        }
        Behaviour::Busy => {
            call.ended(WireEnd::answered(WrittenAnswer::Refused(0)));
            write(stream, &answer(503, "", "")).await
        }
        Behaviour::RetryAfter(milliseconds) => {
            call.ended(WireEnd::answered(WrittenAnswer::Refused(milliseconds * 1_000)));
            let seconds = milliseconds as f64 / 1e3;
            write(stream, &answer(429, &format!("Retry-After: {seconds}\r\n"), "")).await
        }
        Behaviour::Errors if call.messages.len() > 1 => fail_in_part(stream, call, endpoints).await,
        Behaviour::Errors => {
            if call.runs_unanswered() {
                endpoints.run(call);
            }
            call.ended(WireEnd::answered(WrittenAnswer::Failed));
            write(stream, &answer(500, "", "")).await
        }
        Behaviour::Reset => {
            endpoints.run(call);
            call.broken_off(WrittenAnswer::Nothing, Ender::Endpoint);
            reset(stream);
            false
        }
        Behaviour::HalfAnswer => {
            endpoints.run(call);
            let _ = write(stream, HALF_ANSWER).await;
            wait_for_end(stream).await;
            call.broken_off(WrittenAnswer::Part, Ender::Relay);
            false
        }
        Behaviour::MalformedResponses => {
            spoil_answer(stream, call, endpoints).await;
            false
        }
    }
}

async fn spoil_answer(stream: &mut TcpStream, call: &Call, endpoints: &Endpoints) {
    let number = call.messages.first().map_or(0, |called| called.number);
    let spoilt = MalformedResponse::of_call(number, call.messages.len());
    if spoilt.delivers() || call.runs_unanswered() {
        endpoints.run(call);
    }
    if spoilt.delivers() {
        for called in call.messages.iter().filter(|called| !called.is_copy) {
            let (message, call) = (called.message, called.number);
            endpoints.recorder.fact(Fact::DeliveryAnswered { message, call });
        }
    }
    let relay_side = stream.clone();
    let end = send_malformed_response(stream, spoilt, wait_for_end(&relay_side)).await;
    call.ended(end);
}

/// Answers a call of several messages with a word of its own for each, by the number of its attempt.
async fn fail_in_part(stream: &mut TcpStream, call: &Call, endpoints: &Endpoints) -> bool {
    let mut lines = String::new();
    for called in call.messages.iter().copied() {
        let word = match called.number % 3 {
            0 => {
                deliver_one(call, called, endpoints);
                "delivered"
            }
            1 => {
                endpoints.run_one(call.endpoint, called);
                call.one_ended(called, WireEnd::answered(WrittenAnswer::Failed));
                "failed"
            }
            _ => {
                call.one_ended(called, WireEnd::answered(WrittenAnswer::Refused(0)));
                "refused"
            }
        };
        lines += &format!("{} {word}\r\n", message_id(called.message));
    }
    write(stream, &answer(200, "", &lines)).await
}

fn deliver_one(call: &Call, called: CalledMessage, endpoints: &Endpoints) {
    let CalledMessage { message, number, is_copy } = called;
    if is_copy {
        return;
    }
    endpoints.run_one(call.endpoint, called);
    endpoints.recorder.fact(Fact::DeliveryAnswered { message, call: number });
    call.one_ended(called, WireEnd::answered(WrittenAnswer::Delivered));
}

/// Runs the messages and says so, unless the relay has given the call up by then.
async fn deliver(stream: &mut TcpStream, call: &Call, after: Duration, endpoints: &Endpoints) -> bool {
    let given_up = async {
        wait_for_end(stream).await;
        true
    };
    let due = async {
        Timer::after(after).await;
        false
    };
    if given_up.or(due).await {
        call.broken_off(WrittenAnswer::Nothing, Ender::Relay);
        return false;
    }
    let mut lines = String::new();
    for called in call.messages.iter().copied() {
        deliver_one(call, called, endpoints);
        lines += &format!("{} delivered\r\n", message_id(called.message));
    }
    write(stream, &answer(200, "", &lines)).await
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Waits until the other side has closed the connection.
async fn wait_for_end(stream: &TcpStream) {
    while matches!(stream.peek(&mut [0]).await, Ok(read) if read > 0) {
        Timer::after(LOOK_INTERVAL).await;
    }
}
