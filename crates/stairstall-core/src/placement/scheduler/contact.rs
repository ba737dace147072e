use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Scheduler;
use crate::placement::JobKey;
use crate::protocol::{
    Command, Order, SyncReply, SyncRequest, TaskId, TaskPhase, TaskReport, VmState,
};
use crate::{Lease, RackId, Timestamp, VmId};

/// What the holder knows of one worker process.
#[derive(Debug, Clone)]
pub(super) struct Contact {
    pub(super) rack: RackId,
    pub(super) position: u16,
    pub(super) incarnation: Option<u64>,
    pub(super) tasks: BTreeMap<TaskId, TaskReport>,
    /// Jobs with a run that has a member here.
    pub(super) runs: BTreeSet<JobKey>,
    /// Jobs that had started here when all leases ended: the worker may have crashed under them.
    pub(super) lost_jobs: BTreeSet<JobKey>,
    state: VmState,
    since: u64,
    sequence: u64,
    /// When the last request left that may have renewed leases.
    renewed_at: Timestamp,
    healthy: bool,
    in_flight: bool,
    due_at: Timestamp,
    sent_at: Timestamp,
    commanded: Vec<TaskId>,
    lost: bool,
}

/// What a reply brought, beside the reports in it.
#[derive(Debug, Clone, Default)]
pub(super) struct News {
    /// The first answer of this tenure; it lists every task.
    pub(super) first: bool,
    /// Another process answers than before.
    pub(super) restarted: bool,
    /// Tasks that orders were sent for.
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
            due_at: now,
            sent_at: now,
            commanded: Vec::new(),
            lost: false,
        }
    }

    pub(super) fn list(&mut self, rack: RackId, position: u16, state: VmState) {
        self.rack = rack;
        self.position = position;
        self.state = state;
    }

    pub(super) fn is_idle(&self) -> bool {
        self.tasks.is_empty() && self.runs.is_empty() && !self.in_flight
    }

    pub(super) fn takes_work(&self) -> bool {
        self.healthy && self.incarnation.is_some() && self.state == VmState::Live
    }

    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        !self.in_flight && now >= self.due_at
    }

    /// Asks for a sync soon: there are orders.
    pub(super) fn hasten(&mut self) {
        let soon = self.sent_at + Scheduler::BUSY_SYNC_INTERVAL;
        self.due_at = self.due_at.min(soon);
    }

    /// Makes the next request. While the worker does not answer nothing is renewed,
    /// so that its leases surely end even if only its answers are lost.
    pub(super) fn request(
        &mut self,
        me: &VmId,
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
            holder: me.clone(),
            token,
            sequence: self.sequence,
            since: self.since,
            lease_ms,
            commands,
        }
    }

    pub(super) fn take_reply(
        &mut self,
        reply: &SyncReply,
        now: Timestamp,
        interval: Duration,
    ) -> News {
        let restarted = self
            .incarnation
            .is_some_and(|known| known != reply.incarnation);
        let first = self.incarnation.is_none() || self.lost;
        if restarted || self.lost {
            self.tasks.clear();
        }
        self.incarnation = Some(reply.incarnation);
        // After a restart the versions start anew, so the next reply must list everything.
        self.since = if restarted { 0 } else { reply.version };
        self.healthy = true;
        self.lost = false;
        self.in_flight = false;
        self.due_at = now + interval;
        for report in &reply.tasks {
            self.tasks.insert(report.task.clone(), report.clone());
        }
        News {
            first,
            restarted,
            commanded: std::mem::take(&mut self.commanded),
        }
    }

    pub(super) fn fail(&mut self, now: Timestamp, interval: Duration) {
        self.healthy = false;
        self.in_flight = false;
        self.due_at = now + interval;
    }

    /// Tells whether every lease on the worker surely ended; true once for each silence.
    pub(super) fn became_lost(&mut self, now: Timestamp) -> bool {
        if self.healthy || self.lost || self.renewed_surely_until() > now {
            return false;
        }
        self.lost = true;
        self.since = 0;
        true
    }

    fn renewed_surely_until(&self) -> Timestamp {
        // The last renewing request may have been answered as late as its time-out.
        let latest = self.renewed_at + SYNC_TIMEOUT;
        Lease::new(latest, Scheduler::TASK_LEASE).expired_for_all_at(latest)
    }

    /// Returns the orders for tasks that no current run speaks for.
    pub(super) fn order_for_stray(report: &TaskReport, may_forget: bool) -> Option<Command> {
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

/// How long a worker may take to answer; the daemon gives a request up after that.
pub const SYNC_TIMEOUT: Duration = Duration::from_secs(1);
