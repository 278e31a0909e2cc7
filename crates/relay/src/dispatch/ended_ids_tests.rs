use super::*;
use crate::clients::SubmissionMetadata;

#[test]
fn find_compares_the_content_submitted_under_an_id() {
    let metadata = |text| SubmissionMetadata::parse(text).expect("metadata");
    let (own, shorter_deadline, other) =
        (metadata("c=pay,d=9000,dest=7"), metadata("c=pay,d=7000,dest=7"), metadata("c=any,d=9000,dest=7"));
    let content = |key, metadata, body| MessageContent { key, metadata, body };
    let mut ended = EndedIds::default();
    ended.insert(b"m1", &content(5, &own, b"x"));
    assert_eq!(ended.find(b"m2", &content(5, &own, b"x")), IdUse::Unused);
    assert_eq!(ended.find(b"m1", &content(5, &shorter_deadline, b"x")), IdUse::SameMessage);
    for other in [content(6, &own, b"x"), content(5, &other, b"x"), content(5, &own, b"y")] {
        assert_eq!(ended.find(b"m1", &other), IdUse::OtherMessage);
    }
}

#[test]
fn insert_beyond_the_limit_drops_the_oldest_id() {
    let metadata = SubmissionMetadata::parse("c=pay,d=9000,dest=7").expect("metadata");
    let content = MessageContent { key: 5, metadata: &metadata, body: b"x" };
    let mut ended = EndedIds::default();
    for number in 0..=MAX_IDS {
        ended.insert(number.to_string().as_bytes(), &content);
    }
    assert_eq!(ended.find(b"0", &content), IdUse::Unused);
    assert_eq!(ended.find(b"1", &content), IdUse::SameMessage);
}
