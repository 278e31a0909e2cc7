//! Runs the delivery policy on the simulator's wire protocol: frames on standard input, replies on standard
//! output.
#![forbid(unsafe_code)]

mod decode;
mod error;
mod frame;
mod reply;
mod session;
#[cfg(test)]
mod tests;
mod wire;

use error::AdapterError;
use frame::read_frame;
use reply::Reply;
use session::Session;
use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mountshift-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each frame with a reply until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    while let Some(frame) = read_frame(input)? {
        let mut reply = Reply::new();
        session.process_frame(&frame, &mut reply)?;
        output.write_all(reply.finish()).map_err(AdapterError::WriteReply)?;
        output.flush().map_err(AdapterError::WriteReply)?;
    }
    Ok(())
}
