//! Whole-state verifier of a node, called by tests after every step.
//!
//! Invariant: `verify` never changes the node.

use model::Name;

use crate::node::Node;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The placement engine's state is inconsistent.
    #[error("placement: {0}")]
    Placement(policy::Violation),
    /// More runs than slots on an executor.
    #[error("executor {0} has more runs than slots")]
    Slots(Name),
}

impl Node {
    /// Checks the whole state.
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
