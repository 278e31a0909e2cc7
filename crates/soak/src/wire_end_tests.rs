use super::*;

#[test]
fn only_a_complete_response_shows_that_the_call_is_over() {
    let outcome = |response, closed_by| WireEnd { response, closed_by }.outcome();
    for response in [WrittenResponse::Nothing, WrittenResponse::Part] {
        for closed_by in [None, Some(ConnectionSide::Relay), Some(ConnectionSide::Endpoint)] {
            assert!(outcome(response, closed_by).may_still_run(), "{response:?}, {closed_by:?}");
        }
    }
    for response in [WrittenResponse::Delivered, WrittenResponse::Failed, WrittenResponse::Refused(0)] {
        assert!(!outcome(response, Some(ConnectionSide::Endpoint)).may_still_run(), "{response:?}");
    }
}
