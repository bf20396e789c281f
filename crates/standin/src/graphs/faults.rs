//! Faults that a schedule injects.
//!
//! Invariant: a fault ends by itself, so that every schedule can recover.

use std::time::Duration;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The owner's process is killed and starts again.
    KillOwner,
    /// All processes are killed and start again.
    KillAll,
    /// The owner is suspended.
    FreezeOwner,
    /// The owner is asked to stop.
    StopOwner,
    /// The table service answers nobody.
    StoreDown,
    /// The table service turns the owner away and serves the others.
    StoreShutsOwnerOut,
    /// Answers to writes are lost; some are carried out late.
    StoreLost,
    /// The table service drops its history.
    StoreForgets,
    /// A third of the backend servers is cut off and runs on.
    CutServers,
    /// Backend servers crash and start again as other incarnations.
    CrashServers,
    /// A data centre is cut off from the others and from the table service.
    CutDataCentre,
    /// Orders get no answer and are carried out late.
    LateOrders,
    /// Backend servers fail all that they start.
    GreyServers,
    /// Backend servers drain and leave.
    LeavingServers,
    /// Backend servers are lost for good, without a word.
    LostServers,
}

impl Fault {
    /// All faults.
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

    /// True when VMs lose touch with the table service.
    #[must_use]
    pub const fn affects_store(self) -> bool {
        matches!(
            self,
            Self::StoreDown | Self::StoreShutsOwnerOut | Self::StoreLost | Self::CutDataCentre
        )
    }

    /// How long it lasts.
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
