//! Explanations of a job's state and of what it waits for.

use super::job::{Job, Task, TaskGroup};
use super::pass::Pass;
use super::{Now, Planner};
use crate::JobId;
use crate::batch::{GroupKey, JobExplanation, StepExplanation};
use crate::time::millis;

impl Planner {
    /// Explains the state of a job and of its unfinished steps, or returns `None` for an unknown
    /// job.
    #[must_use]
    pub fn explain(&self, id: &JobId, now: Now) -> Option<JobExplanation> {
        let job = self.jobs.get(id)?;
        let accepted = &job.accepted;
        let timeline = job.timeline.to_stored(now);
        Some(JobExplanation {
            job: id.clone(),
            queue: accepted.queue.name.clone(),
            priority: accepted.queue.priority,
            customer: accepted.customer.clone(),
            zone: accepted.zone.clone(),
            state: self.caller_state(id)?,
            age_ms: now.unix_ms.saturating_sub(accepted.accepted_unix_ms),
            spent_ms: timeline.phases_ms,
            setbacks: timeline.setbacks,
            wait: self.wait_status(id, now).map(Into::into),
            steps: self.explain_steps(id, job, now),
        })
    }

    fn explain_steps(&self, id: &JobId, job: &Job, now: Now) -> Vec<StepExplanation> {
        if job.outcome.is_some() {
            return Vec::new();
        }
        let keys = job.ready_keys(id);
        let open = keys.filter_map(|key| Some((job.group(&key)?, key)));
        open.filter(|(group, _)| !group.is_done())
            .filter_map(|(group, key)| self.explain_step(&key, group, job, now))
            .collect()
    }

    fn explain_step(
        &self,
        key: &GroupKey,
        group: &TaskGroup,
        job: &Job,
        now: Now,
    ) -> Option<StepExplanation> {
        let phase = self.phase_of_group(key, group, job)?;
        let waiting = count_tasks(group, Task::is_waiting);
        let steps_ahead = if waiting > 0 {
            self.count_steps_ahead(key, now)
        } else {
            0
        };
        Some(StepExplanation {
            tasks: count_tasks(group, |_| true),
            waiting,
            done: count_tasks(group, |task| task.done),
            waited_ms: group.ready_since.map_or(0, |since| millis(now.at - since)),
            fits: self.fits_now(key, &mut Pass::default()),
            steps_ahead,
            ..StepExplanation::new(key, phase)
        })
    }

    /// Counts the candidates before a step in scheduling order.
    fn count_steps_ahead(&self, key: &GroupKey, now: Now) -> u32 {
        let guaranteed_jobs = self.guaranteed_jobs();
        let candidates = self.list_candidates(&guaranteed_jobs, now);
        let before = candidates.iter().position(|other| other.key == *key);
        u32::try_from(before.unwrap_or(0)).unwrap_or(u32::MAX)
    }
}

fn count_tasks(group: &TaskGroup, test: impl Fn(&Task) -> bool) -> u32 {
    let tasks = group.tasks.iter().filter(|task| test(task)).count();
    u32::try_from(tasks).unwrap_or(u32::MAX)
}
