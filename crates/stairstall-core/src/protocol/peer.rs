use serde::{Deserialize, Serialize};

use crate::config::{Guarantee, Revision};
use crate::{ServiceId, VmId, ZoneId};

/// What a daemon could take on for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// Slots that are free now.
    pub free: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What a placement holder could take on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementLoad {
    /// Accelerators that are free.
    pub free_accelerators: u32,
    /// Accelerators in all.
    pub total_accelerators: u32,
    /// Jobs that wait.
    pub waiting_jobs: u32,
    /// Free accelerators that no waiting or guaranteed shape can use.
    pub unusable_accelerators: u32,
    /// Free accelerators that no waiting shape can use, while a job waits.
    pub lost_accelerators: u32,
    /// Accelerators of the largest free run of neighbouring, wholly free workers.
    pub largest_free: u32,
}

/// What a daemon tells its peers: twice a second in its zone, less often in others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who speaks.
    pub daemon: VmId,
    /// In which zone.
    pub zone: ZoneId,
    /// Milliseconds until it is heard again at the latest, while all is well.
    pub every_ms: u64,
    /// Address for requests passed on by other zones.
    pub address: std::net::SocketAddr,
    /// Newest configuration in force there.
    pub revision: Revision,
    /// The fencing token, where it holds placement in its zone.
    pub token: Option<u64>,
    /// Whether its lease of the role is in force; without the store it may not be.
    pub confirmed: bool,
    /// Free accelerators and waiting jobs of the zone, where it holds placement.
    pub placement: Option<PlacementLoad>,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Load by service.
    pub services: Vec<ServiceLoad>,
}

/// Asks a placement holder whether guarantees can all be kept at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuaranteeCheckRequest {
    /// Every guarantee of the zone after the change.
    pub guarantees: Vec<Guarantee>,
}

/// Whether the guarantees can be kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum GuaranteeCheckReply {
    /// Every guarantee has a home block.
    Kept,
    /// This guarantee found none.
    NotKept {
        /// The first guarantee without a home block, and why.
        reason: String,
    },
    /// The daemon does not hold placement in its zone.
    NotHolder,
}
