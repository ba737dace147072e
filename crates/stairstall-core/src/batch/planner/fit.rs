//! Where the tasks of a step are put.

use std::time::Duration;

use super::job::{Group, Job};
use super::pool::{Health, Run, RunState, Worker};
use super::queue::{CLAIM, Candidate, URGENT};
use super::victims::Victims;
use super::{Now, Planner};
use crate::batch::{Decision, DecisionKind, GroupKey, Setback, StepSpec};
use crate::{RackId, Timestamp, WorkerId};

mod choose;
mod hold_back;

pub(super) use choose::Site;
use choose::{Choice, Scope, allowed, search};
pub(super) use hold_back::HeldBack;

impl Planner {
    /// Gives places to the waiting tasks of a step, as far as there are any.
    pub(super) fn place(&mut self, candidate: &Candidate, held_back: &mut HeldBack, now: Now) {
        let key = &candidate.key;
        let Some((step, group)) = self
            .jobs
            .get(&key.job)
            .and_then(|job| Some((job.step(key)?.clone(), job.group(key)?)))
        else {
            return;
        };
        let mut waiting = group.waiting();
        let mut allowance = self.allowance(candidate, now);
        let ready_since = group.ready_since.unwrap_or(now.at);
        if step.gang && waiting.len() != group.tasks.len() {
            return;
        }
        for scope in self.scopes(candidate, &step, ready_since, now) {
            if waiting.is_empty() {
                break;
            }
            let sites = self.sites(candidate, &step, scope, held_back, now);
            let sites = self.advised(key, sites, waiting.len(), now);
            let count = allowed(&step, waiting.len(), allowance);
            if let Some(choice) = search(&step, count, scope, &sites) {
                let accelerators = step.needs.accelerators * as_u32(choice.places.len());
                allowance = allowance.saturating_sub(accelerators);
                let taken: Vec<u32> = waiting.drain(..choice.places.len()).collect();
                self.settle(candidate, &step, &taken, &choice, scope, now);
            }
        }
        let waited = now.at - ready_since;
        if step.gang
            && !waiting.is_empty()
            && waited >= self.policy.places.hold_back_after
            && held_back.gangs < usize::from(self.policy.places.max_held_back)
        {
            self.hold_back(candidate, &step, held_back);
        }
    }

    /// Returns the scopes to try, in turn.
    fn scopes(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        ready_since: Timestamp,
        now: Now,
    ) -> Vec<Scope> {
        let urgent = candidate.rank <= URGENT;
        let mut scopes = vec![Scope {
            near: true,
            preempts: false,
        }];
        if urgent {
            scopes.push(Scope {
                near: true,
                preempts: true,
            });
        }
        let prefers_near = step.near_rack.is_some() || (step.gang && step.same_rack);
        let patience = if candidate.rank == CLAIM {
            self.policy
                .places
                .near_patience_urgent
                .max(self.claim_patience())
        } else if urgent {
            self.policy.places.near_patience_urgent
        } else {
            Duration::from_millis(self.estimate_ms(step))
        };
        let gives_up = now.at - ready_since >= patience || !self.could_be_near(step);
        if prefers_near && gives_up {
            scopes.push(Scope {
                near: false,
                preempts: false,
            });
            if urgent {
                scopes.push(Scope {
                    near: false,
                    preempts: true,
                });
            }
        }
        scopes
    }

    /// Tells whether the step would fit near its data if nothing else ran.
    fn could_be_near(&self, step: &StepSpec) -> bool {
        if !step.gang {
            return true;
        }
        let mut by_rack = std::collections::BTreeMap::<&RackId, u32>::new();
        for worker in self.workers.values() {
            if worker.takes_tasks() && worker.suits(step) && worker.is_near(step) {
                let most = step.spread.unwrap_or(step.count);
                let times = step.room().times_in(&worker.listed.capacity, most);
                *by_rack.entry(&worker.listed.rack).or_default() += times;
            }
        }
        if step.same_rack {
            by_rack.values().any(|times| *times >= step.count)
        } else {
            by_rack.values().sum::<u32>() >= step.count
        }
    }

    fn estimate_ms(&self, step: &StepSpec) -> u64 {
        step.estimate_ms
            .max(super::contact::millis(self.policy.places.min_expected))
    }

    /// Returns how long a task should take at a worker, in milliseconds.
    pub(super) fn expected_ms(&self, step: &StepSpec, id: &WorkerId) -> u64 {
        self.estimate_ms(step) * u64::from(self.slowdown(step, id))
    }

    /// Returns how many times as long a step's tasks take at a worker because of its rack.
    pub(super) fn slowdown(&self, step: &StepSpec, id: &WorkerId) -> u32 {
        let near = self.workers.get(id).is_none_or(|w| w.is_near(step));
        if near { 1 } else { self.bounds.far_factor }
    }

    fn sites(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        scope: Scope,
        held_back: &HeldBack,
        now: Now,
    ) -> Vec<Site> {
        let urgent = candidate.rank <= URGENT;
        let waited = self
            .group_of(&candidate.key)
            .and_then(|group| group.ready_since)
            .map_or(Duration::ZERO, |since| now.at - since);
        let demand = self.demanded_health(&candidate.key, urgent, waited);
        let service = self.service_of(&candidate.key);
        let job = self.jobs.get(&candidate.key.job);
        let home = job
            .and_then(|job| job.accepted.zone.clone())
            .filter(|_| self.policy.places.prefers_callers_zone);
        let since_accepted = self.since_accepted(&candidate.key, now);
        let spares = self.spared_rank(candidate.rank, waited.max(since_accepted));
        let losses = scope.preempts.then(|| self.gang_losses(now));
        self.workers
            .iter()
            .filter(|(_, w)| w.takes_tasks() && w.suits(step))
            .filter(|(_, w)| service.as_ref() == Some(&w.listed.service))
            .filter(|(_, w)| w.is_quiet_for(step))
            .filter(|(_, w)| !scope.near || w.is_near(step))
            .filter(|(id, _)| urgent || !held_back.workers.contains(*id))
            .filter(|(_, w)| w.is_healthy(demand, now.at))
            .map(|(id, w)| Site {
                worker: id.clone(),
                rack: w.listed.rack.clone(),
                room: if scope.preempts {
                    w.free_soon()
                } else {
                    w.free()
                },
                spread_left: spread_left(w, step, &candidate.key),
                penalty: self.penalty(w, step, &candidate.key, now),
                in_other_zone: home.as_ref().is_some_and(|home| *home != w.listed.zone),
                victims: losses.as_ref().map_or_else(Victims::default, |losses| {
                    Victims::of(w, spares, losses, now.at, &self.policy.victims)
                }),
            })
            .filter(|site| site.spread_left > 0)
            .collect()
    }

    /// Returns what a worker must have shown before it gets a task of the step.
    fn demanded_health(&self, key: &GroupKey, urgent: bool, waited: Duration) -> Health {
        let failures = self.group_of(key).map_or(0, Group::worst_failures);
        let failed_early = self.group_of(key).is_some_and(|group| group.failed_early);
        let attempts = self.attempts(&key.job).unwrap_or(1);
        let patience = if urgent {
            self.policy.places.suspect_patience_urgent
        } else {
            self.policy.places.suspect_patience
        };
        if waited > patience {
            Health::Any
        } else if failed_early && failures + 1 >= attempts {
            Health::Proven
        } else {
            Health::NotSuspect
        }
    }

    fn group_of(&self, key: &GroupKey) -> Option<&Group> {
        self.jobs.get(&key.job)?.group(key)
    }

    fn service_of(&self, key: &GroupKey) -> Option<crate::ServiceId> {
        let queue = &self.jobs.get(&key.job)?.accepted.queue;
        let newest = self.catalog.queue(&queue.name);
        Some(newest.unwrap_or(queue).service.clone())
    }

    /// Returns what makes a worker a worse place, in core-milliseconds of a task.
    fn penalty(&self, worker: &Worker, step: &StepSpec, key: &GroupKey, now: Now) -> u64 {
        let work = step.room().weight().saturating_mul(self.estimate_ms(step)) / 1000;
        let policy = &self.policy.places;
        let mut penalty = 0;
        if !worker.is_near(step) {
            penalty += work * u64::from(self.bounds.far_factor.saturating_sub(1));
        }
        if worker.is_suspect(now.at) {
            penalty += work * u64::from(policy.suspect_penalty);
        }
        let has_failed = self
            .group_of(key)
            .is_some_and(|group| group.worst_failures() > 0);
        if has_failed && worker.succeeded_at.is_none() {
            penalty += work * u64::from(policy.unproven_penalty);
        }
        let failed_here = self.group_of(key).is_some_and(|group| {
            group
                .tasks
                .iter()
                .any(|t| t.failed_at.as_ref() == Some(&worker.listed.id))
        });
        if failed_here {
            penalty += work * u64::from(policy.failed_here_penalty);
        }
        penalty
    }

    /// Stops the victims and keeps the places.
    fn settle(
        &mut self,
        candidate: &Candidate,
        step: &StepSpec,
        tasks: &[u32],
        choice: &Choice,
        scope: Scope,
        now: Now,
    ) {
        let key = &candidate.key;
        for (id, task) in &choice.victims {
            self.note_setback(&task.group.job, Setback::GaveWay);
            self.stop_run(id, task, &format!("gives way to {key}"), now);
            if let Some(run) = self.workers.get(id).and_then(|w| w.runs.get(task)) {
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
        let waited = super::contact::millis(now.at - ready_since);
        let Some(recorded_by) = self.jobs.get_mut(&key.job).map(Job::change) else {
            return;
        };
        self.changed.insert(key.job.clone());
        self.touch(&key.job);
        for (index, id) in tasks.iter().zip(&choice.places) {
            let task = key.task(*index);
            let mut run = self.planned_run(candidate.rank, step, id, number, now);
            run.recorded_by = recorded_by;
            if let Some(job) = self.jobs.get_mut(&key.job)
                && let Some(group) = job.group_mut(key)
            {
                let task = &mut group.tasks[*index as usize];
                task.place = Some(id.clone());
                task.run = number;
            }
            if let Some(worker) = self.workers.get_mut(id) {
                worker.insert(task.clone(), run);
            }
            let why = format!(
                "rank {}, waited {waited} ms, {}{}",
                candidate.rank,
                if scope.near { "near" } else { "anywhere" },
                if choice.victims.is_empty() {
                    ""
                } else {
                    ", others give way"
                }
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
    }

    fn planned_run(&self, rank: u8, step: &StepSpec, id: &WorkerId, number: u32, now: Now) -> Run {
        Run {
            number,
            room: step.room(),
            state: RunState::Planned,
            rank,
            gang: step.gang,
            checkpoints: step.checkpoints,
            lasts: step.lasts,
            serves: step.serves(),
            fills: step.fills,
            expected_ms: self.expected_ms(step, id),
            since: now.at,
            ordered_at: now.at,
            answered_at: None,
            stops: 0,
            tries: 0,
            percent: 0,
            progressed_at: now.at,
            reported_at: now.at,
            unwanted_since: None,
            began: None,
            resumes: false,
            recorded_by: 0,
            restored: false,
        }
    }
}

fn as_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn spread_left(worker: &Worker, step: &StepSpec, key: &GroupKey) -> u32 {
    let Some(most) = step.spread else {
        return u32::MAX;
    };
    let there = worker.runs.keys().filter(|task| task.group == *key).count();
    most.saturating_sub(u32::try_from(there).unwrap_or(u32::MAX))
}

impl Run {
    /// Returns how much longer it should take, in milliseconds: at the pace that it has shown,
    /// or else by the estimate.
    pub(super) fn left_ms(&self, shown_percent: u8) -> u64 {
        let left = u64::from(100_u8.saturating_sub(self.percent));
        let shown = self.began.and_then(|(began, from)| {
            let gained = self.percent.saturating_sub(from);
            let worked_ms = super::contact::millis(self.reported_at - began);
            (gained >= shown_percent).then(|| worked_ms * left / u64::from(gained))
        });
        shown.unwrap_or(self.expected_ms * left / 100)
    }
}
