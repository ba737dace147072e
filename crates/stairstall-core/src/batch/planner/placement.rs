//! Where the tasks of a step are put.

use std::time::Duration;

use super::candidate::{Candidate, URGENT_RANK};
use super::candidate_worker::{CandidateWorker, SearchScope, Victims};
use super::job::{Job, TaskGroup};
use super::pass::{CapacityKind, Pass};
use super::pool::{CrashSuspicion, RequiredHealth, Run, RunState, Worker};
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, DecisionKind, GroupKey, Setback, StepSpec, WorkerPace};

mod choose;
mod cost;
mod reservations;
mod scope;

pub(super) use choose::PlacementChoice;
use choose::{allowed, search};
use cost::PaceCosts;
pub(super) use reservations::Reservation;

impl Planner {
    /// Gives places to the waiting tasks of a step, as far as there are any.
    pub(super) fn place_step(&mut self, candidate: &Candidate, pass: &mut Pass, now: Now) {
        let key = &candidate.key;
        let Some((step, group)) = self
            .jobs
            .get(&key.job)
            .and_then(|job| Some((job.step(key)?.clone(), job.group(key)?)))
        else {
            return;
        };
        let mut waiting = group.waiting();
        waiting.retain(|index| !self.is_blocked_by_losses(&group.tasks[*index as usize]));
        let ready_since = group.ready_since.unwrap_or(now.at);
        if step.gang && waiting.len() != group.tasks.len() {
            return;
        }
        let mut allowance = self.accelerator_allowance(candidate, pass, now);
        let paces = self.pace_costs(candidate, &step, now);
        for scope in self.scopes(candidate, &step, ready_since, pass, now) {
            if waiting.is_empty() {
                break;
            }
            let count = allowed(&step, waiting.len(), allowance);
            let count = self.startable(candidate, step.gang, count, pass);
            if !self.may_fit(candidate, &step, scope, count, pass, now) {
                continue;
            }
            let sites = self.sites(candidate, &step, scope, pass, now);
            let sites = self.advised(key, sites, waiting.len(), now);
            let choice = search(&step, count, scope, sites, paces.as_ref());
            let choice = choice.filter(|choice| {
                self.is_preemption_worthwhile(candidate, &step, choice, pass, now)
            });
            let choice = choice.map(|choice| {
                let paces = paces.as_ref();
                let sooner =
                    self.sooner_by_stops(candidate, &step, scope, &choice, paces, pass, now);
                sooner.unwrap_or(choice)
            });
            if let Some(choice) = choice {
                let accelerators = step.needs.accelerators * as_u32(choice.places.len());
                allowance = allowance.saturating_sub(accelerators);
                let taken: Vec<u32> = waiting.drain(..choice.places.len()).collect();
                self.settle(candidate, &step, &taken, &choice, scope, now);
                pass.note_placed(choice.places.len(), accelerators);
                if !choice.victims.is_empty() {
                    pass.invalidate_capacity();
                }
            }
        }
        let waited = now.at - ready_since;
        if step.gang && !waiting.is_empty() && waited >= self.policy.places.reserve_after {
            self.hold_back(candidate, &step, &mut pass.reserved, now);
        }
    }

    /// Finds places for urgent work that would end late at the workers that are free: at faster ones
    /// where others give way, if what these lose is less than the lateness costs.
    #[allow(clippy::too_many_arguments, reason = "all that a search needs")]
    fn sooner_by_stops(
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
        let scope = SearchScope {
            preempts: true,
            ..scope
        };
        let count = free.places.len();
        if !self.may_fit(candidate, step, scope, count, pass, now) {
            return None;
        }
        let sites = self.sites(candidate, step, scope, pass, now);
        let sites = self.advised(&candidate.key, sites, count, now);
        let choice = search(step, count, scope, sites, Some(paces))?;
        let is_better = choice.places.len() == count && choice.cost < free.cost;
        let is_in_time = paces.ends_in_time(choice.slowest_factor, self.bounds.stop_max);
        (is_better && is_in_time)
            .then_some(choice)
            .filter(|choice| self.is_preemption_worthwhile(candidate, step, choice, pass, now))
    }

    /// Tells whether looking for places can lead to anything: there must be room, or an adviser
    /// that is asked before there is.
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
            CapacityKind::Above(self.spared_for(candidate, now))
        } else {
            CapacityKind::Free
        };
        let ceiling = self.ceiling(key, step, scope.near, kind, pass);
        count > 0 && ceiling.allows(step, as_u32(count), scope)
    }

    /// Returns the rank up to which nothing gives way to a step at this moment.
    fn spared_for(&self, candidate: &Candidate, now: Now) -> u8 {
        let since_accepted = self.since_accepted(&candidate.key, now);
        let waited = self.waiting_time(&candidate.key, now).max(since_accepted);
        self.protected_rank(candidate.rank, waited)
    }

    pub(super) fn waiting_time(&self, key: &GroupKey, now: Now) -> Duration {
        let ready_since = self.group_of(key).and_then(|group| group.ready_since);
        ready_since.map_or(Duration::ZERO, |since| now.at - since)
    }

    pub(super) fn estimate_ms(&self, step: &StepSpec) -> u64 {
        step.estimate_ms
            .max(crate::time::millis(self.policy.places.min_run_time))
    }

    /// Returns how long a task should take at a worker, in milliseconds.
    pub(super) fn expected_ms(
        &self,
        key: &GroupKey,
        step: &StepSpec,
        id: &WorkerId,
        now: Now,
    ) -> u64 {
        let usual_ms = crate::time::millis(self.run_time(key, step, now).typical);
        let here_ms = self.pace_of(id, now).scale_ms(usual_ms);
        here_ms * u64::from(self.slowdown(step, id))
    }

    /// Returns how many times as long a step's tasks take at a worker because of its rack.
    pub(super) fn slowdown(&self, step: &StepSpec, id: &WorkerId) -> u32 {
        let is_anywhere = step.near_rack.is_none();
        let near = is_anywhere || self.workers.get(id).is_none_or(|w| w.is_near(step));
        if near { 1 } else { self.bounds.far_factor }
    }

    fn sites(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        scope: SearchScope,
        pass: &mut Pass,
        now: Now,
    ) -> Vec<CandidateWorker> {
        let key = &candidate.key;
        let urgent = candidate.rank <= URGENT_RANK;
        let demand = self.demanded_health(key, urgent, self.waiting_time(key, now));
        let service = self.service_of(key);
        let job = self.jobs.get(&key.job);
        let home = job
            .and_then(|job| job.accepted.zone.clone())
            .filter(|_| self.policy.places.prefers_callers_zone);
        let spares = self.spared_for(candidate, now);
        let needs = step.reserved_resources();
        let is_advised = self.ticket_validity(key).is_some();
        let costs = self.place_costs(step, key);
        if scope.preempts {
            pass.gang_preemption_costs
                .get_or_insert_with(|| self.gang_preemption_costs(now));
        }
        let losses = pass
            .gang_preemption_costs
            .as_ref()
            .filter(|_| scope.preempts);
        let held_back = &pass.reserved;
        let apart = self.isolation(key, urgent, now);
        let knows_paces = self.paces.is_heterogeneous();
        self.workers
            .iter()
            .filter(|(_, w)| scope.preempts || is_advised || needs.fits_in(&w.free()))
            .filter(|(_, w)| w.takes_tasks() && w.suits(step))
            .filter(|(_, w)| service.as_ref() == Some(&w.listed.service))
            .filter(|(_, w)| w.can_colocate(step))
            .filter(|(_, w)| apart.allows(w, now.at))
            .filter(|(_, w)| !scope.near || w.is_near(step))
            .filter(|(id, _)| urgent || self.may_use(candidate, step, id, held_back, now))
            .filter(|(_, w)| w.is_healthy(demand, now.at))
            .map(|(id, w)| CandidateWorker {
                worker: id.clone(),
                rack: w.listed.rack.clone(),
                room: if scope.preempts {
                    w.free_after_stops()
                } else {
                    w.free()
                },
                shortage: w.shortage(),
                spread_left: spread_left(w, step, key),
                penalty: costs.of(w, step, now.at),
                pace: if knows_paces {
                    self.pace_of(id, now)
                } else {
                    WorkerPace::UNKNOWN
                },
                pace_pending: knows_paces && w.runs.values().any(|run| !run.gang),
                in_other_zone: home.as_ref().is_some_and(|home| *home != w.listed.zone),
                victims: losses.map_or_else(Victims::default, |losses| {
                    Victims::of(w, spares, losses, now.at, &self.policy.victims)
                }),
            })
            .filter(|site| site.spread_left > 0)
            .collect()
    }

    /// Returns what a worker must have shown before it gets a task of the step.
    fn demanded_health(&self, key: &GroupKey, urgent: bool, waited: Duration) -> RequiredHealth {
        let failures = self.group_of(key).map_or(0, TaskGroup::max_failures);
        let failed_early = self.group_of(key).is_some_and(|group| group.failed_early);
        let attempts = self.attempts(&key.job).unwrap_or(1);
        if waited > self.suspect_patience(urgent) {
            RequiredHealth::Any
        } else if failed_early && failures + 1 >= attempts {
            RequiredHealth::Proven
        } else {
            RequiredHealth::NotSuspect
        }
    }

    /// Returns how long work waits for the workers that suit it best after what has gone wrong.
    pub(super) const fn suspect_patience(&self, urgent: bool) -> Duration {
        if urgent {
            self.policy.places.suspect_wait_urgent
        } else {
            self.policy.places.suspect_wait
        }
    }

    fn group_of(&self, key: &GroupKey) -> Option<&TaskGroup> {
        self.jobs.get(&key.job)?.group(key)
    }

    pub(super) fn service_of(&self, key: &GroupKey) -> Option<crate::ServiceId> {
        let queue = &self.jobs.get(&key.job)?.accepted.queue;
        let newest = self.catalog.queue(&queue.name);
        Some(newest.unwrap_or(queue).service.clone())
    }

    /// Stops the victims and keeps the places.
    fn settle(
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
            self.stop_run(id, task, &format!("gives way to {key}"), now);
            if let Some(run) = self.run_at(id, task) {
                let number = run.number;
                self.stop_gang(task, number, "its gang gives way", now);
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
        let Some(recorded_by) = self.jobs.get_mut(&key.job).map(Job::record_change) else {
            return;
        };
        self.changed.insert(key.job.clone());
        self.mark_timeline_changed(&key.job);
        for (index, id) in tasks.iter().zip(&choice.places) {
            let task = key.task(*index);
            let mut run = self.planned_run(candidate, step, id, number, now);
            run.placement_change = recorded_by;
            run.suspicion = self.suspicion(&task);
            if let Some(job) = self.jobs.get_mut(&key.job)
                && let Some(group) = job.group_mut(key)
            {
                let task = &mut group.tasks[*index as usize];
                task.place = Some(id.clone());
                task.run = number;
                task.incarnation = run.incarnation;
                task.start_confirmed = false;
            }
            self.insert_run(id, &task, run);
            let why = format!(
                "rank {}, waited {waited} ms, {}{}{}",
                candidate.rank,
                if scope.near { "near" } else { "anywhere" },
                if choice.victims.is_empty() {
                    ""
                } else {
                    ", others give way"
                },
                self.pace_in_words(id, now)
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

    /// Says the pace that is counted on at a worker, where it is known to differ.
    fn pace_in_words(&self, id: &WorkerId, now: Now) -> String {
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
            room: step.reserved_resources(),
            state: RunState::Planned,
            rank: candidate.rank,
            gang: step.gang,
            checkpoints: step.checkpoints,
            lasts: step.long_running,
            serves: step.has_latency_target(),
            fills: step.uses_spare_cpu,
            expected_ms: self.expected_ms(&candidate.key, step, id, now),
            since: now.at,
            ordered_at: now.at,
            answered_at: None,
            stops: 0,
            tries: 0,
            late_start_until: None,
            percent: 0,
            progressed_at: now.at,
            reported_at: now.at,
            redundant_since: None,
            began: None,
            pace_sampled: None,
            resumes: false,
            start_confirmed: false,
            fence: 0,
            incarnation: self.incarnation_of(id),
            is_listed: false,
            placement_change: 0,
            restored: false,
            suspicion: CrashSuspicion::None,
        }
    }
}

fn as_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn spread_left(worker: &Worker, step: &StepSpec, key: &GroupKey) -> u32 {
    let Some(most) = step.max_per_worker else {
        return u32::MAX;
    };
    let there = worker.runs.keys().filter(|task| task.group == *key).count();
    most.saturating_sub(u32::try_from(there).unwrap_or(u32::MAX))
}

impl Run {
    /// Returns how much longer it should take, in milliseconds: at the pace that it has shown,
    /// or else by the estimate.
    pub(super) fn remaining_ms(&self, shown_percent: u8) -> u64 {
        let left = u64::from(100_u8.saturating_sub(self.percent));
        let shown = self.began.and_then(|(began, from)| {
            let gained = self.percent.saturating_sub(from);
            let worked_ms = crate::time::millis(self.reported_at - began);
            (gained >= shown_percent).then(|| worked_ms * left / u64::from(gained))
        });
        shown.unwrap_or(self.expected_ms * left / 100)
    }
}
