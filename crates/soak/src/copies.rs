//! A client that submits messages under the ids of other clients' messages: a different or an identical message.

use crate::client::{Answer, Clients, Submission, exchange, request};
use crate::recorder::Observation;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smol::Timer;
use smol::net::TcpStream;
use std::time::Duration;

/// Body of a different message under a copied id.
pub(crate) const COPY_BODY: &str = "copy";
/// Body of a different message that is submitted under the id of an accepted message, and must not be sent.
pub(crate) const LATE_COPY_BODY: &str = "late copy";
/// Number of times that a late copy is submitted, unless it is accepted before.
const LATE_COPY_SUBMISSIONS: usize = 20;
/// Pause between two submissions of a late copy.
const LATE_COPY_PAUSE: Duration = Duration::from_millis(60);
/// Ordering key of a different message under a copied id; no other client uses it.
const COPY_KEY: u64 = 99;
/// Number of copies of which, on average, one is identical to the original message.
const COPIES_PER_IDENTICAL_COPY: u32 = 4;
/// Time by which half of the copies are sent before the original message; the others race with it.
const HEAD_START: Duration = Duration::from_millis(15);

/// Submits a copy just before its original message. Half of the copies' connections are reset shortly after.
pub(crate) async fn send_copy(
    clients: &Clients,
    relay: usize,
    original: &Submission,
    random: &mut ChaCha8Rng,
) {
    let is_identical = random.random_range(0..COPIES_PER_IDENTICAL_COPY) == 0;
    if is_identical {
        clients.recorder.record(Observation::IdenticalCopySubmitted { message: original.number });
    }
    let bytes = if is_identical { original.bytes.clone() } else { different_message(original, COPY_BODY) };
    let resets_connection = random.random_bool(0.5);
    let address = clients.relays[relay].listen;
    let copy = smol::spawn(async move {
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        if resets_connection {
            let _ = smol::io::AsyncWriteExt::write_all(&mut stream, &bytes).await;
            Timer::after(HEAD_START / 2).await;
            crate::http::reset(&stream);
        } else {
            exchange(&mut stream, &bytes).await;
        }
    });
    copy.detach();
    if random.random_bool(0.5) {
        Timer::after(HEAD_START).await;
    }
}

/// Submits a different message under the id of an accepted message again and again, on new connections, so that each
/// process of the relay gets it while the accepted message is held and after its end.
pub(crate) fn send_late_copies(clients: &Clients, relay: usize, original: &Submission) {
    let bytes = different_message(original, LATE_COPY_BODY);
    let address = clients.relays[relay].listen;
    let copies = smol::spawn(async move {
        for _ in 0..LATE_COPY_SUBMISSIONS {
            Timer::after(LATE_COPY_PAUSE).await;
            let Ok(mut stream) = TcpStream::connect(address).await else { continue };
            if exchange(&mut stream, &bytes).await == Answer::Accepted {
                return;
            }
        }
    });
    copies.detach();
}

/// Returns a different message under the same id: of an ordered class if the original is of an unordered one, and vice
/// versa.
fn different_message(original: &Submission, body: &str) -> Vec<u8> {
    let class = if original.key == 0 { "line" } else { "any" };
    let key = if original.key == 0 { COPY_KEY } else { 0 };
    let options = format!("c={class},d=4000,dest={}", original.destination);
    request(&["OUT.ADD", &format!("{key:016x}"), &original.id, &options, body])
}
