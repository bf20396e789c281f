//! Operators who evacuate data centres under load and faults, and restore them.
//!
//! Invariant: an operator repeats a request until it is acknowledged, and requests
//! the end of an evacuation only after its beginning was acknowledged.

use std::time::Duration;

use control::{ApiRequest, Reply};
use model::{Change, Name};

use crate::schedule::callers::Action;
use crate::schedule::{Fault, ScheduledEvent, Simulation};

/// Delay before an operator repeats a request that was not acknowledged, in ms.
const REPEAT_DELAY_MS: u64 = 500;
/// Maximum age of the configuration with which owners start work in simulations
/// with evacuations. With a poll interval of 1 s, two polls may be lost.
pub(crate) const EVACUATION_PROOF: Duration = Duration::from_millis(4_000);

/// Evacuation of a data centre by an operator.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Data centre to evacuate.
    pub data_centre: &'static str,
    /// Time of the first request, in ms.
    pub at_ms: u64,
    /// Time from its acknowledgement to the request that ends it, in ms.
    pub hold_ms: u64,
    /// Whether the owner of the data centre is killed when the evacuation is
    /// acknowledged.
    pub kills_owner: bool,
}

/// Step of an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Evacuate,
    Restore,
}

impl Simulation {
    /// Creates a simulation in which operators evacuate data centres.
    #[must_use]
    pub fn with_evacuations(seed: u64, faults: &[Fault], evacuations: &[Evacuation]) -> Self {
        let mut simulation = Self::new(seed, faults);
        simulation.evacuation_proof = Some(EVACUATION_PROOF);
        for index in 0..simulation.entry_vms.len() {
            simulation.start_entry_vm(index);
        }
        for evacuation in evacuations {
            let action = Action::Evacuation(*evacuation, Step::Evacuate);
            let event = ScheduledEvent::Client(Box::new(action));
            simulation.schedule_after(evacuation.at_ms, event);
        }
        simulation
    }

    pub(crate) fn handle_evacuation_reply(
        &mut self,
        evacuation: Evacuation,
        step: Step,
        reply: Reply,
    ) {
        let (delay_ms, next) = match (step, reply) {
            (_, Reply::Conflict(conflict)) => {
                self.clients.conflicts.push(conflict);
                return;
            }
            (Step::Evacuate, Reply::Changed { .. }) => {
                self.clients.evacuated += 1;
                self.record_evacuation(evacuation.data_centre, Some(self.now_ms));
                if evacuation.kills_owner {
                    self.kill_owner(evacuation.data_centre);
                }
                (evacuation.hold_ms, Step::Restore)
            }
            (Step::Restore, Reply::Changed { .. }) => {
                self.clients.restored += 1;
                return;
            }
            _ => (REPEAT_DELAY_MS, step),
        };
        let action = Action::Evacuation(evacuation, next);
        self.schedule_after(delay_ms, ScheduledEvent::Client(Box::new(action)));
    }

    /// Tells the ledger whether the workers of a data centre may start work.
    pub(crate) fn record_evacuation(&mut self, data_centre: &str, since_ms: Option<u64>) {
        for vm in self
            .listing
            .vms
            .iter()
            .filter(|vm| vm.data_centre == data_centre)
        {
            self.ledger.record_evacuation(&vm.name, since_ms);
        }
    }

    fn kill_owner(&mut self, data_centre: &str) {
        let owns = |index: &usize| {
            let vm = &self.entry_vms[*index];
            vm.identity.data_centre == data_centre
                && vm.node.as_ref().is_some_and(control::Node::is_owner)
        };
        if let Some(index) = (0..self.entry_vms.len()).find(owns) {
            self.kill_entry_vm(index);
        }
    }
}

/// Returns the request of an operator for a step of an evacuation.
pub(crate) fn build_change(evacuation: &Evacuation, step: Step) -> ApiRequest {
    let data_centre = Name::from(evacuation.data_centre);
    let change = match step {
        Step::Evacuate => Change::Evacuate { data_centre },
        Step::Restore => Change::Restore { data_centre },
    };
    ApiRequest::Change {
        change,
        expected_version: None,
    }
}
