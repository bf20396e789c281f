//! Frames between entry VMs and their codec.
//!
//! Invariant: `decode` accepts at most `MAX_FRAME_BYTES`, returns a typed error
//! on any other input, and never panics.

pub(crate) mod codec;
pub(crate) mod frame;

pub use codec::{Error, MAX_FRAME_BYTES, decode, encode};
pub use frame::{DataCentreLoad, Frame, Heartbeat, JobQuery, ServeRequest, ServiceLoad};
