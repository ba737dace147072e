//! Crash attribution: which tasks a crash is counted against.

use std::time::Duration;

use super::super::Planner;
use super::super::pool::{Run, RunState};
use crate::Timestamp;
use crate::batch::TaskKey;

/// What is known of the end of a worker's incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::batch::planner) struct LostIncarnation {
    /// When it last answered any request.
    pub(in crate::batch::planner) last_answer_at: Option<Timestamp>,
    /// When the next incarnation under its ID began, if there is one.
    pub(in crate::batch::planner) successor_began_at: Option<Timestamp>,
}

impl Planner {
    /// Returns the tasks that may have crashed a lost incarnation, and for each whether its run was
    /// certainly active.
    ///
    /// If some runs had begun within `fresh_start` before its last answer, these are the suspects,
    /// together with the runs whose start was not confirmed. Otherwise all runs on the worker are
    /// suspects. If crashes were always counted against all runs, jobs that crash their workers
    /// would also fail unrelated jobs there: eight such jobs, one after the other, failed a job of
    /// 36 tasks that shared their workers.
    pub(super) fn crash_suspects(
        &self,
        lost: LostIncarnation,
        runs: &[(TaskKey, Run)],
    ) -> Vec<(TaskKey, bool)> {
        let fresh_start = self.policy.health.fresh_start;
        let just_started = |run: &Run| {
            let ran_for = run.began.zip(lost.last_answer_at);
            let is_short = |((began, _), last_answer_at)| last_answer_at - began <= fresh_start;
            run.has_confirmed_start() && ran_for.is_some_and(is_short)
        };
        let started = runs.iter().filter(|(_, run)| run.was_started());
        let any_fresh = started.clone().any(|(_, run)| just_started(run));
        let is_suspect = |run: &Run| !any_fresh || !run.has_confirmed_start() || just_started(run);
        let crash_suspects = started.filter(|(_, run)| is_suspect(run));
        crash_suspects
            .map(|(task, run)| (task.clone(), self.was_certainly_running(run, lost)))
            .collect()
    }

    /// Returns whether a run was certainly active when its worker was lost. A run whose stop the
    /// worker had answered, or whose likely end is long past, may have ended without the planner
    /// knowing.
    fn was_certainly_running(&self, run: &Run, lost: LostIncarnation) -> bool {
        let is_stopped = run.state == RunState::Stopping && run.answered_at.is_some();
        let had_ended = self.had_likely_ended(run, lost);
        run.has_confirmed_start() && !is_stopped && !had_ended
    }

    /// Returns whether the next incarnation began so late that the run had likely ended before the
    /// crash, by its progress or its expected run time.
    fn had_likely_ended(&self, run: &Run, lost: LostIncarnation) -> bool {
        let Some(((began_at, _), restarted_at)) = run.began.zip(lost.successor_began_at) else {
            return false;
        };
        let left_ms = run.remaining_ms(self.policy.placement.min_progress_percent);
        let likely_end = began_at.max(run.reported_at) + Duration::from_millis(left_ms);
        restarted_at > likely_end + self.policy.health.restart_time
    }
}

impl Run {
    /// Returns whether the worker has confirmed the start.
    const fn has_confirmed_start(&self) -> bool {
        self.start_confirmed
    }
}
