//! Headroom: accelerators kept free for urgent work, so that it need not preempt other work.

use std::time::Duration;

use super::candidate::{Candidate, URGENT_RANK};
use super::pass::Pass;
use super::{Now, Planner};
use crate::JobId;
use crate::batch::{AcceptedJob, DemandHorizon, GroupKey, Timeliness, UrgentWork};

impl Planner {
    /// Records the demand of a newly accepted job, if the job is urgent.
    pub(super) fn record_demand(&mut self, id: &JobId, now: Now) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let accepted = &job.accepted;
        if accepted.queue.priority != 0 {
            return;
        }
        let work = UrgentWork {
            zone: accepted.zone.as_ref(),
            queue: &accepted.queue.name,
            accelerators: accelerators_at_once(accepted),
            hold_time: self.expected_hold_time(id, accepted, now),
        };
        self.demand
            .record(&work, self.policy.headroom.window, now.at);
    }

    /// Returns how long the longest step of a job is expected to hold its resources, or `None` if
    /// the run time of a step is not known yet.
    fn expected_hold_time(&self, id: &JobId, accepted: &AcceptedJob, now: Now) -> Option<Duration> {
        let steps = (0..).zip(&accepted.spec.steps);
        let times = steps.map(|(index, step)| {
            let key = GroupKey {
                job: id.clone(),
                occurrence: 0,
                step: index,
            };
            let known = self.known_run_time(&key, step, now)?;
            Some(known.p90)
        });
        let times: Option<Vec<Duration>> = times.collect();
        times?.into_iter().max()
    }

    /// Returns how many more accelerators a step may take.
    ///
    /// The headroom grows with the time that a stop takes, because urgent work loses that time when
    /// it has to preempt. It shrinks as the remaining wait time of a gang runs out; otherwise a
    /// wide gang would never start.
    pub(super) fn accelerator_allowance(
        &self,
        candidate: &Candidate,
        pass: &mut Pass,
        now: Now,
    ) -> u32 {
        if candidate.rank <= URGENT_RANK {
            return u32::MAX;
        }
        let free = self.free_accelerators(pass);
        let headroom = self.urgent_headroom(pass, now);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count of accelerators"
        )]
        let kept_free = (headroom * self.headroom_fraction(candidate, now)) as u32;
        free.saturating_sub(kept_free)
    }

    /// Returns the number of accelerators to keep free, computed once per pass.
    fn urgent_headroom(&self, pass: &mut Pass, now: Now) -> f64 {
        let policy = &self.policy.headroom;
        let stop = self.bounds.stop_max;
        let seconds = policy.kept_seconds + policy.kept_per_stop * stop.as_secs_f64();
        let horizon = DemandHorizon {
            span: Duration::from_secs_f64(seconds.max(0.0)),
            stop_time: stop,
            observed: self.first_tick_at.map_or(Duration::ZERO, |at| now.at - at),
        };
        *pass
            .urgent_headroom
            .get_or_insert_with(|| self.demand.headroom(&horizon, policy, now.at))
    }

    /// Returns the fraction of the headroom that a step must leave free. For a gang, it drops to
    /// zero as its latest start approaches. During the gang's back-off after a preemption it is
    /// `f64::MAX`, which withholds all accelerators if any headroom is kept.
    fn headroom_fraction(&self, candidate: &Candidate, now: Now) -> f64 {
        let scheduling_key = &candidate.scheduling_key;
        if scheduling_key.is_aged() {
            return 0.0;
        }
        let job = self.jobs.get(&candidate.key.job);
        let yields_from = self.policy.headroom.yields_from;
        let is_gang = self.step(&candidate.key).is_some_and(|step| step.gang);
        let Some(job) = job.filter(|_| is_gang && yields_from > 0.0) else {
            return 1.0;
        };
        if self.in_preemption_backoff(&candidate.key, now) {
            return f64::MAX;
        }
        if scheduling_key.timeliness != Timeliness::InTime || self.was_preempted(&candidate.key) {
            // If the gang took the headroom, urgent work might preempt it a moment later: the gang
            // would lose its work, and the urgent work the time of the stop.
            return 1.0;
        }
        let due_unix_ms = job.eligible_unix_ms(candidate.key.occurrence);
        let latest_start = scheduling_key.latest_start_unix_ms;
        let max_wait = Duration::from_millis(latest_start.saturating_sub(due_unix_ms));
        let remaining_wait = Duration::from_millis(latest_start.saturating_sub(now.unix_ms));
        if max_wait.is_zero() {
            return 0.0;
        }
        (remaining_wait.as_secs_f64() / max_wait.as_secs_f64() / yields_from).clamp(0.0, 1.0)
    }
}

/// Returns the number of accelerators that the step of a job with the most accelerators takes.
fn accelerators_at_once(job: &AcceptedJob) -> u32 {
    let steps = job.spec.steps.iter();
    let accelerators = steps.map(|step| step.needs.accelerators.saturating_mul(step.count));
    accelerators.max().unwrap_or(0)
}
