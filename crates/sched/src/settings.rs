//! Settings of the scheduler's reducer.
//!
//! Invariant: no timeout of the reducer lies outside `Timing`.

use std::time::Duration;

use model::Name;

/// Bounds and periods.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Period of the owner's sign of life; several fit into `silence`.
    pub beat: Duration,
    /// Silence of the owner after which another VM claims its place; longer
    /// than a slow answer of the table service.
    pub silence: Duration,
    /// Silence of an owner that is known to be in trouble, after which another
    /// VM claims its place; longer than two signs of life.
    pub hinted_silence: Duration,
    /// Time without a confirmed write after which an owner asks for a
    /// successor.
    pub handover: Duration,
    /// How long an owner goes on without a confirmed write and without hearing
    /// a majority of its backend servers.
    pub validity: Duration,
    /// Time without a confirmed write after which an owner that hears a
    /// majority of its backend servers starts tasks unrecorded; at least
    /// `sighted` and `majority_age` together.
    pub unrecorded: Duration,
    /// Time since the last owner's last sign of life up to which a successor
    /// that has called a majority of the backend servers may trust the records.
    pub sighted: Duration,
    /// Age of an answer up to which a backend server counts as heard.
    pub majority_age: Duration,
    /// Longest time without a confirmed write in which an owner takes on a
    /// backend server that it has not called before; less than
    /// `hinted_silence`.
    pub fresh: Duration,
    /// Lease of what runs on a backend server; covers one takeover.
    pub lease: Duration,
    /// Longest lease that a backend server grants, whatever it is asked for.
    pub lease_max: Duration,
    /// Lease on a backend server that leaves, so that its end is noticed soon.
    pub leaving_lease: Duration,
    /// Longest wait of a hold.
    pub hold_wait: Duration,
    /// Pause between two holds on one backend server, so that ends are
    /// collected.
    pub hold_gap: Duration,
    /// Pause after a hold without an answer.
    pub hold_retry: Duration,
    /// Silence after which a backend server gets no new work.
    pub server_silence: Duration,
    /// Age of the configuration above which keys are not trusted.
    pub config_age: Duration,
    /// Time before its due time at which an occurrence may start.
    pub early: Duration,
    /// Longest time for which the table service may take part in a call.
    pub store_timeout: Duration,
    /// How long final jobs can be asked for.
    pub keep_state: Duration,
    /// Margin taken off the life of a ticket for the way to the backend server.
    pub ticket_margin: Duration,
    /// Longest wait of a helper's offer.
    pub offer_wait: Duration,
    /// Least rate of a backend server's clock relative to ours.
    pub clock_rate: f64,
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            beat: ms(300),
            silence: ms(1_500),
            hinted_silence: ms(650),
            handover: ms(700),
            validity: ms(3_000),
            unrecorded: ms(2_600),
            sighted: ms(2_050),
            majority_age: ms(500),
            fresh: ms(600),
            lease: ms(5_000),
            lease_max: ms(10_000),
            leaving_lease: ms(1_500),
            hold_wait: ms(1_000),
            hold_gap: ms(20),
            hold_retry: ms(250),
            server_silence: ms(2_000),
            config_age: ms(4_000),
            early: ms(0),
            store_timeout: ms(1_200),
            keep_state: ms(180_000),
            ticket_margin: ms(150),
            offer_wait: ms(1_000),
            clock_rate: 0.97,
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
    pub strength: f64,
    /// Factor on the run time of tasks away from their data or rack.
    pub remote_factor: f64,
    /// Timing.
    pub timing: Timing,
}
