//! Frames exchanged between entry VMs, and their codec.
//!
//! Invariant: `decode` returns a frame or a typed error for any input and never
//! panics. It rejects input larger than `MAX_FRAME_BYTES`.

pub(crate) mod codec;
pub(crate) mod frame;

pub use codec::{Error, MAX_FRAME_BYTES, decode, encode};
pub use frame::{DataCentreLoad, Frame, Heartbeat, JobQuery, ServeRequest, ServiceLoad};
