use super::*;
use async_io::block_on;

#[test]
fn a_passing_error_is_waited_out() {
    let mut tries = 0;
    let result = block_on(Patience::of_start().retry(|| {
        tries += 1;
        if tries < 3 { Err(io::Error::from(ErrorKind::StorageFull)) } else { Ok(tries) }
    }));
    assert_eq!(result.expect("it passed"), 3);
}

#[test]
fn an_error_that_tells_of_bad_input_counts_at_once() {
    let mut tries = 0;
    let result: io::Result<()> = block_on(Patience::of_start().retry_essential(|| {
        tries += 1;
        Err(ErrorKind::NotFound.into())
    }));
    assert!(result.is_err());
    assert_eq!(tries, 1);
}

#[test]
fn an_error_that_stays_counts_once_the_time_is_over() {
    let over = Patience { ends_at: Instant::now(), essential_ends_at: Instant::now() };
    let result: io::Result<()> = block_on(over.retry(|| Err(ErrorKind::StorageFull.into())));
    assert_eq!(result.expect_err("it stayed").kind(), ErrorKind::StorageFull);
}
