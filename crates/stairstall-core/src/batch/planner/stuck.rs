//! Moving runs that have stalled, and stragglers, to other workers.

use std::collections::BTreeMap;

use super::job::TaskGroup;
use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::batch::{Decision, GroupKey, Setback, TaskKey};
use crate::time::millis;
use crate::{Timestamp, WorkerId};

mod pace;

use pace::{Pace, Verdict};

/// A run that should be moved to another worker.
struct RunToMove {
    worker: WorkerId,
    task: TaskKey,
    run: u32,
    why: &'static str,
}

impl Planner {
    /// Stops runs that make no progress, or far too little, so that they continue on another
    /// worker.
    pub(super) fn move_stalled_runs(&mut self, now: Now) {
        // Between two reports, nothing changes that is checked here.
        let interval = self.policy.run_pace.interval.max(self.report_wait() / 2);
        if self
            .last_stall_check_at
            .is_some_and(|at| now.at - at < interval)
        {
            return;
        }
        self.last_stall_check_at = Some(now.at);
        self.learn_paces_from_reports(now);
        for to_move in self.runs_to_move(now) {
            self.move_run(&to_move, now);
        }
    }

    fn runs_to_move(&self, now: Now) -> Vec<RunToMove> {
        let mut by_group = BTreeMap::<&GroupKey, Vec<(&WorkerId, &TaskKey, &Run)>>::new();
        for (id, worker) in &self.workers {
            if !worker.is_in_contact() {
                continue;
            }
            for (task, run) in &worker.runs {
                let is_running = run.state == RunState::Running && run.began.is_some();
                if is_running && !run.long_running && !run.restored {
                    let members = by_group.entry(&task.group).or_default();
                    members.push((id, task, run));
                }
            }
        }
        let mut found = Vec::new();
        for (key, members) in by_group {
            found.extend(self.runs_to_move_in_step(key, &members, now));
        }
        found
    }

    /// Returns those runs of one step that have stalled or are far behind the others.
    fn runs_to_move_in_step(
        &self,
        key: &GroupKey,
        members: &[(&WorkerId, &TaskKey, &Run)],
        now: Now,
    ) -> Vec<RunToMove> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let (Some(step), Some(group)) = (job.step(key), job.group(key)) else {
            return Vec::new();
        };
        let is_complete = members.len() == group.tasks.len();
        // The members of a gang can work only once the last of them has begun.
        let together_since = members.iter().filter_map(|(_, _, run)| run.began);
        let together_since = together_since.map(|(at, _)| at).max();
        let paces: Vec<Pace> = members
            .iter()
            .map(|(id, _, run)| {
                let since = if step.gang { together_since } else { None };
                let slowdown = f64::from(self.slowdown(step, id)) * self.pace_of(id, now).factor;
                run.pace(since, slowdown, self.estimate_ms(step))
            })
            .collect();
        let typical = pace::typical_duration_ms(&paces, &group.durations_ms, &self.policy.run_pace);
        let any_progress = paces.iter().any(|pace| pace.gained > 0);
        let is_confirmed = !step.gang || (is_complete && (any_progress || members.len() == 1));
        members
            .iter()
            .zip(&paces)
            .filter_map(|((id, task, run), pace)| {
                let why = match pace.verdict(
                    is_confirmed,
                    typical,
                    self.bounds.stop_max,
                    &self.policy.run_pace,
                ) {
                    Verdict::Fine => return None,
                    Verdict::Stalled => "it has stalled",
                    Verdict::Slow if self.is_slow_anywhere(group, id, task, now) => {
                        return None;
                    }
                    Verdict::Slow => "it is far slower than the others",
                };
                Some(RunToMove {
                    worker: (*id).clone(),
                    task: (*task).clone(),
                    run: run.number,
                    why,
                })
            })
            .collect()
    }

    /// Returns whether a task is itself the cause of its slowness: it was moved before, and is slow
    /// again on a worker of known pace.
    fn is_slow_anywhere(&self, group: &TaskGroup, id: &WorkerId, task: &TaskKey, now: Now) -> bool {
        let entry = group.tasks.get(task.index as usize);
        let was_moved = entry.is_some_and(|entry| entry.moves > 0);
        self.paces.is_heterogeneous() && was_moved && self.pace_of(id, now).is_known
    }

    fn move_run(&mut self, to_move: &RunToMove, now: Now) {
        let (id, task) = (&to_move.worker, &to_move.task);
        if !self.may_move(task, to_move.run) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            if !worker.is_suspect(now.at) {
                let why = format!(
                    "a run is moved away: {}; no new tasks for a while",
                    to_move.why
                );
                self.decisions.push(Decision::of_worker(id, why));
            }
            worker.incarnation_state.suspect_until =
                Some(now.at + self.policy.health.suspect_after_stall);
        }
        self.record_setback(&task.group.job, Setback::Stalled);
        self.stop_run(id, task, to_move.why, now);
        self.stop_gang(
            task,
            to_move.run,
            "a member of its gang has stalled or is slow",
            now,
        );
    }

    /// Counts a move of a task, or of its gang once per run. Returns whether the move is allowed.
    fn may_move(&mut self, task: &TaskKey, run: u32) -> bool {
        let key = &task.group;
        let max_moves = self.policy.run_pace.max_moves;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        let is_gang = job.step(key).is_some_and(|step| step.gang);
        let index = if is_gang { 0 } else { task.index as usize };
        let entry = job.group_mut(key).and_then(|g| g.tasks.get_mut(index));
        let Some(entry) = entry else {
            return false;
        };
        if entry.moved_run == run {
            return true;
        }
        if entry.moves >= max_moves {
            return false;
        }
        entry.moved_run = run;
        entry.moves += 1;
        true
    }
}

impl Run {
    /// Returns the pace of the run.
    ///
    /// How long the run may stall depends on the caller's estimate, not on the learned run time: a
    /// longer one would only delay the detection of a dead worker.
    fn pace(&self, together_since: Option<Timestamp>, slowdown: f64, estimate_ms: u64) -> Pace {
        let (began, from) = self.began.unwrap_or((self.reported_at, self.percent));
        let since = together_since.unwrap_or(began).max(began);
        Pace {
            worked_ms: millis(self.reported_at - since),
            gained: self.percent.saturating_sub(from),
            left: 100_u8.saturating_sub(self.percent),
            stalled_ms: millis(self.reported_at - self.progressed_at.max(since)),
            expected_ms: pace::with_slowdown(estimate_ms, slowdown),
            slowdown,
            is_resumable: self.checkpoints,
        }
    }
}
