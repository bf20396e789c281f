//! Simulated operators: periodic configuration changes, and the time that each
//! takes to reach all entry VMs.
//!
//! Invariant: whenever an entry VM reports a configuration version lower than
//! one that it reported before, the report is counted as a reverted change.

use std::sync::Arc;
use std::time::Duration;

use model::{Change, Name};
use tokio::time::Instant;

use crate::cell::client::Harness;

/// Interval between configuration changes.
const CHANGE_PERIOD: Duration = Duration::from_millis(2_000);
/// Time limit for a change to reach all entry VMs.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(16);

/// Observations of configuration changes; `propagation_ms` holds one time for
/// each acknowledged change.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeStats {
    pub(crate) changes: u64,
    pub(crate) propagation_ms: Vec<u64>,
    pub(crate) reverted: u64,
}

/// Submits changes until the run ends.
pub(crate) async fn run(harness: Arc<Harness>) -> ChangeStats {
    let mut stats = ChangeStats::default();
    let until = Instant::now() + harness.options.duration;
    let mut highest = vec![0_u64; harness.entry_vms.len()];
    let mut round = 0;
    while Instant::now() + CHANGE_PERIOD < until {
        tokio::time::sleep(CHANGE_PERIOD).await;
        round += 1;
        let index = round % harness.entry_vms.len();
        let change = next_change(&harness, round);
        let sent = Instant::now();
        let Some((200, value)) = harness.submit_change(index, &change, None).await else {
            continue;
        };
        let Some(version) = value["version"].as_u64() else {
            continue;
        };
        stats.changes += 1;
        while sent.elapsed() < PROPAGATION_TIMEOUT {
            let versions = harness.config_versions().await;
            count_reverted(&versions, &mut highest, &mut stats);
            // An entry VM that does not respond serves no clients, so it is not
            // waited for.
            if versions.iter().flatten().all(|v| *v >= version) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        stats.propagation_ms.push(sent.elapsed().as_millis() as u64);
    }
    stats
}

fn count_reverted(versions: &[Option<u64>], highest: &mut [u64], stats: &mut ChangeStats) {
    for (index, version) in versions.iter().enumerate() {
        match version {
            // Version 0 means that the process has just started and has no
            // configuration yet.
            Some(v) if *v > 0 && *v < highest[index] => stats.reverted += 1,
            Some(v) => highest[index] = highest[index].max(*v),
            None => {}
        }
    }
}

/// Returns the change of a round: every third round switches to the next preset,
/// the others rewrite a team with its current values.
fn next_change(harness: &Harness, round: usize) -> Change {
    let config = &harness.deployment.config;
    let names: Vec<&Name> = config.presets.keys().collect();
    if round.is_multiple_of(3) {
        let name = names[round / 3 % names.len()].clone();
        return Change::SwitchPreset { name };
    }
    let teams: Vec<&Name> = config.teams.keys().collect();
    let name = teams[round % teams.len()].clone();
    let team = &config.teams[&name];
    Change::PutTeam {
        name,
        share: team.share,
        limit: team.limit,
    }
}
