//! Limits on what clients that are not under our control make a process hold.
//!
//! A server admits each connection to its [`Connections`], reads and writes through a
//! [`Stream`], and reports through the [`Slot`] what has become of a request. The
//! crate decides which connections are closed, and closes them.
//!
//! Invariant: the bytes of all requests that are not decided yet, and of all answers
//! that are not read yet, are reserved from a [`Budget`] before they are held.

pub(crate) mod budget;
pub(crate) mod connection;
pub(crate) mod connections;
pub(crate) mod known;
pub(crate) mod machine;
pub(crate) mod stream;

pub use budget::{Budget, Reservation};
pub use connection::{Cause, Times};
pub use connections::{Connections, Overloaded, Slot};
pub use machine::{Machine, Share, Shares};
pub use stream::{Stream, bind};
