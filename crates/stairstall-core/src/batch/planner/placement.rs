//! Placement of a step's waiting tasks on workers.

use std::time::Duration;

use super::candidate::{Candidate, URGENT_RANK};
use super::candidate_worker::{CandidateWorker, SearchScope, VictimSearch, Victims};
use super::job::{Job, TaskGroup};
use super::pass::{CapacityKind, Pass};
use super::pool::{CrashSuspicion, RequiredHealth, Run, RunState, Worker};
use super::victims::Preemptor;
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, DecisionKind, GroupKey, Setback, StepSpec, WorkerPace};

mod choose;
mod cost;
mod reservations;
mod scope;

pub(super) use choose::PlacementChoice;
use choose::{allowed_count, min_count, search};
use cost::PaceCosts;
pub(super) use reservations::Reservation;

impl Planner {
    /// Places the waiting tasks of a step as far as workers are found, and reserves workers for a
    /// gang that has waited too long.
    pub(super) fn place_step(&mut self, candidate: &Candidate, pass: &mut Pass, now: Now) {
        self.place_step_within(candidate, None, pass, now);
    }

    /// Places the waiting tasks of a step within these search scopes, or within all that it may use.
    pub(super) fn place_step_within(
        &mut self,
        candidate: &Candidate,
        scopes: Option<Vec<SearchScope>>,
        pass: &mut Pass,
        now: Now,
    ) {
        let key = &candidate.key;
        let Some((step, group)) = self
            .jobs
            .get(&key.job)
            .and_then(|job| Some((job.step(key)?.clone(), job.group(key)?)))
        else {
            return;
        };
        let mut waiting = group.waiting();
        waiting
            .retain(|index| !self.is_blocked_by_losses(&step, &group.tasks[*index as usize], now));
        let ready_since = group.ready_since.unwrap_or(now.at);
        if step.gang && waiting.len() != group.tasks.len() {
            return;
        }
        if step.long_running {
            waiting.sort_by_key(|index| group.tasks[*index as usize].idle_since);
        }
        let mut allowance = self.accelerator_allowance(candidate, pass, now);
        let paces = self.pace_costs(candidate, &step, now);
        let ready = waiting.len();
        let has_own_scopes = scopes.is_some();
        let scopes =
            scopes.unwrap_or_else(|| self.scopes(candidate, &step, ready_since, pass, now));
        for scope in scopes {
            let has_placed = waiting.len() < ready;
            let is_running = has_placed && !step.long_running;
            if waiting.is_empty() || is_running && !scope.yields {
                break;
            }
            let count = if scope.yields {
                allowed_count(&step, waiting.len(), allowance)
            } else {
                min_count(&step, waiting.len(), self.overdue_tasks(key, &waiting, now))
            };
            let count = if step.gang {
                count
            } else {
                self.startable_tasks(candidate, count, pass)
            };
            let may_start = !step.gang || !self.is_start_window_used_up(candidate, pass);
            let asks_for_tickets = self.ticket_validity(key).is_some();
            if !may_start || count == 0 && !asks_for_tickets {
                continue;
            }
            if !self.may_fit(candidate, &step, scope, count, pass, now) {
                if !scope.yields {
                    self.record_idle_search(key, now);
                }
                continue;
            }
            let workers = self.candidate_workers(candidate, &step, scope, pass, now);
            let workers = self.filter_by_ticket(key, workers, waiting.len(), now);
            let choice = search(&step, count, scope, workers, paces.as_ref());
            let may_start =
                choice.is_none() || !step.gang || self.may_start_gang(candidate, count, pass);
            if may_start && !scope.yields {
                self.record_idle_search(key, now);
            }
            let choice = choice.filter(|_| may_start);
            let choice = choice.filter(|choice| {
                self.is_preemption_worthwhile(candidate, &step, choice, pass, now)
            });
            let choice = choice.map(|choice| {
                let paces = paces.as_ref();
                let with_preemption =
                    self.search_with_preemption(candidate, &step, scope, &choice, paces, pass, now);
                with_preemption.unwrap_or(choice)
            });
            if let Some(choice) = choice {
                let accelerators = step
                    .needs
                    .accelerators
                    .saturating_mul(as_u32(choice.workers.len()));
                allowance = allowance.saturating_sub(accelerators);
                let placed: Vec<u32> = waiting.drain(..choice.workers.len()).collect();
                self.commit_placement(candidate, &step, &placed, &choice, scope, now);
                pass.record_placed(choice.workers.len(), accelerators);
                if !choice.victims.is_empty() || !scope.keeps_reservations {
                    pass.invalidate_capacity();
                }
            }
        }
        if has_own_scopes {
            return;
        }
        if !waiting.is_empty() {
            self.place_verification_run(candidate, &step, &waiting, pass, now);
        }
        let waited = now.at - ready_since;
        if step.gang && !waiting.is_empty() && waited >= self.policy.placement.reserve_after {
            self.reserve_workers(candidate, &step, &mut pass.reserved, now);
        }
    }

    /// Searches for faster workers, with preemption, for urgent work that would end late on the
    /// free workers. Returns them if the preempted work costs less than the lateness.
    #[allow(clippy::too_many_arguments, reason = "all are inputs of the search")]
    fn search_with_preemption(
        &mut self,
        candidate: &Candidate,
        step: &StepSpec,
        scope: SearchScope,
        free: &PlacementChoice,
        paces: Option<&PaceCosts>,
        pass: &mut Pass,
        now: Now,
    ) -> Option<PlacementChoice> {
        let paces = paces.filter(|paces| paces.is_late_by_pace(free.slowest_factor))?;
        if candidate.rank > URGENT_RANK || scope.preempts {
            return None;
        }
        let scope = scope.preempting();
        let count = free.workers.len();
        if !self.may_fit(candidate, step, scope, count, pass, now) {
            return None;
        }
        let workers = self.candidate_workers(candidate, step, scope, pass, now);
        let workers = self.filter_by_ticket(&candidate.key, workers, count, now);
        let choice = search(step, count, scope, workers, Some(paces))?;
        let is_better = choice.workers.len() == count && choice.cost < free.cost;
        let is_in_time = paces.ends_in_time(choice.slowest_factor, self.bounds.stop_max);
        (is_better && is_in_time)
            .then_some(choice)
            .filter(|choice| self.is_preemption_worthwhile(candidate, step, choice, pass, now))
    }

    /// Returns whether a search for workers may succeed: there must be enough capacity, unless the
    /// queue requires tickets. The adviser is asked for these even before there is capacity.
    fn may_fit(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        scope: SearchScope,
        count: usize,
        pass: &mut Pass,
        now: Now,
    ) -> bool {
        let key = &candidate.key;
        if self.ticket_validity(key).is_some() {
            return true;
        }
        let kind = if scope.preempts {
            CapacityKind::AfterPreemption(self.preemptor_for(candidate, now))
        } else {
            CapacityKind::Free
        };
        let ceiling = self.ceiling(key, step, scope.near, kind, pass);
        count > 0 && ceiling.allows(step, as_u32(count), scope)
    }

    /// Returns which runs this step may preempt now.
    fn preemptor_for(&self, candidate: &Candidate, now: Now) -> Preemptor {
        let since_accepted = self.since_accepted(&candidate.key, now);
        let waited = self.waiting_time(&candidate.key, now).max(since_accepted);
        self.preemptor(candidate.rank, waited)
    }

    /// Returns how long a step has been ready to start.
    pub(super) fn waiting_time(&self, key: &GroupKey, now: Now) -> Duration {
        let ready_since = self.group_of(key).and_then(|group| group.ready_since);
        ready_since.map_or(Duration::ZERO, |since| now.at - since)
    }

    /// Returns the caller's estimate of a task's run time in milliseconds, or the minimum that the
    /// policy sets if that is longer.
    pub(super) fn estimate_ms(&self, step: &StepSpec) -> u64 {
        step.estimate_ms
            .max(crate::time::millis(self.policy.placement.min_run_time))
    }

    /// Returns the expected run time of a task on a worker, in milliseconds.
    pub(super) fn expected_ms(
        &self,
        key: &GroupKey,
        step: &StepSpec,
        id: &WorkerId,
        now: Now,
    ) -> u64 {
        let typical_ms = crate::time::millis(self.run_time(key, step, now).typical);
        let here_ms = self.pace_of(id, now).scale_ms(typical_ms);
        here_ms.saturating_mul(u64::from(self.slowdown(step, id)))
    }

    /// Returns the factor by which a step's tasks take longer on a worker because of its rack.
    pub(super) fn slowdown(&self, step: &StepSpec, id: &WorkerId) -> u32 {
        let has_no_rack = step.near_rack.is_none();
        let near = has_no_rack || self.workers.get(id).is_none_or(|w| w.is_near(step));
        if near { 1 } else { self.bounds.far_factor }
    }

    fn candidate_workers(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        scope: SearchScope,
        pass: &mut Pass,
        now: Now,
    ) -> Vec<CandidateWorker> {
        self.candidate_workers_where(candidate, step, scope, pass, now, Worker::takes_tasks)
    }

    /// Returns the workers that a step may use among those that pass the test `accepts`.
    pub(super) fn candidate_workers_where(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        scope: SearchScope,
        pass: &mut Pass,
        now: Now,
        accepts: impl Fn(&Worker) -> bool,
    ) -> Vec<CandidateWorker> {
        let key = &candidate.key;
        let urgent = candidate.rank <= URGENT_RANK;
        let required_health = if scope.yields {
            self.required_health(key, urgent, self.waiting_time(key, now))
        } else {
            RequiredHealth::Any
        };
        let service = self.service_of(key);
        let job = self.jobs.get(&key.job);
        let caller_zone = job
            .and_then(|job| job.accepted.zone.clone())
            .filter(|_| self.policy.placement.prefers_callers_zone);
        let search = scope.preempts.then(|| VictimSearch {
            preemptor: self.preemptor_for(candidate, now),
            hold_time: self.run_time(key, step, now).typical,
            at: now.at,
        });
        let needs = step.reserved_resources();
        let is_advised = self.ticket_validity(key).is_some();
        let costs = self.placement_costs(step, key);
        if scope.preempts {
            pass.gang_preemption_costs
                .get_or_insert_with(|| self.gang_preemption_costs(now));
        }
        let search_costs = search.as_ref().zip(pass.gang_preemption_costs.as_ref());
        let reserved = &pass.reserved;
        let isolation = self.isolation(key, urgent, scope, now);
        let knows_paces = self.paces.is_heterogeneous();
        let workers = self
            .workers
            .iter()
            .filter(|(_, w)| scope.preempts || is_advised || needs.fits_in(&w.free()))
            .filter(|(_, w)| accepts(w) && w.has_required_label(step))
            .filter(|(_, w)| service.as_ref() == Some(&w.listed.service))
            .filter(|(_, w)| match &search {
                Some(search) => w.can_colocate_after_preemption(step, search.preemptor),
                None => w.can_colocate(step),
            })
            .filter(|(_, w)| isolation.allows(w, now.at))
            .filter(|(_, w)| !scope.near || w.is_near(step))
            .filter(|(id, _)| {
                urgent || self.may_use_worker(candidate, step, scope, id, reserved, now)
            })
            .filter(|(_, w)| w.is_healthy(required_health, now.at))
            .map(|(id, w)| CandidateWorker {
                worker: id.clone(),
                rack: w.listed.rack.clone(),
                free: if scope.preempts {
                    w.free_after_stops()
                } else {
                    w.free()
                },
                shortage: w.shortage(),
                spread_left: free_task_slots(w, step, key),
                penalty: costs.cost_on(w, step, now.at),
                pace: if knows_paces {
                    self.pace_of(id, now)
                } else {
                    WorkerPace::UNKNOWN
                },
                pace_pending: knows_paces && w.runs.values().any(|run| !run.gang),
                in_other_zone: caller_zone
                    .as_ref()
                    .is_some_and(|caller_zone| *caller_zone != w.listed.zone),
                victims: search_costs.map_or_else(Victims::default, |(search, gang_costs)| {
                    Victims::of(w, step, search, gang_costs, &self.policy.victims)
                }),
            })
            .filter(|worker| worker.spread_left > 0)
            .collect();
        let workers = self.limit_victims(step, workers, now);
        self.keep_guarantees_claimable(candidate, step, workers)
    }

    /// Returns the health that a worker must have shown to get a task of this step.
    fn required_health(&self, key: &GroupKey, urgent: bool, waited: Duration) -> RequiredHealth {
        let failures = self.group_of(key).map_or(0, TaskGroup::max_failures);
        let failed_early = self.group_of(key).is_some_and(|group| group.failed_early);
        let attempts = self.attempts(&key.job).unwrap_or(1);
        if waited > self.suspect_wait_limit(urgent) {
            RequiredHealth::Any
        } else if failed_early && failures + 1 >= attempts {
            RequiredHealth::Proven
        } else {
            RequiredHealth::NotSuspect
        }
    }

    /// Returns how long work waits, after failures or crashes, for workers that meet the stricter
    /// requirements, before it may start on any other.
    pub(super) const fn suspect_wait_limit(&self, urgent: bool) -> Duration {
        if urgent {
            self.policy.placement.suspect_wait_urgent
        } else {
            self.policy.placement.suspect_wait
        }
    }

    pub(super) fn group_of(&self, key: &GroupKey) -> Option<&TaskGroup> {
        self.jobs.get(&key.job)?.group(key)
    }

    /// Returns the service that a step's tasks run on. The newest configuration that has the job's
    /// queue applies.
    pub(super) fn service_of(&self, key: &GroupKey) -> Option<crate::ServiceId> {
        let queue = &self.jobs.get(&key.job)?.accepted.queue;
        let newest = self.catalog.queue(&queue.name);
        Some(newest.unwrap_or(queue).service.clone())
    }

    /// Stops the preemption victims and records the placement of each task.
    pub(super) fn commit_placement(
        &mut self,
        candidate: &Candidate,
        step: &StepSpec,
        tasks: &[u32],
        choice: &PlacementChoice,
        scope: SearchScope,
        now: Now,
    ) {
        let key = &candidate.key;
        for (id, task) in &choice.victims {
            self.record_setback(&task.group.job, Setback::Preempted);
            self.record_preemption(&task.group, now);
            self.stop_run(id, task, &format!("preempted by {key}"), now);
            if let Some(run) = self.run_at(id, task) {
                let number = run.number;
                self.stop_gang(task, number, "its gang is preempted", now);
            }
        }
        let Some(group) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.group_mut(key))
        else {
            return;
        };
        group.last_run += 1;
        let number = group.last_run;
        let ready_since = group.ready_since.unwrap_or(now.at);
        if tasks.len() == group.tasks.len() || group.waiting().len() == tasks.len() {
            group.ready_since = None;
        }
        let waited = crate::time::millis(now.at - ready_since);
        let Some(placement_change) = self.jobs.get_mut(&key.job).map(Job::record_change) else {
            return;
        };
        self.changed_jobs.insert(key.job.clone());
        self.mark_timeline_changed(&key.job);
        for (index, id) in tasks.iter().zip(&choice.workers) {
            let task = key.task(*index);
            let mut run = self.planned_run(candidate, step, id, number, now);
            run.placement_change = placement_change;
            run.suspicion = self.suspicion(&task);
            if let Some(job) = self.jobs.get_mut(&key.job)
                && let Some(group) = job.group_mut(key)
            {
                let task = &mut group.tasks[*index as usize];
                task.worker = Some(id.clone());
                task.run = number;
                task.incarnation = run.incarnation;
                task.start_confirmed = false;
                task.late_start_until_unix_ms = None;
            }
            self.insert_run(id, &task, run);
            self.poll_for_clock(id, now);
            let why = format!(
                "rank {}, waited {waited} ms, {}{}{}",
                candidate.rank,
                if scope.near { "near" } else { "anywhere" },
                if choice.victims.is_empty() {
                    ""
                } else {
                    ", with preemption"
                },
                self.describe_pace(id, now)
            );
            self.decisions.push(Decision::of_run(
                DecisionKind::Place,
                &task,
                number,
                id,
                why,
            ));
        }
        self.planned.insert(key.clone());
        self.commit_usage(candidate, step, tasks.len(), now);
    }

    /// Describes a worker's pace for the decision log if it differs from the typical one.
    fn describe_pace(&self, id: &WorkerId, now: Now) -> String {
        let pace = self.pace_of(id, now);
        if pace.differs_from_typical() {
            format!(", pace {:.2}", pace.factor)
        } else {
            String::new()
        }
    }

    fn planned_run(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        id: &WorkerId,
        number: u32,
        now: Now,
    ) -> Run {
        Run {
            number,
            resources: step.reserved_resources(),
            state: RunState::Planned,
            rank: candidate.rank,
            gang: step.gang,
            checkpoints: step.checkpoints,
            long_running: step.long_running,
            limits_unavailable: step.limits_unavailable(),
            has_latency_target: step.has_latency_target(),
            uses_spare_cpu: step.uses_spare_cpu,
            expected_ms: self.expected_ms(&candidate.key, step, id, now),
            since: now.at,
            ordered_at: now.at,
            answered_at: None,
            unanswered_stops: 0,
            start_attempts: 0,
            late_start_until: None,
            percent: 0,
            progressed_at: now.at,
            reported_at: now.at,
            redundant_since: None,
            began: None,
            pace_sampled: None,
            resumes: false,
            start_confirmed: false,
            fencing_token: 0,
            incarnation: self.incarnation_of(id),
            is_listed: false,
            placement_change: 0,
            restored: false,
            suspicion: CrashSuspicion::None,
        }
    }
}

/// Chooses a worker for a single task of a step, whatever the workers' paces.
pub(super) fn choose_one(
    step: &StepSpec,
    scope: SearchScope,
    workers: Vec<CandidateWorker>,
) -> Option<PlacementChoice> {
    search(step, 1, scope, workers, None)
}

fn as_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns how many more tasks of a step may be placed on a worker under the step's limit.
fn free_task_slots(worker: &Worker, step: &StepSpec, key: &GroupKey) -> u32 {
    let Some(limit) = step.max_per_worker else {
        return u32::MAX;
    };
    let placed = worker.runs.keys().filter(|task| task.group == *key).count();
    limit.saturating_sub(u32::try_from(placed).unwrap_or(u32::MAX))
}

impl Run {
    /// Returns the estimated time from its last report until its end.
    pub(super) fn remaining_time(&self, min_progress_percent: u8) -> Duration {
        Duration::from_millis(self.remaining_ms(min_progress_percent))
    }

    /// Returns the estimated remaining time in milliseconds: from the run's own progress once it
    /// has made `min_progress_percent`, otherwise from the estimate.
    pub(super) fn remaining_ms(&self, min_progress_percent: u8) -> u64 {
        let left = u64::from(100_u8.saturating_sub(self.percent));
        let projected_ms = self.began.and_then(|(began, from)| {
            let gained = self.percent.saturating_sub(from);
            let worked_ms = crate::time::millis(self.reported_at - began);
            (gained >= min_progress_percent)
                .then(|| worked_ms.saturating_mul(left) / u64::from(gained))
        });
        projected_ms.unwrap_or(self.expected_ms.saturating_mul(left) / 100)
    }
}
