use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::claim::Mark;
use stairstall_core::config::Configuration;
use stairstall_core::placement::{
    Capacity, Effect, JobKey, JobRecord, JobSpec, JobState, Policy, Scheduler, WriteResult,
};
use stairstall_core::protocol::{TaskSpec, VmState};
use stairstall_core::{Labels, RackId, Timestamp, VmId, WorkerId, ZoneId};

use crate::WorkerState;
use crate::fixtures::named;

/// Where a worker stands in a [`VirtualZone`].
#[derive(Debug, Clone)]
struct Place {
    rack: RackId,
    position: u16,
    state: WorkerState,
    dead: bool,
    cut: bool,
    unlisted: bool,
}

/// How a job ended in a [`VirtualZone`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The job.
    pub job: JobKey,
    /// When.
    pub at: Timestamp,
    /// Its last state.
    pub state: JobState,
}

/// One zone's scheduler and its workers, on a clock that only the caller moves.
///
/// It is no model of a cluster: messages arrive at once and the store answers
/// each write. It drives the decisions themselves, fast and repeatably.
#[derive(Debug, Clone)]
pub struct VirtualZone {
    /// The scheduler.
    pub scheduler: Scheduler,
    /// Jobs that ended, in order.
    pub ended: Vec<Ended>,
    /// Alarms, in order.
    pub alarms: Vec<String>,
    /// Decisions by kind.
    pub decisions: BTreeMap<&'static str, u64>,
    /// Syncs with workers so far.
    pub syncs: u64,
    /// Bytes of requests and answers of those syncs, as JSON, where counted.
    pub sync_bytes: u64,
    /// Whether bytes are counted; it costs time.
    pub count_bytes: bool,
    zone: ZoneId,
    /// What the store has of each job's crashes.
    crashes: BTreeMap<JobKey, u32>,
    places: BTreeMap<WorkerId, Place>,
    now: Timestamp,
    step: Duration,
    token: u64,
}

impl VirtualZone {
    /// Step of time unless another is set.
    pub const STEP: Duration = Duration::from_millis(100);

    /// Creates a zone of `workers`, `per_rack` to a rack, that were all asked once.
    ///
    /// # Panics
    ///
    /// Panics where a made-up name is not allowed.
    #[must_use]
    pub fn new(
        workers: u16,
        per_rack: u16,
        capacity: Capacity,
        policy: Policy,
        configuration: Configuration,
    ) -> Self {
        let zone: ZoneId = named("zone-a");
        let me: VmId = named("vm-1");
        let mut scheduler = Scheduler::new(me, zone.clone(), 1, policy);
        scheduler.set_configuration(Arc::new(configuration));
        let mut places = BTreeMap::new();
        let now = Timestamp::default();
        for index in 0..workers {
            let id: WorkerId = named(&format!("worker-{index:04}"));
            let rack: RackId = named(&format!("rack-{:04}", index / per_rack));
            let position = index % per_rack;
            scheduler.add_listed_worker(id.clone(), rack.clone(), position, VmState::Live, now);
            let state = WorkerState::new(u64::from(index) + 1, capacity, 1);
            places.insert(
                id,
                Place {
                    rack,
                    position,
                    state,
                    dead: false,
                    cut: false,
                    unlisted: false,
                },
            );
        }
        let mut virtual_zone = Self {
            scheduler,
            ended: Vec::new(),
            alarms: Vec::new(),
            decisions: BTreeMap::new(),
            syncs: 0,
            sync_bytes: 0,
            count_bytes: false,
            zone,
            crashes: BTreeMap::new(),
            places,
            now,
            step: Self::STEP,
            token: 1,
        };
        virtual_zone.exchange();
        virtual_zone.scheduler.mark_store_read();
        virtual_zone.step();
        virtual_zone
    }

    /// Sets the step of time.
    pub const fn set_step(&mut self, step: Duration) {
        self.step = step;
    }

    /// Returns the time.
    #[must_use]
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the workers' names.
    #[must_use]
    pub fn workers(&self) -> Vec<WorkerId> {
        self.places.keys().cloned().collect()
    }

    /// Returns a worker's state.
    #[must_use]
    pub fn worker(&self, id: &WorkerId) -> Option<&WorkerState> {
        self.places.get(id).map(|place| &place.state)
    }

    /// Accepts a job.
    pub fn submit(&mut self, spec: JobSpec) {
        let record = self.record(spec, JobState::Accepted);
        self.scheduler.handle_record(&record, self.now);
    }

    /// Makes a worker silent for good, or brings a new process in its place.
    pub fn set_dead(&mut self, id: &WorkerId, dead: bool) {
        let Some(place) = self.places.get_mut(id) else {
            return;
        };
        if place.dead && !dead {
            let (incarnation, capacity) = (place.state.incarnation(), place.state.capacity());
            place.state = WorkerState::new(incarnation + 10_000, capacity, 1);
        }
        place.dead = dead;
    }

    /// Cuts a worker off from the scheduler, or connects it again; its tasks go on.
    pub fn set_cut(&mut self, id: &WorkerId, cut: bool) {
        if let Some(place) = self.places.get_mut(id) {
            place.cut = cut;
        }
    }

    /// Kills a worker and takes it from the platform's list.
    pub fn unlist(&mut self, id: &WorkerId) {
        if let Some(place) = self.places.get_mut(id) {
            place.dead = true;
            place.unlisted = true;
        }
    }

    /// Moves on by one step.
    pub fn step(&mut self) {
        self.now = self.now + self.step;
        self.settle();
        self.exchange();
        self.settle();
    }

    /// Moves on by at least `time`.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Exchanges messages with each worker that is due.
    fn exchange(&mut self) {
        let elapsed = Duration::from_millis(self.now.as_millis());
        for worker in self.scheduler.workers_to_sync(self.now) {
            let Some(request) = self.scheduler.next_sync(&worker, self.now) else {
                continue;
            };
            self.syncs += 1;
            let place = self
                .places
                .get_mut(&worker)
                .filter(|place| !place.dead && !place.cut);
            match place.map(|place| place.state.sync(&request, elapsed)) {
                Some(Ok(reply)) => {
                    if self.count_bytes {
                        self.sync_bytes += json_length(&request) + json_length(&reply);
                    }
                    self.scheduler.handle_sync_reply(&worker, &reply, self.now);
                }
                _ => self.scheduler.handle_sync_failure(&worker, self.now),
            }
        }
    }

    /// Lets the scheduler move on and carries out what it asks for.
    fn settle(&mut self) {
        for effect in self.scheduler.tick(self.now) {
            match effect {
                Effect::Write {
                    id,
                    job,
                    state,
                    crashes,
                    ..
                } => {
                    self.crashes.insert(job.clone(), crashes);
                    if state.is_final() {
                        self.ended.push(Ended {
                            job: job.clone(),
                            at: self.now,
                            state,
                        });
                    }
                    self.scheduler
                        .handle_write_result(&job, id, WriteResult::Done);
                }
                Effect::LogDecision(decision) => {
                    *self.decisions.entry(decision.kind.as_str()).or_default() += 1;
                }
                Effect::Alarm(text) => self.alarms.push(text),
                Effect::StoreHomes(_) => {}
            }
        }
        if self.now.as_millis().is_multiple_of(1_000) {
            self.scheduler.request_replan();
        }
    }

    /// Replaces the scheduler by a successor that knows only the workers and `records`.
    pub fn succeed(&mut self, records: &[JobRecord], configuration: Configuration) {
        self.token += 1;
        let homes = self.scheduler.homes().iter().cloned().collect();
        let me: VmId = named("vm-2");
        let mut next = Scheduler::new(me, self.zone.clone(), self.token, Policy::standard());
        next.set_configuration(Arc::new(configuration));
        for (id, place) in self.places.iter().filter(|(_, place)| !place.unlisted) {
            next.add_listed_worker(
                id.clone(),
                place.rack.clone(),
                place.position,
                VmState::Live,
                self.now,
            );
        }
        self.scheduler = next;
        self.exchange();
        self.scheduler.restore_home_blocks(homes);
        for record in records {
            self.scheduler.handle_record(record, self.now);
        }
        self.scheduler.mark_store_read();
    }

    /// Returns the records that the store would have of the jobs that run.
    #[must_use]
    pub fn placed_records(&self) -> Vec<JobRecord> {
        let mut records: BTreeMap<JobKey, JobRecord> = BTreeMap::new();
        for place in self.places.values() {
            for (task, spec) in place.state.running_specs() {
                let state = JobState::Placed {
                    attempt: task.attempt,
                    members: spec.members.clone(),
                };
                let made = self.record(made_up_spec(&task.job, spec), state);
                records.entry(task.job.clone()).or_insert(made);
            }
        }
        records.into_values().collect()
    }

    fn record(&self, spec: JobSpec, state: JobState) -> JobRecord {
        let crashes = self.crashes.get(&spec.key()).copied().unwrap_or(0);
        JobRecord {
            spec,
            zone: self.zone.clone(),
            mark: Mark::new(VmId::unknown(), 0, 0),
            accepted_ms: self.now.as_millis(),
            cancel: false,
            saved_ms: 0,
            crashes,
            started: false,
            state,
        }
    }

    /// Returns the jobs that have a task on any worker.
    #[must_use]
    pub fn running_jobs(&self) -> BTreeSet<JobKey> {
        let running = |place: &Place| place.state.running_tasks();
        self.places
            .values()
            .flat_map(running)
            .map(|task| task.job)
            .collect()
    }
}

fn made_up_spec(job: &JobKey, spec: &TaskSpec) -> JobSpec {
    JobSpec {
        customer: job.customer.clone(),
        id: job.id.clone(),
        class: named("batch"),
        labels: Labels::default(),
        shape: spec.shape,
        repeatable: spec.repeatable,
        checkpoint_ms: spec.checkpoint_ms,
        expected_ms: spec.work_ms,
        zone: None,
        payload: spec.payload.clone(),
    }
}

fn json_length<T: serde::Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}
