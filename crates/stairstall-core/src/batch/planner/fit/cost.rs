//! What being at a worker costs a task.

use super::super::Planner;
use super::super::pool::{Suspicion, Worker};
use crate::batch::{GroupKey, PlacePolicy, StepSpec};
use crate::{JobId, Timestamp, WorkerId};

/// What makes workers worse places for the tasks of one step.
pub(super) struct PlaceCosts<'a> {
    /// Work of a task, in core-milliseconds.
    work: u64,
    /// Whether a run of it has failed.
    has_failed: bool,
    /// Where runs of it failed.
    failed_at: Vec<&'a WorkerId>,
    /// The job, where workers were lost under a task of the step.
    suspect: Option<&'a JobId>,
    far_factor: u32,
    policy: &'a PlacePolicy,
}

impl PlaceCosts<'_> {
    /// Returns what being at a worker costs a task, in core-milliseconds.
    pub(super) fn of(&self, worker: &Worker, step: &StepSpec, at: Timestamp) -> u64 {
        let mut cost = 0;
        if !worker.is_near(step) {
            cost += self.work * u64::from(self.far_factor.saturating_sub(1));
        }
        if worker.is_suspect(at) {
            cost += self.work * u64::from(self.policy.suspect_penalty);
        }
        if self.has_failed && worker.life.succeeded_at.is_none() {
            cost += self.work * u64::from(self.policy.unproven_penalty);
        }
        if self.failed_at.contains(&&worker.listed.id) {
            cost += self.work * u64::from(self.policy.failed_here_penalty);
        }
        // Side by side nothing would tell which of two such jobs a worker crashes under.
        if self
            .suspect
            .is_some_and(|job| worker.has_suspect_beside(job))
        {
            cost += self.work * u64::from(self.policy.suspect_neighbour_penalty);
        }
        cost
    }
}

impl Planner {
    /// Returns what makes workers worse places for a step.
    pub(super) fn place_costs<'a>(&'a self, step: &StepSpec, key: &'a GroupKey) -> PlaceCosts<'a> {
        let group = self.group_of(key);
        let tasks = group.map_or(&[][..], |group| &group.tasks);
        PlaceCosts {
            work: step.room().weight().saturating_mul(self.estimate_ms(step)) / 1000,
            has_failed: group.is_some_and(|group| group.worst_failures() > 0),
            failed_at: tasks.iter().filter_map(|t| t.failed_at.as_ref()).collect(),
            suspect: tasks
                .iter()
                .any(|t| t.is_waiting() && !t.losses.is_empty())
                .then_some(&key.job),
            far_factor: self.bounds.far_factor,
            policy: &self.policy.places,
        }
    }
}

impl Worker {
    /// Tells whether it has a run of another job under which workers were lost before.
    fn has_suspect_beside(&self, job: &JobId) -> bool {
        let mut others = self.runs.iter().filter(|(task, _)| task.group.job != *job);
        others.any(|(_, run)| run.suspicion != Suspicion::None)
    }
}
