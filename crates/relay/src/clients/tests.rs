//! Client connections against a host that the test plays.

use super::connection::*;
use super::submission::*;
use super::*;
use async_channel::Sender;
use futures_lite::future::block_on;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

const ADD: &str = "*5\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n$2\r\nm1\r\n$19\r\nc=any,d=9000,dest=7\r\n$1\r\nx\r\n";

/// A front whose host is the test: what was handed in waits there for its answer.
struct Scene {
    front: Rc<Front>,
    handed: Receiver<Sender<Answer>>,
    ending: Sender<()>,
    _leaving: Sender<()>,
    gone: Rc<RefCell<Vec<MessageId>>>,
}

fn scene() -> Scene {
    let (hand, handed) = async_channel::unbounded();
    let ((leave, leaving), (ending, ended)) = (async_channel::bounded(1), async_channel::bounded(1));
    let gone = Rc::new(RefCell::new(Vec::new()));
    let told = gone.clone();
    let front = Front {
        hand_in: Box::new(move |_, answer| drop(hand.try_send(answer))),
        gone: Box::new(move |msg| told.borrow_mut().push(msg)),
        leaving,
        ending: ended,
        most: 8,
        bytes_most: 1 << 20,
        open: Rc::default(),
        waiting: RefCell::default(),
        maintenance: Rc::new(RefCell::new(MaintenanceState::from_text(""))),
        start: Instant::now(),
        moved: RefCell::new(async_channel::bounded(1)),
    };
    Scene { front: Rc::new(front), handed, ending, _leaving: leave, gone }
}

/// Plays a scene, ten seconds at most.
fn play(executor: &LocalExecutor<'_>, scene: impl Future<Output = ()>) {
    let late = async {
        Timer::after(Duration::from_secs(10)).await;
        panic!("not over in time");
    };
    async_io::block_on(executor.run(scene.or(late)));
}

/// Both ends of a connection that the front serves; the far one has said `said` by then.
async fn connected(scene: &Scene, said: &str, executor: &Rc<LocalExecutor<'static>>) -> Async<TcpStream> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let at = listener.get_ref().local_addr().expect("an address");
    let far = Async::<TcpStream>::connect(at).await.expect("a connection");
    far.get_ref().write_all(said.as_bytes()).expect("written");
    executor.spawn(serve(listener, scene.front.clone(), executor.clone())).detach();
    far
}

async fn heard(far: &mut Async<TcpStream>) -> String {
    let mut text = String::new();
    let _ = futures_lite::AsyncReadExt::read_to_string(far, &mut text).await;
    text
}

// Guards against requests that were read and get no answer, as the process ends while the ones before them wait for
// theirs: whoever wrote them whole takes them for lost.
#[test]
fn what_was_read_and_not_handed_in_when_the_process_ends_is_turned_away() {
    let (scene, executor) = (scene(), Rc::new(LocalExecutor::new()));
    play(&executor, async {
        let mut far = connected(&scene, &ADD.repeat(AT_ONCE + 8), &executor).await;
        let mut waiting = Vec::new();
        for _ in 0..AT_ONCE {
            waiting.push(scene.handed.recv().await.expect("a message"));
        }
        // The rest is read by now; the process ends before the first ones have their answers.
        scene.ending.close();
        waiting.iter().for_each(|answer| answer.try_send(Answer::Taken(MessageId(1))).expect("waited for"));
        assert_eq!(heard(&mut far).await, "+OK\r\n".repeat(AT_ONCE) + &"-BUSY\r\n".repeat(8));
        assert!(scene.handed.is_empty(), "nothing more is handed in");
        assert!(scene.gone.borrow().is_empty(), "what was heard is not taken back");
    });
}

// A client may end its sending behind its request: it hears that it is to come again, and nothing is taken on, as
// one that has gone altogether looks the same.
#[test]
fn a_client_that_ends_its_sending_is_turned_away_and_not_left_without_an_answer() {
    let (scene, executor) = (scene(), Rc::new(LocalExecutor::new()));
    play(&executor, async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let far = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        (&far).write_all(ADD.as_bytes()).expect("written");
        far.shutdown(Shutdown::Write).expect("half closed");
        let listener = Async::new(listener).expect("a listener");
        executor.spawn(serve(listener, scene.front.clone(), executor.clone())).detach();
        let mut far = Async::new(far).expect("a stream");
        assert_eq!(heard(&mut far).await, "-BUSY\r\n");
        assert!(scene.handed.is_empty(), "nothing is handed in");
    });
}

// One that is turned away as there is no room hears so, though its request was not read: a close over unread bytes
// resets the connection.
#[test]
fn one_connection_too_many_hears_that_it_is_turned_away() {
    let (scene, executor) = (scene(), Rc::new(LocalExecutor::new()));
    scene.front.open.set(scene.front.most);
    play(&executor, async {
        let mut far = connected(&scene, ADD, &executor).await;
        let mut text = Vec::new();
        let read = futures_lite::AsyncReadExt::read_to_end(&mut far, &mut text).await;
        assert!(read.is_ok(), "not reset: {read:?}");
        assert_eq!(text, b"-BUSY\r\n");
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
fn only_answers_that_did_not_leave_whole_are_taken_back() {
    let taken = [(5, MessageId(1)), (10, MessageId(2)), (15, MessageId(3))];
    for (takes, back) in [(0, 3), (4, 3), (5, 2), (9, 2), (10, 1), (14, 1), (15, 0)] {
        let (left, written) = block_on(write_out(&mut Breaks(takes), &[b'+'; 15]));
        assert_eq!((15 - left, written.is_err()), (takes, takes < 15));
        assert_eq!(unheard(&taken, 15 - left).collect::<Vec<_>>().len(), back, "{takes} bytes left");
    }
}
