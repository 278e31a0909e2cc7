//! Reads frames from the input.

use crate::error::AdapterError;
use crate::wire::{Cursor, LENGTH_BYTES};
use std::io::Read;

/// Size in bytes of a frame's header: the clock and the number of records.
const HEADER_BYTES: usize = size_of::<u64>() + size_of::<u32>();

/// Reads a frame's content; returns `None` if the input ends before the frame begins.
pub(crate) fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let length = read_up_to(input, LENGTH_BYTES as u64)?;
    if length.is_empty() {
        return Ok(None);
    }
    if length.len() < LENGTH_BYTES {
        return Err(AdapterError::TruncatedLength { received: length.len() });
    }
    let length = Cursor::new(&length, "frame").u32("length")?;
    let frame = read_up_to(input, u64::from(length))?;
    if frame.len() < length as usize {
        return Err(AdapterError::TruncatedFrame { received: frame.len(), length });
    }
    if frame.len() < HEADER_BYTES {
        return Err(AdapterError::FrameWithoutHeader { length: frame.len() });
    }
    Ok(Some(frame))
}

/// Reads `count` bytes, or fewer if the input ends.
fn read_up_to(input: &mut impl Read, count: u64) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    input.take(count).read_to_end(&mut bytes).map_err(AdapterError::ReadFrame)?;
    Ok(bytes)
}
