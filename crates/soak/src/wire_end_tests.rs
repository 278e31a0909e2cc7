use super::*;

#[test]
fn only_a_whole_answer_tells_that_a_call_is_over() {
    let outcome = |answer, ended_by| WireEnd { answer, ended_by }.outcome();
    for answer in [WrittenAnswer::Nothing, WrittenAnswer::Part] {
        for ended_by in [None, Some(Ender::Relay), Some(Ender::Endpoint)] {
            assert!(outcome(answer, ended_by).may_still_run(), "{answer:?}, {ended_by:?}");
        }
    }
    for answer in [WrittenAnswer::Delivered, WrittenAnswer::Failed, WrittenAnswer::Refused(0)] {
        assert!(!outcome(answer, Some(Ender::Endpoint)).may_still_run(), "{answer:?}");
    }
}
