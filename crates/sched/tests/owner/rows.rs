//! Rows: layout and partitions, malformed rows, extreme values.

use std::cell::Cell as Counter;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbtest;
use model::{Graph, JobId, Name, Stage, Step};
use sched::{AdmissionPolicy, Config, Event, Layout, Listing, Notice, PartitionId};

use crate::harness::{Harness, config, graph, is_submission, listing, row, settings, successor_of};

/// Rows that a build without job partitions wrote are copied to the partitions of
/// their jobs, before the layout row tells any VM to look there, and deleted after.
#[test]
fn rows_of_a_build_without_partitions_are_copied_before_the_layout_exists() {
    let ids = ["0000000000000001", "0000000000000002", "0000000000000003"];
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    for id in ids {
        let keys = [format!("job/{id}"), format!("state/{id}")];
        let rows = keys.iter().map(|key| row(key, b"as stored"));
        harness.undivided_rows.extend(rows);
    }

    harness.advance(Duration::from_secs(1));

    let layout = Layout::new(settings("owner", 0.25).job_partitions);
    let position = |wanted: PartitionId, key: &str, deleted: bool| {
        harness.commits.iter().position(|(partition, transaction)| {
            let mut writes = transaction.writes.iter();
            let found = writes.any(|w| w.key == key && w.value.is_none() == deleted);
            *partition == wanted && found
        })
    };
    let created = position(0, "cell/layout", false).expect("layout row written");
    for id in ids {
        for key in [format!("job/{id}"), format!("state/{id}")] {
            let copied = position(layout.partition_of(&id.into()), &key, false);
            let deleted = position(0, &key, true);
            assert!(copied.is_some_and(|at| at < created), "{key} copied");
            assert!(deleted.is_some_and(|at| at > created), "{key} deleted");
        }
    }
    assert!(harness.node.is_ready());
}

/// Without the number of partitions no row of a job can be found. A VM must not guess
/// it, and goes on once the row is repaired.
#[test]
fn a_malformed_layout_row_keeps_the_cell_closed_until_it_is_repaired() {
    let layout = row("cell/layout", b"six");
    let mut harness = Harness::new("owner", 0.25, vec![layout]);
    harness.advance(Duration::from_secs(2));
    let ready_before = harness.node.is_ready();
    let reported = |notice: &Notice| matches!(notice, Notice::LayoutUnusable { .. });
    let was_reported = harness.notices.iter().any(reported);

    harness.cell_rows.retain(|row| row.key != "cell/layout");
    harness.cell_rows.push(row("cell/layout", b"6"));
    harness.advance(Duration::from_secs(2));

    assert!(!ready_before && was_reported);
    assert!(harness.node.is_ready());
}

/// Pattern: a cell that is created by an owner of other settings. The stored number
/// of partitions counts, not the settings.
#[test]
fn a_stored_layout_is_kept_whatever_the_settings_say() {
    let mut harness = Harness::new("owner", 0.25, vec![row("cell/layout", b"5")]);
    harness.advance(Duration::from_secs(1));

    let id = JobId::from("0000000000000001");
    harness.submit(&id);

    let accepted = harness.commits.iter().rfind(|(_, t)| is_submission(t));
    let partition = accepted.map(|(partition, _)| *partition);
    assert_eq!(partition, Some(Layout::new(5).partition_of(&id)));
}

/// A write of an earlier owner may be applied in a partition until its fence row is
/// replaced, so the rows of jobs are read only after that.
#[test]
fn job_rows_are_read_only_after_all_fence_rows_are_replaced() {
    let mut harness = Harness::new("owner", 0.25, vec![row("cell/layout", b"3")]);
    harness.partition_down = Some(2);
    harness.advance(Duration::from_secs(1));
    let scans_before = harness.job_scans.clone();

    harness.partition_down = None;
    harness.advance(Duration::from_secs(1));

    assert_eq!(scans_before, []);
    harness.job_scans.sort_unstable();
    assert_eq!(harness.job_scans, [1, 2, 3]);
}

/// An owner that accepted these jobs.
fn owner_of_jobs(ids: &[&str]) -> Harness {
    let mut owner = Harness::owning(0.25);
    for id in ids {
        owner.submit(id);
    }
    owner.advance(Duration::from_millis(100));
    owner
}

/// Keys of the rows that were logged as malformed, in ascending order.
fn malformed_keys(harness: &Harness) -> Vec<&str> {
    let notices = harness.notices.iter();
    let keys = notices.filter_map(|notice| match notice {
        Notice::RowMalformed { key } => Some(key.as_str()),
        _ => None,
    });
    let mut keys: Vec<&str> = keys.collect();
    keys.sort_unstable();
    keys
}

/// Number of jobs that a successor found in the rows.
fn recovered_jobs(harness: &Harness) -> Option<u32> {
    harness.notices.iter().find_map(|notice| match notice {
        Notice::Recovered { jobs, .. } => Some(*jobs),
        _ => None,
    })
}

/// One unreadable submission must neither end the recovery nor hide the jobs around
/// it, in the same partition or in others.
#[test]
fn a_malformed_job_row_is_logged_and_the_others_are_recovered() {
    let ids: Vec<String> = (0..8).map(|n| format!("{n:016x}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    for malformed in [
        &b""[..],
        b"\xff",
        b"\xff\xff\xff\xff\xff\xff",
        b"{\"queue\":1}",
    ] {
        for bad in [ids[0], ids[3], ids[7]] {
            let mut successor = successor_of(&owner_of_jobs(&ids));
            let bad_key = format!("job/{bad}");
            successor.replace_job_row(&bad_key, malformed);

            successor.advance(Duration::from_secs(4));
            let asked = successor.deny_queries();

            assert!(successor.node.is_owner());
            assert_eq!(malformed_keys(&successor), [bad_key]);
            assert_eq!(recovered_jobs(&successor), Some(7));
            let good = ids.iter().filter(|id| **id != bad);
            let good: BTreeSet<JobId> = good.map(|id| JobId::from(*id)).collect();
            assert_eq!(asked, good, "without {bad}");
        }
    }
}

/// One unreadable state must neither end the recovery nor hide the states around it.
/// No build writes an empty one.
#[test]
fn a_malformed_state_row_is_logged_and_the_others_are_recovered() {
    let ids = ["0000000000000001", "0000000000000002", "0000000000000003"];
    for malformed in [&b""[..], b"\xff", b"\xff\xff\xff\xff\xff\xff"] {
        for bad in ids {
            let mut successor = successor_of(&owner_of_jobs(&ids));
            let bad_key = format!("state/{bad}");
            successor.replace_job_row(&bad_key, malformed);

            successor.advance(Duration::from_secs(4));
            let asked = successor.deny_queries();

            assert!(successor.node.is_owner());
            assert_eq!(malformed_keys(&successor), [bad_key]);
            for good in ids.into_iter().filter(|id| *id != bad) {
                assert!(asked.contains(good), "job {good} without {bad}");
            }
        }
    }
}

/// Rows with keys that no build writes must not end the recovery either.
#[test]
fn job_rows_with_unknown_keys_are_skipped() {
    let id = "0000000000000001";
    let mut successor = successor_of(&owner_of_jobs(&[id]));
    for key in ["job/", "job//cancel", "job/x/y/z", "state/", "state/x"] {
        for partition in [1, 2] {
            let row = row(key, b"\xff\xff\xff\xff\xff\xff");
            successor.job_rows.push((partition, row));
        }
    }

    successor.advance(Duration::from_secs(4));
    let asked = successor.deny_queries();

    assert!(successor.node.is_owner());
    assert_eq!(recovered_jobs(&successor), Some(1));
    assert_eq!(asked, BTreeSet::from([JobId::from(id)]));
}

/// An unreadable change must not end the following of the job table: the jobs after
/// it in the same answer are accepted as well.
#[test]
fn a_malformed_change_of_the_job_table_is_skipped() {
    let mut harness = Harness::owning(0.25);
    let good = "0000000000000002";
    harness
        .accepted
        .push(row("job/0000000000000001", b"\xff\xff"));
    harness.submit(good);

    harness.advance(Duration::from_millis(200));

    assert!(harness.node.is_owner());
    assert_eq!(malformed_keys(&harness), ["job/0000000000000001"]);
    assert!(harness.policy_calls.iter().any(|(_, job)| job == good));
}

/// The number of a partition beyond the range must not be limited to it, as the
/// settings are: the rows of jobs would be looked for in the wrong partitions.
#[test]
fn a_layout_row_out_of_range_keeps_the_cell_closed() {
    for text in [&b"0"[..], b"65", b"4294967296", b"-1", b"2.0", b"\xff\xfe"] {
        let layout = row("cell/layout", text);
        let mut harness = Harness::new("owner", 0.25, vec![layout]);

        harness.advance(Duration::from_secs(2));

        let reported = |notice: &Notice| matches!(notice, Notice::LayoutUnusable { .. });
        assert!(harness.notices.iter().any(reported), "{text:?}");
        assert!(!harness.node.is_ready(), "{text:?}");
        assert_eq!(harness.job_scans, [], "{text:?}");
    }
}

/// A caller may declare any run time. One beyond the range of the scheduler's clock
/// must not end the owner, and after it each VM that takes over and reads the job.
#[test]
fn extreme_run_times_do_not_end_the_owner() {
    let good = "0000000000000002";
    for seconds in [u64::MAX, u64::MAX / 2, u64::MAX / 3, 1 << 40] {
        let mut harness = Harness::owning(0.25);
        let step = Step {
            estimate: Duration::from_secs(seconds),
            image: Name::default(),
            ..graph().steps[0].clone()
        };
        let second = Step {
            depends_on: vec![0],
            ..step.clone()
        };
        let extreme = Graph {
            steps: vec![step, second],
            ..graph()
        };

        harness.submit_graph("0000000000000001", extreme);
        harness.submit(good);
        let asked = harness.deny_queries();

        assert!(harness.node.is_owner(), "{seconds} s");
        assert!(asked.contains(good), "{seconds} s");
    }
}

/// Times of a configuration beyond the range of the scheduler's clock must not end the
/// owner, nor each VM that takes over with the same configuration.
#[test]
fn extreme_times_in_a_configuration_do_not_end_the_owner() {
    for extreme in [Duration::MAX, Duration::MAX / 2, Duration::MAX / 3] {
        let mut queue = config().queues[0].clone();
        queue.latency_target = extreme;
        queue.slack_factor = 1e300;
        queue.admission = Some(AdmissionPolicy {
            base_latency: extreme,
            latency_per_server: extreme,
            ticket_validity: extreme,
        });
        let extremes = Config::new(2, vec![queue], config().services, config().teams);
        let mut harness = Harness::owning(0.25);

        harness.deliver(Event::Config {
            config: Box::new(extremes),
            requested_at: harness.now,
        });
        harness.submit("0000000000000001");
        harness.advance(Duration::from_secs(1));
        harness.answer_policy(vec![("server".into(), "ticket".into())]);
        harness.advance(Duration::from_secs(1));

        assert!(harness.node.is_owner(), "{extreme:?}");
        assert!(!harness.starts.is_empty(), "{extreme:?}");
    }
}

/// Seeds of the mutated rows. Each is shifted into the upper 32 bits of an `arbtest`
/// seed, whose lower 32 bits set the size of the input.
const SEEDS: std::ops::Range<u64> = 0..500;

/// Whatever bytes a row of a job has, reading it must neither end the owner nor keep
/// it from the other jobs. A mutated row may decode as another valid one.
#[test]
fn mutated_rows_of_a_job_do_not_end_the_recovery() {
    let (bad, good) = ("0000000000000001", "0000000000000002");
    let mut owner = owner_of_jobs(&[bad]);
    owner.starts_lost = true;
    owner.answer_policy(vec![("server".into(), "ticket".into())]);
    owner.advance(Duration::from_millis(100));
    assert!(!owner.starts.is_empty(), "a state row with a run");
    owner.submit(good);
    owner.advance(Duration::from_millis(100));
    let (malformed, decoded) = (Counter::new(0), Counter::new(0));
    for seed in SEEDS {
        arbtest(|u| {
            let mut successor = successor_of(&owner);
            let key = format!("{}/{bad}", u.choose(&["job", "state"])?);
            let mut rows = successor.job_rows.iter();
            let (_, row) = rows.find(|(_, row)| row.key == key).expect("stored row");
            let mut bytes = row.cell.value.to_vec();
            for _ in 0..u.int_in_range(1..=4)? {
                let at = u.choose_index(bytes.len())?;
                bytes[at] = u.arbitrary()?;
            }
            if u.ratio(1, 4)? {
                bytes.truncate(u.int_in_range(0..=bytes.len())?);
            }
            successor.replace_job_row(&key, bytes);

            successor.advance(Duration::from_secs(4));
            let asked = successor.deny_queries();

            let outcome = match malformed_keys(&successor).is_empty() {
                true => &decoded,
                false => &malformed,
            };
            outcome.set(outcome.get() + 1);
            assert!(successor.node.is_owner());
            assert!(asked.contains(good));
            Ok(())
        })
        .seed(seed << 32 | 0x80);
    }
    assert!(malformed.get() > 0 && decoded.get() > 0, "both outcomes");
}

/// State row that a build without losses wrote: of three tasks the first is completed,
/// the second has failed once and has a checkpoint, and runs of the second and third may
/// exist.
const STATE_WITHOUT_LOSSES: [u8; 33] = [
    1, 1, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 2, 99, 50, 1, 6, 115, 101, 114, 118, 101, 114, 1, 2, 0, 0,
    1, 2, 0, 0, 2, 1,
];

/// Id and incarnation of a backend server, and the runs that may exist there.
type PlacedRuns = BTreeMap<(Name, u64), Vec<(u32, u32, u32, u64)>>;

/// State row as a build without losses declares it.
#[derive(serde::Deserialize)]
struct StateWithoutLosses {
    stage: Stage,
    _steps: BTreeMap<(u32, u32), StepWithoutLosses>,
    _placed: PlacedRuns,
}

#[derive(serde::Deserialize)]
struct StepWithoutLosses {
    _done: Vec<u8>,
    _failures: Vec<(u32, Vec<u64>)>,
    _checkpoints: Vec<(u32, Name)>,
}

/// An owner of one job with three tasks, which its backend server runs.
fn owner_of_three_tasks() -> Harness {
    let mut owner = Harness::new("owner", 0.25, Vec::new());
    owner.advance(Duration::from_secs(1));
    owner.starts_run = true;
    let mut graph = graph();
    graph.steps[0].tasks = 3;
    owner.submit_to("/plain/0000000000000001", graph);
    owner.advance(Duration::from_millis(300));
    assert_eq!(owner.started.len(), 3);
    owner
}

/// Guards against losing the state of jobs with the upgrade to a build that keeps losses.
#[test]
fn a_state_row_of_a_build_without_losses_is_read() {
    let mut successor = successor_of(&owner_of_three_tasks());
    successor.replace_job_row("state/0000000000000001", STATE_WITHOUT_LOSSES.to_vec());
    successor.starts_run = true;

    successor.advance(Duration::from_secs(12));

    let started = successor.started.iter().map(|run| run.task.index);
    let started: BTreeSet<u32> = started.collect();
    assert!(malformed_keys(&successor).is_empty());
    assert_eq!(started, BTreeSet::from([1, 2]));
}

/// Guards against rows that the build before can't read after a rollback.
#[test]
fn a_state_row_with_losses_is_read_by_a_build_without() {
    let mut owner = owner_of_three_tasks();
    owner.running.clear();
    owner.deliver(Event::ServerListed(Listing {
        incarnation: 2,
        ..listing()
    }));
    owner.advance(Duration::from_secs(1));

    let writes = owner.commits.iter().flat_map(|(_, t)| &t.writes);
    let mut states = writes.filter(|write| write.key.starts_with("state/"));
    let last = states.rfind(|write| write.value.is_some());
    let bytes = last.and_then(|write| write.value.as_ref()).expect("a row");
    let (state, rest): (StateWithoutLosses, &[u8]) =
        postcard::take_from_bytes(bytes).expect("readable without losses");
    assert_eq!(state.stage, Stage::Running);
    assert!(!rest.is_empty(), "the row has losses");
    assert!(postcard::from_bytes::<StateWithoutLosses>(bytes).is_ok());
}

/// Submission row as a build without the settings of the acceptance declares it.
#[derive(serde::Serialize, serde::Deserialize)]
struct SubmissionWithoutSettings {
    queue: Name,
    service: Name,
    team: Name,
    graph: Graph,
}

/// Guards against losing jobs with the upgrade to a build that keeps the settings of the
/// acceptance, or with the rollback to one that does not.
#[test]
fn submission_rows_are_read_across_builds() {
    let mut owner = Harness::new("owner", 0.25, Vec::new());
    owner.advance(Duration::from_secs(1));
    owner.submit_plain("0000000000000001");
    owner.advance(Duration::from_millis(300));
    let mut writes = owner.commits.iter().flat_map(|(_, t)| &t.writes);
    let row = writes.find(|write| write.key == "job/0000000000000001");
    let bytes = row.and_then(|write| write.value.clone()).expect("a row");

    let (former, rest): (SubmissionWithoutSettings, &[u8]) =
        postcard::take_from_bytes(&bytes).expect("readable without settings");
    assert!(!rest.is_empty(), "the row has settings");
    assert!(postcard::from_bytes::<SubmissionWithoutSettings>(&bytes).is_ok());

    let mut successor = successor_of(&owner);
    let row = postcard::to_stdvec(&former).expect("encodable");
    successor.replace_job_row("job/0000000000000001", row);
    successor.starts_run = true;
    successor.advance(Duration::from_secs(12));
    assert!(malformed_keys(&successor).is_empty());
    assert!(!successor.started.is_empty());
}
