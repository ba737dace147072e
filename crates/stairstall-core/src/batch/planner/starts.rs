//! Orders to workers and what became of them.

use super::pool::{RunState, Worker};
use super::{Now, Order, OrderKind, Planner};
use crate::batch::{
    Decision, DecisionKind, EndKind, GroupKey, RefusalReason, StartOutcome, StopOutcome, TaskKey,
};
use crate::time::millis;
use crate::{JobId, Timestamp, WorkerId};

impl Planner {
    /// Sends the starts whose room is free: of a gang all or none.
    pub(super) fn emit_starts(&mut self, now: Now) {
        if !self.knows_evacuations(now) || !self.knows_jobs() {
            return;
        }
        let groups: Vec<GroupKey> = self.planned.iter().cloned().collect();
        for key in groups {
            let members = self.planned_members(&key);
            if members.is_empty() {
                self.planned.remove(&key);
                continue;
            }
            let is_gang = self.step(&key).is_some_and(|step| step.gang);
            if is_gang {
                self.emit_gang(&key, &members, now);
            } else {
                for (id, task) in &members {
                    if self.has_room_for(id, &[task]) {
                        self.emit_start(id, task, now);
                    }
                }
            }
        }
    }

    fn emit_gang(&mut self, key: &GroupKey, members: &[(WorkerId, TaskKey)], now: Now) {
        let by_worker = |id: &WorkerId| -> Vec<&TaskKey> {
            let here = members.iter().filter(|(other, _)| other == id);
            here.map(|(_, task)| task).collect()
        };
        let all_fit = members
            .iter()
            .all(|(id, _)| self.has_room_for(id, &by_worker(id)));
        let is_whole = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.group(key))
            .is_some_and(|group| group.tasks.len() == members.len());
        if all_fit && is_whole {
            for (id, task) in members {
                self.emit_start(id, task, now);
            }
        }
    }

    pub(super) fn step(&self, key: &GroupKey) -> Option<&crate::batch::StepSpec> {
        self.jobs.get(&key.job)?.step(key)
    }

    pub(super) fn planned_members(&self, key: &GroupKey) -> Vec<(WorkerId, TaskKey)> {
        let Some(group) = self.jobs.get(&key.job).and_then(|job| job.group(key)) else {
            return Vec::new();
        };
        (0..)
            .zip(&group.tasks)
            .filter_map(|(index, task)| Some((task.place.clone()?, key.task(index))))
            .filter(|(id, task)| self.run_state(id, task) == Some(RunState::Planned))
            .collect()
    }

    fn run_state(&self, id: &WorkerId, task: &TaskKey) -> Option<RunState> {
        Some(self.run_at(id, task)?.state)
    }

    fn has_room_for(&self, id: &WorkerId, tasks: &[&TaskKey]) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let is_recorded = tasks.iter().all(|task| self.is_recorded(worker, task));
        let needed = tasks
            .iter()
            .filter_map(|task| worker.runs.get(*task))
            .fold(crate::batch::Resources::default(), |sum, run| {
                sum.plus(&run.room)
            });
        let takes_starts = worker.is_in_contact() && !worker.in_evacuated_zone;
        is_recorded && takes_starts && needed.fits(&worker.free_now())
    }

    /// Tells whether a run's place is written down, so that a later planner knows of it.
    fn is_recorded(&self, worker: &Worker, task: &TaskKey) -> bool {
        let written = self.jobs.get(&task.group.job).map(|job| job.written);
        let needed = worker.runs.get(task).map(|run| run.recorded_by);
        needed <= written
    }

    fn emit_start(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let checkpoint = self.start_checkpoint(task);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(clock_ms) = worker.life.clock_at(now.at) else {
            return;
        };
        let lease = self.policy.orders.start_lease.min(self.bounds.hold_max);
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        let waited = millis(now.at - run.since);
        run.resumes = checkpoint.is_some();
        run.enter(RunState::Starting, now.at);
        run.ordered_at = now.at;
        run.tries += 1;
        run.incarnation = worker.life.incarnation;
        run.fence = worker.fence;
        let (number, tries, token) = (run.number, run.tries, run.fence);
        worker.extend_lease(now.at + Self::lease_span(lease));
        let Some(job) = self.jobs.get(&task.group.job) else {
            return;
        };
        self.orders.push(Order {
            worker: id.clone(),
            task: task.clone(),
            run: number,
            token,
            kind: OrderKind::Start {
                payload: job.accepted.spec.payload.clone(),
                checkpoint,
                ticket: self.start_ticket(id, task, now),
                deadline_ms: clock_ms.saturating_add(millis(lease)),
            },
        });
        if let Some(job) = self.jobs.get_mut(&task.group.job) {
            job.story.starts += 1;
        }
        self.touch(&task.group.job);
        self.decisions.push(Decision::of_run(
            DecisionKind::Start,
            task,
            number,
            id,
            format!("try {tries}, its room took {waited} ms"),
        ));
    }

    /// Returns where a run continues from; all members of a gang from the same.
    fn start_checkpoint(&self, task: &TaskKey) -> Option<String> {
        let key = &task.group;
        let job = self.jobs.get(&key.job)?;
        let group = job.group(key)?;
        if job.step(key)?.gang {
            return group.tasks.iter().find_map(|t| t.checkpoint.clone());
        }
        group.tasks.get(task.index as usize)?.checkpoint.clone()
    }

    fn start_ticket(&self, id: &WorkerId, task: &TaskKey, now: Now) -> Option<String> {
        let group = self.jobs.get(&task.group.job)?.group(&task.group)?;
        let margin = self.policy.advice.ticket_margin;
        group.advice.ticket(id, now.at, margin).map(str::to_owned)
    }

    /// Stops a run, or drops it where no start was sent.
    pub(super) fn stop_run(&mut self, id: &WorkerId, task: &TaskKey, why: &str, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        match run.state {
            RunState::Stopping => {}
            RunState::Planned => {
                if let Some(run) = self.drop_run(id, task) {
                    self.release(id, task, &run, why);
                }
            }
            RunState::Starting | RunState::Running => {
                if run.restored {
                    // Whether it is there at all, the worker's first report tells.
                    return;
                }
                run.enter(RunState::Stopping, now.at);
                run.answered_at = None;
                let number = run.number;
                self.send_stop(id, task, number, now);
                let detail = format!("{why}; {}", self.progress_of(id, task, now));
                self.decisions.push(Decision::of_run(
                    DecisionKind::Stop,
                    task,
                    number,
                    id,
                    detail,
                ));
            }
        }
    }

    fn progress_of(&self, id: &WorkerId, task: &TaskKey, now: Now) -> String {
        let run = self.run_at(id, task);
        let restore_cost = self.policy.victims.restore_cost;
        run.map_or_else(String::new, |run| {
            let ran = run.began.map_or(0, |(at, _)| millis(now.at - at));
            let lost = run.loss(now.at, restore_cost) / 1000;
            format!(
                "{} percent after {ran} ms, {lost} core-seconds lost",
                run.percent
            )
        })
    }

    pub(super) fn send_stop(&mut self, id: &WorkerId, task: &TaskKey, run: u32, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(entry) = worker.runs.get_mut(task) {
            entry.ordered_at = now.at;
            worker.has_unsettled = true;
        }
        let token = worker.fence;
        self.orders.push(Order {
            worker: id.clone(),
            task: task.clone(),
            run,
            token,
            kind: OrderKind::Stop,
        });
    }

    /// Takes what became of a start that left at `sent_at`.
    pub fn take_start(&mut self, order: &Order, outcome: StartOutcome, now: Now) {
        let id = &order.worker;
        let task = &order.task;
        self.note_start_answered();
        if outcome == StartOutcome::OtherLife {
            self.drop_never_begun(order, now);
            self.life_over(id, "another life answered a start", now);
            self.doubt_unheard(now);
            return;
        }
        if outcome == StartOutcome::Refused(RefusalReason::Fenced) {
            self.note_fenced(id, order.token);
            self.drop_never_begun(order, now);
            return;
        }
        if let StartOutcome::Started { clock_ms } = outcome {
            self.read_answer_clock(order, clock_ms, now);
        }
        let Some(run) = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.runs.get_mut(task))
        else {
            return;
        };
        if run.number != order.run {
            return;
        }
        if let StartOutcome::Started { .. } = outcome {
            run.answered_at = run.answered_at.or(Some(now.at));
            run.taken = true;
            if run.state == RunState::Starting {
                run.enter(RunState::Running, now.at);
                run.began = Some((now.at, 0));
                run.progressed_at = now.at;
            }
            self.touch(&task.group.job);
            self.note_taken(task, order.run);
            self.note_begun(&task.group.job, now);
            self.update_stories(now);
            return;
        }
        let first_try = run.tries <= 1;
        if run.state == RunState::Starting {
            self.start_failed(order, outcome, first_try, now);
        }
    }

    /// Notes that a task's run was taken; where workers were lost under it before, that is written down.
    ///
    /// A later planner that finds the worker crashed would not know else whether it crashed under the
    /// task, which would go on to take two more workers down.
    pub(super) fn note_taken(&mut self, task: &TaskKey, number: u32) {
        let Some(job) = self.jobs.get_mut(&task.group.job) else {
            return;
        };
        let Some(entry) = job.task_mut(task).filter(|entry| entry.run == number) else {
            return;
        };
        let is_news = !std::mem::replace(&mut entry.taken, true);
        if is_news && !entry.losses.is_empty() {
            job.change();
            self.changed.insert(task.group.job.clone());
        }
    }

    fn note_begun(&mut self, id: &JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.begun) else {
            return;
        };
        job.begun = true;
        let decision = Decision::of_begin(id, now.at - job.arrived_at);
        self.decisions.push(decision);
    }

    fn start_failed(&mut self, order: &Order, outcome: StartOutcome, first_try: bool, now: Now) {
        let (id, task) = (&order.worker, &order.task);
        self.decisions.push(Decision::of_run(
            DecisionKind::Start,
            task,
            order.run,
            id,
            format!("not started: {outcome:?}").to_lowercase(),
        ));
        if outcome == StartOutcome::Unhealthy
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.life.suspect_until = Some(now.at + self.policy.health.suspect_after_refusal);
        }
        let did_nothing = match outcome {
            StartOutcome::NotSent | StartOutcome::Unhealthy => true,
            StartOutcome::Refused(reason) => reason != RefusalReason::OldRun,
            _ => false,
        };
        if outcome == StartOutcome::NotSent {
            self.doubt(id, now);
        }
        if outcome == StartOutcome::Refused(RefusalReason::NoTicket) {
            self.drop_ticket(&task.group, id);
        }
        if did_nothing && first_try {
            self.run_over(id, task, EndKind::Stopped, "it was not started", now);
        } else if matches!(outcome, StartOutcome::Unknown | StartOutcome::NotSent) {
            self.try_again(order, now);
        } else if outcome == StartOutcome::Refused(RefusalReason::OldRun) {
            // It ended there, or was barred: the next report tells.
            self.note_answered(id, task, now.at);
        } else {
            self.stop_run(id, task, "an earlier try may have started it", now);
            self.stop_gang(task, order.run, "a member of its gang did not start", now);
        }
    }

    fn try_again(&mut self, order: &Order, now: Now) {
        let (id, task) = (&order.worker, &order.task);
        self.doubt_unless_heard(id, task, now);
        if !self.is_present_fence(id, order.token) {
            // A report of the life that has begun since then tells whether it is there.
            return;
        }
        let run = self.run_at(id, task);
        let tries = run.map_or(0, |run| run.tries);
        let is_done = run.is_some_and(|run| run.unwanted_since.is_some());
        let why = if is_done {
            // The end of an earlier run may be heard between two tries.
            "the task is done"
        } else if !self.knows_jobs() {
            "no answer to its start, and its job may have been cancelled"
        } else if !self.may_start_at(id, now) {
            "no answer to its start, and its zone may be evacuated"
        } else if tries >= self.policy.orders.max_tries {
            "no answer to its starts"
        } else {
            self.emit_start(id, task, now);
            return;
        };
        self.stop_run(id, task, why, now);
        self.stop_gang(task, order.run, "a member of its gang did not start", now);
    }

    /// Notes an answer about a run: a report that is asked for later must name the run, or it is
    /// over. A later answer doesn't put that off.
    fn note_answered(&mut self, id: &WorkerId, task: &TaskKey, at: Timestamp) {
        if let Some(run) = self.workers.get_mut(id).and_then(|w| w.runs.get_mut(task)) {
            run.answered_at.get_or_insert(at);
        }
    }

    /// Sends a stop again at once that got no answer: what waits for the room waits for it.
    fn stop_again(&mut self, order: &Order, now: Now) {
        let (id, task) = (&order.worker, &order.task);
        let max_tries = self.policy.orders.max_tries;
        self.doubt_unless_heard(id, task, now);
        let run = self.workers.get_mut(id).and_then(|w| w.runs.get_mut(task));
        let Some(run) = run.filter(|run| run.number == order.run) else {
            return;
        };
        run.stops = run.stops.saturating_add(1);
        if run.state == RunState::Stopping && run.stops < max_tries {
            self.send_stop(id, task, order.run, now);
        }
    }

    /// Takes what became of a stop.
    pub fn take_stop(&mut self, order: &Order, outcome: StopOutcome, now: Now) {
        match outcome {
            StopOutcome::Taken => {
                let (id, task) = (&order.worker, &order.task);
                let matches = self
                    .run_at(id, task)
                    .is_some_and(|run| run.number == order.run);
                if matches {
                    self.note_answered(id, task, now.at);
                }
            }
            StopOutcome::Fenced => self.note_fenced(&order.worker, order.token),
            StopOutcome::OtherLife => {
                self.life_over(&order.worker, "another life answered a stop", now);
            }
            StopOutcome::Unknown => self.stop_again(order, now),
        }
    }
}
