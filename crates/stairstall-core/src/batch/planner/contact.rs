//! What workers are asked, and what their answers and silence say.

use crate::time::millis;

use super::pool::{AnswerSource, Run, RunState};
use super::{Now, Planner, Worker};
use crate::batch::{
    Decision, Incarnation, ReportRequest, RunEndKind, RunningTask, TaskKey, WorkerReport,
};
use crate::{Timestamp, WorkerId, ZoneId};

impl Planner {
    /// Returns what to ask of a worker now; none where there is nothing to ask.
    ///
    /// A deadline counts as sent from this moment on.
    pub fn hold_request(&mut self, id: &WorkerId, now: Now) -> Option<ReportRequest> {
        let longest_wait = self.report_wait();
        let jobs = &self.jobs;
        let worker = self.workers.get_mut(id)?;
        let forgettable = worker.incarnation_state.acknowledgeable(|job, change| {
            jobs.get(job).is_none_or(|job| job.stored_changes >= change)
        });
        let deadline_ms = worker
            .incarnation_state
            .clock_at(now.at)
            .map(|clock| clock.saturating_add(millis(self.bounds.hold_max)));
        let last_seen = worker.incarnation_state.next_acknowledgement(forgettable);
        let request = worker.hold_request(last_seen, deadline_ms, longest_wait)?;
        worker.set_report_pending(true);
        if request.deadline_ms.is_some() {
            worker.extend_lease(now.at + Self::max_lease_duration(self.bounds.hold_max));
        }
        Some(request)
    }

    /// Returns the workers, and where each listens.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerId, &str)> {
        self.workers
            .iter()
            .filter(|(_, w)| !w.listed.address.is_empty())
            .map(|(id, w)| (id, w.listed.address.as_str()))
    }

    /// Takes the answer to a request that left at `sent_at`.
    pub fn handle_worker_report(
        &mut self,
        id: &WorkerId,
        request: &ReportRequest,
        sent_at: Timestamp,
        report: WorkerReport,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            self.take_late_ends(id, &report.ended, now);
            return;
        };
        if request.token == worker.fence {
            worker.set_report_pending(false);
        }
        let told = match worker
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
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        self.flow.note_report(report.bytes);
        worker.incarnation_state.read_clock(report.clock_ms, now.at);
        worker.incarnation_state.record_acknowledged(told);
        if !worker.is_in_contact() || !worker.incarnation_state.fenced {
            self.replan = true;
        }
        let is_fenced = request.token == worker.fence;
        let life = &mut worker.incarnation_state;
        if life.note_report(report.incarnation, is_fenced, now.at) {
            self.last_new_report_at = Some(now.at);
        }
        let was_silent = !worker.is_in_contact();
        if was_silent {
            worker.contact_restored_at = Some(now.at);
        }
        worker.set_contact(true);
        worker.incarnation_state.left_unannounced = !worker.is_listed;
        let silent_under = std::mem::take(&mut worker.lost_tasks);
        let seen = worker.incarnation_state.last_end_seen;
        let mut absent = worker.expected_in(is_fenced, sent_at);
        for running in &report.running {
            absent.retain(|task| *task != running.task);
            self.take_running(id, running, now);
        }
        let news = report.ended.into_iter().filter(|end| end.number > seen);
        for end in news {
            absent.retain(|task| *task != end.task);
            self.take_end(id, &end, now);
        }
        if was_silent {
            self.mark_timelines_changed_at(id);
        }
        self.settle_silence(id, &silent_under, now);
        if !report.truncated {
            self.take_absent(id, absent, now);
        }
        self.update_timelines(now);
        self.remove_if_gone(id, now);
    }

    /// Takes runs for over that a report should have named.
    fn take_absent(&mut self, id: &WorkerId, mut absent: Vec<TaskKey>, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_of_earlier = |task: &TaskKey| {
            let run = worker.runs.get(task);
            run.is_some_and(|run| worker.incarnation_state.differs_from(run.incarnation))
        };
        let lost = absent.extract_if(.., |task| is_of_earlier(task)).collect();
        let may_start = |task: &TaskKey| {
            let run = worker.runs.get(task);
            run.is_some_and(|run| self.waits_for_late_start(task, run, now))
        };
        let unconfirmed: Vec<TaskKey> = absent.extract_if(.., |task| may_start(task)).collect();
        self.lose_runs_of_previous_incarnation(id, lost, now);
        for task in unconfirmed {
            self.handle_unconfirmed_start(id, &task, now);
        }
        for task in absent {
            let why = "the worker does not know it";
            self.end_unreported_run(id, &task, RunEndKind::LeaseExpired, why, now);
        }
    }

    /// Returns whether an unlisted run must be kept because its start may still be carried out.
    ///
    /// The worker's next incarnation accepts a delayed start until it has answered the planner.
    /// Starting the task elsewhere before then could run it twice.
    fn waits_for_late_start(&self, task: &TaskKey, run: &Run, now: Now) -> bool {
        let job = self.jobs.get(&task.group.job);
        let is_open = job.is_some_and(|job| job.outcome.is_none());
        let is_done = self.task(task).is_none_or(|task| task.done);
        is_open && !is_done && run.may_start_late(now.at)
    }

    /// Handles a run that its worker does not confirm while its start may still be carried out.
    ///
    /// Releases the room of a run that is being stopped; otherwise stops the run's gang, if it has
    /// one.
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

    /// Takes word that a worker did not answer.
    pub fn handle_report_failure(&mut self, id: &WorkerId, now: Now) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.set_report_pending(false);
        }
        self.mark_unresponsive(id, now);
        for task in self.unanswered_gang_members(id, now) {
            self.handle_unconfirmed_start(id, &task, now);
        }
        self.remove_if_gone(id, now);
    }

    /// Returns the gang members at a worker whose unanswered starts may still be carried out.
    fn unanswered_gang_members(&self, id: &WorkerId, now: Now) -> Vec<TaskKey> {
        let is_unanswered =
            |run: &Run| run.gang && run.state == RunState::Starting && run.answered_at.is_some();
        let worker = self.workers.get(id);
        worker.map_or_else(Vec::new, |worker| {
            worker.tasks_where(|run| is_unanswered(run) && run.may_start_late(now.at))
        })
    }

    /// Gives a worker nothing new until it answers; with several of a zone, the whole zone.
    pub(super) fn mark_unresponsive(&mut self, id: &WorkerId, now: Now) {
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
        self.decisions
            .push(Decision::of_worker(id, "it does not answer"));
        let of_zone = |w: &&Worker| w.is_listed && w.listed.zone == zone;
        let silent = self.workers.values().filter(of_zone);
        let silent = silent.filter(|w| !w.is_in_contact()).count();
        if silent >= usize::from(self.policy.health.suspect_zone_workers) {
            self.doubt_zone(&zone, now);
        }
    }

    /// Doubts a worker that left an order about a run without an answer, unless it has answered
    /// anything since the order left: then that order is late, and the worker is not cut off.
    ///
    /// Each doubt takes a worker out for a report's time, and three at once a whole zone with all
    /// places that wait for room there.
    pub(super) fn mark_unresponsive_unless_heard(
        &mut self,
        id: &WorkerId,
        task: &TaskKey,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let ordered_at = worker.runs.get(task).map(|run| run.ordered_at);
        let was_heard =
            ordered_at.is_some_and(|at| worker.incarnation_state.last_answer_at > Some(at));
        if !(was_heard && self.policy.health.trusts_reports) {
            self.mark_unresponsive(id, now);
        }
    }

    /// Asks every worker of a zone that has not answered lately before it gets anything new.
    fn doubt_zone(&mut self, zone: &ZoneId, now: Now) {
        self.doubt_unheard_where(|worker| worker.listed.zone == *zone, now);
    }

    /// Asks every idle worker that has not answered lately before it gets anything new, since a start
    /// has shown that the directory is behind; the others are asked all the time.
    ///
    /// Otherwise the task goes to one worker after the other whose life is over: four in 45 ms.
    pub(super) fn mark_unheard_unresponsive(&mut self, now: Now) {
        self.doubt_unheard_where(|worker| !worker.is_busy(), now);
    }

    fn doubt_unheard_where(&mut self, test: impl Fn(&Worker) -> bool, now: Now) {
        let heard_lately = self.policy.health.recent_contact;
        let doubtful = self
            .workers
            .values_mut()
            .filter(|w| w.is_in_contact() && test(w))
            .filter(|w| {
                w.incarnation_state
                    .last_answer_at
                    .is_none_or(|at| now.at - at > heard_lately)
            });
        for worker in doubtful {
            worker.set_contact(false);
            self.workers_to_poll.push(worker.listed.id.clone());
        }
    }

    /// Takes what runs on silent workers for over once their leases are.
    pub(super) fn expire_leases(&mut self, now: Now) {
        let over: Vec<(WorkerId, Vec<(TaskKey, Run)>)> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.is_in_contact() && !w.runs.is_empty())
            .filter(|(_, w)| w.lease_until.is_none_or(|until| now.at > until))
            .map(|(id, w)| (id.clone(), self.lapsed_runs(w, now)))
            .filter(|(_, runs)| !runs.is_empty())
            .collect();
        for (id, runs) in over {
            self.count_silence(&id, &runs);
            for (task, _) in runs {
                self.end_unreported_run(
                    &id,
                    &task,
                    RunEndKind::LeaseExpired,
                    "its lease is over",
                    now,
                );
            }
            self.remove_if_gone(&id, now);
        }
    }

    /// Returns the runs that end with the worker's lease: all but those whose start may still be
    /// carried out.
    fn lapsed_runs(&self, worker: &Worker, now: Now) -> Vec<(TaskKey, Run)> {
        let runs = worker.runs.iter();
        let runs = runs.filter(|(task, run)| !self.waits_for_late_start(task, run, now));
        runs.map(|(task, run)| (task.clone(), run.clone()))
            .collect()
    }

    fn take_running(&mut self, id: &WorkerId, running: &RunningTask, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match worker.runs.get_mut(&running.task) {
            Some(run) if run.number == running.run => {
                let before = run.state;
                run.note_running(running, worker.incarnation_state.incarnation, now.at);
                let has_begun = run.state != before;
                let was_restored = std::mem::take(&mut run.restored);
                let lasts = run.lasts;
                self.note_progress(running);
                if has_begun {
                    self.mark_timeline_changed(&running.task.group.job);
                    self.note_taken(&running.task, running.run);
                }
                if lasts {
                    self.note_at_work(id, &running.task, now);
                }
                if was_restored {
                    self.confirm_restored(id, &running.task, now);
                }
            }
            Some(run) if run.number > running.run => {}
            _ => self.adopt(id, running, now),
        }
    }

    pub(super) fn note_progress(&mut self, running: &RunningTask) {
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
    /// Names runs that the answer to a request sent at `sent_at` must list if they are there: those for which
    /// this life had answered, and those meant for an earlier one, which it starts no more once it has
    /// seen its own token.
    fn expected_in(&self, is_fenced: bool, sent_at: Timestamp) -> Vec<TaskKey> {
        self.tasks_where(|run| {
            if run.fence == self.fence {
                run.answered_at.is_some_and(|at| at < sent_at)
            } else {
                is_fenced && run.was_started()
            }
        })
    }
}

impl Run {
    pub(super) fn note_running(
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
