use super::*;
use async_channel::Receiver;

const MESSAGE: MessageId = MessageId(3);

fn client() -> (Sender<SubmissionReply>, Receiver<SubmissionReply>) {
    async_channel::bounded(1)
}

#[test]
fn all_clients_of_a_message_get_a_reply_after_its_commit() {
    let mut acceptances = Acceptances::default();
    let (first, further, late) = (client(), client(), client());
    acceptances.add(MESSAGE, first.0);
    acceptances.add_repeat(MESSAGE, further.0);
    assert!(first.1.is_empty() && further.1.is_empty(), "no reply before the commit");
    acceptances.reply_accepted();
    acceptances.add_repeat(MESSAGE, late.0);
    for reply in [first.1, further.1, late.1] {
        assert_eq!(reply.try_recv(), Ok(SubmissionReply::Accepted(MESSAGE)));
    }
    assert_eq!([(); 3].map(|()| acceptances.release_client(MESSAGE)), [false, false, true]);
}

#[test]
fn uncommitted_message_is_rejected_once_for_all_clients() {
    let mut acceptances = Acceptances::default();
    let (first, further) = (client(), client());
    acceptances.add(MESSAGE, first.0);
    acceptances.add_repeat(MESSAGE, further.0);
    assert_eq!(acceptances.reply_rejected(), [MESSAGE]);
    for reply in [first.1, further.1] {
        assert_eq!(reply.try_recv(), Ok(SubmissionReply::Rejected { retry_after_ms: 0 }));
    }
    assert!(acceptances.release_client(MESSAGE));
}
