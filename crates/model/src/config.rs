//! Configuration managed by operators: presets, teams, keys and queues.
//!
//! Invariant: in a `Config` that `verify` accepts, the active preset exists and
//! every team has a positive share. A change never grants a key hash that is
//! already granted to a team.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Hash, Name, Resources, WorkKind, key};

/// Maximum number of teams.
pub const MAX_TEAMS: usize = 512;
/// Maximum number of queues.
pub const MAX_QUEUES: usize = 512;
/// Maximum number of keys per team.
pub const MAX_KEYS: usize = 64;
/// Maximum number of evacuated data centres.
pub const MAX_EVACUATED: usize = 64;
/// Maximum number of change identifiers kept in `Config::history`.
const MAX_HISTORY: usize = 32;
/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Order in which teams are offered free resources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamOrder {
    /// Ascending dominant share of current use, divided by the team's weight.
    #[default]
    DominantShare,
    /// Ascending decayed resource-time usage, divided by the team's weight.
    DecayedUsage,
    /// Oldest job first, regardless of shares.
    Fifo,
}

/// Scheduling parameters of one mode of operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preset {
    /// Order in which teams are offered free resources.
    pub order: TeamOrder,
    /// Waiting time of a gang in ms after which workers are reserved for it.
    pub reserve_after_ms: u64,
    /// Whether urgent work and gangs with a reservation may preempt batch work.
    pub preempt: bool,
    /// Maximum number of waiting requests per team and service; further requests
    /// are refused.
    pub max_waiting: u32,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            order: TeamOrder::DominantShare,
            reserve_after_ms: 2_000,
            preempt: true,
            max_waiting: 64,
        }
    }
}

/// A team that submits work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight relative to the other teams when they compete for resources.
    pub share: u32,
    /// Maximum resources in use at once across the fleet; `None` for no limit.
    #[serde(default)]
    pub limit: Option<Resources>,
    /// Hashes of the keys granted to the team.
    #[serde(default)]
    pub keys: Vec<Hash>,
}

/// A named entry point for requests or jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Kind of work that the queue accepts.
    pub work: WorkKind,
    /// Team to which work without a key is accounted; `None` when a key is
    /// required.
    #[serde(default)]
    pub open_team: Option<Name>,
    /// True when a request may be sent again after its outcome was unknown.
    #[serde(default)]
    pub idempotent: bool,
    /// Executor service that serves the requests of this queue.
    #[serde(default)]
    pub service: Option<Name>,
}

/// The complete configuration as one versioned document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Incremented by each accepted change; zero before the first configuration.
    #[serde(default)]
    pub version: u64,
    /// Identifiers of the most recent changes, newest last. They show whether a
    /// change was applied when the outcome of its commit is unknown.
    #[serde(default)]
    pub history: Vec<Name>,
    /// Presets by name.
    pub presets: BTreeMap<Name, Preset>,
    /// Name of the active preset, which must be in `presets`.
    #[serde(rename = "in_force")]
    pub active_preset: Name,
    /// Teams by name, at most `MAX_TEAMS`.
    pub teams: BTreeMap<Name, Team>,
    /// Queues by name, at most `MAX_QUEUES`.
    pub queues: BTreeMap<Name, Queue>,
    /// Evacuated data centres, at most `MAX_EVACUATED`, with the version since
    /// which no new work starts there.
    ///
    /// Builds without this field reject a row or a frame that has it: they log
    /// 121 or 112 and keep the version that they have, so an owner of such a
    /// build does not act on an evacuation and is not counted as confirmed.
    /// The row of a version without evacuations leaves the field out, so that
    /// such builds can read it. Frames encode fields by position, so it is the
    /// last field.
    #[serde(default)]
    pub evacuated: BTreeMap<Name, u64>,
}

/// A change of the configuration by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// Creates or replaces a preset.
    PutPreset {
        /// Preset to create or replace.
        name: Name,
        /// Complete new parameters.
        preset: Preset,
    },
    /// Activates another preset.
    SwitchPreset {
        /// Name of an existing preset.
        name: Name,
    },
    /// Creates a team or replaces its share and limit. Its keys are unchanged.
    PutTeam {
        /// Team to create or change.
        name: Name,
        /// New weight, at least 1; see [`Team::share`].
        share: u32,
        /// New limit; `None` for no limit. See [`Team::limit`].
        limit: Option<Resources>,
    },
    /// Adds a key hash to a team.
    GrantKey {
        /// Existing team that receives the key.
        team: Name,
        /// Hash of the granted key; no team may have it yet.
        hash: Hash,
    },
    /// Removes a key hash from a team.
    WithdrawKey {
        /// Existing team that loses the key.
        team: Name,
        /// Hash of the withdrawn key; the team must have it.
        hash: Hash,
    },
    /// Creates or replaces a queue.
    PutQueue {
        /// Queue to create or replace.
        name: Name,
        /// Complete new definition; a queue for requests needs a service.
        queue: Queue,
    },
    /// Starts no more work in a data centre. Running work is not affected.
    Evacuate {
        /// Data centre to evacuate; no effect if it is evacuated already.
        data_centre: Name,
    },
    /// Permits new work in an evacuated data centre again.
    Restore {
        /// Data centre to restore; no effect if it is not evacuated.
        data_centre: Name,
    },
}

/// Why a change or a configuration was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigError {
    /// The named preset does not exist.
    #[error("no preset named {0}")]
    NoPreset(Name),
    /// The named team does not exist.
    #[error("no team named {0}")]
    NoTeam(Name),
    /// The named data centre is not in the settings of the entry VMs.
    #[error("no data centre named {0}")]
    NoDataCentre(Name),
    /// The key is not granted to the team.
    #[error("team {0} has no such key")]
    NoKey(Name),
    /// The key is already granted to a team.
    #[error("the key is already granted to team {0}")]
    KeyInUse(Name),
    /// The share of a team is zero.
    #[error("the share of team {0} must be at least 1")]
    ZeroShare(Name),
    /// A name is empty, too long or has characters outside `[a-z0-9._-]`.
    #[error("the name {0:?} must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, '.', '_' and '-'")]
    BadName(Name),
    /// A queue for requests names no service.
    #[error("queue {0} takes requests and needs a service")]
    NoService(Name),
    /// The maximum number of entries of one kind is reached.
    #[error("there are already {0} entries of this kind")]
    Full(usize),
    /// The configuration has changed since it was read. The change can be retried
    /// on the current version.
    #[error("another change came first; version {0} is in force")]
    Raced(u64),
}

fn check_name(name: &Name) -> Result<(), ConfigError> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c);
    match name {
        n if n.is_empty() || n.len() > MAX_NAME_BYTES => Err(ConfigError::BadName(name.clone())),
        n if !n.chars().all(is_allowed) => Err(ConfigError::BadName(name.clone())),
        _ => Ok(()),
    }
}

impl Config {
    /// Returns the configuration with `change` applied and the version incremented.
    ///
    /// # Errors
    /// Returns the reason why the change is invalid.
    pub fn with_change(&self, change: &Change, change_id: Name) -> Result<Self, ConfigError> {
        let mut next = self.clone();
        next.apply(change)?;
        next.verify()?;
        next.version += 1;
        next.history.push(change_id);
        let excess = next.history.len().saturating_sub(MAX_HISTORY);
        next.history.drain(..excess);
        Ok(next)
    }

    fn apply(&mut self, change: &Change) -> Result<(), ConfigError> {
        match change {
            Change::PutPreset { name, preset } => {
                self.presets.insert(name.clone(), preset.clone());
            }
            Change::SwitchPreset { name } => self.active_preset = name.clone(),
            Change::PutTeam { name, share, limit } => {
                let team = self.teams.entry(name.clone()).or_default();
                team.share = *share;
                team.limit = *limit;
            }
            Change::GrantKey { team, hash } => {
                if let Some(granted_to) = self.team_by_key(hash) {
                    return Err(ConfigError::KeyInUse(granted_to.clone()));
                }
                self.team_mut(team)?.keys.push(hash.clone());
            }
            Change::WithdrawKey { team, hash } => {
                let keys = &mut self.team_mut(team)?.keys;
                let before = keys.len();
                keys.retain(|k| !key::constant_time_eq(k, hash));
                if keys.len() == before {
                    return Err(ConfigError::NoKey(team.clone()));
                }
            }
            Change::PutQueue { name, queue } => {
                self.queues.insert(name.clone(), queue.clone());
            }
            Change::Evacuate { data_centre } => {
                let since = self.version + 1;
                self.evacuated.entry(data_centre.clone()).or_insert(since);
            }
            Change::Restore { data_centre } => {
                self.evacuated.remove(data_centre);
            }
        }
        Ok(())
    }

    fn team_mut(&mut self, name: &Name) -> Result<&mut Team, ConfigError> {
        self.teams
            .get_mut(name)
            .ok_or_else(|| ConfigError::NoTeam(name.clone()))
    }

    /// Validates the whole configuration.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn verify(&self) -> Result<(), ConfigError> {
        if !self.presets.contains_key(&self.active_preset) {
            return Err(ConfigError::NoPreset(self.active_preset.clone()));
        }
        if self.teams.len() > MAX_TEAMS {
            return Err(ConfigError::Full(MAX_TEAMS));
        }
        if self.queues.len() > MAX_QUEUES {
            return Err(ConfigError::Full(MAX_QUEUES));
        }
        if self.evacuated.len() > MAX_EVACUATED {
            return Err(ConfigError::Full(MAX_EVACUATED));
        }
        self.presets.keys().try_for_each(check_name)?;
        for (name, team) in &self.teams {
            check_name(name)?;
            match team {
                t if t.share == 0 => return Err(ConfigError::ZeroShare(name.clone())),
                t if t.keys.len() > MAX_KEYS => return Err(ConfigError::Full(MAX_KEYS)),
                _ => {}
            }
        }
        for (name, queue) in &self.queues {
            check_name(name)?;
            if queue.work == WorkKind::Request && queue.service.is_none() {
                return Err(ConfigError::NoService(name.clone()));
            }
            if let Some(team) = queue
                .open_team
                .as_ref()
                .filter(|t| !self.teams.contains_key(*t))
            {
                return Err(ConfigError::NoTeam(team.clone()));
            }
        }
        Ok(())
    }

    /// Returns the team to which the key with this hash is granted.
    #[must_use]
    pub fn team_by_key(&self, hash: &Hash) -> Option<&Name> {
        let has_key = |team: &Team| team.keys.iter().any(|k| key::constant_time_eq(k, hash));
        self.teams.iter().find(|(_, t)| has_key(t)).map(|(n, _)| n)
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &Name) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Returns the active preset, or the default preset if the configuration has
    /// none.
    #[must_use]
    pub fn preset(&self) -> Preset {
        self.presets
            .get(&self.active_preset)
            .cloned()
            .unwrap_or_default()
    }
}
