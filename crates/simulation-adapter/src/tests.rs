//! The adapter's replies, its error messages for invalid input, and the records that it ignores.

use super::serve;
use test_case::test_case;

// Record codes as defined by the wire protocol.
const HELLO: u16 = 256;
const ROSTER_CHANGE: u16 = 258;
const OUTCOME: u16 = 261;
const ROSTER: u16 = 263;
const UNKNOWN: u16 = 999;

const RELAY: [u8; 4] = [7, 0, 0, 0];

/// The minimal settings with which an instance starts.
const OPTIONS: &str = include_str!("tests/options.txt");

fn frame(records: &[(u16, Vec<u8>)]) -> Vec<u8> {
    let mut content = 0_u64.to_le_bytes().to_vec();
    content.extend((records.len() as u32).to_le_bytes());
    for (code, body) in records {
        content.extend(code.to_le_bytes());
        content.extend((body.len() as u32).to_le_bytes());
        content.extend(body);
    }
    let mut frame = (content.len() as u32).to_le_bytes().to_vec();
    frame.extend(content);
    frame
}

fn body(fields: &[&[u8]]) -> Vec<u8> {
    fields.concat()
}

fn hello(options: &[u8]) -> (u16, Vec<u8>) {
    (HELLO, body(&[&RELAY, &[0; 8], &(options.len() as u32).to_le_bytes(), options]))
}

fn outcome(code: u8) -> (u16, Vec<u8>) {
    let (id, hold, go, wait_time, endpoint, over) = ([1; 8], [0; 4], [0], [0; 4], [1; 6], [0]);
    (OUTCOME, body(&[&RELAY, &id, &hold, &go, &wait_time, &endpoint, &over, &[code]]))
}

fn roster_change() -> (u16, Vec<u8>) {
    (ROSTER_CHANGE, body(&[&RELAY, &[3], &[0; 8], &[0]]))
}

fn reply_to(input: &[u8]) -> Result<Vec<u8>, String> {
    let mut output = Vec::new();
    serve(&mut &*input, &mut output).map_err(|error| error.to_string())?;
    Ok(output)
}

/// A reply without records.
const EMPTY_REPLY: [u8; 4] = [0; 4];

#[test]
fn empty_input_gets_no_reply() {
    assert_eq!(reply_to(&[]), Ok(Vec::new()));
}

#[test]
fn records_of_unknown_type_or_for_unknown_instances_are_ignored() {
    let records = [(UNKNOWN, vec![1, 2, 3]), outcome(200), roster_change()];
    assert_eq!(reply_to(&frame(&records)), Ok(EMPTY_REPLY.to_vec()));
}

#[test]
fn reply_records_name_their_instance() {
    let output = reply_to(&frame(&[hello(OPTIONS.as_bytes()), (262, RELAY.to_vec())])).expect("a reply");
    assert_eq!(output.len() - 4, u32::from_le_bytes(output[..4].try_into().expect("a length")) as usize);
    // A record consists of its code, its length and its body, which starts with the instance.
    assert_eq!(output[10..14], RELAY);
}

#[test_case(vec![1, 2] => "frame: input ends after 2 of 4 bytes of its length"; "length cut off")]
#[test_case(vec![20, 0, 0, 0, 1] => "frame: input ends after 1 of 20 bytes"; "frame cut off")]
#[test_case(vec![3, 0, 0, 0, 1, 2, 3] => "frame: 3 bytes, too short for its header"; "no header")]
#[test_case(frame(&[(ROSTER, vec![16, 0, 0, 0, 0])]) => "ROSTER: slot 16 is greater than 15"; "slot out of range")]
#[test_case(frame(&[(ROSTER, vec![1, 2, 0, 0, 0])]) => "ROSTER: items needs 48 bytes, 0 remain"; "list cut off")]
#[test_case(frame(&[(OUTCOME, vec![1, 2])]) => "OUTCOME: relayId needs 4 bytes, 2 remain"; "no instance")]
#[test_case(frame(&[hello(&[0xff])]) => "HELLO: options are not UTF-8"; "settings not text")]
#[test_case(frame(&[hello(b"")]) => "HELLO: setting classes.count is missing"; "settings missing")]
#[test_case(frame(&[hello(OPTIONS.as_bytes()), outcome(8)]) => "OUTCOME: unknown code 8"; "unknown outcome")]
#[test_case(frame(&[hello(OPTIONS.as_bytes()), roster_change()]) => "ROSTER_CHANGE: the slot holds no list"; "no list")]
fn invalid_input_is_reported_in_one_line(input: Vec<u8>) -> String {
    reply_to(&input).expect_err("an error")
}
