use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{RackId, ServiceId, VmId, ZoneId};

/// The role of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs a daemon, the entry point for callers.
    Entry {
        /// Address at which the daemon listens for its peers.
        rpc: SocketAddr,
    },
    /// Answers requests of a service.
    Minion {
        /// Service that the minion answers for.
        service: ServiceId,
    },
    /// Runs tasks on its accelerators.
    Worker {
        /// Rack that contains the worker.
        rack: RackId,
        /// Position in the rack; the positions of adjacent workers differ by one.
        position: u16,
    },
}

/// Whether a VM takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM takes new work.
    Live,
    /// The VM will be removed soon and takes no new work.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Identifier of the VM.
    pub id: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address at which the VM listens for requests.
    pub address: SocketAddr,
    /// Whether the VM takes new work.
    pub state: VmState,
    /// When the current incarnation of the VM started, in milliseconds since the Unix epoch, if the
    /// platform reports it. A VM may restart under the same name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_unix_ms: Option<u64>,
    /// Role of the VM.
    #[serde(flatten)]
    pub role: VmRole,
}

/// The platform's list of VMs, which may lag behind the actual state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// VMs of all roles.
    pub vms: Vec<VmEntry>,
}
