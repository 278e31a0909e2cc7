//! Well-behaved clients. They submit messages one after another, and a message with a key only once the previous
//! message of the key is answered.

use crate::copies::{send_copy, send_late_copies};
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

/// Time for which a client waits for an answer.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Mean pause between two messages of a client, in milliseconds.
const MEAN_PAUSE_MS: u64 = 120;
/// Number of clients per relay that submit messages without a key.
const UNKEYED_CLIENTS: usize = 2;
/// Number of clients per relay that submit messages under a key of their own.
const KEYED_CLIENTS: usize = 2;
/// Number of connections of a client.
const CONNECTIONS: usize = 2;
/// Maximum number of submissions of a message.
const MAX_SUBMISSIONS: usize = 4;
/// Probability that a client does not submit a message again after an unsuccessful submission.
const GIVE_UP_PROBABILITY: f64 = 0.4;
/// Probability that a message is copied while another client copies ids.
const COPY_PROBABILITY: f64 = 0.5;
/// Requests whose length is a multiple of this are sent in two pieces.
const SPLIT_LENGTH_DIVISOR: usize = 3;
/// Pause between the two pieces of a request.
const SPLIT_PAUSE: Duration = Duration::from_millis(4);

/// State shared by all clients.
pub(crate) struct Clients {
    pub(crate) installation: Installation,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) relays: Vec<Arc<RelayProcess>>,
    pub(crate) is_over: AtomicBool,
    /// Number of messages submitted so far, by relay.
    message_counts: Vec<AtomicU64>,
    /// By relay, whether another client copies message ids there.
    ids_copied: Vec<AtomicBool>,
    /// By relay, the time until which idle connections may exhaust its descriptors, so that it closes others.
    descriptors_exhausted_until: Vec<AtomicU64>,
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

/// The reason why a message is submitted again, under a new id.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ResubmitReason {
    NotAccepted,
    NoAnswer,
}

impl ResubmitReason {
    /// Returns the option of the request that states the reason.
    fn option(self) -> &'static str {
        match self {
            ResubmitReason::NotAccepted => ",r=1",
            ResubmitReason::NoAnswer => ",again=1",
        }
    }
}

/// The answer to a submission.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    Accepted,
    /// A rejection or an error.
    NotAccepted,
    /// The connection could not be made or ended without an answer.
    Missing,
    /// No answer within the client's timeout.
    TimedOut,
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
            message_counts: relays.iter().map(|_| AtomicU64::new(0)).collect(),
            ids_copied: relays.iter().map(|_| AtomicBool::new(false)).collect(),
            descriptors_exhausted_until: relays.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }

    /// Starts the clients of all relays; they run until `is_over` is set.
    pub(crate) fn start(self: &Arc<Clients>, seed: u64) -> Vec<smol::Task<()>> {
        let mut tasks = Vec::new();
        for relay in 0..self.relays.len() {
            for client in 0..UNKEYED_CLIENTS + KEYED_CLIENTS {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                random.set_stream(1_000 + (relay * 100 + client) as u64);
                let key = if client < UNKEYED_CLIENTS { 0 } else { (client + 1) as u64 };
                tasks.push(smol::spawn(run_client(self.clone(), relay, key, random)));
            }
        }
        tasks
    }

    /// Draws a message and records its submission.
    pub(crate) fn draw_submission(&self, relay: usize, key: u64, random: &mut ChaCha8Rng) -> Submission {
        let classes = &self.installation.classes;
        let eligible: Vec<usize> =
            (0..classes.len()).filter(|c| classes[*c].in_order == (key != 0)).collect();
        let class = eligible[random.random_range(0..eligible.len())];
        let destination = random.random_range(0..self.installation.destinations);
        self.new_submission(relay, key, class, destination, "")
    }

    /// Returns a new message with the contents of an earlier one.
    fn resubmission(&self, relay: usize, earlier: &Submission, reason: ResubmitReason) -> Submission {
        self.new_submission(relay, earlier.key, earlier.class, earlier.destination, reason.option())
    }

    fn new_submission(
        &self,
        relay: usize,
        key: u64,
        class: usize,
        destination: u32,
        extra_options: &str,
    ) -> Submission {
        let classes = &self.installation.classes;
        let number = message_number(relay, self.message_counts[relay].fetch_add(1, Ordering::SeqCst));
        let id = message_id(number);
        let plan = &classes[class];
        let options =
            format!("c={},d={},dest={destination},k={id}{extra_options}", plan.name, plan.deadline_ms);
        self.endpoints.register_message(number, class);
        self.recorder.record_fact(Fact::Submitted {
            message: number,
            request: number,
            relay: relay as u32,
            class: class as u16,
            destination,
            key,
            deadline: self.recorder.now() + plan.deadline_ms * 1_000,
        });
        let bytes = request(&["OUT.ADD", &format!("{key:016x}"), &id, &options, "body"]);
        Submission { number, id, key, class, destination, bytes }
    }

    pub(crate) fn record_answer(&self, message: u64, answer: Answer) {
        if answer == Answer::NotAccepted {
            self.recorder.record(Observation::NotAccepted { message });
        }
        self.recorder.record_fact(match answer {
            Answer::Accepted => Fact::Accepted { message },
            Answer::NotAccepted | Answer::Missing | Answer::TimedOut => Fact::Withdrawn { message },
        });
    }

    /// Sets whether another client copies the ids of a relay's messages.
    pub(crate) fn set_ids_copied(&self, relay: usize, is_copied: bool) {
        self.ids_copied[relay].store(is_copied, Ordering::SeqCst);
    }

    /// Sets the time until which idle connections may exhaust a relay's descriptors.
    pub(crate) fn set_descriptors_exhausted_until(&self, relay: usize, until: Time) {
        self.descriptors_exhausted_until[relay].store(until, Ordering::SeqCst);
    }

    /// Records a missing answer, unless a fault explains it.
    pub(crate) fn record_unanswered(&self, relay: usize, message: u64, written_at: Time) {
        // A relay without free descriptors may close new connections before it reads them.
        if written_at <= self.descriptors_exhausted_until[relay].load(Ordering::SeqCst) {
            return;
        }
        if !self.relays[relay].tolerates_missing_answer_since(written_at) {
            self.recorder.record(Observation::Unanswered { relay, id: message_id(message) });
        }
    }
}

/// Returns the bytes of a command.
pub(crate) fn request(words: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text += &format!("${}\r\n{word}\r\n", word.len());
    }
    text.into_bytes()
}

/// Runs a client that submits messages until the run is over, and keeps its connections open as long as they last.
/// Messages that are not accepted or get no answer are submitted again as new messages, before the next one of the key.
async fn run_client(clients: Arc<Clients>, relay: usize, key: u64, mut random: ChaCha8Rng) {
    let mut connections: [Option<TcpStream>; CONNECTIONS] = Default::default();
    while !clients.is_over.load(Ordering::SeqCst) {
        Timer::after(Duration::from_millis(random.random_range(1..2 * MEAN_PAUSE_MS))).await;
        let mut submission = clients.draw_submission(relay, key, &mut random);
        for submissions_left in (0..MAX_SUBMISSIONS).rev() {
            let connection = &mut connections[random.random_range(0..CONNECTIONS)];
            if clients.ids_copied[relay].load(Ordering::SeqCst) && random.random_bool(COPY_PROBABILITY) {
                send_copy(&clients, relay, &submission, &mut random).await;
            }
            let answer = submit(&clients, relay, connection, &submission).await;
            clients.record_answer(submission.number, answer);
            if answer != Answer::Accepted && answer != Answer::NotAccepted || random.random_range(0..4) == 0 {
                *connection = None;
            }
            let is_copied_later = clients.ids_copied[relay].load(Ordering::SeqCst);
            if answer == Answer::Accepted && is_copied_later && random.random_bool(COPY_PROBABILITY) {
                send_late_copies(&clients, relay, &submission);
            }
            let reason = match answer {
                Answer::Accepted => break,
                Answer::NotAccepted => ResubmitReason::NotAccepted,
                Answer::Missing | Answer::TimedOut => ResubmitReason::NoAnswer,
            };
            if submissions_left == 0 || random.random_bool(GIVE_UP_PROBABILITY) {
                break;
            }
            if reason == ResubmitReason::NotAccepted {
                Timer::after(Duration::from_millis(random.random_range(5..MEAN_PAUSE_MS))).await;
            }
            submission = clients.resubmission(relay, &submission, reason);
        }
    }
}

/// Submits a message. If a kept connection ends without an answer, submits it again on a new connection.
async fn submit(
    clients: &Clients,
    relay: usize,
    kept: &mut Option<TcpStream>,
    submission: &Submission,
) -> Answer {
    if let Some(mut stream) = kept.take() {
        match exchange(&mut stream, &submission.bytes).await {
            // The relay may close a connection between two requests without reading the second one, which is sent
            // again.
            Answer::Missing => {}
            answer => {
                *kept = Some(stream);
                return answer;
            }
        }
    }
    // The message's deadline runs already, so the client waits for a connection no longer than for an answer.
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let mut stream = match TcpStream::connect(clients.relays[relay].listen).or(timeout).await {
        Ok(stream) => stream,
        Err(e) if e.kind() == io::ErrorKind::TimedOut => return Answer::TimedOut,
        Err(_) => return Answer::Missing,
    };
    let _ = stream.set_nodelay(true);
    let written_at = clients.recorder.now();
    let answer = exchange(&mut stream, &submission.bytes).await;
    if answer == Answer::Missing {
        clients.record_unanswered(relay, submission.number, written_at);
    }
    *kept = Some(stream);
    answer
}

/// Writes a request and reads its answer.
pub(crate) async fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> Answer {
    let answer = async {
        let (first, rest) = if bytes.len().is_multiple_of(SPLIT_LENGTH_DIVISOR) {
            bytes.split_at(bytes.len() / 2)
        } else {
            (bytes, &bytes[..0])
        };
        if stream.write_all(first).await.is_err() {
            return Answer::Missing;
        }
        if !rest.is_empty() {
            Timer::after(SPLIT_PAUSE).await;
            // The relay may have rejected the message after the first piece, so a failure does not matter.
            let _ = stream.write_all(rest).await;
        }
        match read_line(stream).await {
            Ok(line) if line.starts_with('+') => Answer::Accepted,
            Ok(line) if line.starts_with('-') => Answer::NotAccepted,
            _ => Answer::Missing,
        }
    };
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        Answer::TimedOut
    };
    answer.or(timeout).await
}

/// Reads a line, which is empty at the end of the connection.
pub(crate) async fn read_line(stream: &mut TcpStream) -> io::Result<String> {
    let mut line = String::new();
    let mut byte = [0];
    while !line.ends_with('\n') && stream.read(&mut byte).await? > 0 {
        line.push(byte[0] as char);
    }
    Ok(line)
}
