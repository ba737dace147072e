//! What a worker may have crashed under.

use super::super::Planner;
use super::super::pool::{Run, RunState};
use crate::Timestamp;
use crate::batch::TaskKey;

impl Planner {
    /// Returns the tasks that a worker, heard last at `heard_at`, may have crashed under, and whether
    /// their runs surely were at work: what had just begun there, and what it was told to start and did
    /// not answer, or else all that ran.
    ///
    /// Put down to all that ran, eight jobs that crash their workers, one after the other, also
    /// fail a job of 36 tasks beside them.
    pub(super) fn blamed(
        &self,
        heard_at: Option<Timestamp>,
        runs: &[(TaskKey, Run)],
    ) -> Vec<(TaskKey, bool)> {
        let fresh_start = self.policy.health.fresh_start;
        let had_just_begun = |run: &Run| {
            let ran_for = run.began.zip(heard_at);
            let is_short = |((began, _), heard_at)| heard_at - began <= fresh_start;
            run.has_answered() && ran_for.is_some_and(is_short)
        };
        let started = runs.iter().filter(|(_, run)| run.was_started());
        let any_fresh = started.clone().any(|(_, run)| had_just_begun(run));
        let is_blamed = |run: &Run| !any_fresh || !run.has_answered() || had_just_begun(run);
        let blamed = started.filter(|(_, run)| is_blamed(run));
        blamed
            .map(|(task, run)| (task.clone(), run.was_at_work()))
            .collect()
    }
}

impl Run {
    /// Tells whether it surely was at work: one whose stop was taken may have ended unheard before.
    fn was_at_work(&self) -> bool {
        let may_have_ended = self.state == RunState::Stopping && self.answered_at.is_some();
        self.has_answered() && !may_have_ended
    }

    /// Tells whether its worker has said that it took it.
    const fn has_answered(&self) -> bool {
        self.start_confirmed
    }
}
