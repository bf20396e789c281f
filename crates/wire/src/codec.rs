//! Encoding and decoding of frames with `postcard`.
//!
//! Invariant: `decode(encode(n, f)) == (n, f)` for each frame within the size
//! limit.

use model::Name;

use crate::Frame;

/// Maximum size of an encoded frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frame is larger than `MAX_FRAME_BYTES`.
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge(usize),
    /// The frame can't be serialized, or the input is not a valid frame.
    #[error("malformed frame: {0}")]
    Malformed(postcard::Error),
    /// The input has bytes after the end of the frame.
    #[error("{0} trailing bytes after the frame")]
    Trailing(usize),
}

/// Encodes a frame with the name of its sender.
///
/// # Errors
/// Returns an error when the frame is too large or can't be serialized.
pub fn encode(from: &Name, frame: &Frame) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_stdvec(&(from, frame)).map_err(Error::Malformed)?;
    match bytes.len() {
        n if n > MAX_FRAME_BYTES => Err(Error::TooLarge(n)),
        _ => Ok(bytes),
    }
}

/// Decodes the name of the sender and the frame.
///
/// # Errors
/// Returns an error when the input is too large, malformed or has trailing bytes.
pub fn decode(bytes: &[u8]) -> Result<(Name, Frame), Error> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(Error::Trailing(rest.len())),
        Err(e) => Err(Error::Malformed(e)),
    }
}
