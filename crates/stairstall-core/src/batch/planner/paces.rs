//! What reports and ends say of the pace of workers.

use std::collections::HashMap;
use std::time::Duration;

use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::batch::{
    GroupKey, PaceSummary, ProgressSample, RunProgress, StepSpec, TaskKey, WorkerPace, WorkerPaces,
};
use crate::time::millis;
use crate::{Timestamp, WorkerId};

/// From how much of the work on, in percent, a run tells how long its step's work takes.
const TELLS_FROM: u8 = 5;

/// A run whose progress is looked at.
struct Shown<'a> {
    worker: &'a WorkerId,
    task: &'a TaskKey,
    run: &'a Run,
    stretch: Option<ProgressSample>,
}

impl Planner {
    /// Returns the pace of a worker as far as it is known; where the fleet is even, all are alike.
    pub(super) fn pace_of(&self, id: &WorkerId, now: Now) -> WorkerPace {
        if self.paces.is_heterogeneous() {
            self.paces.pace(id, now.at)
        } else {
            WorkerPace::UNKNOWN
        }
    }

    /// Returns what is known of the pace of workers.
    #[must_use]
    pub const fn paces(&self) -> &WorkerPaces {
        &self.paces
    }

    /// Returns how many workers are known to differ in pace.
    #[must_use]
    pub const fn pace_summary(&self) -> PaceSummary {
        self.paces.summary()
    }

    /// Learns from a run whose work is done.
    pub(super) fn learn_pace_from_end(
        &mut self,
        id: &WorkerId,
        task: &TaskKey,
        run: &Run,
        now: Now,
    ) {
        if !self.paces.is_enabled() || !run.tells_pace() {
            return;
        }
        if run.gang {
            self.learn_from_gang(id, task, run, now);
            return;
        }
        let key = &task.group;
        let Some((usual, slowdown)) = self.usual_at(key, id, now) else {
            return;
        };
        let stretch = run.stretch_to_end(task, now.at);
        let shown = RunProgress {
            worker: id,
            projected_total: None,
            sample: stretch.map(|stretch| stretch.without_remote_slowdown(slowdown)),
            expected: usual,
        };
        self.paces.learn_from_step(key, &[shown], now.at);
    }

    /// Learns from a gang at the first of its ends, which stands for all.
    fn learn_from_gang(&mut self, id: &WorkerId, task: &TaskKey, run: &Run, now: Now) {
        let key = &task.group;
        let Some((step, group)) = self
            .jobs
            .get(&key.job)
            .and_then(|job| Some((job.step(key)?, job.group(key)?)))
        else {
            return;
        };
        let others = self.run_index.of_group(key);
        let is_whole = others.len() + 1 == group.tasks.len();
        if group.is_done() || !is_whole || self.is_scattered(step, id, &others) {
            return;
        }
        let began = others.iter().filter_map(|(id, task)| {
            let other = self.run_at(id, task)?;
            other.began.filter(|_| other.tells_pace())
        });
        let began: Vec<Timestamp> = began.map(|(at, _)| at).collect();
        if began.len() != others.len() {
            return;
        }
        let stretch = run.began.and_then(|(at, from)| {
            let together_since = began.into_iter().fold(at, Timestamp::max);
            let gained = 100_u8.saturating_sub(from);
            ProgressSample::new(run.tag(task), gained, now.at - together_since)
        });
        let Some((usual, slowdown)) = self.usual_at(key, id, now) else {
            return;
        };
        let Some(stretch) = stretch else {
            return;
        };
        let members: Vec<&WorkerId> = others.iter().map(|(id, _)| id).chain([id]).collect();
        self.paces.learn_from_gang(
            &members,
            &stretch.without_remote_slowdown(slowdown),
            usual,
            now.at,
        );
    }

    /// Tells whether members of a gang that wants one rack are on several: its time then says
    /// nothing of its workers.
    fn is_scattered(&self, step: &StepSpec, id: &WorkerId, others: &[(WorkerId, TaskKey)]) -> bool {
        let rack = self.rack_of(id);
        step.same_rack && others.iter().any(|(other, _)| self.rack_of(other) != rack)
    }

    /// Returns how long a step's work should take near its data, and how many times as long it takes
    /// at a worker because of its rack.
    fn usual_at(&self, key: &GroupKey, id: &WorkerId, now: Now) -> Option<(Duration, u32)> {
        let step = self.step(key)?;
        let usual = self.run_time(key, step, now).typical;
        Some((usual, self.slowdown(step, id)))
    }

    /// Learns from the runs that get on.
    pub(super) fn learn_paces_from_reports(&mut self, now: Now) {
        if !self.paces.is_enabled() {
            return;
        }
        let told_percent = self.paces.policy().min_progress_percent;
        let mut by_step = HashMap::<&GroupKey, Vec<Shown<'_>>>::new();
        for (id, worker) in self.workers.iter().filter(|(_, w)| w.is_in_contact()) {
            for (task, run) in worker.runs.iter().filter(|(_, run)| run.shows_progress()) {
                let shown = Shown {
                    worker: id,
                    task,
                    run,
                    stretch: run.new_stretch(task, told_percent),
                };
                by_step.entry(&task.group).or_default().push(shown);
            }
        }
        by_step.retain(|_, runs| runs.iter().any(|run| run.stretch.is_some()));
        let mut steps: Vec<(&GroupKey, Vec<Shown<'_>>)> = by_step.into_iter().collect();
        steps.sort_by_key(|(key, _)| *key);
        let mut paces = std::mem::take(&mut self.paces);
        for (key, runs) in &steps {
            let shown: Vec<RunProgress<'_>> = runs
                .iter()
                .filter_map(|shown| self.shown_near(key, shown, now))
                .collect();
            paces.learn_from_step(key, &shown, now.at);
        }
        let told: Vec<(WorkerId, TaskKey)> = steps
            .iter()
            .flat_map(|(_, runs)| runs)
            .filter(|shown| shown.stretch.is_some())
            .map(|shown| (shown.worker.clone(), shown.task.clone()))
            .collect();
        paces.recenter(now.at);
        self.paces = paces;
        for (id, task) in told {
            let worker = self.workers.get_mut(&id);
            if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&task)) {
                run.pace_sampled = Some((run.reported_at, run.percent));
            }
        }
    }

    /// Returns what a run shows, as if it were near its data.
    fn shown_near<'a>(
        &self,
        key: &GroupKey,
        shown: &Shown<'a>,
        now: Now,
    ) -> Option<RunProgress<'a>> {
        let (usual, slowdown) = self.usual_at(key, shown.worker, now)?;
        let whole = shown.run.whole_span(self.policy.pace.min_judged_work);
        Some(RunProgress {
            worker: shown.worker,
            projected_total: whole.map(|whole| whole / slowdown.max(1)),
            sample: shown
                .stretch
                .map(|stretch| stretch.without_remote_slowdown(slowdown)),
            expected: usual,
        })
    }
}

impl Run {
    /// Tells whether its time says something of its worker: work that lasts has none, what serves and
    /// what fills is disturbed by others.
    const fn tells_pace(&self) -> bool {
        let is_plain = !self.lasts && !self.serves && !self.fills;
        is_plain && !self.restored && self.began.is_some()
    }

    /// Tells whether its progress says something of its worker: a gang's is that of its slowest member.
    fn shows_progress(&self) -> bool {
        let is_running = self.state == RunState::Running;
        let gets_on = self.began.is_some_and(|(_, from)| self.percent > from);
        is_running && gets_on && !self.gang && self.tells_pace()
    }

    /// Returns from when on, and from which percentage, nothing was learnt from it.
    fn told_until(&self) -> Option<(Timestamp, u8)> {
        self.pace_sampled.or(self.began)
    }

    /// Returns what is new of it, once that is enough.
    fn new_stretch(&self, task: &TaskKey, enough_percent: u8) -> Option<ProgressSample> {
        let (at, from) = self.told_until()?;
        let gained = self.percent.checked_sub(from)?;
        let is_enough = gained >= enough_percent && self.percent <= 100;
        let took = self.reported_at - at;
        is_enough
            .then(|| ProgressSample::new(self.tag(task), gained, took))
            .flatten()
    }

    /// Returns what is new of it at its end.
    fn stretch_to_end(&self, task: &TaskKey, at: Timestamp) -> Option<ProgressSample> {
        let (since, from) = self.told_until()?;
        let left = 100_u8
            .checked_sub(from)
            .filter(|left| *left >= TELLS_FROM)?;
        ProgressSample::new(self.tag(task), left, at - since)
    }

    /// Returns how long the whole work takes at the pace shown so far, once that is enough.
    fn whole_span(&self, judged_after: Duration) -> Option<Duration> {
        let (at, from) = self.began?;
        let gained = self.percent.checked_sub(from)?;
        let worked = self.reported_at - at;
        let tells = gained >= TELLS_FROM && self.percent <= 100 && worked >= judged_after;
        tells.then(|| Duration::from_millis(millis(worked) * 100 / u64::from(gained)))
    }

    /// Returns a number that tells it from other runs.
    fn tag(&self, task: &TaskKey) -> u64 {
        let name = task.group.job.as_str().as_bytes();
        let place = u64::from(task.group.step) << 40 ^ u64::from(task.index) << 8;
        xxhash_rust::xxh3::xxh3_64_with_seed(name, place ^ u64::from(self.number))
    }
}
