//! Report requests to workers, the handling of their reports, and what happens when they stay
//! silent.

use std::time::Duration;

use crate::time::millis;

use super::pool::{AnswerSource, Run, RunState};
use super::{Now, Planner, Worker};
use crate::batch::{
    Decision, Incarnation, ReportRequest, RunEndKind, RunningTask, TaskKey, WorkerReport,
};
use crate::{Timestamp, WorkerId, ZoneId};

impl Planner {
    /// Returns the next report request for a worker, or `None` if it need not be polled.
    ///
    /// If the request carries a lease deadline, the lease counts as extended from this call on,
    /// even if the request never reaches the worker.
    pub fn report_request(&mut self, id: &WorkerId, now: Now) -> Option<ReportRequest> {
        if self.is_retired {
            return None;
        }
        let report_wait = self.report_wait();
        let awaits_clock = self.awaits_clock(self.workers.get(id)?, now.at);
        let acknowledgeable = self.acknowledgeable_end(id)?;
        let late = self.policy.orders.late_start;
        let worker = self.workers.get_mut(id)?;
        // Requests are sent one at a time, so an earlier one has been given up.
        worker.late_acknowledgements.record_no_answer();
        let clock = worker.incarnation_state.clock();
        let deadline_ms = clock.map(|clock| clock.deadline(self.bounds.lease_duration, now.at));
        let acknowledged_end = worker
            .incarnation_state
            .next_acknowledgement(acknowledgeable);
        let request = worker.report_request(
            acknowledged_end,
            deadline_ms,
            awaits_clock,
            report_wait,
            now.at,
        )?;
        worker.set_report_pending(true);
        if request.acknowledged_end > 0 && worker.may_keep_id() {
            worker.late_acknowledgements.record_sent(now.at + late);
        }
        if request.deadline_ms.is_some() {
            worker.deadline_clock_age = clock.map_or(Duration::ZERO, |clock| clock.age_at(now.at));
            worker.extend_lease(now.at + Self::max_lease_duration(self.bounds.lease_duration));
        }
        Some(request)
    }

    /// Returns the highest run end of a worker that may be acknowledged.
    fn acknowledgeable_end(&mut self, id: &WorkerId) -> Option<u64> {
        let (jobs, held_back) = (&self.jobs, &self.held_back);
        let worker = self.workers.get_mut(id)?;
        let acknowledgeable = worker.incarnation_state.acknowledgeable(|id, change| {
            let is_stored = jobs.get(id).is_none_or(|job| job.stored_changes >= change);
            is_stored && !held_back.contains(id)
        });
        Some(acknowledgeable)
    }

    /// Returns whether a worker has run ends whose changes are not stored yet, and none that the
    /// next request could acknowledge: it would only list the same run ends again.
    pub fn awaits_stored_ends(&mut self, id: &WorkerId) -> bool {
        let Some(acknowledgeable) = self.acknowledgeable_end(id) else {
            return false;
        };
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| {
            let incarnation = &worker.incarnation_state;
            let acknowledges = incarnation.next_acknowledgement(acknowledgeable) > 0;
            incarnation.has_unstored_ends() && !acknowledges
        })
    }

    /// Returns whether it has to be found out whether a worker answers, and which incarnation does.
    /// Until then it gets no work.
    #[must_use]
    pub fn needs_contact(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(Worker::needs_contact)
    }

    /// Returns the IDs of all workers that have an address.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        let workers = self.workers.iter();
        let with_address = workers.filter(|(_, w)| !w.listed.address.is_empty());
        with_address.map(|(id, _)| id)
    }

    /// Handles a worker's report: the answer to `request`, which was sent at `sent_at`.
    pub fn handle_worker_report(
        &mut self,
        id: &WorkerId,
        request: &ReportRequest,
        sent_at: Timestamp,
        report: WorkerReport,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            self.handle_late_run_ends(id, &report.ended, now);
            return;
        };
        if request.token == worker.fencing_token {
            worker.set_report_pending(false);
        }
        self.activity.record_report(request.max_wait.is_zero());
        let acknowledged = match worker
            .incarnation_state
            .answer_source(report.incarnation, sent_at)
        {
            AnswerSource::Known => request.acknowledged_end,
            AnswerSource::Later => {
                self.begin_incarnation(id, report.incarnation, now);
                0
            }
            AnswerSource::Earlier => return,
        };
        let awaited_clock = self
            .workers
            .get(id)
            .is_some_and(|worker| self.awaits_clock(worker, now.at));
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        self.flow.record_report_size(report.bytes);
        if request.acknowledged_end > 0 && worker.late_acknowledgements.is_in_flight() {
            worker.late_acknowledgements.record_answer();
            self.starts_due = true;
        }
        worker.late_acknowledgements.record_report(sent_at);
        let drift = worker.incarnation_state.read_clock(report.clock_ms, now.at);
        self.flow.record_clock_drift(drift);
        self.starts_due |= awaited_clock;
        worker.incarnation_state.record_acknowledged(acknowledged);
        if !worker.is_in_contact() || !worker.incarnation_state.fenced {
            self.replan = true;
        }
        let is_fenced = request.token == worker.fencing_token;
        let incarnation = &mut worker.incarnation_state;
        if incarnation.record_report(report.incarnation, is_fenced, now.at) {
            self.last_new_report_at = Some(now.at);
            let longest_lease = Self::max_lease_duration(self.bounds.lease_duration);
            incarnation.allow_verification_from(now.at + longest_lease);
        }
        let was_unresponsive = !worker.is_in_contact();
        if was_unresponsive {
            worker.contact_restored_at = Some(now.at);
        }
        worker.set_contact(true);
        worker.incarnation_state.left_unannounced = !worker.is_listed;
        let lost_tasks = std::mem::take(&mut worker.lost_tasks);
        let last_end_seen = worker.incarnation_state.last_end_seen;
        self.record_listed_ends(id, &report.ended);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let mut absent = worker.tasks_expected_in_report(is_fenced, sent_at);
        for running in &report.running {
            absent.retain(|task| *task != running.task);
            self.handle_running_task(id, running, now);
        }
        let listed = report.ended.len() as u64;
        let new_ends: Vec<_> = report
            .ended
            .into_iter()
            .filter(|end| end.number > last_end_seen)
            .collect();
        let new = new_ends.len() as u64;
        self.activity.record_ends(new, listed - new);
        for end in new_ends {
            absent.retain(|task| *task != end.task);
            self.handle_run_end(id, &end, now);
        }
        if was_unresponsive {
            self.mark_timelines_changed_at(id);
        }
        self.resolve_silence(id, &lost_tasks, now);
        if !report.truncated {
            self.handle_missing_runs(id, absent, now);
        }
        self.update_timelines(now);
        self.remove_if_gone(id, now);
    }

    /// Ends runs that a complete report should have listed but did not.
    fn handle_missing_runs(&mut self, id: &WorkerId, mut absent: Vec<TaskKey>, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_of_earlier_incarnation = |task: &TaskKey| {
            let run = worker.runs.get(task);
            run.is_some_and(|run| worker.incarnation_state.differs_from(run.incarnation))
        };
        let lost = absent
            .extract_if(.., |task| is_of_earlier_incarnation(task))
            .collect();
        let may_start_late = |task: &TaskKey| {
            let run = worker.runs.get(task);
            run.is_some_and(|run| self.waits_for_late_start(task, run, now))
        };
        let unconfirmed: Vec<TaskKey> =
            absent.extract_if(.., |task| may_start_late(task)).collect();
        self.lose_runs_of_previous_incarnation(id, lost, now);
        for task in unconfirmed {
            self.handle_unconfirmed_start(id, &task, now);
        }
        for task in absent {
            let why = "the worker's report does not list it";
            self.end_unreported_run(id, &task, RunEndKind::LeaseExpired, why, now);
        }
    }

    /// Returns whether a run that no report lists must be kept, because its start may still be
    /// carried out.
    ///
    /// The worker's next incarnation accepts a delayed start until it has answered a request with
    /// its own fencing token. Starting the task elsewhere before then could run it twice.
    fn waits_for_late_start(&self, task: &TaskKey, run: &Run, now: Now) -> bool {
        let job = self.jobs.get(&task.group.job);
        let is_open = job.is_some_and(|job| job.outcome.is_none());
        let is_done = self.task(task).is_none_or(|task| task.done);
        is_open && !is_done && run.may_start_late(now.at)
    }

    /// Handles a run that its worker does not confirm while its start may still be carried out.
    ///
    /// Releases the resources of a run that is being stopped; otherwise stops the run's gang, if it
    /// has one.
    fn handle_unconfirmed_start(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.get(task) else {
            return;
        };
        let number = run.number;
        if run.state == RunState::Stopping {
            worker.release_resources(task);
        } else {
            self.stop_gang(task, number, "a member of its gang did not start", now);
        }
    }

    /// Handles a report request that the worker did not answer.
    pub fn handle_report_failure(&mut self, id: &WorkerId, now: Now) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.set_report_pending(false);
            worker.late_acknowledgements.record_no_answer();
        }
        self.mark_unresponsive(id);
        for task in self.unanswered_gang_members(id, now) {
            self.handle_unconfirmed_start(id, &task, now);
        }
        self.remove_if_gone(id, now);
    }

    /// Returns the gang members at a worker whose starts were given up without an answer and may
    /// still be carried out.
    fn unanswered_gang_members(&self, id: &WorkerId, now: Now) -> Vec<TaskKey> {
        let is_given_up =
            |run: &Run| run.gang && run.state == RunState::Starting && run.answered_at.is_some();
        let worker = self.workers.get(id);
        worker.map_or_else(Vec::new, |worker| {
            worker.tasks_where(|run| is_given_up(run) && run.may_start_late(now.at))
        })
    }

    /// Marks a worker as unresponsive, so that it gets no new work until it answers a poll. Its zone
    /// is checked before anything else is placed.
    pub(super) fn mark_unresponsive(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.is_in_contact() {
            return;
        }
        worker.set_contact(false);
        let zone = worker.listed.zone.clone();
        self.workers_to_poll.push(id.clone());
        self.mark_timelines_changed_at(id);
        self.decisions.push(Decision::of_worker(id, "unresponsive"));
        self.zones_to_check.insert(zone);
    }

    /// Marks the workers of a zone as unresponsive, except those that have answered recently, if
    /// enough of its workers are unresponsive and one of them became so since the last check.
    ///
    /// When a zone is lost, its workers fall silent one by one. A check for each of them would take
    /// time that grows with the square of the fleet.
    pub(super) fn check_suspect_zones(&mut self, now: Now) {
        let threshold = usize::from(self.policy.health.suspect_zone_workers);
        for zone in std::mem::take(&mut self.zones_to_check) {
            let is_unresponsive_there =
                |w: &&Worker| !w.is_in_contact() && w.is_listed && w.listed.zone == zone;
            let unresponsive = self.workers.values().filter(is_unresponsive_there);
            if unresponsive.take(threshold).count() >= threshold {
                self.mark_zone_unresponsive(&zone, now);
            }
        }
    }

    /// Marks a worker as unresponsive because an order about a run got no answer, unless the worker
    /// has answered anything since the order was sent: then it can be reached and only the order is
    /// late.
    ///
    /// Marking a worker without need is costly. It gets no work until its next report. Three such
    /// workers at once (the default of `suspect_zone_workers`) make their whole zone unresponsive,
    /// and no planned run is started there then.
    pub(super) fn mark_unresponsive_unless_answered(&mut self, id: &WorkerId, task: &TaskKey) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let ordered_at = worker.runs.get(task).map(|run| run.ordered_at);
        let has_answered_since =
            ordered_at.is_some_and(|at| worker.incarnation_state.last_answer_at > Some(at));
        if !(has_answered_since && self.policy.health.trusts_reports) {
            self.mark_unresponsive(id);
        }
    }

    /// Marks the workers of a zone as unresponsive, except those that have answered recently.
    fn mark_zone_unresponsive(&mut self, zone: &ZoneId, now: Now) {
        self.mark_unresponsive_where(|worker| worker.listed.zone == *zone, now);
    }

    /// Marks the idle workers as unresponsive, except those that have answered recently, so that
    /// they are polled before they get new work. Called when a start outcome shows that the
    /// directory is outdated. Workers with runs are polled all the time anyway.
    ///
    /// Without this, a task may be sent to one worker after another whose incarnation has ended, as
    /// with four workers within 45 ms.
    pub(super) fn mark_idle_workers_unresponsive(&mut self, now: Now) {
        self.mark_unresponsive_where(|worker| !worker.is_busy(), now);
    }

    /// Marks the workers that pass a test as unresponsive, except those that have answered
    /// recently.
    fn mark_unresponsive_where(&mut self, test: impl Fn(&Worker) -> bool, now: Now) {
        let recent_contact = self.policy.health.recent_contact;
        let to_mark = self
            .workers
            .values_mut()
            .filter(|w| w.is_in_contact() && test(w))
            .filter(|w| {
                w.incarnation_state
                    .last_answer_at
                    .is_none_or(|at| now.at - at > recent_contact)
            });
        for worker in to_mark {
            worker.set_contact(false);
            self.workers_to_poll.push(worker.listed.id.clone());
        }
    }

    /// Ends the runs of unresponsive workers whose leases have expired.
    pub(super) fn expire_leases(&mut self, now: Now) {
        let expired: Vec<(WorkerId, Vec<(TaskKey, Run)>)> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.is_in_contact() && !w.runs.is_empty())
            .filter(|(_, w)| w.lease_end().is_none_or(|until| now.at > until))
            .map(|(id, w)| (id.clone(), self.expired_runs(w, now)))
            .filter(|(_, runs)| !runs.is_empty())
            .collect();
        for (id, runs) in expired {
            self.count_silence(&id, &runs);
            let clock_age = self.workers.get(&id).map(|w| w.deadline_clock_age);
            let clock_age_ms = millis(clock_age.unwrap_or_default());
            let why = format!(
                "its lease has expired; its last deadline was computed from a clock read {clock_age_ms} ms before"
            );
            for (task, _) in runs {
                self.end_unreported_run(&id, &task, RunEndKind::LeaseExpired, &why, now);
            }
            self.remove_if_gone(&id, now);
        }
    }

    /// Returns the runs that end with the worker's lease: all but those whose start may still be
    /// carried out.
    fn expired_runs(&self, worker: &Worker, now: Now) -> Vec<(TaskKey, Run)> {
        let runs = worker.runs.iter();
        let runs = runs.filter(|(task, run)| !self.waits_for_late_start(task, run, now));
        runs.map(|(task, run)| (task.clone(), run.clone()))
            .collect()
    }

    /// Handles a run that a report lists. An unknown run is adopted.
    fn handle_running_task(&mut self, id: &WorkerId, running: &RunningTask, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match worker.runs.get_mut(&running.task) {
            Some(run) if run.number == running.run => {
                let before = run.state;
                run.record_running(running, worker.incarnation_state.incarnation, now.at);
                let has_started = run.state != before;
                let was_restored = std::mem::take(&mut run.restored);
                let long_running = run.long_running;
                self.record_progress(running);
                if has_started {
                    self.mark_timeline_changed(&running.task.group.job);
                    self.record_start_confirmed(&running.task, running.run);
                }
                if long_running {
                    self.clear_losses_once_proven(id, &running.task, now);
                }
                if was_restored {
                    self.check_restored_run(id, &running.task, now);
                }
            }
            Some(run) if run.number > running.run => {}
            _ => self.adopt(id, running, now),
        }
    }

    /// Records the progress and the checkpoint of a reported run in its job.
    pub(super) fn record_progress(&mut self, running: &RunningTask) {
        let key = &running.task.group;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if !std::mem::replace(&mut job.has_started, true) {
            self.changed_timelines.insert(key.job.clone());
        }
        let Some(group) = job.group_mut(key) else {
            return;
        };
        group.percent = group.percent.max(running.percent);
        if running.checkpoint.is_some()
            && let Some(task) = group.tasks.get_mut(running.task.index as usize)
        {
            task.checkpoint.clone_from(&running.checkpoint);
        }
    }
}

impl Worker {
    /// Returns the tasks whose runs must be listed in the answer to a request sent at `sent_at`, if
    /// the worker has them.
    ///
    /// These are the runs about which this incarnation had answered before the request, and, if the
    /// report is fenced, the runs that were sent to an earlier incarnation: once a worker has seen
    /// its own token, it no longer starts those.
    fn tasks_expected_in_report(&self, is_fenced: bool, sent_at: Timestamp) -> Vec<TaskKey> {
        self.tasks_where(|run| {
            if run.fencing_token == self.fencing_token {
                run.answered_at.is_some_and(|at| at < sent_at)
            } else {
                is_fenced && run.was_started()
            }
        })
    }
}

impl Run {
    /// Records that a report lists the run. `by` is the incarnation that sent the report.
    pub(super) fn record_running(
        &mut self,
        running: &RunningTask,
        by: Option<Incarnation>,
        at: Timestamp,
    ) {
        self.incarnation = by;
        self.start_confirmed = true;
        self.is_listed = true;
        self.late_start_until = None;
        if matches!(self.state, RunState::Starting | RunState::Planned) {
            self.set_state(RunState::Running, at);
        }
        if self.began.is_none() || std::mem::take(&mut self.resumes) {
            self.began = Some((at, running.percent));
            self.progressed_at = at;
        }
        self.answered_at = self.answered_at.or(Some(at));
        self.reported_at = at;
        if running.percent > self.percent {
            self.percent = running.percent;
            self.progressed_at = at;
        }
    }
}
