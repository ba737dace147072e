//! Chooses which waiting jobs start, where they are placed, and which runs are preempted.

use std::collections::{BTreeSet, HashSet};

use super::entry::{Entry, Stage};
use super::queue::Candidate;
use super::{AllocationOwner, DecisionKind, Scheduler};
use crate::placement::{
    Access, Allocation, Attempt, Block, Demand, FreeCapacity, JobKey, JobState, Member, Run, Shape,
};
use crate::{GuaranteeId, Timestamp, Verdict};

/// Jobs are moved off a block only if each of them, and all of them together, have at most
/// 1/`MOVE_DIVISOR` of the accelerators of the job that gets the block.
const MOVE_DIVISOR: u32 = 2;

/// A block that is reserved for the first job that finds no free one.
struct Reservation {
    block: Block,
    shape: Shape,
    /// When the block should be free.
    expected_start: Timestamp,
}

/// A block for a job, and why it was chosen.
struct Choice {
    block: Block,
    home: Option<GuaranteeId>,
    reason: &'static str,
}

impl Scheduler {
    /// Considers every waiting job once, in order.
    pub(super) fn plan(&mut self, now: Timestamp) {
        self.cancel_waiting(now);
        self.explain_blocked_by_rules(now);
        let mut reservation = None;
        // Shape, `borrow` and level of searches that found no block; they are not repeated.
        let mut failed_searches: HashSet<(Shape, bool, u8)> = HashSet::new();
        let mut used = self.accelerators_in_use();
        for candidate in self.candidates(now, &used) {
            if let Some(choice) = self.choose_home(&candidate) {
                self.place(&candidate, &choice, now);
                continue;
            }
            let needed = candidate.spec.shape.total_accelerators();
            let customer = &candidate.spec.customer;
            let in_use = used.get(customer).copied().unwrap_or(0);
            if let Some(reason) = self.quota_reason(customer, in_use + needed) {
                self.decide(&candidate.key, DecisionKind::Waiting, now, &reason);
                continue;
            }
            let search_key = (candidate.spec.shape, candidate.borrow, candidate.level);
            let choice = if failed_searches.contains(&search_key) {
                None
            } else {
                self.choose(&candidate, reservation.as_ref(), now)
            };
            if let Some(choice) = choice {
                *used.entry(customer.clone()).or_default() += needed;
                self.place(&candidate, &choice, now);
                continue;
            }
            if reservation.is_none() && self.policy.reserves {
                reservation = self.reserve(&candidate, now);
            } else {
                failed_searches.insert(search_key);
            }
            self.explain_wait(&candidate, reservation.as_ref(), now);
        }
    }

    /// Ends waiting jobs that their callers have cancelled.
    fn cancel_waiting(&mut self, now: Timestamp) {
        let waiting = |e: &Entry| matches!(e.stage, Stage::Waiting) && e.cancel && !e.adopted;
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, e)| waiting(e))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            let started = self.jobs.get(&key).is_some_and(|e| e.started);
            let verdict = if started {
                Verdict::MayHaveRun
            } else {
                Verdict::NotRun
            };
            let state = JobState::Ended {
                verdict,
                reason: "cancelled".to_owned(),
            };
            self.close(&key, state, now, "its caller cancelled it");
        }
    }

    /// Returns free cells in a home block of the customer, if there are enough.
    fn choose_home(&self, candidate: &Candidate) -> Option<Choice> {
        self.homes
            .of_customer(&candidate.spec.customer)
            .find_map(|home| {
                let block = home.find_free(&candidate.spec.shape, &self.inventory)?;
                Some(Choice {
                    block,
                    home: Some(home.guarantee.name.clone()),
                    reason: "claims its guarantee",
                })
            })
    }

    /// Looks for a free block, then for one that preemption would free, then for one that moving
    /// smaller jobs would free.
    fn choose(
        &self,
        candidate: &Candidate,
        reservation: Option<&Reservation>,
        now: Timestamp,
    ) -> Option<Choice> {
        let find = |access: Access| {
            let mut capacities = self.inventory.free_capacity(access);
            if let Some(reservation) =
                reservation.filter(|r| now + candidate.remaining_work > r.expected_start)
            {
                reservation.exclude_from(&mut capacities);
            }
            Block::find(&capacities, &candidate.spec.shape, self.policy.fit)
        };
        let free = if candidate.borrow {
            Access::Borrow
        } else {
            Access::OutsideHomes
        };
        if let Some(block) = find(free) {
            return Some(Choice {
                block,
                home: None,
                reason: "best free block",
            });
        }
        let (level, borrow) = (candidate.level, candidate.borrow);
        if self.policy.preempts
            && candidate.preempts
            && let Some(block) = find(Access::Preempt { level, borrow })
        {
            return Some(Choice {
                block,
                home: None,
                reason: "lower levels give way",
            });
        }
        if self.policy.moves && reservation.is_none() && candidate.spec.shape.adjacent {
            let block = find(Access::Move { level, borrow })?;
            if self.can_move(&block, candidate) {
                return Some(Choice {
                    block,
                    home: None,
                    reason: "smaller jobs move away",
                });
            }
        }
        None
    }

    /// Tells whether the jobs to be moved off a block are small enough and fit elsewhere now.
    fn can_move(&self, block: &Block, candidate: &Candidate) -> bool {
        // Owner ids start at 1, so that 0 excludes no run.
        let owners = self.victims_on(block, &candidate.spec.shape, AllocationOwner(0));
        let keys: BTreeSet<&JobKey> = owners.iter().filter_map(|id| self.owners.get(id)).collect();
        let moved: Vec<&Entry> = keys.iter().filter_map(|key| self.jobs.get(*key)).collect();
        let total: u32 = moved
            .iter()
            .map(|e| e.spec.shape.total_accelerators())
            .sum();
        let smaller = |e: &&Entry| {
            e.spec.shape.total_accelerators() * MOVE_DIVISOR
                <= candidate.spec.shape.total_accelerators()
        };
        if total * MOVE_DIVISOR > candidate.spec.shape.total_accelerators()
            || !moved.iter().all(smaller)
        {
            return false;
        }
        let mut capacities = self.inventory.free_capacity(Access::Borrow);
        for cell in &block.cells {
            capacities[cell.worker].mask &= !cell.mask;
        }
        moved.iter().all(|entry| {
            let Some(target) = Block::find(&capacities, &entry.spec.shape, self.policy.fit) else {
                return false;
            };
            for cell in &target.cells {
                capacities[cell.worker].mask &= !cell.mask;
            }
            true
        })
    }

    /// Returns the runs that must be preempted or moved before a block can be used.
    fn victims_on(
        &self,
        block: &Block,
        shape: &Shape,
        owner: AllocationOwner,
    ) -> BTreeSet<AllocationOwner> {
        let demands = Demand::per_worker(block.cells.iter().copied());
        demands
            .iter()
            .flat_map(|d| self.inventory.blocking_runs(d, shape, owner))
            .collect()
    }

    /// Creates the run of a job on its block, and preempts the runs that occupy it.
    fn place(&mut self, candidate: &Candidate, choice: &Choice, now: Timestamp) {
        self.last_owner += 1;
        let owner = AllocationOwner(self.last_owner);
        let shape = candidate.spec.shape;
        let victims = self.victims_on(&choice.block, &shape, owner);
        let mut members = Vec::with_capacity(choice.block.cells.len());
        for cell in &choice.block.cells {
            let Some(worker) = self.inventory.worker_at(cell.worker).map(|w| w.id.clone()) else {
                return;
            };
            let incarnation = self
                .contacts
                .get(&worker)
                .and_then(|c| c.incarnation)
                .unwrap_or(0);
            members.push(Member::new(worker, incarnation, cell.mask));
        }
        for cell in &choice.block.cells {
            let allocation =
                self.allocation_for(candidate, owner, cell.mask, choice.home.clone(), now);
            self.inventory.occupy(cell.worker, allocation);
        }
        self.last_serial += 1;
        let run = Run::new(Attempt::new(self.token, self.last_serial), members);
        let text = placed_text(choice, &run, victims.len());
        self.begin_run(&candidate.key, run, owner);
        self.decide(&candidate.key, DecisionKind::Placed, now, &text);
        for victim in victims {
            self.preempt(victim, &candidate.key, now);
        }
    }

    /// Returns the allocation of one member of a candidate.
    fn allocation_for(
        &self,
        candidate: &Candidate,
        owner: AllocationOwner,
        mask: u64,
        home: Option<GuaranteeId>,
        now: Timestamp,
    ) -> Allocation {
        let entry = self.jobs.get(&candidate.key);
        Allocation {
            owner,
            mask,
            processors: candidate.spec.shape.processors,
            memory_mb: candidate.spec.shape.memory_mb,
            preemptible: candidate.borrow,
            movable: entry.is_some_and(Entry::is_movable),
            level: candidate.level,
            expected_end: now + candidate.remaining_work,
            home,
        }
    }

    /// Preempts a run for another job.
    fn preempt(&mut self, victim: AllocationOwner, for_job: &JobKey, now: Timestamp) {
        let Some(key) = self.owners.get(&victim).cloned() else {
            return;
        };
        let Some(entry) = self.jobs.get_mut(&key) else {
            return;
        };
        let checkpoints = entry.is_movable();
        if let Stage::Running(running) = &mut entry.stage {
            running.run.preempt(now, checkpoints);
        }
        self.decide(
            &key,
            DecisionKind::Preempted,
            now,
            &format!("it gives way to {for_job}"),
        );
        let workers: Vec<_> = match self.jobs.get(&key).map(|e| &e.stage) {
            Some(Stage::Running(r)) => r.run.members().iter().map(|m| m.worker.clone()).collect(),
            _ => Vec::new(),
        };
        for worker in workers {
            self.expedite_sync(&worker);
        }
    }

    /// Returns a reservation of the block on which a job could start earliest, by the expected ends
    /// of the running work.
    fn reserve(&self, candidate: &Candidate, now: Timestamp) -> Option<Reservation> {
        let mut ends: Vec<Timestamp> = (0..self.inventory.len())
            .flat_map(|i| {
                self.inventory
                    .allocations(i)
                    .iter()
                    .map(|allocation| allocation.expected_end.max(now))
            })
            .collect();
        ends.sort_unstable();
        ends.dedup();
        let borrow = candidate.borrow;
        let find = |time: Timestamp| {
            let capacities = self.inventory.free_capacity(Access::Until { time, borrow });
            Block::find(&capacities, &candidate.spec.shape, self.policy.fit)
        };
        // The binary search assumes that a block found for one end is also found for later ends.
        let (mut low, mut high) = (0, ends.len());
        while low < high {
            let middle = usize::midpoint(low, high);
            if find(ends[middle]).is_some() {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        let expected_start = *ends.get(low)?;
        Some(Reservation {
            block: find(expected_start)?,
            shape: candidate.spec.shape,
            expected_start,
        })
    }

    /// Records why a candidate waits.
    fn explain_wait(
        &mut self,
        candidate: &Candidate,
        reservation: Option<&Reservation>,
        now: Timestamp,
    ) {
        let shape = &candidate.spec.shape;
        let text = match reservation {
            Some(r) if r.shape == *shape && r.expected_start > now => {
                format!(
                    "it waits: no free block for {shape}; one is reserved for the first in line"
                )
            }
            Some(_) => format!("it waits: no block for {shape} that leaves the reserved one free"),
            None => format!("it waits: no block for {shape}, now or by expected ends"),
        };
        self.decide(&candidate.key, DecisionKind::Waiting, now, &text);
    }
}

impl Reservation {
    /// Removes the reserved block from the free capacity that other jobs may use.
    fn exclude_from(&self, capacities: &mut [FreeCapacity]) {
        for cell in &self.block.cells {
            let Some(capacity) = capacities.get_mut(cell.worker) else {
                continue;
            };
            capacity.mask &= !cell.mask;
            capacity.processors = capacity.processors.saturating_sub(self.shape.processors);
            capacity.memory_mb = capacity.memory_mb.saturating_sub(self.shape.memory_mb);
        }
    }
}

fn placed_text(choice: &Choice, run: &Run, victims: usize) -> String {
    let workers: BTreeSet<&str> = run.members().iter().map(|m| m.worker.as_str()).collect();
    let workers: Vec<&str> = workers.into_iter().collect();
    let home = choice
        .home
        .as_ref()
        .map_or(String::new(), |g| format!(" {g}"));
    format!(
        "{}{home}: attempt {} on {}; {victims} runs give way",
        choice.reason,
        run.attempt(),
        workers.join(",")
    )
}
