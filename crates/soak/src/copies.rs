//! A client that hands in messages under the ids of others: a message of its own, or the very same one.

use crate::client::{Clients, Submission, exchange, request};
use crate::recorder::Observation;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smol::Timer;
use smol::net::TcpStream;
use std::time::Duration;

/// The body of a message that stands under another one's id.
pub(crate) const COPY_BODY: &str = "copy";
/// The key of such a message: no other client's.
const COPY_KEY: u64 = 99;
/// One copy in so many is the very same message.
const SAME_IN: u32 = 4;
/// Every second copy is on its way for so long before the message that it copies; the others race with it.
const AHEAD: Duration = Duration::from_millis(15);

/// Hands a copy in, just before its message. Every second such client is gone at once, by a reset.
pub(crate) async fn send_copy(
    clients: &Clients,
    relay: usize,
    original: &Submission,
    random: &mut ChaCha8Rng,
) {
    let is_same = random.random_range(0..SAME_IN) == 0;
    if is_same {
        clients.recorder.note(Observation::Copied { message: original.number });
    }
    let bytes = if is_same { original.bytes.clone() } else { other_message(original) };
    let goes_at_once = random.random_bool(0.5);
    let at = clients.relays[relay].listen;
    let copy = smol::spawn(async move {
        let Ok(mut stream) = TcpStream::connect(at).await else { return };
        if goes_at_once {
            let _ = smol::io::AsyncWriteExt::write_all(&mut stream, &bytes).await;
            Timer::after(AHEAD / 2).await;
            crate::http::reset(&stream);
        } else {
            exchange(&mut stream, &bytes).await;
        }
    });
    copy.detach();
    if random.random_bool(0.5) {
        Timer::after(AHEAD).await;
    }
}

/// Another message under the same id: of a class in order where the original is in none, and the other way round.
fn other_message(original: &Submission) -> Vec<u8> {
    let class = if original.key == 0 { "line" } else { "any" };
    let key = if original.key == 0 { COPY_KEY } else { 0 };
    let metadata = format!("c={class},d=4000,dest={}", original.destination);
    request(&["OUT.ADD", &format!("{key:016x}"), &original.id, &metadata, COPY_BODY])
}
