//! Takes over the runs of an earlier holder from the stored records and the tasks on the workers.

use super::contact::Contact;
use super::entry::{Entry, Running, Stage};
use super::reports::apply_report;
use super::{AllocationOwner, Decision, DecisionKind, Effect, Scheduler};
use crate::claim::Mark;
use crate::placement::{
    Allocation, Attempt, HomeBlock, JobKey, JobRecord, JobSpec, JobState, Member, MemberPhase,
    PlacedMember, Run,
};
use crate::protocol::{SyncReply, TaskId, TaskReport};
use crate::{ClassId, GuaranteeId, Labels, RackId, Timestamp, VmId, ZoneId};

/// Level of jobs whose class is unknown, such as adopted ones, so that they are not preempted.
const UNKNOWN_CLASS_LEVEL: u8 = u8::MAX;

impl Scheduler {
    /// Restores the home blocks of the last tenure, so that they stay in place.
    ///
    /// Call it after a first sync with the workers and before [`Scheduler::handle_record`].
    pub fn restore_home_blocks(&mut self, homes: Vec<HomeBlock>) {
        self.homes.restore(homes, &mut self.inventory);
        self.homes_outdated = true;
    }

    /// Adopts tasks whose job record is not known, for a tenure without the store.
    ///
    /// Such tasks go on running as their workers describe them. No job is started without a
    /// record.
    pub const fn adopt_unknown_tasks(&mut self) {
        self.adopts_tasks = true;
    }

    /// Restores the run of a placed job from its record and the reports of its workers.
    ///
    /// Call it after a first sync with the workers, so that their tasks are known.
    pub(super) fn recover_run(
        &mut self,
        entry: &mut Entry,
        attempt: Attempt,
        placed: &[PlacedMember],
        now: Timestamp,
    ) {
        let key = entry.spec.key();
        self.add_unlisted_workers(placed, now);
        let members = placed.iter().enumerate().map(|(index, member)| {
            let member_index = u16::try_from(index).unwrap_or(u16::MAX);
            let report = self.report_of(&key, attempt, member_index, member);
            let mask = report.map_or(0, |r| r.spec.accelerators);
            Member::new(member.worker.clone(), member.incarnation, mask)
        });
        let members: Vec<Member> = members.collect();
        let run = Run::recover(attempt, members);
        let owner = self.allocate_run(entry, &run);
        self.register_run(&key, &run, owner);
        let mut running = Running::new(run, owner);
        if placed.iter().any(|member| self.has_restarted(member)) {
            entry.crashes += 1;
        }
        for (index, member) in placed.iter().enumerate() {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            self.update_from_report(&key, &mut running, index, member);
        }
        entry.stage = Stage::Running(running);
        let text = format!("attempt {attempt} of an earlier holder was found in the store");
        entry.record_decision(now, &text);
        self.effects.push(Effect::LogDecision(Decision {
            job: key,
            kind: DecisionKind::TakenOver,
            text,
        }));
    }

    /// Adds workers that the platform no longer lists, so that they are synced too. If they do not
    /// answer, their members are marked as lost once all leases on them have certainly expired.
    fn add_unlisted_workers(&mut self, placed: &[PlacedMember], now: Timestamp) {
        for member in placed {
            let new_contact = || Contact::new(RackId::unknown(), 0, now);
            self.contacts
                .entry(member.worker.clone())
                .or_insert_with(new_contact);
        }
    }

    /// Sets the phase of one member of a recovered run, as far as it is known.
    fn update_from_report(
        &self,
        key: &JobKey,
        running: &mut Running,
        index: u16,
        member: &PlacedMember,
    ) {
        let contact = self.contacts.get(&member.worker);
        if contact.is_none_or(|contact| contact.incarnation.is_none()) {
            return;
        }
        let attempt = running.run.attempt();
        if self.has_restarted(member) {
            running.run.update_member(index, MemberPhase::Lost);
            return;
        }
        match self.report_of(key, attempt, index, member) {
            Some(report) => apply_report(running, report),
            None => running.run.update_member(index, MemberPhase::Absent),
        }
    }

    /// Tells whether the worker of a member has restarted since the member was placed.
    fn has_restarted(&self, member: &PlacedMember) -> bool {
        let contact = self.contacts.get(&member.worker);
        let known = contact.and_then(|contact| contact.incarnation);
        known.is_some_and(|incarnation| incarnation != member.incarnation)
    }

    /// Returns the last report of a member.
    fn report_of(
        &self,
        key: &JobKey,
        attempt: Attempt,
        index: u16,
        member: &PlacedMember,
    ) -> Option<&TaskReport> {
        let task = TaskId::new(key.clone(), attempt, index);
        self.contacts.get(&member.worker)?.tasks.get(&task)
    }

    /// Allocates the accelerators of a member that are known only from a report that came after its
    /// run was taken over.
    pub(super) fn allocate_reported_mask(&mut self, key: &JobKey, member: u16, mask: u64) {
        let Some(Entry {
            stage: Stage::Running(running),
            ..
        }) = self.jobs.get_mut(key)
        else {
            return;
        };
        let Some(found) = running.run.members().get(usize::from(member)) else {
            return;
        };
        let worker = found.worker.clone();
        running.run.set_mask(member, mask);
        let owner = running.owner;
        let Some(index) = self.inventory.index_of(&worker) else {
            return;
        };
        // The allocation so far counts processors and memory, but no accelerators.
        self.inventory.release(&worker, 0, owner);
        let Some(entry) = self.jobs.get(key) else {
            return;
        };
        let allocation = self.allocation_of_member(entry, owner, index, mask);
        self.inventory.occupy(index, allocation);
    }

    fn allocation_of_member(
        &self,
        entry: &Entry,
        owner: AllocationOwner,
        index: usize,
        mask: u64,
    ) -> Allocation {
        Allocation {
            owner,
            mask,
            processors: entry.spec.shape.processors,
            memory_mb: entry.spec.shape.memory_mb,
            preemptible: entry.is_preemptible(),
            movable: entry.is_movable(),
            level: self.level_of(&entry.spec),
            expected_end: entry.waiting_since + entry.remaining_work(),
            home: self.guarantee_at(entry, index, mask),
        }
    }

    /// Allocates the resources of a run that is taken over.
    fn allocate_run(&mut self, entry: &Entry, run: &Run) -> AllocationOwner {
        self.last_owner += 1;
        let owner = AllocationOwner(self.last_owner);
        for member in run.members() {
            let Some(index) = self.inventory.index_of(&member.worker) else {
                continue;
            };
            let allocation = self.allocation_of_member(entry, owner, index, member.mask);
            self.inventory.occupy(index, allocation);
        }
        owner
    }

    /// Returns the guarantee of the job's customer whose home block contains these accelerators.
    fn guarantee_at(&self, entry: &Entry, index: usize, mask: u64) -> Option<GuaranteeId> {
        let worker = &self.inventory.worker_at(index)?.id;
        self.homes
            .of_customer(&entry.spec.customer)
            .find(|home| {
                home.cells
                    .iter()
                    .any(|c| c.worker == *worker && c.mask & mask != 0)
            })
            .map(|home| home.guarantee.name.clone())
    }

    /// Adopts running tasks of unknown jobs while the store can't be read.
    ///
    /// Without the store, a new holder keeps gangs running that it knows from their workers
    /// only. It starts no job without a record.
    pub(super) fn adopt_unknown(&mut self, reply: &SyncReply, now: Timestamp) {
        for report in &reply.tasks {
            if self.jobs.contains_key(&report.task.job) {
                continue;
            }
            let placed = &report.spec.members;
            let mut entry = Entry::new(&adopted_record(report, &self.zone), now);
            entry.recorded = true;
            entry.adopted = true;
            self.recover_run(&mut entry, report.task.attempt, placed, now);
            self.jobs.insert(report.task.job.clone(), entry);
        }
    }

    /// Returns the level of a job, or [`UNKNOWN_CLASS_LEVEL`] if its class is unknown.
    pub(super) fn level_of(&self, spec: &JobSpec) -> u8 {
        let class = self.class_of(spec);
        self.configuration
            .classes
            .get(&class)
            .map_or(UNKNOWN_CLASS_LEVEL, |c| c.level)
    }

    /// Returns the priority class of a job, with rules applied.
    pub(super) fn class_of(&self, spec: &JobSpec) -> ClassId {
        let effect = self.configuration.effect_on(&spec.all_labels());
        effect.class.unwrap_or_else(|| spec.class.clone())
    }
}

/// Builds a record for a task whose job is known from its worker only.
fn adopted_record(report: &TaskReport, zone: &ZoneId) -> JobRecord {
    let spec = &report.spec;
    let customer = report.task.job.customer.clone();
    JobRecord {
        spec: JobSpec {
            customer,
            id: report.task.job.id.clone(),
            class: ClassId::unknown(),
            labels: Labels::default(),
            shape: spec.shape,
            repeatable: spec.repeatable,
            checkpoint_ms: spec.checkpoint_ms,
            expected_ms: spec.work_ms,
            zone: Some(zone.clone()),
            payload: spec.payload.clone(),
        },
        zone: zone.clone(),
        mark: Mark::new(VmId::unknown(), 0, 0),
        accepted_ms: 0,
        cancel: false,
        saved_ms: spec.resume_ms,
        started: true,
        crashes: 0,
        state: JobState::Accepted,
    }
}
