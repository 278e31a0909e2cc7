//! Client connections against a host that the test plays.

use super::connection::*;
use super::submission::*;
use super::*;
use async_channel::Sender;
use futures_lite::future::block_on;
use std::io::{self, Write};
use std::pin::Pin;
use std::task::{Context, Poll};

const ADD: &str = "*5\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n$2\r\nm1\r\n$19\r\nc=any,d=9000,dest=7\r\n$1\r\nx\r\n";

/// A client service whose dispatcher is the test: what was submitted waits there for its reply.
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
        // Whatever a test plays, no connection is closed owing an answer.
        if !std::thread::panicking() {
            assert_eq!(self.violations.total(), 0);
        }
    }
}

fn fixture() -> Fixture {
    let (submit, submitted) = async_channel::unbounded();
    let (stop, stopping) = async_channel::bounded(1);
    let (end, ending) = async_channel::bounded(1);
    let withdrawn = Rc::new(RefCell::new(Vec::new()));
    let violations: Rc<Violations> = Rc::default();
    let withdrawn_by_service = withdrawn.clone();
    let service = ClientService::new(ClientServiceConfig {
        submit: Box::new(move |_, reply| drop(submit.try_send(reply))),
        withdraw: Box::new(move |message| withdrawn_by_service.borrow_mut().push(message)),
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

/// Runs a test on the executor, ten seconds at most.
fn run_test(executor: &LocalExecutor<'_>, test: impl Future<Output = ()>) {
    let late = async {
        Timer::after(Duration::from_secs(10)).await;
        panic!("not over in time");
    };
    async_io::block_on(executor.run(test.or(late)));
}

/// The client's end of a connection that the service serves; the client has written `said` by then.
async fn connected(fixture: &Fixture, said: &str, executor: &Rc<LocalExecutor<'static>>) -> Async<TcpStream> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let at = listener.get_ref().local_addr().expect("an address");
    let far = Async::<TcpStream>::connect(at).await.expect("a connection");
    far.get_ref().write_all(said.as_bytes()).expect("written");
    executor.spawn(serve(listener, fixture.service.clone(), executor.clone())).detach();
    far
}

async fn heard(far: &mut Async<TcpStream>) -> String {
    let mut text = String::new();
    let _ = futures_lite::AsyncReadExt::read_to_string(far, &mut text).await;
    text
}

// The process ends while requests that were read wait behind others for their turn: they must get an answer, as whoever
// wrote them whole takes them for lost.
#[test]
fn requests_read_but_not_submitted_when_the_process_ends_are_rejected() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        let mut far = connected(&fixture, &ADD.repeat(MAX_REQUESTS_PER_TURN + 8), &executor).await;
        let mut waiting = Vec::new();
        for _ in 0..MAX_REQUESTS_PER_TURN {
            waiting.push(fixture.submitted.recv().await.expect("a message"));
        }
        // The rest is read by now; the process ends before the first ones have their answers.
        fixture.ending.close();
        for answer in &waiting {
            answer.try_send(SubmissionReply::Accepted(MessageId(1))).expect("waited for");
        }
        assert_eq!(heard(&mut far).await, "+OK\r\n".repeat(MAX_REQUESTS_PER_TURN) + &"-BUSY\r\n".repeat(8));
        assert!(fixture.submitted.is_empty(), "nothing more is submitted");
        assert!(fixture.withdrawn.borrow().is_empty(), "what was heard is not withdrawn");
    });
}

// The process ends in the middle of a request: its client would wait for an answer to what was read in part, and find the
// connection reset as it sends the rest.
#[test]
fn a_request_read_in_part_when_the_process_ends_is_rejected() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        let (first, rest) = ADD.split_at(ADD.len() / 2);
        let mut far = connected(&fixture, first, &executor).await;
        while fixture.service.buffered_bytes() == 0 {
            futures_lite::future::yield_now().await;
        }
        fixture.ending.close();
        expect_rejection_and_send(&mut far, rest).await;
        assert!(fixture.submitted.is_empty(), "nothing is submitted");
    });
}

// The first request of a connection comes in the very moment in which the process ends: who opens a connection does not ask
// again on another one.
#[test]
fn a_first_request_that_comes_as_the_process_ends_is_rejected() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        fixture.ending.close();
        let mut far = connected(&fixture, ADD, &executor).await;
        assert_eq!(heard(&mut far).await, "-BUSY\r\n");
        assert!(fixture.submitted.is_empty(), "nothing is submitted");
    });
}

// A client may end its sending behind its request: it hears that it is to come again, and nothing is taken on, as
// one that has gone altogether looks the same.
#[test]
fn a_client_that_half_closes_its_connection_gets_a_rejection() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let far = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        (&far).write_all(ADD.as_bytes()).expect("written");
        far.shutdown(Shutdown::Write).expect("half closed");
        let listener = Async::new(listener).expect("a listener");
        executor.spawn(serve(listener, fixture.service.clone(), executor.clone())).detach();
        let mut far = Async::new(far).expect("a stream");
        assert_eq!(heard(&mut far).await, "-BUSY\r\n");
        assert!(fixture.submitted.is_empty(), "nothing is submitted");
    });
}

// One that is turned away as there is no room hears so, though its request was not read: a close over unread bytes
// resets the connection.
#[test]
fn a_connection_over_the_limit_gets_a_rejection_and_no_reset() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    fixture.service.config.open_connections.set(fixture.service.config.max_connections);
    run_test(&executor, async {
        let mut far = connected(&fixture, ADD, &executor).await;
        let mut text = Vec::new();
        let read = futures_lite::AsyncReadExt::read_to_end(&mut far, &mut text).await;
        assert!(read.is_ok(), "not reset: {read:?}");
        assert_eq!(text, b"-BUSY\r\n");
    });
}

/// The client hears `-BUSY`, then sends the rest of its request in two pieces, and meets no reset.
async fn expect_rejection_and_send(far: &mut Async<TcpStream>, rest: &str) {
    let mut reply = [0; 7];
    futures_lite::AsyncReadExt::read_exact(far, &mut reply).await.expect("a reply");
    assert_eq!(&reply, b"-BUSY\r\n");
    for piece in [&rest[..2], &rest[2..]] {
        far.get_ref().write_all(piece.as_bytes()).expect("taken");
    }
    let mut text = Vec::new();
    let read = futures_lite::AsyncReadExt::read_to_end(far, &mut text).await;
    assert!(read.is_ok() && text.is_empty(), "not reset: {read:?}");
}

// The rest of its request may still be on its way: it must find the connection open, or a reset takes the reply away.
#[test]
fn a_connection_over_the_limit_may_still_send_the_rest_of_its_request() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    fixture.service.config.open_connections.set(fixture.service.config.max_connections);
    run_test(&executor, async {
        let (first, rest) = ADD.split_at(ADD.len() / 2);
        let mut far = connected(&fixture, first, &executor).await;
        expect_rejection_and_send(&mut far, rest).await;
        drop(far);
        while fixture.service.config.open_connections.get() > fixture.service.config.max_connections {
            futures_lite::future::yield_now().await;
        }
    });
}

// A place is needed while a request is half there: nobody has taken it on, so that it may come again.
#[test]
fn a_request_cut_off_for_another_connection_is_rejected_and_may_end() {
    let (fixture, executor) = (fixture(), Rc::new(LocalExecutor::new()));
    run_test(&executor, async {
        let (first, rest) = ADD.split_at(ADD.len() / 2);
        let mut far = connected(&fixture, first, &executor).await;
        while !fixture.service.evict_oldest(Evictable::Buffering) {
            futures_lite::future::yield_now().await;
        }
        expect_rejection_and_send(&mut far, rest).await;
        assert!(fixture.submitted.is_empty(), "nothing is submitted");
    });
}

/// Connections to the address that the kernel has established; both ends are on this machine, and only the server's is
/// counted.
fn established_to(at: std::net::SocketAddr) -> usize {
    let std::net::SocketAddr::V4(at) = at else { return 0 };
    let own_address = format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table");
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    // Its columns: number, own address, the other one, state; 01 is ESTABLISHED.
    rows.filter(|columns| columns[1] == own_address && columns[3] == "01").count()
}

// Connections that wait in the kernel's queue when clients are sent away are served, also one whose request comes only
// after the listener has closed: one closed without an answer counts against the relay. The tasks are polled by hand, so
// that no delay of the machine comes between the late connection's first look for input and its request.
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
    assert!(executor.try_tick() && executor.try_tick(), "each connection has looked for input once");
    (&late).write_all(ADD.as_bytes()).expect("written");
    run_test(&executor, async {
        for message in [1, 2] {
            let reply = fixture.submitted.recv().await.expect("a message");
            reply.try_send(SubmissionReply::Accepted(MessageId(message))).expect("waited for");
        }
        for stream in [early, late] {
            let mut stream = Async::new(stream).expect("a stream");
            assert_eq!(heard(&mut stream).await, "+OK\r\n");
        }
    });
}

/// Takes so many bytes, then breaks.
struct Breaks(usize);

impl futures_lite::AsyncWrite for Breaks {
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

// An answer that left whole stands, whatever comes after it; the others are taken back. A socket takes so few bytes
// whole or not at all, so the writer here is one that does not.
#[test]
fn only_messages_whose_replies_did_not_leave_whole_are_withdrawn() {
    let accepted = [(5, 1), (10, 2), (15, 3)].map(|(end, id)| AcceptedReply { message: MessageId(id), end });
    for (takes, back) in [(0, 3), (4, 3), (5, 2), (9, 2), (10, 1), (14, 1), (15, 0)] {
        let (left, written) = block_on(write_in_time(&mut Breaks(takes), &[b'+'; 15]));
        assert_eq!((15 - left, written.is_err()), (takes, takes < 15));
        assert_eq!(
            unheard_messages(&accepted, 15 - left).collect::<Vec<_>>().len(),
            back,
            "{takes} bytes left"
        );
    }
}

// A connection's task is kept for as long as the connection is open, and hundreds may be: a buffer of 64 KiB that lived
// across an await made each of them as much larger.
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
