//! Operator configuration in the form that the scheduler uses.
//!
//! Invariant: a `Config` is immutable once read; a newer version replaces it as
//! a whole.

use std::collections::HashMap;
use std::time::Duration;

use model::{Hash, Name, Resources};
use serde::{Deserialize, Serialize};

/// Upper bound on an expected decision latency. Timeouts are multiples of it, so it is
/// far below the maximum of a duration.
const MAX_DECISION_LATENCY: Duration = Duration::from_secs(600);

/// Latency model of the external admission policy, which decides which backend
/// servers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionPolicy {
    /// Latency of a decision, independent of the number of backend servers.
    pub base_latency: Duration,
    /// Additional latency per backend server in the query.
    pub latency_per_server: Duration,
    /// How long a ticket issued by the policy stays valid.
    pub ticket_validity: Duration,
}

impl AdmissionPolicy {
    /// Expected latency of a decision about `servers` backend servers.
    #[must_use]
    pub fn decision_latency(&self, servers: usize) -> Duration {
        let all = self.latency_per_server.saturating_mul(servers as u32);
        self.base_latency
            .saturating_add(all)
            .min(MAX_DECISION_LATENCY)
    }
}

/// A queue: an entry point for the jobs of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name by which jobs, log events and metrics refer to the queue.
    pub name: Name,
    /// Host that callers send requests to; matched exactly against the host of a
    /// request, which is in lower case.
    pub host: Name,
    /// Path prefix that routes a request to this queue.
    pub path_prefix: Name,
    /// Service whose backend servers run the queue's tasks.
    pub service: Name,
    /// Whether requests are accepted without an API key.
    pub allow_anonymous: bool,
    /// Priority; 0 is the most urgent. Urgent work may preempt other work.
    pub priority: u32,
    /// Number of failed runs after which a task is failed for good; zero counts
    /// as one.
    pub max_attempts: u32,
    /// Factor applied to the length of a job's critical path in its latency
    /// objective; values below 1 count as 1.
    pub slack_factor: f64,
    /// Constant term of the latency objective.
    pub latency_target: Duration,
    /// External admission policy; `None` when steps need no admission.
    pub admission: Option<AdmissionPolicy>,
}

/// A service: a pool of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name that backend servers give as their service in the registry.
    pub name: Name,
    /// Whether the backend servers of this service are powered off.
    pub standby: bool,
}

/// A team that submits jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name by which jobs, log events and metrics refer to the team.
    pub name: Name,
    /// Hashes of the team's API keys.
    pub key_hashes: Vec<Hash>,
    /// Fair-share weight, applied when capacity is short, and rate limit in jobs
    /// per second.
    pub weight: u32,
    /// Maximum resources in use at once across the fleet; a dimension that is zero
    /// is unlimited.
    pub limit: Resources,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version; increases monotonically, but not by a constant step. Zero before
    /// the first configuration was read.
    pub version: u64,
    /// Queues, found by name or by host and path.
    pub queues: Vec<Queue>,
    /// Services that run the queues' tasks.
    pub services: Vec<Service>,
    /// Teams whose API keys are accepted.
    pub teams: Vec<Team>,
    queue_by_name: HashMap<Name, usize>,
    team_by_name: HashMap<Name, usize>,
}

impl Config {
    /// Creates a configuration and builds its indexes by name.
    #[must_use]
    pub fn new(version: u64, queues: Vec<Queue>, services: Vec<Service>, teams: Vec<Team>) -> Self {
        let queue_names = queues.iter().map(|queue| &queue.name);
        let team_names = teams.iter().map(|team| &team.name);
        Self {
            version,
            queue_by_name: index_by_name(queue_names),
            team_by_name: index_by_name(team_names),
            queues,
            services,
            teams,
        }
    }

    /// Returns the queue with the longest matching path prefix for a host and path,
    /// together with the rest of the path.
    #[must_use]
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        let matching = self.queues.iter().filter(|queue| queue.host == host);
        matching
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.path_prefix.as_str())?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// Looks up a queue by name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let position = self.queue_by_name.get(name)?;
        self.queues.get(*position)
    }

    /// True if a service has this name.
    #[must_use]
    pub fn names_service(&self, name: &str) -> bool {
        self.services.iter().any(|service| service.name == name)
    }

    /// Looks up a team by name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        let position = self.team_by_name.get(name)?;
        self.teams.get(*position)
    }

    /// Maps the hash of each API key to the name of its team.
    pub(crate) fn teams_by_key_hash(&self) -> HashMap<Hash, Name> {
        let pairs = |team: &Team| {
            let name = team.name.clone();
            let keys = team.key_hashes.clone();
            keys.into_iter().map(move |key| (key, name.clone()))
        };
        self.teams.iter().flat_map(pairs).collect()
    }
}

/// Maps each name to its position in the iterator.
fn index_by_name<'n, I>(names: I) -> HashMap<Name, usize>
where
    I: Iterator<Item = &'n Name>,
{
    names
        .enumerate()
        .map(|(at, name)| (name.clone(), at))
        .collect()
}
