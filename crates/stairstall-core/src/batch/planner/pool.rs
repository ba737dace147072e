//! Workers, what runs there and what room that leaves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::batch::{ListedWorker, ReportRequest, Resources, StepSpec, TaskKey};
use crate::{RackId, ServiceId, Timestamp, WorkerId, ZoneId};

mod incarnation;
mod run;

pub(super) use incarnation::{AnswerSource, IncarnationState};
pub(super) use run::{CrashSuspicion, Run, RunState};

/// What a worker must have shown before it gets a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequiredHealth {
    /// Nothing.
    Any,
    /// Nothing failed or stood still there lately.
    NotSuspect,
    /// Something ended done there lately: for a last attempt.
    Proven,
}

/// One worker, with what is known of its present life.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    pub(super) listed: ListedWorker,
    pub(super) is_listed: bool,
    /// What is known of its present life.
    pub(super) incarnation_state: IncarnationState,
    /// The token that all calls meant for its present life bring.
    pub(super) fence: u64,
    /// Whether its availability zone is evacuated, so that nothing may start there.
    pub(super) in_evacuated_zone: bool,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    /// Whether it may have runs that are planned, being stopped or not wanted any more.
    pub(super) has_unsettled: bool,
    /// Room of all runs, planned ones included.
    claimed: Resources,
    contact: bool,
    /// Whether it was asked for a report that has neither come nor failed to come.
    is_asked: bool,
    /// Until when anything may run on it, by the largest deadline that was ever sent.
    pub(super) lease_until: Option<Timestamp>,
    /// Its earliest end as it was announced.
    leaves_at: Option<Timestamp>,
    /// The last task that was put here for its last chance: until it has worked for a while, nothing
    /// else starts here.
    pub(super) last_attempt: Option<TaskKey>,
    /// Tasks whose runs were given up when its lease was over: it may have crashed under them.
    pub(super) lost_tasks: Vec<TaskKey>,
    /// Since when the directory lists it no longer.
    unlisted_at: Option<Timestamp>,
    /// When it last answered after a silence.
    pub(super) contact_restored_at: Option<Timestamp>,
}

impl Worker {
    pub(super) fn new(listed: ListedWorker, fence: u64, at: Timestamp) -> Self {
        let mut worker = Self {
            listed: listed.clone(),
            is_listed: true,
            incarnation_state: IncarnationState::begun(listed.incarnation),
            fence,
            in_evacuated_zone: false,
            runs: BTreeMap::new(),
            has_unsettled: false,
            claimed: Resources::default(),
            contact: true,
            is_asked: false,
            lease_until: None,
            leaves_at: None,
            last_attempt: None,
            lost_tasks: Vec::new(),
            unlisted_at: None,
            contact_restored_at: None,
        };
        worker.relist(listed, at);
        worker
    }

    /// A worker that is known only from what was written down.
    pub(super) fn unlisted(id: &WorkerId, fence: u64, at: Timestamp) -> Self {
        let listed = ListedWorker {
            id: id.clone(),
            incarnation: None,
            address: String::new(),
            service: ServiceId::unknown(),
            zone: ZoneId::unknown(),
            rack: RackId::unknown(),
            labels: BTreeSet::new(),
            capacity: Resources::default(),
            draining: false,
            remaining_ms: None,
        };
        let mut worker = Self::new(listed, fence, Timestamp::default());
        worker.unlist(at);
        worker.contact = false;
        worker
    }

    pub(super) const fn unlist(&mut self, at: Timestamp) {
        self.is_listed = false;
        self.unlisted_at = Some(at);
    }

    pub(super) fn relist(&mut self, listed: ListedWorker, at: Timestamp) {
        self.is_listed = true;
        self.unlisted_at = None;
        self.incarnation_state.left_unannounced = false;
        let is_new = listed.incarnation != self.listed.incarnation;
        if is_new || listed.draining && !self.listed.draining || self.leaves_at.is_none() {
            self.leaves_at = listed
                .remaining_ms
                .map(|left| at + Duration::from_millis(left));
        }
        self.listed = listed;
    }

    /// Tells whether it has left: it said so, the end that it announced, if any, is over, it is
    /// listed no longer and does not answer.
    ///
    /// A report that is still on its way may list what ended just before it left: contact is also
    /// doubted for what an order or the zone says.
    pub(super) fn has_left(&self, at: Timestamp) -> bool {
        let is_due = self.listed.draining && self.leaves_at.is_none_or(|leaves| leaves <= at);
        is_due && !self.is_listed && !self.contact && !self.is_asked
    }

    /// Tells whether it goes by plan: its end is not a crash.
    pub(super) const fn is_leaving(&self) -> bool {
        self.listed.draining || self.incarnation_state.left_unannounced
    }

    /// Tells whether it has been missing in the directory for so long, without an answer.
    pub(super) fn has_vanished(&self, at: Timestamp, after: Duration) -> bool {
        !self.contact && self.unlisted_at.is_some_and(|since| at - since >= after)
    }

    /// Names the tasks of some of its runs.
    pub(super) fn tasks_where(&self, test: impl Fn(&Run) -> bool) -> Vec<TaskKey> {
        let runs = self.runs.iter().filter(|(_, run)| test(run));
        runs.map(|(task, _)| task.clone()).collect()
    }

    pub(super) fn insert(&mut self, task: TaskKey, run: Run) {
        self.claimed = self.claimed.saturating_add(&run.room);
        self.has_unsettled = true;
        if let Some(old) = self.runs.insert(task, run) {
            self.claimed = self.claimed.saturating_sub(&old.room);
        }
    }

    pub(super) fn remove(&mut self, task: &TaskKey) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.claimed = self.claimed.saturating_sub(&run.room);
        Some(run)
    }

    /// Returns the room that nothing has or will have.
    pub(super) fn free(&self) -> Resources {
        self.left_beside(&self.claimed)
    }

    /// Returns what is left of its room beside something; nothing of anything where its room has shrunk
    /// below that.
    ///
    /// A start on a worker that does not guard its room would bring it further over.
    fn left_beside(&self, used: &Resources) -> Resources {
        if used.fits_in(&self.listed.capacity) {
            self.listed.capacity.saturating_sub(used)
        } else {
            Resources::default()
        }
    }

    /// Returns the room that is free once what is being stopped has ended.
    pub(super) fn free_after_stops(&self) -> Resources {
        self.listed.capacity.saturating_sub(&self.claimed_soon())
    }

    /// Returns what it will have too little of once what is being stopped has ended, because its
    /// room has shrunk.
    pub(super) fn shortage(&self) -> Resources {
        if self.claimed.fits_in(&self.listed.capacity) {
            return Resources::default();
        }
        self.claimed_soon().saturating_sub(&self.listed.capacity)
    }

    fn claimed_soon(&self) -> Resources {
        let leaving = self.sum(|run| run.state == RunState::Stopping);
        self.claimed.saturating_sub(&leaving)
    }

    /// Returns the room that is free once all that may give way to `rank` has ended.
    pub(super) fn room_above(&self, rank: u8) -> Resources {
        let stays = self.sum(|run| run.state != RunState::Stopping && !run.may_give_way_to(rank));
        self.left_beside(&stays)
    }

    /// Returns the room that nothing takes at this moment.
    pub(super) fn free_now(&self) -> Resources {
        let present = self.sum(|run| run.state != RunState::Planned);
        self.left_beside(&present)
    }

    fn sum(&self, test: impl Fn(&Run) -> bool) -> Resources {
        self.runs
            .values()
            .filter(|run| test(run))
            .fold(Resources::default(), |sum, run| {
                sum.saturating_add(&run.room)
            })
    }

    /// Tells whether it may be given tasks; its entry must be its present life's, which may be of
    /// another kind than the one before.
    pub(super) fn takes_tasks(&self) -> bool {
        let stays = !self.listed.draining && !self.in_evacuated_zone;
        let is_described = !self.incarnation_state.differs_from(self.listed.incarnation);
        self.is_listed && is_described && self.incarnation_state.fenced && self.contact && stays
    }

    pub(super) fn is_suspect(&self, at: Timestamp) -> bool {
        self.incarnation_state
            .suspect_until
            .is_some_and(|until| at < until)
    }

    /// Tells whether it has shown what is demanded.
    pub(super) fn is_healthy(&self, demand: RequiredHealth, at: Timestamp) -> bool {
        match demand {
            RequiredHealth::Any => true,
            RequiredHealth::NotSuspect => !self.is_suspect(at),
            RequiredHealth::Proven => {
                self.incarnation_state.succeeded_at.is_some() && !self.is_suspect(at)
            }
        }
    }

    /// Tells whether it has the labels that a step asks for.
    pub(super) fn suits(&self, step: &StepSpec) -> bool {
        step.required_label
            .as_ref()
            .is_none_or(|label| self.listed.labels.contains(label))
    }

    /// Tells whether nothing there would be disturbed by the step, nor disturb it: what fills
    /// shares no worker with what serves.
    pub(super) fn can_colocate(&self, step: &StepSpec) -> bool {
        self.runs.values().all(|run| {
            !(step.uses_spare_cpu && run.serves || step.has_latency_target() && run.fills)
        })
    }

    /// Tells whether the step's data lies on its rack, or nowhere.
    pub(super) fn is_near(&self, step: &StepSpec) -> bool {
        step.near_rack
            .as_ref()
            .is_none_or(|rack| self.listed.labels.contains(rack))
    }

    pub(super) const fn is_in_contact(&self) -> bool {
        self.contact
    }

    pub(super) const fn set_contact(&mut self, contact: bool) {
        self.contact = contact;
    }

    pub(super) const fn set_report_pending(&mut self, asked: bool) {
        self.is_asked = asked;
    }

    pub(super) fn extend_lease(&mut self, until: Timestamp) {
        self.lease_until = self.lease_until.max(Some(until));
    }

    /// Returns whether the worker may keep its ID across restarts.
    ///
    /// Orders carry only the ID, so a delayed one may then reach the next incarnation.
    pub(super) const fn may_keep_id(&self) -> bool {
        self.incarnation_state.incarnation.is_some()
    }

    /// Releases the room of a stopped run that is kept only because its start may reach the next
    /// incarnation.
    pub(super) fn release_resources(&mut self, task: &TaskKey) {
        if let Some(run) = self.runs.get_mut(task) {
            let room = std::mem::take(&mut run.room);
            self.claimed = self.claimed.saturating_sub(&room);
        }
    }

    /// Tells whether anything may run there.
    pub(super) fn is_busy(&self) -> bool {
        self.runs.values().any(Run::was_started)
    }

    /// Returns what to ask of it next; none where it need not be asked.
    pub(super) fn hold_request(
        &self,
        last_seen: u64,
        deadline_ms: Option<u64>,
        longest_wait: Duration,
    ) -> Option<ReportRequest> {
        let asks_only = !self.incarnation_state.fenced || !self.contact;
        let present = self.is_busy();
        if !asks_only && !present && self.incarnation_state.knows_all_seen() {
            return None;
        }
        let waits = present && !asks_only && !self.incarnation_state.has_unsaved();
        Some(ReportRequest {
            token: self.fence,
            deadline_ms: if asks_only { None } else { deadline_ms },
            // Whoever answers after a silence may be another life, with other ends.
            acknowledged_end: if asks_only { 0 } else { last_seen },
            max_wait: if waits { longest_wait } else { Duration::ZERO },
        })
    }
}
