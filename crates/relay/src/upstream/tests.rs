//! Calls and kept connections against sockets of the test.

use super::*;
use async_io::Timer;
use futures_lite::FutureExt;
use mountshift::interface::*;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use test_case::test_case;

// The far side counts idle time from the last use: were it counted anew when a connection is put back unused, the next
// request would be written to a connection that is being closed.
#[test]
fn a_connection_put_back_unused_keeps_its_idle_time() {
    let far = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = far.local_addr().expect("an address");
    let lasts = Duration::from_secs(10);
    let pool = ConnectionPool::new(lasts, 8);
    let open = || async_io::block_on(HttpConnection::open(at, "far".into())).expect("a connection");
    let (mut old, to) = (open(), EndpointId(1));
    old.last_used = Instant::now().checked_sub(lasts / 2).expect("a time");
    pool.put_back(to, old);
    let mut again = pool.take(to, at).expect("it still lasts");
    again.last_used = again.last_used.checked_sub(lasts * 45 / 100).expect("a time");
    pool.put_back(to, again);
    assert!(pool.take(to, at).is_none(), "older than nine tenths of the time");
    // A short time is kept to its half, whatever a tenth of it is.
    let short = ConnectionPool::new(Duration::from_millis(400), 8);
    let mut old = open();
    old.last_used = Instant::now().checked_sub(Duration::from_millis(210)).expect("a time");
    short.put_back(to, old);
    assert!(short.take(to, at).is_none());
}

/// A connection whose far side reads nothing for now, with so little room between them that a call's bytes don't
/// fit; and the far side.
fn narrow() -> (HttpConnection, std::net::TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2_048).expect("a size");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).and_then(|()| socket.listen(1)).expect("a port");
    let listener = TcpListener::from(socket);
    let at = listener.local_addr().expect("an address");
    let connection = async_io::block_on(HttpConnection::open(at, "far".into())).expect("a connection");
    connection.set_send_buffer_size(4_096);
    (connection, listener.accept().expect("the far side").0)
}

fn call(to: SocketAddr, body: usize, limit: Duration, note: impl Fn() -> bool + 'static) -> Call {
    let endpoint = Endpoint {
        address: to,
        name: "far".into(),
        zone: ZoneId(0),
        kind: DestinationKindId(0),
        destination: DestinationId(7),
        status: EndpointStatus::Ready,
        rate: 1.0,
    };
    let body = vec![b'x'; body];
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
        time_limit: limit,
        connect_timeout: limit,
        decided_at: Instant::now(),
        request_send_permission: Box::new(|| {
            let (tell, told) = async_channel::bounded(1);
            tell.try_send(true).expect("room");
            told
        }),
        record_attempts: Box::new(move || if note() { Ok(()) } else { Err(Outcome::NotSent) }),
        stage: Rc::default(),
    }
}

const BODY: usize = 60_000;

// A call that was cancelled, or reached its time limit, before its last byte left must not count as one that may have
// run. The far side sees how much came.
#[test_case(Duration::from_secs(20) => None; "cancelled")]
#[test_case(Duration::from_millis(300) => Some(Outcome::ConnectFailed); "at its time limit")]
fn a_call_that_ends_while_writing_never_arrives_whole(limit: Duration) -> Option<Outcome> {
    let (connection, mut far) = narrow();
    let (pool, to) = (ConnectionPool::new(Duration::from_secs(60), 8), connection.address);
    pool.put_back(EndpointId(1), connection);
    let (recorded, told) = (Rc::new(Cell::new(0)), RefCell::new(None));
    let seen = recorded.clone();
    let call = call(to, BODY, limit, move || {
        seen.set(seen.get() + 1);
        true
    });
    let stage = call.stage.clone();
    async_io::block_on(async {
        let run = call.run(&pool, |ends| *told.borrow_mut() = Some(ends.attempts[0].outcome));
        // A cancellation drops the call once it has begun to write: what had room has left by the first look.
        let cancelled = async {
            while stage.get() == CallStage::Connecting {
                futures_lite::future::yield_now().await;
            }
            Timer::after(if limit > Duration::from_secs(1) { Duration::ZERO } else { limit * 10 }).await;
        };
        run.or(cancelled).await;
    });
    assert_eq!((stage.get(), recorded.get()), (CallStage::Recorded, 1), "recorded once, never written whole");
    let mut bytes = Vec::new();
    let _ = std::io::Read::read_to_end(&mut far, &mut bytes);
    assert!(bytes.starts_with(b"POST /receive HTTP/1.1\r\n") && bytes.len() < BODY, "{} came", bytes.len());
    *told.borrow()
}

// What has ended, or is nobody's any more, when its connection is up does not go out: not a byte, and the connection
// serves the next call.
#[test]
fn a_call_whose_message_ended_while_it_connected_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let (pool, told) = (ConnectionPool::new(Duration::from_secs(60), 8), RefCell::new(None));
    let call = call(to, 1, Duration::from_secs(5), || false);
    let stage = call.stage.clone();
    async_io::block_on(call.run(&pool, |ends| *told.borrow_mut() = Some(ends.attempts[0].outcome)));
    assert_eq!((*told.borrow(), stage.get()), (Some(Outcome::NotSent), CallStage::Connecting));
    assert!(pool.take(EndpointId(1), to).is_some(), "kept");
    pool.close_endpoint(EndpointId(1));
    let (mut far, mut bytes) = (listener.accept().expect("the far side").0, Vec::new());
    let _ = std::io::Read::read_to_end(&mut far, &mut bytes);
    assert!(bytes.is_empty(), "{bytes:?}");
}

// A task that waited for the core until its call's time was up, with a connection at hand: nothing of it goes out.
#[test]
fn a_call_past_its_deadline_before_its_first_byte_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let (pool, told) = (ConnectionPool::new(Duration::from_secs(60), 8), RefCell::new(None));
    pool.put_back(
        EndpointId(1),
        async_io::block_on(HttpConnection::open(to, "far".into())).expect("a connection"),
    );
    let mut call = call(to, 1, Duration::from_millis(300), || true);
    call.decided_at = Instant::now().checked_sub(Duration::from_millis(400)).expect("a time");
    async_io::block_on(call.run(&pool, |ends| *told.borrow_mut() = Some(ends.attempts[0].outcome)));
    assert_eq!(*told.borrow(), Some(Outcome::ConnectFailed), "never ran");
    drop(pool);
    let (mut far, mut bytes) = (listener.accept().expect("the far side").0, Vec::new());
    let _ = std::io::Read::read_to_end(&mut far, &mut bytes);
    assert!(bytes.is_empty(), "{} bytes came", bytes.len());
}

// What this machine lacks tells nothing of an endpoint; what the network or the endpoint says does.
#[test_case(libc::EMFILE => true; "no descriptor")]
#[test_case(libc::EADDRNOTAVAIL => true; "no port")]
#[test_case(libc::EADDRINUSE => true; "the port is taken")]
#[test_case(libc::ENOSPC => true; "no room to wait for another socket")]
#[test_case(libc::ENOMEM => true; "no memory")]
#[test_case(libc::ECONNREFUSED => false; "refused")]
#[test_case(libc::ETIMEDOUT => false; "timed out")]
#[test_case(libc::EHOSTUNREACH => false; "unreachable")]
fn an_error_of_a_connection_may_tell_of_this_machine_alone(errno: i32) -> bool {
    super::attempt::is_local_error(&std::io::Error::from_raw_os_error(errno))
}
