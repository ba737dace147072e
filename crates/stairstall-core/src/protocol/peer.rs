use serde::{Deserialize, Serialize};

use crate::config::{Guarantee, Revision};
use crate::{ServiceId, VmId, ZoneId};

/// Load of a daemon for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Service that the figures are about.
    pub service: ServiceId,
    /// Number of free slots.
    pub free: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// Load of a zone, as its placement holder reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementLoad {
    /// Number of free accelerators.
    pub free_accelerators: u32,
    /// Total number of accelerators.
    pub total_accelerators: u32,
    /// Number of waiting jobs.
    pub waiting_jobs: u32,
    /// Free accelerators that no waiting or guaranteed shape can use.
    pub unusable_accelerators: u32,
    /// Free accelerators that no waiting shape can use, while a job waits.
    pub lost_accelerators: u32,
    /// Number of accelerators in the longest sequence of adjacent, entirely free workers.
    pub largest_free: u32,
}

/// Message that a daemon sends to its peers: twice a second within its zone, less often to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Daemon that sends the heartbeat.
    pub daemon: VmId,
    /// Zone of the daemon.
    pub zone: ZoneId,
    /// Longest time until the next heartbeat while the daemon works normally, in milliseconds.
    pub every_ms: u64,
    /// Address for requests forwarded from other zones.
    pub address: std::net::SocketAddr,
    /// Revision of the configuration in effect at the daemon.
    pub revision: Revision,
    /// Fencing token, if the daemon holds the placement role in its zone.
    pub token: Option<u64>,
    /// Whether its lease of the placement role is valid; while the store is unreachable, the lease
    /// may have expired.
    pub confirmed: bool,
    /// Load of the zone, if the daemon holds the placement role.
    pub placement: Option<PlacementLoad>,
    /// Whether the daemon is about to stop.
    pub leaving: bool,
    /// Load per service.
    pub services: Vec<ServiceLoad>,
}

/// Asks a placement holder whether all guarantees of its zone can be satisfied at the same time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuaranteeCheckRequest {
    /// All guarantees of the zone after the change.
    pub guarantees: Vec<Guarantee>,
}

/// Reply to a [`GuaranteeCheckRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum GuaranteeCheckReply {
    /// All guarantees can be satisfied: each has a home block.
    Kept,
    /// At least one guarantee has no home block.
    NotKept {
        /// First guarantee without a home block, and why it has none.
        reason: String,
    },
    /// The daemon does not hold the placement role in its zone.
    NotHolder,
}
