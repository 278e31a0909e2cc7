//! Clients that are well behaved: they submit messages one after another, those of a key each once the one before has its answer.

use crate::copies::send_copy;
use crate::endpoint::Endpoints;
use crate::installation::Installation;
use crate::recorder::{Observation, Recorder, message_id, message_number};
use crate::relay_process::RelayProcess;
use mountshift_invariants::{Fact, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A client waits so long for its answer.
pub(crate) const PATIENCE: Duration = Duration::from_millis(400);
/// Between two messages of a client, on average.
const MEAN_PAUSE_MS: u64 = 120;
/// Clients of each relay without a key, and with a key of their own.
const FREE_CLIENTS: usize = 2;
const KEYED_CLIENTS: usize = 2;
/// Connections of a client.
const CONNECTIONS: usize = 2;
/// A message is handed in so often at most, ...
const MAX_TRIES: usize = 4;
/// ... and this share of those that were not accepted is given up at each try.
const GIVES_UP: f64 = 0.4;
/// How often a message is copied, where another client does that.
const COPIED: f64 = 0.5;
/// One request in so many comes in two pieces, ...
const PIECES_IN: usize = 3;
/// ... so far apart.
const PIECE_PAUSE: Duration = Duration::from_millis(4);

/// What all clients share.
pub(crate) struct Clients {
    pub(crate) installation: Installation,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) relays: Vec<Arc<RelayProcess>>,
    pub(crate) is_over: AtomicBool,
    counts: Vec<AtomicU64>,
    /// Relays at which another client copies ids.
    copied: Vec<AtomicBool>,
    /// Until when a crowd may keep other clients out of a relay.
    crowded_until: Vec<AtomicU64>,
}

/// A message to submit.
pub(crate) struct Submission {
    pub(crate) number: u64,
    pub(crate) id: String,
    pub(crate) key: u64,
    pub(crate) class: usize,
    pub(crate) destination: u32,
    pub(crate) bytes: Vec<u8>,
}

/// Why a message is handed in again, under a new id.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Again {
    AfterRefusal,
    AfterSilence,
}

impl Again {
    /// What the request says of it.
    fn mark(self) -> &'static str {
        match self {
            Again::AfterRefusal => ",r=1",
            Again::AfterSilence => ",again=1",
        }
    }
}

/// What became of a submission.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    Accepted,
    Refused,
    /// The connection ended with no answer.
    None,
    /// No answer within the client's patience.
    Late,
}

impl Clients {
    pub(crate) fn new(
        installation: &Installation,
        endpoints: &Arc<Endpoints>,
        recorder: &Arc<Recorder>,
        relays: &[Arc<RelayProcess>],
    ) -> Clients {
        Clients {
            installation: installation.clone(),
            endpoints: endpoints.clone(),
            recorder: recorder.clone(),
            relays: relays.to_vec(),
            is_over: AtomicBool::new(false),
            counts: relays.iter().map(|_| AtomicU64::new(0)).collect(),
            copied: relays.iter().map(|_| AtomicBool::new(false)).collect(),
            crowded_until: relays.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }

    /// Starts the clients of all relays; they go on until the run is over.
    pub(crate) fn start(self: &Arc<Clients>, seed: u64) -> Vec<smol::Task<()>> {
        let mut tasks = Vec::new();
        for relay in 0..self.relays.len() {
            for client in 0..FREE_CLIENTS + KEYED_CLIENTS {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                random.set_stream(1_000 + (relay * 100 + client) as u64);
                let key = if client < FREE_CLIENTS { 0 } else { (client + 1) as u64 };
                tasks.push(smol::spawn(submit_all(self.clone(), relay, key, random)));
            }
        }
        tasks
    }

    pub(crate) fn submission(&self, relay: usize, key: u64, random: &mut ChaCha8Rng) -> Submission {
        let classes = &self.installation.classes;
        let fitting: Vec<usize> = (0..classes.len()).filter(|c| classes[*c].in_order == (key != 0)).collect();
        let class = fitting[random.random_range(0..fitting.len())];
        let destination = random.random_range(0..self.installation.destinations);
        self.submission_to(relay, key, class, destination, "")
    }

    /// The message of an earlier submission once more, as another message.
    fn submission_again(&self, relay: usize, earlier: &Submission, why: Again) -> Submission {
        self.submission_to(relay, earlier.key, earlier.class, earlier.destination, why.mark())
    }

    fn submission_to(
        &self,
        relay: usize,
        key: u64,
        class: usize,
        destination: u32,
        mark: &str,
    ) -> Submission {
        let classes = &self.installation.classes;
        let number = message_number(relay, self.counts[relay].fetch_add(1, Ordering::SeqCst));
        let id = message_id(number);
        let plan = &classes[class];
        let metadata = format!("c={},d={},dest={destination},k={id}{mark}", plan.name, plan.deadline_ms);
        self.endpoints.announce(number, class);
        self.recorder.fact(Fact::Submitted {
            message: number,
            request: number,
            relay: relay as u32,
            class: class as u16,
            destination,
            key,
            deadline: self.recorder.now() + plan.deadline_ms * 1_000,
        });
        let bytes = request(&["OUT.ADD", &format!("{key:016x}"), &id, &metadata, "body"]);
        Submission { number, id, key, class, destination, bytes }
    }

    pub(crate) fn note_answer(&self, message: u64, answer: Answer) {
        if answer == Answer::Refused {
            self.recorder.note(Observation::Refused { message });
        }
        self.recorder.fact(match answer {
            Answer::Accepted => Fact::Accepted { message },
            Answer::Refused | Answer::None | Answer::Late => Fact::Withdrawn { message },
        });
    }

    /// From now on another client copies the ids of a relay's messages, or does no longer.
    pub(crate) fn set_copied(&self, relay: usize, is_copied: bool) {
        self.copied[relay].store(is_copied, Ordering::SeqCst);
    }

    /// Until then a crowd may keep other clients out of a relay.
    pub(crate) fn set_crowded_until(&self, relay: usize, until: Time) {
        self.crowded_until[relay].store(until, Ordering::SeqCst);
    }

    pub(crate) fn note_unanswered(&self, relay: usize, message: u64, written_at: Time) {
        // New connections may be shut unread where idle clients fill the descriptors.
        if written_at <= self.crowded_until[relay].load(Ordering::SeqCst) {
            return;
        }
        if !self.relays[relay].is_disturbed_since(written_at) {
            self.recorder.note(Observation::Unanswered { relay, id: message_id(message) });
        }
    }
}

/// A command as it goes over the wire.
pub(crate) fn request(words: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text += &format!("${}\r\n{word}\r\n", word.len());
    }
    text.into_bytes()
}

/// A client that submits messages until the run is over, over two connections as long as these last. What is refused, or gets no
/// answer, it hands in again as a new message, before the next one of its key.
async fn submit_all(clients: Arc<Clients>, relay: usize, key: u64, mut random: ChaCha8Rng) {
    let mut kept: [Option<TcpStream>; CONNECTIONS] = Default::default();
    while !clients.is_over.load(Ordering::SeqCst) {
        Timer::after(Duration::from_millis(random.random_range(1..2 * MEAN_PAUSE_MS))).await;
        let mut submission = clients.submission(relay, key, &mut random);
        for tries_left in (0..MAX_TRIES).rev() {
            let connection = &mut kept[random.random_range(0..CONNECTIONS)];
            if clients.copied[relay].load(Ordering::SeqCst) && random.random_bool(COPIED) {
                send_copy(&clients, relay, &submission, &mut random).await;
            }
            let answer = submit(&clients, relay, connection, &submission).await;
            clients.note_answer(submission.number, answer);
            if answer != Answer::Accepted && answer != Answer::Refused || random.random_range(0..4) == 0 {
                *connection = None;
            }
            let why = match answer {
                Answer::Accepted => break,
                Answer::Refused => Again::AfterRefusal,
                Answer::None | Answer::Late => Again::AfterSilence,
            };
            if tries_left == 0 || random.random_bool(GIVES_UP) {
                break;
            }
            if why == Again::AfterRefusal {
                Timer::after(Duration::from_millis(random.random_range(5..MEAN_PAUSE_MS))).await;
            }
            submission = clients.submission_again(relay, &submission, why);
        }
    }
}

/// Submits a message, once more on a new connection if a kept one ended with no answer.
async fn submit(
    clients: &Clients,
    relay: usize,
    kept: &mut Option<TcpStream>,
    submission: &Submission,
) -> Answer {
    if let Some(mut stream) = kept.take() {
        match exchange(&mut stream, &submission.bytes).await {
            // The relay may close a connection between requests: what it has not read comes again.
            Answer::None => {}
            answer => {
                *kept = Some(stream);
                return answer;
            }
        }
    }
    // The time of the message counts from here, so the client does not wait longer for the connection than for the answer.
    let late = async {
        Timer::after(PATIENCE).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let mut stream = match TcpStream::connect(clients.relays[relay].listen).or(late).await {
        Ok(stream) => stream,
        Err(e) if e.kind() == io::ErrorKind::TimedOut => return Answer::Late,
        Err(_) => return Answer::None,
    };
    let _ = stream.set_nodelay(true);
    let written_at = clients.recorder.now();
    let answer = exchange(&mut stream, &submission.bytes).await;
    if answer == Answer::None {
        clients.note_unanswered(relay, submission.number, written_at);
    }
    *kept = Some(stream);
    answer
}

/// Writes a request and reads its answer.
pub(crate) async fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> Answer {
    let answered = async {
        // Some requests come in two pieces.
        let (first, rest) = if bytes.len().is_multiple_of(PIECES_IN) {
            bytes.split_at(bytes.len() / 2)
        } else {
            (bytes, &bytes[..0])
        };
        if stream.write_all(first).await.is_err() {
            return Answer::None;
        }
        if !rest.is_empty() {
            Timer::after(PIECE_PAUSE).await;
            // A rejection may be here already; then the rest counts for nothing.
            let _ = stream.write_all(rest).await;
        }
        match read_line(stream).await {
            Ok(line) if line.starts_with('+') => Answer::Accepted,
            Ok(line) if line.starts_with('-') => Answer::Refused,
            _ => Answer::None,
        }
    };
    let late = async {
        Timer::after(PATIENCE).await;
        Answer::Late
    };
    answered.or(late).await
}

/// A line; empty at the end of the connection.
pub(crate) async fn read_line(stream: &mut TcpStream) -> io::Result<String> {
    let mut line = String::new();
    let mut byte = [0];
    while !line.ends_with('\n') && stream.read(&mut byte).await? > 0 {
        line.push(byte[0] as char);
    }
    Ok(line)
}
