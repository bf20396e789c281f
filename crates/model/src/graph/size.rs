//! Upper bounds on the size of a job's rows in the table service.
//!
//! The scheduler encodes rows with variable-length integers and writes the state of all
//! steps, and every run that may exist, in one row. A row that the table service rejects
//! would hold up the writes of other jobs.
//!
//! Invariant: a job that `Graph::verify` accepts has rows of at most [`MAX_ROW_BYTES`] as
//! long as ids of backend servers and checkpoints keep the lengths assumed here.

use crate::Graph;
use crate::graph::{Occurrence, Step};

/// Largest row that the table service stores, in bytes before base64.
pub const MAX_ROW_BYTES: usize = 65_536;
/// Bytes of a row besides the parts counted below: the stage, lengths of lists, and in
/// the submission the names of queue, service and team and the accepted settings.
const ROW_BYTES: usize = 1_024;
/// Bytes of a step in the submission besides its texts and dependencies: integers of up
/// to 5 bytes and durations of up to 15.
const STEP_BYTES: usize = 96;
/// Longest encoding of a 32-bit integer.
const INTEGER_BYTES: usize = 5;
/// Bytes of a backend server among the runs: an id of up to 20 bytes, its incarnation and
/// lengths. In the worst case each run is on a server of its own.
const SERVER_BYTES: usize = 28;
/// Number of a run, for a run and each failed one: tasks have few attempts, but those of
/// one owner start at a high number.
const ATTEMPT_BYTES: usize = 3;
/// Numbers of failed runs that a task has on average in the worst case.
const FAILURES: usize = 2;
/// Length of a checkpoint, in bytes.
const CHECKPOINT_BYTES: usize = 32;
/// Largest number of occurrences of a job that are open at once; more add nothing, since
/// their tasks wait for the same backend servers.
const MAX_OPEN: u32 = 64;

/// Length of an integer's encoding, of which a byte holds seven bits.
const fn integer_bytes(value: u32) -> usize {
    match value {
        0..0x80 => 1,
        0x80..0x4000 => 2,
        0x4000..0x20_0000 => 3,
        0x20_0000..0x1000_0000 => 4,
        _ => INTEGER_BYTES,
    }
}

/// Largest number of bytes of the submission row.
fn submission_bytes(graph: &Graph) -> usize {
    let text = |text: &Option<crate::Name>| text.as_ref().map_or(0, |text| text.len());
    let step = |step: &Step| {
        let texts = step.image.len() + text(&step.label) + text(&step.data_rack);
        let dependencies = step.depends_on.iter().map(|step| integer_bytes(*step));
        STEP_BYTES + texts + dependencies.sum::<usize>()
    };
    let steps = graph.steps.iter().map(step).sum::<usize>();
    ROW_BYTES
        .saturating_add(graph.payload.len())
        .saturating_add(steps)
}

/// Bytes with which a row refers to a step of an occurrence.
fn step_key_bytes(graph: &Graph) -> usize {
    integer_bytes(graph.occurrences()) + integer_bytes(graph.steps.len() as u32)
}

/// Bytes of an occurrence whose tasks are all completed: a bitmap for each step, which
/// stays in the row until the job ends.
fn completed_bytes(graph: &Graph) -> usize {
    let step = |step: &Step| {
        let bitmap = step.tasks.div_ceil(8);
        step_key_bytes(graph) + integer_bytes(bitmap) + bitmap as usize + 2
    };
    graph.steps.iter().map(step).sum()
}

/// Bytes that the tasks of an open occurrence add in the worst case: each runs on a
/// backend server of its own, has failed, and has a checkpoint if it saves any.
fn open_bytes(graph: &Graph) -> usize {
    let step = |step: &Step| {
        let index = integer_bytes(step.tasks);
        let run = SERVER_BYTES + step_key_bytes(graph) + index + ATTEMPT_BYTES;
        let runs = if step.speculative { 2 * run } else { run };
        let failures = index + 1 + FAILURES * ATTEMPT_BYTES;
        let checkpoint = match step.checkpoints {
            true => index + 1 + CHECKPOINT_BYTES,
            false => 0,
        };
        (runs + failures + checkpoint).saturating_mul(step.tasks as usize)
    };
    graph.steps.iter().map(step).fold(0, usize::saturating_add)
}

impl Graph {
    /// True if each row of the job fits in a row of the table service, with one
    /// occurrence open at a time.
    pub(super) fn rows_fit(&self) -> bool {
        self.open_occurrences_that_fit() >= 1 && submission_bytes(self) <= MAX_ROW_BYTES
    }

    /// Number of occurrences that may be open, that is, created and not completed, at
    /// once: as many as fit in the state row, at least one.
    #[must_use]
    pub fn max_open_occurrences(&self) -> Occurrence {
        self.open_occurrences_that_fit().clamp(1, MAX_OPEN)
    }

    fn open_occurrences_that_fit(&self) -> Occurrence {
        let completed = completed_bytes(self).saturating_mul(self.occurrences() as usize);
        let free = MAX_ROW_BYTES.saturating_sub(ROW_BYTES.saturating_add(completed));
        (free / open_bytes(self).max(1)) as Occurrence
    }
}
