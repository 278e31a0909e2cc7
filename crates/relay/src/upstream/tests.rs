//! Tests of calls and pooled connections against local sockets.

use super::*;
use async_io::Timer;
use futures_lite::FutureExt;
use mountshift::interface::*;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use test_case::test_case;

// The server counts idle time from the last use. If the pool counted it from the return of an unused connection, the
// next request could be written to a connection that the server is closing.
#[test]
fn a_connection_put_back_unused_keeps_its_idle_time() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = server.local_addr().expect("an address");
    let idle_timeout = Duration::from_secs(10);
    let pool = ConnectionPool::new(idle_timeout, 8);
    let open = || async_io::block_on(HttpConnection::open(address, "server".into())).expect("a connection");
    let (mut old, endpoint_id) = (open(), EndpointId(1));
    old.last_used = Instant::now().checked_sub(idle_timeout / 2).expect("a time");
    pool.put_back(endpoint_id, old);
    let mut again = pool.take(endpoint_id, address).expect("it can still be used");
    again.last_used = again.last_used.checked_sub(idle_timeout * 45 / 100).expect("a time");
    pool.put_back(endpoint_id, again);
    assert!(pool.take(endpoint_id, address).is_none(), "older than nine tenths of the idle timeout");
    // The minimum margin never exceeds half of a short idle timeout.
    let short = ConnectionPool::new(Duration::from_millis(400), 8);
    let mut old = open();
    old.last_used = Instant::now().checked_sub(Duration::from_millis(210)).expect("a time");
    short.put_back(endpoint_id, old);
    assert!(short.take(endpoint_id, address).is_none());
}

/// Returns a connection whose server does not read yet, with socket buffers too small for a call of `BODY` bytes; and
/// the server's side of it.
fn connect_with_small_buffers() -> (HttpConnection, std::net::TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2_048).expect("a size");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).and_then(|()| socket.listen(1)).expect("a port");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let connection =
        async_io::block_on(HttpConnection::open(address, "server".into())).expect("a connection");
    connection.set_send_buffer_size(4_096);
    (connection, listener.accept().expect("the server's side").0)
}

/// Creates a call with one message of `body_bytes` bytes; `may_send` is called in place of the record in the spool.
fn call(
    address: SocketAddr,
    body_bytes: usize,
    timeout: Duration,
    may_send: impl Fn() -> bool + 'static,
) -> Call {
    let endpoint = Endpoint {
        address,
        name: "server".into(),
        zone: ZoneId(0),
        kind: DestinationKindId(0),
        destination: DestinationId(7),
        status: EndpointStatus::Ready,
        rate: 1.0,
    };
    let body = vec![b'x'; body_bytes];
    Call {
        number: 1,
        endpoint_id: EndpointId(1),
        endpoint,
        messages: vec![CallMessage {
            message: MessageId(1),
            id: b"m1".to_vec(),
            idempotency_key: None,
            body,
        }],
        is_batch: false,
        timeout,
        connect_timeout: timeout,
        decided_at: Instant::now(),
        request_send_permission: Box::new(|| {
            let (reply_to, reply) = async_channel::bounded(1);
            reply_to.try_send(true).expect("room");
            reply
        }),
        record_attempts: Box::new(move || if may_send() { Ok(()) } else { Err(Outcome::NotSent) }),
        stage: Rc::default(),
    }
}

const BODY: usize = 60_000;

// A call that is cancelled or reaches its timeout before its last byte is written must not count as one that may
// have run. The test checks how many bytes the server receives.
#[test_case(Duration::from_secs(20) => None; "cancelled")]
#[test_case(Duration::from_millis(300) => Some(Outcome::ConnectFailed); "at its timeout")]
fn a_call_that_ends_while_writing_never_arrives_completely(timeout: Duration) -> Option<Outcome> {
    let (connection, mut server) = connect_with_small_buffers();
    let (pool, address) = (ConnectionPool::new(Duration::from_secs(60), 8), connection.address);
    pool.put_back(EndpointId(1), connection);
    let (recorded, reported) = (Rc::new(Cell::new(0)), RefCell::new(None));
    let counter = recorded.clone();
    let call = call(address, BODY, timeout, move || {
        counter.set(counter.get() + 1);
        true
    });
    let stage = call.stage.clone();
    async_io::block_on(async {
        let run = call.run(&pool, |result| *reported.borrow_mut() = Some(result.attempts[0].outcome));
        // A cancellation drops the call once it has begun to write. By the first check, the bytes that fit into the
        // socket buffers are written.
        let cancelled = async {
            while stage.get() == CallStage::Connecting {
                futures_lite::future::yield_now().await;
            }
            Timer::after(if timeout > Duration::from_secs(1) { Duration::ZERO } else { timeout * 10 }).await;
        };
        run.or(cancelled).await;
    });
    assert_eq!(
        (stage.get(), recorded.get()),
        (CallStage::Recorded, 1),
        "recorded once, never written completely"
    );
    let mut bytes = Vec::new();
    let _ = std::io::Read::read_to_end(&mut server, &mut bytes);
    assert!(
        bytes.starts_with(b"POST /receive HTTP/1.1\r\n") && bytes.len() < BODY,
        "{} bytes received",
        bytes.len()
    );
    *reported.borrow()
}

// A message that ended or was withdrawn while its call connected must not be sent: no byte is written, and the
// connection goes back to the pool.
#[test]
fn a_call_whose_message_ended_while_it_connected_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (pool, reported) = (ConnectionPool::new(Duration::from_secs(60), 8), RefCell::new(None));
    let call = call(address, 1, Duration::from_secs(5), || false);
    let stage = call.stage.clone();
    async_io::block_on(call.run(&pool, |result| *reported.borrow_mut() = Some(result.attempts[0].outcome)));
    assert_eq!((*reported.borrow(), stage.get()), (Some(Outcome::NotSent), CallStage::Connecting));
    assert!(pool.take(EndpointId(1), address).is_some(), "back in the pool");
    pool.close_endpoint(EndpointId(1));
    let (mut server, mut bytes) = (listener.accept().expect("the server's side").0, Vec::new());
    let _ = std::io::Read::read_to_end(&mut server, &mut bytes);
    assert!(bytes.is_empty(), "{bytes:?}");
}

// If a task waits for the CPU until the deadline of its call and then finds an idle connection, no byte may be written.
#[test]
fn a_call_past_its_deadline_before_its_first_byte_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (pool, reported) = (ConnectionPool::new(Duration::from_secs(60), 8), RefCell::new(None));
    pool.put_back(
        EndpointId(1),
        async_io::block_on(HttpConnection::open(address, "server".into())).expect("a connection"),
    );
    let mut call = call(address, 1, Duration::from_millis(300), || true);
    call.decided_at = Instant::now().checked_sub(Duration::from_millis(400)).expect("a time");
    async_io::block_on(call.run(&pool, |result| *reported.borrow_mut() = Some(result.attempts[0].outcome)));
    assert_eq!(*reported.borrow(), Some(Outcome::ConnectFailed), "never ran");
    drop(pool);
    let (mut server, mut bytes) = (listener.accept().expect("the server's side").0, Vec::new());
    let _ = std::io::Read::read_to_end(&mut server, &mut bytes);
    assert!(bytes.is_empty(), "{} bytes received", bytes.len());
}

// A shortage on this machine must not count against the endpoint; an error from the network or the endpoint must.
#[test_case(libc::EMFILE => true; "no descriptor")]
#[test_case(libc::EADDRNOTAVAIL => true; "no port")]
#[test_case(libc::EADDRINUSE => true; "the port is in use")]
#[test_case(libc::ENOSPC => true; "no epoll watch left")]
#[test_case(libc::ENOMEM => true; "no memory")]
#[test_case(libc::ECONNREFUSED => false; "refused")]
#[test_case(libc::ETIMEDOUT => false; "timed out")]
#[test_case(libc::EHOSTUNREACH => false; "unreachable")]
fn connect_errors_of_this_machine_are_local_errors(errno: i32) -> bool {
    super::attempt::is_local_error(&std::io::Error::from_raw_os_error(errno))
}

/// Starts a server that answers the requests of each connection with these texts, one each, and then closes it.
fn scripted_server(connections: Vec<Vec<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for texts in connections {
            let mut stream = listener.accept().expect("a connection").0;
            for text in texts {
                let mut request = Vec::new();
                while !request.ends_with(b"x\r\n") && !request.ends_with(b"\r\n\r\nx") {
                    let mut byte = [0];
                    std::io::Read::read_exact(&mut stream, &mut byte).expect("a request");
                    request.extend(byte);
                }
                std::io::Write::write_all(&mut stream, text.as_bytes()).expect("written");
            }
            let _ = stream.shutdown(std::net::Shutdown::Write);
            // Until the relay closes the connection.
            std::thread::spawn(move || std::io::Read::read(&mut stream, &mut [0]));
        }
    });
    address
}

fn batch_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Makes a call with this message and returns the outcome.
fn outcome_of_call(pool: &ConnectionPool, address: SocketAddr, id: &str, is_batch: bool) -> Outcome {
    let mut call = call(address, 1, Duration::from_secs(5), || true);
    call.is_batch = is_batch;
    call.messages[0].id = id.into();
    let reported = Cell::new(None);
    async_io::block_on(call.run(pool, |result| reported.set(Some(result.attempts[0].outcome))));
    reported.get().expect("a result")
}

const REJECTION: &str = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";

// A late copy of a response could be taken for the response to the next call on the connection. It can be told from it only
// if every response on the connection names messages that no later call sends.
#[test_case(&batch_response("m1 delivered\r\n") => true; "the message is delivered")]
#[test_case(&batch_response("m1 over\r\n") => true; "the message is over")]
#[test_case(&batch_response("m1 refused\r\n") => false; "the message may be sent again")]
#[test_case(&batch_response("") => false; "no message named")]
#[test_case(REJECTION => false; "rejection")]
#[test_case("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" => false; "error")]
fn connection_is_reused_only_behind_a_response_that_names_and_ends_its_messages(response: &str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let response = response.to_string();
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        std::io::Write::write_all(&mut stream, response.as_bytes()).expect("written");
        let _ = std::io::Read::read_to_end(&mut stream, &mut Vec::new());
    });
    let pool = ConnectionPool::new(Duration::from_secs(60), 8);
    outcome_of_call(&pool, address, "m1", true);
    pool.take(EndpointId(1), address).is_some()
}

// Guards against copies of an earlier response that arrive while the next call is in flight.
#[test_case(&[&batch_response("m2 delivered\r\n")] => Outcome::Delivered; "delivered")]
#[test_case(&[REJECTION] => Outcome::Rejected { retry_after: Duration::ZERO }; "rejected")]
#[test_case(&[&batch_response("m2 failed\r\n")] => Outcome::Error; "failed")]
#[test_case(&["HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nm1"] => Outcome::Error; "copy that is cut off")]
#[test_case(&["noise\r\n\r\n"] => Outcome::Error; "noise")]
fn late_copies_in_front_of_a_response_are_skipped(response: &[&str]) -> Outcome {
    let first = batch_response("m1 delivered\r\n");
    let second = first.repeat(2) + &response.concat();
    let pool = ConnectionPool::new(Duration::from_secs(60), 8);
    let address = scripted_server(vec![vec![first, second]]);
    assert_eq!(outcome_of_call(&pool, address, "m1", true), Outcome::Delivered);
    outcome_of_call(&pool, address, "m2", true)
}

const DELIVERY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const DELIVERY_AND_CLOSE: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const REJECTION_AND_CLOSE: &str = "HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

// The same for calls whose responses name no messages: the second and last response on a connection has to announce the
// end of the connection, which a copy of the first one does not.
#[test_case(DELIVERY_AND_CLOSE => Outcome::Delivered; "delivered")]
#[test_case(REJECTION_AND_CLOSE => Outcome::Rejected { retry_after: Duration::ZERO }; "rejected")]
#[test_case("" => Outcome::Reset; "closed behind copies")]
#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\n" => Outcome::Error; "cut off")]
fn late_copies_in_front_of_the_last_response_are_skipped(response: &str) -> Outcome {
    let pool = ConnectionPool::new(Duration::from_secs(60), 8);
    let first = vec![DELIVERY_AND_CLOSE.to_string()];
    let second = vec![DELIVERY.to_string(), DELIVERY.repeat(2) + response];
    let address = scripted_server(vec![first, second]);
    assert_eq!(outcome_of_call(&pool, address, "m1", false), Outcome::Delivered);
    assert!(pool.take(EndpointId(1), address).is_none(), "the first connection ends");
    assert_eq!(outcome_of_call(&pool, address, "m2", false), Outcome::Delivered);
    outcome_of_call(&pool, address, "m3", false)
}

// An endpoint that does not announce the end of a connection gets a connection for each call.
#[test]
fn connections_of_an_endpoint_that_ignores_requests_to_close_are_not_reused() {
    let pool = ConnectionPool::new(Duration::from_secs(60), 8);
    let address = scripted_server(vec![vec![DELIVERY.to_string()]; 3]);
    for id in ["m1", "m2", "m3"] {
        assert_eq!(outcome_of_call(&pool, address, id, false), Outcome::Delivered);
        assert!(pool.take(EndpointId(1), address).is_none());
    }
}
