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
}

impl Fault {
    /// Every kind of fault, once.
    pub const ALL: [Self; 15] = [
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
    ];

    /// Returns true if the fault disturbs calls to the table service.
    #[must_use]
    pub const fn affects_store(self) -> bool {
        matches!(
            self,
            Self::StoreDown | Self::StoreShutsOwnerOut | Self::StoreLost | Self::CutDataCentre
        )
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
            Self::LeavingServers | Self::LostServers => 3_000,
        };
        Duration::from_millis(ms)
    }
}
