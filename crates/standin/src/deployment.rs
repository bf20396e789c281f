//! Deployment files: data centres, workers, executors, teams and load.
//!
//! Invariant: numbers of VMs and workers, and their capacities, depend only on
//! the file, not on the seed.

use std::collections::BTreeMap;

use model::{Config, Executor, Name, Resources, Role, Vm, VmLifecycle};
use serde::Deserialize;

/// Pool of identical workers, each with an executor of the same service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerPool {
    /// Service that the executors provide; queues refer to it by this name.
    pub service: Name,
    /// Number of workers in all data centres together.
    pub workers: u32,
    /// Number of workers per rack; zero counts as one.
    pub per_rack: u32,
    /// Capacity of a worker, including the part reserved for its executor.
    pub capacity: Resources,
    /// Part of the capacity that is reserved for the executor and not available to
    /// tasks.
    pub executor_keeps: Resources,
    /// Number of requests that an executor runs concurrently.
    pub slots: u32,
    /// Maximum number of connections to an executor.
    pub connections: u32,
    /// Mean run time of a request, in ms; run times vary between half and one and a
    /// half times this value.
    pub mean_ms: u64,
}

/// Stream of jobs submitted to one queue.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobStream {
    /// Queue to which the jobs are submitted; the configuration must define it.
    pub queue: Name,
    /// Fraction of the processors of all workers that the stream uses at full
    /// load.
    pub part: f64,
    /// Resources that each task requests.
    pub each: Resources,
    /// Smallest number of tasks of a job; the number is drawn uniformly up to
    /// `max_tasks`.
    pub min_tasks: u32,
    /// Largest number of tasks of a job; not below `min_tasks`.
    pub max_tasks: u32,
    /// Mean of the true run time of a task, in ms; the run time that a job declares
    /// may differ.
    pub mean_ms: u64,
    /// Whether the jobs are submitted as urgent; false if absent.
    #[serde(default)]
    pub urgent: bool,
}

/// Description of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the region; only labels the results of the `policy` example.
    pub region: Name,
    /// Number of entry VMs in each data centre, by its name.
    pub data_centres: BTreeMap<Name, u32>,
    /// One-way network delay between data centres, in microseconds.
    pub delay_us: u64,
    /// One-way network delay from clients to entry VMs, in microseconds.
    pub client_delay_us: u64,
    /// Worker pools; the workers of each are distributed evenly over the data
    /// centres.
    pub pools: Vec<WorkerPool>,
    /// Fraction of the load that each team submits. The fractions add up to one.
    pub demand: BTreeMap<Name, f64>,
    /// Request queues, each with its fraction of the load on its service.
    pub requests: BTreeMap<Name, f64>,
    /// Job streams, whose arrivals are independent of each other.
    pub jobs: Vec<JobStream>,
    /// Configuration with which the daemons start.
    pub config: Config,
}

/// Parses and verifies a deployment file.
///
/// # Errors
/// Fails with the parser's message, which states the line, or if the
/// configuration is invalid.
pub fn parse(text: &str) -> eyre::Result<Deployment> {
    let deployment: Deployment = serde_saphyr::from_str(text)?;
    deployment.config.verify()?;
    Ok(deployment)
}

impl Deployment {
    /// Returns the names of the data centres in ascending order.
    #[must_use]
    pub fn data_centre_names(&self) -> Vec<Name> {
        self.data_centres.keys().cloned().collect()
    }

    /// Returns all workers, distributed evenly over data centres and racks. Their
    /// addresses are empty.
    #[must_use]
    pub fn workers(&self) -> Vec<(Vm, WorkerPool)> {
        let names = self.data_centre_names();
        let mut out = Vec::new();
        for pool in &self.pools {
            for index in 0..pool.workers {
                let data_centre = names[index as usize % names.len()].clone();
                let local = index / names.len() as u32;
                let rack = local / pool.per_rack.max(1);
                let service = &pool.service;
                let name = format!("{data_centre}-{service}-{local}");
                let vm = Vm {
                    name: name.into(),
                    rack: format!("{data_centre}-{service}-r{rack}").into(),
                    data_centre,
                    role: Role::Worker,
                    life: VmLifecycle::Live,
                    address: Name::default(),
                    capacity: pool.capacity.minus(pool.executor_keeps),
                    executor: Some(Executor {
                        service: service.clone(),
                        address: Name::default(),
                        slots: pool.slots,
                        connections: pool.connections,
                    }),
                };
                out.push((vm, pool.clone()));
            }
        }
        out
    }
}
