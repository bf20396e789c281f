//! Faults that a simulation injects.
//!
//! Invariant: every fault has a bounded duration, so that every simulation can
//! recover.

use std::time::Duration;

/// Kinds of injected faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of the owner is killed and restarted.
    KillOwner,
    /// The processes of all VMs are killed and restarted.
    KillAll,
    /// The process of the owner is suspended and resumed.
    FreezeOwner,
    /// The owner is told to shut down, and is restarted.
    StopOwner,
    /// No VM can reach the table service.
    StoreDown,
    /// The owner cannot reach the table service; the other VMs can.
    StoreShutsOwnerOut,
    /// The table service rejects some writes; the responses to others are lost
    /// and these writes are applied with a delay.
    StoreLost,
    /// The table service drops its change history.
    StoreForgets,
    /// A third of the backend servers is unreachable; their runs continue.
    CutServers,
    /// Backend servers crash and restart as new incarnations.
    CrashServers,
    /// The owner's data centre is partitioned from the others and from the table
    /// service.
    CutDataCentre,
    /// Some orders get no response and are executed with a delay.
    LateOrders,
    /// Runs that start on a backend server fail, except those of gangs and
    /// long-running tasks.
    GreyServers,
    /// Backend servers drain and then restart as new incarnations.
    LeavingServers,
    /// Backend servers crash without notice and do not restart.
    LostServers,
    /// The job partitions of the table service do not answer; the cell partition
    /// does.
    SilentPartitions,
    /// The owner cannot reach the table service, and its successor cannot read the
    /// job partitions for longer than a lease lasts. Then a
    /// third of the backend servers is unreachable for the successor.
    LongRecovery,
    /// A backend server crashes and does not restart while no VM can reach the table
    /// service; the owner is killed meanwhile.
    VanishedServer,
    /// A third of the backend servers is unreachable for so long that their registry
    /// entries are removed; the same incarnations are registered again later.
    LapsedEntries,
    /// Backend servers drain, and leave as soon as they have listed an end, in a
    /// response that others may overtake. Some starts there get no response and are
    /// executed with a delay.
    HastyLeavers,
    /// Backend servers crash, and some orders sent to them before are executed by
    /// their next incarnations.
    OutlivingOrders,
    /// Some of the jobs that are submitted have a task that crashes each backend
    /// server that starts it.
    CrashingTasks,
    /// A third of the backend servers lose power together, several times in a row.
    PowerLosses,
    /// The capacity of a third of the backend servers shrinks, grows and shrinks again.
    Resizes,
}

impl Fault {
    /// Every kind of fault, once.
    pub const ALL: [Self; 24] = [
        Self::KillOwner,
        Self::KillAll,
        Self::FreezeOwner,
        Self::StopOwner,
        Self::StoreDown,
        Self::StoreShutsOwnerOut,
        Self::StoreLost,
        Self::StoreForgets,
        Self::CutServers,
        Self::CrashServers,
        Self::CutDataCentre,
        Self::LateOrders,
        Self::GreyServers,
        Self::LeavingServers,
        Self::LostServers,
        Self::SilentPartitions,
        Self::LongRecovery,
        Self::VanishedServer,
        Self::LapsedEntries,
        Self::HastyLeavers,
        Self::OutlivingOrders,
        Self::CrashingTasks,
        Self::PowerLosses,
        Self::Resizes,
    ];

    /// Returns true if the fault disturbs calls to the table service.
    #[must_use]
    pub const fn affects_store(self) -> bool {
        matches!(
            self,
            Self::StoreDown
                | Self::StoreShutsOwnerOut
                | Self::StoreLost
                | Self::CutDataCentre
                | Self::SilentPartitions
                | Self::LongRecovery
                | Self::VanishedServer
        )
    }

    /// Returns true if the fault ends backend servers as planned work does, so that
    /// the rest of the cell counts as undisturbed.
    #[must_use]
    pub const fn is_planned(self) -> bool {
        matches!(self, Self::LeavingServers | Self::HastyLeavers)
    }

    /// Returns the simulated time between the injection of the fault and its end.
    #[must_use]
    pub const fn duration(self) -> Duration {
        let ms = match self {
            Self::KillOwner | Self::KillAll => 900,
            Self::FreezeOwner => 4_000,
            Self::StopOwner => 4_000,
            Self::StoreDown => 5_000,
            Self::StoreShutsOwnerOut => 6_000,
            Self::StoreLost => 4_000,
            Self::StoreForgets => 1_000,
            Self::CutServers | Self::CutDataCentre => 5_500,
            Self::CrashServers => 2_000,
            Self::LateOrders => 4_000,
            Self::GreyServers => 5_000,
            Self::LeavingServers | Self::LostServers | Self::HastyLeavers => 3_000,
            Self::SilentPartitions => 11_000,
            Self::LongRecovery => 14_000,
            Self::VanishedServer => 9_000,
            Self::LapsedEntries | Self::OutlivingOrders => 8_000,
            Self::CrashingTasks => 5_000,
            Self::PowerLosses => 7_500,
            Self::Resizes => 7_000,
        };
        Duration::from_millis(ms)
    }
}
