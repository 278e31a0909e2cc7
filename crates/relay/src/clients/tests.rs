//! Tests of client connections with a simulated dispatcher.

use super::connection::*;
use super::submission::*;
use super::*;
use async_channel::Sender;
use async_executor::LocalExecutor;
use futures_lite::future::block_on;
use std::io::{self, Write};
use std::net::TcpListener;
use std::pin::Pin;
use std::task::{Context, Poll};

const ADD: &str = "*5\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n$2\r\nm1\r\n$19\r\nc=any,d=9000,dest=7\r\n$1\r\nx\r\n";

/// A client service without a dispatcher: the test receives the submissions and sends the replies.
struct Fixture {
    service: Rc<ClientService>,
    submitted: Receiver<Sender<SubmissionReply>>,
    ending: Sender<()>,
    stopping: Sender<()>,
    withdrawn: Rc<RefCell<Vec<MessageId>>>,
    violations: Rc<Violations>,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // In no test may the relay close a connection with unanswered requests.
        if !std::thread::panicking() {
            assert_eq!(self.violations.total(), 0);
        }
    }
}

fn fixture() -> Fixture {
    let (submit, submitted) = async_channel::unbounded();
    let (stop, stopping) = async_channel::bounded(1);
    let (end, ending) = async_channel::bounded(1);
    let (accept, accepting) = async_channel::bounded(1);
    accept.close();
    let withdrawn = Rc::new(RefCell::new(Vec::new()));
    let violations: Rc<Violations> = Rc::default();
    let withdrawn_by_service = withdrawn.clone();
    let service = ClientService::new(ClientServiceConfig {
        submit: Box::new(move |_, reply| drop(submit.try_send(reply))),
        withdraw: Box::new(move |message| withdrawn_by_service.borrow_mut().push(message)),
        accepting,
        stopping,
        ending,
        max_connections: 8,
        max_buffered_bytes: 1 << 20,
        open_connections: Rc::default(),
        maintenance: Rc::new(RefCell::new(MaintenanceState::from_text(""))),
        start: Instant::now(),
        metrics: Rc::new(Metrics::new(violations.clone(), Rc::default())),
        violations: violations.clone(),
    });
    Fixture { service: Rc::new(service), submitted, ending: end, stopping: stop, withdrawn, violations }
}

/// Runs a test on the executor; panics after ten seconds.
fn run_test(executor: &LocalExecutor<'_>, test: impl Future<Output = ()>) {
    let timeout = async {
        Timer::after(Duration::from_secs(10)).await;
        panic!("test timed out");
    };
    async_io::block_on(executor.run(test.or(timeout)));
}

/// Starts the service and returns the client side of a connection to it, on which `input` is already written.
async fn connect(fixture: &Fixture, input: &str, executor: &Rc<LocalExecutor<'static>>) -> Async<TcpStream> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let at = listener.get_ref().local_addr().expect("an address");
    let client = Async::<TcpStream>::connect(at).await.expect("a connection");
    client.get_ref().write_all(input.as_bytes()).expect("written");
    executor.spawn(serve(listener, fixture.service.clone(), executor.clone())).detach();
    client
}

/// Reads until the connection ends.
async fn read_all(client: &mut Async<TcpStream>) -> String {
    let mut text = String::new();
    let _ = futures_lite::AsyncReadExt::read_to_string(client, &mut text).await;
    text
}

// Requests that are still in the buffer when the process exits must get a reply: without one, the client that sent them
// counts them as lost.
#[test]
fn buffered_requests_are_rejected_when_the_process_exits() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        let mut client = connect(&fixture, &ADD.repeat(MAX_REQUESTS_PER_TURN + 8), &executor).await;
        let mut waiting = Vec::new();
        for _ in 0..MAX_REQUESTS_PER_TURN {
            waiting.push(fixture.submitted.recv().await.expect("a message"));
        }
        // The rest is in the buffer; the process exits before the first ones get their replies.
        fixture.ending.close();
        for reply_to in &waiting {
            reply_to.try_send(SubmissionReply::Accepted(MessageId(1))).expect("the connection waits");
        }
        assert_eq!(
            read_all(&mut client).await,
            "+OK\r\n".repeat(MAX_REQUESTS_PER_TURN) + &"-BUSY\r\n".repeat(8)
        );
        assert!(fixture.submitted.is_empty(), "nothing more is submitted");
        assert!(fixture.withdrawn.borrow().is_empty(), "answered messages are not withdrawn");
    });
}

// Without a reply to an incomplete request when the process exits, the client would send the rest and get a connection
// reset.
#[test]
fn incomplete_request_is_rejected_when_the_process_exits() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        let (first, rest) = ADD.split_at(ADD.len() / 2);
        let mut client = connect(&fixture, first, &executor).await;
        while fixture.service.buffered_bytes() == 0 {
            futures_lite::future::yield_now().await;
        }
        fixture.ending.close();
        expect_rejection_and_send(&mut client, rest).await;
        assert!(fixture.submitted.is_empty(), "nothing is submitted");
    });
}

// The first request on a new connection arrives while the process exits. It must get a reply, because the client does
// not repeat it on another connection.
#[test]
fn first_request_during_process_exit_is_rejected() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        fixture.ending.close();
        let mut client = connect(&fixture, ADD, &executor).await;
        assert_eq!(read_all(&mut client).await, "-BUSY\r\n");
        assert!(fixture.submitted.is_empty(), "nothing is submitted");
    });
}

// A client that closes its sending direction after a request looks the same as one that closed the connection entirely.
// The request is rejected and not submitted.
#[test]
fn half_closed_connection_gets_a_rejection() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        (&client).write_all(ADD.as_bytes()).expect("written");
        client.shutdown(Shutdown::Write).expect("half closed");
        let listener = Async::new(listener).expect("a listener");
        executor.spawn(serve(listener, fixture.service.clone(), executor.clone())).detach();
        let mut client = Async::new(client).expect("a stream");
        assert_eq!(read_all(&mut client).await, "-BUSY\r\n");
        assert!(fixture.submitted.is_empty(), "nothing is submitted");
    });
}

// Closing a rejected connection with unread input would reset it, and the client would not get the rejection.
#[test]
fn connection_over_the_limit_is_rejected_without_reset() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    fixture.service.config.open_connections.set(fixture.service.config.max_connections);
    run_test(&executor, async {
        let mut client = connect(&fixture, ADD, &executor).await;
        let mut text = Vec::new();
        let read = futures_lite::AsyncReadExt::read_to_end(&mut client, &mut text).await;
        assert!(read.is_ok(), "not reset: {read:?}");
        assert_eq!(text, b"-BUSY\r\n");
    });
}

/// Expects `-BUSY`, then sends the rest of the request in two pieces and expects no reset.
async fn expect_rejection_and_send(client: &mut Async<TcpStream>, rest: &str) {
    let mut reply = [0; 7];
    futures_lite::AsyncReadExt::read_exact(client, &mut reply).await.expect("a reply");
    assert_eq!(&reply, b"-BUSY\r\n");
    for piece in [&rest[..2], &rest[2..]] {
        client.get_ref().write_all(piece.as_bytes()).expect("written");
    }
    let mut text = Vec::new();
    let read = futures_lite::AsyncReadExt::read_to_end(client, &mut text).await;
    assert!(read.is_ok() && text.is_empty(), "not reset: {read:?}");
}

// The rest of a request may arrive after the rejection. If the connection were closed by then, the reset would discard
// the reply.
#[test]
fn rejected_connection_may_send_the_rest_of_its_request() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    fixture.service.config.open_connections.set(fixture.service.config.max_connections);
    run_test(&executor, async {
        let (first, rest) = ADD.split_at(ADD.len() / 2);
        let mut client = connect(&fixture, first, &executor).await;
        expect_rejection_and_send(&mut client, rest).await;
        drop(client);
        while fixture.service.config.open_connections.get() > fixture.service.config.max_connections {
            futures_lite::future::yield_now().await;
        }
    });
}

// A connection evicted during a request gets a rejection: the request was not submitted, so it may be repeated.
#[test]
fn evicted_incomplete_request_is_rejected_without_reset() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        let (first, rest) = ADD.split_at(ADD.len() / 2);
        let mut client = connect(&fixture, first, &executor).await;
        while !fixture.service.evict_oldest(Evictable::Buffering) {
            futures_lite::future::yield_now().await;
        }
        expect_rejection_and_send(&mut client, rest).await;
        assert!(fixture.submitted.is_empty(), "nothing is submitted");
    });
}

/// Returns the number of connections to the address that the kernel has established. Both ends are on this machine;
/// only the server's is counted.
fn established_to(at: std::net::SocketAddr) -> usize {
    let std::net::SocketAddr::V4(at) = at else { return 0 };
    let own_address = format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table");
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    // Columns: number, local address, remote address, state; state 01 is ESTABLISHED.
    rows.filter(|columns| columns[1] == own_address && columns[3] == "01").count()
}

// Connections in the kernel's accept queue when the relay stops are served, including one whose request arrives after
// the listener has closed: a connection closed without a reply counts as a fault of the relay. The tasks are polled
// manually, so that scheduling delays can't fall between the late connection's first check for input and its request.
#[test]
fn connections_queued_when_the_listener_closes_are_served() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let at = listener.get_ref().local_addr().expect("an address");
    let connect = || TcpStream::connect(at).expect("a connection");
    let (early, late) = (connect(), connect());
    (&early).write_all(ADD.as_bytes()).expect("written");
    while established_to(at) < 2 {
        std::thread::yield_now();
    }
    fixture.stopping.close();
    block_on(serve(listener, fixture.service.clone(), executor.clone()));
    assert!(TcpStream::connect(at).is_err(), "the listener is closed");
    assert_eq!(fixture.service.config.open_connections.get(), 2);
    assert!(executor.try_tick() && executor.try_tick(), "each connection has checked for input once");
    (&late).write_all(ADD.as_bytes()).expect("written");
    run_test(&executor, async {
        for message in [1, 2] {
            let reply = fixture.submitted.recv().await.expect("a message");
            reply.try_send(SubmissionReply::Accepted(MessageId(message))).expect("the connection waits");
        }
        for stream in [early, late] {
            let mut stream = Async::new(stream).expect("a stream");
            assert_eq!(read_all(&mut stream).await, "+OK\r\n");
        }
    });
}

/// A writer that accepts the given number of bytes, up to three per write, then fails.
struct FailingWriter(usize);

impl futures_lite::AsyncWrite for FailingWriter {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let n = bytes.len().min(self.0).min(3);
        self.0 -= n;
        Poll::Ready(if n == 0 { Err(io::ErrorKind::ConnectionReset.into()) } else { Ok(n) })
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

// A message stays accepted if its reply was written completely, even if a later write fails; the others are withdrawn.
// A socket accepts this few bytes either completely or not at all, so the test uses a writer with partial writes.
#[test]
fn only_messages_with_incomplete_replies_are_withdrawn() {
    let accepted = [(5, 1), (10, 2), (15, 3)].map(|(end, id)| AcceptedReply { message: MessageId(id), end });
    for (writable, withdrawn) in [(0, 3), (4, 3), (5, 2), (9, 2), (10, 1), (14, 1), (15, 0)] {
        let (unwritten, result) = block_on(write_in_time(&mut FailingWriter(writable), &[b'+'; 15]));
        assert_eq!((15 - unwritten, result.is_err()), (writable, writable < 15));
        assert_eq!(
            messages_with_incomplete_reply(&accepted, 15 - unwritten).collect::<Vec<_>>().len(),
            withdrawn,
            "{writable} bytes written"
        );
    }
}

// Each open connection keeps its task, and hundreds may be open: a buffer of 64 KiB that lives across an await would
// enlarge each of these tasks by that size.
#[test]
fn a_connection_task_holds_no_read_buffer() {
    const MAX_TASK_BYTES: usize = 8 * 1024;
    let fixture = fixture();
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let at = listener.get_ref().local_addr().expect("an address");
    let _client = TcpStream::connect(at).expect("a connection");
    let (stream, peer) = block_on(listener.accept()).expect("accepted");
    let task = serve_connection(ClientConnection::new(stream, 1), peer, fixture.service.clone());
    let task_bytes = std::mem::size_of_val(&task);
    assert!(task_bytes < MAX_TASK_BYTES, "{task_bytes} bytes");
}
