//! Settings of the scheduler's reducer.
//!
//! Invariant: every configurable timeout of the reducer is a field of `Timing`.

use std::time::Duration;

use model::Name;

/// Timeouts, intervals and clock bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Interval between the owner's heartbeats; several fit into `owner_timeout`.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat from the owner after which another VM claims
    /// ownership; longer than a slow response of the table service.
    pub owner_timeout: Duration,
    /// Replaces `owner_timeout` for an owner that is suspected to have failed;
    /// longer than two heartbeat intervals.
    pub suspected_owner_timeout: Duration,
    /// Time without a confirmed write after which the owner asks another VM to
    /// take over.
    pub handover_after: Duration,
    /// How long ownership stays valid without a confirmed write and without
    /// contact to a majority of the backend servers.
    pub ownership_validity: Duration,
    /// Time without a confirmed write after which an owner in contact with a
    /// majority of its backend servers starts tasks without recording them
    /// first; at least `record_trust_window` plus `majority_max_age`.
    pub unrecorded_start_after: Duration,
    /// Maximum time since the previous owner's last heartbeat for which a
    /// successor that has reached a majority of the backend servers may trust
    /// the stored records.
    pub record_trust_window: Duration,
    /// Maximum age of a response for which a backend server counts towards the
    /// majority.
    pub majority_max_age: Duration,
    /// Maximum time since the last confirmed write for which an owner starts
    /// using a backend server that it has not called before; less than
    /// `suspected_owner_timeout`.
    pub new_server_max_write_age: Duration,
    /// Lease of the runs on a backend server; long enough to cover one takeover.
    pub lease: Duration,
    /// Longest lease that a backend server grants, whatever the request says.
    pub max_lease: Duration,
    /// Longest time after which an order without a response is still executed, by whichever
    /// incarnation has the id of the backend server then.
    pub max_order_delay: Duration,
    /// Time after which a start order without a response counts as never executed if its
    /// backend server has left the registry; less than the time for which a task may wait
    /// though there is room.
    pub unanswered_start_wait: Duration,
    /// Lease on a draining backend server; short, so that its shutdown is
    /// detected soon.
    pub draining_lease: Duration,
    /// Maximum time for which a backend server may delay its response to a lease
    /// renewal (long poll).
    pub renewal_wait: Duration,
    /// Delay between two lease renewals on one backend server, so that several
    /// ended runs are reported at once.
    pub renewal_gap: Duration,
    /// Delay before retrying a lease renewal that was not answered.
    pub renewal_retry: Duration,
    /// Time without a response after which a backend server gets no new work;
    /// longer than `renewal_wait` plus the latency of a response.
    pub server_timeout: Duration,
    /// Time without an entry in the registry after which a backend server has left;
    /// longer than the registry needs to list all of them again after an outage.
    pub registry_absence: Duration,
    /// Age of the last confirmation of the configuration above which API keys
    /// are no longer trusted.
    pub max_config_age: Duration,
    /// Age of the last read of the requests to evacuate data centres above which nothing
    /// starts; `None` if no bound is promised to the operator.
    pub max_evacuation_age: Option<Duration>,
    /// How long before its due time an occurrence of a recurring job may start.
    pub early_start: Duration,
    /// Default timeout of a call to the table service.
    pub store_timeout: Duration,
    /// How long the state of a job that has ended is retained.
    pub state_retention: Duration,
    /// Subtracted from the validity of a ticket to allow for the network latency
    /// to the backend server.
    pub ticket_margin: Duration,
    /// Maximum time for which the owner holds a helper's offer open (long poll).
    pub offer_wait: Duration,
    /// Lower bound of the rate of a backend server's clock relative to the local
    /// clock.
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
            unrecorded_start_after: ms(3_800),
            record_trust_window: ms(3_250),
            majority_max_age: ms(500),
            new_server_max_write_age: ms(600),
            lease: ms(5_000),
            max_lease: ms(10_000),
            max_order_delay: ms(12_000),
            unanswered_start_wait: ms(7_000),
            draining_lease: ms(1_500),
            renewal_wait: ms(1_800),
            renewal_gap: ms(20),
            renewal_retry: ms(250),
            server_timeout: ms(3_000),
            registry_absence: ms(2_300),
            max_config_age: ms(4_000),
            max_evacuation_age: None,
            early_start: ms(0),
            store_timeout: ms(1_200),
            state_retention: ms(180_000),
            ticket_margin: ms(150),
            offer_wait: ms(1_000),
            min_clock_rate: 0.97,
        }
    }
}

impl Timing {
    /// Local time after which a lease has certainly ended that a backend server grants now
    /// for an order with a later end than it allows.
    pub(crate) fn longest_lease(&self) -> Duration {
        self.max_lease.div_f64(self.min_clock_rate)
    }
}

/// Settings that a node is created with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this entry VM, which it keeps across restarts.
    pub name: Name,
    /// Id of this process; differs at each start.
    pub process: u64,
    /// Address on which this VM accepts offers from helpers.
    pub address: Name,
    /// Share of a CPU core that this VM has; 1 is one full core. VMs with a larger
    /// share claim ownership sooner.
    pub cpu_share: f64,
    /// Factor on the run time of tasks placed outside the rack that holds their data;
    /// 1 makes the distance irrelevant.
    pub remote_factor: f64,
    /// Share of a service's capacity that copies of tasks may take together; 0 turns copies
    /// off.
    pub max_copy_share: f64,
    /// Number of partitions for the rows of jobs in a cell that is created now; a
    /// cell that exists keeps its number.
    pub job_partitions: u32,
    /// Timeouts, intervals and clock bounds; must satisfy the relations stated at the
    /// fields of [`Timing`].
    pub timing: Timing,
}
