//! Calls and kept connections against sockets of the test.

use super::attempt::*;
use super::connection_pool::*;
use super::endpoint_table::*;
use super::http1::*;
use async_io::Timer;
use futures_lite::FutureExt;
use mountshift::interface::*;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use std::net::TcpListener;
use test_case::test_case;

// Guards against an idle time that starts anew when a connection is put back unused: the far side counts from its
// last use, and the next request would be written to a connection that it is closing.
#[test]
fn a_connection_put_back_unused_is_as_old_as_before() {
    let far = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = far.local_addr().expect("an address");
    let lasts = Duration::from_secs(10);
    let idle = Idle::new(lasts, 8);
    let open = || async_io::block_on(Connection::open(at, "far".into())).expect("a connection");
    let (mut old, to) = (open(), EndpointId(1));
    old.used = Instant::now().checked_sub(lasts / 2).expect("a time");
    idle.keep(to, old);
    let mut again = idle.take(to, at).expect("it still lasts");
    again.used = again.used.checked_sub(lasts * 45 / 100).expect("a time");
    idle.keep(to, again);
    assert!(idle.take(to, at).is_none(), "older than nine tenths of the time");
    // A short time is kept to its half, whatever a tenth of it is.
    let short = Idle::new(Duration::from_millis(400), 8);
    let mut old = open();
    old.used = Instant::now().checked_sub(Duration::from_millis(210)).expect("a time");
    short.keep(to, old);
    assert!(short.take(to, at).is_none());
}

/// A connection whose far side reads nothing for now, with so little room between them that a call's bytes don't
/// fit; and the far side.
fn narrow() -> (Connection, std::net::TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2_048).expect("a size");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).and_then(|()| socket.listen(1)).expect("a port");
    let listener = TcpListener::from(socket);
    let at = listener.local_addr().expect("an address");
    let connection = async_io::block_on(Connection::open(at, "far".into())).expect("a connection");
    connection.room(4_096);
    (connection, listener.accept().expect("the far side").0)
}

fn call(to: SocketAddr, body: usize, limit: Duration, note: impl Fn() -> bool + 'static) -> Call {
    let (zone, kind, dst, listed) =
        (ZoneId(0), DestinationKindId(0), DestinationId(7), EndpointStatus::Ready);
    let endpoint = Endpoint { address: to, name: "far".into(), zone, kind, dst, listed, rate: 1.0 };
    let body = vec![b'x'; body];
    Call {
        to: EndpointId(1),
        endpoint,
        parts: vec![Part { msg: MessageId(1), id: b"m1".to_vec(), idempotency_key: None, body }],
        limit,
        connect: limit,
        decided: Instant::now(),
        may_reach: Box::new(|| {
            let (tell, told) = async_channel::bounded(1);
            tell.try_send(true).expect("room");
            told
        }),
        note: Box::new(note),
        stage: Rc::default(),
    }
}

const BODY: usize = 60_000;

// Guards against a call told as one that may have run though its last byte never left: given up by the decisions, or
// at its limit, in the middle of writing. The far side sees how much came.
#[test_case(Duration::from_secs(20) => None; "recalled")]
#[test_case(Duration::from_millis(300) => Some(Outcome::ConnectFailed); "at its limit")]
fn a_call_that_ends_in_the_middle_of_writing_never_arrives_whole(limit: Duration) -> Option<Outcome> {
    let (connection, mut far) = narrow();
    let (idle, to) = (Idle::new(Duration::from_secs(60), 8), connection.to);
    idle.keep(EndpointId(1), connection);
    let (noted, told) = (Rc::new(Cell::new(0)), RefCell::new(None));
    let seen = noted.clone();
    let call = call(to, BODY, limit, move || {
        seen.set(seen.get() + 1);
        true
    });
    let stage = call.stage.clone();
    async_io::block_on(async {
        let run = call.run(&idle, |ends| *told.borrow_mut() = Some(ends.ends[0].1));
        // A recall drops the call once it has begun to write: what had room has left by the first look.
        let recalled = async {
            while stage.get() == Stage::Begun {
                futures_lite::future::yield_now().await;
            }
            Timer::after(if limit > Duration::from_secs(1) { Duration::ZERO } else { limit * 10 }).await;
        };
        run.or(recalled).await;
    });
    assert_eq!((stage.get(), noted.get()), (Stage::Noted, 1), "begun, noted once, never written whole");
    let mut bytes = Vec::new();
    let _ = std::io::Read::read_to_end(&mut far, &mut bytes);
    assert!(bytes.starts_with(b"POST /receive HTTP/1.1\r\n") && bytes.len() < BODY, "{} came", bytes.len());
    *told.borrow()
}

// What has ended, or is nobody's any more, when its connection is up does not go out: not a byte, and the connection
// serves the next call.
#[test]
fn a_call_whose_message_has_ended_meanwhile_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let (idle, told) = (Idle::new(Duration::from_secs(60), 8), RefCell::new(None));
    let call = call(to, 1, Duration::from_secs(5), || false);
    let stage = call.stage.clone();
    async_io::block_on(call.run(&idle, |ends| *told.borrow_mut() = Some(ends.ends[0].1)));
    assert_eq!((*told.borrow(), stage.get()), (Some(Outcome::NotSent), Stage::Begun));
    assert!(idle.take(EndpointId(1), to).is_some(), "kept");
    idle.close(EndpointId(1));
    let (mut far, mut bytes) = (listener.accept().expect("the far side").0, Vec::new());
    let _ = std::io::Read::read_to_end(&mut far, &mut bytes);
    assert!(bytes.is_empty(), "{bytes:?}");
}

// A task that waited for the core until its call's time was up, with a connection at hand: nothing of it goes out.
#[test]
fn a_call_whose_time_is_up_before_its_first_byte_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let (idle, told) = (Idle::new(Duration::from_secs(60), 8), RefCell::new(None));
    idle.keep(EndpointId(1), async_io::block_on(Connection::open(to, "far".into())).expect("a connection"));
    let mut call = call(to, 1, Duration::from_millis(300), || true);
    call.decided = Instant::now().checked_sub(Duration::from_millis(400)).expect("a time");
    async_io::block_on(call.run(&idle, |ends| *told.borrow_mut() = Some(ends.ends[0].1)));
    assert_eq!(*told.borrow(), Some(Outcome::ConnectFailed), "never ran");
    drop(idle);
    let (mut far, mut bytes) = (listener.accept().expect("the far side").0, Vec::new());
    let _ = std::io::Read::read_to_end(&mut far, &mut bytes);
    assert!(bytes.is_empty(), "{} bytes came", bytes.len());
}
