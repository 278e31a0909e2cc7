use super::*;

fn rest(message: u64, since: u64) -> KeyHoldOff {
    let since = Duration::from_millis(since);
    KeyHoldOff { message: MessageId(message), id: b"m".to_vec(), call: 1, since }
}

#[test]
fn a_rest_ends_with_the_next_message_of_its_key() {
    let rests = KeyHoldOffs::default();
    rests.begin(OrderingKey(5), rest(1, 10));
    assert_eq!(rests.end(OrderingKey(6), MessageId(2)), None, "another key");
    assert_eq!(rests.end(OrderingKey(5), MessageId(1)), None, "a repeat");
    assert_eq!(rests.end(OrderingKey(5), MessageId(2)), Some(rest(1, 10)));
    assert_eq!(rests.end(OrderingKey(5), MessageId(3)), None);
}

#[test]
fn rests_are_bounded() {
    let rests = KeyHoldOffs::default();
    for number in 0..=MAX_HOLD_OFFS as u64 {
        rests.begin(OrderingKey(number), rest(1, number));
    }
    assert_eq!(rests.end(OrderingKey(0), MessageId(2)), None, "the first one is gone");
    assert!(rests.end(OrderingKey(1), MessageId(2)).is_some());
}
