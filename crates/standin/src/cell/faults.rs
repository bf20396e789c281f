//! Faults injected into a running cell.
//!
//! Faults start at 30% of the run and are cleared at 60%, so that the rest of
//! the run shows the recovery. Replacing or restarting entry VMs takes additional
//! time and delays the clearing.
//!
//! Invariant: when `inject` succeeds, stopped processes and VMs run again, and
//! outages, delays, lost responses and partitions have ended. The other faults
//! are not reversible: announced departures, cancelled jobs, withdrawn keys,
//! concurrent changes, and connections that have gone silent.

use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use model::{Change, Name, key};
use rustix::process::Signal;

use crate::cell::client::Harness;
use crate::cell::daemons::Daemons;
use crate::cell::world::lock;

/// Time after which the process of a killed entry VM is started again.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(3);
/// Number of operators that submit a change at the same time.
const CONCURRENT_OPERATORS: usize = 12;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of an entry VM is killed, and is started again after 3 s.
    KillEntry,
    /// The process of an entry VM is suspended, then resumed when the faults are
    /// cleared.
    PauseEntry,
    /// Each entry VM is restarted gracefully in turn.
    RollingRestart,
    /// A worker VM becomes unreachable and loses its tasks; it returns without
    /// tasks.
    KillWorker,
    /// A worker fails every task as soon as it starts.
    BlackHoleWorker,
    /// A worker is announced to leave.
    LeavingWorker,
    /// The table service and the VM list respond with status 503.
    StoreOutage,
    /// The table service and the VM list respond 400 ms late.
    StoreSlow,
    /// Responses of the platform and of workers are lost after the call has taken
    /// effect.
    LostAnswers,
    /// One data centre is partitioned from the others and the platform.
    PartitionDc,
    /// One data centre is partitioned from the platform.
    PartitionPlatform,
    /// Existing connections stay open but get no more responses.
    SilentConnections,
    /// Half of the jobs are cancelled at the same time.
    CancelWave,
    /// The first API key of a team is withdrawn after a second one was granted.
    WithdrawKey,
    /// Operators submit changes concurrently for the same configuration version.
    RacingOperators,
}

/// Faults by their names on the command line.
const FAULT_NAMES: [(&str, Fault); 15] = [
    ("kill-entry", Fault::KillEntry),
    ("pause-entry", Fault::PauseEntry),
    ("rolling-restart", Fault::RollingRestart),
    ("kill-worker", Fault::KillWorker),
    ("black-hole-worker", Fault::BlackHoleWorker),
    ("leaving-worker", Fault::LeavingWorker),
    ("store-outage", Fault::StoreOutage),
    ("store-slow", Fault::StoreSlow),
    ("lost-answers", Fault::LostAnswers),
    ("partition-dc", Fault::PartitionDc),
    ("partition-platform", Fault::PartitionPlatform),
    ("silent-connections", Fault::SilentConnections),
    ("cancel-wave", Fault::CancelWave),
    ("withdraw-key", Fault::WithdrawKey),
    ("racing-operators", Fault::RacingOperators),
];

/// Error for an unknown fault name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown fault {name:?}; valid faults: {}", FAULT_NAMES.map(|(n, _)| n).join(", "))]
pub struct UnknownFault {
    name: String,
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        let found = FAULT_NAMES.iter().find(|(name, _)| *name == text);
        found.map(|(_, fault)| *fault).ok_or_else(|| UnknownFault {
            name: text.to_owned(),
        })
    }
}

/// Injects the selected faults and clears them.
///
/// # Errors
/// Fails if a daemon cannot be started again; the remaining faults are then not
/// cleared.
pub(crate) async fn inject(harness: &Arc<Harness>, daemons: &mut Daemons) -> eyre::Result<()> {
    let duration = harness.options.duration;
    tokio::time::sleep(duration.mul_f64(0.3)).await;
    let faults = harness.options.faults.clone();
    let mut rolling = false;
    for fault in &faults {
        start_fault(harness, daemons, *fault).await;
        rolling |= *fault == Fault::RollingRestart;
    }
    if faults.contains(&Fault::KillEntry) {
        tokio::time::sleep(REPLACEMENT_DELAY).await;
        daemons.list[0].spawn()?;
    }
    if rolling {
        restart_all_daemons(harness, daemons).await?;
    }
    tokio::time::sleep(duration.mul_f64(0.3)).await;
    for fault in &faults {
        clear_fault(harness, daemons, *fault);
    }
    Ok(())
}

async fn start_fault(harness: &Arc<Harness>, daemons: &mut Daemons, fault: Fault) {
    let world = &harness.world;
    match fault {
        Fault::KillEntry => daemons.list[0].kill(),
        Fault::PauseEntry => daemons.list[1].signal(Signal::STOP),
        Fault::RollingRestart => {}
        Fault::KillWorker => world.kill_worker_vm(0),
        Fault::BlackHoleWorker => lock(&world.worker_vms[1].worker).faults.black_hole = true,
        Fault::LeavingWorker => world.announce_leaving(2),
        Fault::StoreOutage => set_platform_faults(harness, &all_daemons(daemons), |f| {
            f.unavailable.store(true, Ordering::Relaxed);
        }),
        Fault::StoreSlow => set_platform_faults(harness, &all_daemons(daemons), |f| {
            f.delay_ms.store(400, Ordering::Relaxed);
        }),
        Fault::LostAnswers => {
            set_platform_faults(harness, &all_daemons(daemons), |f| {
                f.drop_response_interval.store(7, Ordering::Relaxed);
            });
            for worker_vm in &world.worker_vms {
                worker_vm
                    .worker_http_faults
                    .drop_response_interval
                    .store(11, Ordering::Relaxed);
            }
        }
        Fault::PartitionDc => {
            let members = first_data_centre_members(daemons);
            set_links_cut(daemons, &members, true);
            set_platform_faults(harness, &members, |f| {
                f.partitioned.store(true, Ordering::Relaxed)
            });
        }
        Fault::PartitionPlatform => {
            let members = first_data_centre_members(daemons);
            set_platform_faults(harness, &members, |f| {
                f.partitioned.store(true, Ordering::Relaxed)
            });
        }
        Fault::SilentConnections => silence_connections(harness, daemons),
        Fault::CancelWave => cancel_half_of_jobs(harness).await,
        Fault::WithdrawKey => withdraw_key(harness).await,
        Fault::RacingOperators => race_operators(harness).await,
    }
}

fn clear_fault(harness: &Arc<Harness>, daemons: &mut Daemons, fault: Fault) {
    let world = &harness.world;
    match fault {
        Fault::PauseEntry => daemons.list[1].signal(Signal::CONT),
        Fault::KillWorker => world.restart_worker_vm(0),
        Fault::BlackHoleWorker => lock(&world.worker_vms[1].worker).faults.black_hole = false,
        Fault::StoreOutage => set_platform_faults(harness, &all_daemons(daemons), |f| {
            f.unavailable.store(false, Ordering::Relaxed);
        }),
        Fault::StoreSlow => set_platform_faults(harness, &all_daemons(daemons), |f| {
            f.delay_ms.store(0, Ordering::Relaxed);
        }),
        Fault::LostAnswers => {
            set_platform_faults(harness, &all_daemons(daemons), |f| {
                f.drop_response_interval.store(0, Ordering::Relaxed);
            });
            for worker_vm in &world.worker_vms {
                worker_vm
                    .worker_http_faults
                    .drop_response_interval
                    .store(0, Ordering::Relaxed);
            }
        }
        Fault::PartitionDc | Fault::PartitionPlatform => {
            let members = first_data_centre_members(daemons);
            set_links_cut(daemons, &members, false);
            set_platform_faults(harness, &members, |f| {
                f.partitioned.store(false, Ordering::Relaxed)
            });
        }
        _ => {}
    }
}

fn all_daemons(daemons: &Daemons) -> Vec<usize> {
    (0..daemons.list.len()).collect()
}

fn first_data_centre_members(daemons: &Daemons) -> Vec<usize> {
    let first = daemons.list[0].data_centre.clone();
    let is_member = |index: &usize| daemons.list[*index].data_centre == first;
    all_daemons(daemons).into_iter().filter(is_member).collect()
}

fn set_platform_faults<F>(harness: &Harness, indices: &[usize], set: F)
where
    F: Fn(&crate::http::FaultInjection),
{
    let platform_endpoints = lock(&harness.world.platform_endpoints);
    indices
        .iter()
        .for_each(|index| set(&platform_endpoints[*index].http_faults));
}

fn set_links_cut(daemons: &Daemons, members: &[usize], cut: bool) {
    for (from, to, link) in &daemons.links {
        if members.contains(from) != members.contains(to) {
            link.cut.store(cut, Ordering::Relaxed);
        }
    }
}

fn silence_connections(harness: &Harness, daemons: &Daemons) {
    let now_ms = harness.world.now_ms();
    for worker_vm in &harness.world.worker_vms {
        for http_faults in [
            &worker_vm.worker_http_faults,
            &worker_vm.executor_http_faults,
        ] {
            http_faults
                .silent_before_ms
                .store(now_ms, Ordering::Relaxed);
        }
    }
    set_platform_faults(harness, &all_daemons(daemons), |f| {
        f.silent_before_ms.store(now_ms, Ordering::Relaxed);
    });
    for (_, _, link) in &daemons.links {
        link.silent_before_ms.store(now_ms, Ordering::Relaxed);
    }
}

async fn restart_all_daemons(harness: &Arc<Harness>, daemons: &mut Daemons) -> eyre::Result<()> {
    for daemon in &mut daemons.list {
        if !daemon.terminate().await {
            eprintln!("entry VM {} did not shut down in time; killed", daemon.name);
        }
        daemon.spawn()?;
        // As in a rolling update, the next entry VM is restarted when this one is
        // ready, or after 10 s.
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let fleet = crate::cell::client::fetch_fleet(daemon.admin_addr).await;
            let ready = fleet.is_some_and(|f| f["config"].as_u64() > Some(0));
            if ready {
                break;
            }
        }
        harness.update_readiness().await;
    }
    Ok(())
}

async fn cancel_half_of_jobs(harness: &Arc<Harness>) {
    let selected: Vec<(usize, Name, Name)> = {
        let jobs = lock(&harness.jobs);
        let half = jobs.iter().enumerate().filter(|(index, _)| index % 2 == 0);
        half.map(|(index, job)| (index, job.id.clone(), job.team.clone()))
            .collect()
    };
    let mut calls = Vec::new();
    for (index, id, team) in selected {
        let harness = harness.clone();
        calls.push(tokio::spawn(async move {
            let key = lock(&harness.keys).get(&team).cloned().unwrap_or_default();
            let bearer = format!("Bearer {key}");
            let headers = [("authorization", bearer.as_str())];
            let path = format!("/v1/jobs/{id}");
            let limit = Duration::from_secs(5);
            // The job may be cancelled whatever the response is.
            lock(&harness.jobs)[index].cancelled = true;
            harness
                .send_with_retries(Method::DELETE, &path, &Bytes::new(), &headers, limit)
                .await;
        }));
    }
    for call in calls {
        // Joining fails only if the task panicked; it is never aborted.
        let _ = call.await;
    }
}

/// Grants the first team a second key, withdraws its first key and starts a task
/// that keeps sending requests with the withdrawn key.
async fn withdraw_key(harness: &Arc<Harness>) {
    let Some(team) = harness.deployment.config.teams.keys().next().cloned() else {
        return;
    };
    let old = lock(&harness.keys).get(&team).cloned().unwrap_or_default();
    let new = format!("second-{old}");
    let grant = Change::GrantKey {
        team: team.clone(),
        hash: key::hash(&new),
    };
    harness.submit_change(0, &grant, None).await;
    lock(&harness.keys).insert(team.clone(), new);
    let withdraw = Change::WithdrawKey {
        team,
        hash: key::hash(&old),
    };
    let response = harness.submit_change(1, &withdraw, None).await;
    if response.is_some_and(|(status, _)| status == 200) {
        let now_ms = harness.world.now_ms();
        *lock(&harness.withdrawn_key) = Some((old, now_ms));
        tokio::spawn(probe_withdrawn_key(harness.clone()));
    }
}

/// Sends requests with the withdrawn key to randomly chosen entry VMs and counts
/// those that succeed after the grace period `PROPAGATION_GRACE_MS`.
async fn probe_withdrawn_key(harness: Arc<Harness>) {
    let authenticated_queue = harness.deployment.requests.keys().find(|q| {
        let queue = &harness.deployment.config.queues[*q];
        queue.open_team.is_none() && queue.idempotent
    });
    let (Some(queue), Some((key, withdrawn_ms))) = (
        authenticated_queue.cloned(),
        lock(&harness.withdrawn_key).clone(),
    ) else {
        return;
    };
    let bearer = format!("Bearer {key}");
    let mut number = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        number += 1;
        let body = Bytes::from(format!("probe-{number} 0 1"));
        let path = format!("/v1/queues/{queue}/requests");
        let headers = [("authorization", bearer.as_str())];
        let sent_ms = harness.world.now_ms();
        let limit = Duration::from_secs(2);
        let (response, _) = harness
            .send_with_retries(Method::POST, &path, &body, &headers, limit)
            .await;
        let done = response.is_some_and(|r| {
            let outcome = r.headers().get("x-outcome");
            outcome.is_some_and(|o| o.as_bytes() == b"done")
        });
        if done && sent_ms > withdrawn_ms + crate::ledger::PROPAGATION_GRACE_MS {
            *lock(&harness.accepted_after_withdrawal) += 1;
        }
    }
}

/// Submits changes from several operators at the same time, all for the same
/// configuration version. Only one of them may succeed.
async fn race_operators(harness: &Arc<Harness>) {
    let versions = harness.config_versions().await;
    let Some(version) = versions.into_iter().flatten().max() else {
        return;
    };
    let mut calls = Vec::new();
    for operator in 0..CONCURRENT_OPERATORS {
        let harness = harness.clone();
        let change = Change::PutTeam {
            name: Name::from(format!("racer-{operator}")),
            share: 1,
            limit: None,
        };
        let index = operator % harness.entry_vms.len();
        calls.push(tokio::spawn(async move {
            harness.submit_change(index, &change, Some(version)).await
        }));
    }
    let mut successes = 0;
    for call in calls {
        if let Ok(Some((200, _))) = call.await {
            successes += 1;
        }
    }
    if successes > 1 {
        // Each further success on the same version has overwritten an earlier
        // change.
        *lock(&harness.lost_updates) += successes - 1;
    }
}
