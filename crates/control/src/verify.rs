//! Verifier of a node's whole state, called by tests after every step.
//!
//! Invariant: `verify` never changes the node.

use model::Name;

use crate::node::Node;

/// Violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The placement engine's state is inconsistent.
    #[error("placement: {0}")]
    Placement(policy::Violation),
    /// An executor has more runs than slots.
    #[error("executor {0} has more runs than slots")]
    Slots(Name),
}

impl Node {
    /// Checks the invariants of the whole state.
    ///
    /// # Errors
    /// Returns the first violation found.
    pub fn verify(&self) -> Result<(), Violation> {
        self.owner.engine.verify().map_err(Violation::Placement)?;
        match self.dispatcher.overcommitted_executor() {
            Some(name) => Err(Violation::Slots(name.clone())),
            None => Ok(()),
        }
    }
}
