use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Scheduler;
use crate::placement::JobKey;
use crate::protocol::{
    Command, Order, SyncReply, SyncRequest, TaskId, TaskPhase, TaskReport, VmState,
};
use crate::{Lease, RackId, Timestamp, VmId};

/// Timeout of a sync request. The daemon treats a later reply as a failure.
pub const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// What the holder knows of one worker, and the state of the syncs with it.
#[derive(Debug, Clone)]
pub(super) struct Contact {
    pub(super) rack: RackId,
    pub(super) position: u16,
    pub(super) incarnation: Option<u64>,
    /// Tasks as last reported.
    pub(super) tasks: BTreeMap<TaskId, TaskReport>,
    /// Jobs whose run has a member on the worker.
    pub(super) runs: BTreeSet<JobKey>,
    /// Jobs that had started on the worker when all its leases expired. One of them may have
    /// crashed it.
    pub(super) lost_jobs: BTreeSet<JobKey>,
    /// State of the VM, as listed by the platform.
    state: VmState,
    /// Version of the last reply.
    since: u64,
    /// Number of the last request.
    sequence: u64,
    /// When the last request was sent that may have renewed leases.
    renewed_at: Timestamp,
    /// Whether the worker answered the last sync.
    healthy: bool,
    /// Whether a request was sent that has neither been answered nor failed.
    in_flight: bool,
    /// When the next sync should be sent.
    next_sync_at: Timestamp,
    /// When the last request was sent.
    sent_at: Timestamp,
    /// Tasks that the last request had orders for.
    commanded: Vec<TaskId>,
    /// Whether all leases on the worker have expired since it last answered.
    lost: bool,
}

/// What a reply shows about the worker besides its task reports.
#[derive(Debug, Clone, Default)]
pub(super) struct ReplyChanges {
    /// Whether this is the first reply of the tenure or since the worker was lost. Such a reply
    /// lists every task.
    pub(super) first: bool,
    /// Whether the worker has restarted since the last reply.
    pub(super) restarted: bool,
    /// Tasks that the request had orders for.
    pub(super) commanded: Vec<TaskId>,
}

impl Contact {
    pub(super) fn new(rack: RackId, position: u16, now: Timestamp) -> Self {
        Self {
            rack,
            position,
            incarnation: None,
            tasks: BTreeMap::new(),
            runs: BTreeSet::new(),
            lost_jobs: BTreeSet::new(),
            state: VmState::Live,
            since: 0,
            sequence: 0,
            renewed_at: now,
            healthy: true,
            in_flight: false,
            next_sync_at: now,
            sent_at: now,
            commanded: Vec::new(),
            lost: false,
        }
    }

    /// Updates the rack, position and VM state that the platform lists for the worker.
    pub(super) fn update_listing(&mut self, rack: RackId, position: u16, state: VmState) {
        self.rack = rack;
        self.position = position;
        self.state = state;
    }

    /// Tells whether the worker has neither tasks nor runs, and no sync is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.tasks.is_empty() && self.runs.is_empty() && !self.in_flight
    }

    /// Tells whether the worker may get new work.
    pub(super) fn accepts_work(&self) -> bool {
        self.healthy && self.incarnation.is_some() && self.state == VmState::Live
    }

    /// Tells whether the next sync should be sent now.
    pub(super) fn needs_sync(&self, now: Timestamp) -> bool {
        !self.in_flight && now >= self.next_sync_at
    }

    /// Brings the next sync forward because there are orders for the worker.
    pub(super) fn expedite_sync(&mut self) {
        let soon = self.sent_at + Scheduler::BUSY_SYNC_INTERVAL;
        self.next_sync_at = self.next_sync_at.min(soon);
    }

    /// Creates the next request. Requests to an unresponsive worker renew no lease, so that its
    /// leases certainly expire even if only its replies are lost.
    pub(super) fn request(
        &mut self,
        holder: &VmId,
        token: u64,
        commands: Vec<Command>,
        now: Timestamp,
    ) -> SyncRequest {
        self.in_flight = true;
        self.sent_at = now;
        self.sequence += 1;
        self.commanded = commands.iter().map(|c| c.task.clone()).collect();
        let lease_ms = if self.healthy {
            self.renewed_at = now;
            u64::try_from(Scheduler::TASK_LEASE.as_millis()).unwrap_or(u64::MAX)
        } else {
            0
        };
        SyncRequest {
            holder: holder.clone(),
            token,
            sequence: self.sequence,
            since: self.since,
            lease_ms,
            commands,
        }
    }

    /// Applies a reply and schedules the next sync.
    pub(super) fn handle_reply(
        &mut self,
        reply: &SyncReply,
        now: Timestamp,
        interval: Duration,
    ) -> ReplyChanges {
        let restarted = self
            .incarnation
            .is_some_and(|known| known != reply.incarnation);
        let first = self.incarnation.is_none() || self.lost;
        if restarted || self.lost {
            self.tasks.clear();
        }
        self.incarnation = Some(reply.incarnation);
        // Versions start again from zero after a restart, so the next reply must list every task.
        self.since = if restarted { 0 } else { reply.version };
        self.healthy = true;
        self.lost = false;
        self.in_flight = false;
        self.next_sync_at = now + interval;
        for report in &reply.tasks {
            self.tasks.insert(report.task.clone(), report.clone());
        }
        ReplyChanges {
            first,
            restarted,
            commanded: std::mem::take(&mut self.commanded),
        }
    }

    /// Marks the worker as unresponsive and schedules the next sync.
    pub(super) fn handle_failure(&mut self, now: Timestamp, interval: Duration) {
        self.healthy = false;
        self.in_flight = false;
        self.next_sync_at = now + interval;
    }

    /// Marks an unresponsive worker as lost once all leases on it have certainly expired. Returns
    /// true only on the call that marks it.
    pub(super) fn became_lost(&mut self, now: Timestamp) -> bool {
        if self.healthy || self.lost || self.leases_certainly_expired_at() > now {
            return false;
        }
        self.lost = true;
        self.since = 0;
        true
    }

    /// Returns when all leases on the worker have certainly expired.
    fn leases_certainly_expired_at(&self) -> Timestamp {
        // The worker may have handled the last request that renews leases at any time before
        // that request timed out.
        let latest = self.renewed_at + SYNC_TIMEOUT;
        Lease::new(latest, Scheduler::TASK_LEASE).expired_for_all_at(latest)
    }

    /// Returns the order for a task that no current run accounts for. `may_forget` tells whether
    /// the worker may drop the record of the task if it is over.
    pub(super) fn order_for_unclaimed(report: &TaskReport, may_forget: bool) -> Option<Command> {
        let order = match report.phase {
            TaskPhase::Refused | TaskPhase::Stopped { .. } | TaskPhase::Finished { .. } => {
                may_forget.then_some(Order::Forget)?
            }
            _ => Order::Stop,
        };
        Some(Command {
            task: report.task.clone(),
            order,
        })
    }
}
