//! Encoding of frames with `postcard`.
//!
//! Invariant: `decode(encode(n, f)) == (n, f)` for each frame within the size
//! bound.

use model::Name;

use crate::Frame;

/// Largest encoded frame.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The frame is larger than `MAX_FRAME_BYTES`.
    #[error("a frame of {0} bytes is larger than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The bytes are not a frame.
    #[error("malformed frame: {0}")]
    Malformed(postcard::Error),
    /// Bytes follow the frame.
    #[error("{0} bytes follow the frame")]
    Trailing(usize),
}

/// Encodes a frame with the name of its sender.
///
/// # Errors
/// Fails when the frame is too large.
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
/// Fails when the input is too large, malformed or has trailing bytes.
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
