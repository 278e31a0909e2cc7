use super::*;
use crate::clients::SubmissionMetadata;
use mountshift_spool::MAX_ENDED_IDS;

fn accepted(id: &str, key: u64, metadata: &str, body: &[u8]) -> AcceptedMessage {
    AcceptedMessage {
        id: id.into(),
        key,
        metadata: metadata.into(),
        deadline: 0,
        body: body.into(),
        accepted_at_us: 0,
    }
}

#[test]
fn find_compares_the_content_submitted_under_an_id() {
    let metadata = |text| SubmissionMetadata::parse(text).expect("metadata");
    let (own, shorter_deadline, other) =
        (metadata("c=pay,d=9000,dest=7"), metadata("c=pay,d=7000,dest=7"), metadata("c=any,d=9000,dest=7"));
    let content = |key, metadata, body| MessageContent { key, metadata, body };
    let mut ended = EndedIds::default();
    ended.push(ended_id(&accepted("m1", 5, "c=pay,d=9000,dest=7", b"x")));
    assert_eq!(find(&ended, b"m2", &content(5, &own, b"x")), IdUse::Unused);
    assert_eq!(find(&ended, b"m1", &content(5, &shorter_deadline, b"x")), IdUse::SameMessage);
    for other in [content(6, &own, b"x"), content(5, &other, b"x"), content(5, &own, b"y")] {
        assert_eq!(find(&ended, b"m1", &other), IdUse::OtherMessage);
    }
}

#[test]
fn push_beyond_the_limit_drops_the_oldest_id() {
    let message = |number: usize| accepted(&number.to_string(), 5, "c=pay,d=9000,dest=7", b"x");
    let mut ended = EndedIds::default();
    for number in 0..=MAX_ENDED_IDS {
        ended.push(ended_id(&message(number)));
    }
    assert_eq!(find_accepted(&ended, &message(0)), IdUse::Unused);
    assert_eq!(find_accepted(&ended, &message(1)), IdUse::SameMessage);
}
