use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{RackId, ServiceId, VmId, ZoneId};

/// What a VM is there for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs the daemon.
    Entry {
        /// Where the daemon listens for its peers.
        rpc: SocketAddr,
    },
    /// Answers requests of a service.
    Minion {
        /// The service.
        service: ServiceId,
    },
    /// Holds accelerators in a rack.
    Worker {
        /// The rack.
        rack: RackId,
        /// Place in the rack; neighbours differ by one.
        position: u16,
    },
}

/// Whether a VM takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It does.
    Live,
    /// It will be gone soon.
    Leaving,
}

/// One VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name.
    pub id: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Where it listens for requests.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: VmState,
    /// When its present life began, in milliseconds since the Unix epoch, where the platform says so:
    /// a VM may start again under its name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_unix_ms: Option<u64>,
    /// What it is there for.
    #[serde(flatten)]
    pub role: VmRole,
}

/// The platform's list of VMs, which lags behind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<VmEntry>,
}
