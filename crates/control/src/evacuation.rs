//! Evacuation of data centres.
//!
//! The evacuated data centres are part of the configuration. The owner of one of
//! them hands no start to a worker and no request to an executor there: its workers
//! count as draining, queued requests are refused as not run so that their gateways
//! route them elsewhere, and start orders that were not confirmed are withdrawn.
//! Gateways route no request or job there.
//!
//! Invariant: `Owner::starts` is `Allowed` only while the active configuration does
//! not evacuate the data centre and, if a bound is set, is confirmed within it.

use bytes::Bytes;
use model::{Change, Config, ConfigError, Name};

use crate::event::Evacuation;
use crate::node::Node;
use crate::notice::Notice;

/// Whether new work may start in this node's data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Starts {
    /// New work may start.
    Allowed,
    /// The active configuration evacuates the data centre.
    Evacuated,
    /// The active configuration is not confirmed within `Timing::evacuation_proof`.
    Unconfirmed,
}

impl Node {
    /// Updates whether new work may start here, and passes a change of it to the
    /// placement engine and the dispatcher.
    pub(crate) fn update_starts(&mut self) {
        let starts = self.starts();
        if self.owner.starts == Some(starts) {
            return;
        }
        let before = self.owner.starts.replace(starts);
        self.update_usable_workers();
        let here = self.owner.data_centre.clone();
        match (before, starts) {
            (_, Starts::Evacuated) => self.log(Notice::Evacuated(here)),
            (Some(Starts::Evacuated), _) => self.log(Notice::Restored(here)),
            (Some(_), Starts::Unconfirmed) => self.log(Notice::EvacuationsUnconfirmed(here)),
            (Some(_), Starts::Allowed) => self.log(Notice::EvacuationsConfirmed(here)),
            (None, _) => {}
        }
    }

    fn starts(&self) -> Starts {
        let config = &self.configuration.config;
        let confirmed = |bound| {
            self.config_fresh_at()
                .is_some_and(|at| at + bound >= self.now)
        };
        match self.settings.timing.evacuation_proof {
            _ if config.is_evacuated(&self.owner.data_centre) => Starts::Evacuated,
            Some(bound) if !confirmed(bound) => Starts::Unconfirmed,
            _ => Starts::Allowed,
        }
    }

    /// Returns whether new tasks and requests may start in this data centre.
    pub(crate) fn may_start(&self) -> bool {
        self.owner.starts == Some(Starts::Allowed)
    }

    /// Returns whether the active configuration evacuates a data centre.
    pub(crate) fn is_evacuated(&self, data_centre: &Name) -> bool {
        self.configuration.config.is_evacuated(data_centre)
    }

    /// Checks that the data centre named by a change exists. The configuration
    /// can't check this, because data centres are part of the settings. Restoring
    /// one that has left the settings is permitted.
    pub(crate) fn check_data_centre(&self, change: &Change) -> Result<(), ConfigError> {
        let known = |name: &Name| self.settings.data_centres.contains(name);
        match change {
            Change::Evacuate { data_centre } if !known(data_centre) => {
                Err(ConfigError::NoDataCentre(data_centre.clone()))
            }
            Change::Restore { data_centre }
                if !known(data_centre) && !self.is_evacuated(data_centre) =>
            {
                Err(ConfigError::NoDataCentre(data_centre.clone()))
            }
            _ => Ok(()),
        }
    }

    /// Returns the evacuated data centres, which entry VMs have the evacuation in
    /// force, and what runs in the data centres according to their owners.
    pub(crate) fn evacuations(&self) -> Vec<Evacuation> {
        let loads = self.loads();
        let evacuated = self.configuration.config.evacuated.iter();
        let evacuation = |(data_centre, since): (&Name, &u64)| {
            let load = loads.iter().find(|l| l.data_centre == *data_centre);
            let behind = |m: &&crate::membership::Member| m.config_version < *since;
            let unconfirmed = self.members.list.iter().filter(behind);
            let own = self.owner.is_active() && self.owner.data_centre == *data_centre;
            Evacuation {
                data_centre: data_centre.clone(),
                since_version: *since,
                unconfirmed: unconfirmed.map(|m| m.identity.name.clone()).collect(),
                used: load.map(|l| l.total.minus(l.free)),
                waiting_tasks: load.map(|l| l.waiting_tasks),
                running_tasks: own.then(|| self.owner.running_tasks()),
                running_requests: own.then_some(self.dispatcher.runs.len() as u32),
            }
        };
        evacuated.map(evacuation).collect()
    }
}

/// Returns the content of the configuration row, as JSON. `evacuated` is left out
/// while it is empty, because builds without that field reject rows that have it.
pub(crate) fn config_row(config: &Config) -> Bytes {
    // Serializing plain data to memory cannot fail.
    let mut value = serde_json::to_value(config).unwrap_or_default();
    if let (true, Some(fields)) = (config.evacuated.is_empty(), value.as_object_mut()) {
        fields.remove("evacuated");
    }
    Bytes::from(serde_json::to_vec(&value).unwrap_or_default())
}
