//! Run time estimates per class of jobs.
//!
//! Declared run times are far off, so estimates come from completed tasks as
//! soon as a class has some. Estimates only order choices; they never change
//! how much of a worker is committed.
//!
//! Invariant: an estimate is at least 1 ms.

/// Number of completions of a class from which `upper_bound_ms` is trusted.
const MIN_SAMPLES: u32 = 3;
/// Weight of the newest completion in the moving averages.
const EWMA_GAIN: f64 = 0.2;

/// Run time statistics of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassEstimate {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

/// Run time estimates, indexed by class.
#[derive(Debug, Default)]
pub struct RuntimeEstimates {
    classes: Vec<ClassEstimate>,
}

impl RuntimeEstimates {
    /// Records that a task of `class` ran for `ran_ms`.
    pub fn record(&mut self, class: u32, ran_ms: u64) {
        let index = class as usize;
        if index >= self.classes.len() {
            self.classes.resize(index + 1, ClassEstimate::default());
        }
        let entry = &mut self.classes[index];
        let ran = ran_ms as f64;
        if entry.samples == 0 {
            entry.mean_ms = ran;
        }
        // Mean and deviation as in Jacobson, "Congestion Avoidance and Control",
        // 1988.
        let error = ran - entry.mean_ms;
        entry.mean_ms += EWMA_GAIN * error;
        entry.deviation_ms += EWMA_GAIN * (error.abs() - entry.deviation_ms);
        entry.samples = entry.samples.saturating_add(1);
    }

    /// Mean plus two deviations in ms; `None` until the class has `MIN_SAMPLES`
    /// completions.
    #[must_use]
    pub fn upper_bound_ms(&self, class: u32) -> Option<u64> {
        let entry = self.classes.get(class as usize)?;
        let trusted = entry.samples >= MIN_SAMPLES;
        trusted.then_some((entry.mean_ms + 2.0 * entry.deviation_ms).max(1.0) as u64)
    }

    /// Mean run time in ms; `None` until the class has a completion.
    #[must_use]
    pub fn mean_ms(&self, class: u32) -> Option<u64> {
        let entry = self.classes.get(class as usize)?;
        (entry.samples > 0).then_some(entry.mean_ms.max(1.0) as u64)
    }
}
