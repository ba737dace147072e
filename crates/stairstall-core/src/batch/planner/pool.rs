//! Workers, their runs and their free capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::victims::Preemptor;
use crate::batch::{ListedWorker, ReportRequest, Resources, StepSpec, TaskKey};
use crate::{RackId, ServiceId, Timestamp, WorkerId, ZoneId};

mod incarnation;
mod late_acknowledgement;
mod run;

pub(super) use incarnation::{AnswerSource, EndListing, IncarnationState};
pub(super) use late_acknowledgement::LateAcknowledgements;
pub(super) use run::{CrashSuspicion, Run, RunState};

/// What is required of a worker's recent results before it gets a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequiredHealth {
    /// No requirement.
    Any,
    /// No run has failed or stalled there recently.
    NotSuspect,
    /// A run has succeeded there recently. Required for the last attempt of a task.
    Proven,
}

/// A worker and the state of its current incarnation.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    /// Its latest directory entry.
    pub(super) listed: ListedWorker,
    /// Whether the directory lists it.
    pub(super) is_listed: bool,
    /// State of its current incarnation.
    pub(super) incarnation_state: IncarnationState,
    /// Fencing token of all requests that are meant for its current incarnation.
    pub(super) fencing_token: u64,
    /// Acknowledgements to its ID that may be carried out late.
    pub(super) late_acknowledgements: LateAcknowledgements,
    /// Whether its availability zone is evacuated, so that nothing may start on it.
    pub(super) in_evacuated_zone: bool,
    pub(super) runs: BTreeMap<TaskKey, Run>,
    /// Whether it may have runs that are planned, being stopped or redundant.
    pub(super) has_unsettled: bool,
    /// Resources that all runs occupy, including planned ones.
    occupied: Resources,
    /// Whether the worker answers; `false` while it is unresponsive.
    contact: bool,
    /// Whether the planner keeps in contact with it, as far as its VM can hold connections.
    is_selected: bool,
    /// Whether a report was requested and the request has neither been answered nor failed.
    report_pending: bool,
    /// Until when runs may go on there, by the latest deadline that this planner has sent to it.
    lease_until: Option<Timestamp>,
    /// Until when runs may go on there that earlier planners have started.
    inherited_lease_until: Option<Timestamp>,
    /// Age of the clock reading that the latest deadline was computed from.
    pub(super) deadline_clock_age: Duration,
    /// The latest time at which it leaves, according to its announcement.
    leaves_at: Option<Timestamp>,
    /// The task that was last placed here for its last attempt. Until that run has worked for a
    /// while, nothing else starts here.
    pub(super) last_attempt: Option<TaskKey>,
    /// Tasks whose runs were given up when the lease expired. The worker may have crashed under
    /// them.
    pub(super) lost_tasks: Vec<TaskKey>,
    /// Since when the directory has listed its incarnation, or did last.
    listed_at: Option<Timestamp>,
    /// Since when the directory no longer lists it.
    unlisted_at: Option<Timestamp>,
    /// When it last answered after being unresponsive.
    pub(super) contact_restored_at: Option<Timestamp>,
}

impl Worker {
    pub(super) fn new(listed: ListedWorker, fencing_token: u64, at: Timestamp) -> Self {
        let mut worker = Self {
            listed: listed.clone(),
            is_listed: true,
            incarnation_state: IncarnationState::new(listed.incarnation),
            fencing_token,
            late_acknowledgements: LateAcknowledgements::default(),
            in_evacuated_zone: false,
            runs: BTreeMap::new(),
            has_unsettled: false,
            occupied: Resources::default(),
            contact: true,
            is_selected: true,
            report_pending: false,
            lease_until: None,
            inherited_lease_until: None,
            deadline_clock_age: Duration::ZERO,
            leaves_at: None,
            last_attempt: None,
            lost_tasks: Vec::new(),
            listed_at: None,
            unlisted_at: None,
            contact_restored_at: None,
        };
        worker.relist(listed, at);
        worker
    }

    /// Creates a worker that is known only from stored placements.
    pub(super) fn unlisted(id: &WorkerId, fencing_token: u64, at: Timestamp) -> Self {
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
        let mut worker = Self::new(listed, fencing_token, Timestamp::default());
        worker.unlist(at);
        worker.contact = false;
        worker
    }

    /// Records that the directory no longer lists the worker.
    pub(super) const fn unlist(&mut self, at: Timestamp) {
        self.is_listed = false;
        self.unlisted_at = Some(at);
    }

    /// Records the worker's latest directory entry.
    pub(super) fn relist(&mut self, listed: ListedWorker, at: Timestamp) {
        let is_new = listed.incarnation != self.listed.incarnation;
        if is_new || !self.is_listed {
            self.listed_at = None;
        }
        self.listed_at.get_or_insert(at);
        if is_new || listed.draining && !self.listed.draining || self.leaves_at.is_none() {
            self.leaves_at = listed
                .remaining_ms
                .map(|left| at + Duration::from_millis(left));
        }
        self.is_listed = true;
        self.unlisted_at = None;
        self.incarnation_state.left_unannounced = false;
        self.listed = listed;
    }

    /// Returns whether another worker, which is listed at its address, began there later.
    ///
    /// The entry of an earlier incarnation, with an ID of its own, stands until it lapses: whoever has
    /// answered since the other one was listed is not replaced by it.
    pub(super) fn is_replaced_by(&self, other: &Self) -> bool {
        let is_later = match self.incarnation_state.last_answer_at {
            Some(answered_at) => other.listed_at >= Some(answered_at),
            None => other.incarnation_state.last_answer_at.is_some(),
        };
        other.is_listed && is_later
    }

    /// Returns whether the worker has left: it announced that it would leave, the announced time,
    /// if any, has passed, it is no longer listed and it is unresponsive.
    ///
    /// An outstanding report request counts as contact, because its answer may list runs that ended
    /// just before the worker left. A worker also becomes unresponsive because of an unanswered
    /// order or because of other workers of its zone.
    pub(super) fn has_left(&self, at: Timestamp) -> bool {
        let may_have_left =
            self.listed.draining && self.leaves_at.is_none_or(|leaves| leaves <= at);
        may_have_left && !self.is_listed && !self.contact && !self.report_pending
    }

    /// Returns whether the worker leaves as planned, so that its end is not a crash.
    pub(super) const fn is_leaving(&self) -> bool {
        self.listed.draining || self.incarnation_state.left_unannounced
    }

    /// Returns whether the worker is unresponsive and has been unlisted for at least `after`.
    pub(super) fn has_vanished(&self, at: Timestamp, after: Duration) -> bool {
        !self.contact && self.unlisted_at.is_some_and(|since| at - since >= after)
    }

    /// Returns the tasks of the runs that pass a test.
    pub(super) fn tasks_where(&self, test: impl Fn(&Run) -> bool) -> Vec<TaskKey> {
        let runs = self.runs.iter().filter(|(_, run)| test(run));
        runs.map(|(task, _)| task.clone()).collect()
    }

    pub(super) fn insert(&mut self, task: TaskKey, run: Run) {
        self.occupied = self.occupied.saturating_add(&run.resources);
        self.has_unsettled = true;
        if let Some(old) = self.runs.insert(task, run) {
            self.occupied = self.occupied.saturating_sub(&old.resources);
        }
    }

    pub(super) fn remove(&mut self, task: &TaskKey) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.occupied = self.occupied.saturating_sub(&run.resources);
        Some(run)
    }

    /// Returns the capacity that neither a run nor a planned run uses.
    pub(super) fn free(&self) -> Resources {
        self.remaining_beside(&self.occupied)
    }

    /// Returns the capacity that remains beside `used`. If any resource is overcommitted because
    /// the capacity has shrunk, nothing remains of any resource.
    ///
    /// A worker that does not enforce its capacity would otherwise be overcommitted further by a
    /// start.
    fn remaining_beside(&self, used: &Resources) -> Resources {
        if used.fits_in(&self.listed.capacity) {
            self.listed.capacity.saturating_sub(used)
        } else {
            Resources::default()
        }
    }

    /// Returns the capacity that is free once all stopping runs have ended.
    pub(super) fn free_after_stops(&self) -> Resources {
        self.listed
            .capacity
            .saturating_sub(&self.occupied_after_stops())
    }

    /// Returns the resources that the worker will lack once all stopping runs have ended, because
    /// its capacity has shrunk.
    pub(super) fn shortage(&self) -> Resources {
        if self.occupied.fits_in(&self.listed.capacity) {
            return Resources::default();
        }
        self.occupied_after_stops()
            .saturating_sub(&self.listed.capacity)
    }

    fn occupied_after_stops(&self) -> Resources {
        let stopping = self.sum_resources(|run| run.state == RunState::Stopping);
        self.occupied.saturating_sub(&stopping)
    }

    /// Returns the capacity that is free once all runs that a step may preempt have ended.
    pub(super) fn free_after_preemption(&self, preemptor: Preemptor) -> Resources {
        let remaining_runs = self.sum_resources(|run| {
            run.state != RunState::Stopping && !run.is_preemptible_by(preemptor)
        });
        self.remaining_beside(&remaining_runs)
    }

    /// Returns the capacity beside the runs that are expected to last beyond a moment.
    pub(super) fn free_by(&self, until: Timestamp, min_progress_percent: u8) -> Resources {
        let lasting = self.sum_resources(|run| {
            let ends_at = run.reported_at + run.remaining_time(min_progress_percent);
            run.long_running || run.state != RunState::Stopping && ends_at > until
        });
        self.remaining_beside(&lasting)
    }

    /// Returns the capacity that no run uses at this moment. Planned runs don't count.
    pub(super) fn free_now(&self) -> Resources {
        let started = self.sum_resources(|run| run.state != RunState::Planned);
        self.remaining_beside(&started)
    }

    fn sum_resources(&self, test: impl Fn(&Run) -> bool) -> Resources {
        self.runs
            .values()
            .filter(|run| test(run))
            .fold(Resources::default(), |sum, run| {
                sum.saturating_add(&run.resources)
            })
    }

    /// Returns whether the worker may be given tasks.
    pub(super) fn takes_tasks(&self) -> bool {
        self.accepts_starts() && self.incarnation_state.end_listing.is_verified()
    }

    /// Returns whether anything may start on the worker, be it a verification run alone.
    ///
    /// Its directory entry must belong to its current incarnation, which may offer another service
    /// or capacity than the previous one.
    pub(super) fn accepts_starts(&self) -> bool {
        let is_open = !self.listed.draining && !self.in_evacuated_zone;
        let is_described = !self.incarnation_state.differs_from(self.listed.incarnation);
        let is_known = is_described && !self.late_acknowledgements.has_unanswered();
        self.is_listed && is_known && self.incarnation_state.fenced && self.contact && is_open
    }

    /// Returns whether a run has recently failed or stalled there, or a start was refused.
    pub(super) fn is_suspect(&self, at: Timestamp) -> bool {
        self.incarnation_state
            .suspect_until
            .is_some_and(|until| at < until)
    }

    /// Returns whether the worker meets a health requirement.
    pub(super) fn is_healthy(&self, required: RequiredHealth, at: Timestamp) -> bool {
        match required {
            RequiredHealth::Any => true,
            RequiredHealth::NotSuspect => !self.is_suspect(at),
            RequiredHealth::Proven => {
                self.incarnation_state.succeeded_at.is_some() && !self.is_suspect(at)
            }
        }
    }

    /// Returns whether the worker has the label that a step requires.
    pub(super) fn has_required_label(&self, step: &StepSpec) -> bool {
        step.required_label
            .as_ref()
            .is_none_or(|label| self.listed.labels.contains(label))
    }

    /// Returns whether the step may share the worker with its current runs.
    pub(super) fn can_colocate(&self, step: &StepSpec) -> bool {
        !self.runs.values().any(|run| run.disturbs(step))
    }

    /// Returns whether the step may share the worker with the runs that it can't preempt.
    pub(super) fn can_colocate_after_preemption(
        &self,
        step: &StepSpec,
        preemptor: Preemptor,
    ) -> bool {
        let mut disturbing = self.runs.values().filter(|run| run.disturbs(step));
        disturbing.all(|run| run.is_preemptible_by(preemptor) || run.state == RunState::Stopping)
    }

    /// Returns whether the step's data is on the worker's rack, or the step names no rack.
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

    pub(super) const fn is_selected(&self) -> bool {
        self.is_selected
    }

    /// Sets whether the planner keeps in contact with the worker. A worker that is not selected is
    /// unresponsive.
    pub(super) const fn set_selected(&mut self, is_selected: bool) {
        self.is_selected = is_selected;
        self.contact &= is_selected;
    }

    pub(super) const fn is_report_pending(&self) -> bool {
        self.report_pending
    }

    pub(super) const fn set_report_pending(&mut self, pending: bool) {
        self.report_pending = pending;
    }

    /// Returns until when runs may go on there, or `None` if there never were any.
    pub(super) fn lease_end(&self) -> Option<Timestamp> {
        self.lease_until.max(self.inherited_lease_until)
    }

    /// Extends the time until which runs may go on there. An earlier time changes nothing.
    pub(super) fn extend_lease(&mut self, until: Timestamp) {
        self.lease_until = self.lease_until.max(Some(until));
    }

    /// Does the same for the runs that earlier planners have started.
    pub(super) fn extend_inherited_lease(&mut self, until: Timestamp) {
        self.inherited_lease_until = self.inherited_lease_until.max(Some(until));
    }

    /// Sets the latest time until which runs may go on there that earlier planners have started.
    pub(super) fn limit_inherited_lease(&mut self, until: Timestamp) {
        let inherited = self.inherited_lease_until;
        self.inherited_lease_until = inherited.map(|inherited| inherited.min(until));
    }

    /// Returns whether the worker may keep its ID across restarts.
    ///
    /// Orders carry only the ID, so a delayed order may then reach the next incarnation.
    pub(super) const fn may_keep_id(&self) -> bool {
        self.incarnation_state.incarnation.is_some()
    }

    /// Releases the resources of a stopped run that is kept only because its start may reach the
    /// next incarnation.
    pub(super) fn release_resources(&mut self, task: &TaskKey) {
        if let Some(run) = self.runs.get_mut(task) {
            let resources = std::mem::take(&mut run.resources);
            self.occupied = self.occupied.saturating_sub(&resources);
        }
    }

    /// Returns whether the worker has runs for which a start was sent.
    pub(super) fn is_busy(&self) -> bool {
        self.runs.values().any(Run::was_started)
    }

    /// Returns whether it has to be found out whether the worker answers, and which incarnation does.
    pub(super) const fn needs_contact(&self) -> bool {
        !self.incarnation_state.fenced || !self.contact
    }

    /// Returns the next report request to send, or `None` if the worker need not be polled.
    ///
    /// A request to a worker that is not fenced or is unresponsive only finds out which incarnation
    /// answers: it renews no leases and acknowledges no run ends. `awaits_clock` says that a start
    /// waits for the value of the worker's clock.
    pub(super) fn report_request(
        &self,
        acknowledged_end: u64,
        deadline_ms: Option<u64>,
        awaits_clock: bool,
        max_wait: Duration,
        at: Timestamp,
    ) -> Option<ReportRequest> {
        let identifies_only = self.needs_contact();
        let started = self.is_busy();
        let is_needed = started
            || !self.incarnation_state.all_ends_acknowledged()
            || self.late_acknowledgements.awaits_report(at)
            || awaits_clock;
        if !identifies_only && !is_needed {
            return None;
        }
        // After an unresponsive period, another incarnation with other run ends may answer. A late
        // start may put a run there whose end an acknowledgement would hide.
        let withholds = identifies_only || self.may_start_late(at);
        let acknowledged_end = if withholds { 0 } else { acknowledged_end };
        // While an acknowledgement is in flight nothing starts there, so its answer must not wait.
        let acknowledges_at_once = acknowledged_end > 0 && self.may_keep_id();
        let waits = started
            && !identifies_only
            && !acknowledges_at_once
            && !self.incarnation_state.has_unstored_ends();
        // The lease of a verification run must not be extended: the run must not finish.
        let extends_leases =
            started && !identifies_only && self.incarnation_state.end_listing.is_verified();
        Some(ReportRequest {
            token: self.fencing_token,
            deadline_ms: if extends_leases { deadline_ms } else { None },
            acknowledged_end,
            max_wait: if waits { max_wait } else { Duration::ZERO },
        })
    }

    /// Returns whether something waits for the worker's next report: a run that is to start or is
    /// being stopped, or contact.
    pub(super) fn awaits_report(&self) -> bool {
        let is_awaited = |run: &Run| matches!(run.state, RunState::Planned | RunState::Stopping);
        let is_verified = self.incarnation_state.end_listing.is_verified();
        self.needs_contact() || !is_verified || self.runs.values().any(is_awaited)
    }

    /// Returns whether it has runs for which no start was sent yet.
    pub(super) fn has_planned_runs(&self) -> bool {
        self.runs.values().any(|run| run.state == RunState::Planned)
    }

    /// Returns whether a start that was sent to the worker may still be carried out late.
    fn may_start_late(&self, at: Timestamp) -> bool {
        self.runs.values().any(|run| run.may_start_late(at))
    }
}
