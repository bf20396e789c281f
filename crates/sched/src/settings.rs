//! Settings of the scheduler's reducer.
//!
//! Invariant: no timeout of the reducer lies outside `Timing`.

use std::time::Duration;

use model::Name;

/// Bounds and periods.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Period of the owner's sign of life; several fit into `silence`.
    pub heartbeat_interval: Duration,
    /// Silence of the owner after which another VM claims its place; longer
    /// than a slow answer of the table service.
    pub owner_timeout: Duration,
    /// Silence of an owner that is known to be in trouble, after which another
    /// VM claims its place; longer than two signs of life.
    pub suspected_owner_timeout: Duration,
    /// Time without a confirmed write after which an owner asks for a
    /// successor.
    pub handover_after: Duration,
    /// How long an owner goes on without a confirmed write and without hearing
    /// a majority of its backend servers.
    pub ownership_validity: Duration,
    /// Time without a confirmed write after which an owner that hears a
    /// majority of its backend servers starts tasks unrecorded; at least
    /// `sighted` and `majority_age` together.
    pub unrecorded_start_after: Duration,
    /// Time since the last owner's last sign of life up to which a successor
    /// that has called a majority of the backend servers may trust the records.
    pub record_trust_window: Duration,
    /// Age of an answer up to which a backend server counts as heard.
    pub majority_max_age: Duration,
    /// Longest time without a confirmed write in which an owner takes on a
    /// backend server that it has not called before; less than
    /// `hinted_silence`.
    pub new_server_max_write_age: Duration,
    /// Lease of what runs on a backend server; covers one takeover.
    pub lease: Duration,
    /// Longest lease that a backend server grants, whatever it is asked for.
    pub max_lease: Duration,
    /// Lease on a backend server that leaves, so that its end is noticed soon.
    pub draining_lease: Duration,
    /// Longest wait of a hold.
    pub renewal_wait: Duration,
    /// Pause between two holds on one backend server, so that ends are
    /// collected.
    pub renewal_gap: Duration,
    /// Pause after a hold without an answer.
    pub renewal_retry: Duration,
    /// Silence after which a backend server gets no new work.
    pub server_timeout: Duration,
    /// Age of the configuration above which keys are not trusted.
    pub max_config_age: Duration,
    /// Time before its due time at which an occurrence may start.
    pub early_start: Duration,
    /// Longest time for which the table service may take part in a call.
    pub store_timeout: Duration,
    /// How long final jobs can be asked for.
    pub state_retention: Duration,
    /// Margin taken off the life of a ticket for the way to the backend server.
    pub ticket_margin: Duration,
    /// Longest wait of a helper's offer.
    pub offer_wait: Duration,
    /// Least rate of a backend server's clock relative to ours.
    pub min_clock_rate: f64,
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            heartbeat_interval: ms(300),
            owner_timeout: ms(1_500),
            suspected_owner_timeout: ms(650),
            handover_after: ms(700),
            ownership_validity: ms(3_000),
            unrecorded_start_after: ms(2_600),
            record_trust_window: ms(2_050),
            majority_max_age: ms(500),
            new_server_max_write_age: ms(600),
            lease: ms(5_000),
            max_lease: ms(10_000),
            draining_lease: ms(1_500),
            renewal_wait: ms(1_000),
            renewal_gap: ms(20),
            renewal_retry: ms(250),
            server_timeout: ms(2_000),
            max_config_age: ms(4_000),
            early_start: ms(0),
            store_timeout: ms(1_200),
            state_retention: ms(180_000),
            ticket_margin: ms(150),
            offer_wait: ms(1_000),
            min_clock_rate: 0.97,
        }
    }
}

/// Everything that the reducer is told at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this entry VM.
    pub name: Name,
    /// Number of this process, different at each start.
    pub process: u64,
    /// Address for helpers.
    pub address: Name,
    /// Part of a core that this VM has; stronger VMs claim sooner.
    pub cpu_share: f64,
    /// Factor on the run time of tasks away from their data or rack.
    pub remote_factor: f64,
    /// Timing.
    pub timing: Timing,
}
