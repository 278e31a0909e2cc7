use super::*;

fn message() -> AcceptedMessage {
    AcceptedMessage {
        id: b"a".to_vec(),
        key: 5,
        metadata: "c=a,d=8000".into(),
        deadline: 1_000,
        body: vec![0, 255],
        accepted_at_us: 9,
    }
}

#[test]
fn records_round_trip() {
    let attempt = AttemptRecord { zone: "north".into(), at: 77, may_have_run: true };
    for (payload, expected) in [
        (encode_format(), Record::Format(LOG_FORMAT)),
        (encode_accepted(1, &message()), Record::Accepted { number: 1, message: message() }),
        (encode_attempt(2, &attempt), Record::Attempt { number: 2, attempt }),
        (encode_not_processed(3), Record::NotProcessed { number: 3 }),
        (
            encode_outcome(4, FinalOutcome::Failed),
            Record::Outcome { number: 4, outcome: FinalOutcome::Failed },
        ),
        (
            encode_outcome(5, FinalOutcome::Rejected(500)),
            Record::Outcome { number: 5, outcome: FinalOutcome::Rejected(500) },
        ),
        (encode_removed(6), Record::Removed { number: 6 }),
    ] {
        assert_eq!(Record::decode(&payload), Some(expected));
    }
}

#[test]
fn truncated_payload_or_unknown_tag_is_not_decoded() {
    let payload = encode_accepted(1, &message());
    let without_acceptance_time = payload.len() - 8;
    for cut in (0..payload.len()).filter(|cut| *cut != without_acceptance_time) {
        assert_eq!(Record::decode(&payload[..cut]), None, "cut at {cut}");
    }
    assert_eq!(Record::decode(b"Q12345678"), None);
}
