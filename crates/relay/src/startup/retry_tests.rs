use super::*;
use async_io::block_on;

#[test]
fn temporary_error_is_retried_until_success() {
    let mut attempts = 0;
    let result = block_on(RetryDeadlines::from_now().retry_optional(|| {
        attempts += 1;
        if attempts < 3 { Err(io::Error::from(ErrorKind::StorageFull)) } else { Ok(attempts) }
    }));
    assert_eq!(result.expect("success after retries"), 3);
}

#[test]
fn error_caused_by_bad_input_is_not_retried() {
    let mut attempts = 0;
    let result: io::Result<()> = block_on(RetryDeadlines::from_now().retry_required(|| {
        attempts += 1;
        Err(ErrorKind::NotFound.into())
    }));
    assert!(result.is_err());
    assert_eq!(attempts, 1);
}

#[test]
fn persistent_error_is_returned_after_the_deadline() {
    let expired = RetryDeadlines { optional_deadline: Instant::now(), required_deadline: Instant::now() };
    let result: io::Result<()> = block_on(expired.retry_optional(|| Err(ErrorKind::StorageFull.into())));
    assert_eq!(result.expect_err("an error after the deadline").kind(), ErrorKind::StorageFull);
}
