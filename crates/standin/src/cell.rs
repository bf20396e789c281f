//! End-to-end test of a cell on loopback: daemon processes, simulated workers
//! and platform services, load, injected faults and a verdict.
//!
//! Invariant: the verdict is computed from the ledger and from the responses
//! that clients received, never from the daemons' own counters.

pub(crate) mod client;
pub(crate) mod daemons;
pub(crate) mod faults;
pub(crate) mod load;
pub(crate) mod operators;
pub(crate) mod relay;
pub(crate) mod report;
pub(crate) mod world;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::deployment;

pub use faults::Fault;

/// Time limit for all daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for accepted jobs to complete after the load has ended.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the deployment file, in YAML.
    pub config: PathBuf,
    /// Duration of the load; faults start and end at fixed fractions of it.
    pub duration: Duration,
    /// Seed of the load generators. Message timing and process scheduling are
    /// not seeded, so runs with the same seed differ.
    pub seed: u64,
    /// Offered load relative to the rates that the deployment file describes; at
    /// 1.0, request queues with a fraction of 1.0 saturate their services.
    pub load: f64,
    /// Faults to inject at the same time; may be empty.
    pub faults: Vec<Fault>,
    /// Whether to print progress to stderr.
    pub progress: bool,
}

/// Runs a cell and prints its verdict as one JSON line. Returns true if no
/// guarantee was violated.
///
/// # Errors
/// Fails if the cell cannot be set up, or if a daemon cannot be restarted
/// during fault injection.
pub async fn run(options: Options) -> eyre::Result<bool> {
    let text = std::fs::read_to_string(&options.config)?;
    let mut deployment = deployment::parse(&text)?;
    for (name, team) in &mut deployment.config.teams {
        team.keys.push(model::key::hash(&client::team_key(name)));
    }
    let started = Instant::now();
    let world = Arc::new(world::World::start(&deployment, started).await?);
    let mut daemons = daemons::Daemons::start(&deployment, &world).await?;
    daemons.wait_ready(READY_TIMEOUT).await?;
    let harness = Arc::new(client::Harness::new(
        &deployment,
        &daemons,
        world.clone(),
        options.clone(),
    ));
    let operators = tokio::spawn(operators::run(harness.clone()));
    let load = tokio::spawn(load::run(harness.clone()));
    let before = report::ResourceSnapshot::capture(&world, &daemons);
    let load_started = Instant::now();
    let injection = faults::inject(&harness, &mut daemons);
    let (injection_result, ()) = tokio::join!(injection, report::sample_until_end(&harness));
    injection_result?;
    let after = report::ResourceSnapshot::capture(&world, &daemons);
    let control = report::ControlCost::between(&before, &after, load_started.elapsed());
    load.await?;
    let stats = operators.await?;
    report::wait_for_jobs(&harness, DRAIN_TIMEOUT).await;
    let verdict = report::Verdict::new(&harness, stats, control).await;
    daemons.kill_all().await;
    println!("{}", serde_json::to_string(&verdict)?);
    Ok(verdict.passed())
}
