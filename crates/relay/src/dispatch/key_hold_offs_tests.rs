use super::*;

fn hold_off(message: u64, since: u64) -> KeyHoldOff {
    let since = Duration::from_millis(since);
    KeyHoldOff { message: MessageId(message), id: b"m".to_vec(), call: 1, since }
}

#[test]
fn hold_off_ends_with_the_next_message_of_its_key() {
    let hold_offs = KeyHoldOffs::default();
    hold_offs.begin(OrderingKey(5), hold_off(1, 10));
    assert_eq!(hold_offs.end(OrderingKey(6), MessageId(2)), None, "another key");
    assert_eq!(hold_offs.end(OrderingKey(5), MessageId(1)), None, "a repeat");
    assert_eq!(hold_offs.end(OrderingKey(5), MessageId(2)), Some(hold_off(1, 10)));
    assert_eq!(hold_offs.end(OrderingKey(5), MessageId(3)), None);
}

#[test]
fn begin_beyond_the_limit_drops_the_oldest_hold_off() {
    let hold_offs = KeyHoldOffs::default();
    for number in 0..=MAX_HOLD_OFFS as u64 {
        hold_offs.begin(OrderingKey(number), hold_off(1, number));
    }
    assert_eq!(hold_offs.end(OrderingKey(0), MessageId(2)), None, "the oldest one was dropped");
    assert!(hold_offs.end(OrderingKey(1), MessageId(2)).is_some());
}
